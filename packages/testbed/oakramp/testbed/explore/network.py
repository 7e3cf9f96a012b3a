"""Calls between the processes of an explored world: each message waits until the schedule delivers or drops it.

A connection is to one process, as with TCP: what is under way to a process that has ended arrives nowhere. Beyond TCP,
messages may arrive in any order and a call may arrive twice; the protocols promise to stand both."""

from dataclasses import dataclass, field

from oakramp.common.tasks import begin
from oakramp.common.errors import OutcomeUnknownError, OakrampError, UnreachableError
from oakramp.rpc.codec import arguments_class
from oakramp.rpc.endpoint import RpcEndpoint
from twisted.internet import defer


@dataclass
class Message:
    """A call or an answer under way between two processes, or between a process and an operator."""

    label: str  # "sender>receiver:method"; answers end in "-answer"
    sender: object
    receiver: object
    deliver: object = field(repr=False)  # what its arrival does


class ModelNet(RpcEndpoint):
    """The daemons' own peer connections, with the sockets replaced by the world's pool of messages."""

    def __init__(self, world, process, reactor, address, log):
        super().__init__(reactor, process.node_id, "control", address, "explored", log)
        self._world, self._process = world, process

    def call(self, address, method, time_left, to=None, **arguments):
        return begin(self._call(address, method, time_left, to, arguments))

    async def _link(self, address):
        receiver = self._world.process_at(address)
        if receiver is None:
            raise UnreachableError(f"nobody is at {address}")
        return ModelConnection(self._world, self._process, receiver)


class ModelConnection:
    """The dialling side of a connection to one process."""

    def __init__(self, world, sender, receiver):
        self._world, self._sender, self._receiver = world, sender, receiver
        self.peer = receiver.net.hello()

    def call(self, method, time_left, arguments):
        answer = defer.Deferred()
        if self._sender.clock.stopped:
            return answer
        timer = self._sender.clock.callLater(time_left, self._give_up, answer, method)
        ask = arguments_class(method)(**arguments)

        def answered(result, error):
            if answer.called:
                return
            timer.cancel()
            if error is None:
                answer.callback(result)
                return
            answer.errback(error)

        self._world.post_call(self._sender, self._receiver, method, ask, answered)
        return answer

    @staticmethod
    def _give_up(answer, method):
        if not answer.called:
            answer.errback(OutcomeUnknownError(f"no answer to {method} in time"))


def serve(process, peer, method, ask, ended):
    """Runs a call on the process that it arrived at; `ended(result, error)` is called once it has answered."""

    def failed(failure):
        error = failure.value
        if not isinstance(error, OakrampError):
            process.log.error("rpc_handler_crashed", method=method, error=repr(error), trace=failure.getTraceback())
            error = OakrampError(f"{method} crashed")
        ended(None, error)

    begin(process.net.handlers[method](peer, ask)).addCallbacks(lambda result: ended(result, None), failed)
