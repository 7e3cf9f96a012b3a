"""Guards against a voting configuration that, after members were replaced or are gone, has no majority after the next
loss."""

import os
import sys
import unittest
from types import SimpleNamespace

from twisted.internet.task import Clock

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from oakramp.common.constants import LEASE_EXPIRED, SHARDS, SHARDS_LED_WAIT, VOTING_CONFIG_GONE  # noqa: E402
from oakramp.control.controllers import SHARD_SOURCE  # noqa: E402
from oakramp.control.membership_repair import MembershipRepairTask, without_surplus  # noqa: E402
from oakramp.control.voting_configuration import losses_left  # noqa: E402
from relay_fleet import RelayFleet, RelayMachine  # noqa: E402


class ReplacedAsPlanned(unittest.TestCase):
    """One of three control nodes is replaced as planned: the new one starts first, then the old one ends."""

    def test_a_later_loss_leaves_a_majority(self):
        fleet = RelayFleet(12, cores=3, gates=2)
        fleet.bring_up()
        former = fleet["core2"]
        new = fleet.machines["core9"] = RelayMachine(fleet, "core", 9, former.zone)
        new.start()
        fleet.run(3.0)
        fleet.until(former.stop())
        del fleet.machines["core2"]
        fleet.run(fleet.bounds["rejoin_s"] + 1.0)
        members = fleet["core0"].node.voter.voting_config.members
        self.assertNotIn(former.node.node.node_id, members)
        self.assertEqual(len(members), 3)
        fleet["core0"].power_cut()
        change = fleet.until(fleet.change(step=1), limit=10.0)
        self.assertEqual(change.outcome, "taken")
        self.assertEqual(fleet.until(fleet.operator.read())["edition"], change.version)


class GoneForGood(unittest.TestCase):
    """Of five control nodes, two are gone for good and nobody replaces them; later a third one is lost."""

    def setUp(self):
        self.fleet = RelayFleet(13, cores=5, gates=2)
        self.fleet.bring_up()
        self.fleet.wait_for("all to be voters", lambda: len(self.members()) == 5)
        self.lost = [self.fleet["core3"], self.fleet["core4"]]

    def lines(self, event):
        return [line for line in self.fleet.lines if f"event={event} " in line]

    def members(self):
        return self.fleet["core0"].node.voter.voting_config.members

    def lose_two(self, seconds=VOTING_CONFIG_GONE + 5.0):
        for machine in self.lost:
            machine.power_cut()
        self.fleet.run(seconds)

    def test_a_member_that_is_away_for_a_while_stays(self):
        self.lose_two(seconds=20.0)
        self.assertEqual(len(self.members()), 5)

    def test_the_other_three_tolerate_a_loss(self):
        self.lose_two()
        self.assertEqual(len(self.members()), 3)
        self.fleet["core2"].power_cut()
        change = self.fleet.until(self.fleet.change(step=1), limit=10.0)
        self.assertEqual(change.outcome, "taken")
        self.assertEqual(self.fleet.until(self.fleet.operator.read())["edition"], change.version)

    def test_a_member_that_comes_back_joins_again(self):
        self.lose_two()
        for machine in self.lost:
            machine.start()
        self.fleet.run(10.0)
        self.assertEqual(len(self.members()), 5)

    def test_operators_see_the_degraded_quorum(self):
        self.assertEqual(self.lines("quorum_degraded"), [])
        for machine in self.lost:
            machine.power_cut()
        self.fleet.run(2.8)
        self.assertTrue(self.lines("quorum_degraded"))
        metrics = self.fleet["core0"].node.metrics.to_text()
        self.assertIn("voter_losses_left 0", metrics)
        self.fleet.run(VOTING_CONFIG_GONE + 2.0)
        self.assertTrue(self.lines("quorum_restored"))
        self.assertIn("voter_losses_left 1", self.fleet["core0"].node.metrics.to_text())


class Surplus(unittest.TestCase):
    """Lost members are removed only if the others tolerate more losses without them."""

    def remaining(self, members, lost, least=3):
        ids = {f"n{number}": "" for number in range(members)}
        gone = [f"n{number}" for number in range(lost)]
        return len(without_surplus(ids, gone, gone, least))

    def test_remaining_members_by_losses(self):
        for members, lost, expected in (
            (3, 0, 3),
            (3, 1, 3),
            (4, 0, 4),
            (4, 1, 3),
            (5, 1, 5),
            (5, 2, 3),
            (6, 1, 5),
            (7, 2, 5),
            (7, 3, 5),
            (9, 2, 7),
            (9, 3, 7),
            (9, 4, 5),
        ):
            with self.subTest(members=members, lost=lost):
                self.assertEqual(self.remaining(members, lost), expected)

    def test_the_least_number_of_members_stays(self):
        self.assertEqual(self.remaining(5, 2, least=5), 5)
        self.assertEqual(self.remaining(7, 3, least=5), 5)

    def test_no_other_choice_tolerates_more_losses(self):
        for members in range(3, 10):
            for lost in range(members // 2 + 1):
                present, chosen = members - lost, self.remaining(members, lost)
                choices = range(max(3, present), members + 1) if present >= 3 else [chosen]
                most = max(losses_left(count, present) for count in choices)
                self.assertEqual(losses_left(chosen, present), most, (members, lost))


class RepairsWait(unittest.TestCase):
    """A repair of the voting configuration waits for failovers to end, but not for ever."""

    def setUp(self):
        self.clock, self.ages = Clock(), dict.fromkeys(range(SHARDS), 0.1)
        self.task = MembershipRepairTask.__new__(MembershipRepairTask)
        state_table = SimpleNamespace(age=lambda source: self.ages[int(source.removeprefix(SHARD_SOURCE))])
        self.task._node = SimpleNamespace(reactor=self.clock, state_table=state_table)
        self.task._leaderless_since = None

    def test_it_waits_for_a_shard_without_a_leader(self):
        self.assertFalse(self.task._waits_for_failovers())
        self.ages[7] = LEASE_EXPIRED
        self.assertTrue(self.task._waits_for_failovers())
        self.ages[7] = 0.1
        self.assertFalse(self.task._waits_for_failovers())

    def test_it_waits_no_longer_than_its_limit(self):
        self.ages[7] = float("inf")
        self.assertTrue(self.task._waits_for_failovers())
        self.clock.advance(SHARDS_LED_WAIT - 0.01)
        self.assertTrue(self.task._waits_for_failovers())
        self.clock.advance(0.01)
        self.assertFalse(self.task._waits_for_failovers())


if __name__ == "__main__":
    unittest.main()
