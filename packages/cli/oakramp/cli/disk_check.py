"""oakrampctl disk check: reports faults in the data folder of a stopped node."""

import json
import os

from oakramp.membership.identity import IDENTITY_FILE
from oakramp.storage.disk import UNFINISHED
from oakramp.storage.disk_check import RING_FILE, check_ring
from oakramp.store.store_node import EMPTYING

HEALTHY, WARNING, DAMAGED = 0, 3, 4  # exit codes, the same as those of the doctor
IDENTITY_FIELDS = "nodeId", "clusterId", "addresses"


def check_folder(folder):
    """(exit code, lines to print). Only reads: the folder may be a copy, or one that must not be modified."""
    names = sorted(os.listdir(folder))
    if not names:
        return HEALTHY, ["the folder is empty: a node started with it is a new node"]
    if EMPTYING in names:
        return WARNING, ["the folder was being emptied: the next start finishes that, and the node is a new one"]
    exit_code, lines = HEALTHY, []
    for code, line in (*_identity(folder, names), *_ring(folder), *_other_files(names)):
        exit_code = max(exit_code, code)
        lines.append(line)
    return exit_code, lines


def _identity(folder, names):
    if IDENTITY_FILE not in names:
        has_ring = any(RING_FILE.fullmatch(name) for name in names)
        if has_ring:
            yield DAMAGED, "identity: missing, although ring files exist"
        return
    try:
        with open(os.path.join(folder, IDENTITY_FILE), "rb") as file:
            identity = json.loads(file.read())
        missing = [name for name in IDENTITY_FIELDS if name not in identity]
    except (ValueError, TypeError) as error:
        yield DAMAGED, f"identity: cannot be read: {error}"
        return
    if missing:
        yield DAMAGED, f"identity: lacks {', '.join(missing)}"
        return
    yield HEALTHY, f"identity: {identity['nodeId']} of cluster {identity['clusterId']}"


def _ring(folder):
    ring = check_ring(folder)
    if ring is None:
        yield WARNING, "ring: no ring file exists"
        return
    for name, lap, first_number, synced_number in ring.laps:
        yield (
            HEALTHY,
            f"ring: {name} contains lap {lap} from record {first_number} on; {synced_number} was synced before",
        )
    if ring.damage is not None:
        yield DAMAGED, f"ring: DAMAGED: {ring.damage}"
        return
    for note in ring.notes:
        yield WARNING, f"ring: {note}"
    yield (
        HEALTHY,
        f"ring: whole: {ring.entries} entries, {ring.live_bytes} bytes, up to record {ring.newest_record}",
    )


def _other_files(names):
    for name in names:
        if name.endswith(UNFINISHED):
            yield WARNING, f"{name}: an interrupted write; the next start removes it"
        elif name != IDENTITY_FILE and not RING_FILE.fullmatch(name):
            yield WARNING, f"{name}: not a file of a node"
