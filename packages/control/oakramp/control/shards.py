"""Shards of the control state: which one a key is in, how an entry is packed, and snapshots in chunks."""

from __future__ import annotations

import json
import zlib
from collections.abc import Iterable, Iterator
from typing import Any

from oakramp.common.constants import ENTRY_LIMIT, SHARDS
from oakramp.common.errors import TooLargeError
from oakramp.common.validation import pack_json
from oakramp.membership.rendezvous_hashing import shard_of

ENTRY_COST = 64  # bytes; what an entry takes besides its key and value, in messages and on the disk, at most
PACK_FROM = 4096  # bytes; below this an entry is not worth compressing


def shard_of_key(key: str) -> int:
    """The shard of a key; its rows ("key#row") are in the same one."""
    return shard_of(key.partition("#")[0], SHARDS)


def in_parts(entries: Iterable[tuple[str, bytes | None]], most: int) -> Iterator[list[tuple[str, bytes | None]]]:
    """The (key, value) pairs in chunks of at most `most` bytes each, or of one pair; at least one chunk."""
    part: list[tuple[str, bytes | None]] = []
    size = 0
    for key, value in entries:
        length = len(key) + len(value or b"") + ENTRY_COST
        if part and size + length > most:
            yield part
            part, size = [], 0
        part.append((key, value))
        size += length
    yield part


def pack_entry(value: Any) -> bytes | None:
    """A JSON value as it is stored: JSON behind the letter j, or compressed JSON behind z; None stays None.

    Raises:
        TooLargeError: the JSON is longer than ENTRY_LIMIT bytes.
    """
    if value is None:
        return None
    data = pack_json(value)
    if len(data) > ENTRY_LIMIT:
        raise TooLargeError(f"{len(data)} bytes in one entry of the control state")
    return b"z" + zlib.compress(data) if len(data) > PACK_FROM else b"j" + data


def unpack_entry(data: bytes) -> Any:
    """The JSON value of a stored entry."""
    return json.loads(zlib.decompress(data[1:]) if data[:1] == b"z" else data[1:])
