"""Plans (`blueprint` on the wire): one for each partner, replaced as a whole or by a named change based on a version.

A change is known by its id for as long as the version that it made is kept, and an id identifies one change: a
different change with the same id is rejected. A change is reported as lost only if it is based on a past version whose
successor is kept: had the change been accepted, its id would be known. An older change may have been accepted, and one
that is based on a version that does not exist yet may still be accepted by a copy in flight: both get an ambiguous
answer.
"""

import json
from hashlib import blake2b

from schema import And, Optional

from oakramp.common.constants import (
    BLUEPRINTS_KEPT,
    ENDS_AFTER_MAX,
    ENDS_AFTER_MIN,
    SHARDS,
    TIME_LEFT_LIMIT,
    UNITS_LIMIT,
)
from oakramp.common.errors import (
    BadRequestError,
    ConflictError,
    NotFoundError,
    QuorumUnavailableError,
    ValidationFailedError,
    Verdict,
    VersionConflictError,
)
from oakramp.common.registry import Registry
from oakramp.common.validation import NAME, check_fields, faults_of, is_name, one_of, pack_json, seconds, whole
from oakramp.control.controllers import CONTROLLERS, SHARD_SOURCE, Controller
from oakramp.control.replica_registry import REPLICAS_KEY
from oakramp.membership.rendezvous_hashing import shard_of

BINDING = {
    "kind": one_of("model", "plain"),
    "pool": NAME,
    "urgency": one_of("urgent", "normal", "patient"),
    "maxWaitSeconds": seconds(0.1, TIME_LEFT_LIMIT),
    Optional("maxOutput"): whole(1, 1 << 20),
    Optional("repeatable"): bool,
    Optional("onCallerGone"): one_of("cancel", "finish"),
    Optional("adapter"): NAME,
    Optional("modelWeights"): NAME,
}
PROGRAMS = {
    "defaultLimit": whole(1, UNITS_LIMIT),
    "maxLimit": whole(1, UNITS_LIMIT),
    Optional("endAfterIdle"): seconds(ENDS_AFTER_MIN, ENDS_AFTER_MAX),
}
BLUEPRINT = {
    "bindings": And(dict, error="must be an object"),
    "programs": And(dict, error="must be an object"),
    Optional("share"): whole(1, 100),
}
WARNINGS_SHOWN = 20  # warnings of one kind listed in an answer
BASE_INTERVAL = 64  # versions between two that are stored whole, so that reading one replays few changes


def blueprint_faults(blueprint):
    """The path of every fault; an empty list means that the blueprint is valid as a whole."""
    faults = faults_of(BLUEPRINT, blueprint)
    if faults:
        return faults
    faults += [fault for name, binding in blueprint["bindings"].items() for fault in binding_faults(name, binding)]
    faults += faults_of(PROGRAMS, blueprint["programs"], "programs")
    if not faults and blueprint["programs"]["defaultLimit"] > blueprint["programs"]["maxLimit"]:
        faults.append("programs.defaultLimit: is above programs.maxLimit")
    return faults


def binding_faults(name, binding):
    """The faults of one binding of a plan, each a text that begins with the path of the field."""
    path = f"bindings.{name}"
    if not is_name(name):
        return [f"{path}: is not a valid name"]
    faults = faults_of(BINDING, binding, path)
    if faults:
        return faults
    if binding["kind"] == "model" and "maxOutput" not in binding:
        return [f"{path}.maxOutput: is missing"]
    if binding["kind"] == "plain" and "maxOutput" in binding:
        return [f"{path}.maxOutput: is for model bindings only"]
    return []


# --- named changes: (plan, arguments) -> new plan -----------------------------

CHANGES = Registry("change")


@CHANGES.enter("setBinding")
def _set_binding(blueprint, arguments):
    check_fields({"name": NAME, "binding": dict}, arguments)
    return blueprint | {"bindings": blueprint["bindings"] | {arguments["name"]: arguments["binding"]}}


@CHANGES.enter("removeBinding")
def _remove_binding(blueprint, arguments):
    check_fields({"name": NAME}, arguments)
    if arguments["name"] not in blueprint["bindings"]:
        raise ValidationFailedError(
            f"bindings.{arguments['name']}: is not there", detail=[f"bindings.{arguments['name']}"]
        )
    return blueprint | {
        "bindings": {name: binding for name, binding in blueprint["bindings"].items() if name != arguments["name"]}
    }


@CHANGES.enter("setPrograms")
def _set_programs(blueprint, arguments):
    check_fields({"programs": dict}, arguments)
    return blueprint | {"programs": arguments["programs"]}


@CHANGES.enter("setShare")
def _set_share(blueprint, arguments):
    check_fields({"share": int}, arguments)
    return blueprint | {"share": arguments["share"]}


# --- the replicated key ----------------------------------------------------------
# Entries of blueprint/P:  itself: {version, base, first};  #v/<n>: {whole} or {change, arguments}, with
# the change id;  #c/<id>: {version, print}, `print` a fingerprint of the change (earlier releases stored none).
# Invariant: base <= version, entry #v/<base> is whole, every entry from `first` to `version` exists.


def _version_key(key, version):
    return f"{key}#v/{version:010d}"


def _head(transaction, key):
    return transaction.get(key) or {"version": 0, "base": 0, "first": 0}


def _plan_at(transaction, key, version, base):
    rows = [transaction.get(_version_key(key, number)) for number in range(base, version + 1)]
    blueprint = rows[0]["whole"]
    for row in rows[1:]:
        blueprint = row["whole"] if "whole" in row else CHANGES.find(row["change"])(blueprint, row["arguments"])
    return blueprint


def _current(transaction, key, head):
    cached = transaction.context.local_state.get(f"memo/{key}") if transaction.context else None
    if cached and cached[0] == head["version"]:
        return cached[1]
    blueprint = _plan_at(transaction, key, head["version"], head["base"])
    if transaction.context:
        transaction.context.local_state[f"memo/{key}"] = (head["version"], blueprint)
    return blueprint


def _fingerprint(requested):
    """A fingerprint of the change that does not depend on its base version: the same change is recognized on a later
    one."""
    return blake2b(pack_json(requested), digest_size=16).hexdigest()


def _check_same_change(known, change_id, requested):
    if known.get("print", _fingerprint(requested)) != _fingerprint(requested):
        raise ConflictError(f"the id {change_id} belongs to another change, which made version {known['version']}")


def _check_base_version(head, based_on):
    """Accepts only a change based on the newest version. It is reported as lost only if it certainly was not accepted
    and never can be."""
    if based_on == head["version"]:
        return
    reason = f"based on version {based_on}, the newest is {head['version']}"
    if based_on > head["version"]:
        raise QuorumUnavailableError(reason, Verdict.MAYBE)
    if based_on + 1 < head["first"]:
        raise QuorumUnavailableError(
            f"{reason}; changes that old are not remembered, so it may have been accepted", Verdict.MAYBE
        )
    raise VersionConflictError(reason, detail={"version": head["version"]})


def _put(transaction, key, arguments):
    check_fields(
        {
            "changeId": NAME,
            "basedOn": whole(0, 1 << 53),
            Optional("blueprint"): dict,
            Optional("change"): NAME,
            Optional("arguments"): dict,
        },
        arguments,
    )
    head = _head(transaction, key)
    known = transaction.get(f"{key}#c/{arguments['changeId']}")
    requested = {name: arguments[name] for name in ("blueprint", "change", "arguments") if name in arguments}
    if known:
        _check_same_change(known, arguments["changeId"], requested)
        return {"outcome": "accepted", "version": known["version"]}
    _check_base_version(head, arguments["basedOn"])
    transaction.context.reject_if_full()
    if ("blueprint" in requested) == ("change" in requested):
        raise BadRequestError("exactly one of blueprint and change is required")
    if "change" in requested and not head["version"]:
        raise ValidationFailedError("no blueprint exists yet that could be changed", detail=["blueprint: is missing"])
    if "change" in requested:
        blueprint = CHANGES.find(requested["change"])(
            _current(transaction, key, head), requested.get("arguments") or {}
        )
    else:
        blueprint = requested["blueprint"]
    faults = blueprint_faults(blueprint)
    if faults:
        raise ValidationFailedError("; ".join(faults[:20]), detail=faults[:200])
    version, previous = head["version"] + 1, head
    is_base = "blueprint" in requested or version - head["base"] >= BASE_INTERVAL
    row = (
        {"whole": blueprint}
        if is_base
        else {"change": requested["change"], "arguments": requested.get("arguments") or {}}
    )
    transaction.put(_version_key(key, version), row | {"changeId": arguments["changeId"]})
    transaction.put(f"{key}#c/{arguments['changeId']}", {"version": version, "print": _fingerprint(requested)})
    head = {"version": version, "base": version if is_base else head["base"], "first": head["first"] or 1}
    transaction.put(key, _pruned(transaction, key, head))
    previous = _current(transaction, key, previous) if previous["version"] else {"bindings": {}}
    transaction.context.local_state[f"memo/{key}"] = (version, blueprint)
    return {"outcome": "accepted", "version": version, "warnings": _warnings(transaction, previous, blueprint)}


def _warnings(transaction, previous, blueprint):
    """Probable mistakes in the plan. They are reported and not rejected, since the operator has to decide."""
    snapshot = transaction.context.state_table.snapshots.get(REPLICAS_KEY)
    rows = [json.loads(value) for _, value in snapshot.items.values() if value is not None] if snapshot else []
    pools = {row["pool"] for row in rows if row["state"] == "ready"}
    gone = sorted(previous["bindings"].keys() - blueprint["bindings"].keys())
    return [
        f"bindings.{name}.pool: {binding['pool']} has no ready replica"
        for name, binding in sorted(blueprint["bindings"].items())
        if binding["pool"] not in pools
    ][:WARNINGS_SHOWN] + [f"bindings.{name}: is gone; requests that name it are refused" for name in gone][
        :WARNINGS_SHOWN
    ]


def _pruned(transaction, key, head):
    """Deletes versions older than the BLUEPRINTS_KEPT newest, in whole ranges from one base to the next."""
    oldest = head["version"] - BLUEPRINTS_KEPT
    if oldest <= head["first"]:
        return head
    bases = [
        number for number in range(head["first"], oldest + 1) if "whole" in transaction.get(_version_key(key, number))
    ]
    for number in range(head["first"], bases[-1]):
        transaction.put(f"{key}#c/{transaction.get(_version_key(key, number))['changeId']}", None)
        transaction.put(_version_key(key, number), None)
    return head | {"first": bases[-1]}


def _read(transaction, key, arguments):
    head = _head(transaction, key)
    version = arguments.get("version") or head["version"]
    if not version or not head["first"] <= version <= head["version"]:
        raise NotFoundError(f"version {version} is not kept" if head["version"] else "no blueprint has been accepted")
    if version == head["version"]:
        return {"version": version, "blueprint": _current(transaction, key, head)}
    base = next(number for number in range(version, 0, -1) if "whole" in transaction.get(_version_key(key, number)))
    return {"version": version, "blueprint": _plan_at(transaction, key, version, base)}


def _outcome(transaction, key, arguments):
    """The outcome of a change by its id; `unknown` if it may be one whose id has been deleted."""
    known, head = transaction.get(f"{key}#c/{arguments['changeId']}"), _head(transaction, key)
    if known:
        return {"outcome": "accepted", "version": known["version"]}
    return {"outcome": "unknown" if head["first"] > 1 else "notAccepted", "version": head["version"]}


def gossiped_plan(state_table, partner):
    """A partner's plan as this node has it by gossip: (age, all of it but the bindings, or None without a plan).
    Without a plan the age is that of the shard the plan would be in, whose leader knows that there is none."""
    source = f"blueprint/{partner}"
    snapshot = state_table.snapshots.get(source)
    if snapshot is None:
        return state_table.age(f"{SHARD_SOURCE}{shard_of(source, SHARDS)}"), None
    _, rest = snapshot.items.get("rest", (0, None))
    return state_table.age(source), rest and json.loads(rest)


def _snapshot(transaction, key):
    head = _head(transaction, key)
    if not head["version"]:
        return 0, {}
    blueprint = _plan_at(transaction, key, head["version"], head["base"])
    rest = {name: value for name, value in blueprint.items() if name != "bindings"}
    return head["version"], {"rest": pack_json(rest)} | {
        f"binding/{name}": pack_json(binding) for name, binding in blueprint["bindings"].items()
    }


CONTROLLERS.enter("blueprint")(Controller({"put": _put, "read": _read, "outcome": _outcome}, snapshot=_snapshot))
