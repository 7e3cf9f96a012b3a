"""Repeated power losses of a circular log on the same disk, at any write and any sync.

`PowerLosses(seed).play(count)` makes random commits to a small log until the power is lost, opens the log again, and
compares it with the commits. It raises `Broken` if the log does not open, if a confirmed commit is missing, if the
content is not that of a prefix of the commits in the order of their calls, or if a commit fails while there is power.

    python -m oakramp.testbed.powerloss FIRST_SEED SEEDS LOSSES_EACH
"""

import random
import sys

from oakramp.common.errors import OakrampError, StorageFullError
from oakramp.common.structured_logging import EventLogger
from oakramp.storage.circular_log import CircularLog
from oakramp.testbed.simdisk import PowerLost, SimDisk
from oakramp.testbed.simnet import SimHost, SimNetwork, SimTime

KEYS = 5, 10, 40, 120  # numbers of keys that the commits write to; with many of them the log runs full
LONGEST = 3, 8, 20, 60  # the longest value of a commit is the file size divided by one of these
OPERATIONS = 120  # writes and syncs between two power losses, at most
PROCESS_ENDS = 0.15  # share of ends of the process without a power loss: its unsynced writes stay on the disk


class Broken(Exception):
    """The circular log violated a guarantee."""


class PowerLosses:
    """Invariant: `_pending` holds the commits that the log may contain, in order, and the first `_confirmed` of them
    have been confirmed; `_base` is the table before the first of them."""

    def __init__(self, seed):
        self._random = random.Random(f"power {seed}")
        self._time = SimTime()
        self._host = SimHost(SimNetwork(self._time, self._random), "127.0.0.1")
        self._disk = SimDisk(self._time, self._random)
        self._disk.sync_spread = self._random.choice((0.0, 0.004))
        self._file_size = self._random.choice((512, 1024, 4096, 12000))
        self._shares = self._random.choice((2, 4))
        self._hot_bytes = self._random.choice((None, 3000))
        self._key_count = self._random.choice(KEYS)
        self._base, self._pending, self._confirmed, self._serial = {}, [], 0, 0
        self._ring = None
        self.losses = self.starts = self.laps = self.refusals = 0

    def play(self, losses):
        """Runs this many power losses, each at a random operation, in service or during a start."""
        while self.losses < losses:
            self._disk.loses_power_at = self._disk.operations + self._random.randrange(1, OPERATIONS)
            self._start_and_commit()
            self._end()

    def _start_and_commit(self):
        try:
            self._open()
        except PowerLost:
            return
        self._compare()
        for _ in range(self._random.randrange(1, OPERATIONS)):
            self._commit()
            if self._random.random() < 0.5:
                self._time.advance_to(self._time.now + self._random.uniform(0, 0.01))
            if self._disk.power_is_lost:
                return
            if self._ring.broken is not None:
                raise Broken(f"the log failed without a power loss: {self._ring.broken!r}")
        self.laps = max(self.laps, self._ring._laps[-1])

    def _open(self):
        self._disk.attach(self._host)
        self.starts += 1
        try:
            self._ring = CircularLog(
                self._disk,
                EventLogger(lambda line: None),
                self._file_size,
                commit_share=self._shares,
                hot_bytes=self._hot_bytes,
            )
        except OakrampError as error:
            raise Broken(f"the log does not open: {error}") from error

    def _end(self):
        if not self._disk.power_is_lost and self._random.random() < PROCESS_ENDS:
            self._disk.loses_power_at = None
            self._host.end(power_cut=False)
        else:
            self.losses += 1
            self._host.end(power_cut=True)
            self._disk.power_cut()
        self._host.up = True

    def _commit(self):
        entries = [self._entry() for _ in range(self._random.choice((1, 1, 1, 2, 4)))]
        outcome = []
        position = len(self._pending)
        self._pending.append(entries)
        self._ring.commit(entries).addCallbacks(
            lambda _: self._confirm(position), lambda failure: outcome.append(failure.value)
        )
        if outcome and isinstance(outcome[0], StorageFullError):
            del self._pending[position:]
            self.refusals += 1

    def _confirm(self, position):
        self._confirmed = max(self._confirmed, position + 1)

    def _entry(self):
        key = f"k{self._random.randrange(self._key_count)}"
        if self._random.random() < 0.2:
            return key, None
        self._serial += 1
        longest = self._file_size // self._random.choice(LONGEST)
        return key, b"%d " % self._serial + self._random.randbytes(self._random.randrange(longest))

    def _compare(self):
        """Checks that the content is that of a prefix of the commits, with all confirmed ones; the others are lost for
        good."""
        content = dict(self._ring.table.items())
        table, matching = dict(self._base), None
        for count in range(len(self._pending) + 1):
            if count >= self._confirmed and table == content:
                matching = count
            if count < len(self._pending):
                self._apply(table, self._pending[count])
        if matching is None:
            raise Broken(f"the content is that of no prefix of {len(self._pending)} commits from {self._confirmed} on")
        self._base, self._pending, self._confirmed = content, [], 0

    @staticmethod
    def _apply(table, entries):
        for key, value in entries:
            if value is None:
                table.pop(key, None)
            else:
                table[key] = value


def main():
    """Prints each seed that breaks the log, and the number of power losses."""
    first, seeds, losses_each = map(int, sys.argv[1:4])
    played, starts, refusals, laps, broken = 0, 0, 0, 0, 0
    for seed in range(first, first + seeds):
        case = PowerLosses(seed)
        try:
            case.play(losses_each)
        except Broken as error:
            broken += 1
            print(f"seed {seed}, loss {case.losses}: {error}")
        played += case.losses
        starts += case.starts
        refusals += case.refusals
        laps = max(laps, case.laps)
    print(
        f"{played} power losses, {starts} starts, {refusals} rejected commits, up to {laps + 1} laps; "
        f"{broken} of {seeds} seeds broken"
    )
    sys.exit(bool(broken))


if __name__ == "__main__":
    main()
