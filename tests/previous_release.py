"""Keyed calls as the release before handled them, beside the present one in fleets of both builds.

That release claimed a key before its request waited for a replica, kept no gateway in the claim, and reported a claim
without an outcome as in progress for as long as it was kept.
"""

import base64

from schema import Optional, Or
from twisted.internet import defer

from oakramp.common.constants import CLAIM_RESPONSE_LIMIT, CLAIM_SEND_TIME
from oakramp.common.errors import (
    ConflictError,
    InProgressError,
    MethodNotFoundError,
    OakrampError,
    OutcomeUnknownError,
    QuorumUnavailableError,
    RequestRejectedError,
    Verdict,
)
from oakramp.common.tasks import shielded, within
from oakramp.common.validation import check_fields
from oakramp.control.idempotency import ADMISSION
from oakramp.control.reservation_numbers import is_cancelled, record_cancelled
from oakramp.gateway.proxied_request import fingerprint_of, remaining_time

# --- the leader's commands ---


def _put_claim(transaction, key, previous, **claim):
    transaction.put(key, {"back": (previous or {}).get("back", {})} | claim)
    transaction.context.touch(key)


def _claim(transaction, key, arguments):
    check_fields(ADMISSION, arguments)
    claim = transaction.get(key)
    if is_cancelled(claim, arguments):
        raise RequestRejectedError("this claim was cancelled before it arrived")
    if claim and claim["state"] != "free" and claim["print"] != arguments["print"]:
        raise ConflictError("this key is in use for a request with another body")
    if claim and claim["state"] == "done":
        return {"state": "done", "answer": claim["answer"]}
    if claim and claim["state"] == "claimed" and claim["admission"] != arguments["admission"]:
        raise InProgressError("this key is claimed; its request is running or may have run", retry_after=1)
    _put_claim(transaction, key, claim, state="claimed", print=arguments["print"], admission=arguments["admission"])
    return {"state": "claimed"}


def _finish(transaction, key, arguments):
    check_fields(ADMISSION | {Optional("answer"): Or(None, dict)}, arguments)
    claim = transaction.get(key)
    if claim and claim["state"] == "claimed" and claim["admission"] == arguments["admission"]:
        _put_claim(transaction, key, claim, **(claim | {"state": "done", "answer": arguments.get("answer")}))
    return {}


def _free(transaction, key, arguments):
    check_fields(ADMISSION, arguments)
    claim = transaction.get(key)
    if claim is None or claim["admission"] == arguments["admission"]:
        claim = {
            "state": "free",
            "print": arguments["print"],
            "admission": arguments["admission"],
            "back": (claim or {}).get("back", {}),
        }
    _put_claim(transaction, key, claim, **(claim | {"back": record_cancelled(transaction, claim, arguments)}))
    return {}


class PreviousController:
    """The leader's commands on idempotency keys."""

    _commands = {"claim": _claim, "finish": _finish, "free": _free}

    def run(self, transaction, key, command, arguments):
        """Runs a command as a leader of that release does."""
        if command not in self._commands:
            raise MethodNotFoundError(f"not supported by this release: {command}")
        return self._commands[command](transaction, key, arguments)


# --- the gateway's handler ---


class _EarlyClaim:
    """What the present forwarder asks of a claim, for one that was made before the request was placed."""

    def __init__(self, send_by):
        self.send_by = send_by

    async def acquire(self):
        """The key is claimed already."""

    @staticmethod
    def request_waits():
        """Keeps the claim while the request waits."""
        return defer.succeed(None)


class PreviousCallHandler:
    """Handles requests on routes that require an operation key."""

    def __init__(self, gate, dialect, forwarder, responses):
        self._gate, self._reactor, self._log, self._leaders = gate, gate.node.reactor, gate.node.log, gate.leaders
        self._dialect, self._forwarder, self._responses = dialect, forwarder, responses

    async def serve(self, proxied_request):
        """Claims the operation key, then forwards the call."""
        request, route = proxied_request.request, proxied_request.route
        key = "claim/" + fingerprint_of(route.host.encode(), request.operation_key.encode())
        claim_arguments = self._gate.admission() | {
            "print": fingerprint_of(
                proxied_request.exchange.method.encode(), proxied_request.exchange.target, proxied_request.body
            )
        }
        proxied_request.claim = _EarlyClaim(self._reactor.seconds() + CLAIM_SEND_TIME)
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
