"""The circular log: power failures at every point, and disks that lose or corrupt data they had confirmed."""

import random
import unittest

from oakramp.common.errors import StorageCorruptedError, StorageError, StorageFullError
from oakramp.common.structured_logging import EventLogger
from oakramp.storage.circular_log import LOST_HEAD_READ, CircularLog
from oakramp.storage.log_format import LAP_SIZE, RECORD, pack_lap, pack_record, record_mark
from oakramp.storage.log_table import ColdValue
from oakramp.testbed.powerloss import PowerLosses
from oakramp.testbed.simdisk import SimDisk
from oakramp.testbed.simnet import SimHost, SimNetwork, SimTime

FILE_SIZE = 4096
LOW_RESERVE_SEEDS = 357, 919, 1455  # power is lost while reclaiming copies entries, in rings that are nearly full


class Rig:
    def __init__(self, seed=0, file_size=FILE_SIZE, hot_bytes=None):
        self.time, self.random, self.file_size, self.hot_bytes = SimTime(), random.Random(seed), file_size, hot_bytes
        self.host = SimHost(SimNetwork(self.time, self.random), "127.0.0.1")
        self.disk = SimDisk(self.time, self.random)
        self.lines = []
        self.open()

    def open(self):
        self.disk.attach(self.host)
        self.ring = CircularLog(self.disk, EventLogger(self.lines.append), self.file_size, hot_bytes=self.hot_bytes)

    def commit(self, *entries):
        """Starts a commit; the returned list receives True or the error once the outcome is known."""
        outcome = []
        self.ring.commit(entries).addCallbacks(
            lambda _: outcome.append(True), lambda failure: outcome.append(failure.value)
        )
        return outcome

    def commit_now(self, *entries):
        outcome = self.commit(*entries)
        self.time.advance_to(self.time.now + 1.0)
        return outcome[0]

    def power_cut(self):
        self.host.end(power_cut=True)
        self.disk.power_cut()
        self.host.up = True


class PowerLossTest(unittest.TestCase):
    """The disk model is that of oakramp.testbed.simdisk: a sync covers the writes to one file up to its call, and
    nothing else."""

    def test_power_lost_at_any_write_and_sync(self):
        """
        ring                                    disk
        commits, laps that wrap, reclaiming,
        recovery after a power loss       --->  loses power before any write, sync or end of a sync, repeatedly
        starts again                      <---  unsynced writes are present, torn or lost, individually or all
        holds a prefix of the requested commits, with all that were confirmed
        """
        for seed in (*range(250), *LOW_RESERVE_SEEDS):
            with self.subTest(seed=seed):
                PowerLosses(seed).play(10)

    def test_a_confirmed_commit_survives_the_loss_of_all_unsynced_writes(self):
        """Power is lost after every fifth commit of a ring whose laps wrap, and all unsynced writes with it."""
        rig = Rig(3)
        wanted = {}
        for number in range(400):
            key, value = f"k{number % 9}", bytes([number % 256]) * rig.random.randrange(1, 150)
            self.assertIs(rig.commit_now((key, value)), True)
            wanted[key] = value
            if number % 5 == 4:
                rig.host.end(power_cut=True)
                rig.disk.power_cut(rig.disk.keep_none)
                rig.host.up = True
                rig.open()
                self.assertEqual(rig.ring.table, wanted)
        self.assertGreater(rig.ring._laps[-1], 8)

    def ring_in_second_lap(self):
        """A ring two commits into its second lap, and the offset of the last record of the first lap, an empty one."""
        rig = Rig()
        while rig.ring._laps[-1] == 0:
            end = rig.ring._offset
            self.assertIs(rig.commit_now(("a", b"v" * 100)), True)
        self.assertLess(end + RECORD.size, FILE_SIZE)
        self.assertIs(rig.commit_now(("b", b"last")), True)
        rig.power_cut()
        return rig, end - RECORD.size

    def lose(self, rig, name, offset, data):
        for files in (rig.disk._files, rig.disk._durable):
            files[name][offset : offset + len(data)] = data

    def first_number(self, rig):
        return int.from_bytes(rig.disk.read("ring.001")[20:28], "little")

    def test_a_missing_empty_record_of_an_earlier_release_is_tolerated(self):
        """An earlier release did not sync the empty record before a new lap, whose header names what was synced."""
        rig, place = self.ring_in_second_lap()
        first = self.first_number(rig)
        self.lose(rig, "ring.000", place, bytes(RECORD.size))
        self.lose(rig, "ring.001", 0, pack_lap(1, first, first - 2))
        for _ in range(2):
            rig.open()
            self.assertEqual(rig.ring.table, {"a": b"v" * 100, "b": b"last"})
            self.assertTrue(any("log_marker_lost" in line for line in rig.lines))
            self.assertIs(rig.commit_now(("c", b"more")), True)
            self.assertIs(rig.commit_now(("c", None)), True)
            rig.power_cut()

    def test_any_other_missing_record_is_corruption(self):
        """
        lap started by this release       names every record before it as synced: a missing empty one is corruption too
        lap of an earlier release         the missing record is not an empty one: rejected
        lap of an earlier release         two records are missing: rejected
        """
        rig, place = self.ring_in_second_lap()
        self.lose(rig, "ring.000", place, bytes(RECORD.size))
        with self.assertRaises(StorageCorruptedError):
            rig.open()
        rig, place = self.ring_in_second_lap()
        first = self.first_number(rig)
        self.lose(rig, "ring.001", 0, pack_lap(1, first, first - 2))
        self.lose(rig, "ring.000", place, record_mark(0) + (9).to_bytes(4, "little") + bytes(RECORD.size))
        with self.assertRaises(StorageCorruptedError):
            rig.open()
        rig, place = self.ring_in_second_lap()
        self.lose(rig, "ring.001", 0, pack_lap(1, first, first - 2))
        self.lose(rig, "ring.000", place - 10, bytes(RECORD.size + 10))
        with self.assertRaises(StorageCorruptedError):
            rig.open()

    def test_records_that_a_start_dropped_never_return(self):
        """
        disk                                             ring
        the end of lap 0 is lost, lap 1 was not synced   drops lap 1, and wipes its records
        continues from there                             starts lap 1 again, reusing the numbers of dropped records
        """
        for header_is_there in (True, False):
            rig, place = self.ring_in_second_lap()
            first = self.first_number(rig)
            # As an earlier release could leave it: nothing in lap 1 names a record from this offset on as synced.
            lap = rig.disk.read("ring.001")
            marks = [at for at in range(LAP_SIZE, FILE_SIZE) if lap.startswith(record_mark(1), at)]
            self.lose(rig, "ring.001", marks[1], bytes(FILE_SIZE - marks[1]))
            self.lose(rig, "ring.001", 0, pack_lap(1, first, 0) if header_is_there else bytes(LAP_SIZE))
            rewritten = pack_record(1, first, 0, lap[LAP_SIZE + RECORD.size : marks[1]])
            self.lose(rig, "ring.001", LAP_SIZE, rewritten)
            self.lose(rig, "ring.000", place - 10, bytes(RECORD.size + 10))
            rig.open()
            self.assertEqual(rig.disk.read("ring.001").find(record_mark(1)), -1, header_is_there)
            self.assertEqual(rig.ring._laps[-1], 0)
            rig.open()


class RingTest(unittest.TestCase):
    def test_concurrent_commits_share_syncs(self):
        rig = Rig()
        outcomes = [rig.commit((f"k{number}", b"v")) for number in range(50)]
        rig.time.advance_to(1.0)
        self.assertTrue(all(outcome == [True] for outcome in outcomes))
        self.assertLessEqual(rig.ring.sync_count, 2)

    def test_confirmed_commits_survive_a_power_loss_at_any_point(self):
        """
        writer                         disk
        commit 1..n  ---------------->  some synced, some not, one torn
                                        power failure at any moment
        reads back   <----------------  everything confirmed; no partial commit; no gap before a present record
        """
        for seed in range(150):
            rig = Rig(seed)
            confirmed, asked = {}, {}
            for round_ in range(rig.random.randrange(1, 4)):
                for number in range(rig.random.randrange(1, 60)):
                    key, value = f"k{rig.random.randrange(12)}", bytes([number]) * rig.random.randrange(1, 90)
                    asked.setdefault(key, [None]).append(value)
                    position = len(asked[key]) - 1
                    rig.ring.commit([(key, value)]).addCallbacks(
                        lambda _, key=key, position=position: confirmed.__setitem__(
                            key, max(position, confirmed.get(key, 0))
                        ),
                        lambda _: None,
                    )
                    if rig.random.random() < 0.3:
                        rig.time.advance_to(rig.time.now + rig.random.uniform(0, 0.004))
                rig.power_cut()
                rig.open()
                for key, values in asked.items():
                    read = rig.ring.table.get(key)
                    last = max(position for position, value in enumerate(values) if value == read)
                    self.assertGreaterEqual(last, confirmed.get(key, 0), f"seed {seed} key {key}")
                    asked[key], confirmed[key] = values[: last + 1], last

    def test_a_tail_torn_at_any_byte_is_recovered(self):
        rig = Rig()
        self.assertIs(rig.commit_now(("a", b"first")), True)
        start = rig.ring._offset
        rig.commit(("a", b"second"))
        whole = rig.disk.read("ring.000")
        for cut in range(start, start + RECORD.size + 20):
            other = Rig()
            other.disk._files["ring.000"] = bytearray(whole[:cut] + bytes(FILE_SIZE - cut))
            other.open()
            self.assertIn(other.ring.table["a"], (b"first", b"second"))
            self.assertIs(other.commit_now(("b", b"third")), True)
            other.open()
            self.assertEqual(other.ring.table["b"], b"third")

    def test_corruption_of_synced_records_fails_the_start(self):
        rig = Rig()
        for number in range(10):
            self.assertIs(rig.commit_now((f"k{number}", b"value")), True)
        end = rig.ring._offset - RECORD.size  # the empty record after the last commit names it as synced
        for offset in range(LAP_SIZE, end, 7):
            rig.disk.damage("ring.000", offset)
            with self.assertRaises(StorageError, msg=f"byte {offset}"):
                rig.open()
            rig.disk.damage("ring.000", offset)
        rig.open()
        self.assertEqual(len(rig.ring.table), 10)

    def test_start_reads_and_writes_no_more_than_needed(self):
        """
        ring                                    a new start
        in its first lap                        reads the lap and the first part of the next
        its files are in their second lap       wipes nothing, and rewrites what no record names as synced
        a torn tail after the last record       wipes that, and nothing of the former lap
        """
        rig = Rig(file_size=1 << 20)
        written, read = [], []

        def counted(function, counts):
            def call(name, *rest):
                result = function(name, *rest)
                counts.append((name, len(rest[1] if len(rest) > 1 else result)))
                return result

            return call

        rig.disk.write, rig.disk.read = counted(rig.disk.write, written), counted(rig.disk.read, read)
        rig.open()
        self.assertEqual(max(size for name, size in read if name == "ring.001"), LOST_HEAD_READ)
        while rig.ring._laps[-1] < 9:
            self.assertIs(rig.commit_now(("a", bytes(100000))), True)
        del written[:]
        rig.open()
        # The header of the head lap and its last record, an empty one, which no record names as synced: after a failed
        # sync of the former process, the operating system may return data on reads that it will never write.
        head, offset = rig.ring._file_name(rig.ring._laps[-1]), rig.ring._offset
        self.assertEqual(written, [(head, LAP_SIZE), (head, RECORD.size)])
        rig.commit(("a", b"not synced"))
        last = rig.ring._offset - offset
        del written[:]
        rig.open()  # the process died, but its write is complete and therefore valid
        self.assertEqual((rig.ring.table["a"], written), (b"not synced", [(head, LAP_SIZE), (head, last)]))
        offset = rig.ring._offset
        rig.commit(("a", b"half of it is torn"))
        rig.disk._files[head][offset + RECORD.size] ^= 0xFF
        del written[:]
        rig.open()
        anew = [(head, LAP_SIZE), (head, last)]
        self.assertEqual((rig.ring.table["a"], written), (b"not synced", [(head, RECORD.size), *anew]))

    def test_long_values_are_kept_on_the_disk(self):
        """
        ring with little memory         its table
        long values, many laps          each reads as written; only the hot ones are in memory
        a new start                     the same, and only requested values are read back
        a byte is corrupted             reading that value fails; the others are intact
        """
        rig = Rig(file_size=1 << 16, hot_bytes=20_000)
        wanted = {}
        for number in range(200):
            key, value = f"k{number % 30}", rig.random.randbytes(rig.random.choice((20, 3000, 5000)))
            self.assertIs(rig.commit_now((key, value)), True)
            wanted[key] = value
            if number % 7 == 0:
                self.assertIs(rig.commit_now((key, None)), True)
                del wanted[key]
        self.assertGreater(rig.ring._laps[-1], 7)
        for _ in range(2):
            self.assertEqual(rig.ring.table, wanted)
            self.assertLessEqual(rig.ring.table._hot.currsize, 20_000)
            self.assertEqual(
                {(key, len(wanted[key])) for key, _, _ in rig.ring.table.heads("k")},
                {(key, length) for key, _, length in rig.ring.table.heads("k")},
            )
            rig.open()
        cold = next(
            key
            for key, one in rig.ring.table._rows.items()
            if type(one) is ColdValue and key not in rig.ring.table._hot
        )
        place = rig.ring.table._rows[cold]
        rig.disk.damage(place.file_name, place.offset + 700)
        with self.assertRaises(StorageCorruptedError):
            rig.ring.table[cold]
        rig.disk.damage(place.file_name, place.offset + 700)
        self.assertEqual(rig.ring.table[cold], wanted[cold])

    def test_a_value_too_long_to_be_hot_replaces_a_hot_one(self):
        rig = Rig(file_size=1 << 16, hot_bytes=4000)
        for value in (b"a" * 3000, b"b" * 5000):
            self.assertIs(rig.commit_now(("k", value)), True)
            self.assertEqual(rig.ring.table["k"], value)

    def test_a_corrupted_header_of_the_only_lap_fails_the_start(self):
        rig = Rig()
        self.assertIs(rig.commit_now(("a", b"x")), True)
        self.assertIs(rig.commit_now(("b", b"y")), True)
        rig.disk.damage("ring.000", 3)
        with self.assertRaises(StorageCorruptedError):
            rig.open()

    def test_swapped_truncated_or_missing_files_are_reported(self):
        """If two files of a ring are swapped, or one is truncated or missing, all data is there or the start fails."""
        for broken in ("swapped", "short", "gone"):
            outcomes = set()
            for one in range(8):
                for other in range(one + 1, 8) if broken == "swapped" else [one]:
                    rig = Rig()
                    for number in range(60):
                        rig.commit_now((f"k{number}", bytes(150)))
                    kept = dict(rig.ring.table)
                    rig.power_cut()
                    names = f"ring.{one:03d}", f"ring.{other:03d}"
                    for files in (rig.disk._files, rig.disk._durable):
                        if broken == "swapped":
                            files[names[0]], files[names[1]] = files[names[1]], files[names[0]]
                        elif broken == "short":
                            del files[names[0]][-100:]
                        else:
                            del files[names[0]]
                    try:
                        rig.open()
                        outcomes.add("whole")
                        self.assertEqual(rig.ring.table, kept, (broken, names))
                    except StorageCorruptedError:
                        outcomes.add("reported")
            self.assertIn("reported", outcomes, broken)

    def test_live_entries_survive_many_laps_and_restarts(self):
        """Far more is written than the ring holds; the live entries remain, also across restarts."""
        rig = Rig(7)
        live = {}
        for number in range(3000):
            key = f"k{rig.random.randrange(20)}"
            value = None if rig.random.random() < 0.1 else rig.random.randbytes(rig.random.randrange(1, 200))
            self.assertIs(rig.commit_now((key, value)), True)
            live[key] = value
            if number % 500 == 499:
                rig.power_cut()
                rig.open()
            self.assertEqual(rig.ring.table, {key: value for key, value in live.items() if value is not None})

    def test_a_full_ring_rejects_commits_until_entries_are_removed(self):
        rig = Rig()
        outcomes = [rig.commit_now((f"k{number}", bytes(1000))) for number in range(40)]
        refused = [outcome for outcome in outcomes if isinstance(outcome, StorageFullError)]
        self.assertTrue(refused)
        self.assertEqual(refused[0].verdict.value, "no")
        kept = outcomes.count(True)
        for number in range(kept):
            self.assertIs(rig.commit_now((f"k{number}", None)), True)
        self.assertIs(rig.commit_now(("again", bytes(1000))), True)
        rig.open()
        self.assertEqual(list(rig.ring.table), ["again"])

    def test_no_commit_is_confirmed_after_a_disk_failure(self):
        rig = Rig()
        self.assertIs(rig.commit_now(("a", b"x")), True)
        rig.disk.failing = True
        self.assertIsInstance(rig.commit_now(("a", b"y")), StorageError)
        rig.disk.failing = False
        self.assertIsInstance(rig.commit_now(("a", b"z")), StorageError)
