"""Connections between nodes on which no more bytes arrive: they are replaced, and no call exceeds its deadline."""

import random
import unittest

from oakramp.common.constants import CONNECT_TIME, RECONNECT_PAUSE, SILENT_CONNECTION_TIME
from oakramp.common.errors import UnreachableError, Verdict
from oakramp.common.structured_logging import EventLogger
from oakramp.common.tasks import begin, sleep
from oakramp.rpc.endpoint import RpcEndpoint
from oakramp.testbed.simnet import SimHost, SimNetwork, SimReactor, SimTime

SERVER, CLIENT = "127.0.0.1:1", "127.0.0.2:1"
CALL_PAUSE = 0.2  # s
CALL_SECONDS = 0.8  # s; the timeout of one call
DARK_S = 7.0  # s without power


class SilentConnections(unittest.TestCase):
    def setUp(self):
        self.time, self.lines = SimTime(), []
        network = SimNetwork(self.time, random.Random(1))
        self.network, self.host = network, SimHost(network, "127.0.0.1")
        self.client_reactor = SimReactor(SimHost(network, "127.0.0.2"))
        self.delay_s = 0.0
        self.start_server()
        self.client = RpcEndpoint(self.client_reactor, "n2", "gate", CLIENT, "c1", EventLogger(self.lines.append))

    def start_server(self):
        self.host.up = True
        self.server = RpcEndpoint(SimReactor(self.host), "n1", "control", SERVER, "c1", EventLogger(self.lines.append))
        self.server.handle("release", self.release)
        self.server.listen()

    async def release(self, _peer, arguments):
        await sleep(self.server.reactor, self.delay_s)
        return arguments.shard + 1

    def run_on(self, seconds):
        self.time.advance_to(self.time.now + seconds)

    def call(self, seconds=CALL_SECONDS):
        """Starts a call; returns a list that will hold its time of completion and its outcome."""
        outcome = []
        calling = begin(self.client.call(SERVER, "release", seconds, shard=4))
        calling.addBoth(lambda result: outcome.append((self.time.now, getattr(result, "value", result))))
        return outcome

    def call_repeatedly(self, seconds):
        """Calls every CALL_PAUSE seconds for so long; the outcomes of the calls."""
        outcomes, ends_at = [], self.time.now + seconds
        while self.time.now < ends_at:
            outcomes.append(self.call())
            self.run_on(CALL_PAUSE)
        return outcomes

    def first_reply_at(self, outcomes):
        return min(at for outcome in outcomes for at, result in outcome if result == 5)

    def silent_lines(self):
        return [line for line in self.lines if "peer_connection_silent" in line]

    def test_a_machine_is_reached_soon_after_its_return_from_a_power_loss(self):
        self.assertEqual(len(self.call_repeatedly(1.0)), 5)
        self.host.end(power_cut=True)
        self.call_repeatedly(DARK_S)
        self.start_server()
        returned_at = self.time.now
        first = self.first_reply_at(self.call_repeatedly(8.0)) - returned_at
        self.assertLess(first, CONNECT_TIME + RECONNECT_PAUSE + CALL_PAUSE)
        self.assertTrue(self.silent_lines())

    def test_a_healed_link_is_used_soon(self):
        self.call_repeatedly(1.0)
        self.network.cut(["127.0.0.1"], ["127.0.0.2"])
        self.call_repeatedly(DARK_S)
        self.network.heal()
        healed_at = self.time.now
        first = self.first_reply_at(self.call_repeatedly(8.0)) - healed_at
        self.assertLess(first, CONNECT_TIME + RECONNECT_PAUSE + CALL_PAUSE)

    def test_a_connection_on_which_other_replies_arrive_is_kept(self):
        self.call_repeatedly(1.0)
        connection = self.client._links[SERVER].result
        self.delay_s = 1.5
        slow = self.call()
        self.run_on(0.1)
        self.delay_s = 0.0
        self.call_repeatedly(1.5)
        self.assertNotEqual(slow[0][1], 5, "the slow call must time out")
        self.assertEqual(self.silent_lines(), [])
        self.assertIs(self.client._links[SERVER].result, connection)

    def test_a_frozen_peer_keeps_its_connection_if_it_resumes_before_a_new_one(self):
        self.call_repeatedly(1.0)
        connection = self.client._links[SERVER].result
        self.host.freeze()
        self.call_repeatedly(1.2)
        self.assertTrue(self.silent_lines())
        self.host.thaw()
        self.call_repeatedly(1.0)
        self.assertTrue(self.client._links[SERVER].result.connected)
        self.assertFalse(connection.is_silent)

    def test_a_silent_connection_is_closed_after_silent_most(self):
        self.call_repeatedly(1.0)
        connection = self.client._links[SERVER].result
        self.host.end(power_cut=True)
        self.call_repeatedly(CALL_SECONDS + SILENT_CONNECTION_TIME + CONNECT_TIME + 2 * RECONNECT_PAUSE)
        self.assertFalse(connection.connected)
        outcome = self.call()
        self.run_on(CONNECT_TIME)
        self.assertIsInstance(outcome[0][1], UnreachableError)

    def test_a_call_waits_for_a_connection_no_longer_than_its_timeout(self):
        self.host.end(power_cut=True)
        called_at = self.time.now
        outcome = self.call(seconds=0.3)
        self.run_on(2.0)
        at, error = outcome[0]
        self.assertAlmostEqual(at - called_at, 0.3, places=2)
        self.assertIs(error.verdict, Verdict.NO, "the call was never sent")


if __name__ == "__main__":
    unittest.main()
