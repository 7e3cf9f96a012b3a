"""Pulls that send only the changes of a version vector.

Whatever messages are lost, sources dropped or nodes restarted, both sides must end with the same state, and no age may
ever be understated.
"""

import random
import unittest
from dataclasses import replace

from oakramp.common.constants import FORGET_AGE
from oakramp.common.errors import OutcomeUnknownError
from oakramp.common.structured_logging import EventLogger
from oakramp.common.tasks import begin
from oakramp.gossip.gossip_client import GossipClient
from oakramp.gossip.state_table import StateTable
from oakramp.gossip.version_exchange import ReceivedVector, SentVector, pack_ages, unpack_ages
from oakramp.membership.members import Member, Members
from oakramp.rpc.codec import idl, pack, unpack
from oakramp.testbed.simfleet import SimFleet
from oakramp.testbed.simnet import SimHost, SimNetwork, SimReactor, SimTime


class PackedCalls:
    """Packed calls from one puller to another. `lose`, what gets lost, is "request", "reply" or None."""

    def __init__(self, name):
        self.cluster_id, self.node_id, self.handlers = "c", name, {}
        self.peers, self.lose, self.sizes, self.calls = {}, None, [], 0

    def handle(self, method, handler):
        self.handlers[method] = handler

    def node_at(self, address):
        return self.peers[address].node_id

    def forget_failure(self, address):
        """Does nothing: failed calls cause no backoff here."""

    async def call(self, address, method, _time_left, **arguments):
        self.calls += 1
        asked = pack(idl.pull_args(**arguments))
        if self.lose == "request":
            raise OutcomeUnknownError("lost")
        peer = idl.Hello(node_id=self.node_id, cluster_id=self.cluster_id)
        answer = pack(await self.peers[address].handlers[method](peer, unpack(idl.pull_args, asked)))
        self.sizes.append(len(asked) + len(answer))
        if self.lose == "reply":
            raise OutcomeUnknownError("lost")
        return unpack(idl.GossipUpdate, answer)


class Identity:
    addresses, founding = [], None

    def learn(self, addresses):
        pass


class GossipNode:
    def __init__(self, rig, name, boot="1"):
        self.wire, self.state_table = PackedCalls(name), StateTable(rig.reactor)
        self.members = Members(rig.reactor, name)
        row = Member(name, boot, "gate", "z", name, f"{name}:1", f"{name}:2", "up", "1")
        self.gossip_client = GossipClient(
            rig.reactor,
            self.wire,
            self.state_table,
            self.members,
            Identity(),
            row,
            [],
            random.Random(boot),
            EventLogger(lambda line: None),
        )

    def versions(self):
        return {source: snapshot.version for source, snapshot in self.state_table.snapshots.items()}


class VectorExchange(unittest.TestCase):
    def setUp(self):
        self.time = SimTime()
        self.reactor = SimReactor(SimHost(SimNetwork(self.time, random.Random(1)), "127.0.0.1"))
        self.a, self.b = GossipNode(self, "a"), GossipNode(self, "b")
        self.connect()

    def connect(self):
        self.a.wire.peers, self.b.wire.peers = {"b:1": self.b.wire}, {"a:1": self.a.wire}

    def pull(self, gossip_client=None):
        side = gossip_client or self.a
        begin(side.gossip_client._pull_from("b:1" if side is self.a else "a:1"))

    def advance(self, seconds):
        self.time.advance_to(self.time.now + seconds)

    def publish(self, side, source, version, **values):
        side.state_table.publish(source, self.reactor.seconds)
        side.state_table.set_items(source, version, {name: value.encode() for name, value in values.items()})

    def test_a_pull_without_changes_is_small(self):
        for number in range(60):
            self.publish(self.b, f"slot/{number}", 1, owner="somebody with a long name" * 3)
        self.pull()
        self.pull()
        self.pull()
        whole, _, quiet = self.a.wire.sizes
        self.assertGreater(whole, 6000)
        self.assertLess(quiet, 300)

    def test_a_pull_transfers_changes_and_ages(self):
        self.publish(self.b, "slot/1", 1, owner="b")
        self.pull()
        self.advance(5.0)
        self.assertAlmostEqual(self.a.state_table.age("slot/1"), 5.0, delta=0.01)
        self.pull()
        self.assertLess(self.a.state_table.age("slot/1"), 0.01)
        self.publish(self.b, "slot/1", 2, owner="c")
        self.publish(self.b, "slot/2", 1, owner="b")
        self.pull()
        self.assertEqual((self.a.versions()["slot/1"], self.a.versions()["slot/2"]), (2, 1))
        self.assertEqual(self.a.state_table.values("slot/1"), {"owner": b"c"})
        self.advance(3.0)
        self.pull()
        self.assertLess(max(self.a.state_table.age("slot/1"), self.a.state_table.age("slot/2")), 0.01)

    def test_a_pull_without_the_own_row_confirms_the_row_sent_before(self):
        self.pull()
        for _ in range(10):
            self.advance(1.0)
            self.pull()
        self.assertLess(self.b.state_table.age("node/a/1"), 0.01)
        self.a.gossip_client.describe(replace(self.a.gossip_client.me, state="leaving"))
        self.pull()
        self.assertIn(b"leaving", self.b.state_table.values("node/a/1")["about"])

    def test_both_nodes_agree_after_lost_requests_and_replies(self):
        chooser = random.Random(3)
        for step in range(300):
            self.publish(self.b, f"slot/{chooser.randrange(9)}", step + 1, owner=f"b{step}")
            if chooser.random() < 0.3:
                self.publish(self.a, f"own/{chooser.randrange(4)}", step + 1, x=f"a{step}")
            self.a.wire.lose = chooser.choice((None, None, "request", "reply"))
            self.b.wire.lose = chooser.choice((None, "reply"))
            self.pull()
            self.pull(self.b)
            self.advance(0.2)
        self.a.wire.lose = self.b.wire.lose = None
        self.pull()
        self.pull(self.b)
        self.assertEqual(self.a.versions(), self.b.versions())
        for source in self.a.versions():
            self.assertEqual(self.a.state_table.values(source), self.b.state_table.values(source))

    def test_a_restarted_peer_gets_the_whole_vector_again(self):
        self.publish(self.b, "slot/1", 1, owner="b")
        self.pull()
        self.b = GossipNode(self, "b", boot="2")
        self.connect()
        self.publish(self.b, "slot/1", 4, owner="c")
        self.pull()
        self.assertEqual(self.a.versions()["slot/1"], 4)
        self.assertLess(self.b.state_table.age("node/a/1"), 0.01)

    def test_a_restarted_puller_does_not_confirm_the_row_of_its_former_process(self):
        self.publish(self.b, "slot/1", 1, owner="b")
        self.pull()
        self.a = GossipNode(self, "a", boot="2")
        self.connect()
        self.pull()
        self.pull()
        self.advance(1.0)
        self.pull()
        self.assertEqual(self.a.versions()["slot/1"], 1)
        self.assertGreater(
            self.b.state_table.age("node/a/1"),
            0.9,
            "the row of the former process must not be confirmed by the new one",
        )
        self.assertLess(self.b.state_table.age("node/a/2"), 0.01)

    def test_updates_of_a_source_are_merged_after_its_publication_ends(self):
        """A node ignores updates of the sources that it publishes; those ignored must be sent again later."""
        self.publish(self.a, "slot/1", 1, owner="a")
        self.pull()
        self.publish(self.b, "slot/1", 2, owner="b")
        self.pull()
        self.assertEqual(self.a.versions()["slot/1"], 1)
        self.a.state_table.retract("slot/1")
        self.pull()
        self.assertEqual((self.a.versions()["slot/1"], self.a.state_table.values("slot/1")), (2, {"owner": b"b"}))

    def test_ages_from_peers_do_not_confirm_an_own_source(self):
        self.publish(self.b, "slot/1", 1, owner="b")
        for _ in range(3):
            self.pull()
        self.a.state_table.publish("slot/1", lambda: None)
        self.advance(3.0)
        self.pull()
        self.assertGreater(self.a.state_table.age("slot/1"), 2.9)
        self.a.state_table.retract("slot/1")
        self.pull()
        self.assertLess(self.a.state_table.age("slot/1"), 0.01)

    def test_a_dropped_source_is_sent_again(self):
        self.publish(self.b, "slot/1", 1, owner="b")
        self.pull()
        self.pull()
        self.a.state_table.drop("slot/1")
        self.pull()
        self.assertEqual(self.a.versions()["slot/1"], 1)

    def test_a_puller_whose_vector_expired_is_asked_for_all_of_it(self):
        self.pull()
        self.advance(FORGET_AGE + 1.0)
        self.b.gossip_client._refresh()
        self.assertEqual(self.b.gossip_client._received_vectors, {})
        self.pull()
        self.assertLess(self.b.state_table.age("node/a/1"), 0.01)

    def test_a_late_request_with_an_earlier_basis_is_rejected(self):
        kept = []
        call = self.a.wire.call

        async def keep(address, method, time_left, **arguments):
            kept.append(pack(idl.pull_args(**arguments)))
            return await call(address, method, time_left, **arguments)

        self.a.wire.call = keep
        self.pull()
        self.pull()
        self.a.wire.lose = "reply"
        self.pull()  # the vector begins anew
        self.a.wire.lose = None
        self.pull()
        received = self.b.gossip_client._received_vectors["a"].basis
        late = unpack(idl.pull_args, kept[1])
        update = self.b.gossip_client._update_for(idl.Hello(node_id="a", cluster_id="c"), late)
        self.assertTrue(update.again)
        self.assertEqual(self.b.gossip_client._received_vectors["a"].basis, received)

    def test_the_whole_vector_is_sent_to_an_older_release_each_time(self):
        serve = self.b.wire.handlers["pull"]

        async def older(peer, arguments):
            return await serve(peer, idl.pull_args(seen=arguments.seen, me=arguments.me))

        self.b.wire.handlers["pull"] = older
        self.publish(self.b, "slot/1", 1, owner="b")
        self.pull()
        self.advance(1.0)
        self.pull()
        self.publish(self.b, "slot/1", 2, owner="c")
        self.pull()
        self.assertEqual(self.a.versions()["slot/1"], 2)
        self.assertLess(self.a.state_table.age("slot/1"), 0.01)
        self.assertEqual(self.a.wire.calls, 3)

    def test_the_row_of_a_node_outside_the_cluster_is_not_merged(self):
        self.a.wire.cluster_id = self.b.wire.cluster_id = ""
        for _ in range(3):
            self.pull()
        self.assertNotIn("node/a/1", self.b.versions())
        self.assertEqual(self.a.wire.calls, 3)
        self.a.wire.cluster_id = self.b.wire.cluster_id = "c"
        self.pull()
        self.assertIn("node/a/1", self.b.versions())


class Ages(unittest.TestCase):
    def test_packed_ages(self):
        self.assertEqual(unpack_ages(pack_ages([1, None, 65534, 65535, 10**9])), [1, None, 65534, None, None])

    def test_a_snapshot_without_items_has_an_age_once_it_exists(self):
        time = SimTime()
        state_table, received = (
            StateTable(SimReactor(SimHost(SimNetwork(time, random.Random(1)), "127.0.0.1"))),
            ReceivedVector(1),
        )
        received.merge_changes([idl.SourceVersion(source="s", version=0)])
        ages = []
        for step in (
            lambda: None,
            lambda: state_table.publish("s", lambda: 0.0),
            lambda: state_table.drop("s"),
            lambda: state_table.set_items("s", 0, {}),
            lambda: received.merge_changes([idl.SourceVersion(source="s", version=1)]),
        ):
            step()
            ages += unpack_ages(received.update_from(state_table).ages_packed)
        self.assertEqual(ages, [None, 1, None, 1, None])

    def test_an_age_is_never_understated(self):
        time = SimTime()
        state_table = StateTable(SimReactor(SimHost(SimNetwork(time, random.Random(1)), "127.0.0.1")))
        at = [0.0]
        state_table.publish("s", lambda: at[0])
        state_table.set_items("s", 1, {"x": b"1"})
        other = StateTable(state_table._reactor)
        sent, received = SentVector(other, 1), ReceivedVector(1)
        received.merge_changes(sent.take_changes())
        other.merge(received.update_from(state_table), sent.seen, time.now)
        for passed in (0.0004, 3.0, 80.0):
            time.advance_to(time.now + passed)
            received.merge_changes(sent.take_changes())
            other.merge(received.update_from(state_table), sent.seen, time.now)
            self.assertGreaterEqual(other.age("s"), state_table.age("s"))
        self.assertLessEqual(other.age("s"), state_table.age("s") + 0.01)


class Fleets(unittest.TestCase):
    def test_all_state_tables_agree_after_faults(self):
        fleet = SimFleet(4).bring_up()
        chooser = random.Random(2)
        for _ in range(12):
            one = chooser.choice(list(fleet.by_name.values()))
            one.freeze()
            fleet.run(chooser.uniform(0.2, 3.0))
            one.thaw()
            other = chooser.choice(fleet.of_kind("gate"))
            other.kill()
            fleet.run(0.3)
            other.start()
        fleet.run(6.0)
        state_tables = [one.node.node.state_table for one in fleet.by_name.values()]
        for source in {
            source for state_table in state_tables for source in state_table.snapshots if not source.startswith("node/")
        }:
            self.assertEqual(len({state_table.snapshots[source].version for state_table in state_tables}), 1, source)
            self.assertLess(max(state_table.age(source) for state_table in state_tables), 1.5, source)
        for one in fleet.by_name.values():
            self.assertEqual(len(one.node.node.members.live()), len(fleet.by_name))
