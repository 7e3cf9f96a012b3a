"""One account of the memory that the bytes of clients take in a process.

Each connection has a holding, and takes room in the account before it keeps bytes. When there is no room, a connection
gives way whose request has not been read whole, or whose client does not read its answer: that of the client that holds
most, one that stands still before one that moves, a large one before a small one. A request that was read whole is
pinned: it keeps its room until it is answered.

No client, that is no address, may hold more than CLIENT_SHARE of the account with several connections; requests above
SMALL_REQUEST bytes may pin no more than PINNED_SHARE of the account and of their client's part of it, so that small
ones still find room. A single request is held to neither share.
"""

from __future__ import annotations

from typing import Any, Protocol
from weakref import WeakValueDictionary

from oakramp.common.constants import (
    CLIENT_SHARE,
    HEAD_SHARE,
    MEASURE_PAUSE,
    MEMORY_LOG_PAUSE,
    PIECE_OVERHEAD,
    PINNED_SHARE,
    SMALL_REQUEST,
    STANDS_STILL_AFTER,
)
from oakramp.common.log_rate_limit import LogRateLimit


class Owner(Protocol):
    """A connection, as its holding knows it."""

    def give_way(self) -> None:
        """Refuses the request that is being read, or closes the connection; releases its room at once."""

    def measure_memory(self) -> None:
        """Resizes the holding, if bytes have left since without a sign of it."""


class _Client:
    """What the connections from one address hold together, in bytes."""

    __slots__ = ("held", "pinned", "__weakref__")

    def __init__(self) -> None:
        self.held = self.pinned = 0


class Holding:
    """The room of one connection. Invariant: `held` bytes of the account are this connection's, all of them pinned
    while `is_pinned`; `moved_at` is when bytes last came, or last left (monotonic seconds)."""

    __slots__ = ("_account", "client", "owner", "address", "held", "is_pinned", "moved_at")

    def __init__(self, account: MemoryAccount, client: _Client, owner: Owner, address: str) -> None:
        self._account, self.client, self.owner, self.address = account, client, owner, address
        self.held = 0
        self.is_pinned = False
        self.moved_at = 0.0

    def another(self) -> Holding:
        """A further holding of the same connection, without room."""
        return Holding(self._account, self.client, self.owner, self.address)

    def resize(self, size: int) -> bool:
        """Takes or gives back room, so that the connection holds `size` bytes.

        Returns:
            False if there is no room; nothing has changed then.
        """
        account, client, more = self._account, self.client, size - self.held
        if more > 0:
            self.moved_at = account.reactor.seconds()
            if (
                account.held + more > account.limit or client.held + more > account.client_limit
            ) and not account.has_room(self, more):
                return False
        elif not more:
            return True
        self.held = size
        account.held += more
        client.held += more
        if self.is_pinned:
            account.pinned += more
            client.pinned += more
        if size:
            account.holdings[self] = None
        else:
            account.holdings.pop(self, None)
        return True

    def grow(self, size: int) -> bool:
        """Takes room for `size` more bytes; False if there is none."""
        return self.resize(self.held + size)

    def pin(self) -> bool:
        """Keeps the room of a request that was read whole from giving way; False if too much is pinned already."""
        if not self.is_pinned:
            if self.held > SMALL_REQUEST and not self._account.may_pin(self):
                return False
            self._set_pinned(True)
        return True

    def grow_pinned(self, size: int) -> bool:
        """Takes room for `size` more bytes of what a pinned request is answered; False if too much is pinned."""
        if self.held + size > SMALL_REQUEST and not self._account.may_pin(self, size):
            return False
        return self.grow(size)

    def unpin(self) -> None:
        """Lets the connection give way again."""
        if self.is_pinned:
            self._set_pinned(False)

    def _set_pinned(self, is_pinned: bool) -> None:
        self.is_pinned = is_pinned
        by = self.held if is_pinned else -self.held
        self._account.pinned += by
        self.client.pinned += by

    def release(self) -> None:
        """Gives back all room."""
        self.unpin()
        self.resize(0)

    def stands_still(self, now: float) -> bool:
        """Whether no byte has come or left for STANDS_STILL_AFTER seconds."""
        return now - self.moved_at >= STANDS_STILL_AFTER


class MemoryAccount:
    """The account of a process.

    Invariants: `held` is the sum of all holdings and at most `limit`; `pinned` is the part of it that does not give
    way; `holdings` are those with room; `refused` and `gave_way` count what found no room, and what gave way."""

    def __init__(self, reactor: Any, limit: int, log: Any) -> None:
        """`limit` is in bytes."""
        self.reactor, self.limit = reactor, limit
        self.client_limit = int(limit * CLIENT_SHARE)  # bytes; the most that one client may hold
        self._log, self._log_limit = log, LogRateLimit(reactor, MEMORY_LOG_PAUSE)
        self.held = self.pinned = self.refused = self.gave_way = 0
        self._measured_at = float("-inf")
        self.holdings: dict[Holding, None] = {}
        self._clients: WeakValueDictionary[str, _Client] = WeakValueDictionary()

    @property
    def largest_body(self) -> int:
        """The largest body that finds room in an account that nobody else uses, in bytes."""
        return int(self.client_limit * PINNED_SHARE / (1 + PIECE_OVERHEAD))

    @property
    def largest_head(self) -> int:
        """The largest header block that finds room, in bytes."""
        return int(self.limit * HEAD_SHARE)

    def holding(self, owner: Owner, address: str) -> Holding:
        """A holding without room for a connection from this address."""
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = _Client()
        return Holding(self, client, owner, address)

    # --- for holdings ---

    def may_pin(self, holding: Holding, more: int = 0) -> bool:
        """Whether the request of this holding, with `more` bytes, may be kept until it is answered."""
        size = more if holding.is_pinned else holding.held + more
        if self.pinned == (holding.held if holding.is_pinned else 0):
            return True
        if (
            self.pinned + size <= self.limit * PINNED_SHARE
            and holding.client.pinned + size <= self.client_limit * PINNED_SHARE
        ):
            return True
        self._refuse(holding, size)
        return False

    def has_room(self, asking: Holding, more: int) -> bool:
        """Whether there is room for `more` bytes, if need be after others have given way."""
        if not self._lacks(asking, more, own_only=False) and not self._lacks(asking, more, own_only=True):
            return True
        self._measure()
        if self._make_room(asking, more, own_only=True) and self._make_room(asking, more, own_only=False):
            return True
        self._refuse(asking, more)
        return False

    def _measure(self) -> None:
        """Has all connections resize their holdings, at most once in MEASURE_PAUSE seconds."""
        now = self.reactor.seconds()
        if now - self._measured_at >= MEASURE_PAUSE:
            self._measured_at = now
            for holding in list(self.holdings):
                holding.owner.measure_memory()

    def _lacks(self, asking: Holding, more: int, own_only: bool) -> bool:
        if not own_only:
            return self.held + more > self.limit
        others = asking.client.held - asking.held
        return others > 0 and others + asking.held + more > self.client_limit

    def _make_room(self, asking: Holding, more: int, own_only: bool) -> bool:
        """Has connections give way until there is room: any, or with `own_only` those of the same client.

        Returns False if `asking` is the first that would have to, or if nobody can."""
        if not self._lacks(asking, more, own_only):
            return True
        now = self.reactor.seconds()
        asking_rank = (False, 0 if own_only else asking.client.held + more, asking.held + more)
        candidates = [
            (self._rank(holding, now, own_only), holding)
            for holding in self.holdings
            if holding.owner is not asking.owner
            and not holding.is_pinned
            and (not own_only or holding.client is asking.client)
        ]
        candidates.sort(key=lambda candidate: candidate[0], reverse=True)
        for rank, holding in candidates:
            if rank <= asking_rank:
                return False
            self._dismiss(holding)
            if not self._lacks(asking, more, own_only):
                return True
        return False

    def _rank(self, holding: Holding, now: float, own_only: bool) -> tuple[bool, int, int]:
        """Of two holdings, that of the higher rank gives way first."""
        client_held = 0 if own_only else holding.client.held
        return holding.stands_still(now), client_held, holding.held

    def _dismiss(self, holding: Holding) -> None:
        self.gave_way += 1
        self._report(holding, holding.held, "gave_way")
        holding.owner.give_way()

    def _refuse(self, holding: Holding, more: int) -> None:
        self.refused += 1
        self._report(holding, more, "refused")

    def _report(self, holding: Holding, size: int, outcome: str) -> None:
        left_out = self._log_limit.take()
        if left_out is not None:
            self._log.warning(
                "memory_limit_reached",
                outcome=outcome,
                client=holding.address,
                bytes=size,
                held_bytes=self.held,
                limit_bytes=self.limit,
                left_out=left_out,
            )

    def show(self, metrics: Any) -> None:
        """Registers the metrics of the account."""
        metrics.gauge("memory_account_bytes", lambda: self.held)
        metrics.gauge("memory_account_limit_bytes", lambda: self.limit)
        metrics.gauge("memory_account_refused", lambda: self.refused)
        metrics.gauge("memory_account_gave_way", lambda: self.gave_way)
