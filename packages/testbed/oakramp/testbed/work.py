"""The work of one step, as a number of function calls, which does not depend on the load of the machine, by the amount
of stored data."""

import random
import sys
from time import process_time
from types import SimpleNamespace

from sortedcontainers import SortedDict

from oakramp.common.structured_logging import EventLogger
from oakramp.control import budget  # noqa: F401  registers its controller
from oakramp.control.command_context import CommandContext
from oakramp.control.controllers import CONTROLLERS
from oakramp.control.shard_leader import ShardLeader
from oakramp.control.shards import pack_entry, shard_of_key
from oakramp.control.transaction import Transaction
from oakramp.control.voter import Voter, entry_key
from oakramp.rpc.codec import pack
from oakramp.storage.circular_log import CircularLog
from oakramp.store.record_table import ConversationRow, ConversationTable, to_state
from oakramp.testbed.simdisk import SimDisk
from oakramp.testbed.simnet import SimHost, SimNetwork, SimReactor, SimTime
from oakramp.version_vectors.version_vector import VersionVector

ENDPOINT = "127.0.0.1"


def count_calls(step):
    """The number of Python and C functions that `step()` calls."""
    counted = [0]

    def count(_frame, event, _argument):
        counted[0] += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        step()
    finally:
        sys.setprofile(None)
    return counted[0]


class TableRig:
    """One store's table on a simulated disk, with this many conversations in memory."""

    def __init__(self, conversations):
        self.time = SimTime()
        self.host = SimHost(SimNetwork(self.time, random.Random(1)), ENDPOINT)
        self.disk = SimDisk(self.time, random.Random(2))
        self.disk.attach(self.host)
        self.reactor, self.node_id, self.log = SimReactor(self.host), "a", EventLogger(lambda line: None)
        self.table = ConversationTable(self, CircularLog(self.disk, self.log, 1 << 18))
        for number in range(conversations):
            self.table._insert_row(
                f"k{number:07d}", ConversationRow("a#1", {VersionVector({"a#1": (0, 1)}): b"x"}, 0.0)
            )

    def put(self):
        self.table.put("k0000500", frozenset(), b"y")
        self.time.advance_to(self.time.now + 0.1)


def store_work(conversations):
    """The functions called for a put, a page of anti-entropy, the search for old conversations, and the ids in use."""
    rig = TableRig(conversations)
    rig.time.advance_to(100.0)
    return {
        "put": count_calls(rig.put),
        "page": count_calls(lambda: rig.table.keys_after("k0000300", 256)),
        "old lines": count_calls(rig.table.expired_keys),
        "ids in use": count_calls(rig.table.dots),
    }


class _Members:
    def find(self, node_id):
        return node_id

    def condition(self, _node_id):
        return "live"


class _StateTable:
    snapshots = {}


def leader_work(programs):
    """The functions called for a turn's admission and settling, and for one page of a shard's cleanup."""
    entries = SortedDict()
    for number in range(programs):
        entries[f"budget/p/g{number:06d}"] = pack_entry({"limit": 100, "spent": 0, "open": {}, "turns": 1})
        entries[f"budget/p/g{number:06d}#turn/l/t"] = pack_entry({"state": "done", "back": {}})
    leader = ShardLeader.__new__(ShardLeader)
    leader.entries, leader.cleanup_cursor, leader.size = entries, "", 0
    context = CommandContext(0.0, _Members(), {}, None, _StateTable())
    admission = {"turn": "l/t2", "print": "x", "admission": "a", "gate": "g", "number": 1}

    def turn():
        for command, more in (
            ("admit", {"reserve": 8, "repeatable": False}),
            ("settle", {"units": 3, "outcome": "done"}),
        ):
            view = Transaction(leader.entries, context)
            CONTROLLERS.find("budget").run(view, "budget/p/g000050", command, admission | more)
            leader._apply(view.changes())

    return {"turn": count_calls(turn), "sweep": count_calls(lambda: leader.next_keys(32))}


def loading_time(conversations, programs):
    """Processor seconds that a store and a control node take to load their data at a start."""

    def disk_with(pairs):
        time = SimTime()
        host = SimHost(SimNetwork(time, random.Random(1)), ENDPOINT)
        disk = SimDisk(time, random.Random(2))
        disk.attach(host)
        ring = CircularLog(disk, EventLogger(lambda line: None))
        for first in range(0, len(pairs), 500):
            ring.commit(pairs[first : first + 500])
            time.advance_to(time.now + 0.1)
        return disk, host

    def loading_s(build, pairs):
        disk, host = disk_with(pairs)
        node = SimpleNamespace(
            reactor=SimReactor(host),
            node_id="a",
            log=EventLogger(lambda line: None),
            net=SimpleNamespace(handle=lambda *_: None),
        )
        started_at = process_time()
        build(node, CircularLog(disk, node.log))
        return round(process_time() - started_at, 2)

    state = pack(to_state({VersionVector({"a#1": (0, 1)}): bytes(100)}))
    program = pack_entry({"limit": 100, "spent": 0, "open": {}, "turns": 1})
    mark = pack_entry({"state": "done", "back": {}, "print": "x" * 32, "admission": "a" * 32, "units": 3})
    entries = [
        pair
        for number in range(programs)
        for key in [f"budget/p/g{number}"]
        for pair in (
            (entry_key(shard_of_key(key), 0, key), program),
            (entry_key(shard_of_key(key), 0, f"{key}#turn/l/t"), mark),
        )
    ]
    return (
        loading_s(ConversationTable, [(f"l/p/g{number}/l", b"a#1\0" + state) for number in range(conversations)]),
        loading_s(Voter, entries),
    )
