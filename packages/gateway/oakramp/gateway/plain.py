"""The filters of a plain service call: bind, claim, then place and carry."""

import json

from schema import Optional, Or

from oakramp.common.constants import CALL_TIME, CLAIM_ANSWER_LIMIT, CLAIM_LEAVE, TIME_LEFT_LIMIT
from oakramp.common.errors import (
    ConflictError,
    DeadlineExceededError,
    IncompleteResponseError,
    OakrampError,
    OutcomeUnknownError,
    OverloadedError,
    Verdict,
)
from oakramp.common.validation import NAME, check_fields, pack_json, seconds
from oakramp.gateway.request import Request, chain, print_of

PLAIN = {
    Optional("key"): Or(None, NAME, error="must be a name"),
    "body": dict,
    Optional("timeLeft"): seconds(0.05, TIME_LEFT_LIMIT),
    Optional("request"): NAME,
}


class PlainCalls:
    def __init__(self, gate):
        self._gate, self._node, self._reactor = gate, gate.node, gate.node.reactor
        self._bindings, self._owners, self._carrier = gate.bindings, gate.leaders, gate.carrier
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

    async def _bind(self, request, onward):
        ends_at = self._reactor.seconds() + CALL_TIME
        request.bound(
            await self._bindings.find_surely(
                request.partner, request.binding_name, request.kind, request.asked_at, ends_at
            )
        )
        if not self._gate.placer.has_queue_room(request.partner, request.binding["pool"]):
            raise OverloadedError("too many requests wait for a replica", retry_after=1)
        return await onward(request)

    async def _claim(self, request, onward):
        """A keyed call is claimed on a majority of disks before it may leave, and its answer kept after."""
        key = request.body["key"]
        if key is None:
            return {"answer": await onward(request)}
        self._gate.check_settling()
        claim_key = f"claim/{request.partner}/{key}"
        pairs = request.admission | {"print": print_of([request.binding_name, request.body["body"]])}

        def later(command, **more):
            self._gate.background(self._owners.call_until_done(claim_key, command, pairs | more))

        # The owner counts from when it hears of the claim, so this is the earlier of the two.
        request.leave_by = self._reactor.seconds() + CLAIM_LEAVE
        try:
            claimed = await self._owners.call(claim_key, "claim", pairs, request.remaining(self._reactor.seconds()))
        except OutcomeUnknownError as error:
            later("free")  # it may be claimed, but it will not be carried
            raise DeadlineExceededError(f"the claim's owner did not answer: {error.reason}", retry_after=1) from error
        if claimed["state"] == "done" and claimed["answer"] is None:
            raise ConflictError("this ran before; its answer was too large to keep", Verdict.YES)
        if claimed["state"] == "done":
            return {"answer": claimed["answer"], "kept": True}
        try:
            answer = await onward(request)
        except OakrampError as error:
            if error.verdict is Verdict.NO:
                later("free")
            raise
        later("finish", answer=answer if len(pack_json(answer)) <= CLAIM_ANSWER_LIMIT else None)
        return {"answer": answer}

    async def _forward(self, request):
        asked = {"run": request.admission["admission"], "key": request.body["key"], "body": request.body["body"]}
        # A key wins over the binding: what may have run under it is not carried again.
        return await self._carrier.forward(
            request,
            lambda: request.body["key"] is None and bool(request.binding.get("repeatable")),
            lambda replica, last_check: self._send(request, asked, replica, last_check),
        )

    async def _send(self, request, asked, replica, last_check):
        asked = asked | request.marks()
        status, data = await self._gate.web_client.data(
            "POST",
            replica.row["address"],
            "/call",
            asked,
            request.ends_at - self._reactor.seconds(),
            last_check=last_check,
        )
        try:
            said = json.loads(data)
        except ValueError as error:
            raise IncompleteResponseError("the replica answered with what is no JSON", Verdict.MAYBE) from error
        if not isinstance(said, dict):
            raise IncompleteResponseError("the replica's answer is no object", Verdict.MAYBE)
        if status != 200 and said.get("verdict") == "no":
            raise OverloadedError(f"the replica refused with {status}", retry_after=1)
        if status != 200:
            raise IncompleteResponseError(f"the replica answered {status}", Verdict.MAYBE)
        if said.get("run") != request.admission["admission"] or not isinstance(said.get("answer"), dict):
            raise IncompleteResponseError("the replica gave an answer to another request", Verdict.MAYBE)
        return said["answer"]
