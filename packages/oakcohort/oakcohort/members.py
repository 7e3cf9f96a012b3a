"""What a node knows of the others, and whom it pulls from."""

from dataclasses import dataclass, fields

from oakbase.constants import COHORT_CONTROL, COHORT_SIZE, CONDITION_AGE, FORGET_AGE
from oakcohort.rendezvous import named

LIVE, SILENT, LEAVING, PARTED = "live", "silent", "leaving", "parted"


@dataclass(frozen=True)
class Member:
    nodeId: str
    boot: str
    kind: str
    zone: str
    machine: str
    peer: str
    http: str
    state: str  # "up", "leaving", or "parted" (heard, but hearing no majority of the roster), by its own word
    release: str

    @classmethod
    def fromJson(cls, row):
        """Fields that a newer release adds are passed over."""
        return cls(**{field.name: row[field.name] for field in fields(cls)})


class Members:
    """Invariants: one row for each boot of a node; `_seenAt` is this node's own monotonic time of the
    newest sign of life, counted back by the age under which it was passed on, and never goes back;
    `_latest` names for each node its boot that was seen last."""

    def __init__(self, reactor, ownId):
        self._reactor, self._ownId = reactor, ownId
        self._rows = {}
        self._seenAt = {}
        self._latest = {}
        self._cohort = None, None

    def note(self, member, seenAt):
        key = (member.nodeId, member.boot)
        if self._reactor.seconds() - seenAt > FORGET_AGE:
            return
        self._rows[key] = member
        self._seenAt[key] = seenAt = max(seenAt, self._seenAt.get(key, seenAt))
        latest = self._latest.setdefault(member.nodeId, key)
        if latest != key and seenAt > self._seenAt[latest]:
            self._latest[member.nodeId] = key

    def forgetOld(self):
        """Drops rows past their time, and returns the boots dropped."""
        now = self._reactor.seconds()
        old = [key for key, seenAt in self._seenAt.items() if now - seenAt > FORGET_AGE and key[0] != self._ownId]
        for key in old:
            del self._rows[key], self._seenAt[key]
        for nodeId in {nodeId for nodeId, _ in old}:
            left = [key for key in self._rows if key[0] == nodeId]
            del self._latest[nodeId]
            if left:
                self._latest[nodeId] = max(left, key=self._seenAt.get)
        return [boot for _, boot in old]

    def newest(self):
        """nodeId -> (member, age), the boot that was seen last."""
        now = self._reactor.seconds()
        return {nodeId: (self._rows[key], now - self._seenAt[key]) for nodeId, key in self._latest.items()}

    def condition(self, nodeId):
        key = self._latest.get(nodeId)
        if key is None or self._reactor.seconds() - self._seenAt[key] > CONDITION_AGE:
            return SILENT
        return {"up": LIVE, "leaving": LEAVING}.get(self._rows[key].state, PARTED)

    def successorOf(self, nodeId, address):
        """The live node that listens where this one did, or None. Two cannot listen at one address, so this one's
        process has ended: `address` is where it was if nothing has been heard of it."""
        former = self._latest.get(nodeId)
        address = self._rows[former].peer if former else address
        formerSeenAt, now = self._seenAt[former] if former else float("-inf"), self._reactor.seconds()
        return next(
            (
                self._rows[key]
                for key in self._latest.values()
                if self._rows[key].peer == address
                and key[0] != nodeId
                and self._rows[key].state == "up"
                and self._seenAt[key] > formerSeenAt
                and now - self._seenAt[key] <= CONDITION_AGE
            ),
            None,
        )

    def live(self, kind=None):
        return [
            member
            for member, age in self.newest().values()
            if age <= CONDITION_AGE and member.state == "up" and kind in (None, member.kind)
        ]

    def find(self, nodeId):
        return self._rows.get(self._latest.get(nodeId))

    def cohort(self, ownKind):
        """Those this node pulls from and so watches: all control nodes if it is one of them, else the
        ones named for it; and the few of all nodes that are named for it."""
        others = {member.nodeId: member for member in self.live() if member.nodeId != self._ownId}
        kinds = ownKind, {(nodeId, member.kind) for nodeId, member in others.items()}
        if self._cohort[0] != kinds:
            controlIds = [nodeId for nodeId, member in others.items() if member.kind == "control"]
            chosenIds = set(controlIds if ownKind == "control" else named(controlIds, self._ownId, COHORT_CONTROL))
            self._cohort = (
                kinds,
                sorted(chosenIds | set(named(list(others.keys() - chosenIds), self._ownId, COHORT_SIZE))),
            )
        return [others[nodeId] for nodeId in self._cohort[1]]
