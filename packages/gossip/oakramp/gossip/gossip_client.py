"""The periodic task that pulls replicated state from gossip peers, and publishes this node's own member row."""

import json
from dataclasses import replace
from typing import NamedTuple

from oakramp.common.constants import (
    FORGET_AGE,
    GOSSIP_CONTROL_PEER_COUNT,
    GOSSIP_DELAY_LOGGED,
    LIVENESS_AGE,
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


class LastReply(NamedTuple):
    """The node that last replied at an address, when it had been asked (monotonic seconds), and the seconds it took."""

    node_id: str
    asked_at: float
    took_s: float


def _call_all(callbacks):
    for callback in list(callbacks):
        callback()


class GossipClient:
    """Pulls replicated state from peers, serves their pulls and publishes this node's own row.

    `_pulling` holds the addresses with a pull in progress: at most one for each address. `_silent` maps the addresses
    whose last pull failed to the time of the first failure in a row (monotonic seconds); the first failure and the next
    success are logged."""

    def __init__(self, reactor, net, state_table, members, identity, me, seeds, random, log):
        self._reactor, self._net, self._state_table, self._members = reactor, net, state_table, members
        self._identity, self._me, self._seeds, self._random, self._log = identity, me, list(seeds), random, log
        self._source = f"{NODE_SOURCE}{me.node_id}/{me.boot}"
        self._version = 0
        self._extra_items = {}  # further items published beside the node's own row
        self._pulling = set()
        self._silent = {}
        self._replies = {}  # address -> LastReply
        self._pulled_at = {}  # node id -> when that node last pulled from this one (monotonic seconds)
        self.on_reply = set()  # called, in any order, when a node has replied
        self.on_contact = (
            set()
        )  # called, in any order, when a node replies or pulls that had not done so within LIVENESS_AGE
        self._sent_vectors = {}  # address -> the vector that was sent there, if the peer has stored it
        self._received_vectors = {}  # node id -> the vector received from that node
        self._rounds, self._round_at = 0, float("inf")  # when the last round started (monotonic seconds)
        self._repeater = None
        self._piggyback = self._voter = None
        state_table.publish(self._source, reactor.seconds)
        state_table.watch(NODE_SOURCE, self._update_member)
        self.describe(me)
        net.handle("pull", self._serve_pull)

    def describe(self, member):
        """Publishes this node's own row."""
        self._me = member
        self._publish()

    def publish_item(self, name, value):
        """Publishes an item (bytes) beside this node's own row, or removes it (None)."""
        self._extra_items = {key: kept for key, kept in (self._extra_items | {name: value}).items() if kept is not None}
        self._publish()

    def _publish(self):
        self._version += 1
        self._state_table.set_items(
            self._source, self._version, {"about": json.dumps(self._me.to_json()).encode()} | self._extra_items
        )

    def set_lease_piggyback(self, piggyback):
        """Sends lease renewals along with pulls.

        `piggyback.begin_round()` is called before each round of pulls. `piggyback.renewal_for(address)` returns the
        renewal to send with a pull to this address and the callback that gets `confirmed` from the reply, or None."""
        self._piggyback = piggyback

    def set_lease_voter(self, voter):
        """Sets the handler of lease renewals that arrive with a member's pull; `voter(peer, leases)` returns the value
        of `confirmed` for the reply."""
        self._voter = voter

    @property
    def me(self):
        """This node's own row among the members."""
        return self._me

    @property
    def source(self):
        """The source under which this node's own row is published."""
        return self._source

    def _update_member(self, source):
        """Called when a node's row has changed. Its age is read from the state table whenever it is needed."""
        self._state_table.confirmed_at(source)  # reading it updates `confirmed_at` of this node's own row
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
        """Replies with what the puller lacks.

        The puller's own row counts as a heartbeat received now. That is precise enough for its condition, and a node's
        own row is all that is accepted from a puller."""
        is_new_contact = not self.was_pulled_by(peer.node_id)
        self._pulled_at[peer.node_id] = self._reactor.seconds()
        update = self._update_for(peer, arguments)
        if is_new_contact:
            self._on_new_puller(peer)
        update.cluster_id = self._net.cluster_id
        if (
            arguments.leases is not None
            and self._voter is not None
            and update.cluster_id
            and peer.cluster_id == update.cluster_id
        ):
            update.confirmed = self._voter(peer, arguments.leases)
        return update

    def _on_new_puller(self, peer):
        """A control node that pulls is up: it is pulled from at once, even after a failed attempt."""
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
            return self._state_table.update_for(arguments.seen or [])
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
        received.last_pull_at = now
        received.merge_changes(arguments.seen or [])
        return received.update_from(self._state_table)

    def start(self):
        """Starts the periodic rounds of pulls."""
        self._round_at = self._reactor.seconds()
        self._repeater = Repeater(self._reactor, PULL_PAUSE, self._round, self._log).start()

    def stop(self):
        """Stops the periodic rounds of pulls."""
        if self._repeater:
            self._repeater.stop()

    async def announce_leaving(self):
        """Publishes that this node is about to stop, and waits two pull intervals so that peers see it."""
        self.describe(replace(self._me, state=LEAVING_STATE))
        await sleep(self._reactor, 2 * PULL_PAUSE)

    def _log_late_round(self):
        """Logs a round that started late: a process that was frozen, or got no CPU time, served no peer."""
        now = self._reactor.seconds()
        late_s, self._round_at = now - self._round_at - PULL_PAUSE, now
        if late_s > GOSSIP_DELAY_LOGGED:
            self._log.info("process_held_up", late_s=round(late_s, 3))

    async def _round(self):
        self._log_late_round()
        self._refresh()
        self._rounds += 1
        addresses = self._peers_to_pull()
        addresses |= self._seeds_to_pull(addresses)
        if self._piggyback is not None:
            self._piggyback.begin_round()
        for address in sorted(addresses - self._pulling):
            spawn(self._pull_from(address), self._log)

    def _seeds_to_pull(self, peers):
        """Addresses of seeds and of former control nodes to pull from in this round, besides these peers.

        One every OTHER_PEERS_ROUNDS rounds reconnects the two sides of a partition. A node without peers pulls from one
        in each round, in an order of its own: each reply holds the rows of all nodes, and if hundreds of nodes start at
        once, each of them would otherwise fetch it from every seed. Control nodes, which are few and wait for a
        majority, pull from all.
        """
        others = sorted({*self._seeds, *self._identity.addresses} - peers - {self._me.peer})
        if not others or (peers and self._rounds % OTHER_PEERS_ROUNDS):
            return set()
        if peers:
            # Round-robin, so that each seed is pulled from often enough to know whether it replies.
            return {others[self._rounds // OTHER_PEERS_ROUNDS % len(others)]}
        if self._me.kind == "control":
            return set(others)
        return {ranked(others, self._me.node_id)[self._rounds % len(others)]}

    def _peers_to_pull(self):
        """Addresses of the peers to pull from in this round.

        State published by control nodes comes from the control nodes among the peers (one of them, for other kinds of
        node), and so does state published by other nodes. The remaining peers are a fallback: one of them is pulled
        from every OTHER_PEERS_ROUNDS rounds, but all of them while a control node has not replied, or while a published
        source has not been confirmed for more than UNCONFIRMED_AGE seconds.
        """
        peers = self._members.gossip_peers(self._me.kind)
        control = [member.peer for member in peers if member.kind == "control"]
        if self._me.kind != "control":
            control = control[:GOSSIP_CONTROL_PEER_COUNT]
        others = [member.peer for member in peers if member.peer not in control]
        asks_all = not control or any(address in self._pulling or address in self._silent for address in control)
        if asks_all or self._state_table.oldest_age(NODE_SOURCE) > UNCONFIRMED_AGE:
            return {*control, *others}
        if others and self._rounds % OTHER_PEERS_ROUNDS == 0:
            control.append(others[self._rounds // OTHER_PEERS_ROUNDS % len(others)])
        return set(control)

    def _refresh(self):
        self._state_table.confirmed_at(self._source)  # updates the age of this node's own row
        forgotten = set(self._members.refresh())
        if forgotten:
            for source in [source for source in self._state_table.snapshots if source.rpartition("/")[2] in forgotten]:
                self._state_table.drop(source)
        old = self._reactor.seconds() - FORGET_AGE
        for node_id in [node_id for node_id, received in self._received_vectors.items() if received.last_pull_at < old]:
            del self._received_vectors[node_id]
        self._pulled_at = {node_id: at for node_id, at in self._pulled_at.items() if at >= old}
        if self._net.cluster_id and self._rounds % OTHER_PEERS_ROUNDS == 0:
            self._learn({member.peer for member in self._members.live("control")} or set(self._identity.addresses))

    def _learn(self, addresses):
        """Saves addresses for the next start. Gossip continues if the disk refuses the write."""
        try:
            self._identity.learn(addresses)
        except OSError as error:
            self._log.info("addresses_not_saved", error=repr(error))

    async def _pull_from(self, address):
        self._pulling.add(address)
        try:
            asked_at, update, seen = await self._pull_update(address)
            if update.cluster_id and not self._net.cluster_id and self._identity.founding is None:
                self._identity.join_cluster(update.cluster_id)
                self._net.join_cluster(update.cluster_id)
                self._log.info("cluster_joined", cluster_id=update.cluster_id, through=address)
            self._state_table.merge(update, seen, asked_at)
            self._note_reply(address, asked_at)
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

    def _note_reply(self, address, asked_at):
        node_id = self._net.node_at(address)
        is_new_contact = not self.has_replied_as(node_id, address)
        self._replies[address] = LastReply(node_id, asked_at, self._reactor.seconds() - asked_at)
        if is_new_contact:
            _call_all(self.on_contact)
        _call_all(self.on_reply)

    async def _pull_update(self, address):
        """(time of the request, the reply, the vector that the reply refers to)."""
        while True:
            # Stored again once the peer has replied: after a failure it is unknown what the peer received.
            sent = self._sent_vectors.pop(address, None)
            is_complete = sent is None or not sent.is_usable()
            if is_complete:
                sent = SentVector(self._state_table, self._random.getrandbits(62) + 1)
            me = None if sent.own_version == self._version else self._state_table.full_snapshot(self._source)
            sent.own_version, moved = self._version, sent.take_changes()
            asked_at = self._reactor.seconds()
            renewal = self._piggyback and self._piggyback.renewal_for(address)
            leases, confirmed = renewal or (None, None)
            update = await self._net.call(
                address, "pull", PULL_TIME, seen=moved, me=me, basis=sent.basis, whole=is_complete, leases=leases
            )
            if renewal is not None and update.confirmed is not None:
                confirmed(update.confirmed)
            if update.again and not is_complete:
                continue
            if update.basis == sent.basis:
                self._sent_vectors[address] = sent
            return asked_at, update, sent.seen

    def has_replied_recently(self, address, within_s=LIVENESS_AGE):
        """Whether this address itself has replied to a pull lately; ages reported by other nodes do not count."""
        answer = self._replies.get(address)
        return address == self._me.peer or self._is_within(answer and answer.asked_at, within_s)

    def last_reply_time(self, address):
        """Seconds that the last reply from this address took; 0 if it has never replied."""
        answer = self._replies.get(address)
        return 0.0 if answer is None else answer.took_s

    def has_replied_as(self, node_id, address, within_s=LIVENESS_AGE):
        """Whether this node itself replied at the address: after a disk loss, another node listens there."""
        if node_id == self._me.node_id:
            return True
        answer = self._replies.get(address)
        return answer is not None and answer.node_id == node_id and self._is_within(answer.asked_at, within_s)

    def was_pulled_by(self, node_id, within_s=LIVENESS_AGE):
        """Whether this node has pulled from here within so many seconds, and therefore reaches this one."""
        return node_id == self._me.node_id or self._is_within(self._pulled_at.get(node_id), within_s)

    def _is_within(self, at, seconds):
        """Whether this time (monotonic seconds; None: never) is less than so many seconds ago."""
        return at is not None and self._reactor.seconds() - at < seconds

    def set_seeds(self, seeds):
        """Replaces the seed addresses."""
        self._seeds = list(seeds)

    async def pull_now(self):
        """Pulls once from every gossip peer, and from one more control node, for a request that waits for current
        state: by the regular rounds, what a shard leader has just published is two hops away."""
        gossip_peers = {member.peer for member in self._members.gossip_peers(self._me.kind)}
        control = {member.peer for member in self._members.live("control")} - gossip_peers - {self._me.peer}
        addresses = gossip_peers | ({self._random.choice(sorted(control))} if control else set())
        await settled([self._pull_from(address) for address in sorted(addresses - self._pulling)])
