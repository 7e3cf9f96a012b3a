"""oakrampctl doctor: checks for common faults, and reports the cause of each and what to do next."""

from collections import Counter
from dataclasses import dataclass, field

from oakramp.common.registry import Registry

CHECKS = Registry("check")
WARNING, FAULT = "warning", "fault"
EXIT_CODES = {WARNING: 3, FAULT: 4}
SLOW_SYNC = 0.1  # s; a sync that takes longer noticeably delays every turn
FULL_SHARE = 0.8  # share of a ring's capacity
DAMAGED = "damaged"  # the condition of a node whose disk lost data that it had confirmed
LEADERLESS_TIME_MAX = 5.0  # s; a failover has ended by then


@dataclass(frozen=True)
class Finding:
    level: str
    check: str
    what: str
    cause: str
    next: str


@dataclass
class Survey:
    """The state of a fleet as read once. `nodes` are rows of /v1/nodes; `conditions` maps a node id to its /condition,
    or to the reason why there is none: refused (connection refused) or silent (no response in time)."""

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
        """Whether this node responds and is not damaged."""
        report = self.conditions.get(node_id)
        return isinstance(report, dict) and report["condition"] != DAMAGED

    def reports(self, kind=None):
        alive = [report for node_id, report in self.conditions.items() if self.is_alive(node_id)]
        return [report for report in alive if kind in (None, report["kind"])]


def take_survey(ask_control, ask_node):
    """`ask_control(path)` returns the response of a control node; `ask_node(address)` the /condition of a node, or the
    reason why there is none."""
    survey = Survey(ask_control("/v1/nodes")["nodes"])
    survey.conditions = {row["nodeId"]: ask_node(row["http"]) for row in survey.nodes}
    survey.shards = ask_control("/v1/slots")["slots"]
    survey.stores = ask_control("/v1/stores")
    survey.replicas = ask_control("/v1/replicas")["replicas"]
    survey.placement = ask_control("/v1/placement")
    partners = sorted({partner for report in survey.reports("gate") for partner in report["partners"]})
    survey.blueprints = {partner: ask_control(f"/v1/blueprints/{partner}")["blueprint"] for partner in partners}
    return survey


def examine(survey):
    return [finding for name in CHECKS.names() for finding in CHECKS.find(name)(survey)]


def worst_code(findings):
    return max((EXIT_CODES[finding.level] for finding in findings), default=0)


@CHECKS.enter("nodes")
def _nodes(survey):
    for node_id, report in survey.conditions.items():
        if report == "refused":
            yield Finding(
                FAULT,
                "nodes",
                f"{survey.machine(node_id)} is down",
                "its process has ended",
                "start it; with its data folder it keeps its identity",
            )
        if report == "silent":
            yield Finding(
                FAULT,
                "nodes",
                f"{survey.machine(node_id)} does not answer",
                "its process is frozen or overloaded, or the network is partitioned",
                "examine the machine; kill the process if it hangs, and start it again",
            )


@CHECKS.enter("damage")
def _damage(survey):
    for node_id, report in survey.conditions.items():
        if isinstance(report, dict) and report["condition"] == DAMAGED:
            yield Finding(
                FAULT,
                "damage",
                f"{survey.machine(node_id)} is out of service: {report['reason']}",
                "its disk lost data that it had confirmed, or its files were modified",
                "stop it, run oakrampctl disk check, keep the folder, and replace the node by an empty one",
            )


@CHECKS.enter("seeds")
def _seeds(survey):
    failed = Counter(seed for report in survey.reports() for seed, answers in report["seeds"].items() if not answers)
    for seed, count in sorted(failed.items()):
        yield Finding(
            WARNING,
            "seeds",
            f"seed {seed} does not respond to {count} nodes",
            "that machine was removed or its address changed",
            "set a live control node as seed in the settings before the next restart",
        )


@CHECKS.enter("clocks")
def _clocks(survey):
    for report in survey.reports():
        if report["clock"]["jumps"]:
            yield Finding(
                WARNING,
                "clocks",
                f"{report['machine']}'s wall clock jumped {report['clock']['jumps']} times, last "
                f"by {report['clock']['lastJump']} s",
                "the time service, or the machine was suspended",
                "only the times in logs depend on it; check the time service",
            )


@CHECKS.enter("disks")
def _disks(survey):
    for report in survey.reports():
        disk = report.get("disk")
        if disk is None:
            continue
        if disk["broken"]:
            yield Finding(
                FAULT,
                "disks",
                f"{report['machine']}'s disk failed: {disk['broken']}",
                "a fault of the disk, or the disk is full",
                "free space: the node then returns to service by itself. Otherwise replace the machine by an empty one",
            )
        if disk["syncSeconds"] > SLOW_SYNC:
            yield Finding(
                WARNING,
                "disks",
                f"{report['machine']}'s syncs take {disk['syncSeconds']} s",
                "a slow disk",
                "other nodes take over its load meanwhile; replace the disk if it stays slow",
            )
        if disk["liveBytes"] > FULL_SHARE * disk["capacity"]:
            yield Finding(
                WARNING,
                "disks",
                f"{report['machine']}'s ring is {disk['liveBytes'] / disk['capacity']:.0%} full",
                "more state than the ring was sized for",
                "add a node with a larger ringFileSize",
            )


@CHECKS.enter("slots")
def _shards(survey):
    failed = [row["slot"] for row in survey.shards if row["owner"] is None or row["age"] > LEADERLESS_TIME_MAX]
    if failed:
        yield Finding(
            FAULT,
            "slots",
            f"{len(failed)} shards (slots) have no confirmed leader: {failed[:8]}",
            "no majority of the voters responds, or a failover is in progress",
            "start the missing control nodes; check again in 5 s",
        )


def _newest_members(survey):
    """The members of the newest voting configuration that any control node has; empty if there is none."""
    voting_configs = [report["roster"] for report in survey.reports("control") if report.get("roster")]
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
            f"{len(alive)} of {len(members)} voters respond, {spare} more may be lost",
            "control nodes are down, or their disks were lost",
            "start them, or replace a lost one: oakrampctl roster replace",
        )


@CHECKS.enter("majority")
def _majority(survey):
    for report in survey.reports("control"):
        if not report.get("majority", True):  # a release before this one does not say
            yield Finding(
                FAULT,
                "majority",
                f"{report['machine']} is partitioned: no majority of the voters responds to it",
                "a fault of the network between it and the other control nodes, or too many of them are down",
                "it responds to changes with 503 until it recovers; use another control node, and check its network",
            )


@CHECKS.enter("catching up")
def _catching_up(survey):
    if not all(survey.is_alive(node_id) for node_id in _newest_members(survey)):
        return  # a member that is down is behind as well; the roster check reports it
    for report in survey.reports("control"):
        behind = report.get("votersBehind", 0)  # a release before this one does not say
        if behind:
            yield Finding(
                WARNING,
                "catching up",
                f"{behind} voters, counted for each shard that {report['machine']} leads, lack part of its state",
                "members were unreachable, or are new; until they have caught up, there are fewer copies than voters",
                "nothing, if it ends within 10 s; otherwise check the disks and the network of these members",
            )


@CHECKS.enter("platform")
def _platform(survey):
    for report in survey.reports("control"):
        if report["platform"] is None:
            yield Finding(
                WARNING,
                "platform",
                f"{report['machine']} does not know the platform's address",
                "its settings lack `platform`",
                "give all control nodes the platform's address, and start this one again",
            )
        elif not report["platform"]:
            yield Finding(
                WARNING,
                "platform",
                f"{report['machine']} could not read the platform's list",
                "the platform is down, or this node cannot reach it; other control nodes read the list meanwhile",
                "check the platform and the network of that machine",
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
            f"{len(alive)} of {len(members)} stores respond, {spare} more may be lost",
            "a store is down, or its disk was lost",
            "start it, or replace it by an empty one: oakrampctl store replace",
        )
    for row in alive:
        if not survey.conditions[row["nodeId"]]["covers"]:
            yield Finding(
                WARNING,
                "stores",
                f"{survey.machine(row['nodeId'])} does not have all conversations yet",
                "it joined or was restarted empty, and is copying",
                "wait; oakrampctl stores shows its progress",
            )


@CHECKS.enter("hints")
def _hints(survey):
    for report in survey.reports("store"):
        for node_id, count in report["hints"].items():
            yield Finding(
                WARNING,
                "hints",
                f"{report['machine']} holds hints of {count} conversations for {survey.machine(node_id)}",
                "that store was unreachable or slow",
                "they are handed off once it responds; start it if it is down",
            )


@CHECKS.enter("copies")
def _copies(survey):
    counts = {
        report["machine"]: report["lines"]
        for report in survey.reports("store")
        if report["nodeId"] in {row["nodeId"] for row in survey.stores.get("members", [])}
    }
    if counts and max(counts.values()) > 1.1 * min(counts.values()) + 10:
        yield Finding(
            WARNING,
            "copies",
            f"stores have different numbers of conversations: {counts}",
            "a store lacks copies",
            "anti-entropy copies them within minutes; otherwise check hints and disks",
        )


@CHECKS.enter("news")
def _news(survey):
    for report in survey.reports("gate"):
        for partner, reason in report["stale"].items():
            yield Finding(
                FAULT,
                "news",
                f"{report['machine']} forwards no requests of {partner}: {reason}",
                "it cannot reach the control nodes, or the shard has no leader",
                "see the findings on slots and seeds, and check the network of that machine",
            )


@CHECKS.enter("eviction")
def _eviction(survey):
    modes = Counter(report["eviction"] for report in survey.reports("control"))
    if len(modes) > 1:
        yield Finding(
            WARNING,
            "eviction",
            f"control nodes differ in the setting eviction: {dict(modes)}",
            "settings were changed on only some machines",
            "use the same setting on all control nodes and gateways",
        )
    for service, rows in sorted(survey.placement.get("findings", {}).items()):
        placement = survey.placement["services"].get(service, {"mode": "on", "tenants": {}})
        not_moved = [
            one
            for one in rows
            if one["trapped"] and (placement["mode"] != "on" or one["tenant"] not in placement["tenants"])
        ]
        without_capacity = [one["tenant"] for one in not_moved if not one["room"]]
        if without_capacity:
            yield Finding(
                WARNING,
                "eviction",
                f"{len(without_capacity)} tenants of {service} ({', '.join(without_capacity[:3])}) evict "
                "others' prefixes and find no room",
                "the caches of the replicas are too small for all their prefixes together",
                "more replicas for the service, or larger caches; oakrampctl eviction shows the sizes",
            )
        elif not_moved and placement["mode"] != "on":
            yield Finding(
                WARNING,
                "eviction",
                f"{len(not_moved)} tenants of {service} evict each other's prefixes and are not moved",
                "the setting eviction is observe",
                "check oakrampctl eviction, and set it to on",
            )


@CHECKS.enter("versions")
def _versions(survey):
    releases = Counter(report["release"] for report in survey.reports())
    if len(releases) > 1:
        yield Finding(
            WARNING,
            "versions",
            f"releases differ: {dict(releases)}",
            "a rollout is in progress",
            "finish it; two adjacent releases are compatible",
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
                "a misspelled pool, or all its replicas have left",
                "change the bindings, or have the platform list replicas for the pool",
            )
