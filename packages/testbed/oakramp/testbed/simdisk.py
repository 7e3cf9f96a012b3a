"""A simulated disk: a power loss may lose unsynced writes, whole or in part.

It guarantees only this: a file holds what its last sync covered, which is every write to that file before the sync was
called; a write to another file, or one during the sync, is not covered. At a power loss, each write that no completed
sync covers may independently be present, absent or torn, or all of them are lost. Of the writes that a failed sync
should have covered, each is on the disk or is not, and no later sync covers it: an operating system may mark such pages
clean, and return them to readers until the power is lost. A failed write is reported by the next sync of its file;
reads return its data all the same as long as the process lives. Syncs in progress complete in any order.
Files are created, replaced and removed durably, as by `oakramp.storage.disk.FolderDisk`.
"""

from twisted.internet import defer


class PowerLost(Exception):
    """The machine has lost power: the disk did not perform the operation."""


class SimDisk:
    """Invariants: `_files` is what a process reads, `_durable` is what survives a power loss at least; `_unsynced`
    holds the writes between them in order."""

    def __init__(self, time, random):
        self._time, self._random = time, random
        self._files, self._durable = {}, {}
        self._unsynced = []
        self.sync_time = 0.002  # s; duration of a sync
        self.sync_spread = 0.0  # s; upper bound of the random addition to `sync_time`
        self.failing = False
        self._write_errors = {}  # file name -> the error of the first failed write since its last sync
        self._failed_writes = []  # (file name, offset, the previous bytes) of the failed writes
        self.host = None
        self.syncs = 0
        self.operations = 0  # writes, sync calls and sync completions so far
        self.loses_power_at = None  # the operation before which the power is lost
        self.power_is_lost = False

    def attach(self, host):
        """A new process opens the folder."""
        self.host = host
        self.drop_failed_writes()

    def drop_failed_writes(self):
        """Discards the data of failed writes: it was only in the memory of the process that has ended."""
        for name, offset, previous in reversed(self._failed_writes):
            self._files[name][offset : offset + len(previous)] = previous
        self._failed_writes, self._write_errors = [], {}

    def names(self):
        return sorted(self._files)

    def _check(self):
        if self.failing:
            raise OSError(28, "No space left on device")
        self.operations += 1
        if self.loses_power_at is not None and self.operations >= self.loses_power_at:
            self.power_is_lost = True
        if self.power_is_lost:
            raise PowerLost()

    def create(self, name, size):
        self._check()
        self._files[name], self._durable[name] = bytearray(size), bytearray(size)

    def size(self, name):
        return len(self._files[name])

    def read(self, name, most=-1):
        return bytes(self._files[name][:most] if most >= 0 else self._files[name])

    def read_at(self, name, offset, length):
        return bytes(self._files[name][offset : offset + length])

    def remove(self, name):
        self._check()
        del self._files[name], self._durable[name]
        self._unsynced = [write for write in self._unsynced if write[0] != name]

    def write(self, name, offset, data):
        try:
            self._check()
        except OSError as error:
            self._write_errors.setdefault(name, error)
            self._failed_writes.append((name, offset, bytes(self._files[name][offset : offset + len(data)])))
        else:
            self._unsynced.append((name, offset, bytes(data)))
            # A successful write to the same place replaces the failed one.
            self._failed_writes = [one for one in self._failed_writes if one[:2] != (name, offset)]
        self._files[name][offset : offset + len(data)] = data

    def sync(self, names):
        """Fires once all earlier writes to these files are on the disk."""
        done = defer.Deferred()
        try:
            self._check()
        except PowerLost:
            return done
        except OSError:
            pass  # reported when the sync completes, as by a real disk
        covered = self._writes_to(names)
        write_error = self.take_write_error(names)
        self.syncs += 1
        incarnation = self.host.incarnation

        def finish():
            if self.host.incarnation != incarnation:
                return
            try:
                self._check()
                if write_error is not None:
                    raise write_error
            except PowerLost:
                return
            except OSError as error:
                self._make_durable([write for write in covered if self._random.random() < 0.5])
                self._exclude(covered)
                done.errback(error)
                return
            self._make_durable(covered)
            done.callback(None)

        spread = self._random.uniform(0, self.sync_spread) if self.sync_spread else 0.0
        self._time.schedule(self.sync_time + spread, self.host, finish)
        return done

    def take_write_error(self, names):
        """The error of a write to these files that no sync has reported yet, or None; it is reported once."""
        errors = [self._write_errors.pop(name) for name in names if name in self._write_errors]
        return next(iter(errors), None)

    def _writes_to(self, names):
        return [write for write in self._unsynced if write[0] in names]

    def _make_durable(self, covered):
        """Makes these writes durable. Invariant: they are all writes to their files up to some moment."""
        durable_ids = set(map(id, covered))
        for write in [write for write in self._unsynced if id(write) in durable_ids]:
            name, offset, data = write
            self._durable[name][offset : offset + len(data)] = data
        self._exclude(covered)

    def _exclude(self, covered):
        """Excludes these writes from all later syncs."""
        excluded = set(map(id, covered))
        self._unsynced = [write for write in self._unsynced if id(write) not in excluded]

    def sync_now(self, names):
        for name in names:
            self._check()
            write_error = self.take_write_error([name])
            if write_error is not None:
                raise write_error
            self._make_durable(self._writes_to([name]))

    def replace(self, name, data):
        self._check()
        self._files[name], self._durable[name] = bytearray(data), bytearray(data)

    def close(self):
        pass

    def power_cut(self, keep=None):
        """The machine loses power and gets it back; some of the unsynced writes survive. `keep` selects which:
        `keep_none`, `keep_files` or `keep_each`, by default one of them at random."""
        keep = keep or self._random.choice((self.keep_none, self.keep_files, self.keep_each, self.keep_each))
        for name, offset, data in keep():
            self._durable[name][offset : offset + len(data)] = data
        self._unsynced, self._write_errors, self._failed_writes = [], {}, []
        self._files = {name: bytearray(data) for name, data in self._durable.items()}
        self.power_is_lost, self.loses_power_at = False, None

    def keep_none(self):
        return []

    def keep_files(self):
        """All writes to some of the files, and none to the others."""
        names = {name for name in sorted({name for name, _, _ in self._unsynced}) if self._random.random() < 0.5}
        return self._writes_to(names)

    def keep_each(self):
        """Each write independently: whole, absent, or torn."""
        for name, offset, data in self._unsynced:
            fate = self._random.randrange(3)
            if fate == 0:
                continue
            start, end = (0, len(data)) if fate == 1 else self._torn(len(data))
            yield name, offset + start, data[start:end]

    def _torn(self, length):
        """The part of a torn write that is on the disk: its beginning, or any other range."""
        ends = sorted(self._random.randrange(length + 1) for _ in range(2))
        return (0, ends[1]) if self._random.random() < 0.5 else tuple(ends)

    def damage(self, name, offset):
        """Corrupts one byte silently."""
        for files in (self._files, self._durable):
            files[name][offset] ^= 0xFF
