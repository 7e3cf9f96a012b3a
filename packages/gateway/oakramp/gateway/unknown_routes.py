"""Logs requests without a route, with the version of the routing table and the time since it was last confirmed."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from oakramp.common.constants import REJECTED_LOG_PAUSE
from oakramp.common.log_rate_limit import LogRateLimit

if TYPE_CHECKING:
    from oakramp.common.structured_logging import EventLogger
    from oakramp.gateway.routing import Router


class UnknownRouteLog:
    """Logs rejected requests, at most one line every REJECTED_LOG_PAUSE seconds."""

    def __init__(self, reactor: Any, router: Router, log: EventLogger) -> None:
        self._router = router
        self._log = log
        self._limit = LogRateLimit(reactor, REJECTED_LOG_PAUSE)

    def note(self) -> None:
        """Records that a request had no route in the table in force."""
        left_out = self._limit.take()
        if left_out is None:
            return
        self._log.info(
            "route_unknown", version=self._router.version, age_s=round(self._router.age(), 3), left_out=left_out
        )
