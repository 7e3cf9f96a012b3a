"""What is kept of back ends' responses, as the metrics show it."""

import unittest

from oakramp.common.backend_room import BackendRoom, Part
from oakramp.common.metrics import Metrics


class Counting(unittest.TestCase):
    def setUp(self):
        self.room, self.metrics = BackendRoom(), Metrics()
        self.room.show(self.metrics)

    def shown(self):
        """The metrics of the room that are not 0."""
        lines = [line.rpartition(" ") for line in self.metrics.to_text().splitlines()]
        return {name: float(value) for name, _, value in lines if name.startswith("oak_backend_bytes") and value != "0"}

    def test_parts_are_counted_apart_and_their_peaks_stay(self):
        first, second = self.room.holding("10.0.0.1:1"), self.room.holding("10.0.0.2:1")
        first.keep(Part.EVENT, 700)
        second.keep(Part.EVENT, 300)
        second.keep(Part.HEAD, 10)
        first.keep(Part.EVENT, 100)
        self.assertEqual(
            self.shown(),
            {
                'oak_backend_bytes{part="event"}': 400,
                'oak_backend_bytes{part="head"}': 10,
                'oak_backend_bytes_peak{part="event"}': 1000,
                'oak_backend_bytes_peak{part="head"}': 10,
            },
        )

    def test_a_holding_that_nobody_has_any_more_counts_nothing(self):
        holding = self.room.holding("10.0.0.1:1")
        holding.keep(Part.BODY, 700)
        del holding
        self.assertEqual(self.room.held, [0] * len(Part))
