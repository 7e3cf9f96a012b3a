"""The conversations that one store keeps on its disk: version vectors and values.

It is the replica node of the paper on version vectors: `S_r` is the set of clocks of a conversation's row, and every
change of it is a sync. A row's events are numbered under a clock id of its own, created with the row. For a
conversation that it has dropped, a store is like a node that lost its disk: when it receives the conversation again,
it uses a new clock id, so that no event number is ever used twice.
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
TURN_LINE = "~"  # key prefix of conversations whose versions are sets of turn ids; records are stored separately
ROWS_CREATED = "births"


@dataclass
class ConversationRow:
    """Invariants: `versions` (clock -> value) is on disk, holds no clock that is below another one, and its clocks
    together form a downset; `clock_id` has never numbered events of any other row."""

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
    """The value of a version of a conversation: maps the id of each turn to its parent's."""
    return pack_json(turns)


def turns_in(versions):
    """The union over all siblings; a turn id always denotes the same turn with the same parent."""
    return {turn_id: parent for value in versions.values() for turn_id, parent in json.loads(value).items()}


def bucket_of(key):
    return zlib.crc32(key.encode()) % CLEANUP_BUCKETS


def store_of(clock_id):
    """The id of the store that numbers events under this clock id."""
    return clock_id.partition("#")[0]


def dots_of(versions):
    return [store_of(clock.dot()[0]) for clock in versions]


class ConversationTable:
    """`pruned` holds ids of retired stores that number no version any more; their entries are dropped from every
    clock received, and from every row.

    Invariants: `rows` is sorted by key, `_rows_by_age` holds (touched_at, key) of each row in order, and `_dots` counts
    the versions that each store numbers; a page of keys, the oldest conversations and the ids in use are thereby found
    without a scan of all rows. `_key_by_turn` maps each turn of a row to the row's key, except turns whose record was
    dropped here because its retention had ended; `_missing_records` maps those of these turns without a record here to
    the members that were asked for it and did not have it.

    The digests of rows are in `_buckets`, each sorted by key, and `_sums` holds the sum of each bucket's digests; both
    are brought up to date for the keys in `_stale` before they are read."""

    def __init__(self, node, ring):
        self.pruned = frozenset()
        self._reactor, self._node_id, self._ring = node.reactor, node.node_id, ring
        self.rows = SortedDict()
        self._rows_by_age, self._dots = SortedList(), Counter()
        self.records = RecordTable(node.reactor, ring)
        self._key_by_turn, self._missing_records = {}, {}
        # Conversations that may have no record left, ordered by when they lost the last one.
        self._emptied_conversations = {}
        self._buckets = [SortedDict() for _ in range(CLEANUP_BUCKETS)]
        self._sums, self._stale = [0] * CLEANUP_BUCKETS, set()
        self._rows_created = int(ring.table.get(ROWS_CREATED, b"0"))
        self._executors = [
            SerialExecutor(STORE_QUEUE_LIMIT, f"lines{index}", node.log) for index in range(STORE_TABLES)
        ]
        for name, data in ring.table.items(ROW):
            clock_id, _, state = data.partition(b"\0")
            self._insert_row(
                name[len(ROW) :],
                ConversationRow(clock_id.decode(), from_state(unpack(idl.LineState, state)), self._reactor.seconds()),
            )
            self._index(name[len(ROW) :], self.rows[name[len(ROW) :]].versions)

    def _index(self, key, versions):
        if key.startswith(TURN_LINE):
            kept = [turn_id for turn_id in turns_in(versions) if not self.records.was_dropped(turn_id)]
            self._key_by_turn.update(dict.fromkeys(kept, key))
            for turn_id in kept:
                if turn_id not in self.records:
                    self._missing_records.setdefault(turn_id, set())

    def _unindex(self, key, versions):
        if key.startswith(TURN_LINE):
            for turn_id in [turn_id for turn_id in turns_in(versions) if self._key_by_turn.get(turn_id) == key]:
                del self._key_by_turn[turn_id]
                self._missing_records.pop(turn_id, None)

    def _insert_row(self, key, row):
        self.rows[key] = row
        self._stale.add(key)
        self._rows_by_age.add((row.touched_at, key))
        self._dots.update(dots_of(row.versions))

    def _remove_row(self, key):
        row = self.rows.pop(key, None)
        if row is not None:
            self._stale.add(key)
            self._rows_by_age.remove((row.touched_at, key))
            self._dots.subtract(dots_of(row.versions))

    def stop(self):
        """Ends the commands in flight."""
        for executor in self._executors:
            executor.stop()

    def _execute(self, command, key, *arguments):
        return self._executors[shard_of(key, STORE_TABLES)].do(command, key, *arguments)

    def _strip_pruned(self, clock):
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
        """Drops the entries of these ids from all clocks from now on. Rows on disk are stripped when they are next
        written; until then each start strips them again."""
        if store_ids <= self.pruned:
            return
        self.pruned |= store_ids
        # Scans all rows, once for each store that was replaced.
        self._stale.update(self.rows)
        for row in self.rows.values():
            stripped = {self._strip_pruned(clock): value for clock, value in row.versions.items()}
            self._dots.subtract(dots_of(row.versions))
            row.versions = sync_versions(stripped, stripped)
            self._dots.update(dots_of(row.versions))

    def dots(self):
        return sorted(store_id for store_id, count in self._dots.items() if count)

    # --- commands ---

    def put(self, key, context_set, value, records=()):
        """The coordinator's `put` of the paper: update, then sync, then the write to disk. Returns the result of the
        sync and the new clock. `records` are (packed, seconds to keep) pairs written to disk in the same commit."""
        return self._execute(self._put, key, context_set, value, records)

    async def _put(self, key, context_set, value, records):
        row, id_entries = self._row_for(key)
        context_set = frozenset(map(self._strip_pruned, context_set))
        clock = update(context_set, row.versions.keys(), row.clock_id)
        await self._keep(key, row, sync_versions(row.versions, {clock: value}), id_entries, 0.0, records)
        return dict(row.versions), clock

    def merge(self, key, versions, age, records=()):
        """The receiving side of replication, hinted handoff and anti-entropy: a sync with the local versions."""
        return self._execute(self._merge, key, versions, age, records)

    async def _merge(self, key, versions, age, records):
        if age >= self.retention_s() and not key.startswith(TURN_LINE):
            return
        if key not in self.rows and not versions:
            await self.keep_records(records)
            return
        if key in self.rows and versions.keys() <= self.rows[key].versions.keys():
            await self.keep_records(records)
            return
        row, id_entries = self._row_for(key)
        merged = sync_versions(row.versions, {self._strip_pruned(clock): value for clock, value in versions.items()})
        if merged.keys() != row.versions.keys():
            await self._keep(key, row, merged, id_entries, age, records)
            return
        await self.keep_records(records)

    async def keep_records(self, records):
        """Stores records without versions, such as ancestors from other conversations. For a record that is here
        already, only its retention is updated."""
        entries = self.records.entries(packed for packed, _ in records)
        if entries:
            await self._commit_records(entries)
        self._insert_records(records)

    async def _commit_records(self, record_entries, others=()):
        """Commits these entries of records, or their removals, to disk together with the other entries."""
        turn_ids = [key[len(RECORD_ROW) :] for key, _ in record_entries]
        claimed = self.records.claim_removals(turn_ids)
        try:
            await self._ring.commit([*others, *record_entries])
        except StorageError:
            self.records.add_removals(claimed)
            raise

    def _insert_records(self, records):
        for packed, seconds_left in records:
            self._missing_records.pop(self.records.insert(packed, seconds_left), None)

    async def drop_records(self):
        """Drops records whose retention has ended and conversations that have none left, and retries removals that the
        log has not taken yet."""
        expired, emptied = self.records.take_expired()
        self._emptied_conversations.update(dict.fromkeys(emptied))
        for turn_id in expired:
            self._key_by_turn.pop(turn_id, None)
        removed = self.records.pending_removals()
        if removed:
            await self._commit_records([(RECORD_ROW + turn_id, None) for turn_id in removed])
        for key in list(self._emptied_conversations):
            await self._execute(self._drop_if_empty, key)
            self._emptied_conversations.pop(key, None)

    async def _drop_if_empty(self, key):
        if key in self.rows and not self.records.turn_ids_of(key):
            await self._remove_conversation(key)

    async def _remove_conversation(self, key):
        await self._ring.commit([(ROW + key, None)])
        self._unindex(key, self.rows[key].versions)
        self._remove_row(key)

    def drop_expired(self, key):
        return self._execute(self._drop_expired, key)

    async def _drop_expired(self, key):
        row = self.rows.get(key)
        if row is None or self._reactor.seconds() - row.touched_at < self.retention_s():
            return
        if self.records.turn_ids_of(key):
            self._remove_row(key)
            row.touched_at = self._reactor.seconds()  # it is dropped with the last of its records
            self._insert_row(key, row)
            return
        await self._remove_conversation(key)

    def _row_for(self, key):
        if key in self.rows:
            return self.rows[key], []
        self._rows_created += 1
        # The counter is written to disk in the same commit that first uses the id.
        return ConversationRow(f"{self._node_id}#{self._rows_created}", {}, 0.0), [
            (ROWS_CREATED, b"%d" % self._rows_created)
        ]

    async def _keep(self, key, row, versions, id_entries, age, records=()):
        data = row.clock_id.encode() + b"\0" + pack(to_state(versions))
        record_entries = self.records.entries(packed for packed, _ in records)
        await self._commit_records(record_entries, [*id_entries, (ROW + key, data)])
        self._remove_row(key)
        self._index(key, {clock: value for clock, value in versions.items() if clock not in row.versions})
        row.versions = versions
        row.touched_at = max(row.touched_at, self._reactor.seconds() - age)
        self._insert_row(key, row)
        self._insert_records(records)

    # --- reading ---

    def versions(self, key):
        return self.rows[key].versions if key in self.rows else {}

    def age(self, key):
        return self._reactor.seconds() - self.rows[key].touched_at if key in self.rows else 0.0

    def _refresh_digests(self):
        for key in self._stale:
            number = bucket_of(key)
            previous = self._buckets[number].pop(key, None)
            self._sums[number] -= int(previous, 16) if previous else 0
            if key in self.rows:
                digest = self._buckets[number][key] = self.rows[key].digest()
                self._sums[number] += int(digest, 16)
        self._stale.clear()

    def bucket_sums(self):
        """The sum of the digests in each bucket, reduced to fit 64 bits."""
        self._refresh_digests()
        return [total % SUM_SPAN for total in self._sums]

    def differing(self, bucket_sums):
        return [number for number, (ours, theirs) in enumerate(zip(self.bucket_sums(), bucket_sums)) if ours != theirs]

    def digests_after(self, buckets, after, limit):
        """A page of (key, digest) pairs of these buckets in order, beginning after the key `after` in the first one."""
        self._refresh_digests()
        page = []
        for index, number in enumerate(buckets):
            bucket = self._buckets[number]
            keys = bucket.irange(after, inclusive=(False, False)) if index == 0 else bucket.keys()
            page += [(key, bucket[key]) for key in islice(keys, limit - len(page))]
            if len(page) == limit:
                break
        return page

    def digest_of(self, key):
        """The digest of a conversation here, or None."""
        self._refresh_digests()
        return self._buckets[bucket_of(key)].get(key)

    def missing_records_for(self, node_id, limit):
        """Turns of local conversations without a record here, for which this member has not been asked yet."""
        return list(
            islice((turn_id for turn_id, asked in self._missing_records.items() if node_id not in asked), limit)
        )

    def has_missing_records(self, node_ids):
        """Whether a record is missing for which one of these members has not been asked yet."""
        return any(node_ids - asked for asked in self._missing_records.values())

    def note_absent(self, node_id, turn_ids, others):
        """Notes that the member has none of these records; one that none of the others has was dropped by all."""
        for turn_id in turn_ids:
            asked = self._missing_records.get(turn_id)
            if asked is None:
                continue
            asked.add(node_id)
            if others <= asked:
                del self._missing_records[turn_id]
                self._key_by_turn.pop(turn_id, None)
                self.records.mark_dropped(turn_id)

    def key_of_turn(self, turn_id):
        """The key of the conversation that this turn belongs to, as far as this store knows."""
        return self.records.key_of_turn(turn_id) or self._key_by_turn.get(turn_id)

    def keys_after(self, after, limit):
        return list(islice(self.rows.irange(after, inclusive=(False, False)), limit))

    def retention_s(self):
        """Seconds for which a conversation is retained; shorter when the disk fills up, but always well over the
        required minute."""
        return (
            CONVERSATION_KEPT
            if self._ring.live_bytes() < STORE_EARLY_EVICTION_SHARE * self._ring.capacity()
            else CONVERSATION_KEPT_FULL
        )

    def is_full(self):
        return self._ring.live_bytes() > STORE_FULL * self._ring.capacity()

    def expired_keys(self):
        """A page of the conversations whose retention has ended, the oldest first."""
        cutoff = self._reactor.seconds() - self.retention_s()
        return [key for touched_at, key in islice(self._rows_by_age, CLEANUP_KEYS) if touched_at <= cutoff]
