"""The filter chain of a turn: bind, read the history, place and connect, reserve, forward, store and settle."""

from schema import And, Optional, Or

from oakramp.common.constants import (
    CALL_TIME,
    FULL_RETRY_AFTER,
    PIECES_PER_TURN,
    REPLICA_EVENT_LIMIT,
    SETTLE_TIME,
    SETTLE_WAIT,
    TIME_LEFT_LIMIT,
    UNITS_LIMIT,
)
from oakramp.common.errors import (
    ConflictError,
    DeadlineExceededError,
    IncompleteResponseError,
    OakrampError,
    OverloadedError,
    PlanChangedError,
    ResponseLimitError,
    TurnExpiredError,
    Verdict,
)
from oakramp.common.http_client import BodyLines
from oakramp.common.tasks import shielded, within
from oakramp.common.validation import NAME, check_fields, seconds, whole
from oakramp.gateway.forwarding import error_from_rejection
from oakramp.gateway.request import Request, chain, fingerprint_of
from oakramp.gateway.stream import CallerStream, RunReader
from oakramp.gateway.turn_admission import DID_RUN, INTERRUPTED, NEVER_RAN, AdmissionRefusedError, TurnAdmission

TURN = {
    "turnId": NAME,
    "binding": NAME,
    "after": Or(None, NAME, error="must be null or the id of an earlier turn"),
    "input": And(str, len, error="must be a text that is not empty"),
    Optional("timeLeft"): seconds(0.05, TIME_LEFT_LIMIT),
    Optional("maxOutput"): whole(1, 1 << 20),
    Optional("request"): NAME,
}
PROGRAM = {"program": NAME, Optional("limit"): whole(1, UNITS_LIMIT)}


class Turns:
    def __init__(self, gate):
        self._gate, self._node, self._reactor = gate, gate.node, gate.node.reactor
        self._bindings, self._leaders, self._conversations = gate.bindings, gate.leaders, gate.conversations
        self._load_balancer, self._forwarder = gate.load_balancer, gate.forwarder
        self._run = chain([self._bind, self._read_history, self._admit, self._retain], self._forward)

    # --- programs ---

    async def open_program(self, call):
        partner = call.names["partner"]
        body = check_fields(PROGRAM, call.json())
        check_fields({"partner": NAME}, {"partner": partner})
        # The owner looks up the plan's limits: this gate's copy may be outdated when the command arrives.
        budget_state = await self._leaders.call(
            f"budget/{partner}/{body['program']}", "open", {"limit": body["limit"]}, 2 * CALL_TIME
        )
        return 201, {"program": body["program"]} | budget_state

    async def read_program(self, call):
        return await self._call_budget_owner(call, "read")

    async def end_program(self, call):
        return await self._call_budget_owner(call, "end")

    async def _call_budget_owner(self, call, command):
        names = check_fields({"partner": NAME, "program": NAME}, call.names)
        budget_state = await self._leaders.call(
            f"budget/{names['partner']}/{names['program']}", command, {}, 2 * CALL_TIME
        )
        return 200, {"program": names["program"]} | budget_state

    # --- turns ---

    async def post_turn(self, call):
        names = check_fields({"partner": NAME, "program": NAME, "line": NAME}, call.names)
        body = check_fields(TURN, call.json())
        request = Request(
            call,
            names["partner"],
            body["binding"],
            "model",
            body,
            self._gate.admission(),
            self._reactor.seconds(),
            body["timeLeft"],
        )
        request.fields |= {
            "budgetKey": f"budget/{names['partner']}/{names['program']}",
            "lineKey": f"{names['partner']}/{names['program']}/{names['line']}",
            "turnKey": f"{names['line']}/{body['turnId']}",
            "print": fingerprint_of([body["binding"], body["after"], body["input"], body["maxOutput"]]),
        }
        stream = CallerStream(call)
        request.fields["stream"] = stream
        try:
            await self._run_bound(request)
        except OakrampError as error:
            self._gate.metrics.count("turns", outcome=error.code)
            if not stream.is_started:
                raise
            stream.abort(error)
            return
        finally:
            _release_run(request)
        self._gate.metrics.count("turns", outcome="done")

    async def _run_bound(self, request):
        """Runs the filter chain, and again from its start when a new plan changes the terms of the admission."""
        while True:
            try:
                await self._run(request)
                return
            except PlanChangedError:
                self._gate.metrics.count("turns_rebound")
                request.admission, request.admitted_under = self._gate.admission(), None

    async def _bind(self, request, next_step):
        ends_at = self._reactor.seconds() + CALL_TIME
        request.bind(
            await self._bindings.find_confirmed(
                request.partner, request.binding_name, request.kind, request.received_at, ends_at
            )
        )
        if not self._load_balancer.has_queue_space(request.partner, request.binding["pool"]):
            raise OverloadedError("too many requests are waiting for a replica", retry_after=1)
        self._gate.check_settling()
        await next_step(request)

    async def _admit(self, request, next_step):
        """Prepares the reservation of budget for the turn's maximum output, which is made just before the turn is sent;
        it is settled whatever happens afterwards."""
        request.permit = admission = TurnAdmission(self._gate, request)
        try:
            await next_step(request)
        except AdmissionRefusedError as refusal:
            if refusal.error is not None:
                raise refusal.error from None
            await self._replay_stored(request, refusal.state)
        except PlanChangedError:
            settling = admission.settle(NEVER_RAN, 0)
            if await within(self._reactor, request.remaining(self._reactor.seconds()), shielded(settling)) is None:
                raise DeadlineExceededError("the budget's owner did not answer", retry_after=1) from None
            raise
        except BaseException as error:
            # The output of an interrupted run, perhaps unseen, is unknown: the whole reservation counts as spent.
            did_not_run = not request.may_have_run or (isinstance(error, OakrampError) and error.verdict is Verdict.NO)
            admission.settle(*((NEVER_RAN, 0) if did_not_run else (INTERRUPTED, request.fields["reserve"])))
            raise

    async def _read_history(self, request, next_step):
        fields, body = request.fields, request.body
        line = await self._conversations.get(fields["lineKey"], request.remaining(self._reactor.seconds()))
        if body["turnId"] in line.turns:
            self._replay(request, line.turns[body["turnId"]])
            return
        if line.is_full:
            # Refused before the run: afterwards the only answer left is that the turn ran and was not stored.
            raise OverloadedError("the stores are full until old lines are removed", retry_after=FULL_RETRY_AFTER)
        fields["line"] = line
        fields["path"] = line.path_to(body["after"])
        fields["start"] = (fields["path"][0] if fields["path"] else body)["input"]
        await next_step(request)

    async def _retain(self, request, next_step):
        """Stores and settles the finished turn, and sends the closing event to the caller only after both."""
        fields, body = request.fields, request.body
        await next_step(request)
        reader = fields["reader"]
        turn = {
            "parent": body["after"],
            "input": body["input"],
            "pieces": reader.pieces,
            "run": fields["run"],
            "print": fields["print"],
        }
        # The output is known now, whether the turn gets stored or not, so settling need not wait for the stores.
        settling = request.permit.settle(DID_RUN, reader.units)
        try:
            await self._conversations.keep(fields["lineKey"], fields["line"], body["turnId"], turn, SETTLE_TIME)
        except OakrampError as error:
            raise IncompleteResponseError(f"the turn ran, but may not have been stored: {error.reason}") from error
        try:
            await within(self._reactor, SETTLE_WAIT, shielded(settling))
        except OakrampError as error:
            self._node.log.warning("spend_report_late", turn=fields["turnKey"], reason=error.reason)
        fields["stream"].end(turn=body["turnId"], units=reader.units)

    async def _forward(self, request):
        fields, body = request.fields, request.body
        payload = {
            "turn": body["turnId"],
            "line": fields["lineKey"],
            "input": body["input"],
            "history": [
                {"input": turn["input"], "output": "".join(text for text, _ in turn["pieces"])}
                for turn in fields["path"]
            ],
        }
        # Never a second run under one reservation: two runs might produce twice the reserved output.
        await self._forwarder.forward(
            request, lambda: False, lambda replica, last_check: self._stream(request, payload, replica, last_check)
        )

    async def _stream(self, request, payload, replica, last_check):
        fields = request.fields
        # Read only now: while the request waited, a newer blueprint may have replaced the binding.
        fields["reserve"] = _reserve_under(request)
        payload = payload | request.forwarded_fields() | {"maxOutput": fields["reserve"]}
        # Each attempt is a run with its own id, so that pieces of two runs are never mixed.
        fields["run"] = run = self._gate.mint_id()
        fields["stream"].set_run(run)
        fields.pop("reader", None)
        _release_run(request)
        meter = self._gate.web_client.meter(replica.row["address"])
        fields["holding"] = meter.holding
        try:
            await self._relay_run(request, payload | {"run": run}, replica, last_check, meter)
        except ResponseLimitError as error:
            self._gate.web_client.room.report(error, replica.row["id"])
            raise

    async def _relay_run(self, request, payload, replica, last_check, meter):
        """Sends the turn to the replica, and relays the pieces of its run."""
        fields = request.fields
        response = await self._gate.web_client.send(
            "POST",
            replica.row["address"],
            "/turn",
            payload,
            request.ends_at - self._reactor.seconds(),
            last_check,
            before_send=request.permit.acquire,
            meter=meter,
        )
        lines = BodyLines(REPLICA_EVENT_LIMIT, meter)
        response.deliverBody(lines)
        if response.code != 200:
            raise await error_from_rejection(self._reactor, response, lines, CALL_TIME)
        fields["reader"] = reader = RunReader(self._reactor, fields["run"], lines, fields["reserve"])
        if request.binding.get("onCallerGone", "cancel") == "cancel":
            request.call.gone.addCallback(lambda _: lines.abort())
        try:
            while (piece := await reader.next(request.ends_at)) is not None:
                fields["stream"].write_piece(*piece)
                if len(reader.pieces) % PIECES_PER_TURN == 0:
                    await self._gate.node.fair_turns.turn()
        except OakrampError as error:
            if request.call.is_gone and not isinstance(error, ResponseLimitError):
                raise IncompleteResponseError("the caller disconnected") from error
            raise
        finally:
            lines.abort()

    async def _replay_stored(self, request, state):
        """Answers a turn id that was used before: with the stored answer, or with an error that says what is known."""
        fields = request.fields
        line = await self._conversations.get(fields["lineKey"], request.remaining(self._reactor.seconds()))
        turn = line.turns.get(request.body["turnId"])
        if turn is None and state == "done":
            raise TurnExpiredError("this turn ran, but is no longer stored", Verdict.YES)
        if turn is None:
            raise IncompleteResponseError(
                "this turn ran before and was interrupted", Verdict.MAYBE if state == "vanished" else Verdict.YES
            )
        self._replay(request, turn)

    @staticmethod
    def _replay(request, turn):
        """Answers with a turn that is stored."""
        if turn["print"] != request.fields["print"]:
            raise ConflictError("this turn id was used for another request")
        stream = request.fields["stream"]
        stream.set_run(turn["run"])
        for text, units in turn["pieces"]:
            stream.write_piece(text, units)
        stream.end(turn=request.body["turnId"], units=sum(units for _, units in turn["pieces"]), kept=True)


def _release_run(request):
    """Gives back the room of the run that the request had last."""
    holding = request.fields.pop("holding", None)
    if holding is not None:
        holding.release()


def _reserve_under(request):
    """The most units that the turn may put out under its present binding."""
    most = request.binding["maxOutput"]
    return min(most, request.body["maxOutput"] or most)
