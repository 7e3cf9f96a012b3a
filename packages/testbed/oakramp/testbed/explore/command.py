"""The command `oakramp-testbed explore`."""

import contextlib
import multiprocessing
import sys
import time
from functools import partial

import click

from oakramp.testbed.explore.departures import SCENARIOS, search_departures
from oakramp.testbed.explore.mutations import MUTATIONS, applied
from oakramp.testbed.explore.report import failure_text, replay_text
from oakramp.testbed.explore.search import STEPS, Findings, search_random
from oakramp.testbed.explore.shrink import shrink
from oakramp.testbed.explore.world import Shape

PORTION = 250  # schedules that a process runs before it returns its findings


def _search_portion(shape, steps, mutation, first_seed, count):
    with applied(MUTATIONS[mutation]) if mutation else contextlib.nullcontext():
        return search_random(shape, first_seed, count, steps)


@click.command()
@click.option("--schedules", default=2000, show_default=True, help="How many random schedules.")
@click.option("--first", default=0, show_default=True, help="The first seed.")
@click.option("--steps", default=STEPS, show_default=True, help="Choices in each schedule, at most.")
@click.option("--voters", default=3, show_default=True, help="Control nodes that vote.")
@click.option("--spares", default=0, show_default=True, help="Control nodes that do not vote, and may replace a voter.")
@click.option("--losses", default=1, show_default=True, help="Disks that may be lost, one after another.")
@click.option("--refusing", default=0, show_default=True, help="Disks that may reject writes at the same time.")
@click.option("--processes", default=1, show_default=True, help="Processes that run the schedules in parallel.")
@click.option(
    "--scenario",
    type=click.Choice(sorted(SCENARIOS)),
    help="Runs all departures from this scenario, instead of random schedules.",
)
@click.option(
    "--departures", default=1, show_default=True, help="Departures from the scenario's default order, at most."
)
@click.option("--mutation", type=click.Choice(sorted(MUTATIONS)), help="A fault to inject first.")
@click.option("--save", type=click.Path(), help="The file for the first failing schedule, shortened.")
@click.option("--replay", "replayed", type=click.File(), help="Replays this schedule and prints its timeline.")
def explore(
    schedules, first, steps, voters, spares, losses, refusing, processes, scenario, departures, mutation, save, replayed
):
    """Runs the control classes under many schedules of messages, crashes and losses, and checks their invariants."""
    if replayed is not None:
        with applied(MUTATIONS[mutation]) if mutation else contextlib.nullcontext():
            outcome = replay_text(replayed.read())
        click.echo(failure_text(outcome))
        sys.exit(1 if outcome.violations else 0)
    findings, began = Findings(), time.monotonic()
    if scenario:
        with applied(MUTATIONS[mutation]) if mutation else contextlib.nullcontext():
            findings = search_departures(SCENARIOS[scenario], departures)
        _report(findings, f"up to {departures} departures", began, mutation, save)
        return
    shape = Shape(voters=voters, spares=spares, losses=losses, refusing=refusing)
    portions = [(seed, min(PORTION, first + schedules - seed)) for seed in range(first, first + schedules, PORTION)]
    with multiprocessing.Pool(processes) as pool:
        for found in pool.starmap(partial(_search_portion, shape, steps, mutation), portions, chunksize=1):
            findings.merge(found)
    _report(findings, f"up to {steps} choices", began, mutation, save)


def _report(findings, bounds, began, mutation, save):
    click.echo(f"{findings.schedules} schedules of {bounds} in {time.monotonic() - began:.0f} s")
    for rule, count in findings.rules.most_common():
        click.echo(f"{count:7}  {rule or 'nothing broken'}")
    if findings.first is None:
        return
    with applied(MUTATIONS[mutation]) if mutation else contextlib.nullcontext():
        shortest = shrink(findings.first)
    click.echo(f"seed {findings.first_seed}, made short:\n{failure_text(shortest)}")
    if save:
        with open(save, "w", encoding="utf-8") as file:
            file.write(failure_text(shortest).rpartition("\n\n")[2])
    sys.exit(1)
