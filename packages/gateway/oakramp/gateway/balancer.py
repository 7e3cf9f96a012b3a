"""Which replica a raw request goes to, and who waits when none has room.

Nothing is probed: a replica's load is what its last answer told, corrected by what this gateway has begun and ended
since (`replica_load`). A request with an affinity (its program) keeps to the replica that had the last one, since its
earlier prompts are cached there, and leaves it only when others have a whole batch less. Where this gateway does not
know that replica, rendezvous hashing names one, in the gateway's own zone first. What begins a program goes where most
room is, and nowhere if there is none for the turns that will follow.
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
    BEGIN_RETRY_AFTER,
    EJECT_AFTER,
    EJECT_LONGEST,
    EJECT_PAUSE,
    HOME_SLACK,
    PLACEMENT_SLACK,
    RETRY_AFTER_LEAST,
    SHED_PAUSE,
)
from oakramp.common.errors import DeadlineExceededError, OverloadedError
from oakramp.common.tasks import within
from oakramp.control.replica_registry import REPLICAS_KEY
from oakramp.gateway.outliers import Outliers
from oakramp.gateway.replica_load import Instance, ServiceLoad
from oakramp.membership.rendezvous_hashing import score

SAME_SHARE = 1e-9  # share of slots; loads closer than this are alike


@dataclass(frozen=True)
class PlacementRequest:
    """What a request needs of its replica.

    The lowest `rank` goes first, and of one rank whoever has to be done first. `patience_until` is when it gives up
    waiting (monotonic seconds). One that begins a program goes only where less than `begin_share` of the slots are in
    use, so that there is room for the turns that follow; it is None for others.
    """

    service: str
    default_slots: int
    rank: tuple
    patience_until: float
    affinity: str = ""
    excluded: frozenset = frozenset()
    tenant: str | None = None
    finish_at: float = float("inf")  # when its program should be over, if anybody said so
    begin_share: float | None = None
    home: str | None = None  # the replica that had the affinity's last request, as far as this gateway knows
    keep_until: float = float("-inf")  # until then it would rather wait for its tenant's replicas than go elsewhere

    @property
    def due_at(self):
        """By when it has to go on, for the order among those of its rank."""
        return self.patience_until if math.isinf(self.finish_at) else self.finish_at


def _has_room(instance, placement_request, now):
    """Whether the replica may be given the request. Where a program begins, there must be room for more than it, as far
    as the replica tells its load."""
    if placement_request.begin_share is not None and instance.told_slots:
        return instance.load(now) < placement_request.begin_share * instance.slots(placement_request.default_slots)
    return instance.least_load(now) < instance.room(placement_request.default_slots)


def _least(instances, shares):
    """The least share of slots in use among these replicas; `shares` has it by replica id."""
    return min(shares[one.row["id"]] for one in instances)


def _no_room(placement_request):
    if placement_request.begin_share is not None:
        return OverloadedError("no replica has room for another program", retry_after=BEGIN_RETRY_AFTER)
    return DeadlineExceededError("no replica had room in time", retry_after=RETRY_AFTER_LEAST)


class Balancer:
    """Invariants: `instances` has a row for each listed replica, by id; `_waiting[service]` is a heap of who waits for
    room there, first by rank, then by when it has to be done; `_service_loads` has one for each service
    that was ever listed."""

    def __init__(self, node, log, placement=None):
        """`placement.allowed(service, tenant)` gives the replicas that a tenant should keep to, or None."""
        self._node, self._reactor, self._log = node, node.reactor, log
        self._placement = placement
        self._zone = node.env["zone"]
        self.instances = {}
        self._by_service, self._service_loads = {}, {}
        self._waiting, self._looking = {}, set()
        self._refused = Counter()  # by service, since the demand was last taken
        self._order = itertools.count()
        self._scores = {}
        self.on_gone = None
        self.outliers = Outliers(node, log)
        node.state_table.watch(REPLICAS_KEY, self._refresh)

    # --- the table ---

    def _refresh(self, _source):
        rows = {name: json.loads(value) for name, value in self._node.state_table.values(REPLICAS_KEY).items()}
        for gone_id in self.instances.keys() - rows.keys():
            del self.instances[gone_id]
            if self.on_gone:
                self.on_gone(gone_id)
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

    def known(self, service):
        return [one for one in self._by_service.get(service, ()) if one.is_ready]

    def waiting_count(self):
        return sum(map(len, self._waiting.values()))

    def take_demand(self, service):
        """(active, refused): requests of a service that are at replicas or wait here, and those that were refused for
        want of room since this was last asked."""
        own = sum(one.own for one in self._by_service.get(service, ()))
        return own + len(self._waiting.get(service, ())), self._refused.pop(service, 0)

    # --- choosing ---

    def _score(self, replica_id, key):
        pair = replica_id, key
        if pair not in self._scores:
            if len(self._scores) > 50000:
                self._scores.clear()
            self._scores[pair] = score(replica_id, key)
        return self._scores[pair]

    def _planned(self, placement_request):
        """The ids of the replicas that its tenant should keep to; none if any will do."""
        return (
            self._placement.allowed(placement_request.service, placement_request.tenant) or ()
            if self._placement and placement_request.tenant
            else ()
        )

    def _usable(self, placement_request, now):
        """The replicas that may be asked; of these those that are no outliers, if there are any."""
        known = self.known(placement_request.service)
        left_out = self.outliers.among(placement_request.service, known)
        open_ones = [
            one for one in known if one.row["id"] not in placement_request.excluded and now >= one.closed_until
        ]
        return [one for one in open_ones if one.row["id"] not in left_out] or open_ones

    def _choose(self, placement_request):
        """The replica for this request now, or None if it should wait."""
        now = self._reactor.seconds()
        usable = self._usable(placement_request, now)
        roomy = [one for one in usable if _has_room(one, placement_request, now)]
        if not roomy:
            return None
        shares = {one.row["id"]: one.load(now) / one.slots(placement_request.default_slots) for one in usable}
        planned = self._planned(placement_request)
        kept = [one for one in usable if one.row["id"] in planned]
        least = _least(roomy, shares)
        kept = [one for one in kept if shares[one.row["id"]] <= least + PLACEMENT_SLACK]
        kept_roomy = [one for one in kept if one in roomy]
        if kept and not kept_roomy and now < placement_request.keep_until:
            return None  # all are about as full: its prefix read again elsewhere would only fill them more
        roomy = kept_roomy or roomy
        if not placement_request.affinity:
            return self._any_of_least(roomy, shares)
        # Named over all that are listed, so that a full or failing one does not move the others' programs.
        named_among = [
            one
            for one in self.known(placement_request.service)
            if one.row["id"] not in placement_request.excluded and (not kept or one.row["id"] in planned)
        ]
        return self._by_affinity(placement_request, named_among, roomy, shares)

    def _preference(self, instance, affinity):
        """The higher, the sooner an affinity's requests go there: first the own zone, then rendezvous hashing."""
        return self._is_near(instance), self._score(instance.row["id"], affinity)

    def _is_near(self, instance):
        return instance.row.get("zone") == self._zone

    def _by_affinity(self, placement_request, named_among, roomy, shares):
        """The replica that has the prompts of an affinity, or is named for it, unless others have clearly more room."""
        affinity, least = placement_request.affinity, _least(roomy, shares)
        home = next((one for one in roomy if one.row["id"] == placement_request.home), None)
        if home is not None and shares[home.row["id"]] <= least + HOME_SLACK:
            return home
        named = max(named_among, key=lambda one: self._preference(one, affinity))
        is_free = placement_request.begin_share is None  # what begins has its prompts nowhere
        if is_free and named in roomy and shares[named.row["id"]] <= least + AFFINITY_SLACK:
            return named
        return max(
            roomy,
            key=lambda one: (-math.floor(shares[one.row["id"]] / AFFINITY_SLACK), *self._preference(one, affinity)),
        )

    def _any_of_least(self, roomy, shares):
        """One of those with the most room, in the own zone if there is one."""
        least = _least(roomy, shares)
        near = [one for one in roomy if shares[one.row["id"]] <= least + SAME_SHARE]
        return self._node.random.choice([one for one in near if self._is_near(one)] or near)

    def check_may_begin(self, placement_request):
        """Raises OverloadedError if no replica has room for another program now. Who finds none at all is told so when
        it is placed."""
        now = self._reactor.seconds()
        usable = [one for one in self.known(placement_request.service) if now >= one.closed_until]
        if usable and not any(_has_room(one, placement_request, now) for one in usable):
            self._refused[placement_request.service] += 1
            raise _no_room(placement_request)

    async def acquire(self, placement_request):
        """A replica with one place taken on it, which the caller must release. Raises with verdict no."""
        if (
            not self._waiting.get(placement_request.service)
            and (instance := self._choose(placement_request)) is not None
        ):
            instance.own += 1
            return instance
        if not [
            one for one in self.known(placement_request.service) if one.row["id"] not in placement_request.excluded
        ]:
            raise OverloadedError(
                f"no replica of {placement_request.service} is left to ask", retry_after=RETRY_AFTER_LEAST
            )
        heap = self._waiting.setdefault(placement_request.service, [])
        if len(heap) >= BALANCER_QUEUE:
            self._refused[placement_request.service] += 1
            raise OverloadedError("too many requests wait for a replica", retry_after=RETRY_AFTER_LEAST)
        waiter = defer.Deferred(lambda _: None)
        entry = (placement_request.rank, placement_request.due_at, next(self._order), placement_request, waiter)
        heapq.heappush(heap, entry)
        self._wake(placement_request.service)
        self._poll_again(placement_request.service)
        try:
            return await within(
                self._reactor,
                placement_request.patience_until - self._reactor.seconds(),
                waiter,
                _no_room(placement_request),
            )
        except (DeadlineExceededError, OverloadedError):
            self._refused[placement_request.service] += 1
            raise
        finally:
            if entry in heap:
                heap.remove(entry)
                heapq.heapify(heap)

    def _poll_again(self, service):
        """Room that others gave back shows with time only, so whoever waits is looked at again and again."""
        if self._waiting.get(service) and service not in self._looking:
            self._looking.add(service)
            self._reactor.callLater(SHED_PAUSE, self._on_poll, service)

    def _on_poll(self, service):
        self._looking.discard(service)
        self._wake(service)
        self._poll_again(service)

    def _wake(self, service):
        """Gives room to those who wait, in order. Who has been at the replicas that have room holds up nobody."""
        heap = self._waiting.get(service, [])
        for entry in sorted(heap):
            if entry not in heap:
                continue  # whoever was woken just now has woken others
            placement_request, waiter = entry[3], entry[4]
            instance = None if waiter.called else self._choose(placement_request)
            if instance is None and not waiter.called:
                if not placement_request.excluded and not self._planned(placement_request):
                    return  # none has room for anybody
                continue
            heap.remove(entry)
            heapq.heapify(heap)
            if instance is not None:
                instance.own += 1
                waiter.callback(instance)

    # --- what came of it ---

    def release(self, instance):
        instance.own -= 1
        self._wake(instance.row["pool"])

    def told(self, instance, load):
        """The replica said how much it has: (running, waiting, slots), the asked request among them."""
        instance.tell(*load, self._reactor.seconds())

    def shed(self, instance):
        """It turned a request away, so it counts as full for a moment; one that does so far more than its fellows is
        ill."""
        self.outliers.fault(instance)
        instance.closed_until = max(instance.closed_until, self._reactor.seconds() + SHED_PAUSE)

    def succeeded(self, instance):
        instance.failures = 0

    def failed(self, instance, at_once=False):
        """One that fails again and again gets nothing for a while, unless most of its service is closed already."""
        instance.failures += 1
        self.outliers.fault(instance)
        if instance.failures < EJECT_AFTER and not at_once:
            return
        now = self._reactor.seconds()
        fellows = self.known(instance.row["pool"])
        closed = sum(now < one.closed_until for one in fellows)
        if 2 * (closed + 1) > len(fellows) and not at_once:
            return
        pause = min(EJECT_LONGEST, EJECT_PAUSE * 2 ** max(0, instance.failures - EJECT_AFTER))
        instance.closed_until = now + pause
        self._log.info("replica_ejected", replica=instance.row["id"], failures=instance.failures, seconds=pause)

    def shown(self):
        """Counts for the condition page."""
        return dict(Counter(one.row["pool"] for one in self.instances.values() if one.is_ready))
