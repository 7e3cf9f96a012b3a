"""How many replicas a service needs: target tracking on the requests under way, with a short forecast.

Scaling out follows demand at once and ahead by the time that a new replica takes to serve. Scaling in is slow: it goes
by the highest demand of a stabilization window, as Kubernetes' HorizontalPodAutoscaler does, and takes one replica at a
time, since each that goes takes its prompt cache with it. Pure computation: time and demand are told from outside.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

TARGET_USE = 0.4  # share of slots; gateways let no program begin where BEGIN_SHARE, 0.5, of them are in use
DEAD_BAND = 0.1  # share of the target; demand that is nearer to it changes nothing
LEVEL_SPAN = 3.0  # s; that demand is averaged over
TREND_SPAN = 10.0  # s; that its slope is taken over
FORECAST_MOST = 1.5  # times the present demand; a slope over seconds tells no more than that
DEMAND_WARM_UP = 5.0  # s; of known demand before the first order
DEMAND_GAP = 5.0  # s; without known demand, after which the past counts for nothing
STABILIZATION = 60.0  # s; whose highest demand counts when scaling in
ROUNDING = 1e-9  # of a replica; what floating point adds to a whole number asks for no other
SCALE_IN_PAUSE = 5.0  # s; and two starts of a replica; orders and list stand for so long before one is taken out


@dataclass(frozen=True)
class ReplicaRange:
    """What the configuration allows in each zone; `boot_s` is how long a new replica takes to serve."""

    least: int
    most: int
    boot_s: float

    def clamp(self, count: int) -> int:
        """The nearest number that is allowed."""
        return max(self.least, min(self.most, count))


@dataclass(frozen=True)
class ZoneReplicas:
    """The replicas of one service in one zone: as listed, and as ordered last (None if never)."""

    ready: int
    leaving: int
    ordered: int | None = None

    @property
    def standing(self) -> int:
        """How many the platform was told to run, or runs by itself."""
        return self.ready + self.leaving if self.ordered is None else self.ordered

    @property
    def is_stable(self) -> bool:
        """Whether exactly those serve, and none is on its way in or out."""
        return self.leaving == 0 and self.ready == self.standing


class ServiceSizing:
    """What one service needs, over all of its zones.

    Invariants: `_samples` are (time, demand) of the last TREND_SPAN seconds and `_levels` (time, averaged demand) of
    the last STABILIZATION seconds, both without a gap longer than DEMAND_GAP; `_changed_at` is when `_zones` last
    changed.
    """

    def __init__(self) -> None:
        self._samples: deque[tuple[float, float]] = deque()
        self._levels: deque[tuple[float, float]] = deque()
        self._known_since = 0.0
        self._zones: dict[str, ZoneReplicas] = {}
        self._changed_at = 0.0

    def observe(self, now: float, demand: float) -> None:
        """Takes in the requests that run, wait or were refused for want of room, at all gateways together."""
        if not self._samples or now - self._samples[-1][0] > DEMAND_GAP:
            self._samples.clear()
            self._levels.clear()
            self._known_since = now
        self._samples.append((now, demand))
        _drop_before(self._samples, now - TREND_SPAN)
        self._levels.append((now, self._level(now)))
        _drop_before(self._levels, now - STABILIZATION)

    def orders(
        self, now: float, slots: float, replica_range: ReplicaRange, zones: Mapping[str, ZoneReplicas]
    ) -> dict[str, int]:
        """The numbers to order, for the zones in which they change.

        Args:
            now: the time of the newest sample, in seconds.
            slots: requests that one replica works on at once.
            replica_range: what is allowed in each zone.
            zones: the replicas of each zone in which the service runs.
        """
        if dict(zones) != self._zones:
            self._zones, self._changed_at = dict(zones), now
        if not zones or now - self._known_since < DEMAND_WARM_UP:
            return {}
        counts = {zone: replica_range.clamp(one.standing) for zone, one in zones.items()}
        target = TARGET_USE * slots
        forecast = self._forecast(now, replica_range.boot_s)
        if _replicas_for(forecast, target * (1 + DEAD_BAND)) > sum(counts.values()):
            _scale_out(counts, _replicas_for(forecast, target), replica_range.most)
        elif self._may_scale_in(now, target, sum(counts.values()), replica_range.boot_s):
            _scale_in(counts, zones, replica_range.least)
        return {
            zone: count
            for zone, count in counts.items()
            if count != zones[zone].standing
            and (zones[zone].ordered is not None or count != replica_range.clamp(zones[zone].standing))
        }

    def _may_scale_in(self, now: float, target: float, total: int, boot_s: float) -> bool:
        """Whether one replica fewer has been enough for the whole stabilization window."""
        if now - self._known_since < STABILIZATION or now - self._changed_at < max(SCALE_IN_PAUSE, 2 * boot_s):
            return False
        highest = max(level for _, level in self._levels)
        return total > max(1, _replicas_for(highest, target * (1 - DEAD_BAND)))

    def _level(self, now: float) -> float:
        recent = [demand for at, demand in self._samples if at > now - LEVEL_SPAN]
        return sum(recent) / len(recent)

    def _forecast(self, now: float, ahead_s: float) -> float:
        """Demand in so many seconds if it goes on rising as it does; never less than now."""
        level = self._level(now)
        return min(FORECAST_MOST * level, level + self._slope(now) * ahead_s)

    def _slope(self, now: float) -> float:
        """Requests a second that demand rises by in both halves of the span; a step shows in one only."""
        middle = now - TREND_SPAN / 2
        halves = [one for one in self._samples if one[0] < middle], [one for one in self._samples if one[0] >= middle]
        return max(0.0, min(map(_least_squares, halves)))


def _least_squares(samples: list[tuple[float, float]]) -> float:
    """The slope of the line through (time, demand) pairs; 0 of fewer than two."""
    count = max(1, len(samples))
    mean_at = sum(at for at, _ in samples) / count
    mean = sum(demand for _, demand in samples) / count
    spread = sum((at - mean_at) ** 2 for at, _ in samples)
    rise = sum((at - mean_at) * (demand - mean) for at, demand in samples)
    return rise / spread if spread > 0 else 0.0


def _replicas_for(requests: float, each: float) -> int:
    """The least number of replicas that take so many requests."""
    return math.ceil(requests / each - ROUNDING)


def _drop_before(samples: deque[tuple[float, float]], since: float) -> None:
    while samples[0][0] < since:
        samples.popleft()


def _scale_out(counts: dict[str, int], total: int, most: int) -> None:
    """Adds replicas up to `total`, each to the zone that has the fewest, as far as the zones' range allows."""
    while sum(counts.values()) < total:
        open_zones = [zone for zone, count in counts.items() if count < most]
        if not open_zones:
            return
        counts[min(open_zones, key=lambda zone: (counts[zone], zone))] += 1


def _scale_in(counts: dict[str, int], zones: Mapping[str, ZoneReplicas], least: int) -> None:
    """Takes one replica from the zone that has the most, of those where nothing is on its way in or out."""
    stable = [zone for zone, count in counts.items() if count > least and zones[zone].is_stable]
    if stable and all(one.leaving == 0 for one in zones.values()):
        counts[max(stable, key=lambda zone: (counts[zone], zone))] -= 1
