"""A clean build needs the listed system packages and binary wheels only; the linter's exceptions only shrink."""

import json
import pathlib
import re
import tomllib
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
MOST_FILES_WITH_EXCEPTIONS = 131  # files; fewer with each package that is finished
LEAST_TYPED_MODULES = 14  # modules; checked strictly by mypy, more with each one that is finished
SYSTEM_PROGRAMS = {"python3": "python3", "pip": "python3-pip"}  # what the build line calls: the package that brings it


def toml(name):
    return tomllib.loads((ROOT / name).read_text(encoding="utf-8"))


class Build(unittest.TestCase):
    def test_build_line_needs_what_is_listed(self):
        deploy = toml("deploy/system.toml")
        called = set(re.findall(r"\b(python3|pip|apt-get|npm|cargo|gcc|make|curl|wget|git)\b", deploy["build"]))
        self.assertEqual(sorted(SYSTEM_PROGRAMS[program] for program in called), sorted(deploy["packages"]))
        self.assertTrue(all(role["run"].startswith("python3 ") for role in deploy["roles"].values()))

    def test_build_takes_no_source_distribution(self):
        build = toml("deploy/system.toml")["build"]
        self.assertIn("--only-binary :all:", build)
        self.assertIn("--require-hashes", build)
        for name in ("requirements.txt", "requirements-dev.txt"):
            pins = re.findall(r"^[a-z]\S*", (ROOT / name).read_text(encoding="utf-8"), re.M)
            self.assertTrue(pins)
            self.assertTrue(all(re.fullmatch(r"[A-Za-z0-9._-]+==[\w.]+", pin) for pin in pins), pins)

    def test_logging_is_the_standard_one(self):
        self.assertNotIn("picologging", (ROOT / "requirements.txt").read_text(encoding="utf-8"))


class Linter(unittest.TestCase):
    """What stands in pyproject.toml under per-file-ignores was not clean when the linter came; it only shrinks."""

    RULES = {"E", "F", "I", "B", "UP", "N", "C90", "D100", "D101", "D102", "D103", "D104"}
    FOR_ALL_TESTS = {"D101", "D102", "D103"}

    def setUp(self):
        self.lint = toml("pyproject.toml")["tool"]["ruff"]["lint"]
        allowed = (ROOT / "tests" / "data" / "linter-exceptions.json").read_text(encoding="utf-8")
        self.allowed = {"tests/**": self.FOR_ALL_TESTS} | json.loads(allowed)

    def test_list_of_exceptions_only_shrinks(self):
        """A line is taken out of both lists when its file is clean; none is ever put in."""
        for pattern, rules in self.lint["per-file-ignores"].items():
            self.assertLessEqual(set(rules), set(self.allowed.get(pattern, ())), pattern)
        self.assertLessEqual(len(self.allowed), 1 + MOST_FILES_WITH_EXCEPTIONS)

    def test_rules_are_all_there(self):
        self.assertEqual(set(self.lint["select"]), self.RULES)
        self.assertLessEqual(self.lint.keys(), {"select", "isort", "pep8-naming", "per-file-ignores"})

    def test_no_blanket_suppression(self):
        for folder in ("packages", "platform", "tests"):
            for path in (ROOT / folder).rglob("*.py"):
                blanket = re.findall(r"#\s*noqa(?!:)|#\s*ruff:\s*noqa(?!:)", path.read_text(encoding="utf-8"))
                self.assertFalse(blanket if path.name != "test_build.py" else [], path)


class Types(unittest.TestCase):
    """The modules that mypy checks strictly, listed in pyproject.toml; the list only grows."""

    def setUp(self):
        self.mypy = toml("pyproject.toml")["tool"]["mypy"]

    def test_list_of_typed_modules_only_grows(self):
        self.assertGreaterEqual(len(set(self.mypy["files"])), LEAST_TYPED_MODULES)
        self.assertEqual([name for name in self.mypy["files"] if not (ROOT / name).is_file()], [])

    def test_they_are_checked_strictly_in_ci(self):
        self.assertIs(self.mypy["strict"], True)
        self.assertNotIn("disable_error_code", self.mypy)
        self.assertIn("\nmypy\n", (ROOT / ".ci" / "run").read_text(encoding="utf-8"))
