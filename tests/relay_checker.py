"""Checks what clients, replicas and operators observed against the users' rules. A rule is a function
(observed) -> Report: how many cases it checked, in how many of them a violation was possible (a rule without such a
case has proved nothing), and the violations. The names are those of the users' page of rules; where a rule has several
parts, the part is added."""

import json
import re
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import NamedTuple

from oakramp.common.registry import Registry
from oakramp.common.validation import pack_json
from oakramp.testbed.linearizability import Answer, Order, Read, Try, check_history
from relay_tenants import holder_of, is_admitted

RULES = Registry("rule")
NOT_RUN_STATUSES = (408, 421, 429, 503)
NO_ROUTE, NO_KEY = None, ""  # handled without a service: no matching route, or an unknown API key
# s; a turn counts as requested until the bound if one attempt was sent before this long ahead of the bound, and one
# ended after that moment
LATE_ATTEMPT_S = 2.0
SLOWDOWN_FACTOR = 8  # a slowed gateway may take this many times longer before an older version counts as going back
SLOWED_AFTER_S = 5.0  # s; a machine counts as slowed for this long after its fault
FAULT_ENDS = {
    "frozen": ("thawed",),
    "cut from": ("healed",),
    "killed": ("started",),
    "power cut": ("started",),
    "stopping": ("started",),
    "slow": ("well",),
    "disk lost": ("started",),
}


class Report(NamedTuple):
    checked: int
    at_risk: int
    bad: list


@dataclass
class Observations:
    """What all parties of a run observed. `faults` are the injected faults as (time, name, what, planned); `roles`
    maps machines to their kind; `list_outages` are the spans in which the platform's list did not answer."""

    attempts: list
    turns: dict
    programs: dict
    changes: list
    stray: list
    read_back: tuple
    runs: list
    arrivals: list
    unreadable: list
    closing_shown: dict
    faults: list
    roles: dict
    bounds: dict
    tokens_per_event: int
    ended_at: float
    list_outages: list = field(default_factory=list)
    closing_fault: tuple = None  # (when it began, when the machines were back)
    reads: list = field(default_factory=list)  # (document or None, sent at, answered at) of the configuration

    @classmethod
    def of(cls, fleet):
        seen, record = fleet.callers, fleet.record
        return cls(
            seen.attempts,
            seen.turns,
            seen.programs,
            seen.changes,
            seen.stray,
            seen.read_back,
            record.runs,
            record.arrivals,
            record.unreadable,
            record.closing_shown,
            fleet.faults,
            {one.name: one.kind for one in (*fleet.machines.values(), *fleet.removed_machines)},
            fleet.bounds,
            fleet.TOKENS_PER_EVENT,
            fleet.time.now,
            fleet.list_outages,
            fleet.closing_fault,
            seen.reads,
        )

    # --- joins ---

    def __post_init__(self):
        self.by_try = {attempt.try_id: attempt for attempt in self.attempts}
        self.runs_of = defaultdict(list)
        for run in self.runs:
            self.runs_of[run.try_id].append(run)
        self.by_stamp = {run.stamp: run for run in self.runs}
        self.spans = self._spans()
        self.slowed = [
            span
            for span, (_, _, what, _) in (
                (span, next(one for one in self.faults if one[0] == span[0] and one[1] == span[2]))
                for span in self.spans
            )
            if what.startswith("slow")
        ]
        self.unsettled_spans = self.find_unsettled_spans()

    # --- which machines were free of faults ---

    def _spans(self):
        """(since, until, machine, planned) of each injected fault."""
        spans, open_faults = [], {}
        for at, name, what, planned in self.faults:
            for begin, ends in FAULT_ENDS.items():
                if what.startswith(begin):
                    open_faults.setdefault((name, ends), (at, planned))
                elif what in ends and (name, (what,)) in open_faults:
                    since, was_planned = open_faults.pop((name, (what,)))
                    spans.append((since, at, name, was_planned))
            if what == "started":
                spans.append((at, at, name, False))
        spans += [(since, float("inf"), name, planned) for (name, _), (since, planned) in open_faults.items()]
        return sorted(spans)

    def has_fault(self, since, until, names, planned_too=True):
        return any(
            begin <= until and end >= since
            for begin, end, name, planned in self.spans
            if name in names and (planned_too or not planned)
        )

    def find_unsettled_spans(self):
        """The spans in which the core may be unsettled: the contact time after each event on a core or store machine,
        the time while one of them is slowed and the contact time after it, and twice the contact time after a closing
        fault."""
        contact, core = self.bounds["contact_s"], {name for name, kind in self.roles.items() if kind != "gate"}
        spans = [(at, at + contact) for at, name, _, _ in self.faults if name in core]
        spans += [(since, until + contact) for since, until, name, _ in self.slowed if name in core]
        if self.closing_fault is not None:
            spans.append((self.closing_fault[0], self.closing_fault[1] + 2 * contact))
        return join_spans(spans)

    def is_settled(self, since, until):
        return not any(begin <= until and end >= since for begin, end in self.unsettled_spans)

    def is_reachable(self, gate, since, until):
        return self.is_settled(since, until) and self.is_fault_free(gate, since, until)

    def is_fault_free(self, gate, since, until):
        """Whether neither this machine nor its links had a fault, from the contact time before `since` on."""
        return not self.has_fault(since - self.bounds["contact_s"], until, {gate})

    # --- what a configuration allows ---

    def services_for(self, document, host, target):
        found = find_route(document, host, target)
        return (
            frozenset()
            if found is None
            else frozenset(
                share["depot"]
                for share in found.get("shares") or [{"depot": found.get("depot"), "share": 1}]
                if share["share"]
            )
        )

    def is_admitted(self, document, attempt):
        """Whether this configuration admits the request, with its API key or without one, on its route."""
        found = find_route(document, attempt.host, attempt.target)
        return found is None or is_admitted(document, found, attempt.api_key)

    def key_tenants(self, attempt):
        """The tenants that own the request's API key in any configuration."""
        return frozenset(self._tenants_in_changes(attempt)) - {None}

    def possible_tenants(self, attempt):
        """The tenant names that a replica may receive with the request; None stands for no name."""
        return frozenset(self._tenants_in_changes(attempt))

    def _tenants_in_changes(self, attempt):
        for change in self.changes:
            if change.outcome in ("taken", "open") and self.is_admitted(change.document, attempt):
                yield holder_of(change.document, attempt.api_key)

    def operation_id(self, attempt):
        """Identifies the operation: two requests with an equal value are the same operation_id."""
        return self.key_tenants(attempt), attempt.key

    def continues_a_turn(self, attempt):
        """Whether it continues a completely answered turn of its own tenant."""
        if attempt.previous not in self.turns:
            return False
        previous = self.by_try.get(attempt.previous)
        return previous is not None and self.key_tenants(previous) == self.key_tenants(attempt)


def join_spans(spans):
    """Joins overlapping and adjacent spans."""
    joined = []
    for since, until in sorted(spans):
        if joined and since <= joined[-1][1]:
            joined[-1] = (joined[-1][0], max(until, joined[-1][1]))
        else:
            joined.append((since, until))
    return joined


def find_route(document, host, target):
    path = target.partition("?")[0]
    fitting = [one for one in document["mail_routes"] if one["host"] == host and path.startswith(one["path_head"])]
    return max(fitting, key=lambda one: len(one["path_head"]), default=None)


def _describe(attempt):
    return f"{attempt.kind} {attempt.target} {attempt.try_id} at {attempt.sent_at:.3f} through {attempt.gate}"


# --- requests and answers ----------------------------------------------------------


@RULES.enter("MIXED answers")
def _mixed(observed):
    """A success carries the stamp and the complete body of a run of the same request; a response that ended early does
    not look complete."""
    bad, at_risk = [], 0
    for attempt in observed.attempts:
        if attempt.outcome != "whole" or attempt.status >= 300 and attempt.stamp is None:
            continue
        at_risk += len(observed.runs_of[attempt.try_id]) != 1
        run = observed.by_stamp.get(attempt.stamp)
        if run is None:
            bad.append(
                f"{_describe(attempt)} got {attempt.status} with the stamp {attempt.stamp}, which no replica issued"
            )
        elif not _is_its_own(observed, attempt, run):
            bad.append(f"{_describe(attempt)} got the response to {run.try_id}")
        elif run.status != attempt.status:
            bad.append(f"{_describe(attempt)} got {attempt.status} where the replica answered {run.status}")
        elif attempt.kind != "stream" and attempt.answer != run.answer:
            bad.append(f"{_describe(attempt)} got {len(attempt.answer)} bytes of {len(run.answer)} or others")
        elif attempt.kind != "stream" and run.broke_off:
            bad.append(f"{_describe(attempt)} got a complete response although its replica had cut it off")
    return Report(len(observed.attempts), at_risk, bad)


def _is_its_own(observed, attempt, run):
    if run.try_id == attempt.try_id:
        return True
    first = observed.by_try.get(run.try_id)
    return (
        attempt.key is not None and first is not None and observed.operation_id(first) == observed.operation_id(attempt)
    )


@RULES.enter("MIXED stray bytes")
def _stray(observed):
    """No bytes arrive on a connection on which no request is waiting."""
    return Report(
        len(observed.attempts),
        len(observed.stray),
        [f"{gate} sent {data[:60]!r} at {at:.3f}, which answered nothing" for at, gate, data in observed.stray],
    )


@RULES.enter("MIXED keys")
def _mixed_keys(observed):
    """All successes of one key have one stamp and one body: the first run's."""
    by_key, bad, at_risk = defaultdict(list), [], 0
    for attempt in observed.attempts:
        if attempt.key is not None and attempt.is_success:
            by_key[observed.operation_id(attempt)].append(attempt)
    for key, attempts in by_key.items():
        at_risk += len(attempts) > 1
        answers = {(attempt.stamp, attempt.answer) for attempt in attempts}
        if (
            len(answers) > 1
            and max(one.sent_at for one in attempts) - min(one.sent_at for one in attempts)
            < observed.bounds["claim_window_s"]
        ):
            bad.append(f"key {key} was answered with {sorted(stamp for stamp, _ in answers)}")
    return Report(len(by_key), at_risk, bad)


@RULES.enter("UNASKED requests")
def _unasked(observed):
    """Each run was sent by a client with the same id, method, path and body; a turn that continues another one may have
    a different body."""
    bad = [
        f"{replica} received bytes that are no request at {at:.3f}: {why}" for at, replica, why in observed.unreadable
    ]
    for run in observed.runs:
        attempt = observed.by_try.get(run.try_id)
        if attempt is None:
            bad.append(f"{run.replica} ran {run.try_id!r}, which no client sent")
        elif (run.method, run.target, run.host) != (attempt.method, attempt.target, attempt.host):
            bad.append(f"{run.replica} ran {run.method} {run.host}{run.target} for {_describe(attempt)}")
        elif attempt.previous is None and run.body != attempt.body:
            bad.append(f"{run.replica} ran {_describe(attempt)} with another body")
        elif run.header("Time-Left-Ms") is None or float(run.header("Time-Left-Ms")) > attempt.time_left * 1000 + 1:
            bad.append(f"{run.replica} ran {_describe(attempt)} with {run.header('Time-Left-Ms')} ms left")
    return Report(len(observed.runs), sum(run.target.count("/") > 2 for run in observed.runs), bad)


@RULES.enter("UNASKED chains")
def _chains(observed):
    """A turn that continues another one runs with the inputs and events of its chain, oldest first, and its new
    input."""
    bad, checked, at_risk = [], 0, 0
    for run in observed.runs:
        attempt = observed.by_try.get(run.try_id)
        if attempt is None or attempt.previous is None:
            continue
        checked += 1
        parts, turn, depth = [attempt.body], observed.turns.get(attempt.previous), 0
        if turn is None:
            bad.append(f"{run.replica} ran {_describe(attempt)}, which continues {attempt.previous}, which is no turn")
            continue
        if not observed.continues_a_turn(attempt):
            bad.append(f"{run.replica} ran {_describe(attempt)}, which continues another tenant's {attempt.previous}")
            continue
        while turn is not None:
            parts[:0] = [turn.input, *(f"{data}\n".encode() for _, data in turn.output)]
            turn, depth = observed.turns.get(turn.previous), depth + 1
        at_risk += depth > 1
        if run.body != b"".join(parts):
            bad.append(
                f"{run.replica} ran {_describe(attempt)} with {len(run.body)} bytes, its chain of {depth} has "
                f"{len(b''.join(parts))}"
            )
    return Report(checked, at_risk, bad)


@RULES.enter("UNASKED tenants")
def _tenants(observed):
    """No replica receives an API key, and the tenant that it receives is the one that owns the request's key."""
    bad, at_risk = [], 0
    for run in observed.runs:
        attempt = observed.by_try.get(run.try_id)
        if attempt is None:
            continue
        at_risk += attempt.api_key is not None
        if run.header("Api-Key") is not None or attempt.api_key and attempt.api_key in str(run.headers):
            bad.append(f"{run.replica} received the API key of {_describe(attempt)}")
        sent_tenants = [value for name, value in run.headers if name.lower() == "sender"]
        possible_tenants = observed.possible_tenants(attempt)
        if sent_tenants not in [[name] if name is not None else [] for name in possible_tenants]:
            bad.append(
                f"{run.replica} received {_describe(attempt)} with the tenants {sent_tenants}, "
                f"not {set(possible_tenants)}"
            )
    return Report(len(observed.runs), at_risk, bad)


@RULES.enter("TWICE")
def _twice(observed):
    """A request that may not be repeated runs at most once."""
    ones = [attempt for attempt in observed.attempts if not attempt.repeatable]
    return Report(
        len(ones),
        sum(attempt.outcome != "whole" or attempt.status >= 300 for attempt in ones),
        [
            f"{_describe(attempt)} ran {len(observed.runs_of[attempt.try_id])} times"
            for attempt in ones
            if len(observed.runs_of[attempt.try_id]) > 1
        ],
    )


@RULES.enter("TWICE keys")
def _twice_keys(observed):
    """Of two requests with the same operation_id key that are sent within the claim window, at most one runs."""
    sent, bad = defaultdict(list), []
    for attempt in observed.attempts:
        if attempt.key is not None:
            sent[observed.operation_id(attempt)].append(attempt)
    for key, attempts in sent.items():
        ran = sorted((attempt for attempt in attempts if observed.runs_of[attempt.try_id]), key=lambda one: one.sent_at)
        bad += [
            f"key {key} ran for {first.try_id} and {second.try_id}, sent {second.sent_at - first.sent_at:.3f} s later"
            for first, second in zip(ran, ran[1:])
            if second.sent_at - first.sent_at < observed.bounds["claim_window_s"]
        ]
    return Report(len(sent), sum(len(attempts) > 1 for attempts in sent.values()), bad)


@RULES.enter("tries")
def _tries(observed):
    """An attempt is sent to no more replicas than its route allows."""
    counts, bad = Counter(arrival.try_id for arrival in observed.arrivals), []
    for attempt in observed.attempts:
        most = max(
            (
                found["tries"]
                for found in (
                    find_route(change.document, attempt.host, attempt.target)
                    for change in observed.changes
                    if change.is_valid
                )
                if found
            ),
            default=0,
        )
        if counts[attempt.try_id] > most:
            bad.append(f"{_describe(attempt)} went to {counts[attempt.try_id]} replicas, its route has {most} tries")
    return Report(len(observed.attempts), sum(count > 1 for count in counts.values()), bad)


@RULES.enter("REFUSED")
def _refused(observed):
    """A request that was answered as not run has not run and does not run later. Checked for requests that may not be
    repeated, and for every turn that was rejected because its budget is spent."""
    rejected = [
        attempt
        for attempt in observed.attempts
        if attempt.outcome == "whole"
        and attempt.stamp is None
        and (attempt.status == 402 or attempt.status in NOT_RUN_STATUSES and not attempt.repeatable)
    ]
    return Report(
        len(rejected),
        len(rejected),
        [
            f"{_describe(attempt)} was answered {attempt.status} and ran at {run.at:.3f}"
            for attempt in rejected
            for run in observed.runs_of[attempt.try_id]
        ],
    )


@RULES.enter("DENIED")
def _denied(observed):
    """A valid request that every possibly active configuration allows is not rejected with a 3xx or 4xx status."""
    asked, denied = 0, []
    for attempt in observed.attempts:
        if not attempt.gate or not observed.is_reachable(attempt.gate, attempt.sent_at, attempt.done_at):
            continue
        if not all(
            observed.services_for(change.document, attempt.host, attempt.target)
            and observed.is_admitted(change.document, attempt)
            for change in _may_be_in_force(observed, attempt)
        ):
            continue
        asked += 1
        if attempt.outcome != "whole" or not 300 <= attempt.status < 500 or attempt.stamp is not None:
            continue
        if (
            attempt.status in NOT_RUN_STATUSES
            or attempt.status == 409
            and attempt.key is not None
            or attempt.status == 402
        ):
            continue
        if attempt.status == 404 and attempt.previous is not None and not observed.continues_a_turn(attempt):
            continue
        denied.append(f"{_describe(attempt)} was answered {attempt.status}")
    return Report(asked, len(denied), denied if len(denied) > 5 + asked / 500 else [])


@RULES.enter("ROUTE")
def _route(observed):
    """A service runs only requests that some configuration routes to it and whose API key some configuration has; a
    replica runs only requests that are addressed to it."""
    bad = [
        f"{run.replica} ran a request addressed to {run.header('Addressee')}"
        for run in observed.runs
        if run.header("Addressee") not in (None, run.replica)
    ]
    for run in observed.runs:
        if not any(
            run.service in observed.services_for(change.document, run.host, run.target) for change in observed.changes
        ):
            bad.append(f"{run.service} ran {run.target}, which no configuration routes there")
        attempt = observed.by_try.get(run.try_id)
        if attempt is not None and not any(
            observed.is_admitted(change.document, attempt) for change in observed.changes
        ):
            bad.append(f"{run.replica} ran {_describe(attempt)} with an API key that no configuration has")
    return Report(len(observed.runs), sum(arrival.status == 421 for arrival in observed.arrivals), bad)


# --- planned stops ------------------------------------------------------------------


@RULES.enter("DRAIN")
def _drain(observed):
    """A replica that the platform's list shows as leaving receives no request after the bound."""
    bad, checked, at_risk = [], 0, 0
    for arrival in observed.arrivals:
        shown = observed.closing_shown.get(arrival.replica)
        attempt = observed.by_try.get(arrival.try_id)
        if shown is None or attempt is None or arrival.status == 421:
            continue
        checked += 1
        at_risk += arrival.at > shown
        outage = sum(max(0.0, min(until, arrival.at) - max(since, shown)) for since, until in observed.list_outages)
        if arrival.at - shown - outage > observed.bounds["leaving_s"] and observed.is_reachable(
            attempt.gate, shown, arrival.at
        ):
            bad.append(
                f"{_describe(attempt)} reached {arrival.replica} {arrival.at - shown:.2f} s after it was "
                "listed as leaving"
            )
    return Report(checked, at_risk, bad)


@RULES.enter("LOST requests")
def _lost_requests(observed):
    """A planned stop or a configuration change cuts off no request that was sent to a replica or that the gateway had
    held for longer than the slack."""
    bad, checked, at_risk = [], 0, 0
    stops = [
        (at, at + observed.bounds["grace_s"] + 1, name) for at, name, what, _ in observed.faults if what == "stopping"
    ]
    changes = [
        (change.sent_at, change.done_at + observed.bounds["routing_age_s"] + 1)
        for change in observed.changes
        if change.outcome in ("taken", "open")
    ]
    for attempt in observed.attempts:
        planned = [since for since, until, name in stops if name == attempt.gate and since <= attempt.done_at <= until]
        if (
            attempt.read_at is None
            or not planned
            and not any(since <= attempt.done_at and attempt.sent_at <= until for since, until in changes)
        ):
            continue
        checked += 1
        if attempt.outcome != "cut" or attempt.done_at >= attempt.sent_at + attempt.time_left - 0.05:
            continue
        at_risk += 1
        runs = observed.runs_of[attempt.try_id]
        if any(run.broke_off or planned and run.ended_at > planned[0] + observed.bounds["grace_s"] / 2 for run in runs):
            continue
        if not runs and attempt.done_at <= attempt.read_at + observed.bounds["loss_slack_s"]:
            continue
        if not observed.has_fault(
            attempt.sent_at - observed.bounds["contact_s"], attempt.done_at, observed.roles, planned_too=False
        ):
            bad.append(f"{_describe(attempt)} was cut off at {attempt.done_at:.3f}")
    return Report(checked, at_risk, bad)


# --- configuration -----------------------------------------------------------------


def _may_be_in_force(observed, attempt, margin=None):
    """The changes that may be active for this request: the newest one that had been acknowledged for the bound before
    it was sent, and any that may have followed. Rejected changes are left out."""
    margin = observed.bounds["routing_age_s"] if margin is None else margin
    settled = [
        change.version
        for change in observed.changes
        if change.outcome == "taken" and change.done_at + margin < attempt.sent_at
    ]
    newest = max(settled, default=0)
    return [
        change
        for change in observed.changes
        if change.outcome in ("taken", "open") and change.version >= newest and change.sent_at <= attempt.done_at
    ]


def _handled(observed, attempt):
    """(service, NO_ROUTE or NO_KEY; time) of each handling of a request."""
    ways = [(run.service, run.at) for run in observed.runs_of[attempt.try_id]]
    if attempt.outcome == "whole" and attempt.stamp is None:
        if attempt.status == 404 and attempt.previous is None:
            ways.append((NO_ROUTE, attempt.done_at))
        if attempt.status == 401:
            ways.append((NO_KEY, attempt.done_at))
    return ways


def _allows(observed, change, attempt, service):
    services = observed.services_for(change.document, attempt.host, attempt.target)
    if service is NO_ROUTE:
        return not services
    is_admitted_there = observed.is_admitted(change.document, attempt)
    if service == NO_KEY:
        return bool(services) and not is_admitted_there
    return service in services and is_admitted_there


@RULES.enter("CONFIG age")
def _config_age(observed):
    """No request is handled by a version that was replaced longer ago than the bound."""
    bad, checked, at_risk = [], 0, 0
    for attempt in observed.attempts:
        for service, at in _handled(observed, attempt):
            if not attempt.gate or not observed.is_fault_free(attempt.gate, attempt.sent_at, at):
                continue
            settled = observed.is_settled(attempt.sent_at, at)
            if not settled and observed.closing_fault is not None and at >= observed.closing_fault[0]:
                continue  # most of the core was down
            checked += 1
            candidates = _may_be_in_force(
                observed,
                attempt,
                observed.bounds["routing_age_s"] + (0 if settled else observed.bounds["routing_stretch_s"]),
            )
            at_risk += len(candidates) > 1
            if candidates and not any(_allows(observed, change, attempt, service) for change in candidates):
                bad.append(
                    f"{_describe(attempt)} was {'run by ' + service if service else 'unknown'}, which none of "
                    f"{[change.version for change in candidates]} allows"
                )
    return Report(checked, at_risk, bad)


@RULES.enter("CONFIG goes back")
def _config_back(observed):
    """Within one process lifetime a gateway does not return to an older version after a replica has seen the effect of
    a newer one."""
    versions = sorted({change.version for change in observed.changes if change.outcome in ("taken", "open")})
    changes = {change.version: change for change in observed.changes if change.outcome in ("taken", "open")}
    seen, bad, checked, at_risk = defaultdict(list), [], 0, 0  # (gate, life) -> [(time, lowest version possible)]
    ways = sorted(
        (
            (at, attempt, service)
            for attempt in observed.attempts
            if attempt.gate
            for service, at in _handled(observed, attempt)
        ),
        key=lambda way: way[0],
    )
    for at, attempt, service in ways:
        able = [version for version in versions if _allows(observed, changes[version], attempt, service)]
        if not able:
            continue
        checked += 1
        before = [
            version
            for when, version in seen[attempt.gate, attempt.life]
            if when
            + observed.bounds["routing_back_s"]
            * (SLOWDOWN_FACTOR if observed.has_fault(at - SLOWED_AFTER_S, at, {attempt.gate}) else 1)
            < attempt.sent_at
        ]
        at_risk += len(able) < len(versions)
        if before and max(able) < max(before):
            bad.append(
                f"{_describe(attempt)} was handled by version {max(able)} at most, "
                f"{max(before)} was active there before"
            )
        if service and min(able) > versions[0]:
            seen[attempt.gate, attempt.life].append((at, min(able)))
    return Report(checked, at_risk, bad)


@RULES.enter("CONFIG refused")
def _config_refused(observed):
    """A change that was rejected or lost to a concurrent one is never active."""
    bad, checked = [], 0
    refused = [change for change in observed.changes if change.outcome in ("lost", "invalid") and change.is_valid]
    for attempt in observed.attempts if refused else ():
        for service, _ in _handled(observed, attempt):
            checked += 1
            if service and not any(
                _allows(observed, change, attempt, service)
                for change in observed.changes
                if change.outcome in ("taken", "open")
            ):
                bad.append(f"{_describe(attempt)} was run by {service}, which only a rejected configuration allows")
    return Report(checked, len(refused), bad)


@RULES.enter("CONFIG acknowledged")
def _config_acknowledged(observed):
    """Nothing invalid is acknowledged, nor are two changes on top of one version."""
    taken = [change for change in observed.changes if change.outcome == "taken"]
    bad = [f"the invalid version {change.version} was acknowledged" for change in taken if not change.is_valid]
    on_top = defaultdict(set)
    for change in taken:
        on_top[change.based_on].add(change.version)
    bad += [
        f"{sorted(versions)} were both acknowledged on top of {based_on}"
        for based_on, versions in on_top.items()
        if len(versions) > 1
    ]
    return Report(len(taken), sum(change.outcome != "taken" for change in observed.changes), bad)


ORDER_ANSWERS = {200: Answer.ACKNOWLEDGED, 412: Answer.REFUSED} | dict.fromkeys((400, 409, 413, 422), Answer.INVALID)


def _orders(observed):
    """The changes as orders of the history checker: equal bytes based on the same version are one order, whoever sent
    them."""
    orders = {}
    for change in observed.changes:
        order = orders.setdefault(
            (change.method, change.based_on, change.body or pack_json(change.document)),
            Order(change.based_on, change.version, pack_json(change.document), is_valid=change.is_valid),
        )
        order.tries += [
            Try(sent_at, answered_at, ORDER_ANSWERS.get(status, Answer.OPEN))
            for sent_at, answered_at, status in change.tries
        ]
    return [order for order in orders.values() if order.tries]


@RULES.enter("CONFIG linearizable")
def _config_linearizable(observed):
    """All attempts of all changes and all reads are linearizable as operations on a single register."""
    orders = _orders(observed)
    reads = [
        Read(document["edition"] if document else 0, document and pack_json(document), sent_at, answered_at)
        for document, sent_at, answered_at in observed.reads
    ]
    at_risk = sum(len(order.tries) > 1 for order in orders)
    return Report(len(orders) + len(reads), at_risk, check_history(orders, reads))


@RULES.enter("CONFIG read back")
def _config_read_back(observed):
    """The configuration that is read back is the newest acknowledged one, or one that may have been accepted since."""
    if observed.read_back is None:
        return Report(0, 0, [])
    taken = [change for change in observed.changes if change.outcome == "taken"]
    newest, document = max((change.version for change in taken), default=0), observed.read_back[1]
    if document is None:
        return Report(1, 1, ["no configuration came back"] if newest else [])
    version = document["edition"]
    sent = [change for change in observed.changes if change.version == version and change.outcome in ("taken", "open")]
    bad = [f"version {version} was read back, {newest} was acknowledged"] if version < newest else []
    if not any(change.document == document for change in sent):
        bad.append(f"version {version} was read back, but not as it was sent")
    return Report(1, int(any(change.outcome == "open" for change in observed.changes)), bad)


@RULES.enter("acknowledged in time")
def _acknowledged_in_time(observed):
    """A valid change is not left unacknowledged for longer than the bound while the core stays settled."""
    bad, checked, at_risk = [], 0, 0
    links = [
        (since, until)
        for since, until, name, _ in observed.spans
        if name in observed.roles
        and any(what.startswith("cut from") and at == since and name == other for at, other, what, _ in observed.faults)
    ]
    troubled = join_spans([*observed.unsettled_spans, *links])
    for change in observed.changes:
        if not change.is_valid or change.outcome in ("lost", "invalid"):
            continue
        checked += 1
        since, longest = change.sent_at, 0.0
        done_at = min(change.done_at, change.answered_at, observed.ended_at)
        for begin, end in [*troubled, (float("inf"), float("inf"))]:
            longest = max(longest, min(begin, done_at) - since)
            since = max(since, min(end, done_at))
        at_risk += len([1 for begin, end in troubled if begin <= done_at and end >= change.sent_at])
        bound = observed.bounds["ack_s"] + 0.003 * len(change.document["mail_routes"])
        if longest > bound:
            bad.append(
                f"version {change.version}, sent at {change.sent_at:.3f}, was not acknowledged for "
                f"{longest:.2f} s without a fault"
            )
    return Report(checked, at_risk, bad)


# --- streams and budgets -------------------------------------------------------------


@RULES.enter("ORDER")
def _order(observed):
    """In a stream no event is missing or repeated, events of two runs are joined only where that is allowed, and the
    stream ends as complete only after its last event."""
    bad, checked, at_risk = [], 0, 0
    for attempt in observed.attempts:
        if not attempt.is_stream or not attempt.answer and attempt.outcome != "whole":
            continue
        checked += 1
        at_risk += attempt.outcome != "whole" or len(observed.runs_of[attempt.try_id]) > 1
        expected, last, run = attempt.resume_after + 1, None, None
        runs = {data.rpartition(".")[0] for _, data in attempt.events}
        for number, data in attempt.events:
            stamp = data.rpartition(".")[0]
            if number != expected:
                bad.append(f"{_describe(attempt)} got the event {number} where {expected} was expected")
                break
            if (number, data) not in (observed.by_stamp[stamp].events if stamp in observed.by_stamp else ()):
                bad.append(f"{_describe(attempt)} got an event {data} that no replica sent")
                break
            if (
                last is not None
                and stamp != last
                and not (attempt.repeatable and observed.by_stamp[stamp].resumed_after == number - 1)
            ):
                bad.append(f"{_describe(attempt)} got events of {last} and then of {stamp}")
                break
            expected, last = number + 1, stamp
        if attempt.outcome != "whole":
            continue
        run = observed.by_stamp.get(last) or observed.by_stamp.get(attempt.stamp)
        # A run that resumed after the last event has only the end mark to send.
        is_ended = run is not None and (
            run.finished
            or attempt.repeatable
            and any(other.finished and other.resumed_after == run.planned for other in observed.runs_of[attempt.try_id])
        )
        if not is_ended or expected - 1 != run.planned:
            bad.append(
                f"{_describe(attempt)} ended as complete after {expected - 1} events of {run.planned if run else '?'}, "
                f"runs {sorted(runs)}"
            )
    return Report(checked, at_risk, bad)


@RULES.enter("BUDGET")
def _budget(observed):
    """The tokens that clients received for a program, over all attempts, exceed its budget by one turn at most."""
    handed, bad = Counter(), []
    for attempt in observed.attempts:
        if attempt.program is not None:
            handed[attempt.program] += len(attempt.events) * observed.tokens_per_event
    programs = [program for program in observed.programs.values() if program.name in handed]
    for program in programs:
        if handed[program.name] > program.budget + program.max_turn_tokens:
            bad.append(
                f"program {program.name} received {handed[program.name]} tokens of {program.budget} and "
                f"{program.max_turn_tokens}"
            )
    return Report(len(programs), sum(handed[program.name] > program.budget for program in programs), bad)


@RULES.enter("BUDGET refused early")
def _refused_early(observed):
    """A turn is rejected for a spent budget only if the budget may be spent: the tokens sent out so far leave no room
    for one more turn. Turns that had not completed the settling time before are counted at their maximum."""
    of_program, bad = defaultdict(list), []
    for attempt in observed.attempts:
        if attempt.program is not None:
            of_program[attempt.program].append(attempt)
    rejected = [
        attempt
        for attempts in of_program.values()
        for attempt in attempts
        if attempt.status == 402
        and attempt.outcome == "whole"
        and attempt.stamp is None
        and observed.is_reachable(attempt.gate, attempt.sent_at, attempt.done_at)
    ]
    for attempt in rejected:
        counted = 0
        for other in of_program[attempt.program]:
            if other is attempt or other.sent_at > attempt.done_at:
                continue
            is_over = (
                other.outcome == "whole"
                and (other.status < 500 or other.status == 503)
                and other.done_at < attempt.sent_at - observed.bounds["settle_s"]
            )
            counted += len(other.events) * observed.tokens_per_event if is_over else other.tokens_most
        if counted + attempt.tokens_most <= attempt.budget:
            bad.append(f"{_describe(attempt)} was answered 402 with at most {counted} of {attempt.budget} spent")
    return Report(len(rejected), len(rejected), bad)


@RULES.enter("LOST turns")
def _lost_turns(observed):
    """A turn that continues a completely answered one within its retention time is not answered that there is none."""
    ones = [attempt for attempt in observed.attempts if observed.continues_a_turn(attempt)]
    return Report(
        len(ones),
        sum(attempt.status == 503 for attempt in ones),
        [
            f"{_describe(attempt)} was answered {attempt.status} for {attempt.previous}, which was answered "
            f"{attempt.sent_at - observed.turns[attempt.previous].answered_at:.2f} s before"
            for attempt in ones
            if attempt.outcome == "whole"
            and attempt.status in (404, 410)
            and attempt.stamp is None
            and attempt.done_at - observed.turns[attempt.previous].answered_at
            < observed.turns[attempt.previous].retain_s
        ],
    )


# --- after a loss ----------------------------------------------------------------------


@RULES.enter("RECOVER")
def _recover(observed):
    """Of the requests sent later than the bound after the closing fault, at least a quarter is served."""
    if observed.closing_fault is None:
        return Report(0, 0, [])
    came, back = observed.closing_fault
    firsts = [attempt for attempt in observed.attempts if not attempt.is_probe]
    before = [attempt.is_success for attempt in firsts if attempt.sent_at < came]
    after = [attempt.is_success for attempt in firsts if attempt.sent_at > back + observed.bounds["recover_s"]]
    served = sum(after) / len(after) if after else 0.0
    bad = (
        [f"{served:.0%} of {len(after)} attempts were served after the closing fault"]
        if after and sum(before) >= len(before) / 4 > 0 and served < 0.25
        else []
    )
    return Report(len(after), len(after), bad)


@RULES.enter("LOST turns after a loss")
def _lost_turns_after(observed):
    """After the closing fault, turns that continue stored ones reach a replica by the bound if at least 80 % of the
    other turns are served."""
    if observed.closing_fault is None:
        return Report(0, 0, [])
    came, back = observed.closing_fault
    due = back + observed.bounds["recover_s"]
    late = [
        attempt
        for attempt in observed.attempts
        if observed.continues_a_turn(attempt)
        and back < attempt.sent_at <= due
        and observed.turns[attempt.previous].answered_at < came
        and attempt.sent_at - observed.turns[attempt.previous].answered_at < observed.turns[attempt.previous].retain_s
    ]
    others = [
        attempt
        for attempt in observed.attempts
        if attempt.program and attempt.previous is None and attempt.sent_at > due - 4
    ]
    reached = {attempt.previous for attempt in late if any(run.at <= due for run in observed.runs_of[attempt.try_id])}
    early = {attempt.previous for attempt in late if attempt.sent_at <= due - LATE_ATTEMPT_S}
    asked_late = {attempt.previous for attempt in late if attempt.done_at >= due - LATE_ATTEMPT_S} & early - reached
    bad = (
        [f"turn {turn} could not be continued until {due:.1f}" for turn in sorted(asked_late)]
        if others and sum(attempt.is_success for attempt in others) >= 0.8 * len(others)
        else []
    )
    return Report(len({attempt.previous for attempt in late}), len(reached), bad)


def unserved(observed):
    """Counts the attempts that were not served, by their result and by whether the core and their gateway were free of
    faults, and names the first attempt of each group."""
    found, shown = Counter(), {}
    for attempt in observed.attempts:
        if attempt.is_probe or attempt.is_success or attempt.status == 402:
            continue
        calm = bool(attempt.gate) and observed.is_reachable(attempt.gate, attempt.sent_at, attempt.done_at)
        runs = observed.runs_of[attempt.try_id]
        why = (
            "its replica's fault"
            if any(run.broke_off or run.status >= 300 for run in runs)
            else _reason(attempt)
            if attempt.outcome == "whole"
            else attempt.outcome
        )
        name = ("calm" if calm else "troubled", attempt.kind, attempt.status, why)
        found[name] += 1
        shown.setdefault(name, _describe(attempt))
    return found, shown


def _reason(attempt):
    try:
        body = json.loads(attempt.answer)
    except ValueError:
        return "?"
    return f"{body.get('error')}: {re.sub('[0-9a-f]{8,}', '#', str(body.get('reason')))[:70]}"


def check(observed):
    """rule -> Report."""
    return {name: RULES.find(name)(observed) for name in RULES.names()}


def violations(observed):
    return {name: report.bad for name, report in check(observed).items() if report.bad}
