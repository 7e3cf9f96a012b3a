"""Images of all sources, and the deltas between them.

A source is one thing with one writer at a time (a published control key, or one boot of a node) and a
version that only rises. A puller sends the version it has of each source and gets what is newer, with
the age of the source's last confirmation. Ages travel as durations and are counted back on the
receiver's own clock from the moment it asked, so they can only be overstated.
"""

from dataclasses import dataclass, field

from oakramp.common.constants import GONE_LIMIT
from oakramp.gossip.version_exchange import unpack_ages
from oakramp.rpc.codec import idl

AGE_LIMIT = 2**31 - 1  # ms, the largest age that fits the wire's field


@dataclass
class SourceState:
    """Invariants: every item's version <= `version`; an item with value None was removed at its version;
    at monotonic time `confirmedAt` the source still stood at `version`; all changes and removals after
    version `base` are in `items`, so a delta can be given from `base` on and from nowhere earlier."""

    version: int = 0
    base: int = 0
    items: dict = field(default_factory=dict)
    confirmed_at: float = float("-inf")
    moved_at: int = 0  # the board's count of moves when this one last moved


ABSENT = SourceState()  # stands for an image that is not here: it has no age that could be given
SETTLED = SourceState(confirmed_at=float("inf"))  # stands for one that no age from elsewhere confirms


class StateTable:
    """Invariants: `moves` rises whenever an image moves, and every image's `movedAt` is unlike the others'; `losses` rises
    whenever an image may have become older than what a neighbour was told of; `revision` rises whenever an image comes,
    moves or goes, or this node begins or ends to speak for it."""

    def __init__(self, reactor):
        self._reactor = reactor
        self.moves = self.losses = self.revision = 0
        self.images = {}
        self._own_sources = {}
        self._taken_up = set()  # of its own sources, those that it has not said anything of yet
        self._watchers = {}

    # --- own sources ---

    def publish(self, source, confirmed_at):
        """This node speaks for `source` from now on. `confirmedAt()` is the newest time for which it may
        vouch, or None if it cannot at the moment."""
        if source not in self._own_sources:
            self.revision += 1
            self._taken_up.add(source)
        self._own_sources[source] = confirmed_at
        return self._entered(source)

    def _entered(self, source):
        if source not in self.images:
            self.images[source] = SourceState()
            self.revision += 1
        return self.images[source]

    def retract(self, source):
        self._taken_up.discard(source)
        if self._own_sources.pop(source, None) is not None:
            self.losses += 1  # what others sent of it meanwhile was not taken in
            self.revision += 1

    def set_items(self, source, version, values):
        """The source moved to `version` and now has these items and no others."""
        image = self._entered(source)
        is_taken_up = source in self._taken_up
        self._taken_up.discard(source)
        if version <= image.version:
            return
        if is_taken_up and image.version:
            # Who spoke for it before may have told others of versions between: what has changed since those is not known
            # here, so everybody gets the whole image.
            image.items, image.base = {}, version
        gone = [name for name, (_, value) in image.items.items() if value is not None and name not in values]
        changed = {name: value for name, value in values.items() if image.items.get(name, (0, None))[1] != value}
        changed |= dict.fromkeys(gone)
        if not image.version:
            image.base = version
        image.items |= {name: (version, value) for name, value in changed.items()}
        if sum(value is None for _, value in image.items.values()) > GONE_LIMIT:
            # Whoever is further back gets the whole image instead.
            image.items = {name: item for name, item in image.items.items() if item[1] is not None}
            image.base = version
        image.version = version
        self._moved(source, image)

    def _moved(self, source, image):
        self.moves += 1
        self.revision += 1
        image.moved_at = self.moves
        self._tell(source)

    # --- reading ---

    def confirmed_at(self, source):
        """This node's monotonic time at which its image of the source was surely the newest."""
        image = self.images.get(source)
        if image is None:
            return float("-inf")
        own = self._own_sources.get(source)
        at = own() if own else None
        if at is not None:
            image.confirmed_at = max(image.confirmed_at, at)
        return image.confirmed_at

    def age(self, source):
        return self._reactor.seconds() - self.confirmed_at(source)

    def values(self, source):
        image = self.images.get(source)
        return {} if image is None else {name: value for name, (_, value) in image.items.items() if value is not None}

    def watch(self, prefix, watcher):
        """`watcher(source)` is called when the image of a source with this prefix has moved."""
        self._watchers.setdefault(prefix, []).append(watcher)

    def _tell(self, source):
        for prefix, watchers in self._watchers.items():
            if source.startswith(prefix):
                for watcher in watchers:
                    watcher(source)

    def drop(self, source):
        if self.images.pop(source, None) is not None:
            self.losses += 1
            self.revision += 1

    # --- pulling ---

    def seen(self):
        return [idl.Seen(source=source, version=image.version) for source, image in self.images.items()]

    def seen_since(self, moves):
        return [idl.Seen(source=source, version=image.version) for source, image in self.moved_since(moves)]

    def moved_since(self, moves):
        return [] if moves == self.moves else [pair for pair in self.images.items() if pair[1].moved_at > moves]

    def images_at(self, pairs):
        """For each (source, version) this node's image, as long as `revision` stands."""
        images = self.images
        return [
            image if (image := images.get(source)) is not None and image.version == version else ABSENT
            for source, version in pairs
        ]

    def images_to_confirm(self, seen):
        """The same for a vector of this node's own, but what it speaks for itself is not confirmed by others."""
        images, own = self.images, self._own_sources
        return [
            image
            if (image := images.get(one.source)) is not None and image.version == one.version and one.source not in own
            else SETTLED
            for one in seen
        ]

    def ages_ms(self, images):
        """The age of each, None if it has none."""
        for source in self._own_sources:
            self.confirmed_at(source)
        now, limit = self._reactor.seconds(), AGE_LIMIT / 1000
        return [int(age * 1000) + 1 if (age := now - image.confirmed_at) <= limit else None for image in images]

    def confirm(self, source, at):
        """Whether there is such an image; what it says was so at this time."""
        image = self.images.get(source)
        if image is not None:
            image.confirmed_at = max(image.confirmed_at, at)
        return image is not None

    def news_for(self, seen):
        """What the puller lacks; of what it has in its newest version, only the place in its list and the age."""
        places = {one.source: place for place, one in enumerate(seen)}
        images, ages = [], []
        for source, image in self.images.items():
            version = seen[places[source]].version if source in places else 0
            if image.version > version or source not in places:
                images.append(self.image_for(source, version))
            elif image.version == version:
                ages.append(idl.Age(place=places[source], age_ms=self._age_ms(source)))
        return idl.News(images=images, ages=ages)

    def _age_ms(self, source):
        age = self.age(source)
        return AGE_LIMIT if age > AGE_LIMIT / 1000 else int(age * 1000) + 1

    def image_for(self, source, version):
        image = self.images[source]
        whole = version < image.base or version < 0
        items = [
            idl.Item(name=name, version=item_version, value=value)
            for name, (item_version, value) in image.items.items()
            if (value is not None if whole else item_version > version)
        ]
        return idl.Image(source=source, version=image.version, whole=whole, items=items, age_ms=self._age_ms(source))

    def whole_image(self, source):
        return self.image_for(source, -1)

    def merge(self, news, seen, asked_at):
        """Takes in what came for the list `seen` that was sent at monotonic time `askedAt`."""
        self.merge_images(news.images or [], asked_at)
        for one in news.ages or []:
            known = seen[one.place] if 0 <= one.place < len(seen) else None
            image = self.images.get(known.source) if known else None
            if image is not None and image.version == known.version and known.source not in self._own_sources:
                image.confirmed_at = max(image.confirmed_at, asked_at - one.age_ms / 1000)
        if news.ages_packed:
            for image, age in zip(seen.images_in(self), unpack_ages(news.ages_packed)):
                if age is not None and asked_at - age / 1000 > image.confirmed_at:
                    image.confirmed_at = asked_at - age / 1000

    def merge_images(self, images, asked_at):
        for received in images:
            if received.source in self._own_sources:
                continue
            image = self._entered(received.source)
            if received.version < image.version:
                continue
            moved = received.version > image.version
            if moved:
                items = {
                    item.name: (item.version, item.value)
                    for item in received.items
                    if received.whole or item.version > image.items.get(item.name, (0, None))[0]
                }
                image.items = items if received.whole else image.items | items
                image.base = received.version if received.whole else image.base
                image.version = received.version
            image.confirmed_at = max(image.confirmed_at, asked_at - received.age_ms / 1000)
            if moved:
                self._moved(received.source, image)
