"""Evenly spaced turns, so many a second at most."""

from __future__ import annotations

from typing import Any

from oakramp.common.tasks import sleep


class RateLimiter:
    """Gives turns in the order in which they are asked for, each `1 / rate` seconds after the one before at least."""

    def __init__(self, reactor: Any, rate: float) -> None:
        self._reactor = reactor
        self.rate = rate
        self._next_at = float("-inf")

    async def turn(self) -> None:
        """Waits for the next turn."""
        now = self._reactor.seconds()
        turn_at = max(now, self._next_at)
        self._next_at = turn_at + 1 / self.rate
        if turn_at > now:
            await sleep(self._reactor, turn_at - now)
