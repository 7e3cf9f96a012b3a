"""The reservation of a turn's budget, taken as the last step before the turn is sent."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from oakramp.common.errors import (
    BudgetExhaustedError,
    ConflictError,
    DeadlineExceededError,
    InProgressError,
    OakrampError,
    OutcomeUnknownError,
    QuorumUnavailableError,
)
from oakramp.common.tasks import begin, shielded, within
from oakramp.gateway.request import Request, admission_terms

if TYPE_CHECKING:
    from oakramp.gateway.base import GateBase

ADMITTED, REFUSED, UNKNOWN_TURN = "admitted", "refused", "free"  # states that the budget's leader answers
DID_RUN, NEVER_RAN, INTERRUPTED = "done", "never", "broken"  # outcomes that a settlement reports
# After these answers the admission is not held, but a late or second copy of it could still be admitted.
CANCELLED_AFTER = (OutcomeUnknownError, InProgressError, ConflictError)


class AdmissionRefusedError(OakrampError):
    """The turn may not be sent.

    Attributes:
        error: what the client is told, or None for a turn with a known outcome.
        state: that outcome, as the budget's leader keeps it.
    """

    code = "admissionRefused"

    def __init__(self, error: OakrampError | None = None, state: str = "") -> None:
        super().__init__(error.reason if error else f"this turn is {state}", error.verdict if error else None)
        self.error = error
        self.state = state


class TurnAdmission:
    """The reservation of one turn; a `SendPermit`.

    Invariants: the reservation is on a majority of disks from the end of `acquire` until `settle`; an admission that
    may be on a disk although this gateway does not hold it is cancelled by its number, as long as this gateway runs."""

    send_by = math.inf

    def __init__(self, gate: GateBase, request: Request) -> None:
        self._gate, self._leaders, self._reactor, self._request = gate, gate.leaders, gate.node.reactor, request
        self._held: dict[str, Any] | None = None  # the admission that was granted
        self._settling: defer.Deferred[Any] | None = None

    @property
    def is_held(self) -> bool:
        """Whether budget is reserved for the turn."""
        return self._held is not None

    async def acquire(self) -> None:
        """Reserves budget for the most that the turn may put out under its present binding, unless that is done.

        Raises:
            AdmissionRefusedError: the turn must not be sent.
        """
        if self._held is not None:
            return
        try:
            await self._await_settlement()
            await self._admit()
        except AdmissionRefusedError:
            raise
        except OakrampError as error:
            raise AdmissionRefusedError(error) from error

    async def _await_settlement(self) -> None:
        if self._settling is None:
            return
        await within(
            self._reactor,
            self._time_left(),
            shielded(self._settling),
            DeadlineExceededError("the budget's owner did not answer", retry_after=1),
        )

    async def _admit(self) -> None:
        request, admission = self._request, self._gate.admission()
        arguments = self._turn_fields() | {
            "reserve": request.fields["reserve"],
            "repeatable": bool(request.binding.get("repeatable")),
        }
        calling = begin(
            self._leaders.call(request.fields["budgetKey"], "admit", admission | arguments, self._time_left())
        )
        calling.addErrback(lambda failure: failure.value)  # a result: this request may no longer wait for it
        try:
            outcome = await shielded(calling)
        except defer.CancelledError:
            self._settle(admission, NEVER_RAN, 0)
            raise
        if isinstance(outcome, CANCELLED_AFTER):
            self._settle(admission, NEVER_RAN, 0)
        if isinstance(outcome, OutcomeUnknownError):
            raise DeadlineExceededError(f"the budget's owner did not answer: {outcome.reason}", retry_after=1)
        if isinstance(outcome, Exception):
            raise outcome
        self._raise_unless_new(outcome["state"])
        request.admitted_under = admission_terms(request.binding)
        self._held = admission

    def _raise_unless_new(self, state: str) -> None:
        if state == REFUSED:
            raise BudgetExhaustedError("the program has used up its budget")
        if state not in (ADMITTED, UNKNOWN_TURN):
            raise AdmissionRefusedError(state=state)

    def request_waits(self) -> defer.Deferred[Any]:
        """To be called when the turn has to wait for a replica: settles what it holds, or looks up whether the turn has
        an outcome, so that a repeat need not wait for it.

        Returns:
            a Deferred that fails with AdmissionRefusedError if the turn need not wait, and fires otherwise.
        """
        if self._held is not None:
            self.settle(NEVER_RAN, 0)
            return defer.succeed(None)
        return begin(self._look_up())

    async def _look_up(self) -> None:
        request = self._request
        arguments = self._turn_fields() | {"repeatable": bool(request.binding.get("repeatable"))}
        try:
            outcome = await self._leaders.call(request.fields["budgetKey"], "lookUp", arguments, self._time_left())
            self._raise_unless_new(outcome["state"])
        except AdmissionRefusedError:
            raise
        except (OutcomeUnknownError, QuorumUnavailableError, DeadlineExceededError):
            return  # the admission will tell
        except OakrampError as error:
            raise AdmissionRefusedError(error) from error

    def settle(self, outcome: str, units: int) -> defer.Deferred[Any]:
        """Ends the reservation with what the turn put out.

        Returns:
            a Deferred that fires once the budget's leader has confirmed it, or at once if nothing is reserved.
        """
        if self._held is None:
            return defer.succeed(None)
        admission, self._held = self._held, None
        self._request.admitted_under = None
        self._settling = self._settle(admission, outcome, units)
        return self._settling

    def _settle(self, admission: dict[str, Any], outcome: str, units: int) -> defer.Deferred[Any]:
        arguments = admission | self._turn_fields() | {"units": units, "outcome": outcome}
        return self._gate.background(
            self._leaders.call_until_done(self._request.fields["budgetKey"], "settle", arguments)
        )

    def _turn_fields(self) -> dict[str, Any]:
        fields = self._request.fields
        return {"turn": fields["turnKey"], "print": fields["print"]}

    def _time_left(self) -> float:
        return self._request.remaining(self._reactor.seconds())
