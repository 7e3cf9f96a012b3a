"""The attempts to deliver one command to the leader of its key: the nodes called, each outcome and its duration."""

from __future__ import annotations

from typing import Any, NamedTuple

ANSWERED = "answered"


class Attempt(NamedTuple):
    """One call to a node, or a node's forwarding of the command.

    `outcome` is ANSWERED or the code of an error; `began_s` is the start in seconds since the command was received, and
    `took_s` the duration in seconds."""

    address: str
    outcome: str
    began_s: float
    took_s: float

    def __str__(self) -> str:
        return f"{self.address} {self.outcome} {self.began_s:.2f}+{self.took_s:.2f}"


class CallTrail:
    """The finished attempts of one command, in the order in which they ended."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._began_at: float = reactor.seconds()
        self.attempts: list[Attempt] = []

    @property
    def seconds(self) -> float:
        """Seconds since the command was received."""
        return float(self._reactor.seconds() - self._began_at)

    def note(self, address: str, asked_at: float, outcome: str) -> None:
        """Adds an attempt that began at `asked_at` (monotonic seconds) and has just ended."""
        took_s = self._reactor.seconds() - asked_at
        self.attempts.append(Attempt(address, outcome, asked_at - self._began_at, took_s))

    def __str__(self) -> str:
        return "; ".join(map(str, self.attempts)) or "nobody"
