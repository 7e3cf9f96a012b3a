"""Guards against a self-forming cluster that bootstraps twice or not at all, and against lost writes or two leaders of
a shard while it repairs its voting configuration.

Diagrams in docstrings have one column per control node; time runs downwards.
"""

import contextlib
import itertools
import unittest

from oakramp.common.constants import CONTACT_AGE, LEASE, SHARDS, VOTING_CONFIG_MAX
from oakramp.common.errors import QuorumUnavailableError, UnreachableError
from oakramp.control.bootstrap import bootstrap_record_of, first_cluster_id, first_voter_id
from oakramp.control.membership_repair import repaired_members
from oakramp.control.shards import shard_of_key
from oakramp.control.voting_configuration import VOTING_CONFIG_KEY, VotingConfiguration
from oakramp.rpc.codec import idl
from oakramp.testbed.faults import send_plan
from oakramp.testbed.plan import env_of
from oakramp.testbed.simfleet import SMALL, SimFleet

SYNC_S = 4.0  # s; after the return of a node that lost its disk, the next disk may be lost
STEP = 0.05  # s of simulated time; between two checks of the shards' leaders


class PowerCut(Exception):
    """The power is cut during an operation of the disk."""


class CuttingDisk:
    """Cuts the power of a machine's disk just before or just after its `left`-th durable operation."""

    def __init__(self, machine, left, after):
        self.machine, self.left, self.after, self.cut = machine, left, after, False
        disk = machine.disk
        for name in ("replace", "create", "sync", "sync_now"):
            setattr(disk, name, self._counted(getattr(disk, name)))

    def _counted(self, operation):
        def run(*arguments):
            if self.cut:
                raise PowerCut
            self.left -= 1
            if self.left > 0:
                return operation(*arguments)
            if self.after:
                operation(*arguments)
            self.cut = True
            raise PowerCut

        return run

    def heal(self):
        for name in ("replace", "create", "sync", "sync_now"):
            delattr(self.machine.disk, name)


class SelfFormingTest(unittest.TestCase):
    def fleet(self, seed, **options):
        fleet = SimFleet(seed, self_forming=True, **options)
        fleet.plan_count = 1
        self.addCleanup(self.check, fleet)
        return fleet

    def check(self, fleet):
        clusters = {
            one.node.node.net.cluster_id for one in fleet.by_name.values() if one.running and one.node is not None
        } - {""}
        self.assertEqual(len(clusters), 1, "two clusters")
        self.assertEqual([line for line in fleet.lines if "rashed" in line and "PowerCut" not in line], [])
        self.assertEqual(fleet.violations(), {}, fleet.timeline())

    def check_one_leader(self, fleet):
        """Checks that no shard has two leaders that hold a lease, frozen leaders included."""
        held = [
            shard
            for one in fleet.of_kind("control")
            if one.running and one.node is not None
            for shard, owner in one.node.leaders.active.items()
            if owner.holds_lease()
        ]
        self.assertEqual(len(held), len(set(held)), "a shard has two leaders")

    def run_checked(self, fleet, seconds):
        for _ in range(round(seconds / STEP)):
            fleet.run(STEP)
            self.check_one_leader(fleet)

    def wait_checked(self, fleet, what, check, limit=15.0):
        """Waits until `check` passes, and returns how long it took."""
        began = fleet.time.now

        def polled():
            self.check_one_leader(fleet)
            return check()

        return fleet.wait_for(what, polled, limit) - began

    def wait_all(self, fleet, limit=15.0):
        return self.wait_checked(fleet, "a roster of all control nodes", fleet.voting_config_of_all, limit)

    def control_ids(self, fleet):
        return {one.name: one.node.node.node_id for one in fleet.of_kind("control") if one.running}

    def voting_config(self, fleet):
        return max(
            (
                one.node.voter.voting_config
                for one in fleet.of_kind("control")
                if one.running and one.node.voter.voting_config
            ),
            key=lambda voting_config: voting_config.version,
        )

    def joining_member(self, fleet, number, seeds=()):
        one = fleet.add("control", number)
        one.seeds = list(seeds) or [other.machine.peer for other in fleet.of_kind("control") if other.running][:3]
        one.start()
        fleet.operator.add_control(one.machine.http)
        return one

    def wipe(self, fleet, name, down=0.8):
        one = fleet[name]
        one.power_cut()
        one.lose_disk()
        self.run_checked(fleet, down)
        one.start()
        return one

    def put_plan(self, fleet):
        """Sends a plan and returns its version once it is acknowledged."""
        fleet.until(send_plan(fleet, "dalatech"), 30)
        return max(
            plan.version for plan in fleet.view.plans if plan.partner == "dalatech" and plan.outcome == "accepted"
        )

    def read_version(self, fleet):
        return fleet.until(fleet.operator.read_plan("dalatech"), 30)["version"]


class Bootstrap(SelfFormingTest):
    def start(self, fleet, names, gap):
        for name in names:
            fleet[name].start()
            self.run_checked(fleet, gap)

    def test_any_order(self):
        """
        seed0   seed1   seed2   control3   control4
        started in any order, 0.4 s apart: all five are voters and all shards are served within 6 s
        """
        orders = list(itertools.permutations([f"control{number}" for number in range(5)]))
        for seed, order in enumerate(orders[3::17]):
            with self.subTest(order=order):
                fleet = self.fleet(seed)
                self.start(fleet, order, 0.4)
                self.assertLess(fleet.time.now + self.wait_all(fleet), 6.0)
                seeds = [fleet[f"control{number}"].machine.peer for number in range(3)]
                self.assertEqual(fleet["control4"].node.node.net.cluster_id, first_cluster_id(seeds))
                self.assertEqual(
                    [fleet[f"control{number}"].node.node.node_id for number in range(3)],
                    [first_voter_id(peer, seeds) for peer in seeds],
                )

    def test_all_at_once(self):
        for seed in range(4):
            with self.subTest(seed=seed):
                fleet = self.fleet(seed)
                for one in fleet.by_name.values():
                    one.start()
                self.assertLess(self.wait_all(fleet), 4.0)

    def test_one_seed_late(self):
        """
        seed0   seed1   seed2         control3   control4
        started at 0    -             started at 0         four are voters; the third seed was replaced
                        at 6 s                             the late seed starts for the first time and joins the others
        """
        fleet = self.fleet(1)
        self.start(fleet, ("control3", "control0", "control4", "control1"), 0.0)
        self.wait_all(fleet, 6.0)
        self.run_checked(fleet, max(0.0, 6.0 - fleet.time.now))
        late = fleet["control2"]
        late.start()
        self.assertLess(self.wait_all(fleet), 4.0)
        self.assertTrue(late.node.node.node_id.startswith("founder."))
        self.assertEqual(len(self.voting_config(fleet).members), 5)

    def test_one_seed_a_moment_late(self):
        """The third seed starts 1 s late: the others keep its place in the roster."""
        fleet = self.fleet(2)
        self.start(fleet, ("control0", "control1", "control3", "control4"), 0.0)
        self.run_checked(fleet, 1.0)
        fleet["control2"].start()
        self.assertLess(fleet.time.now + self.wait_all(fleet), 6.0)

    def test_one_and_two_seeds(self):
        for count in (1, 2):
            with self.subTest(seeds=count):
                fleet = self.fleet(count, size=SMALL.__class__(1, 3, count, SMALL.replicas))
                fleet.bring_up()
                self.assertEqual(len(self.voting_config(fleet).members), count)
                version = self.put_plan(fleet)
                for one in fleet.of_kind("control"):
                    one.power_cut()
                for one in fleet.of_kind("control"):
                    one.start()
                self.assertEqual(self.read_version(fleet), version)

    def test_power_cut_at_each_step(self):
        """
        seed0 or seed1
        power cut just before or just after its first, second, ... durable write
        started again, with or without the setting of a first start
        """
        # Writes: 1 identity; 2 to 9 files of the ring; 10 their first lap; 11 first roster; 12 cluster id; 13 addresses
        for (left, after), again in itertools.product(
            (
                (1, False),
                (2, False),
                (9, False),
                (10, True),
                (11, False),
                (11, True),
                (12, False),
                (13, False),
                (13, True),
            ),
            (True, False),
        ):
            with self.subTest(after=after, first_start_again=again, left=left):
                fleet = self.fleet(left)
                one = fleet[f"control{left % 2}"]
                self.start(fleet, [other.name for other in fleet.of_kind("control") if other is not one], 0.0)
                cutting = CuttingDisk(one, left, after)
                try:
                    one.start()
                    fleet.run(0.5)
                except PowerCut:
                    pass
                self.assertTrue(cutting.cut)
                one.power_cut()
                cutting.heal()
                was_somebody = "identity" in one.disk.names()
                fleet.first_start = again
                one.start()
                self.wait_all(fleet)
                self.assertEqual(one.node.node.node_id.startswith("founder."), was_somebody or again)
                self.assertEqual(len(self.voting_config(fleet).members), 5)

    def test_power_cut_of_all_seeds_during_bootstrap(self):
        """
        seed0, seed1, seed2
        power cut before the first roster, or before the cluster id, is on the disk
        all back, without the setting of a first start: they complete the bootstrap
        """
        for left in (2, 11, 12):
            with self.subTest(left=left):
                fleet = self.fleet(left)
                seeds = [fleet[f"control{number}"] for number in range(3)]
                cuttings = [CuttingDisk(one, left, False) for one in seeds]
                for one in seeds:
                    with contextlib.suppress(PowerCut):
                        one.start()
                with contextlib.suppress(PowerCut):
                    fleet.run(0.5)
                fleet.first_start = False
                for one, cutting in zip(seeds, cuttings):
                    one.power_cut()
                    cutting.heal()
                for one in fleet.of_kind("control"):
                    one.start()
                self.wait_all(fleet)
                self.assertTrue(all(one.node.node.node_id in self.voting_config(fleet).members for one in seeds))

    def test_a_seed_frozen_during_bootstrap(self):
        """
        seed0                      seed1    seed2    control3    control4
        frozen during bootstrap    form the cluster without it
        thawed                     it keeps what it bootstrapped, votes in no older version, and joins
        """
        for writes in range(1, 4):
            with self.subTest(writes=writes):
                fleet = self.fleet(writes)
                one = fleet["control0"]
                kept = []
                replace, sync = one.disk.replace, one.disk.sync

                def counted(operation):
                    def run(*arguments):
                        kept.append(arguments)
                        if len(kept) == writes:
                            one.freeze()
                        return operation(*arguments)

                    return run

                one.disk.replace, one.disk.sync = counted(replace), counted(sync)
                self.start(fleet, [f"control{number}" for number in range(5)], 0.0)
                self.run_checked(fleet, 0.1)
                self.assertTrue(one.host.frozen)
                self.wait_all(fleet)
                one.thaw()
                self.wait_all(fleet)
                self.assertIn(one.node.node.node_id, self.voting_config(fleet).members)

    def test_a_disk_with_an_identity_bootstraps_nothing(self):
        """
        control0
        started alone, learns of no cluster
        started again with the setting of a first start: still bootstraps nothing
        """
        fleet = SimFleet(1, self_forming=True)
        one = fleet["control0"]
        fleet.first_start = False
        one.start()
        fleet.run(2.0)
        node_id = one.node.node.node_id
        one.power_cut()
        fleet.first_start = True
        one.start()
        fleet.run(2.0)
        self.assertEqual(
            (one.node.node.node_id, one.node.voter.voting_config, one.node.node.net.cluster_id), (node_id, None, "")
        )

    def test_first_voters_are_the_seeds_of_a_self_forming_first_start(self):
        fleet = SimFleet(1)
        machines = [one.machine for one in fleet.of_kind("control")]
        first = {"selfForming": True, "firstStart": True}
        for machine, more, founds in (
            (machines[0], first, True),
            (machines[3], first, False),
            (machines[0], first | {"firstStart": False}, False),
            (machines[0], first | {"selfForming": False}, False),
            (machines[0], {}, False),
        ):
            with self.subTest(machine=machine.name, more=more):
                self.assertEqual(bootstrap_record_of(env_of(machine, machines) | more) is not None, founds)
        env = env_of(machines[0], machines) | first
        self.assertEqual(bootstrap_record_of(env), bootstrap_record_of(env | {"seeds": env["seeds"][::-1]}))

    def test_all_seeds_bootstrap_the_same_members(self):
        fleet = SimFleet(1)
        machines = [one.machine for one in fleet.of_kind("control")]
        plans = [
            bootstrap_record_of(env_of(machine, machines) | {"selfForming": True, "firstStart": True})
            for machine in machines[:3]
        ]
        self.assertEqual(len({plan["nodeId"] for plan in plans}), 3)
        self.assertEqual(
            {plan["nodeId"]: machine.peer for plan, machine in zip(plans, machines)}, plans[0]["roster"]["members"]
        )
        self.assertTrue(all(plan["roster"] == plans[0]["roster"] for plan in plans))


class Repair(SelfFormingTest):
    def up(self, seed, **options):
        fleet = self.fleet(seed, **options).bring_up()
        self.assertEqual(len(self.voting_config(fleet).members), 5)
        return fleet

    def test_each_wiped_in_turn(self):
        """
        control0    control1    control2    control3    control4
        disk lost   a plan is acknowledged
        is a voter  disk lost   a plan is acknowledged
                    is a voter  disk lost ...
        in the end all five have lost their disks; the last plan is read back
        """
        for seed, down in ((1, 0.2), (2, 0.8), (3, 2.5)):
            with self.subTest(seed=seed, down=down):
                fleet = self.up(seed)
                first = self.control_ids(fleet)
                for number in range(5):
                    one = self.wipe(fleet, f"control{number}", down)
                    back_at = fleet.time.now
                    version = self.put_plan(fleet)
                    taken = fleet.time.now - back_at
                    taken += self.wait_all(fleet, 4.0)
                    self.assertLess(taken, SYNC_S)
                    self.assertIn(one.node.node.node_id, self.voting_config(fleet).members)
                    self.run_checked(fleet, max(0.0, SYNC_S - taken))
                self.assertFalse(set(first.values()) & set(self.control_ids(fleet).values()))
                self.assertEqual(len(self.voting_config(fleet).members), 5)
                for one in fleet.of_kind("control"):
                    one.power_cut()
                for one in fleet.of_kind("control"):
                    one.start()
                self.assertEqual(self.read_version(fleet), version)

    def test_owner_of_the_voting_config_wiped(self):
        """
        leader of the key `roster`
        disk lost, back at once        another node becomes its leader, and repairs it
        """
        for seed in range(4):
            with self.subTest(seed=seed):
                fleet = self.up(seed)
                owner = next(
                    one
                    for one in fleet.of_kind("control")
                    if shard_of_key(VOTING_CONFIG_KEY) in one.node.leaders.active
                )
                self.wipe(fleet, owner.name, 0.1)
                self.assertLess(self.wait_all(fleet), SYNC_S)

    def test_wiped_again_before_it_votes(self):
        """
        control1
        disk lost, back, disk lost, back, ..., each 0.4 s after the one before
        """
        fleet = self.up(4)
        for _ in range(4):
            self.wipe(fleet, "control1", 0.4)
            self.run_checked(fleet, 0.4)
        self.wait_all(fleet)
        self.assertEqual(len(self.voting_config(fleet).members), 5)

    def test_a_seed_that_lost_its_disk_has_a_new_id(self):
        """
        seed0
        power cut, disk lost
        back as on a later start: a random id, no vote under the previous id
        """
        fleet = self.up(5)
        previous = fleet["control0"].node.node.node_id
        one = self.wipe(fleet, "control0")
        self.assertNotIn("founder", one.node.node.node_id)
        self.wait_all(fleet)
        self.assertNotIn(previous, self.voting_config(fleet).all_members)

    def test_three_members_repair_too(self):
        """Of three control nodes, each may lose its disk in turn."""
        fleet = self.fleet(6, size=SMALL.__class__(1, 3, 3, SMALL.replicas)).bring_up()
        for number in (2, 0, 1, 2):
            self.wipe(fleet, f"control{number}")
            back_at = fleet.time.now
            self.assertLess(self.wait_all(fleet), SYNC_S)
            version = self.put_plan(fleet)
            self.run_checked(fleet, max(0.0, back_at + SYNC_S - fleet.time.now))
        self.assertEqual(self.read_version(fleet), version)

    def test_empty_machine_at_a_new_address(self):
        """
        control1                    control5 (new address)
        gone for good               started with an empty disk, replaces it
        """
        fleet = self.up(7)
        fleet["control1"].power_cut()
        del fleet.by_name["control1"]
        new = self.joining_member(fleet, 5)
        self.assertLess(self.wait_all(fleet), 6.0)
        self.assertEqual(len(self.voting_config(fleet).members), 5)
        self.assertIn(new.node.node.node_id, self.voting_config(fleet).members)

    def test_a_dead_member_does_not_delay_a_change(self):
        """
        control0             control1    control2    control3 (new address)
        gone, power off                              replaces it; nobody waits for an answer of control0
        """
        for seed in range(3):
            with self.subTest(seed=seed):
                fleet = self.fleet(seed, size=SMALL.__class__(1, 3, 3, SMALL.replicas)).bring_up()
                fleet["control0"].power_cut()
                del fleet.by_name["control0"]
                self.joining_member(fleet, 10)
                self.wait_checked(fleet, "the joint version", lambda: self.voting_config(fleet).next is not None)
                self.assertLess(self.wait_all(fleet), 1.2)

    def test_member_removed_for_good(self):
        """
        control1          control5
        gone for good     -            control1 keeps its place: no node can replace it
                          starts       replaces control1
        """
        fleet = self.up(8)
        gone = fleet["control1"].node.node.node_id
        fleet["control1"].power_cut()
        del fleet.by_name["control1"]
        self.run_checked(fleet, 70.0)
        version = self.put_plan(fleet)
        self.assertEqual((gone in self.voting_config(fleet).members, len(self.voting_config(fleet).members)), (True, 5))
        self.joining_member(fleet, 5)
        self.assertLess(self.wait_all(fleet), SYNC_S)
        self.assertEqual(self.read_version(fleet), version)

    def test_replaced_member_comes_back_with_its_disk(self):
        """
        control1                       control5
        away for long                  replaces it
        back with its disk: not a member any more, joins again under its old id
        """
        fleet = self.up(9)
        one = fleet["control1"]
        node_id = one.node.node.node_id
        one.power_cut()
        self.joining_member(fleet, 5)
        self.wait_all(fleet)
        self.assertNotIn(node_id, self.voting_config(fleet).members)
        version = self.put_plan(fleet)
        one.start()
        self.wait_all(fleet)
        self.assertEqual((len(self.voting_config(fleet).members), one.node.node.node_id), (6, node_id))
        for name in ("control0", "control2"):
            fleet[name].kill()
        self.assertEqual(self.read_version(fleet), version)

    def test_a_briefly_silent_member_keeps_its_place(self):
        """
        control1               control5
        frozen for 1 s         starts meanwhile: joins, replaces nobody
        """
        fleet = self.up(10)
        previous = set(self.voting_config(fleet).members)
        fleet["control1"].freeze()
        self.joining_member(fleet, 5)
        self.run_checked(fleet, 1.0)
        fleet["control1"].thaw()
        self.wait_all(fleet)
        self.assertLess(previous, set(self.voting_config(fleet).members))

    def test_a_thawed_leader_of_the_voting_config_replaces_nobody(self):
        """
        leader of `roster`      control5
        frozen                  starts, joins
        thawed: considers all others silent for as long as it was frozen, and yet replaces none of them
        """
        fleet = self.up(11)
        owner = next(
            one for one in fleet.of_kind("control") if shard_of_key(VOTING_CONFIG_KEY) in one.node.leaders.active
        )
        previous = set(self.voting_config(fleet).members)
        owner.freeze()
        self.run_checked(fleet, 1.9)
        self.joining_member(fleet, 5)
        self.run_checked(fleet, 0.2)
        owner.thaw()
        self.wait_all(fleet)
        self.assertLess(previous, set(self.voting_config(fleet).members))

    def test_nobody_is_replaced_without_a_majority(self):
        """
        control0 control1 | control2 control3 control4
        the two change nothing; the three remove nobody, since no other node could replace them
        """
        fleet = self.up(12)
        previous = self.voting_config(fleet).record
        some, others = (
            [fleet[f"control{number}"].machine.host for number in numbers] for numbers in ((0, 1), (2, 3, 4))
        )
        fleet.network.cut(some, others)
        self.run_checked(fleet, 10.0)
        fleet.network.heal()
        self.wait_all(fleet)
        self.assertEqual(self.voting_config(fleet).record, previous)

    def test_no_more_members_than_the_maximum(self):
        fleet = self.up(13)
        for number in range(5, 12):
            self.joining_member(fleet, number)
        self.run_checked(fleet, 10.0)
        self.assertEqual(len(self.voting_config(fleet).members), VOTING_CONFIG_MAX)
        version = self.voting_config(fleet).version
        gone = next(
            one for one in fleet.of_kind("control") if one.node.node.node_id in self.voting_config(fleet).members
        )
        gone.kill()
        self.run_checked(fleet, 8.0)
        self.assertEqual(len(self.voting_config(fleet).members), VOTING_CONFIG_MAX)
        self.assertNotIn(gone.node.node.node_id, self.voting_config(fleet).members)
        self.assertGreater(self.voting_config(fleet).version, version)

    def test_an_empty_disk_does_not_vote_for_its_previous_incarnation(self):
        """
        control0 control1 control2 | control3 control4
                          disk lost, back under a new id at the same address
                          about to replace its former incarnation
        from then on, two old members and an empty one are no majority of the old members
        """
        fleet = self.up(14)
        self.wipe(fleet, "control2", 0.3)
        fleet.wait_for("the joint version", lambda: self.voting_config(fleet).next is not None, 5.0)
        some, others = (
            [fleet[f"control{number}"].machine.host for number in numbers] for numbers in ((0, 1, 2), (3, 4))
        )
        fleet.network.cut(some, others)
        self.run_checked(fleet, 2 * LEASE)  # all leases that were confirmed before have ended
        for one in ("control0", "control1", "control2"):
            for owner in fleet[one].node.leaders.active.values():
                self.assertFalse(owner.holds_lease())
            voting_config = fleet[one].node.voter.voting_config
            self.assertTrue(
                voting_config is None
                or voting_config.next is not None
                or len(voting_config.members) != 5
                or fleet["control2"].node.node.node_id not in voting_config.members,
                "the change was completed without a majority",
            )
        fleet.network.heal()
        self.wait_all(fleet)

    def test_interrupted_at_each_moment(self):
        """
        control1 lost its disk and is back; the leader of the key `roster` is killed 0.1 s, 0.3 s, ... later
        the next leader continues the change
        """
        for tenths in range(1, 14, 2):
            with self.subTest(tenths=tenths):
                fleet = self.up(tenths)
                version = self.put_plan(fleet)
                self.wipe(fleet, "control1", 0.8)
                self.run_checked(fleet, tenths / 10)
                owner = next(
                    (
                        one
                        for one in fleet.of_kind("control")
                        if shard_of_key(VOTING_CONFIG_KEY) in one.node.leaders.active
                    ),
                    fleet["control4"],
                )
                owner.kill()
                self.run_checked(fleet, 0.5)
                owner.start()
                self.wait_all(fleet)
                self.assertEqual(self.read_version(fleet), version)

    def test_nothing_is_sent_in_a_steady_state(self):
        """No call or write is made for the roster, neither while all members are live nor with one gone for good."""
        fleet = self.up(15)

        def counts():
            return [
                (one.node.node.net.call_counts.get("rosterVersion", 0), one.node.voter.voting_config.version)
                for one in fleet.of_kind("control")
                if one.running
            ]

        self.run_checked(fleet, 5.0)
        before = counts()
        self.run_checked(fleet, 10.0)
        self.assertEqual(counts(), before)
        fleet["control1"].kill()
        self.run_checked(fleet, 8.0)
        before = counts()
        self.run_checked(fleet, 10.0)
        self.assertEqual(counts(), before)

    def test_shards_of_a_killed_member_are_served_again(self):
        """When its silence is noticed, its lease has ended, and the voters know that."""
        for seed in range(3):
            with self.subTest(seed=seed):
                fleet = self.up(seed)
                fleet["control1"].power_cut()
                self.assertLess(self.wait_checked(fleet, "all slots served", fleet.shards_served, 5.0), 3.0)

    def test_a_shard_that_was_given_up_is_not_published_again(self):
        """
        control0 leads a shard and gives it up while a change to it is in transit
        it learns of the next leader by gossip, like all others
        """
        fleet = self.up(16)
        leaders = fleet["control0"].node.leaders
        owner = next(iter(leaders.active.values()))
        leaders.failover.in_progress.add(owner.shard)  # so that another node takes the shard over
        owner.end()
        leaders.publisher.publish(owner, {})
        fleet.wait_for(
            "gossip about the next leader", lambda: leaders.failover.known_leader(owner.shard)[0] > owner.epoch, 8.0
        )

    def test_voters_count_confirmations_from_what_they_know(self):
        """
        voter
        confirms a lease again and again    reports that
        restarted                           counts from its start: it has forgotten what it confirmed
        adopts a stable roster              counts from then: others may have confirmed leases without it
        adopts a joint roster               need not: its majorities overlap those of the version before
        """
        fleet = self.up(19)
        one = fleet["control0"]
        owner = next(other.node.node.node_id for other in fleet.of_kind("control") if other is not one)
        shard = next(shard for shard in range(SHARDS) if shard not in one.node.leaders.active)

        def unconfirmed(epoch):
            voter = one.node.voter
            promise = fleet.until(
                one.node.node.net.handlers["prepare"](
                    idl.Hello(node_id=owner),
                    idl.prepare_args(
                        shard=shard,
                        epoch=epoch,
                        owner=owner,
                        parts=True,
                        voting_config_version=voter.voting_config.version,
                    ),
                )
            )
            self.assertTrue(promise.granted)
            return promise.unconfirmed_ms / 1000

        self.assertLess(unconfirmed(1000), LEASE)
        # From here on it confirms no lease of this shard, because it has promised a later epoch.
        fleet.run(1.0)
        self.assertGreater(unconfirmed(1001), 0.9)
        one.kill()
        one.start()
        fleet.run(0.2)
        self.assertLess(unconfirmed(1002), 0.3)
        fleet.run(1.0)
        voting_config = one.node.voter.voting_config
        fleet.until(
            one.node.voter.set_voting_config(
                voting_config.record | {"version": voting_config.version + 1, "next": voting_config.members}
            )
        )
        self.assertGreater(unconfirmed(1003), 1.0)
        fleet.until(one.node.voter.set_voting_config(voting_config.record | {"version": voting_config.version + 2}))
        self.assertLess(unconfirmed(1004), 0.2)
        fleet.run(1.0)
        fleet.until(
            one.node.voter.set_voting_config(
                voting_config.record | {"version": voting_config.version + 4, "next": voting_config.members}
            )
        )
        self.assertLess(unconfirmed(1005), 0.2)

    def test_a_call_to_another_node_id_is_rejected(self):
        fleet = self.up(17)
        net, other = fleet["control0"].node.node.net, fleet["control1"]
        for address in (other.machine.peer, net.address):
            with self.subTest(address=address), self.assertRaises(UnreachableError):
                fleet.until(net.call(address, "rosterVersion", to="somebody.else"))
        self.assertGreater(fleet.until(net.call(other.machine.peer, "rosterVersion", to=other.node.node.node_id)), 0)

    def test_reconfigure_refuses(self):
        fleet = self.up(18)
        voting_config = self.voting_config(fleet)
        client = fleet["control0"].node.client
        fewer = dict(list(voting_config.members.items())[:4])
        unheard = {"basedOn": voting_config.version, "next": voting_config.members | {"nobody": "127.0.0.9:1"}}
        with self.assertRaises(
            QuorumUnavailableError, msg="right after a start, it is not certain which nodes are live"
        ):
            fleet.until(client.call(VOTING_CONFIG_KEY, "reconfigure", unheard, 5.0))
        fleet.run(CONTACT_AGE)
        for arguments, fault in (
            ({"basedOn": voting_config.version, "next": fewer}, "refused"),
            (unheard, "refused"),
            ({"basedOn": voting_config.version, "next": {}}, "badRequest"),
            (
                {
                    "basedOn": voting_config.version - 1,
                    "next": voting_config.members | {fleet["gate0"].node.node.node_id: fleet["gate0"].machine.peer},
                },
                "lost",
            ),
        ):
            with self.subTest(arguments=arguments), self.assertRaises(Exception) as raised:
                fleet.until(client.call(VOTING_CONFIG_KEY, "reconfigure", arguments, 5.0))
            self.assertEqual(raised.exception.code, fault)
        same = {"basedOn": 0, "next": voting_config.members}
        self.assertEqual(
            fleet.until(client.call(VOTING_CONFIG_KEY, "reconfigure", same, 5.0))["version"], voting_config.version
        )

    def test_after_an_outage_of_all_no_lease_is_waited_for(self):
        """
        all control nodes           killed                  back: each reports that it holds no lease
        shards                      led                     served again in less than a lease
        """
        for seed in range(3):
            with self.subTest(seed=seed):
                fleet = self.up(30 + seed)
                self.run_checked(fleet, 3 * LEASE)  # until the roster has been adopted for longer than a lease
                for one in fleet.of_kind("control"):
                    one.kill()
                self.run_checked(fleet, 0.1)
                for one in fleet.of_kind("control"):
                    one.start()
                self.assertLess(self.wait_checked(fleet, "all slots served", fleet.shards_served, 5.0), LEASE - 0.1)

    def test_a_lease_that_may_be_held_is_waited_for(self):
        """
        control1                                the shard           what its voter reports about its leases
        leads it                                led by it           it may hold one
        takes it over above the promised epoch  changing hands      it may hold one, except when it asks itself
        takes it over below the promised epoch  changing hands      it holds none: that attempt cannot succeed any more
        is not involved                         led by another      it holds none
        with a roster that has just changed     led by another      removed members may hold one, also after a restart
        the same, two leases later              led by another      it holds none
        """
        fleet = self.up(40)
        self.run_checked(fleet, 3 * LEASE)
        one, other = fleet["control1"], fleet["control0"].node.node.node_id
        epochs = iter(range(1000, 2000))

        def reports_no_lease(shard, requester=other):
            promise = fleet.until(
                one.node.node.net.handlers["prepare"](
                    idl.Hello(node_id=requester),
                    idl.prepare_args(
                        shard=shard,
                        epoch=next(epochs),
                        owner=requester,
                        parts=True,
                        voting_config_version=one.node.voter.voting_config.version,
                    ),
                )
            )
            self.assertTrue(promise.granted)
            return promise.holds_no_lease

        leaders = one.node.leaders
        self.assertFalse(reports_no_lease(next(iter(leaders.active))))
        shard = next(shard for shard in range(SHARDS) if shard not in leaders.active)
        self.assertTrue(reports_no_lease(shard))
        leaders.failover._attempts[shard] = 2000
        self.assertFalse(reports_no_lease(shard))
        self.assertTrue(reports_no_lease(shard, one.node.node.node_id))
        leaders.failover._attempts[shard] = 1
        self.assertTrue(reports_no_lease(shard))
        del leaders.failover._attempts[shard]
        voting_config = one.node.voter.voting_config
        fleet.until(
            one.node.voter.set_voting_config(
                voting_config.record | {"version": voting_config.version + 1, "next": voting_config.members}
            )
        )
        self.assertFalse(reports_no_lease(shard))
        one.kill()
        one.start()
        fleet.run(0.2)
        self.assertFalse(reports_no_lease(shard))
        fleet.run(2 * LEASE)
        one.node.leaders.failover.in_progress.clear()
        self.assertTrue(
            reports_no_lease(next(shard for shard in range(SHARDS) if shard not in one.node.leaders.active))
        )


class Restarts(SelfFormingTest):
    def test_owner_that_comes_back_begins_a_new_epoch(self):
        """
        leader of the plan's shard the others
        power cut everywhere, all back: the same node leads the shard again
        a plan is acknowledged
        gone for good              take its shards over: the plan is there
        """
        for seed in range(3):
            with self.subTest(seed=seed):
                fleet = self.fleet(seed).bring_up()
                shard = shard_of_key("blueprint/dalatech")
                owner = next(one for one in fleet.of_kind("control") if shard in one.node.leaders.active)
                previous = owner.node.leaders.active[shard].epoch
                for one in fleet.of_kind("control"):
                    one.power_cut()
                for one in fleet.of_kind("control"):
                    one.start()
                fleet.wait_for("all shards to be served", fleet.shards_served)
                self.assertGreater(
                    next(
                        one.node.leaders.active[shard].epoch
                        for one in fleet.of_kind("control")
                        if shard in one.node.leaders.active
                    ),
                    previous,
                )
                version = self.put_plan(fleet)
                owner.power_cut()
                self.run_checked(fleet, 4.0)
                self.assertEqual(self.read_version(fleet), version)

    def test_epoch_is_promised_once(self):
        """Also if the same node asks again: it may have restarted and forgotten what it wrote under the epoch."""
        fleet = self.fleet(1).bring_up()
        one = fleet["control0"]
        owner = fleet["control1"].node.node.node_id

        def prepare(epoch):
            return fleet.until(
                one.node.node.net.handlers["prepare"](
                    idl.Hello(node_id=owner),
                    idl.prepare_args(
                        shard=3,
                        epoch=epoch,
                        owner=owner,
                        parts=True,
                        voting_config_version=one.node.voter.voting_config.version,
                    ),
                )
            ).granted

        self.assertEqual([prepare(epoch) for epoch in (1000, 1000, 999, 1001)], [True, False, False, True])


class RepairedMembers(unittest.TestCase):
    """The members that the roster should have, by which nodes are present, lost or joining."""

    MEMBERS = {"a": "1", "b": "2", "c": "3"}

    def test_whole_voting_config_stays(self):
        self.assertEqual(repaired_members(self.MEMBERS, {}, [], [], []), self.MEMBERS)

    def test_outsiders_join_up_to_the_most(self):
        joining = [(f"n{number}", str(number)) for number in range(9)]
        self.assertEqual(
            repaired_members(self.MEMBERS, {}, [], [], joining, dict(joining), most=5), self.MEMBERS | dict(joining[:2])
        )

    def test_a_successor_replaces_its_previous_incarnation(self):
        self.assertEqual(
            repaired_members(self.MEMBERS, {"b": ("b2", "2")}, ["b"], ["b"], []), {"a": "1", "b2": "2", "c": "3"}
        )

    def test_lost_member_gives_its_place_to_an_outsider(self):
        self.assertEqual(
            repaired_members(self.MEMBERS, {}, ["c"], ["c"], [("d", "4"), ("e", "5")], "de").keys(),
            {"a", "b", "d", "e"},
        )

    def test_an_outsider_is_reserved_for_a_member_that_may_be_lost(self):
        self.assertEqual(repaired_members(self.MEMBERS, {}, [], ["c"], [("d", "4")], "d"), self.MEMBERS)
        self.assertEqual(
            repaired_members(self.MEMBERS, {}, [], ["c"], [("d", "4"), ("e", "5")], "de").keys(), {"a", "b", "c", "d"}
        )

    def test_joining_member_that_was_just_seen_takes_a_place_but_does_not_add_to_them(self):
        self.assertEqual(repaired_members(self.MEMBERS, {}, [], [], [("d", "4")]), self.MEMBERS)
        self.assertEqual(repaired_members(self.MEMBERS, {}, ["c"], ["c"], [("d", "4")]).keys(), {"a", "b", "d"})

    def test_lost_member_without_an_outsider_stays(self):
        self.assertEqual(repaired_members(self.MEMBERS, {}, ["c"], ["c"], []), self.MEMBERS)

    def test_lost_member_leaves_an_even_number(self):
        members = {name: name for name in "abcdef"}

        def left(count, lost, **more):
            of = dict(list(members.items())[:count])
            return "".join(sorted(repaired_members(of, {}, list(lost), list(lost), [], **more)))

        self.assertEqual(left(4, ""), "abcd")
        self.assertEqual(left(4, "b"), "acd")
        self.assertEqual(left(4, "b", least=5), "abcd")
        self.assertEqual(
            left(5, "b"),
            "abcde",
            "of five with one gone, one more may be lost, and of the other four no more than that",
        )
        self.assertEqual(left(5, "bc"), "abcde", "members that are cut off keep their places")
        self.assertEqual(left(6, "b"), "acdef")
        self.assertEqual(left(6, "bc"), "acdef")

    def test_outsider_takes_the_place_of_a_lost_member_that_would_leave(self):
        members = {name: name for name in "abcd"}
        self.assertEqual(repaired_members(members, {}, ["b"], ["b"], [("e", "5")]).keys(), {"a", "c", "d", "e"})

    def test_joint_version_needs_majorities_of_both(self):
        joint = VotingConfiguration(
            {"version": 2, "members": self.MEMBERS, "next": {"b": "2", "c": "3", "d": "4", "e": "5", "f": "6"}}
        )
        for ids, enough in (("abc", False), ("bcd", True), ("def", False), ("adef", False), ("abdef", True)):
            with self.subTest(ids=ids):
                self.assertEqual(joint.is_quorum(set(ids)), enough)


if __name__ == "__main__":
    unittest.main()
