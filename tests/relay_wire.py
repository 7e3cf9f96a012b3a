"""What the relay's tests share: an in-memory transport and reactor, and real sockets whose events a test fires itself."""

import socket

from twisted.internet import address, error, interfaces, task, tcp
from twisted.python.failure import Failure
from zope.interface import implementer

from oakramp.common.memory_account import MemoryAccount
from oakramp.common.structured_logging import EventLogger
from oakramp.http_proxy.listener import Listener


class Limits:
    header_bytes, body_bytes, header_s, idle_s = 2048, 4096, 3.0, 15.0


@implementer(interfaces.ITransport, interfaces.IConsumer)
class Transport:
    """Keeps what is written. Its protocol is told of its end at once; a real one does that a turn later."""

    def __init__(self):
        self.ended = None
        self.half_closed = self.paused = False
        self._written = []

    def _end(self, why):
        if self.ended is None:
            self.ended = why
            self.protocol.connectionLost(Failure(why))

    def write(self, data):
        if self.ended is None and not self.half_closed:
            self._written.append(data)

    def loseConnection(self):
        self._end(error.ConnectionDone())

    def abortConnection(self):
        self._end(error.ConnectionAborted())

    def loseWriteConnection(self):
        self.half_closed = True

    def registerProducer(self, producer, streaming):
        pass

    def unregisterProducer(self):
        pass

    def pauseProducing(self):
        self.paused = True

    def resumeProducing(self):
        self.paused = False

    def value(self):
        return b"".join(self._written)

    def feed(self, data):
        if self.ended is None and data:
            self.protocol.dataReceived(data)

    def peer_closes(self, why=None):
        self._end(why or error.ConnectionDone())

    def take(self):
        taken, self._written = self.value(), []
        return taken


class Reactor(task.Clock):
    """Keeps who listens and who dials; holds the readers and writers of real sockets without firing them."""

    def __init__(self):
        super().__init__()
        self.listening, self.dialled = [], []
        self.readers, self.writers = set(), set()
        self.addReader, self.removeReader = self.readers.add, self.readers.discard
        self.addWriter, self.removeWriter = self.writers.add, self.writers.discard

    def listenTCP(self, port, factory, backlog=50, interface=""):
        self.listening.append(factory)

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):
        self.dialled.append(Dialling(host, port, factory, timeout, bindAddress))
        return self.dialled[-1]


class Dialling:
    """A connector; the test says what becomes of it."""

    def __init__(self, host, port, factory, timeout, bind_address):
        self.host, self.port, self.factory, self.timeout, self.bind_address = host, port, factory, timeout, bind_address

    def connected(self):
        return connect(self.factory)

    def fail(self, why):
        self.factory.clientConnectionFailed(self, Failure(why))

    def disconnect(self):
        self.fail(error.UserError())


def connect(factory, host=None):
    transport = Transport()
    transport.protocol = factory.buildProtocol(None if host is None else address.IPv4Address("TCP", host, 1))
    transport.protocol.makeConnection(transport)
    return transport


class FrontBench:
    """A front on a memory reactor. `exchanges` are the requests it read; unless `handler` is given, the test answers
    them itself."""

    def __init__(self, handler=None, **settings):
        self.reactor, self.exchanges, self.lines = Reactor(), [], []
        self.limits = Limits()

        if "memory_limit" in settings:
            settings["memory_account"] = MemoryAccount(
                self.reactor, settings.pop("memory_limit"), EventLogger(self.lines.append)
            )

        async def keep(exchange):
            self.exchanges.append(exchange)
            await exchange.gone

        self.front = Listener(
            self.reactor,
            "127.0.0.1:80",
            handler or keep,
            lambda: self.limits,
            EventLogger(self.lines.append),
            settings.pop("bound", 100),
            **settings,
        )
        self.front.listen()

    def caller(self, host=None):
        return connect(self.reactor.listening[0], host)


def tcp_pair(protocol, reactor):
    """(a Twisted transport on a real socket, connected to `protocol`; the plain socket at its other end)."""
    listener = socket.create_server(("127.0.0.1", 0))
    peer = socket.create_connection(listener.getsockname())
    ours, peer_address = listener.accept()
    listener.close()
    transport = tcp.Server(ours, protocol, peer_address, None, 0, reactor)
    protocol.makeConnection(transport)
    return transport, peer
