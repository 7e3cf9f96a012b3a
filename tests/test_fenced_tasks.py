"""Guards against two holders of a fenced task that call the platform at the same time.

The platform must see fences that never decrease, one holder per fence, and no call by a holder within the lock delay
after a call by another, if it had called within the lock delay before.
"""

import socket
import unittest
from types import SimpleNamespace
from unittest import mock

from fenced_world import LOCK_DELAY_S, PLATFORM_IP, FencedWorld, faults_of_calls
from twisted.internet import task, tcp

from oakramp.common.constants import CLOCK_SAMPLES, FENCED_ARRIVAL, FENCED_RATE_SHARE, FENCED_UNACKNOWLEDGED, LEASE_HELD
from oakramp.common.freeze_watch import FreezeWatch
from oakramp.common.tcp_options import limit_unacknowledged
from oakramp.common.wall_clock import SteadyWallClock, window_at
from oakramp.control.fenced_task import CallOutcome, outcome_of_status
from oakramp.testbed.simnet import SimTransport

SEEDS = 150
KEY = "usage"
abort_connection = SimTransport.abortConnection


def abort_without_retransmission(transport):
    """Aborts a connection such that, as with a real kernel, nothing that was in transit is retransmitted."""
    transport._unacknowledged.clear()
    abort_connection(transport)


class FencedTaskTest(unittest.TestCase):
    def setUp(self):
        patch = mock.patch.object(SimTransport, "abortConnection", abort_without_retransmission)
        patch.start()
        self.addCleanup(patch.stop)

    def check(self, world, why=""):
        faults = faults_of_calls(world.platform.arrivals, LOCK_DELAY_S)
        self.assertEqual(faults, [], f"{why}\n" + "\n".join(world.lines[-20:]))


class RandomFaults(FencedTaskTest):
    def test_one_holder_calls_at_a_time_under_random_faults(self):
        calls = 0
        for seed in range(SEEDS):
            world = FencedWorld(seed, platform_call_rate=6.0)
            world.run(1.0)
            for _ in range(5):
                world.random_fault()
                world.run(world.random.uniform(0.3, 3.0))
            self.check(world, f"seed {seed}")
            calls += len(world.platform.arrivals)
        self.assertGreater(calls, SEEDS * 5)

    def test_the_task_continues_after_every_fault(self):
        for seed in range(10):
            world = FencedWorld(1000 + seed)
            for _ in range(3):
                world.random_fault()
                world.run(1.0)
            world.run(10.0)
            before = world.turn
            world.run(3.0)
            self.assertGreater(world.turn, before, f"seed {seed}")


class Fences(FencedTaskTest):
    def wait_after_hand_over(self, world):
        """Hands the shard over as planned and returns the seconds until the next holder's first call."""
        world.authority.hand_over()
        began_at, count = world.time.now, len(world.platform.arrivals)
        world.until_calls(1)
        self.assertEqual(world.platform.arrivals[count].holder, world.holder.name)
        return world.platform.arrivals[count].at - began_at

    def test_no_call_before_the_former_holders_calls_have_arrived(self):
        world = FencedWorld("wait")
        world.run(10.0)
        waited = self.wait_after_hand_over(world)
        self.assertGreaterEqual(waited, FENCED_ARRIVAL)
        self.assertLess(waited, LOCK_DELAY_S)

    def test_a_holder_that_called_recently_waits_a_whole_lock_delay(self):
        world = FencedWorld("again", machines=2)
        world.run(10.0)
        self.wait_after_hand_over(world)
        self.assertGreaterEqual(self.wait_after_hand_over(world), LOCK_DELAY_S)

    def test_a_process_that_has_just_started_waits_a_whole_lock_delay(self):
        world = FencedWorld("anew", machines=2)
        world.run(10.0)
        other = next(machine for machine in world.machines if machine is not world.holder)
        world.kill(other, 0.5)
        world.run(1.0)
        self.assertGreaterEqual(self.wait_after_hand_over(world), LOCK_DELAY_S)

    def test_a_call_that_connects_late_is_not_sent_without_the_lease(self):
        world = FencedWorld("late")
        world.until_calls(3)
        holder, host = world.holder, world.holder.host.address
        world.platform.delay_s = 0.05
        count = len(world.platform.arrivals)
        with mock.patch.object(holder.task, "_while_leading", lambda leader, awaited: awaited):
            world.network.delays[PLATFORM_IP, host] = 0.6
            world.run(0.5)
            holder.release()
            world.network.delays.clear()
            count = len(world.platform.arrivals)
            world.run(1.0)
        self.assertEqual([call for call in world.platform.arrivals[count:] if call.holder == holder.name], [])
        self.assertGreater(holder.metrics.read("fenced_calls", task=KEY, outcome="not_sent"), 0)

    def test_a_call_under_way_is_aborted_when_the_lease_ends(self):
        world = FencedWorld("given up")
        world.until_calls(3)
        holder = world.holder
        world.platform.delay_s = 5.0
        world.until_calls(1)
        world.run(0.5)
        self.assertEqual(holder.metrics.read("fenced_calls", task=KEY, outcome="unknown"), 0)
        holder.release()
        world.run(0.2)
        self.assertEqual(holder.metrics.read("fenced_calls", task=KEY, outcome="unknown"), 1)

    def test_a_thawed_holder_waits_for_a_lease_renewal(self):
        world = FencedWorld("thawed")
        world.until_calls(3)
        holder = world.holder
        leader = holder.leader
        leader.lease_until = world.time.now + 10.0  # as if it had been granted for a long time
        holder.host.freeze()
        world.run(0.6)
        holder.host.thaw()
        resumed_at = world.time.now
        leader.lease_until = resumed_at + LEASE_HELD - 0.01
        self.assertEqual(holder.task._refusal_reason(leader), "the lease was not renewed since this process was frozen")
        leader.lease_until = resumed_at + LEASE_HELD
        self.assertIsNone(holder.task._refusal_reason(leader))

    def test_no_call_is_sent_when_the_lease_is_about_to_end(self):
        world = FencedWorld("short")
        world.until_calls(3)
        leader = world.holder.leader
        leader.lease_until = world.time.now + 0.1
        self.assertTrue(leader.holds_lease())
        self.assertFalse(world.holder.task._may_call(leader))

    def test_a_renewed_lease_lets_a_slow_answer_be_awaited(self):
        world = FencedWorld("slow")
        world.until_calls(3)
        world.platform.delay_s = 1.5
        world.run(2.0)
        turn, count = world.turn, len(world.platform.arrivals)
        world.run(6.0)
        self.assertGreaterEqual(world.turn - turn, 3)
        self.assertLessEqual(len(world.platform.arrivals) - count, world.turn - turn + 1)

    def test_a_call_whose_answer_is_lost_is_repeated_unchanged(self):
        world = FencedWorld("lost")
        world.until_calls(3)
        holder = world.holder
        world.cut({(PLATFORM_IP, holder.host.address)}, 1.0)
        world.run(8.0)
        contents = {}
        for call in world.platform.arrivals:
            self.assertIn(call.body["turn"] - max(contents, default=-1), (0, 1))
            contents[call.body["turn"]] = True


class Calls(FencedTaskTest):
    def test_calls_stay_within_the_share_of_the_rate(self):
        world = FencedWorld("rate", platform_call_rate=8.0)
        world.until_calls(2)
        count = len(world.platform.arrivals)
        world.run(5.0)
        self.assertLessEqual(len(world.platform.arrivals) - count, 8.0 * FENCED_RATE_SHARE * 5.0 + 1)
        self.assertGreater(len(world.platform.arrivals) - count, 8.0 * FENCED_RATE_SHARE * 5.0 * 0.8)

    def test_calls_to_a_failing_platform_back_off(self):
        for status in (429, 500, 503):
            world = FencedWorld(f"trouble {status}", platform_call_rate=100.0)
            world.until_calls(2)
            world.platform.status = status
            count = len(world.platform.arrivals)
            world.run(10.0)
            self.assertLess(len(world.platform.arrivals) - count, 16, status)
            self.assertGreater(len(world.platform.arrivals) - count, 4, status)

    def test_the_time_limit_grows_for_a_slow_platform(self):
        world = FencedWorld("very slow")
        world.until_calls(3)
        world.platform.delay_s = 7.0
        turn, count = world.turn, len(world.platform.arrivals)
        world.run(40.0)
        self.assertGreaterEqual(world.turn - turn, 1)
        self.assertLessEqual(len(world.platform.arrivals) - count, 9)

    def test_outcomes_of_statuses(self):
        for status, outcome in (
            (200, CallOutcome.ACCEPTED),
            (429, CallOutcome.THROTTLED),
            (400, CallOutcome.REFUSED),
            (408, CallOutcome.FAILED),
            (503, CallOutcome.FAILED),
        ):
            self.assertIs(outcome_of_status(status), outcome)


class Sockets(unittest.TestCase):
    """The kernel drops the connections of a frozen process, which cannot do so itself."""

    def test_a_connection_is_dropped_once_nothing_is_acknowledged(self):
        handle = socket.socket()
        self.addCleanup(handle.close)
        transport = tcp.Connection(handle, None)
        limit_unacknowledged(transport, FENCED_UNACKNOWLEDGED)
        told = handle.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        self.assertEqual(told, 800)

    def test_every_fenced_call_limits_unacknowledged_data(self):
        limited = []
        with mock.patch("oakramp.common.http_client.limit_unacknowledged", lambda _, seconds: limited.append(seconds)):
            world = FencedWorld("sockets")
            world.until_calls(3)
        self.assertEqual(limited[:3], [FENCED_UNACKNOWLEDGED] * 3)


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

    def test_a_jump_that_is_corrected_soon_is_ignored(self):
        self.run_for(60)
        for jump in (7.0, -7.0):
            self.offset += jump
            self.run_for(20)
            self.assertAlmostEqual(self.clock.now(), self.reactor.seconds() + 1.8e9, places=3)
            self.offset -= jump
            self.run_for(CLOCK_SAMPLES)

    def test_a_permanent_jump_is_adopted(self):
        self.run_for(60)
        self.offset += 7.0
        self.run_for(CLOCK_SAMPLES)
        self.assertAlmostEqual(self.clock.now(), self.reactor.seconds() + 1.8e9 + 7.0, places=3)

    def test_windows_begin_at_multiples_of_their_length_since_1970(self):
        self.assertEqual([window_at(at, 5.0) for at in (0.0, 4.999, 5.0, 1.8e9)], [0, 0, 1, 360000000])

    def test_a_freeze_is_detected_before_any_timer_runs(self):
        watch = FreezeWatch(self.reactor, 0.3, self.log)
        watch.start()
        self.addCleanup(watch.stop)
        self.run_for(2)
        self.assertEqual(FreezeWatch(self.reactor, 0.3, self.log).resumed_at(), float("-inf"))
        self.reactor.rightNow += 0.5  # no timer has run yet
        self.assertEqual(watch.resumed_at(), self.reactor.seconds())


if __name__ == "__main__":
    unittest.main()
