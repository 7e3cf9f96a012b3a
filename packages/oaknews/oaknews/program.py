"""The shell of every daemon: env, disk, signals, graceful stop, exit code."""
import random
import signal
import sys

from twisted.internet.error import CannotListenError

from oakbase.constants import STOP_TIME
from oakbase.env import envOfDaemon
from oakbase.logline import stderrSink
from oakbase.tasks import monotonicReactor, spawn, within
from oakbase.verdict import OakError
from oakring.disk import FolderDisk


def runDaemon(program, rules, description, build):
    """`build(reactor, env, disk, random, sink)` gives a node with start() and a coroutine stop()."""
    env = envOfDaemon(program, rules, description)
    reactor = monotonicReactor()
    sink = stderrSink()
    try:
        disk = FolderDisk(reactor, env["folder"]) if "folder" in env else None
        node = build(reactor, env, disk, random.SystemRandom(), sink)
        node.start()
    except (OakError, OSError, CannotListenError) as error:
        print(f"{program}: cannot start: {error}", file=sys.stderr)
        sys.exit(1)
    stops = []

    async def stop():
        try:
            await within(reactor, STOP_TIME, node.stop())
        finally:
            reactor.stop()

    def onSignal(*_):
        # A second signal ends it at once.
        stops.append(True)
        if len(stops) > 1:
            reactor.callFromThread(reactor.stop)
            return
        reactor.callFromThread(spawn, stop(), node.node.log)
    reactor.callWhenRunning(lambda: [signal.signal(number, onSignal)
                                     for number in (signal.SIGTERM, signal.SIGINT)])
    reactor.run()
