"""Placing a request at a replica and sending it, again only where that is allowed.

Invariants: a request that is not repeatable is sent again only after a promise that it did not run; an error says no
only if nothing of the request can have run or will run.
"""

import math
from hashlib import blake2b

from twisted.internet import defer

from oakramp.common.constants import (
    CALL_TIME,
    PATIENCE_SHARE,
    PLACEMENT_PATIENCE,
    REFUSAL_LIMIT,
    RETRY_AFTER_LEAST,
    STALLED_SHARE,
    STALLED_TIMES,
)
from oakramp.common.errors import (
    DeadlineExceededError,
    IncompleteResponseError,
    NotFoundError,
    OakrampError,
    OutcomeUnknownError,
    OverloadedError,
    PlanChangedError,
    UnreachableError,
    Verdict,
)
from oakramp.common.tasks import begin, spawn, within
from oakramp.gateway.balancer import PlacementRequest
from oakramp.gateway.proxied_request import (
    ClientDisconnectedError,
    check_caller,
    may_repeat,
    remaining,
    remaining_run,
    stops_with_caller,
    when_gone,
)
from oakramp.gateway.request_losses import PLACED
from oakramp.prefix_cache.counters import tenant_of


class ProxyForwarder:
    """Carries requests to replicas; `forward` is all that others need."""

    def __init__(self, gate, dialect, router, balancer, upstreams, programs, authenticator):
        self._gate, self._node, self._reactor, self._log = gate, gate.node, gate.node.reactor, gate.node.log
        self._dialect, self._router, self._balancer, self._upstreams = dialect, router, balancer, upstreams
        self._metrics, self._programs, self._authenticator = gate.metrics, programs, authenticator

    async def forward(self, proxied_request, receive):
        """Places and sends until `receive(proxied_request, answer, instance)` gives a result. Goes on to another
        replica after a promise, and after anything else only if the request may be repeated."""
        unsure = None
        while True:
            try:
                check_caller(proxied_request.exchange)
                instance, service = await self._place(proxied_request)
            except OakrampError as error:
                raise (unsure or error) from None
            try:
                result = await self._send(proxied_request, instance, service, receive)
                self._balancer.succeeded(instance)
                return result
            except PlanChangedError:
                continue
            except OakrampError as error:
                proxied_request.excluded.add(instance.row["id"])
                if not isinstance(error, ClientDisconnectedError):
                    self._judge(instance, error)
                if error.verdict is not Verdict.NO:
                    unsure = error
                    self._count_unanswered(proxied_request, error)
                if not self._may_go_on(proxied_request, error):
                    raise (unsure or error) from None
            finally:
                self._balancer.release(instance)

    def _judge(self, instance, error):
        self._metrics.count("relay_failed", code=error.code, verdict=error.verdict.value)
        if isinstance(error, UnreachableError):
            self._balancer.failed(instance, at_once=True)
            return
        if isinstance(error, OverloadedError):
            self._balancer.shed(instance)
            return
        if not isinstance(error, DeadlineExceededError):
            self._balancer.failed(instance)

    def _may_go_on(self, proxied_request, error):
        if (
            self._reactor.seconds() >= proxied_request.ends_at
            or proxied_request.tries >= proxied_request.route.max_attempts
        ):
            return False
        if proxied_request.exchange.begun and not (proxied_request.head_passed and proxied_request.is_numbered):
            return False  # of what has been passed on, nobody could tell where it goes on
        return error.verdict is Verdict.NO or proxied_request.may_repeat

    def check_may_begin(self, proxied_request):
        """Refuses a program at its first turn, before it has cost anything, if no replica has room for another one and
        waiting would not help."""
        if not proxied_request.begins_program or self._programs.reserve < 1.0:
            return
        service = self._service_of(proxied_request)
        self._balancer.check_may_begin(self._placement_request(proxied_request, service))

    def _placement_request(self, proxied_request, service):
        now = self._reactor.seconds()
        patience_s = (proxied_request.ends_at - now) * PATIENCE_SHARE
        slots = self._router.services[service].get("slots") or 1
        priority, begins = proxied_request.priority, proxied_request.begins_program
        if begins:
            patience_s = self._programs.patience(patience_s, proxied_request.route.target_s)
        return PlacementRequest(
            service,
            slots,
            # What has begun goes before what begins: a program that is refused in the middle has cost most of its runs.
            (begins, priority),
            min(now + patience_s, proxied_request.leave_by),
            proxied_request.affinity,
            frozenset(proxied_request.excluded),
            tenant_of(proxied_request.request.prefix),
            proxied_request.finish_at,
            self._programs.begin_share(priority) if begins else None,
            self._programs.home(proxied_request.request),
            now + patience_s * PLACEMENT_PATIENCE,
        )

    def _service_of(self, proxied_request):
        """By the route's weights; a program stays with one service as long as the weights stay."""
        if len(proxied_request.route.backends) == 1:
            return proxied_request.route.backends[0][0]
        if proxied_request.affinity:
            draw = int.from_bytes(blake2b(proxied_request.affinity.encode(), digest_size=4).digest(), "big") / 2**32
        else:
            draw = self._node.random.random()
        return proxied_request.route.pick_service(draw)

    async def _place(self, proxied_request):
        while True:
            remaining(self._reactor, proxied_request)
            route = self._route_now(proxied_request)
            service = self._service_of(proxied_request)
            instance = await self._acquire(proxied_request, service)
            if self._still_fits(proxied_request, route, instance):
                now = self._reactor.seconds()
                proxied_request.reached(PLACED, now)
                if proxied_request.route.kind == "stream":  # a program's other calls are no turns, and go elsewhere
                    self._programs.note(proxied_request.request, instance.row["id"])
                proxied_request.replica_id, proxied_request.replica_load = instance.row["id"], instance.load(now)
                return instance, service
            self._balancer.release(instance)

    def _still_fits(self, proxied_request, route, instance):
        """Whether the request, which waited for this replica by way of this route, may be sent to it. If it may not be
        sent anywhere any more, that is the error, and the replica is released."""
        try:
            self._check_fresh()
            return self._route_now(proxied_request) == route and self._balancer.is_ready(instance)
        except OakrampError:
            self._balancer.release(instance)
            raise

    async def _acquire(self, proxied_request, service):
        """A replica with one place taken on it, unless the caller goes away meanwhile."""
        acquiring = begin(self._balancer.acquire(self._placement_request(proxied_request, service)))
        try:
            with when_gone(proxied_request.exchange, acquiring.cancel):
                return await acquiring
        except defer.CancelledError:
            raise ClientDisconnectedError("the caller went away before there was room", Verdict.NO) from None

    def _route_now(self, proxied_request):
        """The route as it stands now; a request follows its changes, and its tenant's, until it has been sent."""
        route = self._router.find(proxied_request.exchange.host, proxied_request.exchange.path)
        if route is None:
            raise NotFoundError("the route was removed")
        if route != proxied_request.route:
            if route.kind != proxied_request.route.kind or route.retained != proxied_request.route.retained:
                raise OverloadedError("the route changed its kind", retry_after=RETRY_AFTER_LEAST)
            proxied_request.route, proxied_request.may_repeat = route, may_repeat(route)
        self._authenticator.renew(proxied_request, route)
        return route

    def _check_fresh(self):
        """Refuses what may not be sent as long as the routing or the list of replicas is too old."""
        why = self._router.staleness() or self._gate.replicas_staleness()
        if why is not None:
            raise OverloadedError(why, retry_after=RETRY_AFTER_LEAST)

    def _last_check(self, proxied_request, instance):
        """Runs in the turn of the reactor in which the first byte is written: the rules hold at that moment."""
        self._check_fresh()
        route = self._router.find(proxied_request.exchange.host, proxied_request.exchange.path)
        if route != proxied_request.route or not self._balancer.is_ready(instance):
            raise PlanChangedError("the route or its replica changed meanwhile")
        if not self._authenticator.is_current(proxied_request):
            raise PlanChangedError("the tenant or its keys changed meanwhile")
        remaining(self._reactor, proxied_request)
        if self._reactor.seconds() > proxied_request.leave_by:
            raise DeadlineExceededError("too late after its claim")
        proxied_request.left = True
        proxied_request.tries += 1
        proxied_request.sent_at = self._reactor.seconds()

    async def _send(self, proxied_request, instance, service, receive):
        exchange, row = proxied_request.exchange, instance.row
        time_left = remaining(self._reactor, proxied_request)

        def headers():
            return self._dialect.headers_to_replica(
                exchange.headers,
                row["id"],
                remaining_run(self._reactor, proxied_request),
                len(proxied_request.body),
                proxied_request.last_id,
                proxied_request.tenant.name if proxied_request.tenant is not None else None,
            )

        cap = self._router.services[service].get("max_connections") or 64
        most = max(2, math.ceil(cap / max(1, self._node.members.live_count("gate"))))
        sent = self._balancer.outliers.sent(instance)
        sending = begin(
            self._upstreams.send(
                row["address"],
                row["id"],
                exchange.method,
                exchange.target,
                headers,
                proxied_request.body,
                self._head_patience(proxied_request, service, time_left),
                last_check=lambda: self._last_check(proxied_request, instance),
                expect=(self._dialect.echo_header.decode(), proxied_request.request.try_id),
                max_connections=most,
            )
        )

        def stop_sending():
            if not proxied_request.left or stops_with_caller(proxied_request):
                sending.cancel()

        try:
            with when_gone(exchange, stop_sending):
                answer = await sending
            self._balancer.outliers.answered(sent)
        except defer.CancelledError:
            verdict = Verdict.MAYBE if proxied_request.left else Verdict.NO
            raise ClientDisconnectedError("the caller went away before its answer came", verdict) from None
        finally:
            self._balancer.outliers.ended(sent)
        said = self._dialect.answer_of(answer.status, answer.headers)
        if said.load is not None:
            self._balancer.told(instance, said.load)
        if said.not_run:
            proxied_request.left = False
            spawn(self._discard(answer), self._log)
            raise OverloadedError(
                f"the replica turned the request away with {answer.status}", retry_after=RETRY_AFTER_LEAST
            )
        if answer.status in self._dialect.promise_statuses:
            answer.abort()
            raise IncompleteResponseError(
                f"the replica answered {answer.status} without its word that it did not run", Verdict.MAYBE
            )
        if answer.status < 300 and not said.stamped:
            answer.abort()
            raise IncompleteResponseError("the replica's answer bears no stamp", Verdict.MAYBE)
        self._count_answered(proxied_request, answer)
        return await self._receive(proxied_request, answer, instance, receive)

    def _count_answered(self, proxied_request, answer):
        """Counts what runs, but for streams: they begin to run with their first event."""
        if proxied_request.route.kind != "stream" or answer.status >= 300:
            self._gate.usage.count(proxied_request, proxied_request.sent_at)

    def _count_unanswered(self, proxied_request, error):
        """Counts a call that was lost at its replica and probably ran.

        What was given up here need not have begun, nor a stream that gave no event."""
        is_given_up = isinstance(error, (ClientDisconnectedError, DeadlineExceededError))
        if proxied_request.left and proxied_request.route.kind != "stream" and not is_given_up:
            self._gate.usage.count(proxied_request, proxied_request.sent_at)

    async def _receive(self, proxied_request, answer, instance, receive):
        """What `receive` gives, which reads the answer to its end; if it doesn't, the replica is told so."""

        def stop_reading():
            if stops_with_caller(proxied_request):
                answer.abort()

        try:
            with when_gone(proxied_request.exchange, stop_reading):
                return await receive(proxied_request, answer, instance)
        except BaseException as error:
            answer.abort()
            if proxied_request.exchange.is_gone and isinstance(error, OakrampError):
                raise ClientDisconnectedError("the caller went away while its answer came", Verdict.MAYBE) from error
            raise

    def _head_patience(self, proxied_request, service, time_left):
        """How long to wait for the head of this replica's answer: all the time that is left, unless the request may go
        to another one, which then must have time enough."""
        if not proxied_request.may_repeat or proxied_request.tries + 1 >= proxied_request.route.max_attempts:
            return time_left
        return min(
            time_left, max(STALLED_TIMES * self._balancer.outliers.late_after(service), STALLED_SHARE * time_left)
        )

    async def _discard(self, answer):
        """Reads a refusal to its end, so that its connection may be kept."""
        try:
            await within(
                self._reactor, CALL_TIME, answer.read(REFUSAL_LIMIT), OutcomeUnknownError("the refusal did not end")
            )
        except OakrampError:
            answer.abort()
