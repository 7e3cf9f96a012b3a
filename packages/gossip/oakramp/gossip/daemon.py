"""The shell of every daemon: env, disk, signals, graceful stop, exit code."""

import gc
import os
import random
import signal
import sys

from twisted.internet.error import CannotListenError

from oakramp.common.constants import ENV_POLL, STOP_MARGIN, STOP_TIME
from oakramp.common.errors import OakrampError, SettingsError, StorageCorruptedError
from oakramp.common.settings import settings_of_daemon
from oakramp.common.structured_logging import FORMATS, LEVELS, set_level, skip_unused_record_fields, stderr_sink
from oakramp.common.tasks import Repeater, monotonic_reactor, spawn, within
from oakramp.storage.disk import FolderDisk


def run_daemon(program, rules, description, build):
    """`build(reactor, env, disk, random, sink)` gives a node with start() and a coroutine stop()."""
    run_node(program, settings_of_daemon(program, rules, description), build)


def run_from(program, source, build):
    """The same with settings from `source`, which has a `path` and a read() that raises SettingsError."""
    try:
        env = source.read()
    except SettingsError as error:
        for fault in error.detail:
            print(f"{program}: {fault}", file=sys.stderr)
        sys.exit(2)
    run_node(program, env, build, source)


class SettingsWatch:
    """Follows an env that may change while the node runs, with or without a signal.

    Invariant: `env` is the newest that could be read; one that cannot be read changes nothing and is told once."""

    def __init__(self, node, source, env, stat=os.stat):
        self._node, self._source, self._stat, self.env = node, source, stat, env
        self._seen = self._stamp()
        self._faults = None

    def _stamp(self):
        try:
            found = self._stat(self._source.path)
        except OSError:
            return None
        return found.st_mtime_ns, found.st_size, found.st_ino

    async def poll(self):
        """Reads the settings again if their file has changed."""
        if self._stamp() != self._seen:
            self.read_again()

    def read_again(self):
        """Reads the settings again and tells the node what changed."""
        self._seen = self._stamp()
        log = self._node.node.log
        try:
            env = self._source.read()
        except SettingsError as error:
            if error.detail != self._faults:
                log.warning("settings_unreadable", faults="; ".join(error.detail))
            self._faults = error.detail
            return
        self._faults = None
        if env == self.env:
            return
        changed = sorted(name for name in env.keys() | self.env.keys() if env.get(name) != self.env.get(name))
        self.env = env
        set_level(env.get("logLevel") or LEVELS[0])
        log.info("settings_changed", changed=",".join(changed))
        self._node.node.settings_changed(env)


def run_node(program, env, build, source=None):
    """Runs the node of this env until it is told to stop; `source` is read again when it has changed."""
    reactor = monotonic_reactor()
    skip_unused_record_fields()
    sink = stderr_sink(env.get("logLevel") or LEVELS[0], env.get("logFormat") or FORMATS[0])
    disk = None
    try:
        disk = FolderDisk(reactor, env["folder"]) if env.get("folder") else None
        try:
            node = build(reactor, env, disk, random.SystemRandom(), sink)
        except StorageCorruptedError as error:
            from oakramp.gossip.damaged_node import DamagedNode

            node = DamagedNode(reactor, env, sink, error)
        node.start()
    except BaseException as error:
        if disk is not None:
            disk.close()  # its thread would keep a process alive that serves nothing
        if not isinstance(error, (OakrampError, OSError, CannotListenError)):
            raise
        print(f"{program}: cannot start: {error}", file=sys.stderr)
        sys.exit(1)
    # What a program is made of lives as long as it does. Looking through all of it for what may go stopped everything
    # for some 30 ms, about each ten seconds.
    gc.freeze()
    gc.enable()
    stops = []
    grace = (env.get("bounds") or {}).get("grace_s")
    stop_time = STOP_TIME if grace is None else max(grace - STOP_MARGIN, grace / 2)

    async def stop():
        try:
            await within(reactor, stop_time, node.stop())
        finally:
            reactor.stop()

    def on_signal(*_):
        # A second signal ends it at once.
        stops.append(True)
        if len(stops) > 1:
            reactor.callFromThread(reactor.stop)
            return
        reactor.callFromThread(spawn, stop(), node.node.log)

    reactor.callWhenRunning(lambda: [signal.signal(number, on_signal) for number in (signal.SIGTERM, signal.SIGINT)])
    if source is not None:
        watch = SettingsWatch(node, source, env)
        Repeater(reactor, ENV_POLL, watch.poll, node.node.log).start()
        reactor.callWhenRunning(signal.signal, signal.SIGHUP, lambda *_: reactor.callFromThread(watch.read_again))
    reactor.run()
