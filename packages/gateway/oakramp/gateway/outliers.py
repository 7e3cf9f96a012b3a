"""Replicas that fail or stall requests, as all gates together see it.

No health answer is asked for or trusted: a replica is judged by what it does for real requests. At a large fleet one
gate sends a replica too little to judge it, so each gate tells the others, beside its own row in the news, what went
wrong at whom within the last seconds. A replica is an outlier if that is a large part of what it was given, as far as a
gate can tell from its own share of the load, and far more than at its fellows: when all of them are late, it is the
load.

At most a part of a service's replicas are outliers at a time, and each is one for as long as somebody has news of its
faults: then it gets requests again like the others, a few of which would find it out.
"""

import json
from collections import deque

from oakramp.common.constants import (
    LATE_LEAST,
    LATE_POLL,
    LATE_STEP,
    LATE_TIMES,
    OUTLIER_FAULTS,
    OUTLIER_FELLOWS,
    OUTLIER_RATE,
    OUTLIER_SHARE,
    OUTLIER_TELL,
    OUTLIER_WINDOW,
)
from oakramp.gossip.gossip_client import NODE_SOURCE

FAULTS = "faults"  # the item of a gate's row in the news


class Sent:
    """A request that is at a replica and has had no answer yet."""

    __slots__ = ("instance", "at", "is_over")

    def __init__(self, instance, at):
        self.instance, self.at, self.is_over = instance, at, False


class ServiceView:
    """What this gate sees of one service. Invariants: `waiting` is in the order of sending; `usual` follows the median
    of the times to the head of an answer, which a few slow replicas don't move, None before the first; `sent` holds the
    times of the window's requests; `faults[replica]` those of this gate's faults within the window; `replicas` is how
    many there
    are."""

    def __init__(self):
        self.waiting, self.sent, self.usual = deque(), deque(), None
        self.faults, self.replicas = {}, 0

    def telling(self):
        """replica -> faults, as others should know. Where many replicas have some, it is the load, and nobody is told."""
        if len(self.faults) > max(1, self.replicas * OUTLIER_SHARE):
            return {}
        return {name: len(times) for name, times in self.faults.items()}

    def late_after(self):
        return max(LATE_LEAST, LATE_TIMES * (self.usual or 0.0))


class Outliers:
    """Invariants: `_told[source]` is what another gate's row says, replica -> faults; a look is set while any request
    has no answer or any fault is kept."""

    def __init__(self, node, log):
        self._node, self._reactor, self._log = node, node.reactor, log
        self._services, self._told = {}, {}
        self._published = {"at": float("-inf"), "counts": {}}
        self._poll_set = False
        self._said = {}
        node.state_table.watch(NODE_SOURCE, self._heard)

    # --- what this gate sees ---

    def sent(self, instance):
        """To be given back to `answered` or `ended`, whatever comes of the request."""
        now, view = self._reactor.seconds(), self._view(instance)
        one = Sent(instance, now)
        view.waiting.append(one)
        view.sent.append(now)
        self._set_poll()
        return one

    def answered(self, one):
        """The head of its answer is here."""
        if not one.is_over:
            one.is_over = True
            view, took = self._view(one.instance), self._reactor.seconds() - one.at
            view.usual = (
                took if view.usual is None else view.usual * (1 + (LATE_STEP if took > view.usual else -LATE_STEP))
            )

    @staticmethod
    def ended(one):
        one.is_over = True

    def fault(self, instance):
        """A request failed there in a way that speaks against the replica."""
        self._view(instance).faults.setdefault(instance.row["id"], []).append(self._reactor.seconds())
        self._set_poll()

    def late_after(self, service):
        """Seconds after which an answer's head is late."""
        return self._services[service].late_after() if service in self._services else LATE_LEAST

    def _view(self, instance):
        return self._services.setdefault(instance.row["pool"], ServiceView())

    def _set_poll(self):
        if not self._poll_set:
            self._poll_set = True
            self._reactor.callLater(LATE_POLL, self._poll)

    def _poll(self):
        self._poll_set, now = False, self._reactor.seconds()
        for view in self._services.values():
            late_before = now - view.late_after()
            while view.waiting and (view.waiting[0].is_over or view.waiting[0].at < late_before):
                one = view.waiting.popleft()
                if not one.is_over:
                    self.fault(one.instance)
            while view.sent and view.sent[0] < now - OUTLIER_WINDOW:
                view.sent.popleft()
            view.faults = {
                name: kept
                for name, times in view.faults.items()
                if (kept := [at for at in times if at > now - OUTLIER_WINDOW])
            }
        self._tell(now)
        if self._published["counts"] or any(
            view.waiting or view.sent or view.faults for view in self._services.values()
        ):
            self._set_poll()

    # --- what all gates see ---

    def _tell(self, now):
        counts = {name: count for view in self._services.values() for name, count in view.telling().items()}
        if counts == self._published["counts"] or now - self._published["at"] < OUTLIER_TELL:
            return
        self._published = {"at": now, "counts": counts}
        self._node.gossip_client.tell(FAULTS, json.dumps(counts).encode() if counts else None)

    def _heard(self, source):
        value = self._node.state_table.values(source).get(FAULTS)
        if value is None:
            self._told.pop(source, None)
            return
        try:
            counts = {str(name): int(count) for name, count in json.loads(value).items()}
        except (ValueError, TypeError, AttributeError) as error:
            self._log.warning("fault_report_unreadable", source=source, error=repr(error))
            return
        self._told[source] = counts

    def _counts(self, view):
        """replica -> faults in the window, of this gate and of those whose row is still confirmed."""
        counts = {name: len(times) for name, times in view.faults.items()}
        for source in list(self._told):
            if self._node.state_table.age(source) > OUTLIER_WINDOW:
                del self._told[source]  # a gate that has gone, or cannot be heard
                continue
            if source == self._node.gossip_client.source:
                continue
            for name, count in self._told[source].items():
                counts[name] = counts.get(name, 0) + count
        return counts

    def among(self, service, instances):
        """The ids of those of the service's instances that are to be left out."""
        view = self._services.setdefault(service, ServiceView())
        view.replicas = len(instances)
        if not view.faults and not self._told:
            return self._say(service, frozenset(), {})
        counts = self._counts(view)
        faults = {one.row["id"]: counts.get(one.row["id"], 0) for one in instances}
        gates = max(1, self._node.members.live_count("gate"))
        given = len(view.sent) * gates / max(1, len(instances))
        total, most = sum(faults.values()), int(len(faults) * OUTLIER_SHARE)

        def is_outlier(count):
            fellows = (total - count) / max(1, len(faults) - 1)
            return count >= OUTLIER_FAULTS and count >= OUTLIER_RATE * given and count > OUTLIER_FELLOWS * fellows

        found = sorted(
            (name for name, count in faults.items() if is_outlier(count)), key=lambda name: (-faults[name], name)
        )
        return self._say(service, frozenset(found[:most]), faults)

    def _say(self, service, found, faults):
        if found != self._said.get(service, frozenset()):
            self._said[service] = found
            self._log.info(
                "outliers_changed",
                service=service,
                replicas=",".join(sorted(found)) or "none",
                faults=",".join(str(faults[name]) for name in sorted(found)) or "none",
            )
        return found
