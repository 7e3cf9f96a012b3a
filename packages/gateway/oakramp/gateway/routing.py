"""The gateway's routing table, which maps a request to its service; rebuilt from gossip when the version changes.

Each version builds a whole new table, but reuses the parts whose source is unchanged: an entry is unpacked, parsed and
turned into a route again only if it has changed. A new version therefore costs a cheap pass over all routes, plus the
work for the entries that changed.
"""

from bisect import bisect_right
from dataclasses import dataclass, field
from itertools import accumulate

from oakramp.common.constants import ROUTING_AGE, ROUTING_AGE_POLL, ROUTING_STRETCH
from oakramp.common.tasks import Repeater
from oakramp.control.routing import ROUTING_KEY, document_of, host_of
from oakramp.control.shards import unpack_entry
from oakramp.gateway.tenants import TenantTable


@dataclass(frozen=True)
class Route:
    """One route, independent of the platform's format. Invariant: at least one backend has a weight above 0."""

    name: str
    host: str
    path_prefix: str
    kind: str  # safe, unsafe, tracked, stream
    timeout_s: float
    target_s: float
    priority: int  # 0 is the highest
    backends: tuple  # of (service, weight)
    max_attempts: int = 1
    retained: bool = False
    retain_s: float = 0.0
    resumable: bool = False
    gap_target_s: float | None = None
    pinned: bool = False
    is_keyless: bool = False  # whether requests are accepted without a tenant's key
    _weighted: tuple = field(init=False, repr=False, compare=False, default=())

    def __post_init__(self):
        weighted = [(service, weight) for service, weight in self.backends if weight > 0]
        object.__setattr__(self, "backends", tuple(map(tuple, self.backends)))
        object.__setattr__(
            self,
            "_weighted",
            (tuple(service for service, _ in weighted), tuple(accumulate(weight for _, weight in weighted))),
        )

    def pick_service(self, fraction):
        """The service selected by a number in [0, 1), in proportion to the weights."""
        services, bounds = self._weighted
        return services[min(bisect_right(bounds, fraction * bounds[-1]), len(services) - 1)]


class _HostRoutes:
    """The routes of one host by path prefix; each prefix ends with a slash, and the longest match is used."""

    def __init__(self, routes):
        self._by_prefix = {route.path_prefix: route for route in routes}
        self._longest_prefix = max(map(len, self._by_prefix))

    def find(self, path):
        end = path.rfind("/", 0, self._longest_prefix)
        while end >= 0:
            route = self._by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


class Router:
    """Invariants: `version` never decreases while the process runs; routes, services, limits and tenants all belong to
    that version."""

    def __init__(self, node, dialect):
        self._node, self._state_table, self._dialect = node, node.state_table, dialect
        self._unpacked = {}  # name of a piece -> (published bytes, unpacked value)
        self._parsed = {}  # the dialect's cache of parsed parts of the last valid document
        self._route_cache = {}  # name -> (row, the Route built from it)
        self._hosts = {}
        self._tenant_rows = None  # the rows that `tenants` was built from
        self._unreadable_version = None
        self.version, self.routes, self.services, self.limits = 0, {}, {}, {}
        self.tenants = TenantTable(None)
        node.state_table.watch(ROUTING_KEY, self._on_routing_changed)
        self._on_routing_changed(ROUTING_KEY)

    def _on_routing_changed(self, source):
        """Called by the state table; a fault in a document must not keep other updates from being applied."""
        values = self._state_table.values(ROUTING_KEY) if source == ROUTING_KEY else {}
        version = self._state_table.snapshots[ROUTING_KEY].version if values else 0
        if version <= self.version:
            return
        try:
            self._unpacked = {
                name: previous
                if (previous := self._unpacked.get(name)) and previous[0] == value
                else (value, unpack_entry(value))
                for name, value in values.items()
            }
            document = document_of({name: piece for name, (_, piece) in self._unpacked.items()})
            self._apply(version, self._dialect.routing_of(document, self._parsed))
        except Exception as error:
            # Requests must not be routed by an older table, so none are routed until a readable version arrives.
            self._unreadable_version = version
            self._node.log.warning("routing_unreadable", version=version, error=repr(error))

    def _apply(self, version, table):
        built = {
            row["name"]: previous
            if (previous := self._route_cache.get(row["name"])) and previous[0] is row
            else (row, Route(**row))
            for row in table["routes"]
        }
        routes = {name: route for name, (_, route) in built.items()}
        by_host = {}
        for route in routes.values():
            by_host.setdefault(host_of(route.host), []).append(route)
        self._hosts = {host: _HostRoutes(of_host) for host, of_host in by_host.items()}
        self._route_cache = built
        self._apply_tenants(table.get("tenants"))
        self.version, self.routes, self.services, self.limits = version, routes, table["services"], table["limits"]
        self._unreadable_version = None
        self._node.log.info("routing_applied", version=version, routes=len(routes), age_s=round(self.age(), 3))

    def _apply_tenants(self, rows):
        if rows != self._tenant_rows:
            self.tenants, self._tenant_rows = TenantTable(rows), rows

    def find(self, host, path):
        """The route for a host and a path, or None."""
        routes = self._hosts.get(host_of(host))
        return None if routes is None else routes.find(path.partition("?")[0])

    def staleness(self):
        """The reason why no request may be routed by this table now, or None.

        A confirmed change is in force at every gateway within `age_bound`. A table that was not confirmed within that
        time may therefore lack a change; the gateway cannot tell what kept updates from arriving.
        """
        return self._unusable_reason(self.age_bound())

    def not_ready_reason(self):
        """The reason why a component that selects gateways should leave this one out, or None.

        During a shard handoff no gateway receives updates for a moment. Gateways reject requests meanwhile but stay
        ready: a component that left out all of them would have no target, and would take them back only some time
        after they serve again.
        """
        bounds = self._node.env.get("bounds") or {}
        return self._unusable_reason(self.age_bound() + bounds.get("routing_stretch_s", ROUTING_STRETCH))

    def _unusable_reason(self, max_age_s):
        if self._unreadable_version is not None:
            return f"version {self._unreadable_version} of the routing cannot be read by this gateway"
        if not self.version:
            return "no routing has been received yet"
        if self.age() > max_age_s:
            return "the routing table is too old"
        return None

    def age(self):
        """Seconds since the table was last confirmed to be the latest version."""
        return self._state_table.age(ROUTING_KEY)

    def age_bound(self):
        """Seconds within which a new version is in force at every gateway."""
        return (self._node.env.get("bounds") or {}).get("routing_age_s", ROUTING_AGE)


class RoutingAgeWatch:
    """Logs when a gateway's routing table has not been confirmed for longer than `age_bound`, the time within which a
    new version must be in force, and when it is confirmed again. `_outdated_since` is when that began (monotonic
    seconds), or None."""

    def __init__(self, reactor, router, log):
        self._reactor, self._router, self._log = reactor, router, log
        self._outdated_since = None
        self._repeater = Repeater(reactor, ROUTING_AGE_POLL, self._poll, log)

    def start(self):
        """Starts the periodic check."""
        self._repeater.start()

    def stop(self):
        """Stops the periodic check."""
        self._repeater.stop()

    async def _poll(self):
        is_outdated = bool(self._router.version) and self._router.age() > self._router.age_bound()
        if is_outdated == (self._outdated_since is not None):
            return
        now, version = self._reactor.seconds(), self._router.version
        if is_outdated:
            self._outdated_since = now
            self._log.warning("routing_outdated", version=version, age_s=round(self._router.age(), 3))
            return
        outdated_s, self._outdated_since = round(now - self._outdated_since, 3), None
        self._log.info("routing_confirmed", version=version, outdated_s=outdated_s)
