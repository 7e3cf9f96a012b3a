"""Losses of power on a ring, at any write and any sync, over and over on the same disk.

`PowerLosses(seed).play(count)` commits at random to a small ring until the power goes, starts the ring again, and
compares it with what was asked for. It raises `Broken` if the ring does not open, if a commit that fired is missing, if
what is there is not a prefix of the commits in the order of their asking, or if a commit fails while there is power.

    python -m oakramp.testbed.powerloss FIRST_SEED SEEDS LOSSES_EACH
"""

import random
import sys

from oakramp.common.errors import OakrampError, StorageFullError
from oakramp.common.structured_logging import EventLogger
from oakramp.storage.circular_log import CircularLog
from oakramp.testbed.simdisk import PowerLost, SimDisk
from oakramp.testbed.simnet import SimHost, SimNetwork, SimTime

KEYS = 5, 10, 40, 120  # keys that the commits of a ring write to; with many of them it runs full
LONGEST = 3, 8, 20, 60  # parts of a file; the longest value of a commit is one of them
OPERATIONS = 120  # writes and syncs between two losses of power, at most
DEATHS = 0.15  # share of the ends that are a process's own: its writes stay, still unsynced


class Broken(Exception):
    """The ring broke its promise."""


class PowerLosses:
    """Invariant: `_asked` holds the commits that the ring may hold, in order, and the first `_confirmed` of them have
    fired; `_base` is the table before the first of them."""

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
        self._base, self._asked, self._confirmed, self._serial = {}, [], 0, 0
        self._ring = None
        self.losses = self.starts = self.laps = self.refusals = 0

    def play(self, losses):
        """Losses of power, each at a random operation: while the ring serves, or while it starts."""
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
                raise Broken(f"the ring failed with power on: {self._ring.broken!r}")
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
            raise Broken(f"the ring does not open: {error}") from error

    def _end(self):
        if not self._disk.power_is_lost and self._random.random() < DEATHS:
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
        place = len(self._asked)
        self._asked.append(entries)
        self._ring.commit(entries).addCallbacks(
            lambda _: self._confirm(place), lambda failure: outcome.append(failure.value)
        )
        if outcome and isinstance(outcome[0], StorageFullError):
            del self._asked[place:]
            self.refusals += 1

    def _confirm(self, place):
        self._confirmed = max(self._confirmed, place + 1)

    def _entry(self):
        key = f"k{self._random.randrange(self._key_count)}"
        if self._random.random() < 0.2:
            return key, None
        self._serial += 1
        longest = self._file_size // self._random.choice(LONGEST)
        return key, b"%d " % self._serial + self._random.randbytes(self._random.randrange(longest))

    def _compare(self):
        """What is there is a prefix of what was asked, with all that has fired; the rest is gone for good."""
        found = dict(self._ring.table.items())
        table, fitting = dict(self._base), None
        for count in range(len(self._asked) + 1):
            if count >= self._confirmed and table == found:
                fitting = count
            if count < len(self._asked):
                self._apply(table, self._asked[count])
        if fitting is None:
            raise Broken(f"what is there is no prefix of {len(self._asked)} commits from {self._confirmed} on")
        self._base, self._asked, self._confirmed = found, [], 0

    @staticmethod
    def _apply(table, entries):
        for key, value in entries:
            if value is None:
                table.pop(key, None)
            else:
                table[key] = value


def main():
    """Prints each seed that breaks the ring, and the number of losses played."""
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
        f"{played} losses of power, {starts} starts, {refusals} refusals, up to {laps + 1} laps; "
        f"{broken} of {seeds} seeds broken"
    )
    sys.exit(bool(broken))


if __name__ == "__main__":
    main()
