"""Token budgets of programs whose limit comes with each turn, across all gateways (`allowance` on the wire).

Invariants of allowance/PROGRAM, a row {limit, spent, open: {turn: [reserve, gate]}, closed: [turn], refused: [turn]}:
- a turn is admitted only while spent + all open reservations < limit, and reserves the most units it can output; so the
  program outputs at most its limit plus one turn;
- a turn is in one of open, closed and refused, and never returns to open: a late copy of its admission gets the outcome
  of the turn. Only the last ALLOWANCE_CLOSED closed and refused turns are kept; a copy that arrives even later would
  only add a reservation, so that too much counts as spent, never too little;
- the limit is the smallest that any turn has given: a program has one limit, so if two differ one of them is wrong, and
  only the smaller one satisfies both, in whatever order they arrive;
- the reservations of a vanished gateway count as spent, since it is unknown how much of them was output.

A row is deleted when no turn is open and this leader has counted ALLOWANCE_KEPT seconds since the row's last change or
since it became the shard's leader, whichever is later.
"""

from schema import And

from oakramp.common.constants import ALLOWANCE_CLOSED, ALLOWANCE_KEPT, ALLOWANCE_OPEN, LIVENESS_AGE, UNITS_LIMIT
from oakramp.common.errors import BadRequestError, InProgressError, NotFoundError, OverloadedError, RequestRejectedError
from oakramp.common.validation import NAME, check_fields, whole
from oakramp.control.controllers import CONTROLLERS, Controller

TURN = And(str, len, error="must be a turn id")
ADMISSION = {"turn": TURN, "reserve": whole(1, UNITS_LIMIT), "limit": whole(0, UNITS_LIMIT), "gate": NAME}
EMPTY_ROW = {"limit": None, "spent": 0, "open": {}, "closed": [], "refused": []}


def _reserved(row):
    return sum(reserve for reserve, _ in row["open"].values())


def _put(transaction, key, row):
    transaction.put(key, row)
    transaction.context.touch(key)


def _append_recent(turns, turn):
    return [*turns, turn][-ALLOWANCE_CLOSED:]


def _admit(transaction, key, arguments):
    check_fields(ADMISSION, arguments)
    row, turn = transaction.get(key) or EMPTY_ROW, arguments["turn"]
    if turn in row["open"] and row["open"][turn][1] != arguments["gate"]:
        raise InProgressError("this turn is running at another gateway", retry_after=1)
    if turn in row["open"]:
        return {"state": "admitted"}
    if turn in row["closed"]:
        raise RequestRejectedError("this turn was settled before its admission arrived")
    if turn in row["refused"]:
        return {"state": "refused"}
    if len(row["open"]) >= ALLOWANCE_OPEN:
        raise OverloadedError("too many turns of this program are running", retry_after=1)
    limits = (row["limit"], arguments["limit"])
    row = row | {"limit": min(limit for limit in limits if limit is not None)}
    if row["spent"] + _reserved(row) >= row["limit"]:
        _put(transaction, key, row | {"refused": _append_recent(row["refused"], turn)})
        return {"state": "refused"}
    _put(transaction, key, row | {"open": row["open"] | {turn: [arguments["reserve"], arguments["gate"]]}})
    return {"state": "admitted"}


def _settle(transaction, key, arguments):
    """Settles ended turns, given with the units that they output; 0 for one that never ran. A turn that is already
    settled stays unchanged. For a turn that is neither open nor known, the given units count: too much is safe."""
    check_fields({"settled": list}, arguments)
    if not all(_is_settlement(one) for one in arguments["settled"]):
        raise BadRequestError("settled: must be pairs of a turn and its units")
    row = transaction.get(key) or EMPTY_ROW
    for turn, units in arguments["settled"]:
        if turn in row["closed"] or turn in row["refused"]:
            continue
        row = _close_turn(row, turn, units)
    _put(transaction, key, row)
    return {}


def _is_settlement(one):
    return (
        isinstance(one, list)
        and len(one) == 2
        and isinstance(one[0], str)
        and bool(one[0])
        and type(one[1]) is int
        and 0 <= one[1] <= UNITS_LIMIT
    )


def _close_turn(row, turn, units):
    return row | {
        "spent": row["spent"] + units,
        "closed": _append_recent(row["closed"], turn),
        "open": {other: reservation for other, reservation in row["open"].items() if other != turn},
    }


def _read(transaction, key, _arguments):
    row = transaction.get(key)
    if row is None:
        raise NotFoundError("no such program")
    return {"limit": row["limit"], "spent": row["spent"], "reserved": _reserved(row), "open": len(row["open"])}


def _cleanup(transaction, key, _arguments):
    """Closes reservations of gateways that left more than LIVENESS_AGE ago, and deletes a row unused for long."""
    row, context = transaction.get(key), transaction.context
    if row is None:
        return
    if not row["open"] and context.age_of(key) > ALLOWANCE_KEPT:
        transaction.put(key, None)
        context.local_state.pop(key, None)
        return
    absence_marks = {
        gate: f"{key}#gone/{gate}" for _, gate in row["open"].values() if context.members.find(gate) is None
    }
    gone = {gate for gate, mark in absence_marks.items() if context.age_of(mark) > LIVENESS_AGE}
    expired = [turn for turn, (_, gate) in row["open"].items() if gate in gone]
    for turn in expired:
        row = _close_turn(row, turn, row["open"][turn][0])
    if expired:
        _put(transaction, key, row)
    for gate in gone:
        context.local_state.pop(absence_marks[gate], None)


CONTROLLERS.enter("allowance")(
    Controller(
        {"admit": _admit, "settle": _settle, "read": _read, "sweep": _cleanup},
        cleanup="sweep",
        growing=("admit",),
        deferrable=("settle",),
    )
)
