"""Each ablation applies to the current code, and the code compiles without the mechanism."""

import pathlib
import shutil
import tempfile
import unittest

from oakramp.common.errors import NotFoundError
from oakramp.testbed.ablation import ABLATIONS, ablation_named, apply_to

ROOT = pathlib.Path(__file__).resolve().parent.parent


class Ablations(unittest.TestCase):
    def test_each_changes_its_file_which_still_compiles(self):
        for one in ABLATIONS:
            with self.subTest(name=one.name), tempfile.TemporaryDirectory() as folder:
                path = pathlib.Path(folder) / "packages" / one.file
                path.parent.mkdir(parents=True)
                shutil.copy(ROOT / "packages" / one.file, path)
                apply_to(one, folder)
                text = path.read_text()
                compile(text, one.file, "exec")
                self.assertNotEqual(text, (ROOT / "packages" / one.file).read_text())

    def test_an_ablation_whose_code_is_gone_is_an_error(self):
        one = ABLATIONS[0]
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "packages" / one.file
            path.parent.mkdir(parents=True)
            path.write_text("")
            with self.assertRaises(ValueError):
                apply_to(one, folder)

    def test_names_are_unique_and_unknown_names_are_rejected(self):
        self.assertEqual(len({one.name for one in ABLATIONS}), len(ABLATIONS))
        self.assertIs(ablation_named("affinity"), ABLATIONS[0])
        with self.assertRaises(NotFoundError):
            ablation_named("nothing")
