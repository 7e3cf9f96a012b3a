"""Connections to replicas: kept alive, one request at a time on each, with an exact verdict on failures.

twisted.web's HTTP11ClientProtocol cannot tell whether a byte was sent, writes the request some reactor turns after the
connection is established, treats bytes on an idle connection as a fault of the next request and copies every header
into objects. The proxy needs the former guarantees and cannot afford the latter cost, so it has a protocol of its own
over the grammar in framing.py.
"""

import math
import re

from twisted.internet import defer

from oakramp.common.backend_room import BackendRoom
from oakramp.common.constants import BACKEND_READ_SIZE, CONNECT_TIME
from oakramp.common.errors import BadRequestError, DeadlineExceededError, OverloadedError, UnreachableError
from oakramp.common.fair_turns import FairTurns
from oakramp.common.settings import split_address
from oakramp.http_proxy.connection import Dial, ReplicaConnection
from oakramp.http_proxy.framing import HOP_BY_HOP, TOKEN, MalformedMessageError, join_head
from oakramp.http_proxy.response_end import Excess, ResponseEnds
from oakramp.http_proxy.sockets import is_quiet, pending_bytes

_METHOD = re.compile(TOKEN)
_TARGET = re.compile(rb"/[\x21-\x7e]*")


class Upstreams:
    """All connections to replicas. Invariants: `_open` holds every connection that is established or being made,
    by address; `_idle` those of them that may be used again, the most recently used last."""

    def __init__(self, reactor, bind_host, log, backend_room=None, fair_turns=None):
        self.backend_room, self.fair_turns = backend_room or BackendRoom(), fair_turns or FairTurns(reactor)
        self.reactor, self._bind_host, self._log = reactor, bind_host, log
        self._open, self._idle = {}, {}
        self.opened = self.reused = 0
        self.ends = ResponseEnds(reactor, log)

    async def send(
        self,
        address,
        instance_id,
        method,
        target,
        headers,
        body,
        time_left,
        before_send=None,
        last_check=None,
        expect=None,
        max_connections=None,
        works_until=math.inf,
    ):
        """Returns the head of the response. `headers()` returns the fields as of the time when the first byte is sent;
        `before_send()` is awaited once a connection is established, and may raise; `last_check` runs in the same
        reactor turn as the sending and may raise; `expect` is a (name, value) header that the response must have;
        `works_until` (monotonic seconds) is when the time that the replica is handed is over."""
        ends_at = self.reactor.seconds() + time_left
        if before_send is not None:
            await self._prepare(address, instance_id, ends_at, max_connections, before_send)
        head = _request_head(address, method, target, headers(), len(body))
        while True:
            connection, is_reused = await self._take_or_connect(address, instance_id, ends_at, max_connections)
            try:
                if ends_at <= self.reactor.seconds():
                    raise DeadlineExceededError("no time left for the request")
                if not is_reused:
                    head = _request_head(address, method, target, headers(), len(body))  # connecting has taken time
                if last_check is not None:
                    last_check()
            except Exception:
                self.keep(connection)
                raise
            try:
                waiting = connection.ask(method, head, body, expect, works_until)
            except UnreachableError:
                if is_reused:
                    continue
                raise
            break
        self.reused += is_reused
        timer = self.reactor.callLater(ends_at - self.reactor.seconds(), connection.drop, "no response in time")
        try:
            return await waiting
        finally:
            if timer.active():
                timer.cancel()

    def _check_quiet(self, connection):
        """Raises UnreachableError if a new connection has bytes already, or has ended: nothing was sent on it."""
        if not is_quiet(connection.transport):
            received = pending_bytes(connection.transport, BACKEND_READ_SIZE)
            if received:
                self.ends.report_excess(Excess.BEFORE_REQUEST, connection.address, len(received))
            connection.drop()
            raise UnreachableError(f"{connection.address} sent something, or closed, before it got a request")

    def open_count(self, address):
        return len(self._open.get(address, ()))

    def close_instance(self, instance_id):
        """Closes the idle connections of a replica that has left, and the others once their response has ended."""
        for connection in [
            connection for ones in self._open.values() for connection in ones if connection.instance_id == instance_id
        ]:
            connection.is_retired = True
            if connection.is_idle:
                connection.close()

    def stop(self):
        for connection in [connection for ones in self._open.values() for connection in ones]:
            if connection.ready is not None:
                connection.connector.disconnect()
            else:
                connection.drop("this process is stopping")

    # --- connections ---

    async def _take_or_connect(self, address, instance_id, ends_at, max_connections):
        """Returns (an established connection, whether it was idle before)."""
        idle = self._take(address, instance_id)
        if idle is not None:
            return idle, True
        connection = await self._connect(address, instance_id, ends_at, max_connections)
        self._check_quiet(connection)
        return connection, False

    def _take(self, address, instance_id):
        idle, now = self._idle.get((address, instance_id)), self.reactor.seconds()
        while idle:
            connection = idle[-1]
            if now < connection.usable_until and is_quiet(connection.transport):
                idle.pop()
                return connection
            connection.close()
        return None

    async def _prepare(self, address, instance_id, ends_at, max_connections, before_send):
        """Awaits `before_send` with an established connection in hand, which the request is then sent on, unless the
        connection has become unusable meanwhile."""
        connection, _ = await self._take_or_connect(address, instance_id, ends_at, max_connections)
        try:
            await before_send()
        finally:
            self.keep(connection)

    async def _connect(self, address, instance_id, ends_at, max_connections):
        time_left = ends_at - self.reactor.seconds()
        if time_left <= 0:
            raise DeadlineExceededError("no time left to connect")
        if (
            max_connections is not None
            and self.open_count(address) >= max_connections
            and not self._close_other(address)
        ):
            raise OverloadedError(f"{address} has as many connections from this gateway as allowed")
        host, port = split_address(address)
        connection = ReplicaConnection(self, address, instance_id)

        connection.ready = ready = defer.Deferred(connection.give_up_dialling)
        self._open.setdefault(address, set()).add(connection)
        self.opened += 1
        try:
            connection.connector = self.reactor.connectTCP(
                host,
                port,
                Dial(connection),
                timeout=min(time_left, CONNECT_TIME),
                bindAddress=(self._bind_host, 0) if self._bind_host else None,
            )
            return await ready
        except defer.CancelledError:
            self.forget(connection)
            raise
        except Exception as fault:
            self.forget(connection)
            raise UnreachableError(f"{address} cannot be reached: {fault!r}") from fault

    def _close_other(self, address):
        """Makes room by closing an idle connection to the same address."""
        for connection in self._open[address]:
            if connection.is_idle:
                connection.close()
                return True
        return False

    def keep(self, connection):
        if not connection.is_open:
            return
        if connection.is_retired:
            connection.close()
            return
        idle = self._idle.setdefault((connection.address, connection.instance_id), [])
        while idle and idle[0].usable_until <= self.reactor.seconds():
            idle[0].close()
        self._idle.setdefault((connection.address, connection.instance_id), idle).append(connection)

    def forget(self, connection):
        for table, key in (
            (self._open, connection.address),
            (self._idle, (connection.address, connection.instance_id)),
        ):
            held = table.get(key)
            if held is None or connection not in held:
                continue
            held.remove(connection)
            if not held:
                del table[key]


def _request_head(address, method, target, headers, body_length):
    fields = [field for field in headers if field[0].lower() not in HOP_BY_HOP]
    if not any(field[0].lower() == b"host" for field in fields):
        fields.append((b"Host", address.encode("ascii")))
    verb = method.encode("latin-1", "replace")
    if not _METHOD.fullmatch(verb) or not _TARGET.fullmatch(target):
        raise BadRequestError("the method or target cannot be sent")
    length = b"Content-Length: %d\r\n" % body_length if body_length or method in ("POST", "PUT", "PATCH") else b""
    try:
        return join_head(b"%b %b HTTP/1.1\r\n" % (verb, target), fields, length)
    except MalformedMessageError as fault:
        raise BadRequestError(str(fault)) from fault
