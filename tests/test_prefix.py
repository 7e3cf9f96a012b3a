"""Mutual eviction of tenants: the gateways' counts, the cache model, the detector and the planner, each on its own."""

import random
import unittest
from collections import OrderedDict

from hypothesis import given, settings, strategies as st

from oakramp.common.constants import (
    CACHE_TIME_MAX,
    CACHE_USABLE,
    END_ROUNDS,
    EVICTED_SHARE,
    EVICTION_ROUND,
    EVICTION_WINDOW,
    TENANT_ID_LIMIT,
    TENANT_PARTS_REPORTED,
    TENANT_REPLICAS,
    TENANTS_COUNTED,
    TENANTS_MOVED,
    TENANTS_REPORTED,
    TRAP_ROUNDS,
)
from oakramp.prefix_cache.cache_model import characteristic_time, hit_share
from oakramp.prefix_cache.counters import TenantCounters, tenant_of
from oakramp.prefix_cache.detector import Detector, Load, Window, findings_of
from oakramp.prefix_cache.planner import is_worth, plan_of, read_again

CACHE = 60000
REPLICAS = [f"r{number}" for number in range(8)]


def load(rate=0.7, common=6000, fresh=200, late=0.3):
    return Load(round(rate * 10), rate, late, common, common + fresh, fresh)


def clubs(count=40, **more):
    return {f"club{number}": load(**more) for number in range(count)}


class Counting(unittest.TestCase):
    def test_tenant_is_the_first_part_of_the_prefix(self):
        self.assertEqual(tenant_of((("a1", 800), ("b2", 20))), "a1")
        self.assertIsNone(tenant_of(()))
        self.assertLessEqual(len(tenant_of((("f" * 9000, 1),))), TENANT_ID_LIMIT)

    def test_each_request_is_reported_once(self):
        counters = TenantCounters()
        for number in range(4):
            counters.note((("a1", 800), (f"own{number}", 20)), f"p{number}", number == 0, CACHE)
        counters.note((), "p", False, CACHE)
        told = counters.take()
        *counts, parts = told["tenants"]["a1"]
        self.assertEqual((counts, parts[0][1:]), ([4, 1, 3280, 80], [800, 4, ""]))
        self.assertEqual(told["rest"], [1, 0, 0, 0])
        self.assertEqual(counters.take(), {"tenants": {}, "rest": [0, 0, 0, 0]})

    def test_parts_of_one_program_are_not_shared_and_those_without_a_program_are(self):
        for program, told in (("p", False), (None, True)):
            counters = TenantCounters()
            for _ in range(3):
                counters.note((("a1", 800),), program, False, CACHE)
            self.assertEqual(counters.take()["tenants"]["a1"][4][0][3] == "", told)

    def test_invented_ids_do_not_grow_the_table_or_hide_tenants(self):
        counters = TenantCounters()
        for number in range(20 * TENANTS_COUNTED):
            is_club = number % 50 == 0
            prefix = (("club", 6000), (f"own{number}", 9)) if is_club else ((f"invented{number}" * 20, 10),) * 40
            counters.note(prefix, f"p{number}", is_club, CACHE)
        self.assertLessEqual(len(counters._tenants), TENANTS_COUNTED)
        told = counters.take()
        self.assertEqual(told["tenants"]["club"][0], len(range(0, 20 * TENANTS_COUNTED, 50)))
        self.assertLessEqual(len(told["tenants"]), TENANTS_REPORTED)
        self.assertEqual(sum(row[0] for row in told["tenants"].values()) + told["rest"][0], 20 * TENANTS_COUNTED)

    def test_number_and_size_of_parts_are_limited(self):
        counters = TenantCounters()
        counters.note(tuple((f"p{number}", 10**12) for number in range(5000)), "p", False, CACHE)
        _, _, tokens, _, parts = counters.take()["tenants"]["p0"]
        self.assertEqual((tokens, len(parts)), (CACHE, TENANT_PARTS_REPORTED))


class Model(unittest.TestCase):
    def lru(self, sets, flow, cache, seed=1, seconds=4000):
        """Hit rate of a simulated LRU cache for each working set."""
        chooser, held, used = random.Random(seed), OrderedDict(), 0
        total = sum(rate for _, rate in sets) + flow / 100
        asked, met = [0] * len(sets), [0] * len(sets)
        for number in range(int(total * seconds)):
            draw = chooser.random() * total
            index = next((place for place in range(len(sets)) if (draw := draw - sets[place][1]) < 0), None)
            name, size = (f"own{number}", 100) if index is None else (index, sets[index][0])
            if index is not None:
                asked[index] += 1
                met[index] += name in held
            if name in held:
                held.move_to_end(name)
                continue
            held[name], used = size, used + size
            while used > cache:
                used -= held.popitem(last=False)[1]
        return [hits / max(1, count) for hits, count in zip(met, asked)]

    def test_model_agrees_with_a_simulated_lru_cache(self):
        sets = [(600, 0.1 + 0.05 * place) for place in range(30)]
        for flow in (0.0, 300.0):
            seconds = characteristic_time(6000, sets, flow)
            for (_, rate), share in zip(sets, self.lru(sets, flow, 6000)):
                self.assertAlmostEqual(hit_share(rate, seconds), share, delta=0.08)

    def test_sets_that_fit_stay_cached(self):
        self.assertEqual(characteristic_time(1000, [(400, 1.0), (500, 0.1)], 0.0), CACHE_TIME_MAX)

    @given(st.lists(st.tuples(st.integers(1, 9000), st.floats(0.01, 50)), max_size=20), st.floats(0, 1e5))
    @settings(max_examples=60, deadline=None)
    def test_more_pressure_never_keeps_parts_longer(self, sets, flow):
        seconds = characteristic_time(10000, sets, flow)
        self.assertLessEqual(characteristic_time(10000, [*sets, (500, 1.0)], flow + 1), seconds + 1e-6)


class Windows(unittest.TestCase):
    def report(self, tenants, rest=(0, 0, 0, 0)):
        return {"cache": CACHE, "tenants": tenants, "rest": list(rest)}

    def test_shared_prefix_is_found_from_the_reports_of_all_gateways(self):
        """Each gateway sees a prefix once; only their reports together show that it is shared."""
        window = Window()
        for gate in range(8):
            window.add(
                1.0,
                f"g{gate}",
                1,
                self.report(
                    {"t": [1, 1, 6100, 100, [["common", 6000, 1, f"p{gate}"], [f"own{gate}", 100, 1, f"p{gate}"]]]}
                ),
            )
        loads, _ = window.loads(1.0)
        self.assertEqual(
            (loads["t"].common, loads["t"].fresh, loads["t"].requests, loads["t"].late), (6000, 100, 8, 1.0)
        )

    def test_long_session_of_one_program_is_not_a_working_set(self):
        """Turn after turn of one program, through whatever gate: it keeps to its replica, and only its last part is
        new."""
        window = Window()
        for turn in range(6):
            window.add(1.0, f"g{turn}", 1, self.report({"t": [1, 1, 9000, 300, [["history", 8700, 1, "p"]]]}))
        loads, _ = window.loads(1.0)
        self.assertEqual((loads["t"].common, loads["t"].fresh), (0, 300))

    def test_report_counts_once_and_expires(self):
        window, row = Window(), self.report({"t": [5, 0, 500, 0, [["a", 100, 5, ""]]]}, (2, 0, 300, 100))
        self.assertEqual([window.add(1.0, "g", number, row) for number in (1, 1, 0, 2)], [True, False, False, True])
        loads, flow = window.loads(2.0)
        self.assertEqual((loads["t"].requests, flow), (10, 200 / (1.0 + EVICTION_ROUND)))
        self.assertEqual(window.loads(2.0 + EVICTION_WINDOW), ({}, 0.0))
        self.assertTrue(window.add(3.0 + EVICTION_WINDOW, "g", 1, row), "a gate that began anew counts again")


class Finding(unittest.TestCase):
    def found(self, loads, flow=0.0, count=8):
        return {name for name, one in findings_of(loads, flow, CACHE, count).items() if one.is_trapped}

    def test_working_sets_that_do_not_fit_together_are_a_trap(self):
        self.assertEqual(len(self.found(clubs())), 40)

    def test_other_causes_of_late_responses_are_not_a_trap(self):
        for why, loads in (
            ("cold start or a replaced replica: late, but the sets fit", clubs(8)),
            ("plain overload: late, small prefixes", clubs(40, common=300, fresh=900, rate=5.0)),
            ("long prompts, read once by nature", clubs(10, common=200, fresh=20000)),
            ("answered in time", clubs(40, late=0.0)),
            ("too few requests to tell", {"club": load(rate=0.5), "flood": load(rate=6.0, common=10, fresh=30000)}),
            ("one that evicts itself", {"big": load(common=60000, rate=8.0)}),
        ):
            with self.subTest(why):
                self.assertEqual(self.found(loads), set())

    def test_tenant_that_floods_the_cache_is_not_moved_but_its_victims_are(self):
        loads = clubs(6) | {"flood": load(rate=6.0, common=10, fresh=30000)}
        self.assertEqual(self.found(loads), {f"club{number}" for number in range(6)})

    def test_trap_starts_and_ends_only_after_consecutive_rounds(self):
        """
        round   1      2      3      4 ...          13      14
        found   trap   trap   trap   calm           calm    calm
        judged                move                          let go
        """
        trap, calm, detector = findings_of(clubs(), 0.0, CACHE, 8), findings_of(clubs(4), 0.0, CACHE, 8), Detector()
        moved, log = set(), []
        for number in range(TRAP_ROUNDS + END_ROUNDS + 1):
            new, over = detector.judge(trap if number < TRAP_ROUNDS else calm, moved)
            moved = (moved | new) - over
            log.append((len(new), len(over)))
        self.assertEqual(
            log, [(0, 0)] * (TRAP_ROUNDS - 1) + [(40, 0)] + [(0, 0)] * (END_ROUNDS - 1) + [(0, 40), (0, 0)]
        )

    def test_intermittent_trap_moves_no_tenant(self):
        trap, detector = findings_of(clubs(), 0.0, CACHE, 8), Detector()
        for number in range(30):
            self.assertEqual(detector.judge(trap if number % TRAP_ROUNDS else {}, ())[0], set())

    def test_evicted_tenants_in_time_are_moved_with_the_late_ones(self):
        loads, detector = clubs(4) | {f"quick{number}": load(late=0.0) for number in range(36)}, Detector()
        moved = [detector.judge(findings_of(loads, 0.0, CACHE, 8), ())[0] for _ in range(TRAP_ROUNDS)][-1]
        self.assertEqual(len(moved), 40)


class Planning(unittest.TestCase):
    def plan(self, loads, tenants=None, previous=(), replicas=REPLICAS):
        return plan_of(loads, set(loads) if tenants is None else set(tenants), replicas, CACHE, dict(previous))

    def test_sets_fit_and_rates_are_even(self):
        loads = clubs(48)
        plan, without = self.plan(loads)
        self.assertEqual((len(plan), without), (48, []))
        for replica in REPLICAS:
            here = [name for name, replicas in plan.items() if replica in replicas]
            self.assertEqual(len(here), 6)
            self.assertLessEqual(sum(loads[name].common for name in here), CACHE_USABLE * CACHE)
        again = read_again(loads, 0.0, CACHE, REPLICAS, plan)
        self.assertLess(sum(again.values()), 0.05 * sum(read_again(loads, 0.0, CACHE, REPLICAS, {}).values()))
        self.assertTrue(is_worth(loads, 0.0, CACHE, REPLICAS, plan))

    def test_plan_moves_as_little_as_possible(self):
        plan, _ = self.plan(clubs(24))
        grown, _ = self.plan(clubs(30), previous=plan)
        self.assertEqual({name: grown[name] for name in plan}, plan)
        without_r0, _ = self.plan(clubs(30), previous=grown, replicas=REPLICAS[1:])
        self.assertEqual(
            {name for name in grown if without_r0[name] != grown[name]}, {name for name in grown if "r0" in grown[name]}
        )

    def test_hot_tenant_gets_several_replicas_but_never_all(self):
        loads = clubs(10) | {"hot": load(rate=30.0, fresh=20)}
        self.assertEqual(len(self.plan(loads)[0]["hot"]), TENANT_REPLICAS * len(REPLICAS))

    def test_no_room_to_move(self):
        loads = clubs(200)
        plan, without = self.plan(loads)
        self.assertEqual(len(plan) + len(without), 200)
        self.assertGreater(len(without), 0)
        self.assertEqual(self.plan(clubs(5, common=70000))[0], {})
        self.assertEqual(self.plan(clubs(5), replicas=[])[0], {})
        loads = clubs(40, fresh=20)
        only = self.plan(loads, replicas=["r0"])[0]
        self.assertTrue(only)
        self.assertFalse(is_worth(loads, 0.0, CACHE, ["r0"], only), "the same replica is no way out")

    def test_number_of_moved_tenants_is_limited(self):
        loads = clubs(2 * TENANTS_MOVED, common=100, fresh=5)
        self.assertLessEqual(len(self.plan(loads)[0]), TENANTS_MOVED)

    def test_flood_that_no_plan_helps_against_moves_no_tenant(self):
        loads = clubs(10) | {"flood": load(rate=40.0, common=10, fresh=55000)}
        plan, _ = self.plan(loads, [name for name in loads if name != "flood"])
        self.assertFalse(plan and is_worth(loads, 0.0, CACHE, REPLICAS, plan))

    def test_tenant_without_requests_for_a_moment_stays(self):
        plan, _ = self.plan(clubs(10))
        self.assertEqual(self.plan({}, plan, previous=plan), (plan, []))

    @given(
        st.lists(st.tuples(st.floats(0.1, 30), st.integers(1, 80000), st.integers(0, 5000)), min_size=1, max_size=40),
        st.integers(1, 8),
    )
    @settings(max_examples=60, deadline=None)
    def test_any_plan_names_ready_replicas_and_stays_within_its_bounds(self, rows, count):
        loads = {f"t{place}": load(*row) for place, row in enumerate(rows)}
        plan, without = self.plan(loads, replicas=REPLICAS[:count])
        self.assertEqual(plan.keys() & set(without), set())
        for name, replicas in plan.items():
            self.assertLessEqual(set(replicas), set(REPLICAS[:count]))
            self.assertLessEqual(len(replicas), max(1, TENANT_REPLICAS * count))
        self.assertEqual(self.plan(loads, plan, previous=plan, replicas=REPLICAS[:count])[0].keys(), plan.keys())


class Constants(unittest.TestCase):
    def test_rounds_are_well_under_a_window(self):
        self.assertLess(TRAP_ROUNDS * EVICTION_ROUND, EVICTION_WINDOW)
        self.assertGreater(EVICTED_SHARE, 0.1)
