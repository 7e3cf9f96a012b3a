"""Callers' side: whole requests read, answers written as they come.

twisted.web's HTTPChannel and Request parse cookies and forms, keep bodies in files, accept more than one reading of a
length, and cost a gate's slow core several times what the work needs. So this is a protocol of its own over the
strict grammar in framing.py. One request at a time is read from a connection; the next one waits in its buffer until
the answer is out.
"""

from twisted.internet import defer, protocol

from oakramp.common.constants import BODIES_LIMIT, CLIENTS_LIMIT, QUIET_TIME
from oakramp.common.settings import split_address
from oakramp.common.tasks import sleep
from oakramp.http_proxy.downstream import DownstreamConnection


class _ConnectionFactory(protocol.Factory):
    noisy = False

    def __init__(self, front):
        self._front = front

    def buildProtocol(self, _address):
        return DownstreamConnection(self._front)


class Listener:
    """The listening side of a gate. Invariants: `callers` holds every open connection, those idle longest before the
    others that are idle; `body_bytes` counts the bodies being read and those of requests under way.

    `handler(exchange)` is a coroutine function that answers; `limits()` gives header_bytes, body_bytes, header_s and
    idle_s as they are now; above `bound` requests at a time `refuse(exchange)` answers, and
    `on_crash(exchange, error)` where the handler failed before it began an answer."""

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
        bodies_limit=BODIES_LIMIT,
        callers_limit=CLIENTS_LIMIT,
    ):
        self.reactor, self.address, self.handler, self.limits, self.log = reactor, address, handler, limits, log
        self.bound, self.bodies_limit, self.callers_limit = bound, bodies_limit, callers_limit
        self._refuse = refuse or (lambda exchange: exchange.reply(503, [(b"Retry-After", b"1")], b""))
        self._on_crash = on_crash or (lambda exchange, error: exchange.reply(500, [], b""))
        self.callers = {}
        self.refused = {}
        self.running = 0
        self.body_bytes = 0
        self.stopping = False
        self._port = None

    def listen(self):
        host, port = split_address(self.address)
        self._port = self.reactor.listenTCP(port, _ConnectionFactory(self), backlog=1024, interface=host)

    def admit(self, caller):
        """Above the limit of connections the one that has been idle longest makes room, or the new one goes."""
        self.callers[caller] = None
        if len(self.callers) > self.callers_limit:
            self.log.info("connection_limit_reached", connections=len(self.callers))
            idlest = next(one for one in self.callers if one.is_idle)  # the new one is idle too
            if idlest is caller:
                caller.transport.abortConnection()
                return
            idlest.close_idle()

    def touch(self, caller):
        """Keeps callers in the order in which they became idle."""
        del self.callers[caller]
        self.callers[caller] = None

    def begin(self, exchange):
        if self.running >= self.bound:
            try:
                self._refuse(exchange)
            except Exception as error:
                self._crashed(exchange, error)
            return
        self.running += 1
        self.body_bytes += len(exchange.body)
        defer.ensureDeferred(self._run(exchange))

    async def _run(self, exchange):
        try:
            await self.handler(exchange)
            if not exchange.finished and not exchange.is_gone:
                raise RuntimeError("the handler gave no whole answer")
        except Exception as error:
            self._crashed(exchange, error)
        finally:
            self.running -= 1
            self.body_bytes -= len(exchange.body)

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
        """Returns once every request under way is answered or the grace is over. Whoever waits to be accepted is let
        in; a kept connection is closed once it has been quiet for a while."""
        self.stopping = True
        ends_at = self.reactor.seconds() + grace_s
        if self._port is not None:
            known = -1
            while known < len(self.callers):  # closing would reset those who wait to be accepted
                known = len(self.callers)
                self._port.doRead()
            await defer.maybeDeferred(self._port.stopListening)
            self._port = None
        quiet_since = self.reactor.seconds()
        while (self.callers or self.running) and self.reactor.seconds() < ends_at:
            if self.reactor.seconds() - quiet_since >= QUIET_TIME:
                for caller in [caller for caller in self.callers if caller.is_idle]:
                    caller.close_idle()
            await sleep(self.reactor, QUIET_TIME / 10)
        for caller in list(self.callers):
            caller.transport.abortConnection()
