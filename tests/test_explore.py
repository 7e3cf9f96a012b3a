"""Explored schedules of the control classes violate no invariant, injected faults are found, and faults that were found
once stay fixed, also on whole simulated nodes."""

import unittest

from oakramp.testbed.explore.departures import SCENARIOS, search_departures
from oakramp.testbed.explore.explorer import replay, run, without_collecting
from oakramp.testbed.explore.invariants import NOT_SERVED
from oakramp.testbed.explore.mutations import MUTATIONS, applied
from oakramp.testbed.explore.report import as_text, from_text, replay_text, timeline
from oakramp.testbed.explore.search import STEPS, search_random
from oakramp.testbed.explore.shrink import shrink
from oakramp.testbed.explore.strategies import Priorities
from oakramp.testbed.explore.world import Shape
from oakramp.testbed.simfleet import SMALL, SimFleet

SCHEDULES = 60  # of each shape in CI; docs/control-safety/exploring.md has the figures of more
FOUND_WITHIN = {  # mutation -> schedules from seed 0 on
    "majority of disks": 60,
    "wait for the former term": 60,
    "who may hold a term says so": 60,
    "epochs promised once": 60,
    "a given slot is not published again": 60,
    "sync before answering": 60,
    "what was not synced is written anew after a fault": 400,
    "acknowledged before the sync": 60,
    "promised before the sync": 60,
    "lease not checked after a freeze": 60,
    "own image instead of the newest": 60,
    "a member without a disk is counted": 60,
    "a repeated change is refused": 60,
    "a repeated change is applied again": 60,
    "two changes taken on one base": 60,
    "a step taken although one before it is missing": 60,
    "a voter that has promised a later epoch takes steps": 60,
    "a term confirmed past a later promise": 60,
    "a change acknowledged without a majority": 60,
    "the voter that was quiet longest ends the former term": 60,
    "a change that may still be taken is told lost": 60,
}
VOTING_CONFIG_STORED_BY_ONE = """
world voters=3 spares=0 changes=6 losses=1
takeover n0
deliver n0>n2:prepare 0
deliver n0>n1:prepare 0
sync n1
sync n2
deliver n2>n0:prepare-answer 0
deliver n1>n0:prepare-answer 0
deliver n0>n2:imagePart 0
deliver n2>n0:imagePart-answer 0
deliver n0>n2:acceptMany 0
wipe n1
deliver n2>n0:acceptMany-answer 0
deliver n0>n2:accept 0
sync n2
deliver n2>n0:accept-answer 0
sync n0
start n1
sync n0
deliver n0>n2:confirm 0
deliver n2>n0:confirm-answer 0
replace n0 n1.0>n1
deliver op>n0:replace 0
deliver n0>n2:acceptMany 0
sync n2
deliver n2>n0:acceptMany-answer 0
sync n0
sync n0
power n0
"""
VOTER_LEFT_DURING_FAILOVER = """
world voters=3 spares=1 changes=6 losses=2
takeover n0
sync n0
deliver n0>n2:prepare 0
sync n2
deliver n2>n0:prepare-answer 0
deliver n0>n1:acceptMany 0
deliver n0>n2:acceptMany 0
deliver n1>n0:acceptMany-answer 0
deliver n2>n0:acceptMany-answer 0
deliver n0>n1:accept 0
sync n1
deliver n0>n2:accept 0
sync n2
deliver n1>n0:accept-answer 0
deliver n2>n0:accept-answer 0
deliver n0>n2:confirm 0
deliver n2>n0:confirm-answer 0
replace n0 n0.0>n3
deliver op>n0:replace 0
deliver n0>n1:acceptMany 0
sync n1
deliver n0>n2:acceptMany 0
sync n2
deliver n1>n0:acceptMany-answer 0
deliver n2>n0:acceptMany-answer 0
pull n1 n0
deliver n1>n0:pull 0
deliver n0>n1:pull-answer 0
sync n1
pull n2 n0
deliver n2>n0:pull 0
deliver n0>n2:pull-answer 0
sync n2
timer n1
sync n1
pull n3 n0
deliver n3>n0:pull 0
deliver n0>n3:pull-answer 0
sync n3
takeover n3
takeover n1
timer n3
deliver n3>n1:prepare 0
sync n1
timer n1
sync n1
deliver n1>n2:prepare 0
sync n2
deliver n2>n1:prepare-answer 0
sync n1
deliver n1>n2:acceptMany 0
sync n2
deliver n2>n1:acceptMany-answer 0
deliver n1>n2:confirm 0
deliver n2>n1:confirm-answer 0
watch n1
deliver n1>n2:rosterVersion 0
deliver n2>n1:rosterVersion-answer 0
sync n1
deliver n1>n2:acceptMany 0
sync n2
deliver n2>n1:acceptMany-answer 0
pull n3 n1
deliver n3>n1:pull 0
"""


class Exploration(unittest.TestCase):
    def random_outcome(self, seed):
        return without_collecting(run, Shape(), Priorities(seed, STEPS), STEPS)

    def test_random_schedules_violate_no_invariant(self):
        for shape in (Shape(), Shape(voters=3, spares=1), Shape(voters=5), Shape(refusing=1)):
            with self.subTest(shape=shape):
                findings = search_random(shape, 0, SCHEDULES)
                self.assertIsNone(findings.first, findings.first and timeline(findings.first))

    def test_no_single_departure_violates_an_invariant(self):
        """Exhaustive: these scenarios with every single departure from the default order."""
        for name in ("take-over", "busy", "behind", "lapse"):
            with self.subTest(scenario=name):
                findings = search_departures(SCENARIOS[name], 1)
                self.assertIsNone(findings.first, findings.first and timeline(findings.first))
                self.assertGreater(findings.schedules, 300)

    def test_single_departures_find_injected_faults(self):
        for name, scenario in (
            ("lease not checked after a freeze", "take-over"),
            ("promised before the sync", "take-over"),
            ("a repeated change is refused", "busy"),
        ):
            with self.subTest(mutation=name), applied(MUTATIONS[name]):
                found = search_departures(SCENARIOS[scenario], 1, until_found=True).first
                self.assertIsNotNone(found)

    def test_a_schedule_repeats_exactly(self):
        """Two runs of a seed have the same events, and so has a replay of its schedule, which is also equal after a
        conversion to text and back."""
        for seed in range(12):
            first = self.random_outcome(seed)
            again = self.random_outcome(seed)
            self.assertEqual([first.choices, first.events], [again.choices, again.events])
            replayed = without_collecting(replay, first.shape, first.choices)
            self.assertEqual(first.events, replayed.events)
            self.assertEqual(from_text(as_text(first)), (first.shape, first.choices))

    def test_random_schedules_find_injected_faults(self):
        for name, within in FOUND_WITHIN.items():
            mutation = MUTATIONS[name]
            with self.subTest(mutation=name), applied(mutation):
                findings = search_random(mutation.shape, 0, within, until_found=True)
                self.assertIsNotNone(findings.first, f"not found in {within} schedules")

    def test_a_shortened_schedule_violates_the_same_rule(self):
        """A shortened failing schedule violates the same rule when it is replayed from its text, and none without the
        fault."""
        with applied(MUTATIONS["wait for the former term"]):
            found = search_random(Shape(), 0, 60, until_found=True).first
            shortest = without_collecting(shrink, found)
            self.assertLess(len(shortest.choices), len(found.choices))
            self.assertEqual(replay_text(as_text(shortest)).rule, found.rule)
        self.assertIsNone(replay_text(as_text(shortest)).rule)


class VoterThatLeft(unittest.TestCase):
    def test_the_fetch_of_a_snapshot_from_a_voter_that_left_is_abandoned(self):
        """
        n0                      n1                          n3
        leader, being replaced                              joins, begins a failover: n0 promised
        has left the voters     completes the change        learns of it: can't fetch the snapshot from n0 any more
        """
        self.assertIsNone(replay_text(VOTER_LEFT_DURING_FAILOVER).rule)


class VotingConfigurationStoredByOneNode(unittest.TestCase):
    def test_the_schedule_that_found_the_fault_is_served(self):
        self.assertIsNone(replay_text(VOTING_CONFIG_STORED_BY_ONE).rule)
        with applied(MUTATIONS["a kept roster is told in the news again"]):
            self.assertEqual(replay_text(VOTING_CONFIG_STORED_BY_ONE).rule, NOT_SERVED)

    def test_a_stored_voting_configuration_is_published_again_after_a_restart(self):
        """
        control0                                    control1    control2
        stores a joint voting configuration                     disk lost
        loses power before any other node pulled
        restarts: the others learn of it, and all shards are served
        """
        fleet = SimFleet(1, size=SMALL.__class__(1, 3, 3, SMALL.replicas), self_forming=True).bring_up(plans=False)
        stored = fleet["control0"].node.voter.voting_config
        lost = fleet["control2"].node.node.node_id
        fleet["control2"].power_cut()
        fleet["control2"].lose_disk()
        next_members = {node_id: peer for node_id, peer in stored.members.items() if node_id != lost}
        next_members["control2.newcomer"] = fleet["control2"].machine.peer
        joint = {"version": stored.version + 1, "members": stored.members, "next": next_members}
        fleet.until(fleet["control0"].node.voter.set_voting_config(joint))
        self.assertEqual(fleet["control1"].node.voter.voting_config.version, stored.version)
        fleet["control0"].power_cut()
        fleet["control0"].start()
        fleet.wait_for(
            "the joint voting configuration at control1",
            lambda: fleet["control1"].node.voter.voting_config.version > stored.version,
            limit=5.0,
        )
        fleet.wait_for("all shards being served", fleet.shards_served, limit=20.0)
