"""Budgets and claims by themselves: commands that come late, twice, or not at all, and bounds."""

import unittest

from hypothesis import given, settings, strategies as st
from sortedcontainers import SortedDict

from oakramp.common.constants import TURNS_LIMIT
from oakramp.common.errors import OakrampError
from oakramp.control import budget, idempotency  # noqa: F401  they enter their controllers
from oakramp.control.command_context import CommandContext
from oakramp.control.controllers import CONTROLLERS
from oakramp.control.transaction import Transaction
from oakramp.gossip.state_table import StateTable


class Members:
    """All gates live, unless told otherwise."""

    def __init__(self):
        self.gone = set()

    def find(self, node_id):
        return None if node_id in self.gone else node_id

    def condition(self, node_id):
        return "silent" if node_id in self.gone else "live"


class Rig:
    """An owner's entries and clock, without a fleet."""

    def __init__(self, key):
        self.key, self.now, self.entries, self.marks = key, 0.0, SortedDict(), {}
        self.members, self.state_table, self.numbers = Members(), StateTable(self), {}

    def seconds(self):
        return self.now

    def do(self, command, **arguments):
        transaction = Transaction(
            self.entries, CommandContext(self.now, self.members, self.marks, None, self.state_table)
        )
        result = CONTROLLERS.find(self.key.partition("/")[0]).run(transaction, self.key, command, arguments)
        self.entries = SortedDict(
            {key: value for key, value in (self.entries | transaction.changes()).items() if value is not None}
        )
        return result

    def tell(self, command, **arguments):
        """The result, or the error's code."""
        try:
            return self.do(command, **arguments)
        except OakrampError as error:
            return error.code

    def admission(self, gate="g"):
        self.numbers[gate] = self.numbers.get(gate, 0) + 1
        return {"admission": f"{gate}-{self.numbers[gate]}", "gate": gate, "number": self.numbers[gate]}


class BudgetRig(Rig):
    def __init__(self, limit=1000):
        super().__init__("budget/p/g")
        self.state_table.set_items(
            "blueprint/p", 1, {"rest": b'{"programs":{"defaultLimit":100,"maxLimit":1073741824}}'}
        )
        self.state_table.publish("blueprint/p", self.seconds)
        self.do("open", limit=limit)

    def admit(self, admission, turn="l/t", reserve=8, repeatable=False):
        return self.tell("admit", **admission, turn=turn, reserve=reserve, repeatable=repeatable, print="x")

    def settle(self, admission, outcome, units=0, turn="l/t"):
        return self.tell("settle", **admission, turn=turn, units=units, outcome=outcome, print="x")

    def open(self):
        return self.do("read")["open"]


class Budgets(unittest.TestCase):
    def test_late_admission_taken_back_twice(self):
        """
        gate                          budget's owner
        admit A --------------- ...
        take A back ------------->    noted
        admit B, take B back ---->    noted
                 A comes late --->    refused: nothing is reserved
        admit C ----------------->    admitted
        """
        rig = BudgetRig()
        a, b = rig.admission(), rig.admission()
        rig.settle(a, "never")
        self.assertEqual(rig.admit(b)["state"], "admitted")
        rig.settle(b, "never")
        self.assertEqual(rig.admit(a), "refused")
        self.assertEqual(rig.open(), 0)
        self.assertEqual(rig.admit(rig.admission())["state"], "admitted")

    def test_taken_back_while_another_is_open(self):
        """
        gate g                        owner                    gate h
        admit A -------- ...
        take A back ------------->    noted, though B is open  <-- admit B
                                      B taken back             <-- take B back
                 A comes late --->    refused
        """
        rig = BudgetRig()
        a, b = rig.admission("g"), rig.admission("h")
        self.assertEqual(rig.admit(b)["state"], "admitted")
        rig.settle(a, "never")
        rig.settle(b, "never")
        self.assertEqual((rig.admit(a), rig.open()), ("refused", 0))

    def test_taking_back_keeps_what_ran(self):
        """A repeatable turn broke off, was admitted again and taken back: it still ran."""
        rig = BudgetRig()
        a, b = rig.admission(), rig.admission()
        rig.admit(a, repeatable=True)
        rig.settle(a, "broken", 8)
        self.assertEqual(rig.admit(b, repeatable=True)["state"], "admitted")
        rig.settle(b, "never")
        self.assertEqual(rig.admit(rig.admission(), repeatable=False)["state"], "broken")

    def test_turns_of_a_program_are_bounded(self):
        """Past the bound a new turn is told no, and every old one is still known."""
        rig = BudgetRig(limit=1 << 30)
        for number in range(TURNS_LIMIT):
            admission = rig.admission()
            rig.admit(admission, f"l/t{number}")
            rig.settle(admission, "broken", 8, f"l/t{number}")
            rig.tell("sweep")
        self.assertEqual(rig.admit(rig.admission(), "l/new"), "conflict")
        rig.settle(rig.admission(), "never", turn="l/other")
        self.assertEqual(rig.admit(rig.admission(), "l/t0"), {"state": "broken"})
        self.assertEqual(rig.admit(rig.admission(), "l/t0", repeatable=True)["state"], "admitted")
        self.assertLessEqual(len(rig.entries), TURNS_LIMIT + 1)

    def test_vanished_gate(self):
        rig = BudgetRig()
        a = rig.admission()
        rig.admit(a)
        rig.members.gone.add("g")
        rig.do("sweep")
        rig.now += 1.0
        rig.do("sweep")
        self.assertEqual((rig.open(), rig.do("read")["spent"]), (0, 8))
        rig.settle(a, "done", 3)
        self.assertEqual(rig.do("read")["spent"], 3, "the gate was only frozen")

    def test_ended_program_never_starts_anew(self):
        """
        owner                                      gate
        t admitted
        ended by its caller: takes nothing new     t runs on, settles
        marks go, then the program                 open, turns, reads: it has ended; a late settling: no harm
        """
        rig = BudgetRig()
        for number in range(300):
            admission = rig.admission()
            rig.admit(admission, f"l/t{number}", reserve=1)
            rig.settle(admission, "done", 1, f"l/t{number}")
        last = rig.admission()
        rig.admit(last, "l/last")
        self.assertEqual(rig.do("end")["state"], "ending")
        self.assertEqual(rig.admit(rig.admission(), "l/new"), "ended")
        self.assertEqual(rig.tell("open", limit=1000), "ended")
        for _ in range(5):
            rig.do("sweep")
        self.assertEqual(rig.do("read")["open"], 1, "what runs may still settle")
        rig.settle(last, "done", 3, "l/last")
        for _ in range(5):
            rig.do("sweep")
        self.assertEqual([key.partition("#")[0] for key in rig.entries], ["ended"])
        for said in (rig.tell("open", limit=1000), rig.tell("read"), rig.admit(rig.admission(), "l/t0")):
            self.assertEqual(said, "ended")
        self.assertEqual((rig.settle(last, "done", 3, "l/last"), rig.do("end")), ({"state": "ended"},) * 2)
        self.assertLess(sum(map(len, rig.entries.values())), 30)

    def test_idle_program_ends_by_the_plan(self):
        rig = BudgetRig()
        rig.do("sweep")
        rig.state_table.set_items(
            "blueprint/p", 2, {"rest": b'{"programs":{"defaultLimit":100,"maxLimit":1000,"endAfterIdle":600}}'}
        )
        rig.now += 590
        admission = rig.admission()
        rig.admit(admission)
        rig.now += 700
        rig.do("sweep")
        self.assertEqual(rig.do("read")["state"], "open", "it has a turn under way")
        rig.settle(admission, "done", 3)
        rig.now += 590
        rig.do("sweep")
        self.assertEqual(rig.do("read")["state"], "open", "it is counted from its last turn's end")
        rig.now += 20
        for _ in range(3):
            rig.do("sweep")
        self.assertEqual(rig.tell("read"), "ended")

    @settings(derandomize=True, max_examples=300, deadline=None, database=None)
    @given(
        st.lists(
            st.tuples(st.sampled_from(["ask", "deliver", "again"]), st.integers(0, 2), st.integers(0, 40)), max_size=60
        )
    )
    def test_nothing_is_left_reserved_in_any_order(self, steps):
        """Two gates ask for one turn again and again. Messages come in any order and some twice; a gate that hears
        no answer in time takes back. In the end, with every message in, nothing is reserved, and at most one
        admission was ever carried."""
        rig, waiting, delivered, carried, told = BudgetRig(), [], [], [], {}
        for step, gate, pick in steps:
            if step == "ask":
                admission = rig.admission("gh"[gate % 2])
                # Gate 0 hears its answer and carries; the others give up and take back, whatever the answer is.
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
            self._bring(rig, message, step == "again", carried, told)
        for message in waiting:
            self._bring(rig, message, False, carried, told)
        self.assertEqual(rig.open(), 0)
        self.assertLessEqual(len(carried), 1)

    def _bring(self, rig, message, is_copy, carried, told):
        kind, admission, heard = message
        if kind == "settle":
            rig.settle(admission, "never")
            return
        said = rig.admit(admission)
        if heard and not is_copy and isinstance(said, dict) and said["state"] == "admitted":
            carried.append(admission)
            rig.settle(admission, "done", 3)


class ClaimRig(Rig):
    def __init__(self):
        super().__init__("claim/p/k")

    def claim(self, admission):
        return self.tell("claim", **admission, print="x")


class Claims(unittest.TestCase):
    def test_late_claim_taken_back_twice(self):
        """The same schedule as for admissions: a late claim that was taken back must not block the key."""
        rig = ClaimRig()
        a, b = rig.admission(), rig.admission()
        rig.do("free", **a, print="x")
        self.assertEqual(rig.claim(b), {"state": "claimed"})
        rig.do("free", **b, print="x")
        self.assertEqual(rig.claim(a), "refused")
        self.assertEqual(rig.claim(rig.admission()), {"state": "claimed"})

    def test_taken_back_while_another_holds_it(self):
        rig = ClaimRig()
        a, b = rig.admission("g"), rig.admission("h")
        rig.claim(b)
        rig.do("free", **a, print="x")
        self.assertEqual(rig.claim(rig.admission("g")), "inProgress", "taking A back frees nobody else's claim")
        rig.do("finish", **b, print="x", answer={"n": 1})
        self.assertEqual(rig.claim(rig.admission("g")), {"state": "done", "answer": {"n": 1}})
        self.assertEqual(rig.claim(a), "refused")
