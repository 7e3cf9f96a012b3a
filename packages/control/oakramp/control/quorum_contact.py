"""Whether this control node is in contact with a majority of the voters, and for how long it has been.

A node learns about live members from the answers to its gossip requests. A process that has just started, was frozen or
was partitioned may not have heard of all members yet. So no request may be rejected because a member was silent, before
the node has been in contact for longer than a live member may stay silent.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from oakramp.common.constants import CONTACT_AGE, CONTACT_GAP, MAJORITY_CHECK_TIME
from oakramp.common.errors import DeadlineExceededError, QuorumUnavailableError
from oakramp.common.tasks import quorum_of, within

if TYPE_CHECKING:
    from oakramp.common.structured_logging import EventLogger
    from oakramp.control.voting_configuration import VotingConfiguration
    from oakramp.gossip.node import Node


class QuorumContact:
    """How long this node has been in contact with a majority, by polls of which voters answer its gossip requests.

    Invariant: `_since` is None, or each poll since then found that a majority had answered recently, and no two polls
    were further apart than CONTACT_GAP. Times are monotonic seconds of this process.
    """

    def __init__(self, reactor: Any, log: EventLogger) -> None:
        self._reactor, self._log = reactor, log
        self._since: float | None = None
        self._polled_at = reactor.seconds()
        self._is_lost = True

    def poll(self, hears_majority: bool) -> None:
        """Records whether a majority has answered recently."""
        now = self._reactor.seconds()
        if now - self._polled_at > CONTACT_GAP:
            self._since = None
        self._polled_at = now
        if not hears_majority:
            self._since = None
        elif self._since is None:
            self._since = now
        if self._is_lost == hears_majority:
            self._is_lost = not hears_majority
            if hears_majority:
                self._log.info("quorum_contact_gained")
            else:
                self._log.warning("quorum_contact_lost")

    def is_lost(self) -> bool:
        """Whether the last poll found no majority."""
        return self._is_lost

    def seconds(self) -> float:
        """For how many seconds, without a gap, this node has been in contact; 0 if it is not known to be now."""
        now = self._reactor.seconds()
        if self._since is None or now - self._polled_at > CONTACT_GAP:
            return 0.0
        return now - self._since

    def knows_members(self) -> bool:
        """Whether contact has lasted for CONTACT_AGE, so that a member that is not heard of has indeed been silent
        towards a majority."""
        return self.seconds() >= CONTACT_AGE


async def majority_answers(
    node: Node,
    voter_addresses: dict[str, str],
    voting_config: VotingConfiguration,
    least_version: int = 0,
    wait_s: float = MAJORITY_CHECK_TIME,
) -> bool:
    """Whether a majority answers within `wait_s` seconds and has this version of the voting configuration or a later
    one.

    Args:
        voter_addresses: the address of each voter by node id.
        least_version: the version that a voter must have to be counted.
    """

    async def ask(node_id: str, address: str) -> None:
        version = await node.net.call(address, "rosterVersion", wait_s, to=node_id)
        if version < least_version:
            raise QuorumUnavailableError(f"{node_id} is still at version {version} of the voting configuration")

    requests = {node_id: ask(node_id, address) for node_id, address in voter_addresses.items()}
    try:
        reached, _ = await within(node.reactor, wait_s, quorum_of(requests, voting_config.is_quorum))
    except DeadlineExceededError:
        return False
    return reached
