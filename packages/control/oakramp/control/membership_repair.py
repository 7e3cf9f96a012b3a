"""Repair of the voting configuration, in a cluster that forms itself, and the steps of its changes.

The leader of the key begins a change where one is due: who came back without its disk, under a new id, takes its
previous self's place; a member that stays silent gives its place to a live outsider; and further live control nodes
join. Without an outsider a silent member keeps its place, but in an even number of members: of four with one gone a
second loss leaves no majority, and of the three others it does. Several that are gone for good leave, if the others
bear more losses without them: five with two gone become three. What was confirmed is on majorities of both sets before
that, as with any change. No repair begins while shards are without a leader, for as long as failovers take.
"""

import json

from oakramp.common.constants import (
    CALL_TIME,
    CONDITION_AGE,
    LEASE_EXPIRED,
    SHARDS,
    SHARDS_LED_PATIENCE,
    VOTING_CONFIG_ANSWERED,
    VOTING_CONFIG_GONE,
    VOTING_CONFIG_HEARD,
    VOTING_CONFIG_JOINING,
    VOTING_CONFIG_LEAST,
    VOTING_CONFIG_MOST,
    VOTING_CONFIG_MOVING_PAUSE,
    VOTING_CONFIG_PATIENCE,
    VOTING_CONFIG_PAUSE,
)
from oakramp.common.errors import QuorumUnavailableError
from oakramp.common.tasks import quorum_of, sleep, spawn
from oakramp.common.validation import pack_json
from oakramp.control.controllers import SHARD_SOURCE
from oakramp.control.quorum_margin import QuorumMargin
from oakramp.control.singleton_task import SingletonTask
from oakramp.control.voting_configuration import VOTING_CONFIG_KEY, VotingConfiguration, losses_left
from oakramp.membership.members import LIVE


def without_surplus(members, lost, gone, least):
    """These members without those of the lost ones that only take from what the others bear: as few as leave the most
    losses that may follow. Of an even number one may leave as soon as it is lost; others only once they are `gone` for
    good, since who is cut off keeps its place. `least` members stay: with fewer, what was confirmed would be on too few
    disks."""
    leaving = sorted(lost, key=lambda node_id: node_id not in gone)
    may_leave = max(len(gone), 1 - len(members) % 2)
    most = min(may_leave, len(lost), max(0, len(members) - least))
    present = len(members) - len(lost)
    count = max(range(most + 1), key=lambda count: (losses_left(len(members) - count, present), -count))
    return {node_id: peer for node_id, peer in members.items() if node_id not in leaving[:count]}


def repaired(
    members,
    successors,
    lost,
    awaited,
    outsiders,
    joining=(),
    most=VOTING_CONFIG_MOST,
    least=VOTING_CONFIG_LEAST,
    gone=(),
):
    """The members that the voting configuration should have: `successors` maps a member to its next incarnation, under
    a new id; `lost` members give their places to `outsiders`; those of them that are `joining` add to the members.
    `awaited` members may be lost or back in a moment, so as many outsiders are held back to take their places instead.
    Of an even number of members a lost one whose place nobody takes leaves, and of any number those that are `gone` for
    good, if the others bear more losses without them; `least` members stay.
    Nodes are (id, address) pairs."""
    places, outsiders = dict(successors), dict(outsiders)
    vacant = [node_id for node_id in lost if node_id not in places]
    places |= {node_id: outsiders.popitem() for node_id in vacant[: len(outsiders)]}
    kept = dict(places.get(node_id, (node_id, peer)) for node_id, peer in members.items())
    room = max(0, min(most - len(kept), len(outsiders) - len([one for one in awaited if one not in places])))
    wanted = kept | dict([one for one in sorted(outsiders.items()) if one[0] in joining][:room])
    left = [node_id for node_id in vacant if node_id in wanted]
    return without_surplus(wanted, left, [node_id for node_id in left if node_id in gone], least)


class MembershipRepairTask(SingletonTask):
    """Follows the published voting configuration, on every control node; on the leader of the key, moves a change on
    and, if the cluster forms itself, begins those that mend it.

    Invariants: `_leaderless_since` is when this node, leading the key, first found shards without a leader, or None if
    it last found none; `_silent_since` holds the members that this node has seen no sign of since then, and
    `_new_since` the live control nodes that are none, in rounds without a gap: one that was frozen itself has watched
    nobody meanwhile."""

    def __init__(self, node, voter, leaders, mends=False, tolerated_losses=1):
        super().__init__(node, leaders, VOTING_CONFIG_KEY, VOTING_CONFIG_PAUSE)
        self._voter, self._mends = voter, mends
        self._least = max(VOTING_CONFIG_LEAST, 2 * tolerated_losses + 1)
        self._silent_since, self._new_since = {}, {}
        self._leaderless_since = None
        self.margin = QuorumMargin(node.reactor, node.log)
        self._watched_at = float("-inf")
        node.state_table.watch(VOTING_CONFIG_KEY, lambda _source: spawn(self._follow(), node.log))
        self._tell_kept_voting_config(node.state_table)

    def _tell_kept_voting_config(self, state_table):
        """What is on this disk goes into the news again: this node may be the only one left that has taken it up, and
        would refuse every other version, while the others would never hear of this one."""
        voting_config = self._voter.voting_config
        if voting_config is not None:
            state_table.set_items(VOTING_CONFIG_KEY, voting_config.version, {"record": pack_json(voting_config.record)})

    async def _follow(self):
        rows = self._node.state_table.values(VOTING_CONFIG_KEY)
        if "record" not in rows:
            return
        await self._voter.set_voting_config(json.loads(rows["record"]))
        for owner in list(self._leaders.active.values()):
            if owner.voting_config_version < self._voter.voting_config.version:
                owner.replicate_again()

    async def _round(self):
        await self._follow()
        voting_config = self._voter.voting_config
        if voting_config is not None:
            present = {node_id for node_id, peer in voting_config.everyone.items() if self._is_here(node_id, peer)}
            self.margin.poll(voting_config, present)
        if self._mends and voting_config is not None:
            self._watch_members(voting_config)
        await super()._round()

    async def _work(self, owner):
        voting_config = self._voter.voting_config
        may_repair = self._mends and not self._holds_failovers_up()
        if voting_config is not None and voting_config.next is None and may_repair:
            await self._repair(owner, voting_config)
            voting_config = self._voter.voting_config
        while voting_config is not None and voting_config.next is not None and owner.holds_lease():
            if all(
                self._shard_voting_config(shard) >= voting_config.version for shard in range(SHARDS)
            ) and await self._is_stood(voting_config):
                record = await owner.do(VOTING_CONFIG_KEY, "advance", {"basedOn": voting_config.version})
                self._node.log.info("voting_configuration_changed", version=record["version"])
                return
            await sleep(self._node.reactor, VOTING_CONFIG_MOVING_PAUSE)
            voting_config = self._voter.voting_config

    # --- mending ---

    def _holds_failovers_up(self):
        """Whether a repair should wait: each failover under way would have to begin anew under the next version, and
        wait for every lease that may be held under this one. After SHARDS_LED_PATIENCE it waits no longer."""
        now = self._node.reactor.seconds()
        if all(self._node.state_table.age(f"{SHARD_SOURCE}{shard}") < LEASE_EXPIRED for shard in range(SHARDS)):
            self._leaderless_since = None
            return False
        if self._leaderless_since is None:
            self._leaderless_since = now
        return now - self._leaderless_since < SHARDS_LED_PATIENCE

    def _is_here(self, node_id, peer):
        return self._node.members.condition(node_id) == LIVE and self._node.members.successor_of(node_id, peer) is None

    def _watch_members(self, voting_config):
        now = self._node.reactor.seconds()
        if now - self._watched_at > VOTING_CONFIG_ANSWERED:
            self._silent_since, self._new_since = {}, {}
        self._watched_at = now
        self._new_since = {
            member.node_id: self._new_since.get(member.node_id, now)
            for member in self._node.members.live("control")
            if member.node_id not in voting_config.members
        }
        self._silent_since = {
            node_id: self._silent_since.get(node_id, now)
            for node_id, peer in voting_config.members.items()
            if not self._is_here(node_id, peer)
        }

    def _silent_for(self, seconds):
        """The members that have shown no sign of life for so long."""
        last = self._node.reactor.seconds() - (seconds - CONDITION_AGE)
        return [node_id for node_id, since in self._silent_since.items() if since <= last]

    async def _repair(self, owner, voting_config):
        node = self._node
        answering = {
            member.node_id: member
            for member in node.members.live("control")
            if node.gossip_client.answers_lately(member.peer, VOTING_CONFIG_ANSWERED)
        }
        here = {
            node_id
            for node_id, peer in voting_config.members.items()
            if node_id in answering and self._is_here(node_id, peer)
        }
        joining_members = {node_id: one for node_id, one in answering.items() if node_id not in voting_config.members}
        successors = {
            successor.node_id: node_id
            for node_id, peer in voting_config.members.items()
            if node_id not in here and (successor := self._successor_of(node_id, peer, joining_members)) is not None
        }
        successors = {
            node_id: (successor_id, joining_members[successor_id].peer) for successor_id, node_id in successors.items()
        }
        # A machine has one vote: who runs where a member did may take its place and no other.
        previous = [node.members.find(node_id) for node_id in voting_config.members]
        taken = {
            *voting_config.members.values(),
            *(one.peer for one in previous if one),
            *(one.machine for one in previous if one),
        }
        outsiders = [
            (node_id, one.peer)
            for node_id, one in sorted(joining_members.items())
            if not {one.peer, one.machine} & taken
        ]
        now = node.reactor.seconds()
        lost = self._silent_for(VOTING_CONFIG_PATIENCE)
        awaited = [
            node_id
            for node_id, peer in voting_config.members.items()
            if node_id not in here
            or not node.gossip_client.answers_lately(answering[node_id].peer, VOTING_CONFIG_HEARD)
        ]
        joining = {node_id for node_id, since in self._new_since.items() if now - since >= VOTING_CONFIG_JOINING}
        wanted = repaired(
            voting_config.members,
            successors,
            lost,
            awaited,
            outsiders,
            joining,
            least=self._least,
            gone=self._silent_for(VOTING_CONFIG_GONE),
        )
        if wanted == voting_config.members:
            return
        if not VotingConfiguration({"version": 0, "members": voting_config.members, "next": wanted}).is_quorum(
            here | joining_members.keys()
        ):
            return
        record = await owner.do(VOTING_CONFIG_KEY, "reconfigure", {"basedOn": voting_config.version, "next": wanted})
        node.log.info(
            "voting_configuration_repair_started",
            version=record["version"],
            leaving=",".join(sorted(voting_config.members.keys() - wanted)),
            joining=",".join(sorted(wanted.keys() - voting_config.members)),
        )
        await self._follow()

    def _successor_of(self, node_id, peer, joining_members):
        """Who came back in this member's place without its disk: at its address, or, once the member is silent, on
        a machine of its name."""
        successor = self._node.members.successor_of(node_id, peer)
        if successor is not None:
            return joining_members.get(successor.node_id)
        previous = self._node.members.find(node_id)
        if previous is None or self._node.members.condition(node_id) == LIVE:
            return None
        return next((one for one in joining_members.values() if one.machine == previous.machine), None)

    # --- moving on ---

    def _shard_voting_config(self, shard):
        """The voting configuration version under which the shard's leader last wrote its snapshot."""
        return json.loads(self._node.state_table.values(f"slot/{shard}").get("roster", b"0"))

    async def _is_stood(self, voting_config):
        """Whether majorities of both sets stand in this version. Who is on the way to it is asked again by itself, so
        that nobody waits for one that is dead."""
        ends_at = self._node.reactor.seconds() + CALL_TIME

        async def ask(node_id, peer):
            member = self._node.members.find(node_id)
            while (
                version := await self._node.net.call(
                    member.peer if member else peer, "rosterVersion", ends_at - self._node.reactor.seconds(), to=node_id
                )
            ) < voting_config.version:
                await sleep(self._node.reactor, VOTING_CONFIG_MOVING_PAUSE)
            if version != voting_config.version:
                raise QuorumUnavailableError(f"{node_id} stands in version {version}")

        reached, _ = await quorum_of(
            {node_id: ask(node_id, peer) for node_id, peer in voting_config.everyone.items()}, voting_config.is_quorum
        )
        return reached
