"""Direct socket operations on a transport, for transports that have a kernel socket.

`send_now` passes bytes to the kernel in the same reactor turn. Twisted would register the socket for writing, wait,
write and remove the registration: four system calls where one is enough, for every event of a stream. Bytes that the
kernel does not take at once are left to Twisted, with its buffer and its back-pressure.
"""

import socket

from twisted.internet import tcp


def is_kernel_socket(transport):
    """Whether the transport is a TCP connection of the kernel, not a simulated one."""
    return isinstance(transport, tcp.Connection)


def is_quiet(transport):
    """Whether nothing is waiting to be read, not even the end of the stream, as far as the kernel knows."""
    if not isinstance(transport, tcp.Connection):
        return True
    try:
        transport.getHandle().recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def pending_bytes(transport, most):
    """Up to `most` bytes that the kernel has received and nobody has read; they stay there."""
    if not isinstance(transport, tcp.Connection):
        return b""
    try:
        return transport.getHandle().recv(most, socket.MSG_PEEK)
    except OSError:
        return b""


def read_now(transport):
    """Reads the waiting data in this reactor turn."""
    if isinstance(transport, tcp.Connection) and transport.connected and not transport.disconnecting:
        transport.doRead()


def has_unsent(transport):
    return isinstance(transport, tcp.Connection) and bool(transport.dataBuffer or transport._tempDataLen)


def send_now(transport, data):
    """Sends `data`. Returns False only if the kernel reported the connection as failed and certainly took none of
    it."""
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
        transport.write(data)  # it fails again, and the loss of the connection is reported as usual
        return False
    if sent < len(data):
        transport.write(data[sent:])
    return True
