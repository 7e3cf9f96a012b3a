"""Logs requests that ended late, were refused, cut off or abandoned, and the time spent in each stage.

One line at info level for each such request, at most LOSS_LOG_RATE a second; `oakrampctl losses` aggregates them. A
request that is answered in time costs only a few entries in a dict.
"""

import math

from oakramp.common.constants import HELD_SHARE, LOSS_LOG_RATE
from oakramp.common.errors import Verdict
from oakramp.gateway.proxied_request import ClientDisconnectedError

ADMITTED, HISTORY_READ, PLACED, FIRST_EVENT, LAST_EVENT = "admitted", "history_read", "placed", "first", "last"
LATE, REFUSED, HELD, CUT, LEFT = "late", "refused", "held", "cut", "left"


class RequestLosses:
    """Invariants: `_lines_in_window` counts the lines since `_window_start`; `_left_out` the losses that were not
    logged."""

    def __init__(self, reactor, log):
        self._reactor, self._log = reactor, log
        self._window_start, self._lines_in_window, self._left_out = float("-inf"), 0, 0

    def answered(self, proxied_request):
        """Logs a completed response if its first event, or its end if it has no events, came after its route's
        target."""
        stages, received_at = proxied_request.stages, proxied_request.exchange.received_at
        first_event_at = stages.get(FIRST_EVENT, self._reactor.seconds())
        if first_event_at - received_at > proxied_request.route.target_s:
            self._log_loss(LATE, "none", proxied_request)

    def failed(self, proxied_request, error):
        """Logs a request that ended with an error of the gateway."""
        self._log_loss(self._outcome(proxied_request, error), error.code, proxied_request)

    def _outcome(self, proxied_request, error):
        if isinstance(error, ClientDisconnectedError):
            return LEFT
        if error.verdict is not Verdict.NO:
            return CUT
        waited_s = self._reactor.seconds() - proxied_request.exchange.received_at
        return HELD if waited_s > HELD_SHARE * proxied_request.route.target_s else REFUSED

    def _log_loss(self, outcome, reason, proxied_request):
        now = self._reactor.seconds()
        if now - self._window_start >= 1.0:
            self._window_start, self._lines_in_window = now, 0
        if self._lines_in_window >= LOSS_LOG_RATE:
            self._left_out += 1
            return
        self._lines_in_window += 1
        left_out, self._left_out = self._left_out, 0
        route, stages = proxied_request.route, proxied_request.stages
        received_at, response = proxied_request.exchange.received_at, proxied_request.response_summary

        def ms_since_receipt(at):
            return round(1000 * (at - received_at))

        def stage_ms(stage):
            return ms_since_receipt(stages[stage]) if stage in stages else -1

        self._log.info(
            "request_lost",
            outcome=outcome,
            reason=reason,
            route=route.name,
            route_kind=route.kind,
            priority=proxied_request.priority,
            target_ms=round(1000 * route.target_s),
            ended_ms=round(1000 * (now - received_at)),
            admitted_ms=stage_ms(ADMITTED),
            history_ms=stage_ms(HISTORY_READ),
            placed_ms=stage_ms(PLACED),
            first_ms=stage_ms(FIRST_EVENT),
            last_ms=stage_ms(LAST_EVENT),
            tries=proxied_request.attempts,
            replica=proxied_request.replica_id or "none",
            load=round(proxied_request.replica_load, 1),
            finish_ms=-1 if math.isinf(proxied_request.finish_at) else ms_since_receipt(proxied_request.finish_at),
            framing=response.framing,
            ended_by=response.ended_by,
            response_length=response.length,
            response_bytes=response.received,
            left_out=left_out,
        )
