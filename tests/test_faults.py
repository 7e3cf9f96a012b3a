"""Timelines of faults on a simulated fleet. One column a node; time runs down."""

import unittest

from oakramp.common.constants import LEASE
from oakramp.common.tasks import settled, sleep, spawn
from oakramp.control.shards import shard_of_key
from oakramp.testbed.caller import ClientRequest
from oakramp.testbed.faults import replace, send_plan
from oakramp.testbed.plan import PARTNERS, PLATFORM, Size, blueprint_of
from oakramp.testbed.simfleet import SMALL, SimFleet
from oakramp.testbed.trial import total_outage


class FleetTest(unittest.TestCase):
    def bring_up(self, seed=1, size=SMALL, **options):
        self.fleet = SimFleet(seed, size, **options).bring_up()
        return self.fleet

    def tearDown(self):
        fleet = getattr(self, "fleet", None)
        if fleet is not None:
            self.assertEqual(fleet.violations(), {}, fleet.timeline())
            self.assertEqual([line for line in fleet.lines if "rashed" in line], [])

    def open(self, partner="dalatech", program="p1", limit=1000):
        self.assertTrue(self.fleet.until(self.fleet.client.open_program(partner, program, limit)))

    def turn(self, after=None, text="hello", partner="dalatech", program="p1", line="l1", **options):
        return self.fleet.until(self.fleet.client.turn(partner, program, line, after, text, **options), 120.0)

    def begin(self, *arguments, **options):
        return spawn(self.fleet.client.turn(*arguments, **options), self.fleet.lab_log)

    def gate(self, name):
        return self.fleet[name].machine.http

    def owner_of(self, key):
        shard = shard_of_key(key)
        return next(
            one
            for one in self.fleet.of_kind("control")
            if one.running and not one.host.frozen and shard in one.node.leaders.active
        )

    def runs_of(self, asked):
        return [
            run
            for run in self.fleet.record.runs
            if run.kind == "turn"
            and run.body["turn"] == asked.body["turnId"]
            or run.kind == "plain"
            and run.body["body"] == asked.body.get("body")
        ]

    def budget(self, partner="dalatech", program="p1"):
        status, said = self.fleet.until(
            self.fleet.client._client.json("GET", self.gate("gate1"), f"/v1/{partner}/programs/{program}", None, 10)
        )
        self.assertEqual(status, 200, said)
        return said


class GateFaults(FleetTest):
    def test_killed_in_mid_stream(self):
        """
        caller          gate0            gate1            replica      budget's owner
        turn t ------>  carry ------------------------->  runs         reserved
                <-----  first pieces
                        killed
        t again ---------------------->  in progress ---------------   reservation stands
                                         ... gate0 counts as dead      reservation is spent
        t again ---------------------->  may have run (maybe)
        t2 --------------------------->  carry -------->  runs
        """
        fleet = self.bring_up(piece_time=0.2)
        self.open()
        caller = fleet.client
        asked = ClientRequest(
            "turn",
            "dalatech",
            "chat",
            False,
            {"turnId": "t", "binding": "chat", "after": None, "input": "abc", "timeLeft": 30},
            "p1",
            "l1",
        )
        fleet.view.requests.append(asked)
        first = spawn(caller._send_turn(asked, self.gate("gate0")), fleet.lab_log)
        fleet.run(0.5)
        fleet["gate0"].kill()
        fleet.run(0.1)
        self.assertTrue(first.called)
        self.assertEqual(asked.attempts[0].outcome, "cut")
        self.assertTrue(asked.attempts[0].events)
        again = fleet.until(caller._send_turn(asked, self.gate("gate1")))
        self.assertEqual((again.error, again.verdict), ("inProgress", "maybe"))
        fleet.run(3.0)
        last = fleet.until(caller._send_turn(asked, self.gate("gate1")))
        self.assertEqual((last.error, last.verdict), ("broken", "maybe"))
        self.assertEqual(len(self.runs_of(asked)), 1)
        self.assertEqual(self.budget()["spent"], 64, "all that was reserved counts as spent")
        self.assertTrue(self.turn(gateway=self.gate("gate1")).ended())

    def test_turn_that_waited_in_a_killed_gateway_runs_when_sent_again(self):
        """
        caller          gate0                 gate1            replicas     budget's owner
        t ----------->  waits                                  busy         nothing reserved for t
                        killed
        t again --------------------------->  carry -------->  runs         reserved
        """
        fleet = self.bring_up(capacity=1, piece_time=0.4)
        self.open(limit=10000)
        fillers = [
            self.begin("dalatech", "p1", f"f{index}", None, "xxx", gateway=self.gate("gate1")) for index in range(2)
        ]
        fleet.run(0.5)
        body = {"turnId": "t", "binding": "chat", "after": None, "input": "abc", "timeLeft": 30}
        asked = ClientRequest("turn", "dalatech", "chat", False, body, "p1", "l1")
        fleet.view.requests.append(asked)
        spawn(fleet.client._send_turn(asked, self.gate("gate0")), fleet.lab_log)
        fleet.run(0.3)
        self.assertEqual(self.budget()["open"], 2)
        fleet["gate0"].kill()
        again = fleet.until(fleet.client._send_turn(asked, self.gate("gate1")), 60)
        self.assertEqual((again.outcome, len(self.runs_of(asked))), ("end", 1))
        ended = [one for _, one in fleet.until(settled(fillers), 60)]
        fleet.run(1.0)
        units = sum(one.ended().events[-1]["units"] for one in ended) + again.events[-1]["units"]
        self.assertEqual((self.budget()["spent"], self.budget()["open"]), (units, 0))

    def test_repeat_of_a_running_turn_is_told_so_though_no_replica_has_room(self):
        fleet = self.bring_up(capacity=1, piece_time=0.4)
        self.open(limit=10000)
        body = {"turnId": "t", "binding": "chat", "after": None, "input": "abc", "timeLeft": 30}
        asked = ClientRequest("turn", "dalatech", "chat", False, body, "p1", "l1")
        fleet.view.requests.append(asked)
        first = spawn(fleet.client._send_turn(asked, self.gate("gate0")), fleet.lab_log)
        filler = self.begin("dalatech", "p1", "f", None, "xxx")
        fleet.run(0.5)
        again = fleet.until(fleet.client._send_turn(asked, self.gate("gate1")))
        self.assertEqual((again.error, first.called), ("inProgress", False))
        fleet.until(settled([first, filler]), 60)
        self.assertEqual(len(self.runs_of(asked)), 1)

    def test_frozen_wakes_after_plan_change(self):
        """
        operator          gate0                      gate1
                          takes a turn in, waits
                          frozen
        plan 2 accepted                              serves under plan 2
                          wakes: news is too old, asks, binds anew, carries under plan 2
        """
        fleet = self.bring_up(capacity=1, piece_time=0.3)
        self.open()
        fillers = [
            self.begin("dalatech", "p1", f"f{index}", None, "x" * 3, gateway=self.gate("gate0")) for index in range(2)
        ]
        fleet.run(0.3)
        waiting = self.begin("dalatech", "p1", "l1", None, "late", gateway=self.gate("gate0"))
        fleet.run(0.1)
        fleet["gate0"].freeze()
        sent = fleet.until(
            fleet.operator.put_plan("dalatech", 1, blueprint_of("dalatech", "dalatech-plan-2"), "dalatech-plan-2")
        )
        self.assertEqual(sent.outcome, "accepted")
        fleet.run(5.0)
        fleet["gate0"].thaw()
        fleet.until(settled([*fillers, waiting]), 60)
        late = [run for run in fleet.record.runs if run.body["input"] == "late"]
        self.assertEqual([run.body["adapter"] for run in late], ["dalatech-plan-2"])

    def test_frozen_wakes_after_replica_left(self):
        """
        platform              gate0                      replica 0
                              takes a turn in, waits     busy
                              frozen
        replica 0 leaving
                              wakes: news is too old     gets nothing
        """
        fleet = self.bring_up(capacity=1, piece_time=0.3)
        self.open()
        fillers = [
            self.begin("dalatech", "p1", f"f{index}", None, "x" * 3, gateway=self.gate("gate0")) for index in range(2)
        ]
        fleet.run(0.3)
        waiting = [
            self.begin("dalatech", "p1", f"w{index}", None, "late", gateway=self.gate("gate0")) for index in range(4)
        ]
        fleet.run(0.1)
        fleet["gate0"].freeze()
        fleet.platform.leave("dalatech-model-0")
        fleet.run(5.0)
        fleet["gate0"].thaw()
        fleet.until(settled([*fillers, *waiting]), 60)
        self.assertEqual(
            {run.replica for run in fleet.record.runs if run.body["input"] == "late"}, {"dalatech-model-1"}
        )

    def test_cut_from_core_refuses_with_no(self):
        """
        gate0                         core
        cut off ------------ X -----  accepts plan 2
        turn: news too old -> no, never carried
        """
        fleet = self.bring_up()
        self.open()
        core = [one.host.address for one in fleet.of_kind("control")]
        others = [one.host.address for one in fleet.by_name.values() if one.name != "gate0"]
        fleet.network.cut([fleet["gate0"].host.address], core + others)
        fleet.run(2.0)
        asked = self.turn(gateway=self.gate("gate0"), attempts=1, time_left=5)
        self.assertEqual((asked.attempts[0].status, asked.attempts[0].verdict), (503, "no"))
        self.assertEqual(self.runs_of(asked), [])

    def test_cut_from_core_carries_nothing(self):
        """
        gate0                          core                   replicas
        cut off from all nodes -- X -- plan 2 drops a binding
        a plain call under that binding, which needs nobody but the gate -> no, never carried
        """
        fleet = self.bring_up()
        others = [one.host.address for one in fleet.by_name.values() if one.name != "gate0"]
        fleet.network.cut([fleet["gate0"].host.address], others)
        plan = blueprint_of("dalatech", "dalatech-plan-2")
        del plan["bindings"]["results-read"]
        self.assertEqual(
            fleet.until(fleet.operator.put_plan("dalatech", 1, plan, "dalatech-plan-2")).outcome, "accepted"
        )
        fleet.run(2.0)
        fleet.client._gateways = [self.gate("gate0")]
        asked = fleet.until(fleet.client.plain("dalatech", "results-read", {"n": 1}, repeatable=True, attempts=1), 40)
        self.assertEqual((asked.attempts[0].status, asked.attempts[0].verdict), (503, "no"))
        self.assertEqual(self.runs_of(asked), [])

    def test_leaving_while_its_owner_is_frozen(self):
        """
        platform             owner of replicas       gates
                             frozen
        replica 0 leaving                            calls wait rather than trust old news
                             next owner looks        calls go to replica 1
        """
        fleet = self.bring_up()
        self.owner_of("replicas").freeze()
        fleet.platform.leave("dalatech-results-0")
        self.assertTrue(all(asked.ended() for asked in self.calls_for(6.0)))

    def calls_for(self, seconds, partner="dalatech", binding="results", pause=0.1, **options):
        """Plain calls at a steady pace; all that were asked, once they are answered."""
        fleet = self.fleet

        async def calling():
            works = []
            for index in range(int(seconds / pause)):
                works.append(
                    spawn(
                        fleet.client.plain(partner, binding, {"n": fleet.client.new_id("n")}, **options), fleet.lab_log
                    )
                )
                await sleep(fleet.client_reactor, pause)
            return [asked for _, asked in await settled(works)]

        return fleet.until(calling(), seconds + 60)

    def test_platform_cut_off_from_the_owner_of_its_list(self):
        """
        platform               owner of replicas           other control nodes         gates
                        X      cannot reach it             can
        replica 0 leaving      asks them   ------------->  pass the list on            calls go to replica 1
                        X                             X    nobody can
                               all say so: the list stands, as nobody can know better  calls go on
                        X                             X    cut from the owner too
                               no majority says so: its news of replicas grow old      calls wait or are told no
        """
        fleet = self.bring_up()
        host = PLATFORM.partition(":")[0]
        owner = self.owner_of("replicas")
        controls = [one.host.address for one in fleet.of_kind("control")]
        fleet.network.cut([owner.host.address], [host])
        fleet.run(3.0)
        fleet.platform.leave("dalatech-results-0")
        self.assertTrue(all(asked.ended() for asked in self.calls_for(6.0)))
        late = fleet.record.leaving_since["dalatech-results-0"] + 2.5
        self.assertEqual(sum(run.replica == "dalatech-results-0" and run.at > late for run in fleet.record.runs), 0)
        fleet.network.cut(controls, [host])
        fleet.run(3.0)
        self.assertTrue(
            all(asked.ended() and len(asked.attempts) == 1 for asked in self.calls_for(4.0)),
            "a platform that nobody reaches stops nobody",
        )

    def test_owner_that_alone_says_nobody_reaches_the_platform(self):
        """
        platform               owner of replicas        others
                        X      cannot reach it          can reach the platform, but pass nothing on to the owner
        replica 0 leaving      may not vouch            gates refuse what they cannot be sure of
        """
        fleet = self.bring_up()
        owner = self.owner_of("replicas")
        fleet.network.cut([owner.host.address], [PLATFORM.partition(":")[0]])
        for one in fleet.of_kind("control"):
            if one is not owner:
                del one.node.node.net.handlers["platformList"]
        fleet.run(3.0)
        fleet.platform.leave("dalatech-results-0")
        fleet.run(3.0)
        self.assertEqual(
            {attempt.verdict for asked in self.calls_for(2.0, attempts=1, time_left=2) for attempt in asked.attempts},
            {"no"},
        )

    def test_planned_stops_cut_nothing_off(self):
        """
        every daemon in turn: stopping -> finishes what runs -> ends -> started again; load all the while
        """
        fleet = self.bring_up(piece_time=0.1)
        since = fleet.time.now
        fleet.start_mix(45, clients=4)
        for one in list(fleet.by_name.values()):
            fleet.run(1.0)
            fleet.until(one.stop(), 30.0)
            fleet.run(1.0)
            fleet.mark(one.name, "started")
            one.start()
        fleet.run(40.0)
        self.assertEqual(self.cut_off(since), [], fleet.timeline())
        self.assertGreater(len(fleet.served()), 50)

    def test_planned_changes_cut_nothing_off(self):
        """
        operators: plans, a store emptied to a spare, a control node replaced by a spare, both old ones stopped
        long streams and keyed calls are in flight all the while, and all of them end
        """
        fleet = self.bring_up(piece_time=0.4)
        fleet.plan_count, since = 1, fleet.time.now
        fleet.start_mix(40, clients=6)
        works = [spawn(send_plan(fleet, partner), fleet.lab_log) for partner in PARTNERS]
        for kind, number in (("store", 3), ("control", 5)):
            old, spare = fleet[f"{kind}1"], fleet.add(kind, number)
            spare.start()
            fleet.run(3.0)
            fleet.until(replace(fleet, kind, old.node.node.node_id, spare), 60.0)
            works += [spawn(send_plan(fleet, partner), fleet.lab_log) for partner in PARTNERS]
            fleet.until(old.stop(), 30.0)
        fleet.until(settled(works), 30.0)
        fleet.run(max(0.0, since + 60.0 - fleet.time.now))
        self.assertEqual(self.cut_off(since), [], fleet.timeline())
        self.assertGreater(len(fleet.served()), 50)

    def cut_off(self, since):
        from oakramp.testbed.checker import cut_off

        return cut_off(self.fleet.view, since, self.fleet.time.now)


class ControlFaults(FleetTest):
    def test_owner_killed_between_majority_and_answer(self):
        """
        operator            owner                    voters           next owner
        change c -------->  majority has it  ----->  synced
                  X<------  answer is lost
                            killed
        c again ------------------------------------------------->    accepted, same version
        """
        fleet = self.bring_up()
        owner = self.owner_of("blueprint/dalatech")
        fleet.network.cut(
            [owner.host.address],
            [
                fleet.operator_reactor._host.address,
                *(one.host.address for one in fleet.of_kind("control") if one is not owner),
            ],
            both_ways=False,
        )
        plan = blueprint_of("dalatech", "dalatech-plan-2")
        first = spawn(
            fleet.operator.ask("PUT", "/v1/blueprints/dalatech", {"changeId": "c", "basedOn": 1, "blueprint": plan}, 3),
            fleet.lab_log,
        )
        fleet.run(0.05)
        fleet.network.heal()  # what the owner had sent to the voters arrives; its answer may not
        fleet.run(0.31)
        owner.kill()
        fleet.until(first, 30)
        sent = fleet.until(fleet.operator.put_plan("dalatech", 1, plan, "dalatech-plan-2", "c"), 30)
        self.assertEqual((sent.outcome, sent.version), ("accepted", 2))
        self.assertEqual(fleet.until(fleet.operator.read_plan("dalatech"))["version"], 2)

    def test_two_operators_race(self):
        """
        operator A: plan on 1 --->  owner: yes, version 2
        operator B: plan on 1 --->         lost against 2
        """
        fleet = self.bring_up()
        works = [
            spawn(
                fleet.operator.put_plan("nile", 1, blueprint_of("nile", f"nile-plan-{number}"), f"nile-plan-{number}"),
                fleet.lab_log,
            )
            for number in (2, 3)
        ]
        fleet.until(settled(works))
        outcomes = sorted(plan.outcome for plan in fleet.view.plans if plan.marker in ("nile-plan-2", "nile-plan-3"))
        self.assertEqual(outcomes, ["accepted", "refused"])
        fleet.run(3.0)
        self.open("nile")
        self.assertTrue(self.turn(partner="nile").ended())

    def test_core_split(self):
        """
        control 0 1 (owner inside)   |  control 2 3 4
                cut                  |
        owner's term ends            |  take over, accept plans
                                  healed
        nothing accepted is lost
        """
        fleet = self.bring_up()
        owner = self.owner_of("blueprint/dalatech")
        few = [owner, next(one for one in fleet.of_kind("control") if one is not owner)]
        rest = [one for one in fleet.of_kind("control") if one not in few]
        fleet.network.cut([one.host.address for one in few], [one.host.address for one in rest])
        fleet.run(6.0)
        self.assertFalse(
            any(shard for one in few for shard, held in one.node.leaders.active.items() if held.holds_lease())
        )
        fleet.operator._controls = [one.machine.http for one in rest]
        sent = fleet.until(
            fleet.operator.put_plan("dalatech", 1, blueprint_of("dalatech", "dalatech-plan-2"), "dalatech-plan-2"), 30
        )
        self.assertEqual(sent.outcome, "accepted")
        fleet.operator._controls = [one.machine.http for one in few]
        refused = fleet.until(
            fleet.operator.put_plan("dalatech", 2, blueprint_of("dalatech", "dalatech-plan-3"), "dalatech-plan-3"), 60
        )
        self.assertNotEqual(refused.outcome, "accepted")
        fleet.network.heal()
        fleet.run(6.0)
        # What was asked of the minority is unknown to its operator: it may have come through after all.
        read = fleet.until(fleet.operator.read_plan("dalatech"))
        self.assertIn((refused.outcome, read["version"]), [("maybe", 2), ("maybe", 3), ("refused", 2)])

    def test_frozen_owner_does_not_vouch(self):
        """
        owner A                 next owner B            gate
        frozen
                                takes over after A's term, accepts plan 2
        wakes: no term, vouches for nothing             carries under plan 2 only
        """
        fleet = self.bring_up()
        self.open()
        owner = self.owner_of("blueprint/dalatech")
        owner.freeze()
        fleet.wait_for(
            "a take-over",
            lambda: any(
                shard_of_key("blueprint/dalatech") in one.node.leaders.active
                for one in fleet.of_kind("control")
                if one is not owner
            ),
            20,
        )
        sent = fleet.until(
            fleet.operator.put_plan("dalatech", 1, blueprint_of("dalatech", "dalatech-plan-2"), "dalatech-plan-2"), 30
        )
        self.assertEqual(sent.outcome, "accepted")
        owner.thaw()
        fleet.run(2.0)
        asked = self.turn()
        self.assertEqual(self.runs_of(asked)[0].body["adapter"], "dalatech-plan-2")

    def test_candidates_do_not_duel(self):
        """
        control0 | control1 | control2 | control3 | control4     each cut from the others, seen by gates and stores
        all terms end; nobody can take over
                                healed
        every slot has an owner soon: those who may step in take turns, and do not end each other's tries
        """
        for seed in range(4):
            fleet = SimFleet(seed).bring_up()
            core = [one.host.address for one in fleet.of_kind("control")]
            fleet.network.cut(core, core)
            fleet.run(15.0)
            fleet.network.heal()
            for one in fleet.of_kind("control"):
                one.disk.sync_time = 0.05
            healed_at = fleet.time.now
            fleet.wait_for(
                "owners of all slots",
                lambda: (
                    len(
                        [
                            owner
                            for one in fleet.of_kind("control")
                            for owner in one.node.leaders.active.values()
                            if owner.holds_lease()
                        ]
                    )
                    == 32
                ),
                60,
            )
            self.assertLess(fleet.time.now - healed_at, 12.0, f"seed {seed}")

    def test_each_shard_of_a_frozen_owner_is_taken_once(self):
        """
        control4          the others
        frozen            its slots are taken over, each by one and once, as soon as its terms must have ended
        """
        fleet = self.bring_up()
        held, frozen_at = set(fleet["control4"].node.leaders.active), fleet.time.now
        fleet["control4"].freeze()
        fleet.run(9.0)
        taken = [
            line.split()
            for line in fleet.lines
            if "event=shard_leader_elected" in line and float(line.split()[0]) > frozen_at
        ]
        self.assertEqual(sorted(int(words[4].partition("=")[2]) for words in taken), sorted(held))
        self.assertLess(max(float(words[0]) for words in taken) - frozen_at, 4.0)

    def test_no_two_leases_at_once(self):
        """
        owner A (live, serving)          B
        holds its term                   prepares a higher epoch
        refused by the voters            waits until A's term must have ended, then serves
        """
        fleet = self.bring_up()
        fleet.run(3 * LEASE)  # until the roster is no longer new, so that voters may speak for their terms
        shard = shard_of_key("blueprint/dalatech")
        first = self.owner_of("blueprint/dalatech")
        second = next(one for one in fleet.of_kind("control") if one is not first)
        old = first.node.leaders.active[shard]
        spawn(second.node.leaders.failover.prepare_and_serve(shard, None), fleet.lab_log)
        overlap = []
        for _ in range(400):
            fleet.run(0.005)
            new = second.node.leaders.active.get(shard)
            overlap.append(bool(old.holds_lease() and new and new.holds_lease()))
        self.assertFalse(any(overlap))
        self.assertFalse(old.holds_lease())

    def test_total_outage(self):
        """
        all nodes: power cut; back from their disks. Plans, budgets and lines go on within 12 s.
        """
        fleet = self.bring_up()
        self.open(limit=100)
        first = self.turn()
        spent = self.budget()["spent"]
        back_at = total_outage(fleet)
        second = self.turn(first.body["turnId"], "and then?", attempts=40)
        self.assertTrue(second.ended())
        self.assertLess(second.ended().done_at - back_at, 12.0)
        self.assertEqual(self.budget()["spent"], spent + second.ended().events[-1]["units"])
        self.assertEqual(fleet.until(fleet.operator.read_plan("dalatech"))["version"], 1)


class StoreFaults(FleetTest):
    def test_one_store_away(self):
        """
        store0      store1      store2
        killed                              turns go on: two of three keep and tell
                    slow disk               still two of three, the slow one only costs time
        back                                takes what it missed
        """
        fleet = self.bring_up()
        self.open()
        first = self.turn()
        fleet["store0"].kill()
        second = self.turn(first.body["turnId"], "two")
        fleet["store1"].disk.sync_time = 0.5
        third = self.turn(second.body["turnId"], "three")
        self.assertTrue(first.ended() and second.ended() and third.ended())
        fleet["store1"].disk.sync_time = 0.002
        fleet["store0"].start()
        fleet.run(6.0)
        key = "dalatech/p1/l1"
        digests = {one.node.store.table.rows[key].digest() for one in fleet.of_kind("store")}
        self.assertEqual(len(digests), 1)

    def test_slow_store_holds_nobody_up(self):
        fleet = self.bring_up()
        self.open()
        fleet["store2"].disk.sync_time = 5.0
        asked = self.turn()
        took = asked.ended().done_at - asked.attempts[0].asked_at
        self.assertLess(took, 2.5)

    def test_too_few_stores_cannot_tell(self):
        """
        store0 and store1 away: a turn after an unknown one is not told that it is gone
        all back:               now it is
        """
        fleet = self.bring_up()
        self.open()
        fleet["store0"].kill()
        fleet["store1"].kill()
        fleet.run(2.5)
        asked = self.turn("nowhere", attempts=1, time_left=3)
        self.assertEqual((asked.attempts[0].error, asked.attempts[0].verdict), ("cannotTell", "no"))
        fleet["store0"].start()
        fleet["store1"].start()
        fleet.run(3.0)
        asked = self.turn("nowhere", attempts=1)
        self.assertEqual((asked.attempts[0].status, asked.attempts[0].error), (410, "gone"))

    def test_full_stores_are_said_before_the_run(self):
        """
        store0, store1, store2      gate                     replica
        rings are full              turn: no, come later     gets nothing
        one has room again ...      and a second: turn ->    runs, is kept
        """
        fleet = self.bring_up(ring_file_size=1 << 16)
        self.open()
        first = self.turn()

        async def fill(one):
            number = 0
            while not one.node.store.table.is_full():
                number += 1
                await one.node.store.table.put(f"nile/fill{number}/l", frozenset(), bytes(2000))

        stores = fleet.of_kind("store")
        for one in stores:
            fleet.until(fill(one), 100.0)
        asked = self.turn(first.body["turnId"], "no room", attempts=1)
        self.assertEqual((asked.attempts[0].status, asked.attempts[0].verdict), (503, "no"))
        self.assertEqual(self.runs_of(asked), [])
        for one in stores[:2]:
            one.node.store.table.is_full = lambda: False
        self.assertTrue(self.turn(first.body["turnId"], "room").ended())

    def test_forks_keep_their_paths(self):
        """
        gate0: t2a after t1      gate1: t2b after t1, at the same time
        both are kept; each goes on along its own path
        """
        fleet = self.bring_up()
        self.open()
        first = self.turn().body["turnId"]
        works = [
            self.begin("dalatech", "p1", "l1", first, f"fork {gate}", gateway=self.gate(gate))
            for gate in ("gate0", "gate1")
        ]
        results = fleet.until(settled(works))
        for _, fork in results:
            self.assertTrue(fork.ended())
            self.assertTrue(self.turn(fork.body["turnId"], "on").ended())

    def test_power_cut_after_confirming(self):
        """
        gate            store0, store1, store2
        closing event
                        power cut, all three, at that moment
                        back: the turn is there
        """
        fleet = self.bring_up()
        self.open()
        first = self.turn()
        for one in fleet.of_kind("store"):
            one.power_cut()
        for one in fleet.of_kind("store"):
            one.start()
        fleet.run(3.0)
        self.assertTrue(self.turn(first.body["turnId"], "next").ended())


class ReplicaFaults(FleetTest):
    def test_bad_streams_never_poll_complete(self):
        fleet = self.bring_up(
            Size(
                2,
                3,
                3,
                (
                    ("dalatech-model", "model", 1),
                    ("nile-model", "model", 1),
                    ("dalatech-results", "plain", 1),
                    ("nile-notices", "plain", 1),
                ),
            )
        )
        self.open(limit=100000)
        replica = fleet.platform.replicas["dalatech-model-0"]
        for fault in ("gap", "repeat", "otherRun", "close", "badJson", "tooMuch", "noEnd"):
            replica.faults.append(fault)
            before = self.budget()
            asked = self.turn(text=f"abc {fault}", attempts=1)
            self.assertEqual((asked.attempts[0].outcome, asked.attempts[0].verdict), ("break", "yes"), fault)
            gone = self.turn(asked.body["turnId"], "after the broken one", attempts=1)
            self.assertEqual(gone.attempts[0].error, "gone", fault)
            fleet.run(1.0)
            after = self.budget()
            self.assertEqual((after["spent"] - before["spent"], after["open"]), (64, 0), fault)
        again = self.turn(text="abc", attempts=1)
        self.assertTrue(again.ended())

    def bring_up(self, size=SMALL, **options):
        return super().bring_up(1, size, **options)

    def test_answer_that_never_comes(self):
        """
        caller             gate                replica
        key k ---------->  claimed, carried -> does the work, never answers
        k again -------->  in progress (maybe), however often
        """
        fleet = self.bring_up()
        for replica in fleet.platform.replicas.values():
            replica.faults.append("silent")
        asked = fleet.until(fleet.client.plain("nile", "notices", {"ping": 1}, "k", attempts=3), 120)
        self.assertEqual({attempt.verdict for attempt in asked.attempts}, {"maybe"})
        self.assertEqual(len(self.runs_of(asked)), 1)

    def test_replica_not_described_yet_may_have_the_adapter(self):
        """
        replica 0 (leaving)     gate0                            replica 1 (ready)
        describes itself ---->  started again             X      cannot describe itself yet
                                turn: waits, is not told that there is no such adapter
        """
        fleet = self.bring_up()
        self.open()
        fleet.platform.leave("dalatech-model-0")
        fleet["gate0"].kill()
        away = [(fleet["gate0"].host.address, fleet.platform.replicas["dalatech-model-1"].address.partition(":")[0])]
        fleet.network.hold(away)
        fleet["gate0"].start()
        fleet.run(3.0)
        asked = self.begin("dalatech", "p1", "l1", None, "x", gateway=self.gate("gate0"), attempts=1)
        fleet.run(2.0)
        fleet.network.let_go(away)
        self.assertTrue(fleet.until(asked, 40).ended())

    def test_maybe_is_not_unsaid_by_a_later_no(self):
        """
        caller              gate                       replica 0              replica 1
        repeatable call ->  carried ---------------->  does the work,
                                                       breaks off
                            carried again --------------------------------->  refuses, and again, until
                            maybe: the first may have run                     the time is spent
        """
        fleet = self.bring_up()
        replicas = [fleet.platform.replicas[f"nile-notices-{number}"] for number in (0, 1)]
        for replica in replicas:
            replica.faults += ["close"] + ["refuse"] * 100
        asked = fleet.until(
            fleet.client.plain("nile", "notices-read", {"ping": 1}, repeatable=True, attempts=1, time_left=3), 120
        )
        self.assertGreater(len(self.runs_of(asked)), 0)
        self.assertEqual(asked.attempts[0].verdict, "maybe")

    def test_key_wins_over_repeatable_binding(self):
        """
        caller             gate                       replica 0            replica 1
        key k, binding     claimed, carried ------->  does the work,
        is repeatable                                 breaks off
                           maybe: not carried again                        gets nothing
        k again -------->  in progress (maybe)
        """
        fleet = self.bring_up()
        for name in ("nile-notices-0", "nile-notices-1"):
            fleet.platform.replicas[name].faults.append("close")
        asked = fleet.until(fleet.client.plain("nile", "notices-read", {"ping": 1}, "k", True, attempts=3), 120)
        self.assertEqual({attempt.verdict for attempt in asked.attempts}, {"maybe"})
        self.assertEqual(len(self.runs_of(asked)), 1)

    def test_keyed_calls_that_waited_long_run_once(self):
        """
        gate0                      claim's owner              gate1                       replicas
        key k waits, unclaimed                                                            none is listed
                                                              key k waits, unclaimed
                                                                                          listed again
        one of them claims the key and is carried; the other is in progress, and gets its answer when it asks again
        """
        fleet = self.bring_up(Size(2, 1, 1, SMALL.replicas))
        works = self.waiting_keyed_calls(fleet)
        asked = [one for _, one in fleet.until(settled(works), 500)]
        outcomes = sorted((one.attempts[0].outcome, one.attempts[0].status) for one in asked)
        self.assertEqual(outcomes, [("end", 200), ("error", 409)])
        again = fleet.until(fleet.client.plain("nile", "notices", {"ping": 1}, "k", attempts=1))
        self.assertTrue(again.ended())
        self.assertEqual(len([run for run in fleet.record.runs if run.body.get("key") == "k"]), 1)

    def waiting_keyed_calls(self, fleet):
        """Two calls with one key that wait for a replica, the second one from 158 s after the first; all replicas are
        back 2 s later."""
        plan = blueprint_of("nile", "nile-plan-2")
        plan["bindings"]["notices"]["maxWaitSeconds"] = 600
        self.assertEqual(fleet.until(fleet.operator.put_plan("nile", 1, plan, "nile-plan-2")).outcome, "accepted")
        rows = {name: fleet.platform.rows.pop(name) for name in ("nile-notices-0", "nile-notices-1")}
        fleet.run(4.0)
        works = []
        for pause in (158.0, 2.0):
            call = fleet.client.plain("nile", "notices", {"ping": 1}, "k", attempts=1, time_left=400)
            works.append(spawn(call, fleet.lab_log))
            fleet.run(pause)
        fleet.platform.rows |= rows
        return works

    def test_keyed_call_frozen_after_its_claim_is_not_sent_once_the_claim_is_forgotten(self):
        """
        gate0                      claim's owner              gate1                       replicas
        key k claimed              claimed
        frozen                     forgotten after 150 s      key k claimed, carried ---> runs once
        thawed: told no
        """
        fleet = self.bring_up(Size(2, 1, 1, SMALL.replicas))
        key = "claim/nile/k"

        def post(gate):
            call = fleet.client.plain(
                "nile", "notices", {"ping": 1}, "k", attempts=1, time_left=400, gateway=self.gate(gate)
            )
            return spawn(call, fleet.lab_log)

        works = [post("gate0")]
        owner = next(
            one.node.leaders.active[shard_of_key(key)]
            for one in fleet.of_kind("control")
            if shard_of_key(key) in one.node.leaders.active
        )
        while key not in owner.entries:
            fleet.run(0.0002)
        fleet["gate0"].freeze()
        fleet.run(160.0)
        works.append(post("gate1"))
        fleet.run(5.0)
        fleet["gate0"].thaw()
        (_, first), (_, second) = fleet.until(settled(works), 500)
        self.assertEqual((first.attempts[0].verdict, bool(second.ended())), ("no", True))
        self.assertEqual(len([run for run in fleet.record.runs if run.body.get("key") == "k"]), 1)

    def test_refused_is_carried_elsewhere(self):
        fleet = self.bring_up()
        self.open()
        for name in ("dalatech-model-0", "dalatech-model-1"):
            fleet.platform.replicas[name].faults.append("refuse")
        asked = self.turn(attempts=3)
        self.assertTrue(asked.ended())
        self.assertEqual(len(self.runs_of(asked)), 1)

    def test_one_bad_row_hides_no_other(self):
        """
        platform: a row without an address, one that is no object, one listed twice; the rest is served and leaves
        """
        fleet = self.bring_up()
        fleet.platform.rows["bad"] = {"id": "bad", "pool": "dalatech-model", "state": "ready"}
        fleet.platform.rows["worse"] = "what is this"
        fleet.platform.rows["twice"] = dict(fleet.platform.rows["nile-model-1"])
        fleet.platform.leave("dalatech-model-0")
        fleet.run(5.0)
        self.open()
        asked = self.turn()
        self.assertEqual([run.replica for run in self.runs_of(asked)], ["dalatech-model-1"])

    def test_leaving_replica_finishes_and_gets_no_more(self):
        fleet = self.bring_up(piece_time=0.5)
        self.open()
        works = [self.begin("dalatech", "p1", f"l{index}", None, "abc") for index in range(8)]
        fleet.run(1.0)
        fleet.platform.leave("dalatech-model-0")
        later = [self.begin("dalatech", "p1", f"m{index}", None, "later") for index in range(8)]
        results = fleet.until(settled([*works, *later]), 60)
        self.assertTrue(all(asked.ended() for _, asked in results))

    def test_caller_leaves(self):
        """
        binding chat: caller goes away -> run is cancelled, the reservation is spent
        binding ask:  caller goes away -> run is finished, kept, and spends what came out
        """
        fleet = self.bring_up(piece_time=0.2)
        for binding, program in (("chat", "p1"), ("ask", "p2")):
            self.open(program=program)
            body = {"turnId": "t", "binding": binding, "after": None, "input": "abc"}
            response = fleet.until(
                fleet.client._client.send(
                    "POST", self.gate("gate0"), f"/v1/dalatech/programs/{program}/lines/l1/turns", body, 10
                )
            )
            from oakramp.common.http_client import BodyLines

            lines = BodyLines(1000)
            response.deliverBody(lines)
            fleet.until(lines.next())
            lines.abort()
            fleet.run(4.0)
        self.assertEqual(self.budget(program="p1")["spent"], 64)
        spent = self.budget(program="p2")["spent"]
        self.assertEqual(
            spent,
            sum(
                units
                for run in fleet.record.runs
                if run.body["line"].startswith("dalatech/p2")
                for _, units in run.pieces
            ),
        )
        self.assertLess(spent, 64)
        fleet.record.runs.clear()  # these turns were asked for outside the view


class Budgets(FleetTest):
    def test_concurrent_turns_stop_at_the_limit(self):
        """
        gate0, gate1: ten turns of one program at once, each twice under one id; limit 12, 8 a turn
        """
        fleet = self.bring_up(piece_time=0.05)
        self.open(limit=12)
        asked = [
            ClientRequest(
                "turn",
                "dalatech",
                "chat",
                False,
                {
                    "turnId": f"t{index}",
                    "binding": "chat",
                    "after": None,
                    "input": f"x{index}",
                    "timeLeft": 30,
                    "maxOutput": 8,
                },
                "p1",
                f"l{index}",
            )
            for index in range(10)
        ]
        fleet.until(settled([fleet.client.send_twice(one) for one in asked]), 60)
        refused = [one for one in asked if any(attempt.status == 402 for attempt in one.attempts)]
        self.assertTrue(refused and len(refused) < 10)
        self.assertTrue(all(not self.runs_of(one) for one in refused))
        again = fleet.until(fleet.client._send_turn(refused[0], self.gate("gate0")))
        self.assertEqual(again.status, 402, "a refusal is final for its turn id")

    def test_refusal_is_final(self):
        """
        t1 reserves 8 of 8 --> t2 refused --> t1 ends with less, so there is room --> t2 stays refused, t3 runs
        """
        fleet = self.bring_up(piece_time=0.2)
        self.open(limit=8)
        first = self.begin("dalatech", "p1", "l1", None, "abcd")
        fleet.run(0.3)
        body = {"turnId": "t2", "binding": "chat", "after": None, "input": "x", "timeLeft": 10}
        second = ClientRequest("turn", "dalatech", "chat", False, body, "p1", "l2")
        fleet.view.requests.append(second)
        statuses = [fleet.until(fleet.client._send_turn(second, self.gate("gate0"))).status]
        fleet.until(first)
        self.assertLess(self.budget()["spent"], 8)
        statuses.append(fleet.until(fleet.client._send_turn(second, self.gate("gate1"))).status)
        self.assertEqual(statuses, [402, 402])
        self.assertTrue(self.turn(line="l3").ended())

    def test_budget_survives_its_owner(self):
        self.bring_up()
        self.open(limit=1000)
        first = self.turn()
        spent = self.budget()["spent"]
        self.owner_of("budget/dalatech/p1").power_cut()
        second = self.turn(first.body["turnId"], attempts=20)
        self.assertTrue(second.ended())
        self.assertEqual(self.budget()["spent"], spent + second.ended().events[-1]["units"])

    def test_settled_though_the_owner_starts_again(self):
        """
        gate                               budget's owner
        turn runs
        settles -------------------------> X  its answer does not get out
                                           killed, started again, takes its slot back
        asks it again -------------------> settled
        """
        fleet = self.bring_up(piece_time=0.2)
        self.open()
        asked = self.begin("dalatech", "p1", "l1", None, "abc", gateway=self.gate("gate0"))
        fleet.run(0.5)
        owner = self.owner_of("budget/dalatech/p1")
        away = [(owner.host.address, fleet["gate0"].host.address)]
        fleet.network.hold(away)
        fleet.run(1.5)
        self.assertTrue(fleet["gate0"].node.settling)
        owner.kill()
        fleet.network.let_go(away)
        fleet.run(0.5)
        owner.start()
        self.assertTrue(fleet.until(asked, 30).ended())
        fleet.run(4.0)
        self.assertEqual((self.budget()["open"], len(fleet["gate0"].node.settling)), (0, 0))

    def test_settled_however_long_it_takes(self):
        """
        gate              core
        turn runs         cut off for 40 s, longer than one call goes on
        settles  ---- X
                          power cut, back: what was on its way is lost
                          healed: settled
        """
        fleet = self.bring_up(piece_time=0.3)
        self.open()
        asked = self.begin("dalatech", "p1", "l1", None, "abc", gateway=self.gate("gate0"), attempts=1)
        fleet.run(0.7)
        core = [one.host.address for one in fleet.of_kind("control")]
        fleet.network.cut([fleet["gate0"].host.address], core)
        self.assertTrue(fleet.until(asked, 30).ended())
        fleet.run(40.0)
        self.assertEqual(self.budget()["open"], 1)
        for one in fleet.of_kind("control"):
            one.power_cut()
            one.start()
        fleet.run(5.0)
        fleet.network.heal()
        fleet.run(10.0)
        self.assertEqual((self.budget()["open"], len(fleet["gate0"].node.settling)), (0, 0))

    def test_keyed_calls_run_once(self):
        fleet = self.bring_up()
        asked = fleet.until(fleet.client.plain("dalatech", "results", {"time": "1:02:03"}, "k1"))
        again = fleet.until(fleet.client.plain("dalatech", "results", {"time": "1:02:03"}, "k1"))
        self.assertEqual(asked.ended().answer, again.ended().answer)
        other = fleet.until(fleet.client.plain("dalatech", "results", {"time": "9:99"}, "k1", attempts=1))
        self.assertEqual((other.attempts[0].status, other.attempts[0].verdict), (409, "no"))
        self.assertEqual(len(self.runs_of(asked)), 1)


class Crowd(FleetTest):
    def test_refused_early_and_urgent_goes_through(self):
        """
        600 turns at once on room for 8; plain calls of the same partner in between
        """
        fleet = self.bring_up(capacity=4, piece_time=0.3)
        self.open(limit=100000)
        works = [
            self.begin("dalatech", "p1", f"l{index}", None, "crowd", attempts=1, time_left=10) for index in range(600)
        ]
        fleet.run(1.0)
        urgent = [
            fleet.until(fleet.client.plain("dalatech", "results", {"n": index}, f"u{index}")) for index in range(5)
        ]
        self.assertTrue(all(one.ended().done_at - one.attempts[0].asked_at < 1.0 for one in urgent))
        results = [asked for _, asked in fleet.until(settled(works), 120)]
        refused = [asked for asked in results if not asked.ended()]
        self.assertTrue(refused and len(refused) < 600)
        self.assertEqual({attempt.verdict for asked in refused for attempt in asked.attempts}, {"no"})
        self.assertLessEqual({attempt.status for asked in refused for attempt in asked.attempts}, {503, 504})
        self.assertTrue(all(not self.runs_of(asked) for asked in refused))
        waits = sorted(attempt.done_at - attempt.asked_at for asked in refused for attempt in asked.attempts)
        self.assertLess(waits[len(waits) // 2], 4.0, "what cannot be served is not held until its time is spent")

    def test_partners_share_a_pool(self):
        """
        dalatech sends 60 turns, nile 20, to one pool of room 4: neither starves
        """
        fleet = self.bring_up(capacity=2, piece_time=0.2)
        shared = blueprint_of("nile", "nile-plan-2")
        shared["bindings"]["chat"]["pool"] = "dalatech-model"
        fleet.until(fleet.operator.put_plan("nile", 1, shared, "nile-plan-2"))
        fleet.run(2.0)
        self.open(limit=100000)
        self.open("nile", "p1", 100000)
        gate = self.gate("gate0")
        works = [
            self.begin("dalatech", "p1", f"d{index}", None, "abc", gateway=gate, time_left=60, attempts=1)
            for index in range(60)
        ]
        fleet.run(0.3)
        works += [
            self.begin("nile", "p1", f"n{index}", None, "abc", gateway=gate, time_left=60, attempts=1)
            for index in range(20)
        ]
        fleet.run(7.0)
        ended = {
            partner: sum(bool(asked.ended()) for asked in fleet.view.requests if asked.partner == partner)
            for partner in PARTNERS
        }
        self.assertGreater(ended["nile"], ended["dalatech"] / 3, ended)
        fleet.until(settled(works), 120)


class Plans(FleetTest):
    def test_waiting_turn_takes_all_of_the_new_plan(self):
        """
        operator                 gate0                              replicas
                                 two turns wait, 64 units reserved  busy
        plan 2: 8 units -------> both are admitted anew, 8 each --> run with 8
        plan 3: 90 units ------> two more, that wait under plan 2   run with 90
        """
        for low, high in ((None, 8), (8, 90)):
            fleet = self.bring_up(capacity=1, piece_time=0.5)
            self.open(limit=10000)
            version = 1
            plans = [blueprint_of("dalatech", f"dalatech-plan-{number}") for number in (2, 3)]
            if low:
                plans[0]["bindings"]["chat"]["maxOutput"] = low
                fleet.until(fleet.operator.put_plan("dalatech", version, plans[0], "dalatech-plan-2"))
                version = 2
                fleet.run(1.0)
            plans[1]["bindings"]["chat"]["maxOutput"] = high
            fillers = [self.begin("dalatech", "p1", f"f{index}", None, "xxx") for index in range(2)]
            fleet.run(0.5)
            waiting = [self.begin("dalatech", "p1", f"w{index}", None, "late") for index in range(2)]
            fleet.run(0.3)
            sent = fleet.until(fleet.operator.put_plan("dalatech", version, plans[1], "dalatech-plan-3"))
            self.assertEqual(sent.outcome, "accepted")
            results = fleet.until(settled([*fillers, *waiting]), 60)
            self.assertTrue(all(asked.ended() and len(asked.attempts) == 1 for _, asked in results))
            late = [run.body for run in fleet.record.runs if run.body["input"] == "late"]
            self.assertEqual([(body["adapter"], body["maxOutput"]) for body in late], [("dalatech-plan-3", high)] * 2)
            fleet.run(1.0)
            self.assertEqual((self.budget()["open"], self.budget()["reserved"]), (0, 0))

    def test_program_is_opened_under_the_current_plan(self):
        """
        caller            gate                     budget's owner      next owner      operator
        open p -------->  plan 1 is fresh          frozen
                          asks --------------- X                                       plan 2: other limits
                          cut off for 2.1 s                            takes over
                          asks again ------------------------------>   opens it under plan 2
        """
        fleet = self.bring_up()
        owner = self.owner_of("budget/dalatech/p1")
        self.assertIsNot(owner, self.owner_of("blueprint/dalatech"))
        neighbours = (
            f"q{number}"
            for number in range(10000)
            if shard_of_key(f"budget/dalatech/q{number}") == shard_of_key("budget/dalatech/p1")
        )
        # The gate's connection to the owner stands: else nothing of what follows would leave the gate.
        fleet.until(fleet.client.open_program("dalatech", next(neighbours), 7, gateway=self.gate("gate0")))
        owner.freeze()

        def open(program, **limit):
            return spawn(
                fleet.client._client.json(
                    "POST", self.gate("gate0"), "/v1/dalatech/programs", {"program": program} | limit, 20
                ),
                fleet.lab_log,
            )

        # Two programs of one slot: one takes the plan's limit, the other asks for more than plan 2 allows.
        twin = next(neighbours)
        works = [open("p1"), open(twin, limit=100000)]
        fleet.run(0.1)
        plan = blueprint_of("dalatech", "dalatech-plan-2")
        plan["programs"] = {"defaultLimit": 7, "maxLimit": 70}
        self.assertEqual(
            fleet.until(fleet.operator.put_plan("dalatech", 1, plan, "dalatech-plan-2")).outcome, "accepted"
        )
        accepted_at = fleet.time.now
        fleet.network.cut([fleet["gate0"].host.address], [one.host.address for one in fleet.of_kind("control")])
        fleet.run(2.1)
        fleet.network.heal()
        answers = [answer for _, answer in fleet.until(settled(works), 60)]
        self.assertGreater(fleet.time.now, accepted_at + 2.0, "the schedule did not come near the fault")
        self.assertEqual(
            [(status, said.get("limit"), said.get("verdict")) for status, said in answers],
            [(201, 7, None), (502, None, "maybe")],
            "what the frozen owner was asked is not unsaid",
        )
        fleet.run(2.0)
        self.assertEqual(
            fleet.until(
                fleet.client._client.json("GET", self.gate("gate1"), f"/v1/dalatech/programs/{twin}", None, 10)
            )[0],
            404,
            "above the new plan's bound",
        )

    def test_program_is_not_opened_under_old_news(self):
        """
        budget's owner                 blueprint's owner     operator
        all news are kept from it -X-                        plan 2: other limits
        open p: told no, not opened under plan 1
        """
        fleet = self.bring_up()
        state_table = self.owner_of("budget/dalatech/p1").node.node.state_table
        merge = state_table.merge

        def merge_others(news, seen, asked_at):
            kept = {
                source: vars(snapshot).copy()
                for source, snapshot in state_table.snapshots.items()
                if source.startswith("blueprint/")
            }
            news.snapshots = [
                snapshot for snapshot in news.snapshots or [] if not snapshot.source.startswith("blueprint/")
            ]
            merge(news, seen, asked_at)
            for source, values in kept.items():
                vars(state_table.snapshots[source]).update(values)  # in whatever form an age came

        state_table.merge = merge_others
        plan = blueprint_of("dalatech", "dalatech-plan-2")
        plan["programs"] = {"defaultLimit": 7, "maxLimit": 70}
        self.assertEqual(
            fleet.until(fleet.operator.put_plan("dalatech", 1, plan, "dalatech-plan-2")).outcome, "accepted"
        )
        fleet.run(2.1)
        status, said = fleet.until(
            fleet.client._client.json("POST", self.gate("gate0"), "/v1/dalatech/programs", {"program": "p1"}, 20)
        )
        self.assertEqual((status, said.get("error"), said.get("verdict")), (503, "cannotTell", "no"))

    def test_waiting_requests_follow_the_plan_to_another_pool(self):
        """
        gate0                                            platform
        a turn and a plain call wait                     none of their pools' replicas is listed
        plan 2 names other pools: both go there at once
        """
        fleet = self.bring_up()
        self.open()
        for name in [name for name in fleet.platform.rows if name.startswith("dalatech")]:
            del fleet.platform.rows[name]
        fleet.run(3.0)
        turn = self.begin("dalatech", "p1", "l1", None, "late")
        plain = spawn(fleet.client.plain("dalatech", "results", {"n": 1}, "k", attempts=1), fleet.lab_log)
        fleet.run(1.0)
        plan = blueprint_of("dalatech", "dalatech-plan-2")
        for name, pool in (("chat", "nile-model"), ("results", "nile-notices")):
            plan["bindings"][name]["pool"] = pool
        since = fleet.time.now
        fleet.until(fleet.operator.put_plan("dalatech", 1, plan, "dalatech-plan-2"))
        for _, asked in fleet.until(settled([turn, plain]), 60):
            self.assertEqual([attempt.error for attempt in asked.attempts], [""])
            self.assertLess(asked.ended().done_at - since, 3.0)

    def test_no_longer_repeatable_is_not_repeated(self):
        """
        gate0                            replicas                   operator
        turn t, repeatable --------->    runs, breaks off
        t again: waits, admitted         busy
                                                                    plan 2: not repeatable
        admitted anew: told what it did  gets nothing
        """
        fleet = self.bring_up(capacity=1, piece_time=0.5)
        self.open()
        for name in ("dalatech-model-0", "dalatech-model-1"):
            fleet.platform.replicas[name].faults.append("close")
        asked = self.turn(binding="ask", repeatable=True, attempts=1)
        self.assertEqual(asked.attempts[0].outcome, "break")
        for replica in fleet.platform.replicas.values():
            replica.faults.clear()
        fillers = [self.begin("dalatech", "p1", f"f{index}", None, "xxx") for index in range(2)]
        fleet.run(0.5)
        again = spawn(fleet.client._send_turn(asked, self.gate("gate0")), fleet.lab_log)
        fleet.run(0.3)
        plan = blueprint_of("dalatech", "dalatech-plan-2")
        plan["bindings"]["ask"] |= {"repeatable": False, "maxOutput": 64}
        fleet.until(fleet.operator.put_plan("dalatech", 1, plan, "dalatech-plan-2"))
        fleet.until(settled([*fillers, again]), 60)
        self.assertEqual((asked.attempts[1].error, asked.attempts[1].verdict), ("broken", "yes"))
        self.assertEqual(len(self.runs_of(asked)), 1)

    def test_plans_change_under_load(self):
        fleet = self.bring_up()
        fleet.plan_count = 1
        fleet.start_mix(10, clients=4)

        async def changing():
            for _ in range(8):
                await send_plan(fleet, "dalatech")
                await sleep(fleet.operator_reactor, 1.0)

        fleet.until(changing(), 60)
        fleet.run(25.0)
        current = fleet.until(fleet.operator.read_plan("dalatech"))
        fleet.view.read_back["dalatech"] = (current["version"], current["blueprint"]["bindings"]["chat"]["adapter"])
        self.assertEqual(current["version"], 9)
        status, third = fleet.until(fleet.operator.ask("GET", "/v1/blueprints/dalatech?version=3"))
        self.assertEqual((status, third["blueprint"]["bindings"]["chat"]["adapter"]), (200, "dalatech-plan-3"))
