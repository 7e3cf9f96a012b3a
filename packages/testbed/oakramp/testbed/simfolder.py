"""The system calls that `oakramp.storage.disk.FolderDisk` makes, on a simulated folder with power losses.

After a power loss, a file holds what its last sync covered, and each later write is present or not. Syncing a new file
makes its name durable too. A name that was created, renamed or removed without a sync of its folder may independently
survive or be lost.
"""

import io
import os.path
from types import SimpleNamespace

from oakramp.testbed.simdisk import PowerLost


class _File:
    """Invariant: `durable` is what survives a power loss at least, and `writes` are the later writes, in order."""

    def __init__(self):
        self.content, self.durable, self.writes = bytearray(), bytearray(), []

    def change(self, offset, data):
        self._put(self.content, offset, data)
        self.writes.append((offset, bytes(data)))

    @staticmethod
    def _put(content, offset, data):
        content.extend(bytes(max(0, offset + len(data) - len(content))))
        content[offset : offset + len(data)] = data

    def sync(self):
        self.durable, self.writes = bytearray(self.content), []

    def lose_power(self, random):
        for offset, data in self.writes:
            if random.random() < 0.5:
                self._put(self.durable, offset, data[: random.randrange(len(data) + 1)])
        self.content, self.writes = bytearray(self.durable), []


class SimFolder:
    """Invariants: `_names` is the folder as a process sees it, `_durable_names` is what survives a power loss at least,
    and `_changes` are the (name, file or None) between them, in order. A path is that of the folder, or of a file in
    it."""

    O_RDONLY, O_RDWR, O_WRONLY, O_CREAT, O_TRUNC = os.O_RDONLY, os.O_RDWR, os.O_WRONLY, os.O_CREAT, os.O_TRUNC

    def __init__(self, folder, random):
        self._folder, self._random = folder, random
        self._names, self._durable_names, self._changes = {}, {}, []
        self._handles, self._next_handle = {}, 3
        self.calls, self.loses_power_at = 0, None
        self.path = SimpleNamespace(
            join=os.path.join, getsize=lambda path: len(self._file(path).content), isdir=lambda path: True
        )

    def _tick(self):
        self.calls += 1
        if self.loses_power_at is not None and self.calls >= self.loses_power_at:
            raise PowerLost()

    def _name(self, path):
        return os.path.relpath(path, self._folder)

    def _file(self, path):
        return self._names[self._name(path)]

    def _set(self, name, file):
        self._changes.append((name, file))
        if file is None:
            del self._names[name]
        else:
            self._names[name] = file

    def makedirs(self, _folder, exist_ok):
        """Does nothing: the folder exists."""

    def listdir(self, _folder):
        return list(self._names)

    def open(self, path, flags, _mode=0):
        self._tick()
        if path == self._folder:
            file = None
        else:
            if flags & os.O_CREAT and self._name(path) not in self._names:
                self._set(self._name(path), _File())
            file = self._file(path)
            if flags & os.O_TRUNC and file.content:
                file.content = bytearray()
                file.durable, file.writes = self._random.choice((bytearray(), file.durable)), []
        self._next_handle += 1
        self._handles[self._next_handle] = file
        return self._next_handle

    def close(self, handle):
        del self._handles[handle]

    def fsync(self, handle):
        self._tick()
        file = self._handles[handle]
        if file is None:
            self._durable_names, self._changes = dict(self._names), []
            return
        file.sync()
        for name in [name for name, one in self._names.items() if one is file and (name, file) in self._changes]:
            if name not in self._durable_names:  # only for a new file: a rename needs a sync of the folder
                self._durable_names[name] = file

    fdatasync = fsync

    def posix_fallocate(self, handle, offset, size):
        self._tick()
        self._handles[handle].change(offset, bytes(size))

    def write(self, handle, data):
        """Writes at least one byte, but maybe not all, as the system call may."""
        self._tick()
        written = self._random.randrange(1, len(data) + 1) if data else 0
        file = self._handles[handle]
        file.change(len(file.content), data[:written])
        return written

    def pwrite(self, handle, data, offset):
        self._tick()
        written = self._random.randrange(1, len(data) + 1) if len(data) else 0
        self._handles[handle].change(offset, data[:written])
        return written

    def rename(self, previous, new):
        self._tick()
        file = self._file(previous)
        self._set(self._name(new), file)
        self._set(self._name(previous), None)

    def unlink(self, path):
        self._tick()
        self._set(self._name(path), None)

    def open_to_read(self, path, _mode):
        return io.BytesIO(self._file(path).content)

    def lose_power(self):
        """The machine loses power and restarts; each unsynced change of a name independently survives or is lost."""
        for name, file in self._changes:
            if self._random.random() < 0.5:
                continue
            if file is None:
                self._durable_names.pop(name, None)
            else:
                self._durable_names[name] = file
        for file in set(self._durable_names.values()):
            file.lose_power(self._random)
        self._names, self._changes, self._handles = dict(self._durable_names), [], {}
        self.loses_power_at = None
