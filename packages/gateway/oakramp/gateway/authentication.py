"""Whose a request is, by the key that it carries and the configuration in force.

Invariants: a request without a known key reaches no replica unless its route needs none; no key is logged.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from oakramp.common.constants import REJECTED_LOG_PAUSE, RETRY_AFTER_LEAST
from oakramp.common.errors import OverloadedError, UnauthenticatedError
from oakramp.common.log_rate_limit import LogRateLimit

if TYPE_CHECKING:
    from oakramp.common.structured_logging import EventLogger
    from oakramp.gateway.proxied_request import ProxiedRequest
    from oakramp.gateway.routing import Route, Router
    from oakramp.gateway.tenants import Tenant


class Authenticator:
    """Finds the tenants of requests, and holds to them while the requests wait."""

    def __init__(self, reactor: Any, router: Router, log: EventLogger) -> None:
        self._router = router
        self._log = log
        self._log_limit = LogRateLimit(reactor, REJECTED_LOG_PAUSE)

    def tenant_of(self, api_key: str | None, route: Route) -> Tenant | None:
        """The tenant that has the key, or None for a request without one that needs none.

        To be asked only while the configuration is sure to be the newest. A key that nobody has is no better on a route
        that needs none: its client takes itself for somebody.

        Raises:
            UnauthenticatedError: the key is not known, or there is none and the route needs one.
        """
        tenant = self._router.tenants.find(api_key)
        if tenant is None and self._is_refused(api_key, route):
            self._note()
            raise UnauthenticatedError("a key of a tenant is needed here, alone")
        return tenant

    def renew(self, proxied_request: ProxiedRequest, route: Route) -> None:
        """Takes over the request's tenant as it stands now. UnauthenticatedError if its key was taken away.

        What the request read and claimed so far is its first tenant's: if the key is another's now, it has to come
        again."""
        tenant = self.tenant_of(proxied_request.request.api_key, route)
        if _name_of(tenant) != _name_of(proxied_request.tenant):
            raise OverloadedError("the key became another tenant's", retry_after=RETRY_AFTER_LEAST)
        proxied_request.tenant = tenant

    def is_current(self, proxied_request: ProxiedRequest) -> bool:
        """Whether the request may be sent for its tenant by the configuration in force, on its present route."""
        api_key = proxied_request.request.api_key
        tenant = self._router.tenants.find(api_key)
        if tenant is None and self._is_refused(api_key, proxied_request.route):
            return False
        return tenant == proxied_request.tenant

    def _is_refused(self, unknown_key: str | None, route: Route) -> bool:
        return self._router.tenants.is_required and (unknown_key is not None or not route.is_keyless)

    def _note(self) -> None:
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
