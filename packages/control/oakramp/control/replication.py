"""The way of a leader's steps to the voters.

A leader of several shards writes to each of them by itself, but to the same five disks. What is on its way to one
voter at the same time goes in one call, is committed there at once and is answered for each shard by itself.

A voter that is behind is updated beside the steps (`VoterUpdates`), by one transfer at a time for each shard: what
changed since the state that it is known to have, as one merged step, or else the whole snapshot. What changes during
the transfer of a snapshot is gathered and follows it as a merged step, so a slow transfer is never begun anew for a
change.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from twisted.internet import defer

from oakramp.common.constants import (
    CALL_TIME,
    OUTRANKED_PATIENCE,
    SNAPSHOT_PART,
    STEP_PAUSE,
    UNANSWERED_STEPS,
    UPDATE_LIMIT,
)
from oakramp.common.errors import NotShardLeaderError, OakrampError, OutcomeUnknownError, QuorumUnavailableError
from oakramp.common.tasks import spawn, within
from oakramp.control.shards import ENTRY_COST, in_parts
from oakramp.rpc.codec import idl

if TYPE_CHECKING:
    from oakramp.control.shard_leader import ShardLeader


class VoterAddress(NamedTuple):
    """A voter and where it listens."""

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
    """Steps on their way to one voter. Invariant: while any waits, a timer is set, or a call is under way whose end
    sends it; none waits longer than STEP_PAUSE."""

    def __init__(self, net, reactor, voter_id):
        self._net, self._reactor, self._voter_id = net, reactor, voter_id
        self._waiting = []
        self._calls = 0
        self._timer = None

    def put(self, target, step, ended):
        """`target` is (address, voting configuration version); `ended(taken, error)` is called once."""
        self._waiting.append((target, step, ended))
        if self._timer is None:
            self._timer = self._reactor.callLater(STEP_PAUSE if self._calls else 0, self._send)

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
            steps=[step for _, step, _ in batch],
        )
        call.addCallbacks(self._answered, self._failed, callbackArgs=(batch,), errbackArgs=(batch,))

    def _answered(self, answers, batch):
        self._freed()
        for (_, _, ended), taken in zip(batch, answers):
            ended(taken, None)

    def _failed(self, failure, batch):
        self._freed()
        for _, _, ended in batch:
            ended(None, failure.value)

    def _freed(self):
        self._calls -= 1
        if self._calls == 0 and self._timer is not None:
            self._timer.cancel()
            self._send()


class Proposal:
    """One step, offered to the voters of one voting configuration. `outcome` fires with (whether a majority has it,
    errors by voter) once that is certain."""

    def __init__(self, voting_config, ends_at):
        self._voting_config, self.ends_at = voting_config, ends_at
        self._taken_by, self._pending, self._errors = set(), set(voting_config.everyone), {}
        self.outcome = defer.Deferred()

    def settle(self, node_id, error=None):
        """Counts the answer of a voter: it has the change on disk, or `error` says why not. The outcome fires once no
        further answer can alter it."""
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

    def without(self):
        """Node ids of the voters that have not confirmed the change, in order."""
        return sorted(self._voting_config.everyone.keys() - self._taken_by)

    def give_up(self, node_id, error):
        """Nothing can come of it any more, whatever the others will say."""
        if not self.outcome.called:
            self.outcome.callback((False, self._errors | {node_id: error}))


def _cost(key, value):
    """Bytes of an entry in a message, at most."""
    return len(key) + len(value or b"") + ENTRY_COST


NO_SNAPSHOT = 0, 0  # (epoch, sequence); no step follows on it


@dataclass
class HigherPromise:
    """A voter's promise of an epoch above the leader's own, and since when it is known."""

    epoch: int
    since: float


@dataclass
class VoterProgress:
    """What the leader of a shard knows of one voter. Invariants:
    - `base` is the newest (epoch, sequence) that the voter has confirmed, or the snapshot that the failover began with,
      or
      NO_IMAGE while a snapshot is on its way and nothing of it or after it is confirmed;
    - `missing`, unless it is None, holds every key that has changed since `base`, with its newest value. It may hold
      further keys: their newest values do no harm, wherever between `base` and the newest state the voter is;
    - `unanswered` counts the steps offered since the voter last confirmed one;
    - each one in `waiting` is told once, as soon as the voter has the sequence that it waits for, or an update
      failed."""

    base: tuple
    missing: dict | None = None
    missing_size: int = 0
    floor: int = 0  # sequence; confirmations of earlier ones are no base, as `missing` holds what changed after it
    unanswered: int = 0
    is_updating: bool = False
    outranked: HigherPromise | None = None
    waiting: list = field(default_factory=list)

    def add(self, changes, most):
        """Further changes; past `most` bytes a whole snapshot is as cheap."""
        if self.missing is None:
            return
        for key, value in changes.items():
            if key in self.missing:
                self.missing_size -= _cost(key, self.missing[key])
            self.missing[key] = value
            self.missing_size += _cost(key, value)
        if self.missing_size > most:
            self.forget_missing()

    def forget_missing(self):
        """From here on only a whole snapshot will do."""
        self.missing, self.missing_size = None, 0

    def gather_anew(self):
        """What changes from now on follows the newest state, which the voter has."""
        self.missing, self.missing_size = {}, 0

    def begin_snapshot(self, sequence):
        """What changes from now on follows the snapshot of this sequence, which is about to be sent. What is confirmed
        of before it is no base any more."""
        self.base, self.floor = NO_SNAPSHOT, sequence
        self.gather_anew()

    def until(self, sequence):
        """Fires once the voter has this sequence."""
        reached = defer.Deferred()
        self.waiting.append((sequence, reached))
        return reached

    def end_waiting(self, sequence, error=None):
        """Tells those who wait for at most this sequence."""
        ended = [reached for wanted, reached in self.waiting if wanted <= sequence]
        self.waiting = [(wanted, reached) for wanted, reached in self.waiting if wanted > sequence]
        for reached in ended:
            if error is None:
                reached.callback(None)
            else:
                reached.errback(error)


class ShardProgress:
    """What the leader of one shard knows of its voters. Invariants: `newest` is the sequence that was offered last, and
    `pending` its changes, which are not among the leader's entries until a majority has them."""

    def __init__(self, epoch):
        self._epoch = epoch
        self._voters = {}
        self.newest, self.pending = 0, {}
        self.newest_at_poll = 0

    def of(self, voter_id):
        return self._voters.setdefault(voter_id, VoterProgress(NO_SNAPSHOT))

    def offer(self, sequence, changes, start, voter_ids, snapshot_size):
        """A step that is about to be given to these voters; the first one follows the snapshot `start`."""
        if sequence == self.newest:
            return  # the same step, under the next voting configuration
        if not self.newest:
            self._voters = {voter_id: VoterProgress(start, {}) for voter_id in voter_ids}
        most = min(max(SNAPSHOT_PART, snapshot_size), UPDATE_LIMIT)
        for progress in self._voters.values():
            progress.add(changes, most)
            progress.unanswered += 1
        self.newest, self.pending = sequence, changes

    def confirm(self, voter_id, sequence):
        """The voter has this sequence on its disk."""
        progress = self.of(voter_id)
        if sequence >= progress.floor:
            progress.base = max(progress.base, (self._epoch, sequence))
        progress.outranked, progress.unanswered = None, 0
        if sequence == self.newest:
            progress.gather_anew()
        progress.end_waiting(sequence)

    def confirmed(self, voter_id):
        """The newest sequence that the voter is known to have, 0 for none."""
        epoch, sequence = self.of(voter_id).base
        return sequence if epoch == self._epoch else 0

    def is_behind(self, voter_id):
        """Whether the voter lacks what was the newest at the last look already."""
        return self.confirmed(voter_id) < self.newest_at_poll

    def is_stalled(self, voter_id):
        """Whether steps are not sent to the voter one by one any more, as it would have to take them in later in vain."""
        return self.is_behind(voter_id) and self.of(voter_id).unanswered > UNANSWERED_STEPS

    def outrank(self, voter_id, epoch, now):
        """Notes that the voter has promised this later epoch, and since when (monotonic seconds)."""
        known = self.of(voter_id).outranked
        if known is None or known.epoch != epoch:
            self.of(voter_id).outranked = HigherPromise(epoch, now)

    def is_outranked(self, voter_ids, now):
        """Whether one of these voters has stood by a later epoch for long, under which nobody came to serve."""
        found = [self.of(voter_id).outranked for voter_id in voter_ids]
        return any(one is not None and now - one.since > OUTRANKED_PATIENCE for one in found)


class VoterUpdates:
    """Brings voters that are behind up to date: those that refuse a step for want of what is before it, and at each
    look those that have lacked something since the look before, so that a system in which nothing changes heals as
    well.

    Invariants: at most one update for each shard and voter is under way, and at most one snapshot to each voter."""

    def __init__(self, leaders, node, on_epoch_superseded):
        """`on_epoch_superseded(shard, epoch)` is told of a voter that has promised a later epoch than this leader's."""
        self._owners, self._net, self._log = leaders, node.net, node.log
        self._gossip_client, self._reactor, self._seconds = node.gossip_client, node.reactor, node.reactor.seconds
        self._on_epoch_superseded = on_epoch_superseded
        self._snapshot_locks = {}
        self.behind = 0  # shards and voters; that lacked something at the last look

    async def give(self, voter, change, response):
        """Returns once the voter has this change; `response` is its first answer to it, or None if it gave none.

        A voter that has the snapshot with which a failover begins needs nothing more.
        """
        owner, sequence, version = change.leader, change.sequence, change.voting_config_version
        if response is None or response.again:
            response = await self._accept(voter, version, owner, sequence, change.changes.items(), base=change.start)
        if response.needs_snapshot:
            progress = owner.progress.of(voter.node_id)
            if progress.base in (change.start, (owner.epoch, sequence - 1)):  # it lacks even what this change follows
                progress.forget_missing()
            await self._reach(voter, version, owner, sequence)
            return
        self._note(voter, owner, sequence, response)

    async def await_update(self, voter, change):
        """Returns once a stalled voter has this change by its update."""
        if not self._gossip_client.answers_lately(voter.address):
            raise OutcomeUnknownError("the voter has not answered lately")
        reached = self._reach(voter, change.voting_config_version, change.leader, change.sequence)
        await within(self._reactor, CALL_TIME, reached, OutcomeUnknownError("the update of the voter takes long"))

    def poll(self, held, voters, voting_config_version):
        """Starts updates of those who are behind and answer."""
        self.behind = 0
        for shard, owner in held.items():
            progress = owner.progress
            late = [voter for voter in voters if progress.is_behind(voter.node_id)]
            self.behind += len(late)
            for voter in late:
                if self._gossip_client.answers_lately(voter.address):
                    spawn(self._reach(voter, voting_config_version, owner, progress.newest))
            progress.newest_at_poll = progress.newest
            if progress.is_outranked([voter.node_id for voter in voters], self._seconds()):
                self._on_epoch_superseded(shard, owner)

    async def _reach(self, voter, voting_config_version, owner, sequence):
        progress = owner.progress.of(voter.node_id)
        reached = progress.until(sequence)
        if not progress.is_updating:
            spawn(self._update(voter, voting_config_version, owner, progress), self._log)
        await reached

    async def _update(self, voter, voting_config_version, owner, progress):
        """Until the voter has all that was offered: from then on steps follow on what it has."""
        progress.is_updating = True
        error = QuorumUnavailableError("the update of this voter was broken off")
        try:
            while owner.progress.confirmed(voter.node_id) < owner.progress.newest:
                if owner.ended:
                    raise NotShardLeaderError("this slot is changing hands")
                if progress.missing is None:
                    await self._send_snapshot(voter, voting_config_version, owner, progress)
                else:
                    await self._send_missing(voter, voting_config_version, owner, progress)
        except OakrampError as failed:
            error = failed
        finally:
            progress.is_updating = False
            progress.end_waiting(owner.progress.newest, error)

    async def _send_missing(self, voter, voting_config_version, owner, progress):
        """All that the voter lacks as one step."""
        sequence, changes = owner.progress.newest, dict(progress.missing)
        taken = await self._accept(voter, voting_config_version, owner, sequence, changes.items(), base=progress.base)
        if taken.needs_snapshot:
            progress.forget_missing()
            return
        self._note(voter, owner, sequence, taken)

    async def _send_snapshot(self, voter, voting_config_version, owner, progress):
        """One long snapshot to a voter at a time: many at once would each take longer than a call may."""
        if owner.size <= SNAPSHOT_PART:
            await self._transfer_snapshot(voter, voting_config_version, owner, progress)
            return
        lock = self._snapshot_locks.setdefault(voter.node_id, defer.DeferredLock())
        has_waited = lock.locked
        await lock.acquire()
        try:
            if has_waited and not self._gossip_client.answers_lately(voter.address):
                raise QuorumUnavailableError("the voter does not answer")
            await self._transfer_snapshot(voter, voting_config_version, owner, progress)
        finally:
            lock.release()

    async def _transfer_snapshot(self, voter, voting_config_version, owner, progress):
        sequence, entries = owner.snapshot_with(owner.progress.newest, owner.progress.pending)
        progress.begin_snapshot(sequence)
        try:
            taken = await self._give_snapshot(voter, voting_config_version, owner, sequence, entries)
            if taken.needs_snapshot:
                raise QuorumUnavailableError("the voter has lost parts of the image")
            self._note(voter, owner, sequence, taken)
        except OakrampError:
            progress.forget_missing()
            raise
        self._log.info("snapshot_sent", shard=owner.shard, voter=voter.node_id, sequence=sequence, entries=len(entries))

    async def _give_snapshot(self, voter, voting_config_version, owner, sequence, entries):
        """In the order of the keys: so each try at one snapshot has the same parts, and none is mixed up with a late
        one."""
        *parts, last = in_parts(sorted(entries.items()), SNAPSHOT_PART)
        for number, part in enumerate(parts):
            taken = await self._give("stage", voter, voting_config_version, owner, sequence, part, part=number)
            if not taken.taken:
                return taken
        return await self._give(
            "accept", voter, voting_config_version, owner, sequence, last, whole=True, parts=len(parts)
        )

    def _note(self, voter, owner, sequence, taken):
        """Takes in what a voter answered that did not lack anything."""
        if not taken.taken:
            self._owners.failover.note_epoch(owner.shard, taken.promised_epoch or 0)
            owner.progress.outrank(voter.node_id, taken.promised_epoch, self._seconds())
            raise QuorumUnavailableError("the voter has promised a later epoch")
        owner.progress.confirm(voter.node_id, sequence)

    def _accept(self, voter, voting_config_version, owner, sequence, pairs, base):
        return self._give(
            "accept",
            voter,
            voting_config_version,
            owner,
            sequence,
            pairs,
            whole=False,
            from_epoch=base[0],
            from_sequence=base[1],
        )

    def _give(self, method, voter, voting_config_version, owner, sequence, pairs, **more):
        voter_id, address = voter
        return self._net.call(
            address,
            method,
            CALL_TIME,
            to=voter_id,
            shard=owner.shard,
            epoch=owner.epoch,
            owner=self._net.node_id,
            voting_config_version=voting_config_version,
            sequence=sequence,
            entries=[idl.Entry(key=key, value=value) for key, value in pairs],
            **more,
        )
