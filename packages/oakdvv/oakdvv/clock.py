"""Dotted version vectors after Preguica, Baquero, Almeida, Fonte and Goncalves (section 5).

A clock is a mapping id -> m or id -> (m, n): the events id_1..id_m, and for the pair also id_n.
A clock set is a frozenset of clocks. Nothing here knows of oakramp, and nothing does I/O.
"""


class Clock:
    """An immutable clock.

    Invariants: every m >= 0; in a pair n > m; every id occurs once; a plain entry has m >= 1, since
    (id, 0) stands for no event at all.
    """

    __slots__ = ("entries", "_hash")

    def __init__(self, entries):
        kept = {}
        for nodeId, entry in dict(entries).items():
            ceiling, dot = entry if isinstance(entry, tuple) else (entry, None)
            if ceiling < 0 or (dot is not None and dot <= ceiling):
                raise ValueError(f"no such component: {(nodeId, entry)}")
            if dot is not None or ceiling > 0:
                kept[nodeId] = (ceiling, dot)
        self.entries = kept
        self._hash = hash(frozenset(kept.items()))

    def __eq__(self, other):
        return isinstance(other, Clock) and self.entries == other.entries

    def __hash__(self):
        return self._hash

    def __repr__(self):
        shown = (
            f"({nodeId},{ceiling})" if dot is None else f"({nodeId},{ceiling},{dot})"
            for nodeId, (ceiling, dot) in sorted(self.entries.items())
        )
        return "{" + ",".join(shown) + "}"

    def dot(self):
        """The one event (id, n) that this clock's version stands for."""
        return next((nodeId, dot) for nodeId, (_, dot) in self.entries.items() if dot is not None)


def componentLeq(left, right):
    """The paper's clauses for two components of the same id."""
    (m, n), (m2, n2) = left, right
    if n is None and n2 is None:
        return m <= m2
    if n is None:
        return m <= m2 or m == m2 + 1 == n2
    if n2 is None:
        return n <= m2
    return n <= m2 or (m <= m2 and n == n2)


def leq(left, right):
    """Whether every component of `left` lies below some component of `right`."""
    others = right.entries
    for nodeId, component in left.entries.items():
        if nodeId not in others or not componentLeq(component, others[nodeId]):
            return False
    return True


def less(left, right):
    return leq(left, right) and not leq(right, left)


def sync(leftSet, rightSet):
    """The clocks of either set that no clock of the other strictly dominates."""
    return frozenset(
        [x for x in leftSet if not any(less(x, y) for y in rightSet)]
        + [x for x in rightSet if not any(less(x, y) for y in leftSet)]
    )


def ids(clockSet):
    return {nodeId for clock in clockSet for nodeId in clock.entries}


def ceiling(clockSet, nodeId):
    """The largest number that the set holds for this id, 0 if none."""
    return max(
        (m if n is None else n for clock in clockSet for m, n in [clock.entries.get(nodeId, (0, None))]), default=0
    )


def update(contextSet, localSet, nodeId):
    """The clock of a new version written with this context at the replica node `nodeId`."""
    past = {other: ceiling(contextSet, other) for other in ids(contextSet) if other != nodeId}
    return Clock(past | {nodeId: (ceiling(contextSet, nodeId), ceiling(localSet, nodeId) + 1)})


def syncVersions(leftVersions, rightVersions):
    """sync on mappings clock -> value; equal clocks stand for the same version."""
    kept = sync(leftVersions.keys(), rightVersions.keys())
    return {clock: leftVersions[clock] if clock in leftVersions else rightVersions[clock] for clock in kept}
