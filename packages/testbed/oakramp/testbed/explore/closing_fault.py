"""The end of every schedule: all faults end, the world settles, and the operators' history is compared with the final
state."""

from oakramp.testbed.explore.invariants import NOT_SERVED, Violation, check_operator_history
from oakramp.testbed.explore.process import SHARD
from oakramp.testbed.explore.schedule import Choice, apply, message_choice

ROUNDS = 400  # each up to the next timer; the longest seen took 130: a failover by a node that has to give it up


def next_ordinary(world):
    """The default next step: a sync completes, or the oldest message arrives. None if there is neither."""
    for name, machine in world.machines.items():
        if machine.process is not None and not machine.frozen and machine.disk.syncs_waiting:
            return Choice("sync", name)
    message = next((message for message in world.messages if world.can_deliver(message)), None)
    return None if message is None else message_choice(world, "deliver", message)


def drain(world, most=2000):
    """Completes all syncs and delivers all messages in flight."""
    for _ in range(most):
        choice = next_ordinary(world)
        if choice is None or world.checker.violations:
            return
        apply(world, choice)


def serving_leader(world):
    return next(
        (process for process in world.processes() if process.leader is not None and process.leader.holds_lease()), None
    )


def _end_faults(world):
    world.heal()
    for name in world.machines:
        apply(world, Choice("accept", name))
        apply(world, Choice("thaw", name))
        apply(world, Choice("start", name))
    drain(world)


def _spread_state(world):
    names = list(world.machines)
    for one in names:
        for other in names:
            if one != other:
                apply(world, Choice("pull", one, other))
    drain(world)
    for name in names:
        apply(world, Choice("watch", name))
    drain(world)


def _is_changing_voters(world):
    voting_config = world.voting_config()
    if voting_config is None:
        return True
    return voting_config.next is not None or any(_is_behind(process, voting_config) for process in world.processes())


def _is_behind(process, voting_config):
    if process.voter.voting_config is None:
        return process.node_id in voting_config.all_members
    return process.voter.voting_config.version < voting_config.version


def _next_timer(world):
    timers = [
        (timer.due, name)
        for name, machine in world.machines.items()
        if machine.process is not None and (timer := machine.process.clock.next_timer()) is not None
    ]
    return Choice("timer", min(timers)[1]) if timers else Choice("tick")


def settle(world):
    """Ends all faults and runs until the world has settled; returns whether a read succeeded after that."""
    _end_faults(world)
    for number in range(ROUNDS):
        if world.checker.violations:
            return False
        if _is_changing_voters(world):
            _spread_state(world)
        for name in world.machines:
            apply(world, Choice("leave", name))
            apply(world, Choice("renew", name))
        drain(world)
        leader = serving_leader(world)
        if leader is not None and not _is_changing_voters(world):
            world.read(leader.name)
            drain(world)
            if world.history.reads[-1].call.is_acknowledged():
                return True
        if leader is None:
            candidates = [process.name for process in world.processes() if process.can_failover()]
            busy = [process for process in world.processes() if SHARD in process.leaders.failover.in_progress]
            if candidates and not busy:
                apply(world, Choice("takeover", candidates[number % len(candidates)]))
                drain(world)
        apply(world, _next_timer(world))
        drain(world)
    return False


def verdict(world):
    """The violations of the whole schedule: those during its steps, or else those at its end."""
    if world.checker.violations:
        return world.checker.violations
    is_served = settle(world)
    if world.checker.violations:
        return world.checker.violations
    if not is_served:
        return [Violation(NOT_SERVED, "no read succeeded after all faults had ended")]
    return list(check_operator_history(world.history, serving_leader(world).leader.entries))
