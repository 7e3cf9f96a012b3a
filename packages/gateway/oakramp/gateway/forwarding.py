"""Placing and carrying, shared by turns and plain calls."""

import json

from oakramp.common.constants import CARRY_TRIES
from oakramp.common.errors import (
    DeadlineExceededError,
    IncompleteResponseError,
    OakrampError,
    OutcomeUnknownError,
    OverloadedError,
    PlanChangedError,
    Verdict,
)
from oakramp.common.tasks import within
from oakramp.gateway.load_balancer import PlacementRequest, prefix_of


class Forwarder:
    def __init__(self, node, bindings, placer, web_client, metrics):
        self._node, self._bindings, self._placer = node, bindings, placer
        self._client, self._metrics = web_client, metrics

    async def forward(self, request, may_repeat, send):
        """Places the request, and calls `send(replica, lastCheck)`; on a no it goes on to another replica, on
        a maybe only if `mayRepeat()` says that the request may be repeated."""
        unsure = None
        for attempt in range(CARRY_TRIES):
            try:
                replica = await self._place_fresh(request)
            except OakrampError as error:
                raise _at_least(unsure, error) from None
            placed_at = self._node.reactor.seconds()
            try:
                return await send(replica, lambda: self._last_check(request, replica))
            except OakrampError as error:
                if error.verdict is Verdict.NO:
                    self._placer.refused(replica)
                self._metrics.count("carry_failed", verdict=error.verdict.value)
                if attempt == CARRY_TRIES - 1 or not self._may_retry(request, may_repeat, error):
                    raise _at_least(unsure, error) from error
                if error.verdict is not Verdict.NO:
                    unsure = error
                self._node.log.info(
                    "forward_retried",
                    replica=replica.row["id"],
                    reason=error.reason,
                    request=request.body["request"],
                    verdict=error.verdict.value,
                )
            finally:
                self._placer.release(replica, placed_at)

    def _may_retry(self, request, may_repeat, error):
        return error.verdict is Verdict.NO or (
            may_repeat() and self._node.reactor.seconds() < request.wait_until and not request.call.is_gone
        )

    def _current(self, request):
        return self._bindings.find(request.partner, request.binding_name, request.kind)

    async def _place_fresh(self, request):
        """A replica under a blueprint that is surely current. News that came while it waited counts, and while
        it waits it follows the plan: to another pool, another urgency, another bound."""
        while True:
            binding = self._current(request)
            request.bound(binding)
            request.remaining(self._node.reactor.seconds())
            try:
                replica = await self._placer.place(
                    PlacementRequest(
                        request.partner,
                        binding["pool"],
                        binding["urgency"],
                        request.wait_until,
                        lambda binding=binding: self._current(request) == binding,
                        request.fields.get("lineKey", ""),
                        prefix_of(request.fields.get("start", "")),
                        binding.get("adapter"),
                        binding.get("modelWeights"),
                    )
                )
            except PlanChangedError:
                continue
            placed_at = self._node.reactor.seconds()
            try:
                await self._bindings.wait_fresh(request.partner, request.wait_until)
                if request.call.is_gone:
                    raise DeadlineExceededError("the caller went away")
                current = self._current(request)
            except OakrampError:
                self._placer.release(replica, placed_at)
                raise
            if current == binding and replica.row["state"] == "ready" and replica.row["id"] in self._placer.replicas:
                return replica
            self._placer.release(replica, placed_at)

    def _last_check(self, request, replica):
        """Run with the connection made and nothing written: the rules hold at the moment of writing."""
        why = self._bindings.staleness(request.partner)
        if why is not None:
            raise OverloadedError(why, retry_after=1)
        if replica.row["state"] != "ready" or replica.row["id"] not in self._placer.replicas:
            raise OverloadedError("the replica is leaving", retry_after=1)
        if self._current(request) != request.binding:
            raise OverloadedError("the binding was replaced", retry_after=1)
        request.remaining(self._node.reactor.seconds())
        request.left = True


def _at_least(unsure, error):
    """A try that may have run is not unsaid by a later one that did not."""
    return unsure if unsure is not None and error.verdict is Verdict.NO else error


async def refusal_of(reactor, response, lines, time_left):
    """The error for an answer that is not 200. No only if the replica itself says so."""
    said = {}
    try:
        line = await within(reactor, time_left, lines.next(), OutcomeUnknownError("the replica's refusal did not end"))
        said = json.loads(line) if line else {}
    except (ValueError, OakrampError):
        said = {}
    finally:
        lines.abort()
    if isinstance(said, dict) and said.get("verdict") == "no":
        return OverloadedError(f"the replica refused with {response.code}", retry_after=1)
    return IncompleteResponseError(f"the replica answered {response.code}", Verdict.MAYBE)
