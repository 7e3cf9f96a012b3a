"""Raw HTTP/1.1 of the stand-ins around the relay: a reader of messages, a server, a client's connection.

It shares nothing with the product's own framing, so that the two are held against each other.
"""

from dataclasses import dataclass, field

from twisted.internet import defer, error, protocol

REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    421: "Misdirected Request",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


class Unreadable(ValueError):
    """Bytes that are no HTTP message."""


@dataclass
class Message:
    """A request or an answer. Invariant: `whole` turns true with its last byte; `body` is what has come of it."""

    first: list
    headers: list
    body: bytes = b""
    whole: bool = False
    arrived: list = field(default_factory=list)  # (time, bytes so far)

    def header(self, name):
        """The header's value, or None."""
        return next((value for key, value in self.headers if key.lower() == name.lower()), None)

    def count(self, name):
        return sum(key.lower() == name.lower() for key, _ in self.headers)

    @property
    def status(self):
        return int(self.first[1])


class Reader:
    """Cuts a stream of bytes into messages. Invariant: `current` is the message whose body is being read, or None."""

    def __init__(self, is_answer):
        self._is_answer = is_answer
        self._buffer, self._left = b"", None
        self.current = None
        self.bodiless = False

    @property
    def rest(self):
        return self._buffer

    def feed(self, data):
        """The messages that became whole with these bytes."""
        self._buffer += data
        done = []
        while True:
            if self.current is None and not self._head():
                return done
            if not self._body():
                return done
            self.current.whole = True
            done.append(self.current)
            self.current = None

    def end(self):
        """The connection has ended: a body told by neither length nor chunks is whole."""
        if self.current is None or self._left != "until the end":
            return None
        self.current.whole = True
        return self.current

    def _head(self):
        head, separator, rest = self._buffer.partition(b"\r\n\r\n")
        if not separator:
            if (
                len(self._buffer) > 1 << 16
                or self._is_answer
                and not self._buffer.startswith(b"HTTP/1.1 "[: len(self._buffer)])
            ):
                raise Unreadable(repr(self._buffer[:60]))
            return False
        lines = head.decode("latin-1").split("\r\n")
        first = lines[0].split(" ", 2)
        if (
            len(first) < 3
            or (first[0] if self._is_answer else first[2]) != "HTTP/1.1"
            or not all(": " in line or line.endswith(":") for line in lines[1:])
        ):
            raise Unreadable(repr(head[:60]))
        headers = [(name, value.strip()) for name, _, value in (line.partition(":") for line in lines[1:])]
        message = Message(first, headers)
        if message.count("Content-Length") + message.count("Transfer-Encoding") > 1:
            raise Unreadable("told the length of its body twice")
        self._buffer, self.current = rest, message
        length, coding = message.header("Content-Length"), message.header("Transfer-Encoding")
        if self._is_answer and (self.bodiless or message.status in (204, 304) or message.status < 200):
            self._left = 0
        elif coding is not None:
            self._left = "chunks"
        elif length is not None:
            self._left = int(length)
        else:
            self._left = "until the end" if self._is_answer else 0
        return True

    def _body(self):
        if self._left == "chunks":
            return self._chunks()
        if self._left == "until the end":
            self.current.body, self._buffer = self.current.body + self._buffer, b""
            return False
        taken, self._buffer = self._buffer[: self._left], self._buffer[self._left :]
        self.current.body += taken
        self._left -= len(taken)
        return not self._left

    def _chunks(self):
        while True:
            line, separator, rest = self._buffer.partition(b"\r\n")
            if not separator:
                return False
            try:
                size = int(line.partition(b";")[0], 16)
            except ValueError as fault:
                raise Unreadable(f"a chunk of size {line[:20]!r}") from fault
            if len(rest) < size + 2:
                return False
            if rest[size : size + 2] != b"\r\n":
                raise Unreadable("a chunk longer than its size")
            self.current.body += rest[:size]
            self._buffer = rest[size + 2 :]
            if not size:
                return True


def request_bytes(method, target, headers, body=b"", chunked=False):
    framing = (
        [("Transfer-Encoding", "chunked")]
        if chunked
        else [("Content-Length", len(body))]
        if body or method != "GET"
        else []
    )
    payload = (
        b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in (body[:7], body[7:]) if part) + b"0\r\n\r\n"
        if chunked
        else body
    )
    return _head_bytes(f"{method} {target} HTTP/1.1", [*headers, *framing]) + payload


def answer_head(status, headers):
    return _head_bytes(f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}", headers)


def answer_bytes(status, headers, body=b""):
    return answer_head(status, [*headers, ("Content-Length", len(body))]) + body


def _head_bytes(first, headers):
    return "\r\n".join([first, *(f"{name}: {value}" for name, value in headers), "", ""]).encode("latin-1")


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


class ServerConnection(protocol.Protocol):
    """One connection of a stand-in that serves: hands whole requests to its server, one after the other."""

    def __init__(self, server):
        self.server, self.is_open = server, False
        self._reader = Reader(is_answer=False)
        self._waiting, self._busy = [], False
        self.gone = defer.Deferred()
        self.served = 0
        self._idle = None

    def connectionMade(self):
        self.is_open = True
        self.server.opened(self)
        self._wait_idle()

    def connectionLost(self, reason=protocol.connectionDone):
        self.is_open = False
        self._stop_idle()
        self.server.closed(self)
        self.gone.callback(None)

    def dataReceived(self, data):
        self._stop_idle()
        try:
            self._waiting += self._reader.feed(data)
        except Unreadable as fault:
            self.server.unreadable(self, str(fault), data)
            self.drop()
            return
        self._next()

    def _next(self):
        if not self._busy and self._waiting and self.is_open:
            self._busy = True
            self.server.take(self, self._waiting.pop(0))

    def done(self, keep=True):
        """The answer to the present request is out."""
        self._busy = False
        self.served += 1
        if not keep:
            self.close()
            return
        if not self._waiting:
            self._wait_idle()
        self._next()

    def write(self, data):
        if self.is_open:
            self.transport.write(data)

    def close(self):
        if self.is_open:
            self.transport.loseConnection()

    def drop(self):
        if self.is_open:
            self.transport.abortConnection()

    def _wait_idle(self):
        seconds = self.server.idle_s
        if seconds is not None and self.is_open and self._idle is None:
            self._idle = self.server.reactor.callLater(seconds, self._idle_over)

    def _idle_over(self):
        self._idle = None
        self.close()

    def _stop_idle(self):
        if self._idle is not None:
            self._idle.cancel()
            self._idle = None


class ServerFactory(protocol.Factory):
    noisy = False

    def __init__(self, server):
        self._server = server

    def buildProtocol(self, _address):
        return ServerConnection(self._server)


class ClientConnection(protocol.Protocol):
    """One connection of a stand-in that asks. `stray` holds bytes that came while nothing was asked for."""

    def __init__(self, reactor, address):
        self._reactor, self.address = reactor, address
        self.is_open = False
        self.stray = b""
        self.ready = defer.Deferred()
        self._reader = Reader(is_answer=True)
        self._asked = self._timer = None
        self.message = None
        self.last_byte_at = 0.0

    def connectionMade(self):
        self.is_open = True
        if not self.ready.called:
            self.ready.callback(self)

    def failed(self, reason):
        if not self.ready.called:
            self.ready.errback(reason)

    def connectionLost(self, reason=protocol.connectionDone):
        self.is_open = False
        message = self._reader.end()
        self._end(message, "whole" if message is not None else "cut")

    def dataReceived(self, data):
        self.last_byte_at = self._reactor.seconds()
        if self._asked is None:
            self.stray += data
            return
        try:
            done = self._reader.feed(data)
        except Unreadable:
            self.stray += data
            self.drop()
            return
        message = done[0] if done else self._reader.current
        if message is not None:
            message.arrived.append((self.last_byte_at, len(message.body)))
        if done:
            self.stray += self._reader.rest + b"".join(more.body for more in done[1:])
            self._end(done[0], "whole")

    def ask(self, data, method="GET"):
        """Fires with (message or None, whole|cut|given up); the message is what came, whole or not."""
        self._reader.bodiless = method == "HEAD"
        self._asked = asked = defer.Deferred()
        self.last_byte_at = self._reactor.seconds()
        if self.is_open:
            self.transport.write(data)
        else:
            self._end(None, "cut")
        return asked

    def _end(self, message, outcome):
        asked, self._asked = self._asked, None
        if asked is not None:
            asked.callback((message or self._reader.current, outcome))

    def give_up(self):
        self._end(None, "given up")
        self.drop()

    def drop(self):
        if self.is_open:
            self.transport.abortConnection()

    def close(self):
        if self.is_open:
            self.transport.loseConnection()

    @property
    def progress(self):
        """What has come of the answer so far."""
        return self._reader.current


class _Dial(protocol.ClientFactory):
    noisy = False

    def __init__(self, connection):
        self._connection = connection

    def buildProtocol(self, _address):
        return self._connection

    def clientConnectionFailed(self, _connector, reason):
        self._connection.failed(reason)


async def connect(reactor, address, timeout=1.0):
    """An open connection; raises twisted's ConnectError."""
    connection = ClientConnection(reactor, address)
    host, _, port = address.rpartition(":")
    reactor.connectTCP(host, int(port), _Dial(connection), timeout=timeout)
    return await connection.ready


async def ask_once(reactor, address, method, target, headers=(), body=b"", timeout=1.0):
    """(status, message), or (None, None) without a whole answer in time. A connection of its own."""
    try:
        connection = await connect(reactor, address, timeout)
    except (error.ConnectError, error.UserError):
        return None, None
    timer = reactor.callLater(timeout, connection.give_up)
    message, outcome = await connection.ask(request_bytes(method, target, [("Host", address), *headers], body), method)
    if timer.active():
        timer.cancel()
    connection.close()
    return (message.status, message) if outcome == "whole" else (None, None)
