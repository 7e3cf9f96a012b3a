"""The base of every gate: its node, the client of the keys' owners, and the work that continues after a response."""

import itertools

from oakramp.common.constants import RETRY_AFTER, SETTLE_QUEUE_LIMIT
from oakramp.common.errors import OverloadedError
from oakramp.common.metrics import Metrics
from oakramp.common.tasks import sleep, spawn
from oakramp.control.shard_client import ShardClient
from oakramp.gossip.node import Node

SETTLED_POLL = 0.1  # s; how often a stopping gate checks whether everything is settled


class GateBase:
    """A gate's node and its background work.

    Invariant: `settling` holds every settlement that is not confirmed yet, each retried until it is; at
    SETTLE_QUEUE_LIMIT of them nothing more is admitted. A planned stop waits for them for a while; the owners give up
    those that are still open then."""

    def __init__(self, reactor, env, random, sink, wall):
        self.node = Node(reactor, "gate", env, random, sink, None, wall)
        self.metrics = Metrics()
        self.leaders = ShardClient(self.node)
        self.settling = set()
        self._numbers = itertools.count(1)

    def mint_id(self):
        return f"{self.node.random.getrandbits(128):032x}"

    def admission(self):
        """A new admission: its id, and a number that tells it from this gate's earlier and later ones."""
        return {"admission": self.mint_id(), "gate": self.node.node_id, "number": next(self._numbers)}

    def check_settling(self):
        if len(self.settling) >= SETTLE_QUEUE_LIMIT:
            raise OverloadedError("too many settlements are pending", retry_after=RETRY_AFTER)

    def background(self, coroutine):
        """Runs a coroutine that may outlive the caller's request. Returns a Deferred of its result, or of None if it
        failed."""
        task = spawn(coroutine, self.node.log)
        self.settling.add(task)

        def ended(result):
            self.settling.discard(task)
            return result

        return task.addBoth(ended)

    async def wait_settled(self, seconds):
        """Returns once everything is settled, or after the given number of seconds."""
        ends_at = self.node.reactor.seconds() + seconds
        while self.settling and self.node.reactor.seconds() < ends_at:
            await sleep(self.node.reactor, SETTLED_POLL)
