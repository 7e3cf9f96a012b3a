"""The way of an owner's steps to the voters.

An owner of several slots writes to each of them by itself, but to the same five disks. What is on its way to one voter at
the same time goes in one call, is committed there at once and is answered for each slot by itself.
"""

from twisted.internet import defer

from oakbase.constants import CALL_TIME, IMAGE_PART, STEP_PAUSE


class StepBatcher:
    """Steps on their way to one voter. Invariant: while any waits, a timer is set, or a call is under way whose end sends it;
    none waits longer than STEP_PAUSE."""

    def __init__(self, net, reactor, voter_id):
        self._net, self._reactor, self._voter_id = net, reactor, voter_id
        self._waiting = []
        self._calls = 0
        self._timer = None

    def put(self, target, step, ended):
        """`target` is (address, roster version); `ended(taken, error)` is called once."""
        self._waiting.append((target, step, ended))
        if self._timer is None:
            self._timer = self._reactor.callLater(STEP_PAUSE if self._calls else 0, self._send)

    def _send(self):
        self._timer = None
        waiting, self._waiting = self._waiting, []
        while waiting:
            (target, size), batch = (waiting[0][0], 0), []
            while waiting and waiting[0][0] == target and (not batch or size + len(waiting[0][1]) <= IMAGE_PART):
                batch.append(waiting.pop(0))
                size += len(batch[-1][1])
            self._call(*target, batch)

    def _call(self, address, roster_version, batch):
        self._calls += 1
        call = self._net.call(
            address,
            "acceptMany",
            CALL_TIME,
            to=self._voter_id,
            owner=self._net.node_id,
            roster_version=roster_version,
            steps=[step for _, step, _ in batch],
        )
        call.addCallbacks(self._answered, self._failed, callbackArgs=(batch,), errbackArgs=(batch,))

    def _answered(self, answers, batch):
        self._freed()
        for (_, _, ended), taken in zip(batch, answers):
            ended(taken, None)

    def _failed(self, failure, batch):
        self._freed()
        for _, _, ended in batch:
            ended(None, failure.value)

    def _freed(self):
        self._calls -= 1
        if self._calls == 0 and self._timer is not None:
            self._timer.cancel()
            self._send()


class Offer:
    """One step, offered to the voters of one roster. `outcome` fires with (whether a majority has it, errors by voter)
    once that is certain."""

    def __init__(self, roster, ends_at):
        self._roster, self.ends_at = roster, ends_at
        self._taken_by, self._pending, self._errors = set(), set(roster.everyone), {}
        self.outcome = defer.Deferred()

    def settle(self, node_id, error=None):
        self._pending.discard(node_id)
        if error is not None:
            self._errors[node_id] = error
        else:
            self._taken_by.add(node_id)
        if self.outcome.called:
            return
        if error is None and self._roster.is_quorum(self._taken_by):
            self.outcome.callback((True, {}))
        elif error is not None and not self._roster.is_quorum(self._taken_by | self._pending):
            self.outcome.callback((False, dict(self._errors)))

    def give_up(self, node_id, error):
        """Nothing can come of it any more, whatever the others will say."""
        if not self.outcome.called:
            self.outcome.callback((False, self._errors | {node_id: error}))
