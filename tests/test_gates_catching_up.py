"""Guards gateways that missed many routing changes: one pull must bring the latest version and never an older one, and
the number of tombstones kept must be bounded."""

import random
import unittest
from types import SimpleNamespace

from hypothesis import given, settings, strategies as st

from oakramp.common.constants import GOSSIP_CONTROL_PEER_COUNT, GOSSIP_PEER_COUNT, REMOVED_ITEMS_LIMIT
from oakramp.common.structured_logging import EventLogger
from oakramp.control.routing import ROUTING_KEY, document_from, pieces_of
from oakramp.control.shards import pack_entry, shard_of_key
from oakramp.gateway.routing import Router
from oakramp.gossip.state_table import StateTable
from oakramp_platform.dialect import Dialect
from oakramp_platform.routes import routing_of
from relay_fleet import RelayFleet, route

SOURCE = "routing"
ROUTING_SHARD = shard_of_key(ROUTING_KEY)


class Clock:
    now = 0.0

    def seconds(self):
        return self.now


class StateTables(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.owner = StateTable(self.clock)
        self.owner.publish(SOURCE, self.clock.seconds)

    def pull(self, gossip_client, other):
        seen = gossip_client.known_versions()
        news = other.update_for(seen)
        gossip_client.merge(news, seen, self.clock.now)
        return sum(len(item.value or b"") + len(item.name) for snapshot in news.snapshots for item in snapshot.items)

    def test_one_pull_transfers_at_most_one_snapshot_for_any_number_of_missed_changes(self):
        values = {f"r{number}": b"0" * 100 for number in range(1000)}
        self.owner.set_items(SOURCE, 1, values)
        full_size = sum(len(name) + len(value) for name, value in values.items())
        costs = {}
        for missed in (1, 10, 100, 1000, 2000):
            behind, version = StateTable(self.clock), self.owner.snapshots[SOURCE].version
            self.pull(behind, self.owner)
            for change in range(1, missed + 1):
                values |= {f"r{change % 1000}": b"%d" % (version + change) + b"0" * 90}
                self.owner.set_items(SOURCE, version + change, values)
            costs[missed] = self.pull(behind, self.owner)
            self.assertEqual(behind.values(SOURCE), values)
        self.assertLess(costs[1], 200)
        self.assertLessEqual(max(costs.values()), full_size)

    def test_the_number_of_tombstones_of_removed_items_is_bounded(self):
        """The owner, and tables that pull from it and from one another at random times."""
        rng = random.Random(1)
        state_tables = [self.owner, *(StateTable(self.clock) for _ in range(4))]
        largest = 0
        for version in range(1, 3001):
            values = {f"r{version + number}": b"%d" % version for number in range(50)}
            self.owner.set_items(SOURCE, version, values)
            for gossip_client in state_tables[1:]:
                if rng.random() < 0.3:
                    self.pull(gossip_client, rng.choice([one for one in state_tables if one is not gossip_client]))
            largest = max(
                largest, *(len(one.snapshots[SOURCE].items) for one in state_tables if SOURCE in one.snapshots)
            )
        self.assertLessEqual(largest, 50 + REMOVED_ITEMS_LIMIT + 50)
        for gossip_client in state_tables[1:]:
            self.pull(gossip_client, self.owner)
            self.assertEqual(gossip_client.values(SOURCE), values)

    def test_an_outdated_peer_neither_reverts_nor_confirms_a_version(self):
        behind, gate = StateTable(self.clock), StateTable(self.clock)
        self.owner.set_items(SOURCE, 1, {"a": b"1", "gone": b"1"})
        self.pull(behind, self.owner)
        self.clock.now = 1.0
        self.owner.set_items(SOURCE, 2, {"a": b"2"})
        self.pull(gate, self.owner)
        behind.snapshots[SOURCE].confirmed_at = self.clock.now = 5.0  # claims to be the latest version, which it is not
        for pull in ([], gate.known_versions()):
            gate.merge(behind.update_for(pull), pull, self.clock.now)
            self.assertEqual(gate.values(SOURCE), {"a": b"2"})
            self.assertAlmostEqual(gate.age(SOURCE), 4.0, delta=0.01)


NAMES = st.sampled_from(["r1", "r2", "r3", "r4", "r5"])
ROUTES = st.builds(
    lambda name, host, tries, service, wrong: (
        route(name, f"/{name}/", "safe", service, host=host, tries=tries) | ({"timeout_ms": -1} if wrong else {})
    ),
    NAMES,
    st.sampled_from(["a.example", "b.example"]),
    st.sampled_from([1, 2, 1.0, True]),
    st.sampled_from(["api", "alt"]),
    st.sampled_from([False] * 9 + [True]),
)
SERVICES = st.lists(
    st.builds(
        lambda name, cap: {"name": name, "health_path": "/", "conn_cap": cap, "protocol": "h1"},
        st.sampled_from(["api", "alt"]),
        st.sampled_from([5, 6]),
    ),
    min_size=1,
    max_size=2,
    unique_by=lambda service: service["name"],
)
DOCUMENTS = st.builds(
    lambda routes, services: {"mail_routes": routes, "depots": services, "limits": {}},
    st.lists(ROUTES, max_size=5, unique_by=lambda one: one["name"]),
    SERVICES,
)


class RoutingTables(unittest.TestCase):
    """The routing table of a gateway, of which only changed parts are rebuilt."""

    def setUp(self):
        clock = Clock()
        self.state_table = StateTable(clock)
        self.state_table.publish(ROUTING_KEY, clock.seconds)
        self.node = SimpleNamespace(state_table=self.state_table, env={}, log=EventLogger(lambda line: None))

    def publish(self, version, document):
        pieces = pieces_of(document | {"edition": version}) | {"version": version}
        self.state_table.set_items(ROUTING_KEY, version, {name: pack_entry(piece) for name, piece in pieces.items()})

    @staticmethod
    def shown(router):
        paths = [(host, f"/{name}/x") for host in ("a.example", "b.example") for name in ("r1", "r2", "r3", "r4", "r5")]
        found = [router.find(*path) for path in paths]
        return repr((router.version, router.routes, router.services, router.limits, found, router.staleness()))

    @settings(max_examples=150, deadline=None)
    @given(st.lists(DOCUMENTS, min_size=1, max_size=6))
    def test_it_equals_the_table_that_a_new_gateway_builds(self, documents):
        self.setUp()
        old = Router(self.node, Dialect())
        for version, document in enumerate(documents, 1):
            self.publish(version, document)
            new = Router(self.node, Dialect())
            if new.version:
                self.assertEqual(self.shown(old), self.shown(new))
            else:
                self.assertEqual((old.staleness(), old.version < version), (new.staleness(), True))

    def test_only_changed_routes_are_rebuilt(self):
        routes = [route(f"r{number}", f"/r{number}/", "safe", "api") for number in range(50)]
        services = [{"name": "api", "health_path": "/", "conn_cap": 5, "protocol": "h1"}]
        self.publish(1, {"mail_routes": routes, "depots": services, "limits": {}})
        router = Router(self.node, Dialect())
        before = dict(router.routes)
        routes[7] = routes[7] | {"tries": 3}
        self.publish(2, {"mail_routes": routes[1:], "depots": services, "limits": {}})
        made = [name for name, one in router.routes.items() if one is not before[name]]
        self.assertEqual((router.version, made, len(router.routes)), (2, ["r7"], 49))


class Gateways(unittest.TestCase):
    """A gateway for proxied requests that is away for 20 s while the routing changes."""

    ROUTES, CHANGES, AWAY_S = 200, 60, 20.0

    def bring_up(self):
        self.fleet = fleet = RelayFleet(3).bring_up()
        routes = [route(f"r{number}", f"/r{number}/", "safe", "api") for number in range(self.ROUTES)]
        document = fleet.document | {"edition": 2, "mail_routes": fleet.document["mail_routes"] + routes}
        fleet.adopt(fleet.until(fleet.operator.put(document, based_on=1)))
        fleet.wait_ready()
        self.gate = fleet["gate1"]

    def change(self, number):
        """Changes one route, directly at the owner of the routing."""
        fleet = self.fleet
        version, name = fleet.version + 1, f"r{number % self.ROUTES}"
        item = route(name, f"/r{number % self.ROUTES}/", "safe", "api", timeout_ms=1000 + version)
        rest = {"edition": version, "limits": fleet.document["limits"]}
        owner = next(one for one in fleet.of_kind("core") if ROUTING_SHARD in one.node.leaders.active)
        arguments = {"based_on": fleet.version, "version": version, "fingerprint": f"f{version}"}
        pieces = {f"mail_routes/{name}": item, "rest": rest}
        fleet.until(owner.node.leaders.call(ROUTING_KEY, "change", arguments | {"pieces": pieces}))
        fleet.version = version

    def record_merges(self):
        """Records the routing snapshots merged by the gateway: (version before, version after, bytes) of each pull."""
        state_table, merged = self.gate.node.node.state_table, []
        merge = state_table.merge_snapshots

        def watched(snapshots, asked_at):
            before = state_table.snapshots[ROUTING_KEY].version if ROUTING_KEY in state_table.snapshots else 0
            merge(snapshots, asked_at)
            size = sum(
                len(item.name) + len(item.value or b"")
                for snapshot in snapshots
                if snapshot.source == ROUTING_KEY
                for item in snapshot.items
            )
            if size:
                merged.append((before, state_table.snapshots[ROUTING_KEY].version, size))

        state_table.merge_snapshots = watched
        return merged

    def snapshot_size(self):
        return sum(
            len(name) + len(value)
            for name, value in self.fleet["gate0"].node.node.state_table.values(ROUTING_KEY).items()
        )

    def leave_during_changes(self, leave, come_back):
        self.bring_up()
        fleet = self.fleet
        leave(self.gate)
        left = fleet.time.now
        for number in range(self.CHANGES):
            self.change(number)
            fleet.run(self.AWAY_S / self.CHANGES / 2)
        fleet.run(left + self.AWAY_S - fleet.time.now)
        come_back(self.gate)
        return self.record_merges()

    def assert_caught_up(self, merged):
        fleet, gate = self.fleet, self.gate
        returned = fleet.time.now
        fleet.wait_for("the latest version", lambda: gate.node.router.version == fleet.version, 3.0)
        fleet.wait_for("the gateway to be ready", lambda: gate.node.not_ready_reason() is None, 3.0)
        took = fleet.time.now - returned
        self.assertEqual(
            [(before < after, after) for before, after, _ in merged if before < after], [(True, fleet.version)]
        )
        # All peers asked at the same time reply alike, each with at most one snapshot: the gossip peers, a control node
        # and the seeds.
        self.assertLessEqual(max(size for *_, size in merged), 1.1 * self.snapshot_size())
        self.assertLessEqual(len(merged), GOSSIP_PEER_COUNT + GOSSIP_CONTROL_PEER_COUNT + len(fleet.seeds()))
        timeouts = {one.name: one.timeout_s for one in gate.node.router.routes.values()}
        self.assertEqual(timeouts[f"r{(self.CHANGES - 1) % self.ROUTES}"], (1000 + fleet.version) / 1000)
        _, document = document_from(gate.node.node.state_table.values(ROUTING_KEY))
        self.assertEqual(gate.node.router.services, routing_of(document)["services"])
        return took, sum(size for *_, size in merged)

    def test_a_gateway_catches_up_after_a_freeze(self):
        merged = self.leave_during_changes(lambda gate: gate.freeze(), lambda gate: gate.thaw())
        self.assert_caught_up(merged)

    def test_a_gateway_catches_up_after_a_restart(self):
        merged = self.leave_during_changes(lambda gate: gate.kill(), lambda gate: gate.start())
        self.assert_caught_up(merged)

    def test_a_gateway_catches_up_after_a_partition(self):
        heal = []

        def cut(gate):
            others = [name for name in self.fleet.machines if name != gate.name]
            heal.append(self.fleet.cut([gate.name], others))

        merged = self.leave_during_changes(cut, lambda gate: heal[0]())
        self.assert_caught_up(merged)


if __name__ == "__main__":
    unittest.main()
