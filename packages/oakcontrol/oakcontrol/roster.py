"""The key `roster`: whose disks vote. One member is replaced at a time, through a roster of both sets:

    version r      members A B C D E                       majority of A B C D E
    version r+1    members A B C D E, next B C D E F       majority of both; every slot is written again
    version r+2    members B C D E F                       majority of B C D E F

A voter answers only messages of its own roster version, so each majority belongs to one version. The owner of
the key goes on from r+1 once a majority of both sets stands in it (then no majority of version r can come about
any more) and every slot's owner says that its image lies on majorities of both (then the new set knows all that
the old one confirmed). The state of the change is in the key itself, so whoever owns it next goes on.

Invariants: `version` rises with every change; `members` and `next` differ by one member at most.
"""
import json

from oakbase.checks import NAME, checkFields, packJson, whole
from oakbase.constants import CALL_TIME, SLOTS, STORES_PAUSE
from oakbase.env import ADDRESS
from oakbase.tasks import settled
from oakbase.verdict import Conflict, Lost, Refused, Unknown
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
        return all(len(nodeIds & memberIds.keys()) > len(memberIds) // 2
                   for memberIds in (self.members, self.next) if memberIds is not None)


def _record(view):
    return view.get(ROSTER_KEY) or view.context.roster.record


def _checkVersion(record, basedOn):
    if basedOn != record["version"]:
        raise Lost(f"built on version {basedOn}, the newest is {record['version']}", detail={"version": record["version"]})


def _replace(view, _key, arguments):
    checkFields({"basedOn": whole(0, 1 << 53), "leaving": NAME, "joining": dict}, arguments)
    checkFields(MEMBER, arguments["joining"])
    record, known = _record(view), view.context.members
    leaving, joining = arguments["leaving"], arguments["joining"]
    members = record["members"]
    changed = {nodeId: peer for nodeId, peer in members.items() if nodeId != leaving} | {
        joining["nodeId"]: joining["peer"]}
    if record.get("next") == changed:
        return record  # asked again
    if record.get("next") is not None:
        raise Conflict("a member is being replaced already")
    if leaving not in members:
        raise Unknown(f"{leaving} is not in the roster; it has {', '.join(sorted(members))}")
    if joining["nodeId"] in members:
        raise Refused(f"{joining['nodeId']} is in the roster already")
    _checkVersion(record, arguments["basedOn"])
    newcomer = known.find(joining["nodeId"])
    if newcomer is None or newcomer.kind != "control" or known.condition(joining["nodeId"]) != LIVE:
        raise Refused(f"{joining['nodeId']} is not a live control node of this cluster")
    record = {"version": record["version"] + 1, "members": members, "next": changed}
    view.put(ROSTER_KEY, record)
    return record


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


CONTROLLERS.enter(ROSTER_KEY)(Controller(
    {"read": lambda view, key, arguments: _record(view), "replace": _replace, "advance": _advance}, image=_image))


class RosterWatch(Duty):
    """Follows the published roster, on every control node; on the owner of the key, moves a change on."""

    def __init__(self, node, voter, owners):
        super().__init__(node, owners, ROSTER_KEY, STORES_PAUSE / 4)
        self._voter = voter

    async def _round(self):
        rows = self._node.board.values(ROSTER_KEY)
        if "record" in rows:
            await self._voter.setRoster(json.loads(rows["record"]))
        await super()._round()

    async def _work(self, owner):
        roster = self._voter.roster
        if roster is None or roster.next is None:
            return
        if all(self._slotRoster(slot) >= roster.version for slot in range(SLOTS)) \
                and roster.isQuorum(await self._standingIn(roster)):
            record = await owner.do(ROSTER_KEY, "advance", {"basedOn": roster.version})
            self._node.log.event("rosterMoved", version=record["version"])

    def _slotRoster(self, slot):
        """The roster version under which the slot's owner last wrote its image."""
        return json.loads(self._node.board.values(f"slot/{slot}").get("roster", b"0"))

    async def _standingIn(self, roster):
        async def ask(nodeId, peer):
            member = self._node.members.find(nodeId)
            version = await self._node.net.call(member.peer if member else peer, "rosterVersion", CALL_TIME)
            return nodeId if version == roster.version else None
        answers = await settled([ask(nodeId, peer) for nodeId, peer in roster.everyone.items()])
        return {nodeId for ok, nodeId in answers if ok and nodeId}
