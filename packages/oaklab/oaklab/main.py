"""oaklab: whole fleets on one machine, stand-ins, simulator."""
import signal
import sys
import time

import click

from oakbase.logline import LogLine, stderrSink
from oakbase.tasks import monotonicReactor
from oaklab.fleet import Fleet
from oaklab.plan import MARKERS, PLATFORM, SIZES, replicaRows
from oaklab.standin import buildStandins

SIZE = click.option("--size", type=click.Choice(sorted(SIZES)), default="small", show_default=True,
                    help="How many machines and replicas.")
FOLDER = click.option("--folder", default="fleet-run", show_default=True, help="Where data folders and logs go.")


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main():
    """Runs oakramp fleets and trials on this machine's loopback addresses."""


@main.command()
@SIZE
def standins(size):
    """Stand-in replicas, services and platform for a fleet of this size."""
    reactor = monotonicReactor()
    platform, _ = buildStandins(reactor, PLATFORM, replicaRows(SIZES[size]), LogLine(stderrSink(), node="standins"),
                                adapters=MARKERS)
    click.echo(f"{len(platform.rows)} replicas")
    reactor.run()


@main.command()
@SIZE
@FOLDER
def up(size, folder):
    """Brings a fleet up, with both partners' plans, and keeps it until Ctrl-C."""
    fleet = Fleet(folder, size)

    def ended(*_):
        fleet.down()
        sys.exit(0)
    signal.signal(signal.SIGTERM, ended)
    try:
        fleet.bringUp()
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


if __name__ == "__main__":
    main()
