"""Guards against usage windows that are closed early or late, or counted wrongly, because clocks are stepped.

Runs whole gateways and control nodes; a machine that starts while its clock is stepped has never seen the true time.
"""

import unittest
from collections import Counter
from types import SimpleNamespace

from fenced_fleet import FencedCalls
from twisted.internet import task

from oakramp.common.constants import FLEET_CLOCK_AGE, REPORTED_CLOCK_AGE
from oakramp.common.tasks import sleep
from oakramp.common.wall_clock import FleetClock, ReportedClocks, SteadyWallClock
from relay_fleet import RelayFleet

WINDOW_S = 5
EPOCH = 1.8e9  # s; the wall time at simulated time 0
STEP_S = 6.0
LATE_S = 10.0  # the latest time of a report after the end of its window
PAUSE_S = 0.1  # between two requests of a gateway
SETTINGS = {"platform_api.rounds": "usage,scale", "platform_api.rounds_per_s": 50.0, "bounds.report_window_s": WINDOW_S}


class MedianOfClocks(unittest.TestCase):
    """The median of the clocks that machines report."""

    def setUp(self):
        self.clocks = ReportedClocks()

    def report(self, now, *offsets):
        for number, offset in enumerate(offsets):
            self.clocks.report(f"m{number}", now + offset, now)

    def test_no_time_with_too_few_clocks(self):
        self.report(1.0, 100.0, 100.0)
        self.assertIsNone(self.clocks.time(1.0))

    def test_median_outvotes_wrong_clocks(self):
        self.report(1.0, 106.0, 100.1, 99.9, 100.0, 94.0)
        self.assertAlmostEqual(self.clocks.time(2.0), 102.0)

    def test_clock_of_a_silent_machine_expires(self):
        self.report(1.0, *[106.0] * 7)
        self.report(1.5 + REPORTED_CLOCK_AGE, 100.0, 100.0, 100.0)
        self.assertAlmostEqual(self.clocks.time(1.5 + REPORTED_CLOCK_AGE), 101.5 + REPORTED_CLOCK_AGE)


class FollowingTheClusterTime(unittest.TestCase):
    """A machine's own clock compared to the cluster's time."""

    def setUp(self):
        self.reactor = task.Clock()
        own = SteadyWallClock(self.reactor, lambda: self.reactor.seconds() + EPOCH, None)
        self.clock = FleetClock(self.reactor, own)

    def test_small_difference_is_ignored_as_message_delay(self):
        self.clock.set_fleet_time(EPOCH - 0.9)
        self.assertEqual(self.clock.now(), EPOCH)

    def test_large_difference_is_followed_until_the_cluster_time_is_stale(self):
        self.clock.set_fleet_time(EPOCH - 6.0)
        self.reactor.advance(10.0)
        self.assertEqual(self.clock.now(), EPOCH + 4.0)
        self.reactor.advance(FLEET_CLOCK_AGE)
        self.assertEqual(self.clock.now(), EPOCH + 10.0 + FLEET_CLOCK_AGE)


class ClockTest(unittest.TestCase):
    """Every gateway counts one request per PAUSE_S, at the time of its own machine's clock."""

    GATES = 6
    FIRST_HOLDER, FIRST_STEP_S = "core1", 0.0

    def setUp(self):
        self.fleet = RelayFleet(37, gates=self.GATES, cores=3, more_settings=SETTINGS)
        self.fleet[self.FIRST_HOLDER].wall_offset += self.FIRST_STEP_S
        self.calls = FencedCalls(self.fleet)
        self.fleet.bring_up()
        self.counted = Counter()  # by window of true time
        self.idle = []  # machines whose gateways get no requests
        self.fleet.begin(self._count_requests())
        self.fleet.run(15)

    async def _count_requests(self):
        while True:
            await sleep(self.fleet.lab_reactor, PAUSE_S)
            for gate in self.fleet.of_kind("gate"):
                if gate.running and gate not in self.idle and gate.node.not_ready_reason() is None:
                    request = SimpleNamespace(is_usage_counted=False, tenant=SimpleNamespace(name="t"))
                    gate.node.usage.count(request, gate.node.node.reactor.seconds())
                    self.counted[self.window()] += 1

    def window(self):
        return int((self.fleet.time.now + EPOCH) // WINDOW_S)

    def holder(self):
        return self.fleet[self.calls.arrivals[-1].holder]

    def start_stepped(self, machines, step, stepped_s=20.0):
        """Kills machines, starts them 2 s later with a stepped clock, and corrects the clock after `stepped_s`.

        Gateways get no requests for 1.5 s before the kill, since counts not yet reported would be lost with them.
        """
        self.idle = machines
        self.fleet.run(1.5)
        for machine in machines:
            machine.kill()
            machine.wall_offset += step
        self.idle = []
        self.fleet.run(2)
        for machine in machines:
            machine.start()
        self.fleet.run(stepped_s)
        for machine in machines:
            machine.wall_offset -= step

    def check(self, delta):
        """Each window was reported after its end, in time, and with all requests except at most `delta`."""
        reported = {}
        for window, counts, at in self.calls.reports():
            reported.setdefault(window, (counts, at))
        windows = list(reported)
        self.assertEqual(windows, list(range(windows[0], windows[0] + len(windows))))
        for window, (counts, at) in reported.items():
            late = at + EPOCH - (window + 1) * WINDOW_S
            self.assertGreater(late, 0.0, f"window {window} was reported before its end")
            self.assertLess(late, LATE_S, f"window {window}")
            if window > windows[0] + 1:
                self.assertAlmostEqual(counts.get("t", 0), self.counted[window], delta=delta, msg=f"window {window}")
        self.assertGreaterEqual(windows[-1], self.window() - 3)


class SteppedClocks(ClockTest):
    """Machines whose clock is stepped while the cluster is running."""

    def test_holder_started_with_a_stepped_clock_follows_the_others(self):
        for step in (STEP_S, -STEP_S):
            holder = self.holder()
            self.start_stepped([holder], step)
            self.assertIs(self.holder(), holder, "it did not take the fenced task back")
            self.fleet.run(10)
        self.check(delta=4)

    def test_lasting_step_on_a_running_holder_changes_nothing(self):
        for step in (STEP_S, -STEP_S):
            holder = self.holder()
            holder.wall_offset += step
            self.fleet.run(50)
            holder.wall_offset -= step
            self.fleet.run(50)
        self.check(delta=4)

    def test_third_of_the_gateways_and_the_holder_may_start_stepped_at_once(self):
        for step in (STEP_S, -STEP_S):
            third = self.fleet.of_kind("gate")[: self.GATES // 3]
            self.start_stepped([*third, self.holder()], step)
            self.fleet.run(10)
        self.check(delta=12)

    def test_gateway_started_with_a_stepped_clock_counts_in_the_windows_of_the_others(self):
        for step in (STEP_S, -STEP_S):
            self.start_stepped(self.fleet.of_kind("gate")[:1], step)
            self.fleet.run(10)
        self.check(delta=6)


class SteppedFirstHolder(ClockTest):
    """The clock of the holder that opens the first window ever is an hour ahead: that hour must not be reported."""

    FIRST_STEP_S = 3600.0

    def test_first_window_is_the_current_one(self):
        self.assertEqual(self.holder().name, self.FIRST_HOLDER, "this seed has another first holder")
        self.assertEqual(self.calls.reports()[0][0], int(EPOCH // WINDOW_S))
        self.fleet.run(20)
        self.check(delta=6)


if __name__ == "__main__":
    unittest.main()
