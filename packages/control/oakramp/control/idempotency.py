"""Idempotency keys: a plain request with a key runs at most once (`claim` on the wire).

Invariants of claim/P/K (partner P, idempotency key K): one claim holds the key at a time; in state `done` the answer is
kept if it is small enough; `back` tells cancelled admissions from later ones
(oakramp/control/reservation_numbers.py); an entry is deleted only when this leader has counted the time of
`_retention_s` since its last change or since it became the shard's leader, whichever is later.

A claim whose gateway has vanished stays claimed, since it is unknown whether its request ran. Until the entry is
deleted the key is reported as in progress, and its request never runs again within the window.
"""

from schema import Optional, Or

from oakramp.common.constants import CLAIM_KEPT
from oakramp.common.errors import ConflictError, InProgressError, RequestRejectedError
from oakramp.common.validation import NAME, check_fields
from oakramp.control.controllers import CONTROLLERS, Controller
from oakramp.control.reservation_numbers import NUMBER, is_cancelled, record_cancelled

ADMISSION = {"print": str, "admission": NAME, "gate": NAME, "number": NUMBER}


def _put_claim(transaction, key, previous, **claim):
    transaction.put(key, {"back": (previous or {}).get("back", {})} | claim)
    transaction.context.touch(key)


def _claim(transaction, key, arguments):
    check_fields(ADMISSION, arguments)
    claim = transaction.get(key)
    if is_cancelled(claim, arguments):
        raise RequestRejectedError("this claim was cancelled before it arrived")
    if claim and claim["state"] != "free" and claim["print"] != arguments["print"]:
        raise ConflictError("this key is in use for a request with another body")
    if claim and claim["state"] == "done":
        return {"state": "done", "answer": claim["answer"]}
    if claim and claim["state"] == "claimed" and claim["admission"] != arguments["admission"]:
        raise InProgressError("this key is claimed; its request is running or may have run", retry_after=1)
    _put_claim(transaction, key, claim, state="claimed", print=arguments["print"], admission=arguments["admission"])
    return {"state": "claimed"}


def _finish(transaction, key, arguments):
    check_fields(ADMISSION | {Optional("answer"): Or(None, dict)}, arguments)
    claim = transaction.get(key)
    if claim and claim["state"] == "claimed" and claim["admission"] == arguments["admission"]:
        _put_claim(transaction, key, claim, **(claim | {"state": "done", "answer": arguments.get("answer")}))
    return {}


def _free(transaction, key, arguments):
    """Frees the key of a request that was never sent: it may be claimed again, but not by a late copy of this one."""
    check_fields(ADMISSION, arguments)
    claim = transaction.get(key)
    if claim is None or claim["admission"] == arguments["admission"]:
        claim = {
            "state": "free",
            "print": arguments["print"],
            "admission": arguments["admission"],
            "back": (claim or {}).get("back", {}),
        }
    _put_claim(transaction, key, claim, **(claim | {"back": record_cancelled(transaction, claim, arguments)}))
    return {}


def _retention_s(context):
    """Seconds that an entry is kept: at least twice the window in which a repeat must find the first request, so that a
    repeat sent at the end of the window and delayed on its way still finds it."""
    return max(CLAIM_KEPT, 2 * context.bounds.get("claim_window_s", 0))


def _cleanup(transaction, key, _arguments):
    if transaction.context.age_of(key) > _retention_s(transaction.context):
        transaction.put(key, None)
        transaction.context.local_state.pop(key, None)


CONTROLLERS.enter("claim")(
    Controller(
        {"claim": _claim, "finish": _finish, "free": _free, "sweep": _cleanup}, cleanup="sweep", growing=("claim",)
    )
)
