"""More programs than the replicas can serve in time: what the gateways' admission earns, beside other policies.

The gateways' own balancers and their own memory of programs, over engines that read prompts between the tokens of all
that run there. Programs have several turns, an aim and callers that come back a few times after a refusal, as the
users' do. What a policy earns is the worth of programs that end within their aim, and LATE_WORTH of it within twice
that time.
"""

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
PIECES = 9  # of a turn's answer; a step of the engine puts out one for each request
SHARED_TOKENS = 12_600  # of a prompt that all programs begin with
TURN_TOKENS = 1_680  # that each turn adds
TURNS = (2, 3, 4, 4, 5, 6)  # of a program, drawn with equal chances
PAUSE_S = 0.3  # between turns of a program
AIM_TIMES, AIM_MORE_S = 1.6, 0.25  # a program's aim: so many times its time on idle replicas, and so much more
LATE_WORTH = 0.3
TURN_TIME_S = 3.0  # that a caller gives a turn
TARGET_S = 0.25  # within which a turn's first event should come
TRIES, RESENDS = 2, 2  # of a turn, and of the whole turn after its tries
RESEND_PAUSE_S = (0.1, 0.4)
LIMITS = (4, 6, 8, 10, 12, 16, 24, 32)  # programs under way a replica, of which the hindsight policy takes the best
POLICIES: Registry = Registry("policy")


def replica_row(name: str, zone: str, state: str = "ready") -> bytes:
    """A replica as gateways have it listed."""
    row = {"id": name, "address": "10.1.0.1:80", "pool": SERVICE, "state": state, "zone": zone}
    return pack_json(row | {"slots": ENGINE.berths})


@dataclass(frozen=True)
class Scene:
    """Programs that begin a second, on average, and in a rush from `rush_from` to `rush_to` (seconds)."""

    rate: float
    rush_rate: float = 0.0
    rush_from: float = 0.0
    rush_to: float = 0.0
    seconds: float = 20.0
    replicas: int = 6
    gateways: int = 8

    def rate_at(self, now: float) -> float:
        """Programs that begin a second at this time."""
        return self.rush_rate if self.rush_from <= now < self.rush_to else self.rate


@dataclass
class Program:
    """One program and what became of it: `earned` is its share of its worth, `ended_at` None while it goes on."""

    name: str
    turns: int
    began_at: float
    aim_s: float
    earned: float = 0.0
    ended_at: float | None = None


@dataclass
class Site:
    """One run. `programs` has a row for each that was asked for."""

    scene: Scene
    seed: int
    limit: int = 0  # programs under way a replica, for the policy that has one
    programs: list[Program] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.random, self.time = random.Random(f"rush/{self.seed}"), SimTime()
        self.reactor = SimReactor(SimHost(SimNetwork(self.time, self.random), "10.0.0.1"))
        self.log = EventLogger(lambda line: None)
        self.engines = {f"r{number}": Engine(self.reactor, ENGINE) for number in range(self.scene.replicas)}
        self.gateways = [self._gateway(number) for number in range(self.scene.gateways)]
        self.under_way: dict[str, str] = {}  # program -> its replica, for the policy that knows all
        self._numbers = count()

    def _gateway(self, number: int) -> Any:
        state_table = StateTable(self.reactor)
        rows = {name: replica_row(name, ZONES[place % len(ZONES)]) for place, name in enumerate(self.engines)}
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
        chooser = random.Random(f"arrivals/{self.seed}")
        while self.reactor.seconds() < self.scene.seconds:
            await sleep(self.reactor, chooser.expovariate(self.scene.rate_at(self.reactor.seconds())))
            turns = chooser.choice(TURNS)
            idle_s = turns * idle_turn_s() + (turns - 1) * PAUSE_S
            program = Program(f"p{next(self._numbers)}", turns, self.reactor.seconds(), AIM_TIMES * idle_s + AIM_MORE_S)
            self.programs.append(program)
            spawn(self._run_program(program, chooser.randrange(self.scene.gateways)), self.log)

    async def _run_program(self, program: Program, home: int) -> None:
        parts: tuple = (("shared", SHARED_TOKENS),)
        for turn in range(program.turns):
            parts += ((f"{program.name}/{turn}", TURN_TOKENS),)
            if not await self._run_turn(program, parts, turn, home):
                self.under_way.pop(program.name, None)
                return
            if turn < program.turns - 1:
                await sleep(self.reactor, PAUSE_S)
        self.under_way.pop(program.name, None)
        program.ended_at = self.reactor.seconds()
        took_s = program.ended_at - program.began_at
        program.earned = 1.0 if took_s <= program.aim_s else LATE_WORTH if took_s <= 2 * program.aim_s else 0.0

    async def _run_turn(self, program: Program, parts: tuple, turn: int, home: int) -> bool:
        """Whether the turn came through, with the tries that callers have."""
        for resend in range(1 + RESENDS):
            for attempt in range(TRIES):
                gateway = self.gateways[(home + attempt) % len(self.gateways)]
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

    serve: Any = None  # the policy: async, takes the site, a gateway, the program, the parts of its prompt and the turn

    async def run_at(self, name: str, parts: tuple, on_first: Callable[[], None] = lambda: None) -> None:
        """Runs a turn at this replica up to its end."""
        ended: Deferred = Deferred()
        self.engines[name].submit(Job(parts, PIECES, on_first, lambda: ended.callback(None)))
        await ended

    def run(self) -> Site:
        """Plays the scene to its end, and whatever goes on then."""
        spawn(self._arrive(), self.log)
        self.time.advance_to(self.scene.seconds + 20.0)
        return self

    def earned(self, since: float = 0.0, until: float = float("inf")) -> float:
        """Share of the worth that was earned, of programs that began in this time."""
        chosen = [one for one in self.programs if since <= one.began_at < until]
        return sum(one.earned for one in chosen) / max(1, len(chosen))

    def goodput(self) -> float:
        """Programs' worth earned a second."""
        return sum(one.earned for one in self.programs) / self.scene.seconds


def idle_turn_s() -> float:
    """Seconds that a turn takes on an idle replica that has all but its own tokens kept."""
    return TURN_TOKENS * ENGINE.read_s + (PIECES + 1) * (ENGINE.step_s + ENGINE.batch_s)


# --- policies: how a turn gets its replica -------------------------------------


async def _serve_by_gateway(site: Site, gateway: Any, program: Program, parts: tuple, turn: int, admits: bool) -> None:
    now = site.reactor.seconds()
    request = ProxyRequest(program=program.name, previous_turn=f"{turn - 1}" if turn else None)
    begins = admits and gateway.programs.is_first_turn(request)
    patience_s = TURN_TIME_S * QUEUE_WAIT_SHARE
    if begins:
        patience_s = gateway.programs.max_wait_s(patience_s, TARGET_S)
    placement_request = PlacementRequest(
        SERVICE,
        ENGINE.berths,
        (begins, 0),
        now + patience_s,
        program.name,
        finish_at=program.began_at + program.aim_s,
        admission_threshold=gateway.programs.admission_threshold(0) if begins else None,
        last_replica_id=gateway.programs.last_replica_id(request),
        prefer_planned_until=now + patience_s * PLACEMENT_WAIT_SHARE,
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
    """What the product does."""
    await _serve_by_gateway(site, gateway, program, parts, turn, admits=True)


@POLICIES.enter("no admission")
async def _no_admission(site: Site, gateway: Any, program: Program, parts: tuple, turn: int) -> None:
    """The same gateways, which let every program begin."""
    await _serve_by_gateway(site, gateway, program, parts, turn, admits=False)


@POLICIES.enter("random")
async def _random(site: Site, _gateway: Any, _program: Program, parts: tuple, _turn: int) -> None:
    """Any replica, at once."""
    await site.run_at(site.random.choice(list(site.engines)), parts)


@POLICIES.enter("hindsight")
async def _hindsight(site: Site, _gateway: Any, program: Program, parts: tuple, _turn: int) -> None:
    """One mind that knows every replica's programs: each program stays where its prompts are, and no more than `limit`
    of them are under way at a replica; who finds no place is refused for good, and costs nothing."""
    if program.name not in site.under_way:
        homes = list(site.under_way.values())
        name = min(site.engines, key=homes.count)
        if homes.count(name) >= site.limit:
            raise OakrampError("no place for another program")
        site.under_way[program.name] = name
    await site.run_at(site.under_way[program.name], parts)


def play(policy: str, scene: Scene, seed: int) -> Site:
    """One run of a policy; the hindsight policy's is the best of those with any of LIMITS."""
    limits = LIMITS if policy == "hindsight" else (0,)
    runs = []
    for limit in limits:
        site = Site(scene, seed, limit)
        site.serve = POLICIES.find(policy)
        runs.append(site.run())
    return max(runs, key=Site.goodput)
