"""Placing and carrying, shared by turns and plain calls."""

import json

from oakbase.constants import CARRY_TRIES
from oakbase.tasks import within
from oakbase.verdict import Broken, NoAnswer, OakError, Overloaded, Rebound, TimeSpent, Verdict
from oakgate.placer import Wish, prefixOf


class Carrier:
    def __init__(self, node, bindings, placer, webClient, metrics):
        self._node, self._bindings, self._placer = node, bindings, placer
        self._client, self._metrics = webClient, metrics

    async def carry(self, request, mayRepeat, send):
        """Places the request, and calls `send(replica, lastCheck)`; on a no it goes on to another replica, on
        a maybe only if `mayRepeat()` says that the request may be repeated."""
        unsure = None
        for attempt in range(CARRY_TRIES):
            try:
                replica = await self._placeFresh(request)
            except OakError as error:
                raise _atLeast(unsure, error) from None
            placedAt = self._node.reactor.seconds()
            try:
                return await send(replica, lambda: self._lastCheck(request, replica))
            except OakError as error:
                if error.verdict is Verdict.NO:
                    self._placer.refused(replica)
                self._metrics.count("carry_failed", verdict=error.verdict.value)
                if attempt == CARRY_TRIES - 1 or not self._mayRetry(request, mayRepeat, error):
                    raise _atLeast(unsure, error) from error
                if error.verdict is not Verdict.NO:
                    unsure = error
                self._node.log.event(
                    "carryRetried",
                    replica=replica.row["id"],
                    reason=error.reason,
                    request=request.body["request"],
                    verdict=error.verdict.value,
                )
            finally:
                self._placer.release(replica, placedAt)

    def _mayRetry(self, request, mayRepeat, error):
        return error.verdict is Verdict.NO or (
            mayRepeat() and self._node.reactor.seconds() < request.waitUntil and not request.call.isGone
        )

    def _current(self, request):
        return self._bindings.find(request.partner, request.bindingName, request.kind)

    async def _placeFresh(self, request):
        """A replica under a blueprint that is surely current. News that came while it waited counts, and while
        it waits it follows the plan: to another pool, another urgency, another bound."""
        while True:
            binding = self._current(request)
            request.bound(binding)
            request.remaining(self._node.reactor.seconds())
            try:
                replica = await self._placer.place(
                    Wish(
                        request.partner,
                        binding["pool"],
                        binding["urgency"],
                        request.waitUntil,
                        lambda binding=binding: self._current(request) == binding,
                        request.fields.get("lineKey", ""),
                        prefixOf(request.fields.get("start", "")),
                        binding.get("adapter"),
                        binding.get("modelWeights"),
                    )
                )
            except Rebound:
                continue
            placedAt = self._node.reactor.seconds()
            try:
                await self._bindings.waitFresh(request.partner, request.waitUntil)
                if request.call.isGone:
                    raise TimeSpent("the caller went away")
                current = self._current(request)
            except OakError:
                self._placer.release(replica, placedAt)
                raise
            if current == binding and replica.row["state"] == "ready" and replica.row["id"] in self._placer.replicas:
                return replica
            self._placer.release(replica, placedAt)

    def _lastCheck(self, request, replica):
        """Run with the connection made and nothing written: the rules hold at the moment of writing."""
        why = self._bindings.staleness(request.partner)
        if why is not None:
            raise Overloaded(why, retryAfter=1)
        if replica.row["state"] != "ready" or replica.row["id"] not in self._placer.replicas:
            raise Overloaded("the replica is leaving", retryAfter=1)
        if self._current(request) != request.binding:
            raise Overloaded("the binding was replaced", retryAfter=1)
        request.remaining(self._node.reactor.seconds())
        request.left = True


def _atLeast(unsure, error):
    """A try that may have run is not unsaid by a later one that did not."""
    return unsure if unsure is not None and error.verdict is Verdict.NO else error


async def refusalOf(reactor, response, lines, timeLeft):
    """The error for an answer that is not 200. No only if the replica itself says so."""
    said = {}
    try:
        line = await within(reactor, timeLeft, lines.next(), NoAnswer("the replica's refusal did not end"))
        said = json.loads(line) if line else {}
    except (ValueError, OakError):
        said = {}
    finally:
        lines.abort()
    if isinstance(said, dict) and said.get("verdict") == "no":
        return Overloaded(f"the replica refused with {response.code}", retryAfter=1)
    return Broken(f"the replica answered {response.code}", Verdict.MAYBE)
