"""The disk's side of owned keys: one voter on each control node of the voting configuration.

The table of each shard has one leader task; the ring groups the commits of different shards into one sync.
"""

import json
from dataclasses import dataclass, field
from typing import Any

from sortedcontainers import SortedDict

from oakramp.common.bounded_queue import SerialExecutor
from oakramp.common.constants import CONTROL_FULL, CONTROL_QUEUE_LIMIT, LEASE, SHARD_FULL, SHARDS, SNAPSHOT_PART
from oakramp.common.errors import StaleEpochError, StorageError, StorageFullError
from oakramp.common.tasks import spawn
from oakramp.common.validation import pack_json
from oakramp.control.shards import ENTRY_COST, in_parts
from oakramp.control.voting_configuration import VotingConfiguration
from oakramp.rpc.codec import idl, unpack


@dataclass
class ShardTable:
    """Invariants, true on disk before any answer that relies on them:
    - `promisedEpoch` never falls; for one epoch there is one `promisedOwner`;
    - `entries` is the state after `sequence` of the snapshot of `imageEpoch`, with no change left out, and two voters
      with the same (imageEpoch, sequence) have the same entries;
    - (imageEpoch, sequence) never falls, and imageEpoch <= promisedEpoch;
    - on the disk, `entries` are those of `generation`; others are leftovers of a snapshot that was not finished, or
      that was replaced;
    - no row on the disk, and no removal of leftovers under way, is of a generation above `newest_generation`."""

    promised_epoch: int = 0
    promised_owner: str = ""
    snapshot_epoch: int = 0
    sequence: int = 0
    generation: int = 0
    entries: SortedDict = field(default_factory=SortedDict)
    newest_generation: int = 0
    size: int = 0  # bytes of `entries`

    def measure(self):
        self.size = sum(len(key) + len(value) for key, value in self.entries.items())

    def head(self, **changes):
        """The row of promise and head as it is stored, with these values changed: a JSON list in the order of HEAD."""
        values = vars(self) | changes
        return pack_json([values[name] for name in HEAD])


VOTING_CONFIG_IS_NEW = (
    "rosterIsNew"  # a row of the ring, there until every lease of a previous voting configuration has ended
)
HEAD = ("promised_epoch", "promised_owner", "snapshot_epoch", "sequence", "generation")


@dataclass
class StagedSnapshot:
    """Parts of one snapshot that have come in, in order."""

    label: tuple
    parts: int = 0
    entries: dict = field(default_factory=dict)


def entry_key(shard, generation, key):
    return f"e{generation or ''}/{shard}/{key}"


class Voter:
    """The voter of one node: promises, leases and a copy of each shard, all on its disk before it answers."""

    def __init__(self, node, ring):
        self._node_id, self._ring, self._seconds = node.node_id, ring, node.reactor.seconds
        self._log = node.log
        # VotingConfiguration, or None until a cluster is formed; only what runs before that has to look.
        self.voting_config: Any = (
            VotingConfiguration(json.loads(ring.table["roster"])) if "roster" in ring.table else None
        )
        self._tables = {shard: ShardTable() for shard in range(SHARDS)}
        self._owners = {
            shard: SerialExecutor(CONTROL_QUEUE_LIMIT, f"voter{shard}", node.log) for shard in range(SHARDS)
        }
        self.on_voting_config = set()  # called, in any order, once a newer voting configuration is stored
        self._staged = {}
        self._leftovers = []  # keys of rows that count for nothing, and that the log did not take the removal of
        self._confirmed_at = {}
        self._promised_at = {}
        self._holders = {}
        self._reactor = node.reactor
        self.may_hold_lease = lambda shard, requester: True  # until the leaders of this node say for themselves
        self._count_from_now()
        ring.on_fault_change.add(self._remove_leftovers)
        self._load()
        self._forget_previous_voting_config()
        for method, command in (
            ("prepare", self._prepare),
            ("imagePart", self._snapshot_part),
            ("stage", self._stage),
            ("accept", self._accept),
        ):
            node.net.handle(method, self._queued(command))
        node.net.handle("acceptMany", self._accept_many)
        node.net.handle("confirm", self._confirm)
        node.net.handle("unconfirmed", self._unconfirmed)
        node.net.handle("rosterVersion", self._voting_config_version)

    def _load(self):
        for key, value in self._ring.table.items():
            kind, _, shard = key.partition("/")
            if kind == "s":
                for name, one in zip(HEAD, json.loads(value)):
                    setattr(self._tables[int(shard)], name, one)
        leftovers = []
        for key, value in self._ring.table.items():
            kind, _, rest = key.partition("/")
            if not kind.startswith("e"):
                continue
            shard, _, entry = rest.partition("/")
            table = self._tables[int(shard)]
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
        """Removes rows that count for nothing any more; what the log does not take is removed once it has recovered."""
        parts = list(in_parts(((key, None) for key in keys), self._ring.commit_limit() // 2))
        while parts:
            try:
                await self._ring.commit(parts[0])
            except StorageError as error:
                self._leftovers += [key for part in parts for key, _ in part]
                self._log.warning("snapshot_leftovers_kept", entries=len(self._leftovers), reason=error.reason)
                return
            del parts[0]

    def _remove_leftovers(self):
        if self._ring.broken is not None or not self._leftovers:
            return
        leftovers, self._leftovers = self._leftovers, []
        spawn(self._remove(leftovers), self._log)

    def snapshot(self, shard):
        """(imageEpoch, sequence, entries) as they are on this disk."""
        table = self._tables[shard]
        return table.snapshot_epoch, table.sequence, table.entries

    def promised_epoch(self, shard):
        return self._tables[shard].promised_epoch

    def last_holder(self, shard):
        """(epoch, leader) of the lease of the shard that this voter confirmed last; (0, None) if it has confirmed none."""
        return self._holders.get(shard, (0, None))

    def quiet_shards(self, least, requester):
        """The shards for which this voter has been quiet for at least so many seconds."""
        return [shard for shard in self._tables if self.quiet_for(shard, requester) >= least]

    def quiet_for(self, shard, requester):
        """Seconds for which this voter has confirmed no lease of the shard, and has promised it to nobody but the
        asker: who is just taking it over is not to be disturbed."""
        since = self._confirmed_at[shard]
        if self._tables[shard].promised_owner != requester:
            since = max(since, self._promised_at.get(shard, since))
        return self._seconds() - since

    def is_full(self):
        """Whether the log holds so much that a command that grows the state is rejected."""
        largest = max(table.size for table in self._tables.values())
        room = self._ring.capacity() - largest  # beside it must go in once more
        return self._ring.live_bytes() > min(CONTROL_FULL * self._ring.capacity(), room)

    def has_room(self, growth, size, entries):
        """Whether a shard that grows to this size still fits a second time beside all that is here."""
        return self._ring.live_bytes() + growth + size + entries * ENTRY_COST <= self._ring.capacity()

    def shard_limit(self):
        """Bytes that one shard may take."""
        return SHARD_FULL * self._ring.capacity()

    def stop(self):
        """Ends the commands under way."""
        for owner in self._owners.values():
            owner.stop()

    async def set_voting_config(self, record):
        """A newer voting configuration, on the disk before anything is answered under it."""
        if self.voting_config is None or record["version"] > self.voting_config.version:
            await self._ring.commit([("roster", pack_json(record)), (VOTING_CONFIG_IS_NEW, b"1")])
            previous, self.voting_config = self.voting_config, VotingConfiguration(record)
            if (
                previous is None
                or self.voting_config.version != previous.version + 1
                or self.voting_config.next is None
            ):
                self._count_from_now()
            self._forget_previous_voting_config()
            self._log.info(
                "voting_configuration_stored",
                version=self.voting_config.version,
                members=len(self.voting_config.everyone),
            )
            for callback in list(self.on_voting_config):
                callback()

    def _forget_previous_voting_config(self):
        """While the voting configuration is new, who was left out of it may still hold a lease; that outlasts a restart
        of this process."""
        if VOTING_CONFIG_IS_NEW in self._ring.table:
            self._reactor.callLater(2 * LEASE, self._on_voting_config_aged, self.voting_config.version)

    def _on_voting_config_aged(self, version):
        if version != self.voting_config.version:
            return
        if self.is_refusing:
            self._forget_previous_voting_config()  # tried again
            return
        spawn(self._ring.commit([(VOTING_CONFIG_IS_NEW, None)]), self._log)

    def _count_from_now(self):
        """Confirmations count as given this instant. At a start, since what this voter confirmed before is forgotten;
        and with a new voting configuration, since others may have confirmed without this voter under the previous ones.
        Only a step to a joint voting configuration needs nothing: its majorities meet those of the version before in
        that one's
        members."""
        self._confirmed_at = dict.fromkeys(range(SHARDS), self._seconds())

    async def _voting_config_version(self, _peer, _arguments):
        return self.voting_config.version if self.voting_config else 0

    def _queued(self, command):
        async def handler(peer, arguments):
            if not 0 <= arguments.shard < SHARDS:
                raise StaleEpochError(f"no slot {arguments.shard}")
            return await self._owners[arguments.shard].do(command, self._tables[arguments.shard], peer, arguments)

        return handler

    @property
    def is_refusing(self):
        """Whether this voter answers nothing for the moment, since its disk does not take what it would promise."""
        return self._ring.broken is not None

    def _check_voting_config(self, peer, version):
        if self.is_refusing:
            raise StaleEpochError("this node's disk has failed")
        if self.voting_config is None or self._node_id not in self.voting_config.everyone:
            raise StaleEpochError(
                "this node has no vote", detail={"roster": self.voting_config.version if self.voting_config else 0}
            )
        if version != self.voting_config.version:
            raise StaleEpochError(
                f"roster version {version} is not {self.voting_config.version}",
                detail={"roster": self.voting_config.version},
            )
        if peer.node_id not in self.voting_config.everyone:
            raise StaleEpochError(f"{peer.node_id} is not in the roster")

    async def _prepare(self, table, peer, arguments):
        self._check_voting_config(peer, arguments.voting_config_version)
        earlier = table.promised_epoch, table.promised_owner
        if (
            arguments.epoch <= table.promised_epoch
        ):  # its own leader's too: a restart has forgotten what it wrote under it
            return idl.PrepareResponse(
                granted=False,
                promised_epoch=earlier[0],
                promised_owner=earlier[1],
                holds_no_lease=self._holds_no_lease(arguments.shard, peer),
            )
        self._promised_at[arguments.shard] = self._seconds()
        await self._write(arguments.shard, table, {}, promised_epoch=arguments.epoch, promised_owner=arguments.owner)
        entries = None if arguments.parts else [idl.Entry(key=key, value=value) for key, value in table.entries.items()]
        return idl.PrepareResponse(
            granted=True,
            promised_epoch=earlier[0],
            promised_owner=earlier[1],
            snapshot_epoch=table.snapshot_epoch,
            sequence=table.sequence,
            entries=entries,
            unconfirmed_ms=int((self._seconds() - self._confirmed_at[arguments.shard]) * 1000),
            holds_no_lease=self._holds_no_lease(arguments.shard, peer),
        )

    def _holds_no_lease(self, shard, requester):
        """Whether this process holds no lease of the shard, nor comes to one but after the requester's epoch."""
        return VOTING_CONFIG_IS_NEW not in self._ring.table and not self.may_hold_lease(shard, requester.node_id)

    async def _snapshot_part(self, table, peer, arguments):
        """The snapshot does not move while it is read: only a higher promise could change it, and that ends this."""
        self._check_voting_config(peer, arguments.voting_config_version)
        if (arguments.epoch, arguments.owner) != (table.promised_epoch, table.promised_owner):
            raise StaleEpochError(f"epoch {table.promised_epoch} is promised")
        rest = table.entries.irange(arguments.after, inclusive=(False, False))
        part = next(in_parts(((key, table.entries[key]) for key in rest), SNAPSHOT_PART))
        return idl.SnapshotChunk(
            entries=[idl.Entry(key=key, value=value) for key, value in part],
            more=bool(part) and part[-1][0] != table.entries.keys()[-1],
        )

    @staticmethod
    def _is_past(table, epoch, owner):
        return (epoch, owner) != (table.promised_epoch, table.promised_owner) and epoch <= table.promised_epoch

    async def _stage(self, table, peer, arguments):
        """Part of a snapshot that is too long for one message; in memory until `accept` brings the last one."""
        self._check_voting_config(peer, arguments.voting_config_version)
        if self._is_past(table, arguments.epoch, arguments.owner):
            return idl.AppendResponse(taken=False, promised_epoch=table.promised_epoch)
        label = arguments.epoch, arguments.owner, arguments.sequence
        if arguments.part == 0:
            self._staged[arguments.shard] = StagedSnapshot(label)
        staged = self._staged.get(arguments.shard)
        if staged is None or (staged.label, staged.parts) != (label, arguments.part):
            return idl.AppendResponse(taken=False, needs_snapshot=True, promised_epoch=table.promised_epoch)
        staged.parts += 1
        staged.entries |= {entry.key: entry.value for entry in arguments.entries or []}
        return idl.AppendResponse(taken=True)

    @staticmethod
    def _covers(table, step):
        """A merged step of the epoch that the snapshot is of brings all that changed since `fromSequence`, with the
        newest values; where between the snapshot stands makes no difference."""
        return step.from_epoch == step.epoch == table.snapshot_epoch and step.from_sequence <= table.sequence

    def _judge(self, table, step, owner, is_whole=False):
        """(answer, head) for a step of this leader: the head is what has to be on the disk, with the step's entries,
        before the answer is given; None if nothing has to."""
        if self._is_past(table, step.epoch, owner):
            return idl.AppendResponse(taken=False, promised_epoch=table.promised_epoch), None
        if step.epoch == table.snapshot_epoch and step.sequence <= table.sequence:
            return idl.AppendResponse(taken=True), None  # a copy of what is here already
        follows = (
            is_whole
            or (step.epoch, step.sequence) == (table.snapshot_epoch, table.sequence + 1)
            or (step.from_epoch and (step.from_epoch, step.from_sequence) == (table.snapshot_epoch, table.sequence))
            or self._covers(table, step)
        )
        if not follows:
            return idl.AppendResponse(taken=False, needs_snapshot=True, promised_epoch=table.promised_epoch), None
        return idl.AppendResponse(taken=True), {
            "promised_epoch": step.epoch,
            "promised_owner": owner,
            "snapshot_epoch": step.epoch,
            "sequence": step.sequence,
        }

    async def _accept(self, table, peer, arguments):
        self._check_voting_config(peer, arguments.voting_config_version)
        answer, head = self._judge(table, arguments, arguments.owner, arguments.whole)
        if head is None:
            return answer
        given = {entry.key: entry.value for entry in arguments.entries or []}
        if not arguments.whole:
            await self._write_step(arguments.shard, table, given, head)
            return answer
        staged = self._staged.pop(arguments.shard, None)
        if arguments.parts:
            if staged is None or (staged.label, staged.parts) != (
                (arguments.epoch, arguments.owner, arguments.sequence),
                arguments.parts,
            ):
                return idl.AppendResponse(taken=False, needs_snapshot=True, promised_epoch=table.promised_epoch)
            given = staged.entries | given
        await self._replace(arguments.shard, table, given, head)
        return answer

    async def _accept_many(self, peer, arguments):
        """Steps of different shards in one commit; each is judged by itself. A shard with another command under way, or
        a commit that is too much for the ring at once, is left to `accept`."""
        self._check_voting_config(peer, arguments.voting_config_version)
        answers, held, writing = [], [], []
        try:
            for step in [unpack(idl.AppendEntries, data) for data in arguments.steps or []]:
                if not 0 <= step.shard < SHARDS:
                    raise StaleEpochError(f"no slot {step.shard}")
                if not self._owners[step.shard].hold():
                    answers.append(idl.AppendResponse(taken=False, again=True))
                    continue
                held.append(self._owners[step.shard])
                table = self._tables[step.shard]
                answer, head = self._judge(table, step, arguments.owner)
                answers.append(answer)
                if head is not None:
                    writing.append((step.shard, table, {entry.key: entry.value for entry in step.entries or []}, head))
            if writing:
                try:
                    await self._ring.commit([row for one in writing for row in self._rows_of(*one)])
                except StorageFullError:
                    return [idl.AppendResponse(taken=False, again=True) for _ in answers]
                for _, *change in writing:
                    self._enter(*change)
        finally:
            for owner in held:
                owner.let_go()
        return answers

    async def _write_step(self, shard, table, changed, head):
        """A step that is too much for one commit goes in as a snapshot does."""
        try:
            await self._write(shard, table, changed, **head)
        except StorageFullError:
            snapshot = {key: value for key, value in (dict(table.entries) | changed).items() if value is not None}
            await self._replace(shard, table, snapshot, head)

    async def _replace(self, shard, table, snapshot, head):
        """Brings the table to this whole snapshot: by what differs, if one commit holds that; else as a new
        generation beside the old one, which a last small commit puts in its place. A try that failed, in this life or
        in an earlier one, leaves rows of its generation, and their removal may be under way: each try has its own."""
        changed = dict.fromkeys(table.entries.keys() - snapshot.keys()) | {
            key: value for key, value in snapshot.items() if table.entries.get(key) != value
        }
        limit = self._ring.commit_limit() // 2
        if next(in_parts(changed.items(), limit)) == list(changed.items()):
            await self._write(shard, table, changed, **head)
            return
        previous = [entry_key(shard, table.generation, key) for key in table.entries]
        table.newest_generation = generation = max(table.newest_generation, table.generation) + 1
        rows = {entry_key(shard, generation, key): value for key, value in snapshot.items()}
        try:
            for part in in_parts(rows.items(), limit):
                await self._ring.commit(part)
            await self._write(shard, table, {}, **head, generation=generation)
        except StorageError:
            spawn(self._remove([row for row in rows if row in self._ring.table]), self._log)
            raise
        table.entries = SortedDict(snapshot)
        table.measure()
        self._log.info("snapshot_installed", shard=shard, entries=len(snapshot), generation=generation)
        await self._remove(previous)

    async def _write(self, shard, table, changed, **head):
        """First the disk, then the table: a commit that fails leaves no trace that could be vouched for."""
        await self._ring.commit(self._rows_of(shard, table, changed, head))
        self._enter(table, changed, head)

    @staticmethod
    def _rows_of(shard, table, changed, head):
        return [
            (f"s/{shard}", table.head(**head)),
            *((entry_key(shard, table.generation, key), value) for key, value in changed.items()),
        ]

    @staticmethod
    def _enter(table, changed, head):
        vars(table).update(head)
        for key, value in changed.items():
            previous = table.entries.pop(key, None)
            table.size -= 0 if previous is None else len(key) + len(previous)
            if value is not None:
                table.entries[key] = value
                table.size += len(key) + len(value)

    async def _confirm(self, peer, arguments):
        """Which of these leases nobody has been promised past. The promise itself is on the disk already."""
        confirmed = self._confirmed(
            peer,
            arguments.owner,
            arguments.voting_config_version,
            [(lease.shard, lease.epoch) for lease in arguments.leases or []],
        )
        return [idl.ShardEpoch(shard=shard, epoch=epoch) for shard, epoch in confirmed]

    async def _unconfirmed(self, peer, arguments):
        """For how many ms this voter has been quiet about each of these shards; nothing changes by being asked."""
        self._check_voting_config(peer, arguments.voting_config_version)
        if not all(0 <= shard < SHARDS for shard in arguments.shards or []):
            raise StaleEpochError("no such slot")
        return [int(self.quiet_for(shard, peer.node_id) * 1000) for shard in arguments.shards or []]

    def confirm_leases(self, peer, leases):
        """The same of leases that came with a pull; None leaves it to `confirm` to say why not."""
        try:
            if leases.voter != self._node_id:
                return None
            confirmed = self._confirmed(
                peer, peer.node_id, leases.voting_config_version, zip(leases.shards or [], leases.epochs or [])
            )
        except StaleEpochError:
            return None
        return [shard for shard, _ in confirmed]

    def _confirmed(self, peer, owner, voting_config_version, leases):
        self._check_voting_config(peer, voting_config_version)
        confirmed = [
            (shard, epoch)
            for shard, epoch in leases
            if 0 <= shard < SHARDS
            and (self._tables[shard].promised_epoch, self._tables[shard].promised_owner) == (epoch, owner)
        ]
        self._confirmed_at.update(dict.fromkeys((shard for shard, _ in confirmed), self._seconds()))
        self._holders.update({shard: (epoch, owner) for shard, epoch in confirmed})
        return confirmed
