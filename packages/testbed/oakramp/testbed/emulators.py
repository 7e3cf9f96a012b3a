"""Emulators of the external systems: model replicas, plain services, and the platform's replica list. They record all
requests that reach them, which the checker compares with what the clients observed."""

from collections import OrderedDict
from dataclasses import dataclass, field
from hashlib import blake2b

from oakramp.common.http_server import HttpServer
from oakramp.common.tasks import sleep
from oakramp.common.validation import pack_json


@dataclass
class Run:
    """One request as it reached a replica. `at` is by the clock of the testbed."""

    run: str
    replica: str
    kind: str
    at: float
    body: dict
    pieces: list = field(default_factory=list)
    answer: dict | None = None
    finished: bool = False


class Record:
    def __init__(self):
        self.runs = []
        self.leaving_since = {}
        self.polled_at = []  # times at which the platform's list was fetched
        self.platform_outages = []  # (since, until) with a majority of the control nodes cut off from the platform

    def leaving_known_since(self, replica_id):
        """The earliest time at which the fleet could know that this replica is leaving. It is not within an outage of
        the platform, and it is the end of the outage if the list was not fetched between the replica's mark and the
        outage (a new leader was just taking over)."""
        since = self.leaving_since[replica_id]
        for start, end in sorted(self.platform_outages):
            if since < end and not any(since <= at < start for at in self.polled_at):
                since = end
        return since

    def to_json(self):
        return {"runs": [vars(run) for run in self.runs], "leavingSince": self.leaving_since}

    @classmethod
    def from_json(cls, value):
        record = cls()
        record.runs = [Run(**row) for row in value["runs"]]
        record.leaving_since = value["leavingSince"]
        return record


BLOCK = 64  # characters; block size of a replica's KV cache


class KvCache:
    """A bounded cache of prefixes, in blocks, with LRU eviction."""

    def __init__(self, blocks):
        self._most, self._blocks = blocks, OrderedDict()

    def add(self, text):
        """Adds the text to the cache; returns how many of its characters were missing."""
        missing, digest = 0, blake2b(digest_size=8)
        for start in range(0, len(text), BLOCK):
            digest.update(text[start : start + BLOCK].encode())
            name = digest.digest()
            missing += BLOCK if name not in self._blocks else 0
            self._blocks[name] = None
            self._blocks.move_to_end(name)
        while len(self._blocks) > self._most:
            self._blocks.popitem(last=False)
        return missing


class StandinReplica:
    """A model replica or plain service. `faults` are injected into the next requests, one each, in order. A model
    replica prefills the characters that its KV cache lacks, `prefill_time` each, and decodes all running requests in
    one batch: each piece takes `piece_time`, and `batch_cost` times that more for each other running request."""

    def __init__(
        self,
        reactor,
        replica_id,
        address,
        pool,
        record,
        log,
        capacity=32,
        piece_time=0.01,
        adapters=(),
        weights="base",
        kv_blocks=20000,
        prefill_time=0.0,
        batch_cost=0.0,
    ):
        self._reactor, self.replica_id, self.address, self.pool = reactor, replica_id, address, pool
        self._record, self._capacity, self._piece_time = record, capacity, piece_time
        self._adapters, self._weights = list(adapters), weights
        self._prefill_time, self._batch_cost, self._kv = prefill_time, batch_cost, KvCache(kv_blocks)
        self.prefilled = 0
        self.running = 0
        self.peak = 0
        self.faults = []
        self.seen_prefixes = set()
        self.cache_hits = self.cache_lookups = 0
        self.web = HttpServer(reactor, address, log, 10000)
        self.web.route("GET", "/describe", self._describe)
        self.web.route("POST", "/turn", self._turn)
        self.web.route("POST", "/call", self._call)

    async def _describe(self, _call):
        return 200, {
            "id": self.replica_id,
            "weights": self._weights,
            "adapters": self._adapters,
            "load": {"running": self.running, "capacity": self._capacity},
        }

    def _refuse(self, call):
        call.reply(503, {"verdict": "no", "reason": "full"})

    def _record_run(self, kind, body):
        run = Run(body["run"], self.replica_id, kind, self._reactor.seconds(), body)
        self._record.runs.append(run)
        return run

    def _count_cache(self, body):
        """Counts the hits of a prefix cache of whole turns, as the replica's KV cache would have them."""
        texts = [text for turn in body["history"] for text in (turn["input"], turn["output"])]
        self.cache_lookups += len(texts)
        prefix = ""
        for text in texts:
            prefix += "\0" + text
            self.cache_hits += prefix in self.seen_prefixes
        self.seen_prefixes.add(prefix + "\0" + body["input"])

    async def _turn(self, call):
        body = call.json()
        if self.running >= self._capacity:
            self._refuse(call)
            return
        fault = self.faults.pop(0) if self.faults else None
        if fault == "refuse":
            self._refuse(call)
            return
        run = self._record_run("turn", body)
        self._count_cache(body)
        self.running += 1
        self.peak = max(self.peak, self.running)
        try:
            await self._stream(call, body, run, fault)
        finally:
            self.running -= 1
            whole = "".join(text for text, _ in run.pieces)
            self.seen_prefixes.add(
                "".join("\0" + text for turn in body["history"] for text in (turn["input"], turn["output"]))
                + "\0"
                + body["input"]
                + "\0"
                + whole
            )

    async def _stream(self, call, body, run, fault):
        call.request.setHeader(b"content-type", b"application/x-ndjson")
        if fault == "silent":
            await call.gone
            return
        count = min(body["maxOutput"], 3 + len(body["input"]) % 4)
        if fault == "tooMuch":
            count = body["maxOutput"] + 1
        missing = self._kv.add("".join(turn["input"] + turn["output"] for turn in body["history"]) + body["input"])
        self.prefilled += missing
        if self._prefill_time:
            await sleep(self._reactor, missing * self._prefill_time)
        for seq in range(count):
            await sleep(self._reactor, self._piece_time * (1 + self._batch_cost * (self.running - 1)))
            if call.is_gone:
                return
            text = f"{run.run[:6]}.{seq} "
            event = {"run": run.run, "seq": seq, "text": text, "units": 1}
            if fault == "gap" and seq == 1:
                event["seq"] = 2
            if fault == "repeat" and seq == 1:
                event["seq"] = 0
            if fault == "otherRun" and seq == 1:
                event["run"] = "0" * 32
            if fault == "close" and seq == 1:
                call.request.channel.loseConnection()
                return
            run.pieces.append([text, 1])
            call.request.write(b"{bad\n" if fault == "badJson" and seq == 1 else pack_json(event) + b"\n")
        run.finished = True
        if fault != "noEnd":
            call.request.write(pack_json({"run": run.run, "seq": count, "end": True}) + b"\n")
        call.request.finish()

    async def _call(self, call):
        body = call.json()
        fault = self.faults.pop(0) if self.faults else None
        if fault == "refuse" or self.running >= self._capacity:
            self._refuse(call)
            return
        run = self._record_run("plain", body)
        self.running += 1
        try:
            await sleep(self._reactor, self._piece_time)
        finally:
            self.running -= 1
        run.answer = {"done": body["body"], "by": self.replica_id}
        run.finished = True
        if fault == "silent":
            await call.gone
            return
        if fault == "close":
            call.request.channel.loseConnection()
            return
        call.reply(200, {"run": body["run"], "answer": run.answer})


class StandinPlatform:
    """The platform's list of replicas: GET /replicas. The testbed calls `leave` and `remove`."""

    def __init__(self, reactor, address, record, log):
        self._reactor, self._record, self.address = reactor, record, address
        self.rows = {}
        self.replicas = {}
        self.web = HttpServer(reactor, address, log, 10000)
        self.web.route("GET", "/replicas", self._list)
        self.web.route("POST", "/lab/leave/{id}", self._leave_call)
        self.web.route("POST", "/lab/fault/{id}", self._fault_call)
        self.web.route("GET", "/lab/record", self._record_call)

    def add(self, replica):
        self.replicas[replica.replica_id] = replica
        self.rows[replica.replica_id] = {
            "id": replica.replica_id,
            "address": replica.address,
            "pool": replica.pool,
            "state": "ready",
        }

    def leave(self, replica_id):
        self.rows[replica_id] = self.rows[replica_id] | {"state": "leaving"}
        self._record.leaving_since.setdefault(replica_id, self._reactor.seconds())

    def remove(self, replica_id):
        del self.rows[replica_id]

    async def _list(self, _call):
        self._record.polled_at.append(self._reactor.seconds())
        return 200, {"replicas": list(self.rows.values())}

    async def _leave_call(self, call):
        self.leave(call.names["id"])
        return 200, {}

    async def _fault_call(self, call):
        self.replicas[call.names["id"]].faults += call.json()["faults"]
        return 200, {}

    async def _record_call(self, _call):
        return 200, self._record.to_json() | {
            "cache": {
                replica_id: [replica.cache_hits, replica.cache_lookups, replica.peak]
                for replica_id, replica in self.replicas.items()
            }
        }


def build_standins(reactor, platform_address, rows, log, **options):
    """Starts a platform and its replicas listening; rows are (id, address, pool)."""
    record = Record()
    platform = StandinPlatform(reactor, platform_address, record, log)
    for replica_id, address, pool in rows:
        replica = StandinReplica(reactor, replica_id, address, pool, record, log, **options)
        platform.add(replica)
        replica.web.listen()
    platform.web.listen()
    return platform, record
