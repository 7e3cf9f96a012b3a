"""Lookup of a message's headers by name."""


class WithHeaders:
    """A message with `headers`, a list of (name, value) as bytes, which must not change after the first lookup."""

    __slots__ = ("headers", "_index")

    def __init__(self, headers):
        self.headers, self._index = headers, None

    def header(self, name):
        """Returns the value of a header, or None; for a repeated header, its values joined by commas."""
        if self._index is None:
            self._index = self._indexed()
        value = self._index.get(name.lower().encode("latin-1"))
        return None if value is None else value.decode("latin-1")

    def _indexed(self):
        index = {}
        for key, value in self.headers:
            key = key.lower()
            index[key] = index[key] + b", " + value if key in index else value
        return index
