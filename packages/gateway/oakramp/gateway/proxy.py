"""Handles proxied HTTP requests: the steps from a client's request to a replica's response and back.

route -> authenticate -> (claim | admit + read history) -> place -> send -> relay -> (finish claim | retain turn +
settle budget). The handler of each route kind is composed from the same steps; the dialect only reads and writes
headers and makes no decisions.

Invariants: a request that is not repeatable is retried only after a guarantee that it did not run; a response created
by the gateway gives that guarantee (verdict no) only if no part of the request can have run or will run; a response
that has started is either relayed to its end or its connection is closed.
"""

from oakramp.common.constants import HOLD_SHARE, OUTAGE_RETRY_AFTER, OUTAGE_SHARE, RETRY_AFTER_MIN
from oakramp.common.errors import BadRequestError, NotFoundError, OakrampError, QuorumUnavailableError, Verdict
from oakramp.common.tasks import spawn
from oakramp.gateway.authentication import Authenticator
from oakramp.gateway.fresh_state import FreshStateWaiter
from oakramp.gateway.programs import Programs
from oakramp.gateway.proxied_request import ProxiedRequest, ResponseSummary, check_client_connected, may_repeat
from oakramp.gateway.proxy_forwarder import ProxyForwarder
from oakramp.gateway.proxy_idempotency import IdempotentCallHandler
from oakramp.gateway.proxy_responses import ResponseRelay
from oakramp.gateway.proxy_streams import StreamHandler
from oakramp.gateway.request_losses import RequestLosses
from oakramp.gateway.tenant_scope import scoped_request
from oakramp.gateway.unknown_routes import UnknownRouteLog


class RequestProxy:
    """Handles each request that the gateway has read from a client connection."""

    def __init__(self, gate, dialect, router, balancer, upstreams, turn_client, placement):
        self._gate, self._reactor, self._log = gate, gate.node.reactor, gate.node.log
        self._dialect, self._router, self._metrics = dialect, router, gate.metrics
        self._responses = ResponseRelay(self._reactor, dialect, gate.limits)
        self._programs = Programs()
        self._authenticator = Authenticator(self._reactor, router, self._log)
        self._forwarder = ProxyForwarder(
            gate, dialect, router, balancer, upstreams, self._programs, self._authenticator
        )
        idempotent_calls = IdempotentCallHandler(gate, dialect, self._forwarder, self._responses)
        streams = StreamHandler(gate, dialect, router, self._forwarder, self._responses, turn_client, placement)
        self._fresh_state = FreshStateWaiter(
            self._reactor,
            lambda: router.staleness() or gate.replicas_staleness(),
            lambda: spawn(gate.node.gossip_client.pull_now(), gate.node.log),
        )
        self._losses = RequestLosses(self._reactor, self._log)
        self._unknown_routes = UnknownRouteLog(self._reactor, router, self._log)
        self._handlers = {
            "safe": self._forward_plain,
            "unsafe": self._forward_plain,
            "tracked": idempotent_calls.serve,
            "stream": streams.serve,
        }

    async def handle(self, exchange):
        """Responds to the exchange; on an error, rejects the request or aborts a response that has started."""
        request = self._dialect.parse_request(exchange.method, exchange.target, exchange.headers)
        proxied_request = None
        try:
            proxied_request = await self._accept(exchange, request)
            await self._handlers[proxied_request.route.kind](proxied_request)
            self._metrics.count("relay", outcome="done")
            self._losses.answered(proxied_request)
        except OakrampError as error:
            self._metrics.count("relay", outcome=error.code)
            if proxied_request is not None:
                self._losses.failed(proxied_request, error)
            if exchange.is_gone:
                return
            if exchange.begun:
                exchange.abort()
                return
            if error.verdict is not Verdict.NO:
                response = ResponseSummary() if proxied_request is None else proxied_request.response_summary
                self._log.warning(
                    "proxied_request_failed",
                    code=error.code,
                    reason=error.reason,
                    verdict=error.verdict.value,
                    request=request.try_id,
                    framing=response.framing,
                    ended_by=response.ended_by,
                    response_length=response.length,
                    response_bytes=response.received,
                )
            if isinstance(error, QuorumUnavailableError):
                error.retry_after = self._outage_retry_after(exchange, request)
            exchange.reply(*self._dialect.error_response(error, request))

    def _outage_retry_after(self, exchange, request):
        """Retry-After in seconds while a component that all requests depend on fails over: about the duration of a
        failover, limited to a share of the request's remaining time."""
        time_left = (request.time_left_s or 0.0) - (self._reactor.seconds() - exchange.received_at)
        return max(RETRY_AFTER_MIN, min(OUTAGE_RETRY_AFTER, OUTAGE_SHARE * time_left))

    async def _accept(self, exchange, request):
        """Resolves a request's route, tenant and deadline, once the routing and the replica list are fresh enough."""
        if request.fault is not None:
            raise BadRequestError(request.fault)
        reason = await self._fresh_state.wait(exchange.received_at + HOLD_SHARE * (request.time_left_s or 0.0))
        if reason is not None:
            raise QuorumUnavailableError(reason)
        check_client_connected(exchange)
        route = self._router.find(exchange.host, exchange.path)
        if route is None:
            self._unknown_routes.note()
            raise NotFoundError("no route for this host and path")
        tenant = self._authenticator.tenant_of(request.api_key, route)
        request = scoped_request(tenant, request)
        time_left = route.timeout_s if request.time_left_s is None else min(request.time_left_s, route.timeout_s)
        ends_at = exchange.received_at + time_left
        proxied_request = ProxiedRequest(exchange, request, route, ends_at, may_repeat(route), body=exchange.body)
        proxied_request.tenant = tenant
        if proxied_request.may_repeat and route.kind == "stream":
            proxied_request.last_event_id = request.resume_after  # the last event that the client has received
        if route.kind == "stream":
            proxied_request.begins_program = self._programs.is_first_turn(request)
        if request.finish_s is not None:
            proxied_request.finish_at = exchange.received_at + request.finish_s
        proxied_request.affinity = (request.program or "") if route.pinned or route.kind == "stream" else ""
        return proxied_request

    async def _forward_plain(self, proxied_request):
        await self._forwarder.forward(proxied_request, self._responses.relay)
