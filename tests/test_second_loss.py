"""Guards against acknowledged data that is lost or unavailable when a second machine fails right after a loss, a repair
or a replacement.

Diagrams in docstrings have one column per node; time runs downwards.
"""

import unittest

from second_loss import SERVED, ControlLab, StoreLab, play

from oakramp.common.constants import REJOIN, SHARDS, SNAPSHOT_PART, STORES_LEAVING_TIME
from oakramp.common.errors import OakrampError, QuorumUnavailableError, TurnExpiredError
from oakramp.control.store_membership import STORES_KEY
from oakramp.rpc.codec import idl
from oakramp.testbed.plan import Size
from oakramp.testbed.simfleet import SimFleet
from test_store_forming import Rig


class PreviousIncarnation(unittest.TestCase):
    """A store that lost its disk listens at the address of its previous incarnation, but must not be mistaken for it."""

    def return_empty(self, rig, name="store1"):
        """Brings the store back so soon that its previous incarnation still counts as live; it is about to replace it."""
        rig.wipe(name, 0.2)
        rig.fleet.wait_for("joining", lambda: rig.record()["phase"] == "joining")
        return rig.fleet[name]

    def cut(self, rig, one, others):
        rig.fleet.network.cut([rig.fleet[one].host.address], [rig.fleet[name].host.address for name in others])

    def test_a_copy_from_its_own_address_does_not_count(self):
        """
        store0              store1                store2
                            disk lost, back       unreachable from store1
        is copied from      does not count: it has copied from one of three only
        """
        rig = Rig(60)
        rig.turn("t0")
        self.cut(rig, "store1", ["store2"])
        one = self.return_empty(rig)
        rig.fleet.run(3.0)
        self.assertFalse(one.node.store.covers)
        rig.fleet.network.heal()
        rig.wait_full(["store0", "store1", "store2"])

    def test_a_turn_on_the_other_two_is_not_reported_gone(self):
        """
        gate             store0             store1          store2
        retains t        (no power)         keeps t         keeps t
                         back               disk lost
                                            back            unreachable from the others
        asks for t       does not have it   nor does it     has it
        must not be told that t is gone
        """
        rig = Rig(61)
        rig.turn("t0")
        rig.fleet["store0"].power_cut()
        rig.turn("t1", "t0")
        rig.fleet["store0"].start()
        self.cut(rig, "store2", ["store0", "store1", "gate0", "gate1"])
        self.return_empty(rig)
        rig.fleet.run(1.0)
        with self.assertRaises(OakrampError) as raised:
            rig.read_history("t1", time_left=1)
        self.assertNotIsInstance(raised.exception, TurnExpiredError)
        rig.fleet.network.heal()
        rig.wait_full(["store0", "store1", "store2"])
        rig.check_all(self)

    def test_a_write_to_it_does_not_count_for_its_previous_id(self):
        """
        gate                       store0    store1            store2
                                             disk lost, back   out of reach
        retains t
        must not be told that t    keeps t   keeps t           of the three that were members, only one keeps it
        is kept
        """
        rig = Rig(62)
        rig.turn("t0")
        self.return_empty(rig)
        self.cut(rig, "store2", ["store0", "store1", "gate0", "gate1", *(f"control{n}" for n in range(3))])
        with self.assertRaises(OakrampError):
            rig.turn("t1", "t0", time_left=2)
        rig.fleet.network.heal()
        rig.wait_full(["store0", "store1", "store2"])
        rig.check_all(self)


class CatchingUp(unittest.TestCase):
    """A voter that was away has all snapshots on its disk REJOIN after its return, also if no further change is made."""

    def test_catches_up_without_further_writes(self):
        """
        control1                      the others
        no power, cut off, frozen     a change in every shard is acknowledged; after that, there are none
        back: has all of them
        """
        for seed, trouble in enumerate(("power", "cut", "freeze")):
            with self.subTest(trouble=trouble):
                lab = ControlLab(50 + seed)
                one, network = lab.fleet["control1"], lab.fleet.network
                others = [other.host.address for other in lab.fleet.by_name.values() if other is not one]
                begin, end = {
                    "power": (one.power_cut, one.start),
                    "cut": (lambda: network.cut([one.host.address], others), network.heal),
                    "freeze": (one.freeze, one.thaw),
                }[trouble]
                lab.write_all_shards()
                begin()
                lab.write_all_shards()
                lab.fleet.run(2.5)
                end()
                lab.fleet.run(REJOIN)
                self.assertEqual(lab.missing(one), set())

    def test_a_minority_that_promised_a_later_epoch(self):
        """
        control1                            leader of a shard              a candidate
        promises a later epoch, or the same                                finds no majority, and gives up
        rejects what the leader writes      serves with the others
        has the newest snapshot, REJOIN after
        """
        for seed, raised in ((57, 0), (58, 1)):
            with self.subTest(above=raised):
                lab = ControlLab(seed)
                lab.write_all_shards()
                shard = next(shard for shard in range(SHARDS) if self.promise_to_another(lab, shard, raised))
                lab.write_all_shards()
                lab.fleet.run(REJOIN)
                for one in lab.running():
                    self.assertEqual(lab.missing(one), set(), (one.name, shard))
                self.assertEqual(lab.lost(), [])

    def promise_to_another(self, lab, shard, raised):
        """Makes a voter that the majority does not need promise an epoch to a node that is not the leader; returns whether
        it did."""
        owner = next(one for one in lab.running() if shard in one.node.leaders.active)
        one, candidate = [one for one in lab.running() if one is not owner][:2]
        if not raised:
            one.node.voter._tables[shard].promised_epoch -= 1  # as if the leader's prepare had not arrived
        epoch = owner.node.leaders.active[shard].epoch + raised
        arguments = {"shard": shard, "epoch": epoch, "owner": candidate.node.node.node_id, "parts": True}
        return lab.fleet.until(
            one.node.node.net.handlers["prepare"](
                idl.Hello(node_id=candidate.node.node.node_id),
                idl.prepare_args(**arguments, voting_config_version=lab.voting_config().version),
            )
        ).granted

    def test_long_snapshots(self):
        """Snapshots of several messages each, and a voter that was away while they grew."""
        lab = ControlLab(55, ring_file_size=1 << 20)
        one = lab.fleet["control1"]
        one.power_cut()
        lab.write_long(2 * SNAPSHOT_PART)
        one.start()
        lab.fleet.run(REJOIN)
        self.assertEqual(lab.missing(one), set())

    def test_nothing_is_sent_in_a_steady_state(self):
        """Neither with all members live nor with one gone for good."""
        lab = ControlLab(56)
        lab.write_all_shards()
        for is_gone in (False, True):
            if is_gone:
                lab.gone("control1", 5.0)
            lab.fleet.run(REJOIN)

            def calls():
                counts = [one.node.node.net.call_counts for one in lab.running()]
                return [sum(one.get(method, 0) for method in ("accept", "acceptMany", "stage")) for one in counts]

            before = calls()
            lab.fleet.run(10.0)
            self.assertEqual(calls(), before)


class ReplacedStore(unittest.TestCase):
    """A store is removed for good and an empty one is added at another address; another store loses its disk as soon as
    the empty one has been there for REJOIN or, if the empty one was added first, as soon as the removed one has
    ended."""

    def lose_another(self, rig, name):
        """Loses the disk of another store. Everything acknowledged stays, the two complete stores serve, and the third one
        is a full member again in time."""
        back_at = rig.wipe(name, 0.5)
        count, until = len(rig.acknowledged), back_at + SERVED
        rig.fleet.wait_for("a turn to be kept", lambda: len(rig.acknowledged) > count, until - rig.fleet.time.now)
        rig.wait_full()
        self.assertLess(rig.fleet.time.now - back_at, REJOIN + 0.1, rig.fleet.timeline())
        rig.fleet.run(3.0)
        rig.check_all(self)

    def test_lost_for_good(self):
        """
        store2              store3                        store1
        gone for good
                            starts empty, elsewhere
                            a full member in REJOIN
                                                          disk lost, back
        """
        for seed, (wait, name) in enumerate(((0.1, "store0"), (1.0, "store1"))):
            with self.subTest(wait=wait, second=name):
                rig = Rig(70 + seed)
                rig.load(20)
                rig.fleet.run(2.0)
                rig.fleet["store2"].power_cut()
                rig.fleet.run(wait)
                rig.fleet.add("store", 3).start()
                rig.fleet.run(REJOIN)
                self.assertTrue(rig.fleet["store3"].node.store.covers)
                self.lose_another(rig, name)

    def test_planned(self):
        """
        store3                  store2                    store1
        starts empty
                                told to stop: ends once store3 has replaced it
                                                          disk lost, back
        """
        for seed, (wait, name) in enumerate(((3.5, "store1"), (8.0, "store0"))):
            with self.subTest(wait=wait, second=name):
                rig = Rig(80 + seed)
                rig.load(25)
                rig.fleet.run(2.0)
                rig.fleet.add("store", 3).start()
                began = rig.fleet.time.now
                rig.fleet.run(wait)
                asked = rig.fleet.time.now
                rig.fleet["store2"].stop()
                rig.fleet.wait_for("the end of the former one", lambda: not rig.fleet["store2"].running, 8.0)
                self.assertLess(rig.fleet.time.now - asked, STORES_LEAVING_TIME / 2)
                self.assertTrue(rig.fleet["store3"].node.store.covers)
                rig.fleet.run(max(0.0, began + REJOIN - rig.fleet.time.now))
                self.lose_another(rig, name)

    def test_a_stopping_store_serves_until_the_spare_is_complete(self):
        """Like `test_planned`, with a spare that takes long to copy; the next disk is lost right after the store ended."""
        rig = Rig(89)
        rig.load(12)
        rig.fleet.run(2.0)
        rig.fleet.add("store", 3).start()
        rig.fleet["store3"].disk.sync_time = 0.1
        rig.fleet.run(REJOIN)
        rig.fleet["store2"].stop()
        rig.fleet.wait_for("the end of the former one", lambda: not rig.fleet["store2"].running, 8.0)
        self.assertTrue(rig.fleet["store3"].node.store.covers)
        self.lose_another(rig, "store1")

    def test_a_planned_stop_without_a_spare_ends_at_once(self):
        rig = Rig(90)
        rig.turn("t0")
        began = rig.fleet.time.now
        rig.fleet["store2"].stop()
        rig.fleet.wait_for("its end", lambda: not rig.fleet["store2"].running, 5.0)
        self.assertLess(rig.fleet.time.now - began, 1.0)
        rig.fleet["store2"].start()
        rig.wait_full(["store0", "store1", "store2"])
        self.assertEqual(rig.record()["version"], 1)

    def test_a_stopped_and_restarted_store_is_a_spare(self):
        """
        store2                               store3 (a spare)
        told to stop, ends                   has replaced it
        back with its disk: empties it,
        starts under a new id as a spare
        """
        rig = Rig(91, spares=1)
        rig.load(12)
        rig.fleet.run(2.0)
        previous = rig.fleet["store2"].node.node.node_id
        rig.fleet["store2"].stop()
        rig.fleet.wait_for("its end", lambda: not rig.fleet["store2"].running, 5.0)
        self.assertEqual({one.name for one in rig.members()}, {"store0", "store1", "store3"})
        rig.fleet["store2"].start()
        rig.fleet.run(2.0)
        self.assertNotEqual(rig.fleet["store2"].node.node.node_id, previous)
        rig.fleet.run(6.0)
        rig.check_all(self)


class Retiring(unittest.TestCase):
    def test_an_order_before_the_set_is_formed_is_retriable(self):
        """The order is answered with a retriable error: a version of the store set without members would be mistaken for
        one that is formed."""
        fleet = SimFleet(95, Size(1, 4, 3, ()), self_forming=True)
        for one in fleet.of_kind("control"):
            one.start()
        fleet.wait_formed()
        for one in fleet.of_kind("control"):
            one.node.store_watch.stop()
        for one in fleet.of_kind("store"):
            one.start()
        fleet.run(1.0)
        order = fleet["control0"].node.client.call(STORES_KEY, "retire", {"machine": "store0"}, 1.0)
        with self.assertRaises(QuorumUnavailableError):
            fleet.until(order)
        for one in fleet.of_kind("control"):
            one.node.store_watch.start()
        fleet.run(1.0)
        stores = [one.node.store for one in fleet.of_kind("store")]
        self.assertEqual(len([store for store in stores if store.covers]), 3)


class Matrix(unittest.TestCase):
    """Some cases of the matrix that second_loss.py runs by hand; seeds and cases are fixed."""

    ROWS = (
        (ControlLab, ("wipe", 0.2), "wipe", "owner", REJOIN),
        (ControlLab, ("replace_planned", 2.0), "wipe", "owner", REJOIN),
        (ControlLab, ("wipe", 1.0), "wipe", 0, "joint"),
        (StoreLab, ("wipe", 1.0), "power", "owner", "moving"),
        (StoreLab, ("order_retirement", 0.0), "wipe", 0, 0.1),
    )

    def test_rows(self):
        for number, (lab_class, *row) in enumerate(self.ROWS):
            with self.subTest(kind=lab_class.kind, row=row):
                play(lab_class, 576 + number, *row)


if __name__ == "__main__":
    unittest.main()
