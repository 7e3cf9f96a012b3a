"""The reactor's reading of sockets: what is there is read, a fault ends one connection only, who is gone is left alone."""

import os
import time
import unittest

from twisted.internet.abstract import FileDescriptor
from twisted.internet.error import ConnectionDone
from twisted.python import log

from oakbase.reactor import LeanReactor


class Pipe(FileDescriptor):
    """The reading end of a pipe. `onRead` gives what doRead() gives."""

    def __init__(self, reactor, onRead):
        super().__init__(reactor)
        self._handle, self.writer = os.pipe()
        self.onRead, self.reads, self.lost = onRead, [], []
        self.startReading()

    def fileno(self):
        return self._handle

    def doRead(self):
        self.reads.append(os.read(self._handle, 100))
        return self.onRead()

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

    def pipe(self, onRead=lambda: None):
        self.pipes.append(Pipe(self.reactor, onRead))
        return self.pipes[-1]

    def write(self, pipe, data):
        os.write(pipe.writer, data)

    def testWhatIsThereIsRead(self):
        one, other = self.pipe(), self.pipe()
        self.write(one, b"abc")
        self.reactor.doPoll(0)
        self.reactor.doPoll(0)
        self.assertEqual((one.reads, other.reads), ([b"abc"], []))

    def testAnEndAndAFaultEndTheirOwnConnectionOnly(self):
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

    def testWhoWasTakenOutInTheSameTurnIsNotRead(self):
        one, other = self.pipe(), self.pipe()
        one.onRead, other.onRead = other.stopReading, one.stopReading
        for pipe in self.pipes:
            self.write(pipe, b"x")
        self.reactor.doPoll(0)
        self.assertEqual(len(one.reads) + len(other.reads), 1)

    def testAPeersEndIsMet(self):
        one = self.pipe()
        os.close(one.writer)
        one.writer = None
        self.reactor.doPoll(0)
        self.assertEqual((one.reads, one.lost), ([], [ConnectionDone]))

    def testItWaitsNoLongerThanItIsTold(self):
        before = time.monotonic()
        self.reactor.doPoll(0.05)
        self.assertLess(time.monotonic() - before, 5.0)
