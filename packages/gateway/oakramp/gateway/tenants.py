"""Whose request it is: the tenants of a routing table, found by the key that a request presents.

The look-up is by a keyed hash. A plain comparison, or a map of plain keys, takes a time that depends on how much of a
guess is right, so whoever measures enough answers finds a key piece by piece. The hash's own key is drawn when the
process starts and never leaves it: no caller can tell which guesses have digests that are alike, so the time of a
look-up says nothing about the keys. It also keeps plain keys out of this table: the only copy in a gateway is the
configuration as it was published, from which the next version is read.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b
from hmac import compare_digest
from secrets import token_bytes
from typing import TypedDict

DIGEST_BYTES = 32
_HASH_KEY = token_bytes(blake2b.MAX_KEY_SIZE)


class TenantRow(TypedDict):
    """A tenant in a routing table: its keys, and the priority of its requests or None for that of their routes."""

    keys: list[str]
    priority: int | None


@dataclass(frozen=True)
class Tenant:
    """Who a request belongs to. `priority` is that of its requests (0 goes first), or None for their routes' own."""

    name: str
    priority: int | None


class TenantTable:
    """The tenants of one version of the routing, immutable.

    `rows` are the tenants by name, or None if the configuration has no such section: no request needs a key then. With
    a section that is empty every request needs one, and none is known.
    """

    def __init__(self, rows: Mapping[str, TenantRow] | None) -> None:
        self.is_required = rows is not None  # whether each request needs a key
        self._by_digest: dict[bytes, tuple[bytes, Tenant]] = {}
        for name, row in (rows or {}).items():
            tenant = Tenant(name, row["priority"])
            for key in row["keys"]:
                digest = _digest_of(key)
                self._by_digest[digest] = digest, tenant

    def find(self, key: str | None) -> Tenant | None:
        """The tenant that holds this key; None for no key, and for one that no tenant holds."""
        if key is None:
            return None
        digest = _digest_of(key)
        known, tenant = self._by_digest.get(digest, (b"", None))
        return tenant if compare_digest(known, digest) else None


def _digest_of(key: str) -> bytes:
    return blake2b(key.encode("utf-8", "surrogatepass"), digest_size=DIGEST_BYTES, key=_HASH_KEY).digest()
