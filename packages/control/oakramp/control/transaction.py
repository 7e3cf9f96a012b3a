"""What one batch of an owner's commands sees and changes."""

from collections import ChainMap
from itertools import takewhile

from oakramp.control.shards import pack_entry, unpack_entry


class Transaction:
    """What a command sees and writes: the committed entries under those of its own batch."""

    def __init__(self, entries, context):
        self._entries = entries
        self._layers = ChainMap({}, entries)
        self.context = context

    def get(self, key):
        value = self._layers.get(key)
        return None if value is None else unpack_entry(value)

    def packed(self, key):
        """The entry as it is kept, for who passes it on or compares it as it is."""
        return self._layers.get(key)

    def put(self, key, value):
        self._layers.maps[0][key] = pack_entry(value)

    def committed_keys(self, prefix):
        """The keys with this prefix among the committed entries, in order; what this batch does is not seen."""
        return takewhile(lambda key: key.startswith(prefix), self._entries.irange(prefix))

    def nested(self):
        """A view for one command, so that one that fails leaves nothing behind."""
        transaction = Transaction(self._entries, self.context)
        transaction._layers = self._layers.new_child()
        return transaction

    def merge(self, transaction):
        self._layers.maps[0].update(transaction._layers.maps[0])

    def changes(self):
        return self._layers.maps[0]
