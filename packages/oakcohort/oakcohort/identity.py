"""Who a node is. A node id is minted when a data folder is empty and is on the disk before its first use;
a node that lost its disk therefore comes back as somebody else."""
import json

IDENTITY_FILE = "identity"


def mintNodeId(machine, random):
    return f"{machine}.{random.getrandbits(128):032x}"


class Identity:
    """`nodeId`, `clusterId` (may be None) and learnt addresses, kept on the node's disk if it has one."""

    def __init__(self, machine, random, disk=None, clusterId=None):
        self._disk = disk
        kept = self._read()
        if kept is None:
            kept = {"nodeId": mintNodeId(machine, random), "clusterId": clusterId, "addresses": []}
        self.isNew = not (disk and IDENTITY_FILE in disk.names())
        self.nodeId, self.clusterId, self.addresses = kept["nodeId"], kept["clusterId"], kept["addresses"]
        if self.isNew:
            self._keep()

    def _read(self):
        if self._disk is None or IDENTITY_FILE not in self._disk.names():
            return None
        return json.loads(self._disk.read(IDENTITY_FILE))

    def _keep(self):
        if self._disk is not None:
            self._disk.replace(IDENTITY_FILE, json.dumps({
                "nodeId": self.nodeId, "clusterId": self.clusterId, "addresses": self.addresses}).encode())

    def joinCluster(self, clusterId):
        self.clusterId = clusterId
        self._keep()

    def learn(self, addresses):
        """Addresses that answered, so that the seeds in the env may all be swapped one day."""
        former = self.addresses
        if sorted(addresses) == former:
            return
        self.addresses = sorted(addresses)
        try:
            self._keep()
        except OSError:
            self.addresses = former  # tried again at the next call
            raise
