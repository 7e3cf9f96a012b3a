"""Commands of budgets and claims without a cluster: late, repeated and lost commands, and limits."""

import unittest

from hypothesis import given, settings, strategies as st
from sortedcontainers import SortedDict

from oakramp.common.constants import TURNS_LIMIT
from oakramp.common.errors import OakrampError
from oakramp.control import budget, idempotency  # noqa: F401  imported to register their controllers
from oakramp.control.command_context import CommandContext
from oakramp.control.controllers import CONTROLLERS
from oakramp.control.transaction import Transaction
from oakramp.gossip.state_table import StateTable


class Members:
    """Membership in which every gateway is live unless it is in `silent`, or forgotten and in `gone`."""

    def __init__(self):
        self.gone, self.silent = set(), set()

    def find(self, node_id):
        return None if node_id in self.gone else node_id

    def condition(self, node_id):
        return "silent" if node_id in self.gone | self.silent else "live"


class CommandRunner:
    """A shard leader's entries and clock, without a cluster."""

    def __init__(self, key):
        self.key, self.now, self.entries, self.local_state = key, 0.0, SortedDict(), {}
        self.members, self.state_table, self.numbers = Members(), StateTable(self), {}

    def seconds(self):
        return self.now

    def do(self, command, **arguments):
        transaction = Transaction(
            self.entries, CommandContext(self.now, self.members, self.local_state, None, self.state_table)
        )
        result = CONTROLLERS.find(self.key.partition("/")[0]).run(transaction, self.key, command, arguments)
        self.entries = SortedDict(
            {key: value for key, value in (self.entries | transaction.changes()).items() if value is not None}
        )
        return result

    def result_or_code(self, command, **arguments):
        """The result, or the error's code."""
        try:
            return self.do(command, **arguments)
        except OakrampError as error:
            return error.code

    def admission(self, gate="g"):
        self.numbers[gate] = self.numbers.get(gate, 0) + 1
        return {"admission": f"{gate}-{self.numbers[gate]}", "gate": gate, "number": self.numbers[gate]}


class BudgetRunner(CommandRunner):
    def __init__(self, limit=1000):
        super().__init__("budget/p/g")
        self.state_table.set_items(
            "blueprint/p", 1, {"rest": b'{"programs":{"defaultLimit":100,"maxLimit":1073741824}}'}
        )
        self.state_table.publish("blueprint/p", self.seconds)
        self.do("open", limit=limit)

    def admit(self, admission, turn="l/t", reserve=8, repeatable=False):
        return self.result_or_code("admit", **admission, turn=turn, reserve=reserve, repeatable=repeatable, print="x")

    def settle(self, admission, outcome, units=0, turn="l/t"):
        return self.result_or_code("settle", **admission, turn=turn, units=units, outcome=outcome, print="x")

    def open(self):
        return self.do("read")["open"]


class Budgets(unittest.TestCase):
    def test_late_admission_is_rejected_after_two_cancellations(self):
        """
        gateway                       leader of the budget's shard
        admit A (delayed) ----- ...
        cancel A ---------------->    recorded
        admit B, cancel B ------->    recorded
                 A arrives ------>    rejected: nothing is reserved
        admit C ----------------->    admitted
        """
        runner = BudgetRunner()
        a, b = runner.admission(), runner.admission()
        runner.settle(a, "never")
        self.assertEqual(runner.admit(b)["state"], "admitted")
        runner.settle(b, "never")
        self.assertEqual(runner.admit(a), "refused")
        self.assertEqual(runner.open(), 0)
        self.assertEqual(runner.admit(runner.admission())["state"], "admitted")

    def test_cancelled_admission_is_rejected_if_another_was_open_meanwhile(self):
        """
        gateway g                     leader                       gateway h
        admit A (delayed) ...
                                      B open                       <-- admit B
        cancel A ---------------->    recorded, though B is open
                                      B cancelled                  <-- cancel B
                 A arrives ------>    rejected
        """
        runner = BudgetRunner()
        a, b = runner.admission("g"), runner.admission("h")
        self.assertEqual(runner.admit(b)["state"], "admitted")
        runner.settle(a, "never")
        runner.settle(b, "never")
        self.assertEqual((runner.admit(a), runner.open()), ("refused", 0))

    def test_cancelling_keeps_the_outcome_of_a_turn_that_ran(self):
        """A repeatable turn broke off, was admitted again and cancelled: its record still says that it ran."""
        runner = BudgetRunner()
        a, b = runner.admission(), runner.admission()
        runner.admit(a, repeatable=True)
        runner.settle(a, "broken", 8)
        self.assertEqual(runner.admit(b, repeatable=True)["state"], "admitted")
        runner.settle(b, "never")
        self.assertEqual(runner.admit(runner.admission(), repeatable=False)["state"], "broken")

    def test_new_turn_is_rejected_above_the_limit_of_turns(self):
        """Above the limit a new turn is rejected, and the record of every old one is kept."""
        runner = BudgetRunner(limit=1 << 30)
        for number in range(TURNS_LIMIT):
            admission = runner.admission()
            runner.admit(admission, f"l/t{number}")
            runner.settle(admission, "broken", 8, f"l/t{number}")
            runner.result_or_code("sweep")
        self.assertEqual(runner.admit(runner.admission(), "l/new"), "conflict")
        runner.settle(runner.admission(), "never", turn="l/other")
        self.assertEqual(runner.admit(runner.admission(), "l/t0"), {"state": "broken"})
        self.assertEqual(runner.admit(runner.admission(), "l/t0", repeatable=True)["state"], "admitted")
        self.assertLessEqual(len(runner.entries), TURNS_LIMIT + 1)

    def test_reservation_of_a_vanished_gateway_is_spent_until_it_settles(self):
        runner = BudgetRunner()
        a = runner.admission()
        runner.admit(a)
        runner.members.gone.add("g")
        runner.do("sweep")
        runner.now += 1.0
        runner.do("sweep")
        self.assertEqual((runner.open(), runner.do("read")["spent"]), (0, 8))
        runner.settle(a, "done", 3)
        self.assertEqual(
            runner.do("read")["spent"], 3, "the gateway was only paused: its real use replaces the reservation"
        )

    def test_ended_program_cannot_be_opened_again(self):
        """
        leader                                            gateway
        turn admitted
        ended by its caller: admits no new turn           the running turn finishes and is settled
        turn records deleted, then the program            open, admit and read fail; a late settle does nothing
        """
        runner = BudgetRunner()
        for number in range(300):
            admission = runner.admission()
            runner.admit(admission, f"l/t{number}", reserve=1)
            runner.settle(admission, "done", 1, f"l/t{number}")
        last = runner.admission()
        runner.admit(last, "l/last")
        self.assertEqual(runner.do("end")["state"], "ending")
        self.assertEqual(runner.admit(runner.admission(), "l/new"), "ended")
        self.assertEqual(runner.result_or_code("open", limit=1000), "ended")
        for _ in range(5):
            runner.do("sweep")
        self.assertEqual(runner.do("read")["open"], 1, "a running turn may still be settled")
        runner.settle(last, "done", 3, "l/last")
        for _ in range(5):
            runner.do("sweep")
        self.assertEqual([key.partition("#")[0] for key in runner.entries], ["ended"])
        for answer in (
            runner.result_or_code("open", limit=1000),
            runner.result_or_code("read"),
            runner.admit(runner.admission(), "l/t0"),
        ):
            self.assertEqual(answer, "ended")
        self.assertEqual((runner.settle(last, "done", 3, "l/last"), runner.do("end")), ({"state": "ended"},) * 2)
        self.assertLess(sum(map(len, runner.entries.values())), 30)

    def test_program_ends_after_the_idle_time_of_the_plan(self):
        runner = BudgetRunner()
        runner.do("sweep")
        runner.state_table.set_items(
            "blueprint/p", 2, {"rest": b'{"programs":{"defaultLimit":100,"maxLimit":1000,"endAfterIdle":600}}'}
        )
        runner.now += 590
        admission = runner.admission()
        runner.admit(admission)
        runner.now += 700
        runner.do("sweep")
        self.assertEqual(runner.do("read")["state"], "open", "a program with a running turn is not idle")
        runner.settle(admission, "done", 3)
        runner.now += 590
        runner.do("sweep")
        self.assertEqual(runner.do("read")["state"], "open", "idle time is counted from the end of the last turn")
        runner.now += 20
        for _ in range(3):
            runner.do("sweep")
        self.assertEqual(runner.result_or_code("read"), "ended")

    @settings(derandomize=True, max_examples=300, deadline=None, database=None)
    @given(
        st.lists(
            st.tuples(st.sampled_from(["ask", "deliver", "again"]), st.integers(0, 2), st.integers(0, 40)), max_size=60
        )
    )
    def test_nothing_stays_reserved_for_any_order_of_messages(self, steps):
        """Two gateways repeatedly ask to admit one turn. Messages arrive in any order and some twice; a gateway that
        gets no answer in time cancels its admission. Once every message has arrived, nothing is reserved, and at most
        one admission was executed."""
        runner, waiting, delivered, executed, told = BudgetRunner(), [], [], [], {}
        for step, gate, pick in steps:
            if step == "ask":
                admission = runner.admission("gh"[gate % 2])
                # Gateway 0 gets its answer and executes; the others time out and cancel, whatever the answer is.
                waiting.append(("admit", admission, gate == 0))
                if gate != 0:
                    waiting.append(("settle", admission, False))
                continue
            pool = waiting if step == "deliver" else delivered
            if not pool:
                continue
            message = pool[pick % len(pool)]
            if step == "deliver":
                waiting.remove(message)
                delivered.append(message)
            self._deliver(runner, message, step == "again", executed, told)
        for message in waiting:
            self._deliver(runner, message, False, executed, told)
        self.assertEqual(runner.open(), 0)
        self.assertLessEqual(len(executed), 1)

    def _deliver(self, runner, message, is_copy, executed, told):
        kind, admission, gets_answer = message
        if kind == "settle":
            runner.settle(admission, "never")
            return
        answer = runner.admit(admission)
        if gets_answer and not is_copy and isinstance(answer, dict) and answer["state"] == "admitted":
            executed.append(admission)
            runner.settle(admission, "done", 3)


class ClaimRunner(CommandRunner):
    def __init__(self):
        super().__init__("claim/p/k")

    def claim(self, admission):
        return self.result_or_code("claim", **admission, print="x")


class Claims(unittest.TestCase):
    def test_late_claim_is_rejected_after_two_cancellations(self):
        """The same schedule as for admissions: a late claim that was cancelled must not block the key."""
        runner = ClaimRunner()
        a, b = runner.admission(), runner.admission()
        runner.do("free", **a, print="x")
        self.assertEqual(runner.claim(b), {"state": "claimed"})
        runner.do("free", **b, print="x")
        self.assertEqual(runner.claim(a), "refused")
        self.assertEqual(runner.claim(runner.admission()), {"state": "claimed"})

    def test_cancelled_claim_does_not_free_the_claim_of_another_gateway(self):
        runner = ClaimRunner()
        a, b = runner.admission("g"), runner.admission("h")
        runner.claim(b)
        runner.do("free", **a, print="x")
        self.assertEqual(runner.claim(runner.admission("g")), "inProgress", "cancelling A must not free the claim of B")
        runner.do("finish", **b, print="x", answer={"n": 1})
        self.assertEqual(runner.claim(runner.admission("g")), {"state": "done", "answer": {"n": 1}})
        self.assertEqual(runner.claim(a), "refused")
