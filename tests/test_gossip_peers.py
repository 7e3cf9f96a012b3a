"""The addresses that a node pulls from in each round: the control nodes while they reply, all its peers otherwise, and
one seed at a time while it knows no member.

Guards against pulls from too many addresses at once, or from too few.
"""

import random
import unittest
from collections import Counter
from types import SimpleNamespace
from unittest.mock import patch

from oakramp.common.constants import OTHER_PEERS_ROUNDS, UNCONFIRMED_AGE
from oakramp.gossip.gossip_client import GossipClient
from oakramp.gossip.state_table import StateTable
from oakramp.membership.members import Member, Members
from relay_fleet import RelayFleet


class Clock:
    now = 100.0

    def seconds(self):
        return self.now


def row(node_id, kind):
    return Member(node_id, "b1", kind, "zone0", node_id, f"{node_id}:7400", f"{node_id}:7480", "up", "0")


class SeedsToPull(unittest.TestCase):
    """The seeds that a node pulls from while it knows no member."""

    SEEDS = ("s0:7400", "s1:7400", "s2:7400")

    def rounds(self, kind, name, count):
        clock = Clock()
        net = SimpleNamespace(handle=lambda method, handler: None, address=f"{name}:7400")
        identity, random_source = SimpleNamespace(addresses=["former:7400"]), random.Random(1)
        client = GossipClient(
            clock,
            net,
            StateTable(clock),
            Members(clock, name),
            identity,
            row(name, kind),
            self.SEEDS,
            random_source,
            None,
        )
        asked = []
        for client._rounds in range(count):
            asked.append(client._seeds_to_pull(set()))
        return asked

    def test_a_gateway_without_peers_pulls_from_one_seed_each_round_and_from_all_in_turn(self):
        asked = self.rounds("gate", "g1", 4)
        self.assertEqual([len(addresses) for addresses in asked], [1] * 4)
        self.assertEqual(set.union(*asked), {*self.SEEDS, "former:7400"})

    def test_gateways_that_start_at_once_begin_with_different_seeds(self):
        first = Counter(str(self.rounds("gate", f"g{number}", 1)) for number in range(100))
        self.assertEqual(len(first), 4)
        self.assertLess(max(first.values()), 50)

    def test_a_control_node_without_peers_pulls_from_all_seeds(self):
        self.assertEqual(self.rounds("control", "c9", 1), [{*self.SEEDS, "former:7400"}])


class SimultaneousStart(unittest.TestCase):
    """Many gateways start at the same moment."""

    GATEWAYS, SEEDS = 40, 3
    FULL_REPLIES_EACH = 4  # full replies that a gateway gets from the seeds at most, until it knows its peers

    def test_the_seeds_send_few_full_replies(self):
        for whole_fleet in (False, True):
            with self.subTest(whole_fleet=whole_fleet):
                self.assertLess(self.full_replies(whole_fleet), self.FULL_REPLIES_EACH * self.GATEWAYS)

    def full_replies(self, whole_fleet):
        """How many pulls with a whole vector the seeds get while all gateways, or all nodes, start."""
        counted = []
        serve_pull = GossipClient._serve_pull

        async def count(client, peer, arguments):
            if arguments.whole and peer.kind == "gate" and client.me.machine in ("core0", "core1", "core2"):
                counted.append(peer.node_id)
            return await serve_pull(client, peer, arguments)

        with patch.object(GossipClient, "_serve_pull", count):
            fleet = RelayFleet(3, gates=self.GATEWAYS, cores=5).bring_up()
            fleet.run(3.0)
            starting = fleet.of_kind("gate") + (fleet.of_kind("core") if whole_fleet else [])
            for machine in starting:
                machine.kill()
            fleet.run(2.0)
            counted.clear()
            for machine in starting:
                machine.start()
            fleet.run(2.0)
        fleet.wait_ready(4.0)
        return len(counted)


class PeersToPull(unittest.TestCase):
    def set_up(self, kind):
        self.clock = Clock()
        self.members, self.table = Members(self.clock, "own"), StateTable(self.clock)
        net = SimpleNamespace(handle=lambda method, handler: None, address="own:7400")
        me = row("own", kind)
        self.client = GossipClient(self.clock, net, self.table, self.members, None, me, [], random.Random(1), None)
        self.heartbeats = {}
        for node_id, of_kind in [("c0", "control"), ("c1", "control"), *((f"g{one}", "gate") for one in range(5))]:
            self.heartbeats[node_id] = SimpleNamespace(confirmed_at=self.clock.now)
            self.members.note(row(node_id, of_kind), self.heartbeats[node_id])
        self.table.snapshots["slot/0"] = self.published = SimpleNamespace(confirmed_at=self.clock.now)
        self.all = {member.peer for member in self.members.gossip_peers(kind)}

    def rounds(self, count):
        asked = []
        for _ in range(count):
            asked.append(self.client._peers_to_pull())
            self.client._rounds += 1
        return asked

    def test_a_gateway_pulls_from_one_control_node_each_round_and_from_the_other_peers_in_turn(self):
        self.set_up("gate")
        asked = self.rounds(4 * OTHER_PEERS_ROUNDS)
        first = set.intersection(*asked)
        self.assertEqual(len(first), 1)
        self.assertTrue(first.pop().startswith("c"))
        self.assertEqual(sum(len(one) > 1 for one in asked), 4)
        self.assertEqual(set.union(*asked), self.all)

    def test_a_control_node_pulls_from_all_control_nodes_each_round(self):
        self.set_up("control")
        for asked in self.rounds(OTHER_PEERS_ROUNDS):
            self.assertLessEqual({"c0:7400", "c1:7400"}, asked)

    def test_all_peers_are_pulled_from_while_the_control_node_has_not_replied(self):
        make_unsure = {
            "_pulling": lambda control: self.client._pulling.add(control),
            "_silent": lambda control: self.client._silent.setdefault(control, self.clock.now),
        }
        for owed, owe in make_unsure.items():
            with self.subTest(owed=owed):
                self.set_up("gate")
                control = min(self.rounds(2)[1])
                owe(control)
                self.assertEqual(self.rounds(1), [self.all])
                getattr(self.client, owed).clear()
                self.assertLess(len(self.rounds(2)[1]), len(self.all))

    def test_all_peers_are_pulled_from_while_a_published_source_is_not_confirmed(self):
        self.set_up("gate")
        self.published.confirmed_at = self.clock.now - UNCONFIRMED_AGE - 0.1
        self.assertEqual(self.rounds(2), [self.all, self.all])
        self.published.confirmed_at = self.clock.now
        self.assertLess(len(self.rounds(2)[1]), len(self.all))

    def test_old_rows_of_nodes_do_not_cause_pulls_from_all_peers(self):
        self.set_up("gate")
        self.table.snapshots["node/old/b0"] = SimpleNamespace(confirmed_at=self.clock.now - 30)
        self.assertLess(len(self.rounds(2)[1]), len(self.all))
