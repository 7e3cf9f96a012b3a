"""The lines that one store keeps: clocks and values, on its disk.

The paper's replica node: `S_r` is the set of clocks of a line's row, and every change of it is a sync.
A row's events are numbered under a clock id of its own, minted when the row is made. A store that has let
a line go is, for that line, like a node that lost its disk: when it meets the line again it comes as a
new id, and no number is ever used twice.
"""

import json
import zlib
from collections import Counter
from dataclasses import dataclass
from hashlib import blake2b
from itertools import islice

from sortedcontainers import SortedDict, SortedList

from oakramp.common.bounded_queue import SerialExecutor
from oakramp.common.constants import (
    CLEANUP_BUCKETS,
    CLEANUP_KEYS,
    CONVERSATION_KEPT,
    CONVERSATION_KEPT_FULL,
    STORE_EARLY_EVICTION_SHARE,
    STORE_FULL,
    STORE_QUEUE_LIMIT,
    STORE_TABLES,
)
from oakramp.common.errors import StorageError
from oakramp.common.validation import pack_json
from oakramp.membership.rendezvous_hashing import shard_of
from oakramp.rpc.codec import idl, pack, unpack
from oakramp.store.records import RECORD_ROW, RecordTable
from oakramp.version_vectors.causal_context import clock_to_row
from oakramp.version_vectors.version_vector import VersionVector, sync_versions, update

ROW = "l/"
SUM_SPAN = 1 << 62
TURN_LINE = "~"  # before the key of a line whose versions are sets of turn ids, with the records beside them
BIRTHS = "births"


@dataclass
class ConversationRow:
    """Invariants: `versions` (clock -> value) is on the disk, holds no clock below another, and its clocks
    together form a downset; `clockId` has numbered events of this row and of no other, ever."""

    clock_id: str
    versions: dict
    touched_at: float

    def digest(self):
        """A digest of the version vectors, equal on stores that have the same versions."""
        rows = sorted(clock_to_row(clock) for clock in self.versions)
        return blake2b(pack_json(rows), digest_size=12).hexdigest()


def to_state(versions, covers=False, store_epoch=0, age=0.0, full=False):
    """The message that carries these versions; `age` is in seconds since the conversation last changed."""
    return idl.LineState(
        covers=covers,
        full=full,
        store_epoch=store_epoch,
        age_ms=int(age * 1000),
        versions=[
            idl.Version(
                value=value,
                clock=[
                    idl.ClockEntry(node_id=node_id, ceiling=m, dot=n or 0) for node_id, (m, n) in clock.entries.items()
                ],
            )
            for clock, value in versions.items()
        ],
    )


def from_state(state):
    """The versions of a message: value by version vector."""
    return {
        VersionVector(
            {part.node_id: (part.ceiling, part.dot) if part.dot else part.ceiling for part in version.clock}
        ): version.value
        for version in state.versions or []
    }


def pack_turns(turns):
    """The value of a version of a line of turns: the id of each turn with its parent's."""
    return pack_json(turns)


def turns_in(versions):
    """The union over all siblings: a turn's id stands for one turn with one parent."""
    return {turn_id: parent for value in versions.values() for turn_id, parent in json.loads(value).items()}


def bucket_of(key):
    return zlib.crc32(key.encode()) % CLEANUP_BUCKETS


def store_of(clock_id):
    """The store that numbers events under this clock id."""
    return clock_id.partition("#")[0]


def dots_of(versions):
    return [store_of(clock.dot()[0]) for clock in versions]


class ConversationTable:
    """`pruned` holds ids of retired stores that number no version any more; their entries are dropped from every
    clock that comes in, and from every row.

    Invariants: `rows` is in the order of its keys, `_touches` holds (touchedAt, key) of each row in order, and
    `_dots` counts the versions that each store numbers. So a page of keys, the oldest lines and the ids in use are
    found without a walk over all rows. `_lineOf` names for each turn of a row the row's key, but for turns whose
    record was dropped here since their time was over; `_lacking` names those of them without a record here, each with
    the members that were asked for it in vain.

    The digests of rows lie in `_buckets`, each in the order of keys, and `_sums` holds the sum of each bucket's; both
    are brought up to date for the keys in `_stale` before they are read."""

    def __init__(self, node, ring):
        self.pruned = frozenset()
        self._reactor, self._node_id, self._ring = node.reactor, node.node_id, ring
        self.rows = SortedDict()
        self._touches, self._dots = SortedList(), Counter()
        self.records = RecordTable(node.reactor, ring)
        self._line_of, self._lacking = {}, {}
        self._emptied_lines = {}  # lines that may have no record left, in the order in which they lost the last one
        self._buckets = [SortedDict() for _ in range(CLEANUP_BUCKETS)]
        self._sums, self._stale = [0] * CLEANUP_BUCKETS, set()
        self._births = int(ring.table.get(BIRTHS, b"0"))
        self._owners = [SerialExecutor(STORE_QUEUE_LIMIT, f"lines{index}", node.log) for index in range(STORE_TABLES)]
        for name, data in ring.table.items(ROW):
            clock_id, _, state = data.partition(b"\0")
            self._enter(
                name[len(ROW) :],
                ConversationRow(clock_id.decode(), from_state(unpack(idl.LineState, state)), self._reactor.seconds()),
            )
            self._index(name[len(ROW) :], self.rows[name[len(ROW) :]].versions)

    def _index(self, key, versions):
        if key.startswith(TURN_LINE):
            kept = [turn_id for turn_id in turns_in(versions) if not self.records.was_dropped(turn_id)]
            self._line_of.update(dict.fromkeys(kept, key))
            for turn_id in kept:
                if turn_id not in self.records:
                    self._lacking.setdefault(turn_id, set())

    def _unindex(self, key, versions):
        if key.startswith(TURN_LINE):
            for turn_id in [turn_id for turn_id in turns_in(versions) if self._line_of.get(turn_id) == key]:
                del self._line_of[turn_id]
                self._lacking.pop(turn_id, None)

    def _enter(self, key, row):
        self.rows[key] = row
        self._stale.add(key)
        self._touches.add((row.touched_at, key))
        self._dots.update(dots_of(row.versions))

    def _leave(self, key):
        row = self.rows.pop(key, None)
        if row is not None:
            self._stale.add(key)
            self._touches.remove((row.touched_at, key))
            self._dots.subtract(dots_of(row.versions))

    def stop(self):
        """Ends the commands under way."""
        for owner in self._owners:
            owner.stop()

    def _do(self, command, key, *arguments):
        return self._owners[shard_of(key, STORE_TABLES)].do(command, key, *arguments)

    def _strip(self, clock):
        if not any(store_of(clock_id) in self.pruned for clock_id in clock.entries):
            return clock
        return VersionVector(
            {
                clock_id: m if n is None else (m, n)
                for clock_id, (m, n) in clock.entries.items()
                if n is not None or store_of(clock_id) not in self.pruned
            }
        )

    def prune(self, store_ids):
        """From now on these ids tell nothing. Rows on the disk are stripped when they are next written; until
        then each start strips them again."""
        if store_ids <= self.pruned:
            return
        self.pruned |= store_ids
        # A walk over all rows, once for each store that was replaced.
        self._stale.update(self.rows)
        for row in self.rows.values():
            stripped = {self._strip(clock): value for clock, value in row.versions.items()}
            self._dots.subtract(dots_of(row.versions))
            row.versions = sync_versions(stripped, stripped)
            self._dots.update(dots_of(row.versions))

    def dots(self):
        return sorted(store_id for store_id, count in self._dots.items() if count)

    # --- commands ---

    def put(self, key, context_set, value, records=()):
        """The paper's put at the coordinator: update, then sync, then the disk. Gives the result of the sync
        and the new clock. `records` are (packed, seconds to keep) pairs that go to the disk with it."""
        return self._do(self._put, key, context_set, value, records)

    async def _put(self, key, context_set, value, records):
        row, extra = self._row_for(key)
        context_set = frozenset(map(self._strip, context_set))
        clock = update(context_set, row.versions.keys(), row.clock_id)
        await self._keep(key, row, sync_versions(row.versions, {clock: value}), extra, 0.0, records)
        return dict(row.versions), clock

    def merge(self, key, versions, age, records=()):
        """The receiving side of replication, hand-over and anti-entropy: a sync with what is here."""
        return self._do(self._merge, key, versions, age, records)

    async def _merge(self, key, versions, age, records):
        if age >= self.kept_for() and not key.startswith(TURN_LINE):
            return
        if key not in self.rows and not versions:
            await self.keep_records(records)
            return
        if key in self.rows and versions.keys() <= self.rows[key].versions.keys():
            await self.keep_records(records)
            return
        row, extra = self._row_for(key)
        merged = sync_versions(row.versions, {self._strip(clock): value for clock, value in versions.items()})
        if merged.keys() != row.versions.keys():
            await self._keep(key, row, merged, extra, age, records)
            return
        await self.keep_records(records)

    async def keep_records(self, records):
        """Records alone, as ancestors from other lines are; of what is here already, only the time is new."""
        entries = self.records.entries(packed for packed, _ in records)
        if entries:
            await self._commit_records(entries)
        self._enter_records(records)

    async def _commit_records(self, record_entries, others=()):
        """Has these entries of records, or their removals, on the disk, and the other entries with them."""
        turn_ids = [key[len(RECORD_ROW) :] for key, _ in record_entries]
        claimed = self.records.claim_leftovers(turn_ids)
        try:
            await self._ring.commit([*others, *record_entries])
        except StorageError:
            self.records.note_leftovers(claimed)
            raise

    def _enter_records(self, records):
        for packed, left in records:
            self._lacking.pop(self.records.enter(packed, left), None)

    async def drop_records(self):
        """Lets records go whose time is over, and lines that have none left; and what the log did not let go before."""
        ended, lines = self.records.take_ended()
        self._emptied_lines.update(dict.fromkeys(lines))
        for turn_id in ended:
            self._line_of.pop(turn_id, None)
        removed = self.records.leftovers()
        if removed:
            await self._commit_records([(RECORD_ROW + turn_id, None) for turn_id in removed])
        for key in list(self._emptied_lines):
            await self._do(self._drop_line, key)
            self._emptied_lines.pop(key, None)

    async def _drop_line(self, key):
        if key in self.rows and not self.records.on_line(key):
            await self._remove(key)

    async def _remove(self, key):
        await self._ring.commit([(ROW + key, None)])
        self._unindex(key, self.rows[key].versions)
        self._leave(key)

    def let_go(self, key):
        return self._do(self._let_go, key)

    async def _let_go(self, key):
        row = self.rows.get(key)
        if row is None or self._reactor.seconds() - row.touched_at < self.kept_for():
            return
        if self.records.on_line(key):
            self._leave(key)
            row.touched_at = self._reactor.seconds()  # it goes with the last of its records
            self._enter(key, row)
            return
        await self._remove(key)

    def _row_for(self, key):
        if key in self.rows:
            return self.rows[key], []
        self._births += 1
        # The count is on the disk in the same commit that first uses the id.
        return ConversationRow(f"{self._node_id}#{self._births}", {}, 0.0), [(BIRTHS, b"%d" % self._births)]

    async def _keep(self, key, row, versions, extra, age, records=()):
        data = row.clock_id.encode() + b"\0" + pack(to_state(versions))
        record_entries = self.records.entries(packed for packed, _ in records)
        await self._commit_records(record_entries, [*extra, (ROW + key, data)])
        self._leave(key)
        self._index(key, {clock: value for clock, value in versions.items() if clock not in row.versions})
        row.versions = versions
        row.touched_at = max(row.touched_at, self._reactor.seconds() - age)
        self._enter(key, row)
        self._enter_records(records)

    # --- reading ---

    def versions(self, key):
        return self.rows[key].versions if key in self.rows else {}

    def age(self, key):
        return self._reactor.seconds() - self.rows[key].touched_at if key in self.rows else 0.0

    def _freshen(self):
        for key in self._stale:
            number = bucket_of(key)
            previous = self._buckets[number].pop(key, None)
            self._sums[number] -= int(previous, 16) if previous else 0
            if key in self.rows:
                digest = self._buckets[number][key] = self.rows[key].digest()
                self._sums[number] += int(digest, 16)
        self._stale.clear()

    def sums(self):
        """Of the digests of each bucket's lines, as numbers that fit 64 bits."""
        self._freshen()
        return [total % SUM_SPAN for total in self._sums]

    def differing(self, sums):
        return [number for number, (ours, theirs) in enumerate(zip(self.sums(), sums)) if ours != theirs]

    def digests_after(self, buckets, after, most):
        """(key, digest) pairs of these buckets in order, from the first one's key `after` on; a page of them."""
        self._freshen()
        page = []
        for place, number in enumerate(buckets):
            bucket = self._buckets[number]
            keys = bucket.irange(after, inclusive=(False, False)) if place == 0 else bucket.keys()
            page += [(key, bucket[key]) for key in islice(keys, most - len(page))]
            if len(page) == most:
                break
        return page

    def digest_of(self, key):
        """The digest of a conversation here, or None."""
        self._freshen()
        return self._buckets[bucket_of(key)].get(key)

    def lacking_of(self, node_id, most):
        """Turns of lines here whose records are not here, and for which this member was not asked yet."""
        return list(islice((turn_id for turn_id, asked in self._lacking.items() if node_id not in asked), most))

    def is_lacking(self, node_ids):
        """Whether something is lacking for which one of these members was not asked yet."""
        return any(node_ids - asked for asked in self._lacking.values())

    def note_absent(self, node_id, turn_ids, others):
        """The member keeps none of these; what none of the others keeps was let go by all."""
        for turn_id in turn_ids:
            asked = self._lacking.get(turn_id)
            if asked is None:
                continue
            asked.add(node_id)
            if others <= asked:
                del self._lacking[turn_id]
                self._line_of.pop(turn_id, None)
                self.records.note_dropped(turn_id)

    def line_of(self, turn_id):
        """The key of the line that this turn is on, as far as this store knows."""
        return self.records.line_of(turn_id) or self._line_of.get(turn_id)

    def keys_after(self, after, most):
        return list(islice(self.rows.irange(after, inclusive=(False, False)), most))

    def kept_for(self):
        """Seconds; less when the ring fills up, but always well over the rule's minute."""
        return (
            CONVERSATION_KEPT
            if self._ring.live_bytes() < STORE_EARLY_EVICTION_SHARE * self._ring.capacity()
            else CONVERSATION_KEPT_FULL
        )

    def is_full(self):
        return self._ring.live_bytes() > STORE_FULL * self._ring.capacity()

    def old(self):
        """The lines past their time, the oldest first; a page of them."""
        until = self._reactor.seconds() - self.kept_for()
        return [key for touched_at, key in islice(self._touches, CLEANUP_KEYS) if touched_at <= until]
