"""Seeded random trials of the relay plane under load with overlapping faults, checked against the users' rules. The
suite runs a minority seeds; run more by hand:

    python tests/test_relay_trials.py --seeds 1-40 [--jobs 2] [--seconds 30] [--timeline]
"""

import argparse
import os
import sys
import time
import unittest
from collections import Counter
from dataclasses import dataclass, field
from multiprocessing import Pool

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from oakramp.common.registry import Registry  # noqa: E402
from oakramp.common.tasks import settled, sleep, spawn  # noqa: E402
from oakramp.control.routing import ROUTING_KEY  # noqa: E402
from oakramp.control.shards import shard_of_key  # noqa: E402
from relay_callers import Operator  # noqa: E402
from relay_checker import Observations, check, unserved  # noqa: E402
from relay_fleet import RelayFleet, RelayMachine, mark_route  # noqa: E402
from relay_replicas import FAULTS_AFTER, FAULTS_BEFORE  # noqa: E402

FAULTS, CLOSINGS = Registry("fault"), Registry("closing fault")
SEEDS = (1, 2, 3)
TENANT_SEEDS = (4, 5)
TENANTS = {"north": ["north-1", "north-2"], "south": ["south-1"], "east": ["east-1"]}
SMALL = {"cores": 3, "gates": 2}
SETTLE = 6.0  # s; from the end of the last fault to the closing fault
AFTER = 16.0  # s; of traffic after the closing fault
UNDER_WAY = 8  # changes at a time, at most
LONGEST_WITHOUT_POWER = 9.0  # s; of one machine; for as long its peers keep sending on their former connections
CHANGE_PAUSE = 0.15  # s; between the changes of a series
LOST = 0.7  # share of the answers that never reach an operator
END_TIME = 40.0  # s; each fault has ended within this
LEFT_TIME = 20.0  # s; after the load has ended, the gateways have released everything within this


@dataclass
class Outcome:
    seed: int
    violations: dict
    asked: int
    served: int
    caused: Counter
    near: dict
    timeline: str
    unserved: Counter = field(default_factory=Counter)
    shown: dict = field(default_factory=dict)
    crashes: list = field(default_factory=list)
    seconds: float = 0.0


class Trial:
    """One trial. Invariant: at most one machine that counts as a loss is down or returning at a time (`losing`)."""

    def __init__(self, seed, seconds=20.0, closing=True, **options):
        self.fleet, self.seconds, self.closing = RelayFleet(seed, **options), seconds, closing
        self.random = self.fleet.random
        self.busy, self.losing, self.under, self.caused = set(), False, Counter(), Counter()
        self.findings = []
        self.loading = True

    # --- load ---

    async def _programs(self, client):
        while self.loading:
            turns = [
                turn.try_id
                for turn in self.fleet.callers.turns.values()
                if self.fleet.time.now - turn.answered_at < turn.retain_s - 8
            ]
            previous = self.random.choice(turns) if turns and self.random.random() < 0.3 else None
            tenant = self._tenant_for(previous)
            is_runaway = self.random.random() < 0.02
            spawn(
                client.program(
                    turns=self.random.choice((1, 2, 4)),
                    helpers=0.2,
                    tools=self.random.choice((0, 1, 2)),
                    tokens_most=self.random.choice((30, 60)),
                    previous=previous,
                    tenant=tenant,
                    is_runaway=is_runaway,
                    budget=600 if is_runaway else self.random.choice((100, 240, 100000)),
                ),
                self.fleet.lab_log,
            )
            await sleep(client.reactor, self.random.uniform(0.2, 1.0))

    def _tenant_for(self, previous):
        """The tenant of a program that continues this turn: in most cases the tenant of the turn."""
        if previous is None or self.fleet.tenants is None or self.random.random() < 0.2:
            return None
        return self._tenant_of(self.fleet.callers.turns[previous])

    def _tenant_of(self, turn):
        return self.fleet.callers.programs[turn.program].tenant

    async def _keys(self):
        """Replaces API keys of tenants, among them keys that are in use."""
        number = 0
        while self.loading and self.fleet.tenants is not None:
            await self.pause(0.5, 3.0)
            number += 1
            name = self.fleet.pick_tenant()
            keys = [*self.fleet.keys_of_tenants()[name][-1:], f"{name}-new-{number}"]
            change = self.fleet.adopt(await self.fleet.change_tenant(name, keys))
            if change.outcome != "taken":
                await self.read_again()

    async def _calls(self, client):
        while self.loading:
            spawn(
                self.random.choice(
                    (
                        client.safe,
                        client.unsafe,
                        client.tracked,
                        client.generate,
                        self._moved(client),
                        self._repeated(client),
                        self._once(client),
                    )
                )(),
                self.fleet.lab_log,
            )
            await sleep(client.reactor, self.random.uniform(0.05, 0.4))

    def _moved(self, client):
        path = self.random.choice(("/move/1", "/split/1", "/push/deep/1"))
        return lambda: (client.safe if path.startswith("/split/") else client.unsafe)(path)

    def _once(self, client):
        return lambda: client.call("stream", self.fleet.HOST, "/once/1", b"prompt", tokens_most=40, seconds=4.0)

    def _repeated(self, client):
        async def repeated():
            key = client.mint("k")
            for _ in range(self.random.choice((2, 3))):
                other = self.random.choice(list(self.fleet.clients.values()))
                await other.tracked(key=key)
                await sleep(client.reactor, self.random.choice((0.0, 0.1, 3.0)))

        return repeated

    async def _probes(self):
        """Requests to each gateway that show which configuration is active there."""
        client, zones = self.fleet.client, list(self.fleet.clients)
        while self.loading:
            marks = [change.version for change in self.fleet.callers.changes[-4:]] + [999999]
            for one in self.fleet.of_kind("gate"):
                if one.running and not one.host.frozen:
                    client = self.fleet.clients[self.random.choice(zones)]
                    spawn(
                        client.call(
                            "safe",
                            self.fleet.HOST,
                            f"/mark{self.random.choice(marks)}/1",
                            repeatable=True,
                            retries=0,
                            gate=one,
                            seconds=1.0,
                            is_probe=True,
                        ),
                        self.fleet.lab_log,
                    )
            await sleep(client.reactor, 0.25)

    # --- faults ---

    async def _schedule(self, until, pause):
        while self.fleet.time.now < until:
            name = self.random.choice(FAULTS.names())
            spawn(self._cause(name), self.fleet.lab_log)
            await sleep(self.fleet.lab_reactor, self.random.uniform(0.0, 2 * pause))

    async def _cause(self, name):
        self.under[name] += 1
        marks = len(self.fleet.marks)
        try:
            await FAULTS.find(name)(self)
        finally:
            self.under[name] -= 1
            self.caused[name] += len(self.fleet.marks) > marks

    def pick(self, *kinds):
        free = [
            one
            for one in self.fleet.machines.values()
            if one.kind in kinds
            and one.running
            and not one.host.frozen
            and not one.stopping
            and one.name not in self.busy
        ]
        return self.random.choice(free) if free else None

    async def pause(self, least, most):
        await sleep(self.fleet.lab_reactor, self.random.uniform(least, most))

    async def with_one(self, kinds, work, only=None):
        """Injects a fault into one machine that has no other fault; only one machine that counts as a loss at a time.
        It is `only`, if that is given."""
        one = self.pick(*kinds) if only is None or only.name in self.busy else only
        counts = one is not None and one.kind != "gate"
        if one is None or counts and self.losing:
            return
        self.busy.add(one.name)
        self.losing |= counts
        try:
            await work(one)
            if counts:
                await sleep(self.fleet.lab_reactor, self.fleet.bounds["rejoin_s"])
        finally:
            self.busy.discard(one.name)
            if counts:
                self.losing = False

    async def run_change(self, operator=None, **more):
        """A change by compare-and-set: if it was not accepted, the configuration is read again."""
        fleet = self.fleet
        change = fleet.adopt(await fleet.change(operator, limit=30.0, **more))
        if change.outcome != "taken":
            await self.read_again()
        return change

    async def read_again(self):
        document = await self.fleet.operator.read()
        if document is not None and document["edition"] > self.fleet.version:
            self.fleet.version, self.fleet.document = document["edition"], document

    def answered_changes(self, most):
        changes = [one for one in self.fleet.callers.changes if one.outcome in ("taken", "lost")]
        return self.random.sample(changes, min(most, len(changes)))

    # --- the trial ---

    def _begin_load(self):
        for client in self.fleet.clients.values():
            for work in (self._programs(client), self._calls(client)):
                spawn(work, self.fleet.lab_log)
        spawn(self._probes(), self.fleet.lab_log)
        spawn(self._keys(), self.fleet.lab_log)

    def _await_faults(self):
        end = self.fleet.time.now + END_TIME
        while sum(self.under.values()) and self.fleet.time.now < end:
            self.fleet.run(0.5)
        if sum(self.under.values()):
            self.findings.append(f"did not end: {[name for name, count in self.under.items() if count]}")

    def run(self, pause=0.5):
        began, fleet = time.process_time(), self.fleet
        fleet.bring_up()
        self._begin_load()
        fleet.run(1.0)
        spawn(self._schedule(fleet.time.now + self.seconds, pause), fleet.lab_log)
        fleet.run(self.seconds)
        self._await_faults()
        for replica in fleet.replicas.values():
            replica.odds.clear()
            replica.slow_by = 1.0
        fleet.run(SETTLE)
        if self.closing:
            self._close()
        self.loading = False
        self._finish()
        observed = Observations.of(fleet)
        reports = check(observed)
        firsts = [attempt for attempt in observed.attempts if not attempt.is_probe]
        bad = {name: report.bad for name, report in reports.items() if report.bad}
        return Outcome(
            fleet.seed,
            bad | ({"left over": self.findings} if self.findings else {}),
            len(firsts),
            sum(attempt.is_success for attempt in firsts),
            self.caused,
            {name: report.at_risk for name, report in reports.items()},
            fleet.timeline(400),
            *unserved(observed),
            [line for line in fleet.lines if "rashed" in line],
            time.process_time() - began,
        )

    def _close(self):
        """Injects the closing fault right after a configuration was acknowledged."""
        fleet = self.fleet
        fleet.until(self.run_change(), 40.0)
        if self.random.random() < 0.5:
            spawn(self.run_change(), fleet.lab_log)  # this one may be interrupted by the fault
            fleet.run(self.random.uniform(0.0, 0.02))
        came = fleet.time.now
        fleet.closing_fault = (came, came)
        name = self.random.choice(CLOSINGS.names())
        CLOSINGS.find(name)(self)
        self.caused[name] += 1
        fleet.closing_fault = (came, fleet.time.now)
        kept = [turn for turn in fleet.callers.turns.values() if came - turn.answered_at < turn.retain_s / 2]
        for turn in self.random.sample(kept, min(8, len(kept))):
            spawn(self._continue_turn(turn), fleet.lab_log)
        fleet.run(AFTER)

    async def _continue_turn(self, turn):
        """A new program continues a turn from before the closing fault and retries until the bound."""
        client = self.random.choice(list(self.fleet.clients.values()))
        program = client.open_program(tenant=self._tenant_of(turn))
        until = self.fleet.closing_fault[1] + self.fleet.bounds["recover_s"]
        while self.fleet.time.now < until:
            last = await client.turn(program, client.mint("s"), turn.try_id, restarts=0)
            if last.is_success:
                return
            await sleep(client.reactor, self.random.uniform(0.1, 0.4))

    def _finish(self):
        fleet = self.fleet
        fleet.run(6.0)
        fleet.callers.read_back = (200, fleet.until(fleet.operator.read(), 60.0))
        fleet.until(settled([fleet.operator.repeat(change) for change in self.answered_changes(2 * UNDER_WAY)]), 60.0)
        end = fleet.time.now + LEFT_TIME
        while (left := self._unreleased()) and fleet.time.now < end:
            fleet.run(1.0)
        self.findings += left

    def _unreleased(self):
        """What the gateways still hold although no client sends requests any more."""
        found = []
        for one in self.fleet.of_kind("gate"):
            node = one.node
            held = sum(instance.in_flight for instance in node.balancer.instances.values())
            counts = {
                "running": node.front.running,
                "waiting": node.balancer.waiting_count(),
                "settling": len(node.settling),
                "places": held,
                "bodies": node.node.memory_account.held,
            }
            found += [f"{one.name} holds {counts}"] if any(counts.values()) else []
        return found


async def _ended_and_back(trial, one, end, least=0.3, most=5.0):
    end()
    await trial.pause(least, most)
    one.start()


@FAULTS.enter("gate killed")
async def _gate_killed(trial):
    await trial.with_one(["gate"], lambda one: _ended_and_back(trial, one, one.kill))


@FAULTS.enter("gate stopped")
async def _gate_stopped(trial):
    async def stopped(one):
        await one.stop()
        await trial.pause(0.2, 2.0)
        one.start()

    await trial.with_one(["gate"], stopped)


async def _frozen(trial, one):
    one.freeze()
    await trial.pause(0.3, 6.0)
    one.thaw()


@FAULTS.enter("gate frozen")
async def _gate_frozen(trial):
    await trial.with_one(["gate"], lambda one: _frozen(trial, one))


@FAULTS.enter("gate cut off")
async def _gate_cut_off(trial):
    async def cut(one):
        kind = trial.random.choice(("core", "store"))
        heal = trial.fleet.cut(
            [one.name], [other.name for other in trial.fleet.of_kind(kind)], trial.random.random() < 0.6
        )
        await trial.pause(0.5, 8.0)
        heal()

    await trial.with_one(["gate"], cut)


@FAULTS.enter("core or store killed")
async def _killed(trial):
    await trial.with_one(["core", "store"], lambda one: _ended_and_back(trial, one, one.kill))


@FAULTS.enter("core or store loses power")
async def _power(trial):
    await trial.with_one(
        ["core", "store"], lambda one: _ended_and_back(trial, one, one.power_cut, most=LONGEST_WITHOUT_POWER)
    )


@FAULTS.enter("leader loses power among changes")
async def _leader_loses_power(trial):
    """The control node that leads the shard of the routing is without power for long; changes follow one another
    before, during and for as long after it."""

    async def lost(one):
        ends_at = trial.fleet.time.now + 2 * LONGEST_WITHOUT_POWER
        changes = spawn(_change_on(trial, ends_at), trial.fleet.lab_log)
        await _ended_and_back(trial, one, one.power_cut, least=LONGEST_WITHOUT_POWER - 3.0, most=LONGEST_WITHOUT_POWER)
        await changes

    shard = shard_of_key(ROUTING_KEY)
    leaders = [one for one in trial.fleet.of_kind("core") if one.running and shard in one.node.leaders.active]
    if leaders:
        await trial.with_one(["core"], lost, only=leaders[0])


async def _change_on(trial, ends_at):
    while trial.fleet.time.now < ends_at:
        await trial.run_change()
        await sleep(trial.fleet.lab_reactor, CHANGE_PAUSE)


@FAULTS.enter("core or store stopped")
async def _stopped(trial):
    async def stopped(one):
        await one.stop()
        await trial.pause(0.2, 2.0)
        one.start()

    await trial.with_one(["core", "store"], stopped)


@FAULTS.enter("core or store frozen")
async def _core_frozen(trial):
    await trial.with_one(["core", "store"], lambda one: _frozen(trial, one))


def _wipe(one):
    one.power_cut()
    one.lose_disk()


@FAULTS.enter("core or store wiped")
async def _wiped(trial):
    await trial.with_one(["core", "store"], lambda one: _ended_and_back(trial, one, lambda: _wipe(one)))


@FAULTS.enter("slow disk")
async def _slow_disk(trial):
    async def slow(one):
        trial.fleet.record_fault(one, "slow disk")
        one.disk.sync_time = trial.random.choice((0.05, 0.3, 1.0))
        await trial.pause(1.0, 8.0)
        one.disk.sync_time = 0.002
        trial.fleet.record_fault(one, "well")

    await trial.with_one(["core", "store"], slow)


@FAULTS.enter("core split")
async def _core_split(trial):
    async def split(one):
        cores = [other.name for other in trial.fleet.of_kind(one.kind)]
        more = [name for name in cores if name != one.name][
            : max(0, (len(cores) - 1) // 2 - 1) if one.kind == "core" else 0
        ]
        minority = [one.name, *trial.random.sample(more, trial.random.randrange(len(more) + 1))]
        heal = trial.fleet.cut(minority, [name for name in cores if name not in minority], trial.random.random() < 0.7)
        await trial.pause(1.0, 9.0)
        heal()

    await trial.with_one(["core", "store"], split)


@FAULTS.enter("slow link")
async def _slow_link(trial):
    async def slow(one):
        fleet = trial.fleet
        other = trial.random.choice([other for other in fleet.machines.values() if other is not one])
        pairs = [(one.host.address, other.host.address), (other.host.address, one.host.address)][
            : trial.random.choice((1, 2))
        ]
        for name in (one.name, other.name):
            fleet.record_fault(name, "slow link")
        for pair in pairs:
            fleet.network.delays[pair] = trial.random.choice((0.05, 0.3, 1.0))
        await trial.pause(1.0, 6.0)
        for pair in pairs:
            fleet.network.delays.pop(pair, None)
        for name in (one.name, other.name):
            fleet.record_fault(name, "well")

    await trial.with_one(["core", "store"], slow)


@FAULTS.enter("clock jumps")
async def _clock_jumps(trial):
    one = trial.pick("gate", "core", "store")
    if one is not None:
        trial.fleet.mark(one.name, "wall clock jumps")
        one.wall_offset += trial.random.choice((-86400.0, -30.0, 30.0, 3600.0))


@FAULTS.enter("settings change")
async def _settings_change(trial):
    """The settings file changes to other seeds, and a signal triggers the reload."""
    one = trial.pick("gate", "core", "store")
    if one is not None:
        trial.fleet.mark(one.name, "settings change")
        seeds = trial.fleet.of_kind("core")
        one.node.node.settings_changed(one.env(trial.random.sample(seeds, min(3, len(seeds)))))


@FAULTS.enter("gate joins")
async def _gate_joins(trial):
    fleet = trial.fleet
    if len(fleet.of_kind("gate")) < 5:
        number = len(fleet.marks) + 300
        new = fleet.machines[f"gate{number}"] = RelayMachine(
            fleet, "gate", number, trial.random.choice(list(fleet.clients))
        )
        new.start()


@FAULTS.enter("machine replaced by another")
async def _replaced(trial):
    """A machine is lost for good, and an empty one at another address replaces it."""

    async def replaced(one):
        fleet = trial.fleet
        _wipe(one)
        await trial.pause(0.0, 3.0)
        number = 100 + len(fleet.machines) + fleet[one.name].starts + len(fleet.marks)
        del fleet.machines[one.name]
        fleet.removed_machines.append(one)
        new = fleet.machines[f"{one.kind}{number}"] = RelayMachine(fleet, one.kind, number, one.zone)
        new.start()
        if one.kind == "store":
            fleet_ready = lambda: new.node.store.covers  # noqa: E731
        else:
            fleet_ready = lambda: (
                new.node.voter.voting_config is not None
                and new.node.node.node_id in new.node.voter.voting_config.members
            )  # noqa: E731
        await _wait(trial, fleet_ready)

    await trial.with_one(["core", "store"], replaced)


async def _wait(trial, is_ready, limit=30.0):
    until = trial.fleet.time.now + limit
    while not is_ready():
        if trial.fleet.time.now > until:
            trial.findings.append(f"a new machine had not joined after {limit} s")
            return
        await sleep(trial.fleet.lab_reactor, 0.2)


@FAULTS.enter("store emptied")
async def _emptied(trial):
    """A spare store joins; the operator has another store emptied and then removes that one with its disk."""

    async def emptied(one):
        fleet = trial.fleet
        new = fleet.machines[f"store{200 + len(fleet.marks)}"] = RelayMachine(
            fleet, "store", 200 + len(fleet.marks), one.zone
        )
        new.start()
        await trial.pause(0.5, 2.0)
        fleet.mark(one.name, "retiring")
        status, _ = await fleet.operator.ask("POST", f"/retire/{one.name}", body=b'{"over_s": 10}', limit=10.0)
        if status != 200:
            trial.findings.append(f"retiring {one.name} was answered with {status}")
            return
        until = fleet.time.now + 30.0
        while fleet.time.now < until:
            status, message = await fleet.operator.ask("GET", f"/retire/{one.name}", limit=5.0)
            if status == 200 and b"delivered" in message.body:
                _wipe(one)
                del fleet.machines[one.name]
                fleet.removed_machines.append(one)
                return
            await sleep(fleet.lab_reactor, 0.3)
        trial.findings.append(f"{one.name} was not emptied in 30 s")

    await trial.with_one(["store"], emptied)


@FAULTS.enter("replica leaves")
async def _replica_leaves(trial):
    fleet = trial.fleet
    service = trial.random.choice(sorted(fleet.plans))
    staying = [one for one in fleet.of_service(service) if not one.leaving]
    if len(staying) < 2:
        return
    fleet.add_replica(service)
    await fleet.close_replica(trial.random.choice(staying))


@FAULTS.enter("replica crashes")
async def _replica_crashes(trial):
    fleet = trial.fleet
    service = trial.random.choice(sorted(fleet.plans))
    staying = [one for one in fleet.of_service(service) if not one.leaving]
    if len(staying) < 2:
        return
    gone = trial.random.choice(staying)
    fleet.crash_replica(gone)
    await sleep(fleet.lab_reactor, fleet.bounds["address_reuse_s"] + 0.1)
    successor = trial.random.choice(sorted(fleet.plans))
    fleet.add_replica(successor, address=gone.address)
    if successor != service:
        fleet.add_replica(service)


@FAULTS.enter("replica does wrong")
async def _replica_wrong(trial):
    fleet = trial.fleet
    one = trial.random.choice([one for one in fleet.replicas.values() if not one.ended])
    fault = trial.random.choice(FAULTS_AFTER + FAULTS_BEFORE)
    fleet.mark(one.id, fault)
    one.odds[fault] = trial.random.choice((0.1, 0.5))
    await trial.pause(1.0, 6.0)
    one.odds.pop(fault, None)


@FAULTS.enter("replica slow")
async def _replica_slow(trial):
    one = trial.random.choice([one for one in trial.fleet.replicas.values() if not one.ended])
    trial.fleet.mark(one.id, "slow")
    one.slow_by = trial.random.choice((3.0, 20.0))
    await trial.pause(1.0, 5.0)
    one.slow_by = 1.0


@FAULTS.enter("list away")
async def _list_away(trial):
    fleet, since = trial.fleet, trial.fleet.time.now
    if fleet.list.silent:
        return
    fleet.mark("list", "silent")
    fleet.list.silent = True
    await trial.pause(0.5, 8.0)
    fleet.list.silent = False
    fleet.mark("list", "speaks")
    fleet.list_outages.append((since, fleet.time.now + 1.0))


@FAULTS.enter("burst")
async def _burst(trial):
    trial.fleet.mark("clients", "burst")
    for _ in range(25):
        for client in trial.fleet.clients.values():
            spawn(
                trial.random.choice((client.safe, client.unsafe, client.tracked, client.generate))(),
                trial.fleet.lab_log,
            )
        await sleep(trial.fleet.lab_reactor, 0.02)


@FAULTS.enter("change")
async def _change(trial):
    trial.fleet.mark("operator", "change")
    await trial.run_change()


@FAULTS.enter("race")
async def _race(trial):
    trial.fleet.mark("operator", "race")
    second = Operator(trial.fleet, "second")
    await settled([trial.run_change(step=2), trial.run_change(second, step=3)])
    await trial.read_again()


@FAULTS.enter("one number, answers lost")
async def _one_number(trial):
    """Several operators use one version number for different changes, and 70 % of their answers are lost."""
    fleet, base, based_on = trial.fleet, trial.fleet.document, trial.fleet.version
    fleet.mark("operator", "one number")
    version = based_on + trial.random.choice((1, 2))
    marks = [item["name"] for item in base["mail_routes"] if item["name"].startswith("mark")]

    async def change(number):
        operator = Operator(fleet, f"operator {number}", lost=LOST)
        routes = [mark_route(version) | {"target_ms": 300 + number}]
        return await operator.patch(
            based_on, version, {"mail_routes": routes}, {"mail_routes": marks}, base, limit=30.0
        )

    for _, one in await settled([change(number) for number in range(trial.random.choice((2, 4, UNDER_WAY)))]):
        fleet.adopt(one)
    await trial.read_again()


@FAULTS.enter("orders sent again")
async def _sent_again(trial):
    """Answered changes of any age are sent again to random nodes."""
    fleet = trial.fleet
    fleet.mark("operator", "orders sent again")
    await settled([fleet.operator.repeat(change) for change in trial.answered_changes(UNDER_WAY)])


@FAULTS.enter("invalid configuration")
async def _invalid(trial):
    fleet = trial.fleet
    fleet.mark("operator", "invalid")
    document = fleet.make_document(fleet.version + 5)
    routes = document["mail_routes"]
    bad = trial.random.choice(
        (
            document | {"mail_routes": [*routes, routes[0] | {"name": "twin"}]},
            document
            | {"mail_routes": [*routes, routes[0] | {"name": "nowhere", "path_head": "/x/", "depot": "unknown"}]},
            document | {"edition": fleet.version},
            document | {"depots": []},
        )
    )
    await fleet.operator.put(bad, fleet.version, is_valid=False, limit=10.0)


@FAULTS.enter("after an acknowledgement")
async def _after_acknowledgement(trial):
    """The node that has just acknowledged a change is killed, loses power, or loses its disk."""

    async def lost(one):
        change = await trial.run_change(node=one)
        end = trial.random.choice((one.kill, one.power_cut, lambda: _wipe(one)))
        if change.outcome == "taken":
            await _ended_and_back(trial, one, end)

    await trial.with_one(["core"], lost)


@FAULTS.enter("store lost that wrote")
async def _store_lost(trial):
    """The store machine that has synced most loses its power or its disk in the middle of it."""

    async def lost(one):
        await _ended_and_back(trial, one, trial.random.choice((one.power_cut, lambda: _wipe(one))))

    await trial.with_one(["store"], lost)


def _all_back(trial):
    trial.fleet.run(trial.random.uniform(0.3, 2.0))
    for one in trial.fleet.machines.values():
        one.start()


@CLOSINGS.enter("all lose power")
def _all_lose_power(trial):
    for one in trial.fleet.machines.values():
        one.power_cut()
    _all_back(trial)


@CLOSINGS.enter("all are killed")
def _all_killed(trial):
    for one in trial.fleet.machines.values():
        one.kill()
    _all_back(trial)


@CLOSINGS.enter("one disk is lost, all lose power")
def _disk_and_power(trial):
    lost = trial.pick("core", "store")
    for one in trial.fleet.machines.values():
        one.power_cut()
    lost.lose_disk()
    _all_back(trial)


@CLOSINGS.enter("one disk is lost")
def _one_disk(trial):
    lost = trial.pick("core", "store")
    _wipe(lost)
    trial.fleet.run(trial.random.uniform(0.3, 2.0))
    lost.start()


def run_trial(seed, seconds=20.0, **options):
    return Trial(seed, seconds, **options).run()


class TrialsWithTenants(unittest.TestCase):
    def test_seeds(self):
        for seed in TENANT_SEEDS:
            with self.subTest(seed=seed):
                outcome = run_trial(seed, 6.0, tenants=TENANTS, **SMALL)
                self.assertEqual(outcome.violations, {}, outcome.timeline)
                self.assertEqual(outcome.crashes, [])
                self.assertGreater(outcome.served, 0.4 * outcome.asked)


class Trials(unittest.TestCase):
    def test_seeds(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                outcome = run_trial(seed, 6.0, **SMALL)
                self.assertEqual(outcome.violations, {}, outcome.timeline)
                self.assertEqual(outcome.crashes, [])
                self.assertGreater(outcome.served, 0.5 * outcome.asked)


def _run_seed(arguments):
    seed, seconds, options = arguments
    try:
        return run_trial(seed, seconds, **options)
    except Exception as error:
        return f"seed {seed} raised an exception: {error!r}"


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seeds", default="1-10")
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--small", action="store_true", help="the small fleet of the suite")
    parser.add_argument("--tenants", action="store_true", help="with tenants' keys, which come and go")
    parser.add_argument("--timeline", action="store_true")
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    broken, near, caused, not_served, shown = [], Counter(), Counter(), Counter(), {}
    with Pool(min(arguments.jobs, len(seeds)), maxtasksperchild=1) as pool:
        options = (SMALL if arguments.small else {}) | ({"tenants": TENANTS} if arguments.tenants else {})
        for outcome in pool.imap(_run_seed, [(seed, arguments.seconds, options) for seed in seeds]):
            if isinstance(outcome, str):
                print(outcome, flush=True)
                broken.append(outcome)
                continue
            near.update(outcome.near)
            caused.update(outcome.caused)
            not_served.update(outcome.unserved)
            shown = {name: f"seed {outcome.seed}: {first}" for name, first in outcome.shown.items()} | shown
            print(
                f"seed {outcome.seed}: {outcome.served} of {outcome.asked} served, "
                f"{sum(outcome.caused.values())} faults, {outcome.seconds:.0f} s",
                flush=True,
            )
            for name, rows in outcome.violations.items():
                print(f"    {name}: {len(rows)}", *rows[:4], sep="\n        ", flush=True)
            for line in outcome.crashes[:3]:
                print(f"    {line[:600]}", flush=True)
            if outcome.violations or outcome.crashes:
                broken.append(outcome.seed)
                if arguments.timeline:
                    print(outcome.timeline, flush=True)
    for name, count in not_served.most_common(40):
        print(
            f"{count:6} {name[0]:9}{name[1]:8} {name[2]} {name[3]}"
            + (f"  ({shown[name]})" if name[0] == "calm" else "")
        )
    print(f"{len(broken)} of {len(seeds)} broken: {broken}\nfaults: {dict(caused)}\nnear: {dict(near)}")
    return 1 if broken else 0


if __name__ == "__main__":
    # Sets of names must have the same order in each process, so that a seed reproduces its trial.
    if os.environ.get("PYTHONHASHSEED") != "0":
        os.execve(sys.executable, [sys.executable, *sys.argv], os.environ | {"PYTHONHASHSEED": "0"})
    sys.exit(main())
