"""The part of a process's memory that bytes may take which arrive on connections that the process opens itself.

Each response has a holding, and takes room before bytes of it are kept. The room is apart from that of clients
(`memory_account`), so that back ends which pour cost clients none. When there is none left, that response is cut off
which holds most at the back end that holds most, be it the asking one or another.

With several responses one back end, that is one address, holds at most BACKEND_SENDER_SHARE of the room. A single
response is not held to that share.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from enum import IntEnum
from typing import Any
from weakref import WeakSet, WeakValueDictionary

from oakramp.common.constants import BACKEND_SENDER_SHARE, LOG_PAUSE
from oakramp.common.errors import ResponseLimitError
from oakramp.common.log_rate_limit import LogRateLimit


class Part(IntEnum):
    """What received bytes are part of."""

    HEAD = 0  # header blocks, and the fields parsed from them
    BODY = 1  # bodies that wait to be passed on
    EVENT = 2  # the beginning of an event that has not ended
    GATHERED = 3  # bodies that are gathered whole, and pieces of a turn that are kept until it is stored

    @property
    def label(self) -> str:
        """The name of the part in logs and metrics."""
        return self.name.lower()


class _Sender:
    """What the responses of one back end hold together, in bytes."""

    __slots__ = ("held", "gathered", "holdings", "__weakref__")

    def __init__(self) -> None:
        self.held = self.gathered = 0
        self.holdings: WeakSet[BackendHolding] = WeakSet()

    def largest(self) -> BackendHolding:
        """The response that holds most."""
        return max(self.holdings, key=lambda holding: holding.held)


class BackendRoom:
    """The room of a process.

    Invariants: `held[part]` is the sum over all holdings, and `peaks[part]` the most that it has been; `total` is the
    sum of all parts but GATHERED, and at most `limit`; `cut_off[part]` counts the responses that were cut off."""

    def __init__(
        self, reactor: Any = None, limit: float = math.inf, gathered_limit: float = math.inf, log: Any = None
    ) -> None:
        """`limit` is in bytes, and `gathered_limit` what is gathered of one back end at a time."""
        self.limit, self.gathered_limit = limit, gathered_limit
        self.sender_limit = limit * BACKEND_SENDER_SHARE  # bytes; the most that one back end may hold
        self.total = 0
        self.held = [0] * len(Part)
        self.peaks = [0] * len(Part)
        self.cut_off: Counter[str] = Counter()
        self._log, self._log_limit = log, LogRateLimit(reactor, LOG_PAUSE) if log is not None else None
        self._senders: WeakValueDictionary[str, _Sender] = WeakValueDictionary()

    def holding(self, address: str, give_way: Callable[[ResponseLimitError], None] | None = None) -> BackendHolding:
        """An empty holding for one response of the back end at this address. `give_way(error)` cuts it off; without it
        the holding does not give way to others."""
        sender = self._senders.get(address)
        if sender is None:
            sender = self._senders[address] = _Sender()
        return BackendHolding(self, sender, address, give_way)

    def report(self, error: ResponseLimitError, replica: str = "none") -> None:
        """Logs and counts a response that was cut off."""
        self.cut_off[error.part] += 1
        left_out = self._log_limit.take() if self._log_limit is not None else None
        if left_out is not None:
            self._log.warning(
                "response_cut_off",
                replica=replica,
                address=error.address,
                part=error.part,
                bytes=error.size,
                limit_bytes=error.limit,
                left_out=left_out,
            )

    def show(self, metrics: Any) -> None:
        """Registers the metrics of the room."""
        for part in Part:
            metrics.gauge("backend_bytes", lambda part=part: self.held[part], part=part.label)
            metrics.gauge("backend_bytes_peak", lambda part=part: self.peaks[part], part=part.label)
            metrics.gauge("responses_cut_off", lambda part=part: self.cut_off[part.label], part=part.label)
        metrics.gauge("backend_bytes_limit", lambda: self.limit)

    # --- for holdings ---

    def make_room(self, asking: BackendHolding, part: Part, more: int) -> None:
        """Cuts off responses until there is room for `more` bytes.

        Raises:
            ResponseLimitError: `asking` is the one to be cut off.
        """
        while (sender := self._crowded_sender(asking, more)) is not None:
            largest = sender.largest() if sender.holdings else asking
            if largest is asking or largest.give_way is None or largest.held <= asking.held + more:
                raise asking.limit_error(part, asking.held + more, min(self.limit, self.sender_limit))
            error = largest.limit_error(Part.BODY, largest.held, min(self.limit, self.sender_limit))
            largest.release()
            largest.give_way(error)

    def _crowded_sender(self, asking: BackendHolding, more: int) -> _Sender | None:
        """The back end that has to give back room before `asking` has `more` bytes, or None."""
        others = asking.sender.held - asking.held
        if others > 0 and asking.sender.held + more > self.sender_limit:
            return asking.sender
        if self.total + more <= self.limit:
            return None
        return max(
            [asking.sender, *self._senders.values()],
            key=lambda sender: sender.held + (more if sender is asking.sender else 0),
        )


class BackendHolding:
    """The room of one response. It is given back when the holding is released or collected.

    Invariant: `held` is the sum of its parts but GATHERED, in bytes."""

    __slots__ = ("_room", "sender", "address", "give_way", "held", "_sizes", "__weakref__")

    def __init__(
        self,
        room: BackendRoom,
        sender: _Sender,
        address: str,
        give_way: Callable[[ResponseLimitError], None] | None,
    ) -> None:
        self._room, self.sender, self.address, self.give_way = room, sender, address, give_way
        self.held = 0
        self._sizes = [0] * len(Part)

    @property
    def is_scarce(self) -> bool:
        """Whether half of the room, or of this back end's part of it, is taken: time to read no further ahead."""
        room = self._room
        return 2 * self.sender.held > room.sender_limit or 2 * room.total > room.limit

    def keep(self, part: Part, size: int) -> None:
        """Takes or gives back room, so that `size` bytes of this part may be kept.

        Raises:
            ResponseLimitError: there is no room; nothing has changed then.
        """
        more = size - self._sizes[part]
        if not more:
            return
        room, sender = self._room, self.sender
        if more > 0 and (room.total + more > room.limit or sender.held + more > room.sender_limit):
            room.make_room(self, part, more)
            more = size - self._sizes[part]  # what gave way may have had this response end
        if not self.held:
            sender.holdings.add(self)
        self._count(part, size, more)
        self.held += more
        sender.held += more
        room.total += more

    def gather(self, size: int, is_bounded: bool = True) -> None:
        """Counts a body of which `size` bytes are gathered. It is no part of this room, as what a gateway gathers is in
        the account of clients.

        Args:
            size: in bytes.
            is_bounded: whether the body has a limit of its own; the only one of its back end is held to that alone.

        Raises:
            ResponseLimitError: this back end has too many bodies that are gathered; nothing has changed then.
        """
        more, sender = size - self._sizes[Part.GATHERED], self.sender
        is_alone = is_bounded and sender.gathered == self._sizes[Part.GATHERED]
        if more > 0 and not is_alone and sender.gathered + more > self._room.gathered_limit:
            raise self.limit_error(Part.GATHERED, sender.gathered + more, self._room.gathered_limit)
        sender.gathered += more
        self._count(Part.GATHERED, size, more)

    def _count(self, part: Part, size: int, more: int) -> None:
        room = self._room
        self._sizes[part] = size
        held = room.held[part] = room.held[part] + more
        if held > room.peaks[part]:
            room.peaks[part] = held

    def release(self) -> None:
        """Gives back all room."""
        if self.held:
            for part in (Part.HEAD, Part.BODY, Part.EVENT):
                self.keep(part, 0)
        if self._sizes[Part.GATHERED]:
            self.gather(0)

    def limit_error(self, part: Part, size: int, limit: float) -> ResponseLimitError:
        """The error for this response, of which `size` bytes are over `limit`."""
        error = ResponseLimitError(f"{self.address} sent a {part.label} of {size} bytes, over {limit:.0f}")
        error.address, error.part, error.size, error.limit = self.address, part.label, size, round(limit)
        return error

    def __del__(self) -> None:
        self.release()
