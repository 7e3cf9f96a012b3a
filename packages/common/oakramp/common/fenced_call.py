"""A call to the platform that one node makes on behalf of the whole fleet."""

from __future__ import annotations

from typing import Any, NamedTuple, Protocol


class FencedCall(NamedTuple):
    """The request to send; `body` is a JSON value."""

    method: str
    path: str
    body: Any


class CallFormat(Protocol):
    """The format of fenced calls in the deployment in which this fleet runs."""

    def fencing_headers(self, holder: str, fence: int) -> dict[str, str]:
        """The headers that name the machine that makes the call, and its fencing token."""

    def usage_report(self, window: int, counts: dict[str, int]) -> FencedCall:
        """The report of one window: how many requests of each tenant started in it."""

    def replica_order(self, service: str, zone: str, count: int) -> FencedCall:
        """The order to run this number of replicas of a service in a zone."""


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
