"""A request's claim of its idempotency key, taken as the last step before the request is sent."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from oakramp.common.constants import CLAIM_SEND_TIME
from oakramp.common.errors import (
    ConflictError,
    DeadlineExceededError,
    InProgressError,
    OakrampError,
    OutcomeLostError,
    OutcomeUnknownError,
    QuorumUnavailableError,
    RequestRejectedError,
)
from oakramp.common.tasks import begin, shielded, within

if TYPE_CHECKING:
    from oakramp.gateway.base import GateBase

# After these answers the claim is not held, but a late or second copy of it could still take the key.
CANCELLED_AFTER = (OutcomeUnknownError, InProgressError, OutcomeLostError, ConflictError)

LOOK_UP_TIME = 0.2  # s; the most that a rejection waits for the look-up whether its request is a repeat

Response = dict[str, Any]  # a stored response, as the gateway that received it wrote it


class ClaimRefusedError(OakrampError):
    """The request may not be sent, since its key is taken or cannot be claimed.

    Attributes:
        error: what the client is told, or None if there is a stored response.
        stored_response: the response of the request that ran.
    """

    code = "claimRefused"

    def __init__(self, error: OakrampError | None = None, stored_response: Response | None = None) -> None:
        super().__init__(error.reason if error else "this operation has already run", error.verdict if error else None)
        self.error = error
        self.stored_response = stored_response


class IdempotencyClaim:
    """The claim of one request.

    A request that waits for a replica holds no claim. If its gateway ends meanwhile, a repeat through any other gateway
    finds the key free.

    Invariants: the claim is on a majority of disks from the end of `acquire` until `release` or `finish`; a claim that
    may be on a disk although this gateway does not hold it is cancelled by its number, as long as this gateway runs;
    nothing is sent after `send_by` (monotonic seconds), which is before the claim may be forgotten.
    """

    def __init__(self, gate: GateBase, key: str, fingerprint: str, time_left: Callable[[], float]) -> None:
        """`time_left()` returns the seconds until the request is given up, or raises DeadlineExceededError."""
        self._gate, self._leaders, self._reactor, self._log = gate, gate.leaders, gate.node.reactor, gate.node.log
        self._key, self._fingerprint, self._time_left = key, fingerprint, time_left
        self._held: dict[str, Any] | None = None  # the arguments of the claim
        self._releasing: defer.Deferred[Any] | None = None
        self.send_by = math.inf

    async def acquire(self) -> None:
        """Claims the key, unless this request already holds it.

        Raises:
            ClaimRefusedError: the request must not be sent.
        """
        if self._held is not None and self._reactor.seconds() <= self.send_by:
            return
        self.release()
        try:
            await self._await_release()
            await self._claim()
        except ClaimRefusedError:
            raise
        except OakrampError as error:
            raise ClaimRefusedError(error) from error

    async def _await_release(self) -> None:
        if self._releasing is None:
            return
        await within(
            self._reactor,
            self._time_left(),
            shielded(self._releasing),
            DeadlineExceededError("the key's owner did not confirm in time that the key is free"),
        )

    async def _claim(self) -> None:
        arguments = self._gate.admission() | {"print": self._fingerprint}
        send_by = self._reactor.seconds() + CLAIM_SEND_TIME
        calling = begin(self._leaders.call(self._key, "claim", arguments, self._time_left()))
        calling.addErrback(lambda failure: failure.value)  # a result: this request may no longer wait for it
        try:
            outcome = await shielded(calling)
        except defer.CancelledError:
            self._send_until_done("free", arguments)  # the call may still arrive
            raise
        if isinstance(outcome, CANCELLED_AFTER):
            self._send_until_done("free", arguments)  # a copy of the claim may arrive once the key is free
        if isinstance(outcome, OutcomeUnknownError):
            raise QuorumUnavailableError(f"the owner of the claim did not respond: {outcome.reason}")
        if isinstance(outcome, RequestRejectedError) and outcome.code == RequestRejectedError.code:
            # A later claim of the same key was processed first and released again: nothing ran, and the client may
            # retry.
            raise QuorumUnavailableError(outcome.reason)
        if isinstance(outcome, Exception):
            raise outcome
        _raise_if_done(outcome)
        self._held, self.send_by = arguments, send_by

    def request_waits(self) -> defer.Deferred[None]:
        """To be called when the request has to wait for a replica: gives up the claim, or looks up whether the key is
        taken, so that a repeat need not wait for its response.

        Returns:
            a Deferred that fails with ClaimRefusedError if the request need not wait, and fires with None otherwise.
        """
        if self._held is not None:
            self.release()
            return defer.succeed(None)
        return begin(self._look_up())

    async def check_not_a_repeat(self) -> None:
        """Raises ClaimRefusedError if the key is known to be taken. To be called before a request is rejected that was
        not sent: a repeat receives its response although no replica could be reached."""
        await self._look_up(LOOK_UP_TIME)

    async def _look_up(self, time_limit: float = math.inf) -> None:
        try:
            time_left = min(time_limit, self._time_left())
            _raise_if_done(await self._leaders.call(self._key, "lookUp", {"print": self._fingerprint}, time_left))
        except ClaimRefusedError:
            raise
        except (OutcomeUnknownError, QuorumUnavailableError, DeadlineExceededError):
            return  # the claim will tell
        except OakrampError as error:
            raise ClaimRefusedError(error) from error

    def release(self) -> defer.Deferred[Any]:
        """Gives up the claim of a request that did not run and will not run under it.

        Returns:
            a Deferred that fires once the key's leader has confirmed it, or at once if no claim is held.
        """
        if self._held is None:
            return defer.succeed(None)
        self._releasing = self._end("free", self._held)
        return self._releasing

    def finish(self, response: Response | None) -> defer.Deferred[Any]:
        """Stores the response of the request, or None if it may have run and its response is unknown or too large.

        Returns:
            a Deferred that fires once the key's leader has confirmed it, or at once if no claim is held.
        """
        if self._held is None:
            return defer.succeed(None)
        return self._end("finish", self._held | {"answer": response})

    async def confirmed(self, ending: defer.Deferred[Any], time_left: float) -> None:
        """Waits at most `time_left` seconds until a release or a finish is confirmed; it goes on in the background."""
        try:
            await within(self._reactor, time_left, shielded(ending))
        except OakrampError as error:
            self._log.warning("idempotency_claim_late", key=self._key, reason=error.reason)

    def _end(self, command: str, arguments: dict[str, Any]) -> defer.Deferred[Any]:
        self._held, self.send_by = None, math.inf
        return self._send_until_done(command, arguments)

    def _send_until_done(self, command: str, arguments: dict[str, Any]) -> defer.Deferred[Any]:
        return self._gate.background(self._leaders.call_until_done(self._key, command, arguments))


def _raise_if_done(outcome: dict[str, Any]) -> None:
    if outcome["state"] != "done":
        return
    if outcome["answer"] is None:
        raise OutcomeLostError("this operation may have run; its response is not kept")
    raise ClaimRefusedError(stored_response=outcome["answer"])
