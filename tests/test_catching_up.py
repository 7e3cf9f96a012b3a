"""Members and gateways that missed many changes: they receive the newest state in one snapshot, store it, and never serve
an older one."""

import bisect
import copy
import functools
import math
import random
import unittest
from collections import Counter
from unittest import mock

from oakramp.common.constants import SHARDS
from oakramp.common.errors import OakrampError, StorageFullError
from oakramp.common.structured_logging import EventLogger
from oakramp.common.tasks import spawn
from oakramp.control import replication
from oakramp.control.routing import ROUTING_KEY
from oakramp.control.shards import in_parts, shard_of_key, unpack_entry
from oakramp.control.voter import Voter
from oakramp.rpc.codec import idl
from oakramp.storage.circular_log import CircularLog
from oakramp.testbed.simfleet import SimFleet
from test_snapshots import VoterRig, entries_of, snapshot_of

INTERRUPTED_SHARDS = (1, 3)
ROUTING_SHARD = shard_of_key(ROUTING_KEY)
PARTS_OF = replication, "SNAPSHOT_PART"
CAUGHT_UP = 3.0  # s; from a member's return until its disk holds each shard's newest snapshot, without further changes


class InterruptedSnapshots(unittest.TestCase):
    """A shard's snapshot that takes several commits: interrupted at each of them, and sent again at once."""

    def cut_at(self, rig, count):
        """Makes the voter lose power at the sync with this number from now on; returns a function that restarts it."""
        seen, sync = [], rig.disk.sync

        def sync_and_cut(names):
            seen.append(names)
            synced = sync(names)
            if len(seen) == count:
                rig.host.end(True)
            return synced

        rig.disk.sync = sync_and_cut

        def restart():
            rig.disk.sync = sync
            if rig.host.up:
                rig.host.end(True)
            rig.disk.power_cut()
            rig.host.up = True
            rig.start()

        return restart

    @staticmethod
    def send_whole(rig, shard, sequence, snapshot):
        """Sends a snapshot in one message, without waiting for the answer, so that other work of the voter overlaps."""
        arguments = idl.accept_args(
            shard=shard,
            epoch=2,
            owner="a",
            voting_config_version=1,
            sequence=sequence,
            whole=True,
            entries=entries_of(snapshot.items()),
        )
        spawn(rig.net.handlers["accept"](idl.Hello(node_id="a"), arguments))

    def test_snapshots_sent_again_while_leftovers_are_removed(self):
        """A voter loses power at each of the commits that write newer snapshots of two shards. After the restart, both
        snapshots are sent again at once, while the leftovers of the first attempt are being removed: both must be
        complete on the disk, also after further restarts."""
        for cut_at in range(1, 16):
            rig = VoterRig()
            for shard in INTERRUPTED_SHARDS:
                rig.do("prepare", shard=shard, epoch=2, parts=True)
                self.send_whole(rig, shard, 1, snapshot_of(b"1"))
            rig.time.advance_to(rig.time.now + 2.0)
            restart = self.cut_at(rig, cut_at)
            for shard in INTERRUPTED_SHARDS:
                self.send_whole(rig, shard, 2, snapshot_of(b"2"))
            rig.time.advance_to(rig.time.now + 2.0)
            restart()
            for shard in INTERRUPTED_SHARDS:
                self.send_whole(rig, shard, 3, snapshot_of(b"3"))
            rig.time.advance_to(rig.time.now + 2.0)
            for life in ("at once", "after a restart", "after another"):
                for shard in INTERRUPTED_SHARDS:
                    epoch, sequence, entries = rig.voter.snapshot(shard)
                    self.assertEqual((epoch, sequence), (2, 3))
                    self.assertEqual(
                        dict(entries) == snapshot_of(b"3"), True, f"power cut at sync {cut_at}, shard {shard}, {life}"
                    )
                rig.start()
                rig.time.advance_to(rig.time.now + 2.0)
            kept = [key for key in rig.ring.table if key.startswith("e")]
            self.assertEqual(len(kept), 2 * len(snapshot_of(b"3")), "leftovers")

    def test_a_snapshot_after_one_that_ran_out_of_space(self):
        """A voter that holds snapshot 1 runs out of space in the middle of snapshot 2, and then receives snapshot 3,
        which lacks some keys of 2: after a restart it holds snapshot 3 and nothing of 2."""
        rig = VoterRig()
        rig.do("prepare", epoch=1, parts=True)
        self.assertTrue(rig.send_snapshot(1, 1, snapshot_of(b"1")).taken)
        commit, commits = rig.ring.commit, []

        def full_half_way(entries):
            commits.append(entries)
            if len(commits) > 1 and any(value is not None for _, value in entries):
                raise StorageFullError("no room")
            return commit(entries)

        rig.ring.commit = full_half_way
        with self.assertRaises(StorageFullError):
            rig.send_snapshot(1, 2, snapshot_of(b"2"))
        rig.ring.commit = commit
        self.assertEqual(rig.snapshot(), (1, 1, snapshot_of(b"1")))
        self.assertEqual({key.partition("/")[0] for key in rig.ring.table if key.startswith("e")}, {"e1"})
        smaller = dict(sorted(snapshot_of(b"3").items())[60:])
        self.assertTrue(rig.send_snapshot(1, 3, smaller).taken)
        rig.start()
        self.assertEqual(rig.snapshot(), (1, 3, smaller))

    def test_a_change_too_large_for_one_commit_is_atomic(self):
        """A change of many items at once, on a small disk: it is stored completely, or a power cut leaves nothing of
        it."""
        outcomes = set()
        for cut_at in (None, 1, 2, 3, 4, 5):
            rig = VoterRig()
            rig.do("prepare", epoch=1, parts=True)
            self.assertTrue(rig.send_snapshot(1, 1, snapshot_of(b"1", 20)).taken)
            change = dict(list(snapshot_of(b"2", 350).items())[10:]) | {"budget/p/g3": None}
            whole = snapshot_of(b"1", 20) | change
            whole.pop("budget/p/g3")
            self.assertGreater(sum(map(len, filter(None, change.values()))), rig.ring.commit_limit())
            restart = self.cut_at(rig, cut_at)
            said = rig.do("accept", epoch=1, sequence=2, entries=entries_of(change.items()))
            restart()
            self.assertIn(rig.snapshot(), [(1, 1, snapshot_of(b"1", 20)), (1, 2, whole)])
            if cut_at is None:
                self.assertTrue(said.taken)
                self.assertEqual(rig.snapshot(), (1, 2, whole))
            outcomes.add(rig.snapshot()[1])
        self.assertEqual(outcomes, {1, 2})

    def test_a_merged_request_applies_to_any_later_state_of_its_epoch(self):
        """A merged append request of the same epoch is accepted if it starts at a sequence that the voter has reached;
        the first request of a failover only if it starts at exactly the voter's snapshot."""
        rig = VoterRig()
        rig.do("prepare", epoch=4, parts=True)
        rig.do(
            "accept", epoch=4, sequence=1, whole=True, entries=entries_of([("budget/p/a", b"1"), ("budget/p/b", b"1")])
        )
        rig.do("accept", epoch=4, sequence=2, entries=entries_of([("budget/p/a", b"2")]))
        rig.do("accept", epoch=4, sequence=3, entries=entries_of([("budget/p/a", b"3")]))
        rig.do("prepare", epoch=5, parts=True)
        self.assertTrue(rig.do("accept", epoch=5, sequence=1, from_epoch=4, from_sequence=2, entries=[]).needs_snapshot)
        self.assertTrue(rig.do("accept", epoch=5, sequence=1, from_epoch=4, from_sequence=3, entries=[]).taken)
        rig.do("accept", epoch=5, sequence=2, entries=entries_of([("budget/p/b", None)]))
        merged = entries_of([("budget/p/a", b"9"), ("budget/p/b", b"7")])
        self.assertTrue(
            rig.do("accept", epoch=5, sequence=9, from_epoch=5, from_sequence=3, entries=merged).needs_snapshot
        )
        self.assertTrue(rig.do("accept", epoch=5, sequence=9, from_epoch=5, from_sequence=1, entries=merged).taken)
        rig.start()
        self.assertEqual(rig.snapshot(), (5, 9, {"budget/p/a": b"9", "budget/p/b": b"7"}))


class _Node:
    """The part of a node that a voter needs in order to load its tables from disk."""

    def __init__(self, one):
        self.node_id, self.reactor, self.log = (
            one.node.node.node_id,
            one.node.node.reactor,
            EventLogger(lambda line: None),
        )
        self.net = self

    def handle(self, method, handler):
        pass


def snapshots_on_disk(one):
    """The snapshots of all shards as a start from this machine's disk would find them if it lost power now."""
    disk = copy.copy(one.disk)
    disk._files = {name: bytearray(data) for name, data in one.disk._durable.items()}
    disk._durable, disk._unsynced = {name: bytearray(data) for name, data in disk._files.items()}, []
    voter = Voter(_Node(one), CircularLog(disk, EventLogger(lambda line: None), one.node.ring._file_size))
    return [_shown(voter.snapshot(shard)) for shard in range(SHARDS)]


def _shown(snapshot):
    epoch, sequence, entries = snapshot
    return epoch, sequence, dict(entries)


class RoutingFleet(SimFleet):
    """A fleet in which only the routing changes. Invariant: `version` is the newest accepted version, with `routes`."""

    def __init__(self, seed, **options):
        super().__init__(seed, **options)
        self.version, self.routes = 0, {}

    def controls(self):
        return [one for one in self.of_kind("control") if one.running and not one.host.frozen]

    def owner(self, shard=ROUTING_SHARD):
        holders = [one for one in self.controls() if shard in one.node.leaders.active]
        return next((one for one in holders if one.node.leaders.active[shard].holds_lease()), None)

    def change(self, items=1, size=40, of=1000):
        """Makes one change of the routing: replaces `items` of its `of` routes and keeps the others."""
        number = self.version + 1
        changed = {
            name: {"name": name, "made": number, "text": "x" * size}
            for name in (f"r{(number * items + item) % of}" for item in range(items))
        }
        pieces = {f"routes/{name}": item for name, item in changed.items()}
        if changed.keys() - self.routes.keys():
            pieces["order:routes"] = [*self.routes, *(changed.keys() - self.routes.keys())]
        pieces["rest"] = {"number": number}
        self.wait_for_owner()
        self.until(
            self.owner().node.leaders.call(
                ROUTING_KEY,
                "change",
                {"based_on": self.version, "version": number, "pieces": pieces, "fingerprint": f"f{number}"},
            )
        )
        self.routes |= changed
        self.version = number

    def wait_for_owner(self):
        self.wait_for("an owner of the routing", lambda: self.owner() is not None)

    def bystander(self):
        """A member that neither leads the routing's shard nor is the first candidate for it."""
        owner = self.owner()
        order = owner.node.leaders.failover.candidate_order(
            ROUTING_SHARD, tuple(owner.node.leaders.failover.live_voters())
        )
        return next(one for one in self.controls() if one.node.node.node_id == order[-1])

    def behind(self):
        """For each shard, the members whose disk holds another snapshot than the leader, as text."""
        leaders = {shard: self.owner(shard) for shard in range(SHARDS)}
        found = [f"shard {shard} has no leader" for shard, owner in leaders.items() if owner is None]
        disks = {one.name: snapshots_on_disk(one) for one in self.controls()}
        for shard, owner in leaders.items():
            if owner is None:
                continue
            held = owner.node.leaders.active[shard]
            newest = held.epoch, held.sequence, dict(held.entries)
            found += [
                f"shard {shard} of {name} is at {snapshots[shard][:2]}, the leader at {newest[:2]}"
                for name, snapshots in disks.items()
                if snapshots[shard] != newest
            ]
        return found


class IdleSystem(unittest.TestCase):
    """Members return while no changes are made: acknowledged changes must still reach all disks."""

    def check_returns(self, leave, come_back, away=3.0):
        fleet = RoutingFleet(11).bring_up()
        fleet.change(items=20)
        fleet.run(2.0)
        self.assertEqual(fleet.behind(), [])
        member = fleet.bystander()
        leave(fleet, member)
        for _ in range(5):
            fleet.change()
        fleet.run(away)
        self.assertGreater(sum(one.node.leaders.replicator.voters_behind for one in fleet.controls()), 0)
        come_back(fleet, member)
        fleet.run(CAUGHT_UP)
        self.assertEqual(fleet.behind(), [])
        self.assertEqual(sum(one.node.leaders.replicator.voters_behind for one in fleet.controls()), 0)

    def test_a_member_that_was_killed(self):
        self.check_returns(lambda fleet, member: member.kill(), lambda fleet, member: member.start())

    def test_a_member_that_was_frozen(self):
        self.check_returns(lambda fleet, member: member.freeze(), lambda fleet, member: member.thaw())

    def test_a_member_that_was_frozen_for_a_moment(self):
        """The member counts as live all the time, but the calls to it have failed."""
        self.check_returns(lambda fleet, member: member.freeze(), lambda fleet, member: member.thaw(), away=2.5)

    def test_a_member_that_was_partitioned(self):
        pairs = set()

        def cut(fleet, member):
            addresses = [one.host.address for one in fleet.by_name.values() if one is not member]
            pairs.update((member.host.address, address) for address in addresses)
            pairs.update((address, member.host.address) for address in addresses)
            fleet.network.hold(pairs)

        self.check_returns(cut, lambda fleet, member: fleet.network.let_go(pairs))

    def test_a_member_that_has_promised_a_later_epoch(self):
        """Another member has prepared a later epoch at one voter, in a failover that found no majority. The leader
        continues with the other voters; the one voter must not stay excluded for ever."""
        fleet = RoutingFleet(12).bring_up()
        fleet.change(items=20)
        fleet.run(2.0)
        owner, voter = fleet.owner(), fleet.bystander()
        other = next(one for one in fleet.controls() if one not in (owner, voter))
        promise = fleet.until(
            other.node.node.net.call(
                voter.machine.peer,
                "prepare",
                2.0,
                to=voter.node.node.node_id,
                shard=ROUTING_SHARD,
                epoch=owner.node.leaders.active[ROUTING_SHARD].epoch + 3,
                owner=other.node.node.node_id,
                voting_config_version=owner.node.voter.voting_config.version,
                parts=True,
            )
        )
        self.assertTrue(promise.granted)
        fleet.change()
        fleet.run(2 * CAUGHT_UP)
        self.assertEqual(fleet.behind(), [])


def shown_sequence(one, shard=ROUTING_SHARD):
    """(epoch, sequence) of a member's snapshot."""
    return one.node.voter.snapshot(shard)[:2]


class BusySystem(unittest.TestCase):
    """Changes continue while a member catches up over a slow link."""

    def test_a_slow_member_catches_up_while_changes_keep_coming(self):
        """A member is frozen during 60 changes and returns over a link with 60 ms delay, where a snapshot of some 20
        parts takes 2.4 s, while changes are made every 30 ms: it must have the state that was newest at its return within
        the time of one snapshot."""
        with mock.patch.object(*PARTS_OF, 16 << 10):
            fleet = RoutingFleet(13, ring_file_size=1 << 20).bring_up()
            for _ in range(5):
                fleet.change(items=200, size=250)
            member = fleet.bystander()
            member.freeze()
            for _ in range(60):
                fleet.change(items=20, size=250)
            fleet.run(3.0)
            owner = fleet.owner()
            parts = len(list(in_parts(owner.node.leaders.active[ROUTING_SHARD].entries.items(), 16 << 10)))
            self.assertGreater(parts, 20)
            for pair in (owner.host.address, member.host.address), (member.host.address, owner.host.address):
                fleet.network.delays[pair] = 0.06
            stages = owner.node.node.net.call_counts.get("stage", 0)
            accepts = owner.node.node.net.call_counts.get("accept", 0)
            member.thaw()
            returned, target = fleet.time.now, fleet.owner().node.leaders.active[ROUTING_SHARD].sequence
            caught_up = None
            while fleet.time.now < returned + (6.0 if caught_up is None else caught_up + 1.0):
                fleet.change()
                fleet.run(0.02)
                if caught_up is None and shown_sequence(member)[1] >= target:
                    caught_up = fleet.time.now - returned
            stages = owner.node.node.net.call_counts["stage"] - stages
            accepts = owner.node.node.net.call_counts["accept"] - accepts
            self.assertIsNotNone(caught_up, f"never caught up; {stages} parts were sent")
            self.assertLessEqual(stages, parts, "more than one snapshot was sent")
            self.assertLess(accepts, 25, "more than one update at a time")
            self.assertLess(
                owner.node.leaders.active[ROUTING_SHARD].sequence - shown_sequence(member)[1], 20, "in line"
            )
            fleet.run(1.0)
            self.assertEqual(fleet.behind(), [])


class Costs(unittest.TestCase):
    """The bytes sent to bring a member up to date, and the bytes sent to it while it is away."""

    def measure(self, missed, away, size=200):
        """(bytes sent to a frozen member while it was away, bytes after its return, seconds until it was up to date,
        bytes of the snapshot) when the member missed this number of changes of 300 routes."""
        fleet = RoutingFleet(15, ring_file_size=1 << 19).bring_up(plans=False)
        for _ in range(3):
            fleet.change(items=100, size=size, of=300)
        fleet.run(1.0)
        member, sent = fleet.bystander(), Counter()
        for one in fleet.controls():
            self.count(one.node.node.net, member.machine.peer, sent)
        member.freeze()
        for _ in range(missed):
            fleet.change(size=size, of=300)
            fleet.run(away / missed)
        held, while_away = fleet.owner().node.leaders.active[ROUTING_SHARD], sent["bytes"]
        returned = fleet.time.now
        member.thaw()
        fleet.wait_for("the newest snapshot", lambda: shown_sequence(member) == (held.epoch, held.sequence), 10.0)
        fleet.run(1.0)
        return while_away, sent["bytes"] - while_away, fleet.time.now - 1.0 - returned, held.size

    @staticmethod
    def count(net, address, sent):
        call = net.call

        def counted(to_address, method, *arguments, **named):
            if to_address == address and method in ("accept", "acceptMany", "stage"):
                sent["bytes"] += sum(len(entry.key) + len(entry.value or b"") for entry in named.get("entries", ()))
                sent["bytes"] += sum(map(len, named.get("steps", ())))
            return call(to_address, method, *arguments, **named)

        net.call = counted

    def test_catching_up_costs_no_more_than_one_snapshot(self):
        for missed in (1, 30, 300):
            while_away, after, seconds, snapshot = self.measure(missed, 20.0)
            self.assertLess(after, 1.1 * min(snapshot, 4000 + 600 * missed), f"{missed} missed")
            self.assertLess(seconds, CAUGHT_UP)
            self.assertLess(while_away, 0.2 * snapshot, f"{missed} missed: sent to a member that does not receive")


class FullDisks(unittest.TestCase):
    def test_a_change_is_rejected_while_its_snapshot_still_fits(self):
        """The routing grows until a further change is rejected for lack of space, while a member is away since it was
        small: when the member returns, its disk can still store the whole snapshot."""
        fleet = RoutingFleet(14, ring_file_size=1 << 16).bring_up(plans=False)
        fleet.change(items=50, size=20)
        member = fleet.bystander()
        member.freeze()
        with self.assertRaises(StorageFullError) as caught:
            for _ in range(40):
                fleet.change(items=25, size=150)
        self.assertEqual((caught.exception.code, caught.exception.verdict.value), ("ringFull", "no"))
        self.assertGreater(len(fleet.routes), 100)
        held = fleet.owner().node.leaders.active[ROUTING_SHARD]
        self.assertEqual(unpack_entry(held.entries[ROUTING_KEY])["version"], fleet.version, "nothing of it is kept")
        fleet.run(3.0)
        member.thaw()
        fleet.run(CAUGHT_UP)
        self.assertEqual(fleet.behind(), [])
        fleet.owner().kill()
        fleet.wait_for("the next leader", lambda: fleet.owner() is not None, 10.0)


class Trial:
    """Many changes of the routing while members are restarted, frozen, partitioned, wiped and lose power, up to two at a
    time. Checked after each change and each pause:
    - two voters with a snapshot of the same (epoch, sequence) have the same entries;
    - a node that holds a lease of the routing's shard has at least the newest acknowledged version;
    - the version in a state table never decreases during the life of its process, and a state that is confirmed as of
      some time is no older than what was acknowledged by then."""

    WAYS = ("restart", "power cut", "freeze", "cut", "cut one way", "wipe")

    def __init__(self, seed, **options):
        self.random = random.Random(f"catching up/{seed}")
        self.fleet = RoutingFleet(seed, self_forming=True, **options).bring_up(plans=False)
        self.acknowledged = [(0.0, 0)]
        self.entries_of, self.last_label, self.state_table_versions = {}, {}, {}
        self.away, self.counts, self.emptied = {}, Counter(), None

    def begin_trouble(self):
        fleet = self.fleet
        free = [one for one in fleet.controls() if one.name not in self.away]
        way = self.random.choice(self.WAYS)
        if len(self.away) + self.is_mending() > 1 or (
            way == "wipe" and (self.away or not fleet.voting_config_of_all())
        ):
            return
        member, ends = self.random.choice(free), fleet.time.now + self.random.choice((0.3, 1.0, 2.5, 6.0))
        self.counts[way] += 1
        end = member.start
        if way == "restart":
            member.kill()
        elif way == "power cut":
            member.power_cut()
        elif way == "wipe":
            member.kill()
            member.lose_disk()
            self.emptied = member
        elif way == "freeze":
            member.freeze()
            end = member.thaw
        else:
            pairs = {(member.host.address, one.host.address) for one in fleet.by_name.values() if one is not member}
            pairs |= set() if way == "cut one way" else {pair[::-1] for pair in pairs}
            fleet.network.hold(pairs)
            end = functools.partial(fleet.network.let_go, pairs)
        self.away[member.name] = ends, end

    def is_mending(self):
        """Whether a node that lost its disk is not a member of the voting configuration again yet."""
        if self.emptied is None:
            return False
        joined = self.emptied.node.node.node_id
        voting_configs = [one.node.voter.voting_config for one in self.fleet.controls()]
        newest = max(
            (voting_config for voting_config in voting_configs if voting_config is not None),
            key=lambda voting_config: voting_config.version,
        )
        return newest.next is not None or joined not in newest.members

    def end_troubles(self, all_=False):
        for name, (ends, end) in list(self.away.items()):
            if all_ or self.fleet.time.now >= ends:
                end()
                del self.away[name]

    def poll(self):
        now, newest = self.fleet.time.now, self.acknowledged[-1][1]
        for one in self.fleet.controls():
            self._poll_at_voter(one)
            owner = one.node.leaders.active.get(ROUTING_SHARD)
            if owner is not None and owner.holds_lease() and ROUTING_KEY in owner.entries:
                version = unpack_entry(owner.entries[ROUTING_KEY])["version"]
                assert version >= newest, f"{now}: {one.name} serves version {version}, {newest} was acknowledged"
        for one in self.fleet.by_name.values():
            if one.running and not one.host.frozen:
                self._poll_at_state_table(one)

    def _poll_at_voter(self, one):
        for shard in range(SHARDS):
            epoch, sequence, entries = one.node.voter.snapshot(shard)
            label = shard, epoch, sequence
            if self.last_label.get((one.name, one.starts, shard)) != label:
                self.last_label[one.name, one.starts, shard] = label
                shown = hash(frozenset(entries.items()))
                assert self.entries_of.setdefault(label, shown) == shown, f"{one.name} has another snapshot of {label}"

    def _poll_at_state_table(self, one):
        state_table = one.node.node.state_table
        snapshot = state_table.snapshots.get(ROUTING_KEY)
        version = snapshot.version if snapshot else 0
        key = one.name, one.starts
        assert version >= self.state_table_versions.get(key, 0), f"{one.name} went back to version {version}"
        self.state_table_versions[key] = version
        at = state_table.confirmed_at(ROUTING_KEY)
        place = bisect.bisect_right(self.acknowledged, (at, math.inf)) - 1
        if place >= 0:
            known = self.acknowledged[place][1]
            assert version >= known, f"{one.name} confirms version {version} as of {at:.3f}, when {known} stood"

    def run(self, changes, size):
        fleet = self.fleet
        for _ in range(5):
            fleet.change(items=200, size=size)
            self.acknowledged.append((fleet.time.now, fleet.version))
        for _ in range(changes):
            if self.random.random() < 0.05:
                self.begin_trouble()
            self.end_troubles()
            self.change(size)
            self.poll()
            for _ in range(self.random.choice((0, 0, 0, 1, 5))):
                fleet.run(0.05)
                self.poll()
        self.end_troubles(all_=True)
        fleet.wait_for("the members being whole again", fleet.voting_config_of_all, 20.0)
        fleet.run(CAUGHT_UP)
        self.poll()
        return fleet.behind()

    def change(self, size):
        """Makes one change, repeated until it is accepted, as an operator does."""
        items = self.random.choice((1, 1, 5, 60))
        while True:
            try:
                self.fleet.change(items=items, size=size)
            except StorageFullError:
                raise
            except OakrampError as error:
                self.counts[f"answered {error.code}"] += 1
                self.fleet.run(0.05)
                self.end_troubles()
                self.poll()
                continue
            self.acknowledged.append((self.fleet.time.now, self.fleet.version))
            return

    def rounds(self):
        """How many times each member's circular log has wrapped around."""
        return [round(one.node.ring._laps[-1] / one.node.ring._file_count, 1) for one in self.fleet.controls()]


class ManyChanges(unittest.TestCase):
    def test_members_with_faults_catch_up_among_many_changes(self):
        for seed in (1, 2):
            trial = Trial(seed, ring_file_size=1 << 18)
            self.assertEqual(trial.run(110, size=60), [], seed)


def run_by_hand(seeds, changes=2000, size=60, ring=3 << 17):
    """Longer trials: python -c 'import test_catching_up as t; t.run_by_hand(range(10))'"""
    for seed in seeds:
        trial = Trial(seed, ring_file_size=ring)
        behind = trial.run(changes, size)
        fleet = trial.fleet
        snapshot = fleet.owner().node.leaders.active[ROUTING_SHARD]
        print(
            f"seed {seed}: behind {behind}; {fleet.version} versions in {fleet.time.now:.0f} s, snapshot of {snapshot.size} bytes,"
            f" logs wrapped {trial.rounds()}; {dict(trial.counts)}",
            flush=True,
        )


if __name__ == "__main__":
    unittest.main()
