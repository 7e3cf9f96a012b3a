"""Keyed calls through several gateways with scarce replicas, from a seed, and what must hold of what all of them saw.

The gateways are real (relay_bench). The leader of the keys runs the real commands on one table, which survives it; its
local state does not. Gateways are killed, frozen and cut off from the leader, at random times and at chosen steps of a
call; the leader is replaced; all are restarted; commands are delayed, lost, and executed twice; clocks differ in rate.
"""

import math
import os
import random
import sys
from collections import Counter
from dataclasses import dataclass
from functools import partial
from types import SimpleNamespace

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from sortedcontainers import SortedDict  # noqa: E402
from twisted.internet import error, task  # noqa: E402

from oakramp.common.constants import LIVENESS_AGE  # noqa: E402
from oakramp.common.errors import (  # noqa: E402
    MethodNotFoundError,
    OakrampError,
    OutcomeUnknownError,
    QuorumUnavailableError,
)
from oakramp.common.tasks import sleep, within  # noqa: E402
from oakramp.control.command_context import CommandContext  # noqa: E402
from oakramp.control.controllers import CONTROLLERS  # noqa: E402
from oakramp.control.transaction import Transaction  # noqa: E402
from previous_release import PreviousCallHandler, PreviousController  # noqa: E402
from relay_bench import Gate, answer, request  # noqa: E402
from relay_http import Reader  # noqa: E402
from relay_world import GateReactor, LateTransport  # noqa: E402

NOT_RUN_STATUSES = (408, 421, 429, 503)
ATTEMPT_TIME = 0.4  # s; a call to the leader without an answer is repeated after this time
GATEWAYS = 3
KEYS = 6
TROUBLE_S = 9.0  # s; faults and first attempts are within this time
QUIET_S = 8.0  # s; from the end of the trouble until the last attempt of each key
LAST_ATTEMPT_S = 4.0  # s; time of the last attempt
DETECTION_S = LIVENESS_AGE + 0.5  # s; a gateway that has ended is known to be silent after this time
PRESENT, PREVIOUS = "present", "previous"
# The steps of a call at which a gateway is killed, frozen or cut off.
STEPS = ("claim asked", "claim executed", "claim answered", "sent", "responded", "finish executed", "free executed")


@dataclass
class Attempt:
    """One attempt of a client. `answered_at` is infinite without an answer."""

    key: str
    try_id: str
    gate: "SimGateway"
    sent_at: float
    time_left: float
    status: int = 0
    stamp: str = ""
    body: bytes = b""
    answered_at: float = math.inf


@dataclass
class Run:
    """A request that reached a replica. It did not run if the replica rejected it, which its gateway knows once it has
    heard so."""

    key: str
    try_id: str
    gate: str
    at: float
    stamp: str
    is_rejected: bool
    is_rejection_heard: bool = False

    @property
    def may_have_run(self):
        """Whether it ran, as far as its gateway can know."""
        return not self.is_rejection_heard


class SimTimer:
    """A delayed call of a process. While the process is frozen it is due and not run, and may still be cancelled."""

    def __init__(self, reactor, delay, function):
        self._is_done, self._function, self._due_at = False, function, reactor.seconds() + delay
        self._call = reactor.world.clock.callLater(delay / reactor.rate, reactor.deliver, self._run)

    def _run(self):
        if not self._is_done:
            self._is_done = True
            self._function()

    def active(self):
        return not self._is_done

    def getTime(self):
        return self._due_at

    def cancel(self):
        self._is_done = True
        if self._call.active():
            self._call.cancel()


class SimReactor(GateReactor):
    """One process's view of the common clock, at a rate of its own. While it is frozen, what would run is postponed."""

    def __init__(self, world, rate):
        super().__init__(world)
        self.rate, self.is_frozen, self._postponed = rate, False, []
        self.seconds = lambda: world.clock.seconds() * rate

    def callLater(self, delay, function, *arguments, **named):
        return SimTimer(self, delay, partial(function, *arguments, **named))

    def deliver(self, function, *arguments, **named):
        """Runs this in the process, once it is not frozen; never if it has ended."""
        if self.is_frozen:
            self._postponed.append((function, arguments, named))
        elif not self.is_dead:
            function(*arguments, **named)

    def thaw(self):
        self.is_frozen = False
        postponed, self._postponed = self._postponed, []
        for function, arguments, named in postponed:
            self.deliver(function, *arguments, **named)


class SimTransport(LateTransport):
    """A connection of a gateway; what its peer sends waits while the gateway is frozen."""

    def feed(self, data):
        self._reactor.deliver(super().feed, data)


class Leader:
    """The leader of all keys. Invariant: `claims[key]` lists (time, state, gateway that claimed it last)
    after each command on the key."""

    def __init__(self, world):
        self._world, self._entries, self._local_state = world, SortedDict(), {}
        self.down_until, self.build, self.claims, self._holders = 0.0, PRESENT, {}, {}

    def replace(self, outage_s, build):
        """Another leader takes over after this time. It starts without the local state."""
        self.down_until, self.build = self._world.clock.seconds() + outage_s, build
        self._local_state.clear()

    def execute(self, key, command, arguments):
        """Runs the command; returns its result, or the OakrampError that it raised. None: there is no leader now."""
        now = self._world.clock.seconds()
        if now < self.down_until:
            return None
        members = SimpleNamespace(find=self._world.find_member, condition=self._world.condition)
        transaction = Transaction(self._entries, CommandContext(now, members, self._local_state, None, None, {}))
        controller = PreviousController() if self.build == PREVIOUS else CONTROLLERS.find("claim")
        try:
            result = controller.run(transaction, key, command, arguments)
        except OakrampError as fault:
            return fault
        for name, value in transaction.changes().items():
            self._entries[name] = value
        state = transaction.get(key)
        if command == "claim" and result == {"state": "claimed"}:
            self._holders[key] = arguments["gate"]
        self.claims.setdefault(key, []).append((now, state and state["state"], self._holders.get(key)))
        return result

    def holder(self, key):
        """The gateway whose claim holds the key, or None."""
        changes = self.claims.get(key, ())
        return changes[-1][2] if changes and changes[-1][1] == "claimed" else None


class LeaderClient:
    """A gateway's client of the leader. Invariant: `unconfirmed` counts, by key, the claims and releases that were sent
    and whose confirmation has not arrived."""

    def __init__(self, world, gateway):
        self._world, self._gateway, self._reactor = world, gateway, gateway.reactor
        self.unconfirmed = Counter()

    async def call(self, key, command, arguments, time_left):
        """Repeats the command until it is answered or the time has passed, as a ShardClient does."""
        ends_at, is_unanswered = self._reactor.seconds() + time_left, False
        if command in ("claim", "free"):
            self.unconfirmed[key] += 1
        while (left := ends_at - self._reactor.seconds()) > 0:
            try:
                result = await self._attempt(key, command, arguments, min(ATTEMPT_TIME, left))
            except OutcomeUnknownError:
                is_unanswered = True
                continue
            except MethodNotFoundError:
                await sleep(self._reactor, 0.1)
                continue
            except OakrampError as fault:
                self.unconfirmed[key] -= command in ("claim", "free") and not is_unanswered
                raise OutcomeUnknownError(fault.reason) if is_unanswered else fault from None
            self.unconfirmed[key] -= command in ("claim", "free")
            return result
        raise OutcomeUnknownError("no answer") if is_unanswered else QuorumUnavailableError("no leader")

    async def call_until_done(self, key, command, arguments):
        """Repeats the command as long as the gateway runs."""
        while True:
            try:
                return await self.call(key, command, arguments, 5.0)
            except (OutcomeUnknownError, QuorumUnavailableError):
                continue

    def _attempt(self, key, command, arguments, seconds):
        from twisted.internet import defer

        world, reply = self._world, defer.Deferred(lambda _: None)
        self._gateway.reach_step(f"{command} asked")

        def execute(is_copy=False):
            result = world.leader.execute(key, command, arguments)
            if result is None or is_copy:
                return
            self._gateway.reach_step(f"{command} executed")
            world.clock.callLater(world.travel_time(), arrive, result)

        def arrive(result):
            if not self._gateway.is_cut_off:
                self._reactor.deliver(answer_arrives, result)

        def answer_arrives(result):
            if reply.called:
                return
            if isinstance(result, Exception):
                reply.errback(result)
                return
            reply.callback(result)
            self._gateway.reach_step(f"{command} answered")

        if not self._gateway.is_cut_off:
            world.clock.callLater(world.travel_time(), execute)
            if world.random.random() < 0.1:
                world.clock.callLater(world.random.uniform(0.0, 4.0), execute, is_copy=True)
        return within(self._reactor, seconds, reply, OutcomeUnknownError("the leader did not answer"))


class SimGateway:
    """One process of a gateway. `fault_at` is (step, how often it is still to be passed, what happens then) or None."""

    def __init__(self, world, name, build):
        self.world, self.name = world, name
        self.reactor = SimReactor(world, world.random.choice((1.0, 1.0, 0.9, 1.1)))
        self.is_cut_off, self.killed_at, self.unseen_since, self.fault_at = False, math.inf, None, None
        self.bench = Gate(self.reactor, SimpleNamespace(), name, seed=world.random.random())
        self.client = self.bench.leaders = LeaderClient(world, self)
        slots = world.random.choice((1, 1, 2))
        self.bench.balancer.free_slots = dict.fromkeys(self.bench.balancer.free_slots, slots)
        if build == PREVIOUS:
            relay = self.bench.relay
            handler = PreviousCallHandler(self.bench, relay._dialect, relay._forwarder, relay._responses)
            relay._handlers["tracked"] = handler.serve

    def reach_step(self, step):
        """Notes that a call has reached this step, and injects the fault that is planned for it."""
        if self.reactor.is_dead or self.fault_at is None or self.fault_at[0] != step:
            return
        _, left, function = self.fault_at
        self.fault_at = (step, left - 1, function) if left else None
        if not left:
            function()

    def kill(self):
        self.killed_at = min(self.killed_at, self.world.clock.seconds())
        self.unseen_since = self.unseen_since or self.killed_at
        self.reactor.kill()

    def freeze(self, seconds):
        if self.reactor.is_frozen or self.reactor.is_dead:
            return
        self.reactor.is_frozen, self.unseen_since = True, self.world.clock.seconds()
        self.world.clock.callLater(seconds, self._thaw)

    def _thaw(self):
        if not self.reactor.is_dead:
            self.unseen_since = None
        self.reactor.thaw()

    def cut_off(self, seconds):
        self.is_cut_off, self.unseen_since = True, self.unseen_since or self.world.clock.seconds()
        self.world.clock.callLater(seconds, self._heal)

    def _heal(self):
        self.is_cut_off = False
        if not self.reactor.is_dead and not self.reactor.is_frozen:
            self.unseen_since = None


class ReplicaSide:
    """A replica's end of one connection."""

    def __init__(self, world, gateway):
        self._world, self._gateway, self._reader = world, gateway, Reader(is_answer=False)
        self.transport = None

    def wrote(self, data):
        """Bytes that the gateway has sent; they arrive even if it ends now."""
        self._world.clock.callLater(self._world.random.uniform(0.0, 0.004), self._arrive, data)
        self._gateway.reach_step("sent")

    def _arrive(self, data):
        for message in self._reader.feed(data):
            self._serve(message.header("Operation-Key"), message.header("Try-Id"))

    def _serve(self, key, try_id):
        world = self._world
        plan = "ok" if world.is_quiet else world.random.choices(("ok", "reject", "silent", "close"), (10, 3, 1, 1))[0]
        stamp = f"s{len(world.runs)}"
        run = Run(key, try_id, self._gateway.name, world.clock.seconds(), stamp, plan == "reject")
        world.runs.append(run)
        if plan == "silent":
            return
        named = {"Not-Run": "1"} if plan == "reject" else {}
        data = answer(503 if plan == "reject" else 200, stamp.encode(), try_id, None if named else stamp, **named)
        delay = world.random.choice((0.01, 0.05, 0.5))
        world.clock.callLater(delay, self._respond, run, None if plan == "close" else data)

    def _respond(self, run, data):
        if self.transport.ended is not None:
            return
        if data is None:
            self.transport.peer_closes(error.ConnectionLost())
            return
        self._gateway.reach_step("responded")
        self._gateway.reactor.deliver(self._hear, run)
        self.transport.feed(data)

    def _hear(self, run):
        run.is_rejection_heard = run.is_rejected and self.transport.ended is None


class ClaimWorld:
    """Everything from one seed. `faults` lists the rules that were broken; `lost_before_sending` the keys that no
    replica got and that cannot run any more, since their gateway ended between the claim and the sending."""

    def __init__(self, seed, builds=(PRESENT,)):
        self.random, self.clock, self.builds = random.Random(f"claim world/{seed}"), task.Clock(), builds
        self.runs, self.attempts, self.faults, self.lost_before_sending = [], [], [], []
        self.is_quiet, self.members, self._starts = False, {}, 0
        self.leader = Leader(self)
        self.gateways = [self._start_gateway() for _ in range(GATEWAYS)]

    def _start_gateway(self):
        self._starts += 1
        gateway = SimGateway(self, f"g{self._starts}", self.random.choice(self.builds))
        self.members[gateway.name] = gateway
        return gateway

    # --- what the simulated parts ask ---

    def dialled(self, reactor, dialling):
        """Establishes a connection to a replica."""
        gateway = next(one for one in self.members.values() if one.reactor is reactor)
        side = ReplicaSide(self, gateway)

        def established():
            side.transport = SimTransport(reactor, side.wrote)
            reactor.transports.append(side.transport)
            side.transport.protocol = dialling.factory.buildProtocol(None)
            side.transport.protocol.makeConnection(side.transport)

        reactor.callLater(self.random.choice((0.0, 0.001, 0.05)), established)

    def travel_time(self):
        """Seconds for which a message between a gateway and the leader is under way."""
        is_late = not self.is_quiet and self.random.random() < 0.1
        return self.random.uniform(0.1, 2.0) if is_late else self.random.uniform(0.0005, 0.004)

    def find_member(self, name):
        gateway = self.members.get(name)
        return None if gateway is None or gateway.killed_at < self.clock.seconds() - 60.0 else gateway

    def condition(self, name):
        """How the leader sees this gateway."""
        gateway = self.members[name]
        is_silent = gateway.unseen_since is not None and self.clock.seconds() - gateway.unseen_since > LIVENESS_AGE
        return "silent" if is_silent else "live"

    # --- the run ---

    def play(self):
        """Plays the seed and returns the broken rules."""
        for number in range(KEYS):
            self.clock.callLater(self.random.uniform(0.0, 2.0), self._ask, f"k{number}", 3)
        for _ in range(self.random.randrange(1, 6)):
            self.clock.callLater(self.random.uniform(0.0, 4.0), self._inject_fault)
        self._advance(TROUBLE_S)
        for gateway in self.members.values():
            gateway.fault_at = None
        self._advance(QUIET_S)
        self.is_quiet = True
        last = [self._attempt(f"k{number}", LAST_ATTEMPT_S) for number in range(KEYS)]
        self._advance(LAST_ATTEMPT_S + 1.0)
        self._judge(last)
        return self.faults

    def _advance(self, seconds):
        until = self.clock.seconds() + seconds
        while self.clock.seconds() < until:
            self.clock.advance(self.random.choice((0.0005, 0.002, 0.01)))

    def _inject_fault(self):
        gateway = self.random.choice(self.gateways)
        if gateway.reactor.is_dead:
            return
        what = self.random.choice(
            (self._kill, self._kill, self._freeze, self._freeze, self._cut_off, self._replace_leader, self._restart_all)
        )
        if what in (self._kill, self._freeze, self._cut_off) and self.random.random() < 0.7:
            gateway.fault_at = (self.random.choice(STEPS), self.random.randrange(3), lambda: what(gateway))
            return
        what(gateway)

    def _kill(self, gateway):
        gateway.kill()
        self.gateways[self.gateways.index(gateway)] = self._start_gateway()

    def _freeze(self, gateway):
        gateway.freeze(self.random.choice((0.3, 2.0, 5.0)))

    def _cut_off(self, gateway):
        gateway.cut_off(self.random.choice((0.3, 2.0, 5.0)))

    def _replace_leader(self, _gateway):
        self.leader.replace(self.random.choice((0.05, 0.3, 1.0)), self.random.choice(self.builds))

    def _restart_all(self, gateway):
        self._replace_leader(gateway)
        for one in list(self.gateways):
            self._kill(one)

    # --- clients ---

    def _ask(self, key, retries):
        attempt = self._attempt(key, self.random.choice((0.4, 1.0, 2.0)))
        if retries:
            self.clock.callLater(self.random.choice((0.02, 0.3, attempt.time_left)), self._ask, key, retries - 1)

    def _attempt(self, key, time_left):
        gateway = self.random.choice(self.gateways)
        attempt = Attempt(key, f"t{len(self.attempts)}", gateway, self.clock.seconds(), time_left)
        self.attempts.append(attempt)
        reader = Reader(is_answer=True)

        def wrote(data):
            for message in reader.feed(data):
                attempt.status, attempt.body = message.status, message.body
                attempt.stamp, attempt.answered_at = message.header("Postmark"), self.clock.seconds()

        transport = SimTransport(gateway.reactor, wrote)
        gateway.reactor.transports.append(transport)
        headers = {"Operation_Key": key}
        data = request("tracked", attempt.try_id, key.encode(), time_left=int(time_left * 1000), **headers)

        def connect():
            transport.protocol = gateway.bench.factory.buildProtocol(None)
            transport.protocol.makeConnection(transport)
            transport.feed(data)

        gateway.reactor.deliver(connect)
        return attempt

    # --- what must hold ---

    def _judge(self, last_attempts):
        for key in {one.key for one in self.attempts}:
            runs = [run for run in self.runs if run.key == key and not run.is_rejected]
            if len(runs) > 1:
                self.faults.append(f"TWICE: {key} ran as {runs}")
        for attempt in self.attempts:
            self._judge_attempt(attempt)
        for attempt in last_attempts:
            self._judge_last(attempt)

    def _runs_of(self, attempt):
        return [run for run in self.runs if run.try_id == attempt.try_id and not run.is_rejected]

    def _judge_attempt(self, attempt):
        if attempt.status in NOT_RUN_STATUSES and self._runs_of(attempt):
            self.faults.append(f"REFUSED: {attempt.try_id} of {attempt.key} ran and was answered {attempt.status}")
        if 200 <= attempt.status < 300:
            stamps = [run.stamp for run in self.runs if run.key == attempt.key and not run.is_rejected]
            if stamps != [attempt.stamp] or attempt.body != attempt.stamp.encode():
                self.faults.append(f"MIXED: {attempt.try_id} of {attempt.key} got {attempt.stamp} of {stamps}")
        if attempt.status == 409 and self.builds == (PRESENT,) and not self._was_at_work(attempt):
            self.faults.append(f"DENIED: {attempt.try_id} of {attempt.key} got 409 and the key was not at work")
        if attempt.status not in (0, 200, 409, 502, 503, 504):
            self.faults.append(f"DENIED: {attempt.try_id} got {attempt.status}")

    def _was_at_work(self, attempt):
        """Whether, at some time while the attempt waited for its answer, the key was claimed by a gateway that ran as
        far as could be known."""
        claims = [*self.leader.claims.get(self._claim_key(attempt.key), ()), (math.inf, None, None)]
        for (since, state, gate), (until, _, _) in zip(claims, claims[1:], strict=False):
            if state != "claimed" or since > attempt.answered_at or until < attempt.sent_at:
                continue
            if attempt.sent_at <= self.members[gate].killed_at + DETECTION_S:
                return True
        return False

    def _claim_key(self, key):
        from oakramp.gateway.proxied_request import fingerprint_of
        from relay_bench import HOST

        return "claim/" + fingerprint_of(HOST.encode(), key.encode())

    def _judge_last(self, attempt):
        """Long after all faults, a key that no replica got runs; one that may have run is not said to be at work."""
        earlier = [run for run in self.runs if run.key == attempt.key and run.try_id != attempt.try_id]
        has_run_before = any(run.may_have_run for run in earlier)
        if attempt.status == 200:
            return
        if has_run_before and attempt.status == 502:
            return
        holder = self.leader.holder(self._claim_key(attempt.key))
        gateway = self.members.get(holder)
        if not has_run_before and gateway is not None and self._ended_before_sending(gateway, attempt.key):
            self.lost_before_sending.append(attempt.key)
            if attempt.status == 502 or self.builds != (PRESENT,):
                return
        if self.builds != (PRESENT,) and attempt.status in (409, 502) and (has_run_before or holder is not None):
            return  # the previous release tells no more
        self.faults.append(
            f"DENIED: the last attempt {attempt.try_id} of {attempt.key} got {attempt.status}; "
            f"ran before: {has_run_before}, held by {holder}"
        )

    def _ended_before_sending(self, gateway, key):
        """Whether this gateway was killed while a claim of the key, or the release of one, was not confirmed, or while
        it connected to another replica after a rejection."""
        was_rejected = any(run.key == key and run.gate == gateway.name and run.is_rejected for run in self.runs)
        unconfirmed = gateway.client.unconfirmed[self._claim_key(key)] > 0
        return gateway.killed_at < math.inf and (unconfirmed or was_rejected)
