"""A call to the platform that one node of the fleet makes for all of it."""

from __future__ import annotations

from typing import Any, NamedTuple, Protocol


class FencedCall(NamedTuple):
    """What is sent; `body` is a JSON value."""

    method: str
    path: str
    body: Any


class CallFormat(Protocol):
    """How fenced calls are written where this fleet runs."""

    def fencing_headers(self, holder: str, fence: int) -> dict[str, str]:
        """The headers that name the machine that acts, and its fencing token."""

    def usage_report(self, window: int, counts: dict[str, int]) -> FencedCall:
        """The report of one window: how many requests of each tenant began in it."""

    def replica_order(self, service: str, zone: str, count: int) -> FencedCall:
        """The order that so many replicas of a service run in a zone."""


class PlainCallFormat:
    """The product's own form of fenced calls."""

    def fencing_headers(self, holder: str, fence: int) -> dict[str, str]:
        """The holder's machine, and the epoch under which it leads the task's shard."""
        return {"holder": holder, "epoch": str(fence)}

    def usage_report(self, window: int, counts: dict[str, int]) -> FencedCall:
        """The window's number and the counts by tenant."""
        return FencedCall("POST", "/usage", {"window": window, "counts": counts})

    def replica_order(self, service: str, zone: str, count: int) -> FencedCall:
        """The service, the zone and the number."""
        return FencedCall("POST", "/replicas", {"service": service, "zone": zone, "count": count})
