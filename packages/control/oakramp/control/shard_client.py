"""Calls to the leader of a key, from any node. Every command may be repeated, because it carries its own id."""

import json

from twisted.internet.defer import CancelledError

from oakramp.common.constants import (
    LEADER_CALL_TIME,
    LEADER_RETRY_PAUSE,
    LEASE,
    MAJORITY_CHECK_DELAY,
    MAJORITY_CHECK_TIME,
    MAJORITY_CHECK_TIME_MAX,
    OPERATOR_RETRY,
    OPERATOR_SLOW,
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

# Codes of errors that say nothing about the key: there was no answer, or it came from a node that is not its leader.
NOT_FROM_LEADER_CODES = frozenset(["noAnswer", "unreachable", "overloaded", "timeSpent", "noMethod", "fenced"])


class ShardClient:
    """Calls leaders. `is_silent(address)` tells whether this node already knows that the node at this address does not
    answer it."""

    def __init__(self, node, is_silent=lambda _address: False):
        self._node, self._is_silent = node, is_silent
        self._moves = LeaderChangeWatch(node, self._believed)

    def _believed(self, shard):
        rows = self._node.state_table.values(f"{SHARD_SOURCE}{shard}")
        return json.loads(rows["owner"])[2] if "owner" in rows else None

    def _any_control_address(self, tried):
        addresses = sorted({member.peer for member in self._node.members.live("control")} - tried)
        return self._node.random.choice(addresses) if addresses else None

    def _next_leader_address(self, shard, address, tried):
        """The address of the shard's leader by the newest gossip, unless it was just asked or tried before; else None."""
        believed = self._believed(shard)
        return None if believed in tried | {address} else believed

    async def call_until_done(self, key, command, arguments):
        """Like `call`, but for a command that must take effect: repeats it as long as this process lives. The command is
        idempotent, so repetitions do no harm."""
        while True:
            try:
                return await self.call(key, command, arguments, SETTLE_TIME)
            except (OutcomeUnknownError, QuorumUnavailableError) as error:
                self._node.log.warning("command_outcome_late", key=key, command=command, reason=error.reason)

    async def _await_answer(self, shard, address, call, trail):
        """Awaits the answer to a call that was sent to this address, and records it in the trail."""
        asked_at = self._node.reactor.seconds()
        try:
            answer = await self._moves.answer_unless_leader_changes(shard, address, call)
        except OakrampError as error:
            trail.note(address, asked_at, error.code)
            raise
        trail.note(address, asked_at, ANSWERED)
        return json.loads(answer)

    async def call(self, key, command, arguments, time_left, trail=None):
        """Returns the leader's answer and records each attempt in the trail.

        Raises the error that the leader answered, if no earlier attempt has an unknown outcome; OutcomeUnknownError if
        an attempt was sent and its outcome is not known; QuorumUnavailableError if no leader could be asked at all.
        """
        trail = trail or CallTrail(self._node.reactor)
        reactor, shard = self._node.reactor, shard_of_key(key)
        ends_at = reactor.seconds() + time_left
        text, unknown_outcome, hint, tried, silent_until = pack_json(arguments).decode(), None, None, set(), {}
        believed = None
        while reactor.seconds() < ends_at:
            if believed != (believed := self._believed(shard)):
                tried.discard(believed)  # it was not the leader when it was tried
            address = hint or believed
            # A node that did not answer may have ended: for a while, the node that takes its shards over is asked instead.
            silent = {one for one, until in silent_until.items() if reactor.seconds() < until}
            if address is not None and self._is_silent(address):
                silent.add(address)
            # The leader may be unreachable from this node only; then another control node may forward the call.
            onward = bool(silent)
            if address is None or address in tried | silent:
                address = self._any_control_address(tried | silent) or self._any_control_address(tried)
            hint = None
            if address is not None:
                tried.add(address)
                try:
                    call = self._node.net.call(
                        address,
                        "ownerCall",
                        min(LEADER_CALL_TIME, ends_at - reactor.seconds()),
                        key=key,
                        command=command,
                        arguments_json=text,
                        onward=onward,
                    )
                    return await self._await_answer(shard, address, call, trail)
                except NotShardLeaderError as error:
                    hint = error.detail if error.detail not in tried | silent else None
                except OakrampError as error:
                    if error.code not in NOT_FROM_LEADER_CODES:
                        # The answer to a later attempt does not undo what an earlier one did or may still do.
                        raise (
                            error
                            if unknown_outcome is None
                            else OutcomeUnknownError(
                                f"an earlier attempt may have taken effect; the last one failed: {error.reason}"
                            )
                        ) from None
                    if error.verdict is not Verdict.NO:
                        unknown_outcome = error
                        silent_until[address] = reactor.seconds() + LEASE
                        hint = self._next_leader_address(shard, address, tried)
            if hint is None:
                await sleep(reactor, LEADER_RETRY_PAUSE)
                if address is None or len(tried) > 2:
                    tried = set()
        if unknown_outcome is not None:
            raise OutcomeUnknownError(f"the owner of {key} did not report the outcome of {command}")
        raise QuorumUnavailableError(f"no owner of {key} could be asked in time", retry_after=1)


class MajorityClient:
    """Calls leaders on behalf of an operator. While a majority of the voting configuration answers this node, a command
    may take long, as during a failover; as soon as no majority answers, the call ends with OutcomeUnknownError, because
    an attempt that was sent may still take effect."""

    def __init__(self, node, voter, leaders, client):
        self._node, self._voter, self._leaders, self._client = node, voter, leaders, client

    async def call(self, key, command, arguments, time_left):
        """Runs a command at the key's leader within `time_left` seconds, on behalf of an operator. Raises
        OutcomeUnknownError as soon as this node is known to reach no majority."""
        trail = CallTrail(self._node.reactor)
        leader_call = begin(self._client.call(key, command, arguments, time_left, trail))
        waiting = shielded(leader_call)  # attempts under way share connections with other calls and end by themselves
        leader_call.addErrback(lambda _: None)
        leader_call.addCallback(lambda _: self._log_slow_command(key, command, trail))
        majority_watch = spawn(self._end_without_majority(waiting), self._node.log)
        try:
            return await waiting
        except CancelledError:
            self._node.log.info("quorum_unavailable", key=key, command=command)
            raise OutcomeUnknownError(
                "this node reaches no majority of the roster", retry_after=OPERATOR_RETRY
            ) from None
        finally:
            majority_watch.cancel()

    def _log_slow_command(self, key, command, trail):
        """Logs a command that took long, also if its operator was answered before."""
        if trail.seconds >= OPERATOR_SLOW:
            self._node.log.info(
                "operator_command_slow", key=key, command=command, took_s=round(trail.seconds, 3), asked=str(trail)
            )

    async def _end_without_majority(self, waiting):
        pause = MAJORITY_CHECK_DELAY
        while True:
            await sleep(self._node.reactor, pause)
            if not await self._reaches_majority():
                waiting.cancel()
                return
            pause = MAJORITY_CHECK_TIME

    async def _reaches_majority(self):
        voting_config = self._voter.voting_config
        if voting_config is None:
            return False
        addresses = self._leaders.voter_addresses()
        return await majority_answers(self._node, addresses, voting_config, wait_s=self._majority_wait(addresses))

    def _majority_wait(self, voter_addresses):
        """Seconds after which a voter that has not answered counts as unreachable: twice the time that a majority took to
        answer its last gossip requests. If answers that are merely late counted as missing, every node would reject the
        operator's command."""
        took = sorted(self._node.gossip_client.last_reply_time(address) for address in voter_addresses.values())
        return min(MAJORITY_CHECK_TIME_MAX, max(MAJORITY_CHECK_TIME, 2 * took[len(took) // 2]))
