"""Waiting until no earlier lease of a slot can be held any more."""

from twisted.internet.defer import Deferred


class PreviousLeases:
    """The terms of a slot's earlier epochs. They have ended when the last one that was confirmed runs out, or as soon
    as each process that might hold one has said that it doesn't: after an outage of all, that is at once."""

    def __init__(self, reactor, holders):
        self._reactor, self._left, self._outcome = reactor, set(holders), Deferred()

    def holds_none(self, node_id):
        self._left.discard(node_id)
        if not self._left:
            self._end()

    def _end(self):
        if not self._outcome.called:
            self._outcome.callback(None)

    async def ended(self, at):
        call = self._reactor.callLater(max(0.0, at - self._reactor.seconds()), self._end)
        await self._outcome
        if call.active():
            call.cancel()
