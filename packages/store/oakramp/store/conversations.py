"""The gateway's client for conversations whose versions carry the turns themselves. Like the client in the paper on
version vectors, it reads from a quorum, reduces the replies with `sync_versions`, keeps the causal context and writes
with that context. Values are sets of turns; siblings are merged by union."""

import json

from oakramp.common.constants import CALL_TIME, CONVERSATION_TURNS, STORE_CALL_TIME
from oakramp.common.errors import (
    ConflictError,
    OakrampError,
    OutcomeUnknownError,
    QuorumUnavailableError,
    StaleEpochError,
    TurnExpiredError,
    Verdict,
)
from oakramp.common.tasks import quorum_of, sleep
from oakramp.common.validation import pack_json
from oakramp.control.store_membership import STORES_KEY, StoreMembership, majority
from oakramp.membership.members import LIVE
from oakramp.membership.rendezvous_hashing import ranked
from oakramp.store.record_table import from_state
from oakramp.store.store_client import StoreClient
from oakramp.version_vectors.causal_context import to_context
from oakramp.version_vectors.version_vector import sync_versions

RETRY_PAUSE = 0.1  # s; between rounds over the stores, for instance while one of them restarts or copies data


class Conversation:
    """The result of a quorum read. Invariant: `turns` is the union over all siblings that `context` covers.
    `is_full` if more than half of the stores that replied are full, so that a longer conversation may not be
    retained."""

    def __init__(self, versions, is_full=False):
        self.is_full = is_full
        self.context = to_context(frozenset(versions))
        self.turns = {
            turn_id: turn for value in versions.values() for turn_id, turn in json.loads(value)["turns"].items()
        }

    def path_to(self, turn_id):
        """The turns from the root to this one, in order."""
        path = []
        while turn_id is not None:
            if turn_id not in self.turns:
                raise TurnExpiredError(f"turn {turn_id} is not retained any more")
            path.append(self.turns[turn_id])
            turn_id = self.turns[turn_id]["parent"]
        return path[::-1]


class ConversationClient:
    """Quorum reads and writes of conversations that carry their turns in the versions."""

    def __init__(self, node):
        self._node = node
        self.calls = StoreClient(node)
        node.state_table.watch(STORES_KEY, lambda _source: self.calls.forget())

    def _stores(self):
        stores = StoreMembership.from_state_table(self._node.state_table)
        if not stores.epoch:
            raise QuorumUnavailableError("the store membership is not known on this node yet", retry_after=1)
        return stores

    async def get(self, key, time_left):
        """Reads the conversation from a quorum of stores with a complete copy. QuorumUnavailableError if too few of
        these replied."""
        deadline = self._node.reactor.seconds() + time_left
        while True:
            stores = self._stores()
            reached, states = await quorum_of(
                {
                    node_id: self._read_from(node_id, row["peer"], key, stores.epoch)
                    for node_id, row in stores.readers.items()
                },
                lambda node_ids: len(node_ids) >= majority(stores.readers),
            )
            if reached:
                versions = {}
                for state in states.values():
                    versions = sync_versions(versions, from_state(state))
                return Conversation(versions, sum(bool(state.full) for state in states.values()) > len(states) // 2)
            if self._node.reactor.seconds() + RETRY_PAUSE >= deadline:
                raise QuorumUnavailableError("too few stores replied to determine what is retained", retry_after=1)
            await sleep(self._node.reactor, RETRY_PAUSE)

    async def _read_from(self, node_id, peer, key, epoch):
        state = await self.calls.call(node_id, peer, "lineGet", STORE_CALL_TIME, key=key)
        if state.store_epoch != epoch:
            raise StaleEpochError(f"store epoch {state.store_epoch} is not {epoch}")
        if not state.covers:
            raise QuorumUnavailableError(
                "this store has not finished copying data and may not take part in a read quorum yet"
            )
        return state

    async def keep(self, key, conversation, turn_id, turn, time_left):
        """Writes the union of the siblings and the new turn with the context of the read. Returns once a quorum has
        it on disk. An attempt with an unknown outcome is retried on another store: at worst that leaves two
        siblings with the same turn, superseded by the next write."""
        if turn_id in conversation.turns and conversation.turns[turn_id] != turn:
            raise ConflictError(f"turn {turn_id} is in this conversation already")
        if len(conversation.turns) >= CONVERSATION_TURNS:
            raise ConflictError(f"a conversation holds at most {CONVERSATION_TURNS} turns")
        value = pack_json({"turns": conversation.turns | {turn_id: turn}})
        reactor = self._node.reactor
        deadline = reactor.seconds() + time_left
        outcome_unknown = False
        while reactor.seconds() < deadline:
            stores = self._stores()
            order = sorted(
                ranked(stores.readers, key), key=lambda node_id: self._node.members.condition(node_id) != LIVE
            )
            for node_id in order:
                remaining = min(CALL_TIME, deadline - reactor.seconds())
                if remaining <= 0:
                    break
                try:
                    return await self.calls.call(
                        node_id,
                        stores.readers[node_id]["peer"],
                        "linePut",
                        remaining,
                        key=key,
                        context=conversation.context,
                        value=value,
                        store_epoch=stores.epoch,
                    )
                except OakrampError as error:
                    outcome_unknown = outcome_unknown or error.verdict is not Verdict.NO
            await sleep(reactor, RETRY_PAUSE)
        raise OutcomeUnknownError(
            "no quorum of stores confirmed that it retained the turn", Verdict.MAYBE if outcome_unknown else Verdict.NO
        )
