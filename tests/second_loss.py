"""Brings about a loss right after another loss or a change of the members, on a simulated fleet, for test_second_loss.

A first trouble happens to one machine with a disk, then a second one to another. What was acknowledged before, between
and after must be there at the end; and a machine must hold everything on its disk once it has been back for REJOIN.

By hand, `python tests/second_loss.py SHARE SHARES [SEEDS]` plays one share of the whole matrix and prints what failed.
"""

import copy
import itertools
import json
import random
import sys
import traceback

from oakbase.constants import REJOIN, SLOTS
from oakbase.tasks import sleep, spawn
from oakbase.verdict import CannotTell, InProgress, NoAnswer, OakError
from oakcontrol.client import OwnerClient
from oakcontrol.roster import ROSTER_KEY
from oakcontrol.slots import slot_of_key
from oakcontrol.storeset import STORES_KEY
from oaklab.plan import Size
from oaklab.simfleet import SimFleet
from oakring.ring import Ring
from oakstore.records import RECORD_ROW
from test_store_forming import KEPT, RING_FILE_SIZE, Rig

SERVED = 6.0  # s; within this after one loss within what may be lost, writes are acknowledged again
RECOVER = 12.0  # s; the same after more than that
DOWN = 1.0  # s; how long a machine of a second loss is away
SETTLE = 3.0  # s; at the end without any trouble
WRITE_PAUSE = 0.1  # s; between two writes of the load
CALL = 2.0  # s; that one write may take
TRIES = 5  # calls; for an answer that is clear
ANSWER = 32 << 10  # bytes; of one answer that is kept
SYNC_MOMENT = 0.1  # s; in which a change that has just been acknowledged reaches the slower disks too
FIRSTS = (
    *(("wipe", down) for down in (0.2, 1.0, 2.5)),
    *(("power", down) for down in (0.5, 2.5)),
    *(("cut", down) for down in (1.0, 4.0)),
    ("freeze", 2.5),
    *(("replace_lost", wait) for wait in (0.2, 1.5, 5.0)),
    *(("replace_planned", wait) for wait in (0.3, 2.0, 5.0)),
    ("add", 0.0),
)
SECONDS = ("wipe", "power", "cut", "gone")
MOMENTS = (REJOIN, REJOIN + 0.1)
EARLY = (0.0, 0.3, 0.7, 1.2, 2.0, 3.0)  # s; here more is lost than may be: nothing acknowledged goes all the same


class Unexpected(AssertionError):
    """What must not have happened."""


def rows_on_disk(one, ring_file_size):
    """What a start after a power cut this instant would find at least: the rows of the machine's synced ring."""
    disk = copy.copy(one.disk)
    disk._files = {name: bytearray(data) for name, data in one.disk._durable.items()}
    disk._durable, disk._unsynced = {name: bytearray(data) for name, data in disk._files.items()}, []
    return Ring(disk, one.node.node.log, ring_file_size).table


class Troubles:
    """What may happen to a machine of `self.fleet`. Each gives the machine that is back or new when it is."""

    newcomers = 0

    def newcomer(self, kind):
        self.newcomers += 1
        one = self.fleet.add(kind, 4 + self.newcomers)
        one.seeds = [other.machine.peer for other in self.fleet.of_kind("control") if other.running][:3]
        one.start()
        return one

    def wipe(self, name, down=DOWN):
        one = self.fleet[name]
        one.power_cut()
        one.lose_disk()
        self.fleet.run(down)
        one.start()
        return one

    def power(self, name, down=DOWN):
        one = self.fleet[name]
        one.power_cut()
        self.fleet.run(down)
        one.start()
        return one

    def cut(self, name, down=DOWN):
        one = self.fleet[name]
        self.fleet.mark(name, "cut off")
        others = [other.host.address for other in self.fleet.by_name.values() if other is not one]
        self.fleet.network.cut([one.host.address], others)
        self.fleet.run(down)
        self.fleet.network.heal()
        self.fleet.mark(name, "reached again")
        return one

    def freeze(self, name, down=DOWN):
        one = self.fleet[name]
        one.freeze()
        self.fleet.run(down)
        one.thaw()
        return one

    def gone(self, name, down=DOWN):
        """For good."""
        self.fleet[name].power_cut()
        del self.fleet.by_name[name]
        self.fleet.run(down)

    def replace_lost(self, name, wait):
        """Gone for good; an empty one starts so much later at another address."""
        kind = self.fleet[name].machine.kind
        self.gone(name, wait)
        return self.newcomer(kind)

    def replace_planned(self, name, wait):
        """An empty one starts at another address; so much later the old one is told to end, and is taken away."""
        former = self.fleet[name]
        one = self.newcomer(former.machine.kind)
        self.fleet.run(wait)
        former.stop()
        self.fleet.wait_for("the end of the former one", lambda: not former.running, 8.0)
        self.gone(name, 0.0)
        return one

    def add(self, name, wait):
        one = self.newcomer(self.fleet[name].machine.kind)
        self.fleet.run(wait)
        return one


class ControlLab(Troubles):
    """Control nodes under claims of keys, each of which takes effect once."""

    kind, duty = "control", ROSTER_KEY

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

    def key(self, number):
        return f"claim/p/k{number}"

    async def _claim(self, number, admission, time_left=CALL):
        arguments = {"print": "p", "admission": admission, "gate": "g", "number": number + 1}
        return await self.client.call(self.key(number), "claim", arguments, time_left)

    async def write(self):
        number = self.count
        self.count += 1
        try:
            await self._claim(number, f"first{number}")
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

    def write_long(self, size):
        """One slot grows by so many bytes, in answers that are kept."""
        slot = slot_of_key(self.key(0))
        numbers = (number for number in itertools.count(1000) if slot_of_key(self.key(number)) == slot)
        for number in itertools.islice(numbers, size // ANSWER):
            self.fleet.until(self._claim(number, f"first{number}"))
            arguments = {"print": "p", "admission": f"first{number}", "gate": "g", "number": number + 1}
            arguments |= {"answer": {"body": self.random.randbytes(ANSWER // 2).hex()}}
            self.fleet.until(self.client.call(self.key(number), "finish", arguments, CALL))
            self.acknowledged.append(number)

    def begin(self):
        self.write_all_slots()
        self.load()
        self.fleet.run(1.0)

    def running(self):
        return [one for one in self.fleet.of_kind("control") if one.running and one.node is not None]

    def owner(self, key=ROSTER_KEY):
        """The name of the machine that holds the slot of this key."""
        slot = slot_of_key(key)
        return next((one.name for one in self.running() if slot in one.node.owners.held), "control0")

    def roster(self):
        rosters = [one.node.voter.roster for one in self.running() if one.node.voter.roster is not None]
        return max(rosters, key=lambda roster: roster.version)

    def lacking(self, one):
        """What of the newest images of slots with no change in hand is not on this machine's disk: their numbers."""
        rows, lacking = dict(rows_on_disk(one, self.fleet.ring_file_size).items()), set()
        if one.node.node.node_id not in self.roster().members:
            return set(range(SLOTS))
        for other in self.running():
            for slot, owner in other.node.owners.held.items():
                head = json.loads(rows.get(f"s/{slot}", b"[0,0,0,0,0]"))
                before = f"e{head[4] or ''}/{slot}/"
                entries = {key[len(before) :]: value for key, value in rows.items() if key.startswith(before)}
                if owner.idle and (head[2], head[3], entries) != (owner.epoch, owner.sequence, dict(owner.entries)):
                    lacking.add(slot)
        return lacking

    async def _is_kept(self, number):
        """Another one's claim of the key is refused; an unclear answer is asked for again."""
        for _ in range(TRIES):
            try:
                await self._claim(number, f"second{number}", RECOVER)
                return False
            except InProgress:
                return True
            except (NoAnswer, CannotTell):
                continue
        raise Unexpected(f"nobody says what became of claim {number}")

    def lost(self):
        return [number for number in self.acknowledged if not self.fleet.until(self._is_kept(number))]

    def finish(self):
        """Everything acknowledged is there, and again once all machines have lost their power."""
        self.quiet()
        self.fleet.run(SETTLE)
        expect(not self.lost(), "acknowledged claims are lost")
        for one in self.running():
            one.power_cut()
        for one in self.fleet.of_kind("control"):
            one.start()
        expect(not self.lost(), "acknowledged claims are lost with the power")
        self.fleet.run(REJOIN)
        for one in self.running():
            expect(not self.lacking(one), f"{one.name} lacks images")


class StoreLab(Rig, Troubles):
    """Stores under turns that are retained and recalled."""

    kind, duty = "store", STORES_KEY

    def __init__(self, seed, **options):
        Rig.__init__(self, seed, **options)

    wipe = Troubles.wipe

    def begin(self):
        self.load(KEPT / 2)
        self.fleet.run(2.0)

    def owner(self):
        return Rig.owner(self).name

    def lacking(self, one):
        """Turns that were acknowledged and are not on this machine's disk, if it is a member at all."""
        if one.name not in {member.name for member in self.members()}:
            return set(self.acknowledged) | {"it is no member"}
        rows = rows_on_disk(one, RING_FILE_SIZE)
        return {turn_id for turn_id in self.acknowledged if RECORD_ROW + turn_id not in rows}

    def finish(self):
        self.fleet.run(SETTLE)
        self.wait_full()
        for turn_id, (_, at) in list(self.acknowledged.items()):
            if self.fleet.time.now - at < KEPT - 8:
                expect(self.fleet.until(self.check(turn_id, 5)), f"turn {turn_id} is not recalled")
        expect(not self.faults, str(self.faults))


def expect(condition, otherwise):
    if not condition:
        raise Unexpected(otherwise)


def hold_all(lab, one):
    """The machine has everything on its disk, but for what was acknowledged this instant."""
    lacking = lab.lacking(one)
    if lacking:
        lab.fleet.run(SYNC_MOMENT)
        lacking &= lab.lacking(one)
    expect(not lacking, f"{one.name} lacks {sorted(map(str, lacking))[:5]} {REJOIN} s after it was back")


def wait_written(lab, limit):
    """Until something new is acknowledged."""
    count = len(lab.acknowledged)
    lab.fleet.wait_for("a write being acknowledged", lambda: len(lab.acknowledged) > count, limit)


def play(lab_class, seed, first, second, target, after):
    """One row of the matrix: `first` is (trouble, seconds) on machine 1; `target` is the number of another machine, or
    "owner": who has the duty of changing the members; `after` is counted from the return of the first machine."""
    lab = lab_class(seed)
    fleet = lab.fleet
    lab.begin()
    trouble, seconds = first
    began = fleet.time.now
    one = getattr(lab, trouble)(f"{lab.kind}1", seconds)
    returned_at = began if trouble in ("replace_planned", "add") else fleet.time.now
    fleet.run(max(0.0, returned_at + after - fleet.time.now))
    is_allowed = after >= REJOIN
    if is_allowed and not (lab.kind == "store" and trouble == "add"):  # a spare holds nothing
        hold_all(lab, one)
    name = lab.owner() if target == "owner" else f"{lab.kind}{target}"
    if second == "gone":
        lab.gone(name, 0.0)
        wait_written(lab, SERVED if is_allowed else RECOVER)
        if lab.kind == "store":
            lab.newcomer("store")
    else:
        getattr(lab, second)(name)
        wait_written(lab, SERVED if is_allowed else RECOVER)
    fleet.run(REJOIN)
    wait_written(lab, SERVED)
    lab.finish()
    crashed = [line for line in fleet.lines if "rashed" in line]
    expect(not crashed, str(crashed[:1]))


def cases():
    """The whole matrix. Early moments: second losses that keep the disk at any of them; others of control members
    too, since two of five may be lost before their places are taken."""
    for lab_class, targets in ((ControlLab, (0, 2, 3, 4, "owner")), (StoreLab, (0, 2, "owner"))):
        for first, second, target, after in itertools.product(FIRSTS, SECONDS, targets, MOMENTS + EARLY):
            is_kept = second in ("power", "cut")
            if after >= REJOIN or is_kept or (lab_class is ControlLab and second == "wipe"):
                yield lab_class, first, second, target, after


def main(share, shares, seeds=1):
    played = failed = 0
    for number, row in enumerate(itertools.product(range(seeds), cases())):
        if number % shares != share:
            continue
        seed, (lab_class, *case) = row
        played += 1
        try:
            play(lab_class, 1000 * seed + number, *case)
        except Exception as error:  # noqa: BLE001  every failure of the matrix is to be listed
            failed += 1
            where = traceback.extract_tb(error.__traceback__)[-1]
            print("FAILED", lab_class.__name__, 1000 * seed + number, case, repr(error)[:300], where.lineno, flush=True)
    print(f"{played} played, {failed} failed", flush=True)


if __name__ == "__main__":
    main(*map(int, sys.argv[1:]))
