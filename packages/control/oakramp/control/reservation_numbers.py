"""Distinguishes a cancelled reservation from a later one when messages arrive late.

A gateway numbers its reservations, so of two reservations by one gateway, the later one has the higher number. A key
that holds reservations keeps, for each gateway, the highest number that was cancelled (`back`); a reservation that
arrives with a number not above it has been cancelled before. Entries of gateways that are not members any more are
dropped: the reservations of such a gateway are given up anyway.
"""

from __future__ import annotations

from typing import Any

from oakramp.common.validation import whole
from oakramp.control.transaction import Transaction

NUMBER = whole(1, 1 << 53)


def is_cancelled(kept: dict[str, Any] | None, arguments: dict[str, Any]) -> bool:
    """Whether, by the stored row of its key, the reservation with these arguments has already been cancelled."""
    return kept is not None and arguments["number"] <= kept.get("back", {}).get(arguments["gate"], 0)


def record_cancelled(transaction: Transaction, kept: dict[str, Any], arguments: dict[str, Any]) -> dict[str, int]:
    """The new `back` of the row after the reservation with these arguments was cancelled."""
    members, back = transaction.context.members, kept.get("back", {})
    known = {gate: number for gate, number in back.items() if members.find(gate) is not None}
    return known | {arguments["gate"]: max(arguments["number"], back.get(arguments["gate"], 0))}
