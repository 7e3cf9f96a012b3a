"""Outlier detection by all gates together. In the diagrams each column is a participant; time runs downwards."""

import json
import random
import unittest
from types import SimpleNamespace

from twisted.internet import task

from oakramp.common.constants import LATE_FACTOR, LATE_MIN, OUTLIER_FAULTS, OUTLIER_SHARE, OUTLIER_WINDOW
from oakramp.common.structured_logging import EventLogger
from oakramp.gateway.outliers import FAULTS, Outliers
from oakramp.gossip.state_table import StateTable


class Fleet:
    """Gates on one clock; what one publishes reaches the others at once. Replicas are as in the balancer."""

    def __init__(self, gates=4, replicas=6, service="s"):
        self.clock, self.lines, self.service = task.Clock(), [], service
        self.random = random.Random(1)
        self.state_tables = [StateTable(self.clock) for _ in range(gates)]
        self.versions = [0] * gates
        self.gates = [self.gate(number) for number in range(gates)]
        self.replicas = [SimpleNamespace(row={"id": f"r{number}", "pool": service}) for number in range(replicas)]

    def gate(self, number):
        source = f"node/g{number}/1"

        def tell(name, value):
            self.versions[number] += 1
            for state_table in self.state_tables:
                state_table.set_items(source, self.versions[number], {name: value} if value is not None else {})
                state_table.confirm(source, self.clock.seconds())

        node = SimpleNamespace(
            reactor=self.clock,
            state_table=self.state_tables[number],
            members=SimpleNamespace(live_count=lambda kind: len(self.state_tables)),
            gossip_client=SimpleNamespace(publish_item=tell, source=source),
        )
        return Outliers(node, EventLogger(self.lines.append))

    def confirm(self):
        for state_table in self.state_tables:
            for number in range(len(self.state_tables)):
                state_table.confirm(f"node/g{number}/1", self.clock.seconds())

    def run(self, seconds, load=lambda: None):
        for step in range(round(seconds / 0.01)):
            if step % 5 == 0:
                load()
                self.confirm()
            self.clock.advance(0.01)

    def request(self, gate, replica, takes):
        """Sends a request whose response starts after `takes` seconds, or never if it is None."""
        pending = gate.request_sent(replica)
        if takes is not None:
            self.clock.callLater(takes, gate.response_started, pending)

    def left_out(self):
        return [sorted(gate.outlier_ids(self.service, self.replicas)) for gate in self.gates]


class OutlierDetection(unittest.TestCase):
    def steady(self, fleet, takes):
        """Two requests every 50 ms from a random gate to a random replica; `takes(replica)` as in `Fleet.request`."""

        def load():
            for _ in range(2):
                replica = fleet.random.choice(fleet.replicas)
                fleet.request(fleet.random.choice(fleet.gates), replica, takes(replica.row["id"]))

        return load

    def test_healthy_replicas_are_no_outliers(self):
        fleet = Fleet()
        fleet.run(10.0, load=self.steady(fleet, lambda name: fleet.random.uniform(0.01, 0.2)))
        self.assertEqual(fleet.left_out(), [[]] * 4)
        self.assertEqual([line for line in fleet.lines if "outliers" in line], [])

    def test_a_replica_that_stalls_half_of_its_requests_is_detected_by_all_gates(self):
        """
        gates                           r2
        few requests each               answers only half of them
        publish the late ones
        all of them exclude r2          healthy again
        after the window                gets requests again
        """
        fleet = Fleet(gates=8)
        load = self.steady(fleet, lambda name: None if name == "r2" and fleet.random.random() < 0.5 else 0.02)
        fleet.run(2.5, load=load)
        self.assertEqual(fleet.left_out(), [["r2"]] * 8)
        fleet.run(OUTLIER_WINDOW + 1.0, load=self.steady(fleet, lambda name: 0.02))
        self.assertEqual(fleet.left_out(), [[]] * 8)

    def test_a_slow_replica_is_detected_by_its_late_responses(self):
        fleet = Fleet()
        fleet.run(4.0, load=self.steady(fleet, lambda name: 0.06))
        fleet.run(2.5, load=self.steady(fleet, lambda name: 0.06 * (8 if name == "r1" else 1)))
        self.assertEqual(fleet.left_out(), [["r1"]] * 4)

    def test_no_replica_is_an_outlier_if_all_are_late(self):
        fleet = Fleet()
        fleet.run(4.0, load=self.steady(fleet, lambda name: 0.02))
        fleet.run(3.0, load=self.steady(fleet, lambda name: 0.7))
        self.assertEqual(fleet.left_out(), [[]] * 4)

    def test_faults_of_many_replicas_are_not_published(self):
        """
        gate0                       gate1
        rejected by all replicas    receives nothing: the gossiped row does not change
        rejected by one only        receives the fault counts
        """
        fleet = Fleet(gates=2)
        fleet.left_out()
        for replica in fleet.replicas * 3:
            fleet.gates[0].record_fault(replica)
        fleet.run(1.0)
        self.assertEqual(fleet.versions, [0, 0])
        fleet.run(OUTLIER_WINDOW + 0.5)
        for _ in range(4):
            fleet.gates[0].record_fault(fleet.replicas[3])
        fleet.run(0.5)
        self.assertEqual(fleet.left_out(), [["r3"]] * 2)
        fleet.run(OUTLIER_WINDOW + 0.5)
        self.assertEqual((fleet.left_out(), fleet.versions), ([[]] * 2, [2, 0]))

    def test_the_share_of_outliers_is_bounded(self):
        fleet = Fleet(replicas=6)
        for name in range(2):
            for _ in range(10):
                fleet.gates[0].record_fault(fleet.replicas[name])
        for _ in range(9):
            fleet.gates[0].record_fault(fleet.replicas[2])
        self.assertLessEqual(len(fleet.left_out()[0]), int(6 * OUTLIER_SHARE))
        alone = Fleet(replicas=1)
        for _ in range(50):
            alone.gates[0].record_fault(alone.replicas[0])
        self.assertEqual(alone.left_out()[0], [])

    def test_few_faults_or_a_small_fault_rate_are_tolerated(self):
        fleet = Fleet()
        for _ in range(OUTLIER_FAULTS - 1):
            fleet.gates[0].record_fault(fleet.replicas[0])
        self.assertEqual(fleet.left_out()[0], [])
        busy = Fleet(gates=1)
        for number in range(400):
            busy.request(busy.gates[0], busy.replicas[number % 6], 0.01)
        for _ in range(OUTLIER_FAULTS):
            busy.gates[0].record_fault(busy.replicas[0])
        self.assertEqual(busy.left_out()[0], [], "3 of some 67")

    def test_reports_of_a_stopped_gate_expire_and_malformed_ones_are_ignored(self):
        """
        gate0                       gate1                           gate2
        reports r0, stops                                           sends malformed reports
                                    uses it for the window
        """
        fleet = Fleet(gates=3)
        for _ in range(20):
            fleet.gates[0].record_fault(fleet.replicas[0])
        fleet.clock.advance(0.5)
        self.assertEqual(sorted(fleet.gates[1].outlier_ids("s", fleet.replicas)), ["r0"])
        for malformed in (b"[]", b"{", b'{"r0": "x"}', b'{"r0": null}'):
            fleet.versions[2] += 1
            fleet.state_tables[1].set_items("node/g2/1", fleet.versions[2], {FAULTS: malformed})
        self.assertEqual(len([line for line in fleet.lines if "fault_report_unreadable" in line]), 4)
        fleet.state_tables[1].snapshots["node/g0/1"].items[FAULTS] = (99, json.dumps({"r0": 20}).encode())
        fleet.clock.advance(OUTLIER_WINDOW + 0.5)
        self.assertEqual(sorted(fleet.gates[1].outlier_ids("s", fleet.replicas)), [])

    def test_the_late_threshold_follows_the_typical_latency(self):
        fleet = Fleet(gates=1)
        self.assertEqual(fleet.gates[0].late_threshold("s"), LATE_MIN)
        fleet.run(20.0, load=self.steady(fleet, lambda name: 0.1))
        self.assertAlmostEqual(fleet.gates[0].late_threshold("s"), LATE_FACTOR * 0.1, delta=0.05)

    def test_no_poll_is_scheduled_without_requests(self):
        fleet = Fleet(gates=1)
        fleet.request(fleet.gates[0], fleet.replicas[0], 0.01)
        fleet.clock.advance(0.5)
        for _ in range(60):
            fleet.clock.advance(0.1)
        self.assertEqual(fleet.clock.getDelayedCalls(), [])


if __name__ == "__main__":
    unittest.main()
