"""The capacity measurements: meters count correctly and without side effects, and slopes are linear."""

import unittest

from click.testing import CliRunner

from oakramp.rpc.endpoint import Connection
from oakramp.testbed import capacity
from oakramp.testbed.capacity import ProcessorMeter, known_slope, line_through, memory_of, replica_rows, wire_meter
from oakramp.testbed.main import main
from oakramp.testbed.plan import Size
from oakramp.testbed.simfleet import SimFleet

GIB = 1 << 30


class Lines(unittest.TestCase):
    def test_a_line_through_its_points_is_found(self):
        fixed, slope = line_through([(1, 5.0), (3, 9.0), (10, 23.0)])
        self.assertAlmostEqual(fixed, 3.0)
        self.assertAlmostEqual(slope, 2.0)

    def test_points_of_one_size_are_rejected(self):
        for points in ([], [(3, 1.0)], [(3, 1.0), (3, 2.0)]):
            with self.subTest(points=points), self.assertRaises(ValueError):
                line_through(points)


class Meters(unittest.TestCase):
    def setUp(self):
        self.fleet = SimFleet(1, Size(2, 3, 1, capacity.FEW))

    def test_both_ends_and_the_network_count_the_same_bytes(self):
        with wire_meter() as traffic:
            self.fleet.bring_up(plans=False)
            self.fleet.run(1.0)
            self.fleet.network.bytes_from.clear()
            before = {node_id: sum(one.sent.values()) for node_id, one in traffic.items()}
            self.fleet.run(1.0)
        for one in self.fleet.of_kind("store"):  # the others also speak HTTP
            node_id = one.node.node.node_id
            sent = sum(traffic[node_id].sent.values()) - before[node_id]
            self.assertEqual(sent, self.fleet.network.bytes_from[one.host.address], one.name)
        asked = sum(one.asked["pull"] for one in traffic.values())
        answered = sum(one.answered["pull"] for one in traffic.values())
        self.assertGreater(asked, 20)
        self.assertLessEqual(
            abs(asked - answered), 12
        )  # those in flight at the end, at most one for each pair of nodes

    def test_closing_a_meter_restores_connections(self):
        before = dict(vars(Connection))
        with self.assertRaises(ZeroDivisionError), wire_meter():
            1 / 0  # pylint: disable=pointless-statement
        self.assertEqual(before, dict(vars(Connection)))

    def test_processor_time_is_attributed_to_its_host(self):
        meter = ProcessorMeter(self.fleet)
        idle, busy = self.fleet["gate0"].host, self.fleet["gate1"].host
        self.fleet.time.schedule(0.1, idle, lambda: None)
        self.fleet.time.schedule(0.1, busy, lambda: sum(range(300000)))
        self.fleet.run(0.2)
        self.assertGreater(meter.busy[busy.address], 20 * meter.busy[idle.address])
        self.assertGreater(meter.busy[busy.address], 0.0005)

    def test_a_meter_does_not_change_a_run(self):
        ran = []
        for metered in (False, True):
            fleet = SimFleet(7, Size(2, 1, 1, capacity.FEW))
            if metered:
                ProcessorMeter(fleet)
            fleet.bring_up(plans=False)
            fleet.run(1.0)
            ran.append((fleet.network.sent, dict(fleet.network.bytes_from)))
        self.assertEqual(*ran)

    def test_memory_of_a_built_object_is_measured(self):
        _, held = memory_of(lambda: [bytearray(1000) for _ in range(1000)])
        self.assertTrue(1_000_000 <= held < 1_300_000, held)


class Slopes(unittest.TestCase):
    def test_each_slope_has_a_description(self):
        for name in capacity.SLOPES.names():
            with self.subTest(name=name):
                self.assertTrue(capacity.SLOPES.find(name).__doc__)

    def test_the_size_of_a_pull_is_linear_in_the_number_of_nodes(self):
        self.addCleanup(setattr, capacity, "KNOWN", capacity.KNOWN)
        capacity.KNOWN = (10, 20, 40)
        rows = known_slope()
        sizes = [rows[f"{count} nodes"]["pull B"] for count in capacity.KNOWN]
        self.assertEqual((sizes[2] - sizes[1]), 2 * (sizes[1] - sizes[0]))

    def test_the_gossip_of_one_change_does_not_depend_on_the_size_of_the_whole(self):
        self.addCleanup(setattr, capacity, "LISTED", capacity.LISTED)
        self.addCleanup(setattr, capacity, "CONFIGURED", capacity.CONFIGURED)
        capacity.LISTED, capacity.CONFIGURED = (10, 200), (10, 200)
        for slope in (capacity.replicas_slope, capacity.configuration_slope):
            rows = [row for row in slope().values() if isinstance(row, dict)]
            self.assertEqual(rows[0]["news B of a change"], rows[1]["news B of a change"], slope.__name__)
            self.assertGreater(rows[1]["whole news B"], 15 * rows[0]["whole news B"])

    def test_an_unknown_slope_is_rejected_with_a_list_of_the_known(self):
        result = CliRunner().invoke(main, ["measure", "capacity.nothing"])
        self.assertEqual(result.exit_code, 1)
        self.assertIn("known: ", result.output)

    def test_replica_rows_are_unique(self):
        rows = replica_rows(12000)
        self.assertEqual(len({row["id"] for row in rows}), 12000)
        self.assertEqual(len({row["address"] for row in rows}), 12000)


if __name__ == "__main__":
    unittest.main()
