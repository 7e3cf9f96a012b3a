"""What holds for single requests at each limit, in calm and beside a crowd, and what a refusal promises."""

import collections
import contextlib
import http.client
import random
import threading
import unittest

from crowd_case import SEND_TIME, CrowdCase
from crowd_gateway_clients import many_fields, post
from process_fleet import BODY_LIMIT, HEADER_LIMIT, HOST

PROMISES = {408, 429, 503}  # statuses which say that the request has not run and never will
KEYS = 30  # operations of ordinary clients beside a crowd
CLIENTS = 6  # ordinary clients that send them side by side
HEAD_ROOM = 400  # bytes; of a request's head beside its filling


class SingleRequests(CrowdCase):
    """Requests at the limits of the configuration."""

    def body_at_the_limit(self):
        """One try with the largest body that the configuration allows."""
        return self.fleet.ordinary_try("/ordinary/largest", bytes(BODY_LIMIT))

    def head_at_the_limit(self):
        """One try with nearly the largest header block that the configuration allows."""
        filling = {"X-Filling": "f" * (HEADER_LIMIT - HEAD_ROOM)}
        return self.fleet.ordinary_try("/ordinary/head", more_headers=filling)

    def test_in_calm_the_first_try_is_served(self):
        self.assertEqual(self.body_at_the_limit(), (200, b"%d of /ordinary/largest" % BODY_LIMIT))
        self.assertEqual(self.head_at_the_limit()[0], 200)
        crowd = self.attack("counter", 1, post(b"ordinary") + b"2\r\nxx\r\n" * (BODY_LIMIT // 2) + b"0\r\n\r\n")
        crowd.wait(5.0)
        self.assertTrue(crowd.members[0].received.startswith(b"HTTP/1.1 200 "), crowd.members[0].received[:80])
        fields = many_fields(HEADER_LIMIT - HEAD_ROOM)
        crowd = self.attack("counter", 1, post(b"ordinary", 2, fields) + b"xx", stays_s=2.0)
        self.assertTrue(crowd.members[0].received.startswith(b"HTTP/1.1 200 "), crowd.members[0].received[:80])
        self.check()

    def test_beside_a_crowd_they_are_served(self):
        crowd = self.crowd("counter")
        crowd.add(60, post(b"ordinary", BODY_LIMIT) + bytes(BODY_LIMIT - 1))
        crowd.send(SEND_TIME)
        self.assertTrue(self.fleet.is_answered(self.body_at_the_limit))
        self.assertTrue(self.fleet.is_answered(self.head_at_the_limit))
        self.check()

    def test_every_whole_request_of_a_crowd_gets_an_answer(self):
        """Those that found no room are refused, the others run; none is cut off without a word."""
        self.fleet.slow_may_answer.set()
        crowd = self.attack("counter", 40, post(b"slow", BODY_LIMIT) + bytes(BODY_LIMIT), stays_s=5.0)
        statuses = collections.Counter(member.received[9:12] for member in crowd.members if member.has_sent_all)
        self.assertLessEqual(set(statuses), {b"200", b"503"}, statuses)
        self.check()


class Keys(CrowdCase):
    """Keyed requests of ordinary clients beside a crowd that takes all the memory it gets."""

    def setUp(self):
        """Starts the gateway anew and forgets earlier runs."""
        super().setUp()
        self.fleet.runs.clear()
        self.tries = []  # (key, try, status or None, body)
        self.lock = threading.Lock()

    def send_operation(self, key):
        """Asks as the pages say: with the same key, until it is answered with success."""
        body = key.encode() * 3000

        def ask_once():
            try_id = f"{key}.{random.getrandbits(48):012x}"
            status = answer = None
            with contextlib.suppress(OSError, http.client.HTTPException):
                status, answer = self.fleet.ordinary_try(
                    f"/keyed/{key}", body, {"Operation-Key": key, "Try-Id": try_id}
                )
            with self.lock:
                self.tries.append((key, try_id, status, answer))
            return status, answer

        self.fleet.is_answered(ask_once)

    def send_operations(self, keys):
        """One client's operations, one after the other."""
        for key in keys:
            self.send_operation(key)

    def test_no_key_runs_twice_and_no_promise_is_broken(self):
        names = [f"k{number}" for number in range(KEYS)]
        clients = [
            threading.Thread(target=self.send_operations, args=(names[first::CLIENTS],)) for first in range(CLIENTS)
        ]
        for client in clients:
            client.start()
        crowd = self.crowd("counter")
        while any(client.is_alive() for client in clients):
            crowd.members = [member for member in crowd.members if not member.is_closed]
            crowd.add(60 - len(crowd.members), post(b"ordinary", BODY_LIMIT) + bytes(BODY_LIMIT - 1))
            crowd.send(2.0)
            crowd.wait(0.2)
        runs = [(try_id, key) for service, try_id, key in self.fleet.runs if service == "keyed"]
        keys = [key for _, key in runs]
        self.assertEqual(len(keys), len(set(keys)), "a key ran twice")
        ran = {try_id for try_id, _ in runs}
        refused = {try_id for _, try_id, status, _ in self.tries if status in PROMISES}
        self.assertFalse(ran & refused, "a refused request ran")
        for key, _, status, answer in self.tries:
            if status == 200:
                self.assertEqual(answer, b"%d of /keyed/%s" % (len(key) * 3000, key.encode()))
        self.assertEqual({key for key, _, status, _ in self.tries if status == 200}, set(names))
        self.check()


class Neighbours(CrowdCase):
    """Requests that share a connection with, or follow, one that was refused."""

    def test_nothing_of_a_refused_request_reaches_another(self):
        """What follows a refused head on its connection is never read as a request."""
        self.fleet.runs.clear()
        hidden = b"POST /ordinary/hidden HTTP/1.1\r\nHost: %s\r\nTry-Id: hidden\r\nContent-Length: 0\r\n\r\n" % (
            HOST.encode()
        )
        body = hidden * (BODY_LIMIT // len(hidden))
        self.attack("counter", 60, post(b"ordinary", len(body) + 1) + body)
        self.check()
        self.assertNotIn("hidden", [try_id for _, try_id, _ in self.fleet.runs])


if __name__ == "__main__":
    unittest.main()
