"""The start of a process does no work that the build can do once, or that its role never needs.

After a loss of power all processes start at once, and their clients wait for that.
"""

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import time
import tomllib
import unittest

import measure_starts

from oakramp.storage.log_format import left_over_of, pack_record, records_after

ROOT = pathlib.Path(__file__).resolve().parent.parent
ROLES = ("gate", "core", "store")
RUN_MOST = 120  # s
# Modules that no role needs before its first connections; a package covers all modules in it.
UNNEEDED = (
    "argparse",
    "asyncio.base_events",
    "click",
    "email",
    "http.client",
    "hypothesis",
    "ijson",
    "importlib.resources",
    "nose2",
    "pkg_resources",
    "ply",
    "ssl",
    "thriftpy2.parser",
    "twisted.web",
    "unittest",
    "urllib.request",
)
# Imports what a process of this role imports, and prints the sources that had to be compiled for it.
COMPILED = """
import os, sys
from importlib.machinery import SourceFileLoader
source_to_code, compiled = SourceFileLoader.source_to_code, []
def noted(self, data, path, **options):
    compiled.append(path)
    return source_to_code(self, data, path, **options)
SourceFileLoader.source_to_code = noted
sys.path[0] = os.path.abspath("platform")
import byte_code, oakramp_node
byte_code.install()
oakramp_node._program_for_role(sys.argv[1])
import oakramp.gossip.daemon, oakramp_platform.dialect
roots = tuple(os.path.abspath(folder) + "/" for folder in ("packages", "platform/oakramp_platform"))
print(*[path for path in compiled if path.startswith(roots)])
"""

DEFERRED = """
import sys
from oakramp.common import deferred_imports
for name in deferred_imports.DEFERRED:
    sys.modules.pop(name, None)
deferred_imports.install()
def state(module):
    return "deferred" if type(module) is deferred_imports.DeferredModule else type(module).__name__
from http import cookiejar
print(state(cookiejar), cookiejar.CookieJar.__name__, end=" ")
import asyncio
print(state(asyncio), asyncio.iscoroutine.__name__, state(asyncio), asyncio.gather.__name__, end=" ")
from asyncio import *
print(state(cookiejar), state(asyncio), run is asyncio.runners.run)
"""
ALREADY_IMPORTED = "deferred_imports.install()\nimport pickle\nprint(type(pickle).__name__)"


def run(root, *arguments, **variables):
    """Standard output of this interpreter in a checkout where no byte code is written, unless `variables` allow it."""
    ended = subprocess.run(
        [sys.executable, *arguments],
        cwd=root,
        env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1", **variables},
        capture_output=True,
        text=True,
        timeout=RUN_MOST,
    )
    if ended.returncode:
        raise AssertionError(ended.stderr)
    return ended.stdout.strip()


class CompiledByTheBuild(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.root = pathlib.Path(folder.name).resolve()
        for name in ("packages", "platform", "deploy"):
            shutil.copytree(ROOT / name, self.root / name, ignore=shutil.ignore_patterns("__pycache__", "*.egg-info"))

    def build(self):
        """Runs the build steps of the deploy file that belong to this project."""
        build = tomllib.loads((self.root / "deploy" / "system.toml").read_text(encoding="utf-8"))["build"]
        for step in build.split(" && ")[1:]:
            run(self.root, *step.split()[1:], PYTHONDONTWRITEBYTECODE="")

    def compiled(self, role):
        return run(self.root, "-c", COMPILED, role).split()

    def test_a_start_compiles_no_source(self):
        self.build()
        self.assertEqual({role: self.compiled(role) for role in ROLES}, dict.fromkeys(ROLES, []))

    def test_a_source_that_changed_after_the_build_is_compiled_again(self):
        self.build()
        changed = self.root / "packages" / "common" / "oakramp" / "common" / "tasks.py"
        with open(changed, "a", encoding="utf-8") as file:
            file.write("# changed\n")
        self.assertEqual(self.compiled("gate"), [str(changed)])
        touched = self.root / "packages" / "gossip" / "oakramp" / "gossip" / "node.py"
        os.utime(touched, (1, 1))  # another version may have the same length
        self.assertEqual(sorted(self.compiled("gate")), sorted(map(str, (changed, touched))))

    def test_a_start_without_a_build_runs(self):
        self.assertIn(str(self.root / "packages" / "common" / "oakramp" / "common" / "tasks.py"), self.compiled("core"))

    def test_the_build_writes_below_target_only(self):
        before = sorted(self.root.iterdir())
        self.build()
        self.assertEqual(sorted(self.root.iterdir()), sorted([*before, self.root / "target"]))
        self.assertEqual([str(path) for path in self.root.rglob("__pycache__")], [])


class UnusedPartsOfTheLog(unittest.TestCase):
    """The search of a start behind the last record of a file: mostly zeros, until the log has wrapped around once."""

    SIZE = 8 << 20  # bytes
    LAP = 2

    def seconds(self, data):
        """The least CPU time of five searches."""
        spent = []
        for _ in range(5):
            began_at = time.process_time()
            found = list(records_after(data, self.LAP, 0)), left_over_of(data, self.LAP, 0)
            spent.append(time.process_time() - began_at)
            self.assertEqual(found, ([], {}))
        return min(spent)

    def test_zeros_are_searched_no_slower_than_records_of_former_laps(self):
        record = pack_record(self.LAP - 1, 1, 1, b"what a former lap left " * 40)
        self.assertLess(self.seconds(bytes(self.SIZE)), 2 * self.seconds(record * (self.SIZE // len(record))))

    def test_records_are_found_at_any_position(self):
        one, other = (pack_record(self.LAP, number, number, b"batch") for number in (7, 8))
        former = pack_record(self.LAP - 1, 3, 3, b"former")
        for parts in (
            [one],
            [bytes(9), one],
            [bytes(9), one, bytes(9), other, bytes(9)],
            [former, one, former, other, former],
            [one[:-1], other, former],
        ):
            data = b"".join(parts)
            whole = [(place, number) for number, record in ((7, one), (8, other)) if (place := data.find(record)) >= 0]
            found = [(record.end - len(one), record.number) for record in records_after(data, self.LAP, 0)]
            self.assertEqual(found, whole)
            self.assertEqual(left_over_of(data, self.LAP, 0), {self.LAP: (0, data.rfind(other[:8]) + 32)})


class Imports(unittest.TestCase):
    def test_a_start_imports_nothing_that_the_role_does_not_need(self):
        libraries = os.pathsep.join(path for path in sys.path if path.endswith(("site-packages", "deps")))
        for role in ROLES:
            _, modules, _ = measure_starts.start(str(ROOT), role, libraries=libraries)
            unneeded = [name for name in modules if f"{name}.".startswith(tuple(f"{one}." for one in UNNEEDED))]
            self.assertEqual(unneeded, [], role)

    def test_a_deferred_module_is_loaded_on_the_first_access_to_a_name(self):
        said = run(ROOT, "-c", DEFERRED)
        self.assertEqual(said, "deferred CookieJar deferred iscoroutine deferred gather module module True")

    def test_a_module_that_is_already_imported_is_not_deferred(self):
        said = run(ROOT, "-c", "import pickle\nfrom oakramp.common import deferred_imports\n" + ALREADY_IMPORTED)
        self.assertEqual(said, "module")


if __name__ == "__main__":
    unittest.main()
