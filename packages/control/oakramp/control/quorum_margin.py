"""The number of voters that may still be lost before the control state has no majority, reported to operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from oakramp.common.constants import QUORUM_DEGRADED_AFTER

if TYPE_CHECKING:
    from oakramp.common.structured_logging import EventLogger
    from oakramp.control.voting_configuration import VotingConfiguration


class QuorumMargin:
    """Tracks how many voters may still be lost, and logs when the next loss would leave no majority.

    Invariant: `_degraded_since` is the time (monotonic seconds) at which no further loss was found to be tolerable;
    None while a loss is. A loss that ends within QUORUM_DEGRADED_AFTER, such as a restart, is not logged.
    """

    def __init__(self, reactor: Any, log: EventLogger) -> None:
        self._reactor, self._log = reactor, log
        self._degraded_since: float | None = None
        self._is_logged = False
        self.losses_left = 0  # voters that may still be lost; below 0 there is no majority already

    def poll(self, voting_config: VotingConfiguration, present: set[str]) -> None:
        """Records which voters are present and able to vote."""
        self.losses_left = voting_config.losses_left(present)
        if self.losses_left > 0:
            self._end()
            return
        now = self._reactor.seconds()
        if self._degraded_since is None:
            self._degraded_since = now
        if not self._is_logged and now - self._degraded_since >= QUORUM_DEGRADED_AFTER:
            self._is_logged = True
            absent = sorted(voting_config.all_members.keys() - present)
            self._log.warning("quorum_degraded", losses_left=self.losses_left, absent=",".join(absent))

    def degraded_s(self) -> float:
        """For how many seconds no further loss has been tolerable; 0 while a loss is."""
        return 0.0 if self._degraded_since is None else self._reactor.seconds() - self._degraded_since

    def _end(self) -> None:
        if self._is_logged:
            self._log.info("quorum_restored", degraded_s=round(self.degraded_s(), 2), losses_left=self.losses_left)
        self._degraded_since, self._is_logged = None, False
