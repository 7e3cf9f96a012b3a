"""An order of an operator stays without an acknowledgement though the control nodes have been calm for long."""

import unittest

from order_delay_trial import FINAL, OrderDelayTrial

IN_CALM = 0.5  # s; far below every bound: in calm an order waits for no failover and no repair
AFTER_TROUBLE = 3.0  # s; a failover, the operator's second of silence, and its pauses until then


class OrderDelays(unittest.TestCase):
    def check(self, seed, *troubles):
        trial = OrderDelayTrial(seed, troubles).play()
        self.assertGreater(sum(order.acknowledged_at is not None for order in trial.orders), 100)
        self.assertEqual([order for order in trial.orders if order.tries and order.tries[-1][2] in FINAL], [])
        for spans, most in ((trial.calms, IN_CALM), (trial.after_troubles, AFTER_TROUBLE)):
            wait, order = trial.longest(spans)
            self.assertLess(wait, most, order)

    def test_after_the_loss_of_all_control_processes_beside_a_herd_of_gateways(self):
        self.check(1, "core killed beside a herd", "power of all")

    def test_after_disks_that_were_lost(self):
        self.check(2, "wiped", "replaced", "leader cut one way and raced")

    def test_after_two_troubles_at_once(self):
        self.check(3, "frozen+cut off", "dark+disk refuses")

    def test_after_changed_settings_and_jumps_of_the_time_of_day(self):
        self.check(4, "settings and time of day", "stopped in turn")
