"""A whole simulated fleet that reports usage: a fake platform that receives the calls, a fake gateway that counts
requests, and random fault scenarios that are run by hand (`run_scenarios`)."""

import json
import random
from collections import Counter

from fenced_world import Arrival, faults_of_calls

from oakramp.common.tasks import sleep, spawn
from oakramp.control.usage import USAGE_KEY
from relay_fleet import RelayFleet

WINDOW_S, LOCK_DELAY_S = 5, 3.0
WALL = 1.8e9  # s; wall time at the start of simulated time
SETTINGS = {
    "platform_api.rounds": "usage,scale",
    "platform_api.rounds_per_s": 50.0,
    "bounds.report_window_s": WINDOW_S,
}


class FencedCalls:
    """Receives the fenced calls of a whole fleet in place of the platform. Invariant: `arrivals` holds all of them."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.arrivals, self.status, self.delay_s = [], 200, 0.0
        fleet.list.duties = self

    def take_fenced_call(self, connection, request):
        holder, fence = request.header("Duty-Holder"), int(request.header("Fence"))
        self.arrivals.append(Arrival(self._fleet.time.now, holder, fence, json.loads(request.body)))
        self._fleet.list.reactor.callLater(self.delay_s, self._fleet.list.reply, connection, self.status, {})

    def reports(self):
        """(window, counts, time) of each report in the order of arrival, repetitions included."""
        return [(call.body["window_no"], call.body["tallies"], call.at) for call in self.arrivals]


class FencedFleet:
    """The fleet and its counts. Invariant: `sent` holds, by window, how many requests of the one tenant have begun."""

    def __init__(self, seed, cores=3):
        self.fleet = RelayFleet(seed, gates=1, cores=cores, more_settings=SETTINGS)
        self.calls = FencedCalls(self.fleet)
        self.fleet.bring_up()
        self.sent = Counter()
        self.number, self.is_reporting = 0, True
        self.fleet.begin(self._simulate_gateway())

    def window(self):
        """The current window."""
        return int((self.fleet.time.now + WALL) // WINDOW_S)

    async def _simulate_gateway(self):
        """Simulates a gateway that counts a request every 0.1 s and reports every second, one second late."""
        while True:
            for _ in range(10):
                await sleep(self.fleet.lab_reactor, 0.1)
                self.sent[self.window()] += 1
            if self.is_reporting:
                spawn(self.send_counts(*self.message(), late_s=1.0))

    def message(self):
        """The control node to send to, and the message with the gateway's counts of the newest windows."""
        self.number += 1
        windows = {str(window): {"t": self.sent[window]} for window in sorted(self.sent)[-3:]}
        core = next(one for one in self.fleet.of_kind("core") if one.running and not one.host.frozen)
        return core, {"gateway": "gate0", "number": self.number, "windows": windows}

    async def send_counts(self, core, arguments, late_s=0.0):
        await sleep(self.fleet.lab_reactor, late_s)
        await core.node.majority_client.call(USAGE_KEY, "count", arguments, 2.0)

    def last_caller(self):
        return self.fleet[self.calls.arrivals[-1].holder]

    def first_reports(self):
        """By window, the counts of its first report, and the seconds from the window's end to that report."""
        first = {}
        for window, counts, at in self.calls.reports():
            first.setdefault(window, (counts, at + WALL - (window + 1) * WINDOW_S))
        return first

    def faults(self):
        """One line for each rule that the reports so far violate, except lateness."""
        faults = faults_of_calls(self.calls.arrivals, LOCK_DELAY_S)
        first = self.first_reports()
        faults += [f"{window} differs" for window, counts, _ in self.calls.reports() if first[window][0] != counts]
        windows = list(first)
        if windows != list(range(windows[0], windows[0] + len(windows))):
            faults.append(f"windows are left out or out of order: {windows}")
        for window, (counts, _) in first.items():
            if window > windows[0] + 1 and abs(counts.get("t", 0) - self.sent[window]) > 1:
                faults.append(f"{window}: {counts} of {self.sent[window]}")
        return faults


class RandomScenario:
    """Some 40 s with faults of the machine that called last, or of the platform."""

    FAULTS = (("kill", 8), ("freeze", 4), ("cut", 3), ("slow", 3), ("failing", 2))

    def __init__(self, seed, faults=5):
        self.world, self.random, self._count = FencedFleet(seed, cores=5), random.Random(f"duty day/{seed}"), faults
        self.done = []

    def run(self):
        """Runs the scenario and returns the faults of its reports."""
        fleet = self.world.fleet
        fleet.run(12)
        names, weights = zip(*self.FAULTS, strict=True)
        for _ in range(self._count):
            name = self.random.choices(names, weights)[0]
            self.done.append(name)
            getattr(self, f"_{name}")(self.world.last_caller())
            fleet.run(self.random.uniform(0.5, 8))
        fleet.run(15)
        return self.world.faults()

    def _kill(self, machine):
        machine.kill()
        self.world.fleet.run(self.random.uniform(1, 6))
        machine.start()

    def _freeze(self, machine):
        machine.freeze()
        self.world.fleet.run(self.random.uniform(0.5, 4))
        machine.thaw()

    def _cut(self, machine):
        others = [one.name for one in self.world.fleet.of_kind("core") if one is not machine]
        heal = self.world.fleet.cut([machine.name], others, both_ways=self.random.random() < 0.5)
        self.world.fleet.run(self.random.uniform(0.5, 4))
        heal()

    def _slow(self, _machine):
        self.world.calls.delay_s = self.random.uniform(0.5, 4)
        self.world.fleet.run(self.random.uniform(2, 8))
        self.world.calls.delay_s = 0.0

    def _failing(self, _machine):
        self.world.calls.status = 503
        self.world.fleet.run(self.random.uniform(2, 6))
        self.world.calls.status = 200


def run_scenarios(seeds, late_s=10.0):
    """Runs many scenarios, prints a line for each, and returns the seeds whose reports broke a rule."""
    broken, windows, late = [], 0, 0
    for seed in seeds:
        day = RandomScenario(seed)
        faults = day.run()
        delays = [delay for _, delay in day.world.first_reports().values()]
        windows, late = windows + len(delays), late + sum(delay > late_s for delay in delays)
        broken += [seed] if faults else []
        print(seed, f"latest {max(delays):.1f} s", day.done, faults, flush=True)
    print(f"{len(broken)} broken: {broken}; {late} of {windows} windows later than {late_s} s", flush=True)
    return broken


if __name__ == "__main__":
    run_scenarios(range(24))
