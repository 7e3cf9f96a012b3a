"""The verdict type and the exception tree.

Invariant: an error says NO only if the request has not run and never will; MAYBE whenever that is
not known; YES when it ran (in part or whole). Unknown is never NO.
"""

from enum import Enum


class Verdict(str, Enum):
    NO = "no"
    MAYBE = "maybe"
    YES = "yes"


class OakError(Exception):
    """Root of the tree. `status` is the HTTP status a caller sees, `code` the short name in JSON."""

    status = 500
    code = "internal"
    verdict = Verdict.MAYBE

    def __init__(self, reason="", verdict=None, retry_after=None, detail=None):
        super().__init__(reason or self.code)
        self.reason = reason or self.code
        self.verdict = verdict or type(self).verdict
        self.retry_after = retry_after
        self.detail = detail

    def to_json(self):
        shown = {"error": self.code, "reason": self.reason, "verdict": self.verdict.value}
        return shown | ({"detail": self.detail} if self.detail is not None else {})


class Refused(OakError):
    """Said before anything was done: never ran, never will."""

    verdict = Verdict.NO
    status = 400
    code = "refused"


class BadRequest(Refused):
    code = "badRequest"


class TooLarge(Refused):
    status = 413
    code = "tooLarge"


class Unknown(Refused):
    status = 404
    code = "unknown"


class NoMethod(Unknown):
    """The peer, or its release, has no such method or command, which says nothing of what was asked for."""

    status = 501
    code = "noMethod"


class Gone(Refused):
    """A covering quorum of stores is sure that the earlier turn is not kept."""

    status = 410
    code = "gone"


class Ended(Refused):
    """The program has ended; it and its budget never start anew."""

    status = 410
    code = "ended"


class Conflict(Refused):
    status = 409
    code = "conflict"


class InProgress(OakError):
    """The same key or turn is claimed and its outcome is not known yet."""

    status = 409
    code = "inProgress"


class Lost(Refused):
    """A change built on an old version."""

    status = 409
    code = "lost"


class Invalid(Refused):
    status = 422
    code = "invalid"


class Rebound(Refused):
    """The plan replaced what a request was admitted under: it takes its place again under the new one."""

    status = 503
    code = "rebound"


class BudgetEmpty(Refused):
    status = 402
    code = "budgetEmpty"


class Overloaded(Refused):
    status = 503
    code = "overloaded"


class CannotTell(Refused):
    """Too few members answered to say more; the request itself has not run."""

    status = 503
    code = "cannotTell"


class TimeSpent(Refused):
    status = 504
    code = "timeSpent"


class Unreachable(Refused):
    """Nothing left for the other side."""

    status = 502
    code = "unreachable"


class PlatformAway(Refused):
    """The platform's list could not be read from here."""

    status = 502
    code = "platformAway"


class NotOwner(Refused):
    """This node does not own the key; `detail` names the believed owner's address, if any."""

    status = 503
    code = "notOwner"


class Fenced(Refused):
    """A higher epoch has been promised; the sender's belongs to the past."""

    status = 409
    code = "fenced"


class NoAnswer(OakError):
    """The request left and no answer came back."""

    status = 502
    code = "noAnswer"


class Broken(OakError):
    """A replica's stream was not whole; the request has run."""

    status = 502
    code = "broken"
    verdict = Verdict.YES


class EnvError(OakError):
    """Settings that cannot be used; `detail` is the list of faults."""

    code = "env"
    verdict = Verdict.NO


class RingError(OakError):
    code = "ring"


class RingFull(RingError):
    code = "ringFull"
    verdict = Verdict.NO
    status = 507


class RingDamaged(RingError):
    """A record that had been synced cannot be read: the disk is not to be trusted."""

    code = "ringDamaged"


def _leaves(root_class):
    yield root_class
    for child_class in root_class.__subclasses__():
        yield from _leaves(child_class)


# Invariant: codes are unique, so that an error crosses the wire as its code and comes back as its class.
ERROR_CLASSES = {error_class.code: error_class for error_class in _leaves(OakError)}


def error_from(code, reason, verdict, detail=None, retry_after=None):
    """Builds the error a peer reported."""
    return ERROR_CLASSES.get(code, OakError)(reason, Verdict(verdict), retry_after, detail)
