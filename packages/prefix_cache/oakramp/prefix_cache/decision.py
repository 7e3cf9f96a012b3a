"""One round of the deciding node for one service: from the gateways' reports and the current plan to the next plan."""

from dataclasses import dataclass, field

from oakramp.prefix_cache.detector import Detector, findings_of
from oakramp.prefix_cache.planner import is_worth, plan_of


@dataclass(frozen=True)
class Outcome:
    """`rows` is the plan: {tenant: {"replicas": ids, "evicted": share, "late": share when it was found}}."""

    findings: dict
    rows: dict
    moved: list = field(default_factory=list)
    released: list = field(default_factory=list)
    without_room: list = field(default_factory=list)


class Decision:
    """Invariant: only counts of consecutive rounds are kept here; the current plan is passed in, so that a node that
    takes over the task continues from it."""

    def __init__(self):
        self._detector = Detector()

    def next(self, loads, flow, cache_tokens, replicas, previous):
        """Returns the Outcome of this round. `previous` are the current rows, `replicas` the ids that are ready."""
        if not replicas:
            return Outcome({}, previous)
        findings = findings_of(loads, flow, cache_tokens, len(replicas))
        new, over = self._detector.judge(findings, previous.keys())
        held = {name: row["replicas"] for name, row in previous.items() if name not in over}
        plan, without_room = plan_of(loads, held.keys() | new, replicas, cache_tokens, held)
        if not is_worth(loads, flow, cache_tokens, replicas, plan):
            # The other tenants' load may make the plan useless for now; moved tenants stay, as moving back and forth
            # costs most.
            plan = {name: stay for name, ids in held.items() if (stay := [one for one in ids if one in replicas])}
            without_room = sorted(new)
        rows = {
            name: previous.get(
                name,
                {"evicted": round(findings[name].evicted, 3), "late": round(findings[name].load.late, 3)}
                if name in findings
                else {},
            )
            | {"replicas": ids}
            for name, ids in plan.items()
        }
        return Outcome(
            findings,
            rows,
            sorted(rows.keys() - previous.keys()),
            sorted(previous.keys() - rows.keys()),
            sorted(without_room),
        )
