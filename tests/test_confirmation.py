"""The change of a shard's leader: the new leader's first lease, and how long a leader that released the shard abstains
from it."""

import unittest

from oakramp.common.constants import LEASE, SHARDS
from oakramp.common.errors import StaleEpochError
from oakramp.testbed.simfleet import SimFleet

ADOPTION_DELAY = 0.12  # s; in a recorded day, voters adopted the configuration this long after the new leader's node


class LateVoters:
    """Voters that refuse the first confirmations of each new epoch, as if they had not yet adopted the requester's
    voting configuration."""

    def __init__(self, fleet):
        self._fleet, self._first_asked = fleet, {}
        self.refused = 0
        for one in fleet.of_kind("control"):
            one.node.node.net.handlers["confirm"] = self._refusing(one.name, one.node.node.net.handlers["confirm"])

    def _refusing(self, name, confirm):
        async def handler(peer, arguments):
            leases = arguments.leases or []
            if len(leases) == 1 and peer.node_id.partition(".")[0] != name:
                first = self._first_asked.setdefault((name, leases[0].shard, leases[0].epoch), self._fleet.time.now)
                if self._fleet.time.now < first + ADOPTION_DELAY:
                    self.refused += 1
                    raise StaleEpochError("voting configuration version 2 is not 1", detail={"roster": 1})
            return await confirm(peer, arguments)

        return handler


class Confirmation(unittest.TestCase):
    def test_first_lease_is_requested_again_while_voters_adopt_a_voting_configuration(self):
        fleet = SimFleet(41).bring_up()
        fleet.wait_ready()
        leaving = max(fleet.of_kind("control"), key=lambda one: len(one.node.leaders.active))
        shards = set(leaving.node.leaders.active)
        self.assertGreater(len(shards), 0)
        voters, previous = LateVoters(fleet), len(fleet.lines)
        leaving.stop()
        fleet.run(2 * LEASE)
        self.assertGreaterEqual(voters.refused, len(shards))
        unconfirmed = [line for line in fleet.lines[previous:] if "was not confirmed" in line]
        self.assertEqual(unconfirmed, [], fleet.timeline())
        self.assertEqual(fleet.shards_held(), set(range(SHARDS)), fleet.timeline())


class Release(unittest.TestCase):
    def test_released_shard_is_left_to_its_requester_for_a_lease(self):
        fleet = SimFleet(42).bring_up()
        fleet.wait_ready()
        fleet.run(2.0)
        leader = max(fleet.of_kind("control"), key=lambda one: len(one.node.leaders.active)).node
        requester = next(one for one in fleet.of_kind("control") if one.node is not leader).node
        shard = min(leader.leaders.active)
        previous = len(fleet.lines)
        fleet.until(requester.node.net.call(leader.node.net.address, "release", 1.0, shard=shard))

        def taken_back():
            return [line for line in fleet.lines[previous:] if "failover_started" in line and f"shard={shard} " in line]

        fleet.run(0.9 * LEASE)
        self.assertEqual(taken_back(), [], fleet.timeline())
        fleet.run(LEASE)
        self.assertEqual(
            len(taken_back()),
            1,
            "a requester that does not take the shard over must not keep it from its next leader",
        )
        self.assertIn(shard, leader.leaders.active)
