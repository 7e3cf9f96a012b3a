"""What every daemon is made of: identity, peer connections, members and news. The programs and the
simulator compose their nodes from here."""
from oakbase.logline import LogLine
from oakcohort.identity import Identity
from oakcohort.members import Member, Members
from oaknews.board import Board
from oaknews.puller import Puller
from oakwire.net import Net

RELEASE = "0.1.0"


class Node:
    def __init__(self, reactor, kind, env, random, sink, disk=None):
        self.reactor, self.kind, self.env, self.random, self.disk = reactor, kind, env, random, disk
        self.identity = Identity(env["machine"], random, disk, env.get("clusterId"))
        self.nodeId = self.identity.nodeId
        self.log = LogLine(sink, node=env["machine"], kind=kind)
        self.net = Net(reactor, self.nodeId, kind, env["peer"], self.identity.clusterId, self.log)
        self.members = Members(reactor, self.nodeId)
        self.board = Board(reactor)
        me = Member(self.nodeId, f"{random.getrandbits(64):016x}", kind, env["zone"], env["machine"],
                    env["peer"], env["http"], "up", RELEASE)
        self.puller = Puller(reactor, self.net, self.board, self.members, self.identity, me, env["seeds"],
                             random, self.log)

    def start(self):
        self.net.listen()
        self.puller.start()
        self.log.event("nodeUp", id=self.nodeId, peer=self.env["peer"], http=self.env["http"],
                       cluster=self.identity.clusterId or "none", newIdentity=self.identity.isNew)

    async def stop(self):
        self.puller.stop()
        await self.net.stop()
        if self.disk is not None:
            self.disk.close()
        self.log.event("nodeDown")
