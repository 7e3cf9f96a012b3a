"""The store set forms and mends itself. One column a node; time runs down."""
import unittest

from oaklab.simfleet import SimFleet
from oakcontrol.storeset import StoreSet
from oakstore.turns import Record, TurnClient


class Forming(unittest.TestCase):
    def setUp(self):
        self.fleet = SimFleet(21, self_forming=True)
        for one in self.fleet.byName.values():
            one.start()
        self.fleet.waitFormed()
        self.fleet.waitFor("the first set", lambda: self.isFull())
        self.fleet.first_start = False
        self.gates = [TurnClient(one.node.node) for one in self.fleet.ofKind("gate")]

    def tearDown(self):
        self.assertEqual([line for line in self.fleet.lines if "rashed" in line], [])

    def record(self):
        boards = [one.node.node.board for one in self.fleet.byName.values() if one.running]
        return max((StoreSet.fromBoard(board).record for board in boards), key=lambda record: record["version"])

    def isFull(self, names=None):
        """Whether the set is stable and all its members (these, if given) are full members."""
        record = self.record()
        stores = [one for one in self.fleet.ofKind("store") if one.running and not one.host.frozen
                  and any(row["nodeId"] == one.node.node.nodeId for row in record["members"])]
        return (record["phase"] == "stable" and len(stores) == len(record["members"]) > 0
                and all(one.node.store.covers and one.node.store.stores.epoch == record["version"] for one in stores)
                and (names is None or {one.name for one in stores} == set(names)))

    def turn(self, turn_id, after=None, session="s", gate=0, size=500):
        client = self.gates[gate]

        async def go():
            recalled = None if after is None else await client.recall(after, 5)
            record = Record(turn_id, after, session, f"in {turn_id} ".encode() * (size // 8), f"out {turn_id}\n".encode())
            await client.retain(session, record, recalled, 5, 60)
            return record
        return self.fleet.until(go())

    def wipe(self, name, seconds=0.0):
        one = self.fleet[name]
        one.powerCut()
        one.loseDisk()
        self.fleet.run(seconds)
        one.start()
        return self.fleet.time.now

    def testWipedStoreIsAFullMemberAgain(self):
        """
        store0              store1, store2
        keeps the chain     keep the chain
        disk lost
        back, empty
        in its own place: copies, speaks
        """
        fleet, after = self.fleet, None
        records = []
        for index in range(20):
            records.append(self.turn(f"t{index}", after, gate=index % 2))
            after = f"t{index}"
        backAt = self.wipe("store0", 1.0)
        fullAt = fleet.waitFor("store0 being a full member", lambda: self.isFull(["store0", "store1", "store2"])
                               and self.record()["retired"])
        print("full after", fullAt - backAt)
        self.assertLess(fullAt - backAt, 4.0)
        fleet["store1"].kill()
        self.assertEqual(fleet.until(self.gates[0].recall(after, 3)).chain, records)
