"""Budgets: the output units that a program may use, across all gateways and restarts.

Invariants of the key budget/P/G (partner P, program G): a turn is admitted only while spent + all open reservations <
limit, and reserves the most units it can output; so the program outputs at most its limit plus one turn. Each turn has
at most one open reservation. A turn record, once written, is kept as long as the program, and a program has at most
TURNS_LIMIT of them. Its state is the outcome of the turn: `done` and `broken` ran, `refused` and `never` did not,
`vanished` may have run.

A turn record also keeps, in `back`, the highest number of a cancelled admission for each gateway. A gateway numbers
its admissions, so a cancelled one that arrives late can be told from a new one, whatever arrived in between.

A program is ended by its caller, its operator, or the plan's `endAfterIdle`. From then on it is `ending`: it admits
nothing, open reservations may still be settled, and its turn records are deleted page by page. Then the program itself
is deleted, and 8 bytes of its hash are kept forever in its shard's entries of ended programs, since a spent budget must
never be opened again. On a hash collision the second program is rejected; it never gets a second budget.
"""

from hashlib import blake2b
from itertools import islice

from schema import And, Or

from oakramp.common.constants import BLUEPRINT_AGE, ENDED_PROGRAM_RECORDS, TURNS_LIMIT, UNITS_LIMIT
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
from oakramp.control.plan import gossiped_plan
from oakramp.control.reservation_numbers import NUMBER, is_cancelled, record_cancelled
from oakramp.membership.members import SILENT

TURN = And(str, len, error="must be LINE/TURN")


def _ended_key(key):
    """(entry, hash): the entry that lists a program of this shard once it has ended, and its hash there."""
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


def _turn_record_key(key, turn):
    return f"{key}#turn/{turn}"


def _put_turn_record(transaction, key, turn, **record):
    previous = transaction.get(_turn_record_key(key, turn)) or {}
    transaction.put(_turn_record_key(key, turn), {"back": previous.get("back", {})} | record)


def _cancel_admission(transaction, key, program, turn, arguments):
    """Records that this admission will not be executed; the outcome of an earlier admission of the turn is kept."""
    record = transaction.get(_turn_record_key(key, turn))
    if record is None and turn not in program["open"]:
        if program["turns"] >= TURNS_LIMIT:
            return  # a late admission of a turn without a record is rejected by the limit on turns anyway
        program["turns"] += 1
    record = record or {"state": "never", "print": arguments["print"], "admission": arguments["admission"], "units": 0}
    transaction.put(_turn_record_key(key, turn), record | {"back": record_cancelled(transaction, record, arguments)})


def _reserved(program):
    return sum(row["reserve"] for row in program["open"].values())


def _status(program):
    return {
        "state": "ending" if program.get("ending") else "open",
        "limit": program["limit"],
        "spent": program["spent"],
        "reserved": _reserved(program),
        "open": len(program["open"]),
    }


def _program_rules(transaction, key):
    partner = key.split("/")[1]
    age, rest = gossiped_plan(transaction.context.state_table, partner)
    if age > BLUEPRINT_AGE:
        raise QuorumUnavailableError(
            "this node's copy of the blueprint is too old, so the program was not opened", retry_after=1
        )
    if rest is None:
        raise NotFoundError(f"no partner {partner}")
    return rest["programs"]


def _open(transaction, key, arguments):
    """Opens a program, or returns the status of one that exists. The limit is the given one or the plan's default, and
    at most the plan's maximum. The plan is read when the command runs, so that the limit comes from a plan that is no
    older than this node's gossiped copy of it."""
    check_fields({"limit": Or(None, whole(1, UNITS_LIMIT))}, arguments)
    program, limit = transaction.get(key), arguments["limit"]
    if (program is None and _has_ended(transaction, key)) or (program or {}).get("ending"):
        raise ProgramEndedError("this program has ended, and its budget cannot be opened again")
    if program is None:
        rules = _program_rules(transaction, key)
        limit = limit or rules["defaultLimit"]
        if limit > rules["maxLimit"]:
            raise BadRequestError(f"limit is above the plan's maxLimit of {rules['maxLimit']}")
        program = {"limit": limit, "spent": 0, "open": {}, "turns": 0}
        transaction.put(key, program)
        transaction.context.touch(key)
    if limit not in (None, program["limit"]):
        raise ConflictError(f"the program is already open with a limit of {program['limit']}")
    return _status(program)


def _read(transaction, key, _arguments):
    return _status(_program(transaction, key))


def _expire_reservation(transaction, key, program, turn):
    """Closes the reservation of a gateway that is gone: the reserved units count as spent."""
    row = program["open"].pop(turn)
    program["spent"] += row["reserve"]
    _put_turn_record(
        transaction, key, turn, state="vanished", print=row["print"], admission=row["admission"], units=row["reserve"]
    )
    transaction.put(key, program)


def _is_running(transaction, row):
    """Whether the gateway of an open reservation may still be at work on its turn, as far as this leader knows."""
    return row is not None and transaction.context.members.condition(row["gate"]) != SILENT


LOOK_UP = {"turn": TURN, "print": str, "repeatable": bool}


def _look_up(transaction, key, arguments):
    """Reads what is known of a turn, without admitting it; `free` if it may be asked to be admitted."""
    check_fields(LOOK_UP, arguments)
    program, turn = _running(transaction, key), arguments["turn"]
    row, record = program["open"].get(turn), transaction.get(_turn_record_key(key, turn))
    known = row or (record if record and record["state"] != "never" else None)
    if known is None:
        return {"state": "free"}
    if known["print"] != arguments["print"]:
        raise ConflictError("this turn id is in use for another request")
    if _is_running(transaction, row):
        raise InProgressError("this turn is running", retry_after=1)
    state = "vanished" if row else record["state"]
    return {"state": "free" if arguments["repeatable"] and state in ("broken", "vanished") else state}


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
    row, record = program["open"].get(turn), transaction.get(_turn_record_key(key, turn))
    if is_cancelled(record, arguments):
        raise RequestRejectedError("this admission was cancelled before it arrived")
    if row and row["admission"] == arguments["admission"]:
        return {"state": "admitted", "reserve": row["reserve"]}
    if row and row["print"] != arguments["print"]:
        raise ConflictError("this turn id is in use for another request")
    if _is_running(transaction, row):
        raise InProgressError("this turn is running", retry_after=1)
    if row:
        _expire_reservation(transaction, key, program, turn)
        record = transaction.get(_turn_record_key(key, turn))
    if record and record["state"] != "never":
        if record["print"] != arguments["print"]:
            raise ConflictError("this turn id was used for another request")
        if record["state"] in ("done", "refused"):
            return {"state": record["state"]}
        if not arguments["repeatable"]:
            return {"state": record["state"]}
    if record is None and program["turns"] >= TURNS_LIMIT:
        raise ConflictError(f"a program has at most {TURNS_LIMIT} turns; open another one")
    program["turns"] += record is None
    if program["spent"] + _reserved(program) >= program["limit"]:
        _put_turn_record(
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
    row, record = program["open"].get(turn), transaction.get(_turn_record_key(key, turn))
    if row and row["admission"] == arguments["admission"]:
        del program["open"][turn]
        program["spent"] += arguments["units"]
    elif record and record["admission"] == arguments["admission"] and record["state"] == "vanished":
        program["spent"] += (
            arguments["units"] - record["units"]
        )  # the gateway was only paused: its real use replaces the reserve
    elif arguments["outcome"] != "never":
        return _status(program)  # already settled
    if arguments["outcome"] == "never":
        _cancel_admission(transaction, key, program, turn, arguments)
        transaction.put(key, program)
        return _status(program)
    _put_turn_record(
        transaction,
        key,
        turn,
        state=arguments["outcome"],
        print=arguments["print"],
        admission=arguments["admission"],
        units=arguments["units"],
    )
    transaction.put(key, program)
    return _status(program)


def _end(transaction, key, _arguments):
    """Ends a program on request. Idempotent."""
    if transaction.get(key) is None and _has_ended(transaction, key):
        return {"state": "ended"}
    program = _program(transaction, key)
    if not program.get("ending"):
        program["ending"] = True
        transaction.put(key, program)
    return _status(program)


def _continue_ending(transaction, key):
    """Deletes turn records first, one page a call; then the program is deleted and listed as ended in one step."""
    record_keys = list(islice(transaction.committed_keys(f"{key}#"), ENDED_PROGRAM_RECORDS))
    for record_key in record_keys:
        transaction.put(record_key, None)
    if record_keys:
        return
    entry, digest = _ended_key(key)
    transaction.put(entry, sorted({*(transaction.get(entry) or ()), digest}))
    transaction.put(key, None)
    transaction.context.local_state.pop(key, None)


def _is_idle(transaction, key):
    _, rest = gossiped_plan(transaction.context.state_table, key.split("/")[1])
    idle_limit = (rest or {}).get("programs", {}).get("endAfterIdle")
    return idle_limit is not None and transaction.context.age_of(key) > idle_limit


def _cleanup(transaction, key, _arguments):
    """Closes reservations of gateways that have left the membership, and ends programs that are idle or ending."""
    program = transaction.get(key)
    if program is None:
        return
    if program.get("ending") and not program["open"]:
        _continue_ending(transaction, key)
        return
    if not program["open"] and _is_idle(transaction, key):
        _end(transaction, key, {})
        return
    members = transaction.context.members
    for turn in [turn for turn, row in program["open"].items() if members.find(row["gate"]) is None]:
        if transaction.context.age_of(f"{key}#gone/{turn}") > 0:
            _expire_reservation(transaction, key, program, turn)


CONTROLLERS.enter("budget")(
    Controller(
        {
            "open": _open,
            "read": _read,
            "end": _end,
            "admit": _admit,
            "lookUp": _look_up,
            "settle": _settle,
            "sweep": _cleanup,
        },
        cleanup="sweep",
        growing=("open", "admit"),
    )
)
CONTROLLERS.enter("ended")(Controller({}))  # entries of no key of their own: only commands of budgets change them
