"""Outlier detection: finds replicas that fail or stall requests, from the observations of all gates.

Health checks are neither sent nor trusted: a replica is judged by how it serves real requests. In a large fleet one
gate sends a replica too few requests to judge it, so each gate gossips, beside its own row, the number of faults per
replica within the last seconds. A replica is an outlier if its faults are a large part of the requests that it was sent
(which a gate estimates from its own share of the load) and far more than those of the service's other replicas: when
all replicas are late, the cause is the load.

At most a share of a service's replicas are outliers at a time. A replica remains one as long as any gate reports its
faults; after that it gets requests like the others, a few of which suffice to detect it again.
"""

import json
from collections import deque

from oakramp.common.constants import (
    LATE_FACTOR,
    LATE_MIN,
    LATE_POLL,
    LATE_STEP,
    OUTLIER_FAULTS,
    OUTLIER_MEAN_FACTOR,
    OUTLIER_RATE,
    OUTLIER_REPORT_PAUSE,
    OUTLIER_SHARE,
    OUTLIER_WINDOW,
)
from oakramp.gossip.gossip_client import NODE_SOURCE

FAULTS = "faults"  # name of the item in a gate's gossiped state


class PendingRequest:
    """A request that was sent to a replica and has not been answered yet."""

    __slots__ = ("instance", "sent_at", "is_done")

    def __init__(self, instance, sent_at):
        self.instance, self.sent_at, self.is_done = instance, sent_at, False


class ServiceStats:
    """This gate's observations of one service.

    Invariants: `pending` is in the order of sending; `typical_latency` follows the median time to the response head,
    which a few slow replicas do not move, and is None before the first response; `sent_times` holds the times of the
    window's requests; `faults[replica]` the times of this gate's faults within the window; `replica_count` is the
    number of replicas."""

    def __init__(self):
        self.pending, self.sent_times, self.typical_latency = deque(), deque(), None
        self.faults, self.replica_count = {}, 0

    def faults_to_publish(self):
        """replica -> faults for other gates. If many replicas have faults, the load is the cause: nothing is
        published."""
        if len(self.faults) > max(1, self.replica_count * OUTLIER_SHARE):
            return {}
        return {name: len(times) for name, times in self.faults.items()}

    def late_threshold(self):
        return max(LATE_MIN, LATE_FACTOR * (self.typical_latency or 0.0))


class Outliers:
    """Detects the outliers among the replicas of each service.

    Invariants: `_peer_faults[source]` is what another gate reports, replica -> faults; a poll is scheduled while any
    request is unanswered or any fault is kept."""

    def __init__(self, node, log):
        self._node, self._reactor, self._log = node, node.reactor, log
        self._services, self._peer_faults = {}, {}
        self._published = {"at": float("-inf"), "counts": {}}
        self._is_poll_scheduled = False
        self._logged_outliers = {}
        node.state_table.watch(NODE_SOURCE, self._on_peer_update)

    # --- observations of this gate ---

    def request_sent(self, instance):
        """Starts to track a request. The result must be passed to `response_started` or `request_ended`, whatever the
        outcome."""
        now, stats = self._reactor.seconds(), self._stats_of(instance)
        pending = PendingRequest(instance, now)
        stats.pending.append(pending)
        stats.sent_times.append(now)
        self._schedule_poll()
        return pending

    def response_started(self, pending):
        """Records that the response head has arrived."""
        if not pending.is_done:
            pending.is_done = True
            stats, latency = self._stats_of(pending.instance), self._reactor.seconds() - pending.sent_at
            stats.typical_latency = (
                latency
                if stats.typical_latency is None
                else stats.typical_latency * (1 + (LATE_STEP if latency > stats.typical_latency else -LATE_STEP))
            )

    @staticmethod
    def request_ended(pending):
        pending.is_done = True

    def record_fault(self, instance):
        """Records a failure for which the replica is to blame."""
        self._stats_of(instance).faults.setdefault(instance.row["id"], []).append(self._reactor.seconds())
        self._schedule_poll()

    def late_threshold(self, service):
        """Seconds after which a missing response head counts as late."""
        return self._services[service].late_threshold() if service in self._services else LATE_MIN

    def _stats_of(self, instance):
        return self._services.setdefault(instance.row["pool"], ServiceStats())

    def _schedule_poll(self):
        if not self._is_poll_scheduled:
            self._is_poll_scheduled = True
            self._reactor.callLater(LATE_POLL, self._poll)

    def _poll(self):
        self._is_poll_scheduled, now = False, self._reactor.seconds()
        for stats in self._services.values():
            late_before = now - stats.late_threshold()
            while stats.pending and (stats.pending[0].is_done or stats.pending[0].sent_at < late_before):
                pending = stats.pending.popleft()
                if not pending.is_done:
                    self.record_fault(pending.instance)
            while stats.sent_times and stats.sent_times[0] < now - OUTLIER_WINDOW:
                stats.sent_times.popleft()
            stats.faults = {
                name: kept
                for name, times in stats.faults.items()
                if (kept := [at for at in times if at > now - OUTLIER_WINDOW])
            }
        self._publish_faults(now)
        if self._published["counts"] or any(
            stats.pending or stats.sent_times or stats.faults for stats in self._services.values()
        ):
            self._schedule_poll()

    # --- observations of all gates ---

    def _publish_faults(self, now):
        counts = {name: count for stats in self._services.values() for name, count in stats.faults_to_publish().items()}
        if counts == self._published["counts"] or now - self._published["at"] < OUTLIER_REPORT_PAUSE:
            return
        self._published = {"at": now, "counts": counts}
        self._node.gossip_client.publish_item(FAULTS, json.dumps(counts).encode() if counts else None)

    def _on_peer_update(self, source):
        value = self._node.state_table.values(source).get(FAULTS)
        if value is None:
            self._peer_faults.pop(source, None)
            return
        try:
            counts = {str(name): int(count) for name, count in json.loads(value).items()}
        except (ValueError, TypeError, AttributeError) as error:
            self._log.warning("fault_report_unreadable", source=source, error=repr(error))
            return
        self._peer_faults[source] = counts

    def _counts(self, stats):
        """replica -> faults in the window, of this gate and of the gates whose state was confirmed within the
        window."""
        counts = {name: len(times) for name, times in stats.faults.items()}
        for source in list(self._peer_faults):
            if self._node.state_table.age(source) > OUTLIER_WINDOW:
                del self._peer_faults[source]  # the gate has stopped or is unreachable
                continue
            if source == self._node.gossip_client.source:
                continue
            for name, count in self._peer_faults[source].items():
                counts[name] = counts.get(name, 0) + count
        return counts

    def outlier_ids(self, service, instances):
        """The ids of the service's instances that should not be sent requests."""
        stats = self._services.setdefault(service, ServiceStats())
        stats.replica_count = len(instances)
        if not stats.faults and not self._peer_faults:
            return self._log_changes(service, frozenset(), {})
        counts = self._counts(stats)
        faults = {one.row["id"]: counts.get(one.row["id"], 0) for one in instances}
        gates = max(1, self._node.members.live_count("gate"))
        expected_requests = len(stats.sent_times) * gates / max(1, len(instances))
        total, max_outliers = sum(faults.values()), int(len(faults) * OUTLIER_SHARE)

        def is_outlier(count):
            mean_of_others = (total - count) / max(1, len(faults) - 1)
            return (
                count >= OUTLIER_FAULTS
                and count >= OUTLIER_RATE * expected_requests
                and count > OUTLIER_MEAN_FACTOR * mean_of_others
            )

        found = sorted(
            (name for name, count in faults.items() if is_outlier(count)), key=lambda name: (-faults[name], name)
        )
        return self._log_changes(service, frozenset(found[:max_outliers]), faults)

    def _log_changes(self, service, found, faults):
        if found != self._logged_outliers.get(service, frozenset()):
            self._logged_outliers[service] = found
            self._log.info(
                "outliers_changed",
                service=service,
                replicas=",".join(sorted(found)) or "none",
                faults=",".join(str(faults[name]) for name in sorted(found)) or "none",
            )
        return found


class RequestObservation:
    """Reports one request to the detection of outliers, from the moment from which its replica is to be judged."""

    def __init__(self, outliers, instance):
        self._outliers, self._instance = outliers, instance
        self._pending = None

    def start(self):
        """Starts to count the time until the response, unless that has begun."""
        if self._pending is None:
            self._pending = self._outliers.request_sent(self._instance)

    def response_started(self):
        """Records that the response head has arrived."""
        self._outliers.response_started(self._pending)

    def end(self):
        """Ends the observation, whatever the outcome."""
        if self._pending is not None:
            self._outliers.request_ended(self._pending)
