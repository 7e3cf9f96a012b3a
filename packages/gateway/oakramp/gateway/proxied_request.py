"""One raw request on its way through the relay, and its caller's leaving."""

from contextlib import contextmanager
from dataclasses import dataclass, field
from hashlib import blake2b

from oakramp.common.errors import DeadlineExceededError, OakrampError, Verdict
from oakramp.gateway.proxy_types import ProxyRequest
from oakramp.gateway.routing import Route
from oakramp.gateway.tenant_scope import scoped_name
from oakramp.gateway.tenants import Tenant


@dataclass
class ProxiedRequest:
    """One request on its way. Invariants: `left` turns true before its first byte may reach a replica and stays so
    until a replica promised that it did not run it; `tries` counts replicas that it was sent to."""

    exchange: object
    request: ProxyRequest  # what it names is in its tenant's scope
    route: Route
    ends_at: float
    may_repeat: bool
    left: bool = False
    tries: int = 0
    leave_by: float = float("inf")
    tenant: Tenant | None = None  # None if there are none, or the route needs no key and the request has none
    excluded: set = field(default_factory=set)
    body: bytes = b""
    begins_program: bool = False  # whether it is the first turn of a program
    finish_at: float = float("inf")  # when its program should be over, in monotonic seconds, if anybody said so
    affinity: str = ""
    service: str = ""
    units: int = 0  # tokens in the events that were passed on
    last_id: str = None  # of the events that the caller has
    is_numbered: bool = True  # whether all of them with data have an id
    output: list = field(default_factory=list)
    output_size: int = 0
    head: tuple = None
    head_passed: bool = False
    stages: dict = field(default_factory=dict)  # name -> when it was reached first (monotonic seconds)
    replica_id: str | None = None  # the one it was placed at last
    replica_load: float = 0.0  # requests there, as known when it was placed
    sent_at: float = 0.0  # when its first byte was written to a replica last (monotonic seconds)
    is_counted: bool = False  # in its tenant's usage

    @property
    def priority(self):
        """Its tenant's, if that has one, else its route's."""
        if self.tenant is not None and self.tenant.priority is not None:
            return self.tenant.priority
        return self.route.priority

    @property
    def turn_id(self):
        """The id under which the stores keep this turn."""
        return scoped_name(self.tenant, self.request.try_id)

    def reached(self, stage, now):
        """Notes that the request has come to this stage."""
        self.stages.setdefault(stage, now)


class ClientDisconnectedError(OakrampError):
    """The caller went away, or takes its answer too slowly, and what was under way for it was given up."""

    code = "callerGone"


@contextmanager
def when_gone(exchange, function):
    """While inside, `function` is called as soon as the caller has gone; at once if it has."""
    inside = [True]

    def gone(result):
        if inside:
            function()
        return result

    exchange.gone.addCallback(gone)
    try:
        yield
    finally:
        inside.clear()


def check_caller(exchange):
    """Before anything more is done for a caller."""
    if exchange.is_gone:
        raise ClientDisconnectedError("the caller went away", Verdict.NO)


def stops_with_caller(proxied_request):
    """What may be repeated, and a stream that nobody reads, is dropped at its replica. A call that runs only once runs
    to its end: breaking it off undoes nothing, and the answer to a key is kept for its repeat."""
    return proxied_request.route.kind in ("safe", "stream")


def may_repeat(route):
    """Whether the route lets a request run more than once."""
    return route.kind == "safe" or (route.kind == "stream" and route.resumable)


def remaining(reactor, proxied_request):
    """Seconds that are left of the request's time; an error if none are."""
    left = proxied_request.ends_at - reactor.seconds()
    if left <= 0:
        raise DeadlineExceededError("no time is left", retry_after=None)
    return left


def remaining_run(reactor, proxied_request):
    """Seconds within which what runs already must end."""
    return max(0.001, proxied_request.ends_at - reactor.seconds())


def print_of(*parts):
    return blake2b(b"\0".join(parts), digest_size=16).hexdigest()
