"""What a gate counts of one service's requests, from their prefixes and times alone: nothing is probed.

A tenant is whoever's prompts begin with the same part. Invented ids cost a bounded table, in which the least asked gives
way first, and end up in `rest`, so that their tokens still count as pressure on the cache.
"""
from collections import Counter
from hashlib import blake2b

from cachetools import LFUCache

from oakbase.constants import TENANT_ID_LIMIT, TENANT_PARTS, TENANT_PARTS_TOLD, TENANTS_COUNTED, TENANTS_TOLD


def tenant_of(prefix):
    """The tenant of a prompt with this prefix of (id, tokens), or None if it has none."""
    if not prefix:
        return None
    name = prefix[0][0]
    return name if len(name) <= TENANT_ID_LIMIT else blake2b(name.encode(), digest_size=8).hexdigest()


def _short(name):
    """A part in a report; two that fall together only make a tenant seem to share more than it does."""
    return blake2b(name.encode(), digest_size=4).hexdigest()


class _Tenant:
    """Invariant: `parts` maps at most TENANT_PARTS parts to their tokens, `uses` counts just these."""

    __slots__ = ("requests", "late", "tokens", "parts", "uses")

    def __init__(self):
        self.requests = self.late = self.tokens = 0
        self.parts, self.uses = {}, Counter()

    def note(self, prefix, most):
        for name, tokens in prefix:
            if name not in self.parts and len(self.parts) >= TENANT_PARTS:
                break
            self.parts[name] = min(tokens, most)
            self.uses[name] += 1

    def told(self):
        """[requests, late ones, tokens, [[part, tokens, uses], most used first]]."""
        return [self.requests, self.late, self.tokens,
                [[_short(name), self.parts[name], uses] for name, uses in self.uses.most_common(TENANT_PARTS_TOLD)]]


class TenantCounters:
    """Invariant: what was counted since the last `take` is in `_tenants` or in `_rest`, each request once."""

    def __init__(self):
        self._clear()

    def _clear(self):
        self._tenants = _Table(TENANTS_COUNTED, self._give_up)
        self._rest = [0, 0, 0]
        self.requests = self.late = 0

    def _give_up(self, tenant):
        self._rest = [sum(pair) for pair in zip(self._rest, (tenant.requests, tenant.late, tenant.tokens))]

    def note(self, prefix, is_late, most_tokens):
        """One request whose first event came; no part counts for more than the cache's `most_tokens`."""
        name = tenant_of(prefix)
        tokens = min(sum(tokens for _, tokens in prefix), most_tokens)
        self.requests += 1
        self.late += is_late
        if name is None:
            self._rest = [self._rest[0] + 1, self._rest[1] + is_late, self._rest[2] + tokens]
            return
        tenant = self._tenants.get(name)
        if tenant is None:
            tenant = self._tenants[name] = _Tenant()
        tenant.requests += 1
        tenant.late += is_late
        tenant.tokens += tokens
        tenant.note(prefix, most_tokens)

    def take(self):
        """What was counted since the last take: {"tenants": {tenant: [..]}, "rest": [requests, late, tokens]}."""
        ranked = sorted(self._tenants.items(), key=lambda pair: (-pair[1].tokens, pair[0]))
        for _, tenant in ranked[TENANTS_TOLD:]:
            self._give_up(tenant)
        told = {"tenants": {name: tenant.told() for name, tenant in ranked[:TENANTS_TOLD]}, "rest": self._rest}
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
