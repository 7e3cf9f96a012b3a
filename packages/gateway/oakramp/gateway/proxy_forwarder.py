"""Places a request on a replica and sends it, with retries only where they are safe.

Invariants: a request that is not repeatable is retried only after a guarantee that it did not run; an error has verdict
no only if no part of the request can have run or will run.
"""

import math
from hashlib import blake2b

from twisted.internet import defer

from oakramp.common.constants import (
    CALL_TIME,
    PLACEMENT_WAIT_SHARE,
    QUEUE_WAIT_SHARE,
    REFUSAL_LIMIT,
    RETRY_AFTER_MIN,
    STALLED_FACTOR,
    STALLED_SHARE,
)
from oakramp.common.errors import (
    DeadlineExceededError,
    IncompleteResponseError,
    NotFoundError,
    OakrampError,
    OutcomeUnknownError,
    OverloadedError,
    PlanChangedError,
    ResponseLimitError,
    UnreachableError,
    Verdict,
)
from oakramp.common.tasks import begin, spawn, within
from oakramp.gateway.balancer import PlacementRequest
from oakramp.gateway.idempotency_claim import ClaimRefusedError
from oakramp.gateway.outliers import RequestObservation
from oakramp.gateway.proxied_request import (
    ClientDisconnectedError,
    check_client_connected,
    is_cancelled_on_disconnect,
    may_repeat,
    on_client_disconnect,
    remaining_run_time,
    remaining_time,
)
from oakramp.gateway.request_losses import PLACED
from oakramp.prefix_cache.counters import tenant_of


class ProxyForwarder:
    """Forwards requests to replicas; the entry point is `forward`."""

    def __init__(self, gate, dialect, router, balancer, upstreams, programs, authenticator):
        self._gate, self._node, self._reactor, self._log = gate, gate.node, gate.node.reactor, gate.node.log
        self._dialect, self._router, self._balancer, self._upstreams = dialect, router, balancer, upstreams
        self._metrics, self._programs, self._authenticator = gate.metrics, programs, authenticator

    async def forward(self, proxied_request, receive):
        """Places and sends the request until `receive(proxied_request, response, instance)` returns a result.

        Retries on another replica after a guarantee that the request did not run, and after any other failure only if
        the request is repeatable."""
        ambiguous_error = None
        while True:
            try:
                check_client_connected(proxied_request.exchange)
                instance, service = await self._place(proxied_request)
            except OakrampError as error:
                raise (ambiguous_error or error) from None
            try:
                result = await self._send(proxied_request, instance, service, receive)
                self._balancer.succeeded(instance)
                return result
            except PlanChangedError:
                continue
            except ClaimRefusedError:
                raise  # not the replica's fault
            except OakrampError as error:
                proxied_request.excluded.add(instance.row["id"])
                if not isinstance(error, ClientDisconnectedError):
                    self._record_failure(instance, error)
                if error.verdict is not Verdict.NO:
                    ambiguous_error = error
                    self._count_unanswered(proxied_request, error)
                if not self._may_retry(proxied_request, error):
                    raise (ambiguous_error or error) from None
            finally:
                self._balancer.release(instance)

    def _record_failure(self, instance, error):
        self._metrics.count("relay_failed", code=error.code, verdict=error.verdict.value)
        if isinstance(error, ResponseLimitError):
            self._node.backend_room.report(error, instance.row["id"])
        if isinstance(error, UnreachableError):
            self._balancer.failed(instance, at_once=True)
            return
        if isinstance(error, OverloadedError):
            self._balancer.shed(instance)
            return
        if not isinstance(error, DeadlineExceededError):
            self._balancer.failed(instance)

    def _may_retry(self, proxied_request, error):
        if (
            self._reactor.seconds() >= proxied_request.ends_at
            or proxied_request.attempts >= proxied_request.route.max_attempts
        ):
            return False
        if proxied_request.exchange.begun and not (proxied_request.head_sent and proxied_request.has_event_ids):
            return False  # the relayed part of the response has no known point to resume from
        return error.verdict is Verdict.NO or proxied_request.may_repeat

    def check_program_admission(self, proxied_request):
        """Rejects a program at its first turn, before it has used any resources, if no replica has capacity for another
        program and waiting would not help."""
        if not proxied_request.begins_program or self._programs.reserved_share < 1.0:
            return
        service = self._choose_service(proxied_request)
        self._balancer.check_program_admission(self._placement_request(proxied_request, service))

    def _placement_request(self, proxied_request, service):
        now = self._reactor.seconds()
        patience_s = (proxied_request.ends_at - now) * QUEUE_WAIT_SHARE
        slots = self._router.services[service].get("slots") or 1
        priority, begins_program = proxied_request.priority, proxied_request.begins_program
        if begins_program:
            patience_s = self._programs.max_wait_s(patience_s, proxied_request.route.target_s)
        return PlacementRequest(
            service,
            slots,
            # Running programs take precedence over new ones: by the time a program is rejected midway, most of its runs
            # have been paid for.
            (begins_program, priority),
            now + patience_s,
            proxied_request.affinity,
            frozenset(proxied_request.excluded),
            tenant_of(proxied_request.request.prefix),
            proxied_request.finish_at,
            self._programs.admission_threshold(priority) if begins_program else None,
            self._programs.last_replica_id(proxied_request.request),
            now + patience_s * PLACEMENT_WAIT_SHARE,
        )

    def _choose_service(self, proxied_request):
        """Chooses a service by the route's weights; a program keeps its service while the weights are unchanged."""
        if len(proxied_request.route.backends) == 1:
            return proxied_request.route.backends[0][0]
        if proxied_request.affinity:
            fraction = int.from_bytes(blake2b(proxied_request.affinity.encode(), digest_size=4).digest(), "big") / 2**32
        else:
            fraction = self._node.random.random()
        return proxied_request.route.pick_service(fraction)

    async def _place(self, proxied_request):
        while True:
            remaining_time(self._reactor, proxied_request)
            route = self._current_route(proxied_request)
            service = self._choose_service(proxied_request)
            instance = await self._acquire(proxied_request, service)
            if self._may_send_to(proxied_request, route, instance):
                now = self._reactor.seconds()
                proxied_request.record_stage(PLACED, now)
                if proxied_request.route.kind == "stream":  # other calls of a program use other replicas
                    self._programs.record_turn(proxied_request.request, instance.row["id"])
                proxied_request.replica_id, proxied_request.replica_load = instance.row["id"], instance.load(now)
                return instance, service
            self._balancer.release(instance)

    def _may_send_to(self, proxied_request, route, instance):
        """Whether the request may be sent to this replica, which it waited for under this route.

        If it may not be sent to any replica any more, releases the replica and raises the error."""
        try:
            self._check_fresh()
            return self._current_route(proxied_request) == route and self._balancer.is_ready(instance)
        except OakrampError:
            self._balancer.release(instance)
            raise

    async def _acquire(self, proxied_request, service):
        """Acquires a slot on a replica; cancelled if the client disconnects meanwhile, or if the request turns out to
        be a repeat of one that was sent."""
        acquiring = begin(self._balancer.acquire(self._placement_request(proxied_request, service)))
        refusals = []

        def refuse(failure):
            refusals.append(failure.value)
            acquiring.cancel()

        if proxied_request.claim is not None and not acquiring.called:
            proxied_request.claim.request_waits().addErrback(refuse)
        try:
            with on_client_disconnect(proxied_request.exchange, acquiring.cancel):
                return await acquiring
        except defer.CancelledError:
            if refusals:
                raise refusals[0] from None
            raise ClientDisconnectedError(
                "the client disconnected while waiting for a replica with capacity", Verdict.NO
            ) from None

    def _current_route(self, proxied_request):
        """The route in the current table; until it is sent, a request follows changes to its route and its tenant."""
        route = self._router.find(proxied_request.exchange.host, proxied_request.exchange.path)
        if route is None:
            raise NotFoundError("the route was removed")
        if route != proxied_request.route:
            if route.kind != proxied_request.route.kind or route.retained != proxied_request.route.retained:
                raise OverloadedError(
                    "the kind or the retention of the route changed while the request was waiting",
                    retry_after=RETRY_AFTER_MIN,
                )
            proxied_request.route, proxied_request.may_repeat = route, may_repeat(route)
        self._authenticator.refresh_tenant(proxied_request, route)
        return route

    def _check_fresh(self):
        """Raises OverloadedError while the routing table or the replica list is too old for requests to be sent."""
        reason = self._router.staleness() or self._gate.replicas_staleness()
        if reason is not None:
            raise OverloadedError(reason, retry_after=RETRY_AFTER_MIN)

    def _check_before_send(self, proxied_request, instance):
        """Runs in the same reactor iteration that writes the first byte, so that the checks hold at that moment."""
        self._check_fresh()
        route = self._router.find(proxied_request.exchange.host, proxied_request.exchange.path)
        if route != proxied_request.route or not self._balancer.is_ready(instance):
            raise PlanChangedError("the route or the state of the replica changed before the request was sent")
        if not self._authenticator.is_current(proxied_request):
            raise PlanChangedError("the tenant or its keys changed before the request was sent")
        remaining_time(self._reactor, proxied_request)
        if self._reactor.seconds() > proxied_request.send_by:
            raise DeadlineExceededError("the time to send the request after its claim has passed")
        proxied_request.may_have_run = True
        proxied_request.attempts += 1
        proxied_request.sent_at = self._reactor.seconds()

    async def _send(self, proxied_request, instance, service, receive):
        observation = RequestObservation(self._balancer.outliers, instance)
        if proxied_request.claim is None:
            observation.start()  # the time that a claim takes is not the replica's
        try:
            response = await self._response_head(proxied_request, instance, service, observation)
        finally:
            observation.end()
        self._check_response(proxied_request, instance, response)
        self._count_responded(proxied_request, response)
        return await self._receive(proxied_request, response, instance, receive)

    async def _response_head(self, proxied_request, instance, service, observation):
        sending = begin(self._begin_sending(proxied_request, instance, service, observation))

        def cancel_sending():
            if not proxied_request.may_have_run or is_cancelled_on_disconnect(proxied_request):
                sending.cancel()

        try:
            with on_client_disconnect(proxied_request.exchange, cancel_sending):
                response = await sending
        except defer.CancelledError:
            verdict = Verdict.MAYBE if proxied_request.may_have_run else Verdict.NO
            raise ClientDisconnectedError("the client disconnected before the response arrived", verdict) from None
        observation.response_started()
        proxied_request.response, proxied_request.repeated_size = response, 0
        return response

    def _begin_sending(self, proxied_request, instance, service, observation):
        """The coroutine that connects to the replica, claims the request's key if it has one, and sends the request."""
        exchange, row = proxied_request.exchange, instance.row
        time_left = remaining_time(self._reactor, proxied_request)

        def headers():
            return self._dialect.headers_to_replica(
                exchange.headers,
                row["id"],
                remaining_run_time(self._reactor, proxied_request),
                len(proxied_request.body),
                proxied_request.last_event_id,
                proxied_request.tenant.name if proxied_request.tenant is not None else None,
            )

        def check_before_send():
            self._check_before_send(proxied_request, instance)
            observation.start()

        return self._upstreams.send(
            row["address"],
            row["id"],
            exchange.method,
            exchange.target,
            headers,
            proxied_request.body,
            self._response_head_timeout(proxied_request, service, time_left),
            before_send=proxied_request.claim.acquire if proxied_request.claim is not None else None,
            last_check=check_before_send,
            expect=(self._dialect.echo_header.decode(), proxied_request.request.try_id),
            max_connections=self._max_connections(service),
            works_until=proxied_request.ends_at,
        )

    def _max_connections(self, service):
        """This gateway's share of the connections that a replica of the service accepts."""
        service_max_connections = self._router.services[service].get("max_connections") or 64
        return max(2, math.ceil(service_max_connections / max(1, self._node.members.live_count("gate"))))

    def _check_response(self, proxied_request, instance, response):
        """Raises an error unless the response may be relayed."""
        metadata = self._dialect.response_metadata(response.status, response.headers)
        if metadata.load is not None:
            self._balancer.record_load(instance, metadata.load)
        if metadata.not_run:
            proxied_request.may_have_run = False
            spawn(self._drain(response, instance), self._log)
            raise OverloadedError(
                f"the replica rejected the request with status {response.status}", retry_after=RETRY_AFTER_MIN
            )
        if response.status in self._dialect.not_run_statuses:
            response.abort()
            raise IncompleteResponseError(
                f"the replica responded {response.status} without a guarantee that the request did not run",
                Verdict.MAYBE,
            )
        if response.status < 300 and not metadata.stamped:
            response.abort()
            raise IncompleteResponseError("the replica's response has no stamp header", Verdict.MAYBE)

    def _count_responded(self, proxied_request, response):
        """Counts a request that runs, except for streams, which count as running from their first event."""
        if proxied_request.route.kind != "stream" or response.status >= 300:
            self._gate.usage.count(proxied_request, proxied_request.sent_at)

    def _count_unanswered(self, proxied_request, error):
        """Counts a call that probably ran, although its replica failed to respond.

        Requests that were cancelled or timed out here are not counted, since they need not have started; neither are
        streams without an event."""
        is_given_up = isinstance(error, (ClientDisconnectedError, DeadlineExceededError))
        if proxied_request.may_have_run and proxied_request.route.kind != "stream" and not is_given_up:
            self._gate.usage.count(proxied_request, proxied_request.sent_at)

    async def _receive(self, proxied_request, response, instance, receive):
        """Returns the result of `receive`, which reads the response to its end; aborts the response if it fails."""

        def abort_response():
            if is_cancelled_on_disconnect(proxied_request):
                response.abort()

        try:
            with on_client_disconnect(proxied_request.exchange, abort_response):
                return await receive(proxied_request, response, instance)
        except BaseException as error:
            response.abort()
            if proxied_request.exchange.is_gone and isinstance(error, OakrampError):
                raise ClientDisconnectedError(
                    "the client disconnected while the response was being relayed", Verdict.MAYBE
                ) from error
            raise
        finally:
            response.holding.release()

    def _response_head_timeout(self, proxied_request, service, time_left):
        """Seconds to wait for the head of this replica's response: all the remaining time, unless the request may be
        retried on another replica, which must then have enough time left."""
        if not proxied_request.may_repeat or proxied_request.attempts + 1 >= proxied_request.route.max_attempts:
            return time_left
        return min(
            time_left, max(STALLED_FACTOR * self._balancer.outliers.late_threshold(service), STALLED_SHARE * time_left)
        )

    async def _drain(self, response, instance):
        """Reads a rejection to its end, so that its connection can be reused."""
        try:
            await within(
                self._reactor,
                CALL_TIME,
                response.discard(REFUSAL_LIMIT),
                OutcomeUnknownError("the body of the rejection did not end in time"),
            )
        except ResponseLimitError as error:
            self._record_failure(instance, error)
        except OakrampError:
            response.abort()
        finally:
            response.holding.release()
