"""Transactions: the reads and changes of one batch of a leader's commands."""

from __future__ import annotations

from collections import ChainMap
from collections.abc import Iterator, MutableMapping
from itertools import takewhile
from typing import TYPE_CHECKING, Any

from oakramp.control.shards import pack_entry, unpack_entry

if TYPE_CHECKING:
    from sortedcontainers import SortedDict

    from oakramp.control.command_context import CommandContext


class Transaction:
    """The committed entries of a shard, overlaid with the uncommitted changes of one batch.

    Values are JSON values; they are packed when they are put (`pack_entry`).
    """

    def __init__(self, entries: SortedDict[str, bytes], context: CommandContext | None) -> None:
        self._entries = entries
        self._layers: ChainMap[str, Any] = ChainMap({}, entries)
        self.context: Any = context

    def get(self, key: str) -> Any:
        """The value of the key, or None."""
        value = self._layers.get(key)
        return None if value is None else unpack_entry(value)

    def packed(self, key: str) -> bytes | None:
        """The value in its stored form, to pass it on or compare it without unpacking."""
        return self._layers.get(key)

    def put(self, key: str, value: Any) -> None:
        """Sets the key; None removes it.

        Raises:
            TooLargeError: the packed value is longer than an entry may be.
        """
        self._layers.maps[0][key] = pack_entry(value)

    def committed_keys(self, prefix: str) -> Iterator[str]:
        """The keys with this prefix among the committed entries, in order; ignores changes of this batch."""
        return takewhile(lambda key: key.startswith(prefix), self._entries.irange(prefix))

    def keys(self, prefix: str) -> list[str]:
        """The keys with this prefix in order, including the effect of all changes of this batch so far."""
        changed = {key for layer in self._layers.maps[:-1] for key in layer if key.startswith(prefix)}
        return [key for key in sorted(changed.union(self.committed_keys(prefix))) if self._layers[key] is not None]

    def nested(self) -> Transaction:
        """A nested transaction for one command; its changes take effect only if it is merged."""
        transaction = Transaction(self._entries, self.context)
        transaction._layers = self._layers.new_child()
        return transaction

    def merge(self, transaction: Transaction) -> None:
        """Applies the changes of a nested transaction to this one."""
        self._layers.maps[0].update(transaction._layers.maps[0])

    def changes(self) -> MutableMapping[str, bytes | None]:
        """The packed values by key that this batch has changed; None where the key is removed."""
        return self._layers.maps[0]
