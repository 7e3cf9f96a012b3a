"""Waiting until no earlier lease of a shard can be held any more."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from twisted.internet.defer import Deferred

from oakramp.common.errors import OakrampError


class PreviousLeases:
    """The leases of a shard's earlier epochs.

    They have ended when the last confirmed one has expired, or earlier, once each process that might hold one has
    reported that it does not: after an outage of all nodes, that is the case at once.
    """

    def __init__(self, reactor: Any, holders: Iterable[str]) -> None:
        """`holders` are the node ids of all voters that may hold a lease."""
        self._reactor = reactor
        self._left = set(holders)
        self._outcome: Deferred[None] = Deferred()

    def may_hold(self, node_id: str) -> bool:
        """Whether this node may still hold a lease."""
        return node_id in self._left

    def holds_none(self, node_id: str) -> None:
        """Records this node's report that it holds no lease of the shard and will obtain none of an earlier epoch."""
        self._left.discard(node_id)
        if not self._left:
            self._end()

    async def ended(self, at: float) -> None:
        """Returns at this time (monotonic seconds), or earlier, once no node is left that may hold a lease."""
        call = self._reactor.callLater(max(0.0, at - self._reactor.seconds()), self._end)
        try:
            await self._outcome
        finally:
            if call.active():
                call.cancel()

    def fail(self, error: OakrampError) -> None:
        """Ends the wait with this error, since the waiting attempt can not succeed any more."""
        if not self._outcome.called:
            self._outcome.errback(error)

    def _end(self) -> None:
        if not self._outcome.called:
            self._outcome.callback(None)
