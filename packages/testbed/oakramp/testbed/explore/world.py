"""The world of an explored schedule: machines with disks, the messages in flight between them, and operators that
change one key."""

import json
import random
from dataclasses import dataclass

from oakramp.common.validation import pack_json
from oakramp.common.errors import OakrampError, StorageError
from oakramp.control.voting_configuration import VOTING_CONFIG_KEY, VotingConfiguration
from oakramp.control.routing import ROUTING_KEY
from oakramp.rpc.codec import arguments_class
from oakramp.testbed.explore.disk import ModelDisk
from oakramp.testbed.explore.history import CallRecord, History
from oakramp.testbed.explore.invariants import InvariantChecker
from oakramp.testbed.explore.network import Message, serve
from oakramp.testbed.explore.process import OPERATOR_HELLO, Process

MESSAGE_TIME = 0.001  # s; passes with each delivery, so that no two steps have the same time
TICK = 0.2  # s; a quarter of a lease
OPERATOR = "op"


@dataclass
class Machine:
    """A machine with a disk, and the process that runs on it, if any."""

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
    """What a world consists of. `spares` are control nodes that are no voters."""

    voters: int = 3
    spares: int = 0
    changes: int = 6  # made by operators, at most
    losses: int = 1  # disks that may be lost in total
    refusing: int = 0  # disks that may reject writes at the same time


@dataclass
class Event:
    """An entry of the timeline."""

    step: int
    at: float
    place: str
    text: str


class World:
    """Invariants: `now` never decreases; a message is in `messages` until it is delivered or dropped; whatever an ended
    process still waits for is in `_retained`, so that its coroutines are not closed by garbage collection."""

    def __init__(self, shape):
        self.shape = shape
        self.now = 0.0
        self.step = 0
        self.random = random.Random(1)
        self.messages, self.events, self.crashes = [], [], []
        self.cuts = set()
        self.requested_joins = set()  # (base version, node id of the new voter) of each requested replacement
        self._retained = []
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
        self.checker = InvariantChecker(self)
        for machine in self.machines.values():
            self.start(machine.name)
            self._bootstrap(machine.process, pack_json(self._first_voting_config))
        self.changes_made = 0

    @staticmethod
    def _bootstrap(process, packed_voting_config):
        process.ring.commit([("roster", packed_voting_config)])
        while process.machine.disk.syncs_waiting:
            process.machine.disk.end_sync()
        process.voter.voting_config = VotingConfiguration(json.loads(packed_voting_config))

    # --- queries ---

    def process_at(self, address):
        return next((machine.process for machine in self.machines.values() if machine.address == address), None)

    def machine_of(self, node_id):
        return next((machine for machine in self.machines.values() if machine.node_id == node_id), None)

    def processes(self):
        return [machine.process for machine in self.machines.values() if machine.process is not None]

    def is_answering(self, name, address):
        """Whether the node at the address would reply now to a pull from this machine."""
        other = next((machine for machine in self.machines.values() if machine.address == address), None)
        if other is None or other.process is None or other.frozen:
            return False
        return not {(name, other.name), (other.name, name)} & self.cuts

    def voting_config(self):
        """The newest voting configuration that any process holds."""
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

    def add_log_event(self, place, event, pairs):
        is_unexpected = event in ("log_write_failed", "log_recovery_failed") and not self.shape.refusing
        if "rashed" in event or is_unexpected:
            self.crashes.append(f"{place}: {event} {pairs}")
        self.note(place, f"{event} " + " ".join(f"{key}={value}" for key, value in pairs.items()))

    # --- messages ---

    def post(self, message):
        self.messages.append(message)

    def post_call(self, sender, receiver, method, call_arguments, on_reply):
        """Posts a call from process to process; its reply is a separate message."""

        def arrive():
            serve(receiver, sender_hello, method, call_arguments, post_reply)

        def post_reply(result, error):
            if receiver.clock.stopped:
                return
            self.checker.on_reply(receiver, method, call_arguments, result)
            label = f"{receiver.name}>{sender.name}:{method}-answer"
            self.post(Message(label, receiver, sender, lambda: on_reply(result, error)))

        sender_hello = sender.net.hello()
        self.post(Message(f"{sender.name}>{receiver.name}:{method}", sender, receiver, arrive))

    def fire_short_timers(self):
        """Fires timers that are due at once or after a very short delay; they are not chosen by the schedule."""
        while any(
            machine.process.clock.fire_short()
            for machine in self.machines.values()
            if machine.process is not None and not machine.frozen
        ):
            pass

    def arrive(self, message):
        """Delivers the message, if its receiver still runs."""
        self.now += MESSAGE_TIME
        receiver = message.receiver
        if receiver is not OPERATOR and receiver.clock.stopped:
            return
        message.deliver()

    # --- operators ---

    def put(self, name, base, version):
        """An operator sends a change to a process."""
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
        self._send_operator_call(name, ROUTING_KEY, "put", arguments, copy)

    def ask_outcome(self, name, change):
        """Asks for the outcome of a change; recorded as a copy of the change that changes nothing."""
        arguments = {"based_on": change.base, "fingerprint": change.fingerprint}
        self._send_operator_call(
            name, ROUTING_KEY, "outcome", arguments, self.history.begin_copy(change, self.step, "outcome")
        )

    def read(self, name):
        self._send_operator_call(name, ROUTING_KEY, "read", {}, self.history.begin_read(self.step))

    def replace_member(self, name, leaving, joining):
        """An operator sends a change of the voting configuration to a process."""
        voting_config = self.voting_config()
        joining_member = self.machines[joining]
        self.requested_joins.add((voting_config.version, joining_member.node_id))
        arguments = {
            "basedOn": voting_config.version,
            "leaving": leaving,
            "joining": {"nodeId": joining_member.node_id, "peer": joining_member.address},
        }
        self._send_operator_call(name, VOTING_CONFIG_KEY, "replace", arguments, CallRecord(self.step))

    def _send_operator_call(self, name, key, command, arguments, call):
        process = self.machines[name].process
        if process is None:
            return
        call_arguments = arguments_class("ownerCall")(
            key=key, command=command, arguments_json=pack_json(arguments).decode()
        )

        def arrive():
            serve(process, OPERATOR_HELLO, "ownerCall", call_arguments, post_reply)

        def post_reply(result, error):
            if process.clock.stopped:
                return
            label = f"{process.name}>{OPERATOR}:{command}-answer"
            self.post(Message(label, process, OPERATOR, lambda: on_reply(result, error)))

        def on_reply(result, error):
            if call.is_done():
                return
            call.end(self.step, json.loads(result) if error is None else None, error)
            self.note(OPERATOR, f"{call.about} at {name}: {result if error is None else error}")
            if error is not None and not isinstance(error, OakrampError):
                self.crashes.append(repr(error))

        self.post(Message(f"{OPERATOR}>{name}:{command}", OPERATOR, process, arrive))

    # --- processes and disks ---

    def start(self, name):
        machine = self.machines[name]
        machine.starts += 1
        try:
            machine.process = Process(self, machine, machine.starts)
        except StorageError as error:  # no fault in these worlds corrupts a log
            self.crashes.append(f"{name} does not start: {error.reason}")

    def end(self, name, keeps_unsynced):
        """The process ends, or the machine loses power; unsynced writes are kept or lost."""
        machine = self.machines[name]
        machine.process.end()
        self._retained.append((machine.process, machine.disk.syncs_waiting))
        machine.process, machine.frozen = None, False
        machine.disk.process_ended(keeps_unsynced)

    def wipe(self, name):
        """The machine loses power and its disk. The next process on it is a new node."""
        machine = self.machines[name]
        self.end(name, False)
        machine.wipes += 1
        self._retained.append(machine.disk)
        machine.disk, machine.node_id = ModelDisk(), f"{name}.{machine.wipes}"

    def cut(self, name, outgoing=True, incoming=True):
        others = [other for other in self.machines if other != name]
        self.cuts |= {(name, other) for other in others if outgoing}
        self.cuts |= {(other, name) for other in others if incoming}

    def heal(self):
        self.cuts.clear()


def place_of(end):
    return end if end is OPERATOR else end.name
