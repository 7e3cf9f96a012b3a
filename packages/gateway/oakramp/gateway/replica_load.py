"""Estimates the load of a service's replicas from the reports that one gateway receives.

A replica reports its load with each response: the requests of all gateways that it runs or queues. Between two
responses a gateway knows exactly which requests it has started and finished there itself; the requests of other
gateways are estimated. A report loses weight as it ages, in favour of the mean that replicas of the service reported
lately: a replica that was not used for a while is taken to have an average load, not to be idle.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from oakramp.common.constants import LOAD_AGE, LOAD_MEAN_AGE, LOAD_MEAN_STEP, LOAD_REPORT_MAX, QUEUED_SHARE


class ServiceLoad:
    """The mean load that other gateways put on a replica of a service, from recent reports.

    An exponential moving average: each report moves it by LOAD_MEAN_STEP of the difference. Without reports it falls
    linearly to 0 after LOAD_MEAN_AGE seconds: load that no replica reports is not assumed.
    """

    def __init__(self) -> None:
        self._mean = 0.0  # requests
        self._reported_at = float("-inf")  # monotonic seconds

    def add_sample(self, requests: float, now: float) -> None:
        """Adds the number of requests of other gateways that a replica reported."""
        mean = self.mean(now)
        self._mean = mean + LOAD_MEAN_STEP * (requests - mean)
        self._reported_at = now

    def mean(self, now: float) -> float:
        """The mean number of requests of other gateways on a replica of the service."""
        return self._mean * max(0.0, 1.0 - (now - self._reported_at) / LOAD_MEAN_AGE)


@dataclass
class Instance:
    """One incarnation of a replica as this gateway sees it.

    Invariants: `in_flight` counts this gateway's requests between acquire and release; `reported_load` is the load in
    the newest response, which came at `reported_at` when `in_flight_at_report` of it were this gateway's;
    `service_load` is the same object for all replicas of the service."""

    row: dict[str, Any]
    service_load: ServiceLoad
    in_flight: int = 0
    reported_load: int = 0
    reported_slots: int = 0
    reported_at: float = float("-inf")
    in_flight_at_report: int = 0
    failures: int = 0
    unavailable_until: float = float("-inf")

    @property
    def is_ready(self) -> bool:
        """Whether the platform lists the replica as accepting requests."""
        return self.row["state"] == "ready"

    def slots(self, default: int) -> int:
        """Number of requests that it runs concurrently, as reported by the replica or else as listed."""
        return self.reported_slots or self.row.get("slots") or default

    def _freshness(self, now: float) -> float:
        return max(0.0, 1.0 - (now - self.reported_at) / LOAD_AGE)

    def known_load(self, now: float) -> float:
        """Lower bound of the replica's requests: this gateway's, and those reported of other gateways, weighted by the
        report's freshness. Waiting requests are assigned by this bound, so that no replica stays idle for lack of a
        recent report."""
        return self.in_flight + self._freshness(now) * max(0, self.reported_load - self.in_flight_at_report)

    def load(self, now: float) -> float:
        """Estimate of the replica's requests, running and waiting. A replica that has not reported yet may be new, and
        is assumed to be idle."""
        if not self.reported_slots:
            return self.known_load(now)
        return self.known_load(now) + (1.0 - self._freshness(now)) * self.service_load.mean(now)

    def capacity(self, default: int) -> float:
        """Number of requests that it may be given: its slots, and a few queued requests so that no slot stays idle."""
        return self.slots(default) * (1 + QUEUED_SHARE)

    def record_report(self, running: int, waiting: int, slots: int, now: float) -> None:
        """Records the load reported with a response, including the answered request."""
        self.reported_load, self.reported_slots = running + waiting, slots
        self.reported_at, self.in_flight_at_report = now, self.in_flight
        other_gateways = max(0, self.reported_load - self.in_flight_at_report)
        self.service_load.add_sample(min(other_gateways, LOAD_REPORT_MAX * slots), now)
