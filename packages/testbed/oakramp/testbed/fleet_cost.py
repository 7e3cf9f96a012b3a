"""The processor time, calls and bytes of a fleet while it is idle, under load, and after a power loss.

Counts and bytes are the same in every run of a seed. Processor time is that of this machine for the product's code and
the simulator, without any kernel: it only serves to compare two versions of the code on one machine.
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
WARM_UP = 2.0  # s; from the start of the fleet until it is idle
MEASURED = 4.0  # s; duration of each phase
DOWN = 1.0  # s; between the power loss and the start of all machines
CLIENTS = 16  # each sends one turn or call after another


@dataclass
class Counters:
    """The cost since the start of the fleet: processor seconds, calls by (role, method), bytes by role."""

    processor_s: float
    calls: Counter
    sent_bytes: Counter

    @classmethod
    def of(cls, fleet):
        """The current counters; the calls are those of the running processes."""
        calls, sent_bytes = Counter(), Counter()
        for machine in fleet.by_name.values():
            role = machine.machine.kind
            calls.update(_calls_of(machine))
            sent_bytes[role] += fleet.network.bytes_from.get(machine.host.address, 0)
        return cls(time.process_time(), calls, sent_bytes)

    def since(self, earlier, seconds, fleet):
        """The rows of a phase of so many simulated seconds: the cost per node and second."""
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
    """The rows by size and phase; see the module's docstring."""
    results = {}
    for name, size in sizes.items():
        fleet = SimFleet(seed, size, ring_file_size=1 << 20).bring_up()
        fleet.run(WARM_UP)
        results[f"{name}, quiet"] = _phase(fleet)
        fleet.start_mix(MEASURED, clients=CLIENTS)
        results[f"{name}, under load"] = _phase(fleet)
        results[f"{name}, after a loss of power"] = _power_loss(fleet)
    return results


def _phase(fleet):
    before = Counters.of(fleet)
    fleet.run(MEASURED)
    return Counters.of(fleet).since(before, MEASURED, fleet)


def _power_loss(fleet):
    """The cost from the start of all machines on; calls of their former processes count on neither side."""
    for machine in fleet.by_name.values():
        machine.power_cut()
    fleet.run(DOWN)
    before = Counters.of(fleet)
    before.calls = Counter()
    for machine in fleet.by_name.values():
        machine.start()
    fleet.run(MEASURED)
    return Counters.of(fleet).since(before, MEASURED, fleet)
