"""The key `storeset`: the store membership, that is, which stores keep the lines, and how a store is replaced.

A replacement goes through epochs, each of which is a version of the key:

    stable   members          A B C    reads and writes: 2 of A B C
    joining  members, joining A B C +D writes: 2 of A B C and 2 of B C D; reads: 2 of A B C; D copies the data
    moving   members, joining A B C +D writes: as in joining; reads: 2 of B C D
    stable   members          B C D    A is retired

A store answers only requests of its own epoch. The leader moves on to the next phase once a majority of the old and
of the new members report that they are in the epoch of the current phase: from then on, no quorum of the phase before
can be reached. The read quorums of a phase overlap the write quorums of the phases next to it, and only neighbouring
phases can be in use at the same time.

While in phase joining, a replacement may be given up for another one in one step: under both, reads need 2 of A B C
and writes include 2 of A B C, so both may be in use at the same time. Once in phase moving, the change is completed,
without the joining store if need be, which is then a member that has to be replaced.

In a self-forming cluster, the leader of the key also repairs the membership. A store that lost its disk comes back at
its former place under a new id and replaces its former incarnation. A member on a machine that is to be drained, a
member that stays silent and a member that reports that it is shutting down are replaced by a spare: a live store that
is not a member. The spare may be the replacement of a machine that was taken away, and then the next disk may be lost
as soon as the spare has been there for the bound `rejoin_s`. So a silent member is replaced early enough for a spare
to be a full member within that time.

Invariants: `version` rises with every change; `since` is the epoch in which a member began to copy (1: it was
a member before any line was stored); an id in `retired` is never a member again; an id in `pruned` is retired, and no
version of any line on any store is numbered by it; no store of a machine in `emptied` joins, and once no such store is
in a stable membership, every line is on a write quorum of other machines: the store that joined has copied from so many
stores that they overlap every quorum.
"""

import json

from schema import And, Optional

from oakramp.common.constants import (
    CALL_TIME,
    LIVENESS_AGE,
    MEMBER_WATCH_GAP,
    PRUNE_PAUSE,
    REJOIN,
    STORES_BOOTSTRAP_WAIT,
    STORES_JOIN_TIME,
    STORES_MOVING_PAUSE,
    STORES_POLL,
    STORES_REPLACE_AFTER,
    STORES_STATUS_TIME,
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
    """The machine that the node itself reports, or else the one that its id begins with."""
    member = members.find(node_id)
    return member.machine if member else node_id.rpartition(".")[0]


class StoreMembership:
    """One version of the key, in the form in which stores and gateways use it."""

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
        self.all_members = self.members | self.next_members
        self.readers = self.next_members if self.phase == MOVING else self.members
        self.write_sets = [self.members] + ([self.next_members] if joining else [])
        self.pruned = frozenset(record["pruned"])

    @classmethod
    def from_state_table(cls, state_table):
        """The newest membership that this node has received by gossip; an empty one if it has received none."""
        rows = state_table.values(STORES_KEY)
        return cls(json.loads(rows["set"]) if "set" in rows else EMPTY)

    def is_written(self, node_ids):
        """Whether these stores form a write quorum."""
        return all(len(node_ids & member_ids.keys()) >= majority(member_ids) for member_ids in self.write_sets)

    def since(self, node_id):
        return self.all_members[node_id]["since"]


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
            f"the change is based on epoch {based_on}, but the newest is {record['version']}",
            detail={"version": record["version"]},
        )


def _set(transaction, _key, arguments):
    """Creates the first membership; all its stores are empty."""
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
        raise ConflictError("the store membership exists already; change it by replacing one store at a time")
    # The number of store losses to tolerate also determines how many stores are needed.
    return _put(transaction, record, members=members, losses=arguments.get("losses") or max(1, len(members) // 2))


def _replace(transaction, _key, arguments):
    check_fields({"basedOn": whole(0, 1 << 53), "leaving": NAME, "joining": STORE}, arguments)
    record, members = _record(transaction), transaction.context.members
    leaving, joining = arguments["leaving"], arguments["joining"]
    ids = [row["nodeId"] for row in record["members"]]
    if record["leaving"] == leaving and (record["joining"] or {}).get("nodeId") == joining["nodeId"]:
        return record  # the request is a repetition
    if record["phase"] != STABLE:
        raise ConflictError(f"{record['leaving']} is being replaced by {record['joining']['nodeId']} already")
    if leaving not in ids:
        raise NotFoundError(f"{leaving} is not a member store; the members are {', '.join(ids)}")
    if joining["nodeId"] in ids or joining["nodeId"] in record["retired"]:
        raise RequestRejectedError(
            f"{joining['nodeId']} is or was a member store; a new store needs an empty data folder"
        )
    _check_version(record, arguments["basedOn"])
    not_live = [node_id for node_id in ids if node_id != leaving and members.condition(node_id) != LIVE]
    if not_live:
        error = RequestRejectedError(
            f"{', '.join(not_live)} is not live; without {leaving} too few copies would be left"
        )
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
        raise RequestRejectedError(f"{joining_member.machine} is being drained or was drained")
    return _put(transaction, record, phase=JOINING, leaving=leaving, joining=joining | {"since": record["version"] + 1})


def _repair(transaction, _key, arguments):
    """Begins a replacement for StoreMembershipTask. Unlike `_replace`, it is allowed while other members are silent,
    and it may take the place of a replacement in phase joining that cannot go on or is less urgent."""
    check_fields({"basedOn": whole(0, 1 << 53), "leaving": NAME, "joining": STORE}, arguments)
    record = _record(transaction)
    leaving, joining = arguments["leaving"], arguments["joining"]
    ids = [row["nodeId"] for row in record["members"]]
    _check_version(record, arguments["basedOn"])
    if record["phase"] == MOVING:
        raise ConflictError("the replacement under way is in phase moving")
    if leaving not in ids or joining["nodeId"] in ids or joining["nodeId"] in record["retired"]:
        raise RequestRejectedError(f"{joining['nodeId']} cannot take the place of {leaving}")
    return _begin_joining(transaction, record, leaving, joining)


def _retire(transaction, _key, arguments):
    """Marks the machine as to be drained; a spare replaces its store in the membership."""
    check_fields({"machine": NAME}, arguments)
    record, machine = _record(transaction), arguments["machine"]
    emptied = record.get("emptied", [])
    if not record["version"]:
        raise QuorumUnavailableError("the first store membership has not been formed yet", retry_after=1)
    if machine not in emptied:
        _check_known(transaction, record, machine)
        # A store that has been silent for a short time only is expected to come back, and counts.
        remaining = {
            member.machine
            for member, age in transaction.context.members.newest().values()
            if member.kind == "store" and age <= STORES_REPLACE_AFTER and member.node_id not in record["retired"]
        }
        remaining -= {machine, *emptied}
        needed = 2 * record.get("losses", 1) + 1
        if len(remaining) < needed:
            error = ConflictError(f"{len(remaining)} live stores would be left, {needed} are needed")
            raise transaction.context.refusal(error)
        record = _put(transaction, record, emptied=[*emptied, machine])
    return _retired(transaction, _key, arguments)


def _check_known(transaction, record, machine):
    members = transaction.context.members
    if machine in record.get("emptied", ()) or machine in {
        machine_of(members, node_id) for node_id in StoreMembership(record).all_members
    }:
        return
    if not any(member.machine == machine and member.kind == "store" for member, _ in members.newest().values()):
        raise transaction.context.refusal(NotFoundError(f"no store machine {machine} is known"))


def _retired(transaction, _key, arguments):
    """The state of a machine that is to be drained: `delivered` once it may be taken away with its disk."""
    check_fields({"machine": NAME}, arguments)
    record, machine = _record(transaction), arguments["machine"]
    _check_known(transaction, record, machine)
    is_in = machine in {
        machine_of(transaction.context.members, node_id) for node_id in StoreMembership(record).all_members
    }
    is_emptied = machine in record.get("emptied", ()) and not is_in
    return {"state": "delivered" if is_emptied else "in_service"}


def _cancel(transaction, _key, arguments):
    check_fields({"basedOn": whole(0, 1 << 53)}, arguments)
    record = _record(transaction)
    if record["phase"] != JOINING:
        raise RequestRejectedError("there is no replacement that can still be cancelled")
    _check_version(record, arguments["basedOn"])
    return _put(transaction, record, phase=STABLE, leaving=None, joining=None)


def _advance(transaction, _key, arguments):
    """Moves on to the next phase; only for StoreMembershipTask, which has asked the stores before."""
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
        raise RequestRejectedError(
            "only ids of retired stores can be pruned, and only while no replacement is under way"
        )
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
    """Chooses `count` of these stores, spread over as many zones as possible; `zones` gives the zones of stores that
    were chosen before, by node id."""
    ranks = {}
    for one in sorted(stores, key=lambda one: one.node_id):
        ranks[one.node_id] = len([other for other in ranks if zones[other] == one.zone])
        zones = zones | {one.node_id: one.zone}
    return sorted(stores, key=lambda one: (ranks[one.node_id], one.node_id))[:count]


class StoreMembershipTask(SingletonTask):
    """Drives a replacement through its phases and, in a self-forming cluster, begins the replacements that the
    membership needs. The state is kept in the key, so after a crash at any point the next leader resumes.

    Invariants: `_silent_since` maps each store that this node has no sign of life from to the time since when, watched
    in rounds without a gap, because a process that was frozen itself has watched nobody meanwhile; `_stores` is the
    newest membership in this node's state table."""

    def __init__(self, node, leaders, self_forming=False, tolerated_losses=1):
        super().__init__(node, leaders, STORES_KEY, STORES_POLL)
        self._self_forming, self._tolerated_losses = self_forming, tolerated_losses
        self._silent_since, self._watched_at, self._first_seen_at = {}, float("-inf"), None
        self._pruned_at = float("-inf")
        rejoin = (node.env.get("bounds") or {}).get("rejoin_s", REJOIN)
        self._silence_limit_s = min(STORES_REPLACE_AFTER, max(2 * LIVENESS_AGE, rejoin - STORES_JOIN_TIME))
        self._update_stores()
        node.state_table.watch(STORES_KEY, self._update_stores)

    def _update_stores(self, _source=STORES_KEY):
        self._stores = StoreMembership.from_state_table(self._node.state_table)

    async def _round(self):
        if self._self_forming:
            self._watch_stores(self._stores)
        await super()._round()

    def _watch_stores(self, stores):
        now = self._node.reactor.seconds()
        if now - self._watched_at > MEMBER_WATCH_GAP:
            self._silent_since = {}
        self._watched_at = now
        self._silent_since = {
            node_id: self._silent_since.get(node_id, now)
            for node_id, row in stores.all_members.items()
            if not self._is_present(node_id, row)
        }
        if self._first_seen_at is None and self._node.members.live("store"):
            self._first_seen_at = now

    def _is_present(self, node_id, row):
        return self._node.members.condition(node_id) == LIVE and self._successor_of(node_id, row) is None

    def _is_lost(self, node_id):
        since = self._silent_since.get(node_id)
        return since is not None and self._node.reactor.seconds() - since >= self._silence_limit_s - LIVENESS_AGE

    def _successor_of(self, node_id, row):
        """The store that came back in place of this one, without its disk: at the same address or, once this one is
        silent, on a machine of the same name. The previous id is never used again."""
        members = self._node.members
        successor = members.successor_of(node_id, row["peer"])
        if successor is not None:
            return successor if successor.kind == "store" else None
        if members.condition(node_id) == LIVE:
            return None
        machine = machine_of(members, node_id)
        return next((one for one in members.live("store") if one.machine == machine and one.node_id != node_id), None)

    async def _work(self, leader):
        record = await leader.do(STORES_KEY, "read", {})
        if self._self_forming and not record["version"]:
            await self._form_first_membership(leader)
            return
        if self._self_forming and record["phase"] != MOVING:
            record = await self._repair(leader, record)
        while record["phase"] != STABLE and leader.holds_lease():
            moved = await self._advance_phase(leader, record)
            if moved is not None:
                record = moved
                continue
            await sleep(self._node.reactor, STORES_MOVING_PAUSE)
            if self._self_forming and record["phase"] != MOVING:
                record = await self._repair(leader, await leader.do(STORES_KEY, "read", {}))
            else:
                record = await leader.do(STORES_KEY, "read", {})
        prunable = [node_id for node_id in record["retired"] if node_id not in record["pruned"]]
        if record["phase"] == STABLE and prunable and self._node.reactor.seconds() - self._pruned_at >= PRUNE_PAUSE:
            self._pruned_at = self._node.reactor.seconds()
            await self._prune_unused_ids(leader, record, prunable)

    # --- bootstrap and repair ---

    async def _form_first_membership(self, leader):
        """Creates the first membership: with as many stores as the tolerated losses require, or fewer if no more stores
        have appeared for STORES_BOOTSTRAP_WAIT."""
        live, wanted = self._node.members.live("store"), 2 * self._tolerated_losses + 1
        waited = (
            self._first_seen_at is not None
            and self._node.reactor.seconds() - self._first_seen_at >= STORES_BOOTSTRAP_WAIT
        )
        if len(live) < wanted and not (waited and live):
            return
        chosen = spread_over({}, live, min(wanted, len(live) - (len(live) + 1) % 2))
        record = await leader.do(
            STORES_KEY,
            "set",
            {
                "basedOn": 0,
                "losses": self._tolerated_losses,
                "members": [{"nodeId": one.node_id, "peer": one.peer} for one in chosen],
            },
        )
        self._node.log.info(
            "store_membership_bootstrapped", members=",".join(row["nodeId"] for row in record["members"])
        )
        await self._publish(record)

    async def _repair(self, leader, record):
        """Begins the most urgent replacement, unless it is under way already."""
        wanted = self._next_replacement(record)
        if wanted is None:
            return record
        if wanted == "cancel":
            record = await leader.do(STORES_KEY, "cancel", {"basedOn": record["version"]})
        else:
            leaving, joining = wanted
            record = await leader.do(
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
        await self._publish(record)
        return record

    def _next_replacement(self, record):
        """What to begin now: (leaving id, joining member) of a replacement, "cancel", or None."""
        stores, emptied = StoreMembership(record), record.get("emptied", ())
        successors = {
            node_id: successor
            for node_id, row in stores.members.items()
            for successor in [self._successor_of(node_id, row)]
            if successor is not None
            and successor.machine not in emptied
            and successor.node_id not in stores.all_members
        }
        spares = self._spares(record, stores, successors)
        leaving, joining = record["leaving"], record["joining"]
        if joining is not None:
            successor = self._successor_of(joining["nodeId"], joining)
            is_lost = successor is not None or self._is_lost(joining["nodeId"])
            if successors and leaving not in successors and not self._is_replaced_or_lost(leaving, stores):
                return next(iter(successors.items()))
            if not is_lost:
                return None
            if successor is not None and successor in [*spares, *successors.values()]:
                return leaving, successor
            if leaving in successors:
                return leaving, successors[leaving]
            if spares:
                return leaving, self._spare_in_zone_of(spares, leaving)
            is_staying = (
                self._is_present(leaving, stores.members[leaving])
                and machine_of(self._node.members, leaving) not in emptied
            )
            return "cancel" if is_staying else None
        if successors:
            return next(iter(successors.items()))
        here = [node_id for node_id, row in stores.members.items() if self._is_present(node_id, row)]
        for node_id in stores.members:
            is_to_be_replaced = (
                machine_of(self._node.members, node_id) in emptied
                or self._node.members.condition(node_id) == LEAVING
                or self._is_lost(node_id)
            )
            if is_to_be_replaced and spares and len({*here} - {node_id}) >= len(stores.members) // 2:
                return node_id, self._spare_in_zone_of(spares, node_id)
        return None

    def _is_replaced_or_lost(self, node_id, stores):
        return self._successor_of(node_id, stores.members[node_id]) is not None or self._is_lost(node_id)

    def _spares(self, record, stores, successors):
        taken = (
            {successor.node_id for successor in successors.values()}
            | stores.all_members.keys()
            | set(record["retired"])
        )
        return [
            one
            for one in self._node.members.live("store")
            if one.node_id not in taken and one.machine not in record.get("emptied", ())
        ]

    def _spare_in_zone_of(self, spares, node_id):
        """A spare in the zone of the leaving store, if there is one, so that each zone keeps its copies."""
        previous = self._node.members.find(node_id)
        return min(spares, key=lambda one: (previous is None or one.zone != previous.zone, one.node_id))

    # --- phases of a replacement ---

    async def _advance_phase(self, leader, record):
        """Moves on to the next phase and returns its record, or None if the stores are not ready for it."""
        if not await self._publish(record):
            return None
        record = await leader.do(STORES_KEY, "advance", {"basedOn": record["version"]})
        self._node.log.info("store_membership_changed", epoch=record["version"], phase=record["phase"])
        if record["phase"] == STABLE:
            await self._publish(record)
        return record

    async def _publish(self, record):
        """Sends this version of the membership to the stores. Returns whether so many of them have adopted it that no
        quorum of the version before can be reached and, in phase joining, the joining store has copied the data."""
        stores, text = StoreMembership(record), pack_json(record).decode()
        copying = record["joining"]["nodeId"] if record["phase"] == JOINING else None

        async def ask(node_id, row):
            status = await self._status(node_id, row, text)
            if status["epoch"] != stores.epoch or (node_id == copying and not status["covers"]):
                raise QuorumUnavailableError(f"{node_id} has not reached this phase yet")

        is_adopted, _ = await quorum_of(
            {node_id: ask(node_id, row) for node_id, row in stores.all_members.items()},
            lambda node_ids: stores.is_written(node_ids) and (copying is None or copying in node_ids),
        )
        return is_adopted

    async def _status(self, node_id, row, sent=None):
        answer = json.loads(await self._node.net.call(row["peer"], "storeStatus", STORES_STATUS_TIME, record=sent))
        if answer["nodeId"] != node_id:
            raise StaleEpochError(f"{row['peer']} is now {answer['nodeId']}, not {node_id}")
        return answer

    async def _prune_unused_ids(self, leader, record, prunable):
        """Prunes the ids of retired stores that number no version any more. Their vector entries then carry no
        information: a version precedes another exactly if its own dot does. All members must report this in this
        epoch; messages from before that are still under way are rejected in the next epoch."""
        stores = StoreMembership(record)
        answers = await settled([self._status(node_id, row) for node_id, row in stores.members.items()])
        if not all(ok and status["epoch"] == stores.epoch for ok, status in answers):
            return
        used = {store_id for _, status in answers for store_id in status["dots"]}
        ids = [node_id for node_id in prunable if node_id not in used]
        if ids:
            await leader.do(STORES_KEY, "prune", {"basedOn": stores.epoch, "ids": ids})
            self._node.log.info("store_ids_pruned", ids=",".join(ids))


async def stores_shown(node, record):
    """The record with the condition of each store and, for a store that answers, its status."""
    stores = StoreMembership(record)

    async def ask(row):
        try:
            return json.loads(await node.net.call(row["peer"], "storeStatus", CALL_TIME / 2))
        except OakrampError as error:
            return {"unanswered": error.reason}

    answers = await settled([ask(row) for row in stores.all_members.values()])
    return record | {
        "stores": [
            row | {"condition": node.members.condition(node_id), "status": status}
            for (node_id, row), (_, status) in zip(stores.all_members.items(), answers)
        ]
    }
