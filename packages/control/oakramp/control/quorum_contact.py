"""Whether this control node is in touch with a majority of the roster, and for how long it has been.

What a node knows of who is alive comes with its pulls. A process that has just started, was frozen or was cut off has
not heard of everybody yet, so nothing may be refused because somebody was not heard of before the node has been in
touch for longer than any member may stay silent.
"""

from oakramp.common.constants import CONTACT_GAP, MAJORITY_WAIT, VIEW_AGE
from oakramp.common.errors import DeadlineExceededError, QuorumUnavailableError
from oakramp.common.tasks import quorum_of, within


class QuorumContact:
    """Invariant: `_since` is None, or each look since then found that a majority had answered this node's own pulls
    lately, and no two looks were further apart than CONTACT_GAP. Times are this process's monotonic ones."""

    def __init__(self, reactor, log):
        self._reactor, self._log = reactor, log
        self._since = None
        self._polled_at = reactor.seconds()
        self._is_lost = True

    def poll(self, hears_majority):
        """Takes in one look at who has answered lately."""
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

    def is_lost(self):
        """Whether the last look found no majority."""
        return self._is_lost

    def seconds(self):
        """For how long, without a gap, this node has been in touch; 0 if it is not known to be now."""
        now = self._reactor.seconds()
        if self._since is None or now - self._polled_at > CONTACT_GAP:
            return 0.0
        return now - self._since

    def knows_members(self):
        """Whether who was not heard of has truly been silent, as far as a majority can tell."""
        return self.seconds() >= VIEW_AGE


async def answers_now(node, voter_addresses, voting_config, least_version=0):
    """Whether a majority of the roster answers a question that is asked from here now, within MAJORITY_WAIT, and stands
    in this version of it or in a later one."""

    async def ask(node_id, address):
        version = await node.net.call(address, "rosterVersion", MAJORITY_WAIT, to=node_id)
        if version < least_version:
            raise QuorumUnavailableError(f"{node_id} stands in version {version} yet")

    works = {node_id: ask(node_id, address) for node_id, address in voter_addresses.items()}
    try:
        reached, _ = await within(node.reactor, MAJORITY_WAIT, quorum_of(works, voting_config.is_quorum))
    except DeadlineExceededError:
        return False
    return reached
