"""Failover: chooses the next leader of a shard and carries out the change of leadership.

The candidates for a shard are the live voters in rendezvous order. The first candidate prepares a higher epoch at a
majority of voters, replicates the newest snapshot among them to a majority under that epoch, waits until no earlier
lease can be held any more, has its own lease confirmed, and starts to serve. docs/control-safety/failover.md gives the
safety argument.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, NamedTuple

from oakramp.common.constants import (
    CANDIDATE_TURN_TIME,
    FORGET_AGE,
    LEASE,
    LEASE_RENEW,
    LIVENESS_AGE,
    RELEASE_TIME,
    SHARDS,
)
from oakramp.common.errors import OakrampError, QuorumUnavailableError
from oakramp.common.tasks import sleep, spawn, within
from oakramp.control.controllers import SHARD_SOURCE
from oakramp.control.prepare_phase import PreparePhase
from oakramp.control.shard_leader import ShardLeader
from oakramp.membership.members import LEAVING, LIVE, STORAGE_FAULT
from oakramp.membership.rendezvous_hashing import ranked

if TYPE_CHECKING:
    from oakramp.control.leader_registry import LeaderRegistry
    from oakramp.control.voter import Voter
    from oakramp.gossip.node import Node

RELEASING_CONDITIONS = (LIVE, LEAVING, STORAGE_FAULT)  # member conditions in which a leader answers a release request
RETRY_PAUSE = (0.1, 0.5)  # s; random delay after a failed attempt, so that two candidates do not retry in lockstep


class KnownLeader(NamedTuple):
    """The leader of a shard with the highest epoch that this node knows of by gossip."""

    epoch: int
    node_id: str
    address: str


class Failover:
    """Takes over the shards that this node should lead.

    Invariants: a leader enters the registry only after its snapshot is on a majority under its own epoch and every
    earlier lease has ended; `in_progress` holds the shards that are being taken over; `_candidate_orders` caches a set
    of live voters and, by shard, the order in which these voters are candidates for it.
    """

    def __init__(self, node: Node, voter: Voter, registry: LeaderRegistry) -> None:
        self._reactor = node.reactor
        self._log = node.log
        self._node = node
        self._voter = voter
        self._registry = registry
        self.in_progress: set[int] = set()
        self._attempts: dict[int, int] = {}  # shard -> epoch of the attempt in progress
        self._seen_epochs: dict[int, int] = {}  # shard -> highest epoch that a voter is known to have promised
        self._refused_epochs: dict[int, int] = {}  # shard -> highest promise because of which a voter refused this node
        self._declined_until: dict[int, float] = {}  # shard -> end of this node's abstention (monotonic seconds)
        self._candidate_orders: tuple[tuple[str, ...], list[list[str]]] = (), []
        self._started_at = node.reactor.seconds()
        voter.may_hold_lease = self.may_hold_lease
        node.net.handle("release", self._serve_release)

    async def poll(self) -> None:
        """Starts a failover of each shard that lacks its preferred leader, where it is this node's turn."""
        voting_config = self._voter.voting_config
        if voting_config is None:
            return
        answering = self._answering_voters()
        hears_majority = voting_config.is_quorum(answering)
        self._registry.contact.poll(hears_majority)
        is_reachable = voting_config.is_quorum(answering & self._asking_voters())
        is_partitioned = not hears_majority or not (is_reachable or self._has_just_started())
        if self._node.node_id not in voting_config.all_members:
            # A non-member needs no majority; if it reported itself as partitioned, it would not be admitted again.
            self._report_partitioned(False)
            for leader in list(self._registry.active.values()):
                leader.end()
            return
        # Only a node that receives answers from a majority may start a failover: if its requests got through but no
        # answer came back, its prepare requests would end every lease. And only a node that a majority can reach may
        # lead: a leader publishes its state at its own node, where the others must be able to pull it.
        self._report_partitioned(is_partitioned)
        # A node whose own voter cannot promise would only raise the epoch above those of candidates that can win.
        if is_partitioned or self._voter.has_storage_fault:
            return
        live_ids = self.live_voters()
        for shard in range(SHARDS):
            is_free = self.is_free(shard) and not self._is_declined(shard)
            if is_free and self._may_take_over(shard, is_reachable) and self._is_candidate_now(shard, live_ids):
                self.begin_failover(shard)

    def _may_take_over(self, shard: int, is_reachable: bool) -> bool:
        """Whether the shard may be taken over from its present leader, if it has one.

        A node that has just started may not have received gossip requests yet, so it takes no shard from a leader that
        can answer. In a joint voting configuration, no node takes a shard from a leader that remains a member: a
        failover between two versions has to wait for a lease to expire.
        """
        leader = self._live_leader(shard)
        if leader is None:
            return True
        voting_config = self._voter.voting_config
        return is_reachable and (voting_config.next is None or leader.node_id not in voting_config.next)

    def live_voters(self) -> list[str]:
        """Node ids of the voters that are live and whose address has not been taken over by a node with another id."""
        members = self._node.members
        return [
            node_id
            for node_id, peer in self._voter.voting_config.leader_candidates.items()
            if members.condition(node_id) == LIVE and members.successor_of(node_id, peer) is None
        ]

    def is_free(self, shard: int) -> bool:
        """Whether this node neither leads the shard nor is taking it over."""
        return shard not in self._registry.active and shard not in self.in_progress

    def known_leader(self, shard: int) -> KnownLeader | None:
        """The shard's newest leader according to gossip, or None."""
        rows = self._node.state_table.values(f"{SHARD_SOURCE}{shard}")
        return KnownLeader(*json.loads(rows["owner"])) if "owner" in rows else None

    def last_lease_holder(self, shard: int) -> str | None:
        """The last known holder of the shard's lease, from this node's voter and from gossip; None if there was none.

        A candidate that has promises but no lease yet does not count: it may be about to lead the shard.
        """
        confirmed, known = self._voter.last_holder(shard), self.known_leader(shard)
        return max(confirmed, known[:2] if known else confirmed)[1]

    def is_next(self, shard: int, suspects: set[str]) -> bool:
        """Whether this node is the first candidate when the suspected nodes are excluded."""
        candidates = [node_id for node_id in self.live_voters() if node_id not in suspects]
        return bool(candidates) and ranked(candidates, f"slot{shard}")[0] == self._node.node_id

    def decline(self, shard: int, seconds: float) -> None:
        """Makes this node abstain from the shard for this long, since another member has asked to lead it."""
        until = self._reactor.seconds() + seconds
        self._declined_until[shard] = max(until, self._declined_until.get(shard, until))

    def begin_failover(self, shard: int, expired: bool = False) -> None:
        """Starts a failover of the shard.

        With `expired`, a majority has reported the leader's lease as expired, and the leader is not asked to release
        the shard.
        """
        self.in_progress.add(shard)
        spawn(self.run(shard, self.live_voters(), expired), self._log)

    async def run(self, shard: int, live_ids: list[str], expired: bool = False) -> None:
        """Attempts to take the shard over; a failed attempt is logged and followed by a random delay.

        Two kinds of failed attempts are repeated without the delay. If the voting configuration changed meanwhile, the
        attempt lost to no other candidate, and there are no more such repeats than configuration changes. If a voter
        refused the first candidate because of a higher promise, the attempt is repeated once: no other node should be a
        candidate, and the promise may date from before an outage of all nodes.
        """
        known = self.known_leader(shard)
        self._log.info(
            "failover_started",
            shard=shard,
            after=known.node_id if known else "nobody",
            live=len(live_ids),
            silent_s=round(min(self._node.state_table.age(f"{SHARD_SOURCE}{shard}"), FORGET_AGE), 2),
            expired="yes" if expired else "no",
        )
        try:
            released_epoch = None if expired else await self._ask_release(shard)
            may_retry_above = True
            while await self._should_repeat_attempt(shard, released_epoch, may_retry_above):
                may_retry_above = False
        finally:
            self.in_progress.discard(shard)

    async def _should_repeat_attempt(self, shard: int, released_epoch: int | None, may_retry_above: bool) -> bool:
        """Makes one attempt and returns whether it should be repeated without a delay."""
        voting_config_version = self._voter.voting_config.version
        refused_epoch = self._refused_epochs.get(shard, 0)
        try:
            await self.prepare_and_serve(shard, released_epoch)
            return False
        except OakrampError as error:
            self._log.warning("failover_failed", shard=shard, reason=error.reason)
        if self._voter.voting_config.version != voting_config_version:
            return True
        was_refused = self._refused_epochs.get(shard, 0) > refused_epoch
        if may_retry_above and was_refused and self._is_first_candidate(shard, self.live_voters()):
            return True
        await sleep(self._reactor, self._node.random.uniform(*RETRY_PAUSE))
        return False

    async def prepare_and_serve(self, shard: int, released_epoch: int | None) -> None:
        """Takes the shard over under a new epoch; `released_epoch` is the epoch of a leader that reported its end.

        Raises:
            QuorumUnavailableError: a majority did not promise the epoch, store the snapshot or confirm the lease.
        """
        epoch = self._next_epoch(shard, released_epoch)
        self._seen_epochs[shard] = self._attempts[shard] = epoch
        try:
            leader = await self._elect(shard, epoch, released_epoch)
            # Above this epoch, this node's voter may already have told others that this attempt holds no lease.
            if self._voter.promised_epoch(shard) > epoch:
                raise QuorumUnavailableError(f"epoch {self._voter.promised_epoch(shard)} is already promised")
            self._registry.active[shard] = leader
        finally:
            del self._attempts[shard]
        leader.serve()
        self._registry.publisher.publish(leader, leader.entries)
        self._log.info(
            "shard_leader_elected",
            shard=shard,
            epoch=epoch,
            entries=len(leader.entries),
            released=released_epoch or "no",
        )

    async def _elect(self, shard: int, epoch: int, released_epoch: int | None) -> ShardLeader:
        """Returns a leader under this epoch whose first lease is confirmed and that does not serve yet."""
        preparation = PreparePhase(self._registry, self._node, self._voter, shard, epoch)
        await preparation.prepare()
        newest_voter, start = preparation.newest_snapshot()
        entries = await preparation.fetch_snapshot(newest_voter)
        leader = ShardLeader(self._registry, shard, epoch, entries, 0)
        if not await self._registry.replicator.replicate(leader, 1, {}, start):
            raise QuorumUnavailableError(f"the snapshot of epoch {epoch} was not replicated to a majority")
        await preparation.previous_lease_ended(released_epoch)
        spawn(self._confirm_first_lease(leader, self._voter.voting_config.version), self._log)
        unconfirmed_error = QuorumUnavailableError(f"the first lease of epoch {epoch} was not confirmed")
        await within(self._reactor, LEASE, leader.confirmed, unconfirmed_error)
        leader.sequence = 1
        return leader

    def note_epoch(self, shard: int, epoch: int) -> None:
        """Records the promised epoch because of which a voter refused this node; the next attempt uses a higher one."""
        self._seen_epochs[shard] = max(self._seen_epochs.get(shard, 0), epoch)
        self._refused_epochs[shard] = max(self._refused_epochs.get(shard, 0), epoch)

    def on_epoch_superseded(self, shard: int, leader: ShardLeader) -> None:
        """Ends a leader when a voter has promised a later epoch under which no node serves.

        That voter accepts nothing of the leader's epoch any more; a new failover follows, under a higher epoch.
        """
        self._log.info("epoch_superseded", shard=shard, epoch=leader.epoch, seen=self._seen_epochs.get(shard, 0))
        leader.end()

    def may_hold_lease(self, shard: int, requester: str) -> bool:
        """Whether this process holds the shard's lease, or may still obtain it by an attempt that started before the
        requester's.

        Called once this node's voter has promised the requester's epoch or a later one. An attempt under an epoch below
        the voter's promise never serves (`prepare_and_serve`), and the next attempt uses an epoch above the promise.
        """
        if shard in self._registry.active:
            return True
        epoch = self._attempts.get(shard)
        return epoch is not None and requester != self._node.node_id and epoch >= self._voter.promised_epoch(shard)

    def candidate_order(self, shard: int, live_ids: tuple[str, ...]) -> list[str]:
        """These voters in the order in which they are candidates for the shard."""
        if self._candidate_orders[0] != live_ids:
            self._candidate_orders = live_ids, [ranked(live_ids, f"slot{number}") for number in range(SHARDS)]
        return self._candidate_orders[1][shard]

    def _answering_voters(self) -> set[str]:
        """Node ids of the voters that have recently answered this node's gossip requests."""
        return {
            node_id
            for node_id, address in self._registry.voter_addresses().items()
            if self._node.gossip_client.has_replied_as(node_id, address)
        }

    def _has_just_started(self) -> bool:
        """Whether this node started so recently that the others may not have sent it a gossip request yet."""
        return self._reactor.seconds() - self._started_at < LIVENESS_AGE

    def _live_leader(self, shard: int) -> KnownLeader | None:
        """The shard's known leader if it is another node that can be asked to release it; None otherwise."""
        known = self.known_leader(shard)
        if known is None or known.node_id == self._node.node_id:
            return None
        return known if self._node.members.condition(known.node_id) in RELEASING_CONDITIONS else None

    def _asking_voters(self) -> set[str]:
        """Node ids of the voters from which this node has recently received gossip requests."""
        return {
            node_id
            for node_id in self._voter.voting_config.all_members
            if self._node.gossip_client.was_pulled_by(node_id)
        }

    def _report_partitioned(self, is_partitioned: bool) -> None:
        """Publishes by gossip whether this member is partitioned from a majority, to those that can still receive it.

        The other members then take its shards over at once, and do not wait for a candidate's turn that this member
        could not use.
        """
        if not (is_partitioned and self._has_just_started()):
            self._node.member_state.report_partitioned(is_partitioned)

    def _is_declined(self, shard: int) -> bool:
        """Whether this node abstains from the shard since another member has asked for it: for the duration of a lease,
        or longer if this node offered the shard.

        That member may not count as live here yet, for example just after a partition; a concurrent failover by this
        node would only delay both.
        """
        return self._reactor.seconds() < self._declined_until.get(shard, float("-inf"))

    def _is_candidate_now(self, shard: int, live_ids: list[str]) -> bool:
        """Whether it is this node's turn to take the shard over.

        The turn belongs to the first live candidate. If the shard stays without a leader (a partition may separate the
        first candidate from just the voters), the following candidates get one turn each, in order, once the first
        candidate's own turn has passed.
        """
        order = self.candidate_order(shard, tuple(live_ids))
        if self._node.node_id not in order:
            return False
        position = order.index(self._node.node_id)
        now = self._reactor.seconds()
        leaderless_s = min(self._node.state_table.age(f"{SHARD_SOURCE}{shard}"), now - self._started_at)
        late_s = leaderless_s - LIVENESS_AGE - CANDIDATE_TURN_TIME
        return position == (0 if late_s <= 0 else (1 + int(late_s / CANDIDATE_TURN_TIME)) % len(order))

    def _is_first_candidate(self, shard: int, live_ids: list[str]) -> bool:
        return self.candidate_order(shard, tuple(live_ids))[:1] == [self._node.node_id]

    async def _ask_release(self, shard: int) -> int | None:
        """Asks the known leader to release the shard; returns the released epoch, or None if it was not released."""
        known = self._live_leader(shard)
        if known is None or known.node_id not in self._voter.voting_config.all_members:
            return None
        try:
            return await self._node.net.call(known.address, "release", RELEASE_TIME, shard=shard)
        except OakrampError as error:
            self._log.warning("shard_release_unanswered", shard=shard, owner=known.node_id, reason=error.reason)
            return None

    def _next_epoch(self, shard: int, released_epoch: int | None) -> int:
        known = self.known_leader(shard)
        seen = self._seen_epochs.get(shard, 0), known.epoch if known else 0
        return max(*seen, released_epoch or 0, self._voter.promised_epoch(shard)) + 1

    async def _confirm_first_lease(self, leader: ShardLeader, voting_config_version: int) -> None:
        """Requests the leader's first lease, and repeats the request while voters adopt this voting configuration.

        Under a later voting configuration no lease is requested: its majority need not hold the prepared snapshot. In
        that case, or once this node's own voter has promised a later epoch, the lease can not be confirmed any more,
        and the waiting attempt fails at once.
        """
        while not leader.confirmed.called:
            reason = self._reason_not_confirmable(leader, voting_config_version)
            if reason is not None:
                leader.confirmed.errback(QuorumUnavailableError(f"epoch {leader.epoch} was not confirmed: {reason}"))
                return
            self._registry.leases.confirm({leader.shard: leader})
            await sleep(self._reactor, LEASE_RENEW / 4)

    def _reason_not_confirmable(self, leader: ShardLeader, voting_config_version: int) -> str | None:
        if self._voter.voting_config.version != voting_config_version:
            return "the voting configuration has changed"
        promised_epoch = self._voter.promised_epoch(leader.shard)
        return f"epoch {promised_epoch} is already promised" if promised_epoch > leader.epoch else None

    async def _serve_release(self, _peer: Any, arguments: Any) -> int | None:
        leader = self._registry.active.get(arguments.shard)
        if leader is None:
            return None
        leader.end()
        self.decline(arguments.shard, LEASE)
        self._log.info("shard_released", shard=arguments.shard, epoch=leader.epoch)
        return leader.epoch
