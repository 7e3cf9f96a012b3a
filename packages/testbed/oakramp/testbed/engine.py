"""A model of an inference engine of a replica: its prefix cache, its batches and its memory, on simulated time."""

from collections import Counter, OrderedDict, deque
from dataclasses import dataclass


@dataclass(frozen=True)
class Kind:
    """The capacity of an engine: concurrent requests (`berths`), cache size, seconds for a prefilled token, for a step
    and for each request in the step, and the tokens prefilled in one step (`piece`)."""

    berths: int = 16
    cache_tokens: int = 60000
    read_s: float = 1 / 20000
    step_s: float = 0.012
    batch_s: float = 0.0006
    piece: int = 1024


@dataclass
class Job:
    """One request: the parts of its prompt as (id, tokens), and its output tokens. Invariant: the first `have` parts
    are in the cache and pinned there for it, and of the next part `read` tokens have been prefilled."""

    parts: tuple
    out: int
    on_first: object
    on_end: object
    have: int = 0
    read: int = 0
    put: int = 0
    begun: bool = False
    missed: bool = False  # one of its parts was not cached, so all later parts are prefilled too

    @property
    def is_read(self):
        return self.have == len(self.parts)

    @property
    def tokens(self):
        return sum(tokens for _, tokens in self.parts)


class Engine:
    """Invariants: `_cached` holds the parts in the order of their last use; a part that a running job has pinned is not
    evicted; the cached parts, the partly prefilled parts and the output of running jobs never take more than
    `cache_tokens` in all."""

    def __init__(self, reactor, kind):
        self._reactor, self.kind = reactor, kind
        self._cached, self._pinned = OrderedDict(), Counter()
        self._waiting, self._running = deque(), []
        self._used = 0
        self._stepping = False
        self.ever = set()  # parts that were cached once: prefilling one of them is repeated work
        self.tokens_read = self.tokens_again = self.preemptions = 0

    def load(self):
        """(running, waiting, slots)."""
        return len(self._running), len(self._waiting), self.kind.berths

    def submit(self, job):
        """Whether the job is accepted; its progress is reported by `job.on_first()` and `job.on_end()`."""
        if job.tokens + job.out > self.kind.cache_tokens:
            return False
        self._waiting.append(job)
        self._start_steps()
        return True

    def _start_steps(self):
        if not self._stepping and (self._running or self._waiting):
            self._stepping = True
            self._step()

    # --- memory ---

    def _make_room(self, tokens, but):
        """Frees memory for so many more tokens: evicts the least recently used parts, then preempts the newest jobs.
        False if that is `but`, the job that needs the memory."""
        while self._used + tokens > self.kind.cache_tokens:
            name = next((name for name in self._cached if not self._pinned[name]), None)
            if name is not None:
                self._used -= self._cached.pop(name)
                continue
            newest = self._running[-1]
            self._preempt(newest)
            if newest is but:
                return False
        return True

    def _preempt(self, job):
        self._running.remove(job)
        self._unpin(job)
        job.have = job.read = job.put = 0
        job.missed = False
        self._waiting.appendleft(job)
        self.preemptions += 1

    def _unpin(self, job):
        """Unpins the job's parts, which may be evicted from now on, its last part first."""
        for name, _ in reversed(job.parts[: job.have]):
            self._pinned[name] -= 1
            self._cached.move_to_end(name)
        self._used -= job.read + job.put

    def _pin_cached(self, job):
        while not job.is_read and not job.missed and job.parts[job.have][0] in self._cached:
            self._pinned[job.parts[job.have][0]] += 1
            job.have += 1

    # --- steps ---

    def _admit(self):
        while self._waiting and len(self._running) < self.kind.berths:
            job = self._waiting.popleft()
            self._pin_cached(job)
            self._running.append(job)

    def _step(self):
        self._admit()
        if not self._running:
            self._stepping = False
            return
        reader = next((job for job in self._running if not job.is_read), None)
        if reader is not None:
            self._pin_cached(reader)  # another job has prefilled it meanwhile
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
            self._add_prefilled(reader, tokens)
        for job in decoding:
            if job in self._running and self._make_room(1, job):
                self._used += 1
                self._add_output(job)
        self._step()

    def _add_prefilled(self, job, tokens):
        name, size = job.parts[job.have]
        job.missed = True
        job.read += tokens
        self.tokens_read += tokens
        self.tokens_again += tokens if name in self.ever else 0
        if job.read < size:
            return
        if name in self._cached:
            self._used -= size  # another job has prefilled it meanwhile too
        self._cached[name] = size
        self._pinned[name] += 1
        self.ever.add(name)
        job.have, job.read = job.have + 1, 0

    def _add_output(self, job):
        job.put += 1
        if not job.begun:
            job.begun = True
            job.on_first()
        if job.put >= job.out:
            self._running.remove(job)
            self._unpin(job)
            job.on_end()
