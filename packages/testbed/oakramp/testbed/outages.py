"""Total outages of several kinds. Each is a function of a running fleet, which returns the time at which all machines
that come back have been started."""

from oakramp.common.constants import CONTROL_FULL, STORE_FULL
from oakramp.common.registry import Registry
from oakramp.common.tasks import settled, spawn
from oakramp.testbed.faults import init_fault_state, replace
from oakramp.testbed.plan import PARTNERS
from oakramp.testbed.simfleet import SimFleet
from oakramp.testbed.trial import check_served_again, start_conversation, total_outage

OUTAGES = Registry("outage")
SMALL_RING = 1 << 16  # bytes; file size of a circular log that is soon full


def _end_all(fleet, how, seconds=1.0):
    for one in fleet.by_name.values():
        if one.running:
            how(one)
    fleet.run(seconds)


def _start_all(fleet):
    for one in fleet.by_name.values():
        one.start()
    return fleet.time.now


@OUTAGES.enter("allPowerCut")
def _all_power_cut(fleet):
    return total_outage(fleet)


@OUTAGES.enter("allKilled")
def _all_killed(fleet):
    _end_all(fleet, lambda one: one.kill())
    return _start_all(fleet)


@OUTAGES.enter("allFrozen")
def _all_frozen(fleet):
    _end_all(fleet, lambda one: one.freeze(), 20.0)
    for one in fleet.by_name.values():
        one.thaw()
    return fleet.time.now


@OUTAGES.enter("disksLostWithIt")
def _disks_lost_with_it(fleet):
    """One store and one control node lose their disks in the outage."""
    _end_all(fleet, lambda one: one.power_cut())
    for name in ("store1", "control2"):
        fleet[name].lose_disk()
    return _start_all(fleet)


@OUTAGES.enter("duringAStoresReplacement")
def _during_a_stores_replacement(fleet):
    spare = fleet.add("store", 3)
    spare.start()
    fleet.run(3.0)
    previous_id = fleet["store0"].node.node.node_id
    spawn(replace(fleet, "store", previous_id, spare), fleet.lab_log)
    fleet.wait_for(
        "the replacement's start",
        lambda: any(one.node.store.stores.phase != "stable" for one in fleet.of_kind("store")),
        20.0,
    )
    return total_outage(fleet)


@OUTAGES.enter("duringARostersReplacement")
def _during_a_voting_configs_replacement(fleet):
    spare = fleet.add("control", 5)
    spare.start()
    fleet.operator.add_control(spare.machine.http)
    fleet.run(3.0)
    spawn(replace(fleet, "control", fleet["control1"].node.node.node_id, spare), fleet.lab_log)
    fleet.wait_for(
        "the replacement's start",
        lambda: any(
            one.node.voter.voting_config and one.node.voter.voting_config.next for one in fleet.of_kind("control")
        ),
        20.0,
    )
    return total_outage(fleet)


@OUTAGES.enter("aSeedStaysAway")
def _a_seed_stays_away(fleet):
    _end_all(fleet, lambda one: one.power_cut())
    back_at = fleet.time.now
    for one in fleet.by_name.values():
        if one.name != "control0":
            one.start()
    return back_at


@OUTAGES.enter("aStoreAndAControlNodeStayAway")
def _a_store_and_a_control_node_stay_away(fleet):
    _end_all(fleet, lambda one: one.kill())
    back_at = fleet.time.now
    for one in fleet.by_name.values():
        if one.name not in ("control4", "store0"):
            one.start()
    return back_at


@OUTAGES.enter("againWhileItComesBack")
def _again_while_it_comes_back(fleet):
    """A second power loss follows, 1.5 s after the machines started again."""
    total_outage(fleet)
    fleet.run(1.5)
    return total_outage(fleet)


@OUTAGES.enter("fullRings")
def _full_rings(fleet):
    """The circular logs are filled nearly to the level at which they accept nothing new; they stay there until old
    entries expire."""
    numbers = iter(range(10**9))

    def is_nearly_full(ring, share):
        return ring.live_bytes() > share * ring.capacity()

    async def fill_control():
        while not any(is_nearly_full(one.node.ring, CONTROL_FULL - 0.2) for one in fleet.of_kind("control")):
            await settled(
                [
                    fleet.of_kind("control")[0].node.client.call(
                        f"budget/dalatech/fill{next(numbers)}", "open", {"limit": 7}, 10.0
                    )
                    for _ in range(50)
                ]
            )

    async def fill_stores(one):
        while not is_nearly_full(one.node.ring, STORE_FULL - 0.15):
            await one.node.store.table.put(f"nile/fill{next(numbers)}/l", frozenset(), bytes(2000))

    fleet.until(fill_control(), 200.0)
    fleet.until(fill_stores(fleet["store0"]), 200.0)
    fleet.run(10.0)  # the other stores copy it
    return total_outage(fleet)


@OUTAGES.enter("muchKept")
def _much_kept(fleet):
    """The fleet holds some thousands of programs and conversations; `loading` measures how long a load of more
    takes."""
    names = [f"kept{number}" for number in range(2000)]
    fleet.until(settled([fleet.client.open_program("dalatech", name, 10) for name in names]), 300.0)

    async def fill(one):
        for first in range(0, 5000, 250):
            await settled(
                [
                    one.node.store.table.put(f"nile/fill{number}/l", frozenset(), bytes(100))
                    for number in range(first, first + 250)
                ]
            )

    for one in fleet.of_kind("store"):
        fleet.until(fill(one), 100.0)
    return total_outage(fleet)


RING_SIZES = {"fullRings": SMALL_RING, "muchKept": 1 << 21}


def run_outage(name, seed):
    """(fleet, seconds until all kinds of requests were served again, descriptions of those not served in time)."""
    fleet = SimFleet(seed, **({"ring_file_size": RING_SIZES[name]} if name in RING_SIZES else {}))
    init_fault_state(fleet)
    fleet.bring_up()
    probes = {partner: fleet.until(start_conversation(fleet, partner), 60.0) for partner in PARTNERS}
    fleet.start_mix(3, clients=4)
    fleet.run(1.0)
    took, late = fleet.until(check_served_again(fleet, probes, OUTAGES.find(name)(fleet)), 120.0)
    return fleet, took, late
