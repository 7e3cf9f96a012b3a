"""oakramp-store: a store node."""

from oakramp.common.settings import DISK_SETTINGS
from oakramp.gossip.daemon import run_daemon
from oakramp.store.store_node import StoreNode


def main():
    """Runs a store node with the settings given on the command line."""
    run_daemon(
        "oakramp-store", DISK_SETTINGS, "A store node of oakramp: stores the turn history of conversations.", StoreNode
    )
