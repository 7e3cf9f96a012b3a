"""Which service a request is for: the gate's routing table, made from the news whenever its version moves.

Each table is made whole, but what its parts were made of is remembered: an entry is unpacked, read and made a route
again only if it has changed. So a version costs a pass over all routes that does little for each, and the work for what
changed.
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
    """One route in the product's terms. Invariant: some backend has a weight above 0."""

    name: str
    host: str
    path_prefix: str
    kind: str  # safe, unsafe, tracked, stream
    timeout_s: float
    target_s: float
    priority: int  # 0 goes first
    backends: tuple  # of (service, weight)
    max_attempts: int = 1
    retained: bool = False
    retain_s: float = 0.0
    resumable: bool = False
    gap_target_s: float | None = None
    pinned: bool = False
    is_keyless: bool = False  # its requests need no tenant's key
    _weighted: tuple = field(init=False, repr=False, compare=False, default=())

    def __post_init__(self):
        weighted = [(service, weight) for service, weight in self.backends if weight > 0]
        object.__setattr__(self, "backends", tuple(map(tuple, self.backends)))
        object.__setattr__(
            self,
            "_weighted",
            (tuple(service for service, _ in weighted), tuple(accumulate(weight for _, weight in weighted))),
        )

    def pick_service(self, number):
        """The service that this number in [0, 1) falls to, in proportion to the weights."""
        services, bounds = self._weighted
        return services[min(bisect_right(bounds, number * bounds[-1]), len(services) - 1)]


class _Host:
    """The routes of one host, found by their prefixes, which end with a slash."""

    def __init__(self, routes):
        self._by_prefix = {route.path_prefix: route for route in routes}
        self._longest = max(map(len, self._by_prefix))

    def find(self, path):
        end = path.rfind("/", 0, self._longest)
        while end >= 0:
            route = self._by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


class Router:
    """Invariants: `version` never falls within one life; routes, services, limits and tenants are of that version,
    whole."""

    def __init__(self, node, dialect):
        self._node, self._state_table, self._dialect = node, node.state_table, dialect
        self._unpacked = {}  # name of a piece -> (as it was published, as it was unpacked)
        self._parsed = {}  # the dialect's own, of the last sound document
        self._made = {}  # name -> (row, the route made of it)
        self._hosts = {}
        self._tenant_rows = None  # what `tenants` was made of
        self._unreadable = None
        self.version, self.routes, self.services, self.limits = 0, {}, {}, {}
        self.tenants = TenantTable(None)
        node.state_table.watch(ROUTING_KEY, self._moved)
        self._moved(ROUTING_KEY)

    def _moved(self, source):
        """Told by the board; what is wrong with a document must not stop its other news."""
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
            self._take(version, self._dialect.routing_of(document, self._parsed))
        except Exception as error:
            # Nothing may be carried by an older table, so nothing is carried at all.
            self._unreadable = version
            self._node.log.warning("routing_unreadable", version=version, error=repr(error))

    def _take(self, version, table):
        made = {
            row["name"]: previous
            if (previous := self._made.get(row["name"])) and previous[0] is row
            else (row, Route(**row))
            for row in table["routes"]
        }
        routes = {name: route for name, (_, route) in made.items()}
        by_host = {}
        for route in routes.values():
            by_host.setdefault(host_of(route.host), []).append(route)
        self._hosts = {host: _Host(of_host) for host, of_host in by_host.items()}
        self._made = made
        self._take_tenants(table.get("tenants"))
        self.version, self.routes, self.services, self.limits = version, routes, table["services"], table["limits"]
        self._unreadable = None
        self._node.log.info("routing_applied", version=version, routes=len(routes), age_s=round(self.age(), 3))

    def _take_tenants(self, rows):
        if rows != self._tenant_rows:
            self.tenants, self._tenant_rows = TenantTable(rows), rows

    def find(self, host, path):
        """The route of a request by its host and path, or None."""
        routes = self._hosts.get(host_of(host))
        return None if routes is None else routes.find(path.partition("?")[0])

    def staleness(self):
        """Why no request may be carried by this table now, or None.

        A change that was confirmed is in force everywhere within `age_bound`. So a table that was not confirmed within
        that time may lack one, whatever kept the news from coming, and this gateway cannot tell what did.
        """
        return self._why_unusable(self.age_bound())

    def why_not_ready(self):
        """Why this gateway is of no use to those that choose among gateways, or None.

        While a shard changes hands all gateways are without news for a moment. They refuse meanwhile, but call
        themselves ready: who leaves out all of them has nowhere to go, and takes them back later than they serve again.
        """
        bounds = self._node.env.get("bounds") or {}
        return self._why_unusable(self.age_bound() + bounds.get("routing_stretch_s", ROUTING_STRETCH))

    def _why_unusable(self, longest):
        if self._unreadable is not None:
            return f"version {self._unreadable} of the routing cannot be read here"
        if not self.version:
            return "no routing is known yet"
        if self.age() > longest:
            return "the routing's news is too old"
        return None

    def age(self):
        """Seconds since the table was last confirmed to be the newest."""
        return self._state_table.age(ROUTING_KEY)

    def age_bound(self):
        """Seconds within which a new version is in force at every gateway."""
        return (self._node.env.get("bounds") or {}).get("routing_age_s", ROUTING_AGE)


class RoutingAgeWatch:
    """Logs when a gateway's routing table has not been confirmed for longer than a new version may take, and when it
    is confirmed again. `_outdated_since` is when that began (monotonic seconds), or None."""

    def __init__(self, reactor, router, log):
        self._reactor, self._router, self._log = reactor, router, log
        self._outdated_since = None
        self._repeater = Repeater(reactor, ROUTING_AGE_POLL, self._poll, log)

    def start(self):
        """Starts to look."""
        self._repeater.start()

    def stop(self):
        """Ends it."""
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
