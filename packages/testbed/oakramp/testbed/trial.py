"""Seeded random schedules of faults against a simulated fleet under load. The result is checked against the rules, and
against what must hold again once the faults have ended."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from oakramp.common.constants import SHARDS
from oakramp.common.registry import Registry
from oakramp.common.tasks import settled, sleep, spawn
from oakramp.control.shards import unpack_entry
from oakramp.testbed.checker import check
from oakramp.testbed.faults import FAULTS, init_fault_state, inject_fault
from oakramp.testbed.plan import PARTNERS, PLAIN_NAMES, blueprint_of
from oakramp.testbed.simfleet import SimFleet

DAYS = Registry("day")
SERVED_TIME = 12.0  # s; required bound for serving again after a total outage
UNSERVED_TIME = 12.0  # s; longest gap between served calls of a partner, with one disk machine of a kind lost
PROBE_PAUSE = 0.5  # s; between the steady calls that measure this gap
FAULTS_TIME = 90.0  # s; after the load, all faults have ended and the replacements are complete within this
SETTLE_TIME = 12.0  # s; after that, all open work is finished and all replicas of the data agree
LOAD_TIME = 40.0  # s; of load in one trial


@dataclass
class Outcome:
    seed: int
    violations: dict
    asked: int
    ended: int
    timeline: str
    crashes: list
    caused: Counter = field(default_factory=Counter)  # injected faults by kind
    near: dict = field(default_factory=dict)  # near misses by rule
    unserved: float = 0.0  # s; the longest gap between served steady calls of a partner


async def _inject_faults(fleet, until, pause):
    while fleet.time.now < until:
        name = fleet.random.choice(FAULTS.names())
        spawn(inject_fault(fleet, name), fleet.lab_log)
        await sleep(fleet.operator_reactor, fleet.random.uniform(0.0, 2 * pause))


# --- what must hold again ------------------------------------------------------


async def _send_steadily(fleet, partner, until, served):
    """Calls at a steady rate, one attempt each; appends the time of each response to `served`."""

    async def one():
        asked = await fleet.client.plain(
            partner, PLAIN_NAMES[partner], {"n": fleet.client.new_id("n")}, attempts=1, time_left=3
        )
        served.extend(attempt.done_at for attempt in asked.attempts if attempt.outcome == "end")

    while fleet.time.now < until:
        spawn(one(), fleet.lab_log)
        await sleep(fleet.client_reactor, PROBE_PAUSE)


def longest_gap(times, since, until):
    marks = sorted([since, *(at for at in times if since <= at <= until), until])
    return max(later - earlier for earlier, later in zip(marks, marks[1:]))


def leftovers(fleet):
    """Work and state that should be gone some time after the last fault has ended, but are not."""
    found = defaultdict(list)
    gates = [one for one in fleet.of_kind("gate") if one.running]
    live_ids = {one.node.node.node_id for one in gates}
    for one in gates:
        waiting, running, background = (
            one.node.load_balancer.waiting_count(),
            one.node.web.running,
            len(one.node.settling),
        )
        held = sum(replica.in_flight for replica in one.node.load_balancer.replicas.values())
        if waiting or running or background or held:
            found["gate"].append(
                f"{one.name}: {waiting} waiting, {running} running, {background} settling, {held} replica slots held"
            )
    leaders = defaultdict(list)
    for one in (one for one in fleet.of_kind("control") if one.running):
        for shard, leader in one.node.leaders.active.items():
            leaders[shard] += [one.name] if leader.holds_lease() else []
            found["reservation"] += [
                f"{key}: {turn}"
                for key in leader.entries
                if key.startswith("budget/") and "#" not in key
                for turn, row in unpack_entry(leader.entries[key])["open"].items()
                if row["gate"] in live_ids
            ]
    found["slot"] += [
        f"shard {shard} has leaders {leaders[shard]}" for shard in range(SHARDS) if len(leaders[shard]) != 1
    ]
    stores = [one for one in fleet.of_kind("store") if one.running and one.node.store.is_member]
    found["hint"] += [
        f"{one.name} still holds hints {one.node.store.hints_by_member()}"
        for one in stores
        if one.node.store.hint_count()
    ]
    found["store"] += [f"{one.name} does not cover the keys" for one in stores if not one.node.store.covers]
    digests = [{key: row.digest() for key, row in one.node.store.table.rows.items()} for one in stores]
    found["copies"] += sorted(
        {key for table in digests for key in table if len({other.get(key) for other in digests}) > 1}
    )[:5]
    return {what: rows for what, rows in found.items() if rows}


def _run_until_settled(fleet):
    """Runs until the faults have ended and the fleet has settled; returns what is left over."""
    end = fleet.time.now + FAULTS_TIME
    while sum(fleet.under.values()) and fleet.time.now < end:
        fleet.run(1.0)
    if sum(fleet.under.values()):
        return {"fault": [f"{name} did not end" for name, count in fleet.under.items() if count]}
    end = fleet.time.now + 60.0
    fleet.run(SETTLE_TIME)
    while (left := leftovers(fleet)) and fleet.time.now < end:
        fleet.run(5.0)
    return left


def run_day(name, seed):
    """A small version of a partner's day: normal load, a load peak, new plans, faults, and a total power loss at the
    end."""
    fleet = SimFleet(seed, ring_file_size=1 << 20, capacity=8)
    init_fault_state(fleet)
    fleet.bring_up()
    probes = {partner: fleet.until(start_conversation(fleet, partner), 60.0) for partner in PARTNERS}
    fleet.start_mix(45.0, clients=4)
    DAYS.find(name)(fleet)
    fleet.run(75.0)
    return _outcome(fleet, _run_until_settled(fleet) | _end_of_day(fleet, probes, outage=True))


def _outcome(fleet, violations, unserved=0.0):
    violations |= fleet.violations() | ({"lab": fleet.wrong} if fleet.wrong else {})
    return Outcome(
        fleet.seed,
        violations,
        len(fleet.view.requests),
        len(fleet.served()),
        fleet.timeline(),
        [line for line in fleet.lines if "rashed" in line],
        fleet.caused,
        {name: one.near for name, one in check(fleet.view, fleet.record).items()},
        unserved,
    )


@DAYS.enter("raceMorning")
def _race_morning(fleet):
    """Load peaks at the start of each race, with results coming in, replicas replaced one after another, and faults."""

    async def crowds():
        for _ in range(3):
            fleet.mark("gate0", "crowd")
            for _ in range(60):
                spawn(fleet.client.session("dalatech", 1), fleet.lab_log)
            for _ in range(40):
                spawn(
                    fleet.client.plain(
                        "dalatech", "results", {"n": fleet.client.new_id("n")}, fleet.client.new_id("k")
                    ),
                    fleet.lab_log,
                )
            await sleep(fleet.operator_reactor, 12.0)

    async def faults():
        for fault in (
            "replicaLeaves",
            "replicaWrong",
            "gateKilled",
            "controlPowerCut",
            "planChanges",
            "storeFrozen",
            "replicaWrong",
            "operatorsRace",
            "controlLosesDisk",
        ):
            spawn(inject_fault(fleet, fault), fleet.lab_log)
            await sleep(fleet.operator_reactor, fleet.random.uniform(2.0, 5.0))

    spawn(crowds(), fleet.lab_log)
    spawn(faults(), fleet.lab_log)


@DAYS.enter("laundryDay")
def _laundry_day(fleet):
    """A plan that grows to 2000 routes while it is in use, clock jumps, and a store that loses its disk."""

    async def growing():
        bindings = blueprint_of("nile", "nile-plan-1")["bindings"]
        for step in range(8):
            current = await fleet.operator.read_plan("nile")
            if current is not None:
                fleet.plan_count += 1
                marker = f"nile-plan-{fleet.plan_count}"
                blueprint = blueprint_of("nile", marker)
                blueprint["bindings"] |= {f"hotel-{number}": bindings["chat"] for number in range(250 * (step + 1))}
                await fleet.operator.put_plan("nile", current["version"], blueprint, marker)
            await sleep(fleet.operator_reactor, 4.0)

    async def faults():
        for fault in (
            "clockJumps",
            "storeLosesDisk",
            "clockJumps",
            "controlSlowDisk",
            "gateFrozen",
            "clockJumps",
            "coreSplit",
            "storeSlowDisk",
            "gateCutOff",
            "clockJumps",
        ):
            spawn(inject_fault(fleet, fault), fleet.lab_log)
            await sleep(fleet.operator_reactor, fleet.random.uniform(2.0, 5.0))

    spawn(growing(), fleet.lab_log)
    spawn(faults(), fleet.lab_log)


def total_outage(fleet):
    """All machines lose power at once, and all start again 1 s later."""
    for one in fleet.by_name.values():
        one.power_cut()
    fleet.run(1.0)
    for one in fleet.by_name.values():
        one.start()
    return fleet.time.now


async def check_served_again(fleet, probes, back_at):
    """Checks that all kinds of requests are served through every gateway within the bound after `back_at`: turns in old
    and new conversations, calls with and without idempotency key of both partners, and a new plan of each. Returns the
    seconds until the last was served, and a description of each that was late."""
    late, number = [], fleet.plan_count

    async def check_in_time(what, asked):
        ended = (await asked).ended()
        if ended is None or ended.done_at - back_at > SERVED_TIME:
            late.append(f"{what}: " + (f"{ended.done_at - back_at:.1f} s after the outage" if ended else "not served"))
        return ended.done_at if ended else float("inf")

    async def turns(partner, gate):
        program, client = fleet.client.new_id("p"), fleet.client
        await client.open_program(partner, program, 1000, gate)
        return max(
            await check_in_time(
                f"{partner} new conversation {gate}",
                client.turn(partner, program, "l", None, "after the outage", attempts=60, gateway=gate),
            ),
            await check_in_time(
                f"{partner} old conversation {gate}",
                client.turn(partner, *probes[partner], "after the outage", attempts=60, gateway=gate),
            ),
        )

    def calls(partner, gate):
        for key in (None, fleet.client.new_id("k")):
            yield check_in_time(
                f"{partner} {'keyed' if key else 'plain'} call {gate}",
                fleet.client.plain(
                    partner, PLAIN_NAMES[partner], {"n": fleet.client.new_id("n")}, key, attempts=60, gateway=gate
                ),
            )

    async def plan(partner, marker):
        while True:
            current = await fleet.operator.read_plan(partner)
            if current is not None:
                sent = await fleet.operator.put_plan(partner, current["version"], blueprint_of(partner, marker), marker)
                if sent.outcome == "accepted":
                    break
            await sleep(fleet.operator_reactor, 0.3)
        if fleet.time.now - back_at > SERVED_TIME:
            late.append(f"{partner}'s plan was accepted {fleet.time.now - back_at:.1f} s after the outage")
        return fleet.time.now

    fleet.plan_count += len(PARTNERS)
    gates = [one.machine.http for one in fleet.of_kind("gate")]
    works = [work for partner in PARTNERS for gate in gates for work in (turns(partner, gate), *calls(partner, gate))]
    works += [plan(partner, f"{partner}-plan-{number + 1}") for partner in PARTNERS]
    ends = [end if ok else float("inf") for ok, end in await settled(works)]
    return max(ends) - back_at, late


async def start_conversation(fleet, partner):
    program, line = fleet.client.new_id("p"), fleet.client.new_id("l")
    await fleet.client.open_program(partner, program, 100000)
    asked = await fleet.client.turn(partner, program, line, None, "before the outage", attempts=60)
    return program, line, asked.body["turnId"] if asked.ended() else None


def _end_of_day(fleet, probes, outage):
    violations = {}
    if outage:
        for replica in fleet.platform.replicas.values():
            replica.faults.clear()  # faults of replicas after the outage are outside this check
        back_at = total_outage(fleet)
        fleet.served_after, late = fleet.until(check_served_again(fleet, probes, back_at), 120.0)
        if late:
            violations["servedAgain"] = late
    for partner in PARTNERS:
        current = fleet.until(fleet.operator.read_plan(partner), 60.0)
        if current is None:
            violations.setdefault("plans", []).append(f"{partner}'s plan could not be read back")
            continue
        fleet.view.read_back[partner] = (current["version"], current["blueprint"]["bindings"]["chat"]["adapter"])
    return violations


def run_trial(seed, load_time=LOAD_TIME, pause=1.5, outage=True, callers=6):
    fleet = SimFleet(seed)
    init_fault_state(fleet)
    fleet.bring_up()
    served, since = {partner: [] for partner in PARTNERS}, fleet.time.now
    fleet.start_mix(load_time, callers)
    spawn(_inject_faults(fleet, since + load_time, pause), fleet.lab_log)
    for partner in PARTNERS:
        spawn(_send_steadily(fleet, partner, since + load_time + 10.0, served[partner]), fleet.lab_log)
    fleet.run(load_time + 15.0)
    unserved = max(longest_gap(times, since, since + load_time + 8.0) for times in served.values())
    violations = _run_until_settled(fleet)
    if unserved > UNSERVED_TIME:
        violations["unserved"] = [f"a partner was not served for {unserved:.1f} s"]
    probes = {partner: fleet.until(start_conversation(fleet, partner), 120.0) for partner in PARTNERS}
    return _outcome(fleet, violations | _end_of_day(fleet, probes, outage), unserved)
