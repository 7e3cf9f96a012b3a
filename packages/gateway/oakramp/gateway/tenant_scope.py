"""The names that clients choose - of turns, sessions, programs and operations - kept apart by tenant.

A scoped name is the tenant's, TENANT_END, and the client's own. No header value can hold TENANT_END, so no client can
name what is another tenant's, and no scoped name is like one without a tenant. Names of requests without a tenant stay
as they are: what was stored before there were tenants is found under the same names.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from oakramp.gateway.proxy_types import ProxyRequest
    from oakramp.gateway.tenants import Tenant

TENANT_END = "\n"


def scoped_name(tenant: Tenant | None, name: str) -> str:
    """The name under which this tenant's thing is kept."""
    return name if tenant is None else f"{tenant.name}{TENANT_END}{name}"


def scoped_request(tenant: Tenant | None, request: ProxyRequest) -> ProxyRequest:
    """The request with everything that it names in its tenant's scope, but for its own id, which goes to replicas and
    back to its client as it is."""
    if tenant is None:
        return request
    return replace(
        request,
        operation_key=_scoped(tenant, request.operation_key),
        program=_scoped(tenant, request.program),
        session=_scoped(tenant, request.session),
        previous_turn=_scoped(tenant, request.previous_turn),
    )


def _scoped(tenant: Tenant, name: str | None) -> str | None:
    return scoped_name(tenant, name) if name else name
