"""Guards against responses that reach the wrong client and requests that are sent more often than allowed.

Each test exercises one mechanism of one gateway, with scripted clients and replicas and without a fleet.
"""

import os
import sys
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from oakramp.common.constants import (  # noqa: E402
    CLAIM_RESPONSE_LIMIT,
    CLAIM_SEND_TIME,
    CONNECT_TIME,
    RESPONSE_HELD_LIMIT,
)
from oakramp.common.errors import RequestRejectedError  # noqa: E402
from oakramp.common.tasks import sleep  # noqa: E402
from oakramp.gateway.proxy_types import ProxyRequest  # noqa: E402
from relay_bench import STREAM_END, STREAM_HEAD, Gate, ParsedResponse, answer, event, request, route  # noqa: E402

PROMISES = (408, 421, 429, 503)


class GatewayTestCase(unittest.TestCase):
    def setUp(self):
        self.gate = Gate()

    def tearDown(self):
        self.assertEqual([line for line in self.gate.lines if "rashed" in line], [])

    def response(self, client):
        return ParsedResponse(client.value())

    def is_closed_within_half_a_second(self, replica):
        self.gate.run(0.5)
        return replica.ended is not None


class NotRunGuarantees(GatewayTestCase):
    """408, 421, 429 and 503 guarantee a client that its request never runs; only a replica can guarantee that."""

    def test_a_rejection_without_a_not_run_header_is_answered_502_without_a_retry(self):
        for status in (408, 429, 503):
            client = self.gate.ask(request("unsafe"))
            self.gate.replica().feed(answer(status))
            response = self.response(client)
            self.assertEqual(
                (response.status, response.header("Postmark"), self.gate.dialled()), (502, None, 1), status
            )
            self.setUp()

    def test_a_safe_request_is_retried_after_a_rejection_without_a_not_run_header(self):
        client = self.gate.ask(request("safe"))
        self.gate.replica().feed(answer(503))
        self.gate.replica().feed(answer())
        self.assertEqual(self.response(client).status, 200)

    def test_an_operation_key_stays_claimed_after_a_rejection_without_a_not_run_header(self):
        client = self.gate.ask(request("tracked", Operation_Key="k"))
        self.gate.replica().feed(answer(503))
        self.assertEqual(self.response(client).status, 502)
        repeat = self.gate.ask(request("tracked", "t2", Operation_Key="k"))
        replica = self.gate.replica()
        self.assertEqual((self.response(repeat).status, replica.value()), (502, b""))

    def test_the_connection_of_a_rejection_without_a_not_run_header_is_closed(self):
        self.gate.ask(request("unsafe"))
        replica = self.gate.replica()
        replica.feed(answer(503, body=b"x" * 50)[:-20])
        self.assertIsNotNone(replica.ended)

    def test_a_not_run_header_on_a_success_is_ignored(self):
        client = self.gate.ask(request("unsafe"))
        self.gate.replica().feed(answer(200, Not_Run="1"))
        self.assertEqual((self.response(client).status, self.gate.dialled()), (200, 1))

    def test_other_error_statuses_are_relayed_unchanged(self):
        for status in (400, 404, 409, 500, 502, 504):
            client = self.gate.ask(request("unsafe"))
            self.gate.replica().feed(answer(status))
            response = self.response(client)
            self.assertEqual((response.status, response.header("Postmark"), response.body), (status, "st.1", b"hello"))
            self.setUp()


class RemovedRoutes(GatewayTestCase):
    def test_a_slot_acquired_after_its_route_was_removed_is_released(self):
        self.gate.balancer.free_slots = dict.fromkeys(self.gate.balancer.free_slots, 0)
        client = self.gate.ask(request("unsafe"))
        del self.gate.router.routes["/unsafe/"]
        self.gate.balancer.free_slots = dict.fromkeys(self.gate.balancer.free_slots, 1)
        self.gate.run(0.1)
        self.assertEqual((self.response(client).status, self.gate.dialled()), (404, 0))
        self.assertEqual(set(self.gate.balancer.free_slots.values()), {1})


class StaleRouting(GatewayTestCase):
    def test_a_slot_acquired_while_the_routing_is_stale_is_released_at_once(self):
        """The gateway acquired a slot again and again within one reactor iteration, so no newer routing was read."""
        for kind in ("safe", "unsafe", "stream", "tracked"):
            with self.subTest(kind=kind):
                self.gate.balancer.free_slots = dict.fromkeys(self.gate.balancer.free_slots, 0)
                client = self.gate.ask(request(kind, Operation_Key="k"))
                self.gate.run(0.1)
                self.gate.router.stale = "too old"
                self.gate.balancer.free_slots = dict.fromkeys(self.gate.balancer.free_slots, 1)
                self.gate.run(0.1)
                self.assertEqual((self.response(client).status, self.gate.dialled()), (503, 0))
                self.assertEqual(set(self.gate.balancer.free_slots.values()), {1})
                self.setUp()


class ClientDisconnects(GatewayTestCase):
    """When a client disconnects, its replica is released and nothing more is sent for it."""

    def test_before_the_response_head_the_replica_connection_is_closed(self):
        for kind in ("safe", "stream", "once"):
            client = self.gate.ask(request(kind))
            replica = self.gate.replica()
            self.gate.run(0.1)
            client.peer_closes()
            self.assertTrue(self.is_closed_within_half_a_second(replica), kind)
            self.assertEqual(
                (self.gate.dialled(), self.gate.front.running, self.gate.balancer.failure_reports), (1, 0, [])
            )
            self.setUp()

    def test_while_connecting_nothing_is_sent(self):
        client = self.gate.ask(request("unsafe"))
        client.peer_closes()
        self.assertEqual(self.gate.replica().take(), b"")
        self.assertEqual(self.gate.front.running, 0)

    def test_while_waiting_for_a_slot_nothing_is_sent(self):
        for kind in ("safe", "unsafe", "tracked", "once"):
            self.gate.balancer.free_slots = dict.fromkeys(self.gate.balancer.free_slots, 0)
            client = self.gate.ask(request(kind, Operation_Key="k"))
            self.gate.run(0.1)
            client.peer_closes()
            self.gate.balancer.free_slots = dict.fromkeys(self.gate.balancer.free_slots, 1)
            self.gate.run(1.0)
            self.assertEqual((self.gate.dialled(), self.gate.front.running), (0, 0), kind)
            self.setUp()

    def test_an_operation_key_is_released_if_the_call_was_not_sent(self):
        self.gate.balancer.free_slots = dict.fromkeys(self.gate.balancer.free_slots, 0)
        client = self.gate.ask(request("tracked", Operation_Key="k"))
        client.peer_closes()
        self.gate.run(0.1)
        self.gate.balancer.free_slots = dict.fromkeys(self.gate.balancer.free_slots, 1)
        repeat = self.gate.ask(request("tracked", "t2", Operation_Key="k"))
        self.gate.replica().feed(answer(try_id="t2"))
        self.assertEqual(self.response(repeat).status, 200)

    def test_during_a_long_response_the_replica_connection_is_closed(self):
        client = self.gate.ask(request("safe"))
        replica = self.gate.replica()
        replica.feed(answer(body=b"x" * (3 * RESPONSE_HELD_LIMIT))[: 2 * RESPONSE_HELD_LIMIT])
        client.peer_closes()
        self.assertTrue(self.is_closed_within_half_a_second(replica))
        self.assertEqual((self.gate.dialled(), self.gate.front.running, self.gate.balancer.failure_reports), (1, 0, []))

    def test_a_call_with_an_operation_key_finishes_and_its_response_is_stored(self):
        for at in (0, 20, 100):
            client = self.gate.ask(request("tracked", Operation_Key="k"))
            replica, data = self.gate.replica(), answer(body=b"y" * 100)
            replica.feed(data[:at])
            client.peer_closes()
            self.gate.run(0.6)
            replica.feed(data[at:])
            repeat = self.gate.ask(request("tracked", "t2", Operation_Key="k"))
            response = self.response(repeat)
            self.assertEqual(
                (response.status, response.header("Postmark"), response.body), (200, "st.1", b"y" * 100), at
            )
            self.assertEqual((response.header("Try-Id"), self.gate.dialled()), ("t2", 1))
            self.setUp()


class OperationKeys(GatewayTestCase):
    def test_a_claim_overtaken_by_a_later_released_claim_is_answered_503(self):
        """
        gateway                 owner
        connected
        claim, number 1 -->     (delayed)
        claim, number 2 -->     claimed; rejected by all replicas, released
                                number 1 arrives: lower than the released number
        503: the client may retry
        """
        pauses = iter((0.1, 0.0))
        self.gate.keys.pause = lambda: next(pauses, 0.0)
        first = self.gate.ask(request("tracked", "t1", Operation_Key="k"))
        self.gate.replica()
        second = self.gate.ask(request("tracked", "t2", Operation_Key="k"))
        for _ in range(3):
            self.gate.replica().feed(answer(503, try_id="t2", stamp=None, Not_Run="1"))
        self.gate.run(0.2)
        self.assertEqual(
            (self.response(second).status, self.response(first).status, self.gate.dialled()), (503, 503, 4)
        )

    def test_a_call_is_not_sent_under_a_claim_that_may_have_been_forgotten(self):
        """
        gateway                 owner
        claim -->               claimed
        (frozen for longer than a claim may wait to be used)
        does not send; on the next replica: claims anew, then sends
        """
        self.gate.router.routes["/patient/"] = route("patient", "tracked", timeout_s=400.0)
        commands, call = [], self.gate.leaders.call

        async def answer_late(key, command, arguments, time_left):
            commands.append(command)
            result = await call(key, command, arguments, time_left)
            if commands == ["claim"]:
                await sleep(self.gate.reactor, CLAIM_SEND_TIME + 1)
            return result

        self.gate.leaders.call = answer_late
        client = self.gate.ask(request("patient", Operation_Key="k", time_left=400000))
        self.gate.run(CLAIM_SEND_TIME + 0.5, 0.5)
        replica = self.gate.replica()
        self.gate.run(CLAIM_SEND_TIME + 2, 0.5)
        self.assertEqual((commands, replica.value()), (["claim"], b""))
        second, third = self.gate.replica(), self.gate.replica()
        self.assertEqual((commands, replica.value(), second.value()), (["claim", "free", "claim"], b"", b""))
        third.feed(answer())
        self.assertEqual(self.response(client).status, 200)

    def test_an_ordinary_call_asks_its_leader_twice(self):
        """One durable write for the claim, one for the response; a request that need not wait looks nothing up."""
        commands, call = [], self.gate.leaders.call

        async def note(key, command, arguments, time_left):
            commands.append(command)
            return await call(key, command, arguments, time_left)

        async def note_until_done(key, command, arguments):
            return await note(key, command, arguments, 1.0)

        self.gate.leaders.call, self.gate.leaders.call_until_done = note, note_until_done
        client = self.gate.ask(request("tracked", Operation_Key="k"))
        self.gate.replica().feed(answer())
        self.assertEqual((self.response(client).status, commands), (200, ["claim", "finish"]))

    def test_a_second_copy_of_a_refused_claim_does_not_take_the_key(self):
        """
        gateway                     owner
        claim, number 1 -->         claimed
        claim, number 2 -->         refused: in progress
        (rejected) free 1 -->       free
        claim, number 2 (copy) ->   cancelled before: does not take the key
        """
        copies, call = [], self.gate.leaders.call

        async def keep_copy(key, command, arguments, time_left):
            if command == "claim":
                copies.append((key, command, arguments))
            return await call(key, command, arguments, time_left)

        self.gate.leaders.call = keep_copy
        self.gate.ask(request("tracked", Operation_Key="k"))
        replica = self.gate.replica()
        second = self.gate.ask(request("tracked", "t2", Operation_Key="k"))
        self.gate.replica()
        self.assertEqual(self.response(second).status, 409)
        self.gate.balancer.free_slots = dict.fromkeys(self.gate.balancer.free_slots, 0)
        replica.feed(answer(503, stamp=None, Not_Run="1"))
        self.gate.balancer.free_slots = dict.fromkeys(self.gate.balancer.free_slots, 0)
        with self.assertRaises(RequestRejectedError):
            self.gate.keys.do(*copies[1])
        other = Gate(self.gate.reactor, self.gate.keys, "h")
        repeat = other.ask(request("tracked", "t3", Operation_Key="k"))
        other.replica().feed(answer(try_id="t3"))
        self.assertEqual(self.response(repeat).status, 200)

    def test_a_request_that_waits_for_a_replica_holds_no_claim(self):
        """
        gateway g                       owner           gateway h
        no replica has a free slot
        looks the key up                free
        (ends)                                          claims the key, sends
        """
        self.gate.balancer.free_slots = dict.fromkeys(self.gate.balancer.free_slots, 0)
        self.gate.ask(request("tracked", Operation_Key="k"))
        self.gate.run(0.1)
        other = Gate(self.gate.reactor, self.gate.keys, "h")
        repeat = other.ask(request("tracked", "t2", Operation_Key="k"))
        other.replica().feed(answer(try_id="t2"))
        self.assertEqual(self.response(repeat).status, 200)

    def test_a_repeat_that_waits_for_a_replica_is_answered_without_one(self):
        """A repeat needs no replica: it receives the stored response, or 409 while the first is at work."""
        first = self.gate.ask(request("tracked", "t1", Operation_Key="k"))
        replica = self.gate.replica()
        self.gate.balancer.free_slots = dict.fromkeys(self.gate.balancer.free_slots, 0)
        during = self.gate.ask(request("tracked", "t2", Operation_Key="k"))
        self.assertEqual(self.response(during).status, 409)
        replica.feed(answer())
        self.gate.balancer.free_slots = dict.fromkeys(self.gate.balancer.free_slots, 0)
        after = self.gate.ask(request("tracked", "t3", Operation_Key="k"))
        self.assertEqual((self.response(first).status, self.response(after).status), (200, 200))
        self.assertEqual((self.response(after).header("Postmark"), self.gate.dialled()), ("st.1", 1))

    def test_a_repeat_receives_the_stored_response_though_no_replica_can_be_reached(self):
        first = self.gate.ask(request("tracked", "t1", Operation_Key="k"))
        self.gate.replica().feed(answer(Connection="close"))
        repeat = self.gate.ask(request("tracked", "t2", Operation_Key="k"))
        for _ in range(3):
            self.gate.reactor.dialled[-1].fail(ConnectionRefusedError())
        self.assertEqual((self.response(first).status, self.response(repeat).status), (200, 200))
        self.assertEqual((self.response(repeat).header("Postmark"), self.gate.dialled()), ("st.1", 4))

    def test_a_rejected_call_that_waits_again_gives_its_claim_up(self):
        """
        gateway g                       owner           gateway h
        claims, sends                   claimed
        rejected (Not-Run), waits       free
        (ends)                                          claims the key, sends
        """
        self.gate.ask(request("tracked", Operation_Key="k"))
        replica = self.gate.replica()
        self.gate.balancer.free_slots = dict.fromkeys(self.gate.balancer.free_slots, 0)
        replica.feed(answer(503, stamp=None, Not_Run="1"))
        self.gate.balancer.free_slots = dict.fromkeys(self.gate.balancer.free_slots, 0)
        self.gate.run(0.1)
        other = Gate(self.gate.reactor, self.gate.keys, "h")
        repeat = other.ask(request("tracked", "t2", Operation_Key="k"))
        other.replica().feed(answer(try_id="t2"))
        self.assertEqual(self.response(repeat).status, 200)

    def test_a_call_whose_outcome_is_lost_is_not_reported_as_at_work(self):
        """After its run has ended without a response, a repeat is told neither 409 nor that the call never runs."""
        client = self.gate.ask(request("tracked", Operation_Key="k"))
        self.gate.replica().peer_closes()
        self.gate.run(0.1)
        repeat = self.gate.ask(request("tracked", "t2", Operation_Key="k"))
        replica = self.gate.replica()
        self.assertEqual((self.response(client).status, self.response(repeat).status, replica.value()), (504, 502, b""))

    def test_a_response_too_large_to_store_is_not_reported_as_at_work(self):
        client = self.gate.ask(request("tracked", Operation_Key="k"))
        self.gate.replica().feed(answer(body=b"x" * CLAIM_RESPONSE_LIMIT))
        repeat = self.gate.ask(request("tracked", "t2", Operation_Key="k"))
        self.assertEqual((self.response(client).status, self.response(repeat).status), (200, 502))

    def test_a_connection_closed_during_the_claim_is_replaced(self):
        """
        gateway                 replica         owner
        kept connection,
        claim ---------------------------->     (delayed)
                                closes
        claimed: sends on a new connection, once
        """
        first = self.gate.ask(request("tracked", Operation_Key="k"))
        replica = self.gate.replica()
        replica.feed(answer())
        self.assertEqual(self.response(first).status, 200)
        replica.take()
        self.gate.keys.pause = lambda: 0.1
        second = self.gate.ask(request("tracked", "t2", Operation_Key="k2"))
        self.gate.run(0.05)
        replica.peer_closes()
        self.gate.run(0.2)
        self.assertEqual(replica.value(), b"")
        self.gate.replica().feed(answer(try_id="t2"))
        self.gate.run(0.2)
        self.assertEqual((self.response(second).status, self.gate.dialled()), (200, 2))

    def test_a_client_that_leaves_during_the_claim_frees_its_key(self):
        self.gate.keys.pause = lambda: 0.1
        client = self.gate.ask(request("tracked", Operation_Key="k"))
        replica = self.gate.replica()
        self.gate.run(0.05)
        client.peer_closes()
        self.gate.run(0.5)
        self.assertEqual(replica.value(), b"")
        repeat = self.gate.ask(request("tracked", "t2", Operation_Key="k"))
        replica = self.gate.replica()
        self.gate.run(0.2)
        replica.feed(answer(try_id="t2"))
        self.gate.run(0.2)
        self.assertEqual(self.response(repeat).status, 200)


class Deadlines(GatewayTestCase):
    def test_a_stalled_long_response_to_a_keyed_call_ends_at_the_deadline(self):
        client = self.gate.ask(request("tracked", Operation_Key="k", time_left=1000))
        replica = self.gate.replica()
        replica.feed(answer(body=b"x" * (3 * RESPONSE_HELD_LIMIT))[: 2 * RESPONSE_HELD_LIMIT])
        self.gate.run(1.2)
        self.assertEqual((self.response(client).status, replica.ended is None), (504, False))

    def test_a_response_that_never_pauses_is_cut_off_at_the_deadline(self):
        for kind, head in (("safe", b"HTTP/1.1 200 OK\r\nTry-Id: t1\r\nPostmark: s\r\n\r\n"), ("once", STREAM_HEAD)):
            client = self.gate.ask(request(kind, time_left=1000))
            replica, number = self.gate.replica(), 0
            replica.feed(head)
            while client.ended is None and self.gate.reactor.seconds() < 1.2:
                number += 1
                replica.feed(event(number) if kind == "once" else b"x" * 5000)
                self.gate.run(0.0008, 0.0008)
            self.assertEqual((client.ended is None, replica.ended is None), (False, False), kind)
            self.setUp()

    def test_a_client_that_does_not_read_holds_its_replica_only_until_the_deadline(self):
        for kind, data in (
            ("safe", answer(body=b"x" * (3 * RESPONSE_HELD_LIMIT))[:-10]),
            ("stream", STREAM_HEAD + event(1)),
        ):
            client = self.gate.ask(request(kind, time_left=1000))
            replica = self.gate.replica()
            client.protocol.pauseProducing()
            replica.feed(data[: 2 * RESPONSE_HELD_LIMIT])
            replica.feed(data[2 * RESPONSE_HELD_LIMIT :])
            self.gate.run(1.2)
            self.assertEqual((client.ended is None, replica.ended is None), (False, False), kind)
            self.assertEqual(self.gate.balancer.failure_reports, [])
            self.setUp()

    def test_a_replica_receives_the_time_left_when_the_request_is_sent(self):
        self.gate.ask(request("unsafe", time_left=2000))
        self.gate.run(CONNECT_TIME - 0.1)
        sent = self.gate.replica().take()
        time_left_ms = int(sent.partition(b"Time-Left-Ms: ")[2].partition(b"\r\n")[0])
        self.assertLessEqual(time_left_ms, 2000 - 1000 * (CONNECT_TIME - 0.1) + 20)

    def test_the_deadline_of_a_pipelined_request_counts_from_its_arrival(self):
        client = self.gate.ask(request("unsafe") + request("unsafe", "t2", time_left=2000))
        replica = self.gate.replica()
        self.gate.run(1.0)
        replica.take()
        replica.feed(answer())
        self.assertRegex(replica.take(), rb"Time-Left-Ms: (1000|999)\r\n")
        self.assertIsNone(client.ended)

    def test_a_time_left_of_zero_does_not_mean_unlimited(self):
        client = self.gate.ask(request("unsafe", time_left=0))
        self.assertEqual((self.response(client).status, self.gate.dialled()), (503, 0))


class OmittedBodies(GatewayTestCase):
    def test_the_content_length_of_an_omitted_body_is_relayed(self):
        """For a HEAD request the Content-Length of the body is what the client asks for."""
        for status, method, length in (
            (200, "HEAD", "77"),
            (304, "GET", "77"),
            (200, "HEAD", None),
            (204, "GET", None),
        ):
            client = self.gate.ask(request("safe", method=method) + request("safe", "t2"))
            replica = self.gate.replica()
            replica.feed(answer(status, b"", Content_Length=length))
            replica.feed(answer(try_id="t2"))
            head, _, rest = client.value().partition(b"\r\n\r\n")
            content_lengths = [line for line in head.split(b"\r\n") if line.lower().startswith(b"content-length")]
            self.assertEqual(content_lengths, [b"Content-Length: 77"] if length else [])
            self.assertNotIn(b"Transfer-Encoding", head)
            self.assertEqual((ParsedResponse(rest).status, ParsedResponse(rest).body), (200, b"hello"))
            self.setUp()


class Budgets(GatewayTestCase):
    def test_events_count_the_tokens_per_event_of_the_service_that_sent_them(self):
        """A route may be split over services whose events hold different numbers of tokens; program "q" is assigned to
        the second of the route's two services, with 20 tokens per event."""
        statuses = []
        for try_id in ("t1", "t2", "t3"):
            client = self.gate.ask(request("split", try_id, Program="q", Token_Budget=200, Tokens="10,100"))
            if not client.value():
                connection = self.gate.replica()
                self.assertEqual(self.gate.reactor.dialled[-1].host, self.gate.host_of("e0"))
                head = STREAM_HEAD.replace(b"t1", try_id.encode())
                connection.feed(head + b"".join(map(event, range(1, 6))) + STREAM_END)
                self.gate.run(0.5)
            statuses.append(self.response(client).status)
        self.assertEqual(statuses, [200, 200, 402])


class ProgramPlacement(GatewayTestCase):
    def test_only_turns_set_the_home_replica_of_a_program(self):
        """A program's tool call uses another service: it neither starts the program nor changes its home replica."""
        programs = self.gate.relay._programs
        client = self.gate.ask(request("safe", Program="q"))
        self.gate.replica().feed(answer())
        self.assertEqual(self.response(client).status, 200)
        self.assertIsNone(programs.last_replica_id(ProxyRequest(program="q")))
        self.gate.ask(request("split", "t2", Program="q", Tokens="10,100"))
        self.assertEqual(programs.last_replica_id(ProxyRequest(program="q")), "e0")
        self.gate.ask(request("safe", "t3", Program="q"))
        self.assertEqual(programs.last_replica_id(ProxyRequest(program="q")), "e0")


class DuplicatedHeaders(GatewayTestCase):
    def test_a_duplicated_control_header_is_rejected(self):
        """A replica that reads the second of two keys or ids would run a request that was never claimed."""
        for twice in (b"Try-Id: t9", b"Operation-Key: k9", b"Time-Left-Ms: 9", b"Last-Event-Id: 9"):
            data = request("tracked", Operation_Key="k", Last_Event_Id=1)
            client = self.gate.ask(data.replace(b"\r\nHost:", b"\r\n" + twice.lower() + b"\r\nHost:"))
            self.assertEqual((self.response(client).status, self.gate.dialled()), (400, 0), twice)

    def test_other_duplicated_headers_are_forwarded(self):
        data = request("unsafe", Accept="a").replace(b"\r\nHost:", b"\r\nAccept: b\r\nHost:")
        self.gate.ask(data)
        self.assertEqual(self.gate.replica().take().count(b"Accept: "), 2)


class Streams(GatewayTestCase):
    def test_a_long_error_response_that_is_cut_off_is_not_retried(self):
        client = self.gate.ask(request("stream"))
        replica = self.gate.replica()
        replica.feed(answer(500, body=b"x" * (3 * RESPONSE_HELD_LIMIT))[: 2 * RESPONSE_HELD_LIMIT])
        replica.peer_closes()
        self.gate.run(0.1)
        self.assertIsNotNone(client.ended)
        self.assertFalse(self.response(client).whole)
        self.assertEqual(self.gate.dialled(), 1)

    def test_a_resuming_client_receives_no_event_twice(self):
        """Also if the replica restarts the stream from its first event."""
        client = self.gate.ask(request("stream", Last_Event_Id="2"))
        replica = self.gate.replica()
        self.assertEqual(replica.value().lower().count(b"last-event-id: 2\r\n"), 1)
        replica.feed(STREAM_HEAD + b"".join(map(event, range(1, 5))) + STREAM_END)
        self.assertEqual(self.response(client).body, b"id: 3\ndata: d3\n\nid: 4\ndata: d4\n\n")

    def test_a_stream_with_an_event_without_id_is_not_resumed(self):
        client = self.gate.ask(request("stream"))
        replica, raw = self.gate.replica(), b"data: nameless\n\n"
        replica.feed(STREAM_HEAD + b"%x\r\n%b\r\n" % (len(raw), raw))
        replica.peer_closes()
        self.gate.run(0.1)
        self.assertEqual((client.ended is None, self.response(client).whole, self.gate.dialled()), (False, False, 1))

    def test_the_response_head_comes_from_the_replica_that_sent_the_first_event(self):
        """Otherwise the stamp of the first replica would be relayed with the events of another run."""
        client = self.gate.ask(request("stream"))
        replica = self.gate.replica()
        replica.feed(STREAM_HEAD)
        replica.peer_closes()
        self.gate.replica().feed(STREAM_HEAD.replace(b"st.1", b"st.2") + event(1) + STREAM_END)
        response = self.response(client)
        self.assertEqual(
            (response.header("Postmark"), response.body, response.whole), ("st.2", b"id: 1\ndata: d1\n\n", True)
        )


if __name__ == "__main__":
    unittest.main()
