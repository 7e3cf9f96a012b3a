"""Controllers: what the commands on each kind of control key do.

A command reads and changes the shard's entries in a transaction; its changes are on a majority of disks before its
result leaves the shard's leader. Commands are plain functions: they do not wait, do no I/O and read no wall clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from oakramp.common.errors import MethodNotFoundError, NotFoundError
from oakramp.common.registry import Registry
from oakramp.control.transaction import Transaction

Command = Callable[[Transaction, str, dict[str, Any]], Any]  # (transaction, key, arguments) -> a JSON value
Snapshot = Callable[[Transaction, str], tuple[int, dict[str, bytes]]]  # (transaction, key) -> version, items by name

CONTROLLERS = Registry("controller")
SHARD_SOURCE = "slot/"  # before a shard's number: the gossip source that names its leader


class Controller:
    """The commands of one kind of key, by name."""

    def __init__(
        self,
        commands: Mapping[str, Command],
        snapshot: Snapshot | None = None,
        cleanup: str | None = None,
        growing: Iterable[str] = (),
        replacing: Iterable[str] = (),
        deferrable: Iterable[str] = (),
    ) -> None:
        """Describes a kind of key.

        Args:
            commands: the commands by name.
            snapshot: returns the state of a key that is published by gossip; None if nothing is published.
            cleanup: the command that removes expired entries, if there is one.
            growing: commands that are rejected when the control state is nearly full.
            replacing: commands that are rejected if a snapshot of the resulting state would not fit beside the present
                one.
            deferrable: commands whose result no caller is waiting for: they run in one batch with the shard's next
                command, before it, or after a share of the bound `settle_s`.
        """
        self._commands = Registry("command")
        for name, function in commands.items():
            self._commands.enter(name)(function)
        self.snapshot, self.cleanup = snapshot, cleanup
        self.growing, self.replacing = frozenset(growing), frozenset(replacing)
        self.deferrable = frozenset(deferrable)

    def run(self, transaction: Transaction, key: str, command: str, arguments: dict[str, Any]) -> Any:
        """Runs a command on the key.

        Raises:
            MethodNotFoundError: this release has no such command.
        """
        try:
            function = self._commands.find(command)
        except NotFoundError as error:
            raise MethodNotFoundError(f"not supported by this release: {error.reason}") from error
        return function(transaction, key, arguments)


def is_deferrable(key: str, command: str) -> bool:
    """Whether the command may be deferred to the next command of its shard; False for an unknown kind of key."""
    try:
        return command in CONTROLLERS.find(key.partition("/")[0]).deferrable
    except NotFoundError:
        return False


def published_by(entry_key: str) -> str | None:
    """The gossip source that an entry belongs to, or None if its kind is not published."""
    key = entry_key.partition("#")[0]
    try:
        controller = CONTROLLERS.find(key.partition("/")[0])
    except NotFoundError:
        return None
    return key if controller.snapshot else None


def cleanups_for(keys: Iterable[str]) -> list[tuple[str, str]]:
    """The (key, command) pairs that remove the expired entries of these keys."""
    return [(key, command) for key in keys for command in [CONTROLLERS.find(key.partition("/")[0]).cleanup] if command]
