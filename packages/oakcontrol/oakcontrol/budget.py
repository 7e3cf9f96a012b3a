"""Budgets: what a program may put out, over all gates and restarts.

Invariants of budget/P/G: a turn is admitted only while spent + all open reservations < limit, and reserves
the most it can put out; so the program puts out at most its limit and one turn more. Each turn has at
most one open reservation. A mark, once there, is the turn's final answer for its admission:
done and broken ran, refused and never did not, vanished may have.
"""
from schema import And, Or

from oakbase.checks import NAME, checkFields, whole
from oakbase.constants import BLUEPRINT_AGE, TURN_MARKS_KEPT, UNITS_LIMIT
from oakbase.verdict import BadRequest, CannotTell, Conflict, InProgress, Refused, Unknown
from oakcohort.members import SILENT
from oakcontrol.blueprint import newsOf
from oakcontrol.controllers import CONTROLLERS, Controller


TURN = And(str, len, error="must be LINE/TURN")


def _program(view, key):
    program = view.get(key)
    if program is None:
        raise Unknown("no such program")
    return program


def _markKey(key, turn):
    return f"{key}#turn/{turn}"


def _setMark(view, key, program, turn, **mark):
    program["marks"] += 1
    view.put(_markKey(key, turn), mark | {"number": program["marks"]})


def _reserved(program):
    return sum(row["reserve"] for row in program["open"].values())


def _shown(program):
    return {"limit": program["limit"], "spent": program["spent"], "reserved": _reserved(program),
            "open": len(program["open"])}


def _rulesOf(view, key):
    partner = key.split("/")[1]
    age, rest = newsOf(view.context.board, partner)
    if age > BLUEPRINT_AGE:
        raise CannotTell("the blueprint's news is too old, so the program was not opened", retryAfter=1)
    if rest is None:
        raise Unknown(f"no partner {partner}")
    return rest["programs"]


def _open(view, key, arguments):
    """A program that is there already is shown; else it takes its limit, or the plan's, within the plan's bound.
    The plan is looked at here, in the order of commands, so that the limit is of no older plan than the news of
    this node are old."""
    checkFields({"limit": Or(None, whole(1, UNITS_LIMIT))}, arguments)
    program, limit = view.get(key), arguments["limit"]
    if program is None:
        rules = _rulesOf(view, key)
        limit = limit or rules["defaultLimit"]
        if limit > rules["maxLimit"]:
            raise BadRequest(f"limit is above the plan's {rules['maxLimit']}")
        program = {"limit": limit, "spent": 0, "open": {}, "marks": 0, "forgotten": 0}
        view.put(key, program)
    if limit not in (None, program["limit"]):
        raise Conflict(f"the program is open already, with a limit of {program['limit']}")
    return _shown(program)


def _read(view, key, _arguments):
    return _shown(_program(view, key))


def _giveUp(view, key, program, turn):
    """The gate of this reservation is gone: what it reserved counts as spent."""
    row = program["open"].pop(turn)
    program["spent"] += row["reserve"]
    _setMark(view, key, program, turn, state="vanished", print=row["print"], admission=row["admission"],
             units=row["reserve"])
    view.put(key, program)


def _admit(view, key, arguments):
    checkFields({"turn": TURN, "print": str, "reserve": whole(1, UNITS_LIMIT), "admission": NAME, "gate": NAME,
                 "repeatable": bool}, arguments)
    program, turn = _program(view, key), arguments["turn"]
    row = program["open"].get(turn)
    if row and row["admission"] == arguments["admission"]:
        return {"state": "admitted", "reserve": row["reserve"]}
    if row and row["print"] != arguments["print"]:
        raise Conflict("this turn id is in use for another request")
    if row and view.context.members.condition(row["gate"]) != SILENT:
        raise InProgress("this turn is running", retryAfter=1)
    if row:
        _giveUp(view, key, program, turn)
    mark = view.get(_markKey(key, turn))
    if mark and mark["state"] != "never":
        if mark["print"] != arguments["print"]:
            raise Conflict("this turn id was used for another request")
        if mark["state"] in ("done", "refused"):
            return {"state": mark["state"]}
        if not arguments["repeatable"]:
            return {"state": mark["state"]}
    if mark and mark["state"] == "never" and mark["admission"] == arguments["admission"]:
        raise Refused("this admission was taken back before it came in")
    if program["spent"] + _reserved(program) >= program["limit"]:
        _setMark(view, key, program, turn, state="refused", print=arguments["print"],
                 admission=arguments["admission"], units=0)
        view.put(key, program)
        return {"state": "refused"}
    program["open"][turn] = {name: arguments[name] for name in ("print", "reserve", "admission", "gate")}
    view.put(key, program)
    return {"state": "admitted", "reserve": arguments["reserve"]}


def _settle(view, key, arguments):
    checkFields({"turn": TURN, "print": str, "admission": NAME, "units": whole(0, UNITS_LIMIT),
                 "outcome": lambda text: text in ("done", "broken", "never")}, arguments)
    program, turn = _program(view, key), arguments["turn"]
    row, mark = program["open"].get(turn), view.get(_markKey(key, turn))
    if row and row["admission"] == arguments["admission"]:
        del program["open"][turn]
        program["spent"] += arguments["units"]
    elif mark and mark["admission"] == arguments["admission"] and mark["state"] == "vanished":
        program["spent"] += arguments["units"] - mark["units"]  # the gate was only frozen
    elif row or mark or arguments["outcome"] != "never":
        return _shown(program)  # settled before
    if arguments["outcome"] == "never" and mark and mark["state"] != "never":
        view.put(key, program)  # what an earlier admission of the turn did stays known
        return _shown(program)
    _setMark(view, key, program, turn, state=arguments["outcome"], print=arguments["print"],
             admission=arguments["admission"], units=arguments["units"])
    view.put(key, program)
    return _shown(program)


def _sweep(view, key, _arguments):
    """Gives up reservations of gates that are long gone, and forgets the oldest marks past the bound."""
    program = _program(view, key)
    members = view.context.members
    for turn in [turn for turn, row in program["open"].items() if members.find(row["gate"]) is None]:
        if view.context.ageOf(f"{key}#gone/{turn}") > 0:
            _giveUp(view, key, program, turn)
    # Numbers only rise, so the count of marks need not be looked up while it cannot be over the bound.
    if program["marks"] - program["forgotten"] <= TURN_MARKS_KEPT:
        return
    numbered = sorted((view.get(markKey)["number"], markKey) for markKey in view.keys(f"{key}#turn/"))
    for _, markKey in numbered[:len(numbered) - TURN_MARKS_KEPT]:
        view.put(markKey, None)
    program["forgotten"] = program["marks"] - TURN_MARKS_KEPT
    view.put(key, program)


CONTROLLERS.enter("budget")(Controller(
    {"open": _open, "read": _read, "admit": _admit, "settle": _settle, "sweep": _sweep}, sweep="sweep"))
