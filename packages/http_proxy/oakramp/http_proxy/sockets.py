"""What a connection needs of its kernel, where there is one.

`send_now` hands bytes to the kernel in the same turn. Twisted would register the socket for writing, wait, write and
take the registration back: four system calls where one does, for every event of a stream. What the kernel does not
take at once goes Twisted's way, with its buffer and its back-pressure.
"""

import socket

from twisted.internet import tcp

from oakramp.common.constants import PEER_PROBE, PEER_SILENCE


def set_options(transport, probes):
    """A silent peer is noticed: by bytes it does not acknowledge, and with `probes` also while nothing is sent."""
    if not isinstance(transport, tcp.Connection):
        return
    handle, options = (
        transport.getHandle(),
        [
            (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(PEER_SILENCE * 1000)),
        ],
    )
    if probes:
        options += [
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PEER_PROBE),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PEER_PROBE),
            (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, max(1, int(PEER_SILENCE / PEER_PROBE))),
        ]
    for option in options:
        try:
            handle.setsockopt(*option)
        except OSError:
            pass  # the connection works without; a peer that has gone is told by what is read and written


def is_quiet(transport):
    """Whether nothing waits to be read, not even the peer's end, as far as the kernel knows."""
    if not isinstance(transport, tcp.Connection):
        return True
    try:
        transport.getHandle().recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def read_now(transport):
    """Takes what waits to be read, in this turn."""
    if isinstance(transport, tcp.Connection) and transport.connected and not transport.disconnecting:
        transport.doRead()


def has_unsent(transport):
    return isinstance(transport, tcp.Connection) and bool(transport.dataBuffer or transport._tempDataLen)


def send_now(transport, data):
    """False only if the kernel refused the connection and surely took nothing of `data`."""
    if (
        not isinstance(transport, tcp.Connection)
        or transport.dataBuffer
        or transport._tempDataLen
        or transport.disconnecting
        or not transport.connected
    ):
        transport.write(data)
        return True
    sent = transport.writeSomeData(data)
    if isinstance(sent, Exception):
        transport.write(data)  # it fails again, and the connection's loss is told as any other
        return False
    if sent < len(data):
        transport.write(data[sent:])
    return True
