"""Detects the tenants that are trapped in mutual eviction, at the shard leader, from all gateways' reports.

A tenant is evicted if a large share of its prompt tokens is read again because other tenants evicted them. It is
trapped if also the responses of all evicted tenants taken together are late: a slow tenant sends too few requests for a
judgement of its own, and in a trap there are many such tenants. The first condition distinguishes a trap from other
causes: after a cold start or a replaced replica the working sets fit, a long prompt is always read once, an overloaded
service is late without evictions, and a tenant whose own working set is larger than the cache evicts itself; in none of
these cases would moving help. Once a tenant is trapped, all evicted ones are moved: they evict each other, and one left
behind would go on doing so.
"""

from collections import deque
from dataclasses import dataclass, replace

from oakramp.common.constants import (
    CACHE_USABLE,
    COMMON_SHARE,
    COMMON_USES,
    END_ROUNDS,
    EVICTED_END,
    EVICTED_SHARE,
    EVICTION_ROUND,
    EVICTION_WINDOW,
    REPORTING_GATEWAYS,
    TRAP_LATE,
    TRAP_REQUESTS,
    TRAP_ROUNDS,
)
from oakramp.prefix_cache.cache_model import characteristic_time, hit_share


@dataclass(frozen=True)
class Load:
    """One tenant's requests over a window. `common` is the working set that its programs share, in tokens; `tokens` are
    those of a whole prompt and `fresh` those that are new in it, on average; `late` is a share."""

    requests: int
    rate: float
    late: float
    common: float
    tokens: float
    fresh: float


@dataclass(frozen=True)
class Finding:
    """The judgement on one tenant, with its reasons. Shares of its prompt tokens: `evicted` are read again because of
    other tenants, `alone` would be read again if it had the replicas to itself."""

    tenant: str
    load: Load
    evicted: float
    alone: float
    is_evicted: bool
    is_trapped: bool = False


class Window:
    """The latest reports of a service's gateways. Invariants: none is older than EVICTION_WINDOW; since a report that
    arrives twice would count twice, one is accepted for each (gateway, number)."""

    def __init__(self):
        self._reports, self._last = deque(), {}
        self.cache_tokens = 0

    def add(self, now, gate, number, report):
        """Adds a report and returns whether it was new. `report` is {"cache": tokens, "tenants": .., "rest": ..}."""
        if self._last.get(gate, -1) >= number or (gate not in self._last and len(self._last) >= REPORTING_GATEWAYS):
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
        """Returns ({tenant: Load}, tokens/s of all the others), over the part of the window that reports cover."""
        self._expire(now)
        span = min(EVICTION_WINDOW, now - self._reports[0][0] + EVICTION_ROUND) if self._reports else EVICTION_WINDOW
        totals, parts = {}, {}
        for _, _, report in self._reports:
            for tenant, (*counts, told) in report["tenants"].items():
                totals[tenant] = [sum(pair) for pair in zip(totals.get(tenant, (0, 0, 0, 0)), counts)]
                of_tenant = parts.setdefault(tenant, {})
                for name, size, uses, program in told:
                    known = of_tenant.setdefault(name, [0, 0, set()])
                    known[0], known[1] = max(known[0], size), known[1] + uses
                    known[2].add(program)
        flow = sum(report["rest"][3] for _, _, report in self._reports) / span
        return {tenant: self._load(span, *total, parts[tenant].values()) for tenant, total in totals.items()}, flow

    def _load(self, span, requests, late, tokens, fresh, parts):
        least = max(COMMON_USES, COMMON_SHARE * requests)
        common = sum(size for size, uses, programs in parts if uses >= least and ("" in programs or len(programs) > 1))
        common, tokens = min(common, self.cache_tokens), tokens / requests
        return Load(
            requests, requests / span, late / requests, common, tokens, max(0.0, min(fresh / requests, tokens - common))
        )


def pressure(loads, flow, count):
    """Returns (working sets, flow) of one of `count` replicas over which all requests are spread evenly."""
    return (
        [(load.common, load.rate / count) for load in loads.values()],
        (flow + sum(load.rate * load.fresh for load in loads.values())) / count,
    )


def findings_of(loads, flow, cache_tokens, count):
    """Returns {tenant: Finding} as if no tenant had been moved."""
    usable = CACHE_USABLE * cache_tokens
    together = characteristic_time(usable, *pressure(loads, flow, count))
    findings = {tenant: _finding(tenant, load, usable, count, together) for tenant, load in loads.items()}
    evicted = [finding.load for finding in findings.values() if finding.is_evicted]
    requests = sum(load.requests for load in evicted)
    if requests < TRAP_REQUESTS or sum(load.requests * load.late for load in evicted) < TRAP_LATE * requests:
        return findings
    return {tenant: replace(finding, is_trapped=finding.is_evicted) for tenant, finding in findings.items()}


def _finding(tenant, load, usable, count, together):
    alone = characteristic_time(usable, *pressure({tenant: load}, 0.0, count))
    rate, weight = load.rate / count, load.common / max(1.0, load.tokens)
    by_itself = (1 - hit_share(rate, alone)) * weight
    evicted = (hit_share(rate, alone) - hit_share(rate, together)) * weight
    return Finding(tenant, load, evicted, by_itself, evicted >= EVICTED_SHARE)


class Detector:
    """Invariant: `_trapped` counts the consecutive rounds with a trap, `_calm` for each moved tenant those in which
    it sent nothing, or in which no tenant would be evicted."""

    def __init__(self):
        self._trapped, self._calm = 0, {}

    def judge(self, findings, moved):
        """Returns (tenants to be moved, those of `moved` to be released)."""
        self._trapped = self._trapped + 1 if any(finding.is_trapped for finding in findings.values()) else 0
        is_calm = not any(finding.evicted >= EVICTED_END for finding in findings.values())
        self._calm = {name: self._calm.get(name, 0) + 1 for name in moved if is_calm or name not in findings}
        is_trap = bool(moved) or self._trapped >= TRAP_ROUNDS
        return (
            {name for name, finding in findings.items() if is_trap and finding.is_evicted and name not in moved},
            {name for name, rounds in self._calm.items() if rounds >= END_ROUNDS},
        )
