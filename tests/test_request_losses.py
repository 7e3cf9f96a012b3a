"""The log lines about requests that ended late or failed."""

import unittest
from types import SimpleNamespace

from oakramp.common.constants import LOSS_LOG_RATE
from oakramp.common.errors import OutcomeUnknownError, OverloadedError, Verdict
from oakramp.gateway.proxied_request import ClientDisconnectedError, ProxiedRequest
from oakramp.gateway.request_losses import ADMITTED, FIRST_EVENT, RequestLosses


class Losses(unittest.TestCase):
    def setUp(self):
        self.now, self.lines = 10.0, []
        log = SimpleNamespace(info=lambda event, **fields: self.lines.append((event, fields)))
        self.losses = RequestLosses(SimpleNamespace(seconds=lambda: self.now), log)

    def request(self, target_s=0.3):
        route = SimpleNamespace(name="chat", kind="stream", priority=1, target_s=target_s)
        return ProxiedRequest(SimpleNamespace(received_at=10.0), None, route, 20.0, False)

    def test_a_response_in_time_is_not_logged(self):
        request = self.request()
        request.record_stage(FIRST_EVENT, 10.2)
        self.now = 14.0
        self.losses.answered(request)
        self.assertEqual(self.lines, [])

    def test_a_late_first_event_is_logged_with_its_stages(self):
        request = self.request()
        request.record_stage(ADMITTED, 10.1)
        request.record_stage(FIRST_EVENT, 10.5)
        request.record_stage(FIRST_EVENT, 10.9)
        request.replica_id, request.attempts = "r1", 2
        self.now = 11.0
        self.losses.answered(request)
        event, fields = self.lines[0]
        self.assertEqual(event, "request_lost")
        self.assertEqual(
            {
                name: fields[name]
                for name in ("outcome", "admitted_ms", "first_ms", "placed_ms", "ended_ms", "tries", "replica")
            },
            {
                "outcome": "late",
                "admitted_ms": 100,
                "first_ms": 500,
                "placed_ms": -1,
                "ended_ms": 1000,
                "tries": 2,
                "replica": "r1",
            },
        )

    def test_each_error_is_logged_with_its_outcome(self):
        for after, error, outcome in (
            (0.05, OverloadedError("no room"), "refused"),
            (0.2, OverloadedError("no room"), "held"),
            (0.2, OutcomeUnknownError("cut"), "cut"),
            (0.2, ClientDisconnectedError("gone", Verdict.MAYBE), "left"),
        ):
            with self.subTest(outcome=outcome):
                self.now = 10.0 + after
                self.losses.failed(self.request(), error)
                self.assertEqual((self.lines[-1][1]["outcome"], self.lines[-1][1]["reason"]), (outcome, error.code))

    def test_the_log_rate_is_bounded_and_omitted_losses_are_counted(self):
        for _ in range(LOSS_LOG_RATE + 7):
            self.losses.failed(self.request(), OverloadedError("no room"))
        self.assertEqual(len(self.lines), LOSS_LOG_RATE)
        self.now += 1.0
        self.losses.failed(self.request(), OverloadedError("no room"))
        self.assertEqual(self.lines[-1][1]["left_out"], 7)
