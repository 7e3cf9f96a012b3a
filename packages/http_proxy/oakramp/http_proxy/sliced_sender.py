"""Sends a large body in slices, each once the kernel has taken the one before.

Written at once, the transport would hold a second copy of what the kernel does not take.
"""

from twisted.internet import interfaces
from zope.interface import implementer

SEND_SLICE = 64 << 10  # bytes; a body up to this size is sent at once, together with its head


@implementer(interfaces.IPullProducer)
class SlicedSender:
    """The pull producer of a transport. Invariant: all before `_sent` of `_body` has been written; `is_done` once that
    is the whole body, or the connection has ended."""

    def __init__(self, transport, body):
        """Starts to send `body` (bytes) on a transport that has no producer."""
        self._transport, self._body, self._sent = transport, memoryview(body), 0
        self.is_done = False
        transport.registerProducer(self, False)

    def resumeProducing(self):
        """Called by the transport when it has nothing left to send."""
        if self.is_done:
            return
        piece = bytes(self._body[self._sent : self._sent + SEND_SLICE])
        self._sent += len(piece)
        self._transport.write(piece)
        if self._sent == len(self._body):
            self.stopProducing()
            self._transport.unregisterProducer()

    def stopProducing(self):
        """Called by the transport when the connection has ended."""
        self.is_done = True
        self._body = memoryview(b"")
