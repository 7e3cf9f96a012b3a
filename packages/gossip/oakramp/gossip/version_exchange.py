"""Incremental exchange of version vectors between two nodes: while nothing changes, a pull carries little but ages.

The puller sends its whole vector once, under a random number (the basis), and afterwards only the entries that changed.
The node that is pulled from stores the vector under that number, and sends the ages of unchanged sources in the order
of the vector. If it does not know the number (it is a new process, or it has dropped the vector), it says so and gets
the whole vector again. A puller whose pull failed, or that has dropped a source, starts over with a new basis. So
neither side ever has to guess what the other has received.
"""

from struct import pack, unpack

from oakramp.rpc.codec import idl

AGE_UNKNOWN = 0xFFFF  # ms; an age this large is not sent, and the puller keeps counting from the last one it got


class VersionVector(list):
    """The versions that a puller has sent, in the order in which it sent them.

    Invariant: `_snapshots` are the state table's snapshots for this vector, valid while neither the vector nor the
    table's revision has changed."""

    def __init__(self):
        super().__init__()
        self._positions = {}
        self._snapshots, self._revision = [], None

    def merge_changes(self, changed):
        """Replaces the entries that changed; a new source gets the next position."""
        if changed:
            self._revision = None
        for one in changed:
            if one.source in self._positions:
                self[self._positions[one.source]] = one
            else:
                self._positions[one.source] = len(self)
                self.append(one)

    def snapshots_in(self, state_table):
        """For each position, the snapshot that an age from the peer may confirm."""
        if self._revision != state_table.revision:
            self._snapshots, self._revision = state_table.snapshots_to_confirm(self), state_table.revision
        return self._snapshots


class SentVector:
    """The puller's side, for one address.

    Invariant: `seen` is what the peer stores under `basis`, once it has replied."""

    def __init__(self, state_table, basis):
        self._state_table, self.basis = state_table, basis
        self.seen = VersionVector()
        self._change_count, self._rollback_count = -1, state_table.rollback_count
        self.own_version = None

    def is_usable(self):
        """Whether the peer's copy of the vector is still valid: no source has been dropped here since."""
        return self._rollback_count == self._state_table.rollback_count

    def take_changes(self):
        """The versions that have changed since the last pull; all of them in the first one."""
        if self._change_count == self._state_table.change_count:
            return []
        changed = self._state_table.known_versions_since(self._change_count)
        self.seen.merge_changes(changed)
        self._change_count = self._state_table.change_count
        return changed


class ReceivedVector:
    """The side that is pulled from, for one puller.

    Invariants: `versions` holds the puller's vector in the order in which it was received; `_snapshots` are the state
    table's snapshots of exactly these versions, valid while neither the versions nor the table's revision have changed.
    """

    def __init__(self, basis):
        self.basis = basis
        self.versions = {}
        self.own_source = None
        self.last_pull_at = 0.0
        self._change_count = -1
        self._snapshots, self._revision = [], None

    def merge_changes(self, changed):
        """Merges the versions that the puller reports as changed."""
        if changed:
            self._revision = None
        self.versions.update((one.source, one.version) for one in changed)

    def update_from(self, state_table):
        """The snapshots or deltas that changed here since the last reply and are newer than the puller's; and the ages of
        the other sources."""
        snapshots = [
            state_table.snapshot_for(source, version)
            for source, snapshot in state_table.changed_since(self._change_count)
            if (version := self.versions.get(source, 0)) < snapshot.version or source not in self.versions
        ]
        self._change_count = state_table.change_count
        if self._revision != state_table.revision:
            self._snapshots, self._revision = state_table.snapshots_at(self.versions.items()), state_table.revision
        return idl.GossipUpdate(
            snapshots=snapshots, basis=self.basis, ages_packed=pack_ages(state_table.ages_ms(self._snapshots))
        )


def pack_ages(ages):
    """Packs ages in ms as two bytes each, little-endian; AGE_UNKNOWN for none."""
    return pack(f"<{len(ages)}H", *[AGE_UNKNOWN if age is None or age >= AGE_UNKNOWN else age for age in ages])


def unpack_ages(data):
    """The ages in ms in the order of the vector, None where none was sent."""
    return [None if age == AGE_UNKNOWN else age for age in unpack(f"<{len(data) // 2}H", data)]
