"""The cost of idle daemons and of commands on the keys of shard leaders: as numbers of function calls, the same in
every run, and as processor time of real processes."""

import os
import random
import tempfile
from collections import Counter, defaultdict
from itertools import count

from twisted.internet.defer import ensureDeferred
from twisted.internet.threads import deferToThread
from twisted.python.failure import Failure

from oakramp.common.errors import OakrampError
from oakramp.common.tasks import monotonic_reactor, settled, sleep, spawn
from oakramp.control.shard_client import ShardClient
from oakramp.control.shards import shard_of_key
from oakramp.gossip.node import Node
from oakramp.testbed.fleet import Fleet
from oakramp.testbed.plan import NETWORK, Machine, Size, env_of
from oakramp.testbed.simfleet import SimFleet
from oakramp.testbed.work import count_calls

TICKS = os.sysconf("SC_CLK_TCK")
CLIENT = Machine("bench0", "gate", "zone0", f"{NETWORK}.240.1")
WINDOW = 10.0  # s; length of each measurement, so that one clock tick of the kernel is a thousandth of a core
QUIET = 3.0  # s; before each measurement, so that the fleet has settled
SPREAD_RATE, ONE_RATE = 300, 100  # commands a second
BRIEF = Size(
    8,
    3,
    5,
    (
        ("dalatech-model", "model", 1),
        ("dalatech-results", "plain", 1),
        ("nile-model", "model", 1),
        ("nile-notices", "plain", 1),
    ),
)


def is_led_by(client, key, leader):
    return leader is None or client._believed(shard_of_key(key)) == leader


def claim_of(number, gate, random_source):
    return {"print": "x" * 32, "admission": f"{random_source.getrandbits(128):032x}", "gate": gate, "number": number}


class WorkCount:
    """Counts the Python and C functions called on each machine of a simulated fleet, without the simulator's own."""

    def __init__(self, fleet):
        self._names = {one.host: name for name, one in fleet.by_name.items()}
        self.calls = Counter()
        fleet.time.perform = self._perform

    def _perform(self, call, host):
        name = self._names.get(host)
        if name is None:
            call.func(*call.args, **call.kw)
            return
        self.calls[name] += count_calls(lambda: call.func(*call.args, **call.kw))

    def during(self, fleet, seconds):
        before = Counter(self.calls)
        fleet.run(seconds)
        return Counter({name: (self.calls[name] - before[name]) / seconds for name in self.calls})


def _by_kind(fleet, counts):
    return {
        kind: round(sum(counts[one.name] for one in fleet.of_kind(kind)) / len(fleet.of_kind(kind)))
        for kind in ("control", "store", "gate")
    }


def count_work(seed=1, seconds=5.0):
    """Functions called per second by idle daemons, and for a command at its shard leader and at another voter."""
    fleet, random_source, numbers, done = (
        SimFleet(seed, BRIEF, ring_file_size=1 << 22).bring_up(),
        random.Random(seed),
        count(1),
        [],
    )
    fleet.run(QUIET)
    work, gate, leader = WorkCount(fleet), fleet["gate0"].node.node, fleet["control0"]
    client = ShardClient(gate)
    idle = work.during(fleet, seconds)
    results = {"idle, functions a second": _by_kind(fleet, idle)}

    async def claim_and_finish(key):
        claim = claim_of(next(numbers), gate.node_id, random_source)
        for command in ("claim", "finish"):
            asked_at = fleet.time.now
            await client.call(key, command, claim, 5.0)
            done.append(fleet.time.now - asked_at)

    async def arrive(until, address):
        while fleet.time.now < until:
            await sleep(gate.reactor, random_source.expovariate(ONE_RATE / 2))
            key = next(key for number in numbers if is_led_by(client, key := f"claim/bench/k{number}", address))
            spawn(claim_and_finish(key), fleet.lab_log)

    for name, address in (("one owner", leader.machine.peer), ("spread over all owners", None)):
        done.clear()
        spawn(arrive(fleet.time.now + seconds - 1.0, address), fleet.lab_log)
        spent = work.during(fleet, seconds)
        used = {one.name: (spent[one.name] - idle[one.name]) * seconds / len(done) for one in fleet.of_kind("control")}
        results[f"{name}, functions a command"] = (
            {"owner": round(used[leader.name]), "another voter": round((sum(used.values()) - used[leader.name]) / 4)}
            if address
            else {"each of five": round(sum(used.values()) / 5)}
        )
        results[f"{name}, ms (median, 99th)"] = [
            round(1000 * sorted(done)[int(len(done) * share)], 1) for share in (0.5, 0.99)
        ]
    return results


def processor_seconds(process_id):
    """Processor time of all threads of this process, as the kernel counts it."""
    with open(f"/proc/{process_id}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


class Bench:
    """A fleet of the required size, and a client of its own that calls the shard leaders as gateways do."""

    def __init__(self, reactor, folder, seed):
        self.reactor, self.random = reactor, random.Random(seed)
        self.fleet = Fleet(folder, "brief")
        self.node = Node(reactor, "gate", env_of(CLIENT, self.fleet.machines), self.random, lambda _record: None)
        self.client = ShardClient(self.node)
        self._numbers = count(1)
        self.failed = Counter()
        self.times = []

    async def bring_up(self):
        await deferToThread(self.fleet.bring_up)
        self.node.start()
        while any(self.client._believed(shard) is None for shard in range(32)):
            await sleep(self.reactor, 0.1)

    async def processor_shares(self, window=WINDOW):
        """The processor share of each daemon within the window."""
        readings = [
            {machine.name: processor_seconds(self.fleet.process_id(machine.name)) for machine in self.fleet.machines}
        ]
        started_at = self.reactor.seconds()
        await sleep(self.reactor, window)
        passed = self.reactor.seconds() - started_at
        return {
            name: (processor_seconds(self.fleet.process_id(name)) - before) / passed
            for name, before in readings[0].items()
        }

    def _key(self, leader):
        while True:
            key = f"claim/bench/k{next(self._numbers)}"
            if is_led_by(self.client, key, leader):
                return key

    async def _claim_and_finish(self, key):
        """A claim and its completion: two commands, each with one majority write."""
        claim = claim_of(next(self._numbers), self.node.node_id, self.random)
        try:
            for command in ("claim", "finish"):
                asked_at = self.reactor.seconds()
                await self.client.call(key, command, claim, 5.0)
                self.times.append(self.reactor.seconds() - asked_at)
        except OakrampError as error:
            self.failed[error.code] += 1

    async def load(self, rate, leader=None):
        """(processor share by daemon, commands per second) under this rate of commands, with random arrivals."""
        self.times, works, running = [], [], [True]

        async def arrive():
            due = self.reactor.seconds()
            while running:
                due += self.random.expovariate(rate / 2)
                await sleep(self.reactor, due - self.reactor.seconds())
                works.append(spawn(self._claim_and_finish(self._key(leader))))

        arriving = spawn(arrive())
        await sleep(self.reactor, QUIET)
        before = len(self.times)
        shares = await self.processor_shares()
        done = (len(self.times) - before) / WINDOW
        running.clear()
        await arriving
        await settled(works)
        return shares, done

    def percentiles(self):
        times = sorted(self.times)
        return [round(1000 * times[min(len(times) - 1, int(len(times) * share))], 1) for share in (0.5, 0.99)]


def _mean(shares, names):
    return sum(shares[name] for name in names) / len(names)


async def _measure(reactor, folder, seed):
    bench, results = Bench(reactor, folder, seed), {}
    try:
        await bench.bring_up()
        await sleep(reactor, QUIET)
        idle = await bench.processor_shares()
        by_kind = defaultdict(list)
        for machine in bench.fleet.machines:
            by_kind[machine.kind].append(machine.name)
        results["idle, percent of a core"] = {
            kind: f"{100 * _mean(idle, names):.1f}, most {100 * max(idle[name] for name in names):.1f}"
            for kind, names in by_kind.items()
        }
        controls, idle_control = by_kind["control"], _mean(idle, by_kind["control"])
        for rate in (SPREAD_RATE, 2 * SPREAD_RATE):
            shares, done = await bench.load(rate)
            results[f"spread over all owners, {rate} a second"] = {
                "us a command at each of five": round(1e6 * (_mean(shares, controls) - idle_control) / done),
                "done a second": done,
                "ms (median, 99th)": bench.percentiles(),
            }
        leader = bench.fleet.of_kind("control")[0]
        shares, done = await bench.load(ONE_RATE, leader.peer)
        voters = [name for name in controls if name != leader.name]
        results[f"one owner, {ONE_RATE} a second"] = {
            "us a command at the owner": round(1e6 * (shares[leader.name] - idle[leader.name]) / done),
            "us at another voter": round(1e6 * (_mean(shares, voters) - _mean(idle, voters)) / done),
            "done a second": done,
            "ms (median, 99th)": bench.percentiles(),
        }
        results["failed"] = dict(bench.failed)
    finally:
        await bench.node.stop()
        await deferToThread(bench.fleet.down)
    return results


def measure_commands(seed=1):
    reactor, outcome = monotonic_reactor(), []
    with tempfile.TemporaryDirectory() as folder:

        def run():
            ensureDeferred(_measure(reactor, folder, seed)).addBoth(outcome.append).addBoth(lambda _: reactor.stop())

        reactor.callWhenRunning(run)
        reactor.run()
    if isinstance(outcome[0], Failure):
        outcome[0].raiseException()
    return outcome[0]
