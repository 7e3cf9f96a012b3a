"""The tenants of a routing table, looked up by the API key that a request presents.

Keys are looked up by a keyed hash to prevent timing attacks. A plain comparison, or a map of plain keys, takes a time
that depends on how much of a guess is correct, so an attacker who measures enough responses could find a key piece by
piece. The key of the hash is drawn at random when the process starts and never leaves it: no client can tell which
guesses have similar digests, so the time of a lookup reveals nothing about the keys. This also keeps plain keys out of
the table: the only copy in a gateway is the published configuration, from which the next version is read.
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
    """A tenant in a routing table: its keys, and the priority of its requests or None to use the routes' priorities."""

    keys: list[str]
    priority: int | None


@dataclass(frozen=True)
class Tenant:
    """The owner of a request. `priority` is that of its requests (0 is the highest), or None to use the routes'."""

    name: str
    priority: int | None


class TenantTable:
    """The tenants of one version of the routing, immutable.

    `rows` are the tenants by name, or None if the configuration has no such section, in which case no request needs a
    key. With an empty section every request needs a key, and no key is known.
    """

    def __init__(self, rows: Mapping[str, TenantRow] | None) -> None:
        self.is_required = rows is not None  # whether requests need a key, except on keyless routes
        self._by_digest: dict[bytes, tuple[bytes, Tenant]] = {}
        for name, row in (rows or {}).items():
            tenant = Tenant(name, row["priority"])
            for key in row["keys"]:
                digest = _digest_of(key)
                self._by_digest[digest] = digest, tenant

    def find(self, key: str | None) -> Tenant | None:
        """The tenant that holds this key; None if the key is missing or no tenant holds it."""
        if key is None:
            return None
        digest = _digest_of(key)
        known, tenant = self._by_digest.get(digest, (b"", None))
        return tenant if compare_digest(known, digest) else None


def _digest_of(key: str) -> bytes:
    return blake2b(key.encode("utf-8", "surrogatepass"), digest_size=DIGEST_BYTES, key=_HASH_KEY).digest()
