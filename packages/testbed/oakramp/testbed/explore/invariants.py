"""The invariants of an explored world: those of all processes after each step, and those of the operators' history at
the end."""

from dataclasses import dataclass

from oakramp.control.routing import ROUTING_KEY
from oakramp.control.shards import unpack_entry
from oakramp.testbed.explore.process import SHARD


@dataclass(frozen=True)
class Violation:
    """A violated rule and the evidence."""

    rule: str
    detail: str


TWO_LEADERS = "two owners inside their terms"
TABLE_WENT_BACK = "what a disk holds or has promised has fallen"
SNAPSHOTS_DIFFER = "two images of one epoch and sequence differ"
PROMISED_TWICE = "an epoch was promised twice by one disk"
EPOCH_SHARED = "one epoch was served by two processes"
PUBLISHES_OTHERS_SHARD = "a process publishes news of a slot that it does not hold"
CRASHED = "an error that no code expects"
ACKNOWLEDGED_LOST = "an acknowledged change is lost"
REFUSED_IN_FORCE = "a refused change is in force"
TWO_ON_ONE_BASE = "two changes were acknowledged on one base"
OLD_READ = "a read gave an older state than was known before it was asked"
UNKNOWN_READ = "a read gave a state that is not in force later"
APPLIED_TWICE = "a change was applied twice"
NOT_SERVED = "no majority serves although the losses were tolerated"


class InvariantChecker:
    """Checks the processes after each step. Its own invariants: `_tables` holds the newest promise and snapshot seen on
    each disk, by node id, and `_snapshots` the entries of each (epoch, sequence) seen on any disk."""

    def __init__(self, world):
        self._world = world
        self._tables, self._snapshots = {}, {}
        self._promises, self._served = {}, {}
        self.violations = []

    def _add_violation(self, rule, detail):
        self.violations.append(Violation(rule, detail))

    def on_reply(self, process, method, arguments, result):
        """Called with each reply of a process to another."""
        if method != "prepare" or result is None or not result.granted:
            return
        key = process.node_id, arguments.epoch
        if key in self._promises:
            self._add_violation(
                PROMISED_TWICE, f"{process.node_id} promised epoch {arguments.epoch} to {self._promises[key]} before"
            )
        self._promises[key] = arguments.owner

    def check(self):
        """Called after each step."""
        holders = [process for process in self._world.processes() if process.leader and process.leader.holds_lease()]
        if len(holders) > 1:
            description = ", ".join(f"{one.name} (epoch {one.leader.epoch})" for one in holders)
            self._add_violation(TWO_LEADERS, description)
        for process in self._world.processes():
            self._check_leader(process)
            self._check_table(process)
        for crash in self._world.crashes:
            self._add_violation(CRASHED, crash)
        self._world.crashes.clear()

    def _check_leader(self, process):
        if process.leader is None:
            if process.publishes_shard():
                self._add_violation(PUBLISHES_OTHERS_SHARD, process.name)
            return
        run = process.node_id, process.start_count
        if self._served.setdefault(process.leader.epoch, run) != run:
            self._add_violation(
                EPOCH_SHARED, f"epoch {process.leader.epoch}: {run} and {self._served[process.leader.epoch]}"
            )

    def _check_table(self, process):
        epoch, sequence, entries = process.table()
        now = process.voter.promised_epoch(SHARD), epoch, sequence
        previous = self._tables.get(process.node_id, (0, 0, 0))
        if previous == now:
            return
        if now[0] < previous[0] or now[1:] < previous[1:] or now[0] < epoch:
            self._add_violation(TABLE_WENT_BACK, f"{process.node_id}: from {previous} to {now}")
        self._tables[process.node_id] = now
        snapshot = tuple(entries.items())
        if self._snapshots.setdefault((epoch, sequence), snapshot) != snapshot:
            self._add_violation(SNAPSHOTS_DIFFER, f"{process.node_id} at epoch {epoch}, sequence {sequence}")


def applied_changes(entries):
    """The count of changes, and the version of each change by fingerprint, of the configuration in these entries."""
    head = unpack_entry(entries[ROUTING_KEY]) if ROUTING_KEY in entries else {"taken": 0}
    prefix = f"{ROUTING_KEY}#taken/"
    taken = {key.removeprefix(prefix): unpack_entry(value) for key, value in entries.items() if key.startswith(prefix)}
    return head["taken"], taken


def check_operator_history(history, entries):
    """Compares the operators' history with the state at the end."""
    count, taken = applied_changes(entries)
    changes = history.changes
    for change in changes.values():
        if change.acknowledged_at() is not None and taken.get(change.fingerprint) != change.version:
            yield Violation(ACKNOWLEDGED_LOST, f"{change.fingerprint} made version {change.version}; in force: {taken}")
        if change.is_refused() and change.fingerprint in taken:
            yield Violation(REFUSED_IN_FORCE, f"{change.fingerprint} is version {change.version}")
    bases = [change.base for change in changes.values() if change.acknowledged_at() is not None]
    for base in {base for base in bases if bases.count(base) > 1}:
        yield Violation(TWO_ON_ONE_BASE, f"version {base}")
    if count != len(taken):
        yield Violation(APPLIED_TWICE, f"{count} changes counted, {len(taken)} known")
    yield from _check_reads(history, taken)


def _check_reads(history, taken):
    reads = [read for read in history.reads if read.call.is_acknowledged()]
    known_versions = [
        (change.acknowledged_at(), change.version)
        for change in history.changes.values()
        if change.acknowledged_at() is not None
    ]
    known_versions += [(read.call.ended_at, read.seen()[0]) for read in reads]
    for read in reads:
        version, fingerprint = read.seen()
        known = max((one for at, one in known_versions if at < read.call.begun_at), default=0)
        if version < known:
            yield Violation(OLD_READ, f"version {version} was read, {known} was known")
        if version and taken.get(fingerprint) != version:
            yield Violation(UNKNOWN_READ, f"version {version} by {fingerprint}; in force: {taken}")
