"""The verdict of a request and the exception classes.

Invariant: an error has verdict NO only if the request has not run and never will, MAYBE whenever that is not known, and
YES if it ran, in part or as a whole. An unknown outcome is never NO.
"""

from enum import Enum


class Verdict(str, Enum):
    """Whether the request may have run."""

    NO = "no"
    MAYBE = "maybe"
    YES = "yes"


class OakrampError(Exception):
    """Base class of all errors. `status` is the HTTP status that a client gets, `code` the short name in JSON."""

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
        """The error as clients and operators get it (docs/api.md)."""
        shown = {"error": self.code, "reason": self.reason, "verdict": self.verdict.value}
        return shown | ({"detail": self.detail} if self.detail is not None else {})


class RequestRejectedError(OakrampError):
    """The request was rejected before anything was done: it has not run and never will."""

    verdict = Verdict.NO
    status = 400
    code = "refused"


class BadRequestError(RequestRejectedError):
    """Invalid JSON, field, type or value; `detail` has a line for each fault."""

    code = "badRequest"


class TooLargeError(RequestRejectedError):
    """A body or entry over its limit."""

    status = 413
    code = "tooLarge"


class NotFoundError(RequestRejectedError):
    """No such path, partner, route, program, key or version."""

    status = 404
    code = "unknown"


class UnauthenticatedError(RequestRejectedError):
    """The request carries no key of a tenant, and its route needs one."""

    status = 401
    code = "unauthenticated"


class MethodNotFoundError(NotFoundError):
    """The peer, or its release, has no such method or command; this says nothing about the thing that was asked for."""

    status = 501
    code = "noMethod"


class TurnExpiredError(RequestRejectedError):
    """A covering quorum of stores has confirmed that the earlier turn is not kept."""

    status = 410
    code = "gone"


class ProgramEndedError(RequestRejectedError):
    """The program has ended; neither it nor its budget can be started again."""

    status = 410
    code = "ended"


class ConflictError(RequestRejectedError):
    """The id or key was already used for a different request."""

    status = 409
    code = "conflict"


class InProgressError(OakrampError):
    """The request that claimed the same key or turn is at work."""

    status = 409
    code = "inProgress"


class OutcomeLostError(OakrampError):
    """The operation of this key may have run, and its response will not be known any more."""

    status = 502
    code = "outcomeLost"


class VersionConflictError(RequestRejectedError):
    """The change is based on an old version."""

    status = 409
    code = "lost"


class ValidationFailedError(RequestRejectedError):
    """A plan or configuration with faults; `detail` has the path of each."""

    status = 422
    code = "invalid"


class PlanChangedError(RequestRejectedError):
    """A new plan replaced the one under which a request was admitted: the request is placed again under the new one."""

    status = 503
    code = "rebound"


class BudgetExhaustedError(RequestRejectedError):
    """The program has used up its budget; final for this turn id."""

    status = 402
    code = "budgetEmpty"


class OverloadedError(RequestRejectedError):
    """The request cannot be served in time; it may be retried after `retry_after` seconds."""

    status = 503
    code = "overloaded"


class QuorumUnavailableError(RequestRejectedError):
    """Too few members answered to decide; the request itself has not run."""

    status = 503
    code = "cannotTell"


class DeadlineExceededError(RequestRejectedError):
    """The time left was used up before the request was sent anywhere."""

    status = 504
    code = "timeSpent"


class UnreachableError(RequestRejectedError):
    """Nothing was sent to the other side."""

    status = 502
    code = "unreachable"


class PlatformUnavailableError(RequestRejectedError):
    """The platform's list could not be read from this node."""

    status = 502
    code = "platformAway"


class NotShardLeaderError(RequestRejectedError):
    """This node does not lead the key's shard; `detail` is the address of the presumed leader, if any."""

    status = 503
    code = "notOwner"


class StaleEpochError(RequestRejectedError):
    """A higher epoch has been promised; the sender's is stale."""

    status = 409
    code = "fenced"


class OutcomeUnknownError(OakrampError):
    """The request was sent and no response came back."""

    status = 502
    code = "noAnswer"


class IncompleteResponseError(OakrampError):
    """A replica's stream was incomplete; the request has run."""

    status = 502
    code = "broken"
    verdict = Verdict.YES


class ResponseLimitError(IncompleteResponseError):
    """A response was cut off, as it takes more memory than it may; its request may have run.

    `part` of it, as BackendRoom names it, took `size` bytes, over `limit`; it came from `address`."""

    code = "overLimit"
    verdict = Verdict.MAYBE
    address = part = ""
    size = limit = 0


class SettingsError(OakrampError):
    """The settings cannot be used; `detail` is the list of faults."""

    code = "env"
    verdict = Verdict.NO


class StorageError(OakrampError):
    """The circular log cannot be used."""

    code = "ring"


class StorageFullError(StorageError):
    """The disk space reserved for the log is used up; nothing was done."""

    code = "ringFull"
    verdict = Verdict.NO
    status = 507


class StorageCorruptedError(StorageError):
    """A record that had been synced cannot be read: the disk is not reliable."""

    code = "ringDamaged"


def _leaves(root_class):
    yield root_class
    for child_class in root_class.__subclasses__():
        yield from _leaves(child_class)


# Invariant: codes are unique, so that an error is sent as its code and is restored as an instance of its class.
ERROR_CLASSES = {error_class.code: error_class for error_class in _leaves(OakrampError)}


def error_from_wire(code, reason, verdict, detail=None, retry_after=None):
    """Builds the error that a peer reported."""
    return ERROR_CLASSES.get(code, OakrampError)(reason, Verdict(verdict), retry_after, detail)
