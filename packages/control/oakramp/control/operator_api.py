"""The interface of the operator whose one configuration is kept under `routing`.

Names and formats are the dialect's, and so is what a document means; what is answered and when is decided here:

    200  on a majority of disks, also if this exact change was taken before
    412  built on a version that is past, so it is not taken and never will be
    4xx  not taken and never will be: unreadable, invalid, an unknown machine, too few left
    503  no leader could be asked, what became of it is not known, or it may still be taken: to be repeated as it is, at
    any
         node; within half a second, if no majority of the voting configuration answers this node, and within a second
         if its last answers took long

An operator that moves on to another node leaves its call here under way. That does no harm: a change is taken once, by
its fingerprint, and one built on a version that is past stays lost.

What the dialect has to say: `operator_routes`, {replace, change, read, retire, retire_state: (method, path)}, the last
two with {machine} in their paths; `operator_status(error)`, of one that is final; `base_version_of(headers)`;
`routing_of(document, parsed)`, the table in the product's leases, or Invalid with every fault; `version_of(document)`;
`patch_of(body)`, {version, upsert, remove}; `with_version(document, version)`; `retire_shown(state)`, a JSON-able
answer.
"""

import json
from hashlib import blake2b

from oakramp.common.constants import (
    FRAME_LIMIT,
    OPERATOR_ANSWER_AGE,
    OPERATOR_LIMIT,
    OPERATOR_QUEUE_LIMIT,
    OPERATOR_RETRY,
    OPERATOR_TIME,
)
from oakramp.common.errors import (
    BadRequestError,
    NotFoundError,
    OakrampError,
    QuorumUnavailableError,
    TooLargeError,
    ValidationFailedError,
    Verdict,
)
from oakramp.common.http_server import HttpServer
from oakramp.common.validation import pack_json
from oakramp.control.routing import ROUTING_KEY, apply_patch, check_table, document_from, pieces_of
from oakramp.control.store_membership import STORES_KEY

AGAIN = 503  # the status of whatever is to be asked for again
FRAME_ROOM = 64 << 10  # bytes; of a frame, for what is around a command's arguments


# --- reading what comes in ----------------------------------------------------------


def _object(pairs):
    names = dict(pairs)
    if len(names) != len(pairs):
        raise BadRequestError("body names something twice in one object")
    return names


def _no_number(text):
    raise BadRequestError(f"body holds {text}, which is no number")


def _float(text):
    number = float(text)
    if number in (float("inf"), float("-inf")):
        _no_number(text)
    return number


def read_document(data):
    """The JSON object in a body, or BadRequestError: what could be read in two ways is not read at all."""
    try:
        document = json.loads(data.decode(), object_pairs_hook=_object, parse_constant=_no_number, parse_float=_float)
    except (ValueError, RecursionError) as error:
        raise BadRequestError(f"body is no JSON: {error}") from error
    if not isinstance(document, dict):
        raise BadRequestError("body must be a JSON object")
    return document


def fingerprint_of(method, based_on, body):
    """Names this exact change, however its body was spaced."""
    return blake2b(b"%s %d %s" % (method, based_on, pack_json(body)), digest_size=16).hexdigest()


class OperatorApi:
    """Invariant: `_known` is a version that a majority has confirmed, with its document; a version has one document."""

    def __init__(self, control, dialect):
        self._node, self._client, self._dialect = control.node, control.majority_client, dialect
        self._known = (0, None)
        self.web = HttpServer(
            self._node.reactor, self._node.env["operator"], self._node.log, OPERATOR_QUEUE_LIMIT, OPERATOR_LIMIT
        )
        for word, handler in (
            ("replace", self._put),
            ("change", self._patch),
            ("read", self._while_new(self._read)),
            ("retire", self._while_new(self._retire)),
            ("retire_state", self._while_new(self._retired)),
        ):
            self.web.route(*dialect.operator_routes[word], self._answering(handler))

    def listen(self):
        self.web.listen()

    async def stop(self):
        await self.web.stop()

    def _answering(self, handler):
        async def answer(call):
            try:
                return 200, await handler(call)
            except OakrampError as error:
                status = self._status_of(error)
                self._node.log.info("operator_request_rejected", status=status, code=error.code, reason=error.reason)
                return status, error.to_json(), OPERATOR_RETRY if status == AGAIN else None

        return answer

    def _while_new(self, handler):
        """The handler of calls whose answers may become untrue. One that is ready later than any call may take was
        found out before this process was frozen, and is not given. What became of a change stays true."""

        async def answer(call):
            asked_at = self._node.reactor.seconds()
            try:
                return await handler(call)
            finally:
                if self._node.reactor.seconds() - asked_at > OPERATOR_ANSWER_AGE:
                    raise QuorumUnavailableError(
                        "the answer came too late to be true still", retry_after=OPERATOR_RETRY
                    )

        return answer

    def _status_of(self, error):
        """Only a promise that nothing was done and nothing will be may end an operator's call."""
        return self._dialect.operator_status(error) if error.verdict is Verdict.NO else AGAIN

    async def _ask(self, key, command, arguments):
        if not self._node.net.cluster_id:
            raise QuorumUnavailableError("this node is in no cluster yet")
        return await self._client.call(key, command, arguments, OPERATOR_TIME)

    # --- the configuration ---

    async def _newest(self):
        """(version, document) as the leader has it inside its lease; (0, None) before the first one. The document comes
        from this node's own news if they are as new as that."""
        snapshot = self._node.state_table.snapshots.get(ROUTING_KEY)
        if snapshot is not None and snapshot.version > self._known[0]:
            self._known = document_from(self._node.state_table.values(ROUTING_KEY))
        known = self._known
        answer = await self._ask(ROUTING_KEY, "read", {"known": known[0]})
        if answer["version"] == known[0]:
            return known
        newest = answer["version"], answer.get("document")
        self._known = max(self._known, newest, key=lambda one: one[0])
        return newest

    async def _read(self, _call):
        version, document = await self._newest()
        if not version:
            raise NotFoundError("no configuration has been taken yet")
        return document

    def _change_of(self, call, method):
        """(version built on, body, fingerprint) of a change."""
        based_on = self._dialect.base_version_of(call.request.requestHeaders)
        body = read_document(call.request.content.read())
        return based_on, body, fingerprint_of(method, based_on, body)

    def _check(self, document):
        """The version of a document that is valid as a whole."""
        try:
            check_table(self._dialect.routing_of(document))
            return self._dialect.version_of(document)
        except (LookupError, TypeError, ValueError) as error:
            raise ValidationFailedError(f"the configuration cannot be read: {error!r}") from error

    async def _put(self, call):
        based_on, document, fingerprint = self._change_of(call, b"PUT")
        version = self._check(document)
        return await self._take("put", based_on, version, fingerprint, document=document)

    async def _patch(self, call):
        based_on, body, fingerprint = self._change_of(call, b"PATCH")
        patch = self._dialect.patch_of(body)
        current, document = await self._newest()
        if current != based_on:
            # It can't be taken any more, or names a version that is not there; but it may have been taken before.
            return await self._ask(ROUTING_KEY, "outcome", {"based_on": based_on, "fingerprint": fingerprint})
        changed = self._dialect.with_version(
            apply_patch(document or {}, patch["upsert"], patch["remove"]), patch["version"]
        )
        version = self._check(changed)
        previous, pieces = pieces_of(document) if document is not None else {}, pieces_of(changed)
        # Compared as they are kept: to Python 1, 1.0 and true are all the same.
        pieces = dict.fromkeys(previous.keys() - pieces.keys()) | {
            name: value
            for name, value in pieces.items()
            if name not in previous or pack_json(previous[name]) != pack_json(value)
        }
        return await self._take("change", based_on, version, fingerprint, pieces=pieces)

    async def _take(self, command, based_on, version, fingerprint, **more):
        arguments = {"based_on": based_on, "version": version, "fingerprint": fingerprint} | more
        if len(pack_json(arguments)) > FRAME_LIMIT - FRAME_ROOM:
            raise TooLargeError("the configuration is too large")
        taken = await self._ask(ROUTING_KEY, command, arguments)
        self._node.log.info("routing_change_committed", version=taken["version"], based_on=based_on, by=command)
        return taken

    # --- machines to be emptied ---

    async def _retire(self, call):
        read_document(call.request.content.read() or b"{}")
        return self._dialect.retire_shown(
            (await self._ask(STORES_KEY, "retire", {"machine": call.names["machine"]}))["state"]
        )

    async def _retired(self, call):
        return self._dialect.retire_shown(
            (await self._ask(STORES_KEY, "retired", {"machine": call.names["machine"]}))["state"]
        )
