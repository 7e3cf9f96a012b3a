"""Frames on a connection, for any split of the received bytes and any number of bytes that the transport accepts."""

import ast
import inspect
import random
import unittest
from types import SimpleNamespace

from oakramp.common.constants import FRAME_LIMIT, HELLO_LIMIT, NON_MEMBER_FRAME_LIMIT
from oakramp.rpc import generate_messages, messages
from oakramp.rpc.codec import idl, pack, pack_frame, unpack, unpack_common_frame, unpack_frame
from oakramp.rpc.endpoint import LENGTH, Connection, Strangers


class FakeTransport:
    """A transport whose socket accepts `room` bytes at a time; the remaining bytes wait in `dataBuffer`."""

    def __init__(self, room):
        self.room, self.taken, self.dataBuffer, self._waiting = room, b"", b"", []
        self.connected, self.disconnecting, self.aborted, self.calls = True, False, False, []

    def writeSomeData(self, data):
        self.calls.append(len(data))
        if isinstance(self.room, Exception):
            return self.room
        self.taken += data[: self.room]
        return len(data[: self.room])

    def write(self, data):
        self._waiting.append(data)

    def doWrite(self):
        self.dataBuffer, self._waiting = self.dataBuffer + b"".join(self._waiting), []
        sent = self.writeSomeData(self.dataBuffer)
        if not isinstance(sent, Exception):
            self.dataBuffer = self.dataBuffer[sent:]

    def getPeer(self):
        return SimpleNamespace(host="127.0.0.1")

    def abortConnection(self):
        self.aborted = True


class Frames(unittest.TestCase):
    def setUp(self):
        self.events = []
        net = SimpleNamespace(
            log_closed=lambda why, peer, pairs: self.events.append(why), strangers=Strangers(), connections={}
        )
        self.connection = Connection(net)
        self.connection.peer = idl.Hello()
        self.read = []
        self.connection.stringReceived = self.read.append

    def transport(self, room):
        self.connection.transport = FakeTransport(room)
        return self.connection.transport

    def test_frames_are_the_same_for_every_split_of_the_bytes(self):
        frames = [b"", b"a", b"bc" * 40, b"", b"d" * 300]
        stream = b"".join(LENGTH.pack(len(frame)) + frame for frame in frames)
        for size in (1, 2, 3, 5, 7, 83, 84, 85, len(stream) - 1, len(stream)):
            self.read.clear()
            for start in range(0, len(stream), size):
                self.connection.dataReceived(stream[start : start + size])
            self.assertEqual(self.read, frames, size)

    def test_a_length_over_the_limit_closes_the_connection_at_once(self):
        transport = self.transport(100)
        self.connection.dataReceived(LENGTH.pack(1) + b"x" + LENGTH.pack(FRAME_LIMIT + 1) + b"y" * 50)
        self.assertEqual((self.read, self.events, transport.aborted), ([b"x"], ["frameTooLong"], True))
        self.connection.dataReceived(LENGTH.pack(FRAME_LIMIT)[:3])
        self.assertEqual(self.read, [b"x"])

    def test_before_the_hello_only_a_short_frame_is_accepted(self):
        transport = self.transport(100)
        self.connection.peer = None
        self.connection.dataReceived(LENGTH.pack(HELLO_LIMIT)[:4])
        self.assertFalse(transport.aborted)
        self.connection._unread = b""
        self.connection.dataReceived(LENGTH.pack(HELLO_LIMIT + 1))
        self.assertEqual((self.events, transport.aborted), (["frameTooLong"], True))

    def test_a_stranger_may_only_send_short_frames(self):
        self.connection = Connection(self.connection._net, stranger_at="10.0.0.9")
        self.connection.peer = idl.Hello(cluster_id="")
        transport = self.transport(100)
        self.connection.dataReceived(LENGTH.pack(NON_MEMBER_FRAME_LIMIT + 1))
        self.assertEqual((self.events, transport.aborted), (["frameTooLong"], True))

    def test_a_frame_that_the_socket_accepts_is_sent_in_one_call(self):
        transport = self.transport(1000)
        self.connection.sendString(b"abc")
        self.assertEqual((transport.calls, transport.taken, transport.dataBuffer), ([7], LENGTH.pack(3) + b"abc", b""))

    def test_bytes_that_the_socket_does_not_accept_are_sent_later_in_order(self):
        transport = self.transport(6)
        frames = [b"abcdefghijkl", b"m", b"nopqrstuvw"]
        for frame in frames:
            self.connection.sendString(frame)
        for _ in range(20):
            transport.doWrite()
        self.assertEqual(transport.taken, b"".join(LENGTH.pack(len(frame)) + frame for frame in frames))

    def test_a_write_error_is_left_to_the_reactor(self):
        transport = self.transport(OSError("reset"))
        self.connection.sendString(b"abc")
        self.assertEqual(transport.dataBuffer, LENGTH.pack(3) + b"abc")

    def test_a_transport_without_a_socket_gets_the_frame_by_write(self):
        written = []
        self.connection.transport = SimpleNamespace(write=written.append)
        self.connection.sendString(b"abc")
        self.assertEqual(written, [LENGTH.pack(3) + b"abc"])


class Codec(unittest.TestCase):
    """Frames encoded and decoded without the library equal those of the library, in every byte and field."""

    FRAMES = [
        idl.Frame(call_id=1, method="pull", time_left_ms=800, body=b"abc"),
        idl.Frame(call_id=-1, method="p", time_left_ms=-5, body=b""),
        idl.Frame(call_id=2**63 - 1, method="\u00fcnknown", time_left_ms=0, body=b"\0" * 70),
        idl.Frame(call_id=7, body=b""),
        idl.Frame(call_id=8, body=bytes(range(256))),
        idl.Frame(call_id=9),
        idl.Frame(call_id=10, method="release"),
        idl.Frame(),
        idl.Frame(call_id=11, error="fenced", reason="no", verdict="no", detail="{}"),
        idl.Frame(body=b"x"),
        idl.Frame(call_id=12, method="", time_left_ms=1, body=b"x"),
        idl.Frame(call_id=13, error="", body=b"x"),
    ]

    def test_bytes_and_fields_equal_those_of_the_library(self):
        for frame in self.FRAMES:
            if frame.call_id is not None and (frame.method is None or frame.time_left_ms is not None):
                self.assertEqual(pack_frame(frame), pack(frame), frame)
            self.assertEqual(vars(unpack_frame(pack(frame))), vars(unpack(idl.Frame, pack(frame))), frame)

    def test_a_corrupted_frame_is_decoded_as_the_library_decodes_it(self):
        chooser, common = random.Random(5), 0
        for _ in range(20000):
            data = bytearray(pack(chooser.choice(self.FRAMES)))
            for _ in range(chooser.randrange(1, 4)):
                data[chooser.randrange(len(data))] = chooser.choice(
                    (0, 1, 2, 3, 4, 8, 10, 11, 255, chooser.randrange(256))
                )
            data = bytes(data[: chooser.choice((len(data), len(data), chooser.randrange(len(data) + 1)))])
            frame = unpack_common_frame(data)
            if frame is not None:
                common += 1
                self.assertEqual(vars(frame), vars(unpack(idl.Frame, data)), data)
        self.assertGreater(common, 1000)


class GeneratedMessages(unittest.TestCase):
    def test_messages_module_matches_the_idl(self):
        written, generated = inspect.getsource(messages), generate_messages.source()
        self.assertEqual(ast.dump(ast.parse(written)), ast.dump(ast.parse(generated)))


class StrangersAtAPort(unittest.TestCase):
    """Which connection gives way when too many are open."""

    def test_the_oldest_of_the_machine_with_most_connections_gives_way(self):
        closed = []

        class Stranger:
            """A connection that notes when it is closed."""

            def __init__(self, name):
                self.name = name

            def give_way(self):
                closed.append(self.name)

        strangers = Strangers()
        self.assertFalse(strangers.dismiss_one())
        single = Stranger("single")
        strangers.add(single, "10.0.0.1")
        for number in range(3):
            strangers.add(Stranger(number), "10.0.0.2")
        self.assertTrue(all(strangers.dismiss_one() for _ in range(2)))
        self.assertEqual(closed, [0, 1])
        strangers.remove(single, "10.0.0.1")
        self.assertEqual([strangers.dismiss_one(), strangers.dismiss_one()], [True, False])
        self.assertEqual(closed, [0, 1, 2])
