"""A few machines that hold a fenced task in turn, and the platform that they call, in simulated time and network.

The task is the real `FencedTask`; the leases come from a fake that gives the shard to one machine at a time, as the
control plane guarantees it: the next holder serves only once the lease of the previous one has ended.
"""

import random
from dataclasses import dataclass
from types import SimpleNamespace

from sortedcontainers import SortedDict

from oakramp.common.backend_room import BackendRoom
from oakramp.common.constants import LEASE, LEASE_HELD, LEASE_RENEW
from oakramp.common.fenced_call import FencedCall, PlainCallFormat
from oakramp.common.http_server import HttpServer
from oakramp.common.metrics import Metrics
from oakramp.common.structured_logging import EventLogger
from oakramp.common.tasks import sleep
from oakramp.control.fenced_task import CallOutcome, FencedCaller, FencedTask
from oakramp.control.shards import shard_of_key
from oakramp.testbed.simnet import SimHost, SimNetwork, SimReactor, SimTime

KEY = "usage"
SHARD = shard_of_key(KEY)
PLATFORM_IP, AUTHORITY_IP = "10.9.0.1", "10.9.0.2"
SILENCE = 1.2  # s without a renewal, after which the authority gives the shard to another machine
LOCK_DELAY_S = 1.5
THAW_S = 0.3


@dataclass
class Arrival:
    """A call as received by the platform."""

    at: float
    holder: str
    fence: int
    body: dict


class Platform:
    """A fake of the platform. Invariant: `arrivals` holds all calls received, in order, whatever was answered."""

    def __init__(self, world):
        self._reactor = SimReactor(SimHost(world.network, PLATFORM_IP))
        self.arrivals = []
        self.delay_s, self.status = 0.0, 200
        web = HttpServer(self._reactor, f"{PLATFORM_IP}:80", world.log, 1000)
        web.route("POST", "/usage", self._take)
        web.listen()

    async def _take(self, call):
        headers = call.request.requestHeaders
        holder, epoch = headers.getRawHeaders("holder")[0], headers.getRawHeaders("epoch")[0]
        self.arrivals.append(Arrival(self._reactor.seconds(), holder, int(epoch), call.json()))
        status = self.status
        await sleep(self._reactor, self.delay_s)
        return status, {}


class Leadership:
    """A fake of a shard leader, as far as the fenced task uses it."""

    def __init__(self, reactor, epoch):
        self._reactor, self.epoch = reactor, epoch
        self.shard = SHARD
        self.serves_since, self.lease_until, self.ended = reactor.seconds(), 0.0, False
        self.entries = SortedDict()

    def holds_lease(self):
        return not self.ended and self._reactor.seconds() < self.lease_until


class RepeatedCalls(FencedTask):
    """Calls whenever it may; repeats the same content until the platform has accepted it."""

    def __init__(self, world, *parts):
        super().__init__(*parts)
        self._world = world

    async def _work(self, leader):
        while self._may_call(leader):
            outcome = await self._call(leader, FencedCall("POST", "/usage", {"turn": self._world.turn}))
            if outcome is CallOutcome.ACCEPTED and leader.holds_lease():
                self._world.turn += 1


class FencedMachine:
    """A machine and its current process."""

    def __init__(self, world, number):
        self.world, self.name = world, f"core{number}"
        self.host = SimHost(world.network, f"10.1.0.{number + 1}")
        self.running = False
        self.starts = self.offers = 0

    def start(self):
        world = self.world
        self.starts += 1
        self.running = self.host.up = True
        self.reactor = SimReactor(self.host)
        env = {
            "machine": self.name,
            "http": f"{self.host.address}:81",
            "platform": f"{PLATFORM_IP}:80",
            "platformCallRate": world.platform_call_rate,
            "bounds": {"lock_delay_s": LOCK_DELAY_S, "thaw_s": THAW_S},
        }
        node = SimpleNamespace(
            reactor=self.reactor,
            env=env,
            log=world.log,
            random=random.Random(f"{world.seed}/{self.name}/{self.starts}"),
            watch_env=lambda watcher: None,
            backend_room=BackendRoom(),
        )
        self.leaders = SimpleNamespace(active={})
        self.metrics = Metrics()
        hand_over = SimpleNamespace(offer=self._offer)
        self.caller = FencedCaller(node, PlainCallFormat(), self.metrics, hand_over)
        self.task = RepeatedCalls(world, node, self.leaders, KEY, self.caller)
        self.caller.start()
        self.task.start()
        self.reactor.callLater(0, self._renew)

    async def _offer(self, _shard):
        self.offers += 1
        return False

    def kill(self):
        self.running = False
        self.host.end(power_cut=False)

    leader = property(lambda self: self.leaders.active.get(SHARD))

    def lead(self, epoch):
        self.release()
        self.leaders.active[SHARD] = Leadership(self.reactor, epoch)
        self._ask_renewal()

    def release(self):
        leader = self.leaders.active.pop(SHARD, None)
        if leader is not None:
            leader.ended = True

    def _renew(self):
        self._ask_renewal()
        self.reactor.callLater(LEASE_RENEW, self._renew)

    def _ask_renewal(self):
        leader = self.leader
        if leader is not None:
            asked_at = self.reactor.seconds()
            self.world.authority.ask(self, leader.epoch, lambda: self._renewed(leader, asked_at))

    @staticmethod
    def _renewed(leader, asked_at):
        leader.lease_until = max(leader.lease_until, asked_at + LEASE_HELD)


class Authority:
    """A fake of the voters' majority. Invariant: a new leader is chosen only once the lease that the previous one may
    hold has ended, or once the previous one has given the shard up."""

    def __init__(self, world):
        self._world = world
        self.holder, self.epoch, self._confirmed_at = None, 0, float("-inf")
        world.time.schedule(0.1, None, self._poll)

    def ask(self, machine, epoch, confirm):
        self._pass(machine.host.address, AUTHORITY_IP, None, self._confirm, machine, epoch, confirm)

    def _confirm(self, machine, epoch, confirm):
        if machine is self.holder and epoch == self.epoch:
            self._confirmed_at = self._world.time.now
            self._pass(AUTHORITY_IP, machine.host.address, machine.host, confirm)

    def _pass(self, source, target, host, function, *arguments):
        network = self._world.network
        if (source, target) not in network.cuts:
            self._world.time.schedule(network.delay(source, target), host, function, *arguments)

    def hand_over(self):
        """The holder gives the shard up as planned, and another machine leads at once."""
        if self.holder is not None and self.holder.running and not self.holder.host.frozen:
            self.holder.release()
            self._choose_other()

    def _poll(self):
        if self._world.time.now > self._confirmed_at + max(SILENCE, LEASE):
            self._choose_other()
        self._world.time.schedule(0.1, None, self._poll)

    def _choose_other(self):
        network = self._world.network
        eligible = [
            machine
            for machine in self._world.machines
            if machine.running
            and not machine.host.frozen
            and machine is not self.holder
            and (machine.host.address, AUTHORITY_IP) not in network.cuts
            and (AUTHORITY_IP, machine.host.address) not in network.cuts
        ]
        if eligible:
            self.holder = self._world.random.choice(eligible)
            self.epoch += 1
            self._confirmed_at = self._world.time.now
            self._world.time.schedule(0, self.holder.host, self.holder.lead, self.epoch)


class FencedWorld:
    """The machines, the authority, the platform and the network between them."""

    def __init__(self, seed, machines=3, platform_call_rate=8.0):
        self.seed, self.platform_call_rate = seed, platform_call_rate
        self.random = random.Random(f"duty world/{seed}")
        self.time = SimTime()
        self.network = SimNetwork(self.time, random.Random(f"net/{seed}"))
        self.lines = []
        self.log = EventLogger(lambda line: self.lines.append(f"{self.time.now:8.3f} {line}"))
        SimHost(self.network, AUTHORITY_IP)
        self.platform = Platform(self)
        self.turn = 0
        self.machines = [FencedMachine(self, number) for number in range(machines)]
        self.authority = Authority(self)
        for machine in self.machines:
            machine.start()

    def run(self, seconds):
        self.time.advance_to(self.time.now + seconds)

    def later(self, seconds, function, *arguments):
        self.time.schedule(seconds, None, function, *arguments)

    def until_calls(self, count=1, limit=10.0):
        """Runs until `count` more calls have been received."""
        wanted, end = len(self.platform.arrivals) + count, self.time.now + limit
        while len(self.platform.arrivals) < wanted:
            assert self.time.now < end, f"{count} calls were not received within {limit} s"
            self.run(0.01)

    @property
    def holder(self):
        return self.authority.holder

    def last_caller(self):
        """The machine that called last; the holder if none has."""
        name = self.platform.arrivals[-1].holder if self.platform.arrivals else None
        return next((machine for machine in self.machines if machine.name == name), self.holder)

    # --- faults ---

    def kill(self, machine, down_s):
        if machine is not None and machine.running:
            machine.kill()
            self.later(down_s, machine.start)

    def freeze(self, machine, seconds):
        if machine is not None and machine.running:
            machine.host.freeze()
            self.later(seconds, machine.host.thaw)

    def cut(self, pairs, seconds):
        self.network.hold(pairs)
        self.later(seconds, self.network.let_go, pairs)

    def degrade_platform(self, delay_s, status, seconds):
        self.platform.delay_s, self.platform.status = delay_s, status
        self.later(seconds, self._restore_platform)

    def _restore_platform(self):
        self.platform.delay_s, self.platform.status = 0.0, 200

    def random_fault(self):
        """Causes a random fault of the machine that called last, of its links or of the platform."""
        draw, machine = self.random, self.last_caller()
        host = machine.host.address if machine else AUTHORITY_IP
        span = draw.uniform(0.2, 3.0)
        ways = [(host, AUTHORITY_IP), (AUTHORITY_IP, host), (host, PLATFORM_IP), (PLATFORM_IP, host)]
        draw.choice(
            (
                lambda: self.kill(machine, span),
                lambda: self.freeze(machine, span),
                lambda: self.cut(set(draw.sample(ways, draw.randint(1, 3))), span),
                lambda: self.cut({(host, AUTHORITY_IP), (AUTHORITY_IP, host)}, span),
                lambda: self.degrade_platform(draw.uniform(0.3, 3.0), 200, span),
                lambda: self.degrade_platform(0.0, draw.choice((429, 500, 503)), span),
                self.authority.hand_over,
            )
        )()


def faults_of_calls(arrivals, lease_s):
    """One line for each violation, by these calls, of the rule that only one node acts at a time."""
    faults, highest, holder_of, acts = [], 0, {}, []
    for call in arrivals:
        if call.fence < highest:
            faults.append(f"{call.at:.3f}: {call.holder} calls with fence {call.fence} after {highest}")
        highest = max(highest, call.fence)
        if holder_of.setdefault(call.fence, call.holder) != call.holder:
            faults.append(f"{call.at:.3f}: fence {call.fence} is used by {call.holder} and {holder_of[call.fence]}")
        earlier = [act for act in acts if call.at - act.at < lease_s]
        between = [act.at for act in earlier if act.holder != call.holder]
        if between and any(act.holder == call.holder and act.at < max(between) for act in earlier):
            faults.append(f"{call.at:.3f}: {call.holder} calls again within the lease of another")
        acts.append(call)
    return faults
