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
from oakramp.gateway.settler import SpendReporter
from oakramp.store.turns import Record


class Streams:
    """The way of a request whose answer is a stream of events."""

    def __init__(self, gate, dialect, router, carrier, answers, turn_client, placement):
        self._gate, self._node, self._reactor, self._owners = gate, gate.node, gate.node.reactor, gate.owners
        self._dialect, self._router, self._carrier, self._answers = dialect, router, carrier, answers
        self._turns, self._placement = turn_client, placement
        self._settler = SpendReporter(gate)

    async def serve(self, passage):
        request, route = passage.request, passage.route
        recalling = None
        if route.retained and self._turns.is_full:
            # Before it runs: afterwards its answer could only be cut off.
            raise OverloadedError("the stores have no room for more until old turns go", retry_after=FULL_RETRY)
        if route.retained and request.previous_turn:
            recalling = defer.ensureDeferred(
                self._settled(
                    self._turns.recall(request.previous_turn, remaining(self._reactor, passage) * PATIENCE_SHARE)
                )
            )
        if request.budget is None or not request.program:
            await self._turn(passage, recalling)
            return
        await self._admitted(passage, recalling)

    @staticmethod
    async def _settled(work):
        try:
            return True, await work
        except OakrampError as error:
            return False, error

    def _tokens_per_event(self, service):
        return self._router.services.get(service, {}).get("tokens_per_event") or 1

    def _most_units(self, passage):
        """The most that the turn may put out at any service of its route, in whole events."""
        per_event = [self._tokens_per_event(service) for service, weight in passage.route.backends if weight]
        return max(max(1, math.ceil((passage.request.tokens_most or 1) / one)) * one for one in per_event)

    async def _admitted(self, passage, recalling):
        """Reserves the most that the turn may put out; whatever happens after, what came out is settled."""
        request = passage.request
        reserve = self._most_units(passage)
        self._gate.check_settling()
        key = "allowance/" + print_of(request.program.encode())
        try:
            state = (
                await self._owners.call(
                    key,
                    "admit",
                    {"turn": request.try_id, "reserve": reserve, "limit": request.budget, "gate": self._node.node_id},
                    remaining(self._reactor, passage) * PATIENCE_SHARE,
                )
            )["state"]
        except OutcomeUnknownError as error:
            self._settler.settle(key, request.try_id, 0)
            raise QuorumUnavailableError(f"the budget's owner did not answer: {error.reason}") from error
        if state != "admitted":
            raise BudgetExhaustedError("the program has put out all of its budget")
        try:
            await self._turn(passage, recalling)
        finally:
            # What was passed on counts, and all of it once a run may have passed on more than we know.
            self._settler.settle(key, request.try_id, passage.units)

    async def _turn(self, passage, recalling):
        recalled = None
        if recalling is not None:
            ok, recalled = await recalling
            if not ok:
                raise recalled
            history = b"".join(part for record in recalled.chain for part in (record.input, record.output))
            passage.body = history + passage.body
        if not await self._carrier.carry(passage, self._pass_events):
            return
        if passage.route.retained:
            record = Record(
                passage.request.try_id,
                passage.request.previous_turn or None,
                passage.request.session or passage.request.try_id,
                passage.exchange.body,
                b"".join(passage.output),
            )
            try:
                await self._turns.retain(
                    record.session,
                    record,
                    recalled,
                    max(0.5, passage.ends_at - self._reactor.seconds()),
                    passage.route.retain_s,
                )
            except OakrampError as error:
                raise IncompleteResponseError(f"the turn ran, but is not surely kept: {error.reason}") from error
        passage.exchange.finish()

    async def _pass_events(self, passage, answer, instance):
        """Passes events on as they come, whole ones only; the end of the answer is left to who calls. False if the
        replica's answer was no stream: that has been passed on whole."""
        splitter = self._dialect.event_splitter()
        is_stream = answer.status < 300
        if not is_stream:
            if passage.head_passed:
                raise IncompleteResponseError(f"the replica that was to go on answered {answer.status}")
            await self._answers.relay(passage, answer, instance)
            return False
        if not passage.head_passed:
            passage.head = (answer.status, self._dialect.stream_headers(answer.headers))
        while True:
            part = await self._answers.next_part(passage, answer)
            if part is None:
                break
            whole = splitter.feed(part)
            if whole:
                self._note_first(passage, instance)
                self._pass_on(passage, whole, self._tokens_per_event(instance.row["pool"]))
                if passage.exchange.is_full:
                    await self._answers.wait_writable(passage, answer)
        if splitter.rest.strip():
            raise IncompleteResponseError("the stream ended within an event")
        if not passage.head_passed:
            self._begin(passage)
        return True

    def _note_first(self, passage, instance):
        """Counts the first event of a request that one replica alone has had: a later one's says nothing of its cache."""
        if passage.head_passed or passage.tries > 1:
            return
        waited = self._reactor.seconds() - passage.exchange.received_at
        self._placement.note(
            instance.row["pool"],
            instance.row["id"],
            passage.request.prefix,
            passage.request.program,
            waited > passage.route.target_s,
        )

    def _begin(self, passage):
        passage.head_passed = True
        status, headers = passage.head
        passage.exchange.start(status, headers, None)

    def _pass_on(self, passage, whole, tokens_per_event):
        """Events that were passed on already by an earlier replica are left out."""
        chunks = []
        for raw, event_id, data in whole:
            if passage.last_id is not None and event_id is not None and not _follows(event_id, passage.last_id):
                continue
            chunks.append(raw)
            if event_id is not None:
                passage.last_id = event_id
                passage.units += tokens_per_event
            elif data is not None:
                passage.is_numbered = False
            if passage.route.retained and data is not None:
                passage.output_size += len(data) + 1
                if passage.output_size > TURN_OUTPUT_LIMIT:
                    raise IncompleteResponseError("the turn put out more than can be kept")
                passage.output += (data, b"\n")
        if not chunks:
            return
        if not passage.head_passed:
            self._begin(passage)
        passage.exchange.write(b"".join(chunks))


def _follows(event_id, last_id):
    try:
        return int(event_id) > int(last_id)
    except ValueError:
        return event_id != last_id
