"""Replicas' side: kept connections, one request at a time on each, and a sharp verdict.

twisted.web's HTTP11ClientProtocol cannot tell whether a byte has left, writes the request some turns after the
connection stands, takes bytes on an idle connection for a fault of the next request and copies every header into
objects; each of these the relay must hold or save. So this is a protocol of its own over the grammar in framing.py.

A verdict is NO only while nothing of the request was given to the kernel. From then on, whatever happens to the
connection, the replica may have run it.
"""

import re

from twisted.internet import defer, error, protocol

from oakbase.constants import ANSWER_HEAD_LIMIT, CONNECT_TIME, KEPT_MARGIN, KEPT_UNTOLD, PIECES_LIMIT, TRAILER_LIMIT
from oakbase.env import split_address
from oakbase.verdict import BadRequest, Broken, NoAnswer, Overloaded, TimeSpent, TooLarge, Unreachable, Verdict
from oakrelay.framing import HOP_BY_HOP, TOKEN, ChunkedDecoder, Malformed, body_length, join_head, parse_fields
from oakrelay.sockets import has_unsent, is_quiet, send_now, set_options

_STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: [^\x00-\x08\x0a-\x1f\x7f]*)?\r\n")
_TIMEOUT = re.compile(rb"timeout[ \t]*=[ \t]*([0-9]{1,9})")
_METHOD = re.compile(TOKEN)
_TARGET = re.compile(rb"/[\x21-\x7e]*")
_WHOLE = object()


class Answer:
    """The head of an answer, and its body as it comes. Whoever got it reads it to its end or aborts it.

    Invariants: pieces come in order, all that arrived before the end is given out before the end is told; `_outcome`
    is None until the end, then _WHOLE or the error."""

    __slots__ = (
        "status",
        "headers",
        "length",
        "_connection",
        "_index",
        "_pieces",
        "_size",
        "_outcome",
        "_waiting",
        "_paused",
    )

    def __init__(self, connection, status, headers, length):
        self._connection, self.status, self.headers, self.length = connection, status, headers, length
        self._index = self._outcome = self._waiting = None
        self._pieces, self._size, self._paused = [], 0, False

    def header(self, name):
        """The value of a header, or None; of one that came several times, the values joined by commas."""
        if self._index is None:
            self._index = {}
            for key, value in self.headers:
                key = key.lower()
                self._index[key] = self._index[key] + b", " + value if key in self._index else value
        value = self._index.get(name.lower().encode("latin-1"))
        return None if value is None else value.decode("latin-1")

    @property
    def is_ready(self):
        """Whether `next` would give something at once."""
        return bool(self._pieces) or self._outcome is not None

    @property
    def has_ended(self):
        """Whether nothing more comes from the replica."""
        return self._outcome is not None

    @property
    def is_spent(self):
        """Whether the answer has ended whole, and all of it was given out."""
        return self._outcome is _WHOLE and not self._pieces

    async def next(self, time_left=None):
        """What has arrived of the body, waiting for some; None once it ended whole. A wait longer than `time_left`
        raises NoAnswer and leaves the answer as it is."""
        ends_at = None if time_left is None else self._connection.now() + time_left if self._outcome is None else 0.0
        # What arrives may be framing only, which wakes but brings nothing.
        while not self._pieces and self._outcome is None:
            waiting = self._waiting = defer.Deferred()
            if ends_at is None:
                await waiting
                continue
            timer = self._connection.call_later(ends_at - self._connection.now(), self.wake)
            try:
                await waiting
            finally:
                if timer.active():
                    timer.cancel()
            if not self._pieces and self._outcome is None and self._connection.now() >= ends_at:
                raise NoAnswer("the answer stopped coming")
        if self._pieces:
            pieces, self._pieces, self._size = self._pieces, [], 0
            if self._paused and self._connection is not None:
                self._paused = False
                self._connection.transport.resumeProducing()
            return pieces[0] if len(pieces) == 1 else b"".join(pieces)
        if self._outcome is _WHOLE:
            return None
        raise self._outcome

    async def read(self, limit):
        """The whole body, if it is not over `limit`."""
        parts, size = [], 0
        while (piece := await self.next()) is not None:
            size += len(piece)
            if size > limit:
                self.abort()
                raise TooLarge(f"the answer is over {limit} bytes", Verdict.MAYBE)
            parts.append(piece)
        return b"".join(parts)

    def abort(self):
        """Closes the connection unless the answer has ended, so that the replica drops the request."""
        if self._outcome is None:
            connection = self._connection
            self.end(Broken("the answer was given up", Verdict.MAYBE))
            connection.drop()

    def put(self, pieces):
        """Keeps pieces for `next`; whoever waits is woken by `wake` or `end`."""
        self._pieces += pieces
        self._size += sum(map(len, pieces))
        if self._size > PIECES_LIMIT and not self._paused:
            self._paused = True
            self._connection.transport.pauseProducing()

    def end(self, outcome):
        """Nothing more comes. What was held back on the connection is read on by whoever has it next."""
        if self._outcome is not None:
            return
        connection, self._connection = self._connection, None
        self._outcome = outcome
        if self._paused and connection.is_open:
            connection.transport.resumeProducing()
        self.wake()

    def wake(self):
        waiting, self._waiting = self._waiting, None
        if waiting is not None and not waiting.called:
            waiting.callback(None)


class _Connection(protocol.Protocol):
    """Invariants: `ready` is set until the connection stands; `_head_waiting` from the first byte of a request to the
    head of its answer, `_answer` from there to the answer's end. With none of them the connection is idle, and whatever
    arrives then is nobody's."""

    def __init__(self, pool, address, instance_id):
        self._pool, self.address, self.instance_id = pool, address, instance_id
        self.is_open = True
        self.is_retired = False
        self.usable_until = 0.0
        self.ready = self.connector = None
        self._kept_for = KEPT_UNTOLD
        self._head_waiting = self._answer = self._decoder = None
        self._buffer, self._left = b"", 0
        self._method = self._expect = None
        self._used = self._persists = False

    @property
    def is_idle(self):
        return self._head_waiting is None and self._answer is None and self.ready is None

    def now(self):
        return self._pool.reactor.seconds()

    def call_later(self, seconds, function):
        return self._pool.reactor.callLater(max(0.0, seconds), function)

    def connectionMade(self):
        set_options(self.transport, probes=True)
        self.usable_until = self._pool.reactor.seconds() + KEPT_UNTOLD
        ready, self.ready = self.ready, None
        if ready is None:
            self.close()
            return
        ready.callback(self)

    def give_up_dialling(self, _ready):
        self.ready = None
        self.connector.disconnect()

    def connectionLost(self, reason=protocol.connectionDone):
        self._leave()
        answer = self._answer
        if answer is not None and self._left is None and self._decoder is None and reason.check(error.ConnectionDone):
            self._answer = None
            answer.end(_WHOLE)  # told neither by length nor by chunks: it ends with the connection
            return
        self._fail(
            NoAnswer(f"{self.address} closed the connection before it answered"),
            Broken(f"{self.address} cut its answer off"),
        )

    def _leave(self):
        self.is_open = False
        self._pool.forget(self)

    def close(self):
        """The orderly end of an idle connection."""
        if self.is_open:
            self._leave()
            self.transport.loseConnection()

    def drop(self, why="the connection was closed here"):
        """Closes at once; who waits for an answer is told."""
        if self.is_open:
            self._leave()
            self.transport.abortConnection()
        self._fail(NoAnswer(f"{self.address}: {why}"), Broken(f"{self.address}: {why}"))

    def _fail(self, before, after):
        waiting, self._head_waiting = self._head_waiting, None
        answer, self._answer = self._answer, None
        if waiting is not None and not waiting.called:
            waiting.errback(before)
        if answer is not None:
            answer.end(after)

    def ask(self, method, data, expect):
        """Writes the request. Fires with the head of the answer."""
        if not self.is_open or not send_now(self.transport, data):
            self.drop()
            raise Unreachable(f"{self.address} had closed the connection")
        self._method, self._expect = method, expect
        self._head_waiting = defer.Deferred(self._give_up)
        return self._head_waiting

    def _give_up(self, _waiting):
        self._head_waiting = None
        self.drop()

    # --- reading ---

    def dataReceived(self, data):
        if not self.is_open:
            return
        try:
            if self._answer is not None:
                self._take_body(data)
            elif self._head_waiting is not None:
                self._take_head(data)
            else:
                self.drop()  # bytes that belong to no request
        except Malformed as fault:
            self._fail(
                Broken(f"{self.address} sent what is no answer: {fault}", Verdict.MAYBE),
                Broken(f"{self.address} sent a body that is badly framed: {fault}"),
            )
            self.drop()

    def _take_head(self, data):
        data = self._buffer + data if self._buffer else data
        while True:
            end = data.find(b"\r\n\r\n")
            if end < 0 or end + 4 > ANSWER_HEAD_LIMIT:
                if end >= 0 or len(data) >= ANSWER_HEAD_LIMIT:
                    raise Malformed("a header block that is too long")
                if not data.startswith(b"HTTP/1."[: len(data)]):
                    raise Malformed("the status line")
                self._buffer = data
                return
            line = _STATUS_LINE.match(data)
            if line is None:
                raise Malformed("the status line")
            fields, own = parse_fields(data[line.end() : end + 2])
            data, status = data[end + 4 :], int(line[2])
            if status == 101:
                raise Malformed("a change of protocol that nobody asked for")
            if status >= 200:
                break
        self._buffer = b""
        self._begin(status, fields, own, line[1] == b"1", data)

    def _begin(self, status, fields, own, is_11, data):
        length = body_length(own)
        answer = Answer(self, status, fields, None if length == -1 else length)
        if not self._is_expected(answer):
            self._fail(NoAnswer(f"{self.address} sent another request's answer"), None)
            self.drop()
            return
        options = own.get(b"connection", ())
        self._persists = b"close" not in options and (is_11 or b"keep-alive" in options)
        told = _TIMEOUT.search(b",".join(own[b"keep-alive"])) if b"keep-alive" in own else None
        self._kept_for = int(told[1]) - KEPT_MARGIN if told else KEPT_UNTOLD
        is_bodiless = self._method == "HEAD" or status in (204, 304)
        self._left = 0 if is_bodiless else None if length == -1 else length
        self._decoder = ChunkedDecoder(TRAILER_LIMIT) if length is None and not is_bodiless else None
        self._used = True
        waiting, self._head_waiting = self._head_waiting, None
        self._answer = answer
        try:
            if data or self._left == 0:
                self._take_body(data)  # before the head is handed out, so that a short answer is whole by then
        finally:
            waiting.callback(answer)

    def _is_expected(self, answer):
        """An answer that came too late for its own request stands where that of the next one is due. One that names
        no request can only be this one's on a connection that carried no other."""
        if self._expect is None:
            return True
        name, value = self._expect
        named = answer.header(name)
        return named == value or named is None and not self._used

    def _take_body(self, data):
        answer, rest = self._answer, b""
        if self._decoder is not None:
            answer.put(self._decoder.feed(data))
            is_whole, rest = self._decoder.done, self._decoder.rest
        elif self._left is None:
            answer.put([data])
            is_whole = False
        else:
            data, rest = data[: self._left], data[self._left :]
            self._left -= len(data)
            if data:
                answer.put([data])
            is_whole = not self._left
        if is_whole:
            self._whole(rest)
            return
        answer.wake()

    def _whole(self, rest):
        answer, self._answer, self._decoder = self._answer, None, None
        if rest:
            self._leave()
            self.transport.abortConnection()  # bytes that belong to no request
        elif not self._persists or self.is_retired or self._kept_for <= 0 or has_unsent(self.transport):
            self.close()
        else:
            self.usable_until = self._pool.reactor.seconds() + self._kept_for
            self._pool.keep(self)
        answer.end(_WHOLE)


class _Dial(protocol.ClientFactory):
    noisy = False

    def __init__(self, connection):
        self._connection = connection

    def buildProtocol(self, _address):
        return self._connection

    def clientConnectionFailed(self, _connector, reason):
        ready, self._connection.ready = self._connection.ready, None
        if ready is not None:
            ready.errback(reason)


class Upstreams:
    """All connections to replicas. Invariants: `_open` holds every connection that stands or is being made, by
    address; `_idle` those of them that may be used again, the most recently used last."""

    def __init__(self, reactor, bind_host, log):
        self.reactor, self._bind_host, self._log = reactor, bind_host, log
        self._open, self._idle = {}, {}
        self.opened = self.reused = 0

    async def send(
        self,
        address,
        instance_id,
        method,
        target,
        headers,
        body,
        time_left,
        last_check=None,
        expect=None,
        max_connections=None,
    ):
        """The head of the answer. `headers()` gives the fields as they are when the first byte leaves, `last_check` runs
        in that turn, and may raise; `expect` is a (name, value) that the answer must bear."""
        ends_at = self.reactor.seconds() + time_left
        data = _request_bytes(address, method, target, headers(), body)
        while True:
            connection = self._take(address, instance_id)
            is_reused = connection is not None
            if connection is None:
                connection = await self._connect(address, instance_id, ends_at, max_connections)
            try:
                if ends_at <= self.reactor.seconds():
                    raise TimeSpent("no time left for the request")
                if not is_reused:
                    data = _request_bytes(address, method, target, headers(), body)  # connecting has taken time
                if last_check is not None:
                    last_check()
            except Exception:
                self.keep(connection)
                raise
            try:
                waiting = connection.ask(method, data, expect)
            except Unreachable:
                if is_reused:
                    continue
                raise
            break
        self.reused += is_reused
        timer = self.reactor.callLater(ends_at - self.reactor.seconds(), connection.drop, "no answer in time")
        try:
            return await waiting
        finally:
            if timer.active():
                timer.cancel()

    def open_count(self, address):
        return len(self._open.get(address, ()))

    def close_instance(self, instance_id):
        """The replica has left: its idle connections are closed, the others once their answer has ended."""
        for connection in [
            connection for ones in self._open.values() for connection in ones if connection.instance_id == instance_id
        ]:
            connection.is_retired = True
            if connection.is_idle:
                connection.close()

    def stop(self):
        for connection in [connection for ones in self._open.values() for connection in ones]:
            if connection.ready is not None:
                connection.connector.disconnect()
            else:
                connection.drop("this process is stopping")

    # --- connections ---

    def _take(self, address, instance_id):
        idle, now = self._idle.get((address, instance_id)), self.reactor.seconds()
        while idle:
            connection = idle[-1]
            if now < connection.usable_until and is_quiet(connection.transport):
                idle.pop()
                return connection
            connection.close()
        return None

    async def _connect(self, address, instance_id, ends_at, max_connections):
        time_left = ends_at - self.reactor.seconds()
        if time_left <= 0:
            raise TimeSpent("no time left to connect")
        if (
            max_connections is not None
            and self.open_count(address) >= max_connections
            and not self._close_other(address)
        ):
            raise Overloaded(f"{address} has as many connections from here as it may have")
        host, port = split_address(address)
        connection = _Connection(self, address, instance_id)

        connection.ready = ready = defer.Deferred(connection.give_up_dialling)
        self._open.setdefault(address, set()).add(connection)
        self.opened += 1
        try:
            connection.connector = self.reactor.connectTCP(
                host,
                port,
                _Dial(connection),
                timeout=min(time_left, CONNECT_TIME),
                bindAddress=(self._bind_host, 0) if self._bind_host else None,
            )
            return await ready
        except defer.CancelledError:
            self.forget(connection)
            raise
        except Exception as fault:
            self.forget(connection)
            raise Unreachable(f"{address} cannot be reached: {fault!r}") from fault

    def _close_other(self, address):
        """Makes room by closing an idle connection to the same address."""
        for connection in self._open[address]:
            if connection.is_idle:
                connection.close()
                return True
        return False

    def keep(self, connection):
        if not connection.is_open:
            return
        if connection.is_retired:
            connection.close()
            return
        idle = self._idle.setdefault((connection.address, connection.instance_id), [])
        while idle and idle[0].usable_until <= self.reactor.seconds():
            idle[0].close()
        self._idle.setdefault((connection.address, connection.instance_id), idle).append(connection)

    def forget(self, connection):
        for table, key in (
            (self._open, connection.address),
            (self._idle, (connection.address, connection.instance_id)),
        ):
            held = table.get(key)
            if held is None or connection not in held:
                continue
            held.remove(connection)
            if not held:
                del table[key]


def _request_bytes(address, method, target, headers, body):
    fields = [field for field in headers if field[0].lower() not in HOP_BY_HOP]
    if not any(field[0].lower() == b"host" for field in fields):
        fields.append((b"Host", address.encode("ascii")))
    verb = method.encode("latin-1", "replace")
    if not _METHOD.fullmatch(verb) or not _TARGET.fullmatch(target):
        raise BadRequest("a method or target that cannot be sent")
    length = b"Content-Length: %d\r\n" % len(body) if body or method in ("POST", "PUT", "PATCH") else b""
    try:
        return join_head(b"%b %b HTTP/1.1\r\n" % (verb, target), fields, length) + body
    except Malformed as fault:
        raise BadRequest(str(fault)) from fault
