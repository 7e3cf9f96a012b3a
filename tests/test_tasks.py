"""Coroutines that run without Twisted's own driver, and the executor of the commands on a table."""

import unittest

from twisted.internet import defer

from oakramp.common.bounded_queue import SerialExecutor
from oakramp.common.errors import OverloadedError
from oakramp.common.structured_logging import EventLogger
from oakramp.common.tasks import begin, drive, spawn


class Tasks(unittest.TestCase):
    def test_coroutine_that_never_waits_ends_at_once(self):
        ended = []

        async def work():
            return await defer.succeed(3) + 1

        drive(work(), lambda value, error: ended.append((value, error)))
        self.assertEqual(ended, [(4, None)])

    def test_results_and_failures_reach_the_coroutine(self):
        first, second, outcome = defer.Deferred(), defer.Deferred(), []

        async def work():
            value = await first
            try:
                await second
            except KeyError:
                return value + 1

        task = begin(work())
        task.addCallback(outcome.append)
        first.callback(1)
        self.assertEqual(outcome, [])
        second.errback(KeyError("x"))
        self.assertEqual(outcome, [2])

    def test_exception_of_the_coroutine_becomes_the_tasks_failure(self):
        async def work():
            raise ValueError("wrong")

        failures = []
        begin(work()).addErrback(failures.append)
        self.assertIsInstance(failures[0].value, ValueError)
        lines = []
        spawn(work(), EventLogger(lines.append))
        self.assertIn("task_crashed", lines[0])

    def test_cancelled_coroutine_cleans_up_before_the_task_ends(self):
        waiting, cleaning, steps = defer.Deferred(), defer.Deferred(), []

        async def inner():
            try:
                await waiting
            finally:
                steps.append("inner")
                await cleaning

        task = begin(inner())
        task.addErrback(lambda failure: steps.append(failure.type))
        task.cancel()
        self.assertEqual(steps, ["inner"], "the task ended before its cleanup")
        cleaning.callback(None)
        self.assertEqual(steps, ["inner", defer.CancelledError])

    def test_cancelling_a_task_cancels_the_task_that_it_awaits(self):
        waiting, steps = defer.Deferred(lambda _: steps.append("cancelled")), []

        async def inner():
            await waiting

        async def outer():
            await begin(inner())

        task = begin(outer())
        task.addErrback(lambda failure: steps.append(failure.type))
        task.cancel()
        self.assertEqual(steps, ["cancelled", defer.CancelledError])


class SerialExecutorTest(unittest.TestCase):
    def setUp(self):
        self.executor, self.steps = SerialExecutor(3, "table", EventLogger(lambda line: None)), []

    async def command(self, name, until=None):
        self.steps.append(f"{name} starts")
        if until is not None:
            await until
        self.steps.append(f"{name} ends")
        return name

    def test_commands_run_one_at_a_time_in_order(self):
        first = defer.Deferred()
        results = []
        for name, until in (("a", first), ("b", None), ("c", None)):
            self.executor.do(self.command, name, until).addCallback(results.append)
        self.assertEqual(self.steps, ["a starts"])
        first.callback(None)
        self.assertEqual(self.steps, ["a starts", "a ends", "b starts", "b ends", "c starts", "c ends"])
        self.assertEqual(results, ["a", "b", "c"])

    def test_next_command_runs_after_one_that_failed(self):
        async def failing():
            raise ValueError("wrong")

        failures, results = [], []
        self.executor.do(failing).addErrback(lambda failure: failures.append(failure.type))
        self.executor.do(self.command, "a").addCallback(results.append)
        self.assertEqual((failures, results), ([ValueError], ["a"]))

    def test_command_above_the_limit_is_rejected(self):
        self.executor.do(self.command, "a", defer.Deferred())
        for name in "bcd":
            self.executor.do(self.command, name)
        self.assertRaises(OverloadedError, self.executor.do, self.command, "e")

    def test_command_added_by_a_result_callback_runs_after_those_waiting(self):
        first = defer.Deferred()
        self.executor.do(self.command, "a", first).addCallback(lambda _: self.executor.do(self.command, "c"))
        self.executor.do(self.command, "b")
        first.callback(None)
        self.assertEqual(self.steps[2:], ["b starts", "b ends", "c starts", "c ends"])

    def test_acquired_table_starts_no_command(self):
        self.assertTrue(self.executor.acquire())
        self.assertFalse(self.executor.acquire())
        self.executor.do(self.command, "a")
        self.assertEqual(self.steps, [])
        self.executor.release()
        self.assertEqual(self.steps, ["a starts", "a ends"])

    def test_busy_table_cannot_be_acquired(self):
        first = defer.Deferred()
        self.executor.do(self.command, "a", first)
        self.assertFalse(self.executor.acquire())
        first.callback(None)
        self.assertTrue(self.executor.acquire())

    def test_many_commands_that_end_at_once_do_not_nest_calls(self):
        executor, first = SerialExecutor(10000, "table", EventLogger(lambda line: None)), defer.Deferred()
        executor.do(self.command, "first", first)
        results = []
        for number in range(5000):
            executor.do(self.command, number).addCallback(results.append)
        first.callback(None)
        self.assertEqual(results, list(range(5000)))

    def test_stopped_executor_delivers_no_results(self):
        first, results = defer.Deferred(), []
        self.executor.do(self.command, "a", first).addBoth(results.append)
        self.executor.do(self.command, "b").addBoth(results.append)
        self.executor.stop()
        self.assertEqual((results, self.steps), ([], ["a starts"]))
        self.assertFalse(self.executor.acquire())
