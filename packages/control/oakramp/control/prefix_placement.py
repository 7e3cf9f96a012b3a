"""The published key `placement`: tenants in mutual eviction, and the replicas that each of them is given.

Gates report to the owner what they count; reports live only as long as this ownership and are written nowhere. The duty
of the key's owner finds who is trapped and writes the plan, a row a service, when it changes. The plan's news are as
new as the duty's last round, so that a plan that nobody looks after any more grows old, and gates place as ever.
"""

import json
from collections import Counter

from schema import And

from oakramp.common.constants import (
    EVICTION_ROUND,
    FINDINGS_SHOWN,
    TENANT_ID_LIMIT,
    TENANT_PARTS_TOLD,
    TENANTS_NAMED,
    TENANTS_TOLD,
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
WINDOWS, SHOWN = "placement windows", "placement shown"
HIGHEST = 1 << 53


def _is_count(number):
    return type(number) is int and 0 <= number < HIGHEST


def _is_tenant(row):
    return (
        isinstance(row, list)
        and len(row) == 5
        and all(map(_is_count, row[:4]))
        and row[0] > 0
        and isinstance(row[4], list)
        and len(row[4]) <= TENANT_PARTS_TOLD
        and all(map(_is_part, row[4]))
    )


def _is_part(part):
    return (
        isinstance(part, list)
        and len(part) == 4
        and all(map(_is_count, part[1:3]))
        and all(isinstance(name, str) and len(name) <= TENANT_ID_LIMIT for name in (part[0], part[3]))
    )


REPORT = {
    "cache": whole(1, HIGHEST),
    "tenants": And(
        dict,
        lambda rows: (
            len(rows) <= TENANTS_TOLD
            and all(map(_is_tenant, rows.values()))
            and all(len(name) <= TENANT_ID_LIMIT for name in rows)
        ),
        error="must map tenants to [requests, late, tokens, fresh, parts]",
    ),
    "rest": And([whole(0, HIGHEST)], lambda counts: len(counts) == 4, error="must be [requests, late, tokens, fresh]"),
}


# placement. Invariants: the head's version rises with each change of a row; a row's tenants name replicas that were
# ready.


def _report(transaction, key, arguments):
    check_fields({"gate": str, "number": whole(0, HIGHEST), "services": dict}, arguments)
    windows = transaction.context.marks.setdefault(WINDOWS, {})
    for service, report in arguments["services"].items():
        check_fields(REPORT, report)
        windows.setdefault(service, Window()).add(
            transaction.context.now, arguments["gate"], arguments["number"], report
        )
    return {}


def _rows(transaction):
    return {key.partition("#")[2]: transaction.get(key) for key in transaction.committed_keys(ROWS)}


def _set(transaction, key, arguments):
    check_fields({"service": NAME, "mode": one_of(*EVICTION_MODES), "tenants": dict}, arguments)
    version = (transaction.get(key) or {"version": 0})["version"] + 1
    transaction.put(key, {"version": version})
    row = {"mode": arguments["mode"], "tenants": arguments["tenants"]}
    transaction.put(ROWS + arguments["service"], row if row["tenants"] else None)
    return {"version": version}


def _read(transaction, key, _arguments):
    return {
        "version": (transaction.get(key) or {"version": 0})["version"],
        "services": _rows(transaction),
        "findings": transaction.context.marks.get(SHOWN, {}),
    }


def _snapshot(transaction, key):
    """An item a service: {tenant: replicas}. What is only tried out is told to no gate."""
    return (transaction.get(key) or {"version": 0})["version"], {
        service: pack_json({tenant: one["replicas"] for tenant, one in row["tenants"].items()})
        for service, row in _rows(transaction).items()
        if row["mode"] == "on"
    }


CONTROLLERS.enter(PLACEMENT_KEY)(Controller({"report": _report, "set": _set, "read": _read}, snapshot=_snapshot))


def shown(outcome):
    """The findings as operators see them, the worst first."""
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
    """Invariant: `leaders.pollTimes[placement]` is when this holder's last whole round began."""

    def __init__(self, node, leaders):
        super().__init__(node, leaders, PLACEMENT_KEY, EVICTION_ROUND)
        self._decisions, self._decided_for = {}, None
        self._told = {}
        self.counts = Counter()
        leaders.publisher.poll_times[PLACEMENT_KEY] = float("-inf")

    @property
    def mode(self):
        return eviction_mode(self._node.env)

    async def _work(self, owner):
        if self.mode == "off":
            return
        if owner is not self._decided_for:
            self._decisions, self._decided_for, self._told = {}, owner, {}
        now = self._node.reactor.seconds()
        windows = owner.marks.get(WINDOWS, {})
        rows = (await owner.do(PLACEMENT_KEY, "read", {}))["services"]
        ready = self._ready() if windows or rows else {}
        owner.marks[SHOWN] = {}
        for service in sorted(windows.keys() | rows.keys()):
            await self._round_of(
                owner, service, windows.setdefault(service, Window()), rows.get(service), ready.get(service, []), now
            )
        if not owner.ended:
            self._owners.publisher.poll_times[PLACEMENT_KEY] = now

    def _ready(self):
        """The ids of the replicas that are ready, by service."""
        ready = {}
        for name, value in sorted(self._node.state_table.values(REPLICAS_KEY).items()):
            row = json.loads(value)
            if row["state"] == "ready":
                ready.setdefault(row["pool"], []).append(name)
        return ready

    async def _round_of(self, owner, service, window, row, replicas, now):
        loads, flow = window.loads(now)
        if not loads and row is None:
            del owner.marks[WINDOWS][service]
            self._decisions.pop(service, None)
            return
        previous = row["tenants"] if row else {}
        outcome = self._decisions.setdefault(service, Decision()).next(
            loads, flow, window.cache_tokens, replicas, previous
        )
        owner.marks[SHOWN][service] = shown(outcome)
        self._tell(service, outcome)
        if outcome.rows != previous or (row and row["mode"] != self.mode):
            await owner.do(PLACEMENT_KEY, "set", {"service": service, "mode": self.mode, "tenants": outcome.rows})
            self.counts.update(moved=len(outcome.moved), let_go=len(outcome.let_go))
            self._node.log.info(
                "eviction_plan_changed",
                service=service,
                mode=self.mode,
                tenants=len(outcome.rows),
                moved=len(outcome.moved),
                let_go=len(outcome.let_go),
                first=",".join((outcome.moved or outcome.let_go)[:TENANTS_NAMED]),
            )

    def _tell(self, service, outcome):
        """One line when who is trapped, or who finds no room, changes; not one a round."""
        trapped = sorted(name for name, one in outcome.findings.items() if one.is_trapped)
        for event, names in (("eviction_detected", trapped), ("eviction_capacity_missing", outcome.without_room)):
            if bool(names) != bool(self._told.get((event, service))):
                self._node.log.info(event, service=service, tenants=len(names), first=",".join(names[:TENANTS_NAMED]))
            self._told[event, service] = names
