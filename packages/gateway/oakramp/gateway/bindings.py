"""A gate's view of blueprints and replicas, and the age of that view."""

import json

from cachetools import LRUCache

from oakramp.common.constants import BLUEPRINT_AGE, FRESH_POLL, REPLICA_AGE
from oakramp.common.errors import BadRequestError, NotFoundError, QuorumUnavailableError, RequestRejectedError
from oakramp.common.tasks import sleep, spawn
from oakramp.control.plan import gossiped_plan
from oakramp.control.replica_registry import REPLICAS_KEY


class Bindings:
    """Reads the snapshots of the state table.

    Invariant: nothing that it returns was replaced longer ago than the caller's age check allows; each item is parsed
    once per version."""

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

    def _partner_settings(self, partner):
        return self._item(f"blueprint/{partner}", "rest")

    def share(self, partner):
        return (self._partner_settings(partner) or {}).get("share", 1)

    def _check_partner_exists(self, partner):
        if self._partner_settings(partner) is None:
            raise NotFoundError(f"no partner {partner}")

    def find(self, partner, name, kind):
        binding = self._item(f"blueprint/{partner}", f"binding/{name}")
        if binding is None:
            self._check_partner_exists(partner)
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
        """The reason why a request of this partner may not be forwarded now, or None."""
        if gossiped_plan(self._state_table, partner)[0] > BLUEPRINT_AGE:
            return "the blueprint is too old"
        if self._state_table.age(REPLICAS_KEY) > REPLICA_AGE:
            return "the replica list is too old"
        return None

    async def wait_until_fresh(self, partner, ends_at):
        """Returns once the state is recent enough; raises with the verdict NO if `ends_at` passes first."""
        await self._wait_until_clear(lambda: self.staleness(partner), ends_at)

    async def find_confirmed(self, partner, name, kind, received_at, ends_at):
        """The binding, from state that is recent enough. A missing binding is reported only from state that was
        confirmed after the request arrived at `received_at` (this node's clock), because the binding may belong to a
        plan that has just been accepted."""
        await self.wait_until_fresh(partner, ends_at)
        try:
            return self.find(partner, name, kind)
        except RequestRejectedError:
            await self._wait_until_clear(lambda: self._missing_confirmation(partner, received_at), ends_at)
        return self.find(partner, name, kind)

    def _missing_confirmation(self, partner, received_at):
        confirmed_at = self._node.reactor.seconds() - gossiped_plan(self._state_table, partner)[0]
        return None if confirmed_at >= received_at else "the state has not been confirmed since the request arrived"

    async def _wait_until_clear(self, find_obstacle, ends_at):
        """Returns once `find_obstacle()` returns None; if `ends_at` passes first, its result is the reason of the
        error."""
        reactor, has_pulled = self._node.reactor, False
        while (reason := find_obstacle()) is not None:
            if reactor.seconds() >= ends_at:
                raise QuorumUnavailableError(f"{reason}, so the request was not forwarded", retry_after=1)
            if not has_pulled:
                has_pulled = True
                spawn(self._node.gossip_client.pull_now(), self._node.log)
            await sleep(reactor, FRESH_POLL)
