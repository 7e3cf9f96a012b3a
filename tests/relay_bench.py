"""One gateway's proxy between clients and replicas in memory: real listener, proxy and upstreams, scripted peers.

The balancer, the router and the stores are fakes; commands on owned keys run through the real controllers on one table,
which several gateways may share.
"""

import os
import random
import re
import sys
from types import SimpleNamespace

sys.path[:0] = [
    os.path.dirname(os.path.abspath(__file__)),
    os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "platform"),
]

from sortedcontainers import SortedDict  # noqa: E402

import oakramp.control.idempotency  # noqa: E402,F401
import oakramp.control.token_budget  # noqa: E402,F401  (registers its controller)
from oakramp.common.backend_room import BackendRoom  # noqa: E402
from oakramp.common.errors import (  # noqa: E402
    DeadlineExceededError,
    OutcomeUnknownError,
    OverloadedError,
    TurnExpiredError,
)
from oakramp.common.fair_turns import FairTurns  # noqa: E402
from oakramp.common.metrics import Metrics  # noqa: E402
from oakramp.common.structured_logging import EventLogger  # noqa: E402
from oakramp.common.tasks import sleep, spawn  # noqa: E402
from oakramp.control.command_context import CommandContext  # noqa: E402
from oakramp.control.controllers import CONTROLLERS  # noqa: E402
from oakramp.control.transaction import Transaction  # noqa: E402
from oakramp.gateway.proxy import RequestProxy  # noqa: E402
from oakramp.gateway.routing import Route  # noqa: E402
from oakramp.gateway.tenants import TenantTable  # noqa: E402
from oakramp.gateway.usage_counter import NullUsageCounter  # noqa: E402
from oakramp.http_proxy.listener import Listener  # noqa: E402
from oakramp.http_proxy.upstream import Upstreams  # noqa: E402
from oakramp_platform.dialect import Dialect  # noqa: E402
from relay_wire import Limits, Reactor, connect  # noqa: E402

HOST = "h.example"
BACKEND_ROOM = 10_000_000  # bytes; for responses of replicas
ROUTE_TIMEOUT_S = 4.0  # s; timeout of every route


def route(name, kind, **more):
    defaults = {
        "timeout_s": ROUTE_TIMEOUT_S,
        "target_s": 0.5,
        "priority": 0,
        "backends": (("s", 1),),
        "max_attempts": 3,
    }
    return Route(name, HOST, f"/{name}/", kind, **(defaults | more))


ROUTES = (
    route("safe", "safe"),
    route("unsafe", "unsafe"),
    route("tracked", "tracked"),
    route("stream", "stream", resumable=True),
    route("once", "stream"),
    route("split", "stream", backends=(("plain", 1), ("engine", 1))),
    route("kept", "stream", retained=True, retain_s=60.0),
    route("open", "safe", is_keyless=True),
)


class Keys:
    """The owners of all keys, as one table. The replies of the next `lose` calls are lost after the command has run;
    `pause()` returns the duration of a call in seconds."""

    def __init__(self, reactor, pause=lambda: 0.0):
        self.reactor, self.pause, self.lose = reactor, pause, 0
        members = SimpleNamespace(find=lambda name: name, condition=lambda name: "live")
        self._context = CommandContext(0.0, members, {}, None, None, {})
        self._entries = SortedDict()

    def do(self, key, command, arguments):
        self._context.now = self.reactor.seconds()
        view = Transaction(self._entries, self._context)
        result = CONTROLLERS.find(key.partition("/")[0]).run(view, key, command, arguments)
        for name, value in view.changes().items():
            self._entries[name] = value
            if value is None:
                del self._entries[name]
        return result


class Owners:
    """A gateway's client for the owners of keys."""

    def __init__(self, keys, reactor):
        self.keys, self.reactor = keys, reactor

    async def call(self, key, command, arguments, time_left):
        pause = self.keys.pause()
        if pause:
            await sleep(self.reactor, pause)
        result = self.keys.do(key, command, arguments)
        if self.keys.lose:
            self.keys.lose -= 1
            await sleep(self.reactor, time_left)
            raise OutcomeUnknownError("the reply of the owner was lost")
        return result

    async def call_until_done(self, key, command, arguments):
        while True:
            try:
                return await self.call(key, command, arguments, 1.0)
            except OutcomeUnknownError:
                continue


class Outliers:
    def __init__(self):
        self.late = 0.5

    def request_sent(self, instance):
        return instance

    response_started = request_ended = request_sent

    def late_threshold(self, _service):
        return self.late


class Balancer:
    """Selects the replicas of a service in order. Invariant: `free_slots[id]` is the number of requests that a replica
    can still take."""

    def __init__(self, reactor, instances):
        self.reactor, self.outliers = reactor, Outliers()
        self.instances = {
            name: SimpleNamespace(
                row={"id": name, "address": f"10.0.0.{at}:80", "pool": service, "state": "ready"}, load=lambda now: 0.0
            )
            for at, (name, service) in enumerate(instances)
        }
        self.free_slots = dict.fromkeys(self.instances, 100)
        self.failure_reports = []

    def is_ready(self, instance):
        return instance.row["state"] == "ready"

    def check_program_admission(self, placement_request):
        """Admits every program."""

    async def acquire(self, placement_request):
        while True:
            candidates = [
                one
                for name, one in self.instances.items()
                if one.row["pool"] == placement_request.service and name not in placement_request.excluded
            ]
            if not candidates:
                raise OverloadedError("no replica is left to try")
            with_free_slots = [one for one in candidates if self.free_slots[one.row["id"]] > 0]
            if with_free_slots:
                self.free_slots[with_free_slots[0].row["id"]] -= 1
                return with_free_slots[0]
            if self.reactor.seconds() >= placement_request.wait_deadline:
                raise DeadlineExceededError("no replica had a free slot in time")
            await sleep(self.reactor, 0.01)

    def release(self, instance):
        self.free_slots[instance.row["id"]] += 1

    def failed(self, instance, at_once=False):
        self.failure_reports.append(instance.row["id"])

    def shed(self, _instance):
        pass

    succeeded = shed

    def record_load(self, _instance, _load):
        pass


class Router:
    def __init__(self):
        self.routes = {one.path_prefix: one for one in ROUTES}
        self.services = {"s": {}, "plain": {}, "engine": {"tokens_per_event": 20}}
        self.tenants = TenantTable(None)
        self.version, self.stale = 1, None

    def staleness(self):
        return self.stale

    def age(self):
        return 0.0

    def find(self, host, path):
        return self.routes.get(path[: path.rfind("/") + 1]) if host == HOST else None


class Turns:
    """The stores, as one table of records by turn id."""

    is_full = False

    def __init__(self):
        self.records = {}

    async def read_history(self, turn_id, _time_left):
        if turn_id not in self.records:
            raise TurnExpiredError(f"turn {turn_id} is not kept")
        chain, parent = [], turn_id
        while parent is not None:
            chain[:0] = [self.records[parent]]
            parent = chain[0].parent
        return SimpleNamespace(chain=chain)

    async def retain(self, _session, record, _recalled, _time_left, _keep_s):
        self.records[record.turn_id] = record


async def pull_nothing():
    """The gossip pull of a gateway without peers."""


class Gate:
    """One gateway on an in-memory reactor; gateways that share `keys` share the owners."""

    def __init__(self, reactor=None, keys=None, name="g", replicas=3, seed=1, turns=None):
        self.reactor = reactor or Reactor()
        self.lines, self.name = [], name
        log = EventLogger(self.lines.append)
        self.keys = keys or Keys(self.reactor)
        self.backend_room = BackendRoom(self.reactor, BACKEND_ROOM, BACKEND_ROOM, log)
        self.leaders = Owners(self.keys, self.reactor)
        self.metrics = Metrics()
        self.usage = NullUsageCounter()
        self.node = SimpleNamespace(
            reactor=self.reactor,
            log=log,
            random=random.Random(seed),
            node_id=name,
            members=SimpleNamespace(live_count=lambda kind: 1),
            gossip_client=SimpleNamespace(pull_now=pull_nothing),
            backend_room=self.backend_room,
            fair_turns=FairTurns(self.reactor),
        )
        instances = [(f"r{at}", "s") for at in range(replicas)] + [("p0", "plain"), ("e0", "engine")]
        self.balancer = Balancer(self.reactor, instances)
        self.router = Router()
        self.upstreams = Upstreams(self.reactor, None, log, self.backend_room)
        self.turns = turns or Turns()
        placement = SimpleNamespace(record_first_event=lambda *arguments: None)
        self.relay = RequestProxy(self, Dialect(), self.router, self.balancer, self.upstreams, self.turns, placement)
        self.front = Listener(self.reactor, "127.0.0.1:80", self.relay.handle, Limits, log, 100)
        self.front.listen()
        self.factory = self.reactor.listening[-1]
        self._admission_number = 0

    # --- the interface that the proxy uses ---

    def replicas_staleness(self):
        return None

    def check_settling(self):
        pass

    def background(self, coroutine):
        return spawn(coroutine, self.node.log)

    def limits(self):
        return Limits

    def admission(self):
        self._admission_number += 1
        return {
            "admission": f"{self.name}-{self._admission_number}",
            "gate": self.name,
            "number": self._admission_number,
        }

    # --- helpers for tests ---

    def client(self):
        return connect(self.factory)

    def ask(self, data):
        """A client connection that has sent these bytes."""
        client = self.client()
        client.feed(data)
        return client

    def run(self, seconds, step=0.01):
        until = self.reactor.seconds() + seconds
        while self.reactor.seconds() < until - 1e-9:
            self.reactor.advance(step)

    def replica(self):
        """The connection that was dialled last, now established."""
        return self.reactor.dialled[-1].connected()

    def host_of(self, name):
        """The host of a replica."""
        return self.balancer.instances[name].row["address"].rpartition(":")[0]

    def dialled(self):
        return len(self.reactor.dialled)


def request(kind, try_id="t1", body=b"", method=None, time_left=3000, **more):
    """The bytes of a client's request; further headers are keyword arguments, with underscores for hyphens."""
    headers = {"Host": HOST, "Try-Id": try_id, "Time-Left-Ms": time_left}
    headers |= {name.replace("_", "-"): value for name, value in more.items()}
    fields = "".join(f"{name}: {value}\r\n" for name, value in headers.items() if value is not None)
    method = method or ("GET" if kind == "safe" else "POST")
    return f"{method} /{kind}/x HTTP/1.1\r\n{fields}Content-Length: {len(body)}\r\n\r\n".encode() + body


def answer(status=200, body=b"hello", try_id="t1", stamp="st.1", **more):
    """The bytes of a replica's response."""
    headers = {"Try-Id": try_id, "Postmark": stamp, "Keep-Alive": "timeout=9", "Content-Length": len(body)}
    headers |= {name.replace("_", "-"): value for name, value in more.items()}
    fields = "".join(f"{name}: {value}\r\n" for name, value in headers.items() if value is not None)
    return f"HTTP/1.1 {status} Some\r\n{fields}\r\n".encode() + body


STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nTry-Id: t1\r\nPostmark: st.1\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
STREAM_END = b"0\r\n\r\n"


def event(number):
    raw = b"id: %d\ndata: d%d\n\n" % (number, number)
    return b"%x\r\n%b\r\n" % (len(raw), raw)


_HEADERS = re.compile(r"([^:\r\n]+): ([^\r\n]*)\r\n")


class ParsedResponse:
    """The first response in these bytes, as a client would parse it. `whole` tells whether it is complete."""

    def __init__(self, data):
        head, _, rest = data.partition(b"\r\n\r\n")
        self.status = int(head.split(b" ", 2)[1]) if head else None
        lines = (head + b"\r\n").decode("latin-1").partition("\r\n")[2]
        self.headers = {name.lower(): value for name, value in _HEADERS.findall(lines)}
        self.body, self.whole, self.rest = rest, False, b""
        if "content-length" in self.headers:
            length = int(self.headers["content-length"])
            self.body, self.rest, self.whole = rest[:length], rest[length:], len(rest) >= length
        elif "transfer-encoding" in self.headers:
            self._take_chunks(rest)

    def _take_chunks(self, rest):
        self.body = b""
        while rest:
            line, _, rest = rest.partition(b"\r\n")
            size = int(line, 16)
            if not size:
                self.whole, self.rest = True, rest[2:]
                return
            self.body, rest = self.body + rest[:size], rest[size + 2 :]

    def header(self, name):
        return self.headers.get(name.lower())
