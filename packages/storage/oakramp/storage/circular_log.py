"""A durable keyed table on a ring of preallocated files.

Each file holds one lap of records. The head lap is appended to; when it is full the ring goes on in
a free file. When free files run short, the live entries of the oldest lap are written again at the
head, and once that is synced the oldest lap's file is free. A removal is itself an entry; it may be
left behind when its own lap is the oldest, since no older lap can hold what it removes.

A lap is begun in three steps, each on the disk before the next: the former lap's records, the header, the first
record. `oakramp.storage.log_format` has the bytes of a lap, and `oakramp.storage.log_table` the entries.

The `synced number` is the newest record known to be on disk when this one was written. If a record
that something later names as synced cannot be read, the disk lost what it had confirmed: that is
damage and stops recovery. An unreadable record that nothing names is a tail torn by a power cut. After
each sync an empty record is written without a sync of its own, so that even the last commit is named. A start writes
anew what it found and no record names, before it syncs: a process that ended after a failed sync may have left what the
system shows and never writes.

A write or sync that fails fails the commits that it was for, and the log takes no others until it has recovered. After
a failed sync the system may call pages clean that it never wrote, so nothing since the last good sync is assumed to be
on the disk or not to be there: it is written anew from memory, and after it, for each key that the failed commits
named, the value from before. Once that is synced, the disk holds what was confirmed, and nothing else.
"""

import errno
import random
import time
from collections import Counter, deque
from typing import NamedTuple

from twisted.internet import defer

from oakramp.common.constants import (
    LOG_RECOVERY_PAUSE,
    LOG_RECOVERY_PAUSE_MAX,
    RING_BATCH,
    RING_FILE_SIZE,
    RING_FILES,
    RING_RESERVE_FILES,
    RING_VERSION,
)
from oakramp.common.errors import StorageCorruptedError, StorageError, StorageFullError
from oakramp.common.tasks import sleep, spawn
from oakramp.storage.log_format import (
    ENTRY,
    LAP_SIZE,
    RECORD,
    RECORD_MARK,
    RING_PREFIX,
    lap_header,
    left_over_of,
    pack_entry,
    pack_lap,
    pack_record,
    read_record,
    records_after,
    unpack_batch,
)
from oakramp.storage.log_table import ColdValue, Table

COPY_SHARE = 8  # one copied record takes at most this part of a file, so that little is left over at its end
LOST_HEAD_READ = 1 << 18  # bytes; of a lap that cannot have been begun
COMMIT_SHARE = 2  # one commit takes at most this part of a file, for the same reason


class UnsyncedWrite(NamedTuple):
    """Bytes that were written to a file of the log since its last good sync."""

    file_name: str
    offset: int
    data: bytes


def _kind_of(error):
    """What a failed write says of the disk: whether it is full, faulty, or something else."""
    number = getattr(error, "errno", None)
    return {errno.ENOSPC: "full", errno.EDQUOT: "full", errno.EIO: "faulty"}.get(number, "other")


class CircularLog:
    """Invariants:
    - `table` holds exactly the entries of the records written so far, in the order of their numbers.
    - a commit's Deferred fires only after the sync that covers its record.
    - `_places[key]` is the lap of the newest record that names the key; a lap is freed only when no
      live key is placed in it and everything copied out of it is synced.
    - records are numbered without gaps from the first number of the oldest lap on.
    - only the head lap's file holds writes that no sync has covered: a lap is begun when all records before it are on
      the
      disk, and its first record is written when its header is. So a sync of one file covers all that was written.
    - `_unsynced` are these writes in order, and `_before` holds, for each key that a commit without an answer names,
      what stood for it before: its bytes, a ColdValue, or None.
    - `broken` is the fault for which no commit is taken, or None; it is cleared once the log has recovered. Each of
      `on_fault_change` is called, without arguments, after either.
    """

    def __init__(
        self,
        disk,
        log,
        file_size=None,
        file_count=None,
        seconds=time.monotonic,
        commit_share=COMMIT_SHARE,
        hot_bytes=None,
        reactor=None,
        random_source=random,
    ):
        """With `hot_bytes` long values stand on the disk, and so many bytes of them in memory; else all in memory. With
        a `reactor` the log recovers by itself once the disk takes writes again; without one it stays broken."""
        self._disk, self._log, self._seconds = disk, log, seconds
        self._reactor, self._random = reactor, random_source
        self._file_size, self._file_count = file_size or RING_FILE_SIZE, file_count or RING_FILES
        self._commit_share = commit_share
        self.table = Table(disk, hot_bytes)
        self._places = {}
        self._live_bytes = Counter()
        self._laps = deque()
        self._offset = LAP_SIZE
        self._number = 0
        self._synced_number = 0
        self._waiting = deque()
        self._waiting_bytes = 0
        self._writing = False
        self._stopping = None
        self._is_closed = False
        self._unsynced = []
        self._unconfirmed = []  # (offset, bytes) in the head lap that a start found and that no record names as synced
        self._before = {}
        self.broken = None
        self.on_fault_change = set()
        self.sync_count = 0
        self.sync_time = 0.0
        self.commit_count = 0
        self._recover()

    # --- recovery ---

    def _file_name(self, lap):
        return f"{RING_PREFIX}{lap % self._file_count:03d}"

    def _recover(self):
        """Never holds more than one file's content at a time."""
        file_names = [f"{RING_PREFIX}{index:03d}" for index in range(self._file_count)]
        existing = set(self._disk.names())
        heads = self._read_heads([name for name in file_names if name in existing])
        # All files are made before the first lap is begun, so one that is missing later was lost.
        missing = [name for name in file_names if name not in existing]
        if heads and missing:
            raise StorageCorruptedError(f"{', '.join(missing)} of the ring is missing")
        for name in missing:
            self._disk.create(name, self._file_size)
        if not heads:
            self._refuse_lost_head(0)
            self._open_lap(0)
            self._disk.sync_now([self._file_name(0)])
            self._unsynced.clear()
            return
        left_over, torn_laps = self._replay_all(heads)
        if self._laps[-1] + 1 not in torn_laps:
            left_over |= self._refuse_lost_head(self._laps[-1] + 1)
        for lap, (offset, end) in left_over.items():
            self._log.warning("log_tail_torn", file=self._file_name(lap), offset=offset)
            self._disk.write(self._file_name(lap), offset, bytes(end - offset))
        # A process that died without a power cut left writes that look whole but may not last yet; and after a failed sync
        # the system may show what it will never write.
        for offset, data in self._unconfirmed:
            self._disk.write(self._file_name(self._laps[-1]), offset, data)
        self._unconfirmed = []
        self._disk.sync_now(file_names)
        # The headers go after the records: until then, a start that is cut off here finds the same laps again.
        for lap in torn_laps:
            self._disk.write(self._file_name(lap), 0, bytes(LAP_SIZE))
        self._disk.sync_now([self._file_name(lap) for lap in torn_laps])
        self._synced_number = self._number
        self._free_unused_laps()

    def _free_unused_laps(self):
        """The oldest laps that hold nothing live: most were free before, and a start finds them by their headers. All
        that replaced what is in them is on the disk."""
        used = {lap for key, (lap, _) in self._places.items() if key in self.table}
        while len(self._laps) > 1 and self._laps[0] not in used:
            self._live_bytes.pop(self._laps.popleft(), None)
        for key in [key for key, (lap, _) in self._places.items() if lap < self._laps[0]]:
            del self._places[key]

    def _read_heads(self, names):
        heads = {}
        for name in names:
            size = self._disk.size(name)
            if size != self._file_size:
                raise StorageCorruptedError(f"{name} has {size} bytes, the env says {self._file_size}")
            header = lap_header(self._disk.read(name, LAP_SIZE))
            if header is None:
                continue
            if header.version != RING_VERSION:
                raise StorageError(f"{name} has ring version {header.version}, this program reads {RING_VERSION}")
            if self._file_name(header.lap) != name:
                raise StorageCorruptedError(
                    f"{name} holds lap {header.lap}, which belongs into {self._file_name(header.lap)}: files were swapped"
                )
            heads[header.lap] = (header.first_number, header.synced_number)
        return heads

    def _replay_all(self, heads):
        """Applies all whole records in order, and changes nothing on the disk. Returns what must be wiped: for each lap
        the bytes behind the last record in which something could be taken for one of this lap later (what former laps
        left never is), and the laps that hold no record that counts."""
        oldest = min(heads)
        self._number = heads[oldest][0] - 1
        left_over, torn_laps = {}, []
        for lap in range(oldest, max(heads) + 1):
            first_number, synced_number = heads.get(lap, (None, 0))
            if first_number is not None and synced_number > self._number:
                raise StorageCorruptedError(
                    f"record {self._number + 1} cannot be read, though lap {lap} says it was synced"
                )
            if not torn_laps and self._lacks_only_a_marker(first_number, synced_number):
                self._number += 1
            data = self._disk.read(self._file_name(lap))
            if torn_laps or first_number != self._number + 1:
                self._refuse_synced(data, lap, LAP_SIZE)
                torn_laps.append(lap)
                left_over |= left_over_of(data, lap, LAP_SIZE)
                continue
            self._laps.append(lap)
            self._replay(lap, data)
            left_over = left_over_of(data, lap, self._offset)
        return left_over, torn_laps

    def _lacks_only_a_marker(self, first_number, synced_number):
        """Whether the one record missing before this lap is an empty one at the end of the former lap, which earlier
        releases did not sync when they went on. A lap that this release began names every record before it as
        synced."""
        if first_number is None or not first_number - 2 == synced_number == self._number or not self._laps:
            return False
        place = self._disk.read(self._file_name(self._laps[-1]))[self._offset : self._offset + RECORD.size]
        if len(place) < RECORD.size:
            return False
        mark, lap, length, *_ = RECORD.unpack(place)
        is_other_record = mark == RECORD_MARK and lap == self._laps[-1] & 0xFFFFFFFF and length > 0
        if not is_other_record:
            self._log.warning("log_marker_lost", file=self._file_name(self._laps[-1]), offset=self._offset)
        return not is_other_record

    def _replay(self, lap, data):
        self._offset = LAP_SIZE
        synced_number, record_offsets = 0, {}
        while (record := read_record(data, lap, self._offset)) and record.number == self._number + 1:
            synced_number = max(synced_number, record.synced_number)
            record_offsets[record.number] = self._offset
            start = self._offset + RECORD.size
            self._number, self._offset = record.number, record.end
            for key, value, place in unpack_batch(record.batch):
                self._apply(lap, key, value, start + place)
        self._refuse_synced(data, lap, self._offset)
        first = next((offset for number, offset in record_offsets.items() if number > synced_number), self._offset)
        self._unconfirmed = [(0, data[:LAP_SIZE]), (first, data[first : self._offset])]

    def _refuse_synced(self, data, lap, offset):
        for record in records_after(data, lap, offset):
            if record.synced_number > self._number:
                raise StorageCorruptedError(
                    f"record {self._number + 1} in {self._file_name(lap)} at byte {offset} cannot be "
                    f"read, though record {record.number} says it was synced"
                )

    def _refuse_lost_head(self, lap):
        """A lap whose header is unreadable, but which holds records that were synced. While the lap before has room for
        any commit, this one was never begun: its first part is read all the same, in case both have lost something.
        Returns what must be wiped of it; earlier releases wrote records before their header was on the disk."""
        may_be_begun = not self._laps or self._file_size - self._offset < self.commit_limit() + 2 * RECORD.size
        data = self._disk.read(self._file_name(lap), -1 if may_be_begun else LOST_HEAD_READ)
        self._refuse_synced(data, lap, 0)
        return left_over_of(data, lap, LAP_SIZE) if self._free_files() else {}

    def _apply(self, lap, key, value, offset):
        size = ENTRY.size + len(key.encode()) + len(value or b"")
        old_lap, old_size = self._places.get(key, (lap, 0))
        self._live_bytes[old_lap] -= old_size
        self._places[key] = (lap, size)
        self._live_bytes[lap] += size
        if value is None:
            self.table.pop(key)
            return
        self.table.enter(key, value, self._file_name(lap), offset)

    # --- writing ---

    def _write(self, lap, offset, data):
        self._disk.write(self._file_name(lap), offset, data)
        self._unsynced.append(UnsyncedWrite(self._file_name(lap), offset, data))

    def _open_lap(self, lap):
        self._write(lap, 0, pack_lap(lap, self._number + 1, self._synced_number))
        self._laps.append(lap)
        self._offset = LAP_SIZE

    @property
    def newest_record(self):
        """The number of the newest record."""
        return self._number

    def live_bytes(self):
        return sum(self._live_bytes.values())

    def capacity(self):
        """What may be live at once: two thirds of what surely fits into the files outside the reserve. The ends of
        files that no record fits into are less than one commit, so reclaiming always comes to an end."""
        return (
            (self._file_count - RING_RESERVE_FILES)
            * (self._file_size - LAP_SIZE)
            * 2
            * (self._commit_share - 1)
            // (3 * self._commit_share)
        )

    def condition(self):
        """Figures for GET /condition: fault, seconds of a sync, bytes in use, capacity in bytes."""
        return {
            "broken": str(self.broken) if self.broken else None,
            "syncSeconds": round(self.sync_time, 4),
            "liveBytes": self.live_bytes(),
            "capacity": self.capacity(),
        }

    def commit_limit(self):
        """Bytes of one commit's packed entries."""
        return (self._file_size - LAP_SIZE) // self._commit_share - 2 * RECORD.size

    def commit(self, entries):
        """Writes these (key, value or None) pairs as one; fires when they are on the disk."""
        if self.broken is not None:
            return defer.fail(StorageError(f"the ring has failed: {self.broken}"))
        packed = [(key, value, pack_entry(key, value)) for key, value in entries]
        size = sum(len(pack) for _, _, pack in packed)
        if size > self.commit_limit():
            return defer.fail(StorageFullError(f"{size} bytes are too much for one commit to this ring"))
        growth = sum(len(pack) - self._places.get(key, (0, 0))[1] for key, _, pack in packed)
        if growth > 0 and self.live_bytes() + self._waiting_bytes + growth > self.capacity():
            return defer.fail(StorageFullError(f"{self.live_bytes()} bytes are live of {self.capacity()}"))
        fired = defer.Deferred()
        self._waiting.append((packed, size, fired))
        self._waiting_bytes += size
        self.commit_count += 1
        if not self._writing:
            self._writing = True
            spawn(self._write_all(), self._log)
        return fired

    async def _write_all(self):
        while self._waiting:
            batch = [self._waiting.popleft() for _ in range(min(RING_BATCH, len(self._waiting)))]
            try:
                await self._write_batch(batch)
                self._before.clear()
            except Exception as error:  # what is on the disk now is not known until the log has recovered
                self.broken = self.broken or error
                self._log.warning("log_write_failed", kind=_kind_of(error), error=repr(error))
                batch += self._waiting
                self._waiting.clear()
                self._tell_fault_change()
            for _, size, fired in batch:
                self._waiting_bytes -= size
                if self.broken is None:
                    fired.callback(None)
                    continue
                fired.errback(StorageError(f"the disk failed: {self.broken}"))
        was_broken = self.broken is not None
        if was_broken and self._reactor is not None:
            await self._recover_from_fault()
        self._writing = False
        if self._stopping is not None:
            self._stopping.callback(None)
        if was_broken and self.broken is None:
            self._tell_fault_change()  # whoever is told may commit at once

    async def _recover_from_fault(self):
        """Tries again and again to bring the disk to what was confirmed; returns once it has, or at the end."""
        pause, began_at = LOG_RECOVERY_PAUSE, self._seconds()
        while not self._is_closed:
            await sleep(self._reactor, pause * self._random.uniform(0.5, 1.0))
            pause = min(2 * pause, LOG_RECOVERY_PAUSE_MAX)
            if self._is_closed:
                return
            try:
                await self._write_confirmed_state()
            except OSError:
                continue  # the disk still refuses
            except (
                Exception
            ) as error:  # what stood there before cannot be read back: only a start can tell what is there
                self._log.error("log_recovery_failed", error=repr(error))
                return
            if self._is_closed:
                return
            self.broken = None
            self._log.info("log_recovered", broken_s=round(self._seconds() - began_at, 3), record=self._number)
            return

    def _tell_fault_change(self):
        for callback in list(self.on_fault_change):
            callback()

    async def _write_confirmed_state(self):
        for write in list(self._unsynced):
            self._disk.write(*write)
        if self._unsynced:
            await self._sync()
        for batch, size in self._in_batches(self._confirmed_entries()):
            await self._make_room(RECORD.size + size)
            self._append(batch)
        await self._sync()
        self._before.clear()

    def _confirmed_entries(self):
        """(key, value or None) of each key that a failed commit names, as it was before. All are read at once: what is
        written after may free the laps in which they stand."""
        return [
            (key, before.read(self._disk) if type(before) is ColdValue else before)
            for key, before in self._before.items()
        ]

    async def stop(self):
        """Takes no more commits, and returns once nothing more will be written."""
        self._is_closed = True
        self.broken = self.broken or StorageError("the ring was closed")
        if self._writing and self._stopping is None:
            self._stopping = defer.Deferred()
            await self._stopping

    async def _write_batch(self, batch):
        for packed, size, _ in batch:
            await self._make_room(size + RECORD.size)
            self._append(packed)
        await self._sync()
        if not self._waiting and self._offset + RECORD.size <= self._file_size:
            self._append([])

    async def _sync(self):
        """Every record written so far is on the disk when this returns."""
        number, covered = self._number, len(self._unsynced)
        started_at = self._seconds()
        await self._disk.sync([self._file_name(self._laps[-1])])
        del self._unsynced[:covered]
        self.sync_time = 0.8 * self.sync_time + 0.2 * (self._seconds() - started_at)
        self.sync_count += 1
        self._synced_number = max(self._synced_number, number)

    def _append(self, packed):
        lap = self._laps[-1]
        data = pack_record(lap, self._number + 1, self._synced_number, b"".join(pack for _, _, pack in packed))
        self._write(lap, self._offset, data)
        end = self._offset + RECORD.size
        self._number += 1
        self._offset += len(data)
        for key, value, pack in packed:
            self._before.setdefault(key, self.table.stored(key))
            end += len(pack)
            self._apply(lap, key, value, end - len(value or b""))

    async def _make_room(self, size):
        """Room for a record in the head lap. New data opens a lap, and goes on in one, only while the reserve stays
        free behind it: so the reclaiming that will make room again always has somewhere to copy to. A start finds less
        of it if the power went while reclaiming copied."""
        while self._free_files() < RING_RESERVE_FILES:
            await self._reclaim()
        if self._offset + size <= self._file_size:
            return
        while self._free_files() <= RING_RESERVE_FILES:
            await self._reclaim()
        if self._offset + size > self._file_size:
            await self._next_lap()

    def _free_files(self):
        return self._file_count - len(self._laps)

    async def _next_lap(self):
        if not self._free_files():
            raise StorageFullError("no free file is left in the ring")
        # The former lap first: its last record may be an empty one, which no sync has covered yet.
        await self._sync()
        self._open_lap(self._laps[-1] + 1)
        # Then the header: one that came after its records could leave a former lap's header in front of them.
        await self._sync()

    async def _reclaim(self):
        """Writes the live entries of the oldest lap again at the head and frees the lap."""
        oldest = self._laps[0]
        for batch, size in self._in_batches(self._live_entries(oldest)):
            await self._copy(batch, size)
        # The copies must be on the disk before the only other place of these entries may be written over.
        await self._sync()
        self._laps.popleft()
        self._live_bytes.pop(oldest, None)

    def _live_entries(self, oldest):
        """(key, value) of each entry that is live in the oldest lap; removals there may be left behind."""
        for key in [key for key, (lap, _) in self._places.items() if lap == oldest]:
            if key in self.table:
                yield key, self.table[key]
            else:
                self._places.pop(key)

    def _in_batches(self, entries):
        """(batch, bytes) of these entries, packed, in batches of at most what one copied record takes, or of one."""
        batch, size = [], 0
        for key, value in entries:
            pack = pack_entry(key, value)
            if batch and size + len(pack) > self._file_size // COPY_SHARE:
                yield batch, size
                batch, size = [], 0
            batch.append((key, value, pack))
            size += len(pack)
        if batch:
            yield batch, size

    async def _copy(self, batch, size):
        if self._offset + RECORD.size + size > self._file_size:
            await self._next_lap()
        self._append(batch)
