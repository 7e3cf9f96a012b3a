"""The gate's side of retained turns: a turn is found by its id alone, its chain may run through several lines.

As the paper's client, it reads a line, keeps the read's context and writes with it. A version's value is the set of
the line's turns; siblings merge by union, so none is dropped. The records themselves never change, and travel once.
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

RETRY_PAUSE = 0.05  # s; between rounds over the stores while one of them changes condition
HEDGES = {"recall": READ_HISTORY_HEDGE, "retain": RETAIN_HEDGE}


class Record:
    """One retained turn: its id, its parent's or None, its line, and what went in and came out."""

    __slots__ = ("turn_id", "parent", "session", "input", "output")

    def __init__(self, turn_id, parent, session, input, output):
        self.turn_id, self.parent, self.session, self.input, self.output = turn_id, parent, session, input, output

    def __eq__(self, other):
        return isinstance(other, Record) and all(getattr(self, name) == getattr(other, name) for name in self.__slots__)

    def __repr__(self):
        return f"Record({self.turn_id!r}, {self.parent!r}, {self.session!r}, {len(self.input)} B, {len(self.output)} B)"


class ConversationHistory:
    """What was read of a turn. Invariants: `chain` is whole, the oldest first; `turns` (id -> parent) is the union
    over all siblings that `context` stands for, of the line `line_key`."""

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
    """The answers to one read of one turn. `records` maps ids to packed records that any store gave."""

    def __init__(self, turn_id):
        self.turn_id = turn_id
        self.states, self.records = {}, {}

    def note(self, node_id, state):
        """Counts a store's answer."""
        self.states[node_id] = state
        for packed in state.records or []:
            self.records[read_header(packed).turn_id] = packed

    def whole_at(self):
        """A store that has the whole chain, or None; its records may still have to come in further pages."""
        return next((node_id for node_id, state in self.states.items() if state.whole), None)

    def chain(self):
        """(packed records from the turn to the oldest one here, the id of the first missing or None)"""
        chain, turn_id = [], self.turn_id
        while turn_id is not None:
            packed = self.records.get(turn_id)
            if packed is None:
                return chain, turn_id
            chain.append(packed)
            turn_id = read_header(packed).parent
        return chain, None


class TurnClient:
    """`_slow` maps stores that let a hedge pass to the time until which they are asked last; `_full` those that said
    that they have no room to the time of it; `_usual` is how long answers to each kind of call take of late."""

    def __init__(self, node):
        self._node, self._reactor = node, node.reactor
        self._slow, self._full, self._usual = {}, {}, {}
        self.calls = StoreClient(node)
        self._stores = StoreMembership.from_state_table(node.state_table)
        node.state_table.watch(STORES_KEY, self._stores_moved)

    def _stores_moved(self, _source):
        self._stores = StoreMembership.from_state_table(self._node.state_table)
        self.calls.forget()

    async def _known_stores(self, ends_at):
        while not self._stores.epoch:
            if self._reactor.seconds() + RETRY_PAUSE >= ends_at:
                raise QuorumUnavailableError("the store set is not known here yet", retry_after=1)
            await sleep(self._reactor, RETRY_PAUSE)
        return self._stores

    @property
    def is_full(self):
        """Whether most of the stores said lately that they have no room: what runs now might not be kept."""
        now = self._reactor.seconds()
        full = [
            node_id for node_id in self._stores.readers if now - self._full.get(node_id, float("-inf")) < STORE_FULL_AGE
        ]
        return len(full) >= majority(self._stores.readers)

    def _order(self, rows, key, first=None):
        """Whom to ask first: the live ones, of those the quick, of those the ones in our own zone."""
        now, members = self._reactor.seconds(), self._node.members

        def place(node_id):
            member, age = members.find_with_age(node_id)
            is_live = member is not None and age <= LIVENESS_AGE and member.state == UP_STATE
            return (
                not is_live,
                self._slow.get(node_id, 0.0) > now,
                node_id != first,
                member is None or member.zone != self._node.env["zone"],
            )

        return sorted(ranked(rows, key), key=place)

    # --- reading ---

    async def read_history(self, turn_id, time_left):
        """The turn's whole chain. Gone only if a covering quorum of stores knows nothing of the turn;
        QuorumUnavailableError if that is not sure, or if parts of the chain cannot be had."""
        ends_at = self._reactor.seconds() + time_left
        while True:
            stores = await self._known_stores(ends_at)
            read = await self._read(stores, turn_id, ends_at)
            chain, missing = read.chain()
            if missing is None:
                return self._recalled(read, chain)
            if self._is_gone(read, stores):
                raise TurnExpiredError(f"turn {turn_id} is not kept")
            if self._reactor.seconds() + RETRY_PAUSE >= ends_at:
                raise QuorumUnavailableError(
                    f"too few stores answered to say what is kept of turn {turn_id}", retry_after=1
                )
            await sleep(self._reactor, RETRY_PAUSE)

    def _recalled(self, read, chain):
        versions, line_key = {}, read_header(chain[0]).line_key
        for state in read.states.values():
            if state.line_key == line_key:
                versions = sync_versions(versions, from_state(state.line))
        return ConversationHistory([_unpack(packed) for packed in reversed(chain)], line_key, versions)

    def _is_gone(self, read, stores):
        sure = [
            node_id
            for node_id, state in read.states.items()
            if node_id in stores.readers and state.line.covers and state.line.store_epoch == stores.epoch
        ]
        return (
            len(sure) >= majority(stores.readers)
            and not read.records
            and not any(state.known for state in read.states.values())
        )

    async def _read(self, stores, turn_id, ends_at):
        """All that it takes is one store that has the whole chain: records do not change."""
        read = _Read(turn_id)

        async def ask(node_id, time_left):
            state = await self.calls.call(
                node_id, stores.everyone[node_id]["peer"], "turnRecall", time_left, turn_id=turn_id, bodies=True
            )
            read.note(node_id, state)
            if state.line.full:
                self._full[node_id] = self._reactor.seconds()

        await self._ask_in_turn(
            self._order(stores.everyone, turn_id),
            ask,
            "recall",
            ends_at,
            lambda: read.whole_at() or self._is_gone(read, stores),
        )
        if read.records:
            await self._fill(read, stores, ends_at)
        return read

    async def _ask_in_turn(self, node_ids, ask, kind, ends_at, is_enough):
        """Asks these stores, each when the one before has failed, is late, or its answer is not enough. Returns once
        it is enough, all have answered, or the time is over; late answers are left to finish. What is late is
        measured by what is usual, so that busy stores are not asked more than quick ones."""
        waiting, answered = {}, None
        order = [node_id for node_id in node_ids if not self.calls.is_held(node_id)]
        hedge = max(HEDGES[kind], LATE_FACTOR * self._usual.get(kind, 0.0))

        async def ask_one(node_id):
            try:
                await ask(node_id, min(STORE_CALL_TIME, ends_at - self._reactor.seconds()))
                self._slow.pop(node_id, None)
                took = self._reactor.seconds() - waiting[node_id]
                self._usual[kind] = took + 0.9 * (self._usual.get(kind, took) - took)
            except CallHeldBackError:
                pass
            except OakrampError as error:
                self._slow[node_id] = self._reactor.seconds() + STORE_CALL_TIME
                self._adopt(error)
            del waiting[node_id]
            if not answered.called:
                answered.callback(None)

        while not is_enough() and (order or waiting) and self._reactor.seconds() < ends_at:
            answered = defer.Deferred()
            if order:
                waiting[order[0]] = self._reactor.seconds()
                spawn(ask_one(order.pop(0)), self._node.log)
            until = min(ends_at, self._reactor.seconds() + hedge) if order else ends_at
            timer = self._reactor.callLater(
                max(0.0, until - self._reactor.seconds()), self._late, answered, waiting, hedge
            )
            await answered
            if timer.active():
                timer.cancel()

    def _late(self, answered, waiting, hedge):
        now = self._reactor.seconds()
        for node_id, asked_at in waiting.items():
            if now - asked_at >= hedge:
                self._slow[node_id] = now + STORE_CALL_TIME
        if not answered.called:
            answered.callback(None)

    def _adopt(self, error):
        """A store that stands in a later version of the set tells it along with its no."""
        record = (
            error.detail.get("set") if isinstance(error, StaleEpochError) and isinstance(error.detail, dict) else None
        )
        if record is not None and record["version"] > self._stores.epoch:
            self._node.state_table.set_items(STORES_KEY, record["version"], {"set": pack_json(record)})

    async def _fill(self, read, stores, ends_at):
        """Takes what a chain still lacks from whichever store has it, page by page."""
        for node_id in self._order(stores.everyone, read.turn_id, read.whole_at()):
            while (missing := read.chain()[1]) is not None and missing != read.turn_id:
                time_left = min(STORE_CALL_TIME, ends_at - self._reactor.seconds())
                if time_left <= 0:
                    return
                try:
                    state = await self.calls.call(
                        node_id, stores.everyone[node_id]["peer"], "turnRecall", time_left, turn_id=missing, bodies=True
                    )
                except OakrampError:
                    break
                if not state.records:
                    break
                read.records.update((read_header(packed).turn_id, packed) for packed in state.records)

    # --- writing ---

    async def retain(self, session, record, recalled, time_left, keep_s):
        """Returns once a write quorum has the turn with its chain on disk. A try whose outcome is not known is made
        again elsewhere: at worst that leaves two siblings with the same turn, which the next write supersedes."""
        key = line_key_of(session)
        is_same = recalled is not None and recalled.line_key == key
        turns = recalled.turns if is_same else {}
        if len(turns) >= CONVERSATION_TURNS:
            raise ConflictError(f"a line holds at most {CONVERSATION_TURNS} turns")
        value = pack_turns(turns | {record.turn_id: record.parent})
        packed = pack_record(record.turn_id, record.parent, key, keep_s + RETAIN_MARGIN, record.input, record.output)
        context = recalled.context if is_same else ""
        ends_at, answers, errors, asked = self._reactor.seconds() + time_left, [], [], 0
        while self._reactor.seconds() < ends_at:
            stores = await self._known_stores(ends_at)

            async def ask(node_id, call_time):
                nonlocal asked
                asked += 1
                try:
                    answers.append(
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
                        self._full[node_id] = self._reactor.seconds()
                    raise

            await self._ask_in_turn(self._order(stores.readers, key), ask, "retain", ends_at, lambda: answers)
            if answers:
                return answers[0]
            if self.is_full:
                break  # no store will have room before the caller's time is over
            await sleep(self._reactor, RETRY_PAUSE)
        is_no = asked == len([error for error in errors if error.verdict is Verdict.NO])
        raise OutcomeUnknownError(
            "no quorum of stores said that it keeps the turn", Verdict.NO if is_no else Verdict.MAYBE
        )
