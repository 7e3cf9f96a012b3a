"""A scale run: a few real control processes beside hollow nodes, many of which share a process.

A hollow node is the daemons' own Node on real loopback TCP: it says hello, pulls, answers pulls, knows the members and
takes news in. It carries no traffic and keeps nothing on disk. Times are of the machine's monotonic clock, which all
processes of one machine share.
"""

import json
import os
import queue
import random
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from contextlib import contextmanager
from dataclasses import dataclass

import click
from twisted.internet import stdio
from twisted.protocols.basic import LineOnlyReceiver

from oakramp.cli.control_client import ask
from oakramp.common.constants import CONDITION_AGE, GOSSIP_CONTROL_PEER_COUNT, GOSSIP_PEER_COUNT
from oakramp.common.errors import OakrampError
from oakramp.common.tasks import Repeater, monotonic_reactor, spawn
from oakramp.control.replica_registry import REPLICAS_KEY
from oakramp.control.shard_client import ShardClient
from oakramp.gossip.node import Node
from oakramp.membership.members import SILENT
from oakramp.testbed.capacity import replica_rows, wire_meter
from oakramp.testbed.plan import blueprint_of

NETWORKS = range(64, 128)  # second bytes of loopback addresses; each run takes one that no other run on the machine has
CLAIM = "255.1", 7400  # where a run listens, so that others see that its network is taken
CONTROL_HOSTS = "200"  # third byte of the control nodes' addresses, above those of hollow nodes
PROCESS_BYTES = 70 << 20  # bytes; an interpreter with the product's modules, more than was ever seen
NODE_BYTES = 300 << 10  # bytes; a hollow node that knows nobody, with its connections
KNOWN_BYTES = (
    2 << 10
)  # bytes; for each other node that a node knows (measured: `oakramp-testbed measure capacity.known`)
LISTED_BYTES = 140  # bytes; for each replica in a node's news (`oakramp-testbed measure capacity.replicas`)
MOST_PROCESSES = 200  # processes; the users allow a few hundred on one machine
MOST_HOLLOW = 10000  # nodes; addresses are for so many
MOST_REPLICAS = 12000  # replicas; the list of the size that the users expect
READY_TIME = 120.0  # s; until all nodes know one another
SATURATED = 0.85  # share of a core; a hollow process that takes more measures itself, not the design
WAITED = 0.1  # share of the time; one that waits longer for a core is late for the machine's sake
CHANGE_SOURCE = "blueprint/nile"


# --- sizes that are refused ------------------------------------------------------


@dataclass(frozen=True)
class Sizes:
    hollow: int
    processes: int
    controls: int
    replicas: int

    def memory(self):
        """Bytes that the run may take at most, worked out before anything starts."""
        known = self.hollow + self.controls
        node = NODE_BYTES + KNOWN_BYTES * known + LISTED_BYTES * self.replicas
        return PROCESS_BYTES * (self.processes + self.controls) + node * (known + self.controls)

    def descriptors(self):
        """Of one hollow process: for each node its listener, its own connections and those of others to it."""
        return 64 + -(-self.hollow // self.processes) * (1 + 4 * (GOSSIP_PEER_COUNT + GOSSIP_CONTROL_PEER_COUNT))

    def faults(self, machine_bytes, descriptor_limit):
        """Why this cannot be run here; empty if it can."""
        rules = (
            (1 <= self.hollow <= MOST_HOLLOW, f"--hollow must be 1 to {MOST_HOLLOW}"),
            (1 <= self.processes <= max(1, self.hollow), "--processes must be 1 to the number of hollow nodes"),
            (1 <= self.controls <= 15 and self.controls % 2 == 1, "--controls must be odd, 1 to 15"),
            (0 <= self.replicas <= MOST_REPLICAS, f"--replicas must be 0 to {MOST_REPLICAS}"),
            (self.processes + self.controls <= MOST_PROCESSES, f"more than {MOST_PROCESSES} processes"),
        )
        faults = [reason for holds, reason in rules if not holds]
        if faults:
            return faults
        if self.memory() > machine_bytes // 2:
            faults.append(
                f"it may take {self.memory() >> 20} MiB, half of this machine's memory is {machine_bytes >> 21} MiB"
            )
        if self.descriptors() > descriptor_limit:
            faults.append(
                f"a hollow process may need {self.descriptors()} descriptors, {descriptor_limit} are allowed: "
                "use more processes"
            )
        return faults


def machine_memory():
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")


def claim_network():
    """(first half of the addresses, the listening socket that keeps it for this run)."""
    for number in NETWORKS:
        claim = socket.socket()
        try:
            claim.bind((f"127.{number}.{CLAIM[0]}", CLAIM[1]))
            claim.listen()
            return f"127.{number}", claim
        except OSError:
            claim.close()
    raise click.ClickException("no loopback network is free")


def hollow_env(network, number, seeds):
    host = f"{network}.{number // 250}.{number % 250 + 1}"
    return {
        "machine": f"hollow{number}",
        "zone": f"zone{number % 10}",
        "peer": f"{host}:7400",
        "http": f"{host}:7480",
        "seeds": seeds,
    }


def control_env(network, number, controls, folder):
    hosts = [f"{network}.{CONTROL_HOSTS}.{one + 1}" for one in range(controls)]
    return {
        "machine": f"control{number}",
        "zone": f"zone{number % 3}",
        "peer": f"{hosts[number]}:7400",
        "http": f"{hosts[number]}:7480",
        "seeds": [f"{host}:7400" for host in hosts][:3],
        "folder": os.path.join(folder, f"control{number}"),
    }


# --- a process of hollow nodes -----------------------------------------------------


class HollowProcess(LineOnlyReceiver):
    """Many nodes in one process, told what to do by JSON lines and answering in such. It ends with its input.

    Invariant: `arrivals[source, version]` counts the nodes here that have this version or a newer one."""

    delimiter = b"\n"

    def __init__(self, reactor, spec, traffic):
        self._reactor, self._traffic, self._spec = reactor, traffic, spec
        self._events = Counter()
        self.nodes = [
            Node(reactor, "gate", hollow_env(spec["network"], number, spec["seeds"]), random.SystemRandom(), self._log)
            for number in range(spec["first"], spec["first"] + spec["count"])
        ]
        self._gone = set()
        self._reached, self.arrivals = {}, {}
        self._looks = Counter()
        self._silent = {}
        self._watched, self._began = None, (0.0, 0.0, Counter())
        for node in self.nodes:
            for prefix in (CHANGE_SOURCE, REPLICAS_KEY):
                node.state_table.watch(prefix, lambda source, node=node: self._moved(node, source))
        Repeater(reactor, 0.5, self._poll, self.nodes[0].log).start()
        Repeater(reactor, 0.1, self._watch, self.nodes[0].log).start()

    def _log(self, line):
        self._events[line.partition("event=")[2].partition(" ")[0]] += 1

    def connectionMade(self):
        for place, node in enumerate(self.nodes):
            # Spread, as machines that are rolled out are.
            self._reactor.callLater(place * self._spec["pause"], node.start)

    def connectionLost(self, reason=None):
        if self._reactor.running:
            self._reactor.stop()

    def lineReceived(self, line):
        asked = json.loads(line)
        spawn(self._answer(asked), self.nodes[0].log)

    async def _answer(self, asked):
        try:
            said = await getattr(self, f"do_{asked['do']}")(**asked.get("arguments", {}))
        except OakrampError as error:
            said = {"error": str(error)}
        self.sendLine(json.dumps({"id": asked["id"], "said": said}).encode())

    # --- what it notes ---

    def _moved(self, node, source):
        snapshot, now = node.state_table.snapshots[source], self._reactor.seconds()
        previous = self._reached.get((node.node_id, source), 0)
        self._reached[node.node_id, source] = snapshot.version
        for version in range(max(previous + 1, snapshot.version - 50), snapshot.version + 1):
            count, _ = self.arrivals.get((source, version), (0, 0.0))
            self.arrivals[source, version] = count + 1, now

    def _living(self):
        return [node for node in self.nodes if node.node_id not in self._gone]

    async def _poll(self):
        """One node here, in turn, tells whom it holds for silent; nobody is but those that were killed."""
        node = random.choice(self._living())
        for node_id, (_, age) in node.members.newest().items():
            self._looks["looks"] += 1
            if age > CONDITION_AGE and node_id not in self._silent and node_id != self._watched:
                self._looks["alarms"] += 1

    async def _watch(self):
        if self._watched is None or self._watched in self._silent:
            return
        if all(node.members.condition(self._watched) == SILENT for node in self._living()):
            self._silent[self._watched] = self._reactor.seconds()

    # --- what it is asked ---

    async def do_known(self):
        """How many nodes the least informed one here holds for live, itself too."""
        return min(len(node.members.live()) for node in self._living())

    def _total(self):
        total = Counter()
        for one in self._traffic.values():
            total.update(
                {
                    "out": sum(one.sent.values()),
                    "in": sum(one.received.values()),
                    "pulls": one.asked["pull"],
                    "answers": one.answered["pull"],
                }
            )
        return total

    async def do_begin(self):
        self._looks.clear()
        self._began = self._reactor.seconds(), time.process_time(), self._total()

    async def do_end(self):
        began_at, spent, total = self._began
        lasted, now = self._reactor.seconds() - began_at, self._total()
        return {
            "seconds": lasted,
            "cpu": time.process_time() - spent,
            "nodes": len(self._living()),
            "looks": self._looks["looks"],
            "alarms": self._looks["alarms"],
            "events": dict(self._events),
            "rss": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024,
        } | {name: now[name] - total[name] for name in ("out", "in", "pulls", "answers")}

    async def do_call(self, key, command, arguments):
        client = ShardClient(self._living()[0])
        answer = await client.call(key, command, arguments, 20.0)
        return {"answer": answer, "at": self._reactor.seconds()}

    async def do_list(self, count):
        done = await self.do_call(REPLICAS_KEY, "setList", {"replicas": replica_rows(count)})
        # The command says which version it was built on; the one that it made is read.
        return done | {"answer": (await self.do_call(REPLICAS_KEY, "read", {}))["answer"]}

    async def do_arrivals(self, source, version):
        count, last = self.arrivals.get((source, version), (0, 0.0))
        return {"count": count, "last": last}

    async def do_kill(self):
        """Ends the last node here as a power cut would, but for its connections, which its kernel closes."""
        node = self._living()[-1]
        self._gone.add(node.node_id)
        node.gossip_client.stop()
        node.wall_clock.repeater.stop()
        await node.net.stop()
        return {"nodeId": node.node_id, "at": self._reactor.seconds()}

    async def do_watch(self, node_id):
        self._watched = node_id

    async def do_silent(self, node_id):
        return self._silent.get(node_id)


def run_hollow(spec):
    reactor = monotonic_reactor()
    with wire_meter() as traffic:
        stdio.StandardIO(HollowProcess(reactor, spec, traffic))
        reactor.run()


# --- the run ------------------------------------------------------------------------


class Child:
    """One hollow process, as the run sees it."""

    def __init__(self, spec, log):
        self.count = spec["count"]
        self._process = subprocess.Popen(
            [sys.executable, "-m", "oakramp.testbed.main", "hollow", json.dumps(spec)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=log,
        )
        self._answers, self._next = queue.Queue(), 0
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self):
        for line in self._process.stdout:
            self._answers.put(json.loads(line))
        self._answers.put(None)

    def ask(self, what, time_left=60.0, **arguments):
        self._next += 1
        self._process.stdin.write(json.dumps({"id": self._next, "do": what, "arguments": arguments}).encode() + b"\n")
        self._process.stdin.flush()
        ends_at = time.monotonic() + time_left
        while True:
            try:
                answer = self._answers.get(timeout=max(0.01, ends_at - time.monotonic()))
            except queue.Empty:
                raise TimeoutError(f"a hollow process did not answer {what} within {time_left} s") from None
            if answer is None:
                raise RuntimeError("a hollow process has ended; its log says why")
            if answer["id"] == self._next:
                if isinstance(answer["said"], dict) and "error" in answer["said"]:
                    raise RuntimeError(answer["said"]["error"])
                return answer["said"]

    @property
    def pid(self):
        return self._process.pid

    def end(self):
        self._process.kill()
        self._process.wait()


def processor_time(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def waiting_time(pid):
    """Seconds that a process was ready to run and had to wait for a core; None if the kernel does not say."""
    try:
        with open(f"/proc/{pid}/schedstat", encoding="ascii") as file:
            return int(file.read().split()[1]) / 1e9
    except (OSError, IndexError):
        return None


def resident(pid):
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def socket_bytes(host):
    """(sent, received) over the open connections of this address, as the kernel counts them; None without `ss`."""
    try:
        said = subprocess.run(["ss", "-tinH", "src", host], capture_output=True, text=True, check=True).stdout
    except (OSError, subprocess.CalledProcessError):
        return None
    totals = Counter()
    for word in said.split():
        name, _, value = word.partition(":")
        if name in ("bytes_sent", "bytes_received"):
            totals[name] += int(value)
    return totals["bytes_sent"], totals["bytes_received"]


class Interrupts:
    """Ends the run when a signal says so, but never between a process's start and its entry among those to be ended,
    and never amid the ending."""

    def __init__(self):
        self._holding, self._came = False, None
        for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
            signal.signal(number, self._take)

    def _take(self, number, _frame):
        self._came = number
        if not self._holding:
            raise SystemExit(128 + number)

    @contextmanager
    def held(self):
        self._holding = True
        try:
            yield
        finally:
            self._holding = False
        if self._came is not None:
            raise SystemExit(128 + self._came)


class ScaleRun:
    """Invariant: `_controls` and `_children` hold all processes that this run started and has not ended."""

    def __init__(self, sizes, folder, seconds, changes):
        self._interrupts = Interrupts()
        self.sizes, self._seconds, self._changes = sizes, seconds, changes
        os.makedirs(folder, exist_ok=True)
        self._folder = folder = tempfile.mkdtemp(
            prefix="run-", dir=folder
        )  # what an earlier run kept is not this one's
        self._controls, self._children, self._logs = {}, [], []
        self._network, self._claim = claim_network()
        self.envs = [control_env(self._network, number, sizes.controls, folder) for number in range(sizes.controls)]

    def _log(self, name):
        self._logs.append(open(os.path.join(self._folder, f"{name}.log"), "ab"))
        return self._logs[-1]

    def down(self):
        for child in self._children:
            child.end()
        for process in self._controls.values():
            process.kill()
        for process in self._controls.values():
            process.wait()
        for log in self._logs:
            log.close()
        self._claim.close()
        self._children, self._controls, self._logs = [], {}, []

    def _wait(self, what, check, time_left=READY_TIME, pause=0.1):
        ends_at = time.monotonic() + time_left
        while True:
            try:
                result = check()
                if result:
                    return result
            except OSError:
                pass
            if time.monotonic() > ends_at:
                raise TimeoutError(f"{what} did not happen within {time_left} s")
            time.sleep(pause)

    def _condition(self, env):
        return ask(env["http"], "GET", "/condition")[1]

    def start(self):
        for env in self.envs:
            path = os.path.join(self._folder, f"{env['machine']}.json")
            with open(path, "w", encoding="utf-8") as file:
                json.dump(env, file)
            log = self._log(env["machine"])
            with self._interrupts.held():
                self._controls[env["machine"]] = subprocess.Popen(
                    [sys.executable, "-c", "from oakramp.control.daemon import main; main()", "--env", path],
                    stdin=subprocess.DEVNULL,
                    stdout=log,
                    stderr=log,
                )
        voting_config = {
            self._wait("control answering", lambda env=env: self._condition(env))["nodeId"]: env["peer"]
            for env in self.envs
        }
        for env in self.envs:
            self._wait(
                "the cluster being made",
                lambda env=env: (
                    ask(env["http"], "POST", "/v1/init", {"clusterId": "scale", "roster": voting_config})[0] == 200
                ),
            )
        self._wait(
            "all slots being owned",
            lambda: all(row["owner"] for row in ask(self.envs[0]["http"], "GET", "/v1/slots")[1]["slots"]),
        )
        share, more = divmod(self.sizes.hollow, self.sizes.processes)
        first, log = 0, self._log("hollow")
        for number in range(self.sizes.processes):
            count = share + (number < more)
            spec = {
                "network": self._network,
                "first": first,
                "count": count,
                "seeds": self.envs[0]["seeds"],
                "pause": 0.02 * self.sizes.processes,
            }
            with self._interrupts.held():
                self._children.append(Child(spec, log))
            first += count

    def _wait_known(self):
        everyone = self.sizes.hollow + self.sizes.controls
        began = time.monotonic()
        self._wait(
            "each node knowing all", lambda: all(child.ask("known") >= everyone for child in self._children), pause=0.5
        )
        return time.monotonic() - began

    def _everywhere(self, source, version, since):
        """Seconds from this moment until all hollow nodes had this version."""

        def done():
            rows = [child.ask("arrivals", source=source, version=version) for child in self._children]
            return rows if all(row["count"] == child.count for row, child in zip(rows, self._children)) else None

        return max(row["last"] for row in self._wait("a change being everywhere", done)) - since

    def _quiet(self):
        pids = {name: process.pid for name, process in self._controls.items()}
        everyone = [*pids.values(), *(child.pid for child in self._children)]
        waited = [waiting_time(pid) for pid in everyone]
        for child in self._children:
            child.ask("begin")
        spent = {name: processor_time(pid) for name, pid in pids.items()}
        sent = {env["machine"]: socket_bytes(env["peer"].partition(":")[0]) for env in self.envs}
        began = time.monotonic()
        time.sleep(self._seconds)
        lasted = time.monotonic() - began
        waits = [(waiting_time(pid) - before) / lasted for pid, before in zip(everyone, waited) if before is not None]
        shares = {name: (processor_time(pid) - spent[name]) / lasted for name, pid in pids.items()}
        later = {env["machine"]: socket_bytes(env["peer"].partition(":")[0]) for env in self.envs}
        rows = [child.ask("end") for child in self._children]
        nodes, node_seconds = sum(row["nodes"] for row in rows), sum(row["nodes"] * row["seconds"] for row in rows)
        result = {
            "hollow node, out KB/s": round(sum(row["out"] for row in rows) / node_seconds / 1000, 1),
            "hollow node, in KB/s": round(sum(row["in"] for row in rows) / node_seconds / 1000, 1),
            "hollow node, pulls a second": round(sum(row["pulls"] for row in rows) / node_seconds, 1),
            "hollow node, % of a core": round(100 * sum(row["cpu"] for row in rows) / node_seconds, 2),
            "hollow node, MB (its part of its process)": round(sum(row["rss"] for row in rows) / nodes / 1e6, 2),
            "control node, % of a core, least and most": tuple(
                round(100 * share, 1) for share in (min(shares.values()), max(shares.values()))
            ),
            "control node, MB, most": round(max(resident(pid) for pid in pids.values()) / 1e6, 1),
            "events of hollow nodes": dict(sum((Counter(row["events"]) for row in rows), Counter())),
            "false alarms among looks": f"{sum(row['alarms'] for row in rows)} of {sum(row['looks'] for row in rows)}",
        }
        if all(sent.values()) and all(later.values()):
            result |= {
                f"control node, {way} KB/s, mean": round(
                    sum(later[name][place] - sent[name][place] for name in sent) / len(sent) / lasted / 1000, 1
                )
                for place, way in enumerate(("out", "in"))
            }
        busiest = max(*(row["cpu"] / row["seconds"] for row in rows), *shares.values())
        if waits:
            result["waited for a core, % of the time, most of a process"] = round(100 * max(waits), 1)
        if busiest > SATURATED or max(waits, default=0.0) > WAITED:
            result["WARNING"] = (
                f"a process took {busiest:.2f} of a core, or waited too long for one: the figures show "
                "this machine's end, not the design's"
            )
        return result

    def _change(self):
        delays, version = [], 0
        for number in range(1, 1 + self._changes):
            done = self._children[0].ask(
                "call",
                key=CHANGE_SOURCE,
                command="put",
                arguments={
                    "changeId": f"c{number}",
                    "basedOn": version,
                    "blueprint": blueprint_of("nile", f"nile-plan-{number}"),
                },
            )
            version = done["answer"]["version"]
            delays.append(self._everywhere(CHANGE_SOURCE, version, done["at"]))
            time.sleep(0.3)
        return {"change in force everywhere, s after its yes, longest": round(max(delays), 2)} if delays else {}

    def _kill_hollow(self):
        killed = self._children[-1].ask("kill")
        for child in self._children:
            child.ask("watch", node_id=killed["nodeId"])
        times = [
            self._wait("detection", lambda child=child: child.ask("silent", node_id=killed["nodeId"]))
            for child in self._children
        ]
        return {"killed node silent at all, s": round(max(times) - killed["at"], 2)}

    def _kill_control(self):
        if self.sizes.controls < 3:
            return {}
        name = self.envs[-1]["machine"]
        node_id = self._condition(self.envs[-1])["nodeId"]
        process, began = self._controls.pop(name), time.monotonic()
        process.kill()
        process.wait()
        self._wait(
            "the slots being taken over",
            lambda: all(
                row["owner"] not in (None, node_id) and row["age"] < CONDITION_AGE
                for row in ask(self.envs[0]["http"], "GET", "/v1/slots")[1]["slots"]
            ),
            pause=0.05,
        )
        return {"killed control node's slots served elsewhere, s": round(time.monotonic() - began, 2)}

    def run(self):
        """Measured figures, by what they are of. Ends all processes, whatever happens."""
        try:
            self.start()
            result = {"s until each node knew all": round(self._wait_known(), 1)}
            if self.sizes.replicas:
                done = self._children[0].ask("list", count=self.sizes.replicas)
                result[f"list of {self.sizes.replicas} replicas everywhere, s"] = round(
                    self._everywhere(REPLICAS_KEY, done["answer"]["version"], done["at"]), 2
                )
            time.sleep(2.0)
            result |= self._quiet()
            result |= self._change()
            return result | self._kill_hollow() | self._kill_control()
        finally:
            with self._interrupts.held():
                self.down()


def run_scale(sizes, folder, seconds, changes):
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    faults = sizes.faults(machine_memory(), limit)
    if faults:
        raise click.ClickException("; ".join(faults))
    return ScaleRun(sizes, folder, seconds, changes).run()
