"""A simulated disk: what was not synced may be lost, whole or in part, when the power goes."""

from twisted.internet import defer


class SimDisk:
    """Invariants: `_files` is what a process reads, `_durable` what a power cut leaves at least; `_unsynced`
    holds the writes between them in order."""

    def __init__(self, time, random):
        self._time, self._random = time, random
        self._files, self._durable = {}, {}
        self._unsynced = []
        self.sync_time = 0.002
        self.failing = False
        self.host = None
        self.syncs = 0

    def attach(self, host):
        """A new process opens the folder."""
        self.host = host

    def names(self):
        return sorted(self._files)

    def _check(self):
        if self.failing:
            raise OSError(28, "No space left on device")

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
        self._check()
        self._files[name][offset : offset + len(data)] = data
        self._unsynced.append((name, offset, bytes(data)))

    def sync(self, names):
        done = defer.Deferred()
        count = len(self._unsynced)
        self.syncs += 1
        incarnation = self.host.incarnation

        def finish():
            if self.host.incarnation != incarnation:
                return
            try:
                self._check()
            except OSError as error:
                done.errback(error)
                return
            self._settle(count)
            done.callback(None)

        self._time.schedule(self.sync_time, self.host, finish)
        return done

    def _settle(self, count):
        for name, offset, data in self._unsynced[:count]:
            self._durable[name][offset : offset + len(data)] = data
        del self._unsynced[:count]

    def sync_now(self, names):
        self._settle(len(self._unsynced))

    def replace(self, name, data):
        self._check()
        self._files[name], self._durable[name] = bytearray(data), bytearray(data)

    def close(self):
        pass

    def power_cut(self):
        """Each write that was not synced has reached the disk, or not, or only its front."""
        for name, offset, data in self._unsynced:
            kept = self._random.choice((0, len(data), self._random.randrange(len(data) + 1)))
            self._durable[name][offset : offset + kept] = data[:kept]
        self._unsynced = []
        self._files = {name: bytearray(data) for name, data in self._durable.items()}

    def damage(self, name, offset):
        """One byte goes bad without a word."""
        for files in (self._files, self._durable):
            files[name][offset] ^= 0xFF
