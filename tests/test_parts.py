"""Single parts: the structure of the workspace, errors, settings, blueprints, the wire protocol and gossip deltas."""

import os
import pathlib
import random
import re
import struct
import subprocess
import sys
import time
import unittest

from twisted.internet import defer, protocol

from oakramp.common import constants
from oakramp.common.errors import ERROR_CLASSES, OakrampError, SettingsError, UnreachableError, Verdict, error_from_wire
from oakramp.common.settings import COMMON_SETTINGS, CONTROL_SETTINGS, check_settings
from oakramp.common.structured_logging import EventLogger
from oakramp.common.tasks import monotonic_reactor
from oakramp.control.plan import blueprint_faults
from oakramp.gossip.state_table import StateTable
from oakramp.membership.members import Member
from oakramp.rpc.codec import idl, pack, unpack
from oakramp.rpc.endpoint import RpcEndpoint
from oakramp.testbed.plan import SIZES, blueprint_of, env_of, machines_of
from oakramp.testbed.simnet import SimHost, SimNetwork, SimReactor, SimTime

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ORDER = [
    "common",
    "rpc",
    "http_proxy",
    "storage",
    "version_vectors",
    "membership",
    "gossip",
    "prefix_cache",
    "control",
    "store",
    "gateway",
    "cli",
    "testbed",
]


class Structure(unittest.TestCase):
    def sources(self, package):
        """The modules of a package in the workspace: pairs of a file name and its text."""
        folder = pathlib.Path(ROOT, "packages", package)
        modules = folder / "oakramp" / package
        for path in sorted((modules if modules.exists() else folder / package).rglob("*.py")):
            yield path.name, path.read_text(encoding="utf-8")

    def imported(self, text):
        """The packages of the workspace that a module imports."""
        return set(re.findall(r"^\s*(?:from|import) (?:oakramp\.)?(\w+)", text, re.M)) & set(ORDER)

    def test_packages_import_only_earlier_packages(self):
        self.assertEqual(sorted(os.listdir(os.path.join(ROOT, "packages"))), sorted(ORDER))
        for place, package in enumerate(ORDER):
            for name, text in self.sources(package):
                self.assertLessEqual(self.imported(text), set(ORDER[: place + 1]), f"{package}/{name}")

    def test_version_vectors_import_no_other_package(self):
        for name, text in self.sources("version_vectors"):
            self.assertEqual(self.imported(text) - {"version_vectors"}, set(), name)

    def test_daemon_packages_start_no_process(self):
        for package in ORDER[:-2]:
            for name, text in self.sources(package):
                self.assertIsNone(re.search(r"subprocess|os\.fork|spawnProcess|multiprocessing", text), name)

    def test_each_constant_has_a_unit_and_a_reason(self):
        with open(constants.__file__, encoding="utf-8") as file:
            lines = [line for line in file if re.match(r"[A-Z_]+ = ", line)]
        self.assertGreater(len(lines), 50)
        for line in lines:
            self.assertRegex(line, r"  # .+;.+", line)


class Errors(unittest.TestCase):
    def test_errors_cross_the_wire(self):
        for code, error_class in ERROR_CLASSES.items():
            error = error_from_wire(code, "why", "maybe", {"a": 1})
            self.assertIs(type(error), error_class)
            self.assertIs(error.verdict, Verdict.MAYBE)

    def test_an_unknown_error_never_has_the_verdict_no(self):
        self.assertIs(OakrampError("x").verdict, Verdict.MAYBE)
        self.assertIs(type(error_from_wire("fromTheFuture", "x", "maybe")), OakrampError)


class Env(unittest.TestCase):
    GOOD = {"machine": "m", "zone": "z", "peer": "127.0.0.1:1", "http": "127.0.0.1:2", "seeds": ["127.0.0.1:1"]}

    def faults(self, rules=COMMON_SETTINGS, **changes):
        with self.assertRaises(SettingsError) as caught:
            check_settings(rules, {key: value for key, value in (self.GOOD | changes).items() if value is not ...})
        return caught.exception.detail

    def test_valid_input_has_no_faults(self):
        self.assertEqual(check_settings(COMMON_SETTINGS, self.GOOD)["machine"], "m")
        for machine in machines_of(SIZES["brief"]):
            check_settings(
                CONTROL_SETTINGS if machine.kind != "gate" else COMMON_SETTINGS,
                env_of(machine, machines_of(SIZES["brief"]), "f"),
            )

    def test_each_fault_is_reported_on_a_line_of_its_own(self):
        faults = self.faults(peer="nowhere:1", seeds=["127.0.0.1:1"] * 4, zone=..., colour="red")
        self.assertEqual(len(faults), 4, faults)
        for word in (
            "peer: must be IP:PORT",
            "seeds: must be one to three",
            "zone: is missing",
            "colour: is not a known",
        ):
            self.assertTrue(any(word in fault for fault in faults), word)
        self.assertTrue(self.faults(machine="no spaces here"))
        self.assertTrue(self.faults(http="127.0.0.1:99999"))

    def test_a_daemon_with_invalid_settings_exits_with_code_2(self):
        program = os.path.join(os.path.dirname(sys.executable), "oakramp-gateway")
        done = subprocess.run([program, "--machine", "m", "--peer", "x"], capture_output=True, text=True, check=False)
        self.assertEqual(done.returncode, 2)
        self.assertIn("oakramp-gateway: peer: must be IP:PORT", done.stderr)
        self.assertIn("oakramp-gateway: zone: is missing", done.stderr)


class Blueprints(unittest.TestCase):
    def test_valid_input_has_no_faults(self):
        self.assertEqual(blueprint_faults(blueprint_of("dalatech")), [])

    def test_each_fault_is_reported_with_its_path(self):
        blueprint = blueprint_of("dalatech")
        blueprint["bindings"]["chat"]["urgency"] = "very"
        blueprint["bindings"]["chat"]["maxWaitSeconds"] = -1
        blueprint["bindings"]["ask"].pop("pool")
        blueprint["bindings"]["bad name"] = {}
        blueprint["bindings"]["results"]["maxOutput"] = 3
        blueprint["programs"] = {"defaultLimit": 0, "maxLimit": True}
        faults = blueprint_faults(blueprint)
        for path in (
            "bindings.chat.urgency",
            "bindings.chat.maxWaitSeconds",
            "bindings.ask.pool",
            "bindings.bad name",
            "bindings.results.maxOutput",
            "programs.defaultLimit",
            "programs.maxLimit",
        ):
            self.assertTrue(any(fault.startswith(path + ":") for fault in faults), (path, faults))

    def test_a_blueprint_of_a_wrong_type_has_faults(self):
        for blueprint in ([], "x", {}, {"bindings": [], "programs": {}}, {"bindings": {"a": 3}, "programs": {}}):
            self.assertTrue(blueprint_faults(blueprint), blueprint)


class Wire(unittest.TestCase):
    """A listening node and a raw connection to it, on simulated time and network."""

    def setUp(self):
        self.time, self.lines, self.got = SimTime(), [], []
        network = SimNetwork(self.time, random.Random(1))
        self.reactor = SimReactor(SimHost(network, "127.0.0.1"))
        self.client = SimReactor(SimHost(network, "127.0.0.2"))
        self.net = RpcEndpoint(self.reactor, "n1", "control", "127.0.0.1:1", "c1", EventLogger(self.lines.append))
        self.net.handle("release", self.release)
        self.net.listen()

    async def release(self, _peer, arguments):
        return arguments.shard + 1

    def send(self, *frames, raw=b""):
        test = self

        class Raw(protocol.Protocol):
            closed = False

            def connectionMade(self):
                for frame in frames:
                    data = pack(frame)
                    self.transport.write(struct.pack("!I", len(data)) + data)
                self.transport.write(raw)

            def dataReceived(self, data):
                test.got.append(data)

            def connectionLost(self, reason=None):
                Raw.closed = True

        factory = protocol.ClientFactory()
        factory.protocol = Raw
        self.client.connectTCP("127.0.0.1", 1, factory)
        self.time.advance_to(self.time.now + 1.0)
        return Raw

    def hello(self, **changes):
        return idl.Hello(
            **({"wire_version": constants.WIRE_VERSION, "cluster_id": "c1", "node_id": "n2", "kind": "gate"} | changes)
        )

    def still_serves(self):
        other = RpcEndpoint(self.client, "n3", "gate", "127.0.0.2:1", "c1", EventLogger(self.lines.append))
        answer = []
        defer.ensureDeferred(other.call("127.0.0.1:1", "release", shard=4)).addBoth(answer.append)
        self.time.advance_to(self.time.now + 1.0)
        self.assertEqual(answer, [5])

    def call(self, net, **named):
        answer = []
        defer.ensureDeferred(net.call("127.0.0.1:1", "release", shard=4, **named)).addBoth(answer.append)
        self.time.advance_to(self.time.now + 1.0)
        return getattr(answer[0], "value", answer[0])

    def test_a_peer_that_lost_power_is_replaced_by_its_successor(self):
        """An idle connection does not reveal that the peer lost power and came back as another node. A call to the new
        node must reach it all the same, and a call to the former node must reach nobody."""
        other = RpcEndpoint(self.client, "n3", "gate", "127.0.0.2:1", "c1", EventLogger(self.lines.append))
        self.assertEqual(self.call(other, to="n1"), 5)
        host = self.reactor._host
        host.end(power_cut=True)
        host.up = True
        successor = RpcEndpoint(
            SimReactor(host), "n1.later", "control", "127.0.0.1:1", "c1", EventLogger(self.lines.append)
        )
        successor.handle("release", self.release)
        successor.listen()
        self.assertEqual(self.call(other, to="n1.later"), 5)
        self.assertIsInstance(self.call(other, to="n1"), UnreachableError)
        self.assertEqual(self.call(other, to="n1.later"), 5)

    def test_invalid_peers_are_disconnected_and_logged(self):
        for frames, raw, why in (
            ([self.hello(cluster_id="other")], b"", "otherCluster"),
            ([self.hello(wire_version=99)], b"", "wireVersion"),
            ([self.hello()], struct.pack("!I", constants.FRAME_LIMIT + 1) + b"x", "frameTooLong"),
            ([self.hello()], struct.pack("!I", 9) + b"\xff" * 9, "badFrame"),
            ([], b"GET / HTTP/1.1\r\n\r\n", "frameTooLong"),
            ([], struct.pack("!I", 5) + b"\x0b\x00\x01\x7f\xff", "wireVersion"),
        ):
            self.assertTrue(self.send(*frames, raw=raw).closed, why)
            self.assertIn(f"why={why}", self.lines[-1])
        self.still_serves()

    def test_adjacent_wire_versions_work_together(self):
        ours = constants.WIRE_VERSION
        for version, closed in ((ours + 1, False), (ours - 1, False), (ours + 2, True), (ours - 2, True)):
            self.assertEqual(self.send(self.hello(wire_version=version)).closed, closed, version)
        row = {
            "nodeId": "n",
            "boot": "b",
            "kind": "gate",
            "zone": "z",
            "machine": "m",
            "peer": "p",
            "http": "h",
            "state": "up",
            "release": "9.9",
            "colour": "of a newer release",
        }
        self.assertEqual(Member.from_json(row).release, "9.9")
        newer = pack(idl.Item(name="a", version=1, value=b"x"))[:-1] + b"\x0b\x00\x63\x00\x00\x00\x01y\x00"
        self.assertEqual(unpack(idl.Item, newer), idl.Item(name="a", version=1, value=b"x"), "an unknown field")

    def test_a_peer_that_sends_no_hello_is_disconnected(self):
        raw = self.send()
        self.assertFalse(raw.closed)
        self.time.advance_to(self.time.now + constants.HELLO_TIME)
        self.assertTrue(raw.closed)

    def test_a_non_member_may_only_call_pull(self):
        self.send(self.hello(cluster_id=""), idl.Frame(call_id=1, method="release", time_left_ms=1000, body=b"\0"))
        self.assertIn(b"not a member", b"".join(self.got))

    def test_verdict_tells_whether_a_lost_call_was_sent(self):
        other = RpcEndpoint(self.client, "n3", "gate", "127.0.0.2:1", "c1", EventLogger(self.lines.append))
        outcomes = []
        defer.ensureDeferred(other.call("127.0.0.1:7", "release", shard=1)).addErrback(
            lambda failure: outcomes.append(failure.value.verdict)
        )
        self.time.advance_to(self.time.now + 2.0)
        self.assertEqual(outcomes, [Verdict.NO], "nobody listens there: the call was not sent")
        self.reactor._host.freeze()
        defer.ensureDeferred(other.call("127.0.0.1:1", "release", shard=1)).addErrback(
            lambda failure: outcomes.append(failure.value.verdict)
        )
        self.time.advance_to(self.time.now + 10.0)
        self.assertEqual(outcomes, [Verdict.NO] * 2, "the peer sent no hello, so the call was not sent")
        self.reactor._host.thaw()
        self.time.advance_to(self.time.now + 1.0)
        self.still_serves()
        defer.ensureDeferred(other.call("127.0.0.1:1", "release", shard=1))
        self.time.advance_to(self.time.now + 1.0)
        self.reactor._host.freeze()
        defer.ensureDeferred(other.call("127.0.0.1:1", "release", shard=1)).addErrback(
            lambda failure: outcomes.append(failure.value.verdict)
        )
        self.time.advance_to(self.time.now + 10.0)
        self.assertEqual(outcomes[2:], [Verdict.MAYBE], "the call was sent and got no reply")


class Time(unittest.TestCase):
    def test_reactor_time_is_monotonic(self):
        self.assertIs(monotonic_reactor().seconds, time.monotonic)


class GossipDeltas(unittest.TestCase):
    def test_a_puller_older_than_the_tombstones_gets_the_full_snapshot(self):
        """
        source          relay                 late puller (is at version 1)
        v1 a b    --->  v1 a b
        v2 -a     --->  v2
        v3.. 300 items are added and removed; their tombstones are dropped
                        v302            --->  gets the full snapshot: no removed item stays
        """
        clock = SimTime()
        reactor = SimReactor(SimHost(SimNetwork(clock, random.Random(1)), "127.0.0.1"))
        source, relay, late = StateTable(reactor), StateTable(reactor), StateTable(reactor)
        source.publish("s", reactor.seconds)

        def pull(to, by):
            seen = by.known_versions()
            by.merge(to.update_for(seen), seen, reactor.seconds())

        source.set_items("s", 1, {"a": b"1", "b": b"2"})
        pull(source, relay)
        pull(relay, late)
        source.set_items("s", 2, {"b": b"2"})
        delta = source.update_for(relay.known_versions()).snapshots[0]
        self.assertEqual([(item.name, item.value) for item in delta.items], [("a", None)])
        pull(source, relay)
        self.assertEqual(relay.values("s"), {"b": b"2"})
        for version in range(3, 303):
            source.set_items("s", version, {"b": b"2", f"x{version}": b"3"})
        pull(source, relay)
        pull(relay, late)
        self.assertEqual(late.values("s"), {"b": b"2", "x302": b"3"})
        self.assertLess(len(source.snapshots["s"].items), 2 * constants.REMOVED_ITEMS_LIMIT)

    def test_ages_are_never_understated(self):
        clock = SimTime()
        reactor = SimReactor(SimHost(SimNetwork(clock, random.Random(1)), "127.0.0.1"))
        source, gate = StateTable(reactor), StateTable(reactor)
        has_lease = [True]
        source.publish("s", lambda: reactor.seconds() if has_lease[0] else None)
        source.set_items("s", 1, {"a": b"1"})
        asked_at = reactor.seconds()
        clock.advance_to(3.0)
        update = source.update_for([])
        has_lease[0] = False
        clock.advance_to(5.0)  # the reply was slow, or the gateway was frozen
        gate.merge(update, [], asked_at)
        self.assertGreaterEqual(gate.age("s"), 5.0)
        clock.advance_to(9.0)
        asked_at = reactor.seconds()
        gate.merge(source.update_for(gate.known_versions()), gate.known_versions(), asked_at)
        self.assertGreaterEqual(gate.age("s"), 6.0, "a publisher without a lease confirms nothing newer")
