"""How the end of a response is told, and what ended it: the values that logs and metrics name."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from typing import Any

from oakramp.common.constants import LOG_PAUSE
from oakramp.common.log_rate_limit import LogRateLimit

_BODILESS = frozenset((204, 304))


class Framing(StrEnum):
    """How a response tells where its body ends."""

    LENGTH = "length"
    CHUNKED = "chunked"
    UNTIL_CLOSE = "until_close"
    NO_BODY = "no_body"  # by the request's method or the status


class End(StrEnum):
    """What ended a response. Only the first three can make it complete."""

    FRAMING = "framing"  # its length, its last chunk, or the head of a response without a body
    CLOSED = "closed"  # the back end closed the connection in an orderly way, which ends a body until close
    EXCESS_AFTER = "excess_after"  # as FRAMING, and more bytes came behind it, which do not put the end in doubt
    EXCESS_IN_DOUBT = "excess_in_doubt"  # its length is used up, but what comes behind it is no response
    STARTED_ANEW = "started_anew"  # the head of another response stands in its body
    AT_DEADLINE = "at_deadline"  # as CLOSED, when the time that the back end was handed was over
    TRUNCATED = "truncated"  # the back end closed or reset the connection before the end
    MALFORMED = "malformed"  # the bytes do not fit the framing
    OTHER_REQUEST = "other_request"  # the head belongs to another request
    CUT_OFF = "cut_off"  # a limit of this process
    GIVEN_UP = "given_up"  # this process closed the connection: a deadline, a client that left, a stop


def framing_of(method: str, status: int, length: int | None) -> Framing:
    """How the end of a response's body is told; `length` is the stated one, None for chunks, or -1 without either."""
    if method == "HEAD" or status in _BODILESS:
        return Framing.NO_BODY
    if length is None:
        return Framing.CHUNKED
    return Framing.UNTIL_CLOSE if length == -1 else Framing.LENGTH


class Excess(StrEnum):
    """Where bytes came that belong to no request."""

    AFTER_RESPONSE = "after_response"  # together with the end of a response
    IDLE = "idle"  # on a connection that no request uses
    BEFORE_REQUEST = "before_request"  # on a new connection, before anything was sent on it
    IN_PLACE_OF_RESPONSE = "in_place_of_response"  # a head of another request where one is awaited


class ResponseEnds:
    """Counts how responses ended, and logs bytes that belong to no request.

    Invariants: `ended[framing, end]` counts responses, `excess[place]` connections on which such bytes came.
    """

    def __init__(self, reactor: Any, log: Any) -> None:
        self.ended: Counter[tuple[Framing, End]] = Counter()
        self.excess: Counter[Excess] = Counter()
        self._log, self._log_limit = log, LogRateLimit(reactor, LOG_PAUSE)

    def count(self, framing: Framing, end: End) -> None:
        """Counts a response whose head had come."""
        self.ended[framing, end] += 1

    def report_excess(self, place: Excess, address: str, size: int) -> None:
        """Counts and logs at least `size` bytes from a back end that belong to no request."""
        self.excess[place] += 1
        left_out = self._log_limit.take()
        if left_out is not None:
            self._log.warning(
                "unrequested_bytes_received", place=place.value, address=address, bytes=size, left_out=left_out
            )

    def show(self, metrics: Any) -> None:
        """Registers the metrics."""
        for framing in Framing:
            for end in End:
                metrics.gauge(
                    "responses_ended",
                    lambda key=(framing, end): self.ended[key],
                    framing=framing.value,
                    ended_by=end.value,
                )
        for place in Excess:
            metrics.gauge("unrequested_bytes", lambda place=place: self.excess[place], place=place.value)
