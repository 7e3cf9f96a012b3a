"""The key `routing`: the operator's one configuration, changed by compare-and-set on its version.

The document is in the operator's format and opaque here; the dialect interprets it. It is stored in pieces, so that
the cost of a change on disk and in gossip is proportional to what changed: one piece for each named item of a top-level
list, one for the order of each such list, and one for everything else.

Entries of `routing`:  itself: {version, lists, taken};  #piece/<name>: a piece;  #taken/<fingerprint>: the version that
this exact change made;  #turn/<n>: the fingerprint in slot n of a ring buffer of CHANGES_REMEMBERED slots.
Invariants: `version` rises with every change; `lists` are the top-level lists stored by items, and each has an order
piece; `taken` counts the changes applied, and the fingerprints of the last CHANGES_REMEMBERED of them are known.

A repeated change, recognized by its fingerprint, was either applied or not, whatever came after it: the first change
that is based on a version makes that version past, so of two different changes one is lost, and a lost change can never
be applied later.

A request may be repeated after any time, so no fingerprint expires by time, and a rejection never depends on a
forgotten fingerprint: a change is rejected only if it is based on a past version that is not older than the oldest
remembered change. Any other unknown change gets an ambiguous answer (QuorumUnavailableError): an older one may have
been applied, and one that is based on a version that does not exist yet may still be applied by a copy in flight.
"""

from functools import lru_cache
from urllib.parse import quote, unquote

from schema import Optional

from oakramp.common.constants import CHANGES_REMEMBERED
from oakramp.common.errors import QuorumUnavailableError, ValidationFailedError, Verdict, VersionConflictError
from oakramp.common.validation import NAME, check_fields, whole
from oakramp.control.controllers import CONTROLLERS, Controller
from oakramp.control.shards import pack_entry, unpack_entry

ROUTING_KEY = "routing"
VERSION = whole(0, 1 << 53)
REST_PIECE = "rest"
ORDER_PREFIX = "order:"  # prefix of a list's name; the colon is never part of a quoted name
VERSION_PIECE = "version"  # only in the published items
FAULTS_SHOWN = 50  # faults of one document listed in an error
NAMES_CACHED = 1 << 14  # quoted names; more than the largest configuration that was tested has


# --- documents and their pieces -------------------------------------------------


@lru_cache(NAMES_CACHED)
def _quoted(name):
    return quote(name, safe="", errors="surrogatepass")


def is_named_list(value):
    """Whether this is a list of objects, each with a unique `name`."""
    if not isinstance(value, list) or not all(isinstance(item, dict) for item in value):
        return False
    names = [item.get("name") for item in value]
    return all(isinstance(name, str) for name in names) and len(set(names)) == len(names)


def _item_piece(list_name, name):
    return f"{_quoted(list_name)}/{_quoted(name)}"


def pieces_of(document):
    """Splits a document: piece name -> value. Names are unambiguous: only an item's has a slash, only an order's a
    colon."""
    lists = {name: value for name, value in document.items() if is_named_list(value)}
    pieces = {REST_PIECE: {name: value for name, value in document.items() if name not in lists}}
    pieces |= {
        f"{ORDER_PREFIX}{_quoted(list_name)}": [item["name"] for item in items] for list_name, items in lists.items()
    }
    return pieces | {_item_piece(list_name, item["name"]): item for list_name, items in lists.items() for item in items}


def document_of(pieces):
    """The document that these pieces were split from."""
    orders = {
        unquote(name.removeprefix(ORDER_PREFIX), errors="surrogatepass"): names
        for name, names in pieces.items()
        if name.startswith(ORDER_PREFIX)
    }
    return pieces[REST_PIECE] | {
        list_name: [pieces[_item_piece(list_name, name)] for name in names] for list_name, names in orders.items()
    }


def document_from(values):
    """(version, document) of the published items in a node's state table; (0, None) without any."""
    if VERSION_PIECE not in values:
        return 0, None
    pieces = {name: unpack_entry(value) for name, value in values.items()}
    return pieces[VERSION_PIECE], document_of(pieces)


# --- patches ----------------------------------------------------------------------


def apply_patch(document, upsert, remove):
    """The document with these items added, replaced or removed by name; replaced ones keep their positions.

    A patch is rejected if a part is not a list of named items, or if it both adds and removes a name. A list that does
    not exist yet is created by what is added to it, and removing an item that does not exist does nothing: neither is
    a fault, and the caller, which can interpret the document, validates the result as a whole."""
    faults = [
        fault
        for part, changes in (("upsert", upsert), ("remove", remove))
        for fault in _patch_faults(document, part, changes)
    ]
    if faults:
        raise ValidationFailedError("; ".join(faults[:FAULTS_SHOWN]), detail=faults[:FAULTS_SHOWN])
    added = {list_name: {item["name"]: item for item in items} for list_name, items in upsert.items()}
    faults = [
        f"{list_name}: {name} is both added or replaced and removed"
        for list_name, names in remove.items()
        for name in names
        if name in added.get(list_name, ())
    ]
    if faults:
        raise ValidationFailedError("; ".join(faults[:FAULTS_SHOWN]), detail=faults[:FAULTS_SHOWN])
    changed = {}
    for list_name in sorted(upsert.keys() | (remove.keys() & document.keys())):
        gone = set(remove.get(list_name, ()))
        items = {item["name"]: item for item in document.get(list_name, ()) if item["name"] not in gone}
        changed[list_name] = list((items | added.get(list_name, {})).values())
    return document | changed


def _patch_faults(document, part, changes):
    if not isinstance(changes, dict):
        return [f"{part}: must be an object of lists"]
    faults = [
        f"{list_name}: is not a list of named items"
        for list_name in changes
        if list_name in document and not is_named_list(document[list_name])
    ]
    if part == "upsert":
        return faults + [
            f"upsert.{list_name}: must be a list of items, each with a unique name"
            for list_name, items in changes.items()
            if not is_named_list(items)
        ]
    return faults + [
        f"remove.{list_name}: must be a list of names"
        for list_name, names in changes.items()
        if not isinstance(names, list) or not all(isinstance(name, str) for name in names)
    ]


# --- the routing table, in the product's own terms -----------------------------------


def table_faults(table):
    """The faults of a routing table, whatever format its configuration was written in."""
    seen, faults = {}, []
    for route in table["routes"]:
        name, host_and_prefix = route["name"], (host_of(route["host"]), route["path_prefix"])
        if host_and_prefix in seen:
            faults.append(f"{name}: has the same host and path prefix as {seen[host_and_prefix]}")
        seen.setdefault(host_and_prefix, name)
        faults += [
            f"{name}: names {service}, which is not a service"
            for service, _ in route["backends"]
            if service not in table["services"]
        ]
        if any(weight < 0 for _, weight in route["backends"]):
            faults.append(f"{name}: has a weight below 0")
        if not sum(weight for _, weight in route["backends"]) > 0:
            faults.append(f"{name}: the sum of its weights is not above 0")
        if not route["timeout_s"] > 0:
            faults.append(f"{name}: its timeout is not above 0")
    return faults + _shared_key_faults(table.get("tenants") or {})


def _shared_key_faults(tenants):
    """A key must identify one tenant. The keys themselves are secrets and must not appear in a fault."""
    holders, faults = {}, []
    for name, tenant in tenants.items():
        others = {holder for key in tenant["keys"] if (holder := holders.setdefault(key, name)) != name}
        faults += [f"{name}: shares a key with {other}" for other in sorted(others)]
    return faults


def check_table(table):
    """Returns the table unchanged, or raises ValidationFailedError with its faults."""
    faults = table_faults(table)
    if faults:
        raise ValidationFailedError("; ".join(faults[:FAULTS_SHOWN]), detail=faults[:FAULTS_SHOWN])
    return table


def host_of(authority):
    """The host by which routes are looked up: without port, in lower case."""
    host, separator, port = authority.rpartition(":")
    return (host if separator and port.isdigit() else authority.removesuffix(":")).lower()


# --- the replicated key ------------------------------------------------------------


def _head(transaction):
    return transaction.get(ROUTING_KEY) or {"version": 0, "lists": [], "taken": 0}


def _piece_row(piece):
    return f"{ROUTING_KEY}#piece/{piece}"


def _change_row(fingerprint):
    return f"{ROUTING_KEY}#taken/{fingerprint}"


def _piece_names(transaction, head):
    """The names of all pieces, read from the entries, so that changes in one batch see each other's pieces."""
    if not head["version"]:
        return []
    orders = {
        list_name: transaction.get(_piece_row(f"{ORDER_PREFIX}{_quoted(list_name)}")) for list_name in head["lists"]
    }
    return [
        REST_PIECE,
        *(f"{ORDER_PREFIX}{_quoted(list_name)}" for list_name in orders),
        *(_item_piece(list_name, name) for list_name, names in orders.items() for name in names),
    ]


def _read(transaction, _key, arguments):
    """The newest version, and its document unless the caller has it already."""
    check_fields({Optional("known"): VERSION}, arguments)
    head = _head(transaction)
    if head["version"] in (0, arguments.get("known")):
        return {"version": head["version"]}
    pieces = {piece: transaction.get(_piece_row(piece)) for piece in _piece_names(transaction, head)}
    return {"version": head["version"], "document": document_of(pieces)}


def _version_made_by(transaction, fingerprint):
    """The version that this exact change made, or None."""
    return transaction.get(_change_row(fingerprint))


def _ring_slot_row(number):
    """The row of the ring slot that holds the fingerprint of the change with this number."""
    return f"{ROUTING_KEY}#turn/{number % CHANGES_REMEMBERED}"


def _oldest_remembered_version(transaction, head):
    """The version that the oldest remembered change made; 0 as long as none has been forgotten."""
    fingerprint = transaction.get(_ring_slot_row(head["taken"]))
    return 0 if fingerprint is None else _version_made_by(transaction, fingerprint)


def _reject_past_base(transaction, head, based_on):
    """Rejects an unknown change that is based on a past version if it certainly was not applied. Had a change based on
    the version of a remembered change been applied, it would be remembered too; which changes were based on an older
    version is not known any more."""
    if based_on >= head["version"]:
        return
    if based_on < _oldest_remembered_version(transaction, head):
        raise QuorumUnavailableError(
            f"based on version {based_on}; changes that old are not remembered, so it may have been applied",
            Verdict.MAYBE,
        )
    raise VersionConflictError(
        f"based on version {based_on}, the newest is {head['version']}",
        detail={"version": head["version"]},
    )


def _may_still_be_applied(head, based_on):
    """The error for a change that may still be applied: no copy of it may be told that it was lost."""
    return QuorumUnavailableError(f"based on version {based_on}, the newest is {head['version']}", Verdict.MAYBE)


def _check_versions(transaction, head, arguments):
    """Accepts only a change that is based on the newest version and makes a higher one."""
    based_on, version = arguments["based_on"], arguments["version"]
    _reject_past_base(transaction, head, based_on)
    if version <= based_on:
        fault = f"version {version} is not above {based_on}"
        raise ValidationFailedError(fault, detail=[fault])
    if based_on > head["version"]:
        raise _may_still_be_applied(head, based_on)


CHANGE = {"based_on": VERSION, "version": whole(1, 1 << 53), "fingerprint": NAME}


def _put(transaction, _key, arguments):
    """Replaces the whole document."""
    check_fields(CHANGE | {"document": dict}, arguments)
    known = _version_made_by(transaction, arguments["fingerprint"])
    if known is not None:
        return {"version": known}
    head = _head(transaction)
    _check_versions(transaction, head, arguments)
    previous = dict.fromkeys(_piece_names(transaction, head))
    return _apply(transaction, head, arguments, previous | pieces_of(arguments["document"]))


def _change(transaction, _key, arguments):
    """Changes only the pieces that differ from the base version; None removes one."""
    check_fields(CHANGE | {"pieces": dict}, arguments)
    known = _version_made_by(transaction, arguments["fingerprint"])
    if known is not None:
        return {"version": known}
    head = _head(transaction)
    _check_versions(transaction, head, arguments)
    return _apply(transaction, head, arguments, arguments["pieces"])


def _apply(transaction, head, arguments, changed):
    for piece, value in changed.items():
        if transaction.packed(_piece_row(piece)) != pack_entry(value):
            transaction.put(_piece_row(piece), value)
    orders = {
        unquote(piece.removeprefix(ORDER_PREFIX), errors="surrogatepass"): value is not None
        for piece, value in changed.items()
        if piece.startswith(ORDER_PREFIX)
    }
    lists = sorted({*head["lists"], *orders} - {name for name, is_kept in orders.items() if not is_kept})
    slot_row = _ring_slot_row(head["taken"])
    forgotten = transaction.get(slot_row)
    if forgotten is not None:
        transaction.put(_change_row(forgotten), None)
    transaction.put(slot_row, arguments["fingerprint"])
    transaction.put(_change_row(arguments["fingerprint"]), arguments["version"])
    transaction.put(ROUTING_KEY, {"version": arguments["version"], "lists": lists, "taken": head["taken"] + 1})
    return {"version": arguments["version"]}


def _outcome(transaction, _key, arguments):
    """The outcome of a change whose base is not the newest version. Read-only."""
    check_fields({"based_on": VERSION, "fingerprint": NAME}, arguments)
    known = _version_made_by(transaction, arguments["fingerprint"])
    if known is not None:
        return {"version": known}
    head = _head(transaction)
    _reject_past_base(transaction, head, arguments["based_on"])
    raise _may_still_be_applied(head, arguments["based_on"])


def _snapshot(transaction, _key):
    head = _head(transaction)
    values = {piece: transaction.packed(_piece_row(piece)) for piece in _piece_names(transaction, head)}
    return head["version"], values and values | {VERSION_PIECE: pack_entry(head["version"])}


# A change replaces existing entries, so it is accepted even while commands that add entries are rejected for lack of
# space.
CONTROLLERS.enter(ROUTING_KEY)(
    Controller(
        {"read": _read, "put": _put, "change": _change, "outcome": _outcome},
        snapshot=_snapshot,
        replacing=("put", "change"),
    )
)
