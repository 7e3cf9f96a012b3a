"""Small helpers for coroutines on a Twisted reactor that is handed in."""

import time

from twisted.internet import defer
from twisted.python.failure import Failure

from oakramp.common.errors import DeadlineExceededError, OakrampError
from oakramp.common.reactor import install


def monotonic_reactor():
    """The process's reactor, with its time made monotonic: Twisted takes wall time, which may jump."""
    install()
    from twisted.internet import reactor

    reactor.seconds = time.monotonic
    return reactor


def drive(coroutine, ended, task=None):
    """Runs a coroutine up to its end, and then calls `ended(value, error)`; all of it at once, if nothing that it
    awaits has to be waited for. Twisted's own driver makes a Deferred and a context for each step, which was half of a
    call's
    time."""
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
    """A coroutine under way. Cancelling it cancels what it waits for; it ends as the coroutine then does."""

    waiting = None

    def cancel(self):
        """Cancels what the coroutine waits for; it may still clean up before it ends."""
        if self.called or self.waiting is None:
            super().cancel()
            return
        self.waiting.cancel()


def begin(awaited):
    """The Deferred of a coroutine, which runs from now on; a Deferred is one already."""
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
    """Starts a task; what it raises is logged and goes no further."""
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
    """The awaited result, or `error` once the time is over; the awaited thing is then cancelled."""
    work = begin(awaited)
    outcome = defer.Deferred(lambda _: work.cancel())
    spent = []

    def over():
        spent.append(True)
        work.cancel()
        if not outcome.called:
            outcome.errback(error or DeadlineExceededError(f"no answer within {seconds:.2f} s"))

    call = reactor.callLater(max(0.0, seconds), over)

    def finished(result):
        if call.active():
            call.cancel()
        if spent or outcome.called:
            return None
        outcome.callback(result)
        return None

    work.addBoth(finished)
    return outcome


def shielded(work):
    """Fires with the work's result, but cancelling it leaves the work alone."""
    waiting = defer.Deferred(lambda _: None)

    def pass_on(result):
        if not waiting.called:
            waiting.callback(result)
        return result

    work.addBoth(pass_on)
    return waiting


async def settled(awaitables):
    """Waits for all and returns (ok, value-or-error) pairs in order."""
    pairs = await defer.DeferredList([begin(one) for one in awaitables], consumeErrors=True)
    return [(ok, value if ok else value.value) for ok, value in pairs]


def quorum_of(works, is_enough):
    """`works` maps names to awaitables. Fires with (True, answers by name) once those that answered are enough,
    or with (False, errors by name) once they can no longer be. Later answers are left to finish."""
    outcome, answers, errors, pending = defer.Deferred(), {}, {}, set(works)

    def settle(result, name, rows):
        rows[name] = result
        pending.discard(name)
        if outcome.called:
            return
        if is_enough(answers.keys()):
            outcome.callback((True, dict(answers)))
        elif not is_enough(answers.keys() | pending):
            outcome.callback((False, dict(errors)))

    for name, one in works.items():
        begin(one).addCallbacks(
            settle,
            lambda failure, name: settle(failure.value, name, errors),
            callbackArgs=(name, answers),
            errbackArgs=(name,),
        )
    if not works and not outcome.called:
        outcome.callback((False, {}))
    return outcome


class Repeater:
    """A task that runs `round` again and again with a pause, until stopped."""

    def __init__(self, reactor, pause, round_function, log):
        self._reactor, self._pause, self._round, self._log = reactor, pause, round_function, log
        self._task = None

    def start(self):
        """Starts the rounds, the first one at once."""
        self._task = spawn(self._run(), self._log)
        return self

    def stop(self):
        """Cancels the round under way; no other follows."""
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
            except Exception as error:  # one bad round must not end the duty
                self._log.error("periodic_task_crashed", round=self._round.__qualname__, error=repr(error))
            await sleep(self._reactor, self._pause)
