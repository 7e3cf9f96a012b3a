"""Connection attempts whose SYN packets are lost, refused or answered late, in the simulator, whose TCP retransmits a
SYN after one second.

Guards against a late recovery: after an outage of all nodes, one voter of three was reached only 1.24 s after its
start, which delayed the leaders of all shards. The SYN packets to its peers were lost, a dial had a single attempt, and
the kernel's retransmission interval is many times the response time of a peer in the same region. In the log:
`gossip_pull_failed ... was not reached in time` 0.8 s after `node_started`, and `gossip_peer_answered` 0.4 s later.
"""

import random
import unittest

from oakramp.common.constants import CONNECT_TIME, DIAL_HEDGE
from oakramp.common.errors import UnreachableError
from oakramp.common.structured_logging import EventLogger
from oakramp.common.tasks import begin
from oakramp.rpc.endpoint import RpcEndpoint
from oakramp.testbed.simnet import SimHost, SimNetwork, SimReactor, SimTime

SERVER, CLIENT = "127.0.0.1:1", "127.0.0.2:1"
LINK = ("127.0.0.2", "127.0.0.1")
ROUND_TRIPS = 0.05  # s; longer than connecting, the hellos and a call take
CALL_SECONDS = 2.0  # s


class HedgedDials(unittest.TestCase):
    def setUp(self):
        self.time, self.lines = SimTime(), []
        self.network = SimNetwork(self.time, random.Random(1))
        self.host = SimHost(self.network, "127.0.0.1")
        log = EventLogger(self.lines.append)
        self.client = RpcEndpoint(SimReactor(SimHost(self.network, "127.0.0.2")), "n2", "gate", CLIENT, "c1", log)
        self.server = RpcEndpoint(SimReactor(self.host), "n1", "control", SERVER, "c1", log)
        self.server.handle("release", self.release)

    async def release(self, _peer, arguments):
        return arguments.shard + 1

    def call(self):
        """Starts a call; returns a list that will hold its time of completion and its outcome."""
        outcome = []
        calling = begin(self.client.call(SERVER, "release", CALL_SECONDS, shard=4))
        calling.addBoth(lambda result: outcome.append((self.time.now, getattr(result, "value", result))))
        return outcome

    def run_on(self, seconds):
        self.time.advance_to(self.time.now + seconds)

    def connections(self):
        return len(self.client.connections), len(self.server.connections)

    def test_a_lost_syn_delays_the_connection_by_one_hedge_interval(self):
        self.server.listen()
        self.network.hold({LINK})
        outcome = self.call()
        self.run_on(0.01)
        self.network.let_go({LINK})
        self.run_on(CONNECT_TIME)
        self.assertEqual(outcome[0][1], 5)
        self.assertLess(outcome[0][0], DIAL_HEDGE + ROUND_TRIPS)

    def test_a_refused_connection_fails_the_dial_at_once(self):
        outcome = self.call()
        self.run_on(CONNECT_TIME)
        self.assertIsInstance(outcome[0][1], UnreachableError)
        self.assertLess(outcome[0][0], ROUND_TRIPS)

    def test_a_dial_of_a_machine_that_is_down_fails_within_its_timeout(self):
        self.host.up = False
        outcome = self.call()
        self.run_on(CALL_SECONDS + 1)
        self.assertIsInstance(outcome[0][1], UnreachableError)
        self.assertLess(outcome[0][0], CONNECT_TIME + ROUND_TRIPS)
        self.assertEqual(self.connections(), (0, 0))

    def test_only_one_of_several_late_connections_is_kept(self):
        self.server.listen()
        self.network.delays[LINK] = self.network.delays[LINK[::-1]] = 1.5 * DIAL_HEDGE
        outcome = self.call()
        self.run_on(CALL_SECONDS + 1)
        self.assertEqual(outcome[0][1], 5)
        self.assertEqual(self.connections(), (1, 1))

    def test_a_call_that_timed_out_leaves_no_connection(self):
        self.host.up = False
        begin(self.client.call(SERVER, "release", DIAL_HEDGE / 2, shard=4)).addErrback(lambda _: None)
        self.run_on(CONNECT_TIME + 1)
        self.host.up = True
        self.server.listen()
        self.run_on(CALL_SECONDS)
        self.assertEqual(self.connections(), (0, 0))


if __name__ == "__main__":
    unittest.main()
