"""A store node: coordinates puts, keeps replicas, hands over what others missed, and sweeps."""

import json
import time
from collections import OrderedDict
from itertools import islice

from twisted.internet import defer

from oakbase.checks import packJson
from oakbase.constants import (
    ACCEPT_INBOX,
    HINT_LIMIT,
    LINE_KEPT,
    LINE_SIZE,
    RECORD_PAGE,
    RING_COMMIT_SHARE,
    STORE_CALL_TIME,
    STORE_COPY_PAUSE,
    STORE_HOT_BYTES,
    STORE_SWEEP,
    SWEEP_HINTS,
)
from oakbase.metrics import Metrics, serve_metrics
from oakbase.tasks import Repeater, quorumOf, spawn
from oakbase.verdict import BadRequest, CannotTell, Fenced, NoAnswer, OakError, TooLarge
from oakbase.web import Web
from oakcohort.members import LIVE
from oakcontrol.storeset import STORES_KEY, StoreSet, majority
from oakdvv.context import fromContext, toContext
from oaknews.node import Node
from oakring.ring import Ring
from oakstore.anti_entropy import AntiEntropy
from oakstore.records import read_header
from oakstore.table import TURN_LINE, LineTable, fromState, toState
from oakwire.codec import idl

COVERS = "covers"
EMPTYING = "emptying"  # a file that stands as long as the folder is being cleared


class Store:
    """Invariants: `_hints[member]` names lines whose newest state that member may lack; a name leaves it
    only when the member has said that it keeps the line, or when the bound pushes it out, after which
    anti-entropy finds it. `_coversSince` is on the disk before this store speaks about what is missing, and
    is the epoch in which it began to copy: a store that left the set and came again copies again."""

    def __init__(self, node, ring):
        self._node, self._ring, self._log = node, ring, node.log
        self.table = LineTable(node, ring)
        self._coversSince = int(ring.table.get(COVERS, b"0"))
        self._hints = {}
        self._passEpoch, self._coveredFrom = 0, set()
        self.stores = StoreSet.fromBoard(node.board)
        node.board.watch(STORES_KEY, self._storesMoved)
        self.metrics = Metrics()
        self._antiEntropy = AntiEntropy(node, self.table, self.metrics, lambda: self.stores)
        self._sweeper = Repeater(node.reactor, 0.0, self._waitAndSweep, node.log)
        self._wake = defer.Deferred()
        for method, handler in (
            ("lineGet", self._get),
            ("linePut", self._put),
            ("lineKeep", self._keep),
            ("storeStatus", self._status),
            ("turnRecall", self._turnRecall),
            ("turnRetain", self._turnRetain),
            ("turnKeep", self._turnKeep),
            ("turnOffer", self._turnOffer),
        ):
            node.net.handle(method, handler)

    def start(self):
        self._sweeper.start()

    def stop(self):
        self._sweeper.stop()
        self.table.stop()

    def _storesMoved(self, _source):
        self.stores = StoreSet.fromBoard(self._node.board)
        # Nobody is handed anything any more who has left the set; come back, it copies.
        self._hints = {nodeId: hints for nodeId, hints in self._hints.items() if nodeId in self.stores.everyone}
        self.table.prune(self.stores.pruned)
        self._sweepSoon()

    @property
    def isMember(self):
        return self._node.nodeId in self.stores.everyone

    @property
    def covers(self):
        return self.isMember and self._coversSince == self.stores.since(self._node.nodeId)

    def _others(self):
        return {nodeId: row["peer"] for nodeId, row in self.stores.everyone.items() if nodeId != self._node.nodeId}

    def hintsByMember(self):
        return {nodeId: len(hints) for nodeId, hints in self._hints.items() if hints}

    def hintCount(self):
        return sum(self.hintsByMember().values())

    # --- calls ---

    async def _get(self, _peer, arguments):
        self.metrics.count("line_gets")
        return toState(
            self.table.versions(arguments.key),
            self.covers,
            self.stores.epoch,
            self.table.age(arguments.key),
            self.table.isFull(),
        )

    def _adopt(self, record):
        """A version of the set that was confirmed, told before the news of it came."""
        if record["version"] > self.stores.epoch:
            self._node.board.setItems(STORES_KEY, record["version"], {"set": packJson(record)})

    def _checkEpoch(self, epoch):
        if epoch != self.stores.epoch:
            raise Fenced(
                f"store epoch {epoch} is not {self.stores.epoch}",
                detail={"storeEpoch": self.stores.epoch, "set": self.stores.record},
            )

    def _checkSender(self, arguments):
        """The set as it stands here, which is the sender's too."""
        self._checkEpoch(arguments.state.storeEpoch)
        if arguments.sender not in self.stores.everyone:
            raise Fenced(f"{arguments.sender} is not in the store set")
        return self.stores

    async def _put(self, _peer, arguments):
        stores = self.stores
        self._checkEpoch(arguments.storeEpoch)
        if not self.isMember:
            raise Fenced("this store is not in the set")
        if len(arguments.value) > LINE_SIZE:
            raise TooLarge(f"a line of {len(arguments.value)} bytes is over {LINE_SIZE}")
        try:
            contextSet = fromContext(arguments.context)
        except ValueError as error:
            raise BadRequest(f"no context: {error}") from error
        versions, clock = await self.table.put(arguments.key, contextSet, arguments.value)
        self._checkStill(stores)
        self.metrics.count("line_puts")
        await self._replicate(arguments.key, versions, stores)
        return toContext(frozenset([clock]))

    async def _replicate(self, key, versions, stores):
        """Returns once a write quorum of that epoch keeps the versions."""
        state = toState(versions, storeEpoch=stores.epoch)
        await self._replicateTo(stores, key, lambda nodeId, peer: self._give(nodeId, peer, key, state))

    async def _replicateTo(self, stores, key, give):
        reached, errors = await quorumOf(
            {nodeId: give(nodeId, peer) for nodeId, peer in self._others().items()},
            lambda nodeIds: stores.isWritten(nodeIds | {self._node.nodeId}),
        )
        if not reached:
            raise NoAnswer(
                "the line did not reach a quorum of stores, it may still be kept: "
                + "; ".join(sorted(map(str, errors.values())))
            )
        self._checkStill(stores)

    def _checkStill(self, stores):
        """What was on its way to the disk while the set moved on is no vote of the former epoch: a newcomer may have
        copied from here just before."""
        if self.stores.epoch != stores.epoch:
            raise NoAnswer(f"the set moved on to epoch {self.stores.epoch}; what is here may still be kept")

    async def _give(self, nodeId, peer, key, state):
        await self._giveNoted(
            nodeId,
            key,
            state,
            lambda: self._node.net.call(
                peer, "lineKeep", STORE_CALL_TIME, key=key, state=state, sender=self._node.nodeId
            ),
        )

    async def _giveNoted(self, nodeId, key, state, give):
        # Of a set that is past, a member may have left meanwhile: then this is a list that nobody keeps.
        hints = self._hints.setdefault(nodeId, OrderedDict()) if nodeId in self.stores.everyone else OrderedDict()
        # Noted before it is sent: a crash of neither side may lose what the other lacks.
        hints[key] = None
        hints.move_to_end(key)
        if len(hints) > HINT_LIMIT:
            hints.popitem(last=False)
        await give()
        if self.table.versions(key).keys() <= fromState(state).keys():
            hints.pop(key, None)

    async def _keep(self, _peer, arguments):
        stores = self._checkSender(arguments)
        await self.table.merge(arguments.key, fromState(arguments.state), arguments.state.ageMs / 1000)
        self._checkStill(stores)
        self.metrics.count("line_keeps")
        return True

    # --- turns: the versions are sets of turn ids, the records lie beside them ---

    async def _turnRecall(self, _peer, arguments):
        """What this store knows of a turn. Asked with bodies, it gives the chain's records from this turn up to the
        oldest, or as many as fit one page."""
        self.metrics.count("turn_recalls")
        table, records, turnId = self.table, self.table.records, arguments.turnId
        key = table.lineOf(turnId)
        ids, missing = records.chain(turnId)
        isWhole = missing is None
        if isWhole:
            records.touch(turnId)
        return idl.TurnState(
            known=key is not None,
            whole=isWhole,
            lineKey=key,
            line=toState(table.versions(key) if key else {}, self.covers, self.stores.epoch, 0.0, table.isFull()),
            records=records.page(ids, RECORD_PAGE) if arguments.bodies else None,
        )

    async def _turnRetain(self, _peer, arguments):
        stores = self.stores
        self._checkEpoch(arguments.storeEpoch)
        if not self.isMember:
            raise Fenced("this store is not in the set")
        if len(arguments.value) > LINE_SIZE:
            raise TooLarge(f"the turns of a line take {len(arguments.value)} bytes, over {LINE_SIZE}")
        try:
            contextSet = fromContext(arguments.context)
        except ValueError as error:
            raise BadRequest(f"no context: {error}") from error
        header = read_header(arguments.record)
        await self._bringChain(header.parent, self._others().items())
        versions, clock = await self.table.put(
            arguments.key, contextSet, arguments.value, [(arguments.record, header.keep_s)]
        )
        self._checkStill(stores)
        self.metrics.count("turn_retains")
        state = toState(versions, storeEpoch=stores.epoch)
        await self._replicateTo(
            stores,
            arguments.key,
            lambda nodeId, peer: self._giveTurn(
                nodeId, peer, arguments.key, state, [arguments.record], [header.keep_s]
            ),
        )
        return toContext(frozenset([clock]))

    async def _bringChain(self, turnId, peers):
        if not await self._antiEntropy.bring_chain(turnId, peers):
            raise CannotTell(f"the chain of turn {turnId} is not here", retryAfter=1)

    async def _giveTurn(self, nodeId, peer, key, state, records, lefts):
        await self._giveNoted(
            nodeId,
            key,
            state,
            lambda: self._node.net.call(
                peer,
                "turnKeep",
                STORE_CALL_TIME,
                key=key,
                state=state,
                sender=self._node.nodeId,
                records=records,
                leftMs=[int(left * 1000) for left in lefts],
            ),
        )

    async def _turnKeep(self, _peer, arguments):
        """Says yes only when the versions, the records and their whole chains are on the disk here."""
        stores = self._checkSender(arguments)
        records = list(zip(arguments.records or [], (ms / 1000 for ms in arguments.leftMs or [])))
        await self.table.merge(arguments.key, fromState(arguments.state), arguments.state.ageMs / 1000, records)
        sender = [(arguments.sender, stores.everyone[arguments.sender]["peer"])]
        for packed, _ in records:
            await self._bringChain(read_header(packed).turn_id, sender)
        self._checkStill(stores)
        self.metrics.count("turn_keeps")
        return True

    async def _status(self, _peer, arguments):
        if arguments.record:
            self._adopt(json.loads(arguments.record))
        return json.dumps(
            {
                "nodeId": self._node.nodeId,
                "epoch": self.stores.epoch,
                "covers": self.covers,
                "lines": len(self.table.rows),
                "turns": len(self.table.records),
                "hints": self.hintsByMember(),
                "dots": self.table.dots(),
            }
        )

    # --- sweeping ---

    def _sweepSoon(self):
        if not self._wake.called:
            self._wake.callback(None)

    async def _waitAndSweep(self):
        pause = STORE_SWEEP if self.covers or not self.isMember else STORE_COPY_PAUSE
        timer = self._node.reactor.callLater(pause, self._sweepSoon)
        try:
            await self._wake
        finally:
            if timer.active():
                timer.cancel()
        self._wake = defer.Deferred()
        await self._sweep()

    async def _sweep(self):
        if not self.isMember:
            return
        since = self.stores.since(self._node.nodeId)
        if self._passEpoch != since:
            # Only what was read since then counts: before, writes went on that were not sent here.
            self._passEpoch, self._coveredFrom = since, set()
        if since == 1 and not self.covers:
            await self._cover(since)  # no line is older than the first set, so nothing can be missing
        await self.table.dropRecords()
        for key in self.table.old():
            await self.table.letGo(key)
        for nodeId, peer in self._others().items():
            if self._node.members.condition(nodeId) != LIVE:
                continue
            try:
                await self._handOver(nodeId, peer)
                await self._antiEntropy.compare(nodeId, peer)
                self._coveredFrom.add(nodeId)
            except OakError as error:
                self._log.event("sweepFailed", member=nodeId, reason=error.reason)
        # Every write quorum of the old set has a member among so many of them.
        needed = len(self.stores.members) - majority(self.stores.members) + 1
        copiedFrom = self._coveredFrom & self.stores.members.keys()
        if (
            not self.covers
            and self._passEpoch == since
            and len(copiedFrom) >= needed
            and not self.table.isLacking(copiedFrom)
        ):
            await self._cover(since)

    async def _cover(self, since):
        await self._ring.commit([(COVERS, b"%d" % since)])
        self._coversSince = since
        self._log.event("storeCovers", since=since, lines=len(self.table.rows))

    async def _handOver(self, nodeId, peer):
        for key in list(islice(self._hints.get(nodeId, ()), SWEEP_HINTS)):
            if self.table.age(key) >= LINE_KEPT or key not in self.table.rows:
                self._hints.get(nodeId, {}).pop(key, None)
                continue
            state = toState(self.table.versions(key), storeEpoch=self.stores.epoch, age=self.table.age(key))
            if key.startswith(TURN_LINE):
                await self._handOverTurns(nodeId, peer, key, state)
            else:
                await self._give(nodeId, peer, key, state)
            self.metrics.count("lines_handed_over")

    async def _handOverTurns(self, nodeId, peer, key, state):
        """The member says which of the line's turns it wants by taking their chains from here."""
        await self._giveNoted(
            nodeId,
            key,
            state,
            lambda: self._node.net.call(
                peer,
                "turnOffer",
                STORE_CALL_TIME,
                key=key,
                state=state,
                sender=self._node.nodeId,
                turnIds=sorted(self.table.records.on_line(key)),
            ),
        )

    async def _turnOffer(self, _peer, arguments):
        stores = self._checkSender(arguments)
        await self._antiEntropy.take(stores.everyone[arguments.sender]["peer"], arguments.turnIds or [])
        await self.table.merge(arguments.key, fromState(arguments.state), arguments.state.ageMs / 1000)
        self._checkStill(stores)
        self.metrics.count("turn_keeps")
        return True


def _clear(disk):
    """Removes all that a store kept. The mark goes last, so a start after a crash goes on with it."""
    for name in [name for name in disk.names() if name != EMPTYING] + [EMPTYING]:
        disk.remove(name)


class StoreNode:
    """A store whose id has left the set for good starts over with an empty folder and a new id: as a spare."""

    def __init__(self, reactor, env, disk, random, sink, wall=time.time):
        self._parts = reactor, env, disk, random, sink, wall
        self._startingOver = None
        if EMPTYING in disk.names():
            _clear(disk)
        self._build()

    def _build(self):
        reactor, env, disk, random, sink, wall = self._parts
        self.node = Node(reactor, "store", env, random, sink, disk, wall)
        shares = {"fileCount": env["ringFiles"], "commitShare": RING_COMMIT_SHARE} if env.get("ringFiles") else {}
        self.ring = Ring(
            disk,
            self.node.log,
            env.get("ringFileSize"),
            seconds=reactor.seconds,
            hot_bytes=env.get("hotBytes", STORE_HOT_BYTES),
            **shares,
        )
        self.store = Store(self.node, self.ring)
        self.node.board.watch(STORES_KEY, lambda _source: self._mayStartOver())
        self.web = Web(reactor, env["http"], self.node.log, ACCEPT_INBOX)
        self.web.route("GET", "/condition", self._condition)
        serve_metrics(self.web, self.store.metrics)
        for name, ask in (
            ("lines", lambda: len(self.store.table.rows)),
            ("turns", lambda: len(self.store.table.records)),
            ("hints", self.store.hintCount),
            ("ring_syncs", lambda: self.ring.syncCount),
            ("ring_commits", lambda: self.ring.commitCount),
            ("ring_live_bytes", self.ring.liveBytes),
        ):
            self.store.metrics.gauge(name, ask)

    def _mayStartOver(self):
        record = self.store.stores.record
        isOver = self.node.nodeId in record["retired"] and self.node.env["machine"] not in record.get("emptied", ())
        if isOver and self._startingOver is None:
            self._startingOver = spawn(self._startOver(), self.node.log)

    async def _startOver(self):
        disk = self._parts[2]
        self.node.log.event("storeStartsOver", id=self.node.nodeId)
        disk.replace(EMPTYING, b"")
        self.store.stop()
        await self.web.stop()
        self.node.puller.stop()
        self.node.wallClock.repeater.stop()
        await self.node.net.stop()
        await self.ring.stop()
        _clear(disk)
        self._build()
        self._startingOver = None
        self.start()

    async def _condition(self, _call):
        return 200, self.node.condition() | {
            "condition": "ready" if self.store.covers else "waiting",
            "storeEpoch": self.store.stores.epoch,
            "covers": self.store.covers,
            "lines": len(self.store.table.rows),
            "hints": self.store.hintsByMember(),
            "disk": self.ring.condition(),
        }

    def start(self):
        self.node.start()
        self.store.start()
        self.web.listen()

    async def stop(self):
        if self._startingOver is not None:
            await self._startingOver
        await self.node.puller.sayLeaving()
        await self.web.stop()
        self.store.stop()
        await self.node.stop()
