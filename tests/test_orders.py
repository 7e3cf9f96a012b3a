"""Configuration changes by operators that race, are repeated, and are forgotten by the leader.

Guards against a change that is both confirmed and refused."""

import unittest
from unittest.mock import patch

from oakramp.common.constants import FORGET_AGE
from oakramp.common.tasks import settled, sleep, spawn
from oakramp.common.validation import pack_json
from oakramp.control import routing
from oakramp.control.store_membership import STORES_KEY
from order_trial import OrderTrial
from test_operator import OperatorTest, document
from test_store_forming import Rig

REMEMBERED = 16  # changes; the trials are too short for CHANGES_REMEMBERED changes


class Trials(unittest.TestCase):
    """Random trials: eight concurrent orders, 70% of answers lost, repeats of orders of any age at any node."""

    def play(self, seed, **options):
        outcome = OrderTrial(seed, **options).run()
        self.assertEqual(outcome.faults, [], outcome.fault_counts)
        return outcome

    def test_history_is_linearizable_while_all_changes_are_remembered(self):
        outcome = self.play(5, seconds=12.0)
        self.assertGreater(outcome.taken, 30)
        self.assertGreater(outcome.late_repeats[True, "taken"], 10)
        self.assertGreater(outcome.late_repeats[False, "refused"], 10)

    def test_history_is_linearizable_with_forgotten_changes(self):
        outcome = self.play(2, seconds=8.0, remembered=REMEMBERED)
        self.assertGreater(outcome.taken, 2 * REMEMBERED)
        self.assertGreater(outcome.late_repeats[True, "open"], 10)

    def test_all_operators_make_progress_without_faults(self):
        outcome = self.play(9, seconds=3.0, with_faults=False)
        self.assertGreater(outcome.taken, 30)


class Repeats(OperatorTest):
    def test_change_in_flight_is_not_rejected_before_its_base_exists(self):
        """
        operator        node a            leader: newest 5       node b
        PUT 9 on 7 ---> partitioned from the leader
        PUT 9 on 7 ------------------------------------------->  ambiguous answer: a copy is in flight
        PUT 7 on 5 ------------------------------------------->  200
                        healed: sends --> 9 applied
        """
        self.put("control0", 0, document(5))
        owner = self.owner()
        node_a, node_b = self.others()[:2]
        pairs = {(node_a.machine.host, owner.machine.host), (owner.machine.host, node_a.machine.host)}
        self.fleet.network.hold(pairs)
        first = spawn(self.change(node_a.name, 7, document(9), time_left=0.3), self.fleet.lab_log)
        self.fleet.run(0.5)
        self.assertTrue(first.called)
        answer = self.put(node_b.name, 7, document(9))
        self.assertEqual(self.put(node_b.name, 5, document(7)).status, 200)
        self.fleet.network.let_go(pairs)
        self.fleet.run(4.0)
        self.assertEqual(self.read_with_retries(), document(9), "the copy in flight was applied")
        self.assertEqual(answer.status, 503, "a refused change must never be applied")
        self.assertEqual(self.put(node_b.name, 7, document(9)).status, 200)

    def test_concurrent_copies_are_all_acknowledged(self):
        """Copies are in flight at different nodes; whichever arrives first, all are acknowledged."""
        self.put("control0", 0, document(3))
        version = 3
        route = {"name": "more", "at": "h.example", "under": "/more/", "to": "g2"}
        for number in range(10):
            value = {"number": version + 2, "put": {"ways": [route | {"under": f"/{number}/"}]}}
            method = "PATCH"
            if number % 2:
                value, method = document(version + 2, more=f"/{number}/"), "PUT"
            calls = [self.change(f"control{(number + index) % 5}", version, value, method) for index in range(3)]
            answer = self.fleet.until(settled(calls))
            self.assertEqual([(one.status, one.body) for _, one in answer], [(200, {"version": version + 2})] * 3)
            version += 2
        self.assertEqual(self.read().body["number"], version)

    def test_commands_queued_at_a_leader_that_loses_its_lease_are_dropped(self):
        """
        operators       leader of `routing`      another node
        PUT 5 on 3 ---> partitioned: in progress
        PUT 5 on 3 ---> queued
        PUT 7 on 5 ---> queued
        PUT 7 on 5 ----------------------------> ambiguous answer
        PUT 5 on 3 ----------------------------> 200 by the new leader
        PUT 7 on 5 ----------------------------> 200
        PUT 6 on 3 ----------------------------> 412
                        healed: fenced; none of its commands is applied
        """
        self.put("control0", 0, document(3))
        owner, fleet = self.owner(), self.fleet
        other = self.others()[0].name
        rest = [one.machine.host for one in fleet.of_kind("control") if one is not owner]
        fleet.network.cut([owner.machine.host], rest)
        queued = [
            spawn(self.change(owner.name, base, document(number)), fleet.lab_log)
            for base, number in ((3, 5), (3, 5), (5, 7))
        ]
        ambiguous = fleet.until(self.change(other, 5, document(7), time_left=1.0), 40)
        self.assertIn(ambiguous.status, (0, 503))
        self.assertEqual(fleet.until(self.retry_at(other, 3, document(5)), 40).status, 200)
        self.assertEqual(fleet.until(self.retry_at(other, 5, document(7)), 40).status, 200)
        self.assertEqual(fleet.until(self.retry_at(other, 3, document(6)), 40).status, 412)
        fleet.network.heal()
        fleet.run(6.0)
        self.assertEqual([one.called for one in queued], [True] * 3)
        self.assertEqual([number for number in self.acknowledged if number not in (3, 5, 7)], [])
        for one in fleet.of_kind("control"):
            self.assertEqual(self.put(one.name, 3, document(5)).status, 200)
            self.assertEqual(self.read(one.name).body, document(7))

    async def retry_at(self, name, based_on, value):
        for _ in range(60):
            answer = await self.change(name, based_on, value, time_left=1.0)
            if 0 < answer.status < 500:
                return answer
            await sleep(self.reactor, 0.2)
        return answer

    def test_equal_configuration_in_other_notation_is_a_repeat(self):
        """Whitespace, order of names, escapes and case of headers don't make another configuration; values do."""
        value = document(3, é="/é/")
        self.put("control0", 0, value)
        self.put("control0", 3, document(5))
        text = pack_json(value).decode()
        same = (
            (text.replace(",", " ,\n\t").encode(), "Built-On: 0"),
            (pack_json(dict(reversed(value.items()))), "built-on:0"),
            (text.replace("\\u00e9", "é").encode(), "BUILT-ON:   0  "),
            (text.replace("g1", "\\u0067\\u0031").encode(), "Built-On: 00"),
        )
        for number, (body, header) in enumerate(same):
            answer = self.ask(f"control{number}", "PUT", body=body, headers=[header])
            self.assertEqual((answer.status, answer.body), (200, {"version": 3}), body)
        for other in (text.replace("2.5", "2.50001"), text.replace('"size":2.5', '"size":"2.5"')):
            self.assertEqual(self.ask("control0", "PUT", body=other.encode(), headers=["Built-On: 0"]).status, 412)

    def test_invalid_changes_on_a_past_base_are_rejected(self):
        self.put("control0", 0, document(3))
        self.put("control0", 3, document(5))
        for value in (document(4, to="nowhere"), document(3, to="g2"), document(9, to="nowhere")):
            self.assertIn(self.put("control1", 3, value).status, (400, 412))
        self.assertEqual(self.read().body, document(5))

    def test_repeats_get_the_same_answers_after_power_loss_of_all(self):
        """Repeats every change at some node, before and after all control nodes lost power."""
        with patch.object(routing, "CHANGES_REMEMBERED", REMEMBERED):
            count = 3 * REMEMBERED
            for number in range(count):
                self.assertEqual(self.put(f"control{number % 5}", number, document(number + 1)).status, 200)
            expected = [503] * (count - REMEMBERED) + [200] * REMEMBERED
            self.assertEqual(self.repeat_all(count), expected)
            for one in self.fleet.of_kind("control"):
                one.power_cut()
            self.fleet.run(0.5)
            for one in self.fleet.of_kind("control"):
                one.start()
            self.read_with_retries()
            self.assertEqual(self.repeat_all(count), expected)
            self.assertEqual(self.read().body, document(count))
            self.assertEqual(self.put("control0", count - 5, document(count + 5)).status, 412)

    def repeat_all(self, count):
        return [self.put(f"control{(number + 3) % 5}", number, document(number + 1)).status for number in range(count)]


class Retiring(unittest.TestCase):
    """A repeated order to retire a machine: it is always known and never refused."""

    def repeat(self, cluster, expected):
        """Sends the order and the query at each control node, through its own client."""
        for one in cluster.fleet.of_kind("control"):
            for command in ("retire", "retired"):
                asked = one.node.client.call(STORES_KEY, command, {"machine": "store0"}, 5)
                self.assertEqual(cluster.fleet.until(asked)["state"], expected, (one.name, command))

    def test_repeated_retire_is_answered_before_during_and_after_removal(self):
        """
        store0                        operator                  control nodes
                                      retire (answer lost) ---> accepted
        copied to store3              retire, at each node ---> in service
        delivered                     retire, at each node ---> delivered
        removed with its disk         retire, at each node ---> delivered
                                      retire, at each node ---> delivered, after its gossip rows were deleted
                                      retire, at each node ---> delivered, after all were killed and one was wiped
        """
        cluster = Rig(41, spares=1)
        fleet = cluster.fleet
        cluster.load(6)
        fleet.run(2.0)
        cluster.command("retire", machine="store0")
        self.repeat(cluster, "in_service")
        fleet.wait_for("delivery", lambda: cluster.command("retired", machine="store0")["state"] == "delivered")
        self.repeat(cluster, "delivered")
        fleet["store0"].power_cut()
        fleet["store0"].lose_disk()
        del fleet.by_name["store0"]
        self.repeat(cluster, "delivered")
        fleet.run(FORGET_AGE + 5.0)
        self.repeat(cluster, "delivered")
        for one in fleet.of_kind("control"):
            one.kill()
        fleet["control1"].lose_disk()
        for one in fleet.of_kind("control"):
            one.start()
        fleet.wait_formed(20.0)
        self.repeat(cluster, "delivered")


if __name__ == "__main__":
    unittest.main()
