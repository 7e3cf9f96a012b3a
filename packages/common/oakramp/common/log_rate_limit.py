"""A bound on how often one kind of line is logged, for what clients can cause as often as they like."""

from __future__ import annotations

from typing import Any


class LogRateLimit:
    """Lets one line pass each `pause_s` seconds.

    Invariant: `_left_out` counts what came since the last line, which passed at `_passed_at` (monotonic seconds).
    """

    def __init__(self, reactor: Any, pause_s: float) -> None:
        self._reactor = reactor
        self._pause_s = pause_s
        self._passed_at = float("-inf")
        self._left_out = 0

    def take(self) -> int | None:
        """How many lines were left out since the last one if one may be written now, else None."""
        now = self._reactor.seconds()
        if now - self._passed_at < self._pause_s:
            self._left_out += 1
            return None
        left_out, self._left_out = self._left_out, 0
        self._passed_at = now
        return left_out
