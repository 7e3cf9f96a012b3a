"""Hands the shard of a task over to a node that can reach the platform when the shard's leader can not.

A leader's lease says nothing about its connection to the platform. Safety does not depend on whether a node accepts the
shard: it takes it over by an ordinary failover, which asks the leader to release it.
"""

from __future__ import annotations

from functools import cached_property
from typing import TYPE_CHECKING, Any

from oakramp.common.constants import FENCED_DECLINED, FENCED_OFFER_TIME, FENCED_OFFERS, FENCED_PROBE_TIME
from oakramp.common.errors import OakrampError

if TYPE_CHECKING:
    from oakramp.common.http_client import HttpClient
    from oakramp.control.leader_registry import LeaderRegistry
    from oakramp.gossip.node import Node


class ShardHandOver:
    """Offers this node's shards to other voters, and accepts theirs if this node can reach the platform."""

    def __init__(self, node: Node, leaders: LeaderRegistry) -> None:
        self._node = node
        self._leaders = leaders
        node.net.handle("shardOffer", self._serve_offer)

    @cached_property
    def _client(self) -> HttpClient:
        """The client that probes the platform; imported and created when the first offer is received."""
        from oakramp.common.http_client import HttpClient

        return HttpClient(self._node.reactor, self._node.env["http"].rpartition(":")[0], self._node.backend_room)

    async def offer(self, shard: int) -> bool:
        """Offers the shard to at most FENCED_OFFERS live voters in turn; returns whether one of them accepted it."""
        addresses = self._leaders.voter_addresses()
        others = [node_id for node_id in self._leaders.failover.live_voters() if node_id != self._node.node_id]
        self._node.random.shuffle(others)
        for node_id in others[:FENCED_OFFERS]:
            try:
                is_taken = await self._node.net.call(addresses[node_id], "shardOffer", FENCED_OFFER_TIME, shard=shard)
            except OakrampError:
                continue
            if is_taken:
                self._leaders.failover.decline(shard, FENCED_DECLINED)
                self._node.log.info("shard_handed_over", shard=shard, to=node_id)
                return True
        return False

    async def _serve_offer(self, _peer: Any, arguments: Any) -> bool:
        failover = self._leaders.failover
        if self._node.node_id not in failover.live_voters():
            return False
        await self._client.probe(self._node.env["platform"], FENCED_PROBE_TIME)
        if not failover.is_free(arguments.shard):
            return False
        failover.begin_failover(arguments.shard)
        return True
