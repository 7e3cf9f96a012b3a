"""Keyed calls: each key runs once, through whatever gate, and its repeats get the first answer."""

import base64

from oakramp.common.constants import CLAIM_ANSWER_LIMIT, CLAIM_LEAVE
from oakramp.common.errors import (
    BadRequestError,
    InProgressError,
    OakrampError,
    OutcomeUnknownError,
    QuorumUnavailableError,
    RequestRejectedError,
    Verdict,
)
from oakramp.common.tasks import shielded, within
from oakramp.gateway.proxied_request import print_of, remaining


class KeyedCalls:
    """The way of a request on a route that asks for keys."""

    def __init__(self, gate, dialect, carrier, answers):
        self._gate, self._reactor, self._log, self._owners = gate, gate.node.reactor, gate.node.log, gate.leaders
        self._dialect, self._carrier, self._answers = dialect, carrier, answers

    async def serve(self, proxied_request):
        """A keyed call is claimed on a majority of disks before it may leave, and its answer kept before it is passed
        on: a repeat, through whatever gate, gets that answer."""
        request, route = proxied_request.request, proxied_request.route
        if not request.operation_key:
            raise BadRequestError("this route needs an operation key")
        self._gate.check_settling()
        key = "claim/" + print_of(route.host.encode(), request.operation_key.encode())
        pairs = self._gate.admission() | {
            "print": print_of(
                proxied_request.exchange.method.encode(), proxied_request.exchange.target, proxied_request.body
            )
        }
        proxied_request.leave_by = self._reactor.seconds() + CLAIM_LEAVE
        try:
            claimed = await self._owners.call(key, "claim", pairs, remaining(self._reactor, proxied_request))
        except OutcomeUnknownError as error:
            self._gate.background(self._owners.call_until_done(key, "free", pairs))
            raise QuorumUnavailableError(f"the claim's owner did not answer: {error.reason}") from error
        except RequestRejectedError as error:
            if error.code != RequestRejectedError.code:
                raise
            # Overtaken by a later claim that was taken back: nothing of it ran, and its caller may come again.
            raise QuorumUnavailableError(error.reason) from error
        if claimed["state"] == "done":
            self._pass_kept(proxied_request, claimed["answer"])
            return
        try:
            status, headers, body = await self._carrier.forward(proxied_request, self._answers.gather_whole)
        except OakrampError as error:
            if error.verdict is Verdict.NO:
                await self._finish_claim(proxied_request, key, "free", pairs)
            raise
        except BaseException:
            if not proxied_request.left:
                self._gate.background(self._owners.call_until_done(key, "free", pairs))
            raise
        kept = {
            "status": status,
            "headers": [[name.decode("latin-1"), value.decode("latin-1")] for name, value in headers],
            "body": base64.b64encode(body).decode(),
        }
        small = len(kept["body"]) <= CLAIM_ANSWER_LIMIT
        await self._finish_claim(proxied_request, key, "finish", pairs | {"answer": kept if small else None})
        proxied_request.exchange.reply(status, headers, body)

    async def _finish_claim(self, proxied_request, key, command, pairs):
        """Waits for the owner as long as the caller does; it goes on until the owner has it either way."""
        work = self._gate.background(self._owners.call_until_done(key, command, pairs))
        try:
            await within(self._reactor, max(0.05, proxied_request.ends_at - self._reactor.seconds()), shielded(work))
        except OakrampError as error:
            self._log.warning("idempotency_claim_late", command=command, reason=error.reason)

    def _pass_kept(self, proxied_request, kept):
        if kept is None:
            raise InProgressError("this ran before; its answer was too large to keep")
        headers = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in kept["headers"]]
        proxied_request.exchange.reply(
            kept["status"],
            self._dialect.repeat_headers(headers, proxied_request.request),
            base64.b64decode(kept["body"]),
        )
