"""Guards against requests that are accepted with a key that the configuration does not contain.

The operator's configuration lists the tenants and their keys; new versions add and revoke keys.
"""

import copy
import json
import os
import sys
import unittest
from types import SimpleNamespace
from unittest import mock

TESTS_FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [TESTS_FOLDER, os.path.join(os.path.dirname(TESTS_FOLDER), "platform")]

from hypothesis import given, settings, strategies as st  # noqa: E402

from oakramp.common.errors import BadRequestError, ValidationFailedError  # noqa: E402
from oakramp.common.structured_logging import EventLogger  # noqa: E402
from oakramp.control.routing import ROUTING_KEY, apply_patch, check_table, pieces_of, table_faults  # noqa: E402
from oakramp.control.shards import pack_entry  # noqa: E402
from oakramp.gateway import tenants  # noqa: E402
from oakramp.gateway.routing import Route, Router  # noqa: E402
from oakramp.gateway.tenants import Tenant, TenantTable  # noqa: E402
from oakramp.gossip.state_table import StateTable  # noqa: E402
from oakramp_platform.dialect import Dialect  # noqa: E402
from relay_callers import patched  # noqa: E402
from test_routing import RoutingRunner  # noqa: E402

ROUTE = {
    "name": "open",
    "host": "h.example",
    "path_head": "/open/",
    "kind": "safe",
    "timeout_ms": 1000,
    "depot": "app",
    "unstamped": True,
}
CLUB = {"name": "club", "stamps": ["club-key-1", "club-key-2"], "mail_class": 1}
HOTEL = {"name": "hotel", "stamps": ["hotel-key-1"]}
DOCUMENT = {
    "edition": 7,
    "mail_routes": [ROUTE, ROUTE | {"name": "keyed", "path_head": "/keyed/", "unstamped": False}],
    "depots": [{"name": "app", "fleet": {"min": 2, "max": 5, "boot_s": 4.0}}, {"name": "lm"}],
    "senders": [CLUB, HOTEL],
}


def without(document, *sections):
    return {name: value for name, value in document.items() if name not in sections}


class TenantSections(unittest.TestCase):
    """Translation of the tenants in the platform's configuration into oakramp's routing table."""

    def setUp(self):
        self.dialect, self.document = Dialect(), copy.deepcopy(DOCUMENT)

    def faults(self):
        with self.assertRaises(ValidationFailedError) as caught:
            self.dialect.routing_of(self.document)
        self.assertNotIn("-key-", f"{caught.exception} {caught.exception.detail}", "no fault may contain a key")
        return caught.exception.detail

    def test_tenants_with_their_keys(self):
        self.assertEqual(
            self.dialect.routing_of(self.document)["tenants"],
            {
                "club": {"keys": ["club-key-1", "club-key-2"], "priority": 1},
                "hotel": {"keys": ["hotel-key-1"], "priority": None},
            },
        )

    def test_a_missing_section_differs_from_an_empty_one(self):
        self.assertIsNone(self.dialect.routing_of(without(self.document, "senders"))["tenants"])
        self.assertEqual(self.dialect.routing_of(self.document | {"senders": []})["tenants"], {})

    def test_a_tenant_may_have_no_key(self):
        self.document["senders"][0]["stamps"] = []
        self.assertEqual(self.dialect.routing_of(self.document)["tenants"]["club"]["keys"], [])

    def test_routes_that_need_no_key(self):
        self.assertEqual([row["is_keyless"] for row in self.dialect.routing_of(self.document)["routes"]], [True, False])

    def test_how_many_replicas_a_service_may_have(self):
        services = self.dialect.routing_of(self.document)["services"]
        self.assertEqual(services["app"]["replica_range"], {"min": 2, "max": 5, "boot_s": 4.0})
        self.assertIsNone(services["lm"]["replica_range"])

    def test_a_key_shared_by_two_tenants_is_invalid(self):
        self.document["senders"][1]["stamps"] = ["hotel-key-1", "club-key-2", "club-key-1"]
        self.assertEqual(self.faults(), ["senders[hotel]: shares a key with senders[club]"])

    def test_a_key_listed_twice_by_one_tenant_is_valid(self):
        self.document["senders"][1]["stamps"] *= 2
        self.assertEqual(self.dialect.routing_of(self.document)["tenants"]["hotel"]["keys"], ["hotel-key-1"] * 2)

    def test_a_tenant_name_that_no_header_can_contain_is_invalid(self):
        for name in ("club\nhotel", "club\r", "\0", "\ud800"):
            with self.subTest(name=name):
                self.document["senders"][0]["name"] = name
                self.assertEqual(len(self.faults()), 1)

    def test_malformed_tenants(self):
        for item, faults in (
            ({"stamps": []}, ["senders[0].name: is missing"]),
            ({"name": "a"}, ["senders[a].stamps: is missing"]),
            ({"name": "a", "stamps": "a-key-1"}, ["senders[a].stamps: must be a list of strings"]),
            ({"name": "a", "stamps": ["a-key-1", 5]}, ["senders[a].stamps: must be a list of strings"]),
            ({"name": "a", "stamps": [""]}, ["senders[a].stamps: must be a list of strings"]),
            ({"name": "a", "stamps": [], "mail_class": "a-key-1"}, ["senders[a].mail_class: must be a whole number"]),
            ("a-key-1", ["senders[0]: must be an object"]),
        ):
            with self.subTest(item=item):
                self.document["senders"] = [item]
                self.assertEqual(self.faults(), faults)
        self.document["senders"] = {"club": CLUB}
        self.assertEqual(self.faults(), ["senders: must be a list"])
        self.document["senders"] = [CLUB, HOTEL | {"name": "club"}]
        self.assertIn("senders[club]: appears more than once", self.faults())

    def test_malformed_ranges(self):
        for fleet, fault in (
            ({"min": 6, "max": 5, "boot_s": 1}, "depots[app].fleet: min must not be above max"),
            ({"min": 0.5, "max": 5, "boot_s": 1}, "depots[app].fleet.min: must be a whole number"),
            ({"min": 0, "boot_s": 1}, "depots[app].fleet.max: is missing"),
            ({"min": 0, "max": 5, "boot_s": -1}, "depots[app].fleet.boot_s: must be a number"),
            ([2, 5], "depots[app].fleet: must be an object"),
        ):
            with self.subTest(fleet=fleet):
                self.document["depots"][0]["fleet"] = fleet
                self.assertEqual(self.faults()[0], fault)

    def test_unchanged_tenants_are_not_parsed_again(self):
        parsed = {}
        first = self.dialect.routing_of(self.document, parsed)["tenants"]
        kept = {path: row for path, (_, row) in parsed.items()}
        changed = self.document | {"senders": [self.document["senders"][0], HOTEL | {"stamps": []}]}
        second = self.dialect.routing_of(changed, parsed)["tenants"]
        self.assertIs(parsed["senders[club]"][1], kept["senders[club]"])
        self.assertIsNot(parsed["senders[hotel]"][1], kept["senders[hotel]"])
        self.assertEqual((first["club"], second["hotel"]["keys"]), (second["club"], []))

    def test_a_patch_may_contain_tenants(self):
        body = {"edition": 9, "upsert": {"senders": [HOTEL]}, "remove": {"senders": ["club"]}}
        self.assertEqual(
            self.dialect.parse_patch(json.dumps(body).encode()),
            {"version": 9, "upsert": {"senders": [HOTEL]}, "remove": {"senders": ["club"]}},
        )
        for part in ({"upsert": {"senders": {}}}, {"upsert": {"senders": [{}]}}, {"remove": {"senders": [5]}}):
            with self.subTest(part=part), self.assertRaises(BadRequestError):
                self.dialect.parse_patch({"edition": 9} | part)


class NormalizedTable(unittest.TestCase):
    """Validation of a routing table, independent of its dialect."""

    def test_a_key_shared_by_two_tenants_is_invalid(self):
        table = Dialect().routing_of(DOCUMENT)
        self.assertEqual(table_faults(table), [])
        table["tenants"]["hotel"]["keys"].append("club-key-1")
        self.addCleanup(table["tenants"]["hotel"]["keys"].pop)
        self.assertEqual(table_faults(table), ["hotel: shares a key with club"])
        with self.assertRaises(ValidationFailedError) as caught:
            check_table(table)
        self.assertNotIn("-key-", f"{caught.exception} {caught.exception.detail}")

    def test_a_table_without_tenants_is_valid(self):
        self.assertEqual(table_faults(Dialect().routing_of(without(DOCUMENT, "senders"))), [])


class Keys(unittest.TestCase):
    """Lookup of tenants by key in one version."""

    TABLE = TenantTable(
        {"club": {"keys": ["club-key-1", "schlüssel"], "priority": 1}, "hotel": {"keys": [], "priority": None}}
    )

    def test_find_returns_the_holder_of_a_key(self):
        self.assertEqual(self.TABLE.find("club-key-1"), Tenant("club", 1))
        self.assertEqual(self.TABLE.find("schlüssel"), Tenant("club", 1))
        for key in (None, "", "club-key-", "club-key-12", "Club-key-1", "club", "hotel", "\udc80"):
            with self.subTest(key=key):
                self.assertIsNone(self.TABLE.find(key))

    def test_whether_keys_are_required(self):
        self.assertTrue(self.TABLE.is_required)
        self.assertTrue(TenantTable({}).is_required)
        self.assertFalse(TenantTable(None).is_required)
        self.assertIsNone(TenantTable({}).find("club-key-1"))
        self.assertIsNone(TenantTable(None).find("club-key-1"))

    def test_the_table_contains_no_plain_key(self):
        self.assertNotIn("club-key-1", repr(vars(self.TABLE)))

    def test_digests_depend_on_the_hash_key_of_the_process(self):
        with mock.patch.object(tenants, "_HASH_KEY", bytes(64)):
            self.assertIsNone(self.TABLE.find("club-key-1"))

    def test_a_route_needs_a_key_by_default(self):
        self.assertFalse(Route("r", "h.example", "/", "safe", 1.0, 1.0, 0, (("app", 1),)).is_keyless)


class Gateway:
    """One gateway's router with its state table; `lines` are the logged lines."""

    def __init__(self):
        self.lines = []
        self.state_table = StateTable(self)
        self.state_table.publish(ROUTING_KEY, self.seconds)
        node = SimpleNamespace(state_table=self.state_table, env={}, log=EventLogger(self.lines.append))
        self.router = Router(node, Dialect())

    def seconds(self):
        return 0.0

    def publish(self, document):
        pieces = pieces_of(document) | {"version": document["edition"]}
        values = {name: pack_entry(piece) for name, piece in pieces.items()}
        self.state_table.set_items(ROUTING_KEY, document["edition"], values)


class Versions(unittest.TestCase):
    """A gateway's tenant table over versions that add and revoke keys."""

    def setUp(self):
        self.gateway = Gateway()
        self.router, self.publish = self.gateway.router, self.gateway.publish

    def holder(self, key):
        tenant = self.router.tenants.find(key)
        return tenant and tenant.name

    def test_before_the_first_version(self):
        self.assertFalse(self.router.tenants.is_required)
        self.assertIsNotNone(self.router.staleness())

    def test_each_version_adds_and_revokes_keys(self):
        self.publish(DOCUMENT)
        self.assertEqual(self.holder("hotel-key-1"), "hotel")
        self.publish(DOCUMENT | {"edition": 8, "senders": [CLUB, HOTEL | {"stamps": ["hotel-key-1", "hotel-key-2"]}]})
        self.assertEqual((self.holder("hotel-key-1"), self.holder("hotel-key-2")), ("hotel", "hotel"))
        self.publish(DOCUMENT | {"edition": 9, "senders": [CLUB, HOTEL | {"stamps": ["hotel-key-2"]}]})
        self.assertEqual((self.holder("hotel-key-1"), self.holder("hotel-key-2")), (None, "hotel"))
        self.publish(DOCUMENT | {"edition": 10, "senders": [CLUB | {"stamps": ["hotel-key-2"]}]})
        self.assertEqual(self.holder("hotel-key-2"), "club")

    def test_a_change_of_the_priority_alone_is_applied(self):
        self.publish(DOCUMENT)
        self.publish(DOCUMENT | {"edition": 8, "senders": [CLUB | {"mail_class": 3}, HOTEL]})
        self.assertEqual(self.router.tenants.find("club-key-1").priority, 3)

    def test_the_presence_of_the_section_decides_whether_keys_are_required(self):
        self.publish(without(DOCUMENT, "senders"))
        self.assertFalse(self.router.tenants.is_required)
        self.publish(DOCUMENT | {"edition": 8, "senders": []})
        self.assertTrue(self.router.tenants.is_required)
        self.assertIsNone(self.holder("club-key-1"))
        self.publish(without(DOCUMENT, "senders") | {"edition": 9})
        self.assertFalse(self.router.tenants.is_required)

    def test_an_older_version_restores_no_key(self):
        self.publish(DOCUMENT | {"edition": 8, "senders": [CLUB]})
        self.publish(DOCUMENT)
        self.assertIsNone(self.holder("hotel-key-1"))

    def test_a_version_with_unchanged_tenants_keeps_the_tenant_table(self):
        self.publish(DOCUMENT)
        first = self.router.tenants
        self.publish(DOCUMENT | {"edition": 8, "depots": [{"name": "app"}]})
        self.assertEqual((self.router.version, self.router.tenants is first), (8, True))

    def test_routes_that_need_no_key(self):
        self.publish(DOCUMENT)
        self.assertTrue(self.router.find("h.example", "/open/x").is_keyless)
        self.assertFalse(self.router.find("h.example", "/keyed/x").is_keyless)

    def test_no_key_is_logged(self):
        self.publish(DOCUMENT)
        self.publish(DOCUMENT | {"edition": 8, "senders": [CLUB, HOTEL | {"stamps": ["club-key-1"]}]})
        self.assertIsNotNone(self.router.staleness(), "an invalid table must not be used")
        self.assertNotIn("-key-", repr(self.gateway.lines))


class Patches(unittest.TestCase):
    """Patches of single tenants."""

    def changed(self, document, **patch):
        patch_fields = Dialect().parse_patch({"edition": 9} | patch)
        return apply_patch(document, patch_fields["upsert"], patch_fields["remove"])

    def test_keys_stay_required_after_the_last_tenant_is_removed(self):
        patched_document = self.changed(DOCUMENT, remove={"senders": ["club", "hotel"]})
        self.assertEqual(Dialect().routing_of(patched_document)["tenants"], {})

    def test_a_removal_from_a_missing_section_does_not_require_keys(self):
        patched_document = self.changed(without(DOCUMENT, "senders"), remove={"senders": ["club"]})
        self.assertIsNone(Dialect().routing_of(patched_document)["tenants"])

    def test_a_patch_that_shares_a_key_is_invalid(self):
        patched_document = self.changed(DOCUMENT, upsert={"senders": [HOTEL | {"stamps": ["club-key-2"]}]})
        with self.assertRaises(ValidationFailedError) as caught:
            Dialect().routing_of(patched_document)
        self.assertEqual(caught.exception.detail, ["senders[hotel]: shares a key with senders[club]"])

    def test_one_patch_may_move_a_key_between_tenants(self):
        moved = [CLUB | {"stamps": ["club-key-1"]}, HOTEL | {"stamps": ["club-key-2"]}]
        patched_document = self.changed(DOCUMENT, upsert={"senders": moved})
        self.assertEqual(Dialect().routing_of(patched_document)["tenants"]["hotel"]["keys"], ["club-key-2"])


NAMES = st.sampled_from(("a", "b", "c", "d"))
TENANTS = st.lists(
    st.fixed_dictionaries(
        {"name": NAMES, "stamps": st.lists(st.sampled_from([f"x-key-{number}" for number in range(8)]), max_size=2)},
        optional={"mail_class": st.sampled_from((0, 1, 2))},
    ),
    max_size=3,
    unique_by=lambda tenant: tenant["name"],
)
DOCUMENTS = st.one_of(
    st.just(without(DOCUMENT, "senders")), st.builds(lambda tenants: DOCUMENT | {"senders": tenants}, TENANTS)
)
PATCHES = st.builds(
    lambda upsert, remove: {
        "upsert": {"senders": upsert},
        "remove": {"senders": [name for name in remove if name not in {one["name"] for one in upsert}]},
    },
    TENANTS,
    st.lists(NAMES, unique=True, max_size=3),
)


class AnySequence(unittest.TestCase):
    """Whole configurations and patches in any order, applied to the control state and read by one gateway."""

    @settings(max_examples=200, deadline=None)
    @given(DOCUMENTS, st.lists(st.one_of(DOCUMENTS, PATCHES), max_size=8))
    def test_the_tenant_table_matches_the_resulting_document(self, first, changes):
        gateway, runner, document = Gateway(), RoutingRunner(), None
        for version, change in enumerate([first, *changes], 1):
            result = self.result_of(document, change, version)
            try:
                table = Dialect().routing_of(result)
            except ValidationFailedError as error:
                self.assertTrue(self.shares_a_key(result), error)
                self.assertNotIn("-key-", f"{error} {error.detail}")
                continue
            self.assertFalse(self.shares_a_key(result))
            self.apply_change(runner, document, change, version, result)
            gateway.state_table.set_items(ROUTING_KEY, *runner.published())
            document = result
            self.assertEqual(gateway.router.version, version)
            self.check(gateway.router, table["tenants"])

    @staticmethod
    def shares_a_key(document):
        keys = [key for tenant in document.get("senders", ()) for key in set(tenant["stamps"])]
        return len(keys) > len(set(keys))

    @staticmethod
    def result_of(document, change, version):
        if "upsert" not in change:
            return change | {"edition": version}
        return patched(document or {"mail_routes": [], "depots": []}, change | {"edition": version})

    def apply_change(self, runner, document, change, version, result):
        based_on = runner.read()[0]
        if "upsert" not in change:
            runner.put(based_on, version, result)
            return
        made = apply_patch(document or {"mail_routes": [], "depots": []}, change["upsert"], change["remove"])
        made |= {"edition": version}
        self.assertEqual(made, result)
        before, after = pieces_of(document) if document else {}, pieces_of(made)
        pieces = dict.fromkeys(before.keys() - after.keys())
        pieces |= {name: piece for name, piece in after.items() if before.get(name) != piece}
        runner.do("change", based_on=based_on, version=version, pieces=pieces, fingerprint=f"f{version}")

    def check(self, router, rows):
        self.assertEqual(router.tenants.is_required, rows is not None)
        holders = {key: Tenant(name, row["priority"]) for name, row in (rows or {}).items() for key in row["keys"]}
        for number in range(8):
            self.assertEqual(router.tenants.find(f"x-key-{number}"), holders.get(f"x-key-{number}"))


class Cost(unittest.TestCase):
    """The size of the change that adds a key to a configuration of a hundred tenants."""

    TENANTS = [{"name": f"t{number}", "stamps": [f"{number:020}", f"{number:020}b"]} for number in range(100)]

    def test_adding_a_key_changes_one_small_piece(self):
        before = pieces_of(DOCUMENT | {"senders": self.TENANTS})
        extended = self.TENANTS[7] | {"stamps": [*self.TENANTS[7]["stamps"], "7" * 20]}
        after = pieces_of(DOCUMENT | {"senders": [*self.TENANTS[:7], extended, *self.TENANTS[8:]]})
        changed = {name: pack_entry(piece) for name, piece in after.items() if before.get(name) != piece}
        self.assertEqual(list(changed), ["senders/t7"])
        self.assertLess(len(changed["senders/t7"]), 200)
        self.assertLess(sum(len(name) + len(pack_entry(piece)) for name, piece in after.items()), 16_000)
