"""Guards against a usage window that a whole fleet leaves out, reports late, or reports twice with different counts.

Control nodes are created from the platform's settings; a fake of the platform receives the fenced calls.
"""

import unittest

from fenced_fleet import FencedFleet

from oakramp.common.constants import USAGE_GRACE
from oakramp.common.http_client import HttpClient
from oakramp.control import usage
from relay_fleet import PLATFORM

KEY = usage.USAGE_KEY


class Fleet(unittest.TestCase):
    """Whole control nodes, created from the platform's settings."""

    def setUp(self):
        self.world = FencedFleet(31)
        self.fleet, self.calls = self.world.fleet, self.world.calls
        self.last_caller = self.world.last_caller

    def check(self, late_s):
        """Returns the reported windows; checks that the reports break no rule and come less than `late_s` seconds after
        the end of their window."""
        self.assertEqual(self.world.faults(), [])
        first = self.world.first_reports()
        self.assertEqual({window: late for window, (_, late) in first.items() if late >= late_s}, {})
        return list(first)

    def test_reports_continue_in_order_while_holders_are_killed(self):
        fleet = self.fleet
        fleet.run(15)
        for _ in range(3):
            holder = self.last_caller()
            holder.kill()
            fleet.run(8)
            holder.start()
            fleet.run(4)
        self.assertGreater(len({call.fence for call in self.calls.arrivals}), 3)
        self.assertGreaterEqual(len(self.check(10.0)), 8)

    def test_a_new_holder_waits_for_counts_that_gateways_could_not_report(self):
        """A holder dies 0.6 s before the end of a window; gateways reach its successor only after USAGE_GRACE."""
        fleet = self.fleet
        fleet.run(15 - fleet.time.now % 5 + 4.4)
        window = self.world.window()
        self.world.is_reporting = False
        self.last_caller().kill()
        fleet.run(0.6 + USAGE_GRACE + 0.4)
        self.world.is_reporting = True
        fleet.until(self.world.send_counts(*self.world.message()))
        fleet.run(10)
        counts = {number: counts["t"] for number, counts, _ in self.calls.reports() if counts}
        self.assertEqual(counts[window], self.world.sent[window])

    def test_reports_are_made_up_for_after_an_outage_of_the_platform(self):
        fleet = self.fleet
        fleet.run(15)
        fleet.list.silent = True
        fleet.run(14)
        fleet.list.silent = False
        fleet.run(12)
        self.assertGreaterEqual(len(self.check(25.0)), 5)

    def test_a_permanently_refused_report_does_not_block_others(self):
        fleet = self.fleet
        fleet.run(15)
        last = self.calls.reports()[-1][0]
        self.calls.status = 400
        fleet.run(11)
        self.calls.status = 200
        fleet.run(10)
        windows = [window for window, _, _ in self.calls.reports()]
        self.assertEqual(windows.count(last + 1), 8)
        self.assertGreater(windows[-1], last + 2)

    def test_a_clock_that_jumps_neither_skips_nor_repeats_a_window(self):
        fleet = self.fleet
        fleet.run(60)
        for jump in (12.0, -12.0):
            holder = self.last_caller()
            holder.wall_offset += jump
            fleet.run(12)
            holder.wall_offset -= jump
            fleet.run(25)
        self.assertGreaterEqual(len(self.check(9.0)), 20)

    def test_operators_see_the_holder_and_what_is_owed(self):
        fleet = self.fleet
        fleet.run(15)
        client = HttpClient(fleet.lab_reactor)
        for core in fleet.of_kind("core"):
            address = core.node.node.env["http"]
            status, shown = fleet.until(client.json("GET", address, "/v1/duties", None, 5.0))
            (row,) = shown["duties"]
            self.assertEqual((status, row["duty"], row["holder"]), (200, KEY, self.last_caller().name))
            self.assertEqual((row["epoch"], row["sent"]), (self.calls.arrivals[-1].fence, self.calls.reports()[-1][0]))
            self.assertEqual((row["owedCount"], row["next"]), (0, row["sent"] + 1))
            self.assertGreater(row["heldFor"], 5.0)
            self.assertLess(row["deliveredAge"], 6.0)

    def cut_from_platform(self, machines):
        ip = PLATFORM.partition(":")[0]
        pairs = {(machine.host.address, ip) for machine in machines}
        self.fleet.network.hold(pairs | {pair[::-1] for pair in pairs})

    def test_the_only_node_cut_off_from_the_platform_hands_the_shard_over(self):
        fleet = self.fleet
        fleet.run(15)
        former = self.last_caller()
        self.cut_from_platform([former])
        fleet.run(30)
        self.assertNotEqual(self.last_caller(), former)
        self.assertGreaterEqual(len(self.check(10.0)), 7)
        self.assertEqual(len({call.fence for call in self.calls.arrivals}), 2)

    def test_a_task_stays_where_it_is_if_no_node_reaches_the_platform(self):
        fleet = self.fleet
        fleet.run(15)
        self.cut_from_platform(fleet.of_kind("core"))
        before = sum("event=fenced_task_began" in line for line in fleet.lines)
        fleet.run(20)
        self.assertEqual(sum("event=fenced_task_began" in line for line in fleet.lines), before)

    def test_a_slow_platform_is_given_time_to_answer(self):
        fleet = self.fleet
        fleet.run(15)
        self.calls.delay_s = 1.5
        count = len(self.calls.arrivals)
        fleet.run(20)
        self.assertLessEqual(len(self.calls.arrivals) - count, 5)
        self.check(10.0)


if __name__ == "__main__":
    unittest.main()
