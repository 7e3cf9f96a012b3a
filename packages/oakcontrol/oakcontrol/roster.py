"""The key `roster`: whose disks vote. It changes through a version of both sets, which may differ in any number of
members (joint consensus):

    version r      members A B C                           majority of A B C
    version r+1    members A B C, next B C D E F           majority of both; every slot is written again
    version r+2    members B C D E F                       majority of B C D E F

A voter answers only messages of its own roster version, so each majority belongs to one version. The owner of
the key goes on from r+1 once a majority of both sets stands in it (then no majority of version r can come about
any more) and every slot's owner says that its image lies on majorities of both (then the new set knows all that
the old one confirmed). The state of the change is in the key itself, so whoever owns it next goes on.

In a cluster that forms itself, the owner of the key also mends the roster: who came back without its disk, under a
new id, takes its former self's place; a member that stays silent gives its place to a live outsider; and further
live control nodes join. It never shrinks, since what is silent may come back and hold what nobody else does.

A member that was replaced and comes back with its disk is an outsider, and may join again under its old id: an id is
one disk, and as long as it is there, so is all it has promised. What it holds is older than what a majority of any
later version holds, as with any voter that was cut off, and the versions in between shut out what it may still ask.
A lost disk is another id, and calls to a voter name the id they are for.

Invariants: `version` rises with every change; `next` is set only in a joint version, and is not empty; a majority is
counted among voters of one version, each of which has answered under its own id.
"""

import json

from schema import And

from oakbase.checks import NAME, checkFields, packJson, whole
from oakbase.constants import (
    CALL_TIME,
    CONDITION_AGE,
    ROSTER_ANSWERED,
    ROSTER_HEARD,
    ROSTER_JOINING,
    ROSTER_MOST,
    ROSTER_MOVING_PAUSE,
    ROSTER_PATIENCE,
    ROSTER_PAUSE,
    SLOTS,
)
from oakbase.env import ADDRESS
from oakbase.tasks import quorumOf, sleep, spawn
from oakbase.verdict import CannotTell, Conflict, Lost, Refused, Unknown
from oakcohort.members import LIVE
from oakcontrol.controllers import CONTROLLERS, Controller
from oakcontrol.duty import Duty

ROSTER_KEY = "roster"
MEMBER = {"nodeId": NAME, "peer": ADDRESS}


class Roster:
    def __init__(self, record):
        self.record, self.version = record, record["version"]
        self.members, self.next = record["members"], record.get("next")
        self.everyone = self.members | (self.next or {})
        self.named = self.next or self.members  # whom slots are named for: a leaving member hands over early

    def isQuorum(self, nodeIds):
        return all(
            len(nodeIds & memberIds.keys()) > len(memberIds) // 2
            for memberIds in (self.members, self.next)
            if memberIds is not None
        )


def _record(view):
    return view.get(ROSTER_KEY) or view.context.roster.record


def _checkVersion(record, basedOn):
    if basedOn != record["version"]:
        raise Lost(
            f"built on version {basedOn}, the newest is {record['version']}", detail={"version": record["version"]}
        )


def _replace(view, _key, arguments):
    checkFields({"basedOn": whole(0, 1 << 53), "leaving": NAME, "joining": dict}, arguments)
    checkFields(MEMBER, arguments["joining"])
    record = _record(view)
    leaving, joining = arguments["leaving"], arguments["joining"]
    members = record["members"]
    changed = {nodeId: peer for nodeId, peer in members.items() if nodeId != leaving} | {
        joining["nodeId"]: joining["peer"]
    }
    if record.get("next") == changed:
        return record  # asked again
    if record.get("next") is not None:
        raise Conflict("a member is being replaced already")
    if leaving not in members:
        raise Unknown(f"{leaving} is not in the roster; it has {', '.join(sorted(members))}")
    if joining["nodeId"] in members:
        raise Refused(f"{joining['nodeId']} is in the roster already")
    return _beginChange(view, record, arguments["basedOn"], changed)


def _beginChange(view, record, basedOn, changed):
    """The joint version of the members and those they are changed to."""
    _checkVersion(record, basedOn)
    known = view.context.members
    for nodeId in changed.keys() - record["members"].keys():
        newcomer = known.find(nodeId)
        if newcomer is None or newcomer.kind != "control" or known.condition(nodeId) != LIVE:
            raise Refused(f"{nodeId} is not a live control node of this cluster")
    record = {"version": record["version"] + 1, "members": record["members"], "next": changed}
    view.put(ROSTER_KEY, record)
    return record


def _reconfigure(view, _key, arguments):
    checkFields(
        {"basedOn": whole(0, 1 << 53), "next": And(dict, len, {NAME: ADDRESS}, error="must map node ids to addresses")},
        arguments,
    )
    record, changed = _record(view), arguments["next"]
    if record.get("next") == changed or (record.get("next") is None and record["members"] == changed):
        return record  # asked again
    if record.get("next") is not None:
        raise Conflict("the roster is being changed already")
    if len(changed) < len(record["members"]):
        raise Refused("the roster never shrinks")
    return _beginChange(view, record, arguments["basedOn"], changed)


def _advance(view, _key, arguments):
    checkFields({"basedOn": whole(0, 1 << 53)}, arguments)
    record = _record(view)
    _checkVersion(record, arguments["basedOn"])
    if record.get("next") is None:
        return record
    record = {"version": record["version"] + 1, "members": record["next"], "next": None}
    view.put(ROSTER_KEY, record)
    return record


def _image(view, _key):
    record = view.get(ROSTER_KEY)
    return (0, {}) if record is None else (record["version"], {"record": packJson(record)})


CONTROLLERS.enter(ROSTER_KEY)(
    Controller(
        {
            "read": lambda view, key, arguments: _record(view),
            "replace": _replace,
            "reconfigure": _reconfigure,
            "advance": _advance,
        },
        image=_image,
    )
)


def mended(members, heirs, lost, awaited, outsiders, joining=(), most=ROSTER_MOST):
    """The members that the roster should have: `heirs` maps a member to who came back in its place, under a new id;
    `lost` members give their places to `outsiders`; those of them that are `joining` add to the members. `awaited`
    members may be lost or back in a moment, so as many outsiders are held back to take their places instead. Nodes
    are (id, address) pairs."""
    places, outsiders = dict(heirs), dict(outsiders)
    vacant = [nodeId for nodeId in lost if nodeId not in places]
    places |= {nodeId: outsiders.popitem() for nodeId in vacant[: len(outsiders)]}
    kept = dict(places.get(nodeId, (nodeId, peer)) for nodeId, peer in members.items())
    room = max(0, min(most - len(kept), len(outsiders) - len([one for one in awaited if one not in places])))
    return kept | dict([one for one in sorted(outsiders.items()) if one[0] in joining][:room])


class RosterWatch(Duty):
    """Follows the published roster, on every control node; on the owner of the key, moves a change on and, if the
    cluster forms itself, begins those that mend it.

    Invariant: `_silentSince` holds the members that this node has seen no sign of since then, and `_newSince` the live
    control nodes that are none, in rounds without a gap: one that was frozen itself has watched nobody meanwhile."""

    def __init__(self, node, voter, owners, mends=False):
        super().__init__(node, owners, ROSTER_KEY, ROSTER_PAUSE)
        self._voter, self._mends = voter, mends
        self._silentSince, self._newSince = {}, {}
        self._watchedAt = float("-inf")
        node.board.watch(ROSTER_KEY, lambda _source: spawn(self._follow(), node.log))

    async def _follow(self):
        rows = self._node.board.values(ROSTER_KEY)
        if "record" not in rows:
            return
        await self._voter.setRoster(json.loads(rows["record"]))
        for owner in list(self._owners.held.values()):
            if owner.rosterVersion < self._voter.roster.version:
                owner.writeAgain()

    async def _round(self):
        await self._follow()
        if self._mends and self._voter.roster is not None:
            self._watchMembers(self._voter.roster)
        await super()._round()

    async def _work(self, owner):
        roster = self._voter.roster
        if roster is not None and roster.next is None and self._mends:
            await self._mend(owner, roster)
            roster = self._voter.roster
        while roster is not None and roster.next is not None and owner.holdsTerm():
            if all(self._slotRoster(slot) >= roster.version for slot in range(SLOTS)) and await self._isStood(roster):
                record = await owner.do(ROSTER_KEY, "advance", {"basedOn": roster.version})
                self._node.log.event("rosterMoved", version=record["version"])
                return
            await sleep(self._node.reactor, ROSTER_MOVING_PAUSE)
            roster = self._voter.roster

    # --- mending ---

    def _isHere(self, nodeId, peer):
        return self._node.members.condition(nodeId) == LIVE and self._node.members.successorOf(nodeId, peer) is None

    def _watchMembers(self, roster):
        now = self._node.reactor.seconds()
        if now - self._watchedAt > ROSTER_ANSWERED:
            self._silentSince, self._newSince = {}, {}
        self._watchedAt = now
        self._newSince = {
            member.nodeId: self._newSince.get(member.nodeId, now)
            for member in self._node.members.live("control")
            if member.nodeId not in roster.members
        }
        self._silentSince = {
            nodeId: self._silentSince.get(nodeId, now)
            for nodeId, peer in roster.members.items()
            if not self._isHere(nodeId, peer)
        }

    async def _mend(self, owner, roster):
        node = self._node
        answering = {
            member.nodeId: member
            for member in node.members.live("control")
            if node.puller.answersLately(member.peer, ROSTER_ANSWERED)
        }
        here = {nodeId for nodeId, peer in roster.members.items() if nodeId in answering and self._isHere(nodeId, peer)}
        newcomers = {nodeId: one for nodeId, one in answering.items() if nodeId not in roster.members}
        heirs = {
            heir.nodeId: nodeId
            for nodeId, peer in roster.members.items()
            if nodeId not in here and (heir := self._heirOf(nodeId, peer, newcomers)) is not None
        }
        heirs = {nodeId: (heirId, newcomers[heirId].peer) for heirId, nodeId in heirs.items()}
        # A machine has one vote: who runs where a member did may take its place and no other.
        former = [node.members.find(nodeId) for nodeId in roster.members]
        taken = {
            *roster.members.values(),
            *(one.peer for one in former if one),
            *(one.machine for one in former if one),
        }
        outsiders = [
            (nodeId, one.peer) for nodeId, one in sorted(newcomers.items()) if not {one.peer, one.machine} & taken
        ]
        now = node.reactor.seconds()
        lost = [nodeId for nodeId, since in self._silentSince.items() if now - since >= ROSTER_PATIENCE - CONDITION_AGE]
        awaited = [
            nodeId
            for nodeId, peer in roster.members.items()
            if nodeId not in here or not node.puller.answersLately(answering[nodeId].peer, ROSTER_HEARD)
        ]
        joining = {nodeId for nodeId, since in self._newSince.items() if now - since >= ROSTER_JOINING}
        wanted = mended(roster.members, heirs, lost, awaited, outsiders, joining)
        if wanted == roster.members:
            return
        if not Roster({"version": 0, "members": roster.members, "next": wanted}).isQuorum(here | newcomers.keys()):
            return
        record = await owner.do(ROSTER_KEY, "reconfigure", {"basedOn": roster.version, "next": wanted})
        node.log.event(
            "rosterMended",
            version=record["version"],
            leaving=",".join(sorted(roster.members.keys() - wanted)),
            joining=",".join(sorted(wanted.keys() - roster.members)),
        )
        await self._follow()

    def _heirOf(self, nodeId, peer, newcomers):
        """Who came back in this member's place without its disk: at its address, or, once the member is silent, on
        a machine of its name."""
        successor = self._node.members.successorOf(nodeId, peer)
        if successor is not None:
            return newcomers.get(successor.nodeId)
        former = self._node.members.find(nodeId)
        if former is None or self._node.members.condition(nodeId) == LIVE:
            return None
        return next((one for one in newcomers.values() if one.machine == former.machine), None)

    # --- moving on ---

    def _slotRoster(self, slot):
        """The roster version under which the slot's owner last wrote its image."""
        return json.loads(self._node.board.values(f"slot/{slot}").get("roster", b"0"))

    async def _isStood(self, roster):
        """Whether majorities of both sets stand in this version. Who is on the way to it is asked again by itself, so
        that nobody waits for one that is dead."""
        endsAt = self._node.reactor.seconds() + CALL_TIME

        async def ask(nodeId, peer):
            member = self._node.members.find(nodeId)
            while (
                version := await self._node.net.call(
                    member.peer if member else peer, "rosterVersion", endsAt - self._node.reactor.seconds(), to=nodeId
                )
            ) < roster.version:
                await sleep(self._node.reactor, ROSTER_MOVING_PAUSE)
            if version != roster.version:
                raise CannotTell(f"{nodeId} stands in version {version}")

        reached, _ = await quorumOf(
            {nodeId: ask(nodeId, peer) for nodeId, peer in roster.everyone.items()}, roster.isQuorum
        )
        return reached
