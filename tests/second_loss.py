"""Brings about a loss right after another loss or a change of the members, on a simulated fleet, for test_second_loss.

A first trouble happens to one machine with a disk, then a second one to another. What was acknowledged before, between
and after must be there at the end; and a machine must hold everything on its disk once it has been back for REJOIN.
"""

import copy
import json
import random

from oakbase.constants import REJOIN, SLOTS
from oakbase.tasks import sleep, spawn
from oakbase.verdict import InProgress, OakError
from oakcontrol.client import OwnerClient
from oakcontrol.roster import ROSTER_KEY
from oakcontrol.slots import slot_of_key
from oakcontrol.storeset import STORES_KEY
from oaklab.plan import Size
from oaklab.simfleet import SimFleet
from oakring.ring import Ring

CONTROLS = ("control0", "control1", "control2", "control3", "control4")
RECOVER = 12.0  # s; within this after the last trouble of several at once a majority serves again
SERVED = 6.0  # s; the same after one loss within what may be lost
WRITE_PAUSE = 0.1  # s; between two writes of the load
CALL = 2.0  # s; that one write may take
STEP = 0.05  # s; how often conditions are looked at


def rows_on_disk(one, ring_file_size):
    """What a start after a power cut this instant would find at least: the rows of the machine's synced ring."""
    disk = copy.copy(one.disk)
    disk._files = {name: bytearray(data) for name, data in one.disk._durable.items()}
    disk._durable, disk._unsynced = {name: bytearray(data) for name, data in disk._files.items()}, []
    return dict(Ring(disk, one.node.node.log, ring_file_size).table.items())


class ControlLab:
    """Control nodes under claims of keys, each of which is a command that takes effect once."""

    def __init__(self, seed, controls=5, **options):
        self.fleet = SimFleet(seed, Size(1, 0, controls, ()), self_forming=True, **options)
        for one in self.fleet.by_name.values():
            one.start()
        self.fleet.wait_formed()
        self.fleet.first_start = False
        self.fleet.run(1.0)
        self.client = OwnerClient(self.fleet["gate0"].node.node)
        self.random = random.Random(f"second/{seed}")
        self.acknowledged, self.count, self.writing = [], 0, False
        self.ended = {}  # tasks of planned stops by machine
        self.newcomers = 0

    def key(self, number):
        return f"claim/p/k{number}"

    async def claim(self, number, admission, time_left=CALL):
        arguments = {"print": "p", "admission": admission, "gate": "g", "number": number + 1}
        return await self.client.call(self.key(number), "claim", arguments, time_left)

    async def write(self):
        number = self.count
        self.count += 1
        try:
            await self.claim(number, f"first{number}")
        except OakError:
            return
        self.acknowledged.append(number)

    async def _load(self):
        while self.writing:
            await self.write()
            await sleep(self.fleet.caller_reactor, WRITE_PAUSE)

    def load(self):
        self.writing = True
        spawn(self._load(), self.fleet.lab_log)

    def quiet(self):
        self.writing = False
        self.fleet.run(CALL)

    def write_all_slots(self):
        """At least one acknowledged write to each slot."""
        wanted = set(range(SLOTS))
        while wanted:
            number, before = self.count, len(self.acknowledged)
            if slot_of_key(self.key(number)) not in wanted:
                self.count += 1
                continue
            self.fleet.until(self.write())
            if len(self.acknowledged) > before:
                wanted.discard(slot_of_key(self.key(number)))

    # --- who is there ---

    def running(self):
        return [one for one in self.fleet.of_kind("control") if one.running and one.node is not None]

    def owner(self, key=ROSTER_KEY):
        """The machine that holds the slot of this key, or None."""
        slot = slot_of_key(key)
        return next((one for one in self.running() if slot in one.node.owners.held), None)

    def roster(self):
        rosters = [one.node.voter.roster for one in self.running() if one.node.voter.roster is not None]
        return max(rosters, key=lambda roster: roster.version)

    def lacking(self, one):
        """The slots whose newest image is not on this machine's disk."""
        rows, lacking = rows_on_disk(one, self.fleet.ring_file_size), []
        if one.node.node.node_id not in self.roster().members:
            return list(range(SLOTS))
        for other in self.running():
            for slot, owner in other.node.owners.held.items():
                head = json.loads(rows.get(f"s/{slot}", b"[0,0,0,0,0]"))
                generation = head[4] or ""
                entries = {
                    key.partition("/")[2].partition("/")[2]: value
                    for key, value in rows.items()
                    if key.startswith(f"e{generation}/{slot}/")
                }
                if (head[2], head[3], entries) != (owner.epoch, owner.sequence, dict(owner.entries)):
                    lacking.append(slot)
        return sorted(lacking)

    # --- troubles ---

    def newcomer(self, kind="control"):
        self.newcomers += 1
        one = self.fleet.add(kind, 4 + self.newcomers)
        one.seeds = [other.machine.peer for other in self.running()][:3]
        one.start()
        return one

    def wipe(self, name, down=0.5):
        one = self.fleet[name]
        one.power_cut()
        one.lose_disk()
        self.fleet.run(down)
        one.start()
        return one

    def power(self, name, down=0.5):
        one = self.fleet[name]
        one.power_cut()
        self.fleet.run(down)
        one.start()
        return one

    def cut(self, name, down=2.0):
        one = self.fleet[name]
        self.fleet.mark(name, "cut off")
        self.fleet.network.cut(
            [one.host.address], [other.host.address for other in self.fleet.by_name.values() if other is not one]
        )
        self.fleet.run(down)
        self.fleet.network.heal()
        self.fleet.mark(name, "back")
        return one

    def freeze(self, name, down=2.0):
        one = self.fleet[name]
        one.freeze()
        self.fleet.run(down)
        one.thaw()
        return one

    def gone(self, name):
        self.fleet[name].power_cut()
        del self.fleet.by_name[name]

    def replace_lost(self, name, wait):
        """Gone for good; an empty one starts so much later at another address."""
        kind = self.fleet[name].machine.kind
        self.gone(name)
        self.fleet.run(wait)
        return self.newcomer(kind)

    def replace_planned(self, name, wait):
        """An empty one starts at another address; so much later the old one is told to end."""
        one = self.fleet[name]
        new = self.newcomer(one.machine.kind)
        self.fleet.run(wait)
        one.stop()
        return new

    # --- looking at the end ---

    def serves(self):
        return self.fleet.slots_served()

    async def _is_kept(self, number):
        try:
            await self.claim(number, f"second{number}", 8.0)
        except InProgress:
            return True
        return False

    def lost(self):
        return [number for number in self.acknowledged if not self.fleet.until(self._is_kept(number))]
