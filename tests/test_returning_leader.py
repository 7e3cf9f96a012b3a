"""A control node that lost its power comes back and leads again: the changes it confirms must reach gateways in time.

The risk is that peers still hold connections to the machine from before the loss, which nothing has closed. A change
counts as in force when a client would observe it: from then on a gateway either routes by that version or a newer one,
or refuses.
"""

import os
import sys
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from oakramp.common.tasks import sleep, spawn  # noqa: E402
from oakramp.control.routing import ROUTING_KEY  # noqa: E402
from oakramp.control.shards import shard_of_key  # noqa: E402
from relay_fleet import BOUNDS, RelayFleet  # noqa: E402

IN_FORCE_S = BOUNDS["edition_ms"] / 1000
CHANGE_PAUSE = 0.15  # s
POWER_OFF_S = 7.0  # s without power; the sixth retransmission to the machine is due 5.6 s after its return
WATCHED_S = 9.0  # s after the return
STEP = 0.02  # s
HANDED_OVER_WITHIN_S = 4.0  # s; until a leader that receives no gossip requests is replaced, and the gateways know
MOST_UNREACHED_S = 2.5  # s from the return until every control node has received an answer from it


class ReturningLeader:
    """A fleet whose leader of the routing shard loses its power and comes back, while changes are made continuously."""

    def __init__(self, seed, cores=3):
        self.fleet = RelayFleet(seed, cores=cores, gates=3)
        self.late = {}  # (gateway, version) -> seconds after the confirmation at which an older version was still used
        self.loading = True
        self.asked = None  # the control node to which operators send changes; None: any
        self.fleet.bring_up()

    def run_scenario(self):
        leader = self._leader()
        changes = spawn(self._make_changes(), self.fleet.lab_log)
        self._watch(2.0)
        leader.power_cut()
        self._watch(POWER_OFF_S)
        leader.start()
        self.asked = leader
        self._watch(WATCHED_S)
        self.loading = False
        self.fleet.until(changes, limit=90.0)
        return leader

    def _leader(self):
        shard = shard_of_key(ROUTING_KEY)
        return next(one for one in self.fleet.of_kind("core") if shard in one.node.leaders.active)

    async def _make_changes(self):
        while self.loading:
            change = await self.fleet.change(step=1, node=self.asked)
            if change.outcome == "taken":
                self.fleet.version, self.fleet.document = change.version, change.document
            await sleep(self.fleet.operator_reactor, CHANGE_PAUSE)

    def _watch(self, seconds):
        ends_at = self.fleet.time.now + seconds
        while self.fleet.time.now < ends_at:
            self.fleet.run(STEP)
            self._note_late()

    def _note_late(self):
        now = self.fleet.time.now
        due = max((one.version for one in self._confirmed() if one.answered_at + IN_FORCE_S < now - STEP), default=0)
        for gateway in self.fleet.of_kind("gate"):
            router = gateway.node.router
            if router.version < due and router.staleness() is None:
                confirmed_at = next(one.answered_at for one in self._confirmed() if one.version == due)
                self.late[gateway.name, due] = round(now - confirmed_at, 2)

    def _confirmed(self):
        return [one for one in self.fleet.callers.changes if one.outcome == "taken"]

    def unreached_until(self, leader):
        """When the last control node received its first answer from the restarted machine (s after its start)."""
        started_at = max(at for at, name, what in self.fleet.marks if (name, what) == (leader.name, "started"))
        peer = leader.node.node.net.address
        answered = [
            float(line.split()[0])
            for line in self.fleet.lines
            if "gossip_peer_answered" in line and f"address={peer} " in line and " core" in line[:20]
        ]
        return max(answered) - started_at


SEEDS = (1, 2, 3)


class Returning(unittest.TestCase):
    def test_changes_that_it_confirms_are_in_force_in_time(self):
        late = {}
        for seed in SEEDS:
            world = ReturningLeader(seed)
            world.run_scenario()
            self.assertGreater(len(world.fleet.callers.changes), 30)
            late |= {(seed, *key): seconds for key, seconds in world.late.items()}
        self.assertEqual(late, {})

    def test_all_control_nodes_reach_it_again_soon(self):
        for seed in SEEDS:
            world = ReturningLeader(seed)
            leader = world.run_scenario()
            self.assertLess(world.unreached_until(leader), MOST_UNREACHED_S, f"seed {seed}")

    def test_a_leader_that_no_majority_can_reach_loses_its_shards(self):
        """Two of three control nodes cannot reach the leader, while the leader reaches both of them and is answered."""
        fleet = RelayFleet(5, cores=3)
        fleet.bring_up()
        shard = shard_of_key(ROUTING_KEY)
        leader = next(one for one in fleet.of_kind("core") if shard in one.node.leaders.active)
        others = [one for one in fleet.machines.values() if one is not leader]
        for one in others:
            one.node.node.gossip_client._pulling.add(
                leader.node.node.net.address
            )  # as if each gossip request were in progress
        fleet.run(HANDED_OVER_WITHIN_S)
        for _ in range(10):
            self.assertNotIn(shard, leader.node.leaders.active, "it must not lead while it receives no gossip requests")
            self.assertTrue(any(shard in one.node.leaders.active for one in others if one.kind == "core"))
            for gateway in fleet.of_kind("gate"):
                self.assertIsNone(gateway.node.router.staleness())
            fleet.run(1.0)


if __name__ == "__main__":
    unittest.main()
