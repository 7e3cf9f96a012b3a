"""Requests without a route: by which version of the routing, and how long after it was last confirmed."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from oakramp.common.constants import UNKNOWN_ROUTE_LOG_PAUSE

if TYPE_CHECKING:
    from oakramp.common.structured_logging import EventLogger
    from oakramp.gateway.routing import Router


class UnknownRouteLog:
    """Logs rejected requests, at most one line each UNKNOWN_ROUTE_LOG_PAUSE seconds.

    Invariant: `_left_out` counts the requests since the last line, which was written at `_logged_at` (monotonic
    seconds).
    """

    def __init__(self, reactor: Any, router: Router, log: EventLogger) -> None:
        self._reactor = reactor
        self._router = router
        self._log = log
        self._logged_at = float("-inf")
        self._left_out = 0

    def note(self) -> None:
        """A request had no route in the table in force."""
        now = self._reactor.seconds()
        if now - self._logged_at < UNKNOWN_ROUTE_LOG_PAUSE:
            self._left_out += 1
            return
        left_out, self._left_out = self._left_out, 0
        self._logged_at = now
        self._log.info(
            "route_unknown", version=self._router.version, age_s=round(self._router.age(), 3), left_out=left_out
        )
