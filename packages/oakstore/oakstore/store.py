"""A store node: coordinates puts, keeps replicas, hands over what others missed, and sweeps."""
import json
import time
from collections import OrderedDict

from oakbase.constants import (ACCEPT_INBOX, HINT_LIMIT, LINE_KEPT, LINE_SIZE, STORE_CALL_TIME, STORE_COPIES,
                               STORE_SWEEP, SWEEP_HINTS, SWEEP_KEYS)
from oakbase.metrics import Metrics
from oakbase.tasks import Repeater, firstOf
from oakbase.verdict import BadRequest, Fenced, NoAnswer, OakError, TooLarge
from oakbase.web import Web
from oakcohort.members import LIVE
from oakcontrol.control import serveMetrics
from oakcontrol.places import STORES_KEY
from oakdvv.context import fromContext, toContext
from oaknews.node import Node
from oakring.ring import Ring
from oakstore.table import LineTable, fromState, toState
from oakwire.codec import idl

QUORUM = STORE_COPIES // 2 + 1
COVERS = "covers"


def storeSet(board):
    """(epoch, {nodeId: peer}) as the news has it."""
    image = board.images.get(STORES_KEY)
    rows = board.values(STORES_KEY)
    return (image.version if image else 0), {
        row["nodeId"]: row["peer"] for row in json.loads(rows.get("members", b"[]"))}


class Store:
    """Invariants: `_hints[member]` names lines whose newest state that member may lack; a name leaves it
    only when the member has said that it keeps the line, or when the bound pushes it out, after which
    anti-entropy finds it. `covers` is on the disk before this store speaks about what is missing."""

    def __init__(self, node, ring):
        self._node, self._ring, self._log = node, ring, node.log
        self.table = LineTable(node, ring)
        self.covers = COVERS in ring.table
        self._hints = {}
        self._passFrom, self._coveredFrom = {}, set()
        self.metrics = Metrics()
        self._sweeper = Repeater(node.reactor, STORE_SWEEP, self._sweep, node.log)
        for method, handler in (("lineGet", self._get), ("linePut", self._put), ("lineKeep", self._keep),
                                ("lineDigests", self._digests)):
            node.net.handle(method, handler)

    def start(self):
        self._sweeper.start()

    def stop(self):
        self._sweeper.stop()
        self.table.stop()

    def _others(self):
        _, members = storeSet(self._node.board)
        return {nodeId: peer for nodeId, peer in members.items() if nodeId != self._node.nodeId}

    def hintsByMember(self):
        return {nodeId: len(hints) for nodeId, hints in self._hints.items() if hints}

    def hintCount(self):
        return sum(self.hintsByMember().values())

    # --- calls ---

    async def _get(self, _peer, arguments):
        epoch, _ = storeSet(self._node.board)
        self.metrics.count("line_gets")
        return toState(self.table.versions(arguments.key), self.covers, epoch, self.table.age(arguments.key))

    async def _put(self, _peer, arguments):
        epoch, members = storeSet(self._node.board)
        if arguments.storeEpoch != epoch or self._node.nodeId not in members:
            raise Fenced(f"store epoch {arguments.storeEpoch} is not {epoch}", detail={"storeEpoch": epoch})
        if len(arguments.value) > LINE_SIZE:
            raise TooLarge(f"a line of {len(arguments.value)} bytes is over {LINE_SIZE}")
        try:
            contextSet = fromContext(arguments.context)
        except ValueError as error:
            raise BadRequest(f"no context: {error}") from error
        versions, clock = await self.table.put(arguments.key, contextSet, arguments.value)
        self.metrics.count("line_puts")
        await self._replicate(arguments.key, versions, epoch)
        return toContext(frozenset([clock]))

    async def _replicate(self, key, versions, epoch):
        state = toState(versions, storeEpoch=epoch)
        reached, _ = await firstOf([self._give(nodeId, peer, key, state) for nodeId, peer in self._others().items()],
                                   QUORUM - 1)
        if not reached:
            raise NoAnswer("the line did not reach a quorum of stores; it may still be kept")

    async def _give(self, nodeId, peer, key, state):
        hints = self._hints.setdefault(nodeId, OrderedDict())
        # Noted before it is sent: a crash of neither side may lose what the other lacks.
        hints[key] = None
        hints.move_to_end(key)
        if len(hints) > HINT_LIMIT:
            hints.popitem(last=False)
        await self._node.net.call(peer, "lineKeep", STORE_CALL_TIME, key=key, state=state,
                                  sender=self._node.nodeId)
        if self.table.versions(key).keys() <= fromState(state).keys():
            hints.pop(key, None)

    async def _keep(self, _peer, arguments):
        epoch, members = storeSet(self._node.board)
        if arguments.state.storeEpoch < epoch or arguments.sender not in members:
            raise Fenced(f"store epoch {arguments.state.storeEpoch} is past", detail={"storeEpoch": epoch})
        await self.table.merge(arguments.key, fromState(arguments.state), arguments.state.ageMs / 1000)
        self.metrics.count("line_keeps")
        return True

    async def _digests(self, _peer, arguments):
        return [idl.LineDigest(key=key, digest=self.table.rows[key].digest())
                for key in self.table.keysAfter(arguments.after, min(arguments.most, SWEEP_KEYS))]

    # --- sweeping ---

    async def _sweep(self):
        epoch, members = storeSet(self._node.board)
        if self._node.nodeId not in members:
            return
        if epoch == 1 and not self.covers:
            await self._cover()  # no line is older than the first set, so nothing can be missing
        for key in self.table.old():
            await self.table.letGo(key)
        for nodeId, peer in self._others().items():
            if self._node.members.condition(nodeId) != LIVE:
                continue
            try:
                await self._handOver(nodeId, peer, epoch)
                await self._compare(nodeId, peer)
            except OakError as error:
                self._log.event("sweepFailed", member=nodeId, reason=error.reason)

    async def _cover(self):
        await self._ring.commit([(COVERS, b"1")])
        self.covers = True
        self._log.event("storeCovers")

    async def _handOver(self, nodeId, peer, epoch):
        for key in list(self._hints.get(nodeId, ()))[:SWEEP_HINTS]:
            if self.table.age(key) >= LINE_KEPT or key not in self.table.rows:
                del self._hints[nodeId][key]
                continue
            state = toState(self.table.versions(key), storeEpoch=epoch, age=self.table.age(key))
            await self._give(nodeId, peer, key, state)
            self.metrics.count("lines_handed_over")

    async def _compare(self, nodeId, peer):
        """One page of anti-entropy: takes from the member what it has and this store has not."""
        after = self._passFrom.get(nodeId, "")
        page = await self._node.net.call(peer, "lineDigests", STORE_CALL_TIME, after=after, most=SWEEP_KEYS)
        for one in page or []:
            if one.key in self.table.rows and self.table.rows[one.key].digest() == one.digest:
                continue
            state = await self._node.net.call(peer, "lineGet", STORE_CALL_TIME, key=one.key)
            if state.versions:
                await self.table.merge(one.key, fromState(state), state.ageMs / 1000)
                self.metrics.count("lines_synced")
        self._passFrom[nodeId] = page[-1].key if page and len(page) == SWEEP_KEYS else ""
        if not self._passFrom[nodeId]:
            self._coveredFrom.add(nodeId)
        needed = len(self._others()) + 1 - QUORUM + 1
        if not self.covers and len(self._coveredFrom & self._others().keys()) >= needed:
            await self._cover()


class StoreNode:
    def __init__(self, reactor, env, disk, random, sink, wall=time.time):
        self.node = Node(reactor, "store", env, random, sink, disk, wall)
        self.ring = Ring(disk, self.node.log, env.get("ringFileSize"), seconds=reactor.seconds)
        self.store = Store(self.node, self.ring)
        self.web = Web(reactor, env["http"], self.node.log, ACCEPT_INBOX)
        self.web.route("GET", "/condition", self._condition)
        serveMetrics(self.web, self.store.metrics)
        for name, ask in (("lines", lambda: len(self.store.table.rows)),
                          ("hints", self.store.hintCount),
                          ("ring_syncs", lambda: self.ring.syncCount),
                          ("ring_commits", lambda: self.ring.commitCount),
                          ("ring_live_bytes", self.ring.liveBytes)):
            self.store.metrics.gauge(name, ask)

    async def _condition(self, _call):
        epoch, members = storeSet(self.node.board)
        isMember = self.node.nodeId in members
        return 200, self.node.condition() | {
            "condition": "ready" if isMember and self.store.covers else "waiting", "storeEpoch": epoch,
            "covers": self.store.covers, "lines": len(self.store.table.rows), "hints": self.store.hintsByMember(),
            "disk": self.ring.condition()}

    def start(self):
        self.node.start()
        self.store.start()
        self.web.listen()

    async def stop(self):
        await self.node.puller.sayLeaving()
        await self.web.stop()
        self.store.stop()
        await self.node.stop()
