"""Append requests for several shards in one call: each is checked on its own and stored before it is answered, and none
waits for another. Also the counting of proposals, and lease renewals along with gossip requests."""

import random
import unittest

from twisted.internet import defer

from oakramp.common.constants import APPEND_BATCH_DELAY
from oakramp.common.errors import OutcomeUnknownError, StaleEpochError
from oakramp.common.tasks import spawn
from oakramp.control.replication import AppendBatcher, Proposal
from oakramp.control.shard_client import ShardClient
from oakramp.control.shards import shard_of_key
from oakramp.control.voting_configuration import VotingConfiguration
from oakramp.rpc.codec import idl, pack, unpack
from oakramp.testbed.simfleet import SimFleet
from oakramp.testbed.simnet import SimHost, SimNetwork, SimReactor, SimTime
from test_snapshots import VoterRig, entries_of


class BatchedAppends(unittest.TestCase):
    def setUp(self):
        self.rig = VoterRig()
        for shard in (1, 2, 3):
            self.assertTrue(self.rig.do("prepare", shard=shard, epoch=1).granted)
            self.assertTrue(self.rig.do("accept", shard=shard, epoch=1, sequence=1, whole=True, entries=[]).taken)

    def append_request(self, shard, sequence=2, epoch=1, **entries):
        return pack(
            idl.AppendEntries(
                shard=shard,
                epoch=epoch,
                sequence=sequence,
                entries=entries_of((f"budget/p/{name}", value) for name, value in entries.items()),
            )
        )

    def append_many(self, *steps, owner="a", voting_config_version=1):
        arguments = idl.acceptMany_args(steps=list(steps), owner=owner, voting_config_version=voting_config_version)
        return self.rig.do_(self.rig.net.handlers["acceptMany"](idl.Hello(node_id="a"), arguments))

    def stored(self, shard):
        _, sequence, entries = self.rig.voter.snapshot(shard)
        return sequence, dict(entries)

    def test_one_commit_for_all(self):
        before = self.rig.ring.commit_count
        self.assertTrue(
            all(one.taken for one in self.append_many(*(self.append_request(shard, x=b"1") for shard in (1, 2, 3))))
        )
        self.assertEqual(self.rig.ring.commit_count, before + 1)
        self.rig.disk.power_cut()
        self.rig.start()
        self.assertEqual([self.stored(shard) for shard in (1, 2, 3)], [(2, {"budget/p/x": b"1"})] * 3)

    def test_each_shard_is_answered_on_its_own(self):
        self.assertTrue(self.rig.do("prepare", shard=2, epoch=5, owner="b").granted)
        said = self.append_many(
            self.append_request(1, x=b"1"), self.append_request(2, x=b"1"), self.append_request(3, sequence=7, x=b"1")
        )
        self.assertEqual(
            [(one.taken, bool(one.needs_snapshot), one.promised_epoch) for one in said],
            [(True, False, None), (False, False, 5), (False, True, 1)],
        )
        self.assertEqual([self.stored(shard)[0] for shard in (1, 2, 3)], [2, 1, 1])

    def test_a_duplicate_is_accepted_without_a_write(self):
        self.append_many(self.append_request(1, x=b"1"))
        before = self.rig.ring.commit_count
        self.assertTrue(self.append_many(self.append_request(1, x=b"1"))[0].taken)
        self.assertEqual((self.rig.ring.commit_count, self.stored(1)[0]), (before, 2))

    def test_requests_of_another_voting_configuration_are_refused(self):
        with self.assertRaises(StaleEpochError):
            self.append_many(self.append_request(1, x=b"1"), voting_config_version=2)
        self.assertEqual(self.stored(1)[0], 1)

    def test_a_busy_shard_is_skipped_and_does_not_delay_the_others(self):
        until = defer.Deferred()

        async def command():
            await until

        self.rig.voter._executors[2].do(command)
        said = self.append_many(
            self.append_request(1, x=b"1"), self.append_request(2, x=b"1"), self.append_request(3, x=b"1")
        )
        self.assertEqual([(one.taken, bool(one.again)) for one in said], [(True, False), (False, True), (True, False)])
        self.assertEqual([self.stored(shard)[0] for shard in (1, 2, 3)], [2, 1, 2])

    def test_a_second_request_for_a_shard_in_one_call_is_skipped(self):
        said = self.append_many(self.append_request(1, x=b"1"), self.append_request(1, sequence=3, x=b"2"))
        self.assertEqual([(one.taken, bool(one.again)) for one in said], [(True, False), (False, True)])

    def test_requests_too_large_for_one_commit_are_left_to_single_calls(self):
        limit = self.rig.ring.commit_limit()
        said = self.append_many(*(self.append_request(shard, x=bytes(limit // 2)) for shard in (1, 2, 3)))
        self.assertEqual([(one.taken, bool(one.again)) for one in said], [(False, True)] * 3)
        self.assertEqual([self.stored(shard) for shard in (1, 2, 3)], [(1, {})] * 3)

    def test_a_prepare_waits_for_the_commit_and_sees_it(self):
        arguments = idl.acceptMany_args(steps=[self.append_request(1, x=b"1")], owner="a", voting_config_version=1)
        answers = []
        spawn(self.rig.net.handlers["acceptMany"](idl.Hello(node_id="a"), arguments)).addCallback(answers.append)
        prepare = idl.prepare_args(shard=1, epoch=2, owner="b", voting_config_version=1, parts=True)
        spawn(self.rig.net.handlers["prepare"](idl.Hello(node_id="a"), prepare)).addCallback(answers.append)
        self.rig.time.advance_to(self.rig.time.now + 1.0)
        self.assertEqual((answers[0][0].taken, answers[1].granted, answers[1].sequence), (True, True, 2))

    def test_a_failed_commit_is_not_confirmed_and_changes_nothing(self):
        self.rig.disk.failing = True
        with self.assertRaises(Exception):
            self.append_many(self.append_request(1, x=b"1"), self.append_request(2, x=b"1"))
        self.assertEqual([self.stored(shard)[0] for shard in (1, 2)], [1, 1])
        with self.assertRaises(StaleEpochError):
            self.append_many(self.append_request(1, x=b"1"))

    def test_a_power_cut_leaves_all_of_a_call_or_nothing(self):
        for seed in range(20):
            self.setUp()
            self.rig.disk._random = random.Random(seed)
            arguments = idl.acceptMany_args(
                steps=[self.append_request(shard, x=b"1") for shard in (1, 2, 3)], owner="a", voting_config_version=1
            )
            answers = []
            spawn(self.rig.net.handlers["acceptMany"](idl.Hello(node_id="a"), arguments)).addCallback(answers.append)
            self.rig.time.advance_to(self.rig.time.now + 0.001)
            self.rig.host.end(power_cut=True)
            self.rig.disk.power_cut()
            self.rig.host.up = True
            self.rig.start()
            self.assertEqual(answers, [], "no answer was sent before the sync")
            self.assertIn([self.stored(shard)[0] for shard in (1, 2, 3)], ([1, 1, 1], [2, 2, 2]))


class Calls:
    """A network endpoint whose calls are answered by the test."""

    node_id = "a"

    def __init__(self):
        self.asked = []

    def call(self, address, method, time_left, to, owner, voting_config_version, steps):
        answer = defer.Deferred()
        self.asked.append((address, voting_config_version, steps, answer))
        return answer


class Batching(unittest.TestCase):
    def setUp(self):
        self.time, self.net, self.ended = SimTime(), Calls(), []
        self.batcher = AppendBatcher(
            self.net, SimReactor(SimHost(SimNetwork(self.time, random.Random(1)), "127.0.0.1")), "v"
        )

    def put(self, name, size=1, version=1):
        self.batcher.put(
            ("v:1", version), name.encode() * size, lambda taken, error: self.ended.append((name, taken, error))
        )

    def run_(self, seconds=0.0):
        self.time.advance_to(self.time.now + seconds)

    def sent(self):
        return [[step[:1] for step in steps] for _, _, steps, _ in self.net.asked]

    def test_requests_made_at_once_share_a_call(self):
        self.put("a")
        self.put("b")
        self.run_()
        self.assertEqual(self.sent(), [[b"a", b"b"]])

    def test_requests_made_during_a_call_wait_for_its_answer(self):
        self.put("a")
        self.run_()
        self.put("b")
        self.put("c")
        self.run_(APPEND_BATCH_DELAY / 2)
        self.assertEqual(self.sent(), [[b"a"]])
        self.net.asked[0][3].callback([idl.AppendResponse(taken=True)])
        self.assertEqual(self.sent(), [[b"a"], [b"b", b"c"]])
        self.assertEqual([name for name, taken, _ in self.ended if taken.taken], ["a"])

    def test_a_silent_voter_delays_the_next_call_by_one_pause_at_most(self):
        self.put("a")
        self.run_()
        self.put("b")
        self.run_(APPEND_BATCH_DELAY)
        self.assertEqual(self.sent(), [[b"a"], [b"b"]])

    def test_one_call_has_one_voting_configuration_and_a_bounded_size(self):
        self.put("a", 200 << 10)
        self.put("b", 200 << 10)
        self.put("c", version=2)
        self.run_()
        self.assertEqual([(version, len(steps)) for _, version, steps, _ in self.net.asked], [(1, 1), (1, 1), (2, 1)])

    def test_a_failed_call_fails_only_its_own_requests(self):
        self.put("a")
        self.run_()
        self.put("b")
        self.run_(APPEND_BATCH_DELAY)
        self.net.asked[0][3].errback(OutcomeUnknownError("late"))
        self.net.asked[1][3].callback([idl.AppendResponse(taken=False, promised_epoch=4)])
        self.assertEqual(
            [(name, taken and taken.taken, type(error)) for name, taken, error in self.ended],
            [("a", None, OutcomeUnknownError), ("b", False, type(None))],
        )


class Proposals(unittest.TestCase):
    def setUp(self):
        self.proposal, self.outcome = (
            Proposal(
                VotingConfiguration(
                    {"version": 2, "members": dict.fromkeys("abc", "x:1"), "next": dict.fromkeys("bcde", "x:1")}
                ),
                ends_at=4.0,
            ),
            [],
        )
        self.proposal.outcome.addCallback(self.outcome.append)

    def test_success_needs_majorities_of_both_member_sets(self):
        for name in "abd":
            self.proposal.settle(name)
        self.assertEqual(self.outcome, [], "two of b, c, d, e are no majority")
        self.proposal.settle("e")
        self.assertEqual(self.outcome, [(True, {})])

    def test_fails_as_soon_as_no_majority_is_possible(self):
        for name in "de":
            self.proposal.settle(name, OutcomeUnknownError("x"))
        self.assertEqual([(reached, sorted(errors)) for reached, errors in self.outcome], [(False, ["d", "e"])])

    def test_fires_only_once_after_a_failure(self):
        self.proposal.fail("c", OutcomeUnknownError("in another roster"))
        self.proposal.fail("d", OutcomeUnknownError("x"))
        for name in "abde":
            self.proposal.settle(name)
        self.assertEqual([(reached, sorted(errors)) for reached, errors in self.outcome], [(False, ["c"])])


class Fleets(unittest.TestCase):
    def test_the_shards_of_one_node_share_calls(self):
        """A gateway sends commands on all shards of one leader: the leader replicates several shards in one call."""
        fleet = SimFleet(5).bring_up()
        gate, owner = (
            fleet["gate0"].node.node,
            max(fleet.of_kind("control"), key=lambda one: len(one.node.leaders.active)),
        )
        client = ShardClient(gate)
        keys = [
            key
            for key in (f"claim/nile/k{number}" for number in range(400))
            if shard_of_key(key) in owner.node.leaders.active
        ][:60]
        before = owner.node.node.net.call_counts.get("acceptMany", 0)
        works = [
            spawn(
                client.call(
                    key, "claim", {"print": "x", "admission": "a", "gate": gate.node_id, "number": number + 1}, 5.0
                )
            )
            for number, key in enumerate(keys)
        ]
        said = [fleet.until(work) for work in works]
        self.assertEqual(said, [{"state": "claimed"}] * len(keys))
        self.assertGreater(len({shard_of_key(key) for key in keys}), 2)
        self.assertLess(owner.node.node.net.call_counts["acceptMany"] - before, 4 * 15)

    def test_an_older_release_gets_each_request_in_its_own_call(self):
        """A voter of a release without batched append requests still counts towards a majority."""
        fleet = SimFleet(6).bring_up()
        for one in fleet.of_kind("control"):
            del one.node.node.net.handlers["acceptMany"]
        fleet.until(fleet.client.open_program("nile", "p", 100))
        asked = fleet.until(fleet.client.turn("nile", "p", "l", None, "hello"))
        self.assertTrue(asked.ended())


class LeaseRenewals(unittest.TestCase):
    """Leases are renewed along with gossip requests, and by separate calls where that does not suffice."""

    def setUp(self):
        self.fleet = SimFleet(7).bring_up()
        self.fleet.run(3.0)
        self.controls = self.fleet.of_kind("control")
        self.epochs = self.held()

    def held(self):
        return {
            one.machine.name: {shard: owner.epoch for shard, owner in one.node.leaders.active.items()}
            for one in self.controls
            if one.node is not None
        }

    def calls(self):
        return sum(one.node.node.net.call_counts.get("confirm", 0) for one in self.controls)

    def watch(self, seconds):
        """Runs the fleet for these seconds, and checks that every lease is held all the time."""
        for _ in range(int(seconds / 0.05)):
            self.fleet.run(0.05)
            self.assertTrue(
                all(owner.holds_lease() for one in self.controls for owner in one.node.leaders.active.values())
            )
        self.assertEqual(self.held(), self.epochs)

    def test_an_idle_fleet_needs_hardly_any_renewal_calls(self):
        before = self.calls()
        self.watch(6.0)
        self.assertLess(self.calls() - before, 12)

    def test_an_older_release_is_asked_by_separate_calls(self):
        for one in self.controls:
            one.node.node.gossip_client.set_lease_voter(None)
        before = self.calls()
        self.watch(6.0)
        self.assertGreater(self.calls() - before, 5 * 4 * 20)

    def test_without_gossip_requests_leases_are_renewed_by_calls(self):
        for one in self.controls:
            one.node.node.gossip_client._piggyback = None
        self.watch(1.0)

    def test_two_voters_that_ignore_renewals_in_gossip_cost_no_lease(self):
        for one in self.controls[:2]:
            one.node.node.gossip_client.set_lease_voter(lambda peer, leases: None)
        self.watch(6.0)

    def test_leases_meant_for_another_node_are_not_confirmed(self):
        voter, owner = self.controls[0].node, self.controls[1].node
        shard, epoch = next((shard, one.epoch) for shard, one in owner.leaders.active.items())
        peer = owner.node.net.hello()

        def said(peer=peer, **leases):
            return voter.voter.confirm_leases(
                peer,
                idl.LeaseRenewal(
                    **{
                        "voter": voter.node.node_id,
                        "voting_config_version": voter.voter.voting_config.version,
                        "shards": [shard, 99],
                        "epochs": [epoch, 1],
                        **leases,
                    }
                ),
            )

        self.assertEqual(said(), [shard])
        self.assertEqual(said(epochs=[epoch + 1, 1]), [])
        self.assertEqual(said(peer=self.controls[2].node.node.net.hello()), [])
        self.assertIsNone(said(voter="its former self"))
        self.assertIsNone(said(voting_config_version=voter.voter.voting_config.version + 1))
        self.assertIsNone(said(peer=idl.Hello(node_id="stranger", cluster_id=voter.node.net.cluster_id)))

    def test_a_requester_outside_the_cluster_gets_no_confirmation(self):
        voter = self.controls[0].node.node
        arguments = idl.pull_args(
            seen=[], leases=idl.LeaseRenewal(voter=voter.node_id, voting_config_version=1, shards=[1], epochs=[1])
        )
        for cluster_id in ("", "another"):
            answer = self.fleet.until(
                spawn(
                    voter.net.handlers["pull"](
                        idl.Hello(node_id=self.controls[1].node.node.node_id, cluster_id=cluster_id), arguments
                    )
                )
            )
            self.assertIsNone(answer.confirmed)


class PackedRequests(unittest.TestCase):
    def test_a_packed_request_unpacks_to_the_same_request(self):
        step = idl.AppendEntries(
            shard=1,
            epoch=2,
            sequence=3,
            entries=entries_of([("k", b"\xff"), ("gone", None)]),
            from_epoch=0,
            from_sequence=0,
        )
        self.assertEqual(unpack(idl.AppendEntries, pack(step)), step)
