"""oakramp-gateway: a gate node."""

from oakramp.common.env import COMMON_ENV
from oakramp.gateway.gate import GateNode
from oakramp.gossip.program import run_daemon


def main():
    run_daemon(
        "oakramp-gateway",
        COMMON_ENV,
        "A gate of oakramp: takes callers' requests and carries them to replicas.",
        GateNode,
    )
