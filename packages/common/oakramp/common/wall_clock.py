"""Wall time that a jump of one machine's clock does not move."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from statistics import median
from typing import Any

from oakramp.common.constants import (
    CLOCK_DIFFERENCE,
    CLOCK_SAMPLE,
    CLOCK_SAMPLES,
    FLEET_CLOCK_AGE,
    REPORTED_CLOCK_AGE,
    REPORTED_CLOCKS_MIN,
    REPORTING_GATEWAYS,
)
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


class ClockVoices:
    """What machines say of wall time, as the node has heard it that decides for them.

    Invariant: `_voices` has, by machine, when it was last heard and the distance of its wall time to the monotonic time
    here; of REPORTING_GATEWAYS machines at most.
    """

    def __init__(self) -> None:
        self._voices: dict[str, tuple[float, float]] = {}

    def hear(self, machine: str, wall: float, now: float) -> None:
        """This machine's wall time is `wall`, at monotonic time `now` here."""
        if machine in self._voices or len(self._voices) < REPORTING_GATEWAYS:
            self._voices[machine] = now, wall - now

    def time(self, now: float) -> float | None:
        """The median wall time at monotonic time `now`; None while fewer than REPORTED_CLOCKS_MIN were heard lately."""
        for machine in [machine for machine, (at, _) in self._voices.items() if now - at > REPORTED_CLOCK_AGE]:
            del self._voices[machine]
        if len(self._voices) < REPORTED_CLOCKS_MIN:
            return None
        return now + median(offset for _, offset in self._voices.values())


class FleetClock:
    """A machine's own steady wall time, or the fleet's once the two differ by more than CLOCK_DIFFERENCE.

    Invariant: `_offset` is the distance of the fleet's wall time to monotonic time as it was told at `_known_at`.
    """

    def __init__(self, reactor: Any, own: SteadyWallClock) -> None:
        self._reactor, self._own = reactor, own
        self._offset, self._known_at = 0.0, float("-inf")

    def hear(self, wall: float) -> None:
        """The fleet's wall time is this now."""
        self._known_at = self._reactor.seconds()
        self._offset = wall - self._known_at

    def is_known(self) -> bool:
        """Whether the fleet's wall time is known."""
        return self._reactor.seconds() <= self._known_at + FLEET_CLOCK_AGE

    def now(self) -> float:
        """Seconds since the start of 1970."""
        own = self._own.now()
        if not self.is_known():
            return own
        fleet = self._reactor.seconds() + self._offset
        return own if abs(fleet - own) <= CLOCK_DIFFERENCE else fleet


def window_at(seconds: float, window_s: float) -> int:
    """The number of the window in which this wall time lies; window k begins k * window_s after the start of 1970."""
    return int(seconds // window_s)
