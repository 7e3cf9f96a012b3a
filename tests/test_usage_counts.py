"""Guards against requests of tenants that are not reported, are counted twice or are counted in the wrong window.

One gateway between scripted clients and replicas; test_fenced_tasks covers how windows are closed and reported.
"""

import os
import sys
import unittest

TESTS = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [TESTS, os.path.join(os.path.dirname(TESTS), "platform")]

from twisted.internet import defer  # noqa: E402

from oakramp.common.errors import BadRequestError, OutcomeUnknownError  # noqa: E402
from oakramp.gateway.tenants import TenantTable  # noqa: E402
from oakramp.gateway.usage_counter import UsageCounter  # noqa: E402
from relay_bench import STREAM_END, STREAM_HEAD, Gate, answer, event, request  # noqa: E402

WINDOW_S = 5.0
EPOCH = 1.8e9  # s; wall time when the gateway's reactor is at 0, which is the start of a window
FIRST = int(EPOCH // WINDOW_S)


class Leader:
    """A fake leader of USAGE_KEY. Invariant: `messages` holds the arguments of all reports received."""

    def __init__(self):
        self.messages, self.next_window, self.error, self.answer = [], 0, None, None
        self.time = dict  # returns the fields of a reply about the fleet's time

    async def call(self, _key, command, arguments, _time_left):
        """Receives a report; raises `error` if it is set, and waits for `answer` if it is set."""
        assert command == "count"
        self.messages.append(arguments)
        if self.error is not None:
            raise self.error
        answer = {"next": self.next_window} | self.time()
        if self.answer is not None:
            await self.answer
        return answer

    @property
    def windows(self):
        """The counts by tenant in the latest report, by window number since the first one."""
        return {int(window) - FIRST: counts for window, counts in self.messages[-1]["windows"].items()}


class Counts(unittest.TestCase):
    """The reports of one gateway."""

    def setUp(self):
        self.gate = Gate()
        self.leader = Leader()
        self.gate.router.tenants = TenantTable({"north": {"keys": ["n"], "priority": None}})
        self.gate.leaders.call = self.leader.call
        self.wall_step = 0.0
        self.begin()

    def begin(self):
        """Starts a new usage counter, as a new gateway process does."""
        wall = lambda: EPOCH + self.wall_step + self.gate.reactor.seconds()  # noqa: E731
        self.gate.usage = UsageCounter(self.gate, wall, WINDOW_S)
        self.gate.usage.start()

    def tell_time(self, settled=True):
        """From now on the leader's replies contain the true time, or none if `settled` is false."""
        now = self.gate.reactor.seconds
        self.leader.time = lambda: {"time": EPOCH + now() if settled else None, "settled": settled}

    def ask(self, kind, try_id="t1"):
        return self.gate.ask(request(kind, try_id, Api_Key="n"))

    def serve(self, kind, *data):
        """Sends a request, to which its replica responds with `data`."""
        client = self.ask(kind)
        replica = self.gate.replica()
        for part in data:
            replica.feed(part)
        return client, replica

    def reported(self):
        self.gate.run(1.2)
        return self.leader.windows if self.leader.messages else {}

    def test_a_call_and_a_stream_are_counted_once_each(self):
        _, replica = self.serve("unsafe", answer())
        self.ask("once")  # reuses the open connection
        for part in (STREAM_HEAD, event(1), event(2), STREAM_END):
            replica.feed(part)
        self.assertEqual((self.reported(), self.gate.dialled()), ({0: {"north": 2}}, 1))

    def test_a_stream_without_an_event_is_not_counted(self):
        self.serve("once", STREAM_HEAD)
        self.assertEqual(self.reported(), {})

    def test_a_request_rejected_by_replicas_is_not_counted(self):
        for _ in range(3):
            self.serve("unsafe", answer(503, Not_Run=1))
        self.assertEqual(self.reported(), {})

    def test_a_request_retried_after_a_lost_response_is_counted_once(self):
        _, replica = self.serve("safe")
        replica.peer_closes()
        self.gate.replica().feed(answer())
        self.assertEqual(self.reported(), {0: {"north": 1}})

    def test_a_request_is_counted_in_the_window_in_which_it_was_sent(self):
        self.gate.run(4.9)
        _, replica = self.serve("unsafe")
        self.gate.run(0.3)
        replica.feed(answer())
        self.assertEqual(self.reported(), {0: {"north": 1}})

    def test_a_request_without_a_tenant_is_not_counted(self):
        self.gate.router.tenants = TenantTable(None)
        self.serve("unsafe", answer())
        self.assertEqual(self.reported(), {})

    def test_a_report_whose_reply_was_lost_is_repeated_with_all_counts(self):
        self.leader.error = OutcomeUnknownError("lost")
        self.serve("unsafe", answer())
        self.gate.run(2.3)
        numbers = [message["number"] for message in self.leader.messages]
        self.assertGreaterEqual(len(numbers), 2)
        self.assertEqual(numbers, sorted(set(numbers)))
        self.leader.error = None
        self.assertEqual(self.reported(), {0: {"north": 1}})
        count = len(self.leader.messages)
        self.gate.run(6)
        self.assertEqual(self.leader.windows, {0: {"north": 1}})
        self.assertLessEqual(len(self.leader.messages) - count, 3, "there was nothing new to report")

    def test_a_stream_cut_off_before_its_first_event_is_not_counted(self):
        for kind, data in (("once", [STREAM_HEAD]), ("once", [])):
            _, replica = self.serve(kind, *data)
            replica.peer_closes()
        self.assertEqual(self.reported(), {})

    def test_a_stop_during_a_report_reports_again(self):
        self.leader.answer = defer.Deferred()
        count = len(self.leader.messages)
        self.serve("unsafe", answer())
        self.gate.run(1.2)
        self.assertEqual(len(self.leader.messages), count + 1)
        self.gate.background(self.gate.usage.stop(0.5))
        self.assertEqual(len(self.leader.messages), count + 2)

    def test_a_closed_window_is_no_longer_reported(self):
        self.serve("unsafe", answer())
        self.leader.next_window = FIRST + 1
        self.gate.run(6)
        self.serve("unsafe", answer())
        self.assertEqual(self.reported(), {1: {"north": 1}})

    def test_counts_not_acknowledged_before_their_window_closed_are_counted_as_late(self):
        self.serve("unsafe", answer())
        self.gate.run(1.2)
        self.serve("unsafe", answer())
        self.leader.next_window = FIRST + 1
        self.gate.run(2.2)
        self.assertEqual(
            self.gate.metrics.read("usage_counts_late"), 2, "no window had been opened at the first report"
        )
        self.gate.run(2.0)
        self.serve("unsafe", answer())
        self.gate.run(1.2)
        self.leader.next_window = FIRST + 2
        self.gate.run(6)
        self.assertEqual(self.gate.metrics.read("usage_counts_late"), 2, "the third request was reported in time")

    def test_a_gateway_started_with_a_wrong_clock_waits_for_the_fleets_time(self):
        self.gate.usage.stop(0.0).close()
        self.wall_step = 6.0
        self.tell_time(settled=False)
        self.begin()
        self.serve("unsafe", answer())
        self.assertEqual(self.reported(), {})
        self.tell_time()
        self.gate.run(1.0)
        self.assertEqual(self.reported(), {0: {"north": 1}})

    def test_a_gateway_uses_its_own_clock_while_reports_fail(self):
        self.gate.usage.stop(0.0).close()
        self.leader.error = OutcomeUnknownError("lost")
        self.begin()
        self.serve("unsafe", answer())
        self.gate.run(3.1)
        self.assertEqual(self.reported(), {0: {"north": 1}})

    def test_the_time_in_a_slow_reply_is_ignored(self):
        self.tell_time()
        self.leader.answer = defer.Deferred()
        self.gate.run(6.0)
        self.leader.answer.callback(None)
        self.serve("unsafe", answer())
        self.assertEqual(list(self.reported()), [1])

    def test_a_leader_of_an_earlier_release_is_sent_no_time(self):
        self.tell_time()
        self.gate.run(4.2)
        self.assertIn("time", self.leader.messages[-1])
        self.leader.error = BadRequestError("time: is not a known field")
        self.gate.run(2.2)
        self.leader.error, self.leader.time = None, dict
        self.gate.run(4.2)
        self.assertNotIn("time", self.leader.messages[-1])

    def test_a_planned_stop_reports_the_remaining_counts(self):
        self.gate.run(1.05)
        self.serve("unsafe", answer())
        self.gate.background(self.gate.usage.stop(0.5))
        self.assertEqual(self.leader.windows, {0: {"north": 1}})


if __name__ == "__main__":
    unittest.main()
