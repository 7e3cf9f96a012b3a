"""Detects that this process was frozen: other processes may have gone on meanwhile."""

from __future__ import annotations

from typing import Any

from oakramp.common.constants import FREEZE_POLL
from oakramp.common.tasks import Repeater


class FreezeWatch:
    """Records when this process did not run for longer than `tolerance` seconds.

    A process that was only busy for that long counts as frozen too.
    """

    def __init__(self, reactor: Any, tolerance: float, log: Any) -> None:
        self._reactor = reactor
        self._tolerance = tolerance
        self._ran_at = reactor.seconds()
        self._resumed_at = float("-inf")
        self._repeater = Repeater(reactor, FREEZE_POLL, self._poll, log)

    def start(self) -> None:
        """Starts watching."""
        self._ran_at = self._reactor.seconds()
        self._repeater.start()

    def stop(self) -> None:
        """Stops watching."""
        self._repeater.stop()

    def resumed_at(self) -> float:
        """When the last freeze ended (monotonic seconds); minus infinity if there was none.

        A freeze that has just ended is detected by the first call, before any timer runs.
        """
        now = self._reactor.seconds()
        if now - self._ran_at > FREEZE_POLL + self._tolerance:
            self._resumed_at = now
        self._ran_at = now
        return self._resumed_at

    async def _poll(self) -> None:
        self.resumed_at()
