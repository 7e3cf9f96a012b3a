"""Framing of HTTP/1.1 messages: header blocks and chunked bodies, for clients and replicas alike.

twisted.web.http's own helpers (`_parseRequestLine`, `_ChunkedTransferDecoder`) read the same grammar byte by
byte in Python. A gateway has one slow core, so the grammar is in compiled patterns here; the tests compare the decoder
with Twisted's. Parsing is strict: a message that two parsers could read differently is rejected, since a request whose
end the replica sees elsewhere results in a request that no client sent (request smuggling).
"""

import math
import re
from http import HTTPStatus

from oakramp.common.constants import CHUNK_LINE_LIMIT

TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_FIELD = re.compile(rb"^(" + TOKEN + rb"):[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*)\r\n", re.M)
_CHUNK = re.compile(rb"([0-9a-fA-F]{1,15})(?:;[\t\x20-\x7e\x80-\xff]*)?\r\n")
BARE_LINE_FEED = re.compile(rb"(?<!\r)\n")

# Fields that concern one connection only, and those that define the framing of a body on it.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}
_STATUS_LINES = {}


class MalformedMessageError(ValueError):
    """The bytes are not HTTP/1.1, or could be read in two ways."""


class LineLimitError(MalformedMessageError):
    """A size line of a chunk, or the trailers, are longer than `limit` bytes."""

    def __init__(self, reason, size, limit):
        super().__init__(reason)
        self.size, self.limit = size, limit


def status_line(status):
    line = _STATUS_LINES.get(status)
    if line is None:
        phrase = _PHRASES.get(status, b"Unknown")
        line = _STATUS_LINES[status] = b"HTTP/1.1 %d %b\r\n" % (status, phrase)
    return line


def parse_fields(block):
    """Parses lines that each end in CR LF. Returns the end-to-end fields as they came, and the values of the
    hop-by-hop ones by lower-case name."""
    found = _FIELD.findall(block)
    if len(found) != block.count(b"\n"):
        raise MalformedMessageError("a header line is malformed")
    fields, hop_by_hop = [], {}
    for name, value in found:
        lowered = name.lower()
        if lowered in HOP_BY_HOP:
            hop_by_hop.setdefault(lowered, []).append(value.strip(b" \t"))
        else:
            fields.append((name, value.rstrip(b" \t")))
    if b"connection" in hop_by_hop:
        named = {token.strip(b" \t").lower() for value in hop_by_hop[b"connection"] for token in value.split(b",")}
        hop_by_hop[b"connection"] = named
        named = named - {b"close", b"keep-alive", b"host", b""}
        if named:
            fields = [field for field in fields if field[0].lower() not in named]
    return fields, hop_by_hop


def body_length(hop_by_hop):
    """Returns the length that the header states, None if the body is chunked, or -1 if neither is stated."""
    lengths, codings = hop_by_hop.get(b"content-length"), hop_by_hop.get(b"transfer-encoding")
    if codings is not None:
        if lengths is not None:
            raise MalformedMessageError("both a length and a transfer coding")
        if len(codings) != 1 or codings[0].lower() != b"chunked":
            raise MalformedMessageError("a transfer coding other than chunked")
        return None
    if lengths is None:
        return -1
    if len(lengths) != 1 or not lengths[0].isdigit() or len(lengths[0]) > 15:
        raise MalformedMessageError("a length that is not one number")
    return int(lengths[0])


def join_head(first_line, fields, last):
    """Returns a header block. Raises MalformedMessageError for a line break in a value, which would start another
    header or another message."""
    head = b"%b%b%b\r\n" % (first_line, b"".join([b"%b: %b\r\n" % field for field in fields]), last)
    lines = len(fields) + last.count(b"\n") + 2
    if head.count(b"\n") != lines or head.count(b"\r") != lines:
        raise MalformedMessageError("a line break inside a header")
    return head


class ChunkedDecoder:
    """Invariant: `rest` holds the bytes that are not decoded yet; once `done`, those that follow the body. With
    `has_more` they may hold whole chunks, which the next `feed` decodes."""

    __slots__ = ("rest", "done", "has_more", "_left", "_state", "_trailers", "_trailer_limit")
    SIZE, DATA, DATA_END, TRAILER = range(4)

    def __init__(self, trailer_limit):
        self.rest, self.done, self.has_more = b"", False, False
        self._left, self._state, self._trailers, self._trailer_limit = 0, self.SIZE, 0, trailer_limit

    def feed(self, data, most=math.inf):
        """Returns the pieces of the body in `data`, at most `most` of them."""
        if self.rest:
            data = self.rest + data
        at, size, state, pieces = 0, len(data), self._state, []
        self.has_more = False
        while not self.done:
            if state == self.SIZE:
                if len(pieces) >= most:
                    self.has_more = at < size
                    break
                match = _CHUNK.match(data, at, at + CHUNK_LINE_LIMIT)
                if match is None:
                    if data.find(b"\n", at, at + CHUNK_LINE_LIMIT) < 0 and size - at >= CHUNK_LINE_LIMIT:
                        raise LineLimitError("a chunk's size line is too long", size - at, CHUNK_LINE_LIMIT)
                    if data.find(b"\n", at) >= 0:
                        raise MalformedMessageError("a chunk's size line is malformed")
                    break
                at, self._left = match.end(), int(match[1], 16)
                state = self.DATA if self._left else self.TRAILER
            elif state == self.DATA:
                if size - at < self._left:
                    if at < size:
                        pieces.append(data[at:])
                        self._left -= size - at
                        at = size
                    break
                pieces.append(data[at : at + self._left])
                at += self._left
                state = self.DATA_END
            elif state == self.DATA_END:
                if not data.startswith(b"\r\n", at):
                    if size - at >= 2 or (size > at and not data.startswith(b"\r", at)):
                        raise MalformedMessageError("a chunk is longer than its size")
                    break
                at += 2
                state = self.SIZE
            else:
                end = data.find(b"\r\n", at)
                trailers = self._trailers + (size if end < 0 else end) - at
                if trailers > self._trailer_limit:
                    raise LineLimitError("trailers are too long", trailers, self._trailer_limit)
                if end < 0:
                    break
                self._trailers += end + 2 - at
                self.done = end == at
                at = end + 2
        self._state = state
        self.rest = data[at:] if at < size else b""
        return pieces
