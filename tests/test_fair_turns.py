"""Work that takes much processor time for its bytes leaves turns of the reactor to others."""

import os
import sys
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from oakramp.common.constants import CHUNKS_PER_TURN  # noqa: E402
from oakramp.common.fair_turns import FairTurns  # noqa: E402
from relay_bench import Gate, ParsedResponse, answer, request  # noqa: E402

CHUNK = b"2\r\nxx\r\n"


class Turns:
    """A reactor that is moved on turn by turn."""

    def __init__(self):
        self.due = []

    def callLater(self, _seconds, function):  # the name is Twisted's
        """Calls the function in the next turn."""
        self.due.append(function)

    def advance(self):
        """One turn."""
        due, self.due = self.due, []
        for function in due:
            function()


class Queue(unittest.TestCase):
    def test_each_turn_does_one_step_in_order(self):
        reactor, done = Turns(), []
        turns = FairTurns(reactor)
        for name in "abc":
            turns.call_later(lambda name=name: done.append(name))
        for count in range(4):
            self.assertEqual(done, list("abc")[:count])
            reactor.advance()
        turns.call_later(lambda: done.append("d"))
        reactor.advance()
        self.assertEqual(done, list("abcd"))
        self.assertEqual(reactor.due, [])

    def test_a_step_that_raises_does_not_stop_the_others(self):
        reactor, done = Turns(), []
        turns = FairTurns(reactor)
        turns.call_later(lambda: 1 / 0)
        turns.call_later(lambda: done.append("b"))
        self.assertRaises(ZeroDivisionError, reactor.advance)
        reactor.advance()
        self.assertEqual(done, ["b"])


class Bodies(unittest.TestCase):
    def setUp(self):
        self.gate, self.turns = Gate(), Turns()
        self.gate.front.fair_turns = FairTurns(self.turns)

    def chunked(self, try_id, count):
        """A request with so many chunks."""
        head = request("unsafe", try_id).replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
        return head + CHUNK * count + b"0\r\n\r\n"

    def test_bodies_in_small_chunks_are_decoded_in_many_turns(self):
        """Each of them needs three turns; in between an ordinary request is served at once."""
        slow = [self.gate.ask(self.chunked(f"s{number}", 2 * CHUNKS_PER_TURN + 1)) for number in range(5)]
        self.assertEqual(self.gate.dialled(), 0)
        client = self.gate.ask(request("safe"))
        self.assertEqual(self.gate.dialled(), 1)
        self.gate.replica().feed(answer())
        self.assertEqual(ParsedResponse(client.value()).status, 200)
        for turn in range(1, 11):
            self.turns.advance()
            self.assertEqual(self.gate.front.running, max(0, turn - 5))
        self.assertTrue(all(one.ended is None for one in slow))

    def test_such_a_body_arrives_whole_and_the_next_request_behind_it(self):
        client = self.gate.ask(self.chunked("t1", 3 * CHUNKS_PER_TURN) + request("safe", "t2"))
        self.assertTrue(client.paused)
        for _ in range(10):
            self.turns.advance()
        self.assertFalse(client.paused)
        replica = self.gate.replica()
        self.assertTrue(replica.value().endswith(b"\r\n\r\n" + b"xx" * (3 * CHUNKS_PER_TURN)))
        replica.feed(answer())
        replica.feed(answer(try_id="t2"))
        self.assertEqual(client.value().count(b"HTTP/1.1 200"), 2)

    def test_a_client_that_leaves_meanwhile_is_forgotten(self):
        client = self.gate.ask(self.chunked("t1", 3 * CHUNKS_PER_TURN))
        client.peer_closes()
        for _ in range(10):
            self.turns.advance()
        self.assertEqual((self.gate.dialled(), self.gate.front.memory_account.held), (0, 0))


if __name__ == "__main__":
    unittest.main()
