"""HTTP requests of operators' commands to nodes: each yields one response or one error message."""

import http.client
import json

import click

from oakramp.common.settings import is_address, split_address

ASK_TIME = 15.0  # s; longer than a failover and than the control nodes' own time limit for a change


class CommandRefusedError(click.ClickException):
    """The command was rejected or its outcome is unknown; exit code 1."""


class AddressType(click.ParamType):
    name = "IP:PORT"

    def convert(self, value, param, context):
        if not is_address(value):
            self.fail(f"{value} is not IP:PORT", param, context)
        return value


ADDRESS_TYPE = AddressType()


def ask(address, method, path, value=None, time_left=ASK_TIME):
    """(status, JSON) of one request; raises OSError if there was no readable response."""
    host, port = split_address(address)
    connection = http.client.HTTPConnection(host, port, timeout=time_left)
    try:
        request_body = None if value is None else json.dumps(value)
        connection.request(method, path, request_body, {"Content-Type": "application/json"})
        response = connection.getresponse()
        response_body = response.read()
        return response.status, json.loads(response_body) if response_body else {}
    except (http.client.HTTPException, ValueError) as error:
        raise OSError(f"unreadable response: {error!r}") from error
    finally:
        connection.close()


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
