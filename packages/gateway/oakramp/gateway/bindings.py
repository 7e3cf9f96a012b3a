"""What a gate knows of blueprints and replicas, and how old that is."""

import json

from cachetools import LRUCache

from oakramp.common.constants import BLUEPRINT_AGE, FRESH_POLL, REPLICA_AGE
from oakramp.common.errors import BadRequestError, NotFoundError, QuorumUnavailableError, RequestRejectedError
from oakramp.common.tasks import sleep, spawn
from oakramp.control.plan import gossiped_plan
from oakramp.control.replica_registry import REPLICAS_KEY


class Bindings:
    """Reads the board's images. Invariant: nothing it gives out was replaced longer ago than the caller's
    age check allows; the items are parsed once for each version of theirs."""

    def __init__(self, node):
        self._node, self._state_table = node, node.state_table
        self._parsed = LRUCache(maxsize=20000)

    def _item(self, source, name):
        snapshot = self._state_table.snapshots.get(source)
        version, value = snapshot.items.get(name, (0, None)) if snapshot else (0, None)
        if value is None:
            return None
        if (source, name, version) not in self._parsed:
            self._parsed[source, name, version] = json.loads(value)
        return self._parsed[source, name, version]

    def _rest(self, partner):
        return self._item(f"blueprint/{partner}", "rest")

    def share(self, partner):
        return (self._rest(partner) or {}).get("share", 1)

    def _must_be_known(self, partner):
        if self._rest(partner) is None:
            raise NotFoundError(f"no partner {partner}")

    def find(self, partner, name, kind):
        binding = self._item(f"blueprint/{partner}", f"binding/{name}")
        if binding is None:
            self._must_be_known(partner)
            raise NotFoundError(f"no binding {name}")
        if binding["kind"] != kind:
            raise BadRequestError(f"binding {name} is for {binding['kind']} requests")
        return binding

    def replicas(self):
        snapshot = self._state_table.snapshots.get(REPLICAS_KEY)
        rows = (self._item(REPLICAS_KEY, name) for name in list(snapshot.items)) if snapshot else ()
        return {row["id"]: row for row in rows if row is not None}

    # --- ages ---

    def staleness(self, partner):
        """Why a request of this partner may not be carried now, or None."""
        if gossiped_plan(self._state_table, partner)[0] > BLUEPRINT_AGE:
            return "the blueprint's news is too old"
        if self._state_table.age(REPLICAS_KEY) > REPLICA_AGE:
            return "the replicas' news is too old"
        return None

    async def wait_fresh(self, partner, ends_at):
        """Returns once the news is new enough; refuses with no when the time left is spent first."""
        await self._wait_while(lambda: self.staleness(partner), ends_at)

    async def find_surely(self, partner, name, kind, asked_at, ends_at):
        """The binding by news that is new enough. That there is none is said only by news that were confirmed after the
        request came at `asked_at`, on this node's clock: it may be of a plan that has just been taken."""
        await self.wait_fresh(partner, ends_at)
        try:
            return self.find(partner, name, kind)
        except RequestRejectedError:
            await self._wait_while(lambda: self._unconfirmed_since(partner, asked_at), ends_at)
        return self.find(partner, name, kind)

    def _unconfirmed_since(self, partner, asked_at):
        confirmed_at = self._node.reactor.seconds() - gossiped_plan(self._state_table, partner)[0]
        return None if confirmed_at >= asked_at else "no news have come since it was asked"

    async def _wait_while(self, obstacle, ends_at):
        """Returns once `obstacle()` gives None; its word is why the request is refused when the time is over first."""
        reactor, asked = self._node.reactor, False
        while (why := obstacle()) is not None:
            if reactor.seconds() >= ends_at:
                raise QuorumUnavailableError(f"{why}, so the request was not carried", retry_after=1)
            if not asked:
                asked = True
                spawn(self._node.gossip_client.pull_now(), self._node.log)
            await sleep(reactor, FRESH_POLL)
