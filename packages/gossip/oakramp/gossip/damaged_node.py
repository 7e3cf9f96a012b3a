"""Replaces a node whose disk has lost data that was already confirmed.

Such a node must not take part in anything, since its earlier promises may be lost. Exiting would not help either: the
process would be restarted and read its whole disk again, in an endless loop. So it keeps running, reports at GET
/condition what is wrong, changes nothing in its folder, and waits for an operator. To other nodes it is down, so a
store set that has a spare node and enough copies replaces it.
"""

from oakramp.common.constants import ACCEPT_QUEUE_LIMIT
from oakramp.common.http_server import HttpServer
from oakramp.common.structured_logging import EventLogger


class DamagedNode:
    """Serves GET /condition only.

    Invariant: it opens no port but that of its HTTP address, and writes nothing to its disk."""

    def __init__(self, reactor, env, sink, error):
        self._env, self._reason = env, error.reason
        self.log = EventLogger(sink, node=env["machine"])
        self._web = HttpServer(reactor, env["http"], self.log, ACCEPT_QUEUE_LIMIT)
        self._web.route("GET", "/condition", self._condition)

    @property
    def node(self):
        """This object itself; the daemon expects a `node` attribute."""
        return self

    def settings_changed(self, _env):
        """Ignores the change: nothing here depends on settings that change at run time."""

    async def _condition(self, _call):
        return 200, {"condition": "damaged", "machine": self._env["machine"], "reason": self._reason}

    def start(self):
        """Listens for GET /condition only."""
        self._web.listen()
        self.log.info("disk_damaged", folder=self._env["folder"], reason=self._reason)

    async def stop(self):
        """Stops listening."""
        await self._web.stop()
