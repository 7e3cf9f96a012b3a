"""How much memory and how many connections a process gives to the bytes of its clients, from its settings."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from oakramp.common.constants import (
    ACCEPT_LIMIT,
    ACCOUNT_SHARES,
    BACKEND_SHARES,
    CLIENT_DESCRIPTOR_SHARE,
    CLIENTS_LIMIT,
    CONNECTION_COST,
    CONNECTION_MEMORY_SHARE,
    DESCRIPTORS_DEFAULT,
    FILE_DESCRIPTORS,
    JSON_CONNECTIONS_LIMIT,
    JSON_DESCRIPTOR_SHARE,
    MEMORY_DEFAULT_MB,
    PEER_DESCRIPTOR_SHARE,
)


@dataclass(frozen=True)
class ProcessLimits:
    """The limits of one process; connections are counted for each of its ports."""

    account_bytes: int  # of the memory account
    backend_bytes: int  # of the room for responses on connections that the process opens
    client_connections: int  # at a gateway's port for clients
    json_connections: int  # at each JSON interface
    peer_connections: int  # at the port for other nodes


def limits_of(kind: str, env: dict[str, Any]) -> ProcessLimits:
    """The limits that follow from `resources` of a daemon's settings.

    Args:
        kind: of the node, a key of ACCOUNT_SHARES.
        env: the settings; a resource that is missing or 0 has its default.
    """
    resources = env.get("resources") or {}
    memory_bytes = (resources.get("memory_mb") or MEMORY_DEFAULT_MB) * 1e6
    descriptors = resources.get("descriptors") or DESCRIPTORS_DEFAULT
    sockets = max(descriptors - FILE_DESCRIPTORS, descriptors / 2)
    connections_in_memory = int(memory_bytes * CONNECTION_MEMORY_SHARE / CONNECTION_COST)

    def connections(most: int, share: float) -> int:
        return max(1, min(most, int(sockets * share), connections_in_memory))

    return ProcessLimits(
        account_bytes=int(memory_bytes * ACCOUNT_SHARES[kind]),
        backend_bytes=int(memory_bytes * BACKEND_SHARES[kind]),
        client_connections=connections(CLIENTS_LIMIT, CLIENT_DESCRIPTOR_SHARE),
        json_connections=connections(JSON_CONNECTIONS_LIMIT, JSON_DESCRIPTOR_SHARE),
        peer_connections=connections(ACCEPT_LIMIT, PEER_DESCRIPTOR_SHARE),
    )
