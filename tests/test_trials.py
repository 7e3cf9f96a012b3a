"""Trials with fixed seeds: random, overlapping faults and a total outage at the end. More: `oakramp-testbed search`."""

import unittest

from oakramp.testbed.simfleet import SimFleet
from oakramp.testbed.trial import DAYS, run_day, run_trial

SEEDS = (1, 3, 7, 12)


class Trials(unittest.TestCase):
    def test_random_faults_cause_no_violations(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                outcome = run_trial(seed, load_time=20.0)
                self.assertEqual(outcome.violations, {}, outcome.timeline)
                self.assertEqual(outcome.crashes, [])
                self.assertGreater(outcome.ended, outcome.asked * 0.8)

    def test_days_cause_no_violations(self):
        for name in DAYS.names():
            with self.subTest(day=name):
                outcome = run_day(name, 1)
                self.assertEqual(outcome.violations, {}, outcome.timeline)
                self.assertEqual(outcome.crashes, [])
                self.assertGreater(outcome.ended, outcome.asked * 0.7)

    def test_a_seed_repeats_exactly(self):
        runs = []
        for _ in range(2):
            fleet = SimFleet(11).bring_up()
            fleet.start_mix(3, clients=3)
            fleet.run(5.0)
            runs.append((fleet.network.sent, [(run.run, run.at) for run in fleet.record.runs]))
        self.assertEqual(*runs)
