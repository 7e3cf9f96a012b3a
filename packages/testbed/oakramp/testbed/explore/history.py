"""The calls of the operators and their results: changes of the one key by compare-and-set, exact repeats, and reads."""

from dataclasses import dataclass, field

from oakramp.common.errors import ValidationFailedError, Verdict, VersionConflictError


@dataclass
class CallRecord:
    """One copy of a call, and its result or error, if it has been received."""

    begun_at: int  # step
    about: str = "roster change"
    ended_at: int | None = None
    result: object = None
    error: object = None

    def is_done(self):
        return self.ended_at is not None

    def end(self, step, result, error):
        self.ended_at, self.result, self.error = step, result, error

    def is_acknowledged(self):
        return self.is_done() and self.error is None


@dataclass
class Change:
    """A change of the configuration, with all its sent copies."""

    fingerprint: str
    base: int
    version: int
    begun_at: int
    copies: list = field(default_factory=list)

    def acknowledged_at(self):
        """The step of its first acknowledgement, or None."""
        return min((copy.ended_at for copy in self.copies if copy.is_acknowledged()), default=None)

    def is_refused(self):
        """Whether a reply said finally that the change is rejected, or the replies to all copies that they did not
        run."""
        if any(isinstance(copy.error, (VersionConflictError, ValidationFailedError)) for copy in self.copies):
            return True
        return all(copy.error is not None and copy.error.verdict is Verdict.NO for copy in self.copies)


@dataclass
class Read:
    """A read of the newest configuration."""

    call: CallRecord

    def seen(self):
        """(version, fingerprint) as read; the fingerprint is None for version 0."""
        result = self.call.result
        return result["version"], result["document"]["routes"][0]["by"] if result["version"] else None


class History:
    def __init__(self):
        self.changes, self.reads = {}, []

    def begin_change(self, fingerprint, base, version, step):
        change = self.changes[fingerprint] = Change(fingerprint, base, version, step)
        return change

    def begin_copy(self, change, step, command="put"):
        copy = CallRecord(step, f"{command} {change.fingerprint} on {change.base}")
        change.copies.append(copy)
        return copy

    def begin_read(self, step):
        self.reads.append(Read(CallRecord(step, "read")))
        return self.reads[-1].call

    def known_version(self):
        """The newest version that any operator knows of."""
        versions = [change.version for change in self.changes.values() if change.acknowledged_at() is not None]
        versions += [read.seen()[0] for read in self.reads if read.call.is_acknowledged()]
        return max(versions, default=0)
