"""Detects the first turn of a program, and measures how much of the load is follow-up turns.

Under load a program that has not started may be refused; one in progress has already consumed runs. Where programs have
several turns, each new program brings more load than its first turn; the share of follow-up turns tells how much.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cachetools import LRUCache

from oakramp.common.constants import (
    FIRST_TURN_DEADLINE_SHARE,
    FIRST_TURN_PRIORITY_FACTOR,
    FIRST_TURN_SHARE,
    FOLLOW_UP_MAX,
    FOLLOW_UP_STEP,
    PROGRAMS_KNOWN,
    QUEUED_SHARE,
)

if TYPE_CHECKING:
    from oakramp.gateway.proxy_types import ProxyRequest


class Programs:
    """Remembers the last PROGRAMS_KNOWN programs of which this gateway sent a turn to a replica.

    A turn that names its previous turn is a follow-up, whichever gateway served that one. Otherwise only this memory
    can tell: a program that moves here from another gateway counts as new until a turn of it was served here.
    """

    def __init__(self) -> None:
        self._last_replica_ids: LRUCache[str, str] = LRUCache(PROGRAMS_KNOWN)  # program -> replica of its last turn
        self._follow_up_share = 0.0  # share of follow-ups among the turns sent to replicas lately

    def is_first_turn(self, request: ProxyRequest) -> bool:
        """Whether this is the first turn of its program, as far as this gateway knows."""
        if not request.program or request.previous_turn:
            return False
        return request.program not in self._last_replica_ids

    def last_replica_id(self, request: ProxyRequest) -> str | None:
        """The id of the replica that this gateway sent the program's last turn to, if any."""
        return self._last_replica_ids.get(request.program)

    def record_turn(self, request: ProxyRequest, replica_id: str) -> None:
        """Records that a turn of this program was sent to this replica."""
        if not request.program:
            return
        self._follow_up_share += FOLLOW_UP_STEP * ((not self.is_first_turn(request)) - self._follow_up_share)
        self._last_replica_ids[request.program] = replica_id

    @property
    def reserved_share(self) -> float:
        """Share of the capacity that follow-up turns may need which is reserved for them: from 0, if programs have one
        turn each, to 1."""
        return min(1.0, self._follow_up_share / FOLLOW_UP_MAX)

    def admission_threshold(self, priority: int) -> float:
        """Share of a replica's slots below which it accepts new programs of this priority (0 is the most urgent)."""
        full_share = 1.0 + QUEUED_SHARE
        return full_share - self.reserved_share * (full_share - FIRST_TURN_SHARE * FIRST_TURN_PRIORITY_FACTOR**priority)

    def max_wait_s(self, normal_wait_s: float, target_s: float) -> float:
        """Seconds for which a first turn waits for capacity. Where many turns follow, a program whose first turn waits
        long would be late in any case, so its caller is refused early."""
        min_wait_s = min(normal_wait_s, FIRST_TURN_DEADLINE_SHARE * target_s)
        return normal_wait_s - self.reserved_share * (normal_wait_s - min_wait_s)
