"""A partner's plan by itself: change ids, compare-and-set, and what becomes of repeats once their ids are forgotten."""

import unittest
from unittest.mock import patch

import oakramp.control.plan  # noqa: F401  it enters its controller
from oakramp.common.constants import BLUEPRINTS_KEPT
from oakramp.common.errors import QuorumUnavailableError, StorageFullError, Verdict
from oakramp.control.leader_registry import LeaderRegistry
from oakramp.testbed.plan import blueprint_of
from oakramp.testbed.simfleet import SimFleet
from test_budgets import Rig


class PlanRig(Rig):
    def __init__(self):
        super().__init__("blueprint/nile")

    def put(self, based_on, change_id, share=1):
        return self.tell(
            "put", **{"changeId": change_id, "basedOn": based_on}, blueprint=blueprint_of("nile") | {"share": share}
        )

    def set_share(self, based_on, change_id, share):
        asked = {"change": "setShare", "arguments": {"share": share}}
        return self.tell("put", **{"changeId": change_id, "basedOn": based_on}, **asked)

    def version(self):
        return self.do("read")["version"]


class ChangeIds(unittest.TestCase):
    def accepted(self, said):
        self.assertIsInstance(said, dict, said)
        return said["version"]

    def test_one_id_for_two_changes(self):
        """Two operators pick one id: only the first is told that its change is accepted."""
        rig = PlanRig()
        self.assertEqual(self.accepted(rig.put(0, "a", share=1)), 1)
        self.assertEqual(self.accepted(rig.put(1, "same", share=2)), 2)
        before = dict(rig.entries)
        self.assertEqual(rig.put(1, "same", share=3), "conflict")
        self.assertEqual(rig.put(2, "same", share=3), "conflict")
        self.assertEqual(rig.set_share(2, "same", 2), "conflict")
        self.assertEqual(rig.entries, before)
        self.assertEqual(self.accepted(rig.put(1, "same", share=2)), 2)
        self.assertEqual(self.accepted(rig.put(2, "same", share=2)), 2, "asked again on the version that it made")

    def test_rows_of_an_earlier_release_have_no_print(self):
        rig = PlanRig()
        rig.put(0, "a", share=1)
        rig.entries["blueprint/nile#c/a"] = b'j{"version":1}'
        self.assertEqual(self.accepted(rig.put(0, "a", share=9)), 1)

    def test_no_accepted_change_is_ever_refused(self):
        rig, count = PlanRig(), BLUEPRINTS_KEPT + 200
        rig.put(0, "c0")
        for number in range(1, count):
            self.assertEqual(self.accepted(rig.set_share(number, f"c{number}", number % 100 + 1)), number + 1)
        known = unknown = 0
        for number in range(1, count):
            said = rig.set_share(number, f"c{number}", number % 100 + 1)
            outcome = rig.do("outcome", **{"changeId": f"c{number}"})["outcome"]
            if isinstance(said, dict):
                self.assertEqual((said["version"], outcome), (number + 1, "accepted"))
                known += 1
            else:
                self.assertEqual((said, outcome), ("cannotTell", "unknown"))
                unknown += 1
        self.assertGreaterEqual(known, BLUEPRINTS_KEPT)
        self.assertGreater(unknown, 0)
        self.assertEqual(rig.set_share(count - 2, "late", 5), "lost", "it would be known, had it been accepted")
        self.assertEqual(rig.set_share(1, "veryLate", 5), "cannotTell")

    def test_a_version_that_is_not_there_yet(self):
        """A copy of the change may still be under way, and be accepted once that version comes."""
        rig = PlanRig()
        rig.put(0, "a")
        with self.assertRaises(QuorumUnavailableError) as caught:
            rig.do("put", **{"changeId": "b", "basedOn": 2}, change="setShare", arguments={"share": 5})
        self.assertIs(caught.exception.verdict, Verdict.MAYBE)
        self.assertEqual(rig.do("outcome", **{"changeId": "b"})["outcome"], "notAccepted")
        rig.set_share(1, "c", 6)
        self.assertEqual(self.accepted(rig.set_share(2, "b", 5)), 3)


class NoRoom(unittest.TestCase):
    def test_a_repeat_is_acknowledged_though_there_is_no_more_room(self):
        fleet = SimFleet(23).bring_up()
        plan = blueprint_of("nile", "nile-plan-2")
        first = fleet.until(fleet.operator.put_plan("nile", 1, plan, "nile-plan-2", "again"))
        self.assertEqual((first.outcome, first.version), ("accepted", 2))
        with patch.object(LeaderRegistry, "refuse_full", side_effect=StorageFullError("full")):
            again = fleet.until(fleet.operator.put_plan("nile", 1, plan, "nile-plan-2", "again"))
            self.assertEqual((again.outcome, again.version), ("accepted", 2))
            body = {"changeId": "new", "basedOn": 2, "blueprint": plan}
            status, said = fleet.until(self.put_once(fleet, body))
            self.assertEqual((status, said["error"], said["verdict"]), (507, "ringFull", "no"))

    async def put_once(self, fleet, body):
        control = fleet["control0"].machine.http
        return await fleet.operator._client.json("PUT", control, "/v1/blueprints/nile", body, 5)


if __name__ == "__main__":
    unittest.main()
