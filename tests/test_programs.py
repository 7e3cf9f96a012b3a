"""First turns of programs are told from later ones, and from those of helpers.

Symptom: on routes that keep no conversations, programs under way were refused in the midst of a rush.
Sequence: a later turn names no turn before it, and its prompt has as many parts as a first one's.
Cause: nothing in the request tells them apart; only the gateway's memory of what it served does.
Settled by: the prompts of a quiet day (entry 81902fe7), and the rush on Nile Linen: worth 0.523 by the parts of
prompts, 0.601 by memory (49147606, 5ddb6903).
"""

import unittest

from oakramp.common.constants import BEGIN_PATIENCE_SHARE, BEGIN_SHARE, PROGRAMS_KNOWN, QUEUED_SHARE
from oakramp.gateway.programs import Programs
from oakramp.gateway.proxy_types import ProxyRequest


class Beginnings(unittest.TestCase):
    def setUp(self):
        self.programs = Programs()

    def test_the_first_turn_begins_until_one_was_placed(self):
        turn = ProxyRequest(program="p")
        self.assertTrue(self.programs.is_first_turn(turn))
        self.assertTrue(self.programs.is_first_turn(turn), "it was refused, and comes again")
        self.programs.record_turn(turn, "r1")
        self.assertFalse(self.programs.is_first_turn(turn))

    def test_a_helper_goes_on(self):
        self.programs.record_turn(ProxyRequest(program="p", session="p"), "r1")
        self.assertFalse(self.programs.is_first_turn(ProxyRequest(program="p", session="h")))

    def test_a_turn_that_names_the_one_before_goes_on_wherever_it_comes(self):
        self.assertFalse(self.programs.is_first_turn(ProxyRequest(program="p", previous_turn="t1")))

    def test_a_request_without_a_program_does_not_begin_one(self):
        self.programs.record_turn(ProxyRequest(), "r1")
        self.assertFalse(self.programs.is_first_turn(ProxyRequest()))

    def test_its_home_is_the_replica_of_its_last_turn(self):
        turn = ProxyRequest(program="p")
        self.assertIsNone(self.programs.last_replica_id(turn))
        self.programs.record_turn(turn, "r1")
        self.programs.record_turn(turn, "r2")
        self.assertEqual(
            self.programs.last_replica_id(ProxyRequest(program="p", session="h", previous_turn="t1")), "r2"
        )

    def test_memory_is_bounded(self):
        for number in range(PROGRAMS_KNOWN + 1):
            self.programs.record_turn(ProxyRequest(program=f"p{number}"), "r1")
        self.assertTrue(self.programs.is_first_turn(ProxyRequest(program="p0")))
        self.assertFalse(self.programs.is_first_turn(ProxyRequest(program="p1")))


class Reserves(unittest.TestCase):
    """Room is kept for follow-up turns as far as there are any."""

    def setUp(self):
        self.programs = Programs()

    def play(self, programs, turns):
        for number in range(programs):
            for _ in range(turns):
                self.programs.record_turn(ProxyRequest(program=f"p{number}"), "r1")

    def test_programs_of_one_turn_leave_nothing_free(self):
        self.play(programs=100, turns=1)
        self.assertEqual(self.programs.admission_threshold(0), self.programs.admission_threshold(1))
        self.assertEqual(self.programs.admission_threshold(0), 1 + QUEUED_SHARE)
        self.assertEqual(self.programs.max_wait_s(normal_wait_s=1.5, target_s=0.25), 1.5)

    def test_programs_of_several_turns_begin_only_where_there_is_room_for_them(self):
        self.play(programs=20, turns=5)
        self.assertAlmostEqual(self.programs.admission_threshold(0), BEGIN_SHARE)
        self.assertLess(self.programs.admission_threshold(1), self.programs.admission_threshold(0))
        self.assertAlmostEqual(self.programs.max_wait_s(normal_wait_s=1.5, target_s=0.25), BEGIN_PATIENCE_SHARE * 0.25)

    def test_it_follows_what_is_asked_for(self):
        self.play(programs=20, turns=5)
        for number in range(200):
            self.programs.record_turn(ProxyRequest(program=f"q{number}"), "r1")
        self.assertAlmostEqual(self.programs.admission_threshold(0), 1 + QUEUED_SHARE, places=2)
