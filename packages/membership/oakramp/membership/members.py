"""The members of the cluster as one node knows them, and the choice of its gossip peers."""

from collections import Counter
from dataclasses import dataclass, fields
from typing import Protocol

from oakramp.common.constants import (
    FORGET_AGE,
    GOSSIP_CONTROL_PEER_COUNT,
    GOSSIP_PEER_COUNT,
    LIVENESS_AGE,
    PEERS_AGE,
    PULL_PAUSE,
)
from oakramp.membership.rendezvous_hashing import top_ranked

LIVE, SILENT, LEAVING, PARTITIONED = "live", "silent", "leaving", "parted"
STORAGE_FAULT = "storageFault"

# States that a node publishes in its own row.
UP_STATE = "up"
LEAVING_STATE = "leaving"  # it is about to stop
PARTITIONED_STATE = "parted"  # its row arrives, but it reaches no majority of the voters
STORAGE_FAULT_STATE = "storageFault"  # its disk refuses writes

# A state that this release does not know counts as a partition: its node is not used.
CONDITION_OF_STATE = {UP_STATE: LIVE, LEAVING_STATE: LEAVING, STORAGE_FAULT_STATE: STORAGE_FAULT}


MEMBER_KEYS = {"node_id": "nodeId"}  # wire names of fields, where they differ from the Python names


@dataclass(frozen=True)
class Member:
    """The row in which a node describes itself; MEMBER_KEYS maps its fields to their wire names."""

    node_id: str
    boot: str
    kind: str
    zone: str
    machine: str
    peer: str
    http: str
    state: str  # one of the published states above
    release: str

    @classmethod
    def from_json(cls, row):
        """The member in a row. Fields added by a newer release are ignored."""
        return cls(**{field.name: row[MEMBER_KEYS.get(field.name, field.name)] for field in fields(cls)})

    def to_json(self):
        """The row as it is sent to other nodes and shown to operators."""
        return {MEMBER_KEYS.get(name, name): value for name, value in vars(self).items()}


class Heartbeat(Protocol):
    """The latest heartbeat of one boot of a node. It is read on demand, so that no work is done for each member while
    only ages change."""

    confirmed_at: float  # this node's monotonic seconds, less the age that came with it; never decreases


class Members:
    """The rows and heartbeats of all known nodes.

    Invariants: one row and one heartbeat for each boot of a node; `_latest` maps each node to its most recently seen
    boot, as of the last `note` or `refresh`; `_live_counts` are at most PULL_PAUSE old; `_peers` were the gossip peers
    at `_peers_at`."""

    def __init__(self, reactor, own_id):
        self._reactor, self._own_id = reactor, own_id
        self._rows = {}
        self._heartbeats = {}
        self._latest = {}
        self._peers, self._peers_at = [], float("-inf")
        self._live_counts, self._counted_at = Counter(), float("-inf")

    def note(self, member, heartbeat):
        """Stores a row and the heartbeat from which its age is read from now on."""
        key = (member.node_id, member.boot)
        if self._rows.get(key) != member:
            self._peers_at = float("-inf")
        self._rows[key] = member
        self._heartbeats[key] = heartbeat
        self._update_latest(key)

    def _update_latest(self, key):
        """Makes this boot the node's latest if it was seen later than the current one."""
        latest = self._latest.setdefault(key[0], key)
        if latest != key and self._seen_at(key) > self._seen_at(latest):
            self._latest[key[0]] = key

    def _seen_at(self, key):
        return self._heartbeats[key].confirmed_at

    def refresh(self):
        """Updates each node's latest boot, drops rows older than FORGET_AGE, and returns the dropped boots."""
        if len(self._latest) < len(self._rows):
            for key in self._rows:
                self._update_latest(key)
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
        """node id -> (member, age in seconds) of the boot that was seen last."""
        now, rows, heartbeats = self._reactor.seconds(), self._rows, self._heartbeats
        return {node_id: (rows[key], now - heartbeats[key].confirmed_at) for node_id, key in self._latest.items()}

    def find_with_age(self, node_id):
        """(newest row, age in seconds) of a node; (None, inf) if it is not known."""
        key = self._latest.get(node_id)
        if key is None:
            return None, float("inf")
        return self._rows[key], self._reactor.seconds() - self._seen_at(key)

    def live_count(self, kind):
        """The number of live members of a kind, at most PULL_PAUSE seconds old. It is read for each request, to compute
        shares, which need no newer count."""
        now = self._reactor.seconds()
        if now - self._counted_at >= PULL_PAUSE:
            self._live_counts, self._counted_at = Counter(member.kind for member in self.live()), now
        return self._live_counts[kind]

    def condition(self, node_id):
        """LIVE, LEAVING, PARTITIONED (it reaches no majority), STORAGE_FAULT (its disk refuses writes), or SILENT (no
        heartbeat for longer than LIVENESS_AGE)."""
        key = self._latest.get(node_id)
        if key is None or self._reactor.seconds() - self._seen_at(key) > LIVENESS_AGE:
            return SILENT
        return CONDITION_OF_STATE.get(self._rows[key].state, PARTITIONED)

    def successor_of(self, node_id, address):
        """The live node that listens at the former address of this one, or None. Two processes cannot listen at one
        address, so this one's process has ended. `address` is used if no row of this node is known."""
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
                and now - self._seen_at(key) <= LIVENESS_AGE
            ),
            None,
        )

    def live(self, kind=None):
        """The members that are live, of one kind or of all."""
        return [
            member
            for member, age in self.newest().values()
            if age <= LIVENESS_AGE and member.state == UP_STATE and kind in (None, member.kind)
        ]

    def find(self, node_id):
        """The newest row of a node, or None."""
        return self._rows.get(self._latest.get(node_id))

    def gossip_peers(self, own_kind):
        """The members that this node pulls from and thereby monitors: all control nodes if it is one of them, otherwise
        GOSSIP_CONTROL_PEER_COUNT of them chosen by rendezvous hashing; and GOSSIP_PEER_COUNT of all other nodes, chosen
        in the same way.

        They are chosen again when a row has changed, when one of them is no longer live, or after PEERS_AGE seconds."""
        now = self._reactor.seconds()
        if not self._peers or now - self._peers_at >= PEERS_AGE or any(map(self._is_not_live, self._peers)):
            self._peers, self._peers_at = self._choose_peers(own_kind), now
        return self._peers

    def _is_not_live(self, member):
        return self.condition(member.node_id) != LIVE

    def _choose_peers(self, own_kind):
        others = {member.node_id: member for member in self.live() if member.node_id != self._own_id}
        control_ids = [node_id for node_id, member in others.items() if member.kind == "control"]
        chosen_ids = set(
            control_ids if own_kind == "control" else top_ranked(control_ids, self._own_id, GOSSIP_CONTROL_PEER_COUNT)
        )
        chosen_ids |= set(top_ranked(list(others.keys() - chosen_ids), self._own_id, GOSSIP_PEER_COUNT))
        return [others[node_id] for node_id in sorted(chosen_ids)]
