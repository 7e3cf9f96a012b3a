"""Faults of the brief, one entry each, against a simulated fleet. They overlap as a schedule lets them.

Bounds of the brief: one disk machine of each kind is lost at a time (`fleet.losing`); everything else may overlap.
What a fault cuts, it heals itself, and `fleet.under` names the faults under way.
"""

from collections import Counter

from oakramp.common.errors import StorageCorruptedError
from oakramp.common.registry import Registry
from oakramp.common.tasks import settled, sleep, spawn
from oakramp.testbed.plan import PARTNERS, PLATFORM, blueprint_of

FAULTS = Registry("fault")


def arm(fleet):
    """Gives a fleet what the faults keep their books in."""
    fleet.busy, fleet.losing, fleet.plan_count = set(), set(), 1
    fleet.under, fleet.caused, fleet.wrong = Counter(), Counter(), []
    fleet.view.slack = 10.0  # s; a gate that is frozen answers late


async def cause(fleet, name):
    """One fault from its start to its end; `fleet.caused` counts those that found something to do."""
    fleet.under[name] += 1
    marks = len(fleet.marks)
    try:
        await FAULTS.find(name)(fleet)
    finally:
        fleet.under[name] -= 1
        fleet.caused[name] += len(fleet.marks) > marks


def _pick(fleet, kind):
    """A machine of this kind that nothing is the matter with, or None."""
    free = [one for one in fleet.of_kind(kind) if one.running and not one.host.frozen and one.name not in fleet.busy]
    return fleet.random.choice(free) if free else None


async def _cut_for(fleet, some, others, both_ways, seconds):
    """One-way: `some` cannot reach `others`, who still reach them. What two faults cut stays cut until the last heals."""
    pairs = {(one, other) for one in some for other in others if one != other}
    pairs |= {pair[::-1] for pair in pairs} if both_ways else set()
    fleet.network.hold(pairs)
    await sleep(fleet.operator_reactor, seconds)
    fleet.network.let_go(pairs)


async def _restart_after(fleet, one, seconds):
    await sleep(fleet.operator_reactor, seconds)
    fleet.mark(one.name, "started")
    one.start()


async def _killed(fleet, kind, power):
    one = _pick(fleet, kind)
    if one is None:
        return
    fleet.busy.add(one.name)
    (one.power_cut if power else one.kill)()
    await _restart_after(fleet, one, fleet.random.uniform(0.5, 6.0))
    await sleep(fleet.operator_reactor, 3.0)
    fleet.busy.discard(one.name)


@FAULTS.enter("gateKilled")
async def _gate_killed(fleet):
    await _killed(fleet, "gate", False)


@FAULTS.enter("gateFrozen")
async def _gate_frozen(fleet):
    await _frozen(fleet, "gate")


async def _frozen(fleet, kind):
    one = _pick(fleet, kind)
    if one is None:
        return
    fleet.busy.add(one.name)
    one.freeze()
    await sleep(fleet.operator_reactor, fleet.random.uniform(0.5, 8.0))
    one.thaw()
    await sleep(fleet.operator_reactor, 2.0)
    fleet.busy.discard(one.name)


async def _only_one(fleet, kind, work):
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
                await _only_one(fleet, kind, _killed(fleet, kind, False))

        @FAULTS.enter(f"{kind}PowerCut")
        async def power_cut(fleet):
            if kind not in fleet.losing:
                await _only_one(fleet, kind, _killed(fleet, kind, True))

        @FAULTS.enter(f"{kind}Frozen")
        async def frozen(fleet):
            if kind not in fleet.losing:
                await _only_one(fleet, kind, _frozen(fleet, kind))

        @FAULTS.enter(f"{kind}SlowDisk")
        async def slow_disk(fleet):
            one = _pick(fleet, kind)
            if one is None:
                return
            fleet.mark(one.name, "slow disk")
            one.disk.sync_time = fleet.random.choice((0.05, 0.3, 1.0))
            await sleep(fleet.operator_reactor, fleet.random.uniform(2.0, 10.0))
            one.disk.sync_time = 0.002
            fleet.mark(one.name, "disk well")

    _enter(_kind)


PATHS = {"store": "/v1/stores", "control": "/v1/roster"}


async def replace(fleet, kind, previous_id, one):
    """As an operator does: asks, and asks again, until the newcomer has the place."""
    path, joining = PATHS[kind], {"nodeId": one.node.node.node_id, "peer": one.machine.peer}
    while True:
        await sleep(fleet.operator_reactor, 1.0)
        status, record = await fleet.operator.ask("GET", path)
        if status != 200:
            continue
        member_ids = {row if isinstance(row, str) else row["nodeId"] for row in record["members"]}
        is_moving = record.get("next") is not None or record.get("joining") is not None
        if joining["nodeId"] in member_ids and not is_moving:
            return
        if previous_id in member_ids and not is_moving:
            await fleet.operator.ask(
                "POST", f"{path}/replace", {"basedOn": record["version"], "leaving": previous_id, "joining": joining}
            )


async def _replace_lost(fleet, kind):
    """A disk machine loses its disk, comes back empty, and its operator puts it in its former self's place."""
    one = _pick(fleet, kind)
    if one is None or kind in fleet.losing:
        return
    fleet.busy.add(one.name)
    await _only_one(fleet, kind, _lose_and_replace(fleet, kind, one))
    fleet.busy.discard(one.name)


async def _lose_and_replace(fleet, kind, one):
    previous_id = one.node.node.node_id
    one.power_cut()
    one.lose_disk()
    await _restart_after(fleet, one, fleet.random.uniform(0.5, 4.0))
    await replace(fleet, kind, previous_id, one)
    fleet.mark(one.name, "replaced")


def _spare(fleet, kind):
    """A new machine of this kind, started and empty."""
    one = fleet.add(kind, max(int(name.removeprefix(kind)) for name in fleet.by_name if name.startswith(kind)) + 1)
    one.seeds = [other.machine.peer for other in fleet.of_kind("control") if other.running][:3]
    fleet.mark(one.name, "joins")
    one.start()
    return one


def _retire(fleet, one):
    """A machine that has left for good."""
    fleet.mark(one.name, "retired")
    one.kill()
    del fleet.by_name[one.name]


@FAULTS.enter("storeLosesDisk")
async def _store_loses_disk(fleet):
    await _replace_lost(fleet, "store")


@FAULTS.enter("controlLosesDisk")
async def _control_loses_disk(fleet):
    await _replace_lost(fleet, "control")


@FAULTS.enter("coreSplit")
async def _core_split(fleet):
    if "control" in fleet.losing:
        return
    fleet.losing.add("control")
    names = [one.name for one in fleet.of_kind("control")]
    few = fleet.random.sample(names, fleet.random.choice((1, 2)))
    fleet.mark(few[0], f"cut off {' '.join(few)}")
    inside = [fleet[name].host.address for name in few]
    others = [one.host.address for one in fleet.of_kind("control") if one.name not in few]
    await _cut_for(fleet, inside, others, fleet.random.random() < 0.7, fleet.random.uniform(1.0, 8.0))
    fleet.mark(few[0], "healed")
    await sleep(fleet.operator_reactor, 2.0)
    fleet.losing.discard("control")


@FAULTS.enter("gateCutOff")
async def _gate_cut_off(fleet):
    one = _pick(fleet, "gate")
    if one is None:
        return
    fleet.mark(one.name, "cut from core")
    core = [other.host.address for other in fleet.of_kind("control")]
    await _cut_for(fleet, [one.host.address], core, fleet.random.random() < 0.5, fleet.random.uniform(1.0, 8.0))
    fleet.mark(one.name, "healed")


@FAULTS.enter("linkFlaps")
async def _link_flaps(fleet):
    """One link, in one direction, goes and comes."""
    one, other = fleet.random.sample(list(fleet.by_name.values()), 2)
    fleet.mark(one.name, f"flapping to {other.name}")
    pair = one.host.address, other.host.address
    for _ in range(6):
        await _cut_for(fleet, [pair[0]], [pair[1]], False, fleet.random.uniform(0.1, 1.5))
        await sleep(fleet.operator_reactor, fleet.random.uniform(0.1, 1.0))
    fleet.mark(one.name, "link well")


@FAULTS.enter("linkSlow")
async def _link_slow(fleet):
    """Every message between two machines takes long."""
    one, other = fleet.random.sample(list(fleet.by_name.values()), 2)
    fleet.mark(one.name, f"slow to {other.name}")
    pair = one.host.address, other.host.address
    fleet.network.delays[pair] = fleet.random.uniform(0.1, 1.5)
    await sleep(fleet.operator_reactor, fleet.random.uniform(2.0, 8.0))
    fleet.network.delays.pop(pair, None)


@FAULTS.enter("clockJumps")
async def _clock_jumps(fleet):
    one = fleet.random.choice(list(fleet.by_name.values()))
    fleet.mark(one.name, "wall clock jumps")
    one.wall_offset += fleet.random.choice((-86400.0, -30.0, 30.0, 3600.0))


def _may_leave(fleet, name):
    """Whether its pool keeps a ready replica without it."""
    rows = fleet.platform.rows
    return rows[name]["state"] == "ready" and any(
        row["pool"] == rows[name]["pool"] and row["state"] == "ready" for other, row in rows.items() if other != name
    )


@FAULTS.enter("replicaLeaves")
async def _replica_leaves(fleet):
    rest = [name for name in fleet.platform.rows if _may_leave(fleet, name)]
    if not rest:
        return
    name = fleet.random.choice(rest)
    fleet.mark(name, "leaving")
    fleet.platform.leave(name)


@FAULTS.enter("replicaWrong")
async def _replica_wrong(fleet):
    name = fleet.random.choice(sorted(fleet.platform.replicas))
    fault = fleet.random.choice(
        ("silent", "refuse", "gap", "repeat", "otherRun", "close", "badJson", "tooMuch", "noEnd")
    )
    fleet.mark(name, fault)
    fleet.platform.replicas[name].faults.append(fault)


@FAULTS.enter("gateJoins")
async def _gate_joins(fleet):
    if len(fleet.of_kind("gate")) < 5:
        fleet.caller.use_gate(_spare(fleet, "gate").machine.http)


@FAULTS.enter("storeEmptied")
async def _store_emptied(fleet):
    """An operator empties a store to a spare machine; what else happens meanwhile is up to the schedule, but no
    other store is lost."""
    one = _pick(fleet, "store")
    if one is None or "store" in fleet.losing:
        return
    fleet.busy.add(one.name)

    async def empty():
        spare = _spare(fleet, "store")
        fleet.busy.add(spare.name)
        await replace(fleet, "store", one.node.node.node_id, spare)
        fleet.busy.discard(spare.name)
        _retire(fleet, one)

    await _only_one(fleet, "store", empty())
    fleet.busy.discard(one.name)


@FAULTS.enter("controlMoved")
async def _control_moved(fleet):
    """A control machine dies, an empty one at a new address takes its place, and all seeds are swapped."""
    one = _pick(fleet, "control")
    if one is None or "control" in fleet.losing:
        return
    fleet.busy.add(one.name)

    async def move():
        previous_id = one.node.node.node_id
        if fleet.random.random() < 0.5:
            one.kill()
        spare = _spare(fleet, "control")
        fleet.busy.add(spare.name)
        fleet.operator.use_control(spare.machine.http)
        await replace(fleet, "control", previous_id, spare)
        fleet.busy.discard(spare.name)
        seeds = [other.machine.peer for other in fleet.of_kind("control") if other is not one]
        for other in fleet.by_name.values():
            other.seeds = fleet.random.sample(seeds, 3)  # for its next start
        fleet.operator.leave_control(one.machine.http)
        _retire(fleet, one)

    await _only_one(fleet, "control", move())
    fleet.busy.discard(one.name)


@FAULTS.enter("operatorsRaceOnMachines")
async def _operators_race_on_machines(fleet):
    """Two operators at once, built on the same version: each wants another store emptied to the same spare, and both
    mark one replica. One of two at most is told yes."""
    if "store" in fleet.losing or len([one for one in fleet.of_kind("store") if one.running]) < 3:
        return

    async def race():
        spare = _spare(fleet, "store")
        fleet.busy.add(spare.name)
        await sleep(fleet.operator_reactor, 2.0)
        _, record = await fleet.operator.ask("GET", PATHS["store"])
        if not isinstance(record, dict) or "version" not in record:
            return spare
        joining = {"nodeId": spare.node.node.node_id, "peer": spare.machine.peer}
        said = await settled(
            [
                fleet.operator.ask(
                    "POST",
                    f"{PATHS['store']}/replace",
                    {"basedOn": record["version"], "leaving": row["nodeId"], "joining": joining},
                )
                for row in record["members"][:2]
            ]
        )
        yes = [answer for ok, answer in said if ok and answer[0] == 200]
        if len(yes) > 1:
            fleet.wrong.append(f"two operators were both told yes: {yes}")
        return spare

    async def race_and_end():
        spare = await race()
        while True:
            await sleep(fleet.operator_reactor, 1.0)
            status, record = await fleet.operator.ask("GET", PATHS["store"])
            if status == 200 and record["phase"] == "stable":
                break
        member_ids = {row["nodeId"] for row in record["members"]}
        for one in [one for one in fleet.of_kind("store") if one.node.node.node_id not in member_ids]:
            _retire(fleet, one)
        fleet.busy.discard(spare.name)

    name = next(
        (name for name, row in fleet.platform.rows.items() if row["state"] == "ready" and _may_leave(fleet, name)), None
    )
    works = [_only_one(fleet, "store", race_and_end())]
    if name is not None:
        fleet.mark(name, "marked leaving twice")
        fleet.platform.leave(name)
        works += [fleet.operator.ask("POST", f"/v1/replicas/{name}/leaving", {}) for _ in range(2)]
    await settled(works)


@FAULTS.enter("rollingRestart")
async def _rolling_restart(fleet):
    """Every daemon of one kind is stopped in the planned way and started again, one after another."""
    kind = fleet.random.choice(("gate", "store", "control"))

    async def roll():
        for one in [
            one for one in fleet.of_kind(kind) if one.running and not one.host.frozen and one.name not in fleet.busy
        ]:
            if not one.running or one.host.frozen or one.name in fleet.busy:
                continue
            fleet.busy.add(one.name)
            await one.stop()
            fleet.mark(one.name, "started")
            one.start()
            await sleep(fleet.operator_reactor, 1.5)
            fleet.busy.discard(one.name)

    if kind == "gate":
        await roll()
    elif kind not in fleet.losing:
        await _only_one(fleet, kind, roll())


@FAULTS.enter("zoneLost")
async def _zone_lost(fleet):
    """All machines of a zone lose their power at once and come back: one store, and a minority of the core."""
    zone = f"zone{fleet.random.randrange(3)}"
    few = [one for one in fleet.by_name.values() if one.machine.zone == zone]
    counts = Counter(one.machine.kind for one in few)
    if (
        fleet.losing
        or counts["store"] > 1
        or counts["control"] > 2
        or any(one.name in fleet.busy or not one.running or one.host.frozen for one in few)
    ):
        return
    fleet.losing |= {"store", "control"}
    fleet.busy |= {one.name for one in few}
    for one in few:
        one.power_cut()
    await sleep(fleet.operator_reactor, fleet.random.uniform(1.0, 6.0))
    for one in few:
        fleet.mark(one.name, "started")
        one.start()
    await sleep(fleet.operator_reactor, 4.0)
    fleet.busy -= {one.name for one in few}
    fleet.losing -= {"store", "control"}


@FAULTS.enter("diskFails")
async def _disk_fails(fleet):
    """Writes and syncs fail for a while; the process must be started again to trust the disk."""
    kind = fleet.random.choice(("store", "control"))
    one = _pick(fleet, kind)
    if one is None or kind in fleet.losing:
        return
    fleet.busy.add(one.name)

    async def fail():
        fleet.mark(one.name, "disk fails")
        one.disk.failing = True
        await sleep(fleet.operator_reactor, fleet.random.uniform(1.0, 6.0))
        one.disk.failing = False
        one.kill()
        await _restart_after(fleet, one, 0.5)
        await sleep(fleet.operator_reactor, 3.0)

    await _only_one(fleet, kind, fail())
    fleet.busy.discard(one.name)


@FAULTS.enter("diskDamaged")
async def _disk_damaged(fleet):
    """A byte goes bad while a node is down. If the node says so at its start, it is replaced by an empty one."""
    kind = fleet.random.choice(("store", "control"))
    one = _pick(fleet, kind)
    if one is None or kind in fleet.losing:
        return
    fleet.busy.add(one.name)

    async def damage():
        one.power_cut()
        for _ in range(20):
            one.disk.damage(f"ring.{fleet.random.randrange(8):03d}", fleet.random.randrange(4096))
        fleet.mark(one.name, "damaged")
        previous_id = one.node.node.node_id
        await sleep(fleet.operator_reactor, 1.0)
        try:
            one.start()
            fleet.mark(one.name, "started")
        except StorageCorruptedError:
            fleet.mark(one.name, "refuses its disk")
            one.kill()
            one.lose_disk()
            one.start()
            await replace(fleet, kind, previous_id, one)
            fleet.mark(one.name, "replaced")
        await sleep(fleet.operator_reactor, 3.0)

    await _only_one(fleet, kind, damage())
    fleet.busy.discard(one.name)


@FAULTS.enter("halfOpen")
async def _half_open(fleet):
    """A machine hears all the others and none of them hears it; or it ends while nobody can be told."""
    one = _pick(fleet, fleet.random.choice(("gate", "store", "control")))
    if one is None or one.machine.kind in fleet.losing:
        return
    fleet.busy.add(one.name)

    async def close():
        fleet.mark(one.name, "half-open")
        others = [other.host.address for other in fleet.by_name.values()]
        ends = fleet.random.random() < 0.5
        if ends:
            one.power_cut()  # its peers are told nothing
        await _cut_for(fleet, [one.host.address], others, False, fleet.random.uniform(1.0, 6.0))
        if ends:
            await _restart_after(fleet, one, 0.0)
        await sleep(fleet.operator_reactor, 3.0)

    if one.machine.kind == "gate":
        await close()
    else:
        await _only_one(fleet, one.machine.kind, close())
    fleet.busy.discard(one.name)


@FAULTS.enter("platformCut")
async def _platform_cut(fleet):
    """Some of the control nodes, or all, do not reach the platform."""
    controls = [one.host.address for one in fleet.of_kind("control")]
    few = fleet.random.sample(controls, fleet.random.randint(1, len(controls)))
    fleet.mark("platform", f"cut from {len(few)} control nodes")
    since = fleet.time.now
    await _cut_for(fleet, few, [PLATFORM.partition(":")[0]], True, fleet.random.uniform(2.0, 8.0))
    fleet.mark("platform", "healed")
    if len(few) > len(controls) // 2:
        fleet.record.away_spans.append((since, fleet.time.now))


@FAULTS.enter("replicasReplaced")
async def _replicas_replaced(fleet):
    """In a crowd, replicas of one pool leave one after another, each when a new one has joined."""
    partner = fleet.random.choice(PARTNERS)
    pool = f"{partner}-model"
    for _ in range(30):
        spawn(fleet.caller.session(partner, 1), fleet.lab_log)
    for _ in range(2):
        ready = sorted(
            name for name, row in fleet.platform.rows.items() if row["pool"] == pool and row["state"] == "ready"
        )
        if not ready or len(fleet.platform.rows) > 30:
            return
        fleet.add_replica(pool)
        await sleep(fleet.operator_reactor, 1.5)
        fleet.mark(ready[0], "leaving")
        fleet.platform.leave(ready[0])
        await sleep(fleet.operator_reactor, 1.5)


@FAULTS.enter("planChanges")
async def _plan_changes(fleet):
    await send_plan(fleet, fleet.random.choice(PARTNERS))


@FAULTS.enter("operatorsRace")
async def _operators_race(fleet):
    partner = fleet.random.choice(PARTNERS)
    works = [spawn(send_plan(fleet, partner), fleet.lab_log) for _ in range(2)]
    for work in works:
        await work


async def send_plan(fleet, partner):
    """Puts a plan on the version last read; a maybe is asked again under the same change id."""
    current = await fleet.operator.read_plan(partner)
    if current is None:
        return
    fleet.plan_count += 1
    marker = f"{partner}-plan-{fleet.plan_count}"
    blueprint = blueprint_of(partner, marker)
    sent = await fleet.operator.put_plan(partner, current["version"], blueprint, marker)
    for _ in range(5):
        if sent.outcome != "maybe":
            return
        await sleep(fleet.operator_reactor, 1.0)
        sent = await fleet.operator.put_plan(partner, current["version"], blueprint, marker, sent.change_id)
