"""A periodic task that one node of the cluster runs at a time: the leader of a key's shard.

The task moves with the leadership of the shard. Writes of a previous leader are rejected by the voters because of their
lower epoch, or are superseded by a newer version.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from oakramp.common.tasks import Repeater
from oakramp.control.shards import shard_of_key

if TYPE_CHECKING:
    from oakramp.control.leader_registry import LeaderRegistry
    from oakramp.control.shard_leader import ShardLeader
    from oakramp.gossip.node import Node


class SingletonTask:
    """Runs `_work` every `pause` seconds while this node leads the shard of `key`."""

    def __init__(self, node: Node, leaders: LeaderRegistry, key: str, pause: float) -> None:
        self._node = node
        self._leaders = leaders
        self._shard = shard_of_key(key)
        self._repeater = Repeater(node.reactor, pause, self._round, node.log)

    def start(self) -> None:
        """Starts the periodic rounds."""
        self._repeater.start()

    def stop(self) -> None:
        """Starts no further round."""
        self._repeater.stop()

    async def _round(self) -> None:
        leader = self._leaders.active.get(self._shard)
        if leader is not None:
            await self._work(leader)

    async def _work(self, leader: ShardLeader) -> None:
        """One round of the task, on the node that leads the shard at its beginning."""
        raise NotImplementedError
