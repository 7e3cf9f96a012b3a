"""The faults that the fleet must tolerate, one function each, for a simulated fleet. Faults may overlap, as their
schedule decides.

The required tolerance is one lost machine with a disk of each kind at a time (`fleet.losing`); all other faults may
overlap. A fault heals the links that it cut, and `fleet.under` counts the faults in progress.
"""

from collections import Counter

from oakramp.common.errors import StorageCorruptedError
from oakramp.common.registry import Registry
from oakramp.common.tasks import settled, sleep, spawn
from oakramp.testbed.plan import PARTNERS, PLATFORM, blueprint_of

FAULTS = Registry("fault")


def init_fault_state(fleet):
    """Adds the state that the faults need to a fleet."""
    fleet.busy, fleet.losing, fleet.plan_count = set(), set(), 1
    fleet.under, fleet.caused, fleet.wrong = Counter(), Counter(), []
    fleet.view.slack = 10.0  # s; a frozen gateway responds late


async def inject_fault(fleet, name):
    """Runs one fault from its start to its end; `fleet.caused` counts the faults that had any effect."""
    fleet.under[name] += 1
    marks = len(fleet.marks)
    try:
        await FAULTS.find(name)(fleet)
    finally:
        fleet.under[name] -= 1
        fleet.caused[name] += len(fleet.marks) > marks


def _pick_healthy(fleet, kind):
    """A machine of this kind without any fault, or None."""
    free = [one for one in fleet.of_kind(kind) if one.running and not one.host.frozen and one.name not in fleet.busy]
    return fleet.random.choice(free) if free else None


async def _cut_for(fleet, some, others, both_ways, seconds):
    """Cuts the links from `some` to `others`, and those back if `both_ways`. A link that several faults cut is down until
    the last of them heals it."""
    pairs = {(one, other) for one in some for other in others if one != other}
    pairs |= {pair[::-1] for pair in pairs} if both_ways else set()
    fleet.network.hold(pairs)
    await sleep(fleet.operator_reactor, seconds)
    fleet.network.let_go(pairs)


async def _restart_after(fleet, one, seconds):
    await sleep(fleet.operator_reactor, seconds)
    fleet.mark(one.name, "started")
    one.start()


async def _kill_and_restart(fleet, kind, power):
    one = _pick_healthy(fleet, kind)
    if one is None:
        return
    fleet.busy.add(one.name)
    (one.power_cut if power else one.kill)()
    await _restart_after(fleet, one, fleet.random.uniform(0.5, 6.0))
    await sleep(fleet.operator_reactor, 3.0)
    fleet.busy.discard(one.name)


@FAULTS.enter("gateKilled")
async def _gate_killed(fleet):
    await _kill_and_restart(fleet, "gate", False)


@FAULTS.enter("gateFrozen")
async def _gate_frozen(fleet):
    await _freeze_and_thaw(fleet, "gate")


async def _freeze_and_thaw(fleet, kind):
    one = _pick_healthy(fleet, kind)
    if one is None:
        return
    fleet.busy.add(one.name)
    one.freeze()
    await sleep(fleet.operator_reactor, fleet.random.uniform(0.5, 8.0))
    one.thaw()
    await sleep(fleet.operator_reactor, 2.0)
    fleet.busy.discard(one.name)


async def _unless_losing(fleet, kind, work):
    """Runs a fault that loses a machine with a disk, unless another such fault of this kind is in progress."""
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
                await _unless_losing(fleet, kind, _kill_and_restart(fleet, kind, False))

        @FAULTS.enter(f"{kind}PowerCut")
        async def power_cut(fleet):
            if kind not in fleet.losing:
                await _unless_losing(fleet, kind, _kill_and_restart(fleet, kind, True))

        @FAULTS.enter(f"{kind}Frozen")
        async def frozen(fleet):
            if kind not in fleet.losing:
                await _unless_losing(fleet, kind, _freeze_and_thaw(fleet, kind))

        @FAULTS.enter(f"{kind}SlowDisk")
        async def slow_disk(fleet):
            one = _pick_healthy(fleet, kind)
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
    """Replaces a member as an operator does: repeats the request until the new machine is a member."""
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
    """A machine loses its disk and starts again empty, and an operator lets it replace the member that it was."""
    one = _pick_healthy(fleet, kind)
    if one is None or kind in fleet.losing:
        return
    fleet.busy.add(one.name)
    await _unless_losing(fleet, kind, _lose_and_replace(fleet, kind, one))
    fleet.busy.discard(one.name)


async def _lose_and_replace(fleet, kind, one):
    previous_id = one.node.node.node_id
    one.power_cut()
    one.lose_disk()
    await _restart_after(fleet, one, fleet.random.uniform(0.5, 4.0))
    await replace(fleet, kind, previous_id, one)
    fleet.mark(one.name, "replaced")


def _add_spare(fleet, kind):
    """Adds a machine of this kind with an empty disk, and starts it."""
    one = fleet.add(kind, max(int(name.removeprefix(kind)) for name in fleet.by_name if name.startswith(kind)) + 1)
    one.seeds = [other.machine.peer for other in fleet.of_kind("control") if other.running][:3]
    fleet.mark(one.name, "joins")
    one.start()
    return one


def _retire(fleet, one):
    """Removes a machine from the fleet for good."""
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
    one = _pick_healthy(fleet, "gate")
    if one is None:
        return
    fleet.mark(one.name, "cut from core")
    core = [other.host.address for other in fleet.of_kind("control")]
    await _cut_for(fleet, [one.host.address], core, fleet.random.random() < 0.5, fleet.random.uniform(1.0, 8.0))
    fleet.mark(one.name, "healed")


@FAULTS.enter("linkFlaps")
async def _link_flaps(fleet):
    """One link goes down and up again several times, in one direction."""
    one, other = fleet.random.sample(list(fleet.by_name.values()), 2)
    fleet.mark(one.name, f"flapping to {other.name}")
    pair = one.host.address, other.host.address
    for _ in range(6):
        await _cut_for(fleet, [pair[0]], [pair[1]], False, fleet.random.uniform(0.1, 1.5))
        await sleep(fleet.operator_reactor, fleet.random.uniform(0.1, 1.0))
    fleet.mark(one.name, "link well")


@FAULTS.enter("linkSlow")
async def _link_slow(fleet):
    """Messages from one machine to another are delayed."""
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
    """Whether the replica's pool has another ready replica."""
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
        fleet.client.add_gateway(_add_spare(fleet, "gate").machine.http)


@FAULTS.enter("storeEmptied")
async def _store_emptied(fleet):
    """An operator moves a store's data to a spare machine and retires the store. Other faults may happen meanwhile, but
    no other store is lost."""
    one = _pick_healthy(fleet, "store")
    if one is None or "store" in fleet.losing:
        return
    fleet.busy.add(one.name)

    async def empty():
        spare = _add_spare(fleet, "store")
        fleet.busy.add(spare.name)
        await replace(fleet, "store", one.node.node.node_id, spare)
        fleet.busy.discard(spare.name)
        _retire(fleet, one)

    await _unless_losing(fleet, "store", empty())
    fleet.busy.discard(one.name)


@FAULTS.enter("controlMoved")
async def _control_moved(fleet):
    """A new machine at another address replaces a control node, which half of the time has been killed before, and all
    nodes get new seeds."""
    one = _pick_healthy(fleet, "control")
    if one is None or "control" in fleet.losing:
        return
    fleet.busy.add(one.name)

    async def move():
        previous_id = one.node.node.node_id
        if fleet.random.random() < 0.5:
            one.kill()
        spare = _add_spare(fleet, "control")
        fleet.busy.add(spare.name)
        fleet.operator.add_control(spare.machine.http)
        await replace(fleet, "control", previous_id, spare)
        fleet.busy.discard(spare.name)
        seeds = [other.machine.peer for other in fleet.of_kind("control") if other is not one]
        for other in fleet.by_name.values():
            other.seeds = fleet.random.sample(seeds, 3)  # used from its next start on
        fleet.operator.remove_control(one.machine.http)
        _retire(fleet, one)

    await _unless_losing(fleet, "control", move())
    fleet.busy.discard(one.name)


@FAULTS.enter("operatorsRaceOnMachines")
async def _operators_race_on_machines(fleet):
    """Two operators at once send changes based on the same version: each replaces another store by the same spare, and
    both mark one replica as leaving. At most one of the two replacements may be accepted."""
    if "store" in fleet.losing or len([one for one in fleet.of_kind("store") if one.running]) < 3:
        return

    async def race():
        spare = _add_spare(fleet, "store")
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
            fleet.wrong.append(f"both of two conflicting changes were accepted: {yes}")
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
    works = [_unless_losing(fleet, "store", race_and_end())]
    if name is not None:
        fleet.mark(name, "marked leaving twice")
        fleet.platform.leave(name)
        works += [fleet.operator.ask("POST", f"/v1/replicas/{name}/leaving", {}) for _ in range(2)]
    await settled(works)


@FAULTS.enter("rollingRestart")
async def _rolling_restart(fleet):
    """All daemons of one kind are stopped gracefully and started again, one after another."""
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
        await _unless_losing(fleet, kind, roll())


@FAULTS.enter("zoneLost")
async def _zone_lost(fleet):
    """All machines of a zone lose power at once and start again later: one store, and a minority of the control
    nodes."""
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
    """Writes and syncs fail for a while; the process is restarted, since it does not use the disk again before."""
    kind = fleet.random.choice(("store", "control"))
    one = _pick_healthy(fleet, kind)
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

    await _unless_losing(fleet, kind, fail())
    fleet.busy.discard(one.name)


@FAULTS.enter("diskDamaged")
async def _disk_damaged(fleet):
    """Bytes on the disk are corrupted while a node is down. If the node detects that at its start, it is replaced by one
    with an empty disk."""
    kind = fleet.random.choice(("store", "control"))
    one = _pick_healthy(fleet, kind)
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

    await _unless_losing(fleet, kind, damage())
    fleet.busy.discard(one.name)


@FAULTS.enter("halfOpen")
async def _half_open(fleet):
    """A machine receives from all others, but none of them receives from it. Half of the time it also loses power, so
    that its peers' connections stay half-open."""
    one = _pick_healthy(fleet, fleet.random.choice(("gate", "store", "control")))
    if one is None or one.machine.kind in fleet.losing:
        return
    fleet.busy.add(one.name)

    async def close():
        fleet.mark(one.name, "half-open")
        others = [other.host.address for other in fleet.by_name.values()]
        ends = fleet.random.random() < 0.5
        if ends:
            one.power_cut()  # its peers do not see their connections close
        await _cut_for(fleet, [one.host.address], others, False, fleet.random.uniform(1.0, 6.0))
        if ends:
            await _restart_after(fleet, one, 0.0)
        await sleep(fleet.operator_reactor, 3.0)

    if one.machine.kind == "gate":
        await close()
    else:
        await _unless_losing(fleet, one.machine.kind, close())
    fleet.busy.discard(one.name)


@FAULTS.enter("platformCut")
async def _platform_cut(fleet):
    """Some or all control nodes cannot reach the platform."""
    controls = [one.host.address for one in fleet.of_kind("control")]
    few = fleet.random.sample(controls, fleet.random.randint(1, len(controls)))
    fleet.mark("platform", f"cut from {len(few)} control nodes")
    since = fleet.time.now
    await _cut_for(fleet, few, [PLATFORM.partition(":")[0]], True, fleet.random.uniform(2.0, 8.0))
    fleet.mark("platform", "healed")
    if len(few) > len(controls) // 2:
        fleet.record.platform_outages.append((since, fleet.time.now))


@FAULTS.enter("replicasReplaced")
async def _replicas_replaced(fleet):
    """During a load peak, replicas of one pool leave one after another, each after a new one has joined."""
    partner = fleet.random.choice(PARTNERS)
    pool = f"{partner}-model"
    for _ in range(30):
        spawn(fleet.client.session(partner, 1), fleet.lab_log)
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
    """Sends a plan based on the version last read; while its outcome is unknown, sends it again under the same change
    id."""
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
