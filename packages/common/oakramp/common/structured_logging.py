"""Event log: one line of key=value pairs (or one JSON object) for each event, by way of the standard `logging`."""

import json
import logging
import sys
from datetime import UTC, datetime

from oakramp.common.constants import LOG_LINE_LIMIT

LOGGER_NAME = "oakramp"
LEVELS = ("info", "debug", "warning", "error")  # the first is the default
FORMATS = ("text", "json")  # the first is the default


def _shown(value):
    if isinstance(value, float):
        return f"{value:.3f}"
    text = str(value)
    return text if text and not set(text) & set(' "=\n\t') else json.dumps(text)


class EventRecord(str):
    """The text of one event (`event=NAME key=value ...`), which also carries its level and its pairs."""

    __slots__ = ("level", "pairs")

    @classmethod
    def of(cls, level, name, pairs):
        """The record of an event: its `logging` level, name and fields (a dict in the order of the line)."""
        every = {"event": name, **pairs}
        line = cls(" ".join(f"{key}={_shown(value)}" for key, value in every.items()))
        line.level, line.pairs = level, every
        return line


class EventLogger:
    """Writes events of one node; `sink` is any callable that takes the finished EventRecord."""

    def __init__(self, sink, **fixed_pairs):
        self._sink = sink
        self._fixed_pairs = fixed_pairs

    def debug(self, event, /, **fields):
        """Logs an event that only helps to follow the program step by step."""
        self._log(logging.DEBUG, event, fields)

    def info(self, event, /, **fields):
        """Logs a change of state that is part of normal work."""
        self._log(logging.INFO, event, fields)

    def warning(self, event, /, **fields):
        """Logs a fault that the program handles, but which an operator may have to look at."""
        self._log(logging.WARNING, event, fields)

    def error(self, event, /, **fields):
        """Logs a fault that the program did not expect."""
        self._log(logging.ERROR, event, fields)

    def _log(self, level, event, fields):
        self._sink(EventRecord.of(level, event, self._fixed_pairs | fields))

    def bound(self, **more_pairs):
        """Returns a logger that adds these pairs to each line."""
        return EventLogger(self._sink, **(self._fixed_pairs | more_pairs))


def _time_of(record):
    """Wall time of a record in UTC with milliseconds; it is only displayed, no decision depends on it."""
    return datetime.fromtimestamp(record.created, UTC).isoformat(timespec="milliseconds")


class TextFormatter(logging.Formatter):
    """`time=... event=... key=value`, at most LOG_LINE_LIMIT characters."""

    def format(self, record):
        """Returns one line; a truncated one ends with the number of characters cut."""
        line = f"time={_time_of(record)} {record.msg}"
        if len(line) <= LOG_LINE_LIMIT:
            return line
        return f"{line[:LOG_LINE_LIMIT]} cut={len(line) - LOG_LINE_LIMIT}"


class JsonFormatter(logging.Formatter):
    """One JSON object for each event; values are truncated if the line is longer than LOG_LINE_LIMIT."""

    def format(self, record):
        """Returns one line of JSON with `time`, `level` and the event's pairs."""
        pairs = getattr(record.msg, "pairs", {"message": str(record.msg)})
        fields = {"time": _time_of(record), "level": record.levelname.lower()}
        line = json.dumps(fields | pairs, default=str)
        if len(line) <= LOG_LINE_LIMIT:
            return line
        share = LOG_LINE_LIMIT // len(pairs)
        cut = {key: value if len(str(value)) <= share else str(value)[:share] for key, value in pairs.items()}
        return json.dumps(fields | cut | {"cut": len(line) - LOG_LINE_LIMIT}, default=str)


_FORMATTERS = {"text": TextFormatter, "json": JsonFormatter}


def set_level(level):
    """Logs events of this level (of LEVELS) and above from now on."""
    logging.getLogger(LOGGER_NAME).setLevel(level.upper())


def stderr_sink(level=LEVELS[0], line_format=FORMATS[0], stream=None):
    """A sink that writes events of this level (of LEVELS) and above to standard error, each line flushed at once.

    `line_format` is one of FORMATS. There is one handler however often this is called."""
    logger = logging.getLogger(LOGGER_NAME)
    for previous in list(logger.handlers):
        logger.removeHandler(previous)
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(_FORMATTERS[line_format]())
    logger.addHandler(handler)
    logger.propagate = False
    set_level(level)

    def write(line):
        logger.log(getattr(line, "level", logging.INFO), line)

    return write


def skip_unused_record_fields():
    """Keeps `logging` from collecting fields that no formatter here shows: the calling code, thread and process."""
    logging._srcfile = None
    logging.logThreads = False
    logging.logProcesses = False
    logging.logMultiprocessing = False
