"""The body of one request as it arrives, in one growing block, so that small pieces cost no more than large ones."""

from oakramp.common.constants import CHUNKS_PER_TURN, PIECE_OVERHEAD, TRAILER_LIMIT
from oakramp.http_proxy.framing import ChunkedDecoder


class BodyReader:
    """Invariant: `size` bytes of the body have arrived; once it is `done`, `rest` holds the bytes that follow it."""

    __slots__ = ("done", "rest", "_data", "_left", "_decoder")

    def __init__(self, length):
        """`length` is in bytes, or None if the body is chunked."""
        self._data, self._left = bytearray(), length
        self._decoder = ChunkedDecoder(TRAILER_LIMIT) if length is None else None
        self.done, self.rest = False, b""

    @property
    def size(self):
        """How many bytes of the body have arrived."""
        return len(self._data)

    @property
    def has_more(self):
        """Whether `rest` may hold more of the body, which another `feed` decodes in a later turn of the reactor."""
        return self._decoder is not None and self._decoder.has_more

    def cost_with(self, more):
        """The memory in bytes that the body takes once `more` bytes have been fed."""
        return int((len(self._data) + more) * PIECE_OVERHEAD)

    def cost_of_end(self):
        """The memory in bytes that `take` needs while it copies the body."""
        return int(len(self._data) * (1 + PIECE_OVERHEAD))

    def feed(self, data):
        """Adds the bytes of the body in `data`. Raises MalformedMessageError."""
        if self._decoder is None:
            piece = data[: self._left]
            self._left -= len(piece)
            self._data += piece
            self.done, self.rest = not self._left, data[len(piece) :]
            return
        for piece in self._decoder.feed(data, CHUNKS_PER_TURN):
            self._data += piece
        self.done, self.rest = self._decoder.done, self._decoder.rest

    def take(self):
        """Returns the whole body; the reader is empty then."""
        body, self._data = bytes(self._data), bytearray()
        return body
