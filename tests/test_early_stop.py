"""A process that is told to stop before its node runs ends in order."""

import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
WATCHDOG = 60.0  # s
POLL = 0.001  # s


def handles_stops(process):
    """Whether the program has begun: it handles SIGTERM, which no process inherits."""
    for line in pathlib.Path(f"/proc/{process.pid}/status").read_text(encoding="ascii").splitlines():
        if line.startswith("SigCgt:"):
            return bool(int(line.split()[1], 16) & 1 << (signal.SIGTERM - 1))
    return False


class EarlyStop(unittest.TestCase):
    def test_a_stop_before_the_node_runs_ends_with_0(self):
        folder = tempfile.mkdtemp(prefix="oakramp-early-stop-")
        self.addCleanup(shutil.rmtree, folder)
        settings = os.path.join(folder, "settings")
        os.mkfifo(settings)  # nobody writes to it, so the program waits for its settings
        for role in ("gate", "core", "store"):
            with self.subTest(role):
                process = subprocess.Popen(
                    [sys.executable, "platform/oakramp_node.py", role],
                    cwd=ROOT,
                    env=os.environ | {"OAKRAMP_NODE_FILE": settings},
                    stderr=subprocess.DEVNULL,
                )
                self.addCleanup(process.kill)
                ends_at = time.monotonic() + WATCHDOG
                while not handles_stops(process) and time.monotonic() < ends_at:
                    time.sleep(POLL)
                process.send_signal(signal.SIGTERM)
                self.assertEqual(process.wait(WATCHDOG), 0)


if __name__ == "__main__":
    unittest.main()
