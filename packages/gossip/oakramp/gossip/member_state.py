"""The state that a node publishes of itself: able to serve, without a majority, or with a disk that refuses writes.

Several parts of a node detect reasons why others should not use it. Each reports its own reason; this module publishes
the resulting state in the node's own member row.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from oakramp.membership.members import LEAVING_STATE, PARTITIONED_STATE, STORAGE_FAULT_STATE, UP_STATE

if TYPE_CHECKING:
    from oakramp.common.structured_logging import EventLogger
    from oakramp.gossip.gossip_client import GossipClient


class MemberStatePublisher:
    """Publishes this node's state whenever a report changes it.

    A node that is leaving stays so. A storage fault takes precedence over a partition: it is the one that an operator
    has to repair, and other nodes skip a node with either in the same way.
    """

    def __init__(self, gossip_client: GossipClient, log: EventLogger) -> None:
        self._gossip_client = gossip_client
        self._log = log
        self._is_partitioned = False
        self._has_storage_fault = False

    def report_partitioned(self, is_partitioned: bool) -> None:
        """Reports whether this node is cut off from the majority of the voters."""
        if is_partitioned == self._is_partitioned:
            return
        self._is_partitioned = is_partitioned
        self._publish()
        self._log.info("member_partitioned" if is_partitioned else "member_rejoined")

    def report_storage_fault(self, has_storage_fault: bool) -> None:
        """Reports whether this node's disk refuses writes."""
        if has_storage_fault == self._has_storage_fault:
            return
        self._has_storage_fault = has_storage_fault
        self._publish()
        if has_storage_fault:
            self._log.warning("member_storage_fault")
        else:
            self._log.info("member_storage_recovered")

    def _publish(self) -> None:
        me = self._gossip_client.me
        state = self._state()
        if me.state not in (state, LEAVING_STATE):
            self._gossip_client.describe(replace(me, state=state))

    def _state(self) -> str:
        if self._has_storage_fault:
            return STORAGE_FAULT_STATE
        return PARTITIONED_STATE if self._is_partitioned else UP_STATE
