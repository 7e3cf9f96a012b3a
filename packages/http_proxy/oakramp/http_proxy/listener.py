"""Connections from clients: complete requests are read, responses written as they arrive.

twisted.web's HTTPChannel and Request parse cookies and forms, keep bodies in files, accept ambiguous lengths, and cost
a gateway's slow core several times what the work needs. So this is a protocol of its own over the strict grammar in
framing.py. One request at a time is read from a connection; the next one waits in its buffer until the response is
sent.
"""

from twisted.internet import defer, protocol

from oakramp.common.constants import CLIENTS_LIMIT, LOG_PAUSE, QUIET_TIME
from oakramp.common.fair_turns import FairTurns
from oakramp.common.log_rate_limit import LogRateLimit
from oakramp.common.memory_account import MemoryAccount
from oakramp.common.process_limits import limits_of
from oakramp.common.settings import split_address
from oakramp.common.tasks import sleep
from oakramp.http_proxy.downstream import DownstreamConnection


class _ConnectionFactory(protocol.Factory):
    noisy = False

    def __init__(self, front):
        self._front = front

    def buildProtocol(self, address):
        return DownstreamConnection(self._front, getattr(address, "host", ""))


class Listener:
    """The listening side of a gateway. Invariants: `clients` holds every open connection, of the idle ones those that
    have been idle longest first; what they keep of their clients' bytes is in `memory_account`.

    `handler(exchange)` is a coroutine function that responds; `limits()` returns the current header_bytes, body_bytes,
    header_s and idle_s; above `bound` requests at a time `refuse(exchange)` responds instead, and
    `on_crash(exchange, error)` if the handler failed before it started a response. Without a `memory_account` it has
    one of its own, of the default size."""

    def __init__(
        self,
        reactor,
        address,
        handler,
        limits,
        log,
        bound,
        refuse=None,
        on_crash=None,
        memory_account=None,
        clients_limit=CLIENTS_LIMIT,
        fair_turns=None,
    ):
        self.reactor, self.address, self.handler, self.limits, self.log = reactor, address, handler, limits, log
        self.bound, self.clients_limit = bound, clients_limit
        self.memory_account = memory_account or MemoryAccount(reactor, limits_of("gate", {}).account_bytes, log)
        self.fair_turns = fair_turns or FairTurns(reactor)
        self._refuse = refuse or (lambda exchange: exchange.reply(503, [(b"Retry-After", b"1")], b""))
        self._on_crash = on_crash or (lambda exchange, error: exchange.reply(500, [], b""))
        self.clients = {}
        self.refused = {}
        self.running = 0
        self.stopping = False
        self._port = None
        self._malformed_log, self._connections_log = LogRateLimit(reactor, LOG_PAUSE), LogRateLimit(reactor, LOG_PAUSE)

    def listen(self):
        host, port = split_address(self.address)
        self._port = self.reactor.listenTCP(port, _ConnectionFactory(self), backlog=1024, interface=host)

    def admit(self, client):
        """Adds a connection. Above the limit the one that has been idle longest is closed, or else the one that has
        been without a whole request longest, or else the new one."""
        self.clients[client] = None
        if len(self.clients) <= self.clients_limit:
            return
        left_out = self._connections_log.take()
        if left_out is not None:
            self.log.info("connection_limit_reached", connections=len(self.clients), left_out=left_out)
        if any(one.close_idle() for one in list(self.clients) if one.is_idle and one is not client):
            return
        unanswered = next((one for one in self.clients if one.exchange is None and one is not client), client)
        del self.clients[unanswered]
        unanswered.cut()

    def note_malformed(self, reason):
        """Logs that a client sent what is no request."""
        left_out = self._malformed_log.take()
        if left_out is not None:
            self.log.info("request_malformed", reason=reason, left_out=left_out)

    def touch(self, client):
        """Keeps connections in the order in which they became idle."""
        if client in self.clients:
            del self.clients[client]
            self.clients[client] = None

    def begin(self, exchange):
        if self.running >= self.bound:
            try:
                self._refuse(exchange)
            except Exception as error:
                self._crashed(exchange, error)
            exchange.holding.release()
            return
        self.running += 1
        defer.ensureDeferred(self._run(exchange))

    async def _run(self, exchange):
        try:
            await self.handler(exchange)
            if not exchange.finished and not exchange.is_gone:
                raise RuntimeError("the handler sent no complete response")
        except Exception as error:
            self._crashed(exchange, error)
        finally:
            self.running -= 1
            exchange.holding.release()

    def _crashed(self, exchange, error):
        self.log.error("exchange_crashed", path=exchange.path, error=repr(error))
        if exchange.finished or exchange.is_gone:
            return
        if exchange.begun:
            exchange.abort()
            return
        try:
            self._on_crash(exchange, error)
        except Exception as second:
            self.log.error("exchange_crashed", path=exchange.path, error=repr(second))
            exchange.abort()

    async def stop(self, grace_s):
        """Stops accepting connections. Returns once every request in progress is answered or `grace_s` is over. Pending
        connections are accepted first; a kept connection is closed once it has been quiet for QUIET_TIME."""
        self.stopping = True
        ends_at = self.reactor.seconds() + grace_s
        if self._port is not None:
            known = -1
            while known < len(self.clients):  # closing the port would reset pending connections
                known = len(self.clients)
                self._port.doRead()
            await defer.maybeDeferred(self._port.stopListening)
            self._port = None
        quiet_since = self.reactor.seconds()
        while (self.clients or self.running) and self.reactor.seconds() < ends_at:
            if self.reactor.seconds() - quiet_since >= QUIET_TIME:
                for client in [client for client in self.clients if client.is_idle]:
                    client.close_idle()
            await sleep(self.reactor, QUIET_TIME / 10)
        for client in list(self.clients):
            client.transport.abortConnection()
