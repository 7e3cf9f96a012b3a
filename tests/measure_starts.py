"""Processor time of the start of a process, from its first instruction until its reactor runs, for each role.

    python tests/measure_starts.py [--times N] [--importtime ROLE] [ROOT ...]

Each ROOT is a checkout whose deploy file's build was run; with several, their starts take turns, so that a busy machine
is equally busy for all. Byte code is not written meanwhile, as on machines where the checkout is read-only: what the
build has not compiled is compiled in each start. Prints the median of user and system time in milliseconds."""

import argparse
import os
import random
import statistics
import subprocess
import sys
import tempfile

ROLES = ("gate", "core", "store")
TIMES = 11  # starts of each role
START_MOST = 60  # s
ERRORS_SHOWN = 2000  # characters
# Runs the entry program as the platform does, and ends the process once the reactor runs.
CHILD = """
import os, sys, time
sys.path[0] = os.path.abspath("platform")
path = os.path.abspath("platform/oakramp_node.py")
entry = {"__name__": "entry", "__file__": path}
exec(compile(open(path, "rb").read(), path, "exec"), entry)
builder = entry["_builder"]
def report():
    print("used", round(1000 * time.process_time()), *sys.modules, flush=True)
    os._exit(0)
def builder_that_reports(node_class):
    from oakramp.gossip import daemon
    make_reactor = daemon.monotonic_reactor
    def reactor_that_reports():
        reactor = make_reactor()
        reactor.callWhenRunning(report)
        return reactor
    daemon.monotonic_reactor = reactor_that_reports
    return builder(node_class)
entry["_builder"] = builder_that_reports
entry["main"](sys.argv[1:])
"""
SETTINGS = """
node_name=machine-a-1
ip={host}
zone=zone-a
zones.zone-a=region
port_range={first},{last}
seed_nodes={host}:{control}
listen.counter={host}:{counter}
listen.ready={host}:{ready}
listen.control={host}:{control}
first_start=true
counts_loss=true
limits.memory_mb=296
limits.fd_cap=4096
limits.disk_mb=128
data_dir={folder}
platform_api.address={host}:9
"""


FIRST_PORT = 24000  # below those that the kernel gives to connections


def settings_in(folder):
    """A settings file in this folder for a machine of its own, at an address from which nobody else connects."""
    host = f"127.{random.randint(130, 250)}.{random.randint(1, 250)}.{random.randint(1, 250)}"
    first = FIRST_PORT
    path = os.path.join(folder, "settings")
    with open(path, "w", encoding="utf-8") as file:
        ports = {"first": first, "last": first + 15, "counter": first + 16, "ready": first + 17, "control": first + 18}
        file.write(SETTINGS.format(folder=os.path.join(folder, "data"), host=host, **ports))
    return path


def start(root, role, *options, libraries=None):
    """(processor ms, names of modules imported, standard error) of one start of this checkout's process.

    `libraries` is the interpreter's path to them, if it is not the build's."""
    with tempfile.TemporaryDirectory() as folder:
        ended = subprocess.run(
            [sys.executable, "-S", *options, "-c", CHILD, role],
            cwd=root,
            env={
                "PATH": os.environ["PATH"],
                "PYTHONPATH": libraries or os.path.join(root, "target", "deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
                "OAKRAMP_NODE_FILE": settings_in(folder),
            },
            capture_output=True,
            text=True,
            timeout=START_MOST,
        )
    for line in ended.stdout.splitlines():
        if line.startswith("used "):
            _, milliseconds, *modules = line.split()
            return int(milliseconds), modules, ended.stderr
    raise SystemExit(f"{root}: {role} did not start: {ended.stdout}{ended.stderr[-ERRORS_SHOWN:]}")


def main():
    """Prints one line a role, with the figures of each checkout."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--times", type=int, default=TIMES)
    parser.add_argument("--importtime", metavar="ROLE", help="only the interpreter's table of what the imports cost")
    parser.add_argument("roots", nargs="*", default=[os.path.dirname(os.path.dirname(os.path.abspath(__file__)))])
    given = parser.parse_args()
    if given.importtime:
        print(start(given.roots[0], given.importtime, "-X", "importtime")[2])
        return
    for role in ROLES:
        found = [[] for _ in given.roots]
        for _ in range(given.times):
            for root, starts in zip(given.roots, found, strict=True):
                starts.append(start(root, role)[:2])
        for root, starts in zip(given.roots, found, strict=True):
            times, modules = zip(*starts, strict=True)
            print(f"{role}: {statistics.median(times):.0f} ms (least {min(times)}), {len(modules[0])} modules: {root}")


if __name__ == "__main__":
    main()
