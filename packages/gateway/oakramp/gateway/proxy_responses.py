"""Replicas' answers on their way to the callers: gathered whole while they are small, passed on as they come."""

from oakramp.common.constants import ANSWER_HELD
from oakramp.common.errors import IncompleteResponseError, OutcomeUnknownError, Verdict
from oakramp.common.tasks import within
from oakramp.gateway.proxied_request import ClientDisconnectedError, remaining_run

NOT_MODIFIED = 304


class LocalResponses:
    """`limits()` gives the body_bytes in force. Each method ends within the passage's time, whoever is slow."""

    def __init__(self, reactor, dialect, limits):
        self._reactor, self._dialect, self._limits = reactor, dialect, limits

    def _body_limit(self):
        return max(ANSWER_HELD, self._limits().body_bytes)

    async def gather(self, proxied_request, answer, instance):
        """The answer, whole if it is small: a small one that is cut off was not passed on and may be asked again."""
        parts, size = [], 0
        while size < ANSWER_HELD:
            part = await within(
                self._reactor,
                remaining_run(self._reactor, proxied_request),
                answer.next(),
                OutcomeUnknownError("the replica's answer did not end in time"),
            )
            if part is None:
                return answer.status, self._dialect.answer_headers(answer.headers), parts, None
            parts.append(part)
            size += len(part)
        return answer.status, self._dialect.answer_headers(answer.headers), parts, answer

    async def gather_whole(self, proxied_request, answer, instance):
        """The answer with its whole body."""
        status, headers, parts, rest = await self.gather(proxied_request, answer, instance)
        if rest is not None:
            parts.append(
                await within(
                    self._reactor,
                    remaining_run(self._reactor, proxied_request),
                    rest.read(self._body_limit()),
                    OutcomeUnknownError("the replica's answer did not end in time"),
                )
            )
        return status, headers, b"".join(parts)

    async def relay(self, proxied_request, answer, instance):
        """Passes the answer on, a long one as it comes."""
        status, headers, parts, rest = await self.gather(proxied_request, answer, instance)
        if proxied_request.exchange.method == "HEAD" or status == NOT_MODIFIED:
            proxied_request.exchange.start(status, headers, answer.length)  # that of the body that isn't sent
            proxied_request.exchange.finish()
            return
        await self._pass_on(proxied_request, status, headers, parts, rest)

    async def _pass_on(self, proxied_request, status, headers, parts, answer):
        exchange = proxied_request.exchange
        if answer is None:
            exchange.reply(status, headers, b"".join(parts))
            return
        exchange.start(status, headers, answer.length)
        try:
            for part in parts:
                exchange.write(part)
            while (part := await self.next_part(proxied_request, answer)) is not None:
                exchange.write(part)
                if exchange.is_full:
                    await self.wait_writable(proxied_request, answer)
        except BaseException:
            answer.abort()
            raise
        exchange.finish()

    def next_part(self, proxied_request, answer):
        """Fires with what comes next of an answer that is being passed on; with None at its end."""
        late = IncompleteResponseError("the replica's answer did not end in time")
        if self._reactor.seconds() >= proxied_request.ends_at and not answer.has_ended:
            raise late  # also if there is always something to pass on
        return within(self._reactor, remaining_run(self._reactor, proxied_request), answer.next(), late)

    async def wait_writable(self, proxied_request, answer):
        """Holds the replica up while its answer's caller is slow; the rest of one that has ended is here already."""
        if not answer.has_ended:
            late = ClientDisconnectedError("the caller did not take its answer in time", Verdict.MAYBE)
            await within(
                self._reactor,
                remaining_run(self._reactor, proxied_request),
                proxied_request.exchange.wait_writable(),
                late,
            )
