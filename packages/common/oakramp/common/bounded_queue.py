"""Bounded inboxes between stages, and the owner of a table that works through one."""

from collections import deque

from twisted.internet import defer

from oakramp.common.errors import OverloadedError
from oakramp.common.tasks import drive


class BoundedQueue:
    """A first-in, first-out queue between two stages that rejects what is over its limit."""

    # Invariants: never more than `limit` waiting; either items or takers wait, never both.
    def __init__(self, limit, name):
        self.limit, self.name = limit, name
        self._items = deque()
        self._takers = deque()

    def __len__(self):
        return len(self._items)

    def put(self, item):
        """Queues an item, or hands it to a waiting taker. Raises OverloadedError if the queue is full."""
        while self._takers:
            taker = self._takers.popleft()
            if not taker.called:
                taker.callback(item)
                return
        if len(self._items) >= self.limit:
            raise OverloadedError(f"inbox {self.name} is full")
        self._items.append(item)

    def take(self):
        """Fires with the next item."""
        if self._items:
            return defer.succeed(self._items.popleft())
        taker = defer.Deferred()
        self._takers.append(taker)
        return taker

    def take_ready(self, most):
        """What waits right now, at most `most` items."""
        return [self._items.popleft() for _ in range(min(most, len(self._items)))]


class SerialExecutor:
    """The one that touches a table: commands are coroutine functions, run strictly in order, at once if none is under
    way.

    Invariant: while one is under way, or the table is held, `_isBusy` is set and nothing else is begun."""

    def __init__(self, limit, name, log):
        self._limit, self._name, self._log = limit, name, log
        self._waiting = deque()
        self._is_busy = self._is_stopped = False
        self.waiting = None  # what the command under way waits for

    def stop(self):
        """Drops what waits and cancels the command under way."""
        self._is_stopped = True
        self._waiting.clear()
        if self._is_busy and self.waiting is not None:
            self.waiting.cancel()

    def do(self, command, *arguments):
        """Runs a command after all those before it; fires with its result. Raises OverloadedError if too many wait."""
        if len(self._waiting) >= self._limit:
            raise OverloadedError(f"inbox {self._name} is full")
        answer = defer.Deferred()
        self._waiting.append((command, arguments, answer))
        if not self._is_busy:
            self._work()
        return answer

    def hold(self):
        """Whether the table is the caller's from now on, until it lets go."""
        if self._is_busy or self._is_stopped:
            return False
        self._is_busy = True
        return True

    def let_go(self):
        """Ends what `hold` began: the next command may run."""
        self._is_busy = False
        self._work()

    def _work(self):
        """Begins what waits, one after another. One that ends at once ends inside this loop, so that many do not nest."""
        while self._waiting and not self._is_busy and not self._is_stopped:
            command, arguments, answer = self._waiting.popleft()
            self._is_busy = True
            begun = []
            drive(
                command(*arguments),
                lambda value, error, answer=answer, begun=begun: self._ended(answer, value, error, bool(begun)),
                self,
            )
            begun.append(True)

    def _ended(self, answer, value, error, is_late):
        self._is_busy = False
        self.waiting = None
        if self._is_stopped:
            return
        if not answer.called:
            if error is None:
                answer.callback(value)
            else:
                answer.errback(error)
        if is_late:
            self._work()
