"""The reactor's reading of sockets: waiting data is read, a fault ends only its own connection, and a removed connection
is not read."""

import os
import time
import unittest

from twisted.internet.abstract import FileDescriptor
from twisted.internet.error import ConnectionDone
from twisted.python import log

from oakramp.common.reactor import LeanReactor


class Pipe(FileDescriptor):
    """The reading end of a pipe. `on_read` returns the result of doRead()."""

    def __init__(self, reactor, on_read):
        super().__init__(reactor)
        self._handle, self.writer = os.pipe()
        self.on_read, self.reads, self.lost = on_read, [], []
        self.startReading()

    def fileno(self):
        return self._handle

    def doRead(self):
        self.reads.append(os.read(self._handle, 100))
        return self.on_read()

    def readConnectionLost(self, reason):
        self.connectionLost(reason)

    def connectionLost(self, reason):
        super().connectionLost(reason)
        self.lost.append(reason.type)


class Reading(unittest.TestCase):
    def setUp(self):
        self.reactor = LeanReactor()
        self.pipes = []

    def tearDown(self):
        self.reactor.removeAll()
        for handle in [handle for pipe in self.pipes for handle in (pipe.fileno(), pipe.writer) if handle is not None]:
            os.close(handle)
        for handle in {self.reactor.waker.i, self.reactor.waker.o}:
            os.close(handle)

    def pipe(self, on_read=lambda: None):
        self.pipes.append(Pipe(self.reactor, on_read))
        return self.pipes[-1]

    def write(self, pipe, data):
        os.write(pipe.writer, data)

    def test_waiting_data_is_read(self):
        one, other = self.pipe(), self.pipe()
        self.write(one, b"abc")
        self.reactor.doPoll(0)
        self.reactor.doPoll(0)
        self.assertEqual((one.reads, other.reads), ([b"abc"], []))

    def test_end_or_fault_of_one_connection_leaves_the_others_open(self):
        def fail():
            raise ValueError("bad")

        faulty, ended, sound = self.pipe(fail), self.pipe(lambda: ConnectionDone()), self.pipe()
        for pipe in self.pipes:
            self.write(pipe, b"x")
        seen = []
        log.addObserver(seen.append)
        try:
            self.reactor.doPoll(0)
        finally:
            log.removeObserver(seen.append)
        self.assertEqual((faulty.lost, ended.lost, sound.lost), ([ValueError], [ConnectionDone], []))
        self.assertTrue(any(event.get("isError") for event in seen))
        self.write(sound, b"y")
        self.reactor.doPoll(0)
        self.assertEqual((sound.reads, faulty.reads), ([b"x", b"y"], [b"x"]))

    def test_connection_removed_in_the_same_turn_is_not_read(self):
        one, other = self.pipe(), self.pipe()
        one.on_read, other.on_read = other.stopReading, one.stopReading
        for pipe in self.pipes:
            self.write(pipe, b"x")
        self.reactor.doPoll(0)
        self.assertEqual(len(one.reads) + len(other.reads), 1)

    def test_end_of_stream_closes_the_connection(self):
        one = self.pipe()
        os.close(one.writer)
        one.writer = None
        self.reactor.doPoll(0)
        self.assertEqual((one.reads, one.lost), ([], [ConnectionDone]))

    def test_poll_returns_within_its_timeout(self):
        before = time.monotonic()
        self.reactor.doPoll(0.05)
        self.assertLess(time.monotonic() - before, 5.0)
