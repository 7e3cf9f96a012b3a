"""Turns found by their id alone: chains over several lines, siblings, lost stores. One column a node; time runs down."""

import random
import tracemalloc
import unittest

from oakbase.constants import LINE_TURNS, RETAIN_MARGIN
from oakbase.logline import LogLine
from oakbase.tasks import settled
from oakbase.verdict import BadRequest, CannotTell, Conflict, Gone, NoAnswer
from oaklab.plan import Size
from oaklab.simdisk import SimDisk
from oaklab.simfleet import SimFleet
from oaklab.simnet import SimHost, SimNetwork, SimReactor, SimTime
from oakring.ring import Ring
from oakstore.records import RecordTable, pack_record, read_bodies, read_header
from oakstore.turns import Record, TurnClient, line_key_of

KEPT = 60  # s; for which turns are retained


class Recalling(unittest.TestCase):
    def setUp(self):
        self.fleet = SimFleet(11, Size(2, 3, 3, ()), 1 << 20).bringUp(plans=False)
        self.fleet.run(2.0)
        self.gates = [TurnClient(one.node.node) for one in self.fleet.ofKind("gate")]
        self.records = {}

    def tearDown(self):
        self.assertEqual([line for line in self.fleet.lines if "rashed" in line], [])

    def recordOf(self, turnId, after, session, size=3000):
        self.records[turnId] = Record(turnId, after, session, random.Random(turnId).randbytes(size), b"\n{}\0" * 30)
        return self.records[turnId]

    def turn(self, turnId, after=None, session="s", gate=0, size=3000, kept=KEPT):
        """Recalls the turn before and retains one after it, as a gate does."""
        client = self.gates[gate]

        async def go():
            recalled = None if after is None else await client.recall(after, 5)
            await client.retain(session, self.recordOf(turnId, after, session, size), recalled, 5, kept)

        self.fleet.until(go())

    def recall(self, turnId, gate=0, timeLeft=3):
        return self.fleet.until(self.gates[gate].recall(turnId, timeLeft))

    def assertChain(self, recalled, turnIds):
        self.assertEqual(recalled.chain, [self.records[turnId] for turnId in turnIds])

    def table(self, name):
        return self.fleet[name].node.store.table

    def testChainThroughLines(self):
        """
        line s     line h (a helper's)
        a
        b -------> c
        d          e
        """
        for turnId, after, session, gate in (
            ("a", None, "s", 0),
            ("b", "a", "s", 1),
            ("c", "b", "h", 0),
            ("d", "b", "s", 1),
            ("e", "c", "h", 1),
        ):
            self.turn(turnId, after, session, gate)
        recalled = self.recall("e")
        self.assertChain(recalled, "abce")
        self.assertEqual((recalled.line_key, recalled.turn_ids), (line_key_of("h"), {"c", "e"}))
        recalled = self.recall("d", 1)
        self.assertChain(recalled, "abd")
        self.assertEqual(recalled.turn_ids, {"a", "b", "d"})

    def testGone(self):
        with self.assertRaises(Gone):
            self.recall("never")
        for name in ("store0", "store1"):
            self.fleet[name].kill()
        with self.assertRaises(CannotTell):
            self.recall("never")

    def testGoneOnlyAfterItsTime(self):
        """
        a is kept
        as long as it was to be kept, and a while longer: whole
        later: gone on all stores, and the line with it
        """
        self.turn("a")
        self.fleet.run(KEPT)
        self.assertChain(self.recall("a"), "a")
        self.fleet.run(2 * RETAIN_MARGIN + 4)  # it was read just now
        with self.assertRaises(Gone):
            self.recall("a")
        self.assertEqual([len(self.table(name).rows) for name in ("store0", "store1", "store2")], [0, 0, 0])

    def testAncestorsAreKeptWithWhatGoesOn(self):
        self.turn("a")
        self.fleet.run(KEPT - 5)
        self.turn("b", "a", "h")
        self.fleet.run(KEPT - 5)
        self.assertChain(self.recall("b"), "ab")
        self.assertChain(self.recall("a"), "a")

    def testSiblings(self):
        """
        gate0                  gate1
        reads a                reads a
        b after a, on store0   c after a, on another store: siblings
        reads b: the line has a b c
        d after b: supersedes both, and drops none
        """
        self.turn("a")

        async def fork(gate, turnId):
            client = self.gates[gate]
            recalled = await client.recall("a", 5)
            await client.retain("s", self.recordOf(turnId, "a", "s"), recalled, 5, KEPT)

        outcomes = self.fleet.until(settled([fork(0, "b"), fork(1, "c")]))
        self.assertEqual([ok for ok, _ in outcomes], [True, True], outcomes)
        self.fleet.run(2.5)
        key = line_key_of("s")
        self.assertEqual({len(self.table(name).versions(key)) for name in ("store0", "store1", "store2")}, {2})
        recalled = self.recall("b")
        self.assertChain(recalled, "ab")
        self.assertEqual(recalled.turn_ids, {"a", "b", "c"})
        self.turn("d", "b")
        self.fleet.run(2.5)
        self.assertEqual({len(self.table(name).versions(key)) for name in ("store0", "store1", "store2")}, {1})
        self.assertEqual(self.recall("c").turn_ids, {"a", "b", "c", "d"})
        self.assertChain(self.recall("c"), "ac")

    def testCoordinatorBringsTheChainFirst(self):
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

    def testReturnedStoreTakesWhatItMissed(self):
        """
        store2             store0, store1
        away               a ... f, in two lines
        back: takes all    killed, killed
        speaks of them alone? It cannot say what is gone, but has them whole.
        """
        self.fleet["store2"].powerCut()
        for before, turnId in zip([None, *"abcde"], "abcdef"):
            self.turn(turnId, before, "s" if turnId in "abc" else "h")
        self.fleet["store2"].start()
        self.fleet.run(3.0)
        self.fleet["store0"].kill()
        self.fleet["store1"].kill()
        self.assertChain(self.recall("f"), "abcdef")
        with self.assertRaises(CannotTell):
            self.recall("never")

    def testPartsOfAChainAreFoundWhereverTheyAre(self):
        """
        store0    store1    store2
        b, c      a         -         c is asked for: each gives what it has, none is whole
        then, with store1 away: cannot tell, never gone
        """
        for before, turnId in zip([None, *"ab"], "abc"):
            self.turn(turnId, before)
        # As if disks had been mixed up: no run leads here, and still nothing may be said to be gone.
        for name, lost in (("store0", "a"), ("store1", "bc"), ("store2", "abc")):
            for turnId in lost:
                del self.table(name).records._rows[turnId]
            self.fleet[name].node.store._sweeper.stop()
        self.assertChain(self.recall("c"), "abc")
        self.fleet["store1"].kill()
        with self.assertRaises(CannotTell):
            self.recall("c")

    def testOneSlowStoreHoldsNothingUp(self):
        """
        store0 (gate0's zone)
        frozen
        reads and writes go on at once, and soon pass it over
        """
        self.turn("a")
        self.fleet["store0"].freeze()
        for number, (before, turnId) in enumerate(zip("abcd", "bcde")):
            startedAt = self.fleet.time.now
            self.turn(turnId, before)
            self.assertLess(self.fleet.time.now - startedAt, 0.3 if number == 0 else 0.1)
        self.fleet["store0"].thaw()
        self.fleet.run(3.0)
        self.assertChain(self.recall("e"), "abcde")

    def testLongChainTakesSeveralPages(self):
        """Of 200,000 bytes each, so that a page holds two."""
        for before, turnId in zip([None, *"abcd"], "abcde"):
            self.turn(turnId, before, size=200_000)
        self.assertChain(self.recall("e"), "abcde")

    def testLineHoldsSoManyTurnsAtMost(self):
        self.turn("a")
        recalled = self.recall("a")
        recalled.turns |= {f"x{number}": None for number in range(LINE_TURNS)}
        with self.assertRaises(Conflict):
            self.fleet.until(self.gates[0].retain("s", self.recordOf("b", "a", "s"), recalled, 5, KEPT))

    def test_full_stores_are_told_at_once_and_known_before_the_next(self):
        """
        gate                            stores
        turns                           take them until their rings are full
        one more                        no, all of them: told at once, not when the caller's time is over
        knows that they are full        (the next turn is refused before it runs)
        """
        with self.assertRaises(NoAnswer):
            for number in range(60):
                started = self.fleet.time.now
                self.turn(f"t{number}", None, f"s{number}", size=100_000)
        self.assertGreater(number, 5)
        self.assertLess(self.fleet.time.now - started, 1.0)
        self.assertTrue(self.gates[0].is_full)

    def testAgreeingStoresExchangeOnlySums(self):
        for number in range(20):
            self.turn(f"t{number}", None, f"s{number}")
        self.fleet.run(4.0)
        nets = [one.node.node.net for one in self.fleet.ofKind("store")]
        before = [dict(net.callCounts) for net in nets]
        self.fleet.run(5.0)
        for net, counts in zip(nets, before):
            made = {name: count - counts.get(name, 0) for name, count in net.callCounts.items() if name != "pull"}
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
        self.ring = Ring(self.disk, LogLine(lambda line: None), 1 << 18)
        self.records = RecordTable(SimReactor(self.host), self.ring)

    def enter(self, turnId, parent, left=KEPT, line="~s"):
        packed = pack_record(turnId, parent, line, left, b"in", b"out")
        self.ring.commit(self.records.entries([packed]))
        self.time.advanceTo(self.time.now + 0.1)
        self.records.enter(packed, left)

    def wait(self, seconds):
        self.time.advanceTo(self.time.now + seconds)


class Records(unittest.TestCase):
    def setUp(self):
        self.rig = RecordRig()

    def testKeptAsLongAsAnyThatGoesOn(self):
        """
        a (20 s)
        b after a (40 s)      c after a, another line (90 s)
        """
        rig = self.rig
        rig.enter("a", None, 20)
        rig.enter("b", "a", 40)
        rig.enter("c", "a", 90, "~h")
        rig.wait(30)
        self.assertEqual(rig.records.take_ended(), ([], []))
        rig.wait(20)
        self.assertEqual(rig.records.take_ended(), (["b"], []))
        self.assertEqual(rig.records.chain("c"), (["c", "a"], None))
        self.assertEqual((rig.records.left("b"), rig.records.left("x")), (0.0, None))
        rig.wait(50)
        ended, lines = rig.records.take_ended()
        self.assertEqual((ended, sorted(lines)), (["c", "a"], ["~h", "~s"]))
        self.assertEqual(len(rig.records), 0)

    def testParentIsReadAgainAfterItsTime(self):
        """a's time is over, b goes on from it; a is read, then b goes: a stays for what may go on from it."""
        rig = self.rig
        rig.enter("a", None, 20)
        rig.enter("b", "a", 40)
        rig.wait(35)
        self.assertEqual(rig.records.take_ended(), ([], []))
        rig.records.touch("a")
        rig.wait(10)
        self.assertEqual(rig.records.take_ended(), (["b"], []))
        self.assertIn("a", rig.records)
        rig.wait(30)
        self.assertEqual(rig.records.take_ended(), (["a"], ["~s"]))

    def testARestartBeginsTheTimeAnewUntilAnotherStoreKnowsBetter(self):
        rig = self.rig
        rig.enter("a", None, 60)
        rig.wait(50)
        rig.open()
        self.assertGreater(rig.records.left("a"), 59)
        rig.records.shorten("a", 10)
        rig.wait(11)
        self.assertEqual(rig.records.take_ended(), (["a"], ["~s"]))

    def testPackedBytesAreExact(self):
        packed = pack_record("t-1", None, "~ä", 75, b"\0\xff" * 9, b"")
        header = read_header(packed)
        self.assertEqual((header.turn_id, header.parent, header.line_key, header.keep_s), ("t-1", None, "~ä", 75))
        self.assertEqual(read_bodies(packed, header), (b"\0\xff" * 9, b""))
        for wrong in (b"", packed[:-1], packed + b"x", b"\x09" + packed[1:], packed[:9]):
            with self.assertRaises(BadRequest):
                read_header(wrong)


class Recovery(unittest.TestCase):
    def testHoldsOneFileAtATime(self):
        """Eight files of 1 MiB, most of them garbage: reading them needs what is live and little more than one file."""
        time, size = SimTime(), 1 << 20
        host = SimHost(SimNetwork(time, random.Random(1)), "127.0.0.1")
        disk = SimDisk(time, random.Random(2))
        disk.attach(host)
        ring = Ring(disk, LogLine(lambda line: None), size)
        for number in range(200):
            ring.commit([(f"k{number % 4}", bytes([number]) * 50_000)])
            time.advanceTo(time.now + 0.1)
        self.assertGreater(len(ring._laps), 5)
        tracemalloc.start()
        try:
            again = Ring(disk, LogLine(lambda line: None), size)
            peak = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        self.assertEqual(again.table, ring.table)
        self.assertLess(peak, 3 * size)
