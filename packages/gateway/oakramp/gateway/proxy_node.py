"""The gateway process for proxied HTTP requests: wires the proxy, the readiness endpoint and metrics; uses no disk."""

import time
from dataclasses import dataclass

from oakramp.common.constants import (
    ACCEPT_QUEUE_LIMIT,
    BODY_LIMIT,
    FORGET_AGE,
    IDLE_CLIENT_TIME,
    PROXY_IN_FLIGHT,
    READY_DRAIN,
    REPLICA_AGE,
    RETRY_AFTER_MIN,
    SETTLE_TIME,
)
from oakramp.common.errors import OverloadedError, QuorumUnavailableError
from oakramp.common.metrics import serve_metrics
from oakramp.common.settings import orders_replicas
from oakramp.common.tasks import sleep
from oakramp.control.replica_registry import REPLICAS_KEY
from oakramp.gateway.balancer import Balancer
from oakramp.gateway.base import GateBase
from oakramp.gateway.demand_reporter import DemandReporter
from oakramp.gateway.prefix_placement import PrefixPlacement
from oakramp.gateway.proxy import RequestProxy
from oakramp.gateway.routing import Router, RoutingAgeWatch
from oakramp.gateway.usage_counter import NullUsageCounter, UsageCounter
from oakramp.http_proxy.listener import Listener
from oakramp.http_proxy.upstream import Upstreams
from oakramp.store.turns import TurnClient


@dataclass(frozen=True)
class Limits:
    """Limits on the size and the duration of clients' requests; the defaults apply until the routing sets others."""

    header_bytes: int = 16 << 10
    body_bytes: int = BODY_LIMIT
    header_s: float = 3.0
    idle_s: float = IDLE_CLIENT_TIME


LEAVING_MARGIN = 0.1  # share of the bound for leaving replicas, reserved for a request's transit to the replica
STOP_MARGIN = 1.0  # s; part of the grace period, reserved for settling budgets and for the exit of the process


class ProxyNode(GateBase):
    """Invariant: while `stopping`, the gateway reports itself as not ready but still serves requests that arrive."""

    def __init__(self, reactor, env, _disk, random, sink, wall=time.time, dialect=None):
        super().__init__(reactor, env, random, sink, wall)
        self._env, self._dialect, self.stopping = env, dialect, False
        bounds = env.get("bounds") or {}
        self._max_replica_list_age_s = (
            bounds["leaving_s"] * (1 - LEAVING_MARGIN) if "leaving_s" in bounds else REPLICA_AGE
        )
        self._grace_s = bounds.get("grace_s", SETTLE_TIME)
        self.router = Router(self.node, dialect)
        self._routing_age_watch = RoutingAgeWatch(reactor, self.router, self.node.log)
        self.placement = PrefixPlacement(self.node, self.leaders, self.metrics, self._cache_tokens_of)
        self.balancer = Balancer(self.node, self.node.log, self.placement)
        self.upstreams = Upstreams(
            reactor, env["relay"].rpartition(":")[0], self.node.log, self.node.backend_room, self.node.fair_turns
        )
        self.balancer.on_replica_removed = self.upstreams.close_instance
        turn_client = TurnClient(self.node)
        is_counting = "usage" in (env.get("platformTasks") or ())
        self.usage = UsageCounter(self, wall, bounds["usage_window_s"]) if is_counting else NullUsageCounter()
        self.demand = DemandReporter(self, self.router, self.balancer) if orders_replicas(env) else None
        self.relay = RequestProxy(
            self, dialect, self.router, self.balancer, self.upstreams, turn_client, self.placement
        )
        self._limits = (0, Limits())
        self.front = Listener(
            reactor,
            env["relay"],
            self.relay.handle,
            self.limits,
            self.node.log,
            PROXY_IN_FLIGHT,
            self._reject,
            memory_account=self.node.memory_account,
            clients_limit=self.node.limits.client_connections,
            fair_turns=self.node.fair_turns,
        )
        self.web = self.node.http_server(env["http"], ACCEPT_QUEUE_LIMIT)
        self.ready_web = self.node.http_server(env["ready"], ACCEPT_QUEUE_LIMIT)
        self.ready_web.route("GET", dialect.ready_path, self._ready)
        self.web.route("GET", "/condition", self._condition)
        serve_metrics(self.web, self.metrics)
        for name, read_value in (
            ("requests_running", lambda: self.front.running),
            ("requests_waiting", self.balancer.waiting_count),
            ("settling", lambda: len(self.settling)),
            ("members_live", lambda: len(self.node.members.live())),
            ("routing_age_seconds", lambda: round(min(self.router.age(), FORGET_AGE), 3)),
        ):
            self.metrics.gauge(name, read_value)
        self.metrics.gauge("client_connections", lambda: len(self.front.clients))
        self.node.memory_account.show(self.metrics)
        self.node.backend_room.show(self.metrics)
        self.upstreams.ends.show(self.metrics)
        turn_client.calls.show(self.metrics)

    def _cache_tokens_of(self, service):
        return self.router.services.get(service, {}).get("cache_tokens")

    def limits(self):
        """The limits of the routing version in force."""
        if self._limits[0] != self.router.version:
            self._limits = (self.router.version, Limits(**self.router.limits))
            self._report_lowered_limits(self._limits[1])
        return self._limits[1]

    def _report_lowered_limits(self, limits):
        """Logs that the routing lets clients send more than this process has memory for; it answers 503 to that."""
        account = self.node.memory_account
        if limits.body_bytes > account.largest_body or limits.header_bytes > account.largest_head:
            self.node.log.warning(
                "limits_above_memory",
                body_bytes=limits.body_bytes,
                largest_body=account.largest_body,
                header_bytes=limits.header_bytes,
                largest_head=account.largest_head,
            )

    def _reject(self, exchange):
        error = OverloadedError("the gateway has reached its limit of concurrent requests", retry_after=RETRY_AFTER_MIN)
        request = self._dialect.parse_request(exchange.method, exchange.target, exchange.headers)
        exchange.reply(*self._dialect.error_response(error, request))

    def replicas_staleness(self):
        """The reason why no request may be sent to any replica now, or None."""
        if self.node.state_table.age(REPLICAS_KEY) > self._max_replica_list_age_s:
            return "the replica list is too old"
        return None

    def not_ready_reason(self):
        if self.stopping:
            return "stopping"
        return self.router.not_ready_reason() or self.replicas_staleness()

    async def _ready(self, _call):
        reason = self.not_ready_reason()
        if reason is not None:
            raise QuorumUnavailableError(reason)
        return 200, {"condition": "ready"}

    async def _condition(self, _call):
        reason = self.not_ready_reason()
        return 200, self.node.condition() | {
            "condition": reason or "ready",
            "routing": self.router.version,
            "replicas": self.balancer.ready_counts(),
            "waiting": self.balancer.waiting_count(),
            "running": self.front.running,
        }

    def start(self):
        self.node.start()
        self.placement.start()
        self._routing_age_watch.start()
        self.usage.start()
        if self.demand:
            self.demand.start()
        self.web.listen()
        self.ready_web.listen()
        self.front.listen()

    async def stop(self):
        """Reports not ready, serves new requests until clients have moved away, finishes the running ones and stops."""
        ends_at = self.node.reactor.seconds() + self._grace_s - STOP_MARGIN
        self.stopping = True
        self.front.stopping = True
        await self.node.gossip_client.announce_leaving()
        await sleep(self.node.reactor, READY_DRAIN)
        if self.demand:
            self.demand.stop()
        await self.front.stop(max(0.5, ends_at - self.node.reactor.seconds()))
        await self.usage.stop(STOP_MARGIN / 2)
        await self.wait_settled(STOP_MARGIN)
        self.placement.stop()
        self._routing_age_watch.stop()
        for web in (self.ready_web, self.web):
            await web.stop()
        await self.node.stop()
