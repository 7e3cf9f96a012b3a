"""The relay plane as a whole, in short timelines. One column a part; time runs down."""
import os
import sys
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from relay_checker import Day, violations  # noqa: E402
from relay_fleet import RelayFleet  # noqa: E402


class Timeline(unittest.TestCase):
    """Each timeline ends with the checker and without a crash."""

    seed, options = 1, {}

    def setUp(self):
        self.fleet = RelayFleet(self.seed, **self.options).bring_up()
        self.client = self.fleet.client

    def tearDown(self):
        self.assertEqual([line for line in self.fleet.lines if "rashed" in line], [])
        self.assertEqual(violations(Day.of(self.fleet)), {}, self.fleet.timeline())

    def shown(self, tries):
        return [(one.status if one.outcome == "whole" else one.outcome) for one in tries]

    def runs_of(self, tries):
        return [run for one in tries for run in self.fleet.record.runs if run.try_id == one.try_id]


class Start(Timeline):
    def test_first_start_serves_each_kind(self):
        """Nodes start with empty disks; the first configuration is taken; each kind is served."""
        self.assertLess(self.fleet.time.now, 12.0)
        for work in (self.client.safe(), self.client.unsafe(), self.client.tracked(), self.client.generate()):
            tries = self.fleet.until(work)
            self.assertEqual(self.shown(tries), [200])
        program = self.fleet.until(self.client.program(helpers=1.0, tools=3))
        self.assertEqual(program.outcome, "done")

    def test_the_deepest_prefix_and_no_route(self):
        deep = self.fleet.until(self.client.unsafe("/push/deep/1"))
        self.assertEqual([run.service for run in self.runs_of(deep)], ["alt"])
        for path in ("/", "/push", "/nowhere/1", "/pus/h/"):
            self.assertEqual(self.shown(self.fleet.until(self.client.safe(path))), [404])


class Tries(Timeline):
    def next_goes_wrong(self, *wrongs, service="api"):
        self.fleet.plans[service][:] = wrongs

    def test_safe_goes_on_after_a_fault_and_unsafe_does_not(self):
        """
        client      gate        replica
        safe  ----> ----------> runs, no answer
                    ----------> another runs
        200   <---- <----------
        unsafe ---> ----------> runs, no answer
        50x   <----
        """
        for wrong, ran in (("lost", 1), ("cut", 1), ("junk", 1), ("reset before", 0)):
            with self.subTest(wrong=wrong):
                self.next_goes_wrong(wrong)
                safe = self.fleet.until(self.client.safe(further=0))
                self.assertEqual((self.shown(safe), len(self.runs_of(safe))), ([200], 1 + ran))
                self.next_goes_wrong(wrong)
                unsafe = self.fleet.until(self.client.unsafe())
                self.assertIn(self.shown(unsafe), ([502], [504]))
                self.assertEqual(len(self.runs_of(unsafe)), ran)

    def test_an_error_of_the_replica_is_passed_on(self):
        for work in (self.client.unsafe(), self.client.tracked(further=0)):
            self.next_goes_wrong("error")
            tries = self.fleet.until(work)
            self.assertEqual((self.shown(tries), len(self.runs_of(tries))), ([500], 1))

    def test_unsafe_goes_on_after_a_promise(self):
        self.next_goes_wrong("refuse")
        tries = self.fleet.until(self.client.unsafe(further=0))
        self.assertEqual((self.shown(tries), len(self.runs_of(tries))), ([200], 1))


if __name__ == "__main__":
    unittest.main()
