"""A registry of plug-ins by name."""

from oakramp.common.errors import NotFoundError


class Registry:
    """Entries by name."""

    # Invariant: a name is registered once; its entry never changes afterwards.
    def __init__(self, kind):
        self.kind = kind
        self._entries = {}

    def enter(self, name):
        """Returns a decorator that registers its object under this name. The decorator raises ValueError if the name is
        taken."""

        def keep(entry):
            if name in self._entries:
                raise ValueError(f"{self.kind} {name} is registered twice")
            self._entries[name] = entry
            return entry

        return keep

    def find(self, name):
        """Returns the entry of this name. Raises NotFoundError if there is none."""
        if name not in self._entries:
            raise NotFoundError(f"no {self.kind} named {name}; known: {', '.join(self.names())}")
        return self._entries[name]

    def names(self):
        """Returns all names, sorted."""
        return sorted(self._entries)
