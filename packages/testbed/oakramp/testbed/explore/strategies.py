"""The strategy that chooses the steps of random schedules, by random priorities."""

import random

from oakramp.testbed.explore.closing_fault import next_ordinary, serving_leader
from oakramp.testbed.explore.schedule import Choice, may_lose_disk, message_choice

# Weights of the choices beside messages and syncs; with them a schedule reaches several failovers, as measured.
ACTIVITIES = (
    ("takeover", 3),
    ("lapse", 1),
    ("renew", 5),
    ("update", 2),
    ("pull", 4),
    ("put", 5),
    ("again", 3),
    ("outcome", 1),
    ("read", 5),
    ("watch", 1),
)
MOVING = (
    ("takeover", 4),
    ("lapse", 1),
    ("renew", 4),
    ("update", 2),
    ("pull", 12),
    ("put", 4),
    ("again", 1),
    ("outcome", 1),
    ("read", 4),
    ("watch", 8),
    ("leave", 2),
)
FAULTS = (
    ("freeze", 4),
    ("thaw", 5),
    ("kill", 1),
    ("power", 2),
    ("start", 4),
    ("cut", 2),
    ("cut-outgoing", 1),
    ("cut-incoming", 1),
    ("heal", 4),
    ("wipe", 1),
    ("replace", 1),
)
DISK_FAULTS = (("refuse", 6), ("accept", 8))  # in addition, in worlds whose disks may reject writes
TIMES = (("tick", 3), ("timer", 3))


def _weighted(random_source, table):
    kinds, weights = zip(*table)
    return random_source.choices(kinds, weights)[0]


OPENINGS = (
    (),
    ("takeover n0",),
    ("takeover n0", "put n0 0>1"),
    ("takeover n0", "put n0 0>1", "tick", "tick", "tick", "tick", "tick", "takeover n1"),
    ("takeover n0", "put n0 0>1", "freeze n0", "tick", "tick", "tick", "tick", "takeover n1"),
    ("takeover n0", "put n0 0>1", "pull n1 n0", "takeover n1", "put n1 1>2"),
)
PULLS_FROM_N0 = ("pull n1 n0", "pull n2 n0", "pull n3 n0")
PULLS_FROM_N1 = ("pull n2 n1", "pull n3 n1")
COMPLETE_REPLACEMENT = (
    "timer n0",
    "timer n0",
    "watch n0",
    "timer n0",
)  # steps of the leader of the voting configuration once all members have it
REPLACING = (
    ("takeover n0", "put n0 0>1", "replace n0 n1.0>n3"),
    ("takeover n0", "put n0 0>1", "replace n0 n1.0>n3", *PULLS_FROM_N0, *COMPLETE_REPLACEMENT),
    ("takeover n0", "replace n0 n0.0>n3", *PULLS_FROM_N0, "timer n0", "timer n0"),
    ("takeover n0", "put n0 0>1", "replace n0 n0.0>n3", *PULLS_FROM_N0, *COMPLETE_REPLACEMENT, *PULLS_FROM_N0),
    (
        *("takeover n0", "put n0 0>1", "freeze n0", *("tick",) * 5, "takeover n1", "renew n1"),
        *("replace n1 n0.0>n3", *PULLS_FROM_N1, "timer n1", "timer n1", "watch n1", "timer n1", *PULLS_FROM_N1),
    ),
    ("takeover n0", "put n0 0>1", "wipe n1", "start n1", "replace n0 n1.0>n1", "pull n1 n0", "pull n2 n0"),
)


def openings_for(shape):
    """The fault-free openings that a world of this shape allows."""
    replacing = REPLACING if shape.spares == 1 and shape.voters == 3 else REPLACING[-1:]
    return OPENINGS + (replacing if shape.losses else replacing[:-1])


class Opening:
    """The opening of a schedule: each of its choices, followed by all its consequences in the default order."""

    def __init__(self, lines):
        self._rest = [Choice.parse(line) for line in lines]

    def __call__(self, world):
        """The next choice, or None at the end of the opening."""
        if not self._rest:
            return None
        return next_ordinary(world) or self._rest.pop(0)


class Priorities:
    """Probabilistic concurrency testing: each link and disk has a random priority, and the one with the highest
    proceeds; at `changes` random steps the one that would proceed gets the lowest priority. Activities, faults and the
    passing of time are chosen in between, by weights. Deterministic from its seed."""

    def __init__(self, seed, steps, changes=6, fault=0.06, activity=0.10, time=0.06, losses=0.05):
        self._random = random.Random(f"priorities/{seed}")
        self._steps = 0
        self._change_points = set(self._random.sample(range(steps), min(changes, steps)))
        self._priorities, self._lowest = {}, 0.0
        self._fault_share = fault * self._random.choice((0.0, 0.5, 1.0, 2.0))
        self._activity, self._time = activity, time * self._random.choice((0.5, 1.0, 2.0))
        self._losses = losses * self._random.choice((0.0, 1.0, 2.0))
        self._opening = None

    def __call__(self, world):
        if self._opening is None:
            self._opening = Opening(self._random.choice(openings_for(world.shape)))
        opening = self._opening(world)
        if opening is not None:
            return opening
        for _ in range(50):
            choice = self._choose(world)
            if choice is not None:
                self._steps += 1
                return choice
        return Choice("tick")

    def _choose(self, world):
        drawn = self._random.random()
        if drawn < self._fault_share:
            return self._choose_fault(world)
        drawn -= self._fault_share
        if drawn < self._activity:
            return self._choose_activity(world)
        drawn -= self._activity
        if drawn < self._time:
            return self._pass_time(world)
        return self._deliver_or_sync(world) or (
            self._choose_activity(world) if self._random.random() < 0.6 else self._pass_time(world)
        )

    # --- messages and syncs ---

    def _deliver_or_sync(self, world):
        ready = {}
        for message in world.messages:
            if world.can_deliver(message):
                ready.setdefault(message.label.partition(":")[0], message)
        for name, machine in world.machines.items():
            if machine.process is not None and not machine.frozen and machine.disk.syncs_waiting:
                ready[name] = None
        if not ready:
            return None
        for thread in ready:
            if thread not in self._priorities:
                self._priorities[thread] = self._random.random()
        first = max(ready, key=self._priorities.get)
        if self._steps in self._change_points:
            self._lowest -= 1.0
            self._priorities[first] = self._lowest
            first = max(ready, key=self._priorities.get)
        message = ready[first]
        if message is None:
            return Choice("sync", first)
        drawn = self._random.random()
        kind = "drop" if drawn < self._losses else "repeat" if drawn < 1.4 * self._losses else "deliver"
        return message_choice(world, kind, message)

    # --- the rest ---

    def _machine(self, world):
        return self._random.choice(list(world.machines))

    def _pass_time(self, world):
        kind = _weighted(self._random, TIMES)
        return Choice("tick") if kind == "tick" else Choice("timer", self._machine(world))

    def _likely_leader(self, world):
        leaders = [process.name for process in world.processes() if process.leader is not None]
        return self._random.choice(leaders) if leaders and self._random.random() < 0.85 else self._machine(world)

    def _choose_activity(self, world):
        voting_config = world.voting_config()
        is_moving = voting_config is not None and voting_config.version > 1
        kind = _weighted(self._random, MOVING if is_moving else ACTIVITIES)
        if kind == "takeover":
            if serving_leader(world) is not None and self._random.random() < 0.5:
                return None
            return Choice(kind, self._machine(world))
        if kind == "pull":
            one, other = self._random.sample(list(world.machines), 2)
            return Choice(kind, one, other)
        if kind == "put":
            base = max(0, world.history.known_version() - (self._random.random() < 0.1))
            return Choice(kind, self._likely_leader(world), f"{base}>{base + self._random.choice((1, 1, 2))}")
        if kind in ("again", "outcome"):
            changes = list(world.history.changes)
            return Choice(kind, self._likely_leader(world), self._random.choice(changes)) if changes else None
        if kind in ("read", "renew", "update"):
            return Choice(kind, self._likely_leader(world))
        return Choice(kind, self._machine(world))

    def _choose_fault(self, world):
        kind = _weighted(self._random, FAULTS + DISK_FAULTS if world.shape.refusing else FAULTS)
        name = self._likely_leader(world) if kind in ("freeze", "cut") else self._machine(world)
        if kind == "heal":
            return Choice(kind)
        if kind in ("kill", "power") and sum(one.process is None for one in world.machines.values()) > 1:
            return None
        if kind == "wipe" and not may_lose_disk(world):
            return None
        if kind == "replace":
            return self._replacement(world)
        return Choice(kind, name)

    def _replacement(self, world):
        voting_config = world.voting_config()
        if voting_config is None:
            return None
        outsiders = [
            one.name for one in world.machines.values() if one.process and one.node_id not in voting_config.all_members
        ]
        if voting_config.next is not None or not outsiders:
            return None
        lost = [node_id for node_id in voting_config.members if world.machine_of(node_id) is None]
        leaving = self._random.choice(lost or list(voting_config.members))
        return Choice("replace", self._likely_leader(world), f"{leaving}>{self._random.choice(outsiders)}")
