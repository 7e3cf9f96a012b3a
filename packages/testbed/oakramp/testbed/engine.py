"""A stand-in of a model replica's engine: its prefix cache, its batches and its memory, on simulated time."""

from collections import Counter, OrderedDict, deque
from dataclasses import dataclass


@dataclass(frozen=True)
class Kind:
    """What an engine can do. Seconds for a token read, for a step, and for each request in it; tokens in one piece."""

    berths: int = 16
    cache_tokens: int = 60000
    read_s: float = 1 / 20000
    step_s: float = 0.012
    batch_s: float = 0.0006
    piece: int = 1024


@dataclass
class Job:
    """One request: the parts of its prompt as (id, tokens), the tokens that it puts out. Invariant: the first `have`
    parts are in the cache and held there for it, and of the next one `read` tokens have been read."""

    parts: tuple
    out: int
    on_first: object
    on_end: object
    have: int = 0
    read: int = 0
    put: int = 0
    begun: bool = False
    missed: bool = False  # one of its parts was not kept, so all after it are read too

    @property
    def is_read(self):
        return self.have == len(self.parts)

    @property
    def tokens(self):
        return sum(tokens for _, tokens in self.parts)


class Engine:
    """Invariants: `_kept` holds the parts in the order of their last use; one that a running job holds does not give
    way; kept parts, and what running jobs have read of a part or put out, never take more than `cache_tokens` in
    all."""

    def __init__(self, reactor, kind):
        self._reactor, self.kind = reactor, kind
        self._kept, self._held = OrderedDict(), Counter()
        self._waiting, self._running = deque(), []
        self._used = 0
        self._stepping = False
        self.ever = set()  # parts that were here once: who reads one of them anew reads it again
        self.tokens_read = self.tokens_again = self.put_back = 0

    def load(self):
        """(running, waiting, slots)."""
        return len(self._running), len(self._waiting), self.kind.berths

    def submit(self, job):
        """Whether it is taken in; `job.on_first()` and `job.on_end()` tell how it goes on."""
        if job.tokens + job.out > self.kind.cache_tokens:
            return False
        self._waiting.append(job)
        self._go_on()
        return True

    def _go_on(self):
        if not self._stepping and (self._running or self._waiting):
            self._stepping = True
            self._step()

    # --- memory ---

    def _make_room(self, tokens, but):
        """Room for so many more tokens: the parts longest unused give way, then the newest job but this one."""
        while self._used + tokens > self.kind.cache_tokens:
            name = next((name for name in self._kept if not self._held[name]), None)
            if name is not None:
                self._used -= self._kept.pop(name)
                continue
            newest = self._running[-1]
            self._put_back(newest)
            if newest is but:
                return False
        return True

    def _put_back(self, job):
        self._running.remove(job)
        self._let_go(job)
        job.have = job.read = job.put = 0
        job.missed = False
        self._waiting.appendleft(job)
        self.put_back += 1

    def _let_go(self, job):
        """What it held may give way from now on, its last part first."""
        for name, _ in reversed(job.parts[: job.have]):
            self._held[name] -= 1
            self._kept.move_to_end(name)
        self._used -= job.read + job.put

    def _take_kept(self, job):
        while not job.is_read and not job.missed and job.parts[job.have][0] in self._kept:
            self._held[job.parts[job.have][0]] += 1
            job.have += 1

    # --- steps ---

    def _admit(self):
        while self._waiting and len(self._running) < self.kind.berths:
            job = self._waiting.popleft()
            self._take_kept(job)
            self._running.append(job)

    def _step(self):
        self._admit()
        if not self._running:
            self._stepping = False
            return
        reader = next((job for job in self._running if not job.is_read), None)
        if reader is not None:
            self._take_kept(reader)  # another has read it meanwhile
        tokens = (
            0 if reader is None or reader.is_read else min(self.kind.piece, reader.parts[reader.have][1] - reader.read)
        )
        if tokens and not self._make_room(tokens, reader):
            tokens = 0
        self._used += tokens
        decoding = [job for job in self._running if job.is_read]
        seconds = self.kind.step_s + self.kind.batch_s * len(decoding) + self.kind.read_s * tokens
        self._reactor.callLater(seconds, self._stepped, reader, tokens, decoding)

    def _stepped(self, reader, tokens, decoding):
        if tokens:
            self._has_read(reader, tokens)
        for job in decoding:
            if job in self._running and self._make_room(1, job):
                self._used += 1
                self._put(job)
        self._step()

    def _has_read(self, job, tokens):
        name, size = job.parts[job.have]
        job.missed = True
        job.read += tokens
        self.tokens_read += tokens
        self.tokens_again += tokens if name in self.ever else 0
        if job.read < size:
            return
        if name in self._kept:
            self._used -= size  # another has read it meanwhile too
        self._kept[name] = size
        self._held[name] += 1
        self.ever.add(name)
        job.have, job.read = job.have + 1, 0

    def _put(self, job):
        job.put += 1
        if not job.begun:
            job.begun = True
            job.on_first()
        if job.put >= job.out:
            self._running.remove(job)
            self._let_go(job)
            job.on_end()
