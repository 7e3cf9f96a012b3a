"""Wall time that is not affected by a jump of one machine's clock."""

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
    """Monotonic time plus the usual offset of wall time from it.

    The offset is the median of one sample a second over the last minute: a jump that is corrected within half a minute
    has no effect, and a lasting one is followed after that time.
    """

    def __init__(self, reactor: Any, wall: Callable[[], float], log: Any) -> None:
        self._reactor = reactor
        self._wall = wall
        self._offsets: deque[float] = deque(maxlen=CLOCK_SAMPLES)
        self._offset = 0.0
        self._repeater = Repeater(reactor, CLOCK_SAMPLE, self._sample_again, log)
        self.sample()

    def start(self) -> None:
        """Starts sampling the clock."""
        self._repeater.start()

    def stop(self) -> None:
        """Stops sampling the clock."""
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


class ReportedClocks:
    """The wall clocks that machines have reported to this node, which decides on the time for all of them.

    Invariant: `_reports` holds, by machine, the time of its last report and the offset of its wall time from the
    monotonic time of this node, for at most REPORTING_GATEWAYS machines.
    """

    def __init__(self) -> None:
        self._reports: dict[str, tuple[float, float]] = {}

    def report(self, machine: str, wall: float, now: float) -> None:
        """Records that this machine's wall time is `wall` at the monotonic time `now` of this node."""
        if machine in self._reports or len(self._reports) < REPORTING_GATEWAYS:
            self._reports[machine] = now, wall - now

    def time(self, now: float) -> float | None:
        """The median wall time at monotonic time `now`; None while there are fewer than REPORTED_CLOCKS_MIN recent
        reports."""
        for machine in [machine for machine, (at, _) in self._reports.items() if now - at > REPORTED_CLOCK_AGE]:
            del self._reports[machine]
        if len(self._reports) < REPORTED_CLOCKS_MIN:
            return None
        return now + median(offset for _, offset in self._reports.values())


class FleetClock:
    """A machine's own steady wall time, or the fleet's once the two differ by more than CLOCK_DIFFERENCE.

    Invariant: `_offset` is the offset of the fleet's wall time from monotonic time as it was reported at `_known_at`.
    """

    def __init__(self, reactor: Any, own: SteadyWallClock) -> None:
        self._reactor, self._own = reactor, own
        self._offset, self._known_at = 0.0, float("-inf")

    def set_fleet_time(self, wall: float) -> None:
        """Records that the fleet's wall time is now `wall`."""
        self._known_at = self._reactor.seconds()
        self._offset = wall - self._known_at

    def is_known(self) -> bool:
        """Whether the fleet's wall time was reported within FLEET_CLOCK_AGE."""
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
