"""Guards against gateways that still accept a key after it has been revoked.

Runs a whole simulated fleet: the operator adds and revokes keys while gateways are partitioned or restarted.
"""

import os
import sys
import unittest

TESTS_FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [TESTS_FOLDER, os.path.join(os.path.dirname(TESTS_FOLDER), "platform")]

from oakramp.gateway.tenants import Tenant  # noqa: E402
from oakramp_platform.settings import env_of  # noqa: E402
from relay_fleet import RelayFleet, settings_of  # noqa: E402
from relay_http import ask_once  # noqa: E402
from test_tenant_keys_configuration import CLUB, HOTEL  # noqa: E402

# HTTP views that nodes serve to anyone, apart from the operator's configuration.
VIEWS = (
    "/condition",
    "/metrics",
    "/v1/nodes",
    "/v1/slots",
    "/v1/replicas",
    "/v1/placement",
    "/v1/stores",
    "/v1/roster",
)


class Fleet(unittest.TestCase):
    """The operator adds and revokes keys while gateways are restarted and partitioned."""

    SEED = 5

    def setUp(self):
        self.fleet = RelayFleet(self.SEED, gates=4).bring_up()
        self.gates = self.fleet.of_kind("gate")
        self.versions_used = {gate.name: [0] for gate in self.gates}  # routing versions used by each gateway, in order

    def put(self, **more):
        document = self.fleet.make_document(self.fleet.version + 2) | more
        return self.fleet.until(self.fleet.operator.put(document, self.fleet.version))

    def patch(self, upsert=(), remove=()):
        fleet = self.fleet
        sections = {"senders": list(upsert)}, {"senders": list(remove)}
        return fleet.until(fleet.operator.patch(fleet.version, fleet.version + 2, *sections, fleet.document))

    def adopt_accepted(self, change):
        self.assertEqual(change.outcome, "taken")
        self.fleet.adopt(change)

    def usable(self):
        for gate in self.gates:
            self.versions_used[gate.name].append(gate.node.router.version)
        return [gate for gate in self.gates if gate.node.router.staleness() is None]

    def assert_in_force(self, holders, seconds=3.0):
        """After the bound has passed, every gateway that serves maps the keys to exactly these holders."""
        self.fleet.run(self.fleet.bounds["routing_age_s"])
        return self.assert_in_force_now(holders, seconds)

    def assert_in_force_now(self, holders, seconds):
        end = self.fleet.time.now + seconds
        while self.fleet.time.now < end:
            usable = self.usable()
            for gate in usable:
                self.assertTrue(gate.node.router.tenants.is_required, gate.name)
                found = {key: gate.node.router.tenants.find(key) for key in holders}
                found_names = {key: tenant and tenant.name for key, tenant in found.items()}
                self.assertEqual(found_names, holders, gate.name)
            self.fleet.run(0.05)
        return usable

    def assert_versions_rise_and_no_key_is_logged(self):
        for name, versions in self.versions_used.items():
            self.assertEqual(versions, sorted(versions), f"{name} returned to an older version")
        self.assertNotIn("-key-", "\n".join(self.fleet.lines), "a key was logged")

    def test_added_and_revoked_keys_are_in_force_within_the_bound(self):
        self.adopt_accepted(self.put(senders=[CLUB, HOTEL]))
        usable = self.assert_in_force({"club-key-1": "club", "hotel-key-1": "hotel", "hotel-key-2": None})
        self.assertEqual(len(usable), 4)
        self.adopt_accepted(self.patch([HOTEL | {"stamps": ["hotel-key-1", "hotel-key-2"]}]))
        self.assert_in_force({"hotel-key-1": "hotel", "hotel-key-2": "hotel"})
        self.adopt_accepted(self.patch([HOTEL | {"stamps": ["hotel-key-2"]}]))
        self.assert_in_force({"hotel-key-1": None, "hotel-key-2": "hotel"})
        self.adopt_accepted(self.patch(remove=["club"]))
        self.assert_in_force({"club-key-1": None, "hotel-key-2": "hotel"})
        self.assert_versions_rise_and_no_key_is_logged()

    def test_a_partitioned_gateway_accepts_no_revoked_key(self):
        self.adopt_accepted(self.put(senders=[CLUB, HOTEL]))
        self.assert_in_force({"hotel-key-1": "hotel"}, 0.5)
        heal = self.fleet.cut(["gate0"], [name for name in self.fleet.machines if name != "gate0"])
        self.adopt_accepted(self.patch([HOTEL | {"stamps": []}]))
        usable = self.assert_in_force({"hotel-key-1": None, "club-key-1": "club"})
        self.assertEqual([gate.name for gate in usable], ["gate1", "gate2", "gate3"])
        self.assertEqual(self.gates[0].node.router.tenants.find("hotel-key-1"), Tenant("hotel", None))
        heal()
        self.fleet.run(5.0)
        self.assertEqual(len(self.assert_in_force({"hotel-key-1": None, "club-key-1": "club"}, 0.5)), 4)
        self.assert_versions_rise_and_no_key_is_logged()

    def test_a_restarted_gateway_accepts_no_revoked_key(self):
        self.adopt_accepted(self.put(senders=[CLUB, HOTEL]))
        self.adopt_accepted(self.patch([HOTEL | {"stamps": []}]))
        self.fleet.run(self.fleet.bounds["routing_age_s"])
        for gate in self.gates[:2]:
            gate.kill()
            gate.start()
            self.versions_used[gate.name].clear()
        self.assertNotIn(self.gates[0], self.usable(), "it must not serve before it has received a configuration")
        usable = self.assert_in_force_now({"hotel-key-1": None, "club-key-1": "club"}, 5.0)
        self.assertEqual(len(usable), 4)
        self.assert_versions_rise_and_no_key_is_logged()

    def test_no_http_view_of_a_node_shows_a_key(self):
        self.adopt_accepted(self.put(senders=[CLUB, HOTEL]))
        self.fleet.run(3.0)
        statuses = []
        for machine in self.fleet.machines.values():
            for view in VIEWS:
                address = machine.node.node.env["http"]
                asking = ask_once(self.fleet.operator_reactor, address, "GET", view)
                status, message = self.fleet.until(asking)
                statuses.append(status)
                self.assertNotIn(b"-key-", message.body, (machine.name, view))
        self.assertGreaterEqual(statuses.count(200), len(self.fleet.machines) * 2 + 5)

    def test_true_or_false_bounds_and_revoke_ms_do_not_change_the_env(self):
        for kind in ("gate", "core", "store"):
            text = settings_of(self.fleet[f"{kind}0"], self.fleet.seeds(), False)
            more = "bounds.strict_revoke=false\nbounds.fenced=false\nbounds.revoke_ms=5000"
            self.assertEqual(env_of(f"{text}\n{more}", kind), env_of(text, kind))

    def test_a_shared_key_is_rejected_and_the_configuration_stays(self):
        shared = HOTEL | {"stamps": ["club-key-2"]}
        self.adopt_accepted(self.put(senders=[CLUB, HOTEL]))
        for refused in (self.put(senders=[CLUB, shared]), self.patch([shared])):
            self.assertEqual((refused.outcome, refused.status), ("invalid", 400))
        self.assert_in_force({"club-key-2": "club", "hotel-key-1": "hotel"}, 0.5)
        self.assertEqual(self.fleet.until(self.fleet.operator.read()), self.fleet.document)
        self.assert_versions_rise_and_no_key_is_logged()
