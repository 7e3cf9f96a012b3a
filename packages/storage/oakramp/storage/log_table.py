"""The entries of a circular log, in memory or on its disk."""

import zlib

from cachetools import LRUCache

from oakramp.common.errors import StorageCorruptedError

COLD_FROM = 1 << 10  # bytes; shorter values are always in memory
COLD_HEAD = (
    1 << 9
)  # bytes of a longer value that are kept in memory: enough for the header that a user of the table stores


class ColdValue:
    """A value that is read from its file on access; its first bytes are kept in memory."""

    __slots__ = ("file_name", "offset", "length", "head", "checksum")

    def __init__(self, file_name, offset, value):
        self.file_name, self.offset, self.length = file_name, offset, len(value)
        self.head, self.checksum = value[:COLD_HEAD], zlib.crc32(value)

    def read(self, disk):
        """Reads the value from its file. Raises StorageCorruptedError if its checksum differs."""
        value = disk.read_at(self.file_name, self.offset, self.length)
        if zlib.crc32(value) != self.checksum:
            raise StorageCorruptedError(
                f"{self.length} bytes at {self.offset} of {self.file_name} do not match the checksum of the write"
            )
        return value


class Table:
    """The entries of a ring as its users see them. Invariant: if `hot_bytes` is given, values of COLD_FROM bytes and
    more are kept on the disk, and at most `hot_bytes` of the most recently used ones are cached in memory too."""

    def __init__(self, disk, hot_bytes=None):
        self._disk, self._rows = disk, {}
        self._hot = None if hot_bytes is None else LRUCache(hot_bytes, getsizeof=len)

    def __contains__(self, key):
        return key in self._rows

    def __len__(self):
        return len(self._rows)

    def __iter__(self):
        return iter(self._rows)

    keys = __iter__

    def __getitem__(self, key):
        value = self._rows[key]
        if type(value) is not ColdValue:
            return value
        hot = self._hot.get(key)
        if hot is None:
            hot = value.read(self._disk)
            self._cache_value(key, hot)
        return hot

    def get(self, key, default=None):
        """The key's value, or the default."""
        return self[key] if key in self._rows else default

    def __eq__(self, other):
        return dict(self.items()) == dict(other.items())

    def items(self, prefix=""):
        """(key, value) of each key with this prefix."""
        return [(key, self[key]) for key in self._rows if key.startswith(prefix)]

    def heads(self, prefix):
        """(key, the first COLD_HEAD bytes of its value at least, the value's length) of each key with this prefix."""
        return (
            (key, value.head, value.length) if type(value) is ColdValue else (key, value, len(value))
            for key, value in self._rows.items()
            if key.startswith(prefix)
        )

    def enter(self, key, value, file_name, offset):
        """Sets a key to a value that is stored at this offset of this file; a long value is kept in memory only while
        it is hot, that is among the most recently used."""
        self.pop(key)  # a cached former value is stale
        if self._hot is None or len(value) < COLD_FROM:
            self._rows[key] = value
            return
        self._rows[key] = ColdValue(file_name, offset, value)
        self._cache_value(key, value)

    def stored(self, key):
        """The stored form of the key's value: its bytes, a ColdValue, or None if there is no such key."""
        return self._rows.get(key)

    def _cache_value(self, key, value):
        if len(value) <= self._hot.maxsize:
            self._hot[key] = value

    def pop(self, key):
        """Removes a key, if it is there."""
        if type(self._rows.pop(key, None)) is ColdValue:
            self._hot.pop(key, None)
