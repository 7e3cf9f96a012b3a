"""Counters and gauges of one node, shown as text with one `name{labels} value` a line."""

from collections import Counter


class Metrics:
    """Counters and gauges by name and labels."""

    # Invariant: counters only rise; gauges are evaluated when they are shown.
    def __init__(self):
        self._counters = Counter()
        self._gauges = {}

    def count(self, name, by=1, **labels):
        """Increments a counter."""
        self._counters[self._shown_name(name, labels)] += by

    def gauge(self, name, ask, **labels):
        """Registers a gauge; `ask()` returns its value when it is shown."""
        self._gauges[self._shown_name(name, labels)] = ask

    def read(self, name, **labels):
        """The value of a counter."""
        return self._counters[self._shown_name(name, labels)]

    @staticmethod
    def _shown_name(name, labels):
        pairs = ",".join(f'{key}="{value}"' for key, value in sorted(labels.items()))
        return f"oak_{name}{{{pairs}}}" if pairs else f"oak_{name}"

    def to_text(self):
        """Returns all metrics, one line each, sorted by name."""
        shown = [*self._counters.items(), *((name, ask()) for name, ask in self._gauges.items())]
        return "".join(f"{name} {value:g}\n" for name, value in sorted(shown))


def serve_metrics(web, metrics):
    """Serves the metrics at GET /metrics of this HTTP server."""

    async def show(_call):
        return 200, metrics.to_text().encode()

    web.route("GET", "/metrics", show)
