"""Runs a daemon: settings, disk, signals, graceful stop and exit code."""

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
    """Runs the node of a program with settings from the environment.

    `build(reactor, env, disk, random, sink)` returns a node with start() and a coroutine stop()."""
    run_node(program, settings_of_daemon(program, rules, description), build)


def run_from(program, source, build):
    """Like run_daemon(), with settings from `source`, which has a `path` and a read() that raises SettingsError."""
    try:
        env = source.read()
    except SettingsError as error:
        for fault in error.detail:
            print(f"{program}: {fault}", file=sys.stderr)
        sys.exit(2)
    run_node(program, env, build, source)


class SettingsWatch:
    """Reloads settings that may change while the node runs, with or without a signal.

    Invariant: `env` is the newest that could be read; settings that cannot be read change nothing and are logged once.
    """

    def __init__(self, node, source, env, stat=os.stat):
        self._node, self._source, self._stat, self.env = node, source, stat, env
        self._loaded_version = self._file_version()
        self._faults = None

    def _file_version(self):
        try:
            found = self._stat(self._source.path)
        except OSError:
            return None
        return found.st_mtime_ns, found.st_size, found.st_ino

    async def poll(self):
        """Reloads the settings if their file has changed."""
        if self._file_version() != self._loaded_version:
            self.reload()

    def reload(self):
        """Reloads the settings, and passes them to the node if they differ."""
        self._loaded_version = self._file_version()
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
    """Runs the node of this env until a signal stops it; `source` is reloaded when its file changes."""
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
            disk.close()  # otherwise its thread would keep the process alive, which serves nothing
        if not isinstance(error, (OakrampError, OSError, CannotListenError)):
            raise
        print(f"{program}: cannot start: {error}", file=sys.stderr)
        sys.exit(1)
    # Objects made at the start live as long as the process. Without the freeze, a full garbage collection scans them
    # all, which stopped the process for about 30 ms, roughly every ten seconds.
    gc.freeze()
    gc.enable()
    received_signals = []
    grace = (env.get("bounds") or {}).get("grace_s")
    stop_time = STOP_TIME if grace is None else max(grace - STOP_MARGIN, grace / 2)

    async def stop():
        try:
            await within(reactor, stop_time, node.stop())
        finally:
            reactor.stop()

    def on_signal(*_):
        # A second signal stops the process at once.
        received_signals.append(True)
        if len(received_signals) > 1:
            reactor.callFromThread(reactor.stop)
            return
        reactor.callFromThread(spawn, stop(), node.node.log)

    reactor.callWhenRunning(lambda: [signal.signal(number, on_signal) for number in (signal.SIGTERM, signal.SIGINT)])
    if source is not None:
        watch = SettingsWatch(node, source, env)
        Repeater(reactor, ENV_POLL, watch.poll, node.node.log).start()
        reactor.callWhenRunning(signal.signal, signal.SIGHUP, lambda *_: reactor.callFromThread(watch.reload))
    reactor.run()
