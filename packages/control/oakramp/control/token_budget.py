"""Allowances: what a program may put out when its limit comes with each of its turns, over all gates.

Invariants of allowance/PROGRAM, a row {limit, spent, open: {turn: [reserve, gate]}, closed: [turn], refused: [turn]}:
- a turn is admitted only while spent + all open reserves < limit, and reserves the most it can put out; so the program
  puts out at most its limit and one turn more;
- a turn is in one of open, closed and refused, and never goes back to open: a copy of its admission that comes late
  finds what became of it. Of closed and refused turns the last ALLOWANCE_CLOSED are kept; a copy that is later still
  would only reserve, which spends too much and never too little;
- the limit is the smallest that any turn has named: it is one figure of one program, so where two differ one is wrong,
  and only the smaller keeps both promises, in whatever order they come;
- what a vanished gate has reserved is spent, since nobody knows how much of it was put out.

A row goes when nothing is open and this leader has counted ALLOWANCE_KEPT seconds since its last change or since it
took the shard over, whichever is later.
"""

from schema import And

from oakramp.common.constants import ALLOWANCE_CLOSED, ALLOWANCE_KEPT, ALLOWANCE_OPEN, CONDITION_AGE, UNITS_LIMIT
from oakramp.common.errors import BadRequestError, InProgressError, NotFoundError, OverloadedError, RequestRejectedError
from oakramp.common.validation import NAME, check_fields, whole
from oakramp.control.controllers import CONTROLLERS, Controller

TURN = And(str, len, error="must be a turn's id")
ADMISSION = {"turn": TURN, "reserve": whole(1, UNITS_LIMIT), "limit": whole(0, UNITS_LIMIT), "gate": NAME}
NEW = {"limit": None, "spent": 0, "open": {}, "closed": [], "refused": []}


def _reserved(row):
    return sum(reserve for reserve, _ in row["open"].values())


def _put(transaction, key, row):
    transaction.put(key, row)
    transaction.context.touch(key)


def _noted(turns, turn):
    return [*turns, turn][-ALLOWANCE_CLOSED:]


def _admit(transaction, key, arguments):
    check_fields(ADMISSION, arguments)
    row, turn = transaction.get(key) or NEW, arguments["turn"]
    if turn in row["open"] and row["open"][turn][1] != arguments["gate"]:
        raise InProgressError("this turn is under way at another gate", retry_after=1)
    if turn in row["open"]:
        return {"state": "admitted"}
    if turn in row["closed"]:
        raise RequestRejectedError("this turn was settled before its admission came in")
    if turn in row["refused"]:
        return {"state": "refused"}
    if len(row["open"]) >= ALLOWANCE_OPEN:
        raise OverloadedError("too many turns of this program are under way", retry_after=1)
    named = (row["limit"], arguments["limit"])
    row = row | {"limit": min(limit for limit in named if limit is not None)}
    if row["spent"] + _reserved(row) >= row["limit"]:
        _put(transaction, key, row | {"refused": _noted(row["refused"], turn)})
        return {"state": "refused"}
    _put(transaction, key, row | {"open": row["open"] | {turn: [arguments["reserve"], arguments["gate"]]}})
    return {"state": "admitted"}


def _settle(transaction, key, arguments):
    """Turns that have ended, with the units they put out; 0 of one that never ran. What was settled before stays as it
    is. Of a turn that is neither open nor known, what it is said to have put out counts: too much is safe."""
    check_fields({"settled": list}, arguments)
    if not all(_is_settlement(one) for one in arguments["settled"]):
        raise BadRequestError("settled: must be pairs of a turn and its units")
    row = transaction.get(key) or NEW
    for turn, units in arguments["settled"]:
        if turn in row["closed"] or turn in row["refused"]:
            continue
        row = _closed(row, turn, units)
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


def _closed(row, turn, units):
    return row | {
        "spent": row["spent"] + units,
        "closed": _noted(row["closed"], turn),
        "open": {other: reservation for other, reservation in row["open"].items() if other != turn},
    }


def _read(transaction, key, _arguments):
    row = transaction.get(key)
    if row is None:
        raise NotFoundError("no such program")
    return {"limit": row["limit"], "spent": row["spent"], "reserved": _reserved(row), "open": len(row["open"])}


def _cleanup(transaction, key, _arguments):
    """Gives up reservations of gates that are long gone, and rows that nobody has used for long."""
    row, context = transaction.get(key), transaction.context
    if row is None:
        return
    if not row["open"] and context.age_of(key) > ALLOWANCE_KEPT:
        transaction.put(key, None)
        context.marks.pop(key, None)
        return
    unheard = {gate: f"{key}#gone/{gate}" for _, gate in row["open"].values() if context.members.find(gate) is None}
    gone = {gate for gate, mark in unheard.items() if context.age_of(mark) > CONDITION_AGE}
    given_up = [turn for turn, (_, gate) in row["open"].items() if gate in gone]
    for turn in given_up:
        row = _closed(row, turn, row["open"][turn][0])
    if given_up:
        _put(transaction, key, row)
    for gate in gone:
        context.marks.pop(unheard[gate], None)


CONTROLLERS.enter("allowance")(
    Controller(
        {"admit": _admit, "settle": _settle, "read": _read, "sweep": _cleanup},
        cleanup="sweep",
        growing=("admit",),
        deferrable=("settle",),
    )
)
