"""What CI passes over: failures named in KNOWN-RED.txt, and nothing else."""

import importlib.util
import os
import unittest

PLACE = os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), ".ci", "known_red.py")
spec = importlib.util.spec_from_file_location("known_red", PLACE)
known_red = importlib.util.module_from_spec(spec)
spec.loader.exec_module(known_red)

RED = known_red.known("test_a.A.test_one: a cause: with colons; issue 10\n\ntest_b.B.test_two: another; issue 11\n")
ENDED = ["Ran 5 tests in 1.000s", "", "FAILED (failures=1)"]


class KnownRed(unittest.TestCase):
    def code(self, lines, status=1):
        return known_red.verdict(lines, status, RED)[0]

    def test_only_known_ones_are_passed_over_and_printed(self):
        code, said = known_red.verdict(["FAIL: test_one (test_a.A.test_one)", *ENDED], 1, RED)
        self.assertEqual(
            (code, said), (0, ["known red, passed over: test_a.A.test_one: a cause: with colons; issue 10"])
        )

    def test_another_failure_beside_a_known_one_fails(self):
        self.assertEqual(
            self.code(["FAIL: test_one (test_a.A.test_one)", "ERROR: test_x (test_a.A.test_x)", *ENDED]), 1
        )

    def test_a_run_without_an_end_or_without_a_name_fails(self):
        self.assertEqual(self.code(["FAIL: test_one (test_a.A.test_one)"]), 1)
        self.assertEqual(self.code(ENDED, 2), 2)

    def test_a_run_that_passes_passes(self):
        self.assertEqual(self.code(["Ran 5 tests in 1.000s", "OK"], 0), 0)

    def test_more_than_three_lines_are_not_passed_over(self):
        red = known_red.known("".join(f"test_a.A.test_{number}: cause; issue 1\n" for number in range(4)))
        lines = ["FAIL: test_1 (test_a.A.test_1)", *ENDED]
        self.assertEqual(known_red.verdict(lines, 1, red)[0], 1)
        self.assertEqual(known_red.verdict(["Ran 5 tests in 1.000s", "OK"], 0, red)[0], 1)
        self.assertEqual(known_red.verdict(lines, 1, dict(list(red.items())[:3]))[0], 0)

    def test_marked_lines_are_passed_over_and_do_not_count(self):
        red = known_red.known(
            "".join(f"test_a.A.test_{number} [crowd]: cause; issue 60\n" for number in range(9))
            + "".join(f"test_b.B.test_{number}: cause; issue 1\n" for number in range(3))
        )
        lines = ["FAIL: test_8 (test_a.A.test_8)", *ENDED]
        self.assertEqual(known_red.verdict(lines, 1, red)[0], 0)
        self.assertEqual(known_red.verdict(["FAIL: test_9 (test_a.A.test_9)", *ENDED], 1, red)[0], 1)
        more = red | known_red.known("test_c.C.test_mark: the mark [crowd] stands in the text; issue 1\n")
        self.assertEqual(known_red.verdict(lines, 1, more)[0], 1)

    def test_crowds_are_a_suite_of_their_own(self):
        others, crowds = known_red.SUITES
        self.assertEqual(others, ("nose2",))
        self.assertIn("tests/crowds", crowds)


if __name__ == "__main__":
    unittest.main()
