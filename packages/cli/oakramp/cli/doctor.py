"""oakrampctl doctor: looks for common faults, and says for each what it comes from and what to do next."""

from collections import Counter
from dataclasses import dataclass, field

from oakramp.common.registry import Registry

CHECKS = Registry("check")
WARNING, FAULT = "warning", "fault"
EXIT_CODES = {WARNING: 3, FAULT: 4}
SLOW_SYNC = 0.1  # s; a sync this slow is felt in every turn
FULL_SHARE = 0.8  # share of a ring's capacity
DAMAGED = "damaged"  # the condition of a node whose disk lost what it had confirmed
OWNERLESS = 5.0  # s; a take-over is over by then


@dataclass(frozen=True)
class Finding:
    level: str
    check: str
    what: str
    cause: str
    next: str


@dataclass
class Survey:
    """What one look at the fleet gave. `nodes` are rows of /v1/nodes; `conditions` maps a node id to its
    /condition, or to the reason why there is none: refused (nobody listens) or silent (no answer in time)."""

    nodes: list = field(default_factory=list)
    conditions: dict = field(default_factory=dict)
    shards: list = field(default_factory=list)
    stores: dict = field(default_factory=dict)
    replicas: dict = field(default_factory=dict)
    blueprints: dict = field(default_factory=dict)
    placement: dict = field(default_factory=dict)

    def machine(self, node_id):
        return next((row["machine"] for row in self.nodes if row["nodeId"] == node_id), node_id)

    def is_alive(self, node_id):
        """Whether this node answers, and takes part."""
        said = self.conditions.get(node_id)
        return isinstance(said, dict) and said["condition"] != DAMAGED

    def answered(self, kind=None):
        alive = [said for node_id, said in self.conditions.items() if self.is_alive(node_id)]
        return [said for said in alive if kind in (None, said["kind"])]


def take_survey(ask_control, ask_node):
    """`askControl(path)` gives a control node's answer; `askNode(address)` a node's /condition or a reason."""
    survey = Survey(ask_control("/v1/nodes")["nodes"])
    survey.conditions = {row["nodeId"]: ask_node(row["http"]) for row in survey.nodes}
    survey.shards = ask_control("/v1/slots")["slots"]
    survey.stores = ask_control("/v1/stores")
    survey.replicas = ask_control("/v1/replicas")["replicas"]
    survey.placement = ask_control("/v1/placement")
    partners = sorted({partner for said in survey.answered("gate") for partner in said["partners"]})
    survey.blueprints = {partner: ask_control(f"/v1/blueprints/{partner}")["blueprint"] for partner in partners}
    return survey


def examine(survey):
    return [finding for name in CHECKS.names() for finding in CHECKS.find(name)(survey)]


def worst_code(findings):
    return max((EXIT_CODES[finding.level] for finding in findings), default=0)


@CHECKS.enter("nodes")
def _nodes(survey):
    for node_id, said in survey.conditions.items():
        if said == "refused":
            yield Finding(
                FAULT,
                "nodes",
                f"{survey.machine(node_id)} is down",
                "its process has ended",
                "start it; with its data folder it is the same node",
            )
        if said == "silent":
            yield Finding(
                FAULT,
                "nodes",
                f"{survey.machine(node_id)} does not answer",
                "frozen, overloaded or cut off",
                "look at the machine; kill the process if it is stuck and start it again",
            )


@CHECKS.enter("damage")
def _damage(survey):
    for node_id, said in survey.conditions.items():
        if isinstance(said, dict) and said["condition"] == DAMAGED:
            yield Finding(
                FAULT,
                "damage",
                f"{survey.machine(node_id)} takes no part: {said['reason']}",
                "its disk lost something that it had confirmed, or its files were changed",
                "stop it, look with oakrampctl disk check, keep the folder, and replace the node by an empty one",
            )


@CHECKS.enter("seeds")
def _seeds(survey):
    bad = Counter(seed for said in survey.answered() for seed, answers in said["seeds"].items() if not answers)
    for seed, count in sorted(bad.items()):
        yield Finding(
            WARNING,
            "seeds",
            f"seed {seed} answers none of {count} nodes",
            "that machine is gone or moved",
            "put a living control node into the settings before the next restart",
        )


@CHECKS.enter("clocks")
def _clocks(survey):
    for said in survey.answered():
        if said["clock"]["jumps"]:
            yield Finding(
                WARNING,
                "clocks",
                f"{said['machine']}'s wall clock jumped {said['clock']['jumps']} times, last "
                f"by {said['clock']['lastJump']} s",
                "time service or a suspended machine",
                "nothing here depends on it but the times in logs; look at the time service",
            )


@CHECKS.enter("disks")
def _disks(survey):
    for said in survey.answered():
        disk = said.get("disk")
        if disk is None:
            continue
        if disk["broken"]:
            yield Finding(
                FAULT,
                "disks",
                f"{said['machine']}'s disk failed: {disk['broken']}",
                "the disk, or it is full",
                "free space: it then takes part again by itself. Else replace the machine by an empty one",
            )
        if disk["syncSeconds"] > SLOW_SYNC:
            yield Finding(
                WARNING,
                "disks",
                f"{said['machine']}'s syncs take {disk['syncSeconds']} s",
                "a slow disk",
                "others carry the load meanwhile; replace the disk if it lasts",
            )
        if disk["liveBytes"] > FULL_SHARE * disk["capacity"]:
            yield Finding(
                WARNING,
                "disks",
                f"{said['machine']}'s ring is {disk['liveBytes'] / disk['capacity']:.0%} full",
                "more state than the ring was made for",
                "make a node with a larger ringFileSize",
            )


@CHECKS.enter("slots")
def _shards(survey):
    bad = [row["slot"] for row in survey.shards if row["owner"] is None or row["age"] > OWNERLESS]
    if bad:
        yield Finding(
            FAULT,
            "slots",
            f"{len(bad)} slots have no confirmed owner: {bad[:8]}",
            "no majority of the roster's disks answers, or a take-over is under way",
            "start the missing control nodes; look again in 5 s",
        )


def _newest_members(survey):
    """The members of the newest roster that any control node stands in; empty if there is none."""
    voting_configs = [said["roster"] for said in survey.answered("control") if said.get("roster")]
    return max(voting_configs, key=lambda voting_config: voting_config["version"])["members"] if voting_configs else {}


@CHECKS.enter("roster")
def _voting_config(survey):
    members = _newest_members(survey)
    if not members:
        return
    alive = [node_id for node_id in members if survey.is_alive(node_id)]
    spare = len(alive) - (len(members) // 2 + 1)
    if len(alive) < len(members):
        yield Finding(
            FAULT if spare <= 0 else WARNING,
            "roster",
            f"{len(alive)} of {len(members)} voters answer, {spare} may still be lost",
            "control nodes are down or lost their disks",
            "start them, or replace a lost one: oakrampctl roster replace",
        )


@CHECKS.enter("majority")
def _majority(survey):
    for said in survey.answered("control"):
        if not said.get("majority", True):  # a release before this one does not say
            yield Finding(
                FAULT,
                "majority",
                f"{said['machine']} is cut off: no majority of the roster answers it",
                "the network between it and the other control nodes, or too many of them are down",
                "orders to it are answered 503 until it is back; use another control node, and look at its network",
            )


@CHECKS.enter("catching up")
def _catching_up(survey):
    if not all(survey.is_alive(node_id) for node_id in _newest_members(survey)):
        return  # who is down is behind; the roster's check tells of it
    for said in survey.answered("control"):
        behind = said.get("votersBehind", 0)  # a release before this one does not say
        if behind:
            yield Finding(
                WARNING,
                "catching up",
                f"{behind} voters, counted for each slot that {said['machine']} owns, lack something of it",
                "members were away, or are new; until they have caught up, fewer copies are left than it seems",
                "nothing, if it is over within 10 s; else look at the disks and the network of these members",
            )


@CHECKS.enter("platform")
def _platform(survey):
    for said in survey.answered("control"):
        if said["platform"] is None:
            yield Finding(
                WARNING,
                "platform",
                f"{said['machine']} does not know the platform",
                "its settings lack `platform`",
                "give all control nodes the platform's address, and start this one again",
            )
        elif not said["platform"]:
            yield Finding(
                WARNING,
                "platform",
                f"{said['machine']} could not read the platform's list",
                "the platform is down, or this node is cut off from it; others look for it meanwhile",
                "look at the platform, and at the network of that machine",
            )


@CHECKS.enter("stores")
def _stores(survey):
    members = survey.stores.get("members", [])
    alive = [row for row in members if survey.is_alive(row["nodeId"])]
    if len(alive) < len(members):
        spare = len(alive) - (len(members) // 2 + 1)
        yield Finding(
            FAULT if spare < 0 else WARNING,
            "stores",
            f"{len(alive)} of {len(members)} stores answer, {spare} may still be lost",
            "a store is down or lost its disk",
            "start it, or bring an empty one in its place: oakrampctl store replace",
        )
    for row in alive:
        if not survey.conditions[row["nodeId"]]["covers"]:
            yield Finding(
                WARNING,
                "stores",
                f"{survey.machine(row['nodeId'])} does not have all lines yet",
                "it joined or came back empty and is copying",
                "wait; look at its lines in oakrampctl stores",
            )


@CHECKS.enter("hints")
def _hints(survey):
    for said in survey.answered("store"):
        for node_id, count in said["hints"].items():
            yield Finding(
                WARNING,
                "hints",
                f"{said['machine']} keeps {count} lines for {survey.machine(node_id)}",
                "that store was away or slow",
                "they are handed over once it answers; start it if it is down",
            )


@CHECKS.enter("copies")
def _copies(survey):
    counts = {
        said["machine"]: said["lines"]
        for said in survey.answered("store")
        if said["nodeId"] in {row["nodeId"] for row in survey.stores.get("members", [])}
    }
    if counts and max(counts.values()) > 1.1 * min(counts.values()) + 10:
        yield Finding(
            WARNING,
            "copies",
            f"stores keep different counts of lines: {counts}",
            "one lacks copies",
            "anti-entropy brings them within minutes; look at hints and disks if not",
        )


@CHECKS.enter("news")
def _news(survey):
    for said in survey.answered("gate"):
        for partner, why in said["stale"].items():
            yield Finding(
                FAULT,
                "news",
                f"{said['machine']} serves nothing for {partner}: {why}",
                "it is cut off from the control nodes, or the slot has no owner",
                "look at the findings on slots and seeds, and at the network of that machine",
            )


@CHECKS.enter("eviction")
def _eviction(survey):
    modes = Counter(said["eviction"] for said in survey.answered("control"))
    if len(modes) > 1:
        yield Finding(
            WARNING,
            "eviction",
            f"control nodes differ in the setting eviction: {dict(modes)}",
            "settings were changed on some machines only",
            "give all control nodes and gates the same",
        )
    for service, rows in sorted(survey.placement.get("findings", {}).items()):
        placed = survey.placement["services"].get(service, {"mode": "on", "tenants": {}})
        left = [
            one for one in rows if one["trapped"] and (placed["mode"] != "on" or one["tenant"] not in placed["tenants"])
        ]
        without_room = [one["tenant"] for one in left if not one["room"]]
        if without_room:
            yield Finding(
                WARNING,
                "eviction",
                f"{len(without_room)} tenants of {service} ({', '.join(without_room[:3])}) evict "
                "others' prefixes and find no room",
                "their prefixes do not fit the replicas' caches, all together",
                "more replicas for the service, or larger caches; oakrampctl eviction shows the sizes",
            )
        elif left and placed["mode"] != "on":
            yield Finding(
                WARNING,
                "eviction",
                f"{len(left)} tenants of {service} evict each other's prefixes and are not moved",
                "the setting eviction is observe",
                "look at oakrampctl eviction, and set it to on",
            )


@CHECKS.enter("versions")
def _versions(survey):
    releases = Counter(said["release"] for said in survey.answered())
    if len(releases) > 1:
        yield Finding(
            WARNING,
            "versions",
            f"releases differ: {dict(releases)}",
            "a roll-out is under way",
            "finish it; two adjacent releases work together",
        )


@CHECKS.enter("bindings")
def _bindings(survey):
    ready = Counter(row["pool"] for row in survey.replicas.values() if row["state"] == "ready")
    for partner, blueprint in survey.blueprints.items():
        pools = {}
        for name, binding in blueprint["bindings"].items():
            if not ready[binding["pool"]]:
                pools.setdefault(binding["pool"], []).append(name)
        for pool, names in sorted(pools.items()):
            yield Finding(
                FAULT,
                "bindings",
                f"{partner}: {len(names)} bindings ({', '.join(names[:3])}) name pool {pool}, which "
                "has no ready replica",
                "a misspelt pool, or all its replicas left",
                "change the bindings, or have the platform list replicas for the pool",
            )
