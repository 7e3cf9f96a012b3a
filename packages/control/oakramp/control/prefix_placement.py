"""The published key `placement`: tenants that evict each other's prefixes, and the replicas assigned to each of them.

Gateways report their counts to the leader of the key's shard; reports are not stored and last as long as its
leadership. A singleton task on that leader finds the tenants in mutual eviction and writes the plan, one row a service,
when it changes. The published plan is confirmed as of the task's last round: if the task stops, the plan becomes stale,
and gateways place requests as without one.
"""

import json
from collections import Counter

from schema import And

from oakramp.common.constants import (
    EVICTION_ROUND,
    FINDINGS_SHOWN,
    TENANT_ID_LIMIT,
    TENANT_PARTS_REPORTED,
    TENANTS_NAMED,
    TENANTS_REPORTED,
)
from oakramp.common.settings import EVICTION_MODES, eviction_mode
from oakramp.common.validation import NAME, check_fields, one_of, pack_json, whole
from oakramp.control.controllers import CONTROLLERS, Controller
from oakramp.control.replica_registry import REPLICAS_KEY
from oakramp.control.singleton_task import SingletonTask
from oakramp.prefix_cache.decision import Decision
from oakramp.prefix_cache.detector import Window

PLACEMENT_KEY = "placement"
ROWS = f"{PLACEMENT_KEY}#"
WINDOWS_KEY, FINDINGS_KEY = "placement windows", "placement shown"
NUMBER_LIMIT = 1 << 53


def _is_count(number):
    return type(number) is int and 0 <= number < NUMBER_LIMIT


def _is_tenant_report(row):
    return (
        isinstance(row, list)
        and len(row) == 5
        and all(map(_is_count, row[:4]))
        and row[0] > 0
        and isinstance(row[4], list)
        and len(row[4]) <= TENANT_PARTS_REPORTED
        and all(map(_is_part_report, row[4]))
    )


def _is_part_report(part):
    return (
        isinstance(part, list)
        and len(part) == 4
        and all(map(_is_count, part[1:3]))
        and all(isinstance(name, str) and len(name) <= TENANT_ID_LIMIT for name in (part[0], part[3]))
    )


REPORT = {
    "cache": whole(1, NUMBER_LIMIT),
    "tenants": And(
        dict,
        lambda rows: (
            len(rows) <= TENANTS_REPORTED
            and all(map(_is_tenant_report, rows.values()))
            and all(len(name) <= TENANT_ID_LIMIT for name in rows)
        ),
        error="must map tenants to lists of [requests, late, tokens, fresh, parts]",
    ),
    "rest": And(
        [whole(0, NUMBER_LIMIT)], lambda counts: len(counts) == 4, error="must be [requests, late, tokens, fresh]"
    ),
}


# Invariants of the key: the head's version rises with each change of a row; a row assigns its tenants only replicas
# that were ready when it was written.


def _add_report(transaction, key, arguments):
    check_fields({"gate": str, "number": whole(0, NUMBER_LIMIT), "services": dict}, arguments)
    windows = transaction.context.local_state.setdefault(WINDOWS_KEY, {})
    for service, report in arguments["services"].items():
        check_fields(REPORT, report)
        windows.setdefault(service, Window()).add(
            transaction.context.now, arguments["gate"], arguments["number"], report
        )
    return {}


def _rows(transaction):
    return {key.partition("#")[2]: transaction.get(key) for key in transaction.committed_keys(ROWS)}


def _set_row(transaction, key, arguments):
    check_fields({"service": NAME, "mode": one_of(*EVICTION_MODES), "tenants": dict}, arguments)
    version = (transaction.get(key) or {"version": 0})["version"] + 1
    transaction.put(key, {"version": version})
    row = {"mode": arguments["mode"], "tenants": arguments["tenants"]}
    transaction.put(ROWS + arguments["service"], row if row["tenants"] else None)
    return {"version": version}


def _read_placement(transaction, key, _arguments):
    return {
        "version": (transaction.get(key) or {"version": 0})["version"],
        "services": _rows(transaction),
        "findings": transaction.context.local_state.get(FINDINGS_KEY, {}),
    }


def _snapshot(transaction, key):
    """One item for each service: {tenant: replicas}. Rows in a mode other than `on` are not published to gateways."""
    return (transaction.get(key) or {"version": 0})["version"], {
        service: pack_json({tenant: one["replicas"] for tenant, one in row["tenants"].items()})
        for service, row in _rows(transaction).items()
        if row["mode"] == "on"
    }


CONTROLLERS.enter(PLACEMENT_KEY)(
    Controller({"report": _add_report, "set": _set_row, "read": _read_placement}, snapshot=_snapshot)
)


def findings_shown(outcome):
    """The findings as shown to operators, the worst first."""
    worst = sorted(outcome.findings.values(), key=lambda one: (-one.evicted * one.load.rate, one.tenant))[
        :FINDINGS_SHOWN
    ]
    return [
        {
            "tenant": one.tenant,
            "requests": one.load.requests,
            "late": round(one.load.late, 3),
            "evicted": round(one.evicted, 3),
            "alone": round(one.alone, 3),
            "working_set": round(one.load.common),
            "trapped": one.is_trapped,
            "room": one.tenant not in outcome.without_room,
        }
        for one in worst
    ]


class PrefixPlacementTask(SingletonTask):
    """Finds tenants in mutual eviction and assigns them replicas.

    Invariant: `poll_times[PLACEMENT_KEY]` of the leaders' publisher is when the last complete round of this task began.
    """

    def __init__(self, node, leaders):
        super().__init__(node, leaders, PLACEMENT_KEY, EVICTION_ROUND)
        self._decisions, self._decided_leader = {}, None
        self._logged = {}
        self.counts = Counter()
        leaders.publisher.poll_times[PLACEMENT_KEY] = float("-inf")

    @property
    def mode(self):
        return eviction_mode(self._node.env)

    async def _work(self, leader):
        if self.mode == "off":
            return
        if leader is not self._decided_leader:
            self._decisions, self._decided_leader, self._logged = {}, leader, {}
        now = self._node.reactor.seconds()
        windows = leader.local_state.get(WINDOWS_KEY, {})
        rows = (await leader.do(PLACEMENT_KEY, "read", {}))["services"]
        ready = self._ready_replicas() if windows or rows else {}
        leader.local_state[FINDINGS_KEY] = {}
        for service in sorted(windows.keys() | rows.keys()):
            await self._place_service(
                leader, service, windows.setdefault(service, Window()), rows.get(service), ready.get(service, []), now
            )
        if not leader.ended:
            self._leaders.publisher.poll_times[PLACEMENT_KEY] = now

    def _ready_replicas(self):
        """The ids of the replicas that are ready, by service."""
        ready = {}
        for name, value in sorted(self._node.state_table.values(REPLICAS_KEY).items()):
            row = json.loads(value)
            if row["state"] == "ready":
                ready.setdefault(row["pool"], []).append(name)
        return ready

    async def _place_service(self, leader, service, window, row, replicas, now):
        loads, flow = window.loads(now)
        if not loads and row is None:
            del leader.local_state[WINDOWS_KEY][service]
            self._decisions.pop(service, None)
            return
        previous = row["tenants"] if row else {}
        outcome = self._decisions.setdefault(service, Decision()).next(
            loads, flow, window.cache_tokens, replicas, previous
        )
        leader.local_state[FINDINGS_KEY][service] = findings_shown(outcome)
        self._log_findings(service, outcome)
        if outcome.rows != previous or (row and row["mode"] != self.mode):
            await leader.do(PLACEMENT_KEY, "set", {"service": service, "mode": self.mode, "tenants": outcome.rows})
            self.counts.update(moved=len(outcome.moved), let_go=len(outcome.released))
            self._node.log.info(
                "eviction_plan_changed",
                service=service,
                mode=self.mode,
                tenants=len(outcome.rows),
                moved=len(outcome.moved),
                let_go=len(outcome.released),
                first=",".join((outcome.moved or outcome.released)[:TENANTS_NAMED]),
            )

    def _log_findings(self, service, outcome):
        """Logs when tenants begin or cease to be trapped, or to be without room; not in every round."""
        trapped = sorted(name for name, one in outcome.findings.items() if one.is_trapped)
        for event, names in (("eviction_detected", trapped), ("eviction_capacity_missing", outcome.without_room)):
            if bool(names) != bool(self._logged.get((event, service))):
                self._node.log.info(event, service=service, tenants=len(names), first=",".join(names[:TENANTS_NAMED]))
            self._logged[event, service] = names
