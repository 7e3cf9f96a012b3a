"""oakrampctl losses: aggregates the gateways' log lines about requests that ended late or failed."""

import json
import re
from collections import Counter
from dataclasses import dataclass
from datetime import datetime

LOSS_EVENT = "request_lost"
FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
STAGES = (
    "admitted",
    "history",
    "placed",
    "first",
    "last",
    "ended",
)  # in the order in which a request reaches their ends
NOT_REACHED = -1  # ms; the logged value of a stage that the request did not reach


@dataclass(frozen=True)
class Loss:
    """One lost request. `second` is the time at which its line was written, in whole seconds since the epoch; `stage`
    is the stage in which it spent most of its time; `left_out` is the number of losses of that gateway that were not
    logged."""

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
    """The losses in these log lines, of either format, in their order; other lines are ignored."""
    for line in lines:
        if LOSS_EVENT in line:
            fields = _parse_fields(line)
            if fields.get("event") == LOSS_EVENT:
                yield _parse_loss(fields)


def _parse_fields(line):
    """Fields by name; text before them on the line, such as the prefix of a log collector, is ignored."""
    start = line.find("{")
    if start >= 0 and line.rstrip().endswith("}"):
        try:
            return {name: str(value) for name, value in json.loads(line[start:]).items()}
        except ValueError:
            pass
    return {name: value.strip('"') for name, value in FIELD.findall(line)}


def _parse_loss(fields):
    return Loss(
        second=_parse_second(fields.get("time", "")),
        outcome=fields.get("outcome", "unknown"),
        reason=fields.get("reason", "unknown"),
        route=fields.get("route", "unknown"),
        kind=fields.get("route_kind", "unknown"),
        priority=fields.get("priority", "unknown"),
        stage=_longest_stage(fields),
        replica=fields.get("replica", "none"),
        left_out=int(fields.get("left_out") or 0),
    )


def _parse_second(text):
    try:
        return int(datetime.fromisoformat(text).timestamp())
    except ValueError:
        return 0


def _longest_stage(fields):
    """The stage that took the most time."""
    previous_end, durations = 0, {}
    for stage in STAGES:
        ended_at = int(fields.get(f"{stage}_ms") or NOT_REACHED)
        if ended_at != NOT_REACHED:
            durations[stage] = ended_at - previous_end
            previous_end = ended_at
    return max(durations, key=durations.get) if durations else "unknown"


def summarize(losses):
    """Lines to print: the total, then counts by outcome and reason, route, longest stage, second and replica, largest
    first."""
    losses = list(losses)
    left_out = sum(loss.left_out for loss in losses)
    yield f"{len(losses)} requests lost, {left_out} more not logged one by one"
    if not losses:
        return
    first_second = min(loss.second for loss in losses)
    for title, key in (
        ("by outcome and reason", lambda loss: f"{loss.outcome} {loss.reason}"),
        ("by route, kind and priority", lambda loss: f"{loss.route} {loss.kind} {loss.priority}"),
        ("by the stage that took longest", lambda loss: f"{loss.outcome} {loss.stage}"),
        ("by second since the first", lambda loss: f"{loss.second - first_second}"),
        ("by replica", lambda loss: loss.replica),
    ):
        yield f"{title}:"
        for name, count in Counter(map(key, losses)).most_common(12):
            yield f"    {count:6d}  {name}"
