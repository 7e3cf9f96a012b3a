"""One connection to a replica: one request at a time, which ends with its response or with the connection.

A verdict is NO only while nothing of the request was passed to the kernel. From then on, whatever happens to the
connection, the replica may have run the request.
"""

import math
import re
import weakref

from twisted.internet import defer, error, protocol

from oakramp.common.backend_room import Part
from oakramp.common.constants import (
    DEADLINE_MARGIN,
    KEEP_ALIVE_DEFAULT,
    KEEP_ALIVE_MARGIN,
    SETTLING_TIME,
)
from oakramp.common.errors import (
    IncompleteResponseError,
    OutcomeUnknownError,
    ResponseLimitError,
    UnreachableError,
    Verdict,
)
from oakramp.common.tcp_options import limit_received, set_peer_options
from oakramp.http_proxy.framing import LineLimitError, MalformedMessageError, body_length
from oakramp.http_proxy.response import COMPLETE, Pause, Response
from oakramp.http_proxy.response_body import EndInDoubtError, ResponseBody
from oakramp.http_proxy.response_end import End, Excess, Framing, framing_of
from oakramp.http_proxy.response_head import ResponseHeadReader
from oakramp.http_proxy.restart_detector import RestartDetector, StartsAnewError
from oakramp.http_proxy.sliced_sender import SEND_SLICE, SlicedSender
from oakramp.http_proxy.sockets import has_unsent, is_kernel_socket, pending_bytes, send_now
from oakramp.http_proxy.unrequested_responses import UnrequestedResponseError, UnrequestedResponses

_TIMEOUT = re.compile(rb"timeout[ \t]*=[ \t]*([0-9]{1,9})")
EVENTS = "text/event-stream"
ENDS_OF_FAULTS = {EndInDoubtError: End.EXCESS_IN_DOUBT, StartsAnewError: End.STARTED_ANEW}


class ReplicaConnection(protocol.Protocol):
    """Invariants: `ready` is set until the connection is established; `_head_waiting` from the first byte of a request
    to the head of its response, `_response` from there to the response's end. With none of them set the connection is
    idle, and bytes that arrive then belong to no request. `_body` reads the body of the last response; `_unrequested`
    those of responses to other requests, where one is awaited. `_is_named` is set once a response has come: from then
    on each has to name its request."""

    def __init__(self, pool, address, instance_id):
        self._pool, self.address, self.instance_id = pool, address, instance_id
        self.is_open = True
        self.is_retired = False
        self.usable_until = 0.0
        self.ready = self.connector = None
        self._keep_alive_s = KEEP_ALIVE_DEFAULT
        self._head_waiting = self._response = self._body = None
        self._head_reader, self._ended_response = ResponseHeadReader(), lambda: None
        self._unrequested = UnrequestedResponses()
        self._method = self._previous_method = self._expect = self._holding = None
        self._works_until = math.inf
        self._is_named = self._persists = False
        self._body_sender = None
        self._pauses = set()

    @property
    def is_idle(self):
        return self._head_waiting is None and self._response is None and self.ready is None

    def now(self):
        return self._pool.reactor.seconds()

    def call_later(self, seconds, function):
        return self._pool.reactor.callLater(max(0.0, seconds), function)

    def pause(self, reason):
        """Reads nothing until each reason to pause has ended."""
        if not self._pauses:
            self.transport.pauseProducing()
        self._pauses.add(reason)

    def resume(self, reason):
        """Ends a reason to pause."""
        if reason in self._pauses:
            self._pauses.remove(reason)
            if not self._pauses and self.is_open:
                self.transport.resumeProducing()

    def connectionMade(self):
        set_peer_options(self.transport, probes=True)
        limit_received(self.transport)
        self.usable_until = self._pool.reactor.seconds() + KEEP_ALIVE_DEFAULT
        ready, self.ready = self.ready, None
        if ready is None:
            self.close()
            return
        ready.callback(self)

    def give_up_dialling(self, _ready):
        self.ready = None
        self.connector.disconnect()

    def connectionLost(self, reason=protocol.connectionDone):
        is_orderly = self.is_open and reason.check(error.ConnectionDone)  # not a close of this process
        self._leave()
        if is_orderly and self._response is not None and self._body.is_settling:
            self._parse(self._settle, b"")
            return
        if is_orderly and self._response is not None and self._response.framing is Framing.UNTIL_CLOSE:
            self._end_at_close()
            return
        self._fail(
            OutcomeUnknownError(f"{self.address} closed the connection before it answered"),
            IncompleteResponseError(f"{self.address} truncated its response"),
            End.TRUNCATED,
        )

    def _end_at_close(self):
        """Ends a body that nothing but the orderly end of its connection ends. A back end that stops work at the time
        that it was handed closes in the same way."""
        if self._pool.reactor.seconds() >= self._works_until - DEADLINE_MARGIN:
            error = IncompleteResponseError(f"{self.address} ended its response when its time was over")
            self._fail(error, error, End.AT_DEADLINE)
            return
        try:
            self._put(self._body.end_at_close())
        except MalformedMessageError as fault:
            self._fail_malformed(fault)
            return
        except ResponseLimitError as error:
            self._fail(error, error, End.CUT_OFF)
            return
        response, self._response = self._response, None
        response.end(COMPLETE, End.CLOSED)

    def _leave(self):
        self.is_open = False
        self._pool.forget(self)

    def close(self):
        """Closes an idle connection in an orderly way."""
        if self.is_open:
            self._leave()
            self.transport.loseConnection()

    def drop(self, why="this gateway closed the connection"):
        """Closes at once; a waiting request fails."""
        if self.is_open:
            self._leave()
            self.transport.abortConnection()
        self._fail(
            OutcomeUnknownError(f"{self.address}: {why}"),
            IncompleteResponseError(f"{self.address}: {why}"),
            End.GIVEN_UP,
        )

    def cut_off(self, error):
        """Closes at once; the request fails with this error, before or after the head of its response."""
        self._fail(error, error, End.CUT_OFF)
        self.drop()

    def count_end(self, framing, ended_by):
        """Counts what ended a response."""
        self._pool.ends.count(framing, ended_by)

    def _fail(self, before, after, ended_by):
        """Fails the request: with `before` if the head of its response has not come, else with `after`."""
        holding, self._holding = self._holding, None
        if holding is not None:
            holding.release()
        waiting, self._head_waiting = self._head_waiting, None
        response, self._response = self._response, None
        if waiting is not None and not waiting.called:
            waiting.errback(before)
        if response is not None:
            response.end(after, ended_by)

    def ask(self, method, head, body, expect, works_until=math.inf):
        """Writes the request. Fires with the head of the response. `works_until` (monotonic seconds) is when the time
        is over that the back end was handed."""
        is_sliced = is_kernel_socket(self.transport) and len(body) > SEND_SLICE
        if not self.is_open or not send_now(self.transport, head if is_sliced else head + body):
            self.drop()
            raise UnreachableError(f"{self.address} had closed the connection")
        self._body_sender = SlicedSender(self.transport, body) if is_sliced else None
        self._previous_method, self._method, self._expect = self._method, method, expect
        self._works_until, self._persists = works_until, True
        self._holding = self._pool.backend_room.holding(self.address, self.cut_off)
        self._head_reader.begin()
        self._unrequested = UnrequestedResponses()
        self._head_waiting = defer.Deferred(self._give_up)
        return self._head_waiting

    def _give_up(self, _waiting):
        self._head_waiting = None
        self.drop()

    def _fail_malformed(self, fault):
        self._fail(
            IncompleteResponseError(f"{self.address} sent an invalid response: {fault}", Verdict.MAYBE),
            IncompleteResponseError(f"{self.address} sent a body with invalid framing: {fault}"),
            ENDS_OF_FAULTS.get(type(fault), End.MALFORMED),
        )

    # --- reading ---

    def dataReceived(self, data):
        if not self.is_open:
            return
        if self._response is not None:
            self._parse(self._take_body, data)
        elif self._head_waiting is not None:
            self._parse(self._take_head, data)
        else:
            self._take_unrequested(data)

    def _parse(self, take, data):
        """Calls `take(data)`; closes the connection if the response is malformed or over a limit."""
        try:
            take(data)
        except LineLimitError as fault:
            holding = self._holding if self._response is None else self._response.holding
            self.cut_off(holding.limit_error(Part.BODY, fault.size, fault.limit))
        except UnrequestedResponseError:
            self._fail(OutcomeUnknownError(f"{self.address} sent the response to another request"), None, None)
            self.drop()
        except MalformedMessageError as fault:
            self._fail_malformed(fault)
            self.drop()
        except ResponseLimitError as error:
            self.cut_off(error)

    def _take_head(self, data):
        while True:
            data = self._unrequested.read_over(data)
            if self._unrequested.is_reading:
                return
            head = self._head_reader.feed(data, self._holding)
            if head is None:
                return
            length = body_length(head.hop_by_hop)
            framing = framing_of(self._method, head.status, length)
            if self._is_expected(head.fields):
                self._begin(head, length, framing)
                return
            self._begin_to_read_over(head, length, framing)
            data = head.rest

    def _begin(self, head, length, framing):
        holding, self._holding = self._holding, None
        response = Response(self, head.status, head.fields, None if length == -1 else length, framing, holding)
        self._set_persistence(head)
        self._body = ResponseBody(framing, length, self._restart_detector(response), self._pending)
        self._is_named = True
        waiting, self._head_waiting = self._head_waiting, None
        self._response = response
        try:
            if head.rest or length == 0 or framing is Framing.NO_BODY:
                self._take_body(head.rest)  # before the head is passed on, so that a short response is complete by then
        finally:
            waiting.callback(response)

    def _set_persistence(self, head):
        options = head.hop_by_hop.get(b"connection", ())
        stated = b",".join(head.hop_by_hop.get(b"keep-alive", ()))
        timeout = _TIMEOUT.search(stated)
        self._persists &= b"close" not in options and (head.is_11 or b"keep-alive" in options)
        self._keep_alive_s = int(timeout[1]) - KEEP_ALIVE_MARGIN if timeout else KEEP_ALIVE_DEFAULT

    def _restart_detector(self, response):
        """Finds heads in the body, or None if responses name no requests. A body with an end of its own may hold the
        response to another request, but for a stream of events, which have no such lines."""
        if self._expect is None:
            return None
        name, value = self._expect
        is_any = response.framing is Framing.UNTIL_CLOSE or (response.header("content-type") or "").startswith(EVENTS)
        return RestartDetector(name.lower().encode("latin-1"), None if is_any else value.encode("latin-1"))

    def _pending(self):
        return pending_bytes(self.transport, 1)

    # --- responses to other requests ---

    def _named(self, fields):
        """The request that a response with these fields names, or None."""
        name = self._expect[0].lower().encode("latin-1")
        named = [value for field, value in fields if field.lower() == name]
        return b", ".join(named).decode("latin-1") if named else None

    def _is_expected(self, fields):
        """Whether the response belongs to the current request: one that came too late for its own request
        arrives in place of the next one's. A response that names no request is accepted only if the connection carried
        no other response."""
        if self._expect is None:
            return True
        named = self._named(fields)
        return named == self._expect[1] or named is None and not self._is_named

    def _begin_to_read_over(self, head, length, framing):
        """Begins to read over the response to another request; the connection is not used again.

        Raises UnrequestedResponseError if its end could not be told."""
        self._pool.ends.count(framing, End.OTHER_REQUEST)
        self._pool.ends.report_excess(Excess.IN_PLACE_OF_RESPONSE, self.address, len(head.rest))
        if self._named(head.fields) is None or "HEAD" in (self._method, self._previous_method):
            raise UnrequestedResponseError
        self._persists, self._is_named = False, True
        self._unrequested.begin(framing, length)

    # --- bodies ---

    def _take_body(self, data):
        response, body = self._response, self._body
        self._put(body.feed(data))
        if body.is_settling:
            self.call_later(SETTLING_TIME, self._settle_now)
            return
        if body.has_more:
            self._decode_later()
        else:
            self.resume(Pause.DECODING)
        if body.is_complete:
            self._complete(body.rest)
            return
        response.wake()

    def _settle_now(self):
        if self.is_open and self._response is not None and self._body.is_settling:
            self._parse(self._settle, b"")

    def _settle(self, _data):
        """Completes a body behind whose length nothing has come for a while, or until its connection was closed."""
        self._put(self._body.settle())
        self._complete(b"")

    def _put(self, part):
        self._response.put(part, self._body.undecoded)

    def _decode_later(self):
        """Decodes the next chunks in a later turn; nothing is read until then."""
        self.pause(Pause.DECODING)
        self._pool.fair_turns.call_later(self._decode_more)

    def _decode_more(self):
        if self.is_open and self._response is not None and self._body.has_more:
            self._parse(self._take_body, b"")

    def _has_unsent(self):
        """Whether the replica has answered before all of its request was sent."""
        return has_unsent(self.transport) or (self._body_sender is not None and not self._body_sender.is_done)

    def _complete(self, rest):
        response, self._response = self._response, None
        self._ended_response = weakref.ref(response)
        if rest:
            self._pool.ends.report_excess(Excess.AFTER_RESPONSE, self.address, len(rest))
            self._leave()
            self.transport.abortConnection()
        elif not self._persists or self.is_retired or self._keep_alive_s <= 0 or self._has_unsent():
            self.close()
        else:
            self.usable_until = self._pool.reactor.seconds() + self._keep_alive_s
            self._pool.keep(self)
        response.end(COMPLETE, End.EXCESS_AFTER if rest else End.FRAMING)

    def _take_unrequested(self, data):
        """Takes bytes on an idle connection. A response that nobody has read to its end is not complete if they put
        its end in doubt."""
        self._pool.ends.report_excess(Excess.IDLE, self.address, len(data))
        response = self._ended_response()
        if response is not None and self._body.puts_end_in_doubt(data):
            response.lose(IncompleteResponseError(f"{self.address} sent more behind its response"))
        self.drop()


class Dial(protocol.ClientFactory):
    noisy = False

    def __init__(self, connection):
        self._connection = connection

    def buildProtocol(self, _address):
        return self._connection

    def clientConnectionFailed(self, _connector, reason):
        ready, self._connection.ready = self._connection.ready, None
        if ready is not None:
            ready.errback(reason)
