"""Crowds at the gateway's port for clients."""

import threading
import unittest

from crowd_case import SEND_TIME, CrowdCase
from process_fleet import BODY_LIMIT, DEFAULT_LIMITS, HEADER_LIMIT, HOST

TWO_BYTE_CHUNK = b"2\r\nxx\r\n"
ORDINARY_REQUESTS = 20  # requests; of an ordinary client beside a crowd, one after the other
FILL_TIME = 2.0  # s; in which a crowd fills the kernel's buffers
READ_SIZE = 64 << 10  # bytes; that a gateway reads of a client at a time
CHUNK_CLIENTS = 24  # clients that send bodies in small chunks
DRIPS = 6  # bytes that a slow client sends one by one


def post(path, length=None, more_fields=b""):
    """The head of a request whose body has this length, or is chunked."""
    framing = b"Transfer-Encoding: chunked" if length is None else b"Content-Length: %d" % length
    return b"POST /%s/x HTTP/1.1\r\nHost: %s\r\nTry-Id: crowd\r\n%s\r\n%s\r\n" % (
        path,
        HOST.encode(),
        framing,
        more_fields,
    )


def many_fields(size):
    """As many header fields as fit into this many bytes."""
    return b"a:\r\n" * (size // 4)


class Bodies(CrowdCase):
    """Bodies of legal size, whole or in part."""

    def test_bodies_that_stop_short_of_their_end(self):
        """All heads come first, so that none of them finds the sum of bodies exceeded."""
        crowd = self.attack("counter", 60, post(b"ordinary", BODY_LIMIT), stays_s=0.2)
        for member in crowd.members:
            member.add(bytes(BODY_LIMIT - 1))
        crowd.send(SEND_TIME)
        crowd.wait(1.0)
        self.check()

    def test_bodies_that_come_piece_by_piece(self):
        crowd = self.attack("counter", 60, post(b"ordinary", BODY_LIMIT), stays_s=0.2)
        for _ in range(15):
            for member in crowd.members:
                member.add(bytes(BODY_LIMIT // 16))
            crowd.send(SEND_TIME)
        self.check()

    def test_whole_bodies_that_wait_for_their_replica(self):
        self.attack("counter", 60, post(b"slow", BODY_LIMIT) + bytes(BODY_LIMIT))
        self.check()

    def test_whole_bodies_whose_clients_leave(self):
        """What a request takes stays until it has ended, though its client is gone."""
        for _ in range(6):
            crowd = self.attack("counter", 10, post(b"slow", BODY_LIMIT) + bytes(BODY_LIMIT), stays_s=0.2)
            crowd.close()
        self.check()

    def test_bodies_in_chunks_of_two_bytes(self):
        """Each chunk is stored with the costs of a piece."""
        body = TWO_BYTE_CHUNK * (BODY_LIMIT // 2 - 1)
        self.attack("counter", 4, post(b"ordinary") + body)
        self.check()

    def test_ordinary_clients_beside_many_bodies_in_chunks_of_two_bytes(self):
        """Their decoding takes all the processor that it gets: what they bring between two answers is bounded."""
        crowd = self.crowd("counter")
        crowd.add(CHUNK_CLIENTS, post(b"ordinary") + TWO_BYTE_CHUNK * (BODY_LIMIT // 2 - 1))
        crowd.send(FILL_TIME)  # until the kernel's buffers are full
        answers = []

        def ask():
            for _ in range(ORDINARY_REQUESTS):
                answers.append(self.ordinary_request()[0])

        client = threading.Thread(target=ask, daemon=True)
        sent = sum(member.sent for member in crowd.members)
        client.start()
        while client.is_alive():
            crowd.send(0.05)
        sent = sum(member.sent for member in crowd.members) - sent
        self.assertEqual(answers, [200] * ORDINARY_REQUESTS)
        self.assertFalse(any(member.has_sent_all for member in crowd.members), "the crowd has ended before")
        self.assertLess(sent / ORDINARY_REQUESTS, CHUNK_CLIENTS * READ_SIZE, "more than one read of each client")
        self.check()

    def test_whole_bodies_of_keyed_requests(self):
        """The fingerprint of a keyed request is taken of its whole body."""
        crowd = self.crowd("counter")
        for number in range(40):
            crowd.add(1, post(b"keyed", BODY_LIMIT, b"Operation-Key: k%d\r\n" % number) + bytes(BODY_LIMIT))
        crowd.send(SEND_TIME)
        self.check()
        keys = [key for service, _, key in self.fleet.runs if service == "keyed"]
        self.assertEqual(len(keys), len(set(keys)), "a key ran twice")


class Heads(CrowdCase):
    """Header blocks of legal size."""

    def test_heads_of_many_fields(self):
        """The fields of a request are kept as long as its body is being read."""
        head = post(b"ordinary", 2)
        fields = many_fields(HEADER_LIMIT - len(head))
        self.attack("counter", 300, post(b"ordinary", 2, fields) + b"x")
        self.check()

    def test_heads_of_many_fields_of_requests_that_wait(self):
        head = post(b"slow", 2)
        fields = many_fields(HEADER_LIMIT - len(head))
        self.attack("counter", 300, post(b"slow", 2, fields) + b"xx")
        self.check()


class Answers(CrowdCase):
    """Answers that their clients do not read."""

    def test_large_answers_that_nobody_reads(self):
        self.attack("counter", 400, post(b"large", 2) + b"xx", reads=False, stays_s=5.0)
        self.check()

    def test_pipelined_requests_for_large_answers_that_nobody_reads(self):
        self.attack("counter", 60, (post(b"large", 2) + b"xx") * 20, reads=False, stays_s=5.0)
        self.check()

    def test_pipelined_requests_whose_answers_nobody_reads(self):
        """Each refused request echoes its id; the next one is answered although the last answer was not taken."""
        request = b"GET /none/x HTTP/1.1\r\nHost: %s\r\nTry-Id: %s\r\n\r\n" % (HOST.encode(), b"t" * 12000)
        self.attack("counter", 4, request * 3000, reads=False)
        self.check()


class Connections(CrowdCase):
    """More connections than the process has descriptors."""

    def test_clients_that_send_a_byte_now_and_then(self):
        """Each of them is always in the middle of a request."""
        crowd = self.crowd("counter")
        crowd.add(600, post(b"ordinary", 100))
        for _ in range(DRIPS):
            crowd.send(0.5)
            for member in crowd.members:
                if not member.is_closed:
                    member.add(b"x")
        self.check()

    def test_clients_that_send_nothing(self):
        self.attack("counter", 600, b"")
        self.check()

    def test_clients_that_never_end_their_head(self):
        crowd = self.crowd("counter")
        crowd.add(600, b"GET /ordinary/x HTTP/1.1\r\nHost: %s\r\n" % HOST.encode())
        for _ in range(DRIPS):
            crowd.send(0.5)
            for member in crowd.members:
                if not member.is_closed:
                    member.add(b"a: b\r\n")
        self.check()


class ConfiguredLimits(CrowdCase):
    """Limits that the configuration sets above what the machine has."""

    LIMITS = DEFAULT_LIMITS | {"body_bytes": 1 << 30, "header_bytes": 64 << 20}

    def test_a_body_larger_than_the_memory(self):
        self.attack("counter", 2, post(b"ordinary", 200 << 20) + bytes((200 << 20) - 1))
        self.check()

    def test_a_head_larger_than_the_memory(self):
        self.attack("counter", 2, post(b"ordinary", 2, many_fields(60 << 20)))
        self.check()


if __name__ == "__main__":
    unittest.main()
