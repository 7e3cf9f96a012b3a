"""The disk's side of owned keys: one voter on each control node of the roster.

The table of each slot has one owner task; the ring groups the commits of different slots into one sync.
"""
import json
from dataclasses import dataclass, field

from oakbase.checks import packJson
from oakbase.constants import CONTROL_INBOX, SLOTS
from oakbase.inbox import TableOwner
from oakbase.verdict import Fenced
from oakcontrol.roster import Roster
from oakwire.codec import idl


@dataclass
class SlotTable:
    """Invariants, true on disk before any answer that relies on them:
    - `promisedEpoch` never falls; for one epoch there is one `promisedOwner`;
    - `entries` is the state after `sequence` of the image of `imageEpoch`, with no change left out;
    - (imageEpoch, sequence) never falls, and imageEpoch <= promisedEpoch."""

    promisedEpoch: int = 0
    promisedOwner: str = ""
    imageEpoch: int = 0
    sequence: int = 0
    entries: dict = field(default_factory=dict)

    def head(self):
        return packJson([self.promisedEpoch, self.promisedOwner, self.imageEpoch, self.sequence])


class Voter:
    def __init__(self, node, ring):
        self._nodeId, self._ring = node.nodeId, ring
        self._log = node.log
        self.roster = Roster(json.loads(ring.table["roster"])) if "roster" in ring.table else None
        self._tables = {slot: SlotTable() for slot in range(SLOTS)}
        self._owners = {slot: TableOwner(CONTROL_INBOX, f"voter{slot}", node.log) for slot in range(SLOTS)}
        self._load()
        node.net.handle("prepare", self._queued(self._prepare))
        node.net.handle("accept", self._queued(self._accept))
        node.net.handle("confirm", self._confirm)
        node.net.handle("rosterVersion", self._rosterVersion)

    def _load(self):
        for key, value in self._ring.table.items():
            kind, _, rest = key.partition("/")
            if kind == "s":
                table = self._tables[int(rest)]
                table.promisedEpoch, table.promisedOwner, table.imageEpoch, table.sequence = json.loads(value)
            if kind == "e":
                slot, _, entryKey = rest.partition("/")
                self._tables[int(slot)].entries[entryKey] = value

    def stop(self):
        for owner in self._owners.values():
            owner.stop()

    async def setRoster(self, record):
        """A newer roster, on the disk before anything is answered under it."""
        if self.roster is None or record["version"] > self.roster.version:
            await self._ring.commit([("roster", packJson(record))])
            self.roster = Roster(record)
            self._log.event("rosterSet", version=self.roster.version, members=len(self.roster.everyone))

    async def _rosterVersion(self, _peer, _arguments):
        return self.roster.version if self.roster else 0

    def _queued(self, command):
        async def handler(peer, arguments):
            if not 0 <= arguments.slot < SLOTS:
                raise Fenced(f"no slot {arguments.slot}")
            return await self._owners[arguments.slot].do(command, self._tables[arguments.slot], peer, arguments)
        return handler

    def _checkRoster(self, peer, version):
        if self._ring.broken is not None:
            raise Fenced("this node's disk has failed")
        if self.roster is None or self._nodeId not in self.roster.everyone:
            raise Fenced("this node has no vote")
        if version != self.roster.version:
            raise Fenced(f"roster version {version} is not {self.roster.version}",
                         detail={"roster": self.roster.version})
        if peer.nodeId not in self.roster.everyone:
            raise Fenced(f"{peer.nodeId} is not in the roster")

    async def _prepare(self, table, peer, arguments):
        self._checkRoster(peer, arguments.rosterVersion)
        earlier = table.promisedEpoch, table.promisedOwner
        granted = (arguments.epoch > table.promisedEpoch
                   or earlier == (arguments.epoch, arguments.owner))
        if not granted:
            return idl.Promise(granted=False, promisedEpoch=earlier[0], promisedOwner=earlier[1])
        await self._write(arguments.slot, table, SlotTable(
            arguments.epoch, arguments.owner, table.imageEpoch, table.sequence), {})
        return idl.Promise(granted=True, promisedEpoch=earlier[0], promisedOwner=earlier[1],
                           imageEpoch=table.imageEpoch, sequence=table.sequence,
                           entries=[idl.Entry(key=key, value=value) for key, value in table.entries.items()])

    async def _accept(self, table, peer, arguments):
        self._checkRoster(peer, arguments.rosterVersion)
        if (arguments.epoch, arguments.owner) != (table.promisedEpoch, table.promisedOwner) \
                and arguments.epoch <= table.promisedEpoch:
            return idl.Taken(taken=False, promisedEpoch=table.promisedEpoch)
        if arguments.epoch == table.imageEpoch and arguments.sequence <= table.sequence:
            return idl.Taken(taken=True)  # a copy of what is here already
        if not arguments.whole and (arguments.epoch, arguments.sequence) != (table.imageEpoch, table.sequence + 1):
            return idl.Taken(taken=False, needsImage=True, promisedEpoch=table.promisedEpoch)
        changed = {entry.key: entry.value for entry in arguments.entries or []}
        if arguments.whole:
            changed = dict.fromkeys(table.entries.keys() - changed.keys()) | changed
        await self._write(arguments.slot, table, SlotTable(
            arguments.epoch, arguments.owner, arguments.epoch, arguments.sequence), changed)
        return idl.Taken(taken=True)

    async def _write(self, slot, table, head, changed):
        """First the disk, then the table: a commit that fails leaves no trace that could be vouched for."""
        await self._ring.commit([(f"s/{slot}", head.head()),
                                 *((f"e/{slot}/{key}", value) for key, value in changed.items())])
        table.promisedEpoch, table.promisedOwner = head.promisedEpoch, head.promisedOwner
        table.imageEpoch, table.sequence = head.imageEpoch, head.sequence
        table.entries |= {key: value for key, value in changed.items() if value is not None}
        for key in [key for key, value in changed.items() if value is None]:
            table.entries.pop(key, None)

    async def _confirm(self, peer, arguments):
        """Which of these terms nobody has been promised past. The promise itself is on the disk already."""
        self._checkRoster(peer, arguments.rosterVersion)
        return [term for term in arguments.terms or [] if 0 <= term.slot < SLOTS
                and (self._tables[term.slot].promisedEpoch, self._tables[term.slot].promisedOwner)
                == (term.epoch, arguments.owner)]
