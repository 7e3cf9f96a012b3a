"""Processor time and bytes of the relay plane for each request, turn and event, on the simulated platform.

    python tests/measure_relay.py [SEED]

Milliseconds are of this machine's processor, in process, without the kernel's part; a busy machine makes them too high.
It stands beside the tests, since the platform's stand-ins do."""

import os
import sys
from collections import Counter
from time import thread_time
from types import SimpleNamespace

sys.path[:0] = [
    os.path.dirname(os.path.abspath(__file__)),
    os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "platform"),
]

from oakramp.common.tasks import settled, spawn  # noqa: E402
from oakramp.control.routing import ROUTING_KEY, VERSION_PIECE, pieces_of  # noqa: E402
from oakramp.control.shards import pack_entry  # noqa: E402
from oakramp.gateway.routing import Router  # noqa: E402
from oakramp.gossip.state_table import StateTable  # noqa: E402
from oakramp.testbed.capacity import ProcessorMeter, line_through, wire_meter, without_collecting  # noqa: E402
from oakramp.testbed.simnet import SimReactor  # noqa: E402
from oakramp_platform.dialect import Dialect  # noqa: E402
from relay_fleet import RelayFleet, route  # noqa: E402

QUIET = 6.0  # simulated s
SEQUENCES = 24  # side by side, below what the stand-in replicas take at a time
EVENT_S = 0.001  # s; short, so that a quiet fleet's own cost is a small part of what is measured
EACH = 40  # requests of each sequence
KINDS = ("gate", "store", "core")


class RelayRun:
    def __init__(self, seed):
        self.fleet = RelayFleet(seed, slots=16, event_s=EVENT_S, work_s=EVENT_S)
        self.meter = ProcessorMeter(self.fleet)
        self.fleet.bring_up()
        self.fleet.run(3.0)

    def _busy(self):
        return {kind: self.meter.of(self.fleet.of_kind(kind)) for kind in KINDS}

    def _spend(self, work):
        """(milliseconds a second by kind, bytes by method, seconds) of what runs meanwhile."""
        before, began_at = self._busy(), self.fleet.time.now
        with without_collecting(), wire_meter() as traffic:
            work()
        lasted = self.fleet.time.now - began_at
        sent = sum(
            sum(count for method, count in one.sent.items() if method not in ("pull", "confirm", "lineDigests"))
            for one in traffic.values()
        )
        return {kind: 1000 * (now - before[kind]) for kind, now in self._busy().items()}, sent, lasted

    def cost(self, sequence, count):
        """For each of `count` requests in each of SEQUENCES: what it costs beyond a quiet fleet."""
        idle, _, idle_s = self._spend(lambda: self.fleet.run(QUIET))
        before = len(self.fleet.callers.attempts)
        spent, sent, lasted = self._spend(
            lambda: self.fleet.until(
                settled([spawn(sequence(count), self.fleet.lab_log) for _ in range(SEQUENCES)]), 600
            )
        )
        tries = self.fleet.callers.attempts[before:]
        served = sum(one.is_success for one in tries)
        if served != SEQUENCES * count:
            print(Counter((one.status, one.outcome) for one in tries if not one.is_success))
            raise SystemExit(f"{served} of {SEQUENCES * count} were served: not the case to be measured")
        return {f"{kind}s ms": round((spent[kind] - idle[kind] / idle_s * lasted) / served, 2) for kind in KINDS} | {
            "bytes between processes": round(sent / served),
            "events": round(sum(len(one.events) for one in tries) / served, 1),
            "quiet fleet's part taken off, gates ms": round(idle["gate"] / idle_s * lasted / served, 2),
        }

    async def safe(self, count):
        for _ in range(count):
            await self.fleet.client.safe()

    async def tracked(self, count):
        for _ in range(count):
            await self.fleet.client.tracked()

    def turns(self, tokens):
        async def sequence(count):
            program, session, previous = (
                self.fleet.client.open_program(10**7, tokens),
                self.fleet.client.mint("s"),
                None,
            )
            for _ in range(count):
                last = await self.fleet.client.turn(program, session, previous, tokens_most=tokens)
                previous = last.try_id

        return sequence


def reading(routes):
    """Milliseconds in which a gate reads a first configuration of so many routes, and one of which a route has changed."""
    fleet = RelayFleet(1)
    reactor = SimReactor(fleet.host_of("10.253.0.1:0"))
    state_table = StateTable(reactor)
    router = Router(SimpleNamespace(state_table=state_table, log=fleet.lab_log, env={}), Dialect())
    document = fleet.make_document(1)
    document["mail_routes"] = [
        route(
            f"r{number:05d}",
            f"/p{number % 10}/",
            "stream",
            "lm",
            host=f"t{number // 10}.example",
            timeout_ms=4000,
            target_ms=250,
            retained=True,
        )
        for number in range(routes)
    ]

    def read(version):
        values = {name: pack_entry(piece) for name, piece in pieces_of(document).items()}
        values[VERSION_PIECE] = pack_entry(version)
        state_table._watchers, watchers = {}, state_table._watchers
        state_table.set_items(ROUTING_KEY, version, values)
        state_table._watchers = watchers
        began = thread_time()
        router._on_routing_changed(ROUTING_KEY)
        spent = thread_time() - began
        if router.version != version:
            raise SystemExit("the router did not take this configuration")
        return round(1000 * spent, 1)

    first = read(1)
    document["mail_routes"][7] |= {"tries": 2}
    return {"first ms": first, "one route changed ms": read(2)}


def main(seed):
    for routes in (100, 1000, 13000):
        print(f"a gate reads a configuration of {routes} routes:", reading(routes))
    run = RelayRun(seed)
    print("safe request:", run.cost(run.safe, EACH))
    print("tracked request:", run.cost(run.tracked, EACH))
    points = []
    for tokens in (60, 300, 600):
        row = run.cost(run.turns(tokens), EACH // 4)
        points.append((row["events"], row["gates ms"]))
        print(f"turn of at most {tokens} tokens, ten in a line:", row)
    fixed, slope = line_through(points)
    print(f"gates ms of a turn: {fixed:.2f} + {slope:.4f} for each event")


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 1)
