"""Calls between the processes of an explored world: each message waits until the schedule delivers or drops it.

A connection is to one process, as with TCP: messages in flight to a process that has ended are lost. Unlike with TCP,
messages may arrive in any order and a call may arrive twice; the protocols must tolerate both."""

from dataclasses import dataclass, field

from oakramp.common.tasks import begin
from oakramp.common.errors import OutcomeUnknownError, OakrampError, UnreachableError
from oakramp.rpc.codec import arguments_class
from oakramp.rpc.endpoint import RpcEndpoint
from twisted.internet import defer


@dataclass
class Message:
    """A call or a reply in flight between two processes, or between a process and an operator."""

    label: str  # "sender>receiver:method"; labels of replies end in "-answer"
    sender: object
    receiver: object
    deliver: object = field(repr=False)  # called at its arrival


class ModelNet(RpcEndpoint):
    """The daemons' real RPC endpoint, with its sockets replaced by the world's pool of messages."""

    def __init__(self, world, process, reactor, address, log):
        super().__init__(reactor, process.node_id, "control", address, "explored", log)
        self._world, self._process = world, process

    def call(self, address, method, time_left, to=None, **arguments):
        return begin(self._call(address, method, time_left, to, arguments))

    async def _link(self, address):
        receiver = self._world.process_at(address)
        if receiver is None:
            raise UnreachableError(f"no process at {address}")
        return ModelConnection(self._world, self._process, receiver)


class ModelConnection:
    """The client side of a connection to one process."""

    def __init__(self, world, sender, receiver):
        self._world, self._sender, self._receiver = world, sender, receiver
        self.peer = receiver.net.hello()

    def call(self, method, time_left, arguments):
        reply = defer.Deferred()
        if self._sender.clock.stopped:
            return reply
        timer = self._sender.clock.callLater(time_left, self._time_out, reply, method)
        call_arguments = arguments_class(method)(**arguments)

        def on_reply(result, error):
            if reply.called:
                return
            timer.cancel()
            if error is None:
                reply.callback(result)
                return
            reply.errback(error)

        self._world.post_call(self._sender, self._receiver, method, call_arguments, on_reply)
        return reply

    @staticmethod
    def _time_out(reply, method):
        if not reply.called:
            reply.errback(OutcomeUnknownError(f"no reply to {method} in time"))


def serve(process, peer, method, call_arguments, ended):
    """Runs a call on the process that received it; calls `ended(result, error)` once it has completed."""

    def failed(failure):
        error = failure.value
        if not isinstance(error, OakrampError):
            process.log.error("rpc_handler_crashed", method=method, error=repr(error), trace=failure.getTraceback())
            error = OakrampError(f"{method} crashed")
        ended(None, error)

    begin(process.net.handlers[method](peer, call_arguments)).addCallbacks(lambda result: ended(result, None), failed)
