"""A gateway's counts of one service's requests, taken from their prefixes and times alone, without probes.

Requests whose prompts begin with the same part belong to one tenant. The table is bounded in case a client invents ids:
the least requested tenant is evicted first, and counted in `rest`, so that its tokens still count as pressure on the
cache.
"""

from dataclasses import dataclass
from hashlib import blake2b

from cachetools import LFUCache

from oakramp.common.constants import (
    TENANT_ID_LIMIT,
    TENANT_PARTS,
    TENANT_PARTS_REPORTED,
    TENANTS_COUNTED,
    TENANTS_REPORTED,
)


def tenant_of(prefix):
    """Returns the tenant of a prompt with this prefix of (id, tokens), or None if the prefix is empty."""
    if not prefix:
        return None
    name = prefix[0][0]
    return name if len(name) <= TENANT_ID_LIMIT else blake2b(name.encode(), digest_size=8).hexdigest()


def _short(name):
    """Returns the short id of a part in a report; a collision only makes a tenant seem to share more than it does."""
    return blake2b(name.encode(), digest_size=4).hexdigest()


@dataclass
class _Part:
    """Invariant: `program` is None once two programs have used the part."""

    tokens: int
    program: str | None
    uses: int = 0


class _Tenant:
    """Invariant: `parts` holds at most TENANT_PARTS parts. `fresh` counts the tokens of last parts, which are a
    request's own: the parts before are read anew only if they were evicted."""

    __slots__ = ("requests", "late", "tokens", "fresh", "parts")

    def __init__(self):
        self.requests = self.late = self.tokens = self.fresh = 0
        self.parts = {}

    def note(self, prefix, program, most):
        for name, tokens in prefix:
            if name not in self.parts and len(self.parts) >= TENANT_PARTS:
                break
            part = self.parts.setdefault(name, _Part(min(tokens, most), program))
            part.uses += 1
            if part.program != program:
                part.program = None

    def counts(self):
        return self.requests, self.late, self.tokens, self.fresh

    def report(self):
        """[requests, late ones, tokens, fresh tokens, [[part, tokens, uses, its only program or ""], most used
        first]]."""
        used = sorted(self.parts.items(), key=lambda pair: -pair[1].uses)[:TENANT_PARTS_REPORTED]
        return [
            *self.counts(),
            [
                [_short(name), part.tokens, part.uses, _short(part.program) if part.program else ""]
                for name, part in used
            ],
        ]


class TenantCounters:
    """Invariant: each request counted since the last `take` is either in `_tenants` or in `_rest`."""

    def __init__(self):
        self._clear()

    def _clear(self):
        self._tenants = _Table(TENANTS_COUNTED, self._move_to_rest)
        self._rest = [0, 0, 0, 0]
        self.requests = self.late = 0

    def _move_to_rest(self, tenant):
        self._add_to_rest(*tenant.counts())

    def _add_to_rest(self, *counts):
        self._rest = [sum(pair) for pair in zip(self._rest, counts)]

    def note(self, prefix, program, is_late, most_tokens):
        """Counts one request whose first event has arrived; a part counts for at most the cache's `most_tokens`. A
        request without a program counts as a program of its own."""
        name = tenant_of(prefix)
        self.requests += 1
        self.late += is_late
        tokens = min(sum(tokens for _, tokens in prefix), most_tokens)
        fresh = min(prefix[-1][1], tokens) if prefix else 0
        if name is None:
            self._add_to_rest(1, is_late, tokens, fresh)
            return
        tenant = self._tenants.get(name)
        if tenant is None:
            tenant = self._tenants[name] = _Tenant()
        tenant.requests += 1
        tenant.late += is_late
        tenant.tokens += tokens
        tenant.fresh += fresh
        tenant.note(prefix, program or f"request {self.requests}", most_tokens)

    def take(self):
        """Returns the counts since the last call: {"tenants": {tenant: [..]}, "rest": [requests, late, tokens,
        fresh]}."""
        ranked = sorted(self._tenants.items(), key=lambda pair: (-pair[1].tokens, pair[0]))
        for _, tenant in ranked[TENANTS_REPORTED:]:
            self._move_to_rest(tenant)
        report = {"tenants": {name: tenant.report() for name, tenant in ranked[:TENANTS_REPORTED]}, "rest": self._rest}
        self._clear()
        return report


class _Table(LFUCache):
    def __init__(self, size, on_evicted):
        super().__init__(size)
        self._on_evicted = on_evicted

    def popitem(self):
        name, tenant = super().popitem()
        self._on_evicted(tenant)
        return name, tenant
