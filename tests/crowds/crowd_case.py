"""What each test of a crowd has in common: a fleet, a fresh process to attack, and the checks that hold afterwards.

The checks do not depend on the speed of the machine: the process lives, its memory and its descriptors stay within its
settings, and an ordinary client is answered.
"""

import unittest

from client_crowd import Crowd
from process_fleet import DESCRIPTORS, Fleet

CROWD_ADDRESS = "6.1"  # of the crowd, in the network of the fleet
SEND_TIME = 30.0  # s; after which a crowd that could not send all it has stops sending


class CrowdCase(unittest.TestCase):
    """Tests of one program; `TARGET` is the attacked node, whose process each test starts anew."""

    TARGET = "gate-1"
    LIMITS = None

    @classmethod
    def setUpClass(cls):
        """Starts the fleet."""
        cls.fleet = Fleet(cls.LIMITS)
        cls.addClassCleanup(cls.fleet.down)
        cls.fleet.bring_up()

    def setUp(self):
        """Starts the attacked process anew."""
        self.fleet.slow_may_answer.clear()
        self.target = self.fleet.nodes[self.TARGET]
        self.fleet.restart(self.target)
        self.most_descriptors = 0

    def tearDown(self):
        """Lets all replicas answer, so that their threads end."""
        self.fleet.slow_may_answer.set()

    def watch(self):
        """Notes the descriptors of the attacked process."""
        if self.target.is_running():
            self.most_descriptors = max(self.most_descriptors, self.target.open_descriptors())

    def crowd(self, port, host_part=CROWD_ADDRESS):
        """A crowd of clients at a port of the attacked process, from an address of its own."""
        crowd = Crowd(self.target.address(port), f"{self.fleet.net}.{host_part}", self.watch)
        self.addCleanup(crowd.close)
        return crowd

    def attack(self, port, count, data, reads=True, stays_s=1.0):
        """A crowd of `count` members that have each sent `data`, as far as the process took it, and stay."""
        crowd = self.crowd(port)
        crowd.add(count, data, reads)
        crowd.send(SEND_TIME)
        crowd.wait(stays_s)
        return crowd

    def ordinary_request(self):
        """One try of an ordinary client at the gateway."""
        return self.fleet.ordinary_try("/ordinary/after")

    def check(self, ask_once=None):
        """The process lives within its settings, and an ordinary client is answered while the crowd is still there."""
        self.assertTrue(self.target.is_running(), "the process has ended")
        is_answered = self.fleet.is_answered(ask_once or self.ordinary_request)
        self.watch()
        self.assertTrue(self.target.is_running(), "the process has ended")
        peak = self.target.peak_memory()
        self.assertTrue(is_answered, "an ordinary client got no answer")
        self.assertLessEqual(peak, self.target.memory_bound, "memory in bytes")
        self.assertLessEqual(self.most_descriptors, DESCRIPTORS, "descriptors")
