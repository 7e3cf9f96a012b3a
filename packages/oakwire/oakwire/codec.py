"""Structs of the IDL to bytes and back, and the table of methods."""
import os

import thriftpy2
from thriftpy2.protocol import TBinaryProtocolFactory
from thriftpy2.utils import deserialize, serialize

from oakbase.verdict import BadRequest

idl = thriftpy2.load(os.path.join(os.path.dirname(__file__), "oak.thrift"), module_name="oak_thrift")

_FACTORY = TBinaryProtocolFactory(decode_response=True)


def pack(struct):
    return serialize(struct, _FACTORY)


def unpack(structClass, data):
    try:
        return deserialize(structClass(), data, _FACTORY)
    except Exception as error:  # the codec raises whatever the bytes provoke
        raise BadRequest(f"not a {structClass.__name__}: {error!r}") from error


def argumentsClass(method):
    return getattr(idl.Node, f"{method}_args", None)


def resultClass(method):
    return getattr(idl.Node, f"{method}_result")
