"""One complete request of a client, and the response to it."""

from twisted.internet import defer

from oakramp.http_proxy.framing import HOP_BY_HOP, join_head, status_line
from oakramp.http_proxy.headers import WithHeaders

_BODILESS = frozenset((204, 304))


class Exchange(WithHeaders):
    """One complete request, and its response. Invariant: a response looks complete only after `finish`; data written
    after the client has disconnected is dropped. `holding` has room for the request until its handler has ended."""

    __slots__ = (
        "method",
        "target",
        "path",
        "host",
        "body",
        "received_at",
        "holding",
        "is_gone",
        "begun",
        "finished",
        "_client",
        "_gone",
        "_head",
        "_left",
        "_chunked",
        "_silent",
        "_flushing",
    )

    def __init__(self, client, method, target, host, headers, holding):
        super().__init__(headers)
        self._client, self.holding = client, holding
        self.method, self.target, self.host = method, target, host
        self.path = target.partition(b"?")[0].decode("ascii")
        self.body, self.received_at = b"", None
        self.is_gone = self.begun = self.finished = False
        self._gone = self._head = self._left = self._flushing = None
        self._chunked = self._silent = False

    @property
    def gone(self):
        """Fires when the client's connection is lost or closed before the response is finished."""
        if self._gone is None:
            self._gone = defer.Deferred()
            if self.is_gone:
                self._gone.callback(None)
        return self._gone

    @property
    def is_full(self):
        """Whether more data is waiting for the client than the buffer of its connection takes."""
        return self._client.full and not self.is_gone

    def reserve(self, size):
        """Takes room in the process's memory for `size` more bytes that are kept for this request; False if there is
        none. It is given back at the end, or before by `give_back`."""
        return self.holding.grow_pinned(size)

    def give_back(self, size):
        """Gives back room that `reserve` has taken."""
        self.holding.resize(self.holding.held - size)

    def start(self, status, headers, length):
        """Starts the response; with `length` None the body is chunked. The head is sent together with the first bytes
        of the body if they are written in the same reactor turn."""
        if self.begun:
            raise RuntimeError("the response was started already")
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
        self._head = join_head(status_line(status), fields, framing + self._client.persistence())
        self.begun = True
        if not self.is_gone:
            self._flushing = self._client.front.reactor.callLater(0, self._flush)

    def write(self, data):
        if data and not self.is_gone:
            self._send(self._framed(data))

    def finish(self, data=b""):
        if self.finished or self.is_gone:
            return
        framed = self._framed(data)
        if self._left and not self._silent:
            self.abort()
            raise RuntimeError("the response is shorter than its declared length")
        self._send(framed + b"0\r\n\r\n" if self._chunked else framed)
        self.finished = True
        self._client.answered()

    def abort(self):
        """Closes the connection, so that the response cannot look complete."""
        if not self.finished and not self.is_gone:
            self._client.cut_off()

    def reply(self, status, headers, body):
        self.start(status, headers, len(body))
        self.finish(body)

    async def wait_writable(self):
        """Returns once the client has taken most of the written data, or has disconnected."""
        while self.is_full:
            await self._client.writable()

    def _framed(self, data):
        if not self.begun or self.finished:
            raise RuntimeError("the response is not open")
        if self._silent or not data:
            return b""
        if self._chunked:
            return b"%x\r\n%b\r\n" % (len(data), data)
        self._left -= len(data)
        if self._left < 0:
            self.abort()
            raise RuntimeError("the response is longer than its declared length")
        return data

    def _send(self, data):
        if self._head is not None:
            data, self._head = self._head + data, None
            if self._flushing.active():
                self._flushing.cancel()
        if data:
            self._client.send(data)

    def _flush(self):
        if self._head is not None and not self.is_gone:
            self._send(b"")

    def lost(self):
        self.is_gone = True
        if self._flushing is not None and self._flushing.active():
            self._flushing.cancel()
        if self._gone is not None:
            self._gone.callback(None)
