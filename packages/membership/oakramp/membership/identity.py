"""The identity of a node.

A node id is generated when the data folder is empty, and is on the disk before its first use; a node that has lost its
disk therefore returns under a new id. Only the founders of a cluster have ids that are not random, and only at the
first start of the whole cluster.
"""

import json

from oakramp.common.errors import StorageCorruptedError
from oakramp.storage.log_format import RING_PREFIX

IDENTITY_FILE = "identity"


def mint_node_id(machine, random):
    """A new node id: the machine's name and 128 random bits."""
    return f"{machine}.{random.getrandbits(128):032x}"


class Identity:
    """`node_id`, `cluster_id` (may be None) and addresses of control nodes, saved on the node's disk if it has one.

    Invariant: `founding` describes the cluster that this node is bootstrapping until that is complete, and is None from
    then on; while it is set, `cluster_id` is None."""

    def __init__(self, machine, random, disk=None, cluster_id=None, founding=None):
        self._disk = disk
        saved = self._read()
        self.is_new = saved is None
        if self.is_new:
            self._refuse_orphaned_ring()
        if saved is None:
            saved = {
                "nodeId": founding["nodeId"] if founding else mint_node_id(machine, random),
                "clusterId": None if founding else cluster_id,
                "addresses": [],
                "founding": founding,
            }
        self.founding = saved.get("founding")
        self.node_id, self.cluster_id, self.addresses = saved["nodeId"], saved["clusterId"], saved["addresses"]
        if self.is_new:
            self._save()

    def _read(self):
        if self._disk is None or IDENTITY_FILE not in self._disk.names():
            return None
        return json.loads(self._disk.read(IDENTITY_FILE))

    def _refuse_orphaned_ring(self):
        """Rejects a folder with ring files but no identity. The identity is written before the ring is created, so
        such a ring belongs to another node, whose id is lost."""
        if self._disk is not None and any(name.startswith(RING_PREFIX) for name in self._disk.names()):
            raise StorageCorruptedError("the identity is missing, but ring files exist")

    def _save(self):
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
        """Saves the cluster id. While it is bootstrapping a cluster, a founder joins no other one."""
        previous = self.cluster_id, self.founding
        if self.founding is not None and not founded:
            return
        self.cluster_id, self.founding = cluster_id, None
        try:
            self._save()
        except OSError:
            self.cluster_id, self.founding = previous  # retried by the next call
            raise

    def learn(self, addresses):
        """Saves addresses of nodes that have replied, so that this node finds its cluster even if all seeds in the env
        have been replaced."""
        previous = self.addresses
        if sorted(addresses) == previous:
            return
        self.addresses = sorted(addresses)
        try:
            self._save()
        except OSError:
            self.addresses = previous  # retried by the next call
            raise
