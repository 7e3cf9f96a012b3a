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

from oakbase.checks import packJson
from oakbase.constants import (
    FULL_SHARE,
    LINE_KEPT,
    LINE_KEPT_FULL,
    STORE_FULL,
    STORE_INBOX,
    STORE_OWNERS,
    SWEEP_BUCKETS,
    SWEEP_KEYS,
)
from oakbase.inbox import TableOwner
from oakcohort.rendezvous import slotOf
from oakdvv.clock import Clock, syncVersions, update
from oakdvv.context import clockToRow
from oakstore.records import RECORD_ROW, RecordTable
from oakwire.codec import idl, pack, unpack

ROW = "l/"
SUM_SPAN = 1 << 62
TURN_LINE = "~"  # before the key of a line whose versions are sets of turn ids, with the records beside them
BIRTHS = "births"


@dataclass
class LineRow:
    """Invariants: `versions` (clock -> value) is on the disk, holds no clock below another, and its clocks
    together form a downset; `clockId` has numbered events of this row and of no other, ever."""

    clockId: str
    versions: dict
    touchedAt: float

    def digest(self):
        rows = sorted(clockToRow(clock) for clock in self.versions)
        return blake2b(packJson(rows), digest_size=12).hexdigest()


def toState(versions, covers=False, storeEpoch=0, age=0.0, full=False):
    return idl.LineState(
        covers=covers,
        full=full,
        storeEpoch=storeEpoch,
        ageMs=int(age * 1000),
        versions=[
            idl.Version(
                value=value,
                clock=[idl.Part(nodeId=nodeId, ceiling=m, dot=n or 0) for nodeId, (m, n) in clock.entries.items()],
            )
            for clock, value in versions.items()
        ],
    )


def fromState(state):
    return {
        Clock(
            {part.nodeId: (part.ceiling, part.dot) if part.dot else part.ceiling for part in version.clock}
        ): version.value
        for version in state.versions or []
    }


def packTurns(turns):
    """The value of a version of a line of turns: the id of each turn with its parent's."""
    return packJson(turns)


def turnsIn(versions):
    """The union over all siblings: a turn's id stands for one turn with one parent."""
    return {turnId: parent for value in versions.values() for turnId, parent in json.loads(value).items()}


def bucketOf(key):
    return zlib.crc32(key.encode()) % SWEEP_BUCKETS


def storeOf(clockId):
    """The store that numbers events under this clock id."""
    return clockId.partition("#")[0]


def dotsOf(versions):
    return [storeOf(clock.dot()[0]) for clock in versions]


class LineTable:
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
        self._reactor, self._nodeId, self._ring = node.reactor, node.nodeId, ring
        self.rows = SortedDict()
        self._touches, self._dots = SortedList(), Counter()
        self.records = RecordTable(node.reactor, ring)
        self._lineOf, self._lacking = {}, {}
        self._buckets = [SortedDict() for _ in range(SWEEP_BUCKETS)]
        self._sums, self._stale = [0] * SWEEP_BUCKETS, set()
        self._births = int(ring.table.get(BIRTHS, b"0"))
        self._owners = [TableOwner(STORE_INBOX, f"lines{index}", node.log) for index in range(STORE_OWNERS)]
        for name, data in ring.table.items(ROW):
            clockId, _, state = data.partition(b"\0")
            self._enter(
                name[len(ROW) :],
                LineRow(clockId.decode(), fromState(unpack(idl.LineState, state)), self._reactor.seconds()),
            )
            self._index(name[len(ROW) :], self.rows[name[len(ROW) :]].versions)

    def _index(self, key, versions):
        if key.startswith(TURN_LINE):
            kept = [turnId for turnId in turnsIn(versions) if not self.records.was_dropped(turnId)]
            self._lineOf.update(dict.fromkeys(kept, key))
            for turnId in kept:
                if turnId not in self.records:
                    self._lacking.setdefault(turnId, set())

    def _unindex(self, key, versions):
        if key.startswith(TURN_LINE):
            for turnId in [turnId for turnId in turnsIn(versions) if self._lineOf.get(turnId) == key]:
                del self._lineOf[turnId]
                self._lacking.pop(turnId, None)

    def _enter(self, key, row):
        self.rows[key] = row
        self._stale.add(key)
        self._touches.add((row.touchedAt, key))
        self._dots.update(dotsOf(row.versions))

    def _leave(self, key):
        row = self.rows.pop(key, None)
        if row is not None:
            self._stale.add(key)
            self._touches.remove((row.touchedAt, key))
            self._dots.subtract(dotsOf(row.versions))

    def stop(self):
        for owner in self._owners:
            owner.stop()

    def _do(self, command, key, *arguments):
        return self._owners[slotOf(key, STORE_OWNERS)].do(command, key, *arguments)

    def _strip(self, clock):
        if not any(storeOf(clockId) in self.pruned for clockId in clock.entries):
            return clock
        return Clock(
            {
                clockId: m if n is None else (m, n)
                for clockId, (m, n) in clock.entries.items()
                if n is not None or storeOf(clockId) not in self.pruned
            }
        )

    def prune(self, storeIds):
        """From now on these ids tell nothing. Rows on the disk are stripped when they are next written; until
        then each start strips them again."""
        if storeIds <= self.pruned:
            return
        self.pruned |= storeIds
        # A walk over all rows, once for each store that was replaced.
        self._stale.update(self.rows)
        for row in self.rows.values():
            stripped = {self._strip(clock): value for clock, value in row.versions.items()}
            self._dots.subtract(dotsOf(row.versions))
            row.versions = syncVersions(stripped, stripped)
            self._dots.update(dotsOf(row.versions))

    def dots(self):
        return sorted(storeId for storeId, count in self._dots.items() if count)

    # --- commands ---

    def put(self, key, contextSet, value, records=()):
        """The paper's put at the coordinator: update, then sync, then the disk. Gives the result of the sync
        and the new clock. `records` are (packed, seconds to keep) pairs that go to the disk with it."""
        return self._do(self._put, key, contextSet, value, records)

    async def _put(self, key, contextSet, value, records):
        row, extra = self._rowFor(key)
        contextSet = frozenset(map(self._strip, contextSet))
        clock = update(contextSet, row.versions.keys(), row.clockId)
        await self._keep(key, row, syncVersions(row.versions, {clock: value}), extra, 0.0, records)
        return dict(row.versions), clock

    def merge(self, key, versions, age, records=()):
        """The receiving side of replication, hand-over and anti-entropy: a sync with what is here."""
        return self._do(self._merge, key, versions, age, records)

    async def _merge(self, key, versions, age, records):
        if age >= self.keptFor() and not key.startswith(TURN_LINE):
            return
        if key not in self.rows and not versions:
            await self.keepRecords(records)
            return
        if key in self.rows and versions.keys() <= self.rows[key].versions.keys():
            await self.keepRecords(records)
            return
        row, extra = self._rowFor(key)
        merged = syncVersions(row.versions, {self._strip(clock): value for clock, value in versions.items()})
        if merged.keys() != row.versions.keys():
            await self._keep(key, row, merged, extra, age, records)
            return
        await self.keepRecords(records)

    async def keepRecords(self, records):
        """Records alone, as ancestors from other lines are; of what is here already, only the time is new."""
        entries = self.records.entries(packed for packed, _ in records)
        if entries:
            await self._ring.commit(entries)
        self._enterRecords(records)

    def _enterRecords(self, records):
        for packed, left in records:
            self._lacking.pop(self.records.enter(packed, left), None)

    async def dropRecords(self):
        """Lets records go whose time is over, and lines that have none left."""
        ended, lines = self.records.take_ended()
        if not ended:
            return
        for turnId in ended:
            self._lineOf.pop(turnId, None)
        await self._ring.commit([(RECORD_ROW + turnId, None) for turnId in ended])
        for key in lines:
            await self._do(self._dropLine, key)

    async def _dropLine(self, key):
        if key in self.rows and not self.records.on_line(key):
            await self._remove(key)

    async def _remove(self, key):
        await self._ring.commit([(ROW + key, None)])
        self._unindex(key, self.rows[key].versions)
        self._leave(key)

    def letGo(self, key):
        return self._do(self._letGo, key)

    async def _letGo(self, key):
        row = self.rows.get(key)
        if row is None or self._reactor.seconds() - row.touchedAt < self.keptFor():
            return
        if self.records.on_line(key):
            self._leave(key)
            row.touchedAt = self._reactor.seconds()  # it goes with the last of its records
            self._enter(key, row)
            return
        await self._remove(key)

    def _rowFor(self, key):
        if key in self.rows:
            return self.rows[key], []
        self._births += 1
        # The count is on the disk in the same commit that first uses the id.
        return LineRow(f"{self._nodeId}#{self._births}", {}, 0.0), [(BIRTHS, b"%d" % self._births)]

    async def _keep(self, key, row, versions, extra, age, records=()):
        data = row.clockId.encode() + b"\0" + pack(toState(versions))
        await self._ring.commit([*extra, (ROW + key, data), *self.records.entries(packed for packed, _ in records)])
        self._leave(key)
        self._index(key, {clock: value for clock, value in versions.items() if clock not in row.versions})
        row.versions = versions
        row.touchedAt = max(row.touchedAt, self._reactor.seconds() - age)
        self._enter(key, row)
        self._enterRecords(records)

    # --- reading ---

    def versions(self, key):
        return self.rows[key].versions if key in self.rows else {}

    def age(self, key):
        return self._reactor.seconds() - self.rows[key].touchedAt if key in self.rows else 0.0

    def _freshen(self):
        for key in self._stale:
            number = bucketOf(key)
            former = self._buckets[number].pop(key, None)
            self._sums[number] -= int(former, 16) if former else 0
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

    def digestsAfter(self, buckets, after, most):
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

    def digestOf(self, key):
        self._freshen()
        return self._buckets[bucketOf(key)].get(key)

    def lackingOf(self, nodeId, most):
        """Turns of lines here whose records are not here, and for which this member was not asked yet."""
        return list(islice((turnId for turnId, asked in self._lacking.items() if nodeId not in asked), most))

    def isLacking(self, nodeIds):
        """Whether something is lacking for which one of these members was not asked yet."""
        return any(nodeIds - asked for asked in self._lacking.values())

    def noteAbsent(self, nodeId, turnIds, others):
        """The member keeps none of these; what none of the others keeps was let go by all."""
        for turnId in turnIds:
            asked = self._lacking.get(turnId)
            if asked is None:
                continue
            asked.add(nodeId)
            if others <= asked:
                del self._lacking[turnId]
                self._lineOf.pop(turnId, None)
                self.records.note_dropped(turnId)

    def lineOf(self, turnId):
        """The key of the line that this turn is on, as far as this store knows."""
        return self.records.line_of(turnId) or self._lineOf.get(turnId)

    def keysAfter(self, after, most):
        return list(islice(self.rows.irange(after, inclusive=(False, False)), most))

    def keptFor(self):
        """Seconds; less when the ring fills up, but always well over the rule's minute."""
        return LINE_KEPT if self._ring.liveBytes() < FULL_SHARE * self._ring.capacity() else LINE_KEPT_FULL

    def isFull(self):
        return self._ring.liveBytes() > STORE_FULL * self._ring.capacity()

    def old(self):
        """The lines past their time, the oldest first; a page of them."""
        until = self._reactor.seconds() - self.keptFor()
        return [key for touchedAt, key in islice(self._touches, SWEEP_KEYS) if touchedAt <= until]
