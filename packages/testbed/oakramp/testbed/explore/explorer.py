"""One schedule from its first choice to its verdict: chosen by a strategy, or replayed from a list."""

import gc
from dataclasses import dataclass, field

from oakramp.testbed.explore.closing_fault import verdict
from oakramp.testbed.explore.process import OneSlot
from oakramp.testbed.explore.schedule import apply
from oakramp.testbed.explore.world import World


@dataclass
class Outcome:
    """A schedule that was run: the choices that applied, and what it broke."""

    shape: object
    choices: list
    violations: list
    events: list = field(repr=False)

    @property
    def rule(self):
        return self.violations[0].rule if self.violations else None


def run(shape, choose, steps):
    """Lets `choose(world)` give each next choice, up to `steps`, or until it gives None or an invariant is broken."""
    with OneSlot():
        world, choices = World(shape), []
        while len(choices) < steps and not world.watcher.violations:
            choice = choose(world)
            if choice is None:
                break
            if apply(world, choice):
                choices.append(choice)
        violations = verdict(world)
        return Outcome(shape, choices, violations, world.events)


def replay(shape, choices):
    """The same schedule again; choices that do not apply are passed over."""
    rest = iter(choices)
    return run(shape, lambda world: next(rest, None), len(choices))


def without_collecting(work, *arguments):
    """Runs this with the collector off: an ended process's coroutines must not be finished while its world is in use."""
    gc.disable()
    try:
        return work(*arguments)
    finally:
        gc.enable()
