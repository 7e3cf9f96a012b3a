"""Snapshots of shards that are too long for one message or one commit: transfer in parts, a power cut at each part,
and the limit on a shard's growth."""

import random
import unittest
from unittest import mock

from oakramp.common.structured_logging import EventLogger
from oakramp.common.validation import pack_json
from oakramp.control import replication as replication_module, voter as voter_module
from oakramp.control.shards import shard_of_key
from oakramp.control.voter import Voter
from oakramp.rpc.codec import idl
from oakramp.storage.circular_log import CircularLog
from oakramp.testbed.simdisk import SimDisk
from oakramp.testbed.simfleet import SMALL, SimFleet
from oakramp.testbed.simnet import SimHost, SimNetwork, SimReactor, SimTime

RING = 1 << 16  # bytes; a commit holds half of it


class Net:
    def __init__(self):
        self.handlers = {}

    def handle(self, method, handler):
        self.handlers[method] = handler


class VoterRig:
    """One voter on a simulated disk. It can lose its power at any of its syncs."""

    def __init__(self):
        self.time = SimTime()
        self.host = SimHost(SimNetwork(self.time, random.Random(1)), "127.0.0.1")
        self.disk = SimDisk(self.time, random.Random(2))
        self.node_id, self.log, self.reactor = "a", EventLogger(lambda line: None), SimReactor(self.host)
        self.start()
        self.do_(self.voter.set_voting_config({"version": 1, "members": {"a": "127.0.0.1:1"}, "next": None}))

    def start(self):
        self.disk.attach(self.host)
        self.net = Net()
        self.ring = CircularLog(self.disk, self.log, RING)
        self.voter = Voter(self, self.ring)

    def do_(self, work):
        from twisted.internet.defer import ensureDeferred

        outcome = []
        ensureDeferred(work).addBoth(outcome.append)
        self.time.advance_to(self.time.now + 2.0)
        if outcome and hasattr(outcome[0], "raiseException"):
            outcome[0].raiseException()
        return outcome[0] if outcome else None

    def do(self, method, **arguments):
        filled = {"shard": 3, "owner": "a", "voting_config_version": 1} | arguments
        call = getattr(idl, f"{method}_args")(**filled)
        return self.do_(self.net.handlers[method](idl.Hello(node_id="a"), call))

    def send_snapshot(self, epoch, sequence, snapshot, most=4000):
        """Sends the snapshot in parts as a leader does; the response to the last call."""
        *parts, last = voter_module.in_parts(snapshot.items(), most)
        for part, pairs in enumerate(parts):
            said = self.do("stage", epoch=epoch, sequence=sequence, part=part, entries=entries_of(pairs))
            if not said or not said.taken:
                return said
        return self.do("accept", epoch=epoch, sequence=sequence, whole=True, parts=len(parts), entries=entries_of(last))

    def snapshot(self):
        snapshot_epoch, sequence, entries = self.voter.snapshot(3)
        return snapshot_epoch, sequence, dict(entries)

    def read(self, epoch, after=""):
        """The snapshot as a candidate fetches it."""
        entries, more = {}, True
        while more:
            part = self.do("imagePart", epoch=epoch, after=after)
            entries |= {entry.key: entry.value for entry in part.entries}
            after, more = max(entries, default=""), part.more
        return entries


def entries_of(pairs):
    return [idl.Entry(key=key, value=value) for key, value in pairs]


def snapshot_of(mark, count=220):
    return {f"budget/p/g{number}": b"%s" % mark + bytes(100) for number in range(count)}


class Parts(unittest.TestCase):
    def test_long_snapshot_is_replaced_and_read_in_parts(self):
        rig = VoterRig()
        rig.do("prepare", epoch=1, parts=True)
        self.assertGreater(sum(len(value) for value in snapshot_of(b"1").values()), rig.ring.commit_limit() // 2)
        self.assertTrue(rig.send_snapshot(1, 1, snapshot_of(b"1")).taken)
        self.assertTrue(rig.do("accept", epoch=1, sequence=2, entries=entries_of([("budget/p/new", b"x")])).taken)
        promise = rig.do("prepare", epoch=2, parts=True)
        self.assertEqual((promise.snapshot_epoch, promise.sequence, promise.entries), (1, 2, None))
        with mock.patch.object(voter_module, "SNAPSHOT_PART", 3000):
            self.assertEqual(rig.read(2), snapshot_of(b"1") | {"budget/p/new": b"x"})
        rig.start()
        self.assertEqual(rig.snapshot(), (1, 2, snapshot_of(b"1") | {"budget/p/new": b"x"}))

    def test_parts_out_of_order_or_of_another_snapshot(self):
        rig = VoterRig()
        rig.do("prepare", epoch=5, parts=True)
        self.assertTrue(
            rig.do("stage", epoch=5, sequence=1, part=1, entries=[]).needs_snapshot, "the first part is missing"
        )
        self.assertTrue(rig.do("stage", epoch=5, sequence=1, part=0, entries=entries_of([("a", b"1")])).taken)
        self.assertTrue(
            rig.do("stage", epoch=5, sequence=2, part=1, entries=[]).needs_snapshot, "a part of another snapshot"
        )
        self.assertTrue(rig.do("accept", epoch=5, sequence=1, whole=True, parts=2, entries=[]).needs_snapshot)
        self.assertFalse(rig.do("stage", epoch=4, sequence=1, part=0, entries=[]).taken, "a superseded epoch")
        self.assertEqual(rig.snapshot(), (0, 0, {}))

    def test_power_cut_at_each_part(self):
        """A voter that holds snapshot 1 receives snapshot 2 in parts, and loses power at the first, second, ... commit:
        after the restart it holds all of snapshot 1 or all of 2, never a mixture, and removes the leftovers."""
        outcomes = set()
        for cut_at in range(1, 9):
            rig = VoterRig()
            rig.do("prepare", epoch=1, parts=True)
            self.assertTrue(rig.send_snapshot(1, 1, snapshot_of(b"1")).taken)
            rig.do("prepare", epoch=2, parts=True)
            seen, sync = [], rig.disk.sync

            def sync_and_cut(names, rig=rig, seen=seen, sync=sync, cut_at=cut_at):
                seen.append(names)
                synced = sync(names)
                if len(seen) == cut_at:
                    rig.host.end(True)  # this sync never completes
                return synced

            rig.disk.sync = sync_and_cut
            rig.send_snapshot(2, 1, snapshot_of(b"2", 200))
            rig.disk.sync = sync
            if rig.host.up:
                rig.host.end(True)
            rig.disk.power_cut()
            rig.host.up = True
            rig.start()
            outcomes.add(rig.snapshot()[0])
            self.assertIn(rig.snapshot(), [(1, 1, snapshot_of(b"1")), (2, 1, snapshot_of(b"2", 200))], cut_at)
            rig.time.advance_to(rig.time.now + 2.0)
            kept = [key for key in rig.ring.table if key.startswith("e")]
            self.assertEqual(len(kept), len(rig.snapshot()[2]), "leftovers of the other snapshot")
        self.assertEqual(outcomes, {1, 2})


class Fleets(unittest.TestCase):
    def fill(self, fleet, count):
        """Opens programs of one shard at its leader, until one is rejected; (leader, opened names, error or None)."""
        key, opened = "budget/dalatech/p", []
        owner = next(one for one in fleet.of_kind("control") if shard_of_key(key) in one.node.leaders.active)
        names = (
            name
            for number in range(10**6)
            for name in [f"p{number}"]
            if shard_of_key(f"budget/dalatech/{name}") == shard_of_key(key)
        )
        for _ in range(count):
            name = next(names)
            try:
                fleet.until(owner.node.leaders.call(f"budget/dalatech/{name}", "open", {"limit": 100}))
            except Exception as error:
                return owner, opened, error
            opened.append(name)
        return owner, opened, None

    def limit_of(self, fleet, name):
        return fleet.until(
            fleet.client._client.json("GET", fleet["gate1"].machine.http, f"/v1/dalatech/programs/{name}", None, 10)
        )

    def test_failover_and_transfer_to_a_joining_member_in_parts(self):
        """The leader of a shard whose snapshot takes many messages is killed, and the shard is taken over. A new node
        replaces the dead one and receives the shard in parts. After two more nodes are lost, its copy is needed for a
        majority."""
        with (
            mock.patch.object(voter_module, "SNAPSHOT_PART", 700),
            mock.patch.object(replication_module, "SNAPSHOT_PART", 700),
        ):
            fleet = SimFleet(2, SMALL, ring_file_size=RING).bring_up()
            owner, opened, error = self.fill(fleet, 60)
            self.assertIsNone(error)
            dead_id = owner.node.node.node_id
            owner.kill()
            fleet.run(5.0)
            self.assertEqual(self.limit_of(fleet, opened[0])[1]["limit"], 100)
            new = fleet.add("control", 5)
            new.seeds = [one.machine.peer for one in fleet.of_kind("control") if one.running][:3]
            new.start()
            fleet.run(3.0)
            status, _ = fleet.until(
                fleet.operator.ask(
                    "POST",
                    "/v1/roster/replace",
                    {
                        "basedOn": 1,
                        "leaving": dead_id,
                        "joining": {"nodeId": new.node.node.node_id, "peer": new.machine.peer},
                    },
                ),
                30,
            )
            self.assertEqual(status, 200)
            fleet.wait_for(
                "the replacement",
                lambda: new.node.voter.voting_config and new.node.voter.voting_config.version == 3,
                30,
            )
            shard = shard_of_key("budget/dalatech/p")
            self.assertEqual(
                {name for name in opened if f"budget/dalatech/{name}" in new.node.voter.snapshot(shard)[2]}, set(opened)
            )
            self.assertGreater(
                sum(one.node.node.net.call_counts.get("stage", 0) for one in fleet.of_kind("control")), 5
            )
            others = [one for one in fleet.of_kind("control") if one.running and one is not new]
            for one in others[:2]:
                one.power_cut()
            fleet.run(6.0)
            for name in opened:
                self.assertEqual(self.limit_of(fleet, name)[1]["limit"], 100)
            self.assertEqual([line for line in fleet.lines if "rashed" in line], [])

    def test_a_full_shard_rejects_early_and_can_still_fail_over(self):
        """Programs are opened until the shard is full: further ones are rejected, and the open ones continue to work.
        When the leader is then killed, the shard can still be taken over."""
        fleet = SimFleet(2, SMALL, ring_file_size=RING).bring_up()
        owner, opened, error = self.fill(fleet, 2000)
        self.assertEqual((error.code, error.verdict.value), ("ringFull", "no"))
        self.assertGreater(len(opened), 100)
        turn = fleet.until(fleet.client.turn("dalatech", "elsewhere", "l", None, "x", attempts=1))
        self.assertEqual(turn.attempts[0].status, 404)
        owner.kill()
        fleet.run(5.0)
        self.assertEqual(self.limit_of(fleet, opened[-1])[1]["limit"], 100)
        status, said = fleet.until(
            fleet.client._client.json(
                "POST", fleet["gate0"].machine.http, "/v1/dalatech/programs", {"program": opened[-1] + "x"}, 10
            )
        )
        self.assertIn(status, (201, 507))
        self.assertEqual([line for line in fleet.lines if "rashed" in line], [])


class OlderHeaders(unittest.TestCase):
    def test_headers_and_entries_of_older_releases_are_read(self):
        """Rows that a release without snapshot generations has written."""
        rig = VoterRig()
        rig.do_(self.commit(rig, [("s/3", pack_json([4, "a", 4, 7])), ("e/3/budget/p/g", b"j1")]))
        rig.start()
        self.assertEqual(rig.snapshot(), (4, 7, {"budget/p/g": b"j1"}))

    async def commit(self, rig, entries):
        await rig.ring.commit(entries)
