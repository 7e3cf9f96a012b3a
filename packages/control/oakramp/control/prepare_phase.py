"""The first half of a failover: a majority's promises, the newest snapshot among them, and the end of the previous
lease."""

from sortedcontainers import SortedDict

from oakramp.common.constants import CALL_TIME, LEASE, LEASE_RENEW
from oakramp.common.errors import QuorumUnavailableError, StaleEpochError
from oakramp.common.tasks import quorum_of, sleep
from oakramp.control.previous_leases import PreviousLeases


def is_moving(error):
    """Whether a voter refused only because it stands in another voting configuration than the asker."""
    return isinstance(error, StaleEpochError) and bool(error.detail)


class PreparePhase:
    """One epoch of a shard, sought by this node. Invariant: once `prepare` has ended, `_promises` are those of a
    majority, and `_prepared_at` is no earlier than any of them."""

    def __init__(self, leaders, node, voter, shard, epoch):
        self._owners, self._node, self._voter = leaders, node, voter
        self._shard, self._epoch = shard, epoch
        self._previous = PreviousLeases(node.reactor, self._possible_holders())
        self._promises, self._prepared_at = {}, None

    def _possible_holders(self):
        """Who may hold a lease: all of the voting configuration, but those whose process has surely ended."""
        return [
            node_id
            for node_id, peer in self._voter.voting_config.everyone.items()
            if self._node.members.successor_of(node_id, peer) is None
        ]

    async def prepare(self):
        """Asks all voters to promise the epoch. Raises QuorumUnavailableError if no majority does."""
        voting_config = self._voter.voting_config
        reached, answers = await quorum_of(
            {voter[0]: self._promise_of(voter, voting_config) for voter in self._owners.voter_addresses().items()},
            self._voter.voting_config.is_quorum,
        )
        if not reached:
            reasons = "; ".join(sorted(set(map(str, answers.values()))))
            raise QuorumUnavailableError(f"no majority promised epoch {self._epoch}: {reasons}")
        self._promises, self._prepared_at = answers, self._node.reactor.seconds()

    async def _promise_of(self, voter, voting_config):
        node_id, address = voter
        ends_at = self._node.reactor.seconds() + CALL_TIME
        while True:
            try:
                promise = await self._node.net.call(
                    address,
                    "prepare",
                    ends_at - self._node.reactor.seconds(),
                    to=node_id,
                    shard=self._shard,
                    epoch=self._epoch,
                    parts=True,
                    owner=self._node.node_id,
                    voting_config_version=voting_config.version,
                )
                break
            except StaleEpochError as error:
                if not is_moving(error) or voting_config.version != self._voter.voting_config.version:
                    raise
            await sleep(self._node.reactor, LEASE_RENEW / 4)
        if not promise.granted:
            self._owners.failover.note_epoch(self._shard, promise.promised_epoch)
            raise QuorumUnavailableError(f"epoch {promise.promised_epoch} is promised already")
        if promise.holds_no_lease:
            self._previous.holds_none(node_id)
        return promise

    def newest(self):
        """(voter, (epoch, sequence)) of the newest snapshot promised; this node's own if it is as new."""
        return max(
            ((node_id, (promise.snapshot_epoch, promise.sequence)) for node_id, promise in self._promises.items()),
            key=lambda row: (row[1], row[0] == self._node.node_id),
        )

    async def fetch_snapshot(self, node_id):
        """The snapshot that this voter promised to keep as it is: given with the promise, or fetched in parts."""
        given = self._promises[node_id].entries
        entries, more = SortedDict((entry.key, entry.value) for entry in given or []), given is None
        while more:
            address = self._owners.voter_addresses().get(node_id)
            if address is None:
                raise QuorumUnavailableError(f"{node_id} left the roster while its image was fetched")
            part = await self._node.net.call(
                address,
                "imagePart",
                CALL_TIME,
                to=node_id,
                shard=self._shard,
                epoch=self._epoch,
                owner=self._node.node_id,
                voting_config_version=self._voter.voting_config.version,
                after=entries.keys()[-1] if entries else "",
            )
            entries.update((entry.key, entry.value) for entry in part.entries or [])
            more = part.more
        return entries

    async def previous_lease_ended(self, released_epoch):
        """Waits until no lease of an earlier epoch can be held. There is none if the leader of the last one said so
        itself."""
        previous_epoch = max(promise.promised_epoch for promise in self._promises.values())
        if not previous_epoch or previous_epoch == released_epoch:
            return
        unconfirmed = min(promise.unconfirmed_ms or 0 for promise in self._promises.values()) / 1000
        await self._previous.ended(self._prepared_at - unconfirmed + LEASE)
