"""A replica's answer, read by whoever asked as it comes."""

from twisted.internet import defer

from oakramp.common.constants import RESPONSE_BUFFER_LIMIT
from oakramp.common.errors import IncompleteResponseError, OutcomeUnknownError, TooLargeError, Verdict
from oakramp.http_proxy.headers import WithHeaders

WHOLE = object()  # the outcome of an answer that came to its end


class Response(WithHeaders):
    """The head of an answer, and its body as it comes. Whoever got it reads it to its end or aborts it.

    Invariants: pieces come in order, all that arrived before the end is given out before the end is told; `_outcome`
    is None until the end, then WHOLE or the error."""

    __slots__ = (
        "status",
        "length",
        "_connection",
        "_pieces",
        "_size",
        "_outcome",
        "_waiting",
        "_paused",
    )

    def __init__(self, connection, status, headers, length):
        super().__init__(headers)
        self._connection, self.status, self.length = connection, status, length
        self._outcome = self._waiting = None
        self._pieces, self._size, self._paused = [], 0, False

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
        return self._outcome is WHOLE and not self._pieces

    async def next(self, time_left=None):
        """What has arrived of the body, waiting for some; None once it ended whole. A wait longer than `time_left`
        raises OutcomeUnknownError and leaves the answer as it is."""
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
                raise OutcomeUnknownError("the answer stopped coming")
        if self._pieces:
            pieces, self._pieces, self._size = self._pieces, [], 0
            if self._paused and self._connection is not None:
                self._paused = False
                self._connection.transport.resumeProducing()
            return pieces[0] if len(pieces) == 1 else b"".join(pieces)
        if self._outcome is WHOLE:
            return None
        raise self._outcome

    async def read(self, limit):
        """The whole body, if it is not over `limit`."""
        parts, size = [], 0
        while (piece := await self.next()) is not None:
            size += len(piece)
            if size > limit:
                self.abort()
                raise TooLargeError(f"the answer is over {limit} bytes", Verdict.MAYBE)
            parts.append(piece)
        return b"".join(parts)

    def abort(self):
        """Closes the connection unless the answer has ended, so that the replica drops the request."""
        if self._outcome is None:
            connection = self._connection
            self.end(IncompleteResponseError("the answer was given up", Verdict.MAYBE))
            connection.drop()

    def put(self, pieces):
        """Keeps pieces for `next`; whoever waits is woken by `wake` or `end`."""
        self._pieces += pieces
        self._size += sum(map(len, pieces))
        if self._size > RESPONSE_BUFFER_LIMIT and not self._paused:
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
