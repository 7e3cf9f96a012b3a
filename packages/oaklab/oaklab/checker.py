"""Holds what callers and operators saw against what reached the stand-ins: one entry for each rule of what
must never happen. A rule is a function (view, record) -> (count of things checked, list of violations)."""
from collections import defaultdict

from oakbase.registry import Registry

RULES = Registry("rule")
KEY_TIME = 60.0     # s; the brief's minute for keys and for earlier turns
LEAVING_TIME = 3.0  # s
PLAN_TIME = 2.0     # s


def _runsByTurn(record):
    runs = defaultdict(list)
    for run in record.runs:
        if run.kind == "turn":
            runs[run.body["line"], run.body["turn"]].append(run)
    return runs


def _turns(view):
    return [asked for asked in view.asked if asked.kind == "turn"]


def _turnKey(asked):
    return asked.lineKey, asked.body["turnId"]


@RULES.enter("once")
def _once(view, record):
    """A request that may not be repeated runs at most once, and never after its callers were told no."""
    runs, bad = _runsByTurn(record), []
    for asked in _turns(view):
        ran = runs[_turnKey(asked)]
        possible = [attempt for attempt in asked.attempts if attempt.verdict != "no"]
        most = len(possible) if asked.repeatable else min(1, len(possible))
        if len(ran) > most:
            bad.append(f"turn {_turnKey(asked)} ran {len(ran)} times, {most} could have")
    plain = defaultdict(list)
    for run in record.runs:
        if run.kind == "plain":
            plain[str(run.body["body"])].append(run)
    unkeyed = [asked for asked in view.asked if asked.kind == "plain" and not asked.body["key"]]
    for asked in unkeyed:
        possible = [attempt for attempt in asked.attempts if attempt.verdict != "no"]
        ran = plain[str(asked.body["body"])]
        if not asked.repeatable and len(ran) > len(possible):
            bad.append(f"plain {asked.body['body']} ran {len(ran)} times, {len(possible)} could have")
    return len(_turns(view)) + len(unkeyed), bad


@RULES.enter("keyedOnce")
def _keyedOnce(view, record):
    """A keyed call does not run twice within a minute, nor if every attempt was told no."""
    runs, bad = defaultdict(list), []
    for run in record.runs:
        if run.kind == "plain" and run.body["key"]:
            runs[run.body["key"]].append(run)
    keyed = [asked for asked in view.asked if asked.kind == "plain" and asked.body["key"]]
    for key in {asked.body["key"] for asked in keyed}:
        times = sorted(run.at for run in runs[key])
        bad += [f"key {key} ran twice within {later - earlier:.1f} s"
                for earlier, later in zip(times, times[1:]) if later - earlier < KEY_TIME]
        if times and all(attempt.verdict == "no" for asked in keyed if asked.body["key"] == key
                         for attempt in asked.attempts):
            bad.append(f"key {key} ran though every attempt was told no")
    return len(keyed), bad


@RULES.enter("ownAnswer")
def _ownAnswer(view, record):
    """A caller gets its own request's answer, and one that looks complete is complete."""
    runs, bad, checked = _runsByTurn(record), [], 0
    for asked in _turns(view):
        for attempt in asked.attempts:
            pieces = [[event["text"], event["units"]] for event in attempt.events if event["type"] == "piece"]
            if not attempt.events or (not pieces and attempt.outcome != "end"):
                continue
            checked += 1
            runId = attempt.events[0]["run"]
            ran = next((run for run in runs[_turnKey(asked)] if run.run == runId), None)
            if ran is None or [list(piece) for piece in ran.pieces][:len(pieces)] != pieces:
                bad.append(f"turn {_turnKey(asked)} got pieces that no run of it put out")
            elif attempt.outcome == "end" and (not ran.finished or len(pieces) != len(ran.pieces)):
                bad.append(f"turn {_turnKey(asked)} ended with {len(pieces)} pieces of {len(ran.pieces)}")
    for asked in view.asked:
        for attempt in asked.attempts:
            if asked.kind == "plain" and attempt.answer is not None:
                checked += 1
                if attempt.answer.get("done") != asked.body["body"]:
                    bad.append(f"plain {asked.body} got {attempt.answer}")
    return checked, bad


@RULES.enter("stream")
def _stream(view, _record):
    """A stream has no gap, no repeat, and pieces of one run only."""
    bad, checked = [], 0
    for asked in _turns(view):
        for attempt in (attempt for attempt in asked.attempts if attempt.events):
            checked += 1
            if [event["seq"] for event in attempt.events] != list(range(len(attempt.events))):
                bad.append(f"turn {_turnKey(asked)} got pieces {[event['seq'] for event in attempt.events]}")
            if len({event["run"] for event in attempt.events}) != 1:
                bad.append(f"turn {_turnKey(asked)} got pieces of several runs")
    return checked, bad


@RULES.enter("budget")
def _budget(view, record):
    """A program puts out at most its budget and one turn."""
    out, most = defaultdict(int), defaultdict(int)
    for run in record.runs:
        if run.kind == "turn":
            program = run.body["line"].rpartition("/")[0]
            out[program] += sum(units for _, units in run.pieces)
            most[program] = max(most[program], run.body["maxOutput"])
    return len(view.programs), [
        f"program {program} put out {out[program]} units, its limit is {limit}"
        for program, limit in view.programs.items() if out[program] > limit + most[program]]


@RULES.enter("refusedNeverRuns")
def _refusedNeverRuns(view, record):
    """A turn refused for lack of budget does not run after that."""
    runs, bad, checked = _runsByTurn(record), [], 0
    for asked in _turns(view):
        refusals = [attempt.doneAt for attempt in asked.attempts if attempt.status == 402]
        if refusals:
            checked += 1
            bad += [f"turn {_turnKey(asked)} ran after its refusal" for run in runs[_turnKey(asked)]
                    if run.at > min(refusals)]
    return checked, bad


@RULES.enter("goneTooSoon")
def _goneTooSoon(view, _record):
    """No turn is told that its earlier turn is gone when that finished less than a minute ago."""
    endedAt, bad, checked = {}, [], 0
    for asked in _turns(view):
        if asked.ended():
            endedAt[_turnKey(asked)] = asked.ended().doneAt
    for asked in _turns(view):
        earlier = endedAt.get((asked.lineKey, asked.body["after"]))
        if earlier is None:
            continue
        checked += 1
        bad += [f"turn {_turnKey(asked)} was told gone {attempt.doneAt - earlier:.1f} s after the earlier turn"
                for attempt in asked.attempts
                if attempt.error == "gone" and attempt.verdict == "no" and attempt.askedAt >= earlier
                and attempt.doneAt - earlier < KEY_TIME]
    return checked, bad


@RULES.enter("history")
def _history(view, record):
    """A replica gets exactly the earlier inputs and outputs, then the new input."""
    asked = {_turnKey(one): one for one in _turns(view)}
    runs, bad, checked = _runsByTurn(record), [], 0
    outputs = {key: {"".join(text for text, _ in run.pieces) for run in ran if run.finished}
               for key, ran in runs.items()}
    for (line, turnId), ran in runs.items():
        path, parent = [], asked[line, turnId].body["after"] if (line, turnId) in asked else None
        while parent is not None:
            path.insert(0, parent)
            parent = asked[line, parent].body["after"]
        for run in ran:
            checked += 1
            got = run.body["history"]
            right = (line, turnId) in asked and run.body["input"] == asked[line, turnId].body["input"] \
                and len(got) == len(path) and all(
                    turn["input"] == asked[line, one].body["input"]
                    and turn["output"] in _seenOutputs(asked[line, one], outputs.get((line, one), set()))
                    for turn, one in zip(got, path))
            if not right:
                bad.append(f"run {run.run} of {line} {turnId} got {len(got)} earlier turns, not {path}")
    return checked, bad


def _seenOutputs(asked, finished):
    """What the earlier turn's output may be: what its caller saw, if it saw the end."""
    ended = asked.ended()
    if ended is None:
        return finished
    return {"".join(event["text"] for event in ended.events if event["type"] == "piece")}


@RULES.enter("leaving")
def _leaving(_view, record):
    """No request reaches a replica more than 3 s after it was known to be leaving."""
    runs = [run for run in record.runs if run.replica in record.leavingSince]
    return len(runs), [f"run {run.run} reached {run.replica} {run.at - record.leavingSince[run.replica]:.2f} s late"
                       for run in runs if run.at > record.leavingSince[run.replica] + LEAVING_TIME]


@RULES.enter("planAge")
def _planAge(view, record):
    """No request is handled under a plan that was replaced more than 2 s ago, in any field."""
    lowered = {_turnKey(asked): asked.body.get("maxOutput") or float("inf") for asked in _turns(view)}
    accepted = sorted((plan.partner, plan.version, plan.doneAt, plan.marker, plan.maxOutput) for plan in view.plans
                      if plan.outcome == "accepted")
    bad, checked = [], 0
    for run in record.runs:
        marker = run.body.get("adapter")
        plan = next((plan for plan in accepted if plan[3] == marker), None)
        if marker is None or plan is None:
            continue
        checked += 1
        if run.kind == "turn" and plan[4] and (run.body["line"], run.body["turn"]) in lowered and run.body[
                "maxOutput"] != min(plan[4], lowered[run.body["line"], run.body["turn"]]):
            bad.append(f"run {run.run} went under {marker} with {run.body['maxOutput']} units of another plan")
        newer = [doneAt for partner, version, doneAt, _, _ in accepted if partner == plan[0] and version > plan[1]]
        if newer and run.at > min(newer) + PLAN_TIME:
            bad.append(f"run {run.run} went under {marker} {run.at - min(newer):.2f} s after a newer plan")
    return checked, bad


@RULES.enter("plans")
def _plans(view, record):
    """A refused plan takes no effect, versions are accepted once, and the newest accepted is read back."""
    bad = []
    refused = {plan.marker for plan in view.plans if plan.outcome == "refused"} \
        - {plan.marker for plan in view.plans if plan.outcome != "refused"}
    bad += [f"run {run.run} went under the refused plan {run.body['adapter']}"
            for run in record.runs if run.body.get("adapter") in refused]
    versions = defaultdict(set)
    for plan in view.plans:
        if plan.outcome == "accepted":
            versions[plan.partner, plan.version].add(plan.changeId)
    bad += [f"{partner} version {version} was accepted for {len(changeIds)} changes"
            for (partner, version), changeIds in versions.items() if len(changeIds) > 1]
    for partner, (version, marker) in view.readBack.items():
        newest = max((plan.version for plan in view.plans
                      if plan.partner == partner and plan.outcome == "accepted"), default=0)
        if version < newest:
            bad.append(f"{partner}'s plan reads back as version {version}, {newest} was accepted")
        if marker in refused:
            bad.append(f"{partner}'s plan reads back as the refused {marker}")
    return len(view.plans) + len(view.readBack), bad


def check(view, record):
    """rule -> (checked, violations)."""
    return {name: RULES.find(name)(view, record) for name in RULES.names()}


def cutOff(view, since, until):
    """Requests that were cut off in this span: for spans in which only planned things happened."""
    return [f"{asked.kind} {asked.body.get('turnId') or asked.body.get('key')}: {attempt.outcome} {attempt.error}"
            for asked in view.asked for attempt in asked.attempts
            if since <= attempt.askedAt <= until and (attempt.outcome in ("cut", "break") and attempt.verdict != "no")]
