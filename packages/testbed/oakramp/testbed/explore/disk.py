"""A disk whose syncs end when the schedule says so, and which loses all or none of what was not synced."""

from twisted.internet import defer

from oakramp.testbed.simdisk import SimDisk


class ModelDisk(SimDisk):
    """Invariant: `syncs_waiting` are the syncs under way of the process that has the disk open, oldest first."""

    def __init__(self):
        super().__init__(None, None)
        self.syncs_waiting = []

    def sync(self, names):
        done = defer.Deferred()
        self.syncs_waiting.append((self._writes_to(names), done))
        return done

    def end_sync(self):
        """The oldest sync under way ends: what had been written to its files when it began lasts."""
        covered, done = self.syncs_waiting.pop(0)
        self._settle(covered)
        done.callback(None)

    def process_ended(self, keeps_unsynced):
        """The process is gone, or the power: what was not synced has reached the disk, or none of it has."""
        self.syncs_waiting = []
        if not keeps_unsynced:
            self._unsynced = []
            self._files = {name: bytearray(data) for name, data in self._durable.items()}
            return
        self._settle(list(self._unsynced))
