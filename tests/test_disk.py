"""The data folder of a node on a real disk: a process may end at any point, and the next one finds a usable folder."""

import errno
import os
import random
import tempfile
import unittest
from queue import SimpleQueue
from threading import Event
from unittest import mock

from oakramp.common.structured_logging import EventLogger
from oakramp.storage.circular_log import CircularLog
from oakramp.storage.disk import FolderDisk
from oakramp.store.store_node import EMPTYING, _remove_all_files
from oakramp.testbed.simdisk import PowerLost
from oakramp.testbed.simfolder import SimFolder

SIZE = 1 << 16  # bytes of one ring file
STALL_S = 3.0


class Ended(Exception):
    """The process ends here."""


class FolderDiskTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    def disk(self):
        disk = FolderDisk(mock.Mock(), self.folder)
        self.addCleanup(disk.close)
        return disk

    def ring(self, disk):
        return CircularLog(disk, EventLogger(lambda line: None), SIZE)

    def test_missing_files_are_created_after_a_process_ended_while_creating_them(self):
        """The next process creates the missing files, whichever call the first one ended in."""
        for call in ("posix_fallocate", "fsync", "rename"):
            for number in (1, 2, 9):
                with self.subTest(call=call, number=number), tempfile.TemporaryDirectory() as self.folder:
                    self.end_at(call, number, lambda: self.ring(self.disk()))
                    ring = self.ring(self.disk())
                    self.assertEqual(ring.table, {})

    def end_at(self, call, number, work):
        left = [number]
        operation = getattr(__import__("os"), call)

        def run(*arguments):
            left[0] -= 1
            if left[0] == 0:
                raise Ended
            return operation(*arguments)

        with mock.patch(f"oakramp.storage.disk.os.{call}", run):
            try:
                work()
            except Ended:
                pass

    def test_a_created_file_is_complete_or_absent(self):
        disk = self.disk()
        self.end_at("posix_fallocate", 1, lambda: disk.create("ring.000", SIZE))
        self.assertNotIn("ring.000", disk.names())
        disk.create("ring.000", SIZE)
        self.assertEqual(disk.read("ring.000"), bytes(SIZE))

    def test_a_small_file_is_written_completely_despite_short_writes(self):
        """The operating system may write fewer bytes than it is given."""
        write = os.write
        with mock.patch("oakramp.storage.disk.os.write", lambda handle, data: write(handle, data[:3])):
            self.disk().replace("identity", b"a whole identity")
        self.assertEqual(self.disk().read("identity"), b"a whole identity")

    def test_the_parents_of_a_new_folder_are_synced(self):
        """The parent of each created folder is synced, starting with the outermost."""
        synced, fsync = [], os.fsync

        def record(handle):
            synced.append(os.readlink(f"/proc/self/fd/{handle}"))
            fsync(handle)

        base = self.folder
        self.folder = os.path.join(base, "one", "two")
        with mock.patch("oakramp.storage.disk.os.fsync", record):
            self.disk()
        self.assertEqual(synced, [base, os.path.join(base, "one"), self.folder])


class ReactorCalls:
    """Calls that a thread passes to the reactor; the test runs them one by one."""

    def __init__(self):
        self._calls = SimpleQueue()

    def callFromThread(self, function, *arguments):
        self._calls.put((function, arguments))

    def run_next(self):
        function, arguments = self._calls.get(timeout=10.0)
        function(*arguments)


class StalledDiskTest(unittest.TestCase):
    """
    reactor                            disk's thread
    write, sync: return at once  --->  is blocked in a write
    reads what it wrote
    the sync fires               <---  the disk responds again
    """

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.reactor = ReactorCalls()
        self.disk = FolderDisk(self.reactor, folder.name)
        self.addCleanup(self.disk.close)
        self.disk.create("ring.000", SIZE)
        self.resumed, self.blocked_calls = Event(), []  # calls that were still blocked after STALL_S
        self.addCleanup(lambda: self.assertEqual(self.blocked_calls, []))
        self.addCleanup(self.resumed.set)

    def stalled(self, call):
        operation = getattr(os, call)

        def wait_and_run(*arguments):
            if not self.resumed.wait(STALL_S):
                self.blocked_calls.append(call)
            return operation(*arguments)

        return mock.patch(f"oakramp.storage.disk.os.{call}", wait_and_run)

    def test_writes_and_syncs_return_at_once_while_the_disk_stalls(self):
        for call in ("pwrite", "fdatasync"):
            with self.subTest(call=call), self.stalled(call):
                self.resumed.clear()
                fired = []
                self.disk.write("ring.000", 8, call.encode())
                self.disk.sync(["ring.000"]).addBoth(fired.append)
                self.assertEqual(self.disk.read_at("ring.000", 6, 4), b"\0\0" + call[:2].encode())
                self.assertEqual(fired, [])
                self.resumed.set()
                self.reactor.run_next()
                self.assertEqual(fired, [None])
                self.assertEqual(self.disk.read("ring.000", 8 + len(call))[8:], call.encode())

    def test_the_newest_of_several_writes_is_read(self):
        with self.stalled("pwrite"):
            self.disk.write("ring.000", 0, b"aaaaaaaa")
            self.disk.write("ring.000", 2, b"bbb")
            self.disk.write("ring.000", 0, b"ccc")
            self.assertEqual(self.disk.read_at("ring.000", 0, 10), b"cccbbaaa\0\0")
            self.resumed.set()
            self.assertEqual(self.disk.read("ring.000", 10), b"cccbbaaa\0\0")

    def test_a_failed_write_is_reported_by_the_next_sync(self):
        errors, fired = [OSError(errno.ENOSPC, "full")], []
        write = os.pwrite

        def refuse_once(*arguments):
            if errors:
                raise errors.pop()
            return write(*arguments)

        with mock.patch("oakramp.storage.disk.os.pwrite", refuse_once):
            self.disk.write("ring.000", 0, b"first")
            self.disk.sync(["ring.000"]).addBoth(fired.append)
            self.reactor.run_next()
            self.assertEqual(fired[0].value.errno, errno.ENOSPC)
            self.assertEqual(self.disk.read_at("ring.000", 0, 5), b"first")
            self.disk.write("ring.000", 0, b"first")
            self.disk.sync(["ring.000"]).addBoth(fired.append)
            self.reactor.run_next()
        self.assertIsNone(fired[1])
        self.assertEqual(self.disk.read("ring.000", 5), b"first")


class FolderPowerLossTest(unittest.TestCase):
    """The folder model is that of oakramp.testbed.simfolder."""

    NAMES = "identity", "emptying", "ring.000", "ring.001"

    def test_each_change_is_atomic_when_power_is_lost(self):
        """
        node                                     folder
        creates, replaces, removes files   --->  loses power before any system call
        reads the folder again             <---  each file is as the last call that returned left it, or, if a call was
                                                 in progress for it, as before or as after that call
        """
        for seed in range(400):
            with self.subTest(seed=seed):
                self.play(random.Random(seed))

    def test_removing_all_files_resumes_after_a_power_loss(self):
        """
        store                                  folder
        writes the marker file, removes        loses power before any system call, and again while the next start
        the rest, the marker last      --->    resumes the removal
        starts                         <---    all files and no marker, the marker, or no file at all
        """
        files = set(self.NAMES) - {EMPTYING}
        for seed in range(120):
            with self.subTest(seed=seed):
                chance = random.Random(seed)
                folder = SimFolder("/folder", chance)
                with mock.patch("oakramp.storage.disk.os", folder):
                    disk = self.started(folder)
                    for name in files:
                        disk.replace(name, b"x")
                    while set(disk.names()):
                        folder.loses_power_at = folder.calls + chance.randrange(1, 25)
                        try:
                            disk.replace(EMPTYING, b"")
                            _remove_all_files(disk)
                        except PowerLost:
                            folder.lose_power()
                        folder.loses_power_at = None
                        disk = self.started(folder)
                        if EMPTYING not in disk.names():
                            self.assertIn(set(disk.names()), (files, set()))

    def play(self, chance):
        folder = SimFolder("/folder", chance)
        with (
            mock.patch("oakramp.storage.disk.os", folder),
            mock.patch("oakramp.storage.disk.open", folder.open_to_read, create=True),
        ):
            known = {}
            for _ in range(5):
                disk = self.started(folder)
                found = self.content(disk)
                for name in self.NAMES:
                    self.assertIn(found.get(name), known.get(name, {None}), name)
                known = {name: {found.get(name)} for name in self.NAMES}
                folder.loses_power_at = folder.calls + chance.randrange(1, 60)
                try:
                    while True:
                        self.change(disk, chance, known)
                except PowerLost:
                    pass
                folder.lose_power()

    def started(self, folder):
        with mock.patch("oakramp.storage.disk.Thread"):
            return FolderDisk(mock.Mock(), "/folder")

    def content(self, disk):
        return {name: disk.read(name) for name in disk.names() if name in self.NAMES}

    def change(self, disk, chance, known):
        """`known` maps each name to its possible contents; a change adds the new content, and once it returns, only
        that remains."""
        name = chance.choice(self.NAMES)
        there = name in disk.names()
        data = chance.choice((chance.randbytes(chance.randrange(50)), None))
        if data is None and not there:
            return
        if data is not None and name.startswith("ring"):
            data = bytes(40)
        known[name].add(data)
        if data is None:
            disk.remove(name)
        elif name.startswith("ring"):
            disk.create(name, 40)
        else:
            disk.replace(name, data)
        known[name] = {data}


if __name__ == "__main__":
    unittest.main()
