"""What one node has told another of its vector, so that a pull while nothing moves carries ages and hardly anything else.

The puller sends its whole vector once, under a random number, and from then on only what has moved in it. The one that is
pulled from keeps the vector under that number, and gives the ages of what has not moved in the order of the vector. Who does
not know the number (a new process, or it has forgotten) says so, and gets the whole vector again; a puller whose pull failed,
or that let go of a source, begins anew by itself. So neither side ever has to guess what the other has taken in.
"""

from struct import pack, unpack

from oakramp.rpc.codec import idl

AGE_UNKNOWN = 0xFFFF  # ms; an age from here on is not given, and the puller goes on counting from the last one


class VersionVector(list):
    """What a puller told, in the order in which it told it. Invariant: `_images` are the board's images of it as long as
    neither the vector nor the board's revision has changed since."""

    def __init__(self):
        super().__init__()
        self._places = {}
        self._images, self._revision = [], None

    def enter(self, moved):
        if moved:
            self._revision = None
        for one in moved:
            if one.source in self._places:
                self[self._places[one.source]] = one
            else:
                self._places[one.source] = len(self)
                self.append(one)

    def images_in(self, board):
        """For each place what an age from elsewhere may confirm."""
        if self._revision != board.revision:
            self._images, self._revision = board.images_to_confirm(self), board.revision
        return self._images


class SentVector:
    """The puller's side, for one address. Invariant: `seen` is what the other has under `basis`, once it has answered."""

    def __init__(self, board, basis):
        self._board, self.basis = board, basis
        self.seen = VersionVector()
        self._moves, self._losses = -1, board.losses
        self.own_version = None

    def is_usable(self):
        return self._losses == self._board.losses

    def take(self):
        """What has moved since the last pull, all at first."""
        if self._moves == self._board.moves:
            return []
        moved = self._board.seen_since(self._moves)
        self.seen.enter(moved)
        self._moves = self._board.moves
        return moved


class ReceivedVector:
    """The other side, for one puller. Invariants: `versions` holds the puller's vector in the order in which it was told;
    `_images` are the board's images of just these versions as long as neither they nor the board's revision have changed."""

    def __init__(self, basis):
        self.basis = basis
        self.versions = {}
        self.own_source = None
        self.heard_at = 0.0
        self._moves = -1
        self._images, self._revision = [], None

    def take(self, moved):
        if moved:
            self._revision = None
        self.versions.update((one.source, one.version) for one in moved)

    def news_from(self, board):
        """Images that moved here since the last answer, as far as they are newer; and the ages of the others."""
        images = [
            board.image_for(source, version)
            for source, image in board.moved_since(self._moves)
            if (version := self.versions.get(source, 0)) < image.version or source not in self.versions
        ]
        self._moves = board.moves
        if self._revision != board.revision:
            self._images, self._revision = board.images_at(self.versions.items()), board.revision
        return idl.News(images=images, basis=self.basis, ages_packed=pack_ages(board.ages_ms(self._images)))


def pack_ages(ages):
    return pack(f"<{len(ages)}H", *[AGE_UNKNOWN if age is None or age >= AGE_UNKNOWN else age for age in ages])


def unpack_ages(data):
    """The ages in ms in the order of the vector, None where none is given."""
    return [None if age == AGE_UNKNOWN else age for age in unpack(f"<{len(data) // 2}H", data)]
