"""Crowds at the ports on which nodes talk to each other, before a hello and after one that names no cluster."""

import threading
import unittest

from client_crowd import Crowd
from crowd_case import CROWD_ADDRESS, CrowdCase

from oakramp.common.constants import FRAME_LIMIT, WIRE_VERSION
from oakramp.rpc.codec import idl, pack
from oakramp.rpc.endpoint import LENGTH

RENEWAL = 0.5  # s; after which a crowd replaces its members that were closed
MEMBERS = 300  # connections of a crowd at each node's port


def framed(data):
    """A frame with these bytes."""
    return LENGTH.pack(len(data)) + data


HELLO = framed(pack(idl.Hello(wire_version=WIRE_VERSION, cluster_id="", node_id="stranger", kind="gate")))
LONG_FRAME = LENGTH.pack(FRAME_LIMIT) + bytes(FRAME_LIMIT - 1)


class LastingCrowd:
    """A crowd that replaces its closed members until it is stopped."""

    def __init__(self, crowds, data):
        self.crowds, self.data, self._stopped = crowds, data, threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        while not self._stopped.is_set():
            for crowd in self.crowds:
                crowd.members = [member for member in crowd.members if not member.is_closed]
                crowd.add(MEMBERS - len(crowd.members), self.data)
                crowd.send(RENEWAL)
                crowd.wait(RENEWAL / 4)

    def stop(self):
        """Closes all connections."""
        self._stopped.set()
        self._thread.join()
        for crowd in self.crowds:
            crowd.close()


class PeerPort:
    """The crowds that each node meets at its port for other nodes."""

    def test_long_frames_before_the_hello(self):
        self.attack("peer", 45, LONG_FRAME, stays_s=0.2)
        self.check()

    def test_long_frames_after_a_hello_without_a_cluster(self):
        self.attack("peer", 45, HELLO + LONG_FRAME, stays_s=0.2)
        self.check()


class GatewayPeers(PeerPort, CrowdCase):
    """The gateway's port for other nodes."""


class StorePeers(PeerPort, CrowdCase):
    """A store's port for other nodes."""

    TARGET = "store-1"


class ControlPeers(PeerPort, CrowdCase):
    """A control node's port for other nodes."""

    TARGET = "core-1"

    def _lasting(self, data):
        crowds = [
            Crowd(node.address("peer"), f"{self.fleet.net}.{CROWD_ADDRESS}", self.watch)
            for node in self.fleet.nodes.values()
            if node.role == "core"
        ]
        lasting = LastingCrowd(crowds, data)
        self.addCleanup(lasting.stop)
        return lasting

    def test_strangers_take_all_connections_before_the_hello(self):
        """A gateway that starts beside them still reaches the control nodes."""
        self._lasting(b"")
        self.fleet.restart(self.fleet.nodes["gate-1"])
        self.check()

    def test_strangers_take_all_connections_after_a_hello(self):
        self._lasting(HELLO)
        self.fleet.restart(self.fleet.nodes["gate-1"])
        self.check()


if __name__ == "__main__":
    unittest.main()
