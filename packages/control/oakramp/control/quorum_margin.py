"""How many more voters may be lost before the control state has no majority, as an operator should see it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from oakramp.common.constants import QUORUM_DEGRADED_AFTER

if TYPE_CHECKING:
    from oakramp.common.structured_logging import EventLogger
    from oakramp.control.voting_configuration import VotingConfiguration


class QuorumMargin:
    """Follows the margin of the voting configuration, and logs when the next loss would leave no majority.

    Invariant: `_degraded_since` is when the margin was found to be gone (monotonic seconds), None while there is one.
    Losses that are over within QUORUM_DEGRADED_AFTER, as by a restart, are not logged.
    """

    def __init__(self, reactor: Any, log: EventLogger) -> None:
        self._reactor, self._log = reactor, log
        self._degraded_since: float | None = None
        self._is_told = False
        self.losses_left = 0  # voters that may still be lost; below 0 there is no majority already

    def poll(self, voting_config: VotingConfiguration, present: set[str]) -> None:
        """Takes in which voters are here and can vote."""
        self.losses_left = voting_config.losses_left(present)
        if self.losses_left > 0:
            self._end()
            return
        now = self._reactor.seconds()
        if self._degraded_since is None:
            self._degraded_since = now
        if not self._is_told and now - self._degraded_since >= QUORUM_DEGRADED_AFTER:
            self._is_told = True
            absent = sorted(voting_config.everyone.keys() - present)
            self._log.warning("quorum_degraded", losses_left=self.losses_left, absent=",".join(absent))

    def degraded_s(self) -> float:
        """For how many seconds there has been no margin; 0 while there is one."""
        return 0.0 if self._degraded_since is None else self._reactor.seconds() - self._degraded_since

    def _end(self) -> None:
        if self._is_told:
            self._log.info("quorum_restored", degraded_s=round(self.degraded_s(), 2), losses_left=self.losses_left)
        self._degraded_since, self._is_told = None, False
