"""One service's round at who decides: from the gates' reports and the plan in force to the next plan."""

from dataclasses import dataclass, field

from oakramp.prefix_cache.detector import Detector, findings_of
from oakramp.prefix_cache.planner import is_worth, plan_of


@dataclass(frozen=True)
class Outcome:
    """`rows` is the plan: {tenant: {"replicas": ids, "evicted": share, "late": share when it was found}}."""

    findings: dict
    rows: dict
    moved: list = field(default_factory=list)
    let_go: list = field(default_factory=list)
    without_room: list = field(default_factory=list)


class Decision:
    """Invariant: nothing but rounds in a row is kept here; the plan in force is handed in, so that who takes the duty
    over goes on from it."""

    def __init__(self):
        self._detector = Detector()

    def next(self, loads, flow, cache_tokens, replicas, previous):
        """The Outcome of this round. `previous` are the rows in force, `replicas` the ids that are ready."""
        if not replicas:
            return Outcome({}, previous)
        findings = findings_of(loads, flow, cache_tokens, len(replicas))
        new, over = self._detector.judge(findings, previous.keys())
        held = {name: row["replicas"] for name, row in previous.items() if name not in over}
        plan, without_room = plan_of(loads, held.keys() | new, replicas, cache_tokens, held)
        if not is_worth(loads, flow, cache_tokens, replicas, plan):
            # What others send may have made it worthless for now; who is moved stays, since to and fro costs most.
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
