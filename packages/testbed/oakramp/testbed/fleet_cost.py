"""What a fleet spends in processor time, calls and bytes while it is quiet, under load, and after a loss of power.

Counts and bytes are the same in every run of a seed. Processor time is this machine's, of the product's code and the
simulator around it, without any kernel: it compares two states of the code on one machine, no more.
"""

import time
from collections import Counter
from dataclasses import dataclass

from oakramp.testbed.plan import Size
from oakramp.testbed.simfleet import SimFleet

ROLES = ("gate", "store", "control")
REPLICAS = (
    ("dalatech-model", "model", 4),
    ("dalatech-results", "plain", 2),
    ("nile-model", "model", 4),
    ("nile-notices", "plain", 2),
)
SIZES = {"small site": Size(8, 3, 5, REPLICAS), "grown site": Size(65, 10, 9, REPLICAS)}
WARM_UP = 2.0  # s; after the fleet has come up, until it is quiet
MEASURED = 4.0  # s; of each phase
DOWN = 1.0  # s; between the loss of power and the start of all machines
CALLERS = 16  # callers; each asks for one turn or call after another


@dataclass
class Counters:
    """What has been spent since the fleet began: seconds of processor, calls by (role, method), bytes by role."""

    processor_s: float
    calls: Counter
    sent_bytes: Counter

    @classmethod
    def of(cls, fleet):
        """The counters as they stand now, calls those of the processes that run."""
        calls, sent_bytes = Counter(), Counter()
        for machine in fleet.by_name.values():
            role = machine.machine.kind
            calls.update(_calls_of(machine))
            sent_bytes[role] += fleet.network.bytes_from.get(machine.host.address, 0)
        return cls(time.process_time(), calls, sent_bytes)

    def since(self, earlier, seconds, fleet):
        """The rows of a phase that lasted so many simulated seconds: each by node and second."""
        nodes = Counter(machine.machine.kind for machine in fleet.by_name.values())
        rows = {"processor ms": round(1000 * (self.processor_s - earlier.processor_s) / seconds / nodes.total(), 2)}
        for role in ROLES:
            made = {
                method: round(count / seconds / nodes[role], 2)
                for (of_role, method), count in sorted((self.calls - earlier.calls).items())
                if of_role == role
            }
            sent = (self.sent_bytes[role] - earlier.sent_bytes[role]) / seconds / nodes[role] / 1024
            rows[role] = {"KiB": round(sent, 1), "calls": made}
        return rows


def _calls_of(machine):
    counts = machine.node.node.net.call_counts
    return Counter({(machine.machine.kind, method): count for method, count in counts.items()})


def measure_fleet_cost(seed, sizes=SIZES):
    """Rows by size and phase; see the module."""
    results = {}
    for name, size in sizes.items():
        fleet = SimFleet(seed, size, ring_file_size=1 << 20).bring_up()
        fleet.run(WARM_UP)
        results[f"{name}, quiet"] = _phase(fleet)
        fleet.start_mix(MEASURED, clients=CALLERS)
        results[f"{name}, under load"] = _phase(fleet)
        results[f"{name}, after a loss of power"] = _power_loss(fleet)
    return results


def _phase(fleet):
    before = Counters.of(fleet)
    fleet.run(MEASURED)
    return Counters.of(fleet).since(before, MEASURED, fleet)


def _power_loss(fleet):
    """The seconds from the start of all machines on; their former processes' calls are left out on both sides."""
    for machine in fleet.by_name.values():
        machine.power_cut()
    fleet.run(DOWN)
    before = Counters.of(fleet)
    before.calls = Counter()
    for machine in fleet.by_name.values():
        machine.start()
    fleet.run(MEASURED)
    return Counters.of(fleet).since(before, MEASURED, fleet)
