"""Connections of the JSON interface with twisted.web.http, imported by oakramp.common.http_server when the first one is
made.

`twisted.web.server` is left out: its resources and sessions are not used here, and importing it would take an eighth
of a daemon's start.
"""

from __future__ import annotations

from io import BytesIO
from typing import TYPE_CHECKING, Any
from urllib.parse import unquote_to_bytes

from twisted.web import http
from twisted.web.http_headers import Headers

from oakramp.common.constants import (
    BODY_LIMIT,
    FIELD_COST,
    IDLE_CLIENT_TIME,
    JSON_REQUEST_TIME,
    LINGER_TIME,
    PIECE_OVERHEAD,
)
from oakramp.common.errors import DeadlineExceededError, OakrampError, OverloadedError, TooLargeError
from oakramp.common.json_cost import parsed_size
from oakramp.common.tcp_options import unsent_bytes
from oakramp.common.validation import pack_json

if TYPE_CHECKING:
    from twisted.internet.interfaces import IAddress
    from twisted.python.failure import Failure

    from oakramp.common.memory_account import Holding

REFUSAL_STATUSES = {"tooLarge": 413, "timeSpent": 408}  # by the error's code; all others get 503


class Channel(http.HTTPChannel):
    """One connection of a client.

    Invariants: `holding` has room for what is read and for what the client has not taken of its answers; a request that
    was read whole has a holding of its own. Once `is_refused`, nothing more is read as a request."""

    def __init__(self, connections: Any, address: str) -> None:
        super().__init__()
        self._connections = connections
        self.holding = connections.memory_account.holding(self, address)
        self.is_refused = False
        self.body_size = 0  # bytes of the body that is being read
        self._due: Any = None  # the call that ends a request which is not read whole in time

    def connectionMade(self) -> None:
        """Called by Twisted with the connection."""
        self._connections.open[self] = None
        super().connectionMade()

    def connectionLost(self, reason: Failure) -> None:
        """Called by Twisted when the connection has ended."""
        self._connections.open.pop(self, None)
        self._stop_waiting()
        self.holding.release()
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:
        """Called by Twisted with what has arrived."""
        if self.is_refused:
            return
        if self._due is None and not self._handlingRequest:
            self._due = self.callLater(JSON_REQUEST_TIME, self._on_due)
        super().dataReceived(data)
        if self.is_refused or self.keep_room():
            return
        if self._handlingRequest:
            self._dataBuffer, self.persistent = [], False  # what was sent ahead is not read
            self.keep_room()
        else:
            self.refuse(OverloadedError("no memory for this request"))

    # --- memory ---

    def keep_room(self) -> bool:
        """Takes or gives back room for all that is kept. Returns whether there is room."""
        if self.is_refused:
            return self.holding.resize(unsent_bytes(self.transport))
        head = self._receivedHeaderSize + FIELD_COST * 2 * self._receivedHeaderCount
        waiting = len(self._buffer) + sum(map(len, self._dataBuffer))
        body = int(self.body_size * PIECE_OVERHEAD)
        return self.holding.resize(head + waiting + body + unsent_bytes(self.transport))

    def hold_request(self, request: Request) -> Holding:
        """The room of a request that was read whole, with its parsed body, until its handler releases it, even if the
        client is gone by then. Raises OverloadedError without enough room."""
        body = request.content.getvalue()
        self.body_size = 0
        self.keep_room()
        holding = self.holding.another()
        if not holding.resize(FIELD_COST + 2 * len(body) + parsed_size(body)) or not holding.pin():
            holding.release()
            raise OverloadedError("no memory for this request", retry_after=1)
        return holding

    def measure_memory(self) -> None:
        """Gives back the room of bytes that the client has taken meanwhile."""
        held = self.holding.held
        self.keep_room()
        if self.holding.held < held:
            self.holding.moved_at = self._connections.memory_account.reactor.seconds()

    def give_way(self) -> None:
        """Refuses the request that is being read, or closes the connection of a client that does not read."""
        if self.is_reading and not self.is_refused:
            self.refuse(OverloadedError("others need the memory or the connection"))
        else:
            self.transport.abortConnection()
        self.holding.release()

    # --- what it is doing ---

    @property
    def is_idle(self) -> bool:
        """Whether it is between two requests."""
        return not self.requests and not self._buffer and not self.is_refused

    @property
    def is_reading(self) -> bool:
        """Whether it is in the middle of a request that was not read whole, or closing after one."""
        return not self._handlingRequest and not self.is_idle

    def close_idle(self) -> None:
        """Closes a connection between two requests."""
        if unsent_bytes(self.transport):
            self.transport.abortConnection()
        else:
            self.loseConnection()

    def sent(self) -> None:
        """Called after each write: a client that does not take its answer, while others need the room, is cut off."""
        if not self.keep_room():
            self.transport.abortConnection()

    def requestDone(self, request: Request) -> None:
        """Called by twisted.web after the response. A client that has not taken it gets no further one."""
        if unsent_bytes(self.transport) and (self._dataBuffer or self._buffer):
            self.persistent = False
        if not self.persistent:
            self.callLater(IDLE_CLIENT_TIME, self.transport.abortConnection)
        if self in self._connections.open:
            del self._connections.open[self]
            self._connections.open[self] = None
        super().requestDone(request)
        self.keep_room()

    # --- time and refusals ---

    def read_whole(self) -> None:
        """Called when a request was read to its end."""
        self._stop_waiting()

    def _stop_waiting(self) -> None:
        if self._due is not None and self._due.active():
            self._due.cancel()
        self._due = None

    def _on_due(self) -> None:
        if self.is_reading and not self.is_refused:
            self.refuse(DeadlineExceededError("the request did not arrive in time", retry_after=None))

    def refuse(self, error: OakrampError) -> None:
        """Rejects what is being read. Data that still arrives is read and dropped for LINGER_TIME: closing with unread
        bytes would reset the connection, and the reset may overtake the response."""
        status = REFUSAL_STATUSES.get(error.code, 503)
        self.is_refused = True
        body = pack_json(error.to_json()) + b"\n"
        retry = b"Retry-After: 1\r\n" if status == 503 else b""
        self.transport.write(
            b"HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nConnection: close\r\n%bContent-Length: %d\r\n\r\n%s"
            % (status, http.RESPONSES[status], retry, len(body), body)
        )
        self._stop_waiting()
        self.body_size = 0
        for request in self.requests:
            request.content, request.requestHeaders = BytesIO(), Headers()
        self._buffer = b""
        self.keep_room()
        self._due = self.callLater(LINGER_TIME, self.transport.abortConnection)
        self.transport.loseWriteConnection()


class Request(http.Request):
    """Hands a complete request to `server`. Refuses a body that is too large while it arrives, before it fills memory
    or disk."""

    server: Any = None
    body_limit = BODY_LIMIT
    channel: Any

    def gotLength(self, length: int | None) -> None:
        """Called by twisted.web with the body's length, or None if it is not known beforehand."""
        if length is not None and length > self.body_limit:
            self._refuse_size()
        self.content = BytesIO()  # the size is limited, so it needs no file

    def handleContentChunk(self, data: bytes) -> None:
        """Called by twisted.web with each part of the body."""
        if self.channel.is_refused:
            return
        self.channel.body_size += len(data)
        if self.channel.body_size > self.body_limit:
            self._refuse_size()
            return
        if not self.channel.keep_room():
            self.channel.refuse(OverloadedError("no memory for this request"))
            return
        super().handleContentChunk(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        """Called by twisted.web at the end of the body; a refused request goes no further."""
        if not self.channel.is_refused:
            self.channel.read_whole()
            super().requestReceived(command, path, version)

    def process(self) -> None:
        """Called by twisted.web once the whole request has arrived."""
        self.setHeader(b"date", http.datetimeToString())
        self.postpath = [unquote_to_bytes(segment) for segment in self.path[1:].split(b"/")]
        self.server.handle(self)

    def write(self, data: bytes) -> None:
        """Writes a part of the response; to a HEAD request only its headers."""
        super().write(b"" if self.method == b"HEAD" else data)
        if self.channel is not None:
            self.channel.sent()

    def _refuse_size(self) -> None:
        self.channel.refuse(TooLargeError(f"body is over {self.body_limit} bytes"))


class RequestFactory(http.HTTPFactory):
    """Connections whose requests are instances of `request_class`."""

    noisy = False

    def __init__(self, request_class: type[Request], reactor: Any, connections: Any) -> None:
        super().__init__(timeout=IDLE_CLIENT_TIME, reactor=reactor)
        self._request_class, self._connections = request_class, connections

    def buildProtocol(self, addr: IAddress) -> Channel:
        """A connection for requests of this class."""
        channel = Channel(self._connections, getattr(addr, "host", ""))
        channel.requestFactory = self._request_class
        channel.factory = self
        channel.timeOut = self.timeOut
        channel.callLater = self.reactor.callLater
        return channel
