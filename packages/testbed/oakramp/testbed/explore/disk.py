"""A disk whose syncs end when the schedule says so, and which loses all or none of what was not synced.

It may also refuse: then writes fail, which the next sync of their file tells, and each sync that ends meanwhile fails.
Of what a failed sync should have covered the earlier half is on the disk, and no later sync covers the rest.
"""

import errno
from typing import Any, NamedTuple

from twisted.internet import defer

from oakramp.testbed.simdisk import SimDisk


class WaitingSync(NamedTuple):
    """A sync under way: the writes that it covers, the error of one of them that has failed, and who waits for it."""

    covered: list
    write_error: OSError | None
    done: Any


class ModelDisk(SimDisk):
    """Invariant: `syncs_waiting` are the syncs under way of the process that has the disk open, oldest first. With
    `failing` set the disk refuses."""

    def __init__(self):
        super().__init__(None, None)
        self.syncs_waiting = []

    def sync(self, names):
        done = defer.Deferred()
        self.syncs_waiting.append(WaitingSync(self._writes_to(names), self.take_write_error(names), done))
        return done

    def end_sync(self):
        """The oldest sync under way ends: what had been written to its files when it began lasts, unless it fails."""
        covered, write_error, done = self.syncs_waiting.pop(0)
        if write_error is None and not self.failing:
            self._make_durable(covered)
            done.callback(None)
            return
        self._make_durable(covered[: len(covered) // 2])
        self._exclude(covered)
        done.errback(write_error or OSError(errno.EIO, "the disk refuses"))

    def process_ended(self, keeps_unsynced):
        """The process is gone, or the power: what was not synced has reached the disk, or none of it has."""
        self.syncs_waiting = []
        self.drop_failed_writes()
        if not keeps_unsynced:
            self._unsynced = []
            self._files = {name: bytearray(data) for name, data in self._durable.items()}
            return
        self._make_durable(list(self._unsynced))
