"""Seeded random trials of consecutive changes under faults of the control nodes and their links, with an audit of which
version each node regards as the newest routing.

The simulator knows exactly when a version was confirmed to its operator, and as of when each node regards its own copy
as the newest. So a wrong age, or a former leader that goes on confirming, is detected on any node at once, long before
a gateway uses the version for longer than the bound for a new one.
By hand: `python tests/routing_age_trial.py 1-50 [5]`
"""

import os
import random
import sys
from dataclasses import dataclass, field

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from oakramp.common.registry import Registry  # noqa: E402
from oakramp.common.tasks import sleep, spawn  # noqa: E402
from oakramp.control.routing import ROUTING_KEY  # noqa: E402
from oakramp.control.shards import shard_of_key  # noqa: E402
from relay_fleet import BOUNDS, RelayFleet, RelayMachine  # noqa: E402

FAULTS = Registry("fault")
VERSION_BOUND_S = BOUNDS["edition_ms"] / 1000
CHANGE_PAUSE = 0.15  # s
STEP = 0.02  # s; between two audits of all nodes
DURATIONS = (0.05, 0.3, 0.6, 0.8, 1.0, 1.5, 2.5, 5.0, 8.0)  # s; of a fault, around the lease and the bounds of ages
FREEZE_LIMIT = 4.0  # s
PAUSES = (0.1, 0.5, 1.0, 3.0)  # s; between two consecutive faults
SLOW_LINKS = (0.02, 0.6)  # s; delay added to each message of a slow link
AUDIT_AFTER_S = 12.0  # s; audited after the last fault began


@dataclass
class Finding:
    """One violation by a node; times are seconds of the trial."""

    at: float
    node: str
    version: int  # that the node used, or regarded as the newest
    confirmed_at: float  # as of when the node did so
    confirmed_version: int  # the newest that had been confirmed to the operator by then


@dataclass
class RoutingAgeTrial:
    """One trial. `confirmed` holds (time, version) of each change that was acknowledged to its operator, in order."""

    seed: int
    cores: int = 3
    seconds: float = 30.0
    confirmed: list = field(default_factory=list)
    wrong_ages: list = field(default_factory=list)
    outdated_uses: list = field(default_factory=list)

    def __post_init__(self):
        self.fleet = RelayFleet(self.seed, cores=self.cores, gates=3)
        self.random = random.Random(f"routing ages {self.seed}")
        self.loading = True

    def play(self):
        self.fleet.bring_up()
        spawn(self._make_changes(), self.fleet.lab_log)
        for _ in range(self.random.choice((1, 1, 2))):
            spawn(self._inject_faults(self.fleet.time.now + self.seconds), self.fleet.lab_log)
        ends_at = self.fleet.time.now + self.seconds + AUDIT_AFTER_S
        while self.fleet.time.now < ends_at:
            self.fleet.run(STEP)
            self._audit()
        self.loading = False
        return self

    # --- load ---

    async def _make_changes(self):
        while self.loading:
            change = await self.fleet.change(step=1)
            if change.outcome == "taken":
                self.fleet.version, self.fleet.document = change.version, change.document
                self.confirmed.append((change.answered_at, change.version))
            await sleep(self.fleet.operator_reactor, CHANGE_PAUSE)

    async def _inject_faults(self, until):
        while self.fleet.time.now < until:
            seconds = self.random.choice(DURATIONS) * self.random.uniform(0.8, 1.2)
            await FAULTS.find(self.random.choice(FAULTS.names()))(self, seconds)
            await sleep(self.fleet.lab_reactor, self.random.choice(PAUSES) * self.random.uniform(0.5, 1.5))

    def control_node(self):
        """A random running control node, or None."""
        running = [one for one in self.fleet.of_kind("core") if one.running and not one.host.frozen]
        return self.random.choice(running) if running else None

    def leader(self):
        """The control node that leads the routing, or None."""
        shard = shard_of_key(ROUTING_KEY)
        return next(
            (one for one in self.fleet.of_kind("core") if one.running and shard in one.node.leaders.active), None
        )

    # --- audit ---

    def _audit(self):
        for machine in self.fleet.machines.values():
            if not machine.running or machine.host.frozen:
                continue
            self._audit_age(machine)
            if machine.kind == "gate":
                self._audit_use(machine)

    def _audit_age(self, machine):
        state_table = machine.node.node.state_table
        if ROUTING_KEY in state_table.snapshots:
            self._compare(
                self.wrong_ages,
                machine,
                state_table.snapshots[ROUTING_KEY].version,
                state_table.confirmed_at(ROUTING_KEY),
            )

    def _audit_use(self, machine):
        router = machine.node.router
        if router.version and router.staleness() is None:
            self._compare(self.outdated_uses, machine, router.version, self.fleet.time.now - VERSION_BOUND_S - STEP)

    def _compare(self, findings, machine, version, confirmed_at):
        due = max((one for at, one in self.confirmed if at < confirmed_at), default=0)
        if version < due:
            findings.append(Finding(self.fleet.time.now, machine.name, version, confirmed_at, due))


# --- faults: coroutines of (trial, seconds) that return once the fault has ended ---


async def _stop_and_restart(trial, machine, seconds, end):
    """Stops the machine by `end`, and starts it again after this time."""
    if machine is None:
        return
    end(machine)
    await sleep(trial.fleet.lab_reactor, seconds)
    machine.start()


@FAULTS.enter("power")
async def _power(trial, seconds):
    await _stop_and_restart(trial, trial.control_node(), seconds, RelayMachine.power_cut)


@FAULTS.enter("powerOfLeader")
async def _power_of_leader(trial, seconds):
    leader = trial.leader()
    is_frozen = leader is not None and leader.host.frozen
    await _stop_and_restart(trial, None if is_frozen else leader, seconds, RelayMachine.power_cut)


@FAULTS.enter("kill")
async def _kill(trial, seconds):
    await _stop_and_restart(trial, trial.control_node(), seconds, RelayMachine.kill)


@FAULTS.enter("freeze")
async def _freeze(trial, seconds):
    machine = trial.random.choice(list(trial.fleet.machines.values()))
    if not machine.running or machine.host.frozen:
        return
    start_count = machine.starts
    machine.freeze()
    await sleep(trial.fleet.lab_reactor, min(seconds, FREEZE_LIMIT))
    if machine.running and machine.starts == start_count:
        machine.thaw()


async def _cut(trial, seconds, both_ways):
    machine, fleet = trial.control_node(), trial.fleet
    if machine is None:
        return
    others = [name for name in fleet.machines if name != machine.name]
    control = [one.name for one in fleet.of_kind("core") if one is not machine]
    heal = fleet.cut([machine.name], trial.random.choice((control, others, [trial.random.choice(others)])), both_ways)
    await sleep(fleet.lab_reactor, seconds)
    heal()


@FAULTS.enter("cut")
async def _cut_both_ways(trial, seconds):
    await _cut(trial, seconds, both_ways=True)


@FAULTS.enter("cutOneWay")
async def _cut_one_way(trial, seconds):
    await _cut(trial, seconds, both_ways=False)


@FAULTS.enter("pair")
async def _pair(trial, seconds):
    some, other = trial.random.sample(sorted(trial.fleet.machines), 2)
    heal = trial.fleet.cut([some], [other], both_ways=trial.random.random() < 0.5)
    await sleep(trial.fleet.lab_reactor, seconds)
    heal()


@FAULTS.enter("slowLinks")
async def _slow_links(trial, seconds):
    machine, fleet = trial.control_node(), trial.fleet
    if machine is None:
        return
    others = [one for one in fleet.machines.values() if one is not machine and trial.random.random() < 0.6]
    pairs = [(machine.host.address, one.host.address) for one in others]
    pairs += [pair[::-1] for pair in pairs]
    fleet.network.delays.update(dict.fromkeys(pairs, trial.random.uniform(*SLOW_LINKS)))
    await sleep(fleet.lab_reactor, seconds)
    for pair in pairs:
        fleet.network.delays.pop(pair, None)


def main():
    first, last = map(int, sys.argv[1].split("-"))
    cores = int(sys.argv[2]) if len(sys.argv) > 2 else 3
    for seed in range(first, last + 1):
        trial = RoutingAgeTrial(seed, cores, seconds=60.0).play()
        findings = len(trial.wrong_ages), len(trial.outdated_uses)
        print(f"seed {seed}: {len(trial.confirmed)} changes, wrong ages and outdated uses {findings}", flush=True)
        print(*trial.wrong_ages[:2], *trial.outdated_uses[:2], sep="\n", end="")


if __name__ == "__main__":
    main()
