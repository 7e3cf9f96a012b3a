"""The records of turns that one store keeps: input and output of each turn, by the turn's id.

A record is immutable: a turn id always denotes the same turn with the same parent. So records need no clocks; the
versions of a conversation name its turns, and the records are stored separately in the same circular log. A record is
kept while it or any turn that continues it was retained within the retention time sent with it: it is dropped once
its retention has ended and no record that is still kept names it as its parent.
"""

import struct
from collections import namedtuple
from itertools import islice

from sortedcontainers import SortedList

from oakramp.common.constants import READ_HISTORY_KEPT, RECORD_KEPT_MAX, RECORDS_DROPPED
from oakramp.common.errors import BadRequestError

RECORD_ROW = "t/"
# Layout, retention in ms, lengths of turn id, parent, conversation key, input, output.
_HEADER = struct.Struct("<BIHHHII")
_LAYOUT = 1

Header = namedtuple("Header", "turn_id parent line_key keep_s input_length output_length body_offset")


def pack_record(turn_id, parent, line_key, keep_s, input_bytes, output_bytes):
    """Serialises a turn's record for transport and storage; `keep_s` is its retention in seconds."""
    encoded_names = [name.encode() for name in (turn_id, parent or "", line_key)]
    return b"".join(
        [
            _HEADER.pack(_LAYOUT, int(keep_s * 1000), *map(len, encoded_names), len(input_bytes), len(output_bytes)),
            *encoded_names,
            input_bytes,
            output_bytes,
        ]
    )


def read_header(packed, length=None):
    """Reads the header of a record; its first bytes suffice if the record's total `length` is given."""
    try:
        layout, keep_ms, id_length, parent_length, key_length, input_length, output_length = _HEADER.unpack_from(packed)
        names_offset = _HEADER.size
        parent_offset = names_offset + id_length
        key_offset = parent_offset + parent_length
        body_offset = key_offset + key_length
        if layout != _LAYOUT or (length or len(packed)) != body_offset + input_length + output_length or not id_length:
            raise BadRequestError("invalid turn record")
        return Header(
            packed[names_offset:parent_offset].decode(),
            packed[parent_offset:key_offset].decode() or None,
            packed[key_offset:body_offset].decode(),
            keep_ms / 1000,
            input_length,
            output_length,
            body_offset,
        )
    except (struct.error, UnicodeDecodeError) as error:
        raise BadRequestError(f"invalid turn record: {error}") from error


def read_bodies(packed, header):
    """(input, output)"""
    output_offset = header.body_offset + header.input_length
    return packed[header.body_offset : output_offset], packed[output_offset:]


class _Row:
    """The parent and conversation of a record, and the time until which it is kept."""

    __slots__ = ("parent", "line_key", "expires_at")

    def __init__(self, parent, line_key, expires_at):
        self.parent, self.line_key, self.expires_at = parent, line_key, expires_at


class RecordTable:
    """Invariants: `_rows` names exactly the records that are on disk and not being dropped; `_children[id]` are those
    of them that name `id` as their parent, `_by_conversation[key]` those of that conversation; `_by_expiry` holds
    (expires_at, id) of each. A record is dropped only when its retention has ended and it has no children here.
    `_dropped` holds, for a limited time, the ids that were dropped here because their retention had ended.
    `_pending_removals` holds the ids not in `_rows` whose removal the log has not taken yet, unless a commit in flight
    inserts them again."""

    def __init__(self, reactor, ring):
        self._reactor, self._ring = reactor, ring
        self._rows, self._children, self._by_conversation = {}, {}, {}
        self._by_expiry = SortedList()
        self._dropped, self._longest_retention = {}, 0.0
        self._pending_removals = set()
        for name, head, length in ring.table.heads(RECORD_ROW):
            header = read_header(head, length)
            if header.body_offset > len(head):
                header = read_header(ring.table[name])  # the ids and the key are longer than the part that was read
            # After a restart the age of a record is not known, so its full retention begins again.
            self._insert(header, header.keep_s)

    def __len__(self):
        return len(self._rows)

    def __contains__(self, turn_id):
        return turn_id in self._rows

    # --- reading ---

    def packed(self, turn_id):
        return self._ring.table[RECORD_ROW + turn_id]

    def page(self, turn_ids, limit):
        """The records of the first of these turns, as many as fit into `limit` bytes, but at least one."""
        page, size = [], 0
        for turn_id in turn_ids:
            packed = self.packed(turn_id)
            size += len(packed)
            if page and size > limit:
                break
            page.append(packed)
        return page

    def key_of_turn(self, turn_id):
        """The key of the conversation that a turn belongs to, or None."""
        row = self._rows.get(turn_id)
        return row and row.line_key

    def was_dropped(self, turn_id):
        return turn_id in self._dropped

    def turn_ids_of(self, key):
        return self._by_conversation.get(key, frozenset())

    def seconds_left(self, turn_id):
        """Remaining retention of a record in seconds; 0 if its retention has ended, None if it is not known. A record
        with children is kept as long as they are: another store that is sent this time has to keep the record until
        the children arrive too, hence READ_HISTORY_KEPT as the minimum."""
        row = self._rows.get(turn_id)
        if row is not None:
            return max(
                READ_HISTORY_KEPT if turn_id in self._children else 0.001, row.expires_at - self._reactor.seconds()
            )
        return 0.0 if turn_id in self._dropped else None

    def chain(self, turn_id, more=None):
        """(ids from this turn back to the oldest ancestor that is here, id of the first missing one or None). `more`
        maps ids to parents of records that are about to be inserted."""
        ids, more = [], more or {}
        while turn_id is not None:
            if turn_id in more:
                parent = more[turn_id]
            elif turn_id in self._rows:
                parent = self._rows[turn_id].parent
            else:
                return ids, turn_id
            ids.append(turn_id)
            turn_id = parent
        return ids, None

    def with_ancestors(self, turn_ids):
        """The ids of these turns and of all their ancestors that are here, without duplicates."""
        found = {}
        for turn_id in turn_ids:
            while turn_id in self._rows and turn_id not in found:
                found[turn_id] = None
                turn_id = self._rows[turn_id].parent
        return list(found)

    def mark_dropped(self, turn_id):
        """Notes that no store keeps this record any more."""
        if turn_id not in self._rows:
            self._dropped.setdefault(turn_id, self._reactor.seconds())

    def touch(self, turn_id, seconds=READ_HISTORY_KEPT):
        """Extends the retention of the record, and thereby of its chain, to at least this many seconds from now."""
        row = self._rows.get(turn_id)
        if row is not None:
            self._extend(turn_id, row, self._reactor.seconds() + seconds)

    # --- removals that the log has not taken yet ---

    def pending_removals(self, limit=RECORDS_DROPPED):
        """A page of the ids whose entries have to be removed from the log."""
        return list(islice(self._pending_removals, limit))

    def add_removals(self, turn_ids):
        """Notes that the log may still hold entries of these ids, which are not in this table."""
        self._pending_removals.update(turn_ids)

    def claim_removals(self, turn_ids):
        """Takes these ids out of the pending removals, since a commit inserts them again or removes them. Returns those
        that were pending, which have to be added again if the commit fails."""
        claimed = self._pending_removals.intersection(turn_ids)
        self._pending_removals -= claimed
        return claimed

    # --- changes, each called once it is committed to the circular log ---

    def entries(self, packed_records):
        """The log entries of those records that are not here yet."""
        return [
            (RECORD_ROW + header.turn_id, packed)
            for packed in packed_records
            for header in [read_header(packed)]
            if header.turn_id not in self._rows
        ]

    def insert(self, packed, seconds_left):
        """Adds a record that is on disk; `seconds_left` is its remaining retention as its sender knows it. Returns the
        turn id."""
        header = read_header(packed)
        self._insert(header, seconds_left)
        return header.turn_id

    def _insert(self, header, seconds_left):
        expires_at = self._reactor.seconds() + min(seconds_left, RECORD_KEPT_MAX)
        row = self._rows.get(header.turn_id)
        if row is not None:
            self._extend(header.turn_id, row, expires_at)
            return
        self._longest_retention = max(self._longest_retention, header.keep_s)
        self._rows[header.turn_id] = _Row(header.parent, header.line_key, expires_at)
        self._dropped.pop(header.turn_id, None)
        self._by_expiry.add((expires_at, header.turn_id))
        self._by_conversation.setdefault(header.line_key, set()).add(header.turn_id)
        if header.parent is not None:
            self._children.setdefault(header.parent, set()).add(header.turn_id)

    def _extend(self, turn_id, row, expires_at):
        if expires_at > row.expires_at:
            self._by_expiry.discard((row.expires_at, turn_id))
            row.expires_at = expires_at
            self._by_expiry.add((expires_at, turn_id))

    def shorten(self, turn_id, seconds_left):
        """Shortens the retention to what another store knows to be left of it."""
        row = self._rows.get(turn_id)
        expires_at = self._reactor.seconds() + seconds_left
        if row is not None and expires_at < row.expires_at:
            self._by_expiry.remove((row.expires_at, turn_id))
            row.expires_at = expires_at
            self._by_expiry.add((expires_at, turn_id))

    def take_expired(self, limit=RECORDS_DROPPED):
        """Removes the records whose retention has ended from the table, and returns their ids, children before their
        parents, and the conversations that have no record left. Their entries in the log become pending removals."""
        now, expired, emptied = self._reactor.seconds(), [], []
        while self._by_expiry and self._by_expiry[0][0] <= now and len(expired) < limit:
            _, turn_id = self._by_expiry.pop(0)
            row = self._rows[turn_id]
            if self._children.get(turn_id):
                # Checked again when its last child is dropped; until then it is not in `_by_expiry`.
                row.expires_at = 0.0
                continue
            while turn_id is not None:
                row = self._rows.pop(turn_id)
                expired.append(turn_id)
                self._dropped[turn_id] = now
                remaining = self._by_conversation[row.line_key]
                remaining.discard(turn_id)
                if not remaining:
                    del self._by_conversation[row.line_key]
                    emptied.append(row.line_key)
                turn_id = self._remove_child(row.parent, turn_id)
        self._forget_dropped(now)
        self._pending_removals.update(expired)
        return expired, emptied

    def _remove_child(self, parent, child):
        """Returns the parent if this was its last child and its own retention has ended."""
        children = self._children.get(parent)
        if children is None:
            return None
        children.discard(child)
        if children:
            return None
        del self._children[parent]
        return parent if parent in self._rows and self._rows[parent].expires_at == 0.0 else None

    def _forget_dropped(self, now):
        """Forgets dropped ids after twice the longest retention: a store that restarted keeps its records for their
        full retention again, and no longer."""
        for turn_id in [turn_id for turn_id, at in self._oldest_dropped() if now - at > 2 * self._longest_retention]:
            del self._dropped[turn_id]

    def _oldest_dropped(self):
        """The oldest entries of `_dropped`, which is ordered by the time of dropping."""
        pairs = iter(self._dropped.items())
        return [pair for pair, _ in zip(pairs, range(2 * RECORDS_DROPPED))]
