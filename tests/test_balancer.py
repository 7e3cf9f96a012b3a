"""Unit tests of the balancer: replica selection, the queue of waiting requests, and that no reserved place is lost."""

import json
import random
import unittest
from dataclasses import replace
from types import SimpleNamespace

from hypothesis import given, settings, strategies as st
from twisted.internet import defer, task

from oakramp.common.constants import (
    BALANCER_QUEUE,
    EJECT_AFTER,
    EJECT_LONGEST,
    FIRST_TURN_RETRY_AFTER,
    LOAD_AGE,
    OUTLIER_WINDOW,
    SHED_PAUSE,
)
from oakramp.common.errors import DeadlineExceededError, OakrampError, OverloadedError, Verdict
from oakramp.common.structured_logging import EventLogger
from oakramp.control.replica_registry import REPLICAS_KEY
from oakramp.gateway.balancer import Balancer, PlacementRequest
from oakramp.gossip.state_table import StateTable


class Bench:
    """A balancer on a fake clock, with a replica table that the test changes. Each replica has `slots` slots."""

    def __init__(self, replicas=3, slots=2, service="s", zone="za", seed=1, zones=("za", "zb", "zc")):
        self.clock, self.lines = task.Clock(), []
        self.state_table, self.version = StateTable(self.clock), 0
        node = SimpleNamespace(
            reactor=self.clock,
            env={"zone": zone},
            state_table=self.state_table,
            random=random.Random(seed),
            members=SimpleNamespace(live_count=lambda kind: 1),
            gossip_client=SimpleNamespace(publish_item=lambda name, value: None, source="node/me/1"),
        )
        self.balancer = Balancer(node, EventLogger(self.lines.append))
        self.removed_ids = []
        self.balancer.on_replica_removed = self.removed_ids.append
        self.rows, self.slots = {}, slots
        for number in range(replicas):
            self.put(f"r{number}", service, zone=zones[number % len(zones)], publish=False)
        self.publish()

    def put(self, name, service="s", state="ready", zone="za", publish=True):
        self.rows[name] = {
            "id": name,
            "address": f"10.0.0.{len(self.rows) + 1}:80",
            "pool": service,
            "state": state,
            "zone": zone,
            "slots": self.slots,
        }
        if publish:
            self.publish()

    def remove(self, name):
        del self.rows[name]
        self.publish()

    def publish(self):
        self.version += 1
        self.state_table.set_items(
            REPLICAS_KEY, self.version, {name: json.dumps(row).encode() for name, row in self.rows.items()}
        )

    def placement_request(self, patience=10.0, rank=0, affinity="", excluded=(), service="s", tenant=None, **more):
        return PlacementRequest(
            service, self.slots, rank, self.clock.seconds() + patience, affinity, frozenset(excluded), tenant, **more
        )

    def ask(self, *arguments, **more):
        """Calls acquire; returns a list that is empty while it waits, then holds an instance or an error."""
        outcome = []
        defer.ensureDeferred(self.balancer.acquire(self.placement_request(*arguments, **more))).addBoth(
            lambda result: outcome.append(getattr(result, "value", result))
        )
        return outcome

    def take(self, **more):
        """Acquires an instance that must be available at once."""
        outcome = self.ask(**more)
        assert outcome and not isinstance(outcome[0], Exception), outcome
        return outcome[0]

    def fill(self, name, service="s"):
        """Fills this replica to its capacity, and returns the acquired instances."""
        instance, taken = self.balancer.instances[name], []
        others = [other for other in self.rows if other != name]
        while True:
            outcome = self.ask(0.0, excluded=others, service=service)
            self.clock.advance(0)
            if not outcome or isinstance(outcome[0], Exception):
                return taken
            assert outcome[0] is instance
            taken.append(instance)

    def held(self):
        return sum(one.in_flight for one in self.balancer.instances.values())


class ReplicaSelection(unittest.TestCase):
    def test_requests_are_spread_over_the_least_loaded_replicas(self):
        bench = Bench(replicas=3, slots=4)
        taken = [bench.take() for _ in range(6)]
        self.assertEqual({one.in_flight for one in bench.balancer.instances.values()}, {2})
        self.assertEqual(len(taken), 6)

    def test_equal_loads_prefer_the_own_zone(self):
        self.assertEqual({Bench(seed=seed).take().row["zone"] for seed in range(10)}, {"za"})

    def test_reported_load_counts_until_it_is_too_old(self):
        bench = Bench(replicas=2, slots=4)
        first = bench.balancer.instances["r0"]
        bench.balancer.record_load(first, (3, 0, 4))
        self.assertEqual([bench.take().row["id"] for _ in range(2)], ["r1", "r1"])
        bench.clock.advance(LOAD_AGE + 0.1)
        self.assertEqual(bench.take().row["id"], "r0")

    def test_slots_reported_by_the_replica_override_the_listed_slots(self):
        bench = Bench(replicas=1, slots=1)
        bench.balancer.record_load(bench.balancer.instances["r0"], (0, 0, 16))
        taken = [bench.take() for _ in range(16)]
        self.assertEqual(len(taken), 16)

    def replica_by_program(self, bench, count=12):
        """Program -> the replica that it goes to while nothing else is running."""
        names = {}
        for number in range(count):
            instance = bench.take(affinity=f"p{number}")
            names[f"p{number}"] = instance.row["id"]
            bench.balancer.release(instance)
        return names

    def test_a_program_keeps_its_replica(self):
        bench = Bench(replicas=3, slots=8, zones=("za",))
        names = self.replica_by_program(bench)
        self.assertEqual(set(names.values()), {"r0", "r1", "r2"})
        self.assertEqual(self.replica_by_program(bench), names)
        bench.take()
        self.assertEqual(self.replica_by_program(bench), names)

    def test_a_program_leaves_a_full_replica(self):
        bench = Bench(replicas=2, slots=2)
        home = bench.take(affinity="p").row["id"]
        bench.fill(home)
        self.assertNotEqual(bench.take(affinity="p").row["id"], home)

    def test_a_full_replica_does_not_move_programs_of_other_replicas(self):
        bench = Bench(replicas=3, slots=8, zones=("za",))
        names = self.replica_by_program(bench)
        bench.fill("r0")
        now = self.replica_by_program(bench)
        self.assertEqual(
            {program: name for program, name in now.items() if names[program] != "r0"},
            {program: name for program, name in names.items() if name != "r0"},
        )

    def test_leaving_replicas_get_no_requests(self):
        bench = Bench(replicas=2)
        bench.put("r0", state="leaving")
        self.assertEqual([bench.take().row["id"] for _ in range(2)], ["r1", "r1"])
        self.assertFalse(bench.balancer.is_ready(bench.balancer.instances["r0"]))

    def test_a_removed_replica_is_not_ready(self):
        bench = Bench()
        instance = bench.take()
        bench.remove(instance.row["id"])
        self.assertFalse(bench.balancer.is_ready(instance))
        self.assertEqual(bench.removed_ids, [instance.row["id"]])
        bench.balancer.release(instance)

    def test_no_replica_left_fails_at_once_with_verdict_no(self):
        for bench, more in (
            (Bench(replicas=0), {}),
            (Bench(), {"excluded": ["r0", "r1", "r2"]}),
            (Bench(), {"service": "no"}),
        ):
            error = bench.ask(**more)[0]
            self.assertIsInstance(error, OverloadedError)
            self.assertIs(error.verdict, Verdict.NO)


class PlannedReplicas(unittest.TestCase):
    """Requests of tenants that have planned replicas."""

    def bench(self, *planned, **more):
        bench = Bench(**({"replicas": 4, "slots": 10, "zones": ("za",)} | more))
        plan = {"club": frozenset(planned)}
        bench.balancer._placement = SimpleNamespace(planned_replica_ids=lambda service, tenant: plan.get(tenant))
        return bench

    def test_a_tenant_uses_its_planned_replicas_and_each_program_one_of_them(self):
        bench = self.bench("r1", "r2")
        homes = {}
        for program in [f"p{number}" for number in range(12)] * 2:
            instance = bench.take(affinity=program, tenant="club")
            homes.setdefault(program, set()).add(instance.row["id"])
            bench.balancer.release(instance)
        self.assertEqual(set().union(*homes.values()), {"r1", "r2"})
        self.assertTrue(all(len(one) == 1 for one in homes.values()))

    def test_tenants_without_a_plan_use_all_replicas(self):
        bench = self.bench("r1")
        self.assertEqual(
            {bench.take(tenant=tenant).row["id"] for tenant in (None, "other", None, "other")}, {"r0", "r1", "r2", "r3"}
        )

    def test_other_replicas_are_used_if_the_planned_ones_have_no_capacity(self):
        def fill(bench):
            bench.fill("r1")

        def overloaded(bench):
            bench.balancer.record_load(bench.balancer.instances["r1"], (12, 0, 10))

        def draining(bench):
            bench.put("r1", state="leaving")

        def removed(bench):
            bench.remove("r1")

        def ejected(bench):
            bench.balancer.failed(bench.balancer.instances["r1"], at_once=True)

        def shed(bench):
            bench.balancer.shed(bench.balancer.instances["r1"])

        for trouble in (fill, overloaded, draining, removed, ejected, shed):
            with self.subTest(trouble.__name__):
                bench = self.bench("r1")
                self.assertEqual(bench.take(tenant="club").row["id"], "r1")
                trouble(bench)
                self.assertNotEqual(bench.take(tenant="club").row["id"], "r1")
        bench = self.bench("r1")
        self.assertNotEqual(bench.take(tenant="club", excluded=["r1"]).row["id"], "r1", "it has been tried already")

    def test_if_all_replicas_are_as_full_it_waits_for_the_planned_one_first(self):
        """
        club         others        r1      r0, r2, r3
        waits                      full    one free place each
                     served <------------- at once
        served <-------------------------- after prefer_planned_until
        """
        bench = self.bench("r1")
        bench.fill("r1")
        for name in ("r0", "r2", "r3"):
            bench.fill(name)
            bench.balancer.release(bench.balancer.instances[name])
        outcome = []
        placement_request = replace(bench.placement_request(4.0, tenant="club"), prefer_planned_until=2.0)
        defer.ensureDeferred(bench.balancer.acquire(placement_request)).addCallback(outcome.append)
        self.assertTrue(bench.ask(), "it does not block other requests")
        bench.clock.pump([SHED_PAUSE] * int(1.9 / SHED_PAUSE))
        self.assertEqual(outcome, [])
        bench.clock.pump([SHED_PAUSE] * 5)
        self.assertNotEqual(outcome[0].row["id"], "r1")

    def test_rank_takes_precedence_over_the_plan(self):
        bench = self.bench("r0", replicas=1, slots=1)
        taken, order = bench.fill("r0"), []
        for name, rank, tenant in (("club", 1, "club"), ("urgent", 0, None)):
            defer.ensureDeferred(bench.balancer.acquire(bench.placement_request(9.0, rank, tenant=tenant))).addCallback(
                lambda instance, name=name: order.append(name)
            )
        bench.balancer.release(taken.pop())
        self.assertEqual(order, ["urgent"])


class LastReplica(unittest.TestCase):
    """A program stays on the replica that had its last turn, whichever replica its hash selects."""

    def setUp(self):
        self.bench = Bench(replicas=3, slots=4)
        self.named = self.bench.take(affinity="p").row["id"]
        self.bench.balancer.release(self.bench.balancer.instances[self.named])
        self.home = next(name for name in self.bench.rows if name != self.named)

    def tell(self, name, running):
        self.bench.balancer.record_load(self.bench.balancer.instances[name], (running, 0, 4))

    def take(self, **more):
        return self.bench.take(affinity="p", last_replica_id=self.home, **more).row["id"]

    def test_it_is_kept_though_others_have_more_capacity(self):
        self.tell(self.home, 3)
        self.assertEqual(self.take(), self.home)

    def test_it_is_left_if_others_have_far_more_capacity(self):
        self.tell(self.home, 5)
        self.assertNotEqual(self.take(), self.home)

    def test_after_its_removal_the_hashed_replica_is_used(self):
        self.bench.remove(self.home)
        self.assertEqual(self.take(), self.named)

    def test_a_new_program_goes_to_the_least_loaded_replica(self):
        self.tell(self.named, 2)
        taken = self.bench.take(affinity="p", admission_threshold=0.9).row["id"]
        self.assertNotEqual(taken, self.named)


class ProgramAdmission(unittest.TestCase):
    """New programs are placed only where there is capacity for the turns that follow."""

    SHARE = 0.5

    def setUp(self):
        self.bench = Bench(replicas=2, slots=4)

    def begin(self, patience=0.05):
        return self.bench.ask(patience, rank=(True, 0), admission_threshold=self.SHARE)

    def tell(self, *loads):
        for name, running in zip(self.bench.rows, loads, strict=True):
            self.bench.balancer.record_load(self.bench.balancer.instances[name], (running, 0, 4))

    def test_it_starts_on_a_replica_below_the_threshold(self):
        self.tell(3, 1)
        self.assertEqual(self.begin()[0].row["id"], "r1")

    def test_it_is_refused_if_no_replica_is_below_the_threshold(self):
        self.tell(3, 4)
        with self.assertRaises(OverloadedError) as raised:
            self.bench.balancer.check_program_admission(self.bench.placement_request(admission_threshold=self.SHARE))
        self.assertEqual((raised.exception.verdict, raised.exception.retry_after), (Verdict.NO, FIRST_TURN_RETRY_AFTER))
        outcome = self.begin()
        self.bench.clock.pump([0.03, 0.03])
        self.assertIsInstance(outcome[0], OverloadedError)
        self.assertEqual(self.bench.balancer.waiting_count(), 0)

    def test_follow_up_turns_are_placed_above_the_threshold(self):
        self.tell(2, 3)
        self.assertIn(self.bench.take(rank=(False, 0)).row["id"], ("r0", "r1"))

    def test_follow_up_turns_are_served_before_new_programs(self):
        bench = Bench(replicas=1, slots=4)
        bench.balancer.record_load(bench.balancer.instances["r0"], (5, 0, 4))
        order = []
        for name, more in (
            ("new", {"rank": (True, 0), "admission_threshold": 1.0}),
            ("late", {"rank": (False, 0), "finish_at": 9.0}),
            ("soon", {"rank": (False, 0), "finish_at": 3.0}),
        ):
            defer.ensureDeferred(bench.balancer.acquire(bench.placement_request(**more))).addCallback(
                lambda instance, name=name: order.append(name)
            )
        self.assertEqual(order, [])
        bench.clock.pump([0.05] * int(LOAD_AGE / 0.05 + 4))
        self.assertEqual(order, ["soon", "late", "new"])

    def test_the_admission_check_passes_if_there_is_no_replica(self):
        """Without any replica, the error comes from acquire: all replicas may be unavailable for a moment only."""
        bench = Bench(replicas=0)
        bench.balancer.check_program_admission(bench.placement_request(admission_threshold=self.SHARE))

    def test_replicas_without_a_report_are_filled_to_capacity(self):
        for _ in range(10):
            self.begin()
        self.assertEqual(self.bench.held(), 10)

    def test_a_permanently_loaded_replica_does_not_block_the_others(self):
        for _ in range(20):
            self.tell(16, 0)
            self.bench.clock.advance(0.05)
        self.assertEqual(self.begin()[0].row["id"], "r1")


class WaitingQueue(unittest.TestCase):
    def test_order_is_by_rank_then_deadline(self):
        bench = Bench(replicas=1, slots=1)
        taken = bench.fill("r0")
        order = []
        for name, rank, patience in (("late", 1, 9.0), ("soon", 1, 3.0), ("first", 0, 9.0)):
            defer.ensureDeferred(bench.balancer.acquire(bench.placement_request(patience, rank))).addCallback(
                lambda instance, name=name: order.append((name, instance))
            )
        for _ in range(3):
            bench.balancer.release(taken.pop() if taken else order[-1][1])
            bench.clock.advance(0.001)
        self.assertEqual([name for name, _ in order][:3], ["first", "soon", "late"])

    def test_a_wait_timeout_has_verdict_no_and_leaves_no_waiter(self):
        bench = Bench(replicas=1, slots=1)
        taken = bench.fill("r0")
        outcome = bench.ask(0.5)
        bench.clock.pump([0.1] * 6)
        self.assertIsInstance(outcome[0], DeadlineExceededError)
        self.assertIs(outcome[0].verdict, Verdict.NO)
        self.assertEqual((bench.balancer.waiting_count(), bench.held()), (0, len(taken)))

    def test_a_new_replica_serves_waiting_requests(self):
        bench = Bench(replicas=1, slots=1)
        bench.fill("r0")
        outcome = bench.ask()
        bench.put("r9")
        bench.clock.advance(0.001)
        self.assertEqual(outcome[0].row["id"], "r9")

    def test_waiting_requests_are_served_when_the_shed_pause_ends(self):
        bench = Bench(replicas=1)
        bench.balancer.shed(bench.balancer.instances["r0"])
        outcome = bench.ask()
        self.assertEqual(outcome, [])
        bench.clock.pump([SHED_PAUSE / 4] * 12)
        self.assertEqual(outcome[0].row["id"], "r0")

    def test_waiting_requests_are_served_when_a_report_has_aged(self):
        bench = Bench(replicas=1, slots=1)
        bench.balancer.record_load(bench.balancer.instances["r0"], (1, 4, 1))
        outcome = bench.ask()
        self.assertEqual(outcome, [])
        bench.clock.pump([0.05] * int(LOAD_AGE / 0.05 + 4))
        self.assertEqual([one.row["id"] for one in outcome], ["r0"])

    def test_the_queue_is_bounded(self):
        bench = Bench(replicas=1, slots=1)
        bench.fill("r0")
        outcomes = [bench.ask() for _ in range(BALANCER_QUEUE + 1)]
        self.assertIsInstance(outcomes[-1][0], OverloadedError)
        self.assertEqual(bench.balancer.waiting_count(), BALANCER_QUEUE)

    def test_a_request_that_excludes_the_free_replica_does_not_block_the_queue(self):
        """r0 is full, r1 is free; the first waiting request has tried r1 already, the second has not."""
        bench = Bench(replicas=2, slots=1)
        bench.fill("r0")
        first, second = bench.ask(excluded=["r1"]), bench.ask()
        bench.clock.advance(SHED_PAUSE * 2)
        self.assertEqual([first, [one.row["id"] for one in second]], [[], ["r1"]])

    def test_a_cancelled_request_holds_no_place(self):
        bench = Bench(replicas=1, slots=1)
        taken = bench.fill("r0")
        waiting = defer.ensureDeferred(bench.balancer.acquire(bench.placement_request()))
        waiting.addErrback(lambda _: None)
        waiting.cancel()
        for instance in taken:
            bench.balancer.release(instance)
        bench.clock.advance(1.0)
        self.assertEqual((bench.held(), bench.balancer.waiting_count()), (0, 0))


class FailureHandling(unittest.TestCase):
    def test_consecutive_failures_eject_a_replica_temporarily(self):
        bench = Bench(replicas=3)
        one = bench.balancer.instances["r0"]
        for _ in range(EJECT_AFTER):
            bench.balancer.failed(one)
        for _ in range(4):
            self.assertNotEqual(bench.take().row["id"], "r0")
        bench.clock.advance(EJECT_LONGEST + 0.1)
        self.assertEqual(bench.take().row["id"], "r0")

    def test_a_success_resets_the_failure_count(self):
        bench = Bench(replicas=3)
        one = bench.balancer.instances["r0"]
        for _ in range(3 * EJECT_AFTER):
            bench.balancer.failed(one)
            bench.balancer.succeeded(one)
            bench.clock.advance(0.6 * OUTLIER_WINDOW)
        self.assertEqual(bench.take().row["id"], "r0")

    def test_a_replica_that_fails_half_of_the_time_is_an_outlier_but_not_ejected(self):
        bench = Bench(replicas=3)
        one = bench.balancer.instances["r0"]
        for _ in range(3 * EJECT_AFTER):
            bench.balancer.failed(one)
            bench.balancer.succeeded(one)
        self.assertNotEqual(bench.take().row["id"], "r0")
        self.assertLess(one.unavailable_until, bench.clock.seconds())
        bench.clock.advance(OUTLIER_WINDOW + 0.1)
        self.assertEqual(bench.take().row["id"], "r0")

    def test_not_all_replicas_are_ejected(self):
        bench = Bench(replicas=3)
        for one in bench.balancer.instances.values():
            for _ in range(5 * EJECT_AFTER):
                bench.balancer.failed(one)
        self.assertTrue(bench.take())

    def test_an_unreachable_replica_is_ejected_at_once(self):
        bench = Bench(replicas=2)
        bench.balancer.failed(bench.balancer.instances["r0"], at_once=True)
        self.assertEqual([bench.take().row["id"] for _ in range(2)], ["r1", "r1"])


STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just("ask"),
            st.integers(0, 2),
            st.sampled_from([0.05, 0.5, 5.0]),
            st.sampled_from(["", "a", "b"]),
            st.sets(st.sampled_from(["r0", "r1", "r2", "r3"])),
        ),
        st.tuples(st.just("release"), st.integers(0, 30)),
        st.tuples(st.just("advance"), st.sampled_from([0.01, 0.2, 2.0])),
        st.tuples(st.just("told"), st.integers(0, 3), st.integers(0, 4)),
        st.tuples(st.just("shed"), st.integers(0, 3)),
        st.tuples(st.just("failed"), st.integers(0, 3)),
        st.tuples(st.just("state"), st.integers(0, 3), st.booleans()),
        st.tuples(st.just("gone"), st.integers(0, 3)),
        st.tuples(st.just("cancel"), st.integers(0, 10)),
    ),
    max_size=60,
)


class RandomOperations(unittest.TestCase):
    @settings(max_examples=150, deadline=None)
    @given(STEPS)
    def test_places_are_counted_and_every_request_is_answered(self, steps):
        bench, held, waiting = Bench(replicas=4, slots=2), [], []

        def ask(rank, patience, affinity, excluded):
            work = defer.ensureDeferred(
                bench.balancer.acquire(bench.placement_request(patience, rank, affinity, excluded))
            )
            waiting.append(work)

            def ended(result):
                waiting.remove(work)
                error = getattr(result, "value", None)
                if error is None:
                    self.assertNotIn(result.row["id"], excluded)
                    held.append(result)
                elif isinstance(error, OakrampError):
                    self.assertIs(error.verdict, Verdict.NO)

            work.addBoth(ended)

        for name, *values in steps:
            row = f"r{values[0]}" if values and isinstance(values[0], int) else None
            one = bench.balancer.instances.get(row)
            if name == "ask":
                ask(*values)
            elif name == "release" and held:
                bench.balancer.release(held.pop(values[0] % len(held)))
            elif name == "advance":
                bench.clock.advance(values[0])
            elif name == "told" and one:
                bench.balancer.record_load(one, (values[1], 0, 2))
            elif name == "shed" and one:
                bench.balancer.shed(one)
            elif name == "failed" and one:
                bench.balancer.failed(one)
            elif name == "state":
                bench.put(row, state="ready" if values[1] else "leaving")
            elif name == "gone" and one:
                bench.remove(row)
            elif name == "cancel" and waiting:
                waiting[values[0] % len(waiting)].cancel()
            counts = {id(instance): 0 for instance in held}
            for instance in held:
                counts[id(instance)] += 1
            for instance in held:
                self.assertEqual(instance.in_flight, counts[id(instance)])
            self.assertEqual(bench.held(), sum(one.in_flight for one in bench.balancer.instances.values()))
            self.assertEqual(bench.balancer.waiting_count(), len(waiting))
        bench.clock.pump([0.5] * 12)
        self.assertEqual(waiting, [])
        for instance in list(held):
            held.remove(instance)
            bench.balancer.release(instance)
        self.assertEqual(bench.held(), 0)


class Demand(unittest.TestCase):
    def test_demand_counts_running_waiting_and_refused_requests(self):
        bench = Bench(replicas=1, slots=4)
        for _ in range(5):  # four slots, and one request queued at the replica
            bench.ask()
        bench.ask(patience=0.5)
        self.assertEqual(bench.balancer.take_demand("s"), (6, 0))
        bench.clock.pump([0.1] * 6)
        self.assertEqual(bench.balancer.take_demand("s"), (5, 1))
        self.assertEqual(bench.balancer.take_demand("s"), (5, 0))
        self.assertEqual(bench.balancer.take_demand("other"), (0, 0))

    def test_refused_programs_count_as_demand(self):
        bench = Bench(replicas=1, slots=4)
        instance = bench.ask()[0]
        bench.balancer.record_load(instance, (4, 0, 4))
        with self.assertRaises(OverloadedError):
            bench.balancer.check_program_admission(bench.placement_request(admission_threshold=0.5))
        self.assertEqual(bench.balancer.take_demand("s"), (1, 1))


if __name__ == "__main__":
    unittest.main()
