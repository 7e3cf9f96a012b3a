"""Which turns begin a program, and how much of the load is turns that go on.

Under load a program that has not begun may be refused; one under way has cost runs already. Where programs have several
turns, each one that begins brings more load than its first turn; the share of turns that go on tells how much.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from cachetools import LRUCache

from oakramp.common.constants import (
    BEGIN_PATIENCE_SHARE,
    BEGIN_PRIORITY_STEP,
    BEGIN_SHARE,
    FOLLOW_UP_MOST,
    FOLLOW_UP_STEP,
    PROGRAMS_KNOWN,
    QUEUED_SHARE,
)

if TYPE_CHECKING:
    from oakramp.gateway.proxy_types import ProxyRequest


class Programs:
    """Remembers the programs of which a turn was given to a replica by this gateway, the last PROGRAMS_KNOWN of them.

    A turn that names the one before it goes on, whichever gateway had that one. Elsewhere only memory can tell: a
    program that comes over from another gateway is taken for a new one, until a turn of it was served here.
    """

    def __init__(self) -> None:
        self._homes: LRUCache[str, str] = LRUCache(PROGRAMS_KNOWN)  # program -> replica of its last turn
        self._follow_up_share = 0.0  # of the turns that were given to replicas lately, those that went on

    def begins(self, request: ProxyRequest) -> bool:
        """Whether this turn begins its program, as well as this gateway can tell."""
        if not request.program or request.previous_turn:
            return False
        return request.program not in self._homes

    def home(self, request: ProxyRequest) -> str | None:
        """The id of the replica that had the program's last turn by way of this gateway, if there was one."""
        return self._homes.get(request.program)

    def note(self, request: ProxyRequest, replica_id: str) -> None:
        """A turn of this program was given to this replica."""
        if not request.program:
            return
        self._follow_up_share += FOLLOW_UP_STEP * ((not self.begins(request)) - self._follow_up_share)
        self._homes[request.program] = replica_id

    @property
    def reserve(self) -> float:
        """How much of the room that follow-up turns may need is kept for them: from 0, if programs have one turn each,
        to 1."""
        return min(1.0, self._follow_up_share / FOLLOW_UP_MOST)

    def begin_share(self, priority: int) -> float:
        """Share of a replica's slots that may be in use where a program of this class begins (0 is the most urgent)."""
        whole = 1.0 + QUEUED_SHARE
        return whole - self.reserve * (whole - BEGIN_SHARE * BEGIN_PRIORITY_STEP**priority)

    def patience(self, longest_s: float, target_s: float) -> float:
        """Seconds for which a first turn waits for room. Where many turns follow, one that waits long would be late all
        the same, and its caller had better be told at once."""
        shortest_s = min(longest_s, BEGIN_PATIENCE_SHARE * target_s)
        return longest_s - self.reserve * (longest_s - shortest_s)
