"""Anti-entropy between stores: each store fetches from the others what it lacks.

Conversations are assigned to buckets by their keys; the sum of a bucket is the sum of its conversations' digests. One
small message compares all sums, so two stores that agree exchange nothing else. For buckets that differ, the digests
of their conversations are compared; for conversations that differ, the versions and the ids of the turns whose records
the other store keeps are exchanged.

A conversation's digest covers its clocks only. A store detects by itself that it lacks records of a conversation whose
clocks it has: the versions name turns whose records are neither present nor were dropped. It asks each member for
them until it has them, or all the others have replied that they have none.
"""

from typing import NamedTuple

from twisted.internet import defer

from oakramp.common.constants import CLEANUP_KEYS, COPY_PAGE_TURNS, RECORD_PAGE, STORE_CALL_TIME
from oakramp.common.errors import OakrampError, StaleEpochError
from oakramp.common.tasks import settled
from oakramp.rpc.codec import idl
from oakramp.store.record_table import TURN_LINE, bucket_of, from_state, to_state
from oakramp.store.records import read_header


class StoreAddress(NamedTuple):
    """A store and the address on which it listens. Calls name the store, since after the loss of its disk another
    store may listen there, which has none of its data and must not be counted as this one."""

    node_id: str
    address: str


class AntiEntropy:
    """Compares this store's conversations with those of its peers, and fetches what differs."""

    def __init__(self, node, table, metrics, stores):
        """`stores()` returns the store set as this node knows it."""
        self._node, self._net, self._table, self._records = node, node.net, table, table.records
        self._metrics, self._stores = metrics, stores
        for method, handler in (
            ("lineDigests", self._serve_digests),
            ("lineSums", self._serve_sums),
            ("lineBuckets", self._serve_buckets),
            ("lineTurns", self._serve_line_turns),
            ("turnAges", self._serve_ages),
            ("turnChains", self._serve_chains),
            ("turnRecords", self._serve_records),
        ):
            node.net.handle(method, handler)

    def _check_epoch(self, epoch):
        if epoch != self._stores().epoch:
            raise StaleEpochError(f"store epoch {epoch} is not {self._stores().epoch}")

    # --- requests from other stores ---

    async def _serve_digests(self, _peer, arguments):
        """Serves stores of the previous release, which compare the digests of all conversations."""
        keys = self._table.keys_after(arguments.after, min(arguments.most, CLEANUP_KEYS))
        return idl.DigestPage(
            store_epoch=self._stores().epoch,
            digests=[idl.LineDigest(key=key, digest=self._table.digest_of(key)) for key in keys],
        )

    async def _serve_sums(self, _peer, _arguments):
        return idl.LineSums(store_epoch=self._stores().epoch, sums=self._table.bucket_sums())

    async def _serve_buckets(self, _peer, arguments):
        page = self._table.digests_after(arguments.buckets, arguments.after, min(arguments.most, CLEANUP_KEYS))
        return idl.DigestPage(
            store_epoch=self._stores().epoch, digests=[idl.LineDigest(key=key, digest=digest) for key, digest in page]
        )

    async def _serve_line_turns(self, _peer, arguments):
        table, records = self._table, self._records
        return idl.LinePage(
            store_epoch=self._stores().epoch,
            lines=[
                idl.LineTurns(
                    key=key,
                    line=to_state(table.versions(key), age=table.age(key)),
                    turns=[
                        idl.TurnAge(turn_id=turn_id, left_ms=int(1000 * records.seconds_left(turn_id)))
                        for turn_id in records.turn_ids_of(key)
                    ],
                )
                for key in arguments.keys[:CLEANUP_KEYS]
                if key in table.rows
            ],
        )

    async def _serve_ages(self, _peer, arguments):
        """Remaining retention of each of these turns in ms: 0 if it has ended, -1 if the turn is not known here."""
        all_seconds_left = [self._records.seconds_left(turn_id) for turn_id in arguments.turn_ids]
        return [-1 if seconds_left is None else int(1000 * seconds_left) for seconds_left in all_seconds_left]

    async def _serve_chains(self, _peer, arguments):
        return self._records.with_ancestors(arguments.turn_ids)

    async def _serve_records(self, _peer, arguments):
        page = self._records.page([turn_id for turn_id in arguments.turn_ids if turn_id in self._records], RECORD_PAGE)
        return idl.RecordPage(
            store_epoch=self._stores().epoch,
            records=page,
            left_ms=[int(1000 * self._records.seconds_left(read_header(packed).turn_id)) for packed in page],
        )

    # --- records ---

    def _call(self, store, method, **arguments):
        return self._net.call(store.address, method, STORE_CALL_TIME, to=store.node_id, **arguments)

    async def fetch_records(self, store, turn_ids):
        """Fetches those of these turns' records that are not here from this store; the next page is requested while one
        is written to disk. Returns the ids of the records received."""
        wanted, fetched, storing = [one for one in turn_ids if one not in self._records], [], defer.succeed(None)
        while wanted:
            requested, wanted = wanted[:COPY_PAGE_TURNS], wanted[COPY_PAGE_TURNS:]
            page = await self._call(store, "turnRecords", turn_ids=requested)
            if page.records:
                ids = {read_header(packed).turn_id for packed in page.records}
                # A record that was requested before the last one received, and is missing, is not kept there.
                last = max(index for index, turn_id in enumerate(requested) if turn_id in ids)
                wanted = requested[last + 1 :] + wanted
                fetched += ids
                await storing
                storing = defer.ensureDeferred(
                    self._table.keep_records(list(zip(page.records, (ms / 1000 for ms in page.left_ms))))
                )
                self._metrics.count("records_pulled", len(ids))
        await storing
        return fetched

    async def fetch_chains(self, store, turn_ids):
        """Like `fetch_records`, with all ancestors of these turns."""
        await self.fetch_records(store, await self._call(store, "turnChains", turn_ids=turn_ids))

    async def fetch_unknown_chains(self, store, turn_ids):
        """Fetches those of these turns, with their chains, that are neither here nor were dropped here."""
        wanted = [one for one in turn_ids if one not in self._records and not self._records.was_dropped(one)]
        if wanted:
            await self.fetch_chains(store, wanted)

    async def ensure_chain(self, turn_id, stores):
        """Fetches what is missing of this turn and its ancestors from these stores, one after another. Returns whether
        all of them are on disk here now. A turn that is continued has its retention extended with its chain."""
        for store in stores:
            missing = self._records.chain(turn_id)[1]
            if missing is None:
                break
            try:
                await self.fetch_chains(store, [missing])
            except OakrampError as error:
                self._node.log.info("history_not_fetched", member=store.node_id, reason=error.reason)
        if self._records.chain(turn_id)[1] is not None:
            return False
        if turn_id is not None:
            self._records.touch(turn_id)
        return True

    # --- a round of anti-entropy with one member ---

    async def reconcile(self, store):
        """Fetches from the member all that it has and this store lacks. This excludes what the member has received
        since it was asked for its sums: such writes it sends to all members by itself."""
        reply = await self._call(store, "lineSums")
        # A member in the same epoch sends its later writes to this store; one in an older epoch does not.
        self._check_epoch(reply.store_epoch)
        buckets, after, fetched = self._table.differing(reply.sums), "", []
        while buckets:
            page = await self._call(store, "lineBuckets", buckets=buckets, after=after, most=CLEANUP_KEYS)
            self._check_epoch(page.store_epoch)
            digests = page.digests or []
            fetched += await self._fetch_conversations(
                store, [one.key for one in digests if self._table.digest_of(one.key) != one.digest]
            )
            if len(digests) < CLEANUP_KEYS:
                await self._shorten_unshared(store, buckets, {one.key for one in digests} if not after else None)
                break
            after = digests[-1].key
            buckets = buckets[buckets.index(bucket_of(after)) :]
        await self._repair_chains(store, fetched)
        await self._fetch_missing_records(store)

    async def _fetch_conversations(self, store, keys):
        """Fetches the records first, then merges the versions that name them."""
        if not keys:
            return []
        page = await self._call(store, "lineTurns", keys=keys)
        self._check_epoch(page.store_epoch)
        conversations = page.lines or []
        turns = [turn for one in conversations for turn in one.turns or []]
        for turn in turns:
            self._records.shorten(turn.turn_id, turn.left_ms / 1000)
        fetched = await self.fetch_records(
            store, [turn.turn_id for turn in turns if not self._records.was_dropped(turn.turn_id)]
        )
        # A conversation whose turns have all been dropped here has itself been dropped here.
        conversations = [
            one
            for one in conversations
            if one.key in self._table.rows
            or not one.key.startswith(TURN_LINE)
            or any(turn.turn_id in self._records for turn in one.turns or [])
        ]
        # Merged concurrently, so that one sync of the disk covers many of them.
        merged = await settled(
            [self._table.merge(one.key, from_state(one.line), one.line.age_ms / 1000) for one in conversations]
        )
        self._metrics.count("lines_synced", len(conversations))
        for error in [error for ok, error in merged if not ok]:
            raise error
        return fetched

    async def _repair_chains(self, store, fetched):
        """Fetches ancestors that were dropped here because this store did not know of any turn that continues them."""
        missing = {self._records.chain(turn_id)[1] for turn_id in fetched} - {None}
        if missing:
            await self.fetch_chains(store, sorted(missing))

    async def _shorten_unshared(self, store, buckets, member_keys):
        """Shortens the retention of conversations in these buckets that only this store still has: after a restart it
        does not know how long it has had them, and the member may have dropped their turns."""
        if member_keys is None:
            return
        unshared = [
            key
            for key, _ in self._table.digests_after(buckets, "", CLEANUP_KEYS)
            if key.startswith(TURN_LINE) and key not in member_keys
        ]
        turn_ids = [turn_id for key in unshared for turn_id in self._records.turn_ids_of(key)][:COPY_PAGE_TURNS]
        if turn_ids:
            self._shorten(turn_ids, await self._call(store, "turnAges", turn_ids=turn_ids))

    def _shorten(self, turn_ids, all_left_ms):
        for turn_id, left_ms in zip(turn_ids, all_left_ms):
            if left_ms >= 0:
                self._records.shorten(turn_id, left_ms / 1000)

    async def _fetch_missing_records(self, store):
        missing = self._table.missing_records_for(store.node_id, COPY_PAGE_TURNS)
        if not missing:
            return
        all_left_ms = await self._call(store, "turnAges", turn_ids=missing)
        await self.fetch_chains(store, [turn_id for turn_id, left_ms in zip(missing, all_left_ms) if left_ms > 0])
        others = self._stores().all_members.keys() - {self._node.node_id}
        self._table.note_absent(
            store.node_id, [turn_id for turn_id, left_ms in zip(missing, all_left_ms) if left_ms <= 0], others
        )
