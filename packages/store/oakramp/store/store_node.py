"""A store node: coordinates puts, keeps replicas, hands over what others missed, and sweeps."""

import json
import time
from collections import OrderedDict
from itertools import islice

from twisted.internet import defer

from oakramp.common.constants import (
    ACCEPT_QUEUE_LIMIT,
    CLEANUP_HINTS,
    CONVERSATION_KEPT,
    CONVERSATION_SIZE,
    HINT_LIMIT,
    RECORD_PAGE,
    RING_COMMIT_SHARE,
    STORE_CALL_TIME,
    STORE_CLEANUP,
    STORE_COPY_PAUSE,
    STORE_HOT_BYTES,
    STORES_LEAVING_POLL,
    STORES_LEAVING_TIME,
)
from oakramp.common.errors import (
    BadRequestError,
    OakrampError,
    OutcomeUnknownError,
    QuorumUnavailableError,
    StaleEpochError,
    TooLargeError,
)
from oakramp.common.http_server import HttpServer
from oakramp.common.metrics import Metrics, serve_metrics
from oakramp.common.tasks import Repeater, quorum_of, sleep, spawn
from oakramp.common.validation import pack_json
from oakramp.control.store_membership import STORES_KEY, StoreMembership, majority
from oakramp.gossip.node import Node
from oakramp.membership.members import LIVE
from oakramp.rpc.codec import idl
from oakramp.storage.circular_log import CircularLog
from oakramp.store.anti_entropy import AntiEntropy, StoreAddress
from oakramp.store.record_table import TURN_LINE, ConversationTable, from_state, to_state
from oakramp.store.records import read_header
from oakramp.version_vectors.causal_context import from_context, to_context

COVERS = "covers"
EMPTYING = "emptying"  # a file that stands as long as the folder is being cleared


class Store:
    """Invariants: `_hints[member]` names lines whose newest state that member may lack; a name leaves it
    only when the member has said that it keeps the line, or when the bound pushes it out, after which
    anti-entropy finds it. `_coversSince` is on the disk before this store speaks about what is missing, and
    is the epoch in which it began to copy: a store that left the set and came again copies again."""

    def __init__(self, node, ring):
        self._node, self._ring, self._log = node, ring, node.log
        self.table = ConversationTable(node, ring)
        self._covers_since = int(ring.table.get(COVERS, b"0"))
        self._hints = {}
        self._pass_epoch, self._covered_from = 0, set()
        self.stores = StoreMembership.from_state_table(node.state_table)
        node.state_table.watch(STORES_KEY, self._stores_moved)
        ring.on_fault_change.add(self._cleanup_soon)  # once it has recovered, it takes what it missed
        self.metrics = Metrics()
        self._anti_entropy = AntiEntropy(node, self.table, self.metrics, lambda: self.stores)
        self._sweeper = Repeater(node.reactor, 0.0, self._wait_and_cleanup, node.log)
        self._wake = defer.Deferred()
        for method, handler in (
            ("lineGet", self._get),
            ("linePut", self._put),
            ("lineKeep", self._keep),
            ("storeStatus", self._status),
            ("turnRecall", self._turn_read_history),
            ("turnRetain", self._turn_retain),
            ("turnKeep", self._turn_keep),
            ("turnOffer", self._turn_offer),
        ):
            node.net.handle(method, handler)

    def start(self):
        self._sweeper.start()

    def stop(self):
        """Stops the periodic work and ends commands under way."""
        self._sweeper.stop()
        self.table.stop()

    def _stores_moved(self, _source):
        self.stores = StoreMembership.from_state_table(self._node.state_table)
        # Nobody is handed anything any more who has left the set; come back, it copies.
        self._hints = {node_id: hints for node_id, hints in self._hints.items() if node_id in self.stores.everyone}
        self.table.prune(self.stores.pruned)
        self._cleanup_soon()

    @property
    def is_member(self):
        return self._node.node_id in self.stores.everyone

    def has_spare(self):
        """Whether a live store is there that could take this one's place."""
        record = self.stores.record
        return any(
            one.node_id not in self.stores.everyone
            and one.node_id not in record["retired"]
            and one.machine not in record.get("emptied", ())
            for one in self._node.members.live("store")
        )

    @property
    def is_leaving_set(self):
        return self.is_member and self.stores.record["leaving"] == self._node.node_id

    @property
    def covers(self):
        return self.is_member and self._covers_since == self.stores.since(self._node.node_id)

    def _others(self):
        return {node_id: row["peer"] for node_id, row in self.stores.everyone.items() if node_id != self._node.node_id}

    def _other_stores(self):
        return [StoreAddress(*one) for one in self._others().items()]

    @staticmethod
    def _sender_of(arguments, stores):
        return StoreAddress(arguments.sender, stores.everyone[arguments.sender]["peer"])

    def hints_by_member(self):
        return {node_id: len(hints) for node_id, hints in self._hints.items() if hints}

    def hint_count(self):
        return sum(self.hints_by_member().values())

    # --- calls ---

    async def _get(self, _peer, arguments):
        self.metrics.count("line_gets")
        return to_state(
            self.table.versions(arguments.key),
            self.covers,
            self.stores.epoch,
            self.table.age(arguments.key),
            self.table.is_full(),
        )

    def _adopt(self, record):
        """A version of the set that was confirmed, told before the news of it came."""
        if record["version"] > self.stores.epoch:
            self._node.state_table.set_items(STORES_KEY, record["version"], {"set": pack_json(record)})

    def _check_epoch(self, epoch):
        if epoch != self.stores.epoch:
            raise StaleEpochError(
                f"store epoch {epoch} is not {self.stores.epoch}",
                detail={"storeEpoch": self.stores.epoch, "set": self.stores.record},
            )

    def _check_sender(self, arguments):
        """The set as it stands here, which is the sender's too."""
        self._check_epoch(arguments.state.store_epoch)
        if arguments.sender not in self.stores.everyone:
            raise StaleEpochError(f"{arguments.sender} is not in the store set")
        return self.stores

    async def _put(self, _peer, arguments):
        stores = self.stores
        self._check_epoch(arguments.store_epoch)
        if not self.is_member:
            raise StaleEpochError("this store is not in the set")
        if len(arguments.value) > CONVERSATION_SIZE:
            raise TooLargeError(f"a line of {len(arguments.value)} bytes is over {CONVERSATION_SIZE}")
        try:
            context_set = from_context(arguments.context)
        except ValueError as error:
            raise BadRequestError(f"no context: {error}") from error
        versions, clock = await self.table.put(arguments.key, context_set, arguments.value)
        self._check_still(stores)
        self.metrics.count("line_puts")
        await self._replicate(arguments.key, versions, stores)
        return to_context(frozenset([clock]))

    async def _replicate(self, key, versions, stores):
        """Returns once a write quorum of that epoch keeps the versions."""
        state = to_state(versions, store_epoch=stores.epoch)
        await self._replicate_to(stores, key, lambda node_id, peer: self._give(node_id, peer, key, state))

    async def _replicate_to(self, stores, key, give):
        reached, errors = await quorum_of(
            {node_id: give(node_id, peer) for node_id, peer in self._others().items()},
            lambda node_ids: stores.is_written(node_ids | {self._node.node_id}),
        )
        if not reached:
            raise OutcomeUnknownError(
                "the line did not reach a quorum of stores, it may still be kept: "
                + "; ".join(sorted(map(str, errors.values())))
            )
        self._check_still(stores)

    def _check_still(self, stores):
        """What was on its way to the disk while the set moved on is no vote of the former epoch: a newcomer may have
        copied from here just before."""
        if self.stores.epoch != stores.epoch:
            raise OutcomeUnknownError(f"the set moved on to epoch {self.stores.epoch}; what is here may still be kept")

    async def _give(self, node_id, peer, key, state):
        await self._give_noted(node_id, peer, "lineKeep", key, state)

    async def _give_noted(self, node_id, peer, method, key, state, **more):
        """Gives a line's state to another store by this method, and keeps a hint until that store has it."""
        # Of a set that is past, a member may have left meanwhile: then this is a list that nobody keeps.
        hints = self._hints.setdefault(node_id, OrderedDict()) if node_id in self.stores.everyone else OrderedDict()
        # Noted before it is sent: a crash of neither side may lose what the other lacks.
        hints[key] = None
        hints.move_to_end(key)
        if len(hints) > HINT_LIMIT:
            hints.popitem(last=False)
        await self._node.net.call(
            peer, method, STORE_CALL_TIME, to=node_id, key=key, state=state, sender=self._node.node_id, **more
        )
        if self.table.versions(key).keys() <= from_state(state).keys():
            hints.pop(key, None)

    async def _keep(self, _peer, arguments):
        stores = self._check_sender(arguments)
        await self.table.merge(arguments.key, from_state(arguments.state), arguments.state.age_ms / 1000)
        self._check_still(stores)
        self.metrics.count("line_keeps")
        return True

    # --- turns: the versions are sets of turn ids, the records lie beside them ---

    async def _turn_read_history(self, _peer, arguments):
        """What this store knows of a turn. Asked with bodies, it gives the chain's records from this turn up to the
        oldest, or as many as fit one page."""
        self.metrics.count("turn_recalls")
        table, records, turn_id = self.table, self.table.records, arguments.turn_id
        key = table.line_of(turn_id)
        ids, missing = records.chain(turn_id)
        is_whole = missing is None
        if is_whole:
            records.touch(turn_id)
        return idl.TurnState(
            known=key is not None,
            whole=is_whole,
            line_key=key,
            line=to_state(table.versions(key) if key else {}, self.covers, self.stores.epoch, 0.0, table.is_full()),
            records=records.page(ids, RECORD_PAGE) if arguments.bodies else None,
        )

    async def _turn_retain(self, _peer, arguments):
        stores = self.stores
        self._check_epoch(arguments.store_epoch)
        if not self.is_member:
            raise StaleEpochError("this store is not in the set")
        if len(arguments.value) > CONVERSATION_SIZE:
            raise TooLargeError(f"the turns of a line take {len(arguments.value)} bytes, over {CONVERSATION_SIZE}")
        try:
            context_set = from_context(arguments.context)
        except ValueError as error:
            raise BadRequestError(f"no context: {error}") from error
        header = read_header(arguments.record)
        await self._bring_chain(header.parent, self._other_stores())
        versions, clock = await self.table.put(
            arguments.key, context_set, arguments.value, [(arguments.record, header.keep_s)]
        )
        self._check_still(stores)
        self.metrics.count("turn_retains")
        state = to_state(versions, store_epoch=stores.epoch)
        await self._replicate_to(
            stores,
            arguments.key,
            lambda node_id, peer: self._give_turn(
                node_id, peer, arguments.key, state, [arguments.record], [header.keep_s]
            ),
        )
        return to_context(frozenset([clock]))

    async def _bring_chain(self, turn_id, stores):
        if not await self._anti_entropy.bring_chain(turn_id, stores):
            raise QuorumUnavailableError(f"the chain of turn {turn_id} is not here", retry_after=1)

    async def _give_turn(self, node_id, peer, key, state, records, lefts):
        left_ms = [int(left * 1000) for left in lefts]
        await self._give_noted(node_id, peer, "turnKeep", key, state, records=records, left_ms=left_ms)

    async def _turn_keep(self, _peer, arguments):
        """Says yes only when the versions, the records and their whole chains are on the disk here."""
        stores = self._check_sender(arguments)
        records = list(zip(arguments.records or [], (ms / 1000 for ms in arguments.left_ms or [])))
        await self.table.merge(arguments.key, from_state(arguments.state), arguments.state.age_ms / 1000, records)
        for packed, _ in records:
            await self._bring_chain(read_header(packed).turn_id, [self._sender_of(arguments, stores)])
        self._check_still(stores)
        self.metrics.count("turn_keeps")
        return True

    async def _status(self, _peer, arguments):
        if arguments.record:
            self._adopt(json.loads(arguments.record))
        return json.dumps(
            {
                "nodeId": self._node.node_id,
                "epoch": self.stores.epoch,
                "covers": self.covers,
                "lines": len(self.table.rows),
                "turns": len(self.table.records),
                "hints": self.hints_by_member(),
                "dots": self.table.dots(),
            }
        )

    # --- sweeping ---

    def _cleanup_soon(self):
        if not self._wake.called:
            self._wake.callback(None)

    async def _wait_and_cleanup(self):
        pause = STORE_CLEANUP if self.covers or not self.is_member else STORE_COPY_PAUSE
        timer = self._node.reactor.callLater(pause, self._cleanup_soon)
        try:
            await self._wake
        finally:
            if timer.active():
                timer.cancel()
        self._wake = defer.Deferred()
        await self._cleanup()

    async def _cleanup(self):
        if not self.is_member or self._ring.broken is not None:
            return
        since = self.stores.since(self._node.node_id)
        if self._pass_epoch != since:
            # Only what was read since then counts: before, writes went on that were not sent here.
            self._pass_epoch, self._covered_from = since, set()
        if since == 1 and not self.covers:
            await self._cover(since)  # no line is older than the first set, so nothing can be missing
        await self.table.drop_records()
        for key in self.table.old():
            await self.table.let_go(key)
        for node_id, peer in self._others().items():
            if self._node.members.condition(node_id) != LIVE:
                continue
            try:
                await self._hand_over(node_id, peer)
                await self._anti_entropy.compare(StoreAddress(node_id, peer))
                self._covered_from.add(node_id)
            except OakrampError as error:
                self._log.warning("cleanup_failed", member=node_id, reason=error.reason)
        # Every write quorum of the old set has a member among so many of them.
        needed = len(self.stores.members) - majority(self.stores.members) + 1
        copied_from = self._covered_from & self.stores.members.keys()
        if (
            not self.covers
            and self._pass_epoch == since
            and len(copied_from) >= needed
            and not self.table.is_lacking(copied_from)
        ):
            await self._cover(since)

    async def _cover(self, since):
        await self._ring.commit([(COVERS, b"%d" % since)])
        self._covers_since = since
        self._log.info("store_caught_up", since=since, lines=len(self.table.rows))

    async def _hand_over(self, node_id, peer):
        for key in list(islice(self._hints.get(node_id, ()), CLEANUP_HINTS)):
            if self.table.age(key) >= CONVERSATION_KEPT or key not in self.table.rows:
                self._hints.get(node_id, {}).pop(key, None)
                continue
            state = to_state(self.table.versions(key), store_epoch=self.stores.epoch, age=self.table.age(key))
            if key.startswith(TURN_LINE):
                await self._hand_over_turns(node_id, peer, key, state)
            else:
                await self._give(node_id, peer, key, state)
            self.metrics.count("lines_handed_over")

    async def _hand_over_turns(self, node_id, peer, key, state):
        """The member says which of the line's turns it wants by taking their chains from here."""
        turn_ids = sorted(self.table.records.on_line(key))
        await self._give_noted(node_id, peer, "turnOffer", key, state, turn_ids=turn_ids)

    async def _turn_offer(self, _peer, arguments):
        stores = self._check_sender(arguments)
        await self._anti_entropy.take(self._sender_of(arguments, stores), arguments.turn_ids or [])
        await self.table.merge(arguments.key, from_state(arguments.state), arguments.state.age_ms / 1000)
        self._check_still(stores)
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
        self._starting_over = None
        self._is_stopping = False
        if EMPTYING in disk.names():
            _clear(disk)
        self._build()

    def _build(self):
        reactor, env, disk, random, sink, wall = self._parts
        self.node = Node(reactor, "store", env, random, sink, disk, wall)
        shares = {"file_count": env["ringFiles"], "commit_share": RING_COMMIT_SHARE} if env.get("ringFiles") else {}
        self.ring = CircularLog(
            disk,
            self.node.log,
            env.get("ringFileSize"),
            seconds=reactor.seconds,
            hot_bytes=env.get("hotBytes", STORE_HOT_BYTES),
            reactor=reactor,
            random_source=random,
            **shares,
        )
        self.node.watch_storage(self.ring)
        self.store = Store(self.node, self.ring)
        self.node.state_table.watch(STORES_KEY, lambda _source: self._may_start_over())
        self.web = HttpServer(reactor, env["http"], self.node.log, ACCEPT_QUEUE_LIMIT)
        self.web.route("GET", "/condition", self._condition)
        serve_metrics(self.web, self.store.metrics)
        for name, ask in (
            ("lines", lambda: len(self.store.table.rows)),
            ("turns", lambda: len(self.store.table.records)),
            ("hints", self.store.hint_count),
            ("ring_syncs", lambda: self.ring.sync_count),
            ("ring_commits", lambda: self.ring.commit_count),
            ("ring_live_bytes", self.ring.live_bytes),
            ("storage_fault", lambda: int(self.ring.broken is not None)),
        ):
            self.store.metrics.gauge(name, ask)

    def _may_start_over(self):
        record = self.store.stores.record
        is_over = self.node.node_id in record["retired"] and self.node.env["machine"] not in record.get("emptied", ())
        if is_over and self._starting_over is None and not self._is_stopping:
            self._starting_over = spawn(self._start_over(), self.node.log)

    async def _start_over(self):
        disk = self._parts[2]
        self.node.log.info("store_started_over", id=self.node.node_id)
        disk.replace(EMPTYING, b"")
        self.store.stop()
        await self.web.stop()
        self.node.gossip_client.stop()
        self.node.wall_clock.repeater.stop()
        await self.node.net.stop()
        await self.ring.stop()
        _clear(disk)
        self._build()
        self._starting_over = None
        self.start()

    async def _condition(self, _call):
        return 200, self.node.condition() | {
            "condition": "ready" if self.store.covers else "waiting",
            "storeEpoch": self.store.stores.epoch,
            "covers": self.store.covers,
            "lines": len(self.store.table.rows),
            "hints": self.store.hints_by_member(),
            "disk": self.ring.condition(),
        }

    def start(self):
        """Listens and joins the gossip."""
        self.node.start()
        self.store.start()
        self.web.listen()

    async def stop(self):
        """Gives its place away if it has to leave, finishes calls under way and stops; other nodes are told first."""
        self._is_stopping = True
        if self._starting_over is not None:
            await self._starting_over
        await self.node.gossip_client.announce_leaving()
        await self._give_place_away()
        await self.web.stop()
        self.store.stop()
        await self.node.stop()

    async def _give_place_away(self):
        """Serves on until a spare has this member's place, if there is one: it may be here for good that this one ends,
        and then the next disk may be lost at once."""
        store, reactor = self.store, self.node.reactor
        ends_at = reactor.seconds() + STORES_LEAVING_TIME
        while reactor.seconds() < ends_at and store.is_member and (store.is_leaving_set or store.has_spare()):
            await sleep(reactor, STORES_LEAVING_POLL)
