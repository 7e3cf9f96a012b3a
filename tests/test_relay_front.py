"""The callers' side of the relay: what it reads as a request, and what it lets look like a whole answer."""

import os
import sys
import unittest

from hypothesis import given, settings, strategies
from twisted.internet import defer, error, protocol
from twisted.web.http import _ChunkedTransferDecoder, _MalformedChunkedDataError

from oakramp.common.constants import (
    BODY_TIME,
    LINGER_TIME,
    QUIET_TIME,
    READ_AHEAD_LIMIT,
    SMALL_REQUEST,
    STANDS_STILL_AFTER,
)
from oakramp.common.structured_logging import EventLogger
from oakramp.common.tasks import sleep
from oakramp.http_proxy.framing import ChunkedDecoder, MalformedMessageError
from oakramp.http_proxy.listener import Listener
from oakramp.testbed.simnet import SimHost, SimNetwork, SimReactor, SimTime

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from relay_wire import FrontBench, Limits, Reactor, tcp_pair  # noqa: E402

GET = b"GET /a/b?c=d HTTP/1.1\r\nHost: Desk.Example:8080\r\nCall-Id: a7\r\n\r\n"


def head_of(answer):
    return answer.partition(b"\r\n\r\n")[0]


class Reading(unittest.TestCase):
    def read(self, data, **given_settings):
        bench = FrontBench(**given_settings)
        caller = bench.caller()
        caller.feed(data)
        return bench, caller

    def refused(self, data, status):
        bench, caller = self.read(data)
        self.assertEqual(bench.exchanges, [], data)
        answer = caller.take()
        self.assertTrue(answer.startswith(b"HTTP/1.1 %d " % status), (data, answer))
        self.assertIn(b"Connection: close\r\n", answer)
        self.assertTrue(caller.half_closed)
        self.assertEqual(bench.front.refused, {status: 1})
        return bench, caller

    def test_plain_request(self):
        bench, _ = self.read(GET)
        (exchange,) = bench.exchanges
        self.assertEqual(
            (exchange.method, exchange.target, exchange.path, exchange.host, exchange.body),
            ("GET", b"/a/b?c=d", "/a/b", "desk.example", b""),
        )
        self.assertEqual(exchange.headers, [(b"Host", b"Desk.Example:8080"), (b"Call-Id", b"a7")])
        self.assertEqual((exchange.header("CALL-ID"), exchange.header("none")), ("a7", None))
        self.assertEqual(exchange.received_at, bench.reactor.seconds())
        self.assertEqual(bench.front.running, 1)

    def test_headers_of_one_connection_are_left_out(self):
        bench, _ = self.read(
            b"POST / HTTP/1.1\r\nHost: h\r\nConnection: keep-alive, X-Mine , Host\r\nKeep-Alive: timeout=4\r\nX-mine: 1\r\n"
            b"TE: trailers\r\nUpgrade: h2c\r\nProxy-Connection: x\r\nContent-Length: 2\r\nX-Other:\t 2 \t\r\nX-Other: 3\r\n"
            b"Empty:\r\n\r\nhi"
        )
        (exchange,) = bench.exchanges
        self.assertEqual(exchange.headers, [(b"Host", b"h"), (b"X-Other", b"2"), (b"X-Other", b"3"), (b"Empty", b"")])
        self.assertEqual((exchange.body, exchange.header("x-other"), exchange.header("Empty")), (b"hi", "2, 3", ""))

    def test_bodies_split_at_every_place(self):
        told = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\nhello world"
        chunked = (
            b"\r\nPOST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\n"
            b'5;a="b"\r\nhello\r\n006\r\n world\r\n0\r\nTrailer: dropped\r\n\r\n'
        )
        for data in (told, chunked):
            for at in range(len(data)):
                bench = FrontBench()
                caller = bench.caller()
                caller.feed(data[:at])
                self.assertEqual(bench.exchanges, [])
                caller.feed(data[at:] + GET)
                self.assertEqual([one.body for one in bench.exchanges], [b"hello world"])
                self.assertGreaterEqual(bench.front.memory_account.held, 11)
                bench.exchanges[0].reply(200, [], b"")
                self.assertEqual([one.target for one in bench.exchanges], [b"/x", b"/a/b?c=d"])
                bench.exchanges[1].reply(200, [], b"")

    def test_byte_by_byte(self):
        bench = FrontBench()
        caller = bench.caller()
        for byte in GET:
            caller.feed(bytes([byte]))
        self.assertEqual(len(bench.exchanges), 1)

    def test_malformed(self):
        line, host = b"GET / HTTP/1.1\r\n", b"Host: h\r\n"
        for data in (
            b"GET / HTTP/1.0\r\n" + host,
            b"GET / HTTP/1.2\r\n" + host,
            b"GET / HTTP/2.0\r\n" + host,
            b"GET /\r\n" + host,
            b"GET  / HTTP/1.1\r\n" + host,
            b"GET / HTTP/1.1 \r\n" + host,
            b" GET / HTTP/1.1\r\n" + host,
            b"G(T / HTTP/1.1\r\n" + host,
            b"GET http://h/ HTTP/1.1\r\n" + host,
            b"OPTIONS * HTTP/1.1\r\n" + host,
            b"CONNECT h:80 HTTP/1.1\r\n" + host,
            b"GET /a\x00b HTTP/1.1\r\n" + host,
            b"GET /\xc3\xa4 HTTP/1.1\r\n" + host,
            b"GET /a\tb HTTP/1.1\r\n" + host,
            line,
            line + host + host,
            line + b"Host: \r\n",
            line + b"Host: a b\r\n",
            line + b"Host: a/b\r\n",
            line + b"Host: a,b\r\n",
            line + host + b"no colon\r\n",
            line + host + b"A : b\r\n",
            line + host + b" folded: x\r\n",
            line + host + b"A: b\r\n c\r\n",
            line + host + b": b\r\n",
            line + host + b"A: b\x00c\r\n",
            line + host + b"A: b\rc\r\n",
            line + host + b"A: b\nC: d\r\n",
            line + host + b"A\x80: b\r\n",
            line + host + b"Content-Length: x\r\n",
            line + host + b"Content-Length: -1\r\n",
            line + host + b"Content-Length: +1\r\n",
            line + host + b"Content-Length: 0x1\r\n",
            line + host + b"Content-Length: 1, 1\r\n",
            line + host + b"Content-Length: 1\r\nContent-Length: 1\r\n",
            line + host + b"Content-Length: 1\r\nContent-length: 2\r\n",
            line + host + b"Content-Length:\r\n",
            line + host + b"Content-Length: 1 2\r\n",
            line + host + b"Content-Length: " + b"9" * 16 + b"\r\n",
            line + host + b"Content-Length: \xb2\r\n",
            line + host + b"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
            line + host + b"Content-Length: 3\r\ntransfer-encoding: chunked\r\n",
            line + host + b"Transfer-Encoding: gzip, chunked\r\n",
            line + host + b"Transfer-Encoding: chunked, chunked\r\n",
            line + host + b"Transfer-Encoding: identity\r\n",
            line + host + b"Transfer-Encoding: xchunked\r\n",
            line + host + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
            line + host + b"Transfer-Encoding:\r\n",
            line + host + b"Transfer-Encoding: \x0bchunked\r\n",
        ):
            with self.subTest(data=data):
                self.refused(data + b"\r\n", 400)
                self.refused(data + b"\r\n" + GET, 400)

    def test_lines_without_carriage_return_are_refused_at_once(self):
        self.refused(b"GET / HTTP/1.1\nHost: h\n\n", 400)
        self.refused(b"GET / HTTP/1.1\r\nHost: h\n", 400)
        self.refused(b"\nGET / HTTP/1.1\r\n", 400)

    def test_broken_chunks(self):
        head = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        for chunks in (
            b"g\r\n",
            b"\r\n",
            b"-1\r\n",
            b"0x1\r\na",
            b"1 \r\na\r\n",
            b" 1\r\na\r\n",
            b"1\na\r\n",
            b"1\r\nab\r\n",
            b"1\r\na\n0\r\n",
            b"1;\x01\r\na",
            b"f" * 16 + b"\r\n",
            b"1;" + b"x" * 2000,
            b"1;a\rb\r\na\r\n",
            b"0\r\n" + b"t: x\r\n" * 4000,
        ):
            with self.subTest(chunks=chunks):
                self.refused(head + chunks, 400)

    def test_headers_over_the_limit(self):
        line = b"GET / HTTP/1.1\r\nHost: h\r\nX: "
        self.refused(line + b"x" * Limits.header_bytes, 431)
        self.refused(line + b"x" * Limits.header_bytes + b"\r\n\r\n", 431)
        fits = line + b"x" * (Limits.header_bytes - len(line) - 4) + b"\r\n\r\n"
        self.assertEqual(len(self.read(fits)[0].exchanges), 1)
        self.refused(line + b"x" * (Limits.header_bytes - len(line) - 3) + b"\r\n\r\n", 431)

    def test_bodies_over_the_limit(self):
        head, limit = b"POST / HTTP/1.1\r\nHost: h\r\n", Limits.body_bytes
        self.refused(head + b"Content-Length: %d\r\n\r\n" % (limit + 1), 413)
        chunk = b"400\r\n" + b"x" * 0x400 + b"\r\n"
        bench, _ = self.refused(head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk * 4 + b"1\r\nx", 413)
        self.assertEqual(bench.front.memory_account.held, 0)
        bench, _ = self.read(head + b"Transfer-Encoding: chunked\r\n\r\n" + chunk * 4 + b"0\r\n\r\n")
        self.assertEqual(len(bench.exchanges[0].body), limit)
        bench, _ = self.read(head + b"Content-Length: %d\r\n\r\n" % limit + b"x" * limit)
        self.assertEqual(len(bench.exchanges[0].body), limit)

    def test_limits_are_read_anew_for_each_request(self):
        bench = FrontBench()
        caller = bench.caller()
        post = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n" + b"x" * 100
        caller.feed(post)
        bench.exchanges[0].reply(200, [], b"")
        bench.limits.body_bytes = 99
        caller.take()
        caller.feed(post)
        self.assertTrue(caller.take().startswith(b"HTTP/1.1 413 "))

    def test_continue_is_sent_only_for_a_body_that_is_wanted(self):
        head = b"POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-Continue\r\nContent-Length: %d\r\n\r\n"
        bench, caller = self.read(head % 2)
        self.assertEqual(caller.take(), b"HTTP/1.1 100 Continue\r\n\r\n")
        caller.feed(b"hi")
        self.assertEqual(bench.exchanges[0].body, b"hi")
        self.assertIsNone(bench.exchanges[0].header("expect"))
        _, caller = self.read(head % 2 + b"hi")
        self.assertEqual(caller.take(), b"")
        self.refused(head % 100000, 413)

    def test_slow_heads_and_bodies_get_408(self):
        for data, after in (
            (b"GET / HT", Limits.header_s),
            (b"\r\n", None),
            (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhi", Limits.idle_s),
        ):
            bench, caller = self.read(data)
            if after is None:
                bench.reactor.advance(Limits.idle_s)
                self.assertEqual((caller.take(), caller.ended is None), (b"", False))
                continue
            for _ in range(10):
                bench.reactor.advance(after / 10.01)
                if b"Content-Length" not in data:
                    caller.feed(b"x")  # however steadily a head trickles in
            self.assertEqual(caller.take(), b"")
            bench.reactor.advance(after / 10)
            self.assertTrue(caller.take().startswith(b"HTTP/1.1 408 "))
            bench.reactor.advance(LINGER_TIME)
            self.assertIsNotNone(caller.ended)
            self.assertEqual(bench.front.clients, {})

    def test_idle_connections_are_closed_without_a_word(self):
        bench = FrontBench()
        fresh, kept = bench.caller(), bench.caller()
        bench.reactor.advance(10)
        kept.feed(GET)
        bench.exchanges[0].reply(200, [], b"")
        kept.take()
        bench.reactor.advance(Limits.idle_s - 10)
        self.assertIsInstance(fresh.ended, error.ConnectionDone)
        self.assertIsNone(kept.ended)
        bench.reactor.advance(10)
        self.assertIsInstance(kept.ended, error.ConnectionDone)
        self.assertEqual(fresh.take() + kept.take(), b"")

    def test_a_request_under_way_is_never_closed_as_idle(self):
        bench, caller = self.read(GET)
        bench.reactor.advance(100)
        self.assertIsNone(caller.ended)
        bench.exchanges[0].reply(200, [], b"")
        bench.reactor.advance(Limits.idle_s - 0.1)
        self.assertIsNone(caller.ended)
        bench.reactor.advance(0.2)
        self.assertIsNotNone(caller.ended)

    def test_half_read_bodies_are_bounded_together(self):
        """The sum is checked as bytes come: the heads are all there before the first byte of a body."""
        bench = FrontBench(memory_limit=SMALL_REQUEST)
        callers = [bench.caller(f"10.0.0.{number}") for number in range(40)]
        for caller in callers:
            caller.feed(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4000\r\n\r\n")
        for caller in callers:
            caller.feed(b"x" * 3999)
            self.assertLessEqual(bench.front.memory_account.held, SMALL_REQUEST)
        refused = [caller for caller in callers if caller.take().startswith(b"HTTP/1.1 503 ")]
        self.assertGreater(len(refused), 20)
        for caller in callers:
            caller.peer_closes()
        self.assertEqual(bench.front.memory_account.held, 0)

    def test_bodies_of_requests_under_way_count(self):
        bench = FrontBench(memory_limit=SMALL_REQUEST, bound=100)
        post = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4000\r\n\r\n" + b"x" * 4000
        callers = [bench.caller(f"10.0.0.{number}") for number in range(40)]
        for caller in callers:
            caller.feed(post)
        under_way = len(bench.exchanges)
        self.assertLessEqual(4000 * under_way, SMALL_REQUEST)
        self.assertGreater(under_way, 10)
        answer = callers[-1].take()
        self.assertTrue(answer.startswith(b"HTTP/1.1 503 "))
        self.assertIn(b"Retry-After: 1\r\n", answer)
        callers[0].peer_closes()
        self.assertGreater(bench.front.memory_account.held, 4000 * (under_way - 1))
        bench.exchanges[1].reply(200, [], b"")
        bench.caller("10.0.1.1").feed(post)
        self.assertEqual(len(bench.exchanges), under_way + 1)

    def test_a_request_whose_client_is_gone_keeps_its_room_until_it_ends(self):
        ends = defer.Deferred()

        async def run(_exchange):
            await ends

        bench = FrontBench(run)
        caller = bench.caller()
        caller.feed(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4000\r\n\r\n" + b"x" * 4000)
        caller.peer_closes()
        self.assertGreater(bench.front.memory_account.held, 4000)
        ends.callback(None)
        self.assertEqual(bench.front.memory_account.held, 0)

    def test_one_that_stands_still_gives_way_to_one_that_moves(self):
        bench = FrontBench(memory_limit=SMALL_REQUEST)
        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4000\r\n\r\n"
        still = [bench.caller(f"10.0.0.{number}") for number in range(12)]
        for caller in still:
            caller.feed(head + b"x" * 3000)
        bench.reactor.advance(STANDS_STILL_AFTER)
        moving = [bench.caller(f"10.0.1.{number}") for number in range(12)]
        for caller in moving:
            caller.feed(head + b"x" * 4000)
        self.assertEqual(len(bench.exchanges), 12)
        self.assertGreater(sum(caller.take().startswith(b"HTTP/1.1 503 ") for caller in still), 0)

    def test_one_client_does_not_take_the_room_of_all(self):
        bench = FrontBench(memory_limit=SMALL_REQUEST)
        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4000\r\n\r\n"
        greedy = [bench.caller("10.0.0.1") for _ in range(40)]
        for caller in greedy:
            caller.feed(head + b"x" * 3999)
        self.assertLessEqual(bench.front.memory_account.held, SMALL_REQUEST // 2)
        bench.caller("10.0.0.2").feed(head + b"x" * 4000)
        self.assertEqual(len(bench.exchanges), 1)

    def test_a_flood_of_malformed_requests_is_logged_once_a_second(self):
        bench = FrontBench()
        for _ in range(50):
            bench.caller().feed(b"nonsense\r\n\r\n")
        self.assertEqual(sum("request_malformed" in line for line in bench.lines), 1)
        bench.reactor.advance(1.0)
        bench.caller().feed(b"nonsense\r\n\r\n")
        self.assertIn("left_out=49", bench.lines[-1])

    def test_a_body_that_comes_byte_by_byte_ends(self):
        bench = FrontBench()
        caller = bench.caller()
        caller.feed(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4000\r\n\r\n")
        for _ in range(int(BODY_TIME / 10) - 1):
            bench.reactor.advance(10)
            caller.feed(b"x")
            self.assertEqual(caller.take(), b"")
        bench.reactor.advance(10)
        self.assertTrue(caller.take().startswith(b"HTTP/1.1 408 "))

    def test_connections_are_bounded_and_the_idlest_goes(self):
        bench = FrontBench(clients_limit=3)
        busy, idle, used = bench.caller(), bench.caller(), bench.caller()
        busy.feed(GET)
        used.feed(GET)
        bench.exchanges[1].reply(200, [], b"")
        fourth = bench.caller()
        self.assertEqual([one.ended is None for one in (busy, idle, used, fourth)], [True, False, True, True])
        for caller in (used, fourth):
            caller.feed(GET)
        fifth = bench.caller()
        self.assertIsInstance(fifth.ended, error.ConnectionAborted)
        self.assertEqual(len(bench.front.clients), 3)

    def test_a_half_read_request_gives_its_connection_to_a_new_client(self):
        bench = FrontBench(clients_limit=2)
        busy, slow = bench.caller(), bench.caller()
        busy.feed(GET)
        slow.feed(GET[:-5])
        third = bench.caller()
        third.feed(GET)
        self.assertIsInstance(slow.ended, error.ConnectionAborted)
        self.assertEqual((len(bench.exchanges), len(bench.front.clients)), (2, 2))

    def test_a_connection_that_lingers_after_a_refusal_counts(self):
        bench = FrontBench(clients_limit=2)
        refused, busy = bench.caller(), bench.caller()
        busy.feed(GET)
        refused.feed(b"nonsense\r\n\r\n")
        bench.caller().feed(GET)
        self.assertIsInstance(refused.ended, error.ConnectionAborted)
        self.assertEqual((len(bench.exchanges), len(bench.front.clients)), (2, 2))

    def test_what_follows_a_refusal_is_dropped(self):
        bench, caller = self.refused(b"nonsense\r\n\r\n", 400)
        caller.feed(GET)
        self.assertEqual((bench.exchanges, caller.take()), ([], b""))


class Answering(unittest.TestCase):
    def setUp(self):
        self.bench = FrontBench(bound=1000)
        self.caller = self.bench.caller()

    def ask(self, data=GET):
        self.caller.feed(data)
        return self.bench.exchanges[-1]

    def test_reply(self):
        self.ask().reply(201, [(b"X", b"y"), (b"Content-Length", b"77"), (b"Connection", b"close")], b"hello")
        head, _, body = self.caller.take().partition(b"\r\n\r\n")
        self.assertEqual(body, b"hello")
        self.assertEqual(
            head.split(b"\r\n"), [b"HTTP/1.1 201 Created", b"X: y", b"Content-Length: 5", b"Keep-Alive: timeout=14"]
        )
        self.assertEqual((self.bench.exchanges[0].finished, self.caller.ended), (True, None))

    def test_chunks(self):
        exchange = self.ask()
        exchange.start(200, [], None)
        exchange.write(b"")
        exchange.write(b"a" * 17)
        exchange.finish(b"b")
        head, _, body = self.caller.take().partition(b"\r\n\r\n")
        self.assertIn(b"Transfer-Encoding: chunked", head)
        self.assertEqual(body, b"11\r\n" + b"a" * 17 + b"\r\n1\r\nb\r\n0\r\n\r\n")

    def test_head_leaves_in_the_same_turn_without_a_body(self):
        self.ask().start(200, [], None)
        self.assertEqual(self.caller.take(), b"")
        self.bench.reactor.advance(0)
        self.assertTrue(self.caller.take().endswith(b"\r\n\r\n"))

    def test_answers_without_body(self):
        for request, status, length, shown in (
            (GET.replace(b"GET", b"HEAD"), 200, 7, b"Content-Length: 7"),
            (GET, 304, 7, b"Content-Length: 7"),
            (GET, 204, 0, None),
            (GET.replace(b"GET", b"HEAD"), 200, None, None),
        ):
            exchange = self.ask(request)
            exchange.start(status, [], length)
            exchange.write(b"dropped")
            exchange.finish()
            answer = self.caller.take()
            self.assertTrue(answer.endswith(b"\r\n\r\n"), answer)
            self.assertNotIn(b"chunked", answer)
            self.assertEqual(b"Content-Length" in answer, shown is not None)
        self.assertIsNone(self.caller.ended)

    def test_wrong_lengths_never_poll_complete(self):
        exchange = self.ask()
        exchange.start(200, [], 5)
        exchange.write(b"hell")
        with self.assertRaises(RuntimeError):
            exchange.finish()
        self.assertTrue(self.caller.take().endswith(b"\r\n\r\nhell"))
        self.assertIsNotNone(self.caller.ended)
        self.caller = self.bench.caller()
        exchange = self.ask()
        exchange.start(200, [], 5)
        exchange.write(b"hell")
        with self.assertRaises(RuntimeError):
            exchange.write(b"oo")
        self.assertTrue(self.caller.take().endswith(b"\r\n\r\nhell"))
        self.assertIsNotNone(self.caller.ended)

    def test_an_answer_without_a_head(self):
        exchange = self.ask()
        for call in (exchange.finish, lambda: exchange.finish(b"x"), lambda: exchange.write(b"x")):
            with self.assertRaises(RuntimeError):
                call()
        self.assertEqual(self.caller.take(), b"")

    def test_abort(self):
        exchange = self.ask()
        gone = []
        exchange.gone.addCallback(gone.append)
        exchange.start(200, [], None)
        exchange.write(b"a")
        exchange.abort()
        self.assertTrue(self.caller.take().endswith(b"\r\n\r\n1\r\na\r\n"))
        self.assertEqual((gone, exchange.is_gone, exchange.finished), ([None], True, False))
        exchange.write(b"late")
        exchange.finish()
        exchange.abort()
        self.assertEqual(self.caller.take(), b"")

    def test_caller_that_leaves(self):
        exchange = self.ask()
        gone = []
        exchange.gone.addCallback(gone.append)
        exchange.start(200, [], None)
        self.caller.peer_closes()
        self.bench.reactor.advance(1)
        self.assertEqual((gone, exchange.is_gone), ([None], True))
        exchange.write(b"late")
        exchange.finish()
        exchange.abort()
        self.assertEqual((self.caller.take(), self.bench.front.running, self.bench.front.clients), (b"", 0, {}))
        self.assertEqual(self.bench.reactor.getDelayedCalls(), [])

    def test_line_breaks_in_headers_are_no_headers(self):
        for field in ((b"X", b"a\r\nY: b"), (b"X", b"a\nb"), (b"X\r\nY", b"b"), (b"X", b"a\rb")):
            exchange = self.ask()
            with self.assertRaises(MalformedMessageError):
                exchange.start(200, [field], 0)
            self.assertEqual(self.caller.take(), b"")
            exchange.reply(500, [], b"")
            self.caller.take()

    def test_pipelined_requests_one_at_a_time(self):
        self.caller.feed(b"".join(GET.replace(b"/a/b", b"/%d" % at) for at in range(3)))
        for at in range(3):
            self.assertEqual([one.path for one in self.bench.exchanges], [f"/{one}" for one in range(at + 1)])
            self.assertEqual(self.caller.take(), b"")
            self.bench.exchanges[at].reply(200, [], b"%d" % at)
            self.assertTrue(self.caller.take().endswith(b"\r\n\r\n%d" % at))

    def test_a_caller_that_sends_far_ahead_is_held_up(self):
        self.ask()
        many = 2 * READ_AHEAD_LIMIT // len(GET)
        for _ in range(many):
            self.caller.feed(GET)
        self.assertTrue(self.caller.paused)
        while not self.bench.exchanges[-1].finished:
            self.bench.exchanges[-1].reply(200, [], b"")
        self.assertFalse(self.caller.paused)
        self.assertEqual(len(self.bench.exchanges), many + 1)

    def test_many_at_once_answered_in_the_same_turn(self):
        async def handler(exchange):
            exchange.reply(200, [], exchange.path.encode())

        bench = FrontBench(handler)
        caller = bench.caller()
        caller.feed(GET * 3000)
        self.assertEqual(caller.take().count(b"\r\n\r\n/a/b"), 3000)
        self.assertEqual((bench.front.running, len(bench.front.clients)), (0, 1))

    def test_close_when_asked(self):
        self.ask(GET[:-2] + b"Connection: Close\r\n\r\n").reply(200, [], b"")
        self.assertIn(b"\r\nConnection: close\r\n", self.caller.take())
        self.assertIsNotNone(self.caller.ended)

    def test_what_follows_a_last_request_cannot_take_its_answer_away(self):
        exchange = self.ask(GET[:-2] + b"Connection: close\r\n\r\n" + GET)
        exchange.reply(200, [], b"")
        self.assertEqual((self.caller.half_closed, self.caller.ended), (True, None))
        self.caller.feed(GET)
        self.bench.reactor.advance(LINGER_TIME)
        self.assertIsNotNone(self.caller.ended)
        self.assertEqual(len(self.bench.exchanges), 1)

    def test_bound(self):
        refused = []

        def refuse(exchange):
            refused.append(exchange)
            exchange.reply(503, [(b"Retry-After", b".2")], b"")

        bench = FrontBench(bound=1, refuse=refuse)
        callers = [bench.caller(), bench.caller()]
        for caller in callers:
            caller.feed(GET)
        self.assertEqual((len(bench.exchanges), len(refused)), (1, 1))
        self.assertIn(b"Retry-After: .2", callers[1].take())
        bench.exchanges[0].reply(200, [], b"")
        callers[0].peer_closes()

    def test_crashes(self):
        async def handler(exchange):
            if exchange.path == "/begun":
                exchange.start(200, [], None)
                exchange.write(b"x")
            if exchange.path != "/silent":
                raise KeyError("why")

        shown = []

        def on_crash(exchange, fault):
            shown.append(fault)
            exchange.reply(500, [], b"sorry")

        bench = FrontBench(handler, on_crash=on_crash)
        for path, ends in ((b"/none", b"\r\n\r\nsorry"), (b"/silent", b"\r\n\r\nsorry"), (b"/begun", b"1\r\nx\r\n")):
            caller = bench.caller()
            caller.feed(GET.replace(b"/a/b?c=d", path))
            self.assertTrue(caller.take().endswith(ends))
            self.assertEqual(caller.ended is not None, path == b"/begun")
        self.assertEqual([type(one) for one in shown], [KeyError, RuntimeError])
        self.assertEqual(bench.front.running, 0)

    def test_crash_of_the_crash_hook(self):
        async def handler(_exchange):
            raise KeyError("why")

        bench = FrontBench(handler, on_crash=lambda exchange, fault: 1 / 0)
        caller = bench.caller()
        caller.feed(GET)
        self.assertEqual((caller.take(), caller.ended is None), (b"", False))

    def test_work_after_the_answer_does_not_hold_the_connection(self):
        done = defer.Deferred()

        async def handler(exchange):
            exchange.reply(200, [], b"")
            await done

        bench = FrontBench(handler)
        caller = bench.caller()
        caller.feed(GET + GET)
        self.assertEqual((caller.take().count(b"200 OK"), bench.front.running), (2, 2))
        done.callback(None)

    def test_stopping_says_close_on_the_last_answer(self):
        self.caller.feed(GET + GET)
        self.bench.front.stopping = True
        self.bench.exchanges[0].reply(200, [], b"")
        self.assertNotIn(b"Connection: close", self.caller.take())
        self.bench.exchanges[1].reply(200, [], b"")
        self.assertIn(b"Connection: close", self.caller.take())
        self.assertIsNotNone(self.caller.ended)

    def test_a_caller_that_does_not_read(self):
        exchange = self.ask()
        exchange.start(200, [], None)
        exchange.write(b"x")
        self.caller.protocol.pauseProducing()
        self.assertTrue(exchange.is_full)
        waiting = defer.ensureDeferred(exchange.wait_writable())
        self.assertFalse(waiting.called)
        self.caller.protocol.resumeProducing()
        self.assertTrue(waiting.called)
        self.bench.reactor.advance(100)
        self.assertIsNone(self.caller.ended)
        self.caller.protocol.pauseProducing()
        waiting = defer.ensureDeferred(exchange.wait_writable())
        self.bench.reactor.advance(Limits.idle_s)
        self.assertIsInstance(self.caller.ended, error.ConnectionAborted)
        self.assertTrue(waiting.called and exchange.is_gone)


class Asker(protocol.Protocol):
    """A caller in the simulator; keeps what it got, and how the connection ended."""

    def __init__(self):
        self.got, self.ended = b"", None

    def dataReceived(self, data):
        self.got += data

    def connectionLost(self, reason=protocol.connectionDone):
        self.ended = reason.value


class Stopping(unittest.TestCase):
    def setUp(self):
        import random

        self.time = SimTime()
        network = SimNetwork(self.time, random.Random(7))
        self.gate, self.away = SimHost(network, "10.0.0.1"), SimHost(network, "10.0.0.2")
        self.reactor = SimReactor(self.gate)

        async def handler(exchange):
            if not exchange.path.startswith("/slow"):
                exchange.reply(200, [], b"done")
                return
            exchange.start(200, [], None)
            for _ in range(20):
                await sleep(self.reactor, 0.1)
                exchange.write(b"piece")
            exchange.finish()

        self.front = Listener(self.reactor, "10.0.0.1:80", handler, Limits, EventLogger(lambda line: None), 100)
        self.front.listen()

    def dial(self, *requests):
        requester = Asker()
        factory = protocol.ClientFactory()
        factory.noisy = False
        factory.protocol = lambda: requester
        SimReactor(self.away).connectTCP("10.0.0.1", 80, factory)
        self.pass_time(0.05)
        for request in requests:
            requester.transport.write(request)
        self.pass_time(0.05)
        return requester

    def pass_time(self, seconds):
        self.time.advance_to(self.time.now + seconds)

    def stop(self, grace):
        ended = []
        defer.ensureDeferred(self.front.stop(grace)).addCallback(lambda _: ended.append(self.time.now))
        return ended

    def test_requests_under_way_are_finished(self):
        idle, slow, part = self.dial(), self.dial(GET.replace(b"/a", b"/slow")), self.dial(GET[:20])
        ended = self.stop(8.0)
        self.pass_time(QUIET_TIME / 2)
        late = Asker()
        idle.transport.write(GET)
        part.transport.write(GET[20:])
        self.pass_time(0.1)
        for one in (idle, part):
            self.assertIn(b"Connection: close", one.got)
            self.assertTrue(one.got.endswith(b"\r\n\r\ndone"))
        self.pass_time(1.0)
        self.assertEqual((ended, self.front.running, late.got), ([], 1, b""))
        self.pass_time(1.5)
        self.assertTrue(slow.got.endswith(b"0\r\n\r\n"))
        self.assertEqual((len(ended), self.front.clients, self.front.running), (1, {}, 0))

    def test_idle_connections_are_closed_once_quiet(self):
        idle = self.dial(GET)
        ended = self.stop(8.0)
        self.pass_time(QUIET_TIME / 2)
        self.assertIsNone(idle.ended)
        self.pass_time(QUIET_TIME)
        self.assertIsInstance(idle.ended, error.ConnectionDone)
        self.assertEqual(len(ended), 1)

    def test_after_the_grace_no_answer_looks_complete(self):
        slow = self.dial(GET.replace(b"/a", b"/slow"))
        ended = self.stop(1.0)
        self.pass_time(1.2)
        self.assertEqual(len(ended), 1)
        self.assertIn(b"piece", slow.got)
        self.assertFalse(slow.got.endswith(b"0\r\n\r\n"))
        self.assertIsNotNone(slow.ended)

    def test_nobody_new_is_let_in(self):
        self.stop(1.0)
        late = Asker()
        failed = []
        factory = protocol.ClientFactory()
        factory.noisy = False
        factory.protocol = lambda: late
        factory.clientConnectionFailed = lambda connector, reason: failed.append(reason.value)
        SimReactor(self.away).connectTCP("10.0.0.1", 80, factory)
        self.pass_time(0.1)
        self.assertIsInstance(failed[0], error.ConnectionRefusedError)


class Sockets(unittest.TestCase):
    """On real sockets, whose events the test fires."""

    def setUp(self):
        self.bench = FrontBench()
        self.reactor = Reactor()
        self.transport, self.peer = tcp_pair(self.bench.reactor.listening[0].buildProtocol(None), self.reactor)
        self.peer.settimeout(10)
        self.addCleanup(self.peer.close)
        self.addCleanup(self.transport.socket.close)

    def test_a_new_connection_finds_place_though_heads_have_come_on_all_idle_ones(self):
        """None of them is idle once it is looked at, so one in the middle of a request makes place."""
        front = self.bench.front
        front.clients_limit = 2
        self.peer.sendall(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n")
        transports = [self.transport]
        for _ in range(3):
            transport, peer = tcp_pair(self.bench.reactor.listening[0].buildProtocol(None), self.reactor)
            self.addCleanup(peer.close)
            self.addCleanup(transport.socket.close)
            peer.sendall(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n")
            transports.append(transport)
            self.assertLessEqual(len(front.clients), 2)
        self.assertIn(transports[-1].protocol, front.clients)

    def test_answers_leave_in_the_turn_they_are_written(self):
        self.peer.sendall(GET)
        self.transport.doRead()
        self.bench.exchanges[0].reply(200, [], b"hello")
        self.assertTrue(self.peer.recv(4096).endswith(b"\r\n\r\nhello"))
        self.assertEqual(self.reactor.writers, set())

    def test_a_caller_that_does_not_read_fills_no_memory(self):
        self.peer.sendall(GET)
        self.transport.doRead()
        (exchange,) = self.bench.exchanges
        exchange.start(200, [], None)
        written = 0
        while not exchange.is_full:
            exchange.write(b"x" * 65536)
            written += 65536
            self.assertLess(written, 64 << 20)
        waiting = defer.ensureDeferred(exchange.wait_writable())
        self.assertIn(self.transport, self.reactor.writers)
        got = 0
        while not waiting.called:
            got += len(self.peer.recv(1 << 20))
            self.transport.doWrite()
        exchange.finish()
        rest = b""
        while not rest.endswith(b"0\r\n\r\n"):
            rest = rest[-10:] + self.peer.recv(1 << 20)
            if self.transport in self.reactor.writers:
                self.transport.doWrite()

    def test_a_request_that_is_there_when_its_connection_would_be_closed_is_served(self):
        self.peer.sendall(GET)
        self.transport.protocol.close_idle()
        self.assertEqual(len(self.bench.exchanges), 1)
        self.bench.exchanges[0].reply(200, [], b"ok")
        self.transport.protocol.close_idle()
        self.assertTrue(self.transport.disconnecting)

    def test_what_came_in_time_is_read_before_time_is_over(self):
        self.peer.sendall(GET[:20])
        self.transport.doRead()
        self.peer.sendall(GET[20:])
        self.bench.reactor.advance(Limits.header_s)
        self.assertEqual(len(self.bench.exchanges), 1)
        self.bench.exchanges[0].reply(200, [], b"")
        self.peer.sendall(GET)
        self.bench.reactor.advance(Limits.idle_s)
        self.assertEqual((len(self.bench.exchanges), self.transport.disconnecting), (2, 0))

    def test_answer_to_one_who_still_sends_arrives_before_the_end(self):
        self.peer.sendall(b"nonsense\r\n\r\n" + b"x" * 1000)
        self.transport.doRead()
        self.transport.doWrite()
        self.assertTrue(self.peer.recv(4096).startswith(b"HTTP/1.1 400 "))
        self.assertEqual(self.peer.recv(10), b"")
        self.assertFalse(self.transport.disconnected)


def pieces_of(data, cuts):
    places = sorted({cut % (len(data) + 1) for cut in cuts})
    return [data[one:other] for one, other in zip([0, *places], [*places, len(data)])]


def served(pieces):
    """What an echoing front made of the pieces: (the requests it read, all it sent, whether it closed)."""
    seen = []

    async def handler(exchange):
        seen.append((exchange.method, exchange.target, exchange.host, tuple(exchange.headers), exchange.body))
        exchange.reply(200, [], exchange.body)

    bench = FrontBench(handler)
    caller = bench.caller()
    for piece in pieces:
        caller.feed(piece)
    return seen, caller.value(), caller.half_closed or caller.ended is not None


BODIES = strategies.binary(max_size=40)
CUTS = strategies.lists(strategies.integers(0, 5000), max_size=12)


@strategies.composite
def requests(draw):
    """(bytes, what should be read of them)"""
    body, at = draw(BODIES), draw(strategies.integers(0, 999))
    head = b"POST /%d HTTP/1.1\r\nHost: h\r\nCall-Id: %d\r\n" % (at, at)
    expected = ("POST", b"/%d" % at, "h", ((b"Host", b"h"), (b"Call-Id", b"%d" % at)), body)
    if draw(strategies.booleans()):
        return head + b"Content-Length: %d\r\n\r\n" % len(body) + body, expected
    chunks = b"".join(
        b"%x\r\n%b\r\n" % (len(piece), piece)
        for piece in pieces_of(body, draw(strategies.lists(strategies.integers(0, 40), max_size=3)))
        if piece
    )
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n", expected


class Properties(unittest.TestCase):
    @settings(max_examples=300, deadline=None)
    @given(strategies.lists(requests(), max_size=4), CUTS)
    def test_what_is_sent_is_what_is_read(self, sent, cuts):
        data = b"".join(one for one, _ in sent)
        seen, answers, closed = served(pieces_of(data, cuts))
        self.assertEqual(seen, [expected for _, expected in sent])
        self.assertEqual((answers.count(b"HTTP/1.1 200 OK\r\n"), closed), (len(sent), False))

    @settings(max_examples=600, deadline=None)
    @given(strategies.lists(requests(), min_size=1, max_size=3), strategies.data())
    def test_broken_bytes(self, sent, data):
        """Whatever is broken: what came before is read as sent, how the bytes are split changes nothing, and nothing
        is read once the front has called it malformed."""
        whole = b"".join(one for one, _ in sent)
        at = data.draw(strategies.integers(0, len(whole) - 1))
        junk = data.draw(
            strategies.one_of(
                strategies.binary(max_size=4),
                strategies.sampled_from(
                    [
                        b"\r\n",
                        b"\n",
                        b"\r",
                        b"0\r\n\r\n",
                        b"Content-Length: 3\r\n",
                        b"Transfer-Encoding: chunked\r\n",
                        b" ",
                        b":",
                    ]
                ),
            )
        )
        gone = data.draw(strategies.integers(0, 3))
        broken = whole[:at] + junk + whole[at + gone :]
        seen, answers, closed = served([broken])
        intact, size = 0, 0
        for one, _ in sent:
            size += len(one)
            intact += size <= at
        self.assertEqual(seen[:intact], [expected for _, expected in sent[:intact]])
        self.assertEqual(answers.count(b"HTTP/1.1 200 OK\r\n") >= len(seen), True)
        for method, target, _, _, body in seen:
            self.assertIn(method.encode() + b" " + target, broken)
            self.assertLessEqual(len(body), len(broken))
        self.assertEqual(served(pieces_of(broken, data.draw(CUTS))), (seen, answers, closed))
        self.assertEqual(served([broken[place : place + 1] for place in range(len(broken))]), (seen, answers, closed))

    @settings(max_examples=600, deadline=None)
    @given(BODIES, CUTS, strategies.data())
    def test_chunks_as_twisted_reads_them(self, body, cuts, data):
        chunked = (
            b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces_of(body, cuts) if piece) + b"0\r\n\r\n"
        )
        at = data.draw(strategies.integers(0, len(chunked)))
        junk = data.draw(strategies.binary(max_size=3))
        chunked = chunked[:at] + junk + chunked[at + data.draw(strategies.integers(0, 2)) :] + b"rest"
        theirs, ours, rest = [], [], []
        decoder = _ChunkedTransferDecoder(theirs.append, rest.append)
        try:
            decoder.dataReceived(chunked)
            theirs = b"".join(theirs), rest
        except _MalformedChunkedDataError:
            theirs = None
        decoder = ChunkedDecoder(1 << 16)
        try:
            for piece in pieces_of(chunked, data.draw(CUTS)):
                if decoder.done:
                    decoder.rest += piece
                    continue
                ours += decoder.feed(piece)
            ours = b"".join(ours), [decoder.rest] if decoder.done else []
        except MalformedMessageError:
            ours = None
        if ours is None and theirs is not None:
            self.assertEqual(theirs[1], [])  # Twisted waits for more of a line that cannot become one
            return
        self.assertEqual(ours, theirs)


if __name__ == "__main__":
    unittest.main()
