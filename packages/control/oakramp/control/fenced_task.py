"""Calls to the platform that one node makes at a time, fenced by the epoch under which it leads the task's shard.

docs/duties.md gives the argument: why no two nodes act at once, and what is left if a process freezes, a link is cut,
the platform is slow or a clock jumps.
"""

from __future__ import annotations

from collections.abc import Awaitable
from enum import StrEnum
from functools import cached_property, partial
from typing import TYPE_CHECKING, Any

from oakramp.common.constants import (
    FENCED_ANSWER_LIMIT,
    FENCED_ARRIVAL,
    FENCED_BACKOFF,
    FENCED_BACKOFF_MOST,
    FENCED_CALL_TIME,
    FENCED_CALL_TIME_MOST,
    FENCED_LEASE_LEFT,
    FENCED_LEASE_POLL,
    FENCED_OFFER_AFTER,
    FENCED_RATE_SHARE,
    FENCED_RECENT,
    FENCED_ROUND,
    FENCED_UNACKNOWLEDGED,
    LEASE_HELD,
)
from oakramp.common.errors import NotShardLeaderError, OakrampError, OutcomeUnknownError, UnreachableError
from oakramp.common.freeze_watch import FreezeWatch
from oakramp.common.rate_limiter import RateLimiter
from oakramp.common.tasks import begin, shielded, within
from oakramp.control.singleton_task import SingletonTask

if TYPE_CHECKING:
    from oakramp.common.fenced_call import CallFormat, FencedCall
    from oakramp.common.http_client import HttpClient
    from oakramp.common.metrics import Metrics
    from oakramp.control.leader_registry import LeaderRegistry
    from oakramp.control.shard_hand_over import ShardHandOver
    from oakramp.control.shard_leader import ShardLeader
    from oakramp.gossip.node import Node

FENCED_LEASE_DEFAULT = 3.0  # s; where the bounds name none
THAW_DEFAULT = 0.3  # s; where the bounds name none
OK = 200
TOO_OFTEN = 429
PASSING_STATUSES = frozenset((408, 425, TOO_OFTEN))  # of the 4xx: the same call may be accepted later


class CallOutcome(StrEnum):
    """What became of a fenced call."""

    ACCEPTED = "accepted"
    REFUSED = "refused"  # for good: the same call would be refused again
    THROTTLED = "throttled"
    FAILED = "failed"  # the platform answered that it could not
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"  # no answer; the platform may have taken it
    NOT_SENT = "not_sent"  # the lease did not allow it at its first byte


class _StillWaitingError(Exception):
    """The answer has not come yet."""


def outcome_of_status(status: int) -> CallOutcome:
    """The outcome that this HTTP status tells of."""
    if status == OK:
        return CallOutcome.ACCEPTED
    if status == TOO_OFTEN:
        return CallOutcome.THROTTLED
    is_final = 400 <= status < 500 and status not in PASSING_STATUSES
    return CallOutcome.REFUSED if is_final else CallOutcome.FAILED


def outcome_of_error(error: OakrampError) -> CallOutcome:
    """The outcome of a call that ended with this error."""
    if isinstance(error, NotShardLeaderError):
        return CallOutcome.NOT_SENT
    return CallOutcome.UNREACHABLE if isinstance(error, UnreachableError) else CallOutcome.UNKNOWN


class FencedCaller:
    """What all fenced tasks of one node share: the connection to the platform, the rate, and the watch for freezes.

    Other nodes' calls are not known here; so a node keeps to a share of the platform's rate.
    """

    def __init__(self, node: Node, form: CallFormat, metrics: Metrics, hand_over: ShardHandOver) -> None:
        env = node.env
        self._reactor = node.reactor
        self._bind_host = env["http"].rpartition(":")[0]
        self.hand_over = hand_over
        self._form = form
        self._metrics = metrics
        self._holder = env["machine"]
        self._address = env["platform"]
        self._rate = RateLimiter(node.reactor, env.get("platformCallRate", 10.0) * FENCED_RATE_SHARE)
        self.freezes = FreezeWatch(node.reactor, (env.get("bounds") or {}).get("thaw_s", THAW_DEFAULT), node.log)
        node.watch_env(self._take_env)

    @cached_property
    def _client(self) -> HttpClient:
        """Imported and made with the first call, as most control nodes never make one."""
        from oakramp.common.http_client import HttpClient

        return HttpClient(self._reactor, self._bind_host)

    def start(self) -> None:
        """Watches for freezes from now on."""
        self.freezes.start()

    def stop(self) -> None:
        """Watches for freezes no longer."""
        self.freezes.stop()

    async def turn(self) -> None:
        """Waits until another call keeps to the rate."""
        await self._rate.turn()

    async def send(self, request: FencedCall, fence: int, time_left: float, last_check: Any) -> int:
        """The status of the platform's answer within `time_left` seconds.

        `last_check()` runs in the turn of the reactor in which the first byte is written; what it raises ends the call.
        """
        status, _ = await self._client.data(
            request.method,
            self._address,
            request.path,
            request.body,
            time_left,
            FENCED_ANSWER_LIMIT,
            last_check,
            self._form.fencing_headers(self._holder, fence),
            FENCED_UNACKNOWLEDGED,
        )
        return status

    def count(self, task: str, outcome: CallOutcome) -> None:
        """Counts what became of a call."""
        self._metrics.count("fenced_calls", task=task, outcome=outcome.value)

    def _take_env(self, env: dict[str, Any]) -> None:
        """Takes what may change while the node runs."""
        self._address = env.get("platform") or self._address
        self._rate.rate = env.get("platformCallRate", 10.0) * FENCED_RATE_SHARE


class FencedTask(SingletonTask):
    """A singleton task that calls the platform.

    Invariants:
    - a call's first byte leaves only while `_check` holds: this node leads the task's shard, enough of its lease is
      left, the lease was renewed since this process was last frozen, and `_acts_from` has passed;
    - a call whose lease ends before its answer is aborted;
    - all calls of one leadership bear its epoch;
    - `_acted_at` is when this machine acted last as far as this process knows, or when the process started;
      `_acted_before` is what that was when the present leadership was first seen.
    """

    def __init__(self, node: Node, leaders: LeaderRegistry, key: str, caller: FencedCaller) -> None:
        super().__init__(node, leaders, key, FENCED_ROUND)
        self._key = key
        self._caller = caller
        self._lock_delay_s = (node.env.get("bounds") or {}).get("lock_delay_s", FENCED_LEASE_DEFAULT)
        self._known_leader: ShardLeader | None = None
        self._acted_at = self._acted_before = node.reactor.seconds()
        self._failures = 0
        self._retry_at = float("-inf")
        self._unreachable_since: float | None = None

    async def _round(self) -> None:
        leader = self._leaders.active.get(self._shard)
        if leader is not None and leader is not self._known_leader:
            self._failures, self._retry_at = 0, float("-inf")
            self._acted_before = self._acted_at
            self._unreachable_since = None
            self._node.log.info("fenced_task_began", task=self._key, epoch=leader.epoch)
        self._known_leader = leader
        await super()._round()

    def _may_call(self, leader: ShardLeader) -> bool:
        """Whether a call may be tried now."""
        return self._node.reactor.seconds() >= self._retry_at and self._why_not(leader) is None

    def _why_not(self, leader: ShardLeader) -> str | None:
        """Why no call may leave now; None if one may."""
        now = self._node.reactor.seconds()
        if not leader.holds_lease():
            return "there is no lease"
        if leader.lease_until - now < FENCED_LEASE_LEFT:
            return "the lease is about to end"
        if now < self._acts_from(leader):
            return "a call of the former holder may still be on its way"
        if leader.lease_until < self._caller.freezes.thawed_at() + LEASE_HELD:
            return "the lease was not renewed since this process was frozen"
        return None

    def _acts_from(self, leader: ShardLeader) -> float:
        """When the first call under this leadership may leave (monotonic seconds).

        Until then what any former holder sent has arrived; and a machine that may have acted lately does not act again
        within `lock_delay_s` of another.
        """
        acted_lately = leader.serves_since - self._acted_before < FENCED_RECENT * self._lock_delay_s
        return leader.serves_since + (max(self._lock_delay_s, FENCED_ARRIVAL) if acted_lately else FENCED_ARRIVAL)

    def _check(self, leader: ShardLeader) -> None:
        """Notes that a call leaves now; raises NotShardLeaderError if none may."""
        reason = self._why_not(leader)
        if reason is not None:
            raise NotShardLeaderError(reason)
        self._acted_at = self._node.reactor.seconds()

    async def _call(self, leader: ShardLeader, request: FencedCall) -> CallOutcome:
        """Makes one call; unless it is accepted, the next one may be made after a pause.

        What was not accepted is to be sent again as it is: a call without an answer may have been taken.
        """
        await self._caller.turn()
        reason = ""
        try:
            sending = self._caller.send(request, leader.epoch, self._time_left(), partial(self._check, leader))
            status = await self._while_leading(leader, sending)
            outcome, reason = outcome_of_status(status), f"status {status}"
        except OakrampError as error:
            outcome, reason = outcome_of_error(error), error.reason
        self._note(leader, outcome, reason)
        if self._is_cut_off(outcome):
            await self._caller.hand_over.offer(leader.shard)
        return outcome

    def _is_cut_off(self, outcome: CallOutcome) -> bool:
        """Whether for some time now no connection to the platform could be made, so that others should try."""
        if outcome is not CallOutcome.UNREACHABLE:
            self._unreachable_since = None
            return False
        now = self._node.reactor.seconds()
        if self._unreachable_since is None:
            self._unreachable_since = now
        return now - self._unreachable_since >= FENCED_OFFER_AFTER

    def _time_left(self) -> float:
        """Seconds for the answer: more after calls that came to nothing, as the platform may be slow."""
        return min(FENCED_CALL_TIME_MOST, FENCED_CALL_TIME * 2 ** min(self._failures, 8))

    async def _while_leading(self, leader: ShardLeader, awaited: Awaitable[int]) -> int:
        """The awaited status; it is given up as soon as the lease is over, which renewals put off meanwhile."""
        reactor, work = self._node.reactor, begin(awaited)
        try:
            while True:
                try:
                    return await within(reactor, FENCED_LEASE_POLL, shielded(work), _StillWaitingError())
                except _StillWaitingError:
                    if not leader.holds_lease():
                        raise OutcomeUnknownError("the lease ended before the answer came") from None
        finally:
            work.addErrback(lambda _failure: None)
            work.cancel()

    def _note(self, leader: ShardLeader, outcome: CallOutcome, reason: str) -> None:
        self._caller.count(self._key, outcome)
        if outcome is CallOutcome.ACCEPTED:
            self._failures = 0
            return
        pause = min(FENCED_BACKOFF_MOST, FENCED_BACKOFF * 2 ** min(self._failures, 8))
        self._retry_at = self._node.reactor.seconds() + pause * (0.5 + self._node.random.random() / 2)
        self._failures += 1
        self._node.log.warning(
            "fenced_call_failed", task=self._key, epoch=leader.epoch, outcome=outcome.value, reason=reason
        )
