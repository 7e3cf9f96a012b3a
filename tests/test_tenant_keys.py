"""Guards against requests that reach replicas although no tenant sent them, with a tenant's key in their headers, under
a tenant name chosen by the client, or with the history of another tenant's turn.

One gateway between scripted clients and replicas; test_tenants covers a whole fleet.
"""

import os
import sys
import unittest
from dataclasses import replace

TESTS = os.path.dirname(os.path.abspath(__file__))
sys.path[:0] = [TESTS, os.path.join(os.path.dirname(TESTS), "platform")]

from hypothesis import given, strategies  # noqa: E402

from oakramp.gateway.proxy_types import ProxyRequest  # noqa: E402
from oakramp.gateway.tenants import TenantTable  # noqa: E402
from oakramp_platform.dialect import Dialect  # noqa: E402
from relay_bench import STREAM_END, STREAM_HEAD, Gate, ParsedResponse, answer, event, request  # noqa: E402

TENANTS = {
    "north": {"keys": ["north-1", "north-2"], "priority": None},
    "south": {"keys": ["south-1"], "priority": 3},
}
KEYED_KINDS = ("safe", "unsafe", "tracked", "stream", "once", "kept")


def table(**changes):
    return TenantTable(TENANTS | changes)


def sent_headers(data):
    """[(name in lower case, value)] of a request as received by a replica."""
    lines = data.partition(b"\r\n\r\n")[0].decode("latin-1").split("\r\n")[1:]
    return [(name.lower(), value) for name, _, value in (line.partition(": ") for line in lines)]


class TenantTestCase(unittest.TestCase):
    """A gateway whose configuration has tenants."""

    def setUp(self):
        self.gate = Gate()
        self.gate.router.tenants = table()

    def tearDown(self):
        self.assertEqual([line for line in self.gate.lines if "rashed" in line], [])
        self.assertEqual(
            [line for line in self.gate.lines if "north-" in line or "south-" in line], [], "a key was logged"
        )

    def ask(self, kind, try_id="t1", key="north-1", **more):
        return self.gate.ask(request(kind, try_id, Api_Key=key, **({"Operation_Key": "k"} | more)))

    def status(self, client):
        return ParsedResponse(client.value()).status

    def header_values(self, data, name):
        return [value for key, value in sent_headers(data) if key == name]

    def serve_stream(self, try_id="t1", number=1):
        """The replica that was dialled last sends one event and closes; returns what it had received."""
        replica = self.gate.replica()
        sent = replica.take()
        replica.feed(STREAM_HEAD.replace(b"Try-Id: t1", b"Try-Id: %b" % try_id.encode()))
        replica.feed(event(number) + STREAM_END)
        replica.peer_closes()
        return sent


class Authentication(TenantTestCase):
    def test_a_request_without_a_known_key_is_answered_401_and_not_sent(self):
        for kind in KEYED_KINDS:
            for key in (None, "", "nobody", "north-1,north-2", "NORTH-1"):
                with self.subTest(kind=kind, key=key):
                    response = ParsedResponse(self.ask(kind, key=key).value())
                    self.assertEqual((response.status, self.gate.dialled()), (401, 0))
                    self.assertIsNone(response.header("Retry-After"))
                    self.assertIn(b'"verdict": "no"', response.body)

    def test_duplicated_key_headers_are_rejected(self):
        for second in ("north-1", "north-2", "nobody"):
            data = request("safe", Api_Key="north-1", aPI_kEY=second)
            self.assertEqual((self.status(self.gate.ask(data)), self.gate.dialled()), (401, 0))

    def test_a_key_listed_in_the_connection_header_is_rejected(self):
        self.assertEqual((self.status(self.ask("safe", Connection="api-KEY")), self.gate.dialled()), (401, 0))

    def test_replicas_receive_the_tenants_name_but_no_key(self):
        for kind in KEYED_KINDS:
            for key, name in (("north-2", "north"), ("south-1", "south")):
                with self.subTest(kind=kind, key=key):
                    self.ask(kind, key=key, Sender="somebody", sENDER="south", Connection="x, Sender")
                    sent = self.gate.replica().take()
                    self.assertEqual(self.header_values(sent, "sender"), [name])
                    self.assertEqual(self.header_values(sent, "api-key"), [])
                    self.assertNotIn(key.encode(), sent)
                    self.setUp()

    def test_a_keyless_route_needs_no_key(self):
        for key, names in ((None, []), ("north-1", ["north"])):
            with self.subTest(key=key):
                client = self.ask("open", key=key, Sender="south")
                replica = self.gate.replica()
                sent = replica.take()
                self.assertEqual((self.header_values(sent, "sender"), self.header_values(sent, "api-key")), (names, []))
                replica.feed(answer())
                self.assertEqual(self.status(client), 200)
                self.setUp()

    def test_an_unknown_key_is_rejected_on_a_keyless_route_too(self):
        for key in ("nobody", "", "north-1,north-2"):
            with self.subTest(key=key):
                self.assertEqual((self.status(self.ask("open", key=key)), self.gate.dialled()), (401, 0))

    def test_without_tenants_every_request_is_served_and_no_key_is_forwarded(self):
        self.gate.router.tenants = TenantTable(None)
        client = self.ask("safe", Sender="south")
        replica = self.gate.replica()
        sent = replica.take()
        self.assertEqual((self.header_values(sent, "sender"), self.header_values(sent, "api-key")), ([], []))
        replica.feed(answer())
        self.assertEqual(self.status(client), 200)

    def test_with_a_stale_configuration_an_unknown_key_is_answered_503(self):
        self.gate.router.stale = "the routing table is too old"
        client = self.ask("safe", key="nobody")
        self.gate.run(3.0)
        self.assertEqual((self.status(client), self.gate.dialled()), (503, 0))

    def test_without_a_route_an_unknown_key_is_answered_404(self):
        self.assertEqual(self.status(self.ask("nowhere", key="nobody")), 404)

    def test_many_unknown_keys_log_one_line(self):
        for number in range(50):
            self.ask("safe", f"t{number}", key="nobody")
        lines = [line for line in self.gate.lines if "request_unauthenticated" in line]
        self.assertEqual(len(lines), 1)


class RevokedKeys(TenantTestCase):
    """The key of a request is revoked, or moved to another tenant, before the request is sent."""

    def wait_for_a_slot(self, kind, **more):
        self.gate.balancer.free_slots = dict.fromkeys(self.gate.balancer.free_slots, 0)
        client = self.ask(kind, **more)
        self.gate.run(0.1)
        return client

    def free_all_slots(self):
        self.gate.balancer.free_slots = dict.fromkeys(self.gate.balancer.free_slots, 1)
        self.gate.run(0.1)

    def test_while_waiting_for_a_slot_the_request_is_rejected(self):
        for kind in KEYED_KINDS:
            with self.subTest(kind=kind):
                client = self.wait_for_a_slot(kind)
                self.gate.router.tenants = table(north={"keys": ["north-2"], "priority": None})
                self.free_all_slots()
                self.assertEqual((self.status(client), self.gate.dialled()), (401, 0))
                self.assertEqual(set(self.gate.balancer.free_slots.values()), {1}, "slots are released")
                self.setUp()

    def test_while_connecting_the_request_is_rejected(self):
        for kind in KEYED_KINDS:
            with self.subTest(kind=kind):
                client = self.ask(kind)
                self.gate.router.tenants = table(north={"keys": [], "priority": None})
                self.assertEqual(self.gate.replica().take(), b"")
                self.assertEqual(self.status(client), 401)
                self.assertEqual(self.gate.balancer.failure_reports, [])
                self.setUp()

    def test_before_a_retry_the_request_is_rejected(self):
        client = self.ask("safe")
        replica = self.gate.replica()
        self.gate.router.tenants = table(north={"keys": [], "priority": None})
        replica.feed(answer(503, stamp=None, Not_Run="1"))
        self.assertEqual((self.status(client), self.gate.dialled()), (401, 1))

    def test_between_requests_on_one_connection_the_next_one_is_rejected(self):
        client = self.ask("safe")
        self.gate.replica().feed(answer())
        client.take()
        self.gate.router.tenants = table(north={"keys": [], "priority": None})
        client.feed(request("safe", "t2", Api_Key="north-1"))
        self.assertEqual((self.status(client), self.gate.dialled()), (401, 1))

    def test_while_waiting_on_a_keyless_route_the_request_is_rejected(self):
        client = self.wait_for_a_slot("open")
        self.gate.router.tenants = table(north={"keys": [], "priority": None})
        self.free_all_slots()
        self.assertEqual((self.status(client), self.gate.dialled()), (401, 0))

    def test_the_claim_of_a_rejected_request_is_released(self):
        self.wait_for_a_slot("tracked")
        self.gate.router.tenants = table(north={"keys": ["north-2"], "priority": None})
        self.free_all_slots()
        repeat = self.ask("tracked", "t2", key="north-2")
        self.gate.replica().feed(answer(try_id="t2"))
        self.assertEqual(self.status(repeat), 200)

    def test_a_key_moved_to_another_tenant_is_answered_503(self):
        for kind in (*KEYED_KINDS, "open"):
            with self.subTest(kind=kind):
                client = self.wait_for_a_slot(kind)
                self.gate.router.tenants = TenantTable({"south": {"keys": ["north-1"], "priority": None}})
                self.free_all_slots()
                self.assertEqual((self.status(client), self.gate.dialled()), (503, 0))
                self.setUp()

    def test_a_key_that_stays_while_others_change_is_served(self):
        client = self.wait_for_a_slot("unsafe")
        self.gate.router.tenants = table(north={"keys": ["north-1"], "priority": 2}, south={"keys": [], "priority": 0})
        self.free_all_slots()
        self.gate.replica().feed(answer())
        self.assertEqual(self.status(client), 200)


class Priorities(TenantTestCase):
    def test_a_tenants_priority_overrides_that_of_the_route(self):
        asked, acquire = [], self.gate.balancer.acquire

        def note(placement_request):
            asked.append(placement_request.rank)
            return acquire(placement_request)

        self.gate.balancer.acquire = note
        self.gate.router.routes["/safe/"] = replace(self.gate.router.routes["/safe/"], priority=1)
        self.ask("safe", key="north-1")
        self.ask("safe", "t2", key="south-1")
        self.assertEqual([rank[1] for rank in asked], [1, 3])


class TenantScopes(TenantTestCase):
    def chat(self, try_id, key, **more):
        return self.ask("kept", try_id, key=key, **({"body": try_id.encode()} | more))

    def finish(self, client, try_id):
        sent = self.serve_stream(try_id)
        self.assertEqual(self.status(client), 200)
        return sent.partition(b"\r\n\r\n")[2]

    def test_a_turn_continues_a_turn_of_the_same_tenant(self):
        self.finish(self.chat("a", "north-1"), "a")
        body = self.finish(self.chat("b", "north-2", Previous_Turn="a"), "b")
        self.assertEqual(body, b"ad1\nb")
        body = self.finish(self.chat("c", "north-1", Previous_Turn="b"), "c")
        self.assertEqual(body, b"ad1\nbd1\nc")

    def test_a_previous_turn_of_another_tenant_is_not_found(self):
        self.finish(self.chat("a", "north-1"), "a")
        dialled = self.gate.dialled()
        for key, turn in (("south-1", "a"), ("south-1", "north/a"), ("south-1", "north\ta")):
            self.assertEqual(self.status(self.chat("b", key, Previous_Turn=turn)), 404)
        self.assertEqual(self.gate.dialled(), dialled)

    def test_turns_of_two_tenants_with_one_id_are_separate(self):
        self.finish(self.chat("a", "north-1"), "a")
        self.finish(self.chat("a", "south-1", body=b"other"), "a")
        body = self.finish(self.chat("b", "north-1", Previous_Turn="a"), "b")
        self.assertEqual(body, b"ad1\nb")
        body = self.finish(self.chat("b", "south-1", Previous_Turn="a"), "b")
        self.assertEqual(body, b"otherd1\nb")

    def test_sessions_of_two_tenants_with_one_name_are_separate(self):
        self.finish(self.chat("a", "north-1", Session="s"), "a")
        self.finish(self.chat("b", "south-1", Session="s"), "b")
        self.assertEqual(len({record.session for record in self.gate.turns.records.values()}), 2)

    def test_without_tenants_ids_are_stored_unscoped(self):
        self.gate.router.tenants = TenantTable(None)
        self.finish(self.chat("a", None, Session="s"), "a")
        record = self.gate.turns.records["a"]
        self.assertEqual((record.turn_id, record.parent, record.session), ("a", None, "s"))

    def test_operations_of_two_tenants_with_one_key_are_separate(self):
        for key in ("north-1", "south-1"):
            client = self.ask("tracked", key=key)
            self.gate.replica().feed(answer(body=key.encode(), Connection="close"))
            self.assertEqual(ParsedResponse(client.value()).body, key.encode())
        repeat = self.ask("tracked", "t2", key="north-2")
        replica = self.gate.replica()
        self.assertEqual((ParsedResponse(repeat.value()).body, replica.value()), (b"north-1", b""))

    def test_programs_of_two_tenants_with_one_name_have_separate_budgets(self):
        spent = {"Program": "p", "Token_Budget": 1, "Tokens": "10,1"}
        statuses = []
        for try_id, key in (("a", "north-1"), ("b", "south-1"), ("c", "north-2"), ("d", "south-1")):
            dialled = self.gate.dialled()
            client = self.ask("once", try_id, key=key, **spent)
            if self.gate.dialled() > dialled:
                self.serve_stream(try_id)
            self.gate.run(0.2)
            statuses.append(self.status(client))
        self.assertEqual(statuses, [200, 200, 402, 402])


CASES = strategies.sampled_from([str.lower, str.upper, str.title, str.swapcase, lambda name: name])
OWNED = strategies.builds(lambda change, name: change(name), CASES, strategies.sampled_from(["Api-Key", "Sender"]))
OTHERS = strategies.sampled_from(["X-Own", "Try-Id", "Accept", "Api-Keys", "Sender-Id"])
FIELDS = strategies.lists(
    strategies.tuples(OWNED | OTHERS, strategies.sampled_from(["", "secret", "a, b"])), max_size=8
)
CONNECTIONS = strategies.lists(strategies.lists(OWNED, max_size=3), max_size=3)


class Headers(unittest.TestCase):
    """The headers that are forwarded to a replica, for arbitrary requests."""

    dialect = Dialect()

    @given(FIELDS, CONNECTIONS, strategies.sampled_from([None, "north"]))
    def test_forwarded_headers_hold_no_key_and_at_most_the_gateways_sender(self, fields, connections, tenant):
        headers = [(name.encode(), value.encode()) for name, value in fields]
        headers += [(b"Connection", ", ".join(names).encode()) for names in connections]
        sent = self.dialect.headers_to_replica(headers, "i-1", 1.0, 0, tenant=tenant)
        lowercase_headers = [(name.lower(), value) for name, value in sent]
        self.assertNotIn(b"api-key", dict(lowercase_headers))
        own = [value for name, value in lowercase_headers if name == b"sender"]
        self.assertEqual(own, [] if tenant is None else [tenant.encode()])
        kept = [pair for pair in headers if pair[0].lower() not in (b"api-key", b"sender", b"connection")]
        self.assertEqual([pair for pair in sent if pair in kept], kept)

    @given(FIELDS)
    def test_only_a_single_key_header_is_accepted(self, fields):
        headers = [(b"Try-Id", b"1"), *((name.encode(), value.encode()) for name, value in fields if name != "Try-Id")]
        found = self.dialect.parse_request(b"GET", b"/", headers)
        keys = [value for name, value in fields if name.lower() == "api-key"]
        self.assertEqual(found.api_key, "secret" if keys == ["secret"] else "" if keys else None)
        self.assertIsNone(found.fault)

    def test_headers_listed_in_any_connection_header_are_not_forwarded(self):
        headers = [(b"Connection", b"X-One"), (b"connection", b"x-two"), (b"X-One", b"1"), (b"X-Two", b"2")]
        names = {name for name, _ in self.dialect.headers_to_replica(headers, "i-1", 1.0, 0)}
        self.assertEqual(names & {b"X-One", b"X-Two"}, set())

    def test_the_repr_of_a_request_contains_no_key(self):
        self.assertNotIn("secret", repr(ProxyRequest(try_id="1", api_key="secret")))


if __name__ == "__main__":
    unittest.main()
