"""What a gate counts of one service's requests, from their prefixes and times alone: nothing is probed.

A tenant is whoever's prompts begin with the same part. Invented ids cost a bounded table, in which the least asked
gives way first, and end up in `rest`, so that their tokens still count as pressure on the cache.
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
    """The tenant of a prompt with this prefix of (id, tokens), or None if it has none."""
    if not prefix:
        return None
    name = prefix[0][0]
    return name if len(name) <= TENANT_ID_LIMIT else blake2b(name.encode(), digest_size=8).hexdigest()


def _short(name):
    """A part in a report; two that fall together only make a tenant seem to share more than it does."""
    return blake2b(name.encode(), digest_size=4).hexdigest()


@dataclass
class _Part:
    """Invariant: `program` is None once two programs have used the part."""

    tokens: int
    program: str | None
    uses: int = 0


class _Tenant:
    """Invariant: `parts` holds at most TENANT_PARTS parts. `fresh` counts the tokens of last parts, which are a
    request's own: what comes before is read anew only if it was evicted."""

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

    def told(self):
        """[requests, late ones, tokens, fresh tokens, [[part, tokens, uses, its only program or ""], most used first]]."""
        used = sorted(self.parts.items(), key=lambda pair: -pair[1].uses)[:TENANT_PARTS_REPORTED]
        return [
            *self.counts(),
            [
                [_short(name), part.tokens, part.uses, _short(part.program) if part.program else ""]
                for name, part in used
            ],
        ]


class TenantCounters:
    """Invariant: what was counted since the last `take` is in `_tenants` or in `_rest`, each request once."""

    def __init__(self):
        self._clear()

    def _clear(self):
        self._tenants = _Table(TENANTS_COUNTED, self._give_up)
        self._rest = [0, 0, 0, 0]
        self.requests = self.late = 0

    def _give_up(self, tenant):
        self._add_to_rest(*tenant.counts())

    def _add_to_rest(self, *counts):
        self._rest = [sum(pair) for pair in zip(self._rest, counts)]

    def note(self, prefix, program, is_late, most_tokens):
        """One request whose first event came; no part counts for more than the cache's `most_tokens`. Requests with no
        program count as programs of their own."""
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
        """What was counted since the last take: {"tenants": {tenant: [..]}, "rest": [requests, late, tokens, fresh]}."""
        ranked = sorted(self._tenants.items(), key=lambda pair: (-pair[1].tokens, pair[0]))
        for _, tenant in ranked[TENANTS_REPORTED:]:
            self._give_up(tenant)
        told = {"tenants": {name: tenant.told() for name, tenant in ranked[:TENANTS_REPORTED]}, "rest": self._rest}
        self._clear()
        return told


class _Table(LFUCache):
    def __init__(self, size, on_evicted):
        super().__init__(size)
        self._on_evicted = on_evicted

    def popitem(self):
        name, tenant = super().popitem()
        self._on_evicted(tenant)
        return name, tenant
