"""The owner's side of owned keys: taking a slot over, holding its term, working through its commands."""

import json
from dataclasses import replace
from functools import partial

from twisted.internet import defer

from oakramp.common.bounded_queue import BoundedQueue
from oakramp.common.constants import (
    CALL_TIME,
    CANDIDATE_TURN_TIME,
    CONDITION_AGE,
    CONTROL_BATCH,
    CONTROL_QUEUE_LIMIT,
    FAILOVER_POLL,
    FORGET_AGE,
    FULL_RETRY,
    LEASE,
    LEASE_FRESH,
    LEASE_HELD,
    LEASE_RENEW,
    ONWARD_TIME,
    OWNER_CLEANUP,
    OWNER_CLEANUP_KEYS,
    RELEASE_TIME,
    SHARDS,
    VIEW_RETRY,
    VOTERS_POLL,
    VOTING_CONFIG_HEARD,
)
from oakramp.common.errors import (
    NotFoundError,
    NotShardLeaderError,
    OakrampError,
    OutcomeUnknownError,
    QuorumUnavailableError,
    StorageFullError,
    Verdict,
)
from oakramp.common.tasks import Repeater, drive, sleep, spawn, within
from oakramp.common.validation import pack_json
from oakramp.control.controllers import CONTROLLERS, SHARD_SOURCE, published_by, sweeps_for
from oakramp.control.prepare_phase import PreparePhase, is_moving
from oakramp.control.quorum_contact import QuorumContact
from oakramp.control.replication import AppendBatcher, Proposal, ShardProgress, VoterUpdates
from oakramp.control.shards import shard_of_key
from oakramp.control.transaction import Transaction
from oakramp.membership.members import LIVE
from oakramp.membership.rendezvous_hashing import ranked
from oakramp.rpc.codec import idl, pack


def entries_of(pairs):
    return [idl.Entry(key=key, value=value) for key, value in pairs]


AFTER_ROWS = "$"  # sorts after the '#' of a key's own rows, and before every character of a name
VOTING_CONFIG_BITS = 20  # bits; of a slot source's version, below the epoch: rosters change far less often than that


class ShardLeader:
    """One slot held by this node. Invariants:
    - `entries` is on a majority of the roster's disks under (epoch, sequence), and `size` is its bytes;
    - `sources` are the news sources that this owner speaks for;
    - nothing is answered from it once `termUntil` has passed or `ended` is set;
    - no command is answered before what it changed, and all that it read, is on that majority."""

    def __init__(self, leaders, shard, epoch, entries, sequence):
        self._owners, self.shard, self.epoch = leaders, shard, epoch
        self.entries, self.sequence = entries, sequence
        self.size = sum(len(key) + len(value) for key, value in entries.items())
        self.sources = {f"{SHARD_SOURCE}{shard}"}
        self.cleaned_to = ""
        self._queue = BoundedQueue(CONTROL_QUEUE_LIMIT, f"slot{shard}")
        self.lease_until = 0.0
        self.voting_config_version = 0
        self.confirmed = defer.Deferred()
        self.ended = False
        self.idle = True
        self.marks = {}
        self.progress = ShardProgress(epoch)
        self._task = None

    def serve(self):
        self._task = spawn(self._run(), self._owners.log)

    def lengthen(self, until):
        self.lease_until = max(self.lease_until, until)
        if not self.confirmed.called:
            self.confirmed.callback(None)

    def holds_lease(self):
        return not self.ended and self._owners.reactor.seconds() < self.lease_until

    def end(self):
        if self.ended:
            return
        self.ended = True
        self._owners.retract(self)
        for _, answer in filter(None, self._queue.take_ready(CONTROL_QUEUE_LIMIT)):
            answer.errback(NotShardLeaderError("this slot is changing hands"))
        if self._task is not None and self.idle:
            self._task.cancel()

    def do(self, key, command, arguments):
        return self._put(partial(self._command, key, command, arguments))

    def cleanup(self):
        """Lets old things go of the next page of keys, all as one command; fires with what failed, as (key, error) pairs."""
        pairs = sweeps_for(self.next_roots(OWNER_CLEANUP_KEYS))
        return self._put(partial(self._cleanup_all, pairs)) if pairs else defer.succeed([])

    def _put(self, work):
        if not self.holds_lease():
            raise NotShardLeaderError(f"no term for slot {self.shard}")
        answer = defer.Deferred()
        self._queue.put((work, answer))
        return answer

    async def _run(self):
        while not self.ended:
            self.idle = True
            first = await self._queue.take()
            self.idle = False
            await self._work([first, *self._queue.take_ready(CONTROL_BATCH - 1)])

    def write_again(self):
        """Asks for the image to be brought to the majorities of the present roster."""
        if len(self._queue) < CONTROL_QUEUE_LIMIT:
            self._queue.put(None)

    async def _work(self, batch):
        write_again = None in batch
        batch = [entry for entry in batch if entry is not None]
        transaction, outcomes = Transaction(self.entries, self._owners.context_for(self)), []
        for work, answer in batch:
            try:
                outcomes.append((answer, work(transaction)))
            except OakrampError as error:
                outcomes.append((answer, error))
        fault = await self._keep(dict(transaction.changes()), write_again)
        for answer, outcome in outcomes:
            if fault is not None or isinstance(outcome, OakrampError):
                answer.errback(fault or outcome)
                continue
            answer.callback(outcome)

    def _command(self, key, command, arguments, transaction):
        """What the command gives; one that fails leaves nothing in the view."""
        inner = transaction.nested()
        try:
            controller = CONTROLLERS.find(key.partition("/")[0])
            if command in controller.growing:
                self._owners.refuse_full(self)
            result = controller.run(inner, key, command, arguments)
            if command in controller.replacing:
                self._owners.refuse_unfit(self, inner.changes())
        except OakrampError:
            raise
        except Exception as error:
            self._owners.log.error("command_crashed", key=key, command=command, error=repr(error))
            raise OakrampError(f"{command} crashed", Verdict.NO) from error
        transaction.fold(inner)
        return result

    def _cleanup_all(self, pairs, transaction):
        failed = []
        for key, command in pairs:
            try:
                self._command(key, command, {}, transaction)
            except OakrampError as error:
                failed.append((key, error))
        return failed

    async def _keep(self, changes, write_again):
        """None once the changes are on a majority and the term still holds; else what to tell all callers."""
        if changes or write_again:
            if not await self._owners.replicate(self, self.sequence + 1, changes):
                self.end()
                return OutcomeUnknownError("the change did not reach a majority of disks; ask for it by its id")
            self.sequence += 1
            self._apply(changes)
            self._owners.publish(self, changes)
        if not self.holds_lease():
            return (
                OutcomeUnknownError("the term ended meanwhile; ask for the change by its id")
                if changes
                else NotShardLeaderError("the term ended meanwhile")
            )
        return None

    def growth(self, changes):
        """Bytes by which these changes make the slot larger."""
        return sum(
            (0 if value is None else len(key) + len(value))
            - (len(key) + len(self.entries[key]) if key in self.entries else 0)
            for key, value in changes.items()
        )

    def _apply(self, changes):
        for key, value in changes.items():
            previous = self.entries.pop(key, None)
            self.size -= 0 if previous is None else len(key) + len(previous)
            if value is not None:
                self.entries[key] = value
                self.size += len(key) + len(value)

    def snapshot_with(self, sequence, changes):
        """(sequence, entries) of the newest image that is at least as new as this change. While the change is on
        its way, it is not among the entries yet."""
        if sequence <= self.sequence:
            return self.sequence, dict(self.entries)
        return sequence, {key: value for key, value in (dict(self.entries) | changes).items() if value is not None}

    def next_roots(self, most):
        """The next keys that commands are for, in order, going round; each is found without the rows that hang
        on the one before."""
        roots = []
        while len(roots) < most and (key := next(self.entries.irange(self.cleaned_to), None)) is not None:
            roots.append(key.partition("#")[0])
            self.cleaned_to = roots[-1] + AFTER_ROWS
        if len(roots) < most:
            self.cleaned_to = ""
        return roots


class LeaseRound:
    """One asking of a roster's voters for the terms of these owners. Invariant: `_confirmedBy` holds, for each slot that has
    not been confirmed by a majority yet, the voters that confirmed it after `askedAt`."""

    def __init__(self, leaders, voting_config, asked_at):
        self.leaders, self.voting_config, self.asked_at = leaders, voting_config, asked_at
        self._confirmed_by = {shard: set() for shard in leaders}

    def take(self, node_id, shards):
        for shard in shards & self._confirmed_by.keys():
            self._confirmed_by[shard].add(node_id)
            if self.voting_config.is_quorum(self._confirmed_by[shard]):
                self.leaders[shard].lengthen(self.asked_at + LEASE_HELD)
                del self._confirmed_by[shard]


class LeaseRenewalPiggyback:
    """Sends the terms of a node's slots along with its pulls. Nobody waits for that: what is not confirmed so, for
    whatever reason, is asked for by calls at the next renewal, as if no pull had carried it."""

    def __init__(self, leaders, node):
        self._owners, self._node = leaders, node
        self._round, self._voters = None, {}

    def begin_round(self):
        self._round, self._voters = self._owners.begin_confirmation(), {}
        if self._round is None:
            return
        own = self._node.node_id
        self._voters = {
            address: node_id for node_id, address in self._owners.voter_addresses().items() if node_id != own
        }
        self._owners.confirm_at(self._round, [own])

    def ride(self, address):
        node_id, asked = self._voters.get(address), self._round
        if node_id is None:
            return None
        leases = idl.LeaseRenewal(
            voter=node_id,
            voting_config_version=asked.voting_config.version,
            shards=list(asked.leaders),
            epochs=[owner.epoch for owner in asked.leaders.values()],
        )
        return leases, lambda shards: asked.take(node_id, set(shards))


class LeaderRegistry:
    """The slots this node owns, and the task that takes over those which it should own.

    Invariants: a slot is in `active` only after its image under our epoch is on a majority and every
    earlier term has ended; `_orders` are the live ones in the order in which each slot is for them."""

    def __init__(self, node, voter):
        self.reactor, self._node, self._voter = node.reactor, node, voter
        self.log = node.log
        self.active = {}
        self._taking = set()
        self._seen_epochs = {}
        self._released_at = {}
        self._orders = (), ()
        self._batchers = {}
        self._updates = VoterUpdates(self, node, self._on_outranked)
        self._started_at = node.reactor.seconds()
        self.contact = QuorumContact(node.reactor, node.log)
        self.poll_times = {}
        self._tasks = [
            Repeater(node.reactor, pause, round_function, node.log)
            for pause, round_function in (
                (FAILOVER_POLL, self._poll),
                (LEASE_RENEW, self._renew),
                (OWNER_CLEANUP, self._cleanup),
                (VOTERS_POLL, self._update_voters),
            )
        ]
        voter.may_hold_lease = self._may_hold_lease
        node.net.handle("ownerCall", self._serve_call)
        node.net.handle("release", self._serve_release)

    def start(self):
        for task in self._tasks:
            task.start()

    async def stop(self):
        self._tasks[0].stop()
        self._tasks[2].stop()
        self._tasks[3].stop()
        # Whoever is named next asks for each slot; what nobody asked for is taken over after its term.
        for _ in range(20):
            if not self.active:
                break
            await sleep(self.reactor, FAILOVER_POLL)
        for owner in list(self.active.values()):
            owner.end()
        self._tasks[1].stop()

    def context_for(self, owner):
        return CommandContext(
            self.reactor.seconds(),
            self._node.members,
            owner.marks,
            self._voter.voting_config,
            self._node.state_table,
            self._node.env.get("bounds"),
            self.contact,
            partial(self.refuse_full, owner),
        )

    # --- the majority ---

    def voter_addresses(self):
        """Where each voter is, by its own word if it has been heard of."""
        known = {node_id: self._node.members.find(node_id) for node_id in self._voter.voting_config.everyone}
        return {
            node_id: known[node_id].peer if known[node_id] else peer
            for node_id, peer in self._voter.voting_config.everyone.items()
        }

    def ask_voters(self, method, voter_ids, time_left=CALL_TIME, **arguments):
        return {
            node_id: self._node.net.call(
                address,
                method,
                time_left,
                voting_config_version=self._voter.voting_config.version,
                owner=self._node.node_id,
                to=node_id,
                **arguments,
            )
            for node_id, address in self.voter_addresses().items()
            if node_id in voter_ids
        }

    def refuse_full(self, owner):
        """Before anything is done: what would grow a state that has no more room is told no. What is open already
        still finds room to end."""
        if owner.size > self._voter.shard_limit():
            raise StorageFullError(
                f"slot {owner.shard} of the control state is full; end programs, or use other names",
                retry_after=FULL_RETRY,
            )
        if self._voter.is_full():
            raise StorageFullError("the control state is full; end programs", retry_after=FULL_RETRY)

    def refuse_unfit(self, owner, changes):
        """A voter takes a long image beside the one that it has, so what makes a slot larger must leave room for that."""
        growth = owner.growth(changes)
        if growth > 0 and not self._voter.has_room(growth, owner.size + growth, len(owner.entries) + len(changes)):
            raise StorageFullError(f"slot {owner.shard} would not fit a second time; take something out first")

    async def replicate(self, owner, sequence, changes, start=(0, 0)):
        """Whether a majority has this change, all under one roster. While voters pass from one roster to the
        next, the same change is offered again: who has it says so."""
        ends_at = self.reactor.seconds() + CALL_TIME
        while True:
            voting_config = self._voter.voting_config
            reached, errors = await self._offer(voting_config, owner, sequence, changes, start, ends_at)
            if reached:
                owner.voting_config_version = voting_config.version
                return True
            if owner.ended or not any(map(is_moving, errors.values())) or self.reactor.seconds() >= ends_at:
                return False
            await sleep(self.reactor, LEASE_RENEW / 4)

    def _offer(self, voting_config, owner, sequence, changes, start, ends_at):
        offer, change = Proposal(voting_config, ends_at), (voting_config.version, owner, sequence, changes, start)
        owner.progress.offer(sequence, changes, start, voting_config.everyone, owner.size)
        step = pack(
            idl.AppendEntries(
                shard=owner.shard,
                epoch=owner.epoch,
                sequence=sequence,
                entries=entries_of(changes.items()),
                from_epoch=start[0],
                from_sequence=start[1],
            )
        )
        for voter in self.voter_addresses().items():
            self._offer_to(voter, offer, change, step)
        return offer.outcome

    def _offer_to(self, voter, offer, change, step):
        node_id, address = voter
        voting_config_version, owner, sequence, *_ = change
        if owner.progress.is_stalled(node_id):
            self._settle_after(
                self._updates.await_update(voter, voting_config_version, owner, sequence), voter, offer, change, step
            )
            return
        if node_id not in self._batchers:
            self._batchers[node_id] = AppendBatcher(self._node.net, self.reactor, node_id)
        self._batchers[node_id].put((address, change[0]), step, partial(self._judged, voter, offer, change, step))

    def _judged(self, voter, offer, change, step, taken, error):
        if error is None and taken.taken:
            _, owner, sequence, *_ = change
            owner.progress.confirm(voter[0], sequence)
            offer.settle(voter[0])
        elif taken is None and not isinstance(error, NotFoundError):
            self._refused(voter, offer, change, step, error)
        else:  # it lacks something, is not to be disturbed just now, or takes steps one by one only
            self._settle_after(self._updates.give(voter, *change, taken), voter, offer, change, step)

    def _settle_after(self, update, voter, offer, change, step):
        drive(
            update,
            lambda _, why: offer.settle(voter[0]) if why is None else self._refused(voter, offer, change, step, why),
        )

    def _refused(self, voter, offer, change, step, error):
        """A voter that is passing to this roster is asked again by itself: else all would wait for one that is dead."""
        if is_moving(error):
            self.reactor.callLater(LEASE_RENEW / 4, self._offer_again, voter, offer, change, step, error)
        else:
            offer.settle(voter[0], error)

    def _offer_again(self, voter, offer, change, step, error):
        voting_config_version, owner = change[:2]
        if offer.outcome.called:
            return
        if voting_config_version != self._voter.voting_config.version:
            offer.give_up(voter[0], error)  # under the next roster it is offered to all anew
        elif owner.ended or self.reactor.seconds() >= offer.ends_at:
            offer.settle(voter[0], error)
        else:
            self._offer_to(voter, offer, change, step)

    def note_epoch(self, shard, epoch):
        """A voter has promised this epoch; a take-over of the slot by this node goes above it."""
        self._seen_epochs[shard] = max(self._seen_epochs.get(shard, 0), epoch)

    async def _update_voters(self):
        if self.active:
            self._updates.poll(
                dict(self.active), list(self.voter_addresses().items()), self._voter.voting_config.version
            )

    @property
    def voters_behind(self):
        """Voters that lacked something at the last look, counted once for each slot that this node holds."""
        return self._updates.behind if self.active else 0

    def _on_outranked(self, shard, owner):
        """A voter that has promised a later epoch takes no step of this one, and nobody serves under that. So the slot is
        taken over anew, under an epoch above."""
        self.log.info("epoch_superseded", shard=shard, epoch=owner.epoch, seen=self._seen_epochs.get(shard, 0))
        owner.end()

    # --- terms ---

    async def _renew(self):
        """Starts one round of confirmations; the answers lengthen the terms as they come in, so that a slow
        voter holds up neither the others nor the next round."""
        now = self.reactor.seconds()
        for shard, owner in list(self.active.items()):
            if now > owner.lease_until + LEASE:
                self.log.warning("lease_lost", shard=shard, epoch=owner.epoch)
                owner.end()
        if any(
            owner.lease_until < now + LEASE_HELD - LEASE_FRESH for owner in self.active.values()
        ):  # else pulls have done it
            self._confirm(dict(self.active))
        for owner in self.active.values():
            if owner.voting_config_version < self._voter.voting_config.version:
                owner.write_again()

    def begin_confirmation(self):
        """A round for all slots that are held, or None."""
        return LeaseRound(dict(self.active), self._voter.voting_config, self.reactor.seconds()) if self.active else None

    def _confirm(self, leaders):
        if leaders:
            asked = LeaseRound(leaders, self._voter.voting_config, self.reactor.seconds())
            self.confirm_at(asked, asked.voting_config.everyone)

    def confirm_at(self, asked, voter_ids):
        """Asks these voters by a call of its own each."""
        leases = [idl.ShardEpoch(shard=shard, epoch=owner.epoch) for shard, owner in asked.leaders.items()]

        async def ask(node_id, answer):
            asked.take(node_id, {lease.shard for lease in await answer})

        for node_id, answer in self.ask_voters("confirm", voter_ids, leases=leases).items():
            spawn(ask(node_id, answer))

    # --- taking over ---

    def _live_voting_config(self):
        members = self._node.members
        return [
            node_id
            for node_id, peer in self._voter.voting_config.named.items()
            if members.condition(node_id) == LIVE and members.successor_of(node_id, peer) is None
        ]

    async def _poll(self):
        voting_config = self._voter.voting_config
        if voting_config is None:
            return
        answering = {
            node_id
            for node_id, address in self.voter_addresses().items()
            if self._node.gossip_client.answers_lately(address)
        }
        is_partitioned = not voting_config.is_quorum(answering)
        self.contact.poll(not is_partitioned)
        if self._node.node_id not in voting_config.everyone:
            self._say_partitioned(
                False
            )  # who has no vote needs no majority; while it says so, it would not be let in again
            for owner in list(self.active.values()):
                owner.end()
            return
        # Only who has answers from a majority may disturb an owner: one that is heard but hears nobody would
        # end every term with its prepares.
        self._say_partitioned(is_partitioned)
        if is_partitioned:
            return
        live_ids = self._live_voting_config()
        for shard in range(SHARDS):
            is_free = self.is_free(shard) and not self._is_given_away(shard)
            if is_free and self._is_for_me(shard, live_ids):
                self.begin_failover(shard)

    def is_free(self, shard):
        """Whether this node neither holds the slot nor is taking it over."""
        return shard not in self.active and shard not in self._taking

    def previous_owner(self, shard):
        """The node that is known to have held the slot last, by the confirmations of the voter here and by news; None if
        there is none. Who only seeks the slot is not meant: it may be about to have it."""
        holder, believed = self._voter.last_holder(shard), self.believed_owner(shard)
        return max(holder, believed[:2] if believed else holder)[1]

    def is_next(self, shard, suspects):
        """Whether the slot is for this node, once the suspects are left out."""
        candidates = [node_id for node_id in self._live_voting_config() if node_id not in suspects]
        return bool(candidates) and ranked(candidates, f"slot{shard}")[0] == self._node.node_id

    def begin_failover(self, shard, expired=False):
        """`expired`: a majority says that the former lease has ended, so its owner is not asked to release the slot."""
        self._taking.add(shard)
        spawn(self._failover(shard, self._live_voting_config(), expired), self.log)

    def _is_given_away(self, shard):
        """Whether another member has asked this one for the slot within a term. It may not count as live here yet, as one
        that is just back from a cut; a take-over beside its own would hold the slot up."""
        return self.reactor.seconds() < self._released_at.get(shard, float("-inf")) + LEASE

    def _say_partitioned(self, is_partitioned):
        """A member that hears no majority says so, as far as it is still heard: slots are named for others at once,
        without a turn of its own that it could not use."""
        state, me = "parted" if is_partitioned else "up", self._node.gossip_client.me
        is_new = self.reactor.seconds() - self._started_at < CONDITION_AGE
        if me.state not in (state, "leaving") and not (is_partitioned and is_new):
            self._node.gossip_client.describe(replace(me, state=state))
            self.log.info("member_partitioned" if is_partitioned else "member_rejoined")

    def _is_for_me(self, shard, live_ids):
        """The slot is for the first live one named for it. If that one is seen to live, but the slot stays
        without an owner (a cut may part it from the voters only), the next ones step in, one after another; the
        first of them only after the one named first has had its own turn."""
        order = self._order(shard, tuple(live_ids))
        if self._node.node_id not in order:
            return False
        place = order.index(self._node.node_id)
        ownerless = min(self._node.state_table.age(f"{SHARD_SOURCE}{shard}"), self.reactor.seconds() - self._started_at)
        late = ownerless - CONDITION_AGE - CANDIDATE_TURN_TIME
        return place == (0 if late <= 0 else (1 + int(late / CANDIDATE_TURN_TIME)) % len(order))

    def _order(self, shard, live_ids):
        if self._orders[0] != live_ids:
            self._orders = live_ids, [ranked(live_ids, f"slot{number}") for number in range(SHARDS)]
        return self._orders[1][shard]

    def believed_owner(self, shard):
        """(epoch, nodeId, address) of the slot's newest owner that this node has heard of, or None."""
        rows = self._node.state_table.values(f"{SHARD_SOURCE}{shard}")
        return tuple(json.loads(rows["owner"])) if "owner" in rows else None

    async def _failover(self, shard, live_ids, expired=False):
        believed = self.believed_owner(shard)
        self.log.info(
            "failover_started",
            shard=shard,
            after=believed[1] if believed else "nobody",
            live=len(live_ids),
            silent=round(min(self._node.state_table.age(f"{SHARD_SOURCE}{shard}"), FORGET_AGE), 2),
            expired="yes" if expired else "no",
        )
        try:
            released = None if expired else await self._ask_release(shard)
            await self._prepare_and_serve(shard, released)
        except OakrampError as error:
            self.log.warning("failover_failed", shard=shard, reason=error.reason)
            await sleep(self.reactor, self._node.random.uniform(0.1, 0.5))
        finally:
            self._taking.discard(shard)

    async def _ask_release(self, shard):
        believed = self.believed_owner(shard)
        if (
            believed is None
            or believed[1] not in self._voter.voting_config.everyone
            or believed[1] == self._node.node_id
        ):
            return None
        if self._node.members.condition(believed[1]) not in (LIVE, "leaving"):
            return None
        try:
            return await self._node.net.call(believed[2], "release", RELEASE_TIME, shard=shard)
        except OakrampError as error:
            self.log.warning("shard_release_unanswered", shard=shard, owner=believed[1], reason=error.reason)
            return None

    def _next_epoch(self, shard, released_epoch):
        believed = self.believed_owner(shard)
        seen = self._seen_epochs.get(shard, 0), believed[0] if believed else 0
        return max(*seen, released_epoch or 0, self._voter.promised_epoch(shard)) + 1

    async def _prepare_and_serve(self, shard, released_epoch):
        epoch = self._next_epoch(shard, released_epoch)
        self._seen_epochs[shard] = epoch
        preparation = PreparePhase(self, self._node, self._voter, shard, epoch)
        await preparation.prepare()
        newest, start = preparation.newest()
        entries = await preparation.fetch_snapshot(newest)
        owner = ShardLeader(self, shard, epoch, entries, 0)
        if not await self.replicate(owner, 1, {}, start):
            raise QuorumUnavailableError(f"the image of epoch {epoch} did not reach a majority")
        await preparation.previous_lease_ended(released_epoch)
        spawn(self._ask_until_confirmed(owner, self._voter.voting_config.version), self.log)
        await within(self.reactor, LEASE, owner.confirmed, QuorumUnavailableError(f"epoch {epoch} was not confirmed"))
        owner.sequence = 1
        self.active[shard] = owner
        owner.serve()
        self.publish(owner, entries)
        self.log.info(
            "shard_leader_elected", shard=shard, epoch=epoch, entries=len(entries), released=released_epoch or "no"
        )

    async def _ask_until_confirmed(self, owner, voting_config_version):
        """Asks for an owner's first term, again and again while voters pass to this roster. Under a later one nothing is
        asked: its majority need not hold what was prepared."""
        while not owner.confirmed.called and self._voter.voting_config.version == voting_config_version:
            self._confirm({owner.shard: owner})
            await sleep(self.reactor, LEASE_RENEW / 4)

    def _may_hold_lease(self, shard, requester):
        """Whether this process has a term of the slot, or may come to one by a take-over that the asker's does not follow."""
        return shard in self.active or (shard in self._taking and requester != self._node.node_id)

    async def _serve_release(self, _peer, arguments):
        owner = self.active.get(arguments.shard)
        if owner is None:
            return None
        owner.end()
        self._released_at[arguments.shard] = self.reactor.seconds()
        self.log.info("shard_released", shard=arguments.shard, epoch=owner.epoch)
        return owner.epoch

    # --- news ---

    def retract(self, owner):
        if self.active.get(owner.shard) is owner:
            del self.active[owner.shard]
        for source in owner.sources:
            self._node.state_table.retract(source)

    def publish(self, owner, changes):
        if owner.ended:
            return  # while the change was on its way: who speaks for a source takes no news of it from the next owner
        source = f"{SHARD_SOURCE}{owner.shard}"
        self._node.state_table.publish(source, lambda: self._vouch(owner))
        self._node.state_table.set_items(
            source,
            (owner.epoch << VOTING_CONFIG_BITS) + owner.voting_config_version,
            {
                "owner": pack_json([owner.epoch, self._node.node_id, self._node.net.address]),
                "roster": pack_json(owner.voting_config_version),
            },
        )
        transaction = Transaction(owner.entries, None)
        for published in sorted({published_by(key) for key in changes} - {None}):
            owner.sources.add(published)
            controller = CONTROLLERS.find(published.partition("/")[0])
            version, values = controller.snapshot(transaction, published)
            self._node.state_table.publish(published, lambda published=published: self._vouch_for(owner, published))
            self._node.state_table.set_items(published, version, values)

    def _vouch(self, owner):
        """The time is read first: were this process frozen after it has looked at the term, a later one would be untrue."""
        now = self.reactor.seconds()
        return now if owner.holds_lease() else None

    def _vouch_for(self, owner, published):
        """What hangs on a duty is only as new as the duty's last round."""
        at = self._vouch(owner)
        return at if at is None or published not in self.poll_times else self.poll_times[published]

    # --- calls ---

    async def _serve_call(self, _peer, arguments):
        try:
            answer = await self.call(arguments.key, arguments.command, json.loads(arguments.arguments_json))
            return pack_json(answer).decode()
        except NotShardLeaderError as error:
            owner_address = error.detail
            if not arguments.onward or not self._is_heard(owner_address):
                raise
        return await self._node.net.call(
            owner_address,
            "ownerCall",
            ONWARD_TIME,
            key=arguments.key,
            command=arguments.command,
            arguments_json=arguments.arguments_json,
        )

    def _is_heard(self, address):
        return address not in (None, self._node.net.address) and self._node.gossip_client.answers_lately(
            address, VOTING_CONFIG_HEARD
        )

    async def call(self, key, command, arguments):
        shard = shard_of_key(key)
        owner = self.active.get(shard)
        if owner is None:
            believed = self.believed_owner(shard)
            raise NotShardLeaderError(f"slot {shard} is owned elsewhere", detail=believed and believed[2])
        return await owner.do(key, command, arguments)

    async def _cleanup(self):
        """A page of each slot, as one command."""
        for owner in list(self.active.values()):
            if not owner.holds_lease():
                continue
            try:
                failed = await owner.cleanup()
            except OakrampError as error:
                self.log.warning("cleanup_failed", shard=owner.shard, reason=str(error))
                continue
            for key, error in failed:
                self.log.warning("cleanup_failed", shard=owner.shard, key=key, reason=str(error))


class CommandContext:
    """What a command may look at besides entries: the owner's monotonic time, the members, the news that this
    node has, the deployment's bounds, whether it is in touch with a majority, and marks, which live only as long as this
    ownership: key -> time since which the key counts. `refuse_full` is for commands that grow the state only where they are
    no repeat."""

    def __init__(
        self, now, members, marks, voting_config, state_table, bounds=None, contact=None, refuse_full=lambda: None
    ):
        self.now, self.members, self.marks, self.voting_config, self.state_table = (
            now,
            members,
            marks,
            voting_config,
            state_table,
        )
        self.bounds = bounds or {}
        self._contact = contact
        self.refuse_full = refuse_full

    def age_of(self, key):
        return self.now - self.marks.setdefault(key, self.now)

    def touch(self, key):
        self.marks[key] = self.now

    def refusal(self, error):
        """This refusal, which rests on who has not been heard of; CannotTell while that may only mean that this node has
        not been in touch for long enough to hear of everybody."""
        if self._contact is None or self._contact.knows_members():
            return error
        return QuorumUnavailableError(f"not in touch for long enough to tell: {error.reason}", retry_after=VIEW_RETRY)
