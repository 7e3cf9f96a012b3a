"""Each code mutation applies to the current code, and its test exists."""

import ast
import unittest
from collections import Counter
from pathlib import Path

import oakramp.testbed
from oakramp.testbed.code_mutations import CODE_MUTATIONS

PACKAGES = Path(oakramp.testbed.__file__).parents[3]
TESTS = Path(__file__).parent


def tests_in(module):
    """The names (Class.test) of the tests in a file, including those inherited from classes of the same file."""
    classes = {
        node.name: node for node in ast.parse((TESTS / f"{module}.py").read_text("utf-8")).body if is_class(node)
    }
    return {f"{name}.{test}" for name in classes for test in _methods(name, classes)}


def is_class(node):
    return isinstance(node, ast.ClassDef)


def _methods(name, classes):
    if name not in classes:
        return set()
    own = {node.name for node in classes[name].body if isinstance(node, (ast.FunctionDef, ast.AsyncFunctionDef))}
    bases = [base.id for base in classes[name].bases if isinstance(base, ast.Name)]
    return own.union(*(_methods(base, classes) for base in bases))


class CodeMutations(unittest.TestCase):
    def test_each_applies_exactly_once_and_its_file_still_compiles(self):
        for one in CODE_MUTATIONS:
            with self.subTest(mutation=one.name):
                path = PACKAGES / one.file
                text = path.read_text("utf-8")
                self.assertEqual(text.count(one.old), 1)
                changed = text.replace(one.old, one.new)
                self.assertNotEqual(changed, text)
                compile(changed, str(path), "exec")

    def test_names_are_unique(self):
        names = Counter(one.name for one in CODE_MUTATIONS)
        self.assertEqual([name for name, count in names.items() if count > 1], [])

    def test_each_names_a_test_that_exists(self):
        modules = {one.test.partition(".")[0] for one in CODE_MUTATIONS}
        known = {f"{module}.{test}" for module in modules for test in tests_in(module)}
        self.assertEqual([one.test for one in CODE_MUTATIONS if one.test not in known], [])
