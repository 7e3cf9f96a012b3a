"""Turns found by their id alone: chains over several lines, siblings, lost stores. One column a node; time runs down."""

import random
import tracemalloc
import unittest

from oakramp.common.constants import CONVERSATION_TURNS, RETAIN_MARGIN
from oakramp.common.errors import (
    BadRequestError,
    ConflictError,
    OutcomeUnknownError,
    QuorumUnavailableError,
    TurnExpiredError,
)
from oakramp.common.structured_logging import EventLogger
from oakramp.common.tasks import settled
from oakramp.storage.circular_log import CircularLog
from oakramp.store.records import RecordTable, pack_record, read_bodies, read_header
from oakramp.store.turns import Record, TurnClient, line_key_of
from oakramp.testbed.plan import Size
from oakramp.testbed.simdisk import SimDisk
from oakramp.testbed.simfleet import SimFleet
from oakramp.testbed.simnet import SimHost, SimNetwork, SimReactor, SimTime

KEPT = 60  # s; for which turns are retained


class Recalling(unittest.TestCase):
    def setUp(self):
        self.fleet = SimFleet(11, Size(2, 3, 3, ()), 1 << 20).bring_up(plans=False)
        self.fleet.run(2.0)
        self.gates = [TurnClient(one.node.node) for one in self.fleet.of_kind("gate")]
        self.records = {}

    def tearDown(self):
        self.assertEqual([line for line in self.fleet.lines if "rashed" in line], [])

    def record_of(self, turn_id, after, session, size=3000):
        self.records[turn_id] = Record(turn_id, after, session, random.Random(turn_id).randbytes(size), b"\n{}\0" * 30)
        return self.records[turn_id]

    def turn(self, turn_id, after=None, session="s", gate=0, size=3000, kept=KEPT):
        """Recalls the turn before and retains one after it, as a gate does."""
        client = self.gates[gate]

        async def go():
            recalled = None if after is None else await client.read_history(after, 5)
            await client.retain(session, self.record_of(turn_id, after, session, size), recalled, 5, kept)

        self.fleet.until(go())

    def read_history(self, turn_id, gate=0, time_left=3):
        return self.fleet.until(self.gates[gate].read_history(turn_id, time_left))

    def assert_chain(self, recalled, turn_ids):
        self.assertEqual(recalled.chain, [self.records[turn_id] for turn_id in turn_ids])

    def table(self, name):
        return self.fleet[name].node.store.table

    def test_chain_through_lines(self):
        """
        line s     line h (a helper's)
        a
        b -------> c
        d          e
        """
        for turn_id, after, session, gate in (
            ("a", None, "s", 0),
            ("b", "a", "s", 1),
            ("c", "b", "h", 0),
            ("d", "b", "s", 1),
            ("e", "c", "h", 1),
        ):
            self.turn(turn_id, after, session, gate)
        recalled = self.read_history("e")
        self.assert_chain(recalled, "abce")
        self.assertEqual((recalled.line_key, recalled.turn_ids), (line_key_of("h"), {"c", "e"}))
        recalled = self.read_history("d", 1)
        self.assert_chain(recalled, "abd")
        self.assertEqual(recalled.turn_ids, {"a", "b", "d"})

    def test_gone(self):
        with self.assertRaises(TurnExpiredError):
            self.read_history("never")
        for name in ("store0", "store1"):
            self.fleet[name].kill()
        with self.assertRaises(QuorumUnavailableError):
            self.read_history("never")

    def test_gone_only_after_its_time(self):
        """
        a is kept
        as long as it was to be kept, and a while longer: whole
        later: gone on all stores, and the line with it
        """
        self.turn("a")
        self.fleet.run(KEPT)
        self.assert_chain(self.read_history("a"), "a")
        self.fleet.run(2 * RETAIN_MARGIN + 4)  # it was read just now
        with self.assertRaises(TurnExpiredError):
            self.read_history("a")
        self.assertEqual([len(self.table(name).rows) for name in ("store0", "store1", "store2")], [0, 0, 0])

    def test_ancestors_are_kept_with_what_goes_on(self):
        self.turn("a")
        self.fleet.run(KEPT - 5)
        self.turn("b", "a", "h")
        self.fleet.run(KEPT - 5)
        self.assert_chain(self.read_history("b"), "ab")
        self.assert_chain(self.read_history("a"), "a")

    def test_siblings(self):
        """
        gate0                  gate1
        reads a                reads a
        b after a, on store0   c after a, on another store: siblings
        reads b: the line has a b c
        d after b: supersedes both, and drops none
        """
        self.turn("a")

        async def fork(gate, turn_id):
            client = self.gates[gate]
            recalled = await client.read_history("a", 5)
            await client.retain("s", self.record_of(turn_id, "a", "s"), recalled, 5, KEPT)

        outcomes = self.fleet.until(settled([fork(0, "b"), fork(1, "c")]))
        self.assertEqual([ok for ok, _ in outcomes], [True, True], outcomes)
        self.fleet.run(2.5)
        key = line_key_of("s")
        self.assertEqual({len(self.table(name).versions(key)) for name in ("store0", "store1", "store2")}, {2})
        recalled = self.read_history("b")
        self.assert_chain(recalled, "ab")
        self.assertEqual(recalled.turn_ids, {"a", "b", "c"})
        self.turn("d", "b")
        self.fleet.run(2.5)
        self.assertEqual({len(self.table(name).versions(key)) for name in ("store0", "store1", "store2")}, {1})
        self.assertEqual(self.read_history("c").turn_ids, {"a", "b", "c", "d"})
        self.assert_chain(self.read_history("c"), "ac")

    def test_coordinator_brings_the_chain_first(self):
        """
        store0 (gate0's zone)   store1, store2
        away                    a, b
        back
        c after b ------------> had a and b before it acknowledged
        alone: whole
        """
        self.fleet["store0"].kill()
        self.turn("a", gate=1)
        self.turn("b", "a", "h", gate=1)
        self.fleet["store0"].start()
        self.fleet.run(0.4)
        self.turn("c", "b", "h", gate=0)
        keepers = [name for name in ("store0", "store1", "store2") if "c" in self.table(name).records]
        self.assertGreaterEqual(len(keepers), 2)
        self.assertEqual(
            [self.table(name).records.chain("c") for name in keepers], [(["c", "b", "a"], None)] * len(keepers)
        )

    def test_returned_store_takes_what_it_missed(self):
        """
        store2             store0, store1
        away               a ... f, in two lines
        back: takes all    killed, killed
        speaks of them alone? It cannot say what is gone, but has them whole.
        """
        self.fleet["store2"].power_cut()
        for before, turn_id in zip([None, *"abcde"], "abcdef"):
            self.turn(turn_id, before, "s" if turn_id in "abc" else "h")
        self.fleet["store2"].start()
        self.fleet.run(3.0)
        self.fleet["store0"].kill()
        self.fleet["store1"].kill()
        self.assert_chain(self.read_history("f"), "abcdef")
        with self.assertRaises(QuorumUnavailableError):
            self.read_history("never")

    def test_parts_of_a_chain_are_found_wherever_they_are(self):
        """
        store0    store1    store2
        b, c      a         -         c is asked for: each gives what it has, none is whole
        then, with store1 away: cannot tell, never gone
        """
        for before, turn_id in zip([None, *"ab"], "abc"):
            self.turn(turn_id, before)
        # As if disks had been mixed up: no run leads here, and still nothing may be said to be gone.
        for name, lost in (("store0", "a"), ("store1", "bc"), ("store2", "abc")):
            for turn_id in lost:
                del self.table(name).records._rows[turn_id]
            self.fleet[name].node.store._cleanup_task.stop()
        self.assert_chain(self.read_history("c"), "abc")
        self.fleet["store1"].kill()
        with self.assertRaises(QuorumUnavailableError):
            self.read_history("c")

    def test_one_slow_store_holds_nothing_up(self):
        """
        store0 (gate0's zone)
        frozen
        reads and writes go on at once, and soon pass it over
        """
        self.turn("a")
        self.fleet["store0"].freeze()
        for number, (before, turn_id) in enumerate(zip("abcd", "bcde")):
            started_at = self.fleet.time.now
            self.turn(turn_id, before)
            self.assertLess(self.fleet.time.now - started_at, 0.3 if number == 0 else 0.1)
        self.fleet["store0"].thaw()
        self.fleet.run(3.0)
        self.assert_chain(self.read_history("e"), "abcde")

    def test_long_chain_takes_several_pages(self):
        """Of 200,000 bytes each, so that a page holds two."""
        for before, turn_id in zip([None, *"abcd"], "abcde"):
            self.turn(turn_id, before, size=200_000)
        self.assert_chain(self.read_history("e"), "abcde")

    def test_line_holds_so_many_turns_at_most(self):
        self.turn("a")
        recalled = self.read_history("a")
        recalled.turns |= {f"x{number}": None for number in range(CONVERSATION_TURNS)}
        with self.assertRaises(ConflictError):
            self.fleet.until(self.gates[0].retain("s", self.record_of("b", "a", "s"), recalled, 5, KEPT))

    def test_full_stores_are_told_at_once_and_known_before_the_next(self):
        """
        gate                            stores
        turns                           take them until their rings are full
        one more                        no, all of them: told at once, not when the caller's time is over
        knows that they are full        (the next turn is refused before it runs)
        """
        with self.assertRaises(OutcomeUnknownError):
            for number in range(60):
                started = self.fleet.time.now
                self.turn(f"t{number}", None, f"s{number}", size=100_000)
        self.assertGreater(number, 5)
        self.assertLess(self.fleet.time.now - started, 1.0)
        self.assertTrue(self.gates[0].is_full)

    def test_agreeing_stores_exchange_only_sums(self):
        for number in range(20):
            self.turn(f"t{number}", None, f"s{number}")
        self.fleet.run(4.0)
        nets = [one.node.node.net for one in self.fleet.of_kind("store")]
        before = [dict(net.call_counts) for net in nets]
        self.fleet.run(5.0)
        for net, counts in zip(nets, before):
            made = {name: count - counts.get(name, 0) for name, count in net.call_counts.items() if name != "pull"}
            self.assertLessEqual({name for name, count in made.items() if count}, {"lineSums"})
            self.assertLessEqual(made["lineSums"], 12)


class RecordRig:
    """A table of records on a simulated disk, without a fleet."""

    def __init__(self):
        self.time = SimTime()
        self.host = SimHost(SimNetwork(self.time, random.Random(1)), "127.0.0.1")
        self.disk = SimDisk(self.time, random.Random(2))
        self.disk.attach(self.host)
        self.open()

    def open(self):
        self.ring = CircularLog(self.disk, EventLogger(lambda line: None), 1 << 18)
        self.records = RecordTable(SimReactor(self.host), self.ring)

    def enter(self, turn_id, parent, left=KEPT, line="~s"):
        packed = pack_record(turn_id, parent, line, left, b"in", b"out")
        self.ring.commit(self.records.entries([packed]))
        self.time.advance_to(self.time.now + 0.1)
        self.records.insert(packed, left)

    def wait(self, seconds):
        self.time.advance_to(self.time.now + seconds)


class Records(unittest.TestCase):
    def setUp(self):
        self.rig = RecordRig()

    def test_kept_as_long_as_any_that_goes_on(self):
        """
        a (20 s)
        b after a (40 s)      c after a, another line (90 s)
        """
        rig = self.rig
        rig.enter("a", None, 20)
        rig.enter("b", "a", 40)
        rig.enter("c", "a", 90, "~h")
        rig.wait(30)
        self.assertEqual(rig.records.take_expired(), ([], []))
        rig.wait(20)
        self.assertEqual(rig.records.take_expired(), (["b"], []))
        self.assertEqual(rig.records.chain("c"), (["c", "a"], None))
        self.assertEqual((rig.records.seconds_left("b"), rig.records.seconds_left("x")), (0.0, None))
        rig.wait(50)
        ended, lines = rig.records.take_expired()
        self.assertEqual((ended, sorted(lines)), (["c", "a"], ["~h", "~s"]))
        self.assertEqual(len(rig.records), 0)

    def test_parent_is_read_again_after_its_time(self):
        """a's time is over, b goes on from it; a is read, then b goes: a stays for what may go on from it."""
        rig = self.rig
        rig.enter("a", None, 20)
        rig.enter("b", "a", 40)
        rig.wait(35)
        self.assertEqual(rig.records.take_expired(), ([], []))
        rig.records.touch("a")
        rig.wait(10)
        self.assertEqual(rig.records.take_expired(), (["b"], []))
        self.assertIn("a", rig.records)
        rig.wait(30)
        self.assertEqual(rig.records.take_expired(), (["a"], ["~s"]))

    def test_a_restart_begins_the_time_anew_until_another_store_knows_better(self):
        rig = self.rig
        rig.enter("a", None, 60)
        rig.wait(50)
        rig.open()
        self.assertGreater(rig.records.seconds_left("a"), 59)
        rig.records.shorten("a", 10)
        rig.wait(11)
        self.assertEqual(rig.records.take_expired(), (["a"], ["~s"]))

    def test_packed_bytes_are_exact(self):
        packed = pack_record("t-1", None, "~ä", 75, b"\0\xff" * 9, b"")
        header = read_header(packed)
        self.assertEqual((header.turn_id, header.parent, header.line_key, header.keep_s), ("t-1", None, "~ä", 75))
        self.assertEqual(read_bodies(packed, header), (b"\0\xff" * 9, b""))
        for wrong in (b"", packed[:-1], packed + b"x", b"\x09" + packed[1:], packed[:9]):
            with self.assertRaises(BadRequestError):
                read_header(wrong)


class Recovery(unittest.TestCase):
    def test_holds_one_file_at_a_time(self):
        """Eight files of 1 MiB, most of them garbage: reading them needs what is live and little more than one file."""
        time, size = SimTime(), 1 << 20
        host = SimHost(SimNetwork(time, random.Random(1)), "127.0.0.1")
        disk = SimDisk(time, random.Random(2))
        disk.attach(host)
        ring = CircularLog(disk, EventLogger(lambda line: None), size)
        for number in range(200):
            ring.commit([(f"k{number % 4}", bytes([number]) * 50_000)])
            time.advance_to(time.now + 0.1)
        self.assertGreater(len(ring._laps), 5)
        tracemalloc.start()
        try:
            again = CircularLog(disk, EventLogger(lambda line: None), size)
            peak = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        self.assertEqual(again.table, ring.table)
        self.assertLess(peak, 3 * size)
