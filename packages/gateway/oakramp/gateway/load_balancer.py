"""Selects the replica for each request, and orders the waiting requests when no replica has capacity."""

import heapq
import itertools
import math
from dataclasses import dataclass

from twisted.internet import defer

from oakramp.common.constants import (
    AFFINITY_WEIGHT_LIMIT,
    CONTENDED_SHARE,
    DESCRIBE_PAUSE,
    DESCRIBE_TIME,
    GATEWAY_REPLICA_IN_FLIGHT,
    PLACE_QUEUE_LIMIT,
    PREFIX_CHARACTERS,
    REFUSED_PAUSE,
    RETRY_AFTER,
)
from oakramp.common.errors import DeadlineExceededError, NotFoundError, OakrampError, OverloadedError, PlanChangedError
from oakramp.common.tasks import Repeater, spawn, within
from oakramp.membership.rendezvous_hashing import ranked

URGENCY = {"urgent": 0, "normal": 1, "patient": 2}
DESCRIPTION_MAX_AGE = 5 * DESCRIBE_PAUSE  # s; an older description is not used to estimate the utilization


@dataclass
class Replica:
    """A row of the gate's replica table.

    Invariants: `in_flight` counts this gate's requests between placement and release; `running` is the number that the
    replica reported at `described_at`, `in_flight_at_description` of which were this gate's."""

    row: dict
    capacity: int = GATEWAY_REPLICA_IN_FLIGHT
    running: int = 0
    in_flight: int = 0
    in_flight_at_description: int = 0
    gate_count: int = 1
    described_at: float = float("-inf")
    adapters: tuple = ()
    model_weights: str = ""
    refused_until: float = float("-inf")

    def utilization(self):
        """Estimate of the share of the capacity in use."""
        return max(self.running + self.in_flight - self.in_flight_at_description, self.in_flight) / self.capacity

    def has_capacity(self, now):
        """Whether it accepts another request. Near its capacity, a replica is shared evenly by the gates, so that no
        gate that came first keeps all of it."""
        contended = self.running >= CONTENDED_SHARE * self.capacity
        max_in_flight = math.ceil(self.capacity / self.gate_count) if contended else GATEWAY_REPLICA_IN_FLIGHT
        return self.utilization() < 1 and self.in_flight < max_in_flight and now >= self.refused_until


@dataclass
class PlacementRequest:
    """The requirements of a request on its replica. `is_current` tells whether they still follow from the plan."""

    partner: str
    pool: str
    urgency: str
    ends_at: float
    is_current: object
    line_key: str = ""
    prefix: str = ""
    adapter: str | None = None
    model_weights: str | None = None


class LoadBalancer:
    """Keeps the replica table and the queues of waiting requests.

    Invariants: at most PLACE_QUEUE_LIMIT requests wait per pool and partner; `_served` grows by 1/share for each
    request placed, and the partner with the lowest value is served first (weighted fair queueing); a partner that
    returns after a pause starts at the lowest value of those waiting, so that it cannot accumulate credit."""

    def __init__(self, node, bindings, web_client, metrics):
        self._node, self._reactor, self._bindings, self._client = node, node.reactor, bindings, web_client
        self._metrics = metrics
        self.replicas = {}
        self._waiting = {}
        self._served = {}
        self._hold_times = {}
        self._order = itertools.count()
        self._describing = set()
        self._repeater = Repeater(node.reactor, DESCRIBE_PAUSE, self._describe_all, node.log)
        node.state_table.watch("replicas", lambda _source: self._refresh())
        node.state_table.watch("blueprint/", self._on_plan_change)

    def start(self):
        self._repeater.start()

    def stop(self):
        self._repeater.stop()

    # --- replica table ---

    def _refresh(self):
        rows = self._bindings.replicas()
        for replica_id in sorted(self.replicas.keys() - rows.keys()):
            del self.replicas[replica_id]
        for replica_id, row in rows.items():
            if replica_id not in self.replicas:
                self.replicas[replica_id] = Replica(row)
                spawn(self._describe(self.replicas[replica_id]), self._node.log)
            self.replicas[replica_id].row = row
        self._dispatch_all()

    async def _describe_all(self):
        self._reject_late_waiters()
        for replica in list(self.replicas.values()):
            if replica.row["id"] not in self._describing:
                spawn(self._describe(replica), self._node.log)

    async def _describe(self, replica):
        """Fetches the replica's description and load. A replica that does not answer keeps its last description, which
        is ignored once it is too old."""
        replica_id = replica.row["id"]
        self._describing.add(replica_id)
        try:
            in_flight = replica.in_flight
            status, description = await self._client.json(
                "GET", replica.row["address"], "/describe", None, DESCRIBE_TIME
            )
            load = description.get("load")
            if status != 200 or not isinstance(load, dict):
                return
            if any(
                type(load.get(name)) is not int or load[name] < low for name, low in (("running", 0), ("capacity", 1))
            ):
                self._node.log.warning("replica_description_unreadable", replica=replica_id)
                return
            replica.running, replica.capacity, replica.in_flight_at_description = (
                load["running"],
                load["capacity"],
                in_flight,
            )
            replica.gate_count = max(1, self._node.members.live_count("gate"))
            replica.adapters = tuple(map(str, description.get("adapters") or ()))
            replica.model_weights = str(description.get("weights", ""))
            replica.described_at = self._reactor.seconds()
            self._dispatch_all()
        except OakrampError as error:
            self._node.log.warning("replica_description_failed", replica=replica_id, reason=error.reason)
        finally:
            self._describing.discard(replica_id)

    # --- placement ---

    def _candidates(self, placement_request):
        pool = [replica for replica in self.replicas.values() if replica.row["pool"] == placement_request.pool]
        ready = [replica for replica in pool if replica.row["state"] == "ready"]
        return [
            replica
            for replica in ready
            if (placement_request.adapter is None or placement_request.adapter in replica.adapters)
            and (placement_request.model_weights is None or placement_request.model_weights == replica.model_weights)
        ], ready

    def _select_replica(self, placement_request):
        """The replica for this request now, or None if none has capacity.

        Replicas are tried in the line's own hash order, those selected by its prefix first, as long as their
        utilization is below the bound: they have the line's earlier turns, or at least the common prefix, in their
        caches."""
        candidates, _ = self._candidates(placement_request)
        now = self._reactor.seconds()
        with_capacity = [replica for replica in candidates if replica.has_capacity(now)]
        up_to_date = [
            replica for replica in with_capacity if now - replica.described_at < DESCRIPTION_MAX_AGE
        ] or with_capacity
        if not up_to_date:
            return None
        if not placement_request.line_key:
            return min(up_to_date, key=lambda replica: (replica.utilization(), replica.row["id"]))
        by_id = {replica.row["id"]: replica for replica in up_to_date}
        # Hashed over all suitable replicas, not only those with capacity, so that a full one does not move other lines.
        candidate_ids = [replica.row["id"] for replica in candidates]
        prefix_ids = (
            ranked(candidate_ids, placement_request.prefix)[: max(2, (len(candidate_ids) + 1) // 2)]
            if placement_request.prefix
            else candidate_ids
        )
        order = ranked(prefix_ids, placement_request.line_key) + [
            one for one in ranked(candidate_ids, placement_request.line_key) if one not in prefix_ids
        ]
        below_bound = [by_id[one] for one in order if one in by_id and by_id[one].utilization() < AFFINITY_WEIGHT_LIMIT]
        return (
            below_bound[0]
            if below_bound
            else min(up_to_date, key=lambda replica: (replica.utilization(), replica.row["id"]))
        )

    def has_queue_space(self, partner, pool):
        return len(self._waiting.get((pool, partner), ())) < PLACE_QUEUE_LIMIT

    async def place(self, placement_request):
        """Reserves a place on a replica, which the caller must release. Errors have the verdict NO: nothing ran."""
        candidates, ready = self._candidates(placement_request)
        if not candidates and ready:
            # A replica that has not been described yet may have the requested weights and adapter.
            if all(replica.described_at > float("-inf") for replica in ready):
                raise NotFoundError("no replica of the pool has the requested weights and adapter")
        heap = self._waiting.setdefault((placement_request.pool, placement_request.partner), [])
        if len(heap) >= PLACE_QUEUE_LIMIT:
            raise OverloadedError("too many requests are waiting for a replica", retry_after=RETRY_AFTER)
        ahead = sum(entry[:2] <= (URGENCY[placement_request.urgency], placement_request.ends_at) for entry in heap)
        self._check_can_be_placed(placement_request, ahead)
        if not heap:
            self._reset_served(placement_request.pool, placement_request.partner)
        waiter = defer.Deferred(lambda _: None)
        heapq.heappush(
            heap,
            (
                URGENCY[placement_request.urgency],
                placement_request.ends_at,
                next(self._order),
                placement_request,
                waiter,
            ),
        )
        self._dispatch(placement_request.pool)
        try:
            return await within(
                self._reactor,
                placement_request.ends_at - self._reactor.seconds(),
                waiter,
                DeadlineExceededError("no replica had capacity before the deadline", retry_after=RETRY_AFTER),
            )
        finally:
            self._waiting[placement_request.pool, placement_request.partner] = heap = [
                entry
                for entry in self._waiting[placement_request.pool, placement_request.partner]
                if entry[4] is not waiter
            ]
            heapq.heapify(heap)

    # --- early rejection ---

    def _expected_wait(self, pool, ahead):
        """Estimate of the seconds until this gate has placed `ahead` more requests of one partner, from the mean time
        that requests hold their places; 0 while that is unknown or a replica has capacity."""
        replicas = [replica for replica in self.replicas.values() if replica.row["pool"] == pool]
        in_flight = sum(replica.in_flight for replica in replicas)
        now = self._reactor.seconds()
        if not in_flight or pool not in self._hold_times or any(replica.has_capacity(now) for replica in replicas):
            return 0.0
        partners = sum(1 for (waiting_pool, _), heap in self._waiting.items() if waiting_pool == pool and heap)
        return (ahead + 1) * max(1, partners) * self._hold_times[pool] / in_flight

    def _check_can_be_placed(self, placement_request, ahead):
        """Raises if the request cannot be placed before its deadline, so that the caller learns at once when to
        retry."""
        expected = self._expected_wait(placement_request.pool, ahead)
        if self._reactor.seconds() + expected > placement_request.ends_at:
            self._metrics.count("given_up")
            raise OverloadedError(
                f"about {expected:.0f} s of requests are already waiting",
                retry_after=max(RETRY_AFTER, min(60, round(expected))),
            )

    def _reject_late_waiters(self):
        """Repeats the check for waiting requests: the time that places are held may not have been known before."""
        for heap in list(self._waiting.values()):
            for ahead, entry in enumerate(sorted(heap)):
                try:
                    self._check_can_be_placed(entry[3], ahead)
                except OverloadedError as error:
                    if not entry[4].called:
                        entry[4].errback(error)

    def _on_plan_change(self, source):
        """Fails waiting requests whose requirements no longer follow from the plan; their callers then queue again."""
        partner = source.partition("/")[2]
        for entry in [entry for (_, other), heap in self._waiting.items() if other == partner for entry in heap]:
            try:
                is_current = entry[3].is_current()
            except OakrampError:
                is_current = False  # the binding was removed; the caller gets that error when it queues again
            if not is_current and not entry[4].called:
                entry[4].errback(PlanChangedError("the plan changed"))

    def _reset_served(self, pool, partner):
        lowest_served = min(
            (
                self._served.get((pool, other), 0.0)
                for (other_pool, other), heap in self._waiting.items()
                if other_pool == pool and heap
            ),
            default=None,
        )
        if lowest_served is not None:
            self._served[pool, partner] = max(self._served.get((pool, partner), 0.0), lowest_served)

    def _dispatch_all(self):
        for pool in dict.fromkeys(pool for pool, _ in self._waiting):
            self._dispatch(pool)

    def _dispatch(self, pool):
        """Assigns capacity while there is any: to the partner served least, and among its requests to the most urgent
        one with the earliest deadline."""
        blocked = set()
        while True:
            partners = [
                (self._served.get((pool, partner), 0.0), partner)
                for (waiting_pool, partner), heap in self._waiting.items()
                if waiting_pool == pool and heap and partner not in blocked
            ]
            if not partners:
                return
            _, partner = min(partners)
            heap = self._waiting[pool, partner]
            placed = ((entry, self._select_replica(entry[3])) for entry in sorted(heap))
            entry, replica = next((pair for pair in placed if pair[1] is not None), (None, None))
            if entry is None:
                blocked.add(partner)
                continue
            heap.remove(entry)
            heapq.heapify(heap)
            replica.in_flight += 1
            self._served[pool, partner] = self._served.get((pool, partner), 0.0) + 1 / self._bindings.share(partner)
            self._metrics.count("placed", replica=replica.row["id"])
            if entry[4].called:
                replica.in_flight -= 1
                continue
            entry[4].callback(replica)

    def release(self, replica, placed_at):
        replica.in_flight -= 1
        pool = replica.row["pool"]
        held_s = self._reactor.seconds() - placed_at
        if replica.refused_until < placed_at:
            self._hold_times[pool] = 0.9 * self._hold_times.get(pool, held_s) + 0.1 * held_s
        self._dispatch(pool)

    def refused(self, replica):
        """Records that the replica refused a request or was unreachable: it counts as full for REFUSED_PAUSE."""
        replica.refused_until = self._reactor.seconds() + REFUSED_PAUSE
        self._reactor.callLater(REFUSED_PAUSE, self._dispatch, replica.row["pool"])

    def waiting_count(self):
        return sum(map(len, self._waiting.values()))


def prefix_of(text):
    return text[:PREFIX_CHARACTERS]
