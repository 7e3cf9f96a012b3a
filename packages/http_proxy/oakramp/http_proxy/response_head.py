"""Reads the heads of responses: the interim ones, which are dropped, and the final one."""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import NamedTuple

from oakramp.common.backend_room import BackendHolding, Part
from oakramp.common.constants import FIELD_COST, RESPONSE_FIELDS_LIMIT, RESPONSE_HEAD_LIMIT
from oakramp.http_proxy.framing import MalformedMessageError, parse_fields

STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: [^\x00-\x08\x0a-\x1f\x7f]*)?\r\n")
_STATUS_LINE_IN_VALUE = re.compile(rb"HTTP/1\.[01] [1-5][0-9][0-9](?: |$)")
_SWITCHING_PROTOCOLS = 101
_FIRST_FINAL_STATUS = 200


class ResponseHead(NamedTuple):
    """The final head of a response, and the bytes that came behind it."""

    status: int
    fields: list[tuple[bytes, bytes]]  # end-to-end fields as they came
    hop_by_hop: dict[bytes, list[bytes]]  # the others, by lower-case name
    is_11: bool  # whether it is of HTTP/1.1
    rest: bytes


class ResponseHeadReader:
    """Reads one head after the other.

    Invariants: `_buffer` holds the beginning of a head; `_interim_size` counts the bytes of the interim heads of the
    current response.
    """

    def __init__(self) -> None:
        self._buffer, self._interim_size = b"", 0

    def begin(self) -> None:
        """Forgets what has come; the next bytes begin a response."""
        self._buffer, self._interim_size = b"", 0

    def feed(self, data: bytes, holding: BackendHolding) -> ResponseHead | None:
        """Returns the final head once it is whole, else None; `holding` has room for it.

        Raises:
            MalformedMessageError: the bytes are no head, or a head that starts anew in itself.
            ResponseLimitError: there is no room, or the heads are too long.
        """
        data = self._buffer + data if self._buffer else data
        while True:
            end = data.find(b"\r\n\r\n")
            self._take_room(data, len(data) if end < 0 else end + 4, holding)
            if end < 0:
                if not data.startswith(b"HTTP/1."[: len(data)]):
                    raise MalformedMessageError("the status line")
                self._buffer = data
                return None
            head = _parse(data, end)
            if head.status >= _FIRST_FINAL_STATUS:
                self.begin()
                return head
            data = head.rest
            self._interim_size += end + 4

    def _take_room(self, data: bytes, size: int, holding: BackendHolding) -> None:
        """Takes room for a header block that begins with `size` bytes of `data`."""
        fields = data.count(b"\n", 0, size)
        if self._interim_size + size > RESPONSE_HEAD_LIMIT:
            raise holding.limit_error(Part.HEAD, self._interim_size + size, RESPONSE_HEAD_LIMIT)
        if fields > RESPONSE_FIELDS_LIMIT:
            raise holding.limit_error(Part.HEAD, size + FIELD_COST * fields, FIELD_COST * RESPONSE_FIELDS_LIMIT)
        holding.keep(Part.HEAD, size + FIELD_COST * fields)


def _parse(data: bytes, end: int) -> ResponseHead:
    """The head in `data` whose last line ends at `end`."""
    line = STATUS_LINE.match(data)
    if line is None:
        raise MalformedMessageError("the status line")
    fields, hop_by_hop = parse_fields(data[line.end() : end + 2])
    status = int(line[2])
    if status == _SWITCHING_PROTOCOLS:
        raise MalformedMessageError("a change of protocol that was not requested")
    if b"HTTP/1." in data[line.end() : end] and _starts_anew(fields):
        raise MalformedMessageError("a head that starts anew inside")
    return ResponseHead(status, fields, hop_by_hop, line[1] == b"1", data[end + 4 :])


def _starts_anew(fields: Iterable[tuple[bytes, bytes]]) -> bool:
    """Whether a field was interrupted by a status line, behind which it comes again."""
    interrupted = set()
    for name, value in fields:
        if name.lower() in interrupted:
            return True
        if _STATUS_LINE_IN_VALUE.search(value):
            interrupted.add(name.lower())
    return False
