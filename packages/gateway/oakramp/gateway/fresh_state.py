"""Holds requests until the state that they need is recent enough."""

from twisted.internet import defer

from oakramp.common.constants import FRESH_POLL, FRESH_PULL


class FreshStateWaiter:
    """Holds requests that arrive while the gossiped state is too old to act on, as after a full outage.

    They wait for a limited time, and nothing of them has run. Meanwhile the state is pulled sooner than scheduled.
    Invariant: while any request waits, a poll is scheduled."""

    def __init__(self, reactor, staleness, pull):
        self._reactor, self._staleness, self._pull, self._waiting = reactor, staleness, pull, []
        self._pulled_at = float("-inf")

    async def wait(self, until):
        """Waits until the state is recent enough and returns None, or returns the reason why it is not at `until`."""
        while (reason := self._staleness()) is not None and self._reactor.seconds() < until:
            if not self._waiting:
                self._reactor.callLater(FRESH_POLL, self._poll)
                self._pull_if_due()
            waiter = defer.Deferred()
            self._waiting.append((until, waiter))
            await waiter
        return reason

    def _poll(self):
        is_fresh, now = self._staleness() is None, self._reactor.seconds()
        woken = [waiter for until, waiter in self._waiting if is_fresh or until <= now]
        self._waiting = [] if is_fresh else [entry for entry in self._waiting if entry[0] > now]
        if self._waiting:
            self._reactor.callLater(FRESH_POLL, self._poll)
            self._pull_if_due()
        for waiter in woken:
            waiter.callback(None)

    def _pull_if_due(self):
        if self._reactor.seconds() - self._pulled_at >= FRESH_PULL:
            self._pulled_at = self._reactor.seconds()
            self._pull()
