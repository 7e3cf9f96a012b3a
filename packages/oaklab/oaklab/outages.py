"""Everything goes at once, in several ways. Each is a function of a fleet that runs; it gives the time at which
everything is back that comes back."""

from oakbase.constants import CONTROL_FULL, STORE_FULL
from oakbase.registry import Registry
from oakbase.tasks import settled, spawn
from oaklab.faults import arm, replace
from oaklab.plan import PARTNERS
from oaklab.simfleet import SimFleet
from oaklab.trial import probe, servedAgain, totalOutage

OUTAGES = Registry("outage")
SMALL_RING = 1 << 16  # bytes; of a ring's file, so that the whole is soon full


def _endAll(fleet, how, seconds=1.0):
    for one in fleet.byName.values():
        if one.running:
            how(one)
    fleet.run(seconds)


def _startAll(fleet):
    for one in fleet.byName.values():
        one.start()
    return fleet.time.now


@OUTAGES.enter("allPowerCut")
def _allPowerCut(fleet):
    return totalOutage(fleet)


@OUTAGES.enter("allKilled")
def _allKilled(fleet):
    _endAll(fleet, lambda one: one.kill())
    return _startAll(fleet)


@OUTAGES.enter("allFrozen")
def _allFrozen(fleet):
    _endAll(fleet, lambda one: one.freeze(), 20.0)
    for one in fleet.byName.values():
        one.thaw()
    return fleet.time.now


@OUTAGES.enter("disksLostWithIt")
def _disksLostWithIt(fleet):
    """One store's and one control node's disk go in the same outage."""
    _endAll(fleet, lambda one: one.powerCut())
    for name in ("store1", "control2"):
        fleet[name].loseDisk()
    return _startAll(fleet)


@OUTAGES.enter("duringAStoresReplacement")
def _duringAStoresReplacement(fleet):
    spare = fleet.add("store", 3)
    spare.start()
    fleet.run(3.0)
    formerId = fleet["store0"].node.node.nodeId
    spawn(replace(fleet, "store", formerId, spare), fleet.labLog)
    fleet.waitFor(
        "the replacement's start",
        lambda: any(one.node.store.stores.phase != "stable" for one in fleet.ofKind("store")),
        20.0,
    )
    return totalOutage(fleet)


@OUTAGES.enter("duringARostersReplacement")
def _duringARostersReplacement(fleet):
    spare = fleet.add("control", 5)
    spare.start()
    fleet.operator.useControl(spare.machine.http)
    fleet.run(3.0)
    spawn(replace(fleet, "control", fleet["control1"].node.node.nodeId, spare), fleet.labLog)
    fleet.waitFor(
        "the replacement's start",
        lambda: any(one.node.voter.roster and one.node.voter.roster.next for one in fleet.ofKind("control")),
        20.0,
    )
    return totalOutage(fleet)


@OUTAGES.enter("aSeedStaysAway")
def _aSeedStaysAway(fleet):
    _endAll(fleet, lambda one: one.powerCut())
    backAt = fleet.time.now
    for one in fleet.byName.values():
        if one.name != "control0":
            one.start()
    return backAt


@OUTAGES.enter("aStoreAndAControlNodeStayAway")
def _aStoreAndAControlNodeStayAway(fleet):
    _endAll(fleet, lambda one: one.kill())
    backAt = fleet.time.now
    for one in fleet.byName.values():
        if one.name not in ("control4", "store0"):
            one.start()
    return backAt


@OUTAGES.enter("againWhileItComesBack")
def _againWhileItComesBack(fleet):
    """The power goes a second time, 1.5 s after it came back."""
    totalOutage(fleet)
    fleet.run(1.5)
    return totalOutage(fleet)


@OUTAGES.enter("fullRings")
def _fullRings(fleet):
    """Rings nearly up to where nothing new is taken any more: there they stay until old things go."""
    numbers = iter(range(10**9))

    def isNearlyFull(ring, share):
        return ring.liveBytes() > share * ring.capacity()

    async def fillControl():
        while not any(isNearlyFull(one.node.ring, CONTROL_FULL - 0.2) for one in fleet.ofKind("control")):
            await settled(
                [
                    fleet.ofKind("control")[0].node.client.call(
                        f"budget/dalatech/fill{next(numbers)}", "open", {"limit": 7}, 10.0
                    )
                    for _ in range(50)
                ]
            )

    async def fillStores(one):
        while not isNearlyFull(one.node.ring, STORE_FULL - 0.15):
            await one.node.store.table.put(f"nile/fill{next(numbers)}/l", frozenset(), bytes(2000))

    fleet.until(fillControl(), 200.0)
    fleet.until(fillStores(fleet["store0"]), 200.0)
    fleet.run(10.0)  # the others copy
    return totalOutage(fleet)


@OUTAGES.enter("muchKept")
def _muchKept(fleet):
    """Some thousands of programs and lines; how long real disks take to load more is measured by `loading`."""
    names = [f"kept{number}" for number in range(2000)]
    fleet.until(settled([fleet.caller.openProgram("dalatech", name, 10) for name in names]), 300.0)

    async def fill(one):
        for first in range(0, 5000, 250):
            await settled(
                [
                    one.node.store.table.put(f"nile/fill{number}/l", frozenset(), bytes(100))
                    for number in range(first, first + 250)
                ]
            )

    for one in fleet.ofKind("store"):
        fleet.until(fill(one), 100.0)
    return totalOutage(fleet)


RING_SIZES = {"fullRings": SMALL_RING, "muchKept": 1 << 21}


def runOutage(name, seed):
    """(fleet, seconds until the last of everything was served again, what was not served in time)."""
    fleet = SimFleet(seed, **({"ringFileSize": RING_SIZES[name]} if name in RING_SIZES else {}))
    arm(fleet)
    fleet.bringUp()
    probes = {partner: fleet.until(probe(fleet, partner), 60.0) for partner in PARTNERS}
    fleet.startMix(3, callers=4)
    fleet.run(1.0)
    took, late = fleet.until(servedAgain(fleet, probes, OUTAGES.find(name)(fleet)), 120.0)
    return fleet, took, late
