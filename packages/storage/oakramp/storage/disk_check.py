"""Checks the files of a ring offline, without changing them."""

import os
import re
from dataclasses import dataclass, field

from oakramp.common.errors import StorageError
from oakramp.common.structured_logging import EventLogger
from oakramp.storage.circular_log import CircularLog
from oakramp.storage.log_format import LAP_SIZE, lap_header

RING_FILE = re.compile(r"ring\.(\d{3})")
DEFAULT_FILE_SIZE = 4096  # bytes; if the first ring file is empty


class ReadOnlyDisk:
    """The disk interface that a ring expects, on a folder. Records what a start would write, without writing it.

    Invariant: a ring writes only after it has read and accepted everything, so it never needs to read back its own
    writes."""

    def __init__(self, folder, file_size):
        self._folder, self._file_size = folder, file_size
        self.would_make, self.would_wipe = [], []

    def _path(self, name):
        return os.path.join(self._folder, name)

    def names(self):
        return sorted(os.listdir(self._folder))

    def size(self, name):
        return os.path.getsize(self._path(name))

    def read(self, name, most=-1):
        """The first `most` bytes of a file, or all of them."""
        if name in self.would_make:
            return bytes(self._file_size if most < 0 else most)
        with open(self._path(name), "rb") as file:
            return file.read(most)

    def read_at(self, name, offset, length):
        """`length` bytes at this offset."""
        with open(self._path(name), "rb") as file:
            file.seek(offset)
            return file.read(length)

    def create(self, name, _size):
        self.would_make.append(name)

    def write(self, name, offset, data):
        """Records a write that would change the content of a file; nothing is written."""
        if name not in self.would_make and self.read_at(name, offset, len(data)) != data:
            self.would_wipe.append((name, offset, len(data)))

    def sync_now(self, _names):
        """There is nothing to sync."""


@dataclass
class LogReport:
    """What a start would find. `damage` is the reason why the start would fail, or None; `notes` are what it would log
    and do."""

    file_size: int = 0
    laps: list = field(default_factory=list)  # (file, lap, first number, number synced before it)
    entries: int = 0
    live_bytes: int = 0
    newest_record: int = 0
    damage: str | None = None
    notes: list = field(default_factory=list)


def check_ring(folder):
    """A LogReport of this folder, or None if it holds no ring files."""
    numbers = sorted(int(found[1]) for name in os.listdir(folder) if (found := RING_FILE.fullmatch(name)))
    if not numbers:
        return None
    file_size = os.path.getsize(os.path.join(folder, f"ring.{numbers[0]:03d}"))
    disk, report = ReadOnlyDisk(folder, file_size), LogReport(file_size)
    report.laps = _laps(disk, numbers)
    notes = EventLogger(report.notes.append)
    try:
        ring = CircularLog(disk, notes, file_size or DEFAULT_FILE_SIZE, numbers[-1] + 1, hot_bytes=0)
    except StorageError as error:
        report.damage = error.reason
        return report
    report.entries, report.live_bytes = len(ring.table), ring.live_bytes()
    report.newest_record = ring.newest_record
    report.notes += [f"{name} would be created: a first start was interrupted" for name in disk.would_make]
    report.notes += [
        f"{length} bytes of {name} at {offset} would be wiped: they hold no confirmed commit"
        for name, offset, length in disk.would_wipe
    ]
    return report


def _laps(disk, numbers):
    rows = []
    for name in (f"ring.{number:03d}" for number in numbers):
        header = lap_header(disk.read(name, LAP_SIZE))
        if header is not None:
            rows.append((name, header.lap, header.first_number, header.synced_number))
    return sorted(rows, key=lambda row: row[1])
