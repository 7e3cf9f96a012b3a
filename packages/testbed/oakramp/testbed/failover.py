"""Duration of the outage after the failure of one shard leader of the control state, on simulated time.

Each trial starts a fleet of its own, so a seed gives the same figures in every run.
"""

from dataclasses import dataclass, field

from twisted.internet.defer import ensureDeferred

from oakramp.common.errors import OakrampError
from oakramp.common.tasks import sleep, spawn
from oakramp.control.shards import shard_of_key
from oakramp.testbed.plan import blueprint_of
from oakramp.testbed.simfleet import SimFleet

PARTNER = "dalatech"
PLAN_KEY = f"blueprint/{PARTNER}"
ORDER_TIMEOUT = 1.0  # s; an operator without a response for so long tries another node
ORDER_PAUSE = 0.2  # s; an operator waits so long after a 503
ORDER_EVERY = 0.05  # s; between two orders while a member stops
WATCHED = 2.0  # s; orders are still sent for so long after the member has stopped
OUTAGE_LIMIT = 30.0  # s; a trial that takes longer has failed


@dataclass
class FailoverTrial:
    """Seconds from the fault to each event of the failover of the plan's shard."""

    fault: str
    seed: int
    noticed: float | None = None
    taken: float | None = None
    order: float | None = None
    turn: float | None = None


@dataclass
class StopTrial:
    """The duration in seconds of each order that was sent while a member stopped."""

    seed: int
    orders: list = field(default_factory=list)


def _kill(fleet, victim):
    victim.kill()


def _power(fleet, victim):
    victim.power_cut()


def _freeze(fleet, victim):
    victim.freeze()


def _cut(fleet, victim):
    others = [one.host.address for one in fleet.by_name.values() if one is not victim]
    fleet.network.cut([victim.host.address], others)


def _restart(pause):
    """A fault that kills the node and starts it again after so many seconds."""

    def restart(fleet, victim):
        victim.kill()
        fleet.operator_reactor.callLater(pause, victim.start)

    return restart


FAULTS = {
    "killed": _kill,
    "power cut": _power,
    "frozen": _freeze,
    "cut off": _cut,
    "restarted after 0.3 s": _restart(0.3),
    "restarted after 1 s": _restart(1.0),
    "restarted after 1.6 s": _restart(1.6),
}


class OrderSender:
    """An operator that sends orders through one node after another, except those in `left_out`."""

    def __init__(self, fleet, left_out=()):
        self._fleet, self._reactor = fleet, fleet.operator_reactor
        self._addresses = [one.machine.http for one in fleet.of_kind("control") if one not in left_out]

    async def send(self):
        """Sends one order; returns the seconds until it was acknowledged."""
        started_at = self._reactor.seconds()
        address = self._fleet.random.choice(self._addresses)
        while True:
            if await self._is_acknowledged(address):
                return self._reactor.seconds() - started_at
            address = self._addresses[(self._addresses.index(address) + 1) % len(self._addresses)]

    async def _is_acknowledged(self, address):
        """One attempt: reads the plan's version, which its leader answers within its lease, and sends a change based on
        it."""
        client = self._fleet.operator._client
        try:
            status, response = await client.json("GET", address, f"/v1/blueprints/{PARTNER}", None, ORDER_TIMEOUT)
            if status == 200:
                change = {
                    "changeId": f"c{self._fleet.random.getrandbits(64):x}",
                    "basedOn": response["version"],
                    "blueprint": blueprint_of(PARTNER, f"{PARTNER}-plan-1"),
                }
                status, _ = await client.json("PUT", address, f"/v1/blueprints/{PARTNER}", change, ORDER_TIMEOUT)
                if status in (200, 409):  # 409: another order came first, and a majority has it
                    return True
        except OakrampError:
            return False
        await sleep(self._reactor, ORDER_PAUSE)
        return False


def _leader_of(fleet, key):
    shard = shard_of_key(key)
    return next(one for one in fleet.of_kind("control") if one.running and shard in one.node.leaders.active)


def _program_led_by(fleet, leader):
    """The name of a program whose budget this machine leads."""
    held = leader.node.leaders.active
    return next(name for number in range(10000) if shard_of_key(f"budget/{PARTNER}/{(name := f'p{number}')}") in held)


def _first_event(fleet, name, shard, since):
    wanted = f"shard={shard} "
    return next(
        (
            float(line.split()[0]) - since
            for line in fleet.lines
            if f"event={name} " in line and wanted in f"{line} " and float(line.split()[0]) >= since
        ),
        None,
    )


def run_failover(fault, seed):
    """One shard leader fails; an order and a turn that need it are sent at that moment."""
    fleet = SimFleet(seed, piece_time=0.0).bring_up()
    victim = _leader_of(fleet, PLAN_KEY)
    program = _program_led_by(fleet, victim)
    fleet.until(fleet.client.open_program(PARTNER, program, 100000))
    fleet.run(2.0 + fleet.random.uniform(0.0, 0.5))
    victim = _leader_of(fleet, PLAN_KEY)
    failed_at = fleet.time.now
    FAULTS[fault](fleet, victim)
    trial = FailoverTrial(fault, seed)

    async def order():
        trial.order = await OrderSender(fleet, [victim]).send()

    async def turn():
        asked = await fleet.client.turn(PARTNER, program, "l", None, "abc")
        ended = asked.ended()
        trial.turn = ended.first_at - failed_at if ended else None

    works = [spawn(order(), fleet.lab_log), spawn(turn(), fleet.lab_log)]
    for work in works:
        fleet.until(work, OUTAGE_LIMIT)
    trial.noticed = _first_event(fleet, "failover_started", shard_of_key(PLAN_KEY), failed_at)
    trial.taken = _first_event(fleet, "shard_leader_elected", shard_of_key(PLAN_KEY), failed_at)
    return trial


def run_planned_stop(seed):
    """The leader of the plan's shard stops gracefully, while orders are sent steadily through the other members."""
    fleet = SimFleet(seed).bring_up()
    fleet.run(2.0 + fleet.random.uniform(0.0, 0.5))
    victim = _leader_of(fleet, PLAN_KEY)
    trial, sender = StopTrial(seed), OrderSender(fleet, [victim])

    async def one_order():
        trial.orders.append(await sender.send())

    victim.stop()
    works, stopped_at = [], None
    while stopped_at is None or fleet.time.now < stopped_at + WATCHED:
        works.append(ensureDeferred(one_order()))
        fleet.run(ORDER_EVERY)
        if stopped_at is None and not victim.running:
            stopped_at = fleet.time.now
    for work in works:
        fleet.until(work, OUTAGE_LIMIT)
    return trial


def count_needless_failovers(seed, freeze=0.5, rounds=10):
    """The number of failovers that start while each control node in turn is frozen for so long."""
    fleet = SimFleet(seed).bring_up()
    fleet.run(3.0)
    since = len(fleet.lines)
    for number in range(rounds):
        frozen = fleet.of_kind("control")[number % len(fleet.of_kind("control"))]
        frozen.freeze()
        fleet.run(freeze)
        frozen.thaw()
        fleet.run(1.0 + fleet.random.uniform(0.0, 0.3))
    return sum("event=failover_started " in line for line in fleet.lines[since:])


def share(times, fraction):
    """The percentile of the times at this share."""
    ordered = sorted(times)
    return round(ordered[min(len(ordered) - 1, int(fraction * len(ordered)))], 2)


def measure_failover(seed, trials=20):
    """The figures of all faults, by name."""
    figures = {}
    for fault in FAULTS:
        runs = [run_failover(fault, seed + number) for number in range(trials)]
        for what in ("noticed", "taken", "order", "turn"):
            times = [getattr(run, what) for run in runs]
            figures[f"{fault}: {what}"] = {
                "median": share(times, 0.5),
                "95 of 100": share(times, 0.95),
                "worst": max(times),
            }
    held = [took for number in range(trials) for took in run_planned_stop(seed + number).orders]
    figures["planned stop: order"] = {"95 of 100": share(held, 0.95), "worst": round(max(held), 2)}
    figures["frozen for 0.5 s, ten times: slots taken over"] = sum(
        count_needless_failovers(seed + number) for number in range(5)
    )
    return figures
