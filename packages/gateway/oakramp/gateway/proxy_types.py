"""The metadata of a proxied request and of a replica's response, independent of the platform's header names, from
which a dialect reads them."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class ProxyRequest:
    """Invariants: `fault` is None if and only if every field that was sent could be parsed; a field that was not sent
    is None."""

    try_id: str = ""
    api_key: str | None = field(default=None, repr=False)  # a secret: never logged, never sent to a replica
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
    """`not_run` is the replica's guarantee that it did not run the request and never will."""

    not_run: bool = False
    load: tuple | None = None  # requests running, requests waiting, slots
    stamped: bool = False
    try_id: str | None = None
    replica_id: str | None = None
    weight_version: str | None = None
