"""Commands of partner plans: change ids, compare-and-set, and repeats of changes whose ids have been deleted."""

import unittest
from unittest.mock import patch

import oakramp.control.plan  # noqa: F401  imported to register its controller
from oakramp.common.constants import BLUEPRINTS_KEPT
from oakramp.common.errors import QuorumUnavailableError, StorageFullError, Verdict
from oakramp.control.leader_registry import LeaderRegistry
from oakramp.testbed.plan import blueprint_of
from oakramp.testbed.simfleet import SimFleet
from test_budgets import CommandRunner


class PlanRunner(CommandRunner):
    def __init__(self):
        super().__init__("blueprint/nile")

    def put(self, based_on, change_id, share=1):
        return self.result_or_code(
            "put", **{"changeId": change_id, "basedOn": based_on}, blueprint=blueprint_of("nile") | {"share": share}
        )

    def set_share(self, based_on, change_id, share):
        asked = {"change": "setShare", "arguments": {"share": share}}
        return self.result_or_code("put", **{"changeId": change_id, "basedOn": based_on}, **asked)

    def version(self):
        return self.do("read")["version"]


class ChangeIds(unittest.TestCase):
    def accepted_version(self, answer):
        self.assertIsInstance(answer, dict, answer)
        return answer["version"]

    def test_second_change_with_the_same_id_is_rejected(self):
        """Two operators use the same id: only the change of the first is accepted."""
        runner = PlanRunner()
        self.assertEqual(self.accepted_version(runner.put(0, "a", share=1)), 1)
        self.assertEqual(self.accepted_version(runner.put(1, "same", share=2)), 2)
        before = dict(runner.entries)
        self.assertEqual(runner.put(1, "same", share=3), "conflict")
        self.assertEqual(runner.put(2, "same", share=3), "conflict")
        self.assertEqual(runner.set_share(2, "same", 2), "conflict")
        self.assertEqual(runner.entries, before)
        self.assertEqual(self.accepted_version(runner.put(1, "same", share=2)), 2)
        self.assertEqual(
            self.accepted_version(runner.put(2, "same", share=2)),
            2,
            "a repeat based on the version that the change made is recognized",
        )

    def test_repeat_is_accepted_if_an_earlier_release_stored_no_fingerprint(self):
        runner = PlanRunner()
        runner.put(0, "a", share=1)
        runner.entries["blueprint/nile#c/a"] = b'j{"version":1}'
        self.assertEqual(self.accepted_version(runner.put(0, "a", share=9)), 1)

    def test_accepted_change_is_never_reported_as_lost(self):
        runner, count = PlanRunner(), BLUEPRINTS_KEPT + 200
        runner.put(0, "c0")
        for number in range(1, count):
            self.assertEqual(
                self.accepted_version(runner.set_share(number, f"c{number}", number % 100 + 1)), number + 1
            )
        accepted_count = ambiguous_count = 0
        for number in range(1, count):
            answer = runner.set_share(number, f"c{number}", number % 100 + 1)
            outcome = runner.do("outcome", **{"changeId": f"c{number}"})["outcome"]
            if isinstance(answer, dict):
                self.assertEqual((answer["version"], outcome), (number + 1, "accepted"))
                accepted_count += 1
            else:
                self.assertEqual((answer, outcome), ("cannotTell", "unknown"))
                ambiguous_count += 1
        self.assertGreaterEqual(accepted_count, BLUEPRINTS_KEPT)
        self.assertGreater(ambiguous_count, 0)
        self.assertEqual(
            runner.set_share(count - 2, "late", 5), "lost", "had the change been accepted, its id would be known"
        )
        self.assertEqual(runner.set_share(1, "veryLate", 5), "cannotTell")

    def test_change_based_on_a_future_version_is_ambiguous(self):
        """A copy of the change may be in flight, and be accepted once that version exists."""
        runner = PlanRunner()
        runner.put(0, "a")
        with self.assertRaises(QuorumUnavailableError) as caught:
            runner.do("put", **{"changeId": "b", "basedOn": 2}, change="setShare", arguments={"share": 5})
        self.assertIs(caught.exception.verdict, Verdict.MAYBE)
        self.assertEqual(runner.do("outcome", **{"changeId": "b"})["outcome"], "notAccepted")
        runner.set_share(1, "c", 6)
        self.assertEqual(self.accepted_version(runner.set_share(2, "b", 5)), 3)


class StorageFull(unittest.TestCase):
    def test_repeat_is_accepted_while_storage_is_full(self):
        fleet = SimFleet(23).bring_up()
        plan = blueprint_of("nile", "nile-plan-2")
        first = fleet.until(fleet.operator.put_plan("nile", 1, plan, "nile-plan-2", "again"))
        self.assertEqual((first.outcome, first.version), ("accepted", 2))
        with patch.object(LeaderRegistry, "reject_if_full", side_effect=StorageFullError("full")):
            again = fleet.until(fleet.operator.put_plan("nile", 1, plan, "nile-plan-2", "again"))
            self.assertEqual((again.outcome, again.version), ("accepted", 2))
            body = {"changeId": "new", "basedOn": 2, "blueprint": plan}
            status, answer = fleet.until(self.put_once(fleet, body))
            self.assertEqual((status, answer["error"], answer["verdict"]), (507, "ringFull", "no"))

    async def put_once(self, fleet, body):
        control = fleet["control0"].machine.http
        return await fleet.operator._client.json("PUT", control, "/v1/blueprints/nile", body, 5)


if __name__ == "__main__":
    unittest.main()
