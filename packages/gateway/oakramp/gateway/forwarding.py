"""Places requests on replicas and forwards them; shared by turns and plain calls."""

import json

from twisted.internet import defer

from oakramp.common.constants import FORWARD_ATTEMPTS
from oakramp.common.errors import (
    DeadlineExceededError,
    IncompleteResponseError,
    OakrampError,
    OutcomeUnknownError,
    OverloadedError,
    PlanChangedError,
    ResponseLimitError,
    Verdict,
)
from oakramp.common.tasks import begin, within
from oakramp.gateway.idempotency_claim import ClaimRefusedError
from oakramp.gateway.load_balancer import PlacementRequest, prefix_of
from oakramp.gateway.turn_admission import AdmissionRefusedError


class Forwarder:
    def __init__(self, node, bindings, load_balancer, web_client, metrics):
        self._node, self._bindings, self._load_balancer = node, bindings, load_balancer
        self._client, self._metrics = web_client, metrics

    async def forward(self, request, may_repeat, send):
        """Places the request and calls `send(replica, check_before_send)`.

        After a failure with verdict no, retries on another replica; after one with verdict maybe, only if
        `may_repeat()` returns true."""
        ambiguous_error = None
        for attempt in range(FORWARD_ATTEMPTS):
            try:
                replica = await self._place_on_current_binding(request)
            except OakrampError as error:
                raise _keep_ambiguous(ambiguous_error, error) from None
            placed_at = self._node.reactor.seconds()
            try:
                return await send(replica, lambda: self._check_before_send(request, replica))
            except (ClaimRefusedError, AdmissionRefusedError):
                raise  # not the replica's fault
            except OakrampError as error:
                if error.verdict is Verdict.NO or isinstance(error, ResponseLimitError):
                    self._load_balancer.refused(replica)
                self._metrics.count("carry_failed", verdict=error.verdict.value)
                if attempt == FORWARD_ATTEMPTS - 1 or not self._may_retry(request, may_repeat, error):
                    raise _keep_ambiguous(ambiguous_error, error) from error
                if error.verdict is not Verdict.NO:
                    ambiguous_error = error
                self._node.log.info(
                    "forward_retried",
                    replica=replica.row["id"],
                    reason=error.reason,
                    request=request.body["request"],
                    verdict=error.verdict.value,
                )
            finally:
                self._load_balancer.release(replica, placed_at)

    def _may_retry(self, request, may_repeat, error):
        return error.verdict is Verdict.NO or (
            may_repeat() and self._node.reactor.seconds() < request.wait_until and not request.call.is_gone
        )

    def _current_binding(self, request):
        return self._bindings.find(request.partner, request.binding_name, request.kind)

    async def _place_on_current_binding(self, request):
        """A replica placed under a binding that is known to be current.

        While it waits, the request follows changes of its binding: to another pool, another urgency or another limit.
        Changes that arrived during the wait are checked before the replica is returned."""
        while True:
            binding = self._current_binding(request)
            request.bind(binding)
            request.remaining(self._node.reactor.seconds())
            try:
                replica = await self._place(request, binding)
            except PlanChangedError:
                continue
            placed_at = self._node.reactor.seconds()
            try:
                await self._bindings.wait_until_fresh(request.partner, request.wait_until)
                if request.call.is_gone:
                    raise DeadlineExceededError("the client disconnected")
                current = self._current_binding(request)
            except OakrampError:
                self._load_balancer.release(replica, placed_at)
                raise
            if (
                current == binding
                and replica.row["state"] == "ready"
                and replica.row["id"] in self._load_balancer.replicas
            ):
                return replica
            self._load_balancer.release(replica, placed_at)

    async def _place(self, request, binding):
        """A place on a replica; a request that turns out to be a repeat of one that was sent waits no longer."""
        placing = begin(
            self._load_balancer.place(
                PlacementRequest(
                    request.partner,
                    binding["pool"],
                    binding["urgency"],
                    request.wait_until,
                    lambda: self._current_binding(request) == binding,
                    request.fields.get("lineKey", ""),
                    prefix_of(request.fields.get("start", "")),
                    binding.get("adapter"),
                    binding.get("modelWeights"),
                )
            )
        )
        refusals = []

        def refuse(failure):
            refusals.append(failure.value)
            placing.cancel()

        if request.permit is not None and not placing.called:
            request.permit.request_waits().addErrback(refuse)
        try:
            return await placing
        except defer.CancelledError:
            if refusals:
                raise refusals[0] from None
            raise

    def _check_before_send(self, request, replica):
        """Runs once the connection is open and before anything is written, so that the checks hold at that moment."""
        reason = self._bindings.staleness(request.partner)
        if reason is not None:
            raise OverloadedError(reason, retry_after=1)
        if replica.row["state"] != "ready" or replica.row["id"] not in self._load_balancer.replicas:
            raise OverloadedError("the replica is leaving or no longer listed", retry_after=1)
        if self._current_binding(request) != request.binding:
            raise OverloadedError("the binding was replaced before the request was sent", retry_after=1)
        request.remaining(self._node.reactor.seconds())
        request.may_have_run = True


def _keep_ambiguous(ambiguous_error, error):
    """A later attempt that did not run must not hide an earlier one that may have run."""
    return ambiguous_error if ambiguous_error is not None and error.verdict is Verdict.NO else error


async def error_from_rejection(reactor, response, lines, time_left):
    """The error for a response with a status other than 200. Its verdict is no only if the replica states it."""
    message = {}
    try:
        line = await within(
            reactor,
            time_left,
            lines.next(),
            OutcomeUnknownError("the body of the replica's rejection did not end in time"),
        )
        message = json.loads(line) if line else {}
    except (ValueError, RecursionError, OakrampError):
        message = {}
    finally:
        lines.abort()
    if isinstance(message, dict) and message.get("verdict") == "no":
        return OverloadedError(f"the replica rejected the request with status {response.code}", retry_after=1)
    return IncompleteResponseError(f"the replica responded with status {response.code}", Verdict.MAYBE)
