"""A schedule as text: its world and choices, for a replay, and its timeline, with one column for each machine."""

from dataclasses import fields

from oakramp.testbed.explore.explorer import replay
from oakramp.testbed.explore.schedule import Choice
from oakramp.testbed.explore.world import Shape

SHAPE = "world"  # the first word of the line with the shape of the world
LONGEST = 44  # characters of one event in the timeline


def as_text(outcome):
    """The schedule in the format that `from_text` reads."""
    shape = " ".join(f"{field.name}={value}" for field in fields(Shape) for value in [vars(outcome.shape)[field.name]])
    return "\n".join([f"{SHAPE} {shape}", *map(str, outcome.choices)]) + "\n"


def from_text(text):
    """(shape, choices); empty lines and lines that begin with # are ignored."""
    lines = [line.strip() for line in text.splitlines()]
    first, *rest = [line for line in lines if line and not line.startswith("#")]
    shape = Shape(**{name: int(value) for name, _, value in (word.partition("=") for word in first.split()[1:])})
    return shape, [Choice.parse(line) for line in rest]


def replay_text(text):
    """The outcome of a schedule given as text; tests call it with a schedule that once failed."""
    return replay(*from_text(text))


def timeline(outcome, last_step=None):
    """The events up to this step, or to the last choice of the schedule, with one column for each machine."""
    last_step = len(outcome.choices) if last_step is None else last_step
    places = [f"n{number}" for number in range(outcome.shape.voters + outcome.shape.spares)] + ["op", "all"]
    width = LONGEST + 2
    lines = ["step    time  " + "".join(place.ljust(width) for place in places)]
    for event in outcome.events:
        if event.step > last_step and event.place != "op":
            continue
        column = " " * (width * places.index(event.place))
        lines.append(f"{event.step:4} {event.at:7.3f}  {column}{event.text[:LONGEST]}")
    return "\n".join(line.rstrip() for line in lines)


def failure_text(outcome):
    """The full text of a failure: timeline, violated rules, schedule."""
    broken = "\n".join(f"BROKEN: {violation.rule}: {violation.detail}" for violation in outcome.violations)
    return f"{timeline(outcome)}\n{broken or 'nothing broken'}\n\n{as_text(outcome)}"
