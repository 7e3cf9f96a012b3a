"""The data folder of one node on a real disk.

A disk provides preallocated files, whose writes are durable only once `sync` has fired, and small files that are
replaced atomically. The simulator provides a disk with the same methods.

Writes and syncs run on a separate thread, in the order in which they were requested: a disk that stalls delays only
those that wait for a sync, and nothing else in the process. A failed write is reported by the next sync of its file.
Until a sync has covered a write, its bytes are kept in memory, and `read_at` returns them from there.
"""

import os
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from queue import SimpleQueue
from threading import Thread

from twisted.internet import defer

UNFINISHED = ".new"  # suffix of a file until it is complete


@dataclass(frozen=True, slots=True)
class WriteRequest:
    """Bytes to be written to an open file at an offset."""

    handle: int
    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """Open files to be synced; `finished` is called on the disk thread with the error, or with None."""

    handles: list[int]
    finished: Callable[[Exception | None], None]


def _write_whole(handle, offset, data):
    """Writes all the data; the operating system may write fewer bytes than it is given."""
    view = memoryview(data)
    while view:
        written = os.pwrite(handle, view, offset)
        view, offset = view[written:], offset + written


def _overlay(data, offset, writes):
    """The bytes at this offset of a file after these writes (number, offset, bytes) are applied to them, in order."""
    result, end = bytearray(data), offset + len(data)
    for _, written_at, written in writes:
        first, last = max(offset, written_at), min(end, written_at + len(written))
        if first < last:
            result[first - offset : last - offset] = written[first - written_at : last - written_at]
    return bytes(result)


class FolderDisk:
    """The files of a data folder.

    Invariants: `_unsynced[name]` are the writes (number, offset, bytes) that no successful sync of the file has
    covered, in the order of their numbers; requests are processed one after another, in the order in which they were
    queued."""

    def __init__(self, reactor, folder):
        self._reactor, self._folder = reactor, folder
        self._make_folder()
        self._drop_unfinished()
        self._sync_folder(folder)
        # One thread: the syncs of a log are sequential, so further threads would only wait.
        self._requests = SimpleQueue()
        self._thread = Thread(target=self._process_requests, name="oakdisk", daemon=True)
        self._thread.start()
        self._handles = {}
        self._unsynced = {}
        self._write_number = 0

    def _path(self, name):
        return os.path.join(self._folder, name)

    def _make_folder(self):
        """Creates the folder with its missing parents, and syncs the parent of each folder created."""
        missing, parent = [], self._folder
        while parent and not os.path.isdir(parent):
            missing.append(parent)
            parent = os.path.dirname(parent)
        for folder in reversed(missing):
            os.makedirs(folder, exist_ok=True)
            self._sync_folder(os.path.dirname(folder) or os.curdir)

    def _drop_unfinished(self):
        """Removes files that a former process did not complete, or whose rename was lost in a power failure."""
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
        """Creates a file of zeros that exists in its full size or not at all, whenever the process ends: a file that is
        too short could not be distinguished from a damaged one."""
        handle = os.open(self._path(name + UNFINISHED), os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
        os.posix_fallocate(handle, 0, size)
        os.fsync(handle)
        os.rename(self._path(name + UNFINISHED), self._path(name))
        self._sync_folder(self._folder)
        self._handles[name] = handle

    def size(self, name):
        return os.path.getsize(self._path(name))

    def read(self, name, most=-1):
        """The whole file, or its first `most` bytes."""
        if self._unsynced.get(name):
            self._wait_for_requests()
        with open(self._path(name), "rb") as file:
            return file.read(most)

    def read_at(self, name, offset, length):
        """`length` bytes at this offset of an existing file, including writes that are not synced yet."""
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
            self._wait_for_requests()
        handle = self._handles.pop(name, None)
        if handle is not None:
            os.close(handle)
        os.unlink(self._path(name))
        self._sync_folder(self._folder)

    def write(self, name, offset, data):
        """Queues a write at this offset in bytes; it is not durable before the next sync of the file, which reports
        whether it failed. After a failure the caller must rewrite what was not synced."""
        self._write_number += 1
        self._unsynced.setdefault(name, deque()).append((self._write_number, offset, data))
        self._requests.put(WriteRequest(self._handle(name), offset, data))

    def sync(self, names):
        """Fires once everything written to these files before this call is on the disk. Fails if one of these writes or
        a sync has failed: then any of these writes may be on the disk or not."""
        done, newest = defer.Deferred(), self._write_number

        def finish(error):
            if error is not None:
                done.errback(error)
                return
            self._note_synced(names, newest)
            done.callback(None)

        self._requests.put(
            SyncRequest(
                [self._handle(name) for name in names], lambda error: self._reactor.callFromThread(finish, error)
            )
        )
        return done

    def _note_synced(self, names, newest):
        """Drops the writes to these files up to the one with this number, which are on the disk now."""
        for name in names:
            unsynced = self._unsynced.get(name, ())
            while unsynced and unsynced[0][0] <= newest:
                unsynced.popleft()

    def _process_requests(self):
        """Runs on the disk thread: processes one request after another, until it receives None."""
        write_errors = {}  # handle -> the error of the first write that failed since the file's last sync
        while (request := self._requests.get()) is not None:
            if isinstance(request, WriteRequest):
                try:
                    _write_whole(request.handle, request.offset, request.data)
                except Exception as error:  # of any kind; the next sync reports it
                    write_errors.setdefault(request.handle, error)
                continue
            failures = [write_errors.pop(handle) for handle in request.handles if handle in write_errors]
            try:
                for handle in request.handles:
                    os.fdatasync(handle)
            except Exception as error:
                failures.append(error)
            request.finished(failures[0] if failures else None)

    def sync_now(self, names):
        """Like `sync`, but blocks until done; for the start of a node, before it serves or joins anything."""
        newest, finished = self._write_number, SimpleQueue()
        self._requests.put(SyncRequest([self._handle(name) for name in names], finished.put))
        error = finished.get()
        if error is not None:
            raise error
        self._note_synced(names, newest)

    def _wait_for_requests(self):
        finished = SimpleQueue()
        self._requests.put(SyncRequest([], finished.put))
        finished.get()

    def replace(self, name, data):
        """Replaces a small file atomically; it is on the disk when this returns. It blocks: for the start and
        rare changes only."""
        handle = os.open(self._path(name + UNFINISHED), os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            view = memoryview(data)
            while view:  # the operating system may write fewer bytes than it is given
                view = view[os.write(handle, view) :]
            os.fsync(handle)
        finally:
            os.close(handle)
        os.rename(self._path(name + UNFINISHED), self._path(name))
        self._sync_folder(self._folder)

    def close(self):
        """Ends the thread and closes all files."""
        self._requests.put(None)
        self._thread.join()
        for handle in self._handles.values():
            os.close(handle)
        self._handles = {}
