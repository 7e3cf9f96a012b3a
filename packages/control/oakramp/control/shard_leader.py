"""The leader of one shard: runs commands in order of arrival and answers each once a majority has its changes on disk."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import partial
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from oakramp.common.bounded_queue import BoundedQueue
from oakramp.common.constants import CONTROL_BATCH, CONTROL_QUEUE_LIMIT, LEADER_CLEANUP_KEYS
from oakramp.common.errors import NotShardLeaderError, OakrampError, OutcomeUnknownError, Verdict
from oakramp.common.tasks import spawn
from oakramp.control.controllers import CONTROLLERS, SHARD_SOURCE, cleanups_for, is_deferrable
from oakramp.control.replication import ShardProgress
from oakramp.control.transaction import Transaction

if TYPE_CHECKING:
    from sortedcontainers import SortedDict

    from oakramp.control.leader_registry import LeaderRegistry

QueuedCommand = tuple[Callable[[Transaction], Any], "defer.Deferred[Any]"]  # the command's function, and its answer

AFTER_ROWS = "$"  # sorts after the '#' that separates a key from its rows, and before every character of a name


class ShardLeader:
    """The state of one shard while this node leads it.

    Invariants:
    - `entries` (packed values by key) is on a majority of the voters' disks under (epoch, sequence), and `size` is its
      bytes;
    - `sources` are the gossip sources that this leader publishes;
    - no command is answered from `entries` once `lease_until` (monotonic seconds) has passed or `ended` is set;
    - no command is answered before what it changed, and all that it read, is on that majority;
    - while `_deferred` is not empty, a timer is set or a batch is queued that will include its commands.
    """

    def __init__(
        self, registry: LeaderRegistry, shard: int, epoch: int, entries: SortedDict[str, bytes], sequence: int
    ) -> None:
        self._registry = registry
        self.shard = shard
        self.epoch = epoch
        self.entries = entries
        self.sequence = sequence
        self.size = sum(len(key) + len(value) for key, value in entries.items())
        self.sources = {f"{SHARD_SOURCE}{shard}"}
        self.cleanup_cursor = ""  # the next page of the cleanup begins after this key
        self._queue = BoundedQueue(CONTROL_QUEUE_LIMIT, f"shard{shard}")
        self._deferred: list[QueuedCommand] = []
        self.lease_until = 0.0
        self.serves_since = float("inf")  # monotonic seconds
        self.voting_config_version = 0
        self.confirmed: defer.Deferred[None] = defer.Deferred()  # fires with the first lease
        self.ended = False
        self.idle = True
        self.local_state: dict[str, Any] = {}  # state of commands that is not replicated and ends with the leadership
        self.progress = ShardProgress(epoch)
        self._task = None

    def serve(self) -> None:
        """Starts to run the queued commands."""
        self.serves_since = self._registry.reactor.seconds()
        self._task = spawn(self._run(), self._registry.log)

    def extend_lease(self, until: float) -> None:
        """Extends the lease to this time (monotonic seconds), unless it already lasts longer."""
        self.lease_until = max(self.lease_until, until)
        if not self.confirmed.called:
            self.confirmed.callback(None)

    def holds_lease(self) -> bool:
        """Whether commands may be answered from this state now."""
        return not self.ended and self._registry.reactor.seconds() < self.lease_until

    def end(self) -> None:
        """Ends the leadership: waiting commands fail with NotShardLeaderError."""
        if self.ended:
            return
        self.ended = True
        self._registry.retract(self)
        for _, answer in [*self._take_deferred(), *filter(None, self._queue.take_ready(CONTROL_QUEUE_LIMIT))]:
            answer.errback(NotShardLeaderError("this shard is moving to another leader"))
        if self._task is not None and self.idle:
            self._task.cancel()

    def do(self, key: str, command: str, arguments: dict[str, Any]) -> defer.Deferred[Any]:
        """Runs a command of the key's controller.

        Returns:
            its result, once its changes are on a majority of disks.

        Raises:
            NotShardLeaderError: there is no lease; the command has not run.
            OverloadedError: the queue of commands is full; the command has not run.
        """
        work = partial(self._command, key, command, arguments)
        return self._defer(work) if is_deferrable(key, command) else self._enqueue(work)

    def cleanup(self) -> defer.Deferred[list[tuple[str, OakrampError]]]:
        """Removes the expired entries of the next page of keys, all in one command.

        Returns:
            the keys whose cleanup failed, as (key, error) pairs.
        """
        pairs = cleanups_for(self.next_keys(LEADER_CLEANUP_KEYS))
        return self._enqueue(partial(self._cleanup_all, pairs)) if pairs else defer.succeed([])

    def _enqueue(self, work: Callable[[Transaction], Any]) -> defer.Deferred[Any]:
        if not self.holds_lease():
            raise NotShardLeaderError(f"no lease for shard {self.shard}")
        answer: defer.Deferred[Any] = defer.Deferred()
        self._queue.put((work, answer))
        return answer

    def _defer(self, work: Callable[[Transaction], Any]) -> defer.Deferred[Any]:
        """Runs this in the batch of the next command: one majority write costs as much for both as for one."""
        if not self.holds_lease():
            raise NotShardLeaderError(f"no lease for shard {self.shard}")
        if len(self._deferred) >= CONTROL_BATCH:
            return self._enqueue(work)
        if not self._deferred:
            self._registry.reactor.callLater(self._registry.deferral_s, self._run_deferred)
        answer: defer.Deferred[Any] = defer.Deferred()
        self._deferred.append((work, answer))
        return answer

    def _run_deferred(self) -> None:
        """Queues a command that does nothing, whose batch includes the commands that are still deferred."""
        if self._deferred and len(self._queue) < CONTROL_QUEUE_LIMIT:
            ignored: defer.Deferred[Any] = defer.Deferred()
            ignored.addErrback(lambda _failure: None)
            self._queue.put((lambda _transaction: None, ignored))

    def _take_deferred(self) -> list[QueuedCommand]:
        taken, self._deferred = self._deferred, []
        return taken

    async def _run(self) -> None:
        while not self.ended:
            self.idle = True
            first = await self._queue.take()
            self.idle = False
            await self._run_batch([*self._take_deferred(), first, *self._queue.take_ready(CONTROL_BATCH - 1)])

    def replicate_again(self) -> None:
        """Queues a replication of the state to the majorities of the present voting configuration."""
        if len(self._queue) < CONTROL_QUEUE_LIMIT:
            self._queue.put(None)

    async def _run_batch(self, batch: list[QueuedCommand | None]) -> None:
        replicate_again = None in batch
        commands = [entry for entry in batch if entry is not None]
        transaction, outcomes = Transaction(self.entries, self._registry.context_for(self)), []
        for work, answer in commands:
            try:
                outcomes.append((answer, work(transaction)))
            except OakrampError as error:
                outcomes.append((answer, error))
        batch_error = await self._replicate_changes(dict(transaction.changes()), replicate_again)
        for answer, outcome in outcomes:
            if batch_error is not None or isinstance(outcome, OakrampError):
                answer.errback(batch_error or outcome)
                continue
            answer.callback(outcome)

    def _command(self, key: str, command: str, arguments: dict[str, Any], transaction: Transaction) -> Any:
        """Runs the command and returns its result; a command that fails leaves no changes in the transaction."""
        nested = transaction.nested()
        try:
            controller = CONTROLLERS.find(key.partition("/")[0])
            if command in controller.growing:
                self._registry.reject_if_full(self)
            result = controller.run(nested, key, command, arguments)
            if command in controller.replacing:
                self._registry.reject_if_not_installable(self, nested.changes())
        except OakrampError:
            raise
        except Exception as error:  # a crash of this command affects neither the others of its batch nor the leader
            self._registry.log.error("command_crashed", key=key, command=command, error=repr(error))
            raise OakrampError(f"{command} crashed", Verdict.NO) from error
        transaction.merge(nested)
        return result

    def _cleanup_all(self, pairs: list[tuple[str, str]], transaction: Transaction) -> list[tuple[str, OakrampError]]:
        failed = []
        for key, command in pairs:
            try:
                self._command(key, command, {}, transaction)
            except OakrampError as error:
                failed.append((key, error))
        return failed

    async def _replicate_changes(self, changes: dict[str, bytes | None], replicate_again: bool) -> OakrampError | None:
        """Replicates the changes of a batch.

        Returns:
            None once the changes are on a majority and the lease still holds; otherwise the error for all callers.
        """
        if changes or replicate_again:
            if not await self._registry.replicator.replicate(self, self.sequence + 1, changes):
                self.end()
                return OutcomeUnknownError("no majority confirmed that the change is on disk; look it up by its id")
            self.sequence += 1
            self._apply(changes)
            self._registry.publisher.publish(self, changes)
        if not self.holds_lease():
            return (
                OutcomeUnknownError("the lease expired during the command; look the change up by its id")
                if changes
                else NotShardLeaderError("the lease expired during the command")
            )
        return None

    def growth(self, changes: Mapping[str, bytes | None]) -> int:
        """The number of bytes by which these changes make the shard larger."""
        return sum(
            (0 if value is None else len(key) + len(value))
            - (len(key) + len(self.entries[key]) if key in self.entries else 0)
            for key, value in changes.items()
        )

    def _apply(self, changes: dict[str, bytes | None]) -> None:
        for key, value in changes.items():
            previous = self.entries.pop(key, None)
            self.size -= 0 if previous is None else len(key) + len(previous)
            if value is not None:
                self.entries[key] = value
                self.size += len(key) + len(value)

    def snapshot_with(self, sequence: int, changes: dict[str, bytes | None]) -> tuple[int, dict[str, bytes]]:
        """(sequence, entries) of the newest snapshot that is at least as new as this change.

        A change whose replication is still in progress is not in `self.entries` yet.
        """
        if sequence <= self.sequence:
            return self.sequence, dict(self.entries)
        return sequence, {key: value for key, value in (dict(self.entries) | changes).items() if value is not None}

    def next_keys(self, most: int) -> list[str]:
        """At most this many of the next keys that commands apply to, in order; starts again after the last key.

        The rows of a key ("key#row") are skipped without being read.
        """
        keys: list[str] = []
        while len(keys) < most and (key := next(self.entries.irange(self.cleanup_cursor), None)) is not None:
            keys.append(key.partition("#")[0])
            self.cleanup_cursor = keys[-1] + AFTER_ROWS
        if len(keys) < most:
            self.cleanup_cursor = ""
        return keys
