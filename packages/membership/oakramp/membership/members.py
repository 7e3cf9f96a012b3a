"""What a node knows of the others, and whom it pulls from."""

from collections import Counter
from dataclasses import dataclass, fields
from typing import Protocol

from oakramp.common.constants import (
    CONDITION_AGE,
    FORGET_AGE,
    GOSSIP_CONTROL_PEER_COUNT,
    GOSSIP_PEER_COUNT,
    PEERS_AGE,
    PULL_PAUSE,
)
from oakramp.membership.rendezvous_hashing import named

LIVE, SILENT, LEAVING, PARTED = "live", "silent", "leaving", "parted"
STORAGE_FAULT = "storageFault"

# What a node says of itself in its row.
UP_STATE = "up"
LEAVING_STATE = "leaving"  # it is about to stop
PARTITIONED_STATE = "parted"  # it is heard, but hears no majority of the voters
STORAGE_FAULT_STATE = "storageFault"  # its disk refuses writes

# A state that this release does not know is taken for a partition: its node is passed over.
CONDITION_OF_STATE = {UP_STATE: LIVE, LEAVING_STATE: LEAVING, STORAGE_FAULT_STATE: STORAGE_FAULT}


MEMBER_KEYS = {"node_id": "nodeId"}  # how fields are spelled on the wire, where they are spelled otherwise


@dataclass(frozen=True)
class Member:
    """The row in which a node describes itself; spelled on the wire as MEMBER_KEYS says."""

    node_id: str
    boot: str
    kind: str
    zone: str
    machine: str
    peer: str
    http: str
    state: str  # one of the states above, by its own word
    release: str

    @classmethod
    def from_json(cls, row):
        """Fields that a newer release adds are passed over."""
        return cls(**{field.name: row[MEMBER_KEYS.get(field.name, field.name)] for field in fields(cls)})

    def to_json(self):
        """The row as it is told to other nodes and shown to operators."""
        return {MEMBER_KEYS.get(name, name): value for name, value in vars(self).items()}


class Heartbeat(Protocol):
    """What tells of a boot's newest sign of life. It is read when it is asked for, so that nothing has to be done for
    each member while nothing but ages moves."""

    confirmed_at: float  # monotonic seconds here, counted back by the age under which it was passed on; never goes back


class Members:
    """Invariants: one row and one heartbeat for each boot of a node; `_latest` names for each node its boot that was
    seen last, as of the last `note` or `refresh`; `_live_counts` are at most PULL_PAUSE old; `_peers` were the gossip
    peers at `_peers_at`."""

    def __init__(self, reactor, own_id):
        self._reactor, self._own_id = reactor, own_id
        self._rows = {}
        self._heartbeats = {}
        self._latest = {}
        self._peers, self._peers_at = [], float("-inf")
        self._live_counts, self._counted_at = Counter(), float("-inf")

    def note(self, member, heartbeat):
        """Takes in a row and the heartbeat that goes on to tell its age."""
        key = (member.node_id, member.boot)
        if self._rows.get(key) != member:
            self._peers_at = float("-inf")
        self._rows[key] = member
        self._heartbeats[key] = heartbeat
        self._prefer(key)

    def _prefer(self, key):
        """Makes this boot the node's latest if it was seen after the one that is."""
        latest = self._latest.setdefault(key[0], key)
        if latest != key and self._seen_at(key) > self._seen_at(latest):
            self._latest[key[0]] = key

    def _seen_at(self, key):
        return self._heartbeats[key].confirmed_at

    def refresh(self):
        """Finds each node's latest boot anew, drops rows past their time, and returns the boots dropped."""
        if len(self._latest) < len(self._rows):
            for key in self._rows:
                self._prefer(key)
        oldest = self._reactor.seconds() - FORGET_AGE
        old = [
            key
            for key, heartbeat in self._heartbeats.items()
            if heartbeat.confirmed_at < oldest and key[0] != self._own_id
        ]
        for key in old:
            del self._rows[key], self._heartbeats[key]
        for node_id in {node_id for node_id, _ in old}:
            left = [key for key in self._rows if key[0] == node_id]
            del self._latest[node_id]
            if left:
                self._latest[node_id] = max(left, key=self._seen_at)
        return [boot for _, boot in old]

    def newest(self):
        """nodeId -> (member, age), the boot that was seen last."""
        now, rows, heartbeats = self._reactor.seconds(), self._rows, self._heartbeats
        return {node_id: (rows[key], now - heartbeats[key].confirmed_at) for node_id, key in self._latest.items()}

    def find_with_age(self, node_id):
        """(newest row, age in seconds) of a node; (None, inf) if it is not known."""
        key = self._latest.get(node_id)
        if key is None:
            return None, float("inf")
        return self._rows[key], self._reactor.seconds() - self._seen_at(key)

    def live_count(self, kind):
        """How many members of a kind were live within the last PULL_PAUSE seconds: for shares, which need no newer
        count, taken on the way of each request."""
        now = self._reactor.seconds()
        if now - self._counted_at >= PULL_PAUSE:
            self._live_counts, self._counted_at = Counter(member.kind for member in self.live()), now
        return self._live_counts[kind]

    def condition(self, node_id):
        """LIVE, LEAVING, PARTED (it reaches no majority), STORAGE_FAULT (its disk refuses writes) or SILENT for longer
        than CONDITION_AGE."""
        key = self._latest.get(node_id)
        if key is None or self._reactor.seconds() - self._seen_at(key) > CONDITION_AGE:
            return SILENT
        return CONDITION_OF_STATE.get(self._rows[key].state, PARTED)

    def successor_of(self, node_id, address):
        """The live node that listens where this one did, or None. Two cannot listen at one address, so this one's
        process has ended: `address` is where it was if nothing has been heard of it."""
        previous = self._latest.get(node_id)
        address = self._rows[previous].peer if previous else address
        previous_seen_at, now = self._seen_at(previous) if previous else float("-inf"), self._reactor.seconds()
        return next(
            (
                self._rows[key]
                for key in self._latest.values()
                if self._rows[key].peer == address
                and key[0] != node_id
                and self._rows[key].state == UP_STATE
                and self._seen_at(key) > previous_seen_at
                and now - self._seen_at(key) <= CONDITION_AGE
            ),
            None,
        )

    def live(self, kind=None):
        """The members that are live, of one kind or of all."""
        return [
            member
            for member, age in self.newest().values()
            if age <= CONDITION_AGE and member.state == UP_STATE and kind in (None, member.kind)
        ]

    def find(self, node_id):
        """The newest row of a node, or None."""
        return self._rows.get(self._latest.get(node_id))

    def gossip_peers(self, own_kind):
        """Those this node pulls from and so watches: all control nodes if it is one of them, else the
        ones named for it; and the few of all nodes that are named for it.

        They are named anew when a row has come, one of them is not live any more, or PEERS_AGE has passed."""
        now = self._reactor.seconds()
        if not self._peers or now - self._peers_at >= PEERS_AGE or any(map(self._is_not_live, self._peers)):
            self._peers, self._peers_at = self._name_peers(own_kind), now
        return self._peers

    def _is_not_live(self, member):
        return self.condition(member.node_id) != LIVE

    def _name_peers(self, own_kind):
        others = {member.node_id: member for member in self.live() if member.node_id != self._own_id}
        control_ids = [node_id for node_id, member in others.items() if member.kind == "control"]
        chosen_ids = set(
            control_ids if own_kind == "control" else named(control_ids, self._own_id, GOSSIP_CONTROL_PEER_COUNT)
        )
        chosen_ids |= set(named(list(others.keys() - chosen_ids), self._own_id, GOSSIP_PEER_COUNT))
        return [others[node_id] for node_id in sorted(chosen_ids)]
