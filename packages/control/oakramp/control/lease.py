"""Leases of shard leaders: confirmed by a majority of voters, renewed by calls or along with gossip requests.

A lease runs from the moment at which the voters were asked, on the monotonic clock of the process that asked. So a slow
answer, or a process that was frozen meanwhile, can only make a lease end sooner.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Collection, Iterable
from typing import TYPE_CHECKING, Any

from oakramp.common.constants import LEASE, LEASE_FRESH, LEASE_HELD
from oakramp.common.tasks import spawn
from oakramp.rpc.codec import idl

if TYPE_CHECKING:
    from oakramp.control.leader_registry import LeaderRegistry
    from oakramp.control.shard_leader import ShardLeader
    from oakramp.control.voter import Voter
    from oakramp.control.voting_configuration import VotingConfiguration
    from oakramp.gossip.node import Node


class LeaseRound:
    """One request to all voters to confirm the leases of some shard leaders.

    Invariant: `_confirmed_by` holds, for each shard whose lease no majority has confirmed yet, the voters that
    confirmed it after `asked_at` (monotonic seconds).
    """

    def __init__(self, leaders: dict[int, ShardLeader], voting_config: VotingConfiguration, asked_at: float) -> None:
        self.leaders = leaders
        self.voting_config = voting_config
        self.asked_at = asked_at
        self._confirmed_by: dict[int, set[str]] = {shard: set() for shard in leaders}

    def count_confirmations(self, node_id: str, shards: set[int]) -> None:
        """Counts a voter's confirmation of these shards; once a majority has confirmed, extends the leader's lease."""
        for shard in shards & self._confirmed_by.keys():
            self._confirmed_by[shard].add(node_id)
            if self.voting_config.is_quorum(self._confirmed_by[shard]):
                self.leaders[shard].extend_lease(self.asked_at + LEASE_HELD)
                del self._confirmed_by[shard]


class LeaseRenewalPiggyback:
    """Sends lease renewals along with this node's gossip requests to voters.

    Nothing waits for the outcome: a lease that is not confirmed this way, for whatever reason, is renewed by a separate
    call at the next renewal (`LeaseRenewer.renew`).
    """

    def __init__(self, registry: LeaderRegistry, node: Node) -> None:
        self._registry = registry
        self._node = node
        self._round: LeaseRound | None = None
        self._voters: dict[str, str] = {}  # address -> node id

    def begin_round(self) -> None:
        """Starts a round for all leaders of this node, and asks this node's own voter at once."""
        self._round, self._voters = self._registry.leases.begin_round(), {}
        if self._round is None:
            return
        own_id = self._node.node_id
        self._voters = {
            address: node_id for node_id, address in self._registry.voter_addresses().items() if node_id != own_id
        }
        self._registry.leases.confirm_at(self._round, [own_id])

    def renewal_for(self, address: str) -> tuple[Any, Callable[[Iterable[int]], None]] | None:
        """The renewal for the voter at this address, and a callback for the shards that it confirms; None if there is
        no voter at this address."""
        node_id, round_ = self._voters.get(address), self._round
        if node_id is None or round_ is None:
            return None
        renewal = idl.LeaseRenewal(
            voter=node_id,
            voting_config_version=round_.voting_config.version,
            shards=list(round_.leaders),
            epochs=[leader.epoch for leader in round_.leaders.values()],
        )
        return renewal, lambda shards: round_.count_confirmations(node_id, set(shards))


class LeaseRenewer:
    """Keeps the leases of the shards that this node leads confirmed by a majority of the voters."""

    def __init__(self, node: Node, voter: Voter, registry: LeaderRegistry) -> None:
        self._reactor = node.reactor
        self._log = node.log
        self._voter = voter
        self._registry = registry

    async def renew(self) -> None:
        """Starts one round of confirmations, and ends leaders whose lease expired more than LEASE seconds ago.

        Each answer counts when it arrives, so a slow voter delays neither the others nor the next round.
        """
        now = self._reactor.seconds()
        for shard, leader in list(self._registry.active.items()):
            if now > leader.lease_until + LEASE:
                self._log.warning("lease_lost", shard=shard, epoch=leader.epoch)
                leader.end()
        # A lease that lasts at least until then was just renewed along with gossip requests and needs no call.
        fresh_until = now + LEASE_HELD - LEASE_FRESH
        if any(leader.lease_until < fresh_until for leader in self._registry.active.values()):
            self.confirm(dict(self._registry.active))
        for leader in self._registry.active.values():
            if leader.voting_config_version < self._voter.voting_config.version:
                leader.replicate_again()

    def begin_round(self) -> LeaseRound | None:
        """A round for all shards that this node leads; None if it leads none."""
        if not self._registry.active:
            return None
        return LeaseRound(dict(self._registry.active), self._voter.voting_config, self._reactor.seconds())

    def confirm(self, leaders: dict[int, ShardLeader]) -> None:
        """Asks all voters to confirm the leases of these leaders."""
        if leaders:
            round_ = LeaseRound(leaders, self._voter.voting_config, self._reactor.seconds())
            self.confirm_at(round_, round_.voting_config.all_members)

    def confirm_at(self, round_: LeaseRound, voter_ids: Collection[str]) -> None:
        """Asks each of these voters to confirm, in a separate call."""
        leases = [idl.ShardEpoch(shard=shard, epoch=leader.epoch) for shard, leader in round_.leaders.items()]

        async def ask(node_id: str, response: Awaitable[Any]) -> None:
            round_.count_confirmations(node_id, {lease.shard for lease in await response})

        for node_id, response in self._registry.ask_voters("confirm", voter_ids, leases=leases).items():
            spawn(ask(node_id, response))
