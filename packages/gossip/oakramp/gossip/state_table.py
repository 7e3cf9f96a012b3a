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
    """Invariants: `moves` rises whenever an image moves, and every image's `movedAt` is unlike the others'; `losses`
    rises whenever an image may have become older than what a neighbour was told of; `revision` rises whenever an image
    comes, moves or goes, or this node begins or ends to speak for it."""

    def __init__(self, reactor):
        self._reactor = reactor
        self.moves = self.losses = self.revision = 0
        self.snapshots = {}
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
        if source not in self.snapshots:
            self.snapshots[source] = SourceState()
            self.revision += 1
        return self.snapshots[source]

    def retract(self, source):
        """This node publishes the source no more; what others have of it is taken again."""
        self._taken_up.discard(source)
        if self._own_sources.pop(source, None) is not None:
            self.losses += 1  # what others sent of it meanwhile was not taken in
            self.revision += 1

    def set_items(self, source, version, values):
        """The source moved to `version` and now has these items and no others."""
        snapshot = self._entered(source)
        is_taken_up = source in self._taken_up
        self._taken_up.discard(source)
        if version <= snapshot.version:
            return
        if is_taken_up and snapshot.version:
            # Who spoke for it before may have told others of versions between: what has changed since those is not
            # known here, so everybody gets the whole image.
            snapshot.items, snapshot.base = {}, version
        gone = [name for name, (_, value) in snapshot.items.items() if value is not None and name not in values]
        changed = {name: value for name, value in values.items() if snapshot.items.get(name, (0, None))[1] != value}
        changed |= dict.fromkeys(gone)
        if not snapshot.version:
            snapshot.base = version
        snapshot.items |= {name: (version, value) for name, value in changed.items()}
        if sum(value is None for _, value in snapshot.items.values()) > GONE_LIMIT:
            # Whoever is further back gets the whole image instead.
            snapshot.items = {name: item for name, item in snapshot.items.items() if item[1] is not None}
            snapshot.base = version
        snapshot.version = version
        self._moved(source, snapshot)

    def _moved(self, source, snapshot):
        self.moves += 1
        self.revision += 1
        snapshot.moved_at = self.moves
        self._tell(source)

    # --- reading ---

    def confirmed_at(self, source):
        """This node's monotonic time at which its image of the source was surely the newest."""
        snapshot = self.snapshots.get(source)
        if snapshot is None:
            return float("-inf")
        own = self._own_sources.get(source)
        at = own() if own else None
        if at is not None:
            snapshot.confirmed_at = max(snapshot.confirmed_at, at)
        return snapshot.confirmed_at

    def age(self, source):
        """Seconds since the source last confirmed what is known of it."""
        return self._reactor.seconds() - self.confirmed_at(source)

    def oldest_age(self, left_out):
        """Seconds since the least recently confirmed source was confirmed, of those that others publish and whose name
        does not begin with `left_out`; 0 if there are none."""
        confirmed_at = [
            snapshot.confirmed_at
            for source, snapshot in self.snapshots.items()
            if not source.startswith(left_out) and source not in self._own_sources
        ]
        return self._reactor.seconds() - min(confirmed_at) if confirmed_at else 0.0

    def values(self, source):
        """The items of a source by name; none if the source is unknown."""
        snapshot = self.snapshots.get(source)
        return (
            {}
            if snapshot is None
            else {name: value for name, (_, value) in snapshot.items.items() if value is not None}
        )

    def watch(self, prefix, watcher):
        """`watcher(source)` is called when the image of a source with this prefix has moved."""
        self._watchers.setdefault(prefix, []).append(watcher)

    def _tell(self, source):
        for prefix, watchers in self._watchers.items():
            if source.startswith(prefix):
                for watcher in watchers:
                    watcher(source)

    def drop(self, source):
        """Forgets a source."""
        if self.snapshots.pop(source, None) is not None:
            self.losses += 1
            self.revision += 1

    # --- pulling ---

    def seen(self):
        """The version of each source here, as a full vector for a peer."""
        return [
            idl.SourceVersion(source=source, version=snapshot.version) for source, snapshot in self.snapshots.items()
        ]

    def seen_since(self, moves):
        """The same, only of the sources that moved after this count of moves."""
        return [
            idl.SourceVersion(source=source, version=snapshot.version) for source, snapshot in self.moved_since(moves)
        ]

    def moved_since(self, moves):
        """(source, state) of the sources that moved after this count of moves."""
        return [] if moves == self.moves else [pair for pair in self.snapshots.items() if pair[1].moved_at > moves]

    def snapshots_at(self, pairs):
        """For each (source, version) this node's image, as long as `revision` stands."""
        snapshots = self.snapshots
        return [
            snapshot if (snapshot := snapshots.get(source)) is not None and snapshot.version == version else ABSENT
            for source, version in pairs
        ]

    def snapshots_to_confirm(self, seen):
        """The same for a vector of this node's own, but what it speaks for itself is not confirmed by others."""
        snapshots, own = self.snapshots, self._own_sources
        return [
            snapshot
            if (snapshot := snapshots.get(one.source)) is not None
            and snapshot.version == one.version
            and one.source not in own
            else SETTLED
            for one in seen
        ]

    def ages_ms(self, snapshots):
        """The age of each, None if it has none."""
        for source in self._own_sources:
            self.confirmed_at(source)
        now, limit = self._reactor.seconds(), AGE_LIMIT / 1000
        return [
            int(age * 1000) + 1 if (age := now - snapshot.confirmed_at) <= limit else None for snapshot in snapshots
        ]

    def confirm(self, source, at):
        """Whether there is such an image; what it says was so at this time."""
        snapshot = self.snapshots.get(source)
        if snapshot is not None:
            snapshot.confirmed_at = max(snapshot.confirmed_at, at)
        return snapshot is not None

    def news_for(self, seen):
        """What the puller lacks; of what it has in its newest version, only the place in its list and the age."""
        places = {one.source: place for place, one in enumerate(seen)}
        snapshots, ages = [], []
        for source, snapshot in self.snapshots.items():
            version = seen[places[source]].version if source in places else 0
            if snapshot.version > version or source not in places:
                snapshots.append(self.snapshot_for(source, version))
            elif snapshot.version == version:
                ages.append(idl.Age(place=places[source], age_ms=self._age_ms(source)))
        return idl.GossipUpdate(snapshots=snapshots, ages=ages)

    def _age_ms(self, source):
        age = self.age(source)
        return AGE_LIMIT if age > AGE_LIMIT / 1000 else int(age * 1000) + 1

    def snapshot_for(self, source, version):
        """What a peer lacks that has this version of the source: a delta, or all items where none can be given."""
        snapshot = self.snapshots[source]
        whole = version < snapshot.base or version < 0
        items = [
            idl.Item(name=name, version=item_version, value=value)
            for name, (item_version, value) in snapshot.items.items()
            if (value is not None if whole else item_version > version)
        ]
        return idl.SourceState(
            source=source, version=snapshot.version, whole=whole, items=items, age_ms=self._age_ms(source)
        )

    def full_snapshot(self, source):
        """All items of a source, as a message."""
        return self.snapshot_for(source, -1)

    def merge(self, news, seen, asked_at):
        """Takes in what came for the list `seen` that was sent at monotonic time `askedAt`."""
        self.merge_snapshots(news.snapshots or [], asked_at)
        for one in news.ages or []:
            known = seen[one.place] if 0 <= one.place < len(seen) else None
            snapshot = self.snapshots.get(known.source) if known else None
            if snapshot is not None and snapshot.version == known.version and known.source not in self._own_sources:
                snapshot.confirmed_at = max(snapshot.confirmed_at, asked_at - one.age_ms / 1000)
        if news.ages_packed:
            for snapshot, age in zip(seen.snapshots_in(self), unpack_ages(news.ages_packed)):
                if age is not None and asked_at - age / 1000 > snapshot.confirmed_at:
                    snapshot.confirmed_at = asked_at - age / 1000

    def merge_snapshots(self, snapshots, asked_at):
        """Takes in what a peer sent; `asked_at` is when it was asked (monotonic seconds); ages count back from it."""
        for received in snapshots:
            if received.source in self._own_sources:
                continue
            snapshot = self._entered(received.source)
            if received.version < snapshot.version:
                continue
            moved = received.version > snapshot.version
            if moved:
                items = {
                    item.name: (item.version, item.value)
                    for item in received.items
                    if received.whole or item.version > snapshot.items.get(item.name, (0, None))[0]
                }
                snapshot.items = items if received.whole else snapshot.items | items
                snapshot.base = received.version if received.whole else snapshot.base
                snapshot.version = received.version
            snapshot.confirmed_at = max(snapshot.confirmed_at, asked_at - received.age_ms / 1000)
            if moved:
                self._moved(received.source, snapshot)
