"""Tells a reservation that was taken back from a later one, when messages arrive late.

A gateway numbers the reservations that it asks for, so of two by one gateway the later has the higher number. A key
that takes reservations keeps for each gateway the highest number that was taken back (`back`); one that arrives with a
number not above it was taken back before. Rows of gateways that are no members any more are dropped: what such a
gateway asked for is given up anyway.
"""

from __future__ import annotations

from typing import Any

from oakramp.common.validation import whole
from oakramp.control.transaction import Transaction

NUMBER = whole(1, 1 << 53)


def is_back(kept: dict[str, Any] | None, arguments: dict[str, Any]) -> bool:
    """Whether the reservation of these arguments has been taken back already, by the stored row of its key."""
    return kept is not None and arguments["number"] <= kept.get("back", {}).get(arguments["gate"], 0)


def note_back(transaction: Transaction, kept: dict[str, Any], arguments: dict[str, Any]) -> dict[str, int]:
    """The new `back` of the row, once the reservation of these arguments has been taken back."""
    members, back = transaction.context.members, kept.get("back", {})
    known = {gate: number for gate, number in back.items() if members.find(gate) is not None}
    return known | {arguments["gate"]: max(arguments["number"], back.get(arguments["gate"], 0))}
