"""What one node has told another of its vector, so that a pull while nothing moves carries ages and hardly anything
else.

The puller sends its whole vector once, under a random number, and from then on only what has moved in it. The one that
is pulled from keeps the vector under that number, and gives the ages of what has not moved in the order of the vector.
Who does not know the number (a new process, or it has forgotten) says so, and gets the whole vector again; a puller
whose pull failed, or that let go of a source, begins anew by itself. So neither side ever has to guess what the other
has taken in.
"""

from struct import pack, unpack

from oakramp.rpc.codec import idl

AGE_UNKNOWN = 0xFFFF  # ms; an age from here on is not given, and the puller goes on counting from the last one


class VersionVector(list):
    """What a puller told, in the order in which it told it. Invariant: `_snapshots` are the board's images of it as
    long as neither the vector nor the board's revision has changed since."""

    def __init__(self):
        super().__init__()
        self._places = {}
        self._snapshots, self._revision = [], None

    def enter(self, moved):
        """Takes in what has moved; a new source gets the next position."""
        if moved:
            self._revision = None
        for one in moved:
            if one.source in self._places:
                self[self._places[one.source]] = one
            else:
                self._places[one.source] = len(self)
                self.append(one)

    def snapshots_in(self, state_table):
        """For each place what an age from elsewhere may confirm."""
        if self._revision != state_table.revision:
            self._snapshots, self._revision = state_table.snapshots_to_confirm(self), state_table.revision
        return self._snapshots


class SentVector:
    """The puller's side, for one address. Invariant: `seen` is what the other has under `basis`, once it has answered."""

    def __init__(self, state_table, basis):
        self._state_table, self.basis = state_table, basis
        self.seen = VersionVector()
        self._moves, self._losses = -1, state_table.losses
        self.own_version = None

    def is_usable(self):
        """Whether the peer's copy of the vector still holds: no source was dropped here since."""
        return self._losses == self._state_table.losses

    def take(self):
        """What has moved since the last pull, all at first."""
        if self._moves == self._state_table.moves:
            return []
        moved = self._state_table.seen_since(self._moves)
        self.seen.enter(moved)
        self._moves = self._state_table.moves
        return moved


class ReceivedVector:
    """The other side, for one puller. Invariants: `versions` holds the puller's vector in the order in which it was
    told; `_snapshots` are the board's images of just these versions as long as neither they nor the board's revision
    have
    changed."""

    def __init__(self, basis):
        self.basis = basis
        self.versions = {}
        self.own_source = None
        self.heard_at = 0.0
        self._moves = -1
        self._snapshots, self._revision = [], None

    def take(self, moved):
        """Takes in what the peer says has moved."""
        if moved:
            self._revision = None
        self.versions.update((one.source, one.version) for one in moved)

    def news_from(self, state_table):
        """Images that moved here since the last answer, as far as they are newer; and the ages of the others."""
        snapshots = [
            state_table.snapshot_for(source, version)
            for source, snapshot in state_table.moved_since(self._moves)
            if (version := self.versions.get(source, 0)) < snapshot.version or source not in self.versions
        ]
        self._moves = state_table.moves
        if self._revision != state_table.revision:
            self._snapshots, self._revision = state_table.snapshots_at(self.versions.items()), state_table.revision
        return idl.GossipUpdate(
            snapshots=snapshots, basis=self.basis, ages_packed=pack_ages(state_table.ages_ms(self._snapshots))
        )


def pack_ages(ages):
    """Ages in ms as two bytes each, the lower first; AGE_UNKNOWN for none."""
    return pack(f"<{len(ages)}H", *[AGE_UNKNOWN if age is None or age >= AGE_UNKNOWN else age for age in ages])


def unpack_ages(data):
    """The ages in ms in the order of the vector, None where none is given."""
    return [None if age == AGE_UNKNOWN else age for age in unpack(f"<{len(data) // 2}H", data)]
