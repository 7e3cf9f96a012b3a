"""One client's connection: requests are read from it one at a time, with strict parsing and time limits."""

import re

from twisted.internet import defer, protocol

from oakramp.common.constants import BODY_TIME, FIELD_COST, LINGER_TIME, READ_AHEAD_LIMIT
from oakramp.common.tcp_options import set_peer_options, unsent_bytes
from oakramp.http_proxy.body_reader import BodyReader
from oakramp.http_proxy.exchange import Exchange
from oakramp.http_proxy.framing import (
    BARE_LINE_FEED,
    TOKEN,
    MalformedMessageError,
    body_length,
    parse_fields,
    status_line,
)
from oakramp.http_proxy.sockets import read_now, send_now

_REQUEST_LINE = re.compile(rb"(" + TOKEN + rb") (/[\x21-\x7e]*) HTTP/1\.1\r\n")
_HOST = re.compile(rb"([^\s:/?#@\[\],]+|\[[0-9A-Fa-f:.]+\])(?::[0-9]*)?")
_EMPTY_LINES = re.compile(rb"(?:\r\n)+")


class DownstreamConnection(protocol.Protocol):
    """One client's connection. Invariants: `exchange` is the request being answered, `_reading` the one whose body is
    being read; at most one of them is set. Once `_closing` is set, nothing more is read as a request.

    Memory: `_holding` has room for `_buffer` and for what the client has not taken of its answers (`_unsent`), and
    `_reading.holding` for a request that is being read; once it is read whole, that room is pinned until its handler
    has ended, even if the client is gone by then.

    One timer serves all waits: `_due` is when the current one is over, and a timer that fires earlier is restarted."""

    def __init__(self, front, address):
        self.front = front
        self._holding = front.memory_account.holding(self, address)
        self._unsent = 0
        self.exchange = self._reading = None
        self.full = False
        self._buffer, self._scanned = b"", 0
        self._body = None
        self._limits = None
        self._due = self._timer = None
        self._arrived_at = 0.0  # when the newest bytes arrived: a pipelined request has waited since then
        self._advancing = self._closing = self._paused = False
        self._last = False
        self._writers = []

    # --- the connection ---

    def connectionMade(self):
        set_peer_options(self.transport, probes=False)
        self.transport.registerProducer(self, True)
        self._wait_idle()
        self.front.admit(self)

    def connectionLost(self, reason=protocol.connectionDone):
        self._closing = True
        self.front.clients.pop(self, None)
        self._drop_body()
        self._holding.release()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.lost()
        self._wake_writers()

    def pauseProducing(self):
        """The transport's buffer is full."""
        self.full = True
        self._wait(self.front.reactor.seconds() + self.front.limits().idle_s)

    def resumeProducing(self):
        self.full = False
        self.measure_memory()
        if self.exchange is not None:
            self._due = None
        elif not self._closing and self._reading is None:
            self._read_on()
        self._wake_writers()

    def stopProducing(self):
        """Does nothing: the loss of the transport is reported by `connectionLost`."""

    def writable(self):
        waiting = defer.Deferred()
        self._writers.append(waiting)
        return waiting

    def _wake_writers(self):
        writers, self._writers = self._writers, []
        for waiting in writers:
            if not waiting.called:
                waiting.callback(None)

    # --- memory ---

    def send(self, data):
        """Sends bytes of a response. A client that does not take them, while others need the room, is cut off."""
        send_now(self.transport, data)
        unsent = unsent_bytes(self.transport)
        if unsent != self._unsent:
            self._unsent = unsent
            if not self._keep_room():
                self.transport.abortConnection()

    def _keep_room(self):
        """Takes or gives back room for what the connection keeps beside a request. Returns whether there is room."""
        return self._holding.resize(len(self._buffer) + self._unsent)

    def measure_memory(self):
        """Gives back the room of bytes that the client has taken meanwhile."""
        unsent = unsent_bytes(self.transport)
        if unsent < self._unsent:
            self._holding.moved_at = self.front.reactor.seconds()
            self._unsent = unsent
            self._keep_room()

    def _keep_buffer(self):
        """Takes room for what has arrived but is not read as a request; refuses or drops it if there is none. Returns
        whether it was kept."""
        if self._holding.held == len(self._buffer) + self._unsent or self._keep_room():
            return True
        if self.exchange is not None or self.full:
            self._drop_read_ahead()
        elif not self._closing:
            self._refuse(503)
        return False

    def _drop_read_ahead(self):
        """Reads nothing after the current request, so that its client sends the next ones elsewhere."""
        self._buffer, self._last = b"", True
        self._keep_room()

    def give_way(self):
        """Refuses the request that is being read, drops what was read ahead, or closes the connection of a client that
        does not read its answer."""
        if self.is_reading and not self.full:
            self._refuse(503)
        elif self._buffer:
            self._drop_read_ahead()
        else:
            self.transport.abortConnection()
            self._holding.release()

    def cut(self):
        """Closes the connection at once, in favour of a new one."""
        self._closing = True
        self._drop_body()
        self._holding.release()
        self.transport.abortConnection()

    @property
    def is_reading(self):
        """Whether this is in the middle of reading a request."""
        return self.exchange is None and not self._closing and (self._reading is not None or bool(self._buffer))

    # --- time ---

    def _wait(self, due):
        self._due = due
        if self._timer is not None:
            if self._timer.getTime() <= due:
                return
            self._timer.cancel()
        self._timer = self.front.reactor.callLater(max(0.0, due - self.front.reactor.seconds()), self._on_timer)

    def _wait_idle(self):
        self._limits = None
        self._wait(self.front.reactor.seconds() + self.front.limits().idle_s)

    def _on_timer(self):
        self._timer = None
        if self._due is None:
            return
        if self.front.reactor.seconds() < self._due:
            self._wait(self._due)
            return
        self._due = None
        if self._closing or self.exchange is not None or self.full:
            self.transport.abortConnection()  # the client does not read its response
            return
        read_now(self.transport)  # data that came while this process was busy or frozen was in time
        if self._due is not None or self._closing or self.exchange is not None:
            return
        if self._reading is not None or self._buffer:
            self._refuse(408)
        else:
            self._close(linger=False)

    # --- reading ---

    def dataReceived(self, data):
        if self._closing:
            return
        self._arrived_at = self.front.reactor.seconds()
        if self._reading is not None:
            self._take_body(data)
            if self._reading is None:
                self._advance()
            return
        self._buffer = self._buffer + data if self._buffer else data
        if self.exchange is None and not self.full:
            self._advance()
            return
        is_kept = self._keep_buffer()
        if not self._paused and (not is_kept or len(self._buffer) > READ_AHEAD_LIMIT):
            self._paused = True
            self.transport.pauseProducing()

    def _advance(self):
        if self._advancing:
            return
        self._advancing = True
        try:
            while (
                self._buffer and self.exchange is None and self._reading is None and not self._closing and not self.full
            ):
                if not self._read_head():
                    break
        except MalformedMessageError as fault:
            self.front.note_malformed(str(fault))
            self._refuse(400)
        finally:
            self._advancing = False
        self._keep_buffer()

    def _read_head(self):
        """Reads a head from the buffer. Returns whether it was complete."""
        if self._limits is None:
            self._limits = self.front.limits()
            self._head_due = self.front.reactor.seconds() + self._limits.header_s
        buffer = self._buffer
        limit = min(self._limits.header_bytes, self.front.memory_account.largest_head)
        if buffer.startswith(b"\r\n"):  # empty lines before a request are allowed
            self._buffer = buffer = buffer[_EMPTY_LINES.match(buffer).end() :]
            self._scanned = 0
            if not buffer:
                self._wait_idle()
                return False
        end = buffer.find(b"\r\n\r\n", max(0, self._scanned - 3))
        if end < 0 or end + 4 > limit:
            if BARE_LINE_FEED.search(buffer, max(0, self._scanned - 1), limit):
                raise MalformedMessageError("a line that ends without a carriage return")
            self._scanned = len(buffer)
            if end >= 0 or len(buffer) >= limit:
                self._refuse(431 if limit == self._limits.header_bytes else 503)
                return False
            self._wait(self._head_due)
            return False
        self._buffer, self._scanned = buffer[end + 4 :], 0
        self._take_head(buffer[: end + 2])
        return True

    def _take_head(self, head):
        line = _REQUEST_LINE.match(head)
        if line is None:
            raise MalformedMessageError("the request line")
        holding = self._holding.another()
        if not holding.resize(len(head) + FIELD_COST * head.count(b"\n")):
            self._refuse(503)
            return
        try:
            self._take_request(line, head, holding)
        finally:
            if self._reading is None and (self.exchange is None or self.exchange.holding is not holding):
                holding.release()

    def _take_request(self, line, head, holding):
        fields, hop_by_hop = parse_fields(head[line.end() :])
        length = body_length(hop_by_hop)
        hosts = [value for name, value in fields if name.lower() == b"host"]
        host = _HOST.fullmatch(hosts[0]) if len(hosts) == 1 else None
        if host is None:
            raise MalformedMessageError("not exactly one valid Host")
        exchange = Exchange(self, line[1].decode("ascii"), line[2], host[1].decode("latin-1").lower(), fields, holding)
        self._last = b"close" in hop_by_hop.get(b"connection", ())
        if length is not None and length > self._limits.body_bytes:
            self._refuse(413)
            return
        if length is not None and length <= 0:
            self._begin(exchange)
            return
        if length is not None and length > self.front.memory_account.largest_body:
            self._refuse(503)
            return
        if length is not None and len(self._buffer) >= length:
            if not holding.grow(length):
                self._refuse(503)
                return
            exchange.body, self._buffer = self._buffer[:length], self._buffer[length:]
            self._begin(exchange)
            return
        self._reading, self._body, self._head_cost = exchange, BodyReader(length), holding.held
        self._body_due = self.front.reactor.seconds() + BODY_TIME
        data, self._buffer = self._buffer, b""
        if not data and b"100-continue" in [value.lower() for value in hop_by_hop.get(b"expect", ())]:
            send_now(self.transport, b"HTTP/1.1 100 Continue\r\n\r\n")
        self._take_body(data)

    def _take_body(self, data):
        self._wait(min(self.front.reactor.seconds() + self._limits.idle_s, self._body_due))
        body, holding = self._body, self._reading.holding
        if not holding.resize(self._head_cost + body.cost_with(len(data))):
            self._refuse(503)
            return
        try:
            body.feed(data)
        except MalformedMessageError as fault:
            self.front.note_malformed(str(fault))
            self._refuse(400)
            return
        if body.size > self._limits.body_bytes:
            self._refuse(413)
            return
        if not body.done:
            holding.resize(self._head_cost + body.cost_with(len(body.rest)))
            if body.has_more:
                self._decode_later()
            return
        if not holding.resize(self._head_cost + body.cost_of_end()):
            self._refuse(503)
            return
        self._end_body()

    def _decode_later(self):
        """Decodes the next chunks of the body in a later turn; nothing is read until then."""
        if not self._paused:
            self._paused = True
            self.transport.pauseProducing()
        self.front.fair_turns.call_later(self._decode_more)

    def _decode_more(self):
        if self._body is None or not self._body.has_more or self._closing:
            return
        self._take_body(b"")
        if self._body is not None and self._body.has_more:
            return
        if self._reading is None:
            self._advance()
        if self._paused and not self._closing and not self.full and len(self._buffer) <= READ_AHEAD_LIMIT:
            self._paused = False
            self.transport.resumeProducing()

    def _end_body(self):
        """Hands on the request that was read whole."""
        exchange, body = self._reading, self._body
        self._buffer = body.rest
        exchange.body = body.take()
        exchange.holding.resize(self._head_cost + len(exchange.body))
        self._reading = self._body = None
        self._begin(exchange)

    def _drop_body(self):
        """Gives up the request that is being read."""
        reading, self._reading, self._body = self._reading, None, None
        if reading is not None:
            reading.holding.release()

    # --- answering ---

    def _begin(self, exchange):
        if not exchange.holding.pin():
            exchange.holding.release()
            self._refuse(503)
            return
        self._due = None
        self.exchange = exchange
        exchange.received_at = self._arrived_at
        self.front.begin(exchange)

    def persistence(self):
        """Returns the header line of the response that says whether the connection is kept."""
        self._last = self._last or self.front.stopping and not self._buffer
        if self._last:
            return b"Connection: close\r\n"
        return b"Keep-Alive: timeout=%d\r\n" % max(0, int(self.front.limits().idle_s) - 1)

    def answered(self):
        self.exchange = None
        if self._last:
            self._close(linger=bool(self._buffer) or self._paused)
            return
        if not self.full:
            self._read_on()
        else:
            self.front.touch(self)

    def _read_on(self):
        """Turns to the next request, which may have arrived already."""
        if self._buffer:
            self._limits = None
            self._advance()
        else:
            self.front.touch(self)
            self._wait_idle()
        if self._paused and self.exchange is None and not self._closing and not self.full:
            self._paused = False
            self.transport.resumeProducing()

    def cut_off(self):
        """Closes the connection after sending what was written, so that the response stays incomplete."""
        exchange, self.exchange = self.exchange, None
        self._close(linger=False)
        exchange.lost()

    def _refuse(self, status):
        """Responds to input that did not become a request; nothing after it is read."""
        self.front.refused[status] = self.front.refused.get(status, 0) + 1
        self._drop_body()
        if not self._closing:
            send_now(
                self.transport,
                b"%bContent-Length: 0\r\n%bConnection: close\r\n\r\n"
                % (status_line(status), b"Retry-After: 1\r\n" if status == 503 else b""),
            )
            self._close(linger=True)

    def _close(self, linger):
        """Closes the connection. With `linger` further data of the client is read and dropped for LINGER_TIME: closing
        with unread bytes would reset the connection, and the client could lose the response."""
        self._closing = True
        self._buffer = b""
        self._keep_room()
        self.transport.unregisterProducer()
        self._wait(self.front.reactor.seconds() + LINGER_TIME)
        if linger:
            if self._paused:
                self._paused = False
                self.transport.resumeProducing()
            self.transport.loseWriteConnection()
            return
        self.transport.loseConnection()

    @property
    def is_idle(self):
        return self.exchange is None and self._reading is None and not self._buffer and not self._closing

    def close_idle(self):
        """Closes a connection between two requests, unless one has just arrived. Returns whether it did."""
        if self.is_idle:
            read_now(self.transport)
        if not self.is_idle:
            return False
        self._close(linger=False)
        return True
