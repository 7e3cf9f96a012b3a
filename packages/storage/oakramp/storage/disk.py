"""The folder of one node on a real disk.

A disk gives preallocated files, whose writes last only once `sync` has fired, and small files that
are replaced whole. The simulator brings a disk with the same methods.

Writes and syncs run on a thread of their own, in the order in which they were asked for: a disk that stalls holds up
whoever waits for a sync, and nothing else of the process. A write that fails is told by the next sync of its file.
Until a sync has covered a write, its bytes are kept in memory, and `read_at` finds them there.
"""

import os
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from queue import SimpleQueue
from threading import Thread

from twisted.internet import defer

UNFINISHED = ".new"  # what a file is called until it is whole


@dataclass(frozen=True, slots=True)
class WriteOrder:
    """Bytes to be written to an open file at an offset."""

    handle: int
    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class SyncOrder:
    """Open files to be synced; `finished` is called on the thread with the error, or with None."""

    handles: list[int]
    finished: Callable[[Exception | None], None]


def _write_whole(handle, offset, data):
    """The system may take less of a write than it is given."""
    view = memoryview(data)
    while view:
        written = os.pwrite(handle, view, offset)
        view, offset = view[written:], offset + written


def _overlay(data, offset, writes):
    """The bytes at this offset of a file once these (number, offset, bytes) are written over them, in this order."""
    result, end = bytearray(data), offset + len(data)
    for _, written_at, written in writes:
        first, last = max(offset, written_at), min(end, written_at + len(written))
        if first < last:
            result[first - offset : last - offset] = written[first - written_at : last - written_at]
    return bytes(result)


class FolderDisk:
    """The files of a data folder.

    Invariants: `_unsynced[name]` are the writes (number, offset, bytes) that no good sync of the file has covered, in
    the order of their numbers; orders are carried out one after another, in the order in which they were given."""

    def __init__(self, reactor, folder):
        self._reactor, self._folder = reactor, folder
        self._make_folder()
        self._drop_unfinished()
        self._sync_folder(folder)
        # One thread: the syncs of a log follow one another, so more would only wait.
        self._orders = SimpleQueue()
        self._thread = Thread(target=self._carry_out_orders, name="oakdisk", daemon=True)
        self._thread.start()
        self._handles = {}
        self._unsynced = {}
        self._write_number = 0

    def _path(self, name):
        return os.path.join(self._folder, name)

    def _make_folder(self):
        """Makes it with all that it stands in, each of them synced into the one around it."""
        missing, around = [], self._folder
        while around and not os.path.isdir(around):
            missing.append(around)
            around = os.path.dirname(around)
        for folder in reversed(missing):
            os.makedirs(folder, exist_ok=True)
            self._sync_folder(os.path.dirname(folder) or os.curdir)

    def _drop_unfinished(self):
        """What a former process did not get whole, or a loss of power left of a name that was changed."""
        for name in self.names():
            if name.endswith(UNFINISHED):
                os.unlink(self._path(name))

    @staticmethod
    def _sync_folder(folder):
        handle = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def names(self):
        return sorted(os.listdir(self._folder))

    def create(self, name, size):
        """A file of zeros that is there in its full size or not at all, whenever the process ends: one that is too
        short could not be told from one that was damaged."""
        handle = os.open(self._path(name + UNFINISHED), os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
        os.posix_fallocate(handle, 0, size)
        os.fsync(handle)
        os.rename(self._path(name + UNFINISHED), self._path(name))
        self._sync_folder(self._folder)
        self._handles[name] = handle

    def size(self, name):
        return os.path.getsize(self._path(name))

    def read(self, name, most=-1):
        """The whole file, or its first bytes."""
        if self._unsynced.get(name):
            self._wait_for_orders()
        with open(self._path(name), "rb") as file:
            return file.read(most)

    def read_at(self, name, offset, length):
        """Bytes of a file that was written to or read at an offset before."""
        data = os.pread(self._handle(name), length, offset)
        if len(data) != length:
            raise OSError(f"{name}: {len(data)} bytes at {offset}, not {length}")
        unsynced = self._unsynced.get(name)
        return _overlay(data, offset, unsynced) if unsynced else data

    def _handle(self, name):
        if name not in self._handles:
            self._handles[name] = os.open(self._path(name), os.O_RDWR)
        return self._handles[name]

    def remove(self, name):
        """Removes a file durably."""
        if self._unsynced.pop(name, None):
            self._wait_for_orders()
        handle = self._handles.pop(name, None)
        if handle is not None:
            os.close(handle)
        os.unlink(self._path(name))
        self._sync_folder(self._folder)

    def write(self, name, offset, data):
        """Writes at this offset in bytes, soon; not durable before the next sync of the file, which tells whether it
        failed. Whoever is told so writes anew what was not synced."""
        self._write_number += 1
        self._unsynced.setdefault(name, deque()).append((self._write_number, offset, data))
        self._orders.put(WriteOrder(self._handle(name), offset, data))

    def sync(self, names):
        """Fires once all that was written to these files before this call is on the disk. Fails if one of these writes
        or a sync has failed: then any of them may be on the disk or not."""
        done, newest = defer.Deferred(), self._write_number

        def finish(error):
            if error is not None:
                done.errback(error)
                return
            self._note_synced(names, newest)
            done.callback(None)

        self._orders.put(
            SyncOrder([self._handle(name) for name in names], lambda error: self._reactor.callFromThread(finish, error))
        )
        return done

    def _note_synced(self, names, newest):
        """All writes to these files up to the one of this number are on the disk."""
        for name in names:
            unsynced = self._unsynced.get(name, ())
            while unsynced and unsynced[0][0] <= newest:
                unsynced.popleft()

    def _carry_out_orders(self):
        """The thread's work: one order after another, until it is told to end."""
        write_errors = {}  # handle -> the error of the first write since the file's last sync that failed
        while (order := self._orders.get()) is not None:
            if isinstance(order, WriteOrder):
                try:
                    _write_whole(order.handle, order.offset, order.data)
                except Exception as error:  # whatever it is, the next sync tells it
                    write_errors.setdefault(order.handle, error)
                continue
            failures = [write_errors.pop(handle) for handle in order.handles if handle in write_errors]
            try:
                for handle in order.handles:
                    os.fdatasync(handle)
            except Exception as error:
                failures.append(error)
            order.finished(failures[0] if failures else None)

    def sync_now(self, names):
        """The same, waiting; for the start of a node, before it takes part in anything."""
        newest, finished = self._write_number, SimpleQueue()
        self._orders.put(SyncOrder([self._handle(name) for name in names], finished.put))
        error = finished.get()
        if error is not None:
            raise error
        self._note_synced(names, newest)

    def _wait_for_orders(self):
        finished = SimpleQueue()
        self._orders.put(SyncOrder([], finished.put))
        finished.get()

    def replace(self, name, data):
        """A whole small file, on the disk when this returns; used at start and for rare changes only."""
        handle = os.open(self._path(name + UNFINISHED), os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            view = memoryview(data)
            while view:  # the system may take less than it is given
                view = view[os.write(handle, view) :]
            os.fsync(handle)
        finally:
            os.close(handle)
        os.rename(self._path(name + UNFINISHED), self._path(name))
        self._sync_folder(self._folder)

    def close(self):
        """Ends the thread and closes all files."""
        self._orders.put(None)
        self._thread.join()
        for handle in self._handles.values():
            os.close(handle)
        self._handles = {}
