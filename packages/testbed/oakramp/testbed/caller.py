"""Stand-in callers and operators. They keep their own view of everything they asked and were told."""

import json
from dataclasses import dataclass, field

from oakramp.common.constants import REPLICA_EVENT_LIMIT
from oakramp.common.errors import OakrampError, OutcomeUnknownError, Verdict
from oakramp.common.http_client import BodyLines
from oakramp.common.tasks import settled, sleep, within
from oakramp.common.validation import pack_json

ATTEMPTS = 8  # times; a caller asks again for one request at most so often
ATTEMPT_PAUSE = 0.5  # s; between two of them
RUSH_LIMIT = 12  # units; two or three short turns
FINAL_STATUSES = (400, 402, 404, 410, 413, 422)


@dataclass
class Attempt:
    """One request as its caller saw it. `outcome`: end, break, cut (no answer or an unfinished one), error."""

    asked_at: float
    done_at: float = 0.0
    outcome: str = "cut"
    status: int = 0
    verdict: str = "maybe"
    error: str = ""
    events: list = field(default_factory=list)
    answer: dict | None = None
    request: str = ""  # names this try, at the replica too
    first_at: float = 0.0  # of its first piece


@dataclass
class Asked:
    """One thing a caller wanted, with all attempts at it under the same id."""

    kind: str  # turn, plain
    partner: str
    binding: str
    repeatable: bool
    body: dict
    program: str = ""
    line: str = ""
    attempts: list = field(default_factory=list)

    @property
    def line_key(self):
        return f"{self.partner}/{self.program}/{self.line}"

    def ended(self):
        return next((attempt for attempt in self.attempts if attempt.outcome == "end"), None)


@dataclass
class PlanSent:
    partner: str
    change_id: str
    marker: str  # the adapter name that only this plan uses
    asked_at: float
    done_at: float = 0.0
    outcome: str = "maybe"  # accepted, refused, maybe
    version: int = 0
    max_output: int = 0  # of its model bindings, if they bear the marker: a second mark
    based_on: int | None = None
    content: bytes = b""  # the whole plan, packed
    error: str = ""  # the code, if it was refused


@dataclass(frozen=True)
class PlanRead:
    """A plan as an operator read it; version 0 and no content before the first."""

    partner: str
    version: int
    content: bytes | None
    asked_at: float
    done_at: float


class View:
    """All that callers and operators saw. `programs` maps partner/program to its limit; `slack` is what the lab's
    own faults may keep an answer from its caller for."""

    def __init__(self, slack=0.0):
        self.slack = slack
        self.asked = []
        self.plans = []
        self.planReads = []
        self.programs = {}
        self.read_back = {}
        self.ended_at = {}


class Caller:
    def __init__(self, reactor, web_client, gates, random, view):
        self._reactor, self._client, self._gates = reactor, web_client, list(gates)
        self._random, self._view = random, view

    def mint(self, prefix):
        return f"{prefix}{self._random.getrandbits(64):016x}"

    def use_gate(self, address):
        self._gates.append(address)

    def pick_gate(self):
        return self._random.choice(self._gates)

    # --- programs ---

    async def open_program(self, partner, program, limit, gate=None):
        self._view.programs[f"{partner}/{program}"] = limit
        for _ in range(ATTEMPTS * 4):
            try:
                status, _ = await self._client.json(
                    "POST",
                    gate or self.pick_gate(),
                    f"/v1/{partner}/programs",
                    {"program": program, "limit": limit},
                    10,
                )
                if status == 201:
                    return True
            except OakrampError:
                pass
            await sleep(self._reactor, ATTEMPT_PAUSE)
        return False

    # --- turns ---

    async def turn(
        self,
        partner,
        program,
        line,
        after,
        text,
        binding="chat",
        repeatable=False,
        turn_id=None,
        attempts=ATTEMPTS,
        gate=None,
        time_left=30,
    ):
        """Posts a turn, and again under the same id while told that it did not run. Gives the Asked."""
        body = {
            "turnId": turn_id or self.mint("t"),
            "binding": binding,
            "after": after,
            "input": text,
            "timeLeft": time_left,
        }
        asked = Asked("turn", partner, binding, repeatable, body, program, line)
        self._view.asked.append(asked)
        await self._ask_often(asked, attempts, gate)
        return asked

    async def _ask_often(self, asked, attempts, gate=None):
        """The same id may always be asked for again: it finds the outcome, or runs if it never ran."""
        for _ in range(attempts):
            attempt = await (self._stream if asked.kind == "turn" else self._ask)(asked, gate or self.pick_gate())
            may_again = asked.kind == "turn" or asked.body["key"] or asked.repeatable or attempt.verdict == "no"
            if attempt.outcome == "end" or not may_again or attempt.status in FINAL_STATUSES:
                return
            await sleep(self._reactor, ATTEMPT_PAUSE)

    async def doubled(self, asked):
        """The same request, asked for by two that know nothing of each other."""
        self._view.asked.append(asked)
        await settled([self._ask_often(asked, ATTEMPTS) for _ in range(2)])
        return asked

    def _attempt(self, asked):
        attempt = Attempt(self._reactor.seconds(), request=self.mint("r"))
        asked.attempts.append(attempt)
        return attempt

    async def _stream(self, asked, gate):
        path = f"/v1/{asked.partner}/programs/{asked.program}/lines/{asked.line}/turns"
        attempt = self._attempt(asked)
        try:
            response = await self._client.send(
                "POST", gate, path, asked.body | {"request": attempt.request}, asked.body["timeLeft"] + 10
            )
            attempt.status = response.code
            lines = BodyLines(REPLICA_EVENT_LIMIT)
            response.deliverBody(lines)
            await within(
                self._reactor,
                asked.body["timeLeft"] + 10,
                self._read_all(attempt, lines),
                OutcomeUnknownError("the stream did not end"),
            )
        except OakrampError as error:
            # Nothing left the caller, so nothing ran.
            attempt.verdict = error.verdict.value
        except ValueError:
            attempt.outcome = "unreadable"
        attempt.done_at = self._reactor.seconds()
        return attempt

    async def _read_all(self, attempt, lines):
        while (line := await lines.next()) is not None:
            event = json.loads(line)
            if attempt.status != 200:
                attempt.outcome, attempt.error, attempt.verdict = "error", event["error"], event["verdict"]
                continue
            attempt.first_at = attempt.first_at or self._reactor.seconds()
            attempt.events.append(event)
        if attempt.status != 200 or not attempt.events:
            return
        last = attempt.events[-1]
        if last["type"] == "end" and lines.whole:
            attempt.outcome, attempt.verdict = "end", "yes"
        if last["type"] == "break":
            attempt.outcome, attempt.error, attempt.verdict = "break", last["error"], last["verdict"]

    # --- plain calls ---

    async def plain(
        self, partner, binding, body, key=None, repeatable=False, attempts=ATTEMPTS, time_left=10, gate=None
    ):
        asked = Asked("plain", partner, binding, repeatable, {"key": key, "body": body, "timeLeft": time_left})
        self._view.asked.append(asked)
        await self._ask_often(asked, attempts, gate)
        return asked

    async def _ask(self, asked, gate):
        attempt = self._attempt(asked)
        try:
            attempt.status, said = await self._client.json(
                "POST",
                gate,
                f"/v1/{asked.partner}/plain/{asked.binding}",
                asked.body | {"request": attempt.request},
                asked.body["timeLeft"] + 10,
            )
            if attempt.status == 200:
                attempt.outcome, attempt.answer, attempt.verdict = "end", said["answer"], "yes"
            else:
                attempt.outcome, attempt.error, attempt.verdict = "error", said["error"], said["verdict"]
        except OakrampError as error:
            attempt.verdict = error.verdict.value
        attempt.done_at = self._reactor.seconds()
        return attempt

    # --- the brief's mix ---

    async def session(self, partner, turns, limit=100000, binding="chat", pause=0.1, start=None):
        """A conversation: a program, one line, each turn after the last that ended."""
        program, line, after = self.mint("p"), self.mint("l"), None
        if not await self.open_program(partner, program, limit):
            return
        start = start or f"You are the {partner} assistant. " + "Common rules. " * 10
        for number in range(turns):
            asked = await self.turn(
                partner,
                program,
                line,
                after,
                f"{start if not number else ''}q{number}{line}",
                binding,
                binding == "ask",
            )
            if asked.ended():
                after = asked.body["turnId"]
            await sleep(self._reactor, self._random.uniform(0, 2 * pause))
        if self._random.random() < 0.3:
            await self.end_program(partner, program)

    async def end_program(self, partner, program):
        try:
            status, _ = await self._client.json(
                "POST", self.pick_gate(), f"/v1/{partner}/programs/{program}/end", {}, 10
            )
        except OakrampError:
            return
        if status == 200:
            self._view.ended_at[f"{partner}/{program}"] = self._reactor.seconds()
            # Whatever is asked for after that must find it ended.
            await self.turn(partner, program, "l", None, "after the end", attempts=1)

    async def rush(self, partner):
        """A small budget drawn on by several lines at once, through any gates, some of it asked for twice."""
        program = self.mint("p")
        if not await self.open_program(partner, program, RUSH_LIMIT):
            return
        await settled([self._rush_line(partner, program, f"l{index}") for index in range(4)])

    async def _rush_line(self, partner, program, line):
        after = None
        for number in range(3):
            asked = await self.doubled(
                Asked(
                    "turn",
                    partner,
                    "chat",
                    False,
                    {
                        "turnId": self.mint("t"),
                        "binding": "chat",
                        "after": after,
                        "input": f"rush {number}",
                        "timeLeft": 30,
                        "maxOutput": 8,
                    },
                    program,
                    line,
                )
            )
            if not asked.ended():
                return
            after = asked.body["turnId"]

    async def mix(self, partner, plain_name, until):
        """Short conversations several times as often as long ones, with plain calls between."""
        while self._reactor.seconds() < until:
            kind = self._random.random()
            if kind < 0.35:
                await self.session(partner, 3, binding=self._random.choice(("chat", "ask")))
            elif kind < 0.45:
                await self.session(partner, 7)
            elif kind < 0.5:
                await self.rush(partner)
            elif kind < 0.53:
                await self.plain(partner, f"{plain_name}-read", {"n": self.mint("n")}, self.mint("k"), repeatable=True)
            elif kind < 0.58:
                await self.doubled(
                    Asked(
                        "plain",
                        partner,
                        plain_name,
                        False,
                        {"key": self.mint("k"), "body": {"n": self.mint("n")}, "timeLeft": 10},
                    )
                )
            else:
                await self.plain(partner, plain_name, {"n": self.mint("n")}, self.mint("k"))
            await sleep(self._reactor, self._random.uniform(0.0, 0.3))


class Operator:
    """Sends plans marked by an adapter name of their own, so that a run tells under which plan it went."""

    def __init__(self, reactor, web_client, controls, random, view):
        self._reactor, self._client, self._controls = reactor, web_client, list(controls)
        self._random, self._view = random, view

    def use_control(self, address):
        self._controls.append(address)

    def leave_control(self, address):
        self._controls.remove(address)

    async def ask(self, method, path, value=None, time_left=12):
        """The first answer of any control node that is not about who owns what."""
        last = None
        for control in self._random.sample(self._controls, len(self._controls)):
            try:
                status, said = await self._client.json(method, control, path, value, time_left)
                if status < 500:
                    return status, said
                last = said
            except OakrampError as error:
                last = error.to_json()
        return 503, last

    async def put_plan(self, partner, based_on, blueprint, marker, change_id=None):
        sent = PlanSent(partner, change_id or f"c{self._random.getrandbits(64):x}", marker, self._reactor.seconds())
        sent.based_on, sent.content = based_on, pack_json(blueprint)
        sent.max_output = next(
            (
                binding["maxOutput"]
                for binding in blueprint["bindings"].values()
                if binding["kind"] == "model" and binding.get("adapter") == marker
            ),
            0,
        )
        self._view.plans.append(sent)
        status, said = await self.ask(
            "PUT",
            f"/v1/blueprints/{partner}",
            {"changeId": sent.change_id, "basedOn": based_on, "blueprint": blueprint},
        )
        sent.done_at = self._reactor.seconds()
        if status == 200:
            sent.outcome, sent.version = "accepted", said["version"]
        elif status < 500 and said.get("verdict") == Verdict.NO.value:
            sent.outcome, sent.error = "refused", said["error"]
        return sent

    async def read_plan(self, partner):
        asked_at = self._reactor.seconds()
        status, said = await self.ask("GET", f"/v1/blueprints/{partner}")
        if status in (200, 404):
            version, content = (said["version"], pack_json(said["blueprint"])) if status == 200 else (0, None)
            self._view.planReads.append(PlanRead(partner, version, content, asked_at, self._reactor.seconds()))
        return said if status == 200 else None
