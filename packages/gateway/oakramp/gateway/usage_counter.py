"""Counts the requests of each tenant that began to run by way of this gateway, and reports them to the control nodes.

Counts are kept by window of wall time. Each report holds the whole counts of this process for every window that is not
closed yet, so a report that is lost, or comes twice, changes nothing; the leader of USAGE_KEY keeps the newest one.

Reports also tell this machine's wall time, and their answers the median of the fleet, for machines that are off.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from oakramp.common.constants import (
    CLOCK_DIFFERENCE,
    USAGE_HELD,
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


class NoUsage:
    """Stands where usage is reported to nobody."""

    def start(self) -> None:
        """Does nothing."""

    async def stop(self, time_left: float) -> None:
        """Does nothing."""

    def count(self, proxied_request: ProxiedRequest, began_at: float) -> None:
        """Does nothing."""


class UsageCounter(NoUsage):
    """Invariants: a request is counted once, however many replicas it was sent to; `_windows` holds no window that is
    known to be closed, and the newest USAGE_WINDOWS_KEPT at most; `_is_changed` is set while there is something that no
    report has told; `_takes_time` is set once a leader has answered whose release knows of `time`; `_pending` has the
    (monotonic time, tenant) of requests that are in no window yet, and is empty once `_awaits_time` is not set;
    `_taken` has, for windows of `_windows`, how many requests a leader has answered to have taken."""

    def __init__(self, gate: GateBase, wall: Callable[[], float], window_s: float) -> None:
        """`window_s` is the length of a window in seconds."""
        self._node, self._metrics = gate.node, gate.metrics
        self._leaders = gate.leaders
        self._window_s = window_s
        self._clock = SteadyWallClock(gate.node.reactor, wall, gate.node.log)
        self._fleet_clock = FleetClock(gate.node.reactor, self._clock)
        self._takes_time = False
        self._silent_rounds = USAGE_SILENCE
        self._awaits_time = True
        self._pending: list[tuple[float, str]] = []
        self._taken: dict[int, int] = {}
        self._windows: dict[int, Counter[str]] = {}
        self._is_changed = False
        self._number = 0
        self._repeater = Repeater(gate.node.reactor, USAGE_REPORT_PAUSE, self._round, gate.node.log)

    def start(self) -> None:
        """Starts to report."""
        self._clock.start()
        self._repeater.start()

    async def stop(self, time_left: float) -> None:
        """Reports what is left, once, within so many seconds, and ends."""
        self._repeater.stop()
        self._clock.stop()
        self._await_no_longer()
        if self._is_changed:
            await self._report(time_left)

    def count(self, proxied_request: ProxiedRequest, began_at: float) -> None:
        """Counts a request that began to run at this time (monotonic seconds), unless it is counted already."""
        if proxied_request.is_usage_counted or proxied_request.tenant is None:
            return
        proxied_request.is_usage_counted = True
        if self._awaits_time:
            self._pending.append((began_at, proxied_request.tenant.name))
        else:
            self._add(began_at, proxied_request.tenant.name)

    def _await_no_longer(self) -> None:
        """Puts requests that waited for the fleet's time into their windows."""
        self._awaits_time, pending, self._pending = False, self._pending, []
        for began_at, tenant in pending:
            self._add(began_at, tenant)

    def _add(self, began_at: float, tenant: str) -> None:
        """Puts a request into its window."""
        wall_time = self._fleet_clock.now() - (self._node.reactor.seconds() - began_at)
        counts = self._windows.setdefault(window_at(wall_time, self._window_s), Counter())
        counts[tenant] += 1
        if len(self._windows) > USAGE_WINDOWS_KEPT:
            oldest = min(self._windows)
            del self._windows[oldest]
            self._taken.pop(oldest, None)
        self._is_changed = True

    async def _round(self) -> None:
        self._silent_rounds += 1
        if self._pending and self._node.reactor.seconds() >= self._pending[0][0] + USAGE_HELD:
            self._await_no_longer()
        if self._is_changed or self._silent_rounds >= USAGE_SILENCE:
            await self._report(USAGE_REPORT_TIME)

    async def _report(self, time_left: float) -> None:
        """Reports the counts and this machine's time, within so many seconds."""
        was_changed, self._is_changed = self._is_changed, False
        self._silent_rounds, asked_at = 0, self._node.reactor.seconds()
        arguments = self._arguments()
        try:
            answer = await self._leaders.call(USAGE_KEY, "count", arguments, time_left)
        except OakrampError as error:
            self._is_changed |= was_changed
            self._silent_rounds = USAGE_SILENCE
            self._takes_time &= not isinstance(error, BadRequestError)  # a leader of an earlier release
            self._node.log.info("usage_report_failed", reason=error.reason)
            return
        except BaseException:
            self._is_changed |= was_changed
            raise
        self._take_time(answer, self._node.reactor.seconds() - asked_at)
        self._forget_closed(answer["next"], arguments["windows"])

    def _arguments(self) -> dict[str, Any]:
        self._number += 1
        windows = {str(window): dict(counts) for window, counts in self._windows.items()}
        arguments = {"gateway": self._node.node_id, "number": self._number, "windows": windows}
        return arguments | ({"time": self._clock.now()} if self._takes_time else {})

    def _take_time(self, answer: dict[str, Any], took_s: float) -> None:
        self._takes_time = "time" in answer
        if took_s > CLOCK_DIFFERENCE or not answer.get("settled", True):
            self._silent_rounds = USAGE_SILENCE  # the next answer may tell the time
        else:
            if answer.get("time") is not None:
                self._fleet_clock.hear(answer["time"])
            self._await_no_longer()

    def _forget_closed(self, first_open: int, reported: dict[str, dict[str, int]]) -> None:
        """Drops windows before `first_open`, which is 0 where none was opened yet; `reported` was in the report."""
        for text, counts in reported.items():
            if 0 < first_open <= int(text):
                self._taken[int(text)] = sum(counts.values())
        late = 0
        for window in [window for window in self._windows if window < first_open]:
            late += self._windows.pop(window).total() - self._taken.pop(window, 0)
        if late:
            self._metrics.count("usage_counts_late", late)
            self._node.log.warning("usage_counts_late", requests=late, first_open=first_open)
