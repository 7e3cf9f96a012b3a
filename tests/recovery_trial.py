"""Simulates seeded outages of all nodes, and measures the time until every shard has a leader again.

All machines lose power at once and regain it 0.8 s later; their processes start within a third of a second of each
other. One control node has lost its disk, and the first packets that another one sends to its peers are lost. Times are
counted from the start of the process that completes a majority of voters with their disks. To run it by hand:

    python tests/recovery_trial.py 1-200 [number of control nodes]
"""

import os
import random
import statistics
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from oakramp.control.shards import SHARDS  # noqa: E402
from relay_fleet import RelayFleet  # noqa: E402

DARK_S = 0.8  # s
STARTS_WITHIN_S = 0.3  # s
FIRST_PACKETS_S = 0.05  # s; from its start, packets of this node to the other control nodes are lost for so long
STEP = 0.01  # s
GIVEN_UP_S = 8.0  # s
FORMED_WITHIN_S = 30.0  # s
SETTLED_S = 3.0  # s; after this, no node may hold a lease of an earlier voting configuration


class RecoveryTrial:
    """One outage. `led_at` maps each shard to the time of its first leader, in seconds from the start of a majority."""

    def __init__(self, seed, cores=3, loses_disk=True, loses_first_packets=True):
        self.random = random.Random(f"recovery {seed}")
        self.fleet = RelayFleet(seed, gates=1, cores=cores)
        self.control = self.fleet.of_kind("core")
        self.without_disk = self.random.choice(self.control) if loses_disk else None
        with_disk = [one for one in self.control if one is not self.without_disk]
        self.lossy = self.random.choice(with_disk) if loses_first_packets else None
        self.led_at = {}

    def play(self):
        self.fleet.bring_up()
        self.fleet.wait_for("all control nodes vote", self._all_vote, FORMED_WITHIN_S)
        self.fleet.run(SETTLED_S)
        self._cut_power()
        started_at = self._start_all()
        majority_at = started_at[len(self.control) // 2]
        while len(self.led_at) < SHARDS and self.fleet.time.now < majority_at + GIVEN_UP_S:
            self.fleet.run(STEP)
            self._note_leaders(majority_at)
        return self

    @property
    def last_led_s(self):
        """Seconds until the last shard had a leader; GIVEN_UP_S if some shard got none."""
        return max(self.led_at.values()) if len(self.led_at) == SHARDS else GIVEN_UP_S

    def _all_vote(self):
        return all(
            one.node.voter.voting_config is not None
            and one.node.voter.voting_config.next is None
            and len(one.node.voter.voting_config.members) == len(self.control)
            for one in self.control
        )

    def _cut_power(self):
        for machine in self.fleet.machines.values():
            machine.power_cut()
        if self.without_disk is not None:
            self.without_disk.lose_disk()
        self.fleet.run(DARK_S)
        for machine in self.fleet.machines.values():
            machine.host.up = True  # its kernel refuses connections until the process listens

    def _start_all(self):
        """Starts all processes; returns the start times, in order, of the control nodes that have their disks."""
        base, started_at = self.fleet.time.now, []
        due = [(self.random.uniform(0, STARTS_WITHIN_S), name) for name in sorted(self.fleet.machines)]
        for after, name in sorted(due):
            self.fleet.run(base + after - self.fleet.time.now)
            machine = self.fleet[name]
            machine.start()
            if machine is self.lossy:
                self._lose_first_packets(machine)
            if machine in self.control and machine is not self.without_disk:
                started_at.append(self.fleet.time.now)
        return started_at

    def _lose_first_packets(self, machine):
        pairs = {(machine.host.address, one.host.address) for one in self.control if one is not machine}
        self.fleet.network.hold(pairs)
        self.fleet.lab_reactor.callLater(FIRST_PACKETS_S, self.fleet.network.let_go, pairs)

    def _note_leaders(self, majority_at):
        for machine in self.control:
            if not machine.running:
                continue
            for shard, leader in machine.node.leaders.active.items():
                if leader.holds_lease():
                    self.led_at.setdefault(shard, self.fleet.time.now - majority_at)


def main():
    first, last = map(int, sys.argv[1].split("-"))
    cores = int(sys.argv[2]) if len(sys.argv) > 2 else 3
    times = []
    for seed in range(first, last + 1):
        times.append(RecoveryTrial(seed, cores).play().last_led_s)
        if times[-1] > 1.0:
            print(f"seed {seed}: {times[-1]:.2f} s", flush=True)
    times.sort()
    print(
        f"{cores} control nodes, {len(times)} seeds: median {statistics.median(times):.2f} s, "
        f"95 of 100 within {times[int(0.95 * len(times)) - 1]:.2f} s, highest {times[-1]:.2f} s"
    )


if __name__ == "__main__":
    main()
