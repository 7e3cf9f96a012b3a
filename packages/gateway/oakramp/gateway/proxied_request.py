"""The state of one proxied request, and the handling of client disconnects."""

import math
from contextlib import contextmanager
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import NamedTuple

from oakramp.common.errors import DeadlineExceededError, OakrampError, Verdict
from oakramp.gateway.idempotency_claim import IdempotencyClaim
from oakramp.gateway.proxy_types import ProxyRequest
from oakramp.gateway.routing import Route
from oakramp.gateway.tenant_scope import scoped_name
from oakramp.gateway.tenants import Tenant
from oakramp.http_proxy.response import Response


class ResponseSummary(NamedTuple):
    """What logs tell of a replica's response; `ended_by` is "none" before its end."""

    framing: str = "none"
    ended_by: str = "none"
    length: int = -1  # bytes that its head states; -1 without such a field
    received: int = 0  # bytes of its body that have arrived


@dataclass
class ProxiedRequest:
    """The state of one request while it is handled.

    Invariants: `may_have_run` becomes true before the first byte can reach a replica, and stays so until a replica
    guarantees that it did not run the request; `attempts` counts the replicas that the request was sent to."""

    exchange: object
    request: ProxyRequest  # the names in it are scoped to its tenant
    route: Route
    ends_at: float
    may_repeat: bool
    may_have_run: bool = False
    attempts: int = 0
    claim: IdempotencyClaim | None = None  # of its operation key, on routes that require one
    tenant: Tenant | None = None  # None without configured tenants, or for a request without a key on a keyless route
    excluded: set = field(default_factory=set)
    body: bytes = b""
    begins_program: bool = False  # whether it is the first turn of a program
    finish_at: float = float("inf")  # when its program should finish (monotonic seconds), if the client set a time
    affinity: str = ""
    service: str = ""
    tokens_sent: int = 0  # tokens in the events that were relayed
    last_event_id: str = None  # id of the last event relayed to the client
    has_event_ids: bool = True  # whether every relayed event with data has an id
    relayed_size: int = 0  # bytes of the events that were relayed
    repeated_size: int = 0  # bytes of events that came again from the replica that resumes the stream
    output: bytearray = field(default_factory=bytearray)  # what is kept of a turn: the data of its events, a line each
    output_size: int = 0
    output_room: int = 0  # bytes of output that room was taken for
    response: Response | None = None  # the last one whose head came
    response_head: tuple = None
    response_held: int = 0  # bytes of the response that room was taken for, while it is gathered
    head_sent: bool = False
    stages: dict = field(default_factory=dict)  # name -> when the request first reached it (monotonic seconds)
    replica_id: str | None = None  # the replica that it was placed on last
    replica_load: float = 0.0  # known number of requests on that replica at placement
    sent_at: float = 0.0  # when the first byte was last written to a replica (monotonic seconds)
    is_usage_counted: bool = False  # whether it was added to its tenant's usage

    @property
    def priority(self):
        """The priority of its tenant, or that of its route if the tenant has none."""
        if self.tenant is not None and self.tenant.priority is not None:
            return self.tenant.priority
        return self.route.priority

    @property
    def turn_id(self):
        """The id under which this turn is kept in the stores."""
        return scoped_name(self.tenant, self.request.try_id)

    @property
    def send_by(self):
        """Monotonic seconds after which it must not be sent under the claim that it holds."""
        return math.inf if self.claim is None else self.claim.send_by

    @property
    def response_summary(self):
        """What logs tell of its last response."""
        response = self.response
        if response is None:
            return ResponseSummary()
        return ResponseSummary(
            response.framing.value,
            "none" if response.ended_by is None else response.ended_by.value,
            -1 if response.length is None else response.length,
            response.received,
        )

    def record_stage(self, stage, now):
        """Records when the request first reached this stage."""
        self.stages.setdefault(stage, now)


class ClientDisconnectedError(OakrampError):
    """The client disconnected, or reads its response too slowly, and its request was cancelled."""

    code = "callerGone"


@contextmanager
def on_client_disconnect(exchange, function):
    """Within this context, calls `function` when the client disconnects, or immediately if it already has."""
    active = [True]

    def call_if_active(result):
        if active:
            function()
        return result

    exchange.gone.addCallback(call_if_active)
    try:
        yield
    finally:
        active.clear()


def check_client_connected(exchange):
    """Raises ClientDisconnectedError if the client has disconnected, so that no more work is done for it."""
    if exchange.is_gone:
        raise ClientDisconnectedError("the client disconnected", Verdict.NO)


def is_cancelled_on_disconnect(proxied_request):
    """Whether the request is cancelled on its replica when the client disconnects.

    Safe requests, which can be repeated, and streams, which no client reads any more, are cancelled. A call that must
    run at most once is left to finish: cancelling it would not undo its effects, and the response to an idempotency key
    is kept for a repeat."""
    return proxied_request.route.kind in ("safe", "stream")


def may_repeat(route):
    """Whether requests on this route may run more than once."""
    return route.kind == "safe" or (route.kind == "stream" and route.resumable)


def remaining_time(reactor, proxied_request):
    """Seconds until the request's deadline; DeadlineExceededError if it has passed."""
    remaining_s = proxied_request.ends_at - reactor.seconds()
    if remaining_s <= 0:
        raise DeadlineExceededError("the deadline of the request has passed", retry_after=None)
    return remaining_s


def remaining_run_time(reactor, proxied_request):
    """Seconds within which a request that is already running must finish; at least 0.001."""
    return max(0.001, proxied_request.ends_at - reactor.seconds())


def fingerprint_of(*parts):
    return blake2b(b"\0".join(parts), digest_size=16).hexdigest()
