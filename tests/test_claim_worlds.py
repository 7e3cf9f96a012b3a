"""Seeded simulations of keyed calls while gateways and the leader of their keys fail.

No key runs twice, in any order of events, and one that no replica got runs when it is sent again.

To run more seeds by hand: python tests/test_claim_worlds.py FIRST LAST
"""

import os
import sys
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from claim_world import PRESENT, PREVIOUS, ClaimWorld  # noqa: E402

SEEDS = 150
MIXED_SEEDS = 60
_finished_worlds = []  # kept alive: collecting a killed gateway's unfinished tasks would end them and log errors


def violations_of(seed, builds=(PRESENT,)):
    """(the rules that this seed broke, the keys whose gateway ended between the claim and the sending)"""
    world = ClaimWorld(seed, builds)
    _finished_worlds.append(world)
    faults = world.play()
    crashes = [line for one in world.members.values() for line in one.bench.lines if "rashed" in line]
    return [*faults, *crashes], world.lost_before_sending


class ClaimWorlds(unittest.TestCase):
    """Guards against a key that runs twice, is denied though no replica got it, or gets a false word."""

    def test_seeds(self):
        for seed in range(SEEDS):
            self.assertEqual(violations_of(seed)[0], [], seed)

    def test_fleets_of_both_builds(self):
        """Gateways and leaders of the previous release beside present ones neither double nor lose an operation."""
        for seed in range(MIXED_SEEDS):
            self.assertEqual(violations_of(seed, (PRESENT, PREVIOUS))[0], [], seed)


def play(first, last):
    """Prints the seeds in this range that broke a rule, and how many keys were lost before they were sent."""
    lost = 0
    for seed in range(first, last):
        for builds in ((PRESENT,), (PRESENT, PREVIOUS)):
            faults, lost_keys = violations_of(seed, builds)
            _finished_worlds.clear()
            lost += len(lost_keys) if builds == (PRESENT,) else 0
            if faults:
                print(seed, builds, *faults, sep="\n    ")
    print(f"{last - first} simulations run with each build; {lost} keys lost between their claim and the sending")


if __name__ == "__main__":
    play(*map(int, sys.argv[1:3]))
