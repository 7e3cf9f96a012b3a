"""The task that pulls news from each cohort member, and the node's own row among the members."""

import json

from oakbase.constants import CONDITION_AGE, FORGET_AGE, PULL_PAUSE, PULL_TIME
from oakbase.tasks import Repeater, settled, sleep, spawn
from oakbase.verdict import OakError
from oakcohort.members import Member
from oaknews.exchange import Heard, Told
from oakwire.codec import idl

NODE_SOURCE = "node/"


class Puller:
    """`_pulling` names the addresses with a pull under way: never two to one address; `_silent` those whose last pull
    failed: that is told when it begins and when it ends."""

    def __init__(self, reactor, net, board, members, identity, me, seeds, random, log):
        self._reactor, self._net, self._board, self._members = reactor, net, board, members
        self._identity, self._me, self._seeds, self._random, self._log = identity, me, list(seeds), random, log
        self._source = f"{NODE_SOURCE}{me.nodeId}/{me.boot}"
        self._version = 0
        self._more = {}  # further items of the node's own row
        self._pulling = set()
        self._silent = set()
        self._answeredAt = {}
        self._told = {}  # address -> what it was told, if it keeps that
        self._heard = {}  # nodeId -> what this node was told
        self._noted = {}  # source -> (version, member)
        self._rounds = 0
        self._repeater = None
        self._rider = self._voter = None
        board.publish(self._source, reactor.seconds)
        board.watch(NODE_SOURCE, self._noteMember)
        self.describe(me)
        net.handle("pull", self._servePull)

    def describe(self, member):
        """Publishes this node's own row."""
        self._me = member
        self._publish()

    def tell(self, name, value):
        """Publishes an item (bytes) beside this node's own row, or takes it back (None)."""
        self._more = {key: kept for key, kept in (self._more | {name: value}).items() if kept is not None}
        self._publish()

    def _publish(self):
        self._version += 1
        self._board.setItems(self._source, self._version, {"about": json.dumps(vars(self._me)).encode()} | self._more)

    def carry_terms(self, rider):
        """`rider.begin_round()` is called before each round of pulls; `rider.ride(address)` gives what goes with a pull to
        this address and who is told the answer's `confirmed`, or None."""
        self._rider = rider

    def confirm_terms(self, voter):
        """`voter(peer, terms)` gives the answer to terms that came with a member's pull."""
        self._voter = voter

    @property
    def me(self):
        return self._me

    @property
    def source(self):
        """Under which this node's own row is published."""
        return self._source

    def _noteMember(self, source):
        image = self._board.images.get(source)
        known = self._noted.get(source)
        if known is None or known[0] != image.version:
            known = self._noted[source] = image.version, self._readMember(source)
        if known[1] is not None:
            self._members.note(known[1], self._board.confirmedAt(source))

    def _readMember(self, source):
        about = self._board.values(source).get("about")
        if about is None:
            return None
        try:
            return Member.fromJson(json.loads(about))
        except (ValueError, TypeError, KeyError) as error:
            self._log.event("memberUnreadable", source=source, error=repr(error))
            return None

    async def _servePull(self, peer, arguments):
        """Answers with what the puller lacks. Its own row counts as a sign of life from now on; that is good
        enough for its condition, and rows of nodes are all that is taken from a puller."""
        news = self._newsFor(peer, arguments)
        news.clusterId = self._net.clusterId
        if (
            arguments.terms is not None
            and self._voter is not None
            and news.clusterId
            and peer.clusterId == news.clusterId
        ):
            news.confirmed = self._voter(peer, arguments.terms)
        return news

    def _newsFor(self, peer, arguments):
        me, now = arguments.me, self._reactor.seconds()
        isRow = me is not None and me.source.startswith(f"{NODE_SOURCE}{peer.nodeId}/") and bool(peer.clusterId)
        if isRow:
            self._board.mergeImages([me], now)
        if not arguments.basis:
            return self._board.newsFor(arguments.seen or [])
        if arguments.whole:
            heard = self._heard[peer.nodeId] = Heard(arguments.basis)
        else:
            heard = self._heard.get(peer.nodeId)
        if heard is None or heard.basis != arguments.basis:
            return idl.News(again=True)
        if isRow:
            heard.ownSource = me.source
        elif me is None and peer.clusterId and not (heard.ownSource and self._board.confirm(heard.ownSource, now)):
            return idl.News(again=True)
        heard.heardAt = now
        heard.take(arguments.seen or [])
        return heard.newsFrom(self._board)

    def start(self):
        self._repeater = Repeater(self._reactor, PULL_PAUSE, self._round, self._log).start()

    def stop(self):
        if self._repeater:
            self._repeater.stop()

    async def sayLeaving(self):
        """Tells the others, before it stops, that this node is about to."""
        self.describe(Member(**(vars(self._me) | {"state": "leaving"})))
        await sleep(self._reactor, 2 * PULL_PAUSE)

    async def _round(self):
        self._refresh()
        self._rounds += 1
        addresses = {member.peer for member in self._members.cohort(self._me.kind)}
        # One more place each few rounds: it joins a new node and heals what a cut has parted.
        others = [
            address for address in {*self._seeds, *self._identity.addresses} - addresses if address != self._me.peer
        ]
        if others and (not addresses or self._rounds % 5 == 0):
            # In turn, so that each seed is asked often enough to tell whether it answers.
            addresses |= set(others) if not addresses else {sorted(others)[self._rounds // 5 % len(others)]}
        if self._rider is not None:
            self._rider.begin_round()
        for address in sorted(addresses - self._pulling):
            spawn(self._pullFrom(address), self._log)

    def _refresh(self):
        for source in list(self._board.images):
            if source.startswith(NODE_SOURCE):
                self._noteMember(source)
        forgotten = set(self._members.forgetOld())
        for source in [source for source in self._board.images if source.rpartition("/")[2] in forgotten]:
            self._board.drop(source)
            self._noted.pop(source, None)
        old = self._reactor.seconds() - FORGET_AGE
        for nodeId in [nodeId for nodeId, heard in self._heard.items() if heard.heardAt < old]:
            del self._heard[nodeId]
        if self._net.clusterId:
            self._learn({member.peer for member in self._members.live("control")} or set(self._identity.addresses))

    def _learn(self, addresses):
        """Addresses are for the next start; a disk that does not take them must not stop the news."""
        try:
            self._identity.learn(addresses)
        except OSError as error:
            self._log.event("addressesNotKept", error=repr(error))

    async def _pullFrom(self, address):
        self._pulling.add(address)
        try:
            askedAt, news, seen = await self._ask(address)
            if news.clusterId and not self._net.clusterId and self._identity.founding is None:
                self._identity.joinCluster(news.clusterId)
                self._net.joinCluster(news.clusterId)
                self._log.event("joinedCluster", clusterId=news.clusterId, through=address)
            self._board.merge(news, seen, askedAt)
            self._answeredAt[address] = askedAt
            if address in self._silent:
                self._silent.discard(address)
                self._log.event("pullAnswered", address=address)
        except OakError as error:
            if address not in self._silent:
                self._silent.add(address)
                self._log.event("pullFailed", address=address, reason=error.reason)
        finally:
            self._pulling.discard(address)

    async def _ask(self, address):
        """(when it was asked, the answer, the vector that it speaks of)."""
        while True:
            told = self._told.pop(address, None)  # put back once it has answered: what was lost on the way is not known
            isWhole = told is None or not told.isUsable()
            if isWhole:
                told = Told(self._board, self._random.getrandbits(62) + 1)
            me = None if told.ownVersion == self._version else self._board.wholeImage(self._source)
            told.ownVersion, moved = self._version, told.take()
            askedAt = self._reactor.seconds()
            ride = self._rider and self._rider.ride(address)
            terms, confirmed = ride or (None, None)
            news = await self._net.call(
                address, "pull", PULL_TIME, seen=moved, me=me, basis=told.basis, whole=isWhole, terms=terms
            )
            if ride is not None and news.confirmed is not None:
                confirmed(news.confirmed)
            if news.again and not isWhole:
                continue
            if news.basis == told.basis:
                self._told[address] = told
            return askedAt, news, told.seen

    def answersLately(self, address, lately=CONDITION_AGE):
        """Whether this address has itself answered; what others say of it does not count."""
        return (
            address == self._me.peer or self._reactor.seconds() - self._answeredAt.get(address, float("-inf")) < lately
        )

    def take_seeds(self, seeds):
        self._seeds = list(seeds)

    async def pullNow(self):
        """One pull from every cohort member, and from a control node beside them, for a request that waits for fresh news:
        what an owner has just published is two hops away by the ordinary ways."""
        cohort = {member.peer for member in self._members.cohort(self._me.kind)}
        control = {member.peer for member in self._members.live("control")} - cohort - {self._me.peer}
        addresses = cohort | ({self._random.choice(sorted(control))} if control else set())
        await settled([self._pullFrom(address) for address in sorted(addresses - self._pulling)])
