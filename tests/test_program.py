"""Start and stop of the daemons, damaged disks, and the log events about peers that do not answer."""

import contextlib
import json
import os
import shutil
import socket
import subprocess
import sys
import tempfile
import unittest
import urllib.request
from unittest import mock

from oakramp.common.structured_logging import EventLogger
from oakramp.storage.circular_log import CircularLog
from oakramp.storage.disk import FolderDisk
from oakramp.testbed.simfleet import SimFleet

START = "from oakramp.{0}.daemon import main; main()"


def free_ports(count):
    """Local ports on which nothing listens."""
    with contextlib.ExitStack() as stack:
        bound_sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for one in bound_sockets:
            one.bind(("127.0.0.1", 0))
        return [one.getsockname()[1] for one in bound_sockets]


class DaemonStart(unittest.TestCase):
    def test_a_failed_start_exits_with_code_1_even_after_the_disk_was_opened(self):
        with socket.socket() as bound_socket, tempfile.TemporaryDirectory() as folder:
            bound_socket.bind(("127.0.0.1", 0))
            bound_socket.listen()
            address = "127.0.0.1:%d" % bound_socket.getsockname()[1]
            path = os.path.join(folder, "env.json")
            for package, more in (
                ("control", {"folder": os.path.join(folder, "core")}),
                ("store", {"folder": os.path.join(folder, "store")}),
                ("gateway", {}),
            ):
                with open(path, "w", encoding="utf-8") as file:
                    json.dump(
                        {"machine": "m", "zone": "z", "peer": address, "http": "127.0.0.1:1", "seeds": [address]}
                        | more,
                        file,
                    )
                ended = subprocess.run(
                    [sys.executable, "-c", START.format(package), "--env", path],
                    capture_output=True,
                    text=True,
                    timeout=60,
                )
                with self.subTest(package=package):
                    self.assertEqual(ended.returncode, 1, ended.stderr)
                    self.assertIn("cannot start", ended.stderr)


class DamagedDisk(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        disk = FolderDisk(mock.Mock(), os.path.join(self.folder, "data"))
        disk.replace("identity", b'{"nodeId": "m.1", "clusterId": null, "addresses": [], "founding": null}')
        CircularLog(disk, EventLogger(lambda line: None), 1 << 20)
        disk.close()

    def path(self, name):
        return os.path.join(self.folder, "data", name)

    def condition(self, port):
        with urllib.request.urlopen(f"http://127.0.0.1:{port}/condition", timeout=5) as answer:
            return json.loads(answer.read())

    def test_a_node_with_a_damaged_disk_keeps_running_and_reports_it(self):
        """
        operator                  node
        starts it        ----->   finds a log file in the wrong place, or a log without an identity
        GET /condition   ----->   damaged, with the reason; its folder is unchanged
        SIGTERM          ----->   exits with code 0
        """
        kept = shutil.copy(self.path("ring.001"), os.path.join(self.folder, "kept"))
        shutil.copy(self.path("ring.000"), self.path("ring.001"))
        self.assert_keeps_running("files were swapped")
        shutil.copy(kept, self.path("ring.001"))
        os.unlink(self.path("identity"))
        self.assert_keeps_running("the identity is missing")

    def assert_keeps_running(self, reason):
        before = {name: os.stat(self.path(name)).st_mtime_ns for name in os.listdir(os.path.dirname(self.path("x")))}
        for package in "store", "control":
            ports = free_ports(2)
            settings = {
                "machine": "m",
                "zone": "z",
                "peer": f"127.0.0.1:{ports[0]}",
                "http": f"127.0.0.1:{ports[1]}",
                "seeds": [f"127.0.0.1:{ports[0]}"],
                "folder": os.path.dirname(self.path("x")),
                "ringFileSize": 1 << 20,
            }
            env = os.path.join(self.folder, "env.json")
            with open(env, "w", encoding="utf-8") as file:
                json.dump(settings, file)
            command = [sys.executable, "-c", START.format(package), "--env", env]
            with subprocess.Popen(command, stderr=subprocess.PIPE, text=True) as process:
                try:
                    lines = [next(process.stderr)]
                    while "disk_damaged" not in lines[-1]:
                        self.assertNotIn("node_started", lines[-1])
                        lines.append(next(process.stderr))
                    condition = self.condition(ports[1])
                finally:
                    process.terminate()
                self.assertEqual(process.wait(timeout=30), 0)
            with self.subTest(package=package):
                self.assertEqual((condition["condition"], condition["machine"]), ("damaged", "m"))
                self.assertIn(reason, condition["reason"])
                names = os.listdir(os.path.dirname(self.path("x")))
                after = {name: os.stat(self.path(name)).st_mtime_ns for name in names}
                self.assertEqual(after, before)


class SilentPeers(unittest.TestCase):
    def test_silence_of_a_peer_is_logged_when_it_starts_and_ends(self):
        fleet = SimFleet(3).bring_up(plans=False)
        seed = fleet["control0"]
        before = len(fleet.lines)
        seed.kill()
        fleet.run(2.0)
        seed.start()
        fleet.run(8.0)
        lines = [line for line in fleet.lines[before:] if f"address={seed.machine.peer}" in line]
        events_by_node = {
            name: [line.split("event=")[1].split()[0] for line in lines if f"node={name} " in line]
            for name in fleet.by_name
        }
        observers = {name: events for name, events in events_by_node.items() if events}
        self.assertTrue(observers)
        self.assertEqual(
            {tuple(events) for events in observers.values()},
            {("gossip_pull_failed", "gossip_peer_answered")},
            observers,
        )


if __name__ == "__main__":
    unittest.main()
