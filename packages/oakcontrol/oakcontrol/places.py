"""The published key `replicas`: what the platform lists."""
from oakbase.checks import NAME, checkFields, oneOf, packJson
from oakbase.env import ADDRESS
from oakbase.verdict import BadRequest, Unknown
from oakcontrol.controllers import CONTROLLERS, Controller

REPLICAS_KEY = "replicas"
REPLICA = {"id": NAME, "address": ADDRESS, "pool": NAME, "state": oneOf("ready", "leaving")}


def _state(view, key):
    return view.get(key) or {"version": 0, "replicas": {}}


# replicas. Invariant: a replica once known to be leaving stays so until the list has dropped it.

def _setList(view, key, arguments):
    checkFields({"replicas": list}, arguments)
    for row in arguments["replicas"]:
        checkFields(REPLICA, row)
    state = _state(view, key)
    replicas = {row["id"]: row for row in arguments["replicas"]}
    if len(replicas) != len(arguments["replicas"]):
        raise BadRequest("a replica is listed twice")
    for replicaId, row in replicas.items():
        if state["replicas"].get(replicaId, row)["state"] == "leaving":
            replicas[replicaId] = row | {"state": "leaving"}
    if replicas != state["replicas"]:
        view.put(key, {"version": state["version"] + 1, "replicas": replicas})
    return {"version": state["version"]}


def _markLeaving(view, key, arguments):
    checkFields({"id": NAME}, arguments)
    state = _state(view, key)
    row = state["replicas"].get(arguments["id"])
    if row is None:
        raise Unknown(f"no replica {arguments['id']} is listed")
    if row["state"] != "leaving":
        replicas = state["replicas"] | {row["id"]: row | {"state": "leaving"}}
        view.put(key, {"version": state["version"] + 1, "replicas": replicas})
    return row | {"state": "leaving"}


def _readReplicas(view, key, _arguments):
    return _state(view, key)


def _imageReplicas(view, key):
    state = _state(view, key)
    return state["version"], {name: packJson(row) for name, row in state["replicas"].items()}


CONTROLLERS.enter(REPLICAS_KEY)(Controller(
    {"setList": _setList, "markLeaving": _markLeaving, "read": _readReplicas}, image=_imageReplicas))
