"""The gateway's client for retained turns. A turn is found by its id alone; its ancestors may belong to several
conversations.

Like the client in the paper on version vectors, it reads a conversation, keeps the causal context of the read and
writes with that context. The value of a version is the set of the conversation's turns; siblings are merged by union,
so no turn is lost. Turn records are immutable and are sent once.
"""

from twisted.internet import defer

from oakramp.common.constants import (
    CONVERSATION_TURNS,
    LATE_FACTOR,
    LIVENESS_AGE,
    READ_HISTORY_HEDGE,
    RETAIN_HEDGE,
    RETAIN_MARGIN,
    STORE_CALL_TIME,
    STORE_FULL_AGE,
)
from oakramp.common.errors import (
    ConflictError,
    OakrampError,
    OutcomeUnknownError,
    QuorumUnavailableError,
    StaleEpochError,
    StorageFullError,
    TurnExpiredError,
    Verdict,
)
from oakramp.common.tasks import sleep, spawn
from oakramp.common.validation import pack_json
from oakramp.control.store_membership import STORES_KEY, StoreMembership, majority
from oakramp.membership.members import UP_STATE
from oakramp.membership.rendezvous_hashing import ranked
from oakramp.store.record_table import TURN_LINE, from_state, pack_turns, turns_in
from oakramp.store.records import pack_record, read_bodies, read_header
from oakramp.store.store_client import CallHeldBackError, StoreClient
from oakramp.version_vectors.causal_context import to_context
from oakramp.version_vectors.version_vector import sync_versions

RETRY_PAUSE = 0.05  # s; between rounds over the stores, for instance while one of them restarts or copies data
HEDGES = {"recall": READ_HISTORY_HEDGE, "retain": RETAIN_HEDGE}


class Record:
    """One retained turn: its id, the id of its parent or None, its session, and its input and output in bytes."""

    __slots__ = ("turn_id", "parent", "session", "input", "output")

    def __init__(self, turn_id, parent, session, input, output):
        self.turn_id, self.parent, self.session, self.input, self.output = turn_id, parent, session, input, output

    def __eq__(self, other):
        return isinstance(other, Record) and all(getattr(self, name) == getattr(other, name) for name in self.__slots__)

    def __repr__(self):
        return f"Record({self.turn_id!r}, {self.parent!r}, {self.session!r}, {len(self.input)} B, {len(self.output)} B)"


class ConversationHistory:
    """The result of reading a turn's history. Invariants: `chain` is complete, the oldest turn first; `turns`
    (id -> parent) is the union over all siblings that `context` covers, in the conversation `line_key`."""

    def __init__(self, chain, line_key, versions):
        self.chain, self.line_key = chain, line_key
        self.context = to_context(frozenset(versions))
        self.turns = turns_in(versions)

    @property
    def turn_ids(self):
        return frozenset(self.turns)


def line_key_of(session):
    return TURN_LINE + session


def _unpack(packed):
    header = read_header(packed)
    return Record(header.turn_id, header.parent, header.line_key[len(TURN_LINE) :], *read_bodies(packed, header))


class _Read:
    """The replies to one read of one turn. `records` maps turn ids to packed records, from whichever store."""

    def __init__(self, turn_id):
        self.turn_id = turn_id
        self.states, self.records = {}, {}

    def add_reply(self, node_id, state):
        """Adds the reply of one store."""
        self.states[node_id] = state
        for packed in state.records or []:
            self.records[read_header(packed).turn_id] = packed

    def complete_on(self):
        """The id of a store that has the whole chain, or None; some records may have to be fetched in further pages."""
        return next((node_id for node_id, state in self.states.items() if state.whole), None)

    def chain(self):
        """(packed records from the turn back to the oldest one received, id of the first missing ancestor or None)"""
        chain, turn_id = [], self.turn_id
        while turn_id is not None:
            packed = self.records.get(turn_id)
            if packed is None:
                return chain, turn_id
            chain.append(packed)
            turn_id = read_header(packed).parent
        return chain, None


class TurnClient:
    """Reads and writes turns on the stores. `_slow_until` maps stores that failed, or did not reply within the hedging
    delay, to the time until which they are tried last; `_reported_full_at` maps stores that reported a full disk to
    the time of that report; `_mean_reply_time` holds a moving average of the reply time for each kind of call."""

    def __init__(self, node):
        self._node, self._reactor = node, node.reactor
        self._slow_until, self._reported_full_at, self._mean_reply_time = {}, {}, {}
        self.calls = StoreClient(node)
        self._stores = StoreMembership.from_state_table(node.state_table)
        node.state_table.watch(STORES_KEY, self._on_membership_change)

    def _on_membership_change(self, _source):
        self._stores = StoreMembership.from_state_table(self._node.state_table)
        self.calls.forget()

    async def _known_stores(self, deadline):
        while not self._stores.epoch:
            if self._reactor.seconds() + RETRY_PAUSE >= deadline:
                raise QuorumUnavailableError("the store membership is not known on this node yet", retry_after=1)
            await sleep(self._reactor, RETRY_PAUSE)
        return self._stores

    @property
    def is_full(self):
        """Whether a majority of the stores reported a full disk recently: turns that run now may not be retained."""
        now = self._reactor.seconds()
        full = [
            node_id
            for node_id in self._stores.readers
            if now - self._reported_full_at.get(node_id, float("-inf")) < STORE_FULL_AGE
        ]
        return len(full) >= majority(self._stores.readers)

    def _call_order(self, rows, key, first=None):
        """The order in which stores are tried: live ones first, then those not marked slow, then the store `first`,
        then those in this node's zone; equals in rendezvous-hash order of the key."""
        now, members = self._reactor.seconds(), self._node.members

        def sort_key(node_id):
            member, age = members.find_with_age(node_id)
            is_live = member is not None and age <= LIVENESS_AGE and member.state == UP_STATE
            return (
                not is_live,
                self._slow_until.get(node_id, 0.0) > now,
                node_id != first,
                member is None or member.zone != self._node.env["zone"],
            )

        return sorted(ranked(rows, key), key=sort_key)

    # --- reading ---

    async def read_history(self, turn_id, time_left):
        """Returns the turn's whole chain. TurnExpiredError only if a quorum of stores with a complete copy does not
        know the turn; QuorumUnavailableError if that cannot be established, or if part of the chain cannot be
        fetched."""
        deadline = self._reactor.seconds() + time_left
        while True:
            stores = await self._known_stores(deadline)
            read = await self._read(stores, turn_id, deadline)
            chain, missing = read.chain()
            if missing is None:
                return self._to_history(read, chain)
            if self._is_expired(read, stores):
                raise TurnExpiredError(f"turn {turn_id} is not retained any more")
            if self._reactor.seconds() + RETRY_PAUSE >= deadline:
                raise QuorumUnavailableError(
                    f"too few stores replied to determine what is retained of turn {turn_id}", retry_after=1
                )
            await sleep(self._reactor, RETRY_PAUSE)

    def _to_history(self, read, chain):
        versions, line_key = {}, read_header(chain[0]).line_key
        for state in read.states.values():
            if state.line_key == line_key:
                versions = sync_versions(versions, from_state(state.line))
        return ConversationHistory([_unpack(packed) for packed in reversed(chain)], line_key, versions)

    def _is_expired(self, read, stores):
        confirming = [
            node_id
            for node_id, state in read.states.items()
            if node_id in stores.readers and state.line.covers and state.line.store_epoch == stores.epoch
        ]
        return (
            len(confirming) >= majority(stores.readers)
            and not read.records
            and not any(state.known for state in read.states.values())
        )

    async def _read(self, stores, turn_id, deadline):
        """Collects replies until one store has the whole chain; one is sufficient, since records are immutable."""
        read = _Read(turn_id)

        async def call_store(node_id, time_left):
            state = await self.calls.call(
                node_id, stores.all_members[node_id]["peer"], "turnRecall", time_left, turn_id=turn_id, bodies=True
            )
            read.add_reply(node_id, state)
            if state.line.full:
                self._reported_full_at[node_id] = self._reactor.seconds()

        await self._call_with_hedging(
            self._call_order(stores.all_members, turn_id),
            call_store,
            "recall",
            deadline,
            lambda: read.complete_on() or self._is_expired(read, stores),
        )
        if read.records:
            await self._fetch_missing(read, stores, deadline)
        return read

    async def _call_with_hedging(self, node_ids, call_store, kind, deadline, is_sufficient):
        """Calls these stores one after another: the next one when the previous one failed, is late, or its reply is
        not sufficient. Returns once the replies are sufficient, all stores have replied, or the deadline has passed;
        calls in flight are left to finish. The hedging delay is a multiple of the average reply time, so that a
        general slowdown under load does not cause additional calls."""
        in_flight, woken = {}, None
        order = [node_id for node_id in node_ids if not self.calls.is_held(node_id)]
        hedge = max(HEDGES[kind], LATE_FACTOR * self._mean_reply_time.get(kind, 0.0))

        async def call_one(node_id):
            try:
                await call_store(node_id, min(STORE_CALL_TIME, deadline - self._reactor.seconds()))
                self._slow_until.pop(node_id, None)
                reply_time = self._reactor.seconds() - in_flight[node_id]
                self._mean_reply_time[kind] = reply_time + 0.9 * (
                    self._mean_reply_time.get(kind, reply_time) - reply_time
                )
            except CallHeldBackError:
                pass
            except OakrampError as error:
                self._slow_until[node_id] = self._reactor.seconds() + STORE_CALL_TIME
                self._adopt_membership(error)
            del in_flight[node_id]
            if not woken.called:
                woken.callback(None)

        while not is_sufficient() and (order or in_flight) and self._reactor.seconds() < deadline:
            woken = defer.Deferred()
            if order:
                in_flight[order[0]] = self._reactor.seconds()
                spawn(call_one(order.pop(0)), self._node.log)
            wake_at = min(deadline, self._reactor.seconds() + hedge) if order else deadline
            timer = self._reactor.callLater(
                max(0.0, wake_at - self._reactor.seconds()), self._mark_late, woken, in_flight, hedge
            )
            await woken
            if timer.active():
                timer.cancel()

    def _mark_late(self, woken, in_flight, hedge):
        now = self._reactor.seconds()
        for node_id, called_at in in_flight.items():
            if now - called_at >= hedge:
                self._slow_until[node_id] = now + STORE_CALL_TIME
        if not woken.called:
            woken.callback(None)

    def _adopt_membership(self, error):
        """Takes over the newer store membership that a store attaches to its rejection of an outdated epoch."""
        record = (
            error.detail.get("set") if isinstance(error, StaleEpochError) and isinstance(error.detail, dict) else None
        )
        if record is not None and record["version"] > self._stores.epoch:
            self._node.state_table.set_items(STORES_KEY, record["version"], {"set": pack_json(record)})

    async def _fetch_missing(self, read, stores, deadline):
        """Fetches the missing part of a chain page by page, from any store that has it."""
        for node_id in self._call_order(stores.all_members, read.turn_id, read.complete_on()):
            while (missing := read.chain()[1]) is not None and missing != read.turn_id:
                time_left = min(STORE_CALL_TIME, deadline - self._reactor.seconds())
                if time_left <= 0:
                    return
                try:
                    state = await self.calls.call(
                        node_id,
                        stores.all_members[node_id]["peer"],
                        "turnRecall",
                        time_left,
                        turn_id=missing,
                        bodies=True,
                    )
                except OakrampError:
                    break
                if not state.records:
                    break
                read.records.update((read_header(packed).turn_id, packed) for packed in state.records)

    # --- writing ---

    async def retain(self, session, record, history, time_left, keep_s):
        """Returns once a write quorum has the turn and its chain on disk. An attempt with an unknown outcome is
        retried on another store: at worst that leaves two siblings with the same turn, superseded by the next write."""
        key = line_key_of(session)
        is_same = history is not None and history.line_key == key
        turns = history.turns if is_same else {}
        if len(turns) >= CONVERSATION_TURNS:
            raise ConflictError(f"a conversation holds at most {CONVERSATION_TURNS} turns")
        value = pack_turns(turns | {record.turn_id: record.parent})
        packed = pack_record(record.turn_id, record.parent, key, keep_s + RETAIN_MARGIN, record.input, record.output)
        context = history.context if is_same else ""
        deadline, replies, errors, calls_made = self._reactor.seconds() + time_left, [], [], 0
        while self._reactor.seconds() < deadline:
            stores = await self._known_stores(deadline)

            async def call_store(node_id, call_time):
                nonlocal calls_made
                calls_made += 1
                try:
                    replies.append(
                        await self.calls.call(
                            node_id,
                            stores.readers[node_id]["peer"],
                            "turnRetain",
                            call_time,
                            key=key,
                            context=context,
                            value=value,
                            store_epoch=stores.epoch,
                            record=packed,
                        )
                    )
                except OakrampError as error:
                    errors.append(error)
                    if isinstance(error, StorageFullError):
                        self._reported_full_at[node_id] = self._reactor.seconds()
                    raise

            await self._call_with_hedging(
                self._call_order(stores.readers, key), call_store, "retain", deadline, lambda: replies
            )
            if replies:
                return replies[0]
            if self.is_full:
                break  # no store will have space before the client's deadline
            await sleep(self._reactor, RETRY_PAUSE)
        all_rejected = calls_made == len([error for error in errors if error.verdict is Verdict.NO])
        raise OutcomeUnknownError(
            "no quorum of stores confirmed that it retained the turn", Verdict.NO if all_rejected else Verdict.MAYBE
        )
