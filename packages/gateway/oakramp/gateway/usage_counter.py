"""Counts the requests of each tenant that began to run by way of this gateway, and reports them to the control nodes.

Counts are kept by window of wall time. Each report holds the whole counts of this process for every window that is not
closed yet, so a report that is lost, or comes twice, changes nothing; the leader of USAGE_KEY keeps the newest one.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from oakramp.common.constants import USAGE_REPORT_PAUSE, USAGE_REPORT_TIME, USAGE_WINDOWS_KEPT
from oakramp.common.errors import OakrampError
from oakramp.common.tasks import Repeater
from oakramp.common.wall_clock import SteadyWallClock, window_at
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
    report has told."""

    def __init__(self, gate: GateBase, wall: Callable[[], float], window_s: float) -> None:
        """`window_s` is the length of a window in seconds."""
        self._node = gate.node
        self._leaders = gate.leaders
        self._window_s = window_s
        self._clock = SteadyWallClock(gate.node.reactor, wall, gate.node.log)
        self._windows: dict[int, Counter[str]] = {}
        self._is_changed = False
        self._number = 0
        self._repeater = Repeater(gate.node.reactor, USAGE_REPORT_PAUSE, self._report, gate.node.log)

    def start(self) -> None:
        """Starts to report."""
        self._clock.start()
        self._repeater.start()

    async def stop(self, time_left: float) -> None:
        """Reports what is left, once, within so many seconds, and ends."""
        self._repeater.stop()
        self._clock.stop()
        await self._report(time_left)

    def count(self, proxied_request: ProxiedRequest, began_at: float) -> None:
        """Counts a request that began to run at this time (monotonic seconds), unless it is counted already."""
        if proxied_request.is_counted or proxied_request.tenant is None:
            return
        proxied_request.is_counted = True
        wall_time = self._clock.now() - (self._node.reactor.seconds() - began_at)
        counts = self._windows.setdefault(window_at(wall_time, self._window_s), Counter())
        counts[proxied_request.tenant.name] += 1
        if len(self._windows) > USAGE_WINDOWS_KEPT:
            del self._windows[min(self._windows)]
        self._is_changed = True

    async def _report(self, time_left: float = USAGE_REPORT_TIME) -> None:
        """Reports the counts, if there are any that were not reported."""
        if not self._is_changed:
            return
        self._is_changed = False
        self._number += 1
        arguments: dict[str, Any] = {
            "gateway": self._node.node_id,
            "number": self._number,
            "windows": {str(window): dict(counts) for window, counts in self._windows.items()},
        }
        try:
            answer = await self._leaders.call(USAGE_KEY, "count", arguments, time_left)
        except OakrampError as error:
            self._is_changed = True
            self._node.log.info("usage_report_failed", reason=error.reason)
            return
        except BaseException:
            self._is_changed = True
            raise
        for window in [window for window in self._windows if window < answer["next"]]:
            del self._windows[window]
