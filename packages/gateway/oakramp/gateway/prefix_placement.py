"""A gate's part in ending mutual eviction: it counts requests by tenant, reports to the plan's owner, and follows the
plan.

Invariants: a plan is a preference for requests that have not been sent yet, and for nothing else; a plan that was
confirmed longer than PLAN_AGE ago, or that cannot be read, is ignored.
"""

import json

from oakramp.common.constants import CALL_TIME, EVICTION_ROUND, PLAN_AGE, PRESSURE_LATE
from oakramp.common.settings import eviction_mode
from oakramp.common.tasks import Repeater
from oakramp.control.prefix_placement import PLACEMENT_KEY
from oakramp.prefix_cache.counters import TenantCounters, tenant_of


class PrefixPlacement:
    def __init__(self, node, leaders, metrics, cache_tokens_of):
        """`cache_tokens_of(service)` returns the size of a replica's prefix cache in tokens, or None if unknown."""
        self._node, self._leaders, self._metrics, self._cache_tokens_of = node, leaders, metrics, cache_tokens_of
        self._counters, self._plans = {}, {}
        self._number = 0
        self._repeater = Repeater(node.reactor, EVICTION_ROUND, self.report, node.log)
        node.state_table.watch(PLACEMENT_KEY, self._on_plan_update)
        self._on_plan_update(PLACEMENT_KEY)

    def start(self):
        self._repeater.start()

    def stop(self):
        self._repeater.stop()

    @property
    def _is_off(self):
        return eviction_mode(self._node.env) == "off"

    # --- the plan ---

    def _on_plan_update(self, source):
        """Callback of the state table; a faulty plan must not stop the other updates."""
        if source != PLACEMENT_KEY:
            return
        try:
            self._plans = {
                service: {tenant: frozenset(replicas) for tenant, replicas in json.loads(value).items()}
                for service, value in self._node.state_table.values(PLACEMENT_KEY).items()
            }
        except (ValueError, TypeError, AttributeError) as error:
            self._plans = {}
            self._node.log.warning("eviction_plan_unreadable", error=repr(error))

    def planned_replica_ids(self, service, tenant):
        """The ids of the replicas that this tenant's requests should go to, or None if there is no plan."""
        planned = self._plans.get(service, {}).get(tenant)
        if planned is None or self._is_off or self._node.state_table.age(PLACEMENT_KEY) > PLAN_AGE:
            return None
        return planned

    # --- counting and reporting ---

    def record_first_event(self, service, replica_id, prefix, program, is_late):
        """Records the first event of a request with this prefix; `program` is None if it has no program."""
        cache_tokens = self._cache_tokens_of(service)
        if self._is_off or not cache_tokens:
            return
        self._counters.setdefault(service, TenantCounters()).note(prefix, program, is_late, cache_tokens)
        planned = self.planned_replica_ids(service, tenant_of(prefix))
        if planned is not None:
            self._metrics.count("eviction_placed", to="planned" if replica_id in planned else "elsewhere")

    async def report(self):
        """Reports the counters of services whose responses are late or that have a plan to the plan's owner."""
        services = {
            service: {"cache": cache_tokens} | counters.take()
            for service, counters in self._counters.items()
            if (cache_tokens := self._cache_tokens_of(service)) and self._is_under_pressure(service, counters)
        }
        self._counters = {}
        if not services or self._is_off:
            return
        self._number += 1
        await self._leaders.call(
            PLACEMENT_KEY,
            "report",
            {"gate": self._node.node_id, "number": self._number, "services": services},
            CALL_TIME,
        )

    def _is_under_pressure(self, service, counters):
        return counters.late >= PRESSURE_LATE * counters.requests or service in self._plans
