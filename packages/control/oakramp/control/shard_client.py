"""Asking the leader of a key, from any node. Every command may be asked again: it carries its own id."""

import json

from twisted.internet.defer import CancelledError

from oakramp.common.constants import (
    LEASE,
    MAJORITY_DOUBT,
    MAJORITY_WAIT,
    MAJORITY_WAIT_MOST,
    OPERATOR_RETRY,
    OPERATOR_SLOW,
    OWNER_TRIES_PAUSE,
    OWNER_TRY_TIME,
    SETTLE_TIME,
)
from oakramp.common.errors import (
    NotShardLeaderError,
    OakrampError,
    OutcomeUnknownError,
    QuorumUnavailableError,
    Verdict,
)
from oakramp.common.tasks import begin, shielded, sleep, spawn
from oakramp.common.validation import pack_json
from oakramp.control.call_trail import ANSWERED, CallTrail
from oakramp.control.controllers import SHARD_SOURCE
from oakramp.control.leader_changes import LeaderChangeWatch
from oakramp.control.quorum_contact import majority_answers
from oakramp.control.shards import shard_of_key

# Codes of errors that say nothing of the key: no answer came, or it came from who is no leader.
NO_OWNERS_WORD = frozenset(["noAnswer", "unreachable", "overloaded", "timeSpent", "noMethod", "fenced"])


class ShardClient:
    """`is_silent(address)` says whether this node knows already that a leader at this address does not answer it."""

    def __init__(self, node, is_silent=lambda _address: False):
        self._node, self._is_silent = node, is_silent
        self._moves = LeaderChangeWatch(node, self._believed)

    def _believed(self, shard):
        rows = self._node.state_table.values(f"{SHARD_SOURCE}{shard}")
        return json.loads(rows["owner"])[2] if "owner" in rows else None

    def _any_control(self, tried):
        addresses = sorted({member.peer for member in self._node.members.live("control")} - tried)
        return self._node.random.choice(addresses) if addresses else None

    def _successor(self, shard, address, tried):
        """Who owns the shard by the newest news, if that is not who was just asked nor who was tried before; else None."""
        believed = self._believed(shard)
        return None if believed in tried | {address} else believed

    async def call_until_done(self, key, command, arguments):
        """The same for a command that must come through, as long as this process lives: its copies do no harm."""
        while True:
            try:
                return await self.call(key, command, arguments, SETTLE_TIME)
            except (OutcomeUnknownError, QuorumUnavailableError) as error:
                self._node.log.warning("command_outcome_late", key=key, command=command, reason=error.reason)

    async def _answer_of(self, shard, address, call, trail):
        """The answer to a call that has left for this address, entered in the trail."""
        asked_at = self._node.reactor.seconds()
        try:
            answer = await self._moves.answer_unless_leader_changes(shard, address, call)
        except OakrampError as error:
            trail.note(address, asked_at, error.code)
            raise
        trail.note(address, asked_at, ANSWERED)
        return json.loads(answer)

    async def call(self, key, command, arguments, time_left, trail=None):
        """The leader's answer. Raises what the leader said, if it was asked once; OutcomeUnknownError if an ask left
        and its outcome is not known; QuorumUnavailableError if no leader could be asked at all. Who is asked is entered
        in the trail."""
        trail = trail or CallTrail(self._node.reactor)
        reactor, shard = self._node.reactor, shard_of_key(key)
        ends_at = reactor.seconds() + time_left
        text, unsure, hint, tried, silent_until = pack_json(arguments).decode(), None, None, set(), {}
        believed = None
        while reactor.seconds() < ends_at:
            if believed != (believed := self._believed(shard)):
                tried.discard(believed)  # it was no leader when it was tried
            address = hint or believed
            # One that did not answer may have ended: for a while whoever takes its shards over is asked instead.
            silent = {one for one, until in silent_until.items() if reactor.seconds() < until}
            if address is not None and self._is_silent(address):
                silent.add(address)
            onward = bool(silent)  # it may be silent to this node only
            if address is None or address in tried | silent:
                address = self._any_control(tried | silent) or self._any_control(tried)
            hint = None
            if address is not None:
                tried.add(address)
                try:
                    call = self._node.net.call(
                        address,
                        "ownerCall",
                        min(OWNER_TRY_TIME, ends_at - reactor.seconds()),
                        key=key,
                        command=command,
                        arguments_json=text,
                        onward=onward,
                    )
                    return await self._answer_of(shard, address, call, trail)
                except NotShardLeaderError as error:
                    hint = error.detail if error.detail not in tried | silent else None
                except OakrampError as error:
                    if error.code not in NO_OWNERS_WORD:
                        # What an earlier ask did, or may still do, is not unsaid by the answer to a later one.
                        raise (
                            error
                            if unsure is None
                            else OutcomeUnknownError(f"an earlier try may have come through; now: {error.reason}")
                        ) from None
                    if error.verdict is not Verdict.NO:
                        unsure = error
                        silent_until[address] = reactor.seconds() + LEASE
                        hint = self._successor(shard, address, tried)
            if hint is None:
                await sleep(reactor, OWNER_TRIES_PAUSE)
                if address is None or len(tried) > 2:
                    tried = set()
        if unsure is not None:
            raise OutcomeUnknownError(f"the owner of {key} did not say what became of {command}")
        raise QuorumUnavailableError(f"no owner of {key} could be asked in time", retry_after=1)


class MajorityClient:
    """Asks leaders for an operator. While a majority of the voting configuration answers this node, an order may take
    its time, as during a failover; as soon as none does, it ends with OutcomeUnknownError: what has left may still come
    through."""

    def __init__(self, node, voter, leaders, client):
        self._node, self._voter, self._owners, self._client = node, voter, leaders, client

    async def call(self, key, command, arguments, time_left):
        """Runs a command at the key's leader within `time_left` seconds, for an operator. Raises
        QuorumUnavailableError as soon as this node is known to reach no majority."""
        trail = CallTrail(self._node.reactor)
        asking = begin(self._client.call(key, command, arguments, time_left, trail))
        waiting = shielded(asking)  # what is under way shares connections with other calls and ends by itself
        asking.addErrback(lambda _: None)
        asking.addCallback(lambda _: self._tell_slow(key, command, trail))
        doubting = spawn(self._end_without_majority(waiting), self._node.log)
        try:
            return await waiting
        except CancelledError:
            self._node.log.info("quorum_unavailable", key=key, command=command)
            raise OutcomeUnknownError(
                "this node reaches no majority of the roster", retry_after=OPERATOR_RETRY
            ) from None
        finally:
            doubting.cancel()

    def _tell_slow(self, key, command, trail):
        """Tells of a command that took long, also if its operator was answered before."""
        if trail.seconds >= OPERATOR_SLOW:
            self._node.log.info(
                "operator_command_slow", key=key, command=command, took_s=round(trail.seconds, 3), asked=str(trail)
            )

    async def _end_without_majority(self, waiting):
        pause = MAJORITY_DOUBT
        while True:
            await sleep(self._node.reactor, pause)
            if not await self._reaches_majority():
                waiting.cancel()
                return
            pause = MAJORITY_WAIT

    async def _reaches_majority(self):
        voting_config = self._voter.voting_config
        if voting_config is None:
            return False
        addresses = self._owners.voter_addresses()
        return await majority_answers(self._node, addresses, voting_config, wait_s=self._majority_wait(addresses))

    def _majority_wait(self, voter_addresses):
        """Seconds until who has not answered counts as out of reach: twice what a majority took to answer its last
        gossip requests. Refused for answers that are only late, an order would get none at any node."""
        took = sorted(self._node.gossip_client.last_answer_took(address) for address in voter_addresses.values())
        return min(MAJORITY_WAIT_MOST, max(MAJORITY_WAIT, 2 * took[len(took) // 2]))
