"""A store node: coordinates writes, keeps replicas, delivers hinted writes that others missed, and runs cleanup."""

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
EMPTYING = "emptying"  # marker file that exists while the data folder is being cleared


class Store:
    """Invariants: `_hints[member]` holds the keys of conversations whose newest state that member may lack. A key is
    removed only when the member has confirmed that it stored the conversation, or when HINT_LIMIT evicts it; after
    an eviction anti-entropy finds the difference. `_covers_since` is the epoch in which this store began to copy, and
    is on disk before the store takes part in read quorums that decide what is missing: a store that left the set and
    joined again copies again."""

    def __init__(self, node, ring):
        self._node, self._ring, self._log = node, ring, node.log
        self.table = ConversationTable(node, ring)
        self._covers_since = int(ring.table.get(COVERS, b"0"))
        self._hints = {}
        self._copy_epoch, self._copied_from = 0, set()
        self.stores = StoreMembership.from_state_table(node.state_table)
        node.state_table.watch(STORES_KEY, self._on_membership_change)
        # After a storage fault has been repaired, the store fetches what it missed.
        ring.on_fault_change.add(self._wake_cleanup)
        self.metrics = Metrics()
        self._anti_entropy = AntiEntropy(node, self.table, self.metrics, lambda: self.stores)
        self._cleanup_task = Repeater(node.reactor, 0.0, self._wait_and_cleanup, node.log)
        self._cleanup_wakeup = defer.Deferred()
        for method, handler in (
            ("lineGet", self._serve_get),
            ("linePut", self._serve_put),
            ("lineKeep", self._serve_keep),
            ("storeStatus", self._serve_status),
            ("turnRecall", self._serve_read_history),
            ("turnRetain", self._serve_retain),
            ("turnKeep", self._serve_turn_keep),
            ("turnOffer", self._serve_turn_offer),
        ):
            node.net.handle(method, handler)

    def start(self):
        self._cleanup_task.start()

    def stop(self):
        """Stops the periodic work and ends commands in flight."""
        self._cleanup_task.stop()
        self.table.stop()

    def _on_membership_change(self, _source):
        self.stores = StoreMembership.from_state_table(self._node.state_table)
        # A store that has left the set gets no hinted writes any more; if it joins again, it copies everything.
        self._hints = {node_id: hints for node_id, hints in self._hints.items() if node_id in self.stores.all_members}
        self.table.prune(self.stores.pruned)
        self._wake_cleanup()

    @property
    def is_member(self):
        return self._node.node_id in self.stores.all_members

    def has_spare(self):
        """Whether there is a live spare store that could replace this one."""
        record = self.stores.record
        return any(
            other.node_id not in self.stores.all_members
            and other.node_id not in record["retired"]
            and other.machine not in record.get("emptied", ())
            for other in self._node.members.live("store")
        )

    @property
    def is_leaving_set(self):
        return self.is_member and self.stores.record["leaving"] == self._node.node_id

    @property
    def covers(self):
        return self.is_member and self._covers_since == self.stores.since(self._node.node_id)

    def _other_members(self):
        return {
            node_id: row["peer"] for node_id, row in self.stores.all_members.items() if node_id != self._node.node_id
        }

    def _other_stores(self):
        return [StoreAddress(*other) for other in self._other_members().items()]

    @staticmethod
    def _sender_of(arguments, stores):
        return StoreAddress(arguments.sender, stores.all_members[arguments.sender]["peer"])

    def hints_by_member(self):
        return {node_id: len(hints) for node_id, hints in self._hints.items() if hints}

    def hint_count(self):
        return sum(self.hints_by_member().values())

    # --- calls ---

    async def _serve_get(self, _peer, arguments):
        self.metrics.count("line_gets")
        return to_state(
            self.table.versions(arguments.key),
            self.covers,
            self.stores.epoch,
            self.table.age(arguments.key),
            self.table.is_full(),
        )

    def _adopt_membership(self, record):
        """Takes over a committed version of the store set that arrived by a call before it arrived by gossip."""
        if record["version"] > self.stores.epoch:
            self._node.state_table.set_items(STORES_KEY, record["version"], {"set": pack_json(record)})

    def _check_epoch(self, epoch):
        if epoch != self.stores.epoch:
            raise StaleEpochError(
                f"store epoch {epoch} is not {self.stores.epoch}",
                detail={"storeEpoch": self.stores.epoch, "set": self.stores.record},
            )

    def _check_sender(self, arguments):
        """Returns the store set, after checking that the sender has the same epoch and is a member."""
        self._check_epoch(arguments.state.store_epoch)
        if arguments.sender not in self.stores.all_members:
            raise StaleEpochError(f"{arguments.sender} is not in the store set")
        return self.stores

    async def _serve_put(self, _peer, arguments):
        stores = self.stores
        self._check_epoch(arguments.store_epoch)
        if not self.is_member:
            raise StaleEpochError("this store is not in the store set")
        if len(arguments.value) > CONVERSATION_SIZE:
            raise TooLargeError(f"a conversation of {len(arguments.value)} bytes is over {CONVERSATION_SIZE}")
        try:
            context_set = from_context(arguments.context)
        except ValueError as error:
            raise BadRequestError(f"no context: {error}") from error
        versions, clock = await self.table.put(arguments.key, context_set, arguments.value)
        self._check_epoch_unchanged(stores)
        self.metrics.count("line_puts")
        await self._replicate(arguments.key, versions, stores)
        return to_context(frozenset([clock]))

    async def _replicate(self, key, versions, stores):
        """Returns once a write quorum of that epoch has stored the versions."""
        state = to_state(versions, store_epoch=stores.epoch)
        await self._replicate_to(stores, key, lambda node_id, peer: self._send_conversation(node_id, peer, key, state))

    async def _replicate_to(self, stores, key, send):
        reached, errors = await quorum_of(
            {node_id: send(node_id, peer) for node_id, peer in self._other_members().items()},
            lambda node_ids: stores.is_written(node_ids | {self._node.node_id}),
        )
        if not reached:
            raise OutcomeUnknownError(
                "the write did not reach a quorum of stores, it may still be retained: "
                + "; ".join(sorted(map(str, errors.values())))
            )
        self._check_epoch_unchanged(stores)

    def _check_epoch_unchanged(self, stores):
        """Rejects a write that went to disk while the store set changed: it does not count as a vote in the earlier
        epoch, since a joining store may have copied from here just before it."""
        if self.stores.epoch != stores.epoch:
            raise OutcomeUnknownError(
                f"the store set changed to epoch {self.stores.epoch}; the write may still be retained"
            )

    async def _send_conversation(self, node_id, peer, key, state):
        await self._send_with_hint(node_id, peer, "lineKeep", key, state)

    async def _send_with_hint(self, node_id, peer, method, key, state, **more):
        """Sends a conversation's state to another store by this method, and keeps a hint until that store has it."""
        # The member may have left the set since the call began: then the hint goes into a list that is discarded.
        hints = self._hints.setdefault(node_id, OrderedDict()) if node_id in self.stores.all_members else OrderedDict()
        # Recorded before the state is sent, so that a crash of either side does not lose track of what is missing.
        hints[key] = None
        hints.move_to_end(key)
        if len(hints) > HINT_LIMIT:
            hints.popitem(last=False)
        await self._node.net.call(
            peer, method, STORE_CALL_TIME, to=node_id, key=key, state=state, sender=self._node.node_id, **more
        )
        if self.table.versions(key).keys() <= from_state(state).keys():
            hints.pop(key, None)

    async def _serve_keep(self, _peer, arguments):
        stores = self._check_sender(arguments)
        await self.table.merge(arguments.key, from_state(arguments.state), arguments.state.age_ms / 1000)
        self._check_epoch_unchanged(stores)
        self.metrics.count("line_keeps")
        return True

    # --- turns: the versions are sets of turn ids, the records are stored separately ---

    async def _serve_read_history(self, _peer, arguments):
        """Returns what this store knows about a turn; with `bodies` also the chain's records from this turn back to the
        oldest, as many as fit one page."""
        self.metrics.count("turn_recalls")
        table, records, turn_id = self.table, self.table.records, arguments.turn_id
        key = table.key_of_turn(turn_id)
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

    async def _serve_retain(self, _peer, arguments):
        stores = self.stores
        self._check_epoch(arguments.store_epoch)
        if not self.is_member:
            raise StaleEpochError("this store is not in the store set")
        if len(arguments.value) > CONVERSATION_SIZE:
            raise TooLargeError(
                f"the turns of a conversation take {len(arguments.value)} bytes, over {CONVERSATION_SIZE}"
            )
        try:
            context_set = from_context(arguments.context)
        except ValueError as error:
            raise BadRequestError(f"no context: {error}") from error
        header = read_header(arguments.record)
        await self._ensure_chain(header.parent, self._other_stores())
        versions, clock = await self.table.put(
            arguments.key, context_set, arguments.value, [(arguments.record, header.keep_s)]
        )
        self._check_epoch_unchanged(stores)
        self.metrics.count("turn_retains")
        state = to_state(versions, store_epoch=stores.epoch)
        await self._replicate_to(
            stores,
            arguments.key,
            lambda node_id, peer: self._send_turn(
                node_id, peer, arguments.key, state, [arguments.record], [header.keep_s]
            ),
        )
        return to_context(frozenset([clock]))

    async def _ensure_chain(self, turn_id, stores):
        if not await self._anti_entropy.ensure_chain(turn_id, stores):
            raise QuorumUnavailableError(f"the chain of turn {turn_id} is not on this store", retry_after=1)

    async def _send_turn(self, node_id, peer, key, state, records, seconds_left):
        left_ms = [int(seconds * 1000) for seconds in seconds_left]
        await self._send_with_hint(node_id, peer, "turnKeep", key, state, records=records, left_ms=left_ms)

    async def _serve_turn_keep(self, _peer, arguments):
        """Confirms only once the versions, the records and their whole chains are on this store's disk."""
        stores = self._check_sender(arguments)
        records = list(zip(arguments.records or [], (ms / 1000 for ms in arguments.left_ms or [])))
        await self.table.merge(arguments.key, from_state(arguments.state), arguments.state.age_ms / 1000, records)
        for packed, _ in records:
            await self._ensure_chain(read_header(packed).turn_id, [self._sender_of(arguments, stores)])
        self._check_epoch_unchanged(stores)
        self.metrics.count("turn_keeps")
        return True

    async def _serve_status(self, _peer, arguments):
        if arguments.record:
            self._adopt_membership(json.loads(arguments.record))
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

    # --- cleanup ---

    def _wake_cleanup(self):
        if not self._cleanup_wakeup.called:
            self._cleanup_wakeup.callback(None)

    async def _wait_and_cleanup(self):
        pause = STORE_CLEANUP if self.covers or not self.is_member else STORE_COPY_PAUSE
        timer = self._node.reactor.callLater(pause, self._wake_cleanup)
        try:
            await self._cleanup_wakeup
        finally:
            if timer.active():
                timer.cancel()
        self._cleanup_wakeup = defer.Deferred()
        await self._cleanup()

    async def _cleanup(self):
        if not self.is_member or self._ring.broken is not None:
            return
        since = self.stores.since(self._node.node_id)
        if self._copy_epoch != since:
            # Only copies made since it joined count: earlier writes were not sent to this store.
            self._copy_epoch, self._copied_from = since, set()
        if since == 1 and not self.covers:
            # No conversation is older than the first store set, so nothing can be missing.
            await self._confirm_coverage(since)
        await self.table.drop_records()
        for key in self.table.expired_keys():
            await self.table.drop_expired(key)
        for node_id, peer in self._other_members().items():
            if self._node.members.condition(node_id) != LIVE:
                continue
            try:
                await self._deliver_hints(node_id, peer)
                await self._anti_entropy.reconcile(StoreAddress(node_id, peer))
                self._copied_from.add(node_id)
            except OakrampError as error:
                self._log.warning("cleanup_failed", member=node_id, reason=error.reason)
        # Every write quorum of the old set includes at least one of this many members.
        needed = len(self.stores.members) - majority(self.stores.members) + 1
        copied_from = self._copied_from & self.stores.members.keys()
        if (
            not self.covers
            and self._copy_epoch == since
            and len(copied_from) >= needed
            and not self.table.has_missing_records(copied_from)
        ):
            await self._confirm_coverage(since)

    async def _confirm_coverage(self, since):
        await self._ring.commit([(COVERS, b"%d" % since)])
        self._covers_since = since
        self._log.info("store_caught_up", since=since, lines=len(self.table.rows))

    async def _deliver_hints(self, node_id, peer):
        for key in list(islice(self._hints.get(node_id, ()), CLEANUP_HINTS)):
            if self.table.age(key) >= CONVERSATION_KEPT or key not in self.table.rows:
                self._hints.get(node_id, {}).pop(key, None)
                continue
            state = to_state(self.table.versions(key), store_epoch=self.stores.epoch, age=self.table.age(key))
            if key.startswith(TURN_LINE):
                await self._offer_turns(node_id, peer, key, state)
            else:
                await self._send_conversation(node_id, peer, key, state)
            self.metrics.count("lines_handed_over")

    async def _offer_turns(self, node_id, peer, key, state):
        """Offers the ids of the conversation's turns; the member fetches the chains that it lacks from this store."""
        turn_ids = sorted(self.table.records.turn_ids_of(key))
        await self._send_with_hint(node_id, peer, "turnOffer", key, state, turn_ids=turn_ids)

    async def _serve_turn_offer(self, _peer, arguments):
        stores = self._check_sender(arguments)
        await self._anti_entropy.fetch_unknown_chains(self._sender_of(arguments, stores), arguments.turn_ids or [])
        await self.table.merge(arguments.key, from_state(arguments.state), arguments.state.age_ms / 1000)
        self._check_epoch_unchanged(stores)
        self.metrics.count("turn_keeps")
        return True


def _remove_all_files(disk):
    """Removes all files of a store. The marker file goes last, so that a start after a crash resumes the removal."""
    for name in [name for name in disk.names() if name != EMPTYING] + [EMPTYING]:
        disk.remove(name)


class StoreNode:
    """The process of a store. A store whose id has been retired from the set starts over as a spare, with an empty
    folder and a new id."""

    def __init__(self, reactor, env, disk, random, sink, wall=time.time):
        self._parts = reactor, env, disk, random, sink, wall
        self._starting_over = None
        self._is_stopping = False
        if EMPTYING in disk.names():
            _remove_all_files(disk)
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
        self.node.state_table.watch(STORES_KEY, lambda _source: self._start_over_if_retired())
        self.web = self.node.http_server(env["http"], ACCEPT_QUEUE_LIMIT)
        self.node.memory_account.show(self.store.metrics)
        self.web.route("GET", "/condition", self._condition)
        serve_metrics(self.web, self.store.metrics)
        for name, read_value in (
            ("lines", lambda: len(self.store.table.rows)),
            ("turns", lambda: len(self.store.table.records)),
            ("hints", self.store.hint_count),
            ("ring_syncs", lambda: self.ring.sync_count),
            ("ring_commits", lambda: self.ring.commit_count),
            ("ring_live_bytes", self.ring.live_bytes),
            ("storage_fault", lambda: int(self.ring.broken is not None)),
        ):
            self.store.metrics.gauge(name, read_value)

    def _start_over_if_retired(self):
        record = self.store.stores.record
        is_retired = self.node.node_id in record["retired"] and self.node.env["machine"] not in record.get(
            "emptied", ()
        )
        if is_retired and self._starting_over is None and not self._is_stopping:
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
        _remove_all_files(disk)
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
        """Starts to listen and joins gossip."""
        self.node.start()
        self.store.start()
        self.web.listen()

    async def stop(self):
        """Tells other nodes that it is leaving, waits for a spare to replace it, finishes calls in flight and stops."""
        self._is_stopping = True
        if self._starting_over is not None:
            await self._starting_over
        await self.node.gossip_client.announce_leaving()
        await self._wait_for_replacement()
        await self.web.stop()
        self.store.stop()
        await self.node.stop()

    async def _wait_for_replacement(self):
        """Keeps serving until a spare has replaced this member, if there is a spare: this store may be stopping for
        good, and another disk may be lost right after it."""
        store, reactor = self.store, self.node.reactor
        deadline = reactor.seconds() + STORES_LEAVING_TIME
        while reactor.seconds() < deadline and store.is_member and (store.is_leaving_set or store.has_spare()):
            await sleep(reactor, STORES_LEAVING_POLL)
