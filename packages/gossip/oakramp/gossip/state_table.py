"""The replicated state of all sources, and the deltas between its versions.

A source has one writer at a time (a published control key, or one boot of a node) and a version that only increases.
A puller sends the version it holds of each source and receives what is newer, with the age of the source's last
confirmation. Ages are sent as durations, and the receiver subtracts them, on its own clock, from the time at which it
sent the request; so an age can only be overstated.
"""

from dataclasses import dataclass, field

from oakramp.common.constants import REMOVED_ITEMS_LIMIT
from oakramp.gossip.version_exchange import unpack_ages
from oakramp.rpc.codec import idl

AGE_LIMIT = 2**31 - 1  # ms, the largest age that fits the i32 field on the wire


@dataclass
class SourceState:
    """The items of one source.

    Invariants: every item's version <= `version`; an item with value None is a tombstone, removed at its version; at
    monotonic time `confirmed_at` the source was still at `version`; `items` holds all changes and removals after
    version `base`, so deltas can be built from `base` or any later version, but from none before it.
    """

    version: int = 0
    base: int = 0
    items: dict = field(default_factory=dict)
    confirmed_at: float = float("-inf")
    changed_at: int = 0  # the table's `change_count` at the last change of this source


ABSENT = SourceState()  # placeholder for a snapshot that this node does not have: it has no age to report
UNCONFIRMABLE = SourceState(confirmed_at=float("inf"))  # placeholder for a snapshot that ages from peers cannot confirm


class StateTable:
    """This node's snapshots of all sources, its own among them.

    Invariants: `change_count` increases whenever a snapshot changes, and no two snapshots have the same `changed_at`;
    `rollback_count` increases whenever a snapshot may have become older than the version that a peer was told;
    `revision` increases whenever a snapshot is added, changed or removed, or this node starts or stops publishing it.
    """

    def __init__(self, reactor):
        self._reactor = reactor
        self.change_count = self.rollback_count = self.revision = 0
        self.snapshots = {}
        self._own_sources = {}
        self._taken_over = set()  # own sources of which this node has not published a version yet
        self._watchers = {}

    # --- own sources ---

    def publish(self, source, confirmed_at):
        """Makes this node the publisher of `source`.

        `confirmed_at()` returns the latest time at which this node can confirm the source, or None if it currently
        cannot."""
        if source not in self._own_sources:
            self.revision += 1
            self._taken_over.add(source)
        self._own_sources[source] = confirmed_at
        return self._get_or_create(source)

    def _get_or_create(self, source):
        if source not in self.snapshots:
            self.snapshots[source] = SourceState()
            self.revision += 1
        return self.snapshots[source]

    def retract(self, source):
        """Stops publishing the source; updates of it from peers are merged again."""
        self._taken_over.discard(source)
        if self._own_sources.pop(source, None) is not None:
            self.rollback_count += 1  # updates that peers sent in the meantime were ignored
            self.revision += 1

    def set_items(self, source, version, values):
        """Sets the source to `version` with exactly these items."""
        snapshot = self._get_or_create(source)
        is_taken_over = source in self._taken_over
        self._taken_over.discard(source)
        if version <= snapshot.version:
            return
        if is_taken_over and snapshot.version:
            # The previous publisher may have sent peers versions in between. What changed since those versions is not
            # known here, so every peer gets the full snapshot.
            snapshot.items, snapshot.base = {}, version
        gone = [name for name, (_, value) in snapshot.items.items() if value is not None and name not in values]
        changed = {name: value for name, value in values.items() if snapshot.items.get(name, (0, None))[1] != value}
        changed |= dict.fromkeys(gone)
        if not snapshot.version:
            snapshot.base = version
        snapshot.items |= {name: (version, value) for name, value in changed.items()}
        if sum(value is None for _, value in snapshot.items.values()) > REMOVED_ITEMS_LIMIT:
            # Drops the tombstones; peers with an older version get the full snapshot instead of a delta.
            snapshot.items = {name: item for name, item in snapshot.items.items() if item[1] is not None}
            snapshot.base = version
        snapshot.version = version
        self._mark_changed(source, snapshot)

    def _mark_changed(self, source, snapshot):
        self.change_count += 1
        self.revision += 1
        snapshot.changed_at = self.change_count
        self._notify_watchers(source)

    # --- reading ---

    def confirmed_at(self, source):
        """The latest time, on this node's monotonic clock, at which its snapshot of the source was known to be current;
        -inf if there is no snapshot."""
        snapshot = self.snapshots.get(source)
        if snapshot is None:
            return float("-inf")
        own = self._own_sources.get(source)
        at = own() if own else None
        if at is not None:
            snapshot.confirmed_at = max(snapshot.confirmed_at, at)
        return snapshot.confirmed_at

    def age(self, source):
        """Seconds since the publisher of the source last confirmed the snapshot that is held here."""
        return self._reactor.seconds() - self.confirmed_at(source)

    def oldest_age(self, left_out):
        """The largest age in seconds among the sources that other nodes publish and whose name does not start with
        `left_out`; 0 if there are none."""
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
        """Calls `watcher(source)` whenever the snapshot of a source with this prefix changes."""
        self._watchers.setdefault(prefix, []).append(watcher)

    def _notify_watchers(self, source):
        for prefix, watchers in self._watchers.items():
            if source.startswith(prefix):
                for watcher in watchers:
                    watcher(source)

    def drop(self, source):
        """Removes the snapshot of a source."""
        if self.snapshots.pop(source, None) is not None:
            self.rollback_count += 1
            self.revision += 1

    # --- pulling ---

    def known_versions(self):
        """The version held here of each source, as the full vector to send to a peer."""
        return [
            idl.SourceVersion(source=source, version=snapshot.version) for source, snapshot in self.snapshots.items()
        ]

    def known_versions_since(self, change_count):
        """The versions of the sources that changed after `change_count` had this value."""
        return [
            idl.SourceVersion(source=source, version=snapshot.version)
            for source, snapshot in self.changed_since(change_count)
        ]

    def changed_since(self, change_count):
        """(source, state) of the sources that changed after `change_count` had this value."""
        return (
            []
            if change_count == self.change_count
            else [pair for pair in self.snapshots.items() if pair[1].changed_at > change_count]
        )

    def snapshots_at(self, pairs):
        """This node's snapshot for each (source, version), ABSENT where it holds another version or none. The result is
        valid as long as `revision` does not change."""
        snapshots = self.snapshots
        return [
            snapshot if (snapshot := snapshots.get(source)) is not None and snapshot.version == version else ABSENT
            for source, version in pairs
        ]

    def snapshots_to_confirm(self, seen):
        """The snapshots that ages from a peer may confirm, for a vector that this node sent; UNCONFIRMABLE for sources
        that this node publishes itself, as peers cannot confirm those."""
        snapshots, own = self.snapshots, self._own_sources
        return [
            snapshot
            if (snapshot := snapshots.get(one.source)) is not None
            and snapshot.version == one.version
            and one.source not in own
            else UNCONFIRMABLE
            for one in seen
        ]

    def ages_ms(self, snapshots):
        """The age of each snapshot in ms, None if it has none or if it exceeds AGE_LIMIT."""
        for source in self._own_sources:
            self.confirmed_at(source)
        now, limit = self._reactor.seconds(), AGE_LIMIT / 1000
        return [
            int(age * 1000) + 1 if (age := now - snapshot.confirmed_at) <= limit else None for snapshot in snapshots
        ]

    def confirm(self, source, at):
        """Marks the snapshot of the source as current at this monotonic time.

        Returns:
            whether there is such a snapshot.
        """
        snapshot = self.snapshots.get(source)
        if snapshot is not None:
            snapshot.confirmed_at = max(snapshot.confirmed_at, at)
        return snapshot is not None

    def update_for(self, seen):
        """The snapshots or deltas that the puller lacks; for each source that it holds in the current version, only the
        position in its list and the age."""
        positions = {one.source: place for place, one in enumerate(seen)}
        snapshots, ages = [], []
        for source, snapshot in self.snapshots.items():
            version = seen[positions[source]].version if source in positions else 0
            if snapshot.version > version or source not in positions:
                snapshots.append(self.snapshot_for(source, version))
            elif snapshot.version == version:
                ages.append(idl.Age(place=positions[source], age_ms=self._age_ms(source)))
        return idl.GossipUpdate(snapshots=snapshots, ages=ages)

    def _age_ms(self, source):
        age = self.age(source)
        return AGE_LIMIT if age > AGE_LIMIT / 1000 else int(age * 1000) + 1

    def snapshot_for(self, source, version):
        """What a peer that holds this version of the source lacks: a delta, or all items if no delta can be built."""
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
        """All items of a source, as a struct for the wire."""
        return self.snapshot_for(source, -1)

    def merge(self, update, seen, asked_at):
        """Merges the reply to a pull that sent the list `seen` at monotonic time `asked_at`."""
        self.merge_snapshots(update.snapshots or [], asked_at)
        for one in update.ages or []:
            known = seen[one.place] if 0 <= one.place < len(seen) else None
            snapshot = self.snapshots.get(known.source) if known else None
            if snapshot is not None and snapshot.version == known.version and known.source not in self._own_sources:
                snapshot.confirmed_at = max(snapshot.confirmed_at, asked_at - one.age_ms / 1000)
        if update.ages_packed:
            for snapshot, age in zip(seen.snapshots_in(self), unpack_ages(update.ages_packed)):
                if age is not None and asked_at - age / 1000 > snapshot.confirmed_at:
                    snapshot.confirmed_at = asked_at - age / 1000

    def merge_snapshots(self, snapshots, asked_at):
        """Merges snapshots and deltas from a peer. Their ages are subtracted from `asked_at`, the monotonic time at
        which the peer was asked."""
        for received in snapshots:
            if received.source in self._own_sources:
                continue
            snapshot = self._get_or_create(received.source)
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
                self._mark_changed(received.source, snapshot)
