"""Reports to the leader of replica orders how many requests of each service are active at this gateway.

Only services whose number of replicas oakramp chooses are reported; nothing is sent while there are none. Failed
reports are not retried, since the next report replaces them one second later.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from oakramp.common.errors import OakrampError
from oakramp.common.tasks import Repeater
from oakramp.control.replica_orders import ORDERS_KEY

if TYPE_CHECKING:
    from oakramp.gateway.balancer import Balancer
    from oakramp.gateway.base import GateBase
    from oakramp.gateway.routing import Router

DEMAND_REPORT_PAUSE = 1.0  # s; interval of reports; the leader drops the report of a gateway after three intervals
DEMAND_REPORT_TIME = 1.0  # s; time limit of one report; the next one is more recent anyway


class DemandReporter:
    """Invariant: `_report_number` increases with each report."""

    def __init__(self, gate: GateBase, router: Router, balancer: Balancer) -> None:
        self._node, self._leaders = gate.node, gate.leaders
        self._router, self._balancer = router, balancer
        self._report_number = 0
        self._repeater = Repeater(gate.node.reactor, DEMAND_REPORT_PAUSE, self._report, gate.node.log)

    def start(self) -> None:
        """Starts the periodic reports."""
        self._repeater.start()

    def stop(self) -> None:
        """Stops the periodic reports."""
        self._repeater.stop()

    async def _report(self) -> None:
        services = [name for name, row in self._router.services.items() if row.get("replica_range")]
        if not services:
            return
        self._report_number += 1
        demand = {service: self._balancer.take_demand(service) for service in services}
        arguments = {
            "gateway": self._node.node_id,
            "number": self._report_number,
            "active": {service: active for service, (active, _) in demand.items()},
            "refused": {service: refused for service, (_, refused) in demand.items() if refused},
        }
        try:
            await self._leaders.call(ORDERS_KEY, "demand", arguments, DEMAND_REPORT_TIME)
        except OakrampError as error:
            self._node.log.debug("demand_report_failed", reason=error.reason)
