"""Requests that came before the news that they need."""

from twisted.internet import defer

from oakramp.common.constants import FRESH_POLL, FRESH_PULL


class FreshStateWaiter:
    """Requests that came while the news may not be acted on, as after an outage of all: they wait a while, and nothing
    of them has run. Meanwhile the news are pulled sooner than in their turn. Invariant: while any wait, a look is
    set."""

    def __init__(self, reactor, staleness, pull):
        self._reactor, self._staleness, self._pull, self._waiting = reactor, staleness, pull, []
        self._pulled_at = float("-inf")

    async def wait(self, until):
        """Why the news may still not be acted on at this time, or None as soon as they may."""
        while (why := self._staleness()) is not None and self._reactor.seconds() < until:
            if not self._waiting:
                self._reactor.callLater(FRESH_POLL, self._poll)
                self._pull_soon()
            waiter = defer.Deferred()
            self._waiting.append((until, waiter))
            await waiter
        return why

    def _poll(self):
        is_fresh, now = self._staleness() is None, self._reactor.seconds()
        woken = [waiter for until, waiter in self._waiting if is_fresh or until <= now]
        self._waiting = [] if is_fresh else [entry for entry in self._waiting if entry[0] > now]
        if self._waiting:
            self._reactor.callLater(FRESH_POLL, self._poll)
            self._pull_soon()
        for waiter in woken:
            waiter.callback(None)

    def _pull_soon(self):
        if self._reactor.seconds() - self._pulled_at >= FRESH_PULL:
            self._pulled_at = self._reactor.seconds()
            self._pull()
