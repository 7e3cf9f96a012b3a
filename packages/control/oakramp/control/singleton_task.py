"""A duty that one node does at a time: the owner of a key. It changes hands with the key's slot, and whatever a
former holder still asks for is fenced by the slot's epoch or lost against a newer version."""

from oakramp.common.tasks import Repeater
from oakramp.control.shards import shard_of_key


class SingletonTask:
    def __init__(self, node, leaders, key, pause):
        self._node, self._owners, self._shard = node, leaders, shard_of_key(key)
        self._repeater = Repeater(node.reactor, pause, self._round, node.log)

    def start(self):
        self._repeater.start()

    def stop(self):
        self._repeater.stop()

    async def _round(self):
        owner = self._owners.active.get(self._shard)
        if owner is not None:
            await self._work(owner)

    async def _work(self, owner):
        """One round of the duty by its present holder."""
        raise NotImplementedError
