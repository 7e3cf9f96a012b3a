"""What tells a gate's admission that was taken back from a later one, when messages come late.

A gate numbers the admissions it asks for, so of two by one gate the later has the higher number. Whoever takes
admissions keeps, for each gate, the highest number taken back: `back`. One that comes in with a number not above it was
taken back before. Rows of gates that are long gone are dropped: what such a gate asked for is given up anyway.
"""

from oakramp.common.validation import whole

NUMBER = whole(1, 1 << 53)


def is_back(kept, arguments):
    return kept is not None and arguments["number"] <= kept.get("back", {}).get(arguments["gate"], 0)


def note_back(transaction, kept, arguments):
    members, back = transaction.context.members, kept.get("back", {})
    known = {gate: number for gate, number in back.items() if members.find(gate) is not None}
    return known | {arguments["gate"]: max(arguments["number"], back.get(arguments["gate"], 0))}
