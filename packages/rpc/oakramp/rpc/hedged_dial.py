"""A connection attempt that does not wait for a lost opening packet.

TCP sends an opening packet again after a second. A peer that has just been given its power back, or whose queue of new
connections was full for a moment, would be reached that much later. So a further attempt is begun beside those that
have not been answered, each DIAL_HEDGE seconds; the first connection that stands is taken and the others are dropped.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from oakramp.common.constants import DIAL_HEDGE


class HedgedDial:
    """One connection to come.

    Invariants: `_attempts` are those whose outcome counts; once `outcome` has fired there are none, no timer is set,
    and every further connection has been aborted.
    """

    def __init__(self, reactor: Any, begin_attempt: Callable[[float], Deferred], seconds: float) -> None:
        """`begin_attempt(seconds)` begins an attempt that fails after so long; all of them end within `seconds`."""
        self._reactor = reactor
        self._begin_attempt = begin_attempt
        self._ends_at = reactor.seconds() + seconds
        self._attempts: list[Deferred] = []
        self._timer: Any = None
        self.outcome: Deferred = Deferred(lambda _outcome: self._drop_attempts())

    def start(self) -> Deferred:
        """Begins the first attempt.

        Returns:
            the first connection that stands. Fails as the first attempt that fails does: a peer that refuses is there,
            and the attempt that began first is the first one to run out of time.
        """
        self._attempt()
        return self.outcome

    def _attempt(self) -> None:
        self._timer = None
        left = self._ends_at - self._reactor.seconds()
        if left <= 0:
            return
        attempt = self._begin_attempt(left)
        self._attempts.append(attempt)
        attempt.addCallbacks(self._connected, self._failed, callbackArgs=(attempt,), errbackArgs=(attempt,))
        if not self.outcome.called:
            self._timer = self._reactor.callLater(DIAL_HEDGE, self._attempt)

    def _connected(self, connection: Any, attempt: Deferred) -> None:
        if attempt not in self._attempts:
            connection.transport.abortConnection()
            return
        self._attempts.remove(attempt)
        self._drop_attempts()
        self.outcome.callback(connection)

    def _failed(self, failure: Failure, attempt: Deferred) -> None:
        if attempt not in self._attempts:  # it was dropped
            return
        self._attempts.remove(attempt)
        self._drop_attempts()
        self.outcome.errback(failure)

    def _drop_attempts(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        attempts, self._attempts = self._attempts, []
        for attempt in attempts:
            attempt.cancel()
