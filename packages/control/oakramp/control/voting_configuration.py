"""The key `roster`: the voting configuration, that is, which control nodes are voters. It changes through a joint
version of both sets, which may differ in any number of members (joint consensus):

    version r      members A B C                           majority of A B C
    version r+1    members A B C, next B C D E F           majority of both; every shard is written again
    version r+2    members B C D E F                       majority of B C D E F

A voter answers only messages of its own version of the voting configuration, so each majority belongs to one version.
The leader of the key moves on from r+1 once a majority of both sets has adopted it (from then on no majority of version
r can be reached) and every shard's leader reports that its snapshot is on majorities of both (then the new set knows
everything that the old one confirmed). The state of the change is kept in the key itself, so the next leader of the key
continues it.

For the repair of the voting configuration in a self-forming cluster see `membership_repair`.

A member that was replaced and comes back with its disk is not a member any more, and may join again under its old id:
an id stands for one disk, and as long as the disk exists, so do all the promises made under that id. What it holds is
older than what a majority of any later version holds, as with any voter that was cut off, and because of the versions
in between, requests that it may still send are rejected. A node that lost its disk has another id, and calls to a voter
name the id that they are meant for.

Invariants: `version` rises with every change; `next` is set only in a joint version, and is not empty; a majority is
counted among voters of one version, each of which has answered under its own id.
"""

from schema import And

from oakramp.common.constants import VOTING_CONFIG_MIN
from oakramp.common.errors import ConflictError, NotFoundError, RequestRejectedError, VersionConflictError
from oakramp.common.settings import ADDRESS
from oakramp.common.validation import NAME, check_fields, pack_json, whole
from oakramp.control.controllers import CONTROLLERS, Controller
from oakramp.membership.members import LIVE

VOTING_CONFIG_KEY = "roster"
MEMBER = {"nodeId": NAME, "peer": ADDRESS}


class VotingConfiguration:
    """One version of the voting configuration. During a change, `next` holds the members of the next version, and a
    quorum needs majorities of both sets."""

    def __init__(self, record):
        self.record, self.version = record, record["version"]
        self.members, self.next = record["members"], record.get("next")
        self.all_members = self.members | (self.next or {})
        self.leader_candidates = self.next or self.members  # a leaving member hands its shards over early

    def is_quorum(self, node_ids):
        """Whether these nodes include a majority of the members and, during a change, of the next members."""
        return all(
            len(node_ids & member_ids.keys()) > len(member_ids) // 2
            for member_ids in (self.members, self.next)
            if member_ids is not None
        )

    def losses_left(self, present):
        """How many of the voters that are present may be lost with a majority left; negative if there is no majority
        now."""
        return min(
            losses_left(len(member_ids), len(present & member_ids.keys()))
            for member_ids in (self.members, self.next)
            if member_ids is not None
        )


def losses_left(members, present):
    """How many more losses one set tolerates, given the numbers of its members and of those that are present."""
    return present - (members // 2 + 1)


def _record(transaction):
    return transaction.get(VOTING_CONFIG_KEY) or transaction.context.voting_config.record


def _check_version(record, based_on):
    if based_on != record["version"]:
        raise VersionConflictError(
            f"the change is based on version {based_on}, but the newest is {record['version']}",
            detail={"version": record["version"]},
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
        return record  # the request is a repetition
    if record.get("next") is not None:
        raise ConflictError("another member is being replaced already")
    if leaving not in members:
        raise NotFoundError(f"{leaving} is not in the roster; its members are {', '.join(sorted(members))}")
    if joining["nodeId"] in members:
        raise RequestRejectedError(f"{joining['nodeId']} is in the roster already")
    return _begin_change(transaction, record, arguments["basedOn"], changed)


def _begin_change(transaction, record, based_on, changed):
    """Puts the joint version of the present members and the changed ones."""
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
        return record  # the request is a repetition
    if record.get("next") is not None:
        raise ConflictError("the roster is being changed already")
    _check_shrink(transaction, record["members"], changed)
    return _begin_change(transaction, record, arguments["basedOn"], changed)


def _check_shrink(transaction, members, changed):
    """Only members that are not live may be removed without a replacement, and VOTING_CONFIG_MIN members stay."""
    if len(changed) >= len(members):
        return
    if len(changed) < VOTING_CONFIG_MIN:
        raise RequestRejectedError(f"a roster may shrink to {VOTING_CONFIG_MIN} members at least")
    live = [node_id for node_id in members.keys() - changed if transaction.context.members.condition(node_id) == LIVE]
    if live:
        raise RequestRejectedError(
            f"{', '.join(sorted(live))} is live: only members that are not live may be removed without a replacement"
        )


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
