"""Removes one mechanism at a time in a copy of the code, and checks that the test named for it fails."""

import os
import shutil
import subprocess
import sys
import tempfile
from multiprocessing.pool import ThreadPool

from oakramp.testbed.code_mutations import CODE_MUTATIONS


def try_without(one, root):
    """Applies the mutation to a copy and runs its test; returns the mutation and the outcome, "fails" as it should."""
    with tempfile.TemporaryDirectory() as folder:
        packages = os.path.join(folder, "packages")
        shutil.copytree(os.path.join(root, "packages"), packages)
        for name in ("tests", "platform"):
            shutil.copytree(os.path.join(root, name), os.path.join(folder, name))
        path = os.path.join(packages, one.file)
        with open(path, encoding="utf-8") as file:
            text = file.read()
        if text.count(one.old) != 1:
            return one, "not found once in the code"
        with open(path, "w", encoding="utf-8") as file:
            file.write(text.replace(one.old, one.new))
        env = os.environ | {
            "PYTHONPATH": os.pathsep.join(os.path.join(packages, name) for name in sorted(os.listdir(packages)))
        }
        done = subprocess.run(
            # Without unittest.cfg: its parallel runner runs all tests of a class with a common set-up together.
            [os.path.join(os.path.dirname(sys.executable), "nose2"), "-s", "tests", one.test],
            cwd=folder,
            env=env,
            capture_output=True,
            text=True,
            check=False,
        )
        if "Ran 1 test" not in done.stderr:
            return one, "its test did not run: " + done.stderr[-300:]
        return one, "fails" if done.returncode else "STILL PASSES"


def try_all(root, names=()):
    """Yields (mutation, outcome) for the named mutations, or for all; the outcome is "fails" if the test fails."""
    chosen = [one for one in CODE_MUTATIONS if not names or one.name in names]
    with ThreadPool(os.cpu_count()) as pool:
        yield from pool.imap(lambda one: try_without(one, root), chosen)
