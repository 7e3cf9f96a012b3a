"""A platform whose list of replicas does not end, at all control nodes."""

import json
import time
import unittest

from crowd_case import CrowdCase
from pouring_server import Pour

POUR_TIME = 6.0  # s; several rounds of reading the list
POUR_MEMORIES = 8  # times the memory of the process; that are poured at most
OWN_BOUND_SHARE = 0.25  # share of the memory; that one connection brings at most before it is cut off
PAGE_BYTES = 900_000  # bytes; of a page that is as long as it may be
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"


class EndlessPages:
    """A list of which each page names another one. `sizes` has the bytes of each page."""

    def __init__(self):
        self.sizes, self.count = [], 0

    def send(self, connection, lock, _try_id=b""):
        """Sends one page."""
        with lock:
            self.count += 1
        rows = b",".join([b"{}"] * (PAGE_BYTES // 3))
        body = b'{"replicas":[%b],"next_token":"t%d"}' % (rows, self.count)
        connection.sendall(HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        with lock:
            self.sizes.append(len(body))


class PlatformList(CrowdCase):
    """Each test has all control nodes read the list again and again."""

    TARGET = "core-1"

    def setUp(self):
        """Starts all control nodes anew, one after the other."""
        super().setUp()
        self.control_nodes = [node for node in self.fleet.nodes.values() if node.role == "core"]
        for node in self.control_nodes[1:]:
            self.fleet.restart(node)

    def tearDown(self):
        """The platform sends its list again."""
        self.fleet.list_pour = None
        super().tearDown()

    def check_pour(self, pour):
        """The processes live within their settings, and operators are answered."""
        self.fleet.list_pour = pour
        ends_at = time.monotonic() + POUR_TIME
        while time.monotonic() < ends_at:
            self.watch()
            time.sleep(0.1)
        for node in self.control_nodes:
            self.assertTrue(node.is_running(), "a process has ended")
            self.assertLessEqual(node.peak_memory(), node.memory_bound, "memory in bytes")
        self.assertTrue(pour.sizes, "no control node has read the list, or a connection stays open")
        self.assertLess(max(pour.sizes), OWN_BOUND_SHARE * self.target.memory_bound, "bytes of one connection")
        self.check(lambda: self.fleet.ask(self.target, "control", "GET", "/config"))
        self.assertIn("event=response_cut_off", "".join(map(self.fleet.log_of, self.control_nodes)))

    def pour(self, first, repeated):
        """What the platform sends in place of its list."""
        return Pour(first, repeated, POUR_MEMORIES * self.target.memory_bound)

    def test_fields_without_end(self):
        self.check_pour(self.pour(HEAD, b"a: b\r\n"))

    def test_a_body_without_end(self):
        self.check_pour(self.pour(HEAD + b"\r\n", b" "))

    def test_chunks_of_one_byte_without_end(self):
        self.check_pour(self.pour(HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"1\r\n \r\n"))

    def test_pages_without_end(self):
        self.check_pour(EndlessPages())

    def test_values_that_take_much(self):
        row = json.dumps({str(number): [] for number in range(100)}).encode()
        body = b'{"replicas":[%b],"next_token":null}' % b",".join([row] * (PAGE_BYTES // len(row)))
        head = HEAD + b"Content-Length: %d\r\n\r\n" % len(body)
        self.fleet.list_pour = pour = self.pour(head + body, b"")
        time.sleep(POUR_TIME)
        for node in self.control_nodes:
            self.assertLessEqual(node.peak_memory(), node.memory_bound, "memory in bytes")
        self.assertTrue(pour.sizes, "no control node has read the list")
        self.check(lambda: self.fleet.ask(self.target, "control", "GET", "/config"))


if __name__ == "__main__":
    unittest.main()
