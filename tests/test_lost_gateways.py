"""Keyed calls on a simulated fleet whose gateways end, freeze or are cut off while they hold a call, or whose control
nodes do. In the diagrams each column is one process and time runs downwards."""

import os
import sys
import unittest
from collections import Counter

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from oakramp.control.shards import shard_of_key  # noqa: E402
from oakramp.gateway.proxied_request import fingerprint_of  # noqa: E402
from test_relay import Timeline  # noqa: E402

OPERATIONS = 40
CALL_S = 2.0  # s; time of each attempt
SILENT_AFTER_S = 3.0  # s; by then a gateway that has ended counts as silent at every control node
WINDOW_S = 60.0  # s; within which a key runs once
STEP_S = 0.0002  # s; simulated time between two looks at the leader's entries


class KeyedCalls(Timeline):
    """Three replicas work on two requests each, so most calls wait in their gateway."""

    options = {"cores": 3, "gates": 2, "slots": 2, "queue": 0, "work_s": 0.15}

    def runs_with_key(self, key):
        return [run for run in self.fleet.record.runs if run.header("Operation-Key") == key]

    def ask(self, key, gate, **more):
        """Begins one attempt; returns a list that will hold it."""
        return self.fleet.begin(
            self.client.tracked(key=key, gate=self.fleet[gate], retries=0, seconds=CALL_S, fresh=True, **more)
        )

    def status(self, key, gate):
        """What one attempt is answered."""
        tries = self.fleet.until(
            self.client.tracked(key=key, gate=self.fleet[gate], retries=0, seconds=CALL_S, fresh=True)
        )
        return self.results(tries)[0]

    def leader_of(self, key):
        """(the machine that leads the key's shard, the shard's state there)"""
        shard = shard_of_key(self.stored_key(key))
        for machine in self.fleet.of_kind("core"):
            if machine.running and shard in machine.node.leaders.active:
                return machine, machine.node.leaders.active[shard]
        return None

    def stored_key(self, key):
        return "claim/" + fingerprint_of(self.fleet.HOST.encode(), key.encode())

    def run_until_claimed(self, key):
        """Runs until the key's leader has a claim on a majority of disks, and its answer has just left."""
        _, state = self.leader_of(key)
        while self.stored_key(key) not in state.entries:
            self.fleet.run(STEP_S)

    def wait_started(self, machine):
        machine.start()
        self.fleet.wait_ready()


class WaitingCalls(KeyedCalls):
    """Calls that wait for a replica in a gateway that is lost."""

    def ask_for_many(self):
        """More calls at gate0 than the replicas take; returns their keys while most of them wait."""
        keys = [f"k{number}" for number in range(OPERATIONS)]
        for key in keys:
            self.ask(key, "gate0")
        self.fleet.run(0.1)
        return keys

    def check_that_all_run_once(self, keys):
        """Those that no replica got run when they are sent again; the others may have run, and never run again."""
        never_run = [key for key in keys if not self.runs_with_key(key)]
        self.assertGreater(len(never_run), OPERATIONS / 2)
        statuses = {key: self.status(key, "gate1") for key in keys}
        self.assertEqual({statuses[key] for key in never_run}, {200})
        self.assertLessEqual({statuses[key] for key in keys}, {200, 502})
        self.assertEqual(Counter(len(self.runs_with_key(key)) for key in keys), {1: OPERATIONS})

    def test_keys_that_waited_in_a_killed_gateway_run_when_sent_again(self):
        """
        gate0                       gate1
        claims few, the rest waits
        killed, started again
                                    each key runs, or may have run and is told so; none is told 409
        """
        keys = self.ask_for_many()
        self.fleet["gate0"].kill()
        self.fleet.run(0.5)
        self.wait_started(self.fleet["gate0"])
        self.fleet.run(SILENT_AFTER_S)
        self.check_that_all_run_once(keys)

    def test_keys_that_waited_in_a_frozen_gateway_run_once_though_it_thaws(self):
        """
        gate0                       gate1
        most calls wait
        frozen
                                    each key runs, or may have run
        thawed: their time has passed
        """
        keys = self.ask_for_many()
        self.fleet["gate0"].freeze()
        self.fleet.run(SILENT_AFTER_S)
        self.check_that_all_run_once(keys)
        self.fleet["gate0"].thaw()
        self.fleet.run(5.0)
        self.assertEqual(Counter(len(self.runs_with_key(key)) for key in keys), {1: OPERATIONS})

    def test_a_gateway_that_thaws_in_time_competes_for_the_keys_of_its_waiting_calls(self):
        """Frozen for a moment only, so that the calls still have time: each key runs once, through either gateway."""
        keys = self.ask_for_many()
        self.fleet["gate0"].freeze()
        self.fleet.run(0.3)
        repeats = [self.ask(key, "gate1") for key in keys]
        self.fleet.run(0.1)
        self.fleet["gate0"].thaw()
        self.fleet.wait_for("all answers", lambda: all(repeats))
        self.fleet.run(3.0)
        self.assertLessEqual(max(len(self.runs_with_key(key)) for key in keys), 1)

    def test_keys_that_waited_run_after_all_processes_were_restarted(self):
        keys = self.ask_for_many()
        machines = list(self.fleet.machines.values())
        for one in machines:
            one.kill()
        self.fleet.run(0.8)
        for one in machines:
            one.start()
        self.fleet.wait_ready()
        self.fleet.run(SILENT_AFTER_S)
        self.check_that_all_run_once(keys)


class ClaimedCalls(KeyedCalls):
    """Calls whose gateway, or the leader of whose key, is lost after the claim."""

    def test_a_call_that_was_sent_is_told_as_at_work_and_then_as_lost(self):
        """
        gate0                       gate1
        claims, sends
        killed                      409, as long as gate0 is taken for live
                                    502 from then on: it may have run
        """
        self.ask("k", "gate0")
        self.fleet.wait_for("the run", lambda: self.runs_with_key("k"), 1.0)
        self.fleet["gate0"].kill()
        self.assertEqual(self.status("k", "gate1"), 409)
        self.fleet.run(SILENT_AFTER_S)
        for _ in range(4):
            self.assertEqual(self.status("k", "gate1"), 502)
            self.fleet.run((WINDOW_S - SILENT_AFTER_S) / 4)
        self.assertEqual(len(self.runs_with_key("k")), 1)

    def test_a_gateway_killed_between_claim_and_send_leaves_a_key_that_may_have_run(self):
        """Nobody can tell this from a request that was sent; the repeat is told neither 409 nor 503."""
        self.ask("k", "gate0")
        self.run_until_claimed("k")
        self.fleet["gate0"].kill()
        self.fleet.run(SILENT_AFTER_S)
        self.assertEqual((self.runs_with_key("k"), self.status("k", "gate1")), ([], 502))

    def test_a_gateway_frozen_between_claim_and_send_frees_the_key_when_it_thaws_late(self):
        """
        gate0                       gate1
        claims
        frozen                      502, not run
        thawed: too late to send,
        frees the key
                                    runs
        """
        self.ask("k", "gate0")
        self.run_until_claimed("k")
        self.fleet["gate0"].freeze()
        self.fleet.run(SILENT_AFTER_S)
        self.assertEqual(self.status("k", "gate1"), 502)
        self.fleet.run(5.0)
        self.fleet["gate0"].thaw()
        self.fleet.run(3.0)
        self.assertEqual(self.runs_with_key("k"), [])
        self.assertEqual((self.status("k", "gate1"), len(self.runs_with_key("k"))), (200, 1))

    def test_a_gateway_frozen_between_claim_and_send_sends_when_it_thaws_in_time(self):
        self.ask("k", "gate0")
        self.run_until_claimed("k")
        self.fleet["gate0"].freeze()
        self.fleet.run(0.2)
        self.assertEqual(self.status("k", "gate1"), 409)
        self.fleet["gate0"].thaw()
        self.fleet.run(1.0)
        self.assertEqual((self.status("k", "gate1"), len(self.runs_with_key("k"))), (200, 1))

    def test_a_gateway_cut_off_while_it_gives_its_claim_up_frees_the_key_later(self):
        """
        gate0                       core            gate1
        claims, sends: rejected
        frees        ----X          claimed
        (cut off)                                   409 or 502, not run
        (healed) ------------->     free
                                                    runs
        """
        self.fleet.plans["api"][:] = ["refuse"] * 9
        answered = self.ask("k", "gate0")
        self.run_until_claimed("k")
        heal = self.fleet.cut(["gate0"], [one.name for one in self.fleet.of_kind("core")])
        self.fleet.run(CALL_S + SILENT_AFTER_S)
        self.fleet.plans["api"].clear()
        self.assertIn(self.status("k", "gate1"), (409, 502))
        self.assertEqual(self.runs_with_key("k"), [])
        heal()
        self.fleet.run(25.0)
        self.assertEqual((self.status("k", "gate1"), len(self.runs_with_key("k"))), (200, 1))
        self.assertEqual(len(answered), 1)

    def test_a_leader_killed_after_the_claim_loses_nothing(self):
        """
        gate0           leader                  gate1
        claims ------>  on a majority, killed
                        (next leader)
        claims again, or gives up
                                                runs once, through one of them
        """
        first = self.ask("k", "gate0")
        self.run_until_claimed("k")
        machine, _ = self.leader_of("k")
        machine.kill()
        self.fleet.wait_for("the answer", lambda: first)
        self.fleet.run(25.0)
        self.assertEqual((self.status("k", "gate1"), len(self.runs_with_key("k"))), (200, 1))

    def test_power_loss_of_all_control_nodes_after_the_claim_loses_nothing(self):
        first = self.ask("k", "gate0")
        self.run_until_claimed("k")
        cores = self.fleet.of_kind("core")
        for one in cores:
            one.power_cut()
        self.fleet.run(1.0)
        for one in cores:
            one.start()
        self.fleet.wait_for("the answer", lambda: first)
        self.fleet.wait_ready()
        self.fleet.run(25.0)
        self.assertEqual((self.status("k", "gate1"), len(self.runs_with_key("k"))), (200, 1))


if __name__ == "__main__":
    unittest.main()
