"""What the relay knows of a raw request and of a replica's answer, in the product's words. A dialect reads them from
headers; nothing here depends on how they are spelled there."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class ProxyRequest:
    """Invariant: `fault` is None exactly if every field that was sent could be read; what was not sent is None."""

    try_id: str = ""
    api_key: str | None = field(default=None, repr=False)  # a secret: never logged, never passed on
    time_left_s: float | None = None
    operation_key: str | None = None
    program: str | None = None
    session: str | None = None
    budget: int | None = None
    tokens_in: int | None = None
    tokens_most: int | None = None
    prefix: tuple = ()  # (id, tokens) of each part of the prompt, in order
    previous_turn: str | None = None
    finish_s: float | None = None
    resume_after: str | None = None
    model: str | None = None
    fault: str | None = None


@dataclass(frozen=True, slots=True)
class ProxyResponse:
    """`not_run` is the replica's own promise that it did not run the request and never will."""

    not_run: bool = False
    load: tuple | None = None  # requests running, requests waiting, slots
    stamped: bool = False
    try_id: str | None = None
    replica_id: str | None = None
    weight_version: str | None = None
