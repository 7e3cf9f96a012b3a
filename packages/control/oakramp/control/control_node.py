"""Composition of a control node."""

import time

from oakramp.common.constants import ACCEPT_QUEUE_LIMIT, LEADER_RETRY_PAUSE, SHARDS
from oakramp.common.errors import OakrampError
from oakramp.common.fenced_call import PlainCallFormat
from oakramp.common.metrics import Metrics, serve_metrics
from oakramp.common.settings import orders_replicas
from oakramp.common.tasks import settled, sleep, spawn
from oakramp.common.wall_clock import SteadyWallClock
from oakramp.control import (  # noqa: F401  each module registers its controller
    budget,
    idempotency,
    plan,
    prefix_placement,
    replica_registry,
    routing,
    store_membership,
    token_budget,
    voting_configuration,
)
from oakramp.control.admin_api import AdminApi
from oakramp.control.bootstrap import bootstrap_record_of, complete_bootstrap
from oakramp.control.fenced_task import FencedCaller
from oakramp.control.leader_registry import LeaderRegistry
from oakramp.control.lease import LeaseRenewalPiggyback
from oakramp.control.lease_expiry import LeaseExpiryWatch
from oakramp.control.membership_repair import MembershipRepairTask
from oakramp.control.operator_api import OperatorApi
from oakramp.control.prefix_placement import PrefixPlacementTask
from oakramp.control.replica_discovery import ReplicaDiscovery
from oakramp.control.replica_ordering import ReplicaOrdering
from oakramp.control.replica_orders import ORDERS_KEY
from oakramp.control.shard_client import MajorityClient, ShardClient
from oakramp.control.shard_hand_over import ShardHandOver
from oakramp.control.store_membership import StoreMembershipTask
from oakramp.control.usage import USAGE_KEY
from oakramp.control.usage_report import UsageReporting
from oakramp.control.voter import Voter
from oakramp.gossip.node import Node
from oakramp.storage.circular_log import CircularLog


class ControlNode:
    """A control node: voter, shard leaders, periodic tasks, operators' interfaces and metrics."""

    shard_count = SHARDS

    def __init__(self, reactor, env, disk, random, sink, wall=time.time, dialect=None):
        self.node = Node(reactor, "control", env, random, sink, disk, wall, bootstrap_record_of(env))
        self.ring = CircularLog(
            disk,
            self.node.log,
            env.get("ringFileSize"),
            seconds=reactor.seconds,
            reactor=reactor,
            random_source=random,
        )
        self.node.watch_storage(self.ring)
        self.voter = Voter(self.node, self.ring)
        self.client = ShardClient(self.node, lambda address: not self.node.gossip_client.has_replied_recently(address))
        self.leaders = LeaderRegistry(self.node, self.voter)
        self.majority_client = MajorityClient(self.node, self.voter, self.leaders, self.client)
        self.lapses = LeaseExpiryWatch(self.node, self.voter, self.leaders)
        self.node.gossip_client.set_lease_piggyback(LeaseRenewalPiggyback(self.leaders, self.node))
        self.node.gossip_client.set_lease_voter(self.voter.confirm_leases)
        self.platform = (
            ReplicaDiscovery(self.node, self.leaders, self.voter, env["platform"], dialect)
            if env.get("platform")
            else None
        )
        self_forming, tolerated_losses = bool(env.get("selfForming")), env.get("toleratedLosses") or 1
        self.voting_config_watch = MembershipRepairTask(
            self.node, self.voter, self.leaders, self_forming, tolerated_losses
        )
        self.store_watch = StoreMembershipTask(self.node, self.leaders, self_forming, tolerated_losses)
        self.placement = PrefixPlacementTask(self.node, self.leaders)
        self.web = self.node.http_server(env["http"], ACCEPT_QUEUE_LIMIT)
        self.operator = OperatorApi(self, dialect) if dialect is not None and env.get("operator") else None
        self.metrics = Metrics()
        self.clock = self.fenced_caller = self.usage = self.orders = None
        self._compose_fenced_tasks(env, wall, dialect)
        self.node.memory_account.show(self.metrics)
        self.node.backend_room.show(self.metrics)
        serve_metrics(self.web, self.metrics)
        AdminApi(self)
        for name, ask in (
            ("slots_held", lambda: len(self.leaders.active)),
            ("majority_reached", lambda: int(not self.leaders.contact.is_lost())),
            ("in_touch_seconds", self.leaders.contact.seconds),
            ("voters_behind", lambda: self.leaders.replicator.voters_behind),
            ("ring_syncs", lambda: self.ring.sync_count),
            ("ring_commits", lambda: self.ring.commit_count),
            ("ring_live_bytes", self.ring.live_bytes),
            ("storage_fault", lambda: int(self.ring.broken is not None)),
            ("voter_losses_left", lambda: self.voting_config_watch.margin.losses_left),
            ("quorum_degraded_seconds", lambda: self.voting_config_watch.margin.degraded_s()),
            ("members_live", lambda: len(self.node.members.live())),
            ("eviction_moved", lambda: self.placement.counts["moved"]),
            ("eviction_let_go", lambda: self.placement.counts["let_go"]),
        ):
            self.metrics.gauge(name, ask)

    def _compose_fenced_tasks(self, env, wall, dialect):
        """Creates the fenced tasks that the platform delegates to this fleet, if this node has a platform address."""
        tasks = env.get("platformTasks") or ()
        if not tasks or not env.get("platform"):
            return
        self.clock = SteadyWallClock(self.node.reactor, wall, self.node.log)
        call_format = dialect or PlainCallFormat()
        hand_over = ShardHandOver(self.node, self.leaders)
        self.fenced_caller = FencedCaller(self.node, call_format, self.metrics, hand_over)
        if "usage" in tasks:
            self.usage = UsageReporting(self.node, self.leaders, self.fenced_caller, call_format, self.clock)
            self.metrics.gauge("usage_windows_owed", self.usage.windows_owed)
        if dialect is not None and orders_replicas(env):
            self.orders = ReplicaOrdering(self.node, self.leaders, self.fenced_caller, call_format, dialect)
            self.metrics.gauge("replica_orders_owed", self.orders.orders_owed)

    def fenced_keys(self):
        """The keys of the fenced tasks in which this node takes part."""
        return [key for key, task in ((USAGE_KEY, self.usage), (ORDERS_KEY, self.orders)) if task]

    def _fenced_components(self):
        return [part for part in (self.clock, self.fenced_caller, self.usage, self.orders) if part is not None]

    def start(self):
        """Listens, joins gossip, and starts the periodic tasks once a bootstrap by this node is on its disk."""
        self.node.start()
        self.web.listen()
        if self.operator:
            self.operator.listen()
        self._starting = spawn(self._bootstrap_and_start(), self.node.log)

    async def _bootstrap_and_start(self):
        """Takes part in nothing before a bootstrap by this node is on its disk."""
        while self.node.identity.founding is not None:
            try:
                await complete_bootstrap(self.node, self.voter)
            except (OakrampError, OSError) as error:
                self.node.log.warning("bootstrap_failed", error=repr(error))
                await sleep(self.node.reactor, LEADER_RETRY_PAUSE)
        self._start_tasks()

    def _start_tasks(self):
        self.leaders.start()
        self.lapses.start()
        self.store_watch.start()
        self.voting_config_watch.start()
        self.placement.start()
        if self.platform:
            self.platform.start()
        for part in self._fenced_components():
            part.start()

    async def stop(self):
        """Tells other nodes, hands the shards over, finishes requests under way and stops."""
        self._starting.cancel()
        await self.node.gossip_client.announce_leaving()
        if self.platform:
            self.platform.stop()
        for part in self._fenced_components():
            part.stop()
        self.store_watch.stop()
        self.placement.stop()
        self.lapses.stop()
        await settled([web.stop() for web in (self.web, self.operator) if web])
        await self.leaders.stop()
        self.voting_config_watch.stop()
        self.voter.stop()
        await self.node.stop()
