"""What every gate has: its node, its way to the owners of keys, and what goes on after a caller has its answer."""

import itertools

from oakramp.common.constants import RETRY_AFTER, SETTLE_QUEUE_LIMIT
from oakramp.common.errors import OverloadedError
from oakramp.common.metrics import Metrics
from oakramp.common.tasks import sleep, spawn
from oakramp.control.shard_client import ShardClient
from oakramp.gossip.node import Node

SETTLED_POLL = 0.1  # s; how often a stopping gate looks whether everything is settled


class GateBase:
    """Invariant: `settling` holds every settling that is not confirmed yet, each tried until it is; at SETTLE_INBOX of
    them nothing more is admitted. A planned stop waits for them a while; what is open then, its owner gives up."""

    def __init__(self, reactor, env, random, sink, wall):
        self.node = Node(reactor, "gate", env, random, sink, None, wall)
        self.metrics = Metrics()
        self.leaders = ShardClient(self.node)
        self.settling = set()
        self._numbers = itertools.count(1)

    def mint_id(self):
        return f"{self.node.random.getrandbits(128):032x}"

    def admission(self):
        """A new admission: its id, and the number by which it is told from this gate's earlier and later ones."""
        return {"admission": self.mint_id(), "gate": self.node.node_id, "number": next(self._numbers)}

    def check_settling(self):
        if len(self.settling) >= SETTLE_QUEUE_LIMIT:
            raise OverloadedError("too much waits to be settled", retry_after=RETRY_AFTER)

    def background(self, coroutine):
        """Goes on after the caller has its answer; gives a Deferred that others may wait for: of the result, or
        of None if it failed."""
        task = spawn(coroutine, self.node.log)
        self.settling.add(task)

        def ended(result):
            self.settling.discard(task)
            return result

        return task.addBoth(ended)

    async def wait_settled(self, seconds):
        """Returns once everything is settled, or after so many seconds."""
        ends_at = self.node.reactor.seconds() + seconds
        while self.settling and self.node.reactor.seconds() < ends_at:
            await sleep(self.node.reactor, SETTLED_POLL)
