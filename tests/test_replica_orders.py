"""Guards against two leaders that order different counts for one zone, orders below the ready replicas, and flapping.

Tests the sizing alone, the commands of the key, and whole control nodes and gateways with a simulated platform that
starts and closes replicas as ordered.
"""

import json
import random
import unittest
from collections import Counter

from fenced_world import Arrival, faults_of_calls
from hypothesis import given, settings, strategies as st
from sortedcontainers import SortedDict

from oakramp.common.constants import FENCED_REFUSALS_MAX
from oakramp.common.errors import BadRequestError, OakrampError
from oakramp.control import replica_orders
from oakramp.control.admin_api import AdminApi
from oakramp.control.command_context import CommandContext
from oakramp.control.controllers import CONTROLLERS
from oakramp.control.replica_ordering import slots_of, zones_of
from oakramp.control.replica_orders import demand_in, orders_in
from oakramp.control.replica_sizing import (
    DEMAND_GAP,
    DEMAND_WARM_UP,
    FORECAST_LIMIT,
    SCALE_IN_PAUSE,
    STABILIZATION_WINDOW,
    TARGET_USE,
    ReplicaRange,
    ServiceSizing,
    ZoneReplicas,
)
from oakramp.control.shards import shard_of_key
from oakramp.control.transaction import Transaction
from relay_fleet import ZONES, RelayFleet

KEY = replica_orders.ORDERS_KEY
SLOTS = 8


class SimulatedService:
    """Simulates the replicas of one service; new ones are ready after `boot_s`, closing ones are gone after 5 s.

    Invariants: `history` has (time, zone, count) of every order; `zones` is the input of the sizing.
    """

    def __init__(self, counts, least=1, most=10, boot_s=4):
        self.range = ReplicaRange(least, most, boot_s)
        self.sizing = ServiceSizing()
        self.ready, self.leaving, self.ordered = dict(counts), Counter(), {}
        self.changes = []  # future (time, zone, change of ready, change of leaving)
        self.now = 0.0
        self.history = []

    zones = property(
        lambda self: {
            zone: ZoneReplicas(self.ready[zone], self.leaving[zone], self.ordered.get(zone)) for zone in self.ready
        }
    )

    def total(self):
        return sum(one.expected for one in self.zones.values())

    def step(self, demand):
        """Simulates one second with this demand; None if it is unknown."""
        self.now += 1.0
        for change in [change for change in self.changes if change[0] <= self.now]:
            self.changes.remove(change)
            self.ready[change[1]] += change[2]
            self.leaving[change[1]] += change[3]
        if demand is None:
            return
        self.sizing.observe(self.now, demand)
        for zone, count in self.sizing.orders(self.now, SLOTS, self.range, self.zones).items():
            self._apply_order(zone, count, self.zones[zone].expected)

    def _apply_order(self, zone, count, before):
        self.ordered[zone] = count
        self.history.append((self.now, zone, count))
        if count > before:
            self.changes.append((self.now + self.range.boot_s, zone, count - before, 0))
        else:
            self.changes.append((self.now + 1, zone, count - before, before - count))
            self.changes.append((self.now + 5, zone, 0, count - before))

    def play(self, demand, seconds):
        for _ in range(int(seconds)):
            self.step(demand)
        return self


def same_count_in_all_zones(count):
    return dict.fromkeys(ZONES, count)


class Sizing(unittest.TestCase):
    def test_demand_at_the_target_orders_nothing(self):
        self.assertEqual(SimulatedService(same_count_in_all_zones(4)).play(12 * SLOTS * TARGET_USE, 600).history, [])

    def test_scale_out_is_immediate_and_in_the_smallest_zones(self):
        service_sim = SimulatedService({"za": 2, "zb": 4, "zc": 4})
        service_sim.play(12 * SLOTS * TARGET_USE, DEMAND_WARM_UP + 1)
        self.assertEqual({zone: one.expected for zone, one in service_sim.zones.items()}, {"za": 4, "zb": 4, "zc": 4})
        self.assertEqual(len(service_sim.history), 1)

    def test_rising_demand_is_met_boot_time_ahead(self):
        rising = SimulatedService(same_count_in_all_zones(4), boot_s=10)
        for second in range(20):
            rising.step(20 + 2 * second)
        needed_now = 58 / SLOTS / TARGET_USE
        self.assertGreater(rising.total(), needed_now + 2)
        self.assertLessEqual(rising.total(), FORECAST_LIMIT * needed_now + 1)

    def test_scale_in_waits_for_the_window_and_takes_single_steps(self):
        service_sim = SimulatedService(same_count_in_all_zones(8)).play(60, STABILIZATION_WINDOW - 1)
        self.assertEqual(service_sim.history, [])
        service_sim.play(60, 600)
        times = [at for at, _, _ in service_sim.history]
        self.assertGreater(len(times), 2)
        self.assertTrue(all(later - at >= SCALE_IN_PAUSE for at, later in zip(times, times[1:], strict=False)))
        self.assertGreaterEqual(service_sim.total(), 60 / SLOTS / TARGET_USE)
        self.assertLessEqual(max(service_sim.ready.values()) - min(service_sim.ready.values()), 1)

    def test_short_drop_of_demand_removes_no_replica(self):
        service_sim = (
            SimulatedService(same_count_in_all_zones(4)).play(38, 100).play(0, STABILIZATION_WINDOW - 5).play(38, 100)
        )
        self.assertEqual(service_sim.history, [])

    def test_unknown_demand_orders_nothing_and_clears_the_history(self):
        service_sim = (
            SimulatedService(same_count_in_all_zones(4)).play(5, STABILIZATION_WINDOW - 2).play(None, DEMAND_GAP + 1)
        )
        service_sim.play(5, STABILIZATION_WINDOW - 1)
        self.assertEqual(service_sim.history, [])
        fresh = SimulatedService(same_count_in_all_zones(4)).play(90, DEMAND_WARM_UP)
        self.assertEqual(fresh.history, [])

    def test_no_scale_in_while_replicas_leave_or_are_missing(self):
        service_sim = SimulatedService(same_count_in_all_zones(4))
        service_sim.leaving["za"] = 1
        self.assertEqual(service_sim.play(5, 300).history, [])
        service_sim.leaving["za"] = 0
        service_sim.ready["za"] = 3  # one was lost without an order
        service_sim.ordered = same_count_in_all_zones(4)
        service_sim.play(5, 300)
        self.assertNotIn("za", {zone for _, zone, _ in service_sim.history})

    def test_last_replica_is_kept_without_demand(self):
        service_sim = SimulatedService({"za": 2}, least=0).play(0, 300)
        self.assertEqual(service_sim.total(), 1)

    def test_order_outside_a_new_range_is_clamped(self):
        service_sim = SimulatedService(same_count_in_all_zones(4), most=9).play(9 * 3 * SLOTS * TARGET_USE, 30)
        self.assertEqual(service_sim.ordered, same_count_in_all_zones(9))
        service_sim.range = ReplicaRange(1, 6, 4)
        service_sim.step(9 * 3 * SLOTS * TARGET_USE)
        self.assertEqual(service_sim.ordered, same_count_in_all_zones(6))


class SizingProperties(unittest.TestCase):
    @settings(max_examples=150, deadline=None)
    @given(
        counts=st.lists(st.integers(2, 6), min_size=1, max_size=4),
        least=st.integers(0, 2),
        loads=st.lists(st.one_of(st.none(), st.integers(0, 200)), min_size=1, max_size=12),
    )
    def test_orders_stay_within_the_range_and_decrease_by_single_steps(self, counts, least, loads):
        service_sim = SimulatedService({f"z{number}": count for number, count in enumerate(counts)}, least, 6)
        for load in loads:
            service_sim.play(load, 23)
        last = dict(enumerate(counts))
        for at, zone, count in service_sim.history:
            number = int(zone[1:])
            self.assertTrue(least <= count <= 6, (at, zone, count))
            self.assertGreaterEqual(count, last[number] - 1)
            self.assertNotEqual(count, last[number])
            last[number] = count
        self.assertGreaterEqual(service_sim.total(), 1)

    @settings(max_examples=100, deadline=None)
    @given(demand=st.floats(0, 300), counts=st.lists(st.integers(1, 10), min_size=1, max_size=4))
    def test_constant_demand_converges_without_reversal(self, demand, counts):
        service_sim = SimulatedService({f"z{number}": count for number, count in enumerate(counts)})
        totals = [service_sim.step(demand) or service_sim.total() for _ in range(1500)]
        increases = [later > before for before, later in zip(totals, totals[1:], strict=False) if later != before]
        self.assertIn(len(set(increases)), (0, 1), totals)
        self.assertEqual(len(set(totals[-100:])), 1)

    @settings(max_examples=100, deadline=None)
    @given(one=st.floats(0, 300), more=st.floats(0, 100), counts=st.lists(st.integers(1, 10), min_size=1, max_size=4))
    def test_more_demand_never_gets_fewer_replicas(self, one, more, counts):
        zones = {f"z{number}": count for number, count in enumerate(counts)}
        self.assertLessEqual(
            SimulatedService(zones).play(one, 300).total(), SimulatedService(zones).play(one + more, 300).total()
        )


class ListedReplicas(unittest.TestCase):
    ROWS = (
        {"zone": "za", "state": "ready", "slots": 8},
        {"zone": "za", "state": "leaving", "slots": 8},
        {"zone": "zb", "state": "ready"},
    )

    def test_zones_come_from_the_list_and_from_orders(self):
        self.assertEqual(
            zones_of(self.ROWS, {"zc": 2}),
            {"za": ZoneReplicas(1, 1), "zb": ZoneReplicas(1, 0), "zc": ZoneReplicas(0, 0, 2)},
        )

    def test_slots_come_from_the_list_or_else_the_configuration(self):
        self.assertEqual(slots_of({"slots": 3}, self.ROWS), 8)
        self.assertEqual(slots_of({"slots": 3}, []), 3)
        self.assertIsNone(slots_of({"slots": None}, []))


class OrderCommands:
    """The rows of the key; commands run as on a leader."""

    def __init__(self):
        self.entries = SortedDict()
        self.context = CommandContext(0.0, None, {}, None, None)
        self.writes = 0

    def run_one(self, command, **arguments):
        transaction = Transaction(self.entries, self.context)
        result = CONTROLLERS.find(KEY).run(transaction, KEY, command, arguments)
        for key, value in transaction.changes().items():
            self.writes += 1
            self.entries.pop(key, None)
            if value is not None:
                self.entries[key] = value
        return result

    def order(self, count, service="lm", zone="za"):
        self.run_one("set", orders=[{"service": service, "zone": zone, "count": count}], ended=[])

    def owed(self):
        order = self.run_one("owed")["order"]
        return order and (order["service"], order["zone"], order["count"])


class Rows(unittest.TestCase):
    def setUp(self):
        self.rows = OrderCommands()

    def test_order_is_owed_until_it_is_accepted(self):
        self.rows.order(5)
        self.assertEqual(self.rows.owed(), ("lm", "za", 5))
        self.rows.run_one("accepted", service="lm", zone="za", count=5)
        self.assertIsNone(self.rows.owed())

    def test_same_count_again_is_no_new_order(self):
        self.rows.order(5)
        self.rows.run_one("accepted", service="lm", zone="za", count=5)
        writes = self.rows.writes
        self.rows.order(5)
        self.assertEqual((self.rows.writes, self.rows.owed()), (writes, None))

    def test_newer_order_stays_owed_if_an_older_one_is_accepted(self):
        self.rows.order(5)
        self.rows.order(6)
        self.rows.run_one("accepted", service="lm", zone="za", count=5)
        self.assertEqual(self.rows.owed(), ("lm", "za", 6))

    def test_names_with_slashes_get_different_rows(self):
        self.rows.order(1, "a/b", "c")
        self.rows.order(2, "a", "b/c")
        self.assertEqual({subject: row["count"] for subject, row in orders_in(self.rows.entries).items()}, {
            ("a/b", "c"): 1, ("a", "b/c"): 2,
        })  # fmt: skip

    def test_order_of_an_ended_subject_is_deleted(self):
        self.rows.order(5)
        self.rows.run_one("set", orders=[], ended=[["lm", "za"], ["lm", "never"]])
        self.assertEqual((self.rows.owed(), dict(self.rows.entries)), (None, {}))

    def test_permanently_rejected_order_does_not_block_others(self):
        self.rows.order(5)
        self.rows.order(3, zone="zb")
        order = {"service": "lm", "zone": "za", "count": 5}
        given_up = [self.rows.run_one("refused", **order)["given_up"] for _ in range(FENCED_REFUSALS_MAX)]
        self.assertEqual(given_up, [False] * (FENCED_REFUSALS_MAX - 1) + [True])
        self.assertEqual(self.rows.owed(), ("lm", "zb", 3))
        self.rows.order(6)
        self.assertEqual(self.rows.owed(), ("lm", "za", 6))


class Demand(unittest.TestCase):
    def setUp(self):
        self.rows = OrderCommands()

    def report(self, gateway, number, active, refused=None):
        self.rows.run_one("demand", gateway=gateway, number=number, active={"lm": active}, refused=refused or {})

    def known(self):
        return demand_in(self.rows.context.local_state, self.rows.context.now)

    def test_reports_of_gateways_are_summed_without_a_write(self):
        self.report("g1", 1, 5)
        self.report("g2", 1, 7)
        self.assertEqual(self.known(), (2, {"lm": 12}))
        self.assertEqual(self.rows.writes, 0)

    def test_out_of_order_report_is_ignored(self):
        self.report("g1", 2, 5)
        self.report("g1", 1, 50)
        self.assertEqual(self.known(), (1, {"lm": 5}))

    def test_report_of_a_silent_gateway_expires(self):
        self.report("g1", 1, 5)
        self.rows.context.now = 2.9
        self.report("g2", 1, 7)
        self.assertEqual(self.known(), (2, {"lm": 12}))
        self.rows.context.now = 3.1
        self.assertEqual(self.known(), (1, {"lm": 7}))

    def test_refused_requests_count_at_most_as_many_as_active_ones(self):
        self.report("g1", 1, 5, {"lm": 3})
        self.report("g2", 1, 0, {"lm": 100})
        self.assertEqual(self.known(), (2, {"lm": 10}))

    def test_malformed_report_is_rejected(self):
        for bad in (-1, 1.5, True, "1", None):
            with self.assertRaises(BadRequestError):
                self.report("g1", 1, bad)


class OrderCalls:
    """The platform: accepts orders, starts and closes replicas accordingly. Invariant: `arrivals` has every call."""

    def __init__(self, fleet, service, boot_s):
        self._fleet, self._service, self._boot_s = fleet, service, boot_s
        self.arrivals, self.status, self.delay_s = [], 200, 0.0
        self.ordered_counts = {}  # zone -> the count ordered last
        fleet.list.duties = self

    def take_fenced_call(self, connection, request):
        status = 200
        if request.first[1] == "/fleet":
            body = json.loads(request.body)
            arrival = Arrival(self._fleet.time.now, request.header("Duty-Holder"), int(request.header("Fence")), body)
            self.arrivals.append(arrival)
            status = self.status
            if status == 200:
                self._apply_order(body["zone"], body["wanted"])
        self._fleet.list.reactor.callLater(self.delay_s, self._fleet.list.reply, connection, status, {})

    def _apply_order(self, zone, count):
        here = [one for one in self._fleet.of_service(self._service) if one.zone == zone and not one.leaving]
        before = self.ordered_counts.get(zone, len(here))
        self.ordered_counts[zone] = count
        for _ in range(count - before):
            self._fleet.lab_reactor.callLater(self._boot_s, self._start, zone)
        for replica in here[count:]:
            self._fleet.close_replica(replica)

    def _start(self, zone):
        self._fleet.add_replica(self._service, zone=zone)

    def orders(self):
        return [(call.body["zone"], call.body["wanted"]) for call in self.arrivals]


class OrderFleet(RelayFleet):
    """A cluster in which one service has a replica range."""

    RANGE = {"min": 1, "max": 4, "boot_s": 2.0}

    def make_document(self, version, **more):
        document = super().make_document(version, **more)
        return document | {
            "depots": [
                row | ({"fleet": self.RANGE} if row["name"] == "lm" and self.RANGE else {})
                for row in document["depots"]
            ]
        }


class OrdersOnACluster(unittest.TestCase):
    """Whole gateways and control nodes, configured by the platform's settings."""

    SETTINGS = {"platform_api.rounds": "usage,scale", "platform_api.rounds_per_s": 50.0, "replica_orders": "on"}

    def set_up(self, **more):
        self.fleet = OrderFleet(37, gates=2, cores=5, more_settings=self.SETTINGS | more)
        self.calls = OrderCalls(self.fleet, "lm", OrderFleet.RANGE["boot_s"])
        self.demand = 2
        self.fleet.bring_up()
        for gate in self.fleet.of_kind("gate"):
            gate.node.balancer.take_demand = lambda service: (self.demand, 0)
        return self.fleet

    def check(self):
        self.assertEqual(faults_of_calls(self.calls.arrivals, 3.0), [])

    def test_rise_of_demand_is_ordered_once(self):
        fleet = self.set_up()
        fleet.run(15)
        self.assertEqual(self.calls.arrivals, [])
        self.demand = 4  # two gateways: 8 requests for replicas of 4 slots
        fleet.run(15)
        orders = self.calls.orders()
        self.assertEqual(len(orders), len(set(orders)))
        self.assertGreaterEqual(len(fleet.of_service("lm")), 5)
        self.assertEqual(
            Counter(one.zone for one in fleet.of_service("lm")) | Counter(), Counter(self._expected_counts())
        )
        count = len(self.calls.arrivals)
        fleet.run(30)
        self.assertEqual(len(self.calls.arrivals), count)
        self.check()

    def _expected_counts(self):
        return dict.fromkeys(ZONES, 1) | self.calls.ordered_counts

    def test_new_leader_repeats_only_the_unanswered_order(self):
        fleet = self.set_up()
        fleet.run(15)
        self.calls.delay_s = 3.0
        self.demand = 4
        fleet.wait_for("an order", lambda: self.calls.arrivals)
        first = self.calls.arrivals[0]
        fleet[first.holder].kill()
        self.calls.delay_s = 0.0
        fleet.run(12)
        again = next(call for call in self.calls.arrivals if call.holder != first.holder)
        self.assertEqual(again.body, first.body)
        self.assertGreater(again.fence, first.fence)
        ordered_counts = dict(self.calls.ordered_counts)
        fleet.run(20)
        self.assertEqual(self.calls.ordered_counts, ordered_counts)
        self.check()

    def test_successive_leader_failures_order_no_other_count(self):
        fleet = self.set_up()
        fleet.run(15)
        self.demand = 4
        fleet.wait_for("an order", lambda: self.calls.arrivals)
        fleet.run(5)
        ordered_counts = dict(self.calls.ordered_counts)
        for _ in range(3):
            holder = fleet[self.calls.arrivals[-1].holder]
            holder.kill()
            fleet.run(8)
            holder.start()
            fleet.run(4)
        self.assertEqual(self.calls.ordered_counts, ordered_counts)
        self.check()

    def inject_fault(self, rng):
        """Injects a fault for some seconds, at the last caller or at the platform, and changes the demand."""
        fleet, calls = self.fleet, self.calls
        name = calls.arrivals[-1].holder if calls.arrivals else "core0"
        kind = rng.choice(("kill", "freeze", "slow", "down"))
        if kind == "kill":
            fleet[name].kill()
        elif kind == "freeze":
            fleet[name].freeze()
        elif kind == "slow":
            calls.delay_s = rng.uniform(0.5, 3.0)
        else:
            calls.status = 503
        self.demand = rng.randint(1, 8)
        fleet.run(rng.uniform(1.0, 8.0))
        calls.delay_s, calls.status = 0.0, 200
        if kind == "kill":
            fleet[name].start()
        elif kind == "freeze":
            fleet[name].thaw()
        fleet.run(rng.uniform(1.0, 6.0))

    def test_platform_converges_to_the_replicated_orders_after_faults(self):
        ordered = 0
        for seed in range(4):
            fleet, rng = self.set_up(), random.Random(f"orders/{seed}")
            fleet.run(12)
            for _ in range(5):
                self.inject_fault(rng)
            fleet.run(15)
            self.check()
            leaders = [core.node.leaders.active.get(shard_of_key(KEY)) for core in fleet.of_kind("core")]
            leader = max((one for one in leaders if one), key=lambda one: one.epoch)
            rows = orders_in(leader.entries)
            self.assertEqual({zone: row["count"] for (_, zone), row in rows.items()}, self.calls.ordered_counts, seed)
            self.assertTrue(all(row["accepted"] for row in rows.values()), seed)
            self.assertTrue(all(1 <= count <= 4 for _, count in self.calls.orders()))
            ordered += len(self.calls.arrivals)
        self.assertGreater(ordered, 12)

    def test_owed_orders_are_sent_after_an_outage_of_the_platform(self):
        fleet = self.set_up()
        fleet.run(15)
        self.calls.status = 503
        self.demand = 4
        fleet.run(10)
        self.assertEqual(self.calls.ordered_counts, {})
        self.calls.status = 200
        fleet.run(8)
        self.assertGreaterEqual(sum(self._expected_counts().values()), 5)
        self.check()

    def test_nothing_is_ordered_while_a_gateway_does_not_report(self):
        fleet = self.set_up()
        fleet.run(15)

        async def fail(*_arguments):
            raise OakrampError("not heard")

        fleet["gate0"].node.demand._leaders.call = fail
        fleet.run(4)
        self.demand = 8
        fleet.run(15)
        self.assertEqual(self.calls.arrivals, [])

    def test_operator_api_shows_orders_holder_and_demand(self):
        fleet = self.set_up()
        self.demand = 4
        fleet.run(20)
        core = fleet.of_kind("core")[0].node
        web = AdminApi(core)
        _, answer = fleet.until(web._fenced_tasks(None))
        rows = {row["duty"]: row for row in answer["duties"]}
        self.assertEqual(set(rows), {"usage", KEY})
        last = self.calls.arrivals[-1]
        self.assertEqual((rows[KEY]["holder"], rows[KEY]["epoch"]), (last.holder, last.fence))
        state = rows[KEY]
        self.assertEqual((state["gatewaysHeard"], state["demand"]), (2, {"lm": 8}))
        self.assertEqual({row["zone"]: row["count"] for row in state["orders"]}, self.calls.ordered_counts)

    def test_gateways_report_no_demand_if_no_service_has_a_range(self):
        fleet = self.set_up()
        gate = fleet["gate0"].node
        numbers = []
        for services in ({"lm": {"replica_range": None}, "api": {}}, gate.router.services):
            gate.router.services = services
            before = gate.demand._report_number
            fleet.run(5)
            numbers.append(gate.demand._report_number - before)
        self.assertEqual(numbers[0], 0)
        self.assertGreaterEqual(numbers[1], 4)

    def test_service_that_lost_its_range_is_no_longer_ordered(self):
        fleet = self.set_up()
        self.demand = 4
        self.calls.status = 503
        fleet.run(15)
        count = len(self.calls.arrivals)
        self.assertGreater(count, 0)
        fleet.RANGE = None
        document = fleet.make_document(fleet.version + 2)
        fleet.adopt(fleet.until(fleet.operator.put(document, fleet.version)))
        fleet.run(4)
        count = len(self.calls.arrivals)
        fleet.run(10)
        self.assertEqual(len(self.calls.arrivals), count)

    def test_nothing_is_ordered_if_switched_off(self):
        fleet = self.set_up(replica_orders="off")
        fleet.run(10)
        self.demand = 8
        fleet.run(15)
        self.assertEqual(self.calls.arrivals, [])
        self.assertTrue(all(gate.node.demand is None for gate in fleet.of_kind("gate")))


if __name__ == "__main__":
    unittest.main()
