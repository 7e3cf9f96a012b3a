"""Seeded worlds of callers, gates and replicas that do what they like: no answer goes astray, nothing runs twice.

By hand, for more seeds: python tests/test_relay_worlds.py FIRST LAST
"""

import os
import sys
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from relay_world import World  # noqa: E402

SEEDS = 200
_played = []  # kept: a killed gate's unfinished work ends with its collection, and would complain of that


def faults_of(seed):
    world = World(seed)
    _played.append(world)
    faults = world.play()
    return [*faults, *(line for gate in world.gates for line in gate.lines if "rashed" in line)]


class Worlds(unittest.TestCase):
    def test_seeds(self):
        for seed in range(SEEDS):
            self.assertEqual(faults_of(seed), [], seed)

    def test_a_seed_is_the_same_world_each_time(self):
        shown = []
        for _ in range(2):
            world = World(7)
            _played.append(world)
            world.play()
            shown.append(([(one.try_id, one.at, one.plan) for one in world.sends], [one.asks for one in world.lines]))
        self.assertEqual(*shown)


def play(first, last):
    """Prints the seeds among these whose worlds broke a rule, and how many were played."""
    for seed in range(first, last):
        faults = faults_of(seed)
        _played.clear()
        if faults:
            print(seed, *faults, sep="\n    ")
    print(f"{last - first} worlds played")


if __name__ == "__main__":
    play(*map(int, sys.argv[1:3]))
