"""Guards against refused orders while control nodes answer late: a node must not mistake that for a partition."""

from oakramp.common.constants import LIVENESS_AGE, MAJORITY_CHECK_DELAY, MAJORITY_CHECK_TIME
from oakramp.common.tasks import sleep
from test_operator import OperatorTest, document

SETTLED_S = 12.0  # s; time to settle after links have become slow
ONE_WAY = 0.25  # s; so an order takes a second, and a repetition of an accepted order half a second
SILENCE = 1.0  # s; an operator abandons a request that is not answered for so long
PAUSE = 0.2  # s; until the operator sends the order again
TRIES = 3


class SlowMajority(OperatorTest):
    def slow_down(self):
        """Delays all messages between control nodes, as if all of them were busy."""
        hosts = [one.host.address for one in self.fleet.of_kind("control")]
        self.fleet.network.delays |= {(one, other): ONE_WAY for one in hosts for other in hosts if one != other}
        self.fleet.run(SETTLED_S)

    async def order_until_acknowledged(self, one, based_on, value):
        """Sends an order to just this node, at most TRIES times, until it is acknowledged; the statuses of answers."""
        statuses = []
        while len(statuses) < TRIES and 200 not in statuses:
            statuses.append((await self.change(one.name, based_on, value, time_left=SILENCE)).status)
            await sleep(self.reactor, PAUSE)
        return statuses

    def test_each_node_acknowledges_an_order(self):
        self.slow_down()
        for number, one in enumerate(self.fleet.of_kind("control")):
            statuses = self.fleet.until(self.order_until_acknowledged(one, 2 * number, document(2 * number + 2)), 40)
            self.assertEqual(statuses[-1], 200, (one.name, statuses))
        self.assertEqual([line for line in self.fleet.lines if "event=quorum_unavailable " in line], [])

    def test_a_partitioned_node_still_refuses_at_once(self):
        self.put("control0", 0, document(2))
        one = self.others()[0]
        rest = [other.host.address for other in self.fleet.of_kind("control") if other is not one]
        self.fleet.network.cut([one.host.address], rest)
        self.fleet.run(LIVENESS_AGE + 0.1)
        asked_at = self.fleet.time.now
        said = self.put(one.name, 2, document(4))
        self.assertEqual(said.status, 503)
        self.assertLess(self.fleet.time.now - asked_at, MAJORITY_CHECK_DELAY + MAJORITY_CHECK_TIME + 0.05)
