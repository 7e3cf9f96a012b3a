"""Guards against lost writes or two leaders of a shard while control nodes are replaced: killed, with lost disks, at
new addresses, or with faults in the middle of a replacement.

Diagrams in docstrings have one column per node; time runs downwards.
"""

import unittest

from oakramp.common.tasks import sleep, spawn
from oakramp.control.shards import shard_of_key
from oakramp.testbed.faults import send_plan
from oakramp.testbed.simfleet import SimFleet
from oakramp.testbed.trial import total_outage


class VotingConfigurationTest(unittest.TestCase):
    def setUp(self):
        self.fleet = SimFleet(6).bring_up()
        self.fleet.plan_count = 1

    def tearDown(self):
        fleet = self.fleet
        current = fleet.until(fleet.operator.read_plan("dalatech"), 60)
        fleet.view.read_back["dalatech"] = (current["version"], current["blueprint"]["bindings"]["chat"]["adapter"])
        self.assertEqual(fleet.violations(), {}, fleet.timeline())
        self.assertEqual([line for line in fleet.lines if "rashed" in line], [])
        leaders = [
            shard
            for one in fleet.of_kind("control")
            if one.running
            for shard, owner in one.node.leaders.active.items()
            if owner.holds_lease()
        ]
        self.assertEqual(len(leaders), len(set(leaders)), "a shard has two leaders")

    def ask(self, method, path, value=None):
        return self.fleet.until(self.fleet.operator.ask(method, path, value), 60)

    def joining_member(self, number):
        one = self.fleet.add("control", number)
        one.seeds = [other.machine.peer for other in self.fleet.of_kind("control") if other.running][:3]
        one.start()
        self.fleet.operator._controls.append(one.machine.http)
        self.fleet.run(3.0)
        return one

    def replace(self, leaving_id, joining):
        version = self.ask("GET", "/v1/roster")[1]["version"]
        return self.ask(
            "POST",
            "/v1/roster/replace",
            {
                "basedOn": version,
                "leaving": leaving_id,
                "joining": {"nodeId": joining.node.node.node_id, "peer": joining.machine.peer},
            },
        )

    def wait_replaced(self, joining):
        def replaced():
            status, said = self.ask("GET", "/v1/roster")
            return status == 200 and said["next"] is None and joining.node.node.node_id in said["members"]

        self.fleet.wait_for("the replacement", replaced, 60)
        self.fleet.mark(joining.name, "votes")

    def run_turn(self, after=None):
        fleet = self.fleet
        fleet.until(fleet.client.open_program("nile", "p", 500), 60)
        asked = fleet.until(fleet.client.turn("nile", "p", "l", after, "x", attempts=40), 90)
        self.assertTrue(asked.ended())
        return asked.body["turnId"], fleet.until(
            fleet.client._client.json("GET", fleet["gate0"].machine.http, "/v1/nile/programs/p", None, 10)
        )[1]["spent"]

    def test_all_five_at_new_addresses(self):
        """
        control0 .. control4        control5 .. control9 (empty, new addresses)
        each killed for good        replaces it, one at a time, under load and with plans being changed
                                    power cut everywhere, back with new seeds: nothing is lost
        """
        fleet = self.fleet
        turn, spent = self.run_turn()
        fleet.start_mix(30, clients=3)

        async def changing():
            for _ in range(10):
                await send_plan(fleet, "dalatech")
                await sleep(fleet.operator_reactor, 3.0)

        plans = spawn(changing(), fleet.lab_log)
        for number in range(5):
            old = fleet[f"control{number}"]
            old_id = old.node.node.node_id
            old.kill()
            fleet.operator._controls.remove(old.machine.http)
            new = self.joining_member(number + 5)
            self.assertEqual(self.replace(old_id, new)[0], 200)
            self.wait_replaced(new)
        fleet.until(plans, 120)
        fleet.run(25.0)
        seeds = [fleet[f"control{number}"].machine.peer for number in (5, 6, 7)]
        for number in range(5):
            del fleet.by_name[f"control{number}"]
        for one in fleet.of_kind("gate"):
            one.seeds = seeds  # a gateway has no disk, so it knows only the seeds in its settings
        total_outage(fleet)
        fleet.wait_ready()
        _, after = self.run_turn(turn)
        self.assertGreater(after, spent)
        self.assertGreaterEqual(self.ask("GET", "/v1/blueprints/dalatech")[1]["version"], 8)

    def test_a_replacement_continues_after_faults(self):
        """
        leader of `roster`      leaving          joining          another voter
        killed                  power cut        power cut
        the next one goes on    back             back             frozen for a while
        """
        fleet = self.fleet
        _, spent = self.run_turn()
        leaving = fleet["control1"]
        new = self.joining_member(5)
        self.assertEqual(self.replace(leaving.node.node.node_id, new)[0], 200)
        fleet.run(0.3)
        owner = next(one for one in fleet.of_kind("control") if shard_of_key("roster") in one.node.leaders.active)
        if owner is not new:
            owner.kill()
        new.power_cut()
        fleet.run(4.0)
        new.start()
        fleet.run(0.7)
        if leaving.running:
            leaving.power_cut()
        fleet.run(2.0)
        if not owner.running:
            owner.start()
        frozen = next(one for one in fleet.of_kind("control") if one.running and one not in (new, leaving, owner))
        frozen.freeze()
        fleet.run(3.0)
        frozen.thaw()
        self.wait_replaced(new)
        if not leaving.running:
            leaving.start()
        fleet.run(4.0)
        self.assertEqual(
            [owner for owner in leaving.node.leaders.active.values()], [], "the member that left leads no shard"
        )
        self.assertEqual(self.run_turn()[1] > spent, True)

    def test_a_node_that_lost_its_disk_has_no_vote(self):
        """
        control2
        power cut, disk lost
        back empty: under another id, with no vote
        replaces its previous incarnation
        """
        fleet = self.fleet
        one = fleet["control2"]
        previous_id = one.node.node.node_id
        one.power_cut()
        one.lose_disk()
        one.start()
        fleet.run(4.0)
        self.assertNotEqual(one.node.node.node_id, previous_id)
        self.assertIsNone(one.node.voter.voting_config)
        self.assertEqual(one.node.leaders.active, {})
        self.assertEqual(self.replace(previous_id, one)[0], 200)
        self.wait_replaced(one)
        fleet["control0"].kill()
        fleet["control1"].kill()
        fleet.run(6.0)
        self.assertTrue(self.run_turn()[1] > 0)
        fleet["control0"].start()
        fleet["control1"].start()
        fleet.run(3.0)

    def test_refusals(self):
        fleet = self.fleet
        ids = [one.node.node.node_id for one in fleet.of_kind("control")]
        new = self.joining_member(5)
        self.assertEqual(self.replace("control9", new)[0], 404)
        self.assertEqual(self.replace(ids[0], fleet["control1"])[1]["verdict"], "no")
        self.assertEqual(self.replace(ids[0], fleet["gate0"])[1]["verdict"], "no")
        status, said = self.ask(
            "POST",
            "/v1/roster/replace",
            {"basedOn": 9, "leaving": ids[0], "joining": {"nodeId": new.node.node.node_id, "peer": new.machine.peer}},
        )
        self.assertEqual((status, said["error"], said["detail"]), (409, "lost", {"version": 1}))
