"""Failover: which node leads a shard next, and how it comes to lead it.

The candidates for a shard are the live voters in rendezvous order. The first one prepares a higher epoch at a majority
of voters, brings the newest snapshot among them to a majority under that epoch, waits until no earlier lease can be
held any more, has its own lease confirmed, and serves. docs/control-safety/failover.md gives the argument.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, NamedTuple

from oakramp.common.constants import (
    CANDIDATE_TURN_TIME,
    CONDITION_AGE,
    FORGET_AGE,
    LEASE,
    LEASE_RENEW,
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

ANSWERING_CONDITIONS = (LIVE, LEAVING, STORAGE_FAULT)  # of a leader that releases a shard when it is asked to
RETRY_PAUSE = (0.1, 0.5)  # s; drawn between these after a failed attempt, so that two candidates do not stay in step


class KnownLeader(NamedTuple):
    """The newest leader of a shard that this node has heard of."""

    epoch: int
    node_id: str
    address: str


class Failover:
    """Takes over the shards that this node should lead.

    Invariants: a leader enters the registry only after its snapshot is on a majority under its own epoch and every
    earlier lease has ended; `in_progress` holds the shards that are being taken over; `_orders` is a set of live voters
    and, by shard, these voters in the order in which they are candidates for it.
    """

    def __init__(self, node: Node, voter: Voter, registry: LeaderRegistry) -> None:
        self._reactor = node.reactor
        self._log = node.log
        self._node = node
        self._voter = voter
        self._registry = registry
        self.in_progress: set[int] = set()
        self._attempts: dict[int, int] = {}  # shard -> epoch of the attempt under way
        self._seen_epochs: dict[int, int] = {}  # shard -> highest epoch that a voter is known to have promised
        self._refused_epochs: dict[int, int] = {}  # shard -> highest epoch for which a voter has refused this node
        self._declined_until: dict[int, float] = {}  # shard -> until when it is left to others (monotonic seconds)
        self._orders: tuple[tuple[str, ...], list[list[str]]] = (), []
        self._started_at = node.reactor.seconds()
        voter.may_hold_lease = self.may_hold_lease
        node.net.handle("release", self._serve_release)

    async def poll(self) -> None:
        """Compares the leaders with the live members, and takes over each shard that is this node's turn."""
        voting_config = self._voter.voting_config
        if voting_config is None:
            return
        answering = self._answering_voters()
        hears_majority = voting_config.is_quorum(answering)
        self._registry.contact.poll(hears_majority)
        is_reached = voting_config.is_quorum(answering & self._asking_voters())
        is_partitioned = not hears_majority or not (is_reached or self._is_new())
        if self._node.node_id not in voting_config.everyone:
            # A non-member needs no majority; while it reported to be partitioned, it would not be let in again.
            self._report_partitioned(False)
            for leader in list(self._registry.active.values()):
                leader.end()
            return
        # Only a node that hears from a majority may disturb a leader: one that is heard but hears nobody would end
        # every lease with its prepares. And only one that a majority reaches may lead: what a leader confirms is
        # published at its node, where the others have to be able to ask for it.
        self._report_partitioned(is_partitioned)
        if is_partitioned or self._voter.is_refusing:  # who cannot promise to itself only outbids those that can win
            return
        live_ids = self.live_voters()
        for shard in range(SHARDS):
            is_free = self.is_free(shard) and not self._is_handed_over(shard)
            if is_free and self._may_take(shard, is_reached) and self._is_candidate_now(shard, live_ids):
                self.begin_failover(shard)

    def _may_take(self, shard: int, is_reached: bool) -> bool:
        """Whether the shard may be taken from the leader that it has.

        Who has just started may not have been asked yet: it takes no shard from a leader that is there. Nor does
        anybody in a joint voting configuration from one that stays: a failover between two versions waits for a lease.
        """
        leader = self._live_leader(shard)
        if leader is None:
            return True
        voting_config = self._voter.voting_config
        return is_reached and (voting_config.next is None or leader.node_id not in voting_config.next)

    def live_voters(self) -> list[str]:
        """Node ids of the voters that are live and have not come back under another id."""
        members = self._node.members
        return [
            node_id
            for node_id, peer in self._voter.voting_config.named.items()
            if members.condition(node_id) == LIVE and members.successor_of(node_id, peer) is None
        ]

    def is_free(self, shard: int) -> bool:
        """Whether this node neither leads the shard nor is taking it over."""
        return shard not in self._registry.active and shard not in self.in_progress

    def known_leader(self, shard: int) -> KnownLeader | None:
        """The shard's newest leader by gossip, or None."""
        rows = self._node.state_table.values(f"{SHARD_SOURCE}{shard}")
        return KnownLeader(*json.loads(rows["owner"])) if "owner" in rows else None

    def last_lease_holder(self, shard: int) -> str | None:
        """The node that held the shard's lease last, by this node's voter and by gossip; None if there was none.

        A candidate that only has promises is not meant: it may be about to lead the shard.
        """
        confirmed, known = self._voter.last_holder(shard), self.known_leader(shard)
        return max(confirmed, known[:2] if known else confirmed)[1]

    def is_next(self, shard: int, suspects: set[str]) -> bool:
        """Whether this node is the first candidate once the suspects are left out."""
        candidates = [node_id for node_id in self.live_voters() if node_id not in suspects]
        return bool(candidates) and ranked(candidates, f"slot{shard}")[0] == self._node.node_id

    def decline(self, shard: int, seconds: float) -> None:
        """Leaves the shard to others for so long; another member has asked for it."""
        until = self._reactor.seconds() + seconds
        self._declined_until[shard] = max(until, self._declined_until.get(shard, until))

    def begin_failover(self, shard: int, expired: bool = False) -> None:
        """Starts to take the shard over; its leader is not asked to release it where a majority calls its lease
        expired."""
        self.in_progress.add(shard)
        spawn(self.run(shard, self.live_voters(), expired), self._log)

    async def run(self, shard: int, live_ids: list[str], expired: bool = False) -> None:
        """Attempts to take the shard over; a failed one is logged and followed by a random pause.

        An attempt that failed since the voting configuration has changed meanwhile is repeated at once: it lost to no
        other candidate, and there are as many of them as changes. So is, once, the first candidate's that a voter has
        refused for a promise: nobody else should stand, and the promise may be older than an outage of all.
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
            may_outbid = True
            while await self._should_repeat_attempt(shard, released_epoch, may_outbid):
                may_outbid = False
        finally:
            self.in_progress.discard(shard)

    async def _should_repeat_attempt(self, shard: int, released_epoch: int | None, may_outbid: bool) -> bool:
        """Makes one attempt; whether another one should follow at once."""
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
        if may_outbid and was_refused and self._is_first_candidate(shard, self.live_voters()):
            return True
        await sleep(self._reactor, self._node.random.uniform(*RETRY_PAUSE))
        return False

    async def prepare_and_serve(self, shard: int, released_epoch: int | None) -> None:
        """Takes the shard over under a new epoch; `released_epoch` is that of a leader that said it has ended.

        Raises:
            QuorumUnavailableError: a majority did not promise the epoch, take the snapshot or confirm the lease.
        """
        epoch = self._next_epoch(shard, released_epoch)
        self._seen_epochs[shard] = self._attempts[shard] = epoch
        try:
            leader = await self._elect(shard, epoch, released_epoch)
            if self._voter.promised_epoch(shard) > epoch:  # others may have been told that this attempt leads nothing
                raise QuorumUnavailableError(f"epoch {self._voter.promised_epoch(shard)} is promised already")
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
        """A leader under this epoch whose first lease is confirmed, and that does not serve yet."""
        preparation = PreparePhase(self._registry, self._node, self._voter, shard, epoch)
        await preparation.prepare()
        newest, start = preparation.newest()
        entries = await preparation.fetch_snapshot(newest)
        leader = ShardLeader(self._registry, shard, epoch, entries, 0)
        if not await self._registry.replicator.replicate(leader, 1, {}, start):
            raise QuorumUnavailableError(f"the snapshot of epoch {epoch} did not reach a majority")
        await preparation.previous_lease_ended(released_epoch)
        spawn(self._confirm_first_lease(leader, self._voter.voting_config.version), self._log)
        unconfirmed = QuorumUnavailableError(f"epoch {epoch} was not confirmed")
        await within(self._reactor, LEASE, leader.confirmed, unconfirmed)
        leader.sequence = 1
        return leader

    def note_epoch(self, shard: int, epoch: int) -> None:
        """A voter has refused this node for its promise of this epoch; the next failover by this node goes above it."""
        self._seen_epochs[shard] = max(self._seen_epochs.get(shard, 0), epoch)
        self._refused_epochs[shard] = max(self._refused_epochs.get(shard, 0), epoch)

    def on_outranked(self, shard: int, leader: ShardLeader) -> None:
        """Ends a leader when a voter has promised a later epoch under which nobody serves.

        That voter takes nothing of the leader's epoch any more; the shard is taken over anew, under a higher one.
        """
        self._log.info("epoch_superseded", shard=shard, epoch=leader.epoch, seen=self._seen_epochs.get(shard, 0))
        leader.end()

    def may_hold_lease(self, shard: int, requester: str) -> bool:
        """Whether this process has the shard's lease, or may come to it by an attempt that does not follow the
        requester's.

        Asked once this node's voter has promised the requester's epoch. An attempt below what the voter has promised
        serves nothing (`prepare_and_serve`), and the next one goes above it.
        """
        if shard in self._registry.active:
            return True
        epoch = self._attempts.get(shard)
        return epoch is not None and requester != self._node.node_id and epoch >= self._voter.promised_epoch(shard)

    def candidate_order(self, shard: int, live_ids: tuple[str, ...]) -> list[str]:
        """These voters in the order in which they are candidates for the shard."""
        if self._orders[0] != live_ids:
            self._orders = live_ids, [ranked(live_ids, f"slot{number}") for number in range(SHARDS)]
        return self._orders[1][shard]

    def _answering_voters(self) -> set[str]:
        """Node ids of the voters that have answered this node's gossip requests lately."""
        return {
            node_id
            for node_id, address in self._registry.voter_addresses().items()
            if self._node.gossip_client.is_answered_by(node_id, address)
        }

    def _is_new(self) -> bool:
        """Whether this node has started so lately that others may not have come to ask it."""
        return self._reactor.seconds() - self._started_at < CONDITION_AGE

    def _live_leader(self, shard: int) -> KnownLeader | None:
        """The shard's known leader if it is another node that can be asked to release it; None otherwise."""
        known = self.known_leader(shard)
        if known is None or known.node_id == self._node.node_id:
            return None
        return known if self._node.members.condition(known.node_id) in ANSWERING_CONDITIONS else None

    def _asking_voters(self) -> set[str]:
        """Node ids of the voters whose gossip requests have come to this node lately."""
        return {
            node_id for node_id in self._voter.voting_config.everyone if self._node.gossip_client.is_asked_by(node_id)
        }

    def _report_partitioned(self, is_partitioned: bool) -> None:
        """Publishes whether this member reaches a majority, as far as it is still heard.

        Shards then go to other members at once, without a candidate's turn that this one could not use.
        """
        if not (is_partitioned and self._is_new()):
            self._node.member_state.report_partitioned(is_partitioned)

    def _is_handed_over(self, shard: int) -> bool:
        """Whether another member has asked this one for the shard just now: within the time of a lease, or longer if
        this node has offered it.

        That member may not count as live here yet, as when it is just back from a partition; a failover of this node
        beside its own would only delay both.
        """
        return self._reactor.seconds() < self._declined_until.get(shard, float("-inf"))

    def _is_candidate_now(self, shard: int, live_ids: list[str]) -> bool:
        """Whether it is this node's turn: the first live candidate's, as long as the shard gets a leader.

        If the shard stays without one (a partition may keep the first candidate from the voters only), the next ones
        have a turn each, in order; the first of them only after the first candidate has had its own.
        """
        order = self.candidate_order(shard, tuple(live_ids))
        if self._node.node_id not in order:
            return False
        position = order.index(self._node.node_id)
        now = self._reactor.seconds()
        leaderless_s = min(self._node.state_table.age(f"{SHARD_SOURCE}{shard}"), now - self._started_at)
        late_s = leaderless_s - CONDITION_AGE - CANDIDATE_TURN_TIME
        return position == (0 if late_s <= 0 else (1 + int(late_s / CANDIDATE_TURN_TIME)) % len(order))

    def _is_first_candidate(self, shard: int, live_ids: list[str]) -> bool:
        return self.candidate_order(shard, tuple(live_ids))[:1] == [self._node.node_id]

    async def _ask_release(self, shard: int) -> int | None:
        """The epoch of the known leader if it gave the shard up on request; None otherwise."""
        known = self._live_leader(shard)
        if known is None or known.node_id not in self._voter.voting_config.everyone:
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
        """Asks for the leader's first lease, again and again while voters pass to this voting configuration.

        Under a later one nothing is asked: its majority need not hold what was prepared. Then, or once this node's own
        voter has promised a later epoch, no lease will come, and who waits for it is told so at once.
        """
        while not leader.confirmed.called:
            reason = self._why_unconfirmable(leader, voting_config_version)
            if reason is not None:
                leader.confirmed.errback(QuorumUnavailableError(f"epoch {leader.epoch} was not confirmed: {reason}"))
                return
            self._registry.leases.confirm({leader.shard: leader})
            await sleep(self._reactor, LEASE_RENEW / 4)

    def _why_unconfirmable(self, leader: ShardLeader, voting_config_version: int) -> str | None:
        if self._voter.voting_config.version != voting_config_version:
            return "the voting configuration has changed"
        promised_epoch = self._voter.promised_epoch(leader.shard)
        return f"epoch {promised_epoch} is promised already" if promised_epoch > leader.epoch else None

    async def _serve_release(self, _peer: Any, arguments: Any) -> int | None:
        leader = self._registry.active.get(arguments.shard)
        if leader is None:
            return None
        leader.end()
        self.decline(arguments.shard, LEASE)
        self._log.info("shard_released", shard=arguments.shard, epoch=leader.epoch)
        return leader.epoch
