"""Emulated clients and operators, which record all their requests and the responses."""

import json
from dataclasses import dataclass, field

from oakramp.common.constants import REPLICA_EVENT_LIMIT
from oakramp.common.errors import OakrampError, OutcomeUnknownError, Verdict
from oakramp.common.http_client import BodyLines
from oakramp.common.tasks import settled, sleep, within
from oakramp.common.validation import pack_json

ATTEMPTS = 8  # a client sends one request at most so often
ATTEMPT_PAUSE = 0.5  # s; between two attempts
RUSH_LIMIT = 12  # units; the budget of two or three short turns
FINAL_STATUSES = (400, 402, 404, 410, 413, 422)


@dataclass
class Attempt:
    """One sending of a request as its client saw it. `outcome`: end, break, cut (no response or an incomplete one),
    error."""

    asked_at: float
    done_at: float = 0.0
    outcome: str = "cut"
    status: int = 0
    verdict: str = "maybe"
    error: str = ""
    events: list = field(default_factory=list)
    answer: dict | None = None
    request: str = ""  # id of this attempt, also known to the replica
    first_at: float = 0.0  # when its first piece arrived


@dataclass
class ClientRequest:
    """One request of a client, with all its attempts under the same id."""

    kind: str  # turn, plain
    partner: str
    binding: str
    repeatable: bool
    body: dict
    program: str = ""
    conversation: str = ""
    attempts: list = field(default_factory=list)

    @property
    def conversation_key(self):
        return f"{self.partner}/{self.program}/{self.conversation}"

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
    max_output: int = 0  # of its model bindings with this adapter; a second field that identifies the plan
    based_on: int | None = None
    content: bytes = b""  # the whole plan, encoded
    error: str = ""  # the error code, if it was rejected


@dataclass(frozen=True)
class PlanRead:
    """A plan as an operator read it; before the first plan, version 0 and no content."""

    partner: str
    version: int
    content: bytes | None
    asked_at: float
    done_at: float


class View:
    """All that clients and operators observed. `programs` maps partner/program to its limit; `slack` is for how many
    seconds injected faults may delay a response to its client."""

    def __init__(self, slack=0.0):
        self.slack = slack
        self.requests = []
        self.plans = []
        self.planReads = []
        self.programs = {}
        self.read_back = {}
        self.ended_at = {}


class Client:
    def __init__(self, reactor, web_client, gateways, random, view):
        self._reactor, self._client, self._gateways = reactor, web_client, list(gateways)
        self._random, self._view = random, view

    def new_id(self, prefix):
        return f"{prefix}{self._random.getrandbits(64):016x}"

    def add_gateway(self, address):
        self._gateways.append(address)

    def pick_gateway(self):
        return self._random.choice(self._gateways)

    # --- programs ---

    async def open_program(self, partner, program, limit, gateway=None):
        self._view.programs[f"{partner}/{program}"] = limit
        for _ in range(ATTEMPTS * 4):
            try:
                status, _ = await self._client.json(
                    "POST",
                    gateway or self.pick_gateway(),
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
        conversation,
        after,
        text,
        binding="chat",
        repeatable=False,
        turn_id=None,
        attempts=ATTEMPTS,
        gateway=None,
        time_left=30,
    ):
        """Posts a turn, and repeats it under the same id until its outcome is final. Returns the request."""
        body = {
            "turnId": turn_id or self.new_id("t"),
            "binding": binding,
            "after": after,
            "input": text,
            "timeLeft": time_left,
        }
        request = ClientRequest("turn", partner, binding, repeatable, body, program, conversation)
        self._view.requests.append(request)
        await self._send_until_final(request, attempts, gateway)
        return request

    async def _send_until_final(self, request, attempts, gateway=None):
        """Sends the request until its outcome is final. A repeat under the same id is always allowed: it gets the
        outcome, or runs if it never ran."""
        for _ in range(attempts):
            attempt = await (self._send_turn if request.kind == "turn" else self._send_call)(
                request, gateway or self.pick_gateway()
            )
            may_again = request.kind == "turn" or request.body["key"] or request.repeatable or attempt.verdict == "no"
            if attempt.outcome == "end" or not may_again or attempt.status in FINAL_STATUSES:
                return
            await sleep(self._reactor, ATTEMPT_PAUSE)

    async def send_twice(self, request):
        """Sends the same request twice concurrently, as two independent clients."""
        self._view.requests.append(request)
        await settled([self._send_until_final(request, ATTEMPTS) for _ in range(2)])
        return request

    def _begin_attempt(self, request):
        attempt = Attempt(self._reactor.seconds(), request=self.new_id("r"))
        request.attempts.append(attempt)
        return attempt

    async def _send_turn(self, request, gateway):
        path = f"/v1/{request.partner}/programs/{request.program}/lines/{request.conversation}/turns"
        attempt = self._begin_attempt(request)
        try:
            response = await self._client.send(
                "POST", gateway, path, request.body | {"request": attempt.request}, request.body["timeLeft"] + 10
            )
            attempt.status = response.code
            lines = BodyLines(REPLICA_EVENT_LIMIT)
            response.deliverBody(lines)
            await within(
                self._reactor,
                request.body["timeLeft"] + 10,
                self._read_all(attempt, lines),
                OutcomeUnknownError("the stream did not end"),
            )
        except OakrampError as error:
            # The error's verdict: "no" if nothing was sent, so that nothing ran.
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
        self, partner, binding, body, key=None, repeatable=False, attempts=ATTEMPTS, time_left=10, gateway=None
    ):
        request = ClientRequest(
            "plain", partner, binding, repeatable, {"key": key, "body": body, "timeLeft": time_left}
        )
        self._view.requests.append(request)
        await self._send_until_final(request, attempts, gateway)
        return request

    async def _send_call(self, request, gateway):
        attempt = self._begin_attempt(request)
        try:
            attempt.status, response = await self._client.json(
                "POST",
                gateway,
                f"/v1/{request.partner}/plain/{request.binding}",
                request.body | {"request": attempt.request},
                request.body["timeLeft"] + 10,
            )
            if attempt.status == 200:
                attempt.outcome, attempt.answer, attempt.verdict = "end", response["answer"], "yes"
            else:
                attempt.outcome, attempt.error, attempt.verdict = "error", response["error"], response["verdict"]
        except OakrampError as error:
            attempt.verdict = error.verdict.value
        attempt.done_at = self._reactor.seconds()
        return attempt

    # --- the required load mix ---

    async def session(self, partner, turns, limit=100000, binding="chat", pause=0.1, start=None):
        """A conversation in a program of its own, each turn after the last one that ended."""
        program, conversation, after = self.new_id("p"), self.new_id("l"), None
        if not await self.open_program(partner, program, limit):
            return
        start = start or f"You are the {partner} assistant. " + "Common rules. " * 10
        for number in range(turns):
            request = await self.turn(
                partner,
                program,
                conversation,
                after,
                f"{start if not number else ''}q{number}{conversation}",
                binding,
                binding == "ask",
            )
            if request.ended():
                after = request.body["turnId"]
            await sleep(self._reactor, self._random.uniform(0, 2 * pause))
        if self._random.random() < 0.3:
            await self.end_program(partner, program)

    async def end_program(self, partner, program):
        try:
            status, _ = await self._client.json(
                "POST", self.pick_gateway(), f"/v1/{partner}/programs/{program}/end", {}, 10
            )
        except OakrampError:
            return
        if status == 200:
            self._view.ended_at[f"{partner}/{program}"] = self._reactor.seconds()
            # A request after the confirmed end must be rejected.
            await self.turn(partner, program, "l", None, "after the end", attempts=1)

    async def rush(self, partner):
        """Several conversations at once draw on one small budget, through any gateways, each turn sent twice."""
        program = self.new_id("p")
        if not await self.open_program(partner, program, RUSH_LIMIT):
            return
        await settled([self._rush_conversation(partner, program, f"l{index}") for index in range(4)])

    async def _rush_conversation(self, partner, program, conversation):
        after = None
        for number in range(3):
            request = await self.send_twice(
                ClientRequest(
                    "turn",
                    partner,
                    "chat",
                    False,
                    {
                        "turnId": self.new_id("t"),
                        "binding": "chat",
                        "after": after,
                        "input": f"rush {number}",
                        "timeLeft": 30,
                        "maxOutput": 8,
                    },
                    program,
                    conversation,
                )
            )
            if not request.ended():
                return
            after = request.body["turnId"]

    async def mix(self, partner, plain_name, until):
        """Short conversations, several times as often as long ones, and plain calls in between."""
        while self._reactor.seconds() < until:
            kind = self._random.random()
            if kind < 0.35:
                await self.session(partner, 3, binding=self._random.choice(("chat", "ask")))
            elif kind < 0.45:
                await self.session(partner, 7)
            elif kind < 0.5:
                await self.rush(partner)
            elif kind < 0.53:
                await self.plain(
                    partner, f"{plain_name}-read", {"n": self.new_id("n")}, self.new_id("k"), repeatable=True
                )
            elif kind < 0.58:
                await self.send_twice(
                    ClientRequest(
                        "plain",
                        partner,
                        plain_name,
                        False,
                        {"key": self.new_id("k"), "body": {"n": self.new_id("n")}, "timeLeft": 10},
                    )
                )
            else:
                await self.plain(partner, plain_name, {"n": self.new_id("n")}, self.new_id("k"))
            await sleep(self._reactor, self._random.uniform(0.0, 0.3))


class Operator:
    """Sends plans that each use a unique adapter name, so that a run shows which plan it ran under."""

    def __init__(self, reactor, web_client, controls, random, view):
        self._reactor, self._client, self._controls = reactor, web_client, list(controls)
        self._random, self._view = random, view

    def add_control(self, address):
        self._controls.append(address)

    def remove_control(self, address):
        self._controls.remove(address)

    async def ask(self, method, path, value=None, time_left=12):
        """The first response of any control node that is no server error, such as not being the shard leader."""
        last = None
        for control in self._random.sample(self._controls, len(self._controls)):
            try:
                status, response = await self._client.json(method, control, path, value, time_left)
                if status < 500:
                    return status, response
                last = response
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
        status, response = await self.ask(
            "PUT",
            f"/v1/blueprints/{partner}",
            {"changeId": sent.change_id, "basedOn": based_on, "blueprint": blueprint},
        )
        sent.done_at = self._reactor.seconds()
        if status == 200:
            sent.outcome, sent.version = "accepted", response["version"]
        elif status < 500 and response.get("verdict") == Verdict.NO.value:
            sent.outcome, sent.error = "refused", response["error"]
        return sent

    async def read_plan(self, partner):
        asked_at = self._reactor.seconds()
        status, response = await self.ask("GET", f"/v1/blueprints/{partner}")
        if status in (200, 404):
            version, content = (response["version"], pack_json(response["blueprint"])) if status == 200 else (0, None)
            self._view.planReads.append(PlanRead(partner, version, content, asked_at, self._reactor.seconds()))
        return response if status == 200 else None
