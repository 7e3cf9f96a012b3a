"""Framed connections between nodes, and calls over them.

The dialling side sends calls, the listening side replies. Each side first sends a hello. A connection whose peer
belongs to another cluster, speaks an incompatible wire version or sends a malformed frame is closed, which is logged.
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
    HELLO_LIMIT,
    HELLO_TIME,
    LOG_PAUSE,
    NON_MEMBER_FRAME_LIMIT,
    PEER_IN_FLIGHT,
    RECONNECT_PAUSE,
    REDIAL_PAUSE,
    SILENT_CALL_TIME_MIN,
    SILENT_CONNECTION_TIME,
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
from oakramp.common.log_rate_limit import LogRateLimit
from oakramp.common.settings import split_address
from oakramp.common.tasks import begin, drive, sleep, spawn, within
from oakramp.common.tcp_options import set_peer_options
from oakramp.rpc.codec import arguments_class, idl, pack, pack_frame, result_class, unpack, unpack_frame
from oakramp.rpc.hedged_dial import HedgedDial

METHODS_OPEN_TO_NON_MEMBERS = frozenset(["pull"])  # may be called by a node that is not a member yet
LENGTH = Struct("!I")  # length of the frame that follows


class PendingCall(NamedTuple):
    """A call that was sent and has no reply yet; times are monotonic seconds, `received` is the connection's count of
    received bytes when the call was sent."""

    reply: defer.Deferred
    sent_at: float
    due_at: float
    method: str
    received: int


class Connection(protocol.Protocol):
    """One connection to a peer, dialled or accepted.

    Invariants: no frame but the hello is accepted before the peer's hello; `_in_flight` holds exactly the calls that
    were sent and have no reply, by call id; once the connection is lost, it is empty and stays so; while it is not
    empty, `_timer` fires no later than the earliest `due_at` in it; `_unread` is the beginning of one incomplete frame;
    `received` counts the received bytes, and `_silent_from` is that count when the connection was last found silent, or
    None. An accepted connection is that of a stranger until its hello names this cluster: its frames are short, and it
    gives way to newer connections."""

    def __init__(self, net, stranger_at=None):
        """`stranger_at` is the address of the machine that an accepted connection comes from."""
        self._net, self._stranger_at = net, stranger_at
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
        """Writes a frame to the socket at once, without waiting for the reactor to report that the socket is writable,
        which it nearly always is. Bytes that the socket does not accept, and errors, are left to the reactor. The
        doWrite() moves the remaining bytes into `dataBuffer`, where the next call sees them."""
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
        """Splits the received bytes into frames."""
        self.received += len(data)
        if self._unread:
            data = self._unread + data
        start, end = 0, len(data)
        while end - start >= LENGTH.size:
            (length,) = LENGTH.unpack_from(data, start)
            if length > self._frame_limit():
                self._unread = b""
                self._drop("frameTooLong", length=length)
                return
            following = start + LENGTH.size + length
            if following > end:
                break
            frame, start = data[start + LENGTH.size : following], following
            self.stringReceived(frame)
        self._unread = data[start:]

    def _frame_limit(self):
        """The longest frame that is accepted now, in bytes."""
        if self.peer is None:
            return HELLO_LIMIT
        return FRAME_LIMIT if self._stranger_at is None else NON_MEMBER_FRAME_LIMIT

    def connectionLost(self, reason=protocol.connectionDone):
        """Fails the calls in flight with OutcomeUnknownError."""
        self.connected = 0  # the base class leaves it set
        self._net.strangers.remove(self, self._stranger_at)
        self._net.connections.pop(self, None)
        if self._hello_call is not None and self._hello_call.active():
            self._hello_call.cancel()
        if not self.ready.called:
            self.ready.errback(UnreachableError("the connection was closed before the peer's hello"))
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        waiting, self._in_flight = self._in_flight, {}
        for pending in waiting.values():
            pending.reply.errback(OutcomeUnknownError("the connection was lost before the reply"))

    def _drop(self, why, **pairs):
        self._net.log_closed(why, self.peer.node_id if self.peer else self.transport.getPeer().host, pairs)
        self.transport.abortConnection()

    def give_way(self):
        """Closes the connection of a stranger."""
        self._drop("tooMany")
        self._net.connections.pop(self, None)

    def stringReceived(self, data):
        """Handles one frame: the hello, a reply or a call."""
        try:
            if self.peer is None:
                self._accept_hello(unpack(idl.Hello, data))
                return
            frame = unpack_frame(data)
            if frame.call_id is None:
                raise BadRequestError("the frame has no call id")
            if frame.method:
                self._serve(frame)
                return
            self._handle_reply(frame)
        except OakrampError as error:
            self._drop("badFrame", reason=error.reason)

    def _accept_hello(self, hello):
        self._hello_call.cancel()
        if hello.wire_version is None or abs(hello.wire_version - WIRE_VERSION) > WIRE_SPAN:
            self._drop("wireVersion", theirs=hello.wire_version, ours=WIRE_VERSION)
            return
        if hello.cluster_id and self._net.cluster_id and hello.cluster_id != self._net.cluster_id:
            self._drop("otherCluster", theirs=hello.cluster_id)
            return
        self.peer = hello
        if hello.cluster_id == self._net.cluster_id:
            self._net.strangers.remove(self, self._stranger_at)
            self._stranger_at = None
        if not self.ready.called:
            self.ready.callback(self)

    # --- calling ---

    def call(self, method, time_left, arguments):
        """A Deferred of the call's result. Fails with UnreachableError or OverloadedError if the call was not sent."""
        if not self.connected:
            return defer.fail(UnreachableError("the connection is closed"))
        if len(self._in_flight) >= PEER_IN_FLIGHT:
            return defer.fail(OverloadedError("too many calls to this peer are in flight"))
        body = pack(arguments_class(method)(**arguments))
        call_id, reply = next(self._call_ids), defer.Deferred()
        now = self._net.reactor.seconds()
        self._in_flight[call_id] = PendingCall(reply, now, now + time_left, method, self.received)
        self._schedule_expiry(time_left)
        self._net.call_counts[method] = self._net.call_counts.get(method, 0) + 1
        self.sendString(
            pack_frame(idl.Frame(call_id=call_id, method=method, time_left_ms=int(time_left * 1000), body=body))
        )
        return reply

    def _schedule_expiry(self, time_left):
        """Sets the one timer of all calls. One for each, nearly always cancelled, cost as much as packing the call."""
        due = self._net.reactor.seconds() + time_left
        if self._timer is not None:
            if self._due_at <= due:
                return
            self._timer.cancel()
        self._due_at = due
        self._timer = self._net.reactor.callLater(time_left, self._expire_calls)

    def _expire_calls(self):
        self._timer, now = None, self._net.reactor.seconds()
        for call_id in [call_id for call_id, pending in self._in_flight.items() if pending.due_at <= now]:
            pending = self._in_flight.pop(call_id, None)
            if pending is None:
                continue  # the errback of an earlier call has closed the connection
            if pending.received == self.received and now - pending.sent_at >= SILENT_CALL_TIME_MIN:
                self._note_silent(now - pending.sent_at)
            pending.reply.errback(OutcomeUnknownError(f"no reply to {pending.method} before the deadline"))
        if self._in_flight:
            self._schedule_expiry(max(0.0, min(pending.due_at for pending in self._in_flight.values()) - now))

    @property
    def is_silent(self):
        """Whether a call has timed out and no byte has been received since it was sent."""
        return self._silent_from == self.received

    def _note_silent(self, seconds):
        """Handles a call that timed out with no byte received since it was sent: the peer's process is frozen, or the
        network is partitioned, or the machine has lost power and no longer knows this connection."""
        if not self.is_silent:
            self._silent_from = self.received
            self._net.log.info("peer_connection_silent", peer=self.peer.node_id, silent_s=round(seconds, 3))
            self.on_silent()

    def _handle_reply(self, frame):
        pending = self._in_flight.pop(frame.call_id, None)
        if pending is None:
            return  # the reply came after the deadline of its call
        if frame.error:
            pending.reply.errback(
                error_from_wire(
                    frame.error, frame.reason, frame.verdict, json.loads(frame.detail) if frame.detail else None
                )
            )
            return
        pending.reply.callback(unpack(result_class(pending.method), frame.body).success)

    # --- serving ---

    def _serve(self, frame):
        if self._running >= PEER_IN_FLIGHT:
            self._send_error(frame, OverloadedError("too many calls from this peer are running"))
            return
        self._running += 1
        drive(self._run(frame), lambda result, error: self._finish_call(frame, result, error))

    async def _run(self, frame):
        if frame.method not in METHODS_OPEN_TO_NON_MEMBERS and self.peer.cluster_id != self._net.cluster_id:
            raise StaleEpochError("the peer is not a member of this cluster")
        arguments = arguments_class(frame.method)
        if arguments is None or frame.method not in self._net.handlers:
            raise MethodNotFoundError(f"method {frame.method} does not exist here")
        result = await self._net.handlers[frame.method](self.peer, unpack(arguments, frame.body))
        return pack(result_class(frame.method)(success=result))

    def _finish_call(self, frame, body, error):
        self._running -= 1
        if error is None:
            self._send_reply(idl.Frame(call_id=frame.call_id, body=body))
            return
        if not isinstance(error, OakrampError):
            self._net.log.error("rpc_handler_crashed", method=frame.method, error=repr(error))
            error = OakrampError(f"{frame.method}: the handler crashed")
        self._send_error(frame, error)

    def _send_error(self, frame, error):
        self._send_reply(
            idl.Frame(
                call_id=frame.call_id,
                error=error.code,
                reason=error.reason,
                verdict=error.verdict.value,
                detail=json.dumps(error.detail) if error.detail is not None else None,
            )
        )

    def _send_reply(self, frame):
        if self.connected:
            self.sendString(pack_frame(frame))


class _AcceptingFactory(protocol.Factory):
    noisy = False

    def __init__(self, net):
        self._net = net

    def buildProtocol(self, address):
        if len(self._net.connections) >= self._net.connections_limit and not self._net.strangers.dismiss_one():
            self._net.log_rejected(address.host)
            return None
        connection = Connection(self._net, address.host)
        self._net.strangers.add(connection, address.host)
        connection.ready.addErrback(lambda _: None)  # only the dialling side waits for it
        return connection


class Strangers:
    """The accepted connections whose peers have not shown that they belong to the cluster.

    Invariant: `_by_host` holds them by the address of their machine, the oldest first, and no empty entry."""

    def __init__(self):
        self._by_host = {}

    def add(self, connection, host):
        """Adds a connection that was just accepted."""
        self._by_host.setdefault(host, {})[connection] = None

    def remove(self, connection, host):
        """Removes a connection that has ended or belongs to the cluster; others are ignored."""
        connections = self._by_host.get(host, {})
        connections.pop(connection, None)
        if not connections:
            self._by_host.pop(host, None)

    def dismiss_one(self):
        """Closes the oldest connection of the machine that has most of them. Returns whether there was one."""
        if not self._by_host:
            return False
        host, connections = max(self._by_host.items(), key=lambda entry: len(entry[1]))
        oldest = next(iter(connections))
        self.remove(oldest, host)
        oldest.give_way()
        return True


class _DiallingFactory(protocol.Factory):
    noisy = False

    def __init__(self, net):
        self._net = net

    def buildProtocol(self, _address):
        return Connection(self._net)


class RpcEndpoint:
    """All peer connections of one node.

    `_links` holds at most one dialled connection for an address, as the Deferred of a Connection. A closed one is
    replaced by the next call, and one that has fallen silent as soon as a new one is established. That matters after a
    loss of power: the machine is back within seconds, but the interval until TCP retransmits on the old connection, and
    so learns that it is gone, may be as long as the machine was away."""

    def __init__(self, reactor, node_id, kind, address, cluster_id, log, connections_limit=ACCEPT_LIMIT):
        self.reactor, self.node_id, self.kind, self.address, self.log = reactor, node_id, kind, address, log
        self.cluster_id = cluster_id or ""
        self.handlers = {}
        self.connections = {}
        self.connections_limit, self.strangers = connections_limit, Strangers()
        self._closed_logs, self._rejected_log = {}, LogRateLimit(reactor, LOG_PAUSE)
        self.call_counts = {}
        self._links = {}
        self._backoff_until, self._redialled_at = {}, {}
        self._port = None

    def log_closed(self, why, peer, pairs):
        """Logs that a connection was closed for what came over it, with pairs of the reason's own."""
        left_out = self._closed_logs.setdefault(why, LogRateLimit(self.reactor, LOG_PAUSE)).take()
        if left_out is not None:
            self.log.info("peer_connection_closed", why=why, peer=peer, left_out=left_out, **pairs)

    def log_rejected(self, peer):
        """Logs that a connection was not accepted."""
        left_out = self._rejected_log.take()
        if left_out is not None:
            self.log.info("peer_connection_rejected", why="tooMany", peer=peer, left_out=left_out)

    def hello(self):
        """The hello of this node."""
        return idl.Hello(wire_version=WIRE_VERSION, cluster_id=self.cluster_id, node_id=self.node_id, kind=self.kind)

    def handle(self, method, handler):
        """Registers a coroutine function `handler(peer, arguments)`, whose return value is the result of the call."""
        self.handlers[method] = handler

    def listen(self):
        """Starts to accept connections."""
        host, port = split_address(self.address)
        self._port = self.reactor.listenTCP(port, _AcceptingFactory(self), interface=host)

    def join_cluster(self, cluster_id):
        """Makes this node a member of the cluster, and closes all connections: their hello named no cluster."""
        self.cluster_id = cluster_id
        self._close_connections()

    def _close_connections(self):
        self._links.clear()
        for connection in list(self.connections):
            connection.transport.abortConnection()

    async def stop(self):
        """Closes the port and all connections."""
        if self._port is not None:
            await defer.maybeDeferred(self._port.stopListening)
        self._close_connections()

    def call(self, address, method, time_left=CALL_TIME, to=None, **arguments):
        """Calls the node at this address; with `to`, only if it is that node: after a disk loss, another node listens
        at the same address, and must not be taken for the former one.

        Returns:
            an awaitable of the result. The call is sent at once if a connection is open.
        """
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
        """A connection to the node `to`, or to any node at the address if `to` is None."""
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
        """The node id in the hello of the peer that is connected at this address, or None without a connection."""
        if address == self.address:
            return self.node_id
        link = self._links.get(address)
        connection = link.result if link is not None and link.called else None
        return connection.peer.node_id if getattr(connection, "connected", False) else None

    def forget_failure(self, address):
        """Clears the backoff of an address whose node is known to be up again; the next call dials it at once."""
        self._backoff_until.pop(address, None)

    async def _call_self(self, method, arguments):
        if method not in self.handlers:
            raise MethodNotFoundError(f"method {method} does not exist here")
        return await self.handlers[method](self.hello(), arguments_class(method)(**arguments))

    async def _dial_again(self, address, previous):
        """Replaces a connection that leads to another node than the wanted one, at most once per REDIAL_PAUSE: the
        connected node may have lost power, which goes unnoticed on a connection on which nothing is sent."""
        if self.reactor.seconds() < self._redialled_at.get(address, float("-inf")) + REDIAL_PAUSE:
            return previous
        self._redialled_at[address] = self.reactor.seconds()
        if self._is_current(address, previous):
            del self._links[address]
            self._retire(previous)
        return await self._link(address)

    def _is_current(self, address, connection):
        """Whether calls to this address go over this connection."""
        link = self._links.get(address)
        return link is not None and link.called and link.result is connection

    def _retire(self, connection):
        """Closes a replaced connection after CALL_TIME, so that calls in flight on it may still get a reply."""
        self.reactor.callLater(CALL_TIME, connection.transport.abortConnection)

    async def _link(self, address):
        link = self._links.get(address)
        if link is None or (link.called and not getattr(link.result, "connected", False)):
            if self.reactor.seconds() < self._backoff_until.get(address, 0.0):
                raise UnreachableError(f"{address} could not be reached a moment ago")
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
        """A new connection whose peer has sent its hello."""
        host, port = split_address(address)

        def begin_attempt(seconds):
            endpoint = TCP4ClientEndpoint(
                self.reactor, host, port, timeout=seconds, bindAddress=(split_address(self.address)[0], 0)
            )
            return endpoint.connect(_DiallingFactory(self))

        connection = await HedgedDial(self.reactor, begin_attempt, CONNECT_TIME).start()
        await connection.ready
        connection.on_silent = lambda: spawn(self._replace_silent(address, connection), self.log)
        return connection

    async def _replace_silent(self, address, silent):
        """Dials beside a connection that has fallen silent, until bytes arrive on it or a new one is established.

        After SILENT_CONNECTION_TIME seconds the silent one is closed, so that calls fail at once instead of at their
        deadlines.
        """
        ends_at, received = self.reactor.seconds() + SILENT_CONNECTION_TIME, silent.received
        while silent.connected and silent.received == received:
            if self.reactor.seconds() >= ends_at:
                silent.transport.abortConnection()
                return
            try:
                fresh = await self._connect(address)
            except Exception:  # the peer is still unreachable; calls to it fail by themselves
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
            self._backoff_until[address] = self.reactor.seconds() + RECONNECT_PAUSE
            if self._links.get(address) is link:
                del self._links[address]
            link.callback(UnreachableError(f"{address} cannot be reached: {error}"))
            return
        link.callback(connection)
