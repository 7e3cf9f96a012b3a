"""A whole fleet on simulated time, network and disks, repeatable from a seed. The nodes run the daemons' real code."""

import random

from twisted.internet import defer

from oakramp.common.constants import SHARDS
from oakramp.common.http_client import HttpClient
from oakramp.common.structured_logging import EventLogger
from oakramp.common.tasks import spawn
from oakramp.control.control_node import ControlNode
from oakramp.control.store_membership import StoreMembership
from oakramp.gateway.gateway_node import GateNode
from oakramp.store.store_node import StoreNode
from oakramp.testbed.caller import Client, Operator, View
from oakramp.testbed.checker import check
from oakramp.testbed.emulators import Record, StandinPlatform, StandinReplica
from oakramp.testbed.plan import (
    MARKERS,
    NETS,
    NETWORK,
    PARTNERS,
    PLATFORM,
    Machine,
    Size,
    blueprint_of,
    env_of,
    machines_of,
    replica_rows,
)
from oakramp.testbed.simdisk import SimDisk
from oakramp.testbed.simnet import SimHost, SimNetwork, SimReactor, SimTime

BUILDERS = {"control": ControlNode, "store": StoreNode, "gate": GateNode}
SMALL = Size(
    2,
    3,
    5,
    (
        ("dalatech-model", "model", 2),
        ("dalatech-results", "plain", 2),
        ("nile-model", "model", 2),
        ("nile-notices", "plain", 2),
    ),
)
RING_FILE_SIZE = 1 << 17  # bytes; small, so that simulated circular logs wrap around
CLIENTS_HOST, OPERATOR_HOST = "127.20.250.1", "127.20.251.1"


class SimMachine:
    """One machine of the fleet: its host, its disk if it has one, and the node that runs on it."""

    def __init__(self, fleet, machine):
        self._fleet, self.machine = fleet, machine
        self.host = SimHost(fleet.network, machine.host)
        self.disk = SimDisk(fleet.time, fleet.random) if machine.kind != "gate" else None
        self.node = None
        self.running = False
        self.starts = 0
        self.seeds = None
        self.wall_offset = 1.8e9

    @property
    def name(self):
        return self.machine.name

    def start(self):
        self.starts += 1
        self._fleet.time.retained.append(self.node)
        self.host.up = self.running = True
        env = env_of(self.machine, self._fleet.machines, "sim", self.seeds)
        if self._fleet.self_forming:
            env |= {"selfForming": True, "firstStart": self._fleet.first_start}
        if self.disk is not None:
            env["ringFileSize"] = self._fleet.ring_file_size
            self.disk.attach(self.host)
        builder = BUILDERS[self.machine.kind]
        self.node = builder(
            SimReactor(self.host),
            env,
            self.disk,
            random.Random(f"{self._fleet.seed}/{self.name}/{self.starts}"),
            self._fleet.log,
            wall=lambda: self._fleet.time.now + self.wall_offset,
        )
        self.node.start()

    def _end(self, power_cut):
        self.running = False
        self.host.end(power_cut)

    def kill(self):
        self._fleet.mark(self.name, "killed")
        self._end(power_cut=False)

    def power_cut(self):
        self._fleet.mark(self.name, "power cut")
        self._end(power_cut=True)
        if self.disk is not None:
            self.disk.power_cut()

    def lose_disk(self):
        self._fleet.mark(self.name, "disk lost")
        self.disk = SimDisk(self._fleet.time, self._fleet.random)

    def freeze(self):
        self._fleet.mark(self.name, "frozen")
        self.host.freeze()

    def thaw(self):
        self._fleet.mark(self.name, "thawed")
        self.host.thaw()

    def stop(self):
        """Stops the node gracefully; fires when the process has ended."""
        self._fleet.mark(self.name, "stopping")

        async def stopping():
            await self.node.stop()
            self._end(power_cut=False)

        return spawn(stopping(), self._fleet.lab_log)


class SimFleet:
    """With `self_forming` the control nodes bootstrap their cluster by themselves: while `first_start` is set, nodes
    are started as at the first start of the whole fleet; `bring_up` clears it."""

    def __init__(self, seed, size=SMALL, ring_file_size=RING_FILE_SIZE, self_forming=False, **standin_options):
        self.seed, self.size, self.ring_file_size = seed, size, ring_file_size
        self.self_forming = self.first_start = self_forming
        self.random = random.Random(f"fleet/{seed}")
        self.time = SimTime()
        self.network = SimNetwork(self.time, random.Random(f"net/{seed}"))
        self.lines, self.marks = [], []
        self.lab_log = EventLogger(self.log, node="lab")
        self.view, self.record = View(), Record()
        self.machines = machines_of(size)
        self.by_name = {machine.name: SimMachine(self, machine) for machine in self.machines}
        self._build_standins({"adapters": MARKERS} | standin_options)
        self.client_reactor = SimReactor(SimHost(self.network, CLIENTS_HOST))
        self.operator_reactor = SimReactor(SimHost(self.network, OPERATOR_HOST))
        self.client = Client(
            self.client_reactor,
            HttpClient(self.client_reactor),
            [machine.http for machine in self.machines if machine.kind == "gate"],
            random.Random(f"callers/{seed}"),
            self.view,
        )
        self.operator = Operator(
            self.operator_reactor,
            HttpClient(self.operator_reactor),
            [machine.http for machine in self.machines if machine.kind == "control"],
            random.Random(f"operators/{seed}"),
            self.view,
        )

    def _build_standins(self, options):
        self._standin_options = options
        host = SimHost(self.network, PLATFORM.partition(":")[0])
        self.platform = StandinPlatform(SimReactor(host), PLATFORM, self.record, self.lab_log)
        for row in replica_rows(self.size):
            self._add_replica(*row)
        self.platform.web.listen()

    def _add_replica(self, replica_id, address, pool):
        host = SimHost(self.network, address.partition(":")[0])
        replica = StandinReplica(
            SimReactor(host), replica_id, address, pool, self.record, self.lab_log, **self._standin_options
        )
        self.platform.add(replica)
        replica.web.listen()

    def add_replica(self, pool):
        """Adds a replica to this pool."""
        number = len(self.platform.replicas)
        self.mark(f"{pool}-new{number}", "joins")
        self._add_replica(f"{pool}-new{number}", f"{NETWORK}.202.{number}:7491", pool)

    def __getitem__(self, name):
        return self.by_name[name]

    def add(self, kind, number):
        """Adds a machine, without starting it."""
        machine = Machine(f"{kind}{number}", kind, f"zone{number % 3}", f"{NETWORK}.{NETS[kind]}.{number + 1}")
        self.by_name[machine.name] = SimMachine(self, machine)
        return self.by_name[machine.name]

    def of_kind(self, kind):
        return [one for one in self.by_name.values() if one.machine.kind == kind]

    # --- time ---

    def log(self, line):
        self.lines.append(f"{self.time.now:9.3f} {line}")

    def mark(self, name, what):
        self.marks.append((self.time.now, name, what))

    def run(self, seconds):
        self.time.advance_to(self.time.now + seconds)

    def until(self, work, limit=60.0):
        """Runs until the work is done, and returns its result."""
        task = work if isinstance(work, defer.Deferred) else defer.ensureDeferred(work)
        outcome = []
        task.addBoth(outcome.append)
        end = self.time.now + limit
        while not outcome:
            if self.time.now >= end:
                raise AssertionError(f"not done within {limit} s of simulated time")
            self.time.advance_to(min(end, self.time.now + 0.01))
        if hasattr(outcome[0], "raiseException"):
            outcome[0].raiseException()
        return outcome[0]

    def wait_for(self, what, check, limit=30.0):
        end = self.time.now + limit
        while not check():
            if self.time.now >= end:
                raise AssertionError(f"{what} did not happen within {limit} s of simulated time")
            self.run(0.05)
        return self.time.now

    # --- start ---

    def bring_up(self, plans=True):
        for one in self.by_name.values():
            one.start()
        if self.self_forming:
            self.wait_formed()
        self.run(0.5)
        self.until(self._init())
        self.first_start = False
        if plans:
            for partner in PARTNERS:
                sent = self.until(
                    self.operator.put_plan(partner, 0, blueprint_of(partner, f"{partner}-plan-1"), f"{partner}-plan-1")
                )
                assert sent.outcome == "accepted", sent
            self.wait_ready()
        return self

    async def _init(self):
        controls = [one for one in self.of_kind("control")]
        voting_config = {one.node.node.node_id: one.machine.peer for one in controls}
        for one in controls if not self.self_forming else ():
            status, said = await self.operator._client.json(
                "POST", one.machine.http, "/v1/init", {"clusterId": "sim", "roster": voting_config}, 5
            )
            assert status == 200, said
        await self._set_stores()

    async def _set_stores(self):
        """Sets the first store set. A set has an odd number of members, so one of an even number of stores stays a
        spare."""
        members = [{"nodeId": one.node.node.node_id, "peer": one.machine.peer} for one in self.of_kind("store")]
        if len(members) % 2 == 0:
            del members[-1]
        while True:
            status, said = await self.operator.ask("PUT", "/v1/stores", {"basedOn": 0, "members": members})
            if status == 200 or said.get("error") == "conflict":
                return
            if status == 400:
                raise AssertionError(f"the store set was rejected: {said}")

    def voting_config_of_all(self):
        """Whether exactly the running control nodes are members, and all shards are served."""
        running = [one.node for one in self.of_kind("control") if one.running and not one.host.frozen]
        ids = {node.node.node_id for node in running}
        return (
            all(
                node.voter.voting_config is not None
                and node.voter.voting_config.next is None
                and node.voter.voting_config.members.keys() == ids
                for node in running
            )
            and self.shards_served()
        )

    def shards_served(self):
        held = [
            shard
            for one in self.of_kind("control")
            if one.running and not one.host.frozen
            for shard, leader in one.node.leaders.active.items()
            if leader.holds_lease()
        ]
        return len(set(held)) == ControlNode.shard_count

    def wait_formed(self, limit=10.0):
        return self.wait_for("the bootstrap of the control nodes", self.voting_config_of_all, limit)

    def shards_held(self):
        """Shards that have a leader with a valid lease."""
        return {
            shard
            for one in self.of_kind("control")
            if one.running and not one.host.frozen
            for shard, leader in one.node.leaders.active.items()
            if leader.holds_lease()
        }

    @staticmethod
    def _knows_all(node):
        """Whether the gateway knows replicas and the store set, so that it can forward a turn at once."""
        return bool(node.load_balancer.replicas) and StoreMembership.from_state_table(node.node.state_table).epoch > 0

    def is_ready(self):
        if len(self.shards_held()) < SHARDS:
            return False
        gates = [one for one in self.of_kind("gate") if one.running and not one.host.frozen]
        return all(
            not one.node.bindings.staleness(partner) and self._knows_all(one.node)
            for one in gates
            for partner in PARTNERS
        ) and all(one.node.store.covers for one in self.of_kind("store") if one.running and one.node.store.is_member)

    def wait_ready(self, limit=30.0):
        return self.wait_for("the readiness of the gateways", self.is_ready, limit)

    def start_mix(self, seconds, clients=4, plain_names=("results", "notices")):
        until = self.time.now + seconds
        for index in range(clients):
            partner = PARTNERS[index % len(PARTNERS)]
            spawn(self.client.mix(partner, plain_names[index % len(PARTNERS)], until), self.lab_log)

    # --- results ---

    def violations(self):
        return {name: one.bad for name, one in check(self.view, self.record).items() if one.bad}

    def served(self, since=0.0):
        return [
            asked
            for asked in self.view.requests
            for attempt in asked.attempts
            if attempt.outcome == "end" and attempt.done_at >= since
        ]

    def timeline(self, most=60):
        """The recorded events as text, one column for each machine."""
        names = sorted({name for _, name, _ in self.marks})
        width = max([len(name) for name in names] + [12]) + 1
        head = "time".rjust(9) + " " + "".join(name.ljust(width) for name in names)
        rows = [f"{at:9.3f} " + " " * (width * names.index(name)) + what for at, name, what in self.marks[-most:]]
        return "\n".join([head, *rows])
