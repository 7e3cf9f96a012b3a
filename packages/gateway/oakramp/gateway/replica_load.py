"""How much load the replicas of a service have, as well as one gateway can tell.

A replica tells its load with each answer: the requests that it runs and those that wait there, of all gateways. Between
two answers a gateway knows exactly what it has begun and ended there itself; what the others have there now is
estimated. An answer's word on them fades with its age, and gives way to what replicas of the service told on average
lately: a replica that was not asked for a while is taken for an ordinary one, not for an idle one.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from oakramp.common.constants import LOAD_AGE, LOAD_MEAN_AGE, LOAD_MEAN_STEP, LOAD_TOLD_MOST, QUEUED_SHARE


class ServiceLoad:
    """The load of other gateways on one replica of a service, on average over what its replicas told lately.

    Each telling moves the average towards it by LOAD_MEAN_STEP. Without any it falls, to 0 after LOAD_MEAN_AGE seconds:
    what nobody tells of is not taken for load.
    """

    def __init__(self) -> None:
        self._mean = 0.0  # requests
        self._told_at = float("-inf")  # monotonic seconds

    def note(self, requests: float, now: float) -> None:
        """Takes in what a replica told: so many requests of other gateways."""
        mean = self.mean(now)
        self._mean = mean + LOAD_MEAN_STEP * (requests - mean)
        self._told_at = now

    def mean(self, now: float) -> float:
        """Requests of other gateways on a replica of the service."""
        return self._mean * max(0.0, 1.0 - (now - self._told_at) / LOAD_MEAN_AGE)


@dataclass
class Instance:
    """One life of a replica as this gateway sees it. Invariants: `own` counts this gateway's requests between acquire
    and release; `told` is the load of the newest answer, which came at `told_at` when `own_then` were ours;
    `service_load` is the same object for all replicas of the service."""

    row: dict[str, Any]
    service_load: ServiceLoad
    own: int = 0
    told: int = 0
    told_slots: int = 0
    told_at: float = float("-inf")
    own_then: int = 0
    failures: int = 0
    closed_until: float = float("-inf")

    @property
    def is_ready(self) -> bool:
        """Whether the platform's list has it as taking requests."""
        return self.row["state"] == "ready"

    def slots(self, default: int) -> int:
        """Requests that it works on at once, by its own word or the list's."""
        return self.told_slots or self.row.get("slots") or default

    def _freshness(self, now: float) -> float:
        return max(0.0, 1.0 - (now - self.told_at) / LOAD_AGE)

    def least_load(self, now: float) -> float:
        """Requests that the replica surely has: this gateway's, and what it told of the others', as far as that still
        holds. Whoever waits for room goes by this, so that no replica stands idle for want of news of it."""
        return self.own + self._freshness(now) * max(0, self.told - self.own_then)

    def load(self, now: float) -> float:
        """Requests that the replica probably has, running and waiting. One that has told nothing yet may be new, and is
        taken for idle."""
        if not self.told_slots:
            return self.least_load(now)
        return self.least_load(now) + (1.0 - self._freshness(now)) * self.service_load.mean(now)

    def room(self, default: int) -> float:
        """Requests that it may be given: its slots, and some that wait there, so that none stands idle meanwhile."""
        return self.slots(default) * (1 + QUEUED_SHARE)

    def tell(self, running: int, waiting: int, slots: int, now: float) -> None:
        """Takes in the load that came with an answer, the answered request among it."""
        self.told, self.told_slots = running + waiting, slots
        self.told_at, self.own_then = now, self.own
        others = max(0, self.told - self.own_then)
        self.service_load.note(min(others, LOAD_TOLD_MOST * slots), now)
