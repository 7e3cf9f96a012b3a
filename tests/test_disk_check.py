"""oakrampctl disk check on folders that are whole, cut off or damaged; it changes none of them."""

import json
import os
import shutil
import tempfile
import unittest
from unittest import mock

from click.testing import CliRunner

from oakramp.cli.main import main
from oakramp.common.structured_logging import EventLogger
from oakramp.storage.circular_log import CircularLog
from oakramp.storage.disk import FolderDisk
from oakramp.storage.log_format import LAP_SIZE, pack_record

SIZE = 1 << 14  # bytes of a file of the ring
IDENTITY = {"nodeId": "m.1", "clusterId": "c", "addresses": [], "founding": None}


class DiskCheck(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        disk = FolderDisk(mock.Mock(), self.folder)
        disk.replace("identity", json.dumps(IDENTITY).encode())
        CircularLog(disk, EventLogger(lambda line: None), SIZE)
        disk.write("ring.000", LAP_SIZE, self.records())
        disk.close()

    def records(self):
        """Three of them; the third names the first two as synced."""
        entry = b"\x01\x00\x00\x00\x02\x00\x00\x00kvv"
        return pack_record(0, 1, 0, entry) + pack_record(0, 2, 1, entry) + pack_record(0, 3, 2, b"")

    def path(self, name):
        return os.path.join(self.folder, name)

    def damage(self, name, offset):
        with open(self.path(name), "r+b") as file:
            file.seek(offset)
            byte = file.read(1)
            file.seek(offset)
            file.write(bytes([byte[0] ^ 0xFF]))

    def content(self):
        found = {}
        for name in os.listdir(self.folder):
            with open(self.path(name), "rb") as file:
                found[name] = file.read()
        return found

    def check(self, code, *words):
        before = self.content()
        result = CliRunner().invoke(main, ["disk", "check", self.folder])
        self.assertEqual(result.exit_code, code, (result.output, result.exception))
        for word in words:
            self.assertIn(word, result.output)
        self.assertEqual(self.content(), before)

    def test_whole(self):
        self.check(0, "identity: m.1 of cluster c", "lap 0 from record 1", "whole: 1 entries", "up to record 3")

    def test_empty(self):
        shutil.rmtree(self.folder)
        os.mkdir(self.folder)
        self.check(0, "the folder is empty")

    def test_torn_tail(self):
        self.damage("ring.000", LAP_SIZE + len(self.records()) - 1)  # nothing names the last record as synced
        self.check(3, "would be wiped", "up to record 2")

    def test_damage(self):
        self.damage("ring.000", LAP_SIZE + 40)
        self.check(4, "DAMAGED: record 1 in ring.000 at byte 40 cannot be read, though record 2 says it was synced")

    def test_swapped_short_and_missing_files(self):
        shutil.copy(self.path("ring.000"), self.path("ring.003"))
        self.check(4, "files were swapped")
        os.truncate(self.path("ring.003"), 100)
        self.check(4, "ring.003 has 100 bytes")
        os.unlink(self.path("ring.003"))
        self.check(4, "ring.003 of the ring is missing")

    def test_identity(self):
        os.unlink(self.path("identity"))
        self.check(4, "identity: missing")
        for content, words in ((b"", "cannot be read"), (b"{}", "lacks nodeId"), (b"7", "cannot be read")):
            with open(self.path("identity"), "wb") as file:
                file.write(content)
            self.check(4, words)

    def test_interrupted_writes(self):
        os.rename(self.path("ring.007"), self.path("ring.007.new"))
        self.damage("ring.000", 0)
        with open(self.path("ring.000"), "wb") as file:
            file.write(bytes(SIZE))
        self.check(3, "ring.007.new: an interrupted write", "whole: 0 entries")
        with open(self.path("emptying"), "wb"):
            pass
        self.check(3, "was being emptied")


if __name__ == "__main__":
    unittest.main()
