"""The checker reports an injected violation of each rule, and nothing for a correct record."""

import copy
import unittest

from oakramp.testbed.caller import Attempt, ClientRequest, PlanRead, PlanSent, View
from oakramp.testbed.checker import RULES, check, cut_off
from oakramp.testbed.emulators import Record, Run


def correct_record():
    """A correct record: a conversation of two turns, calls with and without an idempotency key, and three plans."""
    view, record = View(), Record()
    view.programs["d/p"] = 4
    view.plans = [
        PlanSent("d", "c1", "m1", 0.0, 0.1, "accepted", 1, based_on=0, content=b"1"),
        PlanSent("d", "c2", "m2", 50.0, 50.1, "accepted", 2, based_on=1, content=b"2"),
        PlanSent("d", "c3", "m3", 50.0, 50.1, "refused", based_on=1, content=b"3", error="lost"),
    ]
    view.planReads = [PlanRead("d", 1, b"1", 20.0, 20.1), PlanRead("d", 2, b"2", 60.0, 60.1)]
    view.read_back["d"] = (2, "m2")
    view.ended_at["d/p"] = 35.0
    parent, path = None, []
    for number in range(2):
        turn, run, at = f"t{number}", f"run{number}", 10.0 + 10 * number
        pieces = [[f"{run}.{seq}", 1] for seq in range(2)]
        request = ClientRequest(
            "turn", "d", "chat", False, {"turnId": turn, "after": parent, "input": f"in{number}"}, "p", "l"
        )
        events = [
            {"type": "piece", "run": run, "seq": seq, "text": text, "units": 1} for seq, (text, _) in enumerate(pieces)
        ]
        request.attempts.append(
            Attempt(
                at,
                at + 1,
                "end",
                200,
                "yes",
                "",
                events + [{"type": "end", "run": run, "seq": 2}],
                request=f"try{number}",
            )
        )
        view.requests.append(request)
        record.runs.append(
            Run(
                run,
                "r0",
                "turn",
                at + 0.5,
                {
                    "line": "d/p/l",
                    "turn": turn,
                    "input": f"in{number}",
                    "history": list(path),
                    "maxOutput": 2,
                    "adapter": "m1",
                    "request": f"try{number}",
                },
                pieces,
                None,
                True,
            )
        )
        path.append({"input": f"in{number}", "output": "".join(text for text, _ in pieces)})
        parent = turn
    refused = ClientRequest("turn", "d", "chat", False, {"turnId": "t9", "after": parent, "input": "x"}, "p", "l")
    refused.attempts.append(Attempt(30.0, 30.1, "error", 402, "no", "budgetEmpty", request="try9"))
    keyed = ClientRequest("plain", "d", "results", False, {"key": "k", "body": {"n": 1}})
    keyed.attempts.append(Attempt(40.0, 40.2, "end", 200, "yes", "", [], {"done": {"n": 1}}, "plain1"))
    bare = ClientRequest("plain", "d", "results", False, {"key": None, "body": {"n": 2}})
    bare.attempts.append(Attempt(41.0, 41.2, "end", 200, "yes", "", [], {"done": {"n": 2}}, "plain2"))
    late = ClientRequest("turn", "d", "chat", False, {"turnId": "t8", "after": None, "input": "x"}, "p", "l")
    late.attempts.append(Attempt(36.0, 36.1, "error", 410, "no", "ended", request="try8"))
    view.requests += [refused, keyed, bare, late]
    for key, number in (("k", 1), (None, 2)):
        record.runs.append(
            Run(
                f"plain{number}",
                "r1",
                "plain",
                40.1,
                {"key": key, "body": {"n": number}, "request": f"plain{number}"},
                [],
                {"done": {"n": number}},
                True,
            )
        )
    return view, record


def inject_second_run(view, record):
    record.runs.append(copy.deepcopy(record.runs[0]))


def inject_second_run_of_plain_call(view, record):
    record.runs.append(copy.deepcopy(record.runs[-1]))


def inject_run_after_rejection(view, record):
    view.requests[0].attempts[0].verdict, view.requests[0].attempts[0].outcome = "no", "error"
    view.requests[0].attempts[0].events = []


def inject_run_of_rejected_attempt(view, record):
    """Another attempt of the same turn may have run; this one was rejected, but ran."""
    view.requests[0].attempts.append(Attempt(12.0, 13.0, "cut", 0, "maybe", request="other"))
    view.requests[0].attempts[0].verdict, view.requests[0].attempts[0].events = "no", []


def inject_run_without_attempt(view, record):
    record.runs[0].body["request"] = "nobody"


def inject_second_run_in_one_attempt(view, record):
    view.requests[0].repeatable = True
    record.runs.append(copy.deepcopy(record.runs[0]))


def inject_keyed_run_after_rejection(view, record):
    view.requests[3].attempts[0].verdict = "no"
    view.requests[3].attempts.append(Attempt(42.0, 42.1, "cut", 0, "maybe", request="other"))


def inject_run_after_end(view, record):
    view.ended_at["d/p"] = 15.0


def inject_late_response(view, record):
    view.requests[0].body["timeLeft"], view.requests[0].attempts[0].done_at = 5, 17.0


def inject_second_keyed_run(view, record):
    record.runs.append(copy.deepcopy(record.runs[2]))
    record.runs[-1].at += 30


def inject_other_output(view, record):
    view.requests[0].attempts[0].events[0]["text"] = "somebody else's"


def inject_missing_piece(view, record):
    del view.requests[1].attempts[0].events[1]


def inject_other_plain_response(view, record):
    view.requests[3].attempts[0].answer = {"done": {"n": 7}}


def inject_stream_gap(view, record):
    view.requests[0].attempts[0].events[1]["seq"] = 2


def inject_mixed_runs(view, record):
    view.requests[0].attempts[0].events[1]["run"] = "run1"


def inject_exceeded_budget(view, record):
    view.programs["d/p"] = 1


def inject_run_of_refused_turn(view, record):
    view.requests[2].attempts.append(Attempt(31.0, 31.1, "cut", 0, "maybe", request="late"))
    record.runs.append(
        Run(
            "late",
            "r0",
            "turn",
            31.0,
            {
                "line": "d/p/l",
                "turn": "t9",
                "input": "x",
                "maxOutput": 2,
                "history": [],
                "adapter": "m1",
                "request": "late",
            },
            [],
            None,
            False,
        )
    )


def inject_early_gone(view, record):
    view.requests[2].attempts[0] = Attempt(30.0, 30.1, "error", 410, "no", "gone")


def inject_other_history(view, record):
    record.runs[1].body["history"][0]["output"] = "something else"


def inject_missing_history(view, record):
    record.runs[1].body["history"] = []


def inject_run_on_leaving_replica(view, record):
    record.leaving_since["r0"] = 7.0


def inject_outdated_plan(view, record):
    record.runs[1].at = 60.0


def inject_mixed_plan(view, record):
    view.plans[0].max_output = 3


def inject_refused_plan(view, record):
    record.runs[1].body["adapter"] = "m3"


def inject_version_accepted_twice(view, record):
    view.plans.append(PlanSent("d", "c4", "m4", 50.0, 50.1, "accepted", 2))


def inject_old_read_back(view, record):
    view.read_back["d"] = (1, "m1")


def inject_stale_plan_read(view, record):
    view.planReads.append(PlanRead("d", 1, b"1", 55.0, 55.1))


def inject_refusal_of_accepted_plan(view, record):
    view.plans.append(
        PlanSent("d", "c2", "m2", 60.0, 60.1, "refused", based_on=1, content=b"2", error="lost"),
    )


def inject_two_plans_with_one_id(view, record):
    view.plans.append(PlanSent("d", "c2", "m9", 60.0, 60.1, "accepted", 2, based_on=1, content=b"9"))


def inject_read_of_refused_plan(view, record):
    view.planReads.append(PlanRead("d", 2, b"3", 55.0, 55.1))


INJECTED = {
    inject_second_run: "once",
    inject_second_run_of_plain_call: "once",
    inject_run_after_rejection: "once",
    inject_run_of_rejected_attempt: "once",
    inject_run_without_attempt: "once",
    inject_second_run_in_one_attempt: "once",
    inject_keyed_run_after_rejection: "keyedOnce",
    inject_late_response: "timeLeft",
    inject_run_after_end: "endedStaysEnded",
    inject_second_keyed_run: "keyedOnce",
    inject_other_output: "ownAnswer",
    inject_missing_piece: "ownAnswer",
    inject_other_plain_response: "ownAnswer",
    inject_stream_gap: "stream",
    inject_mixed_runs: "stream",
    inject_exceeded_budget: "budget",
    inject_run_of_refused_turn: "refusedNeverRuns",
    inject_early_gone: "goneTooSoon",
    inject_other_history: "history",
    inject_missing_history: "history",
    inject_run_on_leaving_replica: "leaving",
    inject_outdated_plan: "planAge",
    inject_mixed_plan: "planAge",
    inject_refused_plan: "plans",
    inject_version_accepted_twice: "plans",
    inject_old_read_back: "plans",
    inject_stale_plan_read: "planOrder",
    inject_refusal_of_accepted_plan: "planOrder",
    inject_two_plans_with_one_id: "planOrder",
    inject_read_of_refused_plan: "planOrder",
}


class CheckerTest(unittest.TestCase):
    def test_a_correct_record_has_no_violations(self):
        self.assertEqual({name: one.bad for name, one in check(*correct_record()).items() if one.bad}, {})
        self.assertTrue(all(one.checked for name, one in check(*correct_record()).items() if name != "leaving"))

    def test_each_injected_violation_is_reported(self):
        self.assertEqual(set(INJECTED.values()), set(RULES.names()))
        for inject, rule in INJECTED.items():
            view, record = correct_record()
            inject(view, record)
            self.assertTrue(check(view, record)[rule].bad, inject.__name__)

    def test_a_request_that_was_cut_off_is_reported(self):
        view, _ = correct_record()
        self.assertEqual(cut_off(view, 0, 100), [])
        view.requests[0].attempts[0].outcome = "cut"
        self.assertEqual(len(cut_off(view, 0, 100)), 1)
