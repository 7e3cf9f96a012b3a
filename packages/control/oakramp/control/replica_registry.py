"""The published key `replicas`: the replicas that the platform lists."""

from schema import Optional, Or

from oakramp.common.constants import NAME_LIMIT
from oakramp.common.errors import BadRequestError, NotFoundError
from oakramp.common.settings import ADDRESS
from oakramp.common.validation import NAME, check_fields, faults_of, one_of, pack_json, whole
from oakramp.control.controllers import CONTROLLERS, Controller

REPLICAS_KEY = "replicas"
LABEL = Or(
    None,
    lambda text: isinstance(text, str) and len(text) <= NAME_LIMIT,
    error=f"must be a string of at most {NAME_LIMIT} characters",
)
REPLICA = {
    "id": NAME,
    "address": ADDRESS,
    "pool": NAME,
    "state": one_of("ready", "leaving"),
    Optional("zone"): LABEL,
    Optional("slots"): Or(None, whole(1, 1 << 31), error="must be a whole number above 0"),
    Optional("cold_s"): Or(
        None, lambda number: type(number) in (int, float) and number >= 0, error="must be a number of seconds"
    ),
    Optional("version_label"): LABEL,
}
REQUIRED_FIELDS = [key for key in REPLICA if not isinstance(key, Optional)]
OPTIONAL_FIELDS = [key.schema for key in REPLICA if isinstance(key, Optional)]


def valid_fields(row):
    """The row reduced to its valid fields, or None if a required field is missing or invalid. Invalid optional fields
    are left out."""
    row = {name: row[name] for name in (*REQUIRED_FIELDS, *OPTIONAL_FIELDS) if row.get(name) is not None}
    faulty = {fault.partition(":")[0] for fault in faults_of(REPLICA, row)}
    return None if faulty & set(REQUIRED_FIELDS) else {name: value for name, value in row.items() if name not in faulty}


def _state(transaction, key):
    return transaction.get(key) or {"version": 0, "replicas": {}}


# Invariants of the key: a replica that is known to be leaving stays so until the list drops it; `cold_s`, how long
# it is cold, keeps its first value until that time is over, so that the passing of time is not a change to publish.


def _keep_known_state(row, previous):
    if previous is None:
        return row
    if previous["state"] == "leaving":
        row = row | {"state": "leaving"}
    if row.get("cold_s") and previous.get("cold_s"):
        row = row | {"cold_s": previous["cold_s"]}
    return row


def _set_list(transaction, key, arguments):
    check_fields({"replicas": list}, arguments)
    state = _state(transaction, key)
    previous = state["replicas"]
    replicas = {row["id"]: _keep_known_state(row, previous.get(row["id"])) for row in arguments["replicas"]}
    if len(replicas) != len(arguments["replicas"]):
        raise BadRequestError("the list has two rows with one replica id")
    if replicas == previous:
        return {"version": state["version"]}
    for replica_id, row in replicas.items():
        if row != previous.get(replica_id):
            check_fields(REPLICA, row)
    transaction.put(key, {"version": state["version"] + 1, "replicas": replicas})
    return {"version": state["version"]}


def _mark_leaving(transaction, key, arguments):
    check_fields({"id": NAME}, arguments)
    state = _state(transaction, key)
    row = state["replicas"].get(arguments["id"])
    if row is None:
        raise NotFoundError(f"no replica {arguments['id']} is listed")
    if row["state"] != "leaving":
        replicas = state["replicas"] | {row["id"]: row | {"state": "leaving"}}
        transaction.put(key, {"version": state["version"] + 1, "replicas": replicas})
    return row | {"state": "leaving"}


def _read_replicas(transaction, key, _arguments):
    return _state(transaction, key)


def _snapshot_replicas(transaction, key):
    state = _state(transaction, key)
    return state["version"], {name: pack_json(row) for name, row in state["replicas"].items()}


CONTROLLERS.enter(REPLICAS_KEY)(
    Controller(
        {"setList": _set_list, "markLeaving": _mark_leaving, "read": _read_replicas}, snapshot=_snapshot_replicas
    )
)
