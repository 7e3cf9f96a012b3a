"""Bounded queues between stages, and an executor that runs the commands on a table one at a time."""

from collections import deque

from twisted.internet import defer

from oakramp.common.errors import OverloadedError
from oakramp.common.tasks import drive


class BoundedQueue:
    """A first-in, first-out queue between two stages that rejects items above its limit."""

    # Invariants: at most `limit` items wait; items and receivers never wait at the same time.
    def __init__(self, limit, name):
        self.limit, self.name = limit, name
        self._items = deque()
        self._receivers = deque()

    def __len__(self):
        return len(self._items)

    def put(self, item):
        """Queues an item, or passes it to a waiting receiver. Raises OverloadedError if the queue is full."""
        while self._receivers:
            receiver = self._receivers.popleft()
            if not receiver.called:
                receiver.callback(item)
                return
        if len(self._items) >= self.limit:
            raise OverloadedError(f"queue {self.name} is full")
        self._items.append(item)

    def take(self):
        """Fires with the next item."""
        if self._items:
            return defer.succeed(self._items.popleft())
        receiver = defer.Deferred()
        self._receivers.append(receiver)
        return receiver

    def take_ready(self, most):
        """Removes and returns the items that wait now, at most `most` of them."""
        return [self._items.popleft() for _ in range(min(most, len(self._items)))]


class SerialExecutor:
    """Runs the commands on a table strictly one after another, so that nothing else changes the table meanwhile.
    Commands are coroutine functions; one runs at once if no other is running.

    Invariant: while a command runs, or the table is acquired, `_is_busy` is set and no other command is started."""

    def __init__(self, limit, name, log):
        self._limit, self._name, self._log = limit, name, log
        self._waiting = deque()
        self._is_busy = self._is_stopped = False
        self.waiting = None  # the Deferred that the running command awaits

    def stop(self):
        """Drops the waiting commands and cancels the running one."""
        self._is_stopped = True
        self._waiting.clear()
        if self._is_busy and self.waiting is not None:
            self.waiting.cancel()

    def do(self, command, *arguments):
        """Runs a command after all those before it; fires with its result. Raises OverloadedError if too many wait."""
        if len(self._waiting) >= self._limit:
            raise OverloadedError(f"queue {self._name} is full")
        outcome = defer.Deferred()
        self._waiting.append((command, arguments, outcome))
        if not self._is_busy:
            self._run_waiting()
        return outcome

    def acquire(self):
        """Reserves the table for the caller until `release`. Returns False if a command runs, the table is acquired
        already, or the executor is stopped."""
        if self._is_busy or self._is_stopped:
            return False
        self._is_busy = True
        return True

    def release(self):
        """Ends the reservation of `acquire`: the next command may run."""
        self._is_busy = False
        self._run_waiting()

    def _run_waiting(self):
        """Starts the waiting commands one after another. Those that end at once are handled in this loop, so that many
        of them do not nest calls."""
        while self._waiting and not self._is_busy and not self._is_stopped:
            command, arguments, outcome = self._waiting.popleft()
            self._is_busy = True
            started = []
            drive(
                command(*arguments),
                lambda value, error, outcome=outcome, started=started: self._ended(
                    outcome, value, error, bool(started)
                ),
                self,
            )
            started.append(True)

    def _ended(self, outcome, value, error, ended_later):
        self._is_busy = False
        self.waiting = None
        if self._is_stopped:
            return
        if not outcome.called:
            if error is None:
                outcome.callback(value)
            else:
                outcome.errback(error)
        if ended_later:
            self._run_waiting()
