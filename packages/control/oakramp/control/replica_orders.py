"""Replica orders: how many replicas of a service are to run in a zone. They are replicated before they are sent.

Rows of the key "replicaOrders":
- `replicaOrders#order/SERVICE/ZONE` {service, zone, count, accepted, refusals}: the last order for this service in this
  zone, whether the platform has accepted it, and how often it has rejected it permanently.

Invariants:
- an order that was sent to the platform is in its row, so that a new leader repeats it unchanged or continues from it;
- a row with `accepted` set has been accepted by the platform with this number.

The demand that gateways report is not replicated: it is kept in the leader's memory (`local_state`), and gateways
report it again within seconds.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

from schema import And

from oakramp.common.constants import FENCED_REFUSALS_MAX, REPORTING_GATEWAYS
from oakramp.common.errors import BadRequestError
from oakramp.common.validation import check_fields, whole
from oakramp.control.controllers import CONTROLLERS, Controller
from oakramp.control.shards import unpack_entry
from oakramp.control.transaction import Transaction

if TYPE_CHECKING:
    from sortedcontainers import SortedDict

ORDERS_KEY = "replicaOrders"
ORDER_ROWS = f"{ORDERS_KEY}#order/"
AFTER_ORDER_ROWS = ORDER_ROWS[:-1] + chr(ord("/") + 1)
DEMAND_KEY = "replica demand"  # by gateway: (arrival time, number, active and refused requests by service)
DEMAND_AGE = 3.0  # s; the report of a gateway that has been silent for longer no longer counts
NUMBER_LIMIT = 1 << 53
NAME_STRING: Any = And(str, len, error="must be a name")
NUMBER = whole(0, NUMBER_LIMIT)
ORDER = {"service": NAME_STRING, "zone": NAME_STRING, "count": NUMBER}
DEMAND = {"gateway": NAME_STRING, "number": NUMBER, "active": dict, "refused": dict}
Subject = tuple[str, str]  # service, zone


def order_row(service: str, zone: str) -> str:
    """The row of the orders for a service in a zone."""
    return f"{ORDER_ROWS}{quote(service, safe='')}/{quote(zone, safe='')}"


def orders_in(entries: SortedDict[str, bytes]) -> dict[Subject, dict[str, Any]]:
    """The rows among a shard's entries by service and zone."""
    rows = [unpack_entry(entries[key]) for key in entries.irange(ORDER_ROWS, AFTER_ORDER_ROWS)]
    return {(row["service"], row["zone"]): row for row in rows}


def demand_in(local_state: dict[str, Any], now: float) -> tuple[int, Counter[str]]:
    """(number of gateways with a recent report, requests by service), from the reports to this leader.

    Refused requests count at most as many as the active ones: their callers retry, and each retry is counted again.
    """
    active, refused = Counter[str](), Counter[str]()
    recent = [report for report in local_state.get(DEMAND_KEY, {}).values() if now - report[0] <= DEMAND_AGE]
    for _, _, active_here, refused_here in recent:
        active.update(active_here)
        refused.update(refused_here)
    for service, count in refused.items():
        active[service] += min(count, max(1, active[service]))
    return len(recent), active


def _report_demand(transaction: Transaction, _key: str, arguments: dict[str, Any]) -> dict[str, Any]:
    """Takes a gateway's numbers of active and of recently refused requests by service. Nothing is written.

    `number` rises with each message of a gateway, so that a message that arrives out of order is ignored.
    """
    check_fields(DEMAND, arguments)
    active, refused = _counts(arguments["active"]), _counts(arguments["refused"])
    context = transaction.context
    reports = context.local_state.setdefault(DEMAND_KEY, {})
    for gateway in [gateway for gateway, report in reports.items() if context.now - report[0] > DEMAND_AGE]:
        del reports[gateway]
    gateway = arguments["gateway"]
    is_newer = gateway not in reports or reports[gateway][1] < arguments["number"]
    if is_newer and (gateway in reports or len(reports) < REPORTING_GATEWAYS):
        reports[gateway] = (context.now, arguments["number"], active, refused)
    return {}


def _counts(counts: dict[str, Any]) -> dict[str, int]:
    if not all(type(count) is int and 0 <= count < NUMBER_LIMIT for count in counts.values()):
        raise BadRequestError("active, refused: must hold whole numbers by service")
    return counts


def _set_orders(transaction: Transaction, _key: str, arguments: dict[str, Any]) -> dict[str, Any]:
    """Sets orders whose count differs from their row, and deletes those of `ended` subjects, [service, zone] pairs.

    An order with the count that its row already has changes nothing.
    """
    check_fields({"orders": list, "ended": list}, arguments)
    for order in arguments["orders"]:
        check_fields(ORDER, order)
        row = order_row(order["service"], order["zone"])
        known = transaction.get(row)
        if known is None or known["count"] != order["count"]:
            transaction.put(row, order | {"accepted": False, "refusals": 0})
    for service, zone in arguments["ended"]:
        if transaction.packed(order_row(service, zone)) is not None:
            transaction.put(order_row(service, zone), None)
    return {}


def _rows(transaction: Transaction) -> Iterator[dict[str, Any]]:
    return (transaction.get(row) for row in transaction.keys(ORDER_ROWS))


def is_owed(row: dict[str, Any]) -> bool:
    """Whether this order still has to be sent to the platform."""
    return not row["accepted"] and row["refusals"] < FENCED_REFUSALS_MAX


def _owed(transaction: Transaction, _key: str, _arguments: dict[str, Any]) -> dict[str, Any]:
    """The first order that still has to be sent to the platform, or None."""
    row = next(filter(is_owed, _rows(transaction)), None)
    return {"order": row and {name: row[name] for name in ORDER}}


def _accepted(transaction: Transaction, _key: str, arguments: dict[str, Any]) -> dict[str, Any]:
    """Records that the platform has accepted this order; a newer one for the same subject is still owed."""
    check_fields(ORDER, arguments)
    row = order_row(arguments["service"], arguments["zone"])
    known = transaction.get(row)
    if known is not None and known["count"] == arguments["count"] and not known["accepted"]:
        transaction.put(row, known | {"accepted": True})
    return {}


def _refused(transaction: Transaction, _key: str, arguments: dict[str, Any]) -> dict[str, Any]:
    """Records that the platform has rejected this order permanently; {given_up}: whether it is not sent again."""
    check_fields(ORDER, arguments)
    row = order_row(arguments["service"], arguments["zone"])
    known = transaction.get(row)
    if known is None or known["count"] != arguments["count"] or known["accepted"]:
        return {"given_up": False}
    known = known | {"refusals": known["refusals"] + 1}
    transaction.put(row, known)
    return {"given_up": not is_owed(known)}


def _read(transaction: Transaction, _key: str, _arguments: dict[str, Any]) -> dict[str, Any]:
    """For operators: all orders, and the current demand."""
    context = transaction.context
    gateways, demand = demand_in(context.local_state, context.now)
    return {"orders": list(_rows(transaction)), "gatewaysHeard": gateways, "demand": dict(demand)}


CONTROLLERS.enter(ORDERS_KEY)(
    Controller(
        {
            "demand": _report_demand,
            "set": _set_orders,
            "owed": _owed,
            "accepted": _accepted,
            "refused": _refused,
            "read": _read,
        }
    )
)
