"""oakramp-testbed: whole fleets on one machine, emulators of external systems, and the simulator."""

import multiprocessing
import signal
import sys
import time
from collections import Counter
from functools import partial

import click
from twisted.internet.defer import ensureDeferred
from twisted.internet.threads import deferToThread
from twisted.python.failure import Failure

from oakramp.common.errors import NotFoundError
from oakramp.common.structured_logging import EventLogger, stderr_sink
from oakramp.common.tasks import monotonic_reactor, settled
from oakramp.testbed.ablation import ABLATIONS, ablation_named, make_variant
from oakramp.testbed.capacity import SLOPES
from oakramp.testbed.checker import cut_off
from oakramp.testbed.emulators import build_standins
from oakramp.testbed.explore.command import explore
from oakramp.testbed.fleet import Fleet
from oakramp.testbed.measure import MEASURES
from oakramp.testbed.mutation_testing import try_all
from oakramp.testbed.plan import MARKERS, PLATFORM, SIZES, replica_rows
from oakramp.testbed.realtrial import RealTrial, rolling_restart
from oakramp.testbed.rush import POLICIES, Scene, play
from oakramp.testbed.rush_plot import plot
from oakramp.testbed.rush_sizing import ORDER_POLICIES, SIZING_SCENES, play_orders
from oakramp.testbed.trial import DAYS, run_day, run_trial

RUSH_RATES = (
    8,
    16,
    24,
    32,
    40,
    48,
    64,
    96,
)  # programs per second; the replicas of the model complete about 38 of them in time

SIZE = click.option(
    "--size",
    type=click.Choice(sorted(SIZES)),
    default="small",
    show_default=True,
    help="Number of machines and replicas.",
)
FOLDER = click.option("--folder", default="fleet-run", show_default=True, help="Folder for data and logs.")


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main():
    """Runs oakramp fleets and trials on this machine's loopback addresses."""


main.add_command(explore)


@main.command()
@SIZE
def standins(size):
    """Emulates the replicas, services and platform of a fleet of this size."""
    reactor = monotonic_reactor()
    platform, _ = build_standins(
        reactor, PLATFORM, replica_rows(SIZES[size]), EventLogger(stderr_sink(), node="standins"), adapters=MARKERS
    )
    click.echo(f"{len(platform.rows)} replicas")
    reactor.run()


@main.command()
@SIZE
@FOLDER
def up(size, folder):
    """Starts a fleet with the plans of both partners, and runs it until Ctrl-C."""
    fleet = Fleet(folder, size)

    def ended(*_):
        fleet.down()
        sys.exit(0)

    signal.signal(signal.SIGTERM, ended)
    try:
        fleet.bring_up()
        for machine in fleet.machines:
            click.echo(f"{machine.name:10} {machine.zone}  http {machine.http}  peer {machine.peer}")
        click.echo(f"platform   http {PLATFORM}")
        click.echo("ready; Ctrl-C ends it")
        while True:
            time.sleep(1)
    except KeyboardInterrupt:
        pass
    finally:
        fleet.down()


def _print_report(report):
    for name, (checked, near, bad) in sorted(report.items()):
        click.echo(f"{name:18} checked {checked:6}  near the fault {near:6}  violations {len(bad)}")
        for line in bad[:5]:
            click.echo(f"    {line}")
    return sum(len(one.bad) for one in report.values())


@main.command("fleet")
@click.option("--size", type=click.Choice(sorted(SIZES)), default="brief", show_default=True)
@FOLDER
@click.option("--seconds", default=20, show_default=True, help="Duration of the load.")
@click.option("--callers", default=24, show_default=True, help="Number of concurrent clients.")
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--event",
    type=click.Choice(["none", "rolling", "kill", "outage"]),
    default="none",
    show_default=True,
    help="rolling: every daemon is restarted in turn; kill: one of each kind is killed and started; "
    "outage: all are killed at once.",
)
def fleet_trial(size, folder, seconds, callers, seed, event):
    """Runs a fleet of real processes under load, and checks every rule against the record of the emulated replicas."""
    reactor = monotonic_reactor()
    fleet = Fleet(folder, size)
    trial = RealTrial(reactor, fleet, seed)
    outcome = {}

    async def run():
        await deferToThread(fleet.bring_up)
        click.echo("fleet is up")
        since = reactor.seconds()
        works = [trial.load(seconds, callers), trial.change_plans(seconds), trial.replicas_leave(seconds / 2)]
        works += [deferToThread(EVENTS[event], trial, outcome)] if event != "none" else []
        for ok, error in await settled(works):
            if not ok:
                raise error
        await trial.read_back()
        outcome["report"], outcome["cache"] = await deferToThread(trial.report)
        outcome["cutOff"] = cut_off(trial.view, since, reactor.seconds())

    def ended(result):
        fleet.down()
        outcome["failure"] = result if isinstance(result, Failure) else None
        reactor.stop()

    reactor.callWhenRunning(lambda: ensureDeferred(run()).addBoth(ended))
    reactor.run()
    if "failure" not in outcome:  # a signal ended it
        fleet.down()
        raise click.ClickException("the trial was interrupted")
    if outcome["failure"] is not None:
        raise click.ClickException(outcome["failure"].getTraceback())
    bad = _print_report(outcome["report"])
    asked = [attempt for one in trial.view.requests for attempt in one.attempts]
    click.echo(
        f"{len(trial.view.requests)} requests, {sum(a.outcome == 'end' for a in asked)} served, "
        f"{len(outcome['cutOff'])} cut off, {sum(a.verdict == 'no' for a in asked)} told no"
    )
    for line in outcome["cutOff"][:10]:
        click.echo(f"    cut off: {line}")
    for line in outcome.get("notes", []):
        click.echo(line)
    hits = [(hit, all_) for hit, all_, _ in outcome["cache"].values() if all_]
    if hits:
        click.echo(
            f"prefix cache: {sum(hit for hit, _ in hits) / sum(all_ for _, all_ in hits):.2f} of earlier texts "
            f"were in the replica's cache"
        )
    sys.exit(1 if bad or (event == "rolling" and outcome["cutOff"]) else 0)


def _rolling(trial, outcome):
    time.sleep(2)
    codes = rolling_restart(trial)
    outcome["notes"] = [f"restarted {len(codes)} daemons, exit codes {sorted({code for _, code in codes})}"]


def _kill(trial, outcome):
    time.sleep(3)
    for name in ("gate0", "store0", "control0"):
        trial.fleet.kill(name)
        time.sleep(3)
        trial.fleet.start(name)
        time.sleep(2)
    outcome["notes"] = ["killed and started gate0, store0, control0"]


def _outage(trial, outcome):
    time.sleep(5)
    for machine in trial.fleet.machines:
        trial.fleet.kill(machine.name)
    killed_at = time.monotonic()
    trial.fleet.start_all()
    while not any(
        a.outcome == "end" and a.asked_at > killed_at for one in list(trial.view.requests) for a in one.attempts
    ):
        if time.monotonic() > killed_at + 60:
            raise TimeoutError("nothing was served within 60 s of the outage")
        time.sleep(0.05)
    outcome["notes"] = [f"all killed at once; first request served {time.monotonic() - killed_at:.1f} s later"]


EVENTS = {"rolling": _rolling, "kill": _kill, "outage": _outage}


@main.command()
@click.option("--seeds", default=8, show_default=True, help="Number of seeds.")
@click.option("--first", default=0, show_default=True, help="The first seed.")
@click.option("--seconds", default=40.0, show_default=True, help="Simulated seconds of load and faults in each.")
@click.option("--day", type=click.Choice(DAYS.names()), help="A partner's day instead of random faults.")
@click.option("--timelines/--no-timelines", default=True, help="Print the timeline of a failed seed.")
def search(seeds, first, seconds, day, timelines):
    """Runs simulated trials of random overlapping faults, one for each seed, on all cores."""
    failed, caused, near, unserved = 0, Counter(), Counter(), 0.0
    with multiprocessing.Pool() as pool:
        run = partial(run_day, day) if day else partial(run_trial, load_time=seconds)
        for outcome in pool.imap(run, range(first, first + seeds)):
            bad = bool(outcome.violations or outcome.crashes)
            failed += bad
            caused.update(outcome.caused)
            near.update(outcome.near)
            unserved = max(unserved, outcome.unserved)
            click.echo(
                f"seed {outcome.seed}: {outcome.asked} asked, {outcome.ended} served, "
                f"{'FAILED' if bad else 'no violation'}"
            )
            if bad:
                click.echo(f"  {outcome.violations} {outcome.crashes[:2]}")
            if bad and timelines:
                click.echo(outcome.timeline)
    click.echo("faults: " + ", ".join(f"{name} {count}" for name, count in sorted(caused.items())))
    click.echo("cases near the fault: " + ", ".join(f"{name} {count}" for name, count in sorted(near.items())))
    click.echo(f"longest that a partner's steady calls went unserved: {unserved:.1f} s")
    click.echo(f"{seeds} seeds, {failed} failed")
    sys.exit(1 if failed else 0)


@main.command()
@click.argument("names", nargs=-1)
@click.option("--seed", default=1, show_default=True)
def measure(names, seed):
    """Runs measurements on the simulated fleet; all of them if none is named. A single slope: capacity.NAME."""
    for name in names or MEASURES.names():
        kind, _, slope = name.partition(".")
        try:
            function = SLOPES.find(slope) if kind == "capacity" and slope else MEASURES.find(name)
        except NotFoundError as error:
            raise click.ClickException(error.reason) from error
        click.echo(f"{name}: {' '.join(function.__doc__.split())}")
        for what, value in function(seed).items():
            click.echo(f"    {what}: {value}")


@main.command()
@click.option("--rate", "rates", multiple=True, type=float, help="Programs per second; may be repeated.")
@click.option("--seeds", default=3, show_default=True)
@click.option("--plot", "plot_file", type=click.File("w"), help="File for a plot, as SVG.")
def rush(rates, seeds, plot_file):
    """Goodput of admission policies when more programs arrive than the replicas can serve in time."""
    rates, earned = rates or RUSH_RATES, {name: [] for name in POLICIES.names()}
    click.echo("programs/s  " + "  ".join(f"{name:>12}" for name in earned))
    for rate in rates:
        for name, values in earned.items():
            values.append(sum(play(name, Scene(rate), seed).goodput() for seed in range(seeds)) / seeds)
        click.echo(f"{rate:10.0f}  " + "  ".join(f"{values[-1]:12.1f}" for values in earned.values()))
    if plot_file is not None:
        plot_file.write(plot(rates, earned))


@main.command("rush-orders")
@click.option("--seeds", default=3, show_default=True)
def rush_orders(seeds):
    """Benefit and cost of autoscaling policies: share of the programs' value earned, and replica-seconds paid."""
    for what, scene in SIZING_SCENES.items():
        for policy in ORDER_POLICIES:
            sites = [play_orders(policy, scene, seed) for seed in range(seeds)]
            earned = sum(site.earned() for site in sites) / seeds
            paid = sum(site.replica_seconds for site in sites) / seeds
            calls = sum(site.changes for site in sites) / seeds
            click.echo(f"{what:8} {policy:8} earned {earned:.3f}  replica-seconds {paid:6.0f}  orders {calls:4.1f}")


@main.command()
@click.argument("name", required=False)
@click.option("--into", type=click.Path(exists=False), help="Folder for the variant; it must not exist.")
@click.option("--root", default=".", show_default=True, type=click.Path(exists=True), help="The checkout.")
def ablation(name, into, root):
    """Creates a variant of the checkout with one mechanism disabled; without a NAME, lists the mechanisms."""
    if name is None:
        for one in ABLATIONS:
            click.echo(f"{one.name}: {one.purpose}")
        return
    if into is None:
        raise click.UsageError("--into is needed")
    try:
        make_variant(ablation_named(name), root, into)
    except (NotFoundError, ValueError) as error:
        raise click.ClickException(str(error)) from error
    click.echo(f"without {name}: {into}; play days there with the users' bench")


@main.command()
@click.argument("names", nargs=-1)
@click.option("--root", default=".", show_default=True, type=click.Path(exists=True), help="The checkout.")
def takeout(names, root):
    """Removes each mechanism once, in a copy of the code, and reports whether the test named for it then fails."""
    stays = 0
    for one, outcome in try_all(root, names):
        stays += outcome != "fails"
        click.echo(f"without {one.name}: {one.test} {outcome}")
    sys.exit(1 if stays else 0)


if __name__ == "__main__":
    main()
