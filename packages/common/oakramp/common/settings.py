"""The settings of a daemon: a JSON file whose values flags override, checked as a whole."""

import ipaddress
import json
import sys

from schema import And, Optional, Or

from oakramp.common.errors import BadRequestError, SettingsError
from oakramp.common.structured_logging import FORMATS, LEVELS
from oakramp.common.validation import NAME, check_fields, one_of, whole


def is_address(text):
    """Whether the text has the form IP:PORT."""
    host, separator, port = str(text).rpartition(":")
    if not separator or not port.isdigit() or not 0 < int(port) < 65536:
        return False
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return True


def split_address(text):
    """Splits a text of the form IP:PORT into (host, port)."""
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


ADDRESS = And(str, is_address, error="must be IP:PORT")

POSITIVE = And(lambda number: type(number) in (int, float) and number >= 0, error="must be a number, 0 or more")
ABOVE_ZERO = And(lambda number: type(number) in (int, float) and number > 0, error="must be a number above 0")
FLAG = And(bool, error="must be true or false")


def numbers(*names):
    """A rule: an object with numbers under these names and no others, each of them optional."""
    return And(
        dict,
        lambda pairs: (
            pairs.keys() <= set(names)
            and all(type(number) in (int, float) and number >= 0 for number in pairs.values())
        ),
        error=f"must be an object of numbers, of {', '.join(names)}",
    )


# Bounds in seconds of the deployment in which the fleet runs. They say how old a gateway's routing table may be (in
# normal operation, and while the control nodes are unsettled), how far it may go back, how long a leaving replica may
# get requests, how long a planned stop may take, how long a repeated key finds the first response, how soon traffic is
# served after a fault that stops it, how soon a machine that came back counts, how long a usage window is and how late
# its report may be, for how long a fenced task does not return to a former holder, and so on.
BOUNDS = numbers(
    "routing_age_s",
    "routing_stretch_s",
    "routing_back_s",
    "leaving_s",
    "grace_s",
    "loss_slack_s",
    "claim_window_s",
    "recover_s",
    "rejoin_s",
    "settle_s",
    "contact_s",
    "ack_s",
    "transit_s",
    "address_reuse_s",
    "seed_lag_s",
    "last_aim_s",
    "usage_window_s",
    "usage_late_s",
    "lock_delay_s",
    "thaw_s",
)
RESOURCES = numbers("memory_mb", "descriptors", "disk_mb", "link_mbps")
# Whether tenants in mutual eviction are detected (observe), and also moved (on). Gateways count only if it is not off.
EVICTION_MODES = ("off", "observe", "on")
# Whether replicas are ordered from the platform, if that is one of the fenced tasks.
REPLICA_ORDER_MODES = ("off", "on")
# Tasks that the platform may delegate to this fleet: reports of the usage in each window, orders of replicas.
PLATFORM_TASKS = ("usage", "replicaOrders")
COMMON_SETTINGS = {
    "machine": NAME,
    "zone": NAME,
    "peer": ADDRESS,
    "http": ADDRESS,
    "seeds": And([ADDRESS], lambda seeds: 1 <= len(seeds) <= 3, error="must be one to three IP:PORT"),
    Optional("clusterId"): Or(None, NAME, error="must be a name"),
    Optional("selfForming"): FLAG,
    Optional("firstStart"): FLAG,
    Optional("countsAsLoss"): FLAG,
    Optional("toleratedLosses"): whole(1, 1 << 16),
    Optional("toleratedZones"): whole(0, 1 << 16),
    Optional("zones"): [NAME],
    Optional("bounds"): BOUNDS,
    Optional("resources"): RESOURCES,
    Optional("platformTasks"): [one_of(*PLATFORM_TASKS)],
    Optional("platformCallRate"): ABOVE_ZERO,
    Optional("eviction"): Or(None, one_of(*EVICTION_MODES)),
    Optional("replicaOrders"): Or(None, one_of(*REPLICA_ORDER_MODES)),
    Optional("logLevel"): Or(None, one_of(*LEVELS)),
    Optional("logFormat"): Or(None, one_of(*FORMATS)),
}
GATE_SETTINGS = COMMON_SETTINGS | {Optional("relay"): ADDRESS, Optional("ready"): ADDRESS}
DISK_SETTINGS = COMMON_SETTINGS | {
    "folder": And(str, len, error="must be a folder's path"),
    Optional("ringFileSize"): whole(1 << 16, 1 << 30),
    Optional("ringFiles"): whole(4, 64),
    Optional("hotBytes"): whole(1 << 16, 1 << 34),
}
CONTROL_SETTINGS = DISK_SETTINGS | {
    Optional("platform"): ADDRESS,
    Optional("platformRate"): POSITIVE,
    Optional("platformLagS"): POSITIVE,
    Optional("operator"): ADDRESS,
}
# Settings with a command line flag; the others can be set in the file only.
FLAGS = {
    "machine": str,
    "zone": str,
    "peer": str,
    "http": str,
    "seeds": str,
    "clusterId": str,
    "folder": str,
    "ringFileSize": int,
    "ringFiles": int,
    "hotBytes": int,
    "relay": str,
    "ready": str,
    "platform": str,
    "operator": str,
    "logLevel": str,
    "logFormat": str,
}


def eviction_mode(env):
    """One of EVICTION_MODES; off unless it is set."""
    return env.get("eviction") or "off"


def check_settings(rules, pairs):
    """Returns the checked settings. Raises SettingsError with a line for each fault."""
    try:
        return check_fields(rules, pairs)
    except BadRequestError as error:
        raise SettingsError("settings cannot be used", detail=error.detail) from error


def read_settings(rules, file_path, flag_pairs):
    """Returns the settings of a JSON file, overridden by flags, and checks them. Raises SettingsError with a line for
    each fault."""
    file_pairs = {}
    if file_path:
        try:
            with open(file_path, encoding="utf-8") as file:
                file_pairs = json.load(file)
        except (OSError, ValueError) as error:
            raise SettingsError("settings cannot be read", detail=[f"{file_path}: {error}"]) from error
        if not isinstance(file_pairs, dict):
            raise SettingsError("settings cannot be read", detail=[f"{file_path}: must be a JSON object"])
    return check_settings(rules, file_pairs | {key: value for key, value in flag_pairs.items() if value is not None})


def settings_of_daemon(program, rules, description):
    """Returns the settings that the command line names; for invalid ones prints a line for each fault and exits with
    code 2."""
    import argparse  # not all programs read a command line

    parser = argparse.ArgumentParser(prog=program, description=description)
    parser.add_argument("--env", metavar="FILE", help="settings file, a JSON object")
    for name in (getattr(key, "schema", key) for key in rules):
        if name in FLAGS:
            parser.add_argument(
                f"--{name}",
                nargs="+" if name == "seeds" else None,
                type=FLAGS[name],
                help=f"overrides {name} of the file",
            )
    flag_pairs = vars(parser.parse_args())
    file_path = flag_pairs.pop("env")
    try:
        return read_settings(rules, file_path, flag_pairs)
    except SettingsError as error:
        for fault in error.detail:
            print(f"{program}: {fault}", file=sys.stderr)
        sys.exit(2)


def orders_replicas(env):
    """Whether the choice of the number of replicas is left to this fleet and is switched on."""
    return "replicaOrders" in (env.get("platformTasks") or ()) and env.get("replicaOrders") == "on"
