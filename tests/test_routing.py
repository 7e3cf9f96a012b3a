"""The routing by itself: documents in pieces, patches, compare-and-set, and the gates' table."""

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
from test_budgets import Rig

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


class RoutingRig(Rig):
    def __init__(self):
        super().__init__(ROUTING_KEY)

    def put(self, based_on, version, document=None, fingerprint=None):
        return self.tell(
            "put",
            based_on=based_on,
            version=version,
            document={"number": version} if document is None else document,
            fingerprint=fingerprint or f"f{based_on}-{version}",
        )

    def read(self):
        said = self.do("read")
        return said["version"], said.get("document")

    def published(self):
        return CONTROLLERS.find(ROUTING_KEY).snapshot(Transaction(self.entries, None), ROUTING_KEY)


class Documents(unittest.TestCase):
    def test_pieces_and_back(self):
        self.assertEqual(document_of(pieces_of(DOCUMENT)), DOCUMENT)
        self.assertEqual(pieces_of(DOCUMENT)["order:ways"], ["a", "b/c"])

    @settings(max_examples=300, deadline=None)
    @given(DOCUMENTS)
    def test_any_document_comes_back_as_it_was(self, document):
        self.assertEqual(pack_json(document_of(pieces_of(document))), pack_json(document))

    @settings(max_examples=150, deadline=None)
    @given(st.lists(DOCUMENTS, min_size=1, max_size=4))
    def test_any_row_of_documents_is_kept_and_published(self, documents):
        rig = RoutingRig()
        for number, document in enumerate(documents):
            rig.put(number, number + 1, document)
            self.assertEqual(pack_json(rig.read()[1]), pack_json(document))
            version, values = rig.published()
            self.assertEqual((version, pack_json(document_from(values)[1])), (number + 1, pack_json(document)))
        kept = [key for key in rig.entries if key.startswith(f"{ROUTING_KEY}#piece/")]
        self.assertEqual(len(kept), len(pieces_of(documents[-1])), "nothing of older versions is left")


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

    def test_lists_that_are_not_there_yet(self):
        self.assertEqual(apply_patch({}, {"ways": [{"name": "a"}]}, {"places": ["p"]}), {"ways": [{"name": "a"}]})

    def test_what_cannot_be_read_or_says_two_things(self):
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

    def test_every_fault_is_named(self):
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
    def test_faults(self):
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

    def test_a_sound_one(self):
        sound = table(
            route(),
            route("y", path_prefix="/a/b/"),
            route("z", host="other"),
            route("w", path_prefix="/c/", backends=[["s", 0], ["t", 5]]),
            services=("s", "t"),
        )
        self.assertIs(check_table(sound), sound)

    def test_hosts(self):
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
    def test_versions_rise_in_uneven_steps(self):
        rig = RoutingRig()
        self.assertEqual(rig.read(), (0, None))
        self.assertEqual(
            [rig.put(0, 5), rig.put(5, 7), rig.put(7, 1000)], [{"version": 5}, {"version": 7}, {"version": 1000}]
        )
        self.assertEqual(rig.read(), (1000, {"number": 1000}))

    def test_one_of_two_changes_on_a_version_wins(self):
        rig = RoutingRig()
        rig.put(0, 5)
        self.assertEqual(
            [rig.put(5, 7, fingerprint="a"), rig.put(5, 7, fingerprint="b"), rig.put(5, 9)],
            [{"version": 7}, "lost", "lost"],
        )
        self.assertEqual(rig.read()[0], 7)

    def test_a_version_that_is_not_above(self):
        rig = RoutingRig()
        rig.put(0, 5)
        self.assertEqual(
            [rig.put(5, 5, fingerprint="x"), rig.put(5, 4), rig.put(0, 0)], ["invalid", "invalid", "badRequest"]
        )
        self.assertEqual(rig.put(9, 3), "invalid", "not above the version that it is built on, whatever comes")

    def test_a_version_that_is_not_there_yet(self):
        """
        node 1                     owner of `routing`        node 2
        PUT 9 on 7 ---- ...
                                   newest is 5  <----------- PUT 9 on 7 again: not taken, but not refused either
                                   7 taken
                     ... ------->  9 taken
        """
        rig = RoutingRig()
        rig.put(0, 5)
        before = dict(rig.entries)
        with self.assertRaises(QuorumUnavailableError) as caught:
            rig.do("put", based_on=7, version=9, document={}, fingerprint="early")
        self.assertIs(caught.exception.verdict, Verdict.MAYBE)
        self.assertEqual(rig.tell("change", based_on=7, version=9, pieces={}, fingerprint="early"), "cannotTell")
        self.assertEqual(rig.entries, before)
        rig.put(5, 7)
        self.assertEqual(rig.put(7, 9, fingerprint="early"), {"version": 9})

    def test_exact_repeats(self):
        rig = RoutingRig()
        rig.put(0, 5, fingerprint="first")
        for number in range(CHANGES_REMEMBERED - 1):
            rig.put(number + 5, number + 6)
        self.assertEqual(rig.put(0, 5, fingerprint="first"), {"version": 5})
        self.assertEqual(rig.tell("outcome", based_on=0, fingerprint="first"), {"version": 5})
        newest = rig.read()[0]
        rig.put(newest, newest + 1)
        self.assertEqual(rig.put(0, 5, fingerprint="first"), "cannotTell", "taken, but too long ago to be known")
        marks = [key for key in rig.entries if key.startswith(f"{ROUTING_KEY}#taken/")]
        self.assertEqual(len(marks), CHANGES_REMEMBERED)

    def test_no_taken_change_is_ever_refused(self):
        """Each change of a long row is repeated, as each of the three commands, at its start, half way and at its end."""
        rig, taken = RoutingRig(), []
        for number in range(3 * CHANGES_REMEMBERED + 7):
            taken.append((2 * number, 2 * number + 2, f"f{number}"))
            rig.put(taken[-1][0], taken[-1][1], fingerprint=taken[-1][2])
            if number not in (5, CHANGES_REMEMBERED, 2 * CHANGES_REMEMBERED, 3 * CHANGES_REMEMBERED + 6):
                continue
            for index, (based_on, version, fingerprint) in enumerate(taken):
                known = index >= len(taken) - CHANGES_REMEMBERED
                expected = {"version": version} if known else "cannotTell"
                self.assertEqual(rig.put(based_on, version, fingerprint=fingerprint), expected)
                self.assertEqual(rig.tell("outcome", based_on=based_on, fingerprint=fingerprint), expected)
                change = {"based_on": based_on, "version": version, "fingerprint": fingerprint, "pieces": {}}
                self.assertEqual(rig.tell("change", **change), expected)

    def test_what_was_lost_within_the_memory_is_refused(self):
        """A change on a version that a remembered change made can't have been taken unknown: it would be remembered
        too."""
        rig = RoutingRig()
        for number in range(CHANGES_REMEMBERED + 100):
            rig.put(number, number + 1)
        oldest = 101  # the version that the oldest remembered change made
        newest = rig.read()[0]
        for based_on, expected in (
            (0, "cannotTell"),
            (oldest - 1, "cannotTell"),
            (oldest, "lost"),
            (newest - 1, "lost"),
        ):
            self.assertEqual(rig.put(based_on, newest + 5, fingerprint="other"), expected, based_on)
            self.assertEqual(rig.tell("outcome", based_on=based_on, fingerprint="other"), expected, based_on)

    def test_outcome_of_what_was_not_taken(self):
        """Only what is built on a past version can't be taken any more: the newest, or one that is to come, may be
        built on by a copy that is still under way."""
        rig = RoutingRig()
        rig.put(0, 5)
        before = dict(rig.entries)
        self.assertEqual(
            [rig.tell("outcome", based_on=based_on, fingerprint="x") for based_on in (0, 5, 9)],
            ["lost", "cannotTell", "cannotTell"],
        )
        self.assertEqual(rig.entries, before)

    def test_a_change_of_pieces(self):
        rig = RoutingRig()
        rig.put(0, 5, DOCUMENT)
        changed = DOCUMENT | {"ways": [{"name": "b/c", "to": 3}, {"name": "new"}], "number": 4}
        pieces = {name: value for name, value in pieces_of(changed).items() if pieces_of(DOCUMENT).get(name) != value}
        pieces["ways/a"] = None
        before = dict(rig.entries)
        self.assertEqual(rig.tell("change", based_on=5, version=6, pieces=pieces, fingerprint="c"), {"version": 6})
        self.assertEqual(rig.read(), (6, changed))
        moved = {key for key in rig.entries.keys() | before.keys() if rig.entries.get(key) != before.get(key)}
        self.assertEqual({key for key in moved if "#piece/" in key}, {f"{ROUTING_KEY}#piece/{name}" for name in pieces})
        self.assertEqual(rig.tell("change", based_on=5, version=8, pieces={}, fingerprint="d"), "lost")
        self.assertEqual(rig.tell("change", based_on=5, version=6, pieces={}, fingerprint="c"), {"version": 6})

    def test_changes_of_one_batch_see_each_other(self):
        """Both are in before either is committed: nothing of the first's pieces may stay."""
        rig = RoutingRig()
        rig.put(0, 1, DOCUMENT)
        transaction = Transaction(rig.entries, None)
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
        rig.entries |= transaction.changes()
        rig.entries = type(rig.entries)({key: value for key, value in rig.entries.items() if value is not None})
        self.assertEqual(rig.read(), (3, {"number": 1}))
        self.assertEqual([key for key in rig.entries if "#piece/" in key], [f"{ROUTING_KEY}#piece/rest"])

    def test_a_document_of_four_megabytes(self):
        rig, document = RoutingRig(), {"ways": [{"name": f"w{number}", "text": "x" * 400} for number in range(9500)]}
        self.assertGreater(len(pack_json(document)), 4_000_000)
        self.assertEqual(rig.put(0, 1, document), {"version": 1})
        self.assertEqual(rig.read(), (1, document))
        self.assertEqual(rig.put(1, 2, {"text": "y" * 4_100_000}), {"version": 2})

    def test_a_lost_change_tells_the_newest(self):
        rig = RoutingRig()
        rig.put(0, 5)
        with self.assertRaises(VersionConflictError) as caught:
            rig.do("put", based_on=0, version=9, document={}, fingerprint="z")
        self.assertEqual((caught.exception.detail, caught.exception.verdict.value), ({"version": 5}, "no"))


class PlainDialect:
    """Documents that are tables already; `broken` ones cannot be read."""

    def routing_of(self, document, _parsed=None):
        if "broken" in document:
            raise (
                document["broken"] and ValidationFailedError("broken") or AttributeError("a fault of the dialect's own")
            )
        return document


class RouterTest(unittest.TestCase):
    BOUNDS = {"routing_age_s": 2.0, "routing_stretch_s": 5.0}

    def setUp(self):
        self.now, self.lines = 0.0, []
        self.state_table = StateTable(self)
        self.node = SimpleNamespace(
            state_table=self.state_table, env={"bounds": self.BOUNDS}, log=EventLogger(self.lines.append)
        )
        self.rig = RoutingRig()
        self.router = Router(self.node, PlainDialect())

    def seconds(self):
        return self.now

    def publish(self, version, document):
        self.rig.put(self.rig.read()[0], version, document)
        self.state_table.publish(ROUTING_KEY, self.seconds)
        self.state_table.set_items(ROUTING_KEY, *self.rig.published())

    def found(self, host, path):
        route = self.router.find(host, path)
        return route and route.name

    def test_longest_prefix_of_the_host(self):
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
            self.assertEqual(self.found(host, path), name, (host, path[:20]))
        self.assertEqual((self.router.version, list(self.router.services)), (3, ["s"]))

    def test_moves_with_the_version_only(self):
        self.publish(3, table(route("a")))
        first = self.router.find("h.example", "/a/")
        self.state_table.set_items(ROUTING_KEY, 3, {})
        self.assertIs(self.router.find("h.example", "/a/"), first)
        self.publish(9, table(route("b")))
        self.assertEqual((self.found("h.example", "/a/"), self.router.version), ("b", 9))

    def test_never_goes_back(self):
        self.publish(9, table(route("b")))
        older = RoutingRig()
        older.put(0, 4, table(route("old")))
        self.state_table.snapshots[ROUTING_KEY].version = 3
        self.state_table.set_items(ROUTING_KEY, *older.published())
        self.assertEqual((self.router.version, self.found("h.example", "/a/")), (9, "b"))

    def test_older_news_confirm_nothing(self):
        """A node that is behind, and does not know it, answers with what it has."""
        behind = StateTable(self)
        self.publish(3, table(route("a")))
        behind.merge(self.state_table.news_for([]), [], self.now)
        self.publish(9, table(route("b")))
        self.state_table.retract(ROUTING_KEY)
        self.now = 4.0
        behind.snapshots[ROUTING_KEY].confirmed_at = self.now
        for seen in ([], self.state_table.seen()):
            self.state_table.merge(behind.news_for(seen), seen, self.now)
        self.assertEqual((self.router.version, self.found("h.example", "/a/")), (9, "b"))
        self.assertGreater(self.state_table.age(ROUTING_KEY), 3.0)

    def test_staleness(self):
        self.assertIn("no routing", self.router.staleness())
        self.publish(1, table(route()))
        self.assertIsNone(self.router.staleness())
        self.state_table.retract(ROUTING_KEY)
        self.now += 2.0
        self.assertIsNone(self.router.staleness())
        self.now += 0.1
        self.assertIn("too old", self.router.staleness())
        self.node.env = {"bounds": self.BOUNDS | {"routing_age_s": 3.0}}
        self.assertIsNone(self.router.staleness(), "bounds may change while it runs")
        self.node.env = {}
        self.assertIn("too old", self.router.staleness())

    def test_a_gateway_that_refuses_for_want_of_news_calls_itself_ready_for_a_while(self):
        self.assertIn("no routing", self.router.why_not_ready())
        self.publish(1, table(route()))
        self.assertIsNone(self.router.why_not_ready())
        self.state_table.retract(ROUTING_KEY)
        self.now += 7.0
        self.assertIsNone(self.router.why_not_ready())
        self.assertIn("too old", self.router.staleness())
        self.now += 0.1
        self.assertIn("too old", self.router.why_not_ready())

    def test_a_table_that_cannot_be_read_stops_the_gate(self):
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
        self.assertEqual(self.found("h.example", "/a/"), "better")

    def test_routes_that_did_not_change_are_not_made_again(self):
        rows = [route(f"r{number}", path_prefix=f"/{number}/") for number in range(5)]
        self.publish(1, table(*rows))
        before = dict(self.router.routes)
        self.publish(2, table(*rows[:-1], rows[-1] | {"timeout_s": 2.0}))
        kept = [name for name, one in self.router.routes.items() if one is before[name]]
        self.assertEqual(kept, ["r0", "r1", "r2", "r3"])
        self.assertEqual(self.router.routes["r4"].timeout_s, 2.0)

    def test_a_router_that_begins_late(self):
        self.publish(3, table(route("a")))
        self.assertEqual(Router(self.node, PlainDialect()).version, 3)

    def test_services_by_weight(self):
        one = Route(**route(backends=[["none", 0], ["a", 90], ["b", 10], ["last", 0]]))
        self.assertEqual([one.pick_service(number) for number in (0.0, 0.899, 0.901, 1 - 1e-16)], ["a", "a", "b", "b"])
        numbers = random.Random(1)
        picked = [one.pick_service(numbers.random()) for _ in range(10000)]
        self.assertAlmostEqual(picked.count("a") / 10000, 0.9, delta=0.02)
        self.assertEqual(one.backends, (("none", 0), ("a", 90), ("b", 10), ("last", 0)))
        with self.assertRaises(AttributeError):
            one.name = "other"

    def test_news_cost_what_changed(self):
        """A gate that is one version behind gets the one item that moved."""
        routes = [route(f"r{number}", path_prefix=f"/{number}/") for number in range(300)]
        self.publish(1, table(*routes))
        behind = StateTable(self)
        behind.merge(self.state_table.news_for([]), [], self.now)
        self.publish(2, table(*routes[:-1], routes[-1] | {"timeout_s": 2.0}))
        seen = behind.seen()
        news = self.state_table.news_for(seen)
        self.assertEqual({item.name for item in news.snapshots[0].items}, {"routes/r299", "version"})
        behind.merge(news, seen, self.now)
        self.assertEqual(document_from(behind.values(ROUTING_KEY))[1]["routes"][-1]["timeout_s"], 2.0)
        self.assertEqual(
            json.loads(pack_json(document_from(behind.values(ROUTING_KEY))[1])),
            json.loads(pack_json(self.rig.read()[1])),
        )


if __name__ == "__main__":
    unittest.main()
