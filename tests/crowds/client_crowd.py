"""Crowds of clients that send what they like: each member writes given bytes and may read nothing of what it gets."""

import contextlib
import selectors
import socket
import time

SEND_SIZE = 256 << 10  # bytes; passed to the kernel at a time
SMALL_BUFFER = 4096  # bytes; of a member's receive buffer, if it does not read
POLL = 0.05  # s; longest wait for the kernel


class Member:
    """One connection. Invariant: `sent` of `data` are with the kernel; a closed member sends nothing."""

    def __init__(self, address, source, data, reads):
        self.data, self.sent, self.received, self.reads = memoryview(data), 0, b"", reads
        self.is_closed = False
        self.socket = socket.socket()
        if not reads:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        self.socket.bind((source, 0))
        self.socket.setblocking(False)
        self.socket.connect_ex(address)

    @property
    def has_sent_all(self):
        """Whether everything is with the kernel."""
        return self.sent == len(self.data)

    def add(self, data):
        """Sends more once all before it is sent."""
        self.data, self.sent = memoryview(bytes(self.data[self.sent :]) + data), 0

    def write(self):
        """Passes some bytes to the kernel."""
        try:
            self.sent += self.socket.send(self.data[self.sent : self.sent + SEND_SIZE])
        except BlockingIOError:
            return
        except OSError:
            self.close()

    def read(self):
        """Takes what has arrived."""
        try:
            data = self.socket.recv(SEND_SIZE)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.close()
        self.received += data

    def close(self):
        """Closes the connection."""
        if not self.is_closed:
            self.is_closed = True
            self.socket.close()


class Crowd:
    """All connections of a crowd, which all come from one address."""

    def __init__(self, address, source, watch=lambda: None):
        """`watch()` is called again and again while the crowd is at work."""
        self.address, self.source, self.watch, self.members = address, source, watch, []

    def add(self, count, data, reads=True):
        """Adds members that send `data`."""
        with contextlib.suppress(OSError):
            for _ in range(count):
                self.members.append(Member(self.address, self.source, data, reads))

    def send(self, seconds):
        """Sends until all has been sent, or for this long; members that are closed by the other side are left out."""
        ends_at = time.monotonic() + seconds
        with selectors.DefaultSelector() as selector:
            for member in self.members:
                if not member.is_closed:
                    selector.register(member.socket, self._events(member), member)
            while time.monotonic() < ends_at and any(
                not member.is_closed and not member.has_sent_all for member in self.members
            ):
                self._round(selector)
                self.watch()

    @staticmethod
    def _events(member):
        reading = selectors.EVENT_READ if member.reads else 0
        return (selectors.EVENT_WRITE if not member.has_sent_all else 0) | reading or selectors.EVENT_READ

    def _round(self, selector):
        for key, events in selector.select(POLL):
            member, number = key.data, key.fd
            if events & selectors.EVENT_WRITE:
                member.write()
            if events & selectors.EVENT_READ and not member.is_closed and member.reads:
                member.read()
            if member.is_closed:
                selector.unregister(number)
            elif member.has_sent_all and not member.reads:
                selector.unregister(member.socket)
            else:
                selector.modify(member.socket, self._events(member), member)

    def wait(self, seconds):
        """Stays for this long, and reads what members that read get."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            for member in self.members:
                if member.reads and not member.is_closed:
                    member.read()
            self.watch()
            time.sleep(POLL)

    def close(self):
        """Closes all connections."""
        for member in self.members:
            member.close()
