"""The file format of a circular log.

Lap:    header = marker, version, lap, first number, synced number, checksum, then records.
Record: marker, lap, length, checksum, number, synced number, then the batch.
Batch:  for each entry: key length, value length (0xffffffff: removed), key, value.

The `synced number` is the newest record known to be on disk when this one was written.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator
from typing import NamedTuple

from oakramp.common.constants import RING_VERSION

RING_PREFIX = "ring."  # prefix of the names of a ring's files
LAP_MARK = b"OAKRING\0"
LAP = struct.Struct("<8sIQQQ")
LAP_SIZE = LAP.size + 4
RECORD_MARK = b"\xa7oak"
RECORD = struct.Struct("<4sIIIQQ")
LAP_NUMBER_SIZE = 4  # bytes, directly after the marker
CHECKSUM_START = 16
ENTRY = struct.Struct("<II")
REMOVED = 0xFFFFFFFF


def pack_entry(key: str, value: bytes | None) -> bytes:
    """One entry of a batch; a value of None removes the key."""
    key_bytes = key.encode()
    return ENTRY.pack(len(key_bytes), REMOVED if value is None else len(value)) + key_bytes + (value or b"")


def unpack_batch(batch: bytes) -> Iterator[tuple[str, bytes | None, int]]:
    """(key, value or None, where in the batch the value begins) of each entry."""
    offset = 0
    while offset < len(batch):
        key_length, value_length = ENTRY.unpack_from(batch, offset)
        key_end = offset + ENTRY.size + key_length
        key = batch[offset + ENTRY.size : key_end].decode()
        offset = key_end + (0 if value_length == REMOVED else value_length)
        yield key, None if value_length == REMOVED else batch[key_end:offset], key_end


def pack_lap(lap: int, first_number: int, synced_number: int) -> bytes:
    """The header of a lap."""
    head = LAP.pack(LAP_MARK, RING_VERSION, lap, first_number, synced_number)
    return head + struct.pack("<I", zlib.crc32(head))


class LapHeader(NamedTuple):
    """The header at the start of a lap's file."""

    version: int
    lap: int
    first_number: int
    synced_number: int


def lap_header(data: bytes) -> LapHeader | None:
    """The LapHeader at the beginning of a file, or None if it is missing or its checksum differs."""
    if len(data) < LAP_SIZE:
        return None
    mark, *values = LAP.unpack_from(data)
    if mark != LAP_MARK or data[LAP.size : LAP_SIZE] != struct.pack("<I", zlib.crc32(data[: LAP.size])):
        return None
    return LapHeader(*values)


def pack_record(lap: int, number: int, synced_number: int, batch: bytes) -> bytes:
    """One record with its batch."""
    tail = struct.pack("<QQ", number, synced_number) + batch
    return struct.pack("<4sIII", RECORD_MARK, lap & 0xFFFFFFFF, len(batch), zlib.crc32(tail)) + tail


class LogRecord(NamedTuple):
    """A record as stored in a lap's file; `end` is the offset of the first byte after it."""

    number: int
    synced_number: int
    batch: bytes
    end: int


def read_record(data: bytes, lap: int, offset: int) -> LogRecord | None:
    """The record of this lap at this offset, or None if there is none or it is not intact."""
    if offset + RECORD.size > len(data):
        return None
    mark, record_lap, length, checksum, number, synced_number = RECORD.unpack_from(data, offset)
    end = offset + RECORD.size + length
    if mark != RECORD_MARK or record_lap != lap & 0xFFFFFFFF or end > len(data):
        return None
    if zlib.crc32(data[offset + CHECKSUM_START : end]) != checksum:
        return None
    return LogRecord(number, synced_number, data[offset + RECORD.size : end], end)


def record_mark(lap: int) -> bytes:
    """The bytes with which each record of this lap begins: the marker and the lap."""
    return RECORD_MARK + struct.pack("<I", lap & 0xFFFFFFFF)


def _end_of_marks(data: bytes, offset: int) -> int:
    """The end of the last mark of any lap's record past this offset.

    The rest of the file is mostly zeros, and in zeros a search for one lap's mark, which is mostly zeros itself, is
    twenty times slower than this one."""
    return data.rfind(RECORD_MARK, offset) + len(RECORD_MARK) + LAP_NUMBER_SIZE


def records_after(data: bytes, lap: int, offset: int) -> Iterator[LogRecord]:
    """Every intact record of this lap at or past this offset, where the record is unreadable."""
    mark, end = record_mark(lap), _end_of_marks(data, offset)
    place = data.find(mark, offset, end)
    while place >= 0:
        record = read_record(data, lap, place)
        if record is not None:
            yield record
        place = data.find(mark, place + 1, end)


def left_over_of(data: bytes, lap: int, offset: int) -> dict[int, tuple[int, int]]:
    """{lap: (offset, end)}: the range up to the end of the last header with this lap's mark; empty if there is none."""
    last = data.rfind(record_mark(lap), offset, _end_of_marks(data, offset))
    return {} if last < 0 else {lap: (offset, min(last + RECORD.size, len(data)))}
