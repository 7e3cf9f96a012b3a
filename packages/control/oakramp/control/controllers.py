"""Controllers: what the commands on each kind of owned key do.

A command sees a view of the slot's entries and writes to it; whatever it wrote is on a majority of disks
before its result leaves the owner. Commands are plain functions: no waiting, no I/O, no wall time.
"""

from oakramp.common.errors import MethodNotFoundError, NotFoundError
from oakramp.common.registry import Registry

CONTROLLERS = Registry("controller")
SHARD_SOURCE = "slot/"  # before a slot's number: the news source that names its owner


class Controller:
    """`commands` maps names to functions (view, key, arguments) -> JSON-able result. Those in `growing` are refused
    when the control state is nearly full; those in `replacing` only if what they leave would not fit a second time."""

    def __init__(self, commands, snapshot=None, cleanup=None, growing=(), replacing=()):
        self._commands = Registry("command")
        for name, function in commands.items():
            self._commands.enter(name)(function)
        self.snapshot, self.cleanup = snapshot, cleanup
        self.growing, self.replacing = frozenset(growing), frozenset(replacing)

    def run(self, transaction, key, command, arguments):
        try:
            function = self._commands.find(command)
        except NotFoundError as error:
            raise MethodNotFoundError(f"not in this release: {error.reason}") from error
        return function(transaction, key, arguments)


def published_by(entry_key):
    """The news source that an entry belongs to, or None if its kind is not published."""
    key = entry_key.partition("#")[0]
    try:
        controller = CONTROLLERS.find(key.partition("/")[0])
    except NotFoundError:
        return None
    return key if controller.snapshot else None


def cleanups_for(keys):
    """The (key, command) pairs by which an owner lets old things go."""
    return [(key, command) for key in keys for command in [CONTROLLERS.find(key.partition("/")[0]).cleanup] if command]
