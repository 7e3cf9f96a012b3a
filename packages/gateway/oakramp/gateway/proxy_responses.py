"""Relays replicas' responses to clients: small ones are buffered whole, larger ones are passed on as they arrive."""

from oakramp.common.backend_room import Part
from oakramp.common.constants import PIECE_SIZE_MIN, RESPONSE_HELD_LIMIT
from oakramp.common.errors import IncompleteResponseError, OutcomeUnknownError, Verdict
from oakramp.common.tasks import within
from oakramp.gateway.proxied_request import ClientDisconnectedError, remaining_run_time

NOT_MODIFIED = 304
NOT_IN_TIME = "the replica's response did not end before the deadline"


def _append(parts, part):
    """Adds a part to those that are gathered; small ones are joined, so that each costs little beside its bytes."""
    if parts and len(parts[-1]) < PIECE_SIZE_MIN:
        parts[-1] += part
    else:
        parts.append(part)


class ResponseRelay:
    """`limits()` returns the limits in force, with `body_bytes`.

    Each method ends by the request's deadline, whether the replica or the client is slow."""

    def __init__(self, reactor, dialect, limits):
        self._reactor, self._dialect, self._limits = reactor, dialect, limits

    def _body_limit(self):
        return max(RESPONSE_HELD_LIMIT, self._limits().body_bytes)

    async def read_buffered(self, proxied_request, response, instance):
        """Reads up to RESPONSE_HELD_LIMIT bytes, so that a small response is complete before any of it is relayed.

        Reads fewer if this process has no memory left for them.

        A small response that is cut off has not been relayed at all, so its request may be retried. Returns the status,
        the headers, the parts read and the response with the rest of the body, or None in its place at the end."""
        parts, size = [], 0
        while size < RESPONSE_HELD_LIMIT:
            part = await within(
                self._reactor,
                remaining_run_time(self._reactor, proxied_request),
                response.next(),
                OutcomeUnknownError(NOT_IN_TIME),
            )
            if part is None:
                return response.status, self._dialect.response_headers(response.headers), parts, None
            size += len(part)
            response.holding.gather(size)
            has_room = self._take_room(proxied_request, part)
            _append(parts, part)
            if not has_room:
                break
        return response.status, self._dialect.response_headers(response.headers), parts, response

    async def read_whole(self, proxied_request, response, instance):
        """Returns the status, the headers and the whole body."""
        status, headers, parts, rest = await self.read_buffered(proxied_request, response, instance)
        if rest is not None:
            parts += await within(
                self._reactor,
                remaining_run_time(self._reactor, proxied_request),
                self._read_rest(proxied_request, rest, self._body_limit()),
                OutcomeUnknownError(NOT_IN_TIME),
            )
        return status, headers, b"".join(parts)

    async def _read_rest(self, proxied_request, response, limit):
        """The parts of the rest of a response. Raises ResponseLimitError if all of it is over `limit` bytes."""
        parts = []
        while (part := await response.next()) is not None:
            if response.received > limit:
                raise response.holding.limit_error(Part.GATHERED, response.received, limit)
            response.holding.gather(response.received)
            if not self._take_room(proxied_request, part):
                raise IncompleteResponseError("no memory for the response", Verdict.MAYBE)
            _append(parts, part)
        return parts

    @staticmethod
    def _take_room(proxied_request, part):
        """Takes room for a part that is kept; False if there is none."""
        if not proxied_request.exchange.reserve(len(part)):
            return False
        proxied_request.response_held += len(part)
        return True

    async def relay(self, proxied_request, response, instance):
        """Relays the response; one that is longer than RESPONSE_HELD_LIMIT is streamed."""
        status, headers, parts, rest = await self.read_buffered(proxied_request, response, instance)
        if proxied_request.exchange.method == "HEAD" or status == NOT_MODIFIED:
            proxied_request.exchange.start(status, headers, response.length)  # the length of the body that is omitted
            proxied_request.exchange.finish()
            return
        await self._write_response(proxied_request, status, headers, parts, rest)

    async def _write_response(self, proxied_request, status, headers, parts, response):
        exchange = proxied_request.exchange
        if response is None:
            exchange.reply(status, headers, b"".join(parts))
            return
        exchange.start(status, headers, response.length)
        try:
            for part in parts:
                exchange.write(part)
            parts.clear()
            exchange.give_back(proxied_request.response_held)
            proxied_request.response_held = 0
            response.holding.gather(0)
            while (part := await self.next_part(proxied_request, response)) is not None:
                exchange.write(part)
                if exchange.is_full:
                    await self.wait_writable(proxied_request, response)
        except BaseException:
            response.abort()
            raise
        exchange.finish()

    def next_part(self, proxied_request, response):
        """A deferred that fires with the next part of a response that is being relayed, or with None at its end."""
        # Checked even if the replica never pauses, so that no single wait times out.
        self.check_deadline(proxied_request, response)
        return within(
            self._reactor,
            remaining_run_time(self._reactor, proxied_request),
            response.next(),
            IncompleteResponseError(NOT_IN_TIME),
        )

    def check_deadline(self, proxied_request, response):
        """Raises IncompleteResponseError if the deadline has passed and the response has not ended."""
        if self._reactor.seconds() >= proxied_request.ends_at and not response.has_ended:
            raise IncompleteResponseError(NOT_IN_TIME)

    async def wait_writable(self, proxied_request, response):
        """Pauses the relaying while the client reads slowly; a response that has ended is already buffered."""
        if not response.has_ended:
            timeout_error = ClientDisconnectedError("the client did not read its response in time", Verdict.MAYBE)
            await within(
                self._reactor,
                remaining_run_time(self._reactor, proxied_request),
                proxied_request.exchange.wait_writable(),
                timeout_error,
            )
