"""Guards against lost, forked or invalid configurations: the operator's interface on a fleet, with one configuration
that is changed at any control node.

Diagrams in docstrings have one column per node; time runs downwards.
"""

import json
import unittest
from unittest.mock import patch

from twisted.internet import defer, protocol
from twisted.internet.endpoints import TCP4ClientEndpoint

from oakramp.common.constants import OPERATOR_LIMIT
from oakramp.common.errors import (
    BadRequestError,
    ConflictError,
    NotFoundError,
    OutcomeUnknownError,
    QuorumUnavailableError,
    ValidationFailedError,
)
from oakramp.common.tasks import settled, sleep, spawn, within
from oakramp.common.validation import pack_json
from oakramp.control import operator_api as operator_module
from oakramp.control.control_node import ControlNode
from oakramp.control.operator_api import fingerprint_of, read_document
from oakramp.control.routing import ROUTING_KEY, document_from
from oakramp.control.shards import shard_of_key
from oakramp.gateway.routing import Router
from oakramp.testbed import simfleet
from oakramp.testbed.simfleet import SimFleet
from oakramp.testbed.simnet import SimHost, SimReactor

PORT = 7481


class SmallDialect:
    """The dialect of a platform that exists only in these tests."""

    operator_routes = {
        "replace": ("PUT", "/plan"),
        "change": ("PATCH", "/plan"),
        "read": ("GET", "/plan"),
        "retire": ("POST", "/empty/{machine}"),
        "retire_state": ("GET", "/empty/{machine}"),
    }
    STATUSES = {
        "lost": 412,
        "conflict": 409,
        "refused": 409,
        "unknown": 404,
        "badRequest": 400,
        "invalid": 400,
        "tooLarge": 413,
    }

    def operator_status(self, error):
        return self.STATUSES.get(error.code, 503)

    def base_version_of(self, headers):
        value = (headers.getRawHeaders(b"Built-On") or [b""])[0]
        if not value.isdigit():
            raise BadRequestError("what it is built on is not told")
        return int(value)

    def routing_of(self, document, _parsed=None):
        if not isinstance(document.get("ways"), list):
            raise ValidationFailedError("ways: must be a list", detail=["ways: must be a list"])
        return {
            "version": document["number"],
            "limits": {},
            "services": {one["name"]: {} for one in document["goals"]},
            "routes": [
                {
                    "name": way["name"],
                    "host": way["at"],
                    "path_prefix": way["under"],
                    "kind": "safe",
                    "timeout_s": way.get("time", 1),
                    "target_s": 1,
                    "priority": 0,
                    "backends": [[way["to"], 1]],
                }
                for way in document["ways"]
            ],
        }

    def version_of(self, document):
        if type(document.get("number")) is not int or document["number"] < 1:
            raise BadRequestError("number: must be above 0")
        return document["number"]

    def with_version(self, document, version):
        return document | {"number": version}

    def parse_patch(self, body):
        return {"version": self.version_of(body), "upsert": body.get("put", {}), "remove": body.get("drop", {})}

    def format_retire_state(self, state):
        return {"is": state}


def document(number, to="g1", **ways):
    ways = {"w1": "/a/"} | ways
    return {
        "number": number,
        "goals": [{"name": "g1"}, {"name": "g2"}],
        "more": {"size": 2.50},
        "ways": [{"name": name, "at": "h.example", "under": under, "to": to} for name, under in ways.items()],
    }


class Reply(protocol.Protocol):
    """Collects what is received until the connection ends."""

    def __init__(self, request, is_cut):
        self._request, self._is_cut = request, is_cut
        self.data, self.ended = b"", defer.Deferred()

    def connectionMade(self):
        self.transport.write(self._request)
        if self._is_cut:
            self.transport.loseConnection()

    def dataReceived(self, data):
        self.data += data

    def connectionLost(self, reason=protocol.connectionDone):
        if not self.ended.called:
            self.ended.callback(self.data)


class HttpAnswer:
    def __init__(self, status, headers=None, body=None):
        self.status, self.headers, self.body = status, headers or {}, body

    @classmethod
    def of(cls, data):
        head, _, body = data.partition(b"\r\n\r\n")
        first, *lines = head.decode().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in lines)
        return cls(int(first.split()[1]), headers, json.loads(body) if body else None)


async def send_once(reactor, host, method, path="/plan", body=b"", headers=(), time_left=20.0, cut_at=None):
    """A node's answer to one call of an operator; status 0 if there is no complete answer."""
    body = body if isinstance(body, bytes) else pack_json(body)
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: plans",
        "Connection: close",
        f"Content-Length: {len(body)}",
        *headers,
    ]
    reply = Reply("\r\n".join(lines).encode() + b"\r\n\r\n" + body[:cut_at], cut_at is not None)
    try:
        await TCP4ClientEndpoint(reactor, host, PORT, 1.0).connect(_SingleProtocolFactory(reply))
        return HttpAnswer.of(await within(reactor, time_left, reply.ended, OutcomeUnknownError("silent")))
    except Exception:
        return HttpAnswer(0)


class OperatorTest(unittest.TestCase):
    RING_FILE_SIZE = simfleet.RING_FILE_SIZE
    SEED = 17

    def setUp(self):
        def build(reactor, env, *parts, **named):
            env = {name: value for name, value in env.items() if name != "platform"} | {
                "operator": f"{env['http'].partition(':')[0]}:{PORT}"
            }
            return ControlNode(reactor, env, *parts, dialect=SmallDialect(), **named)

        patching = patch.dict(simfleet.BUILDERS, control=build)
        patching.start()
        self.addCleanup(patching.stop)
        self.fleet = SimFleet(self.SEED, ring_file_size=self.RING_FILE_SIZE).bring_up(plans=False)
        self.host = SimHost(self.fleet.network, "127.20.252.1")
        self.reactor = SimReactor(self.host)
        self.acknowledged, self.sent = {}, {}

    def tearDown(self):
        self.assertEqual([line for line in self.fleet.lines if "rashed" in line], [], self.fleet.timeline())

    # --- requests ---

    async def send(self, name, method, **more):
        return await send_once(self.reactor, self.fleet[name].machine.host, method, **more)

    def ask(self, name, method, **more):
        return self.fleet.until(self.send(name, method, **more), 40)

    async def change(self, name, based_on, value, method="PUT", time_left=20.0):
        said = await self.send(name, method, body=value, headers=[f"Built-On: {based_on}"], time_left=time_left)
        if said.status == 200:
            self.acknowledged[value["number"]] = based_on
        return said

    def put(self, name, based_on, value, method="PUT"):
        return self.fleet.until(self.change(name, based_on, value, method), 40)

    async def retry_until_known(self, based_on, value, method="PUT", tries=40):
        """Retries unchanged at one node after another until the outcome is known, as an operator does."""
        controls = sorted(one.name for one in self.fleet.of_kind("control"))
        for number in range(tries):
            said = await self.change(controls[number % len(controls)], based_on, value, method, time_left=1.0)
            if 0 < said.status < 500:
                return said
            await sleep(self.reactor, 0.2)
        return said

    def read(self, name="control0"):
        return self.ask(name, "GET")

    def read_with_retries(self):
        """Reads the configuration, with retries."""
        for number in range(100):
            said = self.read(f"control{number % 5}")
            if said.status in (200, 404):
                return said.body
            self.fleet.run(0.2)
        raise AssertionError("the configuration cannot be read")

    def owner(self):
        shard = shard_of_key(ROUTING_KEY)
        return next(
            one
            for one in self.fleet.of_kind("control")
            if one.running and not one.host.frozen and shard in one.node.leaders.active
        )

    def others(self):
        return [one for one in self.fleet.of_kind("control") if one is not self.owner()]

    def at_gate(self, name="gate0"):
        return document_from(self.fleet[name].node.node.state_table.values(ROUTING_KEY))


class _SingleProtocolFactory(protocol.Factory):
    noisy = False

    def __init__(self, one):
        self._one = one

    def buildProtocol(self, _address):
        return self._one


class WithoutFaults(OperatorTest):
    def test_whole_configurations_at_any_node(self):
        self.assertEqual(self.read().status, 404)
        for number, name in enumerate(sorted(one.name for one in self.fleet.of_kind("control"))):
            began = self.fleet.time.now
            said = self.put(name, number * 3, document(number * 3 + 3, more=f"/{number}/"))
            self.assertEqual((said.status, said.body), (200, {"version": number * 3 + 3}))
            self.assertLess(self.fleet.time.now - began, 0.3)
        self.assertEqual(
            [self.read(one.name).body for one in self.fleet.of_kind("control")], [document(15, more="/4/")] * 5
        )
        self.fleet.run(1.0)
        self.assertEqual([self.at_gate(name) for name in ("gate0", "gate1")], [(15, document(15, more="/4/"))] * 2)

    def test_a_document_is_read_back_exactly_as_sent(self):
        sent = (
            b'{"number": 1, "more": {"b": 1.0, "a": 1, "c": true, "d": -0.0, "e": 2200000.0, "f": "\\u00e9\xc3\xa9"},'
            b'"goals": [{"name": "g1", "x": null}], "ways": [], "empty": {}, "none": []}'
        )
        self.assertEqual(self.ask("control1", "PUT", body=sent, headers=["Built-On: 0"]).status, 200)
        self.assertEqual(pack_json(self.read("control3").body), pack_json(json.loads(sent)))

    def test_patches(self):
        self.put("control0", 0, document(3, w2="/b/"))
        patch_body = {
            "number": 8,
            "put": {
                "ways": [
                    {"name": "w3", "at": "h.example", "under": "/c/", "to": "g2"},
                    {"name": "w1", "at": "h.example", "under": "/a/", "to": "g2"},
                ]
            },
            "drop": {"ways": ["w2", "w9"]},
        }
        self.assertEqual(self.put("control1", 3, patch_body, "PATCH").status, 200)
        now = self.read("control2").body
        self.assertEqual(
            now,
            document(8)
            | {
                "ways": [
                    {"name": "w1", "at": "h.example", "under": "/a/", "to": "g2"},
                    {"name": "w3", "at": "h.example", "under": "/c/", "to": "g2"},
                ]
            },
        )
        self.assertEqual(
            [self.put(f"control{number}", 3, patch_body, "PATCH").status for number in range(5)],
            [200] * 5,
            "an exact repeat, at any node",
        )
        self.assertEqual(self.put("control0", 3, patch_body | {"number": 9}, "PATCH").status, 412)
        early = self.put("control0", 99, patch_body | {"number": 100}, "PATCH")
        self.assertEqual(early.status, 503, "it may still be accepted, once there is a version 99")
        self.assertGreater(float(early.headers["retry-after"]), 0)
        self.assertEqual(self.put("control0", 8, document(9)).status, 200)
        self.assertEqual(self.put("control4", 3, patch_body, "PATCH").status, 200, "later changes were accepted since")
        self.assertEqual(self.read().body, document(9))

    def test_a_patch_may_change_only_how_a_value_is_written(self):
        self.put("control0", 0, document(1) | {"goals": [{"name": "g1", "on": 1}, {"name": "g2"}]})
        self.put("control0", 1, {"number": 2, "put": {"goals": [{"name": "g1", "on": True}]}}, "PATCH")
        self.assertIs(self.read().body["goals"][0]["on"], True)

    def test_exact_repeats_and_other_changes(self):
        self.put("control0", 0, document(3))
        self.assertEqual(self.put("control1", 0, document(3)).status, 200)
        self.assertEqual(self.put("control2", 0, document(3, to="g2")).status, 412)
        self.assertEqual(self.put("control2", 0, document(4)).status, 412)
        self.assertEqual(self.put("control2", 3, document(5)).status, 200)
        self.assertEqual(self.put("control3", 0, document(3)).status, 200, "accepted before, though not the newest")
        self.assertEqual(self.read().body, document(5))

    def test_an_invalid_configuration_is_rejected(self):
        self.put("control0", 0, document(3))
        bad = [
            document(5, w2="/a/"),
            document(5, to="nowhere"),
            document(3),
            document(2),
            document(0),
            document(5) | {"ways": None},
            document(5) | {"ways": [{"name": "w"}]},
            document(5) | {"number": "5"},
            document(5) | {"ways": [{"name": "w", "at": "h", "under": "/", "to": "g1", "time": 0}]},
            {"number": 5},
        ]
        for value in bad:
            self.assertEqual(self.put("control1", 3, value).status, 400, value)
        for value in (
            {"number": 5, "put": {"ways": [{"at": "h"}]}},
            {"number": 5, "drop": {"goals": ["g1", "g2"]}},
            {"number": 3},
            {"number": 5, "put": {"more": []}},
            {"number": 5, "put": 7},
            {},
        ):
            self.assertEqual(self.put("control2", 3, value, "PATCH").status, 400, value)
        self.assertIn("detail", self.put("control1", 3, {"number": 5}).body)
        self.fleet.run(1.0)
        self.assertEqual((self.read().body, self.at_gate()), (document(3), (3, document(3))))

    def test_an_unreadable_body_is_rejected(self):
        self.put("control0", 0, document(3))
        whole = pack_json(document(5))
        for body in (
            whole[:-1],
            b"",
            b"[]",
            b"7",
            b"null",
            whole + b"x",
            whole.replace(b"2.5", b"NaN"),
            whole.replace(b"2.5", b"-Infinity"),
            whole.replace(b"2.5", b"1e999"),
            whole.replace(b'"number":5', b'"number":5,"number":5'),
            b"\xff" + whole,
            whole.decode().encode("utf-16"),
            whole.replace(b'"size"', b'"si\xffze"'),
            b"[" * 100000,
            b'{"a":' * 100000,
        ):
            self.assertEqual(self.ask("control1", "PUT", body=body, headers=["Built-On: 3"]).status, 400, body[:60])
            self.assertEqual(self.ask("control1", "PATCH", body=body, headers=["Built-On: 3"]).status, 400, body[:60])
        for headers in ([], ["Built-On: "], ["Built-On: x"], ["Built-On: -1"], ["Built-On: 3.0"]):
            self.assertEqual(self.ask("control1", "PUT", body=whole, headers=headers).status, 400, headers)
        self.ask("control1", "PUT", body=whole, headers=["Built-On: 3"], cut_at=len(whole) - 1)
        self.fleet.run(2.0)
        self.assertEqual(self.read().body, document(3))

    def test_bodies_are_bounded(self):
        said = self.ask("control0", "PUT", body=b" " * (OPERATOR_LIMIT + 1), headers=["Built-On: 0"])
        self.assertIn(said.status, (0, 413))
        said = self.ask("control0", "GET", path="/else")
        self.assertEqual(said.status, 404)

    def test_a_node_that_belongs_to_no_cluster(self):
        one = self.fleet.add("control", 7)
        one.seeds = ["127.20.250.9:7400"]
        one.start()
        self.fleet.run(1.0)
        for method, body in (("GET", b""), ("PUT", document(1)), ("PATCH", {"number": 1})):
            said = self.ask("control7", method, body=body, headers=["Built-On: 0"])
            self.assertEqual(said.status, 503, method)
            self.assertGreater(float(said.headers["retry-after"]), 0)

    def test_retiring(self):
        """The answer of the key `storeset` is passed on; after an unknown outcome, the operator is told to retry."""
        answers, asked = {"retire": {"state": "ready"}, "retired": {"state": "removed"}}, []

        async def call(_client, key, command, arguments, _time_left):
            asked.append((key, command, arguments))
            if isinstance(answers[command], Exception):
                raise answers[command]
            return answers[command]

        with patch.object(operator_module.OperatorApi, "_ask", lambda one, *parts: call(one, *parts, 0)):
            self.assertEqual(self.ask("control0", "POST", path="/empty/store1", body={"in": 3}).body, {"is": "ready"})
            self.assertEqual(self.ask("control0", "GET", path="/empty/store1").body, {"is": "removed"})
            self.assertEqual(
                asked, [("storeset", "retire", {"machine": "store1"}), ("storeset", "retired", {"machine": "store1"})]
            )
            for error, status in (
                (NotFoundError("x"), 404),
                (ConflictError("too few"), 409),
                (OutcomeUnknownError("x"), 503),
                (QuorumUnavailableError("x"), 503),
            ):
                answers["retire"] = answers["retired"] = error
                self.assertEqual(self.ask("control0", "POST", path="/empty/store1", body=b"").status, status)
                self.assertEqual(self.ask("control0", "GET", path="/empty/store1").status, status)
            self.assertEqual(self.ask("control0", "POST", path="/empty/store1", body=b"{").status, 400)

    def test_a_router_at_a_gate(self):
        self.put("control0", 0, document(3))
        router = Router(self.fleet["gate0"].node.node, SmallDialect())
        self.fleet.run(1.0)
        self.assertEqual((router.find("h.example", "/a/x").pick_service(0.5), router.staleness()), ("g1", None))
        said = self.put("control2", 3, document(7, to="g2"))
        self.assertEqual(said.status, 200)
        self.fleet.run(1.0)
        self.assertEqual((router.version, router.find("h.example", "/a/x").pick_service(0.5)), (7, "g2"))


class Large(OperatorTest):
    RING_FILE_SIZE = 16 << 20

    def test_four_megabytes(self):
        """A large document is accepted, a change to it costs little, and the next leader after a loss has it."""
        ways = [
            {"name": f"w{number}", "at": "h.example", "under": f"/{number}/", "to": "g1", "why": "x" * 420}
            for number in range(8500)
        ]
        large = document(1) | {"ways": ways}
        self.assertGreater(len(pack_json(large)), 4_000_000)
        self.assertEqual(self.put("control0", 0, large).status, 200)
        small = {"number": 2, "put": {"ways": [ways[7] | {"to": "g2"}]}}
        self.assertEqual(self.put("control0", 1, small, "PATCH").status, 200)
        self.fleet.run(5.0)
        before = self.fleet.network.bytes_from.total()
        self.assertEqual(
            self.put("control0", 2, small | {"number": 3, "put": {"ways": [ways[9] | {"to": "g2"}]}}, "PATCH").status,
            200,
        )
        self.fleet.run(1.0)
        self.assertLess(self.fleet.network.bytes_from.total() - before, len(pack_json(large)) / 4)
        self.owner().kill()
        self.fleet.run(6.0)
        read = self.read_with_retries()
        self.assertEqual((read["number"], read["ways"][7]["to"], len(read["ways"])), (3, "g2", 8500))


class WithFaults(OperatorTest):
    def test_two_operators_on_one_version(self):
        self.put("control0", 0, document(1))
        version = 1
        for number in range(12):
            pair = [
                (f"control{number % 5}", document(version + 2, to="g1", mine="/x/")),
                (f"control{(number * 3 + 1) % 5}", document(version + 2 + number % 2, to="g2")),
            ]
            said = self.fleet.until(settled([self.change(name, version, value) for name, value in pair]))
            statuses = [one.status for _, one in said]
            self.assertEqual(sorted(statuses), [200, 412])
            won = pair[statuses.index(200)][1]
            self.assertEqual(self.read().body, won)
            version = won["number"]

    def test_leader_killed_between_the_majority_and_its_answer(self):
        """
        operator          control node a       leader of `routing`
        PUT 5 on 3 -----> asks --------------> on a majority of disks
                                               killed before it answers
        PUT 5 on 3 -----> any other node -----> the next leader: accepted before, 200
        """
        self.put("control0", 0, document(3))
        for number in range(3):
            owner = self.owner()
            name = self.others()[0].name
            kept = owner.node.leaders.replicator.replicate

            async def then_die(*arguments, kept=kept, owner=owner, **more):
                reached = await kept(*arguments, **more)
                if reached and arguments[0].shard == shard_of_key(ROUTING_KEY) and arguments[2]:
                    owner.kill()
                    await defer.Deferred()
                return reached

            owner.node.leaders.replicator.replicate = then_die
            value, based_on = document(5 + number, to="g2"), 3 if not number else 4 + number
            first = spawn(self.change(name, based_on, value, time_left=1.0), self.fleet.lab_log)
            self.fleet.run(1.5)
            self.assertTrue(first.called)
            self.assertFalse(owner.running)
            said = self.fleet.until(self.retry_until_known(based_on, value), 40)
            self.assertEqual((said.status, said.body), (200, {"version": 5 + number}))
            self.assertEqual(self.put(name, based_on, value | {"number": 90}).status, 412)
            self.assertEqual(self.read_with_retries(), value)
            owner.start()
            self.fleet.run(5.0)

    def test_leader_frozen_with_a_change_under_way(self):
        """
        operator 1        leader of `routing`     operator 2
        PUT 5 on 3 -----> frozen
                          (the next leader) <---- PUT 7 on 3: 200
                          thawed: fenced
        PUT 5 on 3 -----> 412
        """
        self.put("control0", 0, document(3))
        owner = self.owner()
        owner.freeze()
        late = spawn(self.change(owner.name, 3, document(5), time_left=30.0), self.fleet.lab_log)
        self.assertEqual(self.fleet.until(self.retry_until_known(3, document(7, to="g2")), 40).status, 200)
        owner.thaw()
        self.fleet.run(8.0)
        self.assertTrue(late.called)
        self.assertEqual(self.fleet.until(self.retry_until_known(3, document(5)), 40).status, 412)
        self.assertEqual(self.read_with_retries(), document(7, to="g2"))
        self.assertNotIn(5, self.acknowledged)

    def test_partitioned_control_nodes(self):
        """
        control0 control1 | control2 control3 control4
        PUT 5 on 3: 503   | PUT 7 on 3: 200
                        healed
        PUT 5 on 3: 412
        """
        self.put("control0", 0, document(3))
        fleet = self.fleet
        fleet.run(1.0)
        addresses = [one.machine.host for one in fleet.of_kind("control")]
        fleet.network.cut(addresses[:2], addresses[2:])
        minority = [spawn(self.change(name, 3, document(5)), fleet.lab_log) for name in ("control0", "control1")]
        taken = None
        for _ in range(40):
            taken = self.fleet.until(self.change("control3", 3, document(7, to="g2"), time_left=1.0), 40)
            if taken.status == 200:
                break
            self.assertNotIn(taken.status, range(400, 500))
            fleet.run(0.2)
        self.assertEqual(taken.status, 200)
        self.fleet.run(8.0)
        for one in minority:
            self.assertTrue(one.called)
        self.assertIn(self.read("control0").status, (0, 503), "the minority cannot know the newest version")
        self.assertEqual(self.read("control4").body, document(7, to="g2"))
        self.assertNotIn(5, self.acknowledged)
        fleet.network.heal()
        self.assertEqual(self.fleet.until(self.retry_until_known(3, document(5)), 60).status, 412)
        self.assertEqual(self.read_with_retries(), document(7, to="g2"))

    def test_read_back_after_everything_is_killed(self):
        for version in (0, 4, 8):
            self.put("control1", version, document(version + 4, more=f"/{version}/"))
        self.put(
            "control1",
            12,
            {"number": 13, "put": {"ways": [{"name": "late", "at": "h.example", "under": "/late/", "to": "g2"}]}},
            "PATCH",
        )
        fleet, expected = self.fleet, self.read().body
        for one in fleet.by_name.values():
            (one.power_cut if one.machine.kind == "control" else one.kill)()
        fleet.run(1.0)
        for one in fleet.by_name.values():
            one.start()
        self.assertEqual(self.read_with_retries(), expected)
        self.assertEqual(expected["number"], 13)
        self.assertEqual(self.fleet.until(self.retry_until_known(8, document(12, more="/8/")), 40).status, 200)
        self.assertEqual(self.fleet.until(self.retry_until_known(13, document(14)), 40).status, 200)
        fleet.run(2.0)
        self.assertEqual(self.at_gate(), (14, document(14)))

    def test_concurrent_operators_during_kills_and_freezes(self):
        """Three operators while nodes are killed and frozen in turn: the versions form one sequence with no fork."""
        fleet = self.fleet
        self.put("control0", 0, document(1))
        until = fleet.time.now + 25.0

        async def operate(mine):
            while self.reactor.seconds() < until:
                base = max(self.acknowledged)
                value = document(base + 1 + mine, **{f"o{mine}": f"/{self.reactor.seconds():.3f}/"})
                self.sent.setdefault(base, []).append(value)
                said = await self.retry_until_known(base, value)
                self.assertIn(said.status, (200, 412))
                self.bases.append((base, value["number"], said.status))
                await sleep(self.reactor, 0.1)

        self.bases = []
        operators = [spawn(operate(mine), fleet.lab_log) for mine in range(3)]
        for name, trouble, back in (
            ("control1", "kill", "start"),
            ("control3", "freeze", "thaw"),
            (None, "power_cut", "start"),
            (None, "freeze", "thaw"),
        ):
            one = fleet[name] if name else self.owner()
            getattr(one, trouble)()
            fleet.run(4.0)
            getattr(one, back)()
            fleet.run(1.5)
        fleet.until(settled(operators), 60)
        won = [(base, number) for base, number, status in self.bases if status == 200]
        self.assertGreater(len(won), 10)
        self.assertEqual(len({base for base, _ in won}), len(won), "two changes of the same version were acknowledged")
        self.assertEqual(self.read_with_retries()["number"], max(self.acknowledged))


class Bodies(unittest.TestCase):
    def test_fingerprints(self):
        one = fingerprint_of(b"PUT", 3, read_document(b'{"a": 1, "b": [1, 2]}'))
        self.assertEqual(one, fingerprint_of(b"PUT", 3, read_document(b'{"b":[1,2],"a":1}')))
        others = {
            fingerprint_of(b"PATCH", 3, {"a": 1, "b": [1, 2]}),
            fingerprint_of(b"PUT", 4, {"a": 1, "b": [1, 2]}),
            fingerprint_of(b"PUT", 3, {"a": 1, "b": [2, 1]}),
            fingerprint_of(b"PUT", 3, {"a": 1.0, "b": [1, 2]}),
            fingerprint_of(b"PUT", 3, {"a": True, "b": [1, 2]}),
        }
        self.assertEqual((len(others), one in others), (5, False))

    def test_duplicate_keys_are_rejected(self):
        for body in (b'{"a": 1, "a": 1}', b'{"a": [{"b": 1, "b": 2}]}'):
            self.assertRaises(BadRequestError, read_document, body)


if __name__ == "__main__":
    unittest.main()
