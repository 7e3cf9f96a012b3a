"""oakrampctl losses, on lines as gateways write them."""

import tempfile
import unittest

from click.testing import CliRunner

from oakramp.cli.losses import read_losses
from oakramp.cli.main import main

LINE = (
    "time=2026-09-09T04:58:{second:02d}.195+00:00 event=request_lost node=g1 kind=gate outcome={outcome} "
    'reason={reason} route="a chat" route_kind=stream priority=1 target_ms=300 ended_ms=900 admitted_ms=20 '
    "history_ms=30 placed_ms=700 first_ms={first} last_ms=-1 tries=1 replica=r1 load=3.0 left_out={left_out}\n"
)


def line(second=38, outcome="late", reason="none", first=800, left_out=0):
    return LINE.format(second=second, outcome=outcome, reason=reason, first=first, left_out=left_out)


class LossesTest(unittest.TestCase):
    def test_text_before_the_fields_of_a_line_is_ignored(self):
        (loss,) = read_losses(["   8.36 counter-1 " + line(), "event=node_stopped\n"])
        self.assertEqual(
            (loss.outcome, loss.route, loss.stage, loss.replica, loss.left_out), ("late", "a chat", "placed", "r1", 0)
        )

    def test_a_line_in_json_format(self):
        (loss,) = read_losses(['{"event": "request_lost", "outcome": "held", "ended_ms": 900, "left_out": 2}\n'])
        self.assertEqual((loss.outcome, loss.stage, loss.left_out), ("held", "ended", 2))

    def test_losses_are_added_up_over_files(self):
        with tempfile.NamedTemporaryFile("w", suffix=".log") as one, tempfile.NamedTemporaryFile("w") as other:
            one.write(
                line() + line(second=40, outcome="held", reason="overloaded", first=-1) + "broken event=request_lo"
            )
            other.write(line(second=40, left_out=5))
            one.flush()
            other.flush()
            result = CliRunner().invoke(main, ["losses", one.name, other.name])
        self.assertEqual(result.exit_code, 0, result.output)
        rows = [row.strip() for row in result.output.splitlines()]
        self.assertEqual(rows[0], "3 requests lost, 5 more not logged one by one")
        for row in ("2  late none", "1  held overloaded", "3  a chat stream 1", "2  2", "3  r1"):
            self.assertIn(row, rows)

    def test_no_losses(self):
        result = CliRunner().invoke(main, ["losses", "-"], input="event=node_started\n")
        self.assertEqual(result.output, "0 requests lost, 0 more not logged one by one\n")
