"""What a node knows of the other members: their latest boots, ages and counts, and its gossip peers."""

import unittest
from dataclasses import dataclass

from oakramp.common.constants import FORGET_AGE, LIVENESS_AGE, PEERS_AGE, PULL_PAUSE
from oakramp.membership.members import LIVE, SILENT, Member, Members


@dataclass
class FakeHeartbeat:
    confirmed_at: float


class Clock:
    now = 100.0

    def seconds(self):
        return self.now


def row(node_id, boot="b1", kind="gate", state="up"):
    return Member(node_id, boot, kind, "zone0", f"machine-{node_id}", f"{node_id}:7400", f"{node_id}:7480", state, "0")


class MembersTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.members = Members(self.clock, "own")

    def test_condition_follows_the_heartbeat_without_a_new_note(self):
        heartbeat = FakeHeartbeat(100.0)
        self.members.note(row("a"), heartbeat)
        self.assertEqual(self.members.condition("a"), LIVE)
        self.clock.now += LIVENESS_AGE + 0.1
        self.assertEqual(self.members.condition("a"), SILENT)
        heartbeat.confirmed_at = self.clock.now
        self.assertEqual(self.members.condition("a"), LIVE)
        self.assertEqual([one.node_id for one in self.members.live("gate")], ["a"])

    def test_latest_boot_is_the_one_that_was_seen_last(self):
        first, second = FakeHeartbeat(100.0), FakeHeartbeat(99.9)
        self.members.note(row("a", "b1"), first)
        self.members.note(row("a", "b2"), second)
        self.assertEqual(self.members.find("a").boot, "b1")
        second.confirmed_at = 100.5
        self.members.refresh()
        self.assertEqual(self.members.find("a").boot, "b2")

    def test_refresh_drops_expired_rows_and_keeps_the_own_row(self):
        self.members.note(row("a", "b1"), FakeHeartbeat(100.0))
        self.members.note(row("a", "b2"), FakeHeartbeat(130.0))
        self.members.note(row("own", "b3"), FakeHeartbeat(100.0))
        self.clock.now = 100.1 + FORGET_AGE
        self.assertEqual(self.members.refresh(), ["b1"])
        self.assertEqual(self.members.find("a").boot, "b2")
        self.clock.now = 130.1 + FORGET_AGE
        self.assertEqual(self.members.refresh(), ["b2"])
        self.assertIsNone(self.members.find("a"))
        self.assertEqual(self.members.find("own").boot, "b3")

    def test_a_member_with_an_expired_heartbeat_is_live_once_it_is_confirmed(self):
        heartbeat = FakeHeartbeat(100.0 - FORGET_AGE - 1)
        self.members.note(row("a"), heartbeat)
        self.assertEqual(self.members.condition("a"), SILENT)
        heartbeat.confirmed_at = 100.0
        self.assertEqual(self.members.condition("a"), LIVE)

    def test_live_count_is_at_most_one_pull_pause_old(self):
        self.members.note(row("a"), FakeHeartbeat(100.0))
        self.assertEqual(self.members.live_count("gate"), 1)
        self.members.note(row("b"), FakeHeartbeat(100.0))
        self.assertEqual(self.members.live_count("gate"), 1)
        self.clock.now += PULL_PAUSE
        self.assertEqual(self.members.live_count("gate"), 2)
        self.assertEqual(self.members.live_count("store"), 0)

    def test_an_unknown_node_has_an_infinite_age(self):
        self.assertEqual(self.members.find_with_age("a"), (None, float("inf")))
        self.members.note(row("a"), FakeHeartbeat(99.0))
        member, age = self.members.find_with_age("a")
        self.assertEqual((member.node_id, age), ("a", 1.0))


class GossipPeersTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.members = Members(self.clock, "own")
        self.heartbeats = {}
        for number in range(3):
            self.add(f"c{number}", "control")
        for number in range(6):
            self.add(f"g{number}", "gate")

    def add(self, node_id, kind):
        self.heartbeats[node_id] = FakeHeartbeat(self.clock.now)
        self.members.note(row(node_id, kind=kind), self.heartbeats[node_id])

    def peers(self, kind="gate"):
        return [one.node_id for one in self.members.gossip_peers(kind)]

    def test_a_gateway_has_one_control_node_and_two_others(self):
        peers = self.peers()
        self.assertEqual(len(peers), 3)
        self.assertEqual(sum(node_id.startswith("c") for node_id in peers[:1]), 1)
        self.assertEqual(peers, self.peers())

    def test_a_control_node_has_all_the_others(self):
        self.assertLessEqual({"c0", "c1", "c2"}, set(self.peers("control")))

    def test_a_peer_that_falls_silent_is_replaced_at_once(self):
        before = self.peers()
        self.heartbeats[before[0]].confirmed_at -= LIVENESS_AGE + 0.1
        after = self.peers()
        self.assertNotIn(before[0], after)
        self.assertEqual(len(after), 3)

    def test_a_new_control_node_becomes_a_peer_at_once(self):
        self.peers("control")
        self.add("c9", "control")
        self.assertIn("c9", self.peers("control"))

    def test_a_peer_that_returns_with_its_former_row_is_chosen_within_peers_age(self):
        self.heartbeats["c1"].confirmed_at -= LIVENESS_AGE + 0.1
        self.assertNotIn("c1", self.peers("control"))
        self.heartbeats["c1"].confirmed_at = self.clock.now
        self.clock.now += PEERS_AGE
        self.assertIn("c1", self.peers("control"))
