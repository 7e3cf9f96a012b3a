"""Each start of a process spent its time again on work that the build can do once, or that the role never needs.

After a loss of power all processes start at once, and whoever is served by them waits for that."""

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import tomllib
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
ROLES = ("gate", "core", "store")
RUN_MOST = 120  # s
# Imports what a process of this role does, and prints the sources that had to be compiled for it.
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
oakramp_node._program(sys.argv[1])
import oakramp.gossip.daemon, oakramp_platform.dialect
roots = tuple(os.path.abspath(folder) + "/" for folder in ("packages", "platform/oakramp_platform"))
print(*[path for path in compiled if path.startswith(roots)])
"""


def run(root, *arguments):
    """Standard output of this interpreter in a checkout where no byte code can be written."""
    ended = subprocess.run(
        [sys.executable, *arguments],
        cwd=root,
        env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1"},
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
        """The steps of the deploy file's build that are the project's own."""
        build = tomllib.loads((self.root / "deploy" / "system.toml").read_text(encoding="utf-8"))["build"]
        for step in build.split(" && ")[1:]:
            run(self.root, *step.split()[1:])

    def compiled(self, role):
        return run(self.root, "-c", COMPILED, role).split()

    def test_a_start_compiles_no_source(self):
        self.build()
        self.assertEqual({role: self.compiled(role) for role in ROLES}, dict.fromkeys(ROLES, []))

    def test_a_source_that_changed_after_the_build_is_compiled_anew(self):
        self.build()
        changed = self.root / "packages" / "common" / "oakramp" / "common" / "tasks.py"
        with open(changed, "a", encoding="utf-8") as file:
            file.write("# changed\n")
        self.assertEqual(self.compiled("gate"), [str(changed)])
        touched = self.root / "packages" / "gossip" / "oakramp" / "gossip" / "node.py"
        os.utime(touched, (1, 1))  # another version may be as long
        self.assertEqual(sorted(self.compiled("gate")), sorted(map(str, (changed, touched))))

    def test_a_start_without_a_build_runs(self):
        self.assertIn(str(self.root / "packages" / "common" / "oakramp" / "common" / "tasks.py"), self.compiled("core"))

    def test_the_build_writes_below_target_only(self):
        before = sorted(self.root.iterdir())
        self.build()
        self.assertEqual(sorted(self.root.iterdir()), sorted([*before, self.root / "target"]))
        self.assertEqual([str(path) for path in (self.root / "packages").rglob("*.pyc")], [])


if __name__ == "__main__":
    unittest.main()
