"""The end of every schedule: all trouble is over, and what the operators were told is held against what is in force."""

from oakramp.testbed.explore.invariants import NOT_SERVED, Violation, judge_history
from oakramp.testbed.explore.process import SHARD
from oakramp.testbed.explore.schedule import Choice, apply, message_choice

ROUNDS = (
    400  # of looking, each up to the next timer; the longest seen took 130: a take-over by one that has to give it up
)


def next_ordinary(world):
    """What happens next if nothing is in the way: a sync ends, or the oldest message arrives. None if nothing waits."""
    for name, machine in world.machines.items():
        if machine.process is not None and not machine.frozen and machine.disk.syncs_waiting:
            return Choice("sync", name)
    message = next((message for message in world.messages if world.can_deliver(message)), None)
    return None if message is None else message_choice(world, "deliver", message)


def drain(world, most=2000):
    """Lets everything arrive that is under way."""
    for _ in range(most):
        choice = next_ordinary(world)
        if choice is None or world.watcher.violations:
            return
        apply(world, choice)


def serving(world):
    return next(
        (process for process in world.processes() if process.owner is not None and process.owner.holds_lease()), None
    )


def _end_trouble(world):
    world.heal()
    for name in world.machines:
        apply(world, Choice("accept", name))
        apply(world, Choice("thaw", name))
        apply(world, Choice("start", name))
    drain(world)


def _spread_news(world):
    names = list(world.machines)
    for one in names:
        for other in names:
            if one != other:
                apply(world, Choice("pull", one, other))
    drain(world)
    for name in names:
        apply(world, Choice("watch", name))
    drain(world)


def _is_moving(world):
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
    """Brings the world to rest; whether a read was answered after that."""
    _end_trouble(world)
    for number in range(ROUNDS):
        if world.watcher.violations:
            return False
        if _is_moving(world):
            _spread_news(world)
        for name in world.machines:
            apply(world, Choice("leave", name))
            apply(world, Choice("renew", name))
        drain(world)
        owner = serving(world)
        if owner is not None and not _is_moving(world):
            world.read(owner.name)
            drain(world)
            if world.history.reads[-1].answer.is_acknowledged():
                return True
        if owner is None:
            candidates = [process.name for process in world.processes() if process.can_failover()]
            busy = [process for process in world.processes() if SHARD in process.leaders.failover.in_progress]
            if candidates and not busy:
                apply(world, Choice("takeover", candidates[number % len(candidates)]))
                drain(world)
        apply(world, _next_timer(world))
        drain(world)
    return False


def verdict(world):
    """The violations of the whole schedule: those seen on the way, else those of its end."""
    if world.watcher.violations:
        return world.watcher.violations
    is_served = settle(world)
    if world.watcher.violations:
        return world.watcher.violations
    if not is_served:
        return [Violation(NOT_SERVED, "no read was answered after all trouble had ended")]
    return list(judge_history(world.history, serving(world).owner.entries))
