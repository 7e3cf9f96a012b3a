"""Holds what callers and operators saw against what reached the stand-ins: one entry for each rule of what
must never happen. A rule is a function (view, record) -> Report: how many things it checked, how many of them came
near the fault (a rule that nothing came near has proved nothing), and the violations.

Every run is laid to the one try that caused it, by the name that the caller gave that try."""

from collections import Counter, defaultdict
from typing import NamedTuple

from oakramp.common.registry import Registry
from oakramp.testbed.linearizability import Answer, Order, Read, Try, check_history

RULES = Registry("rule")
KEY_TIME = 60.0  # s; the brief's minute for keys and for earlier turns
LEAVING_TIME = 3.0  # s
PLAN_TIME = 2.0  # s
LATE_ANSWER = 1.0  # s; after its time left a request has its final answer within this


class Report(NamedTuple):
    checked: int
    near: int
    bad: list


def _runs_by_turn(record):
    runs = defaultdict(list)
    for run in record.runs:
        if run.kind == "turn":
            runs[run.body["line"], run.body["turn"]].append(run)
    return runs


def _runs_by_try(record):
    runs = defaultdict(list)
    for run in record.runs:
        runs[run.body.get("request")].append(run)
    return runs


def _turns(view):
    return [asked for asked in view.asked if asked.kind == "turn"]


def _turn_key(asked):
    return asked.line_key, asked.body["turnId"]


def _name_of(asked):
    return f"turn {_turn_key(asked)}" if asked.kind == "turn" else f"plain {asked.body['key'] or asked.body['body']}"


def _is_keyed(asked):
    return asked.kind == "plain" and bool(asked.body["key"])


def _ran_after_no(asked, runs):
    return [
        f"{_name_of(asked)} ran though that try was told no ({attempt.error})"
        for attempt in asked.attempts
        for _ in runs[attempt.request]
        if attempt.verdict == "no"
    ]


def _is_unsure(asked):
    """Whether it was asked for again after a try that may have run, or a try was told no."""
    return len(asked.attempts) > 1 or any(attempt.verdict != "yes" for attempt in asked.attempts)


@RULES.enter("once")
def _once(view, record):
    """A request that may not be repeated runs at most once; one that may, once for each try of a turn; and none for
    a try that was told no."""
    runs, bad = _runs_by_try(record), []
    tries = {attempt.request for asked in view.asked for attempt in asked.attempts}
    bad += [f"run {run.run} belongs to no try" for run in record.runs if run.body.get("request") not in tries]
    unkeyed = [asked for asked in view.asked if not _is_keyed(asked)]
    for asked in unkeyed:
        bad += _ran_after_no(asked, runs)
        ran = [len(runs[attempt.request]) for attempt in asked.attempts]
        # A plain call without key is a request of its own at each try.
        most = sum(ran) if asked.repeatable or asked.kind == "plain" else 1
        if sum(ran) > most or (max(ran, default=0) > 1 and not (asked.repeatable and asked.kind == "plain")):
            bad.append(f"{_name_of(asked)} ran {ran} times in its tries")
    return Report(len(unkeyed), sum(map(_is_unsure, unkeyed)), bad)


@RULES.enter("keyedOnce")
def _keyed_once(view, record):
    """A keyed call does not run twice within a minute, nor for a try that was told no."""
    by_try, runs, bad = _runs_by_try(record), defaultdict(list), []
    for run in record.runs:
        if run.kind == "plain" and run.body["key"]:
            runs[run.body["key"]].append(run)
    keyed = [asked for asked in view.asked if _is_keyed(asked)]
    for key in {asked.body["key"] for asked in keyed}:
        times = sorted(run.at for run in runs[key])
        bad += [
            f"key {key} ran twice within {later - earlier:.1f} s"
            for earlier, later in zip(times, times[1:])
            if later - earlier < KEY_TIME
        ]
    for asked in keyed:
        bad += _ran_after_no(asked, by_try)
    return Report(len(keyed), sum(map(_is_unsure, keyed)), bad)


@RULES.enter("ownAnswer")
def _own_answer(view, record):
    """A caller gets its own request's answer, and one that looks complete is complete."""
    runs, bad, checked, near = _runs_by_turn(record), [], 0, 0
    for asked in _turns(view):
        for attempt in asked.attempts:
            pieces = [[event["text"], event["units"]] for event in attempt.events if event["type"] == "piece"]
            if not attempt.events or (not pieces and attempt.outcome != "end"):
                continue
            checked += 1
            near += attempt.outcome != "end" or len(runs[_turn_key(asked)]) > 1
            run_id = attempt.events[0]["run"]
            ran = next((run for run in runs[_turn_key(asked)] if run.run == run_id), None)
            if ran is None or [list(piece) for piece in ran.pieces][: len(pieces)] != pieces:
                bad.append(f"turn {_turn_key(asked)} got pieces that no run of it put out")
            elif attempt.outcome == "end" and (not ran.finished or len(pieces) != len(ran.pieces)):
                bad.append(f"turn {_turn_key(asked)} ended with {len(pieces)} pieces of {len(ran.pieces)}")
    for asked in view.asked:
        for attempt in asked.attempts:
            if asked.kind == "plain" and attempt.answer is not None:
                checked += 1
                near += len(asked.attempts) > 1
                if attempt.answer.get("done") != asked.body["body"]:
                    bad.append(f"plain {asked.body} got {attempt.answer}")
    return Report(checked, near, bad)


@RULES.enter("stream")
def _stream(view, _record):
    """A stream has no gap, no repeat, and pieces of one run only."""
    bad, checked, near = [], 0, 0
    for asked in _turns(view):
        for attempt in (attempt for attempt in asked.attempts if attempt.events):
            checked += 1
            near += attempt.outcome != "end" or len(asked.attempts) > 1
            if [event["seq"] for event in attempt.events] != list(range(len(attempt.events))):
                bad.append(f"turn {_turn_key(asked)} got pieces {[event['seq'] for event in attempt.events]}")
            if len({event["run"] for event in attempt.events}) != 1:
                bad.append(f"turn {_turn_key(asked)} got pieces of several runs")
    return Report(checked, near, bad)


@RULES.enter("budget")
def _budget(view, record):
    """A program puts out at most its budget and one turn."""
    out, most = defaultdict(int), defaultdict(int)
    for run in record.runs:
        if run.kind == "turn":
            program = run.body["line"].rpartition("/")[0]
            out[program] += sum(units for _, units in run.pieces)
            most[program] = max(most[program], run.body["maxOutput"])
    near = sum(out[program] + most[program] > limit for program, limit in view.programs.items())
    return Report(
        len(view.programs),
        near,
        [
            f"program {program} put out {out[program]} units, its limit is {limit}"
            for program, limit in view.programs.items()
            if out[program] > limit + most[program]
        ],
    )


@RULES.enter("endedStaysEnded")
def _ended_stays_ended(view, record):
    """Nothing that is asked for after a program's end was confirmed runs, or is said to."""
    runs, bad, checked = _runs_by_try(record), [], 0
    for asked in _turns(view):
        ended_at = view.ended_at.get(asked.line_key.rpartition("/")[0])
        for attempt in (one for one in asked.attempts if ended_at is not None and one.asked_at >= ended_at):
            checked += 1
            if runs[attempt.request] or attempt.outcome == "end":
                bad.append(f"{_name_of(asked)} went on {attempt.asked_at - ended_at:.1f} s after its program's end")
    return Report(checked, checked, bad)


@RULES.enter("refusedNeverRuns")
def _refused_never_runs(view, record):
    """A turn refused for lack of budget does not run after that."""
    runs, bad, checked, near = _runs_by_turn(record), [], 0, 0
    for asked in _turns(view):
        refusals = [attempt.done_at for attempt in asked.attempts if attempt.status == 402]
        if refusals:
            checked += 1
            near += len(asked.attempts) > 1
            bad += [
                f"turn {_turn_key(asked)} ran after its refusal"
                for run in runs[_turn_key(asked)]
                if run.at > min(refusals)
            ]
    return Report(checked, near, bad)


@RULES.enter("goneTooSoon")
def _gone_too_soon(view, _record):
    """No turn is told that its earlier turn is gone when that finished less than a minute ago."""
    ended_at, bad, checked, near = {}, [], 0, 0
    for asked in _turns(view):
        if asked.ended():
            ended_at[_turn_key(asked)] = asked.ended().done_at
    for asked in _turns(view):
        earlier = ended_at.get((asked.line_key, asked.body["after"]))
        if earlier is None:
            continue
        checked += 1
        # Some try met stores that could not tell, or went on after a turn that had to be asked for again.
        near += any(attempt.error in ("cannotTell", "gone", "noAnswer") for attempt in asked.attempts)
        bad += [
            f"turn {_turn_key(asked)} was told gone {attempt.done_at - earlier:.1f} s after the earlier turn"
            for attempt in asked.attempts
            if attempt.error == "gone"
            and attempt.verdict == "no"
            and attempt.asked_at >= earlier
            and attempt.done_at - earlier < KEY_TIME
        ]
    return Report(checked, near, bad)


@RULES.enter("history")
def _history(view, record):
    """A replica gets exactly the earlier inputs and outputs, then the new input."""
    asked = {_turn_key(one): one for one in _turns(view)}
    forks = Counter((one.line_key, one.body["after"]) for one in _turns(view))
    runs, bad, checked, near = _runs_by_turn(record), [], 0, 0
    outputs = {
        key: {"".join(text for text, _ in run.pieces) for run in ran if run.finished} for key, ran in runs.items()
    }
    for (line, turn_id), ran in runs.items():
        path, parent = [], asked[line, turn_id].body["after"] if (line, turn_id) in asked else None
        while parent is not None:
            path.insert(0, parent)
            parent = asked[line, parent].body["after"]
        # Some turn on the way had to be asked for again, or another one went on from the same place.
        unsure = any(len(asked[line, one].attempts) > 1 for one in path) or any(forks[line, one] > 1 for one in path)
        for run in ran:
            checked += 1
            near += unsure
            got = run.body["history"]
            right = (
                (line, turn_id) in asked
                and run.body["input"] == asked[line, turn_id].body["input"]
                and len(got) == len(path)
                and all(
                    turn["input"] == asked[line, one].body["input"]
                    and turn["output"] in _seen_outputs(asked[line, one], outputs.get((line, one), set()))
                    for turn, one in zip(got, path)
                )
            )
            if not right:
                bad.append(f"run {run.run} of {line} {turn_id} got {len(got)} earlier turns, not {path}")
    return Report(checked, near, bad)


def _seen_outputs(asked, finished):
    """What the earlier turn's output may be: what its caller saw, if it saw the end."""
    ended = asked.ended()
    if ended is None:
        return finished
    return {"".join(event["text"] for event in ended.events if event["type"] == "piece")}


@RULES.enter("leaving")
def _leaving(_view, record):
    """No request reaches a replica more than 3 s after it was known to be leaving."""
    runs = [run for run in record.runs if run.replica in record.leaving_since]
    known = {run.replica: record.known_leaving(run.replica) for run in runs}
    near = sum(known[run.replica] < run.at for run in runs)
    return Report(
        len(runs),
        near,
        [
            f"run {run.run} reached {run.replica} {run.at - known[run.replica]:.2f} s after it was known to leave"
            for run in runs
            if run.at > known[run.replica] + LEAVING_TIME
        ],
    )


@RULES.enter("planAge")
def _plan_age(view, record):
    """No request is handled under a plan that was replaced more than 2 s ago, in any field."""
    tried_at = {attempt.request: attempt.asked_at for asked in view.asked for attempt in asked.attempts}
    lowered = {_turn_key(asked): asked.body.get("maxOutput") or float("inf") for asked in _turns(view)}
    accepted = sorted(
        (plan.partner, plan.version, plan.done_at, plan.marker, plan.max_output)
        for plan in view.plans
        if plan.outcome == "accepted"
    )
    bad, checked, near = [], 0, 0
    for run in record.runs:
        marker = run.body.get("adapter")
        plan = next((plan for plan in accepted if plan[3] == marker), None)
        if marker is None or plan is None:
            continue
        checked += 1
        if (
            run.kind == "turn"
            and plan[4]
            and (run.body["line"], run.body["turn"]) in lowered
            and run.body["maxOutput"] != min(plan[4], lowered[run.body["line"], run.body["turn"]])
        ):
            bad.append(f"run {run.run} went under {marker} with {run.body['maxOutput']} units of another plan")
        asked_at = tried_at.get(run.body.get("request"), run.at)
        near += any(
            partner == plan[0] and asked_at - PLAN_TIME < done_at < run.at + PLAN_TIME
            for partner, _, done_at, _, _ in accepted
        )
        newer = [done_at for partner, version, done_at, _, _ in accepted if partner == plan[0] and version > plan[1]]
        if newer and run.at > min(newer) + PLAN_TIME:
            bad.append(f"run {run.run} went under {marker} {run.at - min(newer):.2f} s after a newer plan")
    return Report(checked, near, bad)


@RULES.enter("plans")
def _plans(view, record):
    """A refused plan takes no effect, versions are accepted once, and the newest accepted is read back."""
    bad = []
    refused = {plan.marker for plan in view.plans if plan.outcome == "refused"} - {
        plan.marker for plan in view.plans if plan.outcome != "refused"
    }
    bad += [
        f"run {run.run} went under the refused plan {run.body['adapter']}"
        for run in record.runs
        if run.body.get("adapter") in refused
    ]
    versions = defaultdict(set)
    for plan in view.plans:
        if plan.outcome == "accepted":
            versions[plan.partner, plan.version].add(plan.change_id)
    bad += [
        f"{partner} version {version} was accepted for {len(change_ids)} changes"
        for (partner, version), change_ids in versions.items()
        if len(change_ids) > 1
    ]
    for partner, (version, marker) in view.read_back.items():
        newest = max(
            (plan.version for plan in view.plans if plan.partner == partner and plan.outcome == "accepted"), default=0
        )
        if version < newest:
            bad.append(f"{partner}'s plan reads back as version {version}, {newest} was accepted")
        if marker in refused:
            bad.append(f"{partner}'s plan reads back as the refused {marker}")
    near = sum(plan.outcome != "accepted" for plan in view.plans)
    return Report(len(view.plans) + len(view.read_back), near, bad)


def _planAnswer(plan):
    if plan.outcome == "refused":
        return Answer.REFUSED if plan.error == "lost" else Answer.INVALID
    return Answer.TAKEN if plan.outcome == "accepted" else Answer.OPEN


def _planOrders(plans):
    """The plans as orders: what is sent again under its change id is one order. One that was refused for what it holds
    is taken for invalid. A plan is built on the version below its own."""
    orders = {}
    for plan in plans:
        answer = _planAnswer(plan)
        order = orders.setdefault((plan.change_id, plan.content), Order(plan.based_on, plan.based_on + 1, plan.content))
        order.tries.append(Try(plan.asked_at, plan.done_at, answer))
        order.is_valid &= answer is not Answer.INVALID
    return list(orders.values())


@RULES.enter("planOrder")
def _planOrder(view, _record):
    """Each partner's plan is as a single compare-and-set register would hold it (oakramp.testbed.linearizability)."""
    bad, checked, near = [], 0, 0
    for partner in sorted({plan.partner for plan in view.plans}):
        orders = _planOrders([plan for plan in view.plans if plan.partner == partner and plan.based_on is not None])
        reads = [
            Read(read.version, read.content, read.asked_at, read.done_at)
            for read in view.planReads
            if read.partner == partner
        ]
        bad += [f"{partner}'s plan: {fault}" for fault in check_history(orders, reads)]
        checked += len(orders) + len(reads)
        near += sum(not order.is_taken or len(order.tries) > 1 for order in orders)
    return Report(checked, near, bad)


@RULES.enter("timeLeft")
def _time_left(view, _record):
    """No request outlives its time left: by then it has its final answer."""
    bad, checked, near = [], 0, 0
    for asked in view.asked:
        for attempt in asked.attempts:
            checked += 1
            took, most = (
                attempt.done_at - attempt.asked_at,
                asked.body["timeLeft"] if "timeLeft" in asked.body else None,
            )
            near += most is not None and took > most / 2
            if most is not None and took > most + LATE_ANSWER + view.slack:
                bad.append(f"{_name_of(asked)} was answered after {took:.1f} s, {most} s were left")
    return Report(checked, near, bad)


def check(view, record):
    """rule -> Report."""
    return {name: RULES.find(name)(view, record) for name in RULES.names()}


def cut_off(view, since, until):
    """Requests that were cut off in this span: for spans in which only planned things happened."""
    return [
        f"{asked.kind} {asked.body.get('turnId') or asked.body.get('key')}: {attempt.outcome} {attempt.error}"
        for asked in view.asked
        for attempt in asked.attempts
        if since <= attempt.asked_at <= until and (attempt.outcome in ("cut", "break") and attempt.verdict != "no")
    ]
