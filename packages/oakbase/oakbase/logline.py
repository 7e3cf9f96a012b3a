"""One line of key=value pairs for each event."""

import json
import sys
from datetime import datetime, timezone

import picologging


def _shown(value):
    if isinstance(value, float):
        return f"{value:.3f}"
    text = str(value)
    return text if text and not set(text) & set(' "=\n\t') else json.dumps(text)


class LogLine:
    """Writes events of one node; `sink` is any callable taking the finished line."""

    def __init__(self, sink, **fixedPairs):
        self._sink = sink
        self._fixedPairs = fixedPairs

    def event(self, name, **pairs):
        self._sink(
            " ".join(
                f"{key}={_shown(value)}" for key, value in (("event", name), *self._fixedPairs.items(), *pairs.items())
            )
        )

    def bound(self, **morePairs):
        return LogLine(self._sink, **(self._fixedPairs | morePairs))


def stderrSink():
    """A sink that stamps each line with wall time, which is only logged and decides nothing."""
    logger = picologging.getLogger("oakramp")
    handler = picologging.StreamHandler(sys.stderr)
    handler.setFormatter(picologging.Formatter("%(message)s"))
    logger.addHandler(handler)
    logger.setLevel(picologging.INFO)

    def write(line):
        # Stamped here: picologging's own asctime came out as broken bytes.
        logger.info(f"time={datetime.now(timezone.utc).isoformat(timespec='milliseconds')} {line}")

    return write
