"""A log whose disk refuses for a while comes back by itself, with what was confirmed and nothing else."""

import os
import random
import sys
import unittest
from itertools import pairwise

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from oakramp.common.constants import LOG_RECOVERY_PAUSE_MAX, SHARDS  # noqa: E402
from oakramp.common.structured_logging import EventLogger  # noqa: E402
from oakramp.common.tasks import begin  # noqa: E402
from oakramp.control.routing import ROUTING_KEY  # noqa: E402
from oakramp.control.shards import shard_of_key  # noqa: E402
from oakramp.membership.members import LIVE, STORAGE_FAULT  # noqa: E402
from oakramp.storage.circular_log import CircularLog  # noqa: E402
from oakramp.store.records import RECORD_ROW  # noqa: E402
from oakramp.store.turns import Record, TurnClient  # noqa: E402
from oakramp.testbed.plan import Size  # noqa: E402
from oakramp.testbed.simdisk import SimDisk  # noqa: E402
from oakramp.testbed.simfleet import SimFleet  # noqa: E402
from oakramp.testbed.simnet import SimHost, SimNetwork, SimReactor, SimTime  # noqa: E402
from relay_fleet import RelayFleet  # noqa: E402

FILE_SIZE = 1 << 12  # bytes; small, so that laps are begun and reclaimed all the time
KEYS = 12
VALUE_MOST = 120  # bytes
RECOVERED_WITHIN_S = 2 * LOG_RECOVERY_PAUSE_MAX


class FaultyDisk:
    """A log on a simulated disk that refuses now and then, beside a model of what it confirmed."""

    def __init__(self, seed, hot_bytes=None):
        self.random = random.Random(seed)
        self.time, self.lines = SimTime(), []
        self.host = SimHost(SimNetwork(self.time, self.random), "127.0.0.1")
        self.disk = SimDisk(self.time, self.random)
        self.hot_bytes = hot_bytes
        self.confirmed = {}
        self.begun = self.decided = 0  # commits
        self.maybe = []  # changes of commits that failed
        self.start()

    def start(self):
        self.disk.attach(self.host)
        self.log = CircularLog(
            self.disk,
            EventLogger(self.lines.append),
            FILE_SIZE,
            hot_bytes=self.hot_bytes,
            seconds=lambda: self.time.now,
            reactor=SimReactor(self.host),
            random_source=self.random,
        )

    def run(self, seconds):
        self.time.advance_to(self.time.now + seconds)

    def commit(self):
        """Begins a commit of some keys, none of which is named by another one under way."""
        keys = self.random.sample(range(KEYS), self.random.randrange(1, 4))
        entries = []
        for key in keys:
            value = None if self.random.random() < 0.2 else self.random.randbytes(self.random.randrange(VALUE_MOST))
            entries.append((f"k{key}", value))
        self.begun += 1
        self.log.commit(entries).addCallbacks(lambda _: self._apply(entries), lambda _failure: self._fail(entries))

    def _fail(self, entries):
        self.decided += 1
        self.maybe.append(dict(entries))

    def _apply(self, entries):
        self.decided += 1
        for key, value in entries:
            self.confirmed.pop(key, None)
            if value is not None:
                self.confirmed[key] = value

    def refuse_for_a_while(self):
        self.disk.failing = True
        for _ in range(self.random.randrange(1, 5)):
            self.commit()
            self.run(self.random.uniform(0.0, 0.4))
        self.disk.failing = False

    def kill(self):
        """The process ends, and the machine's memory of its files stays."""
        self.host.end(power_cut=False)
        self.host.up = True
        self.begun = self.decided = 0

    def lose_power(self):
        self.host.end(power_cut=True)
        self.host.up = True
        self.disk.power_cut()


class Recovery(unittest.TestCase):
    def play(self, seed, hot_bytes=None):
        """A log with commits, faults and losses of power; yields after each step that leaves it at rest."""
        world = FaultyDisk(seed, hot_bytes)
        for _ in range(12):
            for _ in range(world.random.randrange(1, 8)):
                world.commit()
                world.run(world.random.choice((0.0, 0.001, 0.01)))
            if world.random.random() < 0.7:
                world.refuse_for_a_while()
            world.run(RECOVERED_WITHIN_S)
            failed = len(world.maybe)
            world.commit()
            world.run(1.0)
            self.assertEqual((world.decided, len(world.maybe)), (world.begun, failed), "the log takes commits again")
            yield world

    def test_it_takes_commits_again_and_holds_what_was_confirmed(self):
        for seed in range(60):
            for world in self.play(seed):
                self.assertIsNone(world.log.broken, (seed, world.lines[-3:]))
                self.assertEqual(dict(world.log.table.items()), world.confirmed, seed)

    def test_long_values_that_stand_on_the_disk(self):
        for seed in range(20):
            for world in self.play(seed, hot_bytes=0):
                self.assertIsNone(world.log.broken, (seed, world.lines[-3:]))
                self.assertEqual(dict(world.log.table.items()), world.confirmed, seed)

    def test_a_loss_of_power_after_it_leaves_just_that(self):
        """Nothing of a failed commit comes back, and what a failed sync left unwritten is not taken to be there."""
        faults = 0
        for seed in range(60):
            for world in self.play(seed):
                faults += len(world.maybe)
                world.lose_power()
                world.start()
                self.assertEqual(dict(world.log.table.items()), world.confirmed, seed)
        self.assertGreater(faults, 500)

    def test_a_loss_of_power_while_it_is_broken_loses_nothing_confirmed(self):
        for seed in range(60):
            world = FaultyDisk(seed)
            for _ in range(5):
                world.commit()
                world.run(0.01)
            world.refuse_for_a_while()
            world.lose_power()
            world.start()
            named = {key for changes in world.maybe for key in changes}
            found = dict(world.log.table.items())
            for key in (f"k{number}" for number in range(KEYS)):
                if key not in named:
                    self.assertEqual(found.get(key), world.confirmed.get(key), (seed, key))

    def test_what_a_new_process_finds_after_a_failed_sync_lasts(self):
        """
        log                        disk
        a sync fails        <---   shows what it will never write
        the process ends
        a new one finds it
        commits             --->   takes writes again
                                   loses its power
        the next one finds all that and what was committed since
        """
        for seed in range(60):
            world = FaultyDisk(seed)
            for _ in range(3):
                world.commit()
                world.run(0.01)
            world.commit()
            world.disk.failing = True  # the write has been taken, and its sync fails
            world.run(0.01)
            world.kill()
            world.disk.failing = False
            world.start()
            world.confirmed = dict(world.log.table.items())
            for _ in range(world.random.randrange(3)):
                world.commit()
                world.run(0.1)
            world.lose_power()
            world.start()
            self.assertEqual(dict(world.log.table.items()), world.confirmed, seed)

    def test_while_the_disk_refuses_nothing_is_taken(self):
        world = FaultyDisk(1)
        world.commit()
        world.run(1.0)
        confirmed = dict(world.confirmed)
        world.disk.failing = True
        for _ in range(5):
            world.commit()
            world.run(1.0)
        self.assertIsNotNone(world.log.broken)
        self.assertEqual(world.confirmed, confirmed)
        self.assertEqual(len([line for line in world.lines if "log_write_failed" in line]), 1)
        self.assertIn("kind=full", world.lines[0])

    def test_a_log_that_was_closed_stays_closed(self):
        world = FaultyDisk(2)
        world.disk.failing = True
        world.commit()
        world.run(0.05)
        ended = []
        begin(world.log.stop()).addCallback(ended.append)
        world.disk.failing = False
        world.run(RECOVERED_WITHIN_S)
        self.assertEqual(ended, [None])
        self.assertIsNotNone(world.log.broken)


class Voters(unittest.TestCase):
    """Of three control nodes one has a full disk for four seconds, and another one is lost later."""

    FULL_S, LOST_S = 4.0, 6.0

    def setUp(self):
        self.fleet = RelayFleet(11, cores=3, gates=2)
        self.fleet.bring_up()

    def change(self):
        change = self.fleet.until(self.fleet.change(step=1), limit=30.0)
        self.assertEqual(change.outcome, "taken")
        self.fleet.version, self.fleet.document = change.version, change.document

    def test_a_later_loss_stops_nothing(self):
        shard = shard_of_key(ROUTING_KEY)
        cores = self.fleet.of_kind("core")
        leader = next(one for one in cores if shard in one.node.leaders.active)
        voter = next(one for one in cores if one is not leader)
        voter.disk.failing = True
        for _ in range(8):
            self.change()
            self.fleet.run(self.FULL_S / 8)
        self.assertTrue(voter.node.voter.has_storage_fault)
        voter.disk.failing = False
        self.fleet.run(4.0)
        self.assertFalse(voter.node.voter.has_storage_fault)
        leader.power_cut()
        lost_at = self.fleet.time.now
        self.change()
        self.assertLess(self.fleet.time.now - lost_at, 3.0)
        self.assertEqual(self.fleet.until(self.fleet.operator.read())["edition"], self.fleet.version)
        self.fleet.run(self.LOST_S)
        leader.start()
        self.fleet.run(3.0)
        self.change()

    def test_who_cannot_promise_to_itself_does_not_stand(self):
        voter = self.fleet.of_kind("core")[0]
        voter.disk.failing = True
        self.change()
        self.fleet.run(1.0)
        self.assertTrue(voter.node.voter.has_storage_fault)
        other = next(one for one in self.fleet.of_kind("core") if one is not voter)
        other.power_cut()
        previous = len(self.fleet.lines)
        self.fleet.run(5.0)
        started = [
            line for line in self.fleet.lines[previous:] if "failover_started" in line and f" {voter.name} " in line
        ]
        self.assertEqual(started, [])

    def test_a_leader_whose_disk_refuses_hands_its_shards_over_at_once(self):
        """
        leader                       the others
        disk refuses: says so  --->  ask for the shards, lead them within half a second
        disk takes writes      --->  it leads again what falls to it
        """
        shard = shard_of_key(ROUTING_KEY)
        cores = self.fleet.of_kind("core")
        leader = next(one for one in cores if shard in one.node.leaders.active)
        others = [one for one in cores if one is not leader]
        previous = len(self.fleet.lines)
        leader.disk.failing = True
        self.change()
        changed_at = self.fleet.time.now
        self.fleet.wait_for(
            "the others to lead all shards",
            lambda: sum(len(one.node.leaders.active) for one in others) == SHARDS,
        )
        self.assertLess(self.fleet.time.now - changed_at, 0.5)
        self.assertEqual(
            [one.node.node.members.condition(leader.node.node.node_id) for one in others], [STORAGE_FAULT] * 2
        )
        self.assertIn("storage_fault 1", leader.node.metrics.to_text())
        lines = self.fleet.lines[previous:]
        self.assertTrue([line for line in lines if "shard_released" in line and f" {leader.name} " in line])
        self.change()
        leader.disk.failing = False
        self.fleet.wait_for("it to lead again", lambda: shard in leader.node.leaders.active)
        self.assertEqual(others[0].node.node.members.condition(leader.node.node.node_id), LIVE)


class Stores(unittest.TestCase):
    """Of three stores one has a full disk for some seconds, and the two others are lost later."""

    FULL_S, TURNS = 4.0, "abcdef"

    def setUp(self):
        self.fleet = SimFleet(11, Size(2, 3, 3, ()), 1 << 20).bring_up(plans=False)
        self.fleet.run(2.0)
        self.client = TurnClient(self.fleet.of_kind("gate")[0].node.node)
        self.store = self.fleet["store2"]
        self.records = []

    def retain(self, turn_id, previous=None, kept_s=60):
        async def go():
            recalled = None if previous is None else await self.client.read_history(previous, 5)
            record = Record(turn_id, previous, "s", random.Random(turn_id).randbytes(3000), b"said")
            await self.client.retain("s", record, recalled, 5, kept_s)
            self.records.append(record)

        self.fleet.until(go())

    def test_it_takes_what_it_missed_and_keeps_turns_again(self):
        self.store.disk.failing = True
        for previous, turn_id in pairwise([None, *self.TURNS]):
            self.retain(turn_id, previous)
            self.fleet.run(self.FULL_S / len(self.TURNS))
        self.assertIsNotNone(self.store.node.ring.broken)
        control = self.fleet.of_kind("control")[0].node.node
        self.assertEqual(control.members.condition(self.store.node.node.node_id), STORAGE_FAULT)
        self.store.disk.failing = False
        self.fleet.run(4.0)
        self.assertIsNone(self.store.node.ring.broken)
        self.assertEqual(control.members.condition(self.store.node.node.node_id), LIVE)
        self.fleet["store0"].kill()
        self.retain("g", self.TURNS[-1])
        self.fleet["store1"].kill()
        recalled = self.fleet.until(self.client.read_history("g", 3))
        self.assertEqual(recalled.chain, self.records)

    def test_a_loss_of_power_after_it_loses_no_turn(self):
        self.retain("a")
        self.store.disk.failing = True
        self.retain("b", "a")
        self.fleet.run(2.0)
        self.store.disk.failing = False
        self.fleet.run(4.0)
        self.retain("c", "b")
        for name in ("store0", "store1", "store2"):
            self.fleet[name].power_cut()
        self.store.start()
        self.fleet.run(1.0)
        self.assertEqual(self.fleet.until(self.client.read_history("c", 3)).chain, self.records)

    def test_records_that_ended_meanwhile_leave_its_log(self):
        self.retain("a", kept_s=1)
        entries = self.store.node.ring.table
        self.assertIn(RECORD_ROW + "a", entries)
        self.store.disk.failing = True
        self.retain("b")
        self.fleet.run(30.0)
        self.store.disk.failing = False
        self.fleet.run(60.0)
        self.assertNotIn(RECORD_ROW + "a", list(self.store.node.ring.table))


if __name__ == "__main__":
    unittest.main()
