"""Raw requests: the chain of filters from a caller's request to a replica's answer and back.

route -> authenticate -> (claim | admit + recall) -> place -> send -> pass on -> (finish | retain + settle). What a
route's kind asks for is composed from the same filters; the dialect reads and writes headers and decides nothing.

Invariants: a request that is not repeatable is sent again only after a promise that it did not run; an answer of ours
makes that promise (verdict no) only if nothing of the request can have run or will run; an answer that began is either
passed on to its end or its connection is closed.
"""

from oakramp.common.constants import HOLD_SHARE, OUTAGE_RETRY_AFTER, OUTAGE_SHARE, RETRY_AFTER_LEAST
from oakramp.common.errors import BadRequestError, NotFoundError, OakrampError, QuorumUnavailableError, Verdict
from oakramp.common.tasks import spawn
from oakramp.gateway.authentication import Authenticator
from oakramp.gateway.fresh_state import FreshStateWaiter
from oakramp.gateway.programs import Programs
from oakramp.gateway.proxied_request import ProxiedRequest, check_caller, may_repeat
from oakramp.gateway.proxy_forwarder import ProxyForwarder
from oakramp.gateway.proxy_idempotency import KeyedCalls
from oakramp.gateway.proxy_responses import LocalResponses
from oakramp.gateway.proxy_streams import Streams
from oakramp.gateway.request_losses import RequestLosses
from oakramp.gateway.tenant_scope import scoped_request
from oakramp.gateway.unknown_routes import UnknownRouteLog


class RequestProxy:
    """What a gate does with each request that it has read."""

    def __init__(self, gate, dialect, router, balancer, upstreams, turn_client, placement):
        self._gate, self._reactor, self._log = gate, gate.node.reactor, gate.node.log
        self._dialect, self._router, self._metrics = dialect, router, gate.metrics
        self._answers = LocalResponses(self._reactor, dialect, gate.limits)
        self._programs = Programs()
        self._authenticator = Authenticator(self._reactor, router, self._log)
        self._carrier = ProxyForwarder(gate, dialect, router, balancer, upstreams, self._programs, self._authenticator)
        keyed = KeyedCalls(gate, dialect, self._carrier, self._answers)
        streams = Streams(gate, dialect, router, self._carrier, self._answers, turn_client, placement)
        self._news = FreshStateWaiter(
            self._reactor,
            lambda: router.staleness() or gate.replicas_staleness(),
            lambda: spawn(gate.node.gossip_client.pull_now(), gate.node.log),
        )
        self._losses = RequestLosses(self._reactor, self._log)
        self._unknown_routes = UnknownRouteLog(self._reactor, router, self._log)
        self._chains = {"safe": self._plain, "unsafe": self._plain, "tracked": keyed.serve, "stream": streams.serve}

    async def handle(self, exchange):
        """Answers the exchange, whatever happens."""
        request = self._dialect.request_of(exchange.method, exchange.target, exchange.headers)
        proxied_request = None
        try:
            proxied_request = await self._accept(exchange, request)
            await self._chains[proxied_request.route.kind](proxied_request)
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
                self._log.warning(
                    "proxied_request_failed",
                    code=error.code,
                    reason=error.reason,
                    verdict=error.verdict.value,
                    request=request.try_id,
                )
            if isinstance(error, QuorumUnavailableError):
                error.retry_after = self._outage_left(exchange, request)
            exchange.reply(*self._dialect.refusal(error, request))

    def _outage_left(self, exchange, request):
        """When to come back if something that all need is changing hands: after about a take-over's time, as far as
        the caller's own time allows."""
        time_left = (request.time_left_s or 0.0) - (self._reactor.seconds() - exchange.received_at)
        return max(RETRY_AFTER_LEAST, min(OUTAGE_RETRY_AFTER, OUTAGE_SHARE * time_left))

    async def _accept(self, exchange, request):
        """The request with its route, its tenant and its time, once the news may be acted on."""
        if request.fault is not None:
            raise BadRequestError(request.fault)
        why = await self._news.wait(exchange.received_at + HOLD_SHARE * (request.time_left_s or 0.0))
        if why is not None:
            raise QuorumUnavailableError(why)
        check_caller(exchange)
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
            proxied_request.last_id = request.resume_after  # what its caller has had already
        if route.kind == "stream":
            proxied_request.begins_program = self._programs.begins(request)
        if request.finish_s is not None:
            proxied_request.finish_at = exchange.received_at + request.finish_s
        proxied_request.affinity = (request.program or "") if route.pinned or route.kind == "stream" else ""
        return proxied_request

    async def _plain(self, proxied_request):
        await self._carrier.forward(proxied_request, self._answers.relay)
