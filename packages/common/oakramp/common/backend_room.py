"""How many bytes a process keeps that arrived on connections which it opened itself, by what they are part of."""

from __future__ import annotations

from enum import IntEnum
from typing import Any


class Part(IntEnum):
    """What received bytes are part of."""

    HEAD = 0  # header blocks, and the fields parsed from them
    BODY = 1  # bodies that wait to be passed on
    EVENT = 2  # the beginning of an event that has not ended

    @property
    def label(self) -> str:
        """The name of the part in logs and metrics."""
        return self.name.lower()


class BackendRoom:
    """The bytes of all connections. Invariant: `held[part]` is the sum over all holdings, and `peaks[part]` the most
    that it has been."""

    def __init__(self) -> None:
        self.held = [0] * len(Part)
        self.peaks = [0] * len(Part)

    def holding(self, address: str) -> BackendHolding:
        """An empty holding for one response of the back end at this address."""
        return BackendHolding(self, address)

    def show(self, metrics: Any) -> None:
        """Registers the metrics of the room."""
        for part in Part:
            metrics.gauge("backend_bytes", lambda part=part: self.held[part], part=part.label)
            metrics.gauge("backend_bytes_peak", lambda part=part: self.peaks[part], part=part.label)


class BackendHolding:
    """The bytes that are kept of one response. They count until the holding is released or collected."""

    __slots__ = ("_room", "address", "_sizes")

    def __init__(self, room: BackendRoom, address: str) -> None:
        self._room, self.address = room, address
        self._sizes = [0] * len(Part)

    def keep(self, part: Part, size: int) -> None:
        """Notes that `size` bytes of this part are kept now."""
        more = size - self._sizes[part]
        if not more:
            return
        self._sizes[part] = size
        held = self._room.held[part] = self._room.held[part] + more
        if held > self._room.peaks[part]:
            self._room.peaks[part] = held

    def release(self) -> None:
        """Notes that nothing is kept any more."""
        for part in Part:
            self.keep(part, 0)

    def __del__(self) -> None:
        self.release()
