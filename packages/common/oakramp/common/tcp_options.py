"""Options of TCP connections by which a peer that has gone without a word is noticed."""

import socket
from typing import Any

from twisted.internet import tcp

from oakramp.common.constants import PEER_PROBE, PEER_SILENCE


def set_peer_options(transport: Any, probes: bool) -> None:
    """Sends without delay, and ends the connection once the peer has acknowledged nothing for PEER_SILENCE seconds.

    Args:
        transport: a connection's transport; one that is no TCP connection of the kernel's is left as it is.
        probes: whether the peer is probed while nothing is sent, too.
    """
    if not isinstance(transport, tcp.Connection):
        return
    options = [
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(PEER_SILENCE * 1000)),
    ]
    if probes:
        options += [
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PEER_PROBE),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PEER_PROBE),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, max(1, int(PEER_SILENCE / PEER_PROBE))),
        ]
    handle = transport.getHandle()
    for option in options:
        try:
            handle.setsockopt(*option)
        except OSError:
            pass  # the connection works without; a peer that has gone is told by what is read and written


def limit_unacknowledged(transport: Any, seconds: float) -> None:
    """Has the kernel drop the connection, and all it would still send, once nothing is acknowledged for so long.

    The kernel does so even while the process is frozen. A transport that is no TCP connection of the kernel's is left
    as it is.
    """
    if isinstance(transport, tcp.Connection):
        transport.getHandle().setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(seconds * 1000))
