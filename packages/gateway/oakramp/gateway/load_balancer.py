"""Placing: which replica serves which request, and who goes first when none has room."""

import heapq
import itertools
import math
from dataclasses import dataclass

from twisted.internet import defer

from oakramp.common.constants import (
    CONTENDED_SHARE,
    DESCRIBE_PAUSE,
    DESCRIBE_TIME,
    GATE_REPLICA_IN_FLIGHT,
    PLACE_QUEUE_LIMIT,
    PREFIX_CHARACTERS,
    REFUSED_PAUSE,
    RETRY_AFTER,
    WEIGHT_BOUND,
)
from oakramp.common.errors import DeadlineExceededError, NotFoundError, OakrampError, OverloadedError, PlanChangedError
from oakramp.common.tasks import Repeater, spawn, within
from oakramp.membership.rendezvous_hashing import ranked

URGENCY = {"urgent": 0, "normal": 1, "patient": 2}
DESCRIBED_AGE = 5 * DESCRIBE_PAUSE  # s; a description older than this says nothing about the weight


@dataclass
class Replica:
    """A row of the gate's replica table. Invariant: `ownRunning` counts this gate's requests between
    placing and release; `running` is what the replica said at `describedAt`, when `ownThen` were ours."""

    row: dict
    capacity: int = GATE_REPLICA_IN_FLIGHT
    running: int = 0
    own_running: int = 0
    own_then: int = 0
    gates: int = 1
    described_at: float = float("-inf")
    adapters: tuple = ()
    model_weights: str = ""
    refused_until: float = float("-inf")

    def weight(self):
        """Share of the capacity in use, as well as this gate can tell."""
        return max(self.running + self.own_running - self.own_then, self.own_running) / self.capacity

    def has_room(self, now):
        """Near its capacity, a replica is shared evenly by the gates: no one who came first keeps it all."""
        contended = self.running >= CONTENDED_SHARE * self.capacity
        most = math.ceil(self.capacity / self.gates) if contended else GATE_REPLICA_IN_FLIGHT
        return self.weight() < 1 and self.own_running < most and now >= self.refused_until


@dataclass
class PlacementRequest:
    """What a request needs of its replica. `isCurrent` tells whether its plan still says the same."""

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
    """Owner of the replica table and of the waiting requests.

    Invariants: for each pool and partner at most PLACE_INBOX wait; `_served` rises by 1/share for each
    request placed, and the partner with the least goes first; one that comes back after a pause starts
    level with the least of those waiting, so nobody saves up."""

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
        node.state_table.watch("blueprint/", self._plan_moved)

    def start(self):
        self._repeater.start()

    def stop(self):
        self._repeater.stop()

    # --- the table ---

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
        self._give_up_hopeless()
        for replica in list(self.replicas.values()):
            if replica.row["id"] not in self._describing:
                spawn(self._describe(replica), self._node.log)

    async def _describe(self, replica):
        """Asks the replica what it is and how much it does. One that does not answer keeps its last row,
        which counts for nothing once it is old."""
        replica_id = replica.row["id"]
        self._describing.add(replica_id)
        try:
            own = replica.own_running
            status, said = await self._client.json("GET", replica.row["address"], "/describe", None, DESCRIBE_TIME)
            load = said.get("load")
            if status != 200 or not isinstance(load, dict):
                return
            if any(
                type(load.get(name)) is not int or load[name] < low for name, low in (("running", 0), ("capacity", 1))
            ):
                self._node.log.warning("replica_description_unreadable", replica=replica_id)
                return
            replica.running, replica.capacity, replica.own_then = load["running"], load["capacity"], own
            replica.gates = max(1, self._node.members.live_count("gate"))
            replica.adapters = tuple(map(str, said.get("adapters") or ()))
            replica.model_weights = str(said.get("weights", ""))
            replica.described_at = self._reactor.seconds()
            self._dispatch_all()
        except OakrampError as error:
            self._node.log.warning("replica_description_failed", replica=replica_id, reason=error.reason)
        finally:
            self._describing.discard(replica_id)

    # --- placing ---

    def _candidates(self, placement_request):
        pool = [replica for replica in self.replicas.values() if replica.row["pool"] == placement_request.pool]
        ready = [replica for replica in pool if replica.row["state"] == "ready"]
        return [
            replica
            for replica in ready
            if (placement_request.adapter is None or placement_request.adapter in replica.adapters)
            and (placement_request.model_weights is None or placement_request.model_weights == replica.model_weights)
        ], ready

    def _place(self, placement_request):
        """The replica for this wish now, or None if none has room.

        The line's own order within those named for its prefix comes first, as long as the weight allows:
        there the line's earlier turns, or at least the common start, are in the cache."""
        candidates, _ = self._candidates(placement_request)
        now = self._reactor.seconds()
        roomy = [replica for replica in candidates if replica.has_room(now)]
        sound = [replica for replica in roomy if now - replica.described_at < DESCRIBED_AGE] or roomy
        if not sound:
            return None
        if not placement_request.line_key:
            return min(sound, key=lambda replica: (replica.weight(), replica.row["id"]))
        by_id = {replica.row["id"]: replica for replica in sound}
        # Named over all that fit, not only over those with room, so that a full one does not move the rest.
        every_id = [replica.row["id"] for replica in candidates]
        near = (
            ranked(every_id, placement_request.prefix)[: max(2, (len(every_id) + 1) // 2)]
            if placement_request.prefix
            else every_id
        )
        order = ranked(near, placement_request.line_key) + [
            one for one in ranked(every_id, placement_request.line_key) if one not in near
        ]
        light = [by_id[one] for one in order if one in by_id and by_id[one].weight() < WEIGHT_BOUND]
        return light[0] if light else min(sound, key=lambda replica: (replica.weight(), replica.row["id"]))

    def has_queue_room(self, partner, pool):
        return len(self._waiting.get((pool, partner), ())) < PLACE_QUEUE_LIMIT

    async def place(self, placement_request):
        """A replica with one place taken on it; the caller must release it. Raises with verdict no."""
        candidates, ready = self._candidates(placement_request)
        if not candidates and ready:
            # One that has not described itself yet may have what is asked for.
            if all(replica.described_at > float("-inf") for replica in ready):
                raise NotFoundError("no replica of the pool has these weights and adapters")
        heap = self._waiting.setdefault((placement_request.pool, placement_request.partner), [])
        if len(heap) >= PLACE_QUEUE_LIMIT:
            raise OverloadedError("too many requests wait for a replica", retry_after=RETRY_AFTER)
        ahead = sum(entry[:2] <= (URGENCY[placement_request.urgency], placement_request.ends_at) for entry in heap)
        self._refuse_hopeless(placement_request, ahead)
        if not heap:
            self._start_level(placement_request.pool, placement_request.partner)
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
                DeadlineExceededError("no replica had room within the time left", retry_after=RETRY_AFTER),
            )
        finally:
            self._waiting[placement_request.pool, placement_request.partner] = heap = [
                entry
                for entry in self._waiting[placement_request.pool, placement_request.partner]
                if entry[4] is not waiter
            ]
            heapq.heapify(heap)

    # --- giving up in time ---

    def _expected_wait(self, pool, ahead):
        """Seconds until this gate has given room to `ahead` more of one partner, by what its requests hold
        their places for; 0 while that is not known or there is room."""
        rows = [replica for replica in self.replicas.values() if replica.row["pool"] == pool]
        own = sum(replica.own_running for replica in rows)
        now = self._reactor.seconds()
        if not own or pool not in self._hold_times or any(replica.has_room(now) for replica in rows):
            return 0.0
        partners = sum(1 for (waiting_pool, _), heap in self._waiting.items() if waiting_pool == pool and heap)
        return (ahead + 1) * max(1, partners) * self._hold_times[pool] / own

    def _refuse_hopeless(self, placement_request, ahead):
        """Raises if the wish cannot be met in time: its caller is told now, and when to come back."""
        expected = self._expected_wait(placement_request.pool, ahead)
        if self._reactor.seconds() + expected > placement_request.ends_at:
            self._metrics.count("given_up")
            raise OverloadedError(
                f"about {expected:.0f} s of requests wait already",
                retry_after=max(RETRY_AFTER, min(60, round(expected))),
            )

    def _give_up_hopeless(self):
        """The same look at those that wait: how long places are held may be known only now."""
        for heap in list(self._waiting.values()):
            for ahead, entry in enumerate(sorted(heap)):
                try:
                    self._refuse_hopeless(entry[3], ahead)
                except OverloadedError as error:
                    if not entry[4].called:
                        entry[4].errback(error)

    def _plan_moved(self, source):
        """Whoever waits under what the plan no longer says goes and waits anew."""
        partner = source.partition("/")[2]
        for entry in [entry for (_, other), heap in self._waiting.items() if other == partner for entry in heap]:
            try:
                is_current = entry[3].is_current()
            except OakrampError:
                is_current = False  # the binding is gone; that is what it will be told
            if not is_current and not entry[4].called:
                entry[4].errback(PlanChangedError("the plan changed"))

    def _start_level(self, pool, partner):
        level = min(
            (
                self._served.get((pool, other), 0.0)
                for (other_pool, other), heap in self._waiting.items()
                if other_pool == pool and heap
            ),
            default=None,
        )
        if level is not None:
            self._served[pool, partner] = max(self._served.get((pool, partner), 0.0), level)

    def _dispatch_all(self):
        for pool in dict.fromkeys(pool for pool, _ in self._waiting):
            self._dispatch(pool)

    def _dispatch(self, pool):
        """Gives out room while there is any: to the partner served least, and of its requests to the most
        urgent with the least time left."""
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
            placed = ((entry, self._place(entry[3])) for entry in sorted(heap))
            entry, replica = next((pair for pair in placed if pair[1] is not None), (None, None))
            if entry is None:
                blocked.add(partner)
                continue
            heap.remove(entry)
            heapq.heapify(heap)
            replica.own_running += 1
            self._served[pool, partner] = self._served.get((pool, partner), 0.0) + 1 / self._bindings.share(partner)
            self._metrics.count("placed", replica=replica.row["id"])
            if entry[4].called:
                replica.own_running -= 1
                continue
            entry[4].callback(replica)

    def release(self, replica, placed_at):
        replica.own_running -= 1
        pool = replica.row["pool"]
        held = self._reactor.seconds() - placed_at
        if replica.refused_until < placed_at:
            self._hold_times[pool] = 0.9 * self._hold_times.get(pool, held) + 0.1 * held
        self._dispatch(pool)

    def refused(self, replica):
        """The replica said no, or could not be reached: it counts as full for a moment."""
        replica.refused_until = self._reactor.seconds() + REFUSED_PAUSE
        self._reactor.callLater(REFUSED_PAUSE, self._dispatch, replica.row["pool"])

    def waiting_count(self):
        return sum(map(len, self._waiting.values()))


def prefix_of(text):
    return text[:PREFIX_CHARACTERS]
