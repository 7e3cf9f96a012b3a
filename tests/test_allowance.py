"""Token budgets whose limit comes with each turn: commands alone, and on a simulated cluster with faults."""

import unittest

from hypothesis import given, settings, strategies as st

from oakramp.common.constants import ALLOWANCE_KEPT, ALLOWANCE_OPEN, LIVENESS_AGE
from oakramp.common.tasks import settled
from oakramp.control import token_budget  # noqa: F401  imported to register its controller
from oakramp.control.shards import shard_of_key
from oakramp.testbed.simfleet import SimFleet
from test_budgets import CommandRunner

KEY = "allowance/p"


class AllowanceRunner(CommandRunner):
    def __init__(self):
        super().__init__(KEY)

    def admit(self, turn, reserve=10, limit=100, gate="g"):
        answer = self.result_or_code("admit", turn=turn, reserve=reserve, limit=limit, gate=gate)
        return answer if isinstance(answer, str) else answer["state"]

    def settle(self, *pairs):
        return self.result_or_code("settle", settled=[list(pair) for pair in pairs])

    def totals(self):
        answer = self.do("read")
        return answer["spent"], answer["reserved"], answer["open"]


class AllowanceCommands(unittest.TestCase):
    def test_admits_below_the_limit_only(self):
        runner = AllowanceRunner()
        self.assertEqual(
            [runner.admit(f"t{number}", reserve=60) for number in range(3)], ["admitted", "admitted", "refused"]
        )
        self.assertEqual(runner.totals(), (0, 120, 2))
        runner.settle(("t0", 20), ("t1", 60))
        self.assertEqual(runner.totals(), (80, 0, 0))
        self.assertEqual([runner.admit("t3", 60), runner.admit("t4", 60)], ["admitted", "refused"])

    def test_limit_of_zero_admits_no_turn(self):
        self.assertEqual(AllowanceRunner().admit("t", limit=0), "refused")

    def test_repeated_admission_gets_the_first_answer(self):
        runner = AllowanceRunner()
        self.assertEqual(
            [runner.admit("a", 100), runner.admit("a", 100), runner.admit("b"), runner.admit("b")],
            ["admitted", "admitted", "refused", "refused"],
        )
        self.assertEqual(runner.totals(), (0, 100, 1))
        runner.settle(("a", 5))
        self.assertEqual(
            runner.admit("b"), "refused", "a repeated admission gets the same answer even if there is room by now"
        )
        self.assertEqual(runner.admit("c"), "admitted")

    def test_running_turn_is_rejected_at_another_gateway(self):
        runner = AllowanceRunner()
        runner.admit("a", gate="g")
        self.assertEqual((runner.admit("a", gate="h"), runner.totals()), ("inProgress", (0, 10, 1)))

    def test_settled_twice_counts_once(self):
        runner = AllowanceRunner()
        runner.admit("a")
        runner.settle(("a", 7))
        runner.settle(("a", 7), ("a", 7))
        self.assertEqual(runner.totals(), (7, 0, 0))

    def test_late_admission_of_a_settled_turn_is_rejected(self):
        """
        gateway                       leader of the key's shard
        admit a (delayed) ------ ...
        settle a, 0 units ------->    recorded in a new row
                  a arrives ----->    rejected: it never ran
        """
        runner = AllowanceRunner()
        runner.settle(("a", 0))
        self.assertEqual(runner.admit("a"), "refused")
        with self.assertRaises(Exception) as caught:
            runner.do("admit", turn="a", reserve=10, limit=100, gate="g")
        self.assertEqual(caught.exception.verdict.value, "no")
        self.assertEqual(runner.admit("b"), "admitted", "the row has no limit until the first admission gives one")
        runner.settle(("b", 1))
        self.assertEqual((runner.admit("b"), runner.totals()), ("refused", (1, 0, 0)))

    def test_smallest_given_limit_applies(self):
        runner = AllowanceRunner()
        runner.admit("a", 10, limit=100)
        self.assertEqual(
            [runner.admit("b", 10, limit=1000), runner.admit("c", 10, limit=20), runner.admit("d", 10, limit=1000)],
            ["admitted", "refused", "refused"],
        )
        self.assertEqual(runner.do("read")["limit"], 20)

    def test_reservations_of_a_vanished_gateway_count_as_spent(self):
        runner = AllowanceRunner()
        runner.admit("a", 10, gate="g")
        runner.admit("b", 20, gate="h")
        runner.members.gone.add("g")
        runner.do("sweep")
        self.assertEqual(runner.totals(), (0, 30, 2), "the leader may just not have received its membership row yet")
        runner.now += LIVENESS_AGE + 1
        runner.do("sweep")
        self.assertEqual(runner.totals(), (10, 20, 1))
        runner.settle(("a", 3))
        self.assertEqual(runner.totals(), (10, 20, 1))
        self.assertEqual(runner.admit("a"), "refused")

    def test_idle_rows_are_deleted(self):
        runner = AllowanceRunner()
        runner.admit("a")
        runner.now += ALLOWANCE_KEPT + 1
        runner.do("sweep")
        self.assertIn(KEY, runner.entries, "a row with an open turn is kept")
        runner.settle(("a", 1))
        runner.now += ALLOWANCE_KEPT - 1
        runner.do("sweep")
        self.assertIn(KEY, runner.entries)
        runner.now += 2
        runner.do("sweep")
        self.assertEqual((dict(runner.entries), runner.local_state), ({}, {}))

    def test_size_of_a_row_is_bounded(self):
        runner = AllowanceRunner()
        for number in range(1000):
            runner.admit(f"9c41d07be2a3{number:04x}", reserve=1, limit=600)
            runner.settle((f"9c41d07be2a3{number:04x}", 1))
        self.assertEqual(runner.totals()[0], 600)
        self.assertLess(len(runner.entries[KEY]), 4096, "short enough to be stored uncompressed")
        for number in range(2 * ALLOWANCE_OPEN):
            runner = runner if number else AllowanceRunner()
            last = runner.admit(f"t{number}", reserve=1, limit=10000)
        self.assertEqual((last, runner.totals()[2]), ("overloaded", ALLOWANCE_OPEN))

    def test_malformed_settlements_are_rejected_without_change(self):
        runner = AllowanceRunner()
        runner.admit("a")
        for wrong in ("a", [["a"]], [["a", -1]], [["a", 1.5]], [["a", True]], [["", 1]], [["a", 1], 7], {"a": 1}):
            self.assertEqual(runner.result_or_code("settle", settled=wrong), "badRequest", wrong)
        self.assertEqual(runner.totals(), (0, 10, 1))

    @settings(max_examples=200, deadline=None)
    @given(
        st.lists(
            st.one_of(
                st.tuples(st.just("admit"), st.integers(0, 11), st.integers(1, 30), st.sampled_from(["g", "h"])),
                st.tuples(st.just("settle"), st.integers(0, 11), st.floats(0, 1)),
                st.tuples(st.just("gone"), st.sampled_from(["g", "h"])),
            ),
            max_size=60,
        )
    )
    def test_output_stays_below_the_limit_plus_one_turn(self, steps):
        """For any order of commands and repeats, all admitted turns output less than the limit plus one turn."""
        runner, output, reserved = AllowanceRunner(), {}, {}
        for step in steps:
            if step[0] == "admit":
                _, turn, reserve, gate = step
                state = runner.admit(f"t{turn}", reserve, 100, gate)
                self.assertIn(state, ("admitted", "refused", "inProgress"))
                if state == "admitted":
                    reserved.setdefault(turn, reserve)
            elif step[0] == "settle" and step[1] in reserved:
                output.setdefault(step[1], int(step[2] * reserved[step[1]]))
                runner.settle((f"t{step[1]}", output[step[1]]))
            elif step[0] == "gone":
                runner.members.gone.add(step[1])
                for _ in range(2):
                    runner.now += LIVENESS_AGE + 1
                    runner.result_or_code("sweep")
        most = sum(output.get(turn, reserve) for turn, reserve in reserved.items())
        self.assertLess(most, 100 + 30)


class AllowancesOnACluster(unittest.TestCase):
    def setUp(self):
        self.fleet = SimFleet(31).bring_up()

    def tearDown(self):
        self.assertEqual([line for line in self.fleet.lines if "rashed" in line], [])

    def shard_leader(self):
        shard = shard_of_key(KEY)
        return next(one for one in self.fleet.of_kind("control") if one.running and shard in one.node.leaders.active)

    def ask(self, name, command, **arguments):
        return self.fleet[name].node.leaders.call(KEY, command, arguments, 10.0)

    def admit(self, gate, turn, reserve=10):
        return self.ask(gate, "admit", turn=turn, reserve=reserve, limit=100, gate=self.fleet[gate].node.node.node_id)

    def test_leader_killed_between_admission_and_settlement(self):
        """
        gate0              leader           gate1
        admit a ------->   admitted
                           killed
        settle a ------->  (new leader)     <--- admit b
                           power loss of all control nodes
                           spent and reserved units unchanged
        """
        fleet = self.fleet
        self.assertEqual(fleet.until(self.admit("gate0", "a", 60))["state"], "admitted")
        self.shard_leader().kill()
        answer = fleet.until(settled([self.ask("gate0", "settle", settled=[["a", 50]]), self.admit("gate1", "b", 60)]))
        self.assertEqual([ok for ok, _ in answer], [True, True])
        for one in fleet.of_kind("control"):
            if one.running:
                one.power_cut()
        for one in fleet.of_kind("control"):
            one.start()
        fleet.run(4.0)
        answer = fleet.until(self.ask("gate1", "read"))
        self.assertEqual((answer["spent"], answer["reserved"]), (50, 60))
        self.assertEqual(fleet.until(self.admit("gate0", "c"))["state"], "refused")

    def test_reservation_is_spent_if_the_gateway_is_killed_during_a_turn(self):
        fleet = self.fleet
        fleet.until(self.admit("gate0", "a", 60))
        fleet["gate0"].kill()
        fleet.run(75.0)
        answer = fleet.until(self.ask("gate1", "read"))
        self.assertEqual((answer["spent"], answer["reserved"], answer["open"]), (60, 0, 0))

    def test_hundred_turns_a_second_share_quorum_writes(self):
        """Each is one small row, and a batch shares one quorum write; commits are counted over all control nodes."""
        fleet, writes = self.fleet, []
        before = sum(one.node.ring.commit_count for one in fleet.of_kind("control"))
        gate = fleet["gate0"].node

        async def turn(program, number):
            arguments = {"turn": f"t{number}", "reserve": 5, "limit": 1000, "gate": gate.node.node_id}
            answer = await gate.leaders.call(f"allowance/p{program}", "admit", arguments, 5.0)
            writes.append(answer["state"])
            await gate.leaders.call(f"allowance/p{program}", "settle", {"settled": [[f"t{number}", 5]]}, 5.0)

        for second in range(3):
            began = fleet.time.now
            fleet.until(settled([turn(program, second) for program in range(100)]), 1.0)
            self.assertLess(fleet.time.now - began, 0.5)
        self.assertEqual(writes, ["admitted"] * 300)
        commits = sum(one.node.ring.commit_count for one in fleet.of_kind("control")) - before
        self.assertLess(commits, 2 * 300 * 5 + 1)


if __name__ == "__main__":
    unittest.main()
