"""Reports the output of turns to the owners of their budgets."""

from oakramp.common.constants import SETTLE_PAUSE
from oakramp.common.tasks import sleep


class SpendReporter:
    """Reports the output of turns to the budgets' owners, batched by program.

    Invariant: `_due[key]` holds the turns of the batch that has not been sent yet; each batch is retried until the
    owner confirms it, as long as this gate runs."""

    def __init__(self, gate):
        self._gate, self._reactor = gate, gate.node.reactor
        self._due = {}

    def settle(self, key, turn, units):
        if key in self._due:
            self._due[key].append([turn, units])
            return
        self._due[key] = [[turn, units]]
        self._gate.background(self._send_batch(key))

    async def _send_batch(self, key):
        await sleep(self._reactor, SETTLE_PAUSE)
        await self._gate.leaders.call_until_done(key, "settle", {"settled": self._due.pop(key)})
