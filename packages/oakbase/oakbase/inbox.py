"""Bounded inboxes between stages, and the owner of a table that works through one."""
from collections import deque

from twisted.internet import defer

from oakbase.tasks import spawn
from oakbase.verdict import Overloaded


class Inbox:
    # Invariants: never more than `limit` waiting; either items or takers wait, never both.
    def __init__(self, limit, name):
        self.limit, self.name = limit, name
        self._items = deque()
        self._takers = deque()

    def __len__(self):
        return len(self._items)

    def put(self, item):
        while self._takers:
            taker = self._takers.popleft()
            if not taker.called:
                taker.callback(item)
                return
        if len(self._items) >= self.limit:
            raise Overloaded(f"inbox {self.name} is full")
        self._items.append(item)

    def take(self):
        if self._items:
            return defer.succeed(self._items.popleft())
        taker = defer.Deferred()
        self._takers.append(taker)
        return taker

    def takeReady(self, most):
        """What waits right now, at most `most` items."""
        return [self._items.popleft() for _ in range(min(most, len(self._items)))]


class TableOwner:
    """The one task that touches a table: commands are coroutine functions, run strictly in order."""

    def __init__(self, limit, name, log):
        self._inbox = Inbox(limit, name)
        self._task = spawn(self._run(), log)

    def stop(self):
        self._task.cancel()

    def do(self, command, *arguments):
        answer = defer.Deferred()
        self._inbox.put((command, arguments, answer))
        return answer

    async def _run(self):
        while True:
            command, arguments, answer = await self._inbox.take()
            try:
                result = await command(*arguments)
            except defer.CancelledError:
                raise
            except Exception as error:
                if not answer.called:
                    answer.errback(error)
                continue
            if not answer.called:
                answer.callback(result)
