"""Calls to the platform that only one node makes at a time, fenced by the epoch under which it leads the task's shard.

docs/duties.md explains why no two nodes act at the same time, and which risk remains if a process freezes, a link is
cut, the platform is slow or a clock jumps.
"""

from __future__ import annotations

from collections.abc import Awaitable
from enum import StrEnum
from functools import cached_property, partial
from typing import TYPE_CHECKING, Any

from oakramp.common.constants import (
    FENCED_ARRIVAL,
    FENCED_BACKOFF,
    FENCED_BACKOFF_MAX,
    FENCED_CALL_TIME,
    FENCED_CALL_TIME_MAX,
    FENCED_LEASE_LEFT,
    FENCED_LEASE_POLL,
    FENCED_OFFER_AFTER,
    FENCED_RATE_SHARE,
    FENCED_RECENT,
    FENCED_RESPONSE_LIMIT,
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

LOCK_DELAY_DEFAULT = 3.0  # s; if the setting `bounds` has no lock_delay_s
THAW_DEFAULT = 0.3  # s; if the setting `bounds` has no thaw_s
OK = 200
TOO_MANY_REQUESTS = 429
RETRIABLE_STATUSES = frozenset((408, 425, TOO_MANY_REQUESTS))  # 4xx after which the same call may be accepted later


class CallOutcome(StrEnum):
    """The outcome of a fenced call."""

    ACCEPTED = "accepted"
    REFUSED = "refused"  # permanently: the same call would be refused again
    THROTTLED = "throttled"
    FAILED = "failed"  # the platform answered with an error that may pass
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"  # no answer; the platform may have accepted the call
    NOT_SENT = "not_sent"  # the lease did not allow the call when its first byte was to be written


class _AnswerPendingError(Exception):
    """The answer has not arrived yet."""


def outcome_of_status(status: int) -> CallOutcome:
    """The outcome that this HTTP status stands for."""
    if status == OK:
        return CallOutcome.ACCEPTED
    if status == TOO_MANY_REQUESTS:
        return CallOutcome.THROTTLED
    is_final = 400 <= status < 500 and status not in RETRIABLE_STATUSES
    return CallOutcome.REFUSED if is_final else CallOutcome.FAILED


def outcome_of_error(error: OakrampError) -> CallOutcome:
    """The outcome of a call that ended with this error."""
    if isinstance(error, NotShardLeaderError):
        return CallOutcome.NOT_SENT
    return CallOutcome.UNREACHABLE if isinstance(error, UnreachableError) else CallOutcome.UNKNOWN


class FencedCaller:
    """Shared by all fenced tasks of one node: the connection to the platform, the rate limit and freeze detection.

    The calls of other nodes are not known here, so a node uses only a share of the platform's rate limit.
    """

    def __init__(self, node: Node, call_format: CallFormat, metrics: Metrics, hand_over: ShardHandOver) -> None:
        env = node.env
        self._reactor = node.reactor
        self._bind_host = env["http"].rpartition(":")[0]
        self._backend_room = node.backend_room
        self.hand_over = hand_over
        self._call_format = call_format
        self._metrics = metrics
        self._holder = env["machine"]
        self._address = env["platform"]
        self._rate = RateLimiter(node.reactor, env.get("platformCallRate", 10.0) * FENCED_RATE_SHARE)
        self.freezes = FreezeWatch(node.reactor, (env.get("bounds") or {}).get("thaw_s", THAW_DEFAULT), node.log)
        node.watch_env(self._apply_env)

    @cached_property
    def _client(self) -> HttpClient:
        """The HTTP client, imported and created at the first call, because most control nodes never make one."""
        from oakramp.common.http_client import HttpClient

        return HttpClient(self._reactor, self._bind_host, self._backend_room)

    def start(self) -> None:
        """Starts freeze detection."""
        self.freezes.start()

    def stop(self) -> None:
        """Stops freeze detection."""
        self.freezes.stop()

    async def turn(self) -> None:
        """Waits until the rate limit allows another call."""
        await self._rate.turn()

    async def send(self, request: FencedCall, fence: int, time_left: float, last_check: Any) -> int:
        """Sends a call and returns the status of the platform's answer, which must arrive within `time_left` seconds.

        `last_check()` runs in the same reactor iteration in which the first byte is written; if it raises, the call
        ends with that error.
        """
        status, _ = await self._client.data(
            request.method,
            self._address,
            request.path,
            request.body,
            time_left,
            FENCED_RESPONSE_LIMIT,
            last_check,
            self._call_format.fencing_headers(self._holder, fence),
            FENCED_UNACKNOWLEDGED,
        )
        return status

    def count(self, task: str, outcome: CallOutcome) -> None:
        """Counts the outcome of a call."""
        self._metrics.count("fenced_calls", task=task, outcome=outcome.value)

    def _apply_env(self, env: dict[str, Any]) -> None:
        """Applies the settings that may change while the node runs."""
        self._address = env.get("platform") or self._address
        self._rate.rate = env.get("platformCallRate", 10.0) * FENCED_RATE_SHARE


class FencedTask(SingletonTask):
    """A singleton task that calls the platform.

    Invariants:
    - the first byte of a call is sent only while `_check` passes: this node leads the task's shard, enough of its lease
      is left, the lease was renewed after this process was last frozen, and the time `_may_act_from` has passed;
    - a call is aborted if the lease ends before the answer arrives;
    - all calls of one leadership carry its epoch;
    - `_acted_at` is when this machine last sent a call as far as this process knows, or when the process started;
      `_acted_before` is the value of `_acted_at` when the current leadership was first seen.
    """

    def __init__(self, node: Node, leaders: LeaderRegistry, key: str, caller: FencedCaller) -> None:
        super().__init__(node, leaders, key, FENCED_ROUND)
        self._key = key
        self._caller = caller
        self._lock_delay_s = (node.env.get("bounds") or {}).get("lock_delay_s", LOCK_DELAY_DEFAULT)
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
        """Whether a call may be made now."""
        return self._node.reactor.seconds() >= self._retry_at and self._refusal_reason(leader) is None

    def _refusal_reason(self, leader: ShardLeader) -> str | None:
        """The reason why no call may be sent now; None if one may be sent."""
        now = self._node.reactor.seconds()
        if not leader.holds_lease():
            return "this node holds no lease"
        if leader.lease_until - now < FENCED_LEASE_LEFT:
            return "too little of the lease is left"
        if now < self._may_act_from(leader):
            return "a call of the previous holder may still be in transit"
        if leader.lease_until < self._caller.freezes.resumed_at() + LEASE_HELD:
            return "the lease was not renewed since this process was frozen"
        return None

    def _may_act_from(self, leader: ShardLeader) -> float:
        """When the first call under this leadership may be sent (monotonic seconds).

        By then, all calls that any previous holder sent have arrived; and a machine that may have sent a call recently
        does not send one again within `lock_delay_s` of another machine's calls.
        """
        acted_recently = leader.serves_since - self._acted_before < FENCED_RECENT * self._lock_delay_s
        return leader.serves_since + (max(self._lock_delay_s, FENCED_ARRIVAL) if acted_recently else FENCED_ARRIVAL)

    def _check(self, leader: ShardLeader) -> None:
        """Records that a call is sent now; raises NotShardLeaderError if none may be sent."""
        reason = self._refusal_reason(leader)
        if reason is not None:
            raise NotShardLeaderError(reason)
        self._acted_at = self._node.reactor.seconds()

    async def _call(self, leader: ShardLeader, request: FencedCall) -> CallOutcome:
        """Makes one call; unless it is accepted, the next one may be made only after a backoff.

        A call that was not accepted must be repeated unchanged, because a call without an answer may have been
        accepted.
        """
        await self._caller.turn()
        reason = ""
        try:
            sending = self._caller.send(request, leader.epoch, self._time_left(), partial(self._check, leader))
            status = await self._while_leading(leader, sending)
            outcome, reason = outcome_of_status(status), f"status {status}"
        except OakrampError as error:
            outcome, reason = outcome_of_error(error), error.reason
        self._record_outcome(leader, outcome, reason)
        if self._should_offer_shard(outcome):
            await self._caller.hand_over.offer(leader.shard)
        return outcome

    def _should_offer_shard(self, outcome: CallOutcome) -> bool:
        """Whether this node has failed to connect to the platform for FENCED_OFFER_AFTER, so that others should try."""
        if outcome is not CallOutcome.UNREACHABLE:
            self._unreachable_since = None
            return False
        now = self._node.reactor.seconds()
        if self._unreachable_since is None:
            self._unreachable_since = now
        return now - self._unreachable_since >= FENCED_OFFER_AFTER

    def _time_left(self) -> float:
        """Seconds to wait for the answer; grows with consecutive failures, because the platform may be slow."""
        return min(FENCED_CALL_TIME_MAX, FENCED_CALL_TIME * 2 ** min(self._failures, 8))

    async def _while_leading(self, leader: ShardLeader, awaited: Awaitable[int]) -> int:
        """Returns the awaited status; gives up as soon as the lease, which may be renewed meanwhile, has ended."""
        reactor, work = self._node.reactor, begin(awaited)
        try:
            while True:
                try:
                    return await within(reactor, FENCED_LEASE_POLL, shielded(work), _AnswerPendingError())
                except _AnswerPendingError:
                    if not leader.holds_lease():
                        raise OutcomeUnknownError("the lease ended before the answer arrived") from None
        finally:
            work.addErrback(lambda _failure: None)
            work.cancel()

    def _record_outcome(self, leader: ShardLeader, outcome: CallOutcome, reason: str) -> None:
        self._caller.count(self._key, outcome)
        if outcome is CallOutcome.ACCEPTED:
            self._failures = 0
            return
        pause = min(FENCED_BACKOFF_MAX, FENCED_BACKOFF * 2 ** min(self._failures, 8))
        self._retry_at = self._node.reactor.seconds() + pause * (0.5 + self._node.random.random() / 2)
        self._failures += 1
        self._node.log.warning(
            "fenced_call_failed", task=self._key, epoch=leader.epoch, outcome=outcome.value, reason=reason
        )
