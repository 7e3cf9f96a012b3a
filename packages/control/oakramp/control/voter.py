"""The voter of a control node: stores promises, leases and a copy of each shard durably on its disk.

There is one voter on each control node of the voting configuration. The commands on a shard's table run one after
another in an executor of its own; the circular log groups the commits of different shards into one sync.
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
from oakramp.control.shards import ENTRY_OVERHEAD, in_parts
from oakramp.control.voting_configuration import VotingConfiguration
from oakramp.rpc.codec import idl, unpack


@dataclass
class ShardTable:
    """The state of one shard at this voter.

    Invariants, true on disk before any answer that relies on them:
    - `promised_epoch` never decreases; for one epoch there is one `promised_owner`;
    - `entries` is the state after `sequence` of the snapshot of `snapshot_epoch`, with no change left out, and two
      voters with the same (snapshot_epoch, sequence) have the same entries;
    - (snapshot_epoch, sequence) never decreases, and snapshot_epoch <= promised_epoch;
    - on the disk, `entries` are the rows of `generation`; rows of other generations are leftovers of a snapshot that
      was not completed, or that was replaced;
    - no row on the disk, and no removal of leftovers in progress, is of a generation above `newest_generation`."""

    promised_epoch: int = 0
    promised_owner: str = ""
    snapshot_epoch: int = 0
    sequence: int = 0
    generation: int = 0
    entries: SortedDict = field(default_factory=SortedDict)
    newest_generation: int = 0
    size: int = 0  # bytes of `entries`

    def update_size(self):
        self.size = sum(len(key) + len(value) for key, value in self.entries.items())

    def header(self, **changes):
        """The header row as it is stored, with these values changed: a JSON list in the order of HEADER_FIELDS."""
        values = vars(self) | changes
        return pack_json([values[name] for name in HEADER_FIELDS])


VOTING_CONFIG_IS_NEW = (
    "rosterIsNew"  # key of a row that is present until every lease of a previous voting configuration has ended
)
HEADER_FIELDS = ("promised_epoch", "promised_owner", "snapshot_epoch", "sequence", "generation")


@dataclass
class StagedSnapshot:
    """The parts of one snapshot that were received so far, in order."""

    label: tuple
    parts: int = 0
    entries: dict = field(default_factory=dict)


def entry_key(shard, generation, key):
    return f"e{generation or ''}/{shard}/{key}"


class Voter:
    """Serves the requests of candidates and leaders; what it promises or accepts is on disk before it answers."""

    def __init__(self, node, ring):
        self._node_id, self._ring, self._seconds = node.node_id, ring, node.reactor.seconds
        self._log = node.log
        # VotingConfiguration, or None until a cluster is formed; only code that may run before that checks for None.
        self.voting_config: Any = (
            VotingConfiguration(json.loads(ring.table["roster"])) if "roster" in ring.table else None
        )
        self._tables = {shard: ShardTable() for shard in range(SHARDS)}
        self._executors = {
            shard: SerialExecutor(CONTROL_QUEUE_LIMIT, f"voter{shard}", node.log) for shard in range(SHARDS)
        }
        self.on_voting_config = set()  # called, in any order, once a newer voting configuration is stored
        self._staged = {}
        self._leftovers = []  # keys of obsolete rows whose removal the log did not accept
        self._confirmed_at = {}
        self._promised_at = {}
        self._last_holders = {}
        self._reactor = node.reactor
        self.may_hold_lease = lambda shard, requester: True  # conservative until this node's Failover replaces it
        self._reset_confirmation_times()
        ring.on_fault_change.add(self._remove_leftovers)
        self._load()
        self._schedule_voting_config_aging()
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
                for name, stored in zip(HEADER_FIELDS, json.loads(value)):
                    setattr(self._tables[int(shard)], name, stored)
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
            table.update_size()
        if leftovers:
            self._log.info("snapshot_leftovers_removed", entries=len(leftovers))
            spawn(self._remove(leftovers), self._log)

    async def _remove(self, keys):
        """Removes obsolete rows; a removal that the log does not accept is repeated once the log has recovered."""
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
        """(snapshot_epoch, sequence, entries) as they are on this disk."""
        table = self._tables[shard]
        return table.snapshot_epoch, table.sequence, table.entries

    def promised_epoch(self, shard):
        return self._tables[shard].promised_epoch

    def last_holder(self, shard):
        """(epoch, leader) of the shard's lease that this voter confirmed last; (0, None) if it has confirmed none."""
        return self._last_holders.get(shard, (0, None))

    def unconfirmed_shards(self, least, requester):
        """The shards for which `seconds_unconfirmed` is at least `least`."""
        return [shard for shard in self._tables if self.seconds_unconfirmed(shard, requester) >= least]

    def seconds_unconfirmed(self, shard, requester):
        """Seconds for which this voter has neither confirmed a lease of the shard nor promised an epoch of it to a node
        other than the requester: a failover by another node that is in progress must not be disturbed."""
        since = self._confirmed_at[shard]
        if self._tables[shard].promised_owner != requester:
            since = max(since, self._promised_at.get(shard, since))
        return self._seconds() - since

    def is_full(self):
        """Whether the log is so full that a command that grows the state is rejected."""
        largest = max(table.size for table in self._tables.values())
        room = self._ring.capacity() - largest  # a second copy of the largest shard must fit beside the live rows
        return self._ring.live_bytes() > min(CONTROL_FULL * self._ring.capacity(), room)

    def has_room(self, growth, size, entries):
        """Whether a second copy of a shard that grows to this size would still fit beside all live rows."""
        return self._ring.live_bytes() + growth + size + entries * ENTRY_OVERHEAD <= self._ring.capacity()

    def shard_limit(self):
        """The largest size of one shard in bytes."""
        return SHARD_FULL * self._ring.capacity()

    def stop(self):
        """Stops the commands in progress."""
        for executor in self._executors.values():
            executor.stop()

    async def set_voting_config(self, record):
        """Adopts a newer voting configuration: it is on the disk before any request is answered under it."""
        if self.voting_config is None or record["version"] > self.voting_config.version:
            await self._ring.commit([("roster", pack_json(record)), (VOTING_CONFIG_IS_NEW, b"1")])
            previous, self.voting_config = self.voting_config, VotingConfiguration(record)
            if (
                previous is None
                or self.voting_config.version != previous.version + 1
                or self.voting_config.next is None
            ):
                self._reset_confirmation_times()
            self._schedule_voting_config_aging()
            self._log.info(
                "voting_configuration_stored",
                version=self.voting_config.version,
                members=len(self.voting_config.all_members),
            )
            for callback in list(self.on_voting_config):
                callback()

    def _schedule_voting_config_aging(self):
        """Schedules the end of the time for which the voting configuration counts as new: until then a node that is no
        member any more may still hold a lease. The stored row keeps this state across a restart of the process."""
        if VOTING_CONFIG_IS_NEW in self._ring.table:
            self._reactor.callLater(2 * LEASE, self._on_voting_config_aged, self.voting_config.version)

    def _on_voting_config_aged(self, version):
        if version != self.voting_config.version:
            return
        if self.has_storage_fault:
            self._schedule_voting_config_aging()  # retries later
            return
        spawn(self._ring.commit([(VOTING_CONFIG_IS_NEW, None)]), self._log)

    def _reset_confirmation_times(self):
        """Counts each shard's lease as confirmed now. This is needed at a start, since the confirmations that this voter
        gave before are not stored, and with a new voting configuration, since the other voters may have confirmed
        leases without this voter under the previous ones. Only the change to a joint voting configuration does not need
        it: its majorities overlap with those of the previous version among that version's members."""
        self._confirmed_at = dict.fromkeys(range(SHARDS), self._seconds())

    async def _voting_config_version(self, _peer, _arguments):
        return self.voting_config.version if self.voting_config else 0

    def _queued(self, command):
        async def handler(peer, arguments):
            if not 0 <= arguments.shard < SHARDS:
                raise StaleEpochError(f"there is no shard {arguments.shard}")
            return await self._executors[arguments.shard].do(command, self._tables[arguments.shard], peer, arguments)

        return handler

    @property
    def has_storage_fault(self):
        """Whether this voter currently refuses all requests, since its disk does not accept writes."""
        return self._ring.broken is not None

    def _check_voting_config(self, peer, version):
        if self.has_storage_fault:
            raise StaleEpochError("this node's disk has failed")
        if self.voting_config is None or self._node_id not in self.voting_config.all_members:
            raise StaleEpochError(
                "this node is not a voter", detail={"roster": self.voting_config.version if self.voting_config else 0}
            )
        if version != self.voting_config.version:
            raise StaleEpochError(
                f"voting configuration version {version} is not {self.voting_config.version}",
                detail={"roster": self.voting_config.version},
            )
        if peer.node_id not in self.voting_config.all_members:
            raise StaleEpochError(f"{peer.node_id} is not in the voting configuration")

    async def _prepare(self, table, peer, arguments):
        self._check_voting_config(peer, arguments.voting_config_version)
        earlier = table.promised_epoch, table.promised_owner
        if (
            arguments.epoch <= table.promised_epoch
        ):  # refused for the same owner too: after a restart it no longer knows what it wrote under this epoch
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
        """Whether this process holds no lease of the shard and can obtain one only under a later epoch than the
        requester's."""
        return VOTING_CONFIG_IS_NEW not in self._ring.table and not self.may_hold_lease(shard, requester.node_id)

    async def _snapshot_part(self, table, peer, arguments):
        """Serves one part of the snapshot. The snapshot does not change while it is read: only a higher promise allows
        a change, and such a promise makes this fail."""
        self._check_voting_config(peer, arguments.voting_config_version)
        if (arguments.epoch, arguments.owner) != (table.promised_epoch, table.promised_owner):
            raise StaleEpochError(f"epoch {table.promised_epoch} is already promised")
        rest = table.entries.irange(arguments.after, inclusive=(False, False))
        part = next(in_parts(((key, table.entries[key]) for key in rest), SNAPSHOT_PART))
        return idl.SnapshotChunk(
            entries=[idl.Entry(key=key, value=value) for key, value in part],
            more=bool(part) and part[-1][0] != table.entries.keys()[-1],
        )

    @staticmethod
    def _is_superseded(table, epoch, owner):
        return (epoch, owner) != (table.promised_epoch, table.promised_owner) and epoch <= table.promised_epoch

    async def _stage(self, table, peer, arguments):
        """Receives a part of a snapshot that is too long for one message; kept in memory until `accept` delivers the
        last part."""
        self._check_voting_config(peer, arguments.voting_config_version)
        if self._is_superseded(table, arguments.epoch, arguments.owner):
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
    def _covers(table, request):
        """Whether a merged append request can be applied: it belongs to the epoch of this snapshot and carries all
        changes since `from_sequence` with their newest values, so it applies to any later state of that epoch too."""
        return request.from_epoch == request.epoch == table.snapshot_epoch and request.from_sequence <= table.sequence

    def _check_append(self, table, request, owner, is_whole=False):
        """(answer, header) for an append request of this leader. The header, with the entries of the request, has to be
        on the disk before the answer is given; it is None if nothing has to be written."""
        if self._is_superseded(table, request.epoch, owner):
            return idl.AppendResponse(taken=False, promised_epoch=table.promised_epoch), None
        if request.epoch == table.snapshot_epoch and request.sequence <= table.sequence:
            return idl.AppendResponse(taken=True), None  # a duplicate of changes that are already on this disk
        follows = (
            is_whole
            or (request.epoch, request.sequence) == (table.snapshot_epoch, table.sequence + 1)
            or (
                request.from_epoch
                and (request.from_epoch, request.from_sequence) == (table.snapshot_epoch, table.sequence)
            )
            or self._covers(table, request)
        )
        if not follows:
            return idl.AppendResponse(taken=False, needs_snapshot=True, promised_epoch=table.promised_epoch), None
        return idl.AppendResponse(taken=True), {
            "promised_epoch": request.epoch,
            "promised_owner": owner,
            "snapshot_epoch": request.epoch,
            "sequence": request.sequence,
        }

    async def _accept(self, table, peer, arguments):
        self._check_voting_config(peer, arguments.voting_config_version)
        answer, header = self._check_append(table, arguments, arguments.owner, arguments.whole)
        if header is None:
            return answer
        received = {entry.key: entry.value for entry in arguments.entries or []}
        if not arguments.whole:
            await self._write_append(arguments.shard, table, received, header)
            return answer
        staged = self._staged.pop(arguments.shard, None)
        if arguments.parts:
            if staged is None or (staged.label, staged.parts) != (
                (arguments.epoch, arguments.owner, arguments.sequence),
                arguments.parts,
            ):
                return idl.AppendResponse(taken=False, needs_snapshot=True, promised_epoch=table.promised_epoch)
            received = staged.entries | received
        await self._install_snapshot(arguments.shard, table, received, header)
        return answer

    async def _accept_many(self, peer, arguments):
        """Applies append requests for different shards in one commit; each is checked by itself. The leader is told to
        repeat it with `accept` for a shard with another command in progress, and for all if one commit of the circular
        log can not hold them."""
        self._check_voting_config(peer, arguments.voting_config_version)
        answers, held_executors, writes = [], [], []
        try:
            for request in [unpack(idl.AppendEntries, data) for data in arguments.steps or []]:
                if not 0 <= request.shard < SHARDS:
                    raise StaleEpochError(f"there is no shard {request.shard}")
                if not self._executors[request.shard].acquire():
                    answers.append(idl.AppendResponse(taken=False, again=True))
                    continue
                held_executors.append(self._executors[request.shard])
                table = self._tables[request.shard]
                answer, header = self._check_append(table, request, arguments.owner)
                answers.append(answer)
                if header is not None:
                    writes.append(
                        (request.shard, table, {entry.key: entry.value for entry in request.entries or []}, header)
                    )
            if writes:
                try:
                    await self._ring.commit([row for write in writes for row in self._rows_of(*write)])
                except StorageFullError:
                    return [idl.AppendResponse(taken=False, again=True) for _ in answers]
                for _, *change in writes:
                    self._apply(*change)
        finally:
            for executor in held_executors:
                executor.release()
        return answers

    async def _write_append(self, shard, table, changed, header):
        """Writes the changes of an append request; changes that are too large for one commit are written as a whole
        snapshot."""
        try:
            await self._write(shard, table, changed, **header)
        except StorageFullError:
            snapshot = {key: value for key, value in (dict(table.entries) | changed).items() if value is not None}
            await self._install_snapshot(shard, table, snapshot, header)

    async def _install_snapshot(self, shard, table, snapshot, header):
        """Replaces the table's entries by this snapshot.

        If one commit can hold the differences, only these are written. Otherwise the snapshot is written as a new
        generation beside the old one, and a last small commit switches to it. An attempt that failed, in this process
        or an earlier one, leaves rows of its generation behind, and their removal may still be in progress; therefore
        each attempt uses a generation of its own."""
        changed = dict.fromkeys(table.entries.keys() - snapshot.keys()) | {
            key: value for key, value in snapshot.items() if table.entries.get(key) != value
        }
        limit = self._ring.commit_limit() // 2
        if next(in_parts(changed.items(), limit)) == list(changed.items()):
            await self._write(shard, table, changed, **header)
            return
        replaced_rows = [entry_key(shard, table.generation, key) for key in table.entries]
        table.newest_generation = generation = max(table.newest_generation, table.generation) + 1
        rows = {entry_key(shard, generation, key): value for key, value in snapshot.items()}
        try:
            for part in in_parts(rows.items(), limit):
                await self._ring.commit(part)
            await self._write(shard, table, {}, **header, generation=generation)
        except StorageError:
            spawn(self._remove([row for row in rows if row in self._ring.table]), self._log)
            raise
        table.entries = SortedDict(snapshot)
        table.update_size()
        self._log.info("snapshot_installed", shard=shard, entries=len(snapshot), generation=generation)
        await self._remove(replaced_rows)

    async def _write(self, shard, table, changed, **header):
        """Commits to the disk first, then changes the table, so that no answer can rely on a commit that failed."""
        await self._ring.commit(self._rows_of(shard, table, changed, header))
        self._apply(table, changed, header)

    @staticmethod
    def _rows_of(shard, table, changed, header):
        return [
            (f"s/{shard}", table.header(**header)),
            *((entry_key(shard, table.generation, key), value) for key, value in changed.items()),
        ]

    @staticmethod
    def _apply(table, changed, header):
        vars(table).update(header)
        for key, value in changed.items():
            previous = table.entries.pop(key, None)
            table.size -= 0 if previous is None else len(key) + len(previous)
            if value is not None:
                table.entries[key] = value
                table.size += len(key) + len(value)

    async def _confirm(self, peer, arguments):
        """Confirms those of these leases whose epoch is the last one promised. The promise is already on the disk, so
        nothing has to be written."""
        confirmed = self._confirmed(
            peer,
            arguments.owner,
            arguments.voting_config_version,
            [(lease.shard, lease.epoch) for lease in arguments.leases or []],
        )
        return [idl.ShardEpoch(shard=shard, epoch=epoch) for shard, epoch in confirmed]

    async def _unconfirmed(self, peer, arguments):
        """Answers `seconds_unconfirmed` of each of these shards in milliseconds; changes no state."""
        self._check_voting_config(peer, arguments.voting_config_version)
        if not all(0 <= shard < SHARDS for shard in arguments.shards or []):
            raise StaleEpochError("there is no such shard")
        return [int(self.seconds_unconfirmed(shard, peer.node_id) * 1000) for shard in arguments.shards or []]

    def confirm_leases(self, peer, leases):
        """Confirms leases whose renewal was sent along with a gossip request.

        Returns:
            the confirmed shards; None if the request is refused, in which case a later `confirm` call gets the reason.
        """
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
        self._last_holders.update({shard: (epoch, owner) for shard, epoch in confirmed})
        return confirmed
