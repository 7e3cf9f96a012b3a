"""Seeded trials in which one operator sends order after order, and the time that each order waits without faults.

An order is a change of the configuration, based on the newest version and retried unchanged, at random control nodes,
until it is acknowledged. The operator gives up on a node after 1 s without an answer, and its pause between two tries
doubles. Faults are injected one after another with calm periods between them. The measured wait of an order is the time
from when it was sent, or from CALM_AFTER seconds after the last fault if that is later, to its acknowledgement.
By hand:

    python tests/order_delay_trial.py 1-50 [gateways] [stores] [control nodes] [pairs, or fault ...]
"""

import json
import os
import random
import sys
from dataclasses import dataclass, field

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from oakramp.common.registry import Registry  # noqa: E402
from oakramp.common.tasks import settled, sleep, spawn  # noqa: E402
from oakramp.control.routing import ROUTING_KEY  # noqa: E402
from oakramp.control.shards import shard_of_key  # noqa: E402
from relay_callers import ask_once  # noqa: E402
from relay_fleet import RelayFleet, RelayMachine, mark_route, route  # noqa: E402

FAULTS = Registry("trouble")
ANSWER_TIMEOUT = 1.0  # s; without an answer for this long the operator tries another node
PAUSE_LEAST, PAUSE_MOST = 0.1, 4.0  # s; between two tries of an order, doubled with each
ORDER_PAUSE = 0.1  # s; from an acknowledgement to the next order
FORMED_S = 10.0  # s; until the first fault
CALM_AFTER = 5.0  # s; after the end of a fault the calm period begins
CALM_S = 6.5  # s; the calm period between two faults
ROUTES = 60
FINAL = (400, 409, 412, 413, 422)


@dataclass
class SentOrder:
    """One order; times are simulated seconds."""

    version: int
    method: str
    sent_at: float
    tries: list = field(default_factory=list)  # (sent at, control node, status or None, answered at) of each try
    acknowledged_at: float | None = None

    def wait_within(self, spans, now):
        """The longest wait for the acknowledgement within one of the spans, (begin, end) pairs."""
        until = now if self.acknowledged_at is None else self.acknowledged_at
        return max((min(until, end) - max(self.sent_at, begin) for begin, end in spans), default=0.0)


class OrderDelayTrial:
    """One trial. `calms` are the calm periods so far, `orders` all orders sent."""

    def __init__(self, seed, faults=(), gates=3, stores=3, cores=5):
        self.random = random.Random(f"order delays {seed}")
        self.fleet = RelayFleet(seed, gates=gates, stores=stores, cores=cores)
        self.fleet.network._low, self.fleet.network._high = 0.0012, 0.0016
        self.faults = faults or FAULTS.names()
        self.orders, self.calms, self.after_faults, self.refused = [], [], [], []
        self.busy = set()  # names of control machines with a fault
        self.version, self.loading = 1, True
        self.joined = 0  # control machines added to the initial ones

    # --- the operator ---

    def _document(self, version):
        document = self.fleet.make_document(version)
        more = [route(f"more{number}", f"/more{number}/", "safe", "api") for number in range(ROUTES)]
        return document | {"mail_routes": document["mail_routes"] + more}

    def _order(self):
        """(method, body) of the next change: half of them replace the whole document, the others are patches."""
        version = self.version + 1
        if self.random.random() < 0.5:
            return "PUT", self._document(version)
        return "PATCH", {
            "edition": version,
            "upsert": {"mail_routes": [mark_route(version)]},
            "remove": {"mail_routes": [f"mark{self.version}"]},
        }

    async def operate(self):
        """Sends one order after another."""
        while self.loading:
            method, body = self._order()
            order = SentOrder(self.version + 1, method, self.fleet.time.now)
            self.orders.append(order)
            await self._send(order, json.dumps(body).encode())
            await sleep(self.fleet.operator_reactor, ORDER_PAUSE)

    async def _send(self, order, body):
        pause, reactor = PAUSE_LEAST, self.fleet.operator_reactor
        headers = [("Content-Type", "application/json"), ("If-Match", str(self.version))]
        while self.loading:
            node = self.random.choice(self.fleet.of_kind("core"))
            sent_at = self.fleet.time.now
            status, message = await ask_once(
                reactor, node.control_address, order.method, "/config", headers, body, ANSWER_TIMEOUT
            )
            order.tries.append((sent_at, node.name, status, self.fleet.time.now))
            if status == 200:
                order.acknowledged_at, self.version = self.fleet.time.now, order.version
                return
            if status in FINAL:
                self.refused.append((order, status, message.body))
                return
            await sleep(reactor, pause)
            pause = min(PAUSE_MOST, 2 * pause)

    # --- the trial ---

    def play(self):
        fleet = self.fleet
        for machine in fleet.machines.values():
            machine.start()
        fleet.adopt(fleet.until(fleet.operator.put(self._document(1)), 20.0))
        spawn(self.operate(), fleet.lab_log)
        fleet.run(FORMED_S)
        fleet.first_start = False
        for names in self.faults:
            fleet.until(settled([FAULTS.find(name)(self) for name in names.split("+")]), 120.0)
            self.busy.clear()
            ended = fleet.time.now
            fleet.run(CALM_AFTER + CALM_S)
            self.after_faults.append((ended, fleet.time.now))
            self.calms.append((ended + CALM_AFTER, fleet.time.now))
        self.loading = False
        return self

    def longest(self, spans):
        """(seconds, order) of the longest wait within one of these spans, as in `calms` and `after_faults`."""
        waits = [(order.wait_within(spans, self.fleet.time.now), order) for order in self.orders]
        return max(waits, key=lambda one: one[0])

    # --- used by faults ---

    async def wait(self, seconds):
        await sleep(self.fleet.lab_reactor, seconds)

    def cores(self):
        return self.fleet.of_kind("core")

    def leader(self):
        """The control node that leads the configuration's shard, or any running one."""
        shard = shard_of_key(ROUTING_KEY)
        running = [one for one in self.cores() if one.running and not one.host.frozen]
        return next((one for one in running if shard in one.node.leaders.active), self.random.choice(running))

    def victim(self):
        """A control machine without a fault; mostly the leader."""
        free = [one for one in self.cores() if one.name not in self.busy]
        leader = self.leader()
        one = leader if leader in free and self.random.random() < 0.7 else self.random.choice(free)
        self.busy.add(one.name)
        return one


async def _herd(trial, share=0.55, away=2.0):
    gates = trial.fleet.of_kind("gate")
    herd = trial.random.sample(gates, max(1, int(share * len(gates))))
    for one in herd:
        one.kill()
    await trial.wait(away)
    for one in herd:
        one.start()


@FAULTS.enter("core killed beside a herd")
async def _core_killed(trial):
    herd = spawn(_herd(trial), trial.fleet.lab_log)
    for one in trial.cores():
        one.kill()
    for one in trial.random.sample(trial.cores(), len(trial.cores())):
        await trial.wait(trial.random.uniform(0.0, 0.2))
        one.start()
    await herd


@FAULTS.enter("power of all")
async def _power(trial):
    machines = list(trial.fleet.machines.values())
    for one in machines:
        one.power_cut()
    await trial.wait(3.0)
    trial.random.shuffle(machines)
    for one in machines:
        await trial.wait(0.3 / len(machines))
        one.start()


@FAULTS.enter("frozen")
async def _frozen(trial):
    one = trial.victim()
    one.freeze()
    await trial.wait(trial.random.uniform(0.3, 5.5))
    one.thaw()


@FAULTS.enter("cut off")
async def _cut(trial):
    one, directions = trial.victim(), trial.random.choice((0, 1, 2))
    others = [other.host.address for other in trial.fleet.machines.values() if other is not one]
    if trial.random.random() < 0.5:
        others = [other.host.address for other in trial.cores() if other is not one]
    outgoing, incoming = (
        {(one.host.address, other) for other in others},
        {(other, one.host.address) for other in others},
    )
    pairs = (outgoing, incoming, outgoing | incoming)[directions]
    trial.fleet.network.hold(pairs)
    await trial.wait(trial.random.uniform(0.5, 5.5))
    trial.fleet.network.let_go(pairs)


@FAULTS.enter("halves")
async def _halves(trial):
    shuffled = trial.random.sample(trial.cores(), len(trial.cores()))
    half = [one.host.address for one in shuffled[: len(shuffled) // 2]]
    rest = [one.host.address for one in shuffled[len(shuffled) // 2 :]]
    pairs = {(a, b) for a in half for b in rest} | {(b, a) for a in half for b in rest}
    trial.fleet.network.hold(pairs)
    await trial.wait(5.5)
    trial.fleet.network.let_go(pairs)


@FAULTS.enter("killed")
async def _killed(trial):
    one = trial.victim()
    one.kill()
    await trial.wait(trial.random.uniform(0.1, 3.5))
    one.start()


@FAULTS.enter("dark")
async def _dark(trial):
    one = trial.victim()
    one.power_cut()
    await trial.wait(trial.random.uniform(0.5, 7.0))
    one.start()


@FAULTS.enter("wiped")
async def _wiped(trial):
    one = trial.victim()
    one.power_cut()
    one.lose_disk()
    await trial.wait(trial.random.uniform(0.3, 4.0))
    one.start()


@FAULTS.enter("two wiped")
async def _two_wiped(trial):
    two = trial.random.sample(trial.cores(), 2)
    for one in two:
        one.power_cut()
        one.lose_disk()
    await trial.wait(trial.random.uniform(0.3, 4.0))
    for one in two:
        one.start()


@FAULTS.enter("slow disk")
async def _slow_disk(trial):
    one = trial.victim()
    one.disk.sync_time *= 25
    await trial.wait(5.5)
    one.disk.sync_time /= 25


@FAULTS.enter("stopped in turn")
async def _rolled(trial):
    for one in trial.cores():
        await one.stop()
        one.start()
        await trial.wait(1.0)


@FAULTS.enter("replaced")
async def _replaced(trial):
    """Removed permanently; an empty machine starts at another address."""
    fleet, one = trial.fleet, trial.victim()
    one.power_cut()
    del fleet.machines[one.name]
    await trial.wait(trial.random.uniform(0.2, 4.0))
    trial.joined += 1
    newcomer = RelayMachine(fleet, "core", 20 + trial.joined, one.zone)
    fleet.machines[newcomer.name] = newcomer
    newcomer.start()


@FAULTS.enter("leader cut one way and raced")
async def _cut_and_raced(trial):
    """What the leader sends to the others is held back, while another node is wiped."""
    leader = trial.leader()
    others = [one for one in trial.cores() if one is not leader]
    pairs = {(leader.host.address, one.host.address) for one in others}
    trial.fleet.network.hold(pairs)
    await trial.wait(1.0)
    wiped = trial.random.choice(others)
    wiped.power_cut()
    wiped.lose_disk()
    await trial.wait(3.0)
    wiped.start()
    await trial.wait(1.5)
    trial.fleet.network.let_go(pairs)


@FAULTS.enter("disk refuses")
async def _disk_refuses(trial):
    one = trial.victim()
    one.disk.failing = True
    await trial.wait(trial.random.uniform(0.5, 5.0))
    one.disk.failing = False


@FAULTS.enter("settings and time of day")
async def _settings_and_clocks(trial):
    """The clock jumps on some machines, which also reload their settings with the seeds in another order."""
    for one in trial.fleet.machines.values():
        if trial.random.random() < 0.6:
            one.wall_offset -= 2400.0
            env = one.env(trial.fleet.seeds()[::-1])
            one.node.node.settings_changed(env)
            await trial.wait(0.05)


@FAULTS.enter("herd")
async def _only_herd(trial):
    await _herd(trial)


def pairs_of_faults(source):
    """Each fault of one machine together with another, both at the same time."""
    single_faults = ["frozen", "cut off", "killed", "dark", "slow disk", "disk refuses"]
    pairs = [f"{first}+{second}" for first in single_faults for second in [*single_faults, "wiped", "replaced"]]
    return source.sample(pairs, 12)


def main():
    first, last = map(int, sys.argv[1].split("-"))
    sizes = [*map(int, sys.argv[2:5]), *(3, 3, 5)[len(sys.argv[2:5]) :]]
    longest = longest_after = 0.0
    for seed in range(first, last + 1):
        names, source = sorted(FAULTS.names()), random.Random(seed)
        faults = sys.argv[5:] or source.sample(names, len(names))
        trial = OrderDelayTrial(seed, pairs_of_faults(source) if faults == ["pairs"] else faults, *sizes).play()
        (wait, order), (wait_after, order_after) = trial.longest(trial.calms), trial.longest(trial.after_faults)
        longest, longest_after = max(wait, longest), max(wait_after, longest_after)
        taken = sum(one.acknowledged_at is not None for one in trial.orders)
        print(
            f"seed {seed}: {wait:.2f} s in calm, {wait_after:.2f} s after a fault, at {order_after.sent_at:.1f};",
            end=" ",
        )
        print(f"{taken} of {len(trial.orders)} acknowledged", trial.refused[:2], flush=True)
        if wait > 1.0:
            print(trial.faults, trial.calms, order, sep="\n", flush=True)
    print(f"longest {longest:.2f} s in calm, {longest_after:.2f} s after a fault")


if __name__ == "__main__":
    main()
