"""Backoff of calls to failing stores. In the diagrams, each column is a node and time runs down."""

import random
import unittest
from types import SimpleNamespace

from twisted.internet import defer

from oakramp.common.constants import STORE_BACKOFF, STORE_BACKOFF_MAX, STORE_CALL_TIME
from oakramp.common.errors import (
    OutcomeUnknownError,
    QuorumUnavailableError,
    StaleEpochError,
    StorageFullError,
    UnreachableError,
)
from oakramp.common.metrics import Metrics
from oakramp.common.structured_logging import EventLogger
from oakramp.store.store_client import CallHeldBackError, StoreClient
from oakramp.store.turns import Record, TurnClient
from oakramp.testbed.plan import Size
from oakramp.testbed.simfleet import SimFleet

REQUESTS = 40  # requests that wait at one gateway while its stores are down
STORES_DOWN_S = 5.0


class Clock:
    now = 0.0

    def seconds(self):
        return self.now


class StoreCallsTest(unittest.TestCase):
    def setUp(self):
        self.lines, self.clock, self.sent = [], Clock(), []
        self.answer = lambda: defer.succeed("yes")
        node = SimpleNamespace(
            reactor=self.clock,
            random=random.Random(4),
            log=EventLogger(self.lines.append),
            net=SimpleNamespace(call=self.net),
        )
        self.calls = StoreClient(node)

    def net(self, peer, method, time_left, **arguments):
        self.sent.append(self.clock.now)
        return self.answer()

    def fails(self, error):
        self.answer = lambda: defer.fail(error)

    def call(self, time_left=STORE_CALL_TIME):
        """A list that receives the outcome; empty as long as it is unknown."""
        outcome = []
        defer.ensureDeferred(self.calls.call("s", "1.2.3.4:5", "lineGet", time_left)).addCallbacks(
            outcome.append, lambda failure: outcome.append(failure.value)
        )
        return outcome

    def test_pauses_double_up_to_the_maximum_and_each_change_is_logged_once(self):
        """
        gateway, a call each millisecond    store
        one call, then a pause  --------->  fails, for 10 s
        one call, a longer pause  ------->
        one call  ----------------------->  replies: all calls are sent again
        """
        self.fails(UnreachableError("refused"))
        for millisecond in range(10_000):
            self.clock.now = millisecond / 1000
            self.assertIsInstance(self.call()[0], UnreachableError)
        pauses = [after - before for before, after in zip(self.sent, self.sent[1:])]
        self.assertLessEqual(STORE_BACKOFF / 2, pauses[0])
        self.assertLessEqual(max(pauses), STORE_BACKOFF_MAX + 0.002)
        self.assertTrue(all(pause >= STORE_BACKOFF_MAX / 2 for pause in pauses[5:]))
        self.assertGreater(len({round(pause, 3) for pause in pauses[5:]}), 5)  # with random jitter
        self.assertEqual(["store_calls_failing" in line for line in self.lines], [True])
        self.answer = lambda: defer.succeed("yes")
        self.clock.now += STORE_BACKOFF_MAX
        self.assertEqual([self.call()[0] for _ in range(5)], ["yes"] * 5)
        self.assertEqual(len(self.lines), 2)
        self.assertIn("event=store_calls_recovered", self.lines[1])
        metrics = Metrics()
        self.calls.show(metrics)
        self.assertIn(f'oak_store_calls{{outcome="failed"}} {len(pauses) + 1}\n', metrics.to_text())
        self.assertIn('oak_store_calls{outcome="answered"} 5\n', metrics.to_text())
        self.assertIn("oak_stores_failing 0\n", metrics.to_text())

    def test_one_call_is_sent_after_a_pause(self):
        self.fails(OutcomeUnknownError("lost"))
        self.call()
        self.clock.now += STORE_BACKOFF
        waiting = defer.Deferred()
        self.answer = lambda: waiting
        first, second = self.call(), self.call()
        self.assertEqual(first, [])
        self.assertIsInstance(second[0], CallHeldBackError)
        waiting.callback("yes")
        self.answer = lambda: defer.succeed("yes")
        self.assertEqual((first, self.call()), (["yes"], ["yes"]))

    def test_calls_that_fail_together_lengthen_the_pause_once(self):
        together = [defer.Deferred() for _ in range(20)]
        answers = iter(together)
        self.answer = lambda: next(answers)
        for _ in together:
            self.call()
        self.clock.now += 0.001
        for one in together:
            one.errback(StaleEpochError("epoch 0 is not 1"))
        self.clock.now += STORE_BACKOFF
        self.answer = lambda: defer.succeed("yes")
        self.assertEqual(self.call(), ["yes"])

    def test_errors_of_the_call_itself_and_short_deadlines_start_no_backoff(self):
        """Neither an error of the individual call, nor too little time left for a reply, counts as a failing store."""
        for error in QuorumUnavailableError("a chain is not here"), StorageFullError("no room"):
            self.fails(error)
            self.call()
            self.answer = lambda: defer.succeed("yes")
            self.assertEqual(self.call(), ["yes"])
        late = defer.Deferred()
        self.answer = lambda: late
        self.call(0.05)
        self.clock.now += 0.05
        late.errback(OutcomeUnknownError("no answer in time"))
        self.answer = lambda: defer.succeed("yes")
        self.assertEqual(self.call(), ["yes"])
        self.assertEqual(self.lines, [])

    def test_a_change_of_the_set_of_stores_ends_the_backoff(self):
        self.fails(StaleEpochError("epoch 1 is not 2"))
        self.call()
        self.assertIsInstance(self.call()[0], CallHeldBackError)
        self.calls.forget()
        self.answer = lambda: defer.succeed("yes")
        self.assertEqual(self.call(), ["yes"])


class RetryStormTest(unittest.TestCase):
    def test_waiting_requests_do_not_overload_stores_with_retries(self):
        """
        gateway with 40 requests           stores
                                           all lose power
        calls each a few times a second    refuse connections
        one log line per store
                                           restart
        every request is served
        """
        fleet = SimFleet(11, Size(2, 3, 3, ()), 1 << 20).bring_up(plans=False)
        fleet.run(2.0)
        gateway = fleet.of_kind("gate")[0].node.node
        client = TurnClient(gateway)

        async def keep(name):
            await client.retain("s" + name, Record(name, None, "s" + name, b"in", b"out"), None, 5, 60)

        fleet.until(keep("a"))
        stores = fleet.of_kind("store")
        for store in stores:
            store.kill()
        lines = len(fleet.lines)
        outcomes = []
        for number in range(REQUESTS):
            defer.ensureDeferred(client.read_history("a", STORES_DOWN_S + 3.0)).addCallbacks(
                lambda recalled: outcomes.append(recalled.turn_ids), lambda failure: outcomes.append(failure.value)
            )
        fleet.run(STORES_DOWN_S)
        failed = [
            line
            for line in fleet.lines[lines:]
            if "event=store_calls_failing" in line and f"node={gateway.env['machine']} " in line
        ]
        self.assertLessEqual(len(failed), len(stores))
        # The first calls of all requests are sent together; after that, a store gets one call per pause.
        pauses = STORES_DOWN_S / (STORE_BACKOFF_MAX / 2) + 6
        self.assertLessEqual(client.calls.counts["failed"], len(stores) * (REQUESTS + pauses))
        for store in stores:
            store.start()
        fleet.run(3.0)
        self.assertEqual(outcomes, [frozenset({"a"})] * REQUESTS)


if __name__ == "__main__":
    unittest.main()
