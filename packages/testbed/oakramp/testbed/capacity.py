"""The slopes of each role's cost, for docs/CAPACITY.md: over the number of nodes, voters, listed replicas, routes and
stored entries.

Counts, bytes and simulated times come from the simulator and are the same in every run of a seed. Processor times are
those of one thread on this machine, and memory is what the interpreter allocated: both vary by some per cent between
runs.
"""

import gc
import itertools
import json
import random
import tracemalloc
from collections import Counter
from contextlib import contextmanager
from dataclasses import dataclass, field
from time import thread_time

from sortedcontainers import SortedDict

from oakramp.common.constants import ALLOWANCE_CLOSED
from oakramp.common.registry import Registry
from oakramp.common.structured_logging import EventLogger
from oakramp.common.tasks import settled, spawn
from oakramp.common.validation import pack_json
from oakramp.control.command_context import CommandContext
from oakramp.control.controllers import CONTROLLERS
from oakramp.control.replica_registry import REPLICAS_KEY
from oakramp.control.routing import ROUTING_KEY, pieces_of
from oakramp.control.shard_client import ShardClient
from oakramp.control.shards import pack_entry
from oakramp.control.transaction import Transaction
from oakramp.control.voter import entry_key
from oakramp.gossip.state_table import StateTable
from oakramp.membership.members import SILENT, Member
from oakramp.rpc.codec import idl, pack, unpack
from oakramp.rpc.endpoint import Connection
from oakramp.storage.circular_log import CircularLog
from oakramp.store.record_table import ConversationTable
from oakramp.testbed.measure import MEASURES, large_blueprint
from oakramp.testbed.plan import Size, blueprint_of
from oakramp.testbed.simdisk import SimDisk
from oakramp.testbed.simfleet import SimFleet
from oakramp.testbed.simnet import SimHost, SimNetwork, SimReactor, SimTime

SLOPES = Registry("slope")
NODES = (16, 32, 64, 128)  # of a simulated fleet; 256 nodes take a quarter of an hour on one core
VOTERS = (3, 5, 9, 15)
LISTED = (10, 100, 1000, 2000, 12000)
KNOWN = (16, 128, 512, 1200)
ROUTES = (10, 100, 1000, 5000)
TENANTS = (10, 100, 1300)
CONFIGURED = (10, 100, 1000, 13000)  # routes of the operator's document: ten for each of 1,300 tenants
KEPT = (1000, 10000)
QUIET = 2.0  # simulated s without load
FEW = (
    ("dalatech-model", "model", 1),
    ("dalatech-results", "plain", 1),
    ("nile-model", "model", 1),
    ("nile-notices", "plain", 1),
)


def line_through(points):
    """The intercept and slope of the least squares line through these (x, y) points."""
    if len(points) < 2 or len({x for x, _ in points}) < 2:
        raise ValueError("a slope needs points with two different sizes at least")
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum((x - mean_x) ** 2 for x, _ in points)
    return mean_y - slope * mean_x, slope


def show_line(points, unit):
    fixed, slope = line_through(points)
    return f"{fixed:.4g} + {slope:.4g} {unit}"


# --- meters --------------------------------------------------------------------


@dataclass
class Traffic:
    """The traffic of one node by method: bytes of frames sent and received, calls made and calls replied to."""

    sent: Counter = field(default_factory=Counter)
    received: Counter = field(default_factory=Counter)
    asked: Counter = field(default_factory=Counter)
    answered: Counter = field(default_factory=Counter)


FRAME_HEAD = 4  # bytes of length before each frame


@contextmanager
def wire_meter():
    """A context that counts the frames of all nodes in this process; its value maps each node id to its Traffic."""
    traffic, methods = {}, {}
    original = {
        name: getattr(Connection, name) for name in ("call", "_send_reply", "_handle_reply", "_serve", "sendString")
    }

    def of(connection):
        return traffic.setdefault(connection._net.node_id, Traffic())

    def call(self, method, time_left, arguments):
        methods[self] = method
        try:
            return original["call"](self, method, time_left, arguments)
        finally:
            methods.pop(self, None)

    def send_string(self, data):
        method = methods.get(self, "hello")
        of(self).sent[method] += len(data) + FRAME_HEAD
        of(self).asked[method] += 1
        original["sendString"](self, data)

    def answer(self, frame):
        method = serving.pop((self, frame.call_id), "none")
        methods[self] = method
        try:
            original["_send_reply"](self, frame)
        finally:
            methods.pop(self, None)
        of(self).asked[method] -= 1
        of(self).answered[method] += 1

    def serve(self, frame):
        serving[self, frame.call_id] = frame.method
        of(self).received[frame.method] += len(frame.body or b"") + FRAME_HEAD
        original["_serve"](self, frame)

    def answered(self, frame):
        method = self._in_flight.get(frame.call_id, (None, None, "late"))[2]
        of(self).received[method] += len(frame.body or b"") + FRAME_HEAD
        original["_handle_reply"](self, frame)

    serving, own = {}, set(vars(Connection))
    for name, function in (
        ("call", call),
        ("sendString", send_string),
        ("_send_reply", answer),
        ("_serve", serve),
        ("_handle_reply", answered),
    ):
        setattr(Connection, name, function)
    try:
        yield traffic
    finally:
        for name, function in original.items():
            if name in own:
                setattr(Connection, name, function)
            else:
                delattr(Connection, name)


class ProcessorMeter:
    """Measures the processor seconds of the calls of each simulated host, from its construction on."""

    def __init__(self, fleet):
        self.busy = Counter()
        schedule = fleet.time.schedule

        def metered(delay, host, function, *arguments, **named):
            if host is None:
                return schedule(delay, host, function, *arguments, **named)
            return schedule(delay, host, self._timed, host.address, function, arguments, named)

        fleet.time.schedule = metered

    def _timed(self, address, function, arguments, named):
        began = thread_time()
        try:
            function(*arguments, **named)
        finally:
            self.busy[address] += thread_time() - began

    def of(self, machines):
        return sum(self.busy[one.host.address] for one in machines)


@contextmanager
def without_collecting():
    """A context without garbage collection: the heap is that of a whole simulated fleet, so the cost of a collection
    says nothing about one node."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def memory_of(build):
    """(the result of `build()`, the bytes of memory that it holds)."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        built = build()
        gc.collect()
        return built, tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()


def time_of(step, times=9):
    """Processor milliseconds of one `step()`: the minimum of several runs, since other load on the machine only adds to
    it."""
    taken = []
    for _ in range(times):
        began = thread_time()
        step()
        taken.append(1000 * (thread_time() - began))
    return min(taken)


# --- over the number of nodes -------------------------------------------------------------


def _fleet(seed, gates, controls=5):
    return SimFleet(seed, Size(gates, 3, controls, FEW), ring_file_size=1 << 20)


def _quiet(fleet, meter):
    """The cost of an idle node of each kind per second: bytes, calls and processor share."""
    busy, result = dict(meter.busy), {}
    with wire_meter() as traffic, without_collecting():
        fleet.run(QUIET)
    for kind in ("control", "gate"):
        machines = fleet.of_kind(kind)
        seen = [traffic[one.node.node.node_id] for one in machines]
        per = QUIET * len(machines)
        result[kind] = {
            "news out KB/s": round(sum(one.sent["pull"] for one in seen) / per / 1000, 1),
            "news in KB/s": round(sum(one.received["pull"] for one in seen) / per / 1000, 1),
            "other out KB/s": round(sum(sum(one.sent.values()) - one.sent["pull"] for one in seen) / per / 1000, 1),
            "pulls asked": round(sum(one.asked["pull"] for one in seen) / per, 1),
            "pulls answered": round(sum(one.answered["pull"] for one in seen) / per, 1),
            "core share %": round(
                100 * sum(meter.busy[one.host.address] - busy.get(one.host.address, 0.0) for one in machines) / per, 2
            ),
        }
    return result


def _changes(fleet, count=5):
    """The cost of a plan's change: how often it reaches a node, its bytes, and the seconds until all gateways have
    it."""
    arrivals, delays = [], []
    state_tables = [one.node.node.state_table for one in fleet.by_name.values()]
    for state_table in state_tables:

        def counted(snapshots, asked_at, take=state_table.merge_snapshots):
            arrivals.extend(len(pack(one)) for one in snapshots if one.source == "blueprint/nile")
            take(snapshots, asked_at)

        state_table.merge_snapshots = counted
    gates = [one.node.node.state_table for one in fleet.of_kind("gate")]
    for version in range(1, 1 + count):
        sent = fleet.until(
            fleet.operator.put_plan(
                "nile", version, blueprint_of("nile", f"nile-plan-{version + 1}"), f"nile-plan-{version + 1}"
            )
        )
        accepted_at = fleet.time.now
        while any(state_table.snapshots["blueprint/nile"].version < sent.version for state_table in gates):
            fleet.run(0.01)
        delays.append(fleet.time.now - accepted_at)
        fleet.run(0.5)
    for state_table in state_tables:
        del state_table.merge_snapshots
    return {
        "a change: s until at all gates, longest": round(max(delays), 2),
        "copies a node": round(len(arrivals) / count / len(state_tables), 2),
        "bytes a node": round(sum(arrivals) / count / len(state_tables)),
    }


def _failures(fleet):
    """A gateway, then a control node is killed: seconds until all control nodes consider the gateway silent, and until
    each shard of the control node has another leader; and how often a healthy node was considered silent before
    that."""
    controls, looks, alarms = fleet.of_kind("control"), 0, 0
    ids = [one.node.node.node_id for one in fleet.by_name.values()]
    for _ in range(10):
        fleet.run(0.2)
        for one in controls:
            newest = one.node.node.members.newest()
            looks += len(ids)
            alarms += sum(node_id not in newest or newest[node_id][1] > 2.0 for node_id in ids)
    gate = fleet.of_kind("gate")[-1]
    gate_id, killed_at = gate.node.node.node_id, fleet.time.now
    gate.kill()
    silent_at = fleet.wait_for(
        "detection", lambda: all(one.node.node.members.condition(gate_id) == SILENT for one in controls), 60
    )
    leader = controls[0]
    lost, leader_killed_at = set(leader.node.leaders.active), fleet.time.now
    leader.kill()
    failover_at = fleet.wait_for(
        "take-over", lambda: lost <= {shard for one in controls[1:] for shard in one.node.leaders.active}, 120
    )
    return {
        "false alarms": f"{alarms} of {looks} looks",
        "s to detect": round(silent_at - killed_at, 2),
        f"s to take over {len(lost)} slots": round(failover_at - leader_killed_at, 2),
    }


def measure_nodes(seed, sizes):
    rows, points = {}, {kind: [] for kind in ("control", "gate")}
    for nodes in sizes:
        fleet = _fleet(seed, nodes - 8)
        meter = ProcessorMeter(fleet)
        fleet.bring_up()
        fleet.run(3.0)
        quiet = _quiet(fleet, meter)
        rows[f"{nodes} nodes"] = quiet | _changes(fleet) | _failures(fleet)
        for kind, row in quiet.items():
            points[kind].append((nodes, row))
    if len(sizes) > 1:
        rows |= {
            f"{kind}, {what}": show_line([(nodes, row[what]) for nodes, row in several], "for each node")
            for kind, several in points.items()
            for what in ("news out KB/s", "news in KB/s", "core share %")
        }
    return rows


@SLOPES.enter("nodes")
def nodes_slope(seed=1):
    """Fleets of 16 to 128 nodes, with five control nodes and three stores: idle, with changes and with failures."""
    return measure_nodes(seed, NODES)


@SLOPES.enter("nodes-256")
def nodes_slope_large(seed=1):
    """The same with 256 nodes, separate because it takes long."""
    return measure_nodes(seed, (256,))


# --- what one node stores of all others, at full size ----------------------------------


def _gateway_knowing(count):
    """A simulated gateway that has just learned of so many other nodes."""
    fleet = SimFleet(1, Size(1, 1, 1, FEW))
    one = fleet["gate0"]
    one.start()
    node = one.node.node
    for number in range(count - 1):
        member = Member(
            f"node{number:04d}.{number:032x}",
            f"{number:016x}",
            "control" if number < 30 else "gate",
            f"zone{number % 10}",
            f"node{number:04d}",
            f"10.0.{number // 250}.{number % 250}:7400",
            f"10.0.{number // 250}.{number % 250}:7480",
            "up",
            "0.1.0",
        )
        node.state_table.merge_snapshots(
            [
                idl.SourceState(
                    source=f"node/{member.node_id}/{member.boot}",
                    version=1,
                    whole=True,
                    age_ms=1,
                    items=[idl.Item(name="about", version=1, value=json.dumps(member.to_json()).encode())],
                )
            ],
            node.reactor.seconds(),
        )
    return fleet, node


def _pull_cost(state_table, me):
    """The cost of a pull without changes: bytes of both messages, processor milliseconds of both sides."""
    seen = state_table.known_versions()
    asked_bytes = pack(idl.pull_args(seen=seen, me=me))
    answer_bytes = pack(idl.pull_result(success=state_table.update_for(seen)))

    def ask():
        pack(idl.pull_args(seen=state_table.known_versions(), me=me))

    def serve():
        pack(idl.pull_result(success=state_table.update_for(unpack(idl.pull_args, asked_bytes).seen)))

    def take():
        state_table.merge(unpack(idl.pull_result, answer_bytes).success, seen, 0.0)

    return {
        "pull B": len(asked_bytes),
        "answer B": len(answer_bytes),
        "ask and take ms": round(time_of(ask) + time_of(take), 3),
        "answer ms": round(time_of(serve), 3),
    }


@SLOPES.enter("known")
def known_slope(seed=1):
    """One node that knows 16 to 1,200 others: bytes of a pull without changes and of its reply, processor milliseconds
    of each side, of the bookkeeping before each round of pulls, and of one check of a member; memory."""
    rows, points = {}, {}
    for count in KNOWN:
        (_fleet_kept, node), held = memory_of(lambda count=count: _gateway_knowing(count))
        state_table, members, gossip_client = node.state_table, node.members, node.gossip_client
        row = _pull_cost(state_table, state_table.full_snapshot(gossip_client._source)) | {
            "round ms": round(time_of(lambda: (gossip_client._refresh(), members.gossip_peers("gate"))), 3),
            "look ms": round(time_of(lambda: members.condition(node.node_id)), 4),
            "held kB": round(held / 1000),
        }
        rows[f"{count} nodes"] = row
        for what, value in row.items():
            points.setdefault(what, []).append((count, value))
    return rows | {what: show_line(several, "for each node") for what, several in points.items()}


# --- replicas and routes --------------------------------------------------------


def replica_rows(count):
    return [
        {
            "id": f"dalatech-model-{number:05d}",
            "address": f"10.{number // 60000}.{number // 250 % 250}.{number % 250}:7491",
            "pool": f"pool-{number % 6}",
            "state": "ready",
        }
        for number in range(count)
    ]


class _PublishedKey:
    """The entries of one published key, changed by the commands of its controller."""

    def __init__(self, fleet, key):
        self.node, self.key, self.entries = fleet["gate0"].node.node, key, {}

    def run(self, command, arguments):
        """Runs the command; returns its changes: key -> packed entry."""
        view = Transaction(
            self.entries,
            CommandContext(self.node.reactor.seconds(), self.node.members, {}, None, self.node.state_table),
        )
        CONTROLLERS.find(self.key.partition("/")[0]).run(view, self.key, command, arguments)
        self.entries |= view.changes()
        return view.changes()

    def snapshot(self):
        view = Transaction(self.entries, None)
        return CONTROLLERS.find(self.key.partition("/")[0]).snapshot(view, self.key)

    def written(self, changes):
        """The bytes of these changes that are sent to each voter."""
        return sum(len(key) + len(value or b"") for key, value in changes.items())


def _published(fleet, entry, change):
    """The cost of one published key and of one change of it."""
    state_table = StateTable(fleet["gate0"].node.node.reactor)

    def publish():
        version, values = entry.snapshot()
        state_table.set_items(entry.key, version, values)

    publish()
    whole = state_table.full_snapshot(entry.key)
    seen = [idl.SourceVersion(source=entry.key, version=whole.version)]
    receiver = StateTable(fleet["gate0"].node.node.reactor)
    _, held = memory_of(lambda: receiver.merge_snapshots([whole], 0.0))
    row = {"whole news B": len(pack(whole)), "held by each node kB": round(held / 1000)}
    began = thread_time()
    changes = change()
    publish()
    row |= {
        "owner ms for a change": round(1000 * (thread_time() - began), 2),
        "B to each voter": entry.written(changes),
        "news B of a change": len(pack(state_table.update_for(seen))),
    }
    return row


@SLOPES.enter("replicas")
def replicas_slope(seed=1):
    """The published list with 10 to 12,000 replicas: the bytes of its gossip, a node's memory for it, and the cost of
    one leaving replica for the shard leader, each voter and each node."""
    rows, points = {}, {}
    fleet = SimFleet(seed, Size(1, 1, 1, FEW))
    fleet["gate0"].start()
    for count in LISTED:
        entry = _PublishedKey(fleet, REPLICAS_KEY)
        entry.run("setList", {"replicas": replica_rows(count)})
        row = _published(fleet, entry, lambda entry=entry: entry.run("markLeaving", {"id": "dalatech-model-00003"}))
        row["platform's answer B"] = len(pack_json({"replicas": replica_rows(count)}))
        row["unchanged look ms"] = round(
            time_of(lambda entry=entry, rows=replica_rows(count): entry.run("setList", {"replicas": rows}), 3), 2
        )
        rows[f"{count} replicas"] = row
        for what, value in row.items():
            points.setdefault(what, []).append((count, value))
    return rows | {what: show_line(several, "for each replica") for what, several in points.items()}


@SLOPES.enter("routes")
def routes_slope(seed=1):
    """A blueprint of 10 to 5,000 bindings: the bytes of its gossip, a node's memory for it, and the cost of the change
    of one binding."""
    rows, points = {}, {}
    fleet = SimFleet(seed, Size(1, 1, 1, FEW))
    fleet["gate0"].start()
    for count in ROUTES:
        entry = _PublishedKey(fleet, "blueprint/nile")
        entry.run("put", {"changeId": "c1", "basedOn": 0, "blueprint": large_blueprint("nile", "nile-plan-1", count)})
        binding = blueprint_of("nile")["bindings"]["chat"] | {"maxWaitSeconds": 7}
        row = _published(
            fleet,
            entry,
            lambda entry=entry, binding=binding: entry.run(
                "put",
                {
                    "changeId": "c2",
                    "basedOn": 1,
                    "change": "setBinding",
                    "arguments": {"name": "hotel-7", "binding": binding},
                },
            ),
        )
        rows[f"{count} bindings"] = row
        for what, value in row.items():
            points.setdefault(what, []).append((count, value))
    return rows | {what: show_line(several, "for each binding") for what, several in points.items()}


def _operator_document(routes):
    """A document that is specific to no platform: named routes, and a tenth as many named services."""
    return {
        "note": "x",
        "routes": [
            {
                "name": f"route-{number:05d}",
                "host": f"tenant-{number // 10:04d}.example",
                "prefix": f"/p{number % 10}/",
                "kind": "stream",
                "timeout": 4000,
                "target": 250,
                "rank": 1,
                "service": f"service-{number // 10:04d}",
                "tries": 2,
                "kept": True,
                "keptFor": 600,
            }
            for number in range(routes)
        ],
        "services": [
            {"name": f"service-{number:04d}", "health": "/health", "connections": 60, "slots": 16}
            for number in range(-(-routes // 10))
        ],
    }


@SLOPES.enter("configuration")
def configuration_slope(seed=1):
    """The operator's document with 10 to 13,000 routes: the bytes of its gossip, a node's memory for it, and the cost
    of the change of one route. It does not include the gateways' parsing of the document for the platform."""
    rows, points = {}, {}
    fleet = SimFleet(seed, Size(1, 1, 1, FEW))
    fleet["gate0"].start()
    for count in CONFIGURED:
        entry, document = _PublishedKey(fleet, ROUTING_KEY), _operator_document(count)
        entry.run("put", {"based_on": 0, "version": 1, "fingerprint": "f1", "document": document})
        changed = pieces_of({"routes": [document["routes"][7] | {"tries": 3}]})
        changed = {name: value for name, value in changed.items() if "/" in name}
        row = _published(
            fleet,
            entry,
            lambda entry=entry, changed=changed: entry.run(
                "change", {"based_on": 1, "version": 2, "fingerprint": "f2", "pieces": changed}
            ),
        )
        rows[f"{count} routes"] = row
        for what, value in row.items():
            points.setdefault(what, []).append((count, value))
    return rows | {what: show_line(several, "for each route") for what, several in points.items()}


@SLOPES.enter("tenants")
def tenants_slope(seed=1):
    """10 to 1,300 tenants with a blueprint of four bindings each: bytes of a pull without changes and of its reply,
    processor milliseconds of both sides, and a node's memory."""
    rows, points = {}, {}
    fleet = SimFleet(seed, Size(1, 1, 1, FEW))
    fleet["gate0"].start()
    for count in TENANTS:
        snapshots = []
        for number in range(count):
            entry = _PublishedKey(fleet, f"blueprint/tenant-{number:04d}")
            entry.run("put", {"changeId": "c1", "basedOn": 0, "blueprint": blueprint_of("nile", "nile-plan-1")})
            source = StateTable(fleet["gate0"].node.node.reactor)
            source.publish(entry.key, fleet["gate0"].node.node.reactor.seconds)
            source.set_items(entry.key, *entry.snapshot())
            snapshots.append(source.full_snapshot(entry.key))
        state_table = StateTable(fleet["gate0"].node.node.reactor)
        packed = pack(idl.GossipUpdate(snapshots=snapshots))
        _, held = memory_of(
            lambda packed=packed, state_table=state_table: state_table.merge_snapshots(
                unpack(idl.GossipUpdate, packed).snapshots, 0.0
            )
        )
        row = _pull_cost(state_table, None) | {"held kB": round(held / 1000), "first news B": len(packed)}
        rows[f"{count} tenants"] = row
        for what, value in row.items():
            points.setdefault(what, []).append((count, value))
    return rows | {what: show_line(several, "for each tenant") for what, several in points.items()}


# --- commands -------------------------------------------------------------------


def _budget_commands(gate, number, turns):
    """(key, command, arguments) of a program that its clients open first."""
    key = f"budget/nile/g{number}"
    yield key, "open", {"limit": 100000}
    for turn in range(turns):
        admission = {
            "turn": f"l/t{turn}",
            "print": "x" * 32,
            "admission": f"{number:016x}{turn:016x}",
            "gate": gate.node_id,
            "number": turn + 1,
        }
        yield key, "admit", admission | {"reserve": 64, "repeatable": False}
        yield key, "settle", admission | {"units": 40, "outcome": "done"}


def _allowance_commands(gate, number, turns):
    """The same for a program whose limit is sent with its turns, with each turn settled separately."""
    key = f"allowance/g{number}"
    for turn in range(turns):
        name = f"turn-{number:08d}-{turn:04d}"
        yield key, "admit", {"turn": name, "reserve": 64, "limit": 100000, "gate": gate.node_id}
        yield key, "settle", {"settled": [[name, 40]]}


COMMANDS = {"budget": _budget_commands, "allowance": _allowance_commands}


def _command_run(seed, kind, voters, at_once, turns):
    """The cost of admitting and settling so many turns each for `at_once` concurrent programs, through one gateway."""
    fleet = _fleet(seed, 1, voters)
    meter = ProcessorMeter(fleet)
    fleet.bring_up()
    fleet.run(2.0)
    gate = fleet["gate0"].node.node
    client = ShardClient(gate)

    async def program(number):
        for key, command, arguments in COMMANDS[kind](gate, number, turns):
            await client.call(key, command, arguments, 5.0)

    def control_busy():
        return meter.of(fleet.of_kind("control"))

    began_at, busy = fleet.time.now, control_busy()
    with without_collecting():
        fleet.run(QUIET)
        idle = (control_busy() - busy) / QUIET
        began_at, busy = fleet.time.now, control_busy()
        syncs = sum(one.disk.syncs for one in fleet.of_kind("control"))
        with wire_meter() as traffic:
            fleet.until(settled([program(number) for number in range(at_once)]), 300)
        lasted = fleet.time.now - began_at
        spent = control_busy() - busy - idle * lasted
    commands = at_once * len(list(COMMANDS[kind](gate, 0, turns)))
    total = {
        name: sum(getattr(one, side)[name] for one in traffic.values() for side in ("sent",))
        for name in ("accept", "ownerCall", "confirm")
    }
    asked = {name: sum(one.asked[name] for one in traffic.values()) for name in ("accept", "ownerCall")}
    return {
        "accepts": round(asked["accept"] / commands, 2),
        "accept B": round(total["accept"] / commands),
        "owner's call B": round(total["ownerCall"] / commands),
        "syncs": round((sum(one.disk.syncs for one in fleet.of_kind("control")) - syncs) / commands, 2),
        "confirm KB/s of all": round(total["confirm"] / lasted / 1000, 1),
        "control ms, all together": round(1000 * spent / commands, 2),
    }


@SLOPES.enter("commands")
def commands_slope(seed=1):
    """Commands of budgets and allowances with 3 to 15 voters, for 50 concurrent programs of 4 and of 60 turns each; per
    command, messages and bytes to voters, bytes of the gateway's call, syncs of all disks, and processor time of all
    control nodes."""
    rows, points = {}, {}
    for kind in COMMANDS:
        for turns, several in ((4, VOTERS), (60, (5,))):
            for voters in several:
                row = _command_run(seed, kind, voters, 50, turns)
                rows[f"{kind}, {voters} voters, {turns} turns"] = row
                for what in ("accept B", "control ms, all together") if turns == 4 else ():
                    points.setdefault((kind, what), []).append((voters, row[what]))
    rows["budget, 5 voters, one at a time"] = _command_run(seed, "budget", 5, 1, 50)
    return rows | {f"{kind}: {what}": show_line(several, "for each voter") for (kind, what), several in points.items()}


# --- stored data -----------------------------------------------------------------


class DiskRig:
    """A circular log of the daemons' default size on a simulated disk."""

    def __init__(self):
        self.time = SimTime()
        host = SimHost(SimNetwork(self.time, random.Random(1)), "127.0.0.1")
        disk = SimDisk(self.time, random.Random(2))
        disk.attach(host)
        self.reactor, self.node_id, self.log = SimReactor(host), "a", EventLogger(lambda line: None)
        self.ring = CircularLog(disk, self.log, seconds=self.reactor.seconds)

    def settle(self):
        self.time.advance_to(self.time.now + 0.1)


def _kept(kind, count):
    """(memory of a circular log and the voter's table with so many entries, live bytes on its disk)."""
    rig = DiskRig()

    def build():
        table = SortedDict()
        for first in range(0, count, 500):
            table.update(_entries(kind, range(first, min(first + 500, count))))
            rig.ring.commit([(entry_key(1, 0, key), value) for key, value in table.items()[-500:]])
            rig.settle()
        return table

    _, held = memory_of(build)
    return held, rig.ring.live_bytes()


def _allowance(number, turns):
    return {
        "limit": 400000,
        "spent": 123456,
        "open": {},
        "refused": [],
        "closed": [f"turn-{number:08d}-{turn:04d}" for turn in range(turns)][-ALLOWANCE_CLOSED:],
    }


def _entries(kind, numbers):
    """The packed entries, as the commands write them."""
    admission = {"print": "x" * 32, "admission": "a" * 32}
    back = {"gate12.0123456789abcdef0123456789abcdef": 7}
    kinds = {
        "program": lambda n: (
            f"budget/nile/program-{n:08d}",
            {"limit": 400000, "spent": 123456, "open": {}, "turns": 30},
        ),
        "turn's mark": lambda n: (
            f"budget/nile/program-{n // 30:08d}#turn/line/turn-{n % 30:04d}",
            {"back": {}, "state": "done", "units": 4000} | admission,
        ),
        "allowance after 3 turns": lambda n: (f"allowance/program-{n:08d}", _allowance(n, 3)),
        "allowance after 67 turns": lambda n: (f"allowance/program-{n:08d}", _allowance(n, 67)),
        "open reservation": lambda n: (
            f"budget/nile/program-{n:08d}",
            {
                "limit": 400000,
                "spent": 123456,
                "turns": 30,
                "open": {
                    "line/turn-0030": {"reserve": 4096, "gate": "gate12.0123456789abcdef0123456789abcdef"} | admission
                },
            },
        ),
        "claim": lambda n: (f"claim/nile/key-{n:016d}", {"back": back, "state": "claimed"} | admission),
        "claim with an answer of 2 kB": lambda n: (
            f"claim/nile/key-{n:016d}",
            {"back": {}, "state": "done", "answer": {"status": 200, "body": "y" * 2000}} | admission,
        ),
    }
    return [(key, pack_entry(value)) for key, value in map(kinds[kind], numbers)]


@SLOPES.enter("kept")
def kept_slope(_seed=1):
    """Bytes that one entry of each kind takes on a voter's disk, in a voter's memory (log and table), and in addition
    in the memory of its shard leader."""
    result = {}
    for kind in (
        "program",
        "turn's mark",
        "allowance after 3 turns",
        "allowance after 67 turns",
        "open reservation",
        "claim",
        "claim with an answer of 2 kB",
    ):
        on_disk, in_memory, at_leader = [], [], []
        for count in KEPT:
            held, live = _kept(kind, count)
            on_disk.append((count, live))
            in_memory.append((count, held))
            at_leader.append(
                (count, memory_of(lambda kind=kind, count=count: SortedDict(_entries(kind, range(count))))[1])
            )
        result[kind] = {
            "disk B": round(line_through(on_disk)[1]),
            "voter B": round(line_through(in_memory)[1]),
            "owner B": round(line_through(at_leader)[1]),
        }
    return result


@SLOPES.enter("lines")
def conversations_slope(_seed=1):
    """Bytes that a conversation of 1, 10 and 60 turns of 1,500 characters takes in a store's memory and on its disk,
    its size, and the processor milliseconds of writing it once."""
    rows, points = {}, {"memory B": [], "disk B": [], "write ms": []}
    for turns in (1, 10, 60):
        rig = DiskRig()
        table = ConversationTable(rig, rig.ring)
        value = pack_json(
            {
                "turns": {
                    f"turn-{number:04d}": {
                        "parent": f"turn-{number - 1:04d}" if number else None,
                        "input": "i" * 500,
                        "output": "o" * 1000,
                    }
                    for number in range(turns)
                }
            }
        )
        count, numbers = 20, itertools.count(1000)

        def put(key, rig=rig, table=table, value=value):
            table.put(key, frozenset(), bytes(bytearray(value)))
            rig.settle()

        _, held = memory_of(lambda put=put, count=count: [put(f"k{number}") for number in range(count)])
        live = rig.ring.live_bytes()
        write_ms = time_of(lambda put=put, numbers=numbers: put(f"k{next(numbers)}"), 9)
        row = {
            "memory B": round(held / count),
            "disk B": round(live / count),
            "value B": len(value),
            "write ms": round(write_ms, 3),
        }
        rows[f"{turns} turns"] = row
        for what, several in points.items():
            several.append((turns, row[what]))
    return rows | {what: show_line(several, "for each turn") for what, several in points.items()}


# --- a request's processor time ------------------------------------------------------


def _work_run(seed, request, count=400, programs=40):
    """The cost of `count` requests in `programs` concurrent sequences, each of a program of its own."""
    fleet = SimFleet(seed, Size(2, 3, 5, FEW), ring_file_size=1 << 22, piece_time=0.01)
    meter = ProcessorMeter(fleet)
    fleet.bring_up()

    async def open_all():
        await settled([fleet.client.open_program("dalatech", f"p{number}", 100000) for number in range(programs)])

    async def sequence(number):
        for index in range(count // programs):
            await request(fleet, number, index)

    def busy():
        return {kind: meter.of(fleet.of_kind(kind)) for kind in ("gate", "store", "control")}

    fleet.until(open_all())
    fleet.run(2.0)
    with without_collecting():
        before, began_at = busy(), fleet.time.now
        fleet.run(QUIET)
        idle = {kind: (now - before[kind]) / (fleet.time.now - began_at) for kind, now in busy().items()}
        before, began_at = busy(), fleet.time.now
        fleet.until(settled([spawn(sequence(number), fleet.lab_log) for number in range(programs)]), 300)
        lasted = fleet.time.now - began_at
        after = busy()
    served = sum(attempt.outcome == "end" for asked in fleet.view.requests for attempt in asked.attempts)
    return {
        f"{kind}s ms": round(1000 * (after[kind] - before[kind] - idle[kind] * lasted) / count, 2) for kind in after
    } | {"served": f"{served} of {count}"}


@SLOPES.enter("requests")
def requests_slope(seed=1):
    """Processor milliseconds that a request takes on all gateways, stores and control nodes together, in one process:
    a turn that begins a conversation, and a plain call with and without an idempotency key. The kernel's share is not
    included."""
    return {
        "turn that begins a line": _work_run(
            seed,
            lambda fleet, number, index: fleet.client.turn("dalatech", f"p{number}", f"l{number}-{index}", None, "abc"),
        ),
        "keyed plain call": _work_run(
            seed,
            lambda fleet, number, index: fleet.client.plain(
                "nile", "notices", {"n": index, "of": number}, f"k{number}-{index}"
            ),
        ),
        "plain call without key": _work_run(
            seed, lambda fleet, number, index: fleet.client.plain("nile", "notices", {"n": -index, "of": number})
        ),
    }


@MEASURES.enter("capacity")
def capacity(seed=1):
    """The slopes for docs/CAPACITY.md, except the longest; a single one by `oakramp-testbed measure capacity.NAME`."""
    return {
        f"{name}: {what}": value
        for name in SLOPES.names()
        if name != "nodes-256"
        for what, value in SLOPES.find(name)(seed).items()
    }
