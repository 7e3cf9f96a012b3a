"""Seeded random schedules of faults against a simulated fleet under load, held against the rules, and against what
must be true again once the faults have ended."""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

from oakbase.constants import SLOTS
from oakbase.registry import Registry
from oakbase.tasks import settled, sleep, spawn
from oakcontrol.slots import unpackEntry
from oaklab.checker import check
from oaklab.faults import FAULTS, arm, cause
from oaklab.plan import PARTNERS, PLAIN_NAMES, blueprintOf
from oaklab.simfleet import SimFleet

DAYS = Registry("day")
SERVED_TIME = 12.0  # s; the brief's bound after a total fault
UNSERVED_TIME = 12.0  # s; a partner's calls find a replica at least so often, with one disk machine of a kind away
PROBE_PAUSE = 0.5  # s; between the steady calls that this is seen by
FAULTS_TIME = 90.0  # s; all faults have ended and their replacements are through within this after the load
SETTLE_TIME = 12.0  # s; after that, what was left open is closed, and all copies agree
LOAD_TIME = 40.0  # s of load in one trial


@dataclass
class Outcome:
    seed: int
    violations: dict
    asked: int
    ended: int
    timeline: str
    crashes: list
    caused: Counter = field(default_factory=Counter)  # faults by kind
    near: dict = field(default_factory=dict)  # cases by rule that came near its fault
    unserved: float = 0.0  # s; the longest that a partner's steady calls went unserved


async def _schedule(fleet, until, pause):
    while fleet.time.now < until:
        name = fleet.random.choice(FAULTS.names())
        spawn(cause(fleet, name), fleet.labLog)
        await sleep(fleet.operatorReactor, fleet.random.uniform(0.0, 2 * pause))


# --- what must be true again ------------------------------------------------------


async def _steady(fleet, partner, until, served):
    """Calls at a steady pace, each tried once; the times at which one was served."""

    async def one():
        asked = await fleet.caller.plain(
            partner, PLAIN_NAMES[partner], {"n": fleet.caller.mint("n")}, attempts=1, timeLeft=3
        )
        served.extend(attempt.doneAt for attempt in asked.attempts if attempt.outcome == "end")

    while fleet.time.now < until:
        spawn(one(), fleet.labLog)
        await sleep(fleet.callerReactor, PROBE_PAUSE)


def longestGap(times, since, until):
    marks = sorted([since, *(at for at in times if since <= at <= until), until])
    return max(later - earlier for earlier, later in zip(marks, marks[1:]))


def leftovers(fleet):
    """What should be gone, and is not, some time after the last fault has ended."""
    found = defaultdict(list)
    gates = [one for one in fleet.ofKind("gate") if one.running]
    liveIds = {one.node.node.nodeId for one in gates}
    for one in gates:
        waiting, running, background = one.node.placer.waitingCount(), one.node.web.running, len(one.node.settling)
        held = sum(replica.ownRunning for replica in one.node.placer.replicas.values())
        if waiting or running or background or held:
            found["gate"].append(f"{one.name}: {waiting} wait, {running} run, {background} settle, {held} places held")
    owners = defaultdict(list)
    for one in (one for one in fleet.ofKind("control") if one.running):
        for slot, owner in one.node.owners.held.items():
            owners[slot] += [one.name] if owner.holdsTerm() else []
            found["reservation"] += [
                f"{key}: {turn}"
                for key in owner.entries
                if key.startswith("budget/") and "#" not in key
                for turn, row in unpackEntry(owner.entries[key])["open"].items()
                if row["gate"] in liveIds
            ]
    found["slot"] += [f"slot {slot} has owners {owners[slot]}" for slot in range(SLOTS) if len(owners[slot]) != 1]
    stores = [one for one in fleet.ofKind("store") if one.running and one.node.store.isMember]
    found["hint"] += [
        f"{one.name} keeps {one.node.store.hintsByMember()}" for one in stores if one.node.store.hintCount()
    ]
    found["store"] += [f"{one.name} does not cover" for one in stores if not one.node.store.covers]
    digests = [{key: row.digest() for key, row in one.node.store.table.rows.items()} for one in stores]
    found["copies"] += sorted(
        {key for table in digests for key in table if len({other.get(key) for other in digests}) > 1}
    )[:5]
    return {what: rows for what, rows in found.items() if rows}


def _awaitEnd(fleet):
    """Runs until the faults have ended, and a while more; gives what is left over."""
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


def runDay(name, seed):
    """A day of one partner, in small: calm, a crowd, plans, faults, and the power gone at the end."""
    fleet = SimFleet(seed, ringFileSize=1 << 20, capacity=8)
    arm(fleet)
    fleet.bringUp()
    probes = {partner: fleet.until(probe(fleet, partner), 60.0) for partner in PARTNERS}
    fleet.startMix(45.0, callers=4)
    DAYS.find(name)(fleet)
    fleet.run(75.0)
    return _outcome(fleet, _awaitEnd(fleet) | _endOfDay(fleet, probes, outage=True))


def _outcome(fleet, violations, unserved=0.0):
    violations |= fleet.violations() | ({"lab": fleet.wrong} if fleet.wrong else {})
    return Outcome(
        fleet.seed,
        violations,
        len(fleet.view.asked),
        len(fleet.served()),
        fleet.timeline(),
        [line for line in fleet.lines if "rashed" in line],
        fleet.caused,
        {name: one.near for name, one in check(fleet.view, fleet.record).items()},
        unserved,
    )


@DAYS.enter("raceMorning")
def _raceMorning(fleet):
    """Crowds of runners at the start of each race, times coming in, replicas replaced one after another."""

    async def crowds():
        for _ in range(3):
            fleet.mark("gate0", "crowd")
            for _ in range(60):
                spawn(fleet.caller.session("dalatech", 1), fleet.labLog)
            for _ in range(40):
                spawn(
                    fleet.caller.plain("dalatech", "results", {"n": fleet.caller.mint("n")}, fleet.caller.mint("k")),
                    fleet.labLog,
                )
            await sleep(fleet.operatorReactor, 12.0)

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
            spawn(cause(fleet, fault), fleet.labLog)
            await sleep(fleet.operatorReactor, fleet.random.uniform(2.0, 5.0))

    spawn(crowds(), fleet.labLog)
    spawn(faults(), fleet.labLog)


@DAYS.enter("laundryDay")
def _laundryDay(fleet):
    """A plan that grows to 2000 routes while it is used, clocks that jump, and a store that is emptied."""

    async def growing():
        bindings = blueprintOf("nile", "nile-plan-1")["bindings"]
        for step in range(8):
            current = await fleet.operator.readPlan("nile")
            if current is not None:
                fleet.planCount += 1
                marker = f"nile-plan-{fleet.planCount}"
                blueprint = blueprintOf("nile", marker)
                blueprint["bindings"] |= {f"hotel-{number}": bindings["chat"] for number in range(250 * (step + 1))}
                await fleet.operator.putPlan("nile", current["version"], blueprint, marker)
            await sleep(fleet.operatorReactor, 4.0)

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
            spawn(cause(fleet, fault), fleet.labLog)
            await sleep(fleet.operatorReactor, fleet.random.uniform(2.0, 5.0))

    spawn(growing(), fleet.labLog)
    spawn(faults(), fleet.labLog)


def totalOutage(fleet):
    """The power goes everywhere at once and comes back."""
    for one in fleet.byName.values():
        one.powerCut()
    fleet.run(1.0)
    for one in fleet.byName.values():
        one.start()
    return fleet.time.now


async def servedAgain(fleet, probes, backAt):
    """Everything that callers and operators may want, through every gate, within the bound after `backAt`: turns on
    old and new lines, keyed and plain calls of both partners, and a plan of each. What was not, in words."""
    late, number = [], fleet.planCount

    async def timely(what, asked):
        ended = (await asked).ended()
        if ended is None or ended.doneAt - backAt > SERVED_TIME:
            late.append(f"{what}: " + (f"{ended.doneAt - backAt:.1f} s after the outage" if ended else "not served"))
        return ended.doneAt if ended else float("inf")

    async def turns(partner, gate):
        program, caller = fleet.caller.mint("p"), fleet.caller
        await caller.openProgram(partner, program, 1000, gate)
        return max(
            await timely(
                f"{partner} new line {gate}",
                caller.turn(partner, program, "l", None, "after the outage", attempts=60, gate=gate),
            ),
            await timely(
                f"{partner} old line {gate}",
                caller.turn(partner, *probes[partner], "after the outage", attempts=60, gate=gate),
            ),
        )

    def calls(partner, gate):
        for key in (None, fleet.caller.mint("k")):
            yield timely(
                f"{partner} {'keyed' if key else 'plain'} call {gate}",
                fleet.caller.plain(
                    partner, PLAIN_NAMES[partner], {"n": fleet.caller.mint("n")}, key, attempts=60, gate=gate
                ),
            )

    async def plan(partner, marker):
        while True:
            current = await fleet.operator.readPlan(partner)
            if current is not None:
                sent = await fleet.operator.putPlan(partner, current["version"], blueprintOf(partner, marker), marker)
                if sent.outcome == "accepted":
                    break
            await sleep(fleet.operatorReactor, 0.3)
        if fleet.time.now - backAt > SERVED_TIME:
            late.append(f"{partner}'s plan was accepted {fleet.time.now - backAt:.1f} s after the outage")
        return fleet.time.now

    fleet.planCount += len(PARTNERS)
    gates = [one.machine.http for one in fleet.ofKind("gate")]
    works = [work for partner in PARTNERS for gate in gates for work in (turns(partner, gate), *calls(partner, gate))]
    works += [plan(partner, f"{partner}-plan-{number + 1}") for partner in PARTNERS]
    ends = [end if ok else float("inf") for ok, end in await settled(works)]
    return max(ends) - backAt, late


async def probe(fleet, partner):
    program, line = fleet.caller.mint("p"), fleet.caller.mint("l")
    await fleet.caller.openProgram(partner, program, 100000)
    asked = await fleet.caller.turn(partner, program, line, None, "before the outage", attempts=60)
    return program, line, asked.body["turnId"] if asked.ended() else None


def _endOfDay(fleet, probes, outage):
    violations = {}
    if outage:
        for replica in fleet.platform.replicas.values():
            replica.faults.clear()  # what a replica does wrong after the outage is no fault of ours
        backAt = totalOutage(fleet)
        fleet.servedAfter, late = fleet.until(servedAgain(fleet, probes, backAt), 120.0)
        if late:
            violations["servedAgain"] = late
    for partner in PARTNERS:
        current = fleet.until(fleet.operator.readPlan(partner), 60.0)
        if current is None:
            violations.setdefault("plans", []).append(f"{partner}'s plan cannot be read back")
            continue
        fleet.view.readBack[partner] = (current["version"], current["blueprint"]["bindings"]["chat"]["adapter"])
    return violations


def runTrial(seed, loadTime=LOAD_TIME, pause=1.5, outage=True, callers=6):
    fleet = SimFleet(seed)
    arm(fleet)
    fleet.bringUp()
    served, since = {partner: [] for partner in PARTNERS}, fleet.time.now
    fleet.startMix(loadTime, callers)
    spawn(_schedule(fleet, since + loadTime, pause), fleet.labLog)
    for partner in PARTNERS:
        spawn(_steady(fleet, partner, since + loadTime + 10.0, served[partner]), fleet.labLog)
    fleet.run(loadTime + 15.0)
    unserved = max(longestGap(times, since, since + loadTime + 8.0) for times in served.values())
    violations = _awaitEnd(fleet)
    if unserved > UNSERVED_TIME:
        violations["unserved"] = [f"a partner was not served for {unserved:.1f} s"]
    probes = {partner: fleet.until(probe(fleet, partner), 120.0) for partner in PARTNERS}
    return _outcome(fleet, violations | _endOfDay(fleet, probes, outage), unserved)
