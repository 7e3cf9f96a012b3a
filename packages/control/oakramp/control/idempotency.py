"""Idempotency keys: a plain request with a key runs at most once (`claim` on the wire).

A gateway claims the key as the last step before it sends the request, so a request that still waits for a replica holds
nothing, and its key is free for a repeat if the gateway ends.

Invariants of claim/P/K (partner P, idempotency key K): one claim holds the key at a time; a claim is given up only by
its own gateway, which never sent the request, whatever the other members believe of that gateway; a claim that comes
late or twice, after its gateway has given it up or has ended, does not take the key; in state `done` the response is
kept if it is known and small enough; `back` tells cancelled admissions from later ones
(oakramp/control/reservation_numbers.py); an entry is deleted only when this leader has counted the time of
`_retention_s` since its last change or since it became the shard's leader, whichever is later.

A claim whose gateway has ended before it reported the outcome stays, since the request may have been sent. A repeat
then gets OutcomeLostError, and the request never runs again within the window.
"""

from schema import Optional, Or

from oakramp.common.constants import CLAIM_KEPT, CLAIM_SEND_TIME
from oakramp.common.errors import ConflictError, InProgressError, OutcomeLostError, RequestRejectedError
from oakramp.common.validation import NAME, check_fields
from oakramp.control.controllers import CONTROLLERS, Controller
from oakramp.control.reservation_numbers import NUMBER, is_cancelled, record_cancelled
from oakramp.membership.members import SILENT

LOOK_UP = {"print": str}
ADMISSION = {"print": str, "admission": NAME, "gate": NAME, "number": NUMBER}


def _put_claim(transaction, key, previous, **claim):
    transaction.put(key, {"back": (previous or {}).get("back", {})} | claim)
    transaction.context.touch(key)


def _holder_is_at_work(context, key, claim):
    """Whether the gateway that claimed the key may still report the outcome, as far as this leader knows."""
    gateway = claim.get("gate")
    if gateway is None:  # written by an earlier release, which sent a claimed request within this time
        return context.age_of(key) <= CLAIM_SEND_TIME
    return context.members.condition(gateway) != SILENT


def _outcome(context, key, claim, fingerprint):
    """The kept outcome of the request that claimed the key, or None if the key is free.

    Raises:
        ConflictError: the key was claimed for another request.
        InProgressError: the request that claimed the key is at work.
        OutcomeLostError: that request may have run, and nobody is left to report its outcome.
    """
    if claim is None or claim["state"] == "free":
        return None
    if claim["print"] != fingerprint:
        raise ConflictError("this key is in use for a request with another body")
    if claim["state"] == "done":
        return {"state": "done", "answer": claim["answer"]}
    if _holder_is_at_work(context, key, claim):
        raise InProgressError("the request that claimed this key is at work", retry_after=1)
    raise OutcomeLostError("the gateway that claimed this key ended without a report; its request may have run")


def _look_up(transaction, key, arguments):
    """Reads what a claim would be answered, without claiming the key."""
    check_fields(LOOK_UP, arguments)
    return _outcome(transaction.context, key, transaction.get(key), arguments["print"]) or {"state": "free"}


def _claim(transaction, key, arguments):
    check_fields(ADMISSION, arguments)
    claim = transaction.get(key)
    if is_cancelled(claim, arguments):
        raise RequestRejectedError("this claim was cancelled before it arrived")
    if _is_held_by(claim, arguments):
        return {"state": "claimed"}
    if (outcome := _outcome(transaction.context, key, claim, arguments["print"])) is not None:
        return outcome
    if _has_ended(transaction.context, arguments["gate"]):
        raise RequestRejectedError("the gateway that asked for this claim has been silent since")
    _put_claim(
        transaction,
        key,
        claim,
        state="claimed",
        print=arguments["print"],
        admission=arguments["admission"],
        gate=arguments["gate"],
    )
    return {"state": "claimed"}


def _has_ended(context, gateway):
    """Whether this gateway was heard, and has been silent for so long that nobody waits for an answer."""
    members = context.members
    return context.knows_members() and members.find(gateway) is not None and members.condition(gateway) == SILENT


def _is_held_by(claim, arguments):
    return claim is not None and claim["state"] == "claimed" and claim["admission"] == arguments["admission"]


def _finish(transaction, key, arguments):
    """Ends a claim whose request was sent. Without an answer, the outcome is not known or is too large to keep."""
    check_fields(ADMISSION | {Optional("answer"): Or(None, dict)}, arguments)
    claim = transaction.get(key)
    if _is_held_by(claim, arguments):
        kept = {name: value for name, value in claim.items() if name != "gate"}  # nobody asks for it any more
        _put_claim(transaction, key, claim, **(kept | {"state": "done", "answer": arguments.get("answer")}))
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
        {"claim": _claim, "lookUp": _look_up, "finish": _finish, "free": _free, "sweep": _cleanup},
        cleanup="sweep",
        growing=("claim",),
    )
)
