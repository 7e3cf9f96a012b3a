"""A control node that was replaced as planned leaves the voting configuration, which then bears a loss again."""

import os
import sys
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from relay_fleet import RelayFleet, RelayMachine  # noqa: E402


class ReplacedAsPlanned(unittest.TestCase):
    """Of three control nodes one gives way to a new one as planned: the new one first, then the former one ends."""

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


if __name__ == "__main__":
    unittest.main()
