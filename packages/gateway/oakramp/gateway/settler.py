"""What came out of turns, told to their budgets' owners."""

from oakramp.common.constants import SETTLE_PAUSE
from oakramp.common.tasks import sleep


class SpendReporter:
    """Tells budgets' owners what came out, several turns of a program at a time. Invariant: `_due[key]` holds what is
    not on its way yet; each is told until the owner has it, as long as this gate lives."""

    def __init__(self, gate):
        self._gate, self._reactor = gate, gate.node.reactor
        self._due = {}

    def settle(self, key, turn, units):
        if key in self._due:
            self._due[key].append([turn, units])
            return
        self._due[key] = [[turn, units]]
        self._gate.background(self._tell(key))

    async def _tell(self, key):
        await sleep(self._reactor, SETTLE_PAUSE)
        await self._gate.leaders.call_until_done(key, "settle", {"settled": self._due.pop(key)})
