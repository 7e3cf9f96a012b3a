"""Causes a loss right after another loss or a membership change, on a simulated fleet, for test_second_loss.

A first fault happens to one machine with a disk, then a second one to another. What was acknowledged before, between
and after must be there at the end; and a machine must hold everything on its disk once it has been back for REJOIN.

By hand, `python tests/second_loss.py measure` prints how long a complete copy takes and what it costs, and
`python tests/second_loss.py SHARE SHARES [SEEDS]` runs one share of the whole matrix and prints the failures.
"""

import copy
import itertools
import json
import random
import sys
import time
import traceback

from oakramp.common.constants import REJOIN, SHARDS
from oakramp.common.errors import (
    InProgressError,
    OakrampError,
    OutcomeLostError,
    OutcomeUnknownError,
    QuorumUnavailableError,
)
from oakramp.common.tasks import settled, sleep, spawn
from oakramp.control.shard_client import ShardClient
from oakramp.control.shards import shard_of_key
from oakramp.control.store_membership import STORES_KEY
from oakramp.control.voting_configuration import VOTING_CONFIG_KEY
from oakramp.storage.circular_log import CircularLog
from oakramp.store.records import RECORD_ROW
from oakramp.testbed.plan import Size
from oakramp.testbed.simfleet import SimFleet
from test_store_forming import KEPT, RING_FILE_SIZE, Rig

SERVED = 6.0  # s; after one loss that is within the tolerated losses, writes are acknowledged again within this
RECOVER = 12.0  # s; the same after more losses than are tolerated
DOWN = 1.0  # s; how long the machine of a second loss is down
SETTLE = 3.0  # s; at the end, without any fault
WRITE_PAUSE = 0.1  # s; between two writes of the load
CALL = 2.0  # s; time limit of one write
TRIES = 5  # calls; until the outcome is known
ANSWER = 32 << 10  # bytes of one answer that is kept
BATCH = 64  # writes; under way at once while a cluster is filled
STEP = 0.05  # s; between two checks of a copy
PHASE_STEP = 0.002  # s; between two checks of the phase of a change
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
RETIRING = ("order_retirement", "retire")
RETIRING_MOMENTS = (0.0, 0.05, 0.1, 0.2, 0.4, 1.0, REJOIN)
MOMENTS = (REJOIN, REJOIN + 0.1)
EARLY = (0.0, 0.3, 0.7, 1.2, 2.0, 3.0)  # s; more than the tolerated losses; yet nothing acknowledged may be lost


class Unexpected(AssertionError):
    """A violation of what the test expects."""


def rows_on_disk(one, ring_file_size):
    """The rows that a start after a power cut at this moment would find at least: those of the machine's synced ring."""
    disk = copy.copy(one.disk)
    disk._files = {name: bytearray(data) for name, data in one.disk._durable.items()}
    disk._durable, disk._unsynced = {name: bytearray(data) for name, data in disk._files.items()}, []
    return CircularLog(disk, one.node.node.log, ring_file_size).table


class Faults:
    """Faults of a machine of `self.fleet`. Each returns the machine that is back, or is new, once it is up."""

    joining_members = 0

    def joining_member(self, kind):
        self.joining_members += 1
        one = self.fleet.add(kind, 4 + self.joining_members)
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
        """Removes the machine for good."""
        self.fleet[name].power_cut()
        del self.fleet.by_name[name]
        self.fleet.run(down)

    def replace_lost(self, name, wait):
        """Removes the machine for good; `wait` seconds later, an empty one starts at another address."""
        kind = self.fleet[name].machine.kind
        self.gone(name, wait)
        return self.joining_member(kind)

    def replace_planned(self, name, wait):
        """Starts an empty machine at another address; `wait` seconds later, the old one is told to stop and is removed."""
        previous = self.fleet[name]
        one = self.joining_member(previous.machine.kind)
        self.fleet.run(wait)
        previous.stop()
        self.fleet.wait_for("the end of the former one", lambda: not previous.running, 8.0)
        self.gone(name, 0.0)
        return one

    def add(self, name, wait):
        one = self.joining_member(self.fleet[name].machine.kind)
        self.fleet.run(wait)
        return one


class ControlLab(Faults):
    """Control nodes under claims of keys, each of which takes effect once."""

    kind, phases = "control", ("joint",)

    def __init__(self, seed, controls=5, **options):
        self.fleet = SimFleet(seed, Size(1, 0, controls, ()), self_forming=True, **options)
        for one in self.fleet.by_name.values():
            one.start()
        self.fleet.wait_formed()
        self.fleet.first_start = False
        self.fleet.run(1.0)
        self.client = ShardClient(self.fleet["gate0"].node.node)
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
        except OakrampError:
            return
        self.acknowledged.append(number)

    async def _load(self):
        while self.writing:
            await self.write()
            await sleep(self.fleet.client_reactor, WRITE_PAUSE)

    def load(self):
        self.writing = True
        spawn(self._load(), self.fleet.lab_log)

    def quiet(self):
        self.writing = False
        self.fleet.run(CALL)

    def write_all_shards(self):
        """Makes at least one acknowledged write to each shard."""
        wanted = set(range(SHARDS))
        while wanted:
            number, before = self.count, len(self.acknowledged)
            if shard_of_key(self.key(number)) not in wanted:
                self.count += 1
                continue
            self.fleet.until(self.write())
            if len(self.acknowledged) > before:
                wanted.discard(shard_of_key(self.key(number)))

    def write_long(self, size):
        """Makes one shard grow by `size` bytes, in answers that are kept."""
        shard = shard_of_key(self.key(0))
        numbers = (number for number in itertools.count(1000) if shard_of_key(self.key(number)) == shard)
        for number in itertools.islice(numbers, size // ANSWER):
            self.fleet.until(self._claim(number, f"first{number}"))
            arguments = {"print": "p", "admission": f"first{number}", "gate": "g", "number": number + 1}
            arguments |= {"answer": {"body": self.random.randbytes(ANSWER // 2).hex()}}
            self.fleet.until(self.client.call(self.key(number), "finish", arguments, CALL))
            self.acknowledged.append(number)

    def begin(self):
        self.write_all_shards()
        self.load()
        self.fleet.run(1.0)

    def running(self):
        return [one for one in self.fleet.of_kind("control") if one.running and one.node is not None]

    def owner(self, key=VOTING_CONFIG_KEY):
        """The name of the machine that leads the shard of this key."""
        shard = shard_of_key(key)
        return next((one.name for one in self.running() if shard in one.node.leaders.active), "control0")

    def voting_config(self):
        voting_configs = [
            one.node.voter.voting_config for one in self.running() if one.node.voter.voting_config is not None
        ]
        return max(voting_configs, key=lambda voting_config: voting_config.version)

    def phase(self):
        return "joint" if self.voting_config().next is not None else "stable"

    def missing(self, one):
        """The numbers of the shards with no change under way whose newest snapshot is not on this machine's disk."""
        rows, missing = dict(rows_on_disk(one, self.fleet.ring_file_size).items()), set()
        if one.node.node.node_id not in self.voting_config().members:
            return set(range(SHARDS))
        for other in self.running():
            for shard, owner in other.node.leaders.active.items():
                head = json.loads(rows.get(f"s/{shard}", b"[0,0,0,0,0]"))
                before = f"e{head[4] or ''}/{shard}/"
                entries = {key[len(before) :]: value for key, value in rows.items() if key.startswith(before)}
                if owner.idle and (head[2], head[3], entries) != (owner.epoch, owner.sequence, dict(owner.entries)):
                    missing.add(shard)
        return missing

    async def _is_kept(self, number):
        """Whether a claim of the key by another admission is rejected; asks again after an unknown outcome."""
        for _ in range(TRIES):
            try:
                await self._claim(number, f"second{number}", RECOVER)
                return False
            except (InProgressError, OutcomeLostError):
                return True
            except (OutcomeUnknownError, QuorumUnavailableError):
                continue
        raise Unexpected(f"no answer tells the outcome of claim {number}")

    def lost(self):
        return [number for number in self.acknowledged if not self.fleet.until(self._is_kept(number))]

    def finish(self):
        """Checks that everything acknowledged is there, also after a power cut of all machines."""
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
            expect(not self.missing(one), f"{one.name} lacks snapshots")


class StoreLab(Rig, Faults):
    """Stores under turns that are retained and recalled."""

    kind, phases = "store", ("joining", "moving")

    def __init__(self, seed, **options):
        Rig.__init__(self, seed, **options)

    wipe = Faults.wipe

    def begin(self):
        self.load(KEPT / 2)
        self.fleet.run(2.0)

    def owner(self):
        return next((one.name for one in self.fleet.of_kind("control") if self._leads_store_set(one)), "control0")

    @staticmethod
    def _leads_store_set(one):
        return one.running and shard_of_key(STORES_KEY) in one.node.leaders.active

    def phase(self):
        return self.record()["phase"]

    def order_retirement(self, name, _wait):
        """Orders the retirement of a machine once a spare has been there for REJOIN. Does not count as a loss."""
        one = self.joining_member("store")
        self.fleet.run(REJOIN)
        self.command("retire", machine=name)
        self.retired = name
        return one

    def retire(self, name, wait):
        """Like `order_retirement`; the machine is removed with its disk as soon as it is reported as delivered."""
        one = self.order_retirement(name, wait)
        self.take_retired()
        return one

    def take_retired(self):
        name, self.retired = self.retired, None
        self.fleet.wait_for(
            "delivery", lambda: self.command("retired", machine=name)["state"] == "delivered", 2 * RECOVER
        )
        self.gone(name, 0.0)

    retired = None

    def missing(self, one):
        """The acknowledged turns that are not on this machine's disk; all of them if it is not a member."""
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


def check_complete(lab, one):
    """Checks that the machine has everything on its disk, except what was acknowledged at this moment."""
    missing = lab.missing(one)
    if missing:
        lab.fleet.run(SYNC_MOMENT)
        missing &= lab.missing(one)
    expect(not missing, f"{one.name} lacks {sorted(map(str, missing))[:5]} {REJOIN} s after it was back")


def wait_written(lab, limit):
    """Waits until another write is acknowledged."""
    count = len(lab.acknowledged)
    lab.fleet.wait_for("a write being acknowledged", lambda: len(lab.acknowledged) > count, limit)


def wait_phase(lab, phase):
    """Waits for a phase. If the change is over before it is seen, the second loss comes right after the change."""
    ends_at = lab.fleet.time.now + REJOIN
    while lab.phase() != phase and lab.fleet.time.now < ends_at:
        lab.fleet.run(PHASE_STEP)


def play(lab_class, seed, first, second, target, after):
    """Runs one case of the matrix: `first` is (fault, seconds) on machine 1, or (fault, seconds, "owner"); `target` is
    the number of another machine, or "owner": the machine that leads the key of the membership; `after` is counted in
    seconds from the return of the first machine, or names the phase of the change that its fault causes."""
    lab = lab_class(seed)
    fleet = lab.fleet
    lab.begin()
    trouble, seconds, *on_owner = first
    began = fleet.time.now
    first_name = lab.owner() if on_owner else f"{lab.kind}1"
    one = getattr(lab, trouble)(first_name, seconds)
    returned_at = began if trouble in ("replace_planned", "add") else fleet.time.now
    if after in lab.phases:
        wait_phase(lab, after)
    else:
        fleet.run(max(0.0, returned_at + after - fleet.time.now))
    is_retiring = trouble in RETIRING
    is_allowed = is_retiring or after not in lab.phases and after >= REJOIN
    is_member = one.machine.kind == lab.kind and (lab.kind, trouble) != ("store", "add")  # a spare holds no data
    if trouble == "retire" or is_allowed and not is_retiring and is_member:
        check_complete(lab, one)
    name = lab.owner() if target == "owner" else f"{lab.kind}{target}"
    if name in (first_name, one.name):
        return  # the second loss must be of another machine
    if second == "gone":
        lab.gone(name, 0.0)
        wait_written(lab, SERVED if is_allowed else RECOVER)
        if lab.kind == "store":
            lab.joining_member("store")
    else:
        getattr(lab, second)(name)
        wait_written(lab, SERVED if is_allowed else RECOVER)
    if trouble == "order_retirement":
        lab.take_retired()
    fleet.run(REJOIN)
    wait_written(lab, SERVED)
    lab.finish()
    crashed = [line for line in fleet.lines if "rashed" in line]
    expect(not crashed, str(crashed[:1]))


def cases():
    """The whole matrix. At the early moments, only second losses that keep the disk, and for control nodes also those
    that lose it, because two of five may be lost before they are replaced."""
    for lab_class, targets in ((ControlLab, (0, 2, 3, 4, "owner")), (StoreLab, (0, 2, "owner"))):
        early = EARLY + lab_class.phases
        for first, second, target, after in itertools.product(FIRSTS, SECONDS, targets, MOMENTS + early):
            is_kept = second in ("power", "cut") or (lab_class is ControlLab and second == "wipe")
            if after not in early or is_kept:
                yield lab_class, first, second, target, after
        for first, second, target in itertools.product(FIRSTS, SECONDS, targets):
            yield lab_class, (*first, "owner"), second, target, REJOIN
    for trouble, second, target, after in itertools.product(RETIRING, SECONDS, (0, 2, "owner"), RETIRING_MOMENTS):
        yield StoreLab, (trouble, 0.0), second, target, after


def fill_control(lab, keys):
    """Writes `keys` keys, each of which is a row of its own, in batches."""
    for start in range(0, keys, BATCH):
        writes = [lab._claim(number, f"first{number}", RECOVER) for number in range(start, min(keys, start + BATCH))]
        for ok, error in lab.fleet.until(settled(writes)):
            expect(ok, str(error))


def fill_stores(lab, lines, size):
    for start in range(0, lines, BATCH // 8):
        numbers = range(start, min(lines, start + BATCH // 8))
        writes = [lab.keep(f"t{number}", session=f"s{number}", size=size) for number in numbers]
        for ok, error in lab.fleet.until(settled(writes)):
            expect(ok, str(error))


def measure_copy(lab, one, is_whole):
    """(simulated seconds, MB sent by all, CPU seconds of all nodes) until this empty machine has everything."""
    network, began, cpu_began = lab.fleet.network, lab.fleet.time.now, time.process_time()
    sent = sum(network.bytes_from.values())
    while not is_whole():
        expect(lab.fleet.time.now - began < 120.0, "no whole copy in two minutes")
        lab.fleet.run(STEP)
    mb = (sum(network.bytes_from.values()) - sent) / 1e6
    return round(lab.fleet.time.now - began, 2), round(mb, 2), round(time.process_time() - cpu_began, 2)


def measure():
    """Prints how long an empty machine takes from its start, in place of its previous incarnation, until it is
    complete."""
    for keys, long_shard in ((1000, 0), (10000, 0), (1000, 1 << 20)):
        lab = ControlLab(1, ring_file_size=4 << 20)
        fill_control(lab, keys)
        if long_shard:
            lab.write_long(long_shard)
        one = lab.wipe("control1", 1.0)

        def has_snapshots(lab=lab, one=one):
            return one.node.node.node_id in lab.voting_config().members and not lab.missing(one)

        print("control", keys, "keys, one slot of", long_shard, "bytes more:", *measure_copy(lab, one, has_snapshots))
    for lines, size in ((1000, 400), (10000, 400), (1000, 24000), (3000, 24000)):
        lab = StoreLab(1, ring_file_size=max(RING_FILE_SIZE, lines * (size * 5 // 4 + 1000)))
        fill_stores(lab, lines, size)
        one = lab.wipe("store1", 1.0)

        def covers(lab=lab, one=one):
            return lab.record()["phase"] == "stable" and one.node.store.covers

        print("store", lines, "lines of", size * 5 // 4, "bytes:", *measure_copy(lab, one, covers), flush=True)


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
    measure() if sys.argv[1:] == ["measure"] else main(*map(int, sys.argv[1:]))
