"""What stands in for a node whose disk lost something that it had confirmed.

Such a node must not take part in anything: its promises of before may be gone. Nor should it end, be started again and
read its whole disk once more, for ever. It stays, says at GET /condition what is wrong, changes nothing in its folder,
and waits for an operator. To the others it is a node that is down, so a store set with a spare and enough copies
replaces it.
"""

from oakramp.common.constants import ACCEPT_QUEUE_LIMIT
from oakramp.common.http_server import HttpServer
from oakramp.common.structured_logging import EventLogger


class DamagedNode:
    """Invariant: it opens no port but that of its HTTP address, and writes nothing to its disk."""

    def __init__(self, reactor, env, sink, error):
        self._env, self._reason = env, error.reason
        self.log = EventLogger(sink, node=env["machine"])
        self._web = HttpServer(reactor, env["http"], self.log, ACCEPT_QUEUE_LIMIT)
        self._web.route("GET", "/condition", self._condition)

    @property
    def node(self):
        """The node itself, as the daemon expects of a composed node."""
        return self

    def settings_changed(self, _env):
        """Nothing here follows them."""

    async def _condition(self, _call):
        return 200, {"condition": "damaged", "machine": self._env["machine"], "reason": self._reason}

    def start(self):
        """Listens for GET /condition only."""
        self._web.listen()
        self.log.info("disk_damaged", folder=self._env["folder"], reason=self._reason)

    async def stop(self):
        """Stops listening."""
        await self._web.stop()
