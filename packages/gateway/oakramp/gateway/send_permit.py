"""What a request must hold in shared state at the moment it is sent."""

from __future__ import annotations

from typing import Any, Protocol

from twisted.internet import defer


class SendPermit(Protocol):
    """Held from the last step before the first byte, so that a request which waits for a replica holds nothing."""

    send_by: float  # monotonic seconds after which nothing may be sent under it

    async def acquire(self) -> None:
        """Takes it on a majority of disks, unless it is held.

        Raises:
            OakrampError: the request must not be sent.
        """

    def request_waits(self) -> defer.Deferred[Any]:
        """Gives up what is held, since the request has to wait for a replica. Fails if it need not wait at all."""
