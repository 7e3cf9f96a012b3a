"""Fixed seeds of random, overlapping faults with a total outage at the end. By hand: oaklab search."""

import unittest

from oaklab.simfleet import SimFleet
from oaklab.trial import DAYS, runDay, runTrial

SEEDS = (1, 3, 7, 12)


class Trials(unittest.TestCase):
    def testSeeds(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                outcome = runTrial(seed, loadTime=20.0)
                self.assertEqual(outcome.violations, {}, outcome.timeline)
                self.assertEqual(outcome.crashes, [])
                self.assertGreater(outcome.ended, outcome.asked * 0.8)

    def testDays(self):
        for name in DAYS.names():
            with self.subTest(day=name):
                outcome = runDay(name, 1)
                self.assertEqual(outcome.violations, {}, outcome.timeline)
                self.assertEqual(outcome.crashes, [])
                self.assertGreater(outcome.ended, outcome.asked * 0.7)

    def testSameSeedSameRun(self):
        runs = []
        for _ in range(2):
            fleet = SimFleet(11).bringUp()
            fleet.startMix(3, callers=3)
            fleet.run(5.0)
            runs.append((fleet.network.sent, [(run.run, run.at) for run in fleet.record.runs]))
        self.assertEqual(*runs)
