"""A durable key-value table, stored as a circular log in a ring of preallocated files.

Each file holds one lap of records. Records are appended to the newest lap, the head; when it is full, the log continues
in a free file. When free files run short, the live entries of the oldest lap are copied to the head, and once the
copies are synced the oldest lap's file is free. A removal is itself an entry (a tombstone); it need not be copied when
its own lap is the oldest, since no older lap can hold what it removes.

A new lap starts in three steps, each durable before the next: the former lap's records, the header, the first record.
`oakramp.storage.log_format` defines the bytes of a lap, and `oakramp.storage.log_table` holds the entries.

The `synced number` of a record is the newest record known to be on disk when this one was written. If a record cannot
be read although a later one names it as synced, the disk has lost what it had confirmed: that is corruption and stops
recovery. An unreadable record that nothing names as synced is a tail torn by a power failure. After each sync an empty
record is written without a sync of its own, so that even the last commit is named. A start rewrites the records it
finds that no record names as synced, before it syncs: a process that ended after a failed sync may have left data that
the operating system returns on reads but never writes to the disk.

A write or sync that fails also fails the commits it was for, and the log accepts no others until it has recovered.
After a failed sync the operating system may mark pages clean that it never wrote, so nothing since the last successful
sync is assumed to be on the disk or absent from it: it is rewritten from memory, followed by the previous value of each
key that the failed commits named. Once that is synced, the disk holds what was confirmed, and nothing else.
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

COPY_SHARE = 8  # one copied record takes at most 1/8 of a file, so that little space is unused at the end of the file
LOST_HEAD_READ = 1 << 18  # bytes; read from the start of a lap that cannot have been started yet
COMMIT_SHARE = 2  # one commit takes at most 1/2 of a file, for the same reason


class UnsyncedWrite(NamedTuple):
    """Bytes that were written to a file of the log since its last successful sync."""

    file_name: str
    offset: int
    data: bytes


def _error_kind(error):
    """Classifies the error of a failed write: the disk is "full" or "faulty", or the cause is "other"."""
    number = getattr(error, "errno", None)
    return {errno.ENOSPC: "full", errno.EDQUOT: "full", errno.EIO: "faulty"}.get(number, "other")


class CircularLog:
    """A durable key-value table on the files of one disk.

    Invariants:
    - `table` holds exactly the entries of the records written so far, applied in the order of their numbers.
    - a commit's Deferred fires with success only after the sync that covers its record.
    - `_locations[key]` is the lap of the newest record that names the key, and the size of its entry; a lap is freed
      only when no live key is located in it and everything copied out of it is synced.
    - records are numbered without gaps, starting with the first number of the oldest lap.
    - only the head lap's file holds unsynced writes: a lap is started once all records before it are on the disk, and
      its first record is written once its header is on the disk. So a sync of one file covers all that was written.
    - `_unsynced` are these writes in order, and `_previous_values` holds the value from before for each key that an
      unacknowledged commit names: its bytes, a ColdValue, or None.
    - `broken` is the fault because of which commits are rejected, or None; it is cleared once the log has recovered.
      Each callback in `on_fault_change` is called, without arguments, after the fault is set or cleared.
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
        """With `hot_bytes`, long values are kept on the disk and at most that many bytes of them are cached in memory;
        without it, all values are in memory. With a `reactor` the log recovers by itself once the disk accepts writes
        again; without one it stays broken."""
        self._disk, self._log, self._seconds = disk, log, seconds
        self._reactor, self._random = reactor, random_source
        self._file_size, self._file_count = file_size or RING_FILE_SIZE, file_count or RING_FILES
        self._commit_share = commit_share
        self.table = Table(disk, hot_bytes)
        self._locations = {}
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
        self._unconfirmed = []  # (offset, bytes) found in the head lap at start that no record names as synced
        self._previous_values = {}
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
        """Rebuilds the table from the files; never holds the content of more than one file at a time."""
        file_names = [f"{RING_PREFIX}{index:03d}" for index in range(self._file_count)]
        existing = set(self._disk.names())
        headers = self._read_headers([name for name in file_names if name in existing])
        # All files are created before the first lap is started, so one that is missing later was lost.
        missing = [name for name in file_names if name not in existing]
        if headers and missing:
            raise StorageCorruptedError(f"{', '.join(missing)} of the ring is missing")
        for name in missing:
            self._disk.create(name, self._file_size)
        if not headers:
            self._check_lost_header(0)
            self._open_lap(0)
            self._disk.sync_now([self._file_name(0)])
            self._unsynced.clear()
            return
        left_over, torn_laps = self._replay_all(headers)
        if self._laps[-1] + 1 not in torn_laps:
            left_over |= self._check_lost_header(self._laps[-1] + 1)
        for lap, (offset, end) in left_over.items():
            self._log.warning("log_tail_torn", file=self._file_name(lap), offset=offset)
            self._disk.write(self._file_name(lap), offset, bytes(end - offset))
        # A process that died without a power failure left writes that look complete but may not be durable yet; and
        # after a failed sync the operating system may return data on reads that it will never write to the disk.
        for offset, data in self._unconfirmed:
            self._disk.write(self._file_name(self._laps[-1]), offset, data)
        self._unconfirmed = []
        self._disk.sync_now(file_names)
        # The headers are wiped after the records: a start that is interrupted before that finds the same laps again.
        for lap in torn_laps:
            self._disk.write(self._file_name(lap), 0, bytes(LAP_SIZE))
        self._disk.sync_now([self._file_name(lap) for lap in torn_laps])
        self._synced_number = self._number
        self._free_unused_laps()

    def _free_unused_laps(self):
        """Frees the oldest laps that hold no live entry. Most were already free before the restart, and only their
        headers made the start count them. Everything that replaced their entries is on the disk."""
        used = {lap for key, (lap, _) in self._locations.items() if key in self.table}
        while len(self._laps) > 1 and self._laps[0] not in used:
            self._live_bytes.pop(self._laps.popleft(), None)
        for key in [key for key, (lap, _) in self._locations.items() if lap < self._laps[0]]:
            del self._locations[key]

    def _read_headers(self, names):
        headers = {}
        for name in names:
            size = self._disk.size(name)
            if size != self._file_size:
                raise StorageCorruptedError(f"{name} has {size} bytes, the settings say {self._file_size}")
            header = lap_header(self._disk.read(name, LAP_SIZE))
            if header is None:
                continue
            if header.version != RING_VERSION:
                raise StorageError(f"{name} has ring version {header.version}, this program reads {RING_VERSION}")
            if self._file_name(header.lap) != name:
                raise StorageCorruptedError(
                    f"{name} holds lap {header.lap}, which belongs in {self._file_name(header.lap)}: files were swapped"
                )
            headers[header.lap] = (header.first_number, header.synced_number)
        return headers

    def _replay_all(self, headers):
        """Applies all intact records in order, without changing anything on the disk. Returns what must be wiped: for
        each lap, the range after the last valid record in which bytes could later be mistaken for a record of this lap
        (bytes left by former laps never are), and the laps that hold no valid record."""
        oldest = min(headers)
        self._number = headers[oldest][0] - 1
        left_over, torn_laps = {}, []
        for lap in range(oldest, max(headers) + 1):
            first_number, synced_number = headers.get(lap, (None, 0))
            if first_number is not None and synced_number > self._number:
                raise StorageCorruptedError(
                    f"record {self._number + 1} cannot be read, though lap {lap} says it was synced"
                )
            if not torn_laps and self._lacks_only_an_empty_record(first_number, synced_number):
                self._number += 1
            data = self._disk.read(self._file_name(lap))
            if torn_laps or first_number != self._number + 1:
                self._check_synced_records(data, lap, LAP_SIZE)
                torn_laps.append(lap)
                left_over |= left_over_of(data, lap, LAP_SIZE)
                continue
            self._laps.append(lap)
            self._replay(lap, data)
            left_over = left_over_of(data, lap, self._offset)
        return left_over, torn_laps

    def _lacks_only_an_empty_record(self, first_number, synced_number):
        """Whether the one record missing before this lap is an empty one at the end of the former lap, which earlier
        releases did not sync before they started the next lap. A lap that this release started names every record
        before it as synced."""
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
        self._check_synced_records(data, lap, self._offset)
        first = next((offset for number, offset in record_offsets.items() if number > synced_number), self._offset)
        self._unconfirmed = [(0, data[:LAP_SIZE]), (first, data[first : self._offset])]

    def _check_synced_records(self, data, lap, offset):
        for record in records_after(data, lap, offset):
            if record.synced_number > self._number:
                raise StorageCorruptedError(
                    f"record {self._number + 1} in {self._file_name(lap)} at byte {offset} cannot be "
                    f"read, though record {record.number} says it was synced"
                )

    def _check_lost_header(self, lap):
        """Raises StorageCorruptedError if this lap's header is unreadable although the lap holds synced records. While
        the lap before has room for any commit, this one was never started; its first LOST_HEAD_READ bytes are still
        read, in case both laps have lost data. Returns the range of it that must be wiped, since earlier releases wrote
        records before their header was on the disk."""
        may_be_begun = not self._laps or self._file_size - self._offset < self.commit_limit() + 2 * RECORD.size
        data = self._disk.read(self._file_name(lap), -1 if may_be_begun else LOST_HEAD_READ)
        self._check_synced_records(data, lap, 0)
        return left_over_of(data, lap, LAP_SIZE) if self._free_files() else {}

    def _apply(self, lap, key, value, offset):
        size = ENTRY.size + len(key.encode()) + len(value or b"")
        old_lap, old_size = self._locations.get(key, (lap, 0))
        self._live_bytes[old_lap] -= old_size
        self._locations[key] = (lap, size)
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
        """Maximum bytes of live entries: two thirds of what is certain to fit into the files outside the reserve. The
        unused space at the end of each file is smaller than one commit, so reclaiming always terminates."""
        return (
            (self._file_count - RING_RESERVE_FILES)
            * (self._file_size - LAP_SIZE)
            * 2
            * (self._commit_share - 1)
            // (3 * self._commit_share)
        )

    def condition(self):
        """Figures for GET /condition: the fault, the smoothed sync time in seconds, live bytes, capacity in bytes."""
        return {
            "broken": str(self.broken) if self.broken else None,
            "syncSeconds": round(self.sync_time, 4),
            "liveBytes": self.live_bytes(),
            "capacity": self.capacity(),
        }

    def commit_limit(self):
        """Maximum size in bytes of one commit's packed entries."""
        return (self._file_size - LAP_SIZE) // self._commit_share - 2 * RECORD.size

    def commit(self, entries):
        """Writes these (key, value or None) pairs atomically; the Deferred fires once they are on the disk."""
        if self.broken is not None:
            return defer.fail(StorageError(f"the ring has failed: {self.broken}"))
        packed = [(key, value, pack_entry(key, value)) for key, value in entries]
        size = sum(len(pack) for _, _, pack in packed)
        if size > self.commit_limit():
            return defer.fail(StorageFullError(f"{size} bytes exceed the limit of one commit to this ring"))
        growth = sum(len(pack) - self._locations.get(key, (0, 0))[1] for key, _, pack in packed)
        if growth > 0 and self.live_bytes() + self._waiting_bytes + growth > self.capacity():
            return defer.fail(StorageFullError(f"{self.live_bytes()} live bytes of a capacity of {self.capacity()}"))
        done = defer.Deferred()
        self._waiting.append((packed, size, done))
        self._waiting_bytes += size
        self.commit_count += 1
        if not self._writing:
            self._writing = True
            spawn(self._write_all(), self._log)
        return done

    async def _write_all(self):
        while self._waiting:
            batch = [self._waiting.popleft() for _ in range(min(RING_BATCH, len(self._waiting)))]
            try:
                await self._write_batch(batch)
                self._previous_values.clear()
            except Exception as error:  # the content of the disk is unknown until the log has recovered
                self.broken = self.broken or error
                self._log.warning("log_write_failed", kind=_error_kind(error), error=repr(error))
                batch += self._waiting
                self._waiting.clear()
                self._notify_fault_change()
            for _, size, done in batch:
                self._waiting_bytes -= size
                if self.broken is None:
                    done.callback(None)
                    continue
                done.errback(StorageError(f"the disk failed: {self.broken}"))
        was_broken = self.broken is not None
        if was_broken and self._reactor is not None:
            await self._recover_from_fault()
        self._writing = False
        if self._stopping is not None:
            self._stopping.callback(None)
        if was_broken and self.broken is None:
            self._notify_fault_change()  # a callback may commit at once

    async def _recover_from_fault(self):
        """Retries with backoff until the disk holds what was confirmed; returns then, or when the log is closed."""
        pause, began_at = LOG_RECOVERY_PAUSE, self._seconds()
        while not self._is_closed:
            await sleep(self._reactor, pause * self._random.uniform(0.5, 1.0))
            pause = min(2 * pause, LOG_RECOVERY_PAUSE_MAX)
            if self._is_closed:
                return
            try:
                await self._write_confirmed_state()
            except OSError:
                continue  # the disk still fails
            except (
                Exception
            ) as error:  # a previous value cannot be read back: only a restart can determine what the disk holds
                self._log.error("log_recovery_failed", error=repr(error))
                return
            if self._is_closed:
                return
            self.broken = None
            self._log.info("log_recovered", broken_s=round(self._seconds() - began_at, 3), record=self._number)
            return

    def _notify_fault_change(self):
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
        self._previous_values.clear()

    def _confirmed_entries(self):
        """(key, value or None) of each key that a failed commit names, as it was before that commit. All are read up
        front, because the writes that follow may free the laps that hold them."""
        return [
            (key, before.read(self._disk) if type(before) is ColdValue else before)
            for key, before in self._previous_values.items()
        ]

    async def stop(self):
        """Rejects further commits, and returns once nothing more will be written."""
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
            self._previous_values.setdefault(key, self.table.stored(key))
            end += len(pack)
            self._apply(lap, key, value, end - len(value or b""))

    async def _make_room(self, size):
        """Ensures that a record of this size fits into the head lap. New data starts a lap, or is appended to one, only
        while the reserve of free files remains, so that reclaiming always has space to copy to. A start finds a smaller
        reserve if the power failed while reclaiming copied entries."""
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
        # The former lap is synced first: its last record may be an empty one, which no sync has covered yet.
        await self._sync()
        self._open_lap(self._laps[-1] + 1)
        # Then the header: if it reached the disk after its records, a former lap's header could be in front of them.
        await self._sync()

    async def _reclaim(self):
        """Copies the live entries of the oldest lap to the head and frees the lap."""
        oldest = self._laps[0]
        for batch, size in self._in_batches(self._live_entries(oldest)):
            await self._copy(batch, size)
        # The copies must be on the disk before the only other copy of these entries may be overwritten.
        await self._sync()
        self._laps.popleft()
        self._live_bytes.pop(oldest, None)

    def _live_entries(self, oldest):
        """(key, value) of each live entry in the oldest lap; removals there need not be copied."""
        for key in [key for key, (lap, _) in self._locations.items() if lap == oldest]:
            if key in self.table:
                yield key, self.table[key]
            else:
                self._locations.pop(key)

    def _in_batches(self, entries):
        """(batch, size in bytes) of these entries, packed; a batch fits one copied record, or is a single entry."""
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
