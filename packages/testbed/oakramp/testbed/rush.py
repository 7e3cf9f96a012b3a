"""Goodput of the gateways' admission control, compared with other policies, when more programs arrive than the replicas
can serve in time.

Runs the real balancers and program tables of the gateways on models of engines that interleave prefill with the
decoding of all their running requests. As with the users, programs have several turns and a target time, and their
clients retry a few times after a rejection. A policy earns the value of each program that ends within its target time,
and LATE_WORTH of it within twice that time."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from types import SimpleNamespace
from typing import Any

from twisted.internet.defer import Deferred

from oakramp.common.constants import PLACEMENT_WAIT_SHARE, QUEUE_WAIT_SHARE
from oakramp.common.errors import OakrampError
from oakramp.common.registry import Registry
from oakramp.common.structured_logging import EventLogger
from oakramp.common.tasks import sleep, spawn
from oakramp.common.validation import pack_json
from oakramp.control.replica_registry import REPLICAS_KEY
from oakramp.gateway.balancer import Balancer, PlacementRequest
from oakramp.gateway.programs import Programs
from oakramp.gateway.proxy_types import ProxyRequest
from oakramp.gossip.state_table import StateTable
from oakramp.testbed.engine import Engine, Job, Kind
from oakramp.testbed.simnet import SimHost, SimNetwork, SimReactor, SimTime

SERVICE = "lm"
ZONES = ("za", "zb", "zc")
ENGINE = Kind(berths=16, cache_tokens=600_000, read_s=1 / 227_000, step_s=0.023, batch_s=0.00077, piece=8192)
PIECES = 9  # of a turn's response; a step of the engine produces one for each request
SHARED_TOKENS = 12_600  # of the prompt prefix that all programs share
TURN_TOKENS = 1_680  # added by each turn
TURNS = (2, 3, 4, 4, 5, 6)  # of a program, drawn uniformly
PAUSE_S = 0.3  # between turns of a program
AIM_TIMES, AIM_MORE_S = 1.6, 0.25  # a program's target time: AIM_TIMES its time on idle replicas, plus AIM_MORE_S
LATE_WORTH = 0.3
TURN_TIME_S = 3.0  # deadline of a turn
TARGET_S = 0.25  # target time to the first event of a turn
ATTEMPTS, RESENDS = 2, 2  # attempts of a turn, and how often all of them are repeated
RESEND_PAUSE_S = (0.1, 0.4)
LIMITS = (4, 6, 8, 10, 12, 16, 24, 32)  # programs in progress per replica; the hindsight policy uses the best of these
POLICIES: Registry = Registry("policy")


def replica_row(name: str, zone: str, state: str = "ready") -> bytes:
    """A row of the replica list, as gateways get it."""
    row = {"id": name, "address": "10.1.0.1:80", "pool": SERVICE, "state": state, "zone": zone}
    return pack_json(row | {"slots": ENGINE.berths})


@dataclass(frozen=True)
class Scene:
    """The mean number of programs that begin per second, and that in a rush from `rush_from` to `rush_to` (seconds)."""

    rate: float
    rush_rate: float = 0.0
    rush_from: float = 0.0
    rush_to: float = 0.0
    seconds: float = 20.0
    replicas: int = 6
    gateways: int = 8

    def rate_at(self, now: float) -> float:
        """The mean number of programs that begin per second at this time."""
        return self.rush_rate if self.rush_from <= now < self.rush_to else self.rate


@dataclass
class Program:
    """One program and its outcome: `earned` is the earned share of its value, `ended_at` is None until it has ended."""

    name: str
    turns: int
    began_at: float
    aim_s: float
    earned: float = 0.0
    ended_at: float | None = None


@dataclass
class Site:
    """One run. `programs` has a row for each arrived program."""

    scene: Scene
    seed: int
    limit: int = 0  # programs in progress per replica, for the hindsight policy
    programs: list[Program] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.random, self.time = random.Random(f"rush/{self.seed}"), SimTime()
        self.reactor = SimReactor(SimHost(SimNetwork(self.time, self.random), "10.0.0.1"))
        self.log = EventLogger(lambda line: None)
        self.engines = {f"r{number}": Engine(self.reactor, ENGINE) for number in range(self.scene.replicas)}
        self.gateways = [self._gateway(number) for number in range(self.scene.gateways)]
        self.in_progress: dict[str, str] = {}  # program -> its replica, for the hindsight policy
        self._numbers = count()

    def _gateway(self, number: int) -> Any:
        state_table = StateTable(self.reactor)
        rows = {name: replica_row(name, ZONES[position % len(ZONES)]) for position, name in enumerate(self.engines)}
        node = SimpleNamespace(
            reactor=self.reactor,
            state_table=state_table,
            random=random.Random(f"{self.seed}/{number}"),
            env={"zone": ZONES[number % len(ZONES)]},
            members=SimpleNamespace(live_count=lambda kind: self.scene.gateways),
            gossip_client=SimpleNamespace(publish_item=lambda name, value: None, source=f"node/g{number}/1"),
        )
        balancer = Balancer(node, self.log)
        state_table.set_items(REPLICAS_KEY, 1, rows)
        return SimpleNamespace(balancer=balancer, programs=Programs(), state_table=state_table)

    # --- load ---

    async def _arrive(self) -> None:
        random_source = random.Random(f"arrivals/{self.seed}")
        while self.reactor.seconds() < self.scene.seconds:
            await sleep(self.reactor, random_source.expovariate(self.scene.rate_at(self.reactor.seconds())))
            turns = random_source.choice(TURNS)
            idle_s = turns * idle_turn_s() + (turns - 1) * PAUSE_S
            program = Program(f"p{next(self._numbers)}", turns, self.reactor.seconds(), AIM_TIMES * idle_s + AIM_MORE_S)
            self.programs.append(program)
            spawn(self._run_program(program, random_source.randrange(self.scene.gateways)), self.log)

    async def _run_program(self, program: Program, first_gateway: int) -> None:
        parts: tuple = (("shared", SHARED_TOKENS),)
        for turn in range(program.turns):
            parts += ((f"{program.name}/{turn}", TURN_TOKENS),)
            if not await self._run_turn(program, parts, turn, first_gateway):
                self.in_progress.pop(program.name, None)
                return
            if turn < program.turns - 1:
                await sleep(self.reactor, PAUSE_S)
        self.in_progress.pop(program.name, None)
        program.ended_at = self.reactor.seconds()
        took_s = program.ended_at - program.began_at
        program.earned = 1.0 if took_s <= program.aim_s else LATE_WORTH if took_s <= 2 * program.aim_s else 0.0

    async def _run_turn(self, program: Program, parts: tuple, turn: int, first_gateway: int) -> bool:
        """Whether the turn was served, within the attempts of a client."""
        for resend in range(1 + RESENDS):
            for attempt in range(ATTEMPTS):
                gateway = self.gateways[(first_gateway + attempt) % len(self.gateways)]
                try:
                    await self.serve(self, gateway, program, parts, turn)
                    return True
                except OakrampError as error:
                    if error.retry_after is None:
                        return False
                    await sleep(self.reactor, min(error.retry_after, TURN_TIME_S / 3))
            if resend < RESENDS:
                await sleep(self.reactor, self.random.uniform(*RESEND_PAUSE_S))
        return False

    serve: Any = None  # the policy: async function of the site, a gateway, the program, the prompt's parts and the turn

    async def run_at(self, name: str, parts: tuple, on_first: Callable[[], None] = lambda: None) -> None:
        """Runs a turn on this replica to its end."""
        ended: Deferred = Deferred()
        self.engines[name].submit(Job(parts, PIECES, on_first, lambda: ended.callback(None)))
        await ended

    def run(self) -> Site:
        """Runs the scene to its end, and the programs that are still in progress then."""
        spawn(self._arrive(), self.log)
        self.time.advance_to(self.scene.seconds + 20.0)
        return self

    def earned(self, since: float = 0.0, until: float = float("inf")) -> float:
        """The share of the value earned by the programs that began in this time."""
        chosen = [one for one in self.programs if since <= one.began_at < until]
        return sum(one.earned for one in chosen) / max(1, len(chosen))

    def goodput(self) -> float:
        """The value of programs earned per second."""
        return sum(one.earned for one in self.programs) / self.scene.seconds


def idle_turn_s() -> float:
    """Seconds that a turn takes on an idle replica that has all but the turn's own tokens cached."""
    return TURN_TOKENS * ENGINE.read_s + (PIECES + 1) * (ENGINE.step_s + ENGINE.batch_s)


# --- policies: how a turn gets its replica -------------------------------------


async def _serve_by_gateway(site: Site, gateway: Any, program: Program, parts: tuple, turn: int, admits: bool) -> None:
    now = site.reactor.seconds()
    request = ProxyRequest(program=program.name, previous_turn=f"{turn - 1}" if turn else None)
    begins = admits and gateway.programs.is_first_turn(request)
    max_wait_s = TURN_TIME_S * QUEUE_WAIT_SHARE
    if begins:
        max_wait_s = gateway.programs.max_wait_s(max_wait_s, TARGET_S)
    placement_request = PlacementRequest(
        SERVICE,
        ENGINE.berths,
        (begins, 0),
        now + max_wait_s,
        program.name,
        finish_at=program.began_at + program.aim_s,
        admission_threshold=gateway.programs.admission_threshold(0) if begins else None,
        last_replica_id=gateway.programs.last_replica_id(request),
        prefer_planned_until=now + max_wait_s * PLACEMENT_WAIT_SHARE,
    )
    if begins and gateway.programs.reserved_share >= 1.0:
        gateway.balancer.check_program_admission(placement_request)
    instance = await gateway.balancer.acquire(placement_request)
    name = instance.row["id"]
    gateway.programs.record_turn(request, name)
    try:
        await site.run_at(name, parts, lambda: gateway.balancer.record_load(instance, site.engines[name].load()))
    finally:
        gateway.balancer.release(instance)


@POLICIES.enter("gateways")
async def _gateways(site: Site, gateway: Any, program: Program, parts: tuple, turn: int) -> None:
    """The gateways' real admission control."""
    await _serve_by_gateway(site, gateway, program, parts, turn, admits=True)


@POLICIES.enter("no admission")
async def _no_admission(site: Site, gateway: Any, program: Program, parts: tuple, turn: int) -> None:
    """The same gateways without admission control: every program may begin."""
    await _serve_by_gateway(site, gateway, program, parts, turn, admits=False)


@POLICIES.enter("random")
async def _random(site: Site, _gateway: Any, _program: Program, parts: tuple, _turn: int) -> None:
    """A random replica, without waiting."""
    await site.run_at(site.random.choice(list(site.engines)), parts)


@POLICIES.enter("hindsight")
async def _hindsight(site: Site, _gateway: Any, program: Program, parts: tuple, _turn: int) -> None:
    """A central scheduler that knows the programs of every replica: each program stays on the replica with its prompts,
    and at most `limit` programs are in progress on a replica; any other program is rejected for good, at no cost."""
    if program.name not in site.in_progress:
        used_replicas = list(site.in_progress.values())
        name = min(site.engines, key=used_replicas.count)
        if used_replicas.count(name) >= site.limit:
            raise OakrampError("no replica has capacity for another program")
        site.in_progress[program.name] = name
    await site.run_at(site.in_progress[program.name], parts)


def play(policy: str, scene: Scene, seed: int) -> Site:
    """One run of a policy; for the hindsight policy, the best of the runs with each of LIMITS."""
    limits = LIMITS if policy == "hindsight" else (0,)
    runs = []
    for limit in limits:
        site = Site(scene, seed, limit)
        site.serve = POLICIES.find(policy)
        runs.append(site.run())
    return max(runs, key=Site.goodput)
