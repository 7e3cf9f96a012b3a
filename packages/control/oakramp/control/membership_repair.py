"""Repair of the voting configuration in a self-forming cluster, and the steps of each change to it.

The leader of the key begins a change when one is due: a voter that came back without its disk, under a new id,
replaces its former incarnation; a member that stays silent is replaced by a live control node that is not a member; and
further live control nodes join. A silent member that nobody can replace keeps its place, unless the number of members
is even: of four members with one gone, a second loss leaves no majority, but of the other three it does. If several
members are gone for good, they are removed if the remaining ones tolerate more losses without them: five with two gone
become three. As with any change, everything that was confirmed is on majorities of both sets before that. No repair
begins while shards have no leader, for as long as failovers take.
"""

import json

from oakramp.common.constants import (
    CALL_TIME,
    LEASE_EXPIRED,
    LIVENESS_AGE,
    SHARDS,
    SHARDS_LED_WAIT,
    VOTING_CONFIG_ANSWERED,
    VOTING_CONFIG_GONE,
    VOTING_CONFIG_HEARD,
    VOTING_CONFIG_JOINING,
    VOTING_CONFIG_MAX,
    VOTING_CONFIG_MIN,
    VOTING_CONFIG_MOVING_PAUSE,
    VOTING_CONFIG_PAUSE,
    VOTING_CONFIG_REPLACE_AFTER,
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
    """Returns the members without those lost ones that only lower the number of tolerated losses: removes the fewest
    that leave the highest number of further losses to tolerate. Of an even number of members, one may be removed as
    soon as it is lost; others only once they are `gone` for good, because a member that is cut off keeps its place.
    At least `least` members stay: with fewer, confirmed entries would be on too few disks."""
    leaving = sorted(lost, key=lambda node_id: node_id not in gone)
    may_leave = max(len(gone), 1 - len(members) % 2)
    most = min(may_leave, len(lost), max(0, len(members) - least))
    present = len(members) - len(lost)
    count = max(range(most + 1), key=lambda count: (losses_left(len(members) - count, present), -count))
    return {node_id: peer for node_id, peer in members.items() if node_id not in leaving[:count]}


def repaired_members(
    members,
    successors,
    lost,
    awaited,
    outsiders,
    joining=(),
    most=VOTING_CONFIG_MAX,
    least=VOTING_CONFIG_MIN,
    gone=(),
):
    """Returns the members that the voting configuration should have. `successors` maps a member to its next
    incarnation, under a new id. `outsiders` (live control nodes that are not members) replace `lost` members; those of
    them that are `joining` are added as further members. `awaited` members may turn out to be lost or present within a
    moment, so as many outsiders are reserved as their replacements. Of an even number of members, a lost one that
    nobody replaces is removed; of any number, those that are `gone` for good are, if the others tolerate more losses
    without them; at least `least` members stay.
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
    """Adopts the published voting configuration, on every control node; on the leader of the key, drives a change
    through its steps and, in a self-forming cluster, begins the changes that repair the configuration.

    Invariants: `_leaderless_since` is when this node, leading the key, first found shards without a leader, or None if
    it last found none; `_silent_since` maps each member that this node has no sign of life from to the time since when,
    and `_new_since` each live control node that is not a member to the time since when it is known, both watched in
    rounds without a gap, because a process that was frozen itself has watched nobody meanwhile."""

    def __init__(self, node, voter, leaders, self_forming=False, tolerated_losses=1):
        super().__init__(node, leaders, VOTING_CONFIG_KEY, VOTING_CONFIG_PAUSE)
        self._voter, self._self_forming = voter, self_forming
        self._min_members = max(VOTING_CONFIG_MIN, 2 * tolerated_losses + 1)
        self._silent_since, self._new_since = {}, {}
        self._leaderless_since = None
        self.margin = QuorumMargin(node.reactor, node.log)
        self._watched_at = float("-inf")
        node.state_table.watch(VOTING_CONFIG_KEY, lambda _source: spawn(self._adopt_published(), node.log))
        self._publish_kept_voting_config(node.state_table)

    def _publish_kept_voting_config(self, state_table):
        """Publishes the voting configuration on this node's disk by gossip again: this node may be the only one left
        that has adopted it. It would reject messages of every other version, and the others would never learn of this
        one."""
        voting_config = self._voter.voting_config
        if voting_config is not None:
            state_table.set_items(VOTING_CONFIG_KEY, voting_config.version, {"record": pack_json(voting_config.record)})

    async def _adopt_published(self):
        rows = self._node.state_table.values(VOTING_CONFIG_KEY)
        if "record" not in rows:
            return
        await self._voter.set_voting_config(json.loads(rows["record"]))
        for leader in list(self._leaders.active.values()):
            if leader.voting_config_version < self._voter.voting_config.version:
                leader.replicate_again()

    async def _round(self):
        await self._adopt_published()
        voting_config = self._voter.voting_config
        if voting_config is not None:
            present = {
                node_id for node_id, peer in voting_config.all_members.items() if self._is_present(node_id, peer)
            }
            self.margin.poll(voting_config, present)
        if self._self_forming and voting_config is not None:
            self._watch_members(voting_config)
        await super()._round()

    async def _work(self, leader):
        voting_config = self._voter.voting_config
        may_repair = self._self_forming and not self._waits_for_failovers()
        if voting_config is not None and voting_config.next is None and may_repair:
            await self._repair(leader, voting_config)
            voting_config = self._voter.voting_config
        while voting_config is not None and voting_config.next is not None and leader.holds_lease():
            if all(
                self._shard_voting_config(shard) >= voting_config.version for shard in range(SHARDS)
            ) and await self._is_adopted_by_majorities(voting_config):
                record = await leader.do(VOTING_CONFIG_KEY, "advance", {"basedOn": voting_config.version})
                self._node.log.info("voting_configuration_changed", version=record["version"])
                return
            await sleep(self._node.reactor, VOTING_CONFIG_MOVING_PAUSE)
            voting_config = self._voter.voting_config

    # --- repair ---

    def _waits_for_failovers(self):
        """Whether a repair should wait for failovers under way. Each would have to start over under the next version,
        and wait for every lease that may be held under this one. After SHARDS_LED_WAIT the repair waits no
        longer."""
        now = self._node.reactor.seconds()
        if all(self._node.state_table.age(f"{SHARD_SOURCE}{shard}") < LEASE_EXPIRED for shard in range(SHARDS)):
            self._leaderless_since = None
            return False
        if self._leaderless_since is None:
            self._leaderless_since = now
        return now - self._leaderless_since < SHARDS_LED_WAIT

    def _is_present(self, node_id, peer):
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
            if not self._is_present(node_id, peer)
        }

    def _silent_for(self, seconds):
        """The members that have shown no sign of life for this long."""
        last = self._node.reactor.seconds() - (seconds - LIVENESS_AGE)
        return [node_id for node_id, since in self._silent_since.items() if since <= last]

    async def _repair(self, leader, voting_config):
        node = self._node
        answering = {
            member.node_id: member
            for member in node.members.live("control")
            if node.gossip_client.has_replied_recently(member.peer, VOTING_CONFIG_ANSWERED)
        }
        present = {
            node_id
            for node_id, peer in voting_config.members.items()
            if node_id in answering and self._is_present(node_id, peer)
        }
        joining_members = {node_id: one for node_id, one in answering.items() if node_id not in voting_config.members}
        successors = {
            successor.node_id: node_id
            for node_id, peer in voting_config.members.items()
            if node_id not in present and (successor := self._successor_of(node_id, peer, joining_members)) is not None
        }
        successors = {
            node_id: (successor_id, joining_members[successor_id].peer) for successor_id, node_id in successors.items()
        }
        # A machine has one vote: a node on the machine of a member may replace that member only.
        previous = [node.members.find(node_id) for node_id in voting_config.members]
        occupied = {
            *voting_config.members.values(),
            *(one.peer for one in previous if one),
            *(one.machine for one in previous if one),
        }
        outsiders = [
            (node_id, one.peer)
            for node_id, one in sorted(joining_members.items())
            if not {one.peer, one.machine} & occupied
        ]
        now = node.reactor.seconds()
        lost = self._silent_for(VOTING_CONFIG_REPLACE_AFTER)
        awaited = [
            node_id
            for node_id, peer in voting_config.members.items()
            if node_id not in present
            or not node.gossip_client.has_replied_recently(answering[node_id].peer, VOTING_CONFIG_HEARD)
        ]
        joining = {node_id for node_id, since in self._new_since.items() if now - since >= VOTING_CONFIG_JOINING}
        wanted = repaired_members(
            voting_config.members,
            successors,
            lost,
            awaited,
            outsiders,
            joining,
            least=self._min_members,
            gone=self._silent_for(VOTING_CONFIG_GONE),
        )
        if wanted == voting_config.members:
            return
        if not VotingConfiguration({"version": 0, "members": voting_config.members, "next": wanted}).is_quorum(
            present | joining_members.keys()
        ):
            return
        record = await leader.do(VOTING_CONFIG_KEY, "reconfigure", {"basedOn": voting_config.version, "next": wanted})
        node.log.info(
            "voting_configuration_repair_started",
            version=record["version"],
            leaving=",".join(sorted(voting_config.members.keys() - wanted)),
            joining=",".join(sorted(wanted.keys() - voting_config.members)),
        )
        await self._adopt_published()

    def _successor_of(self, node_id, peer, joining_members):
        """The node that came back in place of this member, without its disk: at the same address or, once the member is
        silent, on a machine of the same name."""
        successor = self._node.members.successor_of(node_id, peer)
        if successor is not None:
            return joining_members.get(successor.node_id)
        previous = self._node.members.find(node_id)
        if previous is None or self._node.members.condition(node_id) == LIVE:
            return None
        return next((one for one in joining_members.values() if one.machine == previous.machine), None)

    # --- steps of a change ---

    def _shard_voting_config(self, shard):
        """The version of the voting configuration under which the shard's leader last wrote its snapshot."""
        return json.loads(self._node.state_table.values(f"slot/{shard}").get("roster", b"0"))

    async def _is_adopted_by_majorities(self, voting_config):
        """Whether majorities of both sets have adopted this version. A voter that has not reached it yet is polled
        again on its own, so that the others do not wait for a voter that is dead."""
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
                raise QuorumUnavailableError(f"{node_id} is in version {version}")

        reached, _ = await quorum_of(
            {node_id: ask(node_id, peer) for node_id, peer in voting_config.all_members.items()},
            voting_config.is_quorum,
        )
        return reached
