"""Finding shards whose lease has lapsed by a majority's word, before their leader counts as silent.

Each voter knows for how long it has confirmed no lease of a shard. A member whose own voter has been quiet for
LEASE_LAPSED asks the others, and changes nothing by that. Only if a majority has been quiet for so long does it start a
failover. The failover is the ordinary one, with its wait for the previous lease: what is found here is a reason to
begin, never to skip.
"""

from oakramp.common.constants import EXPIRY_POLL, EXPIRY_QUERY_TIME, LEASE_EXPIRED, SUSPECT_SILENT
from oakramp.common.tasks import Repeater, quorum_of


class LeaseExpiryWatch:
    """Invariant: `_ask_at` holds, for each shard that was asked for, when it may be asked for again."""

    def __init__(self, node, voter, registry):
        self._node, self._voter, self._registry = node, voter, registry
        self._ask_at = {}
        self._repeater = Repeater(node.reactor, EXPIRY_POLL, self._poll, node.log)

    def start(self):
        self._repeater.start()

    def stop(self):
        self._repeater.stop()

    async def _poll(self):
        shards = self._unconfirmed_shards()
        if not shards or self._voter.has_storage_fault or not self._hears_majority():
            return
        quiet = await self._ask_majority(shards)
        expired = {shard for shard in shards if quiet[shard] >= LEASE_EXPIRED}
        # Silent holders of expired leases are no candidates.
        holders = map(self._registry.failover.last_lease_holder, expired)
        suspects = {node_id for node_id in holders if not self._answers(node_id)}
        now = self._node.reactor.seconds()
        for shard in shards:
            if (
                shard in expired
                and self._registry.failover.is_free(shard)
                and self._registry.failover.is_next(shard, suspects)
            ):
                self._registry.failover.begin_failover(shard, expired=True)
            self._ask_at[shard] = now + max(EXPIRY_POLL, LEASE_EXPIRED - quiet[shard])

    def _unconfirmed_shards(self):
        """Shards of others that this node's own voter has not confirmed for long."""
        now, own_id = self._node.reactor.seconds(), self._node.node_id
        return [
            shard
            for shard in self._voter.unconfirmed_shards(LEASE_EXPIRED, own_id)
            if self._registry.failover.is_free(shard) and now >= self._ask_at.get(shard, 0.0)
        ]

    def _hears_majority(self):
        """Whether a majority has answered this node just now. If not, it may have been frozen itself, and all that it
        has not heard of the others says nothing."""
        voting_config = self._voter.voting_config
        if voting_config is None or self._node.node_id not in voting_config.everyone:
            return False
        return voting_config.is_quorum({node_id for node_id in voting_config.everyone if self._answers(node_id)})

    async def _ask_majority(self, shards):
        """Shard -> seconds for which each of a majority has been quiet; 0 if no majority answered."""
        reached, answers = await quorum_of(
            self._registry.ask_voters(
                "unconfirmed", self._voter.voting_config.everyone, EXPIRY_QUERY_TIME, shards=shards
            ),
            self._voter.voting_config.is_quorum,
        )
        if not reached:
            return dict.fromkeys(shards, 0.0)
        return {shard: min(quiet[place] for quiet in answers.values()) / 1000 for place, shard in enumerate(shards)}

    def _answers(self, node_id):
        """Whether this node has answered a pull lately: then it is at work, though a majority may not confirm its
        lease."""
        address = self._registry.voter_addresses().get(node_id)
        return address is not None and self._node.gossip_client.is_answered_by(node_id, address, SUSPECT_SILENT)
