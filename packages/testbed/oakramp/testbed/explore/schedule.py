"""A schedule is a list of choices; each is a line of text, and means the same in every replay.

A replay skips a choice that does not apply in its place, so that a schedule can be shortened line by line."""

from dataclasses import dataclass

from oakramp.testbed.explore.world import OPERATOR, TICK


@dataclass(frozen=True)
class Choice:
    """What happens next: its kind, its subject (a machine, or the label of a message), and further details."""

    kind: str
    subject: str = ""
    detail: str = ""

    def __str__(self):
        return " ".join(part for part in (self.kind, self.subject, self.detail) if part)

    @classmethod
    def parse(cls, line):
        return cls(*line.split())


def message_choice(world, kind, message):
    """The choice for this message, by its label and its index among the messages with that label."""
    same_label = [one for one in world.messages if one.label == message.label]
    return Choice(kind, message.label, str(same_label.index(message)))


def _message(world, choice):
    same_label = [one for one in world.messages if one.label == choice.subject]
    index = int(choice.detail)
    return same_label[index] if index < len(same_label) else None


def _running(world, choice):
    """The process of the choice's machine, if it runs and is not frozen."""
    machine = world.machines[choice.subject]
    return None if machine.frozen else machine.process


# --- what each kind does; False if it does not apply --------------------------------


def _deliver(world, choice):
    message = _message(world, choice)
    if message is None or not world.can_deliver(message):
        return False
    world.messages.remove(message)
    world.arrive(message)
    return True


def _drop(world, choice):
    message = _message(world, choice)
    if message is None:
        return False
    world.messages.remove(message)
    return True


def _delay(world, choice):
    """The message arrives after all others that are in flight now."""
    message = _message(world, choice)
    if message is None or message is world.messages[-1]:
        return False
    world.messages.remove(message)
    world.messages.append(message)
    return True


def _repeat(world, choice):
    """A call between processes arrives twice. Operators repeat calls by `again` instead, which records each copy's
    reply."""
    message = _message(world, choice)
    if message is None or OPERATOR in (message.sender, message.receiver) or not world.can_deliver(message):
        return False
    world.arrive(message)
    return True


def _sync(world, choice):
    machine = world.machines[choice.subject]
    if machine.process is None or machine.frozen or not machine.disk.syncs_waiting:
        return False
    machine.disk.end_sync()
    return True


def _timer(world, choice):
    process = _running(world, choice)
    timer = process and process.clock.next_timer()
    if not timer:
        return False
    world.now = max(world.now, timer.due)
    timer.fire()
    return True


def _tick(world, _choice):
    world.now += TICK
    return True


def _failover(world, choice):
    process = _running(world, choice)
    if process is None or not process.can_failover():
        return False
    process.failover()
    return True


def _renew(world, choice):
    process = _running(world, choice)
    if process is None or process.leader is None:
        return False
    process.renew()
    return True


def _update(world, choice):
    process = _running(world, choice)
    if process is None or process.leader is None:
        return False
    process.update_voters()
    return True


def _expiry(world, choice):
    process = _running(world, choice)
    if process is None or not process.is_voter():
        return False
    process.poll_for_lapses()
    return True


def _watch(world, choice):
    process = _running(world, choice)
    if process is None:
        return False
    process.watch_voting_config()
    return True


def _leave(world, choice):
    process = _running(world, choice)
    if process is None or process.voter.voting_config is None or process.is_voter():
        return False
    process.leave_voting_config()
    return True


def _pull(world, choice):
    process, other = _running(world, choice), world.machines[choice.detail].process
    if process is None or other is None:
        return False
    process.pull_from(other)
    return True


def _end_process(keeps_unsynced):
    def end(world, choice):
        if world.machines[choice.subject].process is None:
            return False
        world.end(choice.subject, keeps_unsynced)
        return True

    return end


def _start(world, choice):
    machine = world.machines[choice.subject]
    if machine.process is not None or machine.disk.failing:
        return False  # a log opens only on a disk that accepts writes
    world.start(choice.subject)
    return True


def _is_full_replica(world, node_id, voting_config):
    """Whether this member is a full replica: it has its disk, and if it joined later, it has the newest voting
    configuration and a snapshot as new as any other. Reaching that takes it no longer than the time after which the
    next disk may be lost."""
    machine = world.machine_of(node_id)
    if machine is None:
        return False
    if node_id in world.first_members:
        return True
    process = machine.process
    if (
        process is None
        or process.voter.voting_config is None
        or process.voter.voting_config.version < voting_config.version
    ):
        return False
    return process.table()[:2] == max(one.table()[:2] for one in world.processes())


def may_lose_disk(world):
    """Whether the bounds allow the loss of one more disk now: the total, and how many are lost at the same time among
    the members of the newest voting configuration and the nodes that requested changes may make members."""
    if sum(machine.wipes for machine in world.machines.values()) >= world.shape.losses:
        return False
    voting_config = world.voting_config()
    if voting_config is None or voting_config.next is not None:
        return False
    joining = {node_id for version, node_id in world.requested_joins if version >= voting_config.version}
    lost = sum(not _is_full_replica(world, node_id, voting_config) for node_id in voting_config.members)
    lost += sum(world.machine_of(node_id) is None for node_id in joining)
    return lost < (world.shape.voters - 1) // 2


def _wipe(world, choice):
    if world.machines[choice.subject].process is None or not may_lose_disk(world):
        return False
    world.wipe(choice.subject)
    return True


def _refuse(world, choice):
    """The machine's disk rejects all writes from now on, until `accept`."""
    machine = world.machines[choice.subject]
    refusing = sum(one.disk.failing for one in world.machines.values())
    if machine.process is None or machine.disk.failing or refusing >= world.shape.refusing:
        return False
    machine.disk.failing = True
    return True


def _accept(world, choice):
    machine = world.machines[choice.subject]
    if not machine.disk.failing:
        return False
    machine.disk.failing = False
    return True


def _freeze(world, choice):
    machine = world.machines[choice.subject]
    if machine.process is None or machine.frozen:
        return False
    machine.frozen = True
    return True


def _thaw(world, choice):
    machine = world.machines[choice.subject]
    if not machine.frozen:
        return False
    machine.frozen = False
    return True


def _cut(outgoing, incoming):
    def cut(world, choice):
        world.cut(choice.subject, outgoing, incoming)
        return True

    return cut


def _heal(world, _choice):
    if not world.cuts:
        return False
    world.heal()
    return True


def _put(world, choice):
    """`detail` is base>version."""
    if world.machines[choice.subject].process is None or world.changes_made >= world.shape.changes:
        return False
    base, _, version = choice.detail.partition(">")
    world.put(choice.subject, int(base), int(version))
    return True


def _again(world, choice):
    change = world.history.changes.get(choice.detail)
    if change is None or world.machines[choice.subject].process is None:
        return False
    world.send_change(choice.subject, change)
    return True


def _outcome(world, choice):
    change = world.history.changes.get(choice.detail)
    if change is None or world.machines[choice.subject].process is None:
        return False
    world.ask_outcome(choice.subject, change)
    return True


def _read(world, choice):
    if world.machines[choice.subject].process is None:
        return False
    world.read(choice.subject)
    return True


def _replace(world, choice):
    """`detail` is leaving>joining: a node id and a machine."""
    leaving, _, joining = choice.detail.partition(">")
    voting_config = world.voting_config()
    machine = world.machines[joining]
    if (
        voting_config is None
        or leaving not in voting_config.members
        or machine.process is None
        or machine.node_id in voting_config.all_members
    ):
        return False
    if world.machines[choice.subject].process is None:
        return False
    world.replace_member(choice.subject, leaving, joining)
    return True


KINDS = {
    "deliver": _deliver,
    "drop": _drop,
    "delay": _delay,
    "repeat": _repeat,
    "sync": _sync,
    "timer": _timer,
    "tick": _tick,
    "takeover": _failover,
    "renew": _renew,
    "update": _update,
    "lapse": _expiry,
    "watch": _watch,
    "leave": _leave,
    "pull": _pull,
    "kill": _end_process(True),
    "power": _end_process(False),
    "start": _start,
    "wipe": _wipe,
    "refuse": _refuse,
    "accept": _accept,
    "freeze": _freeze,
    "thaw": _thaw,
    "cut": _cut(True, True),
    "cut-outgoing": _cut(True, False),
    "cut-incoming": _cut(False, True),
    "heal": _heal,
    "put": _put,
    "again": _again,
    "outcome": _outcome,
    "read": _read,
    "replace": _replace,
}


def apply(world, choice):
    """Performs the choice, and checks all invariants; returns False if the choice does not apply."""
    world.step += 1
    if not KINDS[choice.kind](world, choice):
        world.step -= 1
        return False
    world.note(*described(choice))
    world.fire_short_timers()
    world.checker.check()
    return True


def described(choice):
    """The column and text of the choice in the timeline."""
    if choice.kind in ("deliver", "drop", "delay", "repeat"):
        link, _, method = choice.subject.partition(":")
        sender, _, receiver = link.partition(">")
        return receiver, f"{choice.kind} {method} from {sender}"
    return choice.subject or "all", " ".join(part for part in (choice.kind, choice.detail) if part)
