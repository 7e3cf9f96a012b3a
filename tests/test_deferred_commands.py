"""Deferred commands: commands whose result no caller waits for run in the batch of the shard's next command."""

import unittest
from types import SimpleNamespace

from sortedcontainers import SortedDict
from twisted.internet import task

from oakramp.common.constants import CONTROL_BATCH
from oakramp.common.errors import NotShardLeaderError
from oakramp.control import token_budget  # noqa: F401  enters its controller
from oakramp.control.command_context import CommandContext
from oakramp.control.shard_leader import ShardLeader

KEY = "allowance/p"
ADMIT = {"turn": "t2", "reserve": 10, "limit": 100, "gate": "g1"}


class DeferredCommands(unittest.TestCase):
    def setUp(self):
        self.reactor = task.Clock()
        self.writes, self.reached = [], True
        members = SimpleNamespace(find=lambda node_id: True)

        async def replicate(_leader, _sequence, changes):
            self.writes.append(changes)
            return self.reached

        self.registry = SimpleNamespace(
            reactor=self.reactor,
            deferral_s=0.2,
            log=SimpleNamespace(error=print, warning=print),
            context_for=lambda leader: CommandContext(self.reactor.seconds(), members, leader.local_state, None, None),
            reject_if_full=lambda leader: None,
            replicator=SimpleNamespace(replicate=replicate),
            publisher=SimpleNamespace(publish=lambda leader, changes: None),
            retract=lambda leader: None,
        )
        self.leader = ShardLeader(self.registry, 0, 1, SortedDict(), 0)
        self.leader.lease_until = 1000.0
        self.leader.serve()

    def settle(self, turn="t1", units=7):
        answers = []
        self.leader.do(KEY, "settle", {"settled": [[turn, units]]}).addBoth(answers.append)
        return answers

    def read(self):
        answers = []
        self.leader.do(KEY, "read", {}).addBoth(answers.append)
        return answers[0]

    def test_a_settling_waits_for_the_next_command_and_runs_before_it(self):
        settled = self.settle()
        self.assertEqual((settled, self.writes), ([], []))
        admitted = []
        self.leader.do(KEY, "admit", ADMIT).addBoth(admitted.append)
        self.assertEqual(admitted, [{"state": "admitted"}])
        self.assertEqual(settled, [{}])
        self.assertEqual(len(self.writes), 1)
        self.assertEqual(self.read(), {"limit": 100, "spent": 7, "reserved": 10, "open": 1})
        self.reactor.advance(0.3)
        self.assertEqual(len(self.writes), 1)

    def test_a_budget_that_a_deferred_settling_has_used_up_admits_nothing(self):
        self.settle(units=100)
        admitted = []
        self.leader.do(KEY, "admit", ADMIT).addBoth(admitted.append)
        self.assertEqual(admitted, [{"state": "refused"}])

    def test_without_another_command_it_runs_after_its_time(self):
        first, second = self.settle("t1"), self.settle("t2")
        self.reactor.advance(0.19)
        self.assertEqual((first, second), ([], []))
        self.reactor.advance(0.02)
        self.assertEqual((first, second), ([{}], [{}]))
        self.assertEqual(len(self.writes), 1)
        self.assertEqual(self.read()["spent"], 14)

    def test_no_more_than_a_batch_waits(self):
        for number in range(CONTROL_BATCH):
            self.settle(f"t{number}")
        self.assertEqual(self.writes, [])
        self.settle("last")
        self.assertEqual(len(self.writes), 1)

    def test_a_leader_that_ends_runs_none_of_them(self):
        settled = self.settle()
        self.leader.end()
        self.assertIsInstance(settled[0].value, NotShardLeaderError)
        self.reactor.advance(1.0)
        self.assertEqual(self.writes, [])

    def test_without_a_lease_it_is_refused_at_once(self):
        self.leader.lease_until = 0.0
        with self.assertRaises(NotShardLeaderError):
            self.leader.do(KEY, "settle", {"settled": [["t1", 7]]})

    def test_a_write_that_reaches_no_majority_leaves_the_outcome_unknown(self):
        self.reached = False
        settled = self.settle()
        self.reactor.advance(0.3)
        self.assertEqual(settled[0].value.verdict.value, "maybe")
