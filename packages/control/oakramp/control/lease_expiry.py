"""Finding slots whose lease has lapsed by a majority's word, before their owner counts as silent.

Each voter knows for how long it has confirmed no lease of a slot. A member whose own voter has been quiet for LEASE_LAPSED
asks the others, and changes nothing by that. Only if a majority has been quiet for so long does it start a take-over. The
take-over is the ordinary one, with its wait for the former lease: what is found here is a reason to begin, never to skip.
"""

from oakramp.common.constants import LAPSE_ASK_TIME, LAPSE_LOOK, LEASE_LAPSED, SUSPECT_SILENT
from oakramp.common.tasks import Repeater, quorum_of


class LeaseExpiryWatch:
    """Invariant: `_ask_at` holds, for each slot that was asked for, the time before which it is not asked for again."""

    def __init__(self, node, voter, owners):
        self._node, self._voter, self._owners = node, voter, owners
        self._ask_at = {}
        self._repeater = Repeater(node.reactor, LAPSE_LOOK, self._look, node.log)

    def start(self):
        self._repeater.start()

    def stop(self):
        self._repeater.stop()

    async def _look(self):
        slots = self._quiet_slots()
        if not slots or not self._hears_majority():
            return
        quiet = await self._ask_majority(slots)
        lapsed = {slot for slot in slots if quiet[slot] >= LEASE_LAPSED}
        # Silent ones whose leases have lapsed are passed over.
        suspects = {owner for owner in map(self._owners.former_owner, lapsed) if not self._answers(owner)}
        now = self._node.reactor.seconds()
        for slot in slots:
            if slot in lapsed and self._owners.is_free(slot) and self._owners.is_next(slot, suspects):
                self._owners.begin_take_over(slot, lapsed=True)
            self._ask_at[slot] = now + max(LAPSE_LOOK, LEASE_LAPSED - quiet[slot])

    def _quiet_slots(self):
        """Slots of others that this node's own voter has not confirmed for long."""
        now, own_id = self._node.reactor.seconds(), self._node.node_id
        return [
            slot
            for slot in self._voter.quiet_slots(LEASE_LAPSED, own_id)
            if self._owners.is_free(slot) and now >= self._ask_at.get(slot, 0.0)
        ]

    def _hears_majority(self):
        """Whether a majority has answered this node just now. If not, it may have been frozen itself, and all that it has not
        heard of the others says nothing."""
        roster = self._voter.roster
        if roster is None or self._node.node_id not in roster.everyone:
            return False
        return roster.is_quorum({node_id for node_id in roster.everyone if self._answers(node_id)})

    async def _ask_majority(self, slots):
        """Slot -> seconds for which each of a majority has been quiet; 0 if no majority answered."""
        reached, answers = await quorum_of(
            self._owners.ask_voters("unconfirmed", self._voter.roster.everyone, LAPSE_ASK_TIME, slots=slots),
            self._voter.roster.is_quorum,
        )
        if not reached:
            return dict.fromkeys(slots, 0.0)
        return {slot: min(quiet[place] for quiet in answers.values()) / 1000 for place, slot in enumerate(slots)}

    def _answers(self, node_id):
        """Whether this node has answered a pull lately: then it is at work, though a majority may not confirm its lease."""
        address = self._owners.voter_addresses().get(node_id)
        return address is not None and self._node.puller.answers_lately(address, SUSPECT_SILENT)
