"""The gate's side of retained turns: a turn is found by its id alone, its chain may run through several lines.

As the paper's client, it reads a line, keeps the read's context and writes with it. A version's value is the set of
the line's turns; siblings merge by union, so none is dropped. The records themselves never change, and travel once.
"""
from oakbase.constants import CALL_TIME, LINE_TURNS, RECALL_HEDGE, RETAIN_MARGIN, STORE_CALL_TIME
from oakbase.tasks import sleep, spawn
from oakbase.verdict import CannotTell, Conflict, Fenced, Gone, NoAnswer, OakError, TimeSpent, Verdict
from oakcohort.members import LIVE
from oakcohort.rendezvous import ranked
from oakcontrol.storeset import StoreSet, majority
from oakdvv.clock import syncVersions
from oakdvv.context import toContext
from oakstore.records import pack_record, read_bodies, read_header
from oakstore.table import TURN_LINE, fromState, packTurns, turnsIn
from twisted.internet import defer

RETRY_PAUSE = 0.05  # s; between rounds over the stores while one of them changes condition


class Record:
    """One retained turn: its id, its parent's or None, its line, and what went in and came out."""

    __slots__ = ("turn_id", "parent", "session", "input", "output")

    def __init__(self, turn_id, parent, session, input, output):
        self.turn_id, self.parent, self.session, self.input, self.output = turn_id, parent, session, input, output

    def __eq__(self, other):
        return isinstance(other, Record) and all(
            getattr(self, name) == getattr(other, name) for name in self.__slots__)

    def __repr__(self):
        return f"Record({self.turn_id!r}, {self.parent!r}, {self.session!r}, {len(self.input)} B, {len(self.output)} B)"


class Recalled:
    """What was read of a turn. Invariants: `chain` is whole, the oldest first; `turns` (id -> parent) is the union
    over all siblings that `context` stands for, of the line `line_key`."""

    def __init__(self, chain, line_key, versions):
        self.chain, self.line_key = chain, line_key
        self.context = toContext(frozenset(versions))
        self.turns = turnsIn(versions)

    @property
    def turn_ids(self):
        return frozenset(self.turns)


def line_key_of(session):
    return TURN_LINE + session


def _unpack(packed):
    header = read_header(packed)
    return Record(header.turn_id, header.parent, header.line_key[len(TURN_LINE):], *read_bodies(packed, header))


class _Read:
    """The answers to one read of one turn. `records` maps ids to packed records that any store gave."""

    def __init__(self, turn_id):
        self.turn_id = turn_id
        self.states, self.records = {}, {}

    def note(self, node_id, state):
        self.states[node_id] = state
        for packed in state.records or []:
            self.records[read_header(packed).turn_id] = packed

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
    """`_slow` maps stores that let a hedge pass to the time until which they are asked last."""

    def __init__(self, node):
        self._node, self._reactor = node, node.reactor
        self._slow = {}

    def _stores(self):
        stores = StoreSet.fromBoard(self._node.board)
        if not stores.epoch:
            raise CannotTell("the store set is not known here yet", retryAfter=1)
        return stores

    def _order(self, rows, key, first=None):
        """Whom to ask first: the live ones, of those the quick, of those the ones in our own zone."""
        now = self._reactor.seconds()

        def place(node_id):
            member = self._node.members.find(node_id)
            return (self._node.members.condition(node_id) != LIVE, self._slow.get(node_id, 0.0) > now, node_id != first,
                    member is None or member.zone != self._node.env["zone"])
        return sorted(ranked(rows, key), key=place)

    # --- reading ---

    async def recall(self, turn_id, time_left):
        """The turn's whole chain. Gone only if a covering quorum of stores knows nothing of the turn; CannotTell if
        that is not sure, or if parts of the chain cannot be had."""
        ends_at = self._reactor.seconds() + time_left
        while True:
            stores = self._stores()
            read = await self._read(stores, turn_id, ends_at)
            chain, missing = read.chain()
            if missing is None:
                return self._recalled(read, chain)
            if self._is_gone(read, stores):
                raise Gone(f"turn {turn_id} is not kept")
            if self._reactor.seconds() + RETRY_PAUSE >= ends_at:
                raise CannotTell(f"too few stores answered to say what is kept of turn {turn_id}", retryAfter=1)
            await sleep(self._reactor, RETRY_PAUSE)

    def _recalled(self, read, chain):
        versions, line_key = {}, read_header(chain[0]).line_key
        for state in read.states.values():
            if state.lineKey == line_key:
                versions = syncVersions(versions, fromState(state.line))
        return Recalled([_unpack(packed) for packed in reversed(chain)], line_key, versions)

    def _is_gone(self, read, stores):
        sure = [node_id for node_id, state in read.states.items()
                if node_id in stores.readers and state.line.covers and state.line.storeEpoch == stores.epoch]
        return len(sure) >= majority(stores.readers) and not read.records and not any(
            state.known for state in read.states.values())

    async def _read(self, stores, turn_id, ends_at):
        """Asks the first store for the records, and the next one whenever an answer is not enough or is late. All
        that it takes is one store that has the whole chain: records do not change."""
        read = _Read(turn_id)
        waiting, order = {}, self._order(stores.everyone, turn_id)
        done = defer.Deferred()

        async def ask(node_id, first_id):
            try:
                read.note(node_id, await self._node.net.call(
                    stores.everyone[node_id]["peer"], "turnRecall",
                    min(STORE_CALL_TIME, ends_at - self._reactor.seconds()), turnId=first_id, bodies=True))
                self._slow.pop(node_id, None)
            except OakError as error:
                self._node.log.event("recallFailed", store=node_id, reason=error.reason)
            waiting.pop(node_id, None)
            if not done.called:
                done.callback(None)
        while self._reactor.seconds() < ends_at:
            done = defer.Deferred()
            missing = read.chain()[1]
            if missing is None or self._is_gone(read, stores):
                break
            if order:
                node_id = order.pop(0)
                waiting[node_id] = self._reactor.seconds()
                spawn(ask(node_id, turn_id), self._node.log)
            elif not waiting:
                await self._fill(read, stores, ends_at)
                break
            if not done.called:
                await self._hedged(done, RECALL_HEDGE if order else ends_at - self._reactor.seconds())
            for node_id, asked_at in waiting.items():
                if self._reactor.seconds() - asked_at >= RECALL_HEDGE:
                    self._slow[node_id] = self._reactor.seconds() + STORE_CALL_TIME
        return read

    async def _hedged(self, done, seconds):
        timer = self._reactor.callLater(max(0.0, seconds), lambda: done.called or done.callback(None))
        await done
        if timer.active():
            timer.cancel()

    async def _fill(self, read, stores, ends_at):
        """Takes what a chain still lacks from whichever store has it, page by page."""
        for node_id in self._order(stores.everyone, read.turn_id):
            while (missing := read.chain()[1]) is not None and missing != read.turn_id:
                time_left = min(STORE_CALL_TIME, ends_at - self._reactor.seconds())
                if time_left <= 0:
                    return
                try:
                    state = await self._node.net.call(stores.everyone[node_id]["peer"], "turnRecall", time_left,
                                                      turnId=missing, bodies=True)
                except OakError:
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
        if len(turns) >= LINE_TURNS:
            raise Conflict(f"a line holds at most {LINE_TURNS} turns")
        value = packTurns(turns | {record.turn_id: record.parent})
        packed = pack_record(record.turn_id, record.parent, key, keep_s + RETAIN_MARGIN, record.input, record.output)
        context = recalled.context if is_same else ""
        ends_at, unsure = self._reactor.seconds() + time_left, False
        while self._reactor.seconds() < ends_at:
            stores = self._stores()
            for node_id in self._order(stores.readers, key):
                remaining = min(CALL_TIME, ends_at - self._reactor.seconds())
                if remaining <= 0:
                    break
                try:
                    return await self._node.net.call(
                        stores.readers[node_id]["peer"], "turnRetain", remaining, key=key, context=context,
                        value=value, storeEpoch=stores.epoch, record=packed)
                except OakError as error:
                    unsure = unsure or error.verdict is not Verdict.NO
                    self._node.log.event("retainFailed", store=node_id, reason=error.reason)
            await sleep(self._reactor, RETRY_PAUSE)
        raise NoAnswer("no quorum of stores said that it keeps the turn", Verdict.MAYBE if unsure else Verdict.NO)
