"""What a command may read besides the entries of its shard."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from oakramp.common.constants import VIEW_RETRY
from oakramp.common.errors import OakrampError, QuorumUnavailableError

if TYPE_CHECKING:
    from oakramp.control.quorum_contact import QuorumContact
    from oakramp.control.voting_configuration import VotingConfiguration
    from oakramp.gossip.state_table import StateTable
    from oakramp.membership.members import Members


def _refuse_nothing() -> None:
    """For commands that run where there is no storage limit, as in tests."""


class CommandContext:
    """The surroundings of one batch of commands.

    `now` is the leader's monotonic time in seconds; `bounds` are the deployment's (seconds by name, see
    oakramp.common.settings). `marks` lives only as long as the leadership: it maps a key to the time since which the
    key is counted. `refuse_full` raises StorageFullError; it is for commands that grow the state only where they are no
    repeat.
    """

    def __init__(
        self,
        now: float,
        members: Members,
        marks: dict[str, Any],
        voting_config: VotingConfiguration | None,
        state_table: StateTable,
        bounds: dict[str, float] | None = None,
        contact: QuorumContact | None = None,
        refuse_full: Callable[[], None] = _refuse_nothing,
    ) -> None:
        self.now = now
        self.members = members
        self.marks = marks
        self.voting_config = voting_config
        self.state_table = state_table
        self.bounds = bounds or {}
        self.refuse_full = refuse_full
        self._contact = contact

    def age_of(self, key: str) -> float:
        """Seconds since the key was marked; an unmarked key is marked now."""
        return self.now - self.marks.setdefault(key, self.now)

    def touch(self, key: str) -> None:
        """Counts the key's age from now on."""
        self.marks[key] = self.now

    def refusal(self, error: OakrampError) -> OakrampError:
        """The error to raise for a refusal that rests on members having been silent.

        Returns:
            the error itself once this node has been in contact with a quorum for long enough that their silence is a
            fact; until then QuorumUnavailableError, since the node may merely have heard from nobody.
        """
        if self._contact is None or self._contact.knows_members():
            return error
        return QuorumUnavailableError(f"not in touch for long enough to tell: {error.reason}", retry_after=VIEW_RETRY)
