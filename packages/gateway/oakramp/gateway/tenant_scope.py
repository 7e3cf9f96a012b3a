"""Separates by tenant the names that clients choose for turns, sessions, programs and operations.

A scoped name consists of the tenant's name, TENANT_SEPARATOR and the name chosen by the client. No header value can
contain TENANT_SEPARATOR, so no client can name an object of another tenant, and no scoped name can equal an unscoped
one. Names in requests without a tenant are unchanged: data stored before tenants were introduced is found under the
same names.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from oakramp.gateway.proxy_types import ProxyRequest
    from oakramp.gateway.tenants import Tenant

TENANT_SEPARATOR = "\n"


def scoped_name(tenant: Tenant | None, name: str) -> str:
    """The name under which an object of this tenant is stored."""
    return name if tenant is None else f"{tenant.name}{TENANT_SEPARATOR}{name}"


def scoped_request(tenant: Tenant | None, request: ProxyRequest) -> ProxyRequest:
    """A copy of the request with its names scoped to its tenant, except for its own id, which is sent to replicas and
    returned to the client unchanged."""
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
