"""A disk whose syncs complete when the schedule says so, and which loses all or none of the unsynced writes.

It may also fail for a while: then writes fail, which the next sync of their file reports, and so do all syncs that
complete meanwhile. Of the writes that a failed sync should have covered, the earlier half is on the disk, and no later
sync covers the rest.
"""

import errno
from typing import Any, NamedTuple

from twisted.internet import defer

from oakramp.testbed.simdisk import SimDisk


class WaitingSync(NamedTuple):
    """A sync in progress: the writes that it covers, the error of a failed one, and the Deferred that it fires."""

    covered: list
    write_error: OSError | None
    done: Any


class ModelDisk(SimDisk):
    """Invariant: `syncs_waiting` are the syncs in progress of the process that has the disk open, oldest first. While
    `failing` is set, the disk rejects writes."""

    def __init__(self):
        super().__init__(None, None)
        self.syncs_waiting = []

    def sync(self, names):
        done = defer.Deferred()
        self.syncs_waiting.append(WaitingSync(self._writes_to(names), self.take_write_error(names), done))
        return done

    def end_sync(self):
        """Completes the oldest sync in progress: the writes to its files before it are durable, unless it fails."""
        covered, write_error, done = self.syncs_waiting.pop(0)
        if write_error is None and not self.failing:
            self._make_durable(covered)
            done.callback(None)
            return
        self._make_durable(covered[: len(covered) // 2])
        self._exclude(covered)
        done.errback(write_error or OSError(errno.EIO, "the disk rejects writes"))

    def process_ended(self, keeps_unsynced):
        """The process has ended or the machine lost power: all or none of the unsynced writes are on the disk."""
        self.syncs_waiting = []
        self.drop_failed_writes()
        if not keeps_unsynced:
            self._unsynced = []
            self._files = {name: bytearray(data) for name, data in self._durable.items()}
            return
        self._make_durable(list(self._unsynced))
