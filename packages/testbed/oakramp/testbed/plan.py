"""The machines, replicas and blueprints of the testbed: a fleet of the required size, and a small one."""

from dataclasses import dataclass

NETWORK = "127.20"  # loopback addresses, one for each machine
NETS = {"control": 1, "store": 2, "gate": 3}


@dataclass(frozen=True)
class Machine:
    name: str
    kind: str  # control, store, gate
    zone: str
    host: str

    @property
    def peer(self):
        return f"{self.host}:7400"

    @property
    def http(self):
        return f"{self.host}:7480"


@dataclass(frozen=True)
class Size:
    gates: int
    stores: int
    controls: int
    replicas: tuple  # (pool, kind, count)


SIZES = {
    "small": Size(
        1,
        3,
        3,
        (
            ("dalatech-model", "model", 1),
            ("dalatech-results", "plain", 1),
            ("nile-model", "model", 1),
            ("nile-notices", "plain", 1),
        ),
    ),
    "brief": Size(
        8,
        3,
        5,
        (
            ("dalatech-model", "model", 9),
            ("dalatech-results", "plain", 3),
            ("nile-model", "model", 5),
            ("nile-notices", "plain", 3),
        ),
    ),
}
PLATFORM = f"{NETWORK}.200.1:7490"


def machines_of(size):
    counts = {"control": size.controls, "store": size.stores, "gate": size.gates}
    return [
        Machine(f"{kind}{number}", kind, f"zone{number % 3}", f"{NETWORK}.{net}.{number + 1}")
        for kind, net in NETS.items()
        for number in range(counts[kind])
    ]


def replica_rows(size):
    rows = [(f"{pool}-{number}", pool) for pool, _, count in size.replicas for number in range(count)]
    return [(replica_id, f"{NETWORK}.201.{index + 1}:7491", pool) for index, (replica_id, pool) in enumerate(rows)]


def env_of(machine, machines, folder=None, seeds=None):
    seeds = seeds or [other.peer for other in machines if other.kind == "control"][:3]
    env = {"machine": machine.name, "zone": machine.zone, "peer": machine.peer, "http": machine.http, "seeds": seeds}
    if machine.kind == "gate":
        return env
    return env | {"folder": folder} | ({"platform": PLATFORM} if machine.kind == "control" else {})


def output_limit_of(marker):
    """The output limit of a turn in the plan with this adapter: a second field that identifies the plan."""
    return 63 + int(marker.rpartition("-")[2]) if marker else 64


def blueprint_of(partner, adapter=None):
    """A partner's plan. If an adapter name is given, which only this plan uses, every binding has it."""
    prefix, plain, plain_name = {
        "dalatech": ("dalatech", "dalatech-results", "results"),
        "nile": ("nile", "nile-notices", "notices"),
    }[partner]
    chat = {
        "kind": "model",
        "pool": f"{prefix}-model",
        "urgency": "normal",
        "maxWaitSeconds": 20,
        "maxOutput": output_limit_of(adapter),
    }
    bindings = {
        "chat": chat,
        "ask": chat | {"repeatable": True, "onCallerGone": "finish"},
        plain_name: {"kind": "plain", "pool": plain, "urgency": "urgent", "maxWaitSeconds": 5},
        f"{plain_name}-read": {
            "kind": "plain",
            "pool": plain,
            "urgency": "normal",
            "maxWaitSeconds": 5,
            "repeatable": True,
        },
    }
    mark = {"adapter": adapter} if adapter else {}
    bindings = {name: binding | mark for name, binding in bindings.items()}
    return {"bindings": bindings, "programs": {"defaultLimit": 200, "maxLimit": 100000}, "share": 1}


MARKERS = [f"{partner}-plan-{number}" for partner in ("dalatech", "nile") for number in range(200)]
PARTNERS = ("dalatech", "nile")
PLAIN_NAMES = {"dalatech": "results", "nile": "notices"}
