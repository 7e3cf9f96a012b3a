"""oakgated: a gate node."""

from oakbase.env import COMMON_ENV
from oakgate.gate import GateNode
from oaknews.program import run_daemon


def main():
    run_daemon(
        "oakgated", COMMON_ENV, "A gate of oakramp: takes callers' requests and carries them to replicas.", GateNode
    )
