"""Runs many schedules, one after another, up to the first failure or to the end."""

from collections import Counter
from dataclasses import dataclass, field

from oakramp.testbed.explore.explorer import run, without_collecting
from oakramp.testbed.explore.strategies import Priorities

STEPS = 180  # choices of a random schedule; a failover takes about 15, a change of the voting configuration about 60


@dataclass
class Findings:
    """The result of a search: schedules by the first rule that they violated (None: none), and the first failure."""

    schedules: int = 0
    rules: Counter = field(default_factory=Counter)
    first: object = None
    first_seed: int | None = None

    def record(self, seed, outcome):
        self.schedules += 1
        self.rules[outcome.rule] += 1
        if outcome.violations and self.first is None:
            self.first, self.first_seed = outcome, seed

    def merge(self, other):
        """Adds the findings of another search, with later seeds."""
        self.schedules += other.schedules
        self.rules.update(other.rules)
        if self.first is None:
            self.first, self.first_seed = other.first, other.first_seed


def search_random(shape, first_seed, count, steps=STEPS, until_found=False, strategy=Priorities):
    """One random schedule for each seed."""
    findings = Findings()
    for seed in range(first_seed, first_seed + count):
        findings.record(seed, without_collecting(run, shape, strategy(seed, steps), steps))
        if until_found and findings.first is not None:
            break
    return findings
