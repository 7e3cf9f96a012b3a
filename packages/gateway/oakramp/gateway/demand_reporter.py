"""Tells the leader of replica orders how many requests of each service this gateway has under way.

Only services whose number of replicas is ours to choose are told of; nothing is sent while there are none. Reports are
replaced by the next one a second later, so that none is repeated.
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

DEMAND_REPORT_PAUSE = 1.0  # s; between two reports, of which the leader forgets a gateway's after three
DEMAND_REPORT_TIME = 1.0  # s; for one report: the next one says it better


class DemandReporter:
    """Invariant: `_number` rises with each report."""

    def __init__(self, gate: GateBase, router: Router, balancer: Balancer) -> None:
        self._node, self._leaders = gate.node, gate.leaders
        self._router, self._balancer = router, balancer
        self._number = 0
        self._repeater = Repeater(gate.node.reactor, DEMAND_REPORT_PAUSE, self._report, gate.node.log)

    def start(self) -> None:
        """Starts to report."""
        self._repeater.start()

    def stop(self) -> None:
        """Reports no more."""
        self._repeater.stop()

    async def _report(self) -> None:
        services = [name for name, row in self._router.services.items() if row.get("replica_range")]
        if not services:
            return
        self._number += 1
        taken = {service: self._balancer.take_demand(service) for service in services}
        arguments = {
            "gateway": self._node.node_id,
            "number": self._number,
            "active": {service: active for service, (active, _) in taken.items()},
            "refused": {service: refused for service, (_, refused) in taken.items() if refused},
        }
        try:
            await self._leaders.call(ORDERS_KEY, "demand", arguments, DEMAND_REPORT_TIME)
        except OakrampError as error:
            self._node.log.debug("demand_report_failed", reason=error.reason)
