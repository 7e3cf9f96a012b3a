"""A usage window is left out, comes late, or is reported twice with different counts, by a whole fleet.

Control nodes made from the platform's settings, with a stand-in of the platform that takes the duty calls.
"""

import json
import unittest
from collections import Counter

from duty_world import Arrival, faults_of_calls

from oakramp.common.constants import USAGE_GRACE
from oakramp.common.http_client import HttpClient
from oakramp.common.tasks import sleep, spawn
from oakramp.control import usage
from relay_fleet import PLATFORM, RelayFleet

KEY = usage.USAGE_KEY


class DutyCalls:
    """Takes the duty calls of a whole fleet at the platform's place. Invariant: `arrivals` holds all of them."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.arrivals, self.status, self.delay_s = [], 200, 0.0
        fleet.list.duties = self

    def take_duty(self, connection, request):
        holder, fence = request.header("Duty-Holder"), int(request.header("Fence"))
        self.arrivals.append(Arrival(self._fleet.time.now, holder, fence, json.loads(request.body)))
        self._fleet.list.reactor.callLater(self.delay_s, self._fleet.list.reply, connection, self.status, {})

    def reports(self):
        """(window, counts, time) of each report in the order in which they came; repeats too."""
        return [(call.body["window_no"], call.body["tallies"], call.at) for call in self.arrivals]


class Fleet(unittest.TestCase):
    """Whole control nodes, made from the platform's settings."""

    SETTINGS = {"platform_api.rounds": "usage,scale", "platform_api.rounds_per_s": 50.0, "bounds.report_window_s": 5}

    def setUp(self):
        self.fleet = RelayFleet(31, gates=1, cores=3, more_settings=self.SETTINGS)
        self.calls = DutyCalls(self.fleet)
        self.fleet.bring_up()
        self.sent = Counter()  # (gateway, window) -> requests of the one tenant
        self.number, self.is_told = 0, True
        self.fleet.begin(self._count_on())

    async def _count_on(self):
        """A gateway that counts a request each 0.1 s, and tells every second, a second late."""
        fleet = self.fleet
        while True:
            for _ in range(10):
                await sleep(fleet.lab_reactor, 0.1)
                self.sent[int((fleet.time.now + 1.8e9) // 5)] += 1
            if self.is_told:
                spawn(self._tell(*self._message()))

    def _message(self):
        """The control node that is asked, and what this gateway has counted in the newest windows."""
        self.number += 1
        windows = {str(window): {"t": self.sent[window]} for window in sorted(self.sent)[-3:]}
        core = next(one for one in self.fleet.of_kind("core") if one.running and not one.host.frozen)
        return core, {"gateway": "gate0", "number": self.number, "windows": windows}

    async def _tell(self, core, arguments, late_s=1.0):
        await sleep(self.fleet.lab_reactor, late_s)
        await core.node.majority_client.call(KEY, "count", arguments, 2.0)

    def last_actor(self):
        return self.fleet[self.calls.arrivals[-1].holder]

    def check(self, late_s):
        self.assertEqual(faults_of_calls(self.calls.arrivals, 3.0), [])
        first = {}
        for window, counts, at in self.calls.reports():
            self.assertEqual(first.setdefault(window, (counts, at))[0], counts, f"window {window} differs")
        windows = list(first)
        self.assertEqual(windows, list(range(windows[0], windows[0] + len(windows))))
        for window, (counts, at) in first.items():
            self.assertLess(at + 1.8e9 - (window + 1) * 5, late_s, f"window {window}")
            if window > windows[0] + 1:
                self.assertAlmostEqual(counts.get("t", 0), self.sent[window], delta=1, msg=f"window {window}")
        return windows

    def test_reports_go_on_in_order_while_whoever_acted_last_is_killed(self):
        fleet = self.fleet
        fleet.run(15)
        for _ in range(3):
            holder = self.last_actor()
            holder.kill()
            fleet.run(8)
            holder.start()
            fleet.run(4)
        self.assertGreater(len({call.fence for call in self.calls.arrivals}), 3)
        self.assertGreaterEqual(len(self.check(10.0)), 8)

    def test_a_new_holder_lets_gateways_tell_what_they_could_not(self):
        """A holder dies 0.6 s before a window's end; gateways reach its successor only after the grace is over."""
        fleet = self.fleet
        fleet.run(15 - fleet.time.now % 5 + 4.4)
        window = int((fleet.time.now + 1.8e9) // 5)
        self.is_told = False
        self.last_actor().kill()
        fleet.run(0.6 + USAGE_GRACE + 0.4)
        self.is_told = True
        fleet.until(self._tell(*self._message(), late_s=0.0))
        fleet.run(10)
        counts = {number: counts["t"] for number, counts, _ in self.calls.reports() if counts}
        self.assertEqual(counts[window], self.sent[window])

    def test_an_outage_of_the_platform_is_made_up_for(self):
        fleet = self.fleet
        fleet.run(15)
        fleet.list.silent = True
        fleet.run(14)
        fleet.list.silent = False
        fleet.run(12)
        self.assertGreaterEqual(len(self.check(25.0)), 5)

    def test_a_report_that_is_refused_for_good_holds_up_no_other(self):
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
            holder = self.last_actor()
            holder.wall_offset += jump
            fleet.run(12)
            holder.wall_offset -= jump
            fleet.run(25)
        self.assertGreaterEqual(len(self.check(9.0)), 20)

    def test_operators_see_who_holds_the_duty_and_what_is_owed(self):
        fleet = self.fleet
        fleet.run(15)
        client = HttpClient(fleet.lab_reactor)
        for core in fleet.of_kind("core"):
            address = core.node.node.env["http"]
            status, shown = fleet.until(client.json("GET", address, "/v1/duties", None, 5.0))
            (row,) = shown["duties"]
            self.assertEqual((status, row["duty"], row["holder"]), (200, KEY, self.last_actor().name))
            self.assertEqual((row["epoch"], row["sent"]), (self.calls.arrivals[-1].fence, self.calls.reports()[-1][0]))
            self.assertEqual((row["owedCount"], row["next"]), (0, row["sent"] + 1))
            self.assertGreater(row["heldFor"], 5.0)
            self.assertLess(row["deliveredAge"], 6.0)

    def cut_from_platform(self, machines):
        ip = PLATFORM.partition(":")[0]
        pairs = {(machine.host.address, ip) for machine in machines}
        self.fleet.network.hold(pairs | {pair[::-1] for pair in pairs})

    def test_a_holder_that_alone_does_not_reach_the_platform_hands_the_duty_over(self):
        fleet = self.fleet
        fleet.run(15)
        former = self.last_actor()
        self.cut_from_platform([former])
        fleet.run(30)
        self.assertNotEqual(self.last_actor(), former)
        self.assertGreaterEqual(len(self.check(10.0)), 7)
        self.assertEqual(len({call.fence for call in self.calls.arrivals}), 2)

    def test_a_duty_stays_where_it_is_if_nobody_reaches_the_platform(self):
        fleet = self.fleet
        fleet.run(15)
        self.cut_from_platform(fleet.of_kind("core"))
        before = sum("event=duty_holder_began" in line for line in fleet.lines)
        fleet.run(20)
        self.assertEqual(sum("event=duty_holder_began" in line for line in fleet.lines), before)

    def test_a_platform_that_answers_late_is_not_asked_in_vain(self):
        fleet = self.fleet
        fleet.run(15)
        self.calls.delay_s = 1.5
        count = len(self.calls.arrivals)
        fleet.run(20)
        self.assertLessEqual(len(self.calls.arrivals) - count, 5)
        self.check(10.0)


if __name__ == "__main__":
    unittest.main()
