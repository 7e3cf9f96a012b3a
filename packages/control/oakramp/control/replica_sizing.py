"""How many replicas a service needs: target tracking on the active requests, with a short forecast.

Scaling out follows demand at once, and the forecast looks ahead by the time that a new replica takes until it serves.
Scaling in is slow: it uses the highest demand of a stabilization window, as Kubernetes' HorizontalPodAutoscaler does,
and removes one replica at a time, since the prompt cache of a removed replica is lost. Pure computation: time and
demand are arguments.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

TARGET_USE = 0.4  # share of slots in use; at FIRST_TURN_SHARE, 0.5, gateways let no new program begin
DEAD_BAND = 0.1  # share of the target; a smaller deviation of demand from it changes nothing
LEVEL_WINDOW = 3.0  # s; the averaging window of demand
TREND_WINDOW = 10.0  # s; the window of the slope of demand
FORECAST_LIMIT = 1.5  # times the current demand; a slope over a few seconds supports no higher forecast
DEMAND_WARM_UP = 5.0  # s; demand must be known for this long before the first order
DEMAND_GAP = 5.0  # s; without known demand for this long, the history is discarded
STABILIZATION_WINDOW = 60.0  # s; scaling in uses the highest demand of this window
ROUNDING = 1e-9  # of a replica; a floating-point error above a whole number must not add a replica
SCALE_IN_PAUSE = 5.0  # s; orders and list must be unchanged for this long, and for 2 * boot_s, before a scale-in


@dataclass(frozen=True)
class ReplicaRange:
    """The counts that the configuration allows in each zone; `boot_s` is the time until a new replica serves."""

    least: int
    most: int
    boot_s: float

    def clamp(self, count: int) -> int:
        """The nearest count that is allowed."""
        return max(self.least, min(self.most, count))


@dataclass(frozen=True)
class ZoneReplicas:
    """The replicas of one service in one zone: as listed, and as ordered last (None if never)."""

    ready: int
    leaving: int
    ordered: int | None = None

    @property
    def expected(self) -> int:
        """The count ordered last, or without an order the count that the platform runs on its own."""
        return self.ready + self.leaving if self.ordered is None else self.ordered

    @property
    def is_stable(self) -> bool:
        """Whether exactly that many are ready, and none is starting or leaving."""
        return self.leaving == 0 and self.ready == self.expected


class ServiceSizing:
    """Sizes one service over all of its zones.

    Invariants: `_samples` are (time, demand) of the last TREND_WINDOW seconds and `_levels` (time, averaged demand) of
    the last STABILIZATION_WINDOW seconds, both without a gap longer than DEMAND_GAP; `_changed_at` is the time of the
    last change of `_zones`.
    """

    def __init__(self) -> None:
        self._samples: deque[tuple[float, float]] = deque()
        self._levels: deque[tuple[float, float]] = deque()
        self._known_since = 0.0
        self._zones: dict[str, ZoneReplicas] = {}
        self._changed_at = 0.0

    def observe(self, now: float, demand: float) -> None:
        """Records the requests that are running, waiting or refused for lack of capacity, summed over all gateways."""
        if not self._samples or now - self._samples[-1][0] > DEMAND_GAP:
            self._samples.clear()
            self._levels.clear()
            self._known_since = now
        self._samples.append((now, demand))
        _drop_before(self._samples, now - TREND_WINDOW)
        self._levels.append((now, self._level(now)))
        _drop_before(self._levels, now - STABILIZATION_WINDOW)

    def orders(
        self, now: float, slots: float, replica_range: ReplicaRange, zones: Mapping[str, ZoneReplicas]
    ) -> dict[str, int]:
        """The counts to order, for the zones in which they change.

        Args:
            now: the time of the newest sample, in seconds.
            slots: concurrent requests of one replica.
            replica_range: what is allowed in each zone.
            zones: the replicas of each zone in which the service runs.
        """
        if dict(zones) != self._zones:
            self._zones, self._changed_at = dict(zones), now
        if not zones or now - self._known_since < DEMAND_WARM_UP:
            return {}
        counts = {zone: replica_range.clamp(one.expected) for zone, one in zones.items()}
        target = TARGET_USE * slots
        forecast = self._forecast(now, replica_range.boot_s)
        if _replicas_for(forecast, target * (1 + DEAD_BAND)) > sum(counts.values()):
            _scale_out(counts, _replicas_for(forecast, target), replica_range.most)
        elif self._may_scale_in(now, target, sum(counts.values()), replica_range.boot_s):
            _scale_in(counts, zones, replica_range.least)
        return {
            zone: count
            for zone, count in counts.items()
            if count != zones[zone].expected
            and (zones[zone].ordered is not None or count != replica_range.clamp(zones[zone].expected))
        }

    def _may_scale_in(self, now: float, target: float, total: int, boot_s: float) -> bool:
        """Whether one replica fewer has been enough for the whole stabilization window."""
        if now - self._known_since < STABILIZATION_WINDOW or now - self._changed_at < max(SCALE_IN_PAUSE, 2 * boot_s):
            return False
        highest = max(level for _, level in self._levels)
        return total > max(1, _replicas_for(highest, target * (1 - DEAD_BAND)))

    def _level(self, now: float) -> float:
        recent = [demand for at, demand in self._samples if at > now - LEVEL_WINDOW]
        return sum(recent) / len(recent)

    def _forecast(self, now: float, ahead_s: float) -> float:
        """Demand in `ahead_s` seconds if it keeps its slope; never less than the current level."""
        level = self._level(now)
        return min(FORECAST_LIMIT * level, level + self._slope(now) * ahead_s)

    def _slope(self, now: float) -> float:
        """The slope of demand, per second: the lower one of both halves of the window, as a step is in only one."""
        middle = now - TREND_WINDOW / 2
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
    """The least number of replicas for this many requests, at `each` requests a replica."""
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
    """Removes one replica from the zone that has the most, of the zones where none is starting or leaving."""
    stable = [zone for zone, count in counts.items() if count > least and zones[zone].is_stable]
    if stable and all(one.leaving == 0 for one in zones.values()):
        counts[max(stable, key=lambda zone: (counts[zone], zone))] -= 1
