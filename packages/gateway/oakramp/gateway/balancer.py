"""Selects the replica for a proxied request, and queues requests when no replica has capacity.

Replicas are not probed: a replica's load is the load reported with its last response, corrected by the requests that
this gateway has started and finished there since (`replica_load`). A request with an affinity key (its program) goes
to the replica that served the program's last request, since the earlier prompts are cached there, and leaves it only
when other replicas have a whole batch less to do. If this gateway does not know that replica, rendezvous hashing
selects one, preferring the gateway's own zone. The first request of a program goes to the replica with the most free
capacity, and is refused if no replica has capacity for the turns that will follow.
"""

import heapq
import itertools
import json
import math
from collections import Counter
from dataclasses import dataclass

from twisted.internet import defer

from oakramp.common.constants import (
    AFFINITY_SLACK,
    BALANCER_QUEUE,
    EJECT_AFTER,
    EJECT_LONGEST,
    EJECT_PAUSE,
    FIRST_TURN_RETRY_AFTER,
    LAST_REPLICA_SLACK,
    PLACEMENT_SLACK,
    RETRY_AFTER_MIN,
    SHED_PAUSE,
)
from oakramp.common.errors import DeadlineExceededError, OverloadedError
from oakramp.common.tasks import within
from oakramp.control.replica_registry import REPLICAS_KEY
from oakramp.gateway.outliers import Outliers
from oakramp.gateway.replica_load import Instance, ServiceLoad
from oakramp.membership.rendezvous_hashing import score

EQUAL_UTILIZATION = 1e-9  # share of slots; utilizations closer than this count as equal


@dataclass(frozen=True)
class PlacementRequest:
    """The requirements of a request on its replica.

    The lowest `rank` is served first, and within a rank the request with the earliest deadline. `wait_deadline` is when
    the request stops waiting (monotonic seconds). The first request of a program is sent only to a replica where less
    than `admission_threshold` of the slots are in use, so that there is capacity for the turns that follow; the
    threshold is None for other requests.
    """

    service: str
    default_slots: int
    rank: tuple
    wait_deadline: float
    affinity: str = ""
    excluded: frozenset = frozenset()
    tenant: str | None = None
    finish_at: float = float("inf")  # when its program should be finished, if the caller said so
    admission_threshold: float | None = None
    last_replica_id: str | None = None  # served the affinity key's last request, as far as this gateway knows
    prefer_planned_until: float = float("-inf")  # until then it waits for its tenant's planned replicas

    @property
    def deadline(self):
        """The time that orders requests of the same rank."""
        return self.wait_deadline if math.isinf(self.finish_at) else self.finish_at


def _has_capacity(instance, placement_request, now):
    """Whether the replica may be given the request. For the first request of a program it must have capacity for more
    than this request, provided that the replica reports its load."""
    if placement_request.admission_threshold is not None and instance.reported_slots:
        return instance.load(now) < placement_request.admission_threshold * instance.slots(
            placement_request.default_slots
        )
    return instance.known_load(now) < instance.capacity(placement_request.default_slots)


def _lowest_utilization(instances, utilization):
    """The lowest utilization among these replicas; `utilization` holds the share of slots in use by replica id."""
    return min(utilization[one.row["id"]] for one in instances)


def _no_capacity_error(placement_request):
    if placement_request.admission_threshold is not None:
        return OverloadedError("no replica has capacity for another program", retry_after=FIRST_TURN_RETRY_AFTER)
    return DeadlineExceededError("no replica had capacity before the deadline", retry_after=RETRY_AFTER_MIN)


class Balancer:
    """Assigns requests to replicas and queues those that no replica has capacity for.

    Invariants: `instances` has an entry for each listed replica, by id; `_waiting[service]` is a heap of the requests
    that wait for capacity there, ordered by rank, then by deadline; `_service_loads` has an entry for each service that
    was ever listed."""

    def __init__(self, node, log, placement=None):
        """`placement.planned_replica_ids(service, tenant)` returns the replicas planned for a tenant, or None."""
        self._node, self._reactor, self._log = node, node.reactor, log
        self._placement = placement
        self._zone = node.env["zone"]
        self.instances = {}
        self._by_service, self._service_loads = {}, {}
        self._waiting, self._polled_services = {}, set()
        self._refused = Counter()  # by service, since the last call of take_demand
        self._order = itertools.count()
        self._scores = {}
        self.on_replica_removed = None
        self.outliers = Outliers(node, log)
        node.state_table.watch(REPLICAS_KEY, self._refresh)

    # --- replica table ---

    def _refresh(self, _source):
        rows = {name: json.loads(value) for name, value in self._node.state_table.values(REPLICAS_KEY).items()}
        for removed_id in self.instances.keys() - rows.keys():
            del self.instances[removed_id]
            if self.on_replica_removed:
                self.on_replica_removed(removed_id)
        for replica_id, row in rows.items():
            if replica_id not in self.instances:
                self.instances[replica_id] = Instance(row, self._service_loads.setdefault(row["pool"], ServiceLoad()))
            self.instances[replica_id].row = row
        self._by_service = {}
        for instance in self.instances.values():
            self._by_service.setdefault(instance.row["pool"], []).append(instance)
        self._scores.clear()
        for service in list(self._waiting):
            self._wake(service)

    def is_ready(self, instance):
        return instance.is_ready and self.instances.get(instance.row["id"]) is instance

    def ready_replicas(self, service):
        return [one for one in self._by_service.get(service, ()) if one.is_ready]

    def waiting_count(self):
        return sum(map(len, self._waiting.values()))

    def take_demand(self, service):
        """(active, refused): requests of a service that are running at replicas or waiting here, and those refused for
        lack of capacity since the last call."""
        in_flight = sum(one.in_flight for one in self._by_service.get(service, ()))
        return in_flight + len(self._waiting.get(service, ())), self._refused.pop(service, 0)

    # --- selection ---

    def _score(self, replica_id, key):
        cache_key = replica_id, key
        if cache_key not in self._scores:
            if len(self._scores) > 50000:
                self._scores.clear()
            self._scores[cache_key] = score(replica_id, key)
        return self._scores[cache_key]

    def _planned_replica_ids(self, placement_request):
        """The ids of the replicas planned for its tenant; empty if there is no plan for it."""
        return (
            self._placement.planned_replica_ids(placement_request.service, placement_request.tenant) or ()
            if self._placement and placement_request.tenant
            else ()
        )

    def _available_replicas(self, placement_request, now):
        """The replicas that may be sent the request, without the outliers unless all of them are outliers."""
        ready = self.ready_replicas(placement_request.service)
        outlier_ids = self.outliers.outlier_ids(placement_request.service, ready)
        not_paused = [
            one for one in ready if one.row["id"] not in placement_request.excluded and now >= one.unavailable_until
        ]
        return [one for one in not_paused if one.row["id"] not in outlier_ids] or not_paused

    def _select_replica(self, placement_request):
        """The replica to send this request to now, or None if it should wait."""
        now = self._reactor.seconds()
        available = self._available_replicas(placement_request, now)
        with_capacity = [one for one in available if _has_capacity(one, placement_request, now)]
        if not with_capacity:
            return None
        utilization = {one.row["id"]: one.load(now) / one.slots(placement_request.default_slots) for one in available}
        planned_ids = self._planned_replica_ids(placement_request)
        planned = [one for one in available if one.row["id"] in planned_ids]
        lowest = _lowest_utilization(with_capacity, utilization)
        planned = [one for one in planned if utilization[one.row["id"]] <= lowest + PLACEMENT_SLACK]
        planned_with_capacity = [one for one in planned if one in with_capacity]
        if planned and not planned_with_capacity and now < placement_request.prefer_planned_until:
            return None  # all are about as full; prefilling its prefix on another replica would add load
        with_capacity = planned_with_capacity or with_capacity
        if not placement_request.affinity:
            return self._select_least_loaded(with_capacity, utilization)
        # Hashed over all listed replicas, so that a full or failing replica does not move the programs of the others.
        hash_candidates = [
            one
            for one in self.ready_replicas(placement_request.service)
            if one.row["id"] not in placement_request.excluded and (not planned or one.row["id"] in planned_ids)
        ]
        return self._select_by_affinity(placement_request, hash_candidates, with_capacity, utilization)

    def _preference(self, instance, affinity):
        """Sort key of a replica for an affinity key, highest first: the own zone, then the rendezvous hash score."""
        return self._is_in_own_zone(instance), self._score(instance.row["id"], affinity)

    def _is_in_own_zone(self, instance):
        return instance.row.get("zone") == self._zone

    def _select_by_affinity(self, placement_request, hash_candidates, with_capacity, utilization):
        """The replica that has the affinity key's prompts cached, or else the one selected by its hash, unless other
        replicas have clearly more free capacity."""
        affinity, lowest = placement_request.affinity, _lowest_utilization(with_capacity, utilization)
        last_replica = next((one for one in with_capacity if one.row["id"] == placement_request.last_replica_id), None)
        if last_replica is not None and utilization[last_replica.row["id"]] <= lowest + LAST_REPLICA_SLACK:
            return last_replica
        hash_choice = max(hash_candidates, key=lambda one: self._preference(one, affinity))
        # A program's first request has no cached prompts, so it is placed by load.
        may_use_hash_choice = placement_request.admission_threshold is None
        if (
            may_use_hash_choice
            and hash_choice in with_capacity
            and utilization[hash_choice.row["id"]] <= lowest + AFFINITY_SLACK
        ):
            return hash_choice
        return max(
            with_capacity,
            key=lambda one: (
                -math.floor(utilization[one.row["id"]] / AFFINITY_SLACK),
                *self._preference(one, affinity),
            ),
        )

    def _select_least_loaded(self, with_capacity, utilization):
        """A random replica of the lowest utilization, in the own zone if there is one."""
        lowest = _lowest_utilization(with_capacity, utilization)
        least_loaded = [one for one in with_capacity if utilization[one.row["id"]] <= lowest + EQUAL_UTILIZATION]
        return self._node.random.choice([one for one in least_loaded if self._is_in_own_zone(one)] or least_loaded)

    def check_program_admission(self, placement_request):
        """Raises OverloadedError if no replica has capacity for another program now. Having no replica at all is
        reported later, by `acquire`."""
        now = self._reactor.seconds()
        available = [one for one in self.ready_replicas(placement_request.service) if now >= one.unavailable_until]
        if available and not any(_has_capacity(one, placement_request, now) for one in available):
            self._refused[placement_request.service] += 1
            raise _no_capacity_error(placement_request)

    async def acquire(self, placement_request):
        """Reserves a place on a replica, which the caller must release. Errors have the verdict NO: nothing ran."""
        if (
            not self._waiting.get(placement_request.service)
            and (instance := self._select_replica(placement_request)) is not None
        ):
            instance.in_flight += 1
            return instance
        if not [
            one
            for one in self.ready_replicas(placement_request.service)
            if one.row["id"] not in placement_request.excluded
        ]:
            raise OverloadedError(
                f"no replica of {placement_request.service} is left to try", retry_after=RETRY_AFTER_MIN
            )
        heap = self._waiting.setdefault(placement_request.service, [])
        if len(heap) >= BALANCER_QUEUE:
            self._refused[placement_request.service] += 1
            raise OverloadedError("too many requests are waiting for a replica", retry_after=RETRY_AFTER_MIN)
        waiter = defer.Deferred(lambda _: None)
        entry = (placement_request.rank, placement_request.deadline, next(self._order), placement_request, waiter)
        heapq.heappush(heap, entry)
        self._wake(placement_request.service)
        self._schedule_poll(placement_request.service)
        try:
            return await within(
                self._reactor,
                placement_request.wait_deadline - self._reactor.seconds(),
                waiter,
                _no_capacity_error(placement_request),
            )
        except (DeadlineExceededError, OverloadedError):
            self._refused[placement_request.service] += 1
            raise
        finally:
            if entry in heap:
                heap.remove(entry)
                heapq.heapify(heap)

    def _schedule_poll(self, service):
        """Schedules a retry of the waiting requests. Capacity freed by other gateways becomes visible only as reports
        age, so the queue is polled."""
        if self._waiting.get(service) and service not in self._polled_services:
            self._polled_services.add(service)
            self._reactor.callLater(SHED_PAUSE, self._on_poll, service)

    def _on_poll(self, service):
        self._polled_services.discard(service)
        self._wake(service)
        self._schedule_poll(service)

    def _wake(self, service):
        """Assigns free capacity to waiting requests, in order. A request that has already tried the replicas with
        capacity does not block those behind it."""
        heap = self._waiting.get(service, [])
        for entry in sorted(heap):
            if entry not in heap:
                continue  # removed by a nested call: a resumed request released its place
            placement_request, waiter = entry[3], entry[4]
            instance = None if waiter.called else self._select_replica(placement_request)
            if instance is None and not waiter.called:
                if not placement_request.excluded and not self._planned_replica_ids(placement_request):
                    return  # no replica has capacity for any request
                continue
            heap.remove(entry)
            heapq.heapify(heap)
            if instance is not None:
                instance.in_flight += 1
                waiter.callback(instance)

    # --- results ---

    def release(self, instance):
        instance.in_flight -= 1
        self._wake(instance.row["pool"])

    def record_load(self, instance, load):
        """Records the load that a replica reported: (running, waiting, slots), including the answered request."""
        instance.record_report(*load, self._reactor.seconds())

    def shed(self, instance):
        """Records that the replica rejected a request: it counts as full for SHED_PAUSE. A replica that does so far
        more often than the others of its service becomes an outlier."""
        self.outliers.record_fault(instance)
        instance.unavailable_until = max(instance.unavailable_until, self._reactor.seconds() + SHED_PAUSE)

    def succeeded(self, instance):
        instance.failures = 0

    def failed(self, instance, at_once=False):
        """Records a failure. A replica that fails repeatedly is ejected for a while, unless most replicas of its
        service are unavailable already."""
        instance.failures += 1
        self.outliers.record_fault(instance)
        if instance.failures < EJECT_AFTER and not at_once:
            return
        now = self._reactor.seconds()
        service_replicas = self.ready_replicas(instance.row["pool"])
        unavailable = sum(now < one.unavailable_until for one in service_replicas)
        if 2 * (unavailable + 1) > len(service_replicas) and not at_once:
            return
        pause = min(EJECT_LONGEST, EJECT_PAUSE * 2 ** max(0, instance.failures - EJECT_AFTER))
        instance.unavailable_until = now + pause
        self._log.info("replica_ejected", replica=instance.row["id"], failures=instance.failures, seconds=pause)

    def ready_counts(self):
        """Number of ready replicas by service, for the condition page."""
        return dict(Counter(one.row["pool"] for one in self.instances.values() if one.is_ready))
