"""oakcored: a control node."""

from oakcontrol.control import ControlNode
from oakramp.common.env import CONTROL_ENV
from oakramp.gossip.program import run_daemon


def main():
    run_daemon(
        "oakcored", CONTROL_ENV, "A control node of oakramp: votes on control state and owns slots of it.", ControlNode
    )
