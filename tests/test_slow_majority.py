"""No node acknowledges an order while control nodes answer late: each takes that for a partition and refuses."""

from oakramp.common.constants import CONDITION_AGE, MAJORITY_DOUBT, MAJORITY_WAIT
from oakramp.common.tasks import sleep
from test_operator import OperatorTest, document

SETTLED_S = 12.0  # s; after links have become slow
ONE_WAY = 0.25  # s; so an order takes a second, and a repeat of one that was taken half of it
SILENCE = 1.0  # s; without an answer for so long an operator leaves a node
PAUSE = 0.2  # s; until it sends the order again
TRIES = 3


class SlowMajority(OperatorTest):
    def slow_down(self):
        """Control nodes answer each other late, as if all were busy."""
        hosts = [one.host.address for one in self.fleet.of_kind("control")]
        self.fleet.network.delays |= {(one, other): ONE_WAY for one in hosts for other in hosts if one != other}
        self.fleet.run(SETTLED_S)

    async def insist_at(self, one, based_on, value):
        """Sends an order to this node alone until its answer is clear; the statuses of its answers."""
        statuses = []
        while len(statuses) < TRIES and 200 not in statuses:
            statuses.append((await self.change(one.name, based_on, value, time_left=SILENCE)).status)
            await sleep(self.reactor, PAUSE)
        return statuses

    def test_each_node_acknowledges_an_order(self):
        self.slow_down()
        for number, one in enumerate(self.fleet.of_kind("control")):
            statuses = self.fleet.until(self.insist_at(one, 2 * number, document(2 * number + 2)), 40)
            self.assertEqual(statuses[-1], 200, (one.name, statuses))
        self.assertEqual([line for line in self.fleet.lines if "event=quorum_unavailable " in line], [])

    def test_who_is_cut_off_still_says_so_at_once(self):
        self.put("control0", 0, document(2))
        one = self.others()[0]
        rest = [other.host.address for other in self.fleet.of_kind("control") if other is not one]
        self.fleet.network.cut([one.host.address], rest)
        self.fleet.run(CONDITION_AGE + 0.1)
        asked_at = self.fleet.time.now
        said = self.put(one.name, 2, document(4))
        self.assertEqual(said.status, 503)
        self.assertLess(self.fleet.time.now - asked_at, MAJORITY_DOUBT + MAJORITY_WAIT + 0.05)
