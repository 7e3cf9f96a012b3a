"""The event log: formats, levels, limits, and that no line is lost at the end of a process."""

import io
import json
import logging
import subprocess
import sys
import unittest

from oakramp.common.constants import LOG_LINE_LIMIT
from oakramp.common.errors import SettingsError
from oakramp.common.settings import COMMON_SETTINGS, check_settings
from oakramp.common.structured_logging import LOGGER_NAME, EventLogger, set_level, stderr_sink

ENV = {"machine": "m", "zone": "z", "peer": "127.0.0.1:1", "http": "127.0.0.1:2", "seeds": ["127.0.0.1:3"]}


class Logging(unittest.TestCase):
    def setUp(self):
        self.stream = io.StringIO()
        self.addCleanup(logging.getLogger(LOGGER_NAME).handlers.clear)

    def log(self, **settings):
        return EventLogger(stderr_sink(stream=self.stream, **settings), node="n1")

    def lines(self):
        return self.stream.getvalue().splitlines()

    def test_text_has_time_and_pairs_in_order(self):
        self.log().info("shard_leader_elected", shard=3, why='a "b"', waited=0.5)
        self.assertRegex(
            self.lines()[0],
            r'^time=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}\+00:00 event=shard_leader_elected node=n1 shard=3 why="a \\"b\\"" waited=0\.500$',
        )

    def test_json_has_one_object_per_line(self):
        self.log(line_format="json").warning("task_failed", shard=3, why="a\nb")
        self.assertEqual(len(self.lines()), 1)
        fields = json.loads(self.lines()[0])
        self.assertEqual(
            {key: fields[key] for key in ("event", "node", "shard", "why", "level")},
            {"event": "task_failed", "node": "n1", "shard": 3, "why": "a\nb", "level": "warning"},
        )

    def test_events_below_the_level_are_left_out(self):
        log = self.log(level="warning")
        log.info("shard_leader_elected")
        log.warning("task_failed")
        log.error("rpc_handler_crashed")
        self.assertEqual([line.split()[1] for line in self.lines()], ["event=task_failed", "event=rpc_handler_crashed"])
        set_level("info")
        log.info("shard_leader_elected")
        self.assertEqual(len(self.lines()), 3)

    def test_record_has_the_level_of_the_method_called(self):
        records = []
        log = EventLogger(records.append, node="n1")
        for write in (log.debug, log.info, log.warning, log.error):
            write("lease_lost", shard=3)
        levels = [logging.DEBUG, logging.INFO, logging.WARNING, logging.ERROR]
        self.assertEqual([record.level for record in records], levels)
        self.assertEqual(records[0].pairs, {"event": "lease_lost", "node": "n1", "shard": 3})

    def test_repeated_setup_keeps_one_handler(self):
        self.log()
        self.log().info("shard_leader_elected")
        self.assertEqual(len(self.lines()), 1)

    def test_long_lines_are_truncated(self):
        for line_format in ("text", "json"):
            self.log(line_format=line_format).warning("task_failed", why="x" * 100_000)
        text, cut = self.lines()
        self.assertLess(len(text), LOG_LINE_LIMIT + 20)
        self.assertIn(" cut=", text)
        self.assertLess(len(cut), LOG_LINE_LIMIT + 200)
        self.assertGreater(json.loads(cut)["cut"], 90_000)

    def test_no_line_is_lost_when_the_process_exits_at_once(self):
        code = (
            "import os\n"
            "from oakramp.common.structured_logging import EventLogger, stderr_sink, skip_unused_record_fields\n"
            "skip_unused_record_fields()\n"
            "log = EventLogger(stderr_sink())\n"
            "[log.info('shard_leader_elected', shard=number) for number in range(1000)]\n"
            "os._exit(0)\n"
        )
        done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60, check=False)
        self.assertEqual(len(done.stderr.splitlines()), 1000, done.stderr[:500])

    def test_unknown_level_and_format_are_rejected(self):
        check_settings(COMMON_SETTINGS, ENV | {"logLevel": "debug", "logFormat": "json"})
        with self.assertRaises(SettingsError) as caught:
            check_settings(COMMON_SETTINGS, ENV | {"logLevel": "loud", "logFormat": "xml"})
        self.assertEqual(
            sorted(caught.exception.detail),
            ["logFormat: must be one of text, json", "logLevel: must be one of info, debug, warning, error"],
        )
