"""The records of turns that one store keeps: what went in and what came out, by the turn's id.

A record never changes: a turn's id stands for one turn with one parent. So records need no clocks; a line's
versions say which turns it has, and the records lie beside them in the same ring. A record is kept while it or any
turn that goes on from it was retained within the time given with it: it goes once its time is over and no record
that is kept names it as its parent.
"""

import struct
from collections import namedtuple
from itertools import islice

from sortedcontainers import SortedList

from oakramp.common.constants import READ_HISTORY_KEPT, RECORD_KEPT_MAX, RECORDS_DROPPED
from oakramp.common.errors import BadRequestError

RECORD_ROW = "t/"
_HEAD = struct.Struct("<BIHHHII")  # layout, ms to keep, lengths of turn id, parent, line key, input, output
_LAYOUT = 1

Header = namedtuple("Header", "turn_id parent line_key keep_s input_length output_length body_at")


def pack_record(turn_id, parent, line_key, keep_s, input_bytes, output_bytes):
    """A turn's record as it travels and is stored; `keep_s` is its retention in seconds."""
    names = [name.encode() for name in (turn_id, parent or "", line_key)]
    return b"".join(
        [
            _HEAD.pack(_LAYOUT, int(keep_s * 1000), *map(len, names), len(input_bytes), len(output_bytes)),
            *names,
            input_bytes,
            output_bytes,
        ]
    )


def read_header(packed, length=None):
    """Of a record, or of its first bytes if its whole `length` is given."""
    try:
        layout, keep_ms, id_length, parent_length, key_length, input_length, output_length = _HEAD.unpack_from(packed)
        names_at = _HEAD.size
        parent_at = names_at + id_length
        key_at = parent_at + parent_length
        body_at = key_at + key_length
        if layout != _LAYOUT or (length or len(packed)) != body_at + input_length + output_length or not id_length:
            raise BadRequestError("not a record of a turn")
        return Header(
            packed[names_at:parent_at].decode(),
            packed[parent_at:key_at].decode() or None,
            packed[key_at:body_at].decode(),
            keep_ms / 1000,
            input_length,
            output_length,
            body_at,
        )
    except (struct.error, UnicodeDecodeError) as error:
        raise BadRequestError(f"not a record of a turn: {error}") from error


def read_bodies(packed, header):
    """(input, output)"""
    output_at = header.body_at + header.input_length
    return packed[header.body_at : output_at], packed[output_at:]


class _Row:
    """Where a record stands, and until when it is kept."""

    __slots__ = ("parent", "line_key", "until")

    def __init__(self, parent, line_key, until):
        self.parent, self.line_key, self.until = parent, line_key, until


class RecordTable:
    """Invariants: `_rows` names exactly the records that are on the disk and not being dropped; `_children[id]` are
    those of them that name `id` as their parent, `_on_line[key]` those of that line; `_ends` holds (until, id) of
    each; a record is dropped only when its time is over and it has no children here. `_dropped` holds for a while
    what was dropped here because its time was over. `_leftovers` names those not in `_rows` whose removal the log has
    not taken yet, and of which no commit under way enters them again."""

    def __init__(self, reactor, ring):
        self._reactor, self._ring = reactor, ring
        self._rows, self._children, self._on_line = {}, {}, {}
        self._ends = SortedList()
        self._dropped, self._longest = {}, 0.0
        self._leftovers = set()
        for name, head, length in ring.table.heads(RECORD_ROW):
            header = read_header(head, length)
            if header.body_at > len(head):
                header = read_header(ring.table[name])  # names of unusual length
            # How long it has been here is not known: its whole time begins anew.
            self._enter(header, header.keep_s)

    def __len__(self):
        return len(self._rows)

    def __contains__(self, turn_id):
        return turn_id in self._rows

    # --- what is here ---

    def packed(self, turn_id):
        return self._ring.table[RECORD_ROW + turn_id]

    def page(self, turn_ids, limit):
        """The records of these turns, as many from the front on as fit the limit, one at least."""
        page, size = [], 0
        for turn_id in turn_ids:
            packed = self.packed(turn_id)
            size += len(packed)
            if page and size > limit:
                break
            page.append(packed)
        return page

    def line_of(self, turn_id):
        """The key of the conversation that a turn belongs to, or None."""
        row = self._rows.get(turn_id)
        return row and row.line_key

    def was_dropped(self, turn_id):
        return turn_id in self._dropped

    def on_line(self, key):
        return self._on_line.get(key, frozenset())

    def left(self, turn_id):
        """Seconds for which it is still kept, at most; 0 for one whose time was over, None for one not known. One
        from which others go on is kept with them: told to another store, it has to last until they come too."""
        row = self._rows.get(turn_id)
        if row is not None:
            return max(READ_HISTORY_KEPT if turn_id in self._children else 0.001, row.until - self._reactor.seconds())
        return 0.0 if turn_id in self._dropped else None

    def chain(self, turn_id, more=None):
        """(ids from this turn to the oldest ancestor that is here, the first one missing or None). `more` maps ids
        to parents of records about to be entered."""
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

    def closure(self, turn_ids):
        """These turns and all their ancestors that are here, each once."""
        found = {}
        for turn_id in turn_ids:
            while turn_id in self._rows and turn_id not in found:
                found[turn_id] = None
                turn_id = self._rows[turn_id].parent
        return list(found)

    def note_dropped(self, turn_id):
        """Nobody keeps it any more."""
        if turn_id not in self._rows:
            self._dropped.setdefault(turn_id, self._reactor.seconds())

    def touch(self, turn_id, seconds=READ_HISTORY_KEPT):
        """Keeps it, and so its chain, for at least so long."""
        row = self._rows.get(turn_id)
        if row is not None:
            self._lengthen(turn_id, row, self._reactor.seconds() + seconds)

    # --- what the log still has of records that are not here any more ---

    def leftovers(self, most=RECORDS_DROPPED):
        """Ids whose entries are to be removed from the log; a page of them."""
        return list(islice(self._leftovers, most))

    def note_leftovers(self, turn_ids):
        """The log may still have entries of these, which are not here."""
        self._leftovers.update(turn_ids)

    def claim_leftovers(self, turn_ids):
        """Takes these out of the leftovers, since a commit enters them again or removes them; gives those that were
        leftovers, which are to be noted again if the commit fails."""
        claimed = self._leftovers.intersection(turn_ids)
        self._leftovers -= claimed
        return claimed

    # --- changes, each called once the ring has it ---

    def entries(self, packed_records):
        """The ring entries of those that are not here yet."""
        return [
            (RECORD_ROW + header.turn_id, packed)
            for packed in packed_records
            for header in [read_header(packed)]
            if header.turn_id not in self._rows
        ]

    def enter(self, packed, left):
        """A record is on the disk, and is kept for `left` seconds by what its sender knows. Gives its turn's id."""
        header = read_header(packed)
        self._enter(header, left)
        return header.turn_id

    def _enter(self, header, left):
        until = self._reactor.seconds() + min(left, RECORD_KEPT_MAX)
        row = self._rows.get(header.turn_id)
        if row is not None:
            self._lengthen(header.turn_id, row, until)
            return
        self._longest = max(self._longest, header.keep_s)
        self._rows[header.turn_id] = _Row(header.parent, header.line_key, until)
        self._dropped.pop(header.turn_id, None)
        self._ends.add((until, header.turn_id))
        self._on_line.setdefault(header.line_key, set()).add(header.turn_id)
        if header.parent is not None:
            self._children.setdefault(header.parent, set()).add(header.turn_id)

    def _lengthen(self, turn_id, row, until):
        if until > row.until:
            self._ends.discard((row.until, turn_id))
            row.until = until
            self._ends.add((until, turn_id))

    def shorten(self, turn_id, left):
        """Another store knows that it is kept no longer than this."""
        row = self._rows.get(turn_id)
        until = self._reactor.seconds() + left
        if row is not None and until < row.until:
            self._ends.remove((row.until, turn_id))
            row.until = until
            self._ends.add((until, turn_id))

    def take_ended(self, most=RECORDS_DROPPED):
        """The records to drop now, children before their parents, with the lines that have none left. They count as
        not here from now on; what the log still has of them is noted among the leftovers."""
        now, ended, lines = self._reactor.seconds(), [], []
        while self._ends and self._ends[0][0] <= now and len(ended) < most:
            _, turn_id = self._ends.pop(0)
            row = self._rows[turn_id]
            if self._children.get(turn_id):
                # Looked at again when its last child goes; until then it is not among the ends.
                row.until = 0.0
                continue
            while turn_id is not None:
                row = self._rows.pop(turn_id)
                ended.append(turn_id)
                self._dropped[turn_id] = now
                left = self._on_line[row.line_key]
                left.discard(turn_id)
                if not left:
                    del self._on_line[row.line_key]
                    lines.append(row.line_key)
                turn_id = self._orphaned(row.parent, turn_id)
        self._forget(now)
        self._leftovers.update(ended)
        return ended, lines

    def _orphaned(self, parent, child):
        """The parent, if this was its last child and its own time is over."""
        children = self._children.get(parent)
        if children is None:
            return None
        children.discard(child)
        if children:
            return None
        del self._children[parent]
        return parent if parent in self._rows and self._rows[parent].until == 0.0 else None

    def _forget(self, now):
        """A store that restarted keeps what it has for its whole time again, and no longer."""
        for turn_id in [turn_id for turn_id, at in self._first_dropped() if now - at > 2 * self._longest]:
            del self._dropped[turn_id]

    def _first_dropped(self):
        """The oldest of them; they are in the order of their dropping."""
        pairs = iter(self._dropped.items())
        return [pair for pair, _ in zip(pairs, range(2 * RECORDS_DROPPED))]
