"""Finds the head of a response inside the body of another one.

A back end that stutters begins an answer anew in the middle of one, or sends a further one behind it. Where the framing
does not show that (a length is filled up by whatever comes, a body until close has no end of its own), the second head
does: it is a status line, then fields, of which one names a request.
"""

from __future__ import annotations

import re

from oakramp.common.constants import RESTART_HEAD_LIMIT
from oakramp.http_proxy.framing import TOKEN, MalformedMessageError
from oakramp.http_proxy.response_end import Framing
from oakramp.http_proxy.response_head import STATUS_LINE

_BEGINNING = b"HTTP/1."
_STATUS_LINE_BEGINNING = re.compile(
    rb"HTTP/1\.(?:[01](?: (?:[1-5](?:[0-9](?:[0-9]"
    rb"(?:\r|(?: [^\x00-\x08\x0a-\x1f\x7f]*)\r?)?)?)?)?)?)?"
)
_FIELD_BEGINNING = re.compile(rb"(?:" + TOKEN + rb"(?::[^\x00-\x08\x0a-\x1f\x7f]*\r?)?)?|\r")
_FIELD = re.compile(rb"(" + TOKEN + rb"):[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*?)[ \t]*\r\n")


class StartsAnewError(MalformedMessageError):
    """A body holds the head of another response."""


class RestartDetector:
    """Passes a body on, and holds back its end as long as that may be the beginning of a head.

    Invariants: `held` is the end of what has come, which `feed` has not returned yet; `has_other_head` tells that a
    head has passed which names another request, `_names_other` that the one that was looked at last does.
    """

    __slots__ = ("held", "has_other_head", "_names_other", "_field", "_request_id")

    def __init__(self, field: bytes, request_id: bytes | None) -> None:
        """`field` is the lower-case name of the field that names a response's request. A head counts if it names
        `request_id`, or any request if that is None."""
        self.held, self.has_other_head, self._names_other = b"", False, False
        self._field, self._request_id = field, request_id

    def feed(self, data: bytes) -> bytes:
        """Returns the bytes that may be passed on. Raises StartsAnewError."""
        if self.held:
            data = self.held + data
        start = self._find_head(data)
        self.held = data[start:]
        return data[:start] if self.held else data

    def end(self, framing: Framing) -> bytes:
        """Returns what was held back.

        Raises StartsAnewError for the beginning of a head where the framing lets it pass: without an end of its own
        any; in chunks one that names another request, as the line break behind a chunk may have been the blank line
        behind that head."""
        held, self.held = self.held, b""
        line = STATUS_LINE.match(held)
        has_begun = line is not None and line.end() < len(held)
        if has_begun and (framing is Framing.UNTIL_CLOSE or framing is Framing.CHUNKED and self._names_other):
            raise StartsAnewError("a body that ends in the head of another response")
        return held

    def _find_head(self, data: bytes) -> int:
        """Where the beginning of what may be a head stands, or the length of the data."""
        start = data.find(_BEGINNING)
        while start >= 0:
            if self._may_be_head(data, start):
                return start
            start = data.find(_BEGINNING, start + 1)
        for size in range(min(len(_BEGINNING) - 1, len(data)), 0, -1):
            if data.endswith(_BEGINNING[:size]):
                return len(data) - size
        return len(data)

    def _may_be_head(self, data: bytes, start: int) -> bool:
        """Whether more bytes may show a head at `start`. Raises StartsAnewError if these do."""
        end_of_line = data.find(b"\r\n", start, start + RESTART_HEAD_LIMIT)
        if end_of_line < 0:
            is_short = len(data) - start < RESTART_HEAD_LIMIT
            return is_short and _STATUS_LINE_BEGINNING.fullmatch(data, start) is not None
        line = STATUS_LINE.match(data, start)
        if line is None:
            return False
        at, last = line.end(), start + RESTART_HEAD_LIMIT
        self._names_other = False
        while at < last and (field := _FIELD.match(data, at)) is not None:
            self._check(field[1].lower(), field[2])
            at = field.end()
        if at < last and _FIELD_BEGINNING.fullmatch(data, at) is not None:
            return True
        if self._names_other and not data.startswith(b"\r\n", at):
            raise StartsAnewError("a head inside a body, without the blank line behind it")
        return False

    def _check(self, name: bytes, value: bytes) -> None:
        """Looks whether a field names a request. Raises StartsAnewError."""
        if name != self._field:
            return
        if self._request_id in (None, value):
            raise StartsAnewError("a body that holds the head of another response")
        self.has_other_head = self._names_other = True
