"""The first half of a failover: obtains promises from a majority and the newest snapshot among them, and waits for the
end of the previous lease."""

from sortedcontainers import SortedDict

from oakramp.common.constants import CALL_TIME, LEASE, LEASE_RENEW
from oakramp.common.errors import OakrampError, QuorumUnavailableError, StaleEpochError
from oakramp.common.tasks import quorum_of, sleep, spawn
from oakramp.control.previous_leases import PreviousLeases


def is_moving(error):
    """Whether a voter refused only because it has another version of the voting configuration than the requester."""
    return isinstance(error, StaleEpochError) and bool(error.detail)


class PreparePhase:
    """This node's attempt to obtain one epoch of a shard.

    Invariants: once `prepare` has ended, `_promises` are those of a majority, and `_prepared_at` is no earlier than any
    of them; `_unreported` holds the voters that no request is pending to and that have not reported that they hold no
    lease."""

    def __init__(self, registry, node, voter, shard, epoch):
        self._registry, self._node, self._voter = registry, node, voter
        self._shard, self._epoch = shard, epoch
        self._previous = PreviousLeases(node.reactor, self._possible_lease_holders())
        self._promises, self._prepared_at, self._unreported = {}, None, set()

    def _possible_lease_holders(self):
        """Node ids that may hold a lease: all of the voting configuration, except those whose process is known to have
        ended."""
        return self._voter.voting_config.all_members.keys() - self._holders_with_ended_process()

    def _holders_with_ended_process(self):
        """Members of the voting configuration at whose address another process now listens."""
        return {
            node_id
            for node_id, peer in self._voter.voting_config.all_members.items()
            if self._node.members.successor_of(node_id, peer) is not None
        }

    async def prepare(self):
        """Asks all voters to promise the epoch. Raises QuorumUnavailableError if no majority does."""
        voting_config = self._voter.voting_config
        majority = quorum_of(
            {voter[0]: self._promise_of(voter, voting_config) for voter in self._registry.voter_addresses().items()},
            voting_config.is_quorum,
        )

        def end() -> None:
            # Voters that have adopted the next voting configuration promise nothing under this one any more, and there
            # is no point in waiting for voters that are unreachable.
            if not majority.called:
                majority.errback(QuorumUnavailableError(f"the voting configuration changed before epoch {self._epoch}"))

        self._voter.on_voting_config.add(end)
        try:
            reached, answers = await majority
        finally:
            self._voter.on_voting_config.discard(end)
        if not reached:
            reasons = "; ".join(sorted(set(map(str, answers.values()))))
            raise QuorumUnavailableError(f"no majority promised epoch {self._epoch}: {reasons}")
        self._promises, self._prepared_at = answers, self._node.reactor.seconds()

    async def _promise_of(self, voter, voting_config):
        node_id, _ = voter
        ends_at = self._node.reactor.seconds() + CALL_TIME
        while True:
            try:
                promise = await self._ask(voter, voting_config, ends_at - self._node.reactor.seconds())
                break
            except OakrampError as error:
                if not is_moving(error) or voting_config.version != self._voter.voting_config.version:
                    self._unreported.add(node_id)
                    raise
            await sleep(self._node.reactor, LEASE_RENEW / 4)
        self._record_lease_report(node_id, promise)
        if not promise.granted:
            self._registry.failover.note_epoch(self._shard, promise.promised_epoch)
            raise QuorumUnavailableError(f"epoch {promise.promised_epoch} is already promised")
        return promise

    def _ask(self, voter, voting_config, time_left):
        node_id, address = voter
        return self._node.net.call(
            address,
            "prepare",
            time_left,
            to=node_id,
            shard=self._shard,
            epoch=self._epoch,
            parts=True,
            owner=self._node.node_id,
            voting_config_version=voting_config.version,
        )

    def _record_lease_report(self, node_id, promise):
        """Records whether the voter's process holds a lease. Whether it granted or refused, it has promised this epoch
        or a later one, so its process starts no attempt under a lower epoch any more."""
        if promise.holds_no_lease:
            self._previous.holds_none(node_id)
        else:
            self._unreported.add(node_id)

    def _update_possible_holders(self):
        """Ends or shortens the wait for the previous lease, if possible. Called with each answer to a gossip request.

        After an outage of all nodes, a voter, or another node at its address, may come back only during this wait. If
        this node's own voter has meanwhile promised a later epoch to another candidate, the wait is useless."""
        promised_epoch = self._voter.promised_epoch(self._shard)
        if promised_epoch > self._epoch:
            self._previous.fail(QuorumUnavailableError(f"epoch {promised_epoch} is already promised"))
            return
        for node_id in self._holders_with_ended_process():
            self._previous.holds_none(node_id)
        unreported, self._unreported = self._unreported, set()
        for voter in self._registry.voter_addresses().items():
            if voter[0] in unreported and self._previous.may_hold(voter[0]):
                spawn(self._ask_again(voter))

    async def _ask_again(self, voter):
        """Asks the voter once more, just to learn whether it holds a lease: it may already have this epoch with the
        snapshot, or have promised a later one, so that whether it grants does not matter."""
        try:
            promise = await self._ask(voter, self._voter.voting_config, LEASE)
        except OakrampError:
            self._unreported.add(voter[0])
            return
        self._record_lease_report(voter[0], promise)

    def newest_snapshot(self):
        """(voter, (epoch, sequence)) of the newest snapshot among the promises; prefers this node's own if it is as
        new."""
        return max(
            ((node_id, (promise.snapshot_epoch, promise.sequence)) for node_id, promise in self._promises.items()),
            key=lambda row: (row[1], row[0] == self._node.node_id),
        )

    async def fetch_snapshot(self, node_id):
        """The snapshot of this voter, which its promise keeps unchanged: sent with the promise, or fetched in parts."""
        promised_entries = self._promises[node_id].entries
        entries, more = (
            SortedDict((entry.key, entry.value) for entry in promised_entries or []),
            promised_entries is None,
        )
        while more:
            address = self._registry.voter_addresses().get(node_id)
            if address is None:
                raise QuorumUnavailableError(f"{node_id} left the voting configuration while its snapshot was fetched")
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
        """Waits until no lease of an earlier epoch can be held any more. There is no need to wait if the leader of the
        last epoch itself has released it."""
        previous_epoch = max(promise.promised_epoch for promise in self._promises.values())
        if not previous_epoch or previous_epoch == released_epoch:
            return
        unconfirmed_s = min(promise.unconfirmed_ms or 0 for promise in self._promises.values()) / 1000
        answered = self._node.gossip_client.on_reply
        answered.add(self._update_possible_holders)
        try:
            self._update_possible_holders()
            await self._previous.ended(self._prepared_at - unconfirmed_s + LEASE)
        finally:
            answered.discard(self._update_possible_holders)
