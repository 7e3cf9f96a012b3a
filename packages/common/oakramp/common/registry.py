"""Plug-ins by entry in a registry."""

from oakramp.common.errors import NotFoundError


class Registry:
    """Entries by name."""

    # Invariant: a name is entered once; what it stands for never changes afterwards.
    def __init__(self, kind):
        self.kind = kind
        self._entries = {}

    def enter(self, name):
        """A decorator that enters what it decorates under this name. Raises ValueError if the name is taken."""

        def keep(entry):
            if name in self._entries:
                raise ValueError(f"{self.kind} {name} is entered twice")
            self._entries[name] = entry
            return entry

        return keep

    def find(self, name):
        """The entry of this name. Raises NotFoundError."""
        if name not in self._entries:
            raise NotFoundError(f"no {self.kind} named {name}; known: {', '.join(self.names())}")
        return self._entries[name]

    def names(self):
        """All names, sorted."""
        return sorted(self._entries)
