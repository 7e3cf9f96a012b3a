"""The two ends of a turn's stream: reads a replica's run, and writes events to the caller.

Replica's lines: {"run", "seq", "text", "units"} and at the end {"run", "seq", "end": true}.
Caller's lines:  {"type": "piece"|"end"|"break", "run", "seq", ...}; after a break the body is left incomplete.
"""

import json

from oakramp.common.constants import IDLE_TIME, OUTPUT_LIMIT, OUTPUT_PIECE_COST
from oakramp.common.errors import IncompleteResponseError
from oakramp.common.tasks import within
from oakramp.common.validation import pack_json


class RunReader:
    """Reads and validates one run piece by piece.

    Invariants: `pieces` are the run's first pieces without gaps, repeats or pieces of other runs; `units` <= `reserve`;
    `ended` is true only after the run's own closing line."""

    def __init__(self, reactor, run, lines, reserve):
        self._reactor, self._run, self._lines, self._reserve = reactor, run, lines, reserve
        self.pieces = []
        self.units = 0
        self._output_size = 0
        self.ended = False

    async def next(self, ends_at):
        """The next [text, units], or None after the closing line. Raises IncompleteResponseError for anything else, and
        ResponseLimitError if there is no room for another piece."""
        time_left = min(IDLE_TIME, ends_at - self._reactor.seconds())
        line = await within(
            self._reactor, time_left, self._lines.next(), IncompleteResponseError("the replica stopped sending")
        )
        if line is None:
            if self._lines.error is not None:
                raise self._lines.error
            raise IncompleteResponseError("the replica's stream ended without its closing line")
        try:
            event = json.loads(line)
        except (ValueError, RecursionError) as error:
            raise IncompleteResponseError("the replica sent a line that is not valid JSON") from error
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
        self._output_size += len(text)
        if self.units + units > self._reserve or self._output_size > OUTPUT_LIMIT:
            raise IncompleteResponseError("the replica's output exceeds the reservation or the size limit")
        room = self._output_size + OUTPUT_PIECE_COST * (len(self.pieces) + 1)
        self._lines.holding.gather(room, is_bounded=False)
        self.units += units
        self.pieces.append([text, units])
        return [text, units]


class CallerStream:
    """Writes a turn's events to the caller.

    Invariant: only `end` completes the body; otherwise the connection is closed with the body incomplete."""

    def __init__(self, call):
        self._call, self._run = call, None
        self._seq = 0
        self.is_started = False

    def set_run(self, run):
        """Sets the run that the events come from; allowed only before the first event."""
        if self.is_started:
            raise IncompleteResponseError("events of two runs cannot be mixed in one stream")
        self._run = run

    def _write(self, event):
        if self._call.is_gone:
            return
        if not self.is_started:
            self.is_started = True
            self._call.request.setHeader(b"content-type", b"application/x-ndjson")
            self._call.request.setHeader(b"cache-control", b"no-store")
        self._call.request.write(pack_json(event | {"run": self._run, "seq": self._seq}) + b"\n")
        self._seq += 1

    def write_piece(self, text, units):
        self._write({"type": "piece", "text": text, "units": units})

    def end(self, **fields):
        self._write({"type": "end"} | fields)
        if not self._call.is_gone:
            self._call.request.finish()

    def abort(self, error):
        self._write({"type": "break"} | error.to_json())
        if not self._call.is_gone:
            self._call.request.channel.loseConnection()
