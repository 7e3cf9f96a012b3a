"""Connects with hedged attempts, so that a lost SYN packet does not delay the connection.

TCP retransmits a SYN after one second. A peer that has just regained power, or whose accept queue was briefly full,
would be reached that much later. So another attempt is started every DIAL_HEDGE seconds beside those in progress; the
first connection that is established is used, and the others are dropped.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from oakramp.common.constants import DIAL_HEDGE


class HedgedDial:
    """One connection that is being established.

    Invariants: `_attempts` are those whose outcome counts; once `outcome` has fired there are none, no timer is set,
    and every further connection has been aborted.
    """

    def __init__(self, reactor: Any, begin_attempt: Callable[[float], Deferred], seconds: float) -> None:
        """`begin_attempt(seconds)` starts an attempt with that timeout; all attempts end within `seconds`."""
        self._reactor = reactor
        self._begin_attempt = begin_attempt
        self._ends_at = reactor.seconds() + seconds
        self._attempts: list[Deferred] = []
        self._timer: Any = None
        self.outcome: Deferred = Deferred(lambda _outcome: self._drop_attempts())

    def start(self) -> Deferred:
        """Starts the first attempt.

        Returns:
            the first connection that is established. Fails with the error of the first attempt that fails: a peer that
            refuses a connection is up, and the attempt that started first is the first one to time out.
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
        if attempt not in self._attempts:  # it was cancelled
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
