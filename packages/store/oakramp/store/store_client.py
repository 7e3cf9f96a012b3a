"""Calls from a gate to stores, held back from a store that just failed.

Without this, each waiting request asks each store that refuses again every few milliseconds: that costs the gate more
than its work does, and the store the time in which it would start.
"""

from collections import Counter
from dataclasses import dataclass

from oakramp.common.constants import STORE_BACKOFF, STORE_BACKOFF_MAX, STORE_CALL_TIME
from oakramp.common.errors import OakrampError, OutcomeUnknownError, OverloadedError, StaleEpochError, UnreachableError

STORE_FAILURES = (
    UnreachableError,
    OutcomeUnknownError,
    OverloadedError,
    StaleEpochError,
)  # said of the store, and not of what was asked


class CallHeldBackError(UnreachableError):
    """Nothing was sent: this store failed a moment ago."""

    code = "heldBack"


@dataclass
class _Failing:
    """A store that fails since `since`, and to which nothing is sent before `until`."""

    since: float
    until: float
    pause: float
    held_back: int = 0


class StoreClient:
    """Invariant: a store is in `_failing` from a call that failed until the next one that succeeds. While it is, one
    call goes through after each pause, and the pause doubles up to STORE_BACKOFF_MAX as long as these fail. One log
    line tells when it begins, and one when it ends."""

    def __init__(self, node):
        self._node, self._reactor = node, node.reactor
        self._failing = {}
        self.counts = Counter()  # calls by outcome: answered, refused, failed, held_back

    def show(self, metrics):
        """Enters the counts of calls by outcome, and of stores that fail now."""
        for outcome in "answered", "refused", "failed", "held_back":
            metrics.gauge("store_calls", lambda outcome=outcome: self.counts[outcome], outcome=outcome)
        metrics.gauge("stores_failing", lambda: len(self._failing))

    def is_held(self, node_id):
        """Whether a call to this store would be held back; counted as one that was."""
        failing = self._failing.get(node_id)
        if failing is None or self._reactor.seconds() >= failing.until:
            return False
        failing.held_back += 1
        self.counts["held_back"] += 1
        return True

    async def call(self, node_id, peer, method, time_left, **arguments):
        """The store's answer. CallHeldBackError, a no, if the store failed just now."""
        if self.is_held(node_id):
            raise CallHeldBackError(f"{node_id} failed just now")
        began = self._reactor.seconds()
        if node_id in self._failing:  # this call goes through, and no other until it is over or late
            self._failing[node_id].until = began + self._drawn(self._failing[node_id].pause)
        try:
            answer = await self._node.net.call(peer, method, time_left, to=node_id, **arguments)
        except OakrampError as error:
            self._failed(node_id, error, began, time_left)
            raise
        self.counts["answered"] += 1
        self._works(node_id)
        return answer

    def forget(self):
        """The set has changed: what a store refused before, it may do now."""
        for failing in self._failing.values():
            failing.until, failing.pause = self._reactor.seconds(), STORE_BACKOFF

    def _failed(self, node_id, error, began, time_left):
        now = self._reactor.seconds()
        ran_out = now - began >= time_left and time_left < STORE_CALL_TIME
        if not isinstance(error, STORE_FAILURES) or ran_out:
            self.counts["refused"] += 1  # it says nothing of the store, or too little time was left for an answer
            return
        self.counts["failed"] += 1
        failing = self._failing.get(node_id)
        if failing is None:
            self._failing[node_id] = _Failing(now, now + self._drawn(STORE_BACKOFF), STORE_BACKOFF)
            self._node.log.warning("store_calls_failing", store=node_id, reason=error.reason)
        elif began >= failing.since:  # else one of several that were under way together
            failing.pause = min(2 * failing.pause, STORE_BACKOFF_MAX)
            failing.since, failing.until = now, now + self._drawn(failing.pause)

    def _drawn(self, pause):
        """Between half of it and all: gates that saw the same failure do not come back together."""
        return pause * (0.5 + 0.5 * self._node.random.random())

    def _works(self, node_id):
        failing = self._failing.pop(node_id, None)
        if failing is not None:
            self._node.log.info("store_calls_recovered", store=node_id, held_back=failing.held_back)
