"""oakramp-store: a store node."""

from oakramp.common.settings import DISK_SETTINGS
from oakramp.gossip.daemon import run_daemon
from oakramp.store.store_node import StoreNode


def main():
    """Runs a store with the settings of the command line."""
    run_daemon(
        "oakramp-store", DISK_SETTINGS, "A store node of oakramp: keeps the history of program lines.", StoreNode
    )
