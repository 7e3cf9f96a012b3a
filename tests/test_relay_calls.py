"""Whom an answer goes to and how often a request is sent: the relay's promises, one mechanism each, without a fleet."""

import os
import sys
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from oakbase.constants import ANSWER_HELD, CONNECT_TIME  # noqa: E402
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


if __name__ == "__main__":
    unittest.main()
