"""A caller's request while it passes the filters, and the filter chain itself."""

import math
from dataclasses import dataclass, field
from hashlib import blake2b

from oakramp.common.constants import RUN_SHARE, TIME_LEFT_DEFAULT
from oakramp.common.errors import DeadlineExceededError, PlanChangedError
from oakramp.common.validation import pack_json
from oakramp.gateway.send_permit import SendPermit


@dataclass
class Request:
    """A request and its deadlines.

    It may wait to be sent until `wait_until` (the binding's limit, and that of the permit that it holds), and may run
    until `ends_at` (the client's limit). Invariants: `wait_until` <= `ends_at`; all that a
    plan decides is read from `binding` when it is needed; `admitted_under` holds the terms of the binding under which
    the budget's shard leader admitted the turn, None before; `admission` is new for each time that a gateway asks for
    admission, so that the attempts can be told apart; `may_have_run` becomes true before the first byte may reach a
    replica."""

    call: object
    partner: str
    binding_name: str
    kind: str
    body: dict
    admission: dict
    received_at: float
    time_left: float | None = None
    binding: dict = None
    admitted_under: tuple = None
    ends_at: float = 0.0
    permit: SendPermit | None = None  # what it must hold when it is sent: its key's claim, or its turn's reservation
    may_have_run: bool = False
    fields: dict = field(default_factory=dict)

    def bind(self, binding):
        if self.admitted_under not in (None, admission_terms(binding)):
            raise PlanChangedError("the plan changed the terms under which this turn was admitted")
        self.binding = binding
        total_s = self.time_left or TIME_LEFT_DEFAULT
        self.ends_at = self.received_at + total_s

    def forwarded_fields(self):
        """The fields sent to the replica besides the content: the binding's adapter, and the client's id of this
        attempt, by which it can be traced."""
        fields = {"adapter": self.binding.get("adapter"), "request": self.body["request"]}
        return {name: value for name, value in fields.items() if value is not None}

    @property
    def wait_until(self):
        total_s = self.ends_at - self.received_at
        send_by = math.inf if self.permit is None else self.permit.send_by
        return min(self.received_at + min(total_s * (1 - RUN_SHARE), self.binding["maxWaitSeconds"]), send_by)

    def remaining(self, now):
        """Seconds until which it may still be sent to a replica."""
        if now >= self.wait_until:
            raise DeadlineExceededError("the time to wait for a replica has run out")
        return self.wait_until - now


def admission_terms(binding):
    """The fields of the binding that an admission depends on."""
    return binding.get("maxOutput"), bool(binding.get("repeatable"))


def fingerprint_of(value):
    """A digest that distinguishes requests under the same id."""
    return blake2b(pack_json(value), digest_size=16).hexdigest()


def chain(filters, last):
    """Combines filters into one coroutine function of a request. Each filter gets the request and the next step."""
    next_step = last
    for filter_step in reversed(filters):
        next_step = _BoundFilter(filter_step, next_step)
    return next_step


class _BoundFilter:
    def __init__(self, filter_step, next_step):
        self._filter_step, self._next_step = filter_step, next_step

    def __call__(self, request):
        return self._filter_step(request, self._next_step)
