"""Publication of control state by gossip: the leader of each shard, and the published keys of the shards led here."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from oakramp.common.validation import pack_json
from oakramp.control.controllers import CONTROLLERS, SHARD_SOURCE, published_by
from oakramp.control.transaction import Transaction

if TYPE_CHECKING:
    from oakramp.control.shard_leader import ShardLeader
    from oakramp.gossip.node import Node

VOTING_CONFIG_BITS = (
    20  # low bits of a shard source's version, below the epoch: far more than changes of the voting configuration need
)


class Publisher:
    """Publishes shards led here and their published keys as gossip sources, confirmed while the leader holds the lease.

    `poll_times` maps a key with a singleton task to the time (monotonic seconds) at which the task's last complete
    round began: the published state of the key is confirmed as of that time, no later.
    """

    def __init__(self, node: Node) -> None:
        self._reactor = node.reactor
        self._node = node
        self.poll_times: dict[str, float] = {}

    def retract(self, leader: ShardLeader) -> None:
        """Stops publishing the sources of a leader that has ended."""
        for source in leader.sources:
            self._node.state_table.retract(source)

    def publish(self, leader: ShardLeader, changed_keys: Iterable[str]) -> None:
        """Publishes the shard's leader, and each published key that one of the changed keys belongs to."""
        if leader.ended:
            return  # ended while the change was replicated; a node accepts no updates of a source that it publishes
        source = f"{SHARD_SOURCE}{leader.shard}"
        self._node.state_table.publish(source, lambda: self.confirmed_at(leader))
        self._node.state_table.set_items(
            source,
            (leader.epoch << VOTING_CONFIG_BITS) + leader.voting_config_version,
            {
                "owner": pack_json([leader.epoch, self._node.node_id, self._node.net.address]),
                "roster": pack_json(leader.voting_config_version),
            },
        )
        transaction = Transaction(leader.entries, None)
        for key in sorted({key for key in map(published_by, changed_keys) if key is not None}):
            leader.sources.add(key)
            controller = CONTROLLERS.find(key.partition("/")[0])
            version, values = controller.snapshot(transaction, key)
            self._node.state_table.publish(key, lambda key=key: self._key_confirmed_at(leader, key))
            self._node.state_table.set_items(key, version, values)

    def confirmed_at(self, leader: ShardLeader) -> float | None:
        """The time (monotonic seconds) as of which the leader confirms its state; None without a lease.

        The clock is read before the lease is checked: if the process is frozen between the two, it must not report a
        time after the check.
        """
        now = self._reactor.seconds()
        return now if leader.holds_lease() else None

    def _key_confirmed_at(self, leader: ShardLeader, key: str) -> float | None:
        confirmed_at = self.confirmed_at(leader)
        return confirmed_at if confirmed_at is None else self.poll_times.get(key, confirmed_at)
