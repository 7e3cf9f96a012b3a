"""oakramp-control: a control node."""

from oakramp.common.settings import CONTROL_SETTINGS
from oakramp.control.control_node import ControlNode
from oakramp.gossip.daemon import run_daemon


def main():
    """Runs a control node with the settings of the command line."""
    run_daemon(
        "oakramp-control",
        CONTROL_SETTINGS,
        "A control node of oakramp: votes on control state and leads slots of it.",
        ControlNode,
    )
