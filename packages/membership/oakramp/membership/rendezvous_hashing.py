"""Rendezvous hashing: who of the candidates is named for a key, with no table to agree on."""

from hashlib import blake2b


def score(candidate, key):
    """The weight of a candidate for a key, as bytes to compare."""
    return blake2b(f"{candidate}\0{key}".encode(), digest_size=8).digest()


def ranked(candidates, key):
    """All candidates, the one named first in front."""
    return sorted(candidates, key=lambda candidate: (score(candidate, key), candidate), reverse=True)


def named(candidates, key, count):
    """The first `count` candidates for a key."""
    return ranked(candidates, key)[:count]


def shard_of(key, shard_count):
    """The shard of a key, from 0 to `shard_count` - 1."""
    return int.from_bytes(blake2b(key.encode(), digest_size=4).digest(), "big") % shard_count
