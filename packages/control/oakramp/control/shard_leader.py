"""The leader of one shard: it runs commands in the order in which they come, and answers none before a majority has it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import partial
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from oakramp.common.bounded_queue import BoundedQueue
from oakramp.common.constants import CONTROL_BATCH, CONTROL_QUEUE_LIMIT, OWNER_CLEANUP_KEYS
from oakramp.common.errors import NotShardLeaderError, OakrampError, OutcomeUnknownError, Verdict
from oakramp.common.tasks import spawn
from oakramp.control.controllers import CONTROLLERS, SHARD_SOURCE, cleanups_for, is_deferrable
from oakramp.control.replication import ShardProgress
from oakramp.control.transaction import Transaction

if TYPE_CHECKING:
    from sortedcontainers import SortedDict

    from oakramp.control.leader_registry import LeaderRegistry

QueuedCommand = tuple[Callable[[Transaction], Any], "defer.Deferred[Any]"]  # what to do, and who is told of it

AFTER_ROWS = "$"  # sorts after the '#' of a key's own rows, and before every character of a name


class ShardLeader:
    """The state of one shard while this node leads it.

    Invariants:
    - `entries` (packed values by key) is on a majority of the voters' disks under (epoch, sequence), and `size` is its
      bytes;
    - `sources` are the gossip sources that this leader publishes;
    - nothing is answered from it once `lease_until` (monotonic seconds) has passed or `ended` is set;
    - no command is answered before what it changed, and all that it read, is on that majority;
    - while anything is in `_deferred`, a timer is set or a batch is queued that takes it along.
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
        self.cleaned_to = ""  # the key after which the next page of the cleanup begins
        self._queue = BoundedQueue(CONTROL_QUEUE_LIMIT, f"shard{shard}")
        self._deferred: list[QueuedCommand] = []
        self.lease_until = 0.0
        self.serves_since = float("inf")  # monotonic seconds
        self.voting_config_version = 0
        self.confirmed: defer.Deferred[None] = defer.Deferred()  # fires with the first lease
        self.ended = False
        self.idle = True
        self.marks: dict[str, Any] = {}  # what commands note that is not replicated (CommandContext)
        self.progress = ShardProgress(epoch)
        self._task = None

    def serve(self) -> None:
        """Starts to work through commands."""
        self.serves_since = self._registry.reactor.seconds()
        self._task = spawn(self._run(), self._registry.log)

    def extend_lease(self, until: float) -> None:
        """The lease holds until this time (monotonic seconds) at least."""
        self.lease_until = max(self.lease_until, until)
        if not self.confirmed.called:
            self.confirmed.callback(None)

    def holds_lease(self) -> bool:
        """Whether answers may be given from this state now."""
        return not self.ended and self._registry.reactor.seconds() < self.lease_until

    def end(self) -> None:
        """Gives the leadership up: waiting commands fail with NotShardLeaderError."""
        if self.ended:
            return
        self.ended = True
        self._registry.retract(self)
        for _, answer in [*self._take_deferred(), *filter(None, self._queue.take_ready(CONTROL_QUEUE_LIMIT))]:
            answer.errback(NotShardLeaderError("this shard is changing hands"))
        if self._task is not None and self.idle:
            self._task.cancel()

    def do(self, key: str, command: str, arguments: dict[str, Any]) -> defer.Deferred[Any]:
        """Runs a command of the key's controller.

        Returns:
            its result, once what it changed is on a majority.

        Raises:
            NotShardLeaderError: there is no lease; the command has not run.
            OverloadedError: too many commands wait already; it has not run.
        """
        work = partial(self._command, key, command, arguments)
        return self._defer(work) if is_deferrable(key, command) else self._put(work)

    def cleanup(self) -> defer.Deferred[list[tuple[str, OakrampError]]]:
        """Removes what has expired of the next page of keys, all as one command.

        Returns:
            what failed, as (key, error) pairs.
        """
        pairs = cleanups_for(self.next_roots(OWNER_CLEANUP_KEYS))
        return self._put(partial(self._cleanup_all, pairs)) if pairs else defer.succeed([])

    def _put(self, work: Callable[[Transaction], Any]) -> defer.Deferred[Any]:
        if not self.holds_lease():
            raise NotShardLeaderError(f"no lease for shard {self.shard}")
        answer: defer.Deferred[Any] = defer.Deferred()
        self._queue.put((work, answer))
        return answer

    def _defer(self, work: Callable[[Transaction], Any]) -> defer.Deferred[Any]:
        """Has this done along with the next command: a majority write costs the same for both."""
        if not self.holds_lease():
            raise NotShardLeaderError(f"no lease for shard {self.shard}")
        if len(self._deferred) >= CONTROL_BATCH:
            return self._put(work)
        if not self._deferred:
            self._registry.reactor.callLater(self._registry.deferral_s, self._run_deferred)
        answer: defer.Deferred[Any] = defer.Deferred()
        self._deferred.append((work, answer))
        return answer

    def _run_deferred(self) -> None:
        """Queues a batch of what is still deferred, along with a command that does nothing."""
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
            await self._work([*self._take_deferred(), first, *self._queue.take_ready(CONTROL_BATCH - 1)])

    def write_again(self) -> None:
        """Has the state replicated to the majorities of the present voting configuration."""
        if len(self._queue) < CONTROL_QUEUE_LIMIT:
            self._queue.put(None)

    async def _work(self, batch: list[QueuedCommand | None]) -> None:
        write_again = None in batch
        commands = [entry for entry in batch if entry is not None]
        transaction, outcomes = Transaction(self.entries, self._registry.context_for(self)), []
        for work, answer in commands:
            try:
                outcomes.append((answer, work(transaction)))
            except OakrampError as error:
                outcomes.append((answer, error))
        fault = await self._keep(dict(transaction.changes()), write_again)
        for answer, outcome in outcomes:
            if fault is not None or isinstance(outcome, OakrampError):
                answer.errback(fault or outcome)
                continue
            answer.callback(outcome)

    def _command(self, key: str, command: str, arguments: dict[str, Any], transaction: Transaction) -> Any:
        """The command's result; one that fails leaves nothing in the transaction."""
        inner = transaction.nested()
        try:
            controller = CONTROLLERS.find(key.partition("/")[0])
            if command in controller.growing:
                self._registry.refuse_full(self)
            result = controller.run(inner, key, command, arguments)
            if command in controller.replacing:
                self._registry.refuse_unfit(self, inner.changes())
        except OakrampError:
            raise
        except Exception as error:  # a fault of this command ends neither the others of its batch nor the leader
            self._registry.log.error("command_crashed", key=key, command=command, error=repr(error))
            raise OakrampError(f"{command} crashed", Verdict.NO) from error
        transaction.merge(inner)
        return result

    def _cleanup_all(self, pairs: list[tuple[str, str]], transaction: Transaction) -> list[tuple[str, OakrampError]]:
        failed = []
        for key, command in pairs:
            try:
                self._command(key, command, {}, transaction)
            except OakrampError as error:
                failed.append((key, error))
        return failed

    async def _keep(self, changes: dict[str, bytes | None], write_again: bool) -> OakrampError | None:
        """None once the changes are on a majority and the lease still holds; else the error for all callers."""
        if changes or write_again:
            if not await self._registry.replicator.replicate(self, self.sequence + 1, changes):
                self.end()
                return OutcomeUnknownError("the change did not reach a majority of disks; ask for it by its id")
            self.sequence += 1
            self._apply(changes)
            self._registry.publisher.publish(self, changes)
        if not self.holds_lease():
            return (
                OutcomeUnknownError("the lease ended meanwhile; ask for the change by its id")
                if changes
                else NotShardLeaderError("the lease ended meanwhile")
            )
        return None

    def growth(self, changes: Mapping[str, bytes | None]) -> int:
        """Bytes by which these changes make the shard larger."""
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

        A change that is being replicated is not among the entries yet.
        """
        if sequence <= self.sequence:
            return self.sequence, dict(self.entries)
        return sequence, {key: value for key, value in (dict(self.entries) | changes).items() if value is not None}

    def next_roots(self, most: int) -> list[str]:
        """At most this many of the next keys that commands are for, in order, going round.

        The rows of a key ("key#row") are skipped, not read.
        """
        roots: list[str] = []
        while len(roots) < most and (key := next(self.entries.irange(self.cleaned_to), None)) is not None:
            roots.append(key.partition("#")[0])
            self.cleaned_to = roots[-1] + AFTER_ROWS
        if len(roots) < most:
            self.cleaned_to = ""
        return roots
