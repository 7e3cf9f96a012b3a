"""The task that pulls news from each cohort member, and the node's own row among the members."""

import json
from dataclasses import replace
from typing import NamedTuple

from oakramp.common.constants import (
    CONDITION_AGE,
    FORGET_AGE,
    GOSSIP_CONTROL_PEER_COUNT,
    HELD_UP,
    OTHER_PEERS_ROUNDS,
    PULL_PAUSE,
    PULL_TIME,
    UNCONFIRMED_AGE,
)
from oakramp.common.errors import OakrampError
from oakramp.common.tasks import Repeater, settled, sleep, spawn
from oakramp.gossip.version_exchange import ReceivedVector, SentVector
from oakramp.membership.members import LEAVING_STATE, Member
from oakramp.membership.rendezvous_hashing import ranked
from oakramp.rpc.codec import idl

NODE_SOURCE = "node/"


class LastAnswer(NamedTuple):
    """Who answered at an address last, when it had been asked (monotonic seconds), and how many seconds it took."""

    node_id: str
    asked_at: float
    took_s: float


def _call_all(callbacks):
    for callback in list(callbacks):
        callback()


class GossipClient:
    """`_pulling` names the addresses with a pull under way: never two to one address; `_silent` those whose last pull
    failed, with the time of the first that did (monotonic seconds): that is logged when it begins and when it ends."""

    def __init__(self, reactor, net, state_table, members, identity, me, seeds, random, log):
        self._reactor, self._net, self._state_table, self._members = reactor, net, state_table, members
        self._identity, self._me, self._seeds, self._random, self._log = identity, me, list(seeds), random, log
        self._source = f"{NODE_SOURCE}{me.node_id}/{me.boot}"
        self._version = 0
        self._more = {}  # further items of the node's own row
        self._pulling = set()
        self._silent = {}
        self._answers = {}  # address -> LastAnswer
        self._asked_at = {}  # nodeId -> when that node last asked this one (monotonic seconds)
        self.on_answer = set()  # called, in any order, when a node has answered
        self.on_contact = set()  # called, in any order, when a node answers or asks that had not done so lately
        self._sent_vectors = {}  # address -> what it was told, if it keeps that
        self._received_vectors = {}  # nodeId -> what this node was told
        self._rounds, self._round_at = 0, float("inf")  # when the last one began (monotonic seconds)
        self._repeater = None
        self._piggyback = self._voter = None
        state_table.publish(self._source, reactor.seconds)
        state_table.watch(NODE_SOURCE, self._note_member)
        self.describe(me)
        net.handle("pull", self._serve_pull)

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
        self._state_table.set_items(
            self._source, self._version, {"about": json.dumps(self._me.to_json()).encode()} | self._more
        )

    def carry_leases(self, piggyback):
        """`piggyback.begin_round()` is called before each round of pulls; `piggyback.renewal_for(address)` gives what
        goes with a pull to this address and who is told the answer's `confirmed`, or None."""
        self._piggyback = piggyback

    def confirm_leases(self, voter):
        """`voter(peer, leases)` gives the answer to terms that came with a member's pull."""
        self._voter = voter

    @property
    def me(self):
        """This node's own row among the members."""
        return self._me

    @property
    def source(self):
        """Under which this node's own row is published."""
        return self._source

    def _note_member(self, source):
        """Called when a node's row has moved. Its age is read from the table's state whenever it is asked for."""
        self._state_table.confirmed_at(source)  # this node's own row is confirmed by being looked at
        member = self._read_member(source)
        if member is not None:
            self._members.note(member, self._state_table.snapshots[source])

    def _read_member(self, source):
        about = self._state_table.values(source).get("about")
        if about is None:
            return None
        try:
            return Member.from_json(json.loads(about))
        except (ValueError, TypeError, KeyError) as error:
            self._log.warning("member_unreadable", source=source, error=repr(error))
            return None

    async def _serve_pull(self, peer, arguments):
        """Answers with what the puller lacks. Its own row counts as a sign of life from now on; that is good
        enough for its condition, and rows of nodes are all that is taken from a puller."""
        is_new_contact = not self.is_asked_by(peer.node_id)
        self._asked_at[peer.node_id] = self._reactor.seconds()
        update = self._update_for(peer, arguments)
        if is_new_contact:
            self._on_new_asker(peer)
        update.cluster_id = self._net.cluster_id
        if (
            arguments.leases is not None
            and self._voter is not None
            and update.cluster_id
            and peer.cluster_id == update.cluster_id
        ):
            update.confirmed = self._voter(peer, arguments.leases)
        return update

    def _on_new_asker(self, peer):
        """A control node that asks is there: it is asked in turn at once, whatever the last attempt to reach it met."""
        member = self._members.find(peer.node_id)
        if member is not None and peer.kind == self._me.kind == "control":
            self._net.forget_failure(member.peer)
            if member.peer not in self._pulling:
                spawn(self._pull_from(member.peer), self._log)
        _call_all(self.on_contact)

    def _update_for(self, peer, arguments):
        me, now = arguments.me, self._reactor.seconds()
        is_row = me is not None and me.source.startswith(f"{NODE_SOURCE}{peer.node_id}/") and bool(peer.cluster_id)
        if is_row:
            self._state_table.merge_snapshots([me], now)
        if not arguments.basis:
            return self._state_table.news_for(arguments.seen or [])
        if arguments.whole:
            received = self._received_vectors[peer.node_id] = ReceivedVector(arguments.basis)
        else:
            received = self._received_vectors.get(peer.node_id)
        if received is None or received.basis != arguments.basis:
            return idl.GossipUpdate(again=True)
        if is_row:
            received.own_source = me.source
        elif (
            me is None
            and peer.cluster_id
            and not (received.own_source and self._state_table.confirm(received.own_source, now))
        ):
            return idl.GossipUpdate(again=True)
        received.heard_at = now
        received.take(arguments.seen or [])
        return received.news_from(self._state_table)

    def start(self):
        """Starts the rounds of requests."""
        self._round_at = self._reactor.seconds()
        self._repeater = Repeater(self._reactor, PULL_PAUSE, self._round, self._log).start()

    def stop(self):
        """Ends the rounds of requests."""
        if self._repeater:
            self._repeater.stop()

    async def say_leaving(self):
        """Tells the others, before it stops, that this node is about to."""
        self.describe(replace(self._me, state=LEAVING_STATE))
        await sleep(self._reactor, 2 * PULL_PAUSE)

    def _tell_held_up(self):
        """Tells of a round that is late: a process that was frozen, or had no processor, answered nobody meanwhile."""
        now = self._reactor.seconds()
        late_s, self._round_at = now - self._round_at - PULL_PAUSE, now
        if late_s > HELD_UP:
            self._log.info("process_held_up", late_s=round(late_s, 3))

    async def _round(self):
        self._tell_held_up()
        self._refresh()
        self._rounds += 1
        addresses = self._peers_now()
        addresses |= self._entries_now(addresses)
        if self._piggyback is not None:
            self._piggyback.begin_round()
        for address in sorted(addresses - self._pulling):
            spawn(self._pull_from(address), self._log)

    def _entries_now(self, peers):
        """Addresses of seeds and of former control nodes to pull from in this round, beside these peers.

        One each few rounds heals what a partition has parted. Who has no peers yet asks one in each round, in an order
        of its own: each answer holds the rows of all nodes, and of hundreds that start at once every one would get it
        from every seed. Control nodes, which are few and wait for a majority, ask all.
        """
        others = sorted({*self._seeds, *self._identity.addresses} - peers - {self._me.peer})
        if not others or (peers and self._rounds % OTHER_PEERS_ROUNDS):
            return set()
        if peers:
            # In turn, so that each seed is asked often enough to tell whether it answers.
            return {others[self._rounds // OTHER_PEERS_ROUNDS % len(others)]}
        if self._me.kind == "control":
            return set(others)
        return {ranked(others, self._me.node_id)[self._rounds % len(others)]}

    def _peers_now(self):
        """Addresses of the peers to pull from in this round.

        What the control nodes publish comes from the control nodes among the peers (one, for other kinds of node), and
        so does what other nodes say. The other peers are there for when these fail. So each of those is asked now and
        then only, but all of them as long as a control node owes an answer, or something that was published has not
        been confirmed for a while.
        """
        peers = self._members.gossip_peers(self._me.kind)
        control = [member.peer for member in peers if member.kind == "control"]
        if self._me.kind != "control":
            control = control[:GOSSIP_CONTROL_PEER_COUNT]
        others = [member.peer for member in peers if member.peer not in control]
        is_unsure = not control or any(address in self._pulling or address in self._silent for address in control)
        if is_unsure or self._state_table.oldest_age(NODE_SOURCE) > UNCONFIRMED_AGE:
            return {*control, *others}
        if others and self._rounds % OTHER_PEERS_ROUNDS == 0:
            control.append(others[self._rounds // OTHER_PEERS_ROUNDS % len(others)])
        return set(control)

    def _refresh(self):
        self._state_table.confirmed_at(self._source)  # brings the age of its own row up to date
        forgotten = set(self._members.refresh())
        if forgotten:
            for source in [source for source in self._state_table.snapshots if source.rpartition("/")[2] in forgotten]:
                self._state_table.drop(source)
        old = self._reactor.seconds() - FORGET_AGE
        for node_id in [node_id for node_id, received in self._received_vectors.items() if received.heard_at < old]:
            del self._received_vectors[node_id]
        self._asked_at = {node_id: at for node_id, at in self._asked_at.items() if at >= old}
        if self._net.cluster_id and self._rounds % OTHER_PEERS_ROUNDS == 0:
            self._learn({member.peer for member in self._members.live("control")} or set(self._identity.addresses))

    def _learn(self, addresses):
        """Addresses are for the next start; a disk that does not take them must not stop the news."""
        try:
            self._identity.learn(addresses)
        except OSError as error:
            self._log.info("addresses_not_saved", error=repr(error))

    async def _pull_from(self, address):
        self._pulling.add(address)
        try:
            asked_at, update, seen = await self._ask(address)
            if update.cluster_id and not self._net.cluster_id and self._identity.founding is None:
                self._identity.join_cluster(update.cluster_id)
                self._net.join_cluster(update.cluster_id)
                self._log.info("cluster_joined", cluster_id=update.cluster_id, through=address)
            self._state_table.merge(update, seen, asked_at)
            self._note_answer(address, asked_at)
            silent_since = self._silent.pop(address, None)
            if silent_since is not None:
                silent_s = round(self._reactor.seconds() - silent_since, 3)
                self._log.info("gossip_peer_answered", address=address, silent_s=silent_s)
        except OakrampError as error:
            if address not in self._silent:
                self._silent[address] = self._reactor.seconds()
                self._log.warning("gossip_pull_failed", address=address, reason=error.reason)
        finally:
            self._pulling.discard(address)

    def _note_answer(self, address, asked_at):
        node_id = self._net.node_at(address)
        is_new_contact = not self.is_answered_by(node_id, address)
        self._answers[address] = LastAnswer(node_id, asked_at, self._reactor.seconds() - asked_at)
        if is_new_contact:
            _call_all(self.on_contact)
        _call_all(self.on_answer)

    async def _ask(self, address):
        """(when it was asked, the answer, the vector that it speaks of)."""
        while True:
            # Put back once it has answered: what was lost on the way is not known.
            sent = self._sent_vectors.pop(address, None)
            is_complete = sent is None or not sent.is_usable()
            if is_complete:
                sent = SentVector(self._state_table, self._random.getrandbits(62) + 1)
            me = None if sent.own_version == self._version else self._state_table.full_snapshot(self._source)
            sent.own_version, moved = self._version, sent.take()
            asked_at = self._reactor.seconds()
            ride = self._piggyback and self._piggyback.renewal_for(address)
            leases, confirmed = ride or (None, None)
            update = await self._net.call(
                address, "pull", PULL_TIME, seen=moved, me=me, basis=sent.basis, whole=is_complete, leases=leases
            )
            if ride is not None and update.confirmed is not None:
                confirmed(update.confirmed)
            if update.again and not is_complete:
                continue
            if update.basis == sent.basis:
                self._sent_vectors[address] = sent
            return asked_at, update, sent.seen

    def answers_lately(self, address, lately=CONDITION_AGE):
        """Whether this address has itself answered; what others say of it does not count."""
        answer = self._answers.get(address)
        return address == self._me.peer or self._is_within(answer and answer.asked_at, lately)

    def last_answer_took(self, address):
        """Seconds that the last answer from this address took; 0 if it has never answered."""
        answer = self._answers.get(address)
        return 0.0 if answer is None else answer.took_s

    def is_answered_by(self, node_id, address, lately=CONDITION_AGE):
        """Whether this very node has itself answered at the address: after a lost disk another one is there."""
        if node_id == self._me.node_id:
            return True
        answer = self._answers.get(address)
        return answer is not None and answer.node_id == node_id and self._is_within(answer.asked_at, lately)

    def is_asked_by(self, node_id, lately=CONDITION_AGE):
        """Whether this node has asked for what is published here, and so reaches this one."""
        return node_id == self._me.node_id or self._is_within(self._asked_at.get(node_id), lately)

    def _is_within(self, at, seconds):
        """Whether this time (monotonic seconds; None: never) is less than so long ago."""
        return at is not None and self._reactor.seconds() - at < seconds

    def take_seeds(self, seeds):
        """Asks these addresses from now on where no member is known."""
        self._seeds = list(seeds)

    async def pull_now(self):
        """One pull from every cohort member, and from a control node beside them, for a request that waits for fresh
        news: what an owner has just published is two hops away by the ordinary ways."""
        gossip_peers = {member.peer for member in self._members.gossip_peers(self._me.kind)}
        control = {member.peer for member in self._members.live("control")} - gossip_peers - {self._me.peer}
        addresses = gossip_peers | ({self._random.choice(sorted(control))} if control else set())
        await settled([self._pull_from(address) for address in sorted(addresses - self._pulling)])
