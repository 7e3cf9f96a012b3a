"""The folder of a node on a real disk: a process may end anywhere, and the next one finds what it can use."""

import tempfile
import unittest
from unittest import mock

from oakbase.logline import LogLine
from oakring.disk import FolderDisk
from oakring.ring import Ring

SIZE = 1 << 16  # bytes of a file of the ring


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
        return Ring(disk, LogLine(lambda line: None), SIZE)

    def test_process_that_ends_while_it_makes_its_files(self):
        """The next one makes those that are missing, at whichever call the first one ended."""
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

        with mock.patch(f"oakring.disk.os.{call}", run):
            try:
                work()
            except Ended:
                pass

    def test_file_is_whole_or_not_there(self):
        disk = self.disk()
        self.end_at("posix_fallocate", 1, lambda: disk.create("ring.000", SIZE))
        self.assertNotIn("ring.000", disk.names())
        disk.create("ring.000", SIZE)
        self.assertEqual(disk.read("ring.000"), bytes(SIZE))


if __name__ == "__main__":
    unittest.main()
