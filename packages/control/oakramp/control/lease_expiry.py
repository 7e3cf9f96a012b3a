"""Detects shards whose lease has expired according to a majority of voters, before their leader counts as dead.

Each voter knows for how long it has confirmed no lease of a shard. A member whose own voter has confirmed none for
LEASE_EXPIRED asks the other voters, which changes no state. Only if a majority has confirmed none for that long does
it start a failover. The failover is the ordinary one and waits for the previous lease: an expiry that is detected here
is a reason to start a failover, never to skip one of its steps.
"""

from oakramp.common.constants import EXPIRY_POLL, EXPIRY_QUERY_TIME, LEASE_EXPIRED, SUSPECT_SILENCE
from oakramp.common.tasks import Repeater, quorum_of


class LeaseExpiryWatch:
    """Polls this node's own voter for shards without a confirmed lease, and starts their failover.

    Invariant: `_ask_at` holds, for each shard that the voters were asked about, the time (monotonic seconds) at which
    they may be asked about it again."""

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
        unconfirmed_s = await self._ask_majority(shards)
        expired = {shard for shard in shards if unconfirmed_s[shard] >= LEASE_EXPIRED}
        # A holder of an expired lease that does not answer is not counted as a candidate.
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
            self._ask_at[shard] = now + max(EXPIRY_POLL, LEASE_EXPIRED - unconfirmed_s[shard])

    def _unconfirmed_shards(self):
        """Shards led by other nodes for which this node's own voter has confirmed no lease for LEASE_EXPIRED."""
        now, own_id = self._node.reactor.seconds(), self._node.node_id
        return [
            shard
            for shard in self._voter.unconfirmed_shards(LEASE_EXPIRED, own_id)
            if self._registry.failover.is_free(shard) and now >= self._ask_at.get(shard, 0.0)
        ]

    def _hears_majority(self):
        """Whether a majority has answered this node within SUSPECT_SILENCE. If not, this process may have been frozen
        itself, and that it has received nothing from the others proves nothing."""
        voting_config = self._voter.voting_config
        if voting_config is None or self._node.node_id not in voting_config.all_members:
            return False
        return voting_config.is_quorum({node_id for node_id in voting_config.all_members if self._answers(node_id)})

    async def _ask_majority(self, shards):
        """Shard -> seconds for which every voter of a majority has confirmed no lease; 0 if no majority answered."""
        reached, answers = await quorum_of(
            self._registry.ask_voters(
                "unconfirmed", self._voter.voting_config.all_members, EXPIRY_QUERY_TIME, shards=shards
            ),
            self._voter.voting_config.is_quorum,
        )
        if not reached:
            return dict.fromkeys(shards, 0.0)
        return {
            shard: min(unconfirmed_ms[index] for unconfirmed_ms in answers.values()) / 1000
            for index, shard in enumerate(shards)
        }

    def _answers(self, node_id):
        """Whether this node has answered a gossip request within SUSPECT_SILENCE: then its process is running, even if
        a majority may not confirm its lease."""
        address = self._registry.voter_addresses().get(node_id)
        return address is not None and self._node.gossip_client.has_replied_as(node_id, address, SUSPECT_SILENCE)
