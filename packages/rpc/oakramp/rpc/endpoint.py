"""Framed connections between the system's own processes, and calls over them.

The dialling side calls, the listening side answers. Both say hello first; who belongs to another
cluster, speaks another wire version or sends what is no frame is closed and logged.
"""

import itertools
import json
from struct import Struct
from typing import NamedTuple

from twisted.internet import defer, protocol
from twisted.internet.endpoints import TCP4ClientEndpoint

from oakramp.common.constants import (
    ACCEPT_LIMIT,
    CALL_TIME,
    CONNECT_TIME,
    FRAME_LIMIT,
    HELLO_TIME,
    PEER_IN_FLIGHT,
    RECONNECT_PAUSE,
    REDIAL_PAUSE,
    SILENT_LEAST,
    SILENT_MOST,
    WIRE_SPAN,
    WIRE_VERSION,
)
from oakramp.common.errors import (
    BadRequestError,
    DeadlineExceededError,
    MethodNotFoundError,
    OakrampError,
    OutcomeUnknownError,
    OverloadedError,
    StaleEpochError,
    UnreachableError,
    error_from_wire,
)
from oakramp.common.settings import split_address
from oakramp.common.tasks import begin, drive, sleep, spawn, within
from oakramp.common.tcp_options import set_peer_options
from oakramp.rpc.codec import arguments_class, idl, pack, pack_frame, result_class, unpack, unpack_frame
from oakramp.rpc.hedged_dial import HedgedDial

OPEN_METHODS = frozenset(["pull"])  # what one may ask that is not a member yet
LENGTH = Struct("!I")  # of the frame that follows


class PendingCall(NamedTuple):
    """A call that was written and not answered; times are monotonic seconds, `received` is the connection's count of
    bytes at that time."""

    answer: defer.Deferred
    sent_at: float
    due_at: float
    method: str
    received: int


class Connection(protocol.Protocol):
    """Invariants: nothing but a hello is read before the peer's hello; `_in_flight` holds exactly the
    calls that were written and not answered, by number; once lost, it is empty and stays so; while it holds any,
    `_timer` runs out no later than the first of their `due_at`; `_unread` is the beginning of one frame, and none of it
    has been taken; `received` counts the bytes that came, and `_silent_from` is that count when the connection was last
    found to be silent, or None."""

    def __init__(self, net):
        self._net = net
        self._unread = b""
        self._in_flight = {}
        self._running = 0
        self._call_ids = itertools.count(1)
        self._hello_call = None
        self._timer = None
        self._due_at = 0.0
        self.received = 0
        self._silent_from = None
        self.on_silent = lambda: None
        self.peer = None
        self.ready = defer.Deferred()

    def connectionMade(self):
        """Sends the hello, and waits HELLO_TIME seconds for the other side's."""
        set_peer_options(self.transport, probes=True)
        self._hello_call = self._net.reactor.callLater(HELLO_TIME, self._drop, "noHello")
        self._net.connections[self] = None
        self.sendString(pack(self._net.hello()))

    def sendString(self, data):
        """At once, without waiting for the reactor to say that the socket takes it, which it nearly always does. What
        it does not take, or a fault, the reactor meets again. The doWrite() leaves what waits in `dataBuffer`, where it
        is
        seen."""
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
        """Splits what arrives into frames."""
        self.received += len(data)
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
        """Ends the calls under way with OutcomeUnknownError."""
        self.connected = 0  # the base class leaves it set
        self._net.connections.pop(self, None)
        if self._hello_call is not None and self._hello_call.active():
            self._hello_call.cancel()
        if not self.ready.called:
            self.ready.errback(UnreachableError("connection closed before hello"))
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        waiting, self._in_flight = self._in_flight, {}
        for pending in waiting.values():
            pending.answer.errback(OutcomeUnknownError("connection lost before the answer"))

    def _drop(self, why, **pairs):
        self._net.log.info(
            "peer_connection_closed",
            why=why,
            peer=self.peer.node_id if self.peer else self.transport.getPeer().host,
            **pairs,
        )
        self.transport.abortConnection()

    def stringReceived(self, data):
        """Takes in one frame: the hello, an answer, or a call."""
        try:
            if self.peer is None:
                self._meet(unpack(idl.Hello, data))
                return
            frame = unpack_frame(data)
            if frame.call_id is None:
                raise BadRequestError("a frame without a call id")
            if frame.method:
                self._serve(frame)
                return
            self._answered(frame)
        except OakrampError as error:
            self._drop("badFrame", reason=error.reason)

    def _meet(self, hello):
        self._hello_call.cancel()
        if hello.wire_version is None or abs(hello.wire_version - WIRE_VERSION) > WIRE_SPAN:
            self._drop("wireVersion", theirs=hello.wire_version, ours=WIRE_VERSION)
            return
        if hello.cluster_id and self._net.cluster_id and hello.cluster_id != self._net.cluster_id:
            self._drop("otherCluster", theirs=hello.cluster_id)
            return
        self.peer = hello
        if not self.ready.called:
            self.ready.callback(self)

    # --- calling ---

    def call(self, method, time_left, arguments):
        """Fires with the result of a call. Raises UnreachableError or OverloadedError if it was not sent."""
        if not self.connected:
            return defer.fail(UnreachableError("connection is closed"))
        if len(self._in_flight) >= PEER_IN_FLIGHT:
            return defer.fail(OverloadedError("too many calls wait on this peer"))
        body = pack(arguments_class(method)(**arguments))
        call_id, answer = next(self._call_ids), defer.Deferred()
        now = self._net.reactor.seconds()
        self._in_flight[call_id] = PendingCall(answer, now, now + time_left, method, self.received)
        self._wake_within(time_left)
        self._net.call_counts[method] = self._net.call_counts.get(method, 0) + 1
        self.sendString(
            pack_frame(idl.Frame(call_id=call_id, method=method, time_left_ms=int(time_left * 1000), body=body))
        )
        return answer

    def _wake_within(self, time_left):
        """One timer for all calls: one for each, made and nearly always cancelled, cost as much as their packing."""
        due = self._net.reactor.seconds() + time_left
        if self._timer is not None:
            if self._due_at <= due:
                return
            self._timer.cancel()
        self._due_at = due
        self._timer = self._net.reactor.callLater(time_left, self._give_up_late)

    def _give_up_late(self):
        self._timer, now = None, self._net.reactor.seconds()
        for call_id in [call_id for call_id, pending in self._in_flight.items() if pending.due_at <= now]:
            pending = self._in_flight.pop(call_id, None)
            if pending is None:
                continue  # what an earlier one set off has closed the connection
            if pending.received == self.received and now - pending.sent_at >= SILENT_LEAST:
                self._note_silent(now - pending.sent_at)
            pending.answer.errback(OutcomeUnknownError(f"no answer to {pending.method} in time"))
        if self._in_flight:
            self._wake_within(max(0.0, min(pending.due_at for pending in self._in_flight.values()) - now))

    @property
    def is_silent(self):
        """Whether a call has timed out, and nothing at all has come since it was sent."""
        return self._silent_from == self.received

    def _note_silent(self, seconds):
        """Nothing has come since a call that has timed out was sent: the process is at a stand, or the way is cut, or
        the machine has lost its power and does not know of this connection."""
        if not self.is_silent:
            self._silent_from = self.received
            self._net.log.info("peer_connection_silent", peer=self.peer.node_id, silent_s=round(seconds, 3))
            self.on_silent()

    def _answered(self, frame):
        pending = self._in_flight.pop(frame.call_id, None)
        if pending is None:
            return  # it came after its time
        if frame.error:
            pending.answer.errback(
                error_from_wire(
                    frame.error, frame.reason, frame.verdict, json.loads(frame.detail) if frame.detail else None
                )
            )
            return
        pending.answer.callback(unpack(result_class(pending.method), frame.body).success)

    # --- serving ---

    def _serve(self, frame):
        if self._running >= PEER_IN_FLIGHT:
            self._answer_error(frame, OverloadedError("too many calls from this peer"))
            return
        self._running += 1
        drive(self._run(frame), lambda result, error: self._ran(frame, result, error))

    async def _run(self, frame):
        if frame.method not in OPEN_METHODS and self.peer.cluster_id != self._net.cluster_id:
            raise StaleEpochError("not a member of this cluster")
        arguments = arguments_class(frame.method)
        if arguments is None or frame.method not in self._net.handlers:
            raise MethodNotFoundError(f"no method {frame.method} here")
        result = await self._net.handlers[frame.method](self.peer, unpack(arguments, frame.body))
        return pack(result_class(frame.method)(success=result))

    def _ran(self, frame, body, error):
        self._running -= 1
        if error is None:
            self._answer(idl.Frame(call_id=frame.call_id, body=body))
            return
        if not isinstance(error, OakrampError):
            self._net.log.error("rpc_handler_crashed", method=frame.method, error=repr(error))
            error = OakrampError(f"{frame.method} crashed")
        self._answer_error(frame, error)

    def _answer_error(self, frame, error):
        self._answer(
            idl.Frame(
                call_id=frame.call_id,
                error=error.code,
                reason=error.reason,
                verdict=error.verdict.value,
                detail=json.dumps(error.detail) if error.detail is not None else None,
            )
        )

    def _answer(self, frame):
        if self.connected:
            self.sendString(pack_frame(frame))


class _Acceptor(protocol.Factory):
    noisy = False

    def __init__(self, net):
        self._net = net

    def buildProtocol(self, address):
        if len(self._net.connections) >= ACCEPT_LIMIT:
            self._net.log.info("peer_connection_rejected", why="tooMany", peer=address.host)
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


class RpcEndpoint:
    """All peer connections of one node. `_links` holds at most one dialled connection for an address,
    as the Deferred of a Connection; a dead one is replaced by the next call, and one that has fallen silent as soon as
    another one stands. That matters after a loss of power: the machine is back within seconds, but TCP sends again on
    the former connection, and so learns that it is no more, only up to as long after as the machine was away."""

    def __init__(self, reactor, node_id, kind, address, cluster_id, log):
        self.reactor, self.node_id, self.kind, self.address, self.log = reactor, node_id, kind, address, log
        self.cluster_id = cluster_id or ""
        self.handlers = {}
        self.connections = {}
        self.call_counts = {}
        self._links = {}
        self._resting, self._redialled = {}, {}
        self._port = None

    def hello(self):
        """The hello of this node."""
        return idl.Hello(wire_version=WIRE_VERSION, cluster_id=self.cluster_id, node_id=self.node_id, kind=self.kind)

    def handle(self, method, handler):
        """`handler(peer, arguments)` is a coroutine function; what it returns is the answer."""
        self.handlers[method] = handler

    def listen(self):
        """Starts to accept connections."""
        host, port = split_address(self.address)
        self._port = self.reactor.listenTCP(port, _Acceptor(self), interface=host)

    def join_cluster(self, cluster_id):
        """From now on a member; old connections said otherwise and are closed."""
        self.cluster_id = cluster_id
        self._hang_up()

    def _hang_up(self):
        self._links.clear()
        for connection in list(self.connections):
            connection.transport.abortConnection()

    async def stop(self):
        """Closes the port and all connections."""
        if self._port is not None:
            await defer.maybeDeferred(self._port.stopListening)
        self._hang_up()

    def call(self, address, method, time_left=CALL_TIME, to=None, **arguments):
        """The answer of whoever is at this address, or of nobody but the node `to`: after a lost disk another one
        listens where it did, and must not be taken for it. An awaitable; what leaves, leaves at once."""
        link = self._links.get(address)
        connection = link.result if link is not None and link.called else None
        if getattr(connection, "connected", False) and time_left > 0 and to in (None, connection.peer.node_id):
            return connection.call(method, time_left, arguments)
        return begin(self._call(address, method, time_left, to, arguments))

    async def _call(self, address, method, time_left, to, arguments):
        if time_left <= 0:
            raise DeadlineExceededError("no time left for the call")
        if address == self.address:
            self._check_node(address, to, self.node_id)
            return await self._call_self(method, arguments)
        ends_at = self.reactor.seconds() + time_left
        unreachable = UnreachableError(f"{address} was not reached in time")
        connection = await within(self.reactor, time_left, self._connection_to(address, to), unreachable)
        return await connection.call(method, ends_at - self.reactor.seconds(), arguments)

    async def _connection_to(self, address, to):
        """A connection to the node `to`, or to whatever node is at the address."""
        connection = await self._link(address)
        if to not in (None, connection.peer.node_id):
            connection = await self._dial_again(address, connection)
        self._check_node(address, to, connection.peer.node_id)
        return connection

    @staticmethod
    def _check_node(address, wanted, found):
        if wanted not in (None, found):
            raise UnreachableError(f"{found} is at {address}, not {wanted}")

    def node_at(self, address):
        """The node id that the peer of the connection to this address has given, or None without a connection."""
        if address == self.address:
            return self.node_id
        link = self._links.get(address)
        connection = link.result if link is not None and link.called else None
        return connection.peer.node_id if getattr(connection, "connected", False) else None

    def forget_failure(self, address):
        """Whoever listens there is known to be there again, so the next call dials it without a pause."""
        self._resting.pop(address, None)

    async def _call_self(self, method, arguments):
        if method not in self.handlers:
            raise MethodNotFoundError(f"no method {method} here")
        return await self.handlers[method](self.hello(), arguments_class(method)(**arguments))

    async def _dial_again(self, address, previous):
        """A new connection in place of one that leads to another node than was asked for, at most once in REDIAL_PAUSE:
        that node may have lost its power, and nothing tells of it on a connection on which nothing is sent."""
        if self.reactor.seconds() < self._redialled.get(address, float("-inf")) + REDIAL_PAUSE:
            return previous
        self._redialled[address] = self.reactor.seconds()
        if self._is_current(address, previous):
            del self._links[address]
            self._retire(previous)
        return await self._link(address)

    def _is_current(self, address, connection):
        """Whether calls to this address go over this connection."""
        link = self._links.get(address)
        return link is not None and link.called and link.result is connection

    def _retire(self, connection):
        """Closes a connection whose place is taken; calls that are under way on it may still be answered."""
        self.reactor.callLater(CALL_TIME, connection.transport.abortConnection)

    async def _link(self, address):
        link = self._links.get(address)
        if link is None or (link.called and not getattr(link.result, "connected", False)):
            if self.reactor.seconds() < self._resting.get(address, 0.0):
                raise UnreachableError(f"{address} did not answer just now")
            link = self._links[address] = defer.Deferred()
            spawn(self._dial(address, link), self.log)
        waiting = defer.Deferred()

        def pass_on(result):
            waiting.callback(result)
            return result

        link.addCallback(pass_on)
        connection = await waiting
        if isinstance(connection, OakrampError):
            raise UnreachableError(connection.reason)
        return connection

    async def _connect(self, address):
        """A new connection whose peer has said hello."""
        host, port = split_address(address)

        def begin_attempt(seconds):
            endpoint = TCP4ClientEndpoint(
                self.reactor, host, port, timeout=seconds, bindAddress=(split_address(self.address)[0], 0)
            )
            return endpoint.connect(_Dialler(self))

        connection = await HedgedDial(self.reactor, begin_attempt, CONNECT_TIME).start()
        await connection.ready
        connection.on_silent = lambda: spawn(self._replace(address, connection), self.log)
        return connection

    async def _replace(self, address, silent):
        """Dials beside a connection that has fallen silent, until something comes on it again or another one stands.

        After SILENT_MOST seconds it is closed, so that calls fail at once instead of waiting for their time.
        """
        ends_at, received = self.reactor.seconds() + SILENT_MOST, silent.received
        while silent.connected and silent.received == received:
            if self.reactor.seconds() >= ends_at:
                silent.transport.abortConnection()
                return
            try:
                fresh = await self._connect(address)
            except Exception:  # the peer is not back yet; whoever calls it is told so
                await sleep(self.reactor, RECONNECT_PAUSE)
                continue
            if silent.received != received or not fresh.connected or not self._is_current(address, silent):
                fresh.transport.abortConnection()
                return
            self._links[address] = defer.succeed(fresh)
            self._retire(silent)
            return

    async def _dial(self, address, link):
        try:
            connection = await self._connect(address)
        except Exception as error:
            self._resting[address] = self.reactor.seconds() + RECONNECT_PAUSE
            if self._links.get(address) is link:
                del self._links[address]
            link.callback(UnreachableError(f"{address} cannot be reached: {error}"))
            return
        link.callback(connection)
