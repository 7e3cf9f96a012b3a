"""Two published keys: the replicas that the platform lists, and the set of stores."""
from schema import And

from oakbase.checks import NAME, checkFields, oneOf, packJson, whole
from oakbase.env import ADDRESS
from oakbase.verdict import BadRequest, Lost, Unknown
from oakcontrol.controllers import CONTROLLERS, Controller

REPLICAS_KEY, STORES_KEY = "replicas", "storeset"
REPLICA = {"id": NAME, "address": ADDRESS, "pool": NAME, "state": oneOf("ready", "leaving")}


def _versioned(view, key, name, empty):
    return view.get(key) or {"version": 0, name: empty}


# replicas. Invariant: a replica once known to be leaving stays so until the list has dropped it.

def _setList(view, key, arguments):
    checkFields({"replicas": list}, arguments)
    for row in arguments["replicas"]:
        checkFields(REPLICA, row)
    state = _versioned(view, key, "replicas", {})
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
    state = _versioned(view, key, "replicas", {})
    row = state["replicas"].get(arguments["id"])
    if row is None:
        raise Unknown(f"no replica {arguments['id']} is listed")
    if row["state"] != "leaving":
        replicas = state["replicas"] | {row["id"]: row | {"state": "leaving"}}
        view.put(key, {"version": state["version"] + 1, "replicas": replicas})
    return row | {"state": "leaving"}


def _readReplicas(view, key, _arguments):
    return _versioned(view, key, "replicas", {})


def _imageReplicas(view, key):
    state = _versioned(view, key, "replicas", {})
    return state["version"], {name: packJson(row) for name, row in state["replicas"].items()}


CONTROLLERS.enter(REPLICAS_KEY)(Controller(
    {"setList": _setList, "markLeaving": _markLeaving, "read": _readReplicas}, image=_imageReplicas))


# storeset. Invariant: `version` is the store epoch; it rises with every change of the members.

STORE = {"nodeId": NAME, "peer": ADDRESS}


def _setStores(view, key, arguments):
    checkFields({"basedOn": whole(0, 1 << 53), "members": And(list, len, error="must name stores")}, arguments)
    for member in arguments["members"]:
        checkFields(STORE, member)
    state = _versioned(view, key, "members", [])
    if state["members"] == arguments["members"]:
        return state
    if arguments["basedOn"] != state["version"]:
        raise Lost(f"built on epoch {arguments['basedOn']}, the newest is {state['version']}",
                   detail={"version": state["version"]})
    state = {"version": state["version"] + 1, "members": arguments["members"]}
    view.put(key, state)
    return state


def _readStores(view, key, _arguments):
    return _versioned(view, key, "members", [])


def _imageStores(view, key):
    state = _versioned(view, key, "members", [])
    return state["version"], {"members": packJson(state["members"])}


CONTROLLERS.enter(STORES_KEY)(Controller({"set": _setStores, "read": _readStores}, image=_imageStores))
