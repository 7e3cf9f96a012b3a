"""The opaque context: a clock set as JSON-able rows and as text that a client only hands back."""

import base64
import json

from oakdvv.clock import Clock


def clockToRow(clock):
    return [[nodeId, m] if n is None else [nodeId, m, n] for nodeId, (m, n) in sorted(clock.entries.items())]


def clockFromRow(row):
    if not isinstance(row, list) or any(
        not isinstance(part, list)
        or len(part) not in (2, 3)
        or not isinstance(part[0], str)
        or any(type(number) is not int for number in part[1:])
        for part in row
    ):
        raise ValueError("no clock")
    return Clock({part[0]: part[1] if len(part) == 2 else (part[1], part[2]) for part in row})


def toContext(clockSet):
    rows = sorted(clockToRow(clock) for clock in clockSet)
    return base64.urlsafe_b64encode(json.dumps(rows, separators=(",", ":")).encode()).decode()


def fromContext(text):
    if not text:
        return frozenset()
    rows = json.loads(base64.urlsafe_b64decode(text))
    if not isinstance(rows, list):
        raise ValueError("no context")
    return frozenset(clockFromRow(row) for row in rows)
