"""Streams and turns: budgets admitted, chains recalled, events passed on, turns retained."""

import math

from twisted.internet import defer

from oakramp.common.constants import FULL_RETRY, PATIENCE_SHARE, TURN_OUTPUT_LIMIT
from oakramp.common.errors import (
    BudgetExhaustedError,
    IncompleteResponseError,
    OakrampError,
    OutcomeUnknownError,
    OverloadedError,
    QuorumUnavailableError,
)
from oakramp.gateway.proxied_request import print_of, remaining
from oakramp.gateway.request_losses import ADMITTED, FIRST_EVENT, HISTORY_READ, LAST_EVENT
from oakramp.gateway.settler import SpendReporter
from oakramp.store.turns import Record


class Streams:
    """The way of a request whose answer is a stream of events."""

    def __init__(self, gate, dialect, router, carrier, answers, turn_client, placement):
        self._gate, self._node, self._reactor, self._owners = gate, gate.node, gate.node.reactor, gate.leaders
        self._dialect, self._router, self._carrier, self._answers = dialect, router, carrier, answers
        self._turns, self._placement = turn_client, placement
        self._settler = SpendReporter(gate)

    async def serve(self, proxied_request):
        request, route = proxied_request.request, proxied_request.route
        recalling = None
        self._carrier.check_may_begin(proxied_request)
        if route.retained and self._turns.is_full:
            # Before it runs: afterwards its answer could only be cut off.
            raise OverloadedError("the stores have no room for more until old turns go", retry_after=FULL_RETRY)
        if route.retained and request.previous_turn:
            recalling = defer.ensureDeferred(
                self._outcome_of(
                    self._turns.read_history(
                        request.previous_turn, remaining(self._reactor, proxied_request) * PATIENCE_SHARE
                    )
                )
            )
        if request.budget is None or not request.program:
            await self._turn(proxied_request, recalling)
            return
        await self._admitted(proxied_request, recalling)

    @staticmethod
    async def _outcome_of(work):
        try:
            return True, await work
        except OakrampError as error:
            return False, error

    def _tokens_per_event(self, service):
        return self._router.services.get(service, {}).get("tokens_per_event") or 1

    def _most_units(self, proxied_request):
        """The most that the turn may put out at any service of its route, in whole events."""
        per_event = [self._tokens_per_event(service) for service, weight in proxied_request.route.backends if weight]
        return max(max(1, math.ceil((proxied_request.request.tokens_most or 1) / one)) * one for one in per_event)

    async def _admitted(self, proxied_request, recalling):
        """Reserves the most that the turn may put out; whatever happens after, what came out is settled."""
        request = proxied_request.request
        reserve = self._most_units(proxied_request)
        self._gate.check_settling()
        key = "allowance/" + print_of(request.program.encode())
        try:
            state = (
                await self._owners.call(
                    key,
                    "admit",
                    {"turn": request.try_id, "reserve": reserve, "limit": request.budget, "gate": self._node.node_id},
                    remaining(self._reactor, proxied_request) * PATIENCE_SHARE,
                )
            )["state"]
        except OutcomeUnknownError as error:
            self._settler.settle(key, request.try_id, 0)
            raise QuorumUnavailableError(f"the budget's owner did not answer: {error.reason}") from error
        if state != "admitted":
            raise BudgetExhaustedError("the program has put out all of its budget")
        proxied_request.reached(ADMITTED, self._reactor.seconds())
        try:
            await self._turn(proxied_request, recalling)
        finally:
            # What was passed on counts, and all of it once a run may have passed on more than we know.
            self._settler.settle(key, request.try_id, proxied_request.units)

    async def _turn(self, proxied_request, recalling):
        recalled = None
        if recalling is not None:
            ok, recalled = await recalling
            if not ok:
                raise recalled
            proxied_request.reached(HISTORY_READ, self._reactor.seconds())
            history = b"".join(part for record in recalled.chain for part in (record.input, record.output))
            proxied_request.body = history + proxied_request.body
        if not await self._carrier.forward(proxied_request, self._pass_events):
            return
        proxied_request.reached(LAST_EVENT, self._reactor.seconds())
        if proxied_request.route.retained:
            record = Record(
                proxied_request.turn_id,
                proxied_request.request.previous_turn or None,
                proxied_request.request.session or proxied_request.turn_id,
                proxied_request.exchange.body,
                b"".join(proxied_request.output),
            )
            try:
                await self._turns.retain(
                    record.session,
                    record,
                    recalled,
                    max(0.5, proxied_request.ends_at - self._reactor.seconds()),
                    proxied_request.route.retain_s,
                )
            except OakrampError as error:
                raise IncompleteResponseError(f"the turn ran, but is not surely kept: {error.reason}") from error
        proxied_request.exchange.finish()

    async def _pass_events(self, proxied_request, answer, instance):
        """Passes events on as they come, whole ones only; the end of the answer is left to who calls. False if the
        replica's answer was no stream: that has been passed on whole."""
        splitter = self._dialect.event_splitter()
        is_stream = answer.status < 300
        if not is_stream:
            if proxied_request.head_passed:
                raise IncompleteResponseError(f"the replica that was to go on answered {answer.status}")
            await self._answers.relay(proxied_request, answer, instance)
            return False
        if not proxied_request.head_passed:
            proxied_request.head = (answer.status, self._dialect.stream_headers(answer.headers))
        while True:
            part = await self._answers.next_part(proxied_request, answer)
            if part is None:
                break
            events = splitter.feed(part)
            if events:
                self._note_first(proxied_request, instance)
                self._pass_on(proxied_request, events, self._tokens_per_event(instance.row["pool"]))
                if proxied_request.exchange.is_full:
                    await self._answers.wait_writable(proxied_request, answer)
        if splitter.rest.strip():
            raise IncompleteResponseError("the stream ended within an event")
        if not proxied_request.head_passed:
            self._begin(proxied_request)
        return True

    def _note_first(self, proxied_request, instance):
        """Counts the first event of a request that one replica alone has had: a later one's says nothing of its cache."""
        if proxied_request.head_passed or proxied_request.tries > 1:
            return
        waited = self._reactor.seconds() - proxied_request.exchange.received_at
        self._placement.note(
            instance.row["pool"],
            instance.row["id"],
            proxied_request.request.prefix,
            proxied_request.request.program,
            waited > proxied_request.route.target_s,
        )

    def _begin(self, proxied_request):
        proxied_request.head_passed = True
        proxied_request.reached(FIRST_EVENT, self._reactor.seconds())
        self._gate.usage.count(proxied_request, proxied_request.stages[FIRST_EVENT])
        status, headers = proxied_request.head
        proxied_request.exchange.start(status, headers, None)

    def _pass_on(self, proxied_request, events, tokens_per_event):
        """Events that were passed on already by an earlier replica are left out."""
        chunks = []
        for raw, event_id, data in events:
            if (
                proxied_request.last_id is not None
                and event_id is not None
                and not _follows(event_id, proxied_request.last_id)
            ):
                continue
            chunks.append(raw)
            if event_id is not None:
                proxied_request.last_id = event_id
                proxied_request.units += tokens_per_event
            elif data is not None:
                proxied_request.is_numbered = False
            if proxied_request.route.retained and data is not None:
                proxied_request.output_size += len(data) + 1
                if proxied_request.output_size > TURN_OUTPUT_LIMIT:
                    raise IncompleteResponseError("the turn put out more than can be kept")
                proxied_request.output += (data, b"\n")
        if not chunks:
            return
        if not proxied_request.head_passed:
            self._begin(proxied_request)
        proxied_request.exchange.write(b"".join(chunks))


def _follows(event_id, last_id):
    try:
        return int(event_id) > int(last_id)
    except ValueError:
        return event_id != last_id
