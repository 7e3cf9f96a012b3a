"""Seeded random schedules of faults against a simulated fleet under load, held against the rules.

Bounds of the brief: one disk machine of each kind is lost at a time; everything else may overlap.
"""
from dataclasses import dataclass

from oakbase.registry import Registry
from oakbase.tasks import sleep, spawn
from oaklab.plan import PARTNERS, blueprintOf
from oaklab.simfleet import SimFleet

FAULTS, DAYS = Registry("fault"), Registry("day")
SERVED_TIME = 12.0  # s; the brief's bound after a total fault
LOAD_TIME = 40.0    # s of load in one trial


@dataclass
class Outcome:
    seed: int
    violations: dict
    asked: int
    ended: int
    timeline: str
    crashes: list


def _pick(fleet, kind):
    """A machine of this kind that nothing is the matter with, or None."""
    free = [one for one in fleet.ofKind(kind) if one.running and not one.host.frozen
            and one.name not in fleet.busy]
    return fleet.random.choice(free) if free else None


async def _restartAfter(fleet, one, seconds):
    await sleep(fleet.operatorReactor, seconds)
    fleet.mark(one.name, "started")
    one.start()


async def _killed(fleet, kind, power):
    one = _pick(fleet, kind)
    if one is None:
        return
    fleet.busy.add(one.name)
    (one.powerCut if power else one.kill)()
    await _restartAfter(fleet, one, fleet.random.uniform(0.5, 6.0))
    await sleep(fleet.operatorReactor, 3.0)
    fleet.busy.discard(one.name)


@FAULTS.enter("gateKilled")
async def _gateKilled(fleet):
    await _killed(fleet, "gate", False)


@FAULTS.enter("gateFrozen")
async def _gateFrozen(fleet):
    await _frozen(fleet, "gate")


async def _frozen(fleet, kind):
    one = _pick(fleet, kind)
    if one is None:
        return
    fleet.busy.add(one.name)
    one.freeze()
    await sleep(fleet.operatorReactor, fleet.random.uniform(0.5, 8.0))
    one.thaw()
    await sleep(fleet.operatorReactor, 2.0)
    fleet.busy.discard(one.name)


async def _onlyOne(fleet, kind, work):
    """The loss of one disk machine of a kind at a time."""
    if kind in fleet.losing:
        return
    fleet.losing.add(kind)
    try:
        await work
    finally:
        fleet.losing.discard(kind)


for _kind in ("control", "store"):
    def _enter(kind):
        @FAULTS.enter(f"{kind}Killed")
        async def killed(fleet):
            if kind not in fleet.losing:
                await _onlyOne(fleet, kind, _killed(fleet, kind, False))

        @FAULTS.enter(f"{kind}PowerCut")
        async def powerCut(fleet):
            if kind not in fleet.losing:
                await _onlyOne(fleet, kind, _killed(fleet, kind, True))

        @FAULTS.enter(f"{kind}Frozen")
        async def frozen(fleet):
            if kind not in fleet.losing:
                await _onlyOne(fleet, kind, _frozen(fleet, kind))

        @FAULTS.enter(f"{kind}SlowDisk")
        async def slowDisk(fleet):
            one = _pick(fleet, kind)
            if one is None:
                return
            fleet.mark(one.name, "slow disk")
            one.disk.syncTime = fleet.random.choice((0.05, 0.3, 1.0))
            await sleep(fleet.operatorReactor, fleet.random.uniform(2.0, 10.0))
            one.disk.syncTime = 0.002
            fleet.mark(one.name, "disk well")
    _enter(_kind)


async def _replaceLost(fleet, kind, path):
    """A disk machine loses its disk, comes back empty, and its operator puts it in its former self's place."""
    one = _pick(fleet, kind)
    if one is None or kind in fleet.losing:
        return
    fleet.losing.add(kind)
    fleet.busy.add(one.name)
    formerId = one.node.node.nodeId
    one.powerCut()
    one.loseDisk()
    await _restartAfter(fleet, one, fleet.random.uniform(0.5, 4.0))
    joining = {"nodeId": one.node.node.nodeId, "peer": one.machine.peer}
    while True:
        await sleep(fleet.operatorReactor, 1.0)
        status, record = await fleet.operator.ask("GET", path)
        if status != 200:
            continue
        memberIds = {row if isinstance(row, str) else row["nodeId"] for row in record["members"]}
        if joining["nodeId"] in memberIds and record.get("next") is None and record.get("joining") is None:
            break
        if formerId in memberIds and not (record.get("next") or record.get("joining")):
            await fleet.operator.ask("POST", f"{path}/replace", {
                "basedOn": record["version"], "leaving": formerId, "joining": joining})
    fleet.mark(one.name, "replaced")
    fleet.busy.discard(one.name)
    fleet.losing.discard(kind)


@FAULTS.enter("storeLosesDisk")
async def _storeLosesDisk(fleet):
    await _replaceLost(fleet, "store", "/v1/stores")


@FAULTS.enter("controlLosesDisk")
async def _controlLosesDisk(fleet):
    await _replaceLost(fleet, "control", "/v1/roster")


@FAULTS.enter("coreSplit")
async def _coreSplit(fleet):
    if "control" in fleet.losing:
        return
    fleet.losing.add("control")
    names = [one.name for one in fleet.ofKind("control")]
    few = fleet.random.sample(names, fleet.random.choice((1, 2)))
    fleet.mark(few[0], f"cut off {' '.join(few)}")
    inside = [fleet[name].host.address for name in few]
    others = [one.host.address for one in fleet.ofKind("control") if one.name not in few]
    fleet.network.cut(inside, others, bothWays=fleet.random.random() < 0.7)
    await sleep(fleet.operatorReactor, fleet.random.uniform(1.0, 8.0))
    fleet.network.heal()
    fleet.mark(few[0], "healed")
    await sleep(fleet.operatorReactor, 2.0)
    fleet.losing.discard("control")


@FAULTS.enter("gateCutOff")
async def _gateCutOff(fleet):
    one = _pick(fleet, "gate")
    if one is None:
        return
    fleet.mark(one.name, "cut from core")
    core = [other.host.address for other in fleet.ofKind("control")]
    fleet.network.cut([one.host.address], core, bothWays=fleet.random.random() < 0.5)
    await sleep(fleet.operatorReactor, fleet.random.uniform(1.0, 8.0))
    fleet.network.heal()
    fleet.mark(one.name, "healed")


@FAULTS.enter("linkFlaps")
async def _linkFlaps(fleet):
    """One link, in one direction, goes and comes."""
    one, other = fleet.random.sample(list(fleet.byName.values()), 2)
    fleet.mark(one.name, f"flapping to {other.name}")
    pair = one.host.address, other.host.address
    for _ in range(6):
        fleet.network.cuts.add(pair)
        await sleep(fleet.operatorReactor, fleet.random.uniform(0.1, 1.5))
        fleet.network.cuts.discard(pair)
        await sleep(fleet.operatorReactor, fleet.random.uniform(0.1, 1.0))
    fleet.mark(one.name, "link well")


@FAULTS.enter("linkSlow")
async def _linkSlow(fleet):
    """Every message between two machines takes long."""
    one, other = fleet.random.sample(list(fleet.byName.values()), 2)
    fleet.mark(one.name, f"slow to {other.name}")
    pair = one.host.address, other.host.address
    fleet.network.delays[pair] = fleet.random.uniform(0.1, 1.5)
    await sleep(fleet.operatorReactor, fleet.random.uniform(2.0, 8.0))
    fleet.network.delays.pop(pair, None)


@FAULTS.enter("clockJumps")
async def _clockJumps(fleet):
    one = fleet.random.choice(list(fleet.byName.values()))
    fleet.mark(one.name, "wall clock jumps")
    one.wallOffset += fleet.random.choice((-86400.0, -30.0, 30.0, 3600.0))


@FAULTS.enter("replicaLeaves")
async def _replicaLeaves(fleet):
    ready = [name for name, row in fleet.platform.rows.items() if row["state"] == "ready"]
    pool = fleet.platform.rows[ready[0]]["pool"] if ready else None
    rest = [name for name in ready if sum(row["pool"] == fleet.platform.rows[name]["pool"] and row["state"] == "ready"
                                          for row in fleet.platform.rows.values()) > 1]
    if not rest or pool is None:
        return
    name = fleet.random.choice(rest)
    fleet.mark(name, "leaving")
    fleet.platform.leave(name)


@FAULTS.enter("replicaWrong")
async def _replicaWrong(fleet):
    name = fleet.random.choice(sorted(fleet.platform.replicas))
    fault = fleet.random.choice(("silent", "refuse", "gap", "repeat", "otherRun", "close", "badJson", "tooMuch",
                                 "noEnd"))
    fleet.mark(name, fault)
    fleet.platform.replicas[name].faults.append(fault)


@FAULTS.enter("planChanges")
async def _planChanges(fleet):
    await sendPlan(fleet, fleet.random.choice(PARTNERS))


@FAULTS.enter("operatorsRace")
async def _operatorsRace(fleet):
    partner = fleet.random.choice(PARTNERS)
    works = [spawn(sendPlan(fleet, partner), fleet.labLog) for _ in range(2)]
    for work in works:
        await work


async def sendPlan(fleet, partner):
    """Puts a plan on the version last read; a maybe is asked again under the same change id."""
    current = await fleet.operator.readPlan(partner)
    if current is None:
        return
    fleet.planCount += 1
    marker = f"{partner}-plan-{fleet.planCount}"
    blueprint = blueprintOf(partner, marker)
    sent = await fleet.operator.putPlan(partner, current["version"], blueprint, marker)
    for _ in range(5):
        if sent.outcome != "maybe":
            return
        await sleep(fleet.operatorReactor, 1.0)
        sent = await fleet.operator.putPlan(partner, current["version"], blueprint, marker, sent.changeId)


async def _schedule(fleet, until, pause):
    while fleet.time.now < until:
        name = fleet.random.choice(FAULTS.names())
        spawn(FAULTS.find(name)(fleet), fleet.labLog)
        await sleep(fleet.operatorReactor, fleet.random.uniform(0.0, 2 * pause))


def runDay(name, seed):
    """A day of one partner, in small: calm, a crowd, plans, faults, and the power gone at the end."""
    fleet = SimFleet(seed, ringFileSize=1 << 20, capacity=8)
    fleet.busy, fleet.losing, fleet.planCount, fleet.probes = set(), set(), 1, {}
    fleet.bringUp()
    for partner in PARTNERS:
        fleet.probes[partner] = fleet.until(_probe(fleet, partner), 60.0)
    fleet.startMix(45.0, callers=4)
    DAYS.find(name)(fleet)
    fleet.run(75.0)
    violations = _endOfDay(fleet, outage=True)
    return Outcome(seed, violations, len(fleet.view.asked), len(fleet.served()), fleet.timeline(),
                   [line for line in fleet.lines if "rashed" in line])


@DAYS.enter("raceMorning")
def _raceMorning(fleet):
    """Crowds of runners at the start of each race, times coming in, replicas replaced one after another."""
    async def crowds():
        for _ in range(3):
            fleet.mark("gate0", "crowd")
            for _ in range(60):
                spawn(fleet.caller.session("dalatech", 1), fleet.labLog)
            for _ in range(40):
                spawn(fleet.caller.plain("dalatech", "results", {"n": fleet.caller.mint("n")}, fleet.caller.mint("k")),
                      fleet.labLog)
            await sleep(fleet.operatorReactor, 12.0)

    async def faults():
        for fault in ("replicaLeaves", "replicaWrong", "gateKilled", "controlPowerCut", "planChanges", "storeFrozen",
                      "replicaWrong", "operatorsRace", "controlLosesDisk"):
            spawn(FAULTS.find(fault)(fleet), fleet.labLog)
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
        for fault in ("clockJumps", "storeLosesDisk", "clockJumps", "controlSlowDisk", "gateFrozen", "clockJumps", "coreSplit",
                      "storeSlowDisk", "gateCutOff", "clockJumps"):
            spawn(FAULTS.find(fault)(fleet), fleet.labLog)
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


async def _firstServed(fleet, backAt):
    """A line that is kept from before the outage goes on, at both partners."""
    for partner in PARTNERS:
        asked = await fleet.caller.turn(partner, *fleet.probes[partner], "after the outage", attempts=60)
        if not asked.ended():
            return f"{partner} was not served after the outage"
        if asked.ended().doneAt - backAt > SERVED_TIME:
            return f"{partner} was served {asked.ended().doneAt - backAt:.1f} s after the outage"
    return None


async def _probe(fleet, partner):
    program, line = fleet.caller.mint("p"), fleet.caller.mint("l")
    await fleet.caller.openProgram(partner, program, 100000)
    asked = await fleet.caller.turn(partner, program, line, None, "before the outage", attempts=60)
    return program, line, asked.body["turnId"] if asked.ended() else None


def _endOfDay(fleet, outage):
    violations = {}
    if outage:
        backAt = totalOutage(fleet)
        late = fleet.until(_firstServed(fleet, backAt), 120.0)
        if late:
            violations["servedAgain"] = [late]
    for partner in PARTNERS:
        current = fleet.until(fleet.operator.readPlan(partner), 60.0)
        if current is None:
            violations.setdefault("plans", []).append(f"{partner}'s plan cannot be read back")
            continue
        fleet.view.readBack[partner] = (current["version"], current["blueprint"]["bindings"]["chat"]["adapter"])
    return violations | fleet.violations()


def runTrial(seed, loadTime=LOAD_TIME, pause=1.5, outage=True, callers=6):
    fleet = SimFleet(seed)
    fleet.busy, fleet.losing, fleet.planCount, fleet.probes = set(), set(), 1, {}
    fleet.bringUp()
    fleet.startMix(loadTime, callers)
    spawn(_schedule(fleet, fleet.time.now + loadTime, pause), fleet.labLog)
    fleet.run(loadTime + 25.0)
    for partner in PARTNERS:
        fleet.probes[partner] = fleet.until(_probe(fleet, partner), 120.0)
    violations = _endOfDay(fleet, outage)
    crashes = [line for line in fleet.lines if "rashed" in line]
    return Outcome(seed, violations, len(fleet.view.asked), len(fleet.served()), fleet.timeline(), crashes)
