"""The key `storeset`: which stores keep the lines, and how one takes another's place.

A replacement goes through epochs, each of which is a version of the key:

    stable   members          A B C    reads and writes: 2 of A B C
    joining  members, joining A B C +D writes: 2 of A B C and 2 of B C D; reads: 2 of A B C; D copies
    moving   members, joining A B C +D writes: the same; reads: 2 of B C D
    stable   members          B C D    A is retired

Stores answer only askers of their own epoch. The owner goes on from a phase once a majority of the old and
of the new members say that they stand in its epoch: then no quorum of the phase before can come about any
more. Reads of a phase meet the writes of its neighbours, and neighbours are all that can be at work at once.

Invariants: `version` rises with every change; `since` is the epoch in which a member began to copy (1: it was
there before any line); an id in `retired` is never a member again; an id in `pruned` is retired, and no
version anywhere is numbered by it.
"""
import json

from schema import And

from oakbase.checks import NAME, checkFields, packJson, whole
from oakbase.constants import CALL_TIME, STORES_PAUSE
from oakbase.env import ADDRESS
from oakbase.tasks import settled
from oakbase.verdict import Conflict, Lost, OakError, Refused, Unknown
from oakcohort.members import LIVE
from oakcontrol.controllers import CONTROLLERS, Controller
from oakcontrol.duty import Duty

STORES_KEY = "storeset"
STORE = {"nodeId": NAME, "peer": ADDRESS}
STABLE, JOINING, MOVING = "stable", "joining", "moving"
EMPTY = {"version": 0, "phase": STABLE, "members": [], "joining": None, "leaving": None, "retired": [], "pruned": []}


class StoreSet:
    """One version of the key, as stores and gates use it."""

    def __init__(self, record):
        self.record = record
        self.epoch, self.phase = record["version"], record["phase"]
        self.members = {row["nodeId"]: row for row in record["members"]}
        joining = record["joining"]
        self.nextMembers = self.members if joining is None else {
            nodeId: row for nodeId, row in self.members.items() if nodeId != record["leaving"]
        } | {joining["nodeId"]: joining}
        self.everyone = self.members | self.nextMembers
        self.readers = self.nextMembers if self.phase == MOVING else self.members
        self.writeSets = [self.members] + ([self.nextMembers] if joining else [])
        self.pruned = frozenset(record["pruned"])

    @classmethod
    def fromBoard(cls, board):
        rows = board.values(STORES_KEY)
        return cls(json.loads(rows["set"]) if "set" in rows else EMPTY)

    def isWritten(self, nodeIds):
        """Whether these stores are a write quorum."""
        return all(len(nodeIds & memberIds.keys()) >= majority(memberIds) for memberIds in self.writeSets)

    def since(self, nodeId):
        return self.everyone[nodeId]["since"]


def majority(members):
    return len(members) // 2 + 1


def _record(view):
    return view.get(STORES_KEY) or EMPTY


def _put(view, record, **changes):
    record = record | changes | {"version": record["version"] + 1}
    view.put(STORES_KEY, record)
    return record


def _checkVersion(record, basedOn):
    if basedOn != record["version"]:
        raise Lost(f"built on epoch {basedOn}, the newest is {record['version']}", detail={"version": record["version"]})


def _set(view, _key, arguments):
    """The first set, of stores that are all empty."""
    checkFields({"basedOn": whole(0, 1 << 53), "members": And(list, lambda rows: len(rows) % 2 == 1,
                                                              error="must name an odd number of stores")}, arguments)
    for member in arguments["members"]:
        checkFields(STORE, member)
    record, members = _record(view), [row | {"since": 1} for row in arguments["members"]]
    if record["version"] and record["members"] == members:
        return record
    if record["version"]:
        raise Conflict("there is a store set already; change it by replacing one store at a time")
    return _put(view, record, members=members)


def _replace(view, _key, arguments):
    checkFields({"basedOn": whole(0, 1 << 53), "leaving": NAME, "joining": STORE}, arguments)
    record, members = _record(view), view.context.members
    leaving, joining = arguments["leaving"], arguments["joining"]
    ids = [row["nodeId"] for row in record["members"]]
    if record["leaving"] == leaving and (record["joining"] or {}).get("nodeId") == joining["nodeId"]:
        return record  # asked again
    if record["phase"] != STABLE:
        raise Conflict(f"{record['leaving']} is being replaced by {record['joining']['nodeId']} already")
    if leaving not in ids:
        raise Unknown(f"{leaving} is not in the store set; it has {', '.join(ids)}")
    if joining["nodeId"] in ids or joining["nodeId"] in record["retired"]:
        raise Refused(f"{joining['nodeId']} is or was in the store set; a new one needs an empty folder")
    _checkVersion(record, arguments["basedOn"])
    fewer = [nodeId for nodeId in ids if nodeId != leaving and members.condition(nodeId) != LIVE]
    if fewer:
        raise Refused(f"{', '.join(fewer)} is not live; without {leaving} too few copies would be left")
    newcomer = members.find(joining["nodeId"])
    if newcomer is None or newcomer.kind != "store" or members.condition(joining["nodeId"]) != LIVE:
        raise Refused(f"{joining['nodeId']} is not a live store of this cluster")
    return _put(view, record, phase=JOINING, leaving=leaving, joining=joining | {"since": record["version"] + 1})


def _cancel(view, _key, arguments):
    checkFields({"basedOn": whole(0, 1 << 53)}, arguments)
    record = _record(view)
    if record["phase"] != JOINING:
        raise Refused("there is no replacement that can still be called off")
    _checkVersion(record, arguments["basedOn"])
    return _put(view, record, phase=STABLE, leaving=None, joining=None)


def _advance(view, _key, arguments):
    """The next phase; only for the watch, which has asked the stores."""
    checkFields({"basedOn": whole(0, 1 << 53)}, arguments)
    record = _record(view)
    _checkVersion(record, arguments["basedOn"])
    if record["phase"] == JOINING:
        return _put(view, record, phase=MOVING)
    if record["phase"] == MOVING:
        return _put(view, record, phase=STABLE, members=list(StoreSet(record).nextMembers.values()), joining=None,
                    leaving=None, retired=[*record["retired"], record["leaving"]])
    return record


def _prune(view, _key, arguments):
    checkFields({"basedOn": whole(0, 1 << 53), "ids": list}, arguments)
    record = _record(view)
    _checkVersion(record, arguments["basedOn"])
    if record["phase"] != STABLE or not set(arguments["ids"]) <= set(record["retired"]) - set(record["pruned"]):
        raise Refused("only ids of retired stores are pruned, and only between replacements")
    return _put(view, record, pruned=[*record["pruned"], *arguments["ids"]])


def _image(view, _key):
    record = _record(view)
    return record["version"], {"set": packJson(record)}


CONTROLLERS.enter(STORES_KEY)(Controller(
    {"set": _set, "read": lambda view, key, arguments: _record(view), "replace": _replace, "cancel": _cancel,
     "advance": _advance, "prune": _prune}, image=_image))


class StoreSetWatch(Duty):
    """Moves a replacement on. Its state is in the key, so a crash anywhere resumes."""

    def __init__(self, node, owners):
        super().__init__(node, owners, STORES_KEY, STORES_PAUSE)

    async def _work(self, owner):
        record = await owner.do(STORES_KEY, "read", {})
        prunable = [nodeId for nodeId in record["retired"] if nodeId not in record["pruned"]]
        if record["phase"] == STABLE and not prunable:
            return
        stores = StoreSet(record)
        statuses = await self._ask(stores)
        current = {nodeId for nodeId, said in statuses.items() if said["epoch"] == stores.epoch}
        if record["phase"] == STABLE:
            await self._mayPrune(owner, stores, statuses, current, prunable)
            return
        copied = record["phase"] == MOVING or statuses.get(record["joining"]["nodeId"], {}).get("covers")
        if copied and stores.isWritten(current):
            record = await owner.do(STORES_KEY, "advance", {"basedOn": stores.epoch})
            self._node.log.event("storeSetMoved", epoch=record["version"], phase=record["phase"])

    async def _ask(self, stores):
        async def ask(nodeId, row):
            return nodeId, json.loads(await self._node.net.call(row["peer"], "storeStatus", CALL_TIME))
        answers = await settled([ask(nodeId, row) for nodeId, row in stores.everyone.items()])
        return {nodeId: said for ok, answer in answers if ok for nodeId, said in [answer]}

    async def _mayPrune(self, owner, stores, statuses, current, prunable):
        """A retired id's entries tell nothing once no version is numbered by it: a version lies below another
        exactly if its own dot does. All members must say so in this epoch; the next epoch shuts out what is
        still on its way from before."""
        if current != stores.members.keys():
            return
        used = {storeId for said in statuses.values() for storeId in said["dots"]}
        ids = [nodeId for nodeId in prunable if nodeId not in used]
        if ids:
            await owner.do(STORES_KEY, "prune", {"basedOn": stores.epoch, "ids": ids})
            self._node.log.event("storeIdsPruned", ids=",".join(ids))


async def storesShown(node, record):
    """The record with each store's condition and, where it answers, its progress."""
    stores = StoreSet(record)

    async def ask(row):
        try:
            return json.loads(await node.net.call(row["peer"], "storeStatus", CALL_TIME / 2))
        except OakError as error:
            return {"unanswered": error.reason}
    said = await settled([ask(row) for row in stores.everyone.values()])
    return record | {"stores": [
        row | {"condition": node.members.condition(nodeId), "status": status}
        for (nodeId, row), (_, status) in zip(stores.everyone.items(), said)]}
