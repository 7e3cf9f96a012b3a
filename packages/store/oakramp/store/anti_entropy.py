"""Anti-entropy between stores: each takes from the others what it lacks.

The lines of a store fall into buckets by their keys; a bucket's sum is that of its lines' digests. One small message
compares all sums, so two stores that agree say no more. Of the buckets that differ, the lines' digests are compared,
and of the lines that differ, versions and the ids of the turns whose records the other one keeps.

A line's digest covers its clocks only. That a store lacks records of a line whose clocks it has is known to itself:
its versions name turns that are neither here nor were let go. It asks each member for them until it has them, or all
the others have said that they keep none.
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
    """A store and where it listens. Calls name the store: once its disk is lost, another one may listen there, which
    keeps nothing of what this one kept and never speaks for it."""

    node_id: str
    address: str


class AntiEntropy:
    """Compares this store's conversations with those of its peers, and fetches what differs."""

    def __init__(self, node, table, metrics, stores):
        """`stores()` gives the store set as it stands here."""
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

    # --- what others ask ---

    async def _serve_digests(self, _peer, arguments):
        """For stores of the release before, which compare all lines."""
        keys = self._table.keys_after(arguments.after, min(arguments.most, CLEANUP_KEYS))
        return idl.DigestPage(
            store_epoch=self._stores().epoch,
            digests=[idl.LineDigest(key=key, digest=self._table.digest_of(key)) for key in keys],
        )

    async def _serve_sums(self, _peer, _arguments):
        return idl.LineSums(store_epoch=self._stores().epoch, sums=self._table.sums())

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
                        idl.TurnAge(turn_id=turn_id, left_ms=int(1000 * records.left(turn_id)))
                        for turn_id in records.on_line(key)
                    ],
                )
                for key in arguments.keys[:CLEANUP_KEYS]
                if key in table.rows
            ],
        )

    async def _serve_ages(self, _peer, arguments):
        """For how much longer each of these turns is kept here: 0 if its time was over, -1 if it is not known."""
        lefts = [self._records.left(turn_id) for turn_id in arguments.turn_ids]
        return [-1 if left is None else int(1000 * left) for left in lefts]

    async def _serve_chains(self, _peer, arguments):
        return self._records.closure(arguments.turn_ids)

    async def _serve_records(self, _peer, arguments):
        page = self._records.page([turn_id for turn_id in arguments.turn_ids if turn_id in self._records], RECORD_PAGE)
        return idl.RecordPage(
            store_epoch=self._stores().epoch,
            records=page,
            left_ms=[int(1000 * self._records.left(read_header(packed).turn_id)) for packed in page],
        )

    # --- records ---

    def _call(self, store, method, **arguments):
        return self._net.call(store.address, method, STORE_CALL_TIME, to=store.node_id, **arguments)

    async def pull(self, store, turn_ids):
        """Takes the records of these turns that are not here from this store; the next page is on its way while one
        goes to the disk. Gives the ids of those that came."""
        wanted, brought, keeping = [one for one in turn_ids if one not in self._records], [], defer.succeed(None)
        while wanted:
            asked, wanted = wanted[:COPY_PAGE_TURNS], wanted[COPY_PAGE_TURNS:]
            page = await self._call(store, "turnRecords", turn_ids=asked)
            if page.records:
                ids = {read_header(packed).turn_id for packed in page.records}
                # Those asked for before the last that came, and not given, are not kept there.
                last = max(place for place, turn_id in enumerate(asked) if turn_id in ids)
                wanted = asked[last + 1 :] + wanted
                brought += ids
                await keeping
                keeping = defer.ensureDeferred(
                    self._table.keep_records(list(zip(page.records, (ms / 1000 for ms in page.left_ms))))
                )
                self._metrics.count("records_pulled", len(ids))
        await keeping
        return brought

    async def pull_chains(self, store, turn_ids):
        """The same with all their ancestors."""
        await self.pull(store, await self._call(store, "turnChains", turn_ids=turn_ids))

    async def take(self, store, turn_ids):
        """Takes those of these turns with their chains that are neither here nor were let go here."""
        wanted = [one for one in turn_ids if one not in self._records and not self._records.was_dropped(one)]
        if wanted:
            await self.pull_chains(store, wanted)

    async def bring_chain(self, turn_id, stores):
        """Whether this turn and all its ancestors are on the disk here now; what is missing is asked of these
        stores in turn. Who goes on from a turn keeps its chain too."""
        for store in stores:
            missing = self._records.chain(turn_id)[1]
            if missing is None:
                break
            try:
                await self.pull_chains(store, [missing])
            except OakrampError as error:
                self._node.log.info("history_not_fetched", member=store.node_id, reason=error.reason)
        if self._records.chain(turn_id)[1] is not None:
            return False
        if turn_id is not None:
            self._records.touch(turn_id)
        return True

    # --- a round with one member ---

    async def compare(self, store):
        """Takes from the member all that it has and this store has not. What it took in since it was asked for its
        sums is not among it: that it sends to all members by itself."""
        answer = await self._call(store, "lineSums")
        # A member in our epoch sends us what it writes from now on; one in an older epoch does not.
        self._check_epoch(answer.store_epoch)
        buckets, after, pulled = self._table.differing(answer.sums), "", []
        while buckets:
            page = await self._call(store, "lineBuckets", buckets=buckets, after=after, most=CLEANUP_KEYS)
            self._check_epoch(page.store_epoch)
            digests = page.digests or []
            pulled += await self._take_lines(
                store, [one.key for one in digests if self._table.digest_of(one.key) != one.digest]
            )
            if len(digests) < CLEANUP_KEYS:
                await self._settle_alone(store, buckets, {one.key for one in digests} if not after else None)
                break
            after = digests[-1].key
            buckets = buckets[buckets.index(bucket_of(after)) :]
        await self._repair_chains(store, pulled)
        await self._ask_lacking(store)

    async def _take_lines(self, store, keys):
        """First the records, then the versions that name them."""
        if not keys:
            return []
        page = await self._call(store, "lineTurns", keys=keys)
        self._check_epoch(page.store_epoch)
        lines = page.lines or []
        turns = [turn for one in lines for turn in one.turns or []]
        for turn in turns:
            self._records.shorten(turn.turn_id, turn.left_ms / 1000)
        pulled = await self.pull(store, [turn.turn_id for turn in turns if not self._records.was_dropped(turn.turn_id)])
        # A line of turns of which none is kept here any more is gone here.
        lines = [
            one
            for one in lines
            if one.key in self._table.rows
            or not one.key.startswith(TURN_LINE)
            or any(turn.turn_id in self._records for turn in one.turns or [])
        ]
        # Together, so that one sync of the disk covers many of them.
        merged = await settled(
            [self._table.merge(one.key, from_state(one.line), one.line.age_ms / 1000) for one in lines]
        )
        self._metrics.count("lines_synced", len(lines))
        for error in [error for ok, error in merged if not ok]:
            raise error
        return pulled

    async def _repair_chains(self, store, pulled):
        """Ancestors that were let go here while nobody had gone on from them, as far as was known here."""
        missing = {self._records.chain(turn_id)[1] for turn_id in pulled} - {None}
        if missing:
            await self.pull_chains(store, sorted(missing))

    async def _settle_alone(self, store, buckets, theirs):
        """Lines that only this store still has, of these buckets: after a restart it does not know how long it has
        had them. The member may have let their turns go."""
        if theirs is None:
            return
        alone = [
            key
            for key, _ in self._table.digests_after(buckets, "", CLEANUP_KEYS)
            if key.startswith(TURN_LINE) and key not in theirs
        ]
        turn_ids = [turn_id for key in alone for turn_id in self._records.on_line(key)][:COPY_PAGE_TURNS]
        if turn_ids:
            self._shorten(turn_ids, await self._call(store, "turnAges", turn_ids=turn_ids))

    def _shorten(self, turn_ids, lefts):
        for turn_id, left in zip(turn_ids, lefts):
            if left >= 0:
                self._records.shorten(turn_id, left / 1000)

    async def _ask_lacking(self, store):
        lacking = self._table.lacking_of(store.node_id, COPY_PAGE_TURNS)
        if not lacking:
            return
        lefts = await self._call(store, "turnAges", turn_ids=lacking)
        await self.pull_chains(store, [turn_id for turn_id, left in zip(lacking, lefts) if left > 0])
        others = self._stores().everyone.keys() - {self._node.node_id}
        self._table.note_absent(store.node_id, [turn_id for turn_id, left in zip(lacking, lefts) if left <= 0], others)
