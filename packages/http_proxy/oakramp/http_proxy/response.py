"""A replica's response, which the requester reads while it arrives."""

import weakref
from enum import Enum

from twisted.internet import defer

from oakramp.common.backend_room import Part
from oakramp.common.constants import RESPONSE_BUFFER_LIMIT
from oakramp.common.errors import IncompleteResponseError, OutcomeUnknownError, TooLargeError, Verdict
from oakramp.http_proxy.headers import WithHeaders
from oakramp.http_proxy.response_end import End

COMPLETE = object()  # the outcome of a response that arrived completely


class Pause(Enum):
    """Why nothing is read from a replica."""

    CLIENT = "its client reads slowly"
    DECODING = "chunks that have come are decoded in later turns"


class Response(WithHeaders):
    """The head of a response, and its body as it arrives. The requester reads it to its end or aborts it.

    Invariants: the bytes are returned in order, and all that arrived before the end is returned before the end is
    reported; `_outcome` is None until the end, then COMPLETE or the error; `received` counts the bytes of the
    body that have arrived, and `holding` those that are kept; `ended_by` is set with the end."""

    __slots__ = (
        "status",
        "length",
        "framing",
        "ended_by",
        "holding",
        "received",
        "_connection",
        "_data",
        "_undecoded",
        "_size",
        "_outcome",
        "_waiting",
        "__weakref__",
    )

    def __init__(self, connection, status, headers, length, framing, holding):
        super().__init__(headers)
        self._connection, self.status, self.length = connection, status, length
        self.framing, self.ended_by = framing, None
        self.holding, self.received = holding, 0
        self._outcome = self._waiting = None
        self._data, self._undecoded = b"", 0

    @property
    def is_ready(self):
        """Whether `next` would return or raise at once."""
        return bool(self._data) or self._outcome is not None

    @property
    def has_ended(self):
        """Whether nothing more arrives from the replica."""
        return self._outcome is not None

    @property
    def is_spent(self):
        """Whether the response arrived completely, and all of it was returned by `next`."""
        return self._outcome is COMPLETE and not self._data

    async def next(self, time_left=None):
        """Returns the part of the body that has arrived, waiting for some; None after the complete body. A wait longer
        than `time_left` raises OutcomeUnknownError and leaves the response as it is."""
        ends_at = None if time_left is None else self._connection.now() + time_left if self._outcome is None else 0.0
        # Arriving data may be framing only, which ends the wait without a piece.
        while not self._data and self._outcome is None:
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
            if not self._data and self._outcome is None and self._connection.now() >= ends_at:
                raise OutcomeUnknownError("the response stopped arriving")
        if self._data:
            data, self._data = self._data, b""
            self.holding.keep(Part.BODY, self._undecoded)
            if self._connection is not None:
                self._connection.resume(Pause.CLIENT)
            return bytes(data)
        if self._outcome is COMPLETE:
            return None
        raise self._outcome

    async def read(self, limit):
        """Returns the whole body. Raises TooLargeError if it is over `limit` bytes."""
        parts, size = [], 0
        while (piece := await self.next()) is not None:
            size += len(piece)
            if size > limit:
                self.abort()
                raise TooLargeError(f"the response is over {limit} bytes", Verdict.MAYBE)
            parts.append(piece)
        return b"".join(parts)

    async def discard(self, limit):
        """Reads the body to its end and keeps nothing. Raises ResponseLimitError if it is over `limit` bytes."""
        while await self.next() is not None:
            if self.received > limit:
                self.abort()
                raise self.holding.limit_error(Part.BODY, self.received, limit)

    def abort(self):
        """Closes the connection unless the response has ended, so that the replica drops the request.

        What has arrived is given up."""
        self._data, self._undecoded = b"", 0
        self.holding.release()
        if self._outcome is None:
            connection = self._connection
            self.end(IncompleteResponseError("the response was given up", Verdict.MAYBE), End.GIVEN_UP)
            connection.drop()

    def put(self, data, undecoded=0):
        """Stores data for `next`; a waiting `next` is resumed by `wake` or `end`. `undecoded` more bytes have come.

        Raises:
            ResponseLimitError: there is no room for them.
        """
        self.holding.keep(Part.BODY, len(self._data) + len(data) + undecoded)
        self._undecoded = undecoded
        if not data:
            return
        self.received += len(data)
        if not self._data:
            self._data = data
        else:
            if isinstance(self._data, bytes):
                self._data = bytearray(self._data)
            self._data += data
        if len(self._data) > RESPONSE_BUFFER_LIMIT or self.holding.is_scarce:
            self._connection.pause(Pause.CLIENT)

    def end(self, outcome, ended_by):
        """Records that nothing more arrives. If reading was paused, it is resumed for the next user of the
        connection."""
        if self._outcome is not None:
            return
        connection, self._connection = self._connection, None
        self._outcome, self.ended_by = outcome, ended_by
        connection.count_end(self.framing, ended_by)
        response = weakref.ref(self)
        self.holding.give_way = lambda error: response().lose(error) if response() is not None else None
        connection.resume(Pause.CLIENT)
        self.wake()

    def lose(self, error):
        """Gives up what has arrived of a response that has ended, and was not read yet."""
        self._data, self._outcome = b"", error

    def wake(self):
        waiting, self._waiting = self._waiting, None
        if waiting is not None and not waiting.called:
            waiting.callback(None)
