"""Who a node is. A node id is minted when a data folder is empty and is on the disk before its first use;
a node that lost its disk therefore comes back as somebody else. Only founders have ids that are not random, and
only on the first start of a whole cluster."""

import json

from oakramp.common.errors import StorageCorruptedError
from oakramp.storage.log_format import RING_PREFIX

IDENTITY_FILE = "identity"


def mint_node_id(machine, random):
    """A new node id: the machine's name and 128 random bits."""
    return f"{machine}.{random.getrandbits(128):032x}"


class Identity:
    """`nodeId`, `clusterId` (may be None) and learnt addresses, kept on the node's disk if it has one.

    Invariant: `founding` is what this node founds as long as that is not finished, and None ever after; while it is
    set, `clusterId` is None."""

    def __init__(self, machine, random, disk=None, cluster_id=None, founding=None):
        self._disk = disk
        kept = self._read()
        self.is_new = kept is None
        if self.is_new:
            self._refuse_orphaned_ring()
        if kept is None:
            kept = {
                "nodeId": founding["nodeId"] if founding else mint_node_id(machine, random),
                "clusterId": None if founding else cluster_id,
                "addresses": [],
                "founding": founding,
            }
        self.founding = kept.get("founding")
        self.node_id, self.cluster_id, self.addresses = kept["nodeId"], kept["clusterId"], kept["addresses"]
        if self.is_new:
            self._keep()

    def _read(self):
        if self._disk is None or IDENTITY_FILE not in self._disk.names():
            return None
        return json.loads(self._disk.read(IDENTITY_FILE))

    def _refuse_orphaned_ring(self):
        """The identity is on the disk before a ring is made, so a ring without one is another node's, whose name is
        lost."""
        if self._disk is not None and any(name.startswith(RING_PREFIX) for name in self._disk.names()):
            raise StorageCorruptedError("the identity is missing, though a ring is there")

    def _keep(self):
        if self._disk is not None:
            self._disk.replace(
                IDENTITY_FILE,
                json.dumps(
                    {
                        "nodeId": self.node_id,
                        "clusterId": self.cluster_id,
                        "addresses": self.addresses,
                        "founding": self.founding,
                    }
                ).encode(),
            )

    def join_cluster(self, cluster_id, founded=False):
        """A founder joins nothing but what it has founded."""
        previous = self.cluster_id, self.founding
        if self.founding is not None and not founded:
            return
        self.cluster_id, self.founding = cluster_id, None
        try:
            self._keep()
        except OSError:
            self.cluster_id, self.founding = previous  # tried again
            raise

    def learn(self, addresses):
        """Addresses that answered, so that the seeds in the env may all be swapped one day."""
        previous = self.addresses
        if sorted(addresses) == previous:
            return
        self.addresses = sorted(addresses)
        try:
            self._keep()
        except OSError:
            self.addresses = previous  # tried again at the next call
            raise
