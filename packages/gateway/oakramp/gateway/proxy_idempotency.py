"""Idempotent calls: each operation key runs once, through any gateway, and repeats receive the first response."""

import base64

from oakramp.common.constants import CLAIM_RESPONSE_LIMIT, CLAIM_SEND_TIME
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
from oakramp.gateway.proxied_request import fingerprint_of, remaining_time


class IdempotentCallHandler:
    """Handles requests on routes that require an operation key."""

    def __init__(self, gate, dialect, forwarder, responses):
        self._gate, self._reactor, self._log, self._leaders = gate, gate.node.reactor, gate.node.log, gate.leaders
        self._dialect, self._forwarder, self._responses = dialect, forwarder, responses

    async def serve(self, proxied_request):
        """Claims the operation key on a majority of disks before the call may be sent, and stores the response before
        it is relayed, so that a repeat through any gateway receives the same response."""
        request, route = proxied_request.request, proxied_request.route
        if not request.operation_key:
            raise BadRequestError("this route requires an operation key")
        self._gate.check_settling()
        key = "claim/" + fingerprint_of(route.host.encode(), request.operation_key.encode())
        claim_arguments = self._gate.admission() | {
            "print": fingerprint_of(
                proxied_request.exchange.method.encode(), proxied_request.exchange.target, proxied_request.body
            )
        }
        proxied_request.send_by = self._reactor.seconds() + CLAIM_SEND_TIME
        try:
            claim = await self._leaders.call(
                key, "claim", claim_arguments, remaining_time(self._reactor, proxied_request)
            )
        except OutcomeUnknownError as error:
            self._gate.background(self._leaders.call_until_done(key, "free", claim_arguments))
            raise QuorumUnavailableError(f"the owner of the claim did not respond: {error.reason}") from error
        except RequestRejectedError as error:
            if error.code != RequestRejectedError.code:
                raise
            # A later claim of the same key was processed first and released again: nothing ran, and the client may
            # retry.
            raise QuorumUnavailableError(error.reason) from error
        if claim["state"] == "done":
            self._replay_response(proxied_request, claim["answer"])
            return
        try:
            status, headers, body = await self._forwarder.forward(proxied_request, self._responses.read_whole)
        except OakrampError as error:
            if error.verdict is Verdict.NO:
                await self._finish_claim(proxied_request, key, "free", claim_arguments)
            raise
        except BaseException:
            if not proxied_request.may_have_run:
                self._gate.background(self._leaders.call_until_done(key, "free", claim_arguments))
            raise
        stored_response = {
            "status": status,
            "headers": [[name.decode("latin-1"), value.decode("latin-1")] for name, value in headers],
            "body": base64.b64encode(body).decode(),
        }
        is_storable = len(stored_response["body"]) <= CLAIM_RESPONSE_LIMIT
        await self._finish_claim(
            proxied_request, key, "finish", claim_arguments | {"answer": stored_response if is_storable else None}
        )
        proxied_request.exchange.reply(status, headers, body)

    async def _finish_claim(self, proxied_request, key, command, claim_arguments):
        """Waits for the owner to confirm the command until the request's deadline.

        The command is retried in the background until the owner has it."""
        work = self._gate.background(self._leaders.call_until_done(key, command, claim_arguments))
        try:
            await within(self._reactor, max(0.05, proxied_request.ends_at - self._reactor.seconds()), shielded(work))
        except OakrampError as error:
            self._log.warning("idempotency_claim_late", command=command, reason=error.reason)

    def _replay_response(self, proxied_request, stored_response):
        if stored_response is None:
            raise InProgressError("this operation has already run; its response was too large to store")
        headers = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in stored_response["headers"]]
        proxied_request.exchange.reply(
            stored_response["status"],
            self._dialect.replayed_headers(headers, proxied_request.request),
            base64.b64decode(stored_response["body"]),
        )
