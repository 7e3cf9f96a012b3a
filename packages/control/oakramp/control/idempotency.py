"""Claims: a plain request with a key runs at most once.

Invariants of claim/P/K: one claim holds the key at a time; `done` keeps its answer, if it is small enough; `back` tells
admissions that were taken back from later ones (oakramp/control/reservation_numbers.py); an entry is removed only when
this leader has counted the time below since its last change or since it took the shard over, whichever is later.

A claim whose gate has vanished stays claimed: its request may have run, and nobody will ever know. So the key is in
progress until the entry is let go, and never runs again within the window.
"""

from schema import Optional, Or

from oakramp.common.constants import CLAIM_KEPT
from oakramp.common.errors import ConflictError, InProgressError, RequestRejectedError
from oakramp.common.validation import NAME, check_fields
from oakramp.control.controllers import CONTROLLERS, Controller
from oakramp.control.reservation_numbers import NUMBER, is_back, note_back

ADMISSION = {"print": str, "admission": NAME, "gate": NAME, "number": NUMBER}


def _set(transaction, key, previous, **claim):
    transaction.put(key, {"back": (previous or {}).get("back", {})} | claim)
    transaction.context.touch(key)


def _claim(transaction, key, arguments):
    check_fields(ADMISSION, arguments)
    claim = transaction.get(key)
    if is_back(claim, arguments):
        raise RequestRejectedError("this claim was taken back before it came in")
    if claim and claim["state"] != "free" and claim["print"] != arguments["print"]:
        raise ConflictError("this key is in use for another body")
    if claim and claim["state"] == "done":
        return {"state": "done", "answer": claim["answer"]}
    if claim and claim["state"] == "claimed" and claim["admission"] != arguments["admission"]:
        raise InProgressError("this key is claimed; its request runs now or may have run", retry_after=1)
    _set(transaction, key, claim, state="claimed", print=arguments["print"], admission=arguments["admission"])
    return {"state": "claimed"}


def _finish(transaction, key, arguments):
    check_fields(ADMISSION | {Optional("answer"): Or(None, dict)}, arguments)
    claim = transaction.get(key)
    if claim and claim["state"] == "claimed" and claim["admission"] == arguments["admission"]:
        _set(transaction, key, claim, **(claim | {"state": "done", "answer": arguments.get("answer")}))
    return {}


def _free(transaction, key, arguments):
    """The request never left: the key may be claimed again, but not by this admission come late."""
    check_fields(ADMISSION, arguments)
    claim = transaction.get(key)
    if claim is None or claim["admission"] == arguments["admission"]:
        claim = {
            "state": "free",
            "print": arguments["print"],
            "admission": arguments["admission"],
            "back": (claim or {}).get("back", {}),
        }
    _set(transaction, key, claim, **(claim | {"back": note_back(transaction, claim, arguments)}))
    return {}


def _kept_for(context):
    """Seconds; at least twice the window in which a repeat must find the first, so that a repeat sent at its very end
    and held up on its way still does."""
    return max(CLAIM_KEPT, 2 * context.bounds.get("claim_window_s", 0))


def _cleanup(transaction, key, _arguments):
    if transaction.context.age_of(key) > _kept_for(transaction.context):
        transaction.put(key, None)
        transaction.context.marks.pop(key, None)


CONTROLLERS.enter("claim")(
    Controller(
        {"claim": _claim, "finish": _finish, "free": _free, "sweep": _cleanup}, cleanup="sweep", growing=("claim",)
    )
)
