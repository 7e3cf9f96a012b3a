"""Race mornings and pickup rushes whose prefixes are too large for the cache of one replica, but not for all caches
together. Runs the real balancers and counters of the gateways and the real decision of the shard leader on models of
the engines."""

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
GOSSIP_TIME = 0.5  # s; from the leader to the last gateway, as `oakramp-testbed measure plans` reports it
BUCKET = 5.0  # s; interval in which late responses are counted to find the end of a trap
BUCKET_LATE = 0.02  # share of late responses in a bucket; above it the trap lasts
QUEUE_TIMEOUT = 10.0  # s; a request without a replica slot by then is late
NEVER = 60.0  # s; the wait counted for a response that never came
FAILOVER_TIME = 4.0  # s; the shards of a killed leader are served again by then
SETTLED = 20.0  # s; from the start of a rush until the plan should be in force
SEEDS = 5  # runs of each policy and load
TURN_PAUSE = 1.5  # s; mean pause of a program between turns
POLICIES = Registry("policy")


@dataclass(frozen=True)
class Group:
    """Tenants of one kind: their number, the tokens of the prefix that the requests of one tenant share, the further
    tokens and the output tokens of a request, the turns of a program, and the programs that all of them start per
    second in normal load and in the rush."""

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
    """One load. `rushes` are (from, to) in seconds; a response is in time if its first event comes within `wait`."""

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
class Response:
    at: float
    group: str
    tenant: str
    wait: float = NEVER


@dataclass
class Site:
    """One run, with its replicas, gateways and planner. `answers` has a row for each request, `plans` has (time, rows)
    for each new plan."""

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
        self.is_planning = True

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
        """The replica gets no more requests; those that it has run to their end."""
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
        """The requests that it has begun continue on the engines; clients use other gateways from now on."""
        self.gates[number].is_up = False

    async def call(self, _key, _command, arguments, _time_left):
        """Handles a `report` command as the shard leader does."""
        for report in arguments["services"].values():
            self.window.add(self.reactor.seconds(), arguments["gate"], arguments["number"], report)

    def _placement_request(self, program, prefix):
        now = self.reactor.seconds()
        return PlacementRequest(
            SERVICE,
            self.scene.kind.berths,
            0,
            now + QUEUE_TIMEOUT,
            program,
            frozenset(),
            tenant_of(prefix),
            now + QUEUE_TIMEOUT * PLACEMENT_WAIT_SHARE,
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
        answer = Response(self.reactor.seconds(), group.name, f"{group.name}{tenant}")
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
        random_source, weights = (
            random.Random(f"{self.seed}/{group.name}"),
            [1 / (rank + 1) ** 0.5 for rank in range(group.tenants)],
        )
        while (now := self.reactor.seconds()) < self.scene.seconds:
            # Arrivals do not depend on responses, so that the same requests begin under all policies.
            await sleep(self.reactor, random_source.expovariate(group.rush if self.scene.is_rush(now) else group.calm))
            spawn(self._program(group, random_source.choices(range(group.tenants), weights)[0]), self.log)

    # --- planner ---

    async def _run_planner(self):
        while True:
            await sleep(self.reactor, EVICTION_ROUND)
            for gate in self.gates:
                if gate.is_up:
                    ensureDeferred(gate.placement.report())
            if self.is_planning:
                self._plan_once()

    def _plan_once(self):
        now = self.reactor.seconds()
        loads, flow = self.window.loads(now)
        outcome = self.decision.next(loads, flow, self.window.cache_tokens, sorted(self.rows), self.previous)
        if outcome.rows != self.previous:
            self.previous, self.plan_version = outcome.rows, self.plan_version + 1
            self.plans.append((now, outcome.rows))
        self.reactor.callLater(GOSSIP_TIME, self._publish_plan, now, self.plan_version, outcome.rows)

    def _publish_plan(self, at, version, rows):
        self.confirmed_at = at
        for state_table in self.state_tables:
            state_table.set_items(
                PLACEMENT_KEY,
                version + 1,
                {SERVICE: pack_json({tenant: row["replicas"] for tenant, row in rows.items()})} if rows else {},
            )

    def lose_planner(self):
        """The planning leader is lost; after a failover, another one has the plan, but none of the reports."""
        self.is_planning = False
        self.reactor.callLater(FAILOVER_TIME, self._failover)

    def _failover(self):
        self.window, self.decision, self.is_planning = Window(), Decision(), True

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
    spawn(site._run_planner(), site.log)


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
            with_free_slot = [
                one
                for one in balancer.ready_replicas(placement_request.service)
                if one.load(now) < one.capacity(placement_request.default_slots)
            ]
            return with_free_slot[next(turns) % len(with_free_slot)] if with_free_slot else None

        gate.balancer._select_replica = choose


@POLICIES.enter("least load")
def _least_load(site):
    site.placement_request = lambda _program, prefix: site._placement_request("", prefix)


@POLICIES.enter("prefix affinity")
def _prefix_affinity(site):
    """The balancer's rule for programs, applied to tenants: a tenant leaves its replica when others have clearly more
    free capacity."""
    site.placement_request = lambda _program, prefix: site._placement_request(tenant_of(prefix), prefix)


@POLICIES.enter("strict prefix affinity")
def _strict_prefix_affinity(site):
    """A tenant leaves its replica, which is chosen by rendezvous hashing, only while that is full."""
    site.placement_request = site._placement_request
    for gate in site.gates:

        def choose(placement_request, balancer=gate.balancer):
            now = site.reactor.seconds()
            with_free_slot = [
                one
                for one in balancer.ready_replicas(placement_request.service)
                if one.load(now) < one.capacity(placement_request.default_slots)
            ]
            return max(with_free_slot, key=lambda one: score(one.row["id"], placement_request.tenant), default=None)

        gate.balancer._select_replica = choose


@POLICIES.enter("offline bound")
def _offline_bound(site):
    """The plan that the planner makes from the true rates, in force before the first request."""
    site.placement_request = site._placement_request
    loads = {}
    for group in site.scene.groups:
        weights = [1 / (rank + 1) ** 0.5 for rank in range(group.tenants)]
        tokens = group.common + group.own * (group.turns + 1) / 2
        loads |= {
            f"{group.name}{rank}": Load(
                100, group.rush * group.turns * weight / sum(weights), 1.0, group.common, tokens, group.own
            )
            for rank, weight in enumerate(weights)
        }
    tenant_group = site.scene.groups[0].name
    plan, _ = plan_of(
        loads,
        {name for name in loads if name.startswith(tenant_group)},
        sorted(site.rows),
        site.scene.kind.cache_tokens,
        {},
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
    """Seconds from the start of each rush to the end of its last bucket with a share of more than BUCKET_LATE late."""
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
    tenant_group = site.scene.groups[0].name
    return [one.wait for one in site.answers if one.group != tenant_group and site.scene.is_rush(one.at)]


def _share(sites, since):
    """The share in time of the first group's responses in rushes, from `since` seconds after the start of each on."""
    tenant_group = sites[0].scene.groups[0].name
    waits = [
        one.wait <= site.scene.wait
        for site in sites
        for one in site.answers
        if one.group == tenant_group and any(start + since <= one.at < end for start, end in site.scene.rushes)
    ]
    return round(sum(waits) / max(1, len(waits)), 4)


def _row(sites):
    tenant_group, near = sites[0].scene.groups[0].name, [wait for site in sites for wait in neighbours_of(site)]
    return {
        "in time, all of the rush": _share(sites, 0.0),
        f"after {SETTLED:g} s of it": _share(sites, SETTLED),
        "neighbours ms (median, 99th)": tuple(round(1000 * percentile(near, share)) for share in (0.5, 0.99)),
        "tokens read again": round(
            sum(engine.tokens_again for site in sites for engine in site.engines.values()) / len(sites)
        ),
        "trap s (shortest, longest)": (
            min(spans := [span for site in sites for span in trap_seconds(site, tenant_group)]),
            max(spans),
        ),
    }


def _ratios(sites, others):
    """The neighbours' median and 99th percentile, relative to those of the other runs."""
    own_waits, other_waits = ([wait for site in one for wait in neighbours_of(site)] for one in (sites, others))
    return tuple(round(percentile(own_waits, share) / percentile(other_waits, share), 3) for share in (0.5, 0.99))


FAULTS = {
    "a replica replaced": (80.0, lambda site: (site.leave("r0"), site.add_replica("r-new", ZONES[0]))),
    "a gate lost": (80.0, lambda site: site.lose_gate(0)),
    "who decides lost in the trap": (28.0, lambda site: site.lose_planner()),
    "who decides lost later": (80.0, lambda site: site.lose_planner()),
}


def measure_eviction(seed=1):
    """The rows for each load and policy, over SEEDS seeds."""
    seeds, result = range(seed, seed + SEEDS), {}
    for name, scene in SCENES.items():
        runs = {policy: [Site(scene, one).run(policy) for one in seeds] for policy in POLICIES.names()}
        result |= {f"{name}, {policy}": _row(sites) for policy, sites in runs.items()}
        result[f"{name}, neighbours with / without (median, 99th)"] = _ratios(runs["with"], runs["without"])
    for fault, event in FAULTS.items():
        result[f"race morning, {fault}"] = _row([Site(SCENES["race morning"], one).run("with", event) for one in seeds])
    for name, scene in CALM.items():
        plans = [len(Site(scene, one).run("with").plans) for one in seeds]
        result[f"{name}: plans made where there is no trap"] = sum(plans)
    return result
