"""Answers that pour, at the operators' command line."""

import contextlib
import socket
import threading
import unittest

from oakramp.cli.control_client import ANSWER_LIMIT, ask

HEAD = b"HTTP/1.1 200 OK\r\n"
BLOCK_SIZE = 64 << 10  # bytes
MOST = 8 * ANSWER_LIMIT  # bytes; that are poured at most
WATCHDOG = 60.0  # s; a request that still goes on then has no bound
ASK_TIME = 1.0  # s


class Pours(unittest.TestCase):
    def serve(self, first, repeated):
        """The address of a server that answers one request like this; `self.sent` counts the bytes."""
        server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(server.close)
        self.sent, self.has_ended = 0, threading.Event()

        def pour():
            connection, _ = server.accept()
            with connection, contextlib.suppress(OSError):
                connection.recv(BLOCK_SIZE)
                connection.sendall(first)
                block = repeated * (BLOCK_SIZE // len(repeated))
                while self.sent < MOST:
                    connection.sendall(block)
                    self.sent += len(block)
                connection.recv(BLOCK_SIZE)
            self.has_ended.set()

        threading.Thread(target=pour, daemon=True).start()
        return f"127.0.0.1:{server.getsockname()[1]}"

    def check_ends(self, first, repeated):
        """The request ends with an error, and its connection with it."""
        errors, address = [], self.serve(first, repeated)

        def request():
            try:
                ask(address, "GET", "/x", time_left=ASK_TIME)
            except OSError as error:
                errors.append(error)

        asking = threading.Thread(target=request, daemon=True)
        asking.start()
        asking.join(WATCHDOG)
        self.assertEqual(len(errors), 1, "the request goes on, or ended without an error")
        self.assertTrue(self.has_ended.wait(WATCHDOG), "the connection stays open")

    def test_a_body_without_end(self):
        for framing in (b"Content-Length: 100000000000\r\n\r\n", b"\r\n"):
            with self.subTest(framing):
                self.check_ends(HEAD + framing, b" ")
                self.assertLess(self.sent, MOST)

    def test_interim_heads_without_end(self):
        self.check_ends(b"", b"HTTP/1.1 100 Continue\r\n\r\n")

    def test_trailers_without_end(self):
        self.check_ends(HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"a: b\r\n")

    def test_values_that_take_too_much(self):
        body = b'{"a":[' + b"{}," * (ANSWER_LIMIT // 4) + b"0]}"
        self.check_ends(HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body, b" ")

    def test_values_that_are_nested_too_deeply(self):
        body = b"[" * 200000
        self.check_ends(HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body, b" ")


if __name__ == "__main__":
    unittest.main()
