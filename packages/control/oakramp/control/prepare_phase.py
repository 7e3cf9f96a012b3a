"""The first half of a failover: a majority's promises, the newest snapshot among them, and the end of the previous
lease."""

from sortedcontainers import SortedDict

from oakramp.common.constants import CALL_TIME, LEASE, LEASE_RENEW
from oakramp.common.errors import OakrampError, QuorumUnavailableError, StaleEpochError
from oakramp.common.tasks import quorum_of, sleep, spawn
from oakramp.control.previous_leases import PreviousLeases


def is_moving(error):
    """Whether a voter refused only because it stands in another voting configuration than the asker."""
    return isinstance(error, StaleEpochError) and bool(error.detail)


class PreparePhase:
    """One epoch of a shard, sought by this node. Invariant: once `prepare` has ended, `_promises` are those of a
    majority, and `_prepared_at` is no earlier than any of them; `_unsure` holds the voters that are not being asked and
    have not said that they hold no lease."""

    def __init__(self, registry, node, voter, shard, epoch):
        self._registry, self._node, self._voter = registry, node, voter
        self._shard, self._epoch = shard, epoch
        self._previous = PreviousLeases(node.reactor, self._possible_holders())
        self._promises, self._prepared_at, self._unsure = {}, None, set()

    def _possible_holders(self):
        """Who may hold a lease: all of the voting configuration, but those whose process has surely ended."""
        return self._voter.voting_config.everyone.keys() - self._ended_holders()

    def _ended_holders(self):
        """Members of the voting configuration in whose place another process listens."""
        return {
            node_id
            for node_id, peer in self._voter.voting_config.everyone.items()
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
            # Voters that have passed to the next voting configuration promise nothing under this one any more, and for
            # those that are away nobody should wait.
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
                    self._unsure.add(node_id)
                    raise
            await sleep(self._node.reactor, LEASE_RENEW / 4)
        self._note_holder(node_id, promise)
        if not promise.granted:
            self._registry.failover.note_epoch(self._shard, promise.promised_epoch)
            raise QuorumUnavailableError(f"epoch {promise.promised_epoch} is promised already")
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

    def _note_holder(self, node_id, promise):
        """Granted or refused, the voter has promised this epoch or a later one, so its process attempts nothing below."""
        if promise.holds_no_lease:
            self._previous.holds_none(node_id)
        else:
            self._unsure.add(node_id)

    def _look_for_holders(self):
        """After an outage of all, a voter may be back, or another node in its place, only while this waits; or another
        candidate, which is not to be waited for, has the promise of this node's own voter. Each answer to a gossip
        request is an occasion to look."""
        promised_epoch = self._voter.promised_epoch(self._shard)
        if promised_epoch > self._epoch:
            self._previous.give_up(QuorumUnavailableError(f"epoch {promised_epoch} is promised already"))
            return
        for node_id in self._ended_holders():
            self._previous.holds_none(node_id)
        unsure, self._unsure = self._unsure, set()
        for voter in self._registry.voter_addresses().items():
            if voter[0] in unsure and self._previous.may_hold(voter[0]):
                spawn(self._ask_again(voter))

    async def _ask_again(self, voter):
        """Only whether it holds a lease counts: it may have this epoch by its snapshot already, or a later one."""
        try:
            promise = await self._ask(voter, self._voter.voting_config, LEASE)
        except OakrampError:
            self._unsure.add(voter[0])
            return
        self._note_holder(voter[0], promise)

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
            address = self._registry.voter_addresses().get(node_id)
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
        answered = self._node.gossip_client.on_answer
        answered.add(self._look_for_holders)
        try:
            self._look_for_holders()
            await self._previous.ended(self._prepared_at - unconfirmed + LEASE)
        finally:
            answered.discard(self._look_for_holders)
