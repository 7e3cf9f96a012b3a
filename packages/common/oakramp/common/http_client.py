"""HTTP/1.1 requests with twisted.web, each on a connection of its own.

A connection that is not shared keeps the verdict exact: unless the connection was made, nothing was sent.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from twisted.internet import defer, error, protocol
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.web.client import Agent, HTTPConnectionPool, ResponseDone
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer
from zope.interface import implementer

from oakramp.common.constants import BODY_LIMIT, CONNECT_TIME
from oakramp.common.errors import (
    BadRequestError,
    IncompleteResponseError,
    OakrampError,
    OutcomeUnknownError,
    TooLargeError,
    UnreachableError,
    Verdict,
)
from oakramp.common.settings import split_address
from oakramp.common.tasks import begin, within
from oakramp.common.tcp_options import limit_unacknowledged
from oakramp.common.validation import pack_json, parse_json

if TYPE_CHECKING:
    from twisted.internet.interfaces import IConsumer
    from twisted.python.failure import Failure


@implementer(IBodyProducer)
class _Body:
    def __init__(self, data):
        self._data, self.length = data, len(data)

    def startProducing(self, consumer: IConsumer) -> defer.Deferred[None]:
        consumer.write(self._data)
        return defer.succeed(None)

    def pauseProducing(self) -> None:
        pass

    def resumeProducing(self) -> None:
        pass

    def stopProducing(self) -> None:
        pass


@implementer(IAgentEndpointFactory)
class _Endpoints:
    """`before_send` is awaited once the connection is established; `last_check` runs after it, in the same reactor turn
    in which the request is written."""

    def __init__(self, reactor, bind_host, last_check=None, unacknowledged_s=None, before_send=None):
        self._reactor, self._bind_host, self._last_check = reactor, bind_host, last_check
        self._unacknowledged_s, self._before_send = unacknowledged_s, before_send

    def endpointForURI(self, uri):
        bound = (self._bind_host, 0) if self._bind_host else None
        endpoint = TCP4ClientEndpoint(self._reactor, uri.host.decode(), uri.port, CONNECT_TIME, bound)
        return _CheckedEndpoint(endpoint, self._last_check, self._unacknowledged_s, self._before_send)


@implementer(IStreamClientEndpoint)
class _CheckedEndpoint:
    def __init__(self, endpoint, last_check, unacknowledged_s, before_send):
        self._endpoint, self._last_check, self._unacknowledged_s = endpoint, last_check, unacknowledged_s
        self._before_send = before_send

    def connect(self, factory):
        connecting = self._endpoint.connect(factory)
        if self._before_send:
            connecting.addCallback(self._prepare)
        return connecting.addCallback(self._check) if self._last_check else connecting

    def _prepare(self, connection):
        def failed(failure):
            connection.transport.abortConnection()
            return failure

        return begin(self._before_send()).addCallbacks(lambda _: connection, failed)

    def _check(self, connection):
        if self._unacknowledged_s is not None:
            limit_unacknowledged(connection.transport, self._unacknowledged_s)
        try:
            self._last_check()
        except Exception:
            connection.transport.abortConnection()
            raise
        return connection


class BodyLines(protocol.Protocol):
    """The body of a response as lines, read by one task.

    Invariants: `_lines` holds complete lines only, and the sender is paused while more than `most` wait;
    `ended` is set once nothing more arrives, however the body ended."""

    def __init__(self, line_limit, most=64):
        self._line_limit, self._most = line_limit, most
        self._lines = deque()
        self._rest = b""
        self._waiting = None
        self.ended = False
        self.whole = False

    def dataReceived(self, data: bytes) -> None:
        """Splits arriving data into lines; reading pauses while too many wait."""
        if self.ended:
            return
        *lines, self._rest = (self._rest + data).split(b"\n")
        self._lines.extend(line for line in lines if line.strip())
        if len(self._rest) > self._line_limit or any(len(line) > self._line_limit for line in lines):
            self._end(False)
            self.abort()
            return
        if len(self._lines) > self._most:
            self.transport.pauseProducing()
        self._wake()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        """Ends the body; it is complete only if its last line was."""
        # A truncated body has another reason; a last line without its line feed is not counted in either case.
        self._end(bool(reason.check(ResponseDone)) and not self._rest)

    def _end(self, whole):
        if not self.ended:
            self.ended, self.whole = True, whole
            self._wake()

    def _wake(self):
        if self._waiting is not None and (self._lines or self.ended):
            waiting, self._waiting = self._waiting, None
            waiting.callback(None)

    async def next(self) -> bytes | None:
        """The next line, or None once the body has ended."""
        if not self._lines and not self.ended:
            self._waiting = defer.Deferred()
            await self._waiting
        if self._lines:
            line = self._lines.popleft()
            if not self.ended and len(self._lines) == self._most // 2:
                self.transport.resumeProducing()
            return line
        return None

    def abort(self) -> None:
        """Closes the connection, so that the other side learns that nobody reads any more."""
        self._end(False)
        transport = getattr(self.transport, "_producer", self.transport)
        closing = getattr(transport, "abortConnection", None) or getattr(transport, "loseConnection", None)
        if closing is not None:
            closing()


class _WholeBody(protocol.Protocol):
    def __init__(self, limit, outcome):
        self._limit, self._outcome, self._parts, self._size = limit, outcome, [], 0

    def dataReceived(self, data: bytes) -> None:
        self._size += len(data)
        if self._size > self._limit and not self._outcome.called:
            self._outcome.errback(TooLargeError(f"response is over {self._limit} bytes", Verdict.MAYBE))
        if not self._outcome.called:
            self._parts.append(data)

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        if self._outcome.called:
            return
        if reason.check(ResponseDone):
            self._outcome.callback(b"".join(self._parts))
            return
        self._outcome.errback(OutcomeUnknownError("the response was truncated"))


class HttpClient:
    """Sends requests, each on a connection of its own."""

    def __init__(self, reactor, bind_host=None):
        self._reactor, self._bind_host = reactor, bind_host
        self._pool = HTTPConnectionPool(reactor, persistent=False)

    async def probe(self, address: str, time_left: float) -> None:
        """Opens a connection and closes it. Raises UnreachableError if none is made within `time_left` seconds."""
        host, port = split_address(address)
        bound = (self._bind_host, 0) if self._bind_host else None
        endpoint = TCP4ClientEndpoint(self._reactor, host, port, time_left, bound)
        try:
            connection = await endpoint.connect(protocol.Factory.forProtocol(protocol.Protocol))
        except error.ConnectError as fault:
            raise UnreachableError(f"{address} cannot be reached: {fault!r}") from fault
        connection.transport.loseConnection()

    async def send(
        self,
        method,
        address,
        path,
        value,
        time_left,
        last_check=None,
        more_headers=None,
        unacknowledged_s=None,
        before_send=None,
    ):
        """Returns the head of the response. An error has verdict NO only if no connection was made, or `before_send` or
        `last_check` raised it.

        `more_headers` are texts by name, sent in addition to this client's own. With `last_check`, the kernel drops a
        connection on which nothing is acknowledged for `unacknowledged_s` seconds.
        """
        body = None if value is None else _Body(pack_json(value))
        headers = Headers({"content-type": ["application/json"], "connection": ["close"]})
        for name, text in (more_headers or {}).items():
            headers.setRawHeaders(name, [text])
        endpoints = _Endpoints(self._reactor, self._bind_host, last_check, unacknowledged_s, before_send)
        agent = Agent.usingEndpointFactory(self._reactor, endpoints, self._pool)
        asked = agent.request(method.encode(), f"http://{address}{path}".encode(), headers, body)
        try:
            return await within(
                self._reactor, time_left, asked, OutcomeUnknownError(f"{address} did not answer in time")
            )
        except (error.ConnectError, error.ConnectingCancelledError) as fault:
            raise UnreachableError(f"{address} cannot be reached: {fault!r}") from fault
        except OakrampError:
            raise
        except Exception as fault:
            raise OutcomeUnknownError(f"{address} failed during the request: {fault!r}") from fault

    async def data(
        self,
        method,
        address,
        path,
        value,
        time_left,
        limit=BODY_LIMIT,
        last_check=None,
        more_headers=None,
        unacknowledged_s=None,
        before_send=None,
    ):
        """Returns (status, bytes) of a small response."""
        ends_at = self._reactor.seconds() + time_left
        response = await self.send(
            method, address, path, value, time_left, last_check, more_headers, unacknowledged_s, before_send
        )
        outcome = defer.Deferred(lambda _: None)
        response.deliverBody(_WholeBody(limit, outcome))
        return response.code, await within(
            self._reactor,
            ends_at - self._reactor.seconds(),
            outcome,
            OutcomeUnknownError(f"{address} did not finish its response in time"),
        )

    async def json(self, method, address, path, value, time_left, limit=BODY_LIMIT, last_check=None):
        """Returns (status, JSON object) of a small response."""
        status, data = await self.data(method, address, path, value, time_left, limit, last_check)
        try:
            return status, parse_json(data, limit, "answer")
        except BadRequestError as fault:
            raise IncompleteResponseError(
                f"{address} sent a response that is not JSON: {fault.reason}", Verdict.MAYBE
            ) from fault
