"""Two holders of a duty act at once, or a usage window is reported twice with different counts.

The rules: the platform sees fences that never fall, one holder for each fence, and no holder again soon after another.
"""

import json
import socket
import unittest
from collections import Counter
from types import SimpleNamespace
from unittest import mock

from duty_world import DUTY_LEASE_S, PLATFORM_IP, Arrival, DutyWorld, faults_of_calls
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule, run_state_machine_as_test
from sortedcontainers import SortedDict
from twisted.internet import task, tcp

from oakramp.common.constants import CLOCK_SAMPLES, DUTY_RATE_SHARE, DUTY_UNACKNOWLEDGED, LEASE_HELD, USAGE_WINDOWS_KEPT
from oakramp.common.errors import BadRequestError
from oakramp.common.freeze_watch import FreezeWatch
from oakramp.common.tasks import sleep, spawn
from oakramp.common.tcp_options import limit_unacknowledged
from oakramp.common.wall_clock import SteadyWallClock, window_at
from oakramp.control import usage
from oakramp.control.command_context import CommandContext
from oakramp.control.controllers import CONTROLLERS
from oakramp.control.platform_duty import DutyOutcome, outcome_of_status
from oakramp.control.transaction import Transaction
from oakramp.testbed.simnet import SimTransport
from relay_fleet import RelayFleet

SEEDS = 150
KEY = usage.USAGE_KEY
purge = SimTransport.abortConnection


def purging_abort(transport):
    """An aborted connection's kernel sends nothing again of what was under way."""
    transport._unacknowledged.clear()
    purge(transport)


class Duties(unittest.TestCase):
    def setUp(self):
        patch = mock.patch.object(SimTransport, "abortConnection", purging_abort)
        patch.start()
        self.addCleanup(patch.stop)

    def check(self, world, why=""):
        faults = faults_of_calls(world.platform.arrivals, DUTY_LEASE_S)
        self.assertEqual(faults, [], f"{why}\n" + "\n".join(world.lines[-20:]))


class Seeds(Duties):
    def test_one_acts_at_a_time_whatever_fails(self):
        calls = 0
        for seed in range(SEEDS):
            world = DutyWorld(seed, duty_rate=6.0)
            world.run(1.0)
            for _ in range(5):
                world.random_fault()
                world.run(world.random.uniform(0.3, 3.0))
            self.check(world, f"seed {seed}")
            calls += len(world.platform.arrivals)
        self.assertGreater(calls, SEEDS * 5)

    def test_the_duty_goes_on_after_every_fault(self):
        for seed in range(10):
            world = DutyWorld(1000 + seed)
            for _ in range(3):
                world.random_fault()
                world.run(1.0)
            world.run(10.0)
            before = world.turn
            world.run(3.0)
            self.assertGreater(world.turn, before, f"seed {seed}")


class Fences(Duties):
    def test_no_call_before_the_former_holders_calls_have_arrived(self):
        world = DutyWorld("wait")
        world.until_calls(3)
        world.authority.hand_over()
        began_at, count = world.time.now, len(world.platform.arrivals)
        world.until_calls(1)
        self.assertGreaterEqual(world.platform.arrivals[count].at, began_at + DUTY_LEASE_S)

    def test_a_call_that_is_late_to_connect_does_not_leave_without_the_lease(self):
        world = DutyWorld("late")
        world.until_calls(3)
        holder, host = world.holder, world.holder.host.address
        world.platform.delay_s = 0.05
        count = len(world.platform.arrivals)
        with mock.patch.object(holder.duty, "_while_leading", lambda leader, awaited: awaited):
            world.network.delays[PLATFORM_IP, host] = 0.6
            world.run(0.5)
            holder.release()
            world.network.delays.clear()
            count = len(world.platform.arrivals)
            world.run(1.0)
        self.assertEqual([call for call in world.platform.arrivals[count:] if call.holder == holder.name], [])
        self.assertGreater(holder.metrics.read("duty_calls", duty=KEY, outcome="not_sent"), 0)

    def test_a_call_under_way_is_given_up_when_the_lease_ends(self):
        world = DutyWorld("given up")
        world.until_calls(3)
        holder = world.holder
        world.platform.delay_s = 5.0
        world.until_calls(1)
        world.run(0.5)
        self.assertEqual(holder.metrics.read("duty_calls", duty=KEY, outcome="unknown"), 0)
        holder.release()
        world.run(0.2)
        self.assertEqual(holder.metrics.read("duty_calls", duty=KEY, outcome="unknown"), 1)

    def test_a_thawed_holder_waits_for_its_next_lease(self):
        world = DutyWorld("thawed")
        world.until_calls(3)
        holder = world.holder
        leader = holder.leader
        leader.lease_until = world.time.now + 10.0  # as if it had been granted for long
        holder.host.freeze()
        world.run(0.6)
        holder.host.thaw()
        thawed_at = world.time.now
        leader.lease_until = thawed_at + LEASE_HELD - 0.01
        self.assertEqual(holder.duty._why_not(leader), "the lease was not renewed since this process was frozen")
        leader.lease_until = thawed_at + LEASE_HELD
        self.assertIsNone(holder.duty._why_not(leader))

    def test_no_call_leaves_with_the_lease_about_to_end(self):
        world = DutyWorld("short")
        world.until_calls(3)
        leader = world.holder.leader
        leader.lease_until = world.time.now + 0.1
        self.assertTrue(leader.holds_lease())
        self.assertFalse(world.holder.duty._may_call(leader))

    def test_a_renewed_lease_lets_a_slow_answer_be_awaited(self):
        world = DutyWorld("slow")
        world.until_calls(3)
        world.platform.delay_s = 1.5
        world.run(2.0)
        turn, count = world.turn, len(world.platform.arrivals)
        world.run(6.0)
        self.assertGreaterEqual(world.turn - turn, 3)
        self.assertLessEqual(len(world.platform.arrivals) - count, world.turn - turn + 1)

    def test_a_holder_whose_every_answer_is_lost_repeats_the_same(self):
        world = DutyWorld("lost")
        world.until_calls(3)
        holder = world.holder
        world.cut({(PLATFORM_IP, holder.host.address)}, 1.0)
        world.run(8.0)
        contents = {}
        for call in world.platform.arrivals:
            self.assertIn(call.body["turn"] - max(contents, default=-1), (0, 1))
            contents[call.body["turn"]] = True


class Calls(Duties):
    def test_calls_keep_to_the_share_of_the_rate(self):
        world = DutyWorld("rate", duty_rate=8.0)
        world.until_calls(2)
        count = len(world.platform.arrivals)
        world.run(5.0)
        self.assertLessEqual(len(world.platform.arrivals) - count, 8.0 * DUTY_RATE_SHARE * 5.0 + 1)
        self.assertGreater(len(world.platform.arrivals) - count, 8.0 * DUTY_RATE_SHARE * 5.0 * 0.8)

    def test_a_platform_in_trouble_is_asked_less_and_less_often(self):
        for status in (429, 500, 503):
            world = DutyWorld(f"trouble {status}", duty_rate=100.0)
            world.until_calls(2)
            world.platform.status = status
            count = len(world.platform.arrivals)
            world.run(10.0)
            self.assertLess(len(world.platform.arrivals) - count, 16, status)
            self.assertGreater(len(world.platform.arrivals) - count, 4, status)

    def test_a_very_slow_platform_is_given_longer_each_time(self):
        world = DutyWorld("very slow")
        world.until_calls(3)
        world.platform.delay_s = 7.0
        turn, count = world.turn, len(world.platform.arrivals)
        world.run(40.0)
        self.assertGreaterEqual(world.turn - turn, 1)
        self.assertLessEqual(len(world.platform.arrivals) - count, 9)

    def test_statuses(self):
        for status, outcome in (
            (200, DutyOutcome.ACCEPTED),
            (429, DutyOutcome.THROTTLED),
            (400, DutyOutcome.REFUSED),
            (408, DutyOutcome.FAILED),
            (503, DutyOutcome.FAILED),
        ):
            self.assertIs(outcome_of_status(status), outcome)


class Sockets(unittest.TestCase):
    """What a frozen process cannot do is left to its kernel."""

    def test_a_calls_connection_is_dropped_once_nothing_is_acknowledged(self):
        handle = socket.socket()
        self.addCleanup(handle.close)
        transport = tcp.Connection(handle, None)
        limit_unacknowledged(transport, DUTY_UNACKNOWLEDGED)
        told = handle.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        self.assertEqual(told, 1000)

    def test_every_duty_call_is_made_so(self):
        limited = []
        with mock.patch("oakramp.common.http_client.limit_unacknowledged", lambda _, seconds: limited.append(seconds)):
            world = DutyWorld("sockets")
            world.until_calls(3)
        self.assertEqual(limited[:3], [DUTY_UNACKNOWLEDGED] * 3)


class UsageRows:
    """The rows of the key, with commands run as a leader runs them, in batches."""

    def __init__(self):
        self.entries = SortedDict()
        self.context = CommandContext(0.0, None, {}, None, None)

    def run(self, *commands):
        """Runs these (command, arguments) pairs as one batch; gives their results."""
        transaction, results = Transaction(self.entries, self.context), []
        for command, arguments in commands:
            inner = transaction.nested()
            results.append(CONTROLLERS.find(KEY).run(inner, KEY, command, arguments))
            transaction.merge(inner)
        for key, value in transaction.changes().items():
            self.entries.pop(key, None)
            if value is not None:
                self.entries[key] = value
        return results

    def one(self, command, **arguments):
        return self.run((command, arguments))[0]

    def count(self, gateway, number, windows):
        return self.one("count", gateway=gateway, number=number, windows=windows)


class Windows(unittest.TestCase):
    def setUp(self):
        self.rows = UsageRows()

    def kept_counts(self):
        return [key for key in self.rows.entries if key.startswith(usage.COUNT_ROWS)]

    def test_a_message_that_was_overtaken_changes_nothing(self):
        self.rows.one("close", through=6, current=7)
        self.rows.count("g1", 2, {"7": {"t": 5}})
        self.rows.count("g1", 1, {"7": {"t": 3}})
        self.rows.one("close", through=7, current=8)
        self.assertEqual(self.rows.one("owed")["counts"], {"t": 5})

    def test_the_first_window_is_the_one_under_way(self):
        self.assertEqual(self.rows.count("g1", 1, {"7": {"t": 1}}), {"next": 0})
        self.assertEqual(self.rows.one("close", through=5, current=7), {"closed": 0, "next": 7})
        self.assertEqual(self.rows.count("g1", 2, {"6": {"t": 9}, "7": {"t": 1}}), {"next": 7})
        self.assertEqual(self.kept_counts(), [usage.count_row(7, "g1")])
        self.assertEqual(self.rows.one("close", through=7, current=9), {"closed": 1, "next": 8})
        self.assertEqual(self.rows.one("owed"), {"window": 7, "counts": {"t": 1}})

    def test_a_count_in_the_batch_of_the_close_is_in_the_total(self):
        self.rows.one("close", through=6, current=7)
        self.rows.run(
            ("count", {"gateway": "g1", "number": 1, "windows": {"7": {"t": 2}}}),
            ("close", {"through": 7, "current": 8}),
            ("count", {"gateway": "g2", "number": 1, "windows": {"7": {"t": 5}}}),
        )
        self.assertEqual(self.rows.one("owed"), {"window": 7, "counts": {"t": 2}})
        self.assertEqual(self.kept_counts(), [])

    def test_a_window_without_counts_is_owed_too(self):
        self.rows.one("close", through=6, current=7)
        self.rows.one("close", through=9, current=10)
        for window in (7, 8, 9):
            self.assertEqual(self.rows.one("owed"), {"window": window, "counts": {}})
            self.rows.one("delivered", window=window)
        self.assertEqual(self.rows.one("owed"), {"window": None, "counts": None})
        self.assertEqual(self.rows.one("read")["sent"], 9)

    def test_windows_sort_by_number(self):
        self.rows.one("close", through=8, current=9)
        self.rows.one("close", through=10, current=11)
        self.assertEqual(self.rows.one("read")["owed"], [9, 10])

    def test_windows_missed_for_long_are_bounded_in_number(self):
        self.rows.one("close", through=6, current=7)
        self.rows.count("g1", 1, {"7": {"t": 1}})
        self.assertEqual(self.rows.one("close", through=5000, current=5001)["closed"], USAGE_WINDOWS_KEPT)
        self.assertEqual(self.rows.one("owed")["window"], 5000 - USAGE_WINDOWS_KEPT + 1)
        self.assertEqual(self.kept_counts(), [])

    def test_a_close_twice_or_of_an_earlier_window_changes_nothing(self):
        self.rows.one("close", through=6, current=7)
        self.rows.one("close", through=8, current=9)
        before = dict(self.rows.entries)
        for through in (8, 7, 3):
            self.assertEqual(self.rows.one("close", through=through, current=9), {"closed": 0, "next": 9})
        self.assertEqual(dict(self.rows.entries), before)

    def test_what_cannot_be_read_is_refused(self):
        self.rows.one("close", through=6, current=7)
        for windows in ({"x": {}}, {"-7": {}}, {"7": [1]}, {"7": {"t": -1}}, {"7": {"t": 1.5}}, {"7": {"t": True}}):
            with self.assertRaises(BadRequestError):
                self.rows.count("g1", 1, windows)


class WindowsModel(RuleBasedStateMachine):
    """Gateways that count, messages that come in any order and twice, and leaders that close and deliver."""

    def __init__(self):
        super().__init__()
        self.rows = UsageRows()
        self.rows.one("close", through=9, current=10)
        self.counted = {}  # (gateway, window) -> counts so far
        self.numbers = Counter()
        self.sent = []
        self.taken = {}  # (gateway, window) -> (number, counts) of the newest message that came before the close
        self.totals = {}  # window -> what it was closed with
        self.next = 10

    @rule(gateway=st.sampled_from("ab"), ahead=st.integers(0, 2), tenant=st.sampled_from("xy"))
    def begin_request(self, gateway, ahead, tenant):
        self.counted.setdefault((gateway, self.next + ahead), Counter())[tenant] += 1

    @rule(gateway=st.sampled_from("ab"))
    def send(self, gateway):
        self.numbers[gateway] += 1
        windows = {window: dict(counts) for (who, window), counts in self.counted.items() if who == gateway}
        self.sent.append((gateway, self.numbers[gateway], windows))

    @precondition(lambda self: self.sent)
    @rule(data=st.data())
    def arrive(self, data):
        self._arrive([data.draw(st.sampled_from(self.sent))], None)

    @precondition(lambda self: self.sent)
    @rule(data=st.data(), ahead=st.integers(-1, 2))
    def arrive_with_a_close(self, data, ahead):
        self._arrive([data.draw(st.sampled_from(self.sent))], self.next + ahead)

    @rule(ahead=st.integers(-1, 2))
    def close(self, ahead):
        self._arrive([], self.next + ahead)

    def _arrive(self, messages, through):
        commands = [
            ("count", {"gateway": gateway, "number": number, "windows": {str(w): c for w, c in windows.items()}})
            for gateway, number, windows in messages
        ]
        for gateway, number, windows in messages:
            for window, counts in windows.items():
                if window >= self.next and number > self.taken.get((gateway, window), (0, None))[0]:
                    self.taken[gateway, window] = number, counts
        if through is not None:
            commands.append(("close", {"through": through, "current": through + 1}))
            for window in range(self.next, through + 1):
                rows = [Counter(counts) for (_, other), (_, counts) in self.taken.items() if other == window]
                self.totals[window] = dict(sum(rows, Counter()))
            self.next = max(self.next, through + 1)
        self.rows.run(*commands)

    @rule()
    def deliver(self):
        owed = self.rows.one("owed")
        if owed["window"] is not None:
            assert owed["window"] == min(self.totals), (owed, self.totals)
            assert owed["counts"] == self.totals.pop(owed["window"]), owed
            self.rows.one("delivered", window=owed["window"])

    @invariant()
    def totals_of_closed_windows_stay(self):
        transaction = Transaction(self.rows.entries, self.rows.context)
        kept = {usage.window_of_row(row): transaction.get(row)["counts"] for row in transaction.keys(usage.WINDOW_ROWS)}
        assert kept == self.totals, (kept, self.totals)
        assert self.rows.one("read")["next"] == self.next


class WindowsInAnyOrder(unittest.TestCase):
    def test_each_count_is_in_one_total_or_came_too_late(self):
        run_state_machine_as_test(
            WindowsModel, settings=settings(max_examples=60, stateful_step_count=30, deadline=None)
        )


class Clocks(unittest.TestCase):
    def setUp(self):
        self.reactor = task.Clock()
        self.offset = 1.8e9
        self.log = SimpleNamespace(error=print, warning=print)
        self.clock = SteadyWallClock(self.reactor, lambda: self.reactor.seconds() + self.offset, self.log)
        self.clock.start()
        self.addCleanup(self.clock.stop)

    def run_for(self, seconds):
        self.reactor.pump([0.5] * int(2 * seconds))

    def test_a_jump_that_is_set_right_soon_is_not_seen(self):
        self.run_for(60)
        for jump in (7.0, -7.0):
            self.offset += jump
            self.run_for(20)
            self.assertAlmostEqual(self.clock.now(), self.reactor.seconds() + 1.8e9, places=3)
            self.offset -= jump
            self.run_for(CLOCK_SAMPLES)

    def test_a_jump_that_stays_is_followed(self):
        self.run_for(60)
        self.offset += 7.0
        self.run_for(CLOCK_SAMPLES)
        self.assertAlmostEqual(self.clock.now(), self.reactor.seconds() + 1.8e9 + 7.0, places=3)

    def test_windows_begin_at_whole_multiples_since_1970(self):
        self.assertEqual([window_at(at, 5.0) for at in (0.0, 4.999, 5.0, 1.8e9)], [0, 0, 1, 360000000])

    def test_a_freeze_is_seen_by_whoever_asks_first(self):
        watch = FreezeWatch(self.reactor, 0.3, self.log)
        watch.start()
        self.addCleanup(watch.stop)
        self.run_for(2)
        self.assertEqual(FreezeWatch(self.reactor, 0.3, self.log).thawed_at(), float("-inf"))
        self.reactor.rightNow += 0.5  # no timer has run yet
        self.assertEqual(watch.thawed_at(), self.reactor.seconds())


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
        self.fleet = RelayFleet(31, gates=1, cores=5, more_settings=self.SETTINGS)
        self.calls = DutyCalls(self.fleet)
        self.fleet.bring_up()
        self.sent = Counter()  # (gateway, window) -> requests of the one tenant
        self.number = 0
        self.fleet.begin(self._count_on())

    async def _count_on(self):
        """A gateway that counts a request each 0.1 s, and tells every second, a second late."""
        fleet = self.fleet
        while True:
            for _ in range(10):
                await sleep(fleet.lab_reactor, 0.1)
                self.sent[int((fleet.time.now + 1.8e9) // 5)] += 1
            self.number += 1
            newest = sorted(self.sent)[-3:]
            windows = {str(window): {"t": self.sent[window]} for window in newest}
            arguments = {"gateway": "gate0", "number": self.number, "windows": windows}
            core = next(one for one in fleet.of_kind("core") if one.running and not one.host.frozen)
            spawn(self._tell(core, arguments))

    async def _tell(self, core, arguments):
        await sleep(self.fleet.lab_reactor, 1.0)
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
