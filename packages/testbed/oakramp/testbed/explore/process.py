"""A control process as far as the explorer needs it: the real log, voter, shard leaders and membership repair on a
model network."""

from dataclasses import dataclass

from oakramp.common.tasks import spawn
from oakramp.membership.members import LIVE, SILENT
from oakramp.control import failover as failover_module
from oakramp.control import membership_repair as membership_repair_module
from oakramp.control import shards as shards_module
from oakramp.control import voter as voter_module
from oakramp.control.controllers import SHARD_SOURCE
from oakramp.control.lease_expiry import LeaseExpiryWatch
from oakramp.control.leader_registry import LeaderRegistry
from oakramp.control.lease import LeaseRenewalPiggyback
from oakramp.control.membership_repair import MembershipRepairTask
from oakramp.control.voter import Voter
from oakramp.gossip.member_state import MemberStatePublisher
from oakramp.gossip.state_table import StateTable
from oakramp.storage.circular_log import CircularLog
from oakramp.rpc.codec import idl
from oakramp.testbed.explore.clock import ModelClock
from oakramp.testbed.explore.network import ModelNet

RING_FILE_SIZE = 1 << 13  # bytes; small, so that the logs wrap around within a schedule of many changes
SHARD = 0  # the only shard of an explored world


class OneShard:
    """A context in which the control state has only one shard, so that each choice of a schedule concerns it."""

    _modules = (failover_module, membership_repair_module, shards_module, voter_module)

    def __enter__(self):
        self._previous = [module.SHARDS for module in self._modules]
        for module in self._modules:
            module.SHARDS = 1

    def __exit__(self, *_):
        for module, shards in zip(self._modules, self._previous):
            module.SHARDS = shards


@dataclass(frozen=True)
class ModelMember:
    """A member, with the attributes that the control classes read."""

    node_id: str
    peer: str
    machine: str
    kind: str = "control"
    state: str = "up"


class ModelMembers:
    """The members' liveness, which all processes know at once. Wrong or late failure detection is explored by failovers
    from live leaders instead."""

    def __init__(self, world):
        self._world = world

    def find(self, node_id):
        machine = self._world.machine_of(node_id)
        return None if machine is None else ModelMember(node_id, machine.address, machine.name)

    def condition(self, node_id):
        machine = self._world.machine_of(node_id)
        return LIVE if machine is not None and machine.process is not None else SILENT

    def successor_of(self, node_id, address):
        process = self._world.process_at(address)
        if process is None or process.node_id == node_id:
            return None
        return self.find(process.node_id)

    def live(self, kind=None):
        return [self.find(machine.node_id) for machine in self._world.machines.values() if machine.process is not None]


class ModelGossipClient:
    """The gossip client: a node that is down, frozen or cut off counts as unresponsive at once. The schedule decides
    whether a failover begins."""

    def __init__(self, world, process):
        self._world, self._name = world, process.name
        self.me = ModelMember(process.node_id, process.machine.address, process.machine.name)
        self.on_reply = set()

    def has_replied_recently(self, address, within_s=0.0):
        return self._world.is_answering(self._name, address)

    def has_replied_as(self, node_id, address, within_s=0.0):
        answering = self._world.machine_of(node_id)
        return answering is not None and answering.address == address and self.has_replied_recently(address)

    def was_pulled_by(self, node_id, within_s=0.0):
        asker = self._world.machine_of(node_id)
        return asker is not None and self._world.is_answering(asker.name, self.me.peer)

    def describe(self, member):
        self.me = member


class ModelLog:
    """The log events of one process, for the timeline; crashes are violations."""

    def __init__(self, world, name):
        self._world, self._name = world, name

    def info(self, event, /, **fields):
        """Adds an event to the timeline; its level is ignored."""
        self._world.add_log_event(self._name, event, fields)

    debug = warning = error = info


class Process:
    """One run of the control program on a machine. It has the attributes of `oakramp.gossip.node.Node` that its
    components read.

    Invariant: nothing that it schedules or sends after `end` has any effect."""

    def __init__(self, world, machine, start_count):
        self._world, self.machine = world, machine
        self.name = machine.name
        self.start_count = start_count
        self.node_id = self.node_id = machine.node_id
        self.kind, self.env = "control", {}
        self.clock = self.reactor = ModelClock(world)
        self.random = world.random
        self.log = ModelLog(world, machine.name)
        self.members = ModelMembers(world)
        self.state_table = StateTable(self.clock)
        self.gossip_client = ModelGossipClient(world, self)
        self.member_state = MemberStatePublisher(self.gossip_client, self.log)
        self.net = ModelNet(world, self, self.clock, machine.address, self.log)
        self.ring = CircularLog(
            machine.disk,
            self.log,
            RING_FILE_SIZE,
            seconds=self.clock.seconds,
            reactor=self.clock,
            random_source=self.random,
        )
        self.ring.on_fault_change.add(
            lambda: self.member_state.report_storage_fault(self.ring.broken is not None),
        )
        self.voter = Voter(self, self.ring)
        self.leaders = LeaderRegistry(self, self.voter)
        self.piggyback = LeaseRenewalPiggyback(self.leaders, self)
        self.lapses = LeaseExpiryWatch(self, self.voter, self.leaders)
        self.voting_config_watch = MembershipRepairTask(self, self.voter, self.leaders)
        self._watching = self._polling_lapses = False
        self.net.handle("pull", self._serve_pull)

    @property
    def leader(self):
        """The shard leader on this process, or None."""
        return self.leaders.active.get(SHARD)

    def table(self):
        """(epoch, sequence, entries) of the shard's snapshot on this process's disk."""
        return self.voter.snapshot(SHARD)

    def is_voter(self):
        return self.voter.voting_config is not None and self.node_id in self.voter.voting_config.all_members

    def publishes_shard(self):
        """Whether it publishes the shard's replicated state, so that it ignores what others publish of it."""
        return f"{SHARD_SOURCE}{SHARD}" in self.state_table._own_sources

    def can_failover(self):
        return self.is_voter() and SHARD not in self.leaders.active and SHARD not in self.leaders.failover.in_progress

    def failover(self):
        """Starts a failover, as the periodic check does once this node should lead the shard."""
        self.leaders.failover.in_progress.add(SHARD)
        live = [member.node_id for member in self.members.live()]
        spawn(self.leaders.failover.run(SHARD, live), self.log)

    def renew(self):
        spawn(self.leaders.leases.renew(), self.log)

    def update_voters(self):
        """Checks once for voters that are behind."""
        spawn(self.leaders.replicator.update_voters(), self.log)

    def poll_for_lapses(self):
        """Checks once for a lease that a majority has not confirmed for long, unless a check is in progress."""
        if not self._polling_lapses:
            self._polling_lapses = True
            spawn(self._poll_for_lapses(), self.log)

    async def _poll_for_lapses(self):
        try:
            await self.lapses._poll()
        finally:
            self._polling_lapses = False

    def watch_voting_config(self):
        """Runs one round of the membership repair, unless one is in progress."""
        if not self._watching:
            self._watching = True
            spawn(self._watch_voting_config(), self.log)

    async def _watch_voting_config(self):
        try:
            await self.voting_config_watch._round()
        finally:
            self._watching = False

    def leave_voting_config(self):
        """The check of a node that is no member any more, which ends its leadership."""
        spawn(self.leaders.failover.poll(), self.log)

    def pull_from(self, other):
        """Pulls replicated state from another process, with this process's lease renewals piggybacked."""
        spawn(self._pull(other.machine.address), self.log)

    async def _pull(self, address):
        self.piggyback.begin_round()
        leases, confirmed = self.piggyback.renewal_for(address) or (None, None)
        seen, asked_at = self.state_table.known_versions(), self.clock.seconds()
        update = await self.net.call(address, "pull", 0.8, seen=seen, leases=leases)
        if confirmed is not None and update.confirmed is not None:
            confirmed(update.confirmed)
        self.state_table.merge(update, seen, asked_at)

    async def _serve_pull(self, peer, arguments):
        update = self.state_table.update_for(arguments.seen or [])
        if arguments.leases is not None:
            update.confirmed = self.voter.confirm_leases(peer, arguments.leases)
        return update

    def end(self):
        self.clock.stopped = True


OPERATOR_HELLO = idl.Hello(node_id="operator", kind="operator", cluster_id="explored")
