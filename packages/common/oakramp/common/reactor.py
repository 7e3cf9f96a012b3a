"""Twisted's epoll reactor without a log context for each socket event, which is not used here and costs five nested
calls. A node that is nearly idle does little else than wake up for one frame after another."""

import sys
from select import EPOLLIN

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor
from twisted.python import log


class LeanReactor(EPollReactor):
    """Handles events that are only readable itself; all others are left to Twisted."""

    def doPoll(self, timeout):
        """One round of the reactor: waits at most `timeout` seconds for events, and handles them."""
        for descriptor, event in self._poller.poll(-1 if timeout is None else timeout, len(self._selectables)):
            selectable = self._selectables.get(descriptor)
            if selectable is None:
                continue  # closed by the handling of an earlier event
            if event != EPOLLIN:
                log.callWithLogger(selectable, self._doReadOrWrite, selectable, descriptor, event)
                continue
            try:
                why = selectable.doRead()
            except BaseException:
                log.err()
                why = sys.exc_info()[1]
            if why:
                self._disconnectSelectable(selectable, why, True)

    doIteration = doPoll


def install():
    """Installs LeanReactor as the process's reactor, unless there is one already."""
    if "twisted.internet.reactor" not in sys.modules:
        installReactor(LeanReactor())
