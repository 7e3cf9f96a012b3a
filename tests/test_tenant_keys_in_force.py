"""Guards against requests that run where no configuration sends them: a key that was taken away is still taken.

A whole simulated fleet: the operator adds keys and takes them away while gateways are cut off or start anew.
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

# What every node of the tier shows to whoever asks, beside the operator's configuration.
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
    """The operator adds keys and takes them away while gateways come and go and are cut off."""

    SEED = 5

    def setUp(self):
        self.fleet = RelayFleet(self.SEED, gates=4).bring_up()
        self.gates = self.fleet.of_kind("gate")
        self.seen = {gate.name: [0] for gate in self.gates}  # the versions that each has used, one after another

    def put(self, **more):
        document = self.fleet.make_document(self.fleet.version + 2) | more
        return self.fleet.until(self.fleet.operator.put(document, self.fleet.version))

    def patch(self, upsert=(), remove=()):
        fleet = self.fleet
        sections = {"senders": list(upsert)}, {"senders": list(remove)}
        return fleet.until(fleet.operator.patch(fleet.version, fleet.version + 2, *sections, fleet.document))

    def take(self, change):
        self.assertEqual(change.outcome, "taken")
        self.fleet.adopt(change)

    def usable(self):
        for gate in self.gates:
            self.seen[gate.name].append(gate.node.router.version)
        return [gate for gate in self.gates if gate.node.router.staleness() is None]

    def assert_in_force(self, holders, seconds=3.0):
        """From the bound on, no gateway that serves answers by other keys than these."""
        self.fleet.run(self.fleet.bounds["routing_age_s"])
        return self.assert_in_force_now(holders, seconds)

    def assert_in_force_now(self, holders, seconds):
        end = self.fleet.time.now + seconds
        while self.fleet.time.now < end:
            usable = self.usable()
            for gate in usable:
                self.assertTrue(gate.node.router.tenants.is_required, gate.name)
                found = {key: gate.node.router.tenants.find(key) for key in holders}
                told = {key: tenant and tenant.name for key, tenant in found.items()}
                self.assertEqual(told, holders, gate.name)
            self.fleet.run(0.05)
        return usable

    def assert_whole(self):
        for name, versions in self.seen.items():
            self.assertEqual(versions, sorted(versions), f"{name} went back")
        self.assertNotIn("-key-", "\n".join(self.fleet.lines), "a key was logged")

    def test_keys_come_and_go_within_the_bound(self):
        self.take(self.put(senders=[CLUB, HOTEL]))
        usable = self.assert_in_force({"club-key-1": "club", "hotel-key-1": "hotel", "hotel-key-2": None})
        self.assertEqual(len(usable), 4)
        self.take(self.patch([HOTEL | {"stamps": ["hotel-key-1", "hotel-key-2"]}]))
        self.assert_in_force({"hotel-key-1": "hotel", "hotel-key-2": "hotel"})
        self.take(self.patch([HOTEL | {"stamps": ["hotel-key-2"]}]))
        self.assert_in_force({"hotel-key-1": None, "hotel-key-2": "hotel"})
        self.take(self.patch(remove=["club"]))
        self.assert_in_force({"club-key-1": None, "hotel-key-2": "hotel"})
        self.assert_whole()

    def test_a_gateway_that_is_cut_off_serves_by_no_key_that_was_taken_away(self):
        self.take(self.put(senders=[CLUB, HOTEL]))
        self.assert_in_force({"hotel-key-1": "hotel"}, 0.5)
        heal = self.fleet.cut(["gate0"], [name for name in self.fleet.machines if name != "gate0"])
        self.take(self.patch([HOTEL | {"stamps": []}]))
        usable = self.assert_in_force({"hotel-key-1": None, "club-key-1": "club"})
        self.assertEqual([gate.name for gate in usable], ["gate1", "gate2", "gate3"])
        self.assertEqual(self.gates[0].node.router.tenants.find("hotel-key-1"), Tenant("hotel", None))
        heal()
        self.fleet.run(5.0)
        self.assertEqual(len(self.assert_in_force({"hotel-key-1": None, "club-key-1": "club"}, 0.5)), 4)
        self.assert_whole()

    def test_a_gateway_that_starts_anew_serves_by_no_key_that_was_taken_away(self):
        self.take(self.put(senders=[CLUB, HOTEL]))
        self.take(self.patch([HOTEL | {"stamps": []}]))
        self.fleet.run(self.fleet.bounds["routing_age_s"])
        for gate in self.gates[:2]:
            gate.kill()
            gate.start()
            self.seen[gate.name].clear()
        self.assertNotIn(self.gates[0], self.usable(), "it knows no configuration yet")
        usable = self.assert_in_force_now({"hotel-key-1": None, "club-key-1": "club"}, 5.0)
        self.assertEqual(len(usable), 4)
        self.assert_whole()

    def test_no_other_view_of_a_node_shows_a_key(self):
        self.take(self.put(senders=[CLUB, HOTEL]))
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

    def test_settings_with_bounds_that_are_true_or_false(self):
        for kind in ("gate", "core", "store"):
            text = settings_of(self.fleet[f"{kind}0"], self.fleet.seeds(), False)
            more = "bounds.strict_revoke=false\nbounds.fenced=false\nbounds.revoke_ms=5000"
            self.assertEqual(env_of(f"{text}\n{more}", kind), env_of(text, kind))

    def test_two_tenants_with_one_key_are_refused_and_nothing_changes(self):
        shared = HOTEL | {"stamps": ["club-key-2"]}
        self.take(self.put(senders=[CLUB, HOTEL]))
        for refused in (self.put(senders=[CLUB, shared]), self.patch([shared])):
            self.assertEqual((refused.outcome, refused.status), ("invalid", 400))
        self.assert_in_force({"club-key-2": "club", "hotel-key-1": "hotel"}, 0.5)
        self.assertEqual(self.fleet.until(self.fleet.operator.read()), self.fleet.document)
        self.assert_whole()
