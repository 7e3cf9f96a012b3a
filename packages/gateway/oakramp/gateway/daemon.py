"""oakramp-gateway: a gate node."""

from oakramp.common.settings import COMMON_SETTINGS
from oakramp.gateway.gateway_node import GateNode
from oakramp.gossip.daemon import run_daemon


def main():
    run_daemon(
        "oakramp-gateway",
        COMMON_SETTINGS,
        "A gate of oakramp: accepts callers' requests and forwards them to replicas.",
        GateNode,
    )
