"""Turns found by their id alone: chains over several lines, siblings, lost stores. One column a node; time runs down."""
import unittest

from oaklab.simfleet import SimFleet
from oakbase.verdict import CannotTell, Gone, OakError
from oakstore.turns import Record, TurnClient


class Recalling(unittest.TestCase):
    def setUp(self):
        self.fleet = SimFleet(11).bringUp(plans=False)
        self.fleet.run(2.0)
        self.gates = [TurnClient(one.node.node) for one in self.fleet.ofKind("gate")]

    def tearDown(self):
        self.assertEqual([line for line in self.fleet.lines if "rashed" in line], [])

    def turn(self, turn_id, after=None, session="s", gate=0, size=500):
        """Recalls the turn before and retains one after it, as a gate does."""
        client = self.gates[gate]

        async def go():
            recalled = None if after is None else await client.recall(after, 5)
            record = Record(turn_id, after, session, f"in {turn_id} ".encode() * (size // 8), f"out {turn_id}\n".encode())
            await client.retain(session, record, recalled, 5, 60)
            return record
        return self.fleet.until(go())

    def recall(self, turn_id, gate=0, time_left=3):
        return self.fleet.until(self.gates[gate].recall(turn_id, time_left))

    def testChainThroughLines(self):
        """
        line s     line h (a helper's)
        a
        b -------> c
        d          e
        """
        records = {turn_id: self.turn(turn_id, after, session, gate) for turn_id, after, session, gate in (
            ("a", None, "s", 0), ("b", "a", "s", 1), ("c", "b", "h", 0), ("d", "b", "s", 1), ("e", "c", "h", 1))}
        recalled = self.recall("e")
        self.assertEqual(recalled.chain, [records[turn_id] for turn_id in "abce"])
        self.assertEqual(recalled.turn_ids, {"c", "e"})
        recalled = self.recall("d", 1)
        self.assertEqual(recalled.chain, [records[turn_id] for turn_id in "abd"])
        self.assertEqual(recalled.turn_ids, {"a", "b", "d"})

    def testGone(self):
        with self.assertRaises(Gone):
            self.recall("never")
        for name in ("store0", "store1"):
            self.fleet[name].kill()
        with self.assertRaises(CannotTell):
            self.recall("never")
