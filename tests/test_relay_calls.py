"""Whom an answer goes to and how often a request is sent: the relay's promises, one mechanism each, without a fleet."""

import os
import sys
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from oakramp.common.constants import ANSWER_HELD, CONNECT_TIME  # noqa: E402
from oakramp.gateway.proxy_types import ProxyRequest  # noqa: E402
from relay_bench import STREAM_END, STREAM_HEAD, Gate, Said, answer, event, request  # noqa: E402

PROMISES = (408, 421, 429, 503)


class Calls(unittest.TestCase):
    def setUp(self):
        self.gate = Gate()

    def tearDown(self):
        self.assertEqual([line for line in self.gate.lines if "rashed" in line], [])

    def said(self, caller):
        return Said(caller.value())

    def is_closed_within_half_a_second(self, replica):
        self.gate.run(0.5)
        return replica.ended is not None


class Promises(Calls):
    """408, 421, 429 and 503 tell a caller that its request never runs; only a replica's own word can back them."""

    def test_a_refusal_without_the_replicas_word_is_no_promise(self):
        for status in (408, 429, 503):
            caller = self.gate.ask(request("unsafe"))
            self.gate.replica().feed(answer(status))
            said = self.said(caller)
            self.assertEqual((said.status, said.header("Postmark"), self.gate.dialled()), (502, None, 1), status)
            self.setUp()

    def test_who_may_be_repeated_goes_on_after_it(self):
        caller = self.gate.ask(request("safe"))
        self.gate.replica().feed(answer(503))
        self.gate.replica().feed(answer())
        self.assertEqual(self.said(caller).status, 200)

    def test_a_key_stays_claimed_after_it(self):
        caller = self.gate.ask(request("tracked", Operation_Key="k"))
        self.gate.replica().feed(answer(503))
        self.assertEqual(self.said(caller).status, 502)
        again = self.gate.ask(request("tracked", "t2", Operation_Key="k"))
        self.assertEqual((self.said(again).status, self.gate.dialled()), (409, 1))

    def test_a_refusal_without_its_word_is_read_no_further(self):
        self.gate.ask(request("unsafe"))
        replica = self.gate.replica()
        replica.feed(answer(503, body=b"x" * 50)[:-20])
        self.assertIsNotNone(replica.ended)

    def test_a_success_is_never_a_promise(self):
        caller = self.gate.ask(request("unsafe"))
        self.gate.replica().feed(answer(200, Not_Run="1"))
        self.assertEqual((self.said(caller).status, self.gate.dialled()), (200, 1))

    def test_other_failures_are_passed_on_unchanged(self):
        for status in (400, 404, 409, 500, 502, 504):
            caller = self.gate.ask(request("unsafe"))
            self.gate.replica().feed(answer(status))
            said = self.said(caller)
            self.assertEqual((said.status, said.header("Postmark"), said.body), (status, "st.1", b"hello"))
            self.setUp()


class RemovedRoutes(Calls):
    def test_a_place_that_comes_after_its_route_went_is_given_back(self):
        self.gate.balancer.places = dict.fromkeys(self.gate.balancer.places, 0)
        caller = self.gate.ask(request("unsafe"))
        del self.gate.router.routes["/unsafe/"]
        self.gate.balancer.places = dict.fromkeys(self.gate.balancer.places, 1)
        self.gate.run(0.1)
        self.assertEqual((self.said(caller).status, self.gate.dialled()), (404, 0))
        self.assertEqual(set(self.gate.balancer.places.values()), {1})


class StaleRouting(Calls):
    def test_a_place_that_comes_once_the_routing_is_too_old_is_given_back_at_once(self):
        """The gateway asked for a place again and again in one turn of the reactor, and took in no newer routing."""
        for kind in ("safe", "unsafe", "stream", "tracked"):
            with self.subTest(kind=kind):
                self.gate.balancer.places = dict.fromkeys(self.gate.balancer.places, 0)
                caller = self.gate.ask(request(kind, Operation_Key="k"))
                self.gate.run(0.1)
                self.gate.router.stale = "too old"
                self.gate.balancer.places = dict.fromkeys(self.gate.balancer.places, 1)
                self.gate.run(0.1)
                self.assertEqual((self.said(caller).status, self.gate.dialled()), (503, 0))
                self.assertEqual(set(self.gate.balancer.places.values()), {1})
                self.setUp()


class Leaving(Calls):
    """A caller that goes away frees its replica, and nothing is sent for it any more."""

    def test_while_a_replica_works_before_its_answers_head(self):
        for kind in ("safe", "stream", "once"):
            caller = self.gate.ask(request(kind))
            replica = self.gate.replica()
            self.gate.run(0.1)
            caller.peer_closes()
            self.assertTrue(self.is_closed_within_half_a_second(replica), kind)
            self.assertEqual((self.gate.dialled(), self.gate.front.running, self.gate.balancer.blamed), (1, 0, []))
            self.setUp()

    def test_while_its_connection_is_being_made(self):
        caller = self.gate.ask(request("unsafe"))
        caller.peer_closes()
        self.assertEqual(self.gate.replica().take(), b"")
        self.assertEqual(self.gate.front.running, 0)

    def test_while_it_waits_for_room(self):
        for kind in ("safe", "unsafe", "tracked", "once"):
            self.gate.balancer.places = dict.fromkeys(self.gate.balancer.places, 0)
            caller = self.gate.ask(request(kind, Operation_Key="k"))
            self.gate.run(0.1)
            caller.peer_closes()
            self.gate.balancer.places = dict.fromkeys(self.gate.balancer.places, 1)
            self.gate.run(1.0)
            self.assertEqual((self.gate.dialled(), self.gate.front.running), (0, 0), kind)
            self.setUp()

    def test_a_key_is_free_again_if_its_caller_left_before_it_was_sent(self):
        self.gate.balancer.places = dict.fromkeys(self.gate.balancer.places, 0)
        caller = self.gate.ask(request("tracked", Operation_Key="k"))
        caller.peer_closes()
        self.gate.run(0.1)
        self.gate.balancer.places = dict.fromkeys(self.gate.balancer.places, 1)
        again = self.gate.ask(request("tracked", "t2", Operation_Key="k"))
        self.gate.replica().feed(answer(try_id="t2"))
        self.assertEqual(self.said(again).status, 200)

    def test_in_the_middle_of_a_long_answer(self):
        caller = self.gate.ask(request("safe"))
        replica = self.gate.replica()
        replica.feed(answer(body=b"x" * (3 * ANSWER_HELD))[: 2 * ANSWER_HELD])
        caller.peer_closes()
        self.assertTrue(self.is_closed_within_half_a_second(replica))
        self.assertEqual((self.gate.dialled(), self.gate.front.running, self.gate.balancer.blamed), (1, 0, []))

    def test_a_keyed_call_runs_on_and_its_answer_is_kept(self):
        for at in (0, 20, 100):
            caller = self.gate.ask(request("tracked", Operation_Key="k"))
            replica, data = self.gate.replica(), answer(body=b"y" * 100)
            replica.feed(data[:at])
            caller.peer_closes()
            self.gate.run(0.6)
            replica.feed(data[at:])
            again = self.gate.ask(request("tracked", "t2", Operation_Key="k"))
            said = self.said(again)
            self.assertEqual((said.status, said.header("Postmark"), said.body), (200, "st.1", b"y" * 100), at)
            self.assertEqual((said.header("Try-Id"), self.gate.dialled()), ("t2", 1))
            self.setUp()


class Keys(Calls):
    def test_a_claim_that_was_overtaken_is_no_fault_of_its_caller(self):
        """
        gate                    owner
        claims, number 1 -->    (on its way)
        claims, number 2 -->    claimed; refused by all replicas, taken back
                                number 1 comes in: below what was taken back
        503: come again
        """
        pauses = iter((0.1, 0.0))
        self.gate.keys.pause = lambda: next(pauses, 0.0)
        first = self.gate.ask(request("tracked", "t1", Operation_Key="k"))
        second = self.gate.ask(request("tracked", "t2", Operation_Key="k"))
        for _ in range(3):
            self.gate.replica().feed(answer(503, try_id="t2", stamp=None, Not_Run="1"))
        self.gate.run(0.2)
        self.assertEqual((self.said(second).status, self.said(first).status, self.gate.dialled()), (503, 503, 3))


class Deadlines(Calls):
    def test_a_long_answer_to_a_key_that_stops_coming_ends_with_the_time(self):
        caller = self.gate.ask(request("tracked", Operation_Key="k", time_left=1000))
        replica = self.gate.replica()
        replica.feed(answer(body=b"x" * (3 * ANSWER_HELD))[: 2 * ANSWER_HELD])
        self.gate.run(1.2)
        self.assertEqual((self.said(caller).status, replica.ended is None), (504, False))

    def test_an_answer_that_never_pauses_ends_with_the_time(self):
        for kind, head in (("safe", b"HTTP/1.1 200 OK\r\nTry-Id: t1\r\nPostmark: s\r\n\r\n"), ("once", STREAM_HEAD)):
            caller = self.gate.ask(request(kind, time_left=1000))
            replica, number = self.gate.replica(), 0
            replica.feed(head)
            while caller.ended is None and self.gate.reactor.seconds() < 1.2:
                number += 1
                replica.feed(event(number) if kind == "once" else b"x" * 5000)
                self.gate.run(0.0008, 0.0008)
            self.assertEqual((caller.ended is None, replica.ended is None), (False, False), kind)
            self.setUp()

    def test_a_caller_that_does_not_take_its_answer_holds_its_replica_no_longer_than_its_time(self):
        for kind, data in (("safe", answer(body=b"x" * (3 * ANSWER_HELD))[:-10]), ("stream", STREAM_HEAD + event(1))):
            caller = self.gate.ask(request(kind, time_left=1000))
            replica = self.gate.replica()
            caller.protocol.pauseProducing()
            replica.feed(data[: 2 * ANSWER_HELD])
            replica.feed(data[2 * ANSWER_HELD :])
            self.gate.run(1.2)
            self.assertEqual((caller.ended is None, replica.ended is None), (False, False), kind)
            self.assertEqual(self.gate.balancer.blamed, [])
            self.setUp()

    def test_a_replica_is_handed_what_is_left_when_it_is_sent(self):
        self.gate.ask(request("unsafe", time_left=2000))
        self.gate.run(CONNECT_TIME - 0.1)
        sent = self.gate.replica().take()
        left = int(sent.partition(b"Time-Left-Ms: ")[2].partition(b"\r\n")[0])
        self.assertLessEqual(left, 2000 - 1000 * (CONNECT_TIME - 0.1) + 20)

    def test_a_pipelined_request_has_waited_since_it_came(self):
        caller = self.gate.ask(request("unsafe") + request("unsafe", "t2", time_left=2000))
        replica = self.gate.replica()
        self.gate.run(1.0)
        replica.take()
        replica.feed(answer())
        self.assertRegex(replica.take(), rb"Time-Left-Ms: (1000|999)\r\n")
        self.assertIsNone(caller.ended)

    def test_no_time_left_is_not_all_the_time(self):
        caller = self.gate.ask(request("unsafe", time_left=0))
        self.assertEqual((self.said(caller).status, self.gate.dialled()), (503, 0))


class Bodiless(Calls):
    def test_the_length_told_of_a_body_that_is_not_sent(self):
        """A caller of HEAD asks for just that."""
        for status, method, length in (
            (200, "HEAD", "77"),
            (304, "GET", "77"),
            (200, "HEAD", None),
            (204, "GET", None),
        ):
            caller = self.gate.ask(request("safe", method=method) + request("safe", "t2"))
            replica = self.gate.replica()
            replica.feed(answer(status, b"", Content_Length=length))
            replica.feed(answer(try_id="t2"))
            head, _, rest = caller.value().partition(b"\r\n\r\n")
            told = [line for line in head.split(b"\r\n") if line.lower().startswith(b"content-length")]
            self.assertEqual(told, [b"Content-Length: 77"] if length else [])
            self.assertNotIn(b"Transfer-Encoding", head)
            self.assertEqual((Said(rest).status, Said(rest).body), (200, b"hello"))
            self.setUp()


class Budgets(Calls):
    def test_events_count_by_the_service_that_put_them_out(self):
        """A route may be split over services whose events hold different numbers of tokens: of program "q" the second
        of the route's two, with 20 in each."""
        statuses = []
        for try_id in ("t1", "t2", "t3"):
            caller = self.gate.ask(request("split", try_id, Program="q", Token_Budget=200, Tokens="10,100"))
            if not caller.value():
                connection = self.gate.replica()
                self.assertEqual(self.gate.reactor.dialled[-1].host, self.gate.host_of("e0"))
                head = STREAM_HEAD.replace(b"t1", try_id.encode())
                connection.feed(head + b"".join(map(event, range(1, 6))) + STREAM_END)
                self.gate.run(0.5)
            statuses.append(self.said(caller).status)
        self.assertEqual(statuses, [200, 200, 402])


class ProgramsOfCalls(Calls):
    def test_only_turns_make_a_home(self):
        """A program's call of a tool goes to another service: it neither begins the program nor moves its home."""
        programs = self.gate.relay._programs
        caller = self.gate.ask(request("safe", Program="q"))
        self.gate.replica().feed(answer())
        self.assertEqual(self.said(caller).status, 200)
        self.assertIsNone(programs.home(ProxyRequest(program="q")))
        self.gate.ask(request("split", "t2", Program="q", Tokens="10,100"))
        self.assertEqual(programs.home(ProxyRequest(program="q")), "e0")
        self.gate.ask(request("safe", "t3", Program="q"))
        self.assertEqual(programs.home(ProxyRequest(program="q")), "e0")


class Ambiguous(Calls):
    def test_what_two_readers_could_take_in_two_ways_is_refused(self):
        """A replica that goes by the second of two keys or ids would run what nobody claimed."""
        for twice in (b"Try-Id: t9", b"Operation-Key: k9", b"Time-Left-Ms: 9", b"Last-Event-Id: 9"):
            data = request("tracked", Operation_Key="k", Last_Event_Id=1)
            caller = self.gate.ask(data.replace(b"\r\nHost:", b"\r\n" + twice.lower() + b"\r\nHost:"))
            self.assertEqual((self.said(caller).status, self.gate.dialled()), (400, 0), twice)

    def test_other_headers_may_come_twice(self):
        data = request("unsafe", Accept="a").replace(b"\r\nHost:", b"\r\nAccept: b\r\nHost:")
        self.gate.ask(data)
        self.assertEqual(self.gate.replica().take().count(b"Accept: "), 2)


class Streams(Calls):
    def test_a_long_failure_that_is_cut_is_not_begun_again(self):
        caller = self.gate.ask(request("stream"))
        replica = self.gate.replica()
        replica.feed(answer(500, body=b"x" * (3 * ANSWER_HELD))[: 2 * ANSWER_HELD])
        replica.peer_closes()
        self.gate.run(0.1)
        self.assertIsNotNone(caller.ended)
        self.assertFalse(self.said(caller).whole)
        self.assertEqual(self.gate.dialled(), 1)

    def test_a_client_that_resumes_gets_no_event_again(self):
        """Also from a replica that begins anew."""
        caller = self.gate.ask(request("stream", Last_Event_Id="2"))
        replica = self.gate.replica()
        self.assertEqual(replica.value().lower().count(b"last-event-id: 2\r\n"), 1)
        replica.feed(STREAM_HEAD + b"".join(map(event, range(1, 5))) + STREAM_END)
        self.assertEqual(self.said(caller).body, b"id: 3\ndata: d3\n\nid: 4\ndata: d4\n\n")

    def test_what_has_no_number_is_not_gone_on_with(self):
        caller = self.gate.ask(request("stream"))
        replica, raw = self.gate.replica(), b"data: nameless\n\n"
        replica.feed(STREAM_HEAD + b"%x\r\n%b\r\n" % (len(raw), raw))
        replica.peer_closes()
        self.gate.run(0.1)
        self.assertEqual((caller.ended is None, self.said(caller).whole, self.gate.dialled()), (False, False, 1))

    def test_a_first_replica_that_put_out_nothing_leaves_no_head(self):
        """Its stamp would stand over the events of another run."""
        caller = self.gate.ask(request("stream"))
        replica = self.gate.replica()
        replica.feed(STREAM_HEAD)
        replica.peer_closes()
        self.gate.replica().feed(STREAM_HEAD.replace(b"st.1", b"st.2") + event(1) + STREAM_END)
        said = self.said(caller)
        self.assertEqual((said.header("Postmark"), said.body, said.whole), ("st.2", b"id: 1\ndata: d1\n\n", True))


if __name__ == "__main__":
    unittest.main()
