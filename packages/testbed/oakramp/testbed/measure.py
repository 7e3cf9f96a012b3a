"""Measurements on the simulated fleet: counts and simulated times, which are the same in every run of a seed."""

from collections import Counter
from itertools import count

from oakramp.common.registry import Registry
from oakramp.common.tasks import settled, sleep, spawn
from oakramp.rpc.codec import idl, pack
from oakramp.testbed.commands import count_work, measure_commands
from oakramp.testbed.eviction import measure_eviction
from oakramp.testbed.failover import measure_failover
from oakramp.testbed.fleet_cost import measure_fleet_cost
from oakramp.testbed.outages import OUTAGES, run_outage
from oakramp.testbed.plan import PARTNERS, Size, blueprint_of
from oakramp.testbed.simfleet import SimFleet
from oakramp.testbed.work import leader_work, loading_time, store_work

MEASURES = Registry("measure")
TRIES = 20  # requests of each kind; one at a time, so that no two share a sync


def _call_counts(fleet):
    total = Counter()
    for one in fleet.by_name.values():
        total.update(one.node.node.net.call_counts)
    return total


def _syncs(fleet):
    return sum(one.disk.syncs for one in fleet.by_name.values() if one.disk)


def _per_request(fleet, request):
    """Calls between processes, syncs of all disks together, and simulated milliseconds, for one request."""
    fleet.run(2.0)
    calls, syncs = _call_counts(fleet), _syncs(fleet)
    times = []
    for index in range(TRIES):
        sent = fleet.until(request(index))
        times.append(sent.ended().done_at - sent.attempts[0].asked_at)
        fleet.run(0.5)
    used = _call_counts(fleet) - calls
    shown = {
        name: round(count / TRIES, 2)
        for name, count in sorted(used.items())
        if name not in ("pull", "confirm", "lineDigests")
    }
    return {
        "calls": shown,
        "syncs": round((_syncs(fleet) - syncs) / TRIES, 2),
        "ms": round(1000 * sorted(times)[len(times) // 2], 1),
    }


@MEASURES.enter("requests")
def requests(seed=1):
    """Cost of a turn and of keyed and unkeyed plain calls, one at a time, links of 0.2 to 2 ms, syncs of 2 ms."""
    fleet = SimFleet(seed, piece_time=0.0).bring_up()
    fleet.until(fleet.client.open_program("dalatech", "p", 100000))
    return {
        "turn": _per_request(fleet, lambda index: fleet.client.turn("dalatech", "p", f"l{index}", None, "abc")),
        "keyed plain call": _per_request(
            fleet, lambda index: fleet.client.plain("nile", "notices", {"n": index}, f"k{index}")
        ),
        "plain call without key": _per_request(
            fleet, lambda index: fleet.client.plain("nile", "notices", {"n": -index})
        ),
    }


def _round_robin(placer):
    """A baseline: the next ready replica with a free slot, in turn."""
    turn = count()

    def place(placement_request):
        candidates, _ = placer._candidates(placement_request)
        with_free_slot = [one for one in candidates if one.has_capacity(placer._reactor.seconds())]
        return (
            sorted(with_free_slot, key=lambda one: one.row["id"])[next(turn) % len(with_free_slot)]
            if with_free_slot
            else None
        )

    return place


def _least_utilized(placer):
    """Another baseline: always the replica with the lowest utilization."""

    def place(placement_request):
        candidates, _ = placer._candidates(placement_request)
        with_free_slot = [one for one in candidates if one.has_capacity(placer._reactor.seconds())]
        return min(with_free_slot, key=lambda one: (one.utilization(), one.row["id"])) if with_free_slot else None

    return place


PLACEMENT_POLICIES = {"by line, prefix and weight": None, "round robin": _round_robin, "least weight": _least_utilized}
PLACEMENT_SIZE = Size(
    4,
    3,
    3,
    (
        ("dalatech-model", "model", 9),
        ("dalatech-results", "plain", 1),
        ("nile-model", "model", 5),
        ("nile-notices", "plain", 1),
    ),
)
# A prompt's common part of some 1500 characters takes 150 ms to prefill, a piece 20 ms alone and 40 ms among 20 others.
MODEL = {"piece_time": 0.02, "prefill_time": 0.0001, "batch_cost": 0.05, "kv_blocks": 4000}


def _percentile(times, share):
    return round(1000 * sorted(times)[min(len(times) - 1, int(share * len(times)))]) if times else None


def _run_placement(seed, placing, sessions, pause, leaving):
    """The required mix of short and long conversations on nine and five replicas, under one placement policy."""
    fleet = SimFleet(seed, PLACEMENT_SIZE, ring_file_size=1 << 22, **MODEL).bring_up()
    if PLACEMENT_POLICIES[placing]:
        for one in fleet.of_kind("gate"):
            one.node.load_balancer._select_replica = PLACEMENT_POLICIES[placing](one.node.load_balancer)
    works = []

    async def arrive():
        for index in range(sessions):
            partner = "dalatech" if index % 14 < 9 else "nile"
            works.append(
                spawn(fleet.client.session(partner, 7 if index % 5 == 0 else 3, pause=1.0, start=START), fleet.lab_log)
            )
            await sleep(fleet.client_reactor, fleet.random.expovariate(1 / pause))

    async def leave():
        for number in range(3 if leaving else 0):
            await sleep(fleet.operator_reactor, 4.0)
            fleet.add_replica("dalatech-model")
            fleet.platform.leave(f"dalatech-model-{number}")

    fleet.until(settled([arrive(), leave()]), 600)
    fleet.until(settled(works), 600)
    turns = [
        attempt
        for request in fleet.view.requests
        if request.kind == "turn" and request.body["input"] != "after the end"
        for attempt in request.attempts[:1]
    ]
    ended = [attempt for attempt in turns if attempt.outcome == "end"]
    runs = Counter(run.replica for run in fleet.record.runs if run.replica.startswith("dalatech-model"))
    models = [one for one in fleet.platform.replicas.values() if one.pool.endswith("-model")]
    return {
        "first piece ms (median, 99th)": (
            _percentile([one.first_at - one.asked_at for one in ended], 0.5),
            _percentile([one.first_at - one.asked_at for one in ended], 0.99),
        ),
        "end ms (median, 99th)": (
            _percentile([one.done_at - one.asked_at for one in ended], 0.5),
            _percentile([one.done_at - one.asked_at for one in ended], 0.99),
        ),
        "served at the first try": f"{len(ended)} of {len(turns)}",
        "prefilled characters": sum(one.prefilled for one in models),
        "fewest and most runs": (min(runs.values()), max(runs.values())),
    }


START = "You are an assistant for many guests. " + "House rules that every prompt begins with. " * 35


@MEASURES.enter("placing")
def placing(seed=1):
    """Conversations of three and seven turns, 1:4, with one long common prefix, on nine and five replicas and 4
    gateways: under normal load (10 new per second), at a load peak (60 per second), and while three replicas are
    replaced."""
    return {
        f"{kind}, {name}": _run_placement(seed, name, *how)
        for kind, how in (("calm", (100, 0.1, False)), ("crowd", (240, 1 / 60, False)), ("replaced", (100, 0.1, True)))
        for name in PLACEMENT_POLICIES
    }


@MEASURES.enter("overload")
def overload(seed=1):
    """600 turns at once, each with a deadline of 10 s, on two replicas with 4 slots (a turn takes about 1.5 s), through
    2 gateways."""
    fleet = SimFleet(seed, capacity=4, piece_time=0.3).bring_up()
    fleet.until(fleet.client.open_program("dalatech", "p", 100000))
    works = [
        spawn(fleet.client.turn("dalatech", "p", f"l{index}", None, "crowd", attempts=1, time_left=10), fleet.lab_log)
        for index in range(600)
    ]
    fleet.run(1.0)
    urgent = [fleet.until(fleet.client.plain("dalatech", "results", {"n": index}, f"u{index}")) for index in range(10)]
    fleet.until(settled(works), 100)
    attempts = [attempt for request in fleet.view.requests if request.kind == "turn" for attempt in request.attempts]
    refused = sorted(attempt.done_at - attempt.asked_at for attempt in attempts if attempt.outcome != "end")
    return {
        "outcomes": dict(Counter(f"{one.status} {one.error or 'served'}" for one in attempts)),
        "seconds until told no, median and longest": (round(refused[len(refused) // 2], 2), round(refused[-1], 2)),
        "urgent plain calls meanwhile, longest ms": round(
            max(1000 * (one.ended().done_at - one.attempts[0].asked_at) for one in urgent), 1
        ),
        "peak on one replica": max(one.peak for one in fleet.platform.replicas.values()),
    }


def large_blueprint(partner, marker, count):
    """A blueprint with many bindings, as Nile Linen has them."""
    blueprint = blueprint_of(partner, marker)
    model = blueprint["bindings"]["chat"]
    blueprint["bindings"] |= {f"hotel-{number}": model | {"maxWaitSeconds": 5 + number % 20} for number in range(count)}
    return blueprint


@MEASURES.enter("largePlans")
def large_plans(seed=1):
    """A blueprint of 3000 bindings, one of which is changed by name ten times: bytes of gossip that bring one change to
    a gateway, and those of the whole blueprint; seconds from the acceptance until the last of 2 gateways has it."""
    fleet = SimFleet(seed, ring_file_size=1 << 20).bring_up()
    fleet.until(fleet.operator.put_plan("nile", 1, large_blueprint("nile", "nile-plan-2", 3000), "nile-plan-2"))
    gates = [one.node.node.state_table for one in fleet.of_kind("gate")]
    fleet.wait_for(
        "the plan at the gates",
        lambda: all(state_table.snapshots["blueprint/nile"].version == 2 for state_table in gates),
    )
    source = fleet.of_kind("control")[0].node.node.state_table
    delays, sizes = [], []
    for version in range(2, 12):
        seen = [idl.SourceVersion(source=name, version=snapshot.version) for name, snapshot in source.snapshots.items()]
        fleet.until(
            fleet.operator.ask(
                "POST",
                "/v1/blueprints/nile/changes",
                {
                    "changeId": f"c{version}",
                    "basedOn": version,
                    "change": "setBinding",
                    "arguments": {
                        "name": "hotel-7",
                        "binding": blueprint_of("nile")["bindings"]["chat"] | {"maxWaitSeconds": version},
                    },
                },
            )
        )
        said_at = fleet.time.now
        while any(state_table.snapshots["blueprint/nile"].version <= version for state_table in gates):
            fleet.run(0.005)
        delays.append(fleet.time.now - said_at)
        fleet.run(1.0)
        snapshot = next(one for one in source.update_for(seen).snapshots if one.source == "blueprint/nile")
        sizes.append(len(pack(snapshot)))
    return {
        "bytes of one change, most": max(sizes),
        "bytes of the whole": len(pack(source.full_snapshot("blueprint/nile"))),
        "seconds, longest": round(max(delays), 3),
    }


@MEASURES.enter("plans")
def plans(seed=1):
    """Time from the acceptance of a plan until the last gateway has it: 8 gateways, 5 control nodes, 20 plans."""
    size = Size(
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
    fleet = SimFleet(seed, size).bring_up()
    gates = [one.node.node.state_table for one in fleet.of_kind("gate")]
    delays = []
    for number in range(2, 22):
        sent = fleet.until(
            fleet.operator.put_plan(
                "nile", number - 1, blueprint_of("nile", f"nile-plan-{number}"), f"nile-plan-{number}"
            )
        )
        end = fleet.time.now
        while any(state_table.snapshots["blueprint/nile"].version < sent.version for state_table in gates):
            fleet.run(0.005)
        delays.append(fleet.time.now - end)
        fleet.run(0.37)
    return {"seconds, median and longest": (round(sorted(delays)[10], 3), round(max(delays), 3))}


def _conversations_sent(fleet):
    """The number of conversations that stores have sent each other to repair a replica."""
    return sum(
        one.node.store.metrics.read(name)
        for one in fleet.of_kind("store")
        if one.running
        for name in ("lines_handed_over", "lines_synced")
    )


def _until_replicas_agree(fleet):
    """Seconds until all stores hold the same conversations, and the conversations sent for that."""
    before, began_at = _conversations_sent(fleet), fleet.time.now

    def replicas_agree():
        rows = [{key: row.digest() for key, row in one.node.store.table.rows.items()} for one in fleet.of_kind("store")]
        return rows[0] == rows[1] == rows[2]

    return {
        "seconds": round(fleet.wait_for("all copies agreeing", replicas_agree, 120) - began_at, 2),
        "lines sent": _conversations_sent(fleet) - before,
    }


@MEASURES.enter("repair")
def repair(seed=1):
    """The stores hold 300 conversations; one store is down while 30 more are added. Seconds and conversations sent
    until all stores agree: by hinted handoff if the store keeps its disk; by anti-entropy if it keeps its disk, but the
    other stores were restarted and so have lost their hints; by a full copy if its disk is empty."""
    results = {}
    for name in ("back with its disk, hints", "back with its disk, no hints", "empty disk, full copy"):
        fleet = SimFleet(seed, ring_file_size=1 << 20, piece_time=0.0).bring_up()

        async def keep(first, count):
            await fleet.client.open_program("nile", "p", 100000)
            for index in range(first, first + count, 10):
                await settled(
                    [
                        fleet.client.turn("nile", "p", f"l{one}", None, "a question of some length " * 20)
                        for one in range(index, index + 10)
                    ]
                )

        fleet.until(keep(0, 300), 200)
        away = fleet["store0"]
        away.kill()
        fleet.until(keep(300, 30), 200)
        previous_id = away.node.node.node_id
        if name == "empty disk, full copy":
            away.lose_disk()
        if name == "back with its disk, no hints":
            for other in ("store1", "store2"):
                fleet[other].kill()
                fleet[other].start()
        away.start()
        if name == "empty disk, full copy":
            fleet.run(4.0)
            fleet.until(
                fleet.operator.ask(
                    "POST",
                    "/v1/stores/replace",
                    {
                        "basedOn": 1,
                        "leaving": previous_id,
                        "joining": {"nodeId": away.node.node.node_id, "peer": away.machine.peer},
                    },
                ),
                30,
            )
        results[name] = _until_replicas_agree(fleet)
    return results


@MEASURES.enter("growth")
def growth(seed=1):
    """Idle fleets of 16 to 128 nodes: pulls and KiB sent by a node per second."""
    results = {}
    for nodes in (16, 32, 64, 128):
        fleet = SimFleet(
            seed,
            Size(
                nodes - 8,
                3,
                5,
                (
                    ("dalatech-model", "model", 1),
                    ("dalatech-results", "plain", 1),
                    ("nile-model", "model", 1),
                    ("nile-notices", "plain", 1),
                ),
            ),
        ).bring_up()
        fleet.run(3.0)
        pulls, sent = _call_counts(fleet)["pull"], sum(fleet.network.bytes_from.values())
        fleet.run(4.0)
        results[f"{nodes} nodes"] = {
            "pulls": round((_call_counts(fleet)["pull"] - pulls) / 4 / nodes, 1),
            "KiB": round((sum(fleet.network.bytes_from.values()) - sent) / 4 / nodes / 1024, 1),
        }
    return results


@MEASURES.enter("loading")
def loading(seed=1):
    """Processor seconds of this machine, not simulated ones, that a start takes to load the stored data."""
    store, control = loading_time(100000, 10000)
    return {"a store with 100 000 lines": store, "a control node with 10 000 programs, a turn each": control}


@MEASURES.enter("partners")
def partners(seed=1):
    """Nile's urgent calls with idempotency keys, ten per second for 15 s, alone and beside a load peak of 400 turns of
    Dalatech; and Nile's turns, one per second, with a plan that shares Dalatech's model pool."""
    results = {}
    for name, crowd in (("alone", 0), ("beside a crowd", 400)):
        fleet = SimFleet(seed, capacity=8, piece_time=0.2, ring_file_size=1 << 20).bring_up()
        shared = blueprint_of("nile", "nile-plan-2")
        shared["bindings"]["chat"]["pool"] = "dalatech-model"
        fleet.until(fleet.operator.put_plan("nile", 1, shared, "nile-plan-2"))
        for partner in PARTNERS:
            fleet.until(fleet.client.open_program(partner, "p", 100000))
        works = [
            spawn(
                fleet.client.turn("dalatech", "p", f"c{index}", None, "crowd", attempts=1, time_left=20), fleet.lab_log
            )
            for index in range(crowd)
        ]

        async def steady():
            for index in range(150):
                works.append(
                    spawn(fleet.client.plain("nile", "notices", {"n": index}, f"k{index}", attempts=1), fleet.lab_log)
                )
                if index % 10 == 0:
                    works.append(
                        spawn(
                            fleet.client.turn("nile", "p", f"l{index}", None, "mine", attempts=1, time_left=20),
                            fleet.lab_log,
                        )
                    )
                await sleep(fleet.client_reactor, 0.1)

        fleet.until(steady(), 60)
        fleet.until(settled(works), 100)
        for kind in ("plain", "turn"):
            tries = [
                request.attempts[0]
                for request in fleet.view.requests
                if (request.partner, request.kind) == ("nile", kind)
            ]
            ended = [one.done_at - one.asked_at for one in tries if one.outcome == "end"]
            results[f"{name}, nile's {kind}s"] = {
                "ms (median, 99th)": (_percentile(ended, 0.5), _percentile(ended, 0.99)),
                "refused": len(tries) - len(ended),
            }
        of_dalatech = [request.attempts[0] for request in fleet.view.requests if request.partner == "dalatech"]
        results[f"{name}, dalatech's turns"] = {
            "served": sum(one.outcome == "end" for one in of_dalatech),
            "refused": sum(one.verdict == "no" for one in of_dalatech),
        }
    return results


@MEASURES.enter("kept")
def kept(seed=1):
    """Functions called for one step, by the number of conversations of a store and of programs of a shard."""
    return {f"{lines} lines": store_work(lines) for lines in (1000, 100000)} | {
        f"{programs} programs": leader_work(programs) for programs in (100, 10000)
    }


@MEASURES.enter("outage")
def outage(seed=1):
    """Seconds from the restart of all machines until all requests were served through every gateway, by kind of
    outage."""
    return {name: round(run_outage(name, seed)[1], 2) for name in OUTAGES.names()}


@MEASURES.enter("detection")
def detection(seed=1):
    """A gateway is killed: seconds until every control node considers it silent; and how often a healthy node was
    considered silent in 60 s with a tenth of all links delayed by up to 0.5 s; pulls per node and second."""
    fleet = SimFleet(seed).bring_up()
    fleet.run(2.0)
    before = _call_counts(fleet)["pull"]
    fleet.run(10.0)
    pulls = (_call_counts(fleet)["pull"] - before) / 10 / len(fleet.by_name)
    gate = fleet["gate0"]
    node_id, killed_at = gate.node.node.node_id, fleet.time.now
    gate.kill()
    seen_at = fleet.wait_for(
        "detection",
        lambda: all(one.node.node.members.condition(node_id) == "silent" for one in fleet.of_kind("control")),
    )
    gate.start()
    fleet.run(3.0)
    alarms = Counter()
    healthy = [one.node.node.node_id for one in fleet.by_name.values()]
    addresses = [one.host.address for one in fleet.by_name.values()]

    async def slow():
        while True:
            fleet.network.delays = {
                (one, other): fleet.random.uniform(0, 0.5)
                for one in addresses
                for other in addresses
                if fleet.random.random() < 0.1
            }
            await sleep(fleet.operator_reactor, 2.0)

    spawn(slow(), fleet.lab_log)
    for _ in range(300):
        fleet.run(0.2)
        for one in fleet.of_kind("control"):
            for node_id in healthy:
                alarms[one.node.node.members.condition(node_id)] += 1
    return {
        "seconds to detect": round(seen_at - killed_at, 2),
        "looks by condition": dict(alarms),
        "pulls a node and second": round(pulls, 1),
    }


@MEASURES.enter("eviction")
def eviction(seed=1):
    """Tenants whose prefixes are together too large for the cache of one replica, but not for all nine: a race morning
    of 48 clubs with 6000 tokens each (also a mild one, and one beside a tenant with most of the requests) and two
    pickup rushes of 30 desks with 10000 tokens each, beside ten tenants with short prefixes, through 6 gateways. A
    response is in time if its first event comes within 0.6 s. Five seeds each."""
    return measure_eviction(seed)


@MEASURES.enter("commands")
def commands(seed=1):
    """Real processes, not simulated ones, in a fleet of the required size: the share of a core that each kind of daemon
    takes when idle, and the processor time of a command (claims and their completions) at its shard leader and at the
    other voters."""
    return measure_commands(seed)


@MEASURES.enter("work")
def work(seed=1):
    """A fleet of the required size, with links of 0.2 to 2 ms and syncs of 2 ms: Python and C functions called by idle
    daemons, and for a command (claims and their completions, 100 per second) at its shard leader and at the other
    voters."""
    return count_work(seed)


@MEASURES.enter("failover")
def failover(seed=1):
    """Seconds from a fault of the control node that leads the plan's shard to the failover, to the acknowledgement of
    an order and to the first event of a turn, both sent at the moment of the fault; how long a planned stop delays an
    order; and the number of needless failovers when control nodes freeze for half a second. 20 seeds each."""
    return measure_failover(seed)


@MEASURES.enter("fleet_cost")
def fleet_cost(seed=1):
    """Fleets of the sites' sizes (8, 3, 5 and 65, 10, 9 gateways, stores, control nodes), idle, under 16 clients, and
    in the first seconds after a power loss: per node and second, processor milliseconds of this machine, calls made and
    KiB sent."""
    return measure_fleet_cost(seed)
