"""Guards against operators' orders that stay unacknowledged long after the last fault of the control nodes."""

import unittest

from order_delay_trial import FINAL, OrderDelayTrial

WAIT_WITHOUT_FAULTS = 0.5  # s; far below every bound: without faults an order waits for no failover or repair
WAIT_AFTER_FAULT = 3.0  # s; a failover, the operator's timeout of 1 s, and its retry pauses until then


class OrderDelays(unittest.TestCase):
    def check(self, seed, *faults):
        trial = OrderDelayTrial(seed, faults).play()
        self.assertGreater(sum(order.acknowledged_at is not None for order in trial.orders), 100)
        self.assertEqual([order for order in trial.orders if order.tries and order.tries[-1][2] in FINAL], [])
        for spans, most in ((trial.calms, WAIT_WITHOUT_FAULTS), (trial.after_faults, WAIT_AFTER_FAULT)):
            wait, order = trial.longest(spans)
            self.assertLess(wait, most, order)

    def test_orders_after_loss_of_all_control_processes_and_many_gateways(self):
        self.check(1, "core killed beside a herd", "power of all")

    def test_orders_after_lost_disks(self):
        self.check(2, "wiped", "replaced", "leader cut one way and raced")

    def test_orders_after_two_concurrent_faults(self):
        self.check(3, "frozen+cut off", "dark+disk refuses")

    def test_orders_after_changed_settings_and_clock_jumps(self):
        self.check(4, "settings and time of day", "stopped in turn")
