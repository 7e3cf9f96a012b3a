"""The filters of a turn: bind, admit, recall, then place and carry, retain, settle."""

from schema import And, Optional, Or
from twisted.internet.defer import ensureDeferred

from oakramp.common.constants import (
    CALL_TIME,
    FULL_RETRY,
    PIECE_LIMIT,
    SETTLE_TIME,
    SETTLE_WAIT,
    TIME_LEFT_LIMIT,
    UNITS_LIMIT,
)
from oakramp.common.errors import (
    BudgetExhaustedError,
    ConflictError,
    DeadlineExceededError,
    IncompleteResponseError,
    OakrampError,
    OutcomeUnknownError,
    OverloadedError,
    PlanChangedError,
    TurnExpiredError,
    Verdict,
)
from oakramp.common.http_client import BodyLines
from oakramp.common.tasks import settled, shielded, within
from oakramp.common.validation import NAME, check_fields, seconds, whole
from oakramp.gateway.forwarding import error_from_rejection
from oakramp.gateway.request import Request, chain, leases_of, print_of
from oakramp.gateway.stream import CallerStream, RunReader

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
        self._bindings, self._owners, self._lines = gate.bindings, gate.leaders, gate.lines
        self._placer, self._carrier = gate.placer, gate.carrier
        self._run = chain([self._bind, self._admit, self._read_history, self._retain], self._forward)

    # --- programs ---

    async def open_program(self, call):
        partner = call.names["partner"]
        body = check_fields(PROGRAM, call.json())
        check_fields({"partner": NAME}, {"partner": partner})
        # The plan's limits are the owner's to look up: what this gate knows may be old when the command gets there.
        shown = await self._owners.call(
            f"budget/{partner}/{body['program']}", "open", {"limit": body["limit"]}, 2 * CALL_TIME
        )
        return 201, {"program": body["program"]} | shown

    async def read_program(self, call):
        return await self._ask_program(call, "read")

    async def end_program(self, call):
        return await self._ask_program(call, "end")

    async def _ask_program(self, call, command):
        names = check_fields({"partner": NAME, "program": NAME}, call.names)
        shown = await self._owners.call(f"budget/{names['partner']}/{names['program']}", command, {}, 2 * CALL_TIME)
        return 200, {"program": names["program"]} | shown

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
            "print": print_of([body["binding"], body["after"], body["input"], body["maxOutput"]]),
        }
        stream = CallerStream(call)
        request.fields["stream"] = stream
        try:
            await self._run_bound(request)
        except OakrampError as error:
            self._gate.metrics.count("turns", outcome=error.code)
            if not stream.begun:
                raise
            stream.break_off(error)
            return
        self._gate.metrics.count("turns", outcome="done")

    async def _run_bound(self, request):
        """Through the chain; again from its start when a new plan changed the terms of the admission."""
        while True:
            try:
                await self._run(request)
                return
            except PlanChangedError:
                self._gate.metrics.count("turns_rebound")
                request.admission, request.admitted_under = self._gate.admission(), None

    async def _bind(self, request, onward):
        ends_at = self._reactor.seconds() + CALL_TIME
        request.bound(
            await self._bindings.find_surely(
                request.partner, request.binding_name, request.kind, request.asked_at, ends_at
            )
        )
        if not self._placer.has_queue_room(request.partner, request.binding["pool"]):
            raise OverloadedError("too many requests wait for a replica", retry_after=1)
        self._gate.check_settling()
        reserve = request.binding["maxOutput"]
        request.fields["reserve"] = min(reserve, request.body["maxOutput"] or reserve)
        await onward(request)

    async def _admit(self, request, onward):
        """Reserves what the turn may put out; whatever happens after, the reservation is settled."""
        fields = request.fields
        # The line is read meanwhile: neither needs the other, and both are needed before the turn can go on.
        fields["recalling"] = ensureDeferred(
            settled([self._lines.get(fields["lineKey"], request.remaining(self._reactor.seconds()))])
        )
        answered = self._owners.call(
            fields["budgetKey"],
            "admit",
            request.admission
            | {
                "turn": fields["turnKey"],
                "print": fields["print"],
                "reserve": fields["reserve"],
                "repeatable": bool(request.binding.get("repeatable")),
            },
            request.remaining(self._reactor.seconds()),
        )
        try:
            state = (await answered)["state"]
        except OutcomeUnknownError as error:
            # It may be reserved, but it will not be carried: so it never runs.
            self._settle_later(request, "never", 0)
            raise DeadlineExceededError(f"the budget's owner did not answer: {error.reason}", retry_after=1) from error
        if state == "refused":
            raise BudgetExhaustedError("the program has put out all of its budget")
        if state != "admitted":
            await self._replay_kept(request, state)
            return
        request.admitted_under = leases_of(request.binding)
        try:
            await onward(request)
        except PlanChangedError:
            taken = self._settle_later(request, "never", 0)
            if await within(self._reactor, request.remaining(self._reactor.seconds()), shielded(taken)) is None:
                raise DeadlineExceededError("the budget's owner did not answer", retry_after=1) from None
            raise
        except BaseException as error:
            # What a run that broke off has put out, perhaps unseen, is not known: all of it counts as spent.
            never = not request.left or (isinstance(error, OakrampError) and error.verdict is Verdict.NO)
            self._settle_later(request, *(("never", 0) if never else ("broken", fields["reserve"])))
            raise

    def _settle(self, request, outcome, units):
        fields = request.fields
        return self._owners.call_until_done(
            fields["budgetKey"],
            "settle",
            request.admission
            | {"turn": fields["turnKey"], "print": fields["print"], "units": units, "outcome": outcome},
        )

    def _settle_later(self, request, outcome, units):
        return self._gate.background(self._settle(request, outcome, units))

    async def _read_history(self, request, onward):
        fields, body = request.fields, request.body
        [(is_read, line)] = await fields["recalling"]
        if not is_read:
            raise line
        if line.is_full:
            # Before it runs: afterwards it could only be told that its turn ran and is not kept.
            raise OverloadedError("the stores have no room for more until old lines go", retry_after=FULL_RETRY)
        if body["turnId"] in line.turns:
            raise ConflictError("a turn with this id is on the line already")
        fields["line"] = line
        fields["path"] = line.path_to(body["after"])
        fields["start"] = (fields["path"][0] if fields["path"] else body)["input"]
        await onward(request)

    async def _retain(self, request, onward):
        """Keeps the finished turn and settles it, and only after both lets the caller see the closing event."""
        fields, body = request.fields, request.body
        await onward(request)
        reader = fields["reader"]
        turn = {
            "parent": body["after"],
            "input": body["input"],
            "pieces": reader.pieces,
            "run": fields["run"],
            "print": fields["print"],
        }
        # What came out is known now, whatever becomes of the turn; so the settling need not wait for the stores.
        settling = self._settle_later(request, "done", reader.units)
        try:
            await self._lines.keep(fields["lineKey"], fields["line"], body["turnId"], turn, SETTLE_TIME)
        except OakrampError as error:
            raise IncompleteResponseError(f"the turn ran, but is not surely kept: {error.reason}") from error
        try:
            await within(self._reactor, SETTLE_WAIT, shielded(settling))
        except OakrampError as error:
            self._node.log.warning("spend_report_late", turn=fields["turnKey"], reason=error.reason)
        fields["stream"].end(turn=body["turnId"], units=reader.units)

    async def _forward(self, request):
        fields, body = request.fields, request.body
        asked = {
            "turn": body["turnId"],
            "line": fields["lineKey"],
            "input": body["input"],
            "history": [
                {"input": turn["input"], "output": "".join(text for text, _ in turn["pieces"])}
                for turn in fields["path"]
            ],
            "maxOutput": fields["reserve"],
        }
        # Never a second run under one reservation: two might put out twice what was reserved.
        await self._carrier.forward(
            request, lambda: False, lambda replica, last_check: self._stream(request, asked, replica, last_check)
        )

    async def _stream(self, request, asked, replica, last_check):
        fields = request.fields
        # Only now: while it waited, a newer blueprint may have replaced the binding.
        asked = asked | request.marks()
        # Each carry is a run of its own, so pieces of two runs can never pass for one.
        fields["run"] = run = self._gate.mint_id()
        fields["stream"].use_run(run)
        fields.pop("reader", None)
        response = await self._gate.web_client.send(
            "POST",
            replica.row["address"],
            "/turn",
            asked | {"run": run},
            request.ends_at - self._reactor.seconds(),
            last_check,
        )
        lines = BodyLines(PIECE_LIMIT)
        response.deliverBody(lines)
        if response.code != 200:
            raise await error_from_rejection(self._reactor, response, lines, CALL_TIME)
        fields["reader"] = reader = RunReader(self._reactor, run, lines, fields["reserve"])
        if request.binding.get("onCallerGone", "cancel") == "cancel":
            request.call.gone.addCallback(lambda _: lines.abort())
        try:
            while (piece := await reader.next(request.ends_at)) is not None:
                fields["stream"].piece(*piece)
        except OakrampError as error:
            if request.call.is_gone:
                raise IncompleteResponseError("the caller went away") from error
            raise
        finally:
            lines.abort()

    async def _replay_kept(self, request, state):
        """A turn id that was used before: the kept answer, if it was kept, else what is known of it."""
        fields = request.fields
        line = await self._lines.get(fields["lineKey"], request.remaining(self._reactor.seconds()))
        turn = line.turns.get(request.body["turnId"])
        if turn is None and state == "done":
            raise TurnExpiredError("this turn ran, but is kept no longer", Verdict.YES)
        if turn is None:
            raise IncompleteResponseError(
                "this turn ran before and broke off", Verdict.MAYBE if state == "vanished" else Verdict.YES
            )
        if turn["print"] != fields["print"]:
            raise ConflictError("this turn id was used for another request")
        stream = fields["stream"]
        stream.use_run(turn["run"])
        for text, units in turn["pieces"]:
            stream.piece(text, units)
        stream.end(turn=request.body["turnId"], units=sum(units for _, units in turn["pieces"]), kept=True)
