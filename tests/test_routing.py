"""The routing configuration: documents in pieces, patches, compare-and-set, and the gateways' routing table."""

import json
import random
import unittest
from types import SimpleNamespace

from hypothesis import given, settings, strategies as st

from oakramp.common.constants import CHANGES_REMEMBERED
from oakramp.common.errors import QuorumUnavailableError, ValidationFailedError, Verdict, VersionConflictError
from oakramp.common.structured_logging import EventLogger
from oakramp.common.validation import pack_json
from oakramp.control.controllers import CONTROLLERS
from oakramp.control.routing import (
    ROUTING_KEY,
    apply_patch,
    check_table,
    document_from,
    document_of,
    host_of,
    pieces_of,
    table_faults,
)
from oakramp.control.transaction import Transaction
from oakramp.gateway.routing import Route, Router
from oakramp.gossip.state_table import StateTable
from test_budgets import CommandRunner

DOCUMENT = {
    "number": 3,
    "ways": [{"name": "a", "to": 1}, {"name": "b/c", "to": 2}],
    "places": [{"name": "p"}],
    "order": [{"name": "a"}],
    "none": [],
    "twice": [{"name": "x"}, {"name": "x"}],
    "plain": [1, 2],
    "bounds": {"most": 2.5, "deep": {"name": [None, True, "é"]}},
}

NAMES = st.text(max_size=4)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False, allow_infinity=False) | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(NAMES, inner, max_size=3),
    max_leaves=8,
)
ITEMS = st.lists(
    st.builds(lambda name, rest: rest | {"name": name}, NAMES, st.dictionaries(NAMES, VALUES, max_size=2)), max_size=4
)
DOCUMENTS = st.dictionaries(
    st.sampled_from(["order", "rest", "version", "", "a:b", "a/b", "%2F", "é"]) | NAMES, VALUES | ITEMS, max_size=5
)


class RoutingRunner(CommandRunner):
    def __init__(self):
        super().__init__(ROUTING_KEY)

    def put(self, based_on, version, document=None, fingerprint=None):
        return self.result_or_code(
            "put",
            based_on=based_on,
            version=version,
            document={"number": version} if document is None else document,
            fingerprint=fingerprint or f"f{based_on}-{version}",
        )

    def read(self):
        answer = self.do("read")
        return answer["version"], answer.get("document")

    def published(self):
        return CONTROLLERS.find(ROUTING_KEY).snapshot(Transaction(self.entries, None), ROUTING_KEY)


class Documents(unittest.TestCase):
    def test_document_is_rebuilt_from_its_pieces(self):
        self.assertEqual(document_of(pieces_of(DOCUMENT)), DOCUMENT)
        self.assertEqual(pieces_of(DOCUMENT)["order:ways"], ["a", "b/c"])

    @settings(max_examples=300, deadline=None)
    @given(DOCUMENTS)
    def test_any_document_is_rebuilt_from_its_pieces(self, document):
        self.assertEqual(pack_json(document_of(pieces_of(document))), pack_json(document))

    @settings(max_examples=150, deadline=None)
    @given(st.lists(DOCUMENTS, min_size=1, max_size=4))
    def test_any_sequence_of_documents_is_stored_and_published(self, documents):
        runner = RoutingRunner()
        for number, document in enumerate(documents):
            runner.put(number, number + 1, document)
            self.assertEqual(pack_json(runner.read()[1]), pack_json(document))
            version, values = runner.published()
            self.assertEqual((version, pack_json(document_from(values)[1])), (number + 1, pack_json(document)))
        kept = [key for key in runner.entries if key.startswith(f"{ROUTING_KEY}#piece/")]
        self.assertEqual(len(kept), len(pieces_of(documents[-1])), "no pieces of older versions are left")


class Patches(unittest.TestCase):
    def faults(self, upsert=None, remove=None):
        with self.assertRaises(ValidationFailedError) as caught:
            apply_patch(DOCUMENT, upsert or {}, remove or {})
        return caught.exception.detail

    def test_adds_replaces_and_removes_by_name(self):
        changed = apply_patch(
            DOCUMENT,
            {"ways": [{"name": "d"}, {"name": "a", "to": 9}], "places": []},
            {"ways": ["b/c", "never there"], "places": ["p"]},
        )
        self.assertEqual(changed["ways"], [{"name": "a", "to": 9}, {"name": "d"}])
        self.assertEqual(changed["places"], [])
        self.assertEqual(
            {name: value for name, value in changed.items() if name not in ("ways", "places")},
            {name: value for name, value in DOCUMENT.items() if name not in ("ways", "places")},
        )

    def test_upsert_creates_missing_lists_and_remove_ignores_them(self):
        self.assertEqual(apply_patch({}, {"ways": [{"name": "a"}]}, {"places": ["p"]}), {"ways": [{"name": "a"}]})

    def test_malformed_or_contradictory_patches_are_rejected(self):
        for upsert in (
            {"ways": [{"to": 1}]},
            {"ways": [{"name": 1}]},
            {"ways": {"name": "a"}},
            {"ways": ["a"]},
            {"ways": None},
            {"ways": [{"name": "n"}, {"name": "n"}]},
            {"bounds": []},
            {"plain": []},
            {"twice": []},
            {"number": []},
            ["ways"],
        ):
            self.assertTrue(self.faults(upsert), upsert)
        for remove in ({"ways": "a"}, {"ways": [1]}, {"ways": None}, {"bounds": ["most"]}, ["ways"]):
            self.assertTrue(self.faults(remove=remove), remove)
        self.assertTrue(self.faults({"ways": [{"name": "a"}]}, {"ways": ["a"]}))

    def test_every_fault_is_listed(self):
        self.assertEqual(len(self.faults({"ways": ["a"], "bounds": []}, {"ways": "a"})), 3)


def route(name="r", host="h.example", path_prefix="/a/", **more):
    return {
        "name": name,
        "host": host,
        "path_prefix": path_prefix,
        "kind": "safe",
        "timeout_s": 1.0,
        "target_s": 0.1,
        "priority": 0,
        "backends": [["s", 1]],
    } | more


def table(*routes, services=("s",)):
    return {"version": 1, "routes": list(routes), "services": {name: {} for name in services}, "limits": {}}


class Tables(unittest.TestCase):
    def test_each_fault_of_a_table_is_reported_once(self):
        for faulty in (
            table(route("x"), route("y")),
            table(route(), route("y", host="H.example:80")),
            table(route(backends=[["t", 1]])),
            table(route(backends=[])),
            table(route(backends=[["s", 0], ["t", 0]]), services=("s", "t")),
            table(route(backends=[["s", 3], ["t", -1]]), services=("s", "t")),
            table(route(timeout_s=0)),
        ):
            self.assertEqual(len(table_faults(faulty)), 1, faulty)
            self.assertRaises(ValidationFailedError, check_table, faulty)

    def test_valid_table_is_returned(self):
        valid = table(
            route(),
            route("y", path_prefix="/a/b/"),
            route("z", host="other"),
            route("w", path_prefix="/c/", backends=[["s", 0], ["t", 5]]),
            services=("s", "t"),
        )
        self.assertIs(check_table(valid), valid)

    def test_host_is_normalized(self):
        for written, host in (
            ("A.Example", "a.example"),
            ("a:80", "a"),
            ("a:", "a"),
            ("[::1]:80", "[::1]"),
            ("[::1]", "[::1]"),
            ("", ""),
        ):
            self.assertEqual(host_of(written), host)


class CompareAndSet(unittest.TestCase):
    def test_versions_may_skip_numbers(self):
        runner = RoutingRunner()
        self.assertEqual(runner.read(), (0, None))
        self.assertEqual(
            [runner.put(0, 5), runner.put(5, 7), runner.put(7, 1000)],
            [{"version": 5}, {"version": 7}, {"version": 1000}],
        )
        self.assertEqual(runner.read(), (1000, {"number": 1000}))

    def test_one_of_two_changes_with_the_same_base_is_applied(self):
        runner = RoutingRunner()
        runner.put(0, 5)
        self.assertEqual(
            [runner.put(5, 7, fingerprint="a"), runner.put(5, 7, fingerprint="b"), runner.put(5, 9)],
            [{"version": 7}, "lost", "lost"],
        )
        self.assertEqual(runner.read()[0], 7)

    def test_version_not_above_its_base_is_rejected(self):
        runner = RoutingRunner()
        runner.put(0, 5)
        self.assertEqual(
            [runner.put(5, 5, fingerprint="x"), runner.put(5, 4), runner.put(0, 0)],
            ["invalid", "invalid", "badRequest"],
        )
        self.assertEqual(
            runner.put(9, 3), "invalid", "a version not above its base is invalid whatever the newest version is"
        )

    def test_change_based_on_a_future_version_is_ambiguous(self):
        """
        node 1                     leader of `routing`       node 2
        PUT 9 on 7 (delayed)
                                   newest is 5  <----------- PUT 9 on 7 repeated: neither applied nor reported as lost
                                   7 applied
                 arrives ------->  9 applied
        """
        runner = RoutingRunner()
        runner.put(0, 5)
        before = dict(runner.entries)
        with self.assertRaises(QuorumUnavailableError) as caught:
            runner.do("put", based_on=7, version=9, document={}, fingerprint="early")
        self.assertIs(caught.exception.verdict, Verdict.MAYBE)
        self.assertEqual(
            runner.result_or_code("change", based_on=7, version=9, pieces={}, fingerprint="early"), "cannotTell"
        )
        self.assertEqual(runner.entries, before)
        runner.put(5, 7)
        self.assertEqual(runner.put(7, 9, fingerprint="early"), {"version": 9})

    def test_repeat_gets_the_version_while_its_fingerprint_is_remembered(self):
        runner = RoutingRunner()
        runner.put(0, 5, fingerprint="first")
        for number in range(CHANGES_REMEMBERED - 1):
            runner.put(number + 5, number + 6)
        self.assertEqual(runner.put(0, 5, fingerprint="first"), {"version": 5})
        self.assertEqual(runner.result_or_code("outcome", based_on=0, fingerprint="first"), {"version": 5})
        newest = runner.read()[0]
        runner.put(newest, newest + 1)
        self.assertEqual(
            runner.put(0, 5, fingerprint="first"),
            "cannotTell",
            "applied, but its fingerprint is not remembered any more",
        )
        change_rows = [key for key in runner.entries if key.startswith(f"{ROUTING_KEY}#taken/")]
        self.assertEqual(len(change_rows), CHANGES_REMEMBERED)

    def test_applied_change_is_never_reported_as_lost(self):
        """Each change of a long sequence is repeated, as each of the three commands, at four points of it."""
        runner, applied = RoutingRunner(), []
        for number in range(3 * CHANGES_REMEMBERED + 7):
            applied.append((2 * number, 2 * number + 2, f"f{number}"))
            runner.put(applied[-1][0], applied[-1][1], fingerprint=applied[-1][2])
            if number not in (5, CHANGES_REMEMBERED, 2 * CHANGES_REMEMBERED, 3 * CHANGES_REMEMBERED + 6):
                continue
            for index, (based_on, version, fingerprint) in enumerate(applied):
                known = index >= len(applied) - CHANGES_REMEMBERED
                expected = {"version": version} if known else "cannotTell"
                self.assertEqual(runner.put(based_on, version, fingerprint=fingerprint), expected)
                self.assertEqual(runner.result_or_code("outcome", based_on=based_on, fingerprint=fingerprint), expected)
                change = {"based_on": based_on, "version": version, "fingerprint": fingerprint, "pieces": {}}
                self.assertEqual(runner.result_or_code("change", **change), expected)

    def test_lost_change_is_rejected_if_its_base_is_remembered(self):
        """Had a change based on the version of a remembered change been applied, it would be remembered too."""
        runner = RoutingRunner()
        for number in range(CHANGES_REMEMBERED + 100):
            runner.put(number, number + 1)
        oldest = 101  # the version that the oldest remembered change made
        newest = runner.read()[0]
        for based_on, expected in (
            (0, "cannotTell"),
            (oldest - 1, "cannotTell"),
            (oldest, "lost"),
            (newest - 1, "lost"),
        ):
            self.assertEqual(runner.put(based_on, newest + 5, fingerprint="other"), expected, based_on)
            self.assertEqual(
                runner.result_or_code("outcome", based_on=based_on, fingerprint="other"), expected, based_on
            )

    def test_outcome_is_lost_only_for_a_past_base(self):
        """Only a change based on a past version can't be applied any more: one that is based on the newest or on a
        future version may still be applied by a copy in flight."""
        runner = RoutingRunner()
        runner.put(0, 5)
        before = dict(runner.entries)
        self.assertEqual(
            [runner.result_or_code("outcome", based_on=based_on, fingerprint="x") for based_on in (0, 5, 9)],
            ["lost", "cannotTell", "cannotTell"],
        )
        self.assertEqual(runner.entries, before)

    def test_change_writes_only_the_given_pieces(self):
        runner = RoutingRunner()
        runner.put(0, 5, DOCUMENT)
        changed = DOCUMENT | {"ways": [{"name": "b/c", "to": 3}, {"name": "new"}], "number": 4}
        pieces = {name: value for name, value in pieces_of(changed).items() if pieces_of(DOCUMENT).get(name) != value}
        pieces["ways/a"] = None
        before = dict(runner.entries)
        self.assertEqual(
            runner.result_or_code("change", based_on=5, version=6, pieces=pieces, fingerprint="c"), {"version": 6}
        )
        self.assertEqual(runner.read(), (6, changed))
        changed_keys = {
            key for key in runner.entries.keys() | before.keys() if runner.entries.get(key) != before.get(key)
        }
        self.assertEqual(
            {key for key in changed_keys if "#piece/" in key}, {f"{ROUTING_KEY}#piece/{name}" for name in pieces}
        )
        self.assertEqual(runner.result_or_code("change", based_on=5, version=8, pieces={}, fingerprint="d"), "lost")
        self.assertEqual(
            runner.result_or_code("change", based_on=5, version=6, pieces={}, fingerprint="c"), {"version": 6}
        )

    def test_changes_in_one_batch_see_each_other(self):
        """Both run before either is committed: no piece of the first one may be left."""
        runner = RoutingRunner()
        runner.put(0, 1, DOCUMENT)
        transaction = Transaction(runner.entries, None)
        controller = CONTROLLERS.find(ROUTING_KEY)
        for based_on, version, document in ((1, 2, {"fresh": [{"name": "x"}]}), (2, 3, {"number": 1})):
            inner = transaction.nested()
            controller.run(
                inner,
                ROUTING_KEY,
                "put",
                {"based_on": based_on, "version": version, "document": document, "fingerprint": f"f{version}"},
            )
            transaction.merge(inner)
        runner.entries |= transaction.changes()
        runner.entries = type(runner.entries)(
            {key: value for key, value in runner.entries.items() if value is not None}
        )
        self.assertEqual(runner.read(), (3, {"number": 1}))
        self.assertEqual([key for key in runner.entries if "#piece/" in key], [f"{ROUTING_KEY}#piece/rest"])

    def test_document_of_four_megabytes_is_stored(self):
        runner, document = (
            RoutingRunner(),
            {"ways": [{"name": f"w{number}", "text": "x" * 400} for number in range(9500)]},
        )
        self.assertGreater(len(pack_json(document)), 4_000_000)
        self.assertEqual(runner.put(0, 1, document), {"version": 1})
        self.assertEqual(runner.read(), (1, document))
        self.assertEqual(runner.put(1, 2, {"text": "y" * 4_100_000}), {"version": 2})

    def test_lost_change_reports_the_newest_version(self):
        runner = RoutingRunner()
        runner.put(0, 5)
        with self.assertRaises(VersionConflictError) as caught:
            runner.do("put", based_on=0, version=9, document={}, fingerprint="z")
        self.assertEqual((caught.exception.detail, caught.exception.verdict.value), ({"version": 5}, "no"))


class PlainDialect:
    """A dialect whose documents are routing tables already; one with `broken` raises an error."""

    def routing_of(self, document, _parsed=None):
        if "broken" in document:
            raise (document["broken"] and ValidationFailedError("broken") or AttributeError("a defect of the dialect"))
        return document


class RouterTests(unittest.TestCase):
    BOUNDS = {"routing_age_s": 2.0, "routing_stretch_s": 5.0}

    def setUp(self):
        self.now, self.lines = 0.0, []
        self.state_table = StateTable(self)
        self.node = SimpleNamespace(
            state_table=self.state_table, env={"bounds": self.BOUNDS}, log=EventLogger(self.lines.append)
        )
        self.runner = RoutingRunner()
        self.router = Router(self.node, PlainDialect())

    def seconds(self):
        return self.now

    def publish(self, version, document):
        self.runner.put(self.runner.read()[0], version, document)
        self.state_table.publish(ROUTING_KEY, self.seconds)
        self.state_table.set_items(ROUTING_KEY, *self.runner.published())

    def found_route(self, host, path):
        route = self.router.find(host, path)
        return route and route.name

    def test_longest_matching_prefix_of_the_host_is_found(self):
        self.publish(
            3,
            table(
                route("a", path_prefix="/a/"),
                route("ab", path_prefix="/a/b/"),
                route("long", path_prefix="/a/b/c/d/"),
                route("root", host="o", path_prefix="/"),
            ),
        )
        for host, path, name in (
            ("h.example", "/a/x", "a"),
            ("H.EXAMPLE:8080", "/a/b/", "ab"),
            ("h.example", "/a/b", "a"),
            ("h.example", "/a/b/c/x?y=/a/b/c/d/", "ab"),
            ("h.example", "/a/b/c/d/e/f", "long"),
            ("h.example", "/a", None),
            ("h.example", "/b/a/", None),
            ("h.example", "/A/", None),
            ("h.example", "a/", None),
            ("h.example", "", None),
            ("h.example", "/?/a/", None),
            ("other", "/a/", None),
            ("o", "/any/thing", "root"),
            ("o", "*", None),
            ("h.example", "//a/", None),
            ("h.example", "/a/" + "/" * 50000, "a"),
        ):
            self.assertEqual(self.found_route(host, path), name, (host, path[:20]))
        self.assertEqual((self.router.version, list(self.router.services)), (3, ["s"]))

    def test_table_is_rebuilt_only_for_a_new_version(self):
        self.publish(3, table(route("a")))
        first = self.router.find("h.example", "/a/")
        self.state_table.set_items(ROUTING_KEY, 3, {})
        self.assertIs(self.router.find("h.example", "/a/"), first)
        self.publish(9, table(route("b")))
        self.assertEqual((self.found_route("h.example", "/a/"), self.router.version), ("b", 9))

    def test_older_version_is_ignored(self):
        self.publish(9, table(route("b")))
        older = RoutingRunner()
        older.put(0, 4, table(route("old")))
        self.state_table.snapshots[ROUTING_KEY].version = 3
        self.state_table.set_items(ROUTING_KEY, *older.published())
        self.assertEqual((self.router.version, self.found_route("h.example", "/a/")), (9, "b"))

    def test_older_gossip_confirms_nothing(self):
        """A node that is behind without knowing it sends its older version, which must not refresh the newer one."""
        behind = StateTable(self)
        self.publish(3, table(route("a")))
        behind.merge(self.state_table.update_for([]), [], self.now)
        self.publish(9, table(route("b")))
        self.state_table.retract(ROUTING_KEY)
        self.now = 4.0
        behind.snapshots[ROUTING_KEY].confirmed_at = self.now
        for seen in ([], self.state_table.known_versions()):
            self.state_table.merge(behind.update_for(seen), seen, self.now)
        self.assertEqual((self.router.version, self.found_route("h.example", "/a/")), (9, "b"))
        self.assertGreater(self.state_table.age(ROUTING_KEY), 3.0)

    def test_staleness_follows_the_age_bound(self):
        self.assertIn("no routing", self.router.staleness())
        self.publish(1, table(route()))
        self.assertIsNone(self.router.staleness())
        self.state_table.retract(ROUTING_KEY)
        self.now += 2.0
        self.assertIsNone(self.router.staleness())
        self.now += 0.1
        self.assertIn("too old", self.router.staleness())
        self.node.env = {"bounds": self.BOUNDS | {"routing_age_s": 3.0}}
        self.assertIsNone(self.router.staleness(), "bounds may change at run time")
        self.node.env = {}
        self.assertIn("too old", self.router.staleness())

    def test_stale_gateway_stays_ready_for_the_stretch_time(self):
        self.assertIn("no routing", self.router.not_ready_reason())
        self.publish(1, table(route()))
        self.assertIsNone(self.router.not_ready_reason())
        self.state_table.retract(ROUTING_KEY)
        self.now += 7.0
        self.assertIsNone(self.router.not_ready_reason())
        self.assertIn("too old", self.router.staleness())
        self.now += 0.1
        self.assertIn("too old", self.router.not_ready_reason())

    def test_unreadable_table_makes_the_gateway_stale(self):
        self.publish(1, table(route()))
        for version, document in (
            (2, {"broken": 1}),
            (3, {"broken": 0}),
            (4, {"routes": 7}),
            (5, table({"name": "x"})),
        ):
            self.publish(version, document)
            self.assertIn(f"version {version}", self.router.staleness())
            self.assertEqual(self.router.version, 1)
        self.publish(6, table(route("better")))
        self.assertIsNone(self.router.staleness())
        self.assertEqual(self.found_route("h.example", "/a/"), "better")

    def test_unchanged_routes_are_reused(self):
        rows = [route(f"r{number}", path_prefix=f"/{number}/") for number in range(5)]
        self.publish(1, table(*rows))
        before = dict(self.router.routes)
        self.publish(2, table(*rows[:-1], rows[-1] | {"timeout_s": 2.0}))
        kept = [name for name, one in self.router.routes.items() if one is before[name]]
        self.assertEqual(kept, ["r0", "r1", "r2", "r3"])
        self.assertEqual(self.router.routes["r4"].timeout_s, 2.0)

    def test_router_created_after_publication_has_the_table(self):
        self.publish(3, table(route("a")))
        self.assertEqual(Router(self.node, PlainDialect()).version, 3)

    def test_services_are_picked_by_weight(self):
        one = Route(**route(backends=[["none", 0], ["a", 90], ["b", 10], ["last", 0]]))
        self.assertEqual([one.pick_service(number) for number in (0.0, 0.899, 0.901, 1 - 1e-16)], ["a", "a", "b", "b"])
        numbers = random.Random(1)
        picked = [one.pick_service(numbers.random()) for _ in range(10000)]
        self.assertAlmostEqual(picked.count("a") / 10000, 0.9, delta=0.02)
        self.assertEqual(one.backends, (("none", 0), ("a", 90), ("b", 10), ("last", 0)))
        with self.assertRaises(AttributeError):
            one.name = "other"

    def test_gossip_carries_only_the_changed_pieces(self):
        """A gateway that is one version behind receives only the items that changed."""
        routes = [route(f"r{number}", path_prefix=f"/{number}/") for number in range(300)]
        self.publish(1, table(*routes))
        behind = StateTable(self)
        behind.merge(self.state_table.update_for([]), [], self.now)
        self.publish(2, table(*routes[:-1], routes[-1] | {"timeout_s": 2.0}))
        seen = behind.known_versions()
        news = self.state_table.update_for(seen)
        self.assertEqual({item.name for item in news.snapshots[0].items}, {"routes/r299", "version"})
        behind.merge(news, seen, self.now)
        self.assertEqual(document_from(behind.values(ROUTING_KEY))[1]["routes"][-1]["timeout_s"], 2.0)
        self.assertEqual(
            json.loads(pack_json(document_from(behind.values(ROUTING_KEY))[1])),
            json.loads(pack_json(self.runner.read()[1])),
        )


if __name__ == "__main__":
    unittest.main()
