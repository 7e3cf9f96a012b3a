"""The duty of watching the platform's list, held by the owner of the key `replicas`.

That this node cannot reach the platform says nothing: others may, and what the platform then tells them of a
leaving replica is known. So the owner asks the roster to look too. One list that anybody has read is taken. Only
when a majority of the roster itself says that it cannot reach the platform, the round counts as finished without
a list: then nobody can know better, and the platform's outage does not become everybody's. Otherwise the news of
the replicas grow old, and gates carry nothing that depends on them.
"""
import json

from twisted.internet.defer import ensureDeferred

from oakbase.checks import faultsOf, packJson
from oakbase.constants import PLATFORM_CALL, PLATFORM_HEDGE, PLATFORM_LIMIT, PLATFORM_PAUSE, PLATFORM_TIME
from oakbase.fetch import WebClient
from oakbase.tasks import quorumOf, shielded, within
from oakbase.verdict import CannotTell, OakError, PlatformAway
from oakcontrol.duty import Duty
from oakcontrol.places import REPLICA, REPLICAS_KEY


class PlatformWatch(Duty):
    """Invariant: `owners.pollTimes[replicas]` is when the last finished round began. `reachable` is what this node's
    own last look found; only the owner, and whom it asks, looks."""

    def __init__(self, node, owners, voter, address):
        super().__init__(node, owners, REPLICAS_KEY, PLATFORM_PAUSE)
        self._voter, self._address = voter, address
        self._client = WebClient(node.reactor, node.env["http"].rpartition(":")[0])
        self.reachable = True
        self._unreadable = 0
        owners.pollTimes[REPLICAS_KEY] = float("-inf")
        node.net.handle("platformList", self._serveList)

    async def _work(self, owner):
        askedAt = self._node.reactor.seconds()
        rows = await self._list()
        if rows is not None:
            await owner.do(REPLICAS_KEY, "setList", {"replicas": self._readable(rows)})
        if not owner.ended:
            self._owners.pollTimes[REPLICAS_KEY] = askedAt

    def _readable(self, rows):
        """The rows that say what a replica is. One bad row must not hide what the others say."""
        rows = [{name: row.get(name) for name in REPLICA} if isinstance(row, dict) else {} for row in rows]
        good = {row["id"]: row for row in rows if not faultsOf(REPLICA, row)}
        if len(rows) - len(good) != self._unreadable:
            self._unreadable = len(rows) - len(good)
            self._node.log.event("platformRowsUnreadable", rows=self._unreadable)
        return list(good.values())

    async def _list(self):
        """The platform's rows, read by whoever reaches it; None if a majority of the roster cannot."""
        own = ensureDeferred(self._read())
        try:
            if self.reachable:
                return await within(self._node.reactor, PLATFORM_HEDGE, shielded(own))
        except OakError:
            pass
        roster = self._voter.roster
        works = {nodeId: self._ask(address) for nodeId, address in self._owners.voterAddresses().items()
                 if nodeId != self._node.nodeId}
        reached, said = await quorumOf(works | {self._node.nodeId: own}, lambda nodeIds: len(nodeIds) > 0)
        if reached:
            return next(iter(said.values()))
        away = {nodeId for nodeId, error in said.items() if isinstance(error, PlatformAway)}
        if roster.isQuorum(away):
            return None
        raise CannotTell(f"only {len(away)} of the roster say that they cannot reach the platform")

    async def _ask(self, address):
        return json.loads(await self._node.net.call(address, "platformList", PLATFORM_CALL))

    async def _serveList(self, _peer, _arguments):
        return packJson(await self._read()).decode()

    async def _read(self):
        try:
            status, answer = await self._client.json("GET", self._address, "/replicas", None, PLATFORM_TIME,
                                                     PLATFORM_LIMIT)
            reason = "" if status == 200 and isinstance(answer.get("replicas"), list) else f"status {status}"
        except OakError as error:
            reason = error.reason
        if self.reachable != (not reason):
            self.reachable = not reason
            self._node.log.event("platformReachable" if self.reachable else "platformUnreachable", reason=reason)
        if reason:
            raise PlatformAway(f"the platform cannot be read from here: {reason}")
        return answer["replicas"]
