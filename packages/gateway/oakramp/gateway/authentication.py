"""Determines the tenant of a request from its API key and the configuration in force.

Invariants: a request without a known key reaches no replica unless its route needs no key; no key is logged.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from oakramp.common.constants import REJECTED_LOG_PAUSE, RETRY_AFTER_MIN
from oakramp.common.errors import OverloadedError, UnauthenticatedError
from oakramp.common.log_rate_limit import LogRateLimit

if TYPE_CHECKING:
    from oakramp.common.structured_logging import EventLogger
    from oakramp.gateway.proxied_request import ProxiedRequest
    from oakramp.gateway.routing import Route, Router
    from oakramp.gateway.tenants import Tenant


class Authenticator:
    """Finds the tenants of requests, and checks them again while the requests wait."""

    def __init__(self, reactor: Any, router: Router, log: EventLogger) -> None:
        self._router = router
        self._log = log
        self._log_limit = LogRateLimit(reactor, REJECTED_LOG_PAUSE)

    def tenant_of(self, api_key: str | None, route: Route) -> Tenant | None:
        """The tenant that holds the key, or None for a request without a key on a route that needs none.

        Must be called only while the configuration is known to be the latest. An unknown key is rejected on a route
        that needs no key as well, because its client expects to be authenticated.

        Raises:
            UnauthenticatedError: the key is unknown, or it is missing and the route requires one.
        """
        tenant = self._router.tenants.find(api_key)
        if tenant is None and self._is_rejected(api_key, route):
            self._log_rejection()
            raise UnauthenticatedError("exactly one API key of a known tenant is required")
        return tenant

    def refresh_tenant(self, proxied_request: ProxiedRequest, route: Route) -> None:
        """Updates the request's tenant from the configuration in force.

        Raises UnauthenticatedError if its key was revoked. If the key now belongs to another tenant, the client has to
        retry, since the request has already read and claimed state of its first tenant."""
        tenant = self.tenant_of(proxied_request.request.api_key, route)
        if _name_of(tenant) != _name_of(proxied_request.tenant):
            raise OverloadedError("the API key now belongs to another tenant", retry_after=RETRY_AFTER_MIN)
        proxied_request.tenant = tenant

    def is_current(self, proxied_request: ProxiedRequest) -> bool:
        """Whether the configuration in force allows the request to be sent for its tenant on its current route."""
        api_key = proxied_request.request.api_key
        tenant = self._router.tenants.find(api_key)
        if tenant is None and self._is_rejected(api_key, proxied_request.route):
            return False
        return tenant == proxied_request.tenant

    def _is_rejected(self, unknown_key: str | None, route: Route) -> bool:
        return self._router.tenants.is_required and (unknown_key is not None or not route.is_keyless)

    def _log_rejection(self) -> None:
        left_out = self._log_limit.take()
        if left_out is None:
            return
        self._log.info(
            "request_unauthenticated",
            version=self._router.version,
            age_s=round(self._router.age(), 3),
            left_out=left_out,
        )


def _name_of(tenant: Tenant | None) -> str | None:
    return None if tenant is None else tenant.name
