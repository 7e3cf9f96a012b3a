"""A faulty back end: reads a request, then sends given bytes again and again until its caller closes the connection."""

import contextlib
import re
import socket
import threading
from dataclasses import dataclass, field

BLOCK_SIZE = 256 << 10  # bytes; about as many are passed to the kernel at a time
READ_SIZE = 64 << 10  # bytes
LENGTH_FIELD = re.compile(rb"\r\ncontent-length: *([0-9]+)", re.I)
TRY_FIELD = re.compile(rb"\r\ntry-id: *([^\r]*)", re.I)


@dataclass
class Pour:
    """What is sent: `first` once, in which TRY stands for the id of the request, then `repeated` without end; after
    `most` bytes of all connections together the server stops, and its connections stay open."""

    first: bytes
    repeated: bytes
    most: int
    sizes: list = field(default_factory=list)  # bytes that were sent on each connection that has ended
    sent: int = 0

    def send(self, connection, lock, try_id=b""):
        """Sends until the caller closes the connection, or all pours together are over."""
        size = 0
        try:
            data = self.first.replace(b"TRY", try_id)
            connection.sendall(data)
            size, block = len(data), self.repeated * max(1, BLOCK_SIZE // max(1, len(self.repeated)))
            while block and self.sent < self.most:
                sent = connection.send(block)
                block = block[sent:] + block[:sent]  # the repetition goes on where the kernel stopped
                size += sent
                with lock:
                    self.sent += sent
            connection.recv(READ_SIZE)  # until the caller closes it
        finally:
            with lock:
                self.sizes.append(size)


class PouringServer:
    """Serves `pour`, which may be set anew for each test; `tries` and `paths` have the ids and
    paths of all requests that were read."""

    def __init__(self, address):
        self.pour, self.tries, self.paths, self.lock = None, [], [], threading.Lock()
        self._socket = socket.create_server(address, backlog=1024)
        threading.Thread(target=self._accept, daemon=True).start()

    def tries_of(self, *paths):
        """The ids of the requests on these routes, given by the beginnings of their paths."""
        return [try_id for try_id, path in zip(self.tries, self.paths, strict=True) if path.startswith(paths)]

    def server_close(self):
        """Takes no more connections."""
        self._socket.close()

    def shutdown(self):
        """Part of the interface of the other servers."""

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._socket.accept()
                threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        with connection, contextlib.suppress(OSError):
            head = self._read_request(connection)
            if head is None:
                return
            found = TRY_FIELD.search(head)
            try_id = found[1] if found else b""
            with self.lock:
                self.tries.append(try_id.decode())
                self.paths.append(head.split(b" ", 2)[1].decode())
                pour = self.pour
            pour.send(connection, self.lock, try_id)

    @staticmethod
    def _read_request(connection):
        """The head of a whole request, or None if the caller closed the connection before its end."""
        data = b""
        while (end := data.find(b"\r\n\r\n")) < 0 or len(data) < end + 4 + int(
            (LENGTH_FIELD.search(data[:end]) or (0, 0))[1]
        ):
            more = connection.recv(READ_SIZE)
            if not more:
                return None
            data += more
        return data[: end + 2]
