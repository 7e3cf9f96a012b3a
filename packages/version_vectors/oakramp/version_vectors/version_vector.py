"""Dotted version vectors after Preguica, Baquero, Almeida, Fonte and Goncalves (section 5).

A clock is a mapping id -> m or id -> (m, n): the events id_1..id_m, and for the pair also id_n. A clock set is a
frozenset of clocks. This module depends on no other part of oakramp and does no I/O.
"""


class VersionVector:
    """An immutable clock.

    Invariants: every m >= 0; in a pair n > m; every id occurs once; an entry without a dot has m >= 1, since (id, 0)
    represents no event at all.
    """

    __slots__ = ("entries", "_hash")

    def __init__(self, entries):
        kept = {}
        for node_id, entry in dict(entries).items():
            ceiling, dot = entry if isinstance(entry, tuple) else (entry, None)
            if ceiling < 0 or (dot is not None and dot <= ceiling):
                raise ValueError(f"not a valid component of a version vector: {(node_id, entry)}")
            if dot is not None or ceiling > 0:
                kept[node_id] = (ceiling, dot)
        self.entries = kept
        self._hash = hash(frozenset(kept.items()))

    def __eq__(self, other):
        return isinstance(other, VersionVector) and self.entries == other.entries

    def __hash__(self):
        return self._hash

    def __repr__(self):
        shown = (
            f"({node_id},{ceiling})" if dot is None else f"({node_id},{ceiling},{dot})"
            for node_id, (ceiling, dot) in sorted(self.entries.items())
        )
        return "{" + ",".join(shown) + "}"

    def dot(self):
        """The event (id, n) of the version that this clock identifies."""
        return next((node_id, dot) for node_id, (_, dot) in self.entries.items() if dot is not None)


def component_leq(left, right):
    """Compares two components of the same id, by the clauses of the paper."""
    (m, n), (m2, n2) = left, right
    if n is None and n2 is None:
        return m <= m2
    if n is None:
        return m <= m2 or m == m2 + 1 == n2
    if n2 is None:
        return n <= m2
    return n <= m2 or (m <= m2 and n == n2)


def leq(left, right):
    """Whether every component of `left` is covered by the component of `right` with the same id."""
    others = right.entries
    for node_id, component in left.entries.items():
        if node_id not in others or not component_leq(component, others[node_id]):
            return False
    return True


def less(left, right):
    """The strict order of the paper: less than or equal, and not equal."""
    return leq(left, right) and not leq(right, left)


def sync(left_set, right_set):
    """The clocks of both sets that no clock of the other set strictly dominates."""
    return frozenset(
        [x for x in left_set if not any(less(x, y) for y in right_set)]
        + [x for x in right_set if not any(less(x, y) for y in left_set)]
    )


def ids(clock_set):
    """The node ids that occur in a set of version vectors."""
    return {node_id for clock in clock_set for node_id in clock.entries}


def ceiling(clock_set, node_id):
    """The largest event number in the set for this id, 0 if there is none."""
    return max(
        (m if n is None else n for clock in clock_set for m, n in [clock.entries.get(node_id, (0, None))]), default=0
    )


def update(context_set, local_set, node_id):
    """The clock of a new version written with this context at the replica `node_id`."""
    past = {other: ceiling(context_set, other) for other in ids(context_set) if other != node_id}
    return VersionVector(past | {node_id: (ceiling(context_set, node_id), ceiling(local_set, node_id) + 1)})


def sync_versions(left_versions, right_versions):
    """sync() for mappings clock -> value; equal clocks identify the same version."""
    kept = sync(left_versions.keys(), right_versions.keys())
    return {clock: left_versions[clock] if clock in left_versions else right_versions[clock] for clock in kept}
