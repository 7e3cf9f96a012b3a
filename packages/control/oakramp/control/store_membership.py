"""The key `storeset`: which stores keep the lines, and how one takes another's place.

A replacement goes through epochs, each of which is a version of the key:

    stable   members          A B C    reads and writes: 2 of A B C
    joining  members, joining A B C +D writes: 2 of A B C and 2 of B C D; reads: 2 of A B C; D copies
    moving   members, joining A B C +D writes: the same; reads: 2 of B C D
    stable   members          B C D    A is retired

Stores answer only askers of their own epoch. The leader goes on from a phase once a majority of the old and
of the new members say that they stand in its epoch: then no quorum of the phase before can come about any
more. Reads of a phase meet the writes of its neighbours, and neighbours are all that can be at work at once.

A joining may be given up for another one, in one step: both read 2 of A B C and write 2 of A B C, so they may be at
work at once. Once moving, the change goes on without the one that joins, if it must: it is then a member that has
to be replaced.

In a cluster that forms itself, the leader of the key also mends the set. A store that lost its disk comes back where
it was under a new id and takes its previous self's place; a machine that is to be emptied, a member that stays silent,
and one that says that it ends, give theirs to a spare: a live store that is not in the set. A spare may be the one that
replaces a machine which was taken away, and then the next disk may be lost as soon as the spare has been there for the
bound `rejoin_s`. So a silent member's place is given away in time for a spare to be a full member within that.

Invariants: `version` rises with every change; `since` is the epoch in which a member began to copy (1: it was
there before any line); an id in `retired` is never a member again; an id in `pruned` is retired, and no
version anywhere is numbered by it; no store of a machine in `emptied` joins, and once none is in a stable set, every
line is on a write quorum of other machines: the one that joined has copied from so many that it met every quorum.
"""

import json

from schema import And, Optional

from oakramp.common.constants import (
    CALL_TIME,
    CONDITION_AGE,
    MEMBER_ANSWERED,
    PRUNE_PAUSE,
    REJOIN,
    STORES_ASK,
    STORES_FIRST_WAIT,
    STORES_JOIN_TIME,
    STORES_MOVING_PAUSE,
    STORES_PATIENCE,
    STORES_POLL,
)
from oakramp.common.errors import (
    ConflictError,
    NotFoundError,
    OakrampError,
    QuorumUnavailableError,
    RequestRejectedError,
    StaleEpochError,
    VersionConflictError,
)
from oakramp.common.settings import ADDRESS
from oakramp.common.tasks import quorum_of, settled, sleep
from oakramp.common.validation import NAME, check_fields, pack_json, whole
from oakramp.control.controllers import CONTROLLERS, Controller
from oakramp.control.singleton_task import SingletonTask
from oakramp.membership.members import LEAVING, LIVE

STORES_KEY = "storeset"
STORE = {"nodeId": NAME, "peer": ADDRESS}
STABLE, JOINING, MOVING = "stable", "joining", "moving"
EMPTY = {"version": 0, "phase": STABLE, "members": [], "joining": None, "leaving": None, "retired": [], "pruned": []}
LOSSES = whole(1, 1 << 16)


def machine_of(members, node_id):
    """By the node's own word, or by its id, which begins with it."""
    member = members.find(node_id)
    return member.machine if member else node_id.rpartition(".")[0]


class StoreMembership:
    """One version of the key, as stores and gates use it."""

    def __init__(self, record):
        self.record = record
        self.epoch, self.phase = record["version"], record["phase"]
        self.members = {row["nodeId"]: row for row in record["members"]}
        joining = record["joining"]
        self.next_members = (
            self.members
            if joining is None
            else {node_id: row for node_id, row in self.members.items() if node_id != record["leaving"]}
            | {joining["nodeId"]: joining}
        )
        self.everyone = self.members | self.next_members
        self.readers = self.next_members if self.phase == MOVING else self.members
        self.write_sets = [self.members] + ([self.next_members] if joining else [])
        self.pruned = frozenset(record["pruned"])

    @classmethod
    def from_state_table(cls, state_table):
        """The newest membership that gossip has brought to this node; an empty one before the first."""
        rows = state_table.values(STORES_KEY)
        return cls(json.loads(rows["set"]) if "set" in rows else EMPTY)

    def is_written(self, node_ids):
        """Whether these stores are a write quorum."""
        return all(len(node_ids & member_ids.keys()) >= majority(member_ids) for member_ids in self.write_sets)

    def since(self, node_id):
        return self.everyone[node_id]["since"]


def majority(members):
    return len(members) // 2 + 1


def _record(transaction):
    return transaction.get(STORES_KEY) or EMPTY


def _put(transaction, record, **changes):
    record = record | changes | {"version": record["version"] + 1}
    transaction.put(STORES_KEY, record)
    return record


def _check_version(record, based_on):
    if based_on != record["version"]:
        raise VersionConflictError(
            f"built on epoch {based_on}, the newest is {record['version']}", detail={"version": record["version"]}
        )


def _set(transaction, _key, arguments):
    """The first set, of stores that are all empty."""
    check_fields(
        {
            "basedOn": whole(0, 1 << 53),
            Optional("losses"): LOSSES,
            "members": And(list, lambda rows: len(rows) % 2 == 1, error="must name an odd number of stores"),
        },
        arguments,
    )
    for member in arguments["members"]:
        check_fields(STORE, member)
    record, members = _record(transaction), [row | {"since": 1} for row in arguments["members"]]
    if record["version"] and record["members"] == members:
        return record
    if record["version"]:
        raise ConflictError("there is a store set already; change it by replacing one store at a time")
    # How many losses it is to bear, which also says how many stores there have to be.
    return _put(transaction, record, members=members, losses=arguments.get("losses") or max(1, len(members) // 2))


def _replace(transaction, _key, arguments):
    check_fields({"basedOn": whole(0, 1 << 53), "leaving": NAME, "joining": STORE}, arguments)
    record, members = _record(transaction), transaction.context.members
    leaving, joining = arguments["leaving"], arguments["joining"]
    ids = [row["nodeId"] for row in record["members"]]
    if record["leaving"] == leaving and (record["joining"] or {}).get("nodeId") == joining["nodeId"]:
        return record  # asked again
    if record["phase"] != STABLE:
        raise ConflictError(f"{record['leaving']} is being replaced by {record['joining']['nodeId']} already")
    if leaving not in ids:
        raise NotFoundError(f"{leaving} is not in the store set; it has {', '.join(ids)}")
    if joining["nodeId"] in ids or joining["nodeId"] in record["retired"]:
        raise RequestRejectedError(f"{joining['nodeId']} is or was in the store set; a new one needs an empty folder")
    _check_version(record, arguments["basedOn"])
    fewer = [node_id for node_id in ids if node_id != leaving and members.condition(node_id) != LIVE]
    if fewer:
        error = RequestRejectedError(f"{', '.join(fewer)} is not live; without {leaving} too few copies would be left")
        raise transaction.context.refusal(error)
    return _begin_joining(transaction, record, leaving, joining)


def _begin_joining(transaction, record, leaving, joining):
    members = transaction.context.members
    joining_member = members.find(joining["nodeId"])
    if joining_member is None or joining_member.kind != "store" or members.condition(joining["nodeId"]) != LIVE:
        raise transaction.context.refusal(
            RequestRejectedError(f"{joining['nodeId']} is not a live store of this cluster")
        )
    if joining_member.machine in record.get("emptied", ()):
        raise RequestRejectedError(f"{joining_member.machine} is being emptied, or was")
    return _put(transaction, record, phase=JOINING, leaving=leaving, joining=joining | {"since": record["version"] + 1})


def _repair(transaction, _key, arguments):
    """The same for the watch: while others are silent too, and in the place of a joining that cannot go on or is
    less pressing."""
    check_fields({"basedOn": whole(0, 1 << 53), "leaving": NAME, "joining": STORE}, arguments)
    record = _record(transaction)
    leaving, joining = arguments["leaving"], arguments["joining"]
    ids = [row["nodeId"] for row in record["members"]]
    _check_version(record, arguments["basedOn"])
    if record["phase"] == MOVING:
        raise ConflictError("the set is moving")
    if leaving not in ids or joining["nodeId"] in ids or joining["nodeId"] in record["retired"]:
        raise RequestRejectedError(f"{joining['nodeId']} cannot take the place of {leaving}")
    return _begin_joining(transaction, record, leaving, joining)


def _retire(transaction, _key, arguments):
    """From now on the machine is to be emptied; a spare takes its place in the set."""
    check_fields({"machine": NAME}, arguments)
    record, machine = _record(transaction), arguments["machine"]
    emptied = record.get("emptied", [])
    if not record["version"]:
        raise QuorumUnavailableError("the first store set has not been formed yet", retry_after=1)
    if machine not in emptied:
        _check_known(transaction, record, machine)
        # One that is silent for a moment is counted on to come back.
        left = {
            member.machine
            for member, age in transaction.context.members.newest().values()
            if member.kind == "store" and age <= STORES_PATIENCE and member.node_id not in record["retired"]
        }
        left -= {machine, *emptied}
        needed = 2 * record.get("losses", 1) + 1
        if len(left) < needed:
            error = ConflictError(f"{len(left)} live stores would be left, {needed} are needed")
            raise transaction.context.refusal(error)
        record = _put(transaction, record, emptied=[*emptied, machine])
    return _retired(transaction, _key, arguments)


def _check_known(transaction, record, machine):
    members = transaction.context.members
    if machine in record.get("emptied", ()) or machine in {
        machine_of(members, node_id) for node_id in StoreMembership(record).everyone
    }:
        return
    if not any(member.machine == machine and member.kind == "store" for member, _ in members.newest().values()):
        raise transaction.context.refusal(NotFoundError(f"no store machine {machine} is known"))


def _retired(transaction, _key, arguments):
    """`delivered` once the machine may be taken away with its disk."""
    check_fields({"machine": NAME}, arguments)
    record, machine = _record(transaction), arguments["machine"]
    _check_known(transaction, record, machine)
    is_in = machine in {
        machine_of(transaction.context.members, node_id) for node_id in StoreMembership(record).everyone
    }
    is_emptied = machine in record.get("emptied", ()) and not is_in
    return {"state": "delivered" if is_emptied else "in_service"}


def _cancel(transaction, _key, arguments):
    check_fields({"basedOn": whole(0, 1 << 53)}, arguments)
    record = _record(transaction)
    if record["phase"] != JOINING:
        raise RequestRejectedError("there is no replacement that can still be called off")
    _check_version(record, arguments["basedOn"])
    return _put(transaction, record, phase=STABLE, leaving=None, joining=None)


def _advance(transaction, _key, arguments):
    """The next phase; only for the watch, which has asked the stores."""
    check_fields({"basedOn": whole(0, 1 << 53)}, arguments)
    record = _record(transaction)
    _check_version(record, arguments["basedOn"])
    if record["phase"] == JOINING:
        return _put(transaction, record, phase=MOVING)
    if record["phase"] == MOVING:
        return _put(
            transaction,
            record,
            phase=STABLE,
            members=list(StoreMembership(record).next_members.values()),
            joining=None,
            leaving=None,
            retired=[*record["retired"], record["leaving"]],
        )
    return record


def _prune(transaction, _key, arguments):
    check_fields({"basedOn": whole(0, 1 << 53), "ids": list}, arguments)
    record = _record(transaction)
    _check_version(record, arguments["basedOn"])
    if record["phase"] != STABLE or not set(arguments["ids"]) <= set(record["retired"]) - set(record["pruned"]):
        raise RequestRejectedError("only ids of retired stores are pruned, and only between replacements")
    return _put(transaction, record, pruned=[*record["pruned"], *arguments["ids"]])


def _snapshot(transaction, _key):
    record = _record(transaction)
    return record["version"], {"set": pack_json(record)}


CONTROLLERS.enter(STORES_KEY)(
    Controller(
        {
            "set": _set,
            "read": lambda transaction, key, arguments: _record(transaction),
            "replace": _replace,
            "mend": _repair,
            "cancel": _cancel,
            "advance": _advance,
            "prune": _prune,
            "retire": _retire,
            "retired": _retired,
        },
        snapshot=_snapshot,
    )
)


def spread_over(zones, stores, count):
    """So many of these stores, from as many zones as there are."""
    ranks = {}
    for one in sorted(stores, key=lambda one: one.node_id):
        ranks[one.node_id] = len([other for other in ranks if zones[other] == one.zone])
        zones = zones | {one.node_id: one.zone}
    return sorted(stores, key=lambda one: (ranks[one.node_id], one.node_id))[:count]


class StoreMembershipTask(SingletonTask):
    """Moves a replacement on and, if the cluster forms itself, begins those that the set needs. Its state is in the
    key, so a crash anywhere resumes.

    Invariants: `_silentSince` holds the stores that this node has seen no sign of since then, in rounds without a
    gap: one that was frozen itself has watched nobody meanwhile; `_stores` is the newest set in the news."""

    def __init__(self, node, leaders, mends=False, losses=1):
        super().__init__(node, leaders, STORES_KEY, STORES_POLL)
        self._mends, self._losses = mends, losses
        self._silent_since, self._watched_at, self._first_seen_at = {}, float("-inf"), None
        self._pruned_at = float("-inf")
        rejoin = (node.env.get("bounds") or {}).get("rejoin_s", REJOIN)
        self._patience = min(STORES_PATIENCE, max(2 * CONDITION_AGE, rejoin - STORES_JOIN_TIME))
        self._note_stores()
        node.state_table.watch(STORES_KEY, self._note_stores)

    def _note_stores(self, _source=STORES_KEY):
        self._stores = StoreMembership.from_state_table(self._node.state_table)

    async def _round(self):
        if self._mends:
            self._watch_stores(self._stores)
        await super()._round()

    def _watch_stores(self, stores):
        now = self._node.reactor.seconds()
        if now - self._watched_at > MEMBER_ANSWERED:
            self._silent_since = {}
        self._watched_at = now
        self._silent_since = {
            node_id: self._silent_since.get(node_id, now)
            for node_id, row in stores.everyone.items()
            if not self._is_here(node_id, row)
        }
        if self._first_seen_at is None and self._node.members.live("store"):
            self._first_seen_at = now

    def _is_here(self, node_id, row):
        return self._node.members.condition(node_id) == LIVE and self._successor_of(node_id, row) is None

    def _is_lost(self, node_id):
        since = self._silent_since.get(node_id)
        return since is not None and self._node.reactor.seconds() - since >= self._patience - CONDITION_AGE

    def _successor_of(self, node_id, row):
        """Who came back in this store's place without its disk: at its address, or, once it is silent, on a machine
        of its name. The previous id has ended for ever."""
        members = self._node.members
        successor = members.successor_of(node_id, row["peer"])
        if successor is not None:
            return successor if successor.kind == "store" else None
        if members.condition(node_id) == LIVE:
            return None
        machine = machine_of(members, node_id)
        return next((one for one in members.live("store") if one.machine == machine and one.node_id != node_id), None)

    async def _work(self, owner):
        record = await owner.do(STORES_KEY, "read", {})
        if self._mends and not record["version"]:
            await self._form(owner)
            return
        if self._mends and record["phase"] != MOVING:
            record = await self._repair(owner, record)
        while record["phase"] != STABLE and owner.holds_lease():
            moved = await self._move_on(owner, record)
            if moved is not None:
                record = moved
                continue
            await sleep(self._node.reactor, STORES_MOVING_PAUSE)
            if self._mends and record["phase"] != MOVING:
                record = await self._repair(owner, await owner.do(STORES_KEY, "read", {}))
            else:
                record = await owner.do(STORES_KEY, "read", {})
        prunable = [node_id for node_id in record["retired"] if node_id not in record["pruned"]]
        if record["phase"] == STABLE and prunable and self._node.reactor.seconds() - self._pruned_at >= PRUNE_PAUSE:
            self._pruned_at = self._node.reactor.seconds()
            await self._may_prune(owner, record, prunable)

    # --- forming and mending ---

    async def _form(self, owner):
        """The first set: as many stores as the losses ask for; fewer, if no more have come for a while."""
        live, wanted = self._node.members.live("store"), 2 * self._losses + 1
        waited = (
            self._first_seen_at is not None and self._node.reactor.seconds() - self._first_seen_at >= STORES_FIRST_WAIT
        )
        if len(live) < wanted and not (waited and live):
            return
        chosen = spread_over({}, live, min(wanted, len(live) - (len(live) + 1) % 2))
        record = await owner.do(
            STORES_KEY,
            "set",
            {
                "basedOn": 0,
                "losses": self._losses,
                "members": [{"nodeId": one.node_id, "peer": one.peer} for one in chosen],
            },
        )
        self._node.log.info(
            "store_membership_bootstrapped", members=",".join(row["nodeId"] for row in record["members"])
        )
        await self._tell(record)

    async def _repair(self, owner, record):
        """Begins the most pressing replacement, if it is not under way."""
        wanted = self._wanted(record)
        if wanted is None:
            return record
        if wanted == "cancel":
            record = await owner.do(STORES_KEY, "cancel", {"basedOn": record["version"]})
        else:
            leaving, joining = wanted
            record = await owner.do(
                STORES_KEY,
                "mend",
                {
                    "basedOn": record["version"],
                    "leaving": leaving,
                    "joining": {"nodeId": joining.node_id, "peer": joining.peer},
                },
            )
        self._node.log.info(
            "store_membership_repair_started",
            epoch=record["version"],
            leaving=record["leaving"] or "",
            joining=(record["joining"] or {}).get("nodeId", ""),
        )
        await self._tell(record)
        return record

    def _wanted(self, record):
        """(leaving id, joining member) of a replacement to begin now, "cancel", or None."""
        stores, emptied = StoreMembership(record), record.get("emptied", ())
        successors = {
            node_id: successor
            for node_id, row in stores.members.items()
            for successor in [self._successor_of(node_id, row)]
            if successor is not None and successor.machine not in emptied and successor.node_id not in stores.everyone
        }
        spares = self._spares(record, stores, successors)
        leaving, joining = record["leaving"], record["joining"]
        if joining is not None:
            successor = self._successor_of(joining["nodeId"], joining)
            is_lost = successor is not None or self._is_lost(joining["nodeId"])
            if successors and leaving not in successors and not self._is_gone(leaving, stores):
                return next(iter(successors.items()))
            if not is_lost:
                return None
            if successor is not None and successor in [*spares, *successors.values()]:
                return leaving, successor
            if leaving in successors:
                return leaving, successors[leaving]
            if spares:
                return leaving, self._nearest(spares, leaving)
            is_staying = (
                self._is_here(leaving, stores.members[leaving])
                and machine_of(self._node.members, leaving) not in emptied
            )
            return "cancel" if is_staying else None
        if successors:
            return next(iter(successors.items()))
        here = [node_id for node_id, row in stores.members.items() if self._is_here(node_id, row)]
        for node_id in stores.members:
            is_ending = (
                machine_of(self._node.members, node_id) in emptied
                or self._node.members.condition(node_id) == LEAVING
                or self._is_lost(node_id)
            )
            if is_ending and spares and len({*here} - {node_id}) >= len(stores.members) // 2:
                return node_id, self._nearest(spares, node_id)
        return None

    def _is_gone(self, node_id, stores):
        return self._successor_of(node_id, stores.members[node_id]) is not None or self._is_lost(node_id)

    def _spares(self, record, stores, successors):
        taken = (
            {successor.node_id for successor in successors.values()} | stores.everyone.keys() | set(record["retired"])
        )
        return [
            one
            for one in self._node.members.live("store")
            if one.node_id not in taken and one.machine not in record.get("emptied", ())
        ]

    def _nearest(self, spares, node_id):
        """In the zone of the one that leaves, if there is one: so the zones keep their copies."""
        previous = self._node.members.find(node_id)
        return min(spares, key=lambda one: (previous is None or one.zone != previous.zone, one.node_id))

    # --- moving on ---

    async def _move_on(self, owner, record):
        """The record of the next phase, or None if it is too early for it."""
        if not await self._tell(record):
            return None
        record = await owner.do(STORES_KEY, "advance", {"basedOn": record["version"]})
        self._node.log.info("store_membership_changed", epoch=record["version"], phase=record["phase"])
        if record["phase"] == STABLE:
            await self._tell(record)
        return record

    async def _tell(self, record):
        """Tells the stores of this version of the set. Whether so many of them stand in it that no quorum of the
        version before can come about, and who joins has copied, if it has to."""
        stores, text = StoreMembership(record), pack_json(record).decode()
        copying = record["joining"]["nodeId"] if record["phase"] == JOINING else None

        async def ask(node_id, row):
            said = await self._status(node_id, row, text)
            if said["epoch"] != stores.epoch or (node_id == copying and not said["covers"]):
                raise QuorumUnavailableError(f"{node_id} is not so far")

        is_moved, _ = await quorum_of(
            {node_id: ask(node_id, row) for node_id, row in stores.everyone.items()},
            lambda node_ids: stores.is_written(node_ids) and (copying is None or copying in node_ids),
        )
        return is_moved

    async def _status(self, node_id, row, told=None):
        said = json.loads(await self._node.net.call(row["peer"], "storeStatus", STORES_ASK, record=told))
        if said["nodeId"] != node_id:
            raise StaleEpochError(f"{row['peer']} is {said['nodeId']} now, not {node_id}")
        return said

    async def _may_prune(self, owner, record, prunable):
        """A retired id's entries tell nothing once no version is numbered by it: a version lies below another
        exactly if its own dot does. All members must say so in this epoch; the next epoch shuts out what is
        still on its way from before."""
        stores = StoreMembership(record)
        answers = await settled([self._status(node_id, row) for node_id, row in stores.members.items()])
        if not all(ok and said["epoch"] == stores.epoch for ok, said in answers):
            return
        used = {store_id for _, said in answers for store_id in said["dots"]}
        ids = [node_id for node_id in prunable if node_id not in used]
        if ids:
            await owner.do(STORES_KEY, "prune", {"basedOn": stores.epoch, "ids": ids})
            self._node.log.info("store_ids_pruned", ids=",".join(ids))


async def stores_shown(node, record):
    """The record with each store's condition and, where it answers, its progress."""
    stores = StoreMembership(record)

    async def ask(row):
        try:
            return json.loads(await node.net.call(row["peer"], "storeStatus", CALL_TIME / 2))
        except OakrampError as error:
            return {"unanswered": error.reason}

    said = await settled([ask(row) for row in stores.everyone.values()])
    return record | {
        "stores": [
            row | {"condition": node.members.condition(node_id), "status": status}
            for (node_id, row), (_, status) in zip(stores.everyone.items(), said)
        ]
    }
