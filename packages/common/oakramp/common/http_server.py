"""JSON over HTTP with twisted.web.http: routes, body limits, errors with their verdict."""

from twisted.internet import defer, protocol

from oakramp.common.constants import BODY_LIMIT, JSON_CONNECTIONS_LIMIT, LOG_PAUSE, QUIET_TIME
from oakramp.common.errors import BadRequestError, NotFoundError, OakrampError, OverloadedError, Verdict
from oakramp.common.log_rate_limit import LogRateLimit
from oakramp.common.memory_account import MemoryAccount
from oakramp.common.process_limits import limits_of
from oakramp.common.settings import split_address
from oakramp.common.tasks import sleep, spawn
from oakramp.common.validation import pack_json, parse_json


class HttpCall:
    """One request as it is passed to handlers."""

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
        """Responds with JSON, or with bytes as they are; `retry_after` is in seconds."""
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
        """Responds with an error in the form that clients get."""
        self.reply(error.status, error.to_json(), error.retry_after)


class _Connections(protocol.Factory):
    """Connections to a server. Their implementation is imported with the first one: many daemons never get a request on
    this interface, and the import would take a twentieth of their start.

    Invariants: `_factory` is never started, as that would set up an unused access log, with a timer; `open` holds every
    open connection that was not told to make place for another, of the idle ones those that have been idle longest
    first."""

    noisy = False

    def __init__(self, server, body_limit, reactor, memory_account, limit, log):
        self._server, self._body_limit, self._reactor = server, body_limit, reactor
        self._limit, self._log, self._log_limit = limit, log, LogRateLimit(reactor, LOG_PAUSE)
        self.memory_account = memory_account
        self.open = {}
        self._factory = None

    def buildProtocol(self, addr):
        if self._factory is None:
            self._factory = self._request_factory()
        if len(self.open) >= self._limit and not self._make_place():
            return None
        return self._factory.buildProtocol(addr)

    def _make_place(self):
        """Closes the connection that has been idle longest, or else the one that has been in the middle of a request
        longest. Returns whether there was one."""
        left_out = self._log_limit.take()
        if left_out is not None:
            self._log.info("json_connection_limit_reached", connections=len(self.open), left_out=left_out)
        idle_longest = next((one for one in self.open if one.is_idle), None)
        if idle_longest is not None:
            del self.open[idle_longest]
            idle_longest.close_idle()
            return True
        reading_longest = next((one for one in self.open if one.is_reading), None)
        if reading_longest is not None:
            del self.open[reading_longest]
            reading_longest.transport.abortConnection()
            return True
        return False

    def _request_factory(self):
        from oakramp.common.http_channel import Request, RequestFactory

        request_class = type("Request", (Request,), {"server": self._server, "body_limit": self._body_limit})
        return RequestFactory(request_class, self._reactor, self)


class HttpServer:
    """Routes of one daemon. A handler is a coroutine function of an HttpCall; it returns (status, value),
    or None if it has sent the response itself. `running` counts the requests being handled, for a graceful stop.

    What it keeps of its clients' bytes is in `memory_account`, by default one of its own."""

    def __init__(
        self,
        reactor,
        address,
        log,
        limit,
        body_limit=BODY_LIMIT,
        memory_account=None,
        connections_limit=JSON_CONNECTIONS_LIMIT,
    ):
        memory_account = memory_account or MemoryAccount(reactor, limits_of("gate", {}).account_bytes, log)
        self._reactor, self._address, self._log, self._limit = reactor, address, log, limit
        self._routes = []
        self.running = 0
        self._port = None
        self.stopping = False
        self._connections = _Connections(self, body_limit, reactor, memory_account, connections_limit, log)

    def route(self, method, path, handler):
        """Registers a handler; a path segment in braces matches any text and is passed under its name."""
        self._routes.append((method.encode(), path.strip("/").split("/"), handler))

    def listen(self):
        """Starts accepting connections."""
        host, port = split_address(self._address)
        self._port = self._reactor.listenTCP(port, self._connections, interface=host)

    async def stop(self):
        """Stops accepting connections and breaks none: returns once all requests in progress are answered, including
        those sent on a connection that was already open."""
        self.stopping = True
        if self._port is not None:
            self._port.doRead()  # accepts the pending connections, since closing the port would reset them
            await defer.maybeDeferred(self._port.stopListening)
        quiet_since = self._reactor.seconds()
        while self._reactor.seconds() - quiet_since < QUIET_TIME and self._connections.open:
            await sleep(self._reactor, QUIET_TIME / 10)
            if self.running:
                quiet_since = self._reactor.seconds()
        for connection in list(self._connections.open):
            connection.transport.loseConnection()
        await sleep(self._reactor, QUIET_TIME / 10)

    def _find(self, request):
        try:
            parts = [part.decode() for part in request.postpath]
        except UnicodeDecodeError as error:
            raise BadRequestError("path is not UTF-8") from error
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
            raise BadRequestError(f"{request.method.decode(errors='replace')} is not allowed for this path")
        raise NotFoundError("no such path")

    def handle(self, request):
        """Handles a request that has arrived."""
        spawn(self._run(request), self._log)

    async def _run(self, request):
        self.running += 1
        holding = None
        call = HttpCall(request, {})
        if self.stopping:
            request.setHeader(b"connection", b"close")
        try:
            handler, call.names = self._find(request)
            if self.running > self._limit:
                raise OverloadedError("too many requests are in progress on this node", retry_after=1)
            holding = request.channel.hold_request(request)
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
            if holding is not None:
                holding.release()
