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
from oakramp.prefix_cache.counters import tenant_of


class ProxyForwarder:
    """Carries requests to replicas; `carry` is all that others need."""

    def __init__(self, gate, dialect, router, balancer, upstreams):
        self._gate, self._node, self._reactor, self._log = gate, gate.node, gate.node.reactor, gate.node.log
        self._dialect, self._router, self._balancer, self._upstreams = dialect, router, balancer, upstreams
        self._metrics = gate.metrics

    async def carry(self, passage, receive):
        """Places and sends until `receive(passage, answer, instance)` gives a result. Goes on to another replica after
        a promise, and after anything else only if the request may be repeated."""
        unsure = None
        while True:
            try:
                check_caller(passage.exchange)
                instance, service = await self._place(passage)
            except OakrampError as error:
                raise (unsure or error) from None
            try:
                result = await self._send(passage, instance, service, receive)
                self._balancer.succeeded(instance)
                return result
            except PlanChangedError:
                continue
            except OakrampError as error:
                passage.excluded.add(instance.row["id"])
                if not isinstance(error, ClientDisconnectedError):
                    self._judge(instance, error)
                if error.verdict is not Verdict.NO:
                    unsure = error
                if not self._may_go_on(passage, error):
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

    def _may_go_on(self, passage, error):
        if self._reactor.seconds() >= passage.ends_at or passage.tries >= passage.route.max_attempts:
            return False
        if passage.exchange.begun and not (passage.head_passed and passage.is_numbered):
            return False  # of what has been passed on, nobody could tell where it goes on
        return error.verdict is Verdict.NO or passage.may_repeat

    def _wish(self, passage, service):
        now = self._reactor.seconds()
        patience = now + (passage.ends_at - now) * PATIENCE_SHARE
        slots = self._router.services[service].get("slots") or 1
        # What has begun goes before what begins: a program that is refused in the middle has cost most of its runs.
        is_first = passage.request.program is not None and passage.request.previous_turn is None
        return PlacementRequest(
            service,
            slots,
            2 * passage.route.priority + is_first,
            min(patience, passage.leave_by),
            passage.affinity,
            frozenset(passage.excluded),
            tenant_of(passage.request.prefix),
            now + (patience - now) * PLACEMENT_PATIENCE,
        )

    def _service_of(self, passage):
        """By the route's weights; a program stays with one service as long as the weights stay."""
        if len(passage.route.backends) == 1:
            return passage.route.backends[0][0]
        if passage.affinity:
            draw = int.from_bytes(blake2b(passage.affinity.encode(), digest_size=4).digest(), "big") / 2**32
        else:
            draw = self._node.random.random()
        return passage.route.pick_service(draw)

    async def _place(self, passage):
        while True:
            remaining(self._reactor, passage)
            route = self._route_now(passage)
            service = self._service_of(passage)
            instance = await self._acquire(passage, service)
            if (
                self._router.staleness() is None
                and self._route_now(passage) == route
                and self._balancer.is_ready(instance)
            ):
                return instance, service
            self._balancer.release(instance)

    async def _acquire(self, passage, service):
        """A replica with one place taken on it, unless the caller goes away meanwhile."""
        acquiring = begin(self._balancer.acquire(self._wish(passage, service)))
        try:
            with when_gone(passage.exchange, acquiring.cancel):
                return await acquiring
        except defer.CancelledError:
            raise ClientDisconnectedError("the caller went away before there was room", Verdict.NO) from None

    def _route_now(self, passage):
        """The route as it stands now; a request follows its changes until it has been sent."""
        route = self._router.find(passage.exchange.host, passage.exchange.path)
        if route is None:
            raise NotFoundError("the route was removed")
        if route != passage.route:
            if route.kind != passage.route.kind or route.retained != passage.route.retained:
                raise OverloadedError("the route changed its kind", retry_after=RETRY_AFTER_LEAST)
            passage.route, passage.may_repeat = route, may_repeat(route)
        return route

    def _last_check(self, passage, instance):
        """Runs in the turn of the reactor in which the first byte is written: the rules hold at that moment."""
        why = self._router.staleness() or self._gate.replicas_staleness()
        if why is not None:
            raise OverloadedError(why, retry_after=RETRY_AFTER_LEAST)
        route = self._router.find(passage.exchange.host, passage.exchange.path)
        if route != passage.route or not self._balancer.is_ready(instance):
            raise PlanChangedError("the route or its replica changed meanwhile")
        remaining(self._reactor, passage)
        if self._reactor.seconds() > passage.leave_by:
            raise DeadlineExceededError("too late after its claim")
        passage.left = True
        passage.tries += 1

    async def _send(self, passage, instance, service, receive):
        exchange, row = passage.exchange, instance.row
        time_left = remaining(self._reactor, passage)

        def headers():
            return self._dialect.headers_to_replica(
                exchange.headers, row["id"], remaining_run(self._reactor, passage), len(passage.body), passage.last_id
            )

        cap = self._router.services[service].get("max_connections") or 64
        most = max(2, math.ceil(cap / max(1, len(self._node.members.live("gate")))))
        sent = self._balancer.outliers.sent(instance)
        sending = begin(
            self._upstreams.send(
                row["address"],
                row["id"],
                exchange.method,
                exchange.target,
                headers,
                passage.body,
                self._head_patience(passage, service, time_left),
                last_check=lambda: self._last_check(passage, instance),
                expect=(self._dialect.echo_header.decode(), passage.request.try_id),
                max_connections=most,
            )
        )

        def stop_sending():
            if not passage.left or stops_with_caller(passage):
                sending.cancel()

        try:
            with when_gone(exchange, stop_sending):
                answer = await sending
            self._balancer.outliers.answered(sent)
        except defer.CancelledError:
            verdict = Verdict.MAYBE if passage.left else Verdict.NO
            raise ClientDisconnectedError("the caller went away before its answer came", verdict) from None
        finally:
            self._balancer.outliers.ended(sent)
        said = self._dialect.answer_of(answer.status, answer.headers)
        if said.load is not None:
            self._balancer.told(instance, said.load)
        if said.not_run:
            passage.left = False
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
        return await self._receive(passage, answer, instance, receive)

    async def _receive(self, passage, answer, instance, receive):
        """What `receive` gives, which reads the answer to its end; if it doesn't, the replica is told so."""

        def stop_reading():
            if stops_with_caller(passage):
                answer.abort()

        try:
            with when_gone(passage.exchange, stop_reading):
                return await receive(passage, answer, instance)
        except BaseException as error:
            answer.abort()
            if passage.exchange.is_gone and isinstance(error, OakrampError):
                raise ClientDisconnectedError("the caller went away while its answer came", Verdict.MAYBE) from error
            raise

    def _head_patience(self, passage, service, time_left):
        """How long to wait for the head of this replica's answer: all the time that is left, unless the request may go to
        another one, which then must have time enough."""
        if not passage.may_repeat or passage.tries + 1 >= passage.route.max_attempts:
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
