"""Mutual eviction of tenants on whole fleets: gates report counters, an owner plans, plans expire; and the simulated
engine with short rushes on it."""

import os
import sys
import unittest
from dataclasses import replace
from unittest import mock
from zlib import crc32

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from oakramp.cli.doctor import CHECKS, Survey  # noqa: E402
from oakramp.cli.eviction import format_placement  # noqa: E402
from oakramp.common.constants import END_ROUNDS, EVICTION_ROUND, EVICTION_WINDOW, PLAN_AGE  # noqa: E402
from oakramp.common.errors import BadRequestError  # noqa: E402
from oakramp.common.tasks import sleep, spawn  # noqa: E402
from oakramp.control.prefix_placement import PLACEMENT_KEY  # noqa: E402
from oakramp.control.shards import shard_of_key  # noqa: E402
from oakramp.testbed.engine import Engine, Job, Kind  # noqa: E402
from oakramp.testbed.eviction import CALM, SCENES, Site, in_time, neighbours_of, percentile  # noqa: E402
from oakramp.testbed.simnet import SimHost, SimNetwork, SimReactor, SimTime  # noqa: E402
from relay_checker import Observations, violations  # noqa: E402
from relay_fleet import RelayFleet, RelayMachine  # noqa: E402

CLUBS = [f"{number:08x}" for number in range(16)]
PLAIN = f"{crc32(b'None'):08x}"  # the tenant of the simulated clients' requests that have no session
FOUND_TIME = 20.0  # s; fills a window, then covers the planning rounds and the gossip


class MutualEvictionOnFleets(unittest.TestCase):
    """Each scenario must end without a crash and without violations found by the checker."""

    def bring_up(self, mode="on", seed=1):
        env = RelayMachine.env
        patch = mock.patch.object(RelayMachine, "env", lambda machine, seeds: env(machine, seeds) | {"eviction": mode})
        patch.start()
        self.addCleanup(patch.stop)
        self.fleet = RelayFleet(seed, cores=3, gates=2).bring_up()
        self.gates = [one.node for one in self.fleet.of_kind("gate")]

    def tearDown(self):
        self.assertEqual([line for line in self.fleet.lines if "rashed" in line], [])
        self.assertEqual(violations(Observations.of(self.fleet)), {}, self.fleet.timeline())

    def rush(self, seconds, tokens=12000, clubs=CLUBS, is_late=True):
        """Records late responses to all clubs at all gates, as the request proxy does."""
        until = self.fleet.time.now + seconds

        async def rushing():
            number = 0
            while self.fleet.time.now < until:
                for club in clubs:
                    number += 1
                    for gate in (one.node for one in self.fleet.of_kind("gate") if one.running):
                        gate.placement.record_first_event(
                            "lm", "i-lm-0", ((club, tokens), (f"own{number}", 50)), f"p{number}", is_late
                        )
                await sleep(self.fleet.lab_reactor, 0.5)

        spawn(rushing(), self.fleet.lab_log)

    def planned_by_tenant(self, gate, tenants=CLUBS):
        return {tenant: gate.placement.planned_replica_ids("lm", tenant) for tenant in tenants}

    def are_all_moved(self):
        return all(
            None not in self.planned_by_tenant(one.node).values() for one in self.fleet.of_kind("gate") if one.running
        )

    def owner(self):
        return next(
            one
            for one in self.fleet.of_kind("core")
            if one.running and shard_of_key(PLACEMENT_KEY) in one.node.leaders.active
        )

    def read(self):
        return self.fleet.until(self.gates[0].leaders.call(PLACEMENT_KEY, "read", {}, 5.0))

    def set_plan(self, tenants):
        self.fleet.until(
            self.gates[0].leaders.call(
                PLACEMENT_KEY,
                "set",
                {"service": "lm", "mode": "on", "tenants": {name: {"replicas": ids} for name, ids in tenants.items()}},
                5.0,
            )
        )

    def test_tenants_are_moved_during_a_rush_and_released_after_it(self):
        """
        gates          owner of placement
        rush  ---->    detected, plan written
        moved <----
        calm           no more requests
        normal <----   plan removed
        """
        self.bring_up()
        self.rush(40.0)
        self.fleet.wait_for("the move", self.are_all_moved, FOUND_TIME)
        moved = self.planned_by_tenant(self.gates[0])
        self.assertEqual(self.planned_by_tenant(self.gates[1]), moved)
        self.assertTrue(all(len(replicas) == 1 for replicas in moved.values()))
        self.assertEqual(len(set().union(*moved.values())), 3)
        self.assertTrue(any("event=eviction_plan_changed" in line for line in self.fleet.lines))
        placement = self.read()
        self.assertEqual(placement["services"]["lm"]["tenants"].keys(), set(CLUBS))
        self.assertTrue(placement["findings"]["lm"][0]["trapped"])
        self.assertRegex(format_placement(placement)[0], r"lm 0+: keeps to i-lm-\d; when found")
        self.assertEqual(self.doctor(placement), [])
        self.fleet.run(40.0 + EVICTION_WINDOW + (END_ROUNDS + 3) * EVICTION_ROUND)
        self.assertEqual(set(self.planned_by_tenant(self.gates[0]).values()), {None})
        self.assertEqual(self.read()["services"], {})

    def test_the_plan_survives_the_loss_of_its_owner(self):
        """
        owner            another            gates
        plan  ---------------------------->  moved
        killed
                         takes over -------> still moved
        """
        self.bring_up()
        self.rush(60.0)
        self.fleet.wait_for("the move", self.are_all_moved, FOUND_TIME)
        moved = self.planned_by_tenant(self.gates[0])
        self.owner().kill()
        for _ in range(30):
            self.fleet.run(1.0)
            self.assertEqual(self.planned_by_tenant(self.gates[0]), moved, "the placement must not change meanwhile")

    def test_an_isolated_gate_ignores_its_outdated_plan(self):
        self.bring_up()
        self.rush(60.0)
        self.fleet.wait_for("the move", self.are_all_moved, FOUND_TIME)
        heal = self.fleet.cut(["gate0"], [name for name in self.fleet.machines if name != "gate0"])
        self.fleet.run(PLAN_AGE + 2.0)
        self.assertEqual(set(self.planned_by_tenant(self.gates[0]).values()), {None})
        self.assertNotIn(None, self.planned_by_tenant(self.gates[1]).values())
        heal()
        self.fleet.wait_for("the move", self.are_all_moved, FOUND_TIME)

    def test_the_plan_survives_the_loss_of_a_gate(self):
        self.bring_up()
        self.rush(60.0)
        self.fleet.wait_for("the move", self.are_all_moved, FOUND_TIME)
        moved = self.planned_by_tenant(self.gates[1])
        self.fleet["gate0"].kill()
        self.fleet.run(15.0)
        self.assertEqual(self.planned_by_tenant(self.gates[1]), moved)
        self.fleet["gate0"].start()
        self.fleet.wait_for("the same plan there", lambda: self.planned_by_tenant(self.fleet["gate0"].node) == moved)

    def test_a_changed_setting_takes_effect_at_once(self):
        self.bring_up()
        self.rush(60.0)
        self.fleet.wait_for("the move", self.are_all_moved, FOUND_TIME)
        gate = self.gates[0]
        gate.node.settings_changed(gate.node.env | {"eviction": "off"})
        self.assertEqual(set(self.planned_by_tenant(gate).values()), {None})
        for core in self.fleet.of_kind("core"):
            core.node.node.settings_changed(core.node.node.env | {"eviction": "observe"})
        self.fleet.run(2 * EVICTION_ROUND + 1.0)
        self.assertEqual(set(self.planned_by_tenant(self.gates[1]).values()), {None})

    def test_an_unreadable_plan_is_ignored(self):
        self.bring_up()
        gate = self.gates[0]
        for version, value in enumerate((b"junk", b"[1]", b'{"t":7}', b"7"), 1):
            gate.node.state_table.set_items(PLACEMENT_KEY, version, {"lm": value})
            self.assertIsNone(gate.placement.planned_replica_ids("lm", "t"))
        self.assertEqual(sum("event=eviction_plan_unreadable" in line for line in self.fleet.lines), 4)

    def test_observe_mode_moves_no_tenant_and_shows_the_plan(self):
        self.bring_up("observe")
        self.rush(30.0)
        self.fleet.run(25.0)
        self.assertEqual(set(self.planned_by_tenant(self.gates[0]).values()), {None})
        placement = self.read()
        self.assertEqual(placement["services"]["lm"]["tenants"].keys(), set(CLUBS))
        self.assertRegex(
            format_placement(placement)[0],
            r"lm 0+: would keep to i-lm-\d; when found: \d+% of .*, 100% late; now 100% late of",
        )
        self.assertEqual(
            [one.what for one in self.doctor(placement)],
            ["16 tenants of lm evict each other's prefixes and are not moved"],
        )

    @staticmethod
    def doctor(placement):
        return list(CHECKS.find("eviction")(Survey(placement=placement)))

    def test_missing_capacity_is_reported(self):
        self.bring_up()
        self.rush(30.0, tokens=80000)
        self.fleet.run(25.0)
        placement = self.read()
        self.assertEqual(len(placement["services"].get("lm", {"tenants": {}})["tenants"]), 0)
        self.assertIn("finds no room", format_placement(placement)[0])
        self.assertIn("find no room", self.doctor(placement)[0].what)
        self.assertEqual(sum("event=eviction_capacity_missing" in line for line in self.fleet.lines), 1)

    def test_nothing_is_counted_in_off_mode(self):
        self.bring_up("off")
        self.rush(30.0)
        self.fleet.run(25.0)
        placement = self.read()
        self.assertEqual((placement["version"], placement["findings"]), (0, {}))
        self.assertEqual(sum(one.node.placement.counts["moved"] for one in self.fleet.of_kind("core")), 0)

    def test_no_plan_is_made_without_mutual_eviction(self):
        """Responses in time; prefixes that fit into the cache; tenant ids that are new for each request."""
        for more in ({"is_late": False}, {"tokens": 500}, {"clubs": [f"{number:07x}f" for number in range(1000)]}):
            with self.subTest(more):
                self.bring_up()
                self.rush(14.0, **more)
                self.fleet.run(16.0)
                self.assertEqual(self.read()["services"], {})

    def test_requests_follow_the_plan_and_none_is_lost_when_its_replica_leaves(self):
        """
        client       gate                    r1        others
        20 turns --> ----------------------> all
                     r1 is listed as leaving
        20 turns --> -----------------------------------> all
        """
        self.bring_up()
        home = self.fleet.of_service("lm")[1]
        self.set_plan({PLAIN: [home.id]})
        self.fleet.wait_for(
            "the plan", lambda: all(one.placement.planned_replica_ids("lm", PLAIN) for one in self.gates)
        )

        def replicas_used():
            tries = [one for _ in range(20) for one in self.fleet.until(self.fleet.client.generate())]
            self.assertEqual({one.status for one in tries}, {200})
            runs = [run for one in tries for run in self.fleet.record.runs if run.try_id == one.try_id]
            self.assertEqual(len(runs), 20)
            return {run.replica for run in runs}

        self.assertEqual(replicas_used(), {home.id})
        self.fleet.close_replica(home)
        self.fleet.run(4.0)
        self.assertNotIn(home.id, replicas_used())

    def test_malformed_reports_are_rejected_without_effect(self):
        self.bring_up()
        good = {"cache": 1000, "tenants": {"t": [1, 0, 5, 5, [["a", 5, 1, "p"]]]}, "rest": [0, 0, 0, 0]}
        for bad in (
            {"cache": 0},
            {"tenants": {"t": [1, 0, 5, 5]}},
            {"tenants": {"t": [0, 0, 0, 0, []]}},
            {"rest": [1]},
            {"tenants": {"x" * 999: [1, 0, 5, 5, []]}},
            {"tenants": {"t": [1, 0, -5, 5, []]}},
            {"more": 1},
            {"tenants": {f"t{number}": [1, 0, 5, 5, []] for number in range(999)}},
        ):
            with self.assertRaises(BadRequestError):
                self.fleet.until(
                    self.gates[0].leaders.call(
                        PLACEMENT_KEY, "report", {"gate": "g", "number": 1, "services": {"lm": good | bad}}, 5.0
                    )
                )
        self.fleet.until(
            self.gates[0].leaders.call(
                PLACEMENT_KEY, "report", {"gate": "g", "number": 1, "services": {"lm": good}}, 5.0
            )
        )
        self.fleet.run(3 * EVICTION_ROUND)


class EngineCache(unittest.TestCase):
    def setUp(self):
        self.time = SimTime()
        self.reactor = SimReactor(SimHost(SimNetwork(self.time, None), "10.0.0.1"))

    def engine(self, **kind):
        return Engine(self.reactor, Kind(**kind))

    def ask(self, engine, *parts, out=1):
        """The tokens prefilled for a request that runs alone."""
        before, ended = engine.tokens_read, []
        self.assertTrue(engine.submit(Job(parts, out, lambda: None, lambda: ended.append(True))))
        self.time.advance_to(self.time.now + 60.0)
        self.assertEqual(ended, [True])
        return engine.tokens_read - before

    def test_a_prompt_part_is_cached_only_behind_its_prefix(self):
        engine = self.engine(cache_tokens=10000)
        self.assertEqual(self.ask(engine, ("a", 1000), ("b", 500)), 1500)
        self.assertEqual(self.ask(engine, ("a", 1000), ("b", 500)), 0)
        self.assertEqual(self.ask(engine, ("c", 100), ("b", 500)), 600)

    def test_the_least_recently_used_part_is_evicted(self):
        engine = self.engine(cache_tokens=2500)
        for name in "ab":
            self.ask(engine, (name, 1000))
        self.ask(engine, ("a", 1000))
        self.assertEqual(self.ask(engine, ("c", 1000)), 1000)
        self.assertEqual((self.ask(engine, ("a", 1000)), self.ask(engine, ("b", 1000))), (0, 1000))
        self.assertEqual(engine.tokens_again, 1000)

    def test_a_prompt_larger_than_the_cache_is_rejected(self):
        self.assertFalse(self.engine(cache_tokens=100).submit(Job((("a", 100),), 1, None, None)))

    def test_memory_is_shared_and_the_newest_job_is_preempted(self):
        engine, ended = self.engine(cache_tokens=1000), []
        for name in "ab":
            engine.submit(Job(((name, 400),), 150, lambda: None, lambda name=name: ended.append(name)))
        self.time.advance_to(self.time.now + 60.0)
        self.assertEqual(ended, ["a", "b"])
        self.assertGreater(engine.preemptions, 0)
        self.assertEqual(engine._used, sum(engine._cached.values()))
        self.assertEqual(+engine._pinned, {})


class MutualEvictionOnEngines(unittest.TestCase):
    SCENE = replace(SCENES["race morning"], rushes=((10.0, 70.0),), seconds=75.0)

    def run_policy(self, policy, scene=SCENE, *events):
        site = Site(scene, 3).run(policy, *events)
        self.assertEqual([line for line in site.lines if "rashed" in line or "ailed" in line], [])
        return site

    def test_moved_tenants_are_served_in_time_without_slowing_their_neighbours(self):
        with_plan, without = self.run_policy("with"), self.run_policy("without")
        self.assertGreaterEqual(in_time(with_plan, "clubs", 35.0, 70.0), 0.99)
        self.assertLess(in_time(without, "clubs", 35.0, 70.0), 0.5)
        for share in (0.5, 0.99):
            self.assertLessEqual(
                percentile(neighbours_of(with_plan), share), 1.02 * percentile(neighbours_of(without), share)
            )
        self.assertEqual(len(with_plan.answers), sum(with_plan.runs.values()), "each request ran once")

    def test_tenants_are_served_in_time_after_a_replica_is_replaced(self):
        site = self.run_policy(
            "with", self.SCENE, (45.0, lambda site: (site.leave("r0"), site.add_replica("r-new", "za")))
        )
        self.assertGreaterEqual(in_time(site, "clubs", 52.0, 70.0), 0.98)
        self.assertNotIn("r0", {one for row in site.previous.values() for one in row["replicas"]})

    def test_calm_loads_move_no_tenant(self):
        for name, scene in CALM.items():
            with self.subTest(name):
                self.assertEqual(self.run_policy("with", replace(scene, seconds=40.0)).plans, [])

    def test_a_tenant_that_floods_the_cache_does_not_slow_its_neighbours(self):
        """Its prompts are long and never repeat, so it evicts all other prefixes, wherever tenants are moved."""
        flood = replace(CALM["long prompts"].groups[0], name="flood", tenants=1, own=9000, calm=6.0, rush=6.0)
        scene = replace(self.SCENE, groups=(*self.SCENE.groups, flood), seconds=60.0, rushes=((10.0, 55.0),))
        with_plan, without = self.run_policy("with", scene), self.run_policy("without", scene)
        self.assertNotIn("flood0", with_plan.previous)
        self.assertLessEqual(percentile(neighbours_of(with_plan), 0.5), 1.02 * percentile(neighbours_of(without), 0.5))
        self.assertGreaterEqual(in_time(with_plan, "clubs", 35.0, 55.0), in_time(without, "clubs", 35.0, 55.0))
