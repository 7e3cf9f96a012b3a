"""Exploring schedules of the control classes, and what it found, on whole simulated nodes."""

import unittest

from oaklab.simfleet import SMALL, SimFleet


class RosterKeptByOne(unittest.TestCase):
    def test_kept_roster_is_told_in_the_news_again(self):
        """
        control0                            control1    control2
        takes up a joint roster                         disk lost
        power cut before any other pulled
        back: the others hear of it, and all slots are served
        """
        fleet = SimFleet(1, size=SMALL.__class__(1, 3, 3, SMALL.replicas), self_forming=True).bring_up(plans=False)
        kept = fleet["control0"].node.voter.roster
        lost = fleet["control2"].node.node.node_id
        fleet["control2"].power_cut()
        fleet["control2"].lose_disk()
        following = {node_id: peer for node_id, peer in kept.members.items() if node_id != lost}
        following["control2.newcomer"] = fleet["control2"].machine.peer
        joint = {"version": kept.version + 1, "members": kept.members, "next": following}
        fleet.until(fleet["control0"].node.voter.set_roster(joint))
        self.assertEqual(fleet["control1"].node.voter.roster.version, kept.version)
        fleet["control0"].power_cut()
        fleet["control0"].start()
        fleet.wait_for(
            "the joint roster at control1",
            lambda: fleet["control1"].node.voter.roster.version > kept.version,
            limit=5.0,
        )
        fleet.wait_for("all slots being served", fleet.slots_served, limit=20.0)
