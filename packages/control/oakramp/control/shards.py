"""Shards of the control state: the shard of a key, the packing of entries, and the division of snapshots into parts."""

from __future__ import annotations

import json
import zlib
from collections.abc import Iterable, Iterator
from typing import Any

from oakramp.common.constants import ENTRY_LIMIT, SHARDS
from oakramp.common.errors import TooLargeError
from oakramp.common.validation import pack_json
from oakramp.membership.rendezvous_hashing import shard_of

ENTRY_OVERHEAD = 64  # bytes; upper bound of an entry's overhead beside its key and value, in messages and on the disk
COMPRESS_FROM = 4096  # bytes; a smaller entry is not worth compressing


def shard_of_key(key: str) -> int:
    """The shard of a key; its rows ("key#row") are in the same one."""
    return shard_of(key.partition("#")[0], SHARDS)


def in_parts(entries: Iterable[tuple[str, bytes | None]], most: int) -> Iterator[list[tuple[str, bytes | None]]]:
    """Divides the (key, value) pairs into parts of at most `most` bytes, or of one pair; yields at least one part."""
    part: list[tuple[str, bytes | None]] = []
    size = 0
    for key, value in entries:
        length = len(key) + len(value or b"") + ENTRY_OVERHEAD
        if part and size + length > most:
            yield part
            part, size = [], 0
        part.append((key, value))
        size += length
    yield part


def pack_entry(value: Any) -> bytes | None:
    """A JSON value as it is stored: JSON after the letter j, or compressed JSON after the letter z; None stays None.

    Raises:
        TooLargeError: the JSON is longer than ENTRY_LIMIT bytes.
    """
    if value is None:
        return None
    data = pack_json(value)
    if len(data) > ENTRY_LIMIT:
        raise TooLargeError(f"{len(data)} bytes are too many for one entry of the control state")
    return b"z" + zlib.compress(data) if len(data) > COMPRESS_FROM else b"j" + data


def unpack_entry(data: bytes) -> Any:
    """The JSON value of a stored entry."""
    return json.loads(zlib.decompress(data[1:]) if data[:1] == b"z" else data[1:])
