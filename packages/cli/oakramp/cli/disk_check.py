"""oakrampctl disk check: what is wrong in the data folder of a node that is stopped."""

import json
import os

from oakramp.membership.identity import IDENTITY_FILE
from oakramp.storage.disk import UNFINISHED
from oakramp.storage.disk_check import RING_FILE, check_ring
from oakramp.store.store_node import EMPTYING

WELL, WORTH_A_POLL, DAMAGED = 0, 3, 4  # exit codes, as those of the doctor
IDENTITY_FIELDS = "nodeId", "clusterId", "addresses"


def check_folder(folder):
    """(exit code, lines to show). Reads only: the folder may be a copy, or one that must stay as it is."""
    names = sorted(os.listdir(folder))
    if not names:
        return WELL, ["the folder is empty: a start here is a new node"]
    if EMPTYING in names:
        return WORTH_A_POLL, ["the folder was being emptied: the next start goes on with that, and is a new node"]
    worst, lines = WELL, []
    for code, line in (*_identity(folder, names), *_ring(folder), *_others(names)):
        worst = max(worst, code)
        lines.append(line)
    return worst, lines


def _identity(folder, names):
    if IDENTITY_FILE not in names:
        has_ring = any(RING_FILE.fullmatch(name) for name in names)
        if has_ring:
            yield DAMAGED, "identity: missing, though a ring is there"
        return
    try:
        with open(os.path.join(folder, IDENTITY_FILE), "rb") as file:
            kept = json.loads(file.read())
        missing = [name for name in IDENTITY_FIELDS if name not in kept]
    except (ValueError, TypeError) as error:
        yield DAMAGED, f"identity: cannot be read: {error}"
        return
    if missing:
        yield DAMAGED, f"identity: lacks {', '.join(missing)}"
        return
    yield WELL, f"identity: {kept['nodeId']} of cluster {kept['clusterId']}"


def _ring(folder):
    report = check_ring(folder)
    if report is None:
        yield WORTH_A_POLL, "ring: no file of it is there"
        return
    for name, lap, first_number, synced_number in report.laps:
        yield WELL, f"ring: {name} holds lap {lap} from record {first_number} on; {synced_number} was synced before"
    if report.damage is not None:
        yield DAMAGED, f"ring: DAMAGED: {report.damage}"
        return
    for note in report.notes:
        yield WORTH_A_POLL, f"ring: {note}"
    yield WELL, f"ring: whole: {report.entries} entries, {report.live_bytes} bytes, up to record {report.newest_record}"


def _others(names):
    for name in names:
        if name.endswith(UNFINISHED):
            yield WORTH_A_POLL, f"{name}: a write that was cut off; the next start removes it"
        elif name != IDENTITY_FILE and not RING_FILE.fullmatch(name):
            yield WORTH_A_POLL, f"{name}: no file of a node"
