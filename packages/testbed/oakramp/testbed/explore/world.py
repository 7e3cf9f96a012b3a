"""An explored world: machines with disks, the messages under way between them, and operators that change one key."""

import json
import random
from dataclasses import dataclass

from oakramp.common.validation import pack_json
from oakramp.common.errors import OakrampError, StorageError
from oakramp.control.voting_configuration import VOTING_CONFIG_KEY, VotingConfiguration
from oakramp.control.routing import ROUTING_KEY
from oakramp.rpc.codec import arguments_class
from oakramp.testbed.explore.disk import ModelDisk
from oakramp.testbed.explore.history import Answer, History
from oakramp.testbed.explore.invariants import Watcher
from oakramp.testbed.explore.network import Message, serve
from oakramp.testbed.explore.process import OPERATOR_HELLO, Process

MESSAGE_TIME = 0.001  # s; that passes with each delivery, so that no two steps are at one instant
TICK = 0.2  # s; a quarter of a term
OPERATOR = "op"


@dataclass
class Machine:
    """A place with a disk, and the process that runs there, if one does."""

    name: str
    address: str
    node_id: str
    disk: ModelDisk
    process: object = None
    starts: int = 0
    wipes: int = 0
    frozen: bool = False


@dataclass(frozen=True)
class Shape:
    """What a world consists of. `spares` are control nodes without a vote."""

    voters: int = 3
    spares: int = 0
    changes: int = 6  # that operators make at most
    losses: int = 1  # disks that may be lost in all
    refusing: int = 0  # disks that may refuse for a while at one time


@dataclass
class Event:
    """A line of the timeline."""

    step: int
    at: float
    place: str
    text: str


class World:
    """Invariants: `now` never falls; a message is in `messages` until it is delivered or dropped; whatever an ended
    process still waits for is in `_graves`, so that its coroutines are not finished by being collected."""

    def __init__(self, shape):
        self.shape = shape
        self.now = 0.0
        self.step = 0
        self.random = random.Random(1)
        self.messages, self.events, self.crashes = [], [], []
        self.cuts = set()
        self.named_joining = set()  # (version built on, node id) of each replacement that was asked for
        self._graves = []
        self.history = History()
        self.machines = {}
        for number in range(shape.voters + shape.spares):
            name = f"n{number}"
            self.machines[name] = Machine(name, f"10.0.0.{number + 1}:7000", f"{name}.0", ModelDisk())
        members = [machine for machine in self.machines.values()][: shape.voters]
        self._first_voting_config = {
            "version": 1,
            "members": {machine.node_id: machine.address for machine in members},
            "next": None,
        }
        self.first_members = frozenset(self._first_voting_config["members"])
        self.watcher = Watcher(self)
        for machine in self.machines.values():
            self.start(machine.name)
            self._begin(machine.process, pack_json(self._first_voting_config))
        self.changes_made = 0

    @staticmethod
    def _begin(process, packed_voting_config):
        process.ring.commit([("roster", packed_voting_config)])
        while process.machine.disk.syncs_waiting:
            process.machine.disk.end_sync()
        process.voter.voting_config = VotingConfiguration(json.loads(packed_voting_config))

    # --- looking ---

    def process_at(self, address):
        return next((machine.process for machine in self.machines.values() if machine.address == address), None)

    def machine_of(self, node_id):
        return next((machine for machine in self.machines.values() if machine.node_id == node_id), None)

    def processes(self):
        return [machine.process for machine in self.machines.values() if machine.process is not None]

    def is_answering(self, name, address):
        """Whether a pull from this machine would be answered now by whoever is at the address."""
        other = next((machine for machine in self.machines.values() if machine.address == address), None)
        if other is None or other.process is None or other.frozen:
            return False
        return not {(name, other.name), (other.name, name)} & self.cuts

    def voting_config(self):
        """The newest roster that a process stands in."""
        return max(
            (process.voter.voting_config for process in self.processes() if process.voter.voting_config is not None),
            key=lambda voting_config: voting_config.version,
            default=None,
        )

    def can_deliver(self, message):
        sender, receiver = place_of(message.sender), place_of(message.receiver)
        return (sender, receiver) not in self.cuts and not (receiver != OPERATOR and self.machines[receiver].frozen)

    def note(self, place, text):
        self.events.append(Event(self.step, self.now, place, text))

    def logged(self, place, event, pairs):
        is_unexpected = event in ("log_write_failed", "log_recovery_failed") and not self.shape.refusing
        if "rashed" in event or is_unexpected:
            self.crashes.append(f"{place}: {event} {pairs}")
        self.note(place, f"{event} " + " ".join(f"{key}={value}" for key, value in pairs.items()))

    # --- messages ---

    def post(self, message):
        self.messages.append(message)

    def post_call(self, sender, receiver, method, ask, answered):
        """A call from process to process; its answer is a message of its own."""

        def arrive():
            serve(receiver, sender_hello, method, ask, post_answer)

        def post_answer(result, error):
            if receiver.clock.stopped:
                return
            self.watcher.answered(receiver, method, ask, result)
            label = f"{receiver.name}>{sender.name}:{method}-answer"
            self.post(Message(label, receiver, sender, lambda: answered(result, error)))

        sender_hello = sender.net.hello()
        self.post(Message(f"{sender.name}>{receiver.name}:{method}", sender, receiver, arrive))

    def fire_short_timers(self):
        """What a process does at once or within a moment needs no choice of the schedule."""
        while any(
            machine.process.clock.fire_short()
            for machine in self.machines.values()
            if machine.process is not None and not machine.frozen
        ):
            pass

    def arrive(self, message):
        """Delivers it, if who it is for still runs."""
        self.now += MESSAGE_TIME
        receiver = message.receiver
        if receiver is not OPERATOR and receiver.clock.stopped:
            return
        message.deliver()

    # --- operators ---

    def put(self, name, base, version):
        """An operator's change, sent to a process."""
        self.changes_made += 1
        change = self.history.begin_change(f"f{self.changes_made}", base, version, self.step)
        self.send_change(name, change)

    def send_change(self, name, change):
        arguments = {
            "based_on": change.base,
            "version": change.version,
            "fingerprint": change.fingerprint,
            "document": {"routes": [{"name": "route", "by": change.fingerprint}]},
        }
        copy = self.history.begin_copy(change, self.step)
        self._ask(name, ROUTING_KEY, "put", arguments, copy)

    def ask_outcome(self, name, change):
        """The question what became of a change, as a copy of it that takes nothing."""
        arguments = {"based_on": change.base, "fingerprint": change.fingerprint}
        self._ask(name, ROUTING_KEY, "outcome", arguments, self.history.begin_copy(change, self.step, "outcome"))

    def read(self, name):
        self._ask(name, ROUTING_KEY, "read", {}, self.history.begin_read(self.step))

    def replace_member(self, name, leaving, joining):
        """A change of the roster, sent to a process."""
        voting_config = self.voting_config()
        joining_member = self.machines[joining]
        self.named_joining.add((voting_config.version, joining_member.node_id))
        arguments = {
            "basedOn": voting_config.version,
            "leaving": leaving,
            "joining": {"nodeId": joining_member.node_id, "peer": joining_member.address},
        }
        self._ask(name, VOTING_CONFIG_KEY, "replace", arguments, Answer(self.step))

    def _ask(self, name, key, command, arguments, answer):
        process = self.machines[name].process
        if process is None:
            return
        ask = arguments_class("ownerCall")(key=key, command=command, arguments_json=pack_json(arguments).decode())

        def arrive():
            serve(process, OPERATOR_HELLO, "ownerCall", ask, post_answer)

        def post_answer(result, error):
            if process.clock.stopped:
                return
            label = f"{process.name}>{OPERATOR}:{command}-answer"
            self.post(Message(label, process, OPERATOR, lambda: answered(result, error)))

        def answered(result, error):
            if answer.is_done():
                return
            answer.end(self.step, json.loads(result) if error is None else None, error)
            self.note(OPERATOR, f"{answer.about} at {name}: {result if error is None else error}")
            if error is not None and not isinstance(error, OakrampError):
                self.crashes.append(repr(error))

        self.post(Message(f"{OPERATOR}>{name}:{command}", OPERATOR, process, arrive))

    # --- processes and disks ---

    def start(self, name):
        machine = self.machines[name]
        machine.starts += 1
        try:
            machine.process = Process(self, machine, machine.starts)
        except StorageError as error:  # no fault of these worlds damages a log
            self.crashes.append(f"{name} does not start: {error.reason}")

    def end(self, name, keeps_unsynced):
        """The process ends, or the power does; what had been written and not synced is kept or lost."""
        machine = self.machines[name]
        machine.process.end()
        self._graves.append((machine.process, machine.disk.syncs_waiting))
        machine.process, machine.frozen = None, False
        machine.disk.process_ended(keeps_unsynced)

    def wipe(self, name):
        """The disk is lost with the power. Whoever starts here next is a new node."""
        machine = self.machines[name]
        self.end(name, False)
        machine.wipes += 1
        self._graves.append(machine.disk)
        machine.disk, machine.node_id = ModelDisk(), f"{name}.{machine.wipes}"

    def cut(self, name, outgoing=True, incoming=True):
        others = [other for other in self.machines if other != name]
        self.cuts |= {(name, other) for other in others if outgoing}
        self.cuts |= {(other, name) for other in others if incoming}

    def heal(self):
        self.cuts.clear()


def place_of(end):
    return end if end is OPERATOR else end.name
