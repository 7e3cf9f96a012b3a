"""Disks written by earlier releases, whose code had other names, are read by this one."""

import base64
import json
import pathlib
import unittest
import zlib

from oakramp.testbed.plan import PARTNERS
from oakramp.testbed.simfleet import SMALL, SimFleet

DATA = pathlib.Path(__file__).parent / "data"


class OldDisks(unittest.TestCase):
    """Disks of the release whose identifiers were in camelCase."""

    disks = "disks-before-renaming.json"

    def setUp(self):
        old = json.loads((DATA / self.disks).read_text(encoding="utf-8"))
        self.old = old
        self.fleet = SimFleet(old["seed"], SMALL, ring_file_size=old["ring_file_size"])
        for name, files in old["disks"].items():
            for file, data in files.items():
                self.fleet[name].disk.replace(file, zlib.decompress(base64.b64decode(data)))
        for one in self.fleet.by_name.values():
            one.start()

    def test_plans_budgets_and_lines_are_there(self):
        fleet = self.fleet
        fleet.wait_ready()
        for partner in PARTNERS:
            self.assertEqual(fleet.until(fleet.operator.read_plan(partner))["version"], 1)
        gate = fleet["gate1"].machine.http
        status, program = fleet.until(
            fleet.client._client.json("GET", gate, "/v1/dalatech/programs/p1", None, 10), 60.0
        )
        self.assertEqual((status, program), (200, self.old["program"]))
        asked = fleet.until(
            fleet.client.turn("dalatech", "p1", "l1", self.old["last_turn"], "third words", turn_id="third"), 60.0
        )
        self.assertEqual(asked.attempts[-1].outcome, "end")
        run = next(run for run in fleet.record.runs if run.body.get("turn") == "third")
        self.assertIn("first words", json.dumps(run.body))
        self.assertIn("second words", json.dumps(run.body))

    def test_nothing_is_damaged_or_left_over(self):
        self.fleet.wait_ready()
        odd = [line for line in self.fleet.lines if "rashed" in line or "log_tail_torn" in line or "damaged" in line]
        self.assertEqual(odd, [])


class DisksOfSlots(OldDisks):
    """Disks of the commit 86633dc, the last one whose control state was in slots, images and rosters."""

    disks = "disks-86633dc.json"


if __name__ == "__main__":
    unittest.main()
