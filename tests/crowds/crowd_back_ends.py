"""Back ends that pour: replicas whose answers do not end, at a gateway."""

import time
import unittest

from crowd_case import SEND_TIME, CrowdCase
from pouring_server import Pour
from process_fleet import HOST

MANY = 140  # requests at the faulty replica at a time, nearly as many as a gateway takes connections of clients
POURS = 24  # requests at the faulty replica at a time
POUR_MEMORIES = 3  # times the memory of the process; that are poured at most, on all connections together
OWN_BOUND_SHARE = 0.25  # share of the memory; that one connection brings at most before it is cut off
END_TIME = 45.0  # s; after which a pour that goes on is not waited for any more
STALL_TIME = 2.0  # s; after which a pour on which nothing moves is not waited for
KEYS = iter(range(1 << 30))
HEAD = b"HTTP/1.1 200 OK\r\nTry-Id: TRY\r\nPostmark: stamp\r\n"
STREAM_HEAD = HEAD + b"Content-Type: text/event-stream\r\n"
LENGTH = b"Content-Length: 100000000000000\r\n\r\n"
UNTIL_CLOSE = b"\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


def ask(path, body=b"{}"):
    """A request to the faulty replica, on a route of its own."""
    fields = b"Try-Id: t%d\r\nOperation-Key: k%d\r\nContent-Length: %d" % (next(KEYS), next(KEYS), len(body))
    return b"POST /pour/%s/x HTTP/1.1\r\nHost: %s\r\n%s\r\n\r\n%s" % (path, HOST.encode(), fields, body)


class PouringCase(CrowdCase):
    """A crowd of requests whose replica pours."""

    def pour(self, path, first, repeated, count=POURS, reads=True, is_endless=True):
        """Sends requests, and returns their clients once all pours have ended, or, if they are endless, once all has
        been poured that may be, or nothing moves any more. An ordinary client asks meanwhile."""
        server = self.fleet.pouring
        server.tries.clear()
        server.paths.clear()
        server.pour = self.current = Pour(first, repeated, POUR_MEMORIES * self.target.memory_bound)
        crowd = self.crowd("counter")
        for _ in range(count):
            crowd.add(1, ask(path), reads)
        crowd.send(SEND_TIME)
        self.is_answered_meanwhile = self.fleet.is_answered(self.ordinary_request)
        ends_at, moved_at, sent = time.monotonic() + END_TIME, time.monotonic(), -1
        while time.monotonic() < ends_at and self.target.is_running() and not self._have_ended(crowd, count):
            crowd.wait(0.2)
            if self.current.sent > sent:
                sent, moved_at = self.current.sent, time.monotonic()
            if is_endless and (sent >= self.current.most or time.monotonic() - moved_at > STALL_TIME):
                break
        return crowd

    def _have_ended(self, crowd, count):
        """Whether all pours have ended, and all clients that read have been answered."""
        is_answered = all(member.received or member.is_closed for member in crowd.members if member.reads)
        return is_answered and len(self.current.sizes) >= count

    def check(self, ask_once=None):
        """As for other crowds, and an ordinary client was answered beside the pours."""
        super().check(ask_once)
        self.assertTrue(self.is_answered_meanwhile, "an ordinary client got no answer beside the pours")

    def check_cut_off(self, path, first, repeated, framing=1, status=b"502"):
        """Each pour is cut off by its own bound, told as such, and each client gets an answer. Of `framing` bytes on
        the wire one is kept."""
        crowd = self.pour(path, first, repeated, is_endless=False)
        self.check()
        self.assertGreaterEqual(len(self.current.sizes), len(crowd.members), "a pour goes on")
        own_bound = OWN_BOUND_SHARE * self.target.memory_bound
        self.assertLess(max(self.current.sizes) / framing, own_bound, "bytes of one connection")
        self.assertEqual({member.received[9:12] for member in crowd.members}, {status})
        self.assertEqual(len(set(self.fleet.pouring.tries)), len(self.fleet.pouring.tries), "a request ran twice")
        self.assertIn("event=response_cut_off", self.fleet.log_of(self.target))
        status, metrics = self.fleet.ask(self.target, "http", "GET", "/metrics")
        self.assertEqual(status, 200)
        self.assertIn(b"oak_responses_cut_off", metrics)


class Heads(PouringCase):
    """Bytes in place of a head."""

    def test_a_status_line_without_end(self):
        self.check_cut_off(b"unsafe", b"HTTP/1.1 200 ", b"x")

    def test_bytes_that_are_no_answer(self):
        self.pour(b"unsafe", b"", b"\n")
        self.check()

    def test_a_field_without_end(self):
        self.check_cut_off(b"unsafe", HEAD + b"a: ", b"x")

    def test_fields_without_end(self):
        self.check_cut_off(b"unsafe", HEAD, b"a:\r\n")

    def test_many_heads_that_stop_short_of_their_end(self):
        self.pour(b"unsafe", HEAD + b"a: " + b"x" * 60000, b"", count=MANY)
        self.check()

    def test_many_whole_heads_of_many_fields(self):
        """The fields of a head are kept as long as its body is read."""
        self.pour(b"safe", HEAD + b"a:\r\n" * 15000 + LENGTH, b"", count=MANY)
        self.check()

    def test_many_whole_heads_of_as_many_fields_as_are_taken(self):
        self.pour(b"safe", HEAD + b"a:\r\n" * 900 + LENGTH, b"", count=MANY)
        self.check()

    def test_interim_heads_without_end(self):
        self.check_cut_off(b"unsafe", b"", b"HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n")


class Bodies(PouringCase):
    """Answers without an end."""

    def test_a_keyed_answer_with_a_length(self):
        self.check_cut_off(b"tracked", HEAD + LENGTH, b"x")

    def test_a_keyed_answer_until_close(self):
        self.check_cut_off(b"tracked", HEAD + UNTIL_CLOSE, b"x")

    def test_a_keyed_answer_in_chunks_of_one_byte(self):
        self.check_cut_off(b"tracked", HEAD + CHUNKED, b"1\r\nx\r\n", framing=6)

    def test_many_gathered_answers_that_stop_short_of_their_end(self):
        self.pour(b"tracked", HEAD + LENGTH + b"x" * 250000, b"", count=MANY)
        self.check()

    def test_many_gathered_answers_in_chunks_of_one_byte(self):
        self.pour(b"safe", HEAD + CHUNKED + b"1\r\nx\r\n" * 200000, b"", count=MANY)
        self.check()

    def test_an_answer_whose_clients_read(self):
        """It may be as long as it likes, and is passed on; the requests' time ends it."""
        self.pour(b"safe", HEAD + LENGTH, b"x")
        self.check()

    def test_an_answer_that_nobody_reads(self):
        for first in (HEAD + LENGTH, HEAD + UNTIL_CLOSE):
            with self.subTest(first):
                self.pour(b"safe", first, b"x", count=100, reads=False)
                self.check()

    def test_chunks_of_one_byte_that_nobody_reads(self):
        self.pour(b"safe", HEAD + CHUNKED, b"1\r\nx\r\n", count=100, reads=False)
        self.check()

    def test_a_size_line_without_end(self):
        self.check_cut_off(b"unsafe", HEAD + CHUNKED + b"1;", b"x")

    def test_trailers_without_end(self):
        self.check_cut_off(b"unsafe", HEAD + CHUNKED + b"1\r\nx\r\n0\r\n", b"a: b\r\n")

    def test_a_refusal_with_a_body_without_end(self):
        self.pour(b"unsafe", b"HTTP/1.1 503 Full\r\nTry-Id: TRY\r\nNot-Run: 1\r\n" + LENGTH, b"x")
        self.check()

    def test_an_error_with_a_body_without_end(self):
        self.pour(b"unsafe", b"HTTP/1.1 500 Error\r\nTry-Id: TRY\r\n" + LENGTH, b"x", reads=False)
        self.check()

    def test_bytes_after_an_answer(self):
        self.pour(b"unsafe", HEAD + b"Content-Length: 2\r\n\r\nok", b"x")
        self.check()


class Events(PouringCase):
    """Streams whose events do not end, or never stop."""

    def test_an_event_that_does_not_end(self):
        self.check_cut_off(b"stream", STREAM_HEAD + UNTIL_CLOSE + b"data: ", b"x")

    def test_an_event_in_chunks_that_does_not_end(self):
        self.check_cut_off(b"stream", STREAM_HEAD + CHUNKED, b"6\r\ndata: \r\n")

    def test_an_event_of_many_lines_that_does_not_end(self):
        self.check_cut_off(b"stream", STREAM_HEAD + LENGTH, b"data: x\n")

    def test_a_stream_that_is_resumed_and_does_not_end(self):
        self.check_cut_off(b"resumed", STREAM_HEAD + UNTIL_CLOSE + b"id: 1\ndata: x", b"x")

    def test_one_event_that_comes_again_and_again(self):
        self.check_cut_off(b"resumed", STREAM_HEAD + UNTIL_CLOSE, b"id: 1\ndata: x\n\n", status=b"200")

    def test_events_of_no_byte(self):
        self.pour(b"stream", STREAM_HEAD + UNTIL_CLOSE, b"\n\n")
        self.check()

    def test_the_output_of_a_kept_turn(self):
        self.pour(b"retained", STREAM_HEAD + UNTIL_CLOSE, b"data: x\n\n")
        self.check()


if __name__ == "__main__":
    unittest.main()
