"""The key `roster`: whose disks vote. It changes through a version of both sets, which may differ in any number of
members (joint consensus):

    version r      members A B C                           majority of A B C
    version r+1    members A B C, next B C D E F           majority of both; every shard is written again
    version r+2    members B C D E F                       majority of B C D E F

A voter answers only messages of its own voting configuration version, so each majority belongs to one version. The
leader of the key goes on from r+1 once a majority of both sets stands in it (then no majority of version r can come
about any more) and every shard's leader says that its snapshot lies on majorities of both (then the new set knows all
that the old one confirmed). The state of the change is in the key itself, so whoever owns it next goes on.

In a cluster that forms itself, the leader of the key also mends the voting configuration: who came back without its
disk, under a new id, takes its previous self's place; a member that stays silent gives its place to a live outsider;
and further live control nodes join. Without an outsider a silent member keeps its place, but in an even number of
members: of four with one gone a second loss leaves no majority, and of the three others it does.
What was confirmed is on majorities of both sets before that, as with any change.

A member that was replaced and comes back with its disk is an outsider, and may join again under its old id: an id is
one disk, and as long as it is there, so is all it has promised. What it holds is older than what a majority of any
later version holds, as with any voter that was cut off, and the versions in between shut out what it may still ask.
A lost disk is another id, and calls to a voter name the id they are for.

Invariants: `version` rises with every change; `next` is set only in a joint version, and is not empty; a majority is
counted among voters of one version, each of which has answered under its own id.
"""

import json

from schema import And

from oakramp.common.constants import (
    CALL_TIME,
    CONDITION_AGE,
    SHARDS,
    VOTING_CONFIG_ANSWERED,
    VOTING_CONFIG_HEARD,
    VOTING_CONFIG_JOINING,
    VOTING_CONFIG_LEAST,
    VOTING_CONFIG_MOST,
    VOTING_CONFIG_MOVING_PAUSE,
    VOTING_CONFIG_PATIENCE,
    VOTING_CONFIG_PAUSE,
)
from oakramp.common.errors import (
    ConflictError,
    NotFoundError,
    QuorumUnavailableError,
    RequestRejectedError,
    VersionConflictError,
)
from oakramp.common.settings import ADDRESS
from oakramp.common.tasks import quorum_of, sleep, spawn
from oakramp.common.validation import NAME, check_fields, pack_json, whole
from oakramp.control.controllers import CONTROLLERS, Controller
from oakramp.control.singleton_task import SingletonTask
from oakramp.membership.members import LIVE

VOTING_CONFIG_KEY = "roster"
MEMBER = {"nodeId": NAME, "peer": ADDRESS}


class VotingConfiguration:
    """One version of the voting configuration. While it changes, `next` holds the members of the version to come, and
    a quorum needs majorities of both."""

    def __init__(self, record):
        self.record, self.version = record, record["version"]
        self.members, self.next = record["members"], record.get("next")
        self.everyone = self.members | (self.next or {})
        self.named = self.next or self.members  # whom shards are named for: a leaving member hands over early

    def is_quorum(self, node_ids):
        """Whether these nodes include a majority of the members, and of the next members where there are some."""
        return all(
            len(node_ids & member_ids.keys()) > len(member_ids) // 2
            for member_ids in (self.members, self.next)
            if member_ids is not None
        )


def _record(transaction):
    return transaction.get(VOTING_CONFIG_KEY) or transaction.context.voting_config.record


def _check_version(record, based_on):
    if based_on != record["version"]:
        raise VersionConflictError(
            f"built on version {based_on}, the newest is {record['version']}", detail={"version": record["version"]}
        )


def _replace(transaction, _key, arguments):
    check_fields({"basedOn": whole(0, 1 << 53), "leaving": NAME, "joining": dict}, arguments)
    check_fields(MEMBER, arguments["joining"])
    record = _record(transaction)
    leaving, joining = arguments["leaving"], arguments["joining"]
    members = record["members"]
    changed = {node_id: peer for node_id, peer in members.items() if node_id != leaving} | {
        joining["nodeId"]: joining["peer"]
    }
    if record.get("next") == changed:
        return record  # asked again
    if record.get("next") is not None:
        raise ConflictError("a member is being replaced already")
    if leaving not in members:
        raise NotFoundError(f"{leaving} is not in the roster; it has {', '.join(sorted(members))}")
    if joining["nodeId"] in members:
        raise RequestRejectedError(f"{joining['nodeId']} is in the roster already")
    return _begin_change(transaction, record, arguments["basedOn"], changed)


def _begin_change(transaction, record, based_on, changed):
    """The joint version of the members and those they are changed to."""
    _check_version(record, based_on)
    known = transaction.context.members
    for node_id in changed.keys() - record["members"].keys():
        joining_member = known.find(node_id)
        if joining_member is None or joining_member.kind != "control" or known.condition(node_id) != LIVE:
            raise transaction.context.refusal(
                RequestRejectedError(f"{node_id} is not a live control node of this cluster")
            )
    record = {"version": record["version"] + 1, "members": record["members"], "next": changed}
    transaction.put(VOTING_CONFIG_KEY, record)
    return record


def _reconfigure(transaction, _key, arguments):
    check_fields(
        {"basedOn": whole(0, 1 << 53), "next": And(dict, len, {NAME: ADDRESS}, error="must map node ids to addresses")},
        arguments,
    )
    record, changed = _record(transaction), arguments["next"]
    if record.get("next") == changed or (record.get("next") is None and record["members"] == changed):
        return record  # asked again
    if record.get("next") is not None:
        raise ConflictError("the roster is being changed already")
    _check_smaller(transaction, record["members"], changed)
    return _begin_change(transaction, record, arguments["basedOn"], changed)


def _check_smaller(transaction, members, changed):
    """A voting configuration gets smaller only by members that are not live, and keeps VOTING_CONFIG_LEAST."""
    if len(changed) >= len(members):
        return
    if len(changed) < VOTING_CONFIG_LEAST:
        raise RequestRejectedError(f"a smaller roster has {VOTING_CONFIG_LEAST} members at least")
    live = [node_id for node_id in members.keys() - changed if transaction.context.members.condition(node_id) == LIVE]
    if live:
        raise RequestRejectedError(f"{', '.join(sorted(live))} is live: a roster gets smaller by who is gone only")


def _advance(transaction, _key, arguments):
    check_fields({"basedOn": whole(0, 1 << 53)}, arguments)
    record = _record(transaction)
    _check_version(record, arguments["basedOn"])
    if record.get("next") is None:
        return record
    record = {"version": record["version"] + 1, "members": record["next"], "next": None}
    transaction.put(VOTING_CONFIG_KEY, record)
    return record


def _snapshot(transaction, _key):
    record = transaction.get(VOTING_CONFIG_KEY)
    return (0, {}) if record is None else (record["version"], {"record": pack_json(record)})


CONTROLLERS.enter(VOTING_CONFIG_KEY)(
    Controller(
        {
            "read": lambda transaction, key, arguments: _record(transaction),
            "replace": _replace,
            "reconfigure": _reconfigure,
            "advance": _advance,
        },
        snapshot=_snapshot,
    )
)


def without_surplus(members, lost, least):
    """These members without one of the lost ones, if their number is even: of four and of three just one may be lost,
    so a lost fourth only takes from what the others bear. `least` of them stay."""
    if not lost or len(members) % 2 or len(members) <= least:
        return members
    return {node_id: peer for node_id, peer in members.items() if node_id != lost[0]}


def repaired(
    members,
    successors,
    lost,
    awaited,
    outsiders,
    joining=(),
    most=VOTING_CONFIG_MOST,
    least=VOTING_CONFIG_LEAST,
):
    """The members that the voting configuration should have: `successors` maps a member to its next incarnation, under
    a new id; `lost` members give their places to `outsiders`; those of them that are `joining` add to the members.
    `awaited` members may be lost or back in a moment, so as many outsiders are held back to take their places instead.
    Of an even number of members a lost one whose place nobody takes leaves; `least` members stay.
    Nodes are (id, address) pairs."""
    places, outsiders = dict(successors), dict(outsiders)
    vacant = [node_id for node_id in lost if node_id not in places]
    places |= {node_id: outsiders.popitem() for node_id in vacant[: len(outsiders)]}
    kept = dict(places.get(node_id, (node_id, peer)) for node_id, peer in members.items())
    room = max(0, min(most - len(kept), len(outsiders) - len([one for one in awaited if one not in places])))
    wanted = kept | dict([one for one in sorted(outsiders.items()) if one[0] in joining][:room])
    return without_surplus(wanted, [node_id for node_id in vacant if node_id in wanted], least)


class MembershipRepairTask(SingletonTask):
    """Follows the published voting configuration, on every control node; on the leader of the key, moves a change on
    and, if the cluster forms itself, begins those that mend it.

    Invariant: `_silentSince` holds the members that this node has seen no sign of since then, and `_newSince` the live
    control nodes that are none, in rounds without a gap: one that was frozen itself has watched nobody meanwhile."""

    def __init__(self, node, voter, leaders, mends=False, tolerated_losses=1):
        super().__init__(node, leaders, VOTING_CONFIG_KEY, VOTING_CONFIG_PAUSE)
        self._voter, self._mends = voter, mends
        self._least = max(VOTING_CONFIG_LEAST, 2 * tolerated_losses + 1)
        self._silent_since, self._new_since = {}, {}
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
        for owner in list(self._owners.active.values()):
            if owner.voting_config_version < self._voter.voting_config.version:
                owner.write_again()

    async def _round(self):
        await self._follow()
        if self._mends and self._voter.voting_config is not None:
            self._watch_members(self._voter.voting_config)
        await super()._round()

    async def _work(self, owner):
        voting_config = self._voter.voting_config
        if voting_config is not None and voting_config.next is None and self._mends:
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
        lost = [
            node_id
            for node_id, since in self._silent_since.items()
            if now - since >= VOTING_CONFIG_PATIENCE - CONDITION_AGE
        ]
        awaited = [
            node_id
            for node_id, peer in voting_config.members.items()
            if node_id not in here
            or not node.gossip_client.answers_lately(answering[node_id].peer, VOTING_CONFIG_HEARD)
        ]
        joining = {node_id for node_id, since in self._new_since.items() if now - since >= VOTING_CONFIG_JOINING}
        wanted = repaired(voting_config.members, successors, lost, awaited, outsiders, joining, least=self._least)
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
