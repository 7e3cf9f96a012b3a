"""Guards against replicas that pour: what a gateway keeps of their answers, whom it tells, and what its clients get."""

import os
import sys
import unittest
from unittest import mock

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from twisted.internet import error  # noqa: E402

from oakramp.common.backend_room import BackendRoom, Part  # noqa: E402
from oakramp.common.constants import EVENT_LIMIT, RESPONSE_HEAD_LIMIT, RESPONSE_HELD_LIMIT  # noqa: E402
from oakramp.gateway.proxy_responses import ResponseRelay  # noqa: E402
from relay_bench import STREAM_END, STREAM_HEAD, Gate, ParsedResponse, answer, event, request  # noqa: E402

BLOCK = 16 << 10  # bytes; that arrive at a time
MOST = 4 * EVENT_LIMIT  # bytes; that a replica pours here
CLOSED_STREAM_HEAD = STREAM_HEAD.replace(b"Transfer-Encoding: chunked\r\n", b"")


def chunk(data):
    """One chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class PouringCase(unittest.TestCase):
    def setUp(self):
        self.gate = Gate()

    def tearDown(self):
        self.assertEqual([line for line in self.gate.lines if "rashed" in line], [])

    def pour(self, replica, first, repeated):
        """Sends until the gateway closes the connection; returns how many bytes it took."""
        replica.feed(first)
        block, sent = repeated * max(1, BLOCK // len(repeated)), len(first)
        while replica.ended is None and sent < MOST:
            replica.feed(block)
            sent += len(block)
            self.take_turns()
        self.assertIsNotNone(replica.ended, "the replica goes on pouring")
        return sent

    def take_turns(self):
        """Lets the gateway do what it has put off to later turns of the reactor."""
        for _ in range(200):
            self.gate.reactor.advance(0)

    def status(self, client):
        return ParsedResponse(client.value()).status

    def cut_off_lines(self):
        return [line for line in self.gate.lines if "event=response_cut_off" in line]

    def check_told(self, part, count=1):
        """The log and the metric tell it, the replica counts as failing, and nothing is kept."""
        self.assertEqual(len(self.cut_off_lines()), 1)
        for field in (f"part={part}", "replica=r", "bytes=", "limit_bytes="):
            self.assertIn(field, self.cut_off_lines()[0])
        self.assertEqual(self.gate.backend_room.cut_off, {part: count})
        self.assertEqual(len(self.gate.balancer.failure_reports), count)
        self.assertEqual((self.gate.backend_room.total, self.gate.backend_room.held[3]), (0, 0))


class Requests(PouringCase):
    def test_an_event_without_end_is_answered_502_and_runs_once(self):
        for first in (CLOSED_STREAM_HEAD + b"data: ", STREAM_HEAD):
            with self.subTest(first):
                self.setUp()
                client = self.gate.ask(request("once"))
                sent = self.pour(self.gate.replica(), first, chunk(b"x" * 1000) if first == STREAM_HEAD else b"x")
                self.assertLess(sent, 2 * EVENT_LIMIT)
                self.assertEqual((self.status(client), self.gate.dialled()), (502, 1))
                self.check_told("event")

    def test_a_stream_that_may_be_resumed_goes_on_at_another_replica(self):
        client = self.gate.ask(request("stream"))
        self.pour(self.gate.replica(), CLOSED_STREAM_HEAD + event_bytes(1) + b"data: ", b"x")
        self.gate.replica().feed(STREAM_HEAD + event(2) + STREAM_END)
        response = ParsedResponse(client.value())
        self.assertEqual((response.status, response.body), (200, event_bytes(1) + event_bytes(2)))
        self.check_told("event")

    def test_relayed_events_that_come_again_and_again_are_cut_off(self):
        client = self.gate.ask(request("once"))
        sent = self.pour(self.gate.replica(), CLOSED_STREAM_HEAD, event_bytes(1))
        self.assertLess(sent, 2 * EVENT_LIMIT)
        self.assertIsNotNone(client.ended)
        self.check_told("event")

    def test_heads_without_end_are_answered_502_and_run_once(self):
        interim = b"HTTP/1.1 103 Early Hints\r\n\r\n"
        for first, repeated in ((b"HTTP/1.1 200 OK\r\n", b"a:\r\n"), (b"HTTP/1.1 200 OK\r\na: ", b"x"), (b"", interim)):
            with self.subTest(first):
                self.setUp()
                client = self.gate.ask(request("unsafe"))
                self.assertLess(self.pour(self.gate.replica(), first, repeated), 2 * RESPONSE_HEAD_LIMIT)
                self.assertEqual((self.status(client), self.gate.dialled()), (502, 1))
                self.check_told("head")

    def test_a_keyed_answer_without_end_is_answered_502_and_its_key_stays_claimed(self):
        client = self.gate.ask(request("tracked", Operation_Key="k"))
        self.pour(self.gate.replica(), answer(Content_Length=10**9, body=b""), b"x")
        self.assertEqual((self.status(client), self.gate.dialled()), (502, 1))
        repeat = self.gate.ask(request("tracked", "t2", Operation_Key="k"))
        replica = self.gate.replica()
        self.assertEqual((self.status(repeat), replica.value()), (502, b""))
        self.check_told("gathered")

    def test_a_refusal_without_end_is_told_and_the_request_goes_elsewhere(self):
        client = self.gate.ask(request("unsafe"))
        self.pour(self.gate.replica(), answer(503, Not_Run="1", Content_Length=10**9, body=b""), b"x")
        self.gate.replica().feed(answer())
        self.assertEqual((self.status(client), self.gate.dialled()), (200, 2))
        self.check_told("body")

    def test_trailers_and_size_lines_without_end_are_told(self):
        for first, repeated in ((chunk(b"hello") + b"0\r\n", b"a: b\r\n"), (b"1;", b"x")):
            with self.subTest(first):
                self.setUp()
                client = self.gate.ask(request("unsafe"))
                head = answer(Content_Length=None, Transfer_Encoding="chunked", body=b"")
                self.pour(self.gate.replica(), head + first, repeated)
                self.assertEqual((self.status(client), self.gate.dialled()), (502, 1))
                self.check_told("body")


class WaysOut(PouringCase):
    """Room is given back on each way out of a response."""

    HALVES = {  # kind of route -> the beginning of an answer
        "safe": answer(body=b"x" * 1000)[:-10],
        "unsafe": answer(body=b"x" * 1000)[:-10],
        "tracked": answer(body=b"x" * 1000)[:-10],
        "once": STREAM_HEAD + chunk(b"data: x"),
        "stream": STREAM_HEAD + chunk(b"data: x"),
        "kept": STREAM_HEAD + chunk(b"data: x\n\ndata: y"),
    }

    def check_ends(self, end):
        """After `end(client, replica)` and the request's time nothing is kept, whatever has come."""
        for kind, half in self.HALVES.items():
            for data in (half, half[:40], b"HTTP/1.1 103 Early Hints\r\n\r\n" + half[:40]):
                with self.subTest(kind=kind, data=data[:60]):
                    self.setUp()
                    client = self.gate.ask(request(kind, Operation_Key="k"))
                    replica = self.gate.replica()
                    replica.feed(data)
                    self.assertGreater(self.gate.backend_room.total, 0)
                    end(client, replica)
                    self.gate.run(6.0, 0.1)
                    room = self.gate.backend_room
                    self.assertEqual((room.total, room.held), (0, [0] * len(room.held)))

    def test_the_client_leaves(self):
        self.check_ends(lambda client, replica: client.peer_closes())

    def test_the_replica_closes(self):
        self.check_ends(lambda client, replica: replica.peer_closes())

    def test_the_replica_resets(self):
        self.check_ends(lambda client, replica: replica.peer_closes(error.ConnectionLost()))

    def test_the_time_is_over(self):
        self.check_ends(lambda client, replica: None)

    def test_the_rest_is_malformed(self):
        self.check_ends(lambda client, replica: replica.feed(b"\r\n\x00\r\n\r\n"))

    def test_the_gateway_stops(self):
        self.check_ends(lambda client, replica: self.gate.upstreams.stop())

    def test_the_handler_crashes(self):
        for kind in ("safe", "tracked", "once", "kept"):
            with self.subTest(kind), mock.patch.object(ResponseRelay, "read_buffered", side_effect=RuntimeError):
                self.setUp()
                with mock.patch.object(ResponseRelay, "next_part", side_effect=RuntimeError):
                    self.gate.ask(request(kind, Operation_Key="k"))
                    replica = self.gate.replica()
                    replica.feed(self.HALVES[kind])
                self.gate.run(6.0, 0.1)
                self.assertIsNotNone(replica.ended)
                self.assertEqual((self.gate.backend_room.total, self.gate.backend_room.held[3]), (0, 0))
                self.gate.lines.clear()

    def test_a_body_that_is_decoded_in_later_turns(self):
        client = self.gate.ask(request("once"))
        replica = self.gate.replica()
        replica.feed(STREAM_HEAD + chunk(b"x") * 1500)
        self.assertGreater(self.gate.backend_room.total, 1500)
        client.peer_closes()
        self.take_turns()
        self.assertEqual(self.gate.backend_room.total, 0)

    def test_what_gives_way_may_end_the_response_that_asks(self):
        room = BackendRoom(limit=1000)
        asking = room.holding("b")
        first = room.holding("a", lambda error: asking.release())
        first.keep(Part.BODY, 600)
        asking.keep(Part.BODY, 300)
        asking.keep(Part.BODY, 450)
        self.assertEqual((room.total, asking.held, first.held), (450, 450, 0))
        asking.release()
        self.assertEqual((room.total, room.held), (0, [0] * len(Part)))


class LegalAnswers(PouringCase):
    def check_passed(self, client, body):
        response = ParsedResponse(client.value())
        self.assertEqual((response.status, len(response.body)), (200, len(body)))
        self.assertEqual(response.body, body)
        self.assertEqual((self.cut_off_lines(), self.gate.balancer.failure_reports), ([], []))
        self.assertEqual((self.gate.backend_room.total, self.gate.backend_room.held[3]), (0, 0))

    def test_a_large_event_passes(self):
        client = self.gate.ask(request("once"))
        replica, body = self.gate.replica(), b"id: 1\ndata: " + b"x" * (EVENT_LIMIT - 100) + b"\n\n"
        replica.feed(STREAM_HEAD)
        for at in range(0, len(body), BLOCK):
            replica.feed(chunk(body[at : at + BLOCK]))
        replica.feed(STREAM_END)
        self.check_passed(client, body)

    def test_a_long_stream_passes(self):
        client, body = self.gate.ask(request("once")), b""
        replica = self.gate.replica()
        replica.feed(STREAM_HEAD)
        for number in range(1, 400):
            raw = b"id: %d\ndata: %b\n\n" % (number, b"x" * 10000)
            replica.feed(chunk(raw))
            body += raw
        replica.feed(STREAM_END)
        self.check_passed(client, body)

    def test_a_stream_that_is_resumed_from_its_beginning_passes(self):
        client = self.gate.ask(request("stream"))
        replica = self.gate.replica()
        replica.feed(STREAM_HEAD)
        events = [b"id: %d\ndata: %b\n\n" % (number, b"x" * 10000) for number in range(1, 300)]
        for raw in events[:-1]:
            replica.feed(chunk(raw))
        replica.peer_closes()
        resumed = self.gate.replica()
        resumed.feed(STREAM_HEAD)
        for raw in events:
            resumed.feed(chunk(raw))
        resumed.feed(STREAM_END)
        response = ParsedResponse(client.value())
        self.assertEqual((response.status, response.body), (200, b"".join(events)))
        self.assertEqual(self.cut_off_lines(), [])

    def test_a_large_head_and_a_large_body_pass(self):
        body = b"x" * (4 * RESPONSE_HELD_LIMIT)
        client = self.gate.ask(request("unsafe"))
        replica = self.gate.replica()
        replica.feed(answer(body=body, X="f" * (RESPONSE_HEAD_LIMIT - 300)))
        self.check_passed(client, body)

    def test_a_keyed_answer_of_a_megabyte_passes(self):
        body = b"x" * 1_000_000
        client = self.gate.ask(request("tracked", Operation_Key="k"))
        self.gate.replica().feed(answer(body=body))
        self.check_passed(client, body)

    def test_an_answer_in_chunks_of_one_byte_passes(self):
        body = b"xy" * 10000
        client = self.gate.ask(request("unsafe"))
        replica = self.gate.replica()
        replica.feed(answer(Content_Length=None, Transfer_Encoding="chunked", body=b""))
        data = b"".join(chunk(body[at : at + 1]) for at in range(len(body))) + STREAM_END
        for at in range(0, len(data), BLOCK):
            replica.feed(data[at : at + BLOCK])
            self.assertTrue(replica.paused)
            self.take_turns()
        self.check_passed(client, body)


def event_bytes(number):
    """An event as a client gets it."""
    return b"id: %d\ndata: d%d\n\n" % (number, number)


if __name__ == "__main__":
    unittest.main()
