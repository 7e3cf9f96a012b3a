"""A trial on a real fleet under the required load mix, checked against the record of the emulated replicas."""

import random
import time

from twisted.internet.threads import deferToThread

from oakramp.cli.control_client import ask
from oakramp.common.http_client import HttpClient
from oakramp.common.tasks import settled, sleep
from oakramp.testbed.caller import Client, Operator, View
from oakramp.testbed.checker import check
from oakramp.testbed.emulators import Record
from oakramp.testbed.plan import PARTNERS, PLAIN_NAMES, PLATFORM, SIZES, blueprint_of


class RealTrial:
    """Invariant: `view` and the emulators' record use the same clock, the machine's monotonic one."""

    def __init__(self, reactor, fleet, seed):
        self.reactor, self.fleet = reactor, fleet
        self.view = View()
        random_source, client = random.Random(seed), HttpClient(reactor, "127.20.250.1")
        self.client = Client(
            reactor, client, [machine.http for machine in fleet.of_kind("gate")], random_source, self.view
        )
        self.operator = Operator(
            reactor,
            HttpClient(reactor, "127.20.251.1"),
            [machine.http for machine in fleet.of_kind("control")],
            random_source,
            self.view,
        )

    async def load(self, seconds, clients):
        until = self.reactor.seconds() + seconds
        await settled(
            [self.client.mix(PARTNERS[index % 2], PLAIN_NAMES[PARTNERS[index % 2]], until) for index in range(clients)]
        )

    async def change_plans(self, seconds, pause=3.0):
        """Each partner's operator sends a plan with a new adapter name every few seconds."""
        until, number = self.reactor.seconds() + seconds, 1
        while self.reactor.seconds() < until:
            for partner in PARTNERS:
                current = await self.operator.read_plan(partner)
                if current is not None:
                    marker = f"{partner}-plan-{number}"
                    await self.operator.put_plan(partner, current["version"], blueprint_of(partner, marker), marker)
            number += 1
            await sleep(self.reactor, pause)

    async def replicas_leave(self, delay):
        """After `delay` seconds, the platform marks one model replica of each partner as leaving, if others stay."""
        await sleep(self.reactor, delay)
        counts = {pool: count for pool, _, count in SIZES[self.fleet.size_name].replicas}
        for partner in (partner for partner in PARTNERS if counts[f"{partner}-model"] > 1):
            await deferToThread(ask, PLATFORM, "POST", f"/lab/leave/{partner}-model-0", {})

    async def read_back(self):
        for partner in PARTNERS:
            current = await self.operator.read_plan(partner)
            if current is not None:
                self.view.read_back[partner] = (
                    current["version"],
                    current["blueprint"]["bindings"]["chat"].get("adapter"),
                )

    def record(self):
        response = ask(PLATFORM, "GET", "/lab/record", time_left=60)[1]
        return Record.from_json({"runs": response["runs"], "leavingSince": response["leavingSince"]}), response["cache"]

    def report(self):
        """The report of each rule, and the hits of the replicas' prefix caches."""
        record, cache = self.record()
        return check(self.view, record), cache


def rolling_restart(trial, pause=1.0):
    """Stops every daemon gracefully, one after another, and starts it again. Runs on a thread."""
    fleet, codes = trial.fleet, []
    for machine in fleet.machines:
        codes.append((machine.name, fleet.stop(machine.name)))
        fleet.start(machine.name)
        fleet.wait_for(
            f"{machine.name} becoming ready",
            lambda machine=machine: ask(machine.http, "GET", "/condition")[1].get("condition") == "ready",
        )
        time.sleep(pause)
    return codes
