"""The disk's side of owned keys: one voter on each control node of the roster.

The table of each slot has one owner task; the ring groups the commits of different slots into one sync.
"""

import json
from dataclasses import dataclass, field

from sortedcontainers import SortedDict

from oakramp.common.bounded_queue import SerialExecutor
from oakramp.common.constants import CONTROL_FULL, CONTROL_INBOX, IMAGE_PART, SLOT_FULL, SLOTS, TERM
from oakramp.common.errors import StaleEpochError, StorageFullError
from oakramp.common.tasks import spawn
from oakramp.common.validation import pack_json
from oakramp.control.shards import ENTRY_COST, in_parts
from oakramp.control.voting_configuration import VotingConfiguration
from oakramp.rpc.codec import idl, unpack


@dataclass
class ShardTable:
    """Invariants, true on disk before any answer that relies on them:
    - `promisedEpoch` never falls; for one epoch there is one `promisedOwner`;
    - `entries` is the state after `sequence` of the image of `imageEpoch`, with no change left out, and two voters
      with the same (imageEpoch, sequence) have the same entries;
    - (imageEpoch, sequence) never falls, and imageEpoch <= promisedEpoch;
    - on the disk, `entries` are those of `generation`; others are leftovers of an image that was not finished, or
      that was replaced;
    - no row on the disk, and no removal of leftovers under way, is of a generation above `newest_generation`."""

    promised_epoch: int = 0
    promised_owner: str = ""
    image_epoch: int = 0
    sequence: int = 0
    generation: int = 0
    entries: SortedDict = field(default_factory=SortedDict)
    newest_generation: int = 0
    size: int = 0  # bytes of `entries`

    def measure(self):
        self.size = sum(len(key) + len(value) for key, value in self.entries.items())

    def head(self, **changes):
        values = vars(self) | changes
        return pack_json([values[name] for name in HEAD])


ROSTER_IS_NEW = "rosterIsNew"  # a row of the ring, there until every term of a former roster has ended
HEAD = ("promised_epoch", "promised_owner", "image_epoch", "sequence", "generation")


@dataclass
class StagedSnapshot:
    """Parts of one image that have come in, in order."""

    label: tuple
    parts: int = 0
    entries: dict = field(default_factory=dict)


def entry_key(slot, generation, key):
    return f"e{generation or ''}/{slot}/{key}"


class Voter:
    def __init__(self, node, ring):
        self._node_id, self._ring, self._seconds = node.node_id, ring, node.reactor.seconds
        self._log = node.log
        self.roster = VotingConfiguration(json.loads(ring.table["roster"])) if "roster" in ring.table else None
        self._tables = {slot: ShardTable() for slot in range(SLOTS)}
        self._owners = {slot: SerialExecutor(CONTROL_INBOX, f"voter{slot}", node.log) for slot in range(SLOTS)}
        self._staged = {}
        self._confirmed_at = {}
        self._promised_at = {}
        self._holders = {}
        self._reactor = node.reactor
        self.may_hold_term = lambda slot, asker: True  # until the owners of this node say for themselves
        self._count_from_now()
        self._load()
        self._forget_former_roster()
        for method, command in (
            ("prepare", self._prepare),
            ("imagePart", self._image_part),
            ("stage", self._stage),
            ("accept", self._accept),
        ):
            node.net.handle(method, self._queued(command))
        node.net.handle("acceptMany", self._accept_many)
        node.net.handle("confirm", self._confirm)
        node.net.handle("unconfirmed", self._unconfirmed)
        node.net.handle("rosterVersion", self._roster_version)

    def _load(self):
        for key, value in self._ring.table.items():
            kind, _, slot = key.partition("/")
            if kind == "s":
                for name, one in zip(HEAD, json.loads(value)):
                    setattr(self._tables[int(slot)], name, one)
        leftovers = []
        for key, value in self._ring.table.items():
            kind, _, rest = key.partition("/")
            if not kind.startswith("e"):
                continue
            slot, _, entry = rest.partition("/")
            table = self._tables[int(slot)]
            table.newest_generation = max(table.newest_generation, table.generation, int(kind[1:] or 0))
            if kind == entry_key("", table.generation, "").partition("/")[0]:
                table.entries[entry] = value
            else:
                leftovers.append(key)
        for table in self._tables.values():
            table.measure()
        if leftovers:
            self._log.info("snapshot_leftovers_removed", entries=len(leftovers))
            spawn(self._remove(leftovers), self._log)

    async def _remove(self, keys):
        for part in in_parts(((key, None) for key in keys), self._ring.commit_limit() // 2):
            await self._ring.commit(part)

    def image(self, slot):
        """(imageEpoch, sequence, entries) as they are on this disk."""
        table = self._tables[slot]
        return table.image_epoch, table.sequence, table.entries

    def promised_epoch(self, slot):
        return self._tables[slot].promised_epoch

    def last_holder(self, slot):
        """(epoch, owner) of the lease of the slot that this voter confirmed last; (0, None) if it has confirmed none."""
        return self._holders.get(slot, (0, None))

    def quiet_slots(self, least, asker):
        """The slots for which this voter has been quiet for at least so many seconds."""
        return [slot for slot in self._tables if self.quiet_for(slot, asker) >= least]

    def quiet_for(self, slot, asker):
        """Seconds for which this voter has confirmed no lease of the slot, and has promised it to nobody but the asker: who
        is just taking it over is not to be disturbed."""
        since = self._confirmed_at[slot]
        if self._tables[slot].promised_owner != asker:
            since = max(since, self._promised_at.get(slot, since))
        return self._seconds() - since

    def is_full(self):
        largest = max(table.size for table in self._tables.values())
        room = self._ring.capacity() - largest  # beside it must go in once more
        return self._ring.live_bytes() > min(CONTROL_FULL * self._ring.capacity(), room)

    def has_room(self, growth, size, entries):
        """Whether a slot that grows to this size still fits a second time beside all that is here."""
        return self._ring.live_bytes() + growth + size + entries * ENTRY_COST <= self._ring.capacity()

    def slot_limit(self):
        """Bytes that one slot may take."""
        return SLOT_FULL * self._ring.capacity()

    def stop(self):
        for owner in self._owners.values():
            owner.stop()

    async def set_roster(self, record):
        """A newer roster, on the disk before anything is answered under it."""
        if self.roster is None or record["version"] > self.roster.version:
            await self._ring.commit([("roster", pack_json(record)), (ROSTER_IS_NEW, b"1")])
            former, self.roster = self.roster, VotingConfiguration(record)
            if former is None or self.roster.version != former.version + 1 or self.roster.next is None:
                self._count_from_now()
            self._forget_former_roster()
            self._log.info(
                "voting_configuration_stored", version=self.roster.version, members=len(self.roster.everyone)
            )

    def _forget_former_roster(self):
        """While the roster is new, who was left out of it may still hold a term; that outlasts a restart of this process."""
        if ROSTER_IS_NEW in self._ring.table:
            self._reactor.callLater(2 * TERM, self._on_roster_aged, self.roster.version)

    def _on_roster_aged(self, version):
        if version == self.roster.version and self._ring.broken is None:
            spawn(self._ring.commit([(ROSTER_IS_NEW, None)]), self._log)

    def _count_from_now(self):
        """Confirmations count as given this instant. At a start, since what this voter confirmed before is forgotten;
        and with a new roster, since others may have confirmed without this voter under the former ones. Only a step
        to a joint roster needs nothing: its majorities meet those of the version before in that one's members."""
        self._confirmed_at = dict.fromkeys(range(SLOTS), self._seconds())

    async def _roster_version(self, _peer, _arguments):
        return self.roster.version if self.roster else 0

    def _queued(self, command):
        async def handler(peer, arguments):
            if not 0 <= arguments.slot < SLOTS:
                raise StaleEpochError(f"no slot {arguments.slot}")
            return await self._owners[arguments.slot].do(command, self._tables[arguments.slot], peer, arguments)

        return handler

    def _check_roster(self, peer, version):
        if self._ring.broken is not None:
            raise StaleEpochError("this node's disk has failed")
        if self.roster is None or self._node_id not in self.roster.everyone:
            raise StaleEpochError("this node has no vote", detail={"roster": self.roster.version if self.roster else 0})
        if version != self.roster.version:
            raise StaleEpochError(
                f"roster version {version} is not {self.roster.version}", detail={"roster": self.roster.version}
            )
        if peer.node_id not in self.roster.everyone:
            raise StaleEpochError(f"{peer.node_id} is not in the roster")

    async def _prepare(self, table, peer, arguments):
        self._check_roster(peer, arguments.roster_version)
        earlier = table.promised_epoch, table.promised_owner
        if (
            arguments.epoch <= table.promised_epoch
        ):  # its own owner's too: a restart has forgotten what it wrote under it
            return idl.Promise(granted=False, promised_epoch=earlier[0], promised_owner=earlier[1])
        self._promised_at[arguments.slot] = self._seconds()
        await self._write(arguments.slot, table, {}, promised_epoch=arguments.epoch, promised_owner=arguments.owner)
        entries = None if arguments.parts else [idl.Entry(key=key, value=value) for key, value in table.entries.items()]
        return idl.Promise(
            granted=True,
            promised_epoch=earlier[0],
            promised_owner=earlier[1],
            image_epoch=table.image_epoch,
            sequence=table.sequence,
            entries=entries,
            unconfirmed_ms=int((self._seconds() - self._confirmed_at[arguments.slot]) * 1000),
            termless=ROSTER_IS_NEW not in self._ring.table and not self.may_hold_term(arguments.slot, peer.node_id),
        )

    async def _image_part(self, table, peer, arguments):
        """The image does not move while it is read: only a higher promise could change it, and that ends this."""
        self._check_roster(peer, arguments.roster_version)
        if (arguments.epoch, arguments.owner) != (table.promised_epoch, table.promised_owner):
            raise StaleEpochError(f"epoch {table.promised_epoch} is promised")
        rest = table.entries.irange(arguments.after, inclusive=(False, False))
        part = next(in_parts(((key, table.entries[key]) for key in rest), IMAGE_PART))
        return idl.ImagePart(
            entries=[idl.Entry(key=key, value=value) for key, value in part],
            more=bool(part) and part[-1][0] != table.entries.keys()[-1],
        )

    @staticmethod
    def _is_past(table, epoch, owner):
        return (epoch, owner) != (table.promised_epoch, table.promised_owner) and epoch <= table.promised_epoch

    async def _stage(self, table, peer, arguments):
        """Part of an image that is too long for one message; in memory until `accept` brings the last one."""
        self._check_roster(peer, arguments.roster_version)
        if self._is_past(table, arguments.epoch, arguments.owner):
            return idl.Taken(taken=False, promised_epoch=table.promised_epoch)
        label = arguments.epoch, arguments.owner, arguments.sequence
        if arguments.part == 0:
            self._staged[arguments.slot] = StagedSnapshot(label)
        staged = self._staged.get(arguments.slot)
        if staged is None or (staged.label, staged.parts) != (label, arguments.part):
            return idl.Taken(taken=False, needs_image=True, promised_epoch=table.promised_epoch)
        staged.parts += 1
        staged.entries |= {entry.key: entry.value for entry in arguments.entries or []}
        return idl.Taken(taken=True)

    @staticmethod
    def _covers(table, step):
        """A merged step of the epoch that the image is of brings all that changed since `fromSequence`, with the newest
        values; where between the image stands makes no difference."""
        return step.from_epoch == step.epoch == table.image_epoch and step.from_sequence <= table.sequence

    def _judge(self, table, step, owner, is_whole=False):
        """(answer, head) for a step of this owner: the head is what has to be on the disk, with the step's entries,
        before the answer is given; None if nothing has to."""
        if self._is_past(table, step.epoch, owner):
            return idl.Taken(taken=False, promised_epoch=table.promised_epoch), None
        if step.epoch == table.image_epoch and step.sequence <= table.sequence:
            return idl.Taken(taken=True), None  # a copy of what is here already
        follows = (
            is_whole
            or (step.epoch, step.sequence) == (table.image_epoch, table.sequence + 1)
            or (step.from_epoch and (step.from_epoch, step.from_sequence) == (table.image_epoch, table.sequence))
            or self._covers(table, step)
        )
        if not follows:
            return idl.Taken(taken=False, needs_image=True, promised_epoch=table.promised_epoch), None
        return idl.Taken(taken=True), {
            "promised_epoch": step.epoch,
            "promised_owner": owner,
            "image_epoch": step.epoch,
            "sequence": step.sequence,
        }

    async def _accept(self, table, peer, arguments):
        self._check_roster(peer, arguments.roster_version)
        answer, head = self._judge(table, arguments, arguments.owner, arguments.whole)
        if head is None:
            return answer
        given = {entry.key: entry.value for entry in arguments.entries or []}
        if not arguments.whole:
            await self._write_step(arguments.slot, table, given, head)
            return answer
        staged = self._staged.pop(arguments.slot, None)
        if arguments.parts:
            if staged is None or (staged.label, staged.parts) != (
                (arguments.epoch, arguments.owner, arguments.sequence),
                arguments.parts,
            ):
                return idl.Taken(taken=False, needs_image=True, promised_epoch=table.promised_epoch)
            given = staged.entries | given
        await self._replace(arguments.slot, table, given, head)
        return answer

    async def _accept_many(self, peer, arguments):
        """Steps of different slots in one commit; each is judged by itself. A slot with another command under way, or a
        commit that is too much for the ring at once, is left to `accept`."""
        self._check_roster(peer, arguments.roster_version)
        answers, held, writing = [], [], []
        try:
            for step in [unpack(idl.Step, data) for data in arguments.steps or []]:
                if not 0 <= step.slot < SLOTS:
                    raise StaleEpochError(f"no slot {step.slot}")
                if not self._owners[step.slot].hold():
                    answers.append(idl.Taken(taken=False, again=True))
                    continue
                held.append(self._owners[step.slot])
                table = self._tables[step.slot]
                answer, head = self._judge(table, step, arguments.owner)
                answers.append(answer)
                if head is not None:
                    writing.append((step.slot, table, {entry.key: entry.value for entry in step.entries or []}, head))
            if writing:
                try:
                    await self._ring.commit([row for one in writing for row in self._rows_of(*one)])
                except StorageFullError:
                    return [idl.Taken(taken=False, again=True) for _ in answers]
                for _, *change in writing:
                    self._enter(*change)
        finally:
            for owner in held:
                owner.let_go()
        return answers

    async def _write_step(self, slot, table, changed, head):
        """A step that is too much for one commit goes in as an image does."""
        try:
            await self._write(slot, table, changed, **head)
        except StorageFullError:
            image = {key: value for key, value in (dict(table.entries) | changed).items() if value is not None}
            await self._replace(slot, table, image, head)

    async def _replace(self, slot, table, image, head):
        """Brings the table to this whole image: by what differs, if one commit holds that; else as a new
        generation beside the old one, which a last small commit puts in its place. A try that failed, in this life or
        in an earlier one, leaves rows of its generation, and their removal may be under way: each try has its own."""
        changed = dict.fromkeys(table.entries.keys() - image.keys()) | {
            key: value for key, value in image.items() if table.entries.get(key) != value
        }
        limit = self._ring.commit_limit() // 2
        if next(in_parts(changed.items(), limit)) == list(changed.items()):
            await self._write(slot, table, changed, **head)
            return
        former = [entry_key(slot, table.generation, key) for key in table.entries]
        table.newest_generation = generation = max(table.newest_generation, table.generation) + 1
        rows = {entry_key(slot, generation, key): value for key, value in image.items()}
        try:
            for part in in_parts(rows.items(), limit):
                await self._ring.commit(part)
            await self._write(slot, table, {}, **head, generation=generation)
        except StorageFullError:
            spawn(self._remove([row for row in rows if row in self._ring.table]), self._log)
            raise
        table.entries = SortedDict(image)
        table.measure()
        self._log.info("snapshot_installed", slot=slot, entries=len(image), generation=generation)
        await self._remove(former)

    async def _write(self, slot, table, changed, **head):
        """First the disk, then the table: a commit that fails leaves no trace that could be vouched for."""
        await self._ring.commit(self._rows_of(slot, table, changed, head))
        self._enter(table, changed, head)

    @staticmethod
    def _rows_of(slot, table, changed, head):
        return [
            (f"s/{slot}", table.head(**head)),
            *((entry_key(slot, table.generation, key), value) for key, value in changed.items()),
        ]

    @staticmethod
    def _enter(table, changed, head):
        vars(table).update(head)
        for key, value in changed.items():
            former = table.entries.pop(key, None)
            table.size -= 0 if former is None else len(key) + len(former)
            if value is not None:
                table.entries[key] = value
                table.size += len(key) + len(value)

    async def _confirm(self, peer, arguments):
        """Which of these terms nobody has been promised past. The promise itself is on the disk already."""
        confirmed = self._confirmed(
            peer, arguments.owner, arguments.roster_version, [(term.slot, term.epoch) for term in arguments.terms or []]
        )
        return [idl.SlotEpoch(slot=slot, epoch=epoch) for slot, epoch in confirmed]

    async def _unconfirmed(self, peer, arguments):
        """For how many ms this voter has been quiet about each of these slots; nothing changes by being asked."""
        self._check_roster(peer, arguments.roster_version)
        if not all(0 <= slot < SLOTS for slot in arguments.slots or []):
            raise StaleEpochError("no such slot")
        return [int(self.quiet_for(slot, peer.node_id) * 1000) for slot in arguments.slots or []]

    def confirm_terms(self, peer, terms):
        """The same of terms that came with a pull; None leaves it to `confirm` to say why not."""
        try:
            if terms.voter != self._node_id:
                return None
            confirmed = self._confirmed(
                peer, peer.node_id, terms.roster_version, zip(terms.slots or [], terms.epochs or [])
            )
        except StaleEpochError:
            return None
        return [slot for slot, _ in confirmed]

    def _confirmed(self, peer, owner, roster_version, terms):
        self._check_roster(peer, roster_version)
        confirmed = [
            (slot, epoch)
            for slot, epoch in terms
            if 0 <= slot < SLOTS
            and (self._tables[slot].promised_epoch, self._tables[slot].promised_owner) == (epoch, owner)
        ]
        self._confirmed_at.update(dict.fromkeys((slot for slot, _ in confirmed), self._seconds()))
        self._holders.update({slot: (epoch, owner) for slot, epoch in confirmed})
        return confirmed
