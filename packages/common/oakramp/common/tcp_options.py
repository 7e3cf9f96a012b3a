"""TCP options: they detect a peer which is gone without having closed the connection, and bound what has arrived."""

import contextlib
import socket
from typing import Any

from twisted.internet import tcp

from oakramp.common.constants import BACKEND_READ_SIZE, BACKEND_RECEIVE_BUFFER, PEER_PROBE, PEER_SILENCE


def set_peer_options(transport: Any, probes: bool) -> None:
    """Sends without delay, and ends the connection once the peer has acknowledged nothing for PEER_SILENCE seconds.

    Args:
        transport: a connection's transport; one that is not a TCP connection of the kernel is left as it is.
        probes: whether the peer is also probed while nothing is sent.
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
            pass  # the connection works without the option; reads and writes still detect a peer that is gone


def limit_received(transport: Any) -> None:
    """Bounds what arrives from a back end before its protocol counts it: in one read, and in the kernel's buffer.

    A transport that is not a TCP connection of the kernel is left as it is.
    """
    if not isinstance(transport, tcp.Connection):
        return
    transport.bufferSize = BACKEND_READ_SIZE
    with contextlib.suppress(OSError):
        transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BACKEND_RECEIVE_BUFFER)


def unsent_bytes(transport: Any) -> int:
    """How many bytes that were written to a transport the kernel has not taken yet; 0 for a simulated one."""
    if not isinstance(transport, tcp.Connection):
        return 0
    return len(transport.dataBuffer) - transport.offset + transport._tempDataLen


def limit_unacknowledged(transport: Any, seconds: float) -> None:
    """Makes the kernel drop the connection, with all unsent data, once nothing is acknowledged for this many seconds.

    The kernel does so even while the process is frozen. A transport that is not a TCP connection of the kernel is left
    as it is.
    """
    if isinstance(transport, tcp.Connection):
        transport.getHandle().setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(seconds * 1000))
