"""A rate limit for one kind of log line, for events that clients can cause as often as they like."""

from __future__ import annotations

from typing import Any


class LogRateLimit:
    """Allows one line in `pause_s` seconds.

    Invariant: `_left_out` counts the lines suppressed since the last one, which was allowed at `_passed_at` (monotonic
    seconds).
    """

    def __init__(self, reactor: Any, pause_s: float) -> None:
        self._reactor = reactor
        self._pause_s = pause_s
        self._passed_at = float("-inf")
        self._left_out = 0

    def take(self) -> int | None:
        """If a line may be written now, returns how many were suppressed since the last one, else None."""
        now = self._reactor.seconds()
        if now - self._passed_at < self._pause_s:
            self._left_out += 1
            return None
        left_out, self._left_out = self._left_out, 0
        self._passed_at = now
        return left_out
