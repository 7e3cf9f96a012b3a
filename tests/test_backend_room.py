"""What is kept of back ends' responses, as the metrics show it."""

import unittest

from oakramp.common.backend_room import BackendRoom, Part
from oakramp.common.errors import ResponseLimitError
from oakramp.common.metrics import Metrics


class Counting(unittest.TestCase):
    def setUp(self):
        self.room, self.metrics = BackendRoom(), Metrics()
        self.room.show(self.metrics)

    def shown(self):
        """The metrics of the room that are not 0."""
        lines = [line.rpartition(" ") for line in self.metrics.to_text().splitlines()]
        return {name: float(value) for name, _, value in lines if "part=" in name and value != "0"}

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


class Limits(unittest.TestCase):
    def setUp(self):
        self.room, self.cut_off = BackendRoom(limit=1000, gathered_limit=300), []

    def holding(self, address, size):
        """A holding of this many bytes, which notes when it has to give way."""
        holding = self.room.holding(address, lambda error: self.cut_off.append(holding.address))
        holding.keep(Part.BODY, size)
        return holding

    def test_one_response_may_fill_the_room(self):
        holding = self.holding("a", 1000)
        self.assertRaises(ResponseLimitError, holding.keep, Part.EVENT, 1)
        self.assertEqual((self.room.total, holding.held), (1000, 1000))

    def test_several_responses_of_one_back_end_hold_its_share_at_most(self):
        first, second = self.holding("a", 300), self.holding("a", 150)
        with self.assertRaises(ResponseLimitError) as raised:
            first.keep(Part.BODY, 400)
        self.assertEqual((raised.exception.part, raised.exception.limit), ("body", 500))
        second.keep(Part.BODY, 200)
        self.assertEqual((self.cut_off, first.held, second.held), ([], 300, 200))

    def test_the_largest_response_of_the_back_end_that_holds_most_gives_way(self):
        pours = [self.holding("pouring", 250), self.holding("pouring", 200)]
        others = [self.holding("b", 200), self.holding("c", 300)]
        self.holding("d", 200)
        self.assertEqual(self.cut_off, ["pouring"])
        self.assertEqual([holding.held for holding in (*pours, *others)], [0, 200, 200, 300])

    def test_gathered_bodies_of_one_back_end_are_bounded(self):
        first, second, other = (self.room.holding(address) for address in ("a", "a", "b"))
        first.gather(200)
        self.assertRaises(ResponseLimitError, second.gather, 101)
        second.gather(100)
        other.gather(300)
        first.release()
        second.gather(300)
        self.assertEqual((self.room.held[Part.GATHERED], self.room.total), (600, 0))

    def test_room_is_scarce_from_half_of_a_back_ends_share(self):
        holding, other = self.holding("a", 250), self.holding("b", 100)
        self.assertFalse(holding.is_scarce)
        holding.keep(Part.BODY, 251)
        self.assertTrue(holding.is_scarce)
        self.assertFalse(other.is_scarce)
