"""Faults injected into the code of the running program, to show that the explorer finds them: the mutations of
`oakramp.testbed.code_mutations` that concern the control protocols, and further ones that violate invariants.

A mutation replaces text of one source file. Here, the functions whose code then differs get the new code for a while, so
that a thousand schedules need no new process."""

import contextlib
import importlib
import inspect
import types
from dataclasses import dataclass, field

from oakramp.testbed.code_mutations import CODE_MUTATIONS
from oakramp.testbed.explore.world import Shape


@dataclass(frozen=True)
class Mutation:
    """`old` occurs exactly once in the module's source. `shape` is that of worlds in which the fault has an effect."""

    name: str
    module: str
    old: str
    new: str
    shape: Shape = field(default=Shape())

    def source(self):
        text = inspect.getsource(importlib.import_module(self.module))
        if text.count(self.old) != 1:
            raise LookupError(f"{self.name}: not found once in {self.module}")
        return text.replace(self.old, self.new)


def _codes_in(code):
    """All code objects compiled within this one, by qualified name."""
    for constant in code.co_consts:
        if isinstance(constant, types.CodeType):
            yield constant.co_qualname, constant
            yield from _codes_in(constant)


def _functions_in(module):
    """The functions and methods defined in the module."""
    for value in vars(module).values():
        if inspect.isclass(value) and value.__module__ == module.__name__:
            for member in vars(value).values():
                function = getattr(member, "__func__", member)
                if inspect.isfunction(function):
                    yield function
        elif inspect.isfunction(value) and value.__module__ == module.__name__:
            yield value


@contextlib.contextmanager
def applied(mutation):
    """A context in which the program has this fault."""
    module = importlib.import_module(mutation.module)
    changed = dict(_codes_in(compile(mutation.source(), module.__file__, "exec")))
    previous = {}
    for function in _functions_in(module):
        code = changed.get(function.__code__.co_qualname)
        if code is not None and code.co_freevars == function.__code__.co_freevars:
            previous[function] = function.__code__
            function.__code__ = code
    try:
        yield
    finally:
        for function, code in previous.items():
            function.__code__ = code


PLAIN = Shape()
REPLACING = Shape(voters=3, spares=1)
REFUSING = Shape(refusing=1)


def _code_mutation(name, shape=PLAIN):
    one = next(one for one in CODE_MUTATIONS if one.name == name)
    module = one.file.partition("/")[2].removesuffix(".py").replace("/", ".")
    return Mutation(name, module, one.old, one.new, shape)


CODE_MUTATIONS_OF_CONTROL = [
    _code_mutation("majority of disks"),
    _code_mutation("wait for the former term"),
    _code_mutation("who may hold a term says so"),
    _code_mutation("a new roster's voters vouch for nobody", REPLACING),
    _code_mutation("calls that name the node they are for"),
    _code_mutation("a kept roster is told in the news again"),
    _code_mutation("a voter that left the roster is asked no more", REPLACING),
    _code_mutation("epochs promised once"),
    _code_mutation("a given slot is not published again"),
    _code_mutation("sync before answering"),
    _code_mutation("what was not synced is written anew after a fault", REFUSING),
]

LEADER, VOTER, ROUTING = "oakramp.control.shard_leader", "oakramp.control.voter", "oakramp.control.routing"
PREPARATION, REPLICATION = "oakramp.control.prepare_phase", "oakramp.control.replication"
CHECKED_PUT = "    head = _head(transaction)\n    _check_versions(transaction, head, arguments)\n    previous"  # of a whole document
PLANTED = [
    Mutation(
        "acknowledged before the sync",
        VOTER,
        "                    await self._ring.commit([row for write in writes for row in self._rows_of(*write)])",
        "                    self._ring.commit([row for write in writes for row in self._rows_of(*write)])",
    ),
    Mutation(
        "promised before the sync",
        VOTER,
        "        await self._ring.commit(self._rows_of(shard, table, changed, header))",
        "        self._ring.commit(self._rows_of(shard, table, changed, header))",
    ),
    Mutation(
        "lease not checked after a freeze",
        LEADER,
        "return not self.ended and self._registry.reactor.seconds() < self.lease_until",
        "return not self.ended",
    ),
    Mutation(
        "lease counted from the answer",
        "oakramp.control.lease",
        "extend_lease(self.asked_at + LEASE_HELD)",
        "extend_lease(self.leaders[shard]._registry.reactor.seconds() + LEASE_HELD)",
    ),
    Mutation(
        "newest image by sequence only",
        PREPARATION,
        "((node_id, (promise.snapshot_epoch, promise.sequence)) for",
        "((node_id, (promise.sequence, promise.snapshot_epoch)) for",
    ),
    Mutation(
        "own image instead of the newest",
        PREPARATION,
        "key=lambda row: (row[1], row[0] == self._node.node_id),",
        "key=lambda row: row[0] == self._node.node_id,",
    ),
    Mutation(
        "a member without a disk is counted",
        "oakramp.control.voting_configuration",
        "len(node_ids & member_ids.keys()) > len(member_ids) // 2\n            for",
        "len(node_ids & member_ids.keys()) >= len(member_ids) // 2\n            for",
    ),
    Mutation(
        "a repeated change is refused",
        ROUTING,
        f'return {{"version": known}}\n{CHECKED_PUT}',
        f"pass\n{CHECKED_PUT}",
    ),
    Mutation(
        "a repeated change is applied again",
        ROUTING,
        f'return {{"version": known}}\n{CHECKED_PUT}',
        'arguments = arguments | {"based_on": _head(transaction)["version"], "version": _head(transaction)["version"] + 1}\n'
        f"{CHECKED_PUT}",
    ),
    Mutation(
        "two changes taken on one base",
        ROUTING,
        "    _reject_past_base(transaction, head, based_on)\n    if version",
        '    if version <= head["version"]:\n        _reject_past_base(transaction, head, based_on)\n    if version',
    ),
    Mutation(
        "a step taken although one before it is missing",
        VOTER,
        "        if not follows:\n",
        "        if False:\n",
    ),
    Mutation(
        "a voter that has promised a later epoch takes steps",
        VOTER,
        "return (epoch, owner) != (table.promised_epoch, table.promised_owner) and epoch <= table.promised_epoch",
        "return False",
    ),
    Mutation(
        "a term confirmed past a later promise",
        VOTER,
        "if 0 <= shard < SHARDS\n            and (self._tables[shard].promised_epoch, self._tables[shard].promised_owner) == (epoch, owner)",
        "if 0 <= shard < SHARDS",
    ),
    Mutation(
        "the image of a take-over is not written to a majority",
        "oakramp.control.failover",
        "        if not await self._registry.replicator.replicate(owner, 1, {}, start):",
        "        if False:",
    ),
    Mutation(
        "a change acknowledged without a majority",
        LEADER,
        "            if not await self._registry.replicator.replicate(self, self.sequence + 1, changes):\n                self.end()\n",
        "            if not await self._registry.replicator.replicate(self, self.sequence + 1, changes):\n                return None\n",
    ),
    Mutation(
        "the voter that was quiet longest ends the former term",
        PREPARATION,
        "unconfirmed_s = min(",
        "unconfirmed_s = max(",
    ),
    Mutation(
        "a merged step brings older values",
        REPLICATION,
        "            self.missing[key] = value\n",
        "            self.missing.setdefault(key, value)\n",
    ),
    Mutation(
        "what is gathered for a voter is dropped at any of its answers",
        REPLICATION,
        "        if sequence == self.newest:\n            progress.start_collecting()",
        "        if True:\n            progress.start_collecting()",
    ),
    Mutation(
        "a change that may still be taken is told lost",
        ROUTING,
        '    return QuorumUnavailableError(f"based on version {based_on}, the newest',
        '    return VersionConflictError(f"based on version {based_on}, the newest',
    ),
    Mutation(
        "a voter of another roster version takes part",
        VOTER,
        "        if version != self.voting_config.version:\n",
        "        if False:\n",
        REPLACING,
    ),
    Mutation(
        "a roster moves on before the images do",
        "oakramp.control.membership_repair",
        "if all(\n                self._shard_voting_config(shard) >= voting_config.version for shard in range(SHARDS)\n"
        "            ) and await",
        "if await",
        REPLACING,
    ),
    Mutation(
        "a roster changes without a joint version",
        "oakramp.control.voting_configuration",
        '    record = {"version": record["version"] + 1, "members": record["members"], "next": changed}',
        '    record = {"version": record["version"] + 1, "members": changed, "next": None}',
        REPLACING,
    ),
]
MUTATIONS = {mutation.name: mutation for mutation in [*CODE_MUTATIONS_OF_CONTROL, *PLANTED]}
