"""The folder of one node on a real disk.

A disk gives preallocated files, whose writes last only once `sync` has fired, and small files that
are replaced whole. The lab brings a simulated disk with the same methods.
"""

import os
from queue import SimpleQueue
from threading import Thread

from twisted.internet import defer

UNFINISHED = ".new"  # what a file is called until it is whole


class FolderDisk:
    """The files of a data folder. Syncs run on a thread of their own; everything else is done at once."""

    def __init__(self, reactor, folder):
        self._reactor, self._folder = reactor, folder
        self._make_folder()
        self._drop_unfinished()
        self._sync_folder(folder)
        # One thread: the syncs of a ring follow one another, so more would only wait.
        self._orders = SimpleQueue()
        self._thread = Thread(target=self._sync_orders, name="oakdisk", daemon=True)
        self._thread.start()
        self._handles = {}

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
        with open(self._path(name), "rb") as file:
            return file.read(most)

    def read_at(self, name, offset, length):
        """Bytes of a file that was written to or read at an offset before."""
        if name not in self._handles:
            self._handles[name] = os.open(self._path(name), os.O_RDWR)
        data = os.pread(self._handles[name], length, offset)
        if len(data) != length:
            raise OSError(f"{name}: {len(data)} bytes at {offset}, not {length}")
        return data

    def remove(self, name):
        """Removes a file durably."""
        handle = self._handles.pop(name, None)
        if handle is not None:
            os.close(handle)
        os.unlink(self._path(name))
        self._sync_folder(self._folder)

    def write(self, name, offset, data):
        """Writes at this offset in bytes; not durable before the next sync of the file."""
        if name not in self._handles:
            self._handles[name] = os.open(self._path(name), os.O_RDWR)
        view = memoryview(data)
        while view:
            written = os.pwrite(self._handles[name], view, offset)
            view, offset = view[written:], offset + written

    def sync(self, names):
        """Fires once all that was written to these files before this call is on the disk."""
        done = defer.Deferred()
        self._orders.put(([self._handles[name] for name in names], done))
        return done

    def _sync_orders(self):
        """The thread's work: one sync after another, until it is told to end."""
        while (order := self._orders.get()) is not None:
            handles, done = order
            try:
                for handle in handles:
                    os.fdatasync(handle)
            except OSError as error:
                self._reactor.callFromThread(done.errback, error)
            else:
                self._reactor.callFromThread(done.callback, None)

    def sync_now(self, names):
        """The same, waiting; for the start of a node, before it takes part in anything."""
        for name in names:
            self.write(name, 0, b"")
            os.fdatasync(self._handles[name])

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
