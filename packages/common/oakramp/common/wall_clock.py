"""Wall time that a jump of the machine's clock does not move."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from statistics import median
from typing import Any

from oakramp.common.constants import CLOCK_SAMPLE, CLOCK_SAMPLES
from oakramp.common.tasks import Repeater


class SteadyWallClock:
    """Monotonic time plus the usual distance from it to wall time.

    The distance is the median of one sample a second over the last minute: a jump that is set right within half a
    minute is never seen, and one that stays is followed after that time.
    """

    def __init__(self, reactor: Any, wall: Callable[[], float], log: Any) -> None:
        self._reactor = reactor
        self._wall = wall
        self._offsets: deque[float] = deque(maxlen=CLOCK_SAMPLES)
        self._offset = 0.0
        self._repeater = Repeater(reactor, CLOCK_SAMPLE, self._sample_again, log)
        self.sample()

    def start(self) -> None:
        """Samples the clock from now on."""
        self._repeater.start()

    def stop(self) -> None:
        """Takes no further sample."""
        self._repeater.stop()

    def sample(self) -> None:
        """Takes one sample."""
        self._offsets.append(self._wall() - self._reactor.seconds())
        self._offset = median(self._offsets)

    def now(self) -> float:
        """Seconds since the start of 1970."""
        return self._reactor.seconds() + self._offset

    async def _sample_again(self) -> None:
        self.sample()


def window_at(seconds: float, window_s: float) -> int:
    """The number of the window in which this wall time lies; window k begins k * window_s after the start of 1970."""
    return int(seconds // window_s)
