"""A slot whose first term is refused by voters that are still passing to the next roster."""

import unittest

from oakbase.constants import SLOTS, TERM
from oakbase.verdict import Fenced
from oaklab.simfleet import SimFleet

PASSING_TIME = 0.12  # s; the voters of a recorded day set the roster this long after the node that took slots over


class PassingVoters:
    """Voters that refuse the first confirmation of each new epoch, as ones that have not set the asker's roster yet."""

    def __init__(self, fleet):
        self._fleet, self._first_asked = fleet, {}
        self.refused = 0
        for one in fleet.of_kind("control"):
            one.node.node.net.handlers["confirm"] = self._refusing(one.name, one.node.node.net.handlers["confirm"])

    def _refusing(self, name, confirm):
        async def handler(peer, arguments):
            terms = arguments.terms or []
            if len(terms) == 1 and peer.node_id.partition(".")[0] != name:
                first = self._first_asked.setdefault((name, terms[0].slot, terms[0].epoch), self._fleet.time.now)
                if self._fleet.time.now < first + PASSING_TIME:
                    self.refused += 1
                    raise Fenced("roster version 2 is not 1", detail={"roster": 1})
            return await confirm(peer, arguments)

        return handler


class Confirmation(unittest.TestCase):
    def test_term_refused_by_voters_on_their_way_to_a_roster_is_asked_for_again(self):
        fleet = SimFleet(41).bring_up()
        fleet.wait_ready()
        leaving = max(fleet.of_kind("control"), key=lambda one: len(one.node.owners.held))
        slots = set(leaving.node.owners.held)
        self.assertGreater(len(slots), 0)
        voters, former = PassingVoters(fleet), len(fleet.lines)
        leaving.stop()
        fleet.run(2 * TERM)
        self.assertGreaterEqual(voters.refused, len(slots))
        unconfirmed = [line for line in fleet.lines[former:] if "was not confirmed" in line]
        self.assertEqual(unconfirmed, [], fleet.timeline())
        self.assertEqual(fleet.slots_held(), set(range(SLOTS)), fleet.timeline())
