"""Asking the owner of a key, from any node. Every command may be asked again: it carries its own id."""
import json

from oakbase.checks import packJson
from oakbase.constants import CALL_TIME, OWNER_TRIES_PAUSE
from oakbase.tasks import sleep
from oakbase.verdict import CannotTell, NoAnswer, NotOwner, OakError, Verdict
from oakcontrol.controllers import SLOT_SOURCE
from oakcontrol.slots import slotOfKey


class OwnerClient:
    def __init__(self, node):
        self._node = node

    def _believed(self, slot):
        rows = self._node.board.values(f"{SLOT_SOURCE}{slot}")
        return json.loads(rows["owner"])[2] if "owner" in rows else None

    def _anyControl(self, tried):
        addresses = sorted({member.peer for member in self._node.members.live("control")} - tried)
        return self._node.random.choice(addresses) if addresses else None

    async def call(self, key, command, arguments, timeLeft):
        """The owner's answer. Raises what the owner said; NoAnswer if an ask left and its outcome is not
        known; CannotTell if no owner could be asked at all."""
        reactor, slot = self._node.reactor, slotOfKey(key)
        endsAt = reactor.seconds() + timeLeft
        text, unsure, hint, tried, silent = packJson(arguments).decode(), None, None, set(), set()
        while reactor.seconds() < endsAt:
            address = hint or self._believed(slot)
            if address is None or address in tried | silent:
                # One that did not answer may have ended: whoever takes its slots over is asked instead.
                address = self._anyControl(tried | silent) or self._anyControl(tried)
            hint = None
            if address is not None:
                tried.add(address)
                try:
                    answer = await self._node.net.call(
                        address, "ownerCall", min(CALL_TIME, endsAt - reactor.seconds()),
                        key=key, command=command, argumentsJson=text)
                    return json.loads(answer)
                except NotOwner as error:
                    hint = error.detail if error.detail not in tried | silent else None
                except OakError as error:
                    if error.code not in ("noAnswer", "unreachable", "overloaded", "timeSpent"):
                        raise
                    if error.verdict is not Verdict.NO:
                        unsure = error
                        silent.add(address)
            if hint is None:
                await sleep(reactor, OWNER_TRIES_PAUSE)
                if address is None or len(tried) > 2:
                    tried = set()
        if unsure is not None:
            raise NoAnswer(f"the owner of {key} did not say what became of {command}")
        raise CannotTell(f"no owner of {key} could be asked in time", retryAfter=1)
