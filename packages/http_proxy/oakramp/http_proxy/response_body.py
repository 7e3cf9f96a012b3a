"""Takes the body of one response out of the bytes of its connection, and decides whether its end was shown.

A body is complete only where its own framing shows it: a length that is used up with nothing behind it that puts the
length in doubt, a last chunk, the head of a response without a body, or, without any of these, the orderly end of the
connection.
"""

from __future__ import annotations

from collections.abc import Callable

from oakramp.common.constants import CHUNKS_PER_TURN, TRAILER_LIMIT
from oakramp.http_proxy.framing import ChunkedDecoder, MalformedMessageError
from oakramp.http_proxy.response_end import Framing
from oakramp.http_proxy.restart_detector import RestartDetector

_FIRST_BYTE_OF_A_RESPONSE = b"H"


class EndInDoubtError(MalformedMessageError):
    """Behind the length of a body come bytes that are no response."""


class ResponseBody:
    """One body as it is read.

    Invariants: `is_complete` is set once the framing has shown the end, and `rest` then has what came behind it;
    `undecoded` counts the bytes that were read and not returned yet; with `has_more` some of them can be decoded now.
    `is_settling` is set if another response may have begun inside: then the last part is withheld until it is clear
    that nothing comes behind it.
    """

    __slots__ = (
        "framing",
        "is_complete",
        "rest",
        "has_more",
        "is_settling",
        "_withheld",
        "_ends_like_a_head",
        "_left",
        "_decoder",
        "_detector",
        "_pending",
    )

    def __init__(
        self,
        framing: Framing,
        length: int | None,
        detector: RestartDetector | None = None,
        pending: Callable[[], bytes] = bytes,
    ) -> None:
        """`length` is the stated one; `pending()` returns bytes that have arrived on the connection, not read yet."""
        self.framing, self._detector, self._pending = framing, detector, pending
        self.is_complete, self.rest, self.has_more = False, b"", False
        self._ends_like_a_head, self.is_settling, self._withheld = False, False, b""
        self._left = length or 0 if framing is Framing.LENGTH else 0
        self._decoder = ChunkedDecoder(TRAILER_LIMIT) if framing is Framing.CHUNKED else None

    @property
    def undecoded(self) -> int:
        """Bytes that were read and not returned yet."""
        held = len(self._withheld) + (0 if self._detector is None else len(self._detector.held))
        return held + (0 if self._decoder is None or self.is_complete else len(self._decoder.rest))

    def feed(self, data: bytes) -> bytes:
        """Returns the part of the body in `data`.

        Raises:
            MalformedMessageError: the framing does not hold, the body starts anew inside, or its end is in doubt.
        """
        if self.is_settling and data:
            raise EndInDoubtError("a body that holds a head, and bytes behind its length")
        part = self._unframed(data)
        if self._detector is not None:
            part = self._detector.feed(part)
            if self.is_complete:
                self._ends_like_a_head = bool(self._detector.held)
                part += self._detector.end(self.framing)
        if self.is_complete:
            self._check_end()
            if self._has_head and not self.rest and self.framing is Framing.LENGTH:
                self.is_settling, self._withheld = True, part
                return b""
        return part

    def settle(self) -> bytes:
        """Returns the last part of a body that was settling, as nothing has come behind it."""
        part, self._withheld, self.is_settling = self._withheld, b"", False
        return part

    def end_at_close(self) -> bytes:
        """Returns the last part of a body that its connection's orderly end has ended. Raises MalformedMessageError."""
        return b"" if self._detector is None else self._detector.end(self.framing)

    def puts_end_in_doubt(self, behind: bytes) -> bool:
        """Whether these bytes, which came behind the body, tell that its length did not hold."""
        if self.framing is not Framing.LENGTH or not behind:
            return False
        return self._has_head or not behind.startswith(_FIRST_BYTE_OF_A_RESPONSE)

    @property
    def _has_head(self) -> bool:
        """Whether another response may have begun in the body."""
        return self._ends_like_a_head or self._detector is not None and self._detector.has_other_head

    def _unframed(self, data: bytes) -> bytes:
        if self._decoder is not None:
            pieces = self._decoder.feed(data, CHUNKS_PER_TURN)
            self.has_more = self._decoder.has_more
            self.is_complete = self._decoder.done
            self.rest = self._decoder.rest if self.is_complete else b""
            return pieces[0] if len(pieces) == 1 else b"".join(pieces)
        if self.framing is Framing.UNTIL_CLOSE:
            return data
        part, self.rest = data[: self._left], data[self._left :]
        self._left -= len(part)
        self.is_complete = not self._left
        return part

    def _check_end(self) -> None:
        if self.framing is not Framing.LENGTH:
            return
        self.rest = self.rest or self._pending()
        if self.puts_end_in_doubt(self.rest):
            raise EndInDoubtError("bytes behind a body's length that are no response")
