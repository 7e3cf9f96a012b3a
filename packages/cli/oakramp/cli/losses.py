"""oakrampctl losses: adds up the gateways' log lines on requests that ended late or failed."""

import json
import re
from collections import Counter
from dataclasses import dataclass
from datetime import datetime

EVENT = "request_lost"
PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
STAGES = ("admitted", "history", "placed", "first", "last", "ended")  # in the order in which a request passes them
NOT_REACHED = -1  # ms; what the log says of a stage that a request did not come to


@dataclass(frozen=True)
class Loss:
    """One request that was lost. `second` is the whole second since the epoch in which its line was written; `stage`
    the one in which it spent most of its time; `left_out` losses of that gateway had no line of their own."""

    second: int
    outcome: str
    reason: str
    route: str
    kind: str
    priority: str
    stage: str
    replica: str
    left_out: int


def read_losses(lines):
    """The losses in these log lines, of either format, in their order; other lines are passed over."""
    for line in lines:
        if EVENT in line:
            fields = _fields_of(line)
            if fields.get("event") == EVENT:
                yield _loss_of(fields)


def _fields_of(line):
    """Fields by name; text before them on the line, as of a log collector, is passed over."""
    start = line.find("{")
    if start >= 0 and line.rstrip().endswith("}"):
        try:
            return {name: str(value) for name, value in json.loads(line[start:]).items()}
        except ValueError:
            pass
    return {name: value.strip('"') for name, value in PAIR.findall(line)}


def _loss_of(fields):
    return Loss(
        second=_second_of(fields.get("time", "")),
        outcome=fields.get("outcome", "unknown"),
        reason=fields.get("reason", "unknown"),
        route=fields.get("route", "unknown"),
        kind=fields.get("route_kind", "unknown"),
        priority=fields.get("priority", "unknown"),
        stage=_longest_stage(fields),
        replica=fields.get("replica", "none"),
        left_out=int(fields.get("left_out") or 0),
    )


def _second_of(text):
    try:
        return int(datetime.fromisoformat(text).timestamp())
    except ValueError:
        return 0


def _longest_stage(fields):
    """The stage before whose end most of the time went."""
    before, spent = 0, {}
    for stage in STAGES:
        at = int(fields.get(f"{stage}_ms") or NOT_REACHED)
        if at != NOT_REACHED:
            spent[stage] = at - before
            before = at
    return max(spent, key=spent.get) if spent else "unknown"


def summarize(losses):
    """Lines to show: how many in all, then by outcome and reason, route, longest stage, second and replica, most
    first."""
    losses = list(losses)
    left_out = sum(loss.left_out for loss in losses)
    yield f"{len(losses)} requests lost, {left_out} more without a line of their own"
    if not losses:
        return
    first = min(loss.second for loss in losses)
    for title, key in (
        ("by outcome and reason", lambda loss: f"{loss.outcome} {loss.reason}"),
        ("by route, kind and priority", lambda loss: f"{loss.route} {loss.kind} {loss.priority}"),
        ("by the stage that took longest", lambda loss: f"{loss.outcome} {loss.stage}"),
        ("by second since the first", lambda loss: f"{loss.second - first}"),
        ("by replica", lambda loss: loss.replica),
    ):
        yield f"{title}:"
        for name, count in Counter(map(key, losses)).most_common(12):
            yield f"    {count:6d}  {name}"
