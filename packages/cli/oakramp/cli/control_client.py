"""HTTP requests of operators' commands to nodes: each yields one response or one error message."""

import contextlib
import http.client
import json
import os
import socket
import struct
import threading
import time

import click

from oakramp.common.json_cost import parsed_size
from oakramp.common.settings import is_address, split_address

ASK_TIME = 15.0  # s; longer than a failover and than the control nodes' own time limit for a change
ANSWER_LIMIT = 16 << 20  # bytes; of an answer, several times the largest configuration
PARSED_LIMIT = 256 << 20  # bytes; of memory that the values of an answer may take
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # the other side then learns at once that nobody reads
READ_SIZE = 64 << 10  # bytes; read at a time


class CommandRefusedError(click.ClickException):
    """The command was rejected or its outcome is unknown; exit code 1."""


class AddressType(click.ParamType):
    name = "IP:PORT"

    def convert(self, value, param, context):
        if not is_address(value):
            self.fail(f"{value} is not IP:PORT", param, context)
        return value


ADDRESS_TYPE = AddressType()


class _EndTimer(threading.Timer):
    """Ends a connection after some seconds, as a socket's own timeout is for each read only."""

    def __init__(self, connected_socket, seconds):
        super().__init__(seconds, self._end, (connected_socket,))
        self._socket, self.daemon, self.has_ended = connected_socket, True, False
        self.start()

    def close(self):
        """Closes the connection, even if a response that was not read to its end still holds its socket."""
        self.cancel()
        if self._socket.fileno() >= 0:
            os.close(self._socket.detach())

    def _end(self, connected_socket):
        self.has_ended = True
        with contextlib.suppress(OSError):
            connected_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            connected_socket.shutdown(socket.SHUT_RDWR)


def _read_body(response):
    """The whole body of a response. Raises ValueError if it is too large, IncompleteRead if it was truncated."""
    body = bytearray()
    while data := response.read(READ_SIZE):
        body += data
        if len(body) > ANSWER_LIMIT:
            raise ValueError(f"over {ANSWER_LIMIT} bytes")
    if response.length:
        raise http.client.IncompleteRead(bytes(body), response.length)
    if parsed_size(bytes(body)) > PARSED_LIMIT:
        raise ValueError("too many values")
    return bytes(body)


def ask(address, method, path, value=None, time_left=ASK_TIME):
    """(status, JSON) of one request; raises OSError if there was no readable response within `time_left` seconds, or it
    was over ANSWER_LIMIT."""
    host, port = split_address(address)
    connection = http.client.HTTPConnection(host, port, timeout=time_left)
    end, ends_at = None, time.monotonic() + time_left
    try:
        connection.connect()
        end = _EndTimer(connection.sock, max(0.0, ends_at - time.monotonic()))
        request_body = None if value is None else json.dumps(value)
        connection.request(method, path, request_body, {"Content-Type": "application/json"})
        response = connection.getresponse()
        response_body = _read_body(response)
        if end.has_ended:
            raise TimeoutError("the response did not end in time")
        return response.status, json.loads(response_body) if response_body else {}
    except (http.client.HTTPException, ValueError, RecursionError) as error:
        raise OSError(f"unreadable response: {error!r}") from error
    finally:
        connection.close()
        if end is not None:
            end.close()


def ask_first(addresses, method, path, value=None, outcome_command=""):
    """The response of the first control node that sends one. Trying the next node is safe: reads change nothing, and
    changes carry an id."""
    errors, may_have_run = [], False
    for address in addresses:
        try:
            status, response_json = ask(address, method, path, value)
        except OSError as error:
            errors.append(f"{address}: {error}")
            # A refused connection carried no request, and a read has no effect.
            may_have_run = may_have_run or (method != "GET" and not isinstance(error, ConnectionRefusedError))
            continue
        if status < 400:
            return response_json
        errors.append(f"{address}: {response_json.get('reason', status)}")
        if response_json.get("error") not in ("notOwner", "cannotTell", "noAnswer", "overloaded") and not may_have_run:
            detail_lines = response_json.get("detail") if isinstance(response_json.get("detail"), list) else []
            raise CommandRefusedError(
                "\n  ".join([f"no: {response_json.get('reason', status)}", *map(str, detail_lines)])
            )
        may_have_run = may_have_run or (method != "GET" and response_json.get("verdict") != "no")
    if may_have_run and outcome_command:
        raise CommandRefusedError(f"the outcome is unknown ({'; '.join(errors)}). Find out with: {outcome_command}")
    raise CommandRefusedError(f"no control node could answer: {'; '.join(errors)}")


def print_json(value):
    click.echo(json.dumps(value, indent=2, sort_keys=True))
