"""What a connection needs of its kernel, where there is one.

`send_now` hands bytes to the kernel in the same turn. Twisted would register the socket for writing, wait, write and
take the registration back: four system calls where one does, for every event of a stream. What the kernel does not
take at once goes Twisted's way, with its buffer and its back-pressure.
"""

import socket

from twisted.internet import tcp


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
