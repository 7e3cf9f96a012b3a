"""Encodes structs of the IDL to bytes, decodes them, and looks up the structs of a method."""

from struct import Struct
from typing import Any

from thriftpy2.protocol.cybin import TCyBinaryProtocolFactory
from thriftpy2.transport.memory import TCyMemoryBuffer

from oakramp.common.errors import BadRequestError
from oakramp.rpc import messages

idl: Any = messages  # the library's classes do not declare their fields to type checkers

# Imports only the parts for the binary protocol in memory: the library's `utils` also imports sockets, TLS and every
# protocol.
_FACTORY = TCyBinaryProtocolFactory(decode_response=True)


def pack(struct):
    """The bytes of a Thrift struct."""
    transport = TCyMemoryBuffer()
    struct.write(_FACTORY.get_protocol(transport))
    return transport.getvalue()


def unpack(struct_class, data):
    """The struct encoded in these bytes. Raises BadRequestError if they are not a valid encoding."""
    try:
        struct = struct_class()
        struct.read(_FACTORY.get_protocol(TCyMemoryBuffer(data)))
        return struct
    except Exception as error:  # the library raises various exceptions for malformed bytes
        raise BadRequestError(f"not a {struct_class.__name__}: {error!r}") from error


def arguments_class(method):
    """The struct of a method's arguments, or None if there is no such method."""
    return idl.ARGUMENTS.get(method)


def result_class(method):
    """The struct of a method's result."""
    return idl.RESULTS[method]


# The two common frames, a call and a successful reply, encoded byte for byte as the library does: each field is its
# type and its number, then its value. Setting up the library's encoder for a frame costs more than all other work on
# the frame.
_CALL_ID, _METHOD, _TIME_LEFT, _BODY, _END = b"\n\0\1", b"\v\0\2", b"\b\0\3", b"\v\0\4", b"\0"
_FRAME_START = Struct("!3sq3si")  # call id; method or body with its length
_CALL_MIDDLE = Struct("!3si3si")  # of a call: time left; body with its length


def pack_frame(frame):
    """The bytes of a frame; the common kinds are encoded without the library."""
    if frame.error is not None or frame.body is None:
        return pack(frame)
    if frame.method is None:
        return _FRAME_START.pack(_CALL_ID, frame.call_id, _BODY, len(frame.body)) + frame.body + _END
    method = frame.method.encode()
    return b"".join(
        (
            _FRAME_START.pack(_CALL_ID, frame.call_id, _METHOD, len(method)),
            method,
            _CALL_MIDDLE.pack(_TIME_LEFT, frame.time_left_ms, _BODY, len(frame.body)),
            frame.body,
            _END,
        )
    )


def unpack_frame(data):
    """The frame encoded in these bytes. Raises BadRequestError if they are not a valid encoding."""
    return unpack_common_frame(data) or unpack(idl.Frame, data)


def unpack_common_frame(data):
    """The frame, or None if the bytes are of another kind of frame or malformed."""
    if len(data) <= _FRAME_START.size or data[-1:] != _END:
        return None
    first, call_id, second, length = _FRAME_START.unpack_from(data)
    after = _FRAME_START.size + length
    if first != _CALL_ID or length < 0:
        return None
    if second == _BODY:
        return idl.Frame(call_id=call_id, body=data[_FRAME_START.size : after]) if after + 1 == len(data) else None
    start = after + _CALL_MIDDLE.size
    if second != _METHOD or start >= len(data):
        return None
    third, time_left_ms, fourth, length = _CALL_MIDDLE.unpack_from(data, after)
    method = data[_FRAME_START.size : after]
    if (third, fourth) != (_TIME_LEFT, _BODY) or length < 0 or start + length + 1 != len(data) or not method.isascii():
        return None
    return idl.Frame(
        call_id=call_id, method=method.decode(), time_left_ms=time_left_ms, body=data[start : start + length]
    )
