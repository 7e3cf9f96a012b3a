"""The parts of every daemon: identity, peer connections, members and gossip.

The programs and the simulator build their nodes from these.
"""

import time

from oakramp.common.backend_room import BackendRoom
from oakramp.common.constants import BACKEND_GATHERED_SHARE, BODY_LIMIT, CLOCK_JUMP, CLOCK_POLL, SEED_AGE, WIRE_VERSION
from oakramp.common.fair_turns import FairTurns
from oakramp.common.http_server import HttpServer
from oakramp.common.memory_account import MemoryAccount
from oakramp.common.process_limits import limits_of
from oakramp.common.structured_logging import EventLogger
from oakramp.common.tasks import Repeater
from oakramp.gossip.gossip_client import GossipClient
from oakramp.gossip.member_state import MemberStatePublisher
from oakramp.gossip.state_table import StateTable
from oakramp.membership.identity import Identity
from oakramp.membership.members import UP_STATE, Member, Members
from oakramp.rpc.endpoint import RpcEndpoint

RELEASE = "0.1.0"


class WallClock:
    """Compares the wall clock with the monotonic one. Nothing depends on it; it only informs the operator."""

    def __init__(self, reactor, log, wall):
        self._reactor, self._log, self._wall = reactor, log, wall
        self._offset = wall() - reactor.seconds()
        self.jumps = 0
        self.last_jump = 0.0
        self.repeater = Repeater(reactor, CLOCK_POLL, self._poll, log)

    async def _poll(self):
        offset = self._wall() - self._reactor.seconds()
        if abs(offset - self._offset) > CLOCK_JUMP:
            self.jumps += 1
            self.last_jump = offset - self._offset
            self._log.info("wall_clock_jumped", seconds=self.last_jump)
        self._offset = offset


class Node:
    """Builds and connects the parts that every daemon has."""

    def __init__(self, reactor, kind, env, random, sink, disk=None, wall=time.time, founding=None):
        self.reactor, self.kind, self.env, self.random, self.disk = reactor, kind, env, random, disk
        self.identity = Identity(env["machine"], random, disk, env.get("clusterId"), founding)
        self.node_id = self.identity.node_id
        self.log = EventLogger(sink, node=env["machine"], kind=kind)
        self.limits = limits_of(kind, env)
        self.memory_account = MemoryAccount(reactor, self.limits.account_bytes, self.log)
        self.fair_turns = FairTurns(reactor)
        self.backend_room = BackendRoom(
            reactor, self.limits.backend_bytes, self.limits.account_bytes * BACKEND_GATHERED_SHARE, self.log
        )
        self.net = RpcEndpoint(
            reactor, self.node_id, kind, env["peer"], self.identity.cluster_id, self.log, self.limits.peer_connections
        )
        self.members = Members(reactor, self.node_id)
        self.state_table = StateTable(reactor)
        me = Member(
            self.node_id,
            f"{random.getrandbits(64):016x}",
            kind,
            env["zone"],
            env["machine"],
            env["peer"],
            env["http"],
            UP_STATE,
            RELEASE,
        )
        self.gossip_client = GossipClient(
            reactor, self.net, self.state_table, self.members, self.identity, me, env["seeds"], random, self.log
        )
        self.member_state = MemberStatePublisher(self.gossip_client, self.log)
        self.wall_clock = WallClock(reactor, self.log, wall)
        self._env_watchers = []

    def http_server(self, address, running_limit, body_limit=BODY_LIMIT, connections_limit=None):
        """A JSON interface of this node at an address, whose clients share the node's memory account.

        Args:
            address: IP:PORT.
            running_limit: requests that it handles at a time.
            body_limit: bytes of a request's body.
            connections_limit: connections at a time, by default those of an interface for tools and operators.
        """
        return HttpServer(
            self.reactor,
            address,
            self.log,
            running_limit,
            body_limit,
            self.memory_account,
            connections_limit or self.limits.json_connections,
        )

    def watch_env(self, watcher):
        """Calls `watcher(env)` with each env that replaces the previous one while the node runs."""
        self._env_watchers.append(watcher)

    def watch_storage(self, circular_log):
        """Publishes, from now on, whether this node's log accepts writes."""

        def report():
            self.member_state.report_storage_fault(circular_log.broken is not None)

        circular_log.on_fault_change.add(report)

    def settings_changed(self, env):
        """Applies the settings that can change at run time; the others take effect at the next start."""
        self.env = env
        self.gossip_client.set_seeds(env["seeds"])
        for watcher in self._env_watchers:
            watcher(env)

    def condition(self):
        """The fields of GET /condition that every daemon reports, whatever its kind."""
        return {
            "nodeId": self.node_id,
            "machine": self.env["machine"],
            "kind": self.kind,
            "zone": self.env["zone"],
            "peer": self.net.address,
            "clusterId": self.net.cluster_id,
            "release": RELEASE,
            "wireVersion": WIRE_VERSION,
            "seeds": {seed: self.gossip_client.has_replied_recently(seed, SEED_AGE) for seed in self.env["seeds"]},
            "clock": {"jumps": self.wall_clock.jumps, "lastJump": round(self.wall_clock.last_jump, 3)},
        }

    def start(self):
        """Listens for connections from other nodes and starts gossip."""
        self.net.listen()
        self.wall_clock.repeater.start()
        self.gossip_client.start()
        self.log.info(
            "node_started",
            id=self.node_id,
            peer=self.env["peer"],
            http=self.env["http"],
            cluster=self.identity.cluster_id or "none",
            new_identity=self.identity.is_new,
        )

    async def stop(self):
        """Stops gossip, and closes the connections and the disk."""
        self.gossip_client.stop()
        self.wall_clock.repeater.stop()
        await self.net.stop()
        if self.disk is not None:
            self.disk.close()
        self.log.info("node_stopped")
