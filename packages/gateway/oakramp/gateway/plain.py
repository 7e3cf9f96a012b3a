"""The filter chain of a plain service call: bind, prepare the claim of its idempotency key, then place and forward."""

import json

from schema import Optional, Or

from oakramp.common.constants import CALL_TIME, CLAIM_RESPONSE_LIMIT, TIME_LEFT_LIMIT
from oakramp.common.errors import IncompleteResponseError, OakrampError, OverloadedError, Verdict
from oakramp.common.validation import NAME, check_fields, pack_json, seconds
from oakramp.gateway.idempotency_claim import ClaimRefusedError, IdempotencyClaim
from oakramp.gateway.request import Request, chain, fingerprint_of

PLAIN = {
    Optional("key"): Or(None, NAME, error="must be a name"),
    "body": dict,
    Optional("timeLeft"): seconds(0.05, TIME_LEFT_LIMIT),
    Optional("request"): NAME,
}


class PlainCalls:
    def __init__(self, gate):
        self._gate, self._node, self._reactor = gate, gate.node, gate.node.reactor
        self._bindings, self._leaders, self._forwarder = gate.bindings, gate.leaders, gate.forwarder
        self._run = chain([self._bind, self._claim], self._forward)

    async def post(self, call):
        names = check_fields({"partner": NAME, "binding": NAME}, call.names)
        body = check_fields(PLAIN, call.json())
        request = Request(
            call,
            names["partner"],
            names["binding"],
            "plain",
            body,
            self._gate.admission(),
            self._reactor.seconds(),
            body["timeLeft"],
        )
        try:
            answer = await self._run(request)
        except OakrampError as error:
            self._gate.metrics.count("plain", outcome=error.code)
            raise
        self._gate.metrics.count("plain", outcome="done")
        return 200, answer

    async def _bind(self, request, next_step):
        ends_at = self._reactor.seconds() + CALL_TIME
        request.bind(
            await self._bindings.find_confirmed(
                request.partner, request.binding_name, request.kind, request.received_at, ends_at
            )
        )
        if not self._gate.load_balancer.has_queue_space(request.partner, request.binding["pool"]):
            raise OverloadedError("too many requests are waiting for a replica", retry_after=1)
        return await next_step(request)

    async def _claim(self, request, next_step):
        """Prepares the claim of a keyed call's key, which is made on a majority of disks before the call is sent, and
        stores the answer after the call."""
        key = request.body["key"]
        if key is None:
            return {"answer": await next_step(request)}
        self._gate.check_settling()
        request.permit = claim = IdempotencyClaim(
            self._gate,
            f"claim/{request.partner}/{key}",
            fingerprint_of([request.binding_name, request.body["body"]]),
            lambda: request.remaining(self._reactor.seconds()),
        )
        try:
            answer = await self._run_claimed(request, claim, next_step)
        except ClaimRefusedError as refusal:
            if refusal.error is not None:
                raise refusal.error from None
            return {"answer": refusal.stored_response, "kept": True}
        claim.finish(answer if len(pack_json(answer)) <= CLAIM_RESPONSE_LIMIT else None)
        return {"answer": answer}

    @staticmethod
    async def _run_claimed(request, claim, next_step):
        try:
            return await next_step(request)
        except ClaimRefusedError:
            raise
        except OakrampError as error:
            if error.verdict is Verdict.NO:
                claim.release()
                if not request.call.is_gone:
                    await claim.check_not_a_repeat()
            else:
                claim.finish(None)
            raise

    async def _forward(self, request):
        payload = {"run": request.admission["admission"], "key": request.body["key"], "body": request.body["body"]}
        # The key takes precedence over the binding: a keyed call that may have run is not sent again.
        return await self._forwarder.forward(
            request,
            lambda: request.body["key"] is None and bool(request.binding.get("repeatable")),
            lambda replica, last_check: self._send(request, payload, replica, last_check),
        )

    async def _send(self, request, payload, replica, last_check):
        payload = payload | request.forwarded_fields()
        status, data = await self._gate.web_client.data(
            "POST",
            replica.row["address"],
            "/call",
            payload,
            request.ends_at - self._reactor.seconds(),
            last_check=last_check,
            before_send=request.permit.acquire if request.permit is not None else None,
        )
        with self._gate.web_client.room_to_parse(replica.row["address"], data):
            return self._answer_in(request, status, data)

    @staticmethod
    def _answer_in(request, status, data):
        """The answer in a replica's response."""
        try:
            response = json.loads(data)
        except (ValueError, RecursionError) as error:
            raise IncompleteResponseError("the replica's response is not valid JSON", Verdict.MAYBE) from error
        if not isinstance(response, dict):
            raise IncompleteResponseError("the replica's response is not a JSON object", Verdict.MAYBE)
        if status != 200 and response.get("verdict") == "no":
            raise OverloadedError(f"the replica refused with {status}", retry_after=1)
        if status != 200:
            raise IncompleteResponseError(f"the replica answered {status}", Verdict.MAYBE)
        if response.get("run") != request.admission["admission"] or not isinstance(response.get("answer"), dict):
            raise IncompleteResponseError("the replica's response belongs to another request", Verdict.MAYBE)
        return response["answer"]
