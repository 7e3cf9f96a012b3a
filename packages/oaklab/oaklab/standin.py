"""Stand-ins for what lies outside: replicas, plain services, the platform's list. They keep a record of all
that reached them, which the checker holds against what the callers saw."""

from collections import OrderedDict
from dataclasses import dataclass, field
from hashlib import blake2b

from oakbase.checks import packJson
from oakbase.tasks import sleep
from oakbase.web import Web


@dataclass
class Run:
    """One request as it reached a replica. `at` is the lab's own clock."""

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
        self.leavingSince = {}
        self.lookedAt = []  # when somebody was given the platform's list
        self.awaySpans = []  # [since, until) in which a majority of the core could not reach the platform

    def knownLeaving(self, replicaId):
        """When it could be known that this replica leaves: not while nobody reaches the platform, nor before that
        if nobody had looked since (an owner was just taking over)."""
        since = self.leavingSince[replicaId]
        for start, end in sorted(self.awaySpans):
            if since < end and not any(since <= at < start for at in self.lookedAt):
                since = end
        return since

    def toJson(self):
        return {"runs": [vars(run) for run in self.runs], "leavingSince": self.leavingSince}

    @classmethod
    def fromJson(cls, value):
        record = cls()
        record.runs = [Run(**row) for row in value["runs"]]
        record.leavingSince = value["leavingSince"]
        return record


BLOCK = 64  # characters; the grain of a replica's KV cache


class KvCache:
    """A bounded cache of prefixes, block by block, the least lately used going first."""

    def __init__(self, blocks):
        self._most, self._blocks = blocks, OrderedDict()

    def take(self, text):
        """How many characters of the text are not in the cache; afterwards they are."""
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
    """A model replica or plain service. `fault` names what it does wrong to the next requests, in order. A model
    replica prefills what its KV cache lacks at `prefillTime` a character, and decodes all that run in one batch: each
    piece takes `pieceTime`, and `batchCost` of that more for each other run."""

    def __init__(
        self,
        reactor,
        replicaId,
        address,
        pool,
        record,
        log,
        capacity=32,
        pieceTime=0.01,
        adapters=(),
        weights="base",
        kvBlocks=20000,
        prefillTime=0.0,
        batchCost=0.0,
    ):
        self._reactor, self.replicaId, self.address, self.pool = reactor, replicaId, address, pool
        self._record, self._capacity, self._pieceTime = record, capacity, pieceTime
        self._adapters, self._weights = list(adapters), weights
        self._prefillTime, self._batchCost, self._kv = prefillTime, batchCost, KvCache(kvBlocks)
        self.prefilled = 0
        self.running = 0
        self.peak = 0
        self.faults = []
        self.seenPrefixes = set()
        self.cacheHits = self.cacheAsks = 0
        self.web = Web(reactor, address, log, 10000)
        self.web.route("GET", "/describe", self._describe)
        self.web.route("POST", "/turn", self._turn)
        self.web.route("POST", "/call", self._call)

    async def _describe(self, _call):
        return 200, {
            "id": self.replicaId,
            "weights": self._weights,
            "adapters": self._adapters,
            "load": {"running": self.running, "capacity": self._capacity},
        }

    def _refuse(self, call):
        call.reply(503, {"verdict": "no", "reason": "full"})

    def _take(self, kind, body):
        run = Run(body["run"], self.replicaId, kind, self._reactor.seconds(), body)
        self._record.runs.append(run)
        return run

    def _countCache(self, body):
        """A prefix cache by whole turns, as the replica's KV cache would see them."""
        texts = [text for turn in body["history"] for text in (turn["input"], turn["output"])]
        self.cacheAsks += len(texts)
        prefix = ""
        for text in texts:
            prefix += "\0" + text
            self.cacheHits += prefix in self.seenPrefixes
        self.seenPrefixes.add(prefix + "\0" + body["input"])

    async def _turn(self, call):
        body = call.json()
        if self.running >= self._capacity:
            self._refuse(call)
            return
        fault = self.faults.pop(0) if self.faults else None
        if fault == "refuse":
            self._refuse(call)
            return
        run = self._take("turn", body)
        self._countCache(body)
        self.running += 1
        self.peak = max(self.peak, self.running)
        try:
            await self._stream(call, body, run, fault)
        finally:
            self.running -= 1
            whole = "".join(text for text, _ in run.pieces)
            self.seenPrefixes.add(
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
        missing = self._kv.take("".join(turn["input"] + turn["output"] for turn in body["history"]) + body["input"])
        self.prefilled += missing
        if self._prefillTime:
            await sleep(self._reactor, missing * self._prefillTime)
        for seq in range(count):
            await sleep(self._reactor, self._pieceTime * (1 + self._batchCost * (self.running - 1)))
            if call.isGone:
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
            call.request.write(b"{bad\n" if fault == "badJson" and seq == 1 else packJson(event) + b"\n")
        run.finished = True
        if fault != "noEnd":
            call.request.write(packJson({"run": run.run, "seq": count, "end": True}) + b"\n")
        call.request.finish()

    async def _call(self, call):
        body = call.json()
        fault = self.faults.pop(0) if self.faults else None
        if fault == "refuse" or self.running >= self._capacity:
            self._refuse(call)
            return
        run = self._take("plain", body)
        self.running += 1
        try:
            await sleep(self._reactor, self._pieceTime)
        finally:
            self.running -= 1
        run.answer = {"done": body["body"], "by": self.replicaId}
        run.finished = True
        if fault == "silent":
            await call.gone
            return
        if fault == "close":
            call.request.channel.loseConnection()
            return
        call.reply(200, {"run": body["run"], "answer": run.answer})


class StandinPlatform:
    """The platform's list of replicas: GET /replicas. The lab calls `leave` and `remove`."""

    def __init__(self, reactor, address, record, log):
        self._reactor, self._record, self.address = reactor, record, address
        self.rows = {}
        self.replicas = {}
        self.web = Web(reactor, address, log, 10000)
        self.web.route("GET", "/replicas", self._list)
        self.web.route("POST", "/lab/leave/{id}", self._leaveCall)
        self.web.route("POST", "/lab/fault/{id}", self._faultCall)
        self.web.route("GET", "/lab/record", self._recordCall)

    def add(self, replica):
        self.replicas[replica.replicaId] = replica
        self.rows[replica.replicaId] = {
            "id": replica.replicaId,
            "address": replica.address,
            "pool": replica.pool,
            "state": "ready",
        }

    def leave(self, replicaId):
        self.rows[replicaId] = self.rows[replicaId] | {"state": "leaving"}
        self._record.leavingSince.setdefault(replicaId, self._reactor.seconds())

    def remove(self, replicaId):
        del self.rows[replicaId]

    async def _list(self, _call):
        self._record.lookedAt.append(self._reactor.seconds())
        return 200, {"replicas": list(self.rows.values())}

    async def _leaveCall(self, call):
        self.leave(call.names["id"])
        return 200, {}

    async def _faultCall(self, call):
        self.replicas[call.names["id"]].faults += call.json()["faults"]
        return 200, {}

    async def _recordCall(self, _call):
        return 200, self._record.toJson() | {
            "cache": {
                replicaId: [replica.cacheHits, replica.cacheAsks, replica.peak]
                for replicaId, replica in self.replicas.items()
            }
        }


def buildStandins(reactor, platformAddress, rows, log, **options):
    """A platform and its replicas, listening; rows are (id, address, pool)."""
    record = Record()
    platform = StandinPlatform(reactor, platformAddress, record, log)
    for replicaId, address, pool in rows:
        replica = StandinReplica(reactor, replicaId, address, pool, record, log, **options)
        platform.add(replica)
        replica.web.listen()
    platform.web.listen()
    return platform, record
