"""oakgated: a gate node."""

from oakbase.env import COMMON_ENV
from oakgate.gate import GateNode
from oaknews.program import runDaemon


def main():
    runDaemon(
        "oakgated", COMMON_ENV, "A gate of oakramp: takes callers' requests and carries them to replicas.", GateNode
    )
