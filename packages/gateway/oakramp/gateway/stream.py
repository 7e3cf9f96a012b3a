"""The two ends of a turn's stream: reading a replica's run, and writing events to the caller.

Replica's lines: {"run", "seq", "text", "units"} and at the end {"run", "seq", "end": true}.
Caller's lines:  {"type": "piece"|"end"|"break", "run", "seq", ...}; a break leaves the body unfinished.
"""

import json

from oakramp.common.constants import IDLE_TIME, OUTPUT_LIMIT
from oakramp.common.errors import IncompleteResponseError
from oakramp.common.tasks import within
from oakramp.common.validation import pack_json


class RunReader:
    """Checks one run piece by piece. Invariants: `pieces` are the run's first pieces with no gap, repeat or
    foreign piece; `units` <= `reserve`; `ended` only after the run's own closing line."""

    def __init__(self, reactor, run, lines, reserve):
        self._reactor, self._run, self._lines, self._reserve = reactor, run, lines, reserve
        self.pieces = []
        self.units = 0
        self._size = 0
        self.ended = False

    async def next(self, ends_at):
        """The next [text, units], or None after the closing line. Broken for anything else."""
        time_left = min(IDLE_TIME, ends_at - self._reactor.seconds())
        line = await within(
            self._reactor, time_left, self._lines.next(), IncompleteResponseError("the replica fell silent")
        )
        if line is None:
            raise IncompleteResponseError("the replica's stream ended without its closing line")
        try:
            event = json.loads(line)
        except ValueError as error:
            raise IncompleteResponseError("the replica sent what is no JSON") from error
        if not isinstance(event, dict) or event.get("run") != self._run:
            raise IncompleteResponseError("the replica sent a piece of another run")
        if type(event.get("seq")) is not int or event["seq"] != len(self.pieces):
            raise IncompleteResponseError(f"the replica sent piece {event.get('seq')}, not {len(self.pieces)}")
        if event.get("end") is True:
            self.ended = True
            return None
        text, units = event.get("text"), event.get("units")
        if not isinstance(text, str) or type(units) is not int or units < 1:
            raise IncompleteResponseError("the replica sent a piece without text and units")
        self._size += len(text)
        if self.units + units > self._reserve or self._size > OUTPUT_LIMIT:
            raise IncompleteResponseError("the replica put out more than was reserved")
        self.units += units
        self.pieces.append([text, units])
        return [text, units]


class CallerStream:
    """Invariant: the body is finished only by `end`; anything else leaves it open-ended and closed."""

    def __init__(self, call):
        self._call, self._run = call, None
        self._seq = 0
        self.begun = False

    def use_run(self, run):
        """Which run the events come from; only before the first of them."""
        if self.begun:
            raise IncompleteResponseError("two runs cannot be joined")
        self._run = run

    def _write(self, event):
        if self._call.is_gone:
            return
        if not self.begun:
            self.begun = True
            self._call.request.setHeader(b"content-type", b"application/x-ndjson")
            self._call.request.setHeader(b"cache-control", b"no-store")
        self._call.request.write(pack_json(event | {"run": self._run, "seq": self._seq}) + b"\n")
        self._seq += 1

    def piece(self, text, units):
        self._write({"type": "piece", "text": text, "units": units})

    def end(self, **fields):
        self._write({"type": "end"} | fields)
        if not self._call.is_gone:
            self._call.request.finish()

    def break_off(self, error):
        self._write({"type": "break"} | error.to_json())
        if not self._call.is_gone:
            self._call.request.channel.loseConnection()
