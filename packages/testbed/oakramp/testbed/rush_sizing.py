"""Benefit and cost of autoscaling policies in a rush, in the model of `oakramp.testbed.rush`: never, maximum, or by
demand.

Replicas are started and drained while the scene runs. A replica is paid for from its order to its end.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from oakramp.common.tasks import sleep, spawn
from oakramp.control.replica_registry import REPLICAS_KEY
from oakramp.control.replica_sizing import ReplicaRange, ServiceSizing, ZoneReplicas
from oakramp.testbed.engine import Engine
from oakramp.testbed.rush import ENGINE, POLICIES, SERVICE, ZONES, Scene, Site, replica_row

LIST_LAG_S = 0.8  # until gateways know a change of the replica list
DRAIN_S = 5.0  # for which a replica continues to serve after it was listed as leaving
REPLICA_RANGE = ReplicaRange(least=1, most=6, boot_s=4.0)
SIZING_SCENES = {
    "a rush": Scene(rate=20, rush_rate=60, rush_from=60.0, rush_to=120.0, seconds=300.0, replicas=6),
    "calm": Scene(rate=20, seconds=300.0, replicas=18),
}
ORDER_POLICIES = ("never", "most", "demand")


@dataclass
class SizedSite(Site):
    """One run. Invariants: `states` has the zone and state (starting, ready or leaving) of each replica that is paid
    for; `replica_seconds` is the cost so far."""

    orders: str = "never"
    states: dict[str, tuple[str, str]] = field(default_factory=dict)
    ordered: dict[str, int] = field(default_factory=dict)
    replica_seconds: float = 0.0
    changes: int = 0

    def __post_init__(self) -> None:
        super().__post_init__()
        self.serve = POLICIES.find("gateways")
        self.states = {name: (ZONES[position % len(ZONES)], "ready") for position, name in enumerate(self.engines)}
        self._sizing = ServiceSizing()
        self._versions = 1
        if self.orders == "most":
            for zone in ZONES:
                if more := REPLICA_RANGE.most - self._zone(zone).expected:
                    self._order(zone, REPLICA_RANGE.most, more)
        spawn(self._every_second(), self.log)

    def _zone(self, zone: str) -> ZoneReplicas:
        counts = Counter(state for where, state in self.states.values() if where == zone)
        return ZoneReplicas(counts["ready"], counts["leaving"], self.ordered.get(zone))

    async def _every_second(self) -> None:
        while True:
            await sleep(self.reactor, 1.0)
            if self.reactor.seconds() > self.scene.seconds:
                return
            self.replica_seconds += len(self.states)
            if self.orders == "demand":
                self._size()

    def _size(self) -> None:
        now = self.reactor.seconds()
        taken = [gateway.balancer.take_demand(SERVICE) for gateway in self.gateways]
        active, refused = sum(one for one, _ in taken), sum(one for _, one in taken)
        self._sizing.observe(now, active + min(refused, max(1, active)))
        zones = {zone: self._zone(zone) for zone in ZONES}
        for zone, wanted in self._sizing.orders(now, ENGINE.berths, REPLICA_RANGE, zones).items():
            self._order(zone, wanted, wanted - zones[zone].expected)

    def _order(self, zone: str, wanted: int, more: int) -> None:
        self.ordered[zone] = wanted
        self.changes += 1
        for _ in range(more):
            spawn(self._start(zone), self.log)
        ready = [name for name, known in self.states.items() if known == (zone, "ready")]
        for name in ready[max(0, len(ready) + min(0, more)) :]:
            spawn(self._close(name, zone), self.log)

    async def _start(self, zone: str) -> None:
        name = f"r{len(self.engines)}"
        self.engines[name] = Engine(self.reactor, ENGINE)
        self.states[name] = zone, "starting"
        await sleep(self.reactor, REPLICA_RANGE.boot_s)
        self._list(name, (zone, "ready"))

    async def _close(self, name: str, zone: str) -> None:
        self._list(name, (zone, "leaving"))
        await sleep(self.reactor, DRAIN_S)
        self._list(name, None)

    def _list(self, name: str, state: tuple[str, str] | None) -> None:
        if state is None:
            del self.states[name]
        else:
            self.states[name] = state
        self.reactor.callLater(LIST_LAG_S, self._publish)

    def _publish(self) -> None:
        self._versions += 1
        listed = {name: known for name, known in self.states.items() if known[1] != "starting"}
        rows = {name: replica_row(name, zone, state) for name, (zone, state) in listed.items()}
        for gateway in self.gateways:
            gateway.state_table.set_items(REPLICAS_KEY, self._versions, rows)


def play_orders(orders: str, scene: Scene, seed: int) -> SizedSite:
    """One run of an autoscaling policy, with the gateways' real balancing."""
    site = SizedSite(scene, seed, orders=orders)
    site.run()
    return site
