"""The fenced task of replica orders: one node sizes services by reported demand and sends orders to the platform."""

from __future__ import annotations

import json
import math
from collections import Counter
from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

from oakramp.common.constants import REPLICA_AGE, ROUTING_AGE
from oakramp.control.fenced_task import CallOutcome, FencedCaller, FencedTask
from oakramp.control.replica_orders import ORDERS_KEY, Subject, demand_in, is_owed, orders_in
from oakramp.control.replica_registry import REPLICAS_KEY
from oakramp.control.replica_sizing import ReplicaRange, ServiceSizing, ZoneReplicas
from oakramp.control.routing import ROUTING_KEY, document_from
from oakramp.control.shards import shard_of_key
from oakramp.control.singleton_task import SingletonTask

if TYPE_CHECKING:
    from oakramp.common.fenced_call import CallFormat
    from oakramp.control.leader_registry import LeaderRegistry
    from oakramp.control.shard_leader import ShardLeader
    from oakramp.gossip.node import Node

SIZING_ROUND = 1.0  # s; the interval at which gateways report
REPORTING_SHARE = 0.8  # of the live gateways; with fewer reports the demand counts as unknown
READY = "ready"


class FleetView:
    """What this node knows by gossip: the replicas, and the services whose number of replicas this task chooses.

    `services` has {replica_range, slots} by name, of the version in `_version`.
    """

    def __init__(self, node: Node, dialect: Any) -> None:
        self._node, self._dialect = node, dialect
        self._version = 0
        self.services: dict[str, dict[str, Any]] = {}

    def is_fresh(self) -> bool:
        """Whether replicas and configuration were confirmed within their age bounds. Reads a new configuration."""
        bounds, table = self._node.env.get("bounds") or {}, self._node.state_table
        if table.age(REPLICAS_KEY) > bounds.get("leaving_s", REPLICA_AGE):
            return False
        if table.age(ROUTING_KEY) > bounds.get("routing_age_s", ROUTING_AGE):
            return False
        self._take_routing()
        return self._version > 0

    def _take_routing(self) -> None:
        snapshot = self._node.state_table.snapshots.get(ROUTING_KEY)
        if snapshot is None or snapshot.version == self._version:
            return
        version, document = document_from(self._node.state_table.values(ROUTING_KEY))
        if document is None:
            return
        services = self._dialect.routing_of(document)["services"]
        self.services = {name: row for name, row in services.items() if row.get("replica_range")}
        self._version = version

    def replicas(self) -> dict[str, list[dict[str, Any]]]:
        """The listed rows by service, of those with a zone."""
        by_service: dict[str, list[dict[str, Any]]] = {}
        for value in self._node.state_table.values(REPLICAS_KEY).values():
            row = json.loads(value)
            if row.get("zone"):
                by_service.setdefault(row["pool"], []).append(row)
        return by_service

    def is_demand_known(self, gateways: int) -> bool:
        """Whether this number of gateways is at least REPORTING_SHARE of the live ones."""
        live = self._node.members.live_count("gate")
        return live > 0 and gateways >= math.ceil(REPORTING_SHARE * live)


def range_of(row: dict[str, Any]) -> ReplicaRange:
    """The range of a service of the routing table."""
    replica_range = row["replica_range"]
    return ReplicaRange(replica_range["min"], replica_range["max"], replica_range["boot_s"])


def slots_of(service: dict[str, Any], rows: Iterable[dict[str, Any]]) -> float | None:
    """Concurrent requests of one replica, on average over the list, or else as configured; None if neither is known."""
    reported = [row["slots"] for row in rows if row.get("slots")]
    return sum(reported) / len(reported) if reported else service.get("slots")


def zones_of(rows: Iterable[dict[str, Any]], ordered: dict[str, int]) -> dict[str, ZoneReplicas]:
    """The replicas of each zone in which the service runs or was ordered; `ordered` has the ordered counts by zone."""
    ready, leaving = Counter[str](), Counter[str]()
    for row in rows:
        (ready if row["state"] == READY else leaving)[row["zone"]] += 1
    zones = ready.keys() | leaving.keys() | ordered.keys()
    return {zone: ZoneReplicas(ready[zone], leaving[zone], ordered.get(zone)) for zone in sorted(zones)}


class ReplicaSizingTask(SingletonTask):
    """Decides on orders and replicates them; it sends nothing.

    Invariant: `_sizings` hold only demand that was observed while `_leader` leads.
    """

    def __init__(self, node: Node, leaders: LeaderRegistry, view: FleetView) -> None:
        super().__init__(node, leaders, ORDERS_KEY, SIZING_ROUND)
        self._view = view
        self._leader: ShardLeader | None = None
        self._sizings: dict[str, ServiceSizing] = {}

    async def _work(self, leader: ShardLeader) -> None:
        if leader is not self._leader:
            self._leader, self._sizings = leader, {}
        gateways, demand = demand_in(leader.local_state, self._node.reactor.seconds())
        if not self._view.is_fresh():
            return
        known = orders_in(leader.entries)
        ended = [list(subject) for subject in known if subject[0] not in self._view.services]
        orders = self._orders(known, demand) if self._view.is_demand_known(gateways) else []
        if not orders and not ended:
            return
        await leader.do(ORDERS_KEY, "set", {"orders": orders, "ended": ended})
        for order in orders:
            self._node.log.info(
                "replicas_ordered",
                service=order["service"],
                zone=order["zone"],
                count=order["count"],
                epoch=leader.epoch,
            )

    def _orders(self, known: dict[Subject, dict[str, Any]], demand: Counter[str]) -> list[dict[str, Any]]:
        """The orders that differ from those already replicated."""
        now, listed = self._node.reactor.seconds(), self._view.replicas()
        orders = []
        for name, service in self._view.services.items():
            rows = listed.get(name, [])
            slots = slots_of(service, rows)
            if not slots:
                continue
            sizing = self._sizings.setdefault(name, ServiceSizing())
            sizing.observe(now, demand[name])
            ordered = {zone: row["count"] for (owner, zone), row in known.items() if owner == name}
            changes = sizing.orders(now, slots, range_of(service), zones_of(rows, ordered))
            orders += [{"service": name, "zone": zone, "count": count} for zone, count in changes.items()]
        return orders


class ReplicaOrderTask(FencedTask):
    """Sends the orders that the platform has not accepted yet, one at a time."""

    def __init__(self, node: Node, leaders: LeaderRegistry, caller: FencedCaller, form: CallFormat) -> None:
        super().__init__(node, leaders, ORDERS_KEY, caller)
        self._form = form

    async def _work(self, leader: ShardLeader) -> None:
        while self._may_call(leader) and any(map(is_owed, orders_in(leader.entries).values())):
            order = (await leader.do(ORDERS_KEY, "owed", {}))["order"]
            if order is None:
                return
            request = self._form.replica_order(order["service"], order["zone"], order["count"])
            outcome = await self._call(leader, request)
            if outcome is CallOutcome.ACCEPTED:
                await leader.do(ORDERS_KEY, "accepted", order)
            elif outcome is CallOutcome.REFUSED and (await leader.do(ORDERS_KEY, "refused", order))["given_up"]:
                self._node.log.error(
                    "replica_order_given_up", service=order["service"], zone=order["zone"], count=order["count"]
                )


class ReplicaOrdering:
    """Both tasks on one node: sizing services and sending orders."""

    def __init__(
        self, node: Node, leaders: LeaderRegistry, caller: FencedCaller, form: CallFormat, dialect: Any
    ) -> None:
        self._leaders = leaders
        self._shard = shard_of_key(ORDERS_KEY)
        self._sizing = ReplicaSizingTask(node, leaders, FleetView(node, dialect))
        self._orders = ReplicaOrderTask(node, leaders, caller, form)

    def start(self) -> None:
        """Starts both tasks; they work while this node leads the shard."""
        self._sizing.start()
        self._orders.start()

    def stop(self) -> None:
        """Stops both tasks."""
        self._sizing.stop()
        self._orders.stop()

    def orders_owed(self) -> int:
        """The number of orders not accepted by the platform yet; 0 on a node that does not run the fenced task."""
        leader = self._leaders.active.get(self._shard)
        return 0 if leader is None else sum(map(is_owed, orders_in(leader.entries).values()))
