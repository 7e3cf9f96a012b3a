"""Spreads work that takes much processor time for its bytes over reactor turns, so that other requests get theirs.

Each turn of the reactor does one step of one such piece of work, in the order in which they came. However many
connections bring such work, a turn takes at most one step longer.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet import defer


class FairTurns:
    """The queue of a process. Invariant: a turn is scheduled while any step waits."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._steps: deque[Callable[[], object]] = deque()

    def call_later(self, step: Callable[[], object]) -> None:
        """Calls `step()` in a later turn of the reactor, in which no other step runs."""
        self._steps.append(step)
        if len(self._steps) == 1:
            self._reactor.callLater(0, self._run)

    async def turn(self) -> None:
        """Returns in a later turn of the reactor, in which no step runs."""
        waiting: defer.Deferred[None] = defer.Deferred()

        def go_on() -> None:
            if not waiting.called:
                waiting.callback(None)

        self.call_later(go_on)
        await waiting

    def _run(self) -> None:
        step = self._steps[0]
        try:
            step()
        finally:
            self._steps.popleft()
            if self._steps:
                self._reactor.callLater(0, self._run)
