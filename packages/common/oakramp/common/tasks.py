"""Helpers to run coroutines on a Twisted reactor that the caller passes in."""

import time

from twisted.internet import defer
from twisted.python.failure import Failure

from oakramp.common.errors import DeadlineExceededError, OakrampError
from oakramp.common.reactor import install


def monotonic_reactor():
    """The process's reactor, set to monotonic time: Twisted uses wall time, which may jump."""
    install()
    from twisted.internet import reactor

    reactor.seconds = time.monotonic
    return reactor


def drive(coroutine, ended, task=None):
    """Runs a coroutine to its end and then calls `ended(value, error)`; both happen before this function returns if
    everything that the coroutine awaits is already available. Twisted's own driver creates a Deferred and a context for
    each step, which was half of a call's time."""
    _advance(None, coroutine, ended, task)


def _advance(result, coroutine, ended, task):
    try:
        waiting = result.throwExceptionIntoGenerator(coroutine) if isinstance(result, Failure) else coroutine.send(None)
    except StopIteration as end:
        value, error = end.value, None
    except Exception as raised:
        value, error = None, raised
    else:
        if task is not None:
            task.waiting = waiting
        waiting.addBoth(_advance, coroutine, ended, task)
        return
    ended(value, error)


class Task(defer.Deferred):
    """A running coroutine. Cancelling it cancels the Deferred that it awaits; its result is that of the coroutine."""

    waiting = None

    def cancel(self):
        """Cancels the Deferred that the coroutine awaits; the coroutine may still clean up before it ends."""
        if self.called or self.waiting is None:
            super().cancel()
            return
        self.waiting.cancel()


def begin(awaited):
    """Starts a coroutine and returns the Deferred of its result; a Deferred is returned as it is."""
    if isinstance(awaited, defer.Deferred):
        return awaited
    task = Task()

    def ended(value, error):
        if error is None:
            task.callback(value)
        else:
            task.errback(error)

    drive(awaited, ended, task)
    return task


def spawn(coroutine, log=None):
    """Starts a task whose exceptions are logged and not passed on."""
    task = begin(coroutine)

    def failed(failure):
        if failure.check(defer.CancelledError) or log is None:
            return
        error = failure.value
        if isinstance(error, OakrampError):
            log.warning("task_failed", code=error.code, reason=error.reason)
            return
        log.error("task_crashed", error=repr(error), trace=failure.getTraceback())

    task.addErrback(failed)
    return task


def sleep(reactor, seconds):
    """Fires after this many seconds of the reactor's time."""
    waiting = defer.Deferred(lambda _: call.active() and call.cancel())
    call = reactor.callLater(max(0.0, seconds), waiting.callback, None)
    return waiting


def within(reactor, seconds, awaited, error=None):
    """Fires with the result of `awaited`; after `seconds` without one cancels it and fails with `error`, by default
    DeadlineExceededError."""
    work = begin(awaited)
    outcome = defer.Deferred(lambda _: work.cancel())
    timed_out = []

    def on_timeout():
        timed_out.append(True)
        work.cancel()
        if not outcome.called:
            outcome.errback(error or DeadlineExceededError(f"no answer within {seconds:.2f} s"))

    call = reactor.callLater(max(0.0, seconds), on_timeout)

    def finished(result):
        if call.active():
            call.cancel()
        if timed_out or outcome.called:
            return None
        outcome.callback(result)
        return None

    work.addBoth(finished)
    return outcome


def shielded(work):
    """Fires with the result of `work`; cancelling it does not cancel `work`."""
    waiting = defer.Deferred(lambda _: None)

    def pass_on(result):
        if not waiting.called:
            waiting.callback(result)
        return result

    work.addBoth(pass_on)
    return waiting


async def settled(awaitables):
    """Waits for all of them and returns a pair for each, in order: (True, value) or (False, error)."""
    pairs = await defer.DeferredList([begin(one) for one in awaitables], consumeErrors=True)
    return [(ok, value if ok else value.value) for ok, value in pairs]


def quorum_of(works, is_enough):
    """`works` maps names to awaitables. Fires with (True, results by name) once those that succeeded are enough, or
    with (False, errors by name) once they can no longer be. The remaining awaitables run on to their end."""
    outcome, results, errors, pending = defer.Deferred(), {}, {}, set(works)

    def settle(result, name, rows):
        rows[name] = result
        pending.discard(name)
        if outcome.called:
            return
        if is_enough(results.keys()):
            outcome.callback((True, dict(results)))
        elif not is_enough(results.keys() | pending):
            outcome.callback((False, dict(errors)))

    for name, one in works.items():
        begin(one).addCallbacks(
            settle,
            lambda failure, name: settle(failure.value, name, errors),
            callbackArgs=(name, results),
            errbackArgs=(name,),
        )
    if not works and not outcome.called:
        outcome.callback((False, {}))
    return outcome


class Repeater:
    """A task that runs `round_function` again and again, with a pause after each run, until it is stopped."""

    def __init__(self, reactor, pause, round_function, log):
        self._reactor, self._pause, self._round, self._log = reactor, pause, round_function, log
        self._task = None

    def start(self):
        """Starts the task; the first round runs at once."""
        self._task = spawn(self._run(), self._log)
        return self

    def stop(self):
        """Cancels the current round; no further one is run."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self):
        while True:
            try:
                await self._round()
            except defer.CancelledError:
                raise
            except OakrampError as error:
                self._log.warning("periodic_task_failed", round=self._round.__qualname__, reason=error.reason)
            except Exception as error:  # a failed round must not end the task
                self._log.error("periodic_task_crashed", round=self._round.__qualname__, error=repr(error))
            await sleep(self._reactor, self._pause)
