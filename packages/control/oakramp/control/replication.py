"""Delivery of a leader's append requests to the voters, and updates of voters that are behind.

A node that leads several shards replicates each of them on its own, but to the same five disks. Append requests that
are sent to one voter at the same time are batched into one call, committed there together, and answered for each shard
on its own.

A voter that is behind is updated independently of the append requests (`VoterUpdates`), by one transfer at a time for
each shard: either one merged append request with all changes since the state that the voter is known to have, or the
whole snapshot. Changes that are made during the transfer of a snapshot are collected and follow it as a merged append
request, so a slow transfer is never restarted because of a change.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from twisted.internet import defer

from oakramp.common.constants import (
    APPEND_BATCH_DELAY,
    CALL_TIME,
    SNAPSHOT_PART,
    SUPERSEDED_PATIENCE,
    UNANSWERED_APPENDS,
    UPDATE_LIMIT,
)
from oakramp.common.errors import NotShardLeaderError, OakrampError, OutcomeUnknownError, QuorumUnavailableError
from oakramp.common.tasks import spawn, within
from oakramp.control.shards import ENTRY_OVERHEAD, in_parts
from oakramp.rpc.codec import idl

if TYPE_CHECKING:
    from oakramp.control.shard_leader import ShardLeader


class VoterAddress(NamedTuple):
    """A voter's node id and network address."""

    node_id: str
    address: str


@dataclass(frozen=True, slots=True)
class ShardChange:
    """One change of a shard, as proposed under one voting configuration.

    `changes` maps keys to packed values, None where the key is removed; `start` is the (epoch, sequence) of the
    snapshot that a failover begins with.
    """

    leader: ShardLeader
    voting_config_version: int
    sequence: int
    changes: dict[str, bytes | None]
    start: tuple[int, int]


class AppendBatcher:
    """Batches append requests to one voter into calls.

    Invariant: while requests are waiting, either a timer is set or a call is in progress whose end sends them; none
    waits longer than APPEND_BATCH_DELAY."""

    def __init__(self, net, reactor, voter_id):
        self._net, self._reactor, self._voter_id = net, reactor, voter_id
        self._waiting = []
        self._calls = 0
        self._timer = None

    def put(self, target, request, on_response):
        """Queues an append request; `target` is (address, voting configuration version), and
        `on_response(response, error)` is called once."""
        self._waiting.append((target, request, on_response))
        if self._timer is None:
            self._timer = self._reactor.callLater(APPEND_BATCH_DELAY if self._calls else 0, self._send)

    def _send(self):
        self._timer = None
        waiting, self._waiting = self._waiting, []
        while waiting:
            (target, size), batch = (waiting[0][0], 0), []
            while waiting and waiting[0][0] == target and (not batch or size + len(waiting[0][1]) <= SNAPSHOT_PART):
                batch.append(waiting.pop(0))
                size += len(batch[-1][1])
            self._call(*target, batch)

    def _call(self, address, voting_config_version, batch):
        self._calls += 1
        call = self._net.call(
            address,
            "acceptMany",
            CALL_TIME,
            to=self._voter_id,
            owner=self._net.node_id,
            voting_config_version=voting_config_version,
            steps=[request for _, request, _ in batch],
        )
        call.addCallbacks(self._answered, self._failed, callbackArgs=(batch,), errbackArgs=(batch,))

    def _answered(self, answers, batch):
        self._on_call_ended()
        for (_, _, on_response), response in zip(batch, answers):
            on_response(response, None)

    def _failed(self, failure, batch):
        self._on_call_ended()
        for _, _, on_response in batch:
            on_response(None, failure.value)

    def _on_call_ended(self):
        self._calls -= 1
        if self._calls == 0 and self._timer is not None:
            self._timer.cancel()
            self._send()


class Proposal:
    """One change, proposed to the voters of one voting configuration. `outcome` fires with (whether a majority has
    accepted it, errors by voter) once that is certain."""

    def __init__(self, voting_config, ends_at):
        self._voting_config, self.ends_at = voting_config, ends_at
        self._taken_by, self._pending, self._errors = set(), set(voting_config.all_members), {}
        self.outcome = defer.Deferred()

    def settle(self, node_id, error=None):
        """Counts the answer of a voter: it has the change on disk, or `error` is the reason why not. The outcome fires
        once no further answer can change it."""
        self._pending.discard(node_id)
        if error is not None:
            self._errors[node_id] = error
        else:
            self._taken_by.add(node_id)
        if self.outcome.called:
            return
        if error is None and self._voting_config.is_quorum(self._taken_by):
            self.outcome.callback((True, {}))
        elif error is not None and not self._voting_config.is_quorum(self._taken_by | self._pending):
            self.outcome.callback((False, dict(self._errors)))

    def unconfirmed_by(self):
        """Node ids of the voters that have not confirmed the change, in order."""
        return sorted(self._voting_config.all_members.keys() - self._taken_by)

    def fail(self, node_id, error):
        """Fails the proposal at once, regardless of the answers that are still pending."""
        if not self.outcome.called:
            self.outcome.callback((False, self._errors | {node_id: error}))


def _cost(key, value):
    """Upper bound of an entry's size in a message, in bytes."""
    return len(key) + len(value or b"") + ENTRY_OVERHEAD


NO_SNAPSHOT = 0, 0  # (epoch, sequence); no append request can follow it


@dataclass
class HigherPromise:
    """A voter's promise of an epoch above the leader's own, and the time (monotonic seconds) since which it is known."""

    epoch: int
    since: float


@dataclass
class VoterProgress:
    """What the leader of a shard knows about the replication to one voter.

    Invariants:
    - `base` is the newest (epoch, sequence) that the voter has confirmed, or the snapshot that the failover began with,
      or NO_SNAPSHOT while a snapshot is being transferred and neither it nor anything after it is confirmed;
    - `missing`, unless it is None, maps every key that has changed since `base` to its newest value. It may hold further
      keys: their newest values are correct for any state of the voter between `base` and the newest one;
    - `unanswered` counts the append requests proposed since the voter last confirmed one;
    - each Deferred in `waiting` fires once, as soon as the voter has the sequence that it waits for, or an update
      failed."""

    base: tuple
    missing: dict | None = None
    missing_size: int = 0
    floor: int = 0  # lowest sequence that may become `base`, since `missing` holds just the changes after it
    unanswered: int = 0
    is_updating: bool = False
    higher_promise: HigherPromise | None = None
    waiting: list = field(default_factory=list)

    def add(self, changes, limit):
        """Adds further changes to `missing`; beyond `limit` bytes a whole snapshot is no more expensive."""
        if self.missing is None:
            return
        for key, value in changes.items():
            if key in self.missing:
                self.missing_size -= _cost(key, self.missing[key])
            self.missing[key] = value
            self.missing_size += _cost(key, value)
        if self.missing_size > limit:
            self.stop_collecting()

    def stop_collecting(self):
        """Discards the collected changes, so that only a whole snapshot can update the voter."""
        self.missing, self.missing_size = None, 0

    def start_collecting(self):
        """Starts an empty collection of changes, for a voter that has or is about to receive the newest state."""
        self.missing, self.missing_size = {}, 0

    def begin_snapshot(self, sequence):
        """Collects changes from now on to follow the snapshot of this sequence, which is about to be sent. Confirmations
        of earlier sequences no longer count as a base."""
        self.base, self.floor = NO_SNAPSHOT, sequence
        self.start_collecting()

    def await_sequence(self, sequence):
        """A Deferred that fires once the voter has this sequence."""
        reached = defer.Deferred()
        self.waiting.append((sequence, reached))
        return reached

    def end_waiting(self, sequence, error=None):
        """Fires the Deferreds that wait for this sequence or an earlier one."""
        due = [reached for wanted, reached in self.waiting if wanted <= sequence]
        self.waiting = [(wanted, reached) for wanted, reached in self.waiting if wanted > sequence]
        for reached in due:
            if error is None:
                reached.callback(None)
            else:
                reached.errback(error)


class ShardProgress:
    """What the leader of one shard knows about the replication to its voters.

    Invariants: `newest` is the sequence that was proposed last, and `pending` its changes, which are not in the
    leader's entries until a majority has them."""

    def __init__(self, epoch):
        self._epoch = epoch
        self._voters = {}
        self.newest, self.pending = 0, {}
        self.newest_at_poll = 0

    def of(self, voter_id):
        return self._voters.setdefault(voter_id, VoterProgress(NO_SNAPSHOT))

    def note_proposal(self, sequence, changes, start, voter_ids, snapshot_size):
        """Records a change that is about to be proposed to these voters; the first one follows the snapshot `start`."""
        if sequence == self.newest:
            return  # the same change, proposed again under the next voting configuration
        if not self.newest:
            self._voters = {voter_id: VoterProgress(start, {}) for voter_id in voter_ids}
        limit = min(max(SNAPSHOT_PART, snapshot_size), UPDATE_LIMIT)
        for progress in self._voters.values():
            progress.add(changes, limit)
            progress.unanswered += 1
        self.newest, self.pending = sequence, changes

    def confirm(self, voter_id, sequence):
        """Records that the voter has this sequence on its disk."""
        progress = self.of(voter_id)
        if sequence >= progress.floor:
            progress.base = max(progress.base, (self._epoch, sequence))
        progress.higher_promise, progress.unanswered = None, 0
        if sequence == self.newest:
            progress.start_collecting()
        progress.end_waiting(sequence)

    def confirmed(self, voter_id):
        """The newest sequence that the voter is known to have, 0 for none."""
        epoch, sequence = self.of(voter_id).base
        return sequence if epoch == self._epoch else 0

    def is_behind(self, voter_id):
        """Whether the voter lacks a change that had already been proposed at the last poll."""
        return self.confirmed(voter_id) < self.newest_at_poll

    def is_stalled(self, voter_id):
        """Whether append requests are no longer sent to the voter one by one, since it would only receive them late and
        to no effect."""
        return self.is_behind(voter_id) and self.of(voter_id).unanswered > UNANSWERED_APPENDS

    def note_higher_promise(self, voter_id, epoch, now):
        """Records that the voter has promised this later epoch, and when this became known (monotonic seconds)."""
        known = self.of(voter_id).higher_promise
        if known is None or known.epoch != epoch:
            self.of(voter_id).higher_promise = HigherPromise(epoch, now)

    def is_superseded(self, voter_ids, now):
        """Whether one of these voters has been bound to a later epoch for more than SUPERSEDED_PATIENCE, without a leader
        serving under that epoch."""
        promises = [self.of(voter_id).higher_promise for voter_id in voter_ids]
        return any(one is not None and now - one.since > SUPERSEDED_PATIENCE for one in promises)


class VoterUpdates:
    """Brings voters that are behind up to date: a voter that refuses an append request because it lacks earlier changes,
    and at each poll the voters that have lacked something since the previous poll, so that they also catch up while no
    changes are made.

    Invariants: at most one update for each shard and voter is in progress, and at most one transfer of a long snapshot
    to each voter."""

    def __init__(self, leaders, node, on_epoch_superseded):
        """`on_epoch_superseded(shard, leader)` is called when a voter has promised a later epoch than the leader's."""
        self._leaders, self._net, self._log = leaders, node.net, node.log
        self._gossip_client, self._reactor, self._seconds = node.gossip_client, node.reactor, node.reactor.seconds
        self._on_epoch_superseded = on_epoch_superseded
        self._snapshot_locks = {}
        self.behind = 0  # pairs of a shard and a voter that lacked something at the last poll

    async def deliver(self, voter, change, response):
        """Returns once the voter has this change; `response` is its first response to it, or None if there was none.

        A voter that has the snapshot with which a failover begins needs nothing but the change.
        """
        leader, sequence, version = change.leader, change.sequence, change.voting_config_version
        if response is None or response.again:
            response = await self._append(voter, version, leader, sequence, change.changes.items(), base=change.start)
        if response.needs_snapshot:
            progress = leader.progress.of(voter.node_id)
            if progress.base in (
                change.start,
                (leader.epoch, sequence - 1),
            ):  # it lacks the state that the change follows
                progress.stop_collecting()
            await self._update_to(voter, version, leader, sequence)
            return
        self._record_response(voter, leader, sequence, response)

    async def await_update(self, voter, change):
        """Returns once an update has brought this change to a stalled voter."""
        if not self._gossip_client.has_replied_recently(voter.address):
            raise OutcomeUnknownError("the voter has not answered gossip requests recently")
        reached = self._update_to(voter, change.voting_config_version, change.leader, change.sequence)
        await within(self._reactor, CALL_TIME, reached, OutcomeUnknownError("the update of the voter timed out"))

    def poll(self, led, voters, voting_config_version):
        """Starts updates of the voters that are behind and answer gossip requests."""
        self.behind = 0
        for shard, leader in led.items():
            progress = leader.progress
            late = [voter for voter in voters if progress.is_behind(voter.node_id)]
            self.behind += len(late)
            for voter in late:
                if self._gossip_client.has_replied_recently(voter.address):
                    spawn(self._update_to(voter, voting_config_version, leader, progress.newest))
            progress.newest_at_poll = progress.newest
            if progress.is_superseded([voter.node_id for voter in voters], self._seconds()):
                self._on_epoch_superseded(shard, leader)

    async def _update_to(self, voter, voting_config_version, leader, sequence):
        progress = leader.progress.of(voter.node_id)
        reached = progress.await_sequence(sequence)
        if not progress.is_updating:
            spawn(self._update(voter, voting_config_version, leader, progress), self._log)
        await reached

    async def _update(self, voter, voting_config_version, leader, progress):
        """Updates the voter until it has all proposed changes; append requests follow its state from then on."""
        progress.is_updating = True
        error = QuorumUnavailableError("the update of this voter was interrupted")
        try:
            while leader.progress.confirmed(voter.node_id) < leader.progress.newest:
                if leader.ended:
                    raise NotShardLeaderError("this shard is moving to another leader")
                if progress.missing is None:
                    await self._send_snapshot(voter, voting_config_version, leader, progress)
                else:
                    await self._send_missing(voter, voting_config_version, leader, progress)
        except OakrampError as failed:
            error = failed
        finally:
            progress.is_updating = False
            progress.end_waiting(leader.progress.newest, error)

    async def _send_missing(self, voter, voting_config_version, leader, progress):
        """Sends all changes that the voter lacks in one merged append request."""
        sequence, changes = leader.progress.newest, dict(progress.missing)
        response = await self._append(
            voter, voting_config_version, leader, sequence, changes.items(), base=progress.base
        )
        if response.needs_snapshot:
            progress.stop_collecting()
            return
        self._record_response(voter, leader, sequence, response)

    async def _send_snapshot(self, voter, voting_config_version, leader, progress):
        """Sends long snapshots to a voter one at a time: if several were sent at once, each would exceed the time limit
        of a call."""
        if leader.size <= SNAPSHOT_PART:
            await self._transfer_snapshot(voter, voting_config_version, leader, progress)
            return
        lock = self._snapshot_locks.setdefault(voter.node_id, defer.DeferredLock())
        has_waited = lock.locked
        await lock.acquire()
        try:
            if has_waited and not self._gossip_client.has_replied_recently(voter.address):
                raise QuorumUnavailableError("the voter does not answer gossip requests")
            await self._transfer_snapshot(voter, voting_config_version, leader, progress)
        finally:
            lock.release()

    async def _transfer_snapshot(self, voter, voting_config_version, leader, progress):
        sequence, entries = leader.snapshot_with(leader.progress.newest, leader.progress.pending)
        progress.begin_snapshot(sequence)
        try:
            response = await self._send_snapshot_parts(voter, voting_config_version, leader, sequence, entries)
            if response.needs_snapshot:
                raise QuorumUnavailableError("the voter has lost parts of the snapshot")
            self._record_response(voter, leader, sequence, response)
        except OakrampError:
            progress.stop_collecting()
            raise
        self._log.info(
            "snapshot_sent", shard=leader.shard, voter=voter.node_id, sequence=sequence, entries=len(entries)
        )

    async def _send_snapshot_parts(self, voter, voting_config_version, leader, sequence, entries):
        """Sends the snapshot in parts, in the order of the keys: each attempt to send one snapshot then has the same
        parts, and a part of an earlier attempt that arrives late does no harm."""
        *parts, last = in_parts(sorted(entries.items()), SNAPSHOT_PART)
        for number, part in enumerate(parts):
            response = await self._call_voter(
                "stage", voter, voting_config_version, leader, sequence, part, part=number
            )
            if not response.taken:
                return response
        return await self._call_voter(
            "accept", voter, voting_config_version, leader, sequence, last, whole=True, parts=len(parts)
        )

    def _record_response(self, voter, leader, sequence, response):
        """Records the response of a voter that did not lack earlier changes."""
        if not response.taken:
            self._leaders.failover.note_epoch(leader.shard, response.promised_epoch or 0)
            leader.progress.note_higher_promise(voter.node_id, response.promised_epoch, self._seconds())
            raise QuorumUnavailableError("the voter has promised a later epoch")
        leader.progress.confirm(voter.node_id, sequence)

    def _append(self, voter, voting_config_version, leader, sequence, pairs, base):
        return self._call_voter(
            "accept",
            voter,
            voting_config_version,
            leader,
            sequence,
            pairs,
            whole=False,
            from_epoch=base[0],
            from_sequence=base[1],
        )

    def _call_voter(self, method, voter, voting_config_version, leader, sequence, pairs, **more):
        voter_id, address = voter
        return self._net.call(
            address,
            method,
            CALL_TIME,
            to=voter_id,
            shard=leader.shard,
            epoch=leader.epoch,
            owner=self._net.node_id,
            voting_config_version=voting_config_version,
            sequence=sequence,
            entries=[idl.Entry(key=key, value=value) for key, value in pairs],
            **more,
        )
