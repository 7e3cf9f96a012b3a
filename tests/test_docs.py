"""The pages name tests and modules that exist."""

import ast
import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGES = [*sorted((ROOT / "docs").rglob("*.md")), ROOT / "README.md", ROOT / "DEVELOPERS.md"]


def names_of_tests():
    """Names of test modules, classes and functions."""
    names = set()
    for path in (ROOT / "tests").rglob("*.py"):
        names.add(path.stem)
        tree = ast.parse(path.read_text(encoding="utf-8"))
        names.update(node.name for node in ast.walk(tree) if hasattr(node, "name") and node.name)
    return names


def is_module(dotted):
    """Whether a dotted name below `oakramp` is a package, a module, or something in one."""
    parts = dotted.split(".")[1:]
    folder = ROOT / "packages" / parts[0] / "oakramp"
    if not folder.is_dir():
        return False
    for length in range(len(parts), 0, -1):
        path = folder.joinpath(*parts[:length])
        if path.is_dir() or path.with_suffix(".py").is_file():
            return length == len(parts) or parts[length] in path.with_suffix(".py").read_text(encoding="utf-8")
    return False


class Pages(unittest.TestCase):
    def test_named_tests_exist(self):
        """A name that goes on with `*` or an ellipsis names all that begin so."""
        names = names_of_tests()
        for page in PAGES:
            for name, rest in re.findall(r"\b(test_\w+)(\*|…|\.\.\.)?", page.read_text(encoding="utf-8")):
                with self.subTest(page=page.name, name=name):
                    self.assertTrue(any(one.startswith(name) for one in names) if rest else name in names)

    def test_named_modules_exist(self):
        for page in PAGES:
            for dotted in re.findall(r"`(oakramp(?:\.[a-z_]+)+)`", page.read_text(encoding="utf-8")):
                with self.subTest(page=page.name, name=dotted):
                    self.assertTrue(is_module(dotted))

    def test_named_files_exist(self):
        for page in PAGES:
            for name in re.findall(r"`?oakramp/([a-z_]+)/([a-z_/]+\.py)", page.read_text(encoding="utf-8")):
                with self.subTest(page=page.name, name=name):
                    self.assertTrue((ROOT / "packages" / name[0] / "oakramp" / name[0] / name[1]).is_file())


if __name__ == "__main__":
    unittest.main()
