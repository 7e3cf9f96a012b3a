"""oakgated: a gate node."""

from oakgate.gate import GateNode
from oaknews.program import run_daemon
from oakramp.common.env import COMMON_ENV


def main():
    run_daemon(
        "oakgated", COMMON_ENV, "A gate of oakramp: takes callers' requests and carries them to replicas.", GateNode
    )
