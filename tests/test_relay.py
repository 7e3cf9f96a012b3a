"""Scenario tests of the whole relay plane on a simulated fleet. In the diagrams each column is one process and time runs
downwards."""

import os
import sys
import unittest
from collections import Counter

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from oakramp.common.constants import HOLD_SHARE  # noqa: E402
from oakramp.common.tasks import sleep, spawn  # noqa: E402
from oakramp.control.shards import shard_of_key  # noqa: E402
from relay_callers import Operator  # noqa: E402
from relay_checker import Observations, violations  # noqa: E402
from relay_fleet import RelayFleet  # noqa: E402

HANDOFF_LIMIT_S = 0.3  # s; the longest time that a planned handoff leaves a shard without a leader


class Timeline(unittest.TestCase):
    """After each test the checker must find no violation, and no process may have crashed."""

    seed, options = 1, {"cores": 3, "gates": 2}

    def setUp(self):
        self.fleet = RelayFleet(self.seed, **self.options).bring_up()
        self.client = self.fleet.client

    def tearDown(self):
        self.assertEqual([line for line in self.fleet.lines if "rashed" in line], [])
        self.assertEqual(violations(Observations.of(self.fleet)), {}, self.fleet.timeline())

    def results(self, tries):
        return [(one.status if one.outcome == "whole" else one.outcome) for one in tries]

    def runs_of(self, tries):
        return [run for one in tries for run in self.fleet.record.runs if run.try_id == one.try_id]


class SteadyLoad(Timeline):
    """Runs under a steady load of requests of all kinds from all zones."""

    def load(self, seconds, pause=0.05):
        self.load_until = self.fleet.time.now + seconds
        until = self.fleet.time.now + seconds

        async def steady(client):
            while self.fleet.time.now < until:
                work = self.fleet.random.choice((client.safe, client.unsafe, client.tracked, client.generate))
                spawn(work(), self.fleet.lab_log)
                await sleep(client.reactor, self.fleet.random.uniform(0, 2 * pause))

        for client in self.fleet.clients.values():
            spawn(steady(client), self.fleet.lab_log)

    def outcomes(self):
        return Counter(one.status if one.outcome == "whole" else one.outcome for one in self.fleet.callers.attempts)

    def finish(self):
        """Runs until the load has ended and its responses have arrived; returns the share of attempts answered 200."""
        self.fleet.run(max(0.0, self.load_until - self.fleet.time.now) + 5.0)
        counts = self.outcomes()
        return counts[200] / sum(counts.values())


class Start(Timeline):
    def test_first_start_serves_each_kind(self):
        """Nodes start with empty disks; the first configuration is accepted; each kind of request is served."""
        self.assertLess(self.fleet.time.now, 12.0)
        for work in (self.client.safe(), self.client.unsafe(), self.client.tracked(), self.client.generate()):
            tries = self.fleet.until(work)
            self.assertEqual(self.results(tries), [200])
        program = self.fleet.until(self.client.program(helpers=1.0, tools=3))
        self.assertEqual(program.outcome, "done")

    def test_the_longest_matching_prefix_wins_and_a_path_without_route_is_answered_404(self):
        deep = self.fleet.until(self.client.unsafe("/push/deep/1"))
        self.assertEqual([run.service for run in self.runs_of(deep)], ["alt"])
        for path in ("/", "/push", "/nowhere/1", "/pus/h/"):
            self.assertEqual(self.results(self.fleet.until(self.client.safe(path))), [404])


class Retries(Timeline):
    def plan_faults(self, *faults, service="api"):
        self.fleet.plans[service][:] = faults

    def test_a_replica_fault_is_retried_for_safe_requests_and_not_for_unsafe_ones(self):
        """
        client      gateway     replica
        safe  ----> ----------> runs, no response
                    ----------> another replica runs it
        200   <---- <----------
        unsafe ---> ----------> runs, no response
        50x   <----
        """
        for fault, ran in (("lost", 1), ("cut", 1), ("junk", 1), ("reset before", 0)):
            with self.subTest(fault=fault):
                self.plan_faults(fault)
                safe = self.fleet.until(self.client.safe(retries=0))
                self.assertEqual((self.results(safe), len(self.runs_of(safe))), ([200], 1 + ran))
                self.plan_faults(fault)
                unsafe = self.fleet.until(self.client.unsafe())
                self.assertIn(self.results(unsafe), ([502], [504]))
                self.assertEqual(len(self.runs_of(unsafe)), ran)

    def test_only_a_safe_request_is_retried_elsewhere_when_the_replica_stays_silent(self):
        """
        client      gateway     replica
        safe  ----> ----------> runs, sends nothing
                    ----------> another replica runs it, long before the client's deadline
        200   <---- <----------
        unsafe ---> ----------> runs, sends nothing; the gateway waits until the route's timeout
        """
        started = self.fleet.time.now
        self.plan_faults("silent")
        safe = self.fleet.until(self.client.safe(retries=0, seconds=3.0))
        self.assertEqual((self.results(safe), len(self.runs_of(safe))), ([200], 2))
        self.assertLess(self.fleet.time.now - started, 1.5)
        started = self.fleet.time.now
        self.plan_faults("silent")
        unsafe = self.fleet.until(self.client.unsafe(retries=0, seconds=3.0))
        self.assertNotEqual(self.results(unsafe), [200])
        self.assertEqual(len(self.runs_of(unsafe)), 1)
        self.assertGreater(self.fleet.time.now - started, 1.9, "the route's own timeout")

    def test_an_error_response_of_the_replica_is_relayed_without_a_retry(self):
        for work in (self.client.unsafe(), self.client.tracked(retries=0)):
            self.plan_faults("error")
            tries = self.fleet.until(work)
            self.assertEqual((self.results(tries), len(self.runs_of(tries))), ([500], 1))

    def test_an_unsafe_request_is_retried_after_a_not_run_guarantee(self):
        self.plan_faults("refuse")
        tries = self.fleet.until(self.client.unsafe(retries=0))
        self.assertEqual((self.results(tries), len(self.runs_of(tries))), ([200], 1))


class OperationKeys(Timeline):
    def runs_with_key(self, key):
        return [run for run in self.fleet.record.runs if run.header("Operation-Key") == key]

    def test_a_repeated_key_gets_the_first_response_through_any_gateway(self):
        first = self.fleet.until(self.client.tracked(key="k"))[-1]
        for name in ("gate0", "gate1"):
            again = self.fleet.until(self.client.tracked(key="k", gate=self.fleet[name]))[-1]
            self.assertEqual((again.status, again.stamp, again.answer), (200, first.stamp, first.answer))
            self.assertEqual(again.header("Try-Id"), again.try_id)
        self.assertEqual(len(self.runs_with_key("k")), 1)

    def test_a_key_repeated_during_its_run_waits_or_is_answered_409(self):
        """
        gate0               gate1
        claims the key, sends
                            409
        200
                            200, the same response
        """
        self.fleet.plans["api"][:] = ["slow"]
        first = self.fleet.begin(self.client.tracked(key="k", gate=self.fleet["gate0"]))
        self.fleet.run(0.1)
        second = self.fleet.until(self.client.tracked(key="k", gate=self.fleet["gate1"], retries=0))[-1]
        self.assertIn(second.status, (409, 200))
        self.fleet.wait_for("the first response", lambda: first)
        third = self.fleet.until(self.client.tracked(key="k", gate=self.fleet["gate1"]))[-1]
        self.assertEqual((third.status, third.stamp), (200, first[0][-1].stamp))

    def test_a_key_is_not_run_again_after_its_gateway_was_killed(self):
        """
        gate0                   replica         gate1
        claims the key, sends   runs
        killed                  finishes
                                                no second run for a minute
        """
        self.fleet.plans["api"][:] = ["slow"]
        self.fleet.begin(self.client.tracked(key="k", gate=self.fleet["gate0"], retries=0))
        self.fleet.wait_for("the run", lambda: self.runs_with_key("k"), 1.0)
        self.fleet["gate0"].kill()
        for _ in range(8):
            tries = self.fleet.until(self.client.tracked(key="k", gate=self.fleet["gate1"], seconds=4.0))
            self.assertNotIn(200, self.results(tries))
            self.fleet.run(5.0)
        self.assertEqual(len(self.runs_with_key("k")), 1)

    def test_a_key_may_run_after_a_not_run_guarantee(self):
        self.fleet.plans["api"][:] = ["refuse"] * 6
        refused = self.fleet.until(self.client.tracked(key="k", retries=0))
        self.assertEqual(self.results(refused), [503])
        self.fleet.plans["api"].clear()
        self.assertEqual(self.results(self.fleet.until(self.client.tracked(key="k"))), [200])


class Streams(Timeline):
    def test_a_resumable_stream_is_resumed_on_another_replica(self):
        """
        client      gateway     replica     another replica
        sends ----> ----------> 1 2 3
        1 2 3 <---- <---------- cut off
                    ----------------------> resumes after 3
        4 5 6 <---- <---------------------- 4 5 6
        """
        self.fleet.plans["lm"][:] = ["cut"]
        last = self.fleet.until(self.client.generate(retries=0))[-1]
        runs = self.runs_of([last])
        self.assertTrue(last.is_success)
        self.assertEqual([number for number, _ in last.events], [1, 2, 3, 4, 5, 6])
        self.assertEqual((len(runs), last.stamp), (2, runs[0].stamp if runs[0].events else runs[1].stamp))

    def test_a_stream_that_may_not_be_resumed_is_cut_off(self):
        for path in ("/once/1", "/chat/1"):
            self.fleet.plans["lm"][:] = ["cut"]
            last = self.fleet.until(
                self.client.call("stream", self.fleet.HOST, path, b"prompt", tokens_most=60, retries=0)
            )[-1]
            self.assertNotEqual((last.outcome, last.status), ("whole", 200))
            self.assertEqual(len(self.runs_of([last])), 1)

    def test_events_are_relayed_as_they_arrive(self):
        for replica in self.fleet.of_service("lm"):
            replica.event_s = 0.2
        last = self.fleet.until(self.client.generate())[-1]
        runs = self.runs_of([last])
        self.assertLess(last.arrived[0][0] - runs[0].at, 0.4)
        self.assertGreaterEqual(len(last.arrived), 6)

    def test_a_late_copy_of_a_response_answers_no_other_request(self):
        """
        gateway             replica
        request a   ------>
                    <------ response a
        request b   ------> response a again
        drops it, retries on another replica if the request may be repeated
        """
        for replica in self.fleet.of_service("api"):
            replica.odds["late copy"] = 0.5
            replica.odds["extra"] = 0.2
        for _ in range(40):
            safe = self.fleet.until(self.client.safe())
            self.assertEqual(self.results(safe)[-1], 200)
            self.fleet.until(self.client.unsafe())

    def test_a_response_that_arrives_a_few_bytes_at_a_time_is_served(self):
        for service, work in (("lm", self.client.generate), ("api", self.client.unsafe), ("lm", self.client.generate)):
            self.fleet.plans[service][:] = ["dribble"]
            tries = self.fleet.until(work(retries=0))
            self.assertEqual((self.results(tries), len(self.runs_of(tries))), ([200], 1))

    def test_a_client_that_gives_up_frees_its_slot_on_the_replica(self):
        """The client gives up in the middle of a stream: its slot on the replica is freed soon, and the gateway has nothing in
        flight."""
        for replica in self.fleet.of_service("lm"):
            replica.event_s = 1.0
        for work in (
            self.client.generate(retries=0, silence=0.5),
            self.client.call(
                "stream", self.fleet.HOST, "/once/1", b"prompt", tokens_most=60, retries=0, seconds=4.0, silence=0.5
            ),
        ):
            self.assertEqual(self.fleet.until(work)[-1].outcome, "given up")
        self.fleet.run(2.5)
        self.assertEqual([replica.running for replica in self.fleet.of_service("lm")], [0, 0, 0])
        for one in self.fleet.of_kind("gate"):
            self.assertEqual(
                (one.node.front.running, sum(i.in_flight for i in one.node.balancer.instances.values())), (0, 0)
            )

    def test_a_stream_cut_before_its_end_mark_is_resumed_for_it(self):
        """All events arrived but the end mark did not: the next replica has only the end mark to send."""
        for _ in range(6):
            self.fleet.plans["lm"][:] = ["cut", "cut"]
            last = self.fleet.until(self.client.generate(tokens_most=20, retries=0))[-1]
            self.assertEqual((last.status, len(last.events)), (200, 2))

    def test_a_request_to_a_silent_replica_ends_at_the_deadline(self):
        self.fleet.plans["api"][:] = ["silent"]
        last = self.fleet.until(self.client.unsafe(seconds=1.0))[-1]
        self.assertIn((last.status, last.outcome), ((504, "whole"), (0, "given up")))


class ChainedTurns(Timeline):
    def turn(self, program, previous=None, gate="gate0", session="s", **more):
        return self.fleet.until(self.client.turn(program, session, previous, gate=self.fleet[gate], **more))

    def test_turns_continue_across_conversations_and_gateways(self):
        """A conversation of three turns; two helpers continue from its second turn through different gateways, and the
        conversation itself continues too."""
        program, ids = self.client.open_program(), []
        for number in range(3):
            ids.append(self.turn(program, ids[-1] if ids else None, f"gate{number % 2}").try_id)
        helpers = [
            self.client.turn(program, f"h{number}", ids[1], gate=self.fleet[f"gate{number % 2}"]) for number in (0, 1)
        ]
        ended = [self.fleet.until(work) for work in helpers]
        ended.append(self.turn(program, ended[0].try_id, "gate0", "h0"))
        ended.append(self.turn(program, ids[2], "gate0"))
        self.assertTrue(all(one.is_success for one in ended), ended)

    def test_a_turn_that_continues_an_unknown_turn_is_answered_404(self):
        program = self.client.open_program()
        last = self.turn(program, "t-nobody")
        self.assertEqual((last.status, self.runs_of([last])), (404, []))

    def test_a_stored_turn_is_found_within_its_retention_time(self):
        program = self.client.open_program()
        first = self.turn(program)
        self.fleet.run(50.0)
        self.assertEqual(self.turn(program, first.try_id, "gate0").status, 200)

    def test_turns_through_two_gateways_do_not_exceed_one_budget(self):
        """
        gate0                   gate1                   budget 60, a turn takes at most 60
        admitted, 60 tokens     rejected with 402, or admitted after the first turn was settled
        """
        program = self.client.open_program(budget=60)
        works = [
            self.fleet.begin(self.client.turn(program, f"s{number}", gate=self.fleet[f"gate{number % 2}"], restarts=0))
            for number in range(6)
        ]
        self.fleet.wait_for("all turns", lambda: all(works))
        self.assertEqual(sorted(one[0].status for one in works), [200, 402, 402, 402, 402, 402])
        self.assertEqual(self.turn(program, restarts=0).status, 402)

    def test_a_runaway_program_is_stopped_by_its_budget(self):
        program = self.fleet.until(self.client.program(budget=600, is_runaway=True, turns=5))
        self.assertEqual(program.outcome, "budget")

    def test_a_turn_that_was_cut_off_counts_against_the_budget(self):
        program = self.client.open_program(budget=120)
        self.fleet.plans["lm"][:] = ["cut", "cut", "cut"]
        self.turn(program)
        self.fleet.run(self.fleet.bounds["settle_s"])
        handed = sum(len(one.events) for one in self.fleet.callers.attempts) * self.fleet.TOKENS_PER_EVENT
        self.assertEqual(self.turn(program).status, 200 if handed < 120 else 402)
        for _ in range(3):
            last = self.turn(program)
        self.assertEqual(last.status, 402)

    def test_without_a_store_quorum_an_unknown_turn_is_answered_503_and_not_404(self):
        """
        store0, store1      gateway
        cut off             unknown turn: 503, never 404; stored turn: 200 or 503
        back                stored turn: 200; unknown turn: 404
        """
        program = self.client.open_program()
        first = self.turn(program)
        gates = [one.name for one in self.fleet.of_kind("gate")]
        heal = self.fleet.cut(["store0", "store1"], [*gates, "store2"])
        self.fleet.run(0.5)
        statuses = [
            self.turn(program, previous, seconds=1.5, restarts=0).status for previous in (first.try_id, "t-nobody")
        ]
        self.assertIn(statuses[0], (200, 503))
        self.assertEqual(statuses[1], 503)
        heal()
        self.fleet.run(4.0)
        self.assertEqual([self.turn(program, previous).status for previous in (first.try_id, "t-nobody")], [200, 404])

    def test_a_turn_survives_the_loss_of_a_store_right_after_its_response(self):
        """
        store0              store1, store2          gateway
                                                    a turn is answered completely
        power cut, disk lost
                                                    the next turn finds it
        back with an empty disk
                                                    the turn after that is served too
        """
        for name in ("store0", "store1", "store2"):
            program = self.client.open_program()
            first = self.turn(program)
            self.fleet[name].power_cut()
            self.fleet[name].lose_disk()
            second = self.turn(program, first.try_id, "gate1", seconds=4.0)
            self.assertEqual(second.status, 200, name)
            self.fleet[name].start()
            self.fleet.run(self.fleet.bounds["rejoin_s"])
            third = self.turn(program, second.try_id, "gate0")
            self.assertEqual(third.status, 200, name)
            self.fleet.run(3.0)


class ConfigurationChanges(Timeline):
    def probe(self, version, gate="gate0", **more):
        return self.fleet.until(
            self.client.call(
                "safe", self.fleet.HOST, f"/mark{version}/1", repeatable=True, retries=0, gate=self.fleet[gate], **more
            )
        )[-1]

    def test_a_change_applies_on_all_gateways_within_the_bound(self):
        before = self.fleet.version
        changed = self.fleet.adopt(self.fleet.until(self.fleet.change()))
        self.assertEqual(changed.outcome, "taken")
        self.fleet.run(self.fleet.bounds["routing_age_s"])
        for name in ("gate0", "gate1"):
            self.assertEqual([self.probe(before, name).status, self.probe(changed.version, name).status], [404, 200])

    def test_a_waiting_request_follows_a_changed_route(self):
        """
        gateway                         operator
        unsafe request waits for api
                                        moves the route to alt
        sends it to alt, or answers that it did not run
        """
        for replica in self.fleet.of_service("api"):
            replica.work_s, replica.queue = 1.5, 0
        for _ in range(sum(replica.slots for replica in self.fleet.of_service("api"))):
            self.fleet.begin(self.client.unsafe(retries=0, seconds=4.0))
        self.fleet.run(0.2)
        waiting = self.fleet.begin(self.client.unsafe("/move/1", seconds=4.0, retries=0))
        self.fleet.run(0.1)
        document = self.fleet.make_document(3, moved_to="alt")
        self.fleet.adopt(self.fleet.until(self.fleet.operator.put(document, 1)))
        self.fleet.wait_for("the response", lambda: waiting)
        self.fleet.run(3.0)
        self.assertNotIn("api", [run.service for run in self.runs_of(waiting[0])])

    def test_one_of_two_concurrent_changes_is_accepted(self):
        for _ in range(4):
            second = Operator(self.fleet, "second")
            works = [self.fleet.begin(self.fleet.change(step=2)), self.fleet.begin(self.fleet.change(second, step=3))]
            self.fleet.wait_for("both", lambda: all(works))
            self.assertEqual(sorted(one[0].outcome for one in works), ["lost", "taken"])
            for one in works:
                self.fleet.adopt(one[0])
            self.fleet.run(1.0)
        self.fleet.callers.read_back = (200, self.fleet.until(self.fleet.operator.read()))

    def test_an_exact_repeat_is_acknowledged_again(self):
        document = self.fleet.make_document(5)
        for node in ("core0", "core1", "core2"):
            taken = self.fleet.until(self.fleet.operator.put(document, 1, node=self.fleet[node]))
            self.assertEqual(taken.status, 200)
        self.fleet.adopt(taken)
        later = self.fleet.adopt(self.fleet.until(self.fleet.change()))
        repeat = self.fleet.until(self.fleet.operator.put(document, 1))
        self.assertEqual((later.status, repeat.status), (200, 200))

    def test_invalid_configurations_are_rejected(self):
        good = self.fleet.make_document(9)
        routes = good["mail_routes"]
        bad = [
            good | {"mail_routes": [*routes, routes[0] | {"name": "second"}]},
            good | {"mail_routes": [routes[0] | {"depot": "unknown"}]},
            good | {"mail_routes": [routes[0] | {"timeout_ms": 0}]},
            good | {"mail_routes": [routes[0] | {"shares": [{"depot": "api", "share": 0}]}]},
            good | {"edition": 1},
            good | {"edition": 0},
            good | {"mail_routes": "none"},
        ]
        for document in bad:
            change = self.fleet.until(self.fleet.operator.put(document, 1, is_valid=False))
            self.assertTrue(400 <= change.status < 500, change)
        for body in (b"{", b"[]", b"", b'{"edition": 9, "edition": 10}'):
            status, _ = self.fleet.until(self.fleet.operator.ask("PUT", "/config", [("If-Match", "1")], body))
            self.assertTrue(400 <= status < 500, body)
        self.assertEqual(self.fleet.until(self.fleet.operator.read()), self.fleet.document)


class PlannedStops(SteadyLoad):
    options = {"cores": 3, "gates": 3}

    def test_a_draining_replica_gets_no_requests_after_the_bound(self):
        self.load(14.0)
        self.fleet.run(2.0)
        for service in ("lm", "api"):
            self.fleet.close_replica(self.fleet.of_service(service)[0])
            self.fleet.add_replica(service)
            self.fleet.run(4.0)
        self.assertEqual(self.finish(), 1.0, self.outcomes())

    def test_a_replica_on_a_reused_address_runs_no_request_of_the_former_service(self):
        self.load(12.0)
        self.fleet.run(1.0)
        gone = self.fleet.of_service("api")[0]
        self.fleet.crash_replica(gone)
        self.fleet.run(2.0)
        self.fleet.add_replica("alt", address=gone.address)
        self.assertGreater(self.finish(), 0.98, self.outcomes())

    def test_a_planned_gateway_stop_cuts_off_no_request(self):
        """
        load balancer       gate0                   clients
                            SIGTERM                 keep sending on open connections
        probe: not ready
        sends no more       answers what arrives
                            exits
        """
        self.load(12.0)
        self.fleet.run(2.0)
        ended = []
        self.fleet["gate0"].stop().addCallback(ended.append)
        self.fleet.run(9.0)
        self.assertTrue(ended)
        self.fleet["gate0"].start()
        self.assertEqual(self.finish(), 1.0, self.outcomes())

    def test_all_requests_are_served_while_gateways_restart_in_turn(self):
        self.load(25.0)
        for name in ("gate0", "gate1"):
            self.fleet.until(self.fleet[name].stop())
            self.fleet.run(0.5)
            self.fleet[name].start()
            self.fleet.run(3.0)
        self.assertEqual(self.finish(), 1.0, self.outcomes())

    def test_most_requests_are_served_while_core_nodes_and_stores_restart_in_turn(self):
        self.load(25.0, pause=0.1)
        for name in ("core0", "store0", "core1", "store1"):
            self.fleet.until(self.fleet[name].stop())
            self.fleet.run(0.5)
            self.fleet[name].start()
            self.fleet.run(4.0)
        self.assertGreater(self.finish(), 0.95, self.outcomes())


class Overload(SteadyLoad):
    """The load exceeds the capacity of the replicas."""

    def press(self, work, count):
        return [self.fleet.begin(work()) for _ in range(count)]

    def test_urgent_requests_are_served_first(self):
        """Both priorities at once, three times as many as can be served before their deadlines."""
        for replica in self.fleet.of_service("lm"):
            replica.event_s = 0.1

        def asked(path):
            return lambda: self.client.turn(self.client.open_program(), "s", path=path, restarts=0, seconds=4.0)

        pairs = [(asked("/plan/1"), asked("/chat/1")) for _ in range(60)]
        plain, urgent = zip(*[(self.press(one, 1)[0], self.press(other, 1)[0]) for one, other in pairs])
        self.fleet.run(12.0)
        served = [sum(one[0].is_success for one in ones) for ones in (urgent, plain)]
        self.assertGreater(served[0], 1.5 * served[1], served)
        self.assertGreater(sum(served), 30)

    def test_rejected_requests_get_an_early_503_with_retry_after(self):
        for replica in self.fleet.of_service("api"):
            replica.work_s = 1.0
        asked = self.press(lambda: self.client.unsafe(retries=0, seconds=2.0), 120)
        self.fleet.run(5.0)
        refused = [one[0][-1] for one in asked if one[0][-1].status == 503]
        self.assertGreater(len(refused), 20)
        self.assertEqual([one for one in refused if one.header("Retry-After") is None], [])
        self.assertLess(max(one.done_at - one.sent_at for one in refused), 1.5)


class NodeFailures(SteadyLoad):
    options = {}

    def leader_of(self, key):
        """The leader of the key's shard; waits up to HANDOFF_LIMIT_S, since a handoff may be under way."""
        self.fleet.wait_for(f"a leader of {key}", lambda: self._leaders_of(key), HANDOFF_LIMIT_S)
        return self._leaders_of(key)[0]

    def _leaders_of(self, key):
        return [
            one
            for one in self.fleet.of_kind("core")
            if one.running
            and any(
                leader.holds_lease() and shard_of_key(key) == slot for slot, leader in one.node.leaders.active.items()
            )
        ]

    def test_an_acknowledged_change_survives_a_kill_of_the_configuration_leader(self):
        for _ in range(3):
            leader = self.leader_of("routing")
            taken = self.fleet.adopt(self.fleet.until(self.fleet.change(limit=10.0)))
            leader.kill()
            self.assertEqual(taken.outcome, "taken")
            again = self.fleet.adopt(self.fleet.until(self.fleet.change(limit=10.0)))
            self.assertEqual(again.outcome, "taken")
            leader.start()
            self.fleet.run(4.0)
        self.fleet.callers.read_back = (200, self.fleet.until(self.fleet.operator.read()))

    def test_a_partitioned_core_accepts_changes_on_the_majority_side(self):
        """
        leader and one more     other three core nodes
        cut off from the majority
        accept nothing          accept a change within the bound after the contact time; gateways apply it
        healed
        """
        self.load(24.0, pause=0.1)
        self.fleet.run(1.0)
        minority = [self.leader_of("routing").name]
        minority.append(next(one.name for one in self.fleet.of_kind("core") if one.name not in minority))
        majority = [one.name for one in self.fleet.of_kind("core") if one.name not in minority]
        heal, cut_at = self.fleet.cut(minority, majority), self.fleet.time.now
        change = self.fleet.adopt(self.fleet.until(self.fleet.change(limit=20.0), 25.0))
        self.fleet.run(max(0.0, cut_at + 12.0 - self.fleet.time.now))
        heal()
        share = self.finish()
        self.fleet.callers.read_back = (200, self.fleet.until(self.fleet.operator.read()))
        self.assertEqual(change.outcome, "taken")
        bounds = self.fleet.bounds
        self.assertLess(change.done_at - cut_at, bounds["contact_s"] + bounds["ack_s"])
        self.assertGreater(share, 0.8, self.outcomes())

    def lose_all_power(self):
        """Cuts the power of all machines and starts them a second later; returns the time of the start."""
        came = self.fleet.time.now
        for one in self.fleet.machines.values():
            one.power_cut()
        self.fleet.run(1.0)
        for one in self.fleet.machines.values():
            one.start()
        self.fleet.closing_fault = (came, self.fleet.time.now)
        return self.fleet.time.now

    def test_requests_that_arrive_before_the_replicated_state_wait_for_it(self):
        """
        all machines                            client
        power cut, start
        gateways listen, without routing state  one attempt of each kind
        replicated state arrives                each is served by that attempt
        """
        self.fleet.run(3.0)
        self.lose_all_power()
        works = [
            self.fleet.begin(work)
            for work in (
                self.client.safe(retries=0, seconds=4.0),
                self.client.unsafe(retries=0, seconds=4.0),
                self.client.tracked(retries=0, seconds=4.0),
                self.client.generate(retries=0),
            )
        ]
        self.fleet.run(6.0)
        self.assertEqual([self.results(tries) for (tries,) in works], [[200]] * 4)

    def test_waiting_requests_get_503_when_no_replicated_state_arrives(self):
        """
        cores           gateways                        client
        killed          replicated state grows stale
                        too old to be used              one attempt
                        503 with Retry-After once HOLD_SHARE of the time left has passed, long before the deadline
        """
        for one in self.fleet.of_kind("core"):
            one.kill()
        self.fleet.run(8.0)
        started = self.fleet.time.now
        tries = self.fleet.until(self.client.unsafe(retries=0, seconds=4.0))
        self.assertEqual(self.results(tries), [503])
        self.assertAlmostEqual(self.fleet.time.now - started, HOLD_SHARE * 4.0, delta=0.1)
        self.assertLessEqual(float(tries[-1].header("Retry-After")), 0.3 * 0.6 * 4.0)

    def test_acknowledged_state_survives_a_power_cut_of_all_machines(self):
        """
        all machines                clients, operator
                                    a change, a key, a turn, half of a budget used
        power cut
        start
                                    the same version, the first response, the next turn, the rest of the budget
        """
        changed = self.fleet.adopt(self.fleet.until(self.fleet.change()))
        first = self.fleet.until(self.client.tracked(key="k"))[-1]
        program = self.client.open_program(budget=120)
        turn = self.fleet.until(self.client.turn(program, "s"))
        self.fleet.run(0.5)
        back = self.lose_all_power()
        self.fleet.wait_ready(self.fleet.bounds["recover_s"])
        self.assertEqual(self.fleet.until(self.fleet.operator.read())["edition"], changed.version)
        again = self.fleet.until(self.client.tracked(key="k", seconds=4.0, retries=6))[-1]
        self.assertEqual((again.status, again.stamp), (200, first.stamp))
        second = self.fleet.until(self.client.turn(program, "s", turn.try_id, restarts=8))
        self.assertEqual(second.status, 200)
        third = self.fleet.until(self.client.turn(program, "s", second.try_id, restarts=8))
        self.assertEqual(third.status, 402)
        self.assertLess(self.fleet.time.now - back, self.fleet.bounds["recover_s"])


if __name__ == "__main__":
    unittest.main()
