"""Framed connections between the system's own processes, and calls over them.

The dialling side calls, the listening side answers. Both say hello first; who belongs to another
cluster, speaks another wire version or sends what is no frame is closed and logged.
"""

import itertools
import json
from struct import Struct

from twisted.internet import defer, protocol
from twisted.internet.endpoints import TCP4ClientEndpoint

from oakbase.constants import (
    ACCEPT_LIMIT,
    CALL_TIME,
    CONNECT_TIME,
    FRAME_LIMIT,
    HELLO_TIME,
    PEER_IN_FLIGHT,
    RECONNECT_PAUSE,
    WIRE_SPAN,
    WIRE_VERSION,
)
from oakbase.env import splitAddress
from oakbase.tasks import begin, drive, spawn
from oakbase.verdict import (
    BadRequest,
    Fenced,
    NoAnswer,
    OakError,
    Overloaded,
    TimeSpent,
    Unknown,
    Unreachable,
    errorFrom,
)
from oakwire.codec import argumentsClass, idl, pack, packFrame, resultClass, unpack, unpackFrame

OPEN_METHODS = frozenset(["pull"])  # what one may ask that is not a member yet
LENGTH = Struct("!I")  # of the frame that follows


class Connection(protocol.Protocol):
    """Invariants: nothing but a hello is read before the peer's hello; `_inFlight` holds exactly the
    calls that were written and not answered, by number, with the time at which each is given up; once lost, it is
    empty and stays so; while it holds any, `_timer` runs out no later than the first of these times; `_unread` is the
    beginning of one frame, and none of it has been taken."""

    def __init__(self, net):
        self._net = net
        self._unread = b""
        self._inFlight = {}
        self._running = 0
        self._callIds = itertools.count(1)
        self._helloCall = None
        self._timer = None
        self._dueAt = 0.0
        self.peer = None
        self.ready = defer.Deferred()

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self._helloCall = self._net.reactor.callLater(HELLO_TIME, self._drop, "noHello")
        self._net.connections[self] = None
        self.sendString(pack(self._net.hello()))

    def sendString(self, data):
        """At once, without waiting for the reactor to say that the socket takes it, which it nearly always does. What it does
        not take, or a fault, the reactor meets again. The doWrite() leaves what waits in `dataBuffer`, where it is seen."""
        framed, transport = LENGTH.pack(len(data)) + data, self.transport
        if not hasattr(transport, "writeSomeData"):
            transport.write(framed)
            return
        if transport.connected and not transport.disconnecting and not transport.dataBuffer:
            sent = transport.writeSomeData(framed)
            if sent == len(framed):
                return
            framed = framed if isinstance(sent, Exception) else framed[sent:]
        transport.write(framed)
        transport.doWrite()

    def dataReceived(self, data):
        if self._unread:
            data = self._unread + data
        start, end = 0, len(data)
        while end - start >= LENGTH.size:
            (length,) = LENGTH.unpack_from(data, start)
            if length > FRAME_LIMIT:
                self._unread = b""
                self._drop("frameTooLong", length=length)
                return
            following = start + LENGTH.size + length
            if following > end:
                break
            frame, start = data[start + LENGTH.size : following], following
            self.stringReceived(frame)
        self._unread = data[start:]

    def connectionLost(self, reason=protocol.connectionDone):
        self.connected = 0  # the base class leaves it set
        self._net.connections.pop(self, None)
        if self._helloCall is not None and self._helloCall.active():
            self._helloCall.cancel()
        if not self.ready.called:
            self.ready.errback(Unreachable("connection closed before hello"))
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        waiting, self._inFlight = self._inFlight, {}
        for answer, _, _ in waiting.values():
            answer.errback(NoAnswer("connection lost before the answer"))

    def _drop(self, why, **pairs):
        self._net.log.event(
            "peerClosed", why=why, peer=self.peer.nodeId if self.peer else self.transport.getPeer().host, **pairs
        )
        self.transport.abortConnection()

    def stringReceived(self, data):
        try:
            if self.peer is None:
                self._meet(unpack(idl.Hello, data))
                return
            frame = unpackFrame(data)
            if frame.callId is None:
                raise BadRequest("a frame without a call id")
            if frame.method:
                self._serve(frame)
                return
            self._answered(frame)
        except OakError as error:
            self._drop("badFrame", reason=error.reason)

    def _meet(self, hello):
        self._helloCall.cancel()
        if hello.wireVersion is None or abs(hello.wireVersion - WIRE_VERSION) > WIRE_SPAN:
            self._drop("wireVersion", theirs=hello.wireVersion, ours=WIRE_VERSION)
            return
        if hello.clusterId and self._net.clusterId and hello.clusterId != self._net.clusterId:
            self._drop("otherCluster", theirs=hello.clusterId)
            return
        self.peer = hello
        if not self.ready.called:
            self.ready.callback(self)

    # --- calling ---

    def call(self, method, timeLeft, arguments):
        if not self.connected:
            return defer.fail(Unreachable("connection is closed"))
        if len(self._inFlight) >= PEER_IN_FLIGHT:
            return defer.fail(Overloaded("too many calls wait on this peer"))
        body = pack(argumentsClass(method)(**arguments))
        callId, answer = next(self._callIds), defer.Deferred()
        self._inFlight[callId] = (answer, self._net.reactor.seconds() + timeLeft, method)
        self._wakeWithin(timeLeft)
        self._net.callCounts[method] = self._net.callCounts.get(method, 0) + 1
        self.sendString(packFrame(idl.Frame(callId=callId, method=method, timeLeftMs=int(timeLeft * 1000), body=body)))
        return answer

    def _wakeWithin(self, timeLeft):
        """One timer for all calls: one for each, made and nearly always cancelled, cost as much as their packing."""
        due = self._net.reactor.seconds() + timeLeft
        if self._timer is not None:
            if self._dueAt <= due:
                return
            self._timer.cancel()
        self._dueAt = due
        self._timer = self._net.reactor.callLater(timeLeft, self._giveUpLate)

    def _giveUpLate(self):
        self._timer, now = None, self._net.reactor.seconds()
        for callId in [callId for callId, (_, due, _) in self._inFlight.items() if due <= now]:
            answer, _, method = self._inFlight.pop(callId, (None, None, None))
            if answer is not None:  # else what an earlier one set off has closed the connection
                answer.errback(NoAnswer(f"no answer to {method} in time"))
        if self._inFlight:
            self._wakeWithin(max(0.0, min(due for _, due, _ in self._inFlight.values()) - now))

    def _answered(self, frame):
        answer, _, method = self._inFlight.pop(frame.callId, (None, None, None))
        if answer is None:
            return  # it came after its time
        if frame.error:
            answer.errback(
                errorFrom(frame.error, frame.reason, frame.verdict, json.loads(frame.detail) if frame.detail else None)
            )
            return
        answer.callback(unpack(resultClass(method), frame.body).success)

    # --- serving ---

    def _serve(self, frame):
        if self._running >= PEER_IN_FLIGHT:
            self._answerError(frame, Overloaded("too many calls from this peer"))
            return
        self._running += 1
        drive(self._run(frame), lambda result, error: self._ran(frame, result, error))

    async def _run(self, frame):
        if frame.method not in OPEN_METHODS and self.peer.clusterId != self._net.clusterId:
            raise Fenced("not a member of this cluster")
        arguments = argumentsClass(frame.method)
        if arguments is None or frame.method not in self._net.handlers:
            raise Unknown(f"no method {frame.method} here")
        result = await self._net.handlers[frame.method](self.peer, unpack(arguments, frame.body))
        return pack(resultClass(frame.method)(success=result))

    def _ran(self, frame, body, error):
        self._running -= 1
        if error is None:
            self._answer(idl.Frame(callId=frame.callId, body=body))
            return
        if not isinstance(error, OakError):
            self._net.log.event("callCrashed", method=frame.method, error=repr(error))
            error = OakError(f"{frame.method} crashed")
        self._answerError(frame, error)

    def _answerError(self, frame, error):
        self._answer(
            idl.Frame(
                callId=frame.callId,
                error=error.code,
                reason=error.reason,
                verdict=error.verdict.value,
                detail=json.dumps(error.detail) if error.detail is not None else None,
            )
        )

    def _answer(self, frame):
        if self.connected:
            self.sendString(packFrame(frame))


class _Acceptor(protocol.Factory):
    noisy = False

    def __init__(self, net):
        self._net = net

    def buildProtocol(self, address):
        if len(self._net.connections) >= ACCEPT_LIMIT:
            self._net.log.event("peerRefused", why="tooMany", peer=address.host)
            return None
        connection = Connection(self._net)
        connection.ready.addErrback(lambda _: None)  # only the dialling side waits for it
        return connection


class _Dialler(protocol.Factory):
    noisy = False

    def __init__(self, net):
        self._net = net

    def buildProtocol(self, _address):
        return Connection(self._net)


class Net:
    """All peer connections of one node. `_links` holds at most one dialled connection for an address,
    as the Deferred of a Connection; a dead one is replaced by the next call."""

    def __init__(self, reactor, nodeId, kind, address, clusterId, log):
        self.reactor, self.nodeId, self.kind, self.address, self.log = reactor, nodeId, kind, address, log
        self.clusterId = clusterId or ""
        self.handlers = {}
        self.connections = {}
        self.callCounts = {}
        self._links = {}
        self._resting = {}
        self._port = None

    def hello(self):
        return idl.Hello(wireVersion=WIRE_VERSION, clusterId=self.clusterId, nodeId=self.nodeId, kind=self.kind)

    def handle(self, method, handler):
        """`handler(peer, arguments)` is a coroutine function; what it returns is the answer."""
        self.handlers[method] = handler

    def listen(self):
        host, port = splitAddress(self.address)
        self._port = self.reactor.listenTCP(port, _Acceptor(self), interface=host)

    def joinCluster(self, clusterId):
        """From now on a member; old connections said otherwise and are closed."""
        self.clusterId = clusterId
        self._hangUp()

    def _hangUp(self):
        self._links.clear()
        for connection in list(self.connections):
            connection.transport.abortConnection()

    async def stop(self):
        if self._port is not None:
            await defer.maybeDeferred(self._port.stopListening)
        self._hangUp()

    def call(self, address, method, timeLeft=CALL_TIME, to=None, **arguments):
        """The answer of whoever is at this address, or of nobody but the node `to`: after a lost disk another one
        listens where it did, and must not be taken for it. An awaitable; what leaves, leaves at once."""
        link = self._links.get(address)
        connection = link.result if link is not None and link.called else None
        if getattr(connection, "connected", False) and timeLeft > 0 and to in (None, connection.peer.nodeId):
            return connection.call(method, timeLeft, arguments)
        return begin(self._call(address, method, timeLeft, to, arguments))

    async def _call(self, address, method, timeLeft, to, arguments):
        if timeLeft <= 0:
            raise TimeSpent("no time left for the call")
        if address == self.address:
            self._checkNode(address, to, self.nodeId)
            return await self._callSelf(method, arguments)
        connection = await self._link(address)
        self._checkNode(address, to, connection.peer.nodeId)
        return await connection.call(method, timeLeft, arguments)

    @staticmethod
    def _checkNode(address, wanted, found):
        if wanted not in (None, found):
            raise Unreachable(f"{found} is at {address}, not {wanted}")

    async def _callSelf(self, method, arguments):
        if method not in self.handlers:
            raise Unknown(f"no method {method} here")
        return await self.handlers[method](self.hello(), argumentsClass(method)(**arguments))

    async def _link(self, address):
        link = self._links.get(address)
        if link is None or (link.called and not getattr(link.result, "connected", False)):
            if self.reactor.seconds() < self._resting.get(address, 0.0):
                raise Unreachable(f"{address} did not answer just now")
            link = self._links[address] = defer.Deferred()
            spawn(self._dial(address, link), self.log)
        waiting = defer.Deferred()

        def passOn(result):
            waiting.callback(result)
            return result

        link.addCallback(passOn)
        connection = await waiting
        if isinstance(connection, OakError):
            raise Unreachable(connection.reason)
        return connection

    async def _dial(self, address, link):
        host, port = splitAddress(address)
        endpoint = TCP4ClientEndpoint(
            self.reactor, host, port, timeout=CONNECT_TIME, bindAddress=(splitAddress(self.address)[0], 0)
        )
        try:
            connection = await endpoint.connect(_Dialler(self))
            await connection.ready
        except Exception as error:
            self._resting[address] = self.reactor.seconds() + RECONNECT_PAUSE
            if self._links.get(address) is link:
                del self._links[address]
            link.callback(Unreachable(f"{address} cannot be reached: {error}"))
            return
        link.callback(connection)
