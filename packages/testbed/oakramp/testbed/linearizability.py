"""Checks that a history of orders and reads of one configuration is linearizable.

The object is a compare-and-set register over versions. An order names the version on which it is based and its own
version, which is higher; it takes effect at one moment, only while its base is the newest version, and at most once. A
read returns the newest configuration at one moment. Each moment lies between the sending and the reply of the call, or,
for an order, between its first sending and its first acknowledgement.

An acknowledgement means that this very order has taken effect. A rejection means that it has not and never will, and,
unless the order is invalid, that a version other than its base was the newest at some moment of the call. After any
other reply the order is open: it takes effect at any moment after it was sent, or never.

Versions increase, and each has one successor, so the orders that took effect form one path from the first version. This
makes the check fast: orders are processed by increasing version, and for each the earliest moment is computed at which
it can have taken effect, over all paths that leave out nothing that was acknowledged or read. An earlier moment is
never worse for the later orders, so one number for each order suffices (dynamic programming in place of the search of
Wing and Gong), and the time grows with the number of orders and with how many of them share a version.

One relaxation, in favour of the system: a rejection is accepted if its base itself took effect at some moment of the
call, even if no single path has that moment so late.
"""

import enum
from collections import defaultdict
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import NamedTuple

START = float("-inf")
NEVER_ANSWERED = float("inf")
NO_CONTENT = None  # the content of the register before the first order


class Answer(enum.Enum):
    ACKNOWLEDGED = "taken"
    REFUSED = "refused"  # a version other than the base is the newest
    INVALID = "invalid"  # rejected whatever the newest version is
    OPEN = "open"  # an indefinite reply, or none


class Try(NamedTuple):
    """One sending of an order."""

    sent_at: float
    answered_at: float
    answer: Answer


@dataclass(eq=False)
class Order:
    """One change, however often it was sent. `content` is the whole configuration that it creates, in a comparable
    form."""

    base: int
    version: int
    content: Hashable
    tries: list = field(default_factory=list)
    is_valid: bool = True

    def __str__(self):
        return f"version {self.version} on {self.base}"

    def answers(self, *answers):
        return [one for one in self.tries if one.answer in answers]

    @property
    def is_acknowledged(self):
        return bool(self.answers(Answer.ACKNOWLEDGED))

    @property
    def is_refused(self):
        return bool(self.answers(Answer.REFUSED, Answer.INVALID))

    @property
    def first_sent_at(self):
        return min(one.sent_at for one in self.tries)


class Read(NamedTuple):
    """A successful read of the newest configuration."""

    version: int
    content: Hashable
    sent_at: float
    answered_at: float


def check_history(orders, reads):
    """Descriptions of what is wrong with the history; an empty list if it is linearizable."""
    orders = [one for one in orders if one.tries]
    plain = _direct_faults(orders, reads)
    return plain or _Paths(orders, reads).faults()


def _direct_faults(orders, reads):
    """Faults that are visible without a search, and so can be described precisely."""
    faults = []
    for one in orders:
        if one.is_acknowledged and one.is_refused:
            faults.append(f"{one} was acknowledged and refused")
        if one.is_acknowledged and not one.is_valid:
            faults.append(f"{one} is invalid and was acknowledged")
        if one.is_valid and one.answers(Answer.INVALID):
            faults.append(f"{one} is valid and was refused as invalid")
    taken = [one for one in orders if one.is_acknowledged]
    faults += _duplicates(taken, "version", "under version")
    faults += _duplicates(taken, "base", "on top of version")
    contents = defaultdict(set)
    for one in orders:
        if not one.is_refused:
            contents[one.version].add(one.content)
    for read in reads:
        if read.version and read.content not in contents[read.version]:
            faults.append(f"version {read.version} was read with a content that no open or acknowledged order creates")
    return faults


def _duplicates(taken, what, words):
    found = defaultdict(list)
    for one in taken:
        found[getattr(one, what)].append(one)
    return [f"{len(same)} orders were acknowledged {words} {number}" for number, same in found.items() if len(same) > 1]


class _Span:
    """The reads that returned one content as the newest: it took effect before the first reply, its successor after the
    last sending."""

    def __init__(self):
        self.first_answer, self.last_sending = NEVER_ANSWERED, START

    def add(self, read):
        self.first_answer = min(self.first_answer, read.answered_at)
        self.last_sending = max(self.last_sending, read.sent_at)


class _Paths:
    """Invariant: `_earliest` holds, for each order that a path can lead to, the earliest moment at which it can have
    taken effect; its key None is the start of the history."""

    def __init__(self, orders, reads):
        self._spans = defaultdict(_Span)
        for read in reads:
            self._spans[read.version, read.content].add(read)
        self._taken = {one.version: one for one in orders if one.is_acknowledged}
        self._read = defaultdict(set)
        for read in reads:
            self._read[read.version].add(read.content)
        self._needed = sorted({*self._taken, *self._read} - {0})
        self._refused = defaultdict(list)
        for one in orders:
            for refusal in one.answers(Answer.REFUSED):
                if one.is_valid:
                    self._refused[one.base].append((one, refusal))
        self._possible = sorted(
            (one for one in orders if one.is_valid and not one.is_refused), key=lambda one: one.version
        )
        self._by_version = defaultdict(list)
        for one in self._possible:
            self._by_version[one.version].append(one)
        self._earliest = {}

    def faults(self):
        self._earliest[None] = START
        for one in self._possible:
            at = self._earliest_of(one)
            if at is not None:
                self._earliest[one] = at
        if any(self._may_be_last(one) for one in self._earliest):
            return []
        return [self._explain()]

    # --- one step of a path ---

    def _predecessors(self, one):
        if not one.base:
            return [None]
        return [previous for previous in self._by_version[one.base] if previous in self._earliest]

    def _earliest_of(self, one):
        """The earliest moment for this order over all paths that lead to it, or None if there is no such path."""
        if not self._is_consistent(one) or self._leaves_out(one.base, one.version) or one.version <= one.base:
            return None
        moments = [self._moment_after(previous, one) for previous in self._predecessors(one)]
        return min((at for at in moments if at is not None), default=None)

    def _moment_after(self, previous, one):
        at = max(self._earliest[previous], self._span(previous).last_sending, one.first_sent_at)
        answers = [given.answered_at for given in one.answers(Answer.ACKNOWLEDGED)]
        if at > min([*answers, self._span(one).first_answer]):
            return None
        return at if self._rejections_are_possible(one.base, at) else None

    def _span(self, one):
        key = (0, NO_CONTENT) if one is None else (one.version, one.content)
        return self._spans.get(key) or _Span()

    def _is_consistent(self, one):
        """Whether no other order was acknowledged or read under its version."""
        taken = self._taken.get(one.version)
        return (taken is None or taken is one) and self._read.get(one.version, set()) <= {one.content}

    def _leaves_out(self, base, version):
        return any(base < needed < version for needed in self._needed)

    def _rejections_are_possible(self, base, successor_at):
        """Whether each rejection on this base is possible: the base was already replaced, or not in effect yet."""
        return all(
            refusal.answered_at >= successor_at or self._may_take_effect_after(base, refusal.sent_at)
            for _, refusal in self._refused[base]
        )

    def _may_take_effect_after(self, version, moment):
        """Whether this version may have taken effect after the moment, by any order that can create it, or never."""
        if not version:
            return False
        creators = self._by_version[version]
        latest = [
            min([*(given.answered_at for given in one.answers(Answer.ACKNOWLEDGED)), self._span(one).first_answer])
            for one in creators
        ]
        return max(latest, default=NEVER_ANSWERED) > moment

    # --- the end of a path ---

    def _may_be_last(self, one):
        version = 0 if one is None else one.version
        if any(needed > version for needed in self._needed):
            return False
        return self._rejections_are_possible(version, NEVER_ANSWERED)

    def _explain(self):
        """Describes the newest order that a path leads to, and what should have followed it."""
        reached = max((one for one in self._earliest if one is not None), key=lambda one: one.version, default=None)
        version = 0 if reached is None else reached.version
        missing = [needed for needed in self._needed if needed > version]
        if missing:
            return f"no order of calls explains version {missing[0]}; those up to {version} can be explained"
        unexplained = [
            f"{one} (sent at {refusal.sent_at:.3f}, answered at {refusal.answered_at:.3f})"
            for refusals in self._refused.values()
            for one, refusal in refusals
        ]
        return f"no order of calls explains the refusals; among them are {', '.join(unexplained[:5])}"
