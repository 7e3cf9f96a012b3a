"""Gates between scripted callers and scripted replicas, on one clock, from a seed; and what must hold of what all of
them saw.

A replica's connection does to each request what a die says: answers (told by length, by chunks, by its end), refuses,
stays silent, resets or closes at any byte, sends more than was asked for at once, later, or in the place of the next
answer, forgets a kept connection. Callers pipeline, send in pieces, stop half-way, leave; gates are killed.
"""

import os
import random
import sys
from dataclasses import dataclass, field

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from twisted.internet import error, task  # noqa: E402
from twisted.python.failure import Failure  # noqa: E402

from relay_bench import ROUTE_TIMEOUT_S, Gate, Keys, answer, request  # noqa: E402
from relay_http import Reader, Unreadable  # noqa: E402
from relay_wire import Dialling, Transport  # noqa: E402

PROMISES = (402, 408, 421, 429, 503)
STREAMS = ("stream", "once", "split")
BUDGET, TURN_MOST = 200, 100  # tokens; of a program, and of one of its turns
GONE_WITHIN = 0.5  # s; after its caller has left, what may be repeated has stopped at its replica
LATE = 0.3  # s; after a call's time, its answer is out
MOST_TRIES = 3
PLANS = {
    "ok": 8,
    "cut": 3,
    "refuse": 3,
    "bare refusal": 1,
    "silent": 1,
    "reset": 2,
    "close": 1,
    "junk": 1,
    "nameless": 1,
    "other's": 1,
    "extra at once": 2,
    "extra later": 2,
    "extra in place of the next": 2,
    "closed at reuse": 2,
    "closed while idle": 1,
    "failure": 1,
    "no stamp": 1,
}
ENDS = (error.ConnectionDone, error.ConnectionLost)


class LateTransport(Transport):
    """As a real one: its protocol is told of its end a turn later, and what comes meanwhile is nobody's."""

    def __init__(self, reactor, on_write=None):
        super().__init__()
        self._reactor, self._on_write = reactor, on_write
        self.is_dead = False

    def _end(self, why):
        if self.ended is None:
            self.ended = why
            self.ended_at = self._reactor.seconds()
            self._reactor.callLater(0, self._tell, why)

    def _tell(self, why):
        if not self.is_dead:
            self.protocol.connectionLost(Failure(why))

    def write(self, data):
        super().write(data)
        if self.ended is None and self._on_write is not None:
            self._on_write(data)


class GateReactor:
    """One process's view of the common clock. Once it is killed nothing of it runs any more."""

    def __init__(self, world):
        self.world, self.is_dead = world, False
        self.listening, self.transports = [], []
        self.seconds = world.clock.seconds

    def callLater(self, delay, function, *arguments, **named):
        def run():
            if not self.is_dead:
                function(*arguments, **named)

        return self.world.clock.callLater(delay, run)

    def listenTCP(self, port, factory, backlog=50, interface=""):
        self.listening.append(factory)

    def connectTCP(self, host, port, factory, timeout=30, bindAddress=None):
        dialling = Dialling(host, port, factory, timeout, bindAddress)
        if not self.is_dead:
            self.world.dialled(self, dialling)
        return dialling

    def connect(self, factory, on_write=None):
        transport = LateTransport(self, on_write)
        self.transports.append(transport)
        transport.protocol = factory.buildProtocol(None)
        transport.protocol.makeConnection(transport)
        return transport

    def kill(self):
        self.is_dead = True
        for transport in self.transports:
            transport.is_dead = True
            if transport.ended is None:
                transport.ended, transport.ended_at = error.ConnectionLost(), self.seconds()


@dataclass
class Ask:
    """A request as its caller meant it."""

    kind: str
    try_id: str
    body: bytes
    method: str
    key: str = None
    program: str = None
    resume_after: int = 0
    time_left: float = 3.0
    sent_at: float = None  # its last byte
    left_at: float = None


@dataclass
class Send:
    """A request as it was written to a replica. `promised` once the replica's word that it doesn't run it was out."""

    try_id: str
    message: object
    at: float
    peer: object
    plan: str = ""
    status: int = 0
    stamp: str = ""
    body: bytes = b""
    is_whole: bool = False
    done_at: float = float("inf")  # when its answer was out, whole
    promised: bool = False
    events: list = field(default_factory=list)


def message_is_split(message):
    return message.first[1].startswith("/split/")


class Peer:
    """A replica's end of one connection."""

    def __init__(self, world, replica):
        self.world, self.replica, self.random = world, replica, world.random
        self.reader, self.sends = Reader(is_answer=False), []
        self.transport = None
        self.extra, self.closes_at_reuse, self.is_writing = None, False, False

    def wrote(self, data):
        try:
            whole = self.reader.feed(data)
        except Unreadable as fault:
            self.world.faults.append(f"UNASKED: a replica cannot read {data[:60]!r}: {fault}")
            return
        for message in whole:
            send = Send(message.header("Try-Id"), message, self.world.clock.seconds(), self)
            self.sends.append(send)
            self.world.sends.append(send)
            self.world.clock.callLater(self.random.choice((0.0, 0.0, 0.02, 0.3)), self.serve, send)

    # --- what it does ---

    def feed(self, data):
        if self.transport.ended is None:
            self.transport.feed(data)

    def feed_late(self, data):
        """Between two answers, or before the next one has begun: a replica never puts bytes into another answer's body."""
        if not self.is_writing:
            self.feed(data)

    def end(self, why=None):
        self.transport.peer_closes((why or self.random.choice(ENDS))())

    def serve(self, send):
        if self.transport.ended is not None:
            return
        if self.closes_at_reuse:
            self.end()
            return
        if self.extra is not None:
            extra, self.extra = self.extra, None
            self.feed(extra)
        send.plan = self.random.choices(list(PLANS), PLANS.values())[0]
        send.stamp = f"st.{len(self.world.sends)}.{self.random.getrandbits(32):x}"
        if send.plan == "silent":
            return
        if send.plan in ("reset", "close"):
            self.end(error.ConnectionLost if send.plan == "reset" else error.ConnectionDone)
            return
        if send.plan == "junk":
            self.feed(self.random.choice((b"\x15\x03\x01", b"HTTP/1.1 2", b"\r\n\r\n", b"HTTP/1.1 101 Go\r\n\r\n")))
            return
        data, ends_it = self._answer(send)
        if send.plan == "cut":
            data = data[: self.random.randrange(len(data))]
        self._feed_in_pieces(send, data, ends_it)

    def _answer(self, send):
        """(bytes, whether the answer ends with the connection)"""
        message, plan, named = send.message, send.plan, {}
        is_stream = message.first[1].split("/")[1] in STREAMS
        send.status = 200
        if plan == "refuse":
            send.status, send.body = self.random.choice((503, 429, 421)), b"{}"
            named = {"Not-Run": "1", "Postmark": None}
        elif plan == "bare refusal":
            send.status = self.random.choice((503, 429, 408))
        elif plan == "failure":
            send.status = self.random.choice((500, 404, 504))
        elif not is_stream and self.random.random() < 0.1:
            send.status = 204
        if is_stream and send.status == 200:
            return self._stream(send)
        if plan != "refuse":
            send.body = f"{send.stamp} for {send.try_id} ".encode() * self.random.choice((0, 1, 3, 30))
        if send.status == 204:
            send.body = b""
        named["Try-Id"] = {"nameless": None, "other's": "t-other"}.get(plan, send.try_id)
        if self.random.random() < 0.1:
            named["Connection"] = "close"
        if plan == "no stamp":
            named["Postmark"] = None
        data = answer(send.status, send.body, **({"Postmark": send.stamp} | named))
        how, ends_it = self.random.choice(("length", "length", "chunks", "end")), False
        head, body = data.split(b"\r\n\r\n", 1)
        told = b"Content-Length: %d" % len(send.body)
        if send.status == 204:
            data = data.replace(told + b"\r\n", b"")
        elif how == "chunks":
            chunks = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
            data = head.replace(told, b"Transfer-Encoding: chunked") + b"\r\n\r\n" + chunks + b"0\r\n\r\n"
        elif how == "end":
            data, ends_it = head.replace(told + b"\r\n", b"").replace(told, b"X: 1") + b"\r\n\r\n" + body, True
        if message.first[0] == "HEAD":
            data, send.body, ends_it = data.split(b"\r\n\r\n", 1)[0] + b"\r\n\r\n", b"", False
        if self.random.random() < 0.1:
            data = self.random.choice((b"HTTP/1.1 100 Continue\r\n\r\n", b"HTTP/1.1 103 Early\r\nX: y\r\n\r\n")) + data
        return data, ends_it

    def _stream(self, send):
        first = int(send.message.header("Last-Event-Id") or 0)
        named = {"nameless": None, "other's": "t-other"}.get(send.plan, send.try_id)
        stamp = None if send.plan == "no stamp" else send.stamp
        data = answer(200, b"", try_id=named, stamp=stamp, Content_Type="text/event-stream")
        data = data.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
        begin = self.random.choice((1, first + 1))  # one may begin anew
        for number in range(begin, 6 if message_is_split(send.message) else 7):
            raw = b"id: %d\ndata: d%d\n\n" % (number, number)
            send.body += raw
            data += b"%x\r\n%b\r\n" % (len(raw), raw)
        return data + b"0\r\n\r\n", False

    def _feed_in_pieces(self, send, data, ends_it):
        self.is_writing = True
        at, step = 0, self.random.choice((len(data), len(data), 7, 50)) or 1
        pause = self.random.choice((0.0, 0.005, 0.05, 0.4))

        def go_on():
            nonlocal at
            if self.transport.ended is not None:
                return
            piece, at = data[at : at + step], at + step
            send.promised = send.plan == "refuse" and b"\r\n\r\n" in data[:at]
            if at < len(data):
                self.feed(piece)
                self.world.clock.callLater(pause, go_on)
                return
            if send.plan != "cut":
                send.is_whole, send.done_at = not ends_it, self.world.clock.seconds()
                if send.plan == "extra at once" and not ends_it:
                    piece += self._excess(send, data)
            self.feed(piece)
            self._after(send, data, ends_it)

        go_on()

    def _excess(self, send, data):
        nameless = data.replace(b"Try-Id: %b\r\n" % send.try_id.encode(), b"")
        return self.random.choice((data, nameless, data[:9], b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"))

    def _after(self, send, data, ends_it):
        self.is_writing = False
        if send.plan == "cut":
            self.end(error.ConnectionLost if ends_it else None)
        elif ends_it:
            send.is_whole = self.random.random() < 0.5
            self.end(error.ConnectionDone if send.is_whole else error.ConnectionLost)
        elif send.plan == "extra later":
            self.world.clock.callLater(self.random.uniform(0.0, 0.3), self.feed_late, self._excess(send, data))
        elif send.plan == "extra in place of the next":
            self.extra = self._excess(send, data)
        elif send.plan == "closed at reuse":
            self.closes_at_reuse = True
        elif send.plan == "closed while idle":
            self.world.clock.callLater(self.random.uniform(0.0, 0.4), self.end)


class Line:
    """A caller's connection and what it asks on it, one after another or all at once."""

    def __init__(self, world, gate, asks):
        self.world, self.gate, self.asks, self.random = world, gate, asks, world.random
        self.transport = gate.reactor.connect(gate.factory)
        self.bytes_of = [self._bytes(ask) for ask in asks]
        self.left_at, self.fed_at = None, []

    def _bytes(self, ask):
        more = {"Operation_Key": ask.key} if ask.key else {}
        if ask.program:
            more |= {"Program": ask.program, "Token_Budget": BUDGET, "Tokens": f"10,{TURN_MOST}"}
        if ask.resume_after:
            more["Last_Event_Id"] = ask.resume_after
        return request(ask.kind, ask.try_id, ask.body, ask.method, int(ask.time_left * 1000), **more)

    def start(self):
        is_pipelined = self.random.random() < 0.3
        pieces, at = [], 0.0
        for ask, data in zip(self.asks, self.bytes_of):
            cut = self.random.randrange(1, len(data)) if self.random.random() < 0.3 else 0
            if cut:
                pieces.append((at, data[:cut], None))
                at += self.random.choice((0.0, 0.01))
            pieces.append((at, data[cut:], ask))
            at += 0.0 if is_pipelined else self.random.uniform(0.2, 1.0)
        stops_at = self.random.randrange(len(pieces)) if self.random.random() < 0.1 else len(pieces)
        for when, piece, ask in pieces[:stops_at]:
            self.world.clock.callLater(when, self._send, piece, ask)
        if self.random.random() < 0.25:
            self.world.clock.callLater(self.random.uniform(0.0, 1.2), self._leave)

    def _send(self, piece, ask):
        if self.transport.ended is None:
            self.fed_at.append(self.world.clock.seconds())
            if ask is not None:
                ask.sent_at = self.world.clock.seconds()
            self.transport.feed(piece)

    def _leave(self):
        if self.transport.ended is None:
            self.left_at = self.world.clock.seconds()
            self.transport.peer_closes(self.random.choice(ENDS)())

    def answers(self):
        """(the answers that came, in order, each with what was asked; bytes that are no answer)"""
        reader, found = Reader(is_answer=True), []
        rest = self.transport.value()
        for ask in self.asks:
            reader.bodiless = ask.method == "HEAD"
            messages = reader.feed(rest[:0])  # what the reader has kept
            while not messages and rest:
                messages, rest = reader.feed(rest[:1]), rest[1:]
            if not messages:
                if reader.current is not None:
                    found.append((ask, reader.current))
                return found, b""
            found.append((ask, messages[0]))
        return found, reader.rest + rest


class World:
    """Everything from one seed. `faults` are the rules that were broken."""

    def __init__(self, seed, gates=2):
        self.random = random.Random(f"relay world/{seed}")
        self.clock = task.Clock()
        self.sends, self.faults, self.lines, self.peers = [], [], [], []
        self.keys = Keys(self.clock, lambda: self.random.choice((0.0, 0.0, 0.01, 0.1)))
        self.gates = [self._gate(f"g{at}") for at in range(gates)]
        self._numbers = iter(range(1, 1000))

    def _gate(self, name):
        gate = Gate(GateReactor(self), self.keys, name, seed=self.random.random())
        gate.balancer.outliers.late = self.random.choice((0.1, 0.5, 5.0))
        return gate

    def dialled(self, reactor, dialling):
        peer = Peer(self, dialling.host)

        def over():
            if self.random.random() < 0.05:
                dialling.fail(error.ConnectionRefusedError())
                return
            peer.transport = LateTransport(reactor, peer.wrote)
            reactor.transports.append(peer.transport)
            self.peers.append(peer)
            peer.transport.protocol = dialling.factory.buildProtocol(None)
            peer.transport.protocol.makeConnection(peer.transport)

        reactor.callLater(self.random.choice((0.0, 0.0, 0.01, 0.6)), over)

    def _ask(self, key=None):
        kind = "tracked" if key else self.random.choice(("safe", "unsafe", "unsafe", "stream", "once", "split"))
        body = b"" if kind == "safe" else (key or f"b{next(self._numbers)}").encode() * 3
        method = self.random.choice(("GET", "GET", "HEAD")) if kind == "safe" else "POST"
        resume = self.random.choice((0, 0, 2)) if kind == "stream" else 0
        program = f"p{self.random.randrange(3)}" if kind == "split" else None
        seconds = self.random.choice((0.5, 1.0, 3.0))
        return Ask(kind, f"t{next(self._numbers)}", body, method, key, program, resume, seconds)

    def play(self, seconds=14.0):
        for _ in range(self.random.randrange(3, 9)):
            asks = [self._ask() for _ in range(self.random.randrange(1, 4))]
            if self.random.random() < 0.4:
                asks[self.random.randrange(len(asks))] = self._ask(key=f"k{self.random.randrange(2)}")
            self.clock.callLater(self.random.uniform(0.0, 3.0), self._open, asks)
        for at in range(len(self.gates)):
            if self.random.random() < 0.2:
                self.clock.callLater(self.random.uniform(0.0, 3.0), self._kill, at)
        if self.random.random() < 0.2:
            self.keys.lose = self.random.randrange(1, 3)
        until = self.clock.seconds() + seconds
        while self.clock.seconds() < until:
            self.clock.advance(self.random.choice((0.001, 0.01, 0.01, 0.05)))
        self._judge()
        return self.faults

    def _open(self, asks):
        line = Line(self, self.random.choice(self.gates), asks)
        self.lines.append(line)
        line.start()

    def _kill(self, at):
        self.gates[at].reactor.kill()
        self.gates[at] = self._gate(f"g{at}-{next(self._numbers)}")

    # --- what must hold ---

    def _judge(self):
        self._asks = {ask.try_id: (line, ask) for line in self.lines for ask in line.asks}
        for line in self.lines:
            self._judge_line(line)
        for try_id, (line, ask) in self._asks.items():
            self._judge_sends(line, ask, [send for send in self.sends if send.try_id == try_id])
        for key in {ask.key for _, ask in self._asks.values() if ask.key}:
            sends = [send for send in self.sends if self._asks[send.try_id][1].key == key]
            self._judge_once(f"key {key}", sends)
        for send in self.sends:
            self._judge_send(send)
        for program in {ask.program for _, ask in self._asks.values() if ask.program}:
            self._judge_budget(program)

    def _fault(self, text):
        self.faults.append(text)

    def _judge_once(self, what, sends):
        if any(not send.promised for send in sends[:-1]):
            self._fault(f"TWICE: {what} was sent again after {[(send.plan, send.at) for send in sends]}")

    def _judge_send(self, send):
        if send.try_id not in self._asks:
            self._fault(f"UNASKED: {send.try_id}")
            return
        line, ask = self._asks[send.try_id]
        first, message = f"/{ask.kind}/x", send.message
        if (message.first[0], message.first[1], message.body) != (ask.method, first, ask.body):
            self._fault(f"UNASKED: {send.try_id} came as {message.first} {message.body[:40]!r}")
        if ask.sent_at is None or ask.sent_at > send.at:
            self._fault(f"UNASKED: {send.try_id} was sent before it had come whole")
            return
        # Of a pipelined request the gate knows only when the newest bytes came that it may have been in.
        arrived_at = max(at for at in line.fed_at if ask.sent_at <= at <= send.at)
        left = arrived_at + min(ask.time_left, ROUTE_TIMEOUT_S) - send.at
        if int(message.header("Time-Left-Ms")) > 1000 * left + 20:
            self._fault(f"BUDGET: {send.try_id} was handed {message.header('Time-Left-Ms')} ms with {left:.3f} s left")
        if line.left_at is not None and send.at > line.left_at + GONE_WITHIN:
            self._fault(f"GONE: {send.try_id} was sent after its caller left")

    def _judge_budget(self, program):
        """Counts each event whose id reached a caller, by the service that put it out."""
        tokens = 0
        for line in self.lines:
            try:
                found, _ = line.answers()
            except Unreadable:
                continue  # told of already
            for ask, message in found:
                if ask.program == program and message.status == 200:
                    sent = [send for send in self.sends if send.try_id == ask.try_id]
                    is_engine = sent and sent[0].peer.replica == self.gates[0].host_of("e0")
                    tokens += message.body.count(b"id: ") * (20 if is_engine else 1)
        if tokens > BUDGET + TURN_MOST:
            self._fault(f"BUDGET: program {program} put out {tokens}")

    def _judge_sends(self, line, ask, sends):
        if ask.kind not in ("safe", "stream"):
            self._judge_once(ask.try_id, sends)
        if len(sends) > MOST_TRIES:
            self._fault(f"BUDGET: {ask.try_id} was sent {len(sends)} times")
        if line.left_at is None or ask.kind not in ("safe", *STREAMS) or not sends:
            return
        last, until = sends[-1], line.left_at + GONE_WITHIN
        peer = last.peer
        is_last = peer.sends[-1] is last
        ended_at = peer.transport.ended_at if peer.transport.ended is not None else float("inf")
        if is_last and last.done_at > until and last.plan != "junk" and ended_at > until:
            self._fault(f"GONE: a replica works on at {ask.try_id} ({last.plan}) of a caller that left")

    def _judge_line(self, line):
        try:
            found, rest = line.answers()
        except Unreadable as fault:
            self._fault(f"MIXED: a caller cannot read its answer: {fault}")
            return
        if rest and not rest.startswith((b"HTTP/1.1 408", b"HTTP/1.1 400")):
            self._fault(f"MIXED: bytes that answer nothing: {rest[:60]!r}")
        for ask, message in found:
            if ask.sent_at is None:
                if message.status not in (408,):
                    self._fault(f"MIXED: {ask.try_id} was not sent whole and got {message.status}")
                continue
            if message.whole:
                self._judge_answer(line, ask, message)
        self._judge_time(line, [ask for ask, message in found if message.whole])

    def _judge_time(self, line, answered):
        """Whoever stays has an answer, or the end of its connection, by the time of its calls."""
        if line.transport.ended is not None:
            return
        for ask in line.asks:
            if ask.sent_at is not None and ask not in answered:
                self._fault(f"LATE: {ask.try_id} ({ask.kind}) has no answer and its connection stands")

    def _judge_answer(self, line, ask, message):
        status, stamp = message.status, message.header("Postmark")
        if message.header("Try-Id") != ask.try_id and (stamp or status < 300):
            plans = [send.plan for send in self.sends if send.stamp == stamp]
            if plans != ["nameless"]:
                self._fault(f"MIXED: {ask.try_id} got the answer of {message.header('Try-Id')} ({plans})")
        own = [send for send in self.sends if send.try_id == ask.try_id]
        if status in PROMISES and any(not send.promised for send in own):
            self._fault(f"REFUSED: {ask.try_id} got {status} after {[send.plan for send in own]}")
        if stamp is None:
            if status < 300:
                self._fault(f"MIXED: {ask.try_id} got {status} without a stamp")
            return
        runs = [send for send in self.sends if send.stamp == stamp]
        if not runs or not self._is_run_of(ask, runs[0]):
            self._fault(f"MIXED: {ask.try_id} got the stamp of {[run.try_id for run in runs]}")
            return
        run = runs[0]
        if status != run.status:
            self._fault(f"MIXED: {ask.try_id} got {status} with the stamp of a {run.status}")
        if ask.kind in STREAMS and status == 200:
            self._judge_stream(ask, message, own)
        elif not run.is_whole or message.body != run.body:
            self._fault(f"MIXED: {ask.try_id} got {message.body[:50]!r}, whole, of {run.plan} {run.body[:50]!r}")

    def _is_run_of(self, ask, run):
        return run.try_id == ask.try_id or (ask.key is not None and self._asks[run.try_id][1].key == ask.key)

    def _judge_stream(self, ask, message, own):
        ids = [int(raw.split(b"\n")[0].split(b": ")[1]) for raw in message.body.split(b"\n\n") if raw]
        last = 5 if ask.kind == "split" else 6
        if ids != list(range(ask.resume_after + 1, last + 1)):
            self._fault(f"ORDER: {ask.try_id} after {ask.resume_after} got {ids} as whole")
        if not any(send.is_whole for send in own):
            self._fault(f"ORDER: {ask.try_id} is whole though no run was")
