"""Shortens a failing schedule: leaves out choices as long as the same rule is still violated."""

from oakramp.testbed.explore.explorer import replay


def shrink(outcome, most=1500):
    """The shortest outcome found within so many replays (delta debugging: runs of choices, then single ones)."""
    best, replays, length = outcome, 0, max(1, len(outcome.choices) // 2)
    while length and replays < most:
        place, is_shorter = 0, False
        while place < len(best.choices) and replays < most:
            shorter = replay(best.shape, best.choices[:place] + best.choices[place + length :])
            replays += 1
            if shorter.rule == outcome.rule and len(shorter.choices) < len(best.choices):
                best, is_shorter = shorter, True
            else:
                place += length
        if not is_shorter or length > 1:
            length //= 2
    return best
