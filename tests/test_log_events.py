"""The table of log events in docs/operators.md names each event that the code logs, with its level and fields."""

import ast
import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
LEVELS = {"debug", "info", "warning", "error"}
ROW = re.compile(r"^\| `([a-z_]+)` \| ([a-z/]+) \| ([^|]*) \|", re.M)
# Events whose name is a variable at the call: module and the names that it takes.
NAMED_ELSEWHERE = {"prefix_placement.py": ("eviction_detected", "eviction_capacity_missing")}


def log_calls():
    """(path, level, event expression, field names) of each call of an event logger in the product."""
    for folder in ("packages", "platform"):
        for path in sorted((ROOT / folder).rglob("*.py")):
            if "testbed" in path.parts:
                continue
            for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
                function = getattr(node, "func", None)
                if not isinstance(function, ast.Attribute) or function.attr not in LEVELS or not node.args:
                    continue
                if ast.unparse(function.value).rpartition(".")[2] in ("log", "_log"):
                    yield path, function.attr, node.args[0], [keyword.arg for keyword in node.keywords if keyword.arg]


def events_in_code():
    """Event -> (levels, fields) as the code logs them."""
    events = {}
    for path, level, expression, fields in log_calls():
        names = [node.value for node in ast.walk(expression) if isinstance(node, ast.Constant)]
        for name in names or NAMED_ELSEWHERE[path.name]:
            levels, known = events.setdefault(name, (set(), set()))
            levels.add(level)
            known.update(fields)
    return events


class LogEvents(unittest.TestCase):
    def setUp(self):
        text = (ROOT / "docs" / "operators.md").read_text(encoding="utf-8")
        table = text.partition("## Log events")[2].partition("\n## ")[0]
        self.rows = {
            name: (set(levels.split("/")), set(re.findall(r"`(\w+)`", fields)))
            for name, levels, fields in ROW.findall(table)
        }

    def test_table_and_code_name_the_same_events(self):
        self.assertEqual(sorted(self.rows), sorted(events_in_code()))

    def test_levels_and_fields_are_those_of_the_code(self):
        self.assertEqual(self.rows, events_in_code())

    def test_names_are_in_snake_case(self):
        self.assertEqual([name for name in events_in_code() if not re.fullmatch(r"[a-z]+(_[a-z]+)+", name)], [])


if __name__ == "__main__":
    unittest.main()
