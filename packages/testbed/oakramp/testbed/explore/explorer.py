"""Runs one schedule, chosen by a strategy or replayed from a list, and checks its end."""

import gc
from dataclasses import dataclass, field

from oakramp.testbed.explore.closing_fault import verdict
from oakramp.testbed.explore.process import OneShard
from oakramp.testbed.explore.schedule import apply
from oakramp.testbed.explore.world import World


@dataclass
class Outcome:
    """A schedule that was run: the choices that applied, and the violations."""

    shape: object
    choices: list
    violations: list
    events: list = field(repr=False)

    @property
    def rule(self):
        return self.violations[0].rule if self.violations else None


def run(shape, choose, steps):
    """Performs the choices of `choose(world)`, at most `steps`, until it returns None or an invariant is violated."""
    with OneShard():
        world, choices = World(shape), []
        while len(choices) < steps and not world.checker.violations:
            choice = choose(world)
            if choice is None:
                break
            if apply(world, choice):
                choices.append(choice)
        violations = verdict(world)
        return Outcome(shape, choices, violations, world.events)


def replay(shape, choices):
    """Runs the same schedule again; choices that do not apply are skipped."""
    rest = iter(choices)
    return run(shape, lambda world: next(rest, None), len(choices))


def without_collecting(work, *arguments):
    """Runs the function without garbage collection, which would close coroutines of ended processes while their world is
    in use."""
    gc.disable()
    try:
        return work(*arguments)
    finally:
        gc.enable()
