"""JSON over HTTP with twisted.web.http: routes, body limits, errors with their verdict.

`twisted.web.server` is left out: its resources and sessions are not used here, and importing it would take an eighth
of a daemon's start.
"""

from io import BytesIO
from urllib.parse import unquote_to_bytes

from twisted.internet import defer
from twisted.protocols import policies
from twisted.web import http

from oakramp.common.constants import BODY_LIMIT, IDLE_CALLER_TIME, LINGER_TIME, QUIET_TIME
from oakramp.common.errors import BadRequestError, NotFoundError, OakrampError, OverloadedError, TooLargeError, Verdict
from oakramp.common.settings import split_address
from oakramp.common.tasks import sleep, spawn
from oakramp.common.validation import pack_json, parse_json


class _Request(http.Request):
    """Hands a complete request to `server`. Refuses a body that is too large while it arrives, before it fills memory
    or disk."""

    server = None
    body_limit = BODY_LIMIT
    _arrived = 0
    _closing = None

    def gotLength(self, length):
        if length is not None and length > self.body_limit:
            self._refuse()
        self.content = BytesIO()  # the limit bounds it, so it needs no file

    def handleContentChunk(self, data):
        self._arrived += len(data)
        if self._closing is not None:
            return
        if self._arrived > self.body_limit:
            self._refuse()
            return
        super().handleContentChunk(data)

    def requestReceived(self, command, path, version):
        if self._closing is None:
            super().requestReceived(command, path, version)
            return
        if self._closing.active():
            self._closing.cancel()
            self.channel.loseConnection()

    def process(self):
        """Called by twisted.web once the whole request is here."""
        self.setHeader(b"date", http.datetimeToString())
        self.postpath = [unquote_to_bytes(segment) for segment in self.path[1:].split(b"/")]
        self.server.handle(self)

    def write(self, data):
        """Writes a part of the response; to a HEAD request only its headers."""
        super().write(b"" if self.method == b"HEAD" else data)

    def connectionLost(self, reason):
        if self._closing is not None and self._closing.active():
            self._closing.cancel()
        super().connectionLost(reason)

    def _refuse(self):
        """What still comes is read and dropped for a while: closed with unread bytes, the connection would be reset,
        and that may overtake the answer."""
        body = pack_json(TooLargeError(f"body is over {self.body_limit} bytes").to_json()) + b"\n"
        self.channel.transport.write(
            b"HTTP/1.1 413 Request Entity Too Large\r\nContent-Type: application/json\r\nConnection: close\r\n"
            b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
        )
        self._closing = self.channel.callLater(LINGER_TIME, self.channel.loseConnection)


class HttpCall:
    """One request as the handlers see it."""

    def __init__(self, request, names):
        self.request, self.names = request, names
        self.gone = defer.Deferred()
        self.is_gone = False
        request.notifyFinish().addErrback(self._left)

    def _left(self, _failure):
        self.is_gone = True
        self.gone.callback(None)

    def json(self):
        """The body as a JSON object. Raises BadRequestError or TooLargeError."""
        return parse_json(self.request.content.read(BODY_LIMIT + 1), BODY_LIMIT)

    def query(self, name):
        """The first value of a query parameter, or None."""
        values = self.request.args.get(name.encode())
        return values[0].decode(errors="replace") if values else None

    def reply(self, status, value, retry_after=None):
        """Answers with JSON, or with bytes as they are; `retry_after` is in seconds."""
        if self.is_gone:
            return
        body = value if isinstance(value, bytes) else pack_json(value) + b"\n"
        self.request.setResponseCode(status)
        self.request.setHeader(b"content-type", b"text/plain" if isinstance(value, bytes) else b"application/json")
        self.request.setHeader(b"content-length", b"%d" % len(body))
        if retry_after is not None:
            self.request.setHeader(b"retry-after", b"%g" % retry_after)
        self.request.write(body)
        self.request.finish()

    def reply_error(self, error):
        """Answers with an error as callers see it."""
        self.reply(error.status, error.to_json(), error.retry_after)


class _RequestFactory(http.HTTPFactory):
    """Connections whose requests are instances of `request_class`."""

    noisy = False

    def __init__(self, request_class, reactor):
        super().__init__(timeout=IDLE_CALLER_TIME, reactor=reactor)
        self._request_class = request_class

    def buildProtocol(self, addr):
        channel = super().buildProtocol(addr)
        channel.requestFactory = self._request_class
        return channel


class HttpServer:
    """Routes of one daemon. A handler is a coroutine function of an HttpCall; it returns (status, value),
    or None if it has answered by itself. `running` counts what is being handled, for a graceful stop."""

    def __init__(self, reactor, address, log, limit, body_limit=BODY_LIMIT):
        self._reactor, self._address, self._log, self._limit = reactor, address, log, limit
        self._routes = []
        self.running = 0
        self._port = None
        self.stopping = False
        request_class = type("Request", (_Request,), {"server": self, "body_limit": body_limit})
        self._connections = policies.WrappingFactory(_RequestFactory(request_class, reactor))
        self._connections.noisy = False

    def route(self, method, path, handler):
        """Enters a handler; a path segment in braces matches any text and is passed by its name."""
        self._routes.append((method.encode(), path.strip("/").split("/"), handler))

    def listen(self):
        """Starts to accept connections."""
        host, port = split_address(self._address)
        self._port = self._reactor.listenTCP(port, self._connections, interface=host)

    async def stop(self):
        """Takes no new connection and cuts none off: returns once everything under way is answered, also what
        was sent on a connection that was open already."""
        self.stopping = True
        if self._port is not None:
            self._port.doRead()  # whoever waits to be accepted is let in; closing would reset them
            await defer.maybeDeferred(self._port.stopListening)
        quiet_since = self._reactor.seconds()
        while self._reactor.seconds() - quiet_since < QUIET_TIME and self._connections.protocols:
            await sleep(self._reactor, QUIET_TIME / 10)
            if self.running:
                quiet_since = self._reactor.seconds()
        for connection in list(self._connections.protocols):
            connection.loseConnection()
        await sleep(self._reactor, QUIET_TIME / 10)

    def _find(self, request):
        try:
            parts = [part.decode() for part in request.postpath]
        except UnicodeDecodeError as error:
            raise BadRequestError("path is no UTF-8") from error
        path_known = False
        for method, pattern, handler in self._routes:
            if len(pattern) != len(parts) or any(
                not mask.startswith("{") and mask != part for mask, part in zip(pattern, parts)
            ):
                continue
            path_known = True
            if method == request.method:
                names = {mask.strip("{}"): part for mask, part in zip(pattern, parts) if mask.startswith("{")}
                return handler, names
        if path_known:
            raise BadRequestError(f"{request.method.decode(errors='replace')} is not for this path")
        raise NotFoundError("no such path")

    def handle(self, request):
        """Answers a request that has arrived."""
        spawn(self._run(request), self._log)

    async def _run(self, request):
        self.running += 1
        call = HttpCall(request, {})
        if self.stopping:
            request.setHeader(b"connection", b"close")
        try:
            handler, call.names = self._find(request)
            if self.running > self._limit:
                raise OverloadedError("too many requests are under way here", retry_after=1)
            answer = await handler(call)
            if answer is not None:
                call.reply(*answer)
        except OakrampError as error:
            call.reply_error(error)
        except Exception as error:
            self._log.error("request_crashed", path=request.path.decode(errors="replace"), error=repr(error))
            call.reply_error(OakrampError("internal fault", verdict=Verdict.MAYBE))
        finally:
            self.running -= 1
