"""Seeded simulations of clients, gateways and replicas that act at random: no response reaches the wrong request, and
no request runs twice.

To run more seeds by hand: python tests/test_relay_worlds.py FIRST LAST
"""

import os
import sys
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from relay_world import World  # noqa: E402

SEEDS = 200
_finished_worlds = []  # kept alive: collecting a killed gateway's unfinished tasks would end them and log errors


def violations_of(seed):
    world = World(seed)
    _finished_worlds.append(world)
    faults = world.play()
    return [*faults, *(line for gate in world.gates for line in gate.lines if "rashed" in line)]


class Worlds(unittest.TestCase):
    def test_seeds(self):
        for seed in range(SEEDS):
            self.assertEqual(violations_of(seed), [], seed)

    def test_a_seed_reproduces_its_simulation(self):
        recorded = []
        for _ in range(2):
            world = World(7)
            _finished_worlds.append(world)
            world.play()
            recorded.append(
                ([(one.try_id, one.at, one.plan) for one in world.sends], [one.asks for one in world.lines])
            )
        self.assertEqual(*recorded)


def play(first, last):
    """Prints the seeds in this range whose simulation broke a rule, and the number of simulations."""
    for seed in range(first, last):
        faults = violations_of(seed)
        _finished_worlds.clear()
        if faults:
            print(seed, *faults, sep="\n    ")
    print(f"{last - first} simulations run")


if __name__ == "__main__":
    play(*map(int, sys.argv[1:3]))
