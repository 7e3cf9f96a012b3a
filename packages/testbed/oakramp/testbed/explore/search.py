"""Many schedules, one after another, up to a first failure or to the end."""

from collections import Counter
from dataclasses import dataclass, field

from oakramp.testbed.explore.explorer import run, without_collecting
from oakramp.testbed.explore.strategies import Priorities

STEPS = 180  # choices of a random schedule; a take-over takes about 15, a change of the roster about 60


@dataclass
class Findings:
    """What a search met: schedules by the rule that they broke first (None: none), and the first failure."""

    schedules: int = 0
    rules: Counter = field(default_factory=Counter)
    first: object = None
    first_seed: int | None = None

    def take(self, seed, outcome):
        self.schedules += 1
        self.rules[outcome.rule] += 1
        if outcome.violations and self.first is None:
            self.first, self.first_seed = outcome, seed

    def add(self, other):
        """What another search, of later seeds, found."""
        self.schedules += other.schedules
        self.rules.update(other.rules)
        if self.first is None:
            self.first, self.first_seed = other.first, other.first_seed


def search_random(shape, first_seed, count, steps=STEPS, until_found=False, strategy=Priorities):
    """One random schedule for each seed."""
    findings = Findings()
    for seed in range(first_seed, first_seed + count):
        findings.take(seed, without_collecting(run, shape, strategy(seed, steps), steps))
        if until_found and findings.first is not None:
            break
    return findings
