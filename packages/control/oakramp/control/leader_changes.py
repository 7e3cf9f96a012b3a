"""Leaving a leader that does not answer as soon as another one is known.

A process that froze or lost its power answers nothing and refuses nothing. Who waits for it need not wait out the whole
time of a call: news of the shard's next leader say that this one's lease is over. What was asked may have come through,
as with any call that is not answered in time.
"""

from collections import defaultdict
from functools import partial

from twisted.internet.defer import Deferred

from oakramp.common.constants import OWNER_LEFT_PAUSE
from oakramp.common.errors import OutcomeUnknownError
from oakramp.common.tasks import begin
from oakramp.control.controllers import SHARD_SOURCE


class LeaderChangeWatch:
    """Invariant: `_waiting` holds, for each shard, the outcome of each call under way to the leader that news named
    when it was asked, and that leader's address."""

    def __init__(self, node, address_of):
        """`address_of(shard)` is where the shard's leader is by the newest news, or None."""
        self._reactor, self._address_of = node.reactor, address_of
        self._waiting = defaultdict(dict)
        node.state_table.watch(SHARD_SOURCE, self._on_news)

    def answer_of(self, shard, address, call):
        """The call's answer; OutcomeUnknownError if it is to the leader that news name, they name another one
        meanwhile, and a moment later there is still none."""
        answer = begin(call)
        if address != self._address_of(shard):
            return answer  # another node has named it, which may know more
        outcome = Deferred(lambda _: answer.cancel())
        self._waiting[shard][outcome] = address
        answer.addBoth(self._settle, shard, outcome)
        return outcome

    def _settle(self, result, shard, outcome):
        self._waiting[shard].pop(outcome, None)
        if not outcome.called:
            outcome.callback(result)

    def _on_news(self, source):
        shard = int(source[len(SHARD_SOURCE) :])
        owner = self._address_of(shard)
        for outcome, address in self._waiting[shard].items():
            if owner is not None and address != owner:
                self._reactor.callLater(OWNER_LEFT_PAUSE, partial(self._leave, shard, outcome))

    def _leave(self, shard, outcome):
        self._waiting[shard].pop(outcome, None)
        if not outcome.called:
            outcome.errback(OutcomeUnknownError("the owner did not answer, and another one is known now"))
