"""Streams and turns: budget admission, reading of the turn history, relaying of events, retention of turns."""

import math

from twisted.internet import defer

from oakramp.common.backend_room import Part
from oakramp.common.constants import (
    EVENT_LIMIT,
    FULL_RETRY_AFTER,
    LINES_PER_TURN,
    QUEUE_WAIT_SHARE,
    RETRY_AFTER_MIN,
    TURN_OUTPUT_LIMIT,
)
from oakramp.common.errors import (
    BudgetExhaustedError,
    IncompleteResponseError,
    OakrampError,
    OutcomeUnknownError,
    OverloadedError,
    QuorumUnavailableError,
)
from oakramp.gateway.proxied_request import fingerprint_of, remaining_time
from oakramp.gateway.request_losses import ADMITTED, FIRST_EVENT, HISTORY_READ, LAST_EVENT
from oakramp.gateway.settler import SpendReporter
from oakramp.store.turns import Record

OUTPUT_ROOM_STEP = 4 << 10  # bytes; taken at a time for the output of a turn


class StreamHandler:
    """Handles requests on routes whose responses are event streams."""

    def __init__(self, gate, dialect, router, forwarder, responses, turn_client, placement):
        self._gate, self._node, self._reactor, self._leaders = gate, gate.node, gate.node.reactor, gate.leaders
        self._dialect, self._router, self._forwarder, self._responses = dialect, router, forwarder, responses
        self._turn_client, self._placement = turn_client, placement
        self._spend_reporter = SpendReporter(gate)

    async def serve(self, proxied_request):
        request, route = proxied_request.request, proxied_request.route
        pending_history = None
        self._forwarder.check_program_admission(proxied_request)
        if route.retained and self._turn_client.is_full:
            # Checked before the turn runs: afterwards the response could only be cut off.
            raise OverloadedError("the stores are full until old turns expire", retry_after=FULL_RETRY_AFTER)
        if route.retained and request.previous_turn:
            pending_history = defer.ensureDeferred(
                self._capture_outcome(
                    self._turn_client.read_history(
                        request.previous_turn, remaining_time(self._reactor, proxied_request) * QUEUE_WAIT_SHARE
                    )
                )
            )
        if request.budget is None or not request.program:
            await self._serve_turn(proxied_request, pending_history)
            return
        await self._serve_with_budget(proxied_request, pending_history)

    @staticmethod
    async def _capture_outcome(work):
        try:
            return True, await work
        except OakrampError as error:
            return False, error

    def _tokens_per_event(self, service):
        return self._router.services.get(service, {}).get("tokens_per_event") or 1

    def _max_output_tokens(self, proxied_request):
        """The most tokens that the turn may output at any service of its route, rounded up to whole events."""
        per_event = [self._tokens_per_event(service) for service, weight in proxied_request.route.backends if weight]
        return max(
            max(1, math.ceil((proxied_request.request.tokens_most or 1) / event_tokens)) * event_tokens
            for event_tokens in per_event
        )

    async def _serve_with_budget(self, proxied_request, pending_history):
        """Reserves the most that the turn may output; its actual output is settled in every case."""
        request = proxied_request.request
        reserve = self._max_output_tokens(proxied_request)
        self._gate.check_settling()
        key = "allowance/" + fingerprint_of(request.program.encode())
        try:
            state = (
                await self._leaders.call(
                    key,
                    "admit",
                    {"turn": request.try_id, "reserve": reserve, "limit": request.budget, "gate": self._node.node_id},
                    remaining_time(self._reactor, proxied_request) * QUEUE_WAIT_SHARE,
                )
            )["state"]
        except OutcomeUnknownError as error:
            self._spend_reporter.settle(key, request.try_id, 0)
            raise QuorumUnavailableError(f"the owner of the budget did not respond: {error.reason}") from error
        if state != "admitted":
            raise BudgetExhaustedError("the program has used all of its budget")
        proxied_request.record_stage(ADMITTED, self._reactor.seconds())
        try:
            await self._serve_turn(proxied_request, pending_history)
        finally:
            # The tokens in relayed events count. If this gateway is lost, the owner of the budget counts the whole
            # reserve, since the number of tokens that were relayed is then unknown.
            self._spend_reporter.settle(key, request.try_id, proxied_request.tokens_sent)

    async def _serve_turn(self, proxied_request, pending_history):
        turn_history = None
        if pending_history is not None:
            is_success, turn_history = await pending_history
            if not is_success:
                raise turn_history
            proxied_request.record_stage(HISTORY_READ, self._reactor.seconds())
            proxied_request.body = self._with_history(proxied_request, turn_history)
        if not await self._forwarder.forward(proxied_request, self._relay_events):
            return
        proxied_request.record_stage(LAST_EVENT, self._reactor.seconds())
        if proxied_request.route.retained:
            record = Record(
                proxied_request.turn_id,
                proxied_request.request.previous_turn or None,
                proxied_request.request.session or proxied_request.turn_id,
                proxied_request.exchange.body,
                bytes(proxied_request.output),
            )
            try:
                await self._turn_client.retain(
                    record.session,
                    record,
                    turn_history,
                    max(0.5, proxied_request.ends_at - self._reactor.seconds()),
                    proxied_request.route.retain_s,
                )
            except OakrampError as error:
                raise IncompleteResponseError(f"the turn ran, but may not have been stored: {error.reason}") from error
        proxied_request.exchange.finish()

    @staticmethod
    def _with_history(proxied_request, turn_history):
        """The body for the replica: all turns so far and the new input. Raises OverloadedError without memory for it."""
        parts = [part for record in turn_history.chain for part in (record.input, record.output)]
        if not proxied_request.exchange.reserve(sum(map(len, parts)) + len(proxied_request.body)):
            raise OverloadedError("no memory for the history of the turn", retry_after=RETRY_AFTER_MIN)
        return b"".join([*parts, proxied_request.body])

    async def _relay_events(self, proxied_request, response, instance):
        """Relays complete events as they arrive; finishing the response is left to the code that calls `forward`.

        Returns False if the replica's response was not a stream; it has then been relayed to its end."""
        splitter = self._dialect.event_splitter()
        is_stream = response.status < 300
        if not is_stream:
            if proxied_request.head_sent:
                raise IncompleteResponseError(f"the replica that was to resume the stream responded {response.status}")
            await self._responses.relay(proxied_request, response, instance)
            return False
        if not proxied_request.head_sent:
            proxied_request.response_head = (response.status, self._dialect.stream_headers(response.headers))
        while (part := await self._responses.next_part(proxied_request, response)) is not None:
            await self._relay_part(proxied_request, response, instance, splitter, part)
        if splitter.rest.strip():
            raise IncompleteResponseError("the stream ended in the middle of an event")
        if not proxied_request.head_sent:
            self._start_response(proxied_request)
        return True

    async def _relay_part(self, proxied_request, response, instance, splitter, part):
        """Relays the events that a part of the body completes, many of them in several turns of the reactor."""
        left = len(part)
        for piece in _slices(part):
            if left < len(part):
                await self._node.fair_turns.turn()
                self._responses.check_deadline(proxied_request, response)
            left -= len(piece)
            events = splitter.feed(piece)
            _check_event(response, len(splitter.rest))
            response.holding.keep(Part.EVENT, len(splitter.rest) + left)
            if events:
                await self._relay_complete(proxied_request, response, instance, events)

    async def _relay_complete(self, proxied_request, response, instance, events):
        """Relays complete events. Raises ResponseLimitError for a replica that sends relayed events again beyond what a
        resumed stream has."""
        self._record_first_event(proxied_request, instance)
        self._write_events(proxied_request, events, self._tokens_per_event(instance.row["pool"]))
        repeated_limit = proxied_request.relayed_size + EVENT_LIMIT
        if proxied_request.repeated_size > repeated_limit:
            raise response.holding.limit_error(Part.EVENT, proxied_request.repeated_size, repeated_limit)
        if proxied_request.exchange.is_full:
            await self._responses.wait_writable(proxied_request, response)

    def _record_first_event(self, proxied_request, instance):
        """Records the first event of a request that was sent to one replica only.

        After a retry the delay of the first event says nothing about the cache of the replica that sent it."""
        if proxied_request.head_sent or proxied_request.attempts > 1:
            return
        waited = self._reactor.seconds() - proxied_request.exchange.received_at
        self._placement.record_first_event(
            instance.row["pool"],
            instance.row["id"],
            proxied_request.request.prefix,
            proxied_request.request.program,
            waited > proxied_request.route.target_s,
        )

    def _start_response(self, proxied_request):
        proxied_request.head_sent = True
        proxied_request.record_stage(FIRST_EVENT, self._reactor.seconds())
        self._gate.usage.count(proxied_request, proxied_request.stages[FIRST_EVENT])
        status, headers = proxied_request.response_head
        proxied_request.exchange.start(status, headers, None)

    def _write_events(self, proxied_request, events, tokens_per_event):
        """Writes events to the client, except those that were already relayed from an earlier replica."""
        chunks = []
        for raw, event_id, data in events:
            if (
                proxied_request.last_event_id is not None
                and event_id is not None
                and not _is_after(event_id, proxied_request.last_event_id)
            ):
                proxied_request.repeated_size += len(raw)
                continue
            chunks.append(raw)
            if event_id is not None:
                proxied_request.last_event_id = event_id
                proxied_request.tokens_sent += tokens_per_event
            elif data is not None:
                proxied_request.has_event_ids = False
            if proxied_request.route.retained and data is not None:
                proxied_request.output_size += len(data) + 1
                if proxied_request.output_size > TURN_OUTPUT_LIMIT or not _has_output_room(proxied_request):
                    raise IncompleteResponseError("the output of the turn exceeds the size that can be stored")
                proxied_request.output += data
                proxied_request.output += b"\n"
        if not chunks:
            return
        if not proxied_request.head_sent:
            self._start_response(proxied_request)
        written = b"".join(chunks)
        proxied_request.relayed_size += len(written)
        proxied_request.exchange.write(written)


def _check_event(response, size):
    """Raises ResponseLimitError if an event that has not ended has `size` bytes already, and these are too many."""
    if size > EVENT_LIMIT:
        raise response.holding.limit_error(Part.EVENT, size, EVENT_LIMIT)


def _slices(part):
    """The parts of a part of a stream that are relayed in a turn of the reactor each."""
    lines = part.count(b"\n")
    if lines <= LINES_PER_TURN:
        return (part,)
    size = max(1, len(part) * LINES_PER_TURN // lines)
    return [part[at : at + size] for at in range(0, len(part), size)]


def _has_output_room(proxied_request):
    """Takes room for the output that is kept, OUTPUT_ROOM_STEP bytes at a time; False if there is none."""
    while proxied_request.output_room < proxied_request.output_size:
        if not proxied_request.exchange.reserve(OUTPUT_ROOM_STEP):
            return False
        proxied_request.output_room += OUTPUT_ROOM_STEP
    return True


def _is_after(event_id, last_event_id):
    try:
        return int(event_id) > int(last_event_id)
    except ValueError:
        return event_id != last_event_id
