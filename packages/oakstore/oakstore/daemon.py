"""oakstored: a store node."""

from oakbase.env import DISK_ENV
from oaknews.program import runDaemon
from oakstore.store import StoreNode


def main():
    runDaemon("oakstored", DISK_ENV, "A store node of oakramp: keeps the history of program lines.", StoreNode)
