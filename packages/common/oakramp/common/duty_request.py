"""A call to the platform that one node of the fleet makes for all of it."""

from __future__ import annotations

from typing import Any, NamedTuple, Protocol


class DutyRequest(NamedTuple):
    """What is sent; `body` is a JSON value."""

    method: str
    path: str
    body: Any


class DutyForm(Protocol):
    """How duty calls are written where this fleet runs."""

    def duty_headers(self, holder: str, fence: int) -> dict[str, str]:
        """The headers that name the machine that acts, and its fencing token."""

    def usage_report(self, window: int, counts: dict[str, int]) -> DutyRequest:
        """The report of one window: how many requests of each tenant began in it."""

    def replica_order(self, service: str, zone: str, count: int) -> DutyRequest:
        """The order that so many replicas of a service run in a zone."""


class PlainDutyForm:
    """The product's own form of duty calls."""

    def duty_headers(self, holder: str, fence: int) -> dict[str, str]:
        """The holder's machine, and the epoch under which it leads the duty's shard."""
        return {"holder": holder, "epoch": str(fence)}

    def usage_report(self, window: int, counts: dict[str, int]) -> DutyRequest:
        """The window's number and the counts by tenant."""
        return DutyRequest("POST", "/usage", {"window": window, "counts": counts})

    def replica_order(self, service: str, zone: str, count: int) -> DutyRequest:
        """The service, the zone and the number."""
        return DutyRequest("POST", "/replicas", {"service": service, "zone": zone, "count": count})
