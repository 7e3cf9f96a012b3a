"""Seeded random trials of operators that change the configuration on a simulated cluster under faults.

The complete history is checked against a compare-and-set register (oakramp.testbed.linearizability)."""

import json
import random
from collections import Counter, defaultdict
from dataclasses import dataclass
from unittest.mock import patch

from oakramp.common.errors import OutcomeUnknownError
from oakramp.common.registry import Registry
from oakramp.common.tasks import settled, sleep, spawn, within
from oakramp.common.validation import pack_json
from oakramp.control import routing
from oakramp.control.control_node import ControlNode
from oakramp.control.routing import ROUTING_KEY, document_from
from oakramp.control.shards import shard_of_key
from oakramp.testbed import simfleet
from oakramp.testbed.linearizability import NEVER_ANSWERED, NO_CONTENT, Answer, Order, Read, Try, check_history
from oakramp.testbed.simfleet import SimFleet
from oakramp.testbed.simnet import SimHost, SimReactor
from test_operator import PORT, HttpAnswer, SmallDialect, document, send_once

FAULTS = Registry("trouble")
ANSWERS = {200: Answer.ACKNOWLEDGED, 412: Answer.REFUSED, 400: Answer.INVALID}
CONCURRENT_ORDERS = 8
LOST_ANSWER_SHARE = 0.7  # share of answers that are lost on the way to the operator
ANSWER_TIMEOUT = 1.0  # s; without an answer for this long an operator sends its order again
CONCURRENT_FAULTS = 2
EXCLUSIVE_FAULTS = {"wiped"}  # at most one disk is lost at a time, and only while no other fault is active
TRIES = 12  # in a row for one order, then its operator gives up and its outcome stays open
STOP_TIME = 10.0  # s; a planned stop that takes longer will not end, since its process was killed
STEADY_AFTER = 12.0  # s; after the last fault the cluster has recovered
FINAL_TIME = 60.0  # s; limit for the last read of a node


def control_node_with(dialect):
    """A builder of control nodes that serve the operator API."""

    def build(reactor, env, *parts, **named):
        address = f"{env['http'].partition(':')[0]}:{PORT}"
        env = {name: value for name, value in env.items() if name != "platform"} | {"operator": address}
        return ControlNode(reactor, env, *parts, dialect=dialect, **named)

    return build


@dataclass(eq=False)
class Sent(Order):
    """An order with the request that it is sent as."""

    method: str = "PUT"
    body: bytes = b""


@dataclass
class Outcome:
    seed: int
    faults: list
    answers: Counter
    taken: int
    reads: int
    fault_counts: Counter
    late_repeats: Counter  # answers to orders that are repeated after later ones were applied


class OrderTrial:
    """One trial. Invariants: `documents` holds the content of each version that an operator knows to have been applied;
    at most two of the five control nodes have a fault at a time, except for faults of all nodes, and no disk is lost
    during another fault (`busy` has the names of the nodes with a fault)."""

    def __init__(self, seed, seconds=20.0, remembered=None, with_faults=True):
        self.seed, self.seconds, self.remembered, self.with_faults = seed, seconds, remembered, with_faults
        self.random = random.Random(f"orders {seed}")
        self.orders, self.reads, self.documents = [], [], {0: None}
        self.fault_counts, self.late_repeats = Counter(), Counter()
        self.number, self.loading, self.violations = 0, True, []
        self.busy, self.active_faults = set(), []
        self.state_table_versions, self.on_state_tables = {}, defaultdict(set)

    # --- one call ---

    def _node(self):
        return self.random.choice(self.fleet.of_kind("control"))

    async def _send(self, one, method, body=b"", headers=()):
        return await send_once(
            self.reactor, one.machine.host, method, body=body, headers=headers, time_left=ANSWER_TIMEOUT
        )

    async def _try(self, order, node=None):
        """Sends the order once and returns the answer that its operator gets."""
        sent_at = self.fleet.time.now
        order.tries.append(Try(sent_at, NEVER_ANSWERED, Answer.OPEN))
        index = len(order.tries) - 1
        response = await self._send(node or self._node(), order.method, order.body, [f"Built-On: {order.base}"])
        if self.random.random() < LOST_ANSWER_SHARE and self.loading:
            response = HttpAnswer(0)
        answer = ANSWERS.get(response.status, Answer.OPEN)
        if answer is not Answer.OPEN:
            order.tries[index] = Try(sent_at, self.fleet.time.now, answer)
        if answer is Answer.ACKNOWLEDGED:
            self.documents.setdefault(order.version, json.loads(order.content))
            if response.body != {"version": order.version}:
                self.violations.append(f"{order} was acknowledged as {response.body}")
        if response.status and response.status not in (200, 400, 412, 503):
            self.violations.append(f"{order} was answered with the unexpected status {response.status}")
        return answer

    async def _read(self, node=None):
        sent_at = self.fleet.time.now
        response = await self._send(node or self._node(), "GET")
        if response.status == 404:
            self.reads.append(Read(0, NO_CONTENT, sent_at, self.fleet.time.now))
        if response.status != 200:
            return response.status
        version = response.body["number"]
        self.reads.append(Read(version, pack_json(response.body), sent_at, self.fleet.time.now))
        self.documents.setdefault(version, response.body)
        return response.status

    # --- operators ---

    def _base(self):
        """Mostly the newest version that any operator knows, sometimes a past, an open or a future one."""
        newest, chance = max(self.documents), self.random.random()
        if chance < 0.75:
            return newest
        if chance < 0.85:
            return self.random.choice([one.version for one in self.orders[-8:]] or [newest])
        return self.random.choice(sorted(self.documents)) if chance < 0.95 else newest + self.random.randint(1, 5)

    def _draw_order(self):
        """A change that was not sent before; another operator often uses the same version number."""
        self.number += 1
        base = self._base()
        version = base + self.random.choice((1, 1, 1, 2, 3))
        mark = f"m{self.number}"
        if self.random.random() < 0.05:
            return self._order(base, document(version, to="nowhere", **{mark: "/m/"}), is_valid=False)
        if self.documents.get(base) is not None and self.random.random() < 0.5:
            return self._patch(base, version, mark)
        return self._order(base, document(version, to=self.random.choice(("g1", "g2")), **{mark: f"/{mark}/"}))

    def _order(self, base, configuration, is_valid=True):
        return self._keep(
            Sent(
                base,
                configuration["number"],
                pack_json(configuration),
                is_valid=is_valid,
                body=pack_json(configuration),
            )
        )

    def _patch(self, base, version, mark):
        previous = self.documents[base]
        added = {"name": mark, "at": "h.example", "under": f"/{mark}/", "to": "g1"}
        dropped = [way["name"] for way in previous["ways"][:-5]]
        body = {"number": version, "put": {"ways": [added]}, "drop": {"ways": dropped}}
        ways = [way for way in previous["ways"] if way["name"] not in dropped]
        content = pack_json(previous | {"number": version, "ways": [*ways, added]})
        return self._keep(Sent(base, version, content, method="PATCH", body=pack_json(body)))

    def _keep(self, order):
        self.orders.append(order)
        return order

    async def _operate(self):
        while self.loading:
            if self.random.random() < 0.4:
                await self._read()
            order = self._draw_order()
            both_at_once = [self._try(order), self._try(order)] if self.random.random() < 0.2 else []
            await settled(both_at_once)
            for _ in range(TRIES):
                if not self.loading or await self._try(order) is not Answer.OPEN:
                    break
                await sleep(self.reactor, self.random.choice((0.0, 0.01, 0.2)))

    async def _repeat(self):
        """Repeats orders of any age, whatever their outcome was."""
        while self.loading:
            if self.orders:
                await self._try_late(self.random.choice(self.orders))
            await sleep(self.reactor, self.random.uniform(0.0, 0.3))

    async def _try_late(self, order):
        answer = await self._try(order)
        if order.version < max(self.documents):
            self.late_repeats[order.is_acknowledged, answer.value] += 1

    # --- the trial ---

    def run(self):
        remembered = self.remembered or routing.CHANGES_REMEMBERED
        with (
            patch.dict(simfleet.BUILDERS, control=control_node_with(SmallDialect())),
            patch.object(routing, "CHANGES_REMEMBERED", remembered),
        ):
            return self._run()

    def _run(self):
        fleet = self.fleet = SimFleet(self.seed, self_forming=True).bring_up(plans=False)
        self.reactor = SimReactor(SimHost(fleet.network, "127.20.252.1"))
        tasks = [spawn(self._operate(), fleet.lab_log) for _ in range(CONCURRENT_ORDERS)]
        tasks += [spawn(self._repeat(), fleet.lab_log) for _ in range(2)]
        spawn(self._watch_state_tables(), fleet.lab_log)
        if self.with_faults:
            until = fleet.time.now + self.seconds
            tasks += [spawn(self._inject_faults(until), fleet.lab_log) for _ in range(CONCURRENT_FAULTS)]
        fleet.run(self.seconds)
        self.loading = False
        fleet.until(settled(tasks), 60.0)
        fleet.run(STEADY_AFTER)
        fleet.until(self._finish(), FINAL_TIME + 120.0)
        crashes = [line for line in fleet.lines if "rashed" in line]
        return Outcome(
            self.seed,
            self.violations + crashes + self._unordered_configurations() + check_history(self.orders, self.reads),
            Counter(one.answer.value for order in self.orders for one in order.tries),
            sum(order.is_acknowledged for order in self.orders),
            len(self.reads),
            self.fault_counts,
            self.late_repeats,
        )

    async def _finish(self):
        """Reads the newest version at each node, and repeats orders of all ages without losing answers."""
        for node in self.fleet.of_kind("control"):
            until = self.fleet.time.now + FINAL_TIME
            while await self._read(node) not in (200, 404):
                if self.fleet.time.now > until:
                    self.violations.append(
                        f"{node.name} gave no definite answer to the last read within {FINAL_TIME} s"
                    )
                    return
                await sleep(self.reactor, 0.2)
        for order in self.orders[:: max(1, len(self.orders) // 80)]:
            await self._try_late(order)

    # --- the configuration at the nodes ---

    async def _watch_state_tables(self):
        """Records each configuration that any node, gateways included, has during the trial."""
        while True:
            for one in self.fleet.by_name.values():
                snapshot = one.node.node.state_table.snapshots.get(ROUTING_KEY)
                if snapshot is not None and self.state_table_versions.get(one.name) != (one.starts, snapshot.version):
                    self.state_table_versions[one.name] = one.starts, snapshot.version
                    version, configuration = document_from(one.node.node.state_table.values(ROUTING_KEY))
                    if version:
                        self.on_state_tables[version].add(pack_json(configuration))
            await sleep(self.reactor, 0.02)

    def _unordered_configurations(self):
        """Configurations that some node had and no order makes."""
        made = {(order.version, order.content) for order in self.orders if not order.is_refused}
        return [
            f"a node had version {version} with content that no open or applied order makes"
            for version, contents in self.on_state_tables.items()
            for content in contents
            if (version, content) not in made
        ]

    # --- faults ---

    async def _inject_faults(self, until):
        while self.fleet.time.now < until:
            name = self.random.choice(FAULTS.names())
            if name not in EXCLUSIVE_FAULTS or not self.active_faults:
                await self._inject_fault(name)
            await sleep(self.reactor, self.random.uniform(0.0, 2.0))

    async def _inject_fault(self, name):
        if EXCLUSIVE_FAULTS & set(self.active_faults):
            return
        self.active_faults.append(name)
        self.fault_counts[name] += 1
        try:
            await FAULTS.find(name)(self)
        finally:
            self.active_faults.remove(name)

    def shard_leader(self):
        """The leader of the configuration's shard, or any running node if there is none."""
        shard = shard_of_key(ROUTING_KEY)
        running = self.running()
        return next((one for one in running if shard in one.node.leaders.active), self.random.choice(running))

    def running(self):
        return [one for one in self.fleet.of_kind("control") if one.running and not one.host.frozen]

    async def with_faulty_node(self, work):
        """Applies a fault to one node that has none; mostly to the leader of the configuration's shard."""
        free = [one for one in self.running() if one.name not in self.busy]
        if not free:
            return
        shard_leader = self.shard_leader()
        one = shard_leader if shard_leader in free and self.random.random() < 0.7 else self.random.choice(free)
        self.busy.add(one.name)
        try:
            await work(one)
        finally:
            self.busy.discard(one.name)

    @staticmethod
    def restart(one):
        if not one.running:
            one.start()

    async def pause(self, least, most):
        await sleep(self.reactor, self.random.uniform(least, most))


@FAULTS.enter("killed")
async def _killed(trial):
    async def killed(one):
        one.kill()
        await trial.pause(0.0, 4.0)
        trial.restart(one)

    await trial.with_faulty_node(killed)


@FAULTS.enter("power cut")
async def _power_cut(trial):
    async def cut(one):
        one.power_cut()
        await trial.pause(0.0, 4.0)
        trial.restart(one)

    await trial.with_faulty_node(cut)


@FAULTS.enter("frozen")
async def _frozen(trial):
    async def frozen(one):
        one.freeze()
        await trial.pause(0.2, 4.0)
        one.thaw()

    await trial.with_faulty_node(frozen)


@FAULTS.enter("cut off")
async def _cut_off(trial):
    """Partitioned from the other members in both directions or in one; operators can reach it throughout."""

    async def cut(one):
        network, others = trial.fleet.network, [other for other in trial.fleet.of_kind("control") if other is not one]
        outgoing = {(one.machine.host, other.machine.host) for other in others}
        incoming = {pair[::-1] for pair in outgoing}
        pairs = trial.random.choice((outgoing, incoming, outgoing | incoming))
        network.hold(pairs)
        await trial.pause(0.5, 6.0)
        network.let_go(pairs)

    await trial.with_faulty_node(cut)


@FAULTS.enter("wiped")
async def _wiped(trial):
    """It returns without its disk, which changes the voting configuration."""

    async def wiped(one):
        one.kill()
        one.lose_disk()
        await trial.pause(0.2, 1.0)
        trial.restart(one)
        await sleep(trial.reactor, 6.0)

    await trial.with_faulty_node(wiped)


@FAULTS.enter("stopped as planned")
async def _stopped(trial):
    async def stopped(one):
        await settled([within(trial.reactor, STOP_TIME, one.stop(), OutcomeUnknownError("killed meanwhile"))])
        await trial.pause(0.0, 1.0)
        trial.restart(one)

    await trial.with_faulty_node(stopped)


async def _all_end(trial, end):
    ended = trial.running()
    for one in ended:
        end(one)
    await trial.pause(0.0, 1.0)
    for one in ended:
        trial.restart(one)


@FAULTS.enter("all killed")
async def _all_killed(trial):
    await _all_end(trial, lambda one: one.kill())


@FAULTS.enter("all lose power")
async def _all_lose_power(trial):
    await _all_end(trial, lambda one: one.power_cut())


def run_trials(seeds, **options):
    """Runs many trials by hand, prints a line for each, and returns the seeds that failed."""
    failed, late = [], Counter()
    for seed in seeds:
        outcome = OrderTrial(seed, **options).run()
        late.update(outcome.late_repeats)
        print(seed, dict(outcome.answers), f"{outcome.taken} taken, {outcome.reads} reads", outcome.faults, flush=True)
        failed += [seed] if outcome.faults else []
    print(f"{len(failed)} failed: {failed}; repeats after later changes (taken, answer): {dict(late)}", flush=True)
    return failed
