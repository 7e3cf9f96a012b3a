"""Limits a rate by evenly spaced turns."""

from __future__ import annotations

from typing import Any

from oakramp.common.tasks import sleep


class RateLimiter:
    """Grants turns in the order of the requests, each at least `1 / rate` seconds after the one before."""

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
