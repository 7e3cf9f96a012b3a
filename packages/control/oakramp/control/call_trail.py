"""The way of one command to the leader of its key: who was asked, what came of it, and how long each took."""

from __future__ import annotations

from typing import Any, NamedTuple

ANSWERED = "answered"


class Attempt(NamedTuple):
    """One node that was asked, or passed it on: `outcome` is ANSWERED or the code of an error, `began_s` and `took_s`
    are seconds, the first since the command came."""

    address: str
    outcome: str
    began_s: float
    took_s: float

    def __str__(self) -> str:
        return f"{self.address} {self.outcome} {self.began_s:.2f}+{self.took_s:.2f}"


class CallTrail:
    """The attempts of one command so far, in the order in which they ended."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._began_at: float = reactor.seconds()
        self.attempts: list[Attempt] = []

    @property
    def seconds(self) -> float:
        """How long ago the command came."""
        return float(self._reactor.seconds() - self._began_at)

    def note(self, address: str, asked_at: float, outcome: str) -> None:
        """Enters an attempt that began at `asked_at` (monotonic seconds) and has just ended."""
        took_s = self._reactor.seconds() - asked_at
        self.attempts.append(Attempt(address, outcome, asked_at - self._began_at, took_s))

    def __str__(self) -> str:
        return "; ".join(map(str, self.attempts)) or "nobody"
