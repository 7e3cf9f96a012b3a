"""All schedules with few departures from the default order (delay bounding): exhaustive up to the stated bounds.

A scenario is a list of choices; after each, messages arrive in the order in which they were sent, and syncs complete at
once. A departure does something else at one step: the message is dropped, delayed behind all others or repeated, or one
of its two machines is frozen, cut off, killed or loses power; a machine that is down, frozen or cut off may recover."""

from dataclasses import dataclass, field

from oakramp.testbed.explore.closing_fault import next_ordinary
from oakramp.testbed.explore.explorer import run, without_collecting
from oakramp.testbed.explore.schedule import Choice
from oakramp.testbed.explore.search import Findings
from oakramp.testbed.explore.strategies import COMPLETE_REPLACEMENT, PULLS_FROM_N0
from oakramp.testbed.explore.world import OPERATOR, Shape

STEPS = 400  # choices; more than any scenario needs


@dataclass(frozen=True)
class Scenario:
    """The choices made one after another, in a world of this shape."""

    lines: tuple
    shape: Shape = field(default=Shape())


SCENARIOS = {
    "take-over": Scenario(
        ("takeover n0", "put n0 0>1", *("tick",) * 5, "takeover n1", "read n1", "put n1 1>2", "read n0")
    ),
    "hand-over": Scenario(
        ("takeover n0", "put n0 0>1", "pull n1 n0", "takeover n1", "again n1 f1", "put n1 1>2", "read n1")
    ),
    "busy": Scenario(
        ("takeover n0", "put n0 0>1", "put n0 0>2", "again n0 f1", "renew n0", "read n0", "power n0", "takeover n2")
    ),
    "behind": Scenario(  # n2 misses changes, catches up by one merged append, and is then needed for a majority
        (
            *(
                "takeover n0",
                "put n0 0>1",
                "power n2",
                "put n0 1>2",
                "put n0 2>3",
                "start n2",
                "update n0",
                "update n0",
            ),
            *("power n1", "put n0 3>4", "start n1", "power n0", *("tick",) * 5, "takeover n2", "read n2"),
        )
    ),
    "lapse": Scenario(  # the next node in line learns from a majority that n0's lease has expired
        (
            *("takeover n0", "put n0 0>1", "renew n0", "power n0", *("tick",) * 5, "lapse n1", "lapse n2"),
            *("read n1", "read n2", "put n1 1>2", "put n2 1>2", "start n0", "outcome n1 f2", "outcome n2 f2"),
        )
    ),
    "replacement": Scenario(
        (
            *("takeover n0", "put n0 0>1", "replace n0 n0.0>n3", *PULLS_FROM_N0, *COMPLETE_REPLACEMENT, *PULLS_FROM_N0),
            *("takeover n2", "put n2 1>2", "read n2", "read n0"),
        ),
        Shape(voters=3, spares=1),
    ),
    "asleep": Scenario(  # n2 is frozen for two changes of the voting configuration; n0, which left, missed the second
        (
            *("takeover n1", "put n1 0>1", "freeze n2", "replace n1 n0.0>n3", "pull n0 n1", "pull n3 n1"),
            *("timer n1", "timer n1", "watch n1", "timer n1", "pull n3 n1", "put n1 1>2"),
            *("tick", "tick", "renew n1", "tick", "tick", "renew n1", "tick", "thaw n2", "takeover n2", "renew n1"),
            *("read n1", "read n2"),
        ),
        Shape(voters=3, spares=1),
    ),
}


def alternatives(world, ordinary):
    """What may happen instead of this default next step."""
    if ordinary is None:
        return []
    if ordinary.kind == "sync":
        return [Choice(kind, ordinary.subject) for kind in ("power", "kill", "freeze")]
    link, _, _ = ordinary.subject.partition(":")
    sender, _, receiver = link.partition(">")
    machines = [place for place in (receiver, sender) if place != OPERATOR]
    messages = [Choice(kind, ordinary.subject, ordinary.detail) for kind in ("drop", "delay", "repeat")]
    faults = [Choice(kind, place) for place in machines for kind in ("power", "freeze", "cut")]
    return messages + faults + _recoveries(world)


def _recoveries(world):
    down = [Choice("start", name) for name, machine in world.machines.items() if machine.process is None]
    frozen = [Choice("thaw", name) for name, machine in world.machines.items() if machine.frozen]
    return down + frozen + ([Choice("heal")] if world.cuts else [])


class DepartureStrategy:
    """Chooses the default step, except at the given departures (step -> index of the alternative). `widths` has the
    number of alternatives at each step."""

    def __init__(self, scenario, departures):
        self._rest = [Choice.parse(line) for line in scenario.lines]
        self._departures = dict(departures)
        self.widths = []

    def __call__(self, world):
        ordinary = next_ordinary(world)
        choices = alternatives(world, ordinary)
        chosen = self._departures.get(len(self.widths))
        self.widths.append(len(choices))
        if chosen is not None:
            return choices[chosen]
        if ordinary is not None:
            return ordinary
        return self._rest.pop(0) if self._rest else None


def search_departures(scenario, most, limit=None, until_found=False):
    """Every schedule of the scenario with up to `most` departures, in depth-first order."""
    findings, waiting = Findings(), [()]
    while waiting and (limit is None or findings.schedules < limit):
        departures = waiting.pop()
        choosing = DepartureStrategy(scenario, departures)
        outcome = without_collecting(run, scenario.shape, choosing, STEPS)
        findings.record(departures, outcome)
        if until_found and findings.first is not None:
            break
        if len(departures) < most:
            begin = departures[-1][0] + 1 if departures else 0
            waiting += [
                (*departures, (step, place))
                for step in reversed(range(begin, len(choosing.widths)))
                for place in range(choosing.widths[step])
            ]
    return findings
