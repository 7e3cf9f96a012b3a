"""Counts the requests of each tenant that started to run through this gateway, and reports them to the control nodes.

Counts are kept by window of wall time. Each report holds the total counts of this process for every window that is not
closed yet, so a lost or duplicated report has no effect; the leader of USAGE_KEY keeps the latest one.

Reports also contain this machine's wall time. The replies contain the median wall time of the fleet, which machines
with a wrong clock use instead of their own.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from oakramp.common.constants import (
    CLOCK_DIFFERENCE,
    USAGE_HOLD_TIME,
    USAGE_REPORT_PAUSE,
    USAGE_REPORT_TIME,
    USAGE_SILENCE,
    USAGE_WINDOWS_KEPT,
)
from oakramp.common.errors import BadRequestError, OakrampError
from oakramp.common.tasks import Repeater
from oakramp.common.wall_clock import FleetClock, SteadyWallClock, window_at
from oakramp.control.usage import USAGE_KEY

if TYPE_CHECKING:
    from oakramp.gateway.base import GateBase
    from oakramp.gateway.proxied_request import ProxiedRequest


class NullUsageCounter:
    """Used in deployments that do not report usage."""

    def start(self) -> None:
        """Does nothing."""

    async def stop(self, time_left: float) -> None:
        """Does nothing."""

    def count(self, proxied_request: ProxiedRequest, began_at: float) -> None:
        """Does nothing."""


class UsageCounter(NullUsageCounter):
    """Invariants: a request is counted once, however many replicas it was sent to; `_windows` holds no window that is
    known to be closed, and at most the newest USAGE_WINDOWS_KEPT; `_is_changed` is set while there are counts that were
    in no report; `_leader_accepts_time` is set after a reply from a leader whose release knows the field `time`;
    `_pending` holds the (monotonic time, tenant) of requests that are in no window yet, and is empty while
    `_is_waiting_for_time` is false; `_acknowledged` holds, for windows in `_windows`, the number of requests that a
    leader has acknowledged."""

    def __init__(self, gate: GateBase, wall: Callable[[], float], window_s: float) -> None:
        """`window_s` is the length of a window in seconds."""
        self._node, self._metrics = gate.node, gate.metrics
        self._leaders = gate.leaders
        self._window_s = window_s
        self._clock = SteadyWallClock(gate.node.reactor, wall, gate.node.log)
        self._fleet_clock = FleetClock(gate.node.reactor, self._clock)
        self._leader_accepts_time = False
        self._rounds_since_report = USAGE_SILENCE
        self._is_waiting_for_time = True
        self._pending: list[tuple[float, str]] = []
        self._acknowledged: dict[int, int] = {}
        self._windows: dict[int, Counter[str]] = {}
        self._is_changed = False
        self._report_number = 0
        self._repeater = Repeater(gate.node.reactor, USAGE_REPORT_PAUSE, self._round, gate.node.log)

    def start(self) -> None:
        """Starts the periodic reports."""
        self._clock.start()
        self._repeater.start()

    async def stop(self, time_left: float) -> None:
        """Stops, and makes one attempt within `time_left` seconds to report the remaining counts."""
        self._repeater.stop()
        self._clock.stop()
        self._stop_waiting_for_time()
        if self._is_changed:
            await self._report(time_left)

    def count(self, proxied_request: ProxiedRequest, began_at: float) -> None:
        """Counts a request that started to run at `began_at` (monotonic seconds), unless it was counted before."""
        if proxied_request.is_usage_counted or proxied_request.tenant is None:
            return
        proxied_request.is_usage_counted = True
        if self._is_waiting_for_time:
            self._pending.append((began_at, proxied_request.tenant.name))
        else:
            self._add(began_at, proxied_request.tenant.name)

    def _stop_waiting_for_time(self) -> None:
        """Adds the requests that waited for the fleet's time to their windows."""
        self._is_waiting_for_time, pending, self._pending = False, self._pending, []
        for began_at, tenant in pending:
            self._add(began_at, tenant)

    def _add(self, began_at: float, tenant: str) -> None:
        """Adds a request to its window."""
        wall_time = self._fleet_clock.now() - (self._node.reactor.seconds() - began_at)
        counts = self._windows.setdefault(window_at(wall_time, self._window_s), Counter())
        counts[tenant] += 1
        if len(self._windows) > USAGE_WINDOWS_KEPT:
            oldest = min(self._windows)
            del self._windows[oldest]
            self._acknowledged.pop(oldest, None)
        self._is_changed = True

    async def _round(self) -> None:
        self._rounds_since_report += 1
        if self._pending and self._node.reactor.seconds() >= self._pending[0][0] + USAGE_HOLD_TIME:
            self._stop_waiting_for_time()
        if self._is_changed or self._rounds_since_report >= USAGE_SILENCE:
            await self._report(USAGE_REPORT_TIME)

    async def _report(self, time_left: float) -> None:
        """Reports the counts and this machine's time within `time_left` seconds."""
        was_changed, self._is_changed = self._is_changed, False
        self._rounds_since_report, sent_at = 0, self._node.reactor.seconds()
        arguments = self._arguments()
        try:
            reply = await self._leaders.call(USAGE_KEY, "count", arguments, time_left)
        except OakrampError as error:
            self._is_changed |= was_changed
            self._rounds_since_report = USAGE_SILENCE
            self._leader_accepts_time &= not isinstance(error, BadRequestError)  # the leader runs an earlier release
            self._node.log.info("usage_report_failed", reason=error.reason)
            return
        except BaseException:
            self._is_changed |= was_changed
            raise
        self._update_fleet_clock(reply, self._node.reactor.seconds() - sent_at)
        self._drop_closed_windows(reply["next"], arguments["windows"])

    def _arguments(self) -> dict[str, Any]:
        self._report_number += 1
        windows = {str(window): dict(counts) for window, counts in self._windows.items()}
        arguments = {"gateway": self._node.node_id, "number": self._report_number, "windows": windows}
        return arguments | ({"time": self._clock.now()} if self._leader_accepts_time else {})

    def _update_fleet_clock(self, reply: dict[str, Any], took_s: float) -> None:
        self._leader_accepts_time = "time" in reply
        if took_s > CLOCK_DIFFERENCE or not reply.get("settled", True):
            self._rounds_since_report = USAGE_SILENCE  # report again next round: that reply may contain the time
        else:
            if reply.get("time") is not None:
                self._fleet_clock.set_fleet_time(reply["time"])
            self._stop_waiting_for_time()

    def _drop_closed_windows(self, first_open: int, reported: dict[str, dict[str, int]]) -> None:
        """Drops windows before `first_open`, which is 0 if no window has been opened yet.

        `reported` are the counts in the acknowledged report. Requests in dropped windows that no leader acknowledged
        are logged and counted as late."""
        for window_text, counts in reported.items():
            if 0 < first_open <= int(window_text):
                self._acknowledged[int(window_text)] = sum(counts.values())
        late = 0
        for window in [window for window in self._windows if window < first_open]:
            late += self._windows.pop(window).total() - self._acknowledged.pop(window, 0)
        if late:
            self._metrics.count("usage_counts_late", late)
            self._node.log.warning("usage_counts_late", requests=late, first_open=first_open)
