"""oakcored: a control node."""

from oakbase.env import CONTROL_ENV
from oakcontrol.control import ControlNode
from oaknews.program import run_daemon


def main():
    run_daemon(
        "oakcored", CONTROL_ENV, "A control node of oakramp: votes on control state and owns slots of it.", ControlNode
    )
