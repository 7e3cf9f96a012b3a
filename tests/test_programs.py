"""Detection of programs' first turns, as opposed to later turns and the turns of helpers.

Guards against refusing programs in progress during a rush on routes that keep no conversations. There a later turn does
not name its previous turn, and its prompt has as many parts as that of a first turn, so nothing in the request tells
them apart; only the gateway's memory of the programs that it served does. Measured by the prompts of a quiet day (entry
81902fe7), and by the rush on Nile Linen: worth 0.523 by the parts of prompts, 0.601 by memory (49147606, 5ddb6903).
"""

import unittest

from oakramp.common.constants import FIRST_TURN_DEADLINE_SHARE, FIRST_TURN_SHARE, PROGRAMS_KNOWN, QUEUED_SHARE
from oakramp.gateway.programs import Programs
from oakramp.gateway.proxy_types import ProxyRequest


class FirstTurns(unittest.TestCase):
    def setUp(self):
        self.programs = Programs()

    def test_turns_count_as_first_until_one_was_placed(self):
        turn = ProxyRequest(program="p")
        self.assertTrue(self.programs.is_first_turn(turn))
        self.assertTrue(self.programs.is_first_turn(turn), "a refused first turn that is retried")
        self.programs.record_turn(turn, "r1")
        self.assertFalse(self.programs.is_first_turn(turn))

    def test_a_helper_session_of_a_known_program_is_no_first_turn(self):
        self.programs.record_turn(ProxyRequest(program="p", session="p"), "r1")
        self.assertFalse(self.programs.is_first_turn(ProxyRequest(program="p", session="h")))

    def test_a_turn_that_names_its_previous_turn_is_a_follow_up_at_any_gateway(self):
        self.assertFalse(self.programs.is_first_turn(ProxyRequest(program="p", previous_turn="t1")))

    def test_a_request_without_a_program_is_no_first_turn(self):
        self.programs.record_turn(ProxyRequest(), "r1")
        self.assertFalse(self.programs.is_first_turn(ProxyRequest()))

    def test_the_replica_of_the_last_turn_is_remembered(self):
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


class ReservedCapacity(unittest.TestCase):
    """Capacity is reserved for follow-up turns in proportion to their share."""

    def setUp(self):
        self.programs = Programs()

    def record_programs(self, programs, turns):
        for number in range(programs):
            for _ in range(turns):
                self.programs.record_turn(ProxyRequest(program=f"p{number}"), "r1")

    def test_programs_of_one_turn_need_no_reserve(self):
        self.record_programs(programs=100, turns=1)
        self.assertEqual(self.programs.admission_threshold(0), self.programs.admission_threshold(1))
        self.assertEqual(self.programs.admission_threshold(0), 1 + QUEUED_SHARE)
        self.assertEqual(self.programs.max_wait_s(normal_wait_s=1.5, target_s=0.25), 1.5)

    def test_programs_of_several_turns_lower_the_admission_threshold(self):
        self.record_programs(programs=20, turns=5)
        self.assertAlmostEqual(self.programs.admission_threshold(0), FIRST_TURN_SHARE)
        self.assertLess(self.programs.admission_threshold(1), self.programs.admission_threshold(0))
        self.assertAlmostEqual(
            self.programs.max_wait_s(normal_wait_s=1.5, target_s=0.25), FIRST_TURN_DEADLINE_SHARE * 0.25
        )

    def test_the_reserve_follows_the_recent_requests(self):
        self.record_programs(programs=20, turns=5)
        for number in range(200):
            self.programs.record_turn(ProxyRequest(program=f"q{number}"), "r1")
        self.assertAlmostEqual(self.programs.admission_threshold(0), 1 + QUEUED_SHARE, places=2)
