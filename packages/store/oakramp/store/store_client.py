"""Calls from a gateway to stores, with backoff for a store that has just failed.

Without the backoff, each waiting request would retry each store that rejects calls every few milliseconds: that costs
the gateway more than its actual work, and takes from the store the time in which it would start.
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
)  # errors that concern the store, not the individual call


class CallHeldBackError(UnreachableError):
    """The call was not sent, because the store failed a moment ago."""

    code = "heldBack"


@dataclass
class _FailingStore:
    """A failing store: its last counted failure was at `since`, and no call is sent to it before `until`."""

    since: float
    until: float
    pause: float
    held_back: int = 0


class StoreClient:
    """Calls stores, with backoff for each store that fails.

    Invariant: a store is in `_failing` from a call that failed until the next one that succeeds. Meanwhile one call is
    sent after each pause, and the pause doubles up to STORE_BACKOFF_MAX as long as these calls fail. The begin and the
    end of this state are logged once each."""

    def __init__(self, node):
        self._node, self._reactor = node, node.reactor
        self._failing = {}
        self.counts = Counter()  # calls by outcome: answered, refused, failed, held_back

    def show(self, metrics):
        """Registers the metrics: calls by outcome, and the number of stores that fail at present."""
        for outcome in "answered", "refused", "failed", "held_back":
            metrics.gauge("store_calls", lambda outcome=outcome: self.counts[outcome], outcome=outcome)
        metrics.gauge("stores_failing", lambda: len(self._failing))

    def is_held(self, node_id):
        """Whether a call to this store would be held back at present; if so, it is counted as held back."""
        failing = self._failing.get(node_id)
        if failing is None or self._reactor.seconds() >= failing.until:
            return False
        failing.held_back += 1
        self.counts["held_back"] += 1
        return True

    async def call(self, node_id, peer, method, time_left, **arguments):
        """The store's reply. Raises CallHeldBackError, without sending the call, if the store has just failed."""
        if self.is_held(node_id):
            raise CallHeldBackError(f"{node_id} has just failed; the call was not sent")
        began = self._reactor.seconds()
        if node_id in self._failing:  # this call is sent; the next only after it has ended or the pause is over
            self._failing[node_id].until = began + self._with_jitter(self._failing[node_id].pause)
        try:
            reply = await self._node.net.call(peer, method, time_left, to=node_id, **arguments)
        except OakrampError as error:
            self._record_failure(node_id, error, began, time_left)
            raise
        self.counts["answered"] += 1
        self._record_success(node_id)
        return reply

    def forget(self):
        """Ends the pauses because the set of stores has changed: a store may now accept what it rejected before."""
        for failing in self._failing.values():
            failing.until, failing.pause = self._reactor.seconds(), STORE_BACKOFF

    def _record_failure(self, node_id, error, began, time_left):
        now = self._reactor.seconds()
        ran_out = now - began >= time_left and time_left < STORE_CALL_TIME
        if not isinstance(error, STORE_FAILURES) or ran_out:
            self.counts["refused"] += 1  # this says nothing about the store, or too little time was left for a reply
            return
        self.counts["failed"] += 1
        failing = self._failing.get(node_id)
        if failing is None:
            self._failing[node_id] = _FailingStore(now, now + self._with_jitter(STORE_BACKOFF), STORE_BACKOFF)
            self._node.log.warning("store_calls_failing", store=node_id, reason=error.reason)
        elif began >= failing.since:  # otherwise one of several calls that were in flight together
            failing.pause = min(2 * failing.pause, STORE_BACKOFF_MAX)
            failing.since, failing.until = now, now + self._with_jitter(failing.pause)

    def _with_jitter(self, pause):
        """The pause with jitter, from half of it to all: gateways that saw the same failure must not retry together."""
        return pause * (0.5 + 0.5 * self._node.random.random())

    def _record_success(self, node_id):
        failing = self._failing.pop(node_id, None)
        if failing is not None:
            self._node.log.info("store_calls_recovered", store=node_id, held_back=failing.held_back)
