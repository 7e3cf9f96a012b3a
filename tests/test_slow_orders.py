"""Guards against slow operator orders whose cause is not in the log: a leader, a quorum of disks, or the processor."""

import re

from oakramp.common.tasks import spawn
from test_operator import OperatorTest, document

SLOW_SYNC = 0.7  # s
PAUSE = 3.0  # s; long enough for a failover of the shard


class SlowOrders(OperatorTest):
    def lines(self, event):
        return [line for line in self.fleet.lines if f"event={event} " in line]

    def test_log_names_the_leader_that_an_order_waited_for(self):
        self.put("control0", 0, document(3))
        leader, asked = self.owner(), self.others()[0]
        leader.freeze()
        answer = self.put(asked.name, 3, document(5))
        leader.thaw()
        self.assertEqual(answer.status, 200)
        (line,) = self.lines("operator_command_slow")
        self.assertIn(f"node={asked.name} ", line)
        self.assertIn("key=routing command=put", line)
        self.assertRegex(line, rf'asked="{re.escape(leader.machine.peer)} noAnswer 0.00\+0.\d+; ')
        self.assertRegex(line, r" answered \d+\.\d+\+\d+\.\d+\"$")

    def test_slow_order_is_logged_after_its_operator_gave_up(self):
        self.put("control0", 0, document(3))
        leader, asked = self.owner(), self.others()[0]
        leader.freeze()
        abandoned = spawn(self.change(asked.name, 3, document(5), time_left=0.2), self.fleet.lab_log)
        self.fleet.run(PAUSE)
        leader.thaw()
        self.assertTrue(abandoned.called)
        self.assertEqual(len(self.lines("operator_command_slow")), 1)

    def test_log_names_the_voters_with_slow_disks(self):
        self.put("control0", 0, document(3))
        slow = self.others()[:3]
        for one in slow:
            one.disk.sync_time = SLOW_SYNC
        self.put(self.owner().name, 3, document(5))
        without = [line.rpartition("without=")[2] for line in self.lines("replication_slow")]
        self.assertTrue(without)
        slow_ids = {one.node.node.node_id for one in slow}
        for line in without:
            self.assertLessEqual(set(line.split(",")), slow_ids)

    def test_paused_process_logs_its_pause(self):
        frozen = self.others()[0]
        self.fleet.run(2.0)
        frozen.freeze()
        self.fleet.run(PAUSE)
        frozen.thaw()
        self.fleet.run(1.0)
        (line,) = self.lines("process_held_up")
        self.assertIn(f"node={frozen.name} ", line)
        self.assertAlmostEqual(float(line.rpartition("late_s=")[2]), PAUSE, delta=0.3)

    def test_quick_orders_are_not_logged(self):
        for version in (3, 5, 7):
            self.put("control1", max(0, version - 2) if version > 3 else 0, document(version))
        self.assertEqual([self.lines(event) for event in ("operator_command_slow", "process_held_up")], [[], []])
