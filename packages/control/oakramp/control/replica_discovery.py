"""The duty of watching the platform's list, held by the owner of the key `replicas`.

That this node cannot reach the platform says nothing: others may, and what the platform then tells them of a
leaving replica is known. So the owner asks the roster to look too. One list that anybody has read is taken. Only
when a majority of the roster itself says that it cannot reach the platform, the round counts as finished without
a list: then nobody can know better, and the platform's outage does not become everybody's. Otherwise the news of
the replicas grow old, and gates carry nothing that depends on them.

A look costs a call for each page of the list, and the platform takes so many a second from the whole fleet. So looks
are as far apart as the bound for leaving replicas allows, and further if the list is long for the rate; a platform
that says "too often" is there, and is asked again within the round.
"""

import json
from collections import Counter
from functools import cached_property

from twisted.internet.defer import ensureDeferred

from oakramp.common.constants import (
    PLATFORM_BACKOFF,
    PLATFORM_BOUND_SHARE,
    PLATFORM_CALL,
    PLATFORM_HEDGE,
    PLATFORM_LIMIT,
    PLATFORM_PAGES,
    PLATFORM_PAUSE,
    PLATFORM_PAUSE_MOST,
    PLATFORM_RATE_SHARE,
    PLATFORM_TICKS,
    PLATFORM_TIME,
)
from oakramp.common.errors import OakrampError, PlatformUnavailableError, QuorumUnavailableError
from oakramp.common.tasks import quorum_of, shielded, sleep, within
from oakramp.common.validation import pack_json, parse_json
from oakramp.control.replica_registry import REPLICAS_KEY, readable
from oakramp.control.singleton_task import SingletonTask

TOO_OFTEN = 429
STATES = ("ready", "leaving")


class PlainReplicaList:
    """The product's own form of the list: one page."""

    @staticmethod
    def list_target(_token):
        return "/replicas"

    @staticmethod
    def rows_of(body):
        """The rows of a page, and None as there is no next page."""
        rows = parse_json(body, PLATFORM_LIMIT, "list").get("replicas")
        if not isinstance(rows, list):
            raise PlatformUnavailableError("the list has no replicas")
        return rows, None


class ReplicaRowReader:
    """Makes the list's rows safe to take in. Invariant: each oddity is told when it begins or changes, not at each
    look."""

    def __init__(self, log):
        self._log = log
        self._known = {}
        self._reported = {}

    def read(self, rows):
        """A row for each replica that can be made out. One bad row must not hide what the others say."""
        odd = {"unreadable": [], "unknownState": [], "twice": [], "sharedAddress": []}
        known, good = {}, {}
        for row in rows:
            name = str(row.get("id")) if isinstance(row, dict) else "?"
            raw, read = self._known.get(name, (None, None))
            if raw != row or raw is None:
                read = self._read(row)
            if read is None:
                odd["unreadable"].append(name)
                continue
            known[name] = (row, read)
            if row.get("state") not in STATES:
                odd["unknownState"].append(name)
            if name in good:
                odd["twice"].append(name)
                read = read if read["state"] == "leaving" else good[name]
            good[name] = read
        pools = {(row["address"], row["pool"]) for row in good.values()}
        shared = Counter(address for address, _ in pools)
        odd["sharedAddress"] = [address for address, count in shared.items() if count > 1]
        self._known = known
        self._tell(odd)
        return list(good.values())

    @staticmethod
    def _read(row):
        if not isinstance(row, dict):
            return None
        # What is not known to be ready gets nothing new.
        state = row.get("state")
        return readable(row | {"state": "leaving"} if state is not None and state not in STATES else row)

    def _tell(self, odd):
        for why, names in odd.items():
            names = sorted(names)
            if names != self._reported.get(why, []):
                self._log.info("replica_list_anomaly", why=why, rows=len(names), first=",".join(names[:4]))
            self._reported[why] = names


class ReplicaDiscovery(SingletonTask):
    """Invariant: `leaders.pollTimes[replicas]` is when the last finished round began. `reachable` is what this node's
    own last look found; only the owner, and whom it asks, looks."""

    def __init__(self, node, leaders, voter, address, dialect=None):
        bounds = node.env.get("bounds") or {}
        self._pause = (
            min(PLATFORM_PAUSE_MOST, bounds["leaving_s"] * PLATFORM_BOUND_SHARE)
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
        self._due, self._due_for = float("-inf"), None
        self._take_env(node.env)
        node.watch_env(self._take_env)
        leaders.publisher.poll_times[REPLICAS_KEY] = float("-inf")
        node.net.handle("platformList", self._serve_list)

    @cached_property
    def _client(self):
        """Imported and made with the first look, as most control nodes never look."""
        from oakramp.common.http_client import HttpClient

        return HttpClient(self._node.reactor, self._node.env["http"].rpartition(":")[0])

    def _take_env(self, env):
        """Takes what may change while the node runs."""
        self._address = env.get("platform") or self._address
        self._rate = env.get("platformRate")

    def _page_pause(self):
        """Seconds from one page to the next, so that a long list keeps to the fleet's share of the rate."""
        return 1 / (self._rate * PLATFORM_RATE_SHARE) if self._rate else 0.0

    def _paging_time(self):
        return (self._pages - 1) * self._page_pause()

    async def _work(self, owner):
        now = self._node.reactor.seconds()
        if owner is self._due_for and now < self._due:
            return
        tick = self._pause / PLATFORM_TICKS
        self._due_for, self._due = owner, now + max(self._pause, self._pages * self._page_pause()) - tick
        try:
            rows = await self._list()
            if rows is not None:
                await owner.do(REPLICAS_KEY, "setList", {"replicas": self._rows.read(rows)})
        except OakrampError:
            self._due = self._node.reactor.seconds() + tick
            raise
        if not owner.ended:
            self._owners.publisher.poll_times[REPLICAS_KEY] = now

    async def _list(self):
        """The platform's rows, read by whoever reaches it; None if a majority of the roster cannot."""
        own = ensureDeferred(self._read())
        try:
            if self.reachable:
                return await within(self._node.reactor, PLATFORM_HEDGE + self._paging_time(), shielded(own))
        except QuorumUnavailableError:
            own.addErrback(lambda _: None)
            raise  # it was asked too often, so the others need not ask too
        except OakrampError:
            pass
        voting_config = self._voter.voting_config
        works = {
            node_id: self._ask(address)
            for node_id, address in self._owners.voter_addresses().items()
            if node_id != self._node.node_id
        }
        reached, answers = await quorum_of(works | {self._node.node_id: own}, lambda node_ids: len(node_ids) > 0)
        if reached:
            return next(iter(answers.values()))
        away = {node_id for node_id, error in answers.items() if isinstance(error, PlatformUnavailableError)}
        if voting_config.is_quorum(away):
            return None
        raise QuorumUnavailableError(f"only {len(away)} of the roster say that they cannot reach the platform")

    async def _ask(self, address):
        return json.loads(await self._node.net.call(address, "platformList", PLATFORM_CALL + self._paging_time()))

    async def _serve_list(self, _peer, _arguments):
        return pack_json(await self._read()).decode()

    # --- reading ---

    async def _read(self):
        try:
            rows = await self._pages_of_list()
            reason = ""
        except QuorumUnavailableError:
            raise  # it is there, and said that it was asked too often
        except OakrampError as error:
            reason = error.reason
        if self.reachable != (not reason):
            self.reachable = not reason
            self._node.log.info("platform_reachable" if self.reachable else "platform_unreachable", reason=reason)
        if reason:
            raise PlatformUnavailableError(f"the platform cannot be read from here: {reason}")
        return rows

    async def _pages_of_list(self):
        """All rows. Between two pages of a list that changes an entry may slip through; so if one is missing that was
        there before, a long list is read once more before that is believed."""
        rows, pages = await self._read_pages()
        ids = frozenset(self._ids_of(rows))
        if pages > 1 and not self._ids <= ids:
            again, pages = await self._read_pages()
            missing = ids - frozenset(self._ids_of(again))
            rows = again + [row for row in rows if isinstance(row, dict) and row.get("id") in missing]
            ids = frozenset(self._ids_of(again))
        self._ids, self._pages = ids, pages
        return rows

    @staticmethod
    def _ids_of(rows):
        return (row["id"] for row in rows if isinstance(row, dict) and isinstance(row.get("id"), str))

    async def _read_pages(self):
        rows, token, seen = [], None, set()
        while True:
            page, token = await self._page(token)
            rows += page
            if token is None:
                return rows, len(seen) + 1
            if token in seen or len(seen) >= PLATFORM_PAGES:
                raise PlatformUnavailableError("the list does not end")
            seen.add(token)
            await sleep(self._node.reactor, self._page_pause())

    async def _page(self, token):
        """One page. The platform may say that it was asked too often: then it is asked again while that can still
        keep the news fresh, each time after twice the pause."""
        reactor = self._node.reactor
        ends_at, backoff = reactor.seconds() + self._pause, PLATFORM_BACKOFF
        while True:
            status, body = await self._client.data(
                "GET", self._address, self._list_form.list_target(token), None, PLATFORM_TIME, PLATFORM_LIMIT
            )
            if status == 200:
                return self._list_form.rows_of(body)
            if status != TOO_OFTEN:
                raise PlatformUnavailableError(f"status {status}")
            pause = backoff * (1 + self._node.random.random())
            if reactor.seconds() + pause > ends_at:
                raise QuorumUnavailableError("the platform says that it is asked too often")
            await sleep(reactor, pause)
            backoff *= 2
