"""Compares what clients and operators observed with what reached the emulated replicas, by one rule for each thing that
must never happen. A rule is a function (view, record) -> Report: how many cases it checked, how many of them were near
misses (a rule without near misses has proved nothing), and the violations.

Every run on a replica is attributed to the one attempt that caused it, by the id that the client gave that attempt."""

from collections import Counter, defaultdict
from typing import NamedTuple

from oakramp.common.registry import Registry
from oakramp.testbed.linearizability import Answer, Order, Read, Try, check_history

RULES = Registry("rule")
KEY_TIME = 60.0  # s; how long the requirements guarantee idempotency keys and earlier turns
LEAVING_TIME = 3.0  # s; a replica known to be leaving may get requests for so long
PLAN_TIME = 2.0  # s; a replaced plan may be applied for so long
LATE_RESPONSE = 1.0  # s; a request has its final response at most so long after its deadline


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


def _turn_requests(view):
    return [request for request in view.requests if request.kind == "turn"]


def _turn_key(request):
    return request.conversation_key, request.body["turnId"]


def _describe(request):
    return (
        f"turn {_turn_key(request)}"
        if request.kind == "turn"
        else f"plain {request.body['key'] or request.body['body']}"
    )


def _is_keyed(request):
    return request.kind == "plain" and bool(request.body["key"])


def _ran_after_no(request, runs):
    return [
        f"{_describe(request)} ran although that attempt was rejected ({attempt.error})"
        for attempt in request.attempts
        for _ in runs[attempt.request]
        if attempt.verdict == "no"
    ]


def _is_unsure(request):
    """Whether it was sent again after an attempt that may have run, or an attempt was rejected."""
    return len(request.attempts) > 1 or any(attempt.verdict != "yes" for attempt in request.attempts)


@RULES.enter("once")
def _once(view, record):
    """A request that may not be repeated runs at most once, a repeatable turn at most once for each attempt, and none
    runs for an attempt that was rejected."""
    runs, bad = _runs_by_try(record), []
    attempt_ids = {attempt.request for request in view.requests for attempt in request.attempts}
    bad += [f"run {run.run} belongs to no attempt" for run in record.runs if run.body.get("request") not in attempt_ids]
    unkeyed = [request for request in view.requests if not _is_keyed(request)]
    for request in unkeyed:
        bad += _ran_after_no(request, runs)
        ran = [len(runs[attempt.request]) for attempt in request.attempts]
        # A plain call without a key is a separate request at each attempt.
        most = sum(ran) if request.repeatable or request.kind == "plain" else 1
        if sum(ran) > most or (max(ran, default=0) > 1 and not (request.repeatable and request.kind == "plain")):
            bad.append(f"{_describe(request)} ran {ran} times in its attempts")
    return Report(len(unkeyed), sum(map(_is_unsure, unkeyed)), bad)


@RULES.enter("keyedOnce")
def _keyed_once(view, record):
    """A call with an idempotency key does not run twice within a minute, nor for an attempt that was rejected."""
    by_try, runs, bad = _runs_by_try(record), defaultdict(list), []
    for run in record.runs:
        if run.kind == "plain" and run.body["key"]:
            runs[run.body["key"]].append(run)
    keyed = [request for request in view.requests if _is_keyed(request)]
    for key in {request.body["key"] for request in keyed}:
        times = sorted(run.at for run in runs[key])
        bad += [
            f"key {key} ran twice within {later - earlier:.1f} s"
            for earlier, later in zip(times, times[1:])
            if later - earlier < KEY_TIME
        ]
    for request in keyed:
        bad += _ran_after_no(request, by_try)
    return Report(len(keyed), sum(map(_is_unsure, keyed)), bad)


@RULES.enter("ownAnswer")
def _own_answer(view, record):
    """A client gets the response to its own request, and a response that looks complete is complete."""
    runs, bad, checked, near = _runs_by_turn(record), [], 0, 0
    for request in _turn_requests(view):
        for attempt in request.attempts:
            pieces = [[event["text"], event["units"]] for event in attempt.events if event["type"] == "piece"]
            if not attempt.events or (not pieces and attempt.outcome != "end"):
                continue
            checked += 1
            near += attempt.outcome != "end" or len(runs[_turn_key(request)]) > 1
            run_id = attempt.events[0]["run"]
            ran = next((run for run in runs[_turn_key(request)] if run.run == run_id), None)
            if ran is None or [list(piece) for piece in ran.pieces][: len(pieces)] != pieces:
                bad.append(f"turn {_turn_key(request)} got pieces that none of its runs produced")
            elif attempt.outcome == "end" and (not ran.finished or len(pieces) != len(ran.pieces)):
                bad.append(f"turn {_turn_key(request)} ended with {len(pieces)} pieces of {len(ran.pieces)}")
    for request in view.requests:
        for attempt in request.attempts:
            if request.kind == "plain" and attempt.answer is not None:
                checked += 1
                near += len(request.attempts) > 1
                if attempt.answer.get("done") != request.body["body"]:
                    bad.append(f"plain {request.body} got {attempt.answer}")
    return Report(checked, near, bad)


@RULES.enter("stream")
def _stream(view, _record):
    """A stream has no gaps, no duplicates, and pieces of one run only."""
    bad, checked, near = [], 0, 0
    for request in _turn_requests(view):
        for attempt in (attempt for attempt in request.attempts if attempt.events):
            checked += 1
            near += attempt.outcome != "end" or len(request.attempts) > 1
            if [event["seq"] for event in attempt.events] != list(range(len(attempt.events))):
                bad.append(f"turn {_turn_key(request)} got pieces {[event['seq'] for event in attempt.events]}")
            if len({event["run"] for event in attempt.events}) != 1:
                bad.append(f"turn {_turn_key(request)} got pieces of several runs")
    return Report(checked, near, bad)


@RULES.enter("budget")
def _budget(view, record):
    """A program's output exceeds its budget by at most one turn."""
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
            f"program {program} produced {out[program]} units, its limit is {limit}"
            for program, limit in view.programs.items()
            if out[program] > limit + most[program]
        ],
    )


@RULES.enter("endedStaysEnded")
def _ended_stays_ended(view, record):
    """A request sent after the end of its program was confirmed neither runs nor is reported as run."""
    runs, bad, checked = _runs_by_try(record), [], 0
    for request in _turn_requests(view):
        ended_at = view.ended_at.get(request.conversation_key.rpartition("/")[0])
        for attempt in (one for one in request.attempts if ended_at is not None and one.asked_at >= ended_at):
            checked += 1
            if runs[attempt.request] or attempt.outcome == "end":
                bad.append(f"{_describe(request)} ran {attempt.asked_at - ended_at:.1f} s after its program's end")
    return Report(checked, checked, bad)


@RULES.enter("refusedNeverRuns")
def _refused_never_runs(view, record):
    """A turn rejected for lack of budget does not run after that."""
    runs, bad, checked, near = _runs_by_turn(record), [], 0, 0
    for request in _turn_requests(view):
        refusals = [attempt.done_at for attempt in request.attempts if attempt.status == 402]
        if refusals:
            checked += 1
            near += len(request.attempts) > 1
            bad += [
                f"turn {_turn_key(request)} ran after its rejection"
                for run in runs[_turn_key(request)]
                if run.at > min(refusals)
            ]
    return Report(checked, near, bad)


@RULES.enter("goneTooSoon")
def _gone_too_soon(view, _record):
    """No turn is rejected with "gone" when the earlier turn that it continues finished less than a minute ago."""
    ended_at, bad, checked, near = {}, [], 0, 0
    for request in _turn_requests(view):
        if request.ended():
            ended_at[_turn_key(request)] = request.ended().done_at
    for request in _turn_requests(view):
        earlier = ended_at.get((request.conversation_key, request.body["after"]))
        if earlier is None:
            continue
        checked += 1
        # Near miss: an attempt met stores that could not tell, or got no response, so that the turn was sent again.
        near += any(attempt.error in ("cannotTell", "gone", "noAnswer") for attempt in request.attempts)
        bad += [
            f"turn {_turn_key(request)} was rejected as gone {attempt.done_at - earlier:.1f} s after the earlier turn"
            for attempt in request.attempts
            if attempt.error == "gone"
            and attempt.verdict == "no"
            and attempt.asked_at >= earlier
            and attempt.done_at - earlier < KEY_TIME
        ]
    return Report(checked, near, bad)


@RULES.enter("history")
def _history(view, record):
    """A replica gets exactly the earlier inputs and outputs, then the new input."""
    requests = {_turn_key(one): one for one in _turn_requests(view)}
    forks = Counter((one.conversation_key, one.body["after"]) for one in _turn_requests(view))
    runs, bad, checked, near = _runs_by_turn(record), [], 0, 0
    outputs = {
        key: {"".join(text for text, _ in run.pieces) for run in ran if run.finished} for key, ran in runs.items()
    }
    for (line, turn_id), ran in runs.items():
        path, parent = [], requests[line, turn_id].body["after"] if (line, turn_id) in requests else None
        while parent is not None:
            path.insert(0, parent)
            parent = requests[line, parent].body["after"]
        # Near miss: a turn on the path was sent again, or a second turn continues the same earlier turn.
        unsure = any(len(requests[line, one].attempts) > 1 for one in path) or any(forks[line, one] > 1 for one in path)
        for run in ran:
            checked += 1
            near += unsure
            got = run.body["history"]
            right = (
                (line, turn_id) in requests
                and run.body["input"] == requests[line, turn_id].body["input"]
                and len(got) == len(path)
                and all(
                    turn["input"] == requests[line, one].body["input"]
                    and turn["output"] in _seen_outputs(requests[line, one], outputs.get((line, one), set()))
                    for turn, one in zip(got, path)
                )
            )
            if not right:
                bad.append(f"run {run.run} of {line} {turn_id} got {len(got)} earlier turns, not {path}")
    return Report(checked, near, bad)


def _seen_outputs(request, finished):
    """The outputs that an earlier turn may have: what its client received, if it received the end."""
    ended = request.ended()
    if ended is None:
        return finished
    return {"".join(event["text"] for event in ended.events if event["type"] == "piece")}


@RULES.enter("leaving")
def _leaving(_view, record):
    """No request reaches a replica more than 3 s after the replica was known to be leaving."""
    runs = [run for run in record.runs if run.replica in record.leaving_since]
    known = {run.replica: record.leaving_known_since(run.replica) for run in runs}
    near = sum(known[run.replica] < run.at for run in runs)
    return Report(
        len(runs),
        near,
        [
            f"run {run.run} reached {run.replica} {run.at - known[run.replica]:.2f} s after it was known to be leaving"
            for run in runs
            if run.at > known[run.replica] + LEAVING_TIME
        ],
    )


@RULES.enter("planAge")
def _plan_age(view, record):
    """No request is handled under a plan that was replaced more than 2 s ago, as far as any field shows."""
    tried_at = {attempt.request: attempt.asked_at for request in view.requests for attempt in request.attempts}
    lowered = {_turn_key(request): request.body.get("maxOutput") or float("inf") for request in _turn_requests(view)}
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
            bad.append(
                f"run {run.run} ran under {marker} with the limit of {run.body['maxOutput']} units of another plan"
            )
        asked_at = tried_at.get(run.body.get("request"), run.at)
        near += any(
            partner == plan[0] and asked_at - PLAN_TIME < done_at < run.at + PLAN_TIME
            for partner, _, done_at, _, _ in accepted
        )
        newer = [done_at for partner, version, done_at, _, _ in accepted if partner == plan[0] and version > plan[1]]
        if newer and run.at > min(newer) + PLAN_TIME:
            bad.append(f"run {run.run} ran under {marker} {run.at - min(newer):.2f} s after a newer plan")
    return Report(checked, near, bad)


@RULES.enter("plans")
def _plans(view, record):
    """A rejected plan takes no effect, each version is accepted once, and the newest accepted plan is read back."""
    bad = []
    refused = {plan.marker for plan in view.plans if plan.outcome == "refused"} - {
        plan.marker for plan in view.plans if plan.outcome != "refused"
    }
    bad += [
        f"run {run.run} ran under the rejected plan {run.body['adapter']}"
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
            bad.append(f"{partner}'s plan reads back as the rejected {marker}")
    near = sum(plan.outcome != "accepted" for plan in view.plans)
    return Report(len(view.plans) + len(view.read_back), near, bad)


def _plan_answer(plan):
    if plan.outcome == "refused":
        return Answer.REFUSED if plan.error == "lost" else Answer.INVALID
    return Answer.ACKNOWLEDGED if plan.outcome == "accepted" else Answer.OPEN


def _plan_orders(plans):
    """The plans as orders: all sendings under one change id are one order. A plan rejected for its content counts as
    invalid. A plan is based on the version just below its own."""
    orders = {}
    for plan in plans:
        answer = _plan_answer(plan)
        order = orders.setdefault((plan.change_id, plan.content), Order(plan.based_on, plan.based_on + 1, plan.content))
        order.tries.append(Try(plan.asked_at, plan.done_at, answer))
        order.is_valid &= answer is not Answer.INVALID
    return list(orders.values())


@RULES.enter("planOrder")
def _plan_order(view, _record):
    """Each partner's plan behaves like a single compare-and-set register (oakramp.testbed.linearizability)."""
    bad, checked, near = [], 0, 0
    for partner in sorted({plan.partner for plan in view.plans}):
        orders = _plan_orders([plan for plan in view.plans if plan.partner == partner and plan.based_on is not None])
        reads = [
            Read(read.version, read.content, read.asked_at, read.done_at)
            for read in view.planReads
            if read.partner == partner
        ]
        bad += [f"{partner}'s plan: {fault}" for fault in check_history(orders, reads)]
        checked += len(orders) + len(reads)
        near += sum(not order.is_acknowledged or len(order.tries) > 1 for order in orders)
    return Report(checked, near, bad)


@RULES.enter("timeLeft")
def _time_left(view, _record):
    """Each request has its final response by its deadline."""
    bad, checked, near = [], 0, 0
    for request in view.requests:
        for attempt in request.attempts:
            checked += 1
            took, most = (
                attempt.done_at - attempt.asked_at,
                request.body["timeLeft"] if "timeLeft" in request.body else None,
            )
            near += most is not None and took > most / 2
            if most is not None and took > most + LATE_RESPONSE + view.slack:
                bad.append(f"{_describe(request)} got its response after {took:.1f} s; its deadline was {most} s")
    return Report(checked, near, bad)


def check(view, record):
    """The report of each rule, by the rule's name."""
    return {name: RULES.find(name)(view, record) for name in RULES.names()}


def cut_off(view, since, until):
    """Requests that were cut off in this span; meant for spans that contain only planned operations."""
    return [
        f"{request.kind} {request.body.get('turnId') or request.body.get('key')}: {attempt.outcome} {attempt.error}"
        for request in view.requests
        for attempt in request.attempts
        if since <= attempt.asked_at <= until and (attempt.outcome in ("cut", "break") and attempt.verdict != "no")
    ]
