"""What a node knows of the others, and whom it pulls from."""

from dataclasses import dataclass, fields

from oakramp.common.constants import CONDITION_AGE, FORGET_AGE, GOSSIP_CONTROL_PEER_COUNT, GOSSIP_PEER_COUNT
from oakramp.membership.rendezvous_hashing import named

LIVE, SILENT, LEAVING, PARTED = "live", "silent", "leaving", "parted"


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
    state: str  # "up", "leaving", or "parted" (heard, but hearing no majority of the roster), by its own word
    release: str

    @classmethod
    def from_json(cls, row):
        """Fields that a newer release adds are passed over."""
        return cls(**{field.name: row[MEMBER_KEYS.get(field.name, field.name)] for field in fields(cls)})

    def to_json(self):
        """The row as it is told to other nodes and shown to operators."""
        return {MEMBER_KEYS.get(name, name): value for name, value in vars(self).items()}


class Members:
    """Invariants: one row for each boot of a node; `_seenAt` is this node's own monotonic time of the
    newest sign of life, counted back by the age under which it was passed on, and never goes back;
    `_latest` names for each node its boot that was seen last."""

    def __init__(self, reactor, own_id):
        self._reactor, self._own_id = reactor, own_id
        self._rows = {}
        self._seen_at = {}
        self._latest = {}
        self._gossip_peers = None, None

    def note(self, member, seen_at):
        """Takes in a row that was current at `seen_at` (monotonic seconds here); an old one changes nothing."""
        key = (member.node_id, member.boot)
        if self._reactor.seconds() - seen_at > FORGET_AGE:
            return
        self._rows[key] = member
        self._seen_at[key] = seen_at = max(seen_at, self._seen_at.get(key, seen_at))
        latest = self._latest.setdefault(member.node_id, key)
        if latest != key and seen_at > self._seen_at[latest]:
            self._latest[member.node_id] = key

    def forget_old(self):
        """Drops rows past their time, and returns the boots dropped."""
        now = self._reactor.seconds()
        old = [key for key, seen_at in self._seen_at.items() if now - seen_at > FORGET_AGE and key[0] != self._own_id]
        for key in old:
            del self._rows[key], self._seen_at[key]
        for node_id in {node_id for node_id, _ in old}:
            left = [key for key in self._rows if key[0] == node_id]
            del self._latest[node_id]
            if left:
                self._latest[node_id] = max(left, key=self._seen_at.get)
        return [boot for _, boot in old]

    def newest(self):
        """nodeId -> (member, age), the boot that was seen last."""
        now = self._reactor.seconds()
        return {node_id: (self._rows[key], now - self._seen_at[key]) for node_id, key in self._latest.items()}

    def condition(self, node_id):
        """LIVE, LEAVING, PARTED (it reaches no majority) or SILENT for longer than CONDITION_AGE."""
        key = self._latest.get(node_id)
        if key is None or self._reactor.seconds() - self._seen_at[key] > CONDITION_AGE:
            return SILENT
        return {"up": LIVE, "leaving": LEAVING}.get(self._rows[key].state, PARTED)

    def successor_of(self, node_id, address):
        """The live node that listens where this one did, or None. Two cannot listen at one address, so this one's
        process has ended: `address` is where it was if nothing has been heard of it."""
        previous = self._latest.get(node_id)
        address = self._rows[previous].peer if previous else address
        previous_seen_at, now = self._seen_at[previous] if previous else float("-inf"), self._reactor.seconds()
        return next(
            (
                self._rows[key]
                for key in self._latest.values()
                if self._rows[key].peer == address
                and key[0] != node_id
                and self._rows[key].state == "up"
                and self._seen_at[key] > previous_seen_at
                and now - self._seen_at[key] <= CONDITION_AGE
            ),
            None,
        )

    def live(self, kind=None):
        """The members that are live, of one kind or of all."""
        return [
            member
            for member, age in self.newest().values()
            if age <= CONDITION_AGE and member.state == "up" and kind in (None, member.kind)
        ]

    def find(self, node_id):
        """The newest row of a node, or None."""
        return self._rows.get(self._latest.get(node_id))

    def gossip_peers(self, own_kind):
        """Those this node pulls from and so watches: all control nodes if it is one of them, else the
        ones named for it; and the few of all nodes that are named for it."""
        others = {member.node_id: member for member in self.live() if member.node_id != self._own_id}
        kinds = own_kind, {(node_id, member.kind) for node_id, member in others.items()}
        if self._gossip_peers[0] != kinds:
            control_ids = [node_id for node_id, member in others.items() if member.kind == "control"]
            chosen_ids = set(
                control_ids if own_kind == "control" else named(control_ids, self._own_id, GOSSIP_CONTROL_PEER_COUNT)
            )
            self._gossip_peers = (
                kinds,
                sorted(chosen_ids | set(named(list(others.keys() - chosen_ids), self._own_id, GOSSIP_PEER_COUNT))),
            )
        return [others[node_id] for node_id in self._gossip_peers[1]]
