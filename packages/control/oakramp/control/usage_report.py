"""The fenced task of usage reports: one node closes each window after its end, and reports the closed windows."""

from __future__ import annotations

from typing import TYPE_CHECKING

from oakramp.common.constants import FENCED_REFUSALS_MAX, FENCED_ROUND, USAGE_GRACE
from oakramp.common.wall_clock import SteadyWallClock, window_at
from oakramp.control.fenced_task import CallOutcome, FencedCaller, FencedTask
from oakramp.control.shards import shard_of_key
from oakramp.control.singleton_task import SingletonTask
from oakramp.control.usage import USAGE_KEY, WINDOW_ROWS, clocks_in

if TYPE_CHECKING:
    from oakramp.common.fenced_call import CallFormat
    from oakramp.control.leader_registry import LeaderRegistry
    from oakramp.control.shard_leader import ShardLeader
    from oakramp.gossip.node import Node

WINDOW_DEFAULT = 5.0  # s; if the bounds set none
AFTER_WINDOW_ROWS = WINDOW_ROWS[:-1] + chr(ord("/") + 1)


def count_owed(leader: ShardLeader) -> int:
    """The number of windows that are closed and not delivered."""
    return sum(1 for _ in leader.entries.irange(WINDOW_ROWS, AFTER_WINDOW_ROWS))


class UsageWindowsTask(SingletonTask):
    """Closes each window USAGE_GRACE after its end, whether or not the platform is reachable.

    A new leader closes nothing for USAGE_GRACE: gateways could not report their last counts, nor their clocks, while
    the shard had no leader. The first window ever is the one in which the first leader began.

    Invariant: `_closed` is (leader, the last window that it was asked to close).
    """

    def __init__(self, node: Node, leaders: LeaderRegistry, clock: SteadyWallClock) -> None:
        super().__init__(node, leaders, USAGE_KEY, FENCED_ROUND)
        self._clock = clock
        self._window_s = (node.env.get("bounds") or {}).get("usage_window_s", WINDOW_DEFAULT)
        self._closed: tuple[ShardLeader | None, int] = (None, 0)

    async def _work(self, leader: ShardLeader) -> None:
        now = self._cluster_time(leader)
        led_for = self._node.reactor.seconds() - leader.serves_since
        if led_for < USAGE_GRACE:
            return
        through = window_at(now - USAGE_GRACE, self._window_s) - 1
        if self._closed == (leader, through):
            return
        current = window_at(now - led_for, self._window_s)
        result = await leader.do(USAGE_KEY, "close", {"through": through, "current": current})
        self._closed = leader, through
        if result["closed"]:
            self._node.log.debug("usage_window_closed", window=through, closed=result["closed"], epoch=leader.epoch)

    def _cluster_time(self, leader: ShardLeader) -> float:
        """The median wall time of this node and the gateways; this node's own if too few gateways report theirs."""
        now, own = self._node.reactor.seconds(), self._clock.now()
        clocks = clocks_in(leader.local_state)
        clocks.report(self._node.node_id, own, now)
        cluster = clocks.time(now)
        return own if cluster is None else cluster


class UsageReportTask(FencedTask):
    """Sends closed windows to the platform, the oldest first, one at a time."""

    def __init__(self, node: Node, leaders: LeaderRegistry, caller: FencedCaller, form: CallFormat) -> None:
        super().__init__(node, leaders, USAGE_KEY, caller)
        self._form = form
        self._refusals = 0

    async def _work(self, leader: ShardLeader) -> None:
        while self._may_call(leader) and count_owed(leader):
            owed = await leader.do(USAGE_KEY, "owed", {})
            if owed["window"] is None:
                return
            outcome = await self._call(leader, self._form.usage_report(owed["window"], owed["counts"]))
            if outcome is CallOutcome.ACCEPTED or self._is_given_up(outcome, owed["window"]):
                await leader.do(USAGE_KEY, "delivered", {"window": owed["window"]})

    def _is_given_up(self, outcome: CallOutcome, window: int) -> bool:
        """Whether the platform has permanently rejected this window so often that later ones must not wait for it."""
        self._refusals = self._refusals + 1 if outcome is CallOutcome.REFUSED else 0
        if self._refusals < FENCED_REFUSALS_MAX:
            return False
        self._refusals = 0
        self._node.log.error("usage_window_given_up", window=window, refusals=FENCED_REFUSALS_MAX)
        return True


class UsageReporting:
    """Both tasks on one node: closing windows and reporting them."""

    def __init__(
        self, node: Node, leaders: LeaderRegistry, caller: FencedCaller, form: CallFormat, clock: SteadyWallClock
    ) -> None:
        self._leaders = leaders
        self._shard = shard_of_key(USAGE_KEY)
        self._windows = UsageWindowsTask(node, leaders, clock)
        self._report = UsageReportTask(node, leaders, caller, form)

    def start(self) -> None:
        """Starts both tasks; they work while this node leads the shard."""
        self._windows.start()
        self._report.start()

    def stop(self) -> None:
        """Stops both tasks."""
        self._windows.stop()
        self._report.stop()

    def windows_owed(self) -> int:
        """The number of windows closed and not delivered; 0 on a node that does not run the fenced task."""
        leader = self._leaders.active.get(self._shard)
        return 0 if leader is None else count_owed(leader)
