"""The gate's side of lines: the paper's client. It reads from a quorum, reduces the replies with sync,
keeps the context, and writes with that context. Values are sets of turns; siblings merge by union."""

import json

from oakbase.checks import packJson
from oakbase.constants import CALL_TIME, LINE_TURNS, STORE_CALL_TIME
from oakbase.tasks import quorumOf, sleep
from oakbase.verdict import CannotTell, Conflict, Fenced, Gone, NoAnswer, OakError, Verdict
from oakcohort.members import LIVE
from oakcohort.rendezvous import ranked
from oakcontrol.storeset import StoreSet, majority
from oakdvv.clock import syncVersions
from oakdvv.context import toContext
from oakstore.table import fromState

RETRY_PAUSE = 0.1  # s; between rounds over the stores while one of them changes condition


class Line:
    """What a quorum said. Invariant: `turns` is the union over all siblings that `context` stands for. `isFull` if
    so many of the stores have no room that a longer line may not be kept."""

    def __init__(self, versions, isFull=False):
        self.isFull = isFull
        self.context = toContext(frozenset(versions))
        self.turns = {
            turnId: turn for value in versions.values() for turnId, turn in json.loads(value)["turns"].items()
        }

    def pathTo(self, turnId):
        """The turns from the root to this one, in order."""
        path = []
        while turnId is not None:
            if turnId not in self.turns:
                raise Gone(f"turn {turnId} is not kept")
            path.append(self.turns[turnId])
            turnId = self.turns[turnId]["parent"]
        return path[::-1]


class LineClient:
    def __init__(self, node):
        self._node = node

    def _stores(self):
        stores = StoreSet.fromBoard(self._node.board)
        if not stores.epoch:
            raise CannotTell("the store set is not known here yet", retryAfter=1)
        return stores

    async def get(self, key, timeLeft):
        """The line as a covering quorum has it. CannotTell if too few stores that may speak answered."""
        endsAt = self._node.reactor.seconds() + timeLeft
        while True:
            stores = self._stores()
            reached, states = await quorumOf(
                {nodeId: self._getFrom(row["peer"], key, stores.epoch) for nodeId, row in stores.readers.items()},
                lambda nodeIds: len(nodeIds) >= majority(stores.readers),
            )
            if reached:
                versions = {}
                for state in states.values():
                    versions = syncVersions(versions, fromState(state))
                return Line(versions, sum(bool(state.full) for state in states.values()) > len(states) // 2)
            if self._node.reactor.seconds() + RETRY_PAUSE >= endsAt:
                raise CannotTell("too few stores answered to say what is kept", retryAfter=1)
            await sleep(self._node.reactor, RETRY_PAUSE)

    async def _getFrom(self, peer, key, epoch):
        state = await self._node.net.call(peer, "lineGet", STORE_CALL_TIME, key=key)
        if state.storeEpoch != epoch:
            raise Fenced(f"store epoch {state.storeEpoch} is not {epoch}")
        if not state.covers:
            raise CannotTell("this store may not speak yet")
        return state

    async def keep(self, key, line, turnId, turn, timeLeft):
        """Writes the union and the new turn with the context of the read. Returns once a quorum has it on
        disk. A try whose outcome is not known is made again elsewhere: at worst that leaves two siblings
        with the same turn, which the next write supersedes."""
        if turnId in line.turns and line.turns[turnId] != turn:
            raise Conflict(f"turn {turnId} is on this line already")
        if len(line.turns) >= LINE_TURNS:
            raise Conflict(f"a line holds at most {LINE_TURNS} turns")
        value = packJson({"turns": line.turns | {turnId: turn}})
        reactor = self._node.reactor
        endsAt = reactor.seconds() + timeLeft
        unsure = False
        while reactor.seconds() < endsAt:
            stores = self._stores()
            order = sorted(ranked(stores.readers, key), key=lambda nodeId: self._node.members.condition(nodeId) != LIVE)
            for nodeId in order:
                remaining = min(CALL_TIME, endsAt - reactor.seconds())
                if remaining <= 0:
                    break
                try:
                    return await self._node.net.call(
                        stores.readers[nodeId]["peer"],
                        "linePut",
                        remaining,
                        key=key,
                        context=line.context,
                        value=value,
                        storeEpoch=stores.epoch,
                    )
                except OakError as error:
                    unsure = unsure or error.verdict is not Verdict.NO
                    self._node.log.event("putFailed", store=nodeId, reason=error.reason)
            await sleep(reactor, RETRY_PAUSE)
        raise NoAnswer("no quorum of stores said that it keeps the turn", Verdict.MAYBE if unsure else Verdict.NO)
