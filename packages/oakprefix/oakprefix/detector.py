"""Which tenants are trapped in mutual eviction: the owner's side, from all gates' reports.

A tenant is evicted if a good share of its prompt tokens is read again because others evicted them, and trapped if its
answers are late besides, for some rounds in a row. The first is what tells a trap apart: after a cold start or a replaced replica the sets
fit, a long prompt is read once by nature, an overloaded service is late without evictions, and a tenant whose own working
set is larger than the cache evicts itself; in none of these would moving help.
Once somebody is trapped, all who are evicted are moved: they evict each other, and one left behind goes on doing so.
"""
from collections import deque
from dataclasses import dataclass

from oakbase.constants import (CACHE_USABLE, COMMON_SHARE, COMMON_USES, END_ROUNDS, EVICTED_END, EVICTED_SHARE,
                               EVICTION_WINDOW, REPORT_GATES, TENANT_LATE, TENANT_REQUESTS, TRAP_ROUNDS)
from oakprefix.cache_model import characteristic_time, hit_share


@dataclass(frozen=True)
class Load:
    """One tenant's requests over a window. `common` is the working set that its requests share, in tokens; `tokens` are
    those of a whole prompt, on average, `late` a share."""

    requests: int
    rate: float
    late: float
    common: float
    tokens: float

    @property
    def fresh(self):
        """Tokens of a prompt that no other request shares."""
        return max(0.0, self.tokens - self.common)


@dataclass(frozen=True)
class Finding:
    """What is thought of one tenant, and why. Shares of its prompt tokens: `evicted` read again because of others,
    `alone` read again if it had the replicas to itself."""

    tenant: str
    load: Load
    evicted: float
    alone: float
    is_evicted: bool
    is_late: bool


class Window:
    """The last reports of a service's gates. Invariants: none is older than EVICTION_WINDOW; a gate that reports twice at
    once counts twice, so a report is taken once for each (gate, number)."""

    def __init__(self):
        self._reports, self._last = deque(), {}
        self.cache_tokens = 0

    def add(self, now, gate, number, report):
        """Whether it was new. `report` is {"cache": tokens, "tenants": .., "rest": ..}."""
        if self._last.get(gate, -1) >= number or (gate not in self._last and len(self._last) >= REPORT_GATES):
            return False
        self._last[gate] = number
        self._reports.append((now, gate, report))
        self.cache_tokens = report["cache"]
        return True

    def _expire(self, now):
        while self._reports and self._reports[0][0] <= now - EVICTION_WINDOW:
            self._reports.popleft()
        gates = {gate for _, gate, _ in self._reports}
        self._last = {gate: number for gate, number in self._last.items() if gate in gates}

    def loads(self, now):
        """({tenant: Load}, tokens/s of all the others)."""
        self._expire(now)
        totals, parts = {}, {}
        for _, _, report in self._reports:
            for tenant, (requests, late, tokens, told) in report["tenants"].items():
                totals[tenant] = [sum(pair) for pair in zip(totals.get(tenant, (0, 0, 0)), (requests, late, tokens))]
                for name, size, uses in told:
                    known = parts.setdefault(tenant, {}).get(name, (0, 0))
                    parts[tenant][name] = (max(known[0], size), known[1] + uses)
        flow = sum(report["rest"][2] for _, _, report in self._reports) / EVICTION_WINDOW
        return {tenant: self._load(*total, parts.get(tenant, {}).values()) for tenant, total in totals.items()}, flow

    def _load(self, requests, late, tokens, parts):
        least = max(COMMON_USES, COMMON_SHARE * requests)
        common = min(sum(size for size, uses in parts if uses >= least), self.cache_tokens)
        return Load(requests, requests / EVICTION_WINDOW, late / requests, common, tokens / requests)


def pressure(loads, flow, count):
    """(working sets, flow) of one of `count` replicas over which all requests are spread evenly."""
    return ([(load.common, load.rate / count) for load in loads.values()],
            (flow + sum(load.rate * load.fresh for load in loads.values())) / count)


def findings_of(loads, flow, cache_tokens, count):
    """{tenant: Finding} as if nobody had been moved."""
    usable = CACHE_USABLE * cache_tokens
    together = characteristic_time(usable, *pressure(loads, flow, count))
    return {tenant: _finding(tenant, load, usable, count, together) for tenant, load in loads.items()}


def _finding(tenant, load, usable, count, together):
    alone = characteristic_time(usable, *pressure({tenant: load}, 0.0, count))
    rate, weight = load.rate / count, load.common / max(1.0, load.tokens)
    by_itself = (1 - hit_share(rate, alone)) * weight
    evicted = (hit_share(rate, alone) - hit_share(rate, together)) * weight
    return Finding(tenant, load, evicted, by_itself, load.requests >= TENANT_REQUESTS and evicted >= EVICTED_SHARE,
                   load.late >= TENANT_LATE)


class Detector:
    """Invariant: `_evicted` and `_trapped` count for each tenant the rounds in a row in which it was so, `_calm` those in
    which one that is moved would not be evicted."""

    def __init__(self):
        self._evicted, self._trapped, self._calm = {}, {}, {}

    def judge(self, findings, moved):
        """(tenants that are to be moved, those of `moved` that are to be let go)."""
        evicted = {name: finding for name, finding in findings.items() if finding.is_evicted}
        self._evicted = _counted(self._evicted, evicted)
        self._trapped = _counted(self._trapped, [name for name, finding in evicted.items() if finding.is_late])
        self._calm = _counted(self._calm, [name for name in moved if self._is_calm(findings.get(name))])
        is_trap = bool(moved) or any(rounds >= TRAP_ROUNDS for rounds in self._trapped.values())
        return ({name for name, rounds in self._evicted.items() if is_trap and rounds >= TRAP_ROUNDS and name not in moved},
                {name for name, rounds in self._calm.items() if rounds >= END_ROUNDS})

    @staticmethod
    def _is_calm(finding):
        return finding is None or finding.load.requests < TENANT_REQUESTS / 2 or finding.evicted < EVICTED_END


def _counted(rounds, names):
    return {name: rounds.get(name, 0) + 1 for name in names}
