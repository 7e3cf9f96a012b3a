"""A caller's request on its way through the filters, and the chain itself."""

from dataclasses import dataclass, field
from hashlib import blake2b

from oakramp.common.constants import RUN_SHARE, TIME_LEFT_DEFAULT
from oakramp.common.errors import DeadlineExceededError, PlanChangedError
from oakramp.common.validation import pack_json


@dataclass
class Request:
    """Until `waitUntil` it may wait to be carried (the binding's bound, and `leaveBy`, after which what was
    reserved or claimed for it may be forgotten), until `endsAt` it may run (the caller's). Invariants: `waitUntil`
    <= `endsAt`; all that a plan decides is read from `binding` when it is needed; `admittedUnder` are the terms of
    the binding for which the budget's owner admitted the turn, None before; `admission` is new for each time that a
    gate asks to be let in, so that what one try asked for can be told from another's; `left` turns true before the
    first byte may reach a replica."""

    call: object
    partner: str
    binding_name: str
    kind: str
    body: dict
    admission: dict
    asked_at: float
    time_left: float | None = None
    binding: dict = None
    admitted_under: tuple = None
    ends_at: float = 0.0
    leave_by: float = float("inf")
    left: bool = False
    fields: dict = field(default_factory=dict)

    def bound(self, binding):
        if self.admitted_under not in (None, leases_of(binding)):
            raise PlanChangedError("the plan changed what this turn was admitted under")
        self.binding = binding
        whole = self.time_left or TIME_LEFT_DEFAULT
        self.ends_at = self.asked_at + whole

    def marks(self):
        """What a carried request says besides its content: the binding's adapter, and the caller's own name for this
        try, by which its way can be followed."""
        named = {"adapter": self.binding.get("adapter"), "request": self.body["request"]}
        return {name: value for name, value in named.items() if value is not None}

    @property
    def wait_until(self):
        whole = self.ends_at - self.asked_at
        return min(self.asked_at + min(whole * (1 - RUN_SHARE), self.binding["maxWaitSeconds"]), self.leave_by)

    def remaining(self, now):
        """Seconds in which it may still be carried."""
        if now >= self.wait_until:
            raise DeadlineExceededError("no time is left to wait")
        return self.wait_until - now


def leases_of(binding):
    """What an admission depends on."""
    return binding.get("maxOutput"), bool(binding.get("repeatable"))


def print_of(value):
    """What tells one request from another under the same id."""
    return blake2b(pack_json(value), digest_size=16).hexdigest()


def chain(filters, last):
    """One coroutine function of a request: each filter gets the request and what comes after it."""
    onward = last
    for one in reversed(filters):
        onward = _Joint(one, onward)
    return onward


class _Joint:
    def __init__(self, one, onward):
        self._one, self._onward = one, onward

    def __call__(self, request):
        return self._one(request, self._onward)
