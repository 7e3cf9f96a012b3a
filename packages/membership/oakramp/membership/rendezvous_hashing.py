"""Rendezvous hashing: assigns candidates to a key without a shared table."""

from hashlib import blake2b


def score(candidate, key):
    """The weight of a candidate for a key, as bytes that are compared."""
    return blake2b(f"{candidate}\0{key}".encode(), digest_size=8).digest()


def ranked(candidates, key):
    """All candidates, the highest weight first."""
    return sorted(candidates, key=lambda candidate: (score(candidate, key), candidate), reverse=True)


def top_ranked(candidates, key, count):
    """The `count` candidates with the highest weight for a key."""
    return ranked(candidates, key)[:count]


def shard_of(key, shard_count):
    """The shard of a key, from 0 to `shard_count` - 1."""
    return int.from_bytes(blake2b(key.encode(), digest_size=4).digest(), "big") % shard_count
