"""Simulated callers of the relay that behave as on the platform: its load balancer, clients with persistent connections
and retries, programs of turns, and operators. All that they observe is recorded for the checker."""

import itertools
import json
from dataclasses import dataclass, field
from zlib import crc32

from twisted.internet import error

from oakramp.common.tasks import settled, sleep, spawn
from relay_http import ask_once, connect, request_bytes

FINAL_STATUSES = (400, 401, 404, 413, 431)  # a client does not retry after these
PROGRAM_END_STATUSES = (400, 401, 402, 403, 404, 413)  # a program ends after these
NOT_RUN_STATUSES = (408, 421, 429, 503)  # the request has not run and never will
OPERATOR_FINAL_STATUSES = (400, 409, 412, 413, 422)
CONNECT_TIMEOUT_S = 1.0
NEVER = float("inf")


@dataclass
class Attempt:
    """One attempt of a client, with what it observed. `outcome` is open, whole, cut, given up, or unreachable."""

    try_id: str
    kind: str
    method: str
    host: str
    target: str
    body: bytes
    sent_at: float
    time_left: float
    gate: str = ""
    life: int = 0
    repeatable: bool = False
    key: str = None
    api_key: str = None
    program: str = None
    session: str = None
    previous: str = None
    budget: int = None
    tokens_most: int = 0
    resume_after: int = 0
    is_probe: bool = False
    read_at: float = None
    status: int = 0
    headers: list = field(default_factory=list)
    answer: bytes = b""
    arrived: list = field(default_factory=list)
    outcome: str = "open"
    done_at: float = NEVER

    def header(self, name):
        return next((value for key, value in self.headers if key.lower() == name.lower()), None)

    @property
    def stamp(self):
        return self.header("Postmark")

    @property
    def is_success(self):
        return self.outcome == "whole" and 200 <= self.status < 300

    @property
    def is_stream(self):
        return self.kind == "stream" and 200 <= self.status < 300

    @property
    def events(self):
        """(id, data) of each event that arrived completely."""
        if not self.is_stream:
            return []
        whole, _, _ = self.answer.rpartition(b"\n\n")
        return [_read_event(raw) for raw in whole.split(b"\n\n")] if whole else []


def _read_event(raw):
    fields = dict(line.split(": ", 1) for line in raw.decode().split("\n"))
    return int(fields["id"]), fields["data"]


@dataclass
class Turn:
    """A turn that was answered completely, so that a later one may continue it."""

    try_id: str
    previous: str
    input: bytes
    output: list
    answered_at: float
    retain_s: float
    program: str


@dataclass
class Program:
    name: str
    budget: int
    max_turn_tokens: int  # of its largest turn
    is_runaway: bool = False
    tenant: str = None
    outcome: str = "open"  # done, failed, budget, or the status that ended it
    began_at: float = 0.0
    ended_at: float = NEVER


@dataclass
class Change:
    """A change of the configuration as its operator observed it. `outcome` is open, taken, lost, or invalid;
    `answered_at` is when a conclusive answer arrived, even if it was then dropped before it reached the operator;
    `tries` are all its attempts, with what the operator received."""

    version: int
    based_on: int
    document: dict
    is_valid: bool
    sent_at: float
    done_at: float = NEVER
    outcome: str = "open"
    status: int = 0
    by: str = ""
    method: str = "PUT"
    body: bytes = b""
    answered_at: float = NEVER
    tries: list = field(default_factory=list)


@dataclass
class CallerRecord:
    attempts: list = field(default_factory=list)
    turns: dict = field(default_factory=dict)  # try id -> Turn
    programs: dict = field(default_factory=dict)
    changes: list = field(default_factory=list)
    reads: list = field(default_factory=list)  # (document or None, sent at, answered at) of each read of it
    stray: list = field(default_factory=list)  # (time, gate, bytes) that arrived without a waiting request
    read_back: tuple = None  # (status, document) at the end of the run


class LoadBalancer:
    """The platform's load balancer for new connections: it probes the readiness of each gateway and picks one for each
    client."""

    MISSED_PROBES, PAUSE = 2, 1.0

    def __init__(self, fleet):
        self._fleet, self.reactor = fleet, fleet.load_balancer_reactor
        self._missed = {}
        spawn(self._poll(), fleet.lab_log)

    async def _poll(self):
        while True:
            for one in self._fleet.of_kind("gate"):
                spawn(self._probe(one), self._fleet.lab_log)
            await sleep(self.reactor, self.PAUSE)

    async def _probe(self, one):
        status, _ = await ask_once(self.reactor, one.ready_address, "GET", "/ready", timeout=self.PAUSE)
        self._missed[one.name] = 0 if status == 200 else self._missed.get(one.name, self.MISSED_PROBES) + 1

    def is_ready(self, one):
        return self._missed.get(one.name, self.MISSED_PROBES) < self.MISSED_PROBES

    def pick(self, zone):
        """The gateway for a new connection from this zone."""
        gates = self._fleet.of_kind("gate")
        zones = sorted({one.zone for one in gates}, key=lambda other: (other != zone, other))
        for other in zones:
            in_zone = [one for one in gates if one.zone == other]
            ready = [one for one in in_zone if self.is_ready(one)]
            if ready:
                return self._fleet.random.choice(in_zone if 2 * len(ready) < len(in_zone) else ready)
        return self._fleet.random.choice([one for one in gates if one.zone == zone] or gates)


class Client:
    """The clients of one zone, which share persistent connections."""

    KEEP_MARGIN = 0.3

    def __init__(self, fleet, zone):
        self.fleet, self.zone, self.reactor = fleet, zone, fleet.client_reactor(zone)
        self.record, self.random = fleet.callers, fleet.random
        self._idle = []
        self._numbers = itertools.count(1)

    def mint(self, what):
        return f"{what}{self.zone}{next(self._numbers):x}x{self.random.getrandbits(32):08x}"

    # --- one attempt ---

    def _keep(self, connection, message):
        keep_alive = message.header("Keep-Alive")
        if not connection.is_open or message.header("Connection") == "close":
            connection.close()
            return
        seconds = float(keep_alive.partition("=")[2]) if keep_alive else 0.0
        connection.until = self.reactor.seconds() + seconds - self.KEEP_MARGIN
        self._idle.append(connection)

    def _take_idle(self):
        now = self.reactor.seconds()
        while self._idle:
            connection = self._idle.pop(self.random.randrange(len(self._idle)))
            self._record_stray(connection)
            if connection.is_open and connection.until > now:
                return connection
            connection.close()
        return None

    def _record_stray(self, connection):
        if connection.stray:
            self.record.stray.append((self.reactor.seconds(), connection.gate, connection.stray))
            connection.stray = b""

    async def _connection(self, fresh, gate, seconds):
        idle = None if fresh or gate else self._take_idle()
        if idle is not None:
            return idle
        one = gate or self.fleet.load_balancer.pick(self.zone)
        connection = await connect(self.reactor, one.relay_address, min(CONNECT_TIMEOUT_S, seconds))
        connection.gate, connection.life = one.name, one.starts
        return connection

    async def attempt(
        self,
        kind,
        host,
        target,
        body=b"",
        method=None,
        seconds=2.0,
        fresh=True,
        gate=None,
        headers=(),
        silence=None,
        **more,
    ):
        """One attempt, through this gateway or the one that the load balancer picks."""
        now, method = self.reactor.seconds(), method or ("GET" if kind == "safe" and not body else "POST")
        try_id = more.pop("try_id", None) or self.mint("t")
        attempt = Attempt(try_id, kind, method, host, target, body, now, seconds, **more)
        self.record.attempts.append(attempt)
        ends_at = now + seconds
        try:
            connection = await self._connection(fresh, gate, seconds)
        except (error.ConnectError, error.UserError):
            attempt.outcome, attempt.done_at = "unreachable", self.reactor.seconds()
            attempt.gate = gate.name if gate else ""
            return attempt
        now = attempt.sent_at = self.reactor.seconds()
        attempt.gate, attempt.life = connection.gate, connection.life
        left_ms = max(1, int((ends_at - now) * 1000))
        all_headers = [
            ("Host", host),
            ("Try-Id", try_id),
            ("Time-Left-Ms", left_ms),
            *self._request_headers(attempt),
            *headers,
        ]
        data = request_bytes(method, target, all_headers, body, chunked=bool(body) and self.random.random() < 0.3)
        spawn(self._watch(connection, attempt, ends_at, silence), self.fleet.lab_log)
        message, outcome = await connection.ask(data, method)
        attempt.done_at, attempt.outcome = self.reactor.seconds(), outcome
        attempt.read_at = self.fleet.read_at.get(try_id)
        if message is not None:
            attempt.status, attempt.headers, attempt.answer = message.status, message.headers, message.body
            attempt.arrived = message.arrived
        if outcome == "whole":
            self._keep(connection, message)
        self._record_stray(connection)
        return attempt

    @staticmethod
    def _request_headers(attempt):
        pairs = {
            "Api-Key": attempt.api_key,
            "Operation-Key": attempt.key,
            "Program": attempt.program,
            "Session": attempt.session,
            "Previous-Turn": attempt.previous,
            "Token-Budget": attempt.budget,
            "Last-Event-Id": attempt.resume_after or None,
            "Tokens": f"{100 + len(attempt.body)},{attempt.tokens_most}" if attempt.tokens_most else None,
            "Finish-Ms": 20000 if attempt.program else None,
            "Model": "m" if attempt.tokens_most else None,
            "Prompt-Prefix": f"{crc32(str(attempt.session).encode()):08x}:100" if attempt.tokens_most else None,
        }
        return [(name, value) for name, value in pairs.items() if value is not None]

    async def _watch(self, connection, attempt, ends_at, silence):
        """Gives the attempt up at its deadline, after `silence` seconds without a byte, or if it may be repeated and
        the gateway has not read it in time."""
        unread_until = attempt.sent_at + min(1.0, (ends_at - attempt.sent_at) / 3)
        while attempt.outcome == "open":
            await sleep(self.reactor, 0.05)
            now = self.reactor.seconds()
            if attempt.outcome != "open":
                return
            if (
                now >= ends_at
                or silence is not None
                and now - connection.last_byte_at > silence
                or (attempt.repeatable and now >= unread_until and attempt.try_id not in self.fleet.read_at)
            ):
                connection.give_up()
                return

    # --- a request with its retries ---

    def _may_retry(self, attempt):
        if attempt.is_success or attempt.status in FINAL_STATUSES and attempt.outcome == "whole":
            return False
        if attempt.kind == "tracked" or attempt.repeatable or attempt.outcome == "unreachable":
            return True
        if attempt.outcome == "whole":
            return attempt.status in NOT_RUN_STATUSES
        return attempt.outcome == "cut" and attempt.read_at is None and not attempt.status

    def _pause(self, attempt, left):
        retry_after = attempt.header("Retry-After")
        return min(float(retry_after), left / 3) if retry_after else self.random.uniform(0.01, 0.1)

    async def call(self, kind, host, target, body=b"", seconds=2.0, retries=1, fresh=False, **more):
        """All attempts of one request; the last one is its result. Without a given API key, any of the fleet's
        is used."""
        more.setdefault("api_key", self.fleet.pick_key())
        ends_at, tries = self.reactor.seconds() + seconds, []
        while True:
            left = ends_at - self.reactor.seconds()
            options = more | (
                {"resume_after": tries[-1].events[-1][0]}
                if tries
                and more.get("repeatable")
                and kind == "stream"
                and tries[-1].events
                and not tries[-1].is_success
                else {}
            )
            tries.append(
                await self.attempt(kind, host, target, body, seconds=left, fresh=fresh or bool(tries), **options)
            )
            left = ends_at - self.reactor.seconds()
            if len(tries) > retries or left < 0.05 or not self._may_retry(tries[-1]):
                return tries
            await sleep(self.reactor, self._pause(tries[-1], left))

    # --- the kinds of requests ---

    def safe(self, path="/push/1", **more):
        return self.call("safe", self.fleet.HOST, path, repeatable=True, **{"retries": 2} | more)

    def unsafe(self, path="/sync/1", body=b"entry", **more):
        return self.call("unsafe", self.fleet.HOST, path, body, **more)

    def tracked(self, path="/fix/1", body=b"correction", key=None, **more):
        return self.call("tracked", self.fleet.HOST, path, body, key=key or self.mint("k"), **{"retries": 2} | more)

    def generate(self, path="/gen/1", body=b"prompt", tokens_most=60, **more):
        return self.call(
            "stream",
            self.fleet.HOST,
            path,
            body,
            repeatable=True,
            tokens_most=tokens_most,
            **{"retries": 2, "seconds": 4.0, "silence": 3.0} | more,
        )

    async def turn(
        self,
        program,
        session,
        previous=None,
        path="/chat/1",
        body=None,
        tokens_most=60,
        retain_s=60.0,
        restarts=2,
        **more,
    ):
        """Sends a turn with its retries, restarting it up to `restarts` times; returns the last attempt."""
        body = body if body is not None else f"say {self.mint('w')}".encode()
        while True:
            tries = await self.call(
                "stream",
                self.fleet.HOST,
                path,
                body,
                program=program.name,
                session=session,
                previous=previous,
                budget=program.budget,
                tokens_most=tokens_most,
                silence=2.5,
                **{"seconds": 4.0, "api_key": self.fleet.pick_key(program.tenant)} | more,
            )
            last = tries[-1]
            if last.is_success:
                self.record.turns[last.try_id] = Turn(
                    last.try_id, previous, body, last.events, last.done_at, retain_s, program.name
                )
                return last
            if not restarts or last.outcome == "whole" and last.status in PROGRAM_END_STATUSES:
                return last
            restarts -= 1
            await sleep(self.reactor, self.random.uniform(0.1, 0.4))

    def open_program(self, budget=100000, max_turn_tokens=60, is_runaway=False, tenant=None):
        """A program of this tenant, or of a random one."""
        tenant = tenant or self.fleet.pick_tenant()
        program = Program(self.mint("p"), budget, max_turn_tokens, is_runaway, tenant, began_at=self.reactor.seconds())
        self.record.programs[program.name] = program
        return program

    async def program(
        self,
        turns=3,
        budget=100000,
        tokens_most=60,
        helpers=0.1,
        tools=1,
        is_runaway=False,
        previous=None,
        path="/chat/1",
        tenant=None,
    ):
        """A sequence of turns; after each one, either calls of tools or helper conversations."""
        program = self.open_program(budget, tokens_most, is_runaway, tenant)
        program.outcome = await self._conversation(program, turns, previous, helpers, tools, path)
        program.ended_at = self.reactor.seconds()
        return program

    async def _conversation(self, program, turns, previous, helpers, tools, path):
        session = self.mint("s")
        for _ in range(turns):
            last = await self.turn(program, session, previous, path, tokens_most=program.max_turn_tokens)
            if not last.is_success:
                if last.status == 402 and program.is_runaway:
                    await self.turn(program, session, previous, path, tokens_most=program.max_turn_tokens, restarts=0)
                return "budget" if last.status == 402 else f"failed {last.status} {last.outcome}"
            previous = last.try_id
            if program.is_runaway:
                outcomes = await settled(
                    [self._conversation(program, turns, previous, helpers, 0, path) for _ in range(2)]
                )
                return "budget" if ("budget" in [outcome for _, outcome in outcomes]) else "done"
            if self.random.random() < helpers:
                await settled([self._conversation(program, 2, previous, 0.0, tools, path) for _ in range(2)])
            else:
                await settled([self._tool() for _ in range(tools)])
        return "done"

    def _tool(self):
        return self.random.choice((self.safe, self.unsafe, self.tracked))()


class Operator:
    """One operator. It picks a random core node and resends a request unchanged until it gets a conclusive answer;
    `lost` is the share of the answers to its changes that never reach it."""

    SILENCE = 1.0

    def __init__(self, fleet, name, lost=0.0):
        self._fleet, self.name, self.reactor = fleet, name, fleet.operator_reactor
        self._record, self._random, self._lost_share = fleet.callers, fleet.random, lost

    def _nodes(self):
        return [one for one in self._fleet.of_kind("core")]

    async def _ask_once(self, method, target, headers=(), body=b"", node=None):
        one = node or self._random.choice(self._nodes())
        headers = [("Content-Type", "application/json"), *headers]
        return await ask_once(self.reactor, one.control_address, method, target, headers, body, self.SILENCE)

    async def ask(self, method, target, headers=(), body=b"", limit=60.0, node=None, ask_once=None):
        """(status, message) of the first conclusive answer, or (None, None)."""
        ends_at, pause, rejections = self.reactor.seconds() + limit, 0.05, 0
        ask_once = ask_once or self._ask_once
        while self.reactor.seconds() < ends_at:
            status, message = await ask_once(method, target, headers, body, node)
            if status is not None and (status < 300 or status in OPERATOR_FINAL_STATUSES):
                return status, message
            rejections += status is not None and 400 <= status < 500 and status not in (408, 429)
            if rejections >= 3:
                return status, message
            await sleep(self.reactor, pause)
            pause = min(1.0, pause * 1.6)
        return None, None

    async def change(self, method, based_on, version, body, document, is_valid=True, limit=60.0, node=None):
        """Sends a change until its result is known; `document` is the configuration that it would produce."""
        change = Change(version, based_on, document, is_valid, self.reactor.seconds(), by=self.name)
        change.method, change.body = method, json.dumps(body).encode()
        self._record.changes.append(change)
        status, _ = await self.ask(method, "/config", limit=limit, node=node, ask_once=self._sender(change))
        change.status, change.done_at = status or 0, self.reactor.seconds()
        change.outcome = (
            "open" if status is None else "taken" if status == 200 else "lost" if status == 412 else "invalid"
        )
        return change

    def _sender(self, change):
        """Returns a function that sends this change once and records the attempt and its result."""

        async def send(method, target, _headers, _body, node):
            sent_at, index = self.reactor.seconds(), len(change.tries)
            change.tries.append((sent_at, NEVER, 0))
            headers = [("If-Match", str(change.based_on))]
            status, message = await self._ask_once(method, target, headers, change.body, node)
            is_clear = status is not None and (status < 300 or status in OPERATOR_FINAL_STATUSES)
            if is_clear:
                change.answered_at = min(change.answered_at, self.reactor.seconds())
            if self._lost_share and self._random.random() < self._lost_share:
                return None, None
            change.tries[index] = (sent_at, self.reactor.seconds(), status or 0)
            return status, message

        return send

    async def repeat(self, change, tries=3):
        """Resends an answered change until the answer is conclusive or this many attempts were made."""
        for _ in range(tries):
            status, _ = await self._sender(change)(change.method, "/config", (), b"", None)
            if status is not None and (status < 300 or status in OPERATOR_FINAL_STATUSES):
                return status
            await sleep(self.reactor, 0.2)
        return None

    def put(self, document, based_on=0, **more):
        return self.change("PUT", based_on, document["edition"], document, document, **more)

    def patch(self, based_on, version, upsert=None, remove=None, base=None, **more):
        """`base` is the document of the version that the change is based on."""
        body = {"edition": version, "upsert": upsert or {}, "remove": remove or {}}
        return self.change("PATCH", based_on, version, body, patched(base, body), **more)

    async def read(self, limit=30.0):
        """The newest configuration, or None."""

        async def read_once(*asked):
            sent_at = self.reactor.seconds()
            status, message = await self._ask_once(*asked)
            if status in (200, 404):
                document = json.loads(message.body) if status == 200 else None
                self._record.reads.append((document, sent_at, self.reactor.seconds()))
            return status, message

        status, message = await self.ask("GET", "/config", limit=limit, ask_once=read_once)
        return json.loads(message.body) if status == 200 else None


def patched(document, patch):
    """The document after a change of named items."""
    changed = document | {"edition": patch["edition"]}
    for section in ("mail_routes", "depots", "senders"):
        if section not in document and section not in patch["upsert"]:
            continue
        removed = set(patch["remove"].get(section, ()))
        items = {item["name"]: item for item in document.get(section, ()) if item["name"] not in removed}
        items |= {item["name"]: item for item in patch["upsert"].get(section, ())}
        changed[section] = list(items.values())
    return changed
