"""The duty of watching the platform's list. Its holder is the owner of the key `replicas`: the duty
changes hands with the slot, and what a former holder still writes is fenced by the slot's epoch."""
from oakbase.constants import PLATFORM_LIMIT, PLATFORM_PAUSE, PLATFORM_TIME
from oakbase.fetch import WebClient
from oakbase.tasks import Repeater
from oakbase.verdict import OakError
from oakcontrol.owner import slotOfKey
from oakcontrol.places import REPLICAS_KEY

SLOT = slotOfKey(REPLICAS_KEY)


class PlatformWatch:
    """`owners.pollTimes[replicas]` is when the last finished round began. A platform that does not answer
    cannot have told anybody that a replica leaves, so such a round counts as finished too."""

    def __init__(self, node, owners, address):
        self._node, self._owners, self._address = node, owners, address
        self._client = WebClient(node.reactor, node.env["http"].rpartition(":")[0])
        self._repeater = Repeater(node.reactor, PLATFORM_PAUSE, self._round, node.log)
        self._reachable = True
        owners.pollTimes[REPLICAS_KEY] = float("-inf")

    def start(self):
        self._repeater.start()

    def stop(self):
        self._repeater.stop()

    async def _round(self):
        owner = self._owners.held.get(SLOT)
        if owner is None:
            return
        askedAt = self._node.reactor.seconds()
        rows = await self._list()
        if rows is not None:
            await owner.do(REPLICAS_KEY, "setList", {"replicas": rows})
        if not owner.ended:
            self._owners.pollTimes[REPLICAS_KEY] = askedAt

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
        return None if reason else [
            {name: row.get(name) for name in ("id", "address", "pool", "state")} for row in answer["replicas"]
            if isinstance(row, dict)]
