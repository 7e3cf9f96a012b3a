"""One request of a caller, read whole, and the answer to it."""

from twisted.internet import defer

from oakramp.http_proxy.framing import HOP_BY_HOP, join_head, status_line
from oakramp.http_proxy.headers import WithHeaders
from oakramp.http_proxy.sockets import send_now

_BODILESS = frozenset((204, 304))


class Exchange(WithHeaders):
    """One request, read whole, and its answer. Invariant: an answer looks complete only after `finish`; what is
    written after the caller has gone is dropped."""

    __slots__ = (
        "method",
        "target",
        "path",
        "host",
        "body",
        "received_at",
        "is_gone",
        "begun",
        "finished",
        "_caller",
        "_gone",
        "_head",
        "_left",
        "_chunked",
        "_silent",
        "_flushing",
    )

    def __init__(self, caller, method, target, host, headers):
        super().__init__(headers)
        self._caller = caller
        self.method, self.target, self.host = method, target, host
        self.path = target.partition(b"?")[0].decode("ascii")
        self.body, self.received_at = b"", None
        self.is_gone = self.begun = self.finished = False
        self._gone = self._head = self._left = self._flushing = None
        self._chunked = self._silent = False

    @property
    def gone(self):
        """Fires when the caller's connection is lost or closed before the answer is finished."""
        if self._gone is None:
            self._gone = defer.Deferred()
            if self.is_gone:
                self._gone.callback(None)
        return self._gone

    @property
    def is_full(self):
        """Whether more is waiting for the caller than its connection takes."""
        return self._caller.full and not self.is_gone

    def start(self, status, headers, length):
        """The head of the answer; with `length` None the body is chunked. It leaves with the first bytes of the
        body if they come in the same turn."""
        if self.begun:
            raise RuntimeError("the answer has begun already")
        fields = [field for field in headers if field[0].lower() not in HOP_BY_HOP]
        self._silent = self.method == "HEAD" or status in _BODILESS
        self._left = length
        self._chunked = length is None and not self._silent
        framing = (
            b"Transfer-Encoding: chunked\r\n"
            if self._chunked
            else b"Content-Length: %d\r\n" % length
            if length is not None and status != 204
            else b""
        )
        self._head = join_head(status_line(status), fields, framing + self._caller.persistence())
        self.begun = True
        if not self.is_gone:
            self._flushing = self._caller.front.reactor.callLater(0, self._flush)

    def write(self, data):
        if data and not self.is_gone:
            self._send(self._framed(data))

    def finish(self, data=b""):
        if self.finished or self.is_gone:
            return
        framed = self._framed(data)
        if self._left and not self._silent:
            self.abort()
            raise RuntimeError("the answer is shorter than was told")
        self._send(framed + b"0\r\n\r\n" if self._chunked else framed)
        self.finished = True
        self._caller.answered()

    def abort(self):
        """Closes the connection, so that the answer cannot look complete."""
        if not self.finished and not self.is_gone:
            self._caller.cut_off()

    def reply(self, status, headers, body):
        self.start(status, headers, len(body))
        self.finish(body)

    async def wait_writable(self):
        """Returns once the caller has taken most of what was written, or has gone."""
        while self.is_full:
            await self._caller.writable()

    def _framed(self, data):
        if not self.begun or self.finished:
            raise RuntimeError("the answer is not open")
        if self._silent or not data:
            return b""
        if self._chunked:
            return b"%x\r\n%b\r\n" % (len(data), data)
        self._left -= len(data)
        if self._left < 0:
            self.abort()
            raise RuntimeError("the answer is longer than was told")
        return data

    def _send(self, data):
        if self._head is not None:
            data, self._head = self._head + data, None
            if self._flushing.active():
                self._flushing.cancel()
        if data:
            send_now(self._caller.transport, data)

    def _flush(self):
        if self._head is not None and not self.is_gone:
            self._send(b"")

    def lost(self):
        self.is_gone = True
        if self._flushing is not None and self._flushing.active():
            self._flushing.cancel()
        if self._gone is not None:
            self._gone.callback(None)
