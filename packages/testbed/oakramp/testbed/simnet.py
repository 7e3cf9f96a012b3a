"""A simulated reactor for each machine, on one simulated time and network.

A machine can be frozen (its calls are postponed), killed (its peers see their connections close) or lose power (its
peers see nothing). Links can be cut in one or both directions, and delayed.

As in TCP, a segment that is lost is retransmitted after a timeout that doubles with each retransmission, and all later
data waits behind it. So a connection notices that a link has healed, or that a peer has restarted after a power loss,
only at its next retransmission: up to as long after it as the connection had waited before.
"""

import heapq
import itertools
from collections import Counter

from twisted.internet import error, interfaces
from twisted.internet.address import IPv4Address
from twisted.internet.base import DelayedCall
from twisted.python.failure import Failure
from zope.interface import implementer

SYN_RESEND = 1.0  # s; the SYN of a connection is retransmitted after this
RETRANSMISSION_TIMEOUT = 0.2  # s; the first of an unacknowledged segment, doubled with each retransmission
RETRANSMISSION_TIMEOUT_MOST = 120.0  # s


class SimTime:
    """Invariants: calls run in the order of their time, and in the order of scheduling where times are equal. What an
    ended process was waiting for stays referenced in `retained`: if it were garbage collected, its `finally` blocks
    would run."""

    def __init__(self):
        self.now = 0.0
        self.retained = []
        self._heap = []
        self._order = itertools.count()

    def schedule(self, delay, host, function, *arguments, **named):
        call = DelayedCall(
            self.now + max(0.0, delay),
            function,
            arguments,
            named,
            lambda _call: None,
            lambda _call: None,
            lambda: self.now,
        )
        heapq.heappush(self._heap, (call.time, next(self._order), call, host, host and host.incarnation))
        return call

    def push(self, call, host, incarnation):
        heapq.heappush(self._heap, (self.now, next(self._order), call, host, incarnation))

    def advance_to(self, end):
        while self._heap and self._heap[0][0] <= end:
            at, _, call, host, incarnation = heapq.heappop(self._heap)
            if host is not None and host.incarnation != incarnation:
                self.retained.append(call)
                continue
            if call.cancelled:
                continue
            due = call.getTime()
            if due > at:  # it was postponed meanwhile
                heapq.heappush(self._heap, (due, next(self._order), call, host, incarnation))
                continue
            self.now = max(self.now, at)
            if host is not None and host.frozen:
                host.waiting_calls.append(call)
                continue
            call.called = 1
            self.perform(call, host)
        self.now = end

    def perform(self, call, _host):
        """Runs one due call of this machine; measurements replace this method."""
        call.func(*call.args, **call.kw)


class SimNetwork:
    """Which machines can reach each other. `cuts` holds (from, to) pairs of addresses; `delays` holds the additional
    delay of links. Invariant: a pair that several faults cut with `hold` is in `cuts` until the last of them has healed
    it with `let_go`."""

    def __init__(self, time, random, low=0.0002, high=0.002):
        self.time, self.random = time, random
        self._low, self._high = low, high
        self.cuts = set()
        self._holds = Counter()
        self.delays = {}
        self.hosts = {}
        self.sent = 0
        self.bytes_from = Counter()

    def delay(self, from_host, to_host):
        return self.random.uniform(self._low, self._high) + self.delays.get((from_host, to_host), 0.0)

    def cut(self, some, others, both_ways=True):
        for one in some:
            for other in others:
                if one != other:
                    self.cuts.add((one, other))
                    if both_ways:
                        self.cuts.add((other, one))

    def hold(self, pairs):
        self._holds.update(pairs)
        self.cuts |= set(pairs)

    def let_go(self, pairs):
        self._holds.subtract(pairs)
        self.cuts -= {pair for pair in pairs if not self._holds[pair]}

    def heal(self):
        self._holds.clear()
        self.cuts.clear()
        self.delays.clear()


class SimHost:
    """A machine. `incarnation` increases whenever its process ends, which drops all calls scheduled for it."""

    def __init__(self, network, address):
        self.network, self.address = network, address
        self.incarnation = 0
        self.up = True
        self.frozen = False
        self.waiting_calls = []
        self.listeners = {}
        self.ports = itertools.count(20000)
        self.transports = {}
        network.hosts[address] = self

    def freeze(self):
        self.frozen = True

    def thaw(self):
        self.frozen = False
        waiting, self.waiting_calls = self.waiting_calls, []
        for call in waiting:
            if not call.cancelled:
                self.network.time.push(call, self, self.incarnation)

    def end(self, power_cut):
        """Ends the process. The kernel closes its connections, unless the machine lost power."""
        transports, self.transports = self.transports, {}
        self.network.time.retained.append((transports, self.waiting_calls, self.listeners))
        self.incarnation += 1
        self.frozen, self.waiting_calls, self.listeners = False, [], {}
        self.up = not power_cut
        for transport in transports:
            transport.closed = True
            transport.lost_power = power_cut
            if not power_cut:
                transport.send_close(error.ConnectionLost("peer process ended"))


@implementer(interfaces.IReactorTime, interfaces.IReactorTCP)
class SimReactor:
    def __init__(self, host):
        self._host, self._time = host, host.network.time

    def seconds(self):
        return self._time.now

    def callLater(self, delay, function, *arguments, **named):
        return self._time.schedule(delay, self._host, function, *arguments, **named)

    def getDelayedCalls(self):
        return []

    def callFromThread(self, function, *arguments, **named):
        self.callLater(0, function, *arguments, **named)

    def listenTCP(self, port, factory, backlog=50, interface=""):
        if port in self._host.listeners:
            raise error.CannotListenError(interface, port, "in use")
        factory.doStart()
        self._host.listeners[port] = factory
        return SimPort(self._host, port, factory)

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):
        return SimConnector(self._host, host, port, factory, timeout)


@implementer(interfaces.IListeningPort)
class SimPort:
    def __init__(self, host, port, factory):
        self._host, self._port, self._factory = host, port, factory

    def doRead(self):
        """Accepts pending connections; here there are never any."""

    def stopListening(self):
        if self._host.listeners.pop(self._port, None) is not None:
            self._factory.doStop()

    def getHost(self):
        return IPv4Address("TCP", self._host.address, self._port)


@implementer(interfaces.IConnector)
class SimConnector:
    def __init__(self, host, address, port, factory, timeout):
        self._host, self._address, self._port, self._factory = host, address, port, factory
        self.state = "connecting"
        self.transport = None
        factory.doStart()
        factory.startedConnecting(self)
        time = host.network.time
        self._timeout = time.schedule(timeout, host, self._fail, error.TimeoutError("no response to the SYN"))
        time.schedule(host.network.delay(host.address, address), None, self._arrive, host.incarnation)

    def _arrive(self, incarnation):
        """The SYN reaches the other machine, if the link and the machine are up."""
        network = self._host.network
        target = network.hosts.get(self._address)
        pair = self._host.address, self._address
        if self.state != "connecting" or self._host.incarnation != incarnation:
            return
        if pair in network.cuts or pair[::-1] in network.cuts or target is None or not target.up:
            network.time.schedule(SYN_RESEND, None, self._arrive, incarnation)
            return
        back = network.delay(self._address, self._host.address)
        listener = target.listeners.get(self._port)
        if listener is None:
            network.time.schedule(
                back, self._host, self._fail, error.ConnectionRefusedError("no listener on this port")
            )
            return
        local = SimTransport(self._host, next(self._host.ports), self._address, self._port)
        remote = SimTransport(target, self._port, self._host.address, local.local_port)
        local.other, remote.other = remote, local
        network.time.schedule(0, target, remote.open, listener)
        network.time.schedule(back, self._host, self._connected, local)

    def _connected(self, transport):
        if self.state != "connecting":
            transport.abortConnection()
            return
        self._timeout.cancel()
        self.state = "connected"
        self.transport = transport
        transport.when_lost = self._lost
        transport.open(self._factory)

    def _fail(self, why):
        if self.state != "connecting":
            return
        self.state = "disconnected"
        if self._timeout.active():
            self._timeout.cancel()
        self._factory.clientConnectionFailed(self, Failure(why))
        self._factory.doStop()

    def _lost(self, why):
        self.state = "disconnected"
        self._factory.clientConnectionLost(self, Failure(why))
        self._factory.doStop()

    def stopConnecting(self):
        self._fail(error.UserError())

    def disconnect(self):
        if self.state == "connecting":
            self.stopConnecting()
        elif self.transport is not None:
            self.transport.loseConnection()

    def getDestination(self):
        return IPv4Address("TCP", self._address, self._port)


@implementer(interfaces.ITCPTransport, interfaces.IPushProducer, interfaces.IConsumer)
class SimTransport:
    """One end of a connection. Invariants: data arrives in order or not at all; once `closed`, nothing more is sent or
    passed to the protocol, whose `connectionLost` has been called once; while `_unacknowledged` is not empty, its first
    segment was lost, and a retransmission is scheduled."""

    def __init__(self, host, local_port, peer_address, peer_port):
        self.host, self.local_port, self._peer = host, local_port, (peer_address, peer_port)
        self.other = self.protocol = self.when_lost = self._producer = None
        self.closed = self._closing = self._paused = False
        self.disconnecting = False
        self.connected = True
        self._arrived = []
        self._last_arrival = 0.0
        self._unacknowledged = []
        self.lost_power = False

    # --- opening and receiving ---

    def open(self, factory):
        if self.closed:
            return
        self.host.transports[self] = None
        self.protocol = factory.buildProtocol(IPv4Address("TCP", *self._peer))
        if self.protocol is None:
            self.abortConnection()
            return
        self.protocol.makeConnection(self)
        self._pass_to_protocol()

    def _send(self, what):
        network = self.host.network
        due = max(self._last_arrival, network.time.now + network.delay(self.host.address, self._peer[0]))
        self._last_arrival = due
        network.sent += 1
        network.bytes_from[self.host.address] += 0 if isinstance(what, Exception) else len(what)
        network.time.schedule(due - network.time.now, None, self._arrive_at, what)

    def _arrive_at(self, what):
        """Runs on behalf of the network; a segment waits behind an earlier one that was lost."""
        self._unacknowledged.append(what)
        if len(self._unacknowledged) == 1:
            self._transmit(RETRANSMISSION_TIMEOUT)

    def _transmit(self, timeout):
        """Delivers the queued segments in order; a lost one is retransmitted after `timeout` seconds."""
        if self.lost_power:
            self._unacknowledged.clear()
        while self._unacknowledged:
            if not self._deliver(self._unacknowledged[0]):
                longer = min(2 * timeout, RETRANSMISSION_TIMEOUT_MOST)
                self.host.network.time.schedule(timeout, None, self._transmit, longer)
                return
            self._unacknowledged.pop(0)

    def _deliver(self, what):
        """Whether the other machine's kernel has responded, be it with a reset."""
        network, other = self.host.network, self.other
        target = other.host
        if (self.host.address, self._peer[0]) in network.cuts or not target.up:
            return False
        if not other.closed:
            network.time.schedule(0, target, other.take, what)
        elif not self.closed and not isinstance(what, Exception):
            # The connection no longer exists there, so the peer's kernel sends a reset.
            back = network.delay(target.address, self.host.address)
            network.time.schedule(back, self.host, self._finish, error.ConnectionLost("reset by peer"))
        return True

    def take(self, what):
        if self.closed:
            return
        self._arrived.append(what)
        self._pass_to_protocol()

    def _pass_to_protocol(self):
        while self._arrived and not self._paused and not self.closed and self.protocol is not None:
            what = self._arrived.pop(0)
            if isinstance(what, Exception):
                self._finish(what)
                return
            self.protocol.dataReceived(what)

    # --- sending ---

    def write(self, data):
        if not self.closed and not self._closing and data:
            self._send(bytes(data))

    def writeSequence(self, parts):
        self.write(b"".join(parts))

    def loseConnection(self):
        if self.closed or self._closing:
            return
        self.disconnecting = True
        if self._producer is None:
            self._closing = True
            self._send(error.ConnectionDone())
            self.host.network.time.schedule(0, self.host, self._finish, error.ConnectionDone())

    def abortConnection(self):
        if not self.closed:
            self._closing = True
            self.send_close(error.ConnectionLost("aborted by peer"))
            self._finish(error.ConnectionAborted())

    def send_close(self, why):
        self._send(why)

    def _finish(self, why):
        if self.closed:
            return
        self.closed, self.connected = True, False
        self.host.transports.pop(self, None)
        if self._producer is not None:
            self._producer.stopProducing()
            self._producer = None
        if self.protocol is not None:
            self.protocol.connectionLost(Failure(why))
        if self.when_lost is not None:
            self.when_lost(why)

    # --- remaining methods of the interfaces ---

    def registerProducer(self, producer, streaming):
        self._producer = producer
        if self.closed:
            producer.stopProducing()

    def unregisterProducer(self):
        self._producer = None
        if self.disconnecting:
            self.loseConnection()

    def pauseProducing(self):
        self._paused = True

    def resumeProducing(self):
        self._paused = False
        self.host.network.time.schedule(0, self.host, self._pass_to_protocol)

    def stopProducing(self):
        self.loseConnection()

    def loseWriteConnection(self):
        self.loseConnection()

    def getPeer(self):
        return IPv4Address("TCP", *self._peer)

    def getHost(self):
        return IPv4Address("TCP", self.host.address, self.local_port)

    def setTcpNoDelay(self, enabled):
        pass

    def setTcpKeepAlive(self, enabled):
        pass

    def getTcpNoDelay(self):
        return True

    def getTcpKeepAlive(self):
        return False
