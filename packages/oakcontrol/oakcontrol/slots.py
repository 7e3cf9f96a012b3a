"""Slots of the control state: which one a key is in, and long images of one in parts."""
from oakbase.constants import SLOTS
from oakcohort.rendezvous import slotOf

ENTRY_COST = 64  # bytes; what an entry takes besides its key and value, in messages and on the disk, at most


def slotOfKey(key):
    """What hangs on a key, behind its '#', is in the key's slot."""
    return slotOf(key.partition("#")[0], SLOTS)


def inParts(entries, most):
    """The (key, value) pairs in runs of at most `most` bytes each, or of one pair."""
    part, size = [], 0
    for key, value in entries:
        length = len(key) + len(value or b"") + ENTRY_COST
        if part and size + length > most:
            yield part
            part, size = [], 0
        part.append((key, value))
        size += length
    yield part
