"""The causal context: a set of version vectors, as JSON rows and as opaque text that a client only sends back."""

import base64
import json

from oakramp.version_vectors.version_vector import VersionVector


def clock_to_row(clock):
    """A version vector as a JSON row, sorted by node id."""
    return [[node_id, m] if n is None else [node_id, m, n] for node_id, (m, n) in sorted(clock.entries.items())]


def clock_from_row(row):
    """The version vector in a JSON row. Raises ValueError if the row is malformed."""
    if not isinstance(row, list) or any(
        not isinstance(part, list)
        or len(part) not in (2, 3)
        or not isinstance(part[0], str)
        or any(type(number) is not int for number in part[1:])
        for part in row
    ):
        raise ValueError("not the row of a version vector")
    return VersionVector({part[0]: part[1] if len(part) == 2 else (part[1], part[2]) for part in row})


def to_context(clock_set):
    """A set of version vectors as opaque text (base64 of JSON)."""
    rows = sorted(clock_to_row(clock) for clock in clock_set)
    return base64.urlsafe_b64encode(json.dumps(rows, separators=(",", ":")).encode()).decode()


def from_context(text):
    """The set of version vectors in a context. Raises ValueError if the text is malformed."""
    if not text:
        return frozenset()
    rows = json.loads(base64.urlsafe_b64decode(text))
    if not isinstance(rows, list):
        raise ValueError("the context is not a list of version vectors")
    return frozenset(clock_from_row(row) for row in rows)
