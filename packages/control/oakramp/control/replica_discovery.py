"""The singleton task that polls the platform's list of replicas, run by the leader of the key `replicas`.

That the leader cannot reach the platform does not mean that nobody can: another node may learn from it that a replica
is leaving. So the leader asks the other voters to poll too, and uses the first list that any of them has read. Only if
a quorum of the voting configuration reports that it cannot reach the platform does the round count as complete without
a list: then no node can know more, and an outage of the platform does not stop the gateways. Otherwise the gossiped
list becomes stale, and gateways execute nothing that depends on it.

A poll costs one call for each page of the list, and the platform limits the rate of calls of the whole cluster. So
polls are as far apart as the bound for leaving replicas allows, and further if the list is long for the rate limit. A
platform that answers "too many requests" is reachable, and is called again within the round.
"""

import json
from collections import Counter
from functools import cached_property

from twisted.internet.defer import ensureDeferred

from oakramp.common.backend_room import Part
from oakramp.common.constants import (
    PLATFORM_BACKOFF,
    PLATFORM_BOUND_SHARE,
    PLATFORM_CALL,
    PLATFORM_HEDGE,
    PLATFORM_LIMIT,
    PLATFORM_PAGES,
    PLATFORM_PAUSE,
    PLATFORM_PAUSE_MAX,
    PLATFORM_RATE_SHARE,
    PLATFORM_TICKS,
    PLATFORM_TIME,
)
from oakramp.common.errors import OakrampError, PlatformUnavailableError, QuorumUnavailableError, ResponseLimitError
from oakramp.common.json_cost import parsed_size
from oakramp.common.tasks import quorum_of, shielded, sleep, within
from oakramp.common.validation import pack_json, parse_json
from oakramp.control.replica_registry import REPLICAS_KEY, valid_fields
from oakramp.control.singleton_task import SingletonTask

TOO_MANY_REQUESTS = 429
STATES = ("ready", "leaving")


class PlainReplicaList:
    """The product's own format of the list: a single page."""

    @staticmethod
    def list_target(_token):
        return "/replicas"

    @staticmethod
    def parse_list_page(body):
        """(rows, next page token); the token is always None."""
        rows = parse_json(body, PLATFORM_LIMIT, "list").get("replicas")
        if not isinstance(rows, list):
            raise PlatformUnavailableError("the list has no array of replicas")
        return rows, None


class ReplicaRowReader:
    """Validates the rows of the list. Invariant: an anomaly is logged when it begins or changes, not at each poll."""

    def __init__(self, log):
        self._log = log
        self._known = {}
        self._reported = {}

    def read(self, rows):
        """The valid rows, one for each replica. An invalid row must not hide the others."""
        anomalies = {"unreadable": [], "unknownState": [], "twice": [], "sharedAddress": []}
        known, valid_rows = {}, {}
        for row in rows:
            name = str(row.get("id")) if isinstance(row, dict) else "?"
            raw, read = self._known.get(name, (None, None))
            if raw != row or raw is None:
                read = self._read_row(row)
            if read is None:
                anomalies["unreadable"].append(name)
                continue
            known[name] = (row, read)
            if row.get("state") not in STATES:
                anomalies["unknownState"].append(name)
            if name in valid_rows:
                anomalies["twice"].append(name)
                read = read if read["state"] == "leaving" else valid_rows[name]
            valid_rows[name] = read
        pools = {(row["address"], row["pool"]) for row in valid_rows.values()}
        shared = Counter(address for address, _ in pools)
        anomalies["sharedAddress"] = [address for address, count in shared.items() if count > 1]
        self._known = known
        self._log_anomalies(anomalies)
        return list(valid_rows.values())

    @staticmethod
    def _read_row(row):
        if not isinstance(row, dict):
            return None
        # A replica in an unknown state may not be ready, so it must get no new requests.
        state = row.get("state")
        return valid_fields(row | {"state": "leaving"} if state is not None and state not in STATES else row)

    def _log_anomalies(self, anomalies):
        for why, names in anomalies.items():
            names = sorted(names)
            if names != self._reported.get(why, []):
                self._log.info("replica_list_anomaly", why=why, rows=len(names), first=",".join(names[:4]))
            self._reported[why] = names


class ReplicaDiscovery(SingletonTask):
    """Polls the platform's list of replicas and writes it to the key `replicas`.

    Invariants: `poll_times[REPLICAS_KEY]` of the leaders' publisher is when the last complete round began; `reachable`
    is the result of this node's own last poll, and only the leader and the nodes that it asks poll.
    """

    def __init__(self, node, leaders, voter, address, dialect=None):
        bounds = node.env.get("bounds") or {}
        self._pause = (
            min(PLATFORM_PAUSE_MAX, bounds["leaving_s"] * PLATFORM_BOUND_SHARE)
            if "leaving_s" in bounds
            else PLATFORM_PAUSE
        )
        super().__init__(node, leaders, REPLICAS_KEY, self._pause / PLATFORM_TICKS)
        self._voter, self._address = voter, address
        self._list_form = dialect or PlainReplicaList
        self._rows = ReplicaRowReader(node.log)
        self.reachable = True
        self._pages = 1
        self._ids = frozenset()
        self._due, self._due_leader = float("-inf"), None
        self._take_env(node.env)
        node.watch_env(self._take_env)
        leaders.publisher.poll_times[REPLICAS_KEY] = float("-inf")
        node.net.handle("platformList", self._serve_list)

    @cached_property
    def _client(self):
        """Imported and created by the first poll, since most control nodes never poll."""
        from oakramp.common.http_client import HttpClient

        return HttpClient(self._node.reactor, self._node.env["http"].rpartition(":")[0], self._node.backend_room)

    def _take_env(self, env):
        """Applies the settings that may change while the node runs."""
        self._address = env.get("platform") or self._address
        self._rate = env.get("platformRate")

    def _page_pause(self):
        """Seconds between two pages, so that reading a long list stays within its share of the rate limit."""
        return 1 / (self._rate * PLATFORM_RATE_SHARE) if self._rate else 0.0

    def _paging_time(self):
        return (self._pages - 1) * self._page_pause()

    async def _work(self, leader):
        now = self._node.reactor.seconds()
        if leader is self._due_leader and now < self._due:
            return
        tick = self._pause / PLATFORM_TICKS
        self._due_leader, self._due = leader, now + max(self._pause, self._pages * self._page_pause()) - tick
        try:
            rows = await self._list()
            if rows is not None:
                await leader.do(REPLICAS_KEY, "setList", {"replicas": self._rows.read(rows)})
        except OakrampError:
            self._due = self._node.reactor.seconds() + tick
            raise
        if not leader.ended:
            self._leaders.publisher.poll_times[REPLICAS_KEY] = now

    async def _list(self):
        """The platform's rows, read by any node that reaches it; None if a quorum of voters cannot."""
        own = ensureDeferred(self._poll_platform())
        try:
            if self.reachable:
                return await within(self._node.reactor, PLATFORM_HEDGE + self._paging_time(), shielded(own))
        except QuorumUnavailableError:
            own.addErrback(lambda _: None)
            raise  # the platform is reachable and limits the rate, so others need not call it too
        except OakrampError:
            pass
        voting_config = self._voter.voting_config
        polls = {
            node_id: self._request_poll(address)
            for node_id, address in self._leaders.voter_addresses().items()
            if node_id != self._node.node_id
        }
        reached, answers = await quorum_of(polls | {self._node.node_id: own}, lambda node_ids: len(node_ids) > 0)
        if reached:
            return next(iter(answers.values()))
        unreachable_from = {
            node_id for node_id, error in answers.items() if isinstance(error, PlatformUnavailableError)
        }
        if voting_config.is_quorum(unreachable_from):
            return None
        raise QuorumUnavailableError(f"only {len(unreachable_from)} voters report that they cannot reach the platform")

    async def _request_poll(self, address):
        return json.loads(await self._node.net.call(address, "platformList", PLATFORM_CALL + self._paging_time()))

    async def _serve_list(self, _peer, _arguments):
        return pack_json(await self._poll_platform()).decode()

    # --- reading ---

    async def _poll_platform(self):
        try:
            rows = await self._read_all_rows()
            reason = ""
        except QuorumUnavailableError:
            raise  # the platform is reachable and limits the rate
        except OakrampError as error:
            reason = error.reason
        if self.reachable != (not reason):
            self.reachable = not reason
            self._node.log.info("platform_reachable" if self.reachable else "platform_unreachable", reason=reason)
        if reason:
            raise PlatformUnavailableError(f"this node cannot read the platform's list: {reason}")
        return rows

    async def _read_all_rows(self):
        """All rows. If the list changes between two pages, a row may be missed; so if a row of the previous poll is
        missing, a list of several pages is read once more before the row counts as removed."""
        rows, pages = await self._read_pages()
        ids = frozenset(self._ids_of(rows))
        if pages > 1 and not self._ids <= ids:
            second_rows, pages = await self._read_pages()
            missing = ids - frozenset(self._ids_of(second_rows))
            rows = second_rows + [row for row in rows if isinstance(row, dict) and row.get("id") in missing]
            ids = frozenset(self._ids_of(second_rows))
        self._ids, self._pages = ids, pages
        return rows

    @staticmethod
    def _ids_of(rows):
        return (row["id"] for row in rows if isinstance(row, dict) and isinstance(row.get("id"), str))

    async def _read_pages(self):
        holding = self._node.backend_room.holding(self._address)
        try:
            return await self._read_pages_into(holding)
        finally:
            holding.release()

    async def _read_pages_into(self, holding):
        rows, token, seen = [], None, set()
        while True:
            page, token = await self._page(token, holding)
            rows += page
            if token is None:
                return rows, len(seen) + 1
            if token in seen or len(seen) >= PLATFORM_PAGES:
                raise PlatformUnavailableError("the list has too many pages, or its page tokens repeat")
            seen.add(token)
            await sleep(self._node.reactor, self._page_pause())

    def _take_room(self, holding, size):
        """Takes room for `size` more bytes of rows. Raises ResponseLimitError."""
        try:
            holding.keep(Part.BODY, holding.held + size)
        except ResponseLimitError as error:
            self._node.backend_room.report(error)
            raise

    async def _page(self, token, holding):
        """One page, for whose rows `holding` takes room, beside those of the pages before.

        If the platform rejects the call because of its rate limit, the call is retried with a doubling backoff, as long
        as the answer can still keep the list fresh."""
        reactor = self._node.reactor
        ends_at, backoff = reactor.seconds() + self._pause, PLATFORM_BACKOFF
        while True:
            status, body = await self._client.data(
                "GET", self._address, self._list_form.list_target(token), None, PLATFORM_TIME, PLATFORM_LIMIT
            )
            if status == 200:
                self._take_room(holding, parsed_size(body))
                return self._list_form.parse_list_page(body)
            if status != TOO_MANY_REQUESTS:
                raise PlatformUnavailableError(f"status {status}")
            pause = backoff * (1 + self._node.random.random())
            if reactor.seconds() + pause > ends_at:
                raise QuorumUnavailableError("the platform rejects calls because of its rate limit")
            await sleep(reactor, pause)
            backoff *= 2
