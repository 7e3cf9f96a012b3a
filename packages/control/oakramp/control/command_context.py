"""The context of a command: what it may read besides the entries of its shard."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from oakramp.common.constants import CONTACT_RETRY_AFTER
from oakramp.common.errors import OakrampError, QuorumUnavailableError

if TYPE_CHECKING:
    from oakramp.control.quorum_contact import QuorumContact
    from oakramp.control.voting_configuration import VotingConfiguration
    from oakramp.gossip.state_table import StateTable
    from oakramp.membership.members import Members


def _reject_nothing() -> None:
    """Stands in for the storage check where there is no storage limit, for example in tests."""


class CommandContext:
    """The context of one batch of commands.

    `now` is the leader's monotonic time in seconds; `bounds` are the deployment's (seconds by name, see
    oakramp.common.settings). `local_state` is not replicated and is lost when the leadership ends: among other
    state, it maps a key to the time from which its age is counted. `reject_if_full` raises StorageFullError when the
    storage limit is reached; it is called by commands that grow the state unless they are a repetition.
    """

    def __init__(
        self,
        now: float,
        members: Members,
        local_state: dict[str, Any],
        voting_config: VotingConfiguration | None,
        state_table: StateTable,
        bounds: dict[str, float] | None = None,
        contact: QuorumContact | None = None,
        reject_if_full: Callable[[], None] = _reject_nothing,
    ) -> None:
        self.now = now
        self.members = members
        self.local_state = local_state
        self.voting_config = voting_config
        self.state_table = state_table
        self.bounds = bounds or {}
        self.reject_if_full = reject_if_full
        self._contact = contact

    def age_of(self, key: str) -> float:
        """Seconds since the key's start time in `local_state`; a key without one gets the present time."""
        return self.now - self.local_state.setdefault(key, self.now)

    def touch(self, key: str) -> None:
        """Restarts the count of the key's age."""
        self.local_state[key] = self.now

    def knows_members(self) -> bool:
        """Whether this node has been in contact with a quorum for long enough that members which it has not heard are
        known to have been silent."""
        return self._contact is None or self._contact.knows_members()

    def refusal(self, error: OakrampError) -> OakrampError:
        """The error to raise when a command is refused because members have been silent.

        Returns:
            the error itself once this node has been in contact with a quorum for long enough that the members are known
            to have been silent; until then QuorumUnavailableError, since the node itself may have lacked contact.
        """
        if self.knows_members():
            return error
        return QuorumUnavailableError(
            f"in contact with a quorum for too short a time to decide: {error.reason}", retry_after=CONTACT_RETRY_AFTER
        )
