"""Simulated replicas and the platform's list of replicas, which behave as on the platform, and the record of the
requests that reached them."""

import json
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

from oakramp.common.tasks import sleep, spawn
from oakramp.testbed.simnet import SimReactor
from relay_http import ServerFactory, answer_bytes, answer_head, chunk

STAMP = "Postmark"
# The faults that a replica may inject into one request. Before it runs: it is rejected, or the connection is reset.
FAULTS_BEFORE = ("refuse", "reset before")
FAULTS_AFTER = ("lost", "silent", "error", "cut", "junk", "extra", "late copy", "slow", "close after", "dribble")


@dataclass
class Run:
    """One request that a replica has begun to run. `answer` is the complete body, or what was sent so far."""

    at: float
    replica: str
    service: str
    stamp: str
    try_id: str
    method: str
    target: str
    host: str
    body: bytes
    headers: list
    status: int = 200
    answer: bytes = b""
    events: list = field(default_factory=list)  # (id, data) sent
    planned: int = 0  # the number of events of a complete answer, which is the last id
    resumed_after: int = 0
    finished: bool = False
    broke_off: bool = False  # the replica itself ended it early, or sent something that is no answer
    dropped: bool = False  # its connection was closed before it ended
    ended_at: float = float("inf")

    def header(self, name):
        return next((value for key, value in self.headers if key.lower() == name.lower()), None)


@dataclass
class Arrival:
    """One request as it reached a replica, whether it was run or rejected."""

    at: float
    replica: str
    service: str
    try_id: str
    status: int = 0  # of a rejection, 0 if it ran


@dataclass
class ReplicaRecord:
    runs: list = field(default_factory=list)
    arrivals: list = field(default_factory=list)
    unreadable: list = field(default_factory=list)  # (time, replica, why)
    closing_shown: dict = field(default_factory=dict)  # replica -> when the list could first show it as leaving


class Replica:
    """`plan` holds the faults for the next requests, in order; `odds` maps faults to their probability."""

    health_path = "/health"

    def __init__(
        self,
        fleet,
        replica_id,
        service,
        address,
        zone,
        slots=4,
        queue=6,
        work_s=0.02,
        event_s=0.01,
        is_engine=False,
        tokens_per_event=10,
        connections=60,
        idle_s=4.0,
        tells_load=True,
    ):
        self.fleet, self.id, self.service, self.address, self.zone = fleet, replica_id, service, address, zone
        self.slots, self.queue, self.work_s, self.event_s = slots, queue, work_s, event_s
        self.is_engine, self.tokens_per_event = is_engine, tokens_per_event
        self.max_connections, self.idle_s, self.tells_load = connections, idle_s, tells_load
        self.record, self.random = fleet.record, fleet.random
        self.host = fleet.host_of(address)
        self.reactor = SimReactor(self.host)
        self.connections, self.waiting = set(), []
        self.running = self.peak = 0
        self.plan, self.odds = [], {}
        self.leaving = self.ended = False
        self.slow_by = 1.0
        self._port = self.reactor.listenTCP(int(address.rpartition(":")[2]), ServerFactory(self))

    # --- connections ---

    def opened(self, connection):
        self.connections.add(connection)
        if len(self.connections) > self.max_connections:
            connection.drop()

    def closed(self, connection):
        self.connections.discard(connection)

    def unreadable(self, connection, why, data):
        self.record.unreadable.append((self.reactor.seconds(), self.id, f"{why}: {data[:80]!r}"))

    def end(self, gracefully=True):
        """Ends the process: nothing answers at its address any more."""
        self.ended = True
        self._port.stopListening()
        for connection in list(self.connections):
            (connection.close if gracefully else connection.drop)()

    # --- requests ---

    def take(self, connection, request):
        now, try_id = self.reactor.seconds(), request.header("Try-Id") or ""
        if request.first[1] == self.health_path:
            self._write(connection, 503 if self.leaving else 200, [("Replica", self.id)], b"")
            return
        arrival = Arrival(now, self.id, self.service, try_id)
        self.record.arrivals.append(arrival)
        fault = self._next_fault()
        status = (
            421
            if request.header("Addressee") not in (None, self.id)
            else 400
            if not try_id
            else 503
            if fault == "refuse" or self.running >= self.slots and len(self.waiting) >= self.queue
            else 0
        )
        if status:
            self._refuse(connection, request, arrival, status)
            return
        if fault == "reset before":
            connection.drop()
            return
        if self.running >= self.slots:
            self.waiting.append((connection, request, arrival, fault))
            return
        self._start(connection, request, arrival, fault)

    def _next_fault(self):
        for plan in (self.plan, self.fleet.plans[self.service]):
            if plan:
                return plan.pop(0)
        return next((fault for fault, odds in self.odds.items() if self.random.random() < odds), None)

    def _refuse(self, connection, request, arrival, status):
        arrival.status = status
        self._write(connection, status, [*self._echo(request), ("Not-Run", "1"), *self._load()], b"{}")

    def _echo(self, request):
        try_id = request.header("Try-Id")
        return [("Try-Id", try_id)] if try_id else []

    def _load(self):
        return [("Replica-Load", f"{self.running},{len(self.waiting)},{self.slots}")] if self.tells_load else []

    def _closes_connection(self):
        return self.leaving or self.random.random() < 0.005

    def _write(self, connection, status, headers, body):
        closing = self._closes_connection()
        connection.write(answer_bytes(status, [*headers, *self._persistence(closing)], body))
        connection.done(keep=not closing)

    def _persistence(self, closing):
        return [("Connection", "close")] if closing else [("Keep-Alive", f"timeout={int(self.idle_s)}")]

    def _start_waiting(self):
        while self.waiting and self.running < self.slots:
            connection, request, arrival, fault = self.waiting.pop(0)
            if not connection.is_open:
                continue  # the client has gone, and the request has not run
            left = float(request.header("Time-Left-Ms") or 1e9) / 1000
            if self.reactor.seconds() > arrival.at + left:
                self._refuse(connection, request, arrival, 503)
                continue
            self._start(connection, request, arrival, fault)

    def _start(self, connection, request, arrival, fault):
        method, target, _ = request.first
        run = Run(
            self.reactor.seconds(),
            self.id,
            self.service,
            f"{self.id}.{len(self.record.runs):x}.{self.random.getrandbits(32):08x}",
            arrival.try_id,
            method,
            target,
            request.header("Host") or "",
            request.body,
            request.headers,
        )
        self.record.runs.append(run)
        self.running += 1
        self.peak = max(self.peak, self.running)
        spawn(self._work(connection, request, run, fault), self.fleet.lab_log)

    async def _work(self, connection, request, run, fault):
        try:
            await (self._stream if self.is_engine else self._plain)(connection, request, run, fault)
        finally:
            run.ended_at = self.reactor.seconds()
            run.broke_off |= self.ended and not run.finished
            run.dropped = not run.finished and not run.broke_off
            self.running -= 1
            self._start_waiting()

    async def _pause(self, connection, seconds):
        """Works for about this long; returns False if the connection was closed or the replica has ended meanwhile."""
        await sleep(self.reactor, seconds * self.slow_by * self.random.uniform(0.7, 1.3))
        return connection.is_open and not self.ended

    def _head(self, run, request, more=()):
        return [*self._echo(request), (STAMP, run.stamp), *self._load(), *more]

    async def _plain(self, connection, request, run, fault):
        if not await self._pause(connection, self.work_s * (12 if fault == "slow" else 1)):
            return
        run.status = 500 if fault == "error" else 200
        body = f"{run.stamp} did {run.method} {run.target} for {run.try_id}\n".encode() * 8
        if fault in ("lost", "silent", "junk"):
            run.broke_off = True
            await self._send_no_answer(connection, fault)
            return
        run.answer, closing = body, self._closes_connection() or fault == "close after"
        head = self._head(run, request, self._persistence(closing))
        whole = answer_bytes(run.status, head, body)
        if fault == "cut":
            run.broke_off = True
            connection.write(whole[: -len(body) // 2])
            connection.drop() if self.random.random() < 0.5 else connection.close()
            return
        run.finished = True
        await self._write_out(connection, whole, fault)
        if fault == "extra":
            connection.write(whole)  # more bytes after a complete answer, which belong to no request
        if fault == "late copy":
            self._send_late(connection, whole)
        connection.done(keep=not closing)

    async def _write_out(self, connection, data, fault):
        """Writes all data at once, or a few bytes at a time, which a client has to accept."""
        size = 2 if fault == "dribble" else len(data)
        for start in range(0, len(data), size):
            if start:
                await sleep(self.reactor, 0.001)
            connection.write(data[start : start + size])

    def _send_late(self, connection, whole):
        """Sends the same answer again while the connection's next request waits for its own answer."""
        served, take = connection.served, self.take

        def poll(tries=400):
            if not connection.is_open or self.ended:
                return
            if connection.served > served and connection._busy:
                connection.write(whole)
                return
            if tries:
                self.reactor.callLater(0.002, poll, tries - 1)

        self.reactor.callLater(0.0, poll)

    async def _send_no_answer(self, connection, fault):
        if fault == "silent":
            await connection.gone
        elif fault == "junk":
            connection.write(b"\x15\x03\x01\x00\x02\x02\x28 not an answer\r\n\r\n")
        else:
            connection.drop() if self.random.random() < 0.5 else connection.close()

    async def _stream(self, connection, request, run, fault):
        tokens = request.header("Tokens")
        max_tokens = int(tokens.split(",")[1]) if tokens else 3 * self.tokens_per_event
        run.planned = -(-max_tokens // self.tokens_per_event)
        run.resumed_after = int(request.header("Last-Event-Id") or 0)
        if fault in ("lost", "silent", "junk"):
            run.broke_off = True
            await self._send_no_answer(connection, fault)
            return
        if fault == "error":
            run.status, run.answer, run.finished = 500, b"{}", True
            self._write(connection, 500, self._head(run, request), run.answer)
            return
        closing = self._closes_connection() or fault == "close after"
        cut_at = self.random.randrange(run.resumed_after, run.planned) if fault == "cut" else None
        head = answer_head(
            200,
            [
                *self._head(run, request, self._persistence(closing)),
                ("Content-Type", "text/event-stream"),
                ("Transfer-Encoding", "chunked"),
            ],
        )
        for number in range(run.resumed_after + 1, run.planned + 1):
            if not await self._pause(connection, self.event_s * (30 if fault == "slow" and number == 2 else 1)):
                return
            event = f"id: {number}\ndata: {run.stamp}.{number}\n\n".encode()
            if cut_at is not None and number > cut_at:
                run.broke_off = True
                part = chunk(event)
                part = part[: self.random.randrange(len(part))]
                if event in part:  # cut within the end of the chunk: the event itself was sent
                    run.events.append((number, f"{run.stamp}.{number}"))
                    run.answer += event
                connection.write(head + part)
                connection.drop() if self.random.random() < 0.5 else connection.close()
                return
            run.events.append((number, f"{run.stamp}.{number}"))
            run.answer += event
            await self._write_out(connection, head + chunk(event), fault)
            head = b""
        run.finished = True
        await self._write_out(connection, head + chunk(b""), fault)
        if fault == "extra":
            connection.write(answer_bytes(200, self._head(run, request), b"nobody's"))
        connection.done(keep=not closing)


class ReplicaList:
    """The platform's list of replicas. Invariant: `_states` are (time, rows), and a reply shows the state of `lag_s`
    ago."""

    idle_s = 10.0

    def __init__(self, fleet, address, lag_s, rate_per_s, page=3):
        self.fleet, self.lag_s, self.rate_per_s, self.page = fleet, lag_s, rate_per_s, page
        self.reactor = SimReactor(fleet.host_of(address))
        self._states, self._rows, self._asked_at = [(0.0, {})], {}, []
        self.silent = False
        self.duties = None  # handles calls that are no reads of the list: take_fenced_call(connection, request)
        self.too_often = self.calls = 0
        self.reactor.listenTCP(int(address.rpartition(":")[2]), ServerFactory(self))

    def put(self, replica, state):
        self._rows = self._rows | {
            replica.id: {
                "id": replica.id,
                "depot": replica.service,
                "address": replica.address,
                "zone": replica.zone,
                "edition": "v1",
                "berths": replica.slots,
                "state": state,
                "cold_left_ms": 0,
            }
        }
        self._states.append((self.reactor.seconds(), self._rows))

    def remove(self, replica):
        self._rows = {name: row for name, row in self._rows.items() if name != replica.id}
        self._states.append((self.reactor.seconds(), self._rows))

    def _visible_rows(self):
        at = self.reactor.seconds() - self.lag_s
        return next((rows for since, rows in reversed(self._states) if since <= at), self._states[0][1])

    def opened(self, _connection):
        pass

    closed = opened

    def unreadable(self, connection, why, data):
        raise AssertionError(f"the list received an invalid request {data[:80]!r}: {why}")

    def take(self, connection, request):
        if self.silent:
            return
        if self.duties is not None and request.first[0] == "POST":
            self.duties.take_fenced_call(connection, request)
            return
        now = self.reactor.seconds()
        self._asked_at = [at for at in self._asked_at if at > now - 1.0]
        self.calls += 1
        if len(self._asked_at) >= self.rate_per_s:
            self.too_often += 1
            self.reply(connection, 429, {})
            return
        self._asked_at.append(now)
        query = parse_qs(urlsplit(request.first[1]).query)
        rows = [row for row in self._visible_rows().values() if query.get("zone", [row["zone"]])[0] == row["zone"]]
        start = int(query.get("page_token", ["p-0"])[0].removeprefix("p-"))
        more = start + self.page < len(rows)
        self.reply(
            connection,
            200,
            {"replicas": rows[start : start + self.page], "next_token": f"p-{start + self.page}" if more else None},
        )

    def reply(self, connection, status, value):
        connection.write(answer_bytes(status, [("Content-Type", "application/json")], json.dumps(value).encode()))
        connection.done()
