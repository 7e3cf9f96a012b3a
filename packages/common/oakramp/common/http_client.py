"""HTTP/1.1 requests with twisted.web, each on a connection of its own.

A connection that is not shared keeps the verdict exact: unless the connection was made, nothing was sent.

twisted.web's parser keeps all header lines of a response, so its bytes are counted before it gets them
(`_BoundedConnection`). A response that takes too much, or too long, is cut off.
"""

from __future__ import annotations

import re
from contextlib import contextmanager
from typing import TYPE_CHECKING

from twisted.internet import defer, error, protocol
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory
from twisted.web.client import Agent, HTTPConnectionPool, ResponseDone
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer
from zope.interface import implementer

from oakramp.common.backend_room import BackendRoom, Part
from oakramp.common.constants import (
    BODY_LIMIT,
    CHUNK_FRAMING_FACTOR,
    CONNECT_TIME,
    FIELD_COST,
    RESPONSE_FIELDS_LIMIT,
    RESPONSE_HEAD_LIMIT,
)
from oakramp.common.errors import (
    BadRequestError,
    IncompleteResponseError,
    OakrampError,
    OutcomeUnknownError,
    ResponseLimitError,
    UnreachableError,
    Verdict,
)
from oakramp.common.json_cost import parsed_size
from oakramp.common.settings import split_address
from oakramp.common.tasks import begin, within
from oakramp.common.tcp_options import limit_received, limit_unacknowledged
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


_BLANK_LINE = re.compile(rb"\n\r?\n")


class _ResponseMeter:
    """Counts the bytes of one response on the wire. Invariant: `error` is set once the response is over a limit, or had
    to give way to others; its connection, `transport`, is then closed."""

    def __init__(self, room, address, wire_limit=None):
        """`wire_limit` is the most bytes of the whole response, with its framing, or None."""
        self.holding, self._wire_limit = room.holding(address, self.cut_off), wire_limit
        self.transport = None
        self._size = self._fields = 0
        self._has_blank_line = self.is_head_over = False
        self.error = None

    def cut_off(self, error):
        """Closes the connection; the response fails with this error."""
        if self.error is None:
            self.error = error
            if self.transport is not None:
                self.transport.abortConnection()

    def take(self, data):
        """Takes room for what the head in `data` adds. Raises ResponseLimitError."""
        self._size += len(data)
        if self._wire_limit is not None and self._size > self._wire_limit:
            raise self.holding.limit_error(Part.BODY, self._size, self._wire_limit)
        if self.is_head_over:
            return
        if not self._has_blank_line:
            blank_line = _BLANK_LINE.search(data)
            self._has_blank_line = blank_line is not None
            self._fields += data.count(b"\n", 0, blank_line.end() if blank_line else len(data))
        if self._size > 2 * RESPONSE_HEAD_LIMIT:  # the first read may hold a body behind the head
            raise self.holding.limit_error(Part.HEAD, self._size, 2 * RESPONSE_HEAD_LIMIT)
        cost = FIELD_COST * self._fields
        if self._fields > RESPONSE_FIELDS_LIMIT:
            raise self.holding.limit_error(Part.HEAD, cost, FIELD_COST * RESPONSE_FIELDS_LIMIT)
        self.holding.keep(Part.HEAD, self._size + cost)


class _BoundedConnection(ProtocolWrapper):
    """Passes a response on to twisted.web as long as it is within its limits."""

    def connectionMade(self) -> None:
        """Has little read at a time, since twisted.web decodes all that has come in one turn of the reactor."""
        self.factory.meter.transport = self.transport
        limit_received(self.transport)
        super().connectionMade()

    def dataReceived(self, data: bytes) -> None:
        """Counts the data before it is parsed."""
        meter = self.factory.meter
        if meter.error is not None:
            return
        try:
            meter.take(data)
        except ResponseLimitError as error:
            meter.cut_off(error)
            return
        super().dataReceived(data)


class _BoundedFactory(WrappingFactory):
    noisy = False
    protocol = _BoundedConnection

    def __init__(self, wrapped, meter):
        super().__init__(wrapped)
        self.meter = meter


def _abort(transport):
    """Closes the connection from which a body is delivered."""
    transport = getattr(transport, "_producer", transport)
    closing = getattr(transport, "abortConnection", None) or getattr(transport, "loseConnection", None)
    if closing is not None:
        closing()


@implementer(IAgentEndpointFactory)
class _Endpoints:
    """`before_send` is awaited once the connection is established; `last_check` runs after it, in the same reactor turn
    in which the request is written."""

    def __init__(self, reactor, bind_host, meter, last_check=None, unacknowledged_s=None, before_send=None):
        self._meter = meter
        self._reactor, self._bind_host, self._last_check = reactor, bind_host, last_check
        self._unacknowledged_s, self._before_send = unacknowledged_s, before_send

    def endpointForURI(self, uri):
        bound = (self._bind_host, 0) if self._bind_host else None
        endpoint = TCP4ClientEndpoint(self._reactor, uri.host.decode(), uri.port, CONNECT_TIME, bound)
        return _CheckedEndpoint(endpoint, self._meter, self._last_check, self._unacknowledged_s, self._before_send)


@implementer(IStreamClientEndpoint)
class _CheckedEndpoint:
    def __init__(self, endpoint, meter, last_check, unacknowledged_s, before_send):
        self._meter = meter
        self._endpoint, self._last_check, self._unacknowledged_s = endpoint, last_check, unacknowledged_s
        self._before_send = before_send

    def connect(self, factory):
        connecting = self._endpoint.connect(_BoundedFactory(factory, self._meter))
        connecting.addCallback(lambda connection: connection.wrappedProtocol)
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

    Invariants: `_unread` holds what has arrived and was not returned yet, and the sender is paused while it is longer
    than a line may be; `ended` is set once nothing more arrives, however the body ended; `error` if that was for a
    limit; `_tail` is the length of the line that has not ended; `holding` is that of the response."""

    def __init__(self, line_limit, meter=None):
        """`line_limit` is in bytes; `meter` is what counts the response."""
        self._line_limit = line_limit
        self._meter = meter or _ResponseMeter(BackendRoom(), "")
        self.holding = self._meter.holding
        self._unread, self._tail = bytearray(), 0
        self._is_paused = False
        self._waiting = None
        self.ended = False
        self.whole = False
        self.error = None

    def dataReceived(self, data: bytes) -> None:
        """Keeps arriving data; reading pauses while more than a line is unread."""
        if self.ended:
            return
        line_end = data.rfind(b"\n")
        tail = len(data) - line_end - 1 + (self._tail if line_end < 0 else 0)
        try:
            self.holding.keep(Part.BODY, len(self._unread) + len(data))
            if tail > self._line_limit:
                raise self.holding.limit_error(Part.EVENT, tail, self._line_limit)
        except ResponseLimitError as error:
            self.error = error
            self.abort()
            return
        self._unread += data
        self._tail = tail
        if len(self._unread) > self._line_limit and not self._is_paused:
            self._is_paused = True
            self.transport.pauseProducing()
        if b"\n" in data:
            self._wake()

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        """Ends the body; it is complete only if its last line was."""
        # A truncated body has another reason; a last line without its line feed is not counted in either case.
        self.error = self.error or self._meter.error
        self._end(bool(reason.check(ResponseDone)) and not self._tail)

    def _end(self, whole):
        if not self.ended:
            self.ended, self.whole = True, whole
            self._wake()

    def _wake(self):
        if self._waiting is not None:
            waiting, self._waiting = self._waiting, None
            waiting.callback(None)

    async def next(self) -> bytes | None:
        """The next line that is not blank, or None once the body has ended."""
        while True:
            if self._unread[:1] in b"\r\n":
                del self._unread[: len(self._unread) - len(self._unread.lstrip(b"\r\n"))]
            end = self._unread.find(b"\n")
            if end >= 0:
                line = bytes(self._unread[:end])
                del self._unread[: end + 1]
                self.holding.keep(Part.BODY, len(self._unread))
                self._read_on()
                if len(line) > self._line_limit:
                    self.error = self.holding.limit_error(Part.EVENT, len(line), self._line_limit)
                    self.abort()
                    return None
                if line.strip():
                    return line
                continue
            if self.ended:
                return None
            self._waiting = defer.Deferred()
            await self._waiting

    def _read_on(self):
        if self._is_paused and not self.ended and len(self._unread) <= self._line_limit // 2:
            self._is_paused = False
            self.transport.resumeProducing()

    def abort(self) -> None:
        """Closes the connection, so that the other side learns that nobody reads any more."""
        self._end(False)
        _abort(self.transport)


class _WholeBody(protocol.Protocol):
    """Gathers a body of at most `limit` bytes. A body whose `outcome` is known is cut off."""

    def __init__(self, limit, meter):
        self._limit, self._meter, self._data = limit, meter, bytearray()
        self.outcome = defer.Deferred(lambda _: _abort(self.transport))

    def dataReceived(self, data: bytes) -> None:
        """Keeps arriving data, for which it takes room."""
        if self.outcome.called:
            return
        size, holding = len(self._data) + len(data), self._meter.holding
        try:
            if size > self._limit:
                raise holding.limit_error(Part.BODY, size, self._limit)
            holding.keep(Part.BODY, 2 * size)  # it is copied at its end
        except ResponseLimitError as error:
            self.outcome.errback(error)
            _abort(self.transport)
            return
        self._data += data

    def connectionLost(self, reason: Failure = protocol.connectionDone) -> None:
        """Ends the body."""
        if self.outcome.called:
            return
        if reason.check(ResponseDone):
            self.outcome.callback(bytes(self._data))
            return
        self.outcome.errback(self._meter.error or OutcomeUnknownError("the response was truncated"))


class HttpClient:
    """Sends requests, each on a connection of its own. What is kept of responses is in `room`."""

    def __init__(self, reactor, bind_host=None, room=None):
        self._reactor, self._bind_host, self.room = reactor, bind_host, room or BackendRoom()
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
        meter=None,
    ):
        """Returns the head of the response. An error has verdict NO only if no connection was made, or `before_send` or
        `last_check` raised it.

        `more_headers` are texts by name, sent in addition to this client's own. With `last_check`, the kernel drops a
        connection on which nothing is acknowledged for `unacknowledged_s` seconds. The response is counted by `meter`.
        """
        meter = meter or self.meter(address)
        body = None if value is None else _Body(pack_json(value))
        headers = Headers({"content-type": ["application/json"], "connection": ["close"]})
        for name, text in (more_headers or {}).items():
            headers.setRawHeaders(name, [text])
        endpoints = _Endpoints(self._reactor, self._bind_host, meter, last_check, unacknowledged_s, before_send)
        agent = Agent.usingEndpointFactory(self._reactor, endpoints, self._pool)
        asked = agent.request(method.encode(), f"http://{address}{path}".encode(), headers, body)
        try:
            response = await within(
                self._reactor, time_left, asked, OutcomeUnknownError(f"{address} did not answer in time")
            )
            meter.is_head_over = True
            return response
        except (error.ConnectError, error.ConnectingCancelledError) as fault:
            raise UnreachableError(f"{address} cannot be reached: {fault!r}") from fault
        except OakrampError:
            raise
        except Exception as fault:
            if meter.error is not None:
                raise meter.error from fault
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
        """Returns (status, bytes) of a small response. Raises ResponseLimitError if its body is over `limit` bytes."""
        ends_at = self._reactor.seconds() + time_left
        meter = self.meter(address, 2 * RESPONSE_HEAD_LIMIT + CHUNK_FRAMING_FACTOR * limit)
        try:
            response = await self.send(
                method, address, path, value, time_left, last_check, more_headers, unacknowledged_s, before_send, meter
            )
            body = _WholeBody(limit, meter)
            response.deliverBody(body)
            return response.code, await within(
                self._reactor,
                ends_at - self._reactor.seconds(),
                body.outcome,
                OutcomeUnknownError(f"{address} did not finish its response in time"),
            )
        except ResponseLimitError as error:
            self.room.report(error)
            raise
        finally:
            meter.holding.release()

    def meter(self, address, wire_limit=None):
        """What counts the bytes of one response of the back end at this address."""
        return _ResponseMeter(self.room, address, wire_limit)

    @contextmanager
    def room_to_parse(self, address, data):
        """Takes room for the values of the JSON in `data`, from the back end at this address, as long as they are used.

        Raises:
            ResponseLimitError: there is none.
        """
        holding = self.room.holding(address)
        try:
            holding.keep(Part.BODY, parsed_size(data))
            yield
        except ResponseLimitError as error:
            self.room.report(error)
            raise
        finally:
            holding.release()

    async def json(self, method, address, path, value, time_left, limit=BODY_LIMIT, last_check=None):
        """Returns (status, JSON object) of a small response.

        Raises:
            ResponseLimitError: it is over `limit` bytes, or there is no room to parse it.
        """
        status, data = await self.data(method, address, path, value, time_left, limit, last_check)
        try:
            with self.room_to_parse(address, data):
                return status, parse_json(data, limit, "answer")
        except BadRequestError as fault:
            raise IncompleteResponseError(
                f"{address} sent a response that is not JSON: {fault.reason}", Verdict.MAYBE
            ) from fault
