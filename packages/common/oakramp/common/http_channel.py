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

from oakramp.common.constants import BODY_LIMIT, IDLE_CLIENT_TIME, LINGER_TIME
from oakramp.common.errors import TooLargeError
from oakramp.common.validation import pack_json

if TYPE_CHECKING:
    from twisted.internet.interfaces import IAddress
    from twisted.python.failure import Failure


class Request(http.Request):
    """Hands a complete request to `server`. Refuses a body that is too large while it arrives, before it fills memory
    or disk."""

    server = None
    body_limit = BODY_LIMIT
    _arrived = 0
    _closing = None

    def gotLength(self, length: int | None) -> None:
        """Called by twisted.web with the body's length, or None if it is not known beforehand."""
        if length is not None and length > self.body_limit:
            self._refuse()
        self.content = BytesIO()  # the size is limited, so it needs no file

    def handleContentChunk(self, data: bytes) -> None:
        """Called by twisted.web with each part of the body."""
        self._arrived += len(data)
        if self._closing is not None:
            return
        if self._arrived > self.body_limit:
            self._refuse()
            return
        super().handleContentChunk(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        """Called by twisted.web at the end of the body; a refused request goes no further."""
        if self._closing is None:
            super().requestReceived(command, path, version)
            return
        if self._closing.active():
            self._closing.cancel()
            self.channel.loseConnection()

    def process(self) -> None:
        """Called by twisted.web once the whole request has arrived."""
        self.setHeader(b"date", http.datetimeToString())
        self.postpath = [unquote_to_bytes(segment) for segment in self.path[1:].split(b"/")]
        self.server.handle(self)

    def write(self, data: bytes) -> None:
        """Writes a part of the response; to a HEAD request only its headers."""
        super().write(b"" if self.method == b"HEAD" else data)

    def connectionLost(self, reason: Failure) -> None:
        """Called by twisted.web when the client has disconnected."""
        if self._closing is not None and self._closing.active():
            self._closing.cancel()
        super().connectionLost(reason)

    def _refuse(self) -> None:
        """Rejects the request. Data that still arrives is read and dropped for LINGER_TIME: closing with unread bytes
        would reset the connection, and the reset may overtake the response."""
        body = pack_json(TooLargeError(f"body is over {self.body_limit} bytes").to_json()) + b"\n"
        self.channel.transport.write(
            b"HTTP/1.1 413 Request Entity Too Large\r\nContent-Type: application/json\r\nConnection: close\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
        )
        self._closing = self.channel.callLater(LINGER_TIME, self.channel.loseConnection)


class RequestFactory(http.HTTPFactory):
    """Connections whose requests are instances of `request_class`."""

    noisy = False

    def __init__(self, request_class: type[Request], reactor: Any) -> None:
        super().__init__(timeout=IDLE_CLIENT_TIME, reactor=reactor)
        self._request_class = request_class

    def buildProtocol(self, addr: IAddress) -> http.HTTPChannel:
        """A connection for requests of this class."""
        channel = super().buildProtocol(addr)
        channel.requestFactory = self._request_class
        return channel
