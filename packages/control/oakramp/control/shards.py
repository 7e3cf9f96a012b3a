"""Slots of the control state: which one a key is in, how an entry is packed, and long images in parts."""

import json
import zlib

from oakramp.common.constants import ENTRY_LIMIT, SHARDS
from oakramp.common.errors import TooLargeError
from oakramp.common.validation import pack_json
from oakramp.membership.rendezvous_hashing import shard_of

ENTRY_COST = 64  # bytes; what an entry takes besides its key and value, in messages and on the disk, at most
PACK_FROM = 4096  # bytes; below this an entry is not worth compressing


def shard_of_key(key):
    """What hangs on a key, behind its '#', is in the key's slot."""
    return shard_of(key.partition("#")[0], SHARDS)


def in_parts(entries, most):
    """The (key, value) pairs in runs of at most `most` bytes each, or of one pair."""
    part, size = [], 0
    for key, value in entries:
        length = len(key) + len(value or b"") + ENTRY_COST
        if part and size + length > most:
            yield part
            part, size = [], 0
        part.append((key, value))
        size += length
    yield part


def pack_entry(value):
    if value is None:
        return None
    data = pack_json(value)
    if len(data) > ENTRY_LIMIT:
        raise TooLargeError(f"{len(data)} bytes in one entry of the control state")
    return b"z" + zlib.compress(data) if len(data) > PACK_FROM else b"j" + data


def unpack_entry(data):
    return json.loads(zlib.decompress(data[1:]) if data[:1] == b"z" else data[1:])
