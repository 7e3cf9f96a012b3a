"""The checker of the relay reports a violation planted for each part of each rule, and nothing in a correct record."""

import copy
import os
import sys
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from relay_callers import Attempt, Change, Program, Turn  # noqa: E402
from relay_checker import RULES, Observations, check  # noqa: E402
from relay_replicas import Arrival, Run  # noqa: E402
from relay_tenants import tenant_item  # noqa: E402

HOST = "h.example"
BOUNDS = {
    "contact_s": 3.0,
    "routing_age_s": 2.0,
    "routing_stretch_s": 5.0,
    "routing_back_s": 0.25,
    "leaving_s": 3.0,
    "grace_s": 8.0,
    "loss_slack_s": 0.2,
    "claim_window_s": 60.0,
    "recover_s": 12.0,
    "settle_s": 1.0,
    "ack_s": 4.0,
}
ROLES = {"gate0": "gate", "gate1": "gate", "core0": "core", "core1": "core", "core2": "core", "store0": "store"}


def route(name, path, kind, service, **more):
    return {"name": name, "host": HOST, "path_head": path, "kind": kind, "depot": service, "tries": 2} | more


def document(version, moved_to="api"):
    return {
        "edition": version,
        "depots": [],
        "senders": [tenant_item("north", ["north-1"]), tenant_item("south", ["south", f"south-{version}"])],
        "mail_routes": [
            route("safe", "/safe/", "safe", "api"),
            route("unsafe", "/unsafe/", "unsafe", "api"),
            route("tracked", "/tracked/", "tracked", "api"),
            route("chat", "/chat/", "stream", "lm"),
            route("gen", "/gen/", "stream", "lm"),
            route("move", "/move/", "unsafe", moved_to),
            route(f"mark{version}", f"/mark{version}/", "safe", "api"),
            route("open", "/open/", "safe", "api", unstamped=True),
        ],
    }


class CorrectRecord:
    """A record without violations; each plant puts one violation into a copy of it."""

    def __init__(self):
        self.attempts, self.runs, self.arrivals, self.turns, self.programs = [], [], [], {}, {}
        self.changes = [
            Change(1, 0, document(1), True, 0.0, 0.5, "taken", 200),
            Change(3, 1, document(3, "alt"), True, 50.0, 50.5, "taken", 200),
            Change(4, 1, document(4, "other"), True, 50.0, 50.6, "lost", 412),
            Change(9, 3, document(9, "bad"), False, 60.0, 60.1, "invalid", 400),
        ]
        for change in self.changes:
            change.tries = [(change.sent_at, change.done_at, change.status)]
        self.reads = [(None, 0.0, 0.2), (document(1), 40.0, 40.1), (document(3, "alt"), 51.0, 51.1)]
        for kind in ("safe", "unsafe", "tracked"):
            self.ask(kind, f"/{kind}/1", 10.0, key="k" if kind == "tracked" else None, repeatable=kind == "safe")
        self.repeat_of(self.attempts[-1], 12.0)
        self.programs["p"] = Program("p", 60, 40)
        first = self.stream("/chat/1", 14.0, program="p", body=b"one")
        second = self.stream("/chat/1", 16.0, program="p", body=b"two", previous=first.try_id)
        self.refuse("stream", "/chat/1", 20.0, 402, program="p", previous=second.try_id, budget=60, tokens_most=40)
        self.refuse("unsafe", "/unsafe/1", 21.0, 503)
        self.resumed = self.stream("/gen/1", 22.0, repeatable=True, cut_after=2)
        self.ask("unsafe", "/move/1", 40.0)
        self.ask("unsafe", "/move/1", 54.0, service="alt")
        self.ask("safe", "/mark3/1", 54.0, repeatable=True)
        self.refuse("safe", "/mark1/1", 55.0, 404, repeatable=True)
        self.ask("safe", "/open/1", 56.0, repeatable=True, api_key=None)
        self.refuse("safe", "/safe/1", 56.5, 401, repeatable=True, api_key="nobody's")
        self.ask("safe", "/safe/1", 57.0, repeatable=True, api_key="south-3")
        self.refuse("safe", "/safe/1", 57.5, 401, repeatable=True, api_key="south-1")
        self.refuse("stream", "/chat/1", 58.0, 404, program="p", previous=first.try_id, api_key="south")
        self.stop = self.ask("unsafe", "/unsafe/1", 70.0, gate="gate1")

    def observations(self):
        return Observations(
            self.attempts,
            self.turns,
            self.programs,
            self.changes,
            [],
            (200, document(3, "alt")),
            self.runs,
            self.arrivals,
            [],
            {"leaving": 30.0},
            [(71.0, "gate1", "stopping", True)],
            ROLES,
            BOUNDS,
            10,
            100.0,
            reads=self.reads,
        )

    def attempt(self, kind, target, at, **more):
        body = more.pop("body", b"body")
        more = {"gate": "gate0", "life": 1, "read_at": at + 0.01, "api_key": "north-1"} | more
        one = Attempt(f"t{len(self.attempts)}", kind, "POST", HOST, target, body, at, 2.0, **more)
        self.attempts.append(one)
        return one

    def run(self, attempt, at, service="api", body=None, replica=None, **more):
        replica = replica or f"{service}-0"
        run = Run(
            at,
            replica,
            service,
            f"s{len(self.runs)}",
            attempt.try_id,
            attempt.method,
            attempt.target,
            HOST,
            attempt.body if body is None else body,
            [("Time-Left-Ms", "1900"), ("Addressee", replica), *self.tenant_header(attempt)],
            finished=True,
            ended_at=at + 0.2,
            **more,
        )
        self.runs.append(run)
        self.arrivals.append(Arrival(at, replica, service, attempt.try_id))
        return run

    def tenant_header(self, attempt):
        return [("Sender", attempt.api_key.partition("-")[0])] if attempt.api_key else []

    def answer(self, attempt, run, at):
        attempt.status, attempt.outcome, attempt.done_at = run.status, "whole", at
        attempt.headers, attempt.answer = [("Postmark", run.stamp), ("Try-Id", attempt.try_id)], run.answer
        return attempt

    def ask(self, kind, target, at, service="api", **more):
        attempt = self.attempt(kind, target, at, **more)
        run = self.run(attempt, at + 0.05, service, answer=f"answer {attempt.try_id}".encode())
        return self.answer(attempt, run, at + 0.3)

    def repeat_of(self, first, at):
        again = self.attempt(first.kind, first.target, at, key=first.key)
        return self.answer(again, next(run for run in self.runs if run.stamp == first.stamp), at + 0.1)

    def refuse(self, kind, target, at, status, **more):
        attempt = self.attempt(kind, target, at, **more)
        attempt.status, attempt.outcome, attempt.done_at = status, "whole", at + 0.1
        return attempt

    def events(self, run, first, last):
        run.events = [(number, f"{run.stamp}.{number}") for number in range(first, last + 1)]
        run.answer = b"".join(f"id: {number}\ndata: {data}\n\n".encode() for number, data in run.events)
        run.planned, run.resumed_after = 4, first - 1

    def stream(self, target, at, program=None, previous=None, cut_after=None, **more):
        attempt = self.attempt(
            "stream", target, at, program=program, previous=previous, budget=program and 60, tokens_most=40, **more
        )
        chain, turn = [attempt.body], self.turns.get(previous)
        while turn is not None:
            chain[:0] = [turn.input, *(f"{data}\n".encode() for _, data in turn.output)]
            turn = self.turns.get(turn.previous)
        run = self.run(attempt, at + 0.05, "lm", b"".join(chain))
        self.events(run, 1, cut_after or 4)
        self.answer(attempt, run, at + 0.5)
        if cut_after:
            run.finished, run.broke_off = False, True
            second = self.run(attempt, at + 0.2, "lm", b"".join(chain), replica="lm-1")
            self.events(second, cut_after + 1, 4)
            attempt.answer += second.answer
        if program:
            self.turns[attempt.try_id] = Turn(
                attempt.try_id, previous, attempt.body, attempt.events, attempt.done_at, 60.0, program
            )
        return attempt

    def of(self, kind, target=None):
        return next(one for one in self.attempts if one.kind == kind and one.target.startswith(target or "/"))

    def run_of(self, attempt):
        return next(run for run in self.runs if run.try_id == attempt.try_id)


PLANTS = []


def plant(rule):
    def register(function):
        PLANTS.append((rule, function))
        return function

    return register


@plant("MIXED answers")
def success_without_a_stamp(record):
    record.of("safe").headers = []


@plant("MIXED answers")
def stamp_that_no_replica_issued(record):
    record.of("safe").headers = [("Postmark", "made up")]


@plant("MIXED answers")
def response_to_another_request(record):
    record.of("safe").headers = [("Postmark", record.of("unsafe").stamp)]


@plant("MIXED answers")
def body_that_ends_early(record):
    record.of("safe").answer = record.of("safe").answer[:-1]


@plant("MIXED answers")
def success_where_the_replica_failed(record):
    record.run_of(record.of("unsafe")).status = 500


@plant("MIXED answers")
def complete_response_although_the_replica_cut_it_off(record):
    record.run_of(record.of("unsafe")).broke_off = True


@plant("MIXED stray bytes")
def bytes_without_a_waiting_request(record):
    record.stray = [(1.0, "gate0", b"HTTP/1.1 200 OK\r\n\r\n")]


@plant("MIXED keys")
def repeat_with_a_second_stamp(record):
    attempt = record.attempts[3]
    record.answer(attempt, record.run(attempt, 12.05, answer=b"second"), 12.3)


@plant("UNASKED requests")
def run_without_a_client_request(record):
    record.run_of(record.of("safe")).try_id = "nobody"


@plant("UNASKED requests")
def run_of_another_method(record):
    record.run_of(record.of("safe")).method = "PUT"


@plant("UNASKED requests")
def run_of_another_path(record):
    record.run_of(record.of("safe")).target = "/safe/2"


@plant("UNASKED requests")
def run_of_another_body(record):
    record.run_of(record.of("unsafe")).body = b"other"


@plant("UNASKED requests")
def bytes_that_are_no_request(record):
    record.unreadable = [(1.0, "api-0", "smuggled")]


@plant("UNASKED requests")
def more_time_left_than_the_client_set(record):
    record.run_of(record.of("unsafe")).headers = [("Time-Left-Ms", "2500")]


@plant("UNASKED chains")
def turn_without_its_chain(record):
    attempt = next(one for one in record.attempts if one.previous and one.is_success)
    record.run_of(attempt).body = attempt.body


@plant("UNASKED chains")
def turn_whose_chain_lacks_an_event(record):
    attempt = next(one for one in record.attempts if one.previous and one.is_success)
    run = record.run_of(attempt)
    run.body = run.body.replace(b".4\n", b"")


@plant("UNASKED chains")
def turn_that_continues_no_turn(record):
    next(one for one in record.attempts if one.previous and one.is_success).previous = "nobody"


@plant("UNASKED chains")
def turn_that_continues_another_tenants_turn(record):
    attempt = next(one for one in record.attempts if one.previous and one.is_success)
    attempt.api_key, record.run_of(attempt).headers = "south", [("Time-Left-Ms", "1900"), ("Sender", "south")]


@plant("UNASKED tenants")
def api_key_sent_to_a_replica(record):
    record.run_of(record.of("unsafe")).headers.append(("api-KEY", "another"))


@plant("UNASKED tenants")
def api_key_sent_to_a_replica_in_another_header(record):
    record.run_of(record.of("unsafe")).headers.append(("X-Passed", "by north-1"))


@plant("UNASKED tenants")
def wrong_tenant_sent_to_a_replica(record):
    record.run_of(record.of("unsafe")).headers[-1] = ("Sender", "south")


@plant("UNASKED tenants")
def tenant_sent_twice_to_a_replica(record):
    record.run_of(record.of("unsafe")).headers.append(("sender", "north"))


@plant("UNASKED tenants")
def no_tenant_sent_to_a_replica(record):
    record.run_of(record.of("unsafe")).headers.pop()


@plant("TWICE")
def unsafe_runs_twice(record):
    record.run(record.of("unsafe"), 10.2, replica="api-1")


@plant("TWICE keys")
def key_runs_twice(record):
    record.run(record.attempts[3], 12.05)


@plant("tries")
def request_sent_to_more_replicas_than_its_route_allows(record):
    for number in range(2):
        record.run(record.of("safe"), 10.2, replica=f"api-{number}")


@plant("REFUSED")
def unsafe_request_rejected_and_run(record):
    record.run(next(one for one in record.attempts if one.status == 503), 21.05)


@plant("REFUSED")
def turn_run_and_rejected_for_a_spent_budget(record):
    record.run(next(one for one in record.attempts if one.status == 402), 20.05, "lm")


@plant("DENIED")
def many_valid_requests_rejected(record):
    for number in range(7):
        record.refuse("safe", "/safe/1", 25.0 + number, 400, repeatable=True)


@plant("ROUTE")
def run_by_a_service_that_no_route_names(record):
    record.run_of(record.of("safe")).service = "lm"


@plant("ROUTE")
def run_by_a_replica_that_was_not_addressed(record):
    record.run_of(record.of("safe")).headers = [("Time-Left-Ms", "1900"), ("Addressee", "another")]


@plant("ROUTE")
def run_with_a_key_that_no_configuration_has(record):
    record.ask("safe", "/safe/1", 25.0, repeatable=True, api_key="nobody's")


@plant("ROUTE")
def run_without_a_key(record):
    record.ask("safe", "/safe/1", 25.0, repeatable=True, api_key=None)


@plant("DRAIN")
def request_to_a_replica_listed_as_leaving(record):
    record.run(record.attempt("safe", "/safe/1", 33.2, repeatable=True), 33.25, replica="leaving")


@plant("LOST requests")
def request_cut_by_a_planned_stop(record):
    record.stop.outcome, record.stop.status, record.stop.done_at = "cut", 0, 71.5


@plant("LOST requests")
def waiting_request_cut_by_a_planned_stop(record):
    record.stop.outcome, record.stop.status, record.stop.done_at = "cut", 0, 71.5
    record.runs = [run for run in record.runs if run.try_id != record.stop.try_id]


@plant("LOST requests")
def request_cut_around_a_change(record):
    one = record.ask("unsafe", "/unsafe/1", 51.0)
    one.outcome, one.status = "cut", 0


@plant("CONFIG age")
def run_by_the_previous_service(record):
    record.ask("unsafe", "/move/1", 53.0, service="api")


@plant("CONFIG age")
def run_on_a_removed_route(record):
    record.ask("safe", "/mark1/1", 53.0, repeatable=True)


@plant("CONFIG age")
def existing_route_answered_404(record):
    record.refuse("safe", "/mark3/1", 53.0, 404, repeatable=True)


@plant("CONFIG age")
def run_with_a_removed_api_key(record):
    record.ask("safe", "/safe/1", 53.0, repeatable=True, api_key="south-1")


@plant("CONFIG age")
def existing_api_key_answered_401(record):
    record.refuse("safe", "/safe/1", 53.0, 401, repeatable=True, api_key="south-3")


@plant("CONFIG goes back")
def previous_service_after_the_new_one(record):
    record.ask("unsafe", "/move/1", 50.6, service="alt")
    record.ask("unsafe", "/move/1", 51.0, service="api")


@plant("CONFIG goes back")
def route_answered_404_after_it_was_served(record):
    record.ask("safe", "/mark3/1", 50.6, repeatable=True)
    record.refuse("safe", "/mark3/1", 51.0, 404, repeatable=True)


@plant("CONFIG refused")
def run_by_a_change_that_lost_to_a_concurrent_one(record):
    record.ask("unsafe", "/move/1", 51.0, service="other")


@plant("CONFIG acknowledged")
def invalid_change_acknowledged(record):
    record.changes[-1].outcome = "taken"


@plant("CONFIG acknowledged")
def two_changes_acknowledged_on_one_version(record):
    record.changes[2].outcome = "taken"


@plant("CONFIG linearizable")
def two_documents_with_one_version(record):
    other = copy.deepcopy(record.changes[1])
    other.document = document(3, "api")
    record.changes.append(other)


@plant("CONFIG linearizable")
def repeat_of_an_accepted_change_rejected(record):
    record.changes[1].tries.append((80.0, 80.1, 412))


@plant("CONFIG linearizable")
def rejected_change_acknowledged_when_repeated(record):
    record.changes[2].tries.append((80.0, 80.1, 200))


@plant("CONFIG linearizable")
def stale_read(record):
    record.reads.append((document(1), 51.0, 51.1))


@plant("CONFIG linearizable")
def rejected_change_read(record):
    record.reads.append((document(4, "other"), 51.0, 51.1))


@plant("CONFIG linearizable")
def change_on_the_newest_version_rejected(record):
    record.changes[2].tries = [(45.0, 45.1, 412)]


@plant("CONFIG read back")
def older_read_back(record):
    record.read_back = (200, document(1))


@plant("CONFIG read back")
def another_document_read_back(record):
    record.read_back = (200, document(3, "api"))


@plant("CONFIG read back")
def nothing_read_back(record):
    record.read_back = (200, None)


@plant("acknowledged in time")
def acknowledged_late(record):
    record.changes[1].done_at = 54.9


@plant("ORDER")
def event_missing(record):
    one = record.of("stream", "/chat")
    one.answer = one.answer.replace(b"id: 2\ndata: " + one.stamp.encode() + b".2\n\n", b"")


@plant("ORDER")
def event_repeated(record):
    one = record.of("stream", "/chat")
    first, rest = one.answer[: one.answer.index(b"id: 2")], one.answer[one.answer.index(b"id: 2") :]
    one.answer = first + first + rest


@plant("ORDER")
def stream_complete_before_its_last_event(record):
    one = record.of("stream", "/chat")
    one.answer = one.answer[: one.answer.index(b"id: 4")]


@plant("ORDER")
def event_that_no_replica_sent(record):
    one = record.of("stream", "/chat")
    one.answer = one.answer.replace(b".4\n", b".5\n")


@plant("ORDER")
def events_of_two_runs_joined(record):
    one, other = record.of("stream", "/chat"), record.run_of(record.resumed)
    one.answer = one.answer.replace(f"{one.stamp}.2".encode(), f"{other.stamp}.2".encode())


@plant("ORDER")
def stream_resumed_although_not_repeatable(record):
    record.resumed.repeatable = False


@plant("BUDGET")
def budget_exceeded_by_more_than_one_turn(record):
    record.stream("/chat/1", 17.0, program="p")


@plant("BUDGET refused early")
def turn_rejected_with_budget_left(record):
    next(one for one in record.attempts if one.status == 402).budget = 200


@plant("LOST turns")
def stored_turn_not_found(record):
    one = next(one for one in record.attempts if one.status == 402)
    one.status = 404


@plant("RECOVER")
def nothing_served_after_the_closing_fault(record):
    record.closing_fault = (60.0, 60.5)
    for number in range(8):
        record.refuse("safe", "/safe/1", 80.0 + number, 503, repeatable=True)


@plant("LOST turns after a loss")
def stored_turn_not_continued_until_the_bound(record):
    record.closing_fault = (20.0, 21.0)
    first = next(iter(record.turns))
    for number in range(10):
        record.refuse("stream", "/chat/1", 23.0 + number, 503, program="p", previous=first, tokens_most=40, budget=60)
    record.programs["q"] = Program("q", 1000, 40)
    for number in range(8):
        record.stream("/chat/1", 30.0 + number / 10, program="q")


class Checker(unittest.TestCase):
    def test_a_correct_record_has_no_violations(self):
        found = {name: report.bad for name, report in check(CorrectRecord().observations()).items() if report.bad}
        self.assertEqual(found, {})

    def test_every_rule_has_a_plant(self):
        self.assertEqual({rule for rule, _ in PLANTS}, set(RULES.names()))

    def test_each_planted_violation_is_reported(self):
        for rule, function in PLANTS:
            with self.subTest(rule=rule, plant=function.__name__):
                correct = copy.deepcopy(CorrectRecord())
                planted = _PlantedRecord(correct)
                function(planted)
                observed = planted.with_violation()
                self.assertTrue(RULES.find(rule)(observed).bad)


class _PlantedRecord:
    """What a plant receives: the methods and fields of the correct record, and the fields of the finished
    observations that the plant sets."""

    def __init__(self, correct):
        object.__setattr__(self, "_correct", correct)
        object.__setattr__(self, "_set", {})

    def __getattr__(self, name):
        return getattr(self._correct, name)

    def __setattr__(self, name, value):
        (setattr(self._correct, name, value) if hasattr(self._correct, name) else self._set.__setitem__(name, value))

    def with_violation(self):
        observed = self._correct.observations()
        for name, value in self._set.items():
            setattr(observed, name, value)
        observed.__post_init__()
        return observed


if __name__ == "__main__":
    unittest.main()
