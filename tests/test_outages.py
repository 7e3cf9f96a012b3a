"""After a total outage, all requests of both partners are served again through every gateway within 12 s."""

import unittest

from oakramp.testbed.outages import OUTAGES, run_outage
from oakramp.testbed.trial import SERVED_TIME


class Outages(unittest.TestCase):
    def test_all_requests_are_served_again_in_time(self):
        for name in OUTAGES.names():
            with self.subTest(outage=name):
                fleet, took, late = run_outage(name, 8)
                self.assertEqual(late, [], fleet.timeline())
                self.assertLess(took, SERVED_TIME)
                fleet.run(10.0)
                self.assertEqual(fleet.violations(), {}, fleet.timeline())
                self.assertEqual([line for line in fleet.lines if "rashed" in line], [])
