"""Control nodes replaced: killed, lost, at new addresses, half-way through. One column a node."""

import unittest

from oakbase.tasks import sleep, spawn
from oakcontrol.slots import slotOfKey
from oaklab.faults import sendPlan
from oaklab.simfleet import SimFleet
from oaklab.trial import totalOutage


class RosterTest(unittest.TestCase):
    def setUp(self):
        self.fleet = SimFleet(6).bringUp()
        self.fleet.planCount = 1

    def tearDown(self):
        fleet = self.fleet
        current = fleet.until(fleet.operator.readPlan("dalatech"), 60)
        fleet.view.readBack["dalatech"] = (current["version"], current["blueprint"]["bindings"]["chat"]["adapter"])
        self.assertEqual(fleet.violations(), {}, fleet.timeline())
        self.assertEqual([line for line in fleet.lines if "rashed" in line], [])
        owners = [
            slot
            for one in fleet.ofKind("control")
            if one.running
            for slot, owner in one.node.owners.held.items()
            if owner.holdsTerm()
        ]
        self.assertEqual(len(owners), len(set(owners)), "a slot has two owners")

    def ask(self, method, path, value=None):
        return self.fleet.until(self.fleet.operator.ask(method, path, value), 60)

    def newcomer(self, number):
        one = self.fleet.add("control", number)
        one.seeds = [other.machine.peer for other in self.fleet.ofKind("control") if other.running][:3]
        one.start()
        self.fleet.operator._controls.append(one.machine.http)
        self.fleet.run(3.0)
        return one

    def replace(self, leavingId, joining):
        version = self.ask("GET", "/v1/roster")[1]["version"]
        return self.ask(
            "POST",
            "/v1/roster/replace",
            {
                "basedOn": version,
                "leaving": leavingId,
                "joining": {"nodeId": joining.node.node.nodeId, "peer": joining.machine.peer},
            },
        )

    def waitReplaced(self, joining):
        def replaced():
            status, said = self.ask("GET", "/v1/roster")
            return status == 200 and said["next"] is None and joining.node.node.nodeId in said["members"]

        self.fleet.waitFor("the replacement", replaced, 60)
        self.fleet.mark(joining.name, "votes")

    def spend(self, after=None):
        fleet = self.fleet
        fleet.until(fleet.caller.openProgram("nile", "p", 500), 60)
        asked = fleet.until(fleet.caller.turn("nile", "p", "l", after, "x", attempts=40), 90)
        self.assertTrue(asked.ended())
        return asked.body["turnId"], fleet.until(
            fleet.caller._client.json("GET", fleet["gate0"].machine.http, "/v1/nile/programs/p", None, 10)
        )[1]["spent"]

    def testAllFiveAtNewAddresses(self):
        """
        control0 .. control4        control5 .. control9 (empty, new addresses)
        each killed for good        takes its place, one at a time; load and plans all the while
                                    power cut everywhere, back with new seeds: nothing is lost
        """
        fleet = self.fleet
        turn, spent = self.spend()
        fleet.startMix(30, callers=3)

        async def changing():
            for _ in range(10):
                await sendPlan(fleet, "dalatech")
                await sleep(fleet.operatorReactor, 3.0)

        plans = spawn(changing(), fleet.labLog)
        for number in range(5):
            old = fleet[f"control{number}"]
            oldId = old.node.node.nodeId
            old.kill()
            fleet.operator._controls.remove(old.machine.http)
            new = self.newcomer(number + 5)
            self.assertEqual(self.replace(oldId, new)[0], 200)
            self.waitReplaced(new)
        fleet.until(plans, 120)
        fleet.run(25.0)
        seeds = [fleet[f"control{number}"].machine.peer for number in (5, 6, 7)]
        for number in range(5):
            del fleet.byName[f"control{number}"]
        for one in fleet.ofKind("gate"):
            one.seeds = seeds  # without a disk, a gate knows only what its settings say
        totalOutage(fleet)
        fleet.waitReady()
        _, after = self.spend(turn)
        self.assertGreater(after, spent)
        self.assertGreaterEqual(self.ask("GET", "/v1/blueprints/dalatech")[1]["version"], 8)

    def testInterruptedAtEachStep(self):
        """
        owner of the roster     leaving          joining          another voter
        killed                  power cut        killed
        next owner goes on      back             back             frozen a while
        """
        fleet = self.fleet
        _, spent = self.spend()
        leaving = fleet["control1"]
        new = self.newcomer(5)
        self.assertEqual(self.replace(leaving.node.node.nodeId, new)[0], 200)
        fleet.run(0.3)
        owner = next(one for one in fleet.ofKind("control") if slotOfKey("roster") in one.node.owners.held)
        if owner is not new:
            owner.kill()
        new.powerCut()
        fleet.run(4.0)
        new.start()
        fleet.run(0.7)
        if leaving.running:
            leaving.powerCut()
        fleet.run(2.0)
        if not owner.running:
            owner.start()
        frozen = next(one for one in fleet.ofKind("control") if one.running and one not in (new, leaving, owner))
        frozen.freeze()
        fleet.run(3.0)
        frozen.thaw()
        self.waitReplaced(new)
        if not leaving.running:
            leaving.start()
        fleet.run(4.0)
        self.assertEqual([owner for owner in leaving.node.owners.held.values()], [], "who left owns nothing")
        self.assertEqual(self.spend()[1] > spent, True)

    def testLostDiskVotesNoMore(self):
        """
        control2
        power cut, disk lost
        back empty: another id, no vote
        takes its former self's place
        """
        fleet = self.fleet
        one = fleet["control2"]
        formerId = one.node.node.nodeId
        one.powerCut()
        one.loseDisk()
        one.start()
        fleet.run(4.0)
        self.assertNotEqual(one.node.node.nodeId, formerId)
        self.assertIsNone(one.node.voter.roster)
        self.assertEqual(one.node.owners.held, {})
        self.assertEqual(self.replace(formerId, one)[0], 200)
        self.waitReplaced(one)
        fleet["control0"].kill()
        fleet["control1"].kill()
        fleet.run(6.0)
        self.assertTrue(self.spend()[1] > 0)
        fleet["control0"].start()
        fleet["control1"].start()
        fleet.run(3.0)

    def testRefusals(self):
        fleet = self.fleet
        ids = [one.node.node.nodeId for one in fleet.ofKind("control")]
        new = self.newcomer(5)
        self.assertEqual(self.replace("control9", new)[0], 404)
        self.assertEqual(self.replace(ids[0], fleet["control1"])[1]["verdict"], "no")
        self.assertEqual(self.replace(ids[0], fleet["gate0"])[1]["verdict"], "no")
        status, said = self.ask(
            "POST",
            "/v1/roster/replace",
            {"basedOn": 9, "leaving": ids[0], "joining": {"nodeId": new.node.node.nodeId, "peer": new.machine.peer}},
        )
        self.assertEqual((status, said["error"], said["detail"]), (409, "lost", {"version": 1}))
