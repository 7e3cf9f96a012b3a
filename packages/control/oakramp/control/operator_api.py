"""The interface of the operator whose one configuration is kept under the key `routing`.

The dialect defines names and formats and the meaning of a document; this module decides what is answered and when:

    200  the change is on a majority of disks, also if this exact change was accepted before
    412  based on a version that is not the newest any more: not accepted and never will be
    4xx  not accepted and never will be: unreadable, invalid, an unknown machine, too few machines left
    503  no leader could be asked, or the outcome is not known, or the change may still be accepted: the request is to
         be repeated unchanged, at any node. Answered within half a second if no majority of the voting configuration
         answers this node, and within a second if its last answers took long

An operator that moves on to another node leaves its call here under way. That does no harm: a change is applied once,
which is ensured by its fingerprint, and a change that is based on an outdated version remains rejected.

A dialect has to provide: `operator_routes`, {replace, change, read, retire, retire_state: (method, path)}, the last
two with {machine} in their paths; `operator_status(error)`, for a final error; `base_version_of(headers)`;
`routing_of(document, parsed)`, the table in this software's own terms, or Invalid with every fault;
`version_of(document)`; `parse_patch(body)`, {version, upsert, remove}; `with_version(document, version)`;
`format_retire_state(state)`, an answer that can be encoded as JSON.
"""

import json
from hashlib import blake2b

from oakramp.common.constants import (
    FRAME_LIMIT,
    OPERATOR_LIMIT,
    OPERATOR_QUEUE_LIMIT,
    OPERATOR_RESPONSE_AGE,
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
from oakramp.common.validation import pack_json
from oakramp.control.routing import ROUTING_KEY, apply_patch, check_table, document_from, pieces_of
from oakramp.control.store_membership import STORES_KEY

RETRY_STATUS = 503  # of each request that is to be repeated
FRAME_OVERHEAD = 64 << 10  # bytes of a frame that are reserved for everything but the arguments of a command


# --- parsing of requests ------------------------------------------------------------


def _object_without_duplicates(pairs):
    names = dict(pairs)
    if len(names) != len(pairs):
        raise BadRequestError("body has a duplicate key in an object")
    return names


def _reject_number(text):
    raise BadRequestError(f"body holds {text}, which is not a valid number")


def _float(text):
    number = float(text)
    if number in (float("inf"), float("-inf")):
        _reject_number(text)
    return number


def read_document(data):
    """Parses the JSON object in a body. Raises BadRequestError, also if the document could be read in more than one
    way."""
    try:
        document = json.loads(
            data.decode(),
            object_pairs_hook=_object_without_duplicates,
            parse_constant=_reject_number,
            parse_float=_float,
        )
    except (ValueError, RecursionError) as error:
        raise BadRequestError(f"body is not valid JSON: {error}") from error
    if not isinstance(document, dict):
        raise BadRequestError("body must be a JSON object")
    return document


def fingerprint_of(method, based_on, body):
    """Identifies this exact change, whatever the whitespace in its body."""
    return blake2b(b"%s %d %s" % (method, based_on, pack_json(body)), digest_size=16).hexdigest()


class OperatorApi:
    """The HTTP interface of the operator.

    Invariant: `_known` is a version that a majority has confirmed, with its document; a version has one document."""

    def __init__(self, control, dialect):
        self._node, self._client, self._dialect = control.node, control.majority_client, dialect
        self._known = (0, None)
        self.web = self._node.http_server(self._node.env["operator"], OPERATOR_QUEUE_LIMIT, OPERATOR_LIMIT)
        for operation, handler in (
            ("replace", self._put),
            ("change", self._patch),
            ("read", self._unless_outdated(self._read)),
            ("retire", self._unless_outdated(self._retire)),
            ("retire_state", self._unless_outdated(self._retired)),
        ):
            self.web.route(*dialect.operator_routes[operation], self._with_error_answers(handler))

    def listen(self):
        self.web.listen()

    async def stop(self):
        await self.web.stop()

    def _with_error_answers(self, handler):
        async def answer(call):
            try:
                return 200, await handler(call)
            except OakrampError as error:
                status = self._status_of(error)
                self._node.log.info("operator_request_rejected", status=status, code=error.code, reason=error.reason)
                return status, error.to_json(), OPERATOR_RETRY if status == RETRY_STATUS else None

        return answer

    def _unless_outdated(self, handler):
        """Wraps a handler whose answers may become outdated. An answer that is ready later than any call may take was
        determined before this process was frozen, and is replaced by an error. The outcome of a change stays true, so
        changes need no such check."""

        async def answer(call):
            asked_at = self._node.reactor.seconds()
            try:
                return await handler(call)
            finally:
                if self._node.reactor.seconds() - asked_at > OPERATOR_RESPONSE_AGE:
                    raise QuorumUnavailableError(
                        "the answer took so long that it may be outdated", retry_after=OPERATOR_RETRY
                    )

        return answer

    def _status_of(self, error):
        """The status for an error. Only an error that guarantees that nothing was done and nothing will be done may
        end an operator's call; after any other, the operator must retry."""
        return self._dialect.operator_status(error) if error.verdict is Verdict.NO else RETRY_STATUS

    async def _ask(self, key, command, arguments):
        if not self._node.net.cluster_id:
            raise QuorumUnavailableError("this node does not belong to a cluster yet")
        return await self._client.call(key, command, arguments, OPERATOR_TIME)

    # --- the configuration ---

    async def _newest(self):
        """The newest (version, document), confirmed by the leader while it holds its lease; (0, None) before the first
        one. The document is read from this node's own state table if that has the same version."""
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
            raise NotFoundError("there is no configuration yet")
        return document

    def _change_of(self, call, method):
        """(version that the change is based on, body, fingerprint)."""
        based_on = self._dialect.base_version_of(call.request.requestHeaders)
        body = read_document(call.request.content.read())
        return based_on, body, fingerprint_of(method, based_on, body)

    def _check(self, document):
        """Validates a whole document and returns its version."""
        try:
            check_table(self._dialect.routing_of(document))
            return self._dialect.version_of(document)
        except (LookupError, TypeError, ValueError) as error:
            raise ValidationFailedError(f"the configuration cannot be read: {error!r}") from error

    async def _put(self, call):
        based_on, document, fingerprint = self._change_of(call, b"PUT")
        version = self._check(document)
        return await self._submit("put", based_on, version, fingerprint, document=document)

    async def _patch(self, call):
        based_on, body, fingerprint = self._change_of(call, b"PATCH")
        patch = self._dialect.parse_patch(body)
        current, document = await self._newest()
        if current != based_on:
            # It cannot be accepted any more, or names a version that does not exist; but it may have been accepted
            # before.
            return await self._ask(ROUTING_KEY, "outcome", {"based_on": based_on, "fingerprint": fingerprint})
        changed = self._dialect.with_version(
            apply_patch(document or {}, patch["upsert"], patch["remove"]), patch["version"]
        )
        version = self._check(changed)
        previous, pieces = pieces_of(document) if document is not None else {}, pieces_of(changed)
        # Compared in their stored form, because Python considers 1, 1.0 and True equal.
        pieces = dict.fromkeys(previous.keys() - pieces.keys()) | {
            name: value
            for name, value in pieces.items()
            if name not in previous or pack_json(previous[name]) != pack_json(value)
        }
        return await self._submit("change", based_on, version, fingerprint, pieces=pieces)

    async def _submit(self, command, based_on, version, fingerprint, **more):
        arguments = {"based_on": based_on, "version": version, "fingerprint": fingerprint} | more
        if len(pack_json(arguments)) > FRAME_LIMIT - FRAME_OVERHEAD:
            raise TooLargeError("the configuration is too large")
        accepted = await self._ask(ROUTING_KEY, command, arguments)
        self._node.log.info("routing_change_committed", version=accepted["version"], based_on=based_on, by=command)
        return accepted

    # --- machines to be drained ---

    async def _retire(self, call):
        read_document(call.request.content.read() or b"{}")
        return self._dialect.format_retire_state(
            (await self._ask(STORES_KEY, "retire", {"machine": call.names["machine"]}))["state"]
        )

    async def _retired(self, call):
        return self._dialect.format_retire_state(
            (await self._ask(STORES_KEY, "retired", {"machine": call.names["machine"]}))["state"]
        )
