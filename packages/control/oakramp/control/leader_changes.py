"""Abandons calls to a leader that does not answer as soon as gossip names another leader of the shard.

A process that froze or lost its power neither answers nor refuses. A caller need not wait until such a call times out:
gossip about the shard's next leader implies that the lease of the previous one has ended. The call may have taken
effect nevertheless, as with any call that is not answered in time.
"""

from collections import defaultdict
from functools import partial

from twisted.internet.defer import Deferred

from oakramp.common.constants import LEADER_CHANGED_GRACE
from oakramp.common.errors import OutcomeUnknownError
from oakramp.common.tasks import begin
from oakramp.control.controllers import SHARD_SOURCE


class LeaderChangeWatch:
    """Tracks calls to shard leaders and fails them when the leader changes.

    Invariant: `_waiting` holds, for each shard, the outcome of each call in progress to the leader that gossip named
    when the call was made, and that leader's address."""

    def __init__(self, node, address_of):
        """`address_of(shard)` is the address of the shard's leader according to gossip, or None."""
        self._reactor, self._address_of = node.reactor, address_of
        self._waiting = defaultdict(dict)
        node.state_table.watch(SHARD_SOURCE, self._on_gossip_update)

    def answer_unless_leader_changes(self, shard, address, call):
        """The call's answer. Fails with OutcomeUnknownError if the call is to the leader that gossip names, gossip then
        names another one, and LEADER_CHANGED_GRACE later there is still no answer."""
        answer = begin(call)
        if address != self._address_of(shard):
            return answer  # another node has named this address, and may have newer information
        outcome = Deferred(lambda _: answer.cancel())
        self._waiting[shard][outcome] = address
        answer.addBoth(self._settle, shard, outcome)
        return outcome

    def _settle(self, result, shard, outcome):
        self._waiting[shard].pop(outcome, None)
        if not outcome.called:
            outcome.callback(result)

    def _on_gossip_update(self, source):
        shard = int(source[len(SHARD_SOURCE) :])
        leader_address = self._address_of(shard)
        for outcome, address in self._waiting[shard].items():
            if leader_address is not None and address != leader_address:
                self._reactor.callLater(LEADER_CHANGED_GRACE, partial(self._abandon, shard, outcome))

    def _abandon(self, shard, outcome):
        self._waiting[shard].pop(outcome, None)
        if not outcome.called:
            outcome.errback(OutcomeUnknownError("the shard's leader did not answer, and another leader is known now"))
