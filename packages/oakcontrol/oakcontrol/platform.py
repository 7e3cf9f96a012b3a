"""The duty of watching the platform's list, held by the owner of the key `replicas`."""
from oakbase.checks import faultsOf
from oakbase.constants import PLATFORM_LIMIT, PLATFORM_PAUSE, PLATFORM_TIME
from oakbase.fetch import WebClient
from oakbase.verdict import OakError
from oakcontrol.duty import Duty
from oakcontrol.places import REPLICA, REPLICAS_KEY


class PlatformWatch(Duty):
    """`owners.pollTimes[replicas]` is when the last finished round began. A platform that does not answer
    cannot have told anybody that a replica leaves, so such a round counts as finished too."""

    def __init__(self, node, owners, address):
        super().__init__(node, owners, REPLICAS_KEY, PLATFORM_PAUSE)
        self._address = address
        self._client = WebClient(node.reactor, node.env["http"].rpartition(":")[0])
        self._reachable = True
        self._unreadable = 0
        owners.pollTimes[REPLICAS_KEY] = float("-inf")

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
        try:
            status, answer = await self._client.json("GET", self._address, "/replicas", None, PLATFORM_TIME,
                                                     PLATFORM_LIMIT)
            reason = "" if status == 200 and isinstance(answer.get("replicas"), list) else f"status {status}"
        except OakError as error:
            reason = error.reason
        if self._reachable != (not reason):
            self._reachable = not reason
            self._node.log.event("platformReachable" if self._reachable else "platformUnreachable", reason=reason)
        return None if reason else answer["replicas"]
