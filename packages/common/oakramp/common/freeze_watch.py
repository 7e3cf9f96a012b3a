"""Tells whether this process was frozen: the rest of the world may have gone on without it."""

from __future__ import annotations

from typing import Any

from oakramp.common.constants import FREEZE_POLL
from oakramp.common.tasks import Repeater


class FreezeWatch:
    """Notes when this process did not run for longer than `tolerance` seconds.

    A process that was merely busy for so long counts as frozen too.
    """

    def __init__(self, reactor: Any, tolerance: float, log: Any) -> None:
        self._reactor = reactor
        self._tolerance = tolerance
        self._ran_at = reactor.seconds()
        self._thawed_at = float("-inf")
        self._repeater = Repeater(reactor, FREEZE_POLL, self._poll, log)

    def start(self) -> None:
        """Watches from now on."""
        self._ran_at = self._reactor.seconds()
        self._repeater.start()

    def stop(self) -> None:
        """Watches no longer."""
        self._repeater.stop()

    def thawed_at(self) -> float:
        """When the last freeze was over (monotonic seconds); minus infinity if there was none.

        A freeze that is just over is seen by whoever asks first, before any timer runs.
        """
        now = self._reactor.seconds()
        if now - self._ran_at > FREEZE_POLL + self._tolerance:
            self._thawed_at = now
        self._ran_at = now
        return self._thawed_at

    async def _poll(self) -> None:
        self.thawed_at()
