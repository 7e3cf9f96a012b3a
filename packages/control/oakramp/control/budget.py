"""Budgets: what a program may put out, over all gates and restarts.

Invariants of budget/P/G: a turn is admitted only while spent + all open reservations < limit, and reserves
the most it can put out; so the program puts out at most its limit and one turn more. Each turn has at
most one open reservation. A mark, once there, stays as long as the program, and a program has at most TURNS_LIMIT of
them; it says what became of the turn: done and broken ran, refused and never did not, vanished may have.

A mark also keeps, in `back`, the highest number of an admission that each gate has taken back: a gate numbers its
admissions, so one that was taken back and comes in late is told from one that is new, whatever came in between.

A program is ended by its caller, its operator, or the plan's `endAfterIdle`. From then on it is `ending`: it admits
nothing, what is open may still settle, and its marks go page by page. Then it is one of its shard's ended ones, of
which 8 bytes of hash stay for ever: a budget that is spent must never start anew. Two names with one hash cost one of
them a no; never a second budget.
"""

from hashlib import blake2b
from itertools import islice

from schema import And, Or

from oakramp.common.constants import BLUEPRINT_AGE, ENDING_MARKS, TURNS_LIMIT, UNITS_LIMIT
from oakramp.common.errors import (
    BadRequestError,
    ConflictError,
    InProgressError,
    NotFoundError,
    ProgramEndedError,
    QuorumUnavailableError,
    RequestRejectedError,
)
from oakramp.common.validation import NAME, check_fields, whole
from oakramp.control.controllers import CONTROLLERS, Controller
from oakramp.control.plan import news_of
from oakramp.control.reservation_numbers import NUMBER, is_back, note_back
from oakramp.membership.members import SILENT

TURN = And(str, len, error="must be LINE/TURN")


def _ended_key(key):
    """(entry, hash): where a program of this shard is remembered once it has ended."""
    digest = blake2b(key.encode(), digest_size=8).hexdigest()
    return f"ended#{digest[:2]}", digest


def _has_ended(transaction, key):
    entry, digest = _ended_key(key)
    return digest in (transaction.get(entry) or ())


def _program(transaction, key):
    program = transaction.get(key)
    if program is None and _has_ended(transaction, key):
        raise ProgramEndedError("this program has ended")
    if program is None:
        raise NotFoundError("no such program")
    return program


def _running(transaction, key):
    program = _program(transaction, key)
    if program.get("ending"):
        raise ProgramEndedError("this program has ended")
    return program


def _mark_key(key, turn):
    return f"{key}#turn/{turn}"


def _set_mark(transaction, key, turn, **mark):
    previous = transaction.get(_mark_key(key, turn)) or {}
    transaction.put(_mark_key(key, turn), {"back": previous.get("back", {})} | mark)


def _take_back(transaction, key, program, turn, arguments):
    """Notes that this admission will not be carried; what an earlier one of the turn did stays known."""
    mark = transaction.get(_mark_key(key, turn))
    if mark is None and turn not in program["open"]:
        if program["turns"] >= TURNS_LIMIT:
            return  # a late admission of a turn that has no mark is refused for that already
        program["turns"] += 1
    mark = mark or {"state": "never", "print": arguments["print"], "admission": arguments["admission"], "units": 0}
    transaction.put(_mark_key(key, turn), mark | {"back": note_back(transaction, mark, arguments)})


def _reserved(program):
    return sum(row["reserve"] for row in program["open"].values())


def _shown(program):
    return {
        "state": "ending" if program.get("ending") else "open",
        "limit": program["limit"],
        "spent": program["spent"],
        "reserved": _reserved(program),
        "open": len(program["open"]),
    }


def _rules_of(transaction, key):
    partner = key.split("/")[1]
    age, rest = news_of(transaction.context.state_table, partner)
    if age > BLUEPRINT_AGE:
        raise QuorumUnavailableError("the blueprint's news is too old, so the program was not opened", retry_after=1)
    if rest is None:
        raise NotFoundError(f"no partner {partner}")
    return rest["programs"]


def _open(transaction, key, arguments):
    """A program that is there already is shown; else it takes its limit, or the plan's, within the plan's bound.
    The plan is looked at here, in the order of commands, so that the limit is of no older plan than the news of
    this node are old."""
    check_fields({"limit": Or(None, whole(1, UNITS_LIMIT))}, arguments)
    program, limit = transaction.get(key), arguments["limit"]
    if (program is None and _has_ended(transaction, key)) or (program or {}).get("ending"):
        raise ProgramEndedError("this program has ended, and its budget never starts anew")
    if program is None:
        rules = _rules_of(transaction, key)
        limit = limit or rules["defaultLimit"]
        if limit > rules["maxLimit"]:
            raise BadRequestError(f"limit is above the plan's {rules['maxLimit']}")
        program = {"limit": limit, "spent": 0, "open": {}, "turns": 0}
        transaction.put(key, program)
        transaction.context.touch(key)
    if limit not in (None, program["limit"]):
        raise ConflictError(f"the program is open already, with a limit of {program['limit']}")
    return _shown(program)


def _read(transaction, key, _arguments):
    return _shown(_program(transaction, key))


def _give_up(transaction, key, program, turn):
    """The gate of this reservation is gone: what it reserved counts as spent."""
    row = program["open"].pop(turn)
    program["spent"] += row["reserve"]
    _set_mark(
        transaction, key, turn, state="vanished", print=row["print"], admission=row["admission"], units=row["reserve"]
    )
    transaction.put(key, program)


def _admit(transaction, key, arguments):
    check_fields(
        {
            "turn": TURN,
            "print": str,
            "reserve": whole(1, UNITS_LIMIT),
            "admission": NAME,
            "gate": NAME,
            "number": NUMBER,
            "repeatable": bool,
        },
        arguments,
    )
    program, turn = _running(transaction, key), arguments["turn"]
    transaction.context.touch(key)
    row, mark = program["open"].get(turn), transaction.get(_mark_key(key, turn))
    if is_back(mark, arguments):
        raise RequestRejectedError("this admission was taken back before it came in")
    if row and row["admission"] == arguments["admission"]:
        return {"state": "admitted", "reserve": row["reserve"]}
    if row and row["print"] != arguments["print"]:
        raise ConflictError("this turn id is in use for another request")
    if row and transaction.context.members.condition(row["gate"]) != SILENT:
        raise InProgressError("this turn is running", retry_after=1)
    if row:
        _give_up(transaction, key, program, turn)
        mark = transaction.get(_mark_key(key, turn))
    if mark and mark["state"] != "never":
        if mark["print"] != arguments["print"]:
            raise ConflictError("this turn id was used for another request")
        if mark["state"] in ("done", "refused"):
            return {"state": mark["state"]}
        if not arguments["repeatable"]:
            return {"state": mark["state"]}
    if mark is None and program["turns"] >= TURNS_LIMIT:
        raise ConflictError(f"a program has at most {TURNS_LIMIT} turns; open another one")
    program["turns"] += mark is None
    if program["spent"] + _reserved(program) >= program["limit"]:
        _set_mark(
            transaction, key, turn, state="refused", print=arguments["print"], admission=arguments["admission"], units=0
        )
        transaction.put(key, program)
        return {"state": "refused"}
    program["open"][turn] = {name: arguments[name] for name in ("print", "reserve", "admission", "gate")}
    transaction.put(key, program)
    return {"state": "admitted", "reserve": arguments["reserve"]}


def _settle(transaction, key, arguments):
    check_fields(
        {
            "turn": TURN,
            "print": str,
            "admission": NAME,
            "gate": NAME,
            "number": NUMBER,
            "units": whole(0, UNITS_LIMIT),
            "outcome": lambda text: text in ("done", "broken", "never"),
        },
        arguments,
    )
    if transaction.get(key) is None and _has_ended(transaction, key):
        return {"state": "ended"}
    transaction.context.touch(key)
    program, turn = _program(transaction, key), arguments["turn"]
    row, mark = program["open"].get(turn), transaction.get(_mark_key(key, turn))
    if row and row["admission"] == arguments["admission"]:
        del program["open"][turn]
        program["spent"] += arguments["units"]
    elif mark and mark["admission"] == arguments["admission"] and mark["state"] == "vanished":
        program["spent"] += arguments["units"] - mark["units"]  # the gate was only frozen
    elif arguments["outcome"] != "never":
        return _shown(program)  # settled before
    if arguments["outcome"] == "never":
        _take_back(transaction, key, program, turn, arguments)
        transaction.put(key, program)
        return _shown(program)
    _set_mark(
        transaction,
        key,
        turn,
        state=arguments["outcome"],
        print=arguments["print"],
        admission=arguments["admission"],
        units=arguments["units"],
    )
    transaction.put(key, program)
    return _shown(program)


def _end(transaction, key, _arguments):
    """The end of a program, asked for; safe to ask again."""
    if transaction.get(key) is None and _has_ended(transaction, key):
        return {"state": "ended"}
    program = _program(transaction, key)
    if not program.get("ending"):
        program["ending"] = True
        transaction.put(key, program)
    return _shown(program)


def _go_on_ending(transaction, key):
    """The marks go first, a page at a time; the program and its place among the ended ones change in one step."""
    marks = list(islice(transaction.committed_keys(f"{key}#"), ENDING_MARKS))
    for mark_key in marks:
        transaction.put(mark_key, None)
    if marks:
        return
    entry, digest = _ended_key(key)
    transaction.put(entry, sorted({*(transaction.get(entry) or ()), digest}))
    transaction.put(key, None)
    transaction.context.marks.pop(key, None)


def _is_idle(transaction, key):
    _, rest = news_of(transaction.context.state_table, key.split("/")[1])
    longest = (rest or {}).get("programs", {}).get("endAfterIdle")
    return longest is not None and transaction.context.age_of(key) > longest


def _cleanup(transaction, key, _arguments):
    """Gives up reservations of gates that are long gone, and ends programs that are over."""
    program = transaction.get(key)
    if program is None:
        return
    if program.get("ending") and not program["open"]:
        _go_on_ending(transaction, key)
        return
    if not program["open"] and _is_idle(transaction, key):
        _end(transaction, key, {})
        return
    members = transaction.context.members
    for turn in [turn for turn, row in program["open"].items() if members.find(row["gate"]) is None]:
        if transaction.context.age_of(f"{key}#gone/{turn}") > 0:
            _give_up(transaction, key, program, turn)


CONTROLLERS.enter("budget")(
    Controller(
        {"open": _open, "read": _read, "end": _end, "admit": _admit, "settle": _settle, "sweep": _cleanup},
        cleanup="sweep",
        growing=("open", "admit"),
    )
)
CONTROLLERS.enter("ended")(Controller({}))  # rows that hang on no key: only commands of budgets touch them
