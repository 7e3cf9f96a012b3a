"""Stores replaced, emptied, lost and pruned. One column a node; time runs down."""

import json
import random
import unittest

from hypothesis import given, settings, strategies as st

from oakramp.common.constants import CONTACT_AGE
from oakramp.common.structured_logging import EventLogger
from oakramp.common.tasks import spawn
from oakramp.control.shards import shard_of_key
from oakramp.storage.circular_log import CircularLog
from oakramp.store.record_table import ConversationTable, store_of
from oakramp.testbed.simdisk import SimDisk
from oakramp.testbed.simfleet import SimFleet
from oakramp.testbed.simnet import SimHost, SimNetwork, SimReactor, SimTime
from oakramp.testbed.work import leader_work, store_work
from oakramp.version_vectors.version_vector import VersionVector, leq


class TableRig:
    """One store's table on a simulated disk, without a fleet."""

    def __init__(self, node_id, time=None):
        self.time = time or SimTime()
        self.host = SimHost(SimNetwork(self.time, random.Random(1)), "127.0.0.1")
        self.disk = SimDisk(self.time, random.Random(2))
        self.disk.attach(self.host)
        self.reactor, self.node_id, self.log = SimReactor(self.host), node_id, EventLogger(lambda line: None)
        self.table = ConversationTable(self, CircularLog(self.disk, self.log, 1 << 16))

    def do(self, deferred):
        outcome = []
        deferred.addBoth(outcome.append)
        self.time.advance_to(self.time.now + 0.1)
        if hasattr(outcome[0], "raiseException"):
            outcome[0].raiseException()
        return outcome[0]

    def put(self, context, value, key="k"):
        return self.do(self.table.put(key, frozenset(context), value))[1]

    def take(self, other, key="k"):
        self.do(self.table.merge(key, dict(other.table.versions(key)), 0.0))

    def values(self, key="k"):
        return sorted(self.table.versions(key).values())


class Tables(unittest.TestCase):
    def test_counter_is_not_reused_after_letting_go(self):
        """
        a                               b
        put x ------------------------> {x}
        lets the line go
        put y, with no context
        <------------------------------ {x}: y and x are siblings, neither is taken for the other
        """
        time = SimTime()
        a, b = TableRig("a", time), TableRig("b", time)
        a.put([], b"x")
        b.take(a)
        time.advance_to(time.now + 10000)
        a.do(a.table.drop_expired("k"))
        self.assertEqual(a.values(), [])
        a.put([], b"y")
        a.take(b)
        self.assertEqual(a.values(), [b"x", b"y"])

    def test_full_ring_lets_lines_go_sooner(self):
        """
        ring nearly full: lines older than 150 s go, younger ones stay; with room: all stay for 15 minutes
        """
        rig = TableRig("a")
        rig.put([], bytes(1000), "small")
        rig.time.advance_to(rig.time.now + 200)
        self.assertEqual(rig.table.expired_keys(), [])
        for index in range(100):
            rig.put([], bytes(1000), f"k{index}")
        self.assertEqual(rig.table.expired_keys(), ["small"])
        rig.time.advance_to(rig.time.now + 160)
        self.assertEqual(len(rig.table.expired_keys()), 101)

    def test_late_context_of_the_old_set(self):
        """
        r (retired)     a                         b
        put x --------> {x}   ------------------> {x}
                        put y on x -------------> {y}
                        r pruned                  r pruned
                        put z on the old read of {x}: z is a sibling of y, x stays superseded
        """
        r, a, b = TableRig("r"), TableRig("a"), TableRig("b")
        x = r.put([], b"x")
        a.take(r)
        b.take(a)
        y = a.put([x], b"y")
        b.take(a)
        for one in (a, b):
            one.table.prune(frozenset(["r"]))
        a.put([y], b"z")
        self.assertEqual(a.values(), [b"z"], "the context that a gate kept from before counts as it did")
        b.take(a)
        self.assertEqual(b.values(), [b"z"])
        self.assertFalse(
            [clock for clock in b.table.versions("k") for clock_id in clock.entries if store_of(clock_id) == "r"]
        )

    def test_unpruned_replica_does_not_resurrect(self):
        """
        a                             b
        {y}, with r's entry           {y}, with r's entry
        r pruned; put z on y          not pruned yet
        <---------------------------- {y}: stays superseded
        """
        r, a, b = TableRig("r"), TableRig("a"), TableRig("b")
        x = r.put([], b"x")
        a.take(r)
        y = a.put([x], b"y")
        b.take(a)
        a.table.prune(frozenset(["r"]))
        a.put([y], b"z")
        a.take(b)
        self.assertEqual(a.values(), [b"z"])

    @settings(derandomize=True, max_examples=120, deadline=None, database=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["put", "take", "read", "replace", "prune"]),
                st.integers(0, 2),
                st.integers(0, 2),
                st.integers(0, 9),
            ),
            max_size=30,
        )
    )
    def test_replaced_at_random_equals_causal_histories(self, steps):
        """Stores put, sync and are replaced; an id is pruned once no row anywhere is numbered by it."""
        rigs = [TableRig(name) for name in "abc"]
        histories = [{} for _ in rigs]  # what the table should hold: value -> causal history
        contexts = [(frozenset(), frozenset())]
        retired, minted = set(), 0

        def sync(left, right):
            both = left | right
            return {
                value: history for value, history in both.items() if not any(history < other for other in both.values())
            }

        for step, one, other, pick in steps:
            if step == "read":
                contexts.append((frozenset(rigs[one].table.versions("k")), frozenset().union(*histories[one].values())))
            elif step == "put":
                clocks, history = contexts[pick % len(contexts)]
                minted += 1
                value = b"%d" % minted
                rigs[one].put(clocks, value)
                histories[one] = sync(histories[one], {value: history | {value}})
            elif step == "take":
                rigs[one].take(rigs[other])
                histories[one] = sync(histories[one], histories[other])
            elif step == "replace":
                # The newcomer copies from the two that stay, as covering asks for.
                retired.add(rigs[one].node_id)
                rigs[one] = TableRig(f"n{minted}x{len(retired)}")
                histories[one] = {}
                for stays in {0, 1, 2} - {one}:
                    rigs[one].take(rigs[stays])
                    histories[one] = sync(histories[one], histories[stays])
            else:
                used = {store_id for rig in rigs for store_id in rig.table.dots()}
                for rig in rigs:
                    rig.table.prune(frozenset(retired - used))
            for rig, expected in zip(rigs, histories):
                self.assertEqual(set(rig.values()), set(expected))


class Work(unittest.TestCase):
    def test_does_not_grow_with_what_is_kept(self):
        """Functions called, not time: a hundred times as many lines or programs cost no step noticeably more."""
        for work, few, many in ((store_work, 1000, 20000), (leader_work, 100, 10000)):
            little, much = work(few), work(many)
            for step, count in little.items():
                self.assertLess(much[step], 1.5 * count + 20, (step, little, much))


class Replacing(unittest.TestCase):
    def setUp(self):
        self.fleet = SimFleet(4).bring_up()

    def tearDown(self):
        self.assertEqual(self.fleet.violations(), {}, self.fleet.timeline())
        self.assertEqual([line for line in self.fleet.lines if "rashed" in line], [])

    def ask(self, method, path, value=None):
        return self.fleet.until(self.fleet.operator.ask(method, path, value), 60)

    def joining_member(self, number=3):
        one = self.fleet.add("store", number)
        one.start()
        self.fleet.wait_for(
            "the newcomer being known",
            lambda: any(
                row["machine"] == one.name and row["condition"] == "live"
                for row in self.ask("GET", "/v1/nodes")[1]["nodes"]
            ),
        )
        self.fleet.run(1.0)  # for the other control nodes to hear of it too
        return one

    def replace(self, leaving_id, joining):
        record = self.ask("GET", "/v1/stores")[1]
        return self.ask(
            "POST",
            "/v1/stores/replace",
            {
                "basedOn": record["version"],
                "leaving": leaving_id,
                "joining": {"nodeId": joining.node.node.node_id, "peer": joining.machine.peer},
            },
        )

    def phase(self):
        return self.ask("GET", "/v1/stores")[1]["phase"]

    def wait_stable(self, limit=60.0):
        self.fleet.wait_for("the replacement", lambda: self.phase() == "stable", limit)

    def lines(self, count):
        fleet = self.fleet
        fleet.until(fleet.client.open_program("nile", "p", 100000))
        return [fleet.until(fleet.client.turn("nile", "p", f"l{index}", None, "first")) for index in range(count)]

    def go_on(self, asked):
        fleet = self.fleet
        after = fleet.until(
            fleet.client.turn("nile", "p", asked.conversation, asked.body["turnId"], "on", attempts=20), 60
        )
        self.assertTrue(after.ended())

    def test_emptied_under_load(self):
        """
        store0       store1       store2       store3
                                               empty, joins, copies; load all the while
        leaves                                 votes
        ended        ended                     serves what only the other two had
        """
        fleet = self.fleet
        asked = self.lines(10)
        new, old = self.joining_member(), fleet["store0"]
        fleet.start_mix(8, clients=4)
        status, said = self.replace(old.node.node.node_id, new)
        self.assertEqual((status, said["phase"]), (200, "joining"))
        self.wait_stable()
        fleet.run(20.0)
        self.assertIn(new.node.node.node_id, [row["nodeId"] for row in self.ask("GET", "/v1/stores")[1]["members"]])
        old.kill()
        fleet["store1"].kill()
        fleet.run(3.0)
        for one in asked:
            self.go_on(one)
        fleet["store1"].start()

    def test_nothing_is_kept_for_a_retired_store(self):
        """
        store0       store1, store2            store3
        killed       note what it misses
        leaves                                 takes its place
                     forget it
        """
        fleet = self.fleet
        self.lines(1)
        old_id = fleet["store0"].node.node.node_id
        fleet["store0"].kill()
        self.lines(6)
        self.assertEqual(sum(one.node.store.hint_count() for one in fleet.of_kind("store") if one.running), 6)
        self.assertEqual(self.replace(old_id, self.joining_member())[0], 200)
        self.wait_stable()
        fleet.run(5.0)
        self.assertEqual([one.node.store.hints_by_member() for one in fleet.of_kind("store") if one.running], [{}] * 3)

    def test_failed_disk_does_not_stop_the_news(self):
        """
        store2                       control0
        disk takes no more writes
                                     killed: addresses change, which store2 cannot write down
        still hears of plans
        """
        fleet = self.fleet
        fleet["store2"].disk.failing = True
        fleet["control0"].kill()
        fleet.run(4.0)
        state_table = fleet["store2"].node.node.state_table
        self.assertLess(state_table.age("blueprint/nile"), 1.5)
        self.assertTrue(any("addresses_not_saved" in line for line in fleet.lines))

    def test_lost_disk(self):
        """
        store0                     store1, store2
        power cut, disk lost
        back empty: a new id,      go on
        no vote
        replaces its former self: copies, votes
        """
        fleet = self.fleet
        asked = self.lines(5)
        previous_id = fleet["store0"].node.node.node_id
        fleet["store0"].power_cut()
        fleet["store0"].lose_disk()
        fleet["store0"].start()
        fleet.run(4.0)
        self.assertNotEqual(fleet["store0"].node.node.node_id, previous_id)
        self.assertFalse(fleet["store0"].node.store.covers)
        self.assertEqual(self.replace(previous_id, fleet["store0"])[0], 200)
        self.wait_stable()
        fleet["store1"].kill()
        fleet.run(3.0)
        for one in asked:
            self.go_on(one)

    def test_crash_anywhere_resumes(self):
        """
        owner of the set    store3 (joins)    store0 (leaves)
        killed in joining   killed, back      power cut, back
        """
        fleet = self.fleet
        asked = self.lines(5)
        new = self.joining_member()
        self.assertEqual(self.replace(fleet["store0"].node.node.node_id, new)[0], 200)
        owner = next(one for one in fleet.of_kind("control") if shard_of_key("storeset") in one.node.leaders.active)
        owner.kill()
        new.kill()
        fleet["store0"].power_cut()
        fleet.run(2.0)
        new.start()
        fleet.run(1.0)
        fleet["store0"].start()
        self.wait_stable()
        owner.start()
        fleet.run(3.0)
        for one in asked:
            self.go_on(one)

    def test_joining_member_has_no_read_vote(self):
        """
        store0         store1         store2         store3 (empty, in store0's place, has not copied)
        keeps t        keeps t        away
        lost           power cut      back, lacks t  lacks t
        a turn after t: store2 and store3 answer, but store3 may not speak -> cannot tell, never gone
        """
        fleet = self.fleet
        new = self.joining_member()
        fleet["store2"].kill()
        asked = self.lines(1)[0]
        stores = [fleet["store1"], fleet["store2"], new]
        record = {
            "version": 5,
            "phase": "stable",
            "joining": None,
            "leaving": None,
            "retired": [],
            "pruned": [],
            "members": [
                {"nodeId": one.node.node.node_id, "peer": one.machine.peer, "since": 4 if one is new else 1}
                for one in stores
            ],
        }
        fleet["store0"].kill()
        fleet["store1"].power_cut()
        fleet["store2"].start()
        # As the set would stand if a newcomer counted at once.
        for one in [fleet["store2"], new, *fleet.of_kind("gate")]:
            one.node.node.state_table.set_items("storeset", 5, {"set": json.dumps(record).encode()})
        fleet.run(1.0)
        after = fleet.until(
            fleet.client.turn("nile", "p", asked.conversation, asked.body["turnId"], "on", attempts=1, time_left=4), 30
        )
        self.assertEqual(after.attempts[0].error, "cannotTell")

    def test_lost_yes_is_not_followed_by_a_no(self):
        """
        operator        control node            owner of the set
        cancel ------>  asks -----------------> called off
                        X <-------------------- yes is lost
                        asks again -----------> there is nothing to call off
                <-----  unknown, not no
        """
        fleet = self.fleet
        new = self.joining_member()
        new.freeze()
        self.assertEqual(self.replace(fleet["store0"].node.node.node_id, new)[0], 200)
        owner = next(one for one in fleet.of_kind("control") if shard_of_key("storeset") in one.node.leaders.active)
        requester = next(one for one in fleet.of_kind("control") if one is not owner)
        epoch = self.ask("GET", "/v1/stores")[1]["version"]
        away = [(owner.host.address, requester.host.address)]
        fleet.network.hold(away)
        asked = spawn(
            fleet.operator._client.json("POST", requester.machine.http, "/v1/stores/cancel", {"basedOn": epoch}, 20),
            fleet.lab_log,
        )
        fleet.run(2.01)
        for one in fleet.of_kind("control"):
            for connection in list(one.node.node.net.connections):
                connection.transport.abortConnection()  # so that the yes is lost for good
        fleet.network.let_go(away)
        status, said = fleet.until(asked, 30)
        self.assertEqual((status, said["verdict"]), (502, "maybe"), said)
        self.assertEqual(self.phase(), "stable")
        new.thaw()

    def test_spare_of_another_cluster_is_refused(self):
        """Its disk says that it belongs elsewhere: nobody speaks with it, and it takes nobody's place."""
        fleet = self.fleet
        spare = fleet.add("store", 3)
        spare.disk.replace(
            "identity", json.dumps({"nodeId": "store3.0f", "clusterId": "another", "addresses": []}).encode()
        )
        spare.start()
        fleet.run(4.0)
        status, said = self.replace(fleet["store0"].node.node.node_id, spare)
        self.assertEqual((status, said["error"]), (503, "cannotTell"), "who is live is not certain yet")
        fleet.run(CONTACT_AGE)
        self.assertTrue(any("event=peer_connection_closed" in line and "otherCluster" in line for line in fleet.lines))
        status, said = self.replace(fleet["store0"].node.node.node_id, spare)
        self.assertEqual((status, said["verdict"]), (400, "no"))
        self.assertIn("not a live store of this cluster", said["reason"])
        self.assertEqual(self.phase(), "stable")

    def test_id_in_use_is_not_pruned(self):
        """A line that nobody goes on with still has its version numbered by the store that left."""
        fleet = self.fleet
        self.lines(6)
        old, new = fleet["store0"], self.joining_member()
        old_id = old.node.node.node_id
        self.assertTrue(any(old_id in one.node.store.table.dots() for one in fleet.of_kind("store")))
        self.replace(old_id, new)
        self.wait_stable()
        fleet.run(8.0)
        self.assertEqual(self.ask("GET", "/v1/stores")[1]["pruned"], [])

    def test_refusals(self):
        fleet = self.fleet
        new = self.joining_member()
        ids = [one.node.node.node_id for one in fleet.of_kind("store")]
        self.assertEqual(self.replace("store9", new)[0], 404)
        self.assertEqual(self.replace(ids[0], fleet["store1"])[1]["verdict"], "no")
        self.assertEqual(self.replace(ids[0], fleet["gate0"])[1]["verdict"], "no")
        fleet.run(CONTACT_AGE)
        fleet["store1"].kill()
        fleet.run(3.0)
        status, said = self.replace(ids[0], new)
        self.assertEqual((status, said["verdict"]), (400, "no"))
        self.assertIn("too few copies", said["reason"])
        fleet["store1"].start()
        fleet.run(3.0)
        new.freeze()
        self.assertEqual(self.replace(ids[0], new)[0], 200)
        self.assertEqual(self.replace(ids[1], new)[0], 409, "one replacement at a time")
        fleet.run(2.0)
        record = self.ask("GET", "/v1/stores")[1]
        status, said = self.ask("POST", "/v1/stores/cancel", {"basedOn": record["version"]})
        self.assertEqual((status, said["phase"]), (200, "stable"))
        new.thaw()
        fleet.run(3.0)
        self.assertFalse(new.node.store.covers, "what left the set and missed writes does not speak")

    def test_retired_ids_are_pruned(self):
        fleet = self.fleet
        asked = self.lines(4)
        old, new = fleet["store0"], self.joining_member()
        old_id = old.node.node.node_id
        self.replace(old_id, new)
        self.wait_stable()
        for one in asked:
            self.go_on(one)
        fleet.wait_for("pruning", lambda: old_id in self.ask("GET", "/v1/stores")[1]["pruned"], 60)
        fleet.run(2.0)
        for one in fleet.of_kind("store"):
            if one is not old:
                self.assertFalse(
                    [
                        clock
                        for row in one.node.store.table.rows.values()
                        for clock in row.versions
                        if any(store_of(clock_id) == old_id for clock_id in clock.entries)
                    ]
                )


class Clocks(unittest.TestCase):
    def test_stripping_keeps_the_order(self):
        """Without a version numbered by r, dropping r's entries changes no comparison."""
        x, y = VersionVector({"r": 3, "a": (0, 1)}), VersionVector({"r": 3, "a": (1, 2)})
        z = VersionVector({"r": 3, "b": (0, 1)})
        bare = [
            VersionVector({name: (m, n) if n else m for name, (m, n) in clock.entries.items() if name != "r"})
            for clock in (x, y, z)
        ]
        self.assertEqual(
            [[leq(one, other) for other in (x, y, z)] for one in (x, y, z)],
            [[leq(one, other) for other in bare] for one in bare],
        )
