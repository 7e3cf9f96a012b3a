"""Asking daemons over HTTP, for a person's command: one answer or one clear word why not."""

import http.client
import json

import click

from oakramp.common.settings import is_address, split_address

ASK_TIME = 15.0  # s; outlasts a take-over and the control nodes' own bound on a change


class CommandRefusedError(click.ClickException):
    """A no, or an outcome that is not known; exit code 1."""


class AddressType(click.ParamType):
    name = "IP:PORT"

    def convert(self, value, param, context):
        if not is_address(value):
            self.fail(f"{value} is not IP:PORT", param, context)
        return value


ADDRESS_TYPE = AddressType()


def ask(address, method, path, value=None, time_left=ASK_TIME):
    """(status, JSON) of one request; OSError if there was no answer."""
    host, port = split_address(address)
    connection = http.client.HTTPConnection(host, port, timeout=time_left)
    try:
        body = None if value is None else json.dumps(value)
        connection.request(method, path, body, {"Content-Type": "application/json"})
        answer = connection.getresponse()
        data = answer.read()
        return answer.status, json.loads(data) if data else {}
    except (http.client.HTTPException, ValueError) as error:
        raise OSError(f"unreadable answer: {error!r}") from error
    finally:
        connection.close()


def ask_first(addresses, method, path, value=None, on_maybe=""):
    """The answer of the first control node that gives one. Asking the next is safe: reads change nothing,
    and changes bear an id."""
    faults, unsure = [], False
    for address in addresses:
        try:
            status, answer = ask(address, method, path, value)
        except OSError as error:
            faults.append(f"{address}: {error}")
            # Refused, nothing left; and a read leaves nothing behind.
            unsure = unsure or (method != "GET" and not isinstance(error, ConnectionRefusedError))
            continue
        if status < 400:
            return answer
        faults.append(f"{address}: {answer.get('reason', status)}")
        if answer.get("error") not in ("notOwner", "cannotTell", "noAnswer", "overloaded") and not unsure:
            lines = answer.get("detail") if isinstance(answer.get("detail"), list) else []
            raise CommandRefusedError("\n  ".join([f"no: {answer.get('reason', status)}", *map(str, lines)]))
        unsure = unsure or (method != "GET" and answer.get("verdict") != "no")
    if unsure and on_maybe:
        raise CommandRefusedError(f"the outcome is unknown ({'; '.join(faults)}). Find out with: {on_maybe}")
    raise CommandRefusedError(f"no control node could answer: {'; '.join(faults)}")


def show(value):
    click.echo(json.dumps(value, indent=2, sort_keys=True))
