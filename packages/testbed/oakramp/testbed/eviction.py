"""Race mornings and pickup rushes on caches that are too small for all prefixes on one replica, though not in all: the
gates' own balancers and counters, the owner's own decision, engines that keep the real rules."""

import random
from collections import Counter
from dataclasses import dataclass, field
from itertools import count
from types import SimpleNamespace

from twisted.internet.defer import Deferred, ensureDeferred

from oakramp.common.constants import EVICTION_ROUND, PLACEMENT_WAIT_SHARE
from oakramp.common.errors import OakrampError
from oakramp.common.metrics import Metrics
from oakramp.common.registry import Registry
from oakramp.common.structured_logging import EventLogger
from oakramp.common.tasks import sleep, spawn
from oakramp.common.validation import pack_json
from oakramp.control.prefix_placement import PLACEMENT_KEY
from oakramp.control.replica_registry import REPLICAS_KEY
from oakramp.gateway.balancer import Balancer, PlacementRequest
from oakramp.gateway.prefix_placement import PrefixPlacement
from oakramp.gossip.state_table import StateTable
from oakramp.membership.rendezvous_hashing import score
from oakramp.prefix_cache.counters import tenant_of
from oakramp.prefix_cache.decision import Decision
from oakramp.prefix_cache.detector import Load, Window
from oakramp.prefix_cache.planner import plan_of
from oakramp.testbed.engine import Engine, Job, Kind
from oakramp.testbed.simnet import SimHost, SimNetwork, SimReactor, SimTime

SERVICE = "lm"
ZONES = ("za", "zb", "zc")
NEWS_TIME = 0.5  # s; from the owner to the last gate, as `oakramp-testbed measure plans` has it
BUCKET = 5.0  # s; in which late answers are counted for the end of a trap
BUCKET_LATE = 0.02  # share of late answers in a bucket; above it the trap is not over
PATIENCE = 10.0  # s; a request that found no room by then counts as late
NEVER = 60.0  # s; what an answer that never came counts as
TAKE_OVER = 4.0  # s; a killed owner's slots are served again by then
SETTLED = 20.0  # s; after the begin of a rush, by when the plan should be in force
SEEDS = 5  # runs of each policy and load
TURN_PAUSE = 1.5  # s; of a program between turns, on average
POLICIES = Registry("policy")


@dataclass(frozen=True)
class Group:
    """Tenants of one manner: how many, the prefix that each one's requests share, a request's own tokens, what it puts
    out, turns of a program, all their programs' starts a second while calm and in the rush."""

    name: str
    tenants: int
    common: int
    own: int
    out: int
    turns: int
    calm: float
    rush: float


@dataclass(frozen=True)
class Scene:
    """One load. `rushes` are (from, to) in seconds; an answer is in time if its first event comes within `wait`."""

    groups: tuple
    rushes: tuple
    seconds: float
    wait: float = 0.6
    replicas: int = 9
    gates: int = 6
    kind: Kind = Kind()

    def is_rush(self, at):
        return any(start <= at < end for start, end in self.rushes)


NEIGHBOURS = Group("neighbours", 10, 120, 500, 24, 1, 14.0, 14.0)
SCENES = {
    "race morning": Scene((Group("clubs", 48, 6000, 150, 24, 3, 1.0, 9.0), NEIGHBOURS), ((20.0, 140.0),), 150.0),
    "mild morning": Scene((Group("clubs", 48, 6000, 150, 24, 3, 1.0, 4.0), NEIGHBOURS), ((20.0, 140.0),), 150.0),
    "beside a large tenant": Scene(
        (Group("clubs", 48, 6000, 150, 24, 3, 1.0, 9.0), NEIGHBOURS, Group("large", 1, 1500, 200, 24, 1, 60.0, 60.0)),
        ((20.0, 140.0),),
        150.0,
    ),
    "pickup rush": Scene(
        (Group("desks", 30, 10000, 150, 24, 2, 1.0, 10.0), NEIGHBOURS), ((20.0, 80.0), (100.0, 160.0)), 170.0
    ),
}
CALM = {
    "calm": Scene((Group("clubs", 48, 6000, 150, 24, 3, 1.0, 1.0), NEIGHBOURS), (), 100.0),
    "sets that fit": Scene((Group("clubs", 6, 6000, 150, 24, 3, 9.0, 9.0), NEIGHBOURS), (), 100.0),
    "long prompts": Scene((Group("clubs", 6, 300, 6000, 24, 1, 12.0, 12.0), NEIGHBOURS), (), 100.0),
    "plain overload": Scene((Group("clubs", 20, 300, 300, 60, 1, 120.0, 120.0), NEIGHBOURS), (), 60.0),
}


@dataclass
class Answer:
    at: float
    group: str
    tenant: str
    wait: float = NEVER


@dataclass
class Site:
    """One run: replicas, gates, who decides. `answers` has a row a request, `plans` (time, rows) each plan written."""

    scene: Scene
    seed: int
    answers: list = field(default_factory=list)
    plans: list = field(default_factory=list)
    runs: Counter = field(default_factory=Counter)
    _numbers: object = field(default_factory=count)

    def __post_init__(self):
        self.random, self.time = random.Random(f"eviction/{self.seed}"), SimTime()
        self.reactor = SimReactor(SimHost(SimNetwork(self.time, self.random), "10.0.0.1"))
        self.lines = []
        self.log = EventLogger(self.lines.append)
        self.engines, self.rows, self.version = {}, {}, 0
        self.state_tables = [StateTable(self.reactor) for _ in range(self.scene.gates)]
        self.gates = [self._gate(number, state_table) for number, state_table in enumerate(self.state_tables)]
        for number in range(self.scene.replicas):
            self.add_replica(f"r{number}", ZONES[number % len(ZONES)])
        self.window, self.decision, self.previous, self.plan_version, self.mode = Window(), Decision(), {}, 0, "on"
        self.confirmed_at = float("-inf")
        self.decides = True

    # --- replicas ---

    def add_replica(self, name, zone):
        self.engines[name] = Engine(self.reactor, self.scene.kind)
        self.rows[name] = {
            "id": name,
            "address": "10.1.0.1:80",
            "pool": SERVICE,
            "state": "ready",
            "zone": zone,
            "slots": self.scene.kind.berths,
        }
        self._publish_replicas()

    def leave(self, name):
        """It gets nothing more; what it has goes on to its end."""
        del self.rows[name]
        self._publish_replicas()

    def _publish_replicas(self):
        self.version += 1
        for state_table in self.state_tables:
            state_table.set_items(REPLICAS_KEY, self.version, {name: pack_json(row) for name, row in self.rows.items()})

    # --- gates ---

    def _gate(self, number, state_table):
        node = SimpleNamespace(
            reactor=self.reactor,
            state_table=state_table,
            random=random.Random(f"{self.seed}/{number}"),
            env={"zone": ZONES[number % len(ZONES)], "eviction": "on"},
            log=self.log,
            node_id=f"g{number}",
        )
        state_table.publish(PLACEMENT_KEY, lambda: self.confirmed_at)
        metrics = Metrics()
        placement = PrefixPlacement(node, self, metrics, lambda _: self.scene.kind.cache_tokens)
        return SimpleNamespace(
            node=node, balancer=Balancer(node, self.log, placement), placement=placement, is_up=True, metrics=metrics
        )

    def lose_gate(self, number):
        """What it had begun goes on at the engines; its callers go elsewhere from now on."""
        self.gates[number].is_up = False

    async def call(self, _key, _command, arguments, _time_left):
        """The owner's `report`."""
        for report in arguments["services"].values():
            self.window.add(self.reactor.seconds(), arguments["gate"], arguments["number"], report)

    def _placement_request(self, program, prefix):
        now = self.reactor.seconds()
        return PlacementRequest(
            SERVICE,
            self.scene.kind.berths,
            0,
            now + PATIENCE,
            program,
            frozenset(),
            tenant_of(prefix),
            now + PATIENCE * PLACEMENT_WAIT_SHARE,
        )

    # --- load ---

    async def _program(self, group, tenant):
        program = f"p{next(self._numbers)}"
        prefix = ((f"{group.name}{tenant}", group.common),)
        for turn in range(group.turns):
            prefix += ((f"{program}/{turn}", group.own),)
            await self._turn(group, tenant, program, prefix)
            await sleep(self.reactor, self.random.expovariate(1 / TURN_PAUSE))

    async def _turn(self, group, tenant, program, prefix):
        gate = self.random.choice([one for one in self.gates if one.is_up])
        answer = Answer(self.reactor.seconds(), group.name, f"{group.name}{tenant}")
        self.answers.append(answer)
        try:
            instance = await gate.balancer.acquire(self.placement_request(program, prefix))
        except OakrampError:
            return
        name = instance.row["id"]
        self.runs[name] += 1
        ended = SimpleNamespace(waiter=None)

        def first():
            answer.wait = self.reactor.seconds() - answer.at
            gate.placement.record_first_event(SERVICE, name, prefix, program, answer.wait > self.scene.wait)
            gate.balancer.record_load(instance, self.engines[name].load())

        job = Job(prefix, group.out, first, lambda: ended.waiter())
        await _until_ended(self.engines[name], job, ended)
        gate.balancer.release(instance)

    async def _arrive(self, group):
        chooser, weights = (
            random.Random(f"{self.seed}/{group.name}"),
            [1 / (place + 1) ** 0.5 for place in range(group.tenants)],
        )
        while (now := self.reactor.seconds()) < self.scene.seconds:
            # The clock of a rush begins with it, so that all policies see the same requests begin.
            await sleep(self.reactor, chooser.expovariate(group.rush if self.scene.is_rush(now) else group.calm))
            spawn(self._program(group, chooser.choices(range(group.tenants), weights)[0]), self.log)

    # --- who decides ---

    async def _decide(self):
        while True:
            await sleep(self.reactor, EVICTION_ROUND)
            for gate in self.gates:
                if gate.is_up:
                    ensureDeferred(gate.placement.report())
            if self.decides:
                self._round()

    def _round(self):
        now = self.reactor.seconds()
        loads, flow = self.window.loads(now)
        outcome = self.decision.next(loads, flow, self.window.cache_tokens, sorted(self.rows), self.previous)
        if outcome.rows != self.previous:
            self.previous, self.plan_version = outcome.rows, self.plan_version + 1
            self.plans.append((now, outcome.rows))
        self.reactor.callLater(NEWS_TIME, self._news, now, self.plan_version, outcome.rows)

    def _news(self, at, version, rows):
        self.confirmed_at = at
        for state_table in self.state_tables:
            state_table.set_items(
                PLACEMENT_KEY,
                version + 1,
                {SERVICE: pack_json({tenant: row["replicas"] for tenant, row in rows.items()})} if rows else {},
            )

    def another_decides(self):
        """Who decided is gone: after a take-over another one has the plan, and nothing of what was reported."""
        self.decides = False
        self.reactor.callLater(TAKE_OVER, self._failover)

    def _failover(self):
        self.window, self.decision, self.decides = Window(), Decision(), True

    def run(self, policy, *events):
        """`events` are (time, function(site))."""
        POLICIES.find(policy)(self)
        for group in self.scene.groups:
            spawn(self._arrive(group), self.log)
        for at, event in events:
            self.reactor.callLater(at, event, self)
        self.time.advance_to(self.scene.seconds + 30.0)
        return self


async def _until_ended(engine, job, ended):
    waiter = Deferred()
    ended.waiter = lambda: waiter.callback(None)
    if engine.submit(job):
        await waiter


# --- policies ----------------------------------------------------------------


@POLICIES.enter("with")
def _with(site):
    site.placement_request = site._placement_request
    spawn(site._decide(), site.log)


@POLICIES.enter("without")
def _without(site):
    site.placement_request = site._placement_request


@POLICIES.enter("round robin")
def _round_robin(site):
    site.placement_request = site._placement_request
    for gate in site.gates:
        turns = count()

        def choose(placement_request, balancer=gate.balancer, turns=turns):
            now = site.reactor.seconds()
            roomy = [
                one
                for one in balancer.ready_replicas(placement_request.service)
                if one.load(now) < one.capacity(placement_request.default_slots)
            ]
            return roomy[next(turns) % len(roomy)] if roomy else None

        gate.balancer._select_replica = choose


@POLICIES.enter("least load")
def _least_load(site):
    site.placement_request = lambda _program, prefix: site._placement_request("", prefix)


@POLICIES.enter("prefix affinity")
def _prefix_affinity(site):
    """By the balancer's own rule for programs: a tenant leaves its replica when others have clearly more room."""
    site.placement_request = lambda _program, prefix: site._placement_request(tenant_of(prefix), prefix)


@POLICIES.enter("strict prefix affinity")
def _strict_prefix_affinity(site):
    """A tenant leaves its replica, named by hash over all, only when that is full."""
    site.placement_request = site._placement_request
    for gate in site.gates:

        def choose(placement_request, balancer=gate.balancer):
            now = site.reactor.seconds()
            roomy = [
                one
                for one in balancer.ready_replicas(placement_request.service)
                if one.load(now) < one.capacity(placement_request.default_slots)
            ]
            return max(roomy, key=lambda one: score(one.row["id"], placement_request.tenant), default=None)

        gate.balancer._select_replica = choose


@POLICIES.enter("offline bound")
def _offline_bound(site):
    """The plan that the planner makes of the rates as they are drawn, in force before the first request."""
    site.placement_request = site._placement_request
    loads = {}
    for group in site.scene.groups:
        weights = [1 / (place + 1) ** 0.5 for place in range(group.tenants)]
        tokens = group.common + group.own * (group.turns + 1) / 2
        loads |= {
            f"{group.name}{place}": Load(
                100, group.rush * group.turns * weight / sum(weights), 1.0, group.common, tokens, group.own
            )
            for place, weight in enumerate(weights)
        }
    crowd = site.scene.groups[0].name
    plan, _ = plan_of(
        loads, {name for name in loads if name.startswith(crowd)}, sorted(site.rows), site.scene.kind.cache_tokens, {}
    )
    for gate in site.gates:
        gate.placement.planned_replica_ids = lambda _service, tenant: plan.get(tenant)


# --- figures -----------------------------------------------------------------


def percentile(waits, share):
    return sorted(waits)[min(len(waits) - 1, int(len(waits) * share))] if waits else 0.0


def in_time(site, group, since=0.0, until=float("inf")):
    waits = [one.wait for one in site.answers if one.group == group and since <= one.at < until]
    return sum(wait <= site.scene.wait for wait in waits) / max(1, len(waits))


def trap_seconds(site, group):
    """From the begin of each rush to the end of its last bucket with more than BUCKET_LATE late, in seconds."""
    spans = []
    for start, end in site.scene.rushes:
        late = [
            at
            for at in range(int(start), int(end), int(BUCKET))
            if in_time(site, group, at, at + BUCKET) < 1 - BUCKET_LATE
        ]
        spans.append(late[-1] + BUCKET - start if late else 0.0)
    return spans


def neighbours_of(site):
    crowd = site.scene.groups[0].name
    return [one.wait for one in site.answers if one.group != crowd and site.scene.is_rush(one.at)]


def _share(sites, since):
    """Of the crowd's answers in rushes, from `since` seconds after the begin of each on, those in time."""
    crowd = sites[0].scene.groups[0].name
    waits = [
        one.wait <= site.scene.wait
        for site in sites
        for one in site.answers
        if one.group == crowd and any(start + since <= one.at < end for start, end in site.scene.rushes)
    ]
    return round(sum(waits) / max(1, len(waits)), 4)


def _row(sites):
    crowd, near = sites[0].scene.groups[0].name, [wait for site in sites for wait in neighbours_of(site)]
    return {
        "in time, all of the rush": _share(sites, 0.0),
        f"after {SETTLED:g} s of it": _share(sites, SETTLED),
        "neighbours ms (median, 99th)": tuple(round(1000 * percentile(near, share)) for share in (0.5, 0.99)),
        "tokens read again": round(
            sum(engine.tokens_again for site in sites for engine in site.engines.values()) / len(sites)
        ),
        "trap s (shortest, longest)": (
            min(spans := [span for site in sites for span in trap_seconds(site, crowd)]),
            max(spans),
        ),
    }


def _ratios(sites, others):
    """Neighbours' median and 99th against those of the other runs."""
    mine, theirs = ([wait for site in one for wait in neighbours_of(site)] for one in (sites, others))
    return tuple(round(percentile(mine, share) / percentile(theirs, share), 3) for share in (0.5, 0.99))


TROUBLES = {
    "a replica replaced": (80.0, lambda site: (site.leave("r0"), site.add_replica("r-new", ZONES[0]))),
    "a gate lost": (80.0, lambda site: site.lose_gate(0)),
    "who decides lost in the trap": (28.0, lambda site: site.another_decides()),
    "who decides lost later": (80.0, lambda site: site.another_decides()),
}


def measure_eviction(seed=1):
    """Rows for each load and policy, over SEEDS seeds."""
    seeds, result = range(seed, seed + SEEDS), {}
    for name, scene in SCENES.items():
        runs = {policy: [Site(scene, one).run(policy) for one in seeds] for policy in POLICIES.names()}
        result |= {f"{name}, {policy}": _row(sites) for policy, sites in runs.items()}
        result[f"{name}, neighbours with / without (median, 99th)"] = _ratios(runs["with"], runs["without"])
    for trouble, event in TROUBLES.items():
        result[f"race morning, {trouble}"] = _row(
            [Site(SCENES["race morning"], one).run("with", event) for one in seeds]
        )
    for name, scene in CALM.items():
        plans = [len(Site(scene, one).run("with").plans) for one in seeds]
        result[f"{name}: plans made where there is no trap"] = sum(plans)
    return result
