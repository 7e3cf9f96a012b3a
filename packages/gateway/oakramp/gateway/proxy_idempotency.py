"""Idempotent calls: each operation key runs once, through any gateway, and repeats receive the first response."""

import base64

from oakramp.common.constants import CLAIM_RESPONSE_LIMIT
from oakramp.common.errors import BadRequestError, OakrampError, Verdict
from oakramp.gateway.idempotency_claim import ClaimRefusedError, IdempotencyClaim
from oakramp.gateway.proxied_request import fingerprint_of, remaining_time

CONFIRM_TIME_MIN = 0.05  # s; the least time for which a request waits until the end of its claim is confirmed


class IdempotentCallHandler:
    """Handles requests on routes that require an operation key."""

    def __init__(self, gate, dialect, forwarder, responses):
        self._gate, self._reactor = gate, gate.node.reactor
        self._dialect, self._forwarder, self._responses = dialect, forwarder, responses

    async def serve(self, proxied_request):
        """Forwards the call, which claims its key on a majority of disks before it is sent, and stores the response
        before it is relayed, so that a repeat through any gateway receives the same response."""
        if not proxied_request.request.operation_key:
            raise BadRequestError("this route requires an operation key")
        self._gate.check_settling()
        proxied_request.claim = claim = self._claim_of(proxied_request)
        try:
            status, headers, body = await self._forward(proxied_request, claim)
        except ClaimRefusedError as refusal:
            self._respond_without_a_run(proxied_request, refusal)
            return
        except BaseException:
            if proxied_request.may_have_run:
                claim.finish(None)
            else:
                claim.release()
            raise
        finished = claim.finish(_storable(status, headers, body))
        await claim.confirmed(finished, self._confirm_time(proxied_request))
        proxied_request.exchange.reply(status, headers, body)

    async def _forward(self, proxied_request, claim):
        try:
            return await self._forwarder.forward(proxied_request, self._responses.read_whole)
        except ClaimRefusedError:
            raise
        except OakrampError as error:
            if error.verdict is Verdict.NO:
                await claim.confirmed(claim.release(), self._confirm_time(proxied_request))
                if not proxied_request.exchange.is_gone:
                    await claim.check_not_a_repeat()
            else:
                claim.finish(None)
            raise

    def _claim_of(self, proxied_request):
        exchange, host = proxied_request.exchange, proxied_request.route.host
        return IdempotencyClaim(
            self._gate,
            "claim/" + fingerprint_of(host.encode(), proxied_request.request.operation_key.encode()),
            fingerprint_of(exchange.method.encode(), exchange.target, proxied_request.body),
            lambda: remaining_time(self._reactor, proxied_request),
        )

    def _confirm_time(self, proxied_request):
        return max(CONFIRM_TIME_MIN, proxied_request.ends_at - self._reactor.seconds())

    def _respond_without_a_run(self, proxied_request, refusal):
        if refusal.error is not None:
            raise refusal.error
        stored = refusal.stored_response
        headers = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in stored["headers"]]
        proxied_request.exchange.reply(
            stored["status"],
            self._dialect.replayed_headers(headers, proxied_request.request),
            base64.b64decode(stored["body"]),
        )


def _storable(status, headers, body):
    """The response as it is stored, or None if it is too large."""
    encoded_body = base64.b64encode(body).decode()
    if len(encoded_body) > CLAIM_RESPONSE_LIMIT:
        return None
    return {
        "status": status,
        "headers": [[name.decode("latin-1"), value.decode("latin-1")] for name, value in headers],
        "body": encoded_body,
    }
