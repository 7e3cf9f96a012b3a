"""The owner's side of owned keys: taking a slot over, holding its term, working through its commands."""

import json
from collections import ChainMap
from functools import partial
from itertools import takewhile

from sortedcontainers import SortedDict
from twisted.internet import defer

from oakbase.checks import packJson
from oakbase.constants import (
    CALL_TIME,
    CONDITION_AGE,
    CONTROL_BATCH,
    CONTROL_INBOX,
    FORGET_AGE,
    FULL_RETRY,
    IMAGE_PART,
    OWNER_SWEEP,
    OWNER_SWEEP_KEYS,
    RELEASE_TIME,
    SLOTS,
    STEP_IN_TIME,
    TAKEOVER_LOOK,
    TERM,
    TERM_FRESH,
    TERM_RENEW,
)
from oakbase.inbox import Inbox
from oakbase.tasks import Repeater, drive, quorumOf, sleep, spawn, within
from oakbase.verdict import CannotTell, Fenced, NoAnswer, NotOwner, OakError, RingFull, Unknown, Verdict
from oakcohort.members import LIVE, Member
from oakcohort.rendezvous import ranked
from oakcontrol.controllers import CONTROLLERS, SLOT_SOURCE, publishedBy, sweepsFor
from oakcontrol.replication import Offer, StepBatcher
from oakcontrol.slots import inParts, packEntry, slotOfKey, unpackEntry
from oakwire.codec import idl, pack


def entriesOf(pairs):
    return [idl.Entry(key=key, value=value) for key, value in pairs]


AFTER_ROWS = "$"  # sorts after the '#' of a key's own rows, and before every character of a name
ROSTER_BITS = 20  # bits; of a slot source's version, below the epoch: rosters change far less often than that


class View:
    """What a command sees and writes: the committed entries under those of its own batch."""

    def __init__(self, entries, context):
        self._entries = entries
        self._layers = ChainMap({}, entries)
        self.context = context

    def get(self, key):
        value = self._layers.get(key)
        return None if value is None else unpackEntry(value)

    def packed(self, key):
        """The entry as it is kept, for who passes it on or compares it as it is."""
        return self._layers.get(key)

    def put(self, key, value):
        self._layers.maps[0][key] = packEntry(value)

    def committedKeys(self, prefix):
        """The keys with this prefix among the committed entries, in order; what this batch does is not seen."""
        return takewhile(lambda key: key.startswith(prefix), self._entries.irange(prefix))

    def nested(self):
        """A view for one command, so that one that fails leaves nothing behind."""
        view = View(self._entries, self.context)
        view._layers = self._layers.new_child()
        return view

    def fold(self, view):
        self._layers.maps[0].update(view._layers.maps[0])

    def changes(self):
        return self._layers.maps[0]


class SlotOwner:
    """One slot held by this node. Invariants:
    - `entries` is on a majority of the roster's disks under (epoch, sequence), and `size` is its bytes;
    - `sources` are the news sources that this owner speaks for;
    - nothing is answered from it once `termUntil` has passed or `ended` is set;
    - no command is answered before what it changed, and all that it read, is on that majority."""

    def __init__(self, owners, slot, epoch, entries, sequence):
        self._owners, self.slot, self.epoch = owners, slot, epoch
        self.entries, self.sequence = entries, sequence
        self.size = sum(len(key) + len(value) for key, value in entries.items())
        self.sources = {f"{SLOT_SOURCE}{slot}"}
        self.sweptTo = ""
        self._inbox = Inbox(CONTROL_INBOX, f"slot{slot}")
        self.termUntil = 0.0
        self.rosterVersion = 0
        self.confirmed = defer.Deferred()
        self.ended = False
        self.idle = True
        self.marks = {}
        self._task = None

    def serve(self):
        self._task = spawn(self._run(), self._owners.log)

    def lengthen(self, until):
        self.termUntil = max(self.termUntil, until)
        if not self.confirmed.called:
            self.confirmed.callback(None)

    def holdsTerm(self):
        return not self.ended and self._owners.reactor.seconds() < self.termUntil

    def end(self):
        if self.ended:
            return
        self.ended = True
        self._owners.retract(self)
        for _, answer in filter(None, self._inbox.takeReady(CONTROL_INBOX)):
            answer.errback(NotOwner("this slot is changing hands"))
        if self._task is not None and self.idle:
            self._task.cancel()

    def do(self, key, command, arguments):
        return self._put(partial(self._command, key, command, arguments))

    def sweep(self):
        """Lets old things go of the next page of keys, all as one command; fires with what failed, as (key, error) pairs."""
        pairs = sweepsFor(self.nextRoots(OWNER_SWEEP_KEYS))
        return self._put(partial(self._sweepAll, pairs)) if pairs else defer.succeed([])

    def _put(self, work):
        if not self.holdsTerm():
            raise NotOwner(f"no term for slot {self.slot}")
        answer = defer.Deferred()
        self._inbox.put((work, answer))
        return answer

    async def _run(self):
        while not self.ended:
            self.idle = True
            first = await self._inbox.take()
            self.idle = False
            await self._work([first, *self._inbox.takeReady(CONTROL_BATCH - 1)])

    def writeAgain(self):
        """Asks for the image to be brought to the majorities of the present roster."""
        if len(self._inbox) < CONTROL_INBOX:
            self._inbox.put(None)

    async def _work(self, batch):
        writeAgain = None in batch
        batch = [entry for entry in batch if entry is not None]
        view, outcomes = View(self.entries, self._owners.contextFor(self)), []
        for work, answer in batch:
            try:
                outcomes.append((answer, work(view)))
            except OakError as error:
                outcomes.append((answer, error))
        fault = await self._keep(dict(view.changes()), writeAgain)
        for answer, outcome in outcomes:
            if fault is not None or isinstance(outcome, OakError):
                answer.errback(fault or outcome)
                continue
            answer.callback(outcome)

    def _command(self, key, command, arguments, view):
        """What the command gives; one that fails leaves nothing in the view."""
        inner = view.nested()
        try:
            controller = CONTROLLERS.find(key.partition("/")[0])
            if command in controller.growing:
                self._owners.refuseFull(self)
            result = controller.run(inner, key, command, arguments)
        except OakError:
            raise
        except Exception as error:
            self._owners.log.event("commandCrashed", key=key, command=command, error=repr(error))
            raise OakError(f"{command} crashed", Verdict.NO) from error
        view.fold(inner)
        return result

    def _sweepAll(self, pairs, view):
        failed = []
        for key, command in pairs:
            try:
                self._command(key, command, {}, view)
            except OakError as error:
                failed.append((key, error))
        return failed

    async def _keep(self, changes, writeAgain):
        """None once the changes are on a majority and the term still holds; else what to tell all callers."""
        if changes or writeAgain:
            if not await self._owners.replicate(self, self.sequence + 1, changes):
                self.end()
                return NoAnswer("the change did not reach a majority of disks; ask for it by its id")
            self.sequence += 1
            self._apply(changes)
            self._owners.publish(self, changes)
        if not self.holdsTerm():
            return (
                NoAnswer("the term ended meanwhile; ask for the change by its id")
                if changes
                else NotOwner("the term ended meanwhile")
            )
        return None

    def _apply(self, changes):
        for key, value in changes.items():
            former = self.entries.pop(key, None)
            self.size -= 0 if former is None else len(key) + len(former)
            if value is not None:
                self.entries[key] = value
                self.size += len(key) + len(value)

    def imageWith(self, sequence, changes):
        """(sequence, entries) of the newest image that is at least as new as this change. While the change is on
        its way, it is not among the entries yet."""
        if sequence <= self.sequence:
            return self.sequence, dict(self.entries)
        return sequence, {key: value for key, value in (dict(self.entries) | changes).items() if value is not None}

    def nextRoots(self, most):
        """The next keys that commands are for, in order, going round; each is found without the rows that hang
        on the one before."""
        roots = []
        while len(roots) < most and (key := next(self.entries.irange(self.sweptTo), None)) is not None:
            roots.append(key.partition("#")[0])
            self.sweptTo = roots[-1] + AFTER_ROWS
        if len(roots) < most:
            self.sweptTo = ""
        return roots


class ConfirmationRound:
    """One asking of a roster's voters for the terms of these owners. Invariant: `_confirmedBy` holds, for each slot that has
    not been confirmed by a majority yet, the voters that confirmed it after `askedAt`."""

    def __init__(self, owners, roster, askedAt):
        self.owners, self.roster, self.askedAt = owners, roster, askedAt
        self._confirmedBy = {slot: set() for slot in owners}

    def take(self, nodeId, slots):
        for slot in slots & self._confirmedBy.keys():
            self._confirmedBy[slot].add(nodeId)
            if self.roster.isQuorum(self._confirmedBy[slot]):
                self.owners[slot].lengthen(self.askedAt + TERM)
                del self._confirmedBy[slot]


class TermRider:
    """Sends the terms of a node's slots along with its pulls. Nobody waits for that: what is not confirmed so, for
    whatever reason, is asked for by calls at the next renewal, as if no pull had carried it."""

    def __init__(self, owners, node):
        self._owners, self._node = owners, node
        self._round, self._voters = None, {}

    def begin_round(self):
        self._round, self._voters = self._owners.begin_confirmation(), {}
        if self._round is None:
            return
        own = self._node.nodeId
        self._voters = {address: nodeId for nodeId, address in self._owners.voterAddresses().items() if nodeId != own}
        self._owners.confirm_at(self._round, [own])

    def ride(self, address):
        nodeId, asked = self._voters.get(address), self._round
        if nodeId is None:
            return None
        terms = idl.Terms(
            voter=nodeId,
            rosterVersion=asked.roster.version,
            slots=list(asked.owners),
            epochs=[owner.epoch for owner in asked.owners.values()],
        )
        return terms, lambda slots: asked.take(nodeId, set(slots))


def isMoving(error):
    """Whether a voter refused only because it stands in another roster than the asker."""
    return isinstance(error, Fenced) and bool(error.detail)


class FormerTerms:
    """The terms of a slot's earlier epochs. They have ended when the last one that was confirmed runs out, or as soon as each
    process that might hold one has said that it doesn't: after an outage of all, that is at once."""

    def __init__(self, reactor, holders):
        self._reactor, self._left, self._outcome = reactor, set(holders), defer.Deferred()

    def holds_none(self, nodeId):
        self._left.discard(nodeId)
        if not self._left:
            self._end()

    def _end(self):
        if not self._outcome.called:
            self._outcome.callback(None)

    async def ended(self, at):
        call = self._reactor.callLater(max(0.0, at - self._reactor.seconds()), self._end)
        await self._outcome
        if call.active():
            call.cancel()


class Owners:
    """The slots this node owns, and the task that takes over those which it should own.

    Invariants: a slot is in `held` only after its image under our epoch is on a majority and every
    earlier term has ended; `_orders` are the live ones in the order in which each slot is for them."""

    def __init__(self, node, voter):
        self.reactor, self._node, self._voter = node.reactor, node, voter
        self.log = node.log
        self.held = {}
        self._taking = set()
        self._seenEpochs = {}
        self._orders = (), ()
        self._batchers = {}
        self._startedAt = node.reactor.seconds()
        self.pollTimes = {}
        self._tasks = [
            Repeater(node.reactor, pause, roundFunction, node.log)
            for pause, roundFunction in (
                (TAKEOVER_LOOK, self._look),
                (TERM_RENEW, self._renew),
                (OWNER_SWEEP, self._sweep),
            )
        ]
        voter.may_hold_term = self._may_hold_term
        node.net.handle("ownerCall", self._serveCall)
        node.net.handle("release", self._serveRelease)

    def start(self):
        for task in self._tasks:
            task.start()

    async def stop(self):
        self._tasks[0].stop()
        self._tasks[2].stop()
        # Whoever is named next asks for each slot; what nobody asked for is taken over after its term.
        for _ in range(20):
            if not self.held:
                break
            await sleep(self.reactor, TAKEOVER_LOOK)
        for owner in list(self.held.values()):
            owner.end()
        self._tasks[1].stop()

    def contextFor(self, owner):
        return Context(
            self.reactor.seconds(),
            self._node.members,
            owner.marks,
            self._voter.roster,
            self._node.board,
            self._node.env.get("bounds"),
        )

    # --- the majority ---

    def voterAddresses(self):
        """Where each voter is, by its own word if it has been heard of."""
        known = {nodeId: self._node.members.find(nodeId) for nodeId in self._voter.roster.everyone}
        return {
            nodeId: known[nodeId].peer if known[nodeId] else peer
            for nodeId, peer in self._voter.roster.everyone.items()
        }

    def _askVoters(self, method, voterIds, **arguments):
        return {
            nodeId: self._node.net.call(
                address,
                method,
                CALL_TIME,
                rosterVersion=self._voter.roster.version,
                owner=self._node.nodeId,
                to=nodeId,
                **arguments,
            )
            for nodeId, address in self.voterAddresses().items()
            if nodeId in voterIds
        }

    def refuseFull(self, owner):
        """Before anything is done: what would grow a state that has no more room is told no. What is open already
        still finds room to end."""
        if owner.size > self._voter.slotLimit():
            raise RingFull(
                f"slot {owner.slot} of the control state is full; end programs, or use other names",
                retryAfter=FULL_RETRY,
            )
        if self._voter.isFull():
            raise RingFull("the control state is full; end programs", retryAfter=FULL_RETRY)

    async def replicate(self, owner, sequence, changes, start=(0, 0)):
        """Whether a majority has this change, all under one roster. While voters pass from one roster to the
        next, the same change is offered again: who has it says so."""
        endsAt = self.reactor.seconds() + CALL_TIME
        while True:
            roster = self._voter.roster
            reached, errors = await self._offer(roster, owner, sequence, changes, start, endsAt)
            if reached:
                owner.rosterVersion = roster.version
                return True
            if owner.ended or not any(map(isMoving, errors.values())) or self.reactor.seconds() >= endsAt:
                return False
            await sleep(self.reactor, TERM_RENEW / 4)

    def _offer(self, roster, owner, sequence, changes, start, endsAt):
        offer, change = Offer(roster, endsAt), (roster.version, owner, sequence, changes, start)
        step = pack(
            idl.Step(
                slot=owner.slot,
                epoch=owner.epoch,
                sequence=sequence,
                entries=entriesOf(changes.items()),
                fromEpoch=start[0],
                fromSequence=start[1],
            )
        )
        for voter in self.voterAddresses().items():
            self._offerTo(voter, offer, change, step)
        return offer.outcome

    def _offerTo(self, voter, offer, change, step):
        nodeId, address = voter
        if nodeId not in self._batchers:
            self._batchers[nodeId] = StepBatcher(self._node.net, self.reactor, nodeId)
        self._batchers[nodeId].put((address, change[0]), step, partial(self._judged, voter, offer, change, step))

    def _judged(self, voter, offer, change, step, taken, error):
        if error is None and taken.taken:
            offer.settle(voter[0])
        elif taken is None and not isinstance(error, Unknown):
            self._refused(voter, offer, change, step, error)
        else:  # it lacks something, is not to be disturbed just now, or takes steps one by one only
            drive(
                self._giveChange(voter, *change, taken),
                lambda _, why: (
                    offer.settle(voter[0]) if why is None else self._refused(voter, offer, change, step, why)
                ),
            )

    def _refused(self, voter, offer, change, step, error):
        """A voter that is passing to this roster is asked again by itself: else all would wait for one that is dead."""
        if isMoving(error):
            self.reactor.callLater(TERM_RENEW / 4, self._offerAgain, voter, offer, change, step, error)
        else:
            offer.settle(voter[0], error)

    def _offerAgain(self, voter, offer, change, step, error):
        rosterVersion, owner = change[:2]
        if offer.outcome.called:
            return
        if rosterVersion != self._voter.roster.version:
            offer.giveUp(voter[0], error)  # under the next roster it is offered to all anew
        elif owner.ended or self.reactor.seconds() >= offer.endsAt:
            offer.settle(voter[0], error)
        else:
            self._offerTo(voter, offer, change, step)

    async def _giveChange(self, voter, rosterVersion, owner, sequence, changes, start, taken):
        """A voter that lacks something before the change gets the whole image. `start` names the image that a
        take-over begins with, by its epoch and sequence: who has it needs nothing more."""
        if taken is None or taken.again:
            taken = await self._accept(
                voter, rosterVersion, owner, sequence, changes.items(), fromEpoch=start[0], fromSequence=start[1]
            )
        if taken.needsImage:
            taken = await self._giveImage(voter, rosterVersion, owner, *owner.imageWith(sequence, changes))
        if not taken.taken:
            self._seenEpochs[owner.slot] = max(self._seenEpochs.get(owner.slot, 0), taken.promisedEpoch or 0)
            raise CannotTell("the voter has promised a later epoch")

    async def _giveImage(self, voter, rosterVersion, owner, sequence, entries):
        *parts, last = inParts(entries.items(), IMAGE_PART)
        for part, pairs in enumerate(parts):
            taken = await self._give("stage", voter, rosterVersion, owner, sequence, pairs, part=part)
            if not taken.taken:
                return taken
        return await self._accept(voter, rosterVersion, owner, sequence, last, whole=True, parts=len(parts))

    def _accept(self, voter, rosterVersion, owner, sequence, pairs, whole=False, **more):
        return self._give("accept", voter, rosterVersion, owner, sequence, pairs, whole=whole, **more)

    def _give(self, method, voter, rosterVersion, owner, sequence, pairs, **more):
        nodeId, address = voter
        return self._node.net.call(
            address,
            method,
            CALL_TIME,
            to=nodeId,
            slot=owner.slot,
            epoch=owner.epoch,
            owner=self._node.nodeId,
            rosterVersion=rosterVersion,
            sequence=sequence,
            entries=entriesOf(pairs),
            **more,
        )

    # --- terms ---

    async def _renew(self):
        """Starts one round of confirmations; the answers lengthen the terms as they come in, so that a slow
        voter holds up neither the others nor the next round."""
        now = self.reactor.seconds()
        for slot, owner in list(self.held.items()):
            if now > owner.termUntil + TERM:
                self.log.event("termLost", slot=slot, epoch=owner.epoch)
                owner.end()
        if any(owner.termUntil < now + TERM - TERM_FRESH for owner in self.held.values()):  # else pulls have done it
            self._confirm(dict(self.held))
        for owner in self.held.values():
            if owner.rosterVersion < self._voter.roster.version:
                owner.writeAgain()

    def begin_confirmation(self):
        """A round for all slots that are held, or None."""
        return ConfirmationRound(dict(self.held), self._voter.roster, self.reactor.seconds()) if self.held else None

    def _confirm(self, owners):
        if owners:
            asked = ConfirmationRound(owners, self._voter.roster, self.reactor.seconds())
            self.confirm_at(asked, asked.roster.everyone)

    def confirm_at(self, asked, voterIds):
        """Asks these voters by a call of its own each."""
        terms = [idl.SlotEpoch(slot=slot, epoch=owner.epoch) for slot, owner in asked.owners.items()]

        async def ask(nodeId, answer):
            asked.take(nodeId, {term.slot for term in await answer})

        for nodeId, answer in self._askVoters("confirm", voterIds, terms=terms).items():
            spawn(ask(nodeId, answer))

    # --- taking over ---

    def _liveRoster(self):
        members = self._node.members
        return [
            nodeId
            for nodeId, peer in self._voter.roster.named.items()
            if members.condition(nodeId) == LIVE and members.successorOf(nodeId, peer) is None
        ]

    async def _look(self):
        roster = self._voter.roster
        if roster is None:
            return
        if self._node.nodeId not in roster.everyone:
            self._sayParted(False)  # who has no vote needs no majority; while it says so, it would not be let in again
            for owner in list(self.held.values()):
                owner.end()
            return
        # Only who has answers from a majority may disturb an owner: one that is heard but hears nobody would
        # end every term with its prepares.
        answering = {
            nodeId for nodeId, address in self.voterAddresses().items() if self._node.puller.answersLately(address)
        }
        isParted = not roster.isQuorum(answering)
        self._sayParted(isParted)
        if isParted:
            return
        liveIds = self._liveRoster()
        for slot in range(SLOTS):
            if slot not in self.held and slot not in self._taking and self._isForMe(slot, liveIds):
                self._taking.add(slot)
                spawn(self._takeOver(slot, liveIds), self.log)

    def _sayParted(self, isParted):
        """A member that hears no majority says so, as far as it is still heard: slots are named for others at once,
        without a turn of its own that it could not use."""
        state, me = "parted" if isParted else "up", self._node.puller.me
        isNew = self.reactor.seconds() - self._startedAt < CONDITION_AGE
        if me.state not in (state, "leaving") and not (isParted and isNew):
            self._node.puller.describe(Member(**(vars(me) | {"state": state})))
            self.log.event("memberParted" if isParted else "memberRejoined")

    def _isForMe(self, slot, liveIds):
        """The slot is for the first live one named for it. If that one is seen to live, but the slot stays
        without an owner (a cut may part it from the voters only), the next ones step in, one after another; the
        first of them only after the one named first has had its own turn."""
        order = self._order(slot, tuple(liveIds))
        if self._node.nodeId not in order:
            return False
        place = order.index(self._node.nodeId)
        ownerless = min(self._node.board.age(f"{SLOT_SOURCE}{slot}"), self.reactor.seconds() - self._startedAt)
        late = ownerless - CONDITION_AGE - STEP_IN_TIME
        return place == (0 if late <= 0 else (1 + int(late / STEP_IN_TIME)) % len(order))

    def _order(self, slot, liveIds):
        if self._orders[0] != liveIds:
            self._orders = liveIds, [ranked(liveIds, f"slot{number}") for number in range(SLOTS)]
        return self._orders[1][slot]

    def believedOwner(self, slot):
        """(epoch, nodeId, address) of the slot's newest owner that this node has heard of, or None."""
        rows = self._node.board.values(f"{SLOT_SOURCE}{slot}")
        return tuple(json.loads(rows["owner"])) if "owner" in rows else None

    async def _takeOver(self, slot, liveIds):
        believed = self.believedOwner(slot)
        self.log.event(
            "takeOverBegins",
            slot=slot,
            after=believed[1] if believed else "nobody",
            live=len(liveIds),
            silent=round(min(self._node.board.age(f"{SLOT_SOURCE}{slot}"), FORGET_AGE), 2),
        )
        try:
            released = await self._askRelease(slot, liveIds)
            await self._prepareAndServe(slot, released)
        except OakError as error:
            self.log.event("takeOverFailed", slot=slot, reason=error.reason)
            await sleep(self.reactor, self._node.random.uniform(0.1, 0.5))
        finally:
            self._taking.discard(slot)

    async def _askRelease(self, slot, liveIds):
        believed = self.believedOwner(slot)
        if believed is None or believed[1] not in self._voter.roster.everyone or believed[1] == self._node.nodeId:
            return None
        if self._node.members.condition(believed[1]) not in (LIVE, "leaving"):
            return None
        try:
            return await self._node.net.call(believed[2], "release", RELEASE_TIME, slot=slot)
        except OakError as error:
            self.log.event("releaseUnanswered", slot=slot, owner=believed[1], reason=error.reason)
            return None

    async def _prepareAndServe(self, slot, releasedEpoch):
        believed = self.believedOwner(slot)
        epoch = (
            max(
                self._seenEpochs.get(slot, 0),
                believed[0] if believed else 0,
                releasedEpoch or 0,
                self._voter.promisedEpoch(slot),
            )
            + 1
        )
        self._seenEpochs[slot] = epoch
        former = FormerTerms(self.reactor, self._possible_holders())
        reached, answers = await quorumOf(
            {
                voter[0]: self._promised(voter, slot, epoch, self._voter.roster, former)
                for voter in self.voterAddresses().items()
            },
            self._voter.roster.isQuorum,
        )
        if not reached:
            raise CannotTell(
                f"no majority promised epoch {epoch}: {'; '.join(sorted(set(map(str, answers.values()))))}"
            )
        preparedAt = self.reactor.seconds()
        formerEpoch = max(promise.promisedEpoch for promise in answers.values())
        newest, start = max(
            ((nodeId, (promise.imageEpoch, promise.sequence)) for nodeId, promise in answers.items()),
            key=lambda row: (row[1], row[0] == self._node.nodeId),
        )
        entries = await self._fetchImage(newest, slot, epoch, answers[newest].entries)
        owner = SlotOwner(self, slot, epoch, entries, 0)
        if not await self.replicate(owner, 1, {}, start):
            raise CannotTell(f"the image of epoch {epoch} did not reach a majority")
        if formerEpoch and formerEpoch != releasedEpoch:
            unconfirmed = min(promise.unconfirmedMs or 0 for promise in answers.values()) / 1000
            await former.ended(preparedAt - unconfirmed + TERM)
        self._confirm({slot: owner})
        await within(self.reactor, TERM, owner.confirmed, CannotTell(f"epoch {epoch} was not confirmed"))
        owner.sequence = 1
        self.held[slot] = owner
        owner.serve()
        self.publish(owner, entries)
        self.log.event("slotTaken", slot=slot, epoch=epoch, entries=len(entries), released=releasedEpoch or "no")

    async def _fetchImage(self, nodeId, slot, epoch, given):
        """The image that this voter promised to keep as it is: given with the promise, or fetched in parts."""
        entries, more = SortedDict((entry.key, entry.value) for entry in given or []), given is None
        while more:
            part = await self._node.net.call(
                self.voterAddresses()[nodeId],
                "imagePart",
                CALL_TIME,
                to=nodeId,
                slot=slot,
                epoch=epoch,
                owner=self._node.nodeId,
                rosterVersion=self._voter.roster.version,
                after=entries.keys()[-1] if entries else "",
            )
            entries.update((entry.key, entry.value) for entry in part.entries or [])
            more = part.more
        return entries

    def _may_hold_term(self, slot, asker):
        """Whether this process has a term of the slot, or may come to one by a take-over that the asker's does not follow."""
        return slot in self.held or (slot in self._taking and asker != self._node.nodeId)

    def _possible_holders(self):
        """Who may hold a term: all of the roster, but those whose process has surely ended."""
        return [
            nodeId
            for nodeId, peer in self._voter.roster.everyone.items()
            if self._node.members.successorOf(nodeId, peer) is None
        ]

    async def _promised(self, voter, slot, epoch, roster, former):
        nodeId, address = voter
        endsAt = self.reactor.seconds() + CALL_TIME
        while True:
            try:
                promise = await self._node.net.call(
                    address,
                    "prepare",
                    endsAt - self.reactor.seconds(),
                    to=nodeId,
                    slot=slot,
                    epoch=epoch,
                    parts=True,
                    owner=self._node.nodeId,
                    rosterVersion=roster.version,
                )
                break
            except Fenced as error:
                if not isMoving(error) or roster.version != self._voter.roster.version:
                    raise
            await sleep(self.reactor, TERM_RENEW / 4)
        if not promise.granted:
            self._seenEpochs[slot] = max(self._seenEpochs.get(slot, 0), promise.promisedEpoch)
            raise CannotTell(f"epoch {promise.promisedEpoch} is promised already")
        if promise.termless:
            former.holds_none(nodeId)
        return promise

    async def _serveRelease(self, _peer, arguments):
        owner = self.held.get(arguments.slot)
        if owner is None:
            return None
        owner.end()
        self.log.event("slotReleased", slot=arguments.slot, epoch=owner.epoch)
        return owner.epoch

    # --- news ---

    def retract(self, owner):
        if self.held.get(owner.slot) is owner:
            del self.held[owner.slot]
        for source in owner.sources:
            self._node.board.retract(source)

    def publish(self, owner, changes):
        if owner.ended:
            return  # while the change was on its way: who speaks for a source takes no news of it from the next owner
        source = f"{SLOT_SOURCE}{owner.slot}"
        self._node.board.publish(source, lambda: self._vouch(owner))
        self._node.board.setItems(
            source,
            (owner.epoch << ROSTER_BITS) + owner.rosterVersion,
            {
                "owner": packJson([owner.epoch, self._node.nodeId, self._node.net.address]),
                "roster": packJson(owner.rosterVersion),
            },
        )
        view = View(owner.entries, None)
        for published in sorted({publishedBy(key) for key in changes} - {None}):
            owner.sources.add(published)
            controller = CONTROLLERS.find(published.partition("/")[0])
            version, values = controller.image(view, published)
            self._node.board.publish(published, lambda published=published: self._vouchFor(owner, published))
            self._node.board.setItems(published, version, values)

    def _vouch(self, owner):
        return self.reactor.seconds() if owner.holdsTerm() else None

    def _vouchFor(self, owner, published):
        """What hangs on a duty is only as new as the duty's last round."""
        at = self._vouch(owner)
        return at if at is None or published not in self.pollTimes else self.pollTimes[published]

    # --- calls ---

    async def _serveCall(self, _peer, arguments):
        return packJson(await self.call(arguments.key, arguments.command, json.loads(arguments.argumentsJson))).decode()

    async def call(self, key, command, arguments):
        slot = slotOfKey(key)
        owner = self.held.get(slot)
        if owner is None:
            believed = self.believedOwner(slot)
            raise NotOwner(f"slot {slot} is owned elsewhere", detail=believed and believed[2])
        return await owner.do(key, command, arguments)

    async def _sweep(self):
        """A page of each slot, as one command."""
        for owner in list(self.held.values()):
            if not owner.holdsTerm():
                continue
            try:
                failed = await owner.sweep()
            except OakError as error:
                self.log.event("sweepFailed", slot=owner.slot, reason=str(error))
                continue
            for key, error in failed:
                self.log.event("sweepFailed", slot=owner.slot, key=key, reason=str(error))


class Context:
    """What a command may look at besides entries: the owner's monotonic time, the members, the news that this
    node has, the deployment's bounds, and marks, which live only as long as this ownership: key -> time since which the
    key counts."""

    def __init__(self, now, members, marks, roster, board, bounds=None):
        self.now, self.members, self.marks, self.roster, self.board = now, members, marks, roster, board
        self.bounds = bounds or {}

    def ageOf(self, key):
        return self.now - self.marks.setdefault(key, self.now)

    def touch(self, key):
        self.marks[key] = self.now
