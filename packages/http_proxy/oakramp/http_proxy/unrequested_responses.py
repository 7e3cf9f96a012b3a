"""Reads over responses to other requests, which come where the response to the current one is awaited."""

from __future__ import annotations

from oakramp.common.constants import UNREQUESTED_RESPONSE_LIMIT, UNREQUESTED_RESPONSES_LIMIT
from oakramp.http_proxy.response_body import ResponseBody
from oakramp.http_proxy.response_end import Framing


class UnrequestedResponseError(Exception):
    """The response to another request came, behind which the awaited one can not be told."""


class UnrequestedResponses:
    """Those of one request.

    Invariants: `_body` reads the body of the one that has not ended, if any; `_count` and `_size` are the number of all
    of them and the bytes behind their heads.
    """

    __slots__ = ("_body", "_count", "_size")

    def __init__(self) -> None:
        self._body: ResponseBody | None = None
        self._count = self._size = 0

    @property
    def is_reading(self) -> bool:
        """Whether one has begun and not ended."""
        return self._body is not None

    def begin(self, framing: Framing, length: int | None) -> None:
        """Begins with the body of another one. Raises UnrequestedResponseError if they are too many, or if its end can
        not be told."""
        self._count += 1
        if framing is Framing.UNTIL_CLOSE or self._count > UNREQUESTED_RESPONSES_LIMIT:
            raise UnrequestedResponseError
        self._body = ResponseBody(framing, length)

    def read_over(self, data: bytes) -> bytes:
        """Returns what comes behind the body. Raises UnrequestedResponseError if they are too long, and
        MalformedMessageError."""
        body = self._body
        if body is None:
            return data
        self._size += len(data)
        if self._size > UNREQUESTED_RESPONSE_LIMIT:
            raise UnrequestedResponseError
        body.feed(data)
        while body.has_more:
            body.feed(b"")
        if not body.is_complete:
            return b""
        self._body = None
        return body.rest
