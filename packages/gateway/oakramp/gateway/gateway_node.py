"""Assembles a gate: the HTTP server for callers and the request filters; it has no disk."""

import time

from oakramp.common.constants import ACCEPT_QUEUE_LIMIT, SETTLE_TIME
from oakramp.common.http_client import HttpClient
from oakramp.common.metrics import serve_metrics
from oakramp.gateway.base import GateBase
from oakramp.gateway.bindings import Bindings
from oakramp.gateway.forwarding import Forwarder
from oakramp.gateway.load_balancer import LoadBalancer
from oakramp.gateway.plain import PlainCalls
from oakramp.gateway.turns import Turns
from oakramp.store.conversations import ConversationClient


class GateNode(GateBase):
    def __init__(self, reactor, env, _disk, random, sink, wall=time.time):
        super().__init__(reactor, env, random, sink, wall)
        self.web_client = HttpClient(reactor, env["http"].rpartition(":")[0], self.node.backend_room)
        self.conversations = ConversationClient(self.node)
        self.bindings = Bindings(self.node)
        self.load_balancer = LoadBalancer(self.node, self.bindings, self.web_client, self.metrics)
        self.forwarder = Forwarder(self.node, self.bindings, self.load_balancer, self.web_client, self.metrics)
        self.web = self.node.http_server(
            env["http"], ACCEPT_QUEUE_LIMIT, connections_limit=self.node.limits.client_connections
        )
        turns, plain = Turns(self), PlainCalls(self)
        for method, path, handler in (
            ("POST", "/v1/{partner}/programs", turns.open_program),
            ("GET", "/v1/{partner}/programs/{program}", turns.read_program),
            ("POST", "/v1/{partner}/programs/{program}/end", turns.end_program),
            ("POST", "/v1/{partner}/programs/{program}/lines/{line}/turns", turns.post_turn),
            ("POST", "/v1/{partner}/plain/{binding}", plain.post),
            ("GET", "/condition", self._condition),
        ):
            self.web.route(method, path, handler)
        serve_metrics(self.web, self.metrics)
        for name, read_value in (
            ("requests_running", lambda: self.web.running),
            ("requests_waiting", self.load_balancer.waiting_count),
            ("settling", lambda: len(self.settling)),
            ("members_live", lambda: len(self.node.members.live())),
        ):
            self.metrics.gauge(name, read_value)
        self.node.memory_account.show(self.metrics)
        self.node.backend_room.show(self.metrics)
        self.conversations.calls.show(self.metrics)

    async def _condition(self, _call):
        partners = sorted(
            source.partition("/")[2] for source in self.node.state_table.snapshots if source.startswith("blueprint/")
        )
        stale = {partner: reason for partner in partners if (reason := self.bindings.staleness(partner))}
        ready = bool(partners) and not stale and not self.web.stopping
        return 200, self.node.condition() | {
            "condition": "ready" if ready else "waiting",
            "partners": {
                partner: {
                    "version": self.node.state_table.snapshots[f"blueprint/{partner}"].version,
                    "age": round(min(self.node.state_table.age(f"blueprint/{partner}"), 1e9), 3),
                }
                for partner in partners
            },
            "stale": stale,
        }

    def start(self):
        self.node.start()
        self.load_balancer.start()
        self.web.listen()

    async def stop(self):
        await self.node.gossip_client.announce_leaving()
        await self.web.stop()
        await self.wait_settled(SETTLE_TIME)
        self.load_balancer.stop()
        await self.node.stop()
