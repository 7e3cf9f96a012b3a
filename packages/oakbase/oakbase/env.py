"""The env of a daemon: a JSON settings file overlaid by flags, checked as a whole."""
import argparse
import ipaddress
import json
import sys

from schema import And, Optional, Or

from oakbase.checks import NAME, checkFields, whole
from oakbase.verdict import BadRequest, EnvError


def isAddress(text):
    """Whether this is IP:PORT."""
    host, separator, port = str(text).rpartition(":")
    if not separator or not port.isdigit() or not 0 < int(port) < 65536:
        return False
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return True


def splitAddress(text):
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


ADDRESS = And(str, isAddress, error="must be IP:PORT")

COMMON_ENV = {
    "machine": NAME,
    "zone": NAME,
    "peer": ADDRESS,
    "http": ADDRESS,
    "seeds": And([ADDRESS], lambda seeds: 1 <= len(seeds) <= 3, error="must be one to three IP:PORT"),
    Optional("clusterId"): Or(None, NAME, error="must be a name"),
}
DISK_ENV = COMMON_ENV | {
    "folder": And(str, len, error="must be a folder's path"),
    Optional("ringFileSize"): whole(1 << 16, 1 << 30),
}
CONTROL_ENV = DISK_ENV | {Optional("platform"): ADDRESS}


def checkEnv(rules, pairs):
    try:
        return checkFields(rules, pairs)
    except BadRequest as error:
        raise EnvError("env cannot be used", detail=error.detail) from error


def readEnv(rules, filePath, flagPairs):
    filePairs = {}
    if filePath:
        try:
            with open(filePath, encoding="utf-8") as file:
                filePairs = json.load(file)
        except (OSError, ValueError) as error:
            raise EnvError("env cannot be read", detail=[f"{filePath}: {error}"]) from error
        if not isinstance(filePairs, dict):
            raise EnvError("env cannot be read", detail=[f"{filePath}: must be a JSON object"])
    return checkEnv(rules, filePairs | {key: value for key, value in flagPairs.items() if value is not None})


def envOfDaemon(program, rules, description):
    """The env of this program from its command line; ends with code 2 and a line for each fault."""
    parser = argparse.ArgumentParser(prog=program, description=description)
    parser.add_argument("--env", metavar="FILE", help="settings file, a JSON object")
    for key in rules:
        name = getattr(key, "schema", key)
        parser.add_argument(f"--{name}", nargs="+" if name == "seeds" else None,
                            type=int if name == "ringFileSize" else str, help=f"overrides {name} of the file")
    flagPairs = vars(parser.parse_args())
    filePath = flagPairs.pop("env")
    try:
        return readEnv(rules, filePath, flagPairs)
    except EnvError as error:
        for fault in error.detail:
            print(f"{program}: {fault}", file=sys.stderr)
        sys.exit(2)
