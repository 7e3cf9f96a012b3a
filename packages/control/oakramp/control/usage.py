"""Usage accounting: the requests of each tenant that began in each window of wall time, counted at the gateways.

Rows of the key "usage":
- `usage`, the head {next, sent}: the first window that is not closed yet, and the last one that was delivered or None;
- `usage#count/WINDOW/GATEWAY` {number, counts}: the counts of a gateway so far in a window that is not closed;
- `usage#window/WINDOW` {counts}: the totals of a closed window that is not delivered yet.

Invariants:
- a window is closed once: `next` only rises, and the totals of a closed window never change;
- a count is in the total of its window, or it arrived after the close and is dropped;
- counts are cumulative for a gateway and window, so that a message that is repeated or out of order changes nothing.

The wall times that gateways report are not replicated: they are kept in the leader's memory (`local_state`), and
gateways report them again within seconds.
"""

from __future__ import annotations

from collections import Counter
from typing import Any

from schema import And, Optional

from oakramp.common.constants import USAGE_CLOCKS_SETTLE, USAGE_OWED_SHOWN, USAGE_WINDOWS_KEPT
from oakramp.common.errors import BadRequestError
from oakramp.common.validation import check_fields, seconds, whole
from oakramp.common.wall_clock import ReportedClocks
from oakramp.control.controllers import CONTROLLERS, Controller
from oakramp.control.transaction import Transaction

USAGE_KEY = "usage"
COUNT_ROWS, WINDOW_ROWS = f"{USAGE_KEY}#count/", f"{USAGE_KEY}#window/"
NUMBER_LIMIT = 1 << 53
WINDOW = whole(0, 10**12 - 1)
WALL_TIME_LIMIT = 1e12  # s
CLOCKS_KEY = "clocks of gateways"
GATEWAY: Any = And(str, len, error="must be a gateway's node id")
COUNT = {
    "gateway": GATEWAY,
    "number": whole(0, NUMBER_LIMIT),
    "windows": dict,
    Optional("time"): seconds(0, WALL_TIME_LIMIT),
}
CLOSE = {"through": WINDOW, "current": WINDOW}


def window_row(window: int) -> str:
    """The row of a closed window; rows sort by number."""
    return f"{WINDOW_ROWS}{window:012d}"


def count_row(window: int, gateway: str) -> str:
    """The row of one gateway's counts in a window."""
    return f"{COUNT_ROWS}{window:012d}/{gateway}"


def window_of_row(row: str) -> int:
    """The window that a row of either kind is for."""
    return int(row.split("/")[1])


def clocks_in(local_state: dict[str, Any]) -> ReportedClocks:
    """The wall clocks that were reported to this leader."""
    clocks: ReportedClocks = local_state.setdefault(CLOCKS_KEY, ReportedClocks())
    return clocks


def _count(transaction: Transaction, key: str, arguments: dict[str, Any]) -> dict[str, Any]:
    """Takes a gateway's cumulative counts of the windows that are not closed.

    `number` rises with each message of a gateway; `windows` maps a window's number to counts by tenant; `time` is the
    gateway's own wall time in seconds, which earlier releases leave out.

    Returns:
        {next, time, settled}: counts of windows before `next` are no longer needed; it is 0 while no window is open
        yet. `time` is the cluster's wall time; it is None if too few machines report theirs, or, with `settled` false,
        for USAGE_CLOCKS_SETTLE seconds after this node became leader.
    """
    check_fields(COUNT, arguments)
    windows = {_parse_window(text): _check_counts(counts) for text, counts in arguments["windows"].items()}
    context = transaction.context
    is_stable = context.age_of(key) >= USAGE_CLOCKS_SETTLE
    clocks = clocks_in(context.local_state)
    if "time" in arguments:
        clocks.report(arguments["gateway"], arguments["time"], context.now)
    answer = {"time": clocks.time(context.now) if is_stable else None, "settled": is_stable}
    head = transaction.get(key)
    if head is None:
        return answer | {"next": 0}
    for window, counts in windows.items():
        if head["next"] <= window <= head["next"] + USAGE_WINDOWS_KEPT:
            _put_count(transaction, count_row(window, arguments["gateway"]), arguments["number"], counts)
    return answer | {"next": head["next"]}


def _put_count(transaction: Transaction, row: str, number: int, counts: dict[str, int]) -> None:
    known = transaction.get(row)
    if known is None or (known["number"] < number and known["counts"] != counts):
        transaction.put(row, {"number": number, "counts": counts})


def _parse_window(text: Any) -> int:
    if not isinstance(text, str) or not text.isascii() or not text.isdigit() or len(text) > 12:
        raise BadRequestError("windows: keys must be window numbers")
    return int(text)


def _check_counts(counts: Any) -> dict[str, int]:
    is_valid = isinstance(counts, dict) and all(
        type(count) is int and 0 <= count < NUMBER_LIMIT for count in counts.values()
    )
    if not is_valid:
        raise BadRequestError("windows: values must map tenants to whole numbers")
    return counts


def _close(transaction: Transaction, key: str, arguments: dict[str, Any]) -> dict[str, Any]:
    """Closes all windows up to `through`; the first window ever is the current one, `current`.

    If more than USAGE_WINDOWS_KEPT windows are due, only the newest USAGE_WINDOWS_KEPT are kept.

    Returns:
        {closed, next}: how many windows were closed, and the first that is not closed.
    """
    check_fields(CLOSE, arguments)
    transaction.context.age_of(key)  # the first command under a new leader records since when it leads
    head, through = transaction.get(key), arguments["through"]
    if head is None:
        head = {"next": arguments["current"], "sent": None}
        transaction.put(key, head)
    first = max(head["next"], through - USAGE_WINDOWS_KEPT + 1)
    if through < first:
        return {"closed": 0, "next": head["next"]}
    totals: dict[int, Counter[str]] = {window: Counter() for window in range(first, through + 1)}
    for row in transaction.keys(COUNT_ROWS):
        window = window_of_row(row)
        if window > through:
            break
        if window in totals:
            totals[window].update(transaction.get(row)["counts"])
        transaction.put(row, None)
    for window, counts in totals.items():
        transaction.put(window_row(window), {"counts": dict(counts)})
    transaction.put(key, head | {"next": through + 1})
    return {"closed": len(totals), "next": through + 1}


def _owed(transaction: Transaction, _key: str, _arguments: dict[str, Any]) -> dict[str, Any]:
    """The oldest closed window that is not delivered, with its counts; None for both if there is none."""
    row = next(iter(transaction.keys(WINDOW_ROWS)), None)
    if row is None:
        return {"window": None, "counts": None}
    return {"window": window_of_row(row), "counts": transaction.get(row)["counts"]}


def _delivered(transaction: Transaction, key: str, arguments: dict[str, Any]) -> dict[str, Any]:
    """Records that the platform has accepted this window's counts, and deletes them."""
    check_fields({"window": WINDOW}, arguments)
    row = window_row(arguments["window"])
    if transaction.packed(row) is not None:
        transaction.put(row, None)
        transaction.put(key, transaction.get(key) | {"sent": arguments["window"]})
        transaction.context.touch(row.partition("/")[0])
    return {}


def _read(transaction: Transaction, key: str, _arguments: dict[str, Any]) -> dict[str, Any]:
    """For operators; `heldFor` and `deliveredAge` in seconds, the latter None if this leader has delivered nothing."""
    head = transaction.get(key) or {"next": None, "sent": None}
    owed = [window_of_row(row) for row in transaction.keys(WINDOW_ROWS)]
    context, delivered_key = transaction.context, WINDOW_ROWS.partition("/")[0]
    return {
        "next": head["next"],
        "sent": head["sent"],
        "owed": owed[:USAGE_OWED_SHOWN],
        "owedCount": len(owed),
        "heldFor": round(context.age_of(key), 3),
        "deliveredAge": round(context.age_of(delivered_key), 3) if delivered_key in context.local_state else None,
    }


CONTROLLERS.enter(USAGE_KEY)(
    Controller(
        {"count": _count, "close": _close, "owed": _owed, "delivered": _delivered, "read": _read},
        growing=("count",),
        deferrable=("count",),
    )
)
