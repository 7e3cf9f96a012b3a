"""The key `routing`: the operator's one configuration, changed by compare-and-set on its version.

The document is the operator's own and opaque here; what it means is the dialect's to say. It is kept in pieces, so
that a change costs what changed, on the disks and in the news: a piece for each named item of a top-level list, one for
the order of each such list, and one for all the rest.

Entries of `routing`:  itself: {version, lists, taken};  #piece/<name>: a piece;  #taken/<fingerprint>: the version that
this exact change made;  #turn/<n>: the fingerprint in this place of a ring of CHANGES_REMEMBERED places.
Invariants: `version` rises with every change; `lists` are the top-level lists kept by items, and each has its order;
`taken` counts the changes, and the fingerprints of the last CHANGES_REMEMBERED of them are known.

A change that is asked for again by its fingerprint was taken or not, whatever came after it: the first to build on a
version makes that version past, so of two different changes one is lost, and what was lost can never be taken later.

An order may be repeated without limit in time, so nothing here is forgotten by time, and a refusal never rests on what
was forgotten: a change is refused only if it is built on a past version that is not older than the oldest remembered
change. Any other unknown change gets no clear answer (QuorumUnavailableError): an older one may have been taken, and
one that is built on a version which is not there yet may still be taken, by a copy that is under way.
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
REST = "rest"
ORDER = "order:"  # before a list's name; never part of a quoted name
VERSION_PIECE = "version"  # only in the news
FAULTS_TOLD = 50  # of one document, in an answer
NAMES_CACHED = 1 << 14  # names; quoted ones at hand, more than a configuration of the largest size tried has


# --- documents and their pieces -------------------------------------------------


@lru_cache(NAMES_CACHED)
def _quoted(name):
    return quote(name, safe="", errors="surrogatepass")


def is_named_list(value):
    """Whether this is a list of objects, each with a name of its own."""
    if not isinstance(value, list) or not all(isinstance(item, dict) for item in value):
        return False
    names = [item.get("name") for item in value]
    return all(isinstance(name, str) for name in names) and len(set(names)) == len(names)


def _item_piece(list_name, name):
    return f"{_quoted(list_name)}/{_quoted(name)}"


def pieces_of(document):
    """Piece name -> value. Names are unambiguous: only an item's has a slash, only an order's a colon."""
    lists = {name: value for name, value in document.items() if is_named_list(value)}
    pieces = {REST: {name: value for name, value in document.items() if name not in lists}}
    pieces |= {f"{ORDER}{_quoted(list_name)}": [item["name"] for item in items] for list_name, items in lists.items()}
    return pieces | {_item_piece(list_name, item["name"]): item for list_name, items in lists.items() for item in items}


def document_of(pieces):
    """The document that these pieces were made of."""
    orders = {
        unquote(name.removeprefix(ORDER), errors="surrogatepass"): names
        for name, names in pieces.items()
        if name.startswith(ORDER)
    }
    return pieces[REST] | {
        list_name: [pieces[_item_piece(list_name, name)] for name in names] for list_name, names in orders.items()
    }


def document_from(values):
    """(version, document) of the published items, as a board has them; (0, None) without any."""
    if VERSION_PIECE not in values:
        return 0, None
    pieces = {name: unpack_entry(value) for name, value in values.items()}
    return pieces[VERSION_PIECE], document_of(pieces)


# --- patches ----------------------------------------------------------------------


def apply_patch(document, upsert, remove):
    """The document with these items added, replaced or removed by name; replaced ones keep their places.

    Refused is what cannot be read as named items, or says two things of one name. A list that is not there yet begins
    with what is added to it, and the removal of what is not there has nothing to do: neither is among the faults of a
    configuration, and the result is checked as a whole by whoever knows its leases."""
    faults = [
        fault
        for part, changes in (("upsert", upsert), ("remove", remove))
        for fault in _patch_faults(document, part, changes)
    ]
    if faults:
        raise ValidationFailedError("; ".join(faults[:FAULTS_TOLD]), detail=faults[:FAULTS_TOLD])
    added = {list_name: {item["name"]: item for item in items} for list_name, items in upsert.items()}
    faults = [
        f"{list_name}: {name} is both to be there and to be removed"
        for list_name, names in remove.items()
        for name in names
        if name in added.get(list_name, ())
    ]
    if faults:
        raise ValidationFailedError("; ".join(faults[:FAULTS_TOLD]), detail=faults[:FAULTS_TOLD])
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
        f"{list_name}: is no list of named items"
        for list_name in changes
        if list_name in document and not is_named_list(document[list_name])
    ]
    if part == "upsert":
        return faults + [
            f"upsert.{list_name}: must be a list of items, each with a name of its own"
            for list_name, items in changes.items()
            if not is_named_list(items)
        ]
    return faults + [
        f"remove.{list_name}: must be a list of names"
        for list_name, names in changes.items()
        if not isinstance(names, list) or not all(isinstance(name, str) for name in names)
    ]


# --- the table in the product's leases ----------------------------------------------


def table_faults(table):
    """What makes a routing table invalid, whatever leases it was written in."""
    seen, faults = {}, []
    for route in table["routes"]:
        name, place = route["name"], (host_of(route["host"]), route["path_prefix"])
        if place in seen:
            faults.append(f"{name}: shares host and prefix with {seen[place]}")
        seen.setdefault(place, name)
        faults += [
            f"{name}: names {service}, which is no service"
            for service, _ in route["backends"]
            if service not in table["services"]
        ]
        if any(weight < 0 for _, weight in route["backends"]):
            faults.append(f"{name}: has a weight below 0")
        if not sum(weight for _, weight in route["backends"]) > 0:
            faults.append(f"{name}: its weights add up to nothing")
        if not route["timeout_s"] > 0:
            faults.append(f"{name}: has no time")
    return faults + _shared_key_faults(table.get("tenants") or {})


def _shared_key_faults(tenants):
    """A key must tell one tenant. The keys themselves are secrets and stand in no fault."""
    holders, faults = {}, []
    for name, tenant in tenants.items():
        others = {holder for key in tenant["keys"] if (holder := holders.setdefault(key, name)) != name}
        faults += [f"{name}: shares a key with {other}" for other in sorted(others)]
    return faults


def check_table(table):
    """The table itself. Raises ValidationFailedError with its faults, if it has any."""
    faults = table_faults(table)
    if faults:
        raise ValidationFailedError("; ".join(faults[:FAULTS_TOLD]), detail=faults[:FAULTS_TOLD])
    return table


def host_of(authority):
    """A host as routes are found by it: without port, in lower case."""
    host, separator, port = authority.rpartition(":")
    return (host if separator and port.isdigit() else authority.removesuffix(":")).lower()


# --- the owned key -----------------------------------------------------------------


def _head(transaction):
    return transaction.get(ROUTING_KEY) or {"version": 0, "lists": [], "taken": 0}


def _row(piece):
    return f"{ROUTING_KEY}#piece/{piece}"


def _taken_row(fingerprint):
    return f"{ROUTING_KEY}#taken/{fingerprint}"


def _piece_names(transaction, head):
    """The names of all pieces, by what the entries themselves say: changes of one batch see each other's."""
    if not head["version"]:
        return []
    orders = {list_name: transaction.get(_row(f"{ORDER}{_quoted(list_name)}")) for list_name in head["lists"]}
    return [
        REST,
        *(f"{ORDER}{_quoted(list_name)}" for list_name in orders),
        *(_item_piece(list_name, name) for list_name, names in orders.items() for name in names),
    ]


def _read(transaction, _key, arguments):
    """The newest version, and its document unless the asker knows it."""
    check_fields({Optional("known"): VERSION}, arguments)
    head = _head(transaction)
    if head["version"] in (0, arguments.get("known")):
        return {"version": head["version"]}
    pieces = {piece: transaction.get(_row(piece)) for piece in _piece_names(transaction, head)}
    return {"version": head["version"], "document": document_of(pieces)}


def _known(transaction, fingerprint):
    """The version that this exact change made, or None."""
    return transaction.get(_taken_row(fingerprint))


def _turn(number):
    """The ring's place that remembers the change of this number."""
    return f"{ROUTING_KEY}#turn/{number % CHANGES_REMEMBERED}"


def _oldest_remembered(transaction, head):
    """The version that the oldest remembered change made; 0 as long as none has been forgotten."""
    fingerprint = transaction.get(_turn(head["taken"]))
    return 0 if fingerprint is None else _known(transaction, fingerprint)


def _refuse_past(transaction, head, based_on):
    """Refuses an unknown change that is built on a past version, if it surely was not taken. One that is built on the
    version of a remembered change would be remembered too; what an older one was built on is not known any more."""
    if based_on >= head["version"]:
        return
    if based_on < _oldest_remembered(transaction, head):
        raise QuorumUnavailableError(
            f"built on version {based_on}; changes of that age are not remembered, so it may have been taken",
            Verdict.MAYBE,
        )
    raise VersionConflictError(
        f"built on version {based_on}, the newest is {head['version']}",
        detail={"version": head["version"]},
    )


def _not_yet(head, based_on):
    """A change that may still be taken: no copy of it is told that it never will be."""
    return QuorumUnavailableError(f"built on version {based_on}, the newest is {head['version']}", Verdict.MAYBE)


def _check_versions(transaction, head, arguments):
    """Only what is built on the newest version, and is above it, goes on to be taken."""
    based_on, version = arguments["based_on"], arguments["version"]
    _refuse_past(transaction, head, based_on)
    if version <= based_on:
        fault = f"version {version} is not above {based_on}"
        raise ValidationFailedError(fault, detail=[fault])
    if based_on > head["version"]:
        raise _not_yet(head, based_on)


CHANGE = {"based_on": VERSION, "version": whole(1, 1 << 53), "fingerprint": NAME}


def _put(transaction, _key, arguments):
    """A whole document."""
    check_fields(CHANGE | {"document": dict}, arguments)
    known = _known(transaction, arguments["fingerprint"])
    if known is not None:
        return {"version": known}
    head = _head(transaction)
    _check_versions(transaction, head, arguments)
    previous = dict.fromkeys(_piece_names(transaction, head))
    return _take(transaction, head, arguments, previous | pieces_of(arguments["document"]))


def _change(transaction, _key, arguments):
    """Only the pieces that differ from the version built on; None removes one."""
    check_fields(CHANGE | {"pieces": dict}, arguments)
    known = _known(transaction, arguments["fingerprint"])
    if known is not None:
        return {"version": known}
    head = _head(transaction)
    _check_versions(transaction, head, arguments)
    return _take(transaction, head, arguments, arguments["pieces"])


def _take(transaction, head, arguments, changed):
    for piece, value in changed.items():
        if transaction.packed(_row(piece)) != pack_entry(value):
            transaction.put(_row(piece), value)
    orders = {
        unquote(piece.removeprefix(ORDER), errors="surrogatepass"): value is not None
        for piece, value in changed.items()
        if piece.startswith(ORDER)
    }
    lists = sorted({*head["lists"], *orders} - {name for name, stays in orders.items() if not stays})
    turn = _turn(head["taken"])
    forgotten = transaction.get(turn)
    if forgotten is not None:
        transaction.put(_taken_row(forgotten), None)
    transaction.put(turn, arguments["fingerprint"])
    transaction.put(_taken_row(arguments["fingerprint"]), arguments["version"])
    transaction.put(ROUTING_KEY, {"version": arguments["version"], "lists": lists, "taken": head["taken"] + 1})
    return {"version": arguments["version"]}


def _outcome(transaction, _key, arguments):
    """What became of a change that is built on another version than the newest. It changes nothing."""
    check_fields({"based_on": VERSION, "fingerprint": NAME}, arguments)
    known = _known(transaction, arguments["fingerprint"])
    if known is not None:
        return {"version": known}
    head = _head(transaction)
    _refuse_past(transaction, head, arguments["based_on"])
    raise _not_yet(head, arguments["based_on"])


def _snapshot(transaction, _key):
    head = _head(transaction)
    values = {piece: transaction.packed(_row(piece)) for piece in _piece_names(transaction, head)}
    return head["version"], values and values | {VERSION_PIECE: pack_entry(head["version"])}


# A change replaces what is there, so it is taken also when what adds up is refused for want of room.
CONTROLLERS.enter(ROUTING_KEY)(
    Controller(
        {"read": _read, "put": _put, "change": _change, "outcome": _outcome},
        snapshot=_snapshot,
        replacing=("put", "change"),
    )
)
