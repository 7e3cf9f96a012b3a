"""Claims of idempotency keys: kept answers, loss of leaders and gateways, and how long a key is kept."""

import base64
import unittest

from twisted.internet.defer import ensureDeferred

from oakramp.common.constants import CALL_TIME, CLAIM_KEPT, CLAIM_SEND_TIME
from oakramp.common.errors import InProgressError, OutcomeUnknownError
from oakramp.common.tasks import settled, spawn
from oakramp.control.command_context import CommandContext
from oakramp.control.controllers import CONTROLLERS
from oakramp.control.shards import pack_entry, shard_of_key, unpack_entry
from oakramp.control.transaction import Transaction
from oakramp.testbed.simfleet import SimFleet
from previous_release import PreviousController
from test_budgets import ClaimRunner

ANSWER = {"status": 200, "headers": [["Stamp", "a.b"]], "body": base64.b64encode(bytes(range(256))).decode()}
KEY = "claim/0123456789abcdef"


class ClaimRetention(unittest.TestCase):
    def cleanup(self, runner, bounds):
        context = CommandContext(runner.now, runner.members, runner.local_state, None, runner.state_table, bounds)
        transaction = Transaction(runner.entries, context)
        CONTROLLERS.find("claim").run(transaction, runner.key, "sweep", {})
        return transaction.get(runner.key) is None

    def test_key_is_kept_for_twice_the_window_and_at_least_claim_kept(self):
        for bounds, kept in (
            (None, CLAIM_KEPT),
            ({}, CLAIM_KEPT),
            ({"claim_window_s": 5}, CLAIM_KEPT),
            ({"claim_window_s": 60}, CLAIM_KEPT),
            ({"claim_window_s": 300}, 600),
        ):
            runner = ClaimRunner()
            runner.claim(runner.admission())
            runner.now = kept
            self.assertFalse(self.cleanup(runner, bounds), bounds)
            runner.now += 0.1
            self.assertTrue(self.cleanup(runner, bounds), bounds)
            self.assertEqual(runner.local_state, {})

    def test_retention_is_counted_from_the_last_change(self):
        runner = ClaimRunner()
        first = runner.admission()
        runner.claim(first)
        runner.now = CLAIM_KEPT - 1
        runner.do("finish", **first, print="x", answer=ANSWER)
        runner.now += CLAIM_KEPT - 1
        self.assertFalse(self.cleanup(runner, None))
        self.assertEqual(runner.claim(runner.admission()), {"state": "done", "answer": ANSWER})

    def test_key_is_never_claimed_again_after_its_gateway_vanished(self):
        """A claimed request may have been sent: a repeat is told so, and that it is at work only while it may be."""
        runner = ClaimRunner()
        runner.claim(runner.admission("g"))
        self.assertEqual(runner.claim(runner.admission("h")), "inProgress")
        runner.members.gone.add("g")
        for _ in range(3):
            runner.now += CLAIM_KEPT / 4
            self.cleanup(runner, None)
            self.assertEqual(runner.claim(runner.admission("h")), "outcomeLost")
            self.assertEqual(runner.result_or_code("lookUp", print="x"), "outcomeLost")

    def test_claim_of_the_earlier_release_counts_as_at_work_until_it_must_have_been_sent(self):
        """Rows on old disks name no gateway."""
        runner = ClaimRunner()
        row = {"state": "claimed", "print": "x", "admission": "a", "back": {}}
        runner.entries[runner.key] = pack_entry(row)
        self.assertEqual(runner.claim(runner.admission()), "inProgress")
        runner.now = CLAIM_SEND_TIME + 1
        self.assertEqual(runner.claim(runner.admission()), "outcomeLost")
        runner.do("finish", admission="a", gate="g", number=1, print="x", answer=ANSWER)
        self.assertEqual(runner.claim(runner.admission()), {"state": "done", "answer": ANSWER})

    def test_rows_are_read_by_the_earlier_release(self):
        """A finished row is the same as before, byte for byte; one that is claimed has the gateway's name besides."""
        rows = []
        for commands in (CONTROLLERS.find("claim"), PreviousController()):
            runner = ClaimRunner()
            first = runner.admission() | {"print": "x"}
            for command, more in (("claim", {}), ("finish", {"answer": ANSWER})):
                context = CommandContext(0.0, runner.members, {}, None, runner.state_table)
                transaction = Transaction(runner.entries, context)
                commands.run(transaction, runner.key, command, first | more)
                runner.entries[runner.key] = transaction.packed(runner.key)
                rows.append(runner.entries[runner.key])
        self.assertEqual(rows[1], rows[3])
        self.assertEqual(unpack_entry(rows[0]), unpack_entry(rows[2]) | {"gate": "g"})

    def test_late_claim_of_a_gateway_that_has_ended_does_not_take_the_key(self):
        """Nobody would free the key, which no replica got."""
        runner = ClaimRunner()
        late = runner.admission("g")
        runner.members.silent.add("g")
        self.assertEqual(runner.claim(late), "refused")
        self.assertEqual(runner.claim(runner.admission("h")), {"state": "claimed"})

    def test_repeated_claim_and_finish_of_the_holder_change_nothing(self):
        runner = ClaimRunner()
        first = runner.admission()
        self.assertEqual([runner.claim(first), runner.claim(first)], [{"state": "claimed"}] * 2)
        runner.do("finish", **first, print="x", answer=ANSWER)
        runner.do("finish", **first, print="x", answer=ANSWER | {"status": 500})
        self.assertEqual(
            runner.claim(runner.admission("h")), {"state": "done", "answer": ANSWER}, "the first answer stays"
        )


class ClaimsOnACluster(unittest.TestCase):
    def setUp(self):
        self.fleet = SimFleet(23).bring_up()

    def tearDown(self):
        self.assertEqual([line for line in self.fleet.lines if "rashed" in line], [])

    def shard_leader(self):
        shard = shard_of_key(KEY)
        return next(one for one in self.fleet.of_kind("control") if one.running and shard in one.node.leaders.active)

    def admission(self, gate):
        return self.fleet[gate].node.admission() | {"print": "x"}

    def call(self, gate, command, arguments, time_left=10.0):
        return self.fleet[gate].node.leaders.call(KEY, command, arguments, time_left)

    def ask(self, gate, command, arguments):
        return self.fleet.until(self.call(gate, command, arguments), 40)

    def test_claim_survives_loss_of_the_leader_and_power(self):
        """
        gate0           leader          gate1
        claim ------->  claimed
                        killed
                        (new leader)    <---- claim: in progress
        finish ------->
                        power loss of all control nodes
                        (any leader)    <---- claim: the answer of the first request
        """
        first = self.admission("gate0")
        self.assertEqual(self.ask("gate0", "claim", first), {"state": "claimed"})
        self.shard_leader().kill()
        with self.assertRaises(
            (InProgressError, OutcomeUnknownError)
        ):  # the call to the killed leader may have arrived
            self.ask("gate1", "claim", self.admission("gate1"))
        with self.assertRaises(InProgressError):
            self.ask("gate1", "claim", self.admission("gate1"))
        self.assertEqual(self.ask("gate0", "claim", first), {"state": "claimed"})
        self.ask("gate0", "finish", first | {"answer": ANSWER})
        controls = self.fleet.of_kind("control")
        for one in [one for one in controls if one.running]:
            one.power_cut()
        for one in controls:
            one.start()
        self.fleet.run(4.0)
        self.assertEqual(self.ask("gate1", "claim", self.admission("gate1")), {"state": "done", "answer": ANSWER})

    def test_finish_lost_by_a_paused_leader_is_retried(self):
        """
        gate0           leader               gate1
        claim ------->  claimed
        finish ----->   paused
                        (new leader)         <---- claim: in progress, until the finish of gate0 arrives
        finish ------>  done
                        resumes, is fenced   <---- claim: the answer of the first request
        """
        first = self.admission("gate0")
        self.ask("gate0", "claim", first)
        shard_leader = self.shard_leader()
        shard_leader.freeze()
        node = self.fleet["gate0"].node
        finishing = spawn(node.leaders.call_until_done(KEY, "finish", first | {"answer": ANSWER}), self.fleet.lab_log)
        self.fleet.run(CALL_TIME / 2)
        self.assertFalse(finishing.called)
        self.fleet.until(finishing, 40)
        shard_leader.thaw()
        self.fleet.run(3.0)
        self.assertEqual(self.ask("gate1", "claim", self.admission("gate1")), {"state": "done", "answer": ANSWER})

    def test_retry_finds_a_finish_whose_answer_was_lost(self):
        """The leader dies after the finish reached a majority but before it answered: the retry finds it done."""
        first = self.admission("gate0")
        self.ask("gate0", "claim", first)
        shard_leader = self.shard_leader()
        kept = shard_leader.node.leaders.replicator.replicate

        async def replicate_then_die(*arguments, **more):
            reached = await kept(*arguments, **more)
            if reached and arguments[0].shard == shard_of_key(KEY) and arguments[2]:
                shard_leader.kill()
                raise OutcomeUnknownError("gone")
            return reached

        shard_leader.node.leaders.replicator.replicate = replicate_then_die
        self.ask("gate0", "finish", first | {"answer": ANSWER})
        self.assertFalse(shard_leader.running)
        self.assertEqual(self.ask("gate1", "claim", self.admission("gate1")), {"state": "done", "answer": ANSWER})

    def test_one_of_many_concurrent_claims_succeeds(self):
        """The same key is claimed through both gateways at once while the leader is killed: one claim succeeds."""
        fleet = self.fleet
        admissions = [(f"gate{number % 2}", self.admission(f"gate{number % 2}")) for number in range(8)]
        asked = [ensureDeferred(self.call(gate, "claim", admission)) for gate, admission in admissions[:4]]
        fleet.run(0.003)
        self.shard_leader().kill()
        asked += [ensureDeferred(self.call(gate, "claim", admission)) for gate, admission in admissions[4:]]
        results = fleet.until(settled(asked), 40)
        self.assertEqual(sum(ok and value["state"] == "claimed" for ok, value in results), 1)
        self.assertTrue(
            all(ok or isinstance(value, (InProgressError, OutcomeUnknownError)) for ok, value in results), results
        )


if __name__ == "__main__":
    unittest.main()
