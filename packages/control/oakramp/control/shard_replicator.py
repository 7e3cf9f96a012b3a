"""Replication of a shard's changes: each is proposed to all voters and succeeds once a majority has it on disk."""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

from oakramp.common.constants import CALL_TIME, LEASE_RENEW, REPLICATION_SLOW
from oakramp.common.errors import NotFoundError, OakrampError
from oakramp.common.tasks import drive, sleep
from oakramp.control.prepare_phase import is_moving
from oakramp.control.replication import NO_SNAPSHOT, AppendBatcher, Proposal, ShardChange, VoterAddress, VoterUpdates
from oakramp.rpc.codec import idl, pack

if TYPE_CHECKING:
    from oakramp.control.leader_registry import LeaderRegistry
    from oakramp.control.shard_leader import ShardLeader
    from oakramp.control.voter import Voter
    from oakramp.gossip.node import Node

RETRY_PAUSE = LEASE_RENEW / 4  # s; until a voter that is still adopting this voting configuration is asked again


def entries_of(pairs: Iterable[tuple[str, bytes | None]]) -> list[Any]:
    """The (key, value) pairs as entries of a message; a value of None removes the key."""
    return [idl.Entry(key=key, value=value) for key, value in pairs]


@dataclass(frozen=True, slots=True)
class Append:
    """One change that is being sent to one voter; `packed` is the AppendEntries message."""

    voter: VoterAddress
    proposal: Proposal
    change: ShardChange
    packed: bytes


class ShardReplicator:
    """Replicates changes of the shards that this node leads to the voters, and updates voters that are behind."""

    def __init__(
        self,
        node: Node,
        voter: Voter,
        registry: LeaderRegistry,
        on_epoch_superseded: Callable[[int, ShardLeader], None],
    ) -> None:
        """`on_epoch_superseded(shard, leader)` is called once a voter has promised a later epoch that nobody serves."""
        self._reactor = node.reactor
        self._node = node
        self._voter = voter
        self._registry = registry
        self._batchers: dict[str, AppendBatcher] = {}  # by the voter's node id
        self._updates = VoterUpdates(registry, node, on_epoch_superseded)

    async def replicate(
        self,
        leader: ShardLeader,
        sequence: int,
        changes: dict[str, bytes | None],
        start: tuple[int, int] = NO_SNAPSHOT,
    ) -> bool:
        """Replicates one change, which follows the snapshot `start` (epoch, sequence) where a failover begins.

        While voters change from one voting configuration to the next, the same change is proposed again; a voter that
        already has it confirms it.

        Returns:
            whether a majority has it on disk, all under one voting configuration. If not, a minority may have it, and
            the outcome is unknown.
        """
        began_at = self._reactor.seconds()
        ends_at = began_at + CALL_TIME
        while True:
            voting_config = self._voter.voting_config
            change = ShardChange(leader, voting_config.version, sequence, changes, start)
            proposal = Proposal(voting_config, ends_at)
            reached, errors = await self._propose(proposal, change, voting_config.all_members)
            self._log_if_slow(leader, proposal, began_at)
            if reached:
                leader.voting_config_version = voting_config.version
                return True
            if leader.ended or not any(map(is_moving, errors.values())) or self._reactor.seconds() >= ends_at:
                return False
            await sleep(self._reactor, RETRY_PAUSE)

    def _log_if_slow(self, leader: ShardLeader, proposal: Proposal, began_at: float) -> None:
        took_s = self._reactor.seconds() - began_at
        if took_s >= REPLICATION_SLOW:
            self._node.log.info(
                "replication_slow",
                shard=leader.shard,
                epoch=leader.epoch,
                took_s=round(took_s, 3),
                without=",".join(proposal.unconfirmed_by()),
            )

    async def update_voters(self) -> None:
        """Starts updates of the voters that lack changes."""
        if self._registry.active:
            self._updates.poll(dict(self._registry.active), self._voters(), self._voter.voting_config.version)

    @property
    def voters_behind(self) -> int:
        """Voters that lacked changes at the last poll, counted once for each shard that this node leads."""
        return self._updates.behind if self._registry.active else 0

    def _voters(self) -> list[VoterAddress]:
        return [VoterAddress(*pair) for pair in self._registry.voter_addresses().items()]

    def _propose(self, proposal: Proposal, change: ShardChange, voter_ids: Iterable[str]) -> Deferred:
        leader, start = change.leader, change.start
        leader.progress.note_proposal(change.sequence, change.changes, start, voter_ids, leader.size)
        packed = pack(
            idl.AppendEntries(
                shard=leader.shard,
                epoch=leader.epoch,
                sequence=change.sequence,
                entries=entries_of(change.changes.items()),
                from_epoch=start[0],
                from_sequence=start[1],
            )
        )
        for voter in self._voters():
            self._send(Append(voter, proposal, change, packed))
        return proposal.outcome

    def _send(self, append: Append) -> None:
        node_id, address = append.voter
        if append.change.leader.progress.is_stalled(node_id):
            self._finish_after(self._updates.await_update(append.voter, append.change), append)
            return
        if node_id not in self._batchers:
            self._batchers[node_id] = AppendBatcher(self._node.net, self._reactor, node_id)
        target = address, append.change.voting_config_version
        self._batchers[node_id].put(target, append.packed, partial(self._on_response, append))

    def _on_response(self, append: Append, response: Any, error: OakrampError | None) -> None:
        if error is None and response.taken:
            append.change.leader.progress.confirm(append.voter.node_id, append.change.sequence)
            append.proposal.settle(append.voter.node_id)
        elif response is None and not isinstance(error, NotFoundError):
            self._on_error(append, error)
        else:  # the voter lacks changes, is busy with this shard, or runs a release without batched append requests
            self._finish_after(self._updates.deliver(append.voter, append.change, response), append)

    def _finish_after(self, update: Coroutine[Any, Any, None], append: Append) -> None:
        """Counts the voter's answer once the update that brings it this change has ended."""

        def on_end(_result: None, error: OakrampError | None) -> None:
            if error is None:
                append.proposal.settle(append.voter.node_id)
            else:
                self._on_error(append, error)

        drive(update, on_end)

    def _on_error(self, append: Append, error: OakrampError | None) -> None:
        """Counts a failure, unless the voter is only adopting another voting configuration: then it is asked again.

        It is asked again on its own: a new proposal to all voters would have to wait for the answers of dead ones.
        """
        if is_moving(error):
            self._reactor.callLater(RETRY_PAUSE, self._send_again, append, error)
        else:
            append.proposal.settle(append.voter.node_id, error)

    def _send_again(self, append: Append, error: OakrampError | None) -> None:
        proposal, change = append.proposal, append.change
        if proposal.outcome.called:
            return
        if change.voting_config_version != self._voter.voting_config.version:
            proposal.fail(append.voter.node_id, error)  # `replicate` proposes it again under the next configuration
        elif change.leader.ended or self._reactor.seconds() >= proposal.ends_at:
            proposal.settle(append.voter.node_id, error)
        else:
            self._send(append)
