"""The shards that this node leads, and the calls that other nodes make to their leaders."""

from __future__ import annotations

import json
from collections.abc import Container, Mapping
from functools import partial
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

from oakramp.common.constants import (
    CALL_TIME,
    DEFERRED_COMMAND_SHARE,
    FAILOVER_POLL,
    FORWARD_CALL_TIME,
    FULL_RETRY_AFTER,
    LEADER_CLEANUP_PAUSE,
    LEASE_RENEW,
    SETTLE_BOUND,
    VOTERS_POLL,
    VOTING_CONFIG_HEARD,
)
from oakramp.common.errors import NotShardLeaderError, OakrampError, StorageFullError
from oakramp.common.tasks import Repeater, sleep, spawn
from oakramp.common.validation import pack_json
from oakramp.control.command_context import CommandContext
from oakramp.control.failover import Failover
from oakramp.control.lease import LeaseRenewer
from oakramp.control.publication import Publisher
from oakramp.control.quorum_contact import QuorumContact
from oakramp.control.shard_replicator import ShardReplicator
from oakramp.control.shards import shard_of_key

if TYPE_CHECKING:
    from oakramp.control.shard_leader import ShardLeader
    from oakramp.control.voter import Voter
    from oakramp.gossip.node import Node

HAND_OVER_POLLS = 20  # failover polls; how long a planned stop waits for others to take its shards over


class LeaderRegistry:
    """Holds the leaders on this node, and runs the periodic tasks that they need.

    `active` maps a shard to its leader on this node. Only `failover` adds leaders, and `retract` removes a leader that
    has ended. Leases, replication and publication are separate components.
    """

    def __init__(self, node: Node, voter: Voter) -> None:
        self.reactor = node.reactor
        self.log = node.log
        self._node = node
        self._voter = voter
        self.active: dict[int, ShardLeader] = {}
        bounds = node.env.get("bounds") or {}
        self.deferral_s = DEFERRED_COMMAND_SHARE * bounds.get("settle_s", SETTLE_BOUND)
        self.contact = QuorumContact(node.reactor, node.log)
        self.publisher = Publisher(node)
        self.leases = LeaseRenewer(node, voter, self)
        self.failover = Failover(node, voter, self)
        self.replicator = ShardReplicator(node, voter, self, self.failover.on_epoch_superseded)
        self._failover_task = Repeater(node.reactor, FAILOVER_POLL, self.failover.poll, node.log)
        self._renewal_task = Repeater(node.reactor, LEASE_RENEW, self.leases.renew, node.log)
        self._cleanup_task = Repeater(node.reactor, LEADER_CLEANUP_PAUSE, self._cleanup, node.log)
        self._update_task = Repeater(node.reactor, VOTERS_POLL, self.replicator.update_voters, node.log)
        self._is_poll_scheduled = self._is_stopping = False
        node.net.handle("ownerCall", self._serve_call)

    def start(self) -> None:
        """Starts the periodic tasks."""
        self._node.gossip_client.on_contact.add(self._poll_failover_soon)
        for task in (self._failover_task, self._renewal_task, self._cleanup_task, self._update_task):
            task.start()

    def _poll_failover_soon(self) -> None:
        """Schedules a failover poll at once when contact with a node is established: there may be a majority now, and
        no shard should have to wait for the next periodic poll."""
        if not self._is_poll_scheduled:
            self._is_poll_scheduled = True
            self.reactor.callLater(0, self._poll_failover_now)

    def _poll_failover_now(self) -> None:
        self._is_poll_scheduled = False
        if not self._is_stopping:
            spawn(self.failover.poll(), self.log)

    async def stop(self) -> None:
        """Waits for other nodes to request the release of the shards, then ends the leaders that are left.

        The shards of these leaders are taken over once their lease has expired.
        """
        self._is_stopping = True
        for task in (self._failover_task, self._cleanup_task, self._update_task):
            task.stop()
        for _ in range(HAND_OVER_POLLS):
            if not self.active:
                break
            await sleep(self.reactor, FAILOVER_POLL)
        for leader in list(self.active.values()):
            leader.end()
        self._renewal_task.stop()

    def context_for(self, leader: ShardLeader) -> CommandContext:
        """Returns the context of the leader's next batch of commands."""
        return CommandContext(
            self.reactor.seconds(),
            self._node.members,
            leader.local_state,
            self._voter.voting_config,
            self._node.state_table,
            self._node.env.get("bounds"),
            self.contact,
            partial(self.reject_if_full, leader),
        )

    def voter_addresses(self) -> dict[str, str]:
        """The address of each voter by node id: the one that the member announces, if it is known, or else the one in
        the voting configuration."""
        addresses = {}
        for node_id, configured in self._voter.voting_config.all_members.items():
            member = self._node.members.find(node_id)
            addresses[node_id] = member.peer if member else configured
        return addresses

    def ask_voters(
        self, method: str, voter_ids: Container[str], time_left: float = CALL_TIME, **arguments: Any
    ) -> dict[str, Deferred]:
        """Calls a method of these voters within `time_left` seconds.

        Returns:
            a Deferred for the response of each voter, by node id.
        """
        return {
            node_id: self._node.net.call(
                address,
                method,
                time_left,
                voting_config_version=self._voter.voting_config.version,
                owner=self._node.node_id,
                to=node_id,
                **arguments,
            )
            for node_id, address in self.voter_addresses().items()
            if node_id in voter_ids
        }

    def reject_if_full(self, leader: ShardLeader) -> None:
        """Rejects a command that would grow the state when its capacity is used up, before the command runs.

        The limits leave enough capacity for the operations that are already open to end.

        Raises:
            StorageFullError: this shard, or the whole control state, has reached its limit.
        """
        if leader.size > self._voter.shard_limit():
            raise StorageFullError(
                f"shard {leader.shard} of the control state is full; end programs, or use names in other shards",
                retry_after=FULL_RETRY_AFTER,
            )
        if self._voter.is_full():
            raise StorageFullError("the control state is full; end programs", retry_after=FULL_RETRY_AFTER)

    def reject_if_not_installable(self, leader: ShardLeader, changes: Mapping[str, bytes | None]) -> None:
        """Rejects changes after which a voter could not store a new snapshot of the shard beside the present one.

        Raises:
            StorageFullError: a voter could not install such a snapshot.
        """
        growth = leader.growth(changes)
        if growth > 0 and not self._voter.has_room(growth, leader.size + growth, len(leader.entries) + len(changes)):
            raise StorageFullError(
                f"a second snapshot of shard {leader.shard} would not fit on a voter's disk; remove something first"
            )

    def retract(self, leader: ShardLeader) -> None:
        """Removes a leader that has ended, and stops publishing its sources."""
        if self.active.get(leader.shard) is leader:
            del self.active[leader.shard]
        self.publisher.retract(leader)

    async def call(self, key: str, command: str, arguments: dict[str, Any]) -> Any:
        """Runs a command on a key whose shard this node leads.

        Raises:
            NotShardLeaderError: this node does not lead the shard; `detail` is the address of the known leader, or
                None.
        """
        shard = shard_of_key(key)
        leader = self.active.get(shard)
        if leader is None:
            known = self.failover.known_leader(shard)
            raise NotShardLeaderError(f"shard {shard} is not led by this node", detail=known and known.address)
        return await leader.do(key, command, arguments)

    async def _serve_call(self, _peer: Any, arguments: Any) -> str:
        try:
            answer = await self.call(arguments.key, arguments.command, json.loads(arguments.arguments_json))
            return pack_json(answer).decode()
        except NotShardLeaderError as error:
            leader_address = error.detail
            if not arguments.onward or not self._answers_lately(leader_address):
                raise
        return await self._node.net.call(
            leader_address,
            "ownerCall",
            FORWARD_CALL_TIME,
            key=arguments.key,
            command=arguments.command,
            arguments_json=arguments.arguments_json,
        )

    def _answers_lately(self, address: str | None) -> bool:
        if address in (None, self._node.net.address):
            return False
        return self._node.gossip_client.has_replied_recently(address, VOTING_CONFIG_HEARD)

    async def _cleanup(self) -> None:
        """Removes expired entries of each shard: one page of its keys, as one command."""
        for leader in list(self.active.values()):
            if not leader.holds_lease():
                continue
            try:
                failed = await leader.cleanup()
            except OakrampError as error:
                self.log.warning("cleanup_failed", shard=leader.shard, reason=str(error))
                continue
            for key, cause in failed:
                self.log.warning("cleanup_failed", shard=leader.shard, key=key, reason=str(cause))
